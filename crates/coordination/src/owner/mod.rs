//! The owner's side of a part: its machines, what is on them, and the proofs
//! that an attempt is over.
//!
//! An attempt counts as over only when
//! * the worker's newest report says that it exited,
//! * it is missing from a report that the worker sent after it had seen this
//!   owner's token, and no start order for it can still arrive,
//! * the worker is in a later session than the one it was started in,
//! * the cloud has answered the release of its machine,
//! * its machine was never heard by this owner, and all that earlier owners
//!   could keep alive has surely run out, or
//! * the lease has surely run out since this owner, and nobody after it, last
//!   answered the machine.

mod commands;
mod last_copies;
mod maintenance;
mod orphaned_grants;
mod preemption;
mod proof;
mod reconciliation;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use tracing::{info, warn};

use crate::boot_time::BootTimes;
use crate::change_log::ChangeLog;
use crate::fault_attribution::{FaultAttribution, FaultVerdict};
use crate::incarnation::{Freshness, MessageSequence, Origin};
pub use crate::machine::Timing;
use crate::machine::{Machine, Quarantine, ReportedTask};
use crate::machine_health::{HealthVerdict, MachineFailureDetector};
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, MachineId, Priority, Resources};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::peer::{
    AttemptState, AttemptStatus, Continuation, DesiredAttempt, ExitCause, MachineView,
    ProvisionedInstance, ShardView, Superseded, SyncRequest, written,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskPhase,
};
use lemonweir_storage::records::ImageLocationsRecord;

/// What orders go out with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CommandChannel {
    /// A call: starts and stops.
    Call,
    /// The answer to a report: stops, and what may be forgotten.
    Response,
    /// The same with starts, whose calls are of unknown fate.
    ResponseWithLaunches,
    /// The answer to a report that is not the newest, or that does not show our
    /// token: only stops.
    LateResponse,
}

impl CommandChannel {
    fn is_response(self) -> bool {
        self != CommandChannel::Call
    }

    fn starts(self) -> bool {
        matches!(
            self,
            CommandChannel::Call | CommandChannel::ResponseWithLaunches
        )
    }

    fn forgets(self) -> bool {
        matches!(
            self,
            CommandChannel::Response | CommandChannel::ResponseWithLaunches
        )
    }
}

/// How far an attempt has come here.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptStage {
    /// Not judged yet: the machine has not shown our token.
    Undecided,
    /// Waits since then for those who were pushed out for it.
    AwaitingPreemption(u64),
    /// Has room. `sent`: session that a start order went out to.
    Accepted { sent: Option<u64>, seen: bool },
    /// Over.
    Ended(AttemptState),
}

#[derive(Debug)]
struct TrackedAttempt {
    from: u16,
    /// What its placer says of it; refreshed by every sync.
    desired: DesiredAttempt,
    /// Set when it is pushed out: seconds of grace.
    preemption_grace_s: Option<u32>,
    stop_sent_at: Option<u64>,
    tracked_since: u64,
    /// When it was first seen to run, and whether that is known to have gone
    /// well.
    running_since: Option<u64>,
    success_recorded: bool,
    stage: AttemptStage,
}

impl TrackedAttempt {
    /// Seconds of grace if it shall end, for whatever reason.
    fn stop_grace_s(&self) -> Option<u32> {
        self.desired.kill.or(self.preemption_grace_s)
    }

    /// It has room and shall start, and its machine has not shown it yet.
    fn awaits_launch(&self, id: &AttemptId, m: &Machine) -> bool {
        let accepted = matches!(self.stage, AttemptStage::Accepted { seen: false, .. });
        self.desired.go && self.stop_grace_s().is_none() && accepted && !m.tasks.contains_key(id)
    }
}

/// What a placer has told us, and what it is told.
#[derive(Default)]
struct PlacerSession {
    token: u64,
    seq: u64,
    /// When a reading of the store showed that it has lost its part, ms.
    lease_lost_at: Option<u64>,
    /// State of its wants that we have.
    desired_version: u64,
    /// True once its whole state was told.
    complete: bool,
    /// State of the machines that it has.
    acknowledged_version: u64,
    /// Attempts that a state told anew has not named yet.
    unmentioned: HashSet<AttemptId>,
    /// How its attempts stand.
    told: ChangeLog<AttemptId, AttemptState>,
}

/// A call to a worker that the process has to make.
#[derive(Debug, Clone)]
pub struct CommandCall {
    /// The machine.
    pub machine: MachineId,
    /// Its address.
    pub addr: SocketAddr,
    /// What to send.
    pub commands: CommandsRequest,
    /// Number of the controller through which it goes, if not by itself.
    pub through: Option<u16>,
}

/// How a call to a worker went.
#[derive(Debug)]
pub enum CommandResult {
    /// Executed; the report that came back.
    Executed(Heartbeat),
    /// Refused: the token or session was not right; the report.
    Refused(Heartbeat),
    /// Surely not sent.
    NotSent,
    /// May have been executed, or may be later.
    Unknown,
}

/// Why a sync was not taken.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// Meant for another owner of this part, or from a past owner of its own.
    #[error("token out of date")]
    Token,
    /// Of a part that there is not.
    #[error("no such part")]
    Part,
    /// Older than one already taken.
    #[error("late message")]
    Stale,
    /// From a controller that has lost its part without knowing.
    #[error("the sender's part has another holder")]
    Superseded(Superseded),
}

/// The owner of a part.
pub struct Owner {
    shard: u16,
    token: u64,
    acquired_at: u64,
    timing: Timing,
    policy: Policy,
    shards: u16,
    capacity_by_type: BTreeMap<String, Resources>,
    listed_boot_ms: BTreeMap<String, u64>,
    image_cache_mb: BTreeMap<String, u64>,
    /// Image fetch, GB/s, by type.
    image_fetch_gb_per_s: BTreeMap<String, f64>,
    machines: BTreeMap<MachineId, Machine>,
    attempts: HashMap<AttemptId, TrackedAttempt>,
    /// Attempts held on each machine, so that nothing walks all of them.
    attempts_by_machine: HashMap<MachineId, BTreeSet<AttemptId>>,
    placers: BTreeMap<u16, PlacerSession>,
    /// What is told of the machines.
    machine_views: ChangeLog<MachineId, MachineView>,
    /// Machines that may have to be told anew.
    changed_machines: BTreeSet<MachineId>,
    /// Machines that may need a call.
    call_candidates: BTreeSet<MachineId>,
    released_machines: HashSet<MachineId>,
    /// Images that an earlier owner noted.
    inherited_images: BTreeMap<MachineId, VecDeque<(String, u64)>>,
    recorded_pages: Vec<ImageLocationsRecord>,
    image_pages_written_at: u64,
    /// The page that the next writing of it begins at.
    next_image_page: usize,
    /// Images that services use, and machines with the last copy of one in their zone,
    /// as of when that was looked at, ms.
    service_images: BTreeSet<String>,
    last_copies: HashSet<MachineId>,
    last_copies_checked_at: u64,
    /// When an attempt was last given room, ms.
    last_accepted_at: u64,
    /// Machines that somebody counts on and nobody has seen.
    unseen_machines: BTreeMap<MachineId, u64>,
    /// How many of our machines come to the nodes of other parts' placers, and
    /// when they said so.
    peer_heartbeat_counts: BTreeMap<u16, (u32, u64)>,
    /// When the cloud's list was last read.
    inventory_read_at: u64,
    failure_detector: MachineFailureDetector,
    /// Whose fault failures were.
    fault_attribution: FaultAttribution,
    /// How long machines take to come up.
    boot_times: BootTimes,
    /// The proof from time of what earlier owners kept alive has been used.
    inherited_expiry_applied: bool,
    /// Empty machines whose time is over.
    scale_in_candidates: BTreeSet<MachineId>,
    release_in_progress: bool,
    /// When the part's figures were last told, ms.
    summary_logged_at: u64,
    /// Tick for which releases were looked for.
    released_tick: u64,
    last_tick: u64,
    /// When this process last went on after standing still, ms; 0: never.
    resumed_at: u64,
    /// When the last reading of the store began that showed us as the owner.
    store_answer_at: u64,
    changed_placers: BTreeSet<u16>,
    /// Calls under way to machines that answers don't reach.
    unreachable_calls: usize,
    /// Nothing is started now.
    launches_paused: bool,
    /// Placements refused for want of room, and attempts pushed out, so far.
    refused_placements: u64,
    preempted_attempts: u64,
}

impl Owner {
    /// An owner that has just got its part with this token.
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
            capacity_by_type: BTreeMap::new(),
            listed_boot_ms: BTreeMap::new(),
            image_cache_mb: BTreeMap::new(),
            image_fetch_gb_per_s: BTreeMap::new(),
            machines: BTreeMap::new(),
            attempts: HashMap::new(),
            attempts_by_machine: HashMap::new(),
            placers: BTreeMap::new(),
            machine_views: ChangeLog::default(),
            changed_machines: BTreeSet::new(),
            call_candidates: BTreeSet::new(),
            released_machines: HashSet::new(),
            inherited_images: BTreeMap::new(),
            recorded_pages: Vec::new(),
            image_pages_written_at: now,
            next_image_page: 0,
            service_images: BTreeSet::new(),
            last_copies: HashSet::new(),
            last_copies_checked_at: 0,
            last_accepted_at: now,
            unseen_machines: BTreeMap::new(),
            peer_heartbeat_counts: BTreeMap::new(),
            inventory_read_at: 0,
            failure_detector: MachineFailureDetector::new(timing, policy.silent_ms, now),
            fault_attribution: FaultAttribution::default(),
            boot_times: BootTimes::default(),
            inherited_expiry_applied: false,
            policy,
            scale_in_candidates: BTreeSet::new(),
            release_in_progress: false,
            summary_logged_at: now,
            released_tick: now,
            last_tick: now,
            resumed_at: 0,
            store_answer_at: now,
            changed_placers: BTreeSet::new(),
            unreachable_calls: 0,
            launches_paused: false,
            refused_placements: 0,
            preempted_attempts: 0,
        }
    }

    /// Placements refused for want of room, and attempts pushed out for others.
    pub fn placement_counts(&self) -> (u64, u64) {
        (self.refused_placements, self.preempted_attempts)
    }

    /// Starts nothing for as long as it is so.
    pub(crate) fn pause_launches(&mut self, hold: bool) {
        self.launches_paused = hold;
    }

    /// Learns the machine types.
    pub fn set_types<'a>(&mut self, types: impl Iterator<Item = &'a lemonweir_model::MachineType>) {
        for t in types {
            self.capacity_by_type.insert(t.name.clone(), t.room);
            self.listed_boot_ms
                .insert(t.name.clone(), (t.boot_s * 1000.0) as u64);
            self.image_fetch_gb_per_s
                .insert(t.name.clone(), t.fetch_gb_per_s);
            self.image_cache_mb
                .insert(t.name.clone(), (t.cache_gb * 1000.0) as u64);
        }
        for m in self.machines.values_mut() {
            m.capacity = self
                .capacity_by_type
                .get(&m.kind)
                .copied()
                .unwrap_or_default();
        }
        self.changed_machines.extend(self.machines.keys().cloned());
    }

    /// Attempts held on a machine.
    fn attempts_on(
        &self,
        machine: &MachineId,
    ) -> impl Iterator<Item = (&AttemptId, &TrackedAttempt)> {
        self.attempts_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.attempts.get(id).map(|h| (id, h)))
    }

    /// Notes that a machine may look different from outside, or need a call.
    fn mark_changed(&mut self, machine: &MachineId) {
        self.changed_machines.insert(machine.clone());
        self.call_candidates.insert(machine.clone());
    }

    /// Lets an attempt go that its placer no longer wants; tells its machine.
    fn untrack(&mut self, id: &AttemptId) -> Option<MachineId> {
        let tracked = self.attempts.remove(id)?;
        let machine = tracked.desired.machine;
        // Guards against a trial that waits for an attempt that nobody wants.
        if let Some(quarantine) = self
            .machines
            .get_mut(&machine)
            .and_then(|m| m.quarantine.as_mut())
            && quarantine.trial_attempt.as_ref() == Some(id)
        {
            quarantine.trial_attempt = None;
        }
        if let Some(here) = self.attempts_by_machine.get_mut(&machine) {
            here.remove(id);
            if here.is_empty() {
                self.attempts_by_machine.remove(&machine);
            }
        }
        if let Some(placer) = self.placers.get_mut(&tracked.from) {
            placer.told.erase(id);
        }
        Some(machine)
    }

    fn base_token(&self) -> u64 {
        self.token << FENCE_BITS
    }

    /// Parts whose attempts changed since the last call.
    pub fn take_changed_placers(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.changed_placers)
    }

    /// True if this node can't hear its machines while a peer can: most of them
    /// are late, and as many have come to the peer; or most have been carried
    /// for so long that giving the part up costs less.
    pub fn is_unreachable(&self, now: u64) -> bool {
        let long = |m: &&Machine| {
            m.relayed_by
                .is_some_and(|(_, since)| now > since + CARRIED_PART_MS)
        };
        if self.machines.values().filter(long).count() * 2 > self.machines.len() {
            return true;
        }
        let seen_by_peer = self
            .peer_heartbeat_counts
            .values()
            .filter(|(_, at)| now <= at + VOUCH_MS)
            .map(|(n, _)| *n as usize)
            .max()
            .unwrap_or(0);
        now > self.acquired_at + DEAF_AFTER_MS
            && self
                .failure_detector
                .mostly_silent()
                .is_some_and(|known| seen_by_peer * 2 > known)
    }

    /// Promises a worker, with the next token that it is told, that the reading
    /// which showed us as the owner began then, in time of day.
    pub(crate) fn renew_worker_lease(&mut self, machine: &MachineId, wall_ms: u64, now: u64) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.incarnation.renew_lease(wall_ms, now);
        }
    }

    /// True if a report tells how its machine is now: only that shows that its zone's
    /// workers come here.
    pub(crate) fn is_current(&self, report: &Heartbeat) -> bool {
        let freshness = |m: &Machine| {
            m.incarnation.classify(
                MessageSequence::of(report),
                report.token,
                Origin::Heartbeat(None),
            )
        };
        self.machines
            .get(&report.machine)
            .map_or(report.token >> FENCE_BITS == self.token, |m| {
                matches!(freshness(m), Freshness::Current | Freshness::Restarted)
            })
    }

    /// A report came in, `by` another controller or by itself; `None` means that
    /// it must not be answered with 200.
    pub fn handle_heartbeat(
        &mut self,
        report: &Heartbeat,
        by: Option<u16>,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        if self.released_machines.contains(&report.machine) {
            return None;
        }
        if report.token >> FENCE_BITS > self.token {
            // The worker has seen a later owner: our answer would only hold it
            // here while its lease runs out.
            return None;
        }
        let newer = self.apply_heartbeat(report, Origin::Heartbeat(by), now);
        let m = self.machines.get_mut(&report.machine)?;
        // One that shows none of our tokens may be the first of a new life.
        if report.session <= m.expired_session && m.incarnation.is_trusted_token(report.token) {
            return None;
        }
        m.incarnation
            .record_reply(MessageSequence::of(report), report.token, by, now);
        if newer || m.last_heartbeat_at.is_none() {
            // Orders go the way that the newest report came.
            m.relayed_by =
                by.map(|carrier| (carrier, m.relayed_by.map_or(now, |(_, since)| since)));
        }
        // A late report may still be waited for, if the answer to a call came
        // before it, and so may one of a worker that has not shown our token:
        // both answers prolong the lease, so both carry the stops.
        let by = match (
            newer && m.incarnation.is_confirmed(),
            m.unresolved_call_token.is_some() && !m.call_in_progress,
        ) {
            (true, true) => CommandChannel::ResponseWithLaunches,
            (true, false) => CommandChannel::Response,
            (false, _) => CommandChannel::LateResponse,
        };
        let orders = self.commands_for(&report.machine, now, by);
        let m = self.machines.get_mut(&report.machine)?;
        if orders.iter().any(|o| o.verb == CommandKind::Launch) {
            m.launches_in_response_to = Some(report.seq);
        }
        Some(HeartbeatResponse {
            token: m.incarnation.reply_token(),
            orders,
        })
    }

    /// Takes a report of any origin; true if it tells how its machine is now.
    fn apply_heartbeat(&mut self, report: &Heartbeat, origin: Origin, now: u64) -> bool {
        let room = self
            .capacity_by_type
            .get(&report.kind)
            .copied()
            .unwrap_or_default();
        let (base, numbers) = (self.base_token(), MessageSequence::of(report));
        let (unseen_machines, inherited_images) = (&self.unseen_machines, &self.inherited_images);
        let m = self
            .machines
            .entry(report.machine.clone())
            .or_insert_with(|| {
                let mut m = Machine::new(&report.kind, &report.zone, report.spot, room, base, now);
                // An attempt there or a note of its images: it ran before.
                m.recorded_running_at =
                    unseen_machines
                        .get(&report.machine)
                        .copied()
                        .or(inherited_images
                            .contains_key(&report.machine)
                            .then_some(now));
                m
            });
        self.unseen_machines.remove(&report.machine);
        let freshness = m.incarnation.classify(numbers, report.token, origin);
        match freshness {
            Freshness::Current if report.session <= m.expired_session => return false,
            Freshness::Current => {}
            Freshness::Restarted => {
                info!(machine = %report.machine, shard = self.shard, "machine counts from the start again");
                m.incarnation.reset_after_restart(origin, now);
                m.images.clear();
                (
                    m.expired_session,
                    m.launches_in_response_to,
                    m.termination_notice,
                ) = (0, None, false);
            }
            // Guards against copies of reports, which come up to several leases late:
            // a machine that was given back is no machine, and what one says was so
            // once. What it calls for at most is a question, which has no orders.
            Freshness::Stale | Freshness::Unverified => {
                let mut ask = false;
                if let Origin::Heartbeat(way) = origin {
                    m.incarnation.apply_late_heartbeat(
                        numbers,
                        report.token,
                        way,
                        &self.timing,
                        now,
                    );
                    ask = m
                        .incarnation
                        .suspect_restart(numbers, report.token, &self.timing, now);
                }
                if m.incarnation.record_unverified(numbers, now) {
                    m.address = report.address.parse().ok();
                    ask = true;
                }
                if ask {
                    self.call_candidates.insert(report.machine.clone());
                    self.changed_machines.insert(report.machine.clone());
                }
                return false;
            }
        }
        if m.last_heartbeat_at.is_none() {
            if let Some(images) = self.inherited_images.remove(&report.machine) {
                m.images = images;
            }
            if !m.announced {
                info!(machine = %report.machine, shard = self.shard, "machine origin up unannounced");
            }
            let after_ms = now.saturating_sub(m.provisioned_at);
            info!(machine = %report.machine, shard = self.shard, after_ms, "machine is up");
            // What ran before was up long before this owner heard it.
            if m.announced && m.recorded_running_at.is_none() {
                self.boot_times
                    .record_boot(&m.kind, &m.zone, m.spot, after_ms);
            }
            m.overdue = false;
            if !self.capacity_by_type.is_empty()
                && !self.capacity_by_type.contains_key(&report.kind)
            {
                warn!(machine = %report.machine, kind = report.kind, "machine of a type that is not in the catalog; nothing is placed there");
            }
        }
        if freshness == Freshness::Current && report.session > m.incarnation.session() {
            // Orders for an earlier session are refused by the worker.
            (m.unresolved_call_token, m.unresolved_launch_at) = (None, None);
            m.launches_in_response_to = None;
            if m.incarnation.session() > 0 {
                info!(machine = %report.machine, session = report.session, "new session");
            }
        }
        let was_reachable = m.incarnation.is_reachable();
        m.incarnation
            .apply(numbers, report.token, origin, &self.timing, now);
        if m.incarnation.is_reachable() != was_reachable {
            info!(machine = %report.machine, shard = self.shard, reachable = !was_reachable, "whether answers reach the machine");
        }
        m.address = report.address.parse().ok();
        m.last_heartbeat_at = Some(now);
        if std::mem::take(&mut m.silent) {
            // It is wanted again: it is not empty since it was last seen.
            m.idle_since = m.idle_since.map(|_| now);
        }
        if report.notice_s.is_some() && !m.termination_notice {
            m.termination_notice = true;
            info!(machine = %report.machine, seconds = report.notice_s, "the cloud takes this machine");
        }
        if m.unresolved_call_token
            .is_some_and(|t| m.incarnation.shown_token() > t)
        {
            (m.unresolved_call_token, m.unresolved_launch_at) = (None, None);
        }
        if matches!(origin, Origin::Heartbeat(_))
            && m.launches_in_response_to
                .is_some_and(|seq| report.seq > seq)
        {
            m.launches_in_response_to = None;
        }
        m.tasks.clear();
        for t in &report.tasks {
            match AttemptId::parse(&t.piece, t.attempt) {
                Some(id) => {
                    let cause =
                        (t.phase == TaskPhase::Exited).then(|| ExitCause::read(t.cause.as_deref()));
                    m.tasks.insert(
                        id,
                        ReportedTask {
                            phase: t.phase,
                            cause,
                        },
                    );
                }
                None => {
                    warn!(machine = %report.machine, piece = t.piece, "task name not understood")
                }
            }
        }
        self.reevaluate(&report.machine.clone(), now);
        true
    }
}

/// Attempts of one placer.
fn attempts_of_placer(
    tracked: &HashMap<AttemptId, TrackedAttempt>,
    from: u16,
) -> HashSet<AttemptId> {
    tracked
        .iter()
        .filter(|(_, h)| h.from == from)
        .map(|(id, _)| id.clone())
        .collect()
}
