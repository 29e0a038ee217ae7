//! A fleet of 4,000 machines that are all in service at once:
//! `examples/scenarios/four-thousand.toml`, shortened.

use std::path::Path;
use std::sync::Arc;

use lemonweir_simulator::run::{self, LoadSource, Placer};
use lemonweir_simulator::scenario::Scenario;

/// Number of machines in the fleet.
const MACHINES: usize = 4_000;
/// Number of service replicas, of 4 CPUs each.
const REPLICAS: usize = 160;

fn scenario_text() -> String {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/four-thousand.toml");
    std::fs::read_to_string(path).expect("scenario")
}

/// The duration is 95 s instead of 420 s, so the partition between the zones and the controller
/// crash come earlier.
#[test]
fn a_fleet_of_four_thousand_is_fully_used_and_violates_no_invariant() {
    let text = scenario_text()
        .replace("duration_s = 420", "duration_s = 95")
        .replace("at_s = 120\nfor_s = 30", "at_s = 45\nfor_s = 15")
        .replace("at_s = 220\nfor_s = 10", "at_s = 70\nfor_s = 5");
    let scenario = Scenario::parse("four-thousand.toml", &text).expect("no fault");
    assert!(scenario.fault_effects_end_s() < 95.0, "all faults occur");
    assert_eq!(scenario.faults.len(), 6);
    let outcome = run::run_once(
        Arc::new(scenario),
        LoadSource::Synthetic,
        Placer::Lemonweir,
        1,
        None,
    )
    .expect("run");
    let r = &outcome.report;
    assert!(r.violations.is_empty(), "{:?}", r.violations);
    let max_up = r.fleet.iter().map(|s| s.up).max();
    assert_eq!(
        max_up,
        Some(MACHINES),
        "machines in service at the same time"
    );
    // A waiting task takes a whole machine, so the room beside a replica is used only if the
    // replicas share machines, which depends on the order of the first placements.
    let least_used_cpus = 16.0 * (MACHINES - REPLICAS) as f64 + 4.0 * REPLICAS as f64;
    assert!(
        r.fleet
            .iter()
            .any(|s| s.in_use == MACHINES && s.used_cpus >= least_used_cpus),
        "all machines are used at the same time, whole but for the room beside replicas"
    );
    eprintln!("{:.1} s of wall time", outcome.wall_s);
}

/// The default capacity of a machine type is at least 4,000 on-demand machines in each zone.
#[test]
fn a_scenario_without_a_capacity_has_at_least_four_thousand_machines_in_each_zone() {
    let text = scenario_text().replace("ordinary = 2_000\n", "");
    let scenario = Scenario::parse("four-thousand.toml", &text).expect("no fault");
    assert!(scenario.machine_kinds[0].capacity.on_demand as usize >= MACHINES);
}
