//! How controllers answer user requests: submissions, polls and withdrawals.

use lemonweir_coordination::dependencies::DependencyAdmission;
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_model::JobId;
use lemonweir_model::constants::{CACHE_REFRESH_IDLE_MS, SUBMISSION_TIMEOUT_MS, USER_TIMEOUT_MS};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::users::{JobPhase, unschedulable_reason};
use lemonweir_storage::dependencies::blocked_job_key;
use lemonweir_storage::records::{JobEndRecord, end_key, job_key};

use super::Simulation;
use super::events::{Event, UserReply};
use crate::clock::US_PER_MS;
use crate::controller::{CasOrigin, Input, PendingQuery, UserCas, UserRequest};

impl Simulation {
    pub(super) fn handle_submission(&mut self, number: usize, id: JobId) {
        let (now, now_ms) = (self.now, self.now_ms());
        let Some(planned) = self.planned.get(&id) else {
            return;
        };
        let spec = planned.job.spec.clone();
        let controller = &self.controllers[number];
        let Some(core) = controller.core.as_ref() else {
            return;
        };
        if core.cache.is_known(&id) {
            return match core.job_status(&id, now_ms) {
                JobStatusAnswer::Unfinished(progress) => {
                    self.reply(number, id, Some(progress.phase), 200);
                }
                answer => self.answer_after_read(number, id, UserRequest::Query, answer),
            };
        }
        let is_unschedulable = |catalog| {
            unschedulable_reason(&spec, &self.scenario.teams, &self.scenario.zones, catalog)
                .is_some()
        };
        let wait_us = controller
            .writes
            .wait(now)
            .max(controller.requests.wait(now));
        if core.catalog.as_ref().is_some_and(is_unschedulable) {
            self.reply(number, id, None, 422);
        } else if wait_us > SUBMISSION_TIMEOUT_MS * US_PER_MS || !core.ready(now_ms) {
            self.reply(number, id, None, 503);
        } else {
            match core.admit_job(&spec, now_ms) {
                DependencyAdmission::Accept(cas_list, _) => {
                    let submission = UserCas {
                        job: id,
                        request: UserRequest::Query,
                        asked_at: now,
                        remaining: cas_list.into(),
                    };
                    self.send_user_cas(number, submission);
                }
                DependencyAdmission::Unknown(ids) => self.resolve_dependencies(number, id, &ids),
            }
        }
    }

    /// Sends the first of the compare-and-swaps that a user's request still needs; the others
    /// follow, each once the one before it is committed.
    fn send_user_cas(&mut self, number: usize, mut request: UserCas) {
        if let Some(cas) = request.remaining.pop_front() {
            self.send_cas(number, CasOrigin::User(request), cas);
        }
    }

    /// Looks up in the store the dependencies of a submission that its controller does not know.
    /// The submission is refused if one was never accepted, and otherwise handled again after
    /// [`CACHE_REFRESH_IDLE_MS`].
    fn resolve_dependencies(&mut self, number: usize, id: JobId, ids: &[JobId]) {
        if !self.service_reachable(number, Service::Store) {
            return self.reply(number, id, None, 503);
        }
        let accepted = |id: &JobId| {
            [job_key(id), blocked_job_key(id), end_key(id)]
                .iter()
                .any(|key| self.store.get(key).is_some())
        };
        if !ids.iter().all(accepted) {
            return self.reply(number, id, None, 422);
        }
        self.load_job_ends(number, ids);
        self.request_state_read(number);
        self.deliver_in(
            CACHE_REFRESH_IDLE_MS * US_PER_MS,
            self.current_process(number),
            Input::Submit(id),
        );
    }

    /// Reads the ends of jobs from the store into a controller's cache, if the store can be
    /// reached.
    pub(super) fn load_job_ends(&mut self, number: usize, ids: &[JobId]) {
        if !self.service_reachable(number, Service::Store) {
            return;
        }
        let read_end = |id: &JobId| {
            let (value, version) = self.store.get(&end_key(id))?;
            let record = from_value::<JobEndRecord>(value)?;
            Some((id.clone(), record.phase, version))
        };
        let ends: Vec<(JobId, JobPhase, u64)> = ids.iter().filter_map(read_end).collect();
        let now_ms = self.now_ms();
        if let Some(core) = self.controllers[number].core.as_mut() {
            for (id, phase, version) in &ends {
                core.cache.record_end(id, *phase, *version, now_ms);
            }
        }
    }

    /// Answers a request at once if the job is known to have ended. Otherwise the request is
    /// queued until a state read, or handled again once the end may be published.
    pub(super) fn answer_after_read(
        &mut self,
        number: usize,
        id: JobId,
        request: UserRequest,
        answer: JobStatusAnswer,
    ) {
        match answer {
            JobStatusAnswer::Finished(phase) => self.reply(number, id, Some(phase), 200),
            JobStatusAnswer::NeedsFinalStates(ids) => {
                self.load_job_ends(number, &ids);
                self.queue_query(number, id, request);
            }
            JobStatusAnswer::FinishedIn(ms) => {
                let retry = match request {
                    UserRequest::Withdrawal => Input::Withdraw(id),
                    UserRequest::Query => Input::Poll(id),
                };
                self.deliver_in(ms * US_PER_MS, self.current_process(number), retry);
            }
            _ => self.queue_query(number, id, request),
        }
    }

    /// Answers a queued request after a state read that began no earlier than it was asked.
    pub(super) fn answer_query(&mut self, number: usize, query: PendingQuery, read_worked: bool) {
        let PendingQuery {
            asked_at,
            job: id,
            request,
        } = query;
        if !read_worked || !self.service_reachable(number, Service::Store) {
            return self.reply_to(number, id, None, 503, asked_at);
        }
        let now_ms = self.now_ms();
        let Some(core) = self.controllers[number].core.as_ref() else {
            return;
        };
        let unfinished = match core.unfinished_status(&id, now_ms) {
            Some(JobStatusAnswer::Unfinished(report)) => Some((Some(report.phase), 200)),
            Some(JobStatusAnswer::ProgressOutdated(_)) => Some((None, 503)),
            _ => None,
        };
        if let Some((phase, status)) = unfinished {
            return match request {
                UserRequest::Query => self.reply_to(number, id, phase, status, asked_at),
                UserRequest::Withdrawal => match core.cancellation_cas_list(&id) {
                    Some(cas_list) => {
                        let withdrawal = UserCas {
                            job: id,
                            request,
                            asked_at,
                            remaining: cas_list.into(),
                        };
                        self.send_user_cas(number, withdrawal);
                    }
                    None => self.reply_to(number, id, None, 503, asked_at),
                },
            };
        }
        self.load_job_ends(number, std::slice::from_ref(&id));
        if let Some(core) = self.controllers[number]
            .core
            .as_ref()
            .filter(|core| core.cache.is_known(&id))
        {
            let answer = core.job_status(&id, now_ms);
            return self.answer_after_read(number, id, request, answer);
        }
        self.reply_to(number, id, None, 404, asked_at);
    }

    /// Handles the result of a submission's or a withdrawal's compare-and-swap; an `outcome` of
    /// `None`: no answer came.
    pub(super) fn user_cas_finished(
        &mut self,
        number: usize,
        user_cas: UserCas,
        cas: &CompareAndSwap,
        outcome: Option<CompareAndSwapOutcome>,
    ) {
        let in_time = self.now < user_cas.asked_at + USER_TIMEOUT_MS * US_PER_MS;
        let is_step = !user_cas.remaining.is_empty();
        let (id, request) = (user_cas.job.clone(), user_cas.request);
        match (outcome, request) {
            (Some(CompareAndSwapOutcome::Committed(_)), _) if is_step => {
                self.send_user_cas(number, user_cas);
            }
            (Some(CompareAndSwapOutcome::Committed(_)), UserRequest::Withdrawal) => {
                // The end of the job is the answer to a later request.
                self.announce(number, &id);
                self.reply(number, id, None, 503);
            }
            (Some(CompareAndSwapOutcome::Committed(_)), UserRequest::Query) => {
                self.announce(number, &id);
                // A job with a cancelled dependency is cancelled at its submission.
                let ended = cas
                    .writes
                    .iter()
                    .any(|write| matches!(write, Write::Put { key, .. } if *key == end_key(&id)));
                let phase = if ended {
                    JobPhase::Withdrawn
                } else {
                    JobPhase::Queued
                };
                self.reply(number, id, Some(phase), 201);
            }
            // Committed by an earlier request, or changed meanwhile: the answer is what the store
            // holds now.
            (Some(CompareAndSwapOutcome::Conflict(_)), _) => self.queue_query(number, id, request),
            (None, UserRequest::Withdrawal) if in_time => self.queue_query(number, id, request),
            (None, UserRequest::Query) if in_time => {
                self.send_cas(number, CasOrigin::User(user_cas), cas.clone());
            }
            _ => self.reply(number, id, None, 503),
        }
    }

    pub(super) fn reply(
        &mut self,
        controller: usize,
        id: JobId,
        phase: Option<JobPhase>,
        status: u16,
    ) {
        self.reply_to(controller, id, phase, status, self.now);
    }

    /// Answers a request that reached the controller at `asked_at`.
    fn reply_to(
        &mut self,
        controller: usize,
        job: JobId,
        phase: Option<JobPhase>,
        status: u16,
        asked_at: u64,
    ) {
        let at = self.departure_time(controller) + self.network_delay();
        let reply = UserReply {
            job,
            phase,
            status,
            asked_at,
        };
        self.schedule_at(at, Event::Reply(reply));
    }

    /// Notifies the leader of a job's shard that the job has changed. If the leader is this
    /// controller, or unknown, this controller reads the state instead.
    fn announce(&mut self, controller: usize, id: &JobId) {
        let Some(team) = self.planned.get(id).map(|p| p.job.spec.team.clone()) else {
            return;
        };
        let Some(core) = self.controllers[controller].core.as_ref() else {
            return;
        };
        let shard = core
            .cache
            .team_shards
            .get(&team)
            .copied()
            .unwrap_or_else(|| core.config.default_shard(&team));
        match self
            .known_leader(controller, shard)
            .filter(|leader| *leader != controller)
        {
            Some(leader) if !self.controllers_partitioned(controller, leader) => {
                let slow_us = self.draw_peer_delay(controller, leader);
                let at = self.departure_time(controller) + self.network_delay() + slow_us;
                self.deliver_at(at, self.current_process(leader), Input::JobAnnounced);
            }
            Some(_) => {}
            None => self.request_state_read(controller),
        }
    }
}
