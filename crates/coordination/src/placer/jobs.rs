//! Job records: applies changes and ends of jobs as read from the store.

use lemonweir_model::JobId;
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_storage::state_cache::CachedJob;
use tracing::info;

use super::Placer;
use super::headroom::INITIAL_BACKLOG_MS;
use super::quotas::within_quota;
use crate::job::Job;

impl Placer {
    /// Applies the cached record of a job of this shard's teams; `None`: the job has ended.
    pub fn apply_job(&mut self, id: &JobId, cached: Option<&CachedJob>, now: u64) {
        let changed = match cached {
            Some(cached) => self.apply_job_record(id, cached, now),
            None => self.apply_job_end(id),
        };
        if changed {
            self.update_indexes(id, now);
        }
    }

    /// Applies a job's record; false if it is unchanged.
    fn apply_job_record(&mut self, id: &JobId, cached: &CachedJob, now: u64) -> bool {
        let job = self
            .jobs
            .entry(id.clone())
            .or_insert_with(|| Job::first_seen(now));
        let spec = &cached.record.spec;
        let same_priority = job
            .record
            .as_ref()
            .is_some_and(|record| record.spec.priority == spec.priority);
        if same_priority && job.key_version == cached.version {
            return false;
        }
        let is_new_arrival = job.record.is_none()
            && job.chunks.is_empty()
            && now > self.started_at + INITIAL_BACKLOG_MS;
        let is_guaranteed = self.guaranteed_start_objective_s < f64::MAX
            && within_quota(
                &spec.task_resources(),
                self.guaranteed_quotas.get(&spec.team),
            );
        if is_new_arrival && (self.start_objectives_s.contains_key(&spec.class) || is_guaranteed) {
            self.recent_arrivals.push_back((now, cached.record.clone()));
        }
        job.team = spec.team.clone();
        job.need = spec.task_resources();
        job.tasks = spec.tasks.min(u64::from(u32::MAX)) as u32;
        job.key_version = cached.version;
        job.record = Some(cached.record.clone());
        (job.ended, job.end_unconfirmed) = (false, false);
        job.pending_reason = "not looked at yet";
        self.quota_dirty_teams.insert(spec.team.clone());
        job.resume_admission(self.gang_wait_ms, now, now + self.wall_clock_offset_ms);
        self.placement_due = true;
        if cached.record.cancel_requested {
            self.drop_unrecorded_attempts(id);
        }
        true
    }

    /// Marks a job as ended after its key was deleted; false if the job is not known.
    fn apply_job_end(&mut self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        job.end_unconfirmed = false;
        if !job.ended {
            info!(job_id = %id, shard = self.shard, live_attempts = job.live.len(), "job ended");
            job.ended = true;
        }
        true
    }

    /// Drops the attempts of a cancelled job that are neither recorded nor part of the
    /// compare-and-swap in flight: no owner has been told of them.
    pub(super) fn drop_unrecorded_attempts(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        info!(job_id = %id, shard = self.shard, live_attempts = job.live.len(), "dropping unrecorded attempts of a cancelled job");
        let is_in_flight = |task: u32| {
            self.in_flight
                .as_ref()
                .is_some_and(|in_flight| in_flight.writes_chunk(id, task / TASKS_PER_CHUNK))
        };
        let tasks: Vec<u32> = job
            .live
            .iter()
            .filter(|(task, live)| !job.is_recorded(**task, live) && !is_in_flight(**task))
            .map(|(task, _)| *task)
            .collect();
        for task in tasks {
            self.remove_attempt(id, task);
            if let Some(job) = self.jobs.get_mut(id) {
                job.mark_chunk_dirty(task);
            }
        }
    }
}
