//! Relays workers' heartbeats that reached a controller other than the leader of their
//! shard: they go to the leader in batches, and its responses go back to the workers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use smol::channel::{Sender, bounded};
use tracing::debug;

use crate::{Node, sleep_ms};
use lemonweir_coordination::HeartbeatAnswer;
use lemonweir_model::constants::{HEARTBEAT_BATCH_MS, RELAYED_HEARTBEAT_TIMEOUT_MS};
use lemonweir_protocol::links::{
    self, LINKS_VERSION, RELAY_HEARTBEATS_PATH, RelayedHeartbeats, RelayedResponses,
};
use lemonweir_protocol::worker::{Heartbeat, Redirect};
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::{CallError, Reply, with_timeout};

/// Maximum number of heartbeats queued for one leader; further ones are refused at once.
/// After a stall of the process, all machines of a fleet of 4,000 may send a heartbeat
/// within one batching interval.
pub const MAX_QUEUED_HEARTBEATS_PER_LEADER: usize = 4_096;

/// Maximum number of heartbeats in one message, which is then some tenths of a MiB. 4,000
/// queued heartbeats need fewer messages than the connections a peer accepts from others.
pub const MAX_HEARTBEATS_PER_BATCH: usize = 128;

/// HTTP status and body of the response to a worker.
type WorkerReply = (u16, Vec<u8>);

/// A heartbeat queued for relaying, with the channel for the leader's response.
struct QueuedHeartbeat {
    body: Vec<u8>,
    reply_to: Sender<WorkerReply>,
}

/// Heartbeats queued for relaying, by the member index of the leading controller.
#[derive(Default)]
pub(crate) struct HeartbeatQueues {
    by_leader: RefCell<HashMap<u16, Vec<QueuedHeartbeat>>>,
}

/// Result of adding a heartbeat to a queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EnqueueOutcome {
    /// It is the first of a batch, whose sending must be started.
    First,
    /// It joined a batch whose sending is already scheduled.
    Joined,
    /// Not added: the leader's queue is full.
    Full,
}

impl HeartbeatQueues {
    fn enqueue(&self, leader: u16, heartbeat: QueuedHeartbeat) -> EnqueueOutcome {
        let mut queues = self.by_leader.borrow_mut();
        let queue = queues.entry(leader).or_default();
        if queue.len() >= MAX_QUEUED_HEARTBEATS_PER_LEADER {
            return EnqueueOutcome::Full;
        }
        queue.push(heartbeat);
        match queue.len() {
            1 => EnqueueOutcome::First,
            _ => EnqueueOutcome::Joined,
        }
    }

    fn take_all(&self, leader: u16) -> Vec<QueuedHeartbeat> {
        self.by_leader
            .borrow_mut()
            .remove(&leader)
            .unwrap_or_default()
    }
}

/// Relays a worker's heartbeat to the leader of its shard and returns the leader's response,
/// or 503 if the queue is full or no response arrives in time.
pub(crate) async fn relay_heartbeat(node: &Rc<Node>, leader: u16, body: &[u8]) -> Reply {
    let (reply_to, reply) = bounded(1);
    let heartbeat = QueuedHeartbeat {
        body: body.to_vec(),
        reply_to,
    };
    match node.heartbeat_queues.enqueue(leader, heartbeat) {
        EnqueueOutcome::Full => return Reply::empty(503),
        EnqueueOutcome::First => {
            let task_node = node.clone();
            node.executor
                .spawn(async move { send_batches(&task_node, leader).await })
                .detach();
        }
        EnqueueOutcome::Joined => {}
    }
    match with_timeout(
        RELAYED_HEARTBEAT_TIMEOUT_MS + HEARTBEAT_BATCH_MS,
        reply.recv(),
    )
    .await
    {
        Some(Ok((status, body))) => Reply::new(status, body),
        _ => Reply::empty(503),
    }
}

/// Sends the heartbeats queued within one batching interval, in messages of bounded size.
async fn send_batches(node: &Rc<Node>, leader: u16) {
    sleep_ms(HEARTBEAT_BATCH_MS).await;
    let mut waiting = node.heartbeat_queues.take_all(leader);
    while !waiting.is_empty() {
        let rest = waiting.split_off(waiting.len().min(MAX_HEARTBEATS_PER_BATCH));
        let batch = std::mem::replace(&mut waiting, rest);
        let task_node = node.clone();
        node.executor
            .spawn(async move { send_batch(&task_node, leader, batch).await })
            .detach();
    }
}

async fn send_batch(node: &Node, leader: u16, batch: Vec<QueuedHeartbeat>) {
    let (bodies, reply_channels): (Vec<Vec<u8>>, Vec<_>) = batch
        .into_iter()
        .map(|heartbeat| (heartbeat.body, heartbeat.reply_to))
        .unzip();
    let message = links::encode(&RelayedHeartbeats {
        version: LINKS_VERSION,
        relayed_by: node.with_core(|core, _| core.config.own_index),
        heartbeats: bodies,
    });
    let response = match node.router.peers.get(&leader) {
        Some(address) => {
            node.http
                .call(
                    *address,
                    "POST",
                    RELAY_HEARTBEATS_PATH,
                    &message,
                    RELAYED_HEARTBEAT_TIMEOUT_MS,
                )
                .await
        }
        None => Err(CallError::NotSent),
    };
    node.with_core(|core, now| core.links.record_peer_call(leader, response.is_ok(), now));
    let Ok(response) = response else { return };
    match links::decode::<RelayedResponses>(&response.body) {
        Ok(RelayedResponses { answers, .. }) if response.status == 200 => {
            for (reply_to, answer) in reply_channels.iter().zip(answers) {
                // The waiter may have timed out.
                let _ = reply_to.try_send(answer);
            }
        }
        _ => debug!(
            controller = leader,
            status = response.status,
            "relayed heartbeats refused by leader"
        ),
    }
}

/// Handles heartbeats relayed by another controller.
pub(crate) fn handle_relayed_heartbeats(node: &Node, relayed: &RelayedHeartbeats) -> Reply {
    let answers = node.with_core(|core, now| {
        let mut answers = Vec::with_capacity(relayed.heartbeats.len());
        for body in &relayed.heartbeats {
            answers.push(match decode::<Heartbeat>(body) {
                Ok(heartbeat) => {
                    worker_reply(core.handle_relayed_heartbeat(&heartbeat, relayed.relayed_by, now))
                }
                Err(_) => (400, Vec::new()),
            });
        }
        answers
    });
    node.wake();
    Reply::new(
        200,
        links::encode(&RelayedResponses {
            version: LINKS_VERSION,
            answers,
        }),
    )
}

/// The response to a worker whose heartbeat is not relayed further.
pub(crate) fn worker_reply(answer: HeartbeatAnswer) -> WorkerReply {
    match answer {
        HeartbeatAnswer::Commands(commands) => (200, encode(&commands)),
        HeartbeatAnswer::Redirect(host) => (421, encode(&Redirect { host: Some(host) })),
        HeartbeatAnswer::Relay(_) | HeartbeatAnswer::Unavailable | HeartbeatAnswer::Held => {
            (503, Vec::new())
        }
    }
}
