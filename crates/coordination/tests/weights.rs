//! The trade's classes compared with slow plain models: full scores over all machines,
//! and the walk as it was before there was a trade, with its looks counted.

use std::cmp::Reverse;

use lemonweir_coordination::image_locality::book::Book;
use lemonweir_coordination::image_locality::trade::{
    ImageLocality, MachineUsage, PlacementClass, PlacementRisk, ReplicaSpread, classes,
};
use lemonweir_coordination::image_locality::walk::{PlacedReplicas, Walk};
use lemonweir_coordination::owner::Owner;
use lemonweir_coordination::placement::{PlacementIndex, PlacementRequest};
use lemonweir_model::constants::*;
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

/// One draw: the machines of some parts, and a replica that looks for a place.
struct Draw {
    shards: Vec<Vec<MachineView>>,
    order: Vec<(usize, bool)>,
    need: Resources,
    image_mb: u64,
    spot: bool,
    /// Machines with replicas of its job, each once a replica.
    live: Vec<(MachineId, &'static str)>,
    tasks: u32,
    trade: ServicePlacementWeights,
    here_first: bool,
    lasting: bool,
}

fn draw(rng: &mut ChaCha8Rng, most: usize) -> Draw {
    let shards = rng.random_range(1..=3usize);
    // How full the fleet is, and how many machines have the image.
    let (full, warm) = (rng.random::<f64>(), rng.random::<f64>());
    let spots = rng.random::<f64>() < 0.5;
    let mut at = 0;
    let shards: Vec<Vec<MachineView>> = (0..shards)
        .map(|p| {
            let n = rng.random_range(0..most);
            (0..n)
                .map(|_| {
                    at += 1;
                    let gpus = if rng.random::<f64>() < full {
                        0
                    } else {
                        rng.random_range(0..=4)
                    };
                    let busy: u16 = if gpus == 4 {
                        rng.random_range(0..2)
                    } else {
                        4 - gpus as u16
                    };
                    let mut m = support::shown(at, gpus);
                    m.zone = ZONES[if rng.random::<f64>() < 0.8 {
                        p
                    } else {
                        rng.random_range(0..3)
                    }]
                    .into();
                    m.spot = spots && rng.random();
                    m.schedulable = rng.random::<f64>() < 0.95;
                    m.task_count = busy;
                    m.service_task_count = rng.random_range(0..=busy);
                    if rng.random::<f64>() < warm {
                        m.cached_images.push("img".into());
                    } else if rng.random::<f64>() < 0.1 {
                        m.pulling_images.push("img".into());
                    }
                    let others = [0, 0, 0, 1, 2][rng.random_range(0..5usize)];
                    m.pulling_images.extend((0..others).map(|n| format!("other-{n}")));
                    m
                })
                .collect()
        })
        .collect();
    let tasks = rng.random_range(2..9u32);
    let all: Vec<&MachineView> = shards.iter().flatten().collect();
    let live = (0..rng.random_range(0..tasks)).filter_map(|_| {
        // Few machines, so that some have several.
        let m = all.get(rng.random_range(0..all.len().clamp(1, 12)))?;
        Some((
            m.id.clone(),
            ZONES[ZONES.iter().position(|z| *z == m.zone)?],
        ))
    });
    let live = live.collect();
    let weight = |rng: &mut ChaCha8Rng| [0.0, 0.3, 1.0, 20.0][rng.random_range(0..4usize)];
    let pin_s = [0.0, 8.0, 40.0][rng.random_range(0..3usize)];
    let trade = ServicePlacementWeights {
        machine_loss: weight(rng),
        zone_loss: weight(rng),
        single_zone: weight(rng),
        machine_pin_cost_s: pin_s,
        min_migration_gain_s: 1.0,
    };
    let mut order: Vec<(usize, bool)> = (0..shards.len())
        .map(|p| (p, rng.random::<f64>() < 0.2))
        .collect();
    order.sort_by_key(|(_, mail)| *mail);
    Draw {
        order,
        need: Resources::capacity(4.0, if rng.random::<f64>() < 0.2 { 0.0 } else { 1.0 }, 8.0),
        image_mb: 2_000,
        spot: spots && rng.random(),
        live,
        tasks,
        trade,
        here_first: rng.random(),
        lasting: rng.random::<f64>() < 0.8,
        shards,
    }
}

impl Draw {
    fn ask(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            need: self.need,
            types: None,
            zones: None,
            spot: self.spot,
            lasting: self.lasting,
            image: "img",
            image_mb: self.image_mb,
            avoid: &[],
            only: None,
            frugal: false,
        }
    }

    fn stakes(&self) -> PlacementRisk {
        let zones: std::collections::BTreeSet<&str> = self
            .shards
            .iter()
            .flatten()
            .map(|m| m.zone.as_str())
            .collect();
        let kin = !self.live.is_empty();
        let on_spot = |id: &MachineId| self.shards.iter().flatten().any(|m| m.id == *id && m.spot);
        PlacementRisk {
            lasting: self.lasting,
            tasks: self.tasks,
            fetch_s: FETCH_S,
            coming_s: FETCH_S / 2.0,
            spot: self.spot,
            wave: self.spot
                && kin
                && 2 * self.live.iter().filter(|(id, _)| on_spot(id)).count() as u32 >= self.tasks,
            plain: self.need.milli_gpus == 0,
            kin,
            zones: if kin && zones.len() > 1 {
                zones.len() as u32
            } else {
                0
            },
            one_zone: self.live.iter().all(|(_, z)| *z == self.live[0].1),
            mail: self.order.iter().any(|(_, mail)| *mail),
            here_first: self.here_first,
        }
    }

    fn light(&self, stakes: &PlacementRisk) -> Vec<&'static str> {
        let fair = if stakes.one_zone {
            1
        } else {
            stakes.fair() as usize
        };
        ZONES
            .into_iter()
            .filter(|z| self.live.iter().filter(|(_, zone)| zone == z).count() < fair)
            .collect()
    }

    /// Where the classes lead: the walk, and the looks that it took.
    fn walk(&self) -> (Option<(usize, usize)>, u64) {
        let fields: Vec<PlacementIndex> =
            self.shards.iter().map(|p| PlacementIndex::new(p)).collect();
        let stakes = self.stakes();
        let light = self.light(&stakes);
        let light = (stakes.zones > 1).then_some(light.as_slice());
        let kindred: Vec<PlacedReplicas> = fields
            .iter()
            .map(|f| PlacedReplicas::of(f, &stakes, self.live.iter().map(|(id, _)| id), light))
            .collect();
        let ask = self.ask();
        let found =
            Walk::new(&fields, &self.order, &ask, &kindred).find(&classes(&self.trade, &stakes));
        (
            found.map(|(p, i, _)| (p, i)),
            fields.iter().map(PlacementIndex::looked).sum(),
        )
    }

    fn has_room(&self, m: &MachineView) -> bool {
        m.registered && m.schedulable && (self.spot || !m.spot) && m.free.covers(&self.need)
    }

    /// Seconds that a place costs, straight from the words of the policy.
    fn score(&self, m: &MachineView, mail: bool) -> f64 {
        let (here, coming) = (
            m.cached_images.iter().any(|i| i == "img"),
            m.pulling_images.iter().any(|i| i == "img"),
        );
        let wait = match (here, coming, m.pulling_images.len()) {
            (true, _, _) => 0.0,
            (_, true, _) => FETCH_S / 2.0,
            (_, _, 0) => FETCH_S,
            (_, _, 1) => FETCH_S * 1.5,
            _ => FETCH_S * 3.0,
        };
        let tasks = f64::from(self.tasks);
        let lost = FETCH_S + 5.0;
        let machine = match self.live.iter().filter(|(id, _)| *id == m.id).count() {
            0 => 0.0,
            n if (n + 1) as f64 > tasks / 2.0 => self.trade.machine_loss * lost * 4.0,
            1 => self.trade.machine_loss * lost * 2.0 / tasks,
            _ => self.trade.machine_loss * lost * 4.0 / tasks,
        };
        let stakes = self.stakes();
        let in_zone = self.live.iter().filter(|(_, zone)| *zone == m.zone).count() as u32;
        // A zone counts as one that has its share just reached, however far beyond.
        let beyond = self.trade.zone_loss * lost * (f64::from(stakes.fair() + 1) / tasks).min(1.0);
        let all = in_zone > 0 && in_zone as usize == self.live.len();
        let zone = match (stakes.zones > 1, all) {
            (true, true) => beyond.max(self.trade.single_zone * lost),
            (true, false) if in_zone >= stakes.fair() => beyond,
            _ => 0.0,
        };
        let wave = if stakes.wave && m.spot {
            self.trade.zone_loss * lost * (f64::from(self.tasks / 2 + 1) / tasks).min(1.0)
        } else {
            0.0
        };
        let pin = self.trade.machine_pin_cost_s;
        let pay = if m.spot {
            0.0
        } else {
            pin * [0.0, 1.0, 2.0]
                [usize::from(m.service_task_count == 0) + usize::from(m.service_task_count == 0 && m.task_count == 0)]
        };
        let ordinary = if self.spot && !m.spot { pin } else { 0.0 };
        let strands = if self.need.milli_gpus == 0 && m.free.milli_gpus > 0 {
            2.0 * pin
        } else {
            0.0
        };
        wait + machine + zone + wave + pay + ordinary + strands + if mail { 2.0 } else { 0.0 }
    }

    /// The walk before there was a trade: the first of three nearnesses that has room,
    /// and in it the best packed; with the looks that it took.
    fn before(&self) -> (Option<(usize, usize)>, u64) {
        let mut looks = 0;
        for near in 0..3 {
            for &(p, _) in &self.order {
                let machines = &self.shards[p];
                looks += machines.len().div_ceil(64) as u64;
                let of = |m: &&MachineView| match near {
                    0 => m.cached_images.iter().any(|i| i == "img"),
                    1 => m.pulling_images.iter().any(|i| i == "img"),
                    _ => true,
                };
                let open = |m: &&MachineView| m.registered && m.schedulable && (self.spot || !m.spot);
                looks += machines.iter().filter(of).filter(open).count() as u64;
                let best = machines
                    .iter()
                    .enumerate()
                    .filter(|(_, m)| of(m) && self.has_room(m))
                    .min_by_key(|(i, m)| {
                        let company = if self.lasting { m.service_task_count } else { 0 };
                        let fetches = if near == 2 { m.pulling_images.len() } else { 0 };
                        let strands = self.need.milli_gpus == 0 && m.free.milli_gpus > 0;
                        (
                            strands,
                            self.spot && !m.spot,
                            m.task_count == 0,
                            fetches,
                            Reverse((company, m.task_count)),
                            *i,
                        )
                    });
                if let Some((i, _)) = best {
                    return (Some((p, i)), looks);
                }
            }
        }
        (None, looks)
    }
}

/// What the classes choose has the least full score of all machines with room; the
/// coarsening (three or more alike, a zone beyond its share alike) is in the score.
#[test]
fn the_classes_choose_what_full_scores_choose() {
    let mut rng = ChaCha8Rng::seed_from_u64(71);
    let (mut found, mut risky) = (0, 0);
    for _ in 0..3_000 {
        let mut d = draw(&mut rng, 60);
        d.lasting = true;
        let (place, _) = d.walk();
        let mut least: Option<(bool, f64)> = None;
        for &(p, mail) in &d.order {
            for m in d.shards[p].iter().filter(|m| d.has_room(m)) {
                let one = (
                    d.here_first && !m.cached_images.iter().any(|i| i == "img"),
                    d.score(m, mail),
                );
                least = Some(least.filter(|l| *l <= one).unwrap_or(one));
            }
        }
        match (place, least) {
            (Some((p, i)), Some((late, least))) => {
                let m = &d.shards[p][i];
                let mail = d.order.iter().any(|(q, mail)| *q == p && *mail);
                assert!(d.has_room(m));
                let here = m.cached_images.iter().any(|i| i == "img");
                assert!(
                    (d.score(m, mail) - least).abs() < 1e-9,
                    "score {} of {least}",
                    d.score(m, mail)
                );
                assert!(!d.here_first || here != late);
                found += 1;
                risky += usize::from(d.live.iter().any(|(id, _)| *id == m.id));
            }
            (None, None) => {}
            (place, least) => panic!("{place:?} and {least:?}"),
        }
    }
    assert!(
        found > 1_000 && risky > 20,
        "{found} places, {risky} beside others of the job"
    );
}

/// What runs until it is done goes where it went before, and no placement looks at
/// more on average, services included.
#[test]
fn looks_and_arrays_stay_as_they_were() {
    let mut rng = ChaCha8Rng::seed_from_u64(72);
    let (mut looks, mut before) = ([0, 0], [0, 0]);
    for n in 0..1_500 {
        let mut d = draw(&mut rng, if n % 3 == 0 { 450 } else { 60 });
        d.trade = ServicePlacementWeights::default();
        let ((place, now), (then, was)) = (d.walk(), d.before());
        if !d.lasting {
            assert_eq!(place, then);
        }
        assert_eq!(place.is_some(), then.is_some());
        looks[usize::from(d.lasting)] += now;
        before[usize::from(d.lasting)] += was;
    }
    assert!(
        looks[0] <= before[0] && looks[1] <= before[1],
        "{looks:?} of {before:?}"
    );
    println!("looks a placement: {looks:?}, before {before:?}");
}

/// With weights that only know one side the order is that side's.
#[test]
fn each_weight_alone_decides_alone() {
    let stakes = PlacementRisk {
        lasting: true,
        tasks: 4,
        fetch_s: 5.0,
        coming_s: 2.5,
        kin: true,
        zones: 2,
        ..PlacementRisk::default()
    };
    let locality = classes(
        &ServicePlacementWeights {
            machine_loss: 0.0,
            zone_loss: 0.0,
            single_zone: 0.0,
            machine_pin_cost_s: 0.0,
            min_migration_gain_s: 1.0,
        },
        &stakes,
    );
    assert_eq!(
        locality.iter().map(|c| c.near).collect::<Vec<_>>(),
        [
            ImageLocality::Here,
            ImageLocality::Coming,
            ImageLocality::Away,
            ImageLocality::Beside,
            ImageLocality::Crowded
        ]
    );
    let spread = classes(
        &ServicePlacementWeights {
            machine_loss: TRADE_MOST,
            zone_loss: TRADE_MOST,
            single_zone: TRADE_MOST,
            machine_pin_cost_s: 0.0,
            min_migration_gain_s: 1.0,
        },
        &stakes,
    );
    let of = |c: &PlacementClass| (c.kin, c.light);
    let firsts: Vec<_> = spread.iter().take(5).map(of).collect();
    assert_eq!(
        firsts,
        [(Some(ReplicaSpread::Nobody), Some(true)); 5],
        "spread first, then near"
    );
    // By default: in use and warm, beside one of its own, before a machine that is pinned anew.
    let usual = classes(&ServicePlacementWeights::default(), &stakes);
    let at = |kin, hold| {
        usual.iter().position(|c| {
            (c.near, c.kin, c.light, c.hold)
                == (ImageLocality::Here, Some(kin), Some(true), Some(hold))
        })
    };
    assert!(
        at(ReplicaSpread::Nobody, MachineUsage::Settled)
            < at(ReplicaSpread::One, MachineUsage::Settled)
    );
    assert!(
        at(ReplicaSpread::One, MachineUsage::Settled)
            < at(ReplicaSpread::Nobody, MachineUsage::Used)
    );
    assert!(
        at(ReplicaSpread::Nobody, MachineUsage::Used)
            < at(ReplicaSpread::Nobody, MachineUsage::Empty)
    );
}

/// The embedded policy is what is used where none is given; a weight out of range or
/// with another name is named, and nothing else is taken from that script.
#[test]
fn the_policys_weights_are_checked() {
    assert_eq!(
        lemonweir_policy::embedded().expect("fine").placement_weights,
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
            .expect("never mind")
            .placement_weights
            .single_zone,
        0.0
    );
}

fn spec(n: usize, image: &str, gb: f64, shape: JobKind) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        image: image.into(),
        image_gb: gb,
        kind: shape,
        ..support::array(1)
    }
}

/// A cache that holds two of three models: what comes drops the one used least of
/// late, and only what somebody would miss counts.
#[test]
fn a_cache_that_holds_two_of_three_models() {
    let mut book = Book::default();
    let jobs = [
        spec(1, "one", 40.0, JobKind::Service),
        spec(2, "two", 40.0, JobKind::Service),
        spec(3, "three", 20.0, JobKind::Array),
    ];
    jobs.iter().for_each(|s| book.note(&s.id, Some(s)));
    let cached = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    assert_eq!(book.take_needed().map(|n| n.len()), Some(2));
    assert_eq!(book.take_needed(), None, "told once");
    assert_eq!(book.spare_mb(&cached(&["one", "two"]), 100_000), 20_000);
    assert_eq!(book.spare_mb(&cached(&["old", "one"]), 100_000), 60_000);
    assert_eq!(
        book.spare_mb(&cached(&["one", "old"]), 100_000),
        60_000,
        "nobody misses the last"
    );
    // Of two machines alike the third model goes where it drops nothing.
    let mut machines = [support::shown(1, 2), support::shown(2, 2)];
    machines[0].cached_images = cached(&["one", "two"]);
    machines[1].cached_images = cached(&["one"]);
    let mut field = PlacementIndex::new(&machines);
    for m in &machines {
        field.set_spare(&m.id, book.spare_mb(&m.cached_images, 100_000));
    }
    let mut d = draw(&mut ChaCha8Rng::seed_from_u64(1), 2);
    (d.need, d.spot, d.lasting) = (Resources::capacity(4.0, 1.0, 8.0), false, false);
    let place = |mb| {
        field.first_fit(&PlacementRequest {
            image: "third",
            image_mb: mb,
            ..d.ask()
        })
    };
    assert_eq!(place(20_000), Some(0));
    assert_eq!(
        place(30_000),
        Some(1),
        "the first would drop what a service uses"
    );
    // A job that ends is missed by nobody; the size stays known.
    book.note(&jobs[1].id, None);
    assert_eq!(book.spare_mb(&cached(&["one", "two"]), 100_000), 60_000);
    assert_eq!(book.mb("two"), Some(40_000));
    assert_eq!(book.take_needed().map(|n| n.len()), Some(1));
    book.note(&jobs[1].id, None);
    book.note(&jobs[0].id, Some(&spec(1, "other", 1.0, JobKind::Service)));
    assert_eq!(book.spare_mb(&cached(&["one"]), 100_000), 100_000);
}

/// Runs a job's only task on a machine to its end, with this image.
fn run_once(owner: &mut Owner, n: usize, job: usize, image: &str, state: &mut u64, now: u64) {
    let id = AttemptId {
        job: JobId::from(format!("req-{job:06}").as_str()),
        task: 0,
        attempt: 1,
    };
    let wanted = DesiredAttempt {
        id: id.clone(),
        image: image.into(),
        ..support::want(0, n)
    };
    let mut tell = |owner: &mut Owner, wants, dropped| {
        *state += 1;
        let span = ChangeRange {
            since: *state - 1,
            until: *state,
            complete: true,
        };
        let message = SyncRequest {
            withdrawn: dropped,
            ..support::sync(*state, span, wants, ObservedState::default())
        };
        owner.sync(&message, support::ROOM, now).expect("taken");
    };
    tell(owner, vec![wanted], Vec::new());
    drop(owner.calls(now, support::ROOM));
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
            .report(
                &Heartbeat {
                    tasks: vec![task],
                    ..support::report(n, now + k as u64)
                },
                None,
                now,
            )
            .expect("answered");
    }
    tell(owner, Vec::new(), vec![id]);
    owner
        .report(&support::report(n, now + 2), None, now)
        .expect("answered");
}

/// Who is given back first, of machines that all ran empty, the one with a service's
/// only weights first.
fn given_back_first(needed: &[&str]) -> (MachineId, usize) {
    let mut owner = support::fleet(3);
    owner.set_needed(needed.iter().map(|i| (*i).to_owned()).collect());
    let (mut state, mut now) = (0, 1_000);
    for (n, image) in ["model", "batch", "batch"].into_iter().enumerate() {
        run_once(&mut owner, n, n, image, &mut state, now);
        now += 500;
    }
    let mut first = None;
    let mut given = 0;
    while now < 90_000 {
        now += 100;
        for n in (0..3).filter(|_| now % 3_000 == 0) {
            owner.report(&support::report(n, now), None, now);
        }
        owner.tick(now, now);
        let names = owner.releases();
        owner.released(&names, true, now);
        given += names.len();
        first = first.or(names.into_iter().next());
    }
    (first.expect("given back"), given)
}

/// The last copy of a service's weights goes last; nothing is kept that went before.
#[test]
fn the_last_copy_is_given_back_last() {
    assert_eq!(
        given_back_first(&[]),
        (support::machine(0), 3),
        "it was empty longest"
    );
    let (first, given) = given_back_first(&["model"]);
    assert_ne!(first, support::machine(0));
    assert_eq!(given, 3, "no machine is kept for it");
}
