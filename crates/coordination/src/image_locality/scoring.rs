//! Locality scoring: the places for a replica as classes, in the order of their cost.

use lemonweir_model::policy::ServicePlacementWeights;

/// How many times as long a fetch counts beside another on the same machine: less than
/// twice, since part of the other is mostly over.
const ONE_OTHER_FETCH_FACTOR: f64 = 1.5;
/// The same beside two others or more.
const SEVERAL_OTHER_FETCHES_FACTOR: f64 = 3.0;
/// Replicas that a machine with several counts as, with a further one: the few that are
/// under half of the job.
const SEVERAL_REPLICAS: u32 = 4;
/// How many times the risk of a whole job counts on a machine that would hold over half of
/// it: its service would be below what is restored first.
const MAJORITY_RISK_FACTOR: f64 = 4.0;
/// Seconds for which a lost replica is down beside its fetch, as far as its place decides:
/// its end is proven and its next start recorded wherever it was.
const RESTART_S: f64 = 5.0;
/// Seconds by which a start is later if the shard's leader is reached through the store.
const VIA_STORE_START_S: f64 = 2.0;

/// How near an image is to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageLocality {
    /// In its cache.
    Cached,
    /// Its fetch is under way.
    Fetching,
    /// Neither, and the machine fetches nothing else.
    Absent,
    /// Neither, and one other fetch would share the fetch rate.
    AbsentOneFetch,
    /// Neither, and two other fetches or more would share the fetch rate.
    AbsentSeveralFetches,
    /// Neither, whatever else the machine fetches.
    AbsentAnywhere,
}

impl ImageLocality {
    /// How many there are.
    pub(crate) const COUNT: usize = 6;

    /// Position among them, below [`Self::COUNT`].
    pub(crate) fn index(self) -> usize {
        match self {
            Self::Cached => 0,
            Self::Fetching => 1,
            Self::Absent => 2,
            Self::AbsentOneFetch => 3,
            Self::AbsentSeveralFetches => 4,
            Self::AbsentAnywhere => 5,
        }
    }
}

/// How many replicas of the job a machine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaSpread {
    /// None.
    Zero,
    /// One.
    One,
    /// Two or more.
    Several,
    /// So many that with one more it would hold over half of the job.
    Majority,
}

/// How much of the job a zone has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneShare {
    /// Less than its equal share.
    Below,
    /// Its equal share or more.
    Reached,
}

/// What a machine is in use for, and so paid for already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineUsage {
    /// A spot instance, for a task that may use it.
    Spot,
    /// It has long-running tasks.
    LongRunning,
    /// It has only tasks that run to completion.
    RunToCompletion,
    /// It has no tasks.
    Idle,
}

/// Machines that the scoring does not tell apart. `None`: it makes no difference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementClass {
    /// Cost of a place there, s.
    pub cost_s: f64,
    /// How near the image is.
    pub image_locality: ImageLocality,
    /// Replicas of the job on the machine.
    pub replicas: Option<ReplicaSpread>,
    /// Share of the job that its zone has.
    pub zone_share: Option<ZoneShare>,
    /// What the machine is in use for.
    pub usage: Option<MachineUsage>,
    /// True if it has free GPUs that the task has no use for.
    pub strands_gpus: Option<bool>,
    /// True if the shard's leader is reached only through messages in the store.
    pub via_store: Option<bool>,
}

impl PlacementClass {
    /// All machines that have the image, at no cost.
    const ALL_CACHED: Self = Self {
        cost_s: 0.0,
        image_locality: ImageLocality::Cached,
        replicas: None,
        zone_share: None,
        usage: None,
        strands_gpus: None,
        via_store: None,
    };
}

/// What the placement of a task risks, and what makes a difference for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRisk {
    /// It runs until its job is cancelled: only then it risks something.
    pub long_running: bool,
    /// Tasks of its job.
    pub task_count: u32,
    /// Fetch time of its image, s.
    pub fetch_s: f64,
    /// What is left of the fetch time where a fetch is under way, s.
    pub remaining_fetch_s: f64,
    /// It may use spot instances.
    pub spot_allowed: bool,
    /// It may use spot instances, and half of its job is on some already.
    pub half_on_spot: bool,
    /// It needs no GPU.
    pub without_gpus: bool,
    /// Its job has replicas placed.
    pub has_replicas: bool,
    /// Zones that it may go to, if its job has replicas in some: their equal shares are
    /// computed from this. 0 or 1: zones make no difference.
    pub zone_count: u32,
    /// All of its job's replicas are in one zone so far.
    pub single_zone: bool,
    /// Some shards' leaders are reached only through messages in the store.
    pub via_store: bool,
    /// Cached images go before everything: it is a replica that was up and is down until
    /// it serves again.
    pub cached_first: bool,
}

impl PlacementRisk {
    /// The equal share of the job for each zone, in replicas.
    pub fn fair_zone_share(&self) -> u32 {
        self.task_count.div_ceil(self.zone_count.max(1))
    }

    /// Fraction of the job that so many replicas are, at most 1.
    fn fraction(&self, replicas: u32) -> f64 {
        (f64::from(replicas) / f64::from(self.task_count.max(1))).min(1.0)
    }

    /// How a machine with so many replicas of the job counts.
    pub fn replica_spread(&self, replicas: u32) -> ReplicaSpread {
        match replicas {
            0 => ReplicaSpread::Zero,
            n if 2 * (n + 1) > self.task_count => ReplicaSpread::Majority,
            1 => ReplicaSpread::One,
            _ => ReplicaSpread::Several,
        }
    }

    /// How long a lost replica is down where its image must be fetched, s.
    fn downtime_s(&self) -> f64 {
        self.fetch_s + RESTART_S
    }

    /// Cost of sharing a machine with so many others of its job, s.
    pub fn replica_cost_s(&self, policy: &ServicePlacementWeights, spread: ReplicaSpread) -> f64 {
        let lost = match spread {
            ReplicaSpread::Zero => 0.0,
            ReplicaSpread::One => self.fraction(2),
            ReplicaSpread::Several => self.fraction(SEVERAL_REPLICAS),
            ReplicaSpread::Majority => MAJORITY_RISK_FACTOR,
        };
        policy.machine_loss * self.downtime_s() * lost
    }

    /// Cost of going to a zone which has its share already, or where all others of its job
    /// are, s.
    pub fn zone_cost_s(&self, policy: &ServicePlacementWeights, share: ZoneShare) -> f64 {
        let beyond_share = policy.zone_loss * self.fraction(self.fair_zone_share() + 1);
        let risk = match (share, self.single_zone) {
            (ZoneShare::Below, _) => 0.0,
            (ZoneShare::Reached, true) => policy.single_zone.max(beyond_share),
            (ZoneShare::Reached, false) => beyond_share,
        };
        risk * self.downtime_s()
    }

    /// Cost of going to a spot instance when half of its job is on some, s.
    fn spot_cost_s(&self, policy: &ServicePlacementWeights) -> f64 {
        if self.half_on_spot {
            policy.zone_loss * self.fraction(self.task_count / 2 + 1) * self.downtime_s()
        } else {
            0.0
        }
    }
}

/// The classes in the order of their costs; of those that cost the same, the one with the
/// nearer image goes first. What makes no difference is no class of its own, so that a job
/// without replicas, or risk weights of 0, cost few walks.
pub fn placement_classes(
    policy: &ServicePlacementWeights,
    risk: &PlacementRisk,
) -> Vec<PlacementClass> {
    if !risk.long_running {
        return run_to_completion_classes();
    }
    let classes = vec![PlacementClass::ALL_CACHED];
    let classes = split(classes, &locality_options(risk), |class, locality| {
        class.image_locality = locality;
    });
    let classes = split(classes, &usage_options(policy, risk), |class, usage| {
        class.usage = usage;
    });
    let classes = split(classes, &gpu_options(policy, risk), |class, strands| {
        class.strands_gpus = strands;
    });
    let classes = split(classes, &spread_options(policy, risk), |class, spread| {
        class.replicas = spread.replicas;
        class.zone_share = spread.zone_share;
    });
    let mut classes = split(classes, &via_store_options(risk), |class, via_store| {
        class.via_store = via_store;
    });
    let deferred =
        |class: &PlacementClass| risk.cached_first && class.image_locality != ImageLocality::Cached;
    classes.sort_by(|a, b| {
        deferred(a)
            .cmp(&deferred(b))
            .then(a.cost_s.total_cmp(&b.cost_s))
    });
    classes
}

/// Tasks that run to completion risk nothing: only the image decides.
fn run_to_completion_classes() -> Vec<PlacementClass> {
    [
        ImageLocality::Cached,
        ImageLocality::Fetching,
        ImageLocality::AbsentAnywhere,
    ]
    .map(|image_locality| PlacementClass {
        image_locality,
        ..PlacementClass::ALL_CACHED
    })
    .to_vec()
}

/// Splits each class by the values of one more property, each with its cost, s.
fn split<T: Copy>(
    classes: Vec<PlacementClass>,
    options: &[(T, f64)],
    set: impl Fn(&mut PlacementClass, T),
) -> Vec<PlacementClass> {
    let mut split = Vec::with_capacity(classes.len() * options.len());
    for class in classes {
        for &(value, cost_s) in options {
            let mut class = PlacementClass {
                cost_s: class.cost_s + cost_s,
                ..class
            };
            set(&mut class, value);
            split.push(class);
        }
    }
    split
}

/// How long the task waits for its image.
fn locality_options(risk: &PlacementRisk) -> [(ImageLocality, f64); 5] {
    let fetch_s = risk.fetch_s;
    [
        (ImageLocality::Cached, 0.0),
        (ImageLocality::Fetching, risk.remaining_fetch_s),
        (ImageLocality::Absent, fetch_s),
        (
            ImageLocality::AbsentOneFetch,
            ONE_OTHER_FETCH_FACTOR * fetch_s,
        ),
        (
            ImageLocality::AbsentSeveralFetches,
            SEVERAL_OTHER_FETCHES_FACTOR * fetch_s,
        ),
    ]
}

/// What is paid anew for a machine.
fn usage_options(
    policy: &ServicePlacementWeights,
    risk: &PlacementRisk,
) -> Vec<(Option<MachineUsage>, f64)> {
    if policy.machine_pin_cost_s <= 0.0 && !risk.spot_allowed {
        return vec![(None, 0.0)];
    }
    // An on-demand machine for a task that may use spot instances is paid for anew.
    let on_demand_s = if risk.spot_allowed {
        policy.machine_pin_cost_s
    } else {
        0.0
    };
    let mut options = Vec::with_capacity(4);
    if risk.spot_allowed {
        options.push((Some(MachineUsage::Spot), risk.spot_cost_s(policy)));
    }
    options.extend([
        (Some(MachineUsage::LongRunning), on_demand_s),
        (
            Some(MachineUsage::RunToCompletion),
            on_demand_s + policy.machine_pin_cost_s,
        ),
        (
            Some(MachineUsage::Idle),
            on_demand_s + 2.0 * policy.machine_pin_cost_s,
        ),
    ]);
    options
}

/// What stranded GPUs cost: more than a machine that has no other tasks.
fn gpu_options(policy: &ServicePlacementWeights, risk: &PlacementRisk) -> Vec<(Option<bool>, f64)> {
    if risk.without_gpus {
        vec![
            (Some(false), 0.0),
            (Some(true), 2.0 * policy.machine_pin_cost_s),
        ]
    } else {
        vec![(None, 0.0)]
    }
}

/// Replicas of the job that a machine and its zone have.
#[derive(Clone, Copy)]
struct Spread {
    replicas: Option<ReplicaSpread>,
    zone_share: Option<ZoneShare>,
}

/// What the loss of a machine or a zone would take of the job, as one sum.
fn spread_options(policy: &ServicePlacementWeights, risk: &PlacementRisk) -> Vec<(Spread, f64)> {
    let mut options = Vec::new();
    for (replicas, machine_cost_s) in replica_options(policy, risk) {
        for (zone_share, zone_cost_s) in zone_options(policy, risk) {
            let spread = Spread {
                replicas,
                zone_share,
            };
            options.push((spread, machine_cost_s + zone_cost_s));
        }
    }
    options
}

fn replica_options(
    policy: &ServicePlacementWeights,
    risk: &PlacementRisk,
) -> Vec<(Option<ReplicaSpread>, f64)> {
    if !risk.has_replicas || policy.machine_loss <= 0.0 {
        return vec![(None, 0.0)];
    }
    [
        ReplicaSpread::Zero,
        ReplicaSpread::One,
        ReplicaSpread::Several,
        ReplicaSpread::Majority,
    ]
    .map(|spread| (Some(spread), risk.replica_cost_s(policy, spread)))
    .to_vec()
}

fn zone_options(
    policy: &ServicePlacementWeights,
    risk: &PlacementRisk,
) -> Vec<(Option<ZoneShare>, f64)> {
    if risk.zone_count <= 1 || risk.zone_cost_s(policy, ZoneShare::Reached) <= 0.0 {
        return vec![(None, 0.0)];
    }
    [ZoneShare::Below, ZoneShare::Reached]
        .map(|share| (Some(share), risk.zone_cost_s(policy, share)))
        .to_vec()
}

/// By how much a start is later through the store.
fn via_store_options(risk: &PlacementRisk) -> Vec<(Option<bool>, f64)> {
    if risk.via_store {
        vec![(Some(false), 0.0), (Some(true), VIA_STORE_START_S)]
    } else {
        vec![(None, 0.0)]
    }
}
