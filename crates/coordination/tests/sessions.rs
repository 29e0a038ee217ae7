//! Lease expiry of a worker incarnation that the owner learns of from a command call, not from
//! a heartbeat.

mod support;

use lemonweir_coordination::owner::CommandResult;
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::peer::{ChangeRange, DesiredAttempt, ObservedState};
use lemonweir_protocol::worker::Heartbeat;
use support::*;

/// Found by seed 47 of the fault search. A machine that receives no replies begins a new
/// incarnation, and its owner learns of it from the response to a command call. The lease of that
/// incarnation runs from its beginning, after the owner's last reply: an attempt that a call starts
/// in it must not count as ended before that lease expires.
#[test]
fn incarnation_learned_from_a_call_has_a_lease_from_its_beginning() {
    let mut owner = owner_with_machines(1);
    let sync_placer =
        |owner: &mut lemonweir_coordination::owner::Owner, seq, since, upto, wants, now| {
            owner
                .sync(
                    &sync_request(
                        seq,
                        ChangeRange {
                            since,
                            until: upto,
                            complete: true,
                        },
                        wants,
                        ObservedState::default(),
                    ),
                    MAX_MESSAGE_BYTES,
                    now,
                )
                .expect("sync accepted")
        };
    // The owner replies, but the reply is lost.
    assert!(
        owner
            .handle_heartbeat(&heartbeat(0, 3), None, 3_000)
            .is_some()
    );
    // The lease expires at 14 s. The next call, which wakes the worker for a start, reaches the new
    // incarnation.
    sync_placer(&mut owner, 1, 0, 1, vec![desired_attempt(0, 0)], 14_500);
    let call = owner.due_calls(14_500, 1).pop().expect("a call");
    let machine_token = TOKEN << MACHINE_TOKEN_BITS;
    let second_incarnation_heartbeat = |seq, tasks| Heartbeat {
        incarnation: 2,
        fencing_token: machine_token,
        tasks,
        ..heartbeat(0, seq)
    };
    owner.handle_call_result(
        &call,
        CommandResult::Refused(second_incarnation_heartbeat(5, Vec::new())),
        14_510,
    );
    owner.tick(14_600, 14_600);
    let late = second_incarnation_heartbeat(6, Vec::new());
    let (starts, token) = starts_in_reply(&mut owner, &late, 14_700);
    assert_eq!(starts, 0, "replies may not reach it");
    let next = Heartbeat {
        fencing_token: token,
        ..second_incarnation_heartbeat(7, Vec::new())
    };
    let (starts, token) = starts_in_reply(&mut owner, &next, 15_200);
    assert_eq!(starts, 1, "a start in the new incarnation");
    // From here on its heartbeats are lost, and the answers to calls arrive.
    let stop = DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(0, 0)
    };
    let copy_of_first = Heartbeat {
        fencing_token: 0,
        ..heartbeat(0, 1)
    };
    owner
        .handle_heartbeat(&copy_of_first, None, 16_000)
        .expect("answered");
    let call = owner
        .due_calls(16_000, 1)
        .pop()
        .expect("a call in the new incarnation");
    assert_eq!(call.commands.incarnation, 2);
    let running = Heartbeat {
        fencing_token: token.max(call.commands.fencing_token),
        ..second_incarnation_heartbeat(8, vec![running_task(0)])
    };
    owner.handle_call_result(&call, CommandResult::Executed(running), 16_010);
    sync_placer(&mut owner, 2, 1, 2, vec![stop], 16_020);
    for now in (16_100..28_000).step_by(100) {
        owner.tick(now, now);
        let view = sync_placer(&mut owner, now, 2, 2, Vec::new(), now);
        let ended = view.attempts.iter().find(|a| a.state.is_terminal());
        assert!(
            ended.is_none(),
            "{now} ms: {ended:?}, and its lease runs until 28 s"
        );
    }
    for now in (28_000..32_000).step_by(100) {
        owner.tick(now, now);
    }
    let view = sync_placer(&mut owner, 40_000, 2, 2, Vec::new(), 32_000);
    assert!(
        view.attempts.iter().any(|a| a.state.is_terminal()),
        "not ended once its lease has expired: {:?}",
        view.attempts
    );
}
