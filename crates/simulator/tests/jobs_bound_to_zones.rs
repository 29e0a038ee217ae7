//! Jobs of several task records that must share a zone or be spread over zones, while machines are
//! lost and controllers end as the loss is proven.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use drawn_runs::assert_no_violations;
use lemonweir_simulator::fault_search::FaultMix;

/// Guards against a successor that launches a task of a job in a zone where the job's other tasks do
/// not allow it. `lemonweir-simulator fault-search` runs more seeds.
#[test]
fn jobs_bound_to_zones_keep_to_them_after_losses_and_failovers() {
    assert_no_violations(FaultMix::LossesOfJobsBoundToZones, 24, 60);
}
