//! Looks up job ids in the store that the state cache does not contain. One compare-and-swap
//! without writes checks many ids: its result is more recent than the queries, so that a 404
//! is correct, and a flood of unknown ids uses a bounded share of the store's request rate.
//! The job whose reply has been pending longest goes first.

use std::rc::Rc;
use std::time::Duration;

use smol::channel::{Sender, bounded};
use tracing::error;

use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::{Node, sleep_ms};
use lemonweir_coordination::query_admission::LookupQueue;
use lemonweir_model::JobId;
use lemonweir_model::constants::{
    CONDITIONS_PER_WRITE, HEARTBEAT_BATCH_MS, MAX_PENDING_LOOKUPS, USER_TIMEOUT_MS,
};
use lemonweir_protocol::kv_store::from_value;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::blocked_job_key;
use lemonweir_storage::records::{
    CONDITIONS_PER_ABSENT_JOB, END_PREFIX, JobEndRecord, check_jobs_absent, end_key, job_key,
};
use lemonweir_transport::with_timeout;

/// ms between two lookup batches, which then use a tenth of a small controller's share of
/// the store's request rate.
const BATCH_INTERVAL_MS: u64 = 100;

/// Lookups of unknown ids are refused while a query would wait longer than this for the
/// store's rate limit: lease renewals, task starts and submissions have precedence.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(150);

/// Job end records read in one request with the requested one. Ids are assigned in order, so
/// a controller that missed one end mostly missed those of adjacent ids too. Some 12 KiB.
const ENDS_PAGE_ENTRIES: u32 = 256;

/// State of a job in the store, at a moment after the lookup was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoredJob {
    /// There is no such job.
    NotFound,
    /// The job is unfinished.
    Unfinished,
    /// The job ended in this phase.
    Ended(JobPhase),
}

/// Why a job lookup failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LookupError {
    /// Other store requests, or jobs whose replies have been pending longer, have precedence.
    #[error("job lookup refused: queue full or key-value store busy")]
    Refused,
    /// The store did not answer, or not in time.
    #[error("key-value store did not answer a job lookup")]
    StoreUnavailable,
}

type LookupResult = Result<StoredJob, LookupError>;

/// Job ids queued for lookup, each with the channels of its waiters.
pub(crate) struct JobLookupQueue {
    queue: LookupQueue<Sender<LookupResult>>,
    /// True while a task dequeues batches.
    running: bool,
}

impl Default for JobLookupQueue {
    fn default() -> Self {
        Self {
            queue: LookupQueue::new(MAX_PENDING_LOOKUPS),
            running: false,
        }
    }
}

/// Looks up a job id, in a batch with others.
///
/// # Errors
///
/// Returns [`LookupError::Refused`] if the queue is full of ids whose replies have been
/// pending longer, or if the store is busy with requests that have precedence, and
/// [`LookupError::StoreUnavailable`] if the store does not answer in time.
pub(crate) async fn look_up_job(node: &Rc<Node>, id: &JobId) -> LookupResult {
    let now_ms = node.now_ms();
    let (pending_since_ms, has_priority) = {
        let admission = node.query_admission.borrow();
        (
            admission.pending_since(id, now_ms),
            admission.has_priority(id, now_ms),
        )
    };
    if !has_priority && node.kv_store.query_wait() > MAX_QUERY_WAIT {
        return Err(LookupError::Refused);
    }
    let (reply_to, reply) = bounded(1);
    if enqueue(node, id, pending_since_ms, reply_to) {
        let task_node = node.clone();
        node.executor
            .spawn(async move { run_batches(&task_node).await })
            .detach();
    }
    with_timeout(USER_TIMEOUT_MS, reply.recv())
        .await
        .and_then(Result::ok)
        .unwrap_or(Err(LookupError::StoreUnavailable))
}

/// Adds a waiter for an id to the queue. Returns true if the caller must start the task that
/// runs the batches.
fn enqueue(node: &Node, id: &JobId, pending_since_ms: u64, reply_to: Sender<LookupResult>) -> bool {
    let mut lookups = node.job_lookups.borrow_mut();
    for displaced in lookups.queue.enqueue(id, pending_since_ms, reply_to) {
        // The waiter may have timed out.
        let _ = displaced.try_send(Err(LookupError::Refused));
    }
    !std::mem::replace(&mut lookups.running, true)
}

/// Looks up the queued ids, batch by batch, until the queue is empty.
async fn run_batches(node: &Rc<Node>) {
    sleep_ms(HEARTBEAT_BATCH_MS).await;
    let max_cas_writes = node.with_core(|core, _| core.config.cas_max_changes);
    let max_batch = (CONDITIONS_PER_WRITE * max_cas_writes / CONDITIONS_PER_ABSENT_JOB).max(1);
    loop {
        let batch = {
            let mut lookups = node.job_lookups.borrow_mut();
            let batch = lookups.queue.dequeue(max_batch);
            if batch.is_empty() {
                lookups.running = false;
                return;
            }
            batch
        };
        let task_node = node.clone();
        node.executor
            .spawn(async move { look_up_batch(&task_node, batch).await })
            .detach();
        sleep_ms(BATCH_INTERVAL_MS).await;
    }
}

/// Looks up all these ids with one compare-and-swap whose conditions require that none
/// exists.
async fn look_up_batch(node: &Node, batch: Vec<(JobId, Vec<Sender<LookupResult>>)>) {
    let ids: Vec<JobId> = batch.iter().map(|(id, _)| id.clone()).collect();
    let existing_keys = match node.kv_store.cas(&check_jobs_absent(&ids)).await {
        Ok(CompareAndSwapResult::Committed(_)) => Ok(Vec::new()),
        Ok(CompareAndSwapResult::Conflict(keys)) => Ok(keys),
        Err(error) => Err(error),
    };
    for (id, waiting) in batch {
        let result = match &existing_keys {
            Err(_) => Err(LookupError::StoreUnavailable),
            Ok(keys) if keys.contains(&end_key(&id)) => read_job_end(node, &id)
                .await
                .map(StoredJob::Ended)
                .map_err(|_| LookupError::StoreUnavailable),
            Ok(keys) if keys.contains(&job_key(&id)) || keys.contains(&blocked_job_key(&id)) => {
                Ok(StoredJob::Unfinished)
            }
            Ok(_) => Ok(StoredJob::NotFound),
        };
        for reply_to in waiting {
            // The waiter may have timed out.
            let _ = reply_to.try_send(result);
        }
    }
}

/// Returns the phase in which a job ended. It never changes, so it is read once and cached.
/// The end records of adjacent ids are read with it: otherwise a process that has just
/// started, and is queried for many ended jobs, would read them one by one.
pub(crate) async fn read_job_end(node: &Node, id: &JobId) -> Result<JobPhase, KvError> {
    if let Some(phase) = cached_job_end(node, id) {
        return Ok(phase);
    }
    let key = end_key(id);
    // The key without its last digit sorts before all keys that it is a prefix of.
    let start_after = &key[..key.len() - 1];
    let mut page = node
        .kv_store
        .read_page(END_PREFIX, start_after, ENDS_PAGE_ENTRIES)
        .await?;
    if !page.iter().any(|entry| entry.key == key) {
        page.extend(node.kv_store.get(&key).await?);
    }
    node.with_core(|core, now| {
        for entry in page {
            match (
                entry.key.strip_prefix(END_PREFIX),
                from_value::<JobEndRecord>(&entry.value),
            ) {
                (Some(id), Some(record)) => {
                    core.cache
                        .record_end(&JobId::from(id), record.phase, entry.version, now);
                }
                _ => error!(key = entry.key, "job end record malformed"),
            }
        }
    });
    cached_job_end(node, id).ok_or(KvError::Refused)
}

fn cached_job_end(node: &Node, id: &JobId) -> Option<JobPhase> {
    node.with_core(|core, _| core.cache.job_end(id).map(|end| end.phase))
}
