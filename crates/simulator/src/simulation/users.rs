//! Users and the load balancer: users submit a job until it is accepted or refused, poll it,
//! and withdraw it until its end is confirmed.

use lemonweir_model::JobId;
use lemonweir_model::constants::RETRY_AFTER_S;
use lemonweir_protocol::users::JobPhase;
use rand::RngExt;

use super::Simulation;
use super::events::{Event, SubmissionAttempt, UserReply};
use crate::clock::US_PER_MS;
use crate::controller::{Input, UserRequest};
use crate::invariants::UserAnswer;
use crate::job::SimulatedJob;
use crate::scenario::Link;

/// µs after which a user checks again whether the dependencies of its job are accepted.
const DEPENDENCY_RETRY_US: u64 = 100 * US_PER_MS;
/// µs for which a user repeats a submission (protocol specification).
const SUBMISSION_TIMEOUT_US: u64 = 60_000 * US_PER_MS;
/// µs for which a user waits for the answer to a submission.
const SUBMISSION_ANSWER_US: u64 = 5_000 * US_PER_MS;
/// µs for which a user waits for the answer to a poll (protocol specification).
const POLL_ANSWER_US: u64 = 2_000 * US_PER_MS;
/// µs between two withdrawal requests for a job.
const WITHDRAWAL_INTERVAL_US: u64 = 2_000 * US_PER_MS;
/// µs after which a user tries again if no controller accepts requests.
const NO_CONTROLLER_RETRY_US: u64 = 1_000 * US_PER_MS;
/// µs after which users try again after a 503: its `Retry-After`.
const RETRY_AFTER_US: u64 = RETRY_AFTER_S * 1_000 * US_PER_MS;
/// Under a poll load, on average one in this many polls comes with another one for a job that
/// does not exist.
const UNKNOWN_JOB_ONE_IN: u32 = 3;

/// A user's view of its job. Times are µs.
#[derive(Default)]
pub(super) struct UserJob {
    first_submitted: u64,
    pub(super) accepted_at: Option<u64>,
    /// True once the user knows that the job ended or was refused, or has given up submitting it.
    pub(super) finished: bool,
    last_poll: u64,
    next_poll: u64,
    next_submission: u64,
    /// When the user first requested its withdrawal.
    pub(super) withdrawal_requested: Option<u64>,
}

impl Simulation {
    // ---- the load balancer -----------------------------------------------------

    /// Picks a random controller that is ready and that users can reach.
    fn pick_controller(&mut self) -> Option<usize> {
        let ready: Vec<usize> = (0..self.controllers.len())
            .filter(|&number| {
                self.is_ready(number)
                    && !self.controller_partitioned(number)
                    && !self.links_down.contains(&Link::Users(number))
                    && self.controllers[number].stalled_until <= self.now
            })
            .collect();
        if ready.is_empty() {
            None
        } else {
            Some(ready[self.rng.random_range(0..ready.len())])
        }
    }

    /// Sends a user's request to a random ready controller; false if there is none.
    pub(super) fn send_to_ready_controller(&mut self, input: Input) -> bool {
        let Some(controller) = self.pick_controller() else {
            return false;
        };
        let at = self.now + self.network_delay();
        self.deliver_at(at, self.current_process(controller), input);
        true
    }

    // ---- submissions -----------------------------------------------------------

    pub(super) fn user_submits(&mut self, id: JobId, attempt: SubmissionAttempt) {
        let now = self.now;
        if attempt == SubmissionAttempt::First && !self.dependencies_accepted(&id) {
            return;
        }
        let user = self.users.entry(id.clone()).or_default();
        let repeated = attempt == SubmissionAttempt::Repeated;
        if user.accepted_at.is_some() || user.finished || repeated && user.next_submission != now {
            return;
        }
        if !repeated {
            user.first_submitted = now;
            self.record_first_submission(&id);
        } else if now > user.first_submitted + SUBMISSION_TIMEOUT_US {
            user.finished = true;
            self.metrics.job_refused();
            return;
        }
        let sent = self.send_to_ready_controller(Input::Submit(id.clone()));
        let again_us = if sent {
            SUBMISSION_ANSWER_US
        } else {
            NO_CONTROLLER_RETRY_US
        };
        self.schedule_resubmission(id, again_us);
    }

    fn record_first_submission(&mut self, id: &JobId) {
        if let Some(planned) = self.planned.get_mut(id) {
            let job = SimulatedJob {
                spec: planned.job.spec.clone(),
                run_us: std::mem::take(&mut planned.job.run_us),
                broken: planned.job.broken,
            };
            self.workload.checker.submitted(&job.spec);
            self.workload.jobs.insert(id.clone(), job);
        }
        let dependencies: Vec<&str> = self
            .workload
            .jobs
            .get(id)
            .into_iter()
            .flat_map(|job| job.spec.depends_on.iter().map(JobId::as_str))
            .collect();
        self.workload
            .history
            .record(self.now, "submit", id, &dependencies.join(" "));
        if !self.unschedulable.contains(id) {
            self.metrics.job_submitted();
        }
    }

    /// True if all dependencies of a job are accepted. Otherwise its first submission is
    /// scheduled again, unless a dependency was refused: then the job is never submitted.
    fn dependencies_accepted(&mut self, id: &JobId) -> bool {
        let Some(planned) = self.planned.get(id) else {
            return true;
        };
        let accepted = |id: &JobId| {
            self.users
                .get(id)
                .is_some_and(|user| user.accepted_at.is_some())
        };
        let refused =
            |id: &JobId| !accepted(id) && self.users.get(id).is_some_and(|user| user.finished);
        let dependencies = &planned.job.spec.depends_on;
        if dependencies.iter().all(accepted) {
            return true;
        }
        if !dependencies.iter().any(refused) {
            self.schedule_in(
                DEPENDENCY_RETRY_US,
                Event::Submit(id.clone(), SubmissionAttempt::First),
            );
        }
        false
    }

    /// Schedules a repeated submission, which replaces one that is scheduled already.
    fn schedule_resubmission(&mut self, id: JobId, after_us: u64) {
        let at = self.now + after_us;
        if let Some(user) = self.users.get_mut(&id) {
            user.next_submission = at;
            self.schedule_at(at, Event::Submit(id, SubmissionAttempt::Repeated));
        }
    }

    // ---- polls and withdrawals -------------------------------------------------

    fn poll_interval_us(&self) -> u64 {
        (self.scenario.poll_s * 1e6 / self.poll_factor) as u64
    }

    /// Schedules a poll, unless an earlier one is scheduled already.
    fn schedule_poll(&mut self, id: JobId, after_us: u64) {
        let at = self.now + after_us;
        if let Some(user) = self
            .users
            .get_mut(&id)
            .filter(|user| user.next_poll <= self.now || at < user.next_poll)
        {
            user.next_poll = at;
            self.schedule_at(at, Event::Poll(id));
        }
    }

    pub(super) fn user_polls(&mut self, id: JobId) {
        if self.poll_factor > 1.0 && self.rng.random_range(0..UNKNOWN_JOB_ONE_IN) == 0 {
            let unknown = format!("req-{:09}", self.rng.random_range(0..100_000_000));
            self.send_to_ready_controller(Input::Poll(JobId::from(unknown.as_str())));
        }
        let now = self.now;
        let Some(user) = self
            .users
            .get_mut(&id)
            .filter(|user| !user.finished && user.next_poll == now)
        else {
            return;
        };
        user.last_poll = now;
        self.workload.checker.poll_sent(&id);
        let sent = self.send_to_ready_controller(Input::Poll(id.clone()));
        let again_us = if sent {
            POLL_ANSWER_US + self.poll_interval_us()
        } else {
            NO_CONTROLLER_RETRY_US
        };
        self.schedule_poll(id, again_us);
    }

    pub(super) fn user_withdraws(&mut self, id: JobId) {
        let now = self.now;
        let Some(user) = self.users.get_mut(&id).filter(|user| !user.finished) else {
            return;
        };
        // A user withdraws a job only once it is accepted.
        if user.accepted_at.is_some() {
            user.withdrawal_requested.get_or_insert(now);
            self.send_to_ready_controller(Input::Withdraw(id.clone()));
        }
        self.schedule_in(WITHDRAWAL_INTERVAL_US, Event::Withdraw(id));
    }

    /// Jobs whose users asked for their withdrawal at or before `since`, µs, and do not know yet
    /// that they have ended.
    pub(crate) fn cancellations_awaited_since(&self, since: u64) -> Vec<JobId> {
        self.users
            .iter()
            .filter(|(_, user)| !user.finished)
            .filter(|(_, user)| user.withdrawal_requested.is_some_and(|at| at <= since))
            .map(|(id, _)| id.clone())
            .collect()
    }

    // ---- answers ---------------------------------------------------------------

    pub(super) fn user_receives(&mut self, reply: UserReply) {
        let (now, poll_us) = (self.now, self.poll_interval_us());
        let UserReply {
            job: id,
            phase,
            status,
            asked_at,
        } = reply;
        let Some(user) = self.users.get(&id) else {
            let answer = UserAnswer {
                phase,
                accepted: false,
                asked_at,
            };
            return self.workload.checker.check_user_answer(&id, answer, now);
        };
        if status < 300 && self.unschedulable.contains(&id) {
            return self.workload.checker.violations.push(format!(
                "{} ms: accepted_unfit: {id} fits no machine",
                now / US_PER_MS
            ));
        }
        let accepted_when_asked = user.accepted_at.is_some_and(|at| at <= asked_at);
        let (is_accepted, is_finished) = (user.accepted_at.is_some(), user.finished);
        let answers_poll = matches!(status, 200 | 404) && now <= user.last_poll + POLL_ANSWER_US;
        if is_accepted && answers_poll {
            self.workload.checker.poll_answered();
        }
        if poll_us > 0 && !is_finished && (!is_accepted && status < 300 || answers_poll) {
            self.workload.checker.query_answered(&id, now);
        }
        match status {
            200 | 201 if !is_accepted => {
                self.repeat_user_request(&id, UserRequest::Query);
                self.user_accepted(id, poll_us);
            }
            422 if is_finished => {}
            422 => self.user_refused(id),
            503 if !is_accepted => self.schedule_resubmission(id, RETRY_AFTER_US),
            200 | 201 | 404 => {
                let answer = UserAnswer {
                    phase,
                    accepted: accepted_when_asked,
                    asked_at,
                };
                self.workload.checker.check_user_answer(&id, answer, now);
                self.user_receives_phase(id, phase, poll_us);
            }
            _ if poll_us > 0 && !is_finished => self.schedule_poll(id, poll_us),
            _ => {}
        }
    }

    fn user_accepted(&mut self, id: JobId, poll_us: u64) {
        let now = self.now;
        let Some(user) = self.users.get_mut(&id) else {
            return;
        };
        user.accepted_at = Some(now);
        let first_submitted = user.first_submitted;
        self.workload.history.record(now, "accepted", &id, &"");
        let spec = self.workload.jobs.get(&id).map(|job| job.spec.clone());
        self.metrics
            .job_accepted(&id, first_submitted, now, spec.as_deref());
        if poll_us > 0 {
            self.schedule_poll(id.clone(), poll_us);
        }
        self.job_accepted(&id);
    }

    fn user_refused(&mut self, id: JobId) {
        if let Some(user) = self.users.get_mut(&id) {
            user.finished = true;
        }
        self.workload.checker.refused(&id);
        if !self.unschedulable.contains(&id) {
            self.metrics.job_refused();
        }
        self.query_burst(&id);
    }

    /// Handles the phase that the user of an accepted job receives; `None`: 404.
    fn user_receives_phase(&mut self, id: JobId, phase: Option<JobPhase>, poll_us: u64) {
        let now = self.now;
        let Some(user) = self.users.get_mut(&id) else {
            return;
        };
        let ended = matches!(phase, Some(JobPhase::Done | JobPhase::Withdrawn));
        if ended && !user.finished {
            user.finished = true;
            if let Some(requested) = user.withdrawal_requested {
                self.metrics.withdrawal_confirmed(now - requested);
            }
            self.workload.checker.no_longer_awaited(&id);
            self.workload
                .history
                .record(now, "told over", &id, &format!("{phase:?}"));
            if phase == Some(JobPhase::Withdrawn) {
                self.workload.checker.withdrawn(&id, now);
                self.repeat_user_request(&id, UserRequest::Withdrawal);
            }
            self.query_burst(&id);
        } else if poll_us > 0 && !ended {
            self.schedule_poll(id, poll_us);
        }
    }
}
