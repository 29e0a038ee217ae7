//! Executes the effects that the core requests, one function per effect, and reports their
//! results back to the core.

use std::rc::Rc;

use tracing::{debug, error, info};

use crate::job_lookup::read_job_end;
use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::router::{ServiceCall, WORKER_COMMANDS_PATH};
use crate::{Node, peer_api, sleep_ms};
use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, ShardOwnership};
use lemonweir_coordination::{
    Effect, PULL_INTERVAL_MS, ProgressMessage, ShardLease, keys_to_reread,
    store_message_piece_bytes,
};
use lemonweir_model::constants::{
    CLOUD_TIMEOUT_MS, CLOUD_TROUBLE_MS, COMMAND_TIMEOUT_MS, STORE_TIMEOUT_MS, SYNC_TIMEOUT_MS,
    TICK_MS,
};
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{
    self, AvailabilityGossip, GOSSIP_PATH, LINKS_VERSION, RelayRequest, RelayTarget, Service,
};
use lemonweir_protocol::peer::{self, ShardView, Superseded, SyncRequest};
use lemonweir_protocol::progress::{PROGRESS_PATH, ProgressQuery};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_protocol::{decode, encode};
use lemonweir_storage::records::{
    StoreMessageKind, StoreMessageRoute, parse_task_chunk_key, shard_key, write_store_message,
};
use lemonweir_transport::{CallError, Response};

/// ms after which a failed store request is repeated.
const STORE_RETRY_MS: u64 = 2 * TICK_MS;

/// Executes an effect: at once if it only passes on an answer, else in a task of its own that then
/// requests a flush of the core.
pub(crate) fn execute(node: &Rc<Node>, effect: Effect) {
    let effect = match effect {
        Effect::AnswerHeartbeat(id, answer) => return node.held_heartbeats.answer(&id, answer),
        effect => effect,
    };
    let task_node = node.clone();
    node.executor
        .spawn(async move {
            run(&task_node, effect).await;
            task_node.wake();
        })
        .detach();
}

/// Executes an effect to completion.
async fn run(node: &Node, effect: Effect) {
    match effect {
        Effect::CompareAndSwap(lease, cas) => commit_task_records(node, lease, &cas).await,
        Effect::DependencyCompareAndSwap(cas) => commit_dependent_jobs(node, &cas).await,
        Effect::ReadFinalStates(ids) => read_job_ends(node, &ids).await,
        Effect::WriteHint(cas) => write_hint(node, &cas).await,
        Effect::AnswerHeartbeat(id, answer) => node.held_heartbeats.answer(&id, answer),
        Effect::Command(lease, call) => send_command(node, lease, &call).await,
        Effect::Sync(lease, sync) => sync_with_peer(node, lease, &sync).await,
        Effect::StoreSync(sync) => store_sync_request(node, &sync).await,
        Effect::StoreView(to, view) => store_shard_view(node, to, &view).await,
        Effect::PullProgress(index, query) => pull_progress(node, index, &query).await,
        Effect::StoreProgress(message) => store_progress(node, &message).await,
        Effect::WakePeer(shard) => wake_peer(node, shard).await,
        Effect::Provision(lease, request) => provision(node, lease, &request).await,
        Effect::ReleaseInstances(lease, machines) => {
            release_instances(node, lease, &machines).await;
        }
        Effect::SendGossip(peer_index, gossip) => send_gossip(node, peer_index, &gossip).await,
        Effect::ProbeService(service) => probe_direct_route(node, service).await,
    }
}

/// Commits a compare-and-swap of the core.
async fn commit(node: &Node, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
    match node.kv_store.cas(cas).await {
        Ok(CompareAndSwapResult::Committed(revision)) => CompareAndSwapOutcome::Committed(revision),
        Ok(CompareAndSwapResult::Conflict(keys)) => CompareAndSwapOutcome::Conflict(keys),
        Err(KvError::Refused) => CompareAndSwapOutcome::Rejected,
        Err(fault) => {
            debug!(%fault, "outcome of a compare-and-swap unknown");
            CompareAndSwapOutcome::Indeterminate
        }
    }
}

/// Commits task records of a shard, and reports the outcome to the core.
async fn commit_task_records(node: &Node, lease: ShardLease, cas: &CompareAndSwap) {
    let outcome = commit(node, cas).await;
    match &outcome {
        CompareAndSwapOutcome::Conflict(keys) => {
            // An earlier compare-and-swap whose response was lost may have changed these
            // keys. Their versions are reread before this one counts as completed, so that
            // no placement is based on stale versions.
            let versions = reread_versions(node, lease, keys).await;
            info!(
                shard = lease.shard,
                fencing_token = lease.token,
                ?keys,
                "compare-and-swap conflict"
            );
            node.with_core(|core, _| {
                for (key, version) in &versions {
                    if let Some((job, chunk)) = parse_task_chunk_key(key) {
                        core.chunk_reread(lease, &job, chunk, *version);
                    }
                }
            });
        }
        // The same change is retried under the same conditions, and a conflict then shows
        // whether it was committed.
        CompareAndSwapOutcome::Indeterminate => sleep_ms(STORE_RETRY_MS).await,
        CompareAndSwapOutcome::Committed(_) | CompareAndSwapOutcome::Rejected => {}
    }
    let ownership = node.with_core(|core, now| core.cas_completed(lease, outcome, now));
    if ownership == ShardOwnership::Lost {
        let _ = node.refresh_cache().await;
    }
}

/// Reads the current versions of the task records among these keys, 0 for a missing key.
/// Retries each read until it succeeds.
async fn reread_versions(
    node: &Node,
    lease: ShardLease,
    conflicts: &[String],
) -> Vec<(String, u64)> {
    let mut versions = Vec::new();
    for key in keys_to_reread(lease, conflicts) {
        let version = loop {
            match node.kv_store.get(key).await {
                Ok(entry) => break entry.map_or(0, |entry| entry.version),
                Err(_) => sleep_ms(STORE_RETRY_MS).await,
            }
        };
        versions.push((key.to_owned(), version));
    }
    versions
}

/// Commits a change of jobs that depend on others. After a commit or a conflict the cache is
/// refreshed, so that jobs that may now start are placed at once.
async fn commit_dependent_jobs(node: &Node, cas: &CompareAndSwap) {
    let outcome = commit(node, cas).await;
    match &outcome {
        CompareAndSwapOutcome::Committed(_) => {
            let _ = node.refresh_cache().await;
        }
        CompareAndSwapOutcome::Conflict(keys) => {
            info!(?keys, "compare-and-swap conflict of dependent jobs");
            let _ = node.refresh_cache().await;
        }
        CompareAndSwapOutcome::Rejected | CompareAndSwapOutcome::Indeterminate => {}
    }
    node.with_core(|core, now| core.dependency_cas_completed(outcome, now));
}

/// Reads the final states of jobs that others depend on.
async fn read_job_ends(node: &Node, ids: &[JobId]) {
    for id in ids {
        if let Err(fault) = read_job_end(node, id).await {
            debug!(job_id = %id, %fault, "failed to read job end record");
        }
    }
    node.with_core(|core, now| core.final_states_read(ids, now));
}

/// Writes records that are useful but not required, such as image locations. A failure is only
/// logged.
async fn write_hint(node: &Node, cas: &CompareAndSwap) {
    if let Err(fault) = node.kv_store.cas(cas).await {
        debug!(%fault, "failed to write hint");
    }
}

/// Sends commands to a worker, directly or through a relay peer, and reports the result to
/// the core.
async fn send_command(node: &Node, lease: ShardLease, call: &CommandCall) {
    debug!(machine = %call.machine, relay_peer = ?call.relayed_by, commands = ?call.commands.commands, "sending commands");
    let body = encode(&call.commands);
    let response = match call.relayed_by {
        None => {
            node.http
                .call(
                    call.addr,
                    "POST",
                    WORKER_COMMANDS_PATH,
                    &body,
                    COMMAND_TIMEOUT_MS,
                )
                .await
        }
        Some(relay_peer) => {
            let request = RelayRequest {
                version: LINKS_VERSION,
                target: RelayTarget::Worker(call.addr.to_string()),
                method: "POST".to_owned(),
                path: WORKER_COMMANDS_PATH.to_owned(),
                body,
                timeout_ms: COMMAND_TIMEOUT_MS,
            };
            node.router.send_relay_request(relay_peer, &request).await
        }
    };
    let result = match response {
        Ok(response) => match (response.status, decode::<Heartbeat>(&response.body)) {
            (200, Ok(heartbeat)) => CommandResult::Executed(heartbeat),
            (409, Ok(heartbeat)) => CommandResult::Refused(heartbeat),
            (400, _) => CommandResult::NotSent,
            _ => CommandResult::Unknown,
        },
        Err(CallError::NotSent) => CommandResult::NotSent,
        Err(CallError::Unknown) => CommandResult::Unknown,
    };
    node.with_core(|core, now| core.command_completed(lease, call, result, now));
}

/// Syncs with the leader of a shard on another controller by a direct call.
async fn sync_with_peer(node: &Node, lease: ShardLease, sync: &SyncRequest) {
    let view = send_sync_request(node, sync).await;
    node.with_core(|core, now| core.sync_completed(lease, sync.to_shard, view, now));
}

/// Sends a sync request to the leader of its target shard. Returns `None` if no valid view
/// is received.
async fn send_sync_request(node: &Node, sync: &SyncRequest) -> Option<ShardView> {
    let host = leader_host(node, sync.to_shard)?;
    let address = node.peer_address(&host)?;
    let response = node
        .http
        .call(
            address,
            "POST",
            peer_api::SYNC_PATH,
            &peer::encode(sync),
            SYNC_TIMEOUT_MS,
        )
        .await
        .ok()?;
    if response.status == 409
        && let Ok(by) = peer::decode::<Superseded>(&response.body)
    {
        node.with_core(|core, now| core.handle_superseded(by, now));
        return None;
    }
    if response.status != 200 {
        debug!(
            from_shard = sync.from_shard,
            to_shard = sync.to_shard,
            status = response.status,
            "sync refused by peer"
        );
        return None;
    }
    match peer::decode::<ShardView>(&response.body) {
        Ok(view) => Some(view),
        Err(fault) => {
            info!(%address, %fault, "peer response malformed");
            None
        }
    }
}

/// Pulls progress from the leader of a shard, and reports the answer to the core.
async fn pull_progress(node: &Node, index: u16, query: &ProgressQuery) {
    let sent_at = node.now_ms();
    let response = send_progress_query(node, index, query).await;
    node.with_core(|core, now| match response {
        Some(response) if response.status == 404 => core.pull_unsupported(query, now),
        response => {
            let page = response
                .filter(|response| response.status == 200)
                .and_then(|response| peer::decode(&response.body).ok());
            core.progress_pulled(query, page, sent_at, now);
        }
    });
}

async fn send_progress_query(node: &Node, index: u16, query: &ProgressQuery) -> Option<Response> {
    let address = node.router.peers.get(&index)?;
    let body = peer::encode(query);
    let call = node
        .http
        .call(*address, "POST", PROGRESS_PATH, &body, PULL_INTERVAL_MS);
    call.await.ok()
}

/// Writes a shard's progress to the store.
async fn store_progress(node: &Node, message: &ProgressMessage) {
    if let Some(revision) = store_message(node, message.route, message.id, &message.bytes).await {
        node.with_core(|core, _| core.note_committed_revision(revision));
    }
}

/// Host of the controller that leads a shard according to the cache.
fn leader_host(node: &Node, shard: u16) -> Option<String> {
    node.with_core(|core, _| {
        core.cache
            .shard_leaders
            .get(&shard)
            .map(|leader| leader.host.clone())
    })
}

/// Sends a sync request through the store.
async fn store_sync_request(node: &Node, sync: &SyncRequest) {
    let route = StoreMessageRoute {
        kind: StoreMessageKind::Sync,
        from_shard: sync.from_shard,
        to_shard: sync.to_shard,
    };
    store_message(
        node,
        route,
        (sync.from_fencing_token, sync.seq),
        &peer::encode(sync),
    )
    .await;
}

/// Answers a sync request through the store.
async fn store_shard_view(node: &Node, target_shard: u16, view: &ShardView) {
    let route = StoreMessageRoute {
        kind: StoreMessageKind::View,
        from_shard: view.shard,
        to_shard: target_shard,
    };
    store_message(
        node,
        route,
        (view.fencing_token, view.seq),
        &peer::encode(view),
    )
    .await;
}

/// Writes a peer message to the store, split into as many values as needed. A failed write
/// is not retried: the next message of the route repeats all changes that its receiver has not
/// acknowledged. `message_id` is the sender's fencing token and the sequence number. Returns the
/// revision at which it was committed.
async fn store_message(
    node: &Node,
    route: StoreMessageRoute,
    message_id: (u64, u64),
    bytes: &[u8],
) -> Option<u64> {
    let lease = node.store_lease.get()?;
    let (piece_bytes, max_writes) = node.with_core(|core, _| {
        (
            store_message_piece_bytes(core.config.value_bytes),
            core.config.cas_max_changes,
        )
    });
    let cas = write_store_message(route, message_id, bytes, piece_bytes, lease.get());
    if cas.writes.len() > max_writes {
        error!(
            message_bytes = bytes.len(),
            "peer message too large for the key-value store"
        );
        return None;
    }
    match node.kv_store.cas(&cas).await {
        Ok(CompareAndSwapResult::Committed(revision)) => Some(revision),
        Ok(CompareAndSwapResult::Conflict(_)) => None,
        Err(fault) => {
            debug!(from_shard = route.from_shard, to_shard = route.to_shard, %fault, "failed to store peer message");
            None
        }
    }
}

/// Asks the leader of a shard on another controller to sync with all shards that this
/// controller leads.
async fn wake_peer(node: &Node, shard: u16) {
    let Some(host) = leader_host(node, shard) else {
        return;
    };
    let leases = node.with_core(|core, _| core.leases());
    let Some(address) = node.peer_address(&host) else {
        return;
    };
    for lease in leases {
        let path = peer_api::wake_path(shard, lease.shard);
        // Only a hint: the regular sync follows anyway.
        let _ = node
            .http
            .call(address, "POST", &path, &[], SYNC_TIMEOUT_MS)
            .await;
    }
}

/// Provisions instances, and reports the result to the core.
async fn provision(node: &Node, lease: ShardLease, request: &ProvisioningRequest) {
    let result = node.cloud.provision(request).await;
    node.with_core(|core, now| core.provisioning_completed(lease, request, result, now));
}

/// Releases instances, and reports the result to the core.
async fn release_instances(node: &Node, lease: ShardLease, machines: &[MachineId]) {
    let released = node.cloud.release(machines).await;
    if !released {
        sleep_ms(CLOUD_TROUBLE_MS).await;
    }
    node.with_core(|core, now| core.instances_released(lease, machines, released, now));
}

/// Sends another controller what this one can reach. The response, unless malformed, carries
/// what the other one can reach.
async fn send_gossip(node: &Node, peer_index: u16, gossip: &AvailabilityGossip) {
    let response = match node.router.peers.get(&peer_index) {
        Some(address) => node
            .http
            .call(
                *address,
                "POST",
                GOSSIP_PATH,
                &links::encode(gossip),
                SYNC_TIMEOUT_MS,
            )
            .await
            .ok(),
        None => None,
    };
    let answered = response.is_some();
    let peer_gossip = response
        .filter(|response| response.status == 200)
        .and_then(|response| links::decode::<AvailabilityGossip>(&response.body).ok());
    node.with_core(|core, now| {
        core.links
            .gossip_completed(peer_index, answered, peer_gossip, now);
    });
}

/// Probes the direct route to a service with a read-only request. The result is discarded:
/// the router records whether the call was served.
async fn probe_direct_route(node: &Node, service: Service) {
    let (path, timeout_ms) = match service {
        Service::Store => (format!("/store/{}", shard_key(0)), STORE_TIMEOUT_MS),
        Service::Cloud => ("/catalog".to_owned(), CLOUD_TIMEOUT_MS),
    };
    let _ = node
        .router
        .call_direct(&ServiceCall {
            service,
            method: "GET",
            path: &path,
            body: &[],
            timeout_ms,
        })
        .await;
}
