//! The largest jobs start in time while controllers crash, in the simulator with the production
//! decision code.

use std::sync::Arc;

use lemonweir_model::constants::MAX_TASKS;
use lemonweir_model::{JobKind, JobSpec, Priority};
use lemonweir_simulator::fixtures::{id, job, site};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::{MessageFaults, Scenario};
use lemonweir_simulator::simulation::Simulation;

const NO_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 0,
    late_cas: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};

/// Time within which the largest jobs must start, s: the start deadline of low-priority work.
const MAX_START_DELAY_S: u64 = 200;

/// A fleet without spot instances.
fn without_spot_instances(controllers: u16, capacity: u32) -> Scenario {
    let mut scenario = site(controllers, capacity, NO_FAULTS);
    scenario.machine_kinds[0].capacity.spot = 0;
    scenario
}

fn new_simulation(seed: u64, scenario: Scenario) -> Simulation {
    Simulation::new(Arc::new(scenario), Vec::new(), seed, History::new(None))
}

fn submit(simulation: &mut Simulation, spec: JobSpec, run_s: u64) {
    let job = SimulatedJob {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken: false,
    };
    simulation.submit(PlannedSubmission {
        at_us: simulation.now,
        job,
        withdraw_us: None,
    });
}

/// Time from `since_us` to the first start of a task of the job, s; `None` if none has started.
fn start_delay_s(simulation: &Simulation, n: u32, since_us: u64) -> Option<u64> {
    let starts = simulation
        .workload
        .task_started
        .iter()
        .filter(|((job, _), _)| *job == id(n))
        .map(|(_, at)| *at);
    starts
        .min()
        .map(|at| at.saturating_sub(since_us) / 1_000_000)
}

fn assert_no_violation(simulation: &Simulation, what: &str) {
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "{what}: invariants violated: {:#?}",
        simulation.workload.checker.violations
    );
}

/// A low-priority array as large as the fleet starts in time beside a burst that lacks room all
/// the time, while each controller crashes in turn. One of them places the array and crashes just
/// before the array may provision a machine to meet its start deadline. The array costs one
/// additional machine.
#[test]
fn a_low_priority_array_as_large_as_the_fleet_begins_beside_a_burst_and_a_crash() {
    for (seed, controllers) in [(1, 3), (2, 7)] {
        let mut simulation = new_simulation(seed, without_spot_instances(controllers, 80));
        simulation.run(10_000);
        let at = simulation.now;
        submit(
            &mut simulation,
            JobSpec {
                priority: Priority::Low,
                ..job(900, "blue", JobKind::Array, 600)
            },
            60,
        );
        for step in 0..100u32 {
            // A growing burst of whole machines: something lacks room all the time.
            for k in 0..2 {
                let spec = JobSpec {
                    priority: Priority::High,
                    cpus: 16.0,
                    gpus: 4.0,
                    ..job(step * 2 + k, "blue", JobKind::Array, 1)
                };
                submit(&mut simulation, spec, 40);
            }
            simulation.run(2_000);
            if step >= 20 && step % 20 == 10 {
                for controller in 0..usize::from(controllers) {
                    if controller as u32 % 3 == step / 20 % 3 {
                        simulation.crash(controller, 300_000);
                    }
                }
            }
        }
        let delay_s = start_delay_s(&simulation, 900, at);
        assert!(
            delay_s.is_some_and(|s| s <= MAX_START_DELAY_S),
            "{controllers} controllers: the array started after {delay_s:?} s"
        );
        assert_no_violation(&simulation, "a low-priority array beside a burst");
    }
}

/// Hundreds of small low-priority jobs that were submitted first do not keep the largest jobs of
/// other classes from starting, and no more machines are provisioned than the first tasks need.
#[test]
fn the_largest_low_priority_job_begins_beside_hundreds_of_small_jobs() {
    let mut simulation = new_simulation(3, without_spot_instances(3, 80));
    simulation.run(10_000);
    for n in 0..400 {
        submit(
            &mut simulation,
            JobSpec {
                priority: Priority::Low,
                ..job(n, "blue", JobKind::Array, 1)
            },
            200,
        );
    }
    simulation.run(1_000);
    let at = simulation.now;
    submit(
        &mut simulation,
        JobSpec {
            priority: Priority::Low,
            class: "render".into(),
            ..job(900, "blue", JobKind::Array, 3_000)
        },
        60,
    );
    submit(
        &mut simulation,
        JobSpec {
            priority: Priority::Low,
            class: "train".into(),
            ..job(901, "blue", JobKind::Gang, 8)
        },
        60,
    );
    simulation.run(100_000);
    let machines = simulation.workers.iter().flatten().count();
    assert_eq!(
        machines, 0,
        "no machine is provisioned while low-priority work can wait for low-cost capacity"
    );
    simulation.run(100_000);
    for n in [900, 901] {
        let delay_s = start_delay_s(&simulation, n, at);
        assert!(
            delay_s.is_some_and(|s| s <= MAX_START_DELAY_S),
            "job {n} started after {delay_s:?} s"
        );
    }
    // Four tasks on a machine, and a few more machines where the gang is placed apart.
    let machines = simulation.workers.iter().flatten().count();
    assert!(machines <= (400 + 1 + 8) / 4 + 10, "{machines} machines");
    assert_no_violation(&simulation, "small low-priority jobs");
}

/// An array of tasks of 0.1 CPU and a service of as many replicas as its team's quota allows,
/// while controllers crash. One array has 100,000 tasks, far too many for its fleet; the other
/// fits. Both the array and the service start. Of the array that fits, half the tasks start, and
/// small jobs that are submitted later do not wait for it.
#[test]
fn huge_arrays_begin_without_starving_others() {
    for (seed, tasks, capacity) in [(4, MAX_TASKS, 10), (5, 8_000, 60)] {
        let mut simulation = new_simulation(seed, without_spot_instances(3, capacity));
        simulation.run(10_000);
        let at = simulation.now;
        submit(
            &mut simulation,
            JobSpec {
                priority: Priority::Production,
                ..job(901, "red", JobKind::Service, 12)
            },
            1,
        );
        let tiny = |n: u32, tasks: u64| JobSpec {
            cpus: 0.1,
            gpus: 0.0,
            memory_gb: 0.05,
            ..job(n, "blue", JobKind::Array, tasks)
        };
        submit(&mut simulation, tiny(900, tasks), 150);
        simulation.run(5_000);
        simulation.crash(1, 300_000);
        simulation.run(60_000);
        let later = simulation.now;
        for n in 0..10 {
            submit(&mut simulation, tiny(n, 2), 20);
        }
        simulation.run(5_000);
        simulation.crash(0, 300_000);
        simulation.run(60_000);
        for n in [900, 901] {
            let delay_s = start_delay_s(&simulation, n, at);
            assert!(
                delay_s.is_some_and(|s| s <= 60),
                "job {n} started after {delay_s:?} s"
            );
        }
        if tasks < MAX_TASKS {
            let started = simulation
                .workload
                .task_started
                .keys()
                .filter(|(job, _)| *job == id(900))
                .count();
            assert!(
                started as u64 * 2 >= tasks,
                "{started} of {tasks} tasks started"
            );
            for n in 0..10 {
                let delay_s = start_delay_s(&simulation, n, later);
                assert!(
                    delay_s.is_some_and(|s| s <= 40),
                    "job {n} started after {delay_s:?} s"
                );
            }
        }
        assert_no_violation(&simulation, "a huge array");
    }
}
