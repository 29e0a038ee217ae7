//! The operators' bad nights, with the real decisions in the simulated world.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemonweir_model::constants::*;
use lemonweir_model::{JobKind, JobSpec, Priority};
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::ground::Load;
use lemonweir_simulator::history::History;
use lemonweir_simulator::sample::{id, job, site};
use lemonweir_simulator::scenario::{Chances, Link, Scenario};
use lemonweir_simulator::world::{Planned, World};

const NO_FAULTS: Chances = Chances {
    lost_txn_reply: 0,
    late_txn: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};

fn world(seed: u64, capacity: u32) -> World {
    built(seed, site(3, capacity, NO_FAULTS))
}

fn built(seed: u64, site: Scenario) -> World {
    World::new(Arc::new(site), Vec::new(), seed, History::new(None))
}

/// Submits a job whose tasks run for so many s.
fn submit(world: &mut World, spec: JobSpec, run_s: u64) {
    plan(world, spec, run_s, false, None);
}

fn plan(world: &mut World, spec: JobSpec, run_s: u64, broken: bool, withdraw_after_s: Option<u64>) {
    let load = Load {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken,
    };
    let withdraw_us = withdraw_after_s.map(|s| world.now + s * 1_000_000);
    world.submit_at(Planned {
        at_us: world.now,
        load,
        withdraw_us,
    });
}

fn assert_kept(world: &World, what: &str) {
    assert!(
        world.ground.checker.broken.is_empty(),
        "{what}: rules broken: {:#?}",
        world.ground.checker.broken
    );
}

fn done(world: &World, jobs: impl IntoIterator<Item = u32>) -> Vec<u32> {
    jobs.into_iter()
        .filter(|n| world.phase(&id(*n)) != Some(JobPhase::Done))
        .collect()
}

/// Machines rented and not given back.
fn rented(world: &World) -> usize {
    world.workers.iter().flatten().count()
}

/// s until the first start of each task of a job, the latest.
fn waited(world: &World, n: u32, tasks: u32, since_us: u64) -> Option<u64> {
    let at = |t: u32| {
        world
            .ground
            .up
            .get(&(id(n), t))
            .map(|at| at.saturating_sub(since_us) / 1_000_000)
    };
    (0..tasks)
        .map(at)
        .collect::<Option<Vec<u64>>>()?
        .into_iter()
        .max()
}

// ---- boots -------------------------------------------------------------------

/// In a second, late, or never, for one zone or all, with lists 20 s late: all is
/// done, and the fleet stays within what was asked for and an eighth.
#[test]
fn boots_in_a_second_late_or_never_are_lived_with() {
    for (k, (factor, fail, zone)) in [
        (0.05, 0.0, None),
        (8.0, 0.0, Some("north")),
        (8.0, 0.3, None),
        (1.0, 1.0, Some("north")),
        (1.0, 0.5, None),
    ]
    .into_iter()
    .enumerate()
    {
        let what = format!("{factor} times, {fail} never, {zone:?}");
        let mut scenario = site(3, 40, NO_FAULTS);
        scenario.cloud.list_staleness_s = 20.0;
        let mut world = built(k as u64, scenario);
        world.run(5_000);
        world.boots = Some((factor, fail, zone.map(str::to_owned)));
        for n in 0..12 {
            let shape = [JobKind::Array, JobKind::Gang, JobKind::Array][n as usize % 3];
            submit(&mut world, job(n, "blue", shape, 4), 30);
        }
        let mut most = 0;
        for _ in 0..40 {
            world.run(10_000);
            most = most.max(rented(&world));
        }
        // 48 tasks, four on a machine, and what is expected to come.
        assert!(
            most <= 12 + SPARE_MOST as usize + 2 * OVERDUE_LEAST * 3,
            "{what}: {most} machines"
        );
        world.boots = None;
        world.run(300_000);
        assert_eq!(done(&world, 0..12), [0; 0], "{what}");
        assert!(
            rented(&world) <= 1,
            "{what}: {} machines are left",
            rented(&world)
        );
        assert_kept(&world, &what);
    }
}

/// The controller that rented ends before it hears the answer: its machines are
/// used or given back all the same.
#[test]
fn machines_of_a_crashed_renter_are_used() {
    for seed in 0..4 {
        let mut world = world(seed, 40);
        world.run(5_000);
        world.boots = Some((0.05, 0.0, None));
        submit(&mut world, job(0, "blue", JobKind::Array, 16), 30);
        // Step by step, until a request is out.
        while rented(&world) == 0 {
            world.run(1);
        }
        for host in 0..3 {
            world.crash(host, 3_000_000);
        }
        world.run(120_000);
        assert_eq!(done(&world, 0..1), [0; 0]);
        world.run(60_000);
        assert_eq!(rented(&world), 0, "given back once idle");
        assert_kept(&world, "crash between booking and answer");
    }
}

// ---- jobs with a mistake -------------------------------------------------------

/// One job in some with a mistake, of every shape, beside faulty machines: every
/// sound job is done, and what the others cost is bounded.
#[test]
fn jobs_with_a_mistake_harm_nobody() {
    for seed in 0..3 {
        let mut world = world(seed, 60);
        world.run(5_000);
        let mut broken = BTreeSet::new();
        for round in 0..10u32 {
            for k in 0..10 {
                let n = round * 10 + k;
                let (shape, tasks) =
                    [(JobKind::Array, 6), (JobKind::Gang, 3), (JobKind::Array, 1)][n as usize % 3];
                let bad = n % 12 == 5;
                if bad {
                    broken.insert(n);
                }
                plan(
                    &mut world,
                    job(n, ["red", "blue"][n as usize % 2], shape, tasks),
                    15,
                    bad,
                    bad.then_some(200),
                );
            }
            if round == 3 {
                let struck: Vec<usize> = world
                    .workers
                    .iter()
                    .flatten()
                    .map(|w| w.number)
                    .take(1)
                    .collect();
                struck
                    .iter()
                    .for_each(|n| world.workers[*n].as_mut().expect("there").faulty = true);
            }
            world.run(12_000);
        }
        world.run(400_000);
        assert_eq!(
            done(&world, (0..100).filter(|n| !broken.contains(n))),
            [0; 0],
            "seed {seed}"
        );
        for n in &broken {
            assert_eq!(world.phase(&id(*n)), Some(JobPhase::Withdrawn), "job {n}");
        }
        assert_kept(&world, "mistakes");
    }
}

/// A huge array with a mistake: after its first tries one task runs at a time, and
/// nothing is rented for it.
#[test]
fn a_broken_array_of_100_000_tasks_is_tried_one_by_one() {
    let mut world = world(1, 30);
    world.run(5_000);
    for n in 0..6 {
        submit(&mut world, job(n, "blue", JobKind::Array, 3), 400);
    }
    world.run(60_000);
    plan(
        &mut world,
        job(50, "red", JobKind::Array, MAX_TASKS),
        15,
        true,
        Some(300),
    );
    world.run(60_000);
    let (before, machines) = (world.ground.checker.starts, rented(&world));
    world.run(200_000);
    let tries = world.ground.checker.starts - before;
    assert!((1..=12).contains(&tries), "{tries} tries in 200 s");
    assert!(
        rented(&world) <= machines,
        "{} machines after {machines}",
        rented(&world)
    );
    world.run(120_000);
    assert_eq!(world.phase(&id(50)), Some(JobPhase::Withdrawn));
    assert_kept(&world, "a broken array");
}

/// A gang with a mistake holds no room between its tries, and its withdrawal
/// between two of them is told.
#[test]
fn a_broken_gang_leaves_its_room_to_others() {
    let mut world = world(2, 2);
    world.run(5_000);
    plan(
        &mut world,
        job(0, "blue", JobKind::Gang, 8),
        20,
        true,
        Some(260),
    );
    for n in 1..20 {
        submit(&mut world, job(n, "blue", JobKind::Array, 4), 20);
        world.run(10_000);
    }
    world.run(200_000);
    assert_eq!(done(&world, 1..20), [0; 0]);
    assert_eq!(world.phase(&id(0)), Some(JobPhase::Withdrawn));
    assert_kept(&world, "a broken gang");
}

// ---- guests ----------------------------------------------------------------------

/// s that a burst of replicas waited, with or without guests beside it.
fn burst(seed: u64, guests: bool, crash: bool) -> (u64, World) {
    let mut world = world(seed, 40);
    for n in 0..4 {
        submit(
            &mut world,
            JobSpec {
                allow_spot: false,
                ..job(n, "red", JobKind::Service, 1)
            },
            1,
        );
    }
    world.run(60_000);
    if guests {
        let idle = JobSpec {
            priority: Priority::Low,
            gpus: 0.0,
            ..job(100, "blue", JobKind::Array, MAX_TASKS)
        };
        submit(&mut world, idle, 60);
        for n in 0..2_000 {
            submit(
                &mut world,
                JobSpec {
                    priority: Priority::Low,
                    cpus: 0.5,
                    gpus: 0.0,
                    memory_gb: 0.5,
                    ..job(1_000 + n, "blue", JobKind::Array, 1)
                },
                4,
            );
        }
    }
    world.run(30_000);
    let at = world.now;
    for n in 10..14 {
        submit(
            &mut world,
            JobSpec {
                priority: Priority::Production,
                allow_spot: false,
                ..job(n, "red", JobKind::Service, 2)
            },
            1,
        );
    }
    world.run(1_000);
    if crash {
        world.crash(1, 3_000_000);
    }
    world.run(60_000);
    let waits: Vec<u64> = (10..14)
        .map(|n| waited(&world, n, 2, at).unwrap_or(u64::MAX))
        .collect();
    (waits.into_iter().max().unwrap_or(0), world)
}

/// A guest's idle array of 100,000 and 2,000 tiny jobs: a burst of the other team
/// starts within a boot and a fetch, as without them, also when a controller ends.
#[test]
fn guests_cost_others_nothing() {
    for (seed, crash) in [(0, false), (1, true)] {
        let (alone, _) = burst(seed, false, crash);
        let (beside, world) = burst(seed, true, crash);
        // The longest boot, a fetch, and what a controller is away.
        let bound = 30 + 2 + 3 * u64::from(crash) + 1;
        assert!(
            alone <= bound && beside <= bound,
            "crash {crash}: {beside} s beside guests, {alone} s without"
        );
        let array = world
            .ground
            .up
            .keys()
            .filter(|(job, _)| *job == id(100))
            .count();
        let tiny = (1_000..3_000)
            .filter(|n| world.ground.up.contains_key(&(id(*n), 0)))
            .count();
        assert!(
            array > 0 && tiny > 50,
            "the guests' work starts: {array} tasks and {tiny} tiny jobs"
        );
        // Idle work is not what ordinary machines are rented for.
        let ordinary = world.workers.iter().flatten().filter(|w| !w.spot).count();
        assert!(ordinary <= 8, "{ordinary} ordinary machines");
        assert_kept(&world, "guests");
    }
}

/// Idle work that no cheap machine is left for starts in the end.
#[test]
fn idle_work_starts_in_the_end() {
    let mut scenario = site(3, 4, NO_FAULTS);
    scenario.kinds[0].capacity.1 = 0;
    let mut world = built(3, scenario);
    submit(
        &mut world,
        JobSpec {
            priority: Priority::Low,
            ..job(0, "blue", JobKind::Array, 4)
        },
        20,
    );
    world.run(IDLE_PATIENCE_MS - 10_000);
    assert_eq!(rented(&world), 0);
    world.run(120_000);
    assert_eq!(done(&world, 0..1), [0; 0]);
}

// ---- floods of questions -----------------------------------------------------------

/// 8 and 50 times as many polls, a third for jobs of nobody, during a cut from the
/// store: answers never go back, and the day's work is done.
#[test]
fn floods_of_polls_break_nothing() {
    for (seed, factor) in [(1, 8.0), (2, 50.0)] {
        let mut world = world(seed, 20);
        for n in 0..30 {
            submit(
                &mut world,
                job(n, ["red", "blue"][n as usize % 2], JobKind::Array, 2),
                20,
            );
        }
        world.run(30_000);
        world.asked_often = factor;
        world.down.insert(Link::Store(0));
        world.run(30_000);
        world.down.remove(&Link::Store(0));
        world.run(30_000);
        world.asked_often = 1.0;
        world.run(200_000);
        assert_eq!(done(&world, 0..30), [0; 0], "{factor}");
        assert_kept(&world, "polls");
    }
}

// ---- standing still ------------------------------------------------------------------

/// Pauses of 0.5 to 60 s of each controller at each step of a job, alone and
/// inside a cut: no rule is broken and all is done.
#[test]
fn pauses_at_every_step_break_no_rule() {
    // ms after the submission: record, rental, launch, run, end, withdrawal.
    for (k, at_ms) in [20, 300, 22_000, 30_000, 45_000, 61_000]
        .into_iter()
        .enumerate()
    {
        for (i, pause_ms) in [500, 4_000, 9_500, 16_000, 60_000].into_iter().enumerate() {
            let cut = [
                None,
                Some(Link::Store(1)),
                Some(Link::Hosts(0, 1)),
                Some(Link::WorkerTiming(1)),
            ][(k + i) % 4]
                .clone();
            let what = format!("{pause_ms} ms at {at_ms} ms, {cut:?}");
            let mut world = world((10 * k + i) as u64, 12);
            world.run(5_000);
            for n in 0..6 {
                submit(
                    &mut world,
                    job(
                        n,
                        ["red", "blue"][n as usize % 2],
                        [JobKind::Array, JobKind::Gang][n as usize / 3],
                        3,
                    ),
                    20,
                );
            }
            plan(
                &mut world,
                job(9, "blue", JobKind::Service, 3),
                1,
                false,
                Some(60),
            );
            world.run(at_ms);
            for host in 0..3 {
                let until = world.now + pause_ms * 1_000;
                if host != 2 {
                    (world.hosts[host].frozen_until, world.hosts[host].busy_until) = (until, until);
                }
            }
            world.down.extend(cut.clone());
            world.run(pause_ms + 20_000);
            world.down.retain(|l| Some(l) != cut.as_ref());
            world.run(250_000);
            assert_eq!(done(&world, 0..6), [0; 0], "{what}");
            assert_eq!(world.phase(&id(9)), Some(JobPhase::Withdrawn), "{what}");
            assert_kept(&world, &what);
        }
    }
}

/// One that stood still for longer than its hold answers no worker before the store
/// has shown that it still holds the part.
#[test]
fn no_answer_after_a_long_pause_without_proof() {
    let mut world = world(5, 12);
    submit(&mut world, job(0, "red", JobKind::Service, 4), 1);
    world.run(40_000);
    let held = (0..3)
        .find(|h| {
            world.hosts[*h].holds(*h as u16) && world.workers.iter().flatten().any(|w| w.node == *h)
        })
        .expect("one with workers");
    // Only its store is lost when it goes on.
    let until = world.now + (HOLD_TTL_MS + 2_000) * 1_000;
    (world.hosts[held].frozen_until, world.hosts[held].busy_until) = (until, until);
    world.down.insert(Link::Store(held));
    for other in (0..3).filter(|h| *h != held) {
        world
            .down
            .insert(Link::Hosts(held.min(other), held.max(other)));
    }
    world.run(HOLD_TTL_MS + 3_000);
    let core = world.hosts[held].core.as_ref().expect("it runs");
    assert!(core.unproven(), "nothing has shown what it holds");
    world.down.clear();
    world.run(60_000);
    assert!(!world.hosts[held].core.as_ref().expect("it runs").unproven());
    assert_kept(&world, "a long pause");
}
