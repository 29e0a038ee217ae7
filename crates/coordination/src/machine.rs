//! The state of a machine as its shard's owner knows it, and the times that decide what its
//! silence proves.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use crate::incarnation::{Origin, WorkerIncarnation};
use lemonweir_model::constants::{
    HEARTBEAT_TIMEOUT_SLACK_MS, MAX_STORE_OUTAGE_GRACE_MS, QUARANTINE_TRIAL_MS,
    WORKER_RESPONSE_TIMEOUT_MS, WORKER_RETRY_MS,
};
use lemonweir_model::{AttemptId, Resources};
use lemonweir_protocol::peer::ExitCause;
use lemonweir_protocol::worker::TaskPhase;

/// Parts per thousand by which two steady clocks may differ: the 0.05 % of the protocol page,
/// rounded up to 1, for each of the two, since both may be off.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 2;
/// ms added to a lease before it counts as expired: timers fire a few ms late, and the reply
/// that renewed the lease took time to be written.
pub const LEASE_MARGIN_MS: u64 = 700;
/// Images remembered per machine at most; a worker keeps its most recently used ones.
const IMAGES_PER_MACHINE_MAX: usize = 24;
/// Failed quarantine trials after which an idle machine is released even without evidence
/// that its jobs run elsewhere.
const QUARANTINE_TRIALS_MAX: u32 = 2;

/// Settings from which an owner computes when a lease must have expired.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Duration of a worker's lease, ms.
    pub lease_ms: u64,
    /// Time between heartbeats, ms.
    pub heartbeat_interval_ms: u64,
}

impl Timing {
    /// ms after the owner's last reply after which a lease must have expired, even if the two
    /// clocks drift apart by [`CLOCK_DRIFT_PER_MILLE`].
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * CLOCK_DRIFT_PER_MILLE / 1000 + LEASE_MARGIN_MS
    }

    /// ms between two heartbeats above which the first counts as unanswered. A worker that
    /// gets a reply sends its next heartbeat within an interval and a quarter; one that gets
    /// none waits for its timeout and then tries the next controller. The limit lies midway
    /// between the two, and at least [`HEARTBEAT_TIMEOUT_SLACK_MS`] above the former.
    pub(crate) fn unanswered_after_ms(&self) -> u64 {
        let regular = self.heartbeat_interval_ms + self.heartbeat_interval_ms / 4;
        ((regular + WORKER_RESPONSE_TIMEOUT_MS + WORKER_RETRY_MS) / 2)
            .max(regular + HEARTBEAT_TIMEOUT_SLACK_MS)
    }

    /// ms after acquiring a shard after which every lease that an earlier owner could renew
    /// must have expired: the last reading of the store that showed the earlier owner as the
    /// leader began before the shard was acquired, that owner replied for at most
    /// [`MAX_STORE_OUTAGE_GRACE_MS`] after that reading, and a lease runs from a heartbeat
    /// that was sent before its reply.
    pub fn inherited_lease_expiry_ms(&self) -> u64 {
        MAX_STORE_OUTAGE_GRACE_MS
            + MAX_STORE_OUTAGE_GRACE_MS * CLOCK_DRIFT_PER_MILLE / 1000
            + self.lease_expiry_ms()
    }
}

/// How a machine's heartbeats are relayed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    /// Number of the controller that relayed the newest heartbeat.
    pub(super) peer: u16,
    /// Since when all heartbeats have been relayed, ms.
    pub(super) since: u64,
}

/// A task as the newest heartbeat of its machine reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportedTask {
    pub(super) phase: TaskPhase,
    /// Why it exited; `None` unless `phase` is [`TaskPhase::Exited`].
    pub(super) cause: Option<ExitCause>,
}

/// The quarantine of a machine. After a wait, a single attempt is placed on it as a trial,
/// to show whether the machine works again.
#[derive(Debug)]
pub(super) struct Quarantine {
    /// When the next trial may begin, ms.
    pub(super) trial_at: u64,
    /// Number of trials that failed by the machine's own fault.
    pub(super) failed_trials: u32,
    /// The wait is over and the next trial may begin.
    pub(super) trial_due: bool,
    /// The attempt that serves as the trial.
    pub(super) trial_attempt: Option<AttemptId>,
    /// The machine is proven to be at fault: the jobs that failed on it run elsewhere.
    pub(super) confirmed: bool,
}

impl Quarantine {
    /// Starts a quarantine at `now`.
    pub(super) fn new(confirmed: bool, now: u64) -> Self {
        Self {
            trial_at: now + QUARANTINE_TRIAL_MS,
            failed_trials: 0,
            trial_due: false,
            trial_attempt: None,
            confirmed,
        }
    }

    /// True if an attempt may be placed on the machine as its trial.
    fn accepts_trial(&self) -> bool {
        self.trial_due && self.trial_attempt.is_none()
    }

    /// Records a trial that failed by the machine's own fault, and doubles the wait before
    /// the next.
    pub(super) fn record_failed_trial(&mut self, now: u64) {
        self.failed_trials += 1;
        self.trial_due = false;
        self.trial_at = now + (QUARANTINE_TRIAL_MS << self.failed_trials.min(10));
    }

    /// True if the machine is to be released once it is idle.
    pub(super) fn is_unrecoverable(&self) -> bool {
        self.confirmed || self.failed_trials >= QUARANTINE_TRIALS_MAX
    }
}

/// A machine of the owner's shard. All times are ms of the steady clock.
#[derive(Debug)]
pub(super) struct Machine {
    /// Where the worker accepts calls; `None`: it has reported no valid address.
    pub(super) address: Option<SocketAddr>,
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) capacity: Resources,
    /// Which of the worker's messages are current, and which replies and calls have reached it.
    pub(super) incarnation: WorkerIncarnation,
    /// Sequence number of the heartbeat whose reply carried launches; cleared by a later
    /// heartbeat.
    pub(super) launches_in_response_to: Option<u64>,
    /// When it was last called so that it sends a heartbeat, ms.
    pub(super) woken_at: Option<u64>,
    /// A `/commands` call is in progress.
    pub(super) call_in_progress: bool,
    /// No call is made before this time.
    pub(super) next_call_at: u64,
    /// The call in progress was made while replies did not reach the machine.
    pub(super) unreachable_call: bool,
    /// When its last current status arrived, by heartbeat or in the answer to a call.
    pub(super) last_heartbeat_at: Option<u64>,
    /// How its newest heartbeat was relayed; `None`: it came directly.
    pub(super) relay: Option<Relay>,
    /// Sessions up to this one have ended, since their lease must have expired.
    pub(super) expired_session: u64,
    /// Tasks in the newest status; none after its lease has expired.
    pub(super) tasks: BTreeMap<AttemptId, ReportedTask>,
    /// Images that it holds with their sizes in MB, most recently used first.
    pub(super) images: VecDeque<(String, u64)>,
    pub(super) termination_notice: bool,
    /// Since when this owner has known from a record that the machine ran before it sent this
    /// owner a heartbeat: an attempt on it, a record of its images, or the provider's inventory.
    pub(super) recorded_running_at: Option<u64>,
    /// No heartbeat for longer than usual: nothing is placed on it.
    pub(super) silent: bool,
    /// It is a scale-in candidate: nothing is placed on it, and it is released if still idle.
    pub(super) scale_in_pending: bool,
    pub(super) quarantine: Option<Quarantine>,
    /// A release request that names it has been sent and not answered.
    pub(super) release_in_progress: bool,
    /// It is to be released; kept until the provider confirms that.
    pub(super) release_requested: bool,
    /// Shard of the placer that had the machine provisioned.
    pub(super) provisioned_by: Option<u16>,
    /// When this owner first learned of it.
    pub(super) known_since: u64,
    /// When it was provisioned, if `announced`; otherwise as `known_since`.
    pub(super) provisioned_at: u64,
    /// Its placer or the provider's inventory reported when it was provisioned.
    pub(super) announced: bool,
    /// Its provisioning timed out: another is requested in its place.
    pub(super) overdue: bool,
    /// Since when it has counted as idle; `None`: it has tasks, or has sent no heartbeat yet.
    pub(super) idle_since: Option<u64>,
}

impl Machine {
    /// Creates a machine that has sent nothing yet. `base_token`: the lowest token of its
    /// owner.
    pub(super) fn new(
        machine_type: &str,
        zone: &str,
        spot: bool,
        capacity: Resources,
        base_token: u64,
        now: u64,
    ) -> Self {
        Self {
            address: None,
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot,
            capacity,
            incarnation: WorkerIncarnation::new(base_token, now),
            launches_in_response_to: None,
            woken_at: None,
            call_in_progress: false,
            next_call_at: 0,
            unreachable_call: false,
            last_heartbeat_at: None,
            relay: None,
            expired_session: 0,
            tasks: BTreeMap::new(),
            images: VecDeque::new(),
            termination_notice: false,
            recorded_running_at: None,
            silent: false,
            scale_in_pending: false,
            quarantine: None,
            release_in_progress: false,
            release_requested: false,
            provisioned_by: None,
            known_since: now,
            provisioned_at: now,
            announced: false,
            overdue: false,
            idle_since: None,
        }
    }

    /// True if new attempts may be placed on it.
    pub(super) fn is_schedulable(&self) -> bool {
        !(self.termination_notice
            || self.silent
            || self.overdue
            || self.scale_in_pending
            || self.release_requested)
            && self.incarnation.is_reachable()
            && self
                .quarantine
                .as_ref()
                .is_none_or(Quarantine::accepts_trial)
    }

    /// True if it is known only from heartbeats that may be old.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.last_heartbeat_at.is_none()
            && self.recorded_running_at.is_none()
            && !self.announced
            && self.incarnation.unverified_heartbeats().is_some()
    }

    /// Discards the state of the worker's earlier incarnation, since the worker numbers its
    /// messages from the start again.
    pub(super) fn reset_after_restart(&mut self, origin: Origin, now: u64) {
        self.incarnation.reset_after_restart(origin, now);
        self.images.clear();
        self.expired_session = 0;
        self.launches_in_response_to = None;
        self.woken_at = None;
        self.termination_notice = false;
    }

    /// Its tasks that have not exited, as last reported.
    pub(super) fn live_tasks(&self) -> impl Iterator<Item = &AttemptId> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.phase != TaskPhase::Exited)
            .map(|(id, _)| id)
    }

    /// ms to fetch an image of the average size of those that the machine holds, at a rate in
    /// GB/s; 0 if it holds none or the rate is unknown.
    pub(super) fn fetch_ms(&self, gb_per_s: Option<f64>) -> u64 {
        let sum: u64 = self.images.iter().map(|(_, mb)| mb).sum();
        let usual = sum as f64 / self.images.len().max(1) as f64;
        gb_per_s
            .filter(|r| *r > 0.0)
            .map_or(0, |r| (usual / r) as u64)
    }

    /// Records the use of an image. The worker keeps as many of its most recently used images
    /// as fit its cache, and so does this list: a launch on a machine that has dropped the
    /// image waits for a fetch.
    pub(super) fn remember_image(&mut self, image: &str, mb: u64, cache_mb: u64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_front((image.to_owned(), mb));
        let mut sum = 0;
        self.images.retain(|(_, mb)| {
            sum += mb;
            sum <= cache_mb
        });
        self.images.truncate(IMAGES_PER_MACHINE_MAX);
    }

    /// Removes an image that the machine does not hold after all, since a task there waits for
    /// its fetch. True if it was listed. A wrong entry would attract one launch after the other
    /// to a machine where each waits for a fetch.
    pub(super) fn forget_image(&mut self, image: &str) -> bool {
        let before = self.images.len();
        self.images.retain(|(name, _)| name != image);
        self.images.len() < before
    }

    /// True if the lease must have expired since the owner's last reply.
    ///
    /// Only a reading of the store that began after the lease's end, at `store_answer_at`,
    /// shows that no other controller replied: while this one was stalled, or refused by the
    /// store, a successor may keep the machine's tasks alive.
    pub(super) fn lease_expired(&self, store_answer_at: u64, timing: &Timing) -> bool {
        self.incarnation
            .lease_from()
            .is_some_and(|at| store_answer_at > at + timing.lease_expiry_ms())
    }
}
