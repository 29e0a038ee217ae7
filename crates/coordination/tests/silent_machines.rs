//! Silent and partitioned machines: how long they are waited for, when they are released,
//! and when the leases that earlier owners renewed have expired.

mod support;

use std::collections::BTreeSet;

use lemonweir_coordination::owner::{
    CLOCK_DRIFT_PER_MILLE, LEASE_MARGIN_MS, Owner, ZONE_RECOVERY_MS,
};
use lemonweir_model::MachineId;
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, MAX_STORE_OUTAGE_GRACE_MS};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::peer::{AttemptState, ChangeRange, ObservedState, ShardView};
use lemonweir_protocol::worker::Heartbeat;
use support::*;

const MACHINES: usize = 40;
/// Fencing token of the successor.
const SUCCESSOR_TOKEN: u64 = TOKEN + 1;
/// Interval between reads of the provider's inventory, ms.
const INVENTORY_INTERVAL_MS: u64 = 4_000;

fn inventory_entry(n: usize) -> InstanceEntry {
    InstanceEntry {
        id: machine_id(n),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        phase: "running".into(),
        age_s: 500.0,
    }
}

/// A successor whose placer wants one attempt on each of 40 machines, none of which has sent
/// it a heartbeat.
struct Scenario {
    owner: Owner,
    now: u64,
    seq: u64,
    released: Vec<(u64, MachineId)>,
    /// When the first attempt was first published as ended, ms, and in which state.
    ended: Option<(u64, AttemptState)>,
    have: ObservedState,
    provider_answers: bool,
    /// Whether the store answers.
    store_answers: bool,
    /// Machines whose first incarnation has sent a heartbeat.
    first_incarnation_seen: BTreeSet<usize>,
}

impl Scenario {
    fn new(provider_answers: bool) -> Self {
        let mut owner = Owner::new(
            0,
            SUCCESSOR_TOKEN,
            1,
            TIMING,
            lemonweir_policy::embedded().expect("policy"),
            0,
        );
        owner.set_machine_types([machine_type()].iter());
        let mut scenario = Self {
            owner,
            now: 0,
            seq: 0,
            released: Vec::new(),
            ended: None,
            have: ObservedState::default(),
            provider_answers,
            store_answers: true,
            first_incarnation_seen: BTreeSet::new(),
        };
        let wants = (0..MACHINES)
            .map(|n| desired_attempt(n as u32, n))
            .collect();
        scenario.sync_placer(
            ChangeRange {
                since: 0,
                until: 40,
                complete: true,
            },
            wants,
        );
        scenario
    }

    fn sync_placer(
        &mut self,
        range: ChangeRange,
        wants: Vec<lemonweir_protocol::peer::DesiredAttempt>,
    ) -> ShardView {
        self.seq += 1;
        let message = lemonweir_protocol::peer::SyncRequest {
            to_fencing_token: SUCCESSOR_TOKEN,
            ..sync_request(self.seq, range, wants, self.have)
        };
        let view = self
            .owner
            .sync(&message, MAX_MESSAGE_BYTES, self.now)
            .expect("sync accepted");
        self.have = observed_state(&view);
        if let Some(a) = view
            .attempts
            .iter()
            .find(|a| a.id == desired_attempt(0, 0).id && a.state.is_terminal())
        {
            self.ended.get_or_insert((self.now, a.state));
        }
        view
    }

    /// True once every lease that an earlier owner renewed has expired: the machines are in
    /// another incarnation then, without tasks.
    fn earlier_leases_expired(&self) -> bool {
        self.now > MAX_STORE_OUTAGE_GRACE_MS + TIMING.lease_ms
    }

    /// Advances the time to `until`; machines for which `reachable` holds send a heartbeat
    /// every 3 s.
    fn advance_to(&mut self, until: u64, reachable: impl Fn(usize) -> bool) {
        while self.now < until {
            self.now += 100;
            if self.provider_answers && self.now.is_multiple_of(INVENTORY_INTERVAL_MS) {
                let all: Vec<InstanceEntry> = (0..MACHINES).map(inventory_entry).collect();
                self.owner.apply_inventory(&all, self.now);
            }
            if self.now.is_multiple_of(TIMING.heartbeat_interval_ms) {
                for n in (0..MACHINES).filter(|&n| reachable(n)) {
                    let in_first_incarnation =
                        self.first_incarnation_seen.contains(&n) || !self.earlier_leases_expired();
                    if in_first_incarnation {
                        self.first_incarnation_seen.insert(n);
                    }
                    let tasks = if in_first_incarnation {
                        vec![running_task(n)]
                    } else {
                        Vec::new()
                    };
                    let machine_incarnation = if in_first_incarnation { 1 } else { 2 };
                    let heartbeat = Heartbeat {
                        sequence: self.now,
                        fencing_token: SUCCESSOR_TOKEN << MACHINE_TOKEN_BITS,
                        incarnation: machine_incarnation,
                        tasks,
                        ..heartbeat(n, 0)
                    };
                    self.owner.handle_heartbeat(&heartbeat, None, self.now);
                }
            }
            let store_answer_at = if self.store_answers { self.now } else { 0 };
            self.owner.tick(self.now, store_answer_at);
            let names = self.owner.begin_releases();
            if !names.is_empty() {
                self.released
                    .extend(names.iter().map(|id| (self.now, id.clone())));
                self.owner.handle_release_result(&names, true, self.now);
            }
            self.sync_placer(
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

/// A successor in the controller of a partitioned zone released 773 of 1,329 machines as never
/// registered, 14 s before the partition healed.
#[test]
fn reconnected_zone_keeps_its_machines() {
    for partition_ms in [20_000, 45_000, 60_000, 95_000] {
        let mut scenario = Scenario::new(true);
        scenario.advance_to(partition_ms, nobody);
        // Half of the machines reconnect 12 s before the rest.
        scenario.advance_to(partition_ms + 12_000, |n| n % 2 == 0);
        scenario.advance_to(partition_ms + 16_000, all);
        if !scenario.earlier_leases_expired() {
            scenario.advance_to(partition_ms + 60_000, all);
            assert_eq!(scenario.ended, None, "running attempts are kept");
        }
        assert_eq!(scenario.released, [], "a partition of {partition_ms} ms");
    }
}

/// Without the provider's inventory, only the recorded attempts show which machines exist.
#[test]
fn partitioned_zone_is_waited_for_without_the_inventory() {
    let mut scenario = Scenario::new(false);
    scenario.advance_to(45_000, nobody);
    scenario.advance_to(100_000, all);
    assert_eq!(scenario.released, []);
}

/// The machines of a lasting partition are released once waiting has cost as much as new machines;
/// if the zone reconnects a second earlier, all are kept.
#[test]
fn machines_of_a_lasting_partition_are_released_after_a_bounded_time() {
    let mut scenario = Scenario::new(true);
    scenario.advance_to(400_000, nobody);
    assert_eq!(scenario.released.len(), MACHINES);
    let (first, last) = (scenario.released[0].0, scenario.released[MACHINES - 1].0);
    let leases_expired_at = MAX_STORE_OUTAGE_GRACE_MS + TIMING.lease_ms;
    assert!(
        first > leases_expired_at + 2 * 20_000,
        "tasks may run on behind the partition, and a new machine costs a boot: first release at {first} ms"
    );
    assert!(
        last < leases_expired_at + 3 * 20_000,
        "last release at {last} ms"
    );

    let mut scenario = Scenario::new(true);
    scenario.advance_to(first - 1_000, nobody);
    scenario.advance_to(first + 10_000, all);
    assert_eq!(scenario.released, []);
}

/// A few silent machines are no zone partition: they are released some seconds after their leases
/// have expired.
#[test]
fn few_silent_machines_are_released_individually() {
    let mut scenario = Scenario::new(true);
    scenario.advance_to(100_000, |n| n > 1);
    let names: Vec<&MachineId> = scenario.released.iter().map(|(_, id)| id).collect();
    assert_eq!(names, [&machine_id(0), &machine_id(1)]);
    assert!(
        scenario
            .released
            .iter()
            .all(|(at, _)| (15_000..50_000).contains(at)),
        "{:?}",
        scenario.released
    );
}

/// Inherited attempts end soon after every lease that earlier owners renewed has expired, and not
/// before. Those on a machine that sends heartbeats are judged by the heartbeats.
#[test]
fn inherited_attempts_end_once_all_earlier_leases_expired() {
    let mut scenario = Scenario::new(true);
    scenario.advance_to(110_000, nobody);
    let drifted = |ms: u64| ms + ms * CLOCK_DRIFT_PER_MILLE / 1_000;
    let least = drifted(MAX_STORE_OUTAGE_GRACE_MS) + drifted(TIMING.lease_ms) + LEASE_MARGIN_MS;
    let (at, state) = scenario.ended.expect("ended");
    assert_eq!(state, AttemptState::Gone);
    assert!(
        (least..least + 300).contains(&at),
        "at {at} ms, least {least} ms"
    );
    assert_eq!(scenario.released, [], "no machine is released yet");

    let mut scenario = Scenario::new(true);
    scenario.advance_to(60_000, nobody);
    scenario.advance_to(110_000, all);
    assert_eq!(scenario.ended, None, "the attempt continues to run");
}

/// A controller resumed after a stall of 32 s and, before it read that its shard had another
/// leader, counted 3,392 attempts as ended that the successor kept alive.
#[test]
fn no_inherited_lease_expires_without_a_later_store_answer() {
    let mut scenario = Scenario::new(true);
    scenario.advance_to(12_000, all);
    scenario.store_answers = false;
    scenario.advance_to(110_000, nobody);
    assert_eq!(
        scenario.ended, None,
        "another owner may have renewed their leases meanwhile"
    );
    scenario.store_answers = true;
    scenario.advance_to(110_200, nobody);
    assert_eq!(scenario.ended, Some((110_100, AttemptState::Gone)));

    let mut scenario = Scenario::new(true);
    scenario.store_answers = false;
    scenario.advance_to(110_000, nobody);
    assert_eq!(
        scenario.ended, None,
        "the same holds for leases that earlier owners renewed"
    );
}

/// A partitioned zone is published with how long it has been partitioned and the time until its
/// leases have expired, until its machines reconnect.
#[test]
fn partitioned_zones_are_published() {
    let mut scenario = Scenario::new(true);
    scenario.advance_to(30_000, nobody);
    let view = scenario.sync_placer(
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
    assert!(
        (29_000..=30_000).contains(&zone.partitioned_for_ms),
        "{zone:?}"
    );
    assert!(
        (40_000..60_000).contains(&zone.presumed_lost_in_ms),
        "{zone:?}"
    );
    scenario.advance_to(40_000, all);
    assert_eq!(
        scenario
            .sync_placer(
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

/// A controller that had just reacquired its shard released 135 idle machines of a zone within
/// seconds of its return.
#[test]
fn machines_running_before_failover_are_not_released_at_once() {
    let first_release_at = |ran: bool| {
        let mut owner = Owner::new(
            0,
            SUCCESSOR_TOKEN,
            1,
            TIMING,
            lemonweir_policy::embedded().expect("policy"),
            0,
        );
        owner.set_machine_types([machine_type()].iter());
        if ran {
            // The provider's inventory shows that they ran before this owner came.
            owner.apply_inventory(&(0..MACHINES).map(inventory_entry).collect::<Vec<_>>(), 50);
        }
        (1..700u64).map(|n| n * 100).find(|&now| {
            if now % 3_000 == 200 {
                for n in 0..MACHINES {
                    let heartbeat = Heartbeat {
                        fencing_token: SUCCESSOR_TOKEN << MACHINE_TOKEN_BITS,
                        ..heartbeat(n, now)
                    };
                    assert!(owner.handle_heartbeat(&heartbeat, None, now).is_some());
                }
            }
            owner.tick(now, now);
            !owner.begin_releases().is_empty()
        })
    };
    let (late, soon) = (first_release_at(true), first_release_at(false));
    assert!(late.is_some_and(|at| at >= ZONE_RECOVERY_MS), "{late:?}");
    assert!(
        soon.is_some_and(|at| at < ZONE_RECOVERY_MS),
        "new machines are kept no longer than usual: {soon:?}"
    );
}
