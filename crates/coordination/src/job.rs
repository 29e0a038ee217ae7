//! In-memory state of a job in its placer: which tasks are done, have a live attempt or
//! wait, and which of these changes are written to the store.

mod chunks;
mod gang;
mod tasks;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemonweir_model::constants::{IDLE_WORK_PATIENCE_MS, MAX_TASKS};
use lemonweir_model::{AttemptId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::{AttemptState, PreemptionScope};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::JobRecord;

use crate::gang_admission::GangAdmission;
pub(super) use chunks::TaskChunk;
pub(super) use zones::{CountedAttempts, ZoneRule, ZoneUsage, max_tasks_per_zone};

/// Maximum number of machines that a job avoids; the latest ones are kept.
const MAX_AVOIDED_MACHINES: usize = 8;
/// Base of the exponential backoff after failed attempts, ms; doubled with each failure after
/// the first. The first failure causes a backoff only for a suspect.
const FAILURE_BACKOFF_MS: u64 = 1_000;
/// Upper limit of the backoff, ms.
const MAX_FAILURE_BACKOFF_MS: u64 = 30_000;
/// Upper limit of the backoff of a job suspected of its failures, ms. Each try occupies the
/// resources of a task for seconds, and users mostly cancel such jobs.
const MAX_SUSPECT_BACKOFF_MS: u64 = 120_000;
/// Low bits of [`Job::queue_order`] that hold the time of submission.
const AGE_BITS: u32 = 44;

/// Scheduling order among jobs of one priority, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// A service that has run and has less than half of its replicas left. After a mass loss,
    /// this keeps some services from being fully restored while others have no replicas. New
    /// services are ordered by age instead: placed half by half, they were spread over more
    /// machines, and gangs preempted twice as much to place whole ones.
    ServiceBelowHalf,
    /// A low-priority job of which nothing has begun. Its first unit comes before later units
    /// of other jobs, and the largest job comes first. Otherwise a large array would wait for
    /// its write behind thousands of small jobs.
    NotStarted,
    /// A low-priority job of which less than half has begun. Where capacity is scarce, half of
    /// every job is worth more to users than all of some jobs.
    BelowHalf,
    /// Any other job.
    Normal,
}

/// An attempt that is not proven to have ended.
#[derive(Clone, Debug)]
pub(super) struct LiveAttempt {
    /// Attempt number within the job.
    pub(super) attempt: u32,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    pub(super) zone: String,
    /// Number of the chunk change that first records it.
    pub(super) recorded_by: u64,
    /// State last observed by the owner; `None`: not accepted yet.
    pub(super) state: Option<AttemptState>,
    /// If set, the attempt is to stop and has this many s for a checkpoint.
    pub(super) stop_grace_s: Option<u32>,
    /// When this placer placed it, ms; 0: an earlier leader did.
    pub(super) placed_at: u64,
    /// Which attempts may be preempted for it.
    pub(super) preemption: PreemptionScope,
    /// True if it runs beyond the guaranteed quota of its team.
    pub(super) over_quota: bool,
}

impl LiveAttempt {
    /// True if an earlier leader placed it, and its owner has not published its state yet.
    pub(super) fn is_inherited_unknown(&self) -> bool {
        self.placed_at == 0 && self.state.is_none()
    }
}

/// An attempt that has ended, kept until its end is written.
#[derive(Clone, Debug)]
pub(super) struct EndingAttempt {
    pub(super) id: AttemptId,
    pub(super) machine: MachineId,
    pub(super) shard: u16,
    /// Number of the chunk change that records the end.
    pub(super) recorded_by: u64,
}

/// Position of a job in the placer's queues.
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

/// State of a job in its placer.
pub(super) struct Job {
    /// The job record; `None` until the state cache has it.
    pub(super) record: Option<Arc<JobRecord>>,
    /// Version of the job's key that `record` was read at.
    pub(super) key_version: u64,
    /// The job is done or withdrawn, and its final state is written. Assumed while
    /// `end_unconfirmed`.
    pub(super) ended: bool,
    /// The state cache has not yet shown whether the job has ended.
    pub(super) end_unconfirmed: bool,
    pub(super) team: String,
    /// Resources that one task needs.
    pub(super) need: Resources,
    /// Number of tasks; 0 while the record is unknown.
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
    /// Every task below this one was done or had a live attempt when the cursor passed it.
    placement_cursor: u32,
    /// Tasks below `placement_cursor` that may wait again.
    requeued: BTreeSet<u32>,
    /// Failures since a task was last done. The failure of an attempt that was placed before
    /// the last counted failure is not counted, so attempts placed together count as one.
    pub(super) consecutive_failures: u32,
    /// Time of the last counted failure, ms.
    last_failure_at: u64,
    /// Set if the job is suspected of causing its failures: the number of machines on which
    /// it failed although other jobs had succeeded there; may be 0.
    pub(super) suspect: Option<u32>,
    /// When this placer first learned of the job, ms; 0 if its task record was loaded first.
    first_seen_at: u64,
    /// A task of it has run, or had a live attempt in a loaded task record.
    pub(super) has_run: bool,
    /// A replica was stopped to move to a better machine: its replacement goes to the machine
    /// with the lowest cost, even if the image has to be fetched there.
    pub(super) relocating: bool,
    /// It is not placed before this time, ms; 0: no backoff.
    pub(super) backoff_until: u64,
    /// Machines that it failed on or was moved away from.
    pub(super) avoided_machines: Vec<MachineId>,
    /// Machines that did not respond for the last attempt of a gang; the next attempt avoids
    /// them if it can.
    pub(super) unresponsive_machines: Vec<MachineId>,
    /// Version of the job's key at which a write failed: the key has changed since, and the
    /// state cache will show the change.
    pub(super) conflicting_version: Option<u64>,
    /// Why its tasks wait, as shown to users.
    pub(super) pending_reason: &'static str,
    /// Whether its attempts run beyond the guaranteed quota of their team; `None` if they
    /// differ or if this is unknown.
    pub(super) uniform_over_quota: Option<bool>,
    /// Position in the placer's queues.
    pub(super) queue_position: Option<QueuePosition>,
    /// Attempts in the desired state of the owners, by shard.
    pub(super) published_attempts: Vec<(u16, AttemptId)>,
    /// Admission state of a gang with live members.
    pub(super) admission: Option<GangAdmission>,
}

impl Job {
    /// A job of which only a task record is known; it may have ended.
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
            pending_reason: "",
            uniform_over_quota: None,
            queue_position: None,
            published_attempts: Vec::new(),
            admission: None,
        }
    }

    /// A job that the placer learns of now.
    pub(super) fn first_seen(now: u64) -> Self {
        Self {
            first_seen_at: now,
            ..Self::unconfirmed()
        }
    }

    /// The submitted spec, once known.
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

    /// True if none of its tasks may run any more: it has ended, or will have once no
    /// attempt is left.
    pub(super) fn is_stopping(&self) -> bool {
        self.ended
            || self
                .record
                .as_ref()
                .is_some_and(|record| record.cancel_requested)
    }

    /// The final state that may be written now, if any. A job counts as withdrawn only once
    /// every attempt is proven to have ended; otherwise a user would be told so while a
    /// machine in a partitioned zone still runs the job.
    pub(super) fn writable_end(&self) -> Option<JobPhase> {
        if self.ended || self.record.is_none() || self.record_is_stale() {
            None
        } else if self.is_complete() {
            Some(JobPhase::Done)
        } else {
            (self.is_stopping() && self.live.is_empty()).then_some(JobPhase::Withdrawn)
        }
    }

    /// True if the job's key has changed since `record` was read.
    pub(super) fn record_is_stale(&self) -> bool {
        self.conflicting_version == Some(self.key_version)
    }

    /// True if the job has ended and no attempts or chunks of it are left.
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

/// Scheduling order and waiting time.
impl Job {
    /// The job's priority; low while its spec is unknown, as its attempts are only to be
    /// stopped then.
    pub(super) fn priority(&self) -> Priority {
        self.spec().map_or(Priority::Low, |spec| spec.priority)
    }

    /// Its urgency among jobs of its priority.
    pub(super) fn urgency(&self) -> Urgency {
        let active = || {
            self.live
                .values()
                .filter(|live| live.stop_grace_s.is_none())
                .count() as u32
        };
        if self.has_run && self.is_service() && !self.is_stopping() && 2 * active() < self.tasks {
            Urgency::ServiceBelowHalf
        } else if self.priority() != Priority::Low || self.is_stopping() {
            Urgency::Normal
        } else if !self.has_started() {
            Urgency::NotStarted
        } else if self.is_below_half() {
            Urgency::BelowHalf
        } else {
            Urgency::Normal
        }
    }

    /// Sort key among jobs of its priority and urgency: the time of submission; for
    /// [`Urgency::NotStarted`], the number of tasks first, in descending order.
    pub(super) fn queue_order(&self) -> u64 {
        match self.urgency() {
            Urgency::NotStarted => {
                MAX_TASKS.saturating_sub(u64::from(self.tasks)) << AGE_BITS
                    | self.submitted_at() & ((1 << AGE_BITS) - 1)
            }
            _ => self.submitted_at(),
        }
    }

    /// Time of day of its submission, ms; 0 while its record is unknown.
    pub(super) fn submitted_at(&self) -> u64 {
        self.record
            .as_ref()
            .map_or(0, |record| record.submitted_at_ms)
    }

    /// ms since its submission by the time of day, or since this placer learned of it,
    /// whichever is longer. A failover does not restart the wait.
    pub(super) fn waited_ms(&self, now: u64, time_of_day_ms: u64) -> u64 {
        let since_submission = self.record.as_ref().map_or(0, |record| {
            time_of_day_ms.saturating_sub(record.submitted_at_ms)
        });
        since_submission.max(now.saturating_sub(self.first_seen_at))
    }

    /// True if it has waited so long, with less than half of it begun, that it may use more
    /// expensive machines than low-priority work usually does.
    pub(super) fn is_starved(&self, now: u64) -> bool {
        self.is_below_half() && now >= self.first_seen_at + IDLE_WORK_PATIENCE_MS
    }

    /// True if some task of it can be placed now.
    pub(super) fn is_placeable(&self) -> bool {
        // A suspect has one attempt at a time, so that a broken job does not fail with all its
        // tasks every time.
        let one_at_a_time = self.is_kind(JobKind::Gang) || self.suspect.is_some();
        !self.is_stopping() && self.waiting_count() > 0 && (self.live.is_empty() || !one_at_a_time)
    }
}

/// Failures and avoided machines.
impl Job {
    /// Records the failure of an attempt that was placed at `placed_at`. Returns how long to
    /// back off before the next one, ms.
    pub(super) fn record_failure(&mut self, placed_at: u64, now: u64) -> u64 {
        if self.consecutive_failures == 0 || placed_at >= self.last_failure_at {
            self.consecutive_failures += 1;
            self.last_failure_at = now;
        }
        let max_backoff_ms = match (self.suspect, self.consecutive_failures) {
            (Some(_), _) => MAX_SUSPECT_BACKOFF_MS,
            // A single failure is mostly the machine's fault.
            (None, 1) => return 0,
            (None, _) => MAX_FAILURE_BACKOFF_MS,
        };
        (FAILURE_BACKOFF_MS << (self.consecutive_failures - 1).min(10)).min(max_backoff_ms)
    }

    /// Avoids a machine from now on. Beyond [`MAX_AVOIDED_MACHINES`], the oldest one is no
    /// longer avoided.
    pub(super) fn avoid_machine(&mut self, machine: &MachineId) {
        if !self.avoided_machines.contains(machine) {
            self.avoided_machines.push(machine.clone());
        }
        if self.avoided_machines.len() > MAX_AVOIDED_MACHINES {
            self.avoided_machines.remove(0);
        }
    }

    /// Stops all live attempts, with time for a checkpoint.
    pub(super) fn stop_all(&mut self) {
        let grace_s = self.spec().map_or(0, JobSpec::stop_grace_s);
        for live in self.live.values_mut() {
            live.stop_grace_s.get_or_insert(grace_s);
        }
    }
}
