//! The owner's side of a part: its machines, what is on them, and the proofs
//! that an attempt is over.
//!
//! An attempt counts as over only when
//! * the worker's newest report says that it exited,
//! * it is missing from a report that the worker sent after it had seen this
//!   owner's token, and no start order for it can still arrive,
//! * the worker is in a later session than the one it was started in,
//! * the cloud has answered the release of its machine, or
//! * the lease has surely run out since this owner, and nobody after it, last
//!   answered the machine.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

use tracing::{info, warn};

use crate::constants::*;
use crate::coordination::changes::ChangeLog;
pub use crate::coordination::machine::Timing;
use crate::coordination::machine::{Machine, Seen};
use crate::model::{AttemptId, MachineId, Rank, Room};
use crate::policy::Policy;
use crate::protocol::cloud::RentalEntry;
use crate::protocol::peer::{AttemptView, Cause, Follow, MachineView, Rented, Standing, Sync, View, Want, written};
use crate::protocol::worker::{Commands, Order, Report, ReportReply, TaskPhase, Verb};
use crate::storage::records::ImagesRecord;

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
    Ended(Standing),
}

#[derive(Debug)]
struct Held {
    from: u16,
    /// What its placer says of it; refreshed by every sync.
    want: Want,
    /// Set when it is pushed out: seconds of grace.
    evicted: Option<u32>,
    killed_at: Option<u64>,
    since: u64,
    stage: Stage,
}

impl Held {
    /// Seconds of grace if it shall end, for whatever reason.
    fn ending(&self) -> Option<u32> {
        self.want.kill.or(self.evicted)
    }
}

/// What a placer has told us, and what it is told.
#[derive(Default)]
struct Asker {
    token: u64,
    seq: u64,
    /// State of its wants that we have.
    at: u64,
    /// True once its whole state was told.
    complete: bool,
    /// State of the machines that it has.
    have: u64,
    /// Attempts that a state told anew has not named yet.
    unnamed: HashSet<AttemptId>,
    /// How its attempts stand.
    told: ChangeLog<AttemptId, Standing>,
}

/// A call to a worker that the process has to make.
#[derive(Debug, Clone)]
pub struct CommandCall {
    /// The machine.
    pub machine: MachineId,
    /// Its address.
    pub addr: SocketAddr,
    /// What to send.
    pub commands: Commands,
}

/// How a call to a worker went.
#[derive(Debug)]
pub enum CommandResult {
    /// Executed; the report that came back.
    Executed(Report),
    /// Refused: the token or session was not right; the report.
    Refused(Report),
    /// Surely not sent.
    NotSent,
    /// May have been executed, or may be later.
    Unknown,
}

/// Why a sync was not taken.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncRefusal {
    /// Meant for another owner of this part, or from a past owner of its own.
    #[error("token out of date")]
    Token,
    /// Of a part that there is not.
    #[error("no such part")]
    Part,
    /// Older than one already taken.
    #[error("late message")]
    Late,
}

/// The owner of a part.
pub struct Owner {
    part: u16,
    token: u64,
    started: u64,
    timing: Timing,
    policy: Policy,
    parts: u16,
    rooms: BTreeMap<String, Room>,
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
    noted: Vec<ImagesRecord>,
    noted_at: u64,
    /// When an attempt was last given room, ms.
    accepted_at: u64,
    missing: BTreeMap<MachineId, u64>,
    /// Empty machines whose time is over.
    to_close: BTreeSet<MachineId>,
    releasing: bool,
    /// When the part's figures were last told, ms.
    summed_at: u64,
    /// Tick for which releases were looked for.
    released_tick: u64,
    last_tick: u64,
    silent_floor: u64,
    dirty: BTreeSet<u16>,
}

impl Owner {
    /// An owner that has just got its part with this token.
    pub fn new(part: u16, token: u64, parts: u16, timing: Timing, policy: Policy, now: u64) -> Self {
        Self {
            part,
            token,
            started: now,
            timing,
            policy,
            parts,
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
            accepted_at: now,
            missing: BTreeMap::new(),
            to_close: BTreeSet::new(),
            releasing: false,
            summed_at: now,
            released_tick: now,
            last_tick: now,
            silent_floor: now,
            dirty: BTreeSet::new(),
        }
    }

    /// Learns the machine types.
    pub fn set_types<'a>(&mut self, types: impl Iterator<Item = &'a crate::model::MachineType>) {
        for t in types {
            self.rooms.insert(t.name.clone(), t.room);
            self.boot_ms.insert(t.name.clone(), (t.boot_s * 1000.0) as u64);
            self.fetch.insert(t.name.clone(), t.fetch_gb_per_s);
            self.caches.insert(t.name.clone(), (t.cache_gb * 1000.0) as u64);
        }
        for m in self.machines.values_mut() {
            m.room = self.rooms.get(&m.kind).copied().unwrap_or_default();
        }
        self.stale.extend(self.machines.keys().cloned());
    }

    /// Attempts held on a machine.
    fn here(&self, machine: &MachineId) -> impl Iterator<Item = (&AttemptId, &Held)> {
        self.on.get(machine).into_iter().flatten().filter_map(|id| self.held.get(id).map(|h| (id, h)))
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

    fn fresh(&self, m: &Machine) -> bool {
        m.token_seen >= self.base()
    }

    /// Parts whose attempts changed since the last call.
    pub fn take_dirty(&mut self) -> BTreeSet<u16> {
        std::mem::take(&mut self.dirty)
    }

    // ---- workers -----------------------------------------------------------

    /// A report came in; `None` means that it must not be answered with 200.
    pub fn report(&mut self, report: &Report, now: u64) -> Option<ReportReply> {
        if self.gone.contains(&report.machine) {
            return None;
        }
        if report.token >> FENCE_BITS > self.token {
            // The worker has seen a later owner: our answer would only hold it
            // here while its lease runs out.
            return None;
        }
        let newer = self.take_report(report, now, true);
        let base = self.base();
        let m = self.machines.get_mut(&report.machine)?;
        if report.session <= m.dead_session {
            return None;
        }
        m.answered = Some(now);
        if !newer {
            // A late report: the worker does not wait for this answer any more.
            return Some(ReportReply { token: base + m.fence, orders: Vec::new() });
        }
        let with_starts = m.ambiguous.is_some() && !m.calling;
        let orders =
            if self.fresh(&self.machines[&report.machine]) { self.orders(&report.machine, now, with_starts, true) } else { Vec::new() };
        let m = self.machines.get_mut(&report.machine)?;
        if orders.iter().any(|o| o.verb == Verb::Launch) {
            m.answered_with_starts = Some(report.seq);
        }
        Some(ReportReply { token: base + m.fence, orders })
    }

    /// Takes a report of any origin; true if it is the newest known.
    fn take_report(&mut self, report: &Report, now: u64, hello: bool) -> bool {
        let room = self.rooms.get(&report.kind).copied().unwrap_or_default();
        let m = self.machines.entry(report.machine.clone()).or_insert_with(|| {
            info!(machine = %report.machine, part = self.part, "machine came up unannounced");
            Machine::new(&report.kind, &report.zone, report.spot, room, now)
        });
        self.missing.remove(&report.machine);
        if (report.session, report.seq) <= (m.session, m.seq) || report.session <= m.dead_session {
            return false;
        }
        if m.heard.is_none() {
            if let Some(images) = self.earlier.remove(&report.machine) {
                m.images = images;
            }
            info!(machine = %report.machine, part = self.part, after_ms = now - m.booked, "machine is up");
        }
        if report.session > m.session {
            // Orders for an earlier session are refused by the worker.
            m.ambiguous = None;
            m.answered_with_starts = None;
            if m.session > 0 {
                info!(machine = %report.machine, session = report.session, "new session");
            }
        }
        m.addr = report.address.parse().ok();
        m.session = report.session;
        m.seq = report.seq;
        m.heard = Some(now);
        m.token_seen = m.token_seen.max(report.token);
        if report.notice_s.is_some() && !m.notice {
            m.notice = true;
            info!(machine = %report.machine, seconds = report.notice_s, "the cloud takes this machine");
        }
        if m.ambiguous.is_some_and(|t| m.token_seen > t) {
            m.ambiguous = None;
        }
        if hello && m.answered_with_starts.is_some_and(|seq| report.seq > seq) {
            m.answered_with_starts = None;
        }
        m.tasks.clear();
        for t in &report.tasks {
            match AttemptId::parse(&t.piece, t.attempt) {
                Some(id) => {
                    let cause = (t.phase == TaskPhase::Exited).then(|| Cause::read(t.cause.as_deref()));
                    m.tasks.insert(id, Seen { phase: t.phase, cause });
                }
                None => {
                    warn!(machine = %report.machine, piece = t.piece, "task name not understood")
                }
            }
        }
        self.judge(&report.machine.clone(), now);
        true
    }

    /// Re-judges all attempts of a machine.
    fn judge(&mut self, machine: &MachineId, now: u64) {
        self.touch(machine);
        let ids: Vec<AttemptId> = self.on.get(machine).into_iter().flatten().cloned().collect();
        for id in &ids {
            self.judge_one(id, now);
        }
        // Those who wait may have got their room from an end just found.
        for id in &ids {
            if self.held.get(id).is_some_and(|h| matches!(h.stage, Stage::Waiting(_))) {
                self.judge_one(id, now);
            }
        }
        self.update_idle(machine, now);
    }

    fn judge_one(&mut self, id: &AttemptId, now: u64) {
        let Some(held) = self.held.get(id) else {
            return;
        };
        if matches!(held.stage, Stage::Ended(_)) {
            return;
        }
        let machine = held.want.machine.clone();
        let mut stage = self.next_stage(id, held, now);
        if held.stage == Stage::Unjudged && stage == Stage::Ended(Standing::Refused) && self.push_out(id, now) {
            stage = Stage::Waiting(now);
        }
        let Some(held) = self.held.get(id) else { return };
        let (image, mb, from, same) = (held.want.image.clone(), held.want.image_mb, held.from, stage == held.stage);
        // A fetch that is given up leaves nothing: only a task that got past it
        // shows that the machine has the image.
        let past_fetch = |m: &Machine| {
            m.tasks.get(id).is_some_and(|t| t.cause == Some(Cause::Done) || !matches!(t.phase, TaskPhase::Fetching | TaskPhase::Exited))
        };
        if let Some(m) = self.machines.get_mut(&machine).filter(|m| past_fetch(m)) {
            let cache_mb = self.caches.get(&m.kind).copied().unwrap_or(u64::MAX);
            m.remember_image(&image, mb, cache_mb);
        }
        if same {
            return;
        }
        if matches!(stage, Stage::Accepted { sent: None, seen: false }) {
            self.accepted_at = now;
        }
        if let Stage::Ended(standing) = stage {
            info!(attempt = %id, machine = %machine, part = self.part, ?standing, "attempt is over");
            self.note_end(&machine, id, standing);
        }
        self.dirty.insert(from);
        if let Some(h) = self.held.get_mut(id) {
            h.stage = stage;
        }
    }

    fn next_stage(&self, id: &AttemptId, held: &Held, now: u64) -> Stage {
        if self.gone.contains(&held.want.machine) {
            return Stage::Ended(Standing::Gone);
        }
        let Some(m) = self.machines.get(&held.want.machine) else {
            return held.stage;
        };
        if let Some(seen) = m.tasks.get(id) {
            return match seen.cause {
                Some(cause) => Stage::Ended(Standing::Exited(cause)),
                None => Stage::Accepted { sent: Some(m.session), seen: true },
            };
        }
        // Absence proves something only once the worker has shown our token:
        // before that, an order of an earlier owner may still arrive.
        if !self.fresh(m) {
            return held.stage;
        }
        match held.stage {
            Stage::Unjudged if held.ending().is_some() => Stage::Ended(Standing::Gone),
            Stage::Unjudged => {
                let fits = m.open() && m.session > m.dead_session && self.free(&held.want.machine).covers(&held.want.need);
                if fits { Stage::Accepted { sent: None, seen: false } } else { Stage::Ended(Standing::Refused) }
            }
            Stage::Waiting(_) if held.ending().is_some() => Stage::Ended(Standing::Gone),
            Stage::Waiting(since) => {
                if !m.open() || m.session <= m.dead_session || now > since + EVICT_WAIT_MS {
                    return Stage::Ended(Standing::Refused);
                }
                // Its own claim is part of what is taken.
                let free = self.room_without(&held.want.machine, id);
                if free.covers(&held.want.need) { Stage::Accepted { sent: None, seen: false } } else { held.stage }
            }
            Stage::Accepted { sent: None, .. } if held.ending().is_some() => Stage::Ended(Standing::Gone),
            Stage::Accepted { sent: None, .. } if m.dead(now, &self.timing) => Stage::Ended(Standing::Gone),
            Stage::Accepted { sent: Some(session), .. } if session < m.session || session <= m.dead_session => Stage::Ended(Standing::Gone),
            Stage::Accepted { sent: Some(_), seen } if m.settled() => {
                // Guards against a start order that arrives late: only a
                // machine with no order of unknown fate proves absence.
                if seen || held.ending().is_some() { Stage::Ended(Standing::Gone) } else { Stage::Accepted { sent: None, seen: false } }
            }
            stage => stage,
        }
    }

    /// Tells those to leave that an attempt may push out, if that makes room
    /// for it: what is over its guarantee first, then the lowest priority, then
    /// those past their start, and of these the youngest, who lose least.
    fn push_out(&mut self, id: &AttemptId, now: u64) -> bool {
        let Some(held) = self.held.get(id) else { return false };
        let want = held.want.clone();
        let Some(m) = self.machines.get(&want.machine).filter(|m| m.open() && m.session > m.dead_session) else { return false };
        if self.crowded(m) {
            return false;
        }
        // Those who leave already make room for those who wait already.
        let claimed = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Waiting(_)))
            .fold(Room::default(), |s, (_, h)| s.plus(&h.want.need));
        let staying = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
            .fold(Room::default(), |s, (_, h)| s.plus(&h.want.need));
        let mut free = m.room.minus(&claimed.plus(&staying));
        let mut candidates: Vec<(bool, Rank, bool, u64, AttemptId, Room)> = self
            .here(&want.machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
            .filter(|(_, h)| want.evict.allows(&want.team, want.rank, &h.want))
            .map(|(id, h)| (h.want.over, h.want.rank, now > h.since + FRESH_START_MS, h.since, id.clone(), h.want.need))
            .collect();
        candidates.sort_unstable();
        let mut victims = Vec::new();
        while !free.covers(&want.need) {
            let Some((_, _, _, _, victim, room)) = candidates.pop() else { return false };
            free = free.plus(&room);
            victims.push(victim);
        }
        for victim in victims {
            if let Some(h) = self.held.get_mut(&victim) {
                info!(attempt = %victim, machine = %want.machine, part = self.part, by = %id, "pushed out");
                let grace = if want.rank == Rank::Production { 0 } else { h.want.grace };
                h.evicted = Some(grace);
                h.killed_at = None;
            }
            self.judge_one(&victim, now);
        }
        true
    }

    /// True if a task is on the machine that nobody has claimed yet.
    fn crowded(&self, m: &Machine) -> bool {
        m.tasks.iter().any(|(id, seen)| seen.phase != TaskPhase::Exited && !self.held.contains_key(id))
    }

    /// Room not taken by the accepted attempts other than this one.
    fn room_without(&self, machine: &MachineId, id: &AttemptId) -> Room {
        let Some(m) = self.machines.get(machine).filter(|m| !self.crowded(m)) else { return Room::default() };
        let taken = self
            .here(machine)
            .filter(|(other, h)| *other != id && matches!(h.stage, Stage::Accepted { .. }))
            .fold(Room::default(), |sum, (_, h)| sum.plus(&h.want.need));
        m.room.minus(&taken)
    }

    /// Room of the attempts that each priority may push out, without and with
    /// what teams run beyond their guarantees.
    fn soft(&self, machine: &MachineId) -> ([Room; 3], [Room; 3]) {
        let (mut lower, mut over) = ([Room::default(); 3], [Room::default(); 3]);
        for (_, h) in self.here(machine).filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none()) {
            for rank in 0..3 {
                let below = h.want.rank.index() > rank;
                if below && h.want.over {
                    lower[rank] = lower[rank].plus(&h.want.need);
                }
                if below || h.want.over && h.want.rank.index() == rank && h.want.rank != Rank::Production {
                    over[rank] = over[rank].plus(&h.want.need);
                }
            }
        }
        (lower, over)
    }

    /// Counts failures: a machine on which several jobs in a row failed is
    /// not used any more.
    fn note_end(&mut self, machine: &MachineId, id: &AttemptId, standing: Standing) {
        let Some(m) = self.machines.get_mut(machine) else {
            return;
        };
        match standing {
            Standing::Exited(Cause::Error) => {
                m.failures.insert(id.job.clone());
                if m.failures.len() >= QUARANTINE_ERRORS as usize && !m.quarantined {
                    m.quarantined = true;
                    warn!(machine = %machine, "machine fails its tasks; no longer used");
                }
            }
            Standing::Exited(Cause::Done) => m.failures.clear(),
            _ => {}
        }
    }

    /// Room not taken by accepted attempts. Tasks that nobody has claimed yet
    /// have unknown needs, so a machine with such a task has no room.
    fn free(&self, machine: &MachineId) -> Room {
        let Some(m) = self.machines.get(machine).filter(|m| !self.crowded(m)) else { return Room::default() };
        self.here(machine)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. } | Stage::Waiting(_)))
            .fold(m.room, |free, (_, h)| free.minus(&h.want.need))
    }

    fn busy(&self, machine: &MachineId) -> usize {
        let held = self.here(machine).filter(|(_, h)| !matches!(h.stage, Stage::Ended(_))).count();
        let unclaimed = self
            .machines
            .get(machine)
            .map_or(0, |m| m.tasks.iter().filter(|(id, seen)| seen.phase != TaskPhase::Exited && !self.held.contains_key(id)).count());
        held + unclaimed
    }

    /// Images that a machine fetches.
    fn coming(&self, id: &MachineId, m: &Machine) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (_, h) in self.here(id).filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none()) {
            if !names.contains(&h.want.image) && !m.images.iter().any(|(name, _)| *name == h.want.image) {
                names.push(h.want.image.clone());
            }
        }
        names
    }

    /// Pages of the note of what machines have which images that changed since
    /// the last one, if that is old enough; `None`: a page that is no more.
    pub fn images_note(&mut self, now: u64, value_bytes: usize, pages: usize) -> Vec<(usize, Option<ImagesRecord>)> {
        if now < self.noted_at + IMAGES_EVERY_MS {
            return Vec::new();
        }
        self.noted_at = now;
        let mut all = vec![ImagesRecord::default()];
        let mut bytes = 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| !m.images.is_empty()) {
            let names: usize = m.images.iter().map(|(name, _)| name.len() + IMAGE_NAME_BYTES).sum();
            if bytes + names + IMAGE_NOTE_BYTES > value_bytes {
                all.push(ImagesRecord::default());
                bytes = 0;
            }
            let Some(page) = all.last_mut() else { break };
            let mut have = Vec::with_capacity(m.images.len());
            for image in &m.images {
                let at = page.n.iter().position(|i| i == image).unwrap_or_else(|| {
                    bytes += image.0.len() + IMAGE_NAME_BYTES;
                    page.n.push(image.clone());
                    page.n.len() - 1
                });
                have.push(at as u16);
            }
            bytes += id.as_str().len() + IMAGE_MARK_BYTES * (have.len() + 2);
            page.m.push((id.clone(), have));
        }
        let most = all.len().max(self.noted.len());
        let mut changed = Vec::new();
        for page in (0..most).filter(|&p| all.get(p) != self.noted.get(p)).take(pages) {
            changed.push((page, all.get(page).cloned()));
        }
        // What did not fit this transaction is still unlike what is noted.
        for (page, record) in &changed {
            match record {
                Some(record) if *page < self.noted.len() => self.noted[*page] = record.clone(),
                Some(record) => self.noted.push(record.clone()),
                None => self.noted.truncate(*page),
            }
        }
        changed
    }

    /// Takes the note of an earlier owner, page by page.
    pub fn learn_images(&mut self, pages: Vec<ImagesRecord>) {
        for page in &pages {
            for (id, have) in &page.m {
                let images = have.iter().filter_map(|&at| page.n.get(usize::from(at)).cloned()).collect();
                self.earlier.insert(id.clone(), images);
            }
        }
        self.noted = pages;
    }

    fn lasting(&self, machine: &MachineId) -> u16 {
        let count = self.here(machine).filter(|(_, h)| h.want.lasting && !matches!(h.stage, Stage::Ended(_))).count();
        count.min(usize::from(u16::MAX)) as u16
    }

    fn update_idle(&mut self, machine: &MachineId, now: u64) {
        let busy = self.busy(machine);
        if let Some(m) = self.machines.get_mut(machine)
            && m.heard.is_some()
        {
            m.idle_since = if busy > 0 { None } else { m.idle_since.or(Some(now)) };
        }
    }

    /// True once every part has said what it wants of this owner.
    fn all_heard(&self) -> bool {
        self.askers.values().filter(|a| a.complete).count() >= usize::from(self.parts)
    }

    /// The orders that a machine needs now.
    fn orders(&mut self, machine: &MachineId, now: u64, starts: bool, forgets: bool) -> Vec<Order> {
        let all_heard = self.all_heard();
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        let order = |verb, id: &AttemptId, grace_s| Order { verb, piece: id.piece(), attempt: id.attempt, grace_s };
        let mut orders = Vec::new();
        let mut started = Vec::new();
        let mut killed = Vec::new();
        for (id, seen) in &m.tasks {
            match self.held.get(id) {
                Some(h) => {
                    let due = h.killed_at.is_none_or(|at| now >= at + KILL_REPEAT_MS);
                    if let Some(grace) = h.ending()
                        && seen.phase != TaskPhase::Exited
                        && due
                    {
                        // A task that is saving must not be told again with
                        // less grace, which would end it.
                        let grace = if seen.phase == TaskPhase::Saving { grace.max(1) } else { grace };
                        orders.push(order(Verb::Kill, id, Some(grace)));
                        killed.push(id.clone());
                    }
                }
                // Nobody wants it, and everybody has spoken.
                None if seen.phase != TaskPhase::Exited && all_heard => orders.push(order(Verb::Kill, id, Some(0))),
                // Guards against a start that is repeated after its attempt
                // was forgotten, which would run it again.
                None if seen.phase == TaskPhase::Exited && all_heard && forgets && m.settled() => {
                    orders.push(order(Verb::Forget, id, None))
                }
                None => {}
            }
        }
        if starts {
            for (id, h) in self.here(machine) {
                if h.want.go && h.ending().is_none() && matches!(h.stage, Stage::Accepted { seen: false, .. }) && !m.tasks.contains_key(id)
                {
                    orders.push(order(Verb::Launch, id, None));
                    started.push(id.clone());
                }
            }
        }
        let session = m.session;
        for id in started {
            if let Some(h) = self.held.get_mut(&id) {
                h.stage = Stage::Accepted { sent: Some(session), seen: false };
            }
        }
        for id in killed {
            if let Some(h) = self.held.get_mut(&id) {
                h.killed_at = Some(now);
            }
        }
        orders
    }

    /// Calls to workers that are due: only machines that something happened to
    /// are looked at, and those that a call is still owed to.
    pub fn calls(&mut self, now: u64) -> Vec<CommandCall> {
        let mut calls = Vec::new();
        for id in std::mem::take(&mut self.attention) {
            let Some(m) = self.machines.get(&id) else { continue };
            if m.heard.is_none() || m.releasing || m.session <= m.dead_session || m.answered_with_starts.is_some() {
                // The next report brings it back.
                continue;
            }
            if m.calling {
                // So does the end of the call.
                continue;
            }
            if now < m.call_after {
                self.attention.insert(id);
                continue;
            }
            let Some(addr) = m.addr else { continue };
            let fresh = self.fresh(m);
            let orders = if fresh { self.orders(&id, now, true, false) } else { Vec::new() };
            if fresh && orders.is_empty() {
                if self.stops_pending(&id) {
                    self.attention.insert(id);
                }
                continue;
            }
            let base = self.base();
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            m.calling = true;
            calls.push(CommandCall { machine: id.clone(), addr, commands: Commands { token: base + m.fence, session: m.session, orders } });
        }
        calls
    }

    /// True if a task on the machine shall end and has not: it is told again
    /// after a while.
    fn stops_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.tasks.iter().any(|(id, seen)| seen.phase != TaskPhase::Exited && self.held.get(id).is_none_or(|h| h.ending().is_some()))
        })
    }

    /// A call to a worker ended.
    pub fn call_done(&mut self, call: &CommandCall, result: CommandResult, now: u64) {
        let base = self.base();
        let Some(m) = self.machines.get_mut(&call.machine) else {
            return;
        };
        m.calling = false;
        let failed = !matches!(result, CommandResult::Executed(_));
        if failed {
            m.call_after = now + COMMAND_RETRY_MS;
        }
        match result {
            CommandResult::Executed(report) => {
                self.take_report(&report, now, false);
            }
            CommandResult::Refused(report) => {
                self.unsend(call);
                self.take_report(&report, now, false);
            }
            CommandResult::NotSent => self.unsend(call),
            CommandResult::Unknown => {
                // Guards against an order that arrives minutes late: from now
                // on the machine is given a higher token, and until it shows
                // that, nothing is concluded from an absence.
                let sent = call.commands.token;
                m.ambiguous = Some(m.ambiguous.map_or(sent, |t| t.max(sent)));
                m.fence = m.fence.max(sent - base) + 1;
            }
        }
        self.judge(&call.machine, now);
    }

    /// Takes back the notes of starts that were surely not executed.
    fn unsend(&mut self, call: &CommandCall) {
        let ambiguous = self.machines.get(&call.machine).is_some_and(|m| m.ambiguous.is_some());
        if ambiguous {
            return;
        }
        for o in call.commands.orders.iter().filter(|o| o.verb == Verb::Launch) {
            if let Some(id) = AttemptId::parse(&o.piece, o.attempt)
                && let Some(h) = self.held.get_mut(&id)
                && matches!(h.stage, Stage::Accepted { seen: false, .. })
            {
                h.stage = Stage::Accepted { sent: None, seen: false };
            }
        }
    }

    // ---- placers -----------------------------------------------------------

    /// A placer says what it wants; the answer is what it lacks of this part's
    /// state, in `room` bytes.
    pub fn sync(&mut self, sync: &Sync, room: usize, now: u64) -> Result<View, SyncRefusal> {
        if sync.to_token != self.token {
            return Err(SyncRefusal::Token);
        }
        if sync.from >= self.parts {
            return Err(SyncRefusal::Part);
        }
        let asker = self.askers.entry(sync.from).or_default();
        if sync.from_token < asker.token {
            return Err(SyncRefusal::Token);
        }
        // Guards against a held-back message that asks again for an attempt
        // whose end was already answered.
        if sync.from_token == asker.token && sync.seq <= asker.seq {
            return Err(SyncRefusal::Late);
        }
        if sync.from_token > asker.token {
            // Guards against going on from what an earlier placer of that part
            // had told: only a state told from nothing counts for this one.
            asker.at = 0;
            asker.complete = false;
        }
        asker.token = sync.from_token;
        asker.seq = sync.seq;
        asker.have = sync.have.machines;
        for r in &sync.rented {
            self.expect(&r.machine, r, sync.from, now);
        }
        for id in &sync.keep {
            if let Some(m) = self.machines.get_mut(id) {
                m.idle_since = m.idle_since.map(|_| now);
            }
        }
        let wants_at = self.take_wants(sync, now);
        self.dirty.remove(&sync.from);
        let mut view = self.view(sync, room);
        view.wants_at = wants_at;
        Ok(view)
    }

    /// Takes the changes of a placer's wants; tells the state that we now have
    /// of them, 0 if something is missing between.
    fn take_wants(&mut self, sync: &Sync, now: u64) -> u64 {
        let Some(asker) = self.askers.get_mut(&sync.from) else { return 0 };
        match sync.span.follows(asker.at) {
            Some(Follow::Anew) => {
                asker.at = 0;
                asker.complete = false;
                asker.unnamed = asker_attempts(&self.held, sync.from);
            }
            Some(Follow::On) => {}
            None => return 0,
        }
        asker.at = asker.at.max(sync.span.upto);
        for w in &sync.wants {
            asker.unnamed.remove(&w.id);
        }
        let mut over: Vec<AttemptId> = sync.dropped.clone();
        if sync.span.last {
            asker.complete = true;
            over.extend(std::mem::take(&mut asker.unnamed));
        }
        let at = asker.at;
        let mut touched = BTreeSet::new();
        for id in over {
            // Another part's attempts are none of its business.
            if self.held.get(&id).is_some_and(|h| h.from == sync.from) {
                touched.extend(self.let_go(&id));
            }
        }
        for w in &sync.wants {
            if self.held.get(&w.id).is_some_and(|h| h.want.machine != w.machine || h.from != sync.from) {
                warn!(attempt = %w.id, from = sync.from, "an attempt can't change its machine or its part; not taken");
                continue;
            }
            if !self.held.contains_key(&w.id) {
                self.on.entry(w.machine.clone()).or_default().insert(w.id.clone());
                let held = Held { from: sync.from, want: w.clone(), evicted: None, killed_at: None, since: now, stage: Stage::Unjudged };
                self.held.insert(w.id.clone(), held);
            } else if let Some(held) = self.held.get_mut(&w.id) {
                if held.want.kill != w.kill {
                    held.killed_at = None;
                }
                held.want = w.clone();
            }
            touched.insert(w.machine.clone());
            if !self.machines.contains_key(&w.machine) && !self.gone.contains(&w.machine) {
                self.missing.entry(w.machine.clone()).or_insert(now);
            }
        }
        for machine in touched {
            self.judge(&machine, now);
        }
        at
    }

    fn expect(&mut self, id: &MachineId, rented: &Rented, renter: u16, now: u64) {
        if self.gone.contains(id) {
            return;
        }
        let room = self.rooms.get(&rented.kind).copied().unwrap_or_default();
        let m = self.machines.entry(id.clone()).or_insert_with(|| {
            let mut m = Machine::new(&rented.kind, &rented.zone, rented.spot, room, now);
            m.booked = now.saturating_sub(rented.age_ms);
            m
        });
        m.renter = Some(renter);
        self.stale.insert(id.clone());
    }

    /// Brings what is told up to date.
    fn refresh(&mut self) {
        for id in std::mem::take(&mut self.stale) {
            match self.machines.get(&id) {
                Some(m) => {
                    let view = self.machine_view(&id, m);
                    self.views.put(&id, view);
                }
                None => self.views.remove(&id),
            }
            for attempt in self.on.get(&id).into_iter().flatten() {
                let Some(held) = self.held.get(attempt) else { continue };
                if let (Some(standing), Some(asker)) = (self.standing(attempt, held), self.askers.get_mut(&held.from)) {
                    asker.told.put(attempt, standing);
                }
            }
        }
    }

    fn machine_view(&self, id: &MachineId, m: &Machine) -> MachineView {
        let (soft, soft_over) = self.soft(id);
        MachineView {
            id: id.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            up: m.heard.is_some() && self.fresh(m) && m.session > m.dead_session,
            open: m.open(),
            // A machine that fails what it starts may go on with what runs.
            leaving: m.notice,
            free: self.free(id),
            soft,
            soft_over,
            busy: self.busy(id).min(usize::from(u16::MAX)) as u16,
            lasting: self.lasting(id),
            images: m.images.iter().map(|(name, _)| name.clone()).collect(),
            coming: self.coming(id, m),
            renter: m.renter,
        }
    }

    fn standing(&self, id: &AttemptId, held: &Held) -> Option<Standing> {
        Some(match held.stage {
            Stage::Unjudged => return None,
            Stage::Ended(standing) => standing,
            Stage::Waiting(_) => Standing::Accepted,
            Stage::Accepted { .. } => match self.machines.get(&held.want.machine).and_then(|m| m.tasks.get(id)).map(|s| s.phase) {
                Some(TaskPhase::Running | TaskPhase::Saving) => Standing::Running,
                Some(_) => Standing::Preparing,
                None => Standing::Accepted,
            },
        })
    }

    /// What an asker lacks of this part's state. Ends and grants go first: they
    /// are what its tasks wait for.
    fn view(&mut self, sync: &Sync, mut room: usize) -> View {
        self.refresh();
        if self.askers.len() >= usize::from(self.parts) {
            // A placer that comes anew is told all from nothing.
            self.views.forget(self.askers.values().map(|a| a.have).min().unwrap_or(0));
        }
        let told = self.askers.entry(sync.from).or_default();
        let (attempts_span, attempts) = told.told.since(sync.have.attempts, &mut room, |_, _| ATTEMPT_BYTES);
        let attempts = attempts.into_iter().filter_map(|(id, s)| s.map(|&standing| AttemptView { id: id.clone(), standing })).collect();
        let (machines_span, changes) = self.views.since(sync.have.machines, &mut room, |_, m| m.map_or(ATTEMPT_BYTES, written));
        let (mut machines, mut gone) = (Vec::new(), Vec::new());
        for (id, m) in changes {
            match m {
                Some(m) => machines.push(m.clone()),
                None => gone.push(id.clone()),
            }
        }
        View {
            version: PEER_VERSION,
            part: self.part,
            token: self.token,
            seq: sync.seq,
            store_age_ms: u64::MAX,
            wants_at: 0,
            machines_span,
            machines,
            gone,
            attempts_span,
            attempts,
        }
    }

    // ---- cloud -------------------------------------------------------------

    /// A page of the rental list, reduced to this part's machines.
    pub fn listed(&mut self, entries: &[RentalEntry], now: u64) {
        for e in entries {
            if self.gone.contains(&e.id) {
                continue;
            }
            let room = self.rooms.get(&e.kind).copied().unwrap_or_default();
            if !self.machines.contains_key(&e.id) {
                let mut m = Machine::new(&e.kind, &e.zone, e.spot, room, now);
                m.booked = now.saturating_sub((e.age_s * 1000.0) as u64);
                self.machines.insert(e.id.clone(), m);
                self.stale.insert(e.id.clone());
            }
            self.missing.remove(&e.id);
            if e.phase == "failed"
                && let Some(m) = self.machines.get_mut(&e.id)
            {
                m.release_wanted = true;
                self.stale.insert(e.id.clone());
            }
        }
    }

    /// Looks for machines whose time has come; call about every tick.
    pub fn tick(&mut self, now: u64) {
        if now < self.last_tick + TICK_MS {
            return;
        }
        if now.saturating_sub(self.last_tick) > STOOD_STILL_MS {
            // This process stood still: silence meanwhile proves nothing.
            self.silent_floor = now;
        }
        self.last_tick = now;
        self.summarize(now);
        let (dead_after, silent_ms) = (self.timing.dead_after_ms(), self.policy.silent_ms.max(2 * self.timing.report_ms + SILENT_SLACK_MS));
        // A spot machine that is silent was mostly taken without notice. An
        // ordinary one mostly lost its network: its tasks go on until their
        // lease ends, and it may come back with its images, so it is only
        // given back some time after that.
        let floor = self.silent_floor;
        let patience = move |m: &Machine| if m.spot { silent_ms } else { dead_after + 2 * silent_ms };
        let silent = move |m: &Machine, after: u64| m.heard.is_some_and(|at| now > at.max(floor) + after);
        let (silent_count, up_count) =
            self.machines.values().filter(|m| m.heard.is_some()).fold((0, 0), |(s, u), m| (s + usize::from(silent(m, silent_ms)), u + 1));
        // Many silent machines at once mean that this node is cut off, not
        // that all of them died: giving them back would end all their work.
        let mass = silent_count > MASS_SILENT && silent_count * 2 > up_count;
        let base = self.base();
        let mut dead = Vec::new();
        let surplus = self.surplus();
        for (id, m) in &mut self.machines {
            if m.releasing || m.release_wanted {
                continue;
            }
            if silent(m, patience(m)) && !mass {
                info!(machine = %id, part = self.part, "machine is silent; giving it back");
                m.release_wanted = true;
                self.stale.insert(id.clone());
            }
            if m.dead(now, &self.timing) && m.token_seen >= base && m.dead_session < m.session {
                dead.push(id.clone());
            }
            if m.heard.is_none() {
                let patience = (self.boot_ms.get(&m.kind).copied().unwrap_or(BOOT_UNKNOWN_MS) as f64 * self.policy.boot_patience) as u64;
                let since = m.booked.max(self.started.saturating_sub(patience)).max(m.since.saturating_sub(patience));
                if now > since + patience + self.timing.lease_ms {
                    info!(machine = %id, part = self.part, "machine never came up; giving it back");
                    m.release_wanted = true;
                    self.stale.insert(id.clone());
                }
            }
            let restart = self.boot_ms.get(&m.kind).copied().unwrap_or(BOOT_UNKNOWN_MS) + m.fetch_ms(self.fetch.get(&m.kind).copied());
            let lull = if now > self.accepted_at + LULL_MS || surplus.contains(id) { LULL_KEEP } else { 1.0 };
            let keep = (restart as f64 * lull * if m.spot { self.policy.idle_spot } else { self.policy.idle }) as u64;
            if m.idle_since.is_some_and(|at| now > at + keep) || (m.quarantined || m.notice) && m.idle_since.is_some() {
                m.closing = true;
                self.to_close.insert(id.clone());
                self.stale.insert(id.clone());
            }
        }
        for id in dead {
            if let Some(m) = self.machines.get_mut(&id) {
                info!(machine = %id, part = self.part, "lease has run out");
                m.dead_session = m.session;
                m.tasks.clear();
                m.answered_with_starts = None;
            }
            self.judge(&id, now);
        }
        // A machine that somebody counts on and nobody has seen: only the
        // cloud's answer proves that it is gone.
        for (id, since) in &self.missing {
            if now > since + dead_after && !self.machines.contains_key(id) {
                let mut m = Machine::new("", "", false, Room::default(), now);
                m.release_wanted = true;
                self.machines.insert(id.clone(), m);
            }
        }
        let machines = &self.machines;
        self.missing.retain(|id, _| !machines.get(id).is_some_and(|m| m.release_wanted));
    }

    /// Empty machines beyond what a fleet of this size needs at hand, those
    /// that are empty longest: in a large fleet some run empty all the time,
    /// and what is taken up again is a small share of them.
    fn surplus(&self) -> HashSet<MachineId> {
        let mut empty: Vec<(u64, &MachineId)> = self.machines.iter().filter_map(|(id, m)| Some((m.idle_since?, id))).collect();
        let kept = SPARE_MACHINES.max(self.machines.len() / SPARE_MACHINES_OF);
        if empty.len() <= kept {
            return HashSet::new();
        }
        empty.sort_unstable();
        empty.truncate(empty.len() - kept);
        empty.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Says how full the part is, for its operators.
    fn summarize(&mut self, now: u64) {
        if now < self.summed_at + SUMMARY_MS {
            return;
        }
        self.summed_at = now;
        self.refresh();
        let (mut up, mut empty, mut spot, mut free, mut free_in_use) = (0, 0, 0, Room::default(), Room::default());
        for view in self.machines.keys().filter_map(|id| self.views.get(id)).filter(|v| v.up) {
            up += 1;
            empty += usize::from(view.busy == 0);
            spot += usize::from(view.spot);
            free = free.plus(&view.free);
            if view.busy > 0 {
                free_in_use = free_in_use.plus(&view.free);
            }
        }
        let gpus = |room: Room| room.gpus / 1000;
        info!(
            part = self.part,
            machines = self.machines.len(),
            up,
            spot,
            empty,
            attempts = self.held.len(),
            free_gpus = gpus(free),
            free_gpus_in_use = gpus(free_in_use),
            "part in figures"
        );
    }

    /// Machines to give back now, if no release is under way.
    pub fn releases(&mut self) -> Vec<MachineId> {
        if self.releasing || self.last_tick == self.released_tick {
            return Vec::new();
        }
        self.released_tick = self.last_tick;
        let mut names = Vec::new();
        for id in std::mem::take(&mut self.to_close) {
            let empty = self.busy(&id) == 0;
            self.stale.insert(id.clone());
            if let Some(m) = self.machines.get_mut(&id) {
                if empty {
                    info!(machine = %id, part = self.part, "machine is idle; giving it back");
                    m.release_wanted = true;
                } else {
                    m.closing = false;
                }
            }
        }
        for (id, m) in &mut self.machines {
            if m.release_wanted && names.len() < MAX_RELEASE {
                m.releasing = true;
                names.push(id.clone());
            }
        }
        self.releasing = !names.is_empty();
        names
    }

    /// The cloud answered a release, or did not.
    pub fn released(&mut self, names: &[MachineId], done: bool, now: u64) {
        self.releasing = false;
        for id in names {
            if done {
                self.machines.remove(id);
                self.gone.insert(id.clone());
                info!(machine = %id, part = self.part, "machine is gone");
                self.judge(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.releasing = false;
            }
        }
    }
}

/// Attempts of one placer.
fn asker_attempts(held: &HashMap<AttemptId, Held>, from: u16) -> HashSet<AttemptId> {
    held.iter().filter(|(_, h)| h.from == from).map(|(id, _)| id.clone()).collect()
}
