//! Simulated cloud provider: provisioned machines and their cost, remaining capacity, and the
//! list of instances as of an earlier time.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::InstanceEntry;

use crate::scenario::Scenario;

/// Minimum time billed for a machine once it is gone, s (protocol page).
const MIN_BILLED_S: f64 = 60.0;
/// Number of machines on a page of the instance list.
const INSTANCES_PER_PAGE: usize = 500;
/// How long the cloud keeps a machine that is gone, µs: a list as of an earlier time may still
/// contain it. A list with a longer lag may lack it.
const GONE_MACHINE_RETENTION_US: u64 = 60_000_000;

struct CloudMachine {
    id: MachineId,
    kind: usize,
    zone: String,
    spot: bool,
    provisioned_at: u64,
    up_at: u64,
    gone_at: Option<u64>,
}

/// A machine that is being provisioned. Times are µs.
pub struct NewMachine<'a> {
    /// Name of the machine.
    pub id: MachineId,
    /// Index of its type in the scenario.
    pub kind: usize,
    /// Zone of the machine.
    pub zone: &'a str,
    /// True for a spot instance, false for an on-demand machine.
    pub spot: bool,
    /// Time from which the machine is billed.
    pub provisioned_at: u64,
    /// Time at which it has booted.
    pub up_at: u64,
}

/// The simulated cloud provider.
pub struct Cloud {
    /// True while its API is unavailable.
    pub down: bool,
    /// Machines of each provisioning request, by request id. A repeated request gets the same
    /// machines.
    pub bookings: HashMap<String, Vec<MachineId>>,
    machines: BTreeMap<usize, CloudMachine>,
    /// On-demand and spot price of each machine kind, per hour.
    prices: Vec<(f64, f64)>,
    /// Total cost of machines that are gone.
    cost_of_gone: f64,
    /// Number of provisioned machines by kind, zone and whether they are spot instances.
    provisioned: BTreeMap<(usize, String, bool), u32>,
}

impl Cloud {
    /// Creates a cloud that offers the scenario's machine types.
    pub fn new(scenario: &Scenario) -> Self {
        let prices = scenario
            .machine_kinds
            .iter()
            .map(|k| (k.machine.on_demand_price, k.machine.spot_price))
            .collect();
        Self {
            down: false,
            bookings: HashMap::new(),
            machines: BTreeMap::new(),
            prices,
            cost_of_gone: 0.0,
            provisioned: BTreeMap::new(),
        }
    }

    /// Number of machines of a kind that can still be provisioned in a zone.
    pub fn available(&self, kind: usize, zone: &str, spot: bool, scenario: &Scenario) -> u32 {
        let capacity = scenario.machine_kinds[kind].capacity;
        let limit = if spot {
            capacity.spot
        } else {
            capacity.on_demand
        };
        limit.saturating_sub(
            self.provisioned
                .get(&(kind, zone.to_owned(), spot))
                .copied()
                .unwrap_or(0),
        )
    }

    /// Adds a provisioned machine.
    pub fn add(&mut self, number: usize, machine: NewMachine<'_>) {
        let NewMachine {
            id,
            kind,
            zone,
            spot,
            provisioned_at,
            up_at,
        } = machine;
        *self
            .provisioned
            .entry((kind, zone.to_owned(), spot))
            .or_default() += 1;
        self.machines.insert(
            number,
            CloudMachine {
                id,
                kind,
                zone: zone.to_owned(),
                spot,
                provisioned_at,
                up_at,
                gone_at: None,
            },
        );
    }

    /// Ends the billing of a machine, and removes the machines that have been gone for a minute
    /// from the lists.
    pub fn remove(&mut self, number: usize, now: u64) {
        self.machines.retain(|_, m| {
            m.gone_at
                .is_none_or(|at| now < at + GONE_MACHINE_RETENTION_US)
        });
        if let Some(m) = self.machines.get_mut(&number)
            && m.gone_at.is_none()
        {
            m.gone_at = Some(now);
            self.cost_of_gone += cost(&self.prices, m, now);
            if let Some(n) = self.provisioned.get_mut(&(m.kind, m.zone.clone(), m.spot)) {
                *n -= 1;
            }
        }
    }

    /// Cost of all machines up to `now`.
    pub fn spent(&self, now: u64) -> f64 {
        self.cost_of_gone
            + self
                .machines
                .values()
                .filter(|m| m.gone_at.is_none())
                .map(|m| cost(&self.prices, m, now))
                .sum::<f64>()
    }

    /// Number of pages of the instance list besides the first.
    pub fn list_pages(&self) -> usize {
        self.machines.len() / INSTANCES_PER_PAGE
    }

    /// The instances that existed at `at` µs, in their phase at that time.
    pub fn list(&self, at: u64, scenario: &Scenario) -> Vec<InstanceEntry> {
        let exists = |m: &&CloudMachine| {
            m.provisioned_at <= at && m.gone_at.is_none_or(|gone_at| gone_at > at)
        };
        let entry = |m: &CloudMachine| InstanceEntry {
            id: m.id.clone(),
            machine_type: scenario.machine_kinds[m.kind].machine.name.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            phase: if m.up_at > at { "starting" } else { "running" }.into(),
            age_s: (at - m.provisioned_at) as f64 / 1e6,
        };
        self.machines.values().filter(exists).map(entry).collect()
    }
}

/// Cost of a machine up to `now`; [`MIN_BILLED_S`] applies once it is gone.
fn cost(prices: &[(f64, f64)], m: &CloudMachine, now: u64) -> f64 {
    let (price, spot_price) = prices[m.kind];
    let billed_s =
        (now.saturating_sub(m.provisioned_at) as f64 / 1e6).max(if m.gone_at.is_some() {
            MIN_BILLED_S
        } else {
            0.0
        });
    billed_s / 3_600.0 * if m.spot { spot_price } else { price }
}
