//! Selects a job's next placement unit, a task or a whole gang, within its team's quota.

use std::hash::{DefaultHasher, Hash, Hasher};

use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_model::{JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::peer::PreemptionScope;

use super::Placer;
use super::placement_pass::PlacementPass;
use super::quotas::within_quota;
use crate::job::{CountedAttempts, Job};

/// Factor by which an image fetch may exceed its expected time: the protocol documents fetch
/// rates with a tolerance of one third.
pub(super) const MAX_FETCH_TIME_FACTOR: f64 = 1.33;

/// Pending reason of a job that found no room.
pub(super) const REASON_NO_ROOM: &str = "no machine has room; more are asked for";
/// Pending reason of a suspect that found no room.
const REASON_SUSPECT_NO_ROOM: &str =
    "its tasks failed; no machine that runs others has room for another try";
/// Pending reason of a job whose team would exceed its quota limit.
pub(super) const REASON_AT_LIMIT: &str = "its team is at its limit";
/// Pending reason of low-priority work whose starts exceed the write budget.
pub(super) const REASON_LOW_PRIORITY_TURN: &str =
    "idle work; its starts wait for their turn to be written to the store";

/// Pending reason of a job whose tasks must share a zone while it has attempts in several.
pub(super) const REASON_SEVERAL_ZONES: &str =
    "its tasks must share a zone; those in another one have to end first";

/// Tasks that are placed together, and the properties that their search depends on.
pub(super) struct PlacementUnit {
    pub(super) tasks: Vec<u32>,
    /// The job is suspected of its failures: it has one attempt at a time, and preempts
    /// nothing.
    pub(super) is_suspect: bool,
    /// The job has low priority, and the unit is the first unwritten start of its chunk.
    pub(super) is_first_low_priority_start: bool,
    /// With this unit, the team is still within its guaranteed quota.
    pub(super) is_guaranteed: bool,
    /// Fetching the image would take longer than the start objective allows, or keep a
    /// restarted replica down.
    pub(super) needs_image: bool,
    /// The unit may only use room that costs little: no idle on-demand machines.
    pub(super) is_low_cost_only: bool,
}

impl Placer {
    /// The next unit of a job; `None` if none may be placed now. Sets the pending reason if the
    /// write budget, the team's quota limit or the zones of its attempts are the cause.
    pub(super) fn next_unit(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        pass: &PlacementPass,
        now: u64,
    ) -> Option<PlacementUnit> {
        let job = self.jobs.get_mut(id)?;
        let is_suspect = job.suspect.is_some();
        if is_suspect && !job.live.is_empty() {
            return None;
        }
        if job.awaits_single_zone() {
            job.pending_reason = REASON_SEVERAL_ZONES;
            return None;
        }
        let first = job.next_waiting_task()?;
        // Limits placement of low-priority work to what can be written soon: it must not
        // occupy room long before its starts are written, nor may a pass place 100,000 tasks.
        let is_first_low_priority_start = spec.priority == Priority::Low
            && job
                .chunks
                .get(&(first / TASKS_PER_CHUNK))
                .is_none_or(|chunk| !chunk.has_unwritten_start());
        if is_first_low_priority_start && pass.low_priority_chunks_left == 0 {
            job.pending_reason = REASON_LOW_PRIORITY_TURN;
            return None;
        }
        let tasks: Vec<u32> = if spec.kind == JobKind::Gang {
            (first..job.tasks)
                .filter(|task| !job.is_task_done(*task))
                .collect()
        } else {
            vec![first]
        };
        let needed = job.need.times(tasks.len() as u64);
        let job = self.jobs.get(id)?;
        let used_after = self.usage_of(&job.team).plus(&needed);
        if !self.is_within_limit(&job.team, &used_after) {
            self.jobs.get_mut(id)?.pending_reason = REASON_AT_LIMIT;
            return None;
        }
        let is_guaranteed = within_quota(&used_after, self.guaranteed_quotas.get(&job.team));
        let is_low_cost_only = spec.priority == Priority::Low
            && !job.is_starved(now)
            && !self.must_start_now(job, now);
        Some(PlacementUnit {
            tasks,
            is_suspect,
            is_first_low_priority_start,
            is_guaranteed,
            needs_image: self.fetch_is_too_slow(job, spec, is_guaranteed),
            is_low_cost_only,
        })
    }

    /// True if fetching a job's image takes longer than its start objective allows. Always true
    /// for a service that has run.
    fn fetch_is_too_slow(&self, job: &Job, spec: &JobSpec, is_guaranteed: bool) -> bool {
        let class_objective_s = self
            .start_objectives_s
            .get(&spec.class)
            .copied()
            .unwrap_or(f64::MAX);
        let objective_s = if is_guaranteed {
            class_objective_s.min(self.guaranteed_start_objective_s)
        } else {
            class_objective_s
        };
        // A restarted replica is down while its image is fetched.
        spec.image_gb * MAX_FETCH_TIME_FACTOR > objective_s * self.fetch_gb_per_s
            || spec.kind == JobKind::Service && job.has_run
    }
}

impl PlacementUnit {
    /// Pending reason of the job if no room is found.
    pub(super) fn no_room_reason(&self) -> &'static str {
        if self.is_suspect {
            REASON_SUSPECT_NO_ROOM
        } else {
            REASON_NO_ROOM
        }
    }

    /// Which attempts may be preempted for this unit.
    pub(super) fn preemption_scope(&self) -> PreemptionScope {
        if self.is_guaranteed {
            PreemptionScope::LowerPriorityOrOverQuota
        } else {
            PreemptionScope::LowerPriority
        }
    }
}

/// Hash of a unit's placement constraints. Units with the same signature are treated as
/// differing only in the resources that a task needs.
pub(super) fn request_signature(job: &Job, spec: &JobSpec, unit: &PlacementUnit) -> u64 {
    let mut hasher = DefaultHasher::new();
    (
        &spec.machine_types,
        &spec.zone,
        spec.allow_spot,
        spec.spread && job.tasks > 1,
        unit.tasks.len(),
        unit.is_suspect,
        unit.is_low_cost_only,
    )
        .hash(&mut hasher);
    (
        &job.avoided_machines,
        &job.unresponsive_machines,
        spec.priority as u8,
        unit.is_guaranteed,
        spec.same_zone && unit.tasks.len() > 1,
    )
        .hash(&mut hasher);
    // Guards against jobs that wait beside fitting room since a job with the same needs found
    // none in the only zones that its attempts leave to it.
    if let Some(usage) = job.zone_usage(CountedAttempts::All) {
        usage.restricting_zones().hash(&mut hasher);
    }
    hasher.finish()
}
