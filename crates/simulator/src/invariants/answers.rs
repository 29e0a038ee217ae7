//! Checks the answers that users get about their jobs: they must be true, consistent with
//! earlier answers, and in time.

use std::collections::BTreeSet;

use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;

use super::InvariantChecker;

/// Time without an answer, after the last fault, after which a job counts as forgotten, µs.
const MAX_UNANSWERED_US: u64 = 75_000_000;
/// The same at any time, if most other polls are answered meanwhile, µs.
const MAX_UNANSWERED_AMONG_OTHERS_US: u64 = 90_000_000;

/// Number of polls since the start of a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PollCounts {
    sent: u64,
    answered: u64,
}

impl PollCounts {
    /// True if more than half of the polls since `earlier` were answered.
    fn mostly_answered_since(self, earlier: Self) -> bool {
        2 * (self.answered - earlier.answered) > self.sent - earlier.sent
    }
}

/// A job that a user waits for.
pub(super) struct AwaitedJob {
    /// Time of the last answer about it.
    answered_at: u64,
    /// Polls of all jobs up to then.
    polls_before: PollCounts,
    /// Number of polls of this job since then.
    polls_sent: u64,
}

/// The final phase of a job that a user was told, and when.
pub(super) struct TerminalAnswer {
    phase: JobPhase,
    at: u64,
}

/// An answer to a user's request about a job.
#[derive(Clone, Copy, Debug)]
pub struct UserAnswer {
    /// Phase of the job; `None`: 404, the job is unknown.
    pub phase: Option<JobPhase>,
    /// True if the acceptance of the job was confirmed to the user before the request.
    pub accepted: bool,
    /// Time of the request, µs.
    pub asked_at: u64,
}

impl InvariantChecker {
    /// Checks an answer that a user received at `now`. It is compared only with final phases
    /// that were told before the request was made.
    pub fn check_user_answer(&mut self, job: &JobId, answer: UserAnswer, now: u64) {
        let before = self
            .terminal_answers
            .get(job)
            .filter(|told| told.at <= answer.asked_at)
            .map(|told| told.phase);
        match answer.phase {
            Some(phase @ (JobPhase::Queued | JobPhase::Running))
                if self.is_orphaned(job, answer.asked_at) =>
            {
                let phase = Some(phase);
                self.violation(
                    now,
                    format!(
                        "orphaned: {job} is called {phase:?}, and a job that it needs is cancelled"
                    ),
                );
            }
            None if answer.accepted => self.violation(now, format!("forgotten: {job} got 404")),
            Some(_) if !self.specs.contains_key(job) => {
                self.violation(now, format!("invented: {job}"));
            }
            Some(phase) if before.is_some_and(|told| told != phase) => {
                self.violation(
                    now,
                    format!("went_back: {job} was called {before:?} and is called {phase:?}"),
                );
            }
            Some(JobPhase::Done) if self.ended.get(job) != Some(&JobPhase::Done) => {
                self.violation(
                    now,
                    format!("not_done: {job} is called done, but its end is not written"),
                );
            }
            Some(phase @ (JobPhase::Done | JobPhase::Withdrawn)) => {
                self.terminal_answers
                    .entry(job.clone())
                    .or_insert(TerminalAnswer { phase, at: now });
            }
            _ => {}
        }
    }

    /// True if a direct or indirect dependency of a job had been cancelled for longer than the
    /// cancellation deadline when the user asked: the job should have been cancelled with it.
    fn is_orphaned(&self, job: &JobId, asked_at: u64) -> bool {
        let (mut queue, mut seen) = (vec![job], BTreeSet::new());
        while let Some(job) = queue.pop() {
            for dependency in self
                .specs
                .get(job)
                .into_iter()
                .flat_map(|spec| &spec.depends_on)
                .filter(|dependency| seen.insert(*dependency))
            {
                if self
                    .withdrawn
                    .get(dependency)
                    .is_some_and(|at| asked_at > at + self.cancellation_deadline_us)
                {
                    return true;
                }
                queue.push(dependency);
            }
        }
        false
    }

    /// Records that a user polled an accepted job, whether or not a controller could be reached.
    pub fn poll_sent(&mut self, job: &JobId) {
        self.polls.sent += 1;
        if let Some(awaited) = self.awaiting_answer.get_mut(job) {
            awaited.polls_sent += 1;
        }
    }

    /// Records that a poll was answered.
    pub fn poll_answered(&mut self) {
        self.polls.answered += 1;
    }

    /// Records that a request about a job that a user waits for was answered at `now`.
    pub fn query_answered(&mut self, job: &JobId, now: u64) {
        let awaited = AwaitedJob {
            answered_at: now,
            polls_before: self.polls,
            polls_sent: 0,
        };
        self.awaiting_answer.insert(job.clone(), awaited);
    }

    /// Records that no user waits for a job any more.
    pub fn no_longer_awaited(&mut self, job: &JobId) {
        self.awaiting_answer.remove(job);
    }

    /// Checks that every job that a user waits for gets answers: within 75 s, of which time
    /// before `quiet_since`, when the last fault ended, does not count, and at any time within 90 s,
    /// unless most polls of other jobs fail too.
    pub fn check_answers(&mut self, quiet_since: u64, now: u64) {
        let polls = self.polls;
        let late = |job: &AwaitedJob| {
            let unanswered_since_faults =
                job.answered_at.max(quiet_since) + MAX_UNANSWERED_US < now;
            let unanswered_among_others = job.answered_at + MAX_UNANSWERED_AMONG_OTHERS_US < now
                && job.polls_sent > 0
                && polls.mostly_answered_since(job.polls_before);
            match (unanswered_since_faults, unanswered_among_others) {
                (true, _) => Some("for 75 s"),
                (false, true) => Some("for 90 s while most others are answered"),
                (false, false) => None,
            }
        };
        let mut forgotten: Vec<(JobId, &str)> = self
            .awaiting_answer
            .iter()
            .filter_map(|(job, awaited)| Some((job.clone(), late(awaited)?)))
            .collect();
        forgotten.sort_unstable();
        for (job, duration) in forgotten {
            self.awaiting_answer.remove(&job);
            self.violation(
                now,
                format!("forgotten: no question about {job} is answered {duration}"),
            );
        }
    }
}
