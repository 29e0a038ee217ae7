//! Machines and zones out of reach for longer than a worker's lease, while leaders change.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use drawn_runs::assert_no_violations;
use lemonweir_simulator::fault_search::FaultMix;

/// Guards against accepted jobs that every controller refuses to answer for while leaders change.
/// `lemonweir-simulator fault-search` runs more seeds.
#[test]
fn accepted_jobs_stay_known_while_leaders_change_beside_lost_machines() {
    assert_no_violations(FaultMix::FailoversBesideLostMachines, 60, 60);
}
