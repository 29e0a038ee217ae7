//! Scale out: which instances to request for the tasks that found no free resources, beyond
//! those that are booting or requested already.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::constants::MAX_INSTANCES_PER_REQUEST;
use lemonweir_model::{Catalog, MachineType, Resources};
use lemonweir_protocol::cloud::ProvisioningRequest;

/// Instances of a pool past their provisioning timeout from which on, if they are most of
/// what boots there, capacity is requested elsewhere first.
const FAILING_POOL_MIN_OVERDUE: usize = 3;
/// ms for which a pool that had no capacity is not asked again.
const NO_CAPACITY_BACKOFF_MS: u64 = 12_000;

/// How an instance is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Market {
    /// At the full price, until it is released.
    OnDemand,
    /// At a lower price; the cloud may reclaim it.
    Spot,
}

impl Market {
    /// The market that a `spot` flag of messages and settings stands for.
    pub fn from_spot_flag(spot: bool) -> Self {
        if spot { Self::Spot } else { Self::OnDemand }
    }

    /// The `spot` flag of messages and settings.
    pub fn is_spot(self) -> bool {
        self == Self::Spot
    }
}

/// Instances that the cloud provisions alike.
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
    /// The pool of these names.
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

/// Tasks that found no free resources.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityDemand {
    /// The team.
    pub team: String,
    /// Resources that each takes.
    pub need: Resources,
    /// Allowed machine types; `None`: any.
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<String>,
    /// True if spot instances are allowed.
    pub spot_allowed: bool,
    /// True if they are not worth an on-demand instance.
    pub spot_only: bool,
    /// How many tasks.
    pub count: u32,
    /// True if all must be in one zone.
    pub single_zone: bool,
    /// Idle work: capacity is requested for it only if nothing else lacks any.
    pub idle: bool,
    /// The first unit of idle work that must start now, whatever else lacks capacity.
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

/// An instance that is booting or requested, as a bin to pack tasks into.
#[derive(Clone, Debug)]
pub struct CapacityBin {
    /// Its pool.
    pub pool: InstancePool,
    /// Free resources.
    pub free: Resources,
}

/// Pools that had no capacity, and until when they are not asked, ms.
#[derive(Default, Debug)]
pub struct CapacityShortages(BTreeMap<InstancePool, u64>);

impl CapacityShortages {
    /// Records that the cloud had not all of what was requested.
    pub fn record(&mut self, request: &ProvisioningRequest, now: u64) {
        self.0
            .insert(InstancePool::from(request), now + NO_CAPACITY_BACKOFF_MS);
    }

    /// The pools without capacity, in the words that operators are shown.
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

/// An instance that boots.
#[derive(Clone, Copy, Debug)]
pub struct BootingInstance<'a> {
    /// Machine type.
    pub machine_type: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Market.
    pub market: Market,
    /// True if it is past its provisioning timeout.
    pub overdue: bool,
}

/// Pools in which most of the booting instances are past their provisioning timeout.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailingPools(BTreeSet<InstancePool>);

/// Booting instances of a pool.
#[derive(Clone, Copy, Debug, Default)]
struct BootingCounts {
    overdue: usize,
    all: usize,
}

impl BootingCounts {
    fn is_failing(self) -> bool {
        self.overdue >= FAILING_POOL_MIN_OVERDUE && self.overdue * 2 > self.all
    }
}

impl FailingPools {
    /// The failing pools of these booting instances.
    pub fn new<'a>(booting: impl Iterator<Item = BootingInstance<'a>>) -> Self {
        let mut counts: BTreeMap<(&str, &str, Market), BootingCounts> = BTreeMap::new();
        for instance in booting {
            let counts = counts
                .entry((instance.machine_type, instance.zone, instance.market))
                .or_default();
            counts.overdue += usize::from(instance.overdue);
            counts.all += 1;
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

/// What is known of where instances may be provisioned.
#[derive(Clone, Copy, Debug)]
pub struct ProvisioningOptions<'a> {
    /// Zones that are partitioned from this controller: nothing is requested there.
    pub partitioned_zones: &'a BTreeSet<&'a str>,
    /// Pools whose instances do not come up: avoided while others have capacity.
    pub failing_pools: &'a FailingPools,
    /// Machine types.
    pub catalog: &'a Catalog,
    /// Pools that had no capacity.
    pub shortages: &'a CapacityShortages,
}

/// Instances to request from one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOut {
    /// The pool.
    pub pool: InstancePool,
    /// How many, at most [`MAX_INSTANCES_PER_REQUEST`].
    pub count: u32,
}

/// An instance that the cloud may have for a demand.
struct Offer<'a> {
    failing: bool,
    price_per_task: f64,
    /// Machines that the zone has already.
    zone_machines: usize,
    pool: InstancePool,
    machine_type: &'a MachineType,
}

impl Offer<'_> {
    /// Failing pools come last; then price decides, then how few machines the zone has.
    fn preference(&self, other: &Self) -> std::cmp::Ordering {
        self.failing
            .cmp(&other.failing)
            .then(self.price_per_task.total_cmp(&other.price_per_task))
            .then(self.zone_machines.cmp(&other.zone_machines))
    }
}

/// The instances to request now. Nothing is requested in partitioned zones, and machines
/// there only count for those who may run nowhere else. Failing pools are asked only if no
/// other has capacity. `machines_by_zone`: the machines that each zone has.
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
    planner.requested_since(booting.len())
}

/// A plan under way.
struct ScaleOutPlanner<'a> {
    options: &'a ProvisioningOptions<'a>,
    now: u64,
    /// Instances that boot, followed by those that the plan adds.
    bins: Vec<CapacityBin>,
    machines_by_zone: BTreeMap<String, usize>,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Packs a demand into the bins, and adds bins for what is left of it.
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

    /// The only zone that a demand may go to. A gang that must be in one zone goes where
    /// most of it fits already.
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

    /// Tasks of a demand that fit into the bins of a zone.
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

    /// Packs as many tasks of a demand as fit into the bins, spot instances first; how many
    /// are left.
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

    /// The instance to request next for a demand.
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

    /// The offer of one pool for a demand; `None`: the pool is not allowed for it, or had no
    /// capacity of late.
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

    /// Adds an instance to the plan; how many of the unplaced tasks it takes.
    fn add_bin(&mut self, demand: &CapacityDemand, offer: Offer<'_>, unplaced: u64) -> u64 {
        let Offer {
            pool, machine_type, ..
        } = offer;
        let room = machine_type.capacity;
        *self.machines_by_zone.entry(pool.zone.clone()).or_default() += 1;
        let packed = tasks_in(&room, &demand.need).clamp(1, unplaced);
        self.bins.push(CapacityBin {
            pool,
            free: room.minus(&demand.need.times(packed)),
        });
        packed
    }

    /// The instances that the plan added to the first `known` bins, by pool.
    fn requested_since(self, known: usize) -> Vec<ScaleOut> {
        let mut counts: BTreeMap<InstancePool, u32> = BTreeMap::new();
        for bin in self.bins.into_iter().skip(known) {
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

/// How many tasks of this need fit into free resources.
pub(crate) fn tasks_in(free: &Resources, need: &Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    ratio(free.milli_cpus, need.milli_cpus)
        .min(ratio(free.milli_gpus, need.milli_gpus))
        .min(ratio(free.memory_mb, need.memory_mb))
}
