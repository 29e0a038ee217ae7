//! Failure scenarios from operations: slow boots, broken jobs, overload, query floods and stalled
//! processes, in the simulator with the production decision code.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemonweir_model::constants::{
    IDLE_WORK_PATIENCE_MS, MAX_HEADROOM_TASKS, MAX_TASKS, MIN_OVERDUE_REPLACEMENTS,
    STORE_LEASE_TTL_MS,
};
use lemonweir_model::{JobKind, JobSpec, Priority};
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::fixtures::{id, job, site};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::{Link, MessageFaults, Scenario};
use lemonweir_simulator::simulation::{BootDisturbance, Simulation};

const NO_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 0,
    late_cas: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};

fn simulation(seed: u64, capacity: u32) -> Simulation {
    new_simulation(seed, site(3, capacity, NO_FAULTS))
}

fn new_simulation(seed: u64, site: Scenario) -> Simulation {
    Simulation::new(Arc::new(site), Vec::new(), seed, History::new(None))
}

/// Submits a job whose tasks run for `run_s`.
fn submit(simulation: &mut Simulation, spec: JobSpec, run_s: u64) {
    submit_planned(simulation, spec, run_s, false, None);
}

/// Submits a job whose tasks run for `run_s`, or always fail if `broken`, and withdraws it after
/// `withdraw_after_s` if given.
fn submit_planned(
    simulation: &mut Simulation,
    spec: JobSpec,
    run_s: u64,
    broken: bool,
    withdraw_after_s: Option<u64>,
) {
    let job = SimulatedJob {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken,
    };
    let withdraw_us = withdraw_after_s.map(|s| simulation.now + s * 1_000_000);
    simulation.submit(PlannedSubmission {
        at_us: simulation.now,
        job,
        withdraw_us,
    });
}

fn assert_no_violation(simulation: &Simulation, what: &str) {
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "{what}: invariants violated: {:#?}",
        simulation.workload.checker.violations
    );
}

/// Those of the jobs that are not done.
fn unfinished(simulation: &Simulation, jobs: impl IntoIterator<Item = u32>) -> Vec<u32> {
    jobs.into_iter()
        .filter(|n| simulation.final_phase(&id(*n)) != Some(JobPhase::Done))
        .collect()
}

/// Number of machines that are provisioned and not released.
fn provisioned_machines(simulation: &Simulation) -> usize {
    simulation.workers.iter().flatten().count()
}

/// Time from `since_us` until all `tasks` tasks of the job have started once, s; `None` if some
/// task has not started.
fn start_delay_s(simulation: &Simulation, n: u32, tasks: u32, since_us: u64) -> Option<u64> {
    let at = |t: u32| {
        simulation
            .workload
            .task_started
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

/// Machines boot within a second, late or never, in one zone or all, while instance lists are
/// 20 s stale. All jobs complete, and the fleet stays within the demand, the headroom and the
/// replacements of overdue machines, which are limited to an eighth of the fleet.
#[test]
fn fast_slow_and_failed_boots_are_handled() {
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
        let what = format!("boots take {factor} times as long, {fail} fail, {zone:?}");
        let mut scenario = site(3, 40, NO_FAULTS);
        scenario.cloud.list_staleness_s = 20.0;
        let mut simulation = new_simulation(k as u64, scenario);
        simulation.run(5_000);
        simulation.boot_disturbance = Some(BootDisturbance {
            factor,
            failure_chance: fail,
            zone: zone.map(str::to_owned),
        });
        for n in 0..12 {
            let shape = [JobKind::Array, JobKind::Gang, JobKind::Array][n as usize % 3];
            submit(&mut simulation, job(n, "blue", shape, 4), 30);
        }
        let mut most = 0;
        for _ in 0..40 {
            simulation.run(10_000);
            most = most.max(provisioned_machines(&simulation));
        }
        // 48 tasks, four on a machine, plus headroom and replacements for overdue machines.
        assert!(
            most <= 12 + MAX_HEADROOM_TASKS as usize + 2 * MIN_OVERDUE_REPLACEMENTS * 3,
            "{what}: {most} machines"
        );
        simulation.boot_disturbance = None;
        simulation.run(300_000);
        assert_eq!(unfinished(&simulation, 0..12), [0; 0], "{what}");
        assert!(
            provisioned_machines(&simulation) <= 1,
            "{what}: {} machines are not released",
            provisioned_machines(&simulation)
        );
        assert_no_violation(&simulation, &what);
    }
}

/// The controller that provisions machines crashes before it receives the answer. Its machines
/// are still used or released.
#[test]
fn machines_provisioned_before_a_crash_are_used() {
    for seed in 0..4 {
        let mut simulation = simulation(seed, 40);
        simulation.run(5_000);
        simulation.boot_disturbance = Some(BootDisturbance {
            factor: 0.05,
            failure_chance: 0.0,
            zone: None,
        });
        submit(&mut simulation, job(0, "blue", JobKind::Array, 16), 30);
        // 1 ms at a time, until machines are provisioned.
        while provisioned_machines(&simulation) == 0 {
            simulation.run(1);
        }
        for controller in 0..3 {
            simulation.crash(controller, 3_000_000);
        }
        simulation.run(120_000);
        assert_eq!(unfinished(&simulation, 0..1), [0; 0]);
        simulation.run(60_000);
        assert_eq!(provisioned_machines(&simulation), 0, "released once idle");
        assert_no_violation(&simulation, "crash between provisioning and answer");
    }
}

// ---- broken jobs -----------------------------------------------------------------

/// One job in 12 is broken, among jobs of several kinds and beside a faulty machine. Every other
/// job completes, and the broken ones are withdrawn.
#[test]
fn broken_jobs_do_not_delay_others() {
    for seed in 0..3 {
        let mut simulation = simulation(seed, 60);
        simulation.run(5_000);
        let mut broken = BTreeSet::new();
        for round in 0..10u32 {
            for k in 0..10 {
                let n = round * 10 + k;
                let (shape, tasks) =
                    [(JobKind::Array, 6), (JobKind::Gang, 3), (JobKind::Array, 1)][n as usize % 3];
                let is_broken = n % 12 == 5;
                if is_broken {
                    broken.insert(n);
                }
                submit_planned(
                    &mut simulation,
                    job(n, ["red", "blue"][n as usize % 2], shape, tasks),
                    15,
                    is_broken,
                    is_broken.then_some(200),
                );
            }
            if round == 3 {
                let faulty: Vec<usize> = simulation
                    .workers
                    .iter()
                    .flatten()
                    .map(|w| w.number)
                    .take(1)
                    .collect();
                faulty
                    .iter()
                    .for_each(|n| simulation.workers[*n].as_mut().expect("machine").faulty = true);
            }
            simulation.run(12_000);
        }
        simulation.run(400_000);
        assert_eq!(
            unfinished(&simulation, (0..100).filter(|n| !broken.contains(n))),
            [0; 0],
            "seed {seed}"
        );
        for n in &broken {
            assert_eq!(
                simulation.final_phase(&id(*n)),
                Some(JobPhase::Withdrawn),
                "job {n}"
            );
        }
        assert_no_violation(&simulation, "broken jobs");
    }
}

/// A huge broken array: after its first attempts one task runs at a time, and no machine is
/// provisioned for it.
#[test]
fn a_broken_array_of_100_000_tasks_is_tried_one_task_at_a_time() {
    let mut simulation = simulation(1, 30);
    simulation.run(5_000);
    for n in 0..6 {
        submit(&mut simulation, job(n, "blue", JobKind::Array, 3), 400);
    }
    simulation.run(60_000);
    submit_planned(
        &mut simulation,
        job(50, "red", JobKind::Array, MAX_TASKS),
        15,
        true,
        Some(300),
    );
    simulation.run(60_000);
    let (before, machines) = (
        simulation.workload.checker.starts,
        provisioned_machines(&simulation),
    );
    simulation.run(200_000);
    let tries = simulation.workload.checker.starts - before;
    assert!((1..=12).contains(&tries), "{tries} attempts in 200 s");
    assert!(
        provisioned_machines(&simulation) <= machines,
        "{} machines after {machines}",
        provisioned_machines(&simulation)
    );
    simulation.run(120_000);
    assert_eq!(simulation.final_phase(&id(50)), Some(JobPhase::Withdrawn));
    assert_no_violation(&simulation, "a broken array");
}

/// A broken gang holds no resources between its attempts, and its withdrawal between two of them
/// is confirmed.
#[test]
fn a_broken_gang_releases_its_resources() {
    let mut simulation = simulation(2, 2);
    simulation.run(5_000);
    submit_planned(
        &mut simulation,
        job(0, "blue", JobKind::Gang, 8),
        20,
        true,
        Some(260),
    );
    for n in 1..20 {
        submit(&mut simulation, job(n, "blue", JobKind::Array, 4), 20);
        simulation.run(10_000);
    }
    simulation.run(200_000);
    assert_eq!(unfinished(&simulation, 1..20), [0; 0]);
    assert_eq!(simulation.final_phase(&id(0)), Some(JobPhase::Withdrawn));
    assert_no_violation(&simulation, "a broken gang");
}

// ---- teams without guaranteed quota -----------------------------------------------------------

/// Time that a burst of replicas waited to start, s, with or without low-priority work of a team
/// without guaranteed quota beside it and with or without a controller crash; and the simulation.
fn measure_burst_delay(seed: u64, with_low_priority_work: bool, crash: bool) -> (u64, Simulation) {
    let mut simulation = simulation(seed, 40);
    for n in 0..4 {
        submit(
            &mut simulation,
            JobSpec {
                allow_spot: false,
                ..job(n, "red", JobKind::Service, 1)
            },
            1,
        );
    }
    simulation.run(60_000);
    if with_low_priority_work {
        let idle = JobSpec {
            priority: Priority::Low,
            gpus: 0.0,
            ..job(100, "blue", JobKind::Array, MAX_TASKS)
        };
        submit(&mut simulation, idle, 60);
        for n in 0..2_000 {
            submit(
                &mut simulation,
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
    simulation.run(30_000);
    let at = simulation.now;
    for n in 10..14 {
        submit(
            &mut simulation,
            JobSpec {
                priority: Priority::Production,
                allow_spot: false,
                ..job(n, "red", JobKind::Service, 2)
            },
            1,
        );
    }
    simulation.run(1_000);
    if crash {
        simulation.crash(1, 3_000_000);
    }
    simulation.run(60_000);
    let waits: Vec<u64> = (10..14)
        .map(|n| start_delay_s(&simulation, n, 2, at).unwrap_or(u64::MAX))
        .collect();
    (waits.into_iter().max().unwrap_or(0), simulation)
}

/// A team without guaranteed quota runs a low-priority array of 100,000 tasks and 2,000 tiny jobs.
/// A burst of the other team starts within a boot and an image pull, as without them, even if a
/// controller crashes.
#[test]
fn teams_without_quota_do_not_delay_others() {
    for (seed, crash) in [(0, false), (1, true)] {
        let (delay_alone, _) = measure_burst_delay(seed, false, crash);
        let (delay_beside, simulation) = measure_burst_delay(seed, true, crash);
        // The longest boot, an image pull, and the absence of the crashed controller.
        let bound = 30 + 2 + 3 * u64::from(crash) + 1;
        assert!(
            delay_alone <= bound && delay_beside <= bound,
            "crash {crash}: {delay_beside} s beside the team without quota, {delay_alone} s without it"
        );
        let array = simulation
            .workload
            .task_started
            .keys()
            .filter(|(job, _)| *job == id(100))
            .count();
        let tiny = (1_000..3_000)
            .filter(|n| simulation.workload.task_started.contains_key(&(id(*n), 0)))
            .count();
        assert!(
            array > 0 && tiny > 50,
            "work of the team without quota must start: {array} tasks and {tiny} tiny jobs"
        );
        // On-demand machines are not provisioned for low-priority work.
        let on_demand = simulation
            .workers
            .iter()
            .flatten()
            .filter(|w| !w.spot)
            .count();
        assert!(on_demand <= 8, "{on_demand} on-demand machines");
        assert_no_violation(&simulation, "a team without quota");
    }
}

/// Low-priority work completes in the end even if no spot machine is available.
#[test]
fn low_priority_work_starts_in_the_end() {
    let mut scenario = site(3, 4, NO_FAULTS);
    scenario.machine_kinds[0].capacity.spot = 0;
    let mut simulation = new_simulation(3, scenario);
    submit(
        &mut simulation,
        JobSpec {
            priority: Priority::Low,
            ..job(0, "blue", JobKind::Array, 4)
        },
        20,
    );
    simulation.run(IDLE_WORK_PATIENCE_MS - 10_000);
    assert_eq!(provisioned_machines(&simulation), 0);
    simulation.run(120_000);
    assert_eq!(unfinished(&simulation, 0..1), [0; 0]);
}

// ---- query floods --------------------------------------------------------------------

/// Users poll 8 and 50 times as often, and on average every third poll comes with another one for
/// an unknown job, while a controller is cut off from the store. Answers never regress, and all jobs complete.
#[test]
fn poll_floods_violate_no_invariant() {
    for (seed, factor) in [(1, 8.0), (2, 50.0)] {
        let mut simulation = simulation(seed, 20);
        for n in 0..30 {
            submit(
                &mut simulation,
                job(n, ["red", "blue"][n as usize % 2], JobKind::Array, 2),
                20,
            );
        }
        simulation.run(30_000);
        simulation.poll_factor = factor;
        simulation.links_down.insert(Link::Store(0));
        simulation.run(30_000);
        simulation.links_down.remove(&Link::Store(0));
        simulation.run(30_000);
        simulation.poll_factor = 1.0;
        simulation.run(200_000);
        assert_eq!(unfinished(&simulation, 0..30), [0; 0], "{factor}");
        assert_no_violation(&simulation, "query floods");
    }
}

// ---- process stalls ------------------------------------------------------------------

/// Two of the three controllers stall for 0.5 to 60 s at each step of a job, with and without a
/// partition. No invariant is violated, and all jobs end.
#[test]
fn process_stalls_at_every_step_violate_no_invariant() {
    // ms after the submission: record, provisioning, launch, run, end, withdrawal.
    for (k, at_ms) in [20, 300, 22_000, 30_000, 45_000, 61_000]
        .into_iter()
        .enumerate()
    {
        for (i, pause_ms) in [500, 4_000, 9_500, 16_000, 60_000].into_iter().enumerate() {
            let cut = [
                None,
                Some(Link::Store(1)),
                Some(Link::Controllers(0, 1)),
                Some(Link::Workers(1)),
            ][(k + i) % 4]
                .clone();
            let what = format!("stall of {pause_ms} ms at {at_ms} ms, {cut:?}");
            let mut simulation = simulation((10 * k + i) as u64, 12);
            simulation.run(5_000);
            for n in 0..6 {
                submit(
                    &mut simulation,
                    job(
                        n,
                        ["red", "blue"][n as usize % 2],
                        [JobKind::Array, JobKind::Gang][n as usize / 3],
                        3,
                    ),
                    20,
                );
            }
            submit_planned(
                &mut simulation,
                job(9, "blue", JobKind::Service, 3),
                1,
                false,
                Some(60),
            );
            simulation.run(at_ms);
            for controller in 0..3 {
                let until = simulation.now + pause_ms * 1_000;
                if controller != 2 {
                    (
                        simulation.controllers[controller].stalled_until,
                        simulation.controllers[controller].busy_until,
                    ) = (until, until);
                }
            }
            simulation.links_down.extend(cut.clone());
            simulation.run(pause_ms + 20_000);
            simulation.links_down.retain(|l| Some(l) != cut.as_ref());
            simulation.run(250_000);
            assert_eq!(unfinished(&simulation, 0..6), [0; 0], "{what}");
            assert_eq!(
                simulation.final_phase(&id(9)),
                Some(JobPhase::Withdrawn),
                "{what}"
            );
            assert_no_violation(&simulation, &what);
        }
    }
}

/// A process that stalled for longer than its store lease answers no worker before the store
/// has shown that it still leads the shard.
#[test]
fn a_stalled_leader_answers_nothing_before_it_has_proved_its_lease() {
    let mut simulation = simulation(5, 12);
    submit(&mut simulation, job(0, "red", JobKind::Service, 4), 1);
    simulation.run(40_000);
    let stalled = (0..3)
        .find(|h| {
            simulation.controllers[*h].leads(*h as u16)
                && simulation
                    .workers
                    .iter()
                    .flatten()
                    .any(|w| w.controller == *h)
        })
        .expect("a leader with workers");
    // When the process resumes, it reaches neither the store nor a peer.
    let until = simulation.now + (STORE_LEASE_TTL_MS + 2_000) * 1_000;
    (
        simulation.controllers[stalled].stalled_until,
        simulation.controllers[stalled].busy_until,
    ) = (until, until);
    simulation.links_down.insert(Link::Store(stalled));
    for other in (0..3).filter(|h| *h != stalled) {
        simulation
            .links_down
            .insert(Link::Controllers(stalled.min(other), stalled.max(other)));
    }
    simulation.run(STORE_LEASE_TTL_MS + 3_000);
    let core = simulation.controllers[stalled]
        .core
        .as_ref()
        .expect("running");
    assert!(
        core.lease_unconfirmed(),
        "nothing has confirmed its store lease"
    );
    simulation.links_down.clear();
    simulation.run(60_000);
    assert!(
        !simulation.controllers[stalled]
            .core
            .as_ref()
            .expect("running")
            .lease_unconfirmed()
    );
    assert_no_violation(&simulation, "a long stall");
}
