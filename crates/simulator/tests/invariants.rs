//! Checks the protocol's invariants under seeded faults, in simulated time.

#[path = "support/drawn_runs.rs"]
mod drawn_runs;

use std::sync::Arc;

use drawn_runs::assert_no_violations;
use lemonweir_model::{JobId, JobKind, JobSpec, Priority, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::fault_search::FaultMix;
use lemonweir_simulator::fixtures::{id, job, site};
use lemonweir_simulator::history::History;
use lemonweir_simulator::invariants::{InvariantChecker, TaskPlacement, UserAnswer};
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::{Link, MachineCapacity, MessageFaults};
use lemonweir_simulator::simulation::Simulation;
use lemonweir_storage::records::{JobEndRecord, end_key};

const NO_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 0,
    late_cas: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};
const MANY_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 60,
    late_cas: 60,
    lost_command: 80,
    late_command: 80,
    lost_sync: 80,
    late_sync: 500,
};

fn simulation(seed: u64, controllers: u16, capacity: u32, chances: MessageFaults) -> Simulation {
    Simulation::new(
        Arc::new(site(controllers, capacity, chances)),
        Vec::new(),
        seed,
        History::new(None),
    )
}

/// Submits a job whose tasks run for `run_s`, and withdraws it after `withdraw_after_s` if given.
fn submit(simulation: &mut Simulation, spec: JobSpec, run_s: u64, withdraw_after_s: Option<u64>) {
    let job = SimulatedJob {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken: false,
    };
    let withdraw_us = withdraw_after_s.map(|s| simulation.now + s * 1_000_000);
    simulation.submit(PlannedSubmission {
        at_us: simulation.now + 1_000_000,
        job,
        withdraw_us,
    });
}

fn assert_no_violation(simulation: &Simulation) {
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "invariants violated: {:#?}",
        simulation.workload.checker.violations
    );
}

/// Number of live tasks on all machines.
fn live(simulation: &Simulation) -> usize {
    simulation
        .workers
        .iter()
        .flatten()
        .map(lemonweir_simulator::worker::Worker::live_task_count)
        .sum()
}

/// Submits a mix of jobs of both teams and returns those that must complete.
fn submit_job_mix(simulation: &mut Simulation) -> Vec<JobId> {
    for n in 0..6 {
        let withdrawn = (n == 3).then_some(75);
        submit(
            simulation,
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
    submit(simulation, spread, 15, Some(70));
    submit(simulation, job(11, "red", JobKind::Gang, 1), 15, None);
    submit(
        simulation,
        JobSpec {
            same_zone: true,
            ..job(12, "blue", JobKind::Gang, 6)
        },
        40,
        None,
    );
    [0, 1, 2, 4, 5, 11, 12].map(id).to_vec()
}

/// Runs until the jobs `must` are done, for at most `most_ms`, and asserts that they are and that
/// no invariant was violated.
fn assert_jobs_complete(simulation: &mut Simulation, must: &[JobId], most_ms: u64) {
    let mut left = most_ms;
    while left > 0
        && must
            .iter()
            .any(|j| simulation.final_phase(j) != Some(JobPhase::Done))
    {
        simulation.run(5_000);
        left = left.saturating_sub(5_000);
    }
    simulation.run(40_000);
    assert_no_violation(simulation);
    let open: Vec<&JobId> = must
        .iter()
        .filter(|j| simulation.final_phase(j) != Some(JobPhase::Done))
        .collect();
    assert!(open.is_empty(), "not done: {open:?}");
    assert!(simulation.workload.checker.starts > 20);
}

/// Disconnects the first `machines` machines from the network, or reconnects them.
fn set_silent(simulation: &mut Simulation, machines: usize, silent: bool) {
    simulation
        .workers
        .iter_mut()
        .flatten()
        .take(machines)
        .for_each(|w| w.silent = silent);
}

#[test]
fn a_run_without_faults_completes_every_job() {
    let mut simulation = simulation(1, 3, 12, NO_FAULTS);
    let must = submit_job_mix(&mut simulation);
    assert_jobs_complete(&mut simulation, &must, 400_000);
}

#[test]
fn lost_and_late_messages_violate_no_invariant() {
    for seed in 0..12 {
        let mut simulation = simulation(seed, 3, 12, MANY_FAULTS);
        let must = submit_job_mix(&mut simulation);
        assert_jobs_complete(&mut simulation, &must, 900_000);
    }
}

#[test]
fn crashes_and_failovers_violate_no_invariant() {
    for seed in 20..28 {
        let mut simulation = simulation(seed, 3, 12, MANY_FAULTS);
        let must = submit_job_mix(&mut simulation);
        simulation.run(45_000);
        simulation.crash(0, 5_000_000);
        simulation.run(13_000);
        // Away for longer than its store lease: another controller takes the shard.
        simulation.crash(1, 25_000_000);
        simulation.run(20_000);
        assert!(
            (0..3).any(|h| h != 1 && simulation.controllers[h].leads(1)),
            "the shard fails over"
        );
        simulation.run(20_000);
        assert!(
            simulation.controllers[1].leads(1),
            "the shard is handed back"
        );
        simulation.crash(2, 4_000_000);
        simulation.crash(0, 4_000_000);
        assert_jobs_complete(&mut simulation, &must, 900_000);
    }
}

#[test]
fn machines_without_network_violate_no_invariant() {
    for seed in 40..46 {
        let mut simulation = simulation(
            seed,
            3,
            12,
            MessageFaults {
                late_command: 100,
                lost_command: 50,
                ..NO_FAULTS
            },
        );
        let must = submit_job_mix(&mut simulation);
        simulation.run(50_000);
        set_silent(&mut simulation, 2, true);
        simulation.run(22_000);
        set_silent(&mut simulation, 2, false);
        assert_jobs_complete(&mut simulation, &must, 900_000);
    }
}

#[test]
fn a_store_outage_violates_no_invariant() {
    let mut simulation = simulation(60, 3, 12, NO_FAULTS);
    let must = submit_job_mix(&mut simulation);
    simulation.run(40_000);
    simulation.store.down = true;
    simulation.run(25_000);
    let now = simulation.now;
    simulation.store.recover(now);
    assert_jobs_complete(&mut simulation, &must, 600_000);
}

/// A partition separates the controller that places a job from the leader of the shard that runs
/// it. The stop command for a withdrawn job used to wait for the end of the partition; found by
/// the fault search.
#[test]
fn a_withdrawal_crosses_a_partition_between_controllers() {
    let mut simulation = simulation(70, 2, 12, NO_FAULTS);
    let mut service = job(1, "red", JobKind::Service, 4);
    service.spread = true;
    submit(&mut simulation, service, 1, Some(75));
    simulation.run(60_000);
    assert_eq!(
        live(&simulation),
        4,
        "the service must run on both sides of the partition"
    );
    simulation.links_down.insert(Link::Controllers(0, 1));
    simulation.run(75_000);
    assert_no_violation(&simulation);
    assert_eq!(live(&simulation), 0);
}

/// A withdrawal crosses the same partition where neither side's state fits one message. Messages
/// through the store are split into chunks, none of which is larger than a store transaction may
/// be.
#[test]
fn a_withdrawal_crosses_a_partition_in_a_large_fleet() {
    let mut simulation = simulation(71, 2, 150, NO_FAULTS);
    for n in 1..9 {
        let mut wide = job(n, "blue", JobKind::Array, 60);
        wide.spread = n == 8;
        submit(&mut simulation, wide, 300, Some(138));
    }
    simulation.run(120_000);
    assert!(live(&simulation) >= 480, "{} tasks run", live(&simulation));
    simulation.links_down.insert(Link::Controllers(0, 1));
    // The leader behind the partition restarts with a new fencing token and receives its full
    // desired state through the store.
    simulation.crash(1, 4_000_000);
    simulation.run(78_000);
    assert_no_violation(&simulation);
    assert_eq!(live(&simulation), 0);
    assert!(
        simulation.largest_store_message_bytes > 16 * 1024,
        "the fleet must be large enough to need several chunks: {}",
        simulation.largest_store_message_bytes
    );
    assert!(
        simulation.largest_store_message_bytes <= 26 * 1024,
        "{}",
        simulation.largest_store_message_bytes
    );
}

/// A controller that is cut off from the store is ready for users as long as a peer can relay its
/// requests, and otherwise not. It used to accept user requests all the while and refuse each;
/// found in both enlarged deployments.
#[test]
fn a_controller_without_a_route_to_the_store_is_not_ready_for_users() {
    let mut simulation = simulation(72, 3, 12, NO_FAULTS);
    simulation.run(20_000);
    simulation.links_down.insert(Link::Store(1));
    simulation.run(6_000);
    assert_eq!([0, 1, 2].map(|h| simulation.is_ready(h)), [true; 3]);
    simulation
        .links_down
        .extend([Link::Controllers(0, 1), Link::Controllers(1, 2)]);
    simulation.run(8_000);
    assert_eq!(
        [0, 1, 2].map(|h| simulation.is_ready(h)),
        [true, false, true]
    );
    simulation.links_down.remove(&Link::Store(1));
    simulation.run(1_000);
    assert!(simulation.is_ready(1));
    simulation.links_down.clear();
    simulation.run(6_000);
    // During an outage for all controllers, no other controller could serve users better.
    simulation.store.down = true;
    for _ in 0..20 {
        simulation.run(500);
        assert_eq!([0, 1, 2].map(|h| simulation.is_ready(h)), [true; 3]);
    }
}

/// A controller that is cut off from the workers must give up its shard when no peer can relay.
/// It used to keep the shard, and 552 machines killed 2,600 tasks as their leases expired, though
/// both other controllers could reach them; found in the deployment zeltplatz-rechen-fleet.
#[test]
fn a_shard_fails_over_to_the_controller_that_reaches_its_machines_when_no_peer_can_relay() {
    let mut simulation = simulation(75, 3, 12, NO_FAULTS);
    let service = JobSpec {
        spread: true,
        allow_spot: false,
        ..job(1, "blue", JobKind::Service, 40)
    };
    submit(&mut simulation, service, 1, None);
    simulation.run(60_000);
    assert!(simulation.controllers[1].leads(1));
    simulation.links_down.insert(Link::Workers(1));
    for _ in 0..40 {
        simulation.run(1_000);
        assert_eq!(live(&simulation), 40);
        assert!(
            simulation.controllers[1].leads(1),
            "no failover while a peer relays"
        );
    }
    simulation.links_down.clear();
    simulation.run(20_000);
    simulation.links_down.insert(Link::Workers(1));
    simulation
        .links_down
        .extend([Link::Controllers(0, 1), Link::Controllers(1, 2)]);
    for _ in 0..40 {
        simulation.run(1_000);
        // A worker that tries the cut controller just before the shard moves waits 5 s for
        // it, which may exceed its lease of 14 s. That affects one machine at a time, and
        // only briefly.
        assert!(live(&simulation) >= 36);
    }
    assert_eq!(live(&simulation), 40);
    assert!(
        simulation.controllers[0].leads(1) || simulation.controllers[2].leads(1),
        "another controller leads the shard"
    );
    simulation.links_down.clear();
    simulation.run(40_000);
    assert!(
        simulation.controllers[1].leads(1),
        "the shard is handed back after a while"
    );
    assert_eq!(live(&simulation), 40);
    assert_no_violation(&simulation);
}

// ---- the checker itself ----------------------------------------------------

fn checker() -> InvariantChecker {
    let mut c = InvariantChecker::new(
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

fn placement_on<'a>(machine: usize, zone: &'a str) -> TaskPlacement<'a> {
    TaskPlacement {
        machine,
        kind: "box",
        zone,
        spot: false,
    }
}

fn answer(phase: Option<JobPhase>, accepted: bool, asked_at: u64) -> UserAnswer {
    UserAnswer {
        phase,
        accepted,
        asked_at,
    }
}

fn first_violation(c: &InvariantChecker) -> &str {
    c.violations.first().map(String::as_str).unwrap_or_default()
}

#[test]
fn the_checker_detects_each_violation() {
    let mut c = checker();
    c.started(&id(2), 0, placement_on(1, "north"), 1);
    c.task_left(&id(2), 0, 1);
    c.started(&id(2), 0, placement_on(2, "north"), 3);
    assert!(c.violations.is_empty());
    c.started(&id(2), 0, placement_on(1, "north"), 4);
    assert!(first_violation(&c).contains("ran_twice"));

    let mut c = checker();
    c.started(&id(1), 0, placement_on(1, "north"), 1);
    c.started(&id(1), 1, placement_on(2, "north"), 2);
    assert!(first_violation(&c).contains("wrong_place"));
    let mut c = checker();
    c.started(&id(4), 0, placement_on(1, "north"), 1);
    assert!(c.violations.is_empty());
    c.started(&id(4), 1, placement_on(2, "south"), 1);
    assert!(first_violation(&c).contains("wrong_place"));
    let mut c = checker();
    c.started(
        &id(4),
        0,
        TaskPlacement {
            spot: true,
            ..placement_on(1, "north")
        },
        1,
    );
    assert!(first_violation(&c).contains("wrong_place"));

    let mut c = checker();
    c.started(&id(1), 0, placement_on(1, "north"), 1);
    c.started(&id(3), 0, placement_on(1, "north"), 1);
    assert!(c.violations.is_empty());
    c.started(&id(3), 1, placement_on(1, "north"), 1);
    assert!(first_violation(&c).contains("quota"));

    let mut c = checker();
    c.started(&id(2), 0, placement_on(1, "north"), 1);
    c.withdrawn(&id(2), 10);
    c.check_cancellations(34_000_010);
    assert!(c.violations.is_empty());
    c.check_cancellations(34_000_011);
    assert!(first_violation(&c).contains("ran_cancelled"));

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
    c.task_completed(&id(2), 0);
    c.cas_committed(&done(2), 5);
    assert!(
        first_violation(&c).contains("not_done"),
        "task 1 is not done"
    );

    let mut c = checker();
    c.task_completed(&id(2), 0);
    c.task_completed(&id(2), 1);
    c.withdrawn(&id(2), 4);
    c.cas_committed(&done(2), 5);
    assert!(first_violation(&c).contains("went_back"));

    let mut c = checker();
    c.task_completed(&id(2), 0);
    c.task_completed(&id(2), 1);
    c.cas_committed(&done(2), 5);
    c.check_user_answer(&id(2), answer(Some(JobPhase::Running), true, 1), 6);
    c.check_user_answer(&id(2), answer(Some(JobPhase::Done), true, 6), 7);
    c.check_user_answer(&id(2), answer(Some(JobPhase::Running), true, 6), 8);
    assert!(
        c.violations.is_empty(),
        "asked before the end was confirmed"
    );
    c.check_user_answer(&id(2), answer(Some(JobPhase::Running), true, 7), 9);
    assert!(first_violation(&c).contains("went_back"));

    let mut c = checker();
    c.check_user_answer(&id(2), answer(Some(JobPhase::Done), true, 1), 2);
    assert!(first_violation(&c).contains("not_done"));
    let mut c = checker();
    c.check_user_answer(&id(2), answer(None, true, 1), 2);
    assert!(first_violation(&c).contains("forgotten"));
    let mut c = checker();
    c.check_user_answer(&id(9), answer(Some(JobPhase::Queued), false, 1), 2);
    assert!(first_violation(&c).contains("invented"));
}

// ---- preemption --------------------------------------------------------------

/// A job of higher priority preempts one of lower priority when there is no room, and the
/// preempted tasks complete in the end.
#[test]
fn a_higher_priority_preempts_a_lower() {
    let mut simulation = one_machine_simulation(80);
    submit(
        &mut simulation,
        job(1, "blue", JobKind::Array, 4),
        120,
        None,
    );
    simulation.run(60_000);
    submit(
        &mut simulation,
        JobSpec {
            priority: Priority::Production,
            ..job(2, "blue", JobKind::Service, 1)
        },
        1,
        Some(8),
    );
    simulation.run(7_000);
    assert!(
        simulation.live_tasks().contains_key(&id(2)),
        "the replica has preempted a batch task"
    );
    simulation.run(400_000);
    assert_eq!(simulation.final_phase(&id(1)), Some(JobPhase::Done));
    assert_no_violation(&simulation);
}

/// A simulation of a site with a single machine.
fn one_machine_simulation(seed: u64) -> Simulation {
    let mut scenario = site(2, 1, NO_FAULTS);
    scenario.machine_kinds[0].capacity = MachineCapacity {
        on_demand: 0,
        spot: 1,
    };
    scenario.machine_kinds[0].machine.zones.truncate(1);
    Simulation::new(Arc::new(scenario), Vec::new(), seed, History::new(None))
}

/// Two jobs must not preempt each other in turn, one by its priority and the other by its
/// guaranteed quota. They used to do so forever; found in the deployment afspraakloket.
#[test]
fn jobs_do_not_preempt_each_other_forever() {
    let mut simulation = one_machine_simulation(81);
    // Team blue has no guaranteed quota but the higher priority; red is within its guarantee.
    submit(
        &mut simulation,
        JobSpec {
            priority: Priority::High,
            ..job(1, "blue", JobKind::Array, 4)
        },
        20,
        None,
    );
    simulation.run(40_000);
    submit(&mut simulation, job(2, "red", JobKind::Array, 4), 20, None);
    simulation.run(200_000);
    assert_no_violation(&simulation);
    assert!(
        simulation.workload.checker.starts <= 16,
        "{} starts for 8 tasks",
        simulation.workload.checker.starts
    );
    assert_eq!(simulation.final_phase(&id(1)), Some(JobPhase::Done));
    assert_eq!(simulation.final_phase(&id(2)), Some(JobPhase::Done));
}

// ---- withdrawals and store outages ---------------------------------------------------

/// Runs a service of 4 replicas spread over both shards, then cuts controller 1 off from the store
/// and from its peer.
fn simulation_with_isolated_controller(seed: u64) -> Simulation {
    let mut simulation = simulation(seed, 2, 12, NO_FAULTS);
    let service = JobSpec {
        spread: true,
        allow_spot: false,
        ..job(1, "red", JobKind::Service, 4)
    };
    submit(&mut simulation, service, 1, None);
    simulation.run(60_000);
    assert_eq!(live(&simulation), 4, "the service must run on both sides");
    simulation.links_down.insert(Link::Store(1));
    simulation.links_down.insert(Link::Controllers(0, 1));
    simulation
}

/// A shard leader that is cut off keeps its tasks running. A withdrawal is confirmed only once
/// the last of them is proven to have ended.
#[test]
fn a_withdrawal_is_not_confirmed_while_an_unreachable_owner_may_run_the_job() {
    let mut simulation = simulation_with_isolated_controller(73);
    simulation.run(5_000);
    simulation.withdraw(&id(1));
    simulation.run(20_000);
    assert!(
        live(&simulation) > 0,
        "the tasks keep running: the leader behind the partition does not know of the withdrawal"
    );
    assert_eq!(
        simulation.final_phase(&id(1)),
        None,
        "the withdrawal is not confirmed yet"
    );
    simulation.links_down.clear();
    simulation.run(20_000);
    assert_eq!(live(&simulation), 0);
    assert_eq!(simulation.final_phase(&id(1)), Some(JobPhase::Withdrawn));
    assert_no_violation(&simulation);
}

/// A store outage longer than a worker lease costs no task: controllers still renew worker leases
/// during it.
#[test]
fn a_store_outage_longer_than_a_lease_costs_no_task() {
    let mut simulation = simulation(74, 3, 12, NO_FAULTS);
    let service = JobSpec {
        allow_spot: false,
        ..job(1, "red", JobKind::Service, 4)
    };
    submit(&mut simulation, service, 1, None);
    simulation.run(60_000);
    let starts = simulation.workload.checker.starts;
    assert_eq!(live(&simulation), 4);
    simulation.store.down = true;
    for _ in 0..45 {
        simulation.run(1_000);
        assert_eq!(live(&simulation), 4);
    }
    let now = simulation.now;
    simulation.store.recover(now);
    simulation.run(30_000);
    assert_eq!(
        (live(&simulation), simulation.workload.checker.starts),
        (4, starts)
    );
    assert_no_violation(&simulation);
}

/// Twelve random sites with random faults; `lemonweir-simulator fault-search` runs more.
#[test]
fn random_faults_violate_no_invariant_and_services_recover() {
    assert_no_violations(FaultMix::Any, 12, 90);
}
