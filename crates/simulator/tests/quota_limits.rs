//! Soak test of the teams' quota limits: runs `examples/scenarios/quota.toml` with many seeds.

use std::path::Path;
use std::sync::Arc;

use lemonweir_simulator::run::{self, LoadSource, Placer};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::sweep::{Seeds, map_seeds};

/// Number of runs, with the seeds from 1 on.
const SEEDS: u64 = 80;
/// Threads that the test runs seeds on.
const THREADS: usize = 3;

fn scenario() -> Arc<Scenario> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/quota.toml");
    let text = std::fs::read_to_string(path).expect("readable");
    let scenario = Scenario::parse("quota.toml", &text).expect("no fault");
    assert!(scenario.fault_effects_end_s() < scenario.duration_s);
    Arc::new(scenario)
}

/// The violations in the run with this seed.
fn violations(scenario: &Arc<Scenario>, seed: u64) -> Vec<String> {
    run::run_once(
        scenario.clone(),
        LoadSource::Synthetic,
        Placer::Lemonweir,
        seed,
        None,
    )
    .expect("run")
    .report
    .violations
}

#[test]
fn quota_limits_hold_while_leaders_crash_repeatedly() {
    let scenario = scenario();
    let seeds = Seeds((1..=SEEDS).collect());
    let found = map_seeds(&seeds, THREADS, |seed| violations(&scenario, seed));
    let failures: Vec<String> = (1..=SEEDS)
        .zip(found)
        .filter(|(_, found)| !found.is_empty())
        .map(|(seed, found)| format!("seed {seed}: {found:?}"))
        .collect();
    assert!(
        failures.is_empty(),
        "{} seeds with violations:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
