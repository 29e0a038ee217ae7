//! Limits that a fleet of 4,000 machines meets: heartbeats relayed between controllers.

use lemonweir_coordination::socket_shares::SocketShares;
use lemonweir_model::constants::{MAX_BODY_BYTES, MAX_RESPONSE_BYTES};
use lemonweir_node::{MAX_HEARTBEATS_PER_BATCH, MAX_QUEUED_HEARTBEATS_PER_LEADER};

/// All machines send a heartbeat within one batching interval, after a stall of the
/// process: none is turned away, the batches are no more than the connections that a peer
/// takes, and none is larger than what it reads.
#[test]
fn heartbeats_of_all_machines_can_be_relayed_at_once() {
    for machines in [1_000, 2_000, 4_000] {
        let waiting = machines.min(MAX_QUEUED_HEARTBEATS_PER_LEADER);
        assert_eq!(waiting, machines, "heartbeats wait");
        let messages = waiting.div_ceil(MAX_HEARTBEATS_PER_BATCH);
        for sockets in [1_800, 2_262, 65_536] {
            let peers = SocketShares::divide(sockets).peers;
            assert!(messages <= peers, "{messages} messages, {peers} peers");
        }
        let bytes = waiting.min(MAX_HEARTBEATS_PER_BATCH) * MAX_BODY_BYTES;
        assert!(bytes < MAX_RESPONSE_BYTES, "{bytes} bytes");
    }
}
