//! A withdrawal is told once every attempt is proven over, in whatever order the
//! two controllers that had a shard, its machines and the store say so.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use controllers::*;
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::owner::{CommandResult, Owner};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{Config, Core, Effect, STORE_ROUTE_AFTER_FAILURES, ShardLease};
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, MAX_STORE_OUTAGE_GRACE_MS};
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write, to_value};
use lemonweir_protocol::peer::{
    self, AttemptState, AttemptStatus, ChangeRange, ExitCause, ShardView, SyncRequest,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::{CommandKind, Heartbeat};
use lemonweir_storage::records::*;
use support::*;

/// Histories drawn.
const SEEDS: u64 = 60;
/// Token of the next owner of shard 0.
const NEXT: u64 = TOKEN + 10;
/// Token of controller 1's own shard.
const OWN: u64 = TOKEN + 5;

// ---- one controller and two owners of another shard, in an order given by hand ----

/// Controller 1 with its own shard, whose team's one job has an attempt on machine 1
/// of shard 0, which controller 0 holds.
struct Asker {
    core: Core,
    lease: ShardLease,
    now: u64,
    revision: u64,
    job: JobId,
    spec: JobSpec,
    version: u64,
    /// An end was written.
    ended: bool,
}

impl Asker {
    fn new() -> Self {
        let mut core = Core::new(
            Config::new(&settings(1)),
            lemonweir_policy::embedded().expect("policy"),
        );
        core.set_catalog([(kind().name, kind())].into_iter().collect());
        let spec = JobSpec {
            team: "blue".into(),
            ..array(1)
        };
        let (job, lease) = (
            spec.id.clone(),
            ShardLease {
                shard: 1,
                token: OWN,
            },
        );
        let holder = |shard: u16, token| KeyValue {
            key: shard_key(shard),
            value: to_value(&ShardRecord {
                host: format!("h{shard}"),
            }),
            version: token,
        };
        let accepted = KeyValue {
            key: job_key(&job),
            value: to_value(&JobRecord {
                spec: spec.clone(),
                submitted_at_ms: 1,
                cancel_requested: false,
                dependency_count: 0,
            }),
            version: 46,
        };
        core.cache
            .load_snapshot(&[accepted, holder(0, TOKEN), holder(1, OWN)], 100);
        core.cache_refreshed(10, true);
        core.acquire(lease, &[], Vec::new(), 10);
        let mut asker = Self {
            core,
            lease,
            now: 10,
            revision: 100,
            job,
            spec,
            version: 46,
            ended: false,
        };
        let first = asker.direct();
        let shows = view(
            first.seq,
            ChangeRange {
                since: 0,
                until: 1,
                complete: true,
            },
            vec![shown(1, 4)],
            Vec::new(),
        );
        asker.core.sync_completed(lease, 0, Some(shows), asker.now);
        asker
    }

    /// Pumps until it does what is looked for; all it writes is written at once, and
    /// direct syncs that are not looked for are lost.
    fn until<T>(&mut self, look: impl Fn(&Effect) -> Option<T>) -> Option<T> {
        for _ in 0..400 {
            let mut found = None;
            self.now += 50;
            // The store answers it all the while.
            self.core.cache_refreshed(self.now, false);
            for effect in self.core.flush(self.now) {
                match effect {
                    Effect::CompareAndSwap(lease, cas) => {
                        self.ended |= ends(&cas, &self.job);
                        self.revision += 1;
                        self.core.cas_completed(
                            lease,
                            CompareAndSwapOutcome::Committed(self.revision),
                            self.now,
                        );
                    }
                    effect if found.is_none() && look(&effect).is_some() => found = look(&effect),
                    Effect::Sync(lease, sync) => {
                        self.core
                            .sync_completed(lease, sync.to_shard, None, self.now);
                    }
                    _ => {}
                }
            }
            if found.is_some() {
                return found;
            }
        }
        None
    }

    fn direct(&mut self) -> SyncRequest {
        self.until(|e| {
            if let Effect::Sync(_, sync) = e {
                Some(sync.clone())
            } else {
                None
            }
        })
        .expect("a sync")
    }

    fn mailed(&mut self) -> SyncRequest {
        self.until(|e| {
            if let Effect::StoreSync(sync) = e {
                Some(sync.clone())
            } else {
                None
            }
        })
        .expect("a sync")
    }

    /// A direct sync to the former owner that wants the attempt, whose answer is
    /// still out, and one through the store to the next owner after it.
    fn told_both(&mut self) -> (SyncRequest, SyncRequest) {
        for _ in 0..STORE_ROUTE_AFTER_FAILURES {
            self.direct();
            self.core.sync_completed(self.lease, 0, None, self.now);
        }
        let out = loop {
            let sync = self.direct();
            if !sync.desired.is_empty() {
                break sync;
            }
            self.core.sync_completed(self.lease, 0, None, self.now);
        };
        let taken = ShardRecord { host: "h2".into() };
        self.learn(shard_key(0), to_value(&taken), NEXT);
        let told = self.mailed();
        assert_eq!(
            (
                out.to_fencing_token,
                told.to_fencing_token,
                told.desired.len()
            ),
            (TOKEN, NEXT, 1)
        );
        (out, told)
    }

    fn learn(&mut self, key: String, value: rmpv::Value, version: u64) {
        self.now += 50;
        self.revision = self.revision.max(version) + 1;
        self.core.cache.apply_changes(
            &[WatchEvent {
                set: Some(key),
                drop: None,
                value: Some(value),
                version,
            }],
            self.revision,
            self.now,
        );
        self.core.cache_refreshed(self.now, true);
    }

    /// Its user withdraws the job; true if it counts as over within some seconds.
    fn withdrawn(&mut self) -> bool {
        self.version = self.revision + 1;
        let record = JobRecord {
            spec: self.spec.clone(),
            submitted_at_ms: 1,
            cancel_requested: true,
            dependency_count: 0,
        };
        self.learn(job_key(&self.job), to_value(&record), self.version);
        self.until(|_| None::<()>);
        self.ended
    }
}

fn ends(cas: &CompareAndSwap, job: &JobId) -> bool {
    cas.writes
        .iter()
        .any(|w| matches!(w, Write::Put { key, .. } if *key == end_key(job)))
}

/// What the former owner says of the attempt, in answer to that message.
fn former(sync: &SyncRequest, standing: AttemptState) -> ShardView {
    let span = ChangeRange {
        since: 1,
        until: 1,
        complete: true,
    };
    view(
        sync.seq,
        span,
        Vec::new(),
        vec![AttemptStatus {
            id: sync.desired[0].id.clone(),
            state: standing,
        }],
    )
}

/// The next owner starts what it is asked for, on its machine 1.
fn started(told: &SyncRequest, now: u64) -> Owner {
    let mut next = Owner::new(
        0,
        NEXT,
        CONTROLLERS as u16,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    next.set_types([kind()].iter());
    next.handle_heartbeat(&seen(1, false), None, now)
        .expect("answered");
    next.tick(now + 10, now + 10);
    next.sync(told, ROOM, now + 20).expect("taken");
    let call = next.due_calls(now + 30, ROOM).pop().expect("started");
    assert!(
        call.commands
            .commands
            .iter()
            .any(|o| o.kind == CommandKind::Start)
    );
    next.handle_call_result(&call, CommandResult::Executed(seen(2, true)), now + 40);
    next
}

/// Machine 1, which has seen the next owner, with the task or without.
fn seen(seq: u64, runs: bool) -> Heartbeat {
    Heartbeat {
        fencing_token: NEXT << MACHINE_TOKEN_BITS,
        tasks: runs.then(|| running_task(0)).into_iter().collect(),
        ..report(1, seq)
    }
}

/// A sync through the store goes to the next owner while a direct one to the former
/// owner is still out. What the former one refused the next one may have started, so
/// its answer ends nothing from then on, whichever way it comes.
#[test]
fn former_owner_ends_nothing_published_to_its_successor() {
    for by_mail in [false, true] {
        for standing in [
            AttemptState::Refused,
            AttemptState::Gone,
            AttemptState::Exited(ExitCause::InsufficientResources),
        ] {
            let mut asker = Asker::new();
            let (out, told) = asker.told_both();
            let mut next = started(&told, asker.now);
            let late = former(&out, standing);
            if by_mail {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: 0,
                    to_shard: 1,
                };
                for write in post(line, (TOKEN, late.seq), &peer::encode(&late), 6_000, 1).writes {
                    let Write::Put { key, value, .. } = write else {
                        continue;
                    };
                    asker.learn(key, value, asker.revision + 1);
                }
                asker.core.handle_store_messages(asker.now);
            } else {
                asker
                    .core
                    .sync_completed(asker.lease, 0, Some(late), asker.now);
            }
            assert!(
                !asker.withdrawn(),
                "{standing:?}, by mail: {by_mail}: it runs, and is told to be withdrawn"
            );
            // Proven over by the next one, it is.
            for runs in [true, false] {
                let sync = asker.until(|e| match e {
                    Effect::Sync(_, sync) | Effect::StoreSync(sync) => Some(sync.clone()),
                    _ => None,
                });
                let sync = sync.expect("a sync");
                let now = asker.now;
                let answer = next.sync(&sync, ROOM, now).expect("taken");
                asker.core.sync_completed(asker.lease, 0, Some(answer), now);
                if runs {
                    let call = next.due_calls(now, ROOM).pop().expect("stopped");
                    assert!(
                        call.commands
                            .commands
                            .iter()
                            .any(|o| o.kind == CommandKind::Stop)
                    );
                    next.handle_call_result(
                        &call,
                        CommandResult::Executed(seen(3, false)),
                        now + 10,
                    );
                }
            }
            asker.until(|_| None::<()>);
            assert!(
                asker.ended,
                "{standing:?}, by mail: {by_mail}: it is over, and its user is not told"
            );
        }
    }
}

/// A job whose withdrawal and end both fall between two readings is withdrawn: neither
/// the changes nor a full reading may show it as done.
#[test]
fn withdrawal_between_two_reads_is_not_mistaken_for_completion() {
    for full in [false, true] {
        let mut asker = Asker::new();
        let (key, now) = (job_key(&asker.job), asker.now);
        assert!(matches!(
            asker.core.job_status(&asker.job, now),
            JobStatusAnswer::Unfinished(..)
        ));
        if full {
            let holder = |shard: u16, token| KeyValue {
                key: shard_key(shard),
                value: to_value(&ShardRecord {
                    host: format!("h{shard}"),
                }),
                version: token,
            };
            asker
                .core
                .cache
                .load_snapshot(&[holder(0, TOKEN), holder(1, OWN)], 200);
        } else {
            let asked = to_value(&JobRecord {
                spec: asker.spec.clone(),
                submitted_at_ms: 1,
                cancel_requested: true,
                dependency_count: 0,
            });
            let set = WatchEvent {
                set: Some(key.clone()),
                drop: None,
                value: Some(asked),
                version: 198,
            };
            let left = WatchEvent {
                set: None,
                drop: Some(key),
                value: None,
                version: 199,
            };
            asker.core.cache.apply_changes(&[set, left], 200, now);
        }
        asker.core.cache_refreshed(now, true);
        assert_eq!(
            asker.core.job_status(&asker.job, now + 60_000),
            JobStatusAnswer::Unknown,
            "only the store tells which; full: {full}"
        );
        asker
            .core
            .cache
            .record_end(&asker.job, JobPhase::Withdrawn, 1, now);
        assert_eq!(
            asker.core.job_status(&asker.job, now + 60_000),
            JobStatusAnswer::Finished(JobPhase::Withdrawn)
        );
    }
}

// ---- whole controllers, a store, machines and users, under histories -----------------

/// Of the withdrawals: how many were answered within a user's patience, the longest
/// wait for an answer and for the stop of all tasks, ms.
fn cancellation_latency(cluster: &SimulatedCluster) -> (usize, u64, u64) {
    let wait = |u: &SimulatedUser| u.answer.map_or(u64::MAX, |(at, _)| at - u.cancelled_at);
    let stop = |u: &SimulatedUser| u.stopped.map_or(u64::MAX, |at| at - u.cancelled_at);
    let in_time = cluster
        .users
        .iter()
        .filter(|u| wait(u) <= PATIENCE_MS)
        .count();
    (
        in_time,
        cluster.users.iter().map(wait).max().unwrap_or(0),
        cluster.users.iter().map(stop).max().unwrap_or(0),
    )
}

/// Offsets of the meeting around the report interval, the store's hold, the lease, the
/// time for which a controller answers blindly, and `cancel_s`.
fn random_faults(random: &mut RandomSource, one_fault_in: u64) -> FaultSchedule {
    const OFFSETS: [u64; 10] = [
        0, 500, 3_000, 7_000, 8_500, 14_000, 20_000, 34_000, 45_000, 61_000,
    ];
    let mut some = || OFFSETS[random.below(OFFSETS.len() as u64) as usize] + random.below(4) * 100;
    let from = 24_000 + some();
    let store_unreachable = (from, from + 2_000 + 2 * some());
    let partitioned = (from + some(), from + some() + some());
    let store_down = (from + some(), from + 2 * some() + some());
    let back = from + some() + some();
    let restarts = (random.below(2 * CONTROLLERS as u64) as usize, back);
    FaultSchedule {
        store_unreachable,
        partitioned,
        store_down,
        restarts: if restarts.0 < CONTROLLERS {
            restarts
        } else {
            (0, 0)
        },
        one_fault_in,
    }
}

/// Whatever is refused, cut, down, lost, late or unknown, and whoever ends: nothing of
/// a job that is withdrawn is on a machine or starts there, and once all is over each
/// user is told, of the end that was written.
#[test]
fn withdrawal_is_not_confirmed_while_a_task_runs() {
    for seed in 1..=SEEDS {
        let mut random = RandomSource(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let faults = random_faults(&mut random, [0, 5, 12, 40][seed as usize % 4]);
        let mut cluster = SimulatedCluster::new(seed, faults)
            .with_running_jobs(24_000 + random.below(20_000), 200 + random.below(6_000));
        if seed % 2 == 0 {
            cluster.task_ms = 10_000 + random.below(60_000);
        }
        // More come all the while, and are withdrawn before, while and after they start.
        for n in 0..30 {
            let step = 200 + random.below(6_000);
            cluster.until(cluster.now + step);
            while cluster.store_down() {
                cluster.step();
            }
            let job = cluster.submit(100 + n);
            cluster.cancel_from(
                &job,
                cluster.now + [0, 100, 300, 1_000, 4_000, 15_000][random.below(6) as usize],
            );
        }
        cluster.until(24_000 + 400_000);
        assert!(
            cluster.users.iter().all(|u| u.answer.is_some()),
            "seed {seed}: {faults:?}"
        );
    }
}

/// The store refuses the leader alone, which reaches no other controller either, while
/// its machines go on coming to it; another takes its part and withdraws its jobs; then
/// the store is down for all. At each offset each withdrawal that is told is true, and
/// those of the leader's machines are stopped when their lease, or the time for which
/// it may answer blindly, is over.
#[test]
fn failover_gap_does_not_bypass_the_end_proof() {
    const FROM: u64 = 24_000;
    let (mut asked, mut answered) = (0, 0);
    for alone in [7_500, 9_000, 14_000, 30_000, 61_000, 90_000, 200_000] {
        for after in [1_000, 8_500, 14_000, 34_000, 61_000, 76_000] {
            for long in [0, 20_000, 45_000, 70_000] {
                let cut = (FROM, FROM + alone);
                let faults = FaultSchedule {
                    store_unreachable: cut,
                    partitioned: cut,
                    store_down: (FROM + after, FROM + after + long),
                    ..FaultSchedule::default()
                };
                let mut cluster = SimulatedCluster::new(alone + after + long, faults)
                    .with_running_jobs(FROM + 1_000, 2_000);
                cluster.until(FROM + 330_000);
                let (in_time, _, stop) = cancellation_latency(&cluster);
                (asked, answered) = (asked + cluster.users.len(), answered + in_time);
                assert!(
                    cluster.users.iter().all(|u| u.answer.is_some()),
                    "{faults:?}"
                );
                // A user's asking waits for the store; then a stop for whoever can't
                // know of it.
                if long == 0 {
                    assert!(
                        in_time >= 8 && stop <= MAX_STORE_OUTAGE_GRACE_MS + 2_000,
                        "{in_time} told in time, stopped after {stop} ms; {faults:?}"
                    );
                }
                assert!(
                    stop <= long + MAX_STORE_OUTAGE_GRACE_MS + TIMING.lease_ms + 10_000,
                    "{stop} ms; {faults:?}"
                );
            }
        }
    }
    // 1,306 of 1,512 when this was written; what is missing waits for the store or for
    // the leader's time to be over.
    assert!(
        20 * answered >= 17 * asked,
        "{answered} of {asked} were told within a user's patience"
    );
}
