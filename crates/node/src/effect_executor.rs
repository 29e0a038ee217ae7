//! Carries out what the core asks for, and takes other controllers' messages.

use std::rc::Rc;

use tracing::{debug, error, info};

use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::lookups::end;
use crate::router::take_reports;
use crate::{Node, peer_address};
use lemonweir_coordination::owner::{CommandCall, CommandResult, SyncError};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, ShardOwnership};
use lemonweir_coordination::{Effect, keys_to_reread, mail_piece_bytes};
use lemonweir_model::constants::*;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{
    self, AvailabilityGossip, GOSSIP_PATH, LINKS_VERSION, RELAY_HEARTBEATS_PATH, RELAY_PATH,
    RelayRequest, RelayTarget, RelayedHeartbeats, Service,
};
use lemonweir_protocol::peer::{self, ShardView, Superseded, SyncRequest};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_protocol::{decode, encode};
use lemonweir_storage::records::{
    StoreMessageKind, StoreMessageRoute, parse_task_chunk_key, post, shard_key,
};
use lemonweir_transport::{CallError, Handler, Reply, Request};

/// Starts an effect; its end is an event of the core.
pub fn carry(node: &Rc<Node>, effect: Effect) {
    let node2 = node.clone();
    let work = async move {
        let node = node2;
        match effect {
            Effect::CompareAndSwap(lease, cas) => transaction(&node, lease, &cas).await,
            Effect::Chain(cas) => {
                let outcome = chain_transaction(&node, &cas).await;
                let now = node.now();
                node.core().chain_done(outcome, now);
            }
            Effect::ReadEnds(ids) => {
                for id in &ids {
                    if let Err(fault) = end(&node, id).await {
                        debug!(job = %id, %fault, "end not read");
                    }
                }
                let now = node.now();
                node.core().ends_read(&ids, now);
            }
            Effect::Command(lease, call) => {
                let result = command(&node, &call).await;
                let now = node.now();
                node.core().command_done(lease, &call, result, now);
            }
            Effect::Sync(lease, sync) => {
                let view = send_sync(&node, &sync).await;
                let now = node.now();
                node.core().sync_done(lease, sync.to_shard, view, now);
            }
            Effect::Note(cas) => {
                if let Err(fault) = node.state.cas(&cas).await {
                    debug!(%fault, "hint not written");
                }
            }
            Effect::MailSync(sync) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::Sync,
                    from_shard: sync.from_shard,
                    to_shard: sync.to_shard,
                };
                mail(
                    &node,
                    line,
                    (sync.from_fencing_token, sync.seq),
                    &peer::encode(&sync),
                )
                .await;
            }
            Effect::MailView(to, view) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: view.shard,
                    to_shard: to,
                };
                mail(&node, line, (view.fencing_token, view.seq), &peer::encode(&view)).await;
            }
            Effect::Nudge(shard) => nudge(&node, shard).await,
            Effect::Rent(lease, rental) => {
                let result = node.cloud.rent(&rental).await;
                let now = node.now();
                node.core().rented(lease, &rental, result, now);
            }
            Effect::Release(lease, machines) => {
                let done = node.cloud.release(&machines).await;
                if !done {
                    smol::Timer::after(std::time::Duration::from_millis(CLOUD_TROUBLE_MS)).await;
                }
                let now = node.now();
                node.core().released(lease, &machines, done, now);
            }
            Effect::Hail(host, word) => {
                let answer = hail(&node, host, &word).await;
                let now = node.now();
                node.core()
                    .links
                    .hailed(host, answer.is_some(), answer.flatten(), now);
            }
            Effect::Probe(service) => {
                // Reads what is there anyway; only whether it answers counts.
                let (path, wait_ms) = match service {
                    Service::Store => (format!("/store/{}", shard_key(0)), STATE_TIMEOUT_MS),
                    Service::Cloud => ("/catalog".to_owned(), CLOUD_TIMEOUT_MS),
                };
                let _ = node
                    .courier
                    .call_direct(service, "GET", &path, &[], wait_ms)
                    .await;
            }
        }
        node.poke();
    };
    node.executor.spawn(work).detach();
}

/// Makes a transaction for waiting jobs; after one that moved something the copy is read
/// again, so that what may start is placed at once.
async fn chain_transaction(node: &Node, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
    match node.state.cas(cas).await {
        Ok(CompareAndSwapResult::Done(revision)) => {
            node.fresh().await;
            CompareAndSwapOutcome::Done(revision)
        }
        Ok(CompareAndSwapResult::Conflict(keys)) => {
            info!(?keys, "transaction for waiting jobs met other versions");
            node.fresh().await;
            CompareAndSwapOutcome::Conflict(keys)
        }
        Err(fault) => {
            debug!(%fault, "transaction for waiting jobs not made");
            CompareAndSwapOutcome::Again
        }
    }
}

async fn transaction(node: &Node, lease: lemonweir_coordination::ShardLease, cas: &CompareAndSwap) {
    let outcome = match node.state.cas(cas).await {
        Ok(CompareAndSwapResult::Done(revision)) => CompareAndSwapOutcome::Done(revision),
        Ok(CompareAndSwapResult::Conflict(keys)) => CompareAndSwapOutcome::Conflict(keys),
        Err(error) => {
            if error == KvError::Refused {
                error!(
                    shard = lease.shard,
                    writes = cas.writes.len(),
                    "the store refused a transaction as malformed"
                );
                CompareAndSwapOutcome::Refused
            } else {
                // Whether it was made or not, the same change is tried again under
                // the same conditions; a conflict then tells.
                smol::Timer::after(std::time::Duration::from_millis(2 * TICK_MS)).await;
                CompareAndSwapOutcome::Again
            }
        }
    };
    let verdict = match outcome {
        // Guards against placing on versions of keys that a lost answer has
        // changed: they are read before the transaction counts as ended.
        CompareAndSwapOutcome::Conflict(ref keys) => {
            let mut versions = Vec::new();
            for key in keys_to_reread(lease, keys) {
                let version = loop {
                    match node.state.get(key).await {
                        Ok(entry) => break entry.map_or(0, |e| e.version),
                        Err(_) => {
                            smol::Timer::after(std::time::Duration::from_millis(2 * TICK_MS)).await
                        }
                    };
                };
                versions.push((key.to_owned(), version));
            }
            let mut core = node.core();
            for (key, version) in &versions {
                if let Some((job, chunk)) = parse_task_chunk_key(key) {
                    core.reread(lease, &job, chunk, *version);
                }
            }
            info!(shard = lease.shard, ?keys, "transaction met other versions");
            core.cas_done(lease, outcome, node.now())
        }
        outcome => {
            let now = node.now();
            node.core().cas_done(lease, outcome, now)
        }
    };
    if verdict == ShardOwnership::Lost {
        node.fresh().await;
    }
}

async fn command(node: &Node, call: &CommandCall) -> CommandResult {
    debug!(machine = %call.machine, through = ?call.through, orders = ?call.commands.commands, "orders");
    let (path, body) = ("/commands", encode(&call.commands));
    let answer = match call.through {
        None => {
            node.http
                .call(call.addr, "POST", path, &body, COMMAND_TIMEOUT_MS)
                .await
        }
        Some(by) => {
            let goal = RelayTarget::Worker(call.addr.to_string());
            let (method, path) = ("POST".to_owned(), path.to_owned());
            node.courier
                .ask(
                    by,
                    &RelayRequest {
                        version: LINKS_VERSION,
                        target: goal,
                        method,
                        path,
                        body,
                        timeout_ms: COMMAND_TIMEOUT_MS,
                    },
                )
                .await
        }
    };
    match answer {
        Ok(response) => match (response.status, decode::<Heartbeat>(&response.body)) {
            (200, Ok(report)) => CommandResult::Executed(report),
            (409, Ok(report)) => CommandResult::Refused(report),
            (400, _) => CommandResult::NotSent,
            _ => CommandResult::Unknown,
        },
        Err(CallError::NotSent) => CommandResult::NotSent,
        Err(CallError::Unknown) => CommandResult::Unknown,
    }
}

/// Tells another controller of our links; its answer, if one comes, with what it
/// says of its own, if it does.
async fn hail(
    node: &Node,
    host: u16,
    word: &AvailabilityGossip,
) -> Option<Option<AvailabilityGossip>> {
    let addr = *node.courier.peers.get(&host)?;
    let response = node
        .http
        .call(
            addr,
            "POST",
            GOSSIP_PATH,
            &links::encode(word),
            SYNC_TIMEOUT_MS,
        )
        .await
        .ok()?;
    Some(
        links::decode::<AvailabilityGossip>(&response.body)
            .ok()
            .filter(|_| response.status == 200),
    )
}

async fn send_sync(node: &Node, sync: &SyncRequest) -> Option<ShardView> {
    let host = node.core().cache.shard_leaders.get(&sync.to_shard)?.host.clone();
    let addr = peer_address(node, &host)?;
    let response = node
        .http
        .call(
            addr,
            "POST",
            "/peer/sync",
            &peer::encode(sync),
            SYNC_TIMEOUT_MS,
        )
        .await
        .ok()?;
    if response.status == 409
        && let Ok(by) = peer::decode::<Superseded>(&response.body)
    {
        let now = node.now();
        node.core().superseded(by, now);
        return None;
    }
    if response.status != 200 {
        debug!(
            shard = sync.from_shard,
            to = sync.to_shard,
            status = response.status,
            "sync refused"
        );
        return None;
    }
    match peer::decode::<ShardView>(&response.body) {
        Ok(view) => Some(view),
        Err(fault) => {
            info!(%addr, fault, "answer of another controller not understood");
            None
        }
    }
}

/// Writes a peer message to the store, in as many values as it takes. It is
/// not repeated: the next message of the line says all again.
async fn mail(node: &Node, line: StoreMessageRoute, id: (u64, u64), bytes: &[u8]) {
    let hold = match node.hold.get() {
        0 => return,
        hold => hold,
    };
    let piece_bytes = mail_piece_bytes(node.core().config.value_bytes);
    let cas = post(line, id, bytes, piece_bytes, hold);
    if cas.writes.len() > node.core().config.txn_ops {
        error!(bytes = bytes.len(), "message too large for the store");
        return;
    }
    if let Err(fault) = node.state.cas(&cas).await {
        debug!(from = line.from_shard, to = line.to_shard, %fault, "message not stored");
    }
}

async fn nudge(node: &Node, shard: u16) {
    let Some((host, from)) = ({
        let core = node.core();
        core.cache
            .shard_leaders
            .get(&shard)
            .map(|h| (h.host.clone(), core.held()))
    }) else {
        return;
    };
    let Some(addr) = peer_address(node, &host) else {
        return;
    };
    for lease in from {
        // Only a hint: the regular sync comes anyway.
        let _ = node
            .http
            .call(
                addr,
                "POST",
                &format!("/peer/nudge/{shard}/{}", lease.shard),
                &[],
                SYNC_TIMEOUT_MS,
            )
            .await;
    }
}

/// Answers a message of another controller, if it is one.
fn understood<T>(message: Result<T, String>, answer: impl FnOnce(T) -> Reply) -> Reply {
    match message {
        Ok(message) => answer(message),
        Err(fault) => {
            info!(fault, "message of another controller not understood");
            Reply::empty(400)
        }
    }
}

/// What other controllers may ask.
pub struct PeerApi(pub Rc<Node>);

impl Handler for PeerApi {
    async fn handle(&self, request: Request) -> Reply {
        let node = &self.0;
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/peer/sync") => match peer::decode::<SyncRequest>(&request.body) {
                Ok(sync) => {
                    let now = node.now();
                    let answer = node.core().sync_in(&sync, now);
                    node.poke();
                    match answer {
                        Ok(view) => Reply::new(200, peer::encode(&view)),
                        Err(refusal) => {
                            debug!(from = sync.from_shard, to = sync.to_shard, %refusal, "sync not taken");
                            match refusal {
                                SyncError::Superseded(by) => Reply::new(409, peer::encode(&by)),
                                _ => Reply::empty(409),
                            }
                        }
                    }
                }
                Err(fault) => understood(Err(fault), |()| Reply::empty(500)),
            },
            ("POST", GOSSIP_PATH) => {
                understood(links::decode::<AvailabilityGossip>(&request.body), |word| {
                    let now = node.now();
                    Reply::new(200, links::encode(&node.core().links.hail_in(word, now)))
                })
            }
            ("POST", RELAY_HEARTBEATS_PATH) => {
                understood(links::decode::<RelayedHeartbeats>(&request.body), |reports| {
                    take_reports(node, &reports)
                })
            }
            ("POST", CARRY) => match links::decode::<RelayRequest>(&request.body) {
                Ok(call) => node.courier.carry(&call).await,
                Err(fault) => understood(Err(fault), |()| Reply::empty(500)),
            },
            ("POST", path) if path.starts_with("/peer/nudge/") => {
                let mut numbers = path
                    .trim_start_matches("/peer/nudge/")
                    .split('/')
                    .map(str::parse::<u16>);
                match (numbers.next(), numbers.next()) {
                    (Some(Ok(shard)), Some(Ok(from))) => {
                        node.core().nudged(shard, from);
                        node.poke();
                        Reply::empty(200)
                    }
                    _ => Reply::empty(400),
                }
            }
            ("POST", "/peer/jobs") => {
                // A job was accepted elsewhere: read it now rather than at the
                // next regular reading.
                let node = node.clone();
                node.clone()
                    .executor
                    .spawn(async move { node.fresh().await })
                    .detach();
                Reply::empty(200)
            }
            _ => Reply::empty(404),
        }
    }
}
