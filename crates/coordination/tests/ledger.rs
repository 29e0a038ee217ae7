//! Gang admission against slow reference models: the verdict against one that covers every case,
//! and real placers and owners under random histories of grants, refusals, restarts and late
//! messages, checked by what the machines run.

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

// ---- the verdict -----------------------------------------------------------------

/// The expected verdict, spelled out by admission step, the time since it was written, and the
/// number of members in each state.
fn reference_verdict(
    step: GangAdmissionStep,
    since: Option<u64>,
    m: &GangMembers,
    wait: u64,
    now: u64,
) -> &'static str {
    let elapsed = |limit_ms: u64| since.is_some_and(|s| now >= s + limit_ms);
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
            () if elapsed(GANG_GRANT_TIMEOUT_MS) => "release",
            () => "wait",
        };
    }
    if m.running > 0 || m.launched >= m.needed || !elapsed(wait) {
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
    let (mut seen_verdicts, mut cases) = (BTreeSet::new(), 0);
    for step in steps {
        for since in [None, Some(1_000)] {
            for now in [
                1_000,
                1_000 + GANG_GRANT_TIMEOUT_MS - 1,
                1_000 + GANG_GRANT_TIMEOUT_MS,
                1_000 + wait - 1,
                1_000 + wait,
            ] {
                // Every distribution of 3 members over these states: live without a grant,
                // stopped, granted, launched, running, ended.
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
                        "{step:?} since {since:?}, at {now} ms: {m:?}"
                    );
                    seen_verdicts.insert(got);
                    cases += 1;
                }
            }
        }
    }
    assert_eq!((seen_verdicts.len(), cases), (3, 4 * 2 * 5 * 216));
}

/// A new leader inherits the lowest admission step of all chunks, in whatever order they are read,
/// and continues a release that has begun.
#[test]
fn new_leader_inherits_the_least_step_of_all_chunks() {
    let kinds = [
        None,
        Some(GangAdmissionStep::Planned),
        Some(GangAdmissionStep::Admitted),
        Some(GangAdmissionStep::Released),
        Some(GangAdmissionStep::Other),
    ];
    for combination in (0..625usize).map(|n| [n % 5, n / 5 % 5, n / 25 % 5, n / 125]) {
        let records: Vec<Option<GangAdmissionRecord>> = combination
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
            inherited_admission(records.iter().map(|r| (4, r.as_ref()))).expect("an admission");
        let has = |kind: GangAdmissionStep| records.iter().flatten().any(|r| r.step == kind);
        let expected = match () {
            () if has(GangAdmissionStep::Released) => GangAdmissionStep::Released,
            () if has(GangAdmissionStep::Planned) => GangAdmissionStep::Planned,
            () => GangAdmissionStep::Admitted,
        };
        assert_eq!((step, attempt), (expected, 4), "{combination:?}");
    }
    let InheritedAdmission { step, .. } =
        inherited_admission([(1, None), (2, None)].into_iter()).expect("an admission");
    assert_eq!(
        step,
        GangAdmissionStep::Released,
        "members of two attempts can never gather"
    );
}

// ---- real placers and owners under random histories ------------------------------

/// Deterministic xorshift generator.
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

/// A machine that follows the protocol page: fencing tokens, sessions and a lease.
struct Worker {
    shard: usize,
    session: u64,
    seq: u64,
    token: u64,
    last_answer_at: u64,
    tasks: BTreeMap<AttemptId, Task>,
}

/// The placer and the owner of a shard, each with its fencing token.
struct ShardControllers {
    placer: Option<(Placer, u64)>,
    owner: Option<(Owner, u64)>,
    placer_restarts_at: u64,
    owner_restarts_at: u64,
    last_placement_pass_at: u64,
}

const SHARDS: usize = 3;
const WORKERS: usize = 9;
const GANG_WAIT_MS: u64 = 50_000;

struct Cluster {
    now: u64,
    random: Random,
    /// One in this many messages is lost, late or of unknown outcome; 0: none.
    fault_odds: u64,
    revision: u64,
    store: BTreeMap<String, KeyValue>,
    shards: Vec<ShardControllers>,
    workers: Vec<Worker>,
    shard_leaders: BTreeMap<u16, ShardLeader>,
    jobs: Vec<(usize, Arc<JobSpec>)>,
    /// Delayed messages, also of earlier placers and owners.
    delayed: VecDeque<DelayedMessage>,
    /// Gang attempts whose admission was written to all of their chunks at some time.
    admitted: BTreeSet<(JobId, u32)>,
    launches: usize,
    /// Number of chunk writes of each job.
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
                    placer_restarts_at: 0,
                    owner_restarts_at: 0,
                    last_placement_pass_at: 0,
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

    fn cancel(&mut self, id: &JobId) {
        let key = job_key(id);
        if let Some(entry) = self.store.get(&key) {
            let record = JobRecord {
                cancel_requested: true,
                ..from_value(&entry.value).expect("a job record")
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

    /// Shows every placer the current job records.
    fn publish_jobs(&mut self) {
        for (shard, spec) in &self.jobs {
            let cached = self.store.get(&job_key(&spec.id)).map(|e| CachedJob {
                record: Arc::new(from_value(&e.value).expect("a job record")),
                version: e.version,
            });
            if let Some((placer, _)) = self.shards[*shard].placer.as_mut() {
                placer.apply_job(&spec.id, cached.as_ref(), self.now);
            }
        }
    }

    fn start_owner(&mut self, shard: usize) {
        self.revision += 1;
        // Prevents scale-in: the set of machines is fixed.
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
        owner.set_machine_types([machine_type()].iter());
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
        let config = PlacerConfig {
            gang_wait_ms: GANG_WAIT_MS,
            wall_clock_offset_ms: 1_000_000,
            ..placer_config()
        };
        let mut placer = Placer::new(shard as u16, token, SHARDS as u16, config, self.now);
        placer.set_start_objectives(
            &HashMap::new(),
            f64::MAX,
            &[(machine_type().name, machine_type())]
                .into_iter()
                .collect(),
        );
        for (key, e) in self
            .store
            .range(format!("run/{shard}/")..)
            .take_while(|(k, _)| k.starts_with(&format!("run/{shard}/")))
        {
            let (id, chunk) = parse_task_chunk_key(key).expect("a task chunk key");
            placer.load_chunk(
                &id,
                chunk,
                &from_value::<TaskChunkRecord>(&e.value).expect("a task chunk record"),
                e.version,
            );
        }
        self.shards[shard].placer = Some((placer, token));
        let shard_jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(p, _)| *p == shard)
            .map(|(_, s)| s.id.clone())
            .collect();
        for id in shard_jobs
            .iter()
            .filter(|id| !self.store.contains_key(&job_key(id)))
        {
            if let Some((placer, _)) = self.shards[shard].placer.as_mut() {
                placer.apply_job(id, None, self.now);
            }
        }
        self.publish_jobs();
    }

    /// Stops a placer; its shard is vacant for `ms`.
    fn stop_placer(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].placer.take().is_some() {
            self.revision += 1;
            self.shard_leaders.remove(&(shard as u16));
            self.store.remove(&shard_key(shard as u16));
            self.shards[shard].placer_restarts_at = self.now + ms;
        }
    }

    fn stop_owner(&mut self, shard: usize, ms: u64) {
        if self.shards[shard].owner.take().is_some() {
            self.shards[shard].owner_restarts_at = self.now + ms;
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
        // A gang is admitted once every chunk with members records it.
        let mut steps: BTreeMap<JobId, Vec<(u32, Option<GangAdmissionStep>)>> = BTreeMap::new();
        for (key, e) in self
            .store
            .range("run/".to_owned()..)
            .take_while(|(k, _)| k.starts_with("run/"))
        {
            let (id, _) = parse_task_chunk_key(key).expect("a task chunk key");
            let record: TaskChunkRecord = from_value(&e.value).expect("a task chunk record");
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
            last_placement_pass_at,
            ..
        } = &mut self.shards[shard]
        else {
            return;
        };
        let token = *token;
        placer.advance_gang_admissions(now, 1_000_000);
        if placer.placement_is_due(now) && now >= *last_placement_pass_at + PLACEMENT_INTERVAL_MS {
            *last_placement_pass_at = now;
            placer.run_placement_pass(now);
        }
        let Some(cas) = placer.next_cas(now) else {
            return;
        };
        let faulty = self.fault_odds > 0 && self.random.one_in(self.fault_odds);
        let outcome = match (faulty, self.random.below(3)) {
            (false, _) => self.apply(&cas),
            // Lost; committed without an answer; delayed.
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
        let sync = placer.sync_request(to as u16, to_token, MAX_MESSAGE_BYTES, false, self.now);
        match (
            self.fault_odds > 0 && self.random.one_in(self.fault_odds),
            self.random.below(3),
        ) {
            (false, _) => self.deliver(to, &sync, true),
            (true, 0) => self.report_message_loss(from, to),
            (true, 1) => {
                self.report_message_loss(from, to);
                self.delayed.push_back(DelayedMessage::Sync(to, sync));
            }
            (true, _) => {
                self.deliver(to, &sync, false);
                self.report_message_loss(from, to);
            }
        }
    }

    fn report_message_loss(&mut self, from: usize, to: usize) {
        if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.message_lost(to as u16);
        }
    }

    fn deliver(&mut self, to: usize, sync: &SyncRequest, answered: bool) {
        let from = usize::from(sync.from_shard);
        let Some((owner, _)) = self.shards[to].owner.as_mut() else {
            return;
        };
        let Ok(view) = owner.sync(sync, MAX_MESSAGE_BYTES, self.now) else {
            return;
        };
        if !answered || self.fault_odds > 0 && self.random.one_in(self.fault_odds) {
            self.delayed.push_back(DelayedMessage::View(from, view));
        } else if let Some((placer, _)) = self.shards[from].placer.as_mut() {
            placer.apply_view(view, self.now);
        }
    }

    fn heartbeat_of(&mut self, n: usize) -> Heartbeat {
        let w = &mut self.workers[n];
        w.seq += 1;
        let tasks = w.tasks.iter().map(|(id, t)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: t.phase,
            exit_cause: t.cause.map(str::to_owned),
            checkpointed: None,
        });
        Heartbeat {
            incarnation: w.session,
            fencing_token: w.token,
            tasks: tasks.collect(),
            ..heartbeat(n, w.seq)
        }
    }

    fn execute(&mut self, n: usize, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("a task name");
            match command.kind {
                CommandKind::Start if self.workers[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    self.launches += 1;
                    let gang = self
                        .jobs
                        .iter()
                        .any(|(_, s)| s.id == id.job && s.kind == JobKind::Gang && s.tasks > 1);
                    assert!(
                        !gang || self.admitted.contains(&(id.job.clone(), id.attempt)),
                        "{id} is launched before its gang is admitted"
                    );
                    let runs_same_task = |w: &Worker| {
                        w.tasks.iter().any(|(i, t)| {
                            (&i.job, i.task) == (&id.job, id.task) && t.phase != TaskPhase::Exited
                        })
                    };
                    assert!(
                        !self.workers.iter().any(runs_same_task),
                        "{id} is started while its task runs on a machine"
                    );
                    self.workers[n].tasks.insert(
                        id,
                        Task {
                            phase: TaskPhase::PullingImage,
                            cause: None,
                            since: self.now,
                        },
                    );
                }
                // With a grace period a running task writes a checkpoint first.
                CommandKind::Stop if command.grace_s.is_some_and(|s| s > 0) => {
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

    /// Checks after every batch of commands that the live members of a gang belong to one attempt.
    fn check_members(&self) {
        let mut attempts: BTreeMap<&JobId, u32> = BTreeMap::new();
        for (id, t) in self.workers.iter().flat_map(|w| &w.tasks) {
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
            let faulty = self.fault_odds > 0 && self.random.one_in(self.fault_odds);
            let result = match (faulty, self.random.below(3)) {
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
            .find(|n| machine_id(*n) == call.machine)
            .expect("a known machine");
        let w = &mut self.workers[n];
        if call.commands.fencing_token < w.token || call.commands.incarnation != w.session {
            return CommandResult::Refused(self.heartbeat_of(n));
        }
        w.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.heartbeat_of(n))
    }

    /// Steps the machines: they pull images, wait for gangs, run and end tasks, and lose their
    /// leases.
    fn run_workers(&mut self) {
        let now = self.now;
        let mut members: HashMap<(JobId, u32), (usize, bool)> = HashMap::new();
        for (id, t) in self.workers.iter().flat_map(|w| &w.tasks) {
            let group = members
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
        let needed: HashMap<JobId, u64> = members
            .keys()
            .map(|(id, _)| (id.clone(), tasks_of(id)))
            .collect();
        for w in &mut self.workers {
            for (id, t) in &mut w.tasks {
                let (count, intact) = members[&(id.job.clone(), id.attempt)];
                let complete = count as u64 >= needed[&id.job];
                let gang = needed[&id.job] > 1;
                match t.phase {
                    TaskPhase::PullingImage if now >= t.since + 600 => {
                        (t.phase, t.since) = (TaskPhase::AwaitingGang, now);
                    }
                    TaskPhase::AwaitingGang if complete || !gang => {
                        (t.phase, t.since) = (TaskPhase::Running, now);
                    }
                    TaskPhase::AwaitingGang if now >= t.since + GANG_WAIT_MS => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("alone"));
                    }
                    TaskPhase::Checkpointing if now >= t.since + 2_000 => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("stopped"));
                    }
                    TaskPhase::Running if gang && !(complete && intact) => {
                        (t.phase, t.cause) = (TaskPhase::Exited, Some("peers"));
                    }
                    _ => {}
                }
            }
        }
        let finished_tasks: Vec<AttemptId> = self
            .workers
            .iter()
            .flat_map(|w| &w.tasks)
            .filter(|(_, t)| t.phase == TaskPhase::Running && now >= t.since + 6_000)
            .map(|(id, _)| id.clone())
            .collect();
        for id in finished_tasks {
            let all = needed[&id.job] > 1;
            for w in &mut self.workers {
                for (_, t) in w.tasks.iter_mut().filter(|(i, t)| {
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
        for w in self
            .workers
            .iter_mut()
            .filter(|w| now > w.last_answer_at + TIMING.lease_ms)
        {
            (w.session, w.last_answer_at) = (w.session + 1, now);
            w.tasks.clear();
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

    /// Advances the time by 100 ms and steps every part of the cluster.
    fn step(&mut self) {
        self.now += 100;
        self.run_workers();
        for shard in 0..SHARDS {
            if self.shards[shard].placer.is_none()
                && self.now >= self.shards[shard].placer_restarts_at
            {
                if self.shard_leaders.remove(&(shard as u16)).is_some() {
                    self.revision += 1;
                    self.store.remove(&shard_key(shard as u16));
                }
                self.start_placer(shard);
            }
            if self.shards[shard].owner.is_none()
                && self.now >= self.shards[shard].owner_restarts_at
            {
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
        ..array_job(tasks)
    }
}

/// Two gangs that each need nearly every machine compete with small jobs, while placers and owners
/// stop at any time and messages, compare-and-swaps and commands are lost or late. No member of a
/// gang that is not admitted is launched, members of two attempts never run together, and once all
/// faults are over every job has ended and every task has exited.
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
                        ..array_job(3)
                    },
                );
            }
            if step == 300 && seed % 3 == 0 {
                cluster.cancel(&JobId::from("req-000001"));
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
        let unfinished: Vec<&JobId> = cluster
            .jobs
            .iter()
            .map(|(_, s)| &s.id)
            .filter(|id| !cluster.has_ended(id))
            .collect();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: {unfinished:?} have not ended"
        );
        assert!(
            cluster
                .workers
                .iter()
                .all(|w| w.tasks.values().all(|t| t.phase == TaskPhase::Exited))
        );
        launches += cluster.launches;
        admitted += cluster.admitted.len();
    }
    assert!(
        launches > 400 && admitted > 25,
        "{launches} launches, {admitted} admissions"
    );
}

// ---- scripted tests -------------------------------------------------------------------

const GANG_ID: &str = "req-000001";

/// The admission step of the gang in the store, and the number of its live members.
fn step_of(cluster: &Cluster) -> Option<(GangAdmissionStep, usize)> {
    let chunk: TaskChunkRecord =
        from_value(&cluster.store.get("run/0/req-000001/0")?.value).expect("a task chunk record");
    chunk.gang.map(|g| (g.step, chunk.live_attempts.len()))
}

/// A cluster with a gang of 8 whole machines on three shards, whose plan is written but not yet
/// sent to any owner.
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
        .flat_map(|w| w.tasks.values())
        .filter(|t| t.phase == TaskPhase::Running)
        .count()
}

/// A gang takes one write more than an array with as many tasks in one chunk: its admission, which
/// its placer writes before anything else.
#[test]
fn gang_admission_costs_one_extra_write() {
    let count_writes = |spec: JobSpec| {
        let mut cluster = Cluster::new(3, 0);
        (0..30).for_each(|_| cluster.step());
        let id = spec.id.clone();
        cluster.submit(0, spec);
        // All tasks of the array fit into one compare-and-swap, too.
        while !cluster.has_ended(&id) {
            cluster.step();
        }
        cluster.chunk_writes[&id]
    };
    let array = count_writes(JobSpec {
        gpus: 4.0,
        cpus: 16.0,
        ..array_job(8)
    });
    assert_eq!(count_writes(gang(1, 8, 4.0)), array + 1);
    assert_eq!(
        count_writes(gang(1, 1, 4.0)),
        array,
        "one task needs no admission"
    );
}

/// 700 members are planned in one compare-and-swap and admitted in another, whatever other writes
/// are due.
#[test]
fn gang_of_seven_hundred_is_admitted_in_one_compare_and_swap() {
    let mut placer = Placer::new(
        0,
        TOKEN,
        1,
        PlacerConfig {
            gang_wait_ms: GANG_WAIT_MS,
            ..placer_config()
        },
        0,
    );
    for n in 0..7u64 {
        submit(
            &mut placer,
            JobSpec {
                id: JobId::from(format!("req-{:06}", 50 + n).as_str()),
                ..array_job(1)
            },
            n,
            0,
        );
    }
    submit(&mut placer, gang(90, 700, 1.0), 100, 0);
    let mut owner = owner_with_machines(190);
    let (mut revision, mut steps) = (TOKEN, Vec::new());
    for round in 0..30u64 {
        let now = 100 + round * 60;
        let sync = placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, now);
        let view = owner.sync(&sync, MAX_MESSAGE_BYTES, now).expect("accepted");
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

/// A placer stops after its gang was planned but not sent, after all owners granted it, or after it
/// was admitted: the new leader starts all members of the same attempt.
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
        let writes_before = cluster.chunk_writes[&JobId::from(GANG_ID)];
        cluster.stop_placer(0, 3_000);
        (0..60).for_each(|_| cluster.step());
        assert_eq!(
            (step_of(&cluster), cluster.launches),
            (Some((GangAdmissionStep::Admitted, 8)), 8),
            "granted: {granted}, admitted: {admitted}"
        );
        assert_eq!(
            cluster.chunk_writes[&JobId::from(GANG_ID)],
            writes_before + usize::from(!admitted),
            "one write admits the gang unless it was admitted"
        );
        assert!(cluster.admitted.contains(&(JobId::from(GANG_ID), 1)));
        (0..100).for_each(|_| cluster.step());
        assert!(cluster.has_ended(&JobId::from(GANG_ID)));
    }
}

/// A placer and one owner stop, and the owner stays down: nothing is launched, the new leader
/// writes the release, capacity on the other shards is free at once, and the gang starts as another
/// attempt once the owner is back.
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
        let is_on_shard = |m: &&lemonweir_protocol::peer::MachineView| {
            cluster
                .workers
                .iter()
                .enumerate()
                .any(|(n, w)| w.shard == shard && machine_id(n) == m.id)
        };
        assert!(
            placer
                .machines()
                .filter(is_on_shard)
                .all(|m| m.free.milli_gpus == 4_000),
            "shard {shard}"
        );
    }
    (0..400).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(GANG_ID)));
    assert!(!cluster.admitted.contains(&(JobId::from(GANG_ID), 1)) && !cluster.admitted.is_empty());
}

/// A gang preempts other tasks: no member is launched before all of those have ended.
#[test]
fn gang_launches_only_after_preempted_tasks_have_ended() {
    let mut cluster = Cluster::new(4, 0);
    (0..30).for_each(|_| cluster.step());
    let low_priority_job = JobSpec {
        id: JobId::from("req-000007"),
        checkpoint_interval_s: 60.0,
        checkpoint_duration_s: 2.0,
        gpus: 4.0,
        cpus: 16.0,
        ..array_job(5)
    };
    cluster.submit(1, low_priority_job);
    let all_running = |cluster: &Cluster| running(cluster) == 5;
    let limit = cluster.now + 6_000;
    while !all_running(&cluster) && cluster.now < limit {
        cluster.step();
    }
    assert!(
        all_running(&cluster),
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
    let mut max_checkpointing = 0;
    let limit = cluster.now + PREEMPTION_TIMEOUT_MS;
    while cluster.launches == before && cluster.now < limit {
        let checkpointing = cluster
            .workers
            .iter()
            .flat_map(|w| w.tasks.values())
            .filter(|t| t.phase == TaskPhase::Checkpointing)
            .count();
        max_checkpointing = max_checkpointing.max(checkpointing);
        cluster.step();
    }
    assert_eq!(max_checkpointing, 4);
    let is_checkpointing = |w: &Worker| {
        w.tasks
            .values()
            .any(|t| t.phase == TaskPhase::Checkpointing)
    };
    assert!(!cluster.workers.iter().any(is_checkpointing));
    (0..200).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(GANG_ID)));
}

/// A placer is gone for good. Owners keep its grants for [`ORPHANED_GRANT_MS`] after the store has
/// shown that, and not longer. A launch permission of the placer that arrives late, before or after
/// the grants are released, launches nothing and holds no capacity.
#[test]
fn grants_of_a_dead_placer_are_released_in_time() {
    let mut cluster = cluster_with_planned_gang();
    (0..SHARDS).for_each(|to| cluster.sync(0, to));
    // The placer admits the gang; its launch permission to the owner of shard 1 is delayed.
    while step_of(&cluster) != Some((GangAdmissionStep::Admitted, 8)) {
        cluster.run_placer(0);
    }
    let token = cluster.shards[1].owner.as_ref().expect("there").1;
    let late = cluster.shards[0]
        .placer
        .as_mut()
        .expect("there")
        .0
        .sync_request(1, token, MAX_MESSAGE_BYTES, false, cluster.now);
    assert!(late.desired.iter().all(|w| w.may_start) && !late.desired.is_empty());
    cluster.stop_placer(0, 600_000);
    let ended = cluster.now;
    let free_machines = |cluster: &Cluster| {
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
        assert!(
            cluster.now <= ended + ORPHANED_GRANT_MS + 300,
            "grants are still held"
        );
        at = (free_machines(&cluster) == WORKERS).then_some(cluster.now);
    }
    assert!(at >= Some(ended + ORPHANED_GRANT_MS));
    assert_eq!(
        cluster.launches, 0,
        "a late launch permission launches nothing"
    );
    (0..50).for_each(|_| cluster.step());
    cluster.deliver(1, &late, false);
    (0..50).for_each(|_| cluster.step());
    assert_eq!((cluster.launches, free_machines(&cluster)), (0, WORKERS));
    // The next leader finds a member refused, and starts all members again.
    cluster.shards[0].placer_restarts_at = cluster.now;
    (0..400).for_each(|_| cluster.step());
    assert!(cluster.has_ended(&JobId::from(GANG_ID)) && cluster.launches >= 8);
}

/// A gang is cancelled at each step of its admission: no further member is launched, and all
/// capacity is free.
#[test]
fn gang_can_be_withdrawn_at_each_step() {
    for steps in [0, 1, 2, 3, 8, 20] {
        let mut cluster = cluster_with_planned_gang();
        (0..steps).for_each(|_| cluster.step());
        cluster.cancel(&JobId::from(GANG_ID));
        // Owners may still launch what they were told before.
        cluster.step();
        let launched = cluster.launches;
        (0..100).for_each(|_| cluster.step());
        assert!(
            cluster.has_ended(&JobId::from(GANG_ID)),
            "after {steps} steps"
        );
        assert_eq!(
            (cluster.launches, running(&cluster)),
            (launched, 0),
            "after {steps} steps"
        );
        let (placer, _) = cluster.shards[1].placer.as_ref().expect("there");
        assert!(
            placer.machines().all(|m| m.free.milli_gpus == 4_000),
            "after {steps} steps"
        );
    }
}
