//! Runs of the fault search with the seeds from 1 on.

use lemonweir_simulator::fault_search::{FaultMix, search_seed};
use lemonweir_simulator::sweep::{Seeds, map_seeds};

/// Threads that a test runs seeds on.
const THREADS: usize = 3;
/// Task starts without which a run shows little.
const MIN_TASK_STARTS: u64 = 50;

/// Asserts that the runs with the seeds 1 to `seeds`, on sites of at most about `max_machines`
/// machines, have no violation.
pub fn assert_no_violations(mix: FaultMix, seeds: u64, max_machines: u32) {
    let drawn = Seeds((1..=seeds).collect());
    let results = map_seeds(&drawn, THREADS, |seed| search_seed(seed, max_machines, mix));
    let mut failures = Vec::new();
    for result in results {
        assert!(
            result.task_starts > MIN_TASK_STARTS,
            "seed {}: {} starts",
            result.seed,
            result.task_starts
        );
        if !result.violations.is_empty() {
            failures.push(format!(
                "seed {}: {:?} with\n{}",
                result.seed,
                result.violations,
                result.faults.concat()
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {seeds} seeds with violations:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
