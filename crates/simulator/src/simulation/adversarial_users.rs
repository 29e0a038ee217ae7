//! Adversarial requests of users: bursts of questions at all controllers, repeated
//! submissions, cancellations at a chosen moment, jobs that can't run.

use std::sync::Arc;

use lemonweir_model::{JobId, JobSpec};
use rand::RngExt;
use rand::seq::IndexedRandom;

use super::Simulation;
use super::events::Event;
use crate::clock::US_PER_MS;
use crate::controller::Input;
use crate::job::{PlannedSubmission, SimulatedJob};
use crate::scenario::{FaultKind, Link};
use crate::worker::Worker;

/// µs after an event at which users ask every controller about it.
const QUERY_BURST_US: [u64; 6] = [
    0,
    US_PER_MS,
    3 * US_PER_MS,
    10 * US_PER_MS,
    40 * US_PER_MS,
    200 * US_PER_MS,
];
/// Share of the accepted jobs that are cancelled at once during query bursts, in thousandths.
const CANCELLED_AT_ONCE_PER_MILLE: u32 = 100;
/// µs within which a cancel burst cancels its jobs.
const CANCEL_WITHIN_US: u64 = 200 * US_PER_MS;
/// Machines of the cancelled jobs that a cancel burst hangs at most.
const MOST_HUNG_MACHINES: usize = 8;
/// µs between two invalid requests of a kind.
const INVALID_REQUEST_INTERVAL_US: u64 = 500 * US_PER_MS;
/// An unschedulable job takes so many times the processors of the largest machine.
const UNSCHEDULABLE_SIZE: f64 = 10.0;

impl Simulation {
    /// The share of the first active fault of a kind; none: no such fault is active.
    fn active_fault_share(&self, wanted: impl Fn(&FaultKind) -> bool) -> Option<f64> {
        self.affected
            .keys()
            .map(|i| &self.scenario.faults[*i])
            .find(|fault| wanted(&fault.kind))
            .map(|fault| fault.share)
    }

    fn query_bursts_active(&self) -> bool {
        self.active_fault_share(|kind| *kind == FaultKind::QueryBursts)
            .is_some()
    }

    /// A job's user cancels it now, whatever it had planned.
    pub(super) fn cancel(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(planned) = self.planned.get_mut(id) {
            planned.withdraw_us.get_or_insert(now);
        }
        self.schedule_at(now, Event::Withdraw(id.clone()));
    }

    fn controllers_for_users(&self) -> Vec<usize> {
        let reached = |controller: &usize| {
            self.controllers[*controller].core.is_some()
                && !self.controller_partitioned(*controller)
                && !self.links_down.contains(&Link::Users(*controller))
        };
        (0..self.controllers.len()).filter(reached).collect()
    }

    fn send_request(&mut self, controller: usize, after_us: u64, input: Input) {
        let at = self.now + after_us + self.network_delay();
        self.deliver_at(at, self.process(controller), input);
    }

    /// During query bursts all controllers are asked about a job at once, again and again,
    /// and get its submission once more.
    pub(super) fn query_burst(&mut self, id: &JobId) {
        if !self.query_bursts_active() {
            return;
        }
        for controller in self.controllers_for_users() {
            for after_us in QUERY_BURST_US {
                self.send_request(controller, after_us, Input::Poll(id.clone()));
            }
            let after_us = self.rng.random_range(0..CANCEL_WITHIN_US);
            self.send_request(controller, after_us, Input::Submit(id.clone()));
        }
    }

    /// A job was accepted: during query bursts users ask, and some cancel it at once.
    pub(super) fn job_accepted(&mut self, id: &JobId) {
        self.query_burst(id);
        if self.query_bursts_active() && self.happens(CANCELLED_AT_ONCE_PER_MILLE) {
            self.cancel(id);
        }
    }

    /// The last task of these jobs completed just now.
    pub(super) fn jobs_completed(&mut self, ids: Vec<JobId>) {
        let share = self.active_fault_share(|kind| *kind == FaultKind::CancelAtCompletion);
        for id in ids {
            if share.is_some_and(|share| self.rng.random::<f64>() < share) {
                self.requests_at_completion(&id);
            }
        }
    }

    /// At a job's end it is cancelled, asked about and submitted again.
    fn requests_at_completion(&mut self, id: &JobId) {
        for controller in self.controllers_for_users() {
            self.send_request(controller, 0, Input::Poll(id.clone()));
            self.send_request(controller, 0, Input::Submit(id.clone()));
        }
        self.cancel(id);
    }

    /// Users cancel running jobs within a fifth of a second; some of their machines hang.
    pub(super) fn cancel_burst(&mut self, count: usize, hang_us: u64) {
        let (now, mut running) = (self.now, self.live_tasks().into_keys().collect::<Vec<_>>());
        running.retain(|id| {
            self.users.get(id).is_some_and(|user| {
                user.accepted_at.is_some() && !user.finished && user.withdrawal_requested.is_none()
            })
        });
        let mut cancelled = Vec::new();
        while cancelled.len() < count && !running.is_empty() {
            cancelled.push(running.swap_remove(self.rng.random_range(0..running.len())));
        }
        for id in &cancelled {
            let at = now + self.rng.random_range(0..CANCEL_WITHIN_US);
            if let Some(planned) = self.planned.get_mut(id) {
                planned.withdraw_us.get_or_insert(at);
            }
            self.schedule_at(at, Event::Withdraw(id.clone()));
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
            for number in machines.into_iter().take(MOST_HUNG_MACHINES) {
                self.affect_machine(number, &FaultKind::MachineHang, hang_us);
            }
        }
    }

    /// One invalid request of each kind; the next ones follow while the fault lasts.
    pub(super) fn invalid_requests(&mut self, fault: usize) {
        if !self.affected.contains_key(&fault) {
            return;
        }
        self.schedule_in(INVALID_REQUEST_INTERVAL_US, Event::InvalidRequests(fault));
        let accepted_jobs = |finished: bool| {
            let mut ids: Vec<&JobId> = self
                .users
                .iter()
                .filter(|(_, user)| user.accepted_at.is_some() && user.finished == finished)
                .map(|(id, _)| id)
                .collect();
            ids.sort_unstable();
            ids.into_iter().cloned().collect::<Vec<_>>()
        };
        let (unfinished, finished) = (accepted_jobs(false), accepted_jobs(true));
        let again = unfinished.choose(&mut self.rng).cloned().map(Input::Submit);
        let too_late = finished.choose(&mut self.rng).cloned().map(Input::Withdraw);
        for input in [again, too_late].into_iter().flatten() {
            self.send_to_any(input);
        }
        self.submit_unschedulable(&unfinished);
    }

    /// Submits a job that is like another one, but fits no machine.
    fn submit_unschedulable(&mut self, like: &[JobId]) {
        let Some(spec) = like
            .choose(&mut self.rng)
            .and_then(|id| self.workload.jobs.get(id))
            .map(|job| job.spec.clone())
        else {
            return;
        };
        let id =
            JobId::from(format!("req-{:09}", 900_000_000 + self.sequence % 100_000_000).as_str());
        let most = self
            .scenario
            .machine_kinds
            .iter()
            .map(|kind| kind.machine.capacity.milli_cpus)
            .max()
            .unwrap_or(0);
        let cores = most as f64 / 1e3 * UNSCHEDULABLE_SIZE;
        let spec = Arc::new(JobSpec {
            id: id.clone(),
            cpus: cores,
            ..(*spec).clone()
        });
        self.unschedulable.insert(id.clone());
        let job = SimulatedJob {
            spec,
            run_us: vec![1],
            broken: true,
        };
        self.submit(PlannedSubmission {
            at_us: self.now,
            job,
            withdraw_us: None,
        });
    }
}
