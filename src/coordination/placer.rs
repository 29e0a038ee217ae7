//! The placer's side of a part: its teams' jobs, their recorded attempts, and
//! where the next ones go.
//!
//! Every attempt is written to the state service before its owner hears of it,
//! and stays in what this placer wants until its end has been written too.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::constants::*;
use crate::coordination::changes::ChangeLog;
use crate::coordination::fleet::Demand;
use crate::coordination::job::{Chunk, Ending, Job, Live};
use crate::coordination::placement::{Ask, Field, Image};
use crate::model::{AttemptId, Catalog, JobId, JobSpec, MachineId, MachineType, Rank, Room, Shape};
use crate::protocol::peer::{Cause, Evict, Follow, Have, JobNote, Rented, Standing, Sync, View, Want, written};
use crate::protocol::state::{Condition, Txn, Write};
use crate::protocol::users::Phase;
use crate::storage::mirror::MirroredJob;
use crate::storage::records::{ChunkRecord, EndRecord, JobRecord, end_key, job_key, part_key, run_key};

/// What passes between this placer and one owner.
#[derive(Default)]
struct Link {
    /// Token of the owner that `wants` are told to.
    to_token: u64,
    /// Number of the last message.
    seq: u64,
    /// Every recorded attempt on the owner's machines.
    wants: ChangeLog<AttemptId, Want>,
    /// State of the wants that was sent, and that the owner has.
    sent: u64,
    acked: u64,
    /// State of the notes that was sent, and that the owner's node has.
    notes_sent: u64,
    notes_acked: u64,
    /// Token of the owner that told us its state, the number of the newest
    /// answer, and the states that we have.
    token: u64,
    got: u64,
    have: Have,
    /// It is told through the store.
    by_mail: bool,
}

/// A transaction under way, with what it writes.
struct Pending {
    chunks: Vec<(JobId, u32, u64, bool)>,
    ends: Vec<(JobId, u64)>,
}

/// What a transaction's end means for the part.
#[derive(Debug, PartialEq, Eq)]
pub enum TxnVerdict {
    /// Go on.
    Fine,
    /// The part is no longer ours.
    Lost,
}

/// How a transaction ended.
#[derive(Debug)]
pub enum TxnOutcome {
    /// Made, at this revision.
    Done(u64),
    /// Not made: these keys had another version.
    Conflict(Vec<String>),
    /// Not made, or not known: try again.
    Again,
}

/// A machine rented by this placer that no view has shown yet.
#[derive(Clone, Debug)]
pub struct Promise {
    /// What it is.
    pub rented: Rented,
    /// Its part.
    pub part: u16,
    /// When it was rented, ms.
    pub at: u64,
}

/// What a placer is told when it starts.
pub struct Terms {
    /// Limits of the teams.
    pub limits: HashMap<String, Room>,
    /// Guarantees of the teams.
    pub guarantees: HashMap<String, Room>,
    /// Zones.
    pub zones: Vec<String>,
    /// Changes a transaction may hold.
    pub txn_ops: usize,
    /// Share of the expected work that room is kept for.
    pub spare: f64,
}

/// Where a job stands in its team's queue: priority, then age.
type Place = (Rank, u64, JobId);

/// The placer of a part.
pub struct Placer {
    part: u16,
    token: u64,
    jobs: BTreeMap<JobId, Job>,
    links: Vec<Link>,
    /// The machines of all parts, as far as their owners told.
    fields: Vec<Field>,
    /// Live attempts on each machine, and those that no view has shown yet.
    on: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
    unseen: HashMap<MachineId, BTreeSet<(JobId, u32)>>,
    /// What each team's attempts take.
    usage: HashMap<String, Room>,
    /// Jobs with a task to place, and with a live attempt, by team.
    queues: BTreeMap<String, BTreeSet<Place>>,
    running: BTreeMap<String, BTreeSet<Place>>,
    /// Jobs that wait for a time.
    asleep: BTreeSet<(u64, JobId)>,
    /// Jobs whose wants or notes may have changed.
    changed: BTreeSet<JobId>,
    /// Teams whose use of their guarantee may have changed.
    regauge: BTreeSet<String>,
    /// Jobs with something to write, and since when.
    unsaved: BTreeMap<JobId, u64>,
    notes: ChangeLog<JobId, (u32, u32, &'static str)>,
    limits: HashMap<String, Room>,
    guarantees: HashMap<String, Room>,
    /// Seconds within which tasks of a class should start.
    start_within: HashMap<String, f64>,
    /// Seconds within which work within a guarantee should start.
    guarantee_within: f64,
    /// Starts awaited by their users that came of late.
    arrivals: VecDeque<(u64, Arc<JobRecord>)>,
    /// Empty machines that work to come would take.
    keep: Vec<MachineId>,
    /// What that work lacks, and when that was last looked at.
    spare_lacking: Vec<Demand>,
    spare_at: u64,
    /// Share of the expected work that room is kept for.
    spare: f64,
    /// How many times a spot machine an ordinary one costs, within bounds.
    spot_discount: f64,
    boot_ms: u64,
    started: u64,
    /// Usual fetch rate.
    fetch_gb_per_s: f64,
    turn: usize,
    pending: Option<Pending>,
    /// Machines rented that are not in any view yet.
    pub promises: Vec<Promise>,
    /// What found no room in the last pass.
    pub lacking: Vec<Demand>,
    /// Passes made: what lacks is worth a new plan after one.
    pub passes: u64,
    txn_ops: usize,
    zones: Vec<String>,
    place_again: bool,
    lacked_at: u64,
    placed_at: u64,
    moved_at: u64,
    others_turn: u16,
}

impl Placer {
    /// A placer that has just got its part.
    pub fn new(part: u16, token: u64, parts: u16, terms: Terms, now: u64) -> Self {
        let Terms { limits, guarantees, zones, txn_ops, spare } = terms;
        Self {
            part,
            token,
            jobs: BTreeMap::new(),
            links: (0..parts).map(|_| Link::default()).collect(),
            fields: (0..parts).map(|_| Field::for_walker(usize::from(part), usize::from(parts))).collect(),
            on: HashMap::new(),
            unseen: HashMap::new(),
            usage: HashMap::new(),
            queues: BTreeMap::new(),
            running: BTreeMap::new(),
            asleep: BTreeSet::new(),
            changed: BTreeSet::new(),
            regauge: BTreeSet::new(),
            unsaved: BTreeMap::new(),
            notes: ChangeLog::default(),
            limits,
            guarantees,
            start_within: HashMap::new(),
            guarantee_within: f64::MAX,
            arrivals: VecDeque::new(),
            keep: Vec::new(),
            spare_lacking: Vec::new(),
            spare_at: 0,
            spare,
            spot_discount: 1.0,
            boot_ms: 0,
            started: now,
            fetch_gb_per_s: f64::MAX,
            turn: 0,
            pending: None,
            promises: Vec::new(),
            lacking: Vec::new(),
            passes: 0,
            txn_ops,
            zones,
            place_again: false,
            lacked_at: 0,
            placed_at: 0,
            moved_at: 0,
            others_turn: part,
        }
    }

    /// Learns what is expected of starts, and how fast images come.
    pub fn expect(&mut self, start_within: &HashMap<String, f64>, guarantee_within: f64, catalog: &Catalog) {
        self.start_within.clone_from(start_within);
        self.guarantee_within = guarantee_within;
        let discount = |t: &MachineType| if t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
        self.spot_discount = catalog.values().map(discount).fold(1.0, f64::max).min(SPARE_DISCOUNT_MOST);
        self.boot_ms = catalog.values().map(|t| (t.boot_s * 1000.0) as u64).max().unwrap_or(0);
        self.fetch_gb_per_s = catalog.values().map(|t| t.fetch_gb_per_s).fold(0.0, f64::max);
    }

    // ---- records -----------------------------------------------------------

    /// Loads one chunk of a task record, as an earlier owner left it.
    pub fn load_chunk(&mut self, id: &JobId, chunk: u32, record: &ChunkRecord, version: u64) {
        let job = self.jobs.entry(id.clone()).or_insert_with(Job::empty);
        job.team = record.team.clone();
        job.need = record.need;
        job.next = job.next.max(record.next);
        let (first, end) = (chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS);
        job.chunks.insert(chunk, Chunk { version, ..Chunk::default() });
        for &(a, b) in &record.done {
            for task in a.max(first)..=b.min(end - 1) {
                job.set_done(task);
            }
        }
        let parts = self.links.len();
        for l in record.live.iter().filter(|l| (first..end).contains(&l.t) && usize::from(l.p) < parts) {
            let live = Live {
                attempt: l.a,
                machine: l.m.clone(),
                part: l.p,
                zone: l.z.clone(),
                change: 0,
                standing: None,
                kill: None,
                evict: Evict::Nobody,
                since: 0,
                over: true,
            };
            self.enter(id, l.t, live);
        }
        self.settle(id, 0);
    }

    // ---- indexes -----------------------------------------------------------

    /// Notes a live attempt wherever it counts.
    fn enter(&mut self, id: &JobId, task: u32, live: Live) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let sum = self.usage.entry(job.team.clone()).or_default();
        *sum = sum.plus(&job.need);
        self.on.entry(live.machine.clone()).or_default().insert((id.clone(), task));
        self.unseen.entry(live.machine.clone()).or_default().insert((id.clone(), task));
        self.regauge.insert(job.team.clone());
        // It begins as beyond the guarantee.
        job.over_alike = job.over_alike.filter(|&over| over);
        job.live.insert(task, live);
    }

    /// Takes a live attempt out.
    fn leave(&mut self, id: &JobId, task: u32) -> Option<Live> {
        let job = self.jobs.get_mut(id)?;
        let live = job.live.remove(&task)?;
        let sum = self.usage.entry(job.team.clone()).or_default();
        *sum = sum.minus(&job.need);
        self.regauge.insert(job.team.clone());
        if let Some(here) = self.on.get_mut(&live.machine) {
            here.remove(&(id.clone(), task));
            if here.is_empty() {
                self.on.remove(&live.machine);
            }
        }
        self.saw(&live.machine, live.part, id, task);
        Some(live)
    }

    /// A view has shown an attempt: from now on the machine's own figures
    /// count it.
    fn saw(&mut self, machine: &MachineId, part: u16, id: &JobId, task: u32) {
        let Some(here) = self.unseen.get_mut(machine) else { return };
        if here.remove(&(id.clone(), task)) {
            if here.is_empty() {
                self.unseen.remove(machine);
            }
            self.retake(machine, part);
        }
    }

    /// What a machine's owner told, less what no view has shown yet.
    fn retake(&mut self, machine: &MachineId, part: u16) {
        let Some(field) = self.fields.get_mut(usize::from(part)) else { return };
        let Some(i) = field.find(machine) else { return };
        field.restore(i);
        for (id, _) in self.unseen.get(machine).into_iter().flatten() {
            if let Some(job) = self.jobs.get(id) {
                field.take(i, &job.need, job.spec().map_or("", |s| s.image.as_str()));
            }
        }
    }

    /// Brings the indexes up to date after a job changed.
    fn settle(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.over {
            job.clear_chunks();
        }
        self.changed.insert(id.clone());
        let place: Place = (job.rank(), job.at(), id.clone());
        if let Some((queue, rank, at)) = job.placed.take() {
            let old: Place = (rank, at, id.clone());
            if queue != job.team || old != place {
                for index in [&mut self.queues, &mut self.running] {
                    drop_place(index, &queue, &old);
                }
            }
        }
        if job.placeable() && job.not_before == 0 {
            self.queues.entry(job.team.clone()).or_default().insert(place.clone());
        } else {
            drop_place(&mut self.queues, &job.team, &place);
        }
        if job.live.is_empty() {
            drop_place(&mut self.running, &job.team, &place);
        } else {
            self.running.entry(job.team.clone()).or_default().insert(place);
        }
        job.placed = Some((job.team.clone(), job.rank(), job.at()));
        if job.not_before > 0 {
            self.asleep.insert((job.not_before, id.clone()));
        }
        let to_write = job.chunks.values().any(Chunk::unsaved) || job.complete() && !job.over && job.refused_end != Some(job.version);
        if to_write {
            self.unsaved.entry(id.clone()).or_insert(now);
        } else {
            self.unsaved.remove(id);
        }
        if job.vanished() {
            drop_place(&mut self.queues, &job.team, &(job.rank(), job.at(), id.clone()));
            drop_place(&mut self.running, &job.team, &(job.rank(), job.at(), id.clone()));
            self.unsaved.remove(id);
            self.changed.remove(id);
            for (part, attempt) in std::mem::take(&mut job.told) {
                self.links[usize::from(part)].wants.remove(&attempt);
            }
            self.notes.erase(id);
            self.jobs.remove(id);
        }
    }

    /// A key of ours was read again after a conflict.
    pub fn reread(&mut self, id: &JobId, chunk: u32, version: u64) {
        if let Some(c) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.version = version;
        }
    }

    /// Jobs that this placer knows.
    pub fn known(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Takes what the followed keys say of a job of this part's teams; `None`:
    /// it is over.
    pub fn set_job(&mut self, id: &JobId, mirrored: Option<&MirroredJob>, now: u64) {
        match mirrored {
            Some(m) => {
                let job = self.jobs.entry(id.clone()).or_insert_with(Job::empty);
                if job.record.is_some() && job.version == m.version {
                    return;
                }
                let spec = &m.record.spec;
                let news = job.record.is_none() && job.chunks.is_empty() && now > self.started + SETTLE_MS;
                let guaranteed = self.guarantee_within < f64::MAX && within(&spec.need(), self.guarantees.get(&spec.team));
                if news && (self.start_within.contains_key(&spec.class) || guaranteed) {
                    self.arrivals.push_back((now, m.record.clone()));
                }
                job.team = spec.team.clone();
                job.need = spec.need();
                job.tasks = spec.tasks.min(u64::from(u32::MAX)) as u32;
                job.version = m.version;
                job.record = Some(m.record.clone());
                job.over = false;
                job.reason = "not looked at yet";
                self.regauge.insert(spec.team.clone());
                self.place_again = true;
            }
            None => {
                let Some(job) = self.jobs.get_mut(id) else { return };
                if !job.over {
                    info!(job = %id, part = self.part, live = job.live.len(), "job is over");
                    job.over = true;
                }
            }
        }
        self.settle(id, now);
    }

    /// The next transaction, if none is under way and something is due. Starts
    /// go first, by priority, then ends of jobs; what only records that
    /// attempts ended waits for company, so that one writing of a chunk tells
    /// of many: nothing depends on it but a successor's start.
    pub fn next_txn(&mut self, now: u64) -> Option<Txn> {
        if self.pending.is_some() || self.unsaved.is_empty() {
            return None;
        }
        let mut due: Vec<(u8, Rank, u64, &JobId)> = Vec::new();
        for (id, &since) in &self.unsaved {
            let Some(job) = self.jobs.get(id) else { continue };
            let class = if !job.over && job.chunks.values().any(|c| c.saved < c.start) {
                0
            } else if job.complete() && !job.over {
                1
            } else if now >= since + END_LAG_MS {
                2
            } else {
                continue;
            };
            due.push((class, job.rank(), since, id));
        }
        if due.is_empty() {
            return None;
        }
        due.sort_unstable();
        let mut txn = Txn { conditions: vec![Condition { key: part_key(self.part), version: self.token }], writes: Vec::new() };
        let mut pending = Pending { chunks: Vec::new(), ends: Vec::new() };
        let mut bytes = 0;
        'jobs: for (_, _, _, id) in due {
            let Some(job) = self.jobs.get(id) else { continue };
            if job.complete() && !job.over && job.refused_end != Some(job.version) {
                if txn.writes.len() + 2 > self.txn_ops {
                    break;
                }
                txn.conditions.push(Condition { key: job_key(id), version: job.version });
                txn.writes.push(Write::Delete { key: job_key(id) });
                txn.writes.push(Write::put(end_key(id), &EndRecord { phase: Phase::Done }));
                pending.ends.push((id.clone(), job.version));
                // Its chunks go once the job is over; no need to write them.
                continue;
            }
            for (&index, chunk) in job.chunks.iter().filter(|(_, c)| c.unsaved()) {
                if txn.writes.len() + 1 > self.txn_ops || bytes > TXN_BYTES {
                    break 'jobs;
                }
                let record = job.chunk_record(index);
                let empty = job.over && record.live.is_empty();
                if empty && chunk.version == 0 {
                    pending.chunks.push((id.clone(), index, chunk.change, true));
                    continue;
                }
                let key = run_key(self.part, id, index);
                txn.conditions.push(Condition { key: key.clone(), version: chunk.version });
                if empty {
                    txn.writes.push(Write::Delete { key });
                } else {
                    bytes += RECORD_BYTES + record.live.len() * LIVE_BYTES + record.done.len() * RANGE_BYTES;
                    txn.writes.push(Write::put(key, &record));
                }
                pending.chunks.push((id.clone(), index, chunk.change, empty));
            }
        }
        if txn.writes.is_empty() {
            // Nothing to write: what was to be removed was never there.
            self.apply_saved(&pending, 0, now);
            return None;
        }
        self.pending = Some(pending);
        Some(txn)
    }

    fn apply_saved(&mut self, pending: &Pending, revision: u64, now: u64) {
        for (id, index, change, removed) in &pending.chunks {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if let Some(chunk) = job.chunks.get_mut(index) {
                chunk.saved = *change;
                chunk.version = if *removed { 0 } else { revision };
            }
            let chunks = &job.chunks;
            job.ending.retain(|e| chunks.get(&(e.id.task / CHUNK_TASKS)).is_some_and(|c| c.saved < e.change));
            self.unsaved.remove(id);
            self.settle(id, now);
        }
    }

    /// A transaction ended. Returns the jobs whose end is now written.
    pub fn txn_done(&mut self, outcome: TxnOutcome, now: u64) -> (TxnVerdict, Vec<JobId>) {
        let Some(pending) = self.pending.take() else {
            return (TxnVerdict::Fine, Vec::new());
        };
        match outcome {
            TxnOutcome::Done(revision) => {
                self.apply_saved(&pending, revision, now);
                let ends: Vec<JobId> = pending.ends.into_iter().map(|(id, _)| id).collect();
                for id in &ends {
                    if let Some(job) = self.jobs.get_mut(id) {
                        info!(job = %id, part = self.part, "job is done");
                        job.over = true;
                        let indices: Vec<u32> = job.chunks.keys().copied().collect();
                        for index in indices {
                            job.touch(index * CHUNK_TASKS);
                        }
                    }
                    self.unsaved.remove(id);
                    self.settle(id, now);
                }
                (TxnVerdict::Fine, ends)
            }
            TxnOutcome::Conflict(keys) if keys.contains(&part_key(self.part)) => (TxnVerdict::Lost, Vec::new()),
            TxnOutcome::Conflict(keys) => {
                for (id, version) in pending.ends {
                    if keys.contains(&job_key(&id)) {
                        if let Some(job) = self.jobs.get_mut(&id) {
                            job.refused_end = Some(version);
                        }
                        self.settle(&id, now);
                    }
                }
                (TxnVerdict::Fine, Vec::new())
            }
            TxnOutcome::Again => (TxnVerdict::Fine, Vec::new()),
        }
    }

    // ---- owners ------------------------------------------------------------

    /// Notes what changed in what the owners are told.
    fn flush(&mut self) {
        for team in std::mem::take(&mut self.regauge) {
            self.gauge(&team);
        }
        for id in std::mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let wants = wants_of(&id, job);
            let told: HashSet<&AttemptId> = wants.iter().map(|(_, w)| &w.id).collect();
            for (part, attempt) in &job.told {
                if !told.contains(attempt) {
                    self.links[usize::from(*part)].wants.remove(attempt);
                }
            }
            job.told = wants.iter().map(|(part, w)| (*part, w.id.clone())).collect();
            for (part, want) in wants {
                self.links[usize::from(part)].wants.put(&want.id.clone(), want);
            }
            if job.over {
                self.notes.erase(&id);
            } else {
                let (running, reason) = job.progress();
                self.notes.put(&id, (job.done_count, running, reason));
            }
        }
    }

    /// Marks what a team runs beyond its guarantee: the guarantee goes to the
    /// highest priority first, then to the oldest.
    fn gauge(&mut self, team: &str) {
        // Without a guarantee all is beyond it, as each attempt begins.
        let Some(guarantee) = self.guarantees.get(team).filter(|g| g.cpus > 0 || g.gpus > 0) else { return };
        let guarantee = Some(guarantee);
        let mut sum = Room::default();
        for (_, _, id) in self.running.get(team).into_iter().flatten() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            // Most jobs are within it or beyond it as a whole, as before.
            let whole = sum.plus(&job.need.times(job.live.len() as u64));
            let alike = if within(&whole, guarantee) { Some(false) } else { (!within(&sum.plus(&job.need), guarantee)).then_some(true) };
            if alike.is_some() && alike == job.over_alike {
                sum = whole;
                continue;
            }
            job.over_alike = alike;
            for live in job.live.values_mut() {
                sum = sum.plus(&job.need);
                let over = !within(&sum, guarantee);
                if live.over != over {
                    live.over = over;
                    self.changed.insert(id.clone());
                }
            }
        }
    }

    /// True if an owner with this token has not been sent all that is wanted.
    pub fn unsent(&mut self, to: u16, to_token: u64) -> bool {
        self.flush();
        let link = &self.links[usize::from(to)];
        link.to_token != to_token || link.wants.last() > link.sent
    }

    /// Notes whether an owner is told through the store.
    pub fn by_mail(&mut self, to: u16, by_mail: bool) {
        self.links[usize::from(to)].by_mail = by_mail;
    }

    /// Notes that the last message to an owner was lost.
    pub fn lost(&mut self, to: u16) {
        let link = &mut self.links[usize::from(to)];
        link.sent = link.acked;
        link.notes_sent = link.notes_acked;
    }

    /// What an owner has to be told, in `room` bytes. Notes are for answers at
    /// other nodes only, and go where there is room for them.
    pub fn sync_for(&mut self, to: u16, to_token: u64, mut room: usize, notes: bool, now: u64) -> Sync {
        self.flush();
        let link = &mut self.links[usize::from(to)];
        if link.to_token != to_token {
            (link.to_token, link.acked, link.notes_acked) = (to_token, 0, 0);
        }
        link.seq += 1;
        let (span, changes) = link.wants.since(link.acked, &mut room, |_, w| w.map_or(ATTEMPT_BYTES, written));
        link.sent = span.upto;
        let (mut wants, mut dropped) = (Vec::new(), Vec::new());
        for (id, want) in changes {
            match want {
                Some(want) => wants.push(want.clone()),
                None => dropped.push(id.clone()),
            }
        }
        let mut told = Vec::new();
        if notes {
            let (span, changes) = self.notes.since(link.notes_acked, &mut room, |_, _| NOTE_BYTES);
            link.notes_sent = span.upto;
            told = changes
                .into_iter()
                .filter_map(|(job, note)| {
                    note.map(|&(done, running, reason)| JobNote { job: job.clone(), done, running, reason: reason.to_owned() })
                })
                .collect();
        }
        let rented = self
            .promises
            .iter()
            .filter(|p| p.part == to)
            .map(|p| Rented { age_ms: now.saturating_sub(p.at), ..p.rented.clone() })
            .collect();
        let field = &self.fields[usize::from(to)];
        Sync {
            version: PEER_VERSION,
            from: self.part,
            from_token: self.token,
            to,
            to_token,
            seq: link.seq,
            store_age_ms: u64::MAX,
            span,
            wants,
            dropped,
            have: if link.token == to_token { link.have } else { Have::default() },
            rented,
            keep: self.keep.iter().filter(|m| field.find(m).is_some()).cloned().collect(),
            notes: told,
        }
    }

    /// An owner answered; true if something changed that placing should see.
    pub fn take_view(&mut self, view: View, now: u64) -> bool {
        let Some(link) = self.links.get_mut(usize::from(view.part)) else {
            return false;
        };
        if view.token < link.token || view.token == link.token && view.seq <= link.got {
            return false;
        }
        if view.seq > link.seq || view.token == link.to_token && view.wants_at > link.wants.last() {
            warn!(part = self.part, from = view.part, "a view with numbers that were never given; not taken");
            return false;
        }
        if view.token > link.token {
            (link.token, link.have) = (view.token, Have::default());
        }
        link.got = view.seq;
        if view.token == link.to_token {
            // An owner that has less than it once said starts from nothing.
            link.acked = if view.wants_at < link.acked { 0 } else { view.wants_at };
            link.wants.forget(link.acked);
            link.notes_acked = link.notes_acked.max(link.notes_sent);
            if link.acked == 0 {
                link.sent = 0;
            }
        }
        let machines = view.machines_span.follows(link.have.machines);
        let attempts = view.attempts_span.follows(link.have.attempts);
        if attempts.is_some() {
            link.have.attempts = view.attempts_span.upto;
        }
        if machines.is_some() {
            link.have.machines = view.machines_span.upto;
        }
        if attempts.is_some() {
            for a in &view.attempts {
                self.moved_on(&a.id, a.standing, view.part, now);
            }
        }
        let part = view.part;
        let news = !view.machines.is_empty() || !view.gone.is_empty() || !view.attempts.is_empty();
        match machines {
            Some(Follow::Anew) => self.fields[usize::from(part)] = Field::for_walker(usize::from(self.part), self.fields.len()),
            Some(Follow::On) => {}
            None => return news,
        }
        for id in &view.gone {
            self.fields[usize::from(part)].remove(id);
        }
        for m in view.machines {
            let (id, leaving) = (m.id.clone(), m.leaving);
            self.fields[usize::from(part)].set(m);
            self.retake(&id, part);
            if leaving {
                self.empty(&id, part, now);
            }
        }
        let field = &self.fields[usize::from(part)];
        self.promises.retain(|p| p.part != part || field.find(&p.rented.machine).is_none());
        self.place_again |= news;
        news
    }

    /// An attempt stands differently.
    fn moved_on(&mut self, id: &AttemptId, standing: Standing, part: u16, now: u64) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(live) = job.live.get_mut(&id.task).filter(|l| l.attempt == id.attempt && l.part == part) else { return };
        if live.standing == Some(standing) {
            return;
        }
        debug!(attempt = %id, machine = %live.machine, ?standing, "attempt moved on");
        let first = live.standing.is_none();
        live.standing = Some(standing);
        let machine = live.machine.clone();
        job.ran |= standing == Standing::Running;
        if standing.ended() {
            self.attempt_over(id, standing, now);
            self.settle(&id.job, now);
        } else {
            if first {
                self.saw(&machine, part, &id.job, id.task);
            }
            self.changed.insert(id.job.clone());
        }
    }

    /// The tasks of a machine that leaves are moved, with a save; the tasks of
    /// a gang all of them.
    fn empty(&mut self, machine: &MachineId, part: u16, now: u64) {
        let ids: BTreeSet<JobId> = self.on.get(machine).into_iter().flatten().map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.over) else { continue };
            let Some(grace) = job.spec().map(JobSpec::grace_s) else { continue };
            let gang = job.is(Shape::Gang);
            for l in job.live.values_mut().filter(|l| gang || l.part == part && &l.machine == machine) {
                l.kill.get_or_insert(grace);
            }
            self.settle(&id, now);
        }
    }

    fn attempt_over(&mut self, id: &AttemptId, standing: Standing, now: u64) {
        let Some(live) = self.leave(&id.job, id.task) else { return };
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let change = job.touch(id.task);
        job.ending.push(Ending { id: id.clone(), machine: live.machine.clone(), part: live.part, change });
        job.wait_again(id.task);
        let gang = job.is(Shape::Gang);
        let service = job.lasting();
        match standing {
            Standing::Exited(Cause::Done) if !service => {
                job.failures = 0;
                if gang {
                    // The tasks of a gang complete together.
                    for task in 0..job.tasks {
                        job.mark_done(task);
                    }
                } else {
                    job.mark_done(id.task);
                }
                return;
            }
            Standing::Exited(Cause::Error) => {
                job.failures += 1;
                warn!(attempt = %id, machine = %live.machine, failures = job.failures, "attempt failed");
                if !job.avoid.contains(&live.machine) {
                    job.avoid.push(live.machine.clone());
                }
                if job.avoid.len() > AVOID_MOST {
                    job.avoid.remove(0);
                }
                // One failure is mostly the machine's fault; more are the job's.
                if job.failures > 1 {
                    let wait = (ERROR_BACKOFF_MS << job.failures.min(10)).min(ERROR_BACKOFF_MAX_MS);
                    job.not_before = now + wait;
                    job.reason = "its tasks failed; it is tried again after a pause";
                }
            }
            Standing::Refused => job.not_before = now + REFUSED_PAUSE_MS,
            Standing::Exited(Cause::NoRoom | Cause::InUse | Cause::Unknown | Cause::Alone) => job.not_before = now + START_REFUSED_PAUSE_MS,
            _ => {}
        }
        if gang && !job.over {
            // Without one task the rest can't go on: they stop, and the gang
            // starts anew once all of them are gone.
            let grace = job.spec().map(JobSpec::grace_s).unwrap_or(0);
            for l in job.live.values_mut() {
                l.kill.get_or_insert(grace);
            }
        }
    }

    // ---- placing -----------------------------------------------------------

    /// True if a placing pass may find something to do.
    pub fn wants_pass(&self, now: u64) -> bool {
        self.place_again || self.asleep.first().is_some_and(|(at, _)| now >= *at)
    }

    /// Walks the team queues in turn and places what fits; what does not is
    /// left in `lacking`.
    pub fn place(&mut self, now: u64) {
        self.place_again = false;
        self.passes += 1;
        while let Some((at, id)) = self.asleep.first().filter(|(at, _)| now >= *at).cloned() {
            self.asleep.remove(&(at, id.clone()));
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| now >= j.not_before) {
                job.not_before = 0;
                self.settle(&id, now);
            }
        }
        let mut queues: Vec<std::vec::IntoIter<JobId>> =
            self.queues.values().map(|q| q.iter().map(|(_, _, id)| id.clone()).collect::<Vec<_>>().into_iter()).collect();
        let mut lacking = Vec::new();
        let mut asked: HashMap<String, Room> = HashMap::new();
        let mut failed: HashSet<u64> = HashSet::new();
        let mut current: Vec<Option<JobId>> = queues.iter_mut().map(Iterator::next).collect();
        let n = queues.len();
        let mut at = if n > 0 { self.turn % n } else { 0 };
        self.turn = self.turn.wrapping_add(1);
        while current.iter().any(Option::is_some) {
            if let Some(id) = current[at].clone() {
                let placed = self.place_next(&id, &mut failed, now);
                if !placed {
                    self.note_lack(&id, &mut asked, &mut lacking);
                    current[at] = queues[at].next();
                }
            }
            at = (at + 1) % n.max(1);
        }
        if !lacking.is_empty() {
            self.lacked_at = now;
        }
        if now >= self.spare_at + SPARE_EVERY_MS {
            self.spare_at = now;
            self.spare_lacking = self.add_spare(now);
        }
        lacking.extend(self.spare_lacking.iter().cloned());
        self.lacking = lacking;
    }

    /// Tasks of a job whose starts are awaited: those that fit its team's
    /// guarantee, or all of them where the class itself is awaited.
    fn awaited(&self, spec: &JobSpec) -> u64 {
        if self.start_within.contains_key(&spec.class) {
            return spec.tasks;
        }
        let guarantee = self.guarantees.get(&spec.team);
        (1..=spec.tasks.min(u64::from(CHUNK_TASKS))).take_while(|&n| within(&spec.need().times(n), guarantee)).last().unwrap_or(0)
    }

    /// Counts the work that is expected to come while a machine boots, for
    /// classes whose starts are awaited: empty machines that it would take are
    /// kept, and what finds no room is asked for like waiting work.
    fn add_spare(&mut self, now: u64) -> Vec<Demand> {
        let mut lacking = Vec::new();
        while self.arrivals.front().is_some_and(|(at, _)| now > at + ARRIVALS_MS) {
            self.arrivals.pop_front();
        }
        self.keep.clear();
        let seen_ms = now.saturating_sub(self.started + SETTLE_MS).clamp(1, ARRIVALS_MS);
        if self.spare <= 0.0 || seen_ms < ARRIVALS_MS / 3 {
            return lacking;
        }
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        let mut groups: BTreeMap<(Room, bool), (f64, Arc<JobRecord>)> = BTreeMap::new();
        for (_, record) in &self.arrivals {
            let spec = &record.spec;
            let restart_ms = self.boot_ms as f64 + spec.image_gb / self.fetch_gb_per_s * 1000.0;
            // Room that costs less is kept for more.
            let share = if spec.spot { self.spare * self.spot_discount } else { self.spare };
            let expected = self.awaited(spec) as f64 * restart_ms / seen_ms as f64 * share;
            groups.entry((spec.need(), spec.spot)).or_insert_with(|| (0.0, record.clone())).0 += expected;
        }
        // As many as a fleet of this size can be expected to need at once.
        let most = SPARE_MOST.max(self.machines().count() as u32 / SPARE_FLEET);
        // The largest first: what is left of whole machines is of no use to them.
        for (expected, record) in groups.into_values().rev() {
            let spec = &record.spec;
            let need = spec.need();
            let mut count = 0;
            for _ in 0..(expected.round() as u32).min(most) {
                let ask = Ask {
                    need,
                    types: spec.types.as_deref(),
                    zones: None,
                    spot: spec.spot,
                    lasting: false,
                    image: &spec.image,
                    avoid: &[],
                };
                let found = self.fields.iter().enumerate().find_map(|(p, field)| {
                    let fit = field.first_fit(&ask, Image::Anywhere).or_else(|| field.evict_fit(&ask, spec.rank, false, false));
                    fit.map(|i| (p, i))
                });
                let Some((p, i)) = found else {
                    count += 1;
                    continue;
                };
                let field = &mut self.fields[p];
                if field.slots[i].busy == 0 {
                    self.keep.push(field.slots[i].id.clone());
                }
                field.take(i, &need, &spec.image);
                taken.push((field.slots[i].id.clone(), p as u16));
            }
            if count > 0 {
                let zone = spec.zone.clone();
                lacking.push(Demand {
                    team: spec.team.clone(),
                    need,
                    types: spec.types.clone(),
                    zone,
                    spot: spec.spot,
                    count,
                    one_zone: false,
                    only_spot: spec.spot,
                });
            }
        }
        // Only counted, not taken.
        for (machine, part) in taken {
            self.retake(&machine, part);
        }
        lacking
    }

    /// Moves the replicas of one machine to others in use, if all of them fit
    /// there and nothing has lacked room for a while: the machine can then be
    /// given back. A replica that moves is down for as long as a stop and a
    /// start take, so this is done one machine at a time.
    ///
    /// Placers take turns by the time of day, so that two of them don't count
    /// on the same room: a replica that then finds none waits for an image.
    pub fn consolidate(&mut self, now: u64, time_of_day: u64) {
        let turn = time_of_day / MOVE_GAP_MS % self.links.len() as u64;
        let settled = time_of_day % MOVE_GAP_MS < MOVE_GAP_MS / 2;
        if turn != u64::from(self.part)
            || !settled
            || now < self.lacked_at.max(self.placed_at) + QUIET_MS
            || now < self.moved_at + MOVE_GAP_MS
        {
            return;
        }
        // Look again soon, but not at every event: the look walks everything.
        self.moved_at = (now + COPY_REFRESH_MS).saturating_sub(MOVE_GAP_MS);
        let moving =
            |job: &Job| job.lasting() && !job.over && job.live.values().any(|l| l.kill.is_some() || l.standing != Some(Standing::Running));
        if self.jobs.values().any(moving) {
            return;
        }
        let mut candidates: Vec<(u32, MachineId)> = Vec::new();
        for slot in self.fields.iter().flat_map(|f| &f.slots) {
            let Some(tasks) = self.on.get(&slot.id) else { continue };
            let settled = tasks.iter().all(|(id, t)| {
                let Some(job) = self.jobs.get(id) else { return false };
                job.lasting() && !job.over && job.live.get(t).is_some_and(|l| now >= l.since + STAY_MS)
            });
            if settled && tasks.len() as u32 == slot.busy {
                candidates.push((slot.busy, slot.id.clone()));
            }
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)));
        // Those with most tasks are the least likely to fit elsewhere.
        candidates.truncate(MOVE_TRIES);
        let replicas: usize = self.jobs.values().filter(|j| j.lasting() && !j.over).map(|j| j.live.len()).sum();
        let mut left = (replicas as f64 * MOVE_SHARE) as u32;
        let mut leaving: Vec<MachineId> = Vec::new();
        let mut taken: Vec<(MachineId, u16)> = Vec::new();
        for (busy, machine) in candidates {
            // One machine at least, however few replicas there are.
            if !leaving.is_empty() && busy > left || taken.iter().any(|(m, _)| *m == machine) {
                continue;
            }
            leaving.push(machine);
            if self.fit_elsewhere(&leaving, &mut taken) {
                left = left.saturating_sub(busy);
            } else {
                leaving.pop();
            }
        }
        for (machine, part) in taken {
            self.retake(&machine, part);
        }
        for machine in leaving {
            self.moved_at = now;
            info!(machine = %machine, part = self.part, "moving its replicas together with others");
            self.clear_of_replicas(&machine, now);
        }
    }

    fn clear_of_replicas(&mut self, machine: &MachineId, now: u64) {
        let tasks = self.on.get(machine).cloned().unwrap_or_default();
        for (id, task) in tasks {
            if let Some(job) = self.jobs.get_mut(&id) {
                if let Some(l) = job.live.get_mut(&task) {
                    l.kill = Some(0);
                }
                if !job.avoid.contains(machine) {
                    job.avoid.push(machine.clone());
                    if job.avoid.len() > AVOID_MOST {
                        job.avoid.remove(0);
                    }
                }
            }
            self.settle(&id, now);
        }
    }

    /// True if the replicas of the last of the machines that are to leave fit
    /// on others in use; notes where, and takes the room there.
    fn fit_elsewhere(&mut self, leaving: &[MachineId], taken: &mut Vec<(MachineId, u16)>) -> bool {
        let tasks = leaving.last().and_then(|m| self.on.get(m)).cloned().unwrap_or_default();
        let before = taken.len();
        for (id, task) in tasks {
            let Some((job, spec)) = self.jobs.get(&id).and_then(|j| j.spec().map(|s| (j, s))) else { return false };
            let per_zone = job.per_zone(Some(task));
            let (need, image) = (job.need, spec.image.clone());
            let zones = allowed_zones(spec, None, &per_zone, job.tasks, &self.fields);
            let ask = Ask { need, types: spec.types.as_deref(), zones, spot: spec.spot, lasting: true, image: &image, avoid: leaving };
            let mut found = self.fields.iter().enumerate().filter_map(|(p, f)| f.fit_in_use(&ask).map(|i| (p, i)));
            // Guards against others taking that room meanwhile: another place
            // must be left, or the replica would wait for a fetch.
            let place = found.next().filter(|&(p, i)| found.next().is_some() || self.fields[p].fits_besides(&ask, i));
            let Some((p, i)) = place else {
                for (machine, part) in taken.drain(before..) {
                    self.retake(&machine, part);
                }
                return false;
            };
            self.fields[p].take(i, &need, &image);
            taken.push((self.fields[p].slots[i].id.clone(), p as u16));
        }
        true
    }

    /// Notes what a job lacks, within what its team may still take.
    fn note_lack(&self, id: &JobId, asked: &mut HashMap<String, Room>, lacking: &mut Vec<Demand>) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(spec) = job.spec() else { return };
        let limit = self.limits.get(&job.team).copied().unwrap_or(NO_LIMIT);
        let already = asked.get(&job.team).copied().unwrap_or_default();
        let used = self.usage.get(&job.team).copied().unwrap_or_default().plus(&already);
        let waiting = u64::from(job.waiting()).min(DEMAND_MOST);
        let left = limit.minus(&used);
        let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let most = ratio(left.cpus, job.need.cpus).min(ratio(left.gpus, job.need.gpus));
        let count = if spec.shape == Shape::Array {
            waiting.min(most)
        } else if waiting <= most {
            waiting
        } else {
            0
        };
        if count == 0 {
            return;
        }
        asked.insert(job.team.clone(), already.plus(&job.need.times(count)));
        let demand = Demand {
            team: job.team.clone(),
            need: job.need,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
            count: count as u32,
            one_zone: spec.one_zone,
            only_spot: false,
        };
        if !spec.spread || job.tasks == 1 || spec.zone.is_some() {
            lacking.push(demand);
            return;
        }
        // A scattered job lacks room zone by zone: machines that boot in one
        // zone are of no use to the tasks that must be in another.
        let most = job.tasks.div_ceil(2);
        let mut left: BTreeMap<&String, u32> =
            self.zones.iter().map(|z| (z, most.saturating_sub(job.live.values().filter(|l| &l.zone == z).count() as u32))).collect();
        let mut shares: BTreeMap<&String, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some((zone, room)) = left.iter_mut().max_by_key(|(_, room)| **room).filter(|(_, room)| **room > 0) else { break };
            *room -= 1;
            *shares.entry(zone).or_default() += 1;
        }
        lacking.extend(shares.into_iter().map(|(zone, count)| Demand { zone: Some(zone.clone()), count, ..demand.clone() }));
    }

    /// Places the next unit of a job: a task, or a whole gang.
    fn place_next(&mut self, id: &JobId, failed: &mut HashSet<u64>, now: u64) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let Some(record) = job.record.clone() else {
            return false;
        };
        let spec = &record.spec;
        let Some(first) = job.next_waiting() else {
            return false;
        };
        let tasks: Vec<u32> =
            if spec.shape == Shape::Gang { (first..job.tasks).filter(|t| !job.is_done(*t)).collect() } else { vec![first] };
        let limit = self.limits.get(&job.team).copied().unwrap_or(NO_LIMIT);
        let used = self.usage.get(&job.team).copied().unwrap_or_default();
        let after = used.plus(&job.need.times(tasks.len() as u64));
        if !limit.covers(&Room { memory: 0, ..after }) {
            job.reason = "its team is at its limit";
            return false;
        }
        let guaranteed = within(&after, self.guarantees.get(&job.team));
        let evict = if guaranteed { Evict::LowerAndOver } else { Evict::Lower };
        let soon = self.start_within.get(&spec.class).copied().unwrap_or(f64::MAX);
        let soon = if guaranteed { soon.min(self.guarantee_within) } else { soon };
        // A replica that was up is down while it fetches.
        let too_slow = spec.image_gb * FETCH_SPREAD > soon * self.fetch_gb_per_s || spec.shape == Shape::Service && job.ran;
        // Jobs that ask the same found no room a moment ago.
        let shape = {
            let mut hasher = DefaultHasher::new();
            (job.need, &spec.types, &spec.zone, spec.spot, spec.spread && job.tasks > 1, tasks.len()).hash(&mut hasher);
            (&job.avoid, spec.rank as u8, guaranteed, spec.one_zone && tasks.len() > 1).hash(&mut hasher);
            hasher.finish()
        };
        if failed.contains(&shape) {
            job.reason = "no machine has room; more are asked for";
            return false;
        }
        let order: Vec<usize> = {
            let n = self.fields.len() as u16;
            let mut order = vec![usize::from(self.part)];
            order.extend((1..=n).map(|k| usize::from((self.others_turn + k) % n)).filter(|&p| p != usize::from(self.part)));
            // An owner that is told through the store starts a task a second
            // or two later than others.
            order.sort_by_key(|&p| self.links[p].by_mail);
            order
        };
        let mut zone_sets: Vec<Option<String>> = vec![None];
        if spec.one_zone && tasks.len() + job.live.len() > 1 {
            let present: BTreeSet<String> = job.live.values().map(|l| l.zone.clone()).collect();
            let all: BTreeSet<String> = self.fields.iter().flat_map(Field::zones).map(str::to_owned).collect();
            zone_sets = if present.is_empty() { all.into_iter().map(Some).collect() } else { present.into_iter().map(Some).collect() };
        }
        let (job_tasks, ran) = (job.tasks, job.ran);
        let (need, avoid) = (job.need, job.avoid.clone());
        let counts = if spec.spread { job.per_zone(None) } else { HashMap::new() };
        for zone in zone_sets {
            let mut chosen: Vec<(u32, usize, usize, Evict, bool)> = Vec::new();
            let mut per_zone = counts.clone();
            for &task in &tasks {
                let zones = allowed_zones(spec, zone.as_deref(), &per_zone, job_tasks, &self.fields);
                let ask = Ask {
                    need,
                    types: spec.types.as_deref(),
                    zones,
                    spot: spec.spot,
                    lasting: spec.shape == Shape::Service,
                    image: &spec.image,
                    avoid: &avoid,
                };
                // Fairness has no work while room exists; without room, lower
                // priorities make way, and what others run beyond their
                // guarantee does for a team within its own. Room without the
                // image counts as none if the fetch alone takes too long.
                let fields = &self.fields;
                let room = |image| order.iter().find_map(|&p| fields[p].first_fit(&ask, image).map(|i| (p, i, Evict::Nobody)));
                let pushed = |with_image| {
                    order.iter().find_map(|&p| fields[p].evict_fit(&ask, spec.rank, guaranteed, with_image).map(|i| (p, i, evict)))
                };
                let found = room(Image::Here)
                    .or_else(|| if too_slow { pushed(true) } else { None })
                    .or_else(|| room(Image::Coming))
                    .or_else(|| room(Image::Anywhere))
                    .or_else(|| pushed(false));
                let Some((p, i, evict)) = found else { break };
                let field = &mut self.fields[p];
                let warm = field.has_image(i, &spec.image);
                field.take(i, &need, &spec.image);
                if spec.spread {
                    *per_zone.entry(field.slots[i].zone.clone()).or_default() += 1;
                }
                chosen.push((task, p, i, evict, warm));
            }
            if chosen.len() < tasks.len() {
                for (_, p, i, _, _) in chosen {
                    let machine = self.fields[p].slots[i].id.clone();
                    self.retake(&machine, p as u16);
                }
                continue;
            }
            let Some(job) = self.jobs.get_mut(id) else { return false };
            let attempt = job.next;
            job.next += 1;
            for (task, p, i, evict, warm) in chosen {
                let slot = &self.fields[p].slots[i];
                if p != usize::from(self.part) {
                    self.others_turn = p as u16;
                }
                let Some(job) = self.jobs.get_mut(id) else { return false };
                let change = job.touch(task);
                if let Some(chunk) = job.chunks.get_mut(&(task / CHUNK_TASKS)) {
                    chunk.start = change;
                }
                info!(job = %id, task, attempt, machine = %slot.id, part = p, warm, ?evict, "placed");
                let live = Live {
                    attempt,
                    machine: slot.id.clone(),
                    part: p as u16,
                    zone: slot.zone.clone(),
                    change,
                    standing: None,
                    kill: None,
                    evict,
                    since: now,
                    over: true,
                };
                self.enter(id, task, live);
            }
            // A replica that was only moved is no sign of new work.
            if !(spec.shape == Shape::Service && ran) {
                self.placed_at = now;
            }
            self.settle(id, now);
            return true;
        }
        let Some(job) = self.jobs.get_mut(id) else { return false };
        job.reason = "no machine has room; more are asked for";
        failed.insert(shape);
        false
    }

    /// Machines of all parts, as they were told.
    pub fn machines(&self) -> impl Iterator<Item = &crate::protocol::peer::MachineView> {
        self.fields.iter().flat_map(Field::machines)
    }

    /// The counts of one job, if it is this part's.
    pub fn job_note(&self, id: &JobId) -> Option<(u64, u64, String)> {
        let job = self.jobs.get(id).filter(|j| !j.over)?;
        let (running, reason) = job.progress();
        Some((u64::from(job.done_count), u64::from(running), reason.to_owned()))
    }
}

fn drop_place(index: &mut BTreeMap<String, BTreeSet<Place>>, team: &str, place: &Place) {
    if let Some(queue) = index.get_mut(team) {
        queue.remove(place);
        if queue.is_empty() {
            index.remove(team);
        }
    }
}

/// What the owners are told of a job, with the part that each is for.
fn wants_of(id: &JobId, job: &Job) -> Vec<(u16, Want)> {
    let image = job.spec().map(|s| s.image.clone()).unwrap_or_default();
    let grace = job.spec().map_or(0, JobSpec::way_grace_s);
    let image_mb = job.spec().map_or(0, |s| (s.image_gb * 1000.0).ceil() as u64);
    let gang = job.is(Shape::Gang) && job.tasks > 1;
    let go = !gang || job.live.len() as u32 == job.tasks - job.done_count.min(job.tasks) && job.live.values().all(|l| l.standing.is_some());
    let want = |id: AttemptId, machine: &MachineId| Want {
        id,
        machine: machine.clone(),
        need: job.need,
        image: image.clone(),
        image_mb,
        go: false,
        kill: Some(0),
        team: job.team.clone(),
        rank: job.rank(),
        over: true,
        grace: 0,
        lasting: false,
        evict: Evict::Nobody,
    };
    let mut wants = Vec::new();
    for (&task, l) in job.live.iter().filter(|(t, l)| job.recorded(**t, l)) {
        let id = AttemptId { job: id.clone(), task, attempt: l.attempt };
        let kill = if job.over { Some(0) } else { l.kill };
        let want = Want { go, kill, over: l.over, grace, lasting: job.lasting(), evict: l.evict, ..want(id, &l.machine) };
        wants.push((l.part, want));
    }
    wants.extend(job.ending.iter().map(|e| (e.part, want(e.id.clone(), &e.machine))));
    wants
}

/// What a team that has no limit may take.
const NO_LIMIT: Room = Room { cpus: u64::MAX, gpus: u64::MAX, memory: u64::MAX };

/// True if a use is within a guarantee; one that names nothing holds nothing.
fn within(used: &Room, guarantee: Option<&Room>) -> bool {
    let Some(g) = guarantee.filter(|g| g.cpus > 0 || g.gpus > 0) else { return false };
    (g.cpus == 0 || used.cpus <= g.cpus) && (g.gpus == 0 || used.gpus <= g.gpus)
}

/// Zones in which a job's next task may start, given its other tasks.
fn allowed_zones<'a>(
    spec: &'a JobSpec,
    forced: Option<&'a str>,
    per_zone: &HashMap<String, u32>,
    tasks: u32,
    fields: &'a [Field],
) -> Option<Vec<&'a str>> {
    let mut zones: Option<Vec<&str>> = match (forced, &spec.zone) {
        (Some(f), Some(z)) if f != z => return Some(Vec::new()),
        (Some(f), _) => Some(vec![f]),
        (None, Some(z)) => Some(vec![z.as_str()]),
        (None, None) => None,
    };
    if spec.spread && tasks > 1 {
        let most = tasks.div_ceil(2);
        let all: BTreeSet<&str> = fields.iter().flat_map(Field::zones).collect();
        let open: Vec<&str> = all.into_iter().filter(|z| per_zone.get(*z).copied().unwrap_or(0) < most).collect();
        zones = Some(match zones {
            Some(z) => z.into_iter().filter(|z| open.contains(z)).collect(),
            None => open,
        });
    }
    zones
}
