//! Adversarial user requests: bursts of polls to all controllers, repeated submissions,
//! cancellations at critical moments, and jobs that fit no machine.

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

/// Delays after an event with which users poll every controller, µs.
const QUERY_BURST_DELAYS_US: [u64; 6] = [
    0,
    US_PER_MS,
    3 * US_PER_MS,
    10 * US_PER_MS,
    40 * US_PER_MS,
    200 * US_PER_MS,
];
/// Share of the accepted jobs that are cancelled at once during query bursts, per mille.
const CANCELLED_AT_ONCE_PER_MILLE: u32 = 100;
/// µs within which a cancel burst cancels its jobs, and a query burst submits its job again.
const CANCEL_WITHIN_US: u64 = 200 * US_PER_MS;
/// Maximum number of machines of cancelled jobs that a cancel burst hangs.
const MAX_HUNG_MACHINES: usize = 8;
/// µs between two invalid requests of a kind.
const INVALID_REQUEST_INTERVAL_US: u64 = 500 * US_PER_MS;
/// An unschedulable job requests this many times the processors of the largest machine.
const UNSCHEDULABLE_CPU_FACTOR: f64 = 10.0;

impl Simulation {
    /// The share of the first active fault of a kind; `None`: no such fault is active.
    fn active_fault_share(&self, wanted: impl Fn(&FaultKind) -> bool) -> Option<f64> {
        self.active_faults
            .keys()
            .map(|i| &self.scenario.faults[*i])
            .find(|fault| wanted(&fault.kind))
            .map(|fault| fault.share)
    }

    fn query_bursts_active(&self) -> bool {
        self.active_fault_share(|kind| *kind == FaultKind::QueryBursts)
            .is_some()
    }

    /// Cancels a job now on behalf of its user, even if a withdrawal is planned for later.
    pub(super) fn cancel(&mut self, id: &JobId) {
        let now = self.now;
        if let Some(planned) = self.planned.get_mut(id) {
            planned.withdraw_us.get_or_insert(now);
        }
        self.schedule_at(now, Event::Withdraw(id.clone()));
    }

    fn controllers_reached_by_users(&self) -> Vec<usize> {
        let is_reached = |controller: &usize| {
            self.controllers[*controller].core.is_some()
                && !self.controller_partitioned(*controller)
                && !self.links_down.contains(&Link::Users(*controller))
        };
        (0..self.controllers.len()).filter(is_reached).collect()
    }

    fn send_to_controller(&mut self, controller: usize, after_us: u64, input: Input) {
        let at = self.now + after_us + self.network_delay();
        self.deliver_at(at, self.current_process(controller), input);
    }

    /// During query bursts, polls all controllers for a job repeatedly, and submits it to each
    /// of them once more.
    pub(super) fn query_burst(&mut self, id: &JobId) {
        if !self.query_bursts_active() {
            return;
        }
        for controller in self.controllers_reached_by_users() {
            for after_us in QUERY_BURST_DELAYS_US {
                self.send_to_controller(controller, after_us, Input::Poll(id.clone()));
            }
            let after_us = self.rng.random_range(0..CANCEL_WITHIN_US);
            self.send_to_controller(controller, after_us, Input::Submit(id.clone()));
        }
    }

    /// Handles the acceptance of a job: during query bursts it is polled, and a share of the
    /// jobs is cancelled at once.
    pub(super) fn job_accepted(&mut self, id: &JobId) {
        self.query_burst(id);
        if self.query_bursts_active() && self.draw_per_mille(CANCELLED_AT_ONCE_PER_MILLE) {
            self.cancel(id);
        }
    }

    /// Handles jobs whose last task has just completed: a fault may cancel a share of them.
    pub(super) fn jobs_completed(&mut self, ids: Vec<JobId>) {
        let share = self.active_fault_share(|kind| *kind == FaultKind::CancelAtCompletion);
        for id in ids {
            if share.is_some_and(|share| self.rng.random::<f64>() < share) {
                self.requests_at_completion(&id);
            }
        }
    }

    /// Polls, resubmits and cancels a job at the moment of its completion.
    fn requests_at_completion(&mut self, id: &JobId) {
        for controller in self.controllers_reached_by_users() {
            self.send_to_controller(controller, 0, Input::Poll(id.clone()));
            self.send_to_controller(controller, 0, Input::Submit(id.clone()));
        }
        self.cancel(id);
    }

    /// Cancels up to `count` running jobs within [`CANCEL_WITHIN_US`]. If `hang_us` is not 0,
    /// some of their machines hang for that long.
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
            let runs_cancelled_job =
                |worker: &&Worker| worker.live_jobs().any(|id| cancelled.contains(id));
            let machines: Vec<usize> = self
                .workers
                .iter()
                .flatten()
                .filter(runs_cancelled_job)
                .map(|worker| worker.number)
                .collect();
            for number in machines.into_iter().take(MAX_HUNG_MACHINES) {
                self.affect_machine(number, &FaultKind::MachineHang, hang_us);
            }
        }
    }

    /// Sends one invalid request of each kind, and schedules the next ones while the fault
    /// lasts.
    pub(super) fn invalid_requests(&mut self, fault: usize) {
        if !self.active_faults.contains_key(&fault) {
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
        let resubmission = unfinished.choose(&mut self.rng).cloned().map(Input::Submit);
        let late_withdrawal = finished.choose(&mut self.rng).cloned().map(Input::Withdraw);
        for input in [resubmission, late_withdrawal].into_iter().flatten() {
            self.send_to_ready_controller(input);
        }
        self.submit_unschedulable(&unfinished);
    }

    /// Submits a copy of one of these jobs with a CPU request that fits no machine.
    fn submit_unschedulable(&mut self, templates: &[JobId]) {
        let Some(spec) = templates
            .choose(&mut self.rng)
            .and_then(|id| self.workload.jobs.get(id))
            .map(|job| job.spec.clone())
        else {
            return;
        };
        let id =
            JobId::from(format!("req-{:09}", 900_000_000 + self.sequence % 100_000_000).as_str());
        let max_milli_cpus = self
            .scenario
            .machine_kinds
            .iter()
            .map(|kind| kind.machine.capacity.milli_cpus)
            .max()
            .unwrap_or(0);
        let cores = max_milli_cpus as f64 / 1e3 * UNSCHEDULABLE_CPU_FACTOR;
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
