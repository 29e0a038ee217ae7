//! Scale-out planning: chooses the instances to request for tasks without free resources, beyond
//! those that are booting or requested already.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::constants::MAX_INSTANCES_PER_REQUEST;
use lemonweir_model::{Catalog, MachineType, Resources};
use lemonweir_protocol::cloud::ProvisioningRequest;

/// Minimum number of instances past their provisioning timeout for a pool to count as failing.
/// They must also be the majority of those booting there. Other pools are then asked first.
const FAILING_POOL_MIN_OVERDUE: usize = 3;
/// Time for which a pool that had no capacity is not asked again, ms.
const NO_CAPACITY_BACKOFF_MS: u64 = 12_000;

/// Pricing model of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Market {
    /// Full price, until the instance is released.
    OnDemand,
    /// Lower price; the cloud may reclaim the instance.
    Spot,
}

impl Market {
    /// Converts the `spot` flag of messages and settings.
    pub fn from_spot_flag(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }

    /// Returns the `spot` flag for messages and settings.
    pub fn is_spot(self) -> bool {
        self == Self::Spot
    }
}

/// Machine type, zone and market from which the cloud provisions instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstancePool {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Market.
    pub market: Market,
}

impl InstancePool {
    /// Creates the pool of a machine type in a zone and market.
    pub fn new(machine_type: &str, zone: &str, market: Market) -> Self {
        Self {
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            market,
        }
    }
}

impl From<&ProvisioningRequest> for InstancePool {
    fn from(request: &ProvisioningRequest) -> Self {
        let market = Market::from_spot_flag(request.spot);
        Self::new(&request.machine_type, &request.zone, market)
    }
}

/// Tasks for which no machine had free resources.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityDemand {
    /// Team of the tasks' job.
    pub team: String,
    /// Resources required by each task.
    pub need: Resources,
    /// Allowed machine types; `None`: any.
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<String>,
    /// True if spot instances are allowed.
    pub spot_allowed: bool,
    /// True if the tasks do not justify an on-demand instance.
    pub spot_only: bool,
    /// Number of tasks.
    pub count: u32,
    /// True if all tasks must run in one zone.
    pub single_zone: bool,
    /// True for low-priority work: capacity is requested only if no other work lacks any, or if
    /// `must_start_now` is set.
    pub low_priority: bool,
    /// True for the first unit of low-priority work that must start now, even if other work
    /// lacks capacity.
    pub must_start_now: bool,
}

impl CapacityDemand {
    fn allows_type(&self, machine_type: &str) -> bool {
        let types = self.machine_types.as_ref();
        types.is_none_or(|types| types.iter().any(|t| t == machine_type))
    }

    fn allows_market(&self, market: Market) -> bool {
        match market {
            Market::Spot => self.spot_allowed,
            Market::OnDemand => !self.spot_only,
        }
    }
}

/// Booting or requested instance, as a bin into which tasks are packed.
#[derive(Clone, Debug)]
pub struct CapacityBin {
    /// Pool of the instance.
    pub pool: InstancePool,
    /// Resources not yet taken by tasks packed into the bin.
    pub free: Resources,
}

/// Pools that had no capacity, and until when they are not asked again, ms.
#[derive(Default, Debug)]
pub struct CapacityShortages(BTreeMap<InstancePool, u64>);

impl CapacityShortages {
    /// Records that the cloud could not provide all requested instances.
    pub fn record(&mut self, request: &ProvisioningRequest, now: u64) {
        self.0
            .insert(InstancePool::from(request), now + NO_CAPACITY_BACKOFF_MS);
    }

    /// Describes the pools without capacity for operators.
    pub(crate) fn describe(&self, now: u64) -> Vec<String> {
        self.0
            .iter()
            .filter(|(_, until)| now < **until)
            .map(|(pool, _)| {
                let market = if pool.market.is_spot() { " (spot)" } else { "" };
                format!("{} in {}{market}", pool.machine_type, pool.zone)
            })
            .collect()
    }

    fn may_request(&self, pool: &InstancePool, now: u64) -> bool {
        self.0.get(pool).is_none_or(|&until| now >= until)
    }
}

/// An instance that is not registered yet.
#[derive(Clone, Copy, Debug)]
pub struct BootingInstance<'a> {
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Market.
    pub market: Market,
    /// True if the instance is past its provisioning timeout.
    pub overdue: bool,
}

/// Pools in which most booting instances are past their provisioning timeout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailingPools(BTreeSet<InstancePool>);

/// Numbers of booting instances of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct BootingCounts {
    /// Those past their provisioning timeout.
    overdue: usize,
    total: usize,
}

impl BootingCounts {
    fn is_failing(self) -> bool {
        self.overdue >= FAILING_POOL_MIN_OVERDUE && self.overdue * 2 > self.total
    }
}

impl FailingPools {
    /// Determines the failing pools from the booting instances.
    pub fn new<'a>(booting: impl Iterator<Item = BootingInstance<'a>>) -> Self {
        let mut counts: BTreeMap<(&str, &str, Market), BootingCounts> = BTreeMap::new();
        for instance in booting {
            let counts = counts
                .entry((instance.machine_type, instance.zone, instance.market))
                .or_default();
            counts.overdue += usize::from(instance.overdue);
            counts.total += 1;
        }
        Self(
            counts
                .into_iter()
                .filter(|(_, counts)| counts.is_failing())
                .map(|((machine_type, zone, market), _)| {
                    InstancePool::new(machine_type, zone, market)
                })
                .collect(),
        )
    }

    fn contains(&self, pool: &InstancePool) -> bool {
        self.0.contains(pool)
    }
}

/// Constraints and preferences on where instances may be provisioned.
#[derive(Clone, Copy, Debug)]
pub struct ProvisioningOptions<'a> {
    /// Zones partitioned from this controller: no instances are requested there.
    pub partitioned_zones: &'a BTreeSet<&'a str>,
    /// Pools whose instances fail to boot: avoided while other pools have capacity.
    pub failing_pools: &'a FailingPools,
    /// Machine types with their capacity, prices and zones.
    pub catalog: &'a Catalog,
    /// Pools that had no capacity.
    pub shortages: &'a CapacityShortages,
}

/// Instances to request from one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOut {
    /// Pool to request the instances from.
    pub pool: InstancePool,
    /// Number of instances, at most [`MAX_INSTANCES_PER_REQUEST`].
    pub count: u32,
}

/// Pool from which an instance may be requested for a demand.
struct Offer<'a> {
    failing: bool,
    price_per_task: f64,
    /// Number of machines that the zone has, including those that the plan adds.
    zone_machines: usize,
    pool: InstancePool,
    machine_type: &'a MachineType,
}

impl Offer<'_> {
    /// Orders failing pools last, then by price per task, then by the zone's number of machines.
    fn preference(&self, other: &Self) -> std::cmp::Ordering {
        self.failing
            .cmp(&other.failing)
            .then(self.price_per_task.total_cmp(&other.price_per_task))
            .then(self.zone_machines.cmp(&other.zone_machines))
    }
}

/// Plans the instances to request now. No instances are requested in partitioned zones, and
/// booting instances there count only for tasks that may run nowhere else. Failing pools are
/// asked only if no other pool has capacity. `machines_by_zone` is the number of machines in
/// each zone.
pub fn plan_scale_out(
    demands: &[CapacityDemand],
    booting: &[CapacityBin],
    machines_by_zone: &BTreeMap<String, usize>,
    options: &ProvisioningOptions<'_>,
    now: u64,
) -> Vec<ScaleOut> {
    let mut planner = ScaleOutPlanner {
        options,
        now,
        bins: booting.to_vec(),
        machines_by_zone: machines_by_zone.clone(),
    };
    for demand in demands {
        planner.plan_demand(demand);
    }
    planner.into_scale_out(booting.len())
}

/// Scale-out plan in progress.
struct ScaleOutPlanner<'a> {
    options: &'a ProvisioningOptions<'a>,
    now: u64,
    /// Booting instances, followed by those that the plan adds.
    bins: Vec<CapacityBin>,
    machines_by_zone: BTreeMap<String, usize>,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Packs the tasks of a demand into the bins, and adds bins for the rest.
    fn plan_demand(&mut self, demand: &CapacityDemand) {
        let zone = self.required_zone(demand);
        let mut unplaced = self.pack_into_bins(demand, zone.as_deref());
        while unplaced > 0 {
            let Some(offer) = self.best_offer(demand, zone.as_deref()) else {
                break;
            };
            unplaced -= self.add_bin(demand, offer, unplaced);
        }
    }

    /// Returns the only zone allowed for a demand, if any. A gang that must run in one zone gets
    /// the zone in whose bins most of its tasks fit.
    fn required_zone(&self, demand: &CapacityDemand) -> Option<String> {
        if demand.zone.is_some() || !demand.single_zone || demand.count <= 1 {
            return demand.zone.clone();
        }
        let types = self.options.catalog.values();
        let zones: BTreeSet<&String> = types
            .flat_map(|t| &t.zones)
            .filter(|zone| !self.is_partitioned(zone))
            .collect();
        zones
            .into_iter()
            .max_by_key(|zone| {
                let fitting = self.tasks_fitting_in(demand, zone);
                (fitting, std::cmp::Reverse(self.zone_machines(zone)))
            })
            .cloned()
    }

    /// Counts the tasks of a demand that fit into the bins of a zone.
    fn tasks_fitting_in(&self, demand: &CapacityDemand, zone: &str) -> u64 {
        self.bins
            .iter()
            .filter(|bin| bin.pool.zone == zone)
            .filter(|bin| demand.spot_allowed || !bin.pool.market.is_spot())
            .map(|bin| tasks_in(&bin.free, &demand.need))
            .sum()
    }

    fn is_partitioned(&self, zone: &str) -> bool {
        self.options.partitioned_zones.contains(zone)
    }

    fn zone_machines(&self, zone: &str) -> usize {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Packs as many tasks of a demand as fit into the bins, spot instances first. Returns how
    /// many are left.
    fn pack_into_bins(&mut self, demand: &CapacityDemand, zone: Option<&str>) -> u64 {
        let partitioned_zones = self.options.partitioned_zones;
        let mut unplaced = u64::from(demand.count);
        for market in [Market::Spot, Market::OnDemand] {
            if market == Market::Spot && !demand.spot_allowed {
                continue;
            }
            for bin in &mut self.bins {
                if unplaced == 0 {
                    return 0;
                }
                let in_zone = match zone {
                    Some(zone) => zone == bin.pool.zone,
                    None => !partitioned_zones.contains(bin.pool.zone.as_str()),
                };
                if bin.pool.market != market
                    || !in_zone
                    || !demand.allows_type(&bin.pool.machine_type)
                    || !bin.free.covers(&demand.need)
                {
                    continue;
                }
                let packed = tasks_in(&bin.free, &demand.need).min(unplaced);
                bin.free = bin.free.minus(&demand.need.times(packed));
                unplaced -= packed;
            }
        }
        unplaced
    }

    /// Returns the best pool from which to request an instance for a demand.
    fn best_offer(&self, demand: &CapacityDemand, zone: Option<&str>) -> Option<Offer<'a>> {
        let catalog = self.options.catalog;
        catalog
            .values()
            .filter(|t| demand.allows_type(&t.name) && t.capacity.covers(&demand.need))
            .flat_map(|machine_type| {
                let zones = machine_type.zones.iter();
                zones
                    .filter(|z| !self.is_partitioned(z))
                    .filter(move |z| zone.is_none_or(|required| required == z.as_str()))
                    .flat_map(move |z| {
                        [Market::Spot, Market::OnDemand]
                            .into_iter()
                            .filter_map(move |market| self.offer(demand, machine_type, z, market))
                    })
            })
            .min_by(Offer::preference)
    }

    /// Returns the offer of one pool for a demand; `None`: the pool is not allowed for it, or
    /// recently had no capacity.
    fn offer(
        &self,
        demand: &CapacityDemand,
        machine_type: &'a MachineType,
        zone: &str,
        market: Market,
    ) -> Option<Offer<'a>> {
        let price = match market {
            Market::Spot if machine_type.spot_price <= 0.0 => return None,
            Market::Spot => machine_type.spot_price,
            Market::OnDemand => machine_type.on_demand_price,
        };
        let pool = InstancePool::new(&machine_type.name, zone, market);
        if !demand.allows_market(market) || !self.options.shortages.may_request(&pool, self.now) {
            return None;
        }
        let tasks = tasks_in(&machine_type.capacity, &demand.need)
            .min(u64::from(demand.count))
            .max(1);
        Some(Offer {
            failing: self.options.failing_pools.contains(&pool),
            price_per_task: price / tasks as f64,
            zone_machines: self.zone_machines(zone),
            pool,
            machine_type,
        })
    }

    /// Adds an instance to the plan. Returns how many of the unplaced tasks it takes.
    fn add_bin(&mut self, demand: &CapacityDemand, offer: Offer<'_>, unplaced: u64) -> u64 {
        let Offer {
            pool, machine_type, ..
        } = offer;
        let capacity = machine_type.capacity;
        *self.machines_by_zone.entry(pool.zone.clone()).or_default() += 1;
        let packed = tasks_in(&capacity, &demand.need).clamp(1, unplaced);
        self.bins.push(CapacityBin {
            pool,
            free: capacity.minus(&demand.need.times(packed)),
        });
        packed
    }

    /// Returns the instances that the plan added after the first `booting_count` bins, by pool.
    fn into_scale_out(self, booting_count: usize) -> Vec<ScaleOut> {
        let mut counts: BTreeMap<InstancePool, u32> = BTreeMap::new();
        for bin in self.bins.into_iter().skip(booting_count) {
            *counts.entry(bin.pool).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(pool, count)| ScaleOut {
                pool,
                count: count.min(MAX_INSTANCES_PER_REQUEST),
            })
            .collect()
    }
}

/// Returns how many tasks that each require `need` fit into free resources.
pub(crate) fn tasks_in(free: &Resources, need: &Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    ratio(free.milli_cpus, need.milli_cpus)
        .min(ratio(free.milli_gpus, need.milli_gpus))
        .min(ratio(free.memory_mb, need.memory_mb))
}
