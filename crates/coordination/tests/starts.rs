//! When an owner holds back recorded starts, and which records a placer rereads after a
//! conflict.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use controllers::core_with_catalog;
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{Core, Effect, HeartbeatAnswer, ShardLease, keys_to_reread};
use lemonweir_model::JobSpec;
use lemonweir_model::constants::STORE_LEASE_TTL_MS;
use lemonweir_protocol::kv_store::{KeyValue, to_value};
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, HeartbeatResponse};
use lemonweir_storage::records::*;
use support::*;

const LEASE: ShardLease = ShardLease {
    shard: 0,
    token: TOKEN,
};

fn count_starts(commands: &[Command]) -> usize {
    commands
        .iter()
        .filter(|order| order.kind == CommandKind::Start)
        .count()
}

/// The machine of the controller's home shard, with its next heartbeat and the highest token that it
/// was given.
struct ReportingMachine {
    seq: u64,
    token: u64,
    /// The task was started.
    runs: bool,
}

impl ReportingMachine {
    /// Sends a heartbeat 200 ms after `now`. Returns the number of starts in the reply; calls
    /// carry none.
    fn starts_after(&mut self, core: &mut Core, now: u64) -> usize {
        let effects = (now..now + 200)
            .step_by(10)
            .flat_map(|now| core.flush(now))
            .collect::<Vec<Effect>>();
        for effect in &effects {
            if let Effect::Command(_, call) = effect {
                assert_eq!(count_starts(&call.commands.commands), 0);
            }
        }
        self.starts_in_reply(core, now + 200)
    }

    fn starts_in_reply(&mut self, core: &mut Core, now: u64) -> usize {
        let next = Heartbeat {
            fencing_token: self.token,
            tasks: self.runs.then(|| running_task(0)).into_iter().collect(),
            ..heartbeat(own_machine(core), self.seq)
        };
        let reply = heartbeat_response(core, &next, now);
        (self.token, self.seq) = (reply.fencing_token, self.seq + 1);
        let starts = count_starts(&reply.commands);
        self.runs |= starts > 0;
        starts
    }
}

/// Controller 0 that leads its home shard, with a machine that has sent a heartbeat and a queued
/// job, and the token that the machine was given. The last refresh from the store is at `now`.
fn with_queued_job(now: u64) -> (Core, u64) {
    let mut core = core_with_catalog(0);
    let spec = JobSpec {
        team: "amber".into(),
        ..array_job(1)
    };
    let record = JobRecord {
        spec: spec.clone(),
        submitted_at_ms: 1,
        cancel_requested: false,
        dependency_count: 0,
    };
    let leader = KeyValue {
        key: shard_key(0),
        value: to_value(&ShardRecord { host: "h0".into() }),
        version: TOKEN,
    };
    let job = KeyValue {
        key: job_key(&spec.id),
        value: to_value(&record),
        version: 46,
    };
    core.cache.load_snapshot(&[job, leader], 100);
    core.cache_refreshed(10, true);
    core.acquire(LEASE, &[], Vec::new(), 10);
    let first = heartbeat(own_machine(&core), 1);
    let token = heartbeat_response(&mut core, &first, 20).fencing_token;
    core.cache_refreshed(now, false);
    (core, token)
}

fn heartbeat_response(core: &mut Core, report: &Heartbeat, now: u64) -> HeartbeatResponse {
    let HeartbeatAnswer::Commands(reply) = core.handle_heartbeat(report, now) else {
        panic!("not answered at {now}")
    };
    reply
}

/// Number of a machine in the controller's home shard.
fn own_machine(core: &Core) -> usize {
    (0..)
        .find(|n| core.config.shard_of("north", &machine_id(*n)) == LEASE.shard)
        .expect("a machine of the shard")
}

/// The machine sends a heartbeat every second until `at`, when the compare-and-swap that records
/// the start is answered. Returns the number of starts in the reply to its last heartbeat.
fn starts_after_cas(core: &mut Core, machine: &mut ReportingMachine, at: u64) -> usize {
    let (mut written, mut answered) = (false, 0);
    for now in (1_000..at).step_by(1_000).chain([at]) {
        written |= (now - 1_000..now).step_by(50).any(|now| {
            core.flush(now)
                .iter()
                .any(|effect| matches!(effect, Effect::CompareAndSwap(..)))
        });
        if now == at {
            core.cas_completed(LEASE, CompareAndSwapOutcome::Committed(200), at);
        }
        answered = machine.starts_in_reply(core, now);
    }
    assert!(written, "a start is written");
    answered
}

/// The compare-and-swap is answered when the store has been silent for longer than the
/// controller's store lease: another controller may lead the shard by then and may already have
/// proven that the attempt has ended, so it must not be started here.
#[test]
fn nothing_starts_after_a_store_silence_longer_than_the_lease() {
    for (age, starts) in [
        (STORE_LEASE_TTL_MS - 1_000, 1),
        (STORE_LEASE_TTL_MS + 1_000, 0),
    ] {
        let (mut core, token) = with_queued_job(100);
        let mut machine = ReportingMachine {
            seq: 2,
            token,
            runs: false,
        };
        let at = 100 + age;
        let answered = starts_after_cas(&mut core, &mut machine, at);
        assert_eq!(
            answered + machine.starts_after(&mut core, at + 1),
            starts,
            "{age} ms after the last answer"
        );
        // Starts resume once the store answers.
        core.cache_refreshed(at + 220, false);
        let resumed = machine.starts_after(&mut core, at + 230);
        assert_eq!(resumed, usize::from(starts == 0));
    }
}

/// A conflict on the shard's own key means that the shard is lost: none of its records is reread,
/// since the store is busy with the new leader, which loads them.
#[test]
fn lost_shard_rereads_no_records() {
    let chunk = task_chunk_key(0, &array_job(1).id, 0);
    let job = job_key(&array_job(1).id);
    assert_eq!(
        keys_to_reread(LEASE, &[chunk.clone(), job.clone()]),
        [chunk.as_str()]
    );
    assert!(keys_to_reread(LEASE, &[shard_key(0), chunk.clone(), job]).is_empty());
    assert_eq!(
        keys_to_reread(LEASE, &[shard_key(1), chunk.clone()]),
        [chunk.as_str()]
    );
}
