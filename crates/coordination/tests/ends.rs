//! Ends of jobs of a few tasks that end far apart, across changes of hands: real
//! placers and owners over a plain store and plain machines, with transactions that
//! are slow, lost, made without an answer, or made late.

mod support;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer, ShardOwnership};
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, Condition, KeyValue, Write, from_value, to_value,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::{
    JobEndRecord, JobRecord, TaskChunkRecord, end_key, job_key, parse_task_chunk_key, task_chunk_key, shard_key,
};
use lemonweir_storage::state_cache::{CachedJob, ShardLeader};
use proptest::prelude::*;
use support::*;

const PARTS: usize = 2;
const BOXES: usize = 6;
const BEAT_MS: u64 = 100;

/// What becomes of a transaction.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Made at once, answered after so many beats.
    Slow(u64),
    /// Made and answered after so many beats.
    Held(u64),
    /// Not made.
    Lost,
    /// Made, without an answer.
    Silent,
    /// Without an answer, and made after so many beats.
    Late(u64),
}

/// A transaction whose answer is to come.
struct Flight {
    cas: CompareAndSwap,
    at: u64,
    outcome: Option<CompareAndSwapOutcome>,
}

/// One holder of a part.
struct Leader {
    token: u64,
    placer: Placer,
    owner: Owner,
    flight: Option<Flight>,
    /// Not before then is anything written, as after a transaction without answer.
    pause: u64,
    passed: u64,
    /// When its last reading of the store began, and the owner of the other part that
    /// this showed.
    word: u64,
    other: u64,
}

struct Task {
    phase: TaskPhase,
    cause: Option<&'static str>,
    since: u64,
}

/// A machine as the protocol page has it.
struct Box_ {
    name: usize,
    shard: usize,
    session: u64,
    seq: u64,
    token: u64,
    answered: u64,
    reported: u64,
    changed: bool,
    /// It hangs, or nothing reaches it, until then.
    mute_until: u64,
    tasks: BTreeMap<AttemptId, Task>,
    /// Calls held back meanwhile.
    held: Vec<CommandCall>,
}

impl Box_ {
    fn new(name: usize, shard: usize, now: u64) -> Self {
        Self {
            name,
            shard,
            session: 1,
            seq: 0,
            token: 0,
            answered: now,
            reported: 0,
            changed: true,
            mute_until: 0,
            tasks: BTreeMap::new(),
            held: Vec::new(),
        }
    }
}

struct Site {
    now: u64,
    revision: u64,
    store: BTreeMap<String, KeyValue>,
    holders: BTreeMap<u16, ShardLeader>,
    leaders: Vec<Option<Leader>>,
    back: Vec<u64>,
    /// Holders that know nothing of their successors, and when they find out.
    superseded: Vec<(usize, Leader, u64)>,
    boxes: Vec<Box_>,
    /// Machines that there ever were.
    names: usize,
    jobs: Vec<(usize, Arc<JobSpec>)>,
    fates: VecDeque<Fate>,
    late: Vec<(u64, CompareAndSwap)>,
    /// Tasks that have completed, and how often.
    completed: BTreeMap<(JobId, u32), u32>,
    /// Attempts started.
    launches: u32,
    /// ms after which a running task completes by itself; 0: never.
    runs_ms: u64,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            now: 1_000,
            revision: 40,
            store: BTreeMap::new(),
            holders: BTreeMap::new(),
            leaders: (0..PARTS).map(|_| None).collect(),
            back: vec![0; PARTS],
            superseded: Vec::new(),
            boxes: (0..BOXES).map(|n| Box_::new(n, n % PARTS, 1_000)).collect(),
            names: BOXES,
            jobs: Vec::new(),
            fates: VecDeque::new(),
            late: Vec::new(),
            completed: BTreeMap::new(),
            launches: 0,
            runs_ms: 0,
        };
        (0..PARTS).for_each(|shard| site.take(shard));
        site
    }

    fn put(&mut self, key: String, value: rmpv::Value) {
        self.store.insert(
            key.clone(),
            KeyValue {
                key,
                value,
                version: self.revision,
            },
        );
    }

    fn version(&self, key: &str) -> u64 {
        self.store.get(key).map_or(0, |e| e.version)
    }

    fn submit(&mut self, shard: usize, spec: JobSpec) {
        let record = JobRecord {
            spec: spec.clone(),
            submitted_at_ms: self.now,
            cancel_requested: false,
            dependency_count: 0,
        };
        self.revision += 1;
        self.put(job_key(&spec.id), to_value(&record));
        self.jobs.push((shard, Arc::new(spec)));
        self.tell_jobs();
    }

    fn withdraw(&mut self, id: &JobId) {
        let Some(entry) = self.store.get(&job_key(id)) else {
            return;
        };
        let record = JobRecord {
            cancel_requested: true,
            ..from_value(&entry.value).expect("a job")
        };
        self.revision += 1;
        self.put(job_key(id), to_value(&record));
        self.tell_jobs();
    }

    /// What the followed keys say reaches every holder.
    fn tell_jobs(&mut self) {
        for (shard, spec) in &self.jobs {
            let mirrored = self.store.get(&job_key(&spec.id)).map(|e| CachedJob {
                record: Arc::new(from_value(&e.value).expect("a job")),
                version: e.version,
            });
            if let Some(leader) = self.leaders[*shard].as_mut() {
                leader.placer.set_job(&spec.id, mirrored.as_ref(), self.now);
            }
        }
    }

    /// A controller takes a part and loads its records.
    fn take(&mut self, shard: usize) {
        self.revision += 1;
        let token = self.revision;
        self.holders.insert(
            shard as u16,
            ShardLeader {
                host: format!("h{token}"),
                fencing_token: token,
            },
        );
        self.put(shard_key(shard as u16), to_value(&0));
        let policy = Policy {
            on_demand_idle_multiple: 1e6,
            spot_idle_multiple: 1e6,
            ..lemonweir_policy::embedded().expect("policy")
        };
        let mut owner = Owner::new(shard as u16, token, PARTS as u16, TIMING, policy, self.now);
        owner.set_types([kind()].iter());
        let mut placer = Placer::new(shard as u16, token, PARTS as u16, terms(), self.now);
        placer.expect(
            &HashMap::new(),
            f64::MAX,
            &[(kind().name, kind())].into_iter().collect(),
        );
        for (key, e) in self
            .store
            .range(format!("run/{shard}/")..)
            .take_while(|(k, _)| k.starts_with(&format!("run/{shard}/")))
        {
            let (id, chunk) = parse_task_chunk_key(key).expect("a key");
            placer.load_chunk(
                &id,
                chunk,
                &from_value::<TaskChunkRecord>(&e.value).expect("a chunk"),
                e.version,
            );
        }
        let known: Vec<JobId> = placer.known().cloned().collect();
        for id in known
            .iter()
            .filter(|id| !self.store.contains_key(&job_key(id)))
        {
            placer.set_job(id, None, self.now);
        }
        self.leaders[shard] = Some(Leader {
            token,
            placer,
            owner,
            flight: None,
            pause: 0,
            passed: 0,
            word: self.now,
            other: 0,
        });
        self.tell_jobs();
    }

    /// The holder of a part ends, or is superseded without knowing for so long.
    fn end(&mut self, shard: usize, away: u64, knows_nothing: u64) {
        let Some(mut leader) = self.leaders[shard].take() else {
            return;
        };
        self.back[shard] = self.now + away;
        if let Some(flight) = leader.flight.take().filter(|f| f.outcome.is_none()) {
            self.late.push((flight.at, flight.cas));
        }
        if knows_nothing > 0 {
            self.superseded
                .push((shard, leader, self.now + away + knows_nothing));
        }
    }

    /// True if it stands in the store that a task is done.
    fn done_written(&self, id: &JobId, task: u32) -> bool {
        let chunk = |shard: usize| {
            self.store
                .get(&task_chunk_key(shard as u16, id, task / CHUNK_TASKS))
        };
        let done = |e: &KeyValue| {
            from_value::<TaskChunkRecord>(&e.value)
                .expect("a chunk")
                .done_ranges
                .iter()
                .any(|r| (r.0..=r.1).contains(&task))
        };
        self.store.contains_key(&end_key(id)) || (0..PARTS).filter_map(chunk).any(done)
    }

    fn apply(&mut self, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        let failed: Vec<String> = cas
            .conditions
            .iter()
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return CompareAndSwapOutcome::Conflict(failed);
        }
        self.revision += 1;
        for w in &cas.writes {
            match w {
                Write::Put { key, value, .. } => {
                    if let Some(id) = key.strip_prefix("end/") {
                        let id = JobId::from(id);
                        let record: JobEndRecord = from_value(value).expect("an end");
                        if record.phase == JobPhase::Withdrawn {
                            let live = |b: &Box_| {
                                b.tasks
                                    .iter()
                                    .any(|(i, t)| i.job == id && t.phase != TaskPhase::Exited)
                            };
                            assert!(
                                !self.boxes.iter().any(live),
                                "{id} is told withdrawn and runs"
                            );
                            self.put(key.clone(), value.clone());
                            continue;
                        }
                        let tasks = self
                            .jobs
                            .iter()
                            .find(|(_, s)| s.id == id)
                            .map_or(0, |(_, s)| s.tasks as u32);
                        let all = (0..tasks).all(|t| self.completed.contains_key(&(id.clone(), t)));
                        assert!(all, "{id} is told done and is not: {:?}", self.completed);
                    }
                    self.put(key.clone(), value.clone());
                }
                Write::Delete { key } => drop(self.store.remove(key)),
            }
        }
        self.tell_jobs();
        CompareAndSwapOutcome::Done(self.revision)
    }

    /// A placer's turn: its answer comes, and it writes.
    fn placer_turn(&mut self, shard: usize) {
        let now = self.now;
        let Some(mut leader) = self.leaders[shard].take() else {
            return;
        };
        if leader.flight.as_ref().is_some_and(|f| now >= f.at) {
            let Some(flight) = leader.flight.take() else {
                unreachable!("looked at")
            };
            // A reading may show the end before its answer comes.
            self.leaders[shard] = Some(leader);
            let outcome = flight.outcome.unwrap_or_else(|| self.apply(&flight.cas));
            self.answered(shard, outcome);
            return;
        }
        leader.placer.keep_ledger(now, 0);
        if leader.placer.wants_pass(now) && now >= leader.passed + PLACE_GAP_MS {
            leader.passed = now;
            leader.placer.place(now);
        }
        let cas = if leader.flight.is_none() && now >= leader.pause {
            leader.placer.next_cas(now)
        } else {
            None
        };
        self.leaders[shard] = Some(leader);
        let Some(cas) = cas else { return };
        let fate = self.fates.pop_front().unwrap_or(Fate::Slow(0));
        let (at, outcome) = match fate {
            Fate::Slow(beats) => (now + beats * BEAT_MS, Some(self.apply(&cas))),
            Fate::Held(beats) => (now + beats.max(1) * BEAT_MS, None),
            Fate::Lost => (now, Some(CompareAndSwapOutcome::Again)),
            Fate::Silent => {
                self.apply(&cas);
                (now, Some(CompareAndSwapOutcome::Again))
            }
            Fate::Late(beats) => {
                self.late.push((now + beats * BEAT_MS, cas.clone()));
                (now, Some(CompareAndSwapOutcome::Again))
            }
        };
        if at > now {
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.flight = Some(Flight { cas, at, outcome });
            }
        } else if let Some(outcome) = outcome {
            self.answered(shard, outcome);
        }
    }

    fn answered(&mut self, shard: usize, outcome: CompareAndSwapOutcome) {
        let now = self.now;
        let reread: Vec<(JobId, u32, u64)> = match &outcome {
            CompareAndSwapOutcome::Conflict(keys) => keys
                .iter()
                .filter_map(|k| parse_task_chunk_key(k).map(|(id, chunk)| (id, chunk, self.version(k))))
                .collect(),
            _ => Vec::new(),
        };
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        if matches!(outcome, CompareAndSwapOutcome::Again) {
            leader.pause = now + 2 * TICK_MS;
        }
        for (id, chunk, version) in reread {
            leader.placer.reread(&id, chunk, version);
        }
        let (verdict, _) = leader.placer.cas_done(outcome, now);
        assert_eq!(
            verdict,
            ShardOwnership::Fine,
            "only a superseded holder loses its part"
        );
    }

    fn sync(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(mut leader) = self.leaders[from].take() else {
            return;
        };
        if from == to {
            let sync = leader
                .placer
                .sync_for(to as u16, leader.token, ROOM, false, now);
            let view = leader.owner.sync(&sync, ROOM, now).expect("its own");
            leader.placer.take_view(view, now);
        } else if let Some(other) = self.leaders[to].as_mut() {
            let sync = leader
                .placer
                .sync_for(to as u16, other.token, ROOM, false, now);
            match other.owner.sync(&sync, ROOM, now) {
                Ok(view) => drop(leader.placer.take_view(view, now)),
                Err(_) => leader.placer.lost(to as u16),
            }
        }
        self.leaders[from] = Some(leader);
    }

    /// Those who know nothing of their successors act on: they sync with themselves
    /// and with whoever still takes their word, and answer and call their machines.
    fn superseded_turn(&mut self) {
        let now = self.now;
        let mut all = std::mem::take(&mut self.superseded);
        all.retain(|(_, _, until)| now < *until);
        for (shard, leader, _) in &mut all {
            leader.owner.tick(now, leader.word);
            let sync = leader
                .placer
                .sync_for(*shard as u16, leader.token, ROOM, false, now);
            if let Ok(view) = leader.owner.sync(&sync, ROOM, now) {
                leader.placer.take_view(view, now);
            }
            let to = 1 - *shard;
            if let Some(other) = self.leaders[to].as_mut() {
                // It names the owner that its last reading showed.
                let sync = leader
                    .placer
                    .sync_for(to as u16, leader.other, ROOM, false, now);
                match other.owner.sync(&sync, ROOM, now) {
                    Ok(view) => drop(leader.placer.take_view(view, now)),
                    Err(_) => leader.placer.lost(to as u16),
                }
            }
            // What it writes is made, late or at once, where the conditions hold.
            if let Some(cas) = leader.placer.next_cas(now) {
                self.late.push((now + 3 * BEAT_MS, cas));
                leader.placer.cas_done(CompareAndSwapOutcome::Again, now);
            }
            for call in leader.owner.calls(now, 64) {
                let result = self.call(&call);
                leader.owner.call_done(&call, result, now);
            }
        }
        all.append(&mut self.superseded);
        self.superseded = all;
    }

    fn report_of(&mut self, n: usize) -> Heartbeat {
        let b = &mut self.boxes[n];
        b.seq += 1;
        let tasks = b.tasks.iter().map(|(id, t)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: t.phase,
            exit_cause: t.cause.map(str::to_owned),
            checkpointed: None,
        });
        Heartbeat {
            incarnation: b.session,
            fencing_token: b.token,
            tasks: tasks.collect(),
            spot: (b.name / 2).is_multiple_of(2),
            ..report(b.name, b.seq)
        }
    }

    fn execute(&mut self, n: usize, orders: &[Command]) {
        for o in orders {
            let id = AttemptId::parse(&o.task, o.attempt).expect("a task");
            match o.kind {
                CommandKind::Start if self.boxes[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    let twice = |b: &Box_| {
                        b.tasks.iter().any(|(i, t)| {
                            (&i.job, i.task) == (&id.job, id.task) && t.phase != TaskPhase::Exited
                        })
                    };
                    assert!(!self.boxes.iter().any(twice), "{id} is on two machines");
                    assert!(
                        !self.done_written(&id.job, id.task),
                        "{id} starts though its end is written"
                    );
                    self.launches += 1;
                    self.boxes[n].tasks.insert(
                        id,
                        Task {
                            phase: TaskPhase::PullingImage,
                            cause: None,
                            since: self.now,
                        },
                    );
                }
                CommandKind::Stop => self.exit(n, &id, "stopped"),
                CommandKind::Forget => {
                    let done = self.boxes[n]
                        .tasks
                        .remove(&id)
                        .is_some_and(|t| t.cause == Some("done"));
                    assert!(
                        !done || self.done_written(&id.job, id.task),
                        "{id} is forgotten before its end is written"
                    );
                }
            }
            self.boxes[n].changed = true;
        }
    }

    fn exit(&mut self, n: usize, id: &AttemptId, cause: &'static str) {
        if let Some(t) = self.boxes[n]
            .tasks
            .get_mut(id)
            .filter(|t| t.phase != TaskPhase::Exited)
        {
            (t.phase, t.cause) = (TaskPhase::Exited, Some(cause));
            self.boxes[n].changed = true;
            if cause == "done" {
                *self.completed.entry((id.job.clone(), id.task)).or_default() += 1;
            }
        }
    }

    /// A machine reports to whoever it last reached: a superseded holder, if any.
    fn hello(&mut self, n: usize, superseded: bool) {
        let (shard, now) = (self.boxes[n].shard, self.now);
        let report = self.report_of(n);
        self.boxes[n].reported = now;
        self.boxes[n].changed = false;
        let old = self
            .superseded
            .iter_mut()
            .find(|(p, _, _)| *p == shard && superseded)
            .map(|(_, l, _)| l);
        let Some(leader) = old.or(self.leaders[shard].as_mut()) else {
            return;
        };
        let Some(reply) = leader.owner.report(&report, None, now) else {
            return;
        };
        if reply.fencing_token < self.boxes[n].token {
            return;
        }
        (self.boxes[n].token, self.boxes[n].answered) = (reply.fencing_token, now);
        self.execute(n, &reply.commands);
    }

    fn calls(&mut self, shard: usize) {
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        // What is given back is replaced.
        let names = leader.owner.releases();
        if !names.is_empty() {
            leader.owner.released(&names, true, self.now);
        }
        for n in 0..BOXES {
            if names.contains(&machine(self.boxes[n].name)) {
                self.boxes[n] = Box_::new(self.names, shard, self.now);
                self.names += 1;
            }
        }
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        for call in leader.owner.calls(self.now, 64) {
            let result = self.call(&call);
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.owner.call_done(&call, result, self.now);
            }
        }
    }

    fn call(&mut self, call: &CommandCall) -> CommandResult {
        let Some(n) = (0..BOXES).find(|n| machine(self.boxes[*n].name) == call.machine) else {
            return CommandResult::NotSent;
        };
        let b = &mut self.boxes[n];
        if self.now < b.mute_until {
            b.held.push(call.clone());
            return CommandResult::Unknown;
        }
        if call.commands.fencing_token < b.token || call.commands.incarnation != b.session {
            return CommandResult::Refused(self.report_of(n));
        }
        b.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.report_of(n))
    }

    fn is_gang(&self, id: &JobId) -> Option<u64> {
        self.jobs
            .iter()
            .find(|(_, s)| s.id == *id && s.kind == JobKind::Gang)
            .map(|(_, s)| s.tasks)
    }

    fn running(&self) -> Vec<(usize, AttemptId)> {
        let all = self
            .boxes
            .iter()
            .enumerate()
            .filter(|(_, b)| self.now >= b.mute_until);
        all.flat_map(|(n, b)| {
            b.tasks
                .iter()
                .filter(|(_, t)| t.phase == TaskPhase::Running)
                .map(move |(id, _)| (n, id.clone()))
        })
        .collect()
    }

    /// A task completes; of a gang, all do.
    fn complete(&mut self, n: usize, id: &AttemptId) {
        if self.is_gang(&id.job).is_none() {
            return self.exit(n, id, "done");
        }
        // Also those that nothing reaches now.
        let all = self
            .boxes
            .iter()
            .enumerate()
            .flat_map(|(n, b)| b.tasks.keys().map(move |i| (n, i.clone())));
        let members: Vec<(usize, AttemptId)> = all
            .filter(|(_, i)| (&i.job, i.attempt) == (&id.job, id.attempt))
            .collect();
        members
            .into_iter()
            .for_each(|(n, id)| self.exit(n, &id, "done"));
    }

    /// What machines do by themselves: fetch, gather, lose their lease.
    fn machines_go_on(&mut self) {
        let now = self.now;
        for n in 0..BOXES {
            if now >= self.boxes[n].mute_until {
                for call in std::mem::take(&mut self.boxes[n].held) {
                    self.call(&call);
                }
            }
            let b = &mut self.boxes[n];
            if now > b.answered + TIMING.lease_ms {
                (b.session, b.answered, b.changed) = (b.session + 1, now, true);
                b.tasks.clear();
            }
        }
        let mut there: HashMap<(JobId, u32), u64> = HashMap::new();
        for (id, t) in self.boxes.iter().flat_map(|b| &b.tasks) {
            if matches!(t.phase, TaskPhase::AwaitingGang | TaskPhase::Running) {
                *there.entry((id.job.clone(), id.attempt)).or_default() += 1;
            }
        }
        let gangs: BTreeMap<JobId, u64> = self
            .jobs
            .iter()
            .filter(|(_, s)| s.kind == JobKind::Gang)
            .map(|(_, s)| (s.id.clone(), s.tasks))
            .collect();
        for b in &mut self.boxes {
            for (id, t) in &mut b.tasks {
                let whole = gangs
                    .get(&id.job)
                    .is_none_or(|n| there.get(&(id.job.clone(), id.attempt)) == Some(n));
                let next = match t.phase {
                    TaskPhase::PullingImage if now >= t.since + 300 => (TaskPhase::AwaitingGang, None),
                    TaskPhase::AwaitingGang if whole => (TaskPhase::Running, None),
                    TaskPhase::AwaitingGang if now >= t.since + 50_000 => {
                        (TaskPhase::Exited, Some("alone"))
                    }
                    TaskPhase::Running if !whole => (TaskPhase::Exited, Some("peers")),
                    _ => continue,
                };
                (t.phase, t.cause, t.since) = (next.0, next.1, now);
                b.changed = true;
            }
        }
        if self.runs_ms > 0 {
            for (n, id) in self.running() {
                if self.boxes[n]
                    .tasks
                    .get(&id)
                    .is_some_and(|t| t.phase == TaskPhase::Running && now >= t.since + self.runs_ms)
                {
                    self.complete(n, &id);
                }
            }
        }
    }

    /// 100 ms in which everything has its turn.
    fn beat(&mut self) {
        self.now += BEAT_MS;
        let now = self.now;
        self.machines_go_on();
        let (due, later) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.late = later;
        for (_, cas) in due {
            self.apply(&cas);
        }
        for shard in 0..PARTS {
            if self.leaders[shard].is_none() && now >= self.back[shard] {
                self.take(shard);
            }
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.word = now;
                leader.other = self.holders.get(&(1 - shard as u16)).map_or(0, |h| h.fencing_token);
                leader
                    .owner
                    .watch_placers(&self.holders, self.revision, now);
                leader.owner.tick(now, now);
            }
            self.calls(shard);
        }
        for n in 0..BOXES {
            let b = &self.boxes[n];
            let due = now >= b.reported + 2_500 || b.changed && now >= b.reported + 500;
            if due && now >= b.mute_until {
                self.hello(n, (now / 1_000 + n as u64).is_multiple_of(2));
            }
        }
        self.superseded_turn();
        for from in 0..PARTS {
            for _ in 0..2 {
                self.placer_turn(from);
                (0..PARTS).for_each(|to| self.sync(from, to));
            }
        }
    }

    fn over(&self, id: &JobId) -> bool {
        self.store.contains_key(&end_key(id))
    }

    fn run_keys(&self) -> Vec<&String> {
        self.store
            .keys()
            .filter(|k| k.starts_with("run/"))
            .collect()
    }

    /// All troubles are over: everything becomes done, and nothing is left.
    fn settle(&mut self) {
        self.fates.clear();
        self.runs_ms = 1_000;
        for b in &mut self.boxes {
            b.mute_until = b.mute_until.min(self.now + 1_000);
        }
        // Longer than any proof by time, any late transaction, and idle work waits.
        let end = self.now + BLIND_MOST_MS + 2 * TIMING.lease_ms + IDLE_BEGIN_MS;
        let settled = |site: &Self| {
            site.jobs.iter().all(|(_, s)| site.over(&s.id))
                && site.run_keys().is_empty()
                && site.late.is_empty()
                && site.superseded.is_empty()
        };
        while self.now < end && !settled(self) {
            self.beat();
        }
        let left: Vec<&JobId> = self
            .jobs
            .iter()
            .map(|(_, s)| &s.id)
            .filter(|id| !self.over(id))
            .collect();
        let told = |id: &JobId| {
            self.leaders
                .iter()
                .flatten()
                .find_map(|l| l.placer.job_note(id, self.now))
        };
        let told: Vec<_> = left
            .iter()
            .map(|id| (id, told(id), self.store.get(&task_chunk_key(0, id, 0))))
            .collect();
        let there: Vec<_> = self
            .boxes
            .iter()
            .flat_map(|b| {
                b.tasks
                    .iter()
                    .map(|(id, t)| (id, t.phase, t.cause, t.since))
            })
            .collect();
        assert!(
            left.is_empty(),
            "not over: {told:?}, on machines: {there:?}, at {}",
            self.now
        );
        assert!(
            self.run_keys().is_empty(),
            "left over: {:?}",
            self.run_keys()
        );
        // A holder that is away comes back, and hears its machines.
        (0..200).for_each(|_| self.beat());
        assert!(
            self.boxes.iter().all(|b| b.tasks.is_empty()),
            "all is forgotten"
        );
        for leader in self.leaders.iter().flatten() {
            assert_eq!(
                leader.placer.known().count(),
                0,
                "part {:?} knows of none",
                leader.token
            );
        }
    }
}

fn job(n: u32, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        ..array(tasks)
    }
}

fn gang(n: u32, tasks: u64) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        ..job(n, tasks)
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many beats pass.
    Pass(u64),
    /// One of the running tasks completes.
    Complete(usize),
    /// What becomes of a later transaction.
    Next(Fate),
    /// A holder ends, and the next one comes after so long; it may go on for a while
    /// without knowing.
    End(usize, u64, u64),
    /// A machine hangs for so long.
    Mute(usize, u64),
    Submit(usize, u64, u8),
    /// The user of one of the jobs asks to cancel it.
    Withdraw(usize),
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        (0..30u64).prop_map(Fate::Slow),
        (0..30u64).prop_map(Fate::Held),
        Just(Fate::Lost),
        Just(Fate::Silent),
        (1..100u64).prop_map(Fate::Late),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..25u64).prop_map(Step::Pass),
        6 => (0..8usize).prop_map(Step::Complete),
        6 => fate().prop_map(Step::Next),
        3 => (0..PARTS, prop::sample::select(vec![100u64, 800, 4_000, 8_000]), prop::sample::select(vec![0u64, 0, 1_500, 6_000]))
            .prop_map(|(shard, away, knows)| Step::End(shard, away, knows)),
        2 => (0..BOXES, prop::sample::select(vec![2_000u64, 9_000, 20_000, 120_000])).prop_map(|(n, ms)| Step::Mute(n, ms)),
        1 => (0..8usize).prop_map(Step::Withdraw),
        2 => (0..PARTS, 1..4u64, 0..4u8).prop_map(|(shard, tasks, kind)| Step::Submit(shard, tasks, kind)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(35), max_shrink_iters: 400, ..ProptestConfig::default() })]

    /// Jobs of one to three tasks that end far apart, while holders of both parts end
    /// or are superseded, machines hang, and transactions are slow, lost, silent or
    /// late. In every order: no task starts while an attempt of it lives, or once its
    /// end is written; nothing is forgotten before its end is written; a job is told
    /// done only when all of its tasks have completed; in the end all are, nothing is
    /// left in the store, and nobody waits for anything.
    #[test]
    fn every_job_ends_once_and_nothing_is_left(steps in prop::collection::vec(step(), 1..60)) {
        let mut site = Site::new();
        (0..20).for_each(|_| site.beat());
        for n in 1..=3 {
            site.submit(0, job(n, u64::from(n)));
        }
        site.submit(0, gang(4, 3));
        site.submit(1, job(5, 2));
        for (n, step) in (10..).zip(steps) {
            match step {
                Step::Pass(beats) => (0..beats).for_each(|_| site.beat()),
                Step::Complete(n) => {
                    let running = site.running();
                    if !running.is_empty() {
                        let (n, id) = running[n % running.len()].clone();
                        site.complete(n, &id);
                    }
                }
                Step::Next(fate) => site.fates.push_back(fate),
                Step::End(shard, away, knows) => site.end(shard, away, knows),
                Step::Mute(n, ms) => site.boxes[n].mute_until = site.now + ms,
                Step::Withdraw(n) => {
                    let id = site.jobs[n % site.jobs.len()].1.id.clone();
                    site.withdraw(&id);
                }
                Step::Submit(shard, tasks, 0) => site.submit(shard, gang(n, tasks)),
                Step::Submit(shard, tasks, 1) => site.submit(shard, JobSpec { priority: Priority::Low, ..job(n, tasks) }),
                Step::Submit(shard, tasks, _) => site.submit(shard, job(n, tasks)),
            }
        }
        site.settle();
    }
}

// ---- single orders -------------------------------------------------------------------

fn id(n: u32) -> JobId {
    job(n, 1).id
}

/// A site whose machines are known.
fn ready() -> Site {
    let mut site = Site::new();
    (0..20).for_each(|_| site.beat());
    site
}

/// Beats until something is so.
fn until(site: &mut Site, what: &str, so: impl Fn(&Site) -> bool) {
    let end = site.now + 30_000;
    while !so(site) {
        assert!(site.now < end, "{what}");
        site.beat();
    }
}

fn complete(site: &mut Site, n: u32, task: u32) {
    let (at, attempt) = site
        .running()
        .into_iter()
        .find(|(_, i)| i.job == id(n) && i.task == task)
        .expect("it runs");
    site.complete(at, &attempt);
}

/// A job of three tasks: one was done and forgotten long ago, one completes while its
/// placer changes, one goes on. The successor loads what was written, hears the end
/// from the machine, which kept it, and starts nothing again; also if it is superseded
/// in turn, before or after it heard of it, and if the end was told and not written.
#[test]
fn an_end_that_is_not_written_is_told_again_to_each_successor() {
    for (beats, successors, knows) in [
        (0, 1, 0),
        (3, 1, 0),
        (25, 1, 0),
        (3, 2, 0),
        (25, 3, 0),
        (3, 2, 2_000),
        (25, 3, 2_000),
    ] {
        let mut site = ready();
        site.submit(0, job(1, 3));
        until(&mut site, "all run", |s| s.running().len() == 3);
        complete(&mut site, 1, 0);
        until(&mut site, "the first end is written", |s| {
            s.done_written(&id(1), 0)
        });
        let kept = |s: &Site| s.boxes.iter().any(|b| b.tasks.keys().any(|i| i.task == 0));
        until(&mut site, "it is forgotten", |s| !kept(s));
        complete(&mut site, 1, 1);
        for _ in 0..successors {
            (0..beats).for_each(|_| site.beat());
            site.end(0, 800, knows);
        }
        assert!(!site.done_written(&id(1), 1), "its end waits for company");
        until(&mut site, "the second end is written", |s| {
            s.done_written(&id(1), 1)
        });
        assert!(!site.over(&id(1)));
        complete(&mut site, 1, 2);
        until(&mut site, "it is over", |s| s.over(&id(1)));
        assert_eq!(
            site.launches, 3,
            "{beats} {successors} {knows}: nothing starts again"
        );
        site.settle();
    }
}

/// The same, and the machine that kept the end is gone before the successor heard it:
/// the task runs again, which costs its time, and the job is done only then.
#[test]
fn an_end_that_is_lost_with_its_machine_costs_one_more_run() {
    let mut site = ready();
    site.submit(0, job(1, 2));
    until(&mut site, "both run", |s| s.running().len() == 2);
    complete(&mut site, 1, 0);
    let kept = site
        .boxes
        .iter()
        .position(|b| b.tasks.keys().any(|i| i.task == 0))
        .expect("there");
    site.end(0, 800, 0);
    site.boxes[kept].mute_until = u64::MAX;
    site.boxes[kept].tasks.clear();
    if site.running().len() == 1 {
        complete(&mut site, 1, 1);
    }
    (0..20).for_each(|_| site.beat());
    assert!(!site.over(&id(1)));
    site.settle();
    assert!(site.completed[&(id(1), 0)] == 2);
}

/// A start whose transaction got no answer was tried again, its task completed, its job
/// ended, and its record was removed. Then the first transaction is carried out: the
/// chunk's key is as absent as it was. It must not come back, under the same holder
/// and under a successor.
#[test]
fn a_late_start_does_not_come_back_after_the_end_of_its_job() {
    let mut site = ready();
    site.fates.push_back(Fate::Late(1_000));
    site.submit(0, job(1, 2));
    site.runs_ms = 500;
    until(&mut site, "it is over", |s| {
        s.over(&id(1)) && s.run_keys().is_empty()
    });
    let (_, late) = site.late.pop().expect("still to come");
    assert!(
        matches!(site.apply(&late), CompareAndSwapOutcome::Conflict(keys) if keys == [job_key(&id(1))])
    );
    site.settle();
}

/// A start was written and nobody learned of it; its user cancels the job, whose placer
/// takes back what it takes for unwritten. The record goes all the same.
#[test]
fn a_start_that_was_written_without_an_answer_goes_with_its_job() {
    for successor in [false, true] {
        let mut site = ready();
        site.fates.push_back(Fate::Silent);
        site.submit(0, job(1, 2));
        while site.run_keys().is_empty() {
            site.beat();
        }
        site.withdraw(&id(1));
        if successor {
            site.end(0, 100, 0);
        }
        until(&mut site, "it is over", |s| s.over(&id(1)));
        until(&mut site, "nothing is left", |s| s.run_keys().is_empty());
        assert_eq!(site.launches, 0);
        site.settle();
    }
}

/// A job is cancelled while its first start is on its way, and the copy of its key is
/// old for a while: the start is refused once and not tried again and again, and what
/// else is to be written goes on.
#[test]
fn a_start_that_its_jobs_key_refused_waits_for_a_new_copy() {
    let mut placer = Placer::new(0, TOKEN, 1, terms(), 0);
    submit(&mut placer, job(1, 1), 0, 0);
    let seq = placer.sync_for(0, TOKEN, ROOM, false, 0).seq;
    let whole = lemonweir_protocol::peer::ChangeRange {
        since: 0,
        until: 1,
        complete: true,
    };
    placer.take_view(view(seq, whole, vec![shown(0, 4)], Vec::new()), 0);
    placer.place(0);
    let first = placer.next_cas(0).expect("its start");
    assert!(
        first
            .conditions
            .iter()
            .any(|c| c.key == job_key(&id(1)) && c.version == 1)
    );
    placer.cas_done(CompareAndSwapOutcome::Conflict(vec![job_key(&id(1))]), 0);
    assert!(placer.next_cas(10).is_none(), "nothing new is known");
    submit(&mut placer, job(2, 1), 0, 20);
    placer.place(20);
    let other = placer.next_cas(20).expect("another job's start");
    assert!(other.conditions.iter().all(|c| c.key != job_key(&id(1))));
    placer.cas_done(CompareAndSwapOutcome::Done(50), 20);
    let asked = JobRecord {
        spec: job(1, 1),
        submitted_at_ms: 0,
        cancel_requested: true,
        dependency_count: 0,
    };
    placer.set_job(
        &id(1),
        Some(&CachedJob {
            record: Arc::new(asked),
            version: 2,
        }),
        30,
    );
    let end = placer.next_cas(30).expect("its end");
    assert!(
        end.writes
            .iter()
            .any(|w| matches!(w, Write::Put { key, .. } if *key == end_key(&id(1))))
    );
}

/// What a successor loads is not written again: of an array with two finished chunks
/// and one that waits for room nothing is, and a job that ended meanwhile goes.
#[test]
fn a_successor_writes_finished_chunks_no_second_time() {
    let mut placer = Placer::new(0, TOKEN, 1, terms(), 0);
    for (n, chunk) in [(1, 0), (1, 1), (2, 0)] {
        let done = vec![(chunk * CHUNK_TASKS, chunk * CHUNK_TASKS + CHUNK_TASKS - 1)];
        let need = job(n, 1).task_resources();
        let record = TaskChunkRecord {
            team: "red".into(),
            task_resources: need,
            next_attempt: 65,
            done_ranges: done,
            live_attempts: Vec::new(),
            gang: None,
        };
        placer.load_chunk(&id(n), chunk, &record, 30 + u64::from(chunk));
    }
    submit(&mut placer, job(1, 150), 0, 0);
    placer.set_job(&id(2), None, 0);
    let cas = placer.next_cas(2 * END_LAG_MS).expect("one goes");
    assert!(
        matches!(&cas.writes[..], [Write::Delete { key }] if *key == task_chunk_key(0, &id(2), 0)),
        "{:?}",
        cas.writes
    );
    placer.cas_done(CompareAndSwapOutcome::Done(60), 2 * END_LAG_MS);
    assert!(placer.next_cas(4 * END_LAG_MS).is_none());
    assert_eq!(placer.job_note(&id(1), 0).map(|n| n.0), Some(128));
}

/// A job is cancelled while its first start is under way, which is then refused or gets
/// no answer: no owner has heard of it, so its end is the next that is written.
#[test]
fn a_start_under_way_does_not_hold_up_a_cancellation() {
    for outcome in [
        CompareAndSwapOutcome::Conflict(vec![job_key(&id(1))]),
        CompareAndSwapOutcome::Again,
    ] {
        let unknown = matches!(outcome, CompareAndSwapOutcome::Again);
        let mut placer = Placer::new(0, TOKEN, 1, terms(), 0);
        submit(&mut placer, job(1, 2), 0, 0);
        let seq = placer.sync_for(0, TOKEN, ROOM, false, 0).seq;
        let whole = lemonweir_protocol::peer::ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        };
        placer.take_view(view(seq, whole, vec![shown(0, 4)], Vec::new()), 0);
        placer.place(0);
        placer.next_cas(0).expect("its starts");
        let asked = JobRecord {
            spec: job(1, 2),
            submitted_at_ms: 0,
            cancel_requested: true,
            dependency_count: 0,
        };
        placer.set_job(
            &id(1),
            Some(&CachedJob {
                record: Arc::new(asked),
                version: 2,
            }),
            30,
        );
        placer.cas_done(outcome, 40);
        let end = placer.next_cas(40).expect("its end");
        assert!(
            end.writes.contains(&Write::Delete {
                key: job_key(&id(1))
            }),
            "{end:?}"
        );
        assert!(end.conditions.contains(&Condition {
            key: job_key(&id(1)),
            version: 2
        }));
        placer.cas_done(CompareAndSwapOutcome::Done(50), 50);
        // What may have been made is asked for; a refusal tells that it was.
        assert_eq!(placer.known().count(), usize::from(unknown));
        assert!(placer.sync_for(0, TOKEN, ROOM, false, 60).desired.is_empty());
        if unknown {
            let absent = placer.next_cas(60 + END_LAG_MS).expect("a question");
            assert!(
                absent.writes.is_empty()
                    && absent.conditions.contains(&Condition {
                        key: task_chunk_key(0, &id(1), 0),
                        version: 0
                    })
            );
            placer.reread(&id(1), 0, 45);
            placer.cas_done(
                CompareAndSwapOutcome::Conflict(vec![task_chunk_key(0, &id(1), 0)]),
                70 + END_LAG_MS,
            );
            let gone = placer.next_cas(70 + END_LAG_MS).expect("its removal");
            assert_eq!(
                gone.writes,
                [Write::Delete {
                    key: task_chunk_key(0, &id(1), 0)
                }]
            );
            placer.cas_done(CompareAndSwapOutcome::Done(51), 80 + END_LAG_MS);
            assert_eq!(placer.known().count(), 0);
        }
    }
}

/// A store whose answers all come too late makes what it is asked to and tells nobody:
/// each try meets what the one before wrote. Nothing starts twice or is lost by it, and
/// once it answers in time the versions are read again and all goes on.
#[test]
fn a_store_that_answers_too_late_costs_only_time() {
    for late in 1..30 {
        let mut site = ready();
        site.submit(0, job(1, 3));
        site.submit(0, gang(2, 2));
        site.fates.extend((0..late).map(|_| Fate::Silent));
        (0..100).for_each(|_| site.beat());
        site.settle();
        assert_eq!(site.launches, 5, "after {late}");
    }
}
