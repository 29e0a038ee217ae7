//! Messages that are carried out once more after they were answered, beside controllers that end
//! and are back within a second.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use drawn_runs::assert_no_violations;
use lemonweir_simulator::fault_search::FaultMix;

/// Guards against a task that runs on two machines, or after its cancellation was confirmed, since
/// its start was executed again. `lemonweir-simulator fault-search` runs more seeds.
#[test]
fn messages_that_are_carried_out_again_break_no_rule() {
    assert_no_violations(FaultMix::Repeated, 150, 60);
}
