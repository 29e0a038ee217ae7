//! The zones of a job's tasks across a failover of its placer and of the machines' owners: tasks
//! that must share a zone, and tasks that are spread over zones.
//!
//! The job has several records. A leader writes the start of one task before the end of
//! another, and ends after any of its writes.

#[path = "support/failover.rs"]
mod failover;
mod support;

use std::collections::BTreeSet;

use failover::*;
use lemonweir_coordination::owner::Owner;
use lemonweir_coordination::placer::{Placer, PlacerConfig};
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_model::{AttemptId, JobKind, JobSpec};
use lemonweir_protocol::peer::{AttemptState, AttemptStatus, ChangeRange, MachineView, ShardView};
use lemonweir_storage::records::{LiveAttemptRecord, TaskChunkRecord};
use support::*;

/// Number of shards, each with the machines of one zone.
const SHARDS: usize = 2;
/// Zone of each shard's machines.
const ZONE_OF_SHARD: [&str; SHARDS] = ["east", "west"];
/// Shard of each machine.
const SHARD_OF_MACHINE: [usize; MACHINES] = [0, 0, 1, 1];
/// Token of the placer that ends, and of its successor.
const FIRST_PLACER: u64 = TOKEN + 2;
const SUCCESSOR: u64 = TOKEN + 3;
/// Token of the owners that the first placer knows, and of new ones.
const FIRST_OWNER: u64 = TOKEN + 1;
const NEXT_OWNER: u64 = TOKEN + 5;
/// When the successor acquires the shard, ms.
const FAILOVER_MS: u64 = 6_000;
/// Time by which the job must be done, ms.
const DONE_BY_MS: u64 = 75_000;
/// Run time of a task, ms.
const RUN_MS: u64 = 10_000;
/// Number of parts in which ends are reported.
const PARTS: usize = 4;
/// Largest number of writes of the first placer after it learned of the ends.
const MAX_WRITES: usize = 8;

/// Jobs with several records and a rule for the zones of their tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    /// Two records, of which few tasks are left; they must share a zone.
    SameZone,
    /// The same with three records.
    SameZoneThreeRecords,
    /// A gang with two records, of which no task is done; all must share a zone.
    SameZoneGang,
    /// Two records, of which no task is done; at most half of the tasks are in one zone.
    Spread,
    /// The same for a service, whose tasks run until it is cancelled.
    SpreadService,
}

impl Shape {
    fn is_spread(self) -> bool {
        matches!(self, Self::Spread | Self::SpreadService)
    }

    fn spec(self) -> JobSpec {
        let tasks = match self {
            Self::SameZoneThreeRecords => 2 * TASKS_PER_CHUNK + 2,
            _ => TASKS_PER_CHUNK + 1,
        };
        JobSpec {
            kind: match self {
                Self::SpreadService => JobKind::Service,
                Self::SameZoneGang => JobKind::Gang,
                _ => JobKind::Array,
            },
            cpus: 0.25,
            gpus: 0.0,
            memory_gb: 0.125,
            same_zone: !self.is_spread(),
            spread: self.is_spread(),
            ..array_job(u64::from(tasks))
        }
    }

    /// Tasks that are not done at the beginning.
    fn unfinished(self) -> BTreeSet<u32> {
        let tasks = self.spec().tasks as u32;
        let last = TASKS_PER_CHUNK - 1;
        match self {
            Self::SameZone => BTreeSet::from([last - 1, last, last + 1]),
            Self::SameZoneThreeRecords => BTreeSet::from([last, last + 1, tasks - 2, tasks - 1]),
            Self::SameZoneGang | Self::Spread | Self::SpreadService => (0..tasks).collect(),
        }
    }
}

/// What the first placer experiences before it ends.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    shape: Shape,
    /// State in which the owner reports the attempts that ended.
    end: AttemptState,
    /// The ends are reported in parts, each followed by a placement pass.
    in_parts: bool,
    /// Number of writes between the ends and the end of the placer.
    writes: usize,
    /// The new starts that are written were executed before the placer ended.
    launched: bool,
}

/// Which owners change beside the placer, and when machines are heard.
#[derive(Clone, Copy, Debug)]
struct Failover {
    /// Whether each shard has a new owner.
    new_owner: [bool; SHARDS],
    /// When the machines of each shard send the first heartbeat after the failover, ms.
    first_heartbeat_after: [u64; SHARDS],
}

fn failovers() -> Vec<Failover> {
    let mut failovers = Vec::new();
    for new_owner in [[true, true], [true, false], [false, true], [false, false]] {
        for first_heartbeat_after in [[50, 50], [50, 2_000], [2_000, 50], [12_000, 50]] {
            failovers.push(Failover {
                new_owner,
                first_heartbeat_after,
            });
        }
    }
    failovers
}

fn placer(token: u64, max_cas_operations: usize, now: u64) -> Placer {
    let config = PlacerConfig {
        zones: ZONE_OF_SHARD.map(str::to_owned).to_vec(),
        max_cas_operations,
        ..placer_config()
    };
    Placer::new(0, token, SHARDS as u16, config, now)
}

fn owner(shard: usize, token: u64, now: u64) -> Owner {
    let policy = lemonweir_policy::embedded().expect("policy");
    let mut owner = Owner::new(shard as u16, token, SHARDS as u16, TIMING, policy, now);
    owner.set_machine_types([machine_type()].iter());
    owner
}

/// A machine with room for this many tasks of a job.
fn machine_with_room(n: usize, spec: &JobSpec, tasks: u64) -> MachineView {
    MachineView {
        zone: ZONE_OF_SHARD[SHARD_OF_MACHINE[n]].into(),
        free: spec.task_resources().times(tasks),
        ..machine_view(n, 4)
    }
}

/// The first placer, with views of the shards given by hand.
struct FirstPlacer {
    placer: Placer,
    records: Records,
    revision: u64,
    now: u64,
}

impl FirstPlacer {
    /// A placer that has loaded the records of a job of which some tasks are done.
    fn new(shape: Shape) -> Self {
        let spec = shape.spec();
        let unfinished = shape.unfinished();
        let mut records = Records {
            revision: 9,
            ..Records::default()
        };
        for chunk in 0..(spec.tasks as u32).div_ceil(TASKS_PER_CHUNK) {
            let (first, end) = (chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK);
            let done =
                (first..end.min(spec.tasks as u32)).filter(|task| !unfinished.contains(task));
            let record = TaskChunkRecord {
                team: spec.team.clone(),
                task_resources: spec.task_resources(),
                next_attempt: 1,
                done_ranges: done.map(|task| (task, task)).collect(),
                ..TaskChunkRecord::default()
            };
            records.chunks.insert((spec.id.clone(), chunk), (record, 9));
        }
        // One operation: each compare-and-swap writes one record.
        let mut placer = placer(FIRST_PLACER, 1, 0);
        records.load(&mut placer);
        submit(&mut placer, spec, 0, 0);
        Self {
            placer,
            records,
            revision: 0,
            now: 1,
        }
    }

    /// Shows the machines of each shard with room for this many tasks each, and attempts that
    /// have ended, and runs a placement pass.
    fn observe(&mut self, shape: Shape, room: [u64; SHARDS], ended: &[AttemptStatus]) {
        // Longer than the backoff after a refusal.
        self.now += 50;
        self.revision += 100;
        for (shard, tasks) in room.into_iter().enumerate() {
            let seq = self
                .placer
                .sync_request(shard as u16, TOKEN, MAX_MESSAGE_BYTES, false, self.now)
                .seq;
            let machines = (0..MACHINES)
                .filter(|n| SHARD_OF_MACHINE[*n] == shard)
                .map(|n| machine_with_room(n, &shape.spec(), tasks))
                .collect();
            let range = ChangeRange {
                since: self.revision - 100,
                until: self.revision,
                complete: true,
            };
            let view = ShardView {
                shard: shard as u16,
                ..shard_view(seq, range, machines, ended.to_vec())
            };
            let view = ShardView {
                attempts_range: ChangeRange {
                    since: 0,
                    until: self.revision,
                    complete: true,
                },
                ..view
            };
            self.placer.apply_view(view, self.now);
        }
        self.now += 50;
        self.placer.run_placement_pass(self.now);
    }

    /// Commits up to this many compare-and-swaps, the delayed ones too; returns how many.
    fn write(&mut self, writes: usize) -> usize {
        let until = self.now + 4_000;
        let mut written = 0;
        while written < writes && self.now < until {
            if self.records.commit_one(&mut self.placer, self.now) {
                written += 1;
            } else {
                self.now += 10;
            }
        }
        written
    }

    /// Sends the owners the desired state, and lets them launch what they may.
    fn sync_owners(&mut self, owners: &mut [Owner], workers: &mut Workers) {
        for step in 0..2 {
            self.now += 10;
            for (shard, owner) in owners.iter_mut().enumerate() {
                let request = self.placer.sync_request(
                    shard as u16,
                    FIRST_OWNER,
                    MAX_MESSAGE_BYTES,
                    false,
                    self.now,
                );
                owner
                    .sync(&request, MAX_MESSAGE_BYTES, self.now)
                    .expect("a view");
                owner.tick(self.now, self.now);
                workers.execute_calls(owner, self.now + step);
            }
        }
    }
}

/// Attempts of which the first placer learns that they have ended: of a job in one zone all; of
/// a spread job the last task, and some in the other zone.
fn attempts_that_end(shape: Shape, records: &Records) -> Vec<LiveAttemptRecord> {
    let live = records
        .chunks
        .values()
        .flat_map(|(record, _)| &record.live_attempts);
    let live: Vec<LiveAttemptRecord> = live.cloned().collect();
    if !shape.is_spread() {
        return live;
    }
    let last = live.last().expect("an attempt").clone();
    let elsewhere = live.iter().filter(|other| other.zone != last.zone);
    let elsewhere: Vec<LiveAttemptRecord> = elsewhere.take(3).cloned().collect();
    [vec![last], elsewhere].concat()
}

/// What the first placer leaves behind.
struct LeftBehind {
    records: Records,
    owners: Vec<Owner>,
    workers: Workers,
    /// Number of writes after it learned of the ends.
    writes: usize,
}

impl Scenario {
    fn attempt_id(&self, live: &LiveAttemptRecord) -> AttemptId {
        AttemptId {
            job: self.shape.spec().id,
            task: live.task,
            attempt: live.attempt,
        }
    }

    /// The first placer places all tasks, learns that some attempts have ended, places their tasks
    /// in another zone as far as there is room, and ends after some writes.
    fn run_first_placer(&self) -> LeftBehind {
        let mut first = FirstPlacer::new(self.shape);
        let mut owners: Vec<Owner> = (0..SHARDS)
            .map(|shard| owner(shard, FIRST_OWNER, 0))
            .collect();
        let zones = SHARD_OF_MACHINE.map(|shard| ZONE_OF_SHARD[shard]);
        let mut workers = Workers::in_zones(zones, SHARD_OF_MACHINE, RUN_MS, [1; MACHINES]);
        workers.send_heartbeats(&mut owners, 1);
        for (shard, owner) in owners.iter_mut().enumerate() {
            owner.tick(2, 2);
            workers.execute_calls(owner, 2 + shard as u64);
        }
        workers.send_heartbeats(&mut owners, 1 + STEP_MS / 2);
        let room_elsewhere = if self.shape.is_spread() { 40 } else { 0 };
        first.observe(self.shape, [40, room_elsewhere], &[]);
        first.records.commit(&mut first.placer, first.now);
        let started = first.records.recorded_attempts().len();
        assert_eq!(
            started,
            self.shape.unfinished().len(),
            "all tasks are placed"
        );
        first.sync_owners(&mut owners, &mut workers);

        let ending = attempts_that_end(self.shape, &first.records);
        let room = if self.shape.is_spread() {
            ZONE_OF_SHARD.map(|zone| if zone == ending[0].zone { 2 } else { 0 })
        } else if self.shape == Shape::SameZoneGang {
            [0, 40]
        } else {
            [0, 1]
        };
        let ids: Vec<AttemptId> = ending.iter().map(|live| self.attempt_id(live)).collect();
        workers.lose(&ids.iter().cloned().collect());
        let ended: Vec<AttemptStatus> = ids
            .into_iter()
            .map(|id| AttemptStatus {
                id,
                state: self.end,
            })
            .collect();
        let mut writes = 0;
        if self.in_parts {
            let part = ended.len().div_ceil(PARTS);
            for known in (1..=PARTS).map(|n| ended.len().min(n * part)) {
                first.observe(self.shape, room, &ended[..known]);
                if writes < self.writes && first.records.commit_one(&mut first.placer, first.now) {
                    writes += 1;
                }
            }
        } else {
            first.observe(self.shape, room, &ended);
        }
        writes += first.write(self.writes - writes);
        if self.launched {
            first.sync_owners(&mut owners, &mut workers);
        }
        assert!(first.now < FAILOVER_MS, "at {} ms", first.now);
        LeftBehind {
            records: first.records,
            owners,
            workers,
            writes,
        }
    }

    /// Runs the scenario; returns what went wrong, and the number of writes of the first placer.
    fn run(&self, failover: Failover) -> (Vec<String>, usize) {
        let left = self.run_first_placer();
        let writes = left.writes;
        let outcome = run_successor(&self.shape.spec(), left, failover);
        let mut faults = outcome.broken_rules;
        let unfinished = self.shape.unfinished();
        if self.shape == Shape::SpreadService {
            if outcome.running.len() < unfinished.len() {
                faults.push(format!("{} replicas run", outcome.running.len()));
            }
        } else if outcome.completed.len() < unfinished.len() {
            faults.push(format!("{} tasks done", outcome.completed.len()));
        }
        if !outcome.stopped_while_running.is_empty() {
            faults.push(format!(
                "stopped while running: {:?}",
                outcome.stopped_while_running
            ));
        }
        (faults, writes)
    }
}

/// What happened under a successor.
struct Outcome {
    broken_rules: Vec<String>,
    completed: BTreeSet<u32>,
    /// Tasks that run when the observation ends.
    running: BTreeSet<u32>,
    stopped_while_running: BTreeSet<AttemptId>,
}

/// A new placer loads the records, and shards get new owners as told.
fn run_successor(spec: &JobSpec, left: LeftBehind, failover: Failover) -> Outcome {
    let LeftBehind {
        mut records,
        mut owners,
        mut workers,
        ..
    } = left;
    let mut tokens = [FIRST_OWNER; SHARDS];
    for shard in (0..SHARDS).filter(|shard| failover.new_owner[*shard]) {
        owners[shard] = owner(shard, NEXT_OWNER, FAILOVER_MS);
        tokens[shard] = NEXT_OWNER;
    }
    workers.first_heartbeat_at =
        SHARD_OF_MACHINE.map(|shard| FAILOVER_MS + failover.first_heartbeat_after[shard]);
    let starts_before = workers.starts.len();
    let mut successor = placer(SUCCESSOR, 12, FAILOVER_MS);
    records.load(&mut successor);
    submit(&mut successor, spec.clone(), 0, FAILOVER_MS);
    for now in (FAILOVER_MS..DONE_BY_MS).step_by(STEP_MS as usize) {
        workers.end_expired_sessions(now);
        if spec.kind != JobKind::Service {
            workers.complete_tasks(now);
        }
        workers.send_heartbeats(&mut owners, now);
        for (shard, owner) in owners.iter_mut().enumerate() {
            owner.tick(now, now);
            let request =
                successor.sync_request(shard as u16, tokens[shard], MAX_MESSAGE_BYTES, false, now);
            let view = owner
                .sync(&request, MAX_MESSAGE_BYTES, now)
                .expect("a view");
            successor.apply_view(view, now);
        }
        if successor.placement_is_due(now) {
            successor.run_placement_pass(now);
        }
        successor.advance_gang_admissions(now, 0);
        records.commit(&mut successor, now);
        for owner in &mut owners {
            workers.execute_calls(owner, now + STEP_MS / 2);
        }
    }
    Outcome {
        broken_rules: broken_rules(spec, &workers.starts[starts_before..]),
        completed: workers.completed.iter().map(|(_, task)| *task).collect(),
        running: workers.running().iter().map(|id| id.task).collect(),
        stopped_while_running: workers.stopped_while_running,
    }
}

/// Starts that break a rule, given the job's other tasks at that moment.
fn broken_rules(spec: &JobSpec, starts: &[ExecutedStart]) -> Vec<String> {
    let breaks = |start: &&ExecutedStart| {
        let elsewhere = start.others_by_zone.keys().any(|zone| *zone != start.zone);
        let here = start.others_by_zone.get(start.zone).copied().unwrap_or(0);
        start.runs_already
            || spec.same_zone && elsewhere
            || spec.spread && u64::from(here) >= spec.tasks.div_ceil(2)
    };
    starts
        .iter()
        .filter(breaks)
        .map(|start| format!("{start:?}"))
        .collect()
}

/// All scenarios of a shape, with a limit on the writes.
fn scenarios(shape: Shape) -> Vec<Scenario> {
    let mut scenarios = Vec::new();
    for end in [AttemptState::Refused, AttemptState::Gone] {
        for in_parts in [false, true] {
            for launched in [false, true] {
                for writes in 0..=MAX_WRITES {
                    scenarios.push(Scenario {
                        shape,
                        end,
                        in_parts,
                        writes,
                        launched,
                    });
                }
            }
        }
    }
    scenarios
}

/// Runs a shape with the placer's end after every write, and every failover.
fn check_shape(shape: Shape) {
    let (mut runs, mut faults) = (0, Vec::new());
    for scenario in scenarios(shape) {
        for failover in failovers() {
            let (found, writes) = scenario.run(failover);
            if writes < scenario.writes {
                // The same as with fewer writes.
                break;
            }
            runs += 1;
            if !found.is_empty() {
                faults.push(format!("{scenario:?} {failover:?}: {found:?}"));
            }
        }
    }
    assert!(
        faults.is_empty(),
        "{shape:?}: {} of {runs} runs, the first: {}",
        faults.len(),
        faults[0]
    );
}

/// Guards against a successor that launches an ended attempt in a second zone.
#[test]
fn successor_keeps_an_array_in_one_zone() {
    check_shape(Shape::SameZone);
}

/// The same with three records.
#[test]
fn successor_keeps_an_array_of_three_records_in_one_zone() {
    check_shape(Shape::SameZoneThreeRecords);
}

/// Guards against a successor that launches a gang of two attempts in two zones.
#[test]
fn successor_keeps_a_gang_of_two_records_in_one_zone() {
    check_shape(Shape::SameZoneGang);
}

/// Guards against a successor that launches an ended attempt where half of the tasks are.
#[test]
fn successor_keeps_an_array_spread_over_zones() {
    check_shape(Shape::Spread);
}

/// The same for a service.
#[test]
fn successor_keeps_a_service_spread_over_zones() {
    check_shape(Shape::SpreadService);
}

/// A record of the job's first tasks that run in these zones, and nothing of the others.
fn left_with_running(spec: &JobSpec, zones: &[&'static str]) -> LeftBehind {
    let zone_of_machine = SHARD_OF_MACHINE.map(|shard| ZONE_OF_SHARD[shard]);
    let mut workers = Workers::in_zones(
        zone_of_machine,
        SHARD_OF_MACHINE,
        RUN_MS,
        [FAILOVER_MS; MACHINES],
    );
    let mut live_attempts = Vec::new();
    for (task, zone) in (0u32..).zip(zones) {
        let on = (0..MACHINES).find(|n| zone_of_machine[*n] == *zone);
        let on = on.expect("a machine of the zone");
        let id = AttemptId {
            job: spec.id.clone(),
            task,
            attempt: 1,
        };
        workers.add_running(on, id, FAILOVER_MS);
        live_attempts.push(LiveAttemptRecord {
            task,
            attempt: 1,
            machine: machine_id(on),
            shard: SHARD_OF_MACHINE[on] as u16,
            zone: (*zone).into(),
        });
    }
    let record = TaskChunkRecord {
        team: spec.team.clone(),
        task_resources: spec.task_resources(),
        next_attempt: 2,
        live_attempts,
        ..TaskChunkRecord::default()
    };
    let mut records = Records {
        revision: 9,
        ..Records::default()
    };
    records.chunks.insert((spec.id.clone(), 0), (record, 9));
    LeftBehind {
        records,
        owners: (0..SHARDS)
            .map(|shard| owner(shard, FIRST_OWNER, 0))
            .collect(),
        workers,
        writes: 0,
    }
}

/// Both owners are new, and all machines answer at once.
const ALL_NEW: Failover = Failover {
    new_owner: [true; SHARDS],
    first_heartbeat_after: [50; SHARDS],
};

/// Guards against an array that is never done, and against tasks that are stopped, because
/// records of an earlier version break a rule already.
#[test]
fn array_that_runs_in_two_zones_is_done_without_stops() {
    let spec = JobSpec {
        tasks: 4,
        ..Shape::SameZone.spec()
    };
    let left = left_with_running(&spec, &["east", "west"]);
    let outcome = run_successor(&spec, left, ALL_NEW);
    assert_eq!(outcome.broken_rules, Vec::<String>::new());
    assert_eq!(outcome.completed, BTreeSet::from([0, 1, 2, 3]));
    assert_eq!(outcome.stopped_while_running, BTreeSet::new());
}

/// The same for a spread array that runs in one zone.
#[test]
fn spread_array_that_runs_in_one_zone_is_done_without_stops() {
    let spec = JobSpec {
        tasks: 5,
        ..Shape::Spread.spec()
    };
    let left = left_with_running(&spec, &["east"; 4]);
    let outcome = run_successor(&spec, left, ALL_NEW);
    assert_eq!(outcome.broken_rules, Vec::<String>::new());
    assert_eq!(outcome.completed, BTreeSet::from([0, 1, 2, 3, 4]));
    assert_eq!(outcome.stopped_while_running, BTreeSet::new());
}

/// Guards against a service that stays without a replica for good because records of an earlier
/// version have the others in two zones.
#[test]
fn service_that_runs_in_two_zones_gets_its_replica_without_stops() {
    let spec = JobSpec {
        kind: JobKind::Service,
        tasks: 3,
        ..Shape::SameZone.spec()
    };
    let left = left_with_running(&spec, &["east", "west"]);
    let outcome = run_successor(&spec, left, ALL_NEW);
    assert_eq!(outcome.running, BTreeSet::from([0, 1, 2]));
    assert_eq!(outcome.stopped_while_running, BTreeSet::new());
}
