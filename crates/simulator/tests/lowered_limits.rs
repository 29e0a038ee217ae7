//! The store lowers its limits as announced, at any instant and beside other faults, while there
//! are jobs whose records the lower limits do not allow.

use lemonweir_simulator::fault_search::{FaultMix, search_seed};
use lemonweir_simulator::sweep::{Seeds, map_seeds};

/// Number of drawn runs, with the seeds from 1 on.
const SEEDS: u64 = 40;
/// Largest number of machines of a drawn site.
const MAX_MACHINES: u32 = 60;
/// Threads that the test runs seeds on.
const THREADS: usize = 3;

/// Guards against an accepted job that can neither start nor be cancelled since the store lowered
/// its limits, and against others that wait behind it. `lemonweir-simulator fault-search` runs
/// more seeds.
#[test]
fn accepted_jobs_start_and_are_cancelled_under_lowered_limits() {
    let seeds = Seeds((1..=SEEDS).collect());
    let results = map_seeds(&seeds, THREADS, |seed| {
        search_seed(seed, MAX_MACHINES, FaultMix::LoweredLimits)
    });
    let mut failures = Vec::new();
    for result in results {
        assert!(result.task_starts > 50, "seed {}", result.seed);
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
        "{} of {SEEDS} seeds with violations:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
