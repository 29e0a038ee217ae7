//! The gang admission ledger beside slow reference models: the rule itself against
//! one that lists all cases, and real placers and owners under random histories
//! of grants, refusals, deaths and late messages, judged by what the machines run.

mod support;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use lemonweir_coordination::gang_admission::{
    GANG_GRANT_TIMEOUT_MS, GangAdmission, GangDecision, GangMembers, InheritedAdmission, decide,
    inherited_admission,
};
use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer, PlacerConfig, ShardOwnership};
use lemonweir_model::constants::{ORPHANED_GRANT_MS, PLACEMENT_INTERVAL_MS, PREEMPTION_TIMEOUT_MS};
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, Write, from_value, to_value};
use lemonweir_protocol::peer::{ShardView, SyncRequest};
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, JobRecord, TaskChunkRecord, job_key,
    parse_task_chunk_key, shard_key,
};
use lemonweir_storage::state_cache::{CachedJob, ShardLeader};
use support::*;

// ---- the rule -----------------------------------------------------------------

/// What must follow, said the long way round: of each step, when it was written,
/// how many members stand where.
fn reference_verdict(
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
            () if over(GANG_GRANT_TIMEOUT_MS) => "release",
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
fn verdict_equals_the_reference_model_in_every_case() {
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
                1_000 + GANG_GRANT_TIMEOUT_MS - 1,
                1_000 + GANG_GRANT_TIMEOUT_MS,
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
                    let got = match decide(&admission, &m, wait, now) {
                        GangDecision::Wait(_) => "wait",
                        GangDecision::Admit => "admit",
                        GangDecision::Release(_) => "release",
                    };
                    assert_eq!(
                        got,
                        reference_verdict(step, since, &m, wait, now),
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
fn new_leader_inherits_the_least_step_of_all_chunks() {
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
        let InheritedAdmission { step, attempt, .. } =
            inherited_admission(records.iter().map(|r| (4, r.as_ref()))).expect("chunks");
        let has = |kind: GangAdmissionStep| records.iter().flatten().any(|r| r.step == kind);
        let plain = match () {
            () if has(GangAdmissionStep::Released) => GangAdmissionStep::Released,
            () if has(GangAdmissionStep::Planned) => GangAdmissionStep::Planned,
            () => GangAdmissionStep::Admitted,
        };
        assert_eq!((step, attempt), (plain, 4), "{picks:?}");
    }
    let InheritedAdmission { step, .. } =
        inherited_admission([(1, None), (2, None)].into_iter()).expect("chunks");
    assert_eq!(
        step,
        GangAdmissionStep::Released,
        "members of two attempts never find one another"
    );
}

// ---- real placers and owners under random histories ------------------------------

/// Draws that need nothing from outside.
struct Random(u64);

impl Random {
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
struct Worker {
    shard: usize,
    session: u64,
    seq: u64,
    token: u64,
    last_answer_at: u64,
    tasks: BTreeMap<AttemptId, Task>,
}

/// A shard: who places and who owns, each with the token of its life.
struct ShardControllers {
    placer: Option<(Placer, u64)>,
    owner: Option<(Owner, u64)>,
    placer_back_at: u64,
    owner_back_at: u64,
    last_pass_at: u64,
}

const SHARDS: usize = 3;
const WORKERS: usize = 9;
const GANG_WAIT_MS: u64 = 50_000;

struct Cluster {
    now: u64,
    random: Random,
    /// One in so many messages is lost, late or unknown; 0: none.
    fault_odds: u64,
    revision: u64,
    store: BTreeMap<String, KeyValue>,
    shards: Vec<ShardControllers>,
    workers: Vec<Worker>,
    shard_leaders: BTreeMap<u16, ShardLeader>,
    jobs: Vec<(usize, Arc<JobSpec>)>,
    /// Held-back messages: syncs of earlier lives too, views, compare-and-swaps, calls.
    delayed: VecDeque<DelayedMessage>,
    /// Attempts of gangs whose admission was ever in all of their chunks.
    admitted: BTreeSet<(JobId, u32)>,
    launches: usize,
    /// Changes written for each gang, by step.
    chunk_writes: BTreeMap<JobId, usize>,
}

enum DelayedMessage {
    Sync(usize, SyncRequest),
    View(usize, ShardView),
    CompareAndSwap(CompareAndSwap),
    Call(CommandCall),
}

impl Cluster {
    fn new(seed: u64, fault_odds: u64) -> Self {
        let mut cluster = Self {
            now: 100,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            fault_odds,
            revision: 40,
            store: BTreeMap::new(),
            shards: (0..SHARDS)
                .map(|_| ShardControllers {
                    placer: None,
                    owner: None,
                    placer_back_at: 0,
                    owner_back_at: 0,
                    last_pass_at: 0,
                })
                .collect(),
            workers: (0..WORKERS)
                .map(|n| Worker {
                    shard: n % SHARDS,
                    session: 1,
                    seq: 0,
                    token: 0,
                    last_answer_at: 100,
                    tasks: BTreeMap::new(),
                })
                .collect(),
            shard_leaders: BTreeMap::new(),
            jobs: Vec::new(),
            delayed: VecDeque::new(),
            admitted: BTreeSet::new(),
            launches: 0,
            chunk_writes: BTreeMap::new(),
        };
        for shard in 0..SHARDS {
            cluster.start_owner(shard);
            cluster.start_placer(shard);
        }
        cluster
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
        self.publish_jobs();
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
            self.publish_jobs();
        }
    }

    /// What the followed keys say reaches every placer.
    fn publish_jobs(&mut self) {
        for (shard, spec) in &self.jobs {
            let mirrored = self.store.get(&job_key(&spec.id)).map(|e| CachedJob {
                record: Arc::new(from_value(&e.value).expect("a job")),
                version: e.version,
            });
            if let Some((placer, _)) = self.shards[*shard].placer.as_mut() {
                placer.apply_job(&spec.id, mirrored.as_ref(), self.now);
            }
        }
    }

    fn start_owner(&mut self, shard: usize) {
        self.revision += 1;
        // Nothing is released: the fleet is fixed.
        let policy = Policy {
            on_demand_idle_multiple: 1e6,
            spot_idle_multiple: 1e6,
            ..lemonweir_policy::embedded().expect("policy")
        };
        let mut owner = Owner::new(
            shard as u16,
            self.revision,
            SHARDS as u16,
            TIMING,
            policy,
            self.now,
        );
        owner.set_types([kind()].iter());
        self.shards[shard].owner = Some((owner, self.revision));
    }

    fn start_placer(&mut self, shard: usize) {
        self.revision += 1;
        let token = self.revision;
        self.shard_leaders.insert(
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
            wall_clock_offset_ms: 1_000_000,
            ..terms()
        };
        let mut placer = Placer::new(shard as u16, token, SHARDS as u16, terms, self.now);
        placer.set_start_objectives(
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
                placer.apply_job(id, None, self.now);
            }
        }
        self.publish_jobs();
    }

    /// A placer ends; its shard is vacant for a while.
    fn stop_placer(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].placer.take().is_some() {
            self.revision += 1;
            self.shard_leaders.remove(&(shard as u16));
            self.store.remove(&shard_key(shard as u16));
            self.shards[shard].placer_back_at = self.now + ms;
        }
    }

    fn stop_owner(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].owner.take().is_some() {
            self.shards[shard].owner_back_at = self.now + ms;
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
                *self.chunk_writes.entry(id).or_default() += 1;
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
        self.publish_jobs();
        CompareAndSwapOutcome::Committed(self.revision)
    }

    fn run_placer(&mut self, shard: usize) {
        let now = self.now;
        let ShardControllers {
            placer: Some((placer, token)),
            last_pass_at,
            ..
        } = &mut self.shards[shard]
        else {
            return;
        };
        let token = *token;
        placer.advance_gang_admissions(now, 1_000_000);
        if placer.placement_is_due(now) && now >= *last_pass_at + PLACEMENT_INTERVAL_MS {
            *last_pass_at = now;
            placer.run_placement_pass(now);
        }
        let Some(cas) = placer.next_cas(now) else {
            return;
        };
        let fault_odds = self.fault_odds > 0 && self.random.one_in(self.fault_odds);
        let outcome = match (fault_odds, self.random.below(3)) {
            (false, _) => self.apply(&cas),
            // Not made; made, but nobody hears of it; made late.
            (true, 0) => CompareAndSwapOutcome::Indeterminate,
            (true, 1) => {
                self.apply(&cas);
                CompareAndSwapOutcome::Indeterminate
            }
            (true, _) => {
                self.delayed.push_back(DelayedMessage::CompareAndSwap(cas));
                CompareAndSwapOutcome::Indeterminate
            }
        };
        let reread: Vec<(JobId, u32, u64)> = match &outcome {
            CompareAndSwapOutcome::Conflict(keys) => keys
                .iter()
                .filter_map(|k| {
                    parse_task_chunk_key(k).map(|(id, chunk)| (id, chunk, self.version(k)))
                })
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
            placer.apply_reread_version(&id, chunk, version);
        }
        if placer.apply_cas_outcome(outcome, now).0 == ShardOwnership::Lost {
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
        let sync = placer.sync_request(to as u16, to_token, ROOM, false, self.now);
        match (
            self.fault_odds > 0 && self.random.one_in(self.fault_odds),
            self.random.below(3),
        ) {
            (false, _) => self.deliver(to, &sync, true),
            (true, 0) => self.lose_message(from, to),
            (true, 1) => {
                self.lose_message(from, to);
                self.delayed.push_back(DelayedMessage::Sync(to, sync));
            }
            (true, _) => {
                self.deliver(to, &sync, false);
                self.lose_message(from, to);
            }
        }
    }

    fn lose_message(&mut self, from: usize, to: usize) {
        if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.message_lost(to as u16);
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
        if !answered || self.fault_odds > 0 && self.random.one_in(self.fault_odds) {
            self.delayed.push_back(DelayedMessage::View(from, view));
        } else if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.apply_view(view, self.now);
        }
    }

    fn heartbeat_of(&mut self, n: usize) -> Heartbeat {
        let b = &mut self.workers[n];
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
                CommandKind::Start if self.workers[n].tasks.contains_key(&id) => {}
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
                    let twice = |b: &Worker| {
                        b.tasks.iter().any(|(i, t)| {
                            (&i.job, i.task) == (&id.job, id.task) && t.phase != TaskPhase::Exited
                        })
                    };
                    assert!(!self.workers.iter().any(twice), "{id} is on two machines");
                    self.workers[n].tasks.insert(
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
                    if let Some(t) = self.workers[n]
                        .tasks
                        .get_mut(&id)
                        .filter(|t| t.phase == TaskPhase::Running)
                    {
                        (t.phase, t.since) = (TaskPhase::Checkpointing, self.now);
                    }
                }
                CommandKind::Stop => self.exit(n, &id, "stopped"),
                CommandKind::Forget => drop(self.workers[n].tasks.remove(&id)),
            }
        }
        self.check_members();
    }

    fn exit(&mut self, n: usize, id: &AttemptId, cause: &'static str) {
        if let Some(t) = self.workers[n]
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
        for (id, t) in self.workers.iter().flat_map(|b| &b.tasks) {
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

    fn send_heartbeat(&mut self, n: usize) {
        let shard = self.workers[n].shard;
        let report = self.heartbeat_of(n);
        let Some((owner, _)) = self.shards[shard].owner.as_mut() else {
            return;
        };
        let Some(reply) = owner.handle_heartbeat(&report, None, self.now) else {
            return;
        };
        if self.fault_odds > 0 && self.random.one_in(self.fault_odds)
            || reply.fencing_token < self.workers[n].token
        {
            return;
        }
        (self.workers[n].token, self.workers[n].last_answer_at) = (reply.fencing_token, self.now);
        self.execute(n, &reply.commands);
    }

    fn send_commands(&mut self, shard: usize) {
        let Some((owner, _)) = self.shards[shard].owner.as_mut() else {
            return;
        };
        for call in owner.due_calls(self.now, 64) {
            let fault_odds = self.fault_odds > 0 && self.random.one_in(self.fault_odds);
            let result = match (fault_odds, self.random.below(3)) {
                (true, 0) => CommandResult::NotSent,
                (true, 1) => {
                    self.delayed.push_back(DelayedMessage::Call(call.clone()));
                    CommandResult::Unknown
                }
                (true, _) => {
                    self.deliver_command(&call);
                    CommandResult::Unknown
                }
                (false, _) => self.deliver_command(&call),
            };
            if let Some((owner, _)) = self.shards[shard].owner.as_mut() {
                owner.handle_call_result(&call, result, self.now);
            }
        }
    }

    fn deliver_command(&mut self, call: &CommandCall) -> CommandResult {
        let n = (0..WORKERS)
            .find(|n| machine(*n) == call.machine)
            .expect("a machine");
        let b = &mut self.workers[n];
        if call.commands.fencing_token < b.token || call.commands.incarnation != b.session {
            return CommandResult::Refused(self.heartbeat_of(n));
        }
        b.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.heartbeat_of(n))
    }

    /// What machines do by themselves: fetch, gather, run, end, lose their lease.
    fn run_workers(&mut self) {
        let now = self.now;
        let mut there: HashMap<(JobId, u32), (usize, bool)> = HashMap::new();
        for (id, t) in self.workers.iter().flat_map(|b| &b.tasks) {
            let group = there
                .entry((id.job.clone(), id.attempt))
                .or_insert((0, true));
            group.0 += usize::from(matches!(
                t.phase,
                TaskPhase::AwaitingGang | TaskPhase::Running
            ));
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
        for b in &mut self.workers {
            for (id, t) in &mut b.tasks {
                let (count, sound) = there[&(id.job.clone(), id.attempt)];
                let whole = count as u64 >= needed[&id.job];
                let gang = needed[&id.job] > 1;
                match t.phase {
                    TaskPhase::PullingImage if now >= t.since + 600 => {
                        (t.phase, t.since) = (TaskPhase::AwaitingGang, now);
                    }
                    TaskPhase::AwaitingGang if whole || !gang => {
                        (t.phase, t.since) = (TaskPhase::Running, now);
                    }
                    TaskPhase::AwaitingGang if now >= t.since + GANG_WAIT_MS => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("alone"));
                    }
                    TaskPhase::Checkpointing if now >= t.since + 2_000 => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("stopped"));
                    }
                    TaskPhase::Running if gang && !(whole && sound) => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("peers"));
                    }
                    _ => {}
                }
            }
        }
        let ripe: Vec<AttemptId> = self
            .workers
            .iter()
            .flat_map(|b| &b.tasks)
            .filter(|(_, t)| t.phase == TaskPhase::Running && now >= t.since + 6_000)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ripe {
            let all = needed[&id.job] > 1;
            for b in &mut self.workers {
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
            .workers
            .iter_mut()
            .filter(|b| now > b.last_answer_at + TIMING.lease_ms)
        {
            (b.session, b.last_answer_at) = (b.session + 1, now);
            b.tasks.clear();
        }
    }

    fn deliver_delayed(&mut self) {
        let n = self.random.below(self.delayed.len().max(1) as u64) as usize;
        match self.delayed.remove(n) {
            Some(DelayedMessage::Sync(to, sync)) => self.deliver(to, &sync, false),
            Some(DelayedMessage::View(to, view)) => {
                if let Some((placer, _)) = self.shards[to].placer.as_mut() {
                    placer.apply_view(view, self.now);
                }
            }
            Some(DelayedMessage::CompareAndSwap(cas)) => drop(self.apply(&cas)),
            Some(DelayedMessage::Call(call)) => drop(self.deliver_command(&call)),
            None => {}
        }
    }

    /// 100 ms in which everything has its turn.
    fn step(&mut self) {
        self.now += 100;
        self.run_workers();
        for shard in 0..SHARDS {
            if self.shards[shard].placer.is_none() && self.now >= self.shards[shard].placer_back_at
            {
                if self.shard_leaders.remove(&(shard as u16)).is_some() {
                    self.revision += 1;
                    self.store.remove(&shard_key(shard as u16));
                }
                self.start_placer(shard);
            }
            if self.shards[shard].owner.is_none() && self.now >= self.shards[shard].owner_back_at {
                self.start_owner(shard);
            }
            if let Some((owner, _)) = self.shards[shard].owner.as_mut() {
                owner.observe_leaders(&self.shard_leaders, self.revision, self.now);
                owner.tick(self.now, self.now);
            }
            self.send_commands(shard);
        }
        for n in 0..WORKERS {
            if self.now / 100 % 15 == n as u64 {
                self.send_heartbeat(n);
            }
        }
        for from in 0..SHARDS {
            for _ in 0..2 {
                self.run_placer(from);
                (0..SHARDS).for_each(|to| self.sync(from, to));
            }
        }
        if self.fault_odds > 0 && self.random.one_in(4) {
            self.deliver_delayed();
        }
    }

    fn has_ended(&self, id: &JobId) -> bool {
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
/// and owners that end at any time while messages, compare-and-swaps and orders are
/// lost or late: nothing of a gang that isn't admitted is ever launched, members of
/// two attempts never meet, and once all troubles are over everything is done or
/// withdrawn and all room is free.
#[test]
fn gang_is_never_partially_launched_under_faults() {
    let (mut launches, mut admitted) = (0, 0);
    for seed in 1..=16 {
        let mut cluster = Cluster::new(seed, 6);
        for step in 0..600u32 {
            if step == 30 {
                cluster.submit(0, gang(1, 8, 4.0));
                cluster.submit(1, gang(2, 7, 4.0));
            }
            if step > 30 && step % 40 == 0 {
                cluster.submit(
                    2,
                    JobSpec {
                        id: JobId::from(format!("req-{:06}", 100 + step).as_str()),
                        ..array(3)
                    },
                );
            }
            if step == 300 && seed % 3 == 0 {
                cluster.withdraw(&JobId::from("req-000001"));
            }
            let shard = cluster.random.below(SHARDS as u64) as usize;
            let ms = [300, 1_500, 12_000][cluster.random.below(3) as usize];
            if cluster.random.one_in(60) {
                cluster.stop_placer(shard, ms);
            }
            if cluster.random.one_in(60) {
                cluster.stop_owner(shard, ms.min(3_000));
            }
            cluster.step();
        }
        cluster.fault_odds = 0;
        for _ in 0..2_000 {
            cluster.step();
        }
        let left: Vec<&JobId> = cluster
            .jobs
            .iter()
            .map(|(_, s)| &s.id)
            .filter(|id| !cluster.has_ended(id))
            .collect();
        assert!(left.is_empty(), "seed {seed}: {left:?} are not over");
        assert!(
            cluster
                .workers
                .iter()
                .all(|b| b.tasks.values().all(|t| t.phase == TaskPhase::Exited))
        );
        launches += cluster.launches;
        admitted += cluster.admitted.len();
    }
    assert!(
        launches > 400 && admitted > 25,
        "{launches} launches, {admitted} admissions"
    );
}

// ---- single steps -------------------------------------------------------------------

const ONE: &str = "req-000001";

/// What the store says of the gang: its step, and how many members it names.
fn step_of(cluster: &Cluster) -> Option<(GangAdmissionStep, usize)> {
    let chunk: TaskChunkRecord =
        from_value(&cluster.store.get("run/0/req-000001/0")?.value).expect("a chunk");
    chunk.gang.map(|g| (g.step, chunk.live_attempts.len()))
}

/// A gang of 8 whole machines on three shards, brought to where its first step is
/// written and granted, and the second is not.
fn cluster_with_planned_gang() -> Cluster {
    let mut cluster = Cluster::new(3, 0);
    (0..30).for_each(|_| cluster.step());
    cluster.submit(0, gang(1, 8, 4.0));
    while step_of(&cluster).is_none() {
        cluster.run_placer(0);
        cluster.now += 10;
    }
    assert_eq!(step_of(&cluster), Some((GangAdmissionStep::Planned, 8)));
    cluster
}

fn running(cluster: &Cluster) -> usize {
    cluster
        .workers
        .iter()
        .flat_map(|b| b.tasks.values())
        .filter(|t| t.phase == TaskPhase::Running)
        .count()
}

/// A gang takes one change more than an array with as many tasks in its chunk, and
/// that one is written before anything else of its placer.
#[test]
fn gang_admission_costs_one_extra_write() {
    let written = |spec: JobSpec| {
        let mut cluster = Cluster::new(3, 0);
        (0..30).for_each(|_| cluster.step());
        let id = spec.id.clone();
        cluster.submit(0, spec);
        // All tasks of the array fit one compare-and-swap too.
        while !cluster.has_ended(&id) {
            cluster.step();
        }
        cluster.chunk_writes[&id]
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

/// 700 members are recorded and admitted in one compare-and-swap each, however much else
/// is to be written.
#[test]
fn gang_of_seven_hundred_is_admitted_in_one_compare_and_swap() {
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
        let sync = placer.sync_request(0, TOKEN, ROOM, false, now);
        let view = owner.sync(&sync, ROOM, now).expect("taken");
        placer.apply_view(view, now);
        placer.advance_gang_admissions(now, 0);
        placer.run_placement_pass(now);
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
            placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(revision), now);
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
fn new_leader_completes_an_admission_that_can_be_whole() {
    for (granted, admitted) in [(false, false), (true, false), (true, true)] {
        let mut cluster = cluster_with_planned_gang();
        if granted {
            (0..SHARDS).for_each(|to| cluster.sync(0, to));
        }
        while admitted && step_of(&cluster) != Some((GangAdmissionStep::Admitted, 8)) {
            cluster.run_placer(0);
        }
        assert_eq!(cluster.launches, 0);
        let written = cluster.chunk_writes[&JobId::from(ONE)];
        cluster.stop_placer(0, 3_000);
        (0..60).for_each(|_| cluster.step());
        assert_eq!(
            (step_of(&cluster), cluster.launches),
            (Some((GangAdmissionStep::Admitted, 8)), 8),
            "{granted} {admitted}"
        );
        assert_eq!(
            cluster.chunk_writes[&JobId::from(ONE)],
            written + usize::from(!admitted),
            "its one decision"
        );
        assert!(cluster.admitted.contains(&(JobId::from(ONE), 1)));
        (0..100).for_each(|_| cluster.step());
        assert!(cluster.has_ended(&JobId::from(ONE)));
    }
}

/// Placer and an owner end, and the owner does not come back for a while: nothing is
/// launched, the successor's decision to release is in the store, room elsewhere is
/// free at once, and the gang starts as another attempt once the owner is back.
#[test]
fn new_leader_releases_a_gang_that_cannot_be_whole() {
    let mut cluster = cluster_with_planned_gang();
    (0..2).for_each(|to| cluster.sync(0, to));
    cluster.stop_placer(0, 2_000);
    cluster.stop_owner(2, 40_000);
    let end = cluster.now + 2_000 + GANG_GRANT_TIMEOUT_MS + 500;
    while cluster.now < end {
        cluster.step();
        assert_eq!(cluster.launches, 0);
    }
    assert_eq!(
        step_of(&cluster).map(|s| s.0),
        Some(GangAdmissionStep::Released)
    );
    for shard in 0..2 {
        let (placer, _) = cluster.shards[1].placer.as_ref().expect("there");
        let there = |m: &&lemonweir_protocol::peer::MachineView| {
            cluster
                .workers
                .iter()
                .enumerate()
                .any(|(n, b)| b.shard == shard && machine(n) == m.id)
        };
        assert!(
            placer
                .machines()
                .filter(there)
                .all(|m| m.free.milli_gpus == 4_000),
            "shard {shard}"
        );
    }
    (0..400).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(ONE)));
    assert!(!cluster.admitted.contains(&(JobId::from(ONE), 1)) && !cluster.admitted.is_empty());
}

/// A gang pushes others out: none of it is launched before all of them are gone.
#[test]
fn gang_launches_only_after_preempted_tasks_have_ended() {
    let mut cluster = Cluster::new(4, 0);
    (0..30).for_each(|_| cluster.step());
    let low = JobSpec {
        id: JobId::from("req-000007"),
        checkpoint_interval_s: 60.0,
        checkpoint_duration_s: 2.0,
        gpus: 4.0,
        cpus: 16.0,
        ..array(5)
    };
    cluster.submit(1, low);
    let full = |cluster: &Cluster| running(cluster) == 5;
    let limit = cluster.now + 6_000;
    while !full(&cluster) && cluster.now < limit {
        cluster.step();
    }
    assert!(
        full(&cluster),
        "{} of {}",
        running(&cluster),
        cluster.launches
    );
    (0..10).for_each(|_| cluster.step());
    cluster.submit(
        0,
        JobSpec {
            priority: Priority::High,
            ..gang(1, 8, 4.0)
        },
    );
    let before = cluster.launches;
    let mut most_leaving = 0;
    let limit = cluster.now + PREEMPTION_TIMEOUT_MS;
    while cluster.launches == before && cluster.now < limit {
        let leaving = cluster
            .workers
            .iter()
            .flat_map(|b| b.tasks.values())
            .filter(|t| t.phase == TaskPhase::Checkpointing)
            .count();
        most_leaving = most_leaving.max(leaving);
        cluster.step();
    }
    assert_eq!(most_leaving, 4);
    let saving = |b: &Worker| {
        b.tasks
            .values()
            .any(|t| t.phase == TaskPhase::Checkpointing)
    };
    assert!(!cluster.workers.iter().any(saving));
    (0..200).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(ONE)));
}

/// A placer is gone for good. Its owners keep the room it was granted for
/// [`ORPHANED_GRANT_MS`] after the store has shown it, and not longer; a go of it that
/// comes late launches nothing, and neither does a late grant of theirs.
#[test]
fn grants_of_a_dead_placer_are_released_in_time() {
    let mut cluster = cluster_with_planned_gang();
    (0..SHARDS).for_each(|to| cluster.sync(0, to));
    // It admits the gang, and its go to the owner of shard 1 is on its way for long.
    while step_of(&cluster) != Some((GangAdmissionStep::Admitted, 8)) {
        cluster.run_placer(0);
    }
    let token = cluster.shards[1].owner.as_ref().expect("there").1;
    let late = cluster.shards[0]
        .placer
        .as_mut()
        .expect("there")
        .0
        .sync_request(1, token, ROOM, false, cluster.now);
    assert!(late.desired.iter().all(|w| w.may_start) && !late.desired.is_empty());
    cluster.stop_placer(0, 600_000);
    let ended = cluster.now;
    let free = |cluster: &Cluster| {
        let (placer, _) = cluster.shards[2].placer.as_ref().expect("there");
        placer
            .machines()
            .filter(|m| m.free.milli_gpus == 4_000)
            .count()
    };
    let mut at = None;
    while at.is_none() {
        cluster.step();
        if cluster.now > ended + 1_000 && cluster.now <= ended + 1_100 {
            cluster.deliver(1, &late, false);
        }
        assert!(cluster.now <= ended + ORPHANED_GRANT_MS + 300, "still held");
        at = (free(&cluster) == WORKERS).then_some(cluster.now);
    }
    assert!(at >= Some(ended + ORPHANED_GRANT_MS));
    assert_eq!(cluster.launches, 0, "a late go launches nothing");
    (0..50).for_each(|_| cluster.step());
    cluster.deliver(1, &late, false);
    (0..50).for_each(|_| cluster.step());
    assert_eq!((cluster.launches, free(&cluster)), (0, WORKERS));
    // What comes after it finds a member refused, and starts all of it anew.
    cluster.shards[0].placer_back_at = cluster.now;
    (0..400).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(ONE)) && cluster.launches >= 8);
}

/// Withdrawn at each step: nothing more of it is launched, and all room is free.
#[test]
fn gang_can_be_withdrawn_at_each_step() {
    for steps in [0, 1, 2, 3, 8, 20] {
        let mut cluster = cluster_with_planned_gang();
        (0..steps).for_each(|_| cluster.step());
        cluster.withdraw(&JobId::from(ONE));
        // What its owners had been told before.
        cluster.step();
        let launched = cluster.launches;
        (0..100).for_each(|_| cluster.step());
        assert!(cluster.has_ended(&JobId::from(ONE)), "{steps}");
        assert_eq!(
            (cluster.launches, running(&cluster)),
            (launched, 0),
            "{steps}"
        );
        let (placer, _) = cluster.shards[1].placer.as_ref().expect("there");
        assert!(
            placer.machines().all(|m| m.free.milli_gpus == 4_000),
            "{steps}"
        );
    }
}
