//! The store lowers its limits as announced, at any instant and beside other faults, while there
//! are jobs whose records the lower limits do not allow.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use drawn_runs::assert_no_violations;
use lemonweir_simulator::fault_search::FaultMix;

/// Guards against an accepted job that can neither start nor be cancelled since the store lowered
/// its limits, and against others that wait behind it. `lemonweir-simulator fault-search` runs
/// more seeds.
#[test]
fn accepted_jobs_start_and_are_cancelled_under_lowered_limits() {
    assert_no_violations(FaultMix::LoweredLimits, 40, 60);
}
