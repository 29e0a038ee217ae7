//! Workers' heartbeats.

use std::rc::Rc;

use tracing::info;

use crate::Node;
use crate::heartbeat_relay::{relay_heartbeat, worker_reply};
use lemonweir_coordination::HeartbeatAnswer;
use lemonweir_protocol::decode;
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_transport::Reply;

/// Answers a worker's heartbeat: with commands, with the leader to go to, or with the
/// answer of the leader, which it is relayed to.
pub(super) async fn handle_heartbeat(node: &Rc<Node>, body: &[u8]) -> Reply {
    let heartbeat: Heartbeat = match decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            info!(%error, "heartbeat malformed");
            return Reply::empty(400);
        }
    };
    let answer = node.with_core(|core, now| core.handle_heartbeat(&heartbeat, now));
    node.wake();
    if let HeartbeatAnswer::Relay(leader) = answer {
        return relay_heartbeat(node, leader, body).await;
    }
    let (status, body) = worker_reply(answer);
    Reply::new(status, body)
}
