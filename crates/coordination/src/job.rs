//! A job as its placer keeps it: which tasks are done, which have a live
//! attempt, which wait, and what of that is written.

mod chunks;
mod gang;
mod tasks;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemonweir_model::constants::{IDLE_WORK_PATIENCE_MS, MAX_TASKS};
use lemonweir_model::{AttemptId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::{AttemptState, PreemptionScope};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::JobRecord;

use crate::gang_admission::GangAdmission;
pub(super) use chunks::TaskChunk;

/// Machines that a job avoids at most, those where it failed last.
const MAX_AVOIDED_MACHINES: usize = 8;
/// ms that a job backs off after its second failed attempt, doubled with each more.
const FAILURE_BACKOFF_MS: u64 = 1_000;
/// ms that the doubling stops at.
const MAX_FAILURE_BACKOFF_MS: u64 = 30_000;
/// ms that it stops at for a suspect: each try costs a task's room for seconds,
/// and its user mostly withdraws it.
const MAX_SUSPECT_BACKOFF_MS: u64 = 120_000;
/// Low bits of [`Job::queue_order`] that hold the time of submission.
const AGE_BITS: u32 = 44;

/// What comes first among jobs of one priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A service that ran and has less than half of its replicas left. Guards
    /// against a mass loss after which some services are whole while others
    /// serve nobody. New services come by age: taken in halves, they came to
    /// lie on more machines, and gangs preempted twice as much for whole ones.
    ServiceBelowHalf,
    /// Low-priority work of which nothing has begun: its first unit comes before all
    /// later ones, the largest job first. Guards against a large array that waits
    /// behind thousands of small jobs for its turn to be written.
    NotBegun,
    /// Low-priority work of which less than half has begun: where room for it is
    /// scarce, half of each is more to its users than all of some.
    BelowHalf,
    /// Any other job.
    Normal,
}

/// An attempt not proven to have ended.
#[derive(Clone, Debug)]
pub(super) struct LiveAttempt {
    /// Its number among the job's attempts.
    pub(super) attempt: u32,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    pub(super) zone: String,
    /// Change of its chunk that first holds it.
    pub(super) recorded_by: u64,
    /// Its state as the owner last observed it; none: not accepted yet.
    pub(super) state: Option<AttemptState>,
    /// It is to stop, with so many s for a checkpoint.
    pub(super) stop_grace_s: Option<u32>,
    /// When this placer placed it, ms; 0: an earlier leader did.
    pub(super) placed_at: u64,
    /// Who may be preempted for it.
    pub(super) preemption: PreemptionScope,
    /// Its team runs it beyond its guaranteed quota.
    pub(super) over_quota: bool,
}

/// An attempt that has ended, kept until that is written.
#[derive(Clone, Debug)]
pub(super) struct EndingAttempt {
    pub(super) id: AttemptId,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    /// Change of its chunk that first records the end.
    pub(super) recorded_by: u64,
}

/// Where a job is in the placer's queues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct QueuePosition {
    pub(super) team: String,
    pub(super) priority: Priority,
    pub(super) urgency: Urgency,
    /// [`Job::queue_order`].
    pub(super) order: u64,
    /// Time of day of the submission, ms.
    pub(super) submitted_at: u64,
}

/// A job as its placer keeps it.
pub(super) struct Job {
    /// What its user submitted; none until the followed keys show it.
    pub(super) record: Option<Arc<JobRecord>>,
    /// Version of the job's key in `record`.
    pub(super) key_version: u64,
    /// The job is done or withdrawn, and that is written.
    pub(super) ended: bool,
    /// The followed keys have not said yet whether it has.
    pub(super) end_unconfirmed: bool,
    pub(super) team: String,
    /// What one task needs.
    pub(super) need: Resources,
    pub(super) tasks: u32,
    /// Number of the next attempt.
    pub(super) next_attempt: u32,
    done: Vec<bool>,
    pub(super) done_count: u32,
    /// Live attempts by task.
    pub(super) live: BTreeMap<u32, LiveAttempt>,
    /// Attempts whose end is not written yet.
    pub(super) ending: Vec<EndingAttempt>,
    /// The chunks of its task record, by index.
    pub(super) chunks: BTreeMap<u32, TaskChunk>,
    /// No task from here on was ever placed by this placer.
    placement_cursor: u32,
    /// Tasks below it that wait again.
    requeued: BTreeSet<u32>,
    /// Tries that failed since the last success; what was placed together is one.
    pub(super) consecutive_failures: u32,
    /// When the last one did, ms.
    last_failure_at: u64,
    /// It is suspected of its failures: it failed on so many machines that run other
    /// jobs.
    pub(super) suspect: Option<u32>,
    /// When this placer first learned of it, ms.
    first_seen_at: u64,
    /// Some task of it has run.
    pub(super) has_run: bool,
    /// A replica of it was stopped to go to a better place: the next one goes where
    /// the trade says, though it waits for its image there.
    pub(super) relocating: bool,
    /// It is not placed before this time, ms; 0: it may be.
    pub(super) backoff_until: u64,
    /// Machines that it failed on or left.
    pub(super) avoided_machines: Vec<MachineId>,
    /// Machines that did not answer for the last attempt of a gang: the next one
    /// does without them if it can.
    pub(super) unresponsive_machines: Vec<MachineId>,
    /// Version of the job's key with which a write of it failed: the key has
    /// changed since, and the copy will show it.
    pub(super) conflicting_version: Option<u64>,
    /// When it may be written again after the store rejected its record, ms.
    pub(super) write_backoff_until: u64,
    /// Why its tasks wait, as users read it.
    pub(super) pending_reason: &'static str,
    /// Whether all its attempts are within their team's guaranteed quota or beyond it,
    /// if they are alike.
    pub(super) uniform_over_quota: Option<bool>,
    /// Where it is in the placer's queues.
    pub(super) queue_position: Option<QueuePosition>,
    /// Attempts in the desired state of the owners, by shard.
    pub(super) published_attempts: Vec<(u16, AttemptId)>,
    /// Admission of a gang with live members.
    pub(super) admission: Option<GangAdmission>,
}

impl Job {
    /// A job of which only a task record is known: it may have ended.
    pub(super) fn unconfirmed() -> Self {
        Self {
            record: None,
            key_version: 0,
            ended: true,
            end_unconfirmed: true,
            team: String::new(),
            need: Resources::default(),
            tasks: 0,
            next_attempt: 1,
            done: Vec::new(),
            done_count: 0,
            live: BTreeMap::new(),
            ending: Vec::new(),
            chunks: BTreeMap::new(),
            placement_cursor: 0,
            requeued: BTreeSet::new(),
            consecutive_failures: 0,
            last_failure_at: 0,
            suspect: None,
            first_seen_at: 0,
            has_run: false,
            relocating: false,
            backoff_until: 0,
            avoided_machines: Vec::new(),
            unresponsive_machines: Vec::new(),
            conflicting_version: None,
            write_backoff_until: 0,
            pending_reason: "",
            uniform_over_quota: None,
            queue_position: None,
            published_attempts: Vec::new(),
            admission: None,
        }
    }

    /// A job that a placer first learns of now.
    pub(super) fn first_seen(now: u64) -> Self {
        Self {
            first_seen_at: now,
            ..Self::unconfirmed()
        }
    }

    /// What its user submitted, once known.
    pub(super) fn spec(&self) -> Option<&JobSpec> {
        self.record.as_ref().map(|record| &record.spec)
    }

    /// True if it is known to be of this kind.
    pub(super) fn is_kind(&self, kind: JobKind) -> bool {
        self.spec().is_some_and(|spec| spec.kind == kind)
    }

    /// True if its tasks are replicas that run until it is withdrawn.
    pub(super) fn is_service(&self) -> bool {
        self.is_kind(JobKind::Service)
    }

    /// Nothing of it shall run any more: it has ended, or will have once no attempt
    /// is left.
    pub(super) fn is_stopping(&self) -> bool {
        self.ended
            || self
                .record
                .as_ref()
                .is_some_and(|record| record.cancel_requested)
    }

    /// The end that may be written now. Guards against telling a user that a
    /// job is withdrawn while a machine in a partitioned zone still runs it: every
    /// attempt must be proven to have ended first.
    pub(super) fn writable_end(&self) -> Option<JobPhase> {
        if self.ended || self.record.is_none() || self.copy_is_stale() {
            None
        } else if self.is_complete() {
            Some(JobPhase::Done)
        } else {
            (self.is_stopping() && self.live.is_empty()).then_some(JobPhase::Withdrawn)
        }
    }

    /// True if the job's key has changed since the copy that this is made of.
    pub(super) fn copy_is_stale(&self) -> bool {
        self.conflicting_version == Some(self.key_version)
    }

    /// True if nothing of it is left anywhere.
    pub(super) fn is_removable(&self) -> bool {
        self.ended
            && self.live.is_empty()
            && self.ending.is_empty()
            && self
                .chunks
                .values()
                .all(|chunk| chunk.version == 0 && !chunk.write_indeterminate)
    }
}

/// Order among the jobs of a team.
impl Job {
    /// Priority; a job that has ended only takes room for its stops.
    pub(super) fn priority(&self) -> Priority {
        self.spec().map_or(Priority::Low, |spec| spec.priority)
    }

    /// Whether it goes before others of its priority.
    pub(super) fn urgency(&self) -> Urgency {
        let staying = || {
            self.live
                .values()
                .filter(|live| live.stop_grace_s.is_none())
                .count() as u32
        };
        if self.has_run && self.is_service() && !self.is_stopping() && 2 * staying() < self.tasks {
            Urgency::ServiceBelowHalf
        } else if self.priority() != Priority::Low || self.is_stopping() {
            Urgency::Normal
        } else if !self.has_begun() {
            Urgency::NotBegun
        } else if self.is_below_half() {
            Urgency::BelowHalf
        } else {
            Urgency::Normal
        }
    }

    /// Its order among jobs of its priority and urgency: age; of those that have not
    /// begun the number of tasks first.
    pub(super) fn queue_order(&self) -> u64 {
        match self.urgency() {
            Urgency::NotBegun => {
                MAX_TASKS.saturating_sub(u64::from(self.tasks)) << AGE_BITS
                    | self.submitted_at() & ((1 << AGE_BITS) - 1)
            }
            _ => self.submitted_at(),
        }
    }

    /// Time of day of its submission, ms.
    pub(super) fn submitted_at(&self) -> u64 {
        self.record
            .as_ref()
            .map_or(0, |record| record.submitted_at_ms)
    }

    /// ms since it was submitted, by the time of day, or since this placer knows of
    /// it: a failover does not begin its wait anew.
    pub(super) fn waited_ms(&self, now: u64, time_of_day_ms: u64) -> u64 {
        let since_submission = self.record.as_ref().map_or(0, |record| {
            time_of_day_ms.saturating_sub(record.submitted_at_ms)
        });
        since_submission.max(now.saturating_sub(self.first_seen_at))
    }

    /// True if it has waited for so long, with less than half of it begun, that it
    /// may cost more than low-priority work usually does.
    pub(super) fn is_starved(&self, now: u64) -> bool {
        self.is_below_half() && now >= self.first_seen_at + IDLE_WORK_PATIENCE_MS
    }

    /// True if some task of it can be placed now.
    pub(super) fn is_placeable(&self) -> bool {
        // Guards against a job with a mistake that fails with all its tasks each
        // time: a suspect has one try at a time.
        let one_try = self.is_kind(JobKind::Gang) || self.suspect.is_some();
        !self.is_stopping() && self.waiting_count() > 0 && (self.live.is_empty() || !one_try)
    }
}

/// Failures, and machines that it avoids.
impl Job {
    /// A try failed now, of what was placed at `placed_at`: how long to back off before
    /// the next one, ms.
    pub(super) fn record_failure(&mut self, placed_at: u64, now: u64) -> u64 {
        if self.consecutive_failures == 0 || placed_at >= self.last_failure_at {
            self.consecutive_failures += 1;
            self.last_failure_at = now;
        }
        let max_backoff_ms = match (self.suspect, self.consecutive_failures) {
            (Some(_), _) => MAX_SUSPECT_BACKOFF_MS,
            // One failure is mostly the machine's fault.
            (None, 1) => return 0,
            (None, _) => MAX_FAILURE_BACKOFF_MS,
        };
        (FAILURE_BACKOFF_MS << (self.consecutive_failures - 1).min(10)).min(max_backoff_ms)
    }

    /// Leaves a machine out from now on; the oldest of too many may come again.
    pub(super) fn avoid_machine(&mut self, machine: &MachineId) {
        if !self.avoided_machines.contains(machine) {
            self.avoided_machines.push(machine.clone());
        }
        if self.avoided_machines.len() > MAX_AVOIDED_MACHINES {
            self.avoided_machines.remove(0);
        }
    }

    /// Stops all of it, with time for a checkpoint.
    pub(super) fn stop_all(&mut self) {
        let grace_s = self.spec().map_or(0, JobSpec::stop_grace_s);
        for live in self.live.values_mut() {
            live.stop_grace_s.get_or_insert(grace_s);
        }
    }
}
