//! The gang admission ledger beside slow plain models: the rule itself against
//! one that lists all cases, and real placers and owners under random histories
//! of grants, refusals, deaths and late messages, judged by what the machines run.

mod support;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use lemonweir_coordination::gang_admission::{
    GangAdmission, GangMembers, GangVerdict, inherited, verdict,
};
use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer, PlacerConfig, ShardOwnership};
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, Write, from_value, to_value};
use lemonweir_protocol::peer::{ShardView, SyncRequest};
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, JobRecord, TaskChunkRecord, job_key, parse_task_chunk_key,
    shard_key,
};
use lemonweir_storage::state_cache::{CachedJob, ShardLeader};
use support::*;

// ---- the rule -----------------------------------------------------------------

/// What must follow, said the long way round: of each step, when it was written,
/// how many members stand where.
fn plain_verdict(
    step: GangAdmissionStep,
    since: Option<u64>,
    m: &GangMembers,
    wait: u64,
    now: u64,
) -> &'static str {
    let over = |most: u64| since.is_some_and(|s| now >= s + most);
    if step == GangAdmissionStep::Released {
        return "wait";
    }
    if m.live < m.needed {
        return "release";
    }
    if step == GangAdmissionStep::Planned {
        let all_granted = m.granted == m.live;
        let none_stopped = m.stopped == 0;
        return match () {
            () if since.is_some() && all_granted && none_stopped => "admit",
            () if m.running > 0 => "wait",
            () if over(GANG_GRANT_MS) => "release",
            () => "wait",
        };
    }
    if m.running > 0 || m.launched >= m.needed || !over(wait) {
        "wait"
    } else {
        "release"
    }
}

#[test]
fn the_rule_is_the_plain_models_in_every_case() {
    let steps = [
        GangAdmissionStep::Planned,
        GangAdmissionStep::Admitted,
        GangAdmissionStep::Released,
        GangAdmissionStep::Other,
    ];
    let wait = 50_000;
    let (mut seen, mut cases) = (BTreeSet::new(), 0);
    for step in steps {
        for since in [None, Some(1_000)] {
            for now in [
                1_000,
                1_000 + GANG_GRANT_MS - 1,
                1_000 + GANG_GRANT_MS,
                1_000 + wait - 1,
                1_000 + wait,
            ] {
                // Every distribution of 3 members over: none, stopped, granted,
                // launched, running, over.
                for kinds in (0..6u32.pow(3)).map(|n| [n % 6, n / 6 % 6, n / 36]) {
                    let count =
                        |from: u32| kinds.iter().filter(|k| **k >= from && **k < 5).count() as u32;
                    let m = GangMembers {
                        needed: 3,
                        live: kinds.iter().filter(|k| **k < 5).count() as u32,
                        stopped: kinds.iter().filter(|k| **k == 1).count() as u32,
                        granted: count(2),
                        launched: count(3),
                        running: count(4),
                    };
                    let admission = GangAdmission {
                        step,
                        at: 7,
                        attempt: 1,
                        since,
                    };
                    let got = match verdict(&admission, &m, wait, now) {
                        GangVerdict::Wait(_) => "wait",
                        GangVerdict::Admit => "admit",
                        GangVerdict::Release(_) => "release",
                    };
                    assert_eq!(
                        got,
                        plain_verdict(step, since, &m, wait, now),
                        "{step:?} {since:?} {now} {m:?}"
                    );
                    seen.insert(got);
                    cases += 1;
                }
            }
        }
    }
    assert_eq!((seen.len(), cases), (3, 4 * 2 * 5 * 216));
}

/// What a successor reads is the least of what the chunks carry, whatever their
/// order, and a release that began is gone on with.
#[test]
fn a_successor_reads_the_least_step_of_all_chunks() {
    let kinds = [
        None,
        Some(GangAdmissionStep::Planned),
        Some(GangAdmissionStep::Admitted),
        Some(GangAdmissionStep::Released),
        Some(GangAdmissionStep::Other),
    ];
    for picks in (0..625usize).map(|n| [n % 5, n / 5 % 5, n / 25 % 5, n / 125]) {
        let records: Vec<Option<GangAdmissionRecord>> = picks
            .iter()
            .enumerate()
            .map(|(i, k)| {
                kinds[*k].map(|step| GangAdmissionRecord {
                    step,
                    at_ms: i as u64,
                    attempt: 4,
                })
            })
            .collect();
        let (step, _, attempt) =
            inherited(records.iter().map(|r| (4, r.as_ref()))).expect("chunks");
        let has = |kind: GangAdmissionStep| records.iter().flatten().any(|r| r.step == kind);
        let plain = match () {
            () if has(GangAdmissionStep::Released) => GangAdmissionStep::Released,
            () if has(GangAdmissionStep::Planned) => GangAdmissionStep::Planned,
            () => GangAdmissionStep::Admitted,
        };
        assert_eq!((step, attempt), (plain, 4), "{picks:?}");
    }
    let (step, ..) = inherited([(1, None), (2, None)].into_iter()).expect("chunks");
    assert_eq!(
        step,
        GangAdmissionStep::Released,
        "members of two attempts never find one another"
    );
}

// ---- real placers and owners under random histories ------------------------------

/// Draws that need nothing from outside.
struct Draws(u64);

impl Draws {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

struct Task {
    phase: TaskPhase,
    cause: Option<&'static str>,
    since: u64,
}

/// A machine as the protocol page has it: tokens, sessions, a lease.
struct Box_ {
    shard: usize,
    session: u64,
    seq: u64,
    token: u64,
    answered: u64,
    tasks: BTreeMap<AttemptId, Task>,
}

/// A part: who places and who owns, each with the token of its life.
struct Part {
    placer: Option<(Placer, u64)>,
    owner: Option<(Owner, u64)>,
    back: u64,
    owner_back: u64,
    passed: u64,
}

const PARTS: usize = 3;
const BOXES: usize = 9;
const GANG_WAIT_MS: u64 = 50_000;

struct Site {
    now: u64,
    draws: Draws,
    /// One in so many messages is lost, late or unknown; 0: none.
    trouble: u64,
    revision: u64,
    store: BTreeMap<String, KeyValue>,
    shards: Vec<Part>,
    boxes: Vec<Box_>,
    holders: BTreeMap<u16, ShardLeader>,
    jobs: Vec<(usize, Arc<JobSpec>)>,
    /// Held-back messages: syncs of earlier lives too, views, transactions, calls.
    late: VecDeque<Late>,
    /// Attempts of gangs whose admission was ever in all of their chunks.
    admitted: BTreeSet<(JobId, u32)>,
    launches: usize,
    /// Changes written for each gang, by step.
    changes: BTreeMap<JobId, usize>,
}

enum Late {
    Sync(usize, SyncRequest),
    View(usize, ShardView),
    CompareAndSwap(CompareAndSwap),
    Call(CommandCall),
}

impl Site {
    fn new(seed: u64, trouble: u64) -> Self {
        let mut site = Self {
            now: 100,
            draws: Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            trouble,
            revision: 40,
            store: BTreeMap::new(),
            shards: (0..PARTS)
                .map(|_| Part {
                    placer: None,
                    owner: None,
                    back: 0,
                    owner_back: 0,
                    passed: 0,
                })
                .collect(),
            boxes: (0..BOXES)
                .map(|n| Box_ {
                    shard: n % PARTS,
                    session: 1,
                    seq: 0,
                    token: 0,
                    answered: 100,
                    tasks: BTreeMap::new(),
                })
                .collect(),
            holders: BTreeMap::new(),
            jobs: Vec::new(),
            late: VecDeque::new(),
            admitted: BTreeSet::new(),
            launches: 0,
            changes: BTreeMap::new(),
        };
        for shard in 0..PARTS {
            site.revive_owner(shard);
            site.revive_placer(shard);
        }
        site
    }

    fn put(&mut self, entry: KeyValue) {
        self.store.insert(
            entry.key.clone(),
            KeyValue {
                version: self.revision,
                ..entry
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
        self.put(KeyValue {
            key: job_key(&spec.id),
            value: to_value(&record),
            version: 0,
        });
        self.jobs.push((shard, Arc::new(spec)));
        self.tell_jobs();
    }

    fn withdraw(&mut self, id: &JobId) {
        let key = job_key(id);
        if let Some(entry) = self.store.get(&key) {
            let record = JobRecord {
                cancel_requested: true,
                ..from_value(&entry.value).expect("a job")
            };
            self.revision += 1;
            self.put(KeyValue {
                key,
                value: to_value(&record),
                version: 0,
            });
            self.tell_jobs();
        }
    }

    /// What the followed keys say reaches every placer.
    fn tell_jobs(&mut self) {
        for (shard, spec) in &self.jobs {
            let mirrored = self.store.get(&job_key(&spec.id)).map(|e| CachedJob {
                record: Arc::new(from_value(&e.value).expect("a job")),
                version: e.version,
            });
            if let Some((placer, _)) = self.shards[*shard].placer.as_mut() {
                placer.set_job(&spec.id, mirrored.as_ref(), self.now);
            }
        }
    }

    fn revive_owner(&mut self, shard: usize) {
        self.revision += 1;
        // Nothing is given back: the fleet is fixed.
        let policy = Policy {
            on_demand_idle_multiple: 1e6,
            spot_idle_multiple: 1e6,
            ..lemonweir_policy::embedded().expect("policy")
        };
        let mut owner = Owner::new(
            shard as u16,
            self.revision,
            PARTS as u16,
            TIMING,
            policy,
            self.now,
        );
        owner.set_types([kind()].iter());
        self.shards[shard].owner = Some((owner, self.revision));
    }

    fn revive_placer(&mut self, shard: usize) {
        self.revision += 1;
        let token = self.revision;
        self.holders.insert(
            shard as u16,
            ShardLeader {
                host: format!("h{shard}"),
                fencing_token: token,
            },
        );
        self.put(KeyValue {
            key: shard_key(shard as u16),
            value: to_value(&0),
            version: 0,
        });
        let terms = PlacerConfig {
            gang_wait_ms: GANG_WAIT_MS,
            wall_offset_ms: 1_000_000,
            ..terms()
        };
        let mut placer = Placer::new(shard as u16, token, PARTS as u16, terms, self.now);
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
        self.shards[shard].placer = Some((placer, token));
        let over: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(p, _)| *p == shard)
            .map(|(_, s)| s.id.clone())
            .collect();
        for id in over
            .iter()
            .filter(|id| !self.store.contains_key(&job_key(id)))
        {
            if let Some((placer, _)) = self.shards[shard].placer.as_mut() {
                placer.set_job(id, None, self.now);
            }
        }
        self.tell_jobs();
    }

    /// A placer ends; its part is vacant for a while.
    fn end_placer(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].placer.take().is_some() {
            self.revision += 1;
            self.holders.remove(&(shard as u16));
            self.store.remove(&shard_key(shard as u16));
            self.shards[shard].back = self.now + ms;
        }
    }

    fn end_owner(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].owner.take().is_some() {
            self.shards[shard].owner_back = self.now + ms;
        }
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
                Write::Put { key, value, .. } => self.put(KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    version: 0,
                }),
                Write::Delete { key } => drop(self.store.remove(key)),
            }
            let (Write::Put { key, .. } | Write::Delete { key }) = w;
            if let Some((id, _)) = parse_task_chunk_key(key) {
                *self.changes.entry(id).or_default() += 1;
            }
        }
        // Which gangs are admitted now: every chunk with members says so.
        let mut steps: BTreeMap<JobId, Vec<(u32, Option<GangAdmissionStep>)>> = BTreeMap::new();
        for (key, e) in self
            .store
            .range("run/".to_owned()..)
            .take_while(|(k, _)| k.starts_with("run/"))
        {
            let (id, _) = parse_task_chunk_key(key).expect("a key");
            let record: TaskChunkRecord = from_value(&e.value).expect("a chunk");
            let step = record.gang.as_ref().map(|g| g.step);
            steps
                .entry(id)
                .or_default()
                .extend(record.live_attempts.iter().map(|l| (l.attempt, step)));
        }
        for (id, members) in steps {
            let first = members.first().map_or(0, |m| m.0);
            if !members.is_empty()
                && members
                    .iter()
                    .all(|(a, step)| *a == first && *step == Some(GangAdmissionStep::Admitted))
            {
                self.admitted.insert((id, first));
            }
        }
        self.tell_jobs();
        CompareAndSwapOutcome::Done(self.revision)
    }

    fn placer_turn(&mut self, shard: usize) {
        let now = self.now;
        let Part {
            placer: Some((placer, token)),
            passed,
            ..
        } = &mut self.shards[shard]
        else {
            return;
        };
        let token = *token;
        placer.keep_ledger(now, 1_000_000);
        if placer.wants_pass(now) && now >= *passed + PLACE_GAP_MS {
            *passed = now;
            placer.place(now);
        }
        let Some(cas) = placer.next_cas(now) else {
            return;
        };
        let trouble = self.trouble > 0 && self.draws.one_in(self.trouble);
        let outcome = match (trouble, self.draws.below(3)) {
            (false, _) => self.apply(&cas),
            // Not made; made, but nobody hears of it; made late.
            (true, 0) => CompareAndSwapOutcome::Again,
            (true, 1) => {
                self.apply(&cas);
                CompareAndSwapOutcome::Again
            }
            (true, _) => {
                self.late.push_back(Late::CompareAndSwap(cas));
                CompareAndSwapOutcome::Again
            }
        };
        let reread: Vec<(JobId, u32, u64)> = match &outcome {
            CompareAndSwapOutcome::Conflict(keys) => keys
                .iter()
                .filter_map(|k| parse_task_chunk_key(k).map(|(id, chunk)| (id, chunk, self.version(k))))
                .collect(),
            _ => Vec::new(),
        };
        let Some((placer, _)) = self.shards[shard]
            .placer
            .as_mut()
            .filter(|(_, t)| *t == token)
        else {
            return;
        };
        for (id, chunk, version) in reread {
            placer.reread(&id, chunk, version);
        }
        if placer.cas_done(outcome, now).0 == ShardOwnership::Lost {
            self.shards[shard].placer = None;
        }
    }

    fn sync(&mut self, from: usize, to: usize) {
        let Some((_, to_token)) = self.shards[to].owner.as_ref() else {
            return;
        };
        let to_token = *to_token;
        let Some((placer, _)) = self.shards[from].placer.as_mut() else {
            return;
        };
        let sync = placer.sync_for(to as u16, to_token, ROOM, false, self.now);
        match (
            self.trouble > 0 && self.draws.one_in(self.trouble),
            self.draws.below(3),
        ) {
            (false, _) => self.deliver(to, &sync, true),
            (true, 0) => self.lose(from, to),
            (true, 1) => {
                self.lose(from, to);
                self.late.push_back(Late::Sync(to, sync));
            }
            (true, _) => {
                self.deliver(to, &sync, false);
                self.lose(from, to);
            }
        }
    }

    fn lose(&mut self, from: usize, to: usize) {
        if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.lost(to as u16);
        }
    }

    fn deliver(&mut self, to: usize, sync: &SyncRequest, answered: bool) {
        let from = usize::from(sync.from_shard);
        let Some((owner, _)) = self.shards[to].owner.as_mut() else {
            return;
        };
        let Ok(view) = owner.sync(sync, ROOM, self.now) else {
            return;
        };
        if !answered || self.trouble > 0 && self.draws.one_in(self.trouble) {
            self.late.push_back(Late::View(from, view));
        } else if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.take_view(view, self.now);
        }
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
            ..report(n, b.seq)
        }
    }

    fn execute(&mut self, n: usize, orders: &[Command]) {
        for o in orders {
            let id = AttemptId::parse(&o.task, o.attempt).expect("a task");
            match o.kind {
                CommandKind::Start if self.boxes[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    self.launches += 1;
                    let gang = self
                        .jobs
                        .iter()
                        .any(|(_, s)| s.id == id.job && s.kind == JobKind::Gang && s.tasks > 1);
                    assert!(
                        !gang || self.admitted.contains(&(id.job.clone(), id.attempt)),
                        "{id} is launched and not admitted"
                    );
                    let twice = |b: &Box_| {
                        b.tasks.iter().any(|(i, t)| {
                            (&i.job, i.task) == (&id.job, id.task) && t.phase != TaskPhase::Exited
                        })
                    };
                    assert!(!self.boxes.iter().any(twice), "{id} is on two machines");
                    self.boxes[n].tasks.insert(
                        id,
                        Task {
                            phase: TaskPhase::PullingImage,
                            cause: None,
                            since: self.now,
                        },
                    );
                }
                // It saves for a while.
                CommandKind::Stop if o.grace_s.is_some_and(|s| s > 0) => {
                    if let Some(t) = self.boxes[n]
                        .tasks
                        .get_mut(&id)
                        .filter(|t| t.phase == TaskPhase::Running)
                    {
                        (t.phase, t.since) = (TaskPhase::Checkpointing, self.now);
                    }
                }
                CommandKind::Stop => self.exit(n, &id, "stopped"),
                CommandKind::Forget => drop(self.boxes[n].tasks.remove(&id)),
            }
        }
        self.check_members();
    }

    fn exit(&mut self, n: usize, id: &AttemptId, cause: &'static str) {
        if let Some(t) = self.boxes[n]
            .tasks
            .get_mut(id)
            .filter(|t| t.phase != TaskPhase::Exited)
        {
            (t.phase, t.cause) = (TaskPhase::Exited, Some(cause));
        }
    }

    /// At every instant: what is on machines of a gang is of one admitted attempt.
    fn check_members(&self) {
        let mut attempts: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (id, t) in self.boxes.iter().flat_map(|b| &b.tasks) {
            let gang = self
                .jobs
                .iter()
                .any(|(_, s)| s.id == id.job && s.kind == JobKind::Gang);
            if gang && t.phase != TaskPhase::Exited {
                let first = *attempts.entry(&id.job).or_insert(id.attempt);
                assert_eq!(first, id.attempt, "{}: members of two attempts", id.job);
            }
        }
    }

    fn hello(&mut self, n: usize) {
        let shard = self.boxes[n].shard;
        let report = self.report_of(n);
        let Some((owner, _)) = self.shards[shard].owner.as_mut() else {
            return;
        };
        let Some(reply) = owner.report(&report, None, self.now) else {
            return;
        };
        if self.trouble > 0 && self.draws.one_in(self.trouble) || reply.fencing_token < self.boxes[n].token
        {
            return;
        }
        (self.boxes[n].token, self.boxes[n].answered) = (reply.fencing_token, self.now);
        self.execute(n, &reply.commands);
    }

    fn calls(&mut self, shard: usize) {
        let Some((owner, _)) = self.shards[shard].owner.as_mut() else {
            return;
        };
        for call in owner.calls(self.now, 64) {
            let trouble = self.trouble > 0 && self.draws.one_in(self.trouble);
            let result = match (trouble, self.draws.below(3)) {
                (true, 0) => CommandResult::NotSent,
                (true, 1) => {
                    self.late.push_back(Late::Call(call.clone()));
                    CommandResult::Unknown
                }
                (true, _) => {
                    self.call(&call);
                    CommandResult::Unknown
                }
                (false, _) => self.call(&call),
            };
            if let Some((owner, _)) = self.shards[shard].owner.as_mut() {
                owner.call_done(&call, result, self.now);
            }
        }
    }

    fn call(&mut self, call: &CommandCall) -> CommandResult {
        let n = (0..BOXES)
            .find(|n| machine(*n) == call.machine)
            .expect("a machine");
        let b = &mut self.boxes[n];
        if call.commands.fencing_token < b.token || call.commands.incarnation != b.session {
            return CommandResult::Refused(self.report_of(n));
        }
        b.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.report_of(n))
    }

    /// What machines do by themselves: fetch, gather, run, end, lose their lease.
    fn machines_go_on(&mut self) {
        let now = self.now;
        let mut there: HashMap<(JobId, u32), (usize, bool)> = HashMap::new();
        for (id, t) in self.boxes.iter().flat_map(|b| &b.tasks) {
            let group = there
                .entry((id.job.clone(), id.attempt))
                .or_insert((0, true));
            group.0 += usize::from(matches!(t.phase, TaskPhase::AwaitingGang | TaskPhase::Running));
            group.1 &= t.phase != TaskPhase::Exited || t.cause == Some("done");
        }
        let tasks_of = |id: &JobId| {
            self.jobs
                .iter()
                .find(|(_, s)| s.id == *id)
                .map_or(
                    1,
                    |(_, s)| if s.kind == JobKind::Gang { s.tasks } else { 1 },
                )
        };
        let needed: HashMap<JobId, u64> = there
            .keys()
            .map(|(id, _)| (id.clone(), tasks_of(id)))
            .collect();
        for b in &mut self.boxes {
            for (id, t) in &mut b.tasks {
                let (count, sound) = there[&(id.job.clone(), id.attempt)];
                let whole = count as u64 >= needed[&id.job];
                let gang = needed[&id.job] > 1;
                match t.phase {
                    TaskPhase::PullingImage if now >= t.since + 600 => {
                        (t.phase, t.since) = (TaskPhase::AwaitingGang, now)
                    }
                    TaskPhase::AwaitingGang if whole || !gang => {
                        (t.phase, t.since) = (TaskPhase::Running, now)
                    }
                    TaskPhase::AwaitingGang if now >= t.since + GANG_WAIT_MS => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("alone"))
                    }
                    TaskPhase::Checkpointing if now >= t.since + 2_000 => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("stopped"))
                    }
                    TaskPhase::Running if gang && !(whole && sound) => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("peers"))
                    }
                    _ => {}
                }
            }
        }
        let ripe: Vec<AttemptId> = self
            .boxes
            .iter()
            .flat_map(|b| &b.tasks)
            .filter(|(_, t)| t.phase == TaskPhase::Running && now >= t.since + 6_000)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ripe {
            let all = needed[&id.job] > 1;
            for b in &mut self.boxes {
                for (_, t) in b.tasks.iter_mut().filter(|(i, t)| {
                    t.phase == TaskPhase::Running
                        && if all {
                            (&i.job, i.attempt) == (&id.job, id.attempt)
                        } else {
                            **i == id
                        }
                }) {
                    (t.phase, t.cause) = (TaskPhase::Exited, Some("done"));
                }
            }
        }
        for b in self
            .boxes
            .iter_mut()
            .filter(|b| now > b.answered + TIMING.lease_ms)
        {
            (b.session, b.answered) = (b.session + 1, now);
            b.tasks.clear();
        }
    }

    fn deliver_late(&mut self) {
        let n = self.draws.below(self.late.len().max(1) as u64) as usize;
        match self.late.remove(n) {
            Some(Late::Sync(to, sync)) => self.deliver(to, &sync, false),
            Some(Late::View(to, view)) => {
                if let Some((placer, _)) = self.shards[to].placer.as_mut() {
                    placer.take_view(view, self.now);
                }
            }
            Some(Late::CompareAndSwap(cas)) => drop(self.apply(&cas)),
            Some(Late::Call(call)) => drop(self.call(&call)),
            None => {}
        }
    }

    /// 100 ms in which everything has its turn.
    fn step(&mut self) {
        self.now += 100;
        self.machines_go_on();
        for shard in 0..PARTS {
            if self.shards[shard].placer.is_none() && self.now >= self.shards[shard].back {
                if self.holders.remove(&(shard as u16)).is_some() {
                    self.revision += 1;
                    self.store.remove(&shard_key(shard as u16));
                }
                self.revive_placer(shard);
            }
            if self.shards[shard].owner.is_none() && self.now >= self.shards[shard].owner_back {
                self.revive_owner(shard);
            }
            if let Some((owner, _)) = self.shards[shard].owner.as_mut() {
                owner.watch_placers(&self.holders, self.revision, self.now);
                owner.tick(self.now, self.now);
            }
            self.calls(shard);
        }
        for n in 0..BOXES {
            if self.now / 100 % 15 == n as u64 {
                self.hello(n);
            }
        }
        for from in 0..PARTS {
            for _ in 0..2 {
                self.placer_turn(from);
                (0..PARTS).for_each(|to| self.sync(from, to));
            }
        }
        if self.trouble > 0 && self.draws.one_in(4) {
            self.deliver_late();
        }
    }

    fn over(&self, id: &JobId) -> bool {
        self.store.contains_key(&format!("end/{id}"))
    }
}

fn gang(n: u32, tasks: u64, gpus: f64) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        kind: JobKind::Gang,
        gpus,
        cpus: gpus * 4.0,
        ..array(tasks)
    }
}

/// Two gangs that each need nearly every machine, small work between, and placers
/// and owners that end at any time while messages, transactions and orders are
/// lost or late: nothing of a gang that isn't admitted is ever launched, members of
/// two attempts never meet, and once all troubles are over everything is done or
/// withdrawn and all room is free.
#[test]
fn no_history_launches_a_gang_by_halves() {
    let (mut launches, mut admitted) = (0, 0);
    for seed in 1..=16 {
        let mut site = Site::new(seed, 6);
        for step in 0..600u32 {
            if step == 30 {
                site.submit(0, gang(1, 8, 4.0));
                site.submit(1, gang(2, 7, 4.0));
            }
            if step > 30 && step % 40 == 0 {
                site.submit(
                    2,
                    JobSpec {
                        id: JobId::from(format!("req-{:06}", 100 + step).as_str()),
                        ..array(3)
                    },
                );
            }
            if step == 300 && seed % 3 == 0 {
                site.withdraw(&JobId::from("req-000001"));
            }
            let shard = site.draws.below(PARTS as u64) as usize;
            let ms = [300, 1_500, 12_000][site.draws.below(3) as usize];
            if site.draws.one_in(60) {
                site.end_placer(shard, ms);
            }
            if site.draws.one_in(60) {
                site.end_owner(shard, ms.min(3_000));
            }
            site.step();
        }
        site.trouble = 0;
        for _ in 0..2_000 {
            site.step();
        }
        let left: Vec<&JobId> = site
            .jobs
            .iter()
            .map(|(_, s)| &s.id)
            .filter(|id| !site.over(id))
            .collect();
        assert!(left.is_empty(), "seed {seed}: {left:?} are not over");
        assert!(
            site.boxes
                .iter()
                .all(|b| b.tasks.values().all(|t| t.phase == TaskPhase::Exited))
        );
        launches += site.launches;
        admitted += site.admitted.len();
    }
    assert!(
        launches > 400 && admitted > 25,
        "{launches} launches, {admitted} admissions"
    );
}

// ---- single steps -------------------------------------------------------------------

const ONE: &str = "req-000001";

/// What the store says of the gang: its step, and how many members it names.
fn step_of(site: &Site) -> Option<(GangAdmissionStep, usize)> {
    let chunk: TaskChunkRecord =
        from_value(&site.store.get("run/0/req-000001/0")?.value).expect("a chunk");
    chunk.gang.map(|g| (g.step, chunk.live_attempts.len()))
}

/// A gang of 8 whole machines on three parts, brought to where its first step is
/// written and granted, and the second is not.
fn planned() -> Site {
    let mut site = Site::new(3, 0);
    (0..30).for_each(|_| site.step());
    site.submit(0, gang(1, 8, 4.0));
    while step_of(&site).is_none() {
        site.placer_turn(0);
        site.now += 10;
    }
    assert_eq!(step_of(&site), Some((GangAdmissionStep::Planned, 8)));
    site
}

fn running(site: &Site) -> usize {
    site.boxes
        .iter()
        .flat_map(|b| b.tasks.values())
        .filter(|t| t.phase == TaskPhase::Running)
        .count()
}

/// A gang takes one change more than an array with as many tasks in its chunk, and
/// that one is written before anything else of its placer.
#[test]
fn a_gang_takes_one_change_more() {
    let written = |spec: JobSpec| {
        let mut site = Site::new(3, 0);
        (0..30).for_each(|_| site.step());
        let id = spec.id.clone();
        site.submit(0, spec);
        // All tasks of the array fit one transaction too.
        while !site.over(&id) {
            site.step();
        }
        site.changes[&id]
    };
    let array = written(JobSpec {
        gpus: 4.0,
        cpus: 16.0,
        ..array(8)
    });
    assert_eq!(written(gang(1, 8, 4.0)), array + 1);
    assert_eq!(
        written(gang(1, 1, 4.0)),
        array,
        "one task needs no admission"
    );
}

/// 700 members are recorded and admitted in one transaction each, however much else
/// is to be written.
#[test]
fn seven_hundred_members_go_in_one_transaction() {
    let mut placer = Placer::new(
        0,
        TOKEN,
        1,
        PlacerConfig {
            gang_wait_ms: GANG_WAIT_MS,
            ..terms()
        },
        0,
    );
    for n in 0..7u64 {
        submit(
            &mut placer,
            JobSpec {
                id: JobId::from(format!("req-{:06}", 50 + n).as_str()),
                ..array(1)
            },
            n,
            0,
        );
    }
    submit(&mut placer, gang(90, 700, 1.0), 100, 0);
    let mut owner = fleet(190);
    let (mut revision, mut steps) = (TOKEN, Vec::new());
    for round in 0..30u64 {
        let now = 100 + round * 60;
        let sync = placer.sync_for(0, TOKEN, ROOM, false, now);
        let view = owner.sync(&sync, ROOM, now).expect("taken");
        placer.take_view(view, now);
        placer.keep_ledger(now, 0);
        placer.place(now);
        while let Some(cas) = placer.next_cas(now) {
            let gang: Vec<GangAdmissionStep> = cas
                .writes
                .iter()
                .filter_map(|w| match w {
                    Write::Put { value, .. } => {
                        from_value::<TaskChunkRecord>(value)?.gang.map(|g| g.step)
                    }
                    Write::Delete { .. } => None,
                })
                .collect();
            if !gang.is_empty() {
                assert_eq!(gang.len(), 11, "{gang:?}");
                steps.push(gang[0]);
            }
            assert!(cas.writes.len() <= 12);
            assert!(to_value(&cas).to_string().len() < 128 * 1024);
            revision += 1;
            placer.cas_done(CompareAndSwapOutcome::Done(revision), now);
        }
    }
    assert_eq!(
        steps,
        [GangAdmissionStep::Planned, GangAdmissionStep::Admitted]
    );
}

/// The placer ends after its gang was planned, before anybody heard of it, after all
/// owners granted, and after it was admitted: the successor starts the same attempt
/// whole.
#[test]
fn a_successor_finishes_what_can_be_whole() {
    for (granted, admitted) in [(false, false), (true, false), (true, true)] {
        let mut site = planned();
        if granted {
            (0..PARTS).for_each(|to| site.sync(0, to));
        }
        while admitted && step_of(&site) != Some((GangAdmissionStep::Admitted, 8)) {
            site.placer_turn(0);
        }
        assert_eq!(site.launches, 0);
        let written = site.changes[&JobId::from(ONE)];
        site.end_placer(0, 3_000);
        (0..60).for_each(|_| site.step());
        assert_eq!(
            (step_of(&site), site.launches),
            (Some((GangAdmissionStep::Admitted, 8)), 8),
            "{granted} {admitted}"
        );
        assert_eq!(
            site.changes[&JobId::from(ONE)],
            written + usize::from(!admitted),
            "its one decision"
        );
        assert!(site.admitted.contains(&(JobId::from(ONE), 1)));
        (0..100).for_each(|_| site.step());
        assert!(site.over(&JobId::from(ONE)));
    }
}

/// Placer and an owner end, and the owner does not come back for a while: nothing is
/// launched, the successor's decision to release is in the store, room elsewhere is
/// free at once, and the gang starts as another attempt once the owner is back.
#[test]
fn a_successor_releases_what_cannot_be_whole() {
    let mut site = planned();
    (0..2).for_each(|to| site.sync(0, to));
    site.end_placer(0, 2_000);
    site.end_owner(2, 40_000);
    let end = site.now + 2_000 + GANG_GRANT_MS + 500;
    while site.now < end {
        site.step();
        assert_eq!(site.launches, 0);
    }
    assert_eq!(
        step_of(&site).map(|s| s.0),
        Some(GangAdmissionStep::Released)
    );
    for shard in 0..2 {
        let (placer, _) = site.shards[1].placer.as_ref().expect("there");
        let there = |m: &&lemonweir_protocol::peer::MachineView| {
            site.boxes
                .iter()
                .enumerate()
                .any(|(n, b)| b.shard == shard && machine(n) == m.id)
        };
        assert!(
            placer
                .machines()
                .filter(there)
                .all(|m| m.free.milli_gpus == 4_000),
            "part {shard}"
        );
    }
    (0..400).for_each(|_| site.step());
    assert!(site.over(&JobId::from(ONE)));
    assert!(!site.admitted.contains(&(JobId::from(ONE), 1)) && !site.admitted.is_empty());
}

/// A gang pushes others out: none of it is launched before all of them are gone.
#[test]
fn nothing_is_launched_before_those_who_make_way_are_gone() {
    let mut site = Site::new(4, 0);
    (0..30).for_each(|_| site.step());
    let low = JobSpec {
        id: JobId::from("req-000007"),
        checkpoint_interval_s: 60.0,
        checkpoint_duration_s: 2.0,
        gpus: 4.0,
        cpus: 16.0,
        ..array(5)
    };
    site.submit(1, low);
    let full = |site: &Site| running(site) == 5;
    let limit = site.now + 6_000;
    while !full(&site) && site.now < limit {
        site.step();
    }
    assert!(full(&site), "{} of {}", running(&site), site.launches);
    (0..10).for_each(|_| site.step());
    site.submit(
        0,
        JobSpec {
            priority: Priority::High,
            ..gang(1, 8, 4.0)
        },
    );
    let before = site.launches;
    let mut most_leaving = 0;
    let limit = site.now + EVICT_WAIT_MS;
    while site.launches == before && site.now < limit {
        let leaving = site
            .boxes
            .iter()
            .flat_map(|b| b.tasks.values())
            .filter(|t| t.phase == TaskPhase::Checkpointing)
            .count();
        most_leaving = most_leaving.max(leaving);
        site.step();
    }
    assert_eq!(most_leaving, 4);
    let saving = |b: &Box_| b.tasks.values().any(|t| t.phase == TaskPhase::Checkpointing);
    assert!(!site.boxes.iter().any(saving));
    (0..200).for_each(|_| site.step());
    assert!(site.over(&JobId::from(ONE)));
}

/// A placer is gone for good. Its owners keep the room it was granted for
/// [`ORPHAN_ROOM_MS`] after the store has shown it, and not longer; a go of it that
/// comes late launches nothing, and neither does a late grant of theirs.
#[test]
fn room_of_a_dead_placer_is_free_in_time() {
    let mut site = planned();
    (0..PARTS).for_each(|to| site.sync(0, to));
    // It admits the gang, and its go to the owner of part 1 is on its way for long.
    while step_of(&site) != Some((GangAdmissionStep::Admitted, 8)) {
        site.placer_turn(0);
    }
    let token = site.shards[1].owner.as_ref().expect("there").1;
    let late = site.shards[0]
        .placer
        .as_mut()
        .expect("there")
        .0
        .sync_for(1, token, ROOM, false, site.now);
    assert!(late.desired.iter().all(|w| w.may_start) && !late.desired.is_empty());
    site.end_placer(0, 600_000);
    let ended = site.now;
    let free = |site: &Site| {
        let (placer, _) = site.shards[2].placer.as_ref().expect("there");
        placer.machines().filter(|m| m.free.milli_gpus == 4_000).count()
    };
    let mut at = None;
    while at.is_none() {
        site.step();
        if site.now > ended + 1_000 && site.now <= ended + 1_100 {
            site.deliver(1, &late, false);
        }
        assert!(site.now <= ended + ORPHAN_ROOM_MS + 300, "still held");
        at = (free(&site) == BOXES).then_some(site.now);
    }
    assert!(at >= Some(ended + ORPHAN_ROOM_MS));
    assert_eq!(site.launches, 0, "a late go launches nothing");
    (0..50).for_each(|_| site.step());
    site.deliver(1, &late, false);
    (0..50).for_each(|_| site.step());
    assert_eq!((site.launches, free(&site)), (0, BOXES));
    // What comes after it finds a member refused, and starts all of it anew.
    site.shards[0].back = site.now;
    (0..400).for_each(|_| site.step());
    assert!(site.over(&JobId::from(ONE)) && site.launches >= 8);
}

/// Withdrawn at each step: nothing more of it is launched, and all room is free.
#[test]
fn a_gang_may_be_withdrawn_at_each_step() {
    for steps in [0, 1, 2, 3, 8, 20] {
        let mut site = planned();
        (0..steps).for_each(|_| site.step());
        site.withdraw(&JobId::from(ONE));
        // What its owners had been told before.
        site.step();
        let launched = site.launches;
        (0..100).for_each(|_| site.step());
        assert!(site.over(&JobId::from(ONE)), "{steps}");
        assert_eq!((site.launches, running(&site)), (launched, 0), "{steps}");
        let (placer, _) = site.shards[1].placer.as_ref().expect("there");
        assert!(placer.machines().all(|m| m.free.milli_gpus == 4_000), "{steps}");
    }
}
