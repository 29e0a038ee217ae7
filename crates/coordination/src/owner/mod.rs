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
    ProvisionedInstance, ShardView, Superseded, SyncRequest, encoded_len,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskPhase,
};
use lemonweir_storage::records::ImageLocationsRecord;

/// What orders go out with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Carrier {
    /// A call: starts and stops.
    Call,
    /// The answer to a report: stops, and what may be forgotten.
    Answer,
    /// The same with starts, whose calls are of unknown fate.
    AnswerWithStarts,
    /// The answer to a report that is not the newest, or that does not show our
    /// token: only stops.
    LateAnswer,
}

impl Carrier {
    fn is_answer(self) -> bool {
        self != Carrier::Call
    }

    fn starts(self) -> bool {
        matches!(self, Carrier::Call | Carrier::AnswerWithStarts)
    }

    fn forgets(self) -> bool {
        matches!(self, Carrier::Answer | Carrier::AnswerWithStarts)
    }
}

/// How far an attempt has come here.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Not judged yet: the machine has not shown our token.
    Unjudged,
    /// Waits since then for those who were pushed out for it.
    Waiting(u64),
    /// Has room. `sent`: session that a start order went out to.
    Accepted { sent: Option<u64>, seen: bool },
    /// Over.
    Ended(AttemptState),
}

#[derive(Debug)]
struct Held {
    from: u16,
    /// What its placer says of it; refreshed by every sync.
    want: DesiredAttempt,
    /// Set when it is pushed out: seconds of grace.
    evicted: Option<u32>,
    killed_at: Option<u64>,
    since: u64,
    /// When it was first seen to run, and whether that is known to have gone
    /// well.
    ran: Option<u64>,
    well: bool,
    stage: Stage,
}

impl Held {
    /// Seconds of grace if it shall end, for whatever reason.
    fn ending(&self) -> Option<u32> {
        self.want.stop_grace_s.or(self.evicted)
    }

    /// It has room and shall start, and its machine has not shown it yet.
    fn awaits_start(&self, id: &AttemptId, m: &Machine) -> bool {
        let accepted = matches!(self.stage, Stage::Accepted { seen: false, .. });
        self.want.may_start && self.ending().is_none() && accepted && !m.tasks.contains_key(id)
    }
}

/// What a placer has told us, and what it is told.
#[derive(Default)]
struct Asker {
    token: u64,
    seq: u64,
    /// When a reading of the store showed that it has lost its part, ms.
    lost: Option<u64>,
    /// State of its wants that we have.
    at: u64,
    /// True once its whole state was told.
    complete: bool,
    /// State of the machines that it has.
    have: u64,
    /// Attempts that a state told anew has not named yet.
    unnamed: HashSet<AttemptId>,
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
    started: u64,
    timing: Timing,
    policy: Policy,
    shards: u16,
    rooms: BTreeMap<String, Resources>,
    boot_ms: BTreeMap<String, u64>,
    caches: BTreeMap<String, u64>,
    /// Image fetch, GB/s, by type.
    fetch: BTreeMap<String, f64>,
    machines: BTreeMap<MachineId, Machine>,
    held: HashMap<AttemptId, Held>,
    /// Attempts held on each machine, so that nothing walks all of them.
    on: HashMap<MachineId, BTreeSet<AttemptId>>,
    askers: BTreeMap<u16, Asker>,
    /// What is told of the machines.
    views: ChangeLog<MachineId, MachineView>,
    /// Machines that may have to be told anew.
    stale: BTreeSet<MachineId>,
    /// Machines that may need a call.
    attention: BTreeSet<MachineId>,
    gone: HashSet<MachineId>,
    /// Images that an earlier owner noted.
    earlier: BTreeMap<MachineId, VecDeque<(String, u64)>>,
    noted: Vec<ImageLocationsRecord>,
    noted_at: u64,
    /// The page that the next writing of it begins at.
    note_from: usize,
    /// Images that services use, and machines with the last copy of one in their zone,
    /// as of when that was looked at, ms.
    needed: BTreeSet<String>,
    last_copies: HashSet<MachineId>,
    copies_at: u64,
    /// When an attempt was last given room, ms.
    accepted_at: u64,
    /// Machines that somebody counts on and nobody has seen.
    missing: BTreeMap<MachineId, u64>,
    /// How many of our machines come to the nodes of other parts' placers, and
    /// when they said so.
    strays: BTreeMap<u16, (u32, u64)>,
    /// When the cloud's list was last read.
    listed_at: u64,
    sight: MachineFailureDetector,
    /// Whose fault failures were.
    faults: FaultAttribution,
    /// How long machines take to come up.
    boots: BootTimes,
    /// The proof from time of what earlier owners kept alive has been used.
    inherited_judged: bool,
    /// Empty machines whose time is over.
    to_close: BTreeSet<MachineId>,
    releasing: bool,
    /// When the part's figures were last told, ms.
    summed_at: u64,
    /// Tick for which releases were looked for.
    released_tick: u64,
    last_tick: u64,
    /// When this process last went on after standing still, ms; 0: never.
    awake: u64,
    /// When the last reading of the store began that showed us as the owner.
    word: u64,
    dirty: BTreeSet<u16>,
    /// Calls under way to machines that answers don't reach.
    deaf_calls: usize,
    /// Nothing is started now.
    starts_held: bool,
    /// Placements refused for want of room, and attempts pushed out, so far.
    refused: u64,
    pushed_out: u64,
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
            started: now,
            timing,
            shards,
            rooms: BTreeMap::new(),
            boot_ms: BTreeMap::new(),
            caches: BTreeMap::new(),
            fetch: BTreeMap::new(),
            machines: BTreeMap::new(),
            held: HashMap::new(),
            on: HashMap::new(),
            askers: BTreeMap::new(),
            views: ChangeLog::default(),
            stale: BTreeSet::new(),
            attention: BTreeSet::new(),
            gone: HashSet::new(),
            earlier: BTreeMap::new(),
            noted: Vec::new(),
            noted_at: now,
            note_from: 0,
            needed: BTreeSet::new(),
            last_copies: HashSet::new(),
            copies_at: 0,
            accepted_at: now,
            missing: BTreeMap::new(),
            strays: BTreeMap::new(),
            listed_at: 0,
            sight: MachineFailureDetector::new(timing, policy.spot_silence_timeout_ms, now),
            faults: FaultAttribution::default(),
            boots: BootTimes::default(),
            inherited_judged: false,
            policy,
            to_close: BTreeSet::new(),
            releasing: false,
            summed_at: now,
            released_tick: now,
            last_tick: now,
            awake: 0,
            word: now,
            dirty: BTreeSet::new(),
            deaf_calls: 0,
            starts_held: false,
            refused: 0,
            pushed_out: 0,
        }
    }

    /// Placements refused for want of room, and attempts pushed out for others.
    pub fn judged(&self) -> (u64, u64) {
        (self.refused, self.pushed_out)
    }

    /// Starts nothing for as long as it is so.
    pub(crate) fn hold_starts(&mut self, hold: bool) {
        self.starts_held = hold;
    }

    /// Learns the machine types.
    pub fn set_types<'a>(&mut self, types: impl Iterator<Item = &'a lemonweir_model::MachineType>) {
        for t in types {
            self.rooms.insert(t.name.clone(), t.capacity);
            self.boot_ms
                .insert(t.name.clone(), (t.boot_s * 1000.0) as u64);
            self.fetch.insert(t.name.clone(), t.image_pull_gb_per_s);
            self.caches
                .insert(t.name.clone(), (t.image_cache_gb * 1000.0) as u64);
        }
        for m in self.machines.values_mut() {
            m.room = self.rooms.get(&m.kind).copied().unwrap_or_default();
        }
        self.stale.extend(self.machines.keys().cloned());
    }

    /// Attempts held on a machine.
    fn here(&self, machine: &MachineId) -> impl Iterator<Item = (&AttemptId, &Held)> {
        self.on
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.held.get(id).map(|h| (id, h)))
    }

    /// Notes that a machine may look different from outside, or need a call.
    fn touch(&mut self, machine: &MachineId) {
        self.stale.insert(machine.clone());
        self.attention.insert(machine.clone());
    }

    /// Lets an attempt go that its placer no longer wants; tells its machine.
    fn let_go(&mut self, id: &AttemptId) -> Option<MachineId> {
        let held = self.held.remove(id)?;
        let machine = held.want.machine;
        // Guards against a trial that waits for an attempt that nobody wants.
        if let Some(aside) = self
            .machines
            .get_mut(&machine)
            .and_then(|m| m.aside.as_mut())
            && aside.trial.as_ref() == Some(id)
        {
            aside.trial = None;
        }
        if let Some(here) = self.on.get_mut(&machine) {
            here.remove(id);
            if here.is_empty() {
                self.on.remove(&machine);
            }
        }
        if let Some(asker) = self.askers.get_mut(&held.from) {
            asker.told.erase(id);
        }
        Some(machine)
    }

    fn base(&self) -> u64 {
        self.token << FENCE_BITS
    }

    /// Parts whose attempts changed since the last call.
    pub fn take_dirty(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.dirty)
    }

    /// True if this node can't hear its machines while a peer can: most of them
    /// are late, and as many have come to the peer; or most have been carried
    /// for so long that giving the part up costs less.
    pub fn deaf(&self, now: u64) -> bool {
        let long = |m: &&Machine| {
            m.carried
                .is_some_and(|(_, since)| now > since + CARRIED_PART_MS)
        };
        if self.machines.values().filter(long).count() * 2 > self.machines.len() {
            return true;
        }
        let heard = self
            .strays
            .values()
            .filter(|(_, at)| now <= at + VOUCH_MS)
            .map(|(n, _)| *n as usize)
            .max()
            .unwrap_or(0);
        now > self.started + DEAF_AFTER_MS && self.sight.dark().is_some_and(|ran| heard * 2 > ran)
    }

    /// Promises a worker, with the next token that it is told, that the reading
    /// which showed us as the owner began then, in time of day.
    pub(crate) fn promise(&mut self, machine: &MachineId, wall_ms: u64, now: u64) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.worker_session.promise(wall_ms, now);
        }
    }

    /// True if a report tells how its machine is now: only that shows that its zone's
    /// workers come here.
    pub(crate) fn is_news(&self, report: &Heartbeat) -> bool {
        let freshness = |m: &Machine| {
            m.worker_session.weigh(
                MessageSequence::of(report),
                report.fencing_token,
                Origin::Report(None),
            )
        };
        self.machines
            .get(&report.machine)
            .map_or(report.fencing_token >> FENCE_BITS == self.token, |m| {
                matches!(freshness(m), Freshness::Current | Freshness::Restarted)
            })
    }

    /// A report came in, `by` another controller or by itself; `None` means that
    /// it must not be answered with 200.
    pub fn report(
        &mut self,
        report: &Heartbeat,
        by: Option<u16>,
        now: u64,
    ) -> Option<HeartbeatResponse> {
        if self.gone.contains(&report.machine) {
            return None;
        }
        if report.fencing_token >> FENCE_BITS > self.token {
            // The worker has seen a later owner: our answer would only hold it
            // here while its lease runs out.
            return None;
        }
        let newer = self.take_report(report, Origin::Report(by), now);
        let m = self.machines.get_mut(&report.machine)?;
        // One that shows none of our tokens may be the first of a new life.
        if report.incarnation <= m.dead_session && m.worker_session.ours(report.fencing_token) {
            return None;
        }
        m.worker_session
            .answered(MessageSequence::of(report), report.fencing_token, by, now);
        if newer || m.heard.is_none() {
            // Orders go the way that the newest report came.
            m.carried = by.map(|carrier| (carrier, m.carried.map_or(now, |(_, since)| since)));
        }
        // A late report may still be waited for, if the answer to a call came
        // before it, and so may one of a worker that has not shown our token:
        // both answers prolong the lease, so both carry the stops.
        let by = match (
            newer && m.worker_session.fresh(),
            m.ambiguous.is_some() && !m.calling,
        ) {
            (true, true) => Carrier::AnswerWithStarts,
            (true, false) => Carrier::Answer,
            (false, _) => Carrier::LateAnswer,
        };
        let orders = self.orders(&report.machine, now, by);
        let m = self.machines.get_mut(&report.machine)?;
        if orders.iter().any(|o| o.kind == CommandKind::Start) {
            m.answered_with_starts = Some(report.sequence);
        }
        Some(HeartbeatResponse {
            fencing_token: m.worker_session.answer_token(),
            commands: orders,
        })
    }

    /// Takes a report of any origin; true if it tells how its machine is now.
    fn take_report(&mut self, report: &Heartbeat, origin: Origin, now: u64) -> bool {
        let room = self.rooms.get(&report.machine_type).copied().unwrap_or_default();
        let (base, numbers) = (self.base(), MessageSequence::of(report));
        let (missing, earlier) = (&self.missing, &self.earlier);
        let m = self
            .machines
            .entry(report.machine.clone())
            .or_insert_with(|| {
                let mut m = Machine::new(&report.machine_type, &report.zone, report.spot, room, base, now);
                // An attempt there or a note of its images: it ran before.
                m.ran = missing
                    .get(&report.machine)
                    .copied()
                    .or(earlier.contains_key(&report.machine).then_some(now));
                m
            });
        self.missing.remove(&report.machine);
        let freshness = m.worker_session.weigh(numbers, report.fencing_token, origin);
        match freshness {
            Freshness::Current if report.incarnation <= m.dead_session => return false,
            Freshness::Current => {}
            Freshness::Restarted => {
                info!(machine = %report.machine, shard = self.shard, "machine counts from the start again");
                m.worker_session.reborn(origin, now);
                m.images.clear();
                (m.dead_session, m.answered_with_starts, m.notice) = (0, None, false);
            }
            // Guards against copies of reports, which come up to several leases late:
            // a machine that was given back is no machine, and what one says was so
            // once. What it calls for at most is a question, which has no orders.
            Freshness::Stale | Freshness::Unverified => {
                let mut ask = false;
                if let Origin::Report(way) = origin {
                    m.worker_session
                        .overtaken(numbers, report.fencing_token, way, &self.timing, now);
                    ask = m
                        .worker_session
                        .suspect(numbers, report.fencing_token, &self.timing, now);
                }
                if m.worker_session.heard_of(numbers, now) {
                    m.addr = report.address.parse().ok();
                    ask = true;
                }
                if ask {
                    self.attention.insert(report.machine.clone());
                    self.stale.insert(report.machine.clone());
                }
                return false;
            }
        }
        if m.heard.is_none() {
            if let Some(images) = self.earlier.remove(&report.machine) {
                m.images = images;
            }
            if !m.announced {
                info!(machine = %report.machine, shard = self.shard, "machine origin up unannounced");
            }
            let after_ms = now.saturating_sub(m.booked);
            info!(machine = %report.machine, shard = self.shard, after_ms, "machine is up");
            // What ran before was up long before this owner heard it.
            if m.announced && m.ran.is_none() {
                self.boots.came_up(&m.kind, &m.zone, m.spot, after_ms);
            }
            m.overdue = false;
            if !self.rooms.is_empty() && !self.rooms.contains_key(&report.machine_type) {
                warn!(machine = %report.machine, kind = report.machine_type, "machine of a type that is not in the catalog; nothing is placed there");
            }
        }
        if freshness == Freshness::Current && report.incarnation > m.worker_session.session() {
            // Orders for an earlier session are refused by the worker.
            (m.ambiguous, m.lost_start) = (None, None);
            m.answered_with_starts = None;
            if m.worker_session.session() > 0 {
                info!(machine = %report.machine, session = report.incarnation, "new session");
            }
        }
        let heard = m.worker_session.hears();
        m.worker_session
            .take(numbers, report.fencing_token, origin, &self.timing, now);
        if m.worker_session.hears() != heard {
            info!(machine = %report.machine, shard = self.shard, hears = !heard, "whether answers reach the machine");
        }
        m.addr = report.address.parse().ok();
        m.heard = Some(now);
        if std::mem::take(&mut m.silent) {
            // It is wanted again: it is not empty since it was last seen.
            m.idle_since = m.idle_since.map(|_| now);
        }
        if report.reclaim_notice_s.is_some() && !m.notice {
            m.notice = true;
            info!(machine = %report.machine, seconds = report.reclaim_notice_s, "the cloud takes this machine");
        }
        if m.ambiguous.is_some_and(|t| m.worker_session.shown() > t) {
            (m.ambiguous, m.lost_start) = (None, None);
        }
        if matches!(origin, Origin::Report(_))
            && m.answered_with_starts.is_some_and(|seq| report.sequence > seq)
        {
            m.answered_with_starts = None;
        }
        m.tasks.clear();
        for t in &report.tasks {
            match AttemptId::parse(&t.task, t.attempt) {
                Some(id) => {
                    let cause =
                        (t.phase == TaskPhase::Exited).then(|| ExitCause::from_wire(t.exit_cause.as_deref()));
                    m.tasks.insert(
                        id,
                        ReportedTask {
                            phase: t.phase,
                            cause,
                        },
                    );
                }
                None => {
                    warn!(machine = %report.machine, piece = t.task, "task name not understood")
                }
            }
        }
        self.judge(&report.machine.clone(), now);
        true
    }
}

/// Attempts of one placer.
fn asker_attempts(held: &HashMap<AttemptId, Held>, from: u16) -> HashSet<AttemptId> {
    held.iter()
        .filter(|(_, h)| h.from == from)
        .map(|(id, _)| id.clone())
        .collect()
}
