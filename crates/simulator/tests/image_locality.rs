//! Image locality of service replicas while controllers fail, in the simulator with the
//! production decision code.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lemonweir_model::policy::ServicePlacementWeights;
use lemonweir_model::{AttemptId, JobKind, JobSpec, Priority};
use lemonweir_protocol::worker::TaskPhase;
use lemonweir_simulator::fixtures::{id, job};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::simulation::Simulation;

/// One controller and `machines_per_zone` initial machines in each zone. A machine has 4 GPUs,
/// pulls images at 0.3 GB/s and caches 130 GB of them.
fn site(zones: &[&str], machines_per_zone: u32, weights: ServicePlacementWeights) -> Scenario {
    let text = format!(
        "name = 'weights'\nduration_s = 1e6\ncontrollers = {}\nzones = {zones:?}\npoll_s = 0\n[policy]\nidle = 1000\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 130\nfetch_gb_per_s = 0.3\nprice = 4\nspot_price = 1\n\
         boot_s = 20\nordinary = {machines_per_zone}\nat_start = {machines_per_zone}\n[[team]]\nname = 'red'\n[[team]]\nname = 'blue'\n",
        zones.len()
    );
    let mut scenario =
        Scenario::parse("weights", &text).unwrap_or_else(|faults| panic!("{faults:?}"));
    scenario.policy.placement_weights = weights;
    scenario
}

fn service(n: u32, replicas: u64, image: &str, gb: f64) -> JobSpec {
    let team = ["red", "blue"][n as usize % 2];
    JobSpec {
        class: "model".into(),
        priority: Priority::Production,
        allow_spot: false,
        image: image.into(),
        image_gb: gb,
        checkpoint_interval_s: 0.0,
        ..job(n, team, JobKind::Service, replicas)
    }
}

/// State of the service replicas, sampled twice a second.
#[derive(Default)]
struct ReplicaObservations {
    /// Time that each attempt of a service spent pulling its image, s; 0 if the image was cached.
    pull_s: HashMap<AttemptId, f64>,
    /// Image pulls in progress, by machine and service.
    pulls_in_progress: BTreeSet<(usize, u32)>,
    /// Total size of all image pulls that started, GB.
    pulled_gb: f64,
    /// Provisioned machine time, s.
    machine_s: f64,
    /// Machine and zone of each running replica, by service.
    running: BTreeMap<u32, Vec<(usize, String)>>,
}

struct TestCluster {
    simulation: Simulation,
    observed: ReplicaObservations,
    services: Vec<JobSpec>,
}

impl TestCluster {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut simulation =
            Simulation::new(Arc::new(scenario), Vec::new(), seed, History::new(None));
        simulation.run(6_000);
        Self {
            simulation,
            observed: ReplicaObservations::default(),
            services: Vec::new(),
        }
    }

    fn submit(&mut self, spec: JobSpec, run_s: u64) {
        if spec.kind == JobKind::Service {
            self.services.push(spec.clone());
        }
        let job = SimulatedJob {
            spec: Arc::new(spec),
            run_us: vec![run_s * 1_000_000],
            broken: false,
        };
        self.simulation.submit(PlannedSubmission {
            at_us: self.simulation.now,
            job,
            withdraw_us: None,
        });
    }

    /// Takes a sample of all workers.
    fn observe(&mut self) {
        self.observed.running.clear();
        let mut pulls_in_progress = BTreeSet::new();
        self.observed.machine_s += 0.5 * self.simulation.workers.iter().flatten().count() as f64;
        let now = self.simulation.now;
        let names: BTreeMap<_, u32> = self
            .services
            .iter()
            .map(|s| (s.id.clone(), job_number(&s.id)))
            .collect();
        for w in self
            .simulation
            .workers
            .iter_mut()
            .flatten()
            .filter(|w| now >= w.up_at)
        {
            let (machine, zone) = (w.number, w.zone.clone());
            for t in w.heartbeat(now).tasks {
                let Some(attempt) = AttemptId::parse(&t.task, t.attempt) else {
                    continue;
                };
                let Some(&n) = names.get(&attempt.job) else {
                    continue;
                };
                match t.phase {
                    TaskPhase::PullingImage => {
                        pulls_in_progress.insert((machine, n));
                        *self.observed.pull_s.entry(attempt).or_default() += 0.5;
                    }
                    TaskPhase::Running => {
                        self.observed.pull_s.entry(attempt).or_default();
                        self.observed
                            .running
                            .entry(n)
                            .or_default()
                            .push((machine, zone.clone()));
                    }
                    _ => {}
                }
            }
        }
        self.record_pulls(pulls_in_progress);
    }

    fn record_pulls(&mut self, pulls_in_progress: BTreeSet<(usize, u32)>) {
        let gb: BTreeMap<u32, f64> = self
            .services
            .iter()
            .map(|s| (job_number(&s.id), s.image_gb))
            .collect();
        self.observed.pulled_gb += pulls_in_progress
            .difference(&self.observed.pulls_in_progress)
            .map(|(_, n)| gb.get(n).copied().unwrap_or(0.0))
            .sum::<f64>();
        self.observed.pulls_in_progress = pulls_in_progress;
    }

    fn run(&mut self, s: u64) {
        for _ in 0..2 * s {
            self.simulation.run(500);
            self.observe();
        }
    }

    /// Number of a service's replicas that run outside the `lost` zones.
    fn running_outside(&self, n: u32, lost: &[&str]) -> usize {
        self.observed
            .running
            .get(&n)
            .into_iter()
            .flatten()
            .filter(|(_, zone)| !lost.contains(&zone.as_str()))
            .count()
    }

    /// Runs until all services have all their replicas outside the `lost` zones, and returns the
    /// time that took, s; `None` if it takes longer than `most_s`.
    fn run_until_replicated(&mut self, lost: &[&str], most_s: u64) -> Option<f64> {
        let since = self.simulation.now;
        let wants: Vec<(u32, usize)> = self
            .services
            .iter()
            .map(|s| (job_number(&s.id), s.tasks as usize))
            .collect();
        while self.simulation.now < since + most_s * 1_000_000 {
            self.simulation.run(500);
            self.observe();
            if wants
                .iter()
                .all(|(n, tasks)| self.running_outside(*n, lost) >= *tasks)
            {
                return Some((self.simulation.now - since) as f64 / 1e6);
            }
        }
        None
    }

    /// The machine of a service's first running replica.
    fn machine_of(&self, n: u32) -> usize {
        self.observed.running[&n][0].0
    }

    /// Partitions a zone and crashes its controller.
    fn lose_zone_with_controller(&mut self, zone: &str) {
        let controller = self
            .simulation
            .scenario
            .zones
            .iter()
            .position(|z| z == zone)
            .expect("a zone of the scenario");
        self.simulation.partitioned_zones.insert(zone.to_owned());
        self.simulation.crash(controller, 3_600_000_000);
    }

    /// Number of replica starts, and how many of them pulled their image.
    fn starts(&self) -> (usize, usize) {
        (
            self.observed.pull_s.len(),
            self.observed.pull_s.values().filter(|s| **s > 0.0).count(),
        )
    }

    /// The largest share of a service's replicas on one machine and in one zone, each averaged
    /// over all services.
    fn max_replica_shares(&self) -> (f64, f64) {
        let (mut machine, mut zone) = (0.0, 0.0);
        for s in &self.services {
            let (mut machines, mut zones): (BTreeMap<usize, f64>, BTreeMap<&str, f64>) =
                Default::default();
            for (m, z) in self
                .observed
                .running
                .get(&job_number(&s.id))
                .into_iter()
                .flatten()
            {
                *machines.entry(*m).or_default() += 1.0 / s.tasks as f64;
                *zones.entry(z).or_default() += 1.0 / s.tasks as f64;
            }
            machine += machines.into_values().fold(0.0, f64::max) / self.services.len() as f64;
            zone += zones.into_values().fold(0.0, f64::max) / self.services.len() as f64;
        }
        (machine, zone)
    }

    fn assert_no_violation(&self, what: &str) {
        assert!(
            self.simulation.workload.checker.violations.is_empty(),
            "{what}: invariants violated: {:#?}",
            self.simulation.workload.checker.violations
        );
    }
}

fn job_number(id: &lemonweir_model::JobId) -> u32 {
    id.as_str()
        .trim_start_matches("req-")
        .parse()
        .expect("a number")
}

/// Weights that make image locality the only criterion.
const LOCALITY: ServicePlacementWeights = ServicePlacementWeights {
    machine_loss: 0.0,
    zone_loss: 0.0,
    single_zone: 0.0,
    machine_pin_cost_s: 0.0,
    min_migration_gain_s: 3_600.0,
};

/// Pulling 60 GB takes 200 s. A replica whose machine is lost restarts on a machine that caches
/// the image, in another shard if necessary, even if the leader of its shard crashes too.
#[test]
fn replicas_of_a_lost_machine_restart_where_the_image_is_cached() {
    for (machines, replicas) in [(2, 2), (20, 10), (200, 20)] {
        let what = format!("{machines} machines");
        let mut cluster = TestCluster::new(
            site(
                &["north", "south"],
                machines / 2,
                ServicePlacementWeights::default(),
            ),
            u64::from(machines),
        );
        cluster.submit(service(1, replicas, "large", 60.0), 0);
        let first = cluster
            .run_until_replicated(&[], 400)
            .unwrap_or_else(|| panic!("{what}: replicas are missing"));
        assert!(first > 190.0, "{what}: {first} s");
        let (_, starts_with_pull) = cluster.starts();
        let lost = cluster.machine_of(1);
        let zone = cluster.simulation.workers[lost]
            .as_ref()
            .expect("the machine exists")
            .zone
            .clone();
        cluster.simulation.workers[lost]
            .as_mut()
            .expect("the machine exists")
            .silent = true;
        let controller = cluster
            .simulation
            .scenario
            .zones
            .iter()
            .position(|z| *z == zone)
            .expect("a zone of the scenario");
        cluster.simulation.crash(controller, 3_000_000);
        cluster.run(2);
        let left = cluster.observed.running[&1]
            .iter()
            .filter(|(m, _)| *m != lost)
            .count();
        assert!(
            left as u64 * 2 >= replicas,
            "{what}: {left} of {replicas} are left"
        );
        // Enough to prove that the lost replica has ended, after its shard's leader crashed
        // too, and for a start; not enough for a pull.
        cluster.run(98);
        let up = cluster.observed.running[&1]
            .iter()
            .filter(|(m, _)| *m != lost)
            .count();
        assert_eq!(up as u64, replicas, "{what}");
        assert_eq!(
            cluster.starts().1,
            starts_with_pull,
            "{what}: no image was pulled again"
        );
        cluster.assert_no_violation(&what);
    }
}

/// A zone and its controller are lost. With locality as the only weight, all copies of an image
/// may be in that zone, and the replacements pull it for minutes; the default weights place it in
/// two zones beforehand.
#[test]
fn recovery_from_a_zone_loss_is_faster_with_images_in_two_zones() {
    let mut recoveries = Vec::new();
    for weights in [LOCALITY, ServicePlacementWeights::default()] {
        let mut cluster = TestCluster::new(site(&["north", "south"], 6, weights), 5);
        for n in 0..2 {
            cluster.submit(service(n, 2, &format!("m-{n}"), 40.0), 0);
        }
        cluster
            .run_until_replicated(&[], 300)
            .expect("all replicas run");
        cluster.run(60);
        let zones: Vec<BTreeSet<String>> = cluster
            .observed
            .running
            .values()
            .map(|r| r.iter().map(|(_, z)| z.clone()).collect())
            .collect();
        let two = zones.iter().filter(|z| z.len() == 2).count();
        let lost_zone = zones[0].first().expect("running").clone();
        // Every controller's image locality report agrees.
        for controller in &cluster.simulation.controllers {
            let report = controller
                .core
                .as_ref()
                .expect("running")
                .image_locality_report("m-0", cluster.simulation.now / 1_000);
            assert_eq!(
                (report.size_mb, report.users.len(), report.users[0].tasks),
                (Some(40_000), 1, 2)
            );
            assert_eq!(
                report.zones.iter().filter(|z| z.cached > 0).count(),
                zones[0].len()
            );
            assert!(
                report.zones.iter().all(
                    |z| (z.cached_elsewhere > 0) == zones[0].iter().any(|zone| *zone != z.zone)
                )
            );
            assert!(
                report
                    .shards
                    .iter()
                    .all(|p| p.age_s.is_some_and(|s| s < 10))
            );
        }
        cluster.lose_zone_with_controller(&lost_zone);
        let whole = cluster
            .run_until_replicated(&[lost_zone.as_str()], 600)
            .expect("all replicas run again");
        recoveries.push((two, whole));
        cluster.assert_no_violation("a lost zone");
    }
    let [(_, cold), (two, warm)] = recoveries[..] else {
        panic!("two runs")
    };
    assert_eq!(two, 2, "every service's image is cached in two zones");
    // Proving that the zone's replicas have ended takes a minute and a lease.
    assert!(warm + 60.0 < cold, "{warm} s, with locality alone {cold} s");
}

/// Half of the known image locations are wrong when the only controller restarts. The starts after
/// that pull the image at most twice for each wrong location.
#[test]
fn wrong_image_locations_cause_few_pulls() {
    let mut cluster = TestCluster::new(
        site(
            &["north"],
            8,
            ServicePlacementWeights {
                min_migration_gain_s: 3_600.0,
                ..ServicePlacementWeights::default()
            },
        ),
        9,
    );
    // Every machine has run the image, so every machine caches it.
    cluster.submit(service(0, 32, "m", 10.0), 0);
    cluster
        .run_until_replicated(&[], 200)
        .expect("all replicas run");
    cluster.run(20);
    // Four of the eight machines lose their caches, and the controller is not informed.
    let wrong: BTreeSet<usize> = cluster
        .simulation
        .workers
        .iter()
        .flatten()
        .map(|w| w.number)
        .filter(|n| n % 2 == 0)
        .collect();
    wrong.iter().for_each(|n| {
        cluster.simulation.workers[*n]
            .as_mut()
            .expect("the machine exists")
            .drop_images();
    });
    cluster.simulation.withdraw(&id(0));
    cluster.simulation.crash(0, 3_000_000);
    cluster.run(20);
    cluster.services.clear();
    cluster.observed = ReplicaObservations::default();
    // One service at a time, so that each placement knows how the previous starts went.
    for n in 1..=12 {
        cluster.submit(service(n, 2, "m", 10.0), 0);
        cluster.run(6);
    }
    cluster
        .run_until_replicated(&[], 100)
        .expect("all replicas run");
    let (starts, cold) = cluster.starts();
    assert!(starts >= 24, "{starts}");
    assert!(
        cold <= 2 * wrong.len(),
        "{cold} of {starts} starts pulled the image; {} locations were wrong",
        wrong.len()
    );
    cluster.assert_no_violation("wrong image locations");
}

/// The replicas of one image double within a minute while a controller crashes. The new replicas
/// go to machines that cache the image as long as those have room, and all of them run.
#[test]
fn a_hot_model_doubles_in_a_minute() {
    let mut cluster = TestCluster::new(
        site(
            &["north", "south", "west"],
            8,
            ServicePlacementWeights::default(),
        ),
        3,
    );
    cluster.submit(service(0, 6, "hot", 20.0), 0);
    for n in 1..4 {
        cluster.submit(service(n, 2, &format!("m-{n}"), 20.0), 0);
    }
    cluster
        .run_until_replicated(&[], 300)
        .expect("all replicas run");
    cluster.run(60);
    let before = cluster.starts();
    cluster.simulation.crash(1, 4_000_000);
    for n in 5..8 {
        cluster.submit(service(n, 2, "hot", 20.0), 0);
        cluster.run(15);
    }
    cluster
        .run_until_replicated(&[], 200)
        .expect("all replicas run");
    let (starts, cold) = cluster.starts();
    let (starts, cold) = (starts - before.0, cold - before.1);
    assert!(
        starts >= 6 && 2 * cold <= starts,
        "{cold} of {starts} starts pulled the image"
    );
    cluster.assert_no_violation("a doubled service");
}

/// A site for which the trade-off between image locality and spreading is measured.
struct MeasuredSite {
    name: &'static str,
    zones: &'static [&'static str],
    /// Machines in each zone.
    machines_per_zone: u32,
    /// GPUs of a machine.
    gpus: u32,
    /// Image cache of a machine, GB.
    cache_gb: u32,
    /// Image pull rate of a machine, GB/s.
    rate: f64,
    /// Number of services.
    services: u32,
    /// Numbers of replicas, which the services take in rotation.
    sizes: &'static [u64],
    /// Number of distinct images.
    images: u32,
    /// Size of an image, GB.
    gb: f64,
}

/// Measures one site with one set of weights and prints the results. Services that need not
/// spread run beside batch jobs; machines are lost, services are added, and at the end a zone is
/// lost with its controller.
fn measure_trade_off(f: &MeasuredSite, name: &str, weights: ServicePlacementWeights, seed: u64) {
    let text = format!(
        "name = 'figures'\nduration_s = 1e6\ncontrollers = {}\nzones = {:?}\npoll_s = 0\n\
         [[machine_type]]\nname = 'box'\ncpus = {}\ngpus = {}\nmemory_gb = {}\ncache_gb = {}\nfetch_gb_per_s = {}\nprice = 4\nspot_price = 1\n\
         boot_s = 20\nordinary = {}\nat_start = {}\n[[team]]\nname = 'red'\n[[team]]\nname = 'blue'\n",
        f.zones.len(),
        f.zones,
        4 * f.gpus,
        f.gpus,
        16 * f.gpus,
        f.cache_gb,
        f.rate,
        2 * f.machines_per_zone,
        f.machines_per_zone
    );
    let mut scenario =
        Scenario::parse("figures", &text).unwrap_or_else(|faults| panic!("{faults:?}"));
    scenario.policy.placement_weights = weights;
    let mut cluster = TestCluster::new(scenario, seed);
    let image = |n: u32| format!("m-{}", n * n % f.images);
    for n in 0..f.services {
        cluster.submit(
            service(n, f.sizes[n as usize % f.sizes.len()], &image(n), f.gb),
            0,
        );
    }
    let pull_s = (f.gb / f.rate) as u64;
    let mut next = f.services;
    let batch = |cluster: &mut TestCluster, k: u32| {
        let spec = JobSpec {
            image: format!("b-{}", k % 14),
            image_gb: 7.0,
            allow_spot: false,
            ..job(10_000 + k, "blue", JobKind::Array, 20)
        };
        cluster.submit(spec, 60);
    };
    let first = cluster
        .run_until_replicated(&[], 3 * pull_s + 200)
        .unwrap_or(f64::NAN);
    for k in 0..24u32 {
        batch(&mut cluster, k);
        if k % 4 == 1 {
            // The machine of some replica is lost for good.
            let n = (k * 7 + seed as u32) % f.services;
            let machine = cluster
                .observed
                .running
                .get(&n)
                .and_then(|r| r.first())
                .map(|r| r.0);
            if let Some(w) = machine.and_then(|m| cluster.simulation.workers[m].as_mut()) {
                w.silent = true;
            }
        }
        if k % 4 == 3 {
            cluster.submit(
                service(
                    next,
                    f.sizes[next as usize % f.sizes.len()],
                    &image(next),
                    f.gb,
                ),
                0,
            );
            next += 1;
        }
        cluster.run(15);
    }
    cluster.run(120 + pull_s);
    let (machine, zone) = cluster.max_replica_shares();
    let (starts, cold) = cluster.starts();
    let seconds: f64 = cluster.observed.pull_s.values().sum();
    let (gb, hours) = (
        cluster.observed.pulled_gb,
        cluster.observed.machine_s / 3_600.0,
    );
    let lost_zone = f.zones[0];
    cluster.lose_zone_with_controller(lost_zone);
    let whole = cluster
        .run_until_replicated(&[lost_zone], 900)
        .unwrap_or(f64::NAN);
    println!(
        "{:8} {name:9} seed {seed}: all replicas up after {first:5.1} s; {starts} starts, {:.2} warm, {:.1} s and {:.2} GB a start; lost with a machine {machine:.3}, with a zone {zone:.3}; all replicas up {whole:5.1} s after a zone is lost; {hours:.1} machine hours",
        f.name,
        1.0 - cold as f64 / starts as f64,
        seconds / starts as f64,
        gb / starts as f64,
    );
    cluster.assert_no_violation(name);
}

/// Prints the figures of docs/supervision/image-locality.md.
#[test]
#[ignore = "takes minutes; its figures are on the page"]
fn trade_off_figures() {
    let sites = [
        MeasuredSite {
            name: "small",
            zones: &["a", "b", "c"],
            machines_per_zone: 30,
            gpus: 2,
            cache_gb: 60,
            rate: 0.3,
            services: 20,
            sizes: &[4, 6, 12],
            images: 16,
            gb: 4.0,
        },
        MeasuredSite {
            name: "wide",
            zones: &["a", "b"],
            machines_per_zone: 12,
            gpus: 8,
            cache_gb: 120,
            rate: 0.8,
            services: 24,
            sizes: &[2, 3, 4],
            images: 10,
            gb: 7.0,
        },
        MeasuredSite {
            name: "large",
            zones: &["a", "b", "c"],
            machines_per_zone: 14,
            gpus: 4,
            cache_gb: 130,
            rate: 0.3,
            services: 10,
            sizes: &[4, 8],
            images: 6,
            gb: 60.0,
        },
    ];
    let spread = ServicePlacementWeights {
        machine_loss: 1_000.0,
        zone_loss: 1_000.0,
        single_zone: 1_000.0,
        machine_pin_cost_s: 0.0,
        min_migration_gain_s: 1.0,
    };
    let careful = ServicePlacementWeights {
        machine_loss: 2.0,
        zone_loss: 0.5,
        ..ServicePlacementWeights::default()
    };
    let weight_sets = [
        ("locality", LOCALITY),
        ("spread", spread),
        ("trade", ServicePlacementWeights::default()),
        ("careful", careful),
    ];
    std::thread::scope(|scope| {
        for half in 0..2 {
            let (sites, weight_sets) = (&sites, &weight_sets);
            scope.spawn(move || {
                for f in sites {
                    for (name, weights) in weight_sets {
                        (1..=3)
                            .filter(|seed| seed % 2 == half)
                            .for_each(|seed| measure_trade_off(f, name, *weights, seed));
                    }
                }
            });
        }
    });
}
