//! A stand-in for the cloud: who was rented when, what that costs, what is
//! left, and the list that lags.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::InstanceEntry;

use crate::scenario::Scenario;

/// s that a machine costs at least (protocol page).
const LEAST_S: f64 = 60.0;
/// µs for which a machine that is gone can still be on a list.
const KEEP_GONE_US: u64 = 60_000_000;

struct Rented {
    id: MachineId,
    kind: usize,
    zone: String,
    spot: bool,
    from: u64,
    up_at: u64,
    gone: Option<u64>,
}

/// The cloud.
pub struct Cloud {
    /// True while its interface is down.
    pub down: bool,
    /// Machines of each request.
    pub bookings: HashMap<String, Vec<MachineId>>,
    machines: BTreeMap<usize, Rented>,
    prices: Vec<(f64, f64)>,
    /// Spent on machines that are gone.
    spent: f64,
    count: BTreeMap<(usize, String, bool), u32>,
}

impl Cloud {
    /// A cloud with the scenario's types.
    pub fn new(scenario: &Scenario) -> Self {
        let prices = scenario
            .kinds
            .iter()
            .map(|k| (k.machine.on_demand_price, k.machine.spot_price))
            .collect();
        Self {
            down: false,
            bookings: HashMap::new(),
            machines: BTreeMap::new(),
            prices,
            spent: 0.0,
            count: BTreeMap::new(),
        }
    }

    /// Machines of a kind that can still be rented in a zone.
    pub fn left(&self, kind: usize, zone: &str, spot: bool, scenario: &Scenario) -> u32 {
        let (ordinary, cheap) = scenario.kinds[kind].capacity;
        let most = if spot { cheap } else { ordinary };
        most.saturating_sub(
            self.count
                .get(&(kind, zone.to_owned(), spot))
                .copied()
                .unwrap_or(0),
        )
    }

    /// A machine was rented.
    #[allow(clippy::too_many_arguments)]
    pub fn add(
        &mut self,
        number: usize,
        kind: usize,
        zone: &str,
        spot: bool,
        from: u64,
        up_at: u64,
        id: MachineId,
    ) {
        *self.count.entry((kind, zone.to_owned(), spot)).or_default() += 1;
        self.machines.insert(
            number,
            Rented {
                id,
                kind,
                zone: zone.to_owned(),
                spot,
                from,
                up_at,
                gone: None,
            },
        );
    }

    /// A machine is no more.
    pub fn gone(&mut self, number: usize, now: u64) {
        self.machines
            .retain(|_, m| m.gone.is_none_or(|at| now < at + KEEP_GONE_US));
        if let Some(m) = self.machines.get_mut(&number)
            && m.gone.is_none()
        {
            m.gone = Some(now);
            self.spent += cost(&self.prices, m, now);
            if let Some(n) = self.count.get_mut(&(m.kind, m.zone.clone(), m.spot)) {
                *n -= 1;
            }
        }
    }

    /// Money spent until now.
    pub fn spent(&self, now: u64) -> f64 {
        self.spent
            + self
                .machines
                .values()
                .filter(|m| m.gone.is_none())
                .map(|m| cost(&self.prices, m, now))
                .sum::<f64>()
    }

    /// Machines that a list holds.
    pub fn listed(&self) -> usize {
        self.machines.len() / 500
    }

    /// The list as of `at` µs.
    pub fn list(&self, at: u64, scenario: &Scenario) -> Vec<InstanceEntry> {
        let there = |m: &&Rented| m.from <= at && m.gone.is_none_or(|gone| gone > at);
        let entry = |m: &Rented| InstanceEntry {
            id: m.id.clone(),
            machine_type: scenario.kinds[m.kind].machine.name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            phase: if m.up_at > at { "starting" } else { "running" }.into(),
            age_s: (at - m.from) as f64 / 1e6,
        };
        self.machines.values().filter(there).map(entry).collect()
    }
}

fn cost(prices: &[(f64, f64)], m: &Rented, now: u64) -> f64 {
    let (price, spot_price) = prices[m.kind];
    let held_s =
        (now.saturating_sub(m.from) as f64 / 1e6).max(if m.gone.is_some() { LEAST_S } else { 0.0 });
    held_s / 3_600.0 * if m.spot { spot_price } else { price }
}
