//! Chunks of a job's task record: tracking of changes that are not written yet.

use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_storage::records::{GangAdmissionRecord, LiveAttemptRecord, TaskChunkRecord};

use super::{Job, LiveAttempt};
use crate::gang_admission::GangAdmission;

/// Write state of one chunk of a task record.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskChunk {
    /// Version of its key in the store; 0: the key does not exist.
    pub(crate) version: u64,
    /// Number of the latest change.
    pub(crate) change: u64,
    /// Number of the latest change that is written.
    pub(crate) written: u64,
    /// Latest change that records a start; the task starts only once it is written.
    pub(crate) newest_start: u64,
    /// Latest change that records an admission step of the gang.
    pub(crate) newest_step: u64,
    /// The outcome of a write that would create the key is unknown: the key may exist, or may
    /// still be created.
    pub(crate) write_indeterminate: bool,
    /// Gang admission that the chunk held when it was loaded.
    pub(crate) loaded_admission: Option<GangAdmissionRecord>,
}

impl TaskChunk {
    /// True if it has changes that are not written yet.
    pub(crate) fn is_dirty(&self) -> bool {
        self.written < self.change
    }

    /// True if it records a start that is not written yet.
    pub(crate) fn has_unwritten_start(&self) -> bool {
        self.written < self.newest_start
    }
}

impl Job {
    /// Marks the chunk of a task as changed and returns the number of the change.
    pub(crate) fn mark_chunk_dirty(&mut self, task: u32) -> u64 {
        let chunk = self.chunks.entry(task / TASKS_PER_CHUNK).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Marks every chunk as changed.
    pub(crate) fn mark_all_chunks_dirty(&mut self) {
        for chunk in self.chunks.values_mut() {
            chunk.change += 1;
        }
    }

    /// Marks the chunk of a task as recording a start, and for a gang also its first
    /// admission step. Returns the number of the change.
    pub(crate) fn mark_start_unwritten(&mut self, task: u32) -> u64 {
        let change = self.mark_chunk_dirty(task);
        if let Some(chunk) = self.chunks.get_mut(&(task / TASKS_PER_CHUNK)) {
            chunk.newest_start = change;
            if self.admission.is_some() {
                chunk.newest_step = change;
            }
        }
        change
    }

    /// True if a start of one of its tasks is not written yet.
    pub(crate) fn has_unwritten_starts(&self) -> bool {
        self.chunks.values().any(TaskChunk::has_unwritten_start)
    }

    /// True if a live attempt is written to the store, so that it may be sent to its owner.
    pub(crate) fn is_recorded(&self, task: u32, live: &LiveAttempt) -> bool {
        self.chunks
            .get(&(task / TASKS_PER_CHUNK))
            .is_some_and(|chunk| chunk.written >= live.recorded_by)
    }

    /// Drops ended attempts whose end is written.
    pub(crate) fn drop_written_ends(&mut self) {
        let chunks = &self.chunks;
        self.ending.retain(|end| {
            chunks
                .get(&(end.id.task / TASKS_PER_CHUNK))
                .is_some_and(|chunk| chunk.written < end.recorded_by)
        });
    }

    /// Marks chunks without live attempts as changed, so that they are deleted from the store.
    /// For jobs that have ended.
    pub(crate) fn delete_finished_chunks(&mut self) {
        let live = &self.live;
        for (&index, chunk) in self
            .chunks
            .iter_mut()
            .filter(|(_, chunk)| chunk.version > 0 && !chunk.is_dirty())
        {
            let (first, end) = (index * TASKS_PER_CHUNK, (index + 1) * TASKS_PER_CHUNK);
            if live.range(first..end).next().is_none() {
                chunk.change += 1;
            }
        }
    }

    /// Builds the record to write for one chunk.
    pub(crate) fn chunk_record(&self, chunk: u32) -> TaskChunkRecord {
        let (first, end) = (chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK);
        let live: Vec<LiveAttemptRecord> = self
            .live
            .range(first..end)
            .map(|(&task, live)| LiveAttemptRecord {
                task,
                attempt: live.attempt,
                machine: live.machine.clone(),
                shard: live.shard,
                zone: live.zone.clone(),
            })
            .collect();
        let gang = self
            .admission
            .as_ref()
            .filter(|admission| {
                live.iter()
                    .any(|member| member.attempt == admission.attempt)
            })
            .map(GangAdmission::record);
        TaskChunkRecord {
            team: self.team.clone(),
            task_resources: self.need,
            next_attempt: self.next_attempt,
            done_ranges: self.done_ranges(first, end),
            live_attempts: live,
            gang,
        }
    }
}
