//! What users are told of a job, from memory.
//!
//! A node answers for an unfinished job from its copy for [`MEMORY_MS`] after the
//! reading that brought it up to date began. No node tells of an end until
//! [`TOLD_AFTER_MS`] after it learned of it, which is after it was written. So when
//! the first user is told, every reading that began before the end is too old to
//! answer from, at every node: nobody is given an older answer after a newer one.
//! Both times run on steady clocks, whose drift the second allows for.

use crate::Core;
use crate::dependencies::DependencyState;
use lemonweir_model::JobId;
use lemonweir_model::constants::{MEMORY_MS, TOLD_AFTER_MS};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::state_cache::FinalState;

/// What this node can say of a job now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is over.
    Over(JobPhase),
    /// It is over, which may be told after so many ms.
    OverIn(u64),
    /// It is unfinished: phase, tasks done and running, why it waits.
    Unfinished(JobPhase, u64, u64, String),
    /// It was unfinished; only a reading that begins now tells whether it still is.
    Reading,
    /// It waits for others, of which these may be over: their ends must be read first.
    Ends(Vec<JobId>),
    /// This node knows nothing of it.
    Unknown,
}

impl Answer {
    /// What may be told of a job by an end that decides it: its own, or that of a
    /// cancelled job that it needs.
    pub(crate) fn of_end(end: FinalState, now: u64) -> Self {
        match (end.learned_at_ms + TOLD_AFTER_MS).saturating_sub(now) {
            0 => Answer::Over(end.phase),
            ms => Answer::OverIn(ms),
        }
    }
}

impl Core {
    /// What may be told of a job, in constant time.
    pub fn answer(&self, id: &JobId, now: u64) -> Answer {
        if let Some(end) = self.cache.job_end(id) {
            return Answer::of_end(end, now);
        }
        if self.cache.blocked_jobs.contains_key(id) {
            return self.chain_answer(id, now);
        }
        if !self.cache.jobs.contains_key(id) {
            return Answer::Unknown;
        }
        // Guards against a process that stood still, or that the store does not
        // answer: its memory is old however few events it had since.
        if self.links.store_age(now) > MEMORY_MS {
            return Answer::Reading;
        }
        self.unfinished(id, now).unwrap_or(Answer::Unknown)
    }

    /// The state of an unfinished job as the copy has it; for who has just had it
    /// brought up to date.
    pub fn unfinished(&self, id: &JobId, now: u64) -> Option<Answer> {
        if self.cache.blocked_jobs.contains_key(id) {
            return match self.chain_standing(id) {
                DependencyState::Waits(_) | DependencyState::Ready(_) => {
                    Some(Answer::Unfinished(JobPhase::Queued, 0, 0, String::new()))
                }
                _ => None,
            };
        }
        if self.cache.job_end(id).is_some() || !self.cache.jobs.contains_key(id) {
            return None;
        }
        let (phase, done, running, reason) = self.progress(id, now);
        Some(Answer::Unfinished(phase, done, running, reason))
    }
}
