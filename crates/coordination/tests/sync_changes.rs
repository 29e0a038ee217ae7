//! Sync messages with changes, compared with a slow reference model that keeps whole states, and
//! their cost as the fleet grows.

mod support;

use std::collections::BTreeMap;

use lemonweir_coordination::change_log::ChangeLog;
use lemonweir_coordination::owner::{Owner, SyncError};
use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer};
use lemonweir_model::{AttemptId, Resources};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::peer::{
    AttemptState, AttemptStatus, ChangeRange, Continuation, DesiredAttempt, MachineView,
    ObservedState,
};
use lemonweir_protocol::worker::{CommandKind, Heartbeat};
use lemonweir_storage::records::ImageLocationsRecord;
use proptest::prelude::*;
use support::*;

// ---- change log --------------------------------------------------------------

#[derive(Clone, Debug)]
enum Step {
    Put(u8, u32),
    Remove(u8),
    /// Sends a message with at most this many changes.
    Send(usize, Delivery),
    /// The fencing token changes: the receiver keeps its entries, but starts again at revision 0.
    Restart,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Answered,
    /// The message arrives; its answer is lost.
    AnswerLost,
    Lost,
    /// The message arrives after a later one.
    Late,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (any::<u8>().prop_map(|k| k % 24), any::<u32>()).prop_map(|(k, v)| Step::Put(k, v % 5)),
        3 => any::<u8>().prop_map(|k| Step::Remove(k % 24)),
        4 => (1..12usize, prop::sample::select(vec![Delivery::Answered, Delivery::AnswerLost, Delivery::Lost, Delivery::Late]))
            .prop_map(|(room, delivery)| Step::Send(room, delivery)),
        1 => Just(Step::Restart),
    ]
}

type Message = (u64, ChangeRange, Vec<(u8, Option<u32>)>);

/// A receiver that applies messages as owners and placers do.
#[derive(Default)]
struct Receiver {
    token: u64,
    seq: u64,
    revision: u64,
    state: BTreeMap<u8, u32>,
    unconfirmed: Vec<u8>,
    complete: bool,
}

impl Receiver {
    /// Applies a message and returns the revision to acknowledge; `None` if it is rejected.
    fn apply(&mut self, token: u64, (seq, range, changes): &Message) -> Option<u64> {
        if token != self.token || *seq <= self.seq {
            return None;
        }
        self.seq = *seq;
        match range.continues_from(self.revision) {
            None => return Some(0),
            Some(Continuation::Snapshot) => {
                self.revision = 0;
                self.complete = false;
                self.unconfirmed = self.state.keys().copied().collect();
            }
            Some(Continuation::Delta) => {}
        }
        self.revision = self.revision.max(range.until);
        for (key, value) in changes {
            self.unconfirmed.retain(|k| k != key);
            match value {
                Some(v) => drop(self.state.insert(*key, *v)),
                None => drop(self.state.remove(key)),
            }
        }
        if range.complete {
            self.complete = true;
            for key in std::mem::take(&mut self.unconfirmed) {
                self.state.remove(&key);
            }
        }
        Some(self.revision)
    }
}

fn message(log: &ChangeLog<u8, u32>, acked: u64, seq: u64, mut room: usize) -> Message {
    let (range, changes) = log.changes_since(acked, &mut room, |_, _| 1);
    (
        seq,
        range,
        changes.into_iter().map(|(k, v)| (*k, v.copied())).collect(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Whatever messages are lost, late or repeated: a receiver that has received everything
    /// holds what the sender holds, and a complete one holds nothing that never existed.
    #[test]
    fn receiver_converges_to_the_reference_model(steps in prop::collection::vec(step(), 1..160)) {
        let mut log: ChangeLog<u8, u32> = ChangeLog::default();
        let mut model: BTreeMap<u8, u32> = BTreeMap::new();
        let (mut acked, mut seq, mut token) = (0, 0, 1);
        let mut receiver = Receiver { token: 1, ..Receiver::default() };
        let mut late: Vec<(u64, Message)> = Vec::new();
        let answer = |acked: &mut u64, log: &mut ChangeLog<u8, u32>, at: u64| {
            *acked = if at < *acked { 0 } else { at };
            log.compact(*acked);
        };
        for s in steps {
            match s {
                Step::Put(k, v) => {
                    log.put(&k, v);
                    model.insert(k, v);
                }
                Step::Remove(k) => {
                    log.remove(&k);
                    model.remove(&k);
                }
                Step::Restart => {
                    token += 1;
                    receiver = Receiver { token, state: std::mem::take(&mut receiver.state), ..Receiver::default() };
                    acked = 0;
                }
                Step::Send(room, delivery) => {
                    seq += 1;
                    let m = message(&log, acked, seq, room);
                    prop_assert!(m.2.len() <= room);
                    match delivery {
                        Delivery::Lost => {}
                        Delivery::Late => late.push((token, m)),
                        Delivery::Answered | Delivery::AnswerLost => {
                            let at = receiver.apply(token, &m);
                            if let (Some(at), Delivery::Answered) = (at, delivery) {
                                answer(&mut acked, &mut log, at);
                            }
                            if let Some((t, old)) = late.pop() {
                                prop_assert_eq!(receiver.apply(t, &old), None, "a late message is dropped");
                            }
                        }
                    }
                }
            }
        }
        for _ in 0..200 {
            seq += 1;
            let m = message(&log, acked, seq, 5);
            let last = m.1.complete;
            let at = receiver.apply(token, &m).expect("message accepted");
            answer(&mut acked, &mut log, at);
            if last && receiver.complete && at == log.last() {
                break;
            }
        }
        prop_assert_eq!(receiver.state, model);
    }
}

// ---- views of an owner ---------------------------------------------------------

/// The work for one start does not depend on the fleet's size: one machine is published again, and
/// one is called.
#[test]
fn start_cost_is_independent_of_fleet_size() {
    for machines in [10, 1_000] {
        let mut owner = owner_with_machines(machines);
        let first = owner
            .sync(
                &sync_request(
                    1,
                    ChangeRange {
                        since: 0,
                        until: 0,
                        complete: true,
                    },
                    Vec::new(),
                    ObservedState::default(),
                ),
                MAX_MESSAGE_BYTES,
                20,
            )
            .expect("sync accepted");
        assert_eq!(first.machines.len(), machines);
        assert!(owner.due_calls(20, MAX_MESSAGE_BYTES).is_empty());
        let range = ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        };
        let view = owner
            .sync(
                &sync_request(
                    2,
                    range,
                    vec![desired_attempt(0, 3)],
                    observed_state(&first),
                ),
                MAX_MESSAGE_BYTES,
                30,
            )
            .expect("sync accepted");
        assert_eq!(
            (view.machines.len(), view.attempts.len()),
            (1, 1),
            "{machines} machines"
        );
        assert_eq!(view.desired_revision, 1);
        assert_eq!(starts_in_reply(&mut owner, &heartbeat(3, 2), 35).0, 1);
        // A heartbeat without changes causes no publication.
        assert!(owner.handle_heartbeat(&heartbeat(7, 2), None, 40).is_some());
        let quiet = owner
            .sync(
                &sync_request(
                    3,
                    ChangeRange {
                        since: 1,
                        until: 1,
                        complete: true,
                    },
                    Vec::new(),
                    observed_state(&view),
                ),
                MAX_MESSAGE_BYTES,
                50,
            )
            .expect("sync accepted");
        assert_eq!((quiet.machines.len(), quiet.attempts.len()), (0, 0));
    }
}

/// A stop does not wait behind starts that do not fit in a message.
#[test]
fn stops_overtake_starts_that_do_not_fit() {
    let mut owner = owner_with_machines(3);
    let two = ChangeRange {
        since: 0,
        until: 2,
        complete: true,
    };
    owner
        .sync(
            &sync_request(
                1,
                two,
                vec![desired_attempt(0, 0), desired_attempt(1, 1)],
                ObservedState::default(),
            ),
            MAX_MESSAGE_BYTES,
            20,
        )
        .expect("sync accepted");
    for n in 0..2 {
        assert_eq!(starts_in_reply(&mut owner, &heartbeat(n, 2), 25).0, 1);
        assert!(
            owner
                .handle_heartbeat(
                    &Heartbeat {
                        tasks: vec![running_task(n)],
                        ..heartbeat(n, 3)
                    },
                    None,
                    30
                )
                .is_some()
        );
    }
    let mut partial_message = sync_request(
        2,
        ChangeRange {
            since: 2,
            until: 3,
            complete: false,
        },
        vec![desired_attempt(2, 2)],
        ObservedState::default(),
    );
    // A stop of this placer's attempt, and one of an attempt that it does not have.
    partial_message.stops = vec![
        (desired_attempt(1, 1).id, 0),
        (
            AttemptId {
                attempt: 9,
                ..desired_attempt(1, 1).id
            },
            0,
        ),
    ];
    owner
        .sync(&partial_message, MAX_MESSAGE_BYTES, 40)
        .expect("sync accepted");
    let reply = owner
        .handle_heartbeat(
            &Heartbeat {
                tasks: vec![running_task(1)],
                ..heartbeat(1, 3)
            },
            None,
            50,
        )
        .expect("answered");
    assert_eq!(
        reply.commands.iter().map(|o| o.kind).collect::<Vec<_>>(),
        vec![CommandKind::Stop]
    );
    let reply = owner
        .handle_heartbeat(
            &Heartbeat {
                tasks: vec![running_task(0)],
                ..heartbeat(0, 3)
            },
            None,
            50,
        )
        .expect("answered");
    assert!(reply.commands.is_empty());
}

/// A state that does not fit in one message is delivered completely in several.
#[test]
fn full_state_is_delivered_in_parts() {
    let mut owner = owner_with_machines(300);
    let mut at = ObservedState::default();
    let mut seen = BTreeMap::new();
    let mut parts = 0;
    for seq in 1..100 {
        let view = owner
            .sync(
                &sync_request(
                    seq,
                    ChangeRange {
                        since: 0,
                        until: 0,
                        complete: true,
                    },
                    Vec::new(),
                    at,
                ),
                8 * 1024,
                20,
            )
            .expect("sync accepted");
        assert!(
            lemonweir_protocol::peer::encode(&view).len() < 9 * 1024,
            "a message keeps to its byte budget"
        );
        parts += 1;
        at = observed_state(&view);
        seen.extend(view.machines.iter().map(|m| (m.id.clone(), m.free)));
        if view.machines_range.complete {
            break;
        }
    }
    assert_eq!(seen.len(), 300);
    assert!(parts > 3);
}

/// The record of cached images was cut off after some thirty machines, and after a restart tasks
/// were placed as if the other machines had no images.
#[test]
fn images_of_a_large_fleet_survive_a_restart() {
    const MACHINES: usize = 400;
    const VALUE_BYTES: usize = 4 * 1024;
    let mut owner = owner_with_machines(MACHINES);
    let image = |n: usize| format!("img-{:02}", n % 20);
    let wants: Vec<DesiredAttempt> = (0..MACHINES)
        .map(|n| DesiredAttempt {
            image: image(n),
            ..desired_attempt(n as u32, n)
        })
        .collect();
    owner
        .sync(
            &sync_request(
                1,
                ChangeRange {
                    since: 0,
                    until: 400,
                    complete: true,
                },
                wants,
                ObservedState::default(),
            ),
            MAX_MESSAGE_BYTES,
            20,
        )
        .expect("sync accepted");
    for n in 0..MACHINES {
        assert!(
            owner
                .handle_heartbeat(
                    &Heartbeat {
                        tasks: vec![running_task(n)],
                        ..heartbeat(n, 2)
                    },
                    None,
                    30
                )
                .is_some()
        );
    }
    let pages = owner.changed_image_pages(60_000, VALUE_BYTES, 12);
    assert!(pages.len() > 1, "this fleet needs several pages");
    let pages: Vec<ImageLocationsRecord> = pages
        .into_iter()
        .map(|(_, page)| page.expect("written"))
        .collect();
    assert!(
        pages
            .iter()
            .all(|p| lemonweir_protocol::encode(p).len() <= VALUE_BYTES)
    );
    assert!(
        owner
            .changed_image_pages(120_000, VALUE_BYTES, 12)
            .is_empty(),
        "unchanged pages are not written"
    );
    let mut next = Owner::new(
        0,
        TOKEN + 1,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    next.restore_image_pages(pages);
    for n in 0..MACHINES {
        let token = (TOKEN + 1) << lemonweir_model::constants::MACHINE_TOKEN_BITS;
        assert!(
            next.handle_heartbeat(
                &Heartbeat {
                    fencing_token: token,
                    ..heartbeat(n, 3)
                },
                None,
                40
            )
            .is_some()
        );
    }
    let mut first = sync_request(
        2,
        ChangeRange {
            since: 0,
            until: 0,
            complete: true,
        },
        Vec::new(),
        ObservedState::default(),
    );
    first.to_fencing_token = TOKEN + 1;
    let view = next
        .sync(&first, MAX_MESSAGE_BYTES, 50)
        .expect("sync accepted");
    assert_eq!(view.machines.len(), MACHINES);
    for m in &view.machines {
        let n: usize = m.id.as_str()[2..].parse().expect("number");
        assert_eq!(m.cached_images, vec![image(n)]);
    }
}

// ---- partial views at the placer -------------------------------------------------

/// After a partition the owner's views came in parts, attempts before machines, and the placer used
/// resources again that its own attempts had just been given: 1,900 attempts were refused.
#[test]
fn capacity_is_not_double_booked_while_machine_figures_are_in_flight() {
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    submit(&mut placer, array_job(9), 0, 0);
    let machine = |gpus: u64| machine_view(0, gpus);
    let mut revision = 1;
    // Applies a view, lets the placer place and write, and returns its attempts.
    let mut apply_view_and_place =
        |machines: Vec<MachineView>, range: ChangeRange, attempts: Vec<AttemptStatus>| {
            let seq = placer
                .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
                .seq;
            placer.apply_view(shard_view(seq, range, machines, attempts), 0);
            placer.run_placement_pass(0);
            while placer.next_cas(0).is_some() {
                revision += 1;
                placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(revision), 0);
            }
            placer
                .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
                .desired
        };
    let first = apply_view_and_place(
        vec![machine(4)],
        ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        },
        Vec::new(),
    );
    assert_eq!(first.len(), 4);
    let taken: Vec<AttemptStatus> = first
        .iter()
        .map(|w| AttemptStatus {
            id: w.id.clone(),
            state: AttemptState::Accepted,
        })
        .collect();
    // The attempts are accepted; the free resources of their machine are not published yet.
    assert_eq!(
        apply_view_and_place(
            Vec::new(),
            ChangeRange {
                since: 1,
                until: 1,
                complete: false
            },
            taken.clone()
        )
        .len(),
        4
    );
    assert_eq!(
        apply_view_and_place(
            vec![machine(0)],
            ChangeRange {
                since: 1,
                until: 2,
                complete: false
            },
            taken.clone()
        )
        .len(),
        4
    );
    // An attempt of another placer has ended.
    assert_eq!(
        apply_view_and_place(
            vec![machine(1)],
            ChangeRange {
                since: 2,
                until: 3,
                complete: true
            },
            taken
        )
        .len(),
        5
    );
}

/// After a crash the inventory still listed machines that had been released, and 30 of them counted
/// as booting for a minute and a half.
#[test]
fn listed_machine_without_heartbeats_offers_no_capacity() {
    let mut owner = owner_with_machines(1);
    let entry = |phase: &str| InstanceEntry {
        id: machine_id(5),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        phase: phase.into(),
        age_s: 90.0,
    };
    let mut seq = 0;
    let mut is_schedulable = |owner: &mut Owner| {
        seq += 1;
        let view = owner
            .sync(
                &sync_request(
                    seq,
                    ChangeRange {
                        since: 0,
                        until: 0,
                        complete: true,
                    },
                    Vec::new(),
                    ObservedState::default(),
                ),
                MAX_MESSAGE_BYTES,
                20,
            )
            .expect("sync accepted");
        view.machines
            .iter()
            .find(|m| m.id == machine_id(5))
            .map(|m| m.schedulable)
    };
    owner.apply_inventory(&[entry("starting")], 1_000);
    owner.tick(30_000, 30_000);
    assert_eq!(is_schedulable(&mut owner), Some(true), "the machine boots");
    owner.apply_inventory(&[entry("running")], 30_000);
    owner.tick(31_000, 31_000);
    assert_eq!(
        is_schedulable(&mut owner),
        Some(true),
        "the machine may just have booted"
    );
    (31_000..45_000)
        .step_by(500)
        .for_each(|now| owner.tick(now, now));
    assert_eq!(is_schedulable(&mut owner), Some(false));
    assert!(
        owner
            .handle_heartbeat(&heartbeat(5, 1), None, 46_000)
            .is_some()
    );
    assert_eq!(
        is_schedulable(&mut owner),
        Some(true),
        "the machine was only late"
    );
}

#[test]
fn impossible_sequence_numbers_change_nothing() {
    let mut owner = owner_with_machines(3);
    let whole = ChangeRange {
        since: 0,
        until: 5,
        complete: true,
    };
    owner
        .sync(
            &sync_request(
                5,
                whole,
                vec![desired_attempt(0, 1)],
                ObservedState::default(),
            ),
            MAX_MESSAGE_BYTES,
            20,
        )
        .expect("sync accepted");
    assert_eq!(starts_in_reply(&mut owner, &heartbeat(1, 2), 20).0, 1);
    // A late message, one with another token, and one from an unknown shard.
    assert_eq!(
        owner
            .sync(
                &sync_request(5, whole, Vec::new(), ObservedState::default()),
                MAX_MESSAGE_BYTES,
                21
            )
            .err(),
        Some(SyncError::Stale)
    );
    let mut other = sync_request(6, whole, Vec::new(), ObservedState::default());
    other.to_fencing_token = TOKEN + 1;
    assert_eq!(
        owner.sync(&other, MAX_MESSAGE_BYTES, 21).err(),
        Some(SyncError::TokenMismatch)
    );
    let mut other = sync_request(6, whole, Vec::new(), ObservedState::default());
    other.from_shard = 9;
    assert_eq!(
        owner.sync(&other, MAX_MESSAGE_BYTES, 21).err(),
        Some(SyncError::UnknownShard)
    );
    // A gap, and a range that ends before it begins: a full state is requested, and the attempt
    // is kept.
    for (seq, range) in [
        (
            6,
            ChangeRange {
                since: 9,
                until: 12,
                complete: true,
            },
        ),
        (
            7,
            ChangeRange {
                since: 4,
                until: 2,
                complete: true,
            },
        ),
    ] {
        let view = owner
            .sync(
                &sync_request(
                    seq,
                    range,
                    vec![desired_attempt(1, 2)],
                    ObservedState::default(),
                ),
                MAX_MESSAGE_BYTES,
                22,
            )
            .expect("answered");
        assert_eq!(view.desired_revision, 0);
        assert_eq!(view.attempts.len(), 1, "only the first attempt is known");
        assert_eq!(view.attempts[0].state, AttemptState::Accepted);
    }
    // An attempt can't move to another machine under the same name.
    let mut moved = desired_attempt(0, 2);
    moved.resources = Resources::capacity(16.0, 4.0, 64.0);
    let on = ChangeRange {
        since: 5,
        until: 6,
        complete: true,
    };
    let view = owner
        .sync(
            &sync_request(8, on, vec![moved], ObservedState::default()),
            MAX_MESSAGE_BYTES,
            23,
        )
        .expect("answered");
    let free = |n: usize| {
        view.machines
            .iter()
            .find(|m| m.id == machine_id(n))
            .map(|m| m.free)
    };
    assert_eq!(free(2), Some(Resources::capacity(16.0, 4.0, 64.0)));
    assert_eq!(free(1), Some(Resources::capacity(12.0, 3.0, 56.0)));
    // Revisions that were never published: nothing is sent, and nothing ends.
    let ahead = ObservedState {
        machines_revision: u64::MAX,
        attempts_revision: u64::MAX,
    };
    let view = owner.sync(
        &sync_request(
            9,
            ChangeRange {
                since: 6,
                until: 6,
                complete: true,
            },
            Vec::new(),
            ahead,
        ),
        MAX_MESSAGE_BYTES,
        24,
    );
    assert!(view.is_ok_and(|v| v.machines.is_empty() && v.attempts.is_empty()));
}

/// Guards against progress that a peer never gets: a direct message with it is lost, and the
/// answer to a later message that came through the store must not acknowledge it.
#[test]
fn answer_to_another_message_does_not_acknowledge_lost_progress() {
    let mut owner = owner_with_machines(0);
    let mut placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
    submit(&mut placer, array_job(4), 0, 10);
    let lost = placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, true, 20);
    assert_eq!(lost.progress.len(), 1);
    let stored = placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 30);
    let view = owner
        .sync(&stored, MAX_MESSAGE_BYTES, 40)
        .expect("a newer message");
    placer.apply_view(view, 50);
    placer.message_lost(0);
    let next = placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, true, 60);
    assert_eq!(next.progress, lost.progress);
    // The answer to the message that carried it does.
    let view = owner
        .sync(&next, MAX_MESSAGE_BYTES, 70)
        .expect("a newer message");
    placer.apply_view(view, 80);
    let later = placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, true, 90);
    assert_eq!(later.progress, Vec::new());
}
