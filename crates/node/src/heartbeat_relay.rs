//! Workers' heartbeats that reached a controller other than the leader of their shard:
//! they are relayed to the leader in batches, and its answers are passed back.

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
use lemonweir_transport::{CallError, Reply, within};

/// Heartbeats that wait to be relayed to one leader at most; beyond it workers are turned
/// away at once. After a stall of the process all machines of a fleet of 4,000 may send
/// one within one batching interval.
pub const MAX_QUEUED_HEARTBEATS_PER_LEADER: usize = 4_096;

/// Heartbeats in one message at most: some tenths of a MiB. 4,000 that wait are then fewer
/// messages than a peer takes connections from others.
pub const MAX_HEARTBEATS_PER_BATCH: usize = 128;

/// HTTP status and body that a worker is answered with.
type WorkerReply = (u16, Vec<u8>);

/// A heartbeat that waits to be relayed, with who waits for the leader's answer.
struct QueuedHeartbeat {
    body: Vec<u8>,
    reply_to: Sender<WorkerReply>,
}

/// Heartbeats that wait to be relayed, by the number of the leading controller.
#[derive(Default)]
pub(crate) struct HeartbeatQueues {
    by_leader: RefCell<HashMap<u16, Vec<QueuedHeartbeat>>>,
}

/// What a heartbeat met in the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Enqueued {
    /// It is the first of a batch, which has to be sent.
    First,
    /// A batch that it goes with is under way.
    Joined,
    /// Too many wait for this leader.
    Full,
}

impl HeartbeatQueues {
    fn enqueue(&self, leader: u16, heartbeat: QueuedHeartbeat) -> Enqueued {
        let mut queues = self.by_leader.borrow_mut();
        let queue = queues.entry(leader).or_default();
        if queue.len() >= MAX_QUEUED_HEARTBEATS_PER_LEADER {
            return Enqueued::Full;
        }
        queue.push(heartbeat);
        match queue.len() {
            1 => Enqueued::First,
            _ => Enqueued::Joined,
        }
    }

    fn take_all(&self, leader: u16) -> Vec<QueuedHeartbeat> {
        self.by_leader
            .borrow_mut()
            .remove(&leader)
            .unwrap_or_default()
    }
}

/// Has a worker's heartbeat answered by the leader of its shard.
pub(crate) async fn relay_heartbeat(node: &Rc<Node>, leader: u16, body: &[u8]) -> Reply {
    let (reply_to, reply) = bounded(1);
    let heartbeat = QueuedHeartbeat {
        body: body.to_vec(),
        reply_to,
    };
    match node.heartbeat_queues.enqueue(leader, heartbeat) {
        Enqueued::Full => return Reply::empty(503),
        Enqueued::First => {
            let task_node = node.clone();
            node.executor
                .spawn(async move { send_batches(&task_node, leader).await })
                .detach();
        }
        Enqueued::Joined => {}
    }
    match within(
        RELAYED_HEARTBEAT_TIMEOUT_MS + HEARTBEAT_BATCH_MS,
        reply.recv(),
    )
    .await
    {
        Some(Ok((status, body))) => Reply::new(status, body),
        _ => Reply::empty(503),
    }
}

/// Sends what came within the batching interval, in messages of a bounded size.
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
    let (reports, reply_channels): (Vec<Vec<u8>>, Vec<_>) = batch
        .into_iter()
        .map(|heartbeat| (heartbeat.body, heartbeat.reply_to))
        .unzip();
    let message = links::encode(&RelayedHeartbeats {
        version: LINKS_VERSION,
        relayed_by: node.with_core(|core, _| core.config.own_index),
        heartbeats: reports,
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
                // Who waits may have given up.
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

/// Answers heartbeats that another controller relays here.
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

/// What a worker is answered where its heartbeat is not relayed.
pub(crate) fn worker_reply(answer: HeartbeatAnswer) -> WorkerReply {
    match answer {
        HeartbeatAnswer::Commands(commands) => (200, encode(&commands)),
        HeartbeatAnswer::Redirect(host) => (421, encode(&Redirect { host: Some(host) })),
        HeartbeatAnswer::Relay(_) | HeartbeatAnswer::Unavailable => (503, Vec::new()),
    }
}
