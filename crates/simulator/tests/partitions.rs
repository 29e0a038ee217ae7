//! Partial partitions: fails all subsets of one controller's links and compares the outcome with
//! what the remaining links allow.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lemonweir_model::{JobKind, JobSpec};
use lemonweir_protocol::links::LinkState;
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::fixtures::{id, job, site};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::{Link, MessageFaults, Scenario, host_name};
use lemonweir_simulator::simulation::Simulation;

const NO_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 0,
    late_cas: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};
/// Worker lease of the fixture site, s.
const LEASE_S: u64 = 14;
/// Replicas of both services together.
const REPLICAS: usize = 20;
/// Replicas of both services together in the tests that partition zones.
const ZONE_TEST_REPLICAS: usize = 60;

fn simulation(seed: u64, chances: MessageFaults) -> Simulation {
    simulation_with_services(seed, site(3, 16, chances), REPLICAS)
}

fn simulation_with_services(seed: u64, site: Scenario, replicas: usize) -> Simulation {
    let mut simulation = Simulation::new(Arc::new(site), Vec::new(), seed, History::new(None));
    for (n, team) in [(0, "red"), (1, "blue")] {
        let tasks = if team == "red" {
            4
        } else {
            replicas as u64 - 4
        };
        submit(
            &mut simulation,
            JobSpec {
                spread: true,
                allow_spot: false,
                ..job(n, team, JobKind::Service, tasks)
            },
            1,
        );
    }
    simulation.run(55_000);
    assert_eq!(live(&simulation), replicas);
    simulation
}

/// A simulation with zones large enough for a partition to be recognized as one, and worker leases
/// long enough for a worker to try three controllers, two of which are unreachable (15 s).
fn simulation_with_large_zones(seed: u64, chances: MessageFaults) -> Simulation {
    let mut site = site(3, 16, chances);
    site.workers.lease_s = 24.0;
    site.workers.cancellation_deadline_s = 60.0;
    simulation_with_services(seed, site, ZONE_TEST_REPLICAS)
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

/// Number of live tasks on all machines.
fn live(simulation: &Simulation) -> usize {
    simulation
        .workers
        .iter()
        .flatten()
        .map(lemonweir_simulator::worker::Worker::live_task_count)
        .sum()
}

/// A partial partition: the links of controller 0 that are down, and for how long.
#[derive(Clone, Copy, Debug)]
struct Cut {
    store: bool,
    cloud: bool,
    /// Workers in the zone of controller 0.
    north: bool,
    /// Workers in the other zone.
    south: bool,
    /// Controllers 1 and 2.
    peers: [bool; 2],
    users: bool,
    /// Peers are cut off in one direction only: they still reach controller 0.
    one_way: bool,
    length_s: u64,
}

impl Cut {
    fn of(bits: u32, one_way: bool, length_s: u64) -> Self {
        let bit = |n: u32| bits & (1 << n) != 0;
        Self {
            store: bit(0),
            cloud: bit(1),
            north: bit(2),
            south: bit(3),
            peers: [bit(4), bit(5)],
            users: bit(6),
            one_way,
            length_s,
        }
    }

    fn apply(&self, simulation: &mut Simulation) {
        let peer = |p: usize| {
            if self.one_way {
                Link::OneWay(0, p)
            } else {
                Link::Controllers(0, p)
            }
        };
        let links = [
            (self.store, Link::Store(0)),
            (self.cloud, Link::Cloud(0)),
            (self.north, Link::WorkersInZone(0, "north".to_owned())),
            (self.south, Link::WorkersInZone(0, "south".to_owned())),
            (self.peers[0], peer(1)),
            (self.peers[1], peer(2)),
            (self.users, Link::Users(0)),
        ];
        simulation.links_down.extend(
            links
                .into_iter()
                .filter(|(cut, _)| *cut)
                .map(|(_, link)| link),
        );
    }

    /// Whether the links that are up let the controller continue: heartbeats of its workers reach
    /// it, and its requests reach the store, directly or through one peer.
    fn can_continue(&self) -> bool {
        let reports = !self.north || self.one_way || !self.peers[0] || !self.peers[1];
        let store = !self.store || !self.peers[0] || !self.peers[1];
        reports && store
    }
}

/// Runs one partition. Returns the losses that the remaining links could have prevented and the
/// violated invariants, or `None` if there are none.
fn failures_in_partition(cut: Cut) -> Option<String> {
    let mut simulation = simulation(900, NO_FAULTS);
    // As many tasks as fit beside the services, so that no machine has to boot for them.
    let array = job(2, "blue", JobKind::Array, 4);
    cut.apply(&mut simulation);
    simulation.run(3_000);
    submit(&mut simulation, array, 10);
    simulation.run(cut.length_s * 1_000 - 3_000);
    let killed = simulation.workload.killed_by_lease;
    let (array_done, still_leads) = (
        simulation.final_phase(&id(2)) == Some(JobPhase::Done),
        simulation.controllers[0].leads(0),
    );
    simulation.links_down.clear();
    // A controller that could neither reach its machines nor provision others has to boot
    // replacements first.
    simulation.run(if cut.can_continue() || !cut.cloud {
        30_000
    } else {
        60_000
    });
    let mut faults = simulation.workload.checker.violations.clone();
    if cut.can_continue() && killed > 0 {
        faults.push(format!("{killed} tasks killed by expired leases"));
    }
    if cut.can_continue() && !still_leads {
        faults.push("the shard of controller 0 failed over".into());
    }
    // The controller whose links are down places the array.
    if cut.can_continue() && cut.length_s > 4 * LEASE_S && !array_done {
        faults.push("the array was not done by the end of the partition".into());
    }
    if live(&simulation) < REPLICAS {
        faults.push(format!(
            "{} replicas run after the partition",
            live(&simulation)
        ));
    }
    if simulation.final_phase(&id(2)) != Some(JobPhase::Done) {
        faults.push("the array is not done after the partition".into());
    }
    (!faults.is_empty()).then(|| format!("{cut:?}: {faults:?}"))
}

/// Fails every subset of one controller's links in both directions, and with its peers in one
/// direction only: briefly, for about a lease, and for longer than a controller answers without
/// the store.
#[test]
fn any_links_of_one_controller_may_fail_together() {
    let mut cuts = Vec::new();
    for bits in 1..128 {
        for length_s in [5, LEASE_S + 1, 75] {
            cuts.push(Cut::of(bits, false, length_s));
            if bits & 0b11_0000 != 0 && length_s > 5 {
                cuts.push(Cut::of(bits, true, length_s));
            }
        }
    }
    let failures = run_in_parallel(&cuts, |cut| failures_in_partition(*cut));
    assert!(
        failures.is_empty(),
        "{} of {}:\n{}",
        failures.len(),
        cuts.len(),
        failures.join("\n")
    );
}

/// State of the link from a controller to `to` as the controller itself reports it, and the peer
/// that relays for the link.
fn reported_link_state(
    simulation: &Simulation,
    controller: usize,
    to: &str,
) -> (LinkState, Option<String>) {
    let rows = simulation.controllers[controller]
        .core
        .as_ref()
        .expect("running")
        .links
        .rows(simulation.now / 1_000);
    let row = rows
        .into_iter()
        .find(|r| r.age_s == 0 && r.to == to && r.from == host_name(controller))
        .expect("a row of the link");
    (row.state, row.relayed_by)
}

#[test]
fn the_links_report_names_links_down_and_relay_peers() {
    let mut simulation = simulation(901, NO_FAULTS);
    assert_eq!(
        reported_link_state(&simulation, 0, "state service"),
        (LinkState::Up, None)
    );
    simulation.links_down.insert(Link::Store(0));
    simulation.links_down.insert(Link::Controllers(0, 1));
    simulation.links_down.insert(Link::OneWay(0, 2));
    simulation.run(8_000);
    assert_eq!(
        reported_link_state(&simulation, 0, "h01").0,
        LinkState::Down
    );
    assert_eq!(
        reported_link_state(&simulation, 0, "h02").0,
        LinkState::InboundOnly
    );
    assert_eq!(
        reported_link_state(&simulation, 0, "state service"),
        (LinkState::Down, None)
    );
    simulation.links_down.remove(&Link::OneWay(0, 2));
    simulation.run(6_000);
    assert_eq!(
        reported_link_state(&simulation, 0, "state service"),
        (LinkState::Down, Some("h02".into()))
    );
    simulation.links_down.clear();
    simulation.run(10_000);
    assert_eq!(
        reported_link_state(&simulation, 0, "state service"),
        (LinkState::Up, None)
    );
    let events = simulation.controllers[0]
        .core
        .as_ref()
        .expect("running")
        .links
        .events();
    for text in [
        "the state service does not answer",
        "carried by h02",
        "the state service answers",
        "h01 answers again",
    ] {
        assert!(
            events.iter().any(|e| e.text.contains(text)),
            "{text}: {events:?}"
        );
    }
}

/// Runs all cases on 8 threads and returns the failures.
fn run_in_parallel<T: Sync>(
    cases: &[T],
    run_case: impl Fn(&T) -> Option<String> + Sync,
) -> Vec<String> {
    let next = AtomicUsize::new(0);
    std::thread::scope(|s| {
        let work = || {
            let mut failures = Vec::new();
            while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                failures.extend(run_case(case));
            }
            failures
        };
        let threads: Vec<_> = (0..8).map(|_| s.spawn(work)).collect();
        threads
            .into_iter()
            .flat_map(|t| t.join().expect("no panic"))
            .collect()
    })
}

/// What happens to the controllers that could relay for controller 0.
#[derive(Clone, Copy, Debug)]
enum RelayPeerFault {
    Crash,
    Stall,
    LoseStore,
    LoseWorkers,
    LosePeer,
    AllCrash,
}

/// Overlapping partitions, with lost and delayed messages, relay peers that fail while they relay,
/// and a withdrawal meanwhile. No invariant is violated, and all jobs and services recover soon
/// after.
#[test]
fn overlapping_partitions_with_failing_relay_peers_violate_no_invariant() {
    use RelayPeerFault::*;
    const FAULTS: MessageFaults = MessageFaults {
        lost_cas_reply: 40,
        late_cas: 40,
        lost_command: 60,
        late_command: 60,
        lost_sync: 60,
        late_sync: 500,
    };
    let first = [0b000_0001, 0b000_0100, 0b000_0101, 0b001_1100, 0b111_1111];
    let mut cases = Vec::new();
    for (n, bits) in (0..).zip(first) {
        for (m, what) in (0..).zip([Crash, Stall, LoseStore, LoseWorkers, LosePeer, AllCrash]) {
            cases.push((1_000 + 10 * n + m, Cut::of(bits, m % 2 == 1, 40), what));
        }
    }
    let failures = run_in_parallel(&cases, |(seed, cut, what)| {
        let mut simulation = simulation(*seed, FAULTS);
        for n in 10..14 {
            submit(
                &mut simulation,
                job(
                    n,
                    if n % 2 == 0 { "red" } else { "blue" },
                    JobKind::Array,
                    5,
                ),
                20,
            );
        }
        let gang = JobSpec {
            same_zone: true,
            ..job(14, "blue", JobKind::Gang, 3)
        };
        submit(&mut simulation, gang, 20);
        simulation.run(4_000);
        cut.apply(&mut simulation);
        simulation.run(9_000);
        match what {
            Crash => simulation.crash(1, 6_000_000),
            Stall => simulation.controllers[1].stalled_until = simulation.now + 12_000_000,
            LoseStore => drop(simulation.links_down.insert(Link::Store(1))),
            LoseWorkers => drop(simulation.links_down.insert(Link::Workers(1))),
            LosePeer => drop(simulation.links_down.insert(Link::Controllers(1, 2))),
            AllCrash => (0..3).for_each(|h| simulation.crash(h, 3_000_000)),
        }
        simulation.withdraw(&id(10));
        simulation.run(2_000);
        simulation.crash(2, 5_000_000);
        simulation.run(29_000);
        simulation.links_down.clear();
        simulation.run(150_000);
        let mut faults = simulation.workload.checker.violations.clone();
        let open: Vec<u32> = (11..15)
            .filter(|n| simulation.final_phase(&id(*n)) != Some(JobPhase::Done))
            .collect();
        if !open.is_empty() || simulation.final_phase(&id(10)).is_none() {
            faults.push(format!(
                "not done: {open:?}, phase of the withdrawn job {:?}",
                simulation.final_phase(&id(10))
            ));
        }
        if live(&simulation) < REPLICAS {
            faults.push(format!("{} replicas run", live(&simulation)));
        }
        (!faults.is_empty()).then(|| format!("{seed} {cut:?} {what:?}: {faults:?}"))
    });
    assert!(
        failures.is_empty(),
        "{} of {}:\n{}",
        failures.len(),
        cases.len(),
        failures.join("\n")
    );
}

/// Links flap every few seconds. Their messages take another route until the links have been up
/// for a while, and no shard fails over more than twice a minute.
#[test]
fn flapping_links_cause_few_failovers() {
    let mut simulation = simulation(902, NO_FAULTS);
    for second in 0..120 {
        if second % 6 < 3 {
            simulation.links_down.insert(Link::Store(0));
            simulation.links_down.insert(Link::Workers(1));
        } else {
            simulation.links_down.clear();
        }
        simulation.run(1_000);
        assert_eq!(live(&simulation), REPLICAS, "at {second} s");
    }
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "{:?}",
        simulation.workload.checker.violations
    );
    for controller in 0..3 {
        let events = simulation.controllers[controller]
            .core
            .as_ref()
            .expect("running")
            .links
            .events();
        let acquisitions: Vec<u64> = events
            .iter()
            .filter(|e| e.text.ends_with("acquired"))
            .map(|e| e.at_ms)
            .collect();
        assert!(
            acquisitions.iter().any(|at_ms| *at_ms <= 55_000),
            "it acquires its shard at the start: {events:?}"
        );
        let failovers = acquisitions.iter().filter(|at_ms| **at_ms > 55_000).count();
        assert!(failovers <= 4, "failovers in two minutes: {events:?}");
        let recoveries = events
            .iter()
            .filter(|e| e.text.contains("the state service answers"))
            .count();
        assert!(recoveries <= 6, "route changes are damped: {events:?}");
    }
}

/// A zone is cut off from everything and its only controller crashes meanwhile. The restarted
/// controller reaches neither the store nor a peer and has lost its state, but must keep the
/// zone's tasks running.
#[test]
fn a_partitioned_zone_whose_controller_crashes_keeps_its_tasks() {
    for seed in 0..6 {
        let mut simulation = simulation_with_large_zones(920 + seed, NO_FAULTS);
        simulation.partitioned_zones.insert("south".into());
        simulation.run(12_000);
        simulation.crash(1, 3_000_000);
        simulation.run(37_000);
        assert_eq!(
            (simulation.workload.killed_by_lease, live(&simulation)),
            (0, ZONE_TEST_REPLICAS),
            "seed {seed}"
        );
        simulation.partitioned_zones.clear();
        simulation.run(30_000);
        assert_eq!(
            (simulation.workload.killed_by_lease, live(&simulation)),
            (0, ZONE_TEST_REPLICAS),
            "seed {seed}"
        );
        assert!(simulation.controllers[1].leads(1));
        assert!(
            simulation.workload.checker.violations.is_empty(),
            "{:?}",
            simulation.workload.checker.violations
        );
    }
}

/// A zone is partitioned for longer than worker leases are renewed without the store, and its
/// controller crashes meanwhile. A successor restarts the tasks once it has proof that they have
/// ended, and none of them may still run inside the partition.
#[test]
fn worker_leases_expire_before_a_successor_restarts_tasks() {
    let cases: Vec<(u64, u64, u64)> = (0..24)
        .map(|n| {
            (
                940 + n,
                [1_000, 6_000, 15_000, 30_000, 55_000, 70_000][n as usize % 6],
                100_000 + 10_000 * (n / 6),
            )
        })
        .collect();
    let failures = run_in_parallel(&cases, |(seed, crash_ms, length_ms)| {
        let mut simulation = simulation_with_large_zones(
            *seed,
            MessageFaults {
                late_command: 60,
                lost_command: 60,
                ..NO_FAULTS
            },
        );
        let spare = job(3, "blue", JobKind::Service, 6);
        submit(&mut simulation, spare, 1);
        simulation.run(10_000);
        simulation.partitioned_zones.insert("south".into());
        simulation.run(*crash_ms);
        simulation.crash(1, 3_000_000);
        simulation.run(length_ms - crash_ms);
        simulation.partitioned_zones.clear();
        simulation.run(60_000);
        // A replica that is being migrated at this moment is not lost.
        for _ in 0..10 {
            if live(&simulation) < ZONE_TEST_REPLICAS + 6 {
                simulation.run(1_000);
            }
        }
        let mut faults = simulation.workload.checker.violations.clone();
        if live(&simulation) < ZONE_TEST_REPLICAS + 6 {
            faults.push(format!("{} replicas run", live(&simulation)));
        }
        (!faults.is_empty()).then(|| {
            format!("{seed} crash after {crash_ms} ms, partition of {length_ms} ms: {faults:?}")
        })
    });
    assert!(
        failures.is_empty(),
        "{} of {}:\n{}",
        failures.len(),
        cases.len(),
        failures.join("\n")
    );
}
