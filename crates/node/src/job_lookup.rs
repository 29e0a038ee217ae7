//! Lookups in the store of job ids that this controller does not know. Many ids are
//! looked up by one compare-and-swap that only checks: its answer is newer than the
//! query, which makes a 404 true, and a flood of unknown ids costs a bounded share of
//! what the store answers. Who is owed an answer for longest goes first.

use std::rc::Rc;
use std::time::Duration;

use smol::channel::{Sender, bounded};
use tracing::error;

use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::{Node, sleep_ms};
use lemonweir_coordination::query_admission::LookupQueue;
use lemonweir_model::JobId;
use lemonweir_model::constants::{
    CONDITIONS_PER_CHANGE, HEARTBEAT_BATCH_MS, MAX_PENDING_LOOKUPS, USER_TIMEOUT_MS,
};
use lemonweir_protocol::kv_store::from_value;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::blocked_job_key;
use lemonweir_storage::records::{
    CONDITIONS_PER_ABSENT_JOB, END_PREFIX, JobEndRecord, absent, end_key, job_key,
};
use lemonweir_transport::within;

/// Time between two batches of lookups: a tenth of a small controller's share of the
/// store's requests.
const BATCH_INTERVAL_MS: u64 = 100;

/// Wait of a query for its turn at the store from which on unknown ids are refused:
/// lease renewals, starts and submissions go first.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(150);

/// Ends of jobs that are read together with the one that is asked for: ids are handed
/// out in order, so whoever missed one end mostly missed its neighbours'. Some 12 KiB.
const ENDS_PAGE_ENTRIES: u32 = 256;

/// What the store knows of a job, at a moment after it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoredJob {
    /// No such job.
    NotFound,
    /// The job is unfinished.
    Unfinished,
    /// The job has ended, in this phase.
    Ended(JobPhase),
}

/// Why a lookup gave no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum LookupError {
    /// Other requests to the store, or jobs that are owed an answer for longer, go first.
    #[error("job lookup refused: queue full or key-value store busy")]
    Refused,
    /// The store did not answer, or not in time.
    #[error("key-value store did not answer a job lookup")]
    StoreUnavailable,
}

type LookupResult = Result<StoredJob, LookupError>;

/// Ids that wait to be looked up, with who waits for each.
pub(crate) struct JobLookupQueue {
    queue: LookupQueue<Sender<LookupResult>>,
    /// True while a task takes batches from the queue.
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

/// Looks an id up, together with others.
///
/// # Errors
///
/// Refused at once where too many ids wait that are owed an answer for longer, or where
/// the store is busy with what goes first.
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
    within(USER_TIMEOUT_MS, reply.recv())
        .await
        .and_then(Result::ok)
        .unwrap_or(Err(LookupError::StoreUnavailable))
}

/// Lets somebody wait for an id; true if batches have to be started.
fn enqueue(node: &Node, id: &JobId, pending_since_ms: u64, reply_to: Sender<LookupResult>) -> bool {
    let mut lookups = node.job_lookups.borrow_mut();
    for displaced in lookups.queue.enqueue(id, pending_since_ms, reply_to) {
        // Who waits may have given up.
        let _ = displaced.try_send(Err(LookupError::Refused));
    }
    !std::mem::replace(&mut lookups.running, true)
}

/// Looks up what waits, batch by batch, until nothing does.
async fn run_batches(node: &Rc<Node>) {
    sleep_ms(HEARTBEAT_BATCH_MS).await;
    let max_cas_writes = node.with_core(|core, _| core.config.cas_max_changes);
    let max_batch = (CONDITIONS_PER_CHANGE * max_cas_writes / CONDITIONS_PER_ABSENT_JOB).max(1);
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

/// Looks up all these ids by one compare-and-swap that demands that none exists.
async fn look_up_batch(node: &Node, batch: Vec<(JobId, Vec<Sender<LookupResult>>)>) {
    let ids: Vec<JobId> = batch.iter().map(|(id, _)| id.clone()).collect();
    let existing_keys = match node.kv_store.cas(&absent(&ids)).await {
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
            // Who waits may have given up.
            let _ = reply_to.try_send(result);
        }
    }
}

/// Reads the phase in which a job ended, once: it never changes. Its neighbours' ends
/// come with it, so that a process that has just started, whom users ask for all that has
/// ended, does not read them one by one.
pub(crate) async fn read_job_end(node: &Node, id: &JobId) -> Result<JobPhase, KvError> {
    if let Some(phase) = cached_job_end(node, id) {
        return Ok(phase);
    }
    let key = end_key(id);
    // The key without its last digit comes before all that begin with it.
    let before = &key[..key.len() - 1];
    let mut page = node
        .kv_store
        .read_page(END_PREFIX, before, ENDS_PAGE_ENTRIES)
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
