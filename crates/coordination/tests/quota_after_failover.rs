//! A team's quota limit across a failover of its placer and of the machines' owner.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer, PlacerConfig};
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority, Resources};
use lemonweir_protocol::kv_store::Write;
use lemonweir_protocol::peer::{AttemptState, AttemptStatus, ChangeRange};
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{TaskChunkRecord, parse_task_chunk_key};
use support::*;

/// Tasks that the team may run at a time.
const QUOTA_TASKS: usize = 2;
/// ms between two steps.
const STEP_MS: u64 = 50;
/// ms for which the successor is followed.
const FOLLOWED_MS: u64 = 40_000;
/// Machines of the shard; each holds four tasks.
const MACHINES: usize = 3;

fn id(n: u64) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn job(n: u64, kind: JobKind, tasks: u64) -> JobSpec {
    JobSpec {
        id: id(n),
        kind,
        ..array(tasks)
    }
}

fn placer(token: u64, quota_tasks: usize, now: u64) -> Placer {
    let limit = Resources::capacity(0.0, quota_tasks as f64, 0.0);
    let config = PlacerConfig {
        quota_limits: [(
            "red".to_owned(),
            Resources {
                milli_cpus: u64::MAX,
                memory_mb: u64::MAX,
                ..limit
            },
        )]
        .into(),
        ..terms()
    };
    Placer::new(0, token, 1, config, now)
}

/// The task records, as the store holds them.
#[derive(Clone, Default)]
struct Records {
    chunks: BTreeMap<(JobId, u32), (TaskChunkRecord, u64)>,
    revision: u64,
}

impl Records {
    /// Commits whatever the placer has to write at `now`.
    fn commit(&mut self, placer: &mut Placer, now: u64) {
        while let Some(cas) = placer.next_cas(now) {
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
        }
    }

    fn load(&self, placer: &mut Placer) {
        for ((job, chunk), (record, version)) in &self.chunks {
            placer.load_chunk(job, *chunk, record, *version);
        }
    }

    fn recorded_attempts(&self) -> BTreeSet<AttemptId> {
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

/// Workers that execute every command at once.
struct Workers {
    tasks: Vec<BTreeMap<AttemptId, TaskPhase>>,
    sequence: u64,
    token: Vec<u64>,
}

impl Workers {
    fn new() -> Self {
        Self {
            tasks: vec![BTreeMap::new(); MACHINES],
            sequence: 1,
            token: vec![TOKEN << MACHINE_TOKEN_BITS; MACHINES],
        }
    }

    fn running(&self) -> usize {
        let phases = self.tasks.iter().flat_map(BTreeMap::values);
        phases.filter(|phase| **phase == TaskPhase::Running).count()
    }

    fn run(&mut self, n: usize, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("an attempt");
            match command.kind {
                CommandKind::Start => drop(self.tasks[n].entry(id).or_insert(TaskPhase::Running)),
                CommandKind::Stop => {
                    if let Some(phase) = self.tasks[n].get_mut(&id) {
                        *phase = TaskPhase::Exited;
                    }
                }
                CommandKind::Forget => drop(self.tasks[n].remove(&id)),
            }
        }
    }

    fn heartbeat(&mut self, n: usize) -> Heartbeat {
        self.sequence += 1;
        let status = |(id, phase): (&AttemptId, &TaskPhase)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: *phase,
            exit_cause: (*phase == TaskPhase::Exited).then(|| "stopped".into()),
            checkpointed: None,
        };
        Heartbeat {
            fencing_token: self.token[n],
            tasks: self.tasks[n].iter().map(status).collect(),
            ..report(n, self.sequence)
        }
    }

    fn execute(&mut self, call: &CommandCall) -> CommandResult {
        let n = (0..MACHINES)
            .find(|n| machine(*n) == call.machine)
            .expect("a machine");
        self.token[n] = self.token[n].max(call.commands.fencing_token);
        self.run(n, &call.commands.commands);
        CommandResult::Executed(self.heartbeat(n))
    }

    /// Every machine sends a heartbeat and executes what the answer carries.
    fn send_heartbeats(&mut self, owner: &mut Owner, now: u64) {
        for n in 0..MACHINES {
            let heartbeat = self.heartbeat(n);
            let reply = owner
                .handle_heartbeat(&heartbeat, None, now)
                .expect("answered");
            self.token[n] = self.token[n].max(reply.fencing_token);
            self.run(n, &reply.commands);
        }
    }
}

/// What the placer that ends has done before.
struct Scenario {
    /// Jobs that fill the quota.
    running_jobs: Vec<JobSpec>,
    /// Jobs that come then, and go first.
    waiting_jobs: Vec<JobSpec>,
    /// The first jobs, whose attempts end.
    ending_jobs: usize,
    /// How the owner says that these attempts ended.
    end: AttemptState,
}

fn submit_all(jobs: &[JobSpec], placer: &mut Placer, now: u64) {
    for spec in jobs {
        submit(placer, spec.clone(), now, now);
    }
}

impl Scenario {
    /// A placer fills the team's quota, learns that the first jobs' attempts have ended,
    /// gives their room to the next ones, and ends `lives_ms` later.
    fn records_of_ended_placer(&self, lives_ms: u64) -> Records {
        let mut records = Records::default();
        let mut old = placer(TOKEN + 1, QUOTA_TASKS, 0);
        let seq = old.sync_request(0, TOKEN, ROOM, false, 0).seq;
        let machines = (0..MACHINES).map(|n| shown(n, 4)).collect();
        let span = |since, until| ChangeRange {
            since,
            until,
            complete: true,
        };
        old.apply_view(view(seq, span(0, 9), machines, Vec::new()), 1);
        submit_all(&self.running_jobs, &mut old, 2);
        old.run_placement_pass(3);
        records.commit(&mut old, 4);
        let ended = records.recorded_attempts();
        let ended = ended
            .into_iter()
            .filter(|attempt| {
                let ending = &self.running_jobs[..self.ending_jobs];
                ending.iter().any(|job| job.id == attempt.job)
            })
            .map(|id| AttemptStatus {
                id,
                state: self.end,
            })
            .collect();
        submit_all(&self.waiting_jobs, &mut old, 5);
        let seq = old.sync_request(0, TOKEN, ROOM, false, 5).seq;
        old.apply_view(view(seq, span(9, 9), Vec::new(), ended), 5);
        old.run_placement_pass(6);
        for now in (6..=6 + lives_ms).step_by(10) {
            records.commit(&mut old, now);
        }
        records
    }

    /// The most tasks that ran at a time under a successor with this quota, and how many
    /// ran at the end.
    fn follow_successor(&self, mut records: Records, quota_tasks: usize) -> (usize, usize) {
        let mut owner = fleet(MACHINES);
        let mut workers = Workers::new();
        let mut successor = placer(TOKEN + 2, quota_tasks, 20);
        records.load(&mut successor);
        submit_all(&self.running_jobs, &mut successor, 20);
        submit_all(&self.waiting_jobs, &mut successor, 20);
        let mut most = 0;
        for now in (20..FOLLOWED_MS).step_by(STEP_MS as usize) {
            owner.tick(now, now);
            if now % 3_000 < STEP_MS {
                workers.send_heartbeats(&mut owner, now);
            }
            let request = successor.sync_request(0, TOKEN, ROOM, false, now);
            let view = owner.sync(&request, ROOM, now).expect("a view");
            successor.apply_view(view, now);
            successor.run_placement_pass(now);
            successor.advance_gang_admissions(now, 0);
            records.commit(&mut successor, now);
            for call in owner.due_calls(now, ROOM) {
                let result = workers.execute(&call);
                owner.handle_call_result(&call, result, now);
            }
            most = most.max(workers.running());
        }
        (most, workers.running())
    }
}

fn singles(from: u64, to: u64) -> Vec<JobSpec> {
    (from..to).map(|n| job(n, JobKind::Array, 1)).collect()
}

fn gang(n: u64) -> Vec<JobSpec> {
    vec![job(n, JobKind::Gang, 2)]
}

fn urgent(jobs: Vec<JobSpec>) -> Vec<JobSpec> {
    let urgent = |job| JobSpec {
        priority: Priority::High,
        ..job
    };
    jobs.into_iter().map(urgent).collect()
}

/// The placers' ends and what they left, by name.
fn scenarios() -> Vec<(String, Scenario)> {
    let shapes = [
        ("task", singles(0, 2), singles(2, 4), 1),
        ("two tasks", singles(0, 2), singles(2, 4), 2),
        ("gang", gang(0), singles(2, 4), 1),
        ("two tasks for a gang", singles(0, 2), gang(2), 2),
    ];
    let ends = [AttemptState::Refused, AttemptState::Gone];
    let mut scenarios = Vec::new();
    for end in ends {
        for (shape, running_jobs, waiting_jobs, ending_jobs) in shapes.clone() {
            let scenario = Scenario {
                running_jobs,
                waiting_jobs: urgent(waiting_jobs),
                ending_jobs,
                end,
            };
            scenarios.push((format!("{shape}: {end:?}"), scenario));
        }
    }
    scenarios
}

#[test]
fn successor_does_not_launch_ended_attempts_over_the_quota_limit() {
    let (mut over, mut idle) = (Vec::new(), Vec::new());
    for (name, scenario) in scenarios() {
        for lives_ms in (0..4_000).step_by(200) {
            let records = scenario.records_of_ended_placer(lives_ms);
            let (most, at_end) = scenario.follow_successor(records, QUOTA_TASKS);
            if most > QUOTA_TASKS {
                over.push((name.clone(), lives_ms, most));
            }
            if at_end < QUOTA_TASKS {
                idle.push((name.clone(), lives_ms, at_end));
            }
        }
    }
    assert!(over.is_empty(), "{} over the limit: {over:?}", over.len());
    assert!(idle.is_empty(), "{} below the limit: {idle:?}", idle.len());
}

#[test]
fn successor_with_a_lowered_quota_limit_launches_no_more_than_that() {
    let mut over = Vec::new();
    for (name, scenario) in scenarios() {
        let records = scenario.records_of_ended_placer(4_000);
        let (most, _) = scenario.follow_successor(records, QUOTA_TASKS - 1);
        if most >= QUOTA_TASKS {
            over.push((name, most));
        }
    }
    assert!(over.is_empty(), "{} over the limit: {over:?}", over.len());
}
