//! Machines out of sight: what is waited for, what is given back, and when the
//! end of what ran there is proven from time.

mod support;

use std::collections::BTreeSet;

use lemonweir_coordination::owner::Owner;
use lemonweir_model::MachineId;
use lemonweir_model::constants::{
    BLIND_MOST_MS, DRIFT_PER_MILLE, FENCE_BITS, LEASE_MARGIN_MS, RETURN_KEEP_MS,
};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::peer::{AttemptState, ChangeRange, ObservedState, ShardView};
use lemonweir_protocol::worker::Heartbeat;
use support::*;

const MACHINES: usize = 40;
/// Token of the successor.
const NEXT: u64 = TOKEN + 1;
/// The cloud's list is read so often.
const LIST_MS: u64 = 4_000;

fn entry(n: usize) -> InstanceEntry {
    InstanceEntry {
        id: machine(n),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        phase: "running".into(),
        age_s: 500.0,
    }
}

/// A successor whose placer wants one attempt on each of 40 machines, none of
/// which it has heard.
struct Day {
    owner: Owner,
    now: u64,
    seq: u64,
    released: Vec<(u64, MachineId)>,
    /// How the first attempt stands, with the time since when.
    ended: Option<(u64, AttemptState)>,
    have: ObservedState,
    cloud: bool,
    /// The store answers.
    word: bool,
    /// Machines whose first session was heard.
    heard: BTreeSet<usize>,
}

impl Day {
    fn new(cloud: bool) -> Self {
        let mut owner = Owner::new(
            0,
            NEXT,
            1,
            TIMING,
            lemonweir_policy::embedded().expect("policy"),
            0,
        );
        owner.set_types([kind()].iter());
        let mut day = Self {
            owner,
            now: 0,
            seq: 0,
            released: Vec::new(),
            ended: None,
            have: ObservedState::default(),
            cloud,
            word: true,
            heard: BTreeSet::new(),
        };
        let wants = (0..MACHINES).map(|n| want(n as u32, n)).collect();
        day.tell(
            ChangeRange {
                since: 0,
                until: 40,
                complete: true,
            },
            wants,
        );
        day
    }

    fn tell(
        &mut self,
        span: ChangeRange,
        wants: Vec<lemonweir_protocol::peer::DesiredAttempt>,
    ) -> ShardView {
        self.seq += 1;
        let message = lemonweir_protocol::peer::SyncRequest {
            to_fencing_token: NEXT,
            ..sync(self.seq, span, wants, self.have)
        };
        let view = self.owner.sync(&message, ROOM, self.now).expect("taken");
        self.have = have(&view);
        if let Some(a) = view
            .attempts
            .iter()
            .find(|a| a.id == want(0, 0).id && a.state.is_terminal())
        {
            self.ended.get_or_insert((self.now, a.state));
        }
        view
    }

    /// True once every lease has run out that an earlier owner kept alive: the
    /// machines are in another session then, without tasks.
    fn leases_are_over(&self) -> bool {
        self.now > BLIND_MOST_MS + TIMING.lease_ms
    }

    /// Lets time pass; machines that `reports` says report every 3 s.
    fn pass(&mut self, until: u64, reports: impl Fn(usize) -> bool) {
        while self.now < until {
            self.now += 100;
            if self.cloud && self.now.is_multiple_of(LIST_MS) {
                let all: Vec<InstanceEntry> = (0..MACHINES).map(entry).collect();
                self.owner.listed(&all, self.now);
            }
            if self.now.is_multiple_of(TIMING.report_ms) {
                for n in (0..MACHINES).filter(|&n| reports(n)) {
                    let kept = self.heard.contains(&n) || !self.leases_are_over();
                    if kept {
                        self.heard.insert(n);
                    }
                    let tasks = if kept {
                        vec![running_task(n)]
                    } else {
                        Vec::new()
                    };
                    let session = if kept { 1 } else { 2 };
                    let said = Heartbeat {
                        sequence: self.now,
                        fencing_token: NEXT << FENCE_BITS,
                        incarnation: session,
                        tasks,
                        ..report(n, 0)
                    };
                    self.owner.report(&said, None, self.now);
                }
            }
            let word = if self.word { self.now } else { 0 };
            self.owner.tick(self.now, word);
            let names = self.owner.releases();
            if !names.is_empty() {
                self.released
                    .extend(names.iter().map(|id| (self.now, id.clone())));
                self.owner.released(&names, true, self.now);
            }
            self.tell(
                ChangeRange {
                    since: 40,
                    until: 40,
                    complete: true,
                },
                Vec::new(),
            );
        }
    }
}

fn nobody(_: usize) -> bool {
    false
}

fn all(_: usize) -> bool {
    true
}

/// Found on zone of zeltplatz-rechen-fleet: the successor of a cut hall's
/// controller gave 773 of 1,329 machines back as never come up, 14 s before the
/// cut ended.
#[test]
fn a_hall_that_comes_back_is_taken_as_it_is() {
    for cut_ms in [20_000, 45_000, 60_000, 95_000] {
        let mut day = Day::new(true);
        day.pass(cut_ms, nobody);
        // The first half is back some seconds before the rest.
        day.pass(cut_ms + 12_000, |n| n % 2 == 0);
        day.pass(cut_ms + 16_000, all);
        if !day.leases_are_over() {
            day.pass(cut_ms + 60_000, all);
            assert_eq!(day.ended, None, "what runs is adopted");
        }
        assert_eq!(day.released, [], "a cut of {cut_ms} ms");
    }
}

/// The same where the cloud can't be asked: nothing is known of the machines
/// but the attempts on record.
#[test]
fn a_hall_is_waited_for_without_the_clouds_list() {
    let mut day = Day::new(false);
    day.pass(45_000, nobody);
    day.pass(100_000, all);
    assert_eq!(day.released, []);
}

/// A hall that stays away is given back once waiting has cost as much as new
/// machines; one that returns a second before keeps them all.
#[test]
fn a_hall_that_stays_away_is_given_back_after_a_bounded_time() {
    let mut day = Day::new(true);
    day.pass(400_000, nobody);
    assert_eq!(day.released.len(), MACHINES);
    let (first, last) = (day.released[0].0, day.released[MACHINES - 1].0);
    let over = BLIND_MOST_MS + TIMING.lease_ms;
    assert!(
        first > over + 2 * 20_000,
        "it may run on behind the cut, and costs a boot each: {first} ms"
    );
    assert!(last < over + 3 * 20_000, "{last} ms");

    let mut day = Day::new(true);
    day.pass(first - 1_000, nobody);
    day.pass(first + 10_000, all);
    assert_eq!(day.released, []);
}

/// Single machines are not a hall: they go after their lease and some seconds.
#[test]
fn a_few_silent_machines_are_given_back_for_themselves() {
    let mut day = Day::new(true);
    day.pass(100_000, |n| n > 1);
    let names: Vec<&MachineId> = day.released.iter().map(|(_, id)| id).collect();
    assert_eq!(names, [&machine(0), &machine(1)]);
    assert!(
        day.released
            .iter()
            .all(|(at, _)| (15_000..50_000).contains(at)),
        "{:?}",
        day.released
    );
}

/// The proof from time: not before every answer of earlier owners has run out,
/// and soon after. A machine that was heard is judged by what it says.
#[test]
fn the_end_of_what_earlier_owners_kept_alive_is_proven_from_time() {
    let mut day = Day::new(true);
    day.pass(110_000, nobody);
    let drifted = |ms: u64| ms + ms * DRIFT_PER_MILLE / 1_000;
    let least = drifted(BLIND_MOST_MS) + drifted(TIMING.lease_ms) + LEASE_MARGIN_MS;
    let (at, standing) = day.ended.expect("ended");
    assert_eq!(standing, AttemptState::Gone);
    assert!(
        (least..least + 300).contains(&at),
        "at {at} ms, least {least} ms"
    );
    assert_eq!(day.released, [], "the machine itself is still waited for");

    let mut day = Day::new(true);
    day.pass(60_000, nobody);
    day.pass(110_000, all);
    assert_eq!(day.ended, None, "it runs on");
}

/// Found on apart of zeltplatz-rechen-fleet: a controller that had stood still
/// for 32 s woke, and before it read that its part had another holder took
/// 3,392 attempts for ended that the successor kept alive.
#[test]
fn nothing_is_proven_from_time_without_a_later_word_from_the_store() {
    let mut day = Day::new(true);
    day.pass(12_000, all);
    day.word = false;
    day.pass(110_000, nobody);
    assert_eq!(day.ended, None, "who answered them meanwhile is not known");
    day.word = true;
    day.pass(110_200, nobody);
    assert_eq!(day.ended, Some((110_100, AttemptState::Gone)));

    let mut day = Day::new(true);
    day.word = false;
    day.pass(110_000, nobody);
    assert_eq!(
        day.ended, None,
        "the same for what earlier owners kept alive"
    );
}

/// A zone out of sight is told with the time until its work is proven over.
#[test]
fn what_is_out_of_sight_is_told() {
    let mut day = Day::new(true);
    day.pass(30_000, nobody);
    let view = day.tell(
        ChangeRange {
            since: 40,
            until: 40,
            complete: true,
        },
        Vec::new(),
    );
    let [zone] = view.partitioned_zones.as_slice() else {
        panic!("{:?}", view.partitioned_zones)
    };
    assert_eq!(zone.zone, "north");
    assert!((29_000..=30_000).contains(&zone.partitioned_for_ms), "{zone:?}");
    assert!((40_000..60_000).contains(&zone.presumed_lost_in_ms), "{zone:?}");
    day.pass(40_000, all);
    assert_eq!(
        day.tell(
            ChangeRange {
                since: 40,
                until: 40,
                complete: true
            },
            Vec::new()
        )
        .partitioned_zones,
        []
    );
}

/// Found on zone of zeltplatz-rechen-fleet: a controller that had just taken its
/// part back gave 135 empty machines of a hall back within seconds of its return.
#[test]
fn what_ran_before_a_part_was_taken_is_not_given_back_at_once() {
    let first_given_back = |ran: bool| {
        let mut owner = Owner::new(
            0,
            NEXT,
            1,
            TIMING,
            lemonweir_policy::embedded().expect("policy"),
            0,
        );
        owner.set_types([kind()].iter());
        if ran {
            // The cloud's list shows that they ran before this owner came.
            owner.listed(&(0..MACHINES).map(entry).collect::<Vec<_>>(), 50);
        }
        (1..700u64).map(|n| n * 100).find(|&now| {
            if now % 3_000 == 200 {
                for n in 0..MACHINES {
                    let said = Heartbeat {
                        fencing_token: NEXT << FENCE_BITS,
                        ..report(n, now)
                    };
                    assert!(owner.report(&said, None, now).is_some());
                }
            }
            owner.tick(now, now);
            !owner.releases().is_empty()
        })
    };
    let (late, soon) = (first_given_back(true), first_given_back(false));
    assert!(late.is_some_and(|at| at >= RETURN_KEEP_MS), "{late:?}");
    assert!(
        soon.is_some_and(|at| at < RETURN_KEEP_MS),
        "machines that are new are kept as briefly as before: {soon:?}"
    );
}
