//! Users' troublesome requests: questions at all controllers within milliseconds,
//! repeated submissions, cancellations at a chosen moment, jobs that can't run.

use super::*;

/// µs after an event at which users ask every controller about it.
const CLOSE_LOOKS_US: [u64; 6] = [0, MS, 3 * MS, 10 * MS, 40 * MS, 200 * MS];
/// Share of the accepted jobs that are cancelled at once while users look closely,
/// in thousandths.
const CANCELLED_AT_ONCE: u32 = 100;
/// µs within which `cancel_now` cancels its jobs.
const CANCEL_WITHIN_US: u64 = 200 * MS;
/// Machines of the cancelled jobs that `cancel_now` hangs at most.
const HUNG_AT_MOST: usize = 8;
/// µs between two odd requests.
const ODD_EVERY_US: u64 = 500 * MS;
/// How many times the largest machine a job takes that fits none.
const FITS_NONE: f64 = 10.0;

impl World {
    fn struck_share(&self, wanted: impl Fn(&Trouble) -> bool) -> Option<f64> {
        let faults = self.struck.keys().map(|i| &self.scenario.faults[*i]);
        faults
            .filter(|fault| wanted(&fault.trouble))
            .map(|fault| fault.share)
            .next()
    }

    fn users_look_closely(&self) -> bool {
        self.struck_share(|trouble| *trouble == Trouble::CloseLooks)
            .is_some()
    }

    /// A job's user cancels it now, whatever it had planned.
    pub(super) fn cancel(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(planned) = self.plan.get_mut(id) {
            planned.withdraw_us.get_or_insert(now);
        }
        self.push(now, Event::Withdraw(id.clone()));
    }

    fn controllers_for_users(&self) -> Vec<usize> {
        let reached = |host: &usize| {
            self.hosts[*host].core.is_some()
                && !self.inside_cut(*host)
                && !self.down.contains(&Link::Users(*host))
        };
        (0..self.hosts.len()).filter(reached).collect()
    }

    fn request_of(&mut self, host: usize, after_us: u64, input: Input) {
        let at = self.now + after_us + self.travel();
        let incarnation = self.hosts[host].life;
        self.push(at, Event::To(host, incarnation, Box::new(input)));
    }

    /// While users look closely: all controllers are asked about a job at once, again and
    /// again, and get its submission once more.
    pub(super) fn look_closely(&mut self, id: &JobId) {
        if !self.users_look_closely() {
            return;
        }
        for host in self.controllers_for_users() {
            for after_us in CLOSE_LOOKS_US {
                self.request_of(host, after_us, Input::Poll(id.clone()));
            }
            let after_us = self.rng.random_range(0..CANCEL_WITHIN_US);
            self.request_of(host, after_us, Input::Submit(id.clone()));
        }
    }

    /// A job was accepted: users look, and some cancel it at once.
    pub(super) fn accepted_closely(&mut self, id: &JobId) {
        self.look_closely(id);
        if self.users_look_closely() && self.chance(CANCELLED_AT_ONCE) {
            self.cancel(id);
        }
    }

    /// The last task of these jobs completed just now.
    pub(super) fn jobs_completed(&mut self, ids: Vec<JobId>) {
        let share = self.struck_share(|trouble| *trouble == Trouble::CancelAtEnd);
        for id in ids {
            if share.is_some_and(|share| self.rng.random::<f64>() < share) {
                self.look_at_end(&id);
            }
        }
    }

    /// At a job's end it is cancelled, asked about and submitted again.
    fn look_at_end(&mut self, id: &JobId) {
        for host in self.controllers_for_users() {
            self.request_of(host, 0, Input::Poll(id.clone()));
            self.request_of(host, 0, Input::Submit(id.clone()));
        }
        self.cancel(id);
    }

    /// Users cancel running jobs within a fifth of a second; some of their machines hang.
    pub(super) fn cancel_now(&mut self, count: usize, hang_us: u64) {
        let (now, mut running) = (self.now, self.live().into_keys().collect::<Vec<_>>());
        running.retain(|id| {
            self.users.get(id).is_some_and(|user| {
                user.accepted.is_some() && !user.over && user.withdrew.is_none()
            })
        });
        let mut cancelled = Vec::new();
        while cancelled.len() < count && !running.is_empty() {
            cancelled.push(running.swap_remove(self.rng.random_range(0..running.len())));
        }
        for id in &cancelled {
            let at = now + self.rng.random_range(0..CANCEL_WITHIN_US);
            if let Some(planned) = self.plan.get_mut(id) {
                planned.withdraw_us.get_or_insert(at);
            }
            self.push(at, Event::Withdraw(id.clone()));
        }
        if hang_us > 0 {
            let has_one = |worker: &&Worker| worker.live_jobs().any(|id| cancelled.contains(id));
            let machines: Vec<usize> = self
                .workers
                .iter()
                .flatten()
                .filter(has_one)
                .map(|worker| worker.number)
                .collect();
            for number in machines.into_iter().take(HUNG_AT_MOST) {
                self.strike(number, &Trouble::Hang, hang_us);
            }
        }
    }

    /// One odd request of each kind; the next ones follow while the trouble lasts.
    pub(super) fn odd_requests(&mut self, fault: usize) {
        if !self.struck.contains_key(&fault) {
            return;
        }
        self.at(ODD_EVERY_US, Event::OddRequests(fault));
        let of_users = |over: bool| {
            let mut ids: Vec<&JobId> = self
                .users
                .iter()
                .filter(|(_, u)| u.accepted.is_some() && u.over == over)
                .map(|(id, _)| id)
                .collect();
            ids.sort_unstable();
            ids.into_iter().cloned().collect::<Vec<_>>()
        };
        let (unfinished, over) = (of_users(false), of_users(true));
        let again = unfinished.choose(&mut self.rng).cloned().map(Input::Submit);
        let in_vain = over.choose(&mut self.rng).cloned().map(Input::Withdraw);
        for input in [again, in_vain].into_iter().flatten() {
            self.ask(input);
        }
        self.submit_unfit(&unfinished);
    }

    /// A job that is like another one, but fits no machine.
    fn submit_unfit(&mut self, like: &[JobId]) {
        let Some(spec) = like
            .choose(&mut self.rng)
            .and_then(|id| self.ground.jobs.get(id))
            .map(|load| load.spec.clone())
        else {
            return;
        };
        let id = JobId::from(format!("req-{:09}", 900_000_000 + self.seq % 100_000_000).as_str());
        let most = self
            .scenario
            .kinds
            .iter()
            .map(|kind| kind.machine.capacity.milli_cpus)
            .max()
            .unwrap_or(0);
        let cores = most as f64 / 1e3 * FITS_NONE;
        let spec = Arc::new(lemonweir_model::JobSpec {
            id: id.clone(),
            cpus: cores,
            ..(*spec).clone()
        });
        self.unfit.insert(id.clone());
        let load = Load {
            spec,
            run_us: vec![1],
            broken: true,
        };
        self.submit_at(Planned {
            at_us: self.now,
            load,
            withdraw_us: None,
        });
    }
}
