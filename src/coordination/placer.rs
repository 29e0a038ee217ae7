//! The placer's side of a part: its teams' jobs, their recorded attempts, and
//! where the next ones go.
//!
//! Every attempt is written to the state service before its owner hears of it,
//! and stays in what this placer wants until its end has been written too.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use tracing::{debug, info, warn};

use crate::constants::*;
use crate::coordination::fleet::Demand;
use crate::coordination::placement::{Ask, Field};
use crate::model::{AttemptId, Catalog, JobId, JobSpec, MachineId, MachineType, Rank, Room, Shape};
use crate::protocol::peer::{Cause, Evict, JobNote, Rented, Standing, Sync, View, Want};
use crate::protocol::state::{Condition, Txn, Write};
use crate::protocol::users::Phase;
use crate::storage::mirror::MirroredJob;
use crate::storage::records::{ChunkRecord, EndRecord, JobRecord, LiveRecord, end_key, job_key, part_key, run_key};

/// An attempt not proven to be over.
#[derive(Clone, Debug)]
struct Live {
    attempt: u32,
    machine: MachineId,
    part: u16,
    zone: String,
    /// Change of its chunk that first holds it.
    change: u64,
    standing: Option<Standing>,
    kill: Option<u32>,
    since: u64,
    evict: Evict,
}

/// An attempt that is over, kept until that is written.
#[derive(Clone, Debug)]
struct Ending {
    id: AttemptId,
    machine: MachineId,
    part: u16,
    change: u64,
}

/// One chunk's place in the store.
#[derive(Clone, Debug, Default)]
struct Chunk {
    /// Version in the store; 0: no key.
    version: u64,
    /// Changes made, and changes written.
    change: u64,
    saved: u64,
}

struct Job {
    record: Option<Arc<JobRecord>>,
    version: u64,
    /// The job is done or withdrawn.
    over: bool,
    team: String,
    need: Room,
    tasks: u32,
    next: u32,
    done: Vec<bool>,
    done_count: u32,
    live: BTreeMap<u32, Live>,
    ending: Vec<Ending>,
    chunks: BTreeMap<u32, Chunk>,
    /// No task below this one waits.
    cursor: u32,
    failures: u32,
    /// Some task of it has run.
    ran: bool,
    not_before: u64,
    avoid: Vec<MachineId>,
    /// Version of the job's key with which writing its end failed.
    refused_end: Option<u64>,
    reason: &'static str,
}

impl Job {
    fn empty() -> Self {
        Self {
            record: None,
            version: 0,
            over: true,
            team: String::new(),
            need: Room::default(),
            tasks: 0,
            next: 1,
            done: Vec::new(),
            done_count: 0,
            live: BTreeMap::new(),
            ending: Vec::new(),
            chunks: BTreeMap::new(),
            cursor: 0,
            failures: 0,
            ran: false,
            not_before: 0,
            avoid: Vec::new(),
            refused_end: None,
            reason: "",
        }
    }

    fn spec(&self) -> Option<&JobSpec> {
        self.record.as_ref().map(|r| &r.spec)
    }

    fn lasting(&self) -> bool {
        self.spec().is_some_and(|s| s.shape == Shape::Service)
    }

    /// Priority; a job that is over only takes room for its stops.
    fn rank(&self) -> Rank {
        self.spec().map_or(Rank::Low, |s| s.rank)
    }

    fn is_done(&self, task: u32) -> bool {
        self.done.get(task as usize).copied().unwrap_or(false)
    }

    /// Marks a task as done; true if it was not.
    fn set_done(&mut self, task: u32) -> bool {
        if self.done.len() <= task as usize {
            self.done.resize(task as usize + 1, false);
        }
        let news = !std::mem::replace(&mut self.done[task as usize], true);
        self.done_count += u32::from(news);
        news
    }

    fn mark_done(&mut self, task: u32) {
        if self.set_done(task) {
            self.touch(task);
        }
    }

    /// Tasks that run, and why the others wait, if some do.
    fn progress(&self) -> (u32, String) {
        let running = self.live.values().filter(|l| l.standing == Some(Standing::Running)).count() as u32;
        (running, if self.next_waiting().is_some() { self.reason.to_owned() } else { String::new() })
    }

    /// Attempts in each zone, leaving out one task's.
    fn per_zone(&self, but: Option<u32>) -> HashMap<String, u32> {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for (_, l) in self.live.iter().filter(|(t, _)| Some(**t) != but) {
            *counts.entry(l.zone.clone()).or_default() += 1;
        }
        counts
    }

    /// Notes a change of a task's chunk.
    fn touch(&mut self, task: u32) -> u64 {
        let chunk = self.chunks.entry(task / CHUNK_TASKS).or_default();
        chunk.change += 1;
        chunk.change
    }

    fn recorded(&self, task: u32, live: &Live) -> bool {
        self.chunks.get(&(task / CHUNK_TASKS)).is_some_and(|c| c.saved >= live.change)
    }

    fn chunk_record(&self, chunk: u32) -> ChunkRecord {
        let (first, end) = (chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS);
        let mut done: Vec<(u32, u32)> = Vec::new();
        for task in (first..end).filter(|&t| self.is_done(t)) {
            match done.last_mut() {
                Some(range) if range.1 + 1 == task => range.1 = task,
                _ => done.push((task, task)),
            }
        }
        let live = self
            .live
            .range(first..end)
            .map(|(&t, l)| LiveRecord { t, a: l.attempt, m: l.machine.clone(), p: l.part, z: l.zone.clone() })
            .collect();
        ChunkRecord { team: self.team.clone(), need: self.need, next: self.next, done, live }
    }

    /// Tasks that neither run nor are done, from the cursor on.
    fn next_waiting(&self) -> Option<u32> {
        (self.cursor..self.tasks).find(|t| !self.is_done(*t) && !self.live.contains_key(t))
    }

    fn complete(&self) -> bool {
        self.record.is_some() && self.done_count >= self.tasks && self.spec().is_some_and(|s| s.shape != Shape::Service)
    }
}

/// A copy of another part.
#[derive(Default)]
struct PartCopy {
    view: Option<View>,
    seq: u64,
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

/// The placer of a part.
pub struct Placer {
    part: u16,
    token: u64,
    jobs: BTreeMap<JobId, Job>,
    copies: Vec<PartCopy>,
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
            copies: (0..parts).map(|_| PartCopy::default()).collect(),
            limits,
            guarantees,
            start_within: HashMap::new(),
            guarantee_within: f64::MAX,
            arrivals: VecDeque::new(),
            keep: Vec::new(),
            spare,
            spot_discount: 1.0,
            boot_ms: 0,
            started: now,
            fetch_gb_per_s: f64::MAX,
            turn: 0,
            pending: None,
            promises: Vec::new(),
            lacking: Vec::new(),
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
        job.chunks.insert(chunk, Chunk { version, change: 0, saved: 0 });
        for &(a, b) in &record.done {
            for task in a.max(first)..=b.min(end - 1) {
                job.set_done(task);
            }
        }
        for l in record.live.iter().filter(|l| (first..end).contains(&l.t)) {
            job.live.insert(
                l.t,
                Live {
                    attempt: l.a,
                    machine: l.m.clone(),
                    part: l.p,
                    zone: l.z.clone(),
                    change: 0,
                    standing: None,
                    kill: None,
                    evict: Evict::Nobody,
                    since: 0,
                },
            );
        }
    }

    /// A key of ours was read again after a conflict.
    pub fn reread(&mut self, id: &JobId, chunk: u32, version: u64) {
        if let Some(c) = self.jobs.get_mut(id).and_then(|j| j.chunks.get_mut(&chunk)) {
            c.version = version;
        }
    }

    /// Takes the unfinished jobs of this part's teams.
    pub fn set_jobs<'a>(&mut self, mine: impl Iterator<Item = (&'a JobId, &'a MirroredJob)>, now: u64) {
        let mut present: HashSet<&JobId> = HashSet::new();
        for (id, m) in mine {
            present.insert(id);
            let job = self.jobs.entry(id.clone()).or_insert_with(Job::empty);
            if job.record.is_some() && job.version == m.version {
                continue;
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
            self.place_again = true;
        }
        let mut emptied = Vec::new();
        for (id, job) in &mut self.jobs {
            if present.contains(id) {
                continue;
            }
            if !job.over {
                info!(job = %id, part = self.part, live = job.live.len(), "job is over");
                job.over = true;
            }
            // Chunks of a job that is over are removed once nothing is live.
            let stale: Vec<u32> = job.chunks.iter().filter(|(_, c)| c.version > 0 && c.saved == c.change).map(|(&i, _)| i).collect();
            for chunk in stale {
                let (first, end) = (chunk * CHUNK_TASKS, (chunk + 1) * CHUNK_TASKS);
                if job.live.range(first..end).next().is_none()
                    && let Some(c) = job.chunks.get_mut(&chunk)
                {
                    c.change += 1;
                }
            }
            if job.live.is_empty() && job.ending.is_empty() && job.chunks.values().all(|c| c.version == 0) {
                emptied.push(id.clone());
            }
        }
        for id in emptied {
            self.jobs.remove(&id);
        }
    }

    /// The next transaction, if none is under way and something changed.
    pub fn next_txn(&mut self) -> Option<Txn> {
        if self.pending.is_some() {
            return None;
        }
        let mut txn = Txn { conditions: vec![Condition { key: part_key(self.part), version: self.token }], writes: Vec::new() };
        let mut pending = Pending { chunks: Vec::new(), ends: Vec::new() };
        let mut bytes = 0;
        'jobs: for (id, job) in &self.jobs {
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
            for (&index, chunk) in job.chunks.iter().filter(|(_, c)| c.saved < c.change) {
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
            self.apply_saved(&pending, 0);
            return None;
        }
        self.pending = Some(pending);
        Some(txn)
    }

    fn apply_saved(&mut self, pending: &Pending, revision: u64) {
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
        }
    }

    /// A transaction ended. Returns the jobs whose end is now written.
    pub fn txn_done(&mut self, outcome: TxnOutcome) -> (TxnVerdict, Vec<JobId>) {
        let Some(pending) = self.pending.take() else {
            return (TxnVerdict::Fine, Vec::new());
        };
        match outcome {
            TxnOutcome::Done(revision) => {
                self.apply_saved(&pending, revision);
                self.place_again = true;
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
                }
                (TxnVerdict::Fine, ends)
            }
            TxnOutcome::Conflict(keys) if keys.contains(&part_key(self.part)) => (TxnVerdict::Lost, Vec::new()),
            TxnOutcome::Conflict(keys) => {
                for (id, version) in pending.ends {
                    if keys.contains(&job_key(&id))
                        && let Some(job) = self.jobs.get_mut(&id)
                    {
                        job.refused_end = Some(version);
                    }
                }
                (TxnVerdict::Fine, Vec::new())
            }
            TxnOutcome::Again => (TxnVerdict::Fine, Vec::new()),
        }
    }

    // ---- owners ------------------------------------------------------------

    /// Everything wanted of a part.
    pub fn sync_for(&mut self, to: u16, to_token: u64, now: u64) -> Sync {
        let over = self.over();
        let seq = self.copies[usize::from(to)].seq + 1;
        let mut wants = Vec::new();
        for (id, job) in &self.jobs {
            let image = job.spec().map(|s| s.image.clone()).unwrap_or_default();
            let grace = job.spec().map(JobSpec::grace_s).unwrap_or(0);
            let image_mb = job.spec().map_or(0, |s| (s.image_gb * 1000.0).ceil() as u64);
            let gang = job.spec().is_some_and(|s| s.shape == Shape::Gang);
            let granted = !gang
                || (job.live.len() as u32 == job.tasks - job.done_count.min(job.tasks) && job.live.values().all(|l| l.standing.is_some()));
            for (&task, l) in job.live.iter().filter(|(_, l)| l.part == to) {
                if !job.recorded(task, l) {
                    continue;
                }
                let go = !gang || granted || job.tasks == 1;
                let kill = if job.over { Some(0) } else { l.kill };
                wants.push(Want {
                    team: job.team.clone(),
                    rank: job.rank(),
                    over: over.contains(&(id, task)),
                    grace,
                    lasting: job.lasting(),
                    evict: l.evict,
                    id: AttemptId { job: id.clone(), task, attempt: l.attempt },
                    machine: l.machine.clone(),
                    need: job.need,
                    image: image.clone(),
                    image_mb,
                    go,
                    kill,
                });
            }
            for e in job.ending.iter().filter(|e| e.part == to) {
                wants.push(Want {
                    id: e.id.clone(),
                    machine: e.machine.clone(),
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
                });
            }
        }
        self.copies[usize::from(to)].seq = seq;
        let rented = self
            .promises
            .iter()
            .filter(|p| p.part == to)
            .map(|p| Rented { age_ms: now.saturating_sub(p.at), ..p.rented.clone() })
            .collect();
        Sync {
            keep: self.keep.clone(),
            version: PEER_VERSION,
            from: self.part,
            from_token: self.token,
            to,
            to_token,
            seq,
            wants,
            rented,
            notes: self.notes(),
        }
    }

    /// Attempts that their teams run beyond their guarantees: the guarantee
    /// goes to the highest priority first, then to the oldest.
    fn over(&self) -> HashSet<(&JobId, u32)> {
        let mut all: Vec<(&str, Rank, u64, &JobId, u32, Room)> = Vec::new();
        for (id, job) in &self.jobs {
            let at = job.record.as_ref().map_or(0, |r| r.at);
            all.extend(job.live.keys().map(|&t| (job.team.as_str(), job.rank(), at, id, t, job.need)));
        }
        all.sort_unstable();
        let mut used: HashMap<&str, Room> = HashMap::new();
        let mut over = HashSet::new();
        for (team, _, _, id, task, need) in all {
            let sum = used.entry(team).or_default();
            *sum = sum.plus(&need);
            if !within(sum, self.guarantees.get(team)) {
                over.insert((id, task));
            }
        }
        over
    }

    /// Counts of the unfinished jobs.
    pub fn notes(&self) -> Vec<JobNote> {
        self.jobs
            .iter()
            .filter(|(_, j)| !j.over)
            .map(|(id, j)| {
                let (running, reason) = j.progress();
                JobNote { job: id.clone(), done: j.done_count, running, reason }
            })
            .collect()
    }

    /// An owner answered; true if something changed that placing should see.
    pub fn take_view(&mut self, view: View, now: u64) -> bool {
        let Some(copy) = self.copies.get_mut(usize::from(view.part)) else {
            return false;
        };
        if copy.view.as_ref().is_some_and(|v| v.token > view.token || (v.token == view.token && v.seq >= view.seq)) {
            return false;
        }
        self.promises.retain(|p| p.part != view.part || !view.machines.iter().any(|m| m.id == p.rented.machine));
        let leaving: HashSet<&MachineId> = view.machines.iter().filter(|m| m.leaving).map(|m| &m.id).collect();
        for a in &view.attempts {
            let Some(job) = self.jobs.get_mut(&a.id.job) else {
                continue;
            };
            let Some(live) = job.live.get_mut(&a.id.task).filter(|l| l.attempt == a.id.attempt) else {
                continue;
            };
            if live.standing != Some(a.standing) {
                debug!(attempt = %a.id, machine = %live.machine, standing = ?a.standing, "attempt moved on");
                live.standing = Some(a.standing);
            }
            job.ran |= a.standing == Standing::Running;
            if a.standing.ended() {
                Self::attempt_over(job, &a.id, a.standing, now);
            }
        }
        for job in self.jobs.values_mut().filter(|j| !j.over) {
            let Some(grace) = job.spec().map(JobSpec::grace_s) else {
                continue;
            };
            // The tasks of a machine that leaves are moved, with a save.
            let hit = job.live.values().any(|l| l.part == view.part && leaving.contains(&l.machine));
            let gang = job.spec().is_some_and(|s| s.shape == Shape::Gang);
            if hit {
                for l in job.live.values_mut() {
                    if l.kill.is_none() && (gang || (l.part == view.part && leaving.contains(&l.machine))) {
                        l.kill = Some(grace);
                    }
                }
            }
        }
        copy.view = Some(view);
        self.place_again = true;
        true
    }

    fn attempt_over(job: &mut Job, id: &AttemptId, standing: Standing, now: u64) {
        let Some(live) = job.live.remove(&id.task) else {
            return;
        };
        let change = job.touch(id.task);
        job.ending.push(Ending { id: id.clone(), machine: live.machine.clone(), part: live.part, change });
        job.cursor = job.cursor.min(id.task);
        let gang = job.spec().is_some_and(|s| s.shape == Shape::Gang);
        let service = job.spec().is_some_and(|s| s.shape == Shape::Service);
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
        self.place_again || self.jobs.values().any(|j| !j.over && j.not_before > 0 && now >= j.not_before && j.next_waiting().is_some())
    }

    fn usage(&self) -> HashMap<String, Room> {
        let mut usage: HashMap<String, Room> = HashMap::new();
        for job in self.jobs.values() {
            let sum = usage.entry(job.team.clone()).or_default();
            *sum = sum.plus(&job.need.times(job.live.len() as u64));
        }
        usage
    }

    /// The fields of all parts, less what was placed and is not in their
    /// views yet.
    fn fields(&self) -> Vec<Field> {
        let mut fields: Vec<Field> =
            self.copies.iter().map(|c| c.view.as_ref().map(|v| Field::new(&v.machines)).unwrap_or_default()).collect();
        for job in self.jobs.values() {
            let image = job.spec().map(|s| s.image.as_str()).unwrap_or_default();
            for l in job.live.values().filter(|l| l.standing.is_none()) {
                let field = &mut fields[usize::from(l.part)];
                if let Some(i) = field.find(&l.machine) {
                    field.take(i, &job.need, image);
                }
            }
        }
        fields
    }

    /// Walks the team queues in turn and places what fits; what does not is
    /// left in `lacking`.
    pub fn place(&mut self, now: u64) {
        self.place_again = false;
        for job in self.jobs.values_mut().filter(|j| now >= j.not_before) {
            job.not_before = 0;
        }
        let mut fields = self.fields();
        let mut usage = self.usage();
        let mut queues: BTreeMap<&str, Vec<&JobId>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if job.over || now < job.not_before || job.next_waiting().is_none() {
                continue;
            }
            let gang_busy = job.spec().is_some_and(|s| s.shape == Shape::Gang) && !job.live.is_empty();
            if !gang_busy {
                queues.entry(&job.team).or_default().push(id);
            }
        }
        for queue in queues.values_mut() {
            queue.sort_by_key(|id| self.jobs[*id].record.as_ref().map(|r| (r.spec.rank, r.at)));
        }
        let mut queues: Vec<std::vec::IntoIter<JobId>> =
            queues.into_values().map(|q| q.into_iter().cloned().collect::<Vec<_>>().into_iter()).collect();
        let mut lacking = Vec::new();
        let mut failed: BTreeSet<String> = BTreeSet::new();
        let mut current: Vec<Option<JobId>> = queues.iter_mut().map(Iterator::next).collect();
        let n = queues.len();
        let mut at = if n > 0 { self.turn % n } else { 0 };
        self.turn = self.turn.wrapping_add(1);
        while current.iter().any(Option::is_some) {
            if let Some(id) = current[at].clone() {
                let placed = self.place_next(&id, &mut fields, &mut usage, &mut failed, now);
                if !placed {
                    self.note_lack(&id, &usage, &mut lacking);
                    current[at] = queues[at].next();
                }
            }
            at = (at + 1) % n.max(1);
        }
        if !lacking.is_empty() {
            self.lacked_at = now;
        }
        self.add_spare(&mut fields, &mut lacking, now);
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
    fn add_spare(&mut self, fields: &mut [Field], lacking: &mut Vec<Demand>, now: u64) {
        while self.arrivals.front().is_some_and(|(at, _)| now > at + ARRIVALS_MS) {
            self.arrivals.pop_front();
        }
        self.keep.clear();
        let seen_ms = now.saturating_sub(self.started + SETTLE_MS).clamp(1, ARRIVALS_MS);
        if self.spare <= 0.0 || seen_ms < ARRIVALS_MS / 3 {
            return;
        }
        let mut groups: BTreeMap<(Room, bool), (f64, Arc<JobRecord>)> = BTreeMap::new();
        for (_, record) in &self.arrivals {
            let spec = &record.spec;
            let restart_ms = self.boot_ms as f64 + spec.image_gb / self.fetch_gb_per_s * 1000.0;
            // Room that costs less is kept for more.
            let share = if spec.spot { self.spare * self.spot_discount } else { self.spare };
            let expected = self.awaited(spec) as f64 * restart_ms / seen_ms as f64 * share;
            groups.entry((spec.need(), spec.spot)).or_insert_with(|| (0.0, record.clone())).0 += expected;
        }
        // The largest first: what is left of whole machines is of no use to them.
        for (expected, record) in groups.into_values().rev() {
            let spec = &record.spec;
            let need = spec.need();
            let mut count = 0;
            for _ in 0..(expected.round() as u32).min(SPARE_MOST) {
                let ask = Ask {
                    need,
                    types: spec.types.as_deref(),
                    zones: None,
                    spot: spec.spot,
                    lasting: false,
                    image: &spec.image,
                    avoid: &[],
                };
                let found = (0..fields.len()).find_map(|p| {
                    let fit = fields[p].first_fit(&ask, false).or_else(|| fields[p].evict_fit(&ask, spec.rank, false, false));
                    fit.map(|i| (p, i))
                });
                let Some((p, i)) = found else {
                    count += 1;
                    continue;
                };
                if fields[p].slots[i].busy == 0 {
                    self.keep.push(fields[p].slots[i].id.clone());
                }
                fields[p].take(i, &need, &spec.image);
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
    }

    /// Moves the replicas of one machine to others in use, if all of them fit
    /// there and nothing has lacked room for a while: the machine can then be
    /// given back. A replica that moves is down for as long as a stop and a
    /// start take, so this is done one machine at a time.
    ///
    /// Placers take turns by the time of day, so that two of them don't count
    /// on the same room: a replica that then finds none waits for an image.
    pub fn consolidate(&mut self, now: u64, time_of_day: u64) {
        let turn = time_of_day / MOVE_GAP_MS % self.copies.len() as u64;
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
        let fields = self.fields();
        let mut mine: BTreeMap<&MachineId, Vec<(&JobId, u32)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            for (&task, l) in &job.live {
                if job.over || l.kill.is_some() || l.standing != Some(Standing::Running) {
                    // Something is on the move already.
                    if job.lasting() && !job.over {
                        return;
                    }
                    continue;
                }
                mine.entry(&l.machine).or_default().push((id, task));
            }
        }
        let mut candidates: Vec<(u32, &MachineId)> = Vec::new();
        for field in &fields {
            for slot in &field.slots {
                let Some(tasks) = mine.get(&slot.id) else { continue };
                let fresh = tasks.iter().any(|(id, t)| self.jobs[*id].live.get(t).is_some_and(|l| now < l.since + STAY_MS));
                if fresh {
                    continue;
                }
                let all_last = tasks.iter().all(|(id, _)| self.jobs[*id].lasting());
                if tasks.len() as u32 == slot.busy && all_last {
                    candidates.push((slot.busy, &slot.id));
                }
            }
        }
        candidates.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(a.1)));
        let chosen = candidates.into_iter().map(|(_, m)| m).find(|m| self.all_fit_elsewhere(m, &mine[*m], &fields)).cloned();
        let Some(machine) = chosen else { return };
        self.moved_at = now;
        info!(machine = %machine, part = self.part, "moving its replicas together with others");
        for job in self.jobs.values_mut().filter(|j| !j.over) {
            let mut hit = false;
            for l in job.live.values_mut().filter(|l| l.machine == machine) {
                l.kill = Some(0);
                hit = true;
            }
            if hit && !job.avoid.contains(&machine) {
                job.avoid.push(machine.clone());
            }
        }
    }

    fn all_fit_elsewhere(&self, machine: &MachineId, tasks: &[(&JobId, u32)], fields: &[Field]) -> bool {
        let mut trial = fields.to_vec();
        tasks.iter().all(|(id, task)| {
            let job = &self.jobs[*id];
            let Some(spec) = job.spec() else { return false };
            let per_zone = job.per_zone(Some(*task));
            let zones = allowed_zones(spec, None, &per_zone, job.tasks, fields);
            let ask =
                Ask { need: job.need, types: spec.types.as_deref(), zones, spot: spec.spot, lasting: true, image: &spec.image, avoid: &[] };
            let Some((p, i)) = (0..trial.len()).find_map(|p| trial[p].fit_elsewhere(&ask, machine).map(|i| (p, i))) else { return false };
            trial[p].take(i, &job.need, &spec.image);
            // Guards against others taking that room meanwhile: one more must
            // be left, or the replica would wait for a fetch.
            trial.iter().any(|f| f.fit_elsewhere(&ask, machine).is_some())
        })
    }

    fn note_lack(&self, id: &JobId, usage: &HashMap<String, Room>, lacking: &mut Vec<Demand>) {
        let Some(job) = self.jobs.get(id) else { return };
        let Some(spec) = job.spec() else { return };
        let limit = self.limits.get(&job.team).copied().unwrap_or(Room { cpus: u64::MAX, gpus: u64::MAX, memory: u64::MAX });
        let used = lacking
            .iter()
            .filter(|d: &&Demand| d.team == job.team)
            .fold(usage.get(&job.team).copied().unwrap_or_default(), |sum, d| sum.plus(&d.need.times(u64::from(d.count))));
        let waiting = (job.cursor..job.tasks).filter(|t| !job.is_done(*t) && !job.live.contains_key(t)).take(DEMAND_MOST).count() as u64;
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
    fn place_next(
        &mut self,
        id: &JobId,
        fields: &mut [Field],
        usage: &mut HashMap<String, Room>,
        failed: &mut BTreeSet<String>,
        now: u64,
    ) -> bool {
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
        job.cursor = first;
        let tasks: Vec<u32> =
            if spec.shape == Shape::Gang { (first..job.tasks).filter(|t| !job.is_done(*t)).collect() } else { vec![first] };
        let limit = self.limits.get(&job.team).copied().unwrap_or(Room { cpus: u64::MAX, gpus: u64::MAX, memory: u64::MAX });
        let used = usage.entry(job.team.clone()).or_default();
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
        let too_slow = spec.image_gb > soon * self.fetch_gb_per_s || spec.shape == Shape::Service && job.ran;
        // Jobs that ask the same found no room a moment ago.
        let shape_key = format!(
            "{:?}{:?}{:?}{}{}{}{:?}{:?}{guaranteed}",
            job.need,
            spec.types,
            spec.zone,
            spec.spot,
            spec.spread && job.tasks > 1,
            tasks.len(),
            job.avoid,
            spec.rank
        );
        if failed.contains(&shape_key) {
            job.reason = "no machine has room; more are asked for";
            return false;
        }
        let order: Vec<usize> = {
            let n = fields.len() as u16;
            let mut order = vec![usize::from(self.part)];
            order.extend((1..=n).map(|k| usize::from((self.others_turn + k) % n)).filter(|&p| p != usize::from(self.part)));
            order
        };
        let mut zone_sets: Vec<Option<String>> = vec![None];
        if spec.one_zone && tasks.len() + job.live.len() > 1 {
            let present: BTreeSet<String> = job.live.values().map(|l| l.zone.clone()).collect();
            let all: BTreeSet<String> = fields.iter().flat_map(|f| f.slots.iter().map(|s| s.zone.clone())).collect();
            zone_sets = if present.is_empty() { all.into_iter().map(Some).collect() } else { present.into_iter().map(Some).collect() };
        }
        for zone in zone_sets {
            let mut trial = fields.to_vec();
            let mut chosen = Vec::new();
            let mut per_zone = job.per_zone(None);
            for &task in &tasks {
                let zones = allowed_zones(spec, zone.as_deref(), &per_zone, job.tasks, &trial);
                let ask = Ask {
                    need: job.need,
                    types: spec.types.as_deref(),
                    zones,
                    spot: spec.spot,
                    lasting: spec.shape == Shape::Service,
                    image: &spec.image,
                    avoid: &job.avoid,
                };
                // Fairness has no work while room exists; without room, lower
                // priorities make way, and what others run beyond their
                // guarantee does for a team within its own. Room without the
                // image counts as none if the fetch alone takes too long.
                let room = |with_image| order.iter().find_map(|&p| trial[p].first_fit(&ask, with_image).map(|i| (p, i, Evict::Nobody)));
                let pushed = |with_image| {
                    order.iter().find_map(|&p| trial[p].evict_fit(&ask, spec.rank, guaranteed, with_image).map(|i| (p, i, evict)))
                };
                let found =
                    room(true).or_else(|| if too_slow { pushed(true) } else { None }).or_else(|| room(false)).or_else(|| pushed(false));
                let Some((p, i, evict)) = found else { break };
                trial[p].take(i, &job.need, &spec.image);
                *per_zone.entry(trial[p].slots[i].zone.clone()).or_default() += 1;
                chosen.push((task, p, i, evict));
            }
            if chosen.len() < tasks.len() {
                continue;
            }
            let attempt = job.next;
            job.next += 1;
            for (task, p, i, evict) in chosen {
                let slot = &trial[p].slots[i];
                if p != usize::from(self.part) {
                    self.others_turn = p as u16;
                }
                let change = job.touch(task);
                info!(job = %id, task, attempt, machine = %slot.id, part = p, "placed");
                job.live.insert(
                    task,
                    Live {
                        attempt,
                        machine: slot.id.clone(),
                        part: p as u16,
                        zone: slot.zone.clone(),
                        change,
                        standing: None,
                        kill: None,
                        evict,
                        since: now,
                    },
                );
            }
            *used = after;
            self.placed_at = now;
            fields.clone_from_slice(&trial);
            return true;
        }
        job.reason = "no machine has room; more are asked for";
        failed.insert(shape_key);
        false
    }

    /// Machines of all copies, with their part.
    pub fn machines(&self) -> impl Iterator<Item = &crate::protocol::peer::MachineView> {
        self.copies.iter().filter_map(|c| c.view.as_ref()).flat_map(|v| v.machines.iter())
    }

    /// The counts of one job, if it is this part's.
    pub fn job_note(&self, id: &JobId) -> Option<(u64, u64, String)> {
        let job = self.jobs.get(id).filter(|j| !j.over)?;
        let (running, reason) = job.progress();
        Some((u64::from(job.done_count), u64::from(running), reason))
    }
}

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
        let all: BTreeSet<&str> = fields.iter().flat_map(|f| f.slots.iter().map(|s| s.zone.as_str())).collect();
        let open: Vec<&str> = all.into_iter().filter(|z| per_zone.get(*z).copied().unwrap_or(0) < most).collect();
        zones = Some(match zones {
            Some(z) => z.into_iter().filter(|z| open.contains(z)).collect(),
            None => open,
        });
    }
    zones
}
