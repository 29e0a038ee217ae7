//! Soak test of the teams' quota limits: runs `examples/scenarios/quota.toml` with many seeds.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lemonweir_simulator::run::{self, LoadSource, Placer};
use lemonweir_simulator::scenario::Scenario;

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
    let next = AtomicU64::new(1);
    let work = || {
        let mut failures = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > SEEDS {
                return failures;
            }
            let found = violations(&scenario, seed);
            if !found.is_empty() {
                failures.push(format!("seed {seed}: {found:?}"));
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
        "{} seeds with violations:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
