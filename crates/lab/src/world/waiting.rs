//! The term on waiting jobs: once all troubles are over, no job is left waiting beside
//! a machine that has room for it while its team is under its limit.

use lemonweir_model::{JobSpec, Room, Shape};

use super::*;

/// µs for which a job may wait beside room that fits.
const WAIT_BESIDE_ROOM_US: u64 = 90_000 * MS;
/// µs between two looks at waiting jobs.
const LOOK_AT_WAITING_US: u64 = 5_000 * MS;

/// Since when jobs have waited beside room that fits.
#[derive(Default)]
pub(super) struct WaitingJobs {
    looked_at: u64,
    since: BTreeMap<JobId, u64>,
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
            return self.waiting.since.clear();
        }
        let waiting = self.jobs_beside_room();
        self.waiting.since.retain(|id, _| waiting.contains(id));
        for id in waiting {
            let since = *self.waiting.since.entry(id.clone()).or_insert(now);
            // A job whose tasks start one after the other is served.
            let since = since.max(self.ground.checker.last_start(&id));
            if now >= since + WAIT_BESIDE_ROOM_US && self.waiting.named.insert(id.clone()) {
                self.ground.checker.broken.push(format!("{} ms: waits_beside_room: {id} for 90 s", now / MS));
            }
        }
    }

    /// Jobs with a task that is nowhere although a machine has room for it.
    fn jobs_beside_room(&self) -> BTreeSet<JobId> {
        let live = self.live();
        let usable = |worker: &&Worker| worker.up_at <= self.now && !worker.faulty && worker.notice.is_none();
        let machines: Vec<&Worker> = self.workers.iter().flatten().filter(usable).collect();
        let mut beside_room = BTreeSet::new();
        for (id, user) in &self.users {
            let Some(load) = self.ground.jobs.get(id).filter(|load| !load.broken) else { continue };
            let may_start = load.spec.awaits.iter().all(|awaited| self.phase(awaited) == Some(Phase::Done));
            let unfinished = may_start && user.accepted.is_some() && user.withdrew.is_none() && !user.over && self.phase(id).is_none();
            let here = live.get(id).copied().unwrap_or(0) as u64;
            if unfinished && here + self.ground.done_tasks(id) < load.spec.tasks && self.room_for(&load.spec, &machines) {
                beside_room.insert(id.clone());
            }
        }
        beside_room
    }

    /// True if what must start together fits, and its team's limit allows it.
    fn room_for(&self, spec: &JobSpec, machines: &[&Worker]) -> bool {
        let (tasks, need) = (if spec.shape == Shape::Gang { spec.tasks } else { 1 }, spec.need());
        if !self.ground.checker.within_limit(spec, tasks) {
            return false;
        }
        let mut fitting: BTreeMap<&str, u64> = BTreeMap::new();
        for worker in machines {
            let allowed = spec.types.as_ref().is_none_or(|types| types.contains(&worker.kind.name))
                && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone)
                && (spec.spot || !worker.spot)
                && !self.ground.checker.zone_is_full(spec, &worker.zone);
            if allowed {
                *fitting.entry(&worker.zone).or_default() += times(worker.free(), need).min(spec.tasks);
            }
        }
        let most_in_zone = fitting.values().max().copied().unwrap_or(0);
        let all: u64 = fitting.values().sum();
        tasks <= if spec.one_zone { most_in_zone } else { all }
    }
}

/// How many times a need fits into some room.
fn times(free: Room, need: Room) -> u64 {
    let by = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
    by(free.cpus, need.cpus).min(by(free.gpus, need.gpus)).min(by(free.memory, need.memory))
}
