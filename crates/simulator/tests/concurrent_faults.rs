//! Concurrent faults: runs each scenario of `examples/scenarios/meetings/` and `chains/` with
//! several seeds and both worker timings, and shifts the later faults against the first so that
//! they fall just before and just after each of the protocol's timeouts.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lemonweir_model::constants::STORE_LEASE_TTL_MS;
use lemonweir_model::settings::WorkerTiming;
use lemonweir_simulator::history::History;
use lemonweir_simulator::load_generator::synthetic;
use lemonweir_simulator::run_report::run_violations;
use lemonweir_simulator::scenario::{FaultKind, Scenario};
use lemonweir_simulator::simulation::Simulation;

/// s that a run lasts after the last fault. A job counts as forgotten after 75 s without an
/// answer, so a run must be longer than that.
const TAIL_S: f64 = 100.0;
/// Heartbeat interval, worker lease and cancellation deadline, s.
const WORKER_TIMINGS: [(f64, f64, f64); 2] = [(3.0, 14.0, 34.0), (5.0, 26.5, 60.0)];
/// Threads that each test runs scenarios on.
const THREADS: usize = 3;

fn directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scenarios/meetings")
}

/// Offsets from the first fault to the second, s: at once, and around each timeout.
fn fault_offsets(scenario: &Scenario) -> Vec<f64> {
    let WorkerTiming {
        heartbeat_interval_s: report_s,
        lease_s,
        cancellation_deadline_s: cancel_s,
        ..
    } = scenario.workers;
    let (store_lease_s, outage_grace_s) = (
        STORE_LEASE_TTL_MS as f64 / 1e3,
        scenario.policy.store_outage_grace_ms as f64 / 1e3,
    );
    let timeouts = [report_s, store_lease_s, lease_s, cancel_s, outage_grace_s];
    let mut all = vec![0.1];
    all.extend(timeouts.into_iter().flat_map(|s| [s - 0.4, s + 0.9]));
    all.sort_by(f64::total_cmp);
    all.dedup();
    all
}

/// The scenario with the given worker timing and its later faults shifted so that the second
/// starts `offset` s after the first. The first fault is prolonged to overlap them, unless it is a
/// crash: a crashed process has restarted by then.
fn with_shifted_faults(
    scenario: &Scenario,
    (report_s, lease_s, cancel_s): (f64, f64, f64),
    offset: f64,
) -> Scenario {
    let mut shifted = scenario.clone();
    shifted.workers = WorkerTiming {
        heartbeat_interval_s: report_s,
        lease_s,
        cancellation_deadline_s: cancel_s,
        ..shifted.workers
    };
    let (first, later) = shifted.faults.split_first_mut().expect("a fault");
    let by = first.at_s + offset - later.first().map_or(first.at_s, |f| f.at_s);
    later.iter_mut().for_each(|f| f.at_s += by);
    if !matches!(first.kind, FaultKind::Crash { .. }) {
        first.for_s += offset;
    }
    shifted.duration_s = shifted.fault_effects_end_s() + TAIL_S;
    shifted
}

fn scenario(name: &str) -> Scenario {
    let text =
        std::fs::read_to_string(directory().join(name).with_extension("toml")).expect("readable");
    Scenario::parse(name, &text).unwrap_or_else(|faults| panic!("{faults:?}"))
}

fn new_simulation(scenario: Scenario, seed: u64) -> Simulation {
    let scenario = Arc::new(scenario);
    let load = synthetic(&scenario, seed);
    Simulation::new(scenario, load, seed, History::new(None))
}

fn violations_of_run(scenario: Scenario, seed: u64) -> Vec<String> {
    let ms = (scenario.duration_s * 1e3) as u64;
    let mut simulation = new_simulation(scenario, seed);
    simulation.run(ms);
    run_violations(&simulation)
}

/// Runs the scenario `name` with each worker timing and offset, `seeds` times each, and asserts
/// that no run violates an invariant.
fn assert_no_violation_at_any_offset(name: &str, seeds: u64) {
    let scenario = scenario(name);
    let mut cases = Vec::new();
    for times in WORKER_TIMINGS {
        for offset in fault_offsets(&with_shifted_faults(&scenario, times, 0.0)) {
            cases.extend((0..seeds).map(|_| (times, offset)));
        }
    }
    let next = AtomicUsize::new(0);
    let work = || {
        let mut failures = Vec::new();
        loop {
            let n = next.fetch_add(1, Ordering::Relaxed);
            let Some((times, offset)) = cases.get(n) else {
                return failures;
            };
            let seed = n as u64 + 1;
            let faults = violations_of_run(with_shifted_faults(&scenario, *times, *offset), seed);
            if !faults.is_empty() {
                failures.push(format!(
                    "seed {seed}, lease {} s, second fault after {offset:.1} s: {faults:?}",
                    times.1
                ));
            }
        }
    };
    let failures: Vec<String> = std::thread::scope(|s| {
        let threads: Vec<_> = (0..THREADS).map(|_| s.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("no panic"))
            .collect()
    });
    assert!(
        failures.is_empty(),
        "{name}: {} of {} runs failed:\n{}",
        failures.len(),
        cases.len(),
        failures.join("\n")
    );
}

/// Checks that the `gap` scenarios reach the state they are written for: the shard fails over,
/// the new leader commits the ends of jobs that users cancelled, and then the store is down for
/// everyone. In `gap`, peers tell the old leader of the failover, and it redirects its workers. In
/// `gap-alone`, where it is partitioned from its peers too, it still considers itself the leader
/// and receives its workers' heartbeats.
#[test]
fn a_shard_has_two_leaders_in_a_store_gap_unless_peers_tell_of_the_failover() {
    for (name, still_leads) in [("gap", false), ("gap-alone", true)] {
        let mut simulation = new_simulation(scenario(name), 1);
        let committed_ends = |simulation: &Simulation| simulation.store.list("end/").len();
        simulation.run(78_000);
        let before = committed_ends(&simulation);
        simulation.run(5_000);
        let leader = simulation.controllers[2]
            .core
            .as_ref()
            .and_then(|c| c.cache.shard_leaders.get(&0))
            .map(|p| p.host.clone());
        assert!(
            leader.is_some_and(|controller| controller != "h00"),
            "{name}"
        );
        assert_eq!(simulation.controllers[0].leads(0), still_leads, "{name}");
        let worker_controllers: Vec<usize> = simulation
            .workers
            .iter()
            .flatten()
            .map(|w| w.controller)
            .collect();
        assert_eq!(
            worker_controllers.contains(&0),
            still_leads,
            "{name}: {worker_controllers:?}"
        );
        assert!(
            committed_ends(&simulation) > before && simulation.store.down,
            "{name}: {before}, {}",
            committed_ends(&simulation)
        );
    }
}

macro_rules! concurrent_fault_tests {
    ($($test:ident $file:literal $seeds:literal)*) => {
        $(#[test]
        fn $test() {
            assert_no_violation_at_any_offset($file, $seeds);
        })*

        /// Every scenario of both directories has a test.
        #[test]
        fn every_concurrent_fault_scenario_has_a_test() {
            let mut names = Vec::new();
            for prefix in ["", "../chains/"] {
                let files = std::fs::read_dir(directory().join(prefix)).expect("readable").map(|f| f.expect("readable").path());
                names.extend(files.filter_map(|f| Some(format!("{prefix}{}", f.file_stem()?.to_str()?))));
            }
            names.sort();
            let mut tested = vec![$($file),*];
            tested.sort();
            assert_eq!(names, tested);
        }
    };
}

concurrent_fault_tests! {
    the_store_refuses_the_leader_and_then_everybody "gap" 2
    the_leader_is_isolated_and_then_the_store_is_down "gap-alone" 2
    commands_are_delayed_and_machines_keep_running "held-order" 2
    a_leader_crashes_while_machines_are_away "leader-ends-machines-away" 2
    a_leader_stalls_while_links_between_controllers_are_slow "stall-slow-links" 2
    writes_are_executed_after_newer_ones "late-writes" 4
    a_leader_is_isolated_while_jobs_are_cancelled "alone-and-cancelled" 2
    a_shard_fails_over_and_back_and_all_controllers_crash "hand-over-and-back" 2
    the_store_is_slow_then_refuses_one_then_all "slow-store" 2
    old_heartbeats_arrive_after_newer_ones "old-reports" 2
    tasks_of_a_job_end_far_apart_across_a_change_of_leader "far-apart-ends" 4
    users_query_all_controllers_at_short_intervals "close-looks" 2
    only_the_answers_of_transactions_are_lost "lost-answers" 2
    jobs_at_their_teams_limits_are_cancelled_on_machines_that_hang "limits-cancel-hang" 2
    jobs_are_cancelled_during_a_failover "cancel-in-failover" 2
    new_machines_work_at_once_while_writes_are_late "fast-boots" 2
    delayed_heartbeats_reach_a_new_leader "kept-reports" 2
    one_task_jobs_come_four_a_second "small-jobs" 1
    workers_reach_no_controller "mute" 2
    jobs_bound_to_a_zone_lose_machines "one-zone" 2
    leaders_change_ten_times "ten-failovers" 2
    requests_race_with_the_end_of_a_job "cancel-at-end" 2
    all_controllers_are_away_for_longer_than_a_lease "all-away" 2
    a_zone_is_cut_off_for_longer_than_a_lease "zone-cut" 2
    jobs_are_cancelled_as_the_store_refuses_the_leader "cancel-at-refusal" 2
    linear_dependencies_during_failovers "../chains/line-failover" 2
    diamond_dependencies_during_a_store_outage "../chains/diamond-outage" 2
    many_jobs_await_one_while_writes_are_late "../chains/fan-late-writes" 2
    dependencies_across_a_partitioned_zone "../chains/chains-zone-cut" 2
    the_stores_limits_fall_during_a_failover "../chains/limits-lowered" 1
}
