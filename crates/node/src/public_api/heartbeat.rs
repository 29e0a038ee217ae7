//! Answers workers' heartbeats, or relays them to the leaders of their shards.

use std::rc::Rc;

use tracing::info;

use crate::Node;
use crate::heartbeat_relay::{relay_heartbeat, worker_reply};
use lemonweir_coordination::{HeartbeatAnswer, HeartbeatId};
use lemonweir_protocol::decode;
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_transport::Reply;

/// Handles a worker's heartbeat. The response carries commands, redirects the worker to the
/// leader of its shard, or is that of the leader, to which the heartbeat is relayed.
pub(super) async fn handle_heartbeat(node: &Rc<Node>, body: &[u8]) -> Reply {
    let heartbeat: Heartbeat = match decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            info!(%error, "heartbeat malformed");
            return Reply::empty(400);
        }
    };
    let answer = node.with_core(|core, now| core.handle_heartbeat(&heartbeat, now));
    let answer = match answer {
        HeartbeatAnswer::Relay(leader) => {
            node.wake();
            return relay_heartbeat(node, leader, body).await;
        }
        HeartbeatAnswer::Held => {
            let held = node.held_heartbeats.hold(HeartbeatId::of(&heartbeat));
            node.wake();
            held.recv().await.unwrap_or(HeartbeatAnswer::Unavailable)
        }
        answer => {
            node.wake();
            answer
        }
    };
    let (status, body) = worker_reply(answer);
    Reply::new(status, body)
}
