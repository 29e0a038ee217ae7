//! A scenario: a site, its load and its troubles, as TOML.

use lemonweir_model::constants::BLIND_MOST_MS;
use lemonweir_model::policy::{Policy, ServicePlacementWeights};
use lemonweir_model::settings::{
    CloudLimits, Cluster, Limits, UpcomingKvStoreLimits, Objective, SeedController, Services, Settings,
    KvStoreLimits, Team, WorkerTiming,
};
use lemonweir_model::{Catalog, JobKind, MachineType, Priority, Resources};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use toml::de::{DeTable, DeValue};

mod trouble;

pub use trouble::{Fault, LATE_WRITES, Link, Seconds, Trouble};

use crate::fields::{Faults, Section, as_number};

/// How a number is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dist {
    /// Always this.
    Fixed(f64),
    /// Anything between.
    Uniform(f64, f64),
    /// Exponential with this mean.
    Exp(f64),
    /// Log-normal with this median and sigma.
    LogNormal(f64, f64),
    /// Pareto with this least value and shape.
    Pareto(f64, f64),
}

impl Dist {
    /// Draws one; never below zero.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        // The parameters were checked when the file was read; a distribution
        // that can't be made draws its first parameter.
        let x = match *self {
            Dist::Fixed(x) => x,
            Dist::Uniform(low, high) => low + (high - low) * rng.random::<f64>(),
            Dist::Exp(mean) => Exp::new(1.0 / mean).map_or(mean, |d| d.sample(rng)),
            Dist::LogNormal(median, sigma) => {
                LogNormal::new(median.ln(), sigma).map_or(median, |d| d.sample(rng))
            }
            Dist::Pareto(low, shape) => Pareto::new(low, shape).map_or(low, |d| d.sample(rng)),
        };
        x.max(0.0)
    }
}

/// A machine type of the site.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The type as the catalog tells it.
    pub machine: MachineType,
    /// Machines of it that the cloud has, ordinary and spot, in each zone.
    pub capacity: (u32, u32),
    /// Machines up at the start, in each zone.
    pub at_start: u32,
}

/// A class of synthetic jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Teams that submit it, in turn.
    pub teams: Vec<String>,
    /// Array, gang or service.
    pub shape: JobKind,
    /// Priority.
    pub rank: Priority,
    /// Tasks of a job.
    pub tasks: Dist,
    /// What a task takes: processors, accelerators, GB.
    pub need: (f64, f64, f64),
    /// Run time, s; of a service: how long until it is withdrawn.
    pub run_s: Dist,
    /// How far the user's estimate is off: it is drawn between 1/(1+x) and 1+x
    /// times the run time.
    pub estimate_off: f64,
    /// Different images, and the size of one, GB.
    pub images: (u32, f64),
    /// Jobs a minute, and at the start.
    pub per_min: f64,
    /// Jobs at the start.
    pub at_start: u32,
    /// The only zone where its tasks may be; none: any.
    pub zone: Option<String>,
    /// All in one zone.
    pub one_zone: bool,
    /// At most half of the tasks in a zone.
    pub spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// Checkpoint interval and time to save, s.
    pub save: (f64, f64),
    /// Seconds within which its tasks should start; 0: not awaited.
    pub start_within_s: f64,
    /// Share of its jobs that fail on every machine until they are withdrawn.
    pub broken: f64,
    /// Classes whose jobs of the same number its jobs await.
    pub awaits: Vec<String>,
    /// s after the awaited jobs came at which its jobs come.
    pub later_s: Dist,
    /// Share of its jobs that their users withdraw while they wait or run.
    pub cancelled: f64,
}

/// How likely faults of single messages are, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Chances {
    /// The answer to a transaction is lost.
    pub lost_txn_reply: u32,
    /// A transaction is applied late.
    pub late_txn: u32,
    /// An order is lost.
    pub lost_command: u32,
    /// An order arrives late.
    pub late_command: u32,
    /// A message between controllers is lost.
    pub lost_sync: u32,
    /// Of those, one that arrives late all the same.
    pub late_sync: u32,
}

/// What work costs a controller, ns. With all of them 0 nothing takes time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Taking or sending one message.
    pub message_ns: u64,
    /// One look of a walk: a word of bits or a machine's room.
    pub look_ns: u64,
}

/// How long messages travel, µs, at least and at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latency {
    /// At least.
    pub low_us: u64,
    /// At most.
    pub high_us: u64,
}

/// A whole scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long it lasts, s.
    pub duration_s: f64,
    /// Controllers.
    pub shards: u16,
    /// Zones; controllers and machines are spread over them.
    pub zones: Vec<String>,
    /// The workers' times.
    pub workers: WorkerTiming,
    /// The store's limits.
    pub state: KvStoreLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// The operators' own settings.
    pub policy: Policy,
    /// Machine types.
    pub kinds: Vec<Kind>,
    /// Teams with guarantee and limit.
    pub teams: Vec<Team>,
    /// Synthetic load.
    pub classes: Vec<Class>,
    /// Troubles.
    pub faults: Vec<Fault>,
    /// Faults of messages.
    pub chances: Chances,
    /// What work costs.
    pub costs: Costs,
    /// How long messages travel.
    pub latency: Latency,
    /// Seconds between two polls of a job; 0: none.
    pub poll_s: f64,
}

impl Scenario {
    /// Reads a scenario; every fault is one line that names file, line, field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<String>> {
        let faults = Faults::new(file, text);
        let doc = match DeTable::parse(text) {
            Ok(doc) => doc,
            Err(e) => {
                faults.note(e.span().map_or(0, |s| s.start), "file", e.message());
                return Err(faults.into_lines());
            }
        };
        let scenario = read(&Section::root(&faults, doc.get_ref()));
        let lines = faults.into_lines();
        if lines.is_empty() {
            Ok(scenario)
        } else {
            Err(lines)
        }
    }

    /// The same with `factor` times the machines, the teams' amounts and the
    /// synthetic load, that again `load` times, and another number of
    /// controllers if wanted.
    pub fn scaled(mut self, factor: f64, load: f64, controllers: Option<u16>) -> Self {
        let times = |n: u32| (f64::from(n) * factor).round() as u32;
        for kind in &mut self.kinds {
            kind.at_start = times(kind.at_start);
            kind.capacity = (times(kind.capacity.0), times(kind.capacity.1));
        }
        for class in &mut self.classes {
            class.per_min *= factor * load;
            class.at_start = (f64::from(class.at_start) * factor * load).round() as u32;
        }
        for team in &mut self.teams {
            for amount in [
                &mut team.guaranteed_cpus,
                &mut team.max_cpus,
                &mut team.guaranteed_gpus,
                &mut team.max_gpus,
            ] {
                *amount *= factor;
            }
        }
        self.shards = controllers.unwrap_or(self.shards);
        self
    }

    /// When all troubles are over, s.
    pub fn calm_s(&self) -> f64 {
        self.faults
            .iter()
            .map(|f| f.over_s(self.shards))
            .fold(0.0, f64::max)
    }

    /// The catalog that the cloud tells.
    pub fn catalog(&self) -> Catalog {
        self.kinds
            .iter()
            .map(|k| (k.machine.name.clone(), k.machine.clone()))
            .collect()
    }

    /// Zone of a controller.
    pub fn zone_of(&self, host: usize) -> &str {
        &self.zones[host % self.zones.len()]
    }

    /// The settings of one controller, as the platform would hand them over.
    pub fn settings(&self, host: usize) -> Settings {
        let address = |i: usize, port: u16| {
            std::net::SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250 + 1) as u8], port))
        };
        let seed = |i: usize| SeedController {
            host_name: host_name(i),
            zone: self.zone_of(i).to_owned(),
            address: address(i, 81),
        };
        let awaited = self.classes.iter().filter(|c| c.start_within_s > 0.0);
        let objective = |c: &Class| Objective {
            kind: "wait".into(),
            class: Some(c.name.clone()),
            within_s: Some(c.start_within_s),
        };
        Settings {
            host_name: host_name(host),
            zone: self.zone_of(host).to_owned(),
            listen_addr: address(host, 80),
            internal_addr: address(host, 81),
            seed_controllers: (0..usize::from(self.shards))
                .filter(|&i| i != host)
                .map(seed)
                .collect(),
            services: Services {
                cloud: address(1_000, 1),
                kv_store: address(1_000, 2),
            },
            cluster: Cluster {
                zones: self.zones.clone(),
                teams: self.teams.clone(),
                objectives: awaited.map(objective).collect(),
                worker_timing: self.workers.clone(),
                kv_store: self.state.clone(),
                cloud: self.cloud.clone(),
                process_limits: Limits {
                    cpu_share: 1.0,
                    memory_mb: 4_096.0,
                    max_open_files: 65_536,
                },
                clock_offset_ms: 0.0,
            },
        }
    }
}

/// Name of a controller; the order of names is that of numbers.
pub fn host_name(host: usize) -> String {
    format!("h{host:02}")
}

fn read(top: &Section<'_>) -> Scenario {
    let zones = top.texts("zones");
    if zones.is_empty() {
        top.fault("zones", "must name one zone at least");
    }
    let w = top.table("workers");
    let s = top.table("state");
    let c = top.table("cloud");
    let p = top.table("policy");
    let m = top.table("messages");
    let o = top.table("costs");
    let l = top.table("latency");
    let chance = |name: &str| m.whole(name, 0, 1_000, Some(0)) as u32;
    let scenario = Scenario {
        name: top.text("name", None),
        duration_s: top.number("duration_s", 1.0, 1e8, None),
        shards: top.whole("controllers", 1, 64, Some(3)) as u16,
        poll_s: top.number("poll_s", 0.0, 3_600.0, Some(5.0)),
        workers: WorkerTiming {
            heartbeat_interval_s: w.number("report_s", 0.1, 600.0, Some(3.0)),
            lease_s: w.number("lease_s", 0.5, 3_600.0, Some(14.0)),
            gang_start_timeout_s: w.number("gang_wait_s", 1.0, 3_600.0, Some(50.0)),
            gang_peer_timeout_s: w.number("gang_peer_s", 0.1, 600.0, Some(8.0)),
            cancellation_deadline_s: w.number("cancel_s", 1.0, 7_200.0, Some(34.0)),
        },
        state: KvStoreLimits {
            requests_per_s: s.number("rps", 1.0, 1e9, Some(200.0)),
            writes_per_s: s.number("write_rps", 1.0, 1e9, Some(80.0)),
            max_value_kib: s.number("value_kb", 4.0, 1_024.0, Some(8.0)),
            max_cas_ops: s.whole("txn_ops", 4, 100_000, Some(32)) as usize,
            upcoming: s.has("next").then(|| next_limits(&s.table("next"))),
        },
        cloud: CloudLimits {
            requests_per_s: c.number("rps", 0.1, 1e9, Some(4.0)),
            list_staleness_s: c.number("list_lag_s", 0.0, 600.0, Some(10.0)),
        },
        policy: Policy {
            on_demand_idle_multiple: p.number("idle", 0.0, 1e6, Some(0.75)),
            spot_idle_multiple: p.number("idle_spot", 0.0, 1e6, Some(1.5)),
            spot_silence_timeout_ms: (p.number("silent_s", 1.0, 3_600.0, Some(9.0)) * 1_000.0) as u64,
            provisioning_timeout_multiple: p.number("boot_patience", 1.5, 100.0, Some(3.0)),
            store_outage_grace_ms: (p.number("blind_s", 0.0, BLIND_MOST_MS as f64 / 1_000.0, Some(60.0))
                * 1_000.0) as u64,
            headroom_per_arrival: p.number("spare", 0.0, 10.0, Some(0.5)),
            placement_weights: ServicePlacementWeights::default(),
        },
        chances: Chances {
            lost_txn_reply: chance("lost_txn_reply"),
            late_txn: chance("late_txn"),
            lost_command: chance("lost_command"),
            late_command: chance("late_command"),
            lost_sync: chance("lost_sync"),
            late_sync: chance("late_sync"),
        },
        costs: Costs {
            message_ns: o.whole("message_ns", 0, 1_000_000_000, Some(0)),
            look_ns: o.whole("look_ns", 0, 1_000_000, Some(0)),
        },
        latency: Latency {
            low_us: l.whole("low_us", 1, 10_000_000, Some(500)),
            high_us: l.whole("high_us", 1, 10_000_000, Some(3_000)),
        },
        kinds: top
            .tables("machine_type")
            .iter()
            .map(|t| kind(t, &zones))
            .collect(),
        teams: top.tables("team").iter().map(team).collect(),
        classes: Vec::new(),
        faults: Vec::new(),
        zones,
    };
    if scenario.latency.high_us < scenario.latency.low_us {
        l.fault("high_us", "is below low_us");
    }
    if scenario.workers.lease_s <= scenario.workers.heartbeat_interval_s {
        w.fault("lease_s", "must be over report_s");
    }
    if scenario.workers.cancellation_deadline_s <= scenario.workers.lease_s {
        w.fault("cancel_s", "must be over lease_s");
    }
    if scenario.kinds.is_empty() {
        top.fault("machine_type", "one at least must be given");
    }
    if scenario.teams.is_empty() {
        top.fault("team", "one at least must be given");
    }
    let mut classes: Vec<Class> = Vec::new();
    for t in top.tables("class") {
        let class = class(&t, &scenario);
        // Only classes before it, so that no chain is a circle.
        for awaited in class
            .awaits
            .iter()
            .filter(|awaited| !classes.iter().any(|before| before.name == **awaited))
        {
            t.fault(
                "awaits",
                &format!("no class before this one is called {awaited}"),
            );
        }
        classes.push(class);
    }
    let faults = top
        .tables("fault")
        .iter()
        .filter_map(|t| trouble::fault(t, &scenario))
        .collect();
    Scenario {
        classes,
        faults,
        ..scenario
    }
}

fn next_limits(t: &Section<'_>) -> UpcomingKvStoreLimits {
    let number = |name: &str, low: f64| t.has(name).then(|| t.number(name, low, 1e9, None));
    UpcomingKvStoreLimits {
        requests_per_s: number("rps", 1.0),
        writes_per_s: number("write_rps", 1.0),
        max_value_kib: number("value_kb", 1.0),
        max_cas_ops: t
            .has("txn_ops")
            .then(|| t.whole("txn_ops", 4, 100_000, None) as usize),
    }
}

fn kind(t: &Section<'_>, zones: &[String]) -> Kind {
    let price = t.number("price", 0.0, 1e6, Some(1.0));
    Kind {
        machine: MachineType {
            name: t.text("name", None),
            capacity: Resources::capacity(
                t.number("cpus", 0.001, 1e6, None),
                t.number("gpus", 0.0, 1e4, Some(0.0)),
                t.number("memory_gb", 0.001, 1e7, None),
            ),
            image_cache_gb: t.number("cache_gb", 0.0, 1e6, Some(200.0)),
            image_pull_gb_per_s: t.number("fetch_gb_per_s", 0.000_001, 1e6, Some(1.0)),
            on_demand_price: price,
            spot_price: t.number("spot_price", 0.0, 1e6, Some(0.0)),
            boot_s: t.number("boot_s", 0.0, 1e6, Some(30.0)),
            zones: zones.to_vec(),
        },
        capacity: (
            t.whole("ordinary", 0, 1_000_000, Some(10_000)) as u32,
            t.whole("spot", 0, 1_000_000, Some(0)) as u32,
        ),
        at_start: t.whole("at_start", 0, 1_000_000, Some(0)) as u32,
    }
}

fn team(t: &Section<'_>) -> Team {
    let amount = |name: &str| t.number(name, 0.0, 1e9, Some(0.0));
    Team {
        name: t.text("name", None),
        guaranteed_cpus: amount("cpus"),
        max_cpus: amount("cpus_max"),
        guaranteed_gpus: amount("gpus"),
        max_gpus: amount("gpus_max"),
    }
}

fn class(t: &Section<'_>, scenario: &Scenario) -> Class {
    let shapes = [
        ("array", JobKind::Array),
        ("gang", JobKind::Gang),
        ("service", JobKind::Service),
    ];
    let ranks = [
        ("production", Priority::Production),
        ("high", Priority::High),
        ("normal", Priority::Normal),
        ("low", Priority::Low),
    ];
    let mut teams = t.texts("teams");
    for name in teams
        .iter()
        .filter(|n| !scenario.teams.iter().any(|team| team.name == **n))
    {
        t.fault("teams", &format!("no team is called {name}"));
    }
    if teams.is_empty() {
        teams = scenario.teams.iter().map(|t| t.name.clone()).collect();
    }
    let need = (
        t.number("cpus", 0.0, 1e6, None),
        t.number("gpus", 0.0, 1e4, Some(0.0)),
        t.number("memory_gb", 0.0, 1e7, Some(0.0)),
    );
    let room = Resources::request(need.0, need.1, need.2);
    if !scenario.kinds.iter().any(|k| k.machine.capacity.covers(&room)) {
        t.fault("cpus", "a task fits no machine type");
    }
    Class {
        name: t.text("name", None),
        teams,
        shape: t
            .word("shape", &shapes, Some(JobKind::Array))
            .unwrap_or(JobKind::Array),
        rank: t
            .word("priority", &ranks, Some(Priority::Normal))
            .unwrap_or(Priority::Normal),
        tasks: dist(t, "tasks", Some(1.0)),
        need,
        run_s: dist(t, "run_s", None),
        estimate_off: t.number("estimate_off", 0.0, 10.0, Some(0.5)),
        images: (
            t.whole("images", 1, 100_000, Some(1)) as u32,
            t.number("image_gb", 0.0, 10_000.0, Some(0.0)),
        ),
        per_min: t.number("per_min", 0.0, 1e6, Some(0.0)),
        at_start: t.whole("at_start", 0, 1_000_000, Some(0)) as u32,
        zone: t.has("zone").then(|| trouble::known_zone(t, scenario)),
        one_zone: t.flag("one_zone", false),
        spread: t.flag("spread", false),
        spot: t.flag("spot", false),
        save: (
            t.number("checkpoint_s", 0.0, 1e6, Some(0.0)),
            t.number("save_s", 0.0, 1e6, Some(0.0)),
        ),
        start_within_s: t.number("start_within_s", 0.0, 1e6, Some(0.0)),
        broken: t.number("broken", 0.0, 1.0, Some(0.0)),
        awaits: t.texts("awaits"),
        later_s: dist(t, "later_s", Some(0.0)),
        cancelled: t.number("cancelled", 0.0, 1.0, Some(0.0)),
    }
}

/// A number, or a table that names a distribution.
fn dist(t: &Section<'_>, name: &str, or: Option<f64>) -> Dist {
    match t.raw(name) {
        Some(DeValue::Table(_)) => {}
        Some(value) if as_number(value).is_some() => {
            return Dist::Fixed(t.number(name, 0.0, 1e9, None));
        }
        _ => return Dist::Fixed(t.number(name, 0.0, 1e9, or)),
    }
    let d = t.table(name);
    let most = 1e9;
    match d.word(
        "dist",
        &[
            ("uniform", 0),
            ("exponential", 1),
            ("lognormal", 2),
            ("pareto", 3),
        ],
        None,
    ) {
        Some(0) => {
            let (low, high) = (
                d.number("low", 0.0, most, None),
                d.number("high", 0.0, most, None),
            );
            if high < low {
                d.fault("high", "is below low");
            }
            Dist::Uniform(low, high)
        }
        Some(1) => Dist::Exp(d.number("mean", 1e-9, most, None)),
        Some(2) => Dist::LogNormal(
            d.number("median", 1e-9, most, None),
            d.number("sigma", 0.0, 10.0, None),
        ),
        Some(3) => Dist::Pareto(
            d.number("least", 1e-9, most, None),
            d.number("shape", 0.01, 100.0, None),
        ),
        _ => Dist::Fixed(0.0),
    }
}
