//! Users and the load balancer.

use super::*;

/// µs after which a user looks again whether the jobs that the next one needs are accepted.
const SUBMIT_AGAIN_US: u64 = 100 * MS;

impl World {
    pub(super) fn take_submission(&mut self, host: usize, id: JobId) {
        let Some(planned) = self.plan.get(&id) else {
            return;
        };
        let spec = planned.load.spec.clone();
        let h = &self.hosts[host];
        let Some(core) = h.core.as_ref() else { return };
        let known = core.cache.is_known(&id);
        let wait = h.writes.wait(self.now).max(h.requests.wait(self.now));
        let never = |catalog| {
            unschedulable_reason(&spec, &self.scenario.teams, &self.scenario.zones, catalog).is_some()
        };
        if known {
            return match core.answer(&id, self.now / MS) {
                Answer::Unfinished(phase, ..) => self.reply(host, id, Some(phase), 200),
                answer => self.answer_late(host, id, false, answer),
            };
        }
        if core.catalog.as_ref().is_some_and(never) {
            self.reply(host, id, None, 422);
        } else if wait > SUBMIT_WAIT_MS * MS || !core.ready(self.now / MS) {
            self.reply(host, id, None, 503);
        } else {
            match core.admit(&spec, self.now / MS) {
                DependencyAdmission::Accept(cas_list, _) => {
                    // Further pages of what it awaits mean nothing by themselves.
                    let (last, pages) = cas_list
                        .split_last()
                        .expect("a job is accepted by a transaction");
                    for page in pages {
                        self.send_txn(host, For::Nobody, page.clone());
                    }
                    self.send_txn(host, For::User(id, false, self.now), last.clone());
                }
                DependencyAdmission::Unknown(ids) => self.find_awaited(host, id, &ids),
            }
        }
    }

    /// A submission awaits jobs that its controller does not know: the store tells.
    fn find_awaited(&mut self, host: usize, id: JobId, ids: &[JobId]) {
        if !self.reachable(host, Service::Store) {
            return self.reply(host, id, None, 503);
        }
        let accepted = |id: &JobId| {
            [job_key(id), blocked_job_key(id), end_key(id)]
                .iter()
                .any(|key| self.store.get(key).is_some())
        };
        if !ids.iter().all(accepted) {
            return self.reply(host, id, None, 422);
        }
        self.settle_ends(host, ids);
        self.want_reading(host);
        let life = self.hosts[host].life;
        self.at(
            REFRESH_IDLE_MS * MS,
            Event::To(host, life, Box::new(Input::Submit(id))),
        );
    }

    /// A controller learns the ends of jobs from the store, if it reaches it.
    pub(super) fn settle_ends(&mut self, host: usize, ids: &[JobId]) {
        if !self.reachable(host, Service::Store) {
            return;
        }
        let end = |id: &JobId| {
            let (value, version) = self.store.get(&end_key(id))?;
            Some((
                id.clone(),
                from_value::<JobEndRecord>(value)?.phase,
                version,
            ))
        };
        let ends: Vec<(JobId, JobPhase, u64)> = ids.iter().filter_map(end).collect();
        let ms = self.now / MS;
        if let Some(core) = self.hosts[host].core.as_mut() {
            ends.iter()
                .for_each(|(id, phase, version)| core.cache.record_end(id, *phase, *version, ms));
        }
    }

    /// Answers what memory alone does not, or not yet.
    pub(super) fn answer_late(&mut self, host: usize, id: JobId, withdraw: bool, answer: Answer) {
        match answer {
            Answer::Over(phase) => self.reply(host, id, Some(phase), 200),
            Answer::Ends(ids) => {
                self.settle_ends(host, &ids);
                self.await_reading(host, id, withdraw);
            }
            Answer::OverIn(ms) => {
                let life = self.hosts[host].life;
                let again = if withdraw {
                    Input::Withdraw(id)
                } else {
                    Input::Poll(id)
                };
                self.at(ms * MS, Event::To(host, life, Box::new(again)));
            }
            _ => self.await_reading(host, id, withdraw),
        }
    }

    /// Answers a poll or a withdrawal from a reading that began after it.
    pub(super) fn answer_user(
        &mut self,
        host: usize,
        id: JobId,
        withdraw: bool,
        good: bool,
        asked: u64,
    ) {
        if !good || !self.reachable(host, Service::Store) {
            return self.reply_to(host, id, None, 503, asked);
        }
        let Some(core) = self.hosts[host].core.as_ref() else {
            return;
        };
        if let Some(Answer::Unfinished(phase, ..)) = core.unfinished(&id, self.now / MS) {
            let cas = if withdraw {
                core.cancellation(&id)
            } else {
                None
            };
            return match cas {
                Some(cas) => self.send_txn(host, For::User(id, true, asked), cas),
                None if withdraw => self.reply_to(host, id, None, 503, asked),
                None => self.reply_to(host, id, Some(phase), 200, asked),
            };
        }
        self.settle_ends(host, std::slice::from_ref(&id));
        if let Some(core) = self.hosts[host]
            .core
            .as_ref()
            .filter(|core| core.cache.is_known(&id))
        {
            let answer = core.answer(&id, self.now / MS);
            return self.answer_late(host, id, withdraw, answer);
        }
        self.reply_to(host, id, None, 404, asked);
    }

    pub(super) fn reply(&mut self, host: usize, id: JobId, phase: Option<JobPhase>, status: u16) {
        self.reply_to(host, id, phase, status, self.now);
    }

    /// Answers a question that came at `asked`.
    pub(super) fn reply_to(
        &mut self,
        host: usize,
        id: JobId,
        phase: Option<JobPhase>,
        status: u16,
        asked: u64,
    ) {
        let at = self.leaves(host) + self.travel();
        self.push(at, Event::Reply(id, phase, status, asked));
    }

    pub(super) fn announce(&mut self, host: usize, id: &JobId) {
        let Some(team) = self.plan.get(id).map(|p| p.load.spec.team.clone()) else {
            return;
        };
        let Some(core) = self.hosts[host].core.as_ref() else {
            return;
        };
        let shard = core
            .cache
            .team_shards
            .get(&team)
            .copied()
            .unwrap_or_else(|| core.config.default_shard(&team));
        match self.known_holder(host, shard).filter(|to| *to != host) {
            Some(to) if !self.is_cut(host, to) => {
                let (at, life) = (self.leaves(host) + self.travel(), self.hosts[to].life);
                self.push(at, Event::To(to, life, Box::new(Input::Announced)));
            }
            Some(_) => {}
            None => self.want_reading(host),
        }
    }

    /// The load balancer: some controller that takes requests.
    pub(super) fn pick_host(&mut self) -> Option<usize> {
        let ready: Vec<usize> = (0..self.hosts.len())
            .filter(|&h| {
                self.ready(h)
                    && !self.inside_cut(h)
                    && !self.down.contains(&Link::Users(h))
                    && self.hosts[h].frozen_until <= self.now
            })
            .collect();
        if ready.is_empty() {
            None
        } else {
            Some(ready[self.rng.random_range(0..ready.len())])
        }
    }

    pub(super) fn ask(&mut self, input: Input) -> bool {
        let Some(host) = self.pick_host() else {
            return false;
        };
        let (at, life) = (self.now + self.travel(), self.hosts[host].life);
        self.push(at, Event::To(host, life, Box::new(input)));
        true
    }

    pub(super) fn poll_us(&self) -> u64 {
        (self.scenario.poll_s * 1e6 / self.asked_often) as u64
    }

    /// A user asks again after so long, or before that as was planned.
    pub(super) fn poll_in(&mut self, id: JobId, us: u64) {
        let at = self.now + us;
        if let Some(user) = self
            .users
            .get_mut(&id)
            .filter(|u| u.next <= self.now || at < u.next)
        {
            user.next = at;
            self.push(at, Event::Poll(id));
        }
    }

    pub(super) fn user_submits(&mut self, id: JobId, tries: u64) {
        let now = self.now;
        if !self.awaited_accepted(&id, tries) {
            return;
        }
        let user = self.users.entry(id.clone()).or_default();
        if user.accepted.is_some() || user.over || tries > 0 && user.again != now {
            return;
        }
        if tries == 0 {
            user.first_try = now;
            if let Some(planned) = self.plan.get_mut(&id) {
                let run_us = std::mem::take(&mut planned.load.run_us);
                let load = Load {
                    spec: planned.load.spec.clone(),
                    run_us,
                    broken: planned.load.broken,
                };
                self.ground.checker.submitted(&load.spec);
                self.ground.jobs.insert(id.clone(), load);
            }
            let awaits = self
                .ground
                .jobs
                .get(&id)
                .map(|load| load.spec.depends_on.clone())
                .unwrap_or_default();
            let awaits: Vec<&str> = awaits.iter().map(JobId::as_str).collect();
            self.ground
                .history
                .note(now, "submit", &id, &awaits.join(" "));
            if !self.unfit.contains(&id) {
                self.measures.submitted();
            }
        } else if now > user.first_try + PATIENCE_US {
            user.over = true;
            self.measures.refused();
            return;
        }
        let sent = self.ask(Input::Submit(id.clone()));
        // No answer within 5 s, or none to ask: again.
        self.submit_in(id, if sent { 5_000 * MS } else { 1_000 * MS });
    }

    /// Users submit a job once those that it needs are accepted, and not at all where one
    /// was refused.
    fn awaited_accepted(&mut self, id: &JobId, tries: u64) -> bool {
        let Some(planned) = self.plan.get(id).filter(|_| tries == 0) else {
            return true;
        };
        let of = |id: &JobId| {
            self.users
                .get(id)
                .map_or((false, false), |user| (user.accepted.is_some(), user.over))
        };
        let awaited: Vec<(bool, bool)> = planned.load.spec.depends_on.iter().map(of).collect();
        if awaited.iter().all(|(accepted, _)| *accepted) {
            return true;
        }
        if awaited.iter().all(|(accepted, over)| *accepted || !over) {
            self.at(SUBMIT_AGAIN_US, Event::Submit(id.clone(), 0));
        }
        false
    }

    /// A user submits again after so long, whatever was planned.
    fn submit_in(&mut self, id: JobId, us: u64) {
        let at = self.now + us;
        if let Some(user) = self.users.get_mut(&id) {
            user.again = at;
            self.push(at, Event::Submit(id, 1));
        }
    }

    pub(super) fn user_hears(
        &mut self,
        id: JobId,
        phase: Option<JobPhase>,
        status: u16,
        asked: u64,
    ) {
        let (now, poll) = (self.now, self.poll_us());
        let Some(user) = self.users.get_mut(&id) else {
            return self.ground.checker.told(&id, phase, false, asked, now);
        };
        if status < 300 && self.unfit.contains(&id) {
            return self.ground.checker.broken.push(format!(
                "{} ms: accepted_unfit: {id} fits no machine",
                now / MS
            ));
        }
        let accepted = user.accepted.is_some_and(|at| at <= asked);
        if poll > 0
            && !user.over
            && (user.accepted.is_none() && status < 300
                || matches!(status, 200 | 404) && now <= user.asked + ANSWER_US)
        {
            self.ground.checker.answered(&id, now);
        }
        match status {
            200 | 201 if user.accepted.is_none() => {
                user.accepted = Some(now);
                self.ground.history.note(now, "accepted", &id, &"");
                let spec = self.ground.jobs.get(&id).map(|l| l.spec.clone());
                self.measures
                    .accepted(&id, user.first_try, now, spec.as_deref());
                if poll > 0 {
                    self.poll_in(id.clone(), poll);
                }
                self.accepted_closely(&id);
            }
            422 if user.over => {}
            422 => {
                user.over = true;
                self.ground.checker.refused(&id);
                if !self.unfit.contains(&id) {
                    self.measures.refused();
                }
                self.look_closely(&id);
            }
            503 if user.accepted.is_none() => self.submit_in(id, RETRY_AFTER_S * 1_000 * MS),
            200 | 201 | 404 => {
                self.ground.checker.told(&id, phase, accepted, asked, now);
                let over = matches!(phase, Some(JobPhase::Done | JobPhase::Withdrawn));
                if over && !user.over {
                    user.over = true;
                    if let Some(at) = user.withdrew {
                        self.measures.withdrawal_told(now - at);
                    }
                    self.ground.checker.asked_last(&id);
                    self.ground
                        .history
                        .note(now, "told over", &id, &format!("{phase:?}"));
                    if phase == Some(JobPhase::Withdrawn) {
                        self.ground.checker.withdrawn(&id, now);
                    }
                    self.look_closely(&id);
                } else if poll > 0 && !over {
                    self.poll_in(id, poll);
                }
            }
            _ if poll > 0 && !user.over => self.poll_in(id, poll),
            _ => {}
        }
    }
}
