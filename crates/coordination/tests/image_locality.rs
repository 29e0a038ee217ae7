//! Locality scoring against plain reference models: full scores over all machines, and the search
//! before locality scoring, with the number of candidates that it examined.

use std::cmp::Reverse;

use lemonweir_coordination::image_locality::scoring::{
    ImageLocality, MachineUsage, PlacementClass, PlacementRisk, ReplicaSpread, ZoneShare,
    placement_classes,
};
use lemonweir_coordination::image_locality::usage::ImageUsage;
use lemonweir_coordination::owner::Owner;
use lemonweir_coordination::placement::{
    CandidateShard, CandidateWalk, PlacedReplicas, PlacementIndex, PlacementRequest,
};
use lemonweir_model::constants::MAX_RISK_WEIGHT;
use lemonweir_model::policy::ServicePlacementWeights;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, MachineId, Resources};
use lemonweir_protocol::peer::{
    ChangeRange, DesiredAttempt, MachineView, ObservedState, SyncRequest,
};
use lemonweir_protocol::worker::{Heartbeat, TaskPhase, TaskStatus};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod support;

const ZONES: [&str; 3] = ["a", "b", "c"];
const FETCH_S: f64 = 13.0;

/// A random scenario: the machines of some shards, and a task to place.
struct Scenario {
    shards: Vec<Vec<MachineView>>,
    shard_order: Vec<CandidateShard>,
    need: Resources,
    image_mb: u64,
    spot_allowed: bool,
    /// Machine and zone of each placed replica of its job.
    placed: Vec<(MachineId, &'static str)>,
    task_count: u32,
    policy: ServicePlacementWeights,
    cached_first: bool,
    long_running: bool,
}

fn scenario(rng: &mut ChaCha8Rng, max_machines: usize) -> Scenario {
    let shard_count = rng.random_range(1..=3usize);
    // How full the fleet is, and how many machines have the image.
    let (full, warm) = (rng.random::<f64>(), rng.random::<f64>());
    let spot_exists = rng.random::<f64>() < 0.5;
    let mut machine_number = 0;
    let shards: Vec<Vec<MachineView>> = (0..shard_count)
        .map(|shard| {
            let machines = rng.random_range(0..max_machines);
            (0..machines)
                .map(|_| {
                    machine_number += 1;
                    random_machine(rng, machine_number, shard, full, warm, spot_exists)
                })
                .collect()
        })
        .collect();
    let task_count = rng.random_range(2..9u32);
    let all: Vec<&MachineView> = shards.iter().flatten().collect();
    let placed = (0..rng.random_range(0..task_count)).filter_map(|_| {
        // Few machines, so that some have several replicas.
        let m = all.get(rng.random_range(0..all.len().clamp(1, 12)))?;
        Some((
            m.id.clone(),
            ZONES[ZONES.iter().position(|z| *z == m.zone)?],
        ))
    });
    let placed = placed.collect();
    let weight = |rng: &mut ChaCha8Rng| [0.0, 0.3, 1.0, 20.0][rng.random_range(0..4usize)];
    let pin_s = [0.0, 8.0, 40.0][rng.random_range(0..3usize)];
    let policy = ServicePlacementWeights {
        machine_loss: weight(rng),
        zone_loss: weight(rng),
        single_zone: weight(rng),
        machine_pin_cost_s: pin_s,
        min_migration_gain_s: 1.0,
    };
    let mut shard_order: Vec<CandidateShard> = (0..shards.len())
        .map(|shard| CandidateShard {
            shard,
            via_store: rng.random::<f64>() < 0.2,
        })
        .collect();
    shard_order.sort_by_key(|s| s.via_store);
    Scenario {
        shard_order,
        need: Resources::capacity(4.0, if rng.random::<f64>() < 0.2 { 0.0 } else { 1.0 }, 8.0),
        image_mb: 2_000,
        spot_allowed: spot_exists && rng.random(),
        placed,
        task_count,
        policy,
        cached_first: rng.random(),
        long_running: rng.random::<f64>() < 0.8,
        shards,
    }
}

fn random_machine(
    rng: &mut ChaCha8Rng,
    number: usize,
    shard: usize,
    full: f64,
    warm: f64,
    spot_exists: bool,
) -> MachineView {
    let free_gpus = if rng.random::<f64>() < full {
        0
    } else {
        rng.random_range(0..=4)
    };
    let busy: u16 = if free_gpus == 4 {
        rng.random_range(0..2)
    } else {
        4 - free_gpus as u16
    };
    let mut m = support::machine_view(number, free_gpus);
    m.zone = ZONES[if rng.random::<f64>() < 0.8 {
        shard
    } else {
        rng.random_range(0..3)
    }]
    .into();
    m.spot = spot_exists && rng.random();
    m.schedulable = rng.random::<f64>() < 0.95;
    m.task_count = busy;
    m.service_task_count = rng.random_range(0..=busy);
    if rng.random::<f64>() < warm {
        m.cached_images.push("img".into());
    } else if rng.random::<f64>() < 0.1 {
        m.pulling_images.push("img".into());
    }
    let other_fetches = [0, 0, 0, 1, 2][rng.random_range(0..5usize)];
    m.pulling_images
        .extend((0..other_fetches).map(|n| format!("other-{n}")));
    m
}

fn has_image(m: &MachineView) -> bool {
    m.cached_images.iter().any(|i| i == "img")
}

fn fetches_image(m: &MachineView) -> bool {
    m.pulling_images.iter().any(|i| i == "img")
}

impl Scenario {
    fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            need: self.need,
            machine_types: None,
            zones: None,
            spot_allowed: self.spot_allowed,
            long_running: self.long_running,
            image: "img",
            image_mb: self.image_mb,
            excluded_machines: &[],
            restricted_to: None,
            avoid_idle_on_demand: false,
        }
    }

    fn risk(&self) -> PlacementRisk {
        let zones: std::collections::BTreeSet<&str> = self
            .shards
            .iter()
            .flatten()
            .map(|m| m.zone.as_str())
            .collect();
        let has_replicas = !self.placed.is_empty();
        let on_spot = |id: &MachineId| self.shards.iter().flatten().any(|m| m.id == *id && m.spot);
        let spot_replicas = self.placed.iter().filter(|(id, _)| on_spot(id)).count() as u32;
        PlacementRisk {
            long_running: self.long_running,
            task_count: self.task_count,
            fetch_s: FETCH_S,
            remaining_fetch_s: FETCH_S / 2.0,
            spot_allowed: self.spot_allowed,
            half_on_spot: self.spot_allowed && has_replicas && 2 * spot_replicas >= self.task_count,
            without_gpus: self.need.milli_gpus == 0,
            has_replicas,
            zone_count: if has_replicas && zones.len() > 1 {
                zones.len() as u32
            } else {
                0
            },
            single_zone: self.placed.iter().all(|(_, z)| *z == self.placed[0].1),
            via_store: self.shard_order.iter().any(|s| s.via_store),
            cached_first: self.cached_first,
        }
    }

    fn zones_below_share(&self, risk: &PlacementRisk) -> Vec<&'static str> {
        let fair_share = if risk.single_zone {
            1
        } else {
            risk.fair_zone_share() as usize
        };
        ZONES
            .into_iter()
            .filter(|z| self.placed.iter().filter(|(_, zone)| zone == z).count() < fair_share)
            .collect()
    }

    /// The machine that the classes select, as shard and slot, and the number of candidates
    /// examined.
    fn walk(&self) -> (Option<(usize, usize)>, u64) {
        let indexes: Vec<PlacementIndex> =
            self.shards.iter().map(|p| PlacementIndex::new(p)).collect();
        let risk = self.risk();
        let below_share = self.zones_below_share(&risk);
        let below_share = (risk.zone_count > 1).then_some(below_share.as_slice());
        let replicas: Vec<PlacedReplicas> = indexes
            .iter()
            .map(|index| {
                let machines = self.placed.iter().map(|(id, _)| id);
                PlacedReplicas::new(index, &risk, machines, below_share)
            })
            .collect();
        let request = self.request();
        let found = CandidateWalk::new(&indexes, &self.shard_order, &request, &replicas)
            .find(&placement_classes(&self.policy, &risk));
        (
            found.map(|candidate| (candidate.shard, candidate.slot)),
            indexes
                .iter()
                .map(PlacementIndex::candidates_examined)
                .sum(),
        )
    }

    fn fits(&self, m: &MachineView) -> bool {
        m.registered && m.schedulable && (self.spot_allowed || !m.spot) && m.free.covers(&self.need)
    }

    /// Score of a machine, s, computed directly from the definition of the policy.
    fn full_score_s(&self, m: &MachineView, via_store: bool) -> f64 {
        let wait = match (has_image(m), fetches_image(m), m.pulling_images.len()) {
            (true, _, _) => 0.0,
            (_, true, _) => FETCH_S / 2.0,
            (_, _, 0) => FETCH_S,
            (_, _, 1) => FETCH_S * 1.5,
            _ => FETCH_S * 3.0,
        };
        let tasks = f64::from(self.task_count);
        let downtime_s = FETCH_S + 5.0;
        let machine = match self.placed.iter().filter(|(id, _)| *id == m.id).count() {
            0 => 0.0,
            n if (n + 1) as f64 > tasks / 2.0 => self.policy.machine_loss * downtime_s * 4.0,
            1 => self.policy.machine_loss * downtime_s * 2.0 / tasks,
            _ => self.policy.machine_loss * downtime_s * 4.0 / tasks,
        };
        let risk = self.risk();
        let in_zone = self.placed.iter().filter(|(_, z)| *z == m.zone).count() as u32;
        // A zone beyond its share counts as one that has just reached it.
        let beyond_share = self.policy.zone_loss
            * downtime_s
            * (f64::from(risk.fair_zone_share() + 1) / tasks).min(1.0);
        let all_in_zone = in_zone > 0 && in_zone as usize == self.placed.len();
        let zone = match (risk.zone_count > 1, all_in_zone) {
            (true, true) => beyond_share.max(self.policy.single_zone * downtime_s),
            (true, false) if in_zone >= risk.fair_zone_share() => beyond_share,
            _ => 0.0,
        };
        let spot_loss = if risk.half_on_spot && m.spot {
            let lost = (f64::from(self.task_count / 2 + 1) / tasks).min(1.0);
            self.policy.zone_loss * downtime_s * lost
        } else {
            0.0
        };
        let pin_s = self.policy.machine_pin_cost_s;
        let usage = if m.spot {
            0.0
        } else {
            pin_s
                * [0.0, 1.0, 2.0][usize::from(m.service_task_count == 0)
                    + usize::from(m.service_task_count == 0 && m.task_count == 0)]
        };
        let on_demand = if self.spot_allowed && !m.spot {
            pin_s
        } else {
            0.0
        };
        let stranded_gpus = if self.need.milli_gpus == 0 && m.free.milli_gpus > 0 {
            2.0 * pin_s
        } else {
            0.0
        };
        let late_start = if via_store { 2.0 } else { 0.0 };
        wait + machine + zone + spot_loss + usage + on_demand + stranded_gpus + late_start
    }

    /// The search before locality scoring: the best packed machine of the first of three
    /// localities that has one with free resources, and the number of candidates examined.
    fn walk_before_scoring(&self) -> (Option<(usize, usize)>, u64) {
        let mut examined = 0;
        for locality in 0..3 {
            for &CandidateShard { shard, .. } in &self.shard_order {
                let machines = &self.shards[shard];
                examined += machines.len().div_ceil(64) as u64;
                let has_locality = |m: &&MachineView| match locality {
                    0 => has_image(m),
                    1 => fetches_image(m),
                    _ => true,
                };
                let eligible = |m: &&MachineView| {
                    m.registered && m.schedulable && (self.spot_allowed || !m.spot)
                };
                examined += machines
                    .iter()
                    .filter(has_locality)
                    .filter(eligible)
                    .count() as u64;
                let best = machines
                    .iter()
                    .enumerate()
                    .filter(|(_, m)| has_locality(m) && self.fits(m))
                    .min_by_key(|(slot, m)| {
                        let long_running = if self.long_running {
                            m.service_task_count
                        } else {
                            0
                        };
                        let fetch_count = if locality == 2 {
                            m.pulling_images.len()
                        } else {
                            0
                        };
                        let strands_gpus = self.need.milli_gpus == 0 && m.free.milli_gpus > 0;
                        (
                            strands_gpus,
                            self.spot_allowed && !m.spot,
                            m.task_count == 0,
                            fetch_count,
                            Reverse((long_running, m.task_count)),
                            *slot,
                        )
                    });
                if let Some((slot, _)) = best {
                    return (Some((shard, slot)), examined);
                }
            }
        }
        (None, examined)
    }
}

/// The machine that the classes select has the lowest full score of all machines with free
/// resources. The score is as coarse as the classes: three or more replicas count alike, and so
/// does any zone beyond its share.
#[test]
fn classes_select_the_machine_with_the_lowest_full_score() {
    let mut rng = ChaCha8Rng::seed_from_u64(71);
    let (mut found, mut beside_replicas) = (0, 0);
    for _ in 0..3_000 {
        let mut case = scenario(&mut rng, 60);
        case.long_running = true;
        let (place, _) = case.walk();
        let mut lowest: Option<(bool, f64)> = None;
        for &CandidateShard { shard, via_store } in &case.shard_order {
            for m in case.shards[shard].iter().filter(|m| case.fits(m)) {
                let score = (
                    case.cached_first && !has_image(m),
                    case.full_score_s(m, via_store),
                );
                lowest = Some(lowest.filter(|l| *l <= score).unwrap_or(score));
            }
        }
        match (place, lowest) {
            (Some((shard, slot)), Some((deferred, lowest_s))) => {
                let m = &case.shards[shard][slot];
                let via_store = case
                    .shard_order
                    .iter()
                    .any(|s| s.shard == shard && s.via_store);
                assert!(case.fits(m));
                let score_s = case.full_score_s(m, via_store);
                assert!(
                    (score_s - lowest_s).abs() < 1e-9,
                    "score {score_s} s, lowest {lowest_s} s"
                );
                assert!(!case.cached_first || has_image(m) != deferred);
                found += 1;
                beside_replicas += usize::from(case.placed.iter().any(|(id, _)| *id == m.id));
            }
            (None, None) => {}
            (place, lowest) => panic!("selected {place:?}, lowest score {lowest:?}"),
        }
    }
    assert!(
        found > 1_000 && beside_replicas > 20,
        "{found} placements, {beside_replicas} beside replicas of the same job"
    );
}

/// Run-to-completion tasks are placed as before locality scoring, and placements, also those of
/// services, examine no more candidates on average.
#[test]
fn scoring_examines_no_more_candidates_and_keeps_the_placement_of_arrays() {
    let mut rng = ChaCha8Rng::seed_from_u64(72);
    let (mut examined, mut examined_before) = ([0, 0], [0, 0]);
    for n in 0..1_500 {
        let mut case = scenario(&mut rng, if n % 3 == 0 { 450 } else { 60 });
        case.policy = ServicePlacementWeights::default();
        let ((place, count), (place_before, count_before)) =
            (case.walk(), case.walk_before_scoring());
        if !case.long_running {
            assert_eq!(place, place_before);
        }
        assert_eq!(place.is_some(), place_before.is_some());
        examined[usize::from(case.long_running)] += count;
        examined_before[usize::from(case.long_running)] += count_before;
    }
    assert!(
        examined[0] <= examined_before[0] && examined[1] <= examined_before[1],
        "{examined:?} of {examined_before:?}"
    );
    println!("candidates examined: {examined:?}, before {examined_before:?}");
}

/// If the policy weighs only locality or only spread, the classes are ordered by that alone.
#[test]
fn a_policy_of_one_weight_orders_by_that_weight() {
    let risk = PlacementRisk {
        long_running: true,
        task_count: 4,
        fetch_s: 5.0,
        remaining_fetch_s: 2.5,
        has_replicas: true,
        zone_count: 2,
        ..PlacementRisk::default()
    };
    let by_locality = placement_classes(
        &ServicePlacementWeights {
            machine_loss: 0.0,
            zone_loss: 0.0,
            single_zone: 0.0,
            machine_pin_cost_s: 0.0,
            min_migration_gain_s: 1.0,
        },
        &risk,
    );
    assert_eq!(
        by_locality
            .iter()
            .map(|c| c.image_locality)
            .collect::<Vec<_>>(),
        [
            ImageLocality::Cached,
            ImageLocality::Fetching,
            ImageLocality::Absent,
            ImageLocality::AbsentOneFetch,
            ImageLocality::AbsentSeveralFetches
        ]
    );
    let by_spread = placement_classes(
        &ServicePlacementWeights {
            machine_loss: MAX_RISK_WEIGHT,
            zone_loss: MAX_RISK_WEIGHT,
            single_zone: MAX_RISK_WEIGHT,
            machine_pin_cost_s: 0.0,
            min_migration_gain_s: 1.0,
        },
        &risk,
    );
    let spread = |c: &PlacementClass| (c.replicas, c.zone_share);
    let first_classes: Vec<_> = by_spread.iter().take(5).map(spread).collect();
    assert_eq!(
        first_classes,
        [(Some(ReplicaSpread::Zero), Some(ZoneShare::Below)); 5],
        "spread first, then locality"
    );
    // By default a machine in use that has the image cached comes before one that is paid for
    // anew, even if a replica of the same job runs on it.
    let by_default = placement_classes(&ServicePlacementWeights::default(), &risk);
    let rank = |replicas, usage| {
        by_default.iter().position(|c| {
            (c.image_locality, c.replicas, c.zone_share, c.usage)
                == (
                    ImageLocality::Cached,
                    Some(replicas),
                    Some(ZoneShare::Below),
                    Some(usage),
                )
        })
    };
    assert!(
        rank(ReplicaSpread::Zero, MachineUsage::LongRunning)
            < rank(ReplicaSpread::One, MachineUsage::LongRunning)
    );
    assert!(
        rank(ReplicaSpread::One, MachineUsage::LongRunning)
            < rank(ReplicaSpread::Zero, MachineUsage::RunToCompletion)
    );
    assert!(
        rank(ReplicaSpread::Zero, MachineUsage::RunToCompletion)
            < rank(ReplicaSpread::Zero, MachineUsage::Idle)
    );
}

/// The embedded policy, which applies if none is given, has the default weights. Weights that are
/// out of range, unknown or missing are reported, and nothing of that script is used.
#[test]
fn policy_weights_out_of_range_or_unknown_are_rejected() {
    assert_eq!(
        lemonweir_policy::embedded()
            .expect("valid policy")
            .placement_weights,
        ServicePlacementWeights::default()
    );
    let with = |from: &str, to: &str| {
        lemonweir_policy::evaluate(&lemonweir_policy::DEFAULT_POLICY.replace(from, to))
    };
    let faults = with("risk_machine = 0.25", "risk_machine = -1").expect_err("out of range");
    assert_eq!(
        faults,
        ["policy: risk_machine must be a number from 0 to 1000"]
    );
    assert_eq!(
        with("pin_s = 6", "pin_s = 4000")
            .expect_err("too long")
            .len(),
        1
    );
    assert_eq!(
        with("risk_zone = 0.1", "risk_zonne = 0.3")
            .expect_err("unknown and missing")
            .len(),
        2
    );
    assert_eq!(
        with("risk_one_zone = 3", "risk_one_zone = 0")
            .expect("valid weight")
            .placement_weights
            .single_zone,
        0.0
    );
}

fn spec(n: usize, image: &str, gb: f64, job_kind: JobKind) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        image: image.into(),
        image_gb: gb,
        kind: job_kind,
        ..support::array_job(1)
    }
}

/// A cache that holds two of three images: a fetch evicts the least recently used one, and only
/// images that unfinished jobs use count.
#[test]
fn cache_headroom_counts_only_images_in_use() {
    let mut usage = ImageUsage::default();
    let jobs = [
        spec(1, "one", 40.0, JobKind::Service),
        spec(2, "two", 40.0, JobKind::Service),
        spec(3, "three", 20.0, JobKind::Array),
    ];
    jobs.iter().for_each(|s| usage.record_job(&s.id, Some(s)));
    let cached = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    assert_eq!(
        usage.take_changed_service_images().map(|n| n.len()),
        Some(2)
    );
    assert_eq!(usage.take_changed_service_images(), None, "published once");
    assert_eq!(
        usage.cache_headroom_mb(&cached(&["one", "two"]), 100_000),
        20_000
    );
    assert_eq!(
        usage.cache_headroom_mb(&cached(&["old", "one"]), 100_000),
        60_000
    );
    assert_eq!(
        usage.cache_headroom_mb(&cached(&["one", "old"]), 100_000),
        60_000,
        "no job uses the last one"
    );
    // Of two equal machines the third image goes to the one where it evicts nothing.
    let mut machines = [support::machine_view(1, 2), support::machine_view(2, 2)];
    machines[0].cached_images = cached(&["one", "two"]);
    machines[1].cached_images = cached(&["one"]);
    let mut index = PlacementIndex::new(&machines);
    for m in &machines {
        index.set_cache_headroom(&m.id, usage.cache_headroom_mb(&m.cached_images, 100_000));
    }
    let mut case = scenario(&mut ChaCha8Rng::seed_from_u64(1), 2);
    (case.need, case.spot_allowed, case.long_running) =
        (Resources::capacity(4.0, 1.0, 8.0), false, false);
    let place = |mb| {
        index.first_fit(&PlacementRequest {
            image: "third",
            image_mb: mb,
            ..case.request()
        })
    };
    assert_eq!(place(20_000), Some(0));
    assert_eq!(
        place(30_000),
        Some(1),
        "the first machine would evict an image that a service uses"
    );
    // The image of an ended job is not in use, but its size stays known.
    usage.record_job(&jobs[1].id, None);
    assert_eq!(
        usage.cache_headroom_mb(&cached(&["one", "two"]), 100_000),
        60_000
    );
    assert_eq!(usage.size_mb("two"), Some(40_000));
    assert_eq!(
        usage.take_changed_service_images().map(|n| n.len()),
        Some(1)
    );
    usage.record_job(&jobs[1].id, None);
    usage.record_job(&jobs[0].id, Some(&spec(1, "other", 1.0, JobKind::Service)));
    assert_eq!(usage.cache_headroom_mb(&cached(&["one"]), 100_000), 100_000);
}

/// Runs a job's only task, with this image, on a machine until it ends.
fn run_once(owner: &mut Owner, n: usize, job: usize, image: &str, revision: &mut u64, now: u64) {
    let id = AttemptId {
        job: JobId::from(format!("req-{job:06}").as_str()),
        task: 0,
        attempt: 1,
    };
    let wanted = DesiredAttempt {
        id: id.clone(),
        image: image.into(),
        ..support::desired_attempt(0, n)
    };
    let mut sync = |owner: &mut Owner, wants, withdrawn_attempts| {
        *revision += 1;
        let range = ChangeRange {
            since: *revision - 1,
            until: *revision,
            complete: true,
        };
        let message = SyncRequest {
            withdrawn: withdrawn_attempts,
            ..support::sync_request(*revision, range, wants, ObservedState::default())
        };
        owner
            .sync(&message, support::MAX_MESSAGE_BYTES, now)
            .expect("sync accepted");
    };
    sync(owner, vec![wanted], Vec::new());
    drop(owner.due_calls(now, support::MAX_MESSAGE_BYTES));
    for (k, phase) in [TaskPhase::Running, TaskPhase::Exited]
        .into_iter()
        .enumerate()
    {
        let cause = (phase == TaskPhase::Exited).then(|| "done".to_owned());
        let task = TaskStatus {
            task: id.task_name(),
            attempt: 1,
            phase,
            exit_cause: cause,
            checkpointed: None,
        };
        owner
            .handle_heartbeat(
                &Heartbeat {
                    tasks: vec![task],
                    ..support::heartbeat(n, now + k as u64)
                },
                None,
                now,
            )
            .expect("answered");
    }
    sync(owner, Vec::new(), vec![id]);
    owner
        .handle_heartbeat(&support::heartbeat(n, now + 2), None, now)
        .expect("answered");
}

/// The first machine released and the number released, of three that become idle one after the
/// other, the one with the only copy of the image `model` first.
fn first_released(service_images: &[&str]) -> (MachineId, usize) {
    let mut owner = support::owner_with_machines(3);
    owner.set_service_images(service_images.iter().map(|i| (*i).to_owned()).collect());
    let (mut revision, mut now) = (0, 1_000);
    for (n, image) in ["model", "batch", "batch"].into_iter().enumerate() {
        run_once(&mut owner, n, n, image, &mut revision, now);
        now += 500;
    }
    let mut first = None;
    let mut released = 0;
    while now < 90_000 {
        now += 100;
        for n in (0..3).filter(|_| now % 3_000 == 0) {
            owner.handle_heartbeat(&support::heartbeat(n, now), None, now);
        }
        owner.tick(now, now);
        let names = owner.begin_releases();
        owner.handle_release_result(&names, true, now);
        released += names.len();
        first = first.or(names.into_iter().next());
    }
    (first.expect("released"), released)
}

/// The machine with the last copy of a service's image is not released first, but is released
/// nevertheless.
#[test]
fn machine_with_the_last_copy_of_an_image_is_not_released_first() {
    assert_eq!(
        first_released(&[]),
        (support::machine_id(0), 3),
        "it was idle for the longest time"
    );
    let (first, released) = first_released(&["model"]);
    assert_ne!(first, support::machine_id(0));
    assert_eq!(released, 3, "no machine is kept for it");
}
