//! Regression tests of incidents in production, with a single owner or a single core: quarantine,
//! overdue instances, final states and stalls.

mod support;

use std::collections::BTreeSet;

use lemonweir_coordination::job_status::{
    CACHE_ANSWER_MAX_AGE_MS, FINAL_STATE_DELAY_MS, JobStatusAnswer,
};
use lemonweir_coordination::owner::Owner;
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer, JobProgressReport};
use lemonweir_model::constants::{
    MACHINE_TOKEN_BITS, MIN_OVERDUE_REPLACEMENTS, OVERDUE_REPLACEMENT_DIVISOR, QUARANTINE_TRIAL_MS,
    STORE_LEASE_TTL_MS,
};
use lemonweir_model::settings::Settings;
use lemonweir_model::{AttemptId, JobId};
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, to_value};
use lemonweir_protocol::peer::{
    ChangeRange, DesiredAttempt, MachineView, ObservedState, ProvisionedInstance, ShardView,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::{JobRecord, ShardRecord, job_key, shard_key};
use support::*;

/// An owner, and what its only placer knows of it.
struct TestShard {
    owner: Owner,
    now: u64,
    seq: u64,
    revision: u64,
    have: ObservedState,
    views: Vec<MachineView>,
    sequences: Vec<u64>,
    /// Highest fencing token that each machine has seen.
    tokens: Vec<u64>,
}

impl TestShard {
    fn new(machines: usize) -> Self {
        let (sequences, tokens) = (
            vec![1; machines],
            vec![TOKEN << MACHINE_TOKEN_BITS; machines],
        );
        Self {
            owner: owner_with_machines(machines),
            now: 20,
            seq: 0,
            revision: 0,
            have: ObservedState::default(),
            views: Vec::new(),
            sequences,
            tokens,
        }
    }

    fn sync(
        &mut self,
        wants: Vec<DesiredAttempt>,
        withdrawn_attempts: Vec<AttemptId>,
        provisioned_instances: Vec<ProvisionedInstance>,
    ) -> ShardView {
        self.seq += 1;
        let since = self.revision;
        self.revision += 1;
        let range = ChangeRange {
            since,
            until: self.revision,
            complete: true,
        };
        // No machine is released for being idle.
        let keep = (0..self.sequences.len()).map(machine_id).collect();
        let message = lemonweir_protocol::peer::SyncRequest {
            withdrawn: withdrawn_attempts,
            provisioned: provisioned_instances,
            reserved_machines: keep,
            ..sync_request(self.seq, range, wants, self.have)
        };
        let view = self
            .owner
            .sync(&message, MAX_MESSAGE_BYTES, self.now)
            .expect("sync accepted");
        self.have = observed_state(&view);
        for m in &view.machines {
            self.views.retain(|v| v.id != m.id);
            self.views.push(m.clone());
        }
        view
    }

    fn is_schedulable(&mut self, n: usize) -> bool {
        self.sync(Vec::new(), Vec::new(), Vec::new());
        self.views
            .iter()
            .find(|v| v.id == machine_id(n))
            .expect("machine published")
            .schedulable
    }

    fn advance(&mut self, ms: u64) {
        for step in 0..ms / 100 {
            self.now += 100;
            self.owner.tick(self.now, self.now);
            if step % 30 == 0 {
                for n in 0..self.sequences.len() {
                    self.send_heartbeat(n, Vec::new());
                }
                self.sync(Vec::new(), Vec::new(), Vec::new());
            }
        }
    }

    fn send_heartbeat(&mut self, n: usize, tasks: Vec<TaskStatus>) {
        self.sequences[n] += 1;
        let heartbeat = Heartbeat {
            tasks,
            fencing_token: self.tokens[n],
            ..heartbeat(n, self.sequences[n])
        };
        self.tokens[n] = self
            .owner
            .handle_heartbeat(&heartbeat, None, self.now)
            .expect("answered")
            .fencing_token;
    }

    /// Runs a job's task on a machine until it ends with this cause; false if it is refused.
    fn run(&mut self, job: usize, n: usize, cause: &str) -> bool {
        let id = AttemptId {
            job: JobId::from(format!("req-{job:06}").as_str()),
            task: 0,
            attempt: self.revision as u32 + 1,
        };
        let view = self.sync(
            vec![DesiredAttempt {
                id: id.clone(),
                ..desired_attempt(0, n)
            }],
            Vec::new(),
            Vec::new(),
        );
        let accepted = view
            .attempts
            .iter()
            .any(|a| a.id == id && !a.state.is_terminal());
        if accepted {
            let seen = |phase, cause: Option<&str>| TaskStatus {
                task: id.task_name(),
                attempt: id.attempt,
                phase,
                exit_cause: cause.map(str::to_owned),
                checkpointed: None,
            };
            drop(self.owner.due_calls(self.now, MAX_MESSAGE_BYTES));
            self.send_heartbeat(n, vec![seen(TaskPhase::Running, None)]);
            self.now += 2_000;
            self.send_heartbeat(n, vec![seen(TaskPhase::Exited, Some(cause))]);
        }
        self.sync(Vec::new(), vec![id], Vec::new());
        self.send_heartbeat(n, Vec::new());
        accepted
    }
}

/// Incident inc-4715: 126 machines were quarantined, although none of them had failed a job that
/// ran anywhere else.
#[test]
fn faulty_jobs_quarantine_no_machine_permanently() {
    let mut shard = TestShard::new(8);
    for n in 0..8 {
        assert!(shard.run(n, n, "done"));
    }
    // Twelve faulty jobs fail on one machine after the other.
    for round in 0..4 {
        for faulty_job in 0..12 {
            shard.run(100 + faulty_job, (faulty_job + 3 * round) % 8, "error");
        }
    }
    let quarantined: Vec<usize> = (0..8).filter(|n| !shard.is_schedulable(*n)).collect();
    assert_eq!(
        quarantined, [0usize; 0],
        "all faulty jobs are suspected by now"
    );
    shard.advance(60_000);
    assert_eq!((0..8).filter(|n| shard.is_schedulable(*n)).count(), 8);
}

/// A machine that fails jobs that run elsewhere is quarantined, gets a single task as a trial, and
/// is used again after a trial that succeeds.
#[test]
fn quarantined_machine_recovers_by_a_trial() {
    let mut shard = TestShard::new(3);
    assert!(shard.run(1, 0, "error") && shard.run(2, 0, "error"));
    assert!(!shard.is_schedulable(0), "two jobs failed in a row");
    shard.advance(QUARANTINE_TRIAL_MS + 3_000);
    assert!(shard.is_schedulable(0), "a trial is due");
    // The first task is the trial; while it runs no other is accepted.
    let id = |n: usize| AttemptId {
        job: JobId::from(format!("req-{n:06}").as_str()),
        task: 0,
        attempt: 900,
    };
    let view = shard.sync(
        (3..6)
            .map(|n| DesiredAttempt {
                id: id(n),
                ..desired_attempt(0, 0)
            })
            .collect(),
        Vec::new(),
        Vec::new(),
    );
    let taken = view
        .attempts
        .iter()
        .filter(|a| !a.state.is_terminal())
        .count();
    assert_eq!((view.attempts.len(), taken), (3, 1));
    shard.sync(Vec::new(), (3..6).map(id).collect(), Vec::new());
    shard.send_heartbeat(0, Vec::new());
    assert!(shard.run(7, 0, "error"), "another trial");
    assert!(!shard.is_schedulable(0));
    shard.advance(2 * QUARANTINE_TRIAL_MS + 3_000);
    assert!(shard.run(8, 0, "done"));
    assert!(shard.is_schedulable(0) && shard.run(9, 0, "done"));
}

/// Overdue instances are replaced, a bounded number at a time, and used if they register after all.
#[test]
fn overdue_instances_are_replaced_within_bounds_and_used_when_they_register() {
    let mut shard = TestShard::new(8);
    let late_machines: Vec<usize> = (100..124).collect();
    let instance = |n: &usize| ProvisionedInstance {
        machine: machine_id(*n),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        age_ms: 0,
    };
    shard.sync(
        Vec::new(),
        Vec::new(),
        late_machines.iter().map(instance).collect(),
    );
    shard.advance(25_000);
    assert!(
        late_machines.iter().all(|n| shard.is_schedulable(*n)),
        "a boot may take 1.5 times as long as listed"
    );
    shard.advance(10_000);
    let counted = late_machines
        .iter()
        .filter(|n| shard.is_schedulable(**n))
        .count();
    assert_eq!(
        late_machines.len() - counted,
        MIN_OVERDUE_REPLACEMENTS.max(32 / OVERDUE_REPLACEMENT_DIVISOR),
        "the number replaced at a time is bounded"
    );
    let overdue = *late_machines
        .iter()
        .find(|n| !shard.is_schedulable(**n))
        .expect("some");
    assert!(
        shard
            .owner
            .handle_heartbeat(&heartbeat(overdue, 1), None, shard.now)
            .is_some()
    );
    assert!(
        shard.is_schedulable(overdue),
        "an instance that registers late is used"
    );
    for seq in 2..18 {
        shard.advance(3_000);
        shard
            .owner
            .handle_heartbeat(&heartbeat(overdue, seq), None, shard.now);
    }
    let released: BTreeSet<_> = shard.owner.begin_releases().into_iter().collect();
    let never_registered = late_machines
        .iter()
        .filter(|n| **n != overdue && released.contains(&machine_id(**n)))
        .count();
    assert_eq!(
        never_registered, 23,
        "the others are released, as they never registered"
    );
}

/// A machine that no placer announced gets tasks at once, also after a placer announces it as
/// provisioned.
#[test]
fn unannounced_machine_is_used_at_once() {
    let mut shard = TestShard::new(1);
    shard.sequences.push(0);
    shard.tokens.push(0);
    // The first heartbeat shows no token; its reply gives one.
    shard.send_heartbeat(1, Vec::new());
    shard.send_heartbeat(1, Vec::new());
    assert!(shard.is_schedulable(1) && shard.run(1, 1, "done"));
    let announced = ProvisionedInstance {
        machine: machine_id(1),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        age_ms: 1_500,
    };
    shard.sync(Vec::new(), Vec::new(), vec![announced]);
    assert!(shard.is_schedulable(1) && shard.run(2, 1, "done"));
}

// ---- a single core -------------------------------------------------------------

fn settings() -> Settings {
    let value = serde_json::json!({
        "host_name": "h0", "zone": "north", "listen": "10.0.0.1:8080", "internal_addr": "10.0.0.1:8081", "seeds": [],
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "nodes": 1, "zones": ["north"],
            "teams": [{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    });
    serde_json::from_value(value).expect("settings")
}

/// A core that leads its shard, with one unfinished job whose cancellation may be requested.
fn core(cancelling: bool) -> (Core, JobId) {
    let mut config = Config::new(&settings());
    // Every heartbeat is answered at once.
    config.sockets.held_answers = 0;
    let mut core = Core::new(config, lemonweir_policy::embedded().expect("policy"));
    let spec = array_job(3);
    let job = spec.id.clone();
    let record = JobRecord {
        spec,
        submitted_at_ms: 1,
        cancel_requested: cancelling,
        dependency_count: 0,
    };
    let shard = ShardRecord { host: "h0".into() };
    let job_entry = KeyValue {
        key: job_key(&job),
        value: to_value(&record),
        version: 41,
    };
    core.cache.load_snapshot(
        &[
            job_entry,
            KeyValue {
                key: shard_key(0),
                value: to_value(&shard),
                version: TOKEN,
            },
        ],
        50,
    );
    core.cache_refreshed(1_000, true);
    core.acquire(
        lemonweir_coordination::ShardLease {
            shard: 0,
            token: TOKEN,
        },
        &[],
        Vec::new(),
        1_000,
    );
    (core, job)
}

fn job_deleted(job: &JobId) -> WatchEvent {
    WatchEvent {
        set: None,
        drop: Some(job_key(job)),
        value: None,
        version: 51,
    }
}

/// Polls are answered from the cache for as long as no other controller can have published the
/// job's end; the final state is published once no other controller answers from an older state.
#[test]
fn final_state_is_published_once_no_poll_is_answered_from_an_older_cache() {
    let (mut core, job) = core(false);
    assert!(matches!(
        core.job_status(&job, 1_000 + CACHE_ANSWER_MAX_AGE_MS),
        JobStatusAnswer::Unfinished(JobProgressReport {
            phase: JobPhase::Queued,
            done: 0,
            running: 0,
            ..
        })
    ));
    assert_eq!(
        core.job_status(&job, 1_001 + CACHE_ANSWER_MAX_AGE_MS),
        JobStatusAnswer::NeedsRefresh
    );
    assert_eq!(
        core.job_status(&JobId::from("req-999999"), 1_100),
        JobStatusAnswer::Unknown
    );
    core.cache.apply_changes(&[job_deleted(&job)], 51, 2_000);
    core.cache_refreshed(1_990, true);
    // No cancellation was requested: the job can only be done.
    assert_eq!(
        core.job_status(&job, 2_000),
        JobStatusAnswer::FinishedIn(FINAL_STATE_DELAY_MS)
    );
    assert_eq!(
        core.job_status(&job, 1_999 + FINAL_STATE_DELAY_MS),
        JobStatusAnswer::FinishedIn(1)
    );
    assert_eq!(
        core.job_status(&job, 2_000 + FINAL_STATE_DELAY_MS),
        JobStatusAnswer::Finished(JobPhase::Done)
    );
    // If the end is learned again later, it is published as before.
    core.cache.record_end(&job, JobPhase::Done, 1, 9_000);
    assert_eq!(
        core.job_status(&job, 9_001),
        JobStatusAnswer::Finished(JobPhase::Done)
    );
}

/// A job whose cancellation was requested may be done or cancelled: only the store shows which.
#[test]
fn final_state_of_a_job_under_cancellation_is_read() {
    let (mut core, job) = core(true);
    core.cache.apply_changes(&[job_deleted(&job)], 51, 2_000);
    core.cache_refreshed(1_990, true);
    assert_eq!(core.job_status(&job, 60_000), JobStatusAnswer::Unknown);
}

/// After a stall longer than its store lease a controller answers no worker until a refresh that
/// began later confirms its leases, also if its monotonic clock stood still during the stall.
#[test]
fn leases_are_confirmed_after_a_long_stall() {
    for clock_stopped in [false, true] {
        let (mut core, _) = core(false);
        core.set_wall_clock(1_000, 5_000_000);
        let mut now = 1_000;
        while now < 4_000 {
            now += 100;
            core.flush(now);
        }
        core.cache_refreshed(now, false);
        assert!(matches!(
            core.handle_heartbeat(&heartbeat(0, 1), now),
            HeartbeatAnswer::Commands(_)
        ));
        let stall_ms = STORE_LEASE_TTL_MS + 5_000;
        if clock_stopped {
            now += 100;
            core.set_wall_clock(now, 5_000_000 + now - 1_000 + stall_ms);
        } else {
            now += stall_ms;
        }
        assert!(
            matches!(
                core.handle_heartbeat(&heartbeat(0, 2), now),
                HeartbeatAnswer::Unavailable
            ),
            "monotonic clock stopped: {clock_stopped}"
        );
        assert!(core.lease_unconfirmed());
        let effects = core.flush(now);
        assert!(
            !effects.iter().any(|effect| matches!(
                effect,
                Effect::Command(..) | Effect::Provision(..) | Effect::ReleaseInstances(..)
            )),
            "{effects:?}"
        );
        core.cache_refreshed(now - 1, false);
        assert!(
            matches!(
                core.handle_heartbeat(&heartbeat(0, 3), now),
                HeartbeatAnswer::Unavailable
            ),
            "that refresh began before the stall was over"
        );
        core.cache_refreshed(now + 1, false);
        assert!(matches!(
            core.handle_heartbeat(&heartbeat(0, 4), now + 5),
            HeartbeatAnswer::Commands(_)
        ));
        // A short stall needs no confirmation: no lease expires during it.
        now += 4_000;
        assert!(matches!(
            core.handle_heartbeat(&heartbeat(0, 5), now),
            HeartbeatAnswer::Commands(_)
        ));
    }
}
