//! A team's quota limit across a failover of its placer and of the machines' owner.

#[path = "support/failover.rs"]
mod failover;
mod support;

use std::collections::BTreeSet;
use std::slice;

use failover::*;
use lemonweir_coordination::placer::{Placer, PlacerConfig};
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Priority, Resources};
use lemonweir_protocol::peer::{AttemptState, AttemptStatus, ChangeRange};
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, LiveAttemptRecord, TaskChunkRecord,
};
use support::*;

/// Number of tasks that the team may run at a time.
const QUOTA_TASKS: usize = 2;
/// Time for which the successor is observed, ms.
const OBSERVED_MS: u64 = 40_000;

fn id(n: u64) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn job(n: u64, kind: JobKind, tasks: u64) -> JobSpec {
    JobSpec {
        id: id(n),
        kind,
        ..array_job(tasks)
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
        ..placer_config()
    };
    Placer::new(0, token, 1, config, now)
}

/// What a placer does before it ends.
struct Scenario {
    /// Jobs that fill the quota.
    running_jobs: Vec<JobSpec>,
    /// Jobs that are submitted afterwards, with a higher priority.
    waiting_jobs: Vec<JobSpec>,
    /// How many of the running jobs, counted from the first, have attempts that end.
    ending_jobs: usize,
    /// The state in which the owner reports these attempts.
    end: AttemptState,
}

fn submit_all(jobs: &[JobSpec], placer: &mut Placer, now: u64) {
    for spec in jobs {
        submit(placer, spec.clone(), now, now);
    }
}

impl Scenario {
    /// A placer fills the team's quota, learns that the first jobs' attempts have ended,
    /// gives their resources to the waiting ones, and ends `ends_after_ms` later.
    fn records_of_ended_placer(&self, ends_after_ms: u64) -> Records {
        let mut records = Records::default();
        let mut old = placer(TOKEN + 1, QUOTA_TASKS, 0);
        let seq = old.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0).seq;
        let machines = (0..MACHINES).map(|n| machine_view(n, 1)).collect();
        let span = |since, until| ChangeRange {
            since,
            until,
            complete: true,
        };
        old.apply_view(shard_view(seq, span(0, 9), machines, Vec::new()), 1);
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
        let seq = old.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 5).seq;
        let full = (0..self.ending_jobs).map(|n| machine_view(n, 0)).collect();
        old.apply_view(shard_view(seq, span(9, 19), full, ended), 5);
        old.run_placement_pass(6);
        for now in (6..=6 + ends_after_ms).step_by(10) {
            records.commit(&mut old, now);
        }
        records
    }

    fn run_successor(
        &self,
        records: Records,
        quota_tasks: usize,
        first_heartbeats: FirstHeartbeats,
    ) -> Outcome {
        let jobs = [self.running_jobs.as_slice(), &self.waiting_jobs].concat();
        run_successor(
            records,
            &jobs,
            quota_tasks,
            Workers::new(first_heartbeats.first_at()),
        )
    }
}

/// When the machines send their first heartbeats to a new owner.
#[derive(Clone, Copy, Debug)]
enum FirstHeartbeats {
    Together,
    OneByOne,
}

impl FirstHeartbeats {
    fn first_at(self) -> [u64; MACHINES] {
        match self {
            Self::Together => [20; MACHINES],
            Self::OneByOne => std::array::from_fn(|n| 20 + 700 * n as u64),
        }
    }
}

/// Which tasks ran under a successor.
struct Outcome {
    /// Largest number of tasks that ran at a time.
    max_running: usize,
    /// Recorded attempts that ran at any time.
    recorded_ran: usize,
    /// Attempts that run when the observation ends.
    at_end: BTreeSet<AttemptId>,
}

/// A new placer loads the records, and a new owner receives heartbeats of the machines.
fn run_successor(
    mut records: Records,
    jobs: &[JobSpec],
    quota_tasks: usize,
    mut workers: Workers,
) -> Outcome {
    let mut owner = owner_with_machines(0);
    let mut successor = placer(TOKEN + 2, quota_tasks, 20);
    let recorded = records.recorded_attempts();
    records.load(&mut successor);
    submit_all(jobs, &mut successor, 20);
    let (mut max_running, mut ran) = (0, BTreeSet::new());
    for now in (20..OBSERVED_MS).step_by(STEP_MS as usize) {
        owner.tick(now, now);
        workers.send_heartbeats(slice::from_mut(&mut owner), now);
        let request = successor.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, now);
        let view = owner
            .sync(&request, MAX_MESSAGE_BYTES, now)
            .expect("a view");
        successor.apply_view(view, now);
        successor.run_placement_pass(now);
        successor.advance_gang_admissions(now, 0);
        records.commit(&mut successor, now);
        // The owner launches whatever it may before the next sync.
        let later = now + STEP_MS / 2;
        owner.tick(later, later);
        workers.execute_calls(&mut owner, later);
        let running = workers.running();
        max_running = max_running.max(running.len());
        ran.extend(running);
    }
    Outcome {
        max_running,
        recorded_ran: ran.intersection(&recorded).count(),
        at_end: workers.running(),
    }
}

fn single_task_jobs(from: u64, to: u64) -> Vec<JobSpec> {
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

/// All scenarios, by name.
fn scenarios() -> Vec<(String, Scenario)> {
    let shapes = [
        ("task", single_task_jobs(0, 2), single_task_jobs(2, 4), 1),
        (
            "two tasks",
            single_task_jobs(0, 2),
            single_task_jobs(2, 4),
            2,
        ),
        ("gang", gang(0), single_task_jobs(2, 4), 1),
        ("two tasks for a gang", single_task_jobs(0, 2), gang(2), 2),
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
    let (mut above_limit, mut below_limit) = (Vec::new(), Vec::new());
    for (name, scenario) in scenarios() {
        for first_heartbeats in [FirstHeartbeats::Together, FirstHeartbeats::OneByOne] {
            for ends_after_ms in (0..4_000).step_by(200) {
                let records = scenario.records_of_ended_placer(ends_after_ms);
                let outcome = scenario.run_successor(records, QUOTA_TASKS, first_heartbeats);
                if outcome.max_running > QUOTA_TASKS {
                    above_limit.push((
                        name.clone(),
                        first_heartbeats,
                        ends_after_ms,
                        outcome.max_running,
                    ));
                }
                if outcome.at_end.len() < QUOTA_TASKS || outcome.recorded_ran < QUOTA_TASKS {
                    below_limit.push((
                        name.clone(),
                        first_heartbeats,
                        ends_after_ms,
                        outcome.recorded_ran,
                    ));
                }
            }
        }
    }
    assert!(
        above_limit.is_empty(),
        "{} over the limit: {above_limit:?}",
        above_limit.len()
    );
    assert!(
        below_limit.is_empty(),
        "{} below the limit: {below_limit:?}",
        below_limit.len()
    );
}

#[test]
fn successor_with_a_lowered_quota_limit_launches_no_more_than_that() {
    let mut above_limit = Vec::new();
    for (name, scenario) in scenarios() {
        for first_heartbeats in [FirstHeartbeats::Together, FirstHeartbeats::OneByOne] {
            let records = scenario.records_of_ended_placer(4_000);
            let outcome = scenario.run_successor(records, QUOTA_TASKS - 1, first_heartbeats);
            if outcome.max_running >= QUOTA_TASKS {
                above_limit.push((name.clone(), first_heartbeats, outcome.max_running));
            }
        }
    }
    assert!(
        above_limit.is_empty(),
        "{} over the limit: {above_limit:?}",
        above_limit.len()
    );
}

#[test]
fn partly_launched_gang_is_completed_once_ended_attempts_are_stopped() {
    let attempts = |on: &[usize]| {
        let live = |(task, n): (usize, &usize)| LiveAttemptRecord {
            task: task as u32,
            attempt: 1,
            machine: machine_id(*n),
            shard: 0,
            zone: "north".into(),
        };
        on.iter().enumerate().map(live).collect::<Vec<_>>()
    };
    let record = |on: &[usize], gang| TaskChunkRecord {
        team: "red".into(),
        task_resources: array_job(1).task_resources(),
        next_attempt: 2,
        live_attempts: attempts(on),
        gang,
        ..TaskChunkRecord::default()
    };
    let admitted = GangAdmissionRecord {
        step: GangAdmissionStep::Admitted,
        at_ms: 0,
        attempt: 1,
    };
    let mut records = Records {
        revision: 9,
        ..Records::default()
    };
    let chunks = [
        (id(0), record(&[0, 1], Some(admitted))),
        (id(1), record(&[2], None)),
    ];
    for (job, chunk) in chunks {
        records.chunks.insert((job, 0), (chunk, 9));
    }
    // The running member's machine sends its first heartbeat after that of the other member and
    // before that of the ended attempt.
    let mut workers = Workers::new([1_000, 20, 2_000, 20]);
    let member = |task| AttemptId {
        job: id(0),
        task,
        attempt: 1,
    };
    workers.add_running(0, member(0), 0);
    let jobs = [gang(0), single_task_jobs(1, 2)].concat();
    let outcome = run_successor(records, &jobs, QUOTA_TASKS, workers);
    assert_eq!(outcome.max_running, QUOTA_TASKS);
    assert_eq!(outcome.at_end, BTreeSet::from([member(0), member(1)]));
}
