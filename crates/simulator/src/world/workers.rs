//! Workers: their reports, the answers, and the orders that reach them.

use super::*;

impl World {
    pub(super) fn wake_worker(&mut self, number: usize) {
        let Some(w) = self.workers.get_mut(number).and_then(Option::as_mut) else {
            return;
        };
        let at = w.next_event().max(self.now);
        if at < w.wake_at && at != NEVER {
            w.wake_at = at;
            self.push(at, Event::Worker(number));
        }
    }

    /// What happened on one machine reaches others.
    pub(super) fn pass_calls(&mut self) {
        for call in std::mem::take(&mut self.ground.calls) {
            self.at(0, Event::Call(call));
        }
        let completed = std::mem::take(&mut self.ground.completed);
        self.jobs_completed(completed);
    }

    /// Lets a machine and whom it reaches go on.
    pub(super) fn with_worker<T>(
        &mut self,
        number: usize,
        work: impl FnOnce(&mut Worker, &mut Ground) -> T,
    ) -> Option<T> {
        let mut w = self.workers.get_mut(number)?.take()?;
        let result = work(&mut w, &mut self.ground);
        self.workers[number] = Some(w);
        self.wake_worker(number);
        self.pass_calls();
        Some(result)
    }

    pub(super) fn worker_wakes(&mut self, number: usize) {
        let (now, hosts) = (self.now, self.hosts.len());
        match self.workers.get_mut(number).and_then(Option::as_mut) {
            Some(w) if w.wake_at == now => w.wake_at = NEVER,
            _ => return,
        }
        let due = self.with_worker(number, |w, ground| {
            w.advance(now, ground);
            (w.hung_until <= now && w.due(now, hosts)).then(|| (w.report(now), w.node, w.silent))
        });
        if let Some(Some((report, host, silent))) = due {
            self.send_report(number, report, host, silent);
        }
    }

    pub(super) fn send_report(
        &mut self,
        number: usize,
        report: Heartbeat,
        host: usize,
        silent: bool,
    ) {
        if silent {
            return self.wake_worker(number);
        }
        self.copy_report(number, &report, host);
        let (now, at) = (self.now, self.now + self.travel());
        if self.hosts[host].core.is_none() {
            let next = (host + 1) % self.hosts.len();
            self.with_worker(number, |w, _| w.turn_away(now, next, 1_000 * MS));
            return;
        }
        if self.mute(number) {
            let next = (host + 1) % self.hosts.len();
            self.with_worker(number, |w, _| w.turn_away(now, next, 1_000 * MS));
            return;
        }
        if self.far(host, number) {
            // No response within 4 s, then the next node 1 s later.
            let next = (host + 1) % self.hosts.len();
            self.with_worker(number, |w, _| w.turn_away(now, next, 5_000 * MS));
            return;
        }
        let life = self.hosts[host].life;
        self.push(
            at,
            Event::To(host, life, Box::new(Input::Report(number, report, now))),
        );
    }

    /// An answer goes to a machine, if it hears that controller.
    pub(super) fn answer(
        &mut self,
        at: u64,
        host: usize,
        number: usize,
        session: u64,
        sent: u64,
        answer: HeartbeatAnswer,
    ) {
        if !self.deaf(host, number, false) {
            let at = at + self.held().unwrap_or(0);
            self.push(at, Event::Answer(number, session, sent, Box::new(answer)));
        }
    }

    pub(super) fn worker_answered(
        &mut self,
        number: usize,
        session: u64,
        sent: u64,
        answer: HeartbeatAnswer,
    ) {
        let (now, hosts) = (self.now, self.hosts.len());
        let spread = 0.75 + 0.5 * self.rng.random::<f64>();
        let next = (self.scenario.workers.heartbeat_interval_s * 1e6 * spread) as u64;
        let node = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .filter(|w| !w.silent)
            .map(|w| w.node);
        let Some(node) = node else { return };
        let elsewhere = |name: &str| (0..hosts).find(|h| crate::scenario::host_name(*h) == name);
        match answer {
            HeartbeatAnswer::Orders(reply) => {
                let reply: HeartbeatResponse = reply;
                self.with_worker(number, |w, ground| {
                    w.answered(session, sent, &reply, next, now, ground)
                });
            }
            HeartbeatAnswer::Elsewhere(name) => {
                let to = elsewhere(&name).unwrap_or((node + 1) % hosts);
                self.with_worker(number, |w, _| w.turn_away(now, to, 100 * MS));
            }
            HeartbeatAnswer::Unable | HeartbeatAnswer::Carry(_) => {
                self.with_worker(number, |w, _| {
                    w.turn_away(now, (node + 1) % hosts, 1_000 * MS)
                });
            }
        }
    }

    pub(super) fn orders_arrive(
        &mut self,
        host: usize,
        life: u64,
        lease: ShardLease,
        call: CommandCall,
        late: bool,
    ) {
        let (now, number) = (self.now, machine_number(&call.machine));
        if late && self.deaf(call.through.map_or(host, usize::from), number, true) {
            return;
        }
        let hung = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .map(|w| w.hung_until)
            .filter(|at| *at > now);
        if let Some(at) = hung {
            // A machine that continues executes what came meanwhile.
            if !late {
                let unknown = Input::Command(lease, call.clone(), CommandResult::Unknown);
                self.at(
                    COMMAND_TIMEOUT_MS * MS,
                    Event::To(host, life, Box::new(unknown)),
                );
            }
            return self.push(at, Event::Orders(host, life, lease, Box::new(call), true));
        }
        let answer = self.with_worker(number, |w, ground| w.commands(&call.commands, now, ground));
        let result = match answer {
            None => CommandResult::NotSent,
            Some((true, report)) => CommandResult::Executed(report),
            Some((false, report)) => CommandResult::Refused(report),
        };
        if !late {
            let at = now + self.travel();
            self.push(
                at,
                Event::To(host, life, Box::new(Input::Command(lease, call, result))),
            );
        }
    }

    /// A machine is no more.
    pub(super) fn take_machine(&mut self, number: usize) {
        let now = self.now;
        if let Some(mut w) = self.workers.get_mut(number).and_then(Option::take) {
            w.kill_all(now, &mut self.ground);
            self.ground.history.note(now, "machine gone", &w.id, &"");
            self.cloud.gone(number, now);
            self.pass_calls();
        }
    }
}
