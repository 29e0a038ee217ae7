//! The owner of a shard: the part of its leader that runs the shard's machines, tracks
//! what is on them, and proves that an attempt is over.
//!
//! An attempt counts as over only when
//! * the worker's newest heartbeat says that it exited,
//! * it is missing from a heartbeat that the worker sent after it had seen this owner's
//!   token, and no launch command for it can still arrive,
//! * the worker is in a later session than the one it was launched in,
//! * the provider has confirmed the release of its machine,
//! * its machine never sent a heartbeat to this owner, and every lease that earlier
//!   owners could renew has surely expired, or
//! * the lease has surely expired since this owner, and nobody after it, last replied
//!   to the machine.

mod attempt;
mod catalog;
mod commands;
mod heartbeat;
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
use crate::fault_attribution::{FaultAttribution, FaultVerdict};
use crate::incarnation::{Freshness, MessageSequence, Origin};
pub use crate::machine::{CLOCK_DRIFT_PER_MILLE, LEASE_MARGIN_MS, Timing};
use crate::machine::{Machine, Quarantine, Relay, ReportedTask};
pub use crate::machine_failure_detector::ZONE_RECOVERY_MS;
use crate::machine_failure_detector::{HealthVerdict, MachineFailureDetector};
use attempt::{AttemptStage, TrackedAttempt};
use catalog::MachineCatalog;
use commands::CommandChannel;
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

/// ms that an owner must have led its shard before the counts of peers that its
/// machines reach are considered: a restart sends machines to other controllers for
/// some seconds.
const UNREACHABLE_MIN_LEADERSHIP_MS: u64 = 10_000;
/// ms for which a peer's count of an owner's machines is valid.
const PEER_HEARTBEAT_COUNT_TTL_MS: u64 = 5_000;

/// Why a sync was refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// Meant for another owner of this shard, or from a past leader of its own.
    #[error("token out of date")]
    Token,
    /// From a shard that does not exist.
    #[error("no such shard")]
    UnknownShard,
    /// Older than one already applied.
    #[error("stale message")]
    Stale,
    /// From a controller that has lost its shard's lease without knowing.
    #[error("the sender's shard has another leader")]
    Superseded(Superseded),
}

/// A peer's count of the machines of this shard whose heartbeats it gets.
#[derive(Clone, Copy, Debug)]
struct PeerHeartbeatCount {
    machines: u32,
    /// When the peer said so, ms.
    at: u64,
}

/// What became of placements, counted since the shard was acquired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Placements refused for lack of room.
    pub refused: u64,
    /// Attempts preempted for others.
    pub preempted: u64,
}

/// The owner of a shard. All times are ms of the steady clock that callers pass in.
pub struct Owner {
    shard: u16,
    /// Fencing token of the shard's lease.
    token: u64,
    acquired_at: u64,
    timing: Timing,
    policy: Policy,
    /// Number of shards, each with one placer.
    shards: u16,
    catalog: MachineCatalog,
    machines: BTreeMap<MachineId, Machine>,
    attempts: HashMap<AttemptId, TrackedAttempt>,
    /// Tracked attempts of each machine, so that nothing walks all of them.
    attempts_by_machine: HashMap<MachineId, BTreeSet<AttemptId>>,
    /// By the shard of the placer.
    placers: BTreeMap<u16, PlacerSession>,
    /// Published state of the machines.
    machine_views: ChangeLog<MachineId, MachineView>,
    /// Machines whose published state may be out of date.
    changed_machines: BTreeSet<MachineId>,
    /// Machines that may need a call.
    call_candidates: BTreeSet<MachineId>,
    /// Machines whose release is confirmed.
    released_machines: HashSet<MachineId>,
    /// Images that an earlier owner recorded of each machine, MB each.
    inherited_images: BTreeMap<MachineId, VecDeque<(String, u64)>>,
    /// The stored record of the machines' images.
    image_record: ImageRecord,
    /// Images that services use, and who holds them.
    service_images: ServiceImages,
    /// When an attempt other than idle work was last accepted.
    last_accepted_at: u64,
    /// Machines that attempts are placed on and that are not known, with the time since
    /// when.
    unseen_machines: BTreeMap<MachineId, u64>,
    /// How many of this shard's machines send their heartbeats to the controllers of
    /// other shards, with the time when they said so.
    peer_heartbeat_counts: BTreeMap<u16, PeerHeartbeatCount>,
    /// When the provider's inventory was last read.
    inventory_read_at: u64,
    failure_detector: MachineFailureDetector,
    fault_attribution: FaultAttribution,
    boot_times: BootTimes,
    /// The expiry of leases that earlier owners renewed has been applied.
    inherited_expiry_applied: bool,
    /// Machines that were idle for long enough to be released.
    scale_in_candidates: BTreeSet<MachineId>,
    release_in_progress: bool,
    /// When the shard's occupancy was last logged.
    summary_logged_at: u64,
    /// Tick that releases were last looked for in.
    last_release_tick: u64,
    last_tick: u64,
    /// When this process last resumed after a stall; 0: never.
    resumed_at: u64,
    /// When the last reading of the store began that showed this owner as the leader.
    store_answer_at: u64,
    /// Shards whose placers have unpublished changes of their attempts.
    changed_placers: BTreeSet<u16>,
    /// Calls in progress to machines that replies don't reach.
    unreachable_calls: usize,
    /// Nothing is launched now.
    launches_paused: bool,
    placement_counts: PlacementCounts,
}

impl Owner {
    /// An owner that has just acquired its shard with this fencing token.
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
            placement_counts: PlacementCounts::default(),
        }
    }

    /// Placements refused for lack of room, and attempts preempted, so far.
    pub fn placement_counts(&self) -> PlacementCounts {
        self.placement_counts
    }

    /// Launches nothing while `paused`.
    pub(crate) fn pause_launches(&mut self, paused: bool) {
        self.launches_paused = paused;
    }

    /// Sets the catalog of machine types.
    pub fn set_types<'a>(&mut self, types: impl Iterator<Item = &'a lemonweir_model::MachineType>) {
        for machine_type in types {
            self.catalog.insert(machine_type);
        }
        for m in self.machines.values_mut() {
            m.capacity = self.catalog.capacity(&m.kind);
        }
        self.changed_machines.extend(self.machines.keys().cloned());
    }

    /// Tracked attempts of a machine.
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

    /// A machine's published state may have changed, and it may need a call.
    fn mark_changed(&mut self, machine: &MachineId) {
        self.changed_machines.insert(machine.clone());
        self.call_candidates.insert(machine.clone());
    }

    /// Stops tracking an attempt that its placer no longer wants; returns its machine.
    fn untrack(&mut self, id: &AttemptId) -> Option<MachineId> {
        let tracked = self.attempts.remove(id)?;
        let machine = tracked.desired.machine;
        // Guards against a quarantine trial that waits for an attempt that nobody wants.
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

    /// The lowest token of this owner towards its workers.
    fn base_token(&self) -> u64 {
        self.token << MACHINE_TOKEN_BITS
    }

    /// Shards whose placers have unpublished changes; empties the set.
    pub fn take_changed_placers(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.changed_placers)
    }

    /// True if this controller is unreachable for its machines while a peer is not: most
    /// of them are late, and as many send heartbeats to the peer; or most have been
    /// relayed for so long that giving up the shard costs less.
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

    /// Renews a worker's lease with the next token that it is given: the reading of the
    /// store that showed this owner as the leader began at `wall_ms`, in time of day.
    pub(crate) fn renew_worker_lease(&mut self, machine: &MachineId, wall_ms: u64, now: u64) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.incarnation.renew_lease(wall_ms, now);
        }
    }
}
