//! The owner of a shard: the part of the shard's leader that manages its machines, tracks
//! the attempts on them, and proves that attempts have ended.
//!
//! An attempt that was or may have been launched counts as ended only when one of these
//! holds:
//! * the worker's newest heartbeat reports that it exited;
//! * it is missing from a heartbeat that the worker sent after it had seen this owner's
//!   token, and no launch command for it can still arrive;
//! * the worker is in a later session than the one that the attempt was launched in;
//! * the provider has confirmed the release of its machine;
//! * its machine never sent a heartbeat to this owner, and every lease that earlier owners
//!   could renew must have expired;
//! * the worker's lease must have expired since this owner last replied to it, and no later
//!   owner can have renewed it.

mod attempt;
mod catalog;
mod commands;
mod heartbeat;
mod held_replies;
mod image_pages;
mod inventory;
mod last_copies;
mod maintenance;
mod orphaned_grants;
mod outcomes;
mod preemption;
mod proof;
mod published_state;
mod reconciliation;
mod scale_in;
mod summary;
mod worker_calls;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use tracing::{info, warn};

use crate::boot_time::BootTimes;
use crate::change_log::ChangeLog;
use crate::effects::HeartbeatId;
use crate::fault_attribution::{FaultAttribution, FaultVerdict};
use crate::incarnation::{Freshness, MessageSequence, Origin};
pub use crate::machine::{CLOCK_DRIFT_PER_MILLE, LEASE_MARGIN_MS, Timing};
use crate::machine::{Machine, Quarantine, Relay, ReportedTask};
pub use crate::machine_failure_detector::ZONE_RECOVERY_MS;
use crate::machine_failure_detector::{HealthVerdict, MachineFailureDetector};
use crate::worker_lease::LeaseReading;
use attempt::{AttemptStage, TrackedAttempt};
use catalog::MachineCatalog;
use commands::{CommandChannel, contains_launch};
use heartbeat::{HeartbeatReceipt, ReceiptStatus, reply_channel};
use held_replies::HeldReply;
pub(crate) use held_replies::{HeartbeatDecision, ReleasedReply};
use image_pages::ImageRecord;
use last_copies::ServiceImages;
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, RELAYED_SHARD_TIMEOUT_MS};
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, MachineId, Priority, Resources};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::peer::{
    AttemptState, AttemptStatus, Continuation, DesiredAttempt, ExitCause, MachineView,
    ProvisionedInstance, ShardView, Superseded, SyncRequest, encoded_len,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskPhase,
};
use lemonweir_storage::records::ImageLocationsRecord;
use reconciliation::PlacerSession;
pub use worker_calls::{CommandCall, CommandResult, UNREACHABLE_CALLS_MAX};

/// ms that an owner must have led its shard before it considers how many of its machines
/// send heartbeats to peers: after a restart, machines use other controllers for some
/// seconds.
const UNREACHABLE_MIN_LEADERSHIP_MS: u64 = 10_000;
/// ms for which a [`PeerHeartbeatCount`] is valid.
const PEER_HEARTBEAT_COUNT_TTL_MS: u64 = 5_000;

/// Why a sync request was refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// Addressed to a shard that this controller does not lead under the given token, or sent
    /// under an outdated token of the sender's shard.
    #[error("fencing token is not current")]
    TokenMismatch,
    /// The sender's shard does not exist.
    #[error("the sender's shard does not exist")]
    UnknownShard,
    /// Not newer than a request that was already applied.
    #[error("request is not newer than the last one applied")]
    Stale,
    /// The sender has lost its shard's lease without noticing.
    #[error("the sender's shard has a newer leader")]
    Superseded(Superseded),
}

/// Number of this shard's machines that send their heartbeats to a peer.
#[derive(Clone, Copy, Debug)]
struct PeerHeartbeatCount {
    machines: u32,
    /// When the peer reported it, ms.
    at: u64,
}

/// Placement outcomes since the shard was acquired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Placements refused: the machine lacks free resources or is not schedulable.
    pub refused: u64,
    /// Attempts preempted in favor of others.
    pub preempted: u64,
}

/// The owner of a shard. All times are ms of the monotonic clock that callers pass in.
pub struct Owner {
    shard: u16,
    /// Fencing token of the shard's lease.
    token: u64,
    /// When this owner acquired the shard.
    acquired_at: u64,
    timing: Timing,
    policy: Policy,
    /// Number of shards, each with one placer.
    shards: u16,
    catalog: MachineCatalog,
    machines: BTreeMap<MachineId, Machine>,
    attempts: HashMap<AttemptId, TrackedAttempt>,
    /// Index of `attempts` by machine, so that lookups don't scan all attempts.
    attempts_by_machine: HashMap<MachineId, BTreeSet<AttemptId>>,
    /// Placer sessions by the placer's shard.
    placers: BTreeMap<u16, PlacerSession>,
    /// State of the machines as published to placers.
    machine_views: ChangeLog<MachineId, MachineView>,
    /// Machines whose published state may be out of date.
    changed_machines: BTreeSet<MachineId>,
    /// Machines that may be due for a call.
    call_candidates: BTreeSet<MachineId>,
    /// Machines whose release the provider has confirmed.
    released_machines: HashSet<MachineId>,
    /// Images that an earlier owner recorded for each machine, with their sizes in MB.
    inherited_images: BTreeMap<MachineId, VecDeque<(String, u64)>>,
    /// The stored record of the images that machines hold.
    image_record: ImageRecord,
    /// Images that services use, and the machines with their last copies.
    service_images: ServiceImages,
    /// When an attempt above low priority was last accepted.
    last_accepted_at: u64,
    /// Unknown machines that attempts are placed on, with the time of the first such
    /// placement.
    unseen_machines: BTreeMap<MachineId, u64>,
    /// How many of this shard's machines send their heartbeats to other controllers, by the
    /// shard of the placer that reported it.
    peer_heartbeat_counts: BTreeMap<u16, PeerHeartbeatCount>,
    /// When a page of the provider's inventory was last applied.
    inventory_read_at: u64,
    failure_detector: MachineFailureDetector,
    fault_attribution: FaultAttribution,
    boot_times: BootTimes,
    /// Whether attempts have been reevaluated after the expiry of the leases that earlier owners
    /// renewed.
    inherited_expiry_applied: bool,
    /// Machines to release if they are still idle when the release request is made.
    scale_in_candidates: BTreeSet<MachineId>,
    /// Whether a release request has been sent and not answered.
    release_in_progress: bool,
    /// When the shard summary was last logged.
    summary_logged_at: u64,
    /// Value of `last_tick` when releases were last considered.
    last_release_tick: u64,
    /// When [`Owner::tick`] last ran its maintenance.
    last_tick: u64,
    /// When this process last resumed after a stall; 0 if it never stalled.
    resumed_at: u64,
    /// Start of the last store read that showed this owner as the shard's leader.
    store_answer_at: u64,
    /// Shards of the placers for whose attempts there are unpublished changes.
    changed_placers: BTreeSet<u16>,
    /// Calls in progress to machines that don't receive replies to their heartbeats.
    unreachable_calls: usize,
    /// Whether launches are suspended.
    launches_paused: bool,
    /// How many replies to heartbeats may be held at a time.
    held_replies_max: usize,
    /// Heartbeats whose replies are held.
    held_replies: BTreeMap<MachineId, HeldReply>,
    /// Their machines, by the time at which the reply is sent at the latest, ms.
    held_until: BTreeSet<(u64, MachineId)>,
    /// Heartbeats whose reply was held until their workers no longer waited for it.
    abandoned_heartbeats: Vec<HeartbeatId>,
    /// The last reading of the store that showed this owner as the leader, if workers are told.
    lease_reading: Option<LeaseReading>,
    placement_counts: PlacementCounts,
    /// Number of tasks that appeared on machines though no placer wanted their attempts.
    unexplained_tasks: u64,
}

impl Owner {
    /// Creates the owner of a shard that was just acquired with this fencing token.
    pub fn new(
        shard: u16,
        token: u64,
        shards: u16,
        timing: Timing,
        policy: Policy,
        now: u64,
    ) -> Self {
        Self {
            shard,
            token,
            acquired_at: now,
            timing,
            shards,
            catalog: MachineCatalog::default(),
            machines: BTreeMap::new(),
            attempts: HashMap::new(),
            attempts_by_machine: HashMap::new(),
            placers: BTreeMap::new(),
            machine_views: ChangeLog::default(),
            changed_machines: BTreeSet::new(),
            call_candidates: BTreeSet::new(),
            released_machines: HashSet::new(),
            inherited_images: BTreeMap::new(),
            image_record: ImageRecord::new(now),
            service_images: ServiceImages::default(),
            last_accepted_at: now,
            unseen_machines: BTreeMap::new(),
            peer_heartbeat_counts: BTreeMap::new(),
            inventory_read_at: 0,
            failure_detector: MachineFailureDetector::new(
                timing,
                policy.spot_silence_timeout_ms,
                now,
            ),
            fault_attribution: FaultAttribution::default(),
            boot_times: BootTimes::default(),
            inherited_expiry_applied: false,
            policy,
            scale_in_candidates: BTreeSet::new(),
            release_in_progress: false,
            summary_logged_at: now,
            last_release_tick: now,
            last_tick: now,
            resumed_at: 0,
            store_answer_at: now,
            changed_placers: BTreeSet::new(),
            unreachable_calls: 0,
            launches_paused: false,
            held_replies_max: 0,
            held_replies: BTreeMap::new(),
            held_until: BTreeSet::new(),
            abandoned_heartbeats: Vec::new(),
            lease_reading: None,
            placement_counts: PlacementCounts::default(),
            unexplained_tasks: 0,
        }
    }

    /// Returns how many placements were refused and attempts preempted since the shard was
    /// acquired.
    pub fn placement_counts(&self) -> PlacementCounts {
        self.placement_counts
    }

    /// Returns how many tasks appeared on machines though no placer wanted their attempts, since
    /// the shard was acquired.
    pub fn unexplained_tasks(&self) -> u64 {
        self.unexplained_tasks
    }

    /// Suspends or resumes launches.
    pub(crate) fn pause_launches(&mut self, paused: bool) {
        self.launches_paused = paused;
    }

    /// Adds machine types to the catalog, and updates the capacity of known machines.
    pub fn set_machine_types<'a>(
        &mut self,
        types: impl Iterator<Item = &'a lemonweir_model::MachineType>,
    ) {
        for machine_type in types {
            self.catalog.insert(machine_type);
        }
        for m in self.machines.values_mut() {
            m.capacity = self.catalog.capacity(&m.machine_type);
        }
        self.changed_machines.extend(self.machines.keys().cloned());
    }

    /// Returns the tracked attempts of a machine.
    fn attempts_on(
        &self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&AttemptId, &TrackedAttempt)> {
        self.attempts_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.attempts.get(id).map(|tracked| (id, tracked)))
    }

    /// Marks a machine whose published state may have changed and that may need a call.
    fn mark_changed(&mut self, machine: &MachineId) {
        self.changed_machines.insert(machine.clone());
        self.call_candidates.insert(machine.clone());
    }

    /// Stops tracking an attempt that its placer no longer wants, and returns its machine.
    fn untrack(&mut self, id: &AttemptId) -> Option<MachineId> {
        let tracked = self.attempts.remove(id)?;
        let machine = tracked.desired.machine;
        // A quarantine trial must not wait for an attempt that no placer wants.
        if let Some(quarantine) = self
            .machines
            .get_mut(&machine)
            .and_then(|m| m.quarantine.as_mut())
            && quarantine.trial_attempt.as_ref() == Some(id)
        {
            quarantine.trial_attempt = None;
        }
        if let Some(ids) = self.attempts_by_machine.get_mut(&machine) {
            ids.remove(id);
            if ids.is_empty() {
                self.attempts_by_machine.remove(&machine);
            }
        }
        if let Some(placer) = self.placers.get_mut(&tracked.placer) {
            placer.published.erase(id);
        }
        Some(machine)
    }

    /// The lowest token that this owner gives to its workers.
    fn base_token(&self) -> u64 {
        self.token << MACHINE_TOKEN_BITS
    }

    /// Takes the shards of the placers for which there are unpublished changes.
    pub fn take_changed_placers(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.changed_placers)
    }

    /// Returns true if most machines can't reach this controller but can reach a peer: most
    /// of them are late and more than half send their heartbeats to that peer, or the
    /// heartbeats of more than half have been relayed for so long that handing over the shard
    /// costs less.
    pub fn is_unreachable(&self, now: u64) -> bool {
        let relayed_long = |m: &&Machine| {
            m.relay
                .is_some_and(|relay| now > relay.since + RELAYED_SHARD_TIMEOUT_MS)
        };
        if self.machines.values().filter(relayed_long).count() * 2 > self.machines.len() {
            return true;
        }
        let seen_by_peer = self
            .peer_heartbeat_counts
            .values()
            .filter(|count| now <= count.at + PEER_HEARTBEAT_COUNT_TTL_MS)
            .map(|count| count.machines as usize)
            .max()
            .unwrap_or(0);
        now > self.acquired_at + UNREACHABLE_MIN_LEADERSHIP_MS
            && self
                .failure_detector
                .mostly_silent()
                .is_some_and(|known| seen_by_peer * 2 > known)
    }

    /// Sets the last reading of the store that showed this owner as the leader. The tokens of workers
    /// with tasks are renewed with it.
    pub(crate) fn set_lease_reading(&mut self, reading: LeaseReading) {
        self.lease_reading = Some(reading);
    }
}
