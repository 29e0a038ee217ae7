//! Ends of small jobs whose tasks complete far apart, across failovers: real placers and owners
//! with a model of the store and of machines, and compare-and-swaps that are slow, lost, committed
//! without an answer, or committed late.

mod support;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{
    ATTEMPT_END_WRITE_DELAY_MS, CompareAndSwapOutcome, LOW_PRIORITY_START_DEADLINE_MS, Placer,
    ShardOwnership,
};
use lemonweir_model::constants::{
    MAX_STORE_OUTAGE_GRACE_MS, PLACEMENT_INTERVAL_MS, TASKS_PER_CHUNK, TICK_MS,
};
use lemonweir_model::policy::Policy;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, Condition, KeyValue, Write, from_value, to_value,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::{
    JobEndRecord, JobRecord, TaskChunkRecord, end_key, job_key, parse_task_chunk_key, shard_key,
    task_chunk_key,
};
use lemonweir_storage::state_cache::{CachedJob, ShardLeader};
use proptest::prelude::*;
use support::*;

const SHARDS: usize = 2;
const WORKERS: usize = 6;
const STEP_MS: u64 = 100;

/// How a compare-and-swap is carried out and answered.
#[derive(Clone, Copy, Debug)]
enum WriteFault {
    /// Committed at once, answered after this many steps.
    Slow(u64),
    /// Committed and answered after this many steps.
    Held(u64),
    /// Never carried out, without an answer.
    Lost,
    /// Committed at once, without an answer.
    NoAnswer,
    /// Carried out after this many steps, without an answer.
    Late(u64),
}

/// A compare-and-swap whose answer is pending.
struct InFlightWrite {
    cas: CompareAndSwap,
    at: u64,
    outcome: Option<CompareAndSwapOutcome>,
}

/// A leader of a shard: its placer and its owner.
struct Leader {
    token: u64,
    placer: Placer,
    owner: Owner,
    in_flight: Option<InFlightWrite>,
    /// Earliest time of the next write, ms: the placer backs off after a compare-and-swap without
    /// an answer.
    write_backoff_until: u64,
    last_placement_pass_at: u64,
    /// When its last read of the store began.
    last_store_read_at: u64,
    /// Fencing token of the other shard's owner, as that read showed it.
    other_owner_token: u64,
}

struct Task {
    phase: TaskPhase,
    cause: Option<&'static str>,
    since: u64,
}

/// A machine that follows the protocol page.
struct Worker {
    name: usize,
    shard: usize,
    session: u64,
    seq: u64,
    token: u64,
    last_answer_at: u64,
    last_heartbeat_at: u64,
    changed: bool,
    /// The machine hangs, or is unreachable, until this time, ms.
    unresponsive_until: u64,
    tasks: BTreeMap<AttemptId, Task>,
    /// Calls that arrived while the machine was unresponsive.
    held_calls: Vec<CommandCall>,
}

impl Worker {
    fn new(name: usize, shard: usize, now: u64) -> Self {
        Self {
            name,
            shard,
            session: 1,
            seq: 0,
            token: 0,
            last_answer_at: now,
            last_heartbeat_at: 0,
            changed: true,
            unresponsive_until: 0,
            tasks: BTreeMap::new(),
            held_calls: Vec::new(),
        }
    }
}

struct Cluster {
    now: u64,
    revision: u64,
    store: BTreeMap<String, KeyValue>,
    shard_leaders: BTreeMap<u16, ShardLeader>,
    leaders: Vec<Option<Leader>>,
    /// When each shard without a leader gets the next one.
    returns_at: Vec<u64>,
    /// Former leaders that have not learned of their successors, with their shard and when they
    /// learn of them.
    stale_leaders: Vec<(usize, Leader, u64)>,
    workers: Vec<Worker>,
    /// Number of machines ever created.
    workers_created: usize,
    jobs: Vec<(usize, Arc<JobSpec>)>,
    write_faults: VecDeque<WriteFault>,
    delayed: Vec<(u64, CompareAndSwap)>,
    /// How often each task has completed.
    completed: BTreeMap<(JobId, u32), u32>,
    /// Number of attempts started.
    launches: u32,
    /// Run time after which a task completes on its own, ms; 0: never.
    runs_ms: u64,
}

impl Cluster {
    fn new() -> Self {
        let mut cluster = Self {
            now: 1_000,
            revision: 40,
            store: BTreeMap::new(),
            shard_leaders: BTreeMap::new(),
            leaders: (0..SHARDS).map(|_| None).collect(),
            returns_at: vec![0; SHARDS],
            stale_leaders: Vec::new(),
            workers: (0..WORKERS)
                .map(|n| Worker::new(n, n % SHARDS, 1_000))
                .collect(),
            workers_created: WORKERS,
            jobs: Vec::new(),
            write_faults: VecDeque::new(),
            delayed: Vec::new(),
            completed: BTreeMap::new(),
            launches: 0,
            runs_ms: 0,
        };
        (0..SHARDS).for_each(|shard| cluster.start_leader(shard));
        cluster
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
        self.publish_jobs();
    }

    fn cancel(&mut self, id: &JobId) {
        let Some(entry) = self.store.get(&job_key(id)) else {
            return;
        };
        let record = JobRecord {
            cancel_requested: true,
            ..from_value(&entry.value).expect("a job record")
        };
        self.revision += 1;
        self.put(job_key(id), to_value(&record));
        self.publish_jobs();
    }

    /// Shows every leader the current job records.
    fn publish_jobs(&mut self) {
        for (shard, spec) in &self.jobs {
            let cached = self.store.get(&job_key(&spec.id)).map(|e| CachedJob {
                record: Arc::new(from_value(&e.value).expect("a job record")),
                version: e.version,
            });
            if let Some(leader) = self.leaders[*shard].as_mut() {
                leader.placer.apply_job(&spec.id, cached.as_ref(), self.now);
            }
        }
    }

    /// A new leader acquires a shard and loads its records.
    fn start_leader(&mut self, shard: usize) {
        self.revision += 1;
        let token = self.revision;
        self.shard_leaders.insert(
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
        let mut owner = Owner::new(shard as u16, token, SHARDS as u16, TIMING, policy, self.now);
        owner.set_machine_types([machine_type()].iter());
        let mut placer = Placer::new(
            shard as u16,
            token,
            SHARDS as u16,
            placer_config(),
            self.now,
        );
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
        let known: Vec<JobId> = placer.known_jobs().cloned().collect();
        for id in known
            .iter()
            .filter(|id| !self.store.contains_key(&job_key(id)))
        {
            placer.apply_job(id, None, self.now);
        }
        self.leaders[shard] = Some(Leader {
            token,
            placer,
            owner,
            in_flight: None,
            write_backoff_until: 0,
            last_placement_pass_at: 0,
            last_store_read_at: self.now,
            other_owner_token: 0,
        });
        self.publish_jobs();
    }

    /// Stops the leader of a shard; the next one starts after `down_ms`. If `stale_ms` is not 0,
    /// the former leader goes on, and learns of its successor only `stale_ms` after the successor
    /// started.
    fn stop_leader(&mut self, shard: usize, down_ms: u64, stale_ms: u64) {
        let Some(mut leader) = self.leaders[shard].take() else {
            return;
        };
        self.returns_at[shard] = self.now + down_ms;
        if let Some(in_flight) = leader.in_flight.take().filter(|f| f.outcome.is_none()) {
            self.delayed.push((in_flight.at, in_flight.cas));
        }
        if stale_ms > 0 {
            self.stale_leaders
                .push((shard, leader, self.now + down_ms + stale_ms));
        }
    }

    /// Whether the store records that a task is done, or that its job has ended.
    fn is_completion_written(&self, id: &JobId, task: u32) -> bool {
        let chunk = |shard: usize| {
            self.store
                .get(&task_chunk_key(shard as u16, id, task / TASKS_PER_CHUNK))
        };
        let done = |e: &KeyValue| {
            from_value::<TaskChunkRecord>(&e.value)
                .expect("a task chunk record")
                .done_ranges
                .iter()
                .any(|r| (r.0..=r.1).contains(&task))
        };
        self.store.contains_key(&end_key(id)) || (0..SHARDS).filter_map(chunk).any(done)
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
                        let record: JobEndRecord = from_value(value).expect("a job end record");
                        if record.phase == JobPhase::Withdrawn {
                            let runs_task = |w: &Worker| {
                                w.tasks
                                    .iter()
                                    .any(|(i, t)| i.job == id && t.phase != TaskPhase::Exited)
                            };
                            assert!(
                                !self.workers.iter().any(runs_task),
                                "{id} is recorded as withdrawn while it runs"
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
                        assert!(
                            all,
                            "{id} is recorded as done before all its tasks completed: {:?}",
                            self.completed
                        );
                    }
                    self.put(key.clone(), value.clone());
                }
                Write::Delete { key } => drop(self.store.remove(key)),
            }
        }
        self.publish_jobs();
        CompareAndSwapOutcome::Committed(self.revision)
    }

    /// Steps a placer: delivers the answer that is due, or places tasks and writes.
    fn run_placer(&mut self, shard: usize) {
        let now = self.now;
        let Some(mut leader) = self.leaders[shard].take() else {
            return;
        };
        if leader.in_flight.as_ref().is_some_and(|f| now >= f.at) {
            let Some(in_flight) = leader.in_flight.take() else {
                unreachable!("checked above")
            };
            // The leader is put back first, since applying the write shows it the job records: it
            // may read an end before the answer arrives.
            self.leaders[shard] = Some(leader);
            let outcome = in_flight
                .outcome
                .unwrap_or_else(|| self.apply(&in_flight.cas));
            self.apply_outcome(shard, outcome);
            return;
        }
        leader.placer.advance_gang_admissions(now, 0);
        if leader.placer.placement_is_due(now)
            && now >= leader.last_placement_pass_at + PLACEMENT_INTERVAL_MS
        {
            leader.last_placement_pass_at = now;
            leader.placer.run_placement_pass(now);
        }
        let cas = if leader.in_flight.is_none() && now >= leader.write_backoff_until {
            leader.placer.next_cas(now)
        } else {
            None
        };
        self.leaders[shard] = Some(leader);
        let Some(cas) = cas else { return };
        let write_fault = self.write_faults.pop_front().unwrap_or(WriteFault::Slow(0));
        let (at, outcome) = match write_fault {
            WriteFault::Slow(steps) => (now + steps * STEP_MS, Some(self.apply(&cas))),
            WriteFault::Held(steps) => (now + steps.max(1) * STEP_MS, None),
            WriteFault::Lost => (now, Some(CompareAndSwapOutcome::Indeterminate)),
            WriteFault::NoAnswer => {
                self.apply(&cas);
                (now, Some(CompareAndSwapOutcome::Indeterminate))
            }
            WriteFault::Late(steps) => {
                self.delayed.push((now + steps * STEP_MS, cas.clone()));
                (now, Some(CompareAndSwapOutcome::Indeterminate))
            }
        };
        if at > now {
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.in_flight = Some(InFlightWrite { cas, at, outcome });
            }
        } else if let Some(outcome) = outcome {
            self.apply_outcome(shard, outcome);
        }
    }

    fn apply_outcome(&mut self, shard: usize, outcome: CompareAndSwapOutcome) {
        let now = self.now;
        let reread: Vec<(JobId, u32, u64)> = match &outcome {
            CompareAndSwapOutcome::Conflict(keys) => keys
                .iter()
                .filter_map(|k| {
                    parse_task_chunk_key(k).map(|(id, chunk)| (id, chunk, self.version(k)))
                })
                .collect(),
            _ => Vec::new(),
        };
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        if matches!(outcome, CompareAndSwapOutcome::Indeterminate) {
            leader.write_backoff_until = now + 2 * TICK_MS;
        }
        for (id, chunk, version) in reread {
            leader.placer.apply_reread_version(&id, chunk, version);
        }
        let (ownership, _) = leader.placer.apply_cas_outcome(outcome, now);
        assert_eq!(
            ownership,
            ShardOwnership::Held,
            "only a superseded leader loses its shard"
        );
    }

    fn sync(&mut self, from: usize, to: usize) {
        let now = self.now;
        let Some(mut leader) = self.leaders[from].take() else {
            return;
        };
        if from == to {
            let sync =
                leader
                    .placer
                    .sync_request(to as u16, leader.token, MAX_MESSAGE_BYTES, false, now);
            let view = leader
                .owner
                .sync(&sync, MAX_MESSAGE_BYTES, now)
                .expect("accepted by its own owner");
            leader.placer.apply_view(view, now);
        } else if let Some(other) = self.leaders[to].as_mut() {
            let sync =
                leader
                    .placer
                    .sync_request(to as u16, other.token, MAX_MESSAGE_BYTES, false, now);
            match other.owner.sync(&sync, MAX_MESSAGE_BYTES, now) {
                Ok(view) => drop(leader.placer.apply_view(view, now)),
                Err(_) => leader.placer.message_lost(to as u16),
            }
        }
        self.leaders[from] = Some(leader);
    }

    /// Steps the former leaders that have not learned of their successors: they sync with
    /// themselves and with any owner that accepts their syncs, and call their machines.
    fn run_stale_leaders(&mut self) {
        let now = self.now;
        let mut all = std::mem::take(&mut self.stale_leaders);
        all.retain(|(_, _, until)| now < *until);
        for (shard, leader, _) in &mut all {
            leader.owner.tick(now, leader.last_store_read_at);
            let sync = leader.placer.sync_request(
                *shard as u16,
                leader.token,
                MAX_MESSAGE_BYTES,
                false,
                now,
            );
            if let Ok(view) = leader.owner.sync(&sync, MAX_MESSAGE_BYTES, now) {
                leader.placer.apply_view(view, now);
            }
            let to = 1 - *shard;
            if let Some(other) = self.leaders[to].as_mut() {
                // The sync is addressed to the owner that the leader's last store read showed.
                let sync = leader.placer.sync_request(
                    to as u16,
                    leader.other_owner_token,
                    MAX_MESSAGE_BYTES,
                    false,
                    now,
                );
                match other.owner.sync(&sync, MAX_MESSAGE_BYTES, now) {
                    Ok(view) => drop(leader.placer.apply_view(view, now)),
                    Err(_) => leader.placer.message_lost(to as u16),
                }
            }
            // A stale leader's compare-and-swaps arrive late, and commit if their conditions hold.
            if let Some(cas) = leader.placer.next_cas(now) {
                self.delayed.push((now + 3 * STEP_MS, cas));
                leader
                    .placer
                    .apply_cas_outcome(CompareAndSwapOutcome::Indeterminate, now);
            }
            for call in leader.owner.due_calls(now, 64) {
                let result = self.deliver_command(&call);
                leader.owner.handle_call_result(&call, result, now);
            }
        }
        all.append(&mut self.stale_leaders);
        self.stale_leaders = all;
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
            spot: (w.name / 2).is_multiple_of(2),
            ..heartbeat(w.name, w.seq)
        }
    }

    fn execute(&mut self, n: usize, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("a task name");
            match command.kind {
                CommandKind::Start if self.workers[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    let runs_same_task = |w: &Worker| {
                        w.tasks.iter().any(|(i, t)| {
                            (&i.job, i.task) == (&id.job, id.task) && t.phase != TaskPhase::Exited
                        })
                    };
                    assert!(
                        !self.workers.iter().any(runs_same_task),
                        "{id} is started while its task runs on a machine"
                    );
                    assert!(
                        !self.is_completion_written(&id.job, id.task),
                        "{id} is started after its end was written"
                    );
                    self.launches += 1;
                    self.workers[n].tasks.insert(
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
                    let done = self.workers[n]
                        .tasks
                        .remove(&id)
                        .is_some_and(|t| t.cause == Some("done"));
                    assert!(
                        !done || self.is_completion_written(&id.job, id.task),
                        "{id} is forgotten before its end is written"
                    );
                }
            }
            self.workers[n].changed = true;
        }
    }

    fn exit(&mut self, n: usize, id: &AttemptId, cause: &'static str) {
        if let Some(t) = self.workers[n]
            .tasks
            .get_mut(id)
            .filter(|t| t.phase != TaskPhase::Exited)
        {
            (t.phase, t.cause) = (TaskPhase::Exited, Some(cause));
            self.workers[n].changed = true;
            if cause == "done" {
                *self.completed.entry((id.job.clone(), id.task)).or_default() += 1;
            }
        }
    }

    /// Sends a heartbeat to the leader of the shard, or to a stale leader if there is one and
    /// `stale_leaders` is set.
    fn send_heartbeat(&mut self, n: usize, stale_leaders: bool) {
        let (shard, now) = (self.workers[n].shard, self.now);
        let report = self.heartbeat_of(n);
        self.workers[n].last_heartbeat_at = now;
        self.workers[n].changed = false;
        let stale = self
            .stale_leaders
            .iter_mut()
            .find(|(p, _, _)| *p == shard && stale_leaders)
            .map(|(_, l, _)| l);
        let Some(leader) = stale.or(self.leaders[shard].as_mut()) else {
            return;
        };
        let Some(reply) = leader.owner.handle_heartbeat(&report, None, now) else {
            return;
        };
        if reply.fencing_token < self.workers[n].token {
            return;
        }
        (self.workers[n].token, self.workers[n].last_answer_at) = (reply.fencing_token, now);
        self.execute(n, &reply.commands);
    }

    fn send_commands(&mut self, shard: usize) {
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        // Released machines are replaced by new ones.
        let released = leader.owner.begin_releases();
        if !released.is_empty() {
            leader
                .owner
                .handle_release_result(&released, true, self.now);
        }
        for n in 0..WORKERS {
            if released.contains(&machine_id(self.workers[n].name)) {
                self.workers[n] = Worker::new(self.workers_created, shard, self.now);
                self.workers_created += 1;
            }
        }
        let Some(leader) = self.leaders[shard].as_mut() else {
            return;
        };
        for call in leader.owner.due_calls(self.now, 64) {
            let result = self.deliver_command(&call);
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.owner.handle_call_result(&call, result, self.now);
            }
        }
    }

    fn deliver_command(&mut self, call: &CommandCall) -> CommandResult {
        let Some(n) = (0..WORKERS).find(|n| machine_id(self.workers[*n].name) == call.machine)
        else {
            return CommandResult::NotSent;
        };
        let w = &mut self.workers[n];
        if self.now < w.unresponsive_until {
            w.held_calls.push(call.clone());
            return CommandResult::Unknown;
        }
        if call.commands.fencing_token < w.token || call.commands.incarnation != w.session {
            return CommandResult::Refused(self.heartbeat_of(n));
        }
        w.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.heartbeat_of(n))
    }

    /// Number of tasks of a gang job; `None` for other jobs.
    fn gang_size(&self, id: &JobId) -> Option<u64> {
        self.jobs
            .iter()
            .find(|(_, s)| s.id == *id && s.kind == JobKind::Gang)
            .map(|(_, s)| s.tasks)
    }

    fn running(&self) -> Vec<(usize, AttemptId)> {
        let all = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, w)| self.now >= w.unresponsive_until);
        all.flat_map(|(n, w)| {
            w.tasks
                .iter()
                .filter(|(_, t)| t.phase == TaskPhase::Running)
                .map(move |(id, _)| (n, id.clone()))
        })
        .collect()
    }

    /// Completes a task; of a gang, all members.
    fn complete(&mut self, n: usize, id: &AttemptId) {
        if self.gang_size(&id.job).is_none() {
            return self.exit(n, id, "done");
        }
        // Includes members on unresponsive machines.
        let all = self
            .workers
            .iter()
            .enumerate()
            .flat_map(|(n, w)| w.tasks.keys().map(move |i| (n, i.clone())));
        let members: Vec<(usize, AttemptId)> = all
            .filter(|(_, i)| (&i.job, i.attempt) == (&id.job, id.attempt))
            .collect();
        members
            .into_iter()
            .for_each(|(n, id)| self.exit(n, &id, "done"));
    }

    /// Steps the machines: they pull images, wait for their gangs, and lose their leases.
    fn run_workers(&mut self) {
        let now = self.now;
        for n in 0..WORKERS {
            if now >= self.workers[n].unresponsive_until {
                for call in std::mem::take(&mut self.workers[n].held_calls) {
                    self.deliver_command(&call);
                }
            }
            let w = &mut self.workers[n];
            if now > w.last_answer_at + TIMING.lease_ms {
                (w.session, w.last_answer_at, w.changed) = (w.session + 1, now, true);
                w.tasks.clear();
            }
        }
        let mut present_tasks: HashMap<(JobId, u32), u64> = HashMap::new();
        for (id, t) in self.workers.iter().flat_map(|w| &w.tasks) {
            if matches!(t.phase, TaskPhase::AwaitingGang | TaskPhase::Running) {
                *present_tasks
                    .entry((id.job.clone(), id.attempt))
                    .or_default() += 1;
            }
        }
        let gangs: BTreeMap<JobId, u64> = self
            .jobs
            .iter()
            .filter(|(_, s)| s.kind == JobKind::Gang)
            .map(|(_, s)| (s.id.clone(), s.tasks))
            .collect();
        for w in &mut self.workers {
            for (id, t) in &mut w.tasks {
                let whole = gangs
                    .get(&id.job)
                    .is_none_or(|n| present_tasks.get(&(id.job.clone(), id.attempt)) == Some(n));
                let next = match t.phase {
                    TaskPhase::PullingImage if now >= t.since + 300 => {
                        (TaskPhase::AwaitingGang, None)
                    }
                    TaskPhase::AwaitingGang if whole => (TaskPhase::Running, None),
                    TaskPhase::AwaitingGang if now >= t.since + 50_000 => {
                        (TaskPhase::Exited, Some("alone"))
                    }
                    TaskPhase::Running if !whole => (TaskPhase::Exited, Some("peers")),
                    _ => continue,
                };
                (t.phase, t.cause, t.since) = (next.0, next.1, now);
                w.changed = true;
            }
        }
        if self.runs_ms > 0 {
            for (n, id) in self.running() {
                if self.workers[n]
                    .tasks
                    .get(&id)
                    .is_some_and(|t| t.phase == TaskPhase::Running && now >= t.since + self.runs_ms)
                {
                    self.complete(n, &id);
                }
            }
        }
    }

    /// Advances the time by 100 ms and steps every part of the cluster.
    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        self.run_workers();
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.delayed = later;
        for (_, cas) in due {
            self.apply(&cas);
        }
        for shard in 0..SHARDS {
            if self.leaders[shard].is_none() && now >= self.returns_at[shard] {
                self.start_leader(shard);
            }
            if let Some(leader) = self.leaders[shard].as_mut() {
                leader.last_store_read_at = now;
                leader.other_owner_token = self
                    .shard_leaders
                    .get(&(1 - shard as u16))
                    .map_or(0, |h| h.fencing_token);
                leader
                    .owner
                    .observe_leaders(&self.shard_leaders, self.revision, now);
                leader.owner.tick(now, now);
            }
            self.send_commands(shard);
        }
        for n in 0..WORKERS {
            let w = &self.workers[n];
            let due =
                now >= w.last_heartbeat_at + 2_500 || w.changed && now >= w.last_heartbeat_at + 500;
            if due && now >= w.unresponsive_until {
                self.send_heartbeat(n, (now / 1_000 + n as u64).is_multiple_of(2));
            }
        }
        self.run_stale_leaders();
        for from in 0..SHARDS {
            for _ in 0..2 {
                self.run_placer(from);
                (0..SHARDS).for_each(|to| self.sync(from, to));
            }
        }
    }

    fn has_ended(&self, id: &JobId) -> bool {
        self.store.contains_key(&end_key(id))
    }

    fn chunk_keys(&self) -> Vec<&String> {
        self.store
            .keys()
            .filter(|k| k.starts_with("run/"))
            .collect()
    }

    /// Ends all faults and checks that every job ends and that nothing of it is left in the store,
    /// on machines or in placers.
    fn run_to_completion(&mut self) {
        self.write_faults.clear();
        self.runs_ms = 1_000;
        for w in &mut self.workers {
            w.unresponsive_until = w.unresponsive_until.min(self.now + 1_000);
        }
        // Enough for any proof by time, for any late compare-and-swap, and for low-priority jobs to
        // start.
        let end = self.now
            + MAX_STORE_OUTAGE_GRACE_MS
            + 2 * TIMING.lease_ms
            + LOW_PRIORITY_START_DEADLINE_MS;
        let settled = |cluster: &Self| {
            cluster.jobs.iter().all(|(_, s)| cluster.has_ended(&s.id))
                && cluster.chunk_keys().is_empty()
                && cluster.delayed.is_empty()
                && cluster.stale_leaders.is_empty()
        };
        while self.now < end && !settled(self) {
            self.step();
        }
        let unfinished: Vec<&JobId> = self
            .jobs
            .iter()
            .map(|(_, s)| &s.id)
            .filter(|id| !self.has_ended(id))
            .collect();
        let status = |id: &JobId| {
            self.leaders
                .iter()
                .flatten()
                .find_map(|l| l.placer.job_status(id, self.now))
        };
        let statuses: Vec<_> = unfinished
            .iter()
            .map(|id| (id, status(id), self.store.get(&task_chunk_key(0, id, 0))))
            .collect();
        let present_tasks: Vec<_> = self
            .workers
            .iter()
            .flat_map(|w| {
                w.tasks
                    .iter()
                    .map(|(id, t)| (id, t.phase, t.cause, t.since))
            })
            .collect();
        assert!(
            unfinished.is_empty(),
            "not ended: {statuses:?}, on machines: {present_tasks:?}, at {}",
            self.now
        );
        assert!(
            self.chunk_keys().is_empty(),
            "left over: {:?}",
            self.chunk_keys()
        );
        // Enough for a shard without a leader to get one that receives its machines' heartbeats.
        (0..200).for_each(|_| self.step());
        assert!(
            self.workers.iter().all(|w| w.tasks.is_empty()),
            "machines still know of tasks"
        );
        for leader in self.leaders.iter().flatten() {
            assert_eq!(
                leader.placer.known_jobs().count(),
                0,
                "the leader with token {:?} still knows jobs",
                leader.token
            );
        }
    }
}

fn job(n: u32, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        ..array_job(tasks)
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
    /// The cluster runs for this many steps.
    Run(u64),
    /// One of the running tasks completes.
    Complete(usize),
    /// Queues the fault of a later compare-and-swap.
    AddWriteFault(WriteFault),
    /// The leader of this shard stops, as in [`Cluster::stop_leader`] with these `down_ms` and
    /// `stale_ms`.
    StopLeader(usize, u64, u64),
    /// A machine hangs for this long, ms.
    Hang(usize, u64),
    /// A job of this many tasks is submitted to the placer of this shard; 0: a gang, 1: a
    /// low-priority array, else an array of normal priority.
    Submit(usize, u64, u8),
    /// A user cancels one of the jobs.
    Cancel(usize),
}

fn write_fault() -> impl Strategy<Value = WriteFault> {
    prop_oneof![
        (0..30u64).prop_map(WriteFault::Slow),
        (0..30u64).prop_map(WriteFault::Held),
        Just(WriteFault::Lost),
        Just(WriteFault::NoAnswer),
        (1..100u64).prop_map(WriteFault::Late),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1..25u64).prop_map(Step::Run),
        6 => (0..8usize).prop_map(Step::Complete),
        6 => write_fault().prop_map(Step::AddWriteFault),
        3 => (0..SHARDS, prop::sample::select(vec![100u64, 800, 4_000, 8_000]), prop::sample::select(vec![0u64, 0, 1_500, 6_000]))
            .prop_map(|(shard, down_ms, stale_ms)| Step::StopLeader(shard, down_ms, stale_ms)),
        2 => (0..WORKERS, prop::sample::select(vec![2_000u64, 9_000, 20_000, 120_000])).prop_map(|(n, ms)| Step::Hang(n, ms)),
        1 => (0..8usize).prop_map(Step::Cancel),
        2 => (0..SHARDS, 1..4u64, 0..4u8).prop_map(|(shard, tasks, kind)| Step::Submit(shard, tasks, kind)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(35), max_shrink_iters: 400, ..ProptestConfig::default() })]

    /// Jobs of one to three tasks that complete far apart, while leaders of both shards stop or
    /// are superseded, machines hang, and compare-and-swaps are slow, lost, unanswered or late.
    /// Checked in every order: no task starts while an attempt of it runs or once its end is
    /// written; no worker forgets an attempt before its end is written; a job is recorded as done
    /// only when all of its tasks have completed; finally every job ends, and no records, tasks or
    /// known jobs are left.
    #[test]
    fn every_job_ends_exactly_once_and_leaves_no_records(steps in prop::collection::vec(step(), 1..60)) {
        let mut cluster = Cluster::new();
        (0..20).for_each(|_| cluster.step());
        for n in 1..=3 {
            cluster.submit(0, job(n, u64::from(n)));
        }
        cluster.submit(0, gang(4, 3));
        cluster.submit(1, job(5, 2));
        for (n, step) in (10..).zip(steps) {
            match step {
                Step::Run(steps) => (0..steps).for_each(|_| cluster.step()),
                Step::Complete(n) => {
                    let running = cluster.running();
                    if !running.is_empty() {
                        let (n, id) = running[n % running.len()].clone();
                        cluster.complete(n, &id);
                    }
                }
                Step::AddWriteFault(write_fault) => cluster.write_faults.push_back(write_fault),
                Step::StopLeader(shard, down_ms, stale_ms) =>
                    cluster.stop_leader(shard, down_ms, stale_ms),
                Step::Hang(n, ms) => cluster.workers[n].unresponsive_until = cluster.now + ms,
                Step::Cancel(n) => {
                    let id = cluster.jobs[n % cluster.jobs.len()].1.id.clone();
                    cluster.cancel(&id);
                }
                Step::Submit(shard, tasks, 0) => cluster.submit(shard, gang(n, tasks)),
                Step::Submit(shard, tasks, 1) => cluster.submit(shard, JobSpec { priority: Priority::Low, ..job(n, tasks) }),
                Step::Submit(shard, tasks, _) => cluster.submit(shard, job(n, tasks)),
            }
        }
        cluster.run_to_completion();
    }
}

// ---- scripted orders -------------------------------------------------------------------

fn id(n: u32) -> JobId {
    job(n, 1).id
}

/// A cluster whose owners have registered their machines.
fn cluster_with_known_machines() -> Cluster {
    let mut cluster = Cluster::new();
    (0..20).for_each(|_| cluster.step());
    cluster
}

/// Steps until the condition holds, for 30 s at most.
fn run_until(cluster: &mut Cluster, expectation: &str, condition: impl Fn(&Cluster) -> bool) {
    let end = cluster.now + 30_000;
    while !condition(cluster) {
        assert!(cluster.now < end, "{expectation}");
        cluster.step();
    }
}

fn complete(cluster: &mut Cluster, n: u32, task: u32) {
    let (at, attempt) = cluster
        .running()
        .into_iter()
        .find(|(_, i)| i.job == id(n) && i.task == task)
        .expect("a running task");
    cluster.complete(at, &attempt);
}

/// Of three tasks, the end of the first is written and forgotten, the second completes while its
/// leader changes, and the third goes on. The new leader loads what was written, learns of the
/// second end from the machine that keeps it, and starts nothing again. The same holds if it is
/// superseded in turn, before or after it learned of that end, or with the end acknowledged but not
/// written.
#[test]
fn unwritten_task_end_is_reported_again_to_each_new_leader() {
    for (steps, successors, stale_ms) in [
        (0, 1, 0),
        (3, 1, 0),
        (25, 1, 0),
        (3, 2, 0),
        (25, 3, 0),
        (3, 2, 2_000),
        (25, 3, 2_000),
    ] {
        let mut cluster = cluster_with_known_machines();
        cluster.submit(0, job(1, 3));
        run_until(&mut cluster, "all tasks run", |s| s.running().len() == 3);
        complete(&mut cluster, 1, 0);
        run_until(&mut cluster, "the first end is written", |s| {
            s.is_completion_written(&id(1), 0)
        });
        let on_machine = |s: &Cluster| {
            s.workers
                .iter()
                .any(|w| w.tasks.keys().any(|i| i.task == 0))
        };
        run_until(&mut cluster, "the attempt is forgotten", |s| !on_machine(s));
        complete(&mut cluster, 1, 1);
        for _ in 0..successors {
            (0..steps).for_each(|_| cluster.step());
            cluster.stop_leader(0, 800, stale_ms);
        }
        assert!(
            !cluster.is_completion_written(&id(1), 1),
            "its end waits to be written together with others"
        );
        run_until(&mut cluster, "the second end is written", |s| {
            s.is_completion_written(&id(1), 1)
        });
        assert!(!cluster.has_ended(&id(1)));
        complete(&mut cluster, 1, 2);
        run_until(&mut cluster, "the job ends", |s| s.has_ended(&id(1)));
        assert_eq!(
            cluster.launches, 3,
            "{steps} steps, {successors} successors, stale for {stale_ms} ms: a task was started again"
        );
        cluster.run_to_completion();
    }
}

/// The machine that keeps an unwritten end is lost before the new leader learns of that end: the
/// task runs again, and only then is the job done.
#[test]
fn task_end_lost_with_its_machine_costs_one_rerun() {
    let mut cluster = cluster_with_known_machines();
    cluster.submit(0, job(1, 2));
    run_until(&mut cluster, "both run", |s| s.running().len() == 2);
    complete(&mut cluster, 1, 0);
    let kept = cluster
        .workers
        .iter()
        .position(|w| w.tasks.keys().any(|i| i.task == 0))
        .expect("a machine with the task");
    cluster.stop_leader(0, 800, 0);
    cluster.workers[kept].unresponsive_until = u64::MAX;
    cluster.workers[kept].tasks.clear();
    if cluster.running().len() == 1 {
        complete(&mut cluster, 1, 1);
    }
    (0..20).for_each(|_| cluster.step());
    assert!(!cluster.has_ended(&id(1)));
    cluster.run_to_completion();
    assert!(cluster.completed[&(id(1), 0)] == 2);
}

/// A start's compare-and-swap got no answer and was retried; the task completed, its job ended, and
/// its record was deleted. When the first compare-and-swap then arrives, the chunk's key is absent,
/// as its condition on that key demands. It must conflict on the job's key, or it would restore the
/// record.
#[test]
fn late_start_does_not_restore_the_record_of_an_ended_job() {
    let mut cluster = cluster_with_known_machines();
    cluster.write_faults.push_back(WriteFault::Late(1_000));
    cluster.submit(0, job(1, 2));
    cluster.runs_ms = 500;
    run_until(&mut cluster, "the job ends", |s| {
        s.has_ended(&id(1)) && s.chunk_keys().is_empty()
    });
    let (_, late) = cluster.delayed.pop().expect("a delayed compare-and-swap");
    assert!(
        matches!(cluster.apply(&late), CompareAndSwapOutcome::Conflict(keys) if keys == [job_key(&id(1))])
    );
    cluster.run_to_completion();
}

/// A start was committed without an answer, and its user cancels the job. The placer withdraws the
/// start as unwritten, but must still delete the record.
#[test]
fn start_with_indeterminate_write_is_removed_with_its_job() {
    for successor in [false, true] {
        let mut cluster = cluster_with_known_machines();
        cluster.write_faults.push_back(WriteFault::NoAnswer);
        cluster.submit(0, job(1, 2));
        while cluster.chunk_keys().is_empty() {
            cluster.step();
        }
        cluster.cancel(&id(1));
        if successor {
            cluster.stop_leader(0, 100, 0);
        }
        run_until(&mut cluster, "the job ends", |s| s.has_ended(&id(1)));
        run_until(&mut cluster, "its records are deleted", |s| {
            s.chunk_keys().is_empty()
        });
        assert_eq!(cluster.launches, 0);
        cluster.run_to_completion();
    }
}

/// A job is cancelled while its first start is in flight, and the cached copy of its key stays
/// stale for a while: the start conflicts once and is not retried until the copy is fresh, and
/// other writes go on.
#[test]
fn start_conflicting_with_its_job_key_waits_for_a_fresh_copy() {
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    submit(&mut placer, job(1, 1), 0, 0);
    let seq = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
        .seq;
    let whole = lemonweir_protocol::peer::ChangeRange {
        since: 0,
        until: 1,
        complete: true,
    };
    placer.apply_view(
        shard_view(seq, whole, vec![machine_view(0, 4)], Vec::new()),
        0,
    );
    placer.run_placement_pass(0);
    let first = placer.next_cas(0).expect("its start");
    assert!(
        first
            .conditions
            .iter()
            .any(|c| c.key == job_key(&id(1)) && c.version == 1)
    );
    placer.apply_cas_outcome(CompareAndSwapOutcome::Conflict(vec![job_key(&id(1))]), 0);
    assert!(
        placer.next_cas(10).is_none(),
        "no newer copy of the key has arrived"
    );
    submit(&mut placer, job(2, 1), 0, 20);
    placer.run_placement_pass(20);
    let other = placer.next_cas(20).expect("another job's start");
    assert!(other.conditions.iter().all(|c| c.key != job_key(&id(1))));
    placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(50), 20);
    let cancelled_record = JobRecord {
        spec: job(1, 1),
        submitted_at_ms: 0,
        cancel_requested: true,
        dependency_count: 0,
    };
    placer.apply_job(
        &id(1),
        Some(&CachedJob {
            record: Arc::new(cancelled_record),
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

/// A new leader does not write loaded records again: nothing of an array with two finished chunks
/// and one that waits for room is written, and the record of a job that ended meanwhile is deleted.
#[test]
fn new_leader_does_not_rewrite_finished_chunks() {
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    for (n, chunk) in [(1, 0), (1, 1), (2, 0)] {
        let done = vec![(
            chunk * TASKS_PER_CHUNK,
            chunk * TASKS_PER_CHUNK + TASKS_PER_CHUNK - 1,
        )];
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
    placer.apply_job(&id(2), None, 0);
    let cas = placer
        .next_cas(2 * ATTEMPT_END_WRITE_DELAY_MS)
        .expect("one deletion");
    assert!(
        matches!(&cas.writes[..], [Write::Delete { key }] if *key == task_chunk_key(0, &id(2), 0)),
        "{:?}",
        cas.writes
    );
    placer.apply_cas_outcome(
        CompareAndSwapOutcome::Committed(60),
        2 * ATTEMPT_END_WRITE_DELAY_MS,
    );
    assert!(placer.next_cas(4 * ATTEMPT_END_WRITE_DELAY_MS).is_none());
    assert_eq!(
        placer.job_status(&id(1), 0).map(|status| status.done),
        Some(128)
    );
}

/// A job is cancelled while its first start is in flight, which then conflicts or gets no answer.
/// No owner was told of it, so the end of the job is the next write.
#[test]
fn start_in_flight_does_not_delay_a_cancellation() {
    for outcome in [
        CompareAndSwapOutcome::Conflict(vec![job_key(&id(1))]),
        CompareAndSwapOutcome::Indeterminate,
    ] {
        let indeterminate = matches!(outcome, CompareAndSwapOutcome::Indeterminate);
        let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
        submit(&mut placer, job(1, 2), 0, 0);
        let seq = placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
            .seq;
        let whole = lemonweir_protocol::peer::ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        };
        placer.apply_view(
            shard_view(seq, whole, vec![machine_view(0, 4)], Vec::new()),
            0,
        );
        placer.run_placement_pass(0);
        placer.next_cas(0).expect("its starts");
        let cancelled_record = JobRecord {
            spec: job(1, 2),
            submitted_at_ms: 0,
            cancel_requested: true,
            dependency_count: 0,
        };
        placer.apply_job(
            &id(1),
            Some(&CachedJob {
                record: Arc::new(cancelled_record),
                version: 2,
            }),
            30,
        );
        placer.apply_cas_outcome(outcome, 40);
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
        placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(50), 50);
        // The placer checks whether an indeterminate start was committed; a conflict shows that it
        // was.
        assert_eq!(placer.known_jobs().count(), usize::from(indeterminate));
        assert!(
            placer
                .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 60)
                .desired
                .is_empty()
        );
        if indeterminate {
            let absent = placer
                .next_cas(60 + ATTEMPT_END_WRITE_DELAY_MS)
                .expect("a check for the record");
            assert!(
                absent.writes.is_empty()
                    && absent.conditions.contains(&Condition {
                        key: task_chunk_key(0, &id(1), 0),
                        version: 0
                    })
            );
            placer.apply_reread_version(&id(1), 0, 45);
            placer.apply_cas_outcome(
                CompareAndSwapOutcome::Conflict(vec![task_chunk_key(0, &id(1), 0)]),
                70 + ATTEMPT_END_WRITE_DELAY_MS,
            );
            let gone = placer
                .next_cas(70 + ATTEMPT_END_WRITE_DELAY_MS)
                .expect("its removal");
            assert_eq!(
                gone.writes,
                [Write::Delete {
                    key: task_chunk_key(0, &id(1), 0)
                }]
            );
            placer.apply_cas_outcome(
                CompareAndSwapOutcome::Committed(51),
                80 + ATTEMPT_END_WRITE_DELAY_MS,
            );
            assert_eq!(placer.known_jobs().count(), 0);
        }
    }
}

/// A store whose answers all come too late commits each write without the placer learning of it,
/// so each retry conflicts with the one before. No task starts twice or is lost, and once answers
/// come in time the versions are read again and all jobs complete.
#[test]
fn slow_store_delays_but_loses_nothing() {
    for late in 1..30 {
        let mut cluster = cluster_with_known_machines();
        cluster.submit(0, job(1, 3));
        cluster.submit(0, gang(2, 2));
        cluster
            .write_faults
            .extend((0..late).map(|_| WriteFault::NoAnswer));
        (0..100).for_each(|_| cluster.step());
        cluster.run_to_completion();
        assert_eq!(cluster.launches, 5, "after {late}");
    }
}
