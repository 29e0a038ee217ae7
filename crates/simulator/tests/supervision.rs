//! Failovers in the simulator: successors crash at every step, and the failover history records
//! each change of leader. Also covers the supervision of under-replicated services.

use lemonweir_coordination::supervision::failover::COMPLETION_TIMEOUT_MS;
use std::sync::Arc;

use lemonweir_model::constants::{
    FAILOVER_RECORDS_KEPT, STORE_LEASE_RENEWAL_MS, STORE_LEASE_TTL_MS,
};
use lemonweir_model::{JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value};
use lemonweir_simulator::fixtures::{job, site};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::{MessageFaults, Scenario, host_name};
use lemonweir_simulator::simulation::Simulation;
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange, failover_key};
use lemonweir_storage::records::{ShardRecord, shard_key};

const NO_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 0,
    late_cas: 0,
    lost_command: 0,
    late_command: 0,
    lost_sync: 0,
    late_sync: 0,
};
const SOME_FAULTS: MessageFaults = MessageFaults {
    lost_cas_reply: 60,
    late_cas: 60,
    lost_command: 40,
    late_command: 40,
    lost_sync: 40,
    late_sync: 300,
};
/// Replicas of both services together.
const REPLICAS: usize = 14;

fn new_simulation(seed: u64, site: Scenario) -> Simulation {
    Simulation::new(Arc::new(site), Vec::new(), seed, History::new(None))
}

/// A simulation in which all replicas of two services run.
fn simulation_with_services(seed: u64, chances: MessageFaults) -> Simulation {
    let mut simulation = new_simulation(seed, site(3, 16, chances));
    for (n, team, tasks) in [(0, "red", 4), (1, "blue", 10)] {
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
    simulation.run(70_000);
    assert_eq!(live(&simulation), REPLICAS);
    simulation
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

/// The leader of a shard according to the store, and its fencing token.
fn leader(simulation: &Simulation, shard: u16) -> Option<(String, u64)> {
    let (value, token) = simulation.store.get(&shard_key(shard))?;
    Some((
        from_value::<ShardRecord>(value)
            .expect("a shard record")
            .host,
        token,
    ))
}

/// A shard's failover records in the store with their versions, oldest first.
fn failover_records(simulation: &Simulation, shard: u16) -> Vec<(FailoverRecord, u64)> {
    let records = simulation.store.list(&format!("w/hand/{shard}/"));
    let mut all: Vec<_> = records
        .iter()
        .map(|e| {
            (
                from_value::<FailoverRecord>(&e.value).expect("a failover record"),
                e.version,
            )
        })
        .collect();
    all.sort_by_key(|(r, _)| r.number);
    all
}

/// Asserts that every shard's failover history has one record for each change of leader, with no
/// gap, and that the newest names the current leader; and that no invariant was violated.
fn assert_failovers_recorded(simulation: &Simulation, what: &str) {
    for shard in 0..3 {
        let failover_records = failover_records(simulation, shard);
        for pair in failover_records.windows(2) {
            assert_eq!(
                pair[0].0.number + 1,
                pair[1].0.number,
                "{what}: shard {shard}"
            );
            assert_eq!(
                pair[0].0.last_leader(),
                pair[1].0.previous_leader.as_ref(),
                "{what}: shard {shard}"
            );
        }
        let (newest, version) = failover_records.last().expect("a failover record");
        let (controller, token) = leader(simulation, shard).expect("a leader");
        assert_eq!(
            newest.new_leader.as_ref(),
            Some(&controller),
            "{what}: shard {shard}"
        );
        assert_eq!(
            newest
                .completion
                .as_ref()
                .map_or(Some(*version), |c| c.fencing_token),
            Some(token),
            "{what}: shard {shard}"
        );
    }
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "{what}: {:#?}",
        simulation.workload.checker.violations
    );
}

/// Runs until a controller that is not in `not` leads the shard, and returns it.
fn run_until_failover(simulation: &mut Simulation, shard: u16, not: &[usize]) -> usize {
    for _ in 0..600 {
        simulation.run(50);
        let other = leader(simulation, shard)
            .and_then(|(controller, _)| (0..3).find(|h| host_name(*h) == controller));
        if let Some(h) = other.filter(|h| !not.contains(h)) {
            return h;
        }
    }
    panic!("no controller acquires shard {shard}");
}

/// The successor crashes at each step of the failover, and so does the next one: between acquiring
/// the shard and reading its state, before and after the first start, and before the failover
/// record is completed.
#[test]
fn failover_records_are_completed_when_successors_crash_at_each_step() {
    for (k, after_ms) in [0, 2, 60, 400, 1_500, 6_000].into_iter().enumerate() {
        let what = format!("{after_ms} ms after the failover");
        let mut simulation =
            simulation_with_services(k as u64, if k % 2 == 0 { NO_FAULTS } else { SOME_FAULTS });
        simulation.crash(0, 60_000_000);
        // A job for the first successor that lives long enough to start it.
        submit(
            &mut simulation,
            JobSpec {
                priority: Priority::Normal,
                ..job(9, "blue", JobKind::Array, 3)
            },
            30,
        );
        let second = run_until_failover(&mut simulation, 0, &[0]);
        simulation.run(after_ms);
        simulation.crash(second, 60_000_000);
        let third = run_until_failover(&mut simulation, 0, &[0, second]);
        simulation.run(after_ms);
        simulation.crash(third, 4_000_000);
        simulation.run(COMPLETION_TIMEOUT_MS + 100_000);
        assert_eq!(live(&simulation), REPLICAS, "{what}");
        assert_failovers_recorded(&simulation, &what);
        let records = failover_records(&simulation, 0);
        assert!(
            records.len() >= 5,
            "{what}: first leader, two successors, and the home controller again: {records:#?}"
        );
        assert!(
            records.iter().all(|(r, _)| !r.is_open()),
            "{what}: all records are completed: {records:#?}"
        );
        let left = records
            .iter()
            .filter(|(r, _)| {
                r.completion
                    .as_ref()
                    .is_some_and(|c| c.leadership_ms.is_some())
            })
            .count();
        assert!(left >= 1 || after_ms == 6_000, "{what}: {records:#?}");
        // No running replica is lost: none was restarted.
        let restarts: u32 = records
            .iter()
            .filter_map(|(r, _)| r.completion.as_ref()?.found)
            .map(|(_, restarts)| restarts)
            .sum();
        assert_eq!(restarts, 0, "{what}: {records:#?}");
    }
}

/// All controllers crash 0.3 s apart, and restart at once or after more than a store lease.
#[test]
fn all_controllers_crash_shortly_after_one_another() {
    for (k, back_ms) in [100, 300, 5_000, 20_000].into_iter().enumerate() {
        let what = format!("restart after {back_ms} ms");
        let mut simulation = simulation_with_services(20 + k as u64, SOME_FAULTS);
        for h in [2, 0, 1] {
            simulation.crash(h, back_ms * 1_000);
            simulation.run(300);
        }
        simulation.run(200_000);
        assert_eq!(live(&simulation), REPLICAS, "{what}");
        assert_failovers_recorded(&simulation, &what);
        for shard in 0..3 {
            let restarted = failover_records(&simulation, shard)
                .iter()
                .any(|(r, _)| r.change == LeadershipChange::Restarted);
            assert_eq!(
                restarted,
                back_ms < STORE_LEASE_TTL_MS - STORE_LEASE_RENEWAL_MS,
                "{what}: a store lease outlives a short absence"
            );
        }
    }
}

/// The store is down when the failover record should be completed. The record is completed after
/// the store has recovered.
#[test]
fn a_failover_record_that_cannot_be_completed_for_a_minute_is_completed_later() {
    let mut simulation = simulation_with_services(30, NO_FAULTS);
    simulation.crash(0, 300_000_000);
    submit(&mut simulation, job(9, "blue", JobKind::Array, 3), 30);
    let second = run_until_failover(&mut simulation, 0, &[0]);
    simulation.run(20);
    simulation.store.down = true;
    simulation.run(60_000);
    assert!(
        failover_records(&simulation, 0)
            .last()
            .expect("a failover record")
            .0
            .is_open()
    );
    let (controller, _) = leader(&simulation, 0).expect("a leader");
    assert_eq!(controller, host_name(second));
    let now = simulation.now;
    simulation.store.recover(now);
    simulation.run(30_000);
    let (record, _) = failover_records(&simulation, 0)
        .pop()
        .expect("a failover record");
    let completion = record.completion.expect("completed");
    assert_eq!(
        (completion.reported_by, completion.found),
        (controller, Some((10, 0))),
        "the ten replicas of the shard's service were found running"
    );
    assert!(
        completion
            .services_restored_ms
            .is_some_and(|ms| ms < 10_000)
            && completion.first_start_ms.is_some(),
        "{:?}",
        completion.unknown
    );
    assert_failovers_recorded(&simulation, "completed late");
}

/// A full failover history that contains open records and a malformed one still records new
/// failovers.
#[test]
fn a_full_failover_history_keeps_recording() {
    let mut simulation = simulation_with_services(31, NO_FAULTS);
    let first = failover_records(&simulation, 0)
        .pop()
        .expect("a failover record")
        .0;
    let mut fill = CompareAndSwap::default();
    for n in 2..=FAILOVER_RECORDS_KEPT {
        let record = FailoverRecord {
            number: n,
            previous_leader: Some(host_name(0)),
            new_leader: Some(host_name(0)),
            completion: None,
            ..first.clone()
        };
        fill.writes.push(Write::put(failover_key(0, n), &record));
    }
    fill.writes.push(Write::Put {
        key: failover_key(0, 5),
        value: "what".into(),
        lease: None,
    });
    // One write at a time: a store transaction is limited in size.
    for write in fill.writes {
        simulation.store.compare_and_swap(&CompareAndSwap {
            writes: vec![write],
            ..CompareAndSwap::default()
        });
    }
    simulation.run(1_000);
    for n in 0..3 {
        simulation.crash(0, 3_000_000);
        simulation.run(40_000);
        let (controller, _) = leader(&simulation, 0).expect("a leader");
        let newest = simulation
            .store
            .get(&failover_key(0, FAILOVER_RECORDS_KEPT + 1 + n))
            .and_then(|(v, _)| from_value::<FailoverRecord>(v));
        assert_eq!(
            newest.expect("the record replaces the oldest").number,
            FAILOVER_RECORDS_KEPT + 1 + n
        );
        assert_eq!(
            controller,
            host_name(0),
            "the home controller leads the shard"
        );
    }
    assert!(
        simulation
            .store
            .get(&failover_key(0, 5))
            .is_some_and(|(v, _)| v.as_str() == Some("what")),
        "the malformed record stays"
    );
}

/// The home controller restarts 6.2 to 10.1 s after its crash, around the election in which the two
/// others compete for its shard: its store lease expires 6 to 7 s after the crash.
#[test]
fn the_home_controller_returns_during_the_election() {
    for k in 0..14u64 {
        let back_ms = STORE_LEASE_TTL_MS - STORE_LEASE_RENEWAL_MS + 200 + 300 * k;
        let what = format!("restart after {back_ms} ms");
        let mut simulation =
            simulation_with_services(40 + k, if k % 2 == 0 { NO_FAULTS } else { SOME_FAULTS });
        simulation.crash(0, back_ms * 1_000);
        simulation.run(back_ms + 200);
        // The controller crashes again in the middle of its recovery.
        if k % 3 == 0 {
            simulation.crash(0, 200_000);
        }
        simulation.run(60_000);
        assert_eq!(
            leader(&simulation, 0).map(|(controller, _)| controller),
            Some(host_name(0)),
            "{what}"
        );
        assert_eq!(live(&simulation), REPLICAS, "{what}");
        assert_failovers_recorded(&simulation, &what);
    }
}

/// 500 services on one shard: a failover costs two writes for its record and none for each
/// service, and supervision examines only services that something happened to. Any controller
/// can report the state of all services.
#[test]
fn five_hundred_services_on_one_shard() {
    let mut site = site(3, 300, NO_FAULTS);
    site.state.writes_per_s = 400.0;
    site.state.max_cas_ops = 32;
    let mut simulation = new_simulation(50, site);
    for n in 0..500 {
        submit(
            &mut simulation,
            JobSpec {
                allow_spot: false,
                cpus: 1.0,
                gpus: 0.25,
                memory_gb: 1.0,
                ..job(n, "blue", JobKind::Service, 2)
            },
            1,
        );
    }
    simulation.run(150_000);
    assert_eq!(live(&simulation), 1_000);
    let core = simulation.controllers[0].core.as_ref().expect("running");
    let now = simulation.now / 1_000;
    let report = core.supervision_report(now);
    assert_eq!(
        (
            report.services,
            report.desired,
            report.running,
            report.under_replicated.len()
        ),
        (500, 1_000, 1_000, 0)
    );
    let before = simulation.store.served.writes;
    simulation.crash(0, 100_000_000);
    let second = run_until_failover(&mut simulation, 0, &[0]);
    simulation.run(40_000);
    // The shard and controller records, the store lease, the failover record and its completion; no
    // write for each service.
    assert!(
        simulation.store.served.writes - before < 40,
        "{} writes",
        simulation.store.served.writes - before
    );
    let (record, _) = failover_records(&simulation, 0)
        .pop()
        .expect("a failover record");
    assert_eq!(record.previous_leader, Some(host_name(0)));
    assert!(
        record
            .up
            .is_some_and(|(replicas, others, machines)| replicas > 100
                && others == 0
                && machines > 10),
        "{:?}",
        record.up
    );
    let report = simulation.controllers[second]
        .core
        .as_ref()
        .expect("running")
        .supervision_report(simulation.now / 1_000);
    assert_eq!((report.running, report.under_replicated.len()), (1_000, 0));
    assert_eq!(
        report.shards[0].leader.as_deref(),
        Some(host_name(second).as_str())
    );
    let third = simulation.controllers[3 - second]
        .core
        .as_ref()
        .expect("running");
    assert_eq!(
        third.supervision_report(simulation.now / 1_000).running,
        1_000,
        "any controller reports it"
    );
    assert_eq!(
        third
            .failover_report(simulation.now / 1_000)
            .failovers
            .first()
            .and_then(|c| c.new_leader.clone()),
        Some(host_name(second))
    );
    assert!(simulation.workload.checker.violations.is_empty());
}

// ---- failover duration ---------------------------------------------------------

/// A site with `machines` machines and `controllers` controllers whose processing time is
/// simulated.
fn fleet(machines: u32, controllers: u16) -> Scenario {
    let each = machines / 2;
    let text = format!(
        "name = 'fleet'\nduration_s = 1e6\ncontrollers = {controllers}\nzones = ['north', 'south']\n\
         [state]\nrps = 250\nwrite_rps = 4_000\nvalue_kb = 8\ntxn_ops = 24\n[costs]\nmessage_ns = 40_000\nlook_ns = 8\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 100\nprice = 4\nspot_price = 1\n\
         boot_s = 20\nordinary = {each}\nspot = 4\nat_start = {each}\n\
         [[team]]\nname = 'red'\n[[team]]\nname = 'blue'\n[[team]]\nname = 'green'\n"
    );
    Scenario::parse("fleet", &text).unwrap_or_else(|faults| unreachable!("{faults:?}"))
}

/// Crashes one controller of a fleet whose machines are mostly full of replicas, and measures, in
/// ms: until its shard's key expires, until the shard is acquired, until the first start of a job
/// submitted at the crash, and until all replicas are known to run. The last value is the number
/// of tasks lost.
fn measure_failover(seed: u64, machines: u32, controllers: u16) -> [u64; 5] {
    let mut simulation = new_simulation(seed, fleet(machines, controllers));
    let services = machines / 8;
    for n in 0..services {
        let team = ["red", "blue", "green"][n as usize % 3];
        submit(
            &mut simulation,
            JobSpec {
                spread: true,
                allow_spot: false,
                ..job(n, team, JobKind::Service, 16)
            },
            1,
        );
    }
    // Withdrawn below, to leave room for the job that is submitted at the crash.
    submit(
        &mut simulation,
        JobSpec {
            allow_spot: false,
            ..job(services, "red", JobKind::Service, 6)
        },
        1,
    );
    simulation.run(40_000 + seed * 137 % 2_000);
    simulation.withdraw(&lemonweir_simulator::fixtures::id(services));
    simulation.run(4_000);
    let replicas = |simulation: &Simulation| {
        simulation
            .live_tasks()
            .iter()
            .filter(|(id, _)| **id < lemonweir_simulator::fixtures::id(services))
            .map(|(_, n)| n)
            .sum::<usize>()
    };
    let before = replicas(&simulation);
    assert!(
        before >= services as usize * 16 * 9 / 10,
        "{before} of {} replicas run",
        services * 16
    );
    let at = simulation.now;
    simulation.crash(0, 400_000_000);
    let (mut expired, mut acquired, mut started) = (None, None, None);
    submit(
        &mut simulation,
        JobSpec {
            allow_spot: false,
            ..job(services + 1, "blue", JobKind::Array, 4)
        },
        60,
    );
    let mut all_running = None;
    for _ in 0..4_000 {
        simulation.run(10);
        let ms = (simulation.now - at) / 1_000;
        let leader = leader(&simulation, 0).map(|(controller, _)| controller);
        if leader.is_none() {
            expired.get_or_insert(ms);
        }
        if leader.is_some_and(|h| h != host_name(0)) {
            acquired.get_or_insert(ms);
        }
        if simulation
            .workload
            .launched
            .contains_key(&(lemonweir_simulator::fixtures::id(services + 1), 0))
        {
            started.get_or_insert(ms);
        }
        let known = |h: &lemonweir_simulator::controller::Controller| {
            h.core.as_ref().filter(|_| h.leads(0)).map(|c| {
                c.supervision_report(simulation.now / 1_000)
                    .under_replicated
                    .len()
            })
        };
        if all_running.is_none()
            && acquired.is_some()
            && (ms % 100 < 10)
            && simulation.controllers.iter().find_map(known) == Some(0)
        {
            all_running = Some(ms);
        }
        if all_running.is_some() && started.is_some() {
            break;
        }
    }
    assert!(simulation.workload.checker.violations.is_empty());
    let lost = before
        .saturating_sub(replicas(&simulation))
        .max(simulation.workload.killed_by_lease as usize) as u64;
    [expired, acquired, started, all_running, Some(lost)].map(|ms| ms.expect("within 40 s"))
}

/// Prints the figures of docs/supervision/failovers.md:
/// `cargo test --release -p lemonweir-simulator --test supervision -- --ignored --nocapture`.
#[test]
#[ignore = "measures for minutes"]
fn failover_duration() {
    for (machines, controllers, seeds) in [(100, 3, 24), (1_337, 3, 12), (5_000, 5, 4)] {
        let mut all: Vec<[u64; 5]> = (0..seeds)
            .map(|seed| measure_failover(seed, machines, controllers))
            .collect();
        println!(
            "{machines} machines: {} tasks lost in {seeds} runs",
            all.iter().map(|times| times[4]).sum::<u64>()
        );
        for (k, what) in [
            "key expired",
            "shard acquired",
            "first start",
            "all replicas up",
        ]
        .into_iter()
        .enumerate()
        {
            all.sort_by_key(|times| times[k]);
            let at = |q: usize| all[(all.len() * q / 100).min(all.len() - 1)][k];
            println!(
                "{machines} machines, {what}: 50th {} ms, 99th {} ms",
                at(50),
                at(99)
            );
        }
    }
}

// ---- escalation ---------------------------------------------------------------

/// The row of service `n` in the controllers' lists of under-replicated services, the one with the
/// longest time if there are several; `None` if no controller lists it.
fn under_replicated_row(
    simulation: &Simulation,
    n: u32,
) -> Option<lemonweir_protocol::supervision::UnderReplicatedServiceRow> {
    let rows = simulation
        .controllers
        .iter()
        .filter_map(|h| h.core.as_ref())
        .flat_map(|c| {
            c.supervision_report(simulation.now / 1_000)
                .under_replicated
        });
    rows.filter(|r| r.job == lemonweir_simulator::fixtures::id(n).to_string())
        .max_by_key(|r| r.under_replicated_s)
}

/// A replica on a machine whose image pull never ends moves to a machine that caches its image as
/// soon as one has room.
#[test]
fn a_replica_leaves_a_machine_that_does_not_start_it() {
    let mut simulation = new_simulation(60, site(3, 16, NO_FAULTS));
    simulation.run(5_000);
    submit(
        &mut simulation,
        JobSpec {
            allow_spot: false,
            ..job(0, "blue", JobKind::Service, 4)
        },
        1,
    );
    simulation.run(45_000);
    assert_eq!(
        live(&simulation),
        4,
        "its machine is full and caches the image"
    );
    submit(
        &mut simulation,
        JobSpec {
            allow_spot: false,
            ..job(1, "blue", JobKind::Service, 2)
        },
        1,
    );
    let warm: Vec<usize> = simulation
        .workers
        .iter()
        .flatten()
        .filter(|w| w.live_task_count() > 0)
        .map(|w| w.number)
        .collect();
    for _ in 0..600 {
        simulation
            .workers
            .iter_mut()
            .flatten()
            .filter(|w| !warm.contains(&w.number))
            .for_each(|w| w.kind.image_pull_gb_per_s = 0.000_1);
        simulation.run(100);
    }
    let before = under_replicated_row(&simulation, 1).expect("under-replicated");
    assert_eq!(before.running, 0);
    assert!(
        before.escalations.is_empty() && before.under_replicated_s.is_some_and(|s| s >= 50),
        "no better machine is known: {before:?}"
    );
    // Frees the machine that caches the image.
    simulation.withdraw(&lemonweir_simulator::fixtures::id(0));
    simulation.run(25_000);
    assert_eq!(
        live(&simulation),
        2,
        "{:?}",
        under_replicated_row(&simulation, 1)
    );
    assert_eq!(under_replicated_row(&simulation, 1), None);
    assert!(simulation.workload.checker.violations.is_empty());
}

/// A service avoids the only machine that fits it because it failed there once. It uses that
/// machine again when no other becomes available in time.
#[test]
fn a_service_uses_avoided_machines_when_nothing_else_is_left() {
    let mut simulation = new_simulation(61, site(3, 1, NO_FAULTS));
    let north = |n| JobSpec {
        allow_spot: false,
        zone: Some("north".into()),
        ..job(n, "blue", JobKind::Service, 1)
    };
    submit(&mut simulation, north(0), 1);
    simulation.run(50_000);
    assert_eq!(live(&simulation), 1);
    simulation
        .workers
        .iter_mut()
        .flatten()
        .for_each(|w| w.faulty = true);
    submit(&mut simulation, north(1), 1);
    simulation.run(3_000);
    simulation
        .workers
        .iter_mut()
        .flatten()
        .for_each(|w| w.faulty = false);
    simulation.run(20_000);
    assert_eq!(
        live(&simulation),
        1,
        "the second service avoids the only machine"
    );
    simulation.run(15_000);
    let under_replicated = under_replicated_row(&simulation, 1).expect("under-replicated");
    assert!(
        under_replicated
            .blocked_by
            .contains("0 of 1 replicas up for"),
        "{under_replicated:?}"
    );
    simulation.run(25_000);
    assert_eq!(
        live(&simulation),
        2,
        "{:?}",
        under_replicated_row(&simulation, 1)
    );
    assert!(simulation.workload.checker.violations.is_empty());
}
