//! A withdrawal is confirmed only once every attempt is proven over, in whatever order the
//! former and the present leader of a shard, its machines and the store report it.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use controllers::*;
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::owner::{CommandResult, Owner};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{Core, Effect, STORE_ROUTE_AFTER_FAILURES, ShardLease};
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

/// Number of random fault schedules.
const SEEDS: u64 = 60;
/// Fencing token of the successor of shard 0's owner.
const SUCCESSOR_TOKEN: u64 = TOKEN + 10;
/// Fencing token of shard 1, whose placer is tested.
const PLACER_SHARD_TOKEN: u64 = TOKEN + 5;

// ---- one placer and two successive owners of another shard, scripted ----

/// Controller 1, which leads shard 1. The only job of its team is placed on machine 1 of shard 0,
/// which controller 0 leads.
struct PlacerFixture {
    core: Core,
    lease: ShardLease,
    now: u64,
    revision: u64,
    job: JobId,
    spec: JobSpec,
    version: u64,
    /// Whether the end of the job was written.
    end_written: bool,
}

impl PlacerFixture {
    fn new() -> Self {
        let mut core = core_with_catalog(1);
        let spec = JobSpec {
            team: "blue".into(),
            ..array_job(1)
        };
        let (job, lease) = (
            spec.id.clone(),
            ShardLease {
                shard: 1,
                token: PLACER_SHARD_TOKEN,
            },
        );
        let shard_leader_entry = |shard: u16, token| KeyValue {
            key: shard_key(shard),
            value: to_value(&ShardRecord {
                host: format!("h{shard}"),
            }),
            version: token,
        };
        let job_entry = KeyValue {
            key: job_key(&job),
            value: to_value(&JobRecord {
                spec: spec.clone(),
                submitted_at_ms: 1,
                cancel_requested: false,
                dependency_count: 0,
            }),
            version: 46,
        };
        core.cache.load_snapshot(
            &[
                job_entry,
                shard_leader_entry(0, TOKEN),
                shard_leader_entry(1, PLACER_SHARD_TOKEN),
            ],
            100,
        );
        core.cache_refreshed(10, true);
        core.acquire(lease, &[], Vec::new(), 10);
        let mut placer = Self {
            core,
            lease,
            now: 10,
            revision: 100,
            job,
            spec,
            version: 46,
            end_written: false,
        };
        let first_sync = placer.next_direct_sync();
        let first_view = shard_view(
            first_sync.seq,
            ChangeRange {
                since: 0,
                until: 1,
                complete: true,
            },
            vec![machine_view(1, 4)],
            Vec::new(),
        );
        placer
            .core
            .sync_completed(lease, 0, Some(first_view), placer.now);
        placer
    }

    /// Flushes until an effect is picked. Every write commits at once; direct syncs that are not
    /// picked are lost.
    fn flush_until<T>(&mut self, pick: impl Fn(&Effect) -> Option<T>) -> Option<T> {
        for _ in 0..400 {
            let mut found = None;
            self.now += 50;
            // The store answers without interruption.
            self.core.cache_refreshed(self.now, false);
            for effect in self.core.flush(self.now) {
                match effect {
                    Effect::CompareAndSwap(lease, cas) => {
                        self.end_written |= writes_end(&cas, &self.job);
                        self.revision += 1;
                        self.core.cas_completed(
                            lease,
                            CompareAndSwapOutcome::Committed(self.revision),
                            self.now,
                        );
                    }
                    effect if found.is_none() && pick(&effect).is_some() => found = pick(&effect),
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

    fn next_direct_sync(&mut self) -> SyncRequest {
        self.flush_until(|e| {
            if let Effect::Sync(_, sync) = e {
                Some(sync.clone())
            } else {
                None
            }
        })
        .expect("a sync")
    }

    fn next_store_sync(&mut self) -> SyncRequest {
        self.flush_until(|e| {
            if let Effect::StoreSync(sync) = e {
                Some(sync.clone())
            } else {
                None
            }
        })
        .expect("a sync")
    }

    /// Sends the desired attempt to the former owner in a direct sync, whose answer is still
    /// pending, and then to its successor in a sync through the store.
    fn sync_both_owners(&mut self) -> (SyncRequest, SyncRequest) {
        for _ in 0..STORE_ROUTE_AFTER_FAILURES {
            self.next_direct_sync();
            self.core.sync_completed(self.lease, 0, None, self.now);
        }
        let direct_sync = loop {
            let sync = self.next_direct_sync();
            if !sync.desired.is_empty() {
                break sync;
            }
            self.core.sync_completed(self.lease, 0, None, self.now);
        };
        let new_leader = ShardRecord { host: "h2".into() };
        self.apply_store_change(shard_key(0), to_value(&new_leader), SUCCESSOR_TOKEN);
        let store_sync = self.next_store_sync();
        assert_eq!(
            (
                direct_sync.to_fencing_token,
                store_sync.to_fencing_token,
                store_sync.desired.len()
            ),
            (TOKEN, SUCCESSOR_TOKEN, 1)
        );
        (direct_sync, store_sync)
    }

    fn apply_store_change(&mut self, key: String, value: rmpv::Value, version: u64) {
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

    /// The user withdraws the job; true if its end is written within 20 s.
    fn withdraw_and_check_end(&mut self) -> bool {
        self.version = self.revision + 1;
        let record = JobRecord {
            spec: self.spec.clone(),
            submitted_at_ms: 1,
            cancel_requested: true,
            dependency_count: 0,
        };
        self.apply_store_change(job_key(&self.job), to_value(&record), self.version);
        self.flush_until(|_| None::<()>);
        self.end_written
    }
}

fn writes_end(cas: &CompareAndSwap, job: &JobId) -> bool {
    cas.writes
        .iter()
        .any(|w| matches!(w, Write::Put { key, .. } if *key == end_key(job)))
}

/// The former owner's view in answer to this sync, with the state of its one attempt.
fn former_owner_view(sync: &SyncRequest, attempt_state: AttemptState) -> ShardView {
    let range = ChangeRange {
        since: 1,
        until: 1,
        complete: true,
    };
    shard_view(
        sync.seq,
        range,
        Vec::new(),
        vec![AttemptStatus {
            id: sync.desired[0].id.clone(),
            state: attempt_state,
        }],
    )
}

/// The successor, which has started the desired attempt on its machine 1.
fn successor_running_attempt(store_sync: &SyncRequest, now: u64) -> Owner {
    let mut successor = Owner::new(
        0,
        SUCCESSOR_TOKEN,
        CONTROLLERS as u16,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    successor.set_machine_types([machine_type()].iter());
    successor
        .handle_heartbeat(&heartbeat_of_machine_1(1, false), None, now)
        .expect("answered");
    successor.tick(now + 10, now + 10);
    successor
        .sync(store_sync, MAX_MESSAGE_BYTES, now + 20)
        .expect("accepted");
    let (starts, _) = starts_in_reply(&mut successor, &heartbeat_of_machine_1(2, false), now + 30);
    assert_eq!(starts, 1, "the reply starts the attempt");
    successor
        .handle_heartbeat(&heartbeat_of_machine_1(3, true), None, now + 40)
        .expect("answered");
    successor
}

/// A heartbeat of machine 1, which has seen the successor's token, with or without the task.
fn heartbeat_of_machine_1(seq: u64, runs: bool) -> Heartbeat {
    Heartbeat {
        fencing_token: SUCCESSOR_TOKEN << MACHINE_TOKEN_BITS,
        tasks: runs.then(|| running_task(0)).into_iter().collect(),
        ..heartbeat(1, seq)
    }
}

/// A sync goes to the successor through the store while a direct one to the former owner is still
/// pending. The successor may have started what the former owner refused, so from then on the
/// former owner's view ends no attempt, whether it arrives directly or through the store.
#[test]
fn former_owner_ends_nothing_published_to_its_successor() {
    for through_store in [false, true] {
        for state in [
            AttemptState::Refused,
            AttemptState::Gone,
            AttemptState::Exited(ExitCause::InsufficientResources),
        ] {
            let mut placer = PlacerFixture::new();
            let (direct_sync, store_sync) = placer.sync_both_owners();
            let mut successor = successor_running_attempt(&store_sync, placer.now);
            let late_view = former_owner_view(&direct_sync, state);
            if through_store {
                let route = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: 0,
                    to_shard: 1,
                };
                for write in write_store_message(
                    route,
                    (TOKEN, late_view.seq),
                    &peer::encode(&late_view),
                    6_000,
                    1,
                )
                .writes
                {
                    let Write::Put { key, value, .. } = write else {
                        continue;
                    };
                    placer.apply_store_change(key, value, placer.revision + 1);
                }
                placer.core.handle_store_messages(placer.now);
            } else {
                placer
                    .core
                    .sync_completed(placer.lease, 0, Some(late_view), placer.now);
            }
            assert!(
                !placer.withdraw_and_check_end(),
                "{state:?}, through the store: {through_store}: recorded as withdrawn while the attempt runs"
            );
            // The job ends once the successor proves that the attempt is over.
            for runs in [true, false] {
                let sync = placer.flush_until(|e| match e {
                    Effect::Sync(_, sync) | Effect::StoreSync(sync) => Some(sync.clone()),
                    _ => None,
                });
                let sync = sync.expect("a sync");
                let now = placer.now;
                let answer = successor
                    .sync(&sync, MAX_MESSAGE_BYTES, now)
                    .expect("accepted");
                placer
                    .core
                    .sync_completed(placer.lease, 0, Some(answer), now);
                if runs {
                    let call = successor
                        .due_calls(now, MAX_MESSAGE_BYTES)
                        .pop()
                        .expect("a call that stops the attempt");
                    assert!(
                        call.commands
                            .commands
                            .iter()
                            .any(|o| o.kind == CommandKind::Stop)
                    );
                    successor.handle_call_result(
                        &call,
                        CommandResult::Executed(heartbeat_of_machine_1(4, false)),
                        now + 10,
                    );
                }
            }
            placer.flush_until(|_| None::<()>);
            assert!(
                placer.end_written,
                "{state:?}, through the store: {through_store}: the attempt is over, but no end is written"
            );
        }
    }
}

/// A job is cancelled and ends between two reads of the store. Neither the watch events nor a
/// full read shows which end it had, so it must not be reported as done.
#[test]
fn withdrawal_between_two_reads_is_not_mistaken_for_completion() {
    for full_read in [false, true] {
        let mut placer = PlacerFixture::new();
        let (key, now) = (job_key(&placer.job), placer.now);
        assert!(matches!(
            placer.core.job_status(&placer.job, now),
            JobStatusAnswer::Unfinished(..)
        ));
        if full_read {
            let shard_leader_entry = |shard: u16, token| KeyValue {
                key: shard_key(shard),
                value: to_value(&ShardRecord {
                    host: format!("h{shard}"),
                }),
                version: token,
            };
            placer.core.cache.load_snapshot(
                &[
                    shard_leader_entry(0, TOKEN),
                    shard_leader_entry(1, PLACER_SHARD_TOKEN),
                ],
                200,
            );
        } else {
            let cancelled_record = to_value(&JobRecord {
                spec: placer.spec.clone(),
                submitted_at_ms: 1,
                cancel_requested: true,
                dependency_count: 0,
            });
            let set = WatchEvent {
                set: Some(key.clone()),
                drop: None,
                value: Some(cancelled_record),
                version: 198,
            };
            let removed = WatchEvent {
                set: None,
                drop: Some(key),
                value: None,
                version: 199,
            };
            placer.core.cache.apply_changes(&[set, removed], 200, now);
        }
        placer.core.cache_refreshed(now, true);
        assert_eq!(
            placer.core.job_status(&placer.job, now + 60_000),
            JobStatusAnswer::Unknown,
            "only the record of the end shows which; full read: {full_read}"
        );
        placer
            .core
            .cache
            .record_end(&placer.job, JobPhase::Withdrawn, 1, now);
        assert_eq!(
            placer.core.job_status(&placer.job, now + 60_000),
            JobStatusAnswer::Finished(JobPhase::Withdrawn)
        );
    }
}

// ---- simulated cluster under fault schedules -----------------

/// Number of cancellations answered within [`CANCEL_ANSWER_TIMEOUT_MS`], the longest time to an
/// answer, and the longest time until all tasks of a job had stopped, ms.
fn cancellation_latency(cluster: &SimulatedCluster) -> (usize, u64, u64) {
    let answer_ms = |u: &SimulatedUser| u.answer.map_or(u64::MAX, |(at, _)| at - u.cancelled_at);
    let stop_ms = |u: &SimulatedUser| u.stopped_at.map_or(u64::MAX, |at| at - u.cancelled_at);
    let in_time = cluster
        .users
        .iter()
        .filter(|u| answer_ms(u) <= CANCEL_ANSWER_TIMEOUT_MS)
        .count();
    (
        in_time,
        cluster.users.iter().map(answer_ms).max().unwrap_or(0),
        cluster.users.iter().map(stop_ms).max().unwrap_or(0),
    )
}

/// Draws faults whose offsets lie around the heartbeat interval, the store lease TTL, the worker
/// lease, the time for which a controller serves without the store, and `cancel_s`.
fn random_faults(random: &mut RandomSource, one_fault_in: u64) -> FaultSchedule {
    const OFFSETS: [u64; 10] = [
        0, 500, 3_000, 7_000, 8_500, 14_000, 20_000, 34_000, 45_000, 61_000,
    ];
    let mut random_offset =
        || OFFSETS[random.below(OFFSETS.len() as u64) as usize] + random.below(4) * 100;
    let from = 24_000 + random_offset();
    let store_unreachable = (from, from + 2_000 + 2 * random_offset());
    let partitioned = (
        from + random_offset(),
        from + random_offset() + random_offset(),
    );
    let store_down = (
        from + random_offset(),
        from + 2 * random_offset() + random_offset(),
    );
    let back = from + random_offset() + random_offset();
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

/// Under refusals, partitions, outages, lost, late and indeterminate messages and restarts: no
/// task of a job recorded as withdrawn is on a machine or starts there, and once all faults are
/// over each user learns the end that was recorded.
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
        // Further jobs are submitted and cancelled before, while and after they start.
        for n in 0..30 {
            let step = 200 + random.below(6_000);
            cluster.run_until(cluster.now + step);
            while cluster.store_down() {
                cluster.step();
            }
            let job = cluster.submit(100 + n);
            cluster.cancel_at(
                &job,
                cluster.now + [0, 100, 300, 1_000, 4_000, 15_000][random.below(6) as usize],
            );
        }
        cluster.run_until(24_000 + 400_000);
        assert!(
            cluster.users.iter().all(|u| u.answer.is_some()),
            "seed {seed}: a user got no answer; {faults:?}"
        );
    }
}

/// A leader is cut off from the store and from the other controllers, while its machines still
/// reach it; another controller acquires its shard and cancels its jobs; then the store is down for
/// all. At each offset every confirmed withdrawal must hold, and the tasks on the former leader's
/// machines stop once their lease, or the time for which it may serve without the store, is over.
#[test]
fn failover_gap_does_not_bypass_the_end_proof() {
    const FAULTS_START_MS: u64 = 24_000;
    let (mut cancelled, mut answered) = (0, 0);
    for partition_ms in [7_500, 9_000, 14_000, 30_000, 61_000, 90_000, 200_000] {
        for outage_offset_ms in [1_000, 8_500, 14_000, 34_000, 61_000, 76_000] {
            for outage_ms in [0, 20_000, 45_000, 70_000] {
                let partition = (FAULTS_START_MS, FAULTS_START_MS + partition_ms);
                let faults = FaultSchedule {
                    store_unreachable: partition,
                    partitioned: partition,
                    store_down: (
                        FAULTS_START_MS + outage_offset_ms,
                        FAULTS_START_MS + outage_offset_ms + outage_ms,
                    ),
                    ..FaultSchedule::default()
                };
                let mut cluster =
                    SimulatedCluster::new(partition_ms + outage_offset_ms + outage_ms, faults)
                        .with_running_jobs(FAULTS_START_MS + 1_000, 2_000);
                cluster.run_until(FAULTS_START_MS + 330_000);
                let (in_time, _, stop_ms) = cancellation_latency(&cluster);
                (cancelled, answered) = (cancelled + cluster.users.len(), answered + in_time);
                assert!(
                    cluster.users.iter().all(|u| u.answer.is_some()),
                    "a user got no answer; {faults:?}"
                );
                // A cancellation waits for the store; after that, a leader that cannot learn of
                // it stops its tasks when its time without the store is over.
                if outage_ms == 0 {
                    assert!(
                        in_time >= 8 && stop_ms <= MAX_STORE_OUTAGE_GRACE_MS + 2_000,
                        "{in_time} answered in time, stopped after {stop_ms} ms; {faults:?}"
                    );
                }
                assert!(
                    stop_ms <= outage_ms + MAX_STORE_OUTAGE_GRACE_MS + TIMING.lease_ms + 10_000,
                    "stopped after {stop_ms} ms; {faults:?}"
                );
            }
        }
    }
    // 1,306 of 1,512 when this test was written; the others wait for the store, or until the former
    // leader's time without the store is over.
    assert!(
        20 * answered >= 17 * cancelled,
        "{answered} of {cancelled} were answered in time"
    );
}
