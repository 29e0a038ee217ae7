//! The term on waiting jobs: once all troubles are over, no job is left waiting beside
//! a machine that has room for it while its team is under its limit.

use lemonweir_model::{JobKind, JobSpec, Resources};

use super::*;

/// µs for which a job may wait beside room that fits.
const WAIT_BESIDE_ROOM_US: u64 = 90_000 * MS;
/// µs between two looks at waiting jobs.
const LOOK_AT_WAITING_US: u64 = 5_000 * MS;

/// A job that waits beside room that fits.
struct Beside {
    /// Since when, µs.
    since: u64,
    /// The machines that have had room for it all the while.
    machines: BTreeSet<usize>,
}

/// Jobs that wait beside room that fits.
#[derive(Default)]
pub(super) struct WaitingJobs {
    looked_at: u64,
    beside: BTreeMap<JobId, Beside>,
    /// Named already.
    named: BTreeSet<JobId>,
}

impl World {
    /// Names the jobs that have waited too long beside room that fits.
    pub(super) fn look_at_waiting_jobs(&mut self) {
        let now = self.now;
        if now < self.waiting.looked_at + LOOK_AT_WAITING_US {
            return;
        }
        self.waiting.looked_at = now;
        if self.troubled_at == now {
            return self.waiting.beside.clear();
        }
        let before = std::mem::take(&mut self.waiting.beside);
        let machines = self.usable_machines();
        for id in self.waiting_jobs() {
            let Some(spec) = self.ground.jobs.get(&id).map(|load| load.spec.clone()) else {
                continue;
            };
            // A job whose tasks start one after the other is served.
            let served = self.ground.checker.last_start(&id);
            let beside = before.get(&id).filter(|beside| beside.since >= served);
            let same = beside.map(|beside| (beside.since, beside.machines.clone()));
            let (since, among) = same.unwrap_or_else(|| (now, machines.clone()));
            let Some(machines) = self.room_for(&spec, &among) else {
                continue;
            };
            if now >= since + WAIT_BESIDE_ROOM_US && self.waiting.named.insert(id.clone()) {
                self.ground
                    .checker
                    .broken
                    .push(format!("{} ms: waits_beside_room: {id} for 90 s", now / MS));
            }
            self.waiting.beside.insert(id, Beside { since, machines });
        }
    }

    fn usable_machines(&self) -> BTreeSet<usize> {
        let usable = |worker: &&Worker| {
            worker.up_at <= self.now && !worker.faulty && worker.notice.is_none()
        };
        self.workers
            .iter()
            .flatten()
            .filter(usable)
            .map(|worker| worker.number)
            .collect()
    }

    /// Jobs that may start, and have a task that is nowhere.
    fn waiting_jobs(&self) -> Vec<JobId> {
        let live = self.live();
        let mut waiting = Vec::new();
        for (id, user) in &self.users {
            let Some(load) = self.ground.jobs.get(id).filter(|load| !load.broken) else {
                continue;
            };
            let may_start = load
                .spec
                .depends_on
                .iter()
                .all(|awaited| self.phase(awaited) == Some(JobPhase::Done));
            let unfinished = may_start
                && user.accepted.is_some()
                && user.withdrew.is_none()
                && !user.over
                && self.phase(id).is_none();
            let here = live.get(id).copied().unwrap_or(0) as u64;
            if unfinished && here + self.ground.done_tasks(id) < load.spec.tasks {
                waiting.push(id.clone());
            }
        }
        waiting.sort_unstable();
        waiting
    }

    /// Those of some machines that have room for what must start together; `None`: there is
    /// not enough, or the team's limit does not allow it.
    fn room_for(&self, spec: &JobSpec, among: &BTreeSet<usize>) -> Option<BTreeSet<usize>> {
        let (tasks, need) = (
            if spec.kind == JobKind::Gang {
                spec.tasks
            } else {
                1
            },
            spec.task_resources(),
        );
        if !self.ground.checker.within_limit(spec, tasks) {
            return None;
        }
        let mut fitting: BTreeMap<&str, u64> = BTreeMap::new();
        let mut machines = BTreeSet::new();
        for worker in among
            .iter()
            .filter_map(|number| self.workers.get(*number)?.as_ref())
        {
            let allowed = spec
                .machine_types
                .as_ref()
                .is_none_or(|types| types.contains(&worker.kind.name))
                && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
                && (spec.allow_spot || !worker.spot)
                && !self.ground.checker.zone_is_full(spec, &worker.zone);
            let room = if allowed {
                times(worker.free(), need).min(spec.tasks)
            } else {
                0
            };
            if room > 0 {
                machines.insert(worker.number);
                *fitting.entry(&worker.zone).or_default() += room;
            }
        }
        let most_in_zone = fitting.values().max().copied().unwrap_or(0);
        let all: u64 = fitting.values().sum();
        (tasks <= if spec.same_zone { most_in_zone } else { all }).then_some(machines)
    }
}

/// How many times a need fits into some room.
fn times(free: Resources, need: Resources) -> u64 {
    let by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    by(free.milli_cpus, need.milli_cpus)
        .min(by(free.milli_gpus, need.milli_gpus))
        .min(by(free.memory_mb, need.memory_mb))
}
