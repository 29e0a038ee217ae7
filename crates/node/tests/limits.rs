//! Limits that a fleet of 4,000 machines meets: what is carried between controllers.

use lemonweir_coordination::socket_shares::SocketShares;
use lemonweir_model::constants::{CARRY_QUEUE, GATHER_MOST, MAX_BODY_BYTES, MAX_RESPONSE_BYTES};

/// All machines report within one gathering, after a pause of the process: none is
/// turned away, their messages are no more than the connections that a peer takes, and
/// none is larger than what it reads.
#[test]
fn reports_of_all_machines_can_be_carried_at_once() {
    for machines in [1_000, 2_000, 4_000] {
        let waiting = machines.min(CARRY_QUEUE);
        assert_eq!(waiting, machines, "reports wait");
        let messages = waiting.div_ceil(GATHER_MOST);
        for sockets in [1_800, 2_262, 65_536] {
            let peers = SocketShares::divide(sockets).peers;
            assert!(messages <= peers, "{messages} messages, {peers} peers");
        }
        let bytes = waiting.min(GATHER_MOST) * MAX_BODY_BYTES;
        assert!(bytes < MAX_RESPONSE_BYTES, "{bytes} bytes");
    }
}
