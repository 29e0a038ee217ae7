//! Loading of task records from the store, and the outcomes of compare-and-swaps that write
//! them.

use std::collections::BTreeSet;

use lemonweir_model::JobId;
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_protocol::peer::PreemptionScope;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::{TaskChunkRecord, job_key, shard_key};
use tracing::info;

use super::write_queue::{InFlightCas, JobEndWrite, JobVersion};
use super::{CompareAndSwapOutcome, Placer, ShardOwnership};
use crate::job::{Job, LiveAttempt, TaskChunk};

impl Placer {
    /// Loads one chunk of a task record, as an earlier leader of the shard left it.
    pub fn load_chunk(&mut self, id: &JobId, chunk: u32, record: &TaskChunkRecord, version: u64) {
        let job = self.jobs.entry(id.clone()).or_insert_with(Job::unconfirmed);
        job.team = record.team.clone();
        job.need = record.task_resources;
        job.next_attempt = job.next_attempt.max(record.next_attempt);
        // Guards against a service that lost most of its replicas with its controller and is
        // queued behind services that have all of theirs.
        job.has_run |= !record.live_attempts.is_empty();
        let (first, end) = (chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK);
        job.chunks.insert(
            chunk,
            TaskChunk {
                version,
                loaded_admission: record.gang.clone(),
                ..TaskChunk::default()
            },
        );
        for &(a, b) in &record.done_ranges {
            for task in a.max(first)..=b.min(end - 1) {
                job.set_task_done(task);
            }
        }
        let shards = self.owner_channels.len();
        for attempt in record.live_attempts.iter().filter(|attempt| {
            (first..end).contains(&attempt.task) && usize::from(attempt.shard) < shards
        }) {
            let live = LiveAttempt {
                attempt: attempt.attempt,
                machine: attempt.machine.clone(),
                shard: attempt.shard,
                zone: attempt.zone.clone(),
                recorded_by: 0,
                state: None,
                stop_grace_s: None,
                preemption: PreemptionScope::Nobody,
                placed_at: 0,
                over_quota: true,
            };
            self.add_attempt(id, attempt.task, live);
        }
        self.note_loaded_usage(&record.team);
        self.update_indexes(id, 0);
    }

    /// Sets the version of a chunk that was read again after a conflict.
    pub fn apply_reread_version(&mut self, id: &JobId, chunk: u32, version: u64) {
        if let Some(chunk) = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.chunks.get_mut(&chunk))
        {
            chunk.version = version;
        }
    }

    /// Applies the outcome of the compare-and-swap in flight. Returns whether this controller
    /// still leads the shard, and the jobs whose end was written, each with its final state.
    pub fn apply_cas_outcome(
        &mut self,
        outcome: CompareAndSwapOutcome,
        now: u64,
    ) -> (ShardOwnership, Vec<(JobId, JobPhase)>) {
        let Some(in_flight) = self.in_flight.take() else {
            return (ShardOwnership::Held, Vec::new());
        };
        match outcome {
            CompareAndSwapOutcome::Committed(revision) => {
                self.size_rejection.committed(in_flight.jobs());
                self.apply_written(&in_flight, revision, now);
                let ends = self.apply_written_ends(in_flight.job_ends, now);
                return (ShardOwnership::Held, ends);
            }
            CompareAndSwapOutcome::Conflict(keys) if keys.contains(&shard_key(self.shard)) => {
                return (ShardOwnership::Lost, Vec::new());
            }
            CompareAndSwapOutcome::Conflict(keys) => {
                self.drop_uncommitted_starts(&in_flight);
                self.mark_stale_copies(in_flight.job_versions, &keys, now);
            }
            CompareAndSwapOutcome::Rejected => {
                let jobs = &self.jobs;
                self.size_rejection.retain(|id| jobs.contains_key(id));
                self.size_rejection
                    .rejected(in_flight.record_count(), in_flight.jobs(), now);
            }
            CompareAndSwapOutcome::Indeterminate => {
                self.mark_indeterminate(&in_flight);
                self.drop_uncommitted_starts(&in_flight);
            }
        }
        (ShardOwnership::Held, Vec::new())
    }

    /// Marks the chunks of a compare-and-swap as written at this revision.
    pub(super) fn apply_written(&mut self, written: &InFlightCas, revision: u64, now: u64) {
        for write in &written.chunks {
            let Some(job) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            if let Some(chunk) = job.chunks.get_mut(&write.index) {
                chunk.written = write.change;
                chunk.version = if write.is_removal { 0 } else { revision };
                chunk.write_indeterminate = false;
            }
            job.drop_written_ends();
            self.dirty_jobs.remove(&write.job);
            self.update_indexes(&write.job, now);
        }
    }

    fn apply_written_ends(&mut self, ends: Vec<JobEndWrite>, now: u64) -> Vec<(JobId, JobPhase)> {
        for JobEndWrite { job: id, phase } in &ends {
            if let Some(job) = self.jobs.get_mut(id) {
                info!(job_id = %id, shard = self.shard, ?phase, "job ended");
                job.ended = true;
                job.mark_all_chunks_dirty();
            }
            self.dirty_jobs.remove(id);
            self.update_indexes(id, now);
        }
        ends.into_iter().map(|end| (end.job, end.phase)).collect()
    }

    /// Marks the jobs whose keys had another version than this placer's copy.
    fn mark_stale_copies(&mut self, versions: Vec<JobVersion>, conflicts: &[String], now: u64) {
        for JobVersion { job: id, version } in versions {
            if conflicts.contains(&job_key(&id)) {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.conflicting_version = Some(version);
                }
                self.update_indexes(&id, now);
            }
        }
    }

    /// Marks the chunks of which it is not known whether they were created.
    fn mark_indeterminate(&mut self, in_flight: &InFlightCas) {
        for write in &in_flight.chunks {
            if let Some(chunk) = self
                .jobs
                .get_mut(&write.job)
                .and_then(|job| job.chunks.get_mut(&write.index))
            {
                chunk.write_indeterminate |= chunk.version == 0;
            }
        }
    }

    /// Drops the unrecorded starts of cancelled jobs after a compare-and-swap that would have
    /// written them was not committed, or its outcome is unknown. No owner has learned of these
    /// starts.
    fn drop_uncommitted_starts(&mut self, in_flight: &InFlightCas) {
        let is_cancelled = |id: &&JobId| {
            self.jobs
                .get(id)
                .is_some_and(|job| !job.ended && job.is_stopping())
        };
        let ids: BTreeSet<JobId> = in_flight
            .chunks
            .iter()
            .map(|write| &write.job)
            .filter(is_cancelled)
            .cloned()
            .collect();
        for id in ids {
            self.drop_unrecorded_attempts(&id);
            self.update_indexes(&id, self.last_pass_at);
        }
    }
}
