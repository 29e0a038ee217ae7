//! Limits on heartbeats relayed between controllers, for a fleet of up to 4,000 machines.

use lemonweir_coordination::socket_shares::SocketShares;
use lemonweir_model::constants::{MAX_BODY_BYTES, MAX_RESPONSE_BYTES};
use lemonweir_node::{MAX_HEARTBEATS_PER_BATCH, MAX_QUEUED_HEARTBEATS_PER_LEADER};

/// After a stall of the process, all machines send a heartbeat within one batching interval.
/// None is refused, the batches need no more connections than a peer accepts, and none is
/// larger than a peer reads.
#[test]
fn heartbeats_of_all_machines_can_be_relayed_at_once() {
    for machines in [1_000, 2_000, 4_000] {
        let waiting = machines.min(MAX_QUEUED_HEARTBEATS_PER_LEADER);
        assert_eq!(waiting, machines, "queued heartbeats");
        let messages = waiting.div_ceil(MAX_HEARTBEATS_PER_BATCH);
        for sockets in [1_800, 2_262, 65_536] {
            let peers = SocketShares::divide(sockets).peers;
            assert!(messages <= peers, "{messages} messages, {peers} peers");
        }
        let bytes = waiting.min(MAX_HEARTBEATS_PER_BATCH) * MAX_BODY_BYTES;
        assert!(bytes < MAX_RESPONSE_BYTES, "{bytes} bytes");
    }
}
