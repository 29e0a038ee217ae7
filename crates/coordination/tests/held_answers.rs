//! Answers to heartbeats that are held for a launch: each heartbeat is answered exactly once, and a
//! launch that becomes due does not wait for the next heartbeat.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use std::collections::BTreeMap;

use controllers::core_with_catalog;
use lemonweir_coordination::{Core, Effect, HeartbeatAnswer, HeartbeatId, ShardLease};
use lemonweir_protocol::kv_store::{KeyValue, to_value};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::records::{ShardRecord, shard_key};
use support::*;

const LEASE: ShardLease = ShardLease {
    shard: 0,
    token: TOKEN,
};
/// How long an answer may be held, ms: less than a worker waits.
const LONGEST_HOLD_MS: u64 = 3_000;

/// Controller 0, which leads its home shard and holds answers.
fn leader() -> Core {
    let mut core = core_with_catalog(0);
    core.config.sockets.held_answers = 100;
    let leader = KeyValue {
        key: shard_key(0),
        value: to_value(&ShardRecord { host: "h0".into() }),
        version: TOKEN,
    };
    core.cache.load_snapshot(&[leader], 100);
    core.cache_refreshed(10, true);
    core.acquire(LEASE, &[], Vec::new(), 10);
    core
}

/// Number of a machine in the controller's home shard.
fn own_machine(core: &Core) -> usize {
    (0..)
        .find(|n| core.config.shard_of("north", &machine_id(*n)) == LEASE.shard)
        .expect("a machine of the shard")
}

/// Held heartbeats without an answer, with the time at which each arrived, and the highest token that
/// an answer carried.
#[derive(Default)]
struct Waiting(BTreeMap<HeartbeatId, u64>, u64);

impl Waiting {
    fn send(&mut self, core: &mut Core, heartbeat: &Heartbeat, now: u64) -> bool {
        let answer = core.handle_heartbeat(heartbeat, now);
        let held = matches!(answer, HeartbeatAnswer::Held);
        if held {
            self.0.insert(HeartbeatId::of(heartbeat), now);
        }
        self.see(&answer);
        held
    }

    fn see(&mut self, answer: &HeartbeatAnswer) {
        if let HeartbeatAnswer::Commands(reply) = answer {
            self.1 = self.1.max(reply.fencing_token);
        }
    }

    fn flush(&mut self, core: &mut Core, now: u64) -> usize {
        let mut answers = 0;
        for effect in core.flush(now) {
            if let Effect::AnswerHeartbeat(id, answer) = effect {
                self.see(&answer);
                let arrived = self.0.remove(&id).expect("a held heartbeat, answered once");
                assert!(now <= arrived + LONGEST_HOLD_MS, "{id:?} held for long");
                answers += 1;
            }
        }
        answers
    }
}

/// A connection whose heartbeat is never answered stays open for ever.
#[test]
fn every_held_heartbeat_is_answered_once() {
    let mut core = leader();
    let machine = own_machine(&core);
    let mut waiting = Waiting::default();
    let (mut held, mut answers) = (0, 0);
    let mut now = 20;
    for seq in 1..60u64 {
        // Unconfirmed heartbeats of a machine that is up, then current ones; some overtake the answer
        // to the one before, and some come from a worker that has restarted.
        let next = Heartbeat {
            fencing_token: if seq % 13 == 0 || seq < 4 {
                0
            } else {
                waiting.1
            },
            ..heartbeat(machine, if seq % 11 == 0 { 1 } else { seq })
        };
        held += usize::from(waiting.send(&mut core, &next, now));
        for _ in 0..seq % 5 * 4 {
            now += 100;
            core.cache_refreshed(now, false);
            answers += waiting.flush(&mut core, now);
        }
        now += 50;
    }
    core.release(LEASE.shard, now);
    answers += waiting.flush(&mut core, now);
    assert!(held >= 20, "{held} held");
    assert_eq!((held, waiting.0.len()), (answers, 0));
}
