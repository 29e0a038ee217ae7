//! Progress of unfinished jobs, which controllers that don't place them need to answer users: pulled
//! from the controller that does or, while that can't be reached, read from the store.

use borsh::{BorshDeserialize, BorshSerialize};
use lemonweir_model::JobId;

use crate::packing::{push_job_id, push_varint, take_job_id, take_varint};
use crate::peer::ChangeRange;

/// Path of a pull.
pub const PROGRESS_PATH: &str = "/peer/progress";

/// Asks the leader of a shard for the progress of its jobs.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProgressQuery {
    /// Format version: [`lemonweir_model::constants::PEER_VERSION`].
    pub version: u8,
    /// Shard whose placer is asked.
    pub shard: u16,
    /// Fencing token of that shard, as known to the sender.
    pub fencing_token: u64,
    /// Index of the sender among the controllers.
    pub from: u16,
    /// Number of the newest change that the sender has.
    pub since: u64,
}

/// Changes of the progress of a shard's jobs, as its placer knew it when it answered.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProgressPage {
    /// Format version: [`lemonweir_model::constants::PEER_VERSION`].
    pub version: u8,
    /// Shard of the placer.
    pub shard: u16,
    /// Fencing token of the shard.
    pub fencing_token: u64,
    /// Changes that the page holds.
    pub range: ChangeRange,
    /// Jobs whose progress changed.
    pub jobs: Vec<ProgressRow>,
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProgressRow {
    /// Id of the job.
    pub job: JobId,
    /// Number of tasks that are done.
    pub tasks_done: u32,
    /// Number of tasks that run.
    pub tasks_running: u32,
    /// False if the placer does not know yet whether a task runs, since an earlier leader launched
    /// it.
    pub known: bool,
    /// Why the job waits; empty if it doesn't.
    pub wait_reason: String,
}

/// Progress of a shard's jobs in the store, for controllers that can't reach its leader. Holds the
/// jobs of a range of ids; those of the range that it does not list are queued.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct StoredProgress {
    /// Format version: [`lemonweir_model::constants::PEER_VERSION`].
    pub version: u8,
    /// Shard of the placer.
    pub shard: u16,
    /// Fencing token of the shard.
    pub fencing_token: u64,
    /// A revision of the store that the placer's controller had seen before it wrote this: the
    /// content is no older than that revision.
    pub store_revision: u64,
    /// The ids that it covers: those after this one; `None`: from the lowest.
    pub after: Option<JobId>,
    /// Up to this one; `None`: to the highest.
    pub upto: Option<JobId>,
    /// The jobs, packed by [`pack_row`].
    pub rows: Vec<u8>,
}

/// Progress of a job in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Id of the job.
    pub job: JobId,
    /// Number of tasks that are done.
    pub tasks_done: u32,
    /// Number of tasks that run.
    pub tasks_running: u32,
    /// As in [`ProgressRow`].
    pub known: bool,
}

/// Appends a row, in some six bytes. Returns false, and appends nothing, for an id whose number
/// exceeds 64 bits.
pub fn pack_row(bytes: &mut Vec<u8>, row: &StoredRow) -> bool {
    if !push_job_id(bytes, &row.job) {
        return false;
    }
    push_varint(bytes, u64::from(row.tasks_done));
    push_varint(
        bytes,
        u64::from(row.tasks_running) << 1 | u64::from(row.known),
    );
    true
}

/// Reads packed rows; `None` if they are malformed.
pub fn unpack_rows(mut bytes: &[u8]) -> Option<Vec<StoredRow>> {
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        let job = take_job_id(&mut bytes)?;
        let tasks_done = u32::try_from(take_varint(&mut bytes)?).ok()?;
        let running = take_varint(&mut bytes)?;
        rows.push(StoredRow {
            job,
            tasks_done,
            tasks_running: u32::try_from(running >> 1).ok()?,
            known: running & 1 == 1,
        });
    }
    Some(rows)
}
