//! A machine as the owner of its shard knows it, and the times that bound what follows
//! from its silence.

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

/// Parts per thousand by which two steady clocks may differ: twice the 0.05 % of the
/// protocol page, since both sides may be off, rounded up.
pub const CLOCK_DRIFT_PER_MILLE: u64 = 2;
/// ms added to a lease before it counts as expired: timers fire late by a few ms, and the
/// reply that renewed the lease took time to be written.
pub const LEASE_MARGIN_MS: u64 = 700;
/// Images remembered of each machine; a worker keeps its most recently used ones.
const IMAGES_PER_MACHINE: usize = 24;
/// Quarantine trials that must fail for an idle machine to be released though nothing says
/// that its jobs run elsewhere.
const QUARANTINE_TRIALS_MAX: u32 = 2;

/// Times that bound the owner's proofs, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Lease of a worker, ms.
    pub lease_ms: u64,
    /// Time between heartbeats, ms.
    pub heartbeat_interval_ms: u64,
}

impl Timing {
    /// ms after our last reply from which on a lease has surely expired, whatever the drift
    /// of the clocks.
    pub fn lease_expiry_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * CLOCK_DRIFT_PER_MILLE / 1000 + LEASE_MARGIN_MS
    }

    /// ms between two heartbeats from which on the first got no reply: a worker that gets
    /// none waits for it and then tries the next controller, one that does sends the next
    /// heartbeat within an interval and a quarter. Between the two, if they lie apart.
    pub(crate) fn unanswered_after_ms(&self) -> u64 {
        let regular = self.heartbeat_interval_ms + self.heartbeat_interval_ms / 4;
        ((regular + WORKER_RESPONSE_TIMEOUT_MS + WORKER_RETRY_MS) / 2)
            .max(regular + HEARTBEAT_TIMEOUT_SLACK_MS)
    }

    /// ms after acquiring a shard from which on every lease that an earlier owner could
    /// renew has surely expired: the last reading of the store that showed that one as the
    /// leader began before the shard was acquired, it replied for [`MAX_STORE_OUTAGE_GRACE_MS`] after
    /// that at most, and a lease runs from a heartbeat that was sent before its reply.
    pub fn inherited_lease_expiry_ms(&self) -> u64 {
        MAX_STORE_OUTAGE_GRACE_MS
            + MAX_STORE_OUTAGE_GRACE_MS * CLOCK_DRIFT_PER_MILLE / 1000
            + self.lease_expiry_ms()
    }
}

/// How the heartbeats of a machine are relayed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    /// Number of the controller that relayed the newest one.
    pub(super) peer: u16,
    /// Since when all have been relayed, ms.
    pub(super) since: u64,
}

/// A task in the newest heartbeat of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReportedTask {
    pub(super) phase: TaskPhase,
    pub(super) cause: Option<ExitCause>,
}

/// The quarantine of a machine: after a while one attempt, its trial, shows whether it runs
/// again.
#[derive(Debug)]
pub(super) struct Quarantine {
    /// When the next trial may begin, ms.
    pub(super) trial_at: u64,
    /// Trials that failed by the machine's own fault.
    pub(super) failed_trials: u32,
    /// A trial may begin.
    pub(super) trial_due: bool,
    /// The attempt that is the trial.
    pub(super) trial_attempt: Option<AttemptId>,
    /// The machine is surely at fault: the jobs that failed on it run elsewhere.
    pub(super) confirmed: bool,
}

impl Quarantine {
    /// Quarantined from now on.
    pub(super) fn new(confirmed: bool, now: u64) -> Self {
        Self {
            trial_at: now + QUARANTINE_TRIAL_MS,
            failed_trials: 0,
            trial_due: false,
            trial_attempt: None,
            confirmed,
        }
    }

    /// It accepts the one attempt that is its trial.
    fn accepts_trial(&self) -> bool {
        self.trial_due && self.trial_attempt.is_none()
    }

    /// Its trial failed by its own fault: the next one comes after twice the time.
    pub(super) fn record_failed_trial(&mut self, now: u64) {
        self.failed_trials += 1;
        self.trial_due = false;
        self.trial_at = now + (QUARANTINE_TRIAL_MS << self.failed_trials.min(10));
    }

    /// It is released once idle.
    pub(super) fn is_unrecoverable(&self) -> bool {
        self.confirmed || self.failed_trials >= QUARANTINE_TRIALS_MAX
    }
}

/// A machine of this shard. All times are ms of the steady clock.
#[derive(Debug)]
pub(super) struct Machine {
    pub(super) address: Option<SocketAddr>,
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) capacity: Resources,
    /// What of its messages is current, and what has reached it.
    pub(super) incarnation: WorkerIncarnation,
    /// Token of the newest call whose outcome is unknown.
    pub(super) unresolved_call_token: Option<u64>,
    /// When the last call with launches and an unknown outcome was given up, until what it
    /// may have launched is over or known.
    pub(super) unresolved_launch_at: Option<u64>,
    /// Number of the heartbeat whose reply carried launches; resolved by the next one.
    pub(super) launches_in_response_to: Option<u64>,
    /// A `/commands` call is in progress.
    pub(super) call_in_progress: bool,
    pub(super) next_call_at: u64,
    /// That call was made while no reply reached the machine.
    pub(super) unreachable_call: bool,
    /// When its last current status came, by heartbeat or as the answer to a call.
    pub(super) last_heartbeat_at: Option<u64>,
    /// Set if its newest heartbeat was relayed.
    pub(super) relay: Option<Relay>,
    /// Sessions up to this one have surely ended.
    pub(super) expired_session: u64,
    pub(super) tasks: BTreeMap<AttemptId, ReportedTask>,
    /// Images with their sizes, most recently used first.
    pub(super) images: VecDeque<(String, u64)>,
    pub(super) termination_notice: bool,
    /// Since when something on record says that it runs, though it sent no heartbeat here:
    /// an attempt there, a record of its images, the provider's inventory.
    pub(super) recorded_running_at: Option<u64>,
    /// No heartbeat for longer than usual: nothing is placed there.
    pub(super) silent: bool,
    pub(super) scale_in_pending: bool,
    pub(super) quarantine: Option<Quarantine>,
    pub(super) release_in_progress: bool,
    pub(super) release_requested: bool,
    /// Shard of the placer that requested it.
    pub(super) requested_by: Option<u16>,
    pub(super) known_since: u64,
    pub(super) provisioned_at: u64,
    /// Its placer or the inventory told when it was provisioned.
    pub(super) announced: bool,
    /// Its provisioning timed out: it is not counted on.
    pub(super) overdue: bool,
    pub(super) idle_since: Option<u64>,
}

impl Machine {
    /// `base`: the lowest token of its owner.
    pub(super) fn new(
        kind: &str,
        zone: &str,
        spot: bool,
        capacity: Resources,
        base: u64,
        now: u64,
    ) -> Self {
        Self {
            address: None,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
            capacity,
            incarnation: WorkerIncarnation::new(base, now),
            unresolved_call_token: None,
            unresolved_launch_at: None,
            launches_in_response_to: None,
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
            requested_by: None,
            known_since: now,
            provisioned_at: now,
            announced: false,
            overdue: false,
            idle_since: None,
        }
    }

    /// New attempts may be placed there.
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

    /// It is known only from heartbeats that may be old.
    pub(super) fn is_unconfirmed(&self) -> bool {
        self.last_heartbeat_at.is_none()
            && self.recorded_running_at.is_none()
            && !self.announced
            && self.incarnation.unverified_heartbeats().is_some()
    }

    /// The worker counts its messages from the start again: what was known of its
    /// earlier incarnation no longer holds.
    pub(super) fn reset_after_restart(&mut self, origin: Origin, now: u64) {
        self.incarnation.reset_after_restart(origin, now);
        self.images.clear();
        self.expired_session = 0;
        self.launches_in_response_to = None;
        self.termination_notice = false;
    }

    /// No command that could launch something is of unknown outcome.
    pub(super) fn calls_resolved(&self) -> bool {
        self.unresolved_call_token.is_none()
            && self.launches_in_response_to.is_none()
            && !self.call_in_progress
    }

    /// ms that an image of the usual size takes to fetch on this machine.
    pub(super) fn fetch_ms(&self, gb_per_s: Option<f64>) -> u64 {
        let sum: u64 = self.images.iter().map(|(_, mb)| mb).sum();
        let usual = sum as f64 / self.images.len().max(1) as f64;
        gb_per_s
            .filter(|r| *r > 0.0)
            .map_or(0, |r| (usual / r) as u64)
    }

    /// Notes the use of an image. The worker keeps the most recently used ones as far as
    /// its cache goes; so does this record, since a launch on a machine that has dropped
    /// the image waits for a fetch.
    pub(super) fn remember_image(&mut self, image: &str, mb: u64, cache_mb: u64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push_front((image.to_owned(), mb));
        let mut sum = 0;
        self.images.retain(|(_, mb)| {
            sum += mb;
            sum <= cache_mb
        });
        self.images.truncate(IMAGES_PER_MACHINE);
    }

    /// Forgets an image. Guards against a wrong entry that draws one launch after the other
    /// to a machine where each waits for a fetch: a task that waits for its image shows
    /// that it is not there. True if it was noted.
    pub(super) fn forget_image(&mut self, image: &str) -> bool {
        let before = self.images.len();
        self.images.retain(|(name, _)| name != image);
        self.images.len() < before
    }

    /// True if the lease has surely expired since our last reply. Guards against a
    /// controller that was stalled, or that the store refuses, while its successor keeps
    /// the machine's tasks alive: only a reading of the store that began after the lease's
    /// end, at `store_answer_at`, shows that nobody else replied.
    pub(super) fn lease_expired(&self, store_answer_at: u64, timing: &Timing) -> bool {
        self.incarnation
            .lease_from()
            .is_some_and(|at| store_answer_at > at + timing.lease_expiry_ms())
    }
}
