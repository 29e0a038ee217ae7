//! Stalls of controllers while the links between controllers are slow: what a peer answers may
//! arrive after it has ceased to be true.

use std::sync::atomic::{AtomicU64, Ordering};

use lemonweir_simulator::fault_search::{FaultMix, search_seed};

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
    let next = AtomicU64::new(1);
    let work = || {
        let mut failures = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > SEEDS {
                return failures;
            }
            let result = search_seed(seed, MAX_MACHINES, FaultMix::StallsOverSlowLinks);
            assert!(result.task_starts > 50, "seed {seed}");
            if !result.violations.is_empty() {
                failures.push(format!(
                    "seed {seed}: {:?} with\n{}",
                    result.violations,
                    result.faults.concat()
                ));
            }
        }
    };
    let failures: Vec<String> = std::thread::scope(|s| {
        let threads: Vec<_> = (0..THREADS).map(|_| s.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("no panic"))
            .collect()
    });
    assert!(
        failures.is_empty(),
        "{} of {SEEDS} seeds with violations:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
