//! What the leader of a shard last knew of the progress of its jobs, packed for the store.

use lemonweir_model::JobId;

pub use crate::packing::is_packable;
use crate::packing::{push_job_id, push_varint, take_job_id, take_varint};

/// Bytes of a packed row at most: an id, two task counts and an age.
pub const MAX_PACKED_ROW_BYTES: usize = 32;

/// Last known progress of a job that was not merely queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastProgressRow {
    /// Id of the job.
    pub job: JobId,
    /// Number of tasks that were done.
    pub tasks_done: u32,
    /// Number of tasks that ran.
    pub tasks_running: u32,
    /// An attempt was recorded that may have begun to run since.
    pub may_run: bool,
    /// Age of this row when it was written, s; 0 if the leader knew it then, more if it is what an
    /// earlier leader knew.
    pub age_s: u32,
}

/// Appends a row, in some eight bytes. Returns false, and appends nothing, for an id that is not
/// [packable](is_packable).
pub fn pack_row(bytes: &mut Vec<u8>, row: &LastProgressRow) -> bool {
    if !push_job_id(bytes, &row.job) {
        return false;
    }
    push_varint(bytes, u64::from(row.tasks_done));
    push_varint(
        bytes,
        u64::from(row.tasks_running) << 1 | u64::from(row.may_run),
    );
    push_varint(bytes, u64::from(row.age_s));
    true
}

/// Reads packed rows; `None` if they are malformed.
pub fn unpack_rows(mut bytes: &[u8]) -> Option<Vec<LastProgressRow>> {
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        let job = take_job_id(&mut bytes)?;
        let tasks_done = u32::try_from(take_varint(&mut bytes)?).ok()?;
        let running = take_varint(&mut bytes)?;
        let age_s = u32::try_from(take_varint(&mut bytes)?).ok()?;
        rows.push(LastProgressRow {
            job,
            tasks_done,
            tasks_running: u32::try_from(running >> 1).ok()?,
            may_run: running & 1 == 1,
            age_s,
        });
    }
    Some(rows)
}
