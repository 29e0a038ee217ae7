//! What users are answered about a job, from memory.
//!
//! A controller answers for an unfinished job from its cache for
//! [`CACHE_ANSWER_MAX_AGE_MS`] after the reading that brought it up to date began. None
//! publishes a final state until [`FINAL_STATE_DELAY_MS`] after it learned of it, which is
//! after it was written. So when the first user is answered so, every reading that began
//! before the final state is too old to answer from, at every controller: nobody is given
//! an older answer after a newer one. Both times run on steady clocks, whose drift the
//! second allows for.

use crate::dependencies::DependencyState;
use crate::{Core, JobProgressReport};
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::state_cache::FinalState;

/// ms for which a reading of the store answers polls of unfinished jobs from
/// the cache, from when it began: the regular ones are some 220 ms apart.
pub const CACHE_ANSWER_MAX_AGE_MS: u64 = 300;
/// ms from when a controller learns of a job's final state until it answers a user with
/// it: by then no other controller answers from a reading that began before that state,
/// whatever the drift of the clocks. Users expect the end within 3 s (protocol page).
pub const FINAL_STATE_DELAY_MS: u64 = CACHE_ANSWER_MAX_AGE_MS + 20;

/// What this controller can say of a job now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobStatusAnswer {
    /// It is over.
    Finished(JobPhase),
    /// It is over, which may be published after so many ms.
    FinishedIn(u64),
    /// It is unfinished.
    Unfinished(JobProgressReport),
    /// It was unfinished; only a reading that begins now shows whether it still is.
    NeedsRefresh,
    /// It depends on others, of which these may be over: their final states must be
    /// read first.
    NeedsFinalStates(Vec<JobId>),
    /// This controller knows nothing of it.
    Unknown,
}

impl JobStatusAnswer {
    /// What may be published of a job by a final state that decides it: its own, or that
    /// of a cancelled job that it depends on.
    fn from_final_state(state: FinalState, now: u64) -> Self {
        match (state.learned_at_ms + FINAL_STATE_DELAY_MS).saturating_sub(now) {
            0 => Self::Finished(state.phase),
            ms => Self::FinishedIn(ms),
        }
    }
}

impl Core {
    /// What may be answered about a job, in constant time.
    pub fn job_status(&self, id: &JobId, now: u64) -> JobStatusAnswer {
        if let Some(state) = self.cache.job_end(id) {
            return JobStatusAnswer::from_final_state(state, now);
        }
        if self.cache.blocked_jobs.contains_key(id) {
            return self.dependent_job_status(id, now);
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

    /// Guards against a process that stalled, or that the store does not
    /// answer: its cache is old however few events it had since.
    fn cache_too_old(&self, now: u64) -> bool {
        self.links.store_age(now) > CACHE_ANSWER_MAX_AGE_MS
    }

    /// What may be answered about a job that waits for its dependencies.
    fn dependent_job_status(&self, id: &JobId, now: u64) -> JobStatusAnswer {
        match self.dependency_state(id) {
            DependencyState::Cancelled(state) => JobStatusAnswer::from_final_state(state, now),
            DependencyState::Unread(ids) if ids.is_empty() => JobStatusAnswer::NeedsRefresh,
            DependencyState::Unread(ids) => JobStatusAnswer::NeedsFinalStates(ids),
            DependencyState::Waiting(_) | DependencyState::Ready(_) if self.cache_too_old(now) => {
                JobStatusAnswer::NeedsRefresh
            }
            state @ (DependencyState::Waiting(_) | DependencyState::Ready(_)) => {
                JobStatusAnswer::Unfinished(JobProgressReport::queued(state.wait_reason()))
            }
        }
    }

    /// The status of an unfinished job as the cache has it; for who has just had it
    /// brought up to date.
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
        Some(JobStatusAnswer::Unfinished(self.job_progress(id, now)))
    }
}
