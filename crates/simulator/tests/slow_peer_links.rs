//! Stalls of controllers while the links between controllers are slow: what a peer answers may
//! arrive after it has ceased to be true.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use drawn_runs::assert_no_violations;
use lemonweir_simulator::fault_search::FaultMix;

/// Guards against a shard that stays without a leader since a late answer of a peer brought
/// back one that has given the shard up. `lemonweir-simulator fault-search` runs more seeds.
#[test]
fn stalls_over_slow_links_leave_no_shard_without_a_leader() {
    assert_no_violations(FaultMix::StallsOverSlowLinks, 60, 60);
}
