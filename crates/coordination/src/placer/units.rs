//! What of a job is placed next, a task or a whole gang, and whether its team may.

use std::hash::{DefaultHasher, Hash, Hasher};

use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_model::{JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::peer::PreemptionScope;

use super::Placer;
use super::placement_pass::PlacementPass;
use super::quotas::within_quota;
use crate::job::Job;

/// How much longer than usual a fetch may well take (protocol page: the rate is
/// given or take a third).
pub(super) const FETCH_SPREAD: f64 = 1.33;

/// Why a job waits that lacks room.
pub(super) const REASON_NO_ROOM: &str = "no machine has room; more are asked for";
/// Why a suspect waits that lacks room.
const REASON_NO_TRIAL_ROOM: &str =
    "its tasks failed; no machine that runs others has room for another try";
/// Why a job waits whose team uses all that it may.
pub(super) const REASON_AT_LIMIT: &str = "its team is at its limit";
/// Why low-priority work waits that has room.
pub(super) const REASON_LOW_PRIORITY_TURN: &str =
    "idle work; its starts wait for their turn to be written to the store";

/// What is placed together, and what its search depends on.
pub(super) struct PlacementUnit {
    pub(super) tasks: Vec<u32>,
    /// The job is suspected of its failures: it gets one try, and preempts nobody.
    pub(super) is_suspect: bool,
    /// It is the first start of its chunk, of low-priority work.
    pub(super) is_first_low_priority_start: bool,
    /// Its team stays within its guaranteed quota with it.
    pub(super) is_guaranteed: bool,
    /// A fetch of its image takes longer than its start may.
    pub(super) needs_image: bool,
    /// It only takes room that costs little.
    pub(super) is_frugal: bool,
}

impl Placer {
    /// What of a job may be placed next; notes why if nothing may.
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
        let first = job.next_waiting_task()?;
        // Guards against low-priority work that takes up room long before it is its
        // turn to be written, and against a pass that places 100,000 tasks.
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
        let is_frugal = spec.priority == Priority::Low
            && !job.is_starved(now)
            && !self.must_begin_now(job, now);
        Some(PlacementUnit {
            tasks,
            is_suspect,
            is_first_low_priority_start,
            is_guaranteed,
            needs_image: self.fetch_is_too_slow(job, spec, is_guaranteed),
            is_frugal,
        })
    }

    /// True if a fetch of a job's image takes longer than its start should.
    fn fetch_is_too_slow(&self, job: &Job, spec: &JobSpec, is_guaranteed: bool) -> bool {
        let by_class_s = self
            .start_objectives_s
            .get(&spec.class)
            .copied()
            .unwrap_or(f64::MAX);
        let objective_s = if is_guaranteed {
            by_class_s.min(self.guaranteed_start_objective_s)
        } else {
            by_class_s
        };
        // A replica that was up is down while it fetches.
        spec.image_gb * FETCH_SPREAD > objective_s * self.fetch_gb_per_s
            || spec.kind == JobKind::Service && job.has_run
    }
}

impl PlacementUnit {
    /// Why its job waits if no room is found.
    pub(super) fn no_room_reason(&self) -> &'static str {
        if self.is_suspect {
            REASON_NO_TRIAL_ROOM
        } else {
            REASON_NO_ROOM
        }
    }

    /// Who may be preempted for it.
    pub(super) fn preemption_scope(&self) -> PreemptionScope {
        if self.is_guaranteed {
            PreemptionScope::LowerPriorityOrOverQuota
        } else {
            PreemptionScope::LowerPriority
        }
    }
}

/// Two units with the same signature ask the same way, for other needs perhaps.
pub(super) fn request_signature(job: &Job, spec: &JobSpec, unit: &PlacementUnit) -> u64 {
    let mut hasher = DefaultHasher::new();
    (
        &spec.machine_types,
        &spec.zone,
        spec.allow_spot,
        spec.spread && job.tasks > 1,
        unit.tasks.len(),
        unit.is_suspect,
        unit.is_frugal,
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
    hasher.finish()
}
