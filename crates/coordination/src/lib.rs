//! Decisions. Events and the time go in, effects come out; nothing here does
//! I/O, so the same code runs in the process and in the model tests.
//!
//! A node holds one [`Part`] by right and others while their home is away.
//! Each part has an owner's side ([`owner`]) and a placer's side ([`placer`]).

pub mod budget;
pub mod changes;
mod evidence;
pub mod fleet;
mod job;
mod machine;
pub mod membership;
pub mod owner;
pub mod placement;
pub mod placer;
pub mod sockets;

use std::collections::{BTreeMap, HashMap};

use tracing::{debug, info, warn};

use crate::evidence::Strays;
use crate::fleet::{Bin, Shortage, plan};
use crate::owner::{CommandCall, CommandResult, Owner, SyncRefusal, Timing};
use crate::placer::{Placer, Promise, Terms, TxnOutcome, TxnVerdict};
use crate::sockets::Shares;
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::{Member, Settings};
use lemonweir_model::{Catalog, JobId, MachineId, Room};
use lemonweir_protocol::cloud::{Rental, RentalEntry};
use lemonweir_protocol::peer::{self, JobNote, Rented, Superseded, Sync, View};
use lemonweir_protocol::state::{Condition, Txn, Write};
use lemonweir_protocol::users::{Phase, team_limit};
use lemonweir_protocol::worker::{Report, ReportReply};
use lemonweir_storage::Mirror;
use lemonweir_storage::mirror::Holder;
use lemonweir_storage::records::{ChunkRecord, ImagesRecord, MailKind, images_key, part_key};

/// What the process has to do. Each names the part and its token, so that an
/// answer to a part that is no longer held is dropped.
#[derive(Debug)]
pub enum Effect {
    /// Make a transaction.
    Txn(Lot, Txn),
    /// Write a hint; its end does not matter.
    Note(Txn),
    /// Call a worker.
    Command(Lot, CommandCall),
    /// Sync with an owner on another node.
    Sync(Lot, Sync),
    /// Send a sync through the store.
    MailSync(Sync),
    /// Answer a sync through the store, to this part.
    MailView(u16, View),
    /// Ask another part's placer to sync with us.
    Nudge(u16),
    /// Rent machines.
    Rent(Lot, Rental),
    /// Give machines back.
    Release(Lot, Vec<MachineId>),
}

/// Counted work and judgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Words of bits and machines that walks looked at.
    pub looked: u64,
    /// Placements refused for want of room.
    pub refused: u64,
    /// Attempts pushed out for others.
    pub pushed_out: u64,
}

/// A part with the token under which something was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lot {
    /// The part.
    pub part: u16,
    /// Its token.
    pub token: u64,
}

/// What to answer to a worker's report.
#[derive(Debug)]
pub enum ReportAnswer {
    /// 200 with orders.
    Orders(ReportReply),
    /// 421: report to this controller.
    Elsewhere(String),
    /// 503.
    Unable,
}

/// How a rental went.
#[derive(Debug)]
pub enum RentResult {
    /// These machines were rented.
    Rented(Vec<MachineId>),
    /// None available.
    NoCapacity,
    /// Ask again, with the same name: it may have been executed.
    Again,
}

#[derive(Clone, Default)]
struct Line {
    last: u64,
    busy: bool,
    dirty: bool,
    /// Direct syncs that failed in a row.
    failures: u32,
    last_direct: u64,
}

struct Part {
    lot: Lot,
    owner: Owner,
    placer: Placer,
    lines: Vec<Line>,
    last_place: u64,
    /// Rentals under way or to be asked for again, and whether a call is out.
    rentals: Vec<(Rental, bool)>,
    rent_after: u64,
    /// Pass of the placer that the last plan was made for.
    planned: u64,
    bookings: u64,
    shortage: Shortage,
    nudged: BTreeMap<u16, u64>,
}

/// Facts that do not change while the process runs.
pub struct Config {
    /// All controllers; the index is the part.
    pub members: Vec<Member>,
    /// Our own index.
    pub me: u16,
    /// Limits of the teams.
    pub limits: HashMap<String, Room>,
    /// Guarantees of the teams; 0: none.
    pub guarantees: HashMap<String, Room>,
    /// Seconds within which tasks of a class should start.
    pub start_within: HashMap<String, f64>,
    /// Seconds within which work within a guarantee should start.
    pub guarantee_within: f64,
    /// Zones.
    pub zones: Vec<String>,
    /// Team names in order.
    pub teams: Vec<String>,
    /// Times of the workers.
    pub timing: Timing,
    /// ms after the last proof of the store's word for which reports may be
    /// answered without a newer one while a node of an earlier format lives.
    pub short_blind_ms: u64,
    /// Bytes that a value in the store may have.
    pub value_bytes: usize,
    /// Time of day at the steady clock's zero, ms.
    pub wall_offset_ms: u64,
    /// Changes a transaction may hold.
    pub txn_ops: usize,
    /// Bytes of changes that a message through the store may hold.
    pub mail_bytes: usize,
    /// Sockets for each kind of traffic.
    pub sockets: Shares,
}

impl Config {
    /// Derives the facts from the settings.
    pub fn new(settings: &Settings) -> Self {
        let members = settings.members();
        let me = members.iter().position(|m| m.host == settings.host_name).unwrap_or(0) as u16;
        let w = &settings.cluster.workers;
        let ms = |s: f64| (s * 1000.0) as u64;
        let objectives = &settings.cluster.objectives;
        let value_bytes = (settings.cluster.state.value_kb * 1024.0) as usize;
        let txn_ops = settings.cluster.state.txn_ops;
        let mut teams: Vec<String> = settings.cluster.teams.iter().map(|t| t.name.clone()).collect();
        teams.sort_unstable();
        Self {
            limits: settings.cluster.teams.iter().map(|t| (t.name.clone(), team_limit(t))).collect(),
            guarantees: settings.cluster.teams.iter().map(|t| (t.name.clone(), Room::offer(t.cpus, t.gpus, 0.0))).collect(),
            start_within: objectives.iter().filter(|o| o.kind == "wait").filter_map(|o| Some((o.class.clone()?, o.within_s?))).collect(),
            guarantee_within: objectives.iter().filter(|o| o.kind == "guarantee").filter_map(|o| o.within_s).fold(f64::MAX, f64::min),
            zones: settings.cluster.zones.clone(),
            teams,
            timing: Timing { lease_ms: ms(w.lease_s), report_ms: ms(w.report_s) },
            // A node of an earlier format tells of a cancellation before its
            // tasks have ended. One told right after our last word from the
            // store must still be carried out in time: whatever we keep alive
            // until then ends with its lease.
            short_blind_ms: ms(w.cancel_s - w.lease_s).saturating_sub(BLIND_MARGIN_MS),
            value_bytes,
            wall_offset_ms: 0,
            txn_ops,
            // Half of what would just fit: the other fields of a message take
            // some, and one change may be larger than another.
            mail_bytes: MAIL_BYTES.min(mail_piece_bytes(value_bytes) * txn_ops / 2),
            sockets: Shares::of(settings.cluster.limits.fd_limit),
            members,
            me,
        }
    }

    /// The part that a machine belongs to: one of its zone's, by its name.
    pub fn part_of(&self, zone: &str, machine: &MachineId) -> u16 {
        let local: Vec<u16> = (0..self.members.len() as u16).filter(|&i| self.members[usize::from(i)].zone == zone).collect();
        let hash = machine.as_str().bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
        match local.len() {
            0 => (hash % self.members.len() as u64) as u16,
            n => local[(hash % n as u64) as usize],
        }
    }

    /// The part that serves a team unless the store says otherwise.
    pub fn default_part(&self, team: &str) -> u16 {
        let at = self.teams.iter().position(|t| t == team).unwrap_or(0);
        (at % self.members.len()) as u16
    }
}

/// Bytes of a peer message that fit one value of the store: base64 makes four
/// bytes of three.
pub fn mail_piece_bytes(value_bytes: usize) -> usize {
    value_bytes.saturating_sub(MAIL_OVERHEAD_BYTES).max(MAIL_OVERHEAD_BYTES) / 4 * 3
}

/// One node's decisions.
pub struct Core {
    /// Facts.
    pub config: Config,
    /// The followed keys.
    pub mirror: Mirror,
    /// Machine types, once known.
    pub catalog: Option<Catalog>,
    policy: Policy,
    parts: BTreeMap<u16, Part>,
    notes: HashMap<JobId, JobNote>,
    /// Machines of parts that others hold which reported here.
    strays: Strays,
    /// Calls to machines under way.
    calls: usize,
    /// When the last successful reading of the store began, ms.
    store_heard: Option<u64>,
    /// When another node surely had word from the store, as far as they say.
    others_heard: Option<u64>,
}

impl Core {
    /// A node without parts.
    pub fn new(config: Config, policy: Policy) -> Self {
        Self {
            strays: Strays::new(&config.timing),
            config,
            mirror: Mirror::default(),
            catalog: None,
            policy,
            parts: BTreeMap::new(),
            notes: HashMap::new(),
            calls: 0,
            store_heard: None,
            others_heard: None,
        }
    }

    // ---- parts -------------------------------------------------------------

    /// Parts held, with their tokens.
    pub fn held(&self) -> Vec<Lot> {
        self.parts.values().map(|p| p.lot).collect()
    }

    /// Takes a part, with its task records.
    pub fn adopt(&mut self, lot: Lot, chunks: &[(JobId, u32, ChunkRecord, u64)], images: Vec<ImagesRecord>, now: u64) {
        let parts = self.config.members.len() as u16;
        let mut owner = Owner::new(lot.part, lot.token, parts, self.config.timing, self.policy.clone(), now);
        owner.learn_images(images);
        if let Some(catalog) = &self.catalog {
            owner.set_types(catalog.values());
        }
        let terms = Terms {
            limits: self.config.limits.clone(),
            guarantees: self.config.guarantees.clone(),
            zones: self.config.zones.clone(),
            txn_ops: self.config.txn_ops,
            spare: self.policy.spare,
        };
        let mut placer = Placer::new(lot.part, lot.token, parts, terms, now);
        if let Some(catalog) = &self.catalog {
            placer.expect(&self.config.start_within, self.config.guarantee_within, catalog);
        }
        for (id, chunk, record, version) in chunks {
            placer.load_chunk(id, *chunk, record, *version);
        }
        info!(part = lot.part, token = lot.token, chunks = chunks.len(), "part taken");
        self.parts.insert(
            lot.part,
            Part {
                lot,
                owner,
                placer,
                lines: vec![Line::default(); usize::from(parts)],
                last_place: 0,
                rentals: Vec::new(),
                rent_after: 0,
                planned: 0,
                bookings: 0,
                shortage: Shortage::default(),
                nudged: BTreeMap::new(),
            },
        );
        // All jobs of its teams, and those of its records that are over.
        let (mirror, config) = (&self.mirror, &self.config);
        if let Some(part) = self.parts.get_mut(&lot.part) {
            let known: Vec<JobId> = part.placer.known().cloned().collect();
            for id in known.iter().filter(|id| !mirror.jobs.contains_key(*id)) {
                part.placer.set_job(id, None, now);
            }
            for (id, job) in mirror.jobs.iter().filter(|(_, j)| Self::team_part(mirror, config, &j.record.spec.team) == lot.part) {
                part.placer.set_job(id, Some(job), now);
            }
        }
    }

    /// Gives a part up.
    pub fn abandon(&mut self, part: u16) {
        if self.parts.remove(&part).is_some() {
            warn!(part, "part given up");
        }
    }

    fn part(&mut self, lot: Lot) -> Option<&mut Part> {
        self.parts.get_mut(&lot.part).filter(|p| p.lot == lot)
    }

    /// Learns the machine types.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        for part in self.parts.values_mut() {
            part.owner.set_types(catalog.values());
            part.placer.expect(&self.config.start_within, self.config.guarantee_within, &catalog);
        }
        self.catalog = Some(catalog);
    }

    /// The mirror was brought up to date by a reading that began at `began`.
    pub fn refreshed(&mut self, began: u64, changed: bool) {
        self.store_heard = Some(began);
        if !changed {
            return;
        }
        let revision = self.mirror.revision.unwrap_or_default();
        let lost: Vec<u16> = self
            .parts
            .values()
            .filter(|p| revision >= p.lot.token && self.mirror.parts.get(&p.lot.part).is_none_or(|h| h.token != p.lot.token))
            .map(|p| p.lot.part)
            .collect();
        for part in lost {
            self.abandon(part);
        }
        self.jobs_changed(began);
    }

    fn team_part(mirror: &Mirror, config: &Config, team: &str) -> u16 {
        mirror.teams.get(team).copied().filter(|&p| usize::from(p) < config.members.len()).unwrap_or_else(|| config.default_part(team))
    }

    fn jobs_changed(&mut self, now: u64) {
        let touched = self.mirror.take_touched();
        let (mirror, config) = (&self.mirror, &self.config);
        for id in touched {
            match mirror.jobs.get(&id) {
                Some(job) => {
                    let index = Self::team_part(mirror, config, &job.record.spec.team);
                    if let Some(part) = self.parts.get_mut(&index) {
                        part.placer.set_job(&id, Some(job), now);
                    }
                }
                None => {
                    self.notes.remove(&id);
                    for part in self.parts.values_mut() {
                        part.placer.set_job(&id, None, now);
                    }
                }
            }
        }
    }

    /// Phase and counts of an unfinished job, as far as this node knows.
    pub fn progress(&self, id: &JobId, now: u64) -> (Phase, u64, u64, String) {
        let own = self.parts.values().find_map(|p| p.placer.job_note(id, now));
        let (done, running, reason) = own
            .or_else(|| self.notes.get(id).map(|n| (u64::from(n.done), u64::from(n.running), n.reason.clone())))
            .unwrap_or_else(|| (0, 0, "its team's controller has not taken it up yet".into()));
        (if running > 0 { Phase::Running } else { Phase::Queued }, done, running, reason)
    }

    // ---- events ------------------------------------------------------------

    /// A worker reported.
    pub fn report(&mut self, report: &Report, now: u64) -> ReportAnswer {
        let index = self.config.part_of(&report.zone, &report.machine);
        let blind = self.blind(now);
        match self.parts.get_mut(&index) {
            Some(_) if blind => ReportAnswer::Unable,
            Some(part) => part.owner.report(report, now).map_or(ReportAnswer::Unable, ReportAnswer::Orders),
            None => match self.mirror.parts.get(&index) {
                Some(holder) if holder.host != self.config.members[usize::from(self.config.me)].host => {
                    // One that is back so soon is not sent to the holder once
                    // more, but tries whoever is next.
                    match self.strays.came(index, &report.machine, now) {
                        true => ReportAnswer::Unable,
                        false => ReportAnswer::Elsewhere(holder.host.clone()),
                    }
                }
                _ => ReportAnswer::Unable,
            },
        }
    }

    /// Too long without word from the store to act for a part.
    fn blind(&self, now: u64) -> bool {
        self.store_heard.is_none_or(|at| now > at + self.blind_ms())
    }

    /// ms after the last word from the store for which reports are answered.
    /// Without it withdrawals may be asked for that we don't see; none is told
    /// to its user before its last attempt is proven over (`Job::finished`), so
    /// what runs on meanwhile breaks no promise.
    fn blind_ms(&self) -> u64 {
        let alike = self.mirror.nodes.values().all(|n| n.format >= PEER_VERSION);
        if alike { self.policy.blind_ms } else { self.config.short_blind_ms.min(self.policy.blind_ms) }
    }

    /// A call to a worker ended.
    pub fn command_done(&mut self, lot: Lot, call: &CommandCall, result: CommandResult, now: u64) {
        self.calls = self.calls.saturating_sub(1);
        if let Some(part) = self.part(lot) {
            part.owner.call_done(call, result, now);
        }
    }

    /// A placer on another node says what it wants.
    pub fn sync_in(&mut self, sync: &Sync, now: u64) -> Result<View, SyncRefusal> {
        // Guards against a controller that the store refuses alone and that
        // goes on answering its workers, while its successor waits for them.
        if let Some(holder) = self.mirror.parts.get(&sync.from).filter(|h| h.token > sync.from_token) {
            let (token, host) = (holder.token, holder.host.clone());
            return Err(SyncRefusal::Superseded(Superseded { version: PEER_VERSION, part: sync.from, token, host }));
        }
        for note in &sync.notes {
            if self.mirror.jobs.contains_key(&note.job) {
                self.notes.insert(note.job.clone(), note.clone());
            }
        }
        self.sync_to(sync, SYNC_BYTES, now)
    }

    fn sync_to(&mut self, sync: &Sync, room: usize, now: u64) -> Result<View, SyncRefusal> {
        self.other_heard(sync.store_age_ms, now);
        let store_age_ms = self.store_age(now);
        let part = self.parts.get_mut(&sync.to).ok_or(SyncRefusal::Token)?;
        part.owner.sync(sync, room, now).map(|view| View { store_age_ms, ..view })
    }

    /// Another node says who holds a part now; if that is ours by an older
    /// token, it is given up, and its workers are sent there.
    pub fn superseded(&mut self, by: Superseded) {
        let known = self.mirror.parts.get(&by.part).map_or(0, |h| h.token);
        if by.token <= known || usize::from(by.part) >= self.config.members.len() {
            return;
        }
        if self.parts.get(&by.part).is_some_and(|p| p.lot.token < by.token) {
            info!(part = by.part, host = by.host, "another controller has taken the part");
            self.abandon(by.part);
        }
        self.mirror.parts.insert(by.part, Holder { host: by.host, token: by.token });
    }

    fn store_age(&self, now: u64) -> u64 {
        self.store_heard.map_or(u64::MAX, |at| now.saturating_sub(at))
    }

    fn other_heard(&mut self, age_ms: u64, now: u64) {
        self.others_heard = self.others_heard.max(now.checked_sub(age_ms));
    }

    /// An owner on another node answered, or did not.
    pub fn sync_done(&mut self, lot: Lot, to: u16, view: Option<View>, now: u64) {
        if let Some(view) = &view {
            self.other_heard(view.store_age_ms, now);
        }
        if let Some(part) = self.part(lot) {
            let line = &mut part.lines[usize::from(to)];
            line.busy = false;
            match view {
                Some(view) => {
                    line.failures = 0;
                    part.placer.take_view(view, now);
                }
                None => {
                    part.placer.lost(to);
                    line.failures += 1;
                    if line.failures == MAIL_AFTER_FAILURES {
                        info!(part = lot.part, to, "no direct way to the owner; syncing through the store");
                    }
                }
            }
        }
    }

    /// Takes peer messages that came through the store. Guards against two
    /// controllers that can't reach each other: without this way a stop order
    /// for a withdrawn job would wait for the end of the cut.
    pub fn take_mail(&mut self, now: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (line, bytes) in self.mirror.take_mail() {
            if !self.parts.contains_key(&line.to) {
                continue;
            }
            match line.kind {
                MailKind::Sync => match peer::read::<Sync>(&bytes) {
                    Ok(sync) if sync.to == line.to => match self.sync_to(&sync, self.config.mail_bytes, now) {
                        Ok(view) => effects.push(Effect::MailView(sync.from, view)),
                        Err(refusal) => debug!(from = sync.from, to = sync.to, %refusal, "mailed sync not taken"),
                    },
                    _ => info!(from = line.from, to = line.to, "mailed sync not understood"),
                },
                MailKind::View => match (peer::read::<View>(&bytes), self.parts.get_mut(&line.to)) {
                    (Ok(view), Some(part)) => {
                        part.placer.take_view(view, now);
                    }
                    _ => info!(from = line.from, to = line.to, "mailed view not understood"),
                },
            }
        }
        effects
    }

    /// An owner on another node has news for one of our parts.
    pub fn nudged(&mut self, part: u16, from: u16) {
        if let Some(line) = self.parts.get_mut(&part).and_then(|p| p.lines.get_mut(usize::from(from))) {
            line.dirty = true;
        }
    }

    /// A transaction ended; keys of ours that met other versions have been read
    /// again. Tells whether the part is lost.
    pub fn txn_done(&mut self, lot: Lot, outcome: TxnOutcome, now: u64) -> TxnVerdict {
        let Some(part) = self.part(lot) else {
            return TxnVerdict::Fine;
        };
        let (verdict, ends) = part.placer.txn_done(outcome, now);
        for (id, phase) in ends {
            self.mirror.settle(&id, phase);
        }
        if verdict == TxnVerdict::Lost {
            self.abandon(lot.part);
        }
        verdict
    }

    /// A key of ours was read again.
    pub fn reread(&mut self, lot: Lot, job: &JobId, chunk: u32, version: u64) {
        if let Some(part) = self.part(lot) {
            part.placer.reread(job, chunk, version);
        }
    }

    /// A rental ended.
    pub fn rented(&mut self, lot: Lot, rental: &Rental, result: RentResult, now: u64) {
        let place = |id: &MachineId| self.config.part_of(&rental.zone, id);
        let promises: Vec<Promise> = match &result {
            RentResult::Rented(machines) => machines
                .iter()
                .map(|id| Promise {
                    part: place(id),
                    at: now,
                    rented: Rented {
                        machine: id.clone(),
                        kind: rental.kind.clone(),
                        zone: rental.zone.clone(),
                        spot: rental.spot,
                        age_ms: 0,
                    },
                })
                .collect(),
            _ => Vec::new(),
        };
        let Some(part) = self.part(lot) else { return };
        let under_way = part.rentals.iter().position(|(r, _)| r.booking == rental.booking);
        if let Some(i) = under_way {
            match &result {
                RentResult::Again => part.rentals[i].1 = false,
                _ => drop(part.rentals.remove(i)),
            }
        }
        match result {
            RentResult::Rented(machines) => {
                info!(
                    part = lot.part,
                    count = machines.len(),
                    asked = rental.count,
                    kind = rental.kind,
                    zone = rental.zone,
                    spot = rental.spot,
                    "machines rented"
                );
                if (machines.len() as u32) < rental.count {
                    part.shortage.note(rental, now);
                }
                for p in promises {
                    part.lines[usize::from(p.part)].dirty = true;
                    part.placer.promises.push(p);
                }
            }
            RentResult::NoCapacity => {
                info!(part = lot.part, kind = rental.kind, zone = rental.zone, spot = rental.spot, "no capacity");
                part.shortage.note(rental, now);
            }
            RentResult::Again => part.rent_after = now + CLOUD_TROUBLE_MS,
        }
    }

    /// A release ended.
    pub fn released(&mut self, lot: Lot, machines: &[MachineId], done: bool, now: u64) {
        if let Some(part) = self.part(lot) {
            part.owner.released(machines, done, now);
        }
    }

    /// The rental list was read.
    pub fn listed(&mut self, entries: &[RentalEntry], now: u64) {
        let mut by_part: BTreeMap<u16, Vec<RentalEntry>> = BTreeMap::new();
        for e in entries {
            by_part.entry(self.config.part_of(&e.zone, &e.id)).or_default().push(e.clone());
        }
        for (index, part) in &mut self.parts {
            part.owner.listed(by_part.get(index).map_or(&[], Vec::as_slice), now);
        }
    }

    /// True when this node knows enough to take requests. One that the store
    /// refuses alone leaves them to the others; in an outage for all, each goes
    /// on telling users when to come back.
    pub fn ready(&self, now: u64) -> bool {
        // Guards against all nodes leaving users to each other when the store
        // fails for all: the others' word must be newer by more than the
        // moments by which readings differ.
        let alone = self.others_heard.is_some_and(|others| {
            now <= others + UNREADY_MS + COPY_REFRESH_MS && self.store_heard.is_none_or(|own| others > own + UNREADY_MS)
        });
        self.mirror.revision.is_some() && self.catalog.is_some() && !alone
    }

    /// True if an owner is told through the store: news of it come that way too.
    pub fn mailing(&self) -> bool {
        self.parts.values().any(|p| p.lines.iter().any(|l| l.failures >= MAIL_AFTER_FAILURES))
    }

    /// True if something only waits for one of the short gaps to pass.
    pub fn hurried(&self, now: u64) -> bool {
        self.parts
            .values()
            .any(|p| p.placer.wants_pass(now) || p.lines.iter().any(|l| l.dirty && !l.busy && l.failures < MAIL_AFTER_FAILURES))
    }

    /// Work and judgements of the parts held, counted since each was taken;
    /// less after a part was given up.
    pub fn tally(&self) -> Tally {
        self.parts.values().fold(Tally::default(), |sum, part| {
            let (refused, pushed_out) = part.owner.judged();
            Tally { looked: sum.looked + part.placer.looked(), refused: sum.refused + refused, pushed_out: sum.pushed_out + pushed_out }
        })
    }

    // ---- the pump ----------------------------------------------------------

    /// Does all that is due and returns what the process has to do. Call it
    /// after every event and at every tick.
    pub fn pump(&mut self, now: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        // A sync within this node may give a placer something to do at once.
        for _ in 0..3 {
            if !self.pump_once(now, &mut effects) {
                break;
            }
        }
        effects
    }

    fn pump_once(&mut self, now: u64, effects: &mut Vec<Effect>) -> bool {
        let mut again = false;
        let blind = self.blind(now);
        let word = self.store_heard.unwrap_or(0);
        let indices: Vec<u16> = self.parts.keys().copied().collect();
        for &index in &indices {
            let Some(part) = self.parts.get_mut(&index) else {
                continue;
            };
            let lot = part.lot;
            part.owner.tick(now, word);
            let pages = part.owner.images_note(now, self.config.value_bytes, self.config.txn_ops);
            if !pages.is_empty() {
                let owned = Condition { key: part_key(index), version: lot.token };
                let write = |(page, record): (usize, Option<ImagesRecord>)| match record {
                    Some(record) => Write::put(images_key(index, page), &record),
                    None => Write::Delete { key: images_key(index, page) },
                };
                effects.push(Effect::Note(Txn { conditions: vec![owned], writes: pages.into_iter().map(write).collect() }));
            }
            // Guards against a start by an owner that has been blind for so long
            // that its successor may infer the end of all it kept alive.
            if !blind {
                let calls = part.owner.calls(now, self.config.sockets.orders.saturating_sub(self.calls));
                self.calls += calls.len();
                effects.extend(calls.into_iter().map(|c| Effect::Command(lot, c)));
            }
            let names = part.owner.releases();
            if !names.is_empty() {
                effects.push(Effect::Release(lot, names));
            }
            for asker in part.owner.take_dirty() {
                match self.parts.get_mut(&asker) {
                    Some(p) => p.lines[usize::from(index)].dirty = true,
                    None => {
                        if let Some(p) = self.parts.get_mut(&index) {
                            p.nudged.entry(asker).or_insert(now);
                        }
                    }
                }
            }
        }
        for &index in &indices {
            let Some(part) = self.parts.get_mut(&index) else {
                continue;
            };
            let lot = part.lot;
            let nudges: Vec<u16> = part.nudged.keys().copied().collect();
            part.nudged.clear();
            effects.extend(nudges.into_iter().map(Effect::Nudge));
            if part.placer.wants_pass(now) && now >= part.last_place + PLACE_GAP_MS {
                part.last_place = now;
                part.placer.place(now);
            }
            part.placer.consolidate(now, now + self.config.wall_offset_ms);
            if let Some(txn) = part.placer.next_txn(now) {
                effects.push(Effect::Txn(lot, txn));
            }
            self.pump_rent(index, now, effects);
            again |= self.pump_syncs(index, now, effects);
        }
        again
    }

    /// True if a part that we hold had better be held by a node that hears its
    /// machines.
    pub fn deaf(&self, part: u16, now: u64) -> bool {
        self.parts.get(&part).is_some_and(|p| p.owner.deaf(now))
    }

    fn pump_syncs(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) -> bool {
        let mut again = false;
        let age = self.store_age(now);
        for to in 0..self.config.members.len() as u16 {
            if self.parts.contains_key(&to) {
                self.strays.forget(to);
            }
            let strays = self.strays.any(to, now);
            let Some(holder) = self.mirror.parts.get(&to) else {
                continue;
            };
            let local = self.parts.get(&to).map(|p| p.lot.token);
            let Some(part) = self.parts.get_mut(&index) else {
                return again;
            };
            let token = local.unwrap_or(holder.token);
            let line = &mut part.lines[usize::from(to)];
            line.dirty |= part.placer.unsent(to, token);
            let mail = local.is_none() && line.failures >= MAIL_AFTER_FAILURES;
            part.placer.by_mail(to, mail);
            let gap = if mail { MAIL_GAP_MS } else { SYNC_GAP_MS };
            let due = now >= line.last + COPY_REFRESH_MS
                || line.dirty && now >= line.last + gap
                || strays && now >= line.last + gap.max(STRAYS_GAP_MS);
            let direct = !mail || !line.busy && now >= line.last_direct + DIRECT_RETRY_MS;
            if !due || line.busy && !mail {
                continue;
            }
            line.last = now;
            line.dirty = false;
            let by_mail = local.is_none() && !direct;
            let room = if by_mail { self.config.mail_bytes } else { SYNC_BYTES };
            // Notes are for answers of other nodes; what is told anyway carries
            // them, and the regular refresh.
            let sync = part.placer.sync_for(to, token, room, local.is_none() && !by_mail, now);
            if local.is_none() {
                let sync = Sync { store_age_ms: age, strays: self.strays.count(to, now), ..sync };
                if direct {
                    line.busy = true;
                    line.last_direct = now;
                    effects.push(Effect::Sync(part.lot, sync));
                } else {
                    effects.push(Effect::MailSync(sync));
                }
                continue;
            }
            let view = self.parts.get_mut(&to).and_then(|p| p.owner.sync(&sync, SYNC_BYTES, now).ok());
            if let (Some(view), Some(part)) = (view, self.parts.get_mut(&index)) {
                again |= part.placer.take_view(view, now);
            }
        }
        again
    }

    fn pump_rent(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let Some(catalog) = &self.catalog else { return };
        let Some(part) = self.parts.get_mut(&index) else {
            return;
        };
        if now < part.rent_after {
            return;
        }
        if part.planned < part.placer.passes && part.rentals.len() < RENTALS_AT_ONCE {
            part.planned = part.placer.passes;
            for (kind, zone, spot, count) in part.plan(index, catalog, now) {
                let same = |r: &Rental| r.kind == kind && r.zone == zone && r.spot == spot;
                if part.rentals.len() >= RENTALS_AT_ONCE || part.rentals.iter().any(|(r, _)| same(r)) {
                    continue;
                }
                part.bookings += 1;
                // The part's token never comes again, so the name is never reused.
                let booking = format!("r-{}-{}-{}", index, part.lot.token, part.bookings);
                part.rentals.push((Rental { booking, kind, zone, spot, count }, false));
            }
        }
        for (rental, busy) in part.rentals.iter_mut().filter(|(_, busy)| !busy) {
            *busy = true;
            effects.push(Effect::Rent(part.lot, rental.clone()));
        }
    }
}

impl Part {
    /// What to rent for what the placer lacks, beyond what boots already or is
    /// asked for.
    fn plan(&self, index: u16, catalog: &Catalog, now: u64) -> Vec<(String, String, bool, u32)> {
        if self.placer.lacking.is_empty() {
            return Vec::new();
        }
        // What boots in a zone out of sight can't be heard; what is there
        // already is waited for by those who may run nowhere else.
        let hidden = self.placer.hidden_zones();
        let bin = |kind: &str, zone: &str, spot: bool| {
            let free = catalog.get(kind).map(|t| t.room).unwrap_or_default();
            Bin { kind: kind.to_owned(), zone: zone.to_owned(), spot, free }
        };
        let mut zones: BTreeMap<String, usize> = BTreeMap::new();
        let mut bins: Vec<Bin> = Vec::new();
        for m in self.placer.machines() {
            match zones.get_mut(&m.zone) {
                Some(n) => *n += 1,
                None => drop(zones.insert(m.zone.clone(), 1)),
            }
            if !m.up && (m.open || hidden.contains(m.zone.as_str())) && m.renter.is_none_or(|r| r == index) {
                bins.push(bin(&m.kind, &m.zone, m.spot));
            }
        }
        bins.extend(self.placer.promises.iter().map(|p| bin(&p.rented.kind, &p.rented.zone, p.rented.spot)));
        for (r, _) in &self.rentals {
            bins.extend((0..r.count).map(|_| bin(&r.kind, &r.zone, r.spot)));
        }
        plan(&self.placer.lacking, &bins, &zones, &hidden, catalog, &self.shortage, now)
    }
}
