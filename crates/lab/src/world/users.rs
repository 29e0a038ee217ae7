//! Users and the load balancer.

use super::*;

impl World {
    pub(super) fn take_submission(&mut self, host: usize, id: JobId) {
        let Some(planned) = self.plan.get(&id) else { return };
        let spec = planned.load.spec.clone();
        let h = &self.hosts[host];
        let Some(core) = h.core.as_ref() else { return };
        let known = core.mirror.jobs.contains_key(&id) || core.mirror.end(&id).is_some();
        let wait = h.writes.wait(self.now).max(h.requests.wait(self.now));
        let never = |catalog| never_runs(&spec, &self.scenario.teams, &self.scenario.zones, catalog).is_some();
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
            let record = JobRecord { spec: (*spec).clone(), at: self.now / MS, withdrawn: false };
            self.send_txn(host, For::User(id, false, self.now), accept_job(&record));
        }
    }

    /// Answers what memory alone does not, or not yet.
    pub(super) fn answer_late(&mut self, host: usize, id: JobId, withdraw: bool, answer: Answer) {
        match answer {
            Answer::Over(phase) => self.reply(host, id, Some(phase), 200),
            Answer::OverIn(ms) => {
                let life = self.hosts[host].life;
                let again = if withdraw { Input::Withdraw(id) } else { Input::Poll(id) };
                self.at(ms * MS, Event::To(host, life, Box::new(again)));
            }
            _ => self.await_reading(host, id, withdraw),
        }
    }

    /// Answers a poll or a withdrawal from a reading that began after it.
    pub(super) fn answer_user(&mut self, host: usize, id: JobId, withdraw: bool, good: bool, asked: u64) {
        if !good || !self.reachable(host, Service::Store) {
            return self.reply_to(host, id, None, 503, asked);
        }
        let Some(core) = self.hosts[host].core.as_ref() else { return };
        if let Some(job) = core.mirror.jobs.get(&id) {
            let txn = (withdraw && !job.record.withdrawn).then(|| withdraw_job(&job.record, job.version));
            let phase = core.progress(&id, self.now / MS).0;
            return match txn {
                Some(txn) => self.send_txn(host, For::User(id, true, asked), txn),
                None if withdraw => self.reply_to(host, id, None, 503, asked),
                None => self.reply_to(host, id, Some(phase), 200, asked),
            };
        }
        let end = self.store.get(&end_key(&id)).and_then(|(value, _)| from_value::<EndRecord>(value)).map(|r| r.phase);
        if let (Some(phase), Some(core)) = (end, self.hosts[host].core.as_mut()) {
            core.mirror.settle(&id, phase, self.now / MS);
            let answer = core.answer(&id, self.now / MS);
            return self.answer_late(host, id, withdraw, answer);
        }
        self.reply_to(host, id, None, 404, asked);
    }

    pub(super) fn reply(&mut self, host: usize, id: JobId, phase: Option<Phase>, status: u16) {
        self.reply_to(host, id, phase, status, self.now);
    }

    /// Answers a question that came at `asked`.
    pub(super) fn reply_to(&mut self, host: usize, id: JobId, phase: Option<Phase>, status: u16, asked: u64) {
        let at = self.leaves(host) + self.travel();
        self.push(at, Event::Reply(id, phase, status, asked));
    }

    pub(super) fn announce(&mut self, host: usize, id: &JobId) {
        let Some(team) = self.plan.get(id).map(|p| p.load.spec.team.clone()) else { return };
        let Some(core) = self.hosts[host].core.as_ref() else { return };
        let part = core.mirror.teams.get(&team).copied().unwrap_or_else(|| core.config.default_part(&team));
        match self.known_holder(host, part).filter(|to| *to != host) {
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
                self.ready(h) && !self.inside_cut(h) && !self.down.contains(&Link::Users(h)) && self.hosts[h].frozen_until <= self.now
            })
            .collect();
        if ready.is_empty() { None } else { Some(ready[self.rng.random_range(0..ready.len())]) }
    }

    pub(super) fn ask(&mut self, input: Input) -> bool {
        let Some(host) = self.pick_host() else { return false };
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
        if let Some(user) = self.users.get_mut(&id).filter(|u| u.next <= self.now || at < u.next) {
            user.next = at;
            self.push(at, Event::Poll(id));
        }
    }

    pub(super) fn user_submits(&mut self, id: JobId, tries: u64) {
        let now = self.now;
        let user = self.users.entry(id.clone()).or_default();
        if user.accepted.is_some() || user.over || tries > 0 && user.again != now {
            return;
        }
        if tries == 0 {
            user.first_try = now;
            if let Some(planned) = self.plan.get_mut(&id) {
                let run_us = std::mem::take(&mut planned.load.run_us);
                let load = Load { spec: planned.load.spec.clone(), run_us, broken: planned.load.broken };
                self.ground.checker.submitted(&load.spec);
                self.ground.jobs.insert(id.clone(), load);
            }
            self.ground.history.note(now, "submit", &id, &"");
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

    /// A user submits again after so long, whatever was planned.
    fn submit_in(&mut self, id: JobId, us: u64) {
        let at = self.now + us;
        if let Some(user) = self.users.get_mut(&id) {
            user.again = at;
            self.push(at, Event::Submit(id, 1));
        }
    }

    pub(super) fn user_hears(&mut self, id: JobId, phase: Option<Phase>, status: u16, asked: u64) {
        let (now, poll) = (self.now, self.poll_us());
        let Some(user) = self.users.get_mut(&id) else {
            return self.ground.checker.told(&id, phase, false, asked, now);
        };
        if status < 300 && self.unfit.contains(&id) {
            return self.ground.checker.broken.push(format!("{} ms: accepted_unfit: {id} fits no machine", now / MS));
        }
        let accepted = user.accepted.is_some_and(|at| at <= asked);
        if poll > 0
            && !user.over
            && (user.accepted.is_none() && status < 300 || matches!(status, 200 | 404) && now <= user.asked + ANSWER_US)
        {
            self.ground.checker.answered(&id, now);
        }
        match status {
            200 | 201 if user.accepted.is_none() => {
                user.accepted = Some(now);
                self.ground.history.note(now, "accepted", &id, &"");
                let spec = self.ground.jobs.get(&id).map(|l| l.spec.clone());
                self.measures.accepted(&id, user.first_try, now, spec.as_deref());
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
                let over = matches!(phase, Some(Phase::Done | Phase::Withdrawn));
                if over && !user.over {
                    user.over = true;
                    if let Some(at) = user.withdrew {
                        self.measures.withdrawal_told(now - at);
                    }
                    self.ground.checker.asked_last(&id);
                    self.ground.history.note(now, "told over", &id, &format!("{phase:?}"));
                    if phase == Some(Phase::Withdrawn) {
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
