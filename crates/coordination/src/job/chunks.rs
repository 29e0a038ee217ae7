//! The chunks of a job's task record: what has changed, and what of it is written.

use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_storage::records::{GangAdmissionRecord, LiveAttemptRecord, TaskChunkRecord};

use super::{Job, LiveAttempt};
use crate::gang_admission::GangAdmission;

/// One chunk's place in the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct TaskChunk {
    /// Version in the store; 0: no key.
    pub(crate) version: u64,
    /// Changes made, and the newest that is written.
    pub(crate) change: u64,
    pub(crate) written: u64,
    /// Newest change that records a start: nothing starts before it is written.
    pub(crate) newest_start: u64,
    /// Newest change that records a step of its gang.
    pub(crate) newest_step: u64,
    /// A write that would create it got no answer: it may be there, or come.
    pub(crate) write_indeterminate: bool,
    /// The gang's admission that it held when it was loaded.
    pub(crate) loaded_admission: Option<GangAdmissionRecord>,
}

impl TaskChunk {
    /// It holds changes that are not written yet.
    pub(crate) fn is_dirty(&self) -> bool {
        self.written < self.change
    }

    /// It records a start that is not written yet.
    pub(crate) fn has_unwritten_start(&self) -> bool {
        self.written < self.newest_start
    }
}

impl Job {
    /// Notes a change of a task's chunk, and returns its number.
    pub(crate) fn mark_chunk_dirty(&mut self, task: u32) -> u64 {
        let chunk = self.chunks.entry(task / TASKS_PER_CHUNK).or_default();
        chunk.change += 1;
        chunk.change
    }

    /// Notes a change of each chunk.
    pub(crate) fn mark_all_chunks_dirty(&mut self) {
        for chunk in self.chunks.values_mut() {
            chunk.change += 1;
        }
    }

    /// Notes a start of a task, and of a gang its first step with it.
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

    /// Some start of it is not written yet.
    pub(crate) fn has_unwritten_starts(&self) -> bool {
        self.chunks.values().any(TaskChunk::has_unwritten_start)
    }

    /// True if a live attempt is written: its owner may learn of it.
    pub(crate) fn is_recorded(&self, task: u32, live: &LiveAttempt) -> bool {
        self.chunks
            .get(&(task / TASKS_PER_CHUNK))
            .is_some_and(|chunk| chunk.written >= live.recorded_by)
    }

    /// Forgets ended attempts whose end is written.
    pub(crate) fn drop_written_ends(&mut self) {
        let chunks = &self.chunks;
        self.ending.retain(|end| {
            chunks
                .get(&(end.id.task / TASKS_PER_CHUNK))
                .is_some_and(|chunk| chunk.written < end.recorded_by)
        });
    }

    /// Chunks of a job that has ended are removed once nothing is live there.
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

    /// The record of one chunk as it should be in the store.
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
