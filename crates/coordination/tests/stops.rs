//! Stop commands reach their machines whatever the results of the command calls.

mod support;

use lemonweir_coordination::owner::{CommandResult, Owner};
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::peer::{ChangeRange, DesiredAttempt, ObservedState};
use lemonweir_protocol::worker::{
    CommandKind, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus,
};
use proptest::prelude::*;
use support::*;

/// An owner whose only task, on machine 0, has to stop.
fn owner_with_due_stop(now: u64) -> Owner {
    let mut owner = owner_with_machines(1);
    let on = |since, upto| ChangeRange {
        since,
        until: upto,
        complete: true,
    };
    owner
        .sync(
            &sync_request(
                1,
                on(0, 1),
                vec![desired_attempt(0, 0)],
                ObservedState::default(),
            ),
            MAX_MESSAGE_BYTES,
            now,
        )
        .expect("sync accepted");
    let (starts, _) = starts_in_reply(&mut owner, &heartbeat(0, 2), now);
    assert_eq!(starts, 1);
    let running = Heartbeat {
        tasks: vec![running_task(0)],
        ..heartbeat(0, 3)
    };
    owner
        .handle_heartbeat(&running, None, now)
        .expect("answered");
    let stop = DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(0, 0)
    };
    owner
        .sync(
            &sync_request(2, on(1, 2), vec![stop], ObservedState::default()),
            MAX_MESSAGE_BYTES,
            now,
        )
        .expect("sync accepted");
    owner
}

fn contains_stop(reply: &HeartbeatResponse) -> bool {
    reply.commands.iter().any(|o| o.kind == CommandKind::Stop)
}

/// A process without a free socket for calls recorded each failed call with a stop as sent, so the
/// replies to heartbeats, which did arrive, omitted the stop for a minute.
#[test]
fn unsent_stop_is_in_the_next_reply() {
    let mut owner = owner_with_due_stop(30);
    let (mut seq, mut tries) = (3, 0);
    for now in (40..60_000).step_by(20) {
        for call in owner.due_calls(now, MAX_MESSAGE_BYTES) {
            tries += 1;
            owner.handle_call_result(&call, CommandResult::NotSent, now + 10);
        }
        if now % 5_000 == 0 {
            seq += 1;
            let reply = owner
                .handle_heartbeat(
                    &Heartbeat {
                        tasks: vec![running_task(0)],
                        ..heartbeat(0, seq)
                    },
                    None,
                    now,
                )
                .expect("answered");
            assert!(contains_stop(&reply), "at {now} ms, after {tries} tries");
        }
    }
    assert!(tries > 30, "calls are tried nevertheless, {tries} times");
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A heartbeat; a late one is older than the newest one received.
    Heartbeat {
        late: bool,
        shows_token: bool,
    },
    /// The call in progress, or else the next one, ends. 0: it was not sent; 1: its outcome is
    /// unknown; 2: the worker refused it.
    Call(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<bool>(), any::<bool>()).prop_map(|(late, shows_token)| Step::Heartbeat { late, shows_token }),
        4 => (0..3u8).prop_map(Step::Call),
        2 => (1..4_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// While a machine reports a task that has to stop, every reply that renews its lease
    /// carries the stop, in any order of late heartbeats, heartbeats without the owner's
    /// token, and calls that fail in any way.
    #[test]
    fn no_reply_renews_a_lease_without_a_due_stop(steps in prop::collection::vec(step(), 1..60)) {
        let mut owner = owner_with_due_stop(30);
        let (mut now, mut seq, mut call, mut answers) = (40, 10, None, 0);
        for step in steps {
            match step {
                Step::Wait(ms) => now += ms,
                Step::Call(result_kind) => {
                    call = call.or_else(|| owner.due_calls(now, MAX_MESSAGE_BYTES).into_iter().next());
                    let Some(call) = call.take() else { continue };
                    let result = match result_kind {
                        0 => CommandResult::NotSent,
                        1 => CommandResult::Unknown,
                        _ => {
                            seq += 2;
                            CommandResult::Refused(Heartbeat { tasks: vec![running_task(0)], ..heartbeat(0, seq) })
                        }
                    };
                    owner.handle_call_result(&call, result, now);
                }
                Step::Heartbeat { late, shows_token } => {
                    if !late {
                        seq += 2;
                    }
                    let token = if shows_token { TOKEN << MACHINE_TOKEN_BITS } else { 0 };
                    let heartbeat = Heartbeat { tasks: vec![running_task(0)], fencing_token: token, ..heartbeat(0, if late { seq - 1 } else { seq }) };
                    if let Some(reply) = owner.handle_heartbeat(&heartbeat, None, now) {
                        answers += 1;
                        prop_assert!(contains_stop(&reply), "{heartbeat:?}");
                    }
                }
            }
        }
        seq += 2;
        let reply = owner.handle_heartbeat(&Heartbeat { tasks: vec![running_task(0)], ..heartbeat(0, seq) }, None, now);
        prop_assert!(reply.is_some_and(|r| contains_stop(&r)), "after {answers} answers");
    }
}

/// Calls beyond the free slots wait until others have ended, and none is lost.
#[test]
fn due_calls_wait_for_a_free_slot_and_all_are_made() {
    let mut owner = owner_with_machines(50);
    for n in 0..50 {
        let running = Heartbeat {
            tasks: vec![running_task(n)],
            ..heartbeat(n, 2)
        };
        owner
            .handle_heartbeat(&running, None, 15)
            .expect("answered");
    }
    let stopped = |n: u32| DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(n, n as usize)
    };
    let wants = (0..50).map(stopped).collect();
    owner
        .sync(
            &sync_request(
                1,
                ChangeRange {
                    since: 0,
                    until: 50,
                    complete: true,
                },
                wants,
                ObservedState::default(),
            ),
            MAX_MESSAGE_BYTES,
            20,
        )
        .expect("sync accepted");
    let mut called = Vec::new();
    for round in 0..20 {
        let now = 20 + round * 100;
        let calls = owner.due_calls(now, 7);
        assert!(calls.len() <= 7);
        for call in calls {
            let n: usize = call.machine.as_str()[2..].parse().expect("number");
            let stopped = TaskStatus {
                phase: TaskPhase::Exited,
                exit_cause: Some("stopped".into()),
                ..running_task(n)
            };
            owner.handle_call_result(
                &call,
                CommandResult::Executed(Heartbeat {
                    tasks: vec![stopped],
                    ..heartbeat(n, 3)
                }),
                now,
            );
            called.push(n);
        }
    }
    called.sort_unstable();
    assert_eq!(called, (0..50).collect::<Vec<_>>());
}
