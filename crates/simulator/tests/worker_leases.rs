//! Worker leases under faults: unreachable machines, delayed duplicates of heartbeats, machines
//! and controllers that restart at once, and a controller that reaches only its workers. The
//! faults occur singly, in pairs and during a partition, with 3 and 7 controllers and leases of 14
//! to 26.5 s.

use std::sync::Arc;

use lemonweir_simulator::history::History;
use lemonweir_simulator::load_generator::synthetic;
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::simulation::Simulation;

const UNREACHABLE: &str = "at_s = 55\nfor_s = 45\nkind = 'deaf'\nshare = 0.3";
const ANSWERS_LOST: &str = "at_s = 55\nfor_s = 45\nkind = 'deaf'\nshare = 0.3\nonly = 'answers'";
const COMMANDS_LOST: &str = "at_s = 55\nfor_s = 45\nkind = 'deaf'\nshare = 0.5\nonly = 'commands'";
const ZONE_UNREACHABLE: &str = "at_s = 55\nfor_s = 45\nkind = 'deaf'\nzone = 'a'";
const UNREACHABLE_FROM_CONTROLLER: &str =
    "at_s = 55\nfor_s = 45\nkind = 'deaf'\nshare = 1.0\ncontroller = 0";
const DUPLICATES: &str =
    "at_s = 25\nfor_s = 110\nkind = 'late_copies'\nshare = 1.0\nlow_s = 1\nhigh_s = 80";
const ISOLATED: &str = "at_s = 65\nfor_s = 70\nkind = 'alone'\ncontroller = 1";
const MACHINE_RESTARTS: &str = "at_s = 70\nfor_s = 1\nkind = 'reborn'\nshare = 0.3";
const CRASH: &str = "at_s = 73\nfor_s = 0.2\nkind = 'crash'\ncontroller = 0";
const LONG_CRASH: &str = "at_s = 60\nfor_s = 30\nkind = 'crash'\ncontroller = 0";
const PARTITION: &str = "at_s = 50\nfor_s = 40\nkind = 'cut_zone'\nzone = 'a'";

/// A simulation of 240 s of services, arrays and gangs on machines of two zones, with the given
/// faults.
fn run_with_faults(controllers: u16, lease_s: f64, seed: u64, faults: &[&str]) -> Simulation {
    let faults: String = faults.iter().map(|f| format!("[[fault]]\n{f}\n")).collect();
    let text = format!(
        "name = 'hearing'\nduration_s = 240\ncontrollers = {controllers}\nzones = ['a', 'b']\npoll_s = 5\n\
         [workers]\nlease_s = {lease_s}\ncancel_s = {}\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\nmemory_gb = 64\nboot_s = 15\nordinary = 40\nspot = 20\nspot_price = 0.3\nat_start = 14\n\
         [[team]]\nname = 'red'\ncpus_max = 120\n[[team]]\nname = 'blue'\n\
         [[class]]\nname = 'serve'\nteams = ['red']\nshape = 'service'\npriority = 'production'\ntasks = 4\nspread = true\n\
         run_s = 10000\ncpus = 4\nat_start = 4\n\
         [[class]]\nname = 'work'\nteams = ['blue']\ntasks = {{ dist = 'uniform', low = 1, high = 6 }}\nspot = true\n\
         run_s = {{ dist = 'uniform', low = 10, high = 60 }}\ncpus = 4\nimage_gb = 2\nper_min = 8\ncheckpoint_s = 10\nsave_s = 2\n\
         [[class]]\nname = 'train'\nteams = ['blue']\nshape = 'gang'\ntasks = 4\nrun_s = 40\ncpus = 8\nimage_gb = 2\nper_min = 2\n\
         checkpoint_s = 10\nsave_s = 2\n{faults}",
        lease_s + 20.0
    );
    let scenario =
        Arc::new(Scenario::parse("hearing", &text).unwrap_or_else(|faults| panic!("{faults:?}")));
    let load = synthetic(&scenario, seed);
    Simulation::new(scenario, load, seed, History::new(None))
}

/// Number of live replicas; 16 are desired.
fn live_replicas(simulation: &Simulation) -> usize {
    let services = simulation
        .workload
        .jobs
        .iter()
        .filter(|(_, l)| l.spec.class == "serve")
        .map(|(id, _)| id);
    services
        .map(|id| simulation.live_tasks().get(id).copied().unwrap_or(0))
        .sum()
}

/// Runs a simulation to its end, asserts that all services are up and no invariant was violated,
/// and returns how many tasks were killed because their worker's lease expired.
fn tasks_killed_by_lease(controllers: u16, lease_s: f64, seed: u64, faults: &[&str]) -> u64 {
    let what = format!("{controllers} controllers, {lease_s} s, seed {seed}, {faults:?}");
    let mut simulation = run_with_faults(controllers, lease_s, seed, faults);
    simulation.run(240_000);
    let (up, workload) = (live_replicas(&simulation), &simulation.workload);
    assert!(
        workload.checker.violations.is_empty(),
        "{what}: {:#?}",
        workload.checker.violations
    );
    assert_eq!(up, 16, "{what}: replicas that run at the end");
    assert!(
        workload.checker.starts > 60,
        "{what}: {} starts",
        workload.checker.starts
    );
    workload.killed_by_lease
}

/// Runs the faults with 3 controllers and a short lease and with 7 and a long one, and returns the
/// number of tasks killed in both.
fn tasks_killed_in_both_sites(faults: &[&str]) -> u64 {
    tasks_killed_by_lease(3, 14.0, 1, faults) + tasks_killed_by_lease(7, 26.5, 4, faults)
}

#[test]
fn unreachable_machines_lose_their_lease_and_violate_no_invariant() {
    for fault in [UNREACHABLE, ANSWERS_LOST, ZONE_UNREACHABLE] {
        assert!(
            tasks_killed_in_both_sites(&[fault]) > 0,
            "{fault}: some lease must expire"
        );
    }
}

#[test]
fn lost_commands_or_lost_messages_of_one_controller_expire_no_lease() {
    for fault in [COMMANDS_LOST, UNREACHABLE_FROM_CONTROLLER] {
        assert_eq!(tasks_killed_in_both_sites(&[fault]), 0, "{fault}");
    }
}

#[test]
fn duplicates_and_short_restarts_expire_no_lease() {
    for fault in [DUPLICATES, CRASH] {
        assert_eq!(tasks_killed_in_both_sites(&[fault]), 0, "{fault}");
    }
    tasks_killed_in_both_sites(&[MACHINE_RESTARTS]);
}

/// The isolated controller's store lease expires and another controller takes its shard. Its
/// workers keep reporting to it until it stops, and then reach the successor before their own
/// leases expire.
#[test]
fn workers_of_an_isolated_controller_reach_its_successor() {
    for lease_s in [14.0, 20.0, 26.5] {
        assert_eq!(
            tasks_killed_by_lease(3, lease_s, 2, &[ISOLATED]),
            0,
            "a lease of {lease_s} s"
        );
    }
    assert_eq!(tasks_killed_by_lease(7, 14.0, 3, &[ISOLATED]), 0);
    // One of the two electing controllers restarts within 0.2 s, and heartbeats are duplicated.
    tasks_killed_by_lease(
        3,
        14.0,
        5,
        &[
            ISOLATED,
            "at_s = 76.3\nfor_s = 0.2\nkind = 'crash'\ncontroller = 2",
            DUPLICATES,
        ],
    );
}

#[test]
fn pairs_of_faults_violate_no_invariant() {
    let pairs = [
        [UNREACHABLE, DUPLICATES],
        [UNREACHABLE, LONG_CRASH],
        [ANSWERS_LOST, MACHINE_RESTARTS],
        [ZONE_UNREACHABLE, ISOLATED],
        [UNREACHABLE_FROM_CONTROLLER, MACHINE_RESTARTS],
        [DUPLICATES, LONG_CRASH],
        [DUPLICATES, MACHINE_RESTARTS],
        [ISOLATED, MACHINE_RESTARTS],
        [ISOLATED, CRASH],
        [MACHINE_RESTARTS, CRASH],
    ];
    for (k, pair) in pairs.iter().enumerate() {
        let (controllers, lease_s) = [(3, 14.0), (7, 26.5), (3, 26.5), (7, 14.0)][k % 4];
        tasks_killed_by_lease(controllers, lease_s, 10 + k as u64, pair);
    }
}

#[test]
fn each_fault_inside_a_partition_violates_no_invariant() {
    for (k, fault) in [UNREACHABLE, DUPLICATES, ISOLATED, MACHINE_RESTARTS, CRASH]
        .into_iter()
        .enumerate()
    {
        let (controllers, lease_s) = [(7, 14.0), (3, 26.5), (3, 14.0)][k % 3];
        tasks_killed_by_lease(controllers, lease_s, 30 + k as u64, &[fault, PARTITION]);
    }
}
