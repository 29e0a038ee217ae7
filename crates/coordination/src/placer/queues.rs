//! Indexes of this placer's jobs: the teams' queues, the order in which a team's guaranteed
//! quota is assigned, and the jobs with changes to process or write.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::{JobId, Priority};

use super::Placer;
use crate::job::{Job, QueuePosition, TaskChunk, Urgency};

/// Sort key of a job in its team's queue: priority, then urgency, then age or size
/// ([`Job::queue_order`]).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) priority: Priority,
    pub(super) urgency: Urgency,
    pub(super) order: u64,
    pub(super) job: JobId,
}

/// Sort key of a job for its team's guaranteed quota: priority, then age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QuotaOrderKey {
    pub(super) priority: Priority,
    /// Time of day of the job's submission, ms.
    pub(super) submitted_at: u64,
    pub(super) job: JobId,
}

impl QueuePosition {
    fn for_job(job: &Job) -> Self {
        Self {
            team: job.team.clone(),
            priority: job.priority(),
            urgency: job.urgency(),
            order: job.queue_order(),
            submitted_at: job.submitted_at(),
        }
    }

    fn queue_key(&self, id: &JobId) -> QueueKey {
        QueueKey {
            priority: self.priority,
            urgency: self.urgency,
            order: self.order,
            job: id.clone(),
        }
    }

    fn quota_key(&self, id: &JobId) -> QuotaOrderKey {
        QuotaOrderKey {
            priority: self.priority,
            submitted_at: self.submitted_at,
            job: id.clone(),
        }
    }

    /// True if a job's place in the quota order is the same at both positions.
    fn same_quota_order(&self, other: &Self) -> bool {
        self.team == other.team
            && self.priority == other.priority
            && self.submitted_at == other.submitted_at
    }
}

impl Placer {
    /// Updates the indexes after a job has changed. Removes a job of which nothing is left.
    pub(super) fn update_indexes(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        // A new leader loads chunks before it knows whether their jobs have ended. Until that
        // is confirmed no chunk is marked for deletion: otherwise the leader would write each
        // finished chunk of a large job once more.
        if job.ended && !job.end_unconfirmed {
            job.delete_finished_chunks();
        }
        if job.is_service() {
            self.services.mark_changed(id);
        }
        self.changed_jobs.insert(id.clone());
        if job.admission.is_some() {
            self.gangs_to_evaluate.insert(id.clone());
        }
        self.update_queue_position(id);
        self.update_write_queue(id, now);
        self.remove_if_removable(id);
    }

    fn update_queue_position(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let position = QueuePosition::for_job(job);
        if let Some(before) = job.queue_position.replace(position.clone())
            && before != position
        {
            remove_key(&mut self.queues, &before.team, &before.queue_key(id));
            if !before.same_quota_order(&position) {
                remove_key(
                    &mut self.running_by_team,
                    &before.team,
                    &before.quota_key(id),
                );
            }
        }
        let queue_key = position.queue_key(id);
        if job.is_placeable() && job.backoff_until == 0 {
            self.queues
                .entry(job.team.clone())
                .or_default()
                .insert(queue_key);
        } else {
            remove_key(&mut self.queues, &job.team, &queue_key);
        }
        let quota_key = position.quota_key(id);
        if job.live.is_empty() {
            remove_key(&mut self.running_by_team, &job.team, &quota_key);
        } else {
            self.running_by_team
                .entry(job.team.clone())
                .or_default()
                .insert(quota_key);
        }
        if job.backoff_until > 0 {
            self.backing_off.insert((job.backoff_until, id.clone()));
        }
    }

    fn update_write_queue(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_dirty = job.chunks.values().any(TaskChunk::is_dirty) || job.writable_end().is_some();
        if is_dirty {
            self.dirty_jobs.entry(id.clone()).or_insert(now);
        } else {
            self.dirty_jobs.remove(id);
        }
    }

    fn remove_if_removable(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_removable()) else {
            return;
        };
        self.dirty_jobs.remove(id);
        self.changed_jobs.remove(id);
        for (shard, attempt) in std::mem::take(&mut job.published_attempts) {
            self.owner_channels[usize::from(shard)]
                .desired
                .remove(&attempt);
        }
        self.job_progress.erase(id);
        self.inherited_progress.remove(id);
        self.jobs.remove(id);
    }
}

/// Removes a key from a team's set, and the set once it is empty.
fn remove_key<K: Ord>(index: &mut BTreeMap<String, BTreeSet<K>>, team: &str, key: &K) {
    if let Some(keys) = index.get_mut(team) {
        keys.remove(key);
        if keys.is_empty() {
            index.remove(team);
        }
    }
}
