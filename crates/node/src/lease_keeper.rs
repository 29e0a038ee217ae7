//! This node's hold, and the parts that live with it.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tracing::{info, warn};

use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::{Node, wall_ms};
use lemonweir_coordination::ShardLease;
use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_model::JobId;
use lemonweir_model::constants::*;
use lemonweir_protocol::kv_store::from_value;
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{
    ImageLocationsRecord, TaskChunkRecord, assign_teams, image_locations_prefix, parse_image_locations_key,
    parse_task_chunk_key, task_chunks_prefix, register_controller,
};

/// Keeps the hold alive, for ever. Nothing else is waited for here.
///
/// Guards against a hold that ends, with all that lives with it, while the records of
/// one more part are read from a store that answers slowly.
pub async fn keep(node: Rc<Node>) {
    let mut renewed = 0;
    loop {
        if node.core().cache.revision.is_none() {
            smol::Timer::after(Duration::from_millis(TICK_MS)).await;
            continue;
        }
        // A hold lives from when its renewal was executed, which is after this.
        let now = node.now();
        node.core().set_clock(now, wall_ms());
        match node.hold.get() {
            0 => {
                if let Ok(hold) = node.state.hold(HOLD_TTL_MS).await {
                    info!(hold, "got a hold");
                    node.hold.set(hold);
                    renewed = now;
                }
            }
            hold if now >= renewed + HOLD_RENEW_MS => match node.state.renew(hold).await {
                Ok(()) => renewed = now,
                Err(KvError::NoHold) => {
                    warn!("the hold has ended");
                    node.hold.set(0);
                    continue;
                }
                Err(_) => {}
            },
            _ => {}
        }
        smol::Timer::after(Duration::from_millis(if node.hold.get() == 0 {
            5 * TICK_MS
        } else {
            2 * TICK_MS
        }))
        .await;
    }
}

/// Shows this node's presence, and takes and gives up parts, for ever.
pub async fn claim(node: Rc<Node>) {
    let mut membership = LeaderElection::new(node.core().config.members.len());
    let mut shown = 0;
    loop {
        let hold = node.hold.get();
        if hold != 0
            && let Err(KvError::NoHold) = tend(&node, hold, &mut shown, &mut membership).await
            && node.hold.get() == hold
        {
            node.hold.set(0);
        }
        smol::Timer::after(Duration::from_millis(2 * TICK_MS)).await;
    }
}

/// Does what is due with this hold. `shown`: the hold that the presence was last shown
/// with.
async fn tend(
    node: &Rc<Node>,
    hold: u64,
    shown: &mut u64,
    membership: &mut LeaderElection,
) -> Result<(), KvError> {
    if *shown != hold {
        let left = membership.left(&node.core(), node.now());
        node.state
            .cas(&register_controller(
                &node.settings.host_name,
                &node.settings.zone,
                hold,
                left,
            ))
            .await?;
        *shown = hold;
    }
    teams(node).await;
    shards(node, hold, membership).await
}

/// Records the parts of teams that have none yet.
async fn teams(node: &Node) {
    let missing = node.core().unassigned_teams();
    if missing.is_empty() {
        return;
    }
    // Another node may have been first; the mirror will show.
    let _ = node.state.cas(&assign_teams(&missing)).await;
    node.fresh().await;
}

/// Takes parts that are ours or ownerless, and hands back those whose home is
/// alive again.
async fn shards(
    node: &Rc<Node>,
    hold: u64,
    membership: &mut LeaderElection,
) -> Result<(), KvError> {
    let now = node.now();
    for index in 0..membership.shards() {
        let claim = membership.claim(&node.core(), index, now);
        let Some(claim) = claim else { continue };
        let left = membership.left(&node.core(), now);
        let cas = node.core().claim_txn(&claim, hold, left, now);
        let result = node.state.cas(&cas).await?;
        match (claim, result) {
            // An entry's slot or the part's key has changed meanwhile.
            (_, CompareAndSwapResult::Conflict(_)) => drop(node.fresh().await),
            (ElectionAction::Take { shard, .. }, CompareAndSwapResult::Done(token)) => {
                acquire(node, shard, token).await
            }
            (ElectionAction::HandBack(lease), CompareAndSwapResult::Done(_)) => {
                info!(shard = lease.shard, "handed the part back");
                give_up(node, lease).await;
            }
            (ElectionAction::Leave(lease), CompareAndSwapResult::Done(_)) => {
                warn!(
                    shard = lease.shard,
                    "its machines reach other nodes but not this one; leaving the part to them"
                );
                give_up(node, lease).await;
            }
        }
    }
    let raised = node.core().version_cas();
    if let Some(cas) = raised
        && let CompareAndSwapResult::Done(_) = node.state.cas(&cas).await?
    {
        info!("every controller reads the newest records");
        node.fresh().await;
    }
    let unshown = membership.unshown(&node.core(), now);
    if let Some(left) = unshown {
        node.state
            .cas(&register_controller(
                &node.settings.host_name,
                &node.settings.zone,
                hold,
                left,
            ))
            .await?;
        node.fresh().await;
    }
    Ok(())
}

/// A part that was given up in the store is given up here.
async fn give_up(node: &Node, lease: ShardLease) {
    node.core().release(lease.shard, node.now());
    node.fresh().await;
}

/// Loads the records of a part that was taken with this token.
async fn acquire(node: &Rc<Node>, index: u16, token: u64) {
    // From here on no earlier owner can write this part's records: all their
    // transactions demand their own token.
    let (chunks, images) = loop {
        match records(node, index).await {
            Ok(found) => break found,
            // Guards against a part that is taken anew, with another token, for each
            // page that the store does not answer.
            Err(fault) => info!(shard = index, %fault, "records not read; trying again"),
        }
        smol::Timer::after(Duration::from_millis(2 * TICK_MS)).await;
        let core = node.core();
        if core.cache.revision >= Some(token)
            && core
                .cache
                .shard_leaders
                .get(&index)
                .is_none_or(|h| h.fencing_token != token)
        {
            return;
        }
    };
    // The jobs must be at least as new as the records.
    while !node.fresh().await {
        smol::Timer::after(Duration::from_millis(TICK_MS)).await;
    }
    let now = node.now();
    let mut core = node.core();
    if core
        .cache
        .shard_leaders
        .get(&index)
        .is_some_and(|h| h.fencing_token == token)
    {
        core.acquire(
            ShardLease {
                shard: index,
                token,
            },
            &chunks,
            images,
            now,
        );
    }
    drop(core);
    node.poke();
}

/// Chunks of task records, each with its version.
type Chunks = Vec<(JobId, u32, TaskChunkRecord, u64)>;

/// Reads a part's records of tasks, and its notes of images.
async fn records(node: &Node, index: u16) -> Result<(Chunks, Vec<ImageLocationsRecord>), KvError> {
    let (entries, _) = node.state.list(&task_chunks_prefix(index)).await?;
    let mut chunks: Chunks = Vec::with_capacity(entries.len());
    for e in &entries {
        let record = |(job, chunk): (JobId, u32)| {
            Some((job, chunk, read_chunk(&e.value, chunk)?, e.version))
        };
        match parse_task_chunk_key(&e.key).and_then(record) {
            Some(record) => chunks.push(record),
            None => tracing::error!(key = e.key, "task record not understood"),
        }
    }
    let (entries, _) = node.state.list(&image_locations_prefix(index)).await?;
    let mut images: BTreeMap<usize, ImageLocationsRecord> = BTreeMap::new();
    for e in &entries {
        match (
            parse_image_locations_key(&e.key),
            from_value::<ImageLocationsRecord>(&e.value),
        ) {
            (Some(page), Some(record)) => drop(images.insert(page, record)),
            // Only a hint: a page that is not understood is written anew.
            _ => tracing::info!(key = e.key, "note of images not understood"),
        }
    }
    Ok((chunks, images.into_values().collect()))
}
