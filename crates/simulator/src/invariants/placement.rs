//! Checks task placement: a task runs only once, on a machine that its job allows, and within
//! its team's quota.

use std::fmt;

use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::users::JobPhase;

use super::InvariantChecker;

/// The machine that a task starts on, as far as placement rules depend on it.
#[derive(Clone, Copy, Debug)]
pub struct TaskPlacement<'a> {
    /// Number of the machine.
    pub machine: usize,
    /// Name of the machine type.
    pub kind: &'a str,
    /// Zone of the machine.
    pub zone: &'a str,
    /// True for a spot instance, false for an on-demand machine.
    pub spot: bool,
}

/// A machine that a task is on.
pub(super) struct OccupiedMachine {
    machine: usize,
    zone: String,
}

/// Formats the machine as violations show it: `(7, "north")`.
impl fmt::Debug for OccupiedMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.machine, &self.zone).fmt(f)
    }
}

/// Distribution of a job's tasks over zones, including the task that is starting.
struct ZoneLoad {
    in_this_zone: u32,
    in_other_zones: bool,
}

impl InvariantChecker {
    /// Time of the last start of a task of a job, µs; 0: none has started.
    pub fn last_start(&self, job: &JobId) -> u64 {
        self.last_start.get(job).copied().unwrap_or(0)
    }

    /// True if the team's usage stays within its quota limit with `tasks` more tasks of a job.
    pub fn within_limit(&self, spec: &JobSpec, tasks: u64) -> bool {
        let usage = self
            .usage
            .get(&spec.team)
            .copied()
            .unwrap_or_default()
            .plus(&spec.task_resources().times(tasks));
        self.quota_limits.get(&spec.team).is_none_or(|limit| {
            usage.milli_cpus <= limit.milli_cpus && usage.milli_gpus <= limit.milli_gpus
        })
    }

    /// True if the job's placement constraints allow no further task in a zone.
    pub fn zone_is_full(&self, spec: &JobSpec, zone: &str) -> bool {
        let Some(zones) = self.tasks_in_zones.get(&spec.id) else {
            return false;
        };
        let here = u64::from(zones.get(zone).copied().unwrap_or(0));
        let elsewhere = zones
            .iter()
            .any(|(other, tasks)| other != zone && *tasks > 0);
        spec.spread && here >= spec.tasks.div_ceil(2) || spec.same_zone && elsewhere
    }

    /// Number of tasks of a job that are on machines.
    pub(super) fn tasks_on_machines(&self, job: &JobId) -> u32 {
        self.tasks_in_zones
            .get(job)
            .map_or(0, |zones| zones.values().sum())
    }

    /// Records that a task has its image, and from now on counts as on its machine; checks the
    /// placement.
    pub fn started(&mut self, job: &JobId, task: u32, placement: TaskPlacement<'_>, now: u64) {
        self.starts += 1;
        self.last_start.insert(job.clone(), now);
        let key = (job.clone(), task);
        self.check_runs_once(&key, placement, now);
        // Stricter than the protocol page, which allows starts within `cancel_s`.
        if self.withdrawn.contains_key(job) {
            self.violation(
                now,
                format!("ran_cancelled: {job}/{task} starts after its cancellation was confirmed"),
            );
        }
        let Some(spec) = self.specs.get(job).cloned() else {
            return self.violation(now, format!("unknown job {job}"));
        };
        self.check_dependencies(&spec, task, now);
        let zone_load = self.add_to_zone(job, placement.zone);
        if let Some(what) = placement_violation(&spec, placement, &zone_load) {
            self.violation(
                now,
                format!("wrong_place: {job}/{task} starts on a wrong {what}"),
            );
        }
        self.machines_by_task
            .entry(key)
            .or_default()
            .push(OccupiedMachine {
                machine: placement.machine,
                zone: placement.zone.to_owned(),
            });
        if self.withdrawn.contains_key(job) {
            self.withdrawn_on_machines.insert(job.clone());
        }
        self.charge_quota(&spec, now);
    }

    fn check_runs_once(&mut self, key: &(JobId, u32), placement: TaskPlacement<'_>, now: u64) {
        let Some(machines) = self.machines_by_task.get(key).filter(|on| !on.is_empty()) else {
            return;
        };
        let (job, task) = key;
        let text = format!(
            "ran_twice: {job}/{task} starts on {}, is on {machines:?}",
            placement.machine
        );
        self.violation(now, text);
    }

    fn check_dependencies(&mut self, spec: &JobSpec, task: u32, now: u64) {
        if let Some(dependency) = spec
            .depends_on
            .iter()
            .find(|dependency| self.ended.get(*dependency) != Some(&JobPhase::Done))
        {
            let job = &spec.id;
            self.violation(
                now,
                format!("too_early: {job}/{task} starts before {dependency} is done"),
            );
        }
    }

    /// Counts a task in its zone and returns the resulting distribution.
    fn add_to_zone(&mut self, job: &JobId, zone: &str) -> ZoneLoad {
        let zones = self.tasks_in_zones.entry(job.clone()).or_default();
        let in_other_zones = zones
            .iter()
            .any(|(other, tasks)| other != zone && *tasks > 0);
        let in_this_zone = zones.entry(zone.to_owned()).or_default();
        *in_this_zone += 1;
        ZoneLoad {
            in_this_zone: *in_this_zone,
            in_other_zones,
        }
    }

    /// Adds a task to its team's usage and checks the quota limit.
    fn charge_quota(&mut self, spec: &JobSpec, now: u64) {
        let usage = self.usage.entry(spec.team.clone()).or_default();
        *usage = usage.plus(&spec.task_resources());
        let usage = *usage;
        if self.quota_limits.get(&spec.team).is_some_and(|limit| {
            usage.milli_cpus > limit.milli_cpus || usage.milli_gpus > limit.milli_gpus
        }) {
            self.violation(now, format!("quota: team {} uses {usage:?}", spec.team));
        }
    }

    /// Records that a task is no longer on a machine.
    pub fn task_left(&mut self, job: &JobId, task: u32, machine: usize) {
        let key = (job.clone(), task);
        let Some(machines) = self.machines_by_task.get_mut(&key) else {
            return;
        };
        let Some(i) = machines.iter().position(|on| on.machine == machine) else {
            return;
        };
        let zone = machines.swap_remove(i).zone;
        if machines.is_empty() {
            self.machines_by_task.remove(&key);
        }
        if let Some(tasks) = self
            .tasks_in_zones
            .get_mut(job)
            .and_then(|zones| zones.get_mut(&zone))
        {
            *tasks -= 1;
        }
        if let Some(spec) = self.specs.get(job)
            && let Some(usage) = self.usage.get_mut(&spec.team)
        {
            *usage = usage.minus(&spec.task_resources());
        }
        if self.tasks_on_machines(job) == 0 {
            self.withdrawn_on_machines.remove(job);
            self.tasks_in_zones.remove(job);
        }
    }
}

/// The property of a machine that violates a job's placement constraints, if any.
fn placement_violation(
    spec: &JobSpec,
    placement: TaskPlacement<'_>,
    zone_load: &ZoneLoad,
) -> Option<&'static str> {
    let wrong_type = spec
        .machine_types
        .as_ref()
        .is_some_and(|types| !types.iter().any(|name| name == placement.kind));
    let wrong_zone = spec
        .zone
        .as_ref()
        .is_some_and(|zone| zone != placement.zone);
    let crowded = spec.spread && u64::from(zone_load.in_this_zone) > spec.tasks.div_ceil(2);
    if wrong_type {
        Some("type")
    } else if wrong_zone {
        Some("zone")
    } else if placement.spot && !spec.allow_spot {
        Some("kind")
    } else if spec.same_zone && zone_load.in_other_zones {
        Some("zone, given the others,")
    } else if crowded {
        Some("zone: one too many")
    } else {
        None
    }
}
