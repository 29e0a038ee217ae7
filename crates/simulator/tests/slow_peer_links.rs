//! Stalls of controllers while the links between controllers are slow: what a peer answers may
//! arrive after it has ceased to be true.

use lemonweir_simulator::fault_search::{FaultMix, search_seed};
use lemonweir_simulator::sweep::{Seeds, map_seeds};

/// Number of drawn runs, with the seeds from 1 on.
const SEEDS: u64 = 60;
/// Largest number of machines of a drawn site.
const MAX_MACHINES: u32 = 60;
/// Threads that the test runs seeds on.
const THREADS: usize = 3;

/// Guards against a shard that stays without a leader since a late answer of a peer brought
/// back one that has given the shard up. `lemonweir-simulator fault-search` runs more seeds.
#[test]
fn stalls_over_slow_links_leave_no_shard_without_a_leader() {
    let seeds = Seeds((1..=SEEDS).collect());
    let results = map_seeds(&seeds, THREADS, |seed| {
        search_seed(seed, MAX_MACHINES, FaultMix::StallsOverSlowLinks)
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
