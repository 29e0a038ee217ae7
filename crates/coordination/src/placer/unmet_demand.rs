//! Unmet demand: the capacity that waiting jobs lack, as input for the autoscaler.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::constants::MAX_TASKS;
use lemonweir_model::{JobId, JobKind, JobSpec, Priority, Resources};

use super::Placer;
use super::units::{REASON_LOW_PRIORITY_TURN, REASON_SEVERAL_ZONES};
use crate::autoscaler::{CapacityDemand, tasks_in};
use crate::job::{Job, max_tasks_per_zone};

/// Maximum number of waiting tasks of one job that count as demand: more than the machines
/// that boot at a time can run. Further tasks count once these have their machines.
const MAX_DEMAND_TASKS: u64 = 512;
/// Number of machines that the demand of one job may fill if its tasks are so small that
/// [`MAX_DEMAND_TASKS`] fill fewer; not for low-priority jobs. Otherwise 100,000 tasks of a
/// tenth of a CPU would provision only a few machines per boot time, and never have half of
/// their tasks running.
const MAX_DEMAND_MACHINES: u64 = 32;
/// ms after submission by which a low-priority job starts its first task, or its gang, if
/// capacity is available at any price. The operators' limit is four minutes; the difference
/// covers a machine that the cloud refuses or that boots late.
pub const LOW_PRIORITY_START_DEADLINE_MS: u64 = 200_000;
/// ms of [`LOW_PRIORITY_START_DEADLINE_MS`] kept in addition to a slow boot and a slow fetch:
/// for one refusal of the cloud, and for the placement passes, syncs and writes of a start.
pub const LOW_PRIORITY_START_SLACK_MS: u64 = 20_000;
/// ms that low-priority work waits at least for low-cost capacity, however long boots and
/// fetches take.
const MIN_LOW_PRIORITY_WAIT_MS: u64 = 60_000;

/// Demand that found no capacity in a placement pass.
#[derive(Default)]
pub(super) struct UnmetDemand {
    pub(super) demand: Vec<CapacityDemand>,
    /// Resources already in `demand`, by team.
    by_team: HashMap<String, Resources>,
}

impl Placer {
    /// True if no task of a low-priority job has started, and it can't wait any longer for
    /// low-cost capacity: a machine that is requested now still takes a boot and a fetch.
    pub(super) fn must_start_now(&self, job: &Job, now: u64) -> bool {
        if job.priority() != Priority::Low || job.has_started() {
            return false;
        }
        let fetch_ms = job.spec().map_or(0, |spec| self.max_fetch_ms(spec));
        let max_wait_ms = LOW_PRIORITY_START_DEADLINE_MS
            .saturating_sub(self.boot_time_ms * 3 / 2 + fetch_ms + LOW_PRIORITY_START_SLACK_MS);
        job.waited_ms(now, now + self.wall_clock_offset_ms)
            >= max_wait_ms.max(MIN_LOW_PRIORITY_WAIT_MS)
    }

    /// Adds the capacity that a job lacks to the unmet demand, within its team's quota limit.
    pub(super) fn record_unmet_demand(&self, id: &JobId, unmet: &mut UnmetDemand, now: u64) {
        // Nothing is provisioned for a job that is suspected of its failures, since it would
        // only fail there, nor for one that only waits for its turn, or for attempts to end.
        let waits_for_room = |job: &&Job| {
            ![REASON_LOW_PRIORITY_TURN, REASON_SEVERAL_ZONES].contains(&job.pending_reason)
        };
        let Some(job) = self
            .jobs
            .get(id)
            .filter(|job| job.suspect.is_none())
            .filter(waits_for_room)
        else {
            return;
        };
        let Some(spec) = job.spec() else { return };
        let already = unmet.by_team.get(&job.team).copied().unwrap_or_default();
        let Some(demand) = self.demand_of(job, spec, &already, now) else {
            return;
        };
        unmet.by_team.insert(
            job.team.clone(),
            already.plus(&job.need.times(u64::from(demand.count))),
        );
        if !spec.spread || job.tasks == 1 || spec.zone.is_some() {
            unmet.demand.push(demand);
        } else {
            unmet.demand.extend(self.spread_over_zones(job, &demand));
        }
    }

    /// The capacity that a job lacks; `None`: its team's quota limit allows no more, or the
    /// job only uses capacity that exists. `already` is the demand of the team's other jobs.
    fn demand_of(
        &self,
        job: &Job,
        spec: &JobSpec,
        already: &Resources,
        now: u64,
    ) -> Option<CapacityDemand> {
        let is_low_priority = spec.priority == Priority::Low;
        let is_starved = is_low_priority && job.is_starved(now);
        let must_start = self.must_start_now(job, now);
        if is_low_priority && !spec.allow_spot && !is_starved && !must_start {
            return None;
        }
        let is_gang = spec.kind == JobKind::Gang;
        let waiting = match u64::from(job.waiting_count()) {
            _ if must_start && !is_gang => 1,
            waiting if is_starved => waiting
                .min(job.tasks_missing_to_half())
                .min(MAX_DEMAND_TASKS),
            waiting if is_low_priority => waiting.min(MAX_DEMAND_TASKS),
            waiting => waiting.min(self.max_demand_tasks(&job.need)),
        };
        let affordable = self.affordable_tasks(job, already);
        // A gang only demands capacity for all of its tasks. Other jobs, such as a service,
        // start as many as the quota limit allows.
        let count = if !is_gang || waiting <= affordable {
            waiting.min(affordable)
        } else {
            0
        };
        (count > 0).then(|| CapacityDemand {
            team: job.team.clone(),
            need: job.need,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot_allowed: spec.allow_spot,
            count: count as u32,
            single_zone: spec.same_zone,
            spot_only: is_low_priority && !is_starved && !must_start,
            low_priority: is_low_priority,
            must_start_now: must_start,
        })
    }

    /// Most tasks of one job that count as demand, for tasks with these resources.
    fn max_demand_tasks(&self, need: &Resources) -> u64 {
        let per_machine = self
            .machine_capacities
            .iter()
            .map(|capacity| tasks_in(capacity, need))
            .filter(|n| *n < MAX_TASKS)
            .max()
            .unwrap_or(0);
        MAX_DEMAND_TASKS.max(MAX_DEMAND_MACHINES * per_machine)
    }

    /// How many more tasks of a job its team's quota limit allows, beyond the team's usage
    /// and `already`.
    fn affordable_tasks(&self, job: &Job, already: &Resources) -> u64 {
        let used = self.usage_of(&job.team).plus(already);
        let left = self.quota_limit(&job.team).minus(&used);
        let tasks = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        tasks(left.milli_cpus, job.need.milli_cpus).min(tasks(left.milli_gpus, job.need.milli_gpus))
    }

    /// Splits the demand of a spread job by zone: a machine that boots in one zone is of no
    /// use to tasks that must run in another.
    fn spread_over_zones(&self, job: &Job, demand: &CapacityDemand) -> Vec<CapacityDemand> {
        let max_per_zone = max_tasks_per_zone(job.tasks);
        let mut left: BTreeMap<&String, u32> = self
            .zones
            .iter()
            .map(|zone| {
                let here = job.live.values().filter(|live| &live.zone == zone).count();
                (zone, max_per_zone.saturating_sub(here as u32))
            })
            .collect();
        let mut shares: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..demand.count {
            let Some((zone, left_here)) = left
                .iter_mut()
                .max_by_key(|(_, left_here)| **left_here)
                .filter(|(_, left_here)| **left_here > 0)
            else {
                break;
            };
            *left_here -= 1;
            *shares.entry(zone).or_default() += 1;
        }
        shares
            .into_iter()
            .map(|(zone, count)| CapacityDemand {
                zone: Some(zone.clone()),
                count,
                ..demand.clone()
            })
            .collect()
    }
}
