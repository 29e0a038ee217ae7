//! Locality scoring: groups the machines for a replica into classes ordered by cost.

use lemonweir_model::policy::ServicePlacementWeights;

/// Factor on the fetch time beside one other fetch on the same machine: less than 2, since the
/// other fetch is usually partly done.
const ONE_OTHER_FETCH_FACTOR: f64 = 1.5;
/// Factor on the fetch time beside two or more other fetches.
const SEVERAL_OTHER_FETCHES_FACTOR: f64 = 3.0;
/// Replicas assumed on a machine of [`ReplicaSpread::Several`], including the one to place: a
/// small number that is below half of the job.
const ASSUMED_SEVERAL_REPLICAS: u32 = 4;
/// Factor on the risk of losing the whole job, for a machine that would hold over half of it:
/// with its loss the service falls below half of its replicas, the level restored first.
const MAJORITY_RISK_FACTOR: f64 = 4.0;
/// Downtime of a lost replica besides its image fetch, as far as placement affects it, s: its
/// end must be proven and its next start recorded wherever it ran.
const RESTART_S: f64 = 5.0;
/// Delay of a start if the shard's leader is reached only through the store, s.
const VIA_STORE_START_S: f64 = 2.0;

/// Availability of an image on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageLocality {
    /// The image is in the machine's cache.
    Cached,
    /// The machine is fetching the image.
    Fetching,
    /// Neither cached nor being fetched, and the machine fetches nothing else.
    Absent,
    /// Neither cached nor being fetched, and one other fetch would share the bandwidth.
    AbsentOneFetch,
    /// Neither cached nor being fetched, and two or more other fetches would share the bandwidth.
    AbsentSeveralFetches,
    /// Neither cached nor being fetched, whatever else the machine fetches.
    AbsentAnywhere,
}

impl ImageLocality {
    /// Number of variants, for arrays indexed by [`Self::index`].
    pub(crate) const VARIANT_COUNT: usize = 6;

    /// Returns the index of the variant, below [`Self::VARIANT_COUNT`].
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

/// Replicas of the job that a machine has before one more is placed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaSpread {
    /// No replica.
    Zero,
    /// One replica; with one more, at most half of the job.
    One,
    /// Two or more replicas; with one more, at most half of the job.
    Several,
    /// With one more replica, the machine would hold over half of the job.
    Majority,
}

/// Share of the job's replicas that a zone has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneShare {
    /// Less than its equal share.
    Below,
    /// Its equal share or more.
    Reached,
}

/// Present use of a machine, which determines the added price of a further task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineUsage {
    /// A spot instance, for a task that may use it.
    Spot,
    /// The machine has long-running tasks.
    LongRunning,
    /// The machine has only tasks that run to completion.
    RunToCompletion,
    /// The machine has no tasks.
    Idle,
}

/// Machines that score alike. `None` in a property: the class does not depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementClass {
    /// Cost of placing a replica on such a machine, s.
    pub cost_s: f64,
    /// Availability of the image.
    pub image_locality: ImageLocality,
    /// Replicas of the job on the machine.
    pub replicas: Option<ReplicaSpread>,
    /// Share of the job that its zone has.
    pub zone_share: Option<ZoneShare>,
    /// Present use of the machine.
    pub usage: Option<MachineUsage>,
    /// True if the task would strand free GPUs that it does not need.
    pub strands_gpus: Option<bool>,
    /// True if the shard's leader is reached only through messages in the store.
    pub via_store: Option<bool>,
}

impl PlacementClass {
    /// All machines that have the image cached, at no cost.
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

/// Inputs of the scoring for one task: what its placement risks and which properties matter.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementRisk {
    /// The task runs until its job is cancelled. Only such tasks carry a placement risk.
    pub long_running: bool,
    /// Number of tasks of its job.
    pub task_count: u32,
    /// Fetch time of its image, s.
    pub fetch_s: f64,
    /// Remaining fetch time on a machine that is fetching the image, s.
    pub remaining_fetch_s: f64,
    /// The task may use spot instances.
    pub spot_allowed: bool,
    /// The task may use spot instances, and half of its job is on spot instances already.
    pub half_on_spot: bool,
    /// The task needs no GPU.
    pub without_gpus: bool,
    /// Replicas of its job are placed already.
    pub has_replicas: bool,
    /// Number of zones allowed for the task, if its job has replicas in any; determines the
    /// equal share of each zone. 0 or 1: zones make no difference.
    pub zone_count: u32,
    /// All placed replicas of its job are in one zone.
    pub single_zone: bool,
    /// The leaders of some shards are reached only through messages in the store.
    pub via_store: bool,
    /// Machines that have the image cached precede all others: the task is a replica that was
    /// up, and it is down until it serves again.
    pub cached_first: bool,
}

impl PlacementRisk {
    /// Returns the equal share of the job for each zone, in replicas.
    pub fn fair_zone_share(&self) -> u32 {
        self.task_count.div_ceil(self.zone_count.max(1))
    }

    /// Returns the fraction of the job that `replicas` make up, at most 1.
    fn fraction(&self, replicas: u32) -> f64 {
        (f64::from(replicas) / f64::from(self.task_count.max(1))).min(1.0)
    }

    /// Classifies a machine by the number of replicas of the job on it.
    pub fn replica_spread(&self, replicas: u32) -> ReplicaSpread {
        match replicas {
            0 => ReplicaSpread::Zero,
            n if 2 * (n + 1) > self.task_count => ReplicaSpread::Majority,
            1 => ReplicaSpread::One,
            _ => ReplicaSpread::Several,
        }
    }

    /// Returns the downtime of a lost replica whose image must be fetched, s.
    fn downtime_s(&self) -> f64 {
        self.fetch_s + RESTART_S
    }

    /// Returns the cost of sharing a machine with other replicas of the job, s.
    pub fn replica_cost_s(&self, policy: &ServicePlacementWeights, spread: ReplicaSpread) -> f64 {
        let lost = match spread {
            ReplicaSpread::Zero => 0.0,
            ReplicaSpread::One => self.fraction(2),
            ReplicaSpread::Several => self.fraction(ASSUMED_SEVERAL_REPLICAS),
            ReplicaSpread::Majority => MAJORITY_RISK_FACTOR,
        };
        policy.machine_loss * self.downtime_s() * lost
    }

    /// Returns the cost of placing the task in a zone, s: 0 below the zone's equal share, and
    /// subject to the policy's `single_zone` minimum if all placed replicas are in one zone.
    pub fn zone_cost_s(&self, policy: &ServicePlacementWeights, share: ZoneShare) -> f64 {
        let beyond_share = policy.zone_loss * self.fraction(self.fair_zone_share() + 1);
        let risk = match (share, self.single_zone) {
            (ZoneShare::Below, _) => 0.0,
            (ZoneShare::Reached, true) => policy.single_zone.max(beyond_share),
            (ZoneShare::Reached, false) => beyond_share,
        };
        risk * self.downtime_s()
    }

    /// Returns the cost of a further spot instance when half of the job is on spot instances
    /// already, s.
    fn spot_cost_s(&self, policy: &ServicePlacementWeights) -> f64 {
        if self.half_on_spot {
            policy.zone_loss * self.fraction(self.task_count / 2 + 1) * self.downtime_s()
        } else {
            0.0
        }
    }
}

/// Returns the classes ordered by cost; among equal costs, the class with the better image
/// locality comes first. Properties that make no difference do not split classes, so a job
/// without replicas, or risk weights of 0, result in few passes over the machines.
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

/// Returns the classes for tasks that run to completion. They carry no placement risk, so only
/// image locality counts.
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

/// Splits each class by the values of a further property; each value adds its cost, s.
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

/// Returns the wait for the image, s, by image locality.
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

/// Returns the added price of a machine by its present use.
fn usage_options(
    policy: &ServicePlacementWeights,
    risk: &PlacementRisk,
) -> Vec<(Option<MachineUsage>, f64)> {
    if policy.machine_pin_cost_s <= 0.0 && !risk.spot_allowed {
        return vec![(None, 0.0)];
    }
    // A task that could use a spot instance adds to the price of an on-demand machine.
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

/// Returns the cost of stranding GPUs: as much as that of a machine without other tasks.
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

/// Replicas of the job on a machine and in its zone.
#[derive(Clone, Copy)]
struct Spread {
    replicas: Option<ReplicaSpread>,
    zone_share: Option<ZoneShare>,
}

/// Returns the summed costs of losing a machine and of losing a zone.
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

/// Returns the delay of a start through the store.
fn via_store_options(risk: &PlacementRisk) -> Vec<(Option<bool>, f64)> {
    if risk.via_store {
        vec![(Some(false), 0.0), (Some(true), VIA_STORE_START_S)]
    } else {
        vec![(None, 0.0)]
    }
}
