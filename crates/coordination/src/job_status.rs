//! Job status answers for users, served from memory.
//!
//! A controller answers queries about an unfinished job from its cache for
//! [`CACHE_ANSWER_MAX_AGE_MS`] after the start of the read that refreshed the cache. No
//! controller publishes a final state until [`FINAL_STATE_DELAY_MS`] after it learned of it,
//! which is after the state was written. So by the time the first user sees the final state,
//! reads that started before it was written are too old to answer from at every controller:
//! nobody gets an older answer after a newer one. Both times are measured with monotonic
//! clocks; the second one is longer to allow for their drift.

use crate::dependencies::DependencyState;
use crate::{Core, JobProgressReport, ProgressGap};
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::state_cache::CachedJobEnd;

/// ms after the start of a store read during which the cache may answer polls of unfinished
/// jobs. Regular reads are about 220 ms apart.
pub const CACHE_ANSWER_MAX_AGE_MS: u64 = 300;
/// ms from when a controller learns of a job's final state until it reports the state to
/// users. By then no other controller answers from a read that started before that state was
/// written, despite clock drift. Users expect the final state within 3 s (protocol page).
pub const FINAL_STATE_DELAY_MS: u64 = CACHE_ANSWER_MAX_AGE_MS + 20;

/// What this controller can answer about a job now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobStatusAnswer {
    /// The job has ended with this phase.
    Finished(JobPhase),
    /// The job has ended, and its final state may be published after this many ms.
    FinishedIn(u64),
    /// The job is unfinished.
    Unfinished(JobProgressReport),
    /// The job is unfinished, but its progress can't be told now.
    ProgressOutdated(ProgressGap),
    /// The job was unfinished when the cache was last read; a new read of the store must show
    /// whether it still is.
    NeedsRefresh,
    /// The final states of these dependencies must be read first, since they may have ended.
    NeedsFinalStates(Vec<JobId>),
    /// The job is not known to this controller.
    Unknown,
}

impl JobStatusAnswer {
    /// The answer for a job that a final state decides: its own, or that of a cancelled job
    /// that it depends on.
    fn from_final_state(state: CachedJobEnd, now: u64) -> Self {
        match (state.learned_at_ms + FINAL_STATE_DELAY_MS).saturating_sub(now) {
            0 => Self::Finished(state.phase),
            ms => Self::FinishedIn(ms),
        }
    }
}

impl Core {
    /// Answers a query about a job from memory. Takes constant time, except for a blocked job,
    /// whose dependencies are searched.
    pub fn job_status(&self, id: &JobId, now: u64) -> JobStatusAnswer {
        if let Some(state) = self.cache.job_end(id) {
            return JobStatusAnswer::from_final_state(state, now);
        }
        if self.cache.blocked_jobs.contains_key(id) {
            return self.blocked_job_status(id, now);
        }
        if !self.cache.jobs.contains_key(id) {
            return JobStatusAnswer::Unknown;
        }
        if self.cache_too_old(now) {
            return JobStatusAnswer::NeedsRefresh;
        }
        self.unfinished_status(id, now)
            .unwrap_or(JobStatusAnswer::Unknown)
    }

    /// True if the cache is too old to answer from: the process stalled, or the store does not
    /// answer. The cache ages then even if no events arrive.
    fn cache_too_old(&self, now: u64) -> bool {
        self.links.store_age(now) > CACHE_ANSWER_MAX_AGE_MS
    }

    /// Answers a query about a job that is blocked by its dependencies.
    fn blocked_job_status(&self, id: &JobId, now: u64) -> JobStatusAnswer {
        match self.dependency_state(id) {
            DependencyState::Cancelled(state) => JobStatusAnswer::from_final_state(state, now),
            DependencyState::Unread(ids) if ids.is_empty() => JobStatusAnswer::NeedsRefresh,
            DependencyState::Unread(ids) => JobStatusAnswer::NeedsFinalStates(ids),
            DependencyState::Waiting(_) | DependencyState::Ready(_) if self.cache_too_old(now) => {
                JobStatusAnswer::NeedsRefresh
            }
            state @ (DependencyState::Waiting(_) | DependencyState::Ready(_)) => {
                let reason = self.dependencies.wait_reason(id, &state);
                JobStatusAnswer::Unfinished(JobProgressReport::queued(reason))
            }
        }
    }

    /// Status of an unfinished job from the cache, regardless of the cache's age. For callers
    /// that have just refreshed the cache. `None` if the job is not known to be unfinished.
    pub fn unfinished_status(&self, id: &JobId, now: u64) -> Option<JobStatusAnswer> {
        if self.cache.blocked_jobs.contains_key(id) {
            return match self.dependency_state(id) {
                DependencyState::Waiting(_) | DependencyState::Ready(_) => Some(
                    JobStatusAnswer::Unfinished(JobProgressReport::queued(String::new())),
                ),
                DependencyState::Cancelled(_) | DependencyState::Unread(_) => None,
            };
        }
        if self.cache.job_end(id).is_some() || !self.cache.jobs.contains_key(id) {
            return None;
        }
        Some(self.job_progress(id, now).map_or_else(
            JobStatusAnswer::ProgressOutdated,
            JobStatusAnswer::Unfinished,
        ))
    }
}
