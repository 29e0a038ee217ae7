//! The rules under seeded faults, in simulated time.

use std::sync::Arc;

use lemonweir_model::{JobId, JobKind, JobSpec, Priority, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::checker::{Checker, Place};
use lemonweir_simulator::ground::Load;
use lemonweir_simulator::history::History;
use lemonweir_simulator::sample::{id, job, site};
use lemonweir_simulator::scenario::{Chances, Link};
use lemonweir_simulator::world::{Planned, World};
use lemonweir_storage::records::{JobEndRecord, end_key};

const NO_FAULTS: Chances = Chances {
    lost_txn_reply: 0,
    late_txn: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};
const MANY_FAULTS: Chances = Chances {
    lost_txn_reply: 60,
    late_txn: 60,
    lost_command: 80,
    late_command: 80,
    lost_sync: 80,
    late_sync: 500,
};

fn world(seed: u64, hosts: u16, capacity: u32, chances: Chances) -> World {
    World::new(
        Arc::new(site(hosts, capacity, chances)),
        Vec::new(),
        seed,
        History::new(None),
    )
}

/// Submits a job that runs for so many s, withdrawn after a while if wanted.
fn submit(world: &mut World, spec: JobSpec, run_s: u64, withdraw_after_s: Option<u64>) {
    let load = Load {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken: false,
    };
    let withdraw_us = withdraw_after_s.map(|s| world.now + s * 1_000_000);
    world.submit_at(Planned {
        at_us: world.now + 1_000_000,
        load,
        withdraw_us,
    });
}

fn assert_kept(world: &World) {
    assert!(
        world.ground.checker.broken.is_empty(),
        "rules broken: {:#?}",
        world.ground.checker.broken
    );
}

fn live(world: &World) -> usize {
    world.workers.iter().flatten().map(|w| w.live()).sum()
}

/// A mix of jobs of both teams; returns those that must be done.
fn mix(world: &mut World) -> Vec<JobId> {
    for n in 0..6 {
        let withdrawn = (n == 3).then_some(75);
        submit(
            world,
            job(
                n,
                if n % 2 == 0 { "red" } else { "blue" },
                JobKind::Array,
                3 + u64::from(n),
            ),
            15,
            withdrawn,
        );
    }
    let mut spread = job(10, "blue", JobKind::Service, 3);
    spread.spread = true;
    spread.allow_spot = false;
    submit(world, spread, 15, Some(70));
    submit(world, job(11, "red", JobKind::Gang, 1), 15, None);
    submit(
        world,
        JobSpec {
            same_zone: true,
            ..job(12, "blue", JobKind::Gang, 6)
        },
        40,
        None,
    );
    [0, 1, 2, 4, 5, 11, 12].map(id).to_vec()
}

fn settle(world: &mut World, must: &[JobId], most_ms: u64) {
    let mut left = most_ms;
    while left > 0 && must.iter().any(|j| world.phase(j) != Some(JobPhase::Done)) {
        world.run(5_000);
        left = left.saturating_sub(5_000);
    }
    world.run(40_000);
    assert_kept(world);
    let open: Vec<&JobId> = must
        .iter()
        .filter(|j| world.phase(j) != Some(JobPhase::Done))
        .collect();
    assert!(open.is_empty(), "not done: {open:?}");
    assert!(world.ground.checker.starts > 20);
}

fn silence(world: &mut World, machines: usize, silent: bool) {
    world
        .workers
        .iter_mut()
        .flatten()
        .take(machines)
        .for_each(|w| w.silent = silent);
}

#[test]
fn a_quiet_day_finishes_everything() {
    let mut world = world(1, 3, 12, NO_FAULTS);
    let must = mix(&mut world);
    settle(&mut world, &must, 400_000);
}

#[test]
fn lost_and_late_messages_break_no_rule() {
    for seed in 0..12 {
        let mut world = world(seed, 3, 12, MANY_FAULTS);
        let must = mix(&mut world);
        settle(&mut world, &must, 900_000);
    }
}

#[test]
fn crashes_and_takeovers_break_no_rule() {
    for seed in 20..28 {
        let mut world = world(seed, 3, 12, MANY_FAULTS);
        let must = mix(&mut world);
        world.run(45_000);
        world.crash(0, 5_000_000);
        world.run(13_000);
        // Away for longer than its hold: another node takes the part.
        world.crash(1, 25_000_000);
        world.run(20_000);
        assert!(
            (0..3).any(|h| h != 1 && world.hosts[h].holds(1)),
            "the part is taken over"
        );
        world.run(20_000);
        assert!(world.hosts[1].holds(1), "the part is handed back");
        world.crash(2, 4_000_000);
        world.crash(0, 4_000_000);
        settle(&mut world, &must, 900_000);
    }
}

#[test]
fn silent_machines_break_no_rule() {
    for seed in 40..46 {
        let mut world = world(
            seed,
            3,
            12,
            Chances {
                late_command: 100,
                lost_command: 50,
                ..NO_FAULTS
            },
        );
        let must = mix(&mut world);
        world.run(50_000);
        silence(&mut world, 2, true);
        world.run(22_000);
        silence(&mut world, 2, false);
        settle(&mut world, &must, 900_000);
    }
}

#[test]
fn an_outage_of_the_store_breaks_no_rule() {
    let mut world = world(60, 3, 12, NO_FAULTS);
    let must = mix(&mut world);
    world.run(40_000);
    world.store.down = true;
    world.run(25_000);
    let now = world.now;
    world.store.recover(now);
    settle(&mut world, &must, 600_000);
}

/// Found on a hunt: the placer's node and the owner's node were cut apart, and
/// the stop order for a withdrawn job waited for the end of the cut.
#[test]
fn a_withdrawal_crosses_a_cut_between_controllers() {
    let mut world = world(70, 2, 12, NO_FAULTS);
    let mut service = job(1, "red", JobKind::Service, 4);
    service.spread = true;
    submit(&mut world, service, 1, Some(75));
    world.run(60_000);
    assert_eq!(
        live(&world),
        4,
        "the service must be up on both sides of the cut"
    );
    world.down.insert(Link::Hosts(0, 1));
    world.run(75_000);
    assert_kept(&world);
    assert_eq!(live(&world), 0);
}

/// The same where neither side's state fits one message: what is told goes in
/// pieces, and none is larger than a transaction of the store may be.
#[test]
fn a_withdrawal_crosses_a_cut_in_a_large_fleet() {
    let mut world = world(71, 2, 150, NO_FAULTS);
    for n in 1..9 {
        let mut wide = job(n, "blue", JobKind::Array, 60);
        wide.spread = n == 8;
        submit(&mut world, wide, 300, Some(138));
    }
    world.run(120_000);
    assert!(live(&world) >= 480, "{} tasks run", live(&world));
    world.down.insert(Link::Hosts(0, 1));
    // The owner behind the cut comes back with a new token: it is told all
    // that is wanted of it from nothing, through the store.
    world.crash(1, 4_000_000);
    world.run(78_000);
    assert_kept(&world);
    assert_eq!(live(&world), 0);
    assert!(
        world.largest_mail > 16 * 1024,
        "the fleet must be large enough to need pieces: {}",
        world.largest_mail
    );
    assert!(world.largest_mail <= 26 * 1024, "{}", world.largest_mail);
}

/// Found on apart of both grown deployments: a node that the store refused
/// alone took users' requests all the while and refused each. Now it takes them
/// for as long as others carry them, and leaves users to others where none can.
#[test]
fn a_node_without_any_way_to_the_store_leaves_users_to_others() {
    let mut world = world(72, 3, 12, NO_FAULTS);
    world.run(20_000);
    world.down.insert(Link::Store(1));
    world.run(6_000);
    assert_eq!([0, 1, 2].map(|h| world.ready(h)), [true; 3]);
    world.down.extend([Link::Hosts(0, 1), Link::Hosts(1, 2)]);
    world.run(8_000);
    assert_eq!([0, 1, 2].map(|h| world.ready(h)), [true, false, true]);
    world.down.remove(&Link::Store(1));
    world.run(1_000);
    assert!(world.ready(1));
    world.down.clear();
    world.run(6_000);
    // In an outage for all nobody else could do better.
    world.store.down = true;
    for _ in 0..20 {
        world.run(500);
        assert_eq!([0, 1, 2].map(|h| world.ready(h)), [true; 3]);
    }
}

/// Found on apart of zeltplatz-rechen-fleet: a controller that was cut from the
/// workers alone kept its part, and 552 machines killed 2,600 tasks with their
/// leases though both other controllers heard them.
#[test]
fn a_part_goes_to_who_hears_its_machines_where_nobody_can_carry() {
    let mut world = world(75, 3, 12, NO_FAULTS);
    let service = JobSpec {
        spread: true,
        allow_spot: false,
        ..job(1, "blue", JobKind::Service, 40)
    };
    submit(&mut world, service, 1, None);
    world.run(60_000);
    assert!(world.hosts[1].holds(1));
    world.down.insert(Link::WorkerTiming(1));
    for _ in 0..40 {
        world.run(1_000);
        assert_eq!(live(&world), 40);
        assert!(
            world.hosts[1].holds(1),
            "what is carried needs no other holder"
        );
    }
    world.down.clear();
    world.run(20_000);
    world.down.insert(Link::WorkerTiming(1));
    world.down.extend([Link::Hosts(0, 1), Link::Hosts(1, 2)]);
    for _ in 0..40 {
        world.run(1_000);
        // A worker that comes round to the cut controller just before the part moves
        // waits 5 s for it, which a lease of 14 s may not outlast: one machine's, at
        // any time, and not for long.
        assert!(live(&world) >= 36);
    }
    assert_eq!(live(&world), 40);
    assert!(
        world.hosts[0].holds(1) || world.hosts[2].holds(1),
        "another holds the part"
    );
    world.down.clear();
    world.run(40_000);
    assert!(world.hosts[1].holds(1), "it is handed back after a while");
    assert_eq!(live(&world), 40);
    assert_kept(&world);
}

// ---- the checker itself ----------------------------------------------------

fn checker() -> Checker {
    let mut c = Checker::new(
        [(
            "red".to_owned(),
            Resources {
                milli_cpus: u64::MAX,
                milli_gpus: 2_000,
                memory_mb: u64::MAX,
            },
        )]
        .into(),
        34_000_000,
    );
    let spread = JobSpec {
        spread: true,
        ..job(1, "red", JobKind::Service, 2)
    };
    for spec in [
        spread,
        job(2, "blue", JobKind::Array, 2),
        job(3, "red", JobKind::Array, 2),
    ] {
        c.submitted(&Arc::new(spec));
    }
    c.submitted(&Arc::new(JobSpec {
        allow_spot: false,
        same_zone: true,
        ..job(4, "blue", JobKind::Gang, 2)
    }));
    c
}

fn on<'a>(machine: usize, zone: &'a str) -> Place<'a> {
    Place {
        machine,
        kind: "box",
        zone,
        spot: false,
    }
}

fn first_fault(c: &Checker) -> &str {
    c.broken.first().map(String::as_str).unwrap_or_default()
}

#[test]
fn the_checker_sees_each_rule_broken() {
    let mut c = checker();
    c.started(&id(2), 0, on(1, "north"), 1);
    c.left(&id(2), 0, 1);
    c.started(&id(2), 0, on(2, "north"), 3);
    assert!(c.broken.is_empty());
    c.started(&id(2), 0, on(1, "north"), 4);
    assert!(first_fault(&c).contains("ran_twice"));

    let mut c = checker();
    c.started(&id(1), 0, on(1, "north"), 1);
    c.started(&id(1), 1, on(2, "north"), 2);
    assert!(first_fault(&c).contains("wrong_place"));
    let mut c = checker();
    c.started(&id(4), 0, on(1, "north"), 1);
    assert!(c.broken.is_empty());
    c.started(&id(4), 1, on(2, "south"), 1);
    assert!(first_fault(&c).contains("wrong_place"));
    let mut c = checker();
    c.started(
        &id(4),
        0,
        Place {
            spot: true,
            ..on(1, "north")
        },
        1,
    );
    assert!(first_fault(&c).contains("wrong_place"));

    let mut c = checker();
    c.started(&id(1), 0, on(1, "north"), 1);
    c.started(&id(3), 0, on(1, "north"), 1);
    assert!(c.broken.is_empty());
    c.started(&id(3), 1, on(1, "north"), 1);
    assert!(first_fault(&c).contains("quota"));

    let mut c = checker();
    c.started(&id(2), 0, on(1, "north"), 1);
    c.withdrawn(&id(2), 10);
    c.check_time(34_000_010);
    assert!(c.broken.is_empty());
    c.check_time(34_000_011);
    assert!(first_fault(&c).contains("ran_cancelled"));

    let done = |n| CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![Write::put(
            end_key(&id(n)),
            &JobEndRecord {
                phase: JobPhase::Done,
            },
        )],
    };
    let mut c = checker();
    c.task_done(&id(2), 0);
    c.written(&done(2), 5);
    assert!(first_fault(&c).contains("not_done"), "task 1 is not done");

    let mut c = checker();
    c.task_done(&id(2), 0);
    c.task_done(&id(2), 1);
    c.withdrawn(&id(2), 4);
    c.written(&done(2), 5);
    assert!(first_fault(&c).contains("went_back"));

    let mut c = checker();
    c.task_done(&id(2), 0);
    c.task_done(&id(2), 1);
    c.written(&done(2), 5);
    c.told(&id(2), Some(JobPhase::Running), true, 1, 6);
    c.told(&id(2), Some(JobPhase::Done), true, 6, 7);
    c.told(&id(2), Some(JobPhase::Running), true, 6, 8);
    assert!(c.broken.is_empty(), "asked before the end was told");
    c.told(&id(2), Some(JobPhase::Running), true, 7, 9);
    assert!(first_fault(&c).contains("went_back"));

    let mut c = checker();
    c.told(&id(2), Some(JobPhase::Done), true, 1, 2);
    assert!(first_fault(&c).contains("not_done"));
    let mut c = checker();
    c.told(&id(2), None, true, 1, 2);
    assert!(first_fault(&c).contains("forgotten"));
    let mut c = checker();
    c.told(&id(9), Some(JobPhase::Queued), false, 1, 2);
    assert!(first_fault(&c).contains("invented"));
}

// ---- preemption --------------------------------------------------------------

/// Where no room is left, a higher priority pushes out a lower one, and what
/// was pushed out is done in the end.
#[test]
fn a_higher_priority_pushes_out_a_lower() {
    let mut world = one_box(80);
    submit(&mut world, job(1, "blue", JobKind::Array, 4), 120, None);
    world.run(60_000);
    submit(
        &mut world,
        JobSpec {
            priority: Priority::Production,
            ..job(2, "blue", JobKind::Service, 1)
        },
        1,
        Some(8),
    );
    world.run(7_000);
    assert!(
        world.live().contains_key(&id(2)),
        "the replica has pushed a batch task out"
    );
    world.run(400_000);
    assert_eq!(world.phase(&id(1)), Some(JobPhase::Done));
    assert_kept(&world);
}

/// A site of a single machine.
fn one_box(seed: u64) -> World {
    let mut scenario = site(2, 1, NO_FAULTS);
    scenario.kinds[0].capacity = (0, 1);
    scenario.kinds[0].machine.zones.truncate(1);
    World::new(Arc::new(scenario), Vec::new(), seed, History::new(None))
}

/// Found on afspraakloket: two jobs pushed each other out for ever, one by its
/// priority and the other by its guarantee.
#[test]
fn nobody_is_pushed_out_for_ever() {
    let mut world = one_box(81);
    // Blue has no guarantee but the higher priority; red is within its own.
    submit(
        &mut world,
        JobSpec {
            priority: Priority::High,
            ..job(1, "blue", JobKind::Array, 4)
        },
        20,
        None,
    );
    world.run(40_000);
    submit(&mut world, job(2, "red", JobKind::Array, 4), 20, None);
    world.run(200_000);
    assert_kept(&world);
    assert!(
        world.ground.checker.starts <= 16,
        "{} starts for 8 tasks",
        world.ground.checker.starts
    );
    assert_eq!(world.phase(&id(1)), Some(JobPhase::Done));
    assert_eq!(world.phase(&id(2)), Some(JobPhase::Done));
}

// ---- withdrawals and blindness ---------------------------------------------------

/// Works a site until a service of 4 replicas is up on both sides, then cuts
/// controller 1 from the store and from the other one.
fn cut_off(seed: u64) -> World {
    let mut world = world(seed, 2, 12, NO_FAULTS);
    let service = JobSpec {
        spread: true,
        allow_spot: false,
        ..job(1, "red", JobKind::Service, 4)
    };
    submit(&mut world, service, 1, None);
    world.run(60_000);
    assert_eq!(live(&world), 4, "the service must be up on both sides");
    world.down.insert(Link::Store(1));
    world.down.insert(Link::Hosts(0, 1));
    world
}

/// An owner that is cut off keeps its tasks; a withdrawal is told only once the
/// last of them is proven over, and not before.
#[test]
fn a_withdrawal_is_not_told_while_an_owner_out_of_reach_may_run_it() {
    let mut world = cut_off(73);
    world.run(5_000);
    world.withdraw(&id(1));
    world.run(20_000);
    assert!(
        live(&world) > 0,
        "behind the cut they go on: the owner there knows of nothing"
    );
    assert_eq!(world.phase(&id(1)), None, "so it is told to nobody");
    world.down.clear();
    world.run(20_000);
    assert_eq!(live(&world), 0);
    assert_eq!(world.phase(&id(1)), Some(JobPhase::Withdrawn));
    assert_kept(&world);
}

/// A store that is away for longer than a lease costs no task: what is kept
/// alive by workers' reports needs no word from it for that long.
#[test]
fn an_outage_of_the_store_longer_than_a_lease_costs_no_task() {
    let mut world = world(74, 3, 12, NO_FAULTS);
    let service = JobSpec {
        allow_spot: false,
        ..job(1, "red", JobKind::Service, 4)
    };
    submit(&mut world, service, 1, None);
    world.run(60_000);
    let starts = world.ground.checker.starts;
    assert_eq!(live(&world), 4);
    world.store.down = true;
    for _ in 0..45 {
        world.run(1_000);
        assert_eq!(live(&world), 4);
    }
    let now = world.now;
    world.store.recover(now);
    world.run(30_000);
    assert_eq!((live(&world), world.ground.checker.starts), (4, starts));
    assert_kept(&world);
}

/// A dozen drawn worlds with drawn troubles; `lemonweir-simulator hunt` plays more.
#[test]
fn drawn_days_break_no_rule_and_services_come_back() {
    for seed in 1..=12 {
        let day = lemonweir_simulator::hunt::day(seed, 90);
        assert!(
            day.faults.is_empty(),
            "seed {seed}: {:?} with\n{}",
            day.faults,
            day.troubles.concat()
        );
        assert!(day.starts > 50, "seed {seed}: {} starts", day.starts);
    }
}
