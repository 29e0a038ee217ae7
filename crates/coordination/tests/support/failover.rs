//! Test fixture: the task records in the store, and the workers on the machines, across a
//! failover of a placer and of the machines' owners. No test uses all of it.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer};
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_model::{AttemptId, JobId};
use lemonweir_protocol::kv_store::Write;
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{TaskChunkRecord, parse_task_chunk_key};

use crate::support::*;

/// Number of machines.
pub const MACHINES: usize = 4;
/// Time between two steps, ms.
pub const STEP_MS: u64 = 50;

/// The task records, as the store holds them.
#[derive(Clone, Default)]
pub struct Records {
    pub chunks: BTreeMap<(JobId, u32), (TaskChunkRecord, u64)>,
    pub revision: u64,
}

impl Records {
    /// Commits the next compare-and-swap that the placer has due at `now`; false if none is.
    pub fn commit_one(&mut self, placer: &mut Placer, now: u64) -> bool {
        let Some(cas) = placer.next_cas(now) else {
            return false;
        };
        self.revision += 1;
        for write in &cas.writes {
            let (Write::Put { key, .. } | Write::Delete { key }) = write;
            let Some((job, chunk)) = parse_task_chunk_key(key) else {
                continue;
            };
            match write {
                Write::Put { value, .. } => {
                    let record = read_chunk(value, chunk).expect("a chunk");
                    self.chunks.insert((job, chunk), (record, self.revision));
                }
                Write::Delete { .. } => drop(self.chunks.remove(&(job, chunk))),
            }
        }
        placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(self.revision), now);
        true
    }

    /// Commits whatever the placer has to write at `now`.
    pub fn commit(&mut self, placer: &mut Placer, now: u64) {
        while self.commit_one(placer, now) {}
    }

    pub fn load(&self, placer: &mut Placer) {
        for ((job, chunk), (record, version)) in &self.chunks {
            placer.load_chunk(job, *chunk, record, *version);
        }
    }

    pub fn recorded_attempts(&self) -> BTreeSet<AttemptId> {
        let attempts = |(job, record): (&JobId, &TaskChunkRecord)| -> Vec<AttemptId> {
            record
                .live_attempts
                .iter()
                .map(|live| AttemptId {
                    job: job.clone(),
                    task: live.task,
                    attempt: live.attempt,
                })
                .collect()
        };
        self.chunks
            .iter()
            .flat_map(|((job, _), (record, _))| attempts((job, record)))
            .collect()
    }
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub phase: TaskPhase,
    /// The exit cause once it has exited.
    exit_cause: &'static str,
    pub started_at: u64,
}

/// A start that a worker executed, and what else of the same job ran at that moment.
#[derive(Debug)]
pub struct ExecutedStart {
    pub attempt: AttemptId,
    pub zone: &'static str,
    /// Numbers of the job's other tasks on machines, by zone.
    pub others_by_zone: BTreeMap<&'static str, u32>,
    /// True if an attempt of the same task was on a machine.
    pub runs_already: bool,
}

/// Workers that execute every command at once.
pub struct Workers {
    pub tasks: Vec<BTreeMap<AttemptId, WorkerTask>>,
    sequence: u64,
    token: Vec<u64>,
    /// Session of each worker; it rises when the lease expires, which ends its tasks.
    session: [u64; MACHINES],
    /// When each worker was last answered, ms.
    answered_at: [u64; MACHINES],
    /// When each worker sends its first heartbeat, ms.
    pub first_heartbeat_at: [u64; MACHINES],
    zones: [&'static str; MACHINES],
    /// Shard of each machine.
    shards: [usize; MACHINES],
    /// Run time of a task, ms.
    run_ms: u64,
    pub starts: Vec<ExecutedStart>,
    /// Attempts that were stopped while they ran.
    pub stopped_while_running: BTreeSet<AttemptId>,
    pub completed: BTreeSet<(JobId, u32)>,
}

impl Workers {
    /// Workers of shard 0 in one zone, whose tasks run until they are stopped.
    pub fn new(first_heartbeat_at: [u64; MACHINES]) -> Self {
        Self::in_zones(
            ["north"; MACHINES],
            [0; MACHINES],
            u64::MAX,
            first_heartbeat_at,
        )
    }

    pub fn in_zones(
        zones: [&'static str; MACHINES],
        shards: [usize; MACHINES],
        run_ms: u64,
        first_heartbeat_at: [u64; MACHINES],
    ) -> Self {
        Self {
            tasks: vec![BTreeMap::new(); MACHINES],
            sequence: 1,
            token: vec![TOKEN << MACHINE_TOKEN_BITS; MACHINES],
            session: [1; MACHINES],
            answered_at: [0; MACHINES],
            first_heartbeat_at,
            zones,
            shards,
            run_ms,
            starts: Vec::new(),
            stopped_while_running: BTreeSet::new(),
            completed: BTreeSet::new(),
        }
    }

    pub fn running(&self) -> BTreeSet<AttemptId> {
        let tasks = self.tasks.iter().flatten();
        tasks
            .filter(|(_, task)| task.phase == TaskPhase::Running)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// An attempt is on a machine and runs there.
    pub fn add_running(&mut self, n: usize, id: AttemptId, now: u64) {
        let task = WorkerTask {
            phase: TaskPhase::Running,
            exit_cause: "",
            started_at: now,
        };
        self.tasks[n].insert(id, task);
    }

    /// Drops attempts without a trace, as a machine does that loses its lease.
    pub fn lose(&mut self, lost: &BTreeSet<AttemptId>) {
        for tasks in &mut self.tasks {
            tasks.retain(|id, _| !lost.contains(id));
        }
    }

    /// Ends the tasks that have run for as long as they take.
    pub fn complete_tasks(&mut self, now: u64) {
        for (id, task) in self.tasks.iter_mut().flatten() {
            let is_due = now >= task.started_at.saturating_add(self.run_ms);
            if task.phase == TaskPhase::Running && is_due {
                (task.phase, task.exit_cause) = (TaskPhase::Exited, "done");
                self.completed.insert((id.job.clone(), id.task));
            }
        }
    }

    fn start(&mut self, n: usize, id: AttemptId, now: u64) {
        if self.tasks[n].contains_key(&id) {
            return;
        }
        let mut others_by_zone = BTreeMap::new();
        let mut runs_already = false;
        for (tasks, zone) in self.tasks.iter().zip(self.zones) {
            let on_machine = |other: &&AttemptId| other.job == id.job;
            let not_exited = tasks
                .iter()
                .filter(|(_, task)| task.phase != TaskPhase::Exited);
            for other in not_exited.map(|(other, _)| other).filter(on_machine) {
                runs_already |= other.task == id.task;
                *others_by_zone.entry(zone).or_default() += 1;
            }
        }
        self.starts.push(ExecutedStart {
            attempt: id.clone(),
            zone: self.zones[n],
            others_by_zone,
            runs_already,
        });
        self.add_running(n, id, now);
    }

    fn run(&mut self, n: usize, commands: &[Command], now: u64) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("an attempt");
            match command.kind {
                CommandKind::Start => self.start(n, id, now),
                CommandKind::Stop => {
                    if let Some(task) = self.tasks[n]
                        .get_mut(&id)
                        .filter(|task| task.phase != TaskPhase::Exited)
                    {
                        (task.phase, task.exit_cause) = (TaskPhase::Exited, "stopped");
                        self.stopped_while_running.insert(id);
                    }
                }
                CommandKind::Forget => drop(self.tasks[n].remove(&id)),
            }
        }
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        self.sequence += 1;
        let status = |(id, task): (&AttemptId, &WorkerTask)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: task.phase,
            exit_cause: (task.phase == TaskPhase::Exited).then(|| task.exit_cause.into()),
            checkpointed: None,
        };
        Heartbeat {
            incarnation: self.session[n],
            fencing_token: self.token[n],
            zone: self.zones[n].into(),
            tasks: self.tasks[n].iter().map(status).collect(),
            ..heartbeat(n, self.sequence)
        }
    }

    /// Workers whose lease has expired end their tasks and begin a new session.
    pub fn end_expired_sessions(&mut self, now: u64) {
        for n in 0..MACHINES {
            if now >= self.answered_at[n] + TIMING.lease_ms {
                self.session[n] += 1;
                self.tasks[n].clear();
                self.answered_at[n] = now;
            }
        }
    }

    pub fn execute(&mut self, call: &CommandCall, now: u64) -> CommandResult {
        let n = (0..MACHINES)
            .find(|n| machine_id(*n) == call.machine)
            .expect("a machine");
        self.token[n] = self.token[n].max(call.commands.fencing_token);
        self.run(n, &call.commands.commands, now);
        CommandResult::Executed(self.heartbeat(n))
    }

    /// Machines whose heartbeat is due send it and execute the commands of the reply.
    pub fn send_heartbeats(&mut self, owners: &mut [Owner], now: u64) {
        let is_due = |first_at: u64| now >= first_at && (now - first_at) % 3_000 < STEP_MS;
        for n in 0..MACHINES {
            if !is_due(self.first_heartbeat_at[n]) {
                continue;
            }
            let heartbeat = self.heartbeat(n);
            let reply = owners[self.shards[n]]
                .handle_heartbeat(&heartbeat, None, now)
                .expect("answered");
            self.token[n] = self.token[n].max(reply.fencing_token);
            self.answered_at[n] = now;
            self.run(n, &reply.commands, now);
        }
    }

    /// An owner launches and stops whatever it may.
    pub fn execute_calls(&mut self, owner: &mut Owner, now: u64) {
        for call in owner.due_calls(now, MAX_MESSAGE_BYTES) {
            let result = self.execute(&call, now);
            owner.handle_call_result(&call, result, now);
        }
    }
}
