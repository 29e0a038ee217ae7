//! Which messages of a worker are current and whether replies reach it, tested with a single
//! owner. Random histories with a slow reference model are in `src/incarnation/tests.rs`.

mod support;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner, UNREACHABLE_CALLS_MAX};
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::peer::{
    AttemptState, ChangeRange, DesiredAttempt, ExitCause, MachineView, ObservedState, ShardView,
    SyncRequest,
};
use lemonweir_protocol::worker::{CommandKind, Heartbeat, TaskPhase, TaskStatus};
use support::*;

const FIRST_TOKEN: u64 = TOKEN << MACHINE_TOKEN_BITS;

/// An owner, the state of its placer, and the machines' sequence numbers and tokens.
struct ShardUnderTest {
    owner: Owner,
    token: u64,
    now: u64,
    revision: u64,
    misrouted: u32,
    sequences: Vec<u64>,
    tokens: Vec<u64>,
}

impl ShardUnderTest {
    fn new(machines: usize) -> Self {
        let (sequences, tokens) = (vec![1; machines], vec![FIRST_TOKEN; machines]);
        Self {
            owner: owner_with_machines(machines),
            token: TOKEN,
            now: 20,
            revision: 0,
            misrouted: 0,
            sequences,
            tokens,
        }
    }

    /// Another owner acquires the shard, without any state.
    fn next_owner(&mut self) {
        self.token += 1;
        self.owner = new_owner(self.token, self.now);
    }

    fn sync_placer(&mut self, wants: Vec<DesiredAttempt>) -> ShardView {
        self.revision += 1;
        let range = ChangeRange {
            since: 0,
            until: self.revision,
            complete: true,
        };
        // No machine is released for being idle.
        let keep = (0..self.sequences.len()).map(machine_id).collect();
        let message = SyncRequest {
            reserved_machines: keep,
            misrouted_heartbeats: self.misrouted,
            to_fencing_token: self.token,
            ..sync_request(self.revision, range, wants, ObservedState::default())
        };
        self.owner
            .sync(&message, MAX_MESSAGE_BYTES, self.now)
            .expect("sync accepted")
    }

    fn view(&mut self, n: usize, wants: Vec<DesiredAttempt>) -> Option<MachineView> {
        self.sync_placer(wants)
            .machines
            .into_iter()
            .find(|m| m.id == machine_id(n))
    }

    fn is_schedulable(&mut self, n: usize) -> bool {
        self.view(n, Vec::new())
            .is_some_and(|m| m.registered && m.schedulable)
    }

    fn advance_to(&mut self, until: u64) {
        self.now = until;
        self.owner.tick(until, until);
    }

    /// A machine sends a heartbeat, which controller `by` relays if set, and applies the reply if
    /// `reaches`.
    fn send_heartbeat(&mut self, n: usize, by: Option<u16>, reaches: bool, tasks: Vec<TaskStatus>) {
        self.sequences[n] += 1;
        let heartbeat = Heartbeat {
            fencing_token: self.tokens[n],
            tasks,
            ..heartbeat(n, self.sequences[n])
        };
        let reply = self
            .owner
            .handle_heartbeat(&heartbeat, by, self.now)
            .expect("answered");
        if reaches {
            self.tokens[n] = self.tokens[n].max(reply.fencing_token);
        }
    }

    /// The only due call, if any.
    fn due_call(&mut self) -> Option<CommandCall> {
        let mut calls = self.owner.due_calls(self.now, 4);
        assert!(calls.len() < 2);
        calls.pop()
    }
}

fn attempt_state(view: &ShardView, n: u32) -> Option<AttemptState> {
    view.attempts
        .iter()
        .find(|a| a.id == desired_attempt(n, 0).id)
        .map(|a| a.state)
}

#[test]
fn unreachable_worker_is_unschedulable_after_two_heartbeats_until_it_shows_our_token() {
    for by in [Some(1), None] {
        let mut shard = ShardUnderTest::new(1);
        shard.advance_to(3_000);
        shard.send_heartbeat(0, None, false, Vec::new());
        assert!(
            shard.is_schedulable(0),
            "nothing shows yet that it is unreachable"
        );
        // After 4 s without a reply it tries the next controller 1 s later.
        shard.advance_to(8_050);
        shard.send_heartbeat(0, by, false, Vec::new());
        assert!(!shard.is_schedulable(0));
        shard.advance_to(13_100);
        shard.send_heartbeat(0, by, false, Vec::new());
        assert!(!shard.is_schedulable(0));
        shard.advance_to(18_150);
        shard.send_heartbeat(0, by, true, Vec::new());
        shard.advance_to(18_700);
        shard.send_heartbeat(0, by, true, Vec::new());
        assert!(
            shard.is_schedulable(0),
            "it shows the token of the last reply"
        );
    }
}

/// Commands still reach the machine by calls, but they renew no lease.
#[test]
fn delivered_calls_do_not_prove_that_replies_arrive() {
    let mut shard = ShardUnderTest::new(1);
    shard.advance_to(3_000);
    shard.send_heartbeat(0, None, false, Vec::new());
    shard.advance_to(8_050);
    shard.send_heartbeat(0, Some(1), false, vec![running_task(0)]);
    let stopped = DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(0, 0)
    };
    shard.sync_placer(vec![stopped.clone()]);
    for _ in 0..3 {
        let Some(call) = shard.due_call() else { break };
        assert!(
            call.commands
                .commands
                .iter()
                .all(|o| o.kind == CommandKind::Stop),
            "only stops are sent by call"
        );
        shard.tokens[0] = shard.tokens[0].max(call.commands.fencing_token);
        shard.sequences[0] += 1;
        let heartbeat = Heartbeat {
            fencing_token: shard.tokens[0],
            ..heartbeat(0, shard.sequences[0])
        };
        shard.now += 20;
        shard
            .owner
            .handle_call_result(&call, CommandResult::Executed(heartbeat), shard.now);
        assert!(!shard.is_schedulable(0));
    }
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![stopped]), 0),
        Some(AttemptState::Gone)
    );
}

/// An accepted member of a gang waits on a machine that becomes unreachable: it ends at once, since
/// no start was sent, and it is not started there later.
#[test]
fn accepted_attempt_on_an_unreachable_machine_ends_unlaunched() {
    let mut shard = ShardUnderTest::new(1);
    let member = DesiredAttempt {
        may_start: false,
        ..desired_attempt(0, 0)
    };
    shard.sync_placer(vec![member.clone()]);
    shard.advance_to(3_000);
    shard.send_heartbeat(0, None, false, Vec::new());
    shard.advance_to(8_050);
    shard.send_heartbeat(0, Some(1), false, Vec::new());
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![member.clone()]), 0),
        Some(AttemptState::Accepted),
        "it may have been a single lost reply"
    );
    assert!(shard.due_call().is_none());
    shard.advance_to(13_100);
    shard.send_heartbeat(0, Some(2), false, Vec::new());
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![member.clone()]), 0),
        Some(AttemptState::Gone)
    );
    shard.sync_placer(vec![DesiredAttempt {
        may_start: true,
        ..member
    }]);
    assert!(
        shard
            .due_call()
            .is_none_or(|c| c.commands.commands.is_empty())
    );
}

/// Forty of sixty machines reach only other controllers; the owner keeps the shard.
#[test]
fn owner_with_forty_unreachable_machines_keeps_its_shard() {
    let mut shard = ShardUnderTest::new(60);
    for round in 0..12u64 {
        shard.advance_to(3_000 + round * 1_000);
        for n in 0..60 {
            let is_unreachable = n < 40;
            let interval = if is_unreachable { 5 } else { 3 };
            if round % interval == n as u64 % interval {
                shard.send_heartbeat(
                    n,
                    is_unreachable.then_some(1 + (round % 2) as u16),
                    !is_unreachable,
                    Vec::new(),
                );
            }
        }
        shard.misrouted = 60;
        shard.sync_placer(Vec::new());
        assert!(!shard.owner.is_unreachable(shard.now), "round {round}");
    }
    assert_eq!((0..60).filter(|n| shard.is_schedulable(*n)).count(), 20);
    assert_eq!(shard.owner.begin_releases(), [], "the owner waits for them");
}

/// A copy of a heartbeat, three leases old, reaches the third owner of a shard; the machine was
/// released by the first. The copy launches, ends and provisions nothing, and only causes queries.
#[test]
fn old_copy_of_a_heartbeat_only_causes_a_query() {
    let exited = TaskStatus {
        phase: TaskPhase::Exited,
        exit_cause: Some("error".into()),
        ..running_task(1)
    };
    let copy = Heartbeat {
        fencing_token: FIRST_TOKEN | 5,
        reclaim_notice_s: Some(20.0),
        tasks: vec![running_task(0), exited],
        ..heartbeat(0, 70)
    };
    for wanted in [false, true] {
        let mut shard = ShardUnderTest::new(0);
        shard.next_owner();
        shard.next_owner();
        let wants = || {
            if wanted {
                vec![desired_attempt(0, 0), desired_attempt(1, 0)]
            } else {
                Vec::new()
            }
        };
        shard.advance_to(3 * TIMING.lease_ms);
        shard.sync_placer(wants());
        assert!(
            shard
                .owner
                .handle_heartbeat(&copy, None, shard.now)
                .is_some(),
            "the machine may be alive"
        );
        let mut queries = 0;
        let mut released = None;
        for step in 0..500 {
            shard.advance_to(shard.now + 100);
            if step % 40 == 0 {
                shard.owner.handle_heartbeat(&copy, Some(1), shard.now);
            }
            for call in shard.owner.due_calls(shard.now, 4) {
                assert!(call.commands.commands.is_empty(), "a query has no commands");
                queries += 1;
                shard
                    .owner
                    .handle_call_result(&call, CommandResult::NotSent, shard.now);
            }
            let view = shard.sync_placer(wants());
            assert!(
                view.machines.iter().all(|m| !m.registered && !m.draining),
                "{:?}",
                view.machines
            );
            assert!(wanted || view.machines.is_empty(), "no booting capacity");
            assert!(
                view.attempts
                    .iter()
                    .all(|a| a.state == AttemptState::Gone && released.is_some()),
                "{:?}",
                view.attempts
            );
            let names = shard.owner.begin_releases();
            if !names.is_empty() {
                released = Some(shard.now);
                shard.owner.handle_release_result(&names, true, shard.now);
            }
        }
        assert!((1..=12).contains(&queries), "{queries} queries");
        assert!(released.is_some(), "the machine is released eventually");
        assert!(
            shard
                .owner
                .handle_heartbeat(&copy, None, shard.now)
                .is_none(),
            "the machine is released"
        );
    }
}

/// Forty heartbeats are replayed out of order to the same owner and to its successor; they change
/// the state of neither.
#[test]
fn replayed_heartbeats_in_any_order_change_nothing() {
    let mut shard = ShardUnderTest::new(1);
    shard.sync_placer(vec![desired_attempt(0, 0)]);
    let mut heartbeats = Vec::new();
    let done = TaskStatus {
        phase: TaskPhase::Exited,
        exit_cause: Some("done".into()),
        ..running_task(0)
    };
    for k in 0..40u64 {
        shard.advance_to(3_000 * (k + 1));
        let tasks = if (5..30).contains(&k) {
            vec![running_task(0)]
        } else {
            vec![done.clone()]
        };
        // The task is not reported before its start.
        let tasks = if k < 5 { Vec::new() } else { tasks };
        heartbeats.push(Heartbeat {
            fencing_token: shard.tokens[0],
            tasks: tasks.clone(),
            ..heartbeat(0, shard.sequences[0] + 1)
        });
        shard.send_heartbeat(0, None, true, tasks);
        shard.sync_placer(vec![desired_attempt(0, 0)]);
    }
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
        Some(AttemptState::Exited(ExitCause::Done))
    );
    let mut order: Vec<usize> = (0..40).collect();
    order.sort_by_key(|k| k * 7_919 % 41);
    for &k in &order {
        shard.now += 10;
        shard
            .owner
            .handle_heartbeat(&heartbeats[k], None, shard.now);
        assert!(
            shard
                .view(0, vec![desired_attempt(0, 0)])
                .is_some_and(|m| m.schedulable)
        );
        assert_eq!(
            attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
            Some(AttemptState::Exited(ExitCause::Done))
        );
    }
    shard.next_owner();
    for &k in &order {
        shard.now += 10;
        assert!(
            shard
                .owner
                .handle_heartbeat(&heartbeats[k], None, shard.now)
                .is_some()
        );
        let view = shard.sync_placer(vec![desired_attempt(0, 0)]);
        assert!(
            view.attempts.is_empty(),
            "no attempt is judged from copies: {:?}",
            view.attempts
        );
    }
    // The machine's own next heartbeat is the first that shows the new token.
    shard.send_heartbeat(0, None, true, vec![done.clone()]);
    shard.send_heartbeat(0, None, true, vec![done]);
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
        Some(AttemptState::Exited(ExitCause::Done))
    );
}

/// A worker that restarts without tasks is accepted with its second heartbeat, whatever incarnation
/// and sequence number it had before; heartbeats of its earlier incarnation no longer are.
#[test]
fn restarted_worker_is_confirmed_by_its_second_heartbeat() {
    for (earlier_incarnation, lease_expired) in [(1, false), (3, false), (1, true)] {
        let mut shard = ShardUnderTest::new(1);
        shard.sync_placer(vec![desired_attempt(0, 0)]);
        shard.sequences[0] = 80;
        shard.advance_to(3_000);
        let earlier_heartbeat = |seq| Heartbeat {
            incarnation: earlier_incarnation,
            fencing_token: FIRST_TOKEN,
            tasks: vec![running_task(0)],
            ..heartbeat(0, seq)
        };
        assert!(
            shard
                .owner
                .handle_heartbeat(&earlier_heartbeat(81), None, shard.now)
                .is_some()
        );
        assert_eq!(
            attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
            Some(AttemptState::Running)
        );
        shard.advance_to(if lease_expired { 20_000 } else { 10_000 });
        // It shows no token, as a new worker; the reply gives one.
        let token = shard
            .owner
            .handle_heartbeat(&report_with(1, 0), None, shard.now)
            .expect("answered")
            .fencing_token;
        shard.now += 500;
        let token = shard
            .owner
            .handle_heartbeat(&report_with(2, token), None, shard.now)
            .expect("answered")
            .fencing_token;
        shard.now += 500;
        shard
            .owner
            .handle_heartbeat(&report_with(3, token), None, shard.now)
            .expect("answered");
        shard.advance_to(shard.now + 100);
        assert_eq!(
            attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
            Some(AttemptState::Gone),
            "incarnation {earlier_incarnation}, lease expired {lease_expired}"
        );
        assert!(
            shard
                .view(0, vec![desired_attempt(0, 0)])
                .is_some_and(|m| m.registered && m.schedulable)
        );
        // Its earlier incarnation sends another heartbeat.
        shard
            .owner
            .handle_heartbeat(&earlier_heartbeat(90), None, shard.now);
        assert!(
            shard
                .sync_placer(vec![desired_attempt(0, 0)])
                .attempts
                .iter()
                .all(|a| a.state == AttemptState::Gone)
        );
        let next = DesiredAttempt {
            id: lemonweir_model::AttemptId {
                attempt: 2,
                ..desired_attempt(0, 0).id
            },
            ..desired_attempt(0, 0)
        };
        shard.sync_placer(vec![next]);
        let (starts, replied_token) =
            starts_in_reply(&mut shard.owner, &report_with(4, token), shard.now);
        assert_eq!(starts, 1);
        assert!(replied_token > token - 1);
    }
}

fn report_with(seq: u64, token: u64) -> Heartbeat {
    Heartbeat {
        fencing_token: token,
        ..heartbeat(0, seq)
    }
}

/// A call result that may come from a new incarnation is confirmed by a query with a new token,
/// without waiting for a second heartbeat.
#[test]
fn call_response_shows_a_new_incarnation() {
    let mut shard = ShardUnderTest::new(1);
    shard.sync_placer(vec![desired_attempt(0, 0)]);
    shard.advance_to(3_000);
    shard.sequences[0] = 50;
    shard.send_heartbeat(0, None, true, vec![running_task(0)]);
    shard.sync_placer(vec![DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(0, 0)
    }]);
    let call = shard.due_call().expect("a stop");
    shard.owner.handle_call_result(
        &call,
        CommandResult::Executed(report_with(1, call.commands.fencing_token)),
        shard.now,
    );
    let query = shard
        .due_call()
        .expect("a query with a token that its earlier incarnation can't have seen");
    assert!(query.commands.fencing_token > call.commands.fencing_token);
    shard.owner.handle_call_result(
        &query,
        CommandResult::Executed(report_with(2, query.commands.fencing_token)),
        shard.now,
    );
    assert_eq!(
        attempt_state(&shard.sync_placer(vec![desired_attempt(0, 0)]), 0),
        Some(AttemptState::Gone)
    );
}

/// A new incarnation has no token by which it would refuse a superseded owner: nothing is started
/// there until a later store answer confirms that the owner still leads the shard, then at once.
#[test]
fn launch_on_a_new_machine_waits_for_a_later_store_answer() {
    let mut shard = ShardUnderTest::new(0);
    (shard.sequences, shard.tokens) = (vec![0], vec![FIRST_TOKEN]);
    shard.advance_to(5_000);
    shard.now = 5_050;
    shard.send_heartbeat(0, None, true, Vec::new());
    shard.sync_placer(vec![desired_attempt(0, 0)]);
    let starts_now = |shard: &mut ShardUnderTest| {
        assert!(shard.due_call().is_none(), "no call carries a start");
        shard.sequences[0] += 1;
        let next = report_with(shard.sequences[0], shard.tokens[0]);
        starts_in_reply(&mut shard.owner, &next, shard.now).0
    };
    assert_eq!(
        starts_now(&mut shard),
        0,
        "the last refresh began before the heartbeat"
    );
    shard.now = 5_200;
    shard.owner.tick(5_200, 5_040);
    assert_eq!(
        starts_now(&mut shard),
        0,
        "this refresh began before it, too"
    );
    shard.owner.tick(5_200, 5_100);
    assert_eq!(starts_now(&mut shard), 1, "at once");
}

/// If an unreachable machine is released while a call to it is in progress, its slot among the
/// calls to unreachable machines is freed. With every slot leaked this way, stops for other
/// machines would have waited for ever.
#[test]
fn released_unreachable_machine_frees_its_call_slot() {
    let mut shard = ShardUnderTest::new(2 * UNREACHABLE_CALLS_MAX);
    let stopped = |n: usize| DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(n as u32, n)
    };
    let all: Vec<DesiredAttempt> = (0..2 * UNREACHABLE_CALLS_MAX).map(stopped).collect();
    for at in [3_000, 8_050, 13_100] {
        shard.advance_to(at);
        for n in 0..2 * UNREACHABLE_CALLS_MAX {
            shard.send_heartbeat(n, None, false, vec![running_task(n)]);
        }
    }
    shard.sync_placer(all.clone());
    let calls = shard.owner.due_calls(shard.now, 100);
    assert_eq!(
        calls.len(),
        UNREACHABLE_CALLS_MAX,
        "no more calls at a time"
    );
    let gone: Vec<_> = calls.iter().map(|c| c.machine.clone()).collect();
    shard.owner.handle_release_result(&gone, true, shard.now);
    for call in &calls {
        shard
            .owner
            .handle_call_result(call, CommandResult::Unknown, shard.now);
    }
    shard.sync_placer(all);
    let rest = shard.owner.due_calls(shard.now, 100);
    assert_eq!(
        rest.len(),
        UNREACHABLE_CALLS_MAX,
        "the other machines get their stops"
    );
}
