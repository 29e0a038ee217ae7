//! The invariant against starvation: once all faults are over, no job keeps waiting while
//! machines have free resources for it and its team is under its quota limit.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::{JobId, JobKind, JobSpec, Resources};
use lemonweir_protocol::users::JobPhase;

use super::Simulation;
use crate::clock::US_PER_MS;
use crate::worker::Worker;

/// µs for which a job may wait although machines have free resources for it.
const STARVATION_US: u64 = 90_000 * US_PER_MS;
/// µs between two checks of waiting jobs.
const CHECK_INTERVAL_US: u64 = 5_000 * US_PER_MS;

/// A job that waits although machines have free resources for it.
struct WaitingJob {
    /// Time of the check that first found it waiting after the last start of one of its tasks,
    /// µs.
    since: u64,
    /// The machines that have had free resources for it ever since.
    machines: BTreeSet<usize>,
}

/// Tracks the jobs that wait although machines have free resources for them.
#[derive(Default)]
pub(super) struct StarvationMonitor {
    checked_at: u64,
    waiting: BTreeMap<JobId, WaitingJob>,
    /// Jobs that were reported as starved already.
    reported: BTreeSet<JobId>,
}

impl Simulation {
    /// Reports a violation for each job that has waited too long although machines have free
    /// resources for it.
    pub(super) fn check_starvation(&mut self) {
        let now = self.now;
        if now < self.starvation.checked_at + CHECK_INTERVAL_US {
            return;
        }
        self.starvation.checked_at = now;
        if self.last_fault_at == now {
            return self.starvation.waiting.clear();
        }
        let before = std::mem::take(&mut self.starvation.waiting);
        let usable = self.usable_machines();
        for id in self.startable_jobs() {
            let Some(spec) = self.workload.jobs.get(&id).map(|job| job.spec.clone()) else {
                continue;
            };
            // Each start of a task begins a new wait: a job whose tasks start one after the other
            // is not starved.
            let last_start = self.workload.checker.last_start(&id);
            let (since, among) = match before.get(&id).filter(|w| w.since >= last_start) {
                Some(waiting) => (waiting.since, &waiting.machines),
                None => (now, &usable),
            };
            let Some(machines) = self.machines_with_capacity(&spec, among) else {
                continue;
            };
            if now >= since + STARVATION_US && self.starvation.reported.insert(id.clone()) {
                self.workload.checker.violations.push(format!(
                    "{} ms: waits_beside_room: {id} for 90 s",
                    now / US_PER_MS
                ));
            }
            self.starvation
                .waiting
                .insert(id, WaitingJob { since, machines });
        }
    }

    fn usable_machines(&self) -> BTreeSet<usize> {
        let usable = |worker: &&Worker| {
            worker.up_at <= self.now && !worker.faulty && worker.reclaim_at.is_none()
        };
        self.workers
            .iter()
            .flatten()
            .filter(usable)
            .map(|worker| worker.number)
            .collect()
    }

    /// Unfinished jobs that may start and have a task that is neither on a machine nor done.
    fn startable_jobs(&self) -> Vec<JobId> {
        let live = self.live_tasks();
        let mut waiting = Vec::new();
        for (id, user) in &self.users {
            let Some(job) = self.workload.jobs.get(id).filter(|job| !job.broken) else {
                continue;
            };
            let dependencies_done = job
                .spec
                .depends_on
                .iter()
                .all(|dependency| self.final_phase(dependency) == Some(JobPhase::Done));
            let unfinished = dependencies_done
                && user.accepted_at.is_some()
                && user.withdrawal_requested.is_none()
                && !user.finished
                && self.final_phase(id).is_none();
            let on_machines = live.get(id).copied().unwrap_or(0) as u64;
            if unfinished && on_machines + self.workload.completed_tasks(id) < job.spec.tasks {
                waiting.push(id.clone());
            }
        }
        waiting.sort_unstable();
        waiting
    }

    /// The machines of `among` that have room for a task of a job; `None`: together they lack
    /// room for the tasks that must start together, or the team's quota limit does not allow
    /// those.
    fn machines_with_capacity(
        &self,
        spec: &JobSpec,
        among: &BTreeSet<usize>,
    ) -> Option<BTreeSet<usize>> {
        let tasks_together = if spec.kind == JobKind::Gang {
            spec.tasks
        } else {
            1
        };
        if !self.workload.checker.within_limit(spec, tasks_together) {
            return None;
        }
        let mut fitting_in_zone: BTreeMap<&str, u64> = BTreeMap::new();
        let mut machines = BTreeSet::new();
        for worker in among.iter().filter_map(|number| self.worker(*number)) {
            let fitting = if self.may_run_on(spec, worker) {
                tasks_that_fit(worker.free(), spec.task_resources()).min(spec.tasks)
            } else {
                0
            };
            if fitting > 0 {
                machines.insert(worker.number);
                *fitting_in_zone.entry(&worker.zone).or_default() += fitting;
            }
        }
        let most_in_zone = fitting_in_zone.values().max().copied().unwrap_or(0);
        let everywhere: u64 = fitting_in_zone.values().sum();
        let capacity = if spec.same_zone {
            most_in_zone
        } else {
            everywhere
        };
        (tasks_together <= capacity).then_some(machines)
    }

    fn may_run_on(&self, spec: &JobSpec, worker: &Worker) -> bool {
        spec.machine_types
            .as_ref()
            .is_none_or(|types| types.contains(&worker.kind.name))
            && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
            && (spec.allow_spot || !worker.spot)
            && !self.workload.checker.zone_is_full(spec, &worker.zone)
    }
}

/// How many tasks that need `need` each fit into free resources.
fn tasks_that_fit(free: Resources, need: Resources) -> u64 {
    let fitting = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    fitting(free.milli_cpus, need.milli_cpus)
        .min(fitting(free.milli_gpus, need.milli_gpus))
        .min(fitting(free.memory_mb, need.memory_mb))
}
