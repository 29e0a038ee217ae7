//! What to rent: room for what the queues lack, less what is already booting.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::constants::{FAILING_LEAST, MAX_RENT, NO_CAPACITY_MS};
use lemonweir_model::{Catalog, Resources};
use lemonweir_protocol::cloud::ProvisioningRequest;

/// Tasks that found no room.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityDemand {
    /// The team.
    pub team: String,
    /// What each takes.
    pub need: Resources,
    /// Allowed types, or any.
    pub types: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// May use spot machines.
    pub spot: bool,
    /// True if it is not worth an ordinary machine.
    pub only_spot: bool,
    /// How many.
    pub count: u32,
    /// All in one zone.
    pub one_zone: bool,
    /// Idle work: room is asked for it only if nothing else lacks any.
    pub idle: bool,
    /// The first unit of idle work that must begin now, whatever else lacks room.
    pub first: bool,
}

/// A machine that is booting, as a bin to fill.
#[derive(Clone, Debug)]
pub struct CapacityBin {
    /// Type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Free room.
    pub free: Resources,
}

/// Kinds and zones that had no capacity, and until when they are left alone.
#[derive(Default, Debug)]
pub struct CapacityShortages(BTreeMap<(String, String, bool), u64>);

impl CapacityShortages {
    /// Notes a refusal.
    pub fn note(&mut self, rental: &ProvisioningRequest, now: u64) {
        self.0.insert(
            (rental.machine_type.clone(), rental.zone.clone(), rental.spot),
            now + NO_CAPACITY_MS,
        );
    }

    /// What the cloud has had none of, of late.
    pub(crate) fn closed(&self, now: u64) -> Vec<String> {
        let shut = self.0.iter().filter(|(_, until)| now < **until);
        shut.map(|((kind, zone, spot), _)| {
            format!("{kind} in {zone}{}", if *spot { " (spot)" } else { "" })
        })
        .collect()
    }

    fn open(&self, kind: &str, zone: &str, spot: bool, now: u64) -> bool {
        self.0
            .get(&(kind.to_owned(), zone.to_owned(), spot))
            .is_none_or(|&until| now >= until)
    }
}

/// Types, zones and kinds in which most of what was rented is overdue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FailingPools(BTreeSet<(String, String, bool)>);

impl FailingPools {
    /// Of machines that boot: type, zone, spot, and whether each is overdue.
    pub fn of<'a>(booting: impl Iterator<Item = (&'a str, &'a str, bool, bool)>) -> Self {
        let mut counts: BTreeMap<(&str, &str, bool), (usize, usize)> = BTreeMap::new();
        for (kind, zone, spot, overdue) in booting {
            let (late, all) = counts.entry((kind, zone, spot)).or_default();
            *late += usize::from(overdue);
            *all += 1;
        }
        let fails = |(late, all): &(usize, usize)| *late >= FAILING_LEAST && late * 2 > *all;
        Self(
            counts
                .into_iter()
                .filter(|(_, n)| fails(n))
                .map(|((k, z, s), _)| (k.to_owned(), z.to_owned(), s))
                .collect(),
        )
    }

    fn has(&self, kind: &str, zone: &str, spot: bool) -> bool {
        !self.0.is_empty() && self.0.contains(&(kind.to_owned(), zone.to_owned(), spot))
    }
}

/// What is known of where machines may be rented.
#[derive(Clone, Copy, Debug)]
pub struct ProvisioningOptions<'a> {
    /// Zones out of sight.
    pub hidden: &'a BTreeSet<&'a str>,
    /// Where machines don't come up.
    pub failing: &'a FailingPools,
    /// Machine types.
    pub catalog: &'a Catalog,
    /// What had no capacity.
    pub shortage: &'a CapacityShortages,
}

/// An offer of the cloud: what fails comes last, then price a task, then how
/// many machines its zone has.
type Offer<'a> = (bool, f64, usize, &'a str, &'a str, bool, Resources);

/// The machines to rent now: (type, zone, spot) and how many. Nothing is rented
/// in zones that are `hidden`, and machines there only count for those who may
/// run nowhere else. Where machines are `failing` to come up none are asked for
/// as long as others are to be had.
pub fn plan(
    lacking: &[CapacityDemand],
    booting: &[CapacityBin],
    count_by_zone: &BTreeMap<String, usize>,
    market: &ProvisioningOptions<'_>,
    now: u64,
) -> Vec<(String, String, bool, u32)> {
    let ProvisioningOptions {
        hidden,
        failing,
        catalog,
        shortage,
    } = market;
    let mut bins: Vec<CapacityBin> = booting.to_vec();
    let known = bins.len();
    let mut zones_used = count_by_zone.clone();
    for d in lacking {
        let mut forced = d.zone.clone();
        if d.one_zone && d.count > 1 && forced.is_none() {
            // The whole gang goes where most of it fits already.
            let fit = |zone: &str| {
                bins.iter()
                    .filter(|b| b.zone == zone && (d.spot || !b.spot))
                    .map(|b| tasks_in(&b.free, &d.need))
                    .sum::<u64>()
            };
            let mut zones: Vec<&String> = catalog.values().flat_map(|t| &t.zones).collect();
            zones.retain(|z| !hidden.contains(z.as_str()));
            zones.sort_unstable();
            zones.dedup();
            forced = zones
                .into_iter()
                .max_by_key(|z| {
                    (
                        fit(z),
                        std::cmp::Reverse(zones_used.get(*z).copied().unwrap_or(0)),
                    )
                })
                .cloned();
        }
        let mut left = u64::from(d.count);
        // Cheap room first for those who may use it.
        for spot in [true, false] {
            if spot && !d.spot {
                continue;
            }
            for b in bins
                .iter_mut()
                .filter(|b| b.spot == spot && b.free.covers(&d.need))
            {
                if left == 0 {
                    break;
                }
                let elsewhere = match &forced {
                    Some(zone) => *zone != b.zone,
                    None => hidden.contains(b.zone.as_str()),
                };
                if elsewhere || d.types.as_ref().is_some_and(|t| !t.contains(&b.kind)) {
                    continue;
                }
                let n = tasks_in(&b.free, &d.need).min(left);
                b.free = b.free.minus(&d.need.times(n));
                left -= n;
            }
        }
        while left > 0 {
            let mut offers: Vec<Offer<'_>> = Vec::new();
            for t in catalog.values() {
                if d.types
                    .as_ref()
                    .is_some_and(|types| !types.contains(&t.name))
                    || !t.capacity.covers(&d.need)
                {
                    continue;
                }
                for zone in &t.zones {
                    if hidden.contains(zone.as_str()) || forced.as_ref().is_some_and(|z| z != zone)
                    {
                        continue;
                    }
                    for spot in [true, false] {
                        if !spot && d.only_spot {
                            continue;
                        }
                        if spot && (!d.spot || t.spot_price <= 0.0)
                            || !shortage.open(&t.name, zone, spot, now)
                        {
                            continue;
                        }
                        let price = if spot { t.spot_price } else { t.on_demand_price };
                        let fit = tasks_in(&t.capacity, &d.need).min(u64::from(d.count)).max(1);
                        let fails = failing.has(&t.name, zone, spot);
                        offers.push((
                            fails,
                            price / fit as f64,
                            zones_used.get(zone).copied().unwrap_or(0),
                            &t.name,
                            zone,
                            spot,
                            t.capacity,
                        ));
                    }
                }
            }
            let best = offers
                .into_iter()
                .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
            let Some((_, _, _, kind, zone, spot, room)) = best else {
                break;
            };
            *zones_used.entry(zone.to_owned()).or_default() += 1;
            let n = tasks_in(&room, &d.need).clamp(1, left);
            left -= n;
            bins.push(CapacityBin {
                kind: kind.to_owned(),
                zone: zone.to_owned(),
                spot,
                free: room.minus(&d.need.times(n)),
            });
        }
    }
    let mut counts: BTreeMap<(String, String, bool), u32> = BTreeMap::new();
    for b in bins.into_iter().skip(known) {
        *counts.entry((b.kind, b.zone, b.spot)).or_default() += 1;
    }
    counts
        .into_iter()
        .map(|((k, z, s), n)| (k, z, s, n.min(MAX_RENT)))
        .collect()
}

/// How many tasks of this need fit.
pub(crate) fn tasks_in(room: &Resources, need: &Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
    ratio(room.milli_cpus, need.milli_cpus)
        .min(ratio(room.milli_gpus, need.milli_gpus))
        .min(ratio(room.memory_mb, need.memory_mb))
}
