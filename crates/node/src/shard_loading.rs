//! Loads the records of a shard that this controller has acquired.

use std::collections::BTreeMap;
use std::rc::Rc;

use tracing::{error, info};

use crate::kv_client::KvError;
use crate::{Node, sleep_ms};
use lemonweir_coordination::ShardLease;
use lemonweir_model::JobId;
use lemonweir_model::constants::TICK_MS;
use lemonweir_protocol::kv_store::from_value;
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{
    ImageLocationsRecord, TaskChunkRecord, image_locations_prefix, parse_image_locations_key,
    parse_task_chunk_key, task_chunks_prefix,
};

/// A chunk of task records: job, chunk index, record and version of its key.
type VersionedChunk = (JobId, u32, TaskChunkRecord, u64);

/// The records of a shard in the store.
struct ShardRecords {
    chunks: Vec<VersionedChunk>,
    images: Vec<ImageLocationsRecord>,
}

/// Loads a shard acquired under `lease` into the core, unless it is lost in the meantime.
pub(crate) async fn load_shard(node: &Rc<Node>, lease: ShardLease) {
    // From here on no earlier leader can write this shard's records: each of its
    // compare-and-swaps requires its own fencing token.
    let Some(records) = read_records_while_leading(node, lease).await else {
        return;
    };
    // The cached jobs must be at least as recent as the task records.
    while node.refresh_cache().await.is_err() {
        sleep_ms(TICK_MS).await;
    }
    node.with_core(|core, now| {
        let leading = core
            .cache
            .shard_leaders
            .get(&lease.shard)
            .is_some_and(|leader| leader.fencing_token == lease.token);
        if leading {
            core.acquire(lease, &records.chunks, records.images, now);
        }
    });
    node.wake();
}

/// Reads a shard's records, with retries until it succeeds. Returns `None` if the shard
/// has another leader by then, or is led under another fencing token.
async fn read_records_while_leading(node: &Node, lease: ShardLease) -> Option<ShardRecords> {
    loop {
        match read_records(node, lease.shard).await {
            Ok(records) => return Some(records),
            // Retried here, so that an unanswered page doesn't make this controller acquire
            // the shard again under another token.
            Err(fault) => info!(shard = lease.shard, %fault, "shard read failed; retrying"),
        }
        sleep_ms(2 * TICK_MS).await;
        let lost = node.with_core(|core, _| {
            core.cache.revision >= Some(lease.token)
                && core
                    .cache
                    .shard_leaders
                    .get(&lease.shard)
                    .is_none_or(|leader| leader.fencing_token != lease.token)
        });
        if lost {
            return None;
        }
    }
}

/// Reads a shard's task records and image locations.
async fn read_records(node: &Node, shard: u16) -> Result<ShardRecords, KvError> {
    Ok(ShardRecords {
        chunks: read_task_records(node, shard).await?,
        images: read_image_locations(node, shard).await?,
    })
}

async fn read_task_records(node: &Node, shard: u16) -> Result<Vec<VersionedChunk>, KvError> {
    let entries = node
        .kv_store
        .list(&task_chunks_prefix(shard))
        .await?
        .entries;
    let mut chunks = Vec::with_capacity(entries.len());
    for entry in &entries {
        let record = |(job, chunk): (JobId, u32)| {
            Some((job, chunk, read_chunk(&entry.value, chunk)?, entry.version))
        };
        match parse_task_chunk_key(&entry.key).and_then(record) {
            Some(record) => chunks.push(record),
            None => error!(key = entry.key, "task record malformed"),
        }
    }
    Ok(chunks)
}

async fn read_image_locations(
    node: &Node,
    shard: u16,
) -> Result<Vec<ImageLocationsRecord>, KvError> {
    let entries = node
        .kv_store
        .list(&image_locations_prefix(shard))
        .await?
        .entries;
    let mut pages: BTreeMap<usize, ImageLocationsRecord> = BTreeMap::new();
    for entry in &entries {
        match (
            parse_image_locations_key(&entry.key),
            from_value::<ImageLocationsRecord>(&entry.value),
        ) {
            (Some(page), Some(record)) => {
                pages.insert(page, record);
            }
            // Only a hint: a malformed page is rewritten later.
            _ => info!(key = entry.key, "image locations record malformed"),
        }
    }
    Ok(pages.into_values().collect())
}
