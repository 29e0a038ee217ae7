//! Scenarios: a site, its load and its faults, read from TOML. `docs/simulator.md` describes
//! the keys of the file, which are stable and differ from the names of some fields here.

mod distribution;
mod fault;
mod fault_history;
mod fault_reader;
mod reader;

use lemonweir_model::policy::Policy;
use lemonweir_model::settings::{
    CloudLimits, Cluster, KvStoreLimits, Limits, Objective, SeedController, Services, Settings,
    Team, WorkerTiming,
};
use lemonweir_model::{Catalog, JobKind, MachineType, Priority};
use toml::de::DeTable;

pub use distribution::ValueDistribution;
pub use fault::{Fault, FaultKind, LATE_WRITE_DELAY, Link, SecondsRange};

use crate::toml_section::{ParseErrors, TomlSection};

/// How many machines of a type the cloud can provide in each zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineCapacity {
    /// On-demand machines.
    pub on_demand: u32,
    /// Spot instances.
    pub spot: u32,
}

/// A machine type of the site, with the number of its machines.
#[derive(Clone, Debug)]
pub struct MachineKind {
    /// The type as the catalog publishes it.
    pub machine: MachineType,
    /// How many of its machines the cloud can provide in each zone.
    pub capacity: MachineCapacity,
    /// Machines that are up in each zone when the run starts.
    pub at_start: u32,
}

/// Resource request of one task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskResources {
    /// Processors.
    pub cpus: f64,
    /// Accelerators.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

/// A class of synthetic jobs.
#[derive(Clone, Debug)]
pub struct JobClass {
    /// Name of the class, which is also part of its image names.
    pub name: String,
    /// Teams that submit its jobs, in round-robin order.
    pub teams: Vec<String>,
    /// Array, gang or service.
    pub shape: JobKind,
    /// Priority of its jobs.
    pub priority: Priority,
    /// Number of tasks of a job.
    pub tasks: ValueDistribution,
    /// Resource request of a task.
    pub task_resources: TaskResources,
    /// Run time of a task, s; for a service, the time until it is withdrawn.
    pub run_s: ValueDistribution,
    /// Error `x` of the user's estimate, which is drawn between 1/(1+x) and 1+x times the
    /// run time.
    pub estimate_error: f64,
    /// Number of different images.
    pub images: u32,
    /// Size of an image, GB.
    pub image_gb: f64,
    /// Jobs submitted per minute.
    pub per_min: f64,
    /// Jobs submitted at the start.
    pub at_start: u32,
    /// The only zone in which its tasks may run; `None`: any zone.
    pub zone: Option<String>,
    /// Whether all tasks of a job run in one zone.
    pub one_zone: bool,
    /// Whether at most half of a job's tasks run in any one zone.
    pub spread: bool,
    /// Whether its tasks may run on spot instances.
    pub spot: bool,
    /// Checkpoint interval, s; 0: no checkpoints.
    pub checkpoint_s: f64,
    /// Time to save a checkpoint, s.
    pub save_s: f64,
    /// Seconds within which its tasks should start; 0: no objective.
    pub start_within_s: f64,
    /// Share of its jobs whose tasks fail on every machine until the job is withdrawn.
    pub failing_share: f64,
    /// Classes that it depends on: job `n` depends on job `n` of each of them.
    pub dependencies: Vec<String>,
    /// Delay from the submission of a job's last dependency to its own, s.
    pub dependency_delay_s: ValueDistribution,
    /// Share of its jobs that are withdrawn while they wait or run.
    pub cancelled_share: f64,
    /// Approximate size of a submission as JSON, bytes, reached by naming further machine types;
    /// `None`: its jobs name no machine types.
    pub submission_bytes: Option<ValueDistribution>,
}

/// Probabilities of faults of single messages, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageFaults {
    /// The reply to a compare-and-swap of the scheduling core is lost.
    pub lost_cas_reply: u32,
    /// A compare-and-swap of the scheduling core is executed late, and its reply is lost.
    pub late_cas: u32,
    /// A call with commands to a machine is lost; half of the lost calls still arrive, but late.
    pub lost_command: u32,
    /// A call with commands to a machine arrives late, and its result is lost.
    pub late_command: u32,
    /// A sync request or a relayed heartbeat between controllers is lost.
    pub lost_sync: u32,
    /// A lost sync request or relayed heartbeat arrives late instead of never.
    pub late_sync: u32,
}

/// Simulated processing time of a controller, ns. With all values 0, processing is instant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessingCosts {
    /// Receiving or sending one message.
    pub message_ns: u64,
    /// Examining one placement candidate: a word of a bit set, or a machine's free resources.
    pub candidate_ns: u64,
}

/// Range of the network delay of a message, µs, which is drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkLatency {
    /// Smallest delay, µs.
    pub low_us: u64,
    /// Largest delay, µs; may equal the smallest.
    pub high_us: u64,
}

/// A site, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario, as reports show it.
    pub name: String,
    /// Simulated duration of a run, s.
    pub duration_s: f64,
    /// Number of controllers.
    pub controllers: u16,
    /// Zones. Controllers are assigned to them in turn; machine counts apply to each zone.
    pub zones: Vec<String>,
    /// Heartbeat interval, lease and timeouts of the workers.
    pub workers: WorkerTiming,
    /// Limits of the state service.
    pub state: KvStoreLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Policy set by the operators.
    pub policy: Policy,
    /// Machine types of the site; at least one.
    pub machine_kinds: Vec<MachineKind>,
    /// Teams with their quotas.
    pub teams: Vec<Team>,
    /// Job classes of the synthetic load.
    pub classes: Vec<JobClass>,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Probabilities of faults of single messages.
    pub message_faults: MessageFaults,
    /// Simulated processing time of a controller.
    pub costs: ProcessingCosts,
    /// Network delay of a message.
    pub latency: NetworkLatency,
    /// Seconds between two polls of a job by its user; 0: users do not poll.
    pub poll_s: f64,
}

impl Scenario {
    /// Parses the text of a scenario file; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns one line for each error in the file, with file name, line and field.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<String>> {
        let errors = ParseErrors::new(file, text);
        let doc = match DeTable::parse(text) {
            Ok(doc) => doc,
            Err(e) => {
                errors.add(e.span().map_or(0, |s| s.start), "file", e.message());
                return Err(errors.into_lines());
            }
        };
        let scenario = reader::read_scenario(&TomlSection::root(&errors, doc.get_ref()));
        let lines = errors.into_lines();
        if lines.is_empty() {
            Ok(scenario)
        } else {
            Err(lines)
        }
    }

    /// Multiplies machines, team quotas and synthetic load by `factor`, and the load by
    /// `load` as well. `controllers` replaces the number of controllers if it is given.
    pub fn scaled(mut self, factor: f64, load: f64, controllers: Option<u16>) -> Self {
        let scale = |n: u32| (f64::from(n) * factor).round() as u32;
        for kind in &mut self.machine_kinds {
            kind.at_start = scale(kind.at_start);
            kind.capacity = MachineCapacity {
                on_demand: scale(kind.capacity.on_demand),
                spot: scale(kind.capacity.spot),
            };
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
        self.controllers = controllers.unwrap_or(self.controllers);
        self
    }

    /// Time at which the last effect of any fault is over, s.
    pub fn fault_effects_end_s(&self) -> f64 {
        self.faults
            .iter()
            .map(|fault| fault.effects_end_s(self.controllers))
            .fold(0.0, f64::max)
    }

    /// The catalog of machine types that the cloud publishes.
    pub fn catalog(&self) -> Catalog {
        self.machine_kinds
            .iter()
            .map(|kind| (kind.machine.name.clone(), kind.machine.clone()))
            .collect()
    }

    /// Zone of a controller.
    pub fn controller_zone(&self, controller: usize) -> &str {
        &self.zones[controller % self.zones.len()]
    }

    /// The settings with which the platform would start a controller.
    pub fn settings(&self, controller: usize) -> Settings {
        let address = |i: usize, port: u16| {
            std::net::SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250 + 1) as u8], port))
        };
        let seed = |i: usize| SeedController {
            host_name: host_name(i),
            zone: self.controller_zone(i).to_owned(),
            address: address(i, 81),
        };
        let with_objective = self
            .classes
            .iter()
            .filter(|class| class.start_within_s > 0.0);
        let objective = |class: &JobClass| Objective {
            kind: "wait".into(),
            class: Some(class.name.clone()),
            within_s: Some(class.start_within_s),
        };
        Settings {
            host_name: host_name(controller),
            zone: self.controller_zone(controller).to_owned(),
            listen_addr: address(controller, 80),
            internal_addr: address(controller, 81),
            seed_controllers: (0..usize::from(self.controllers))
                .filter(|&i| i != controller)
                .map(seed)
                .collect(),
            services: Services {
                cloud: address(1_000, 1),
                kv_store: address(1_000, 2),
            },
            cluster: Cluster {
                zones: self.zones.clone(),
                teams: self.teams.clone(),
                objectives: with_objective.map(objective).collect(),
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

/// Host name of a controller. Names sort in the order of the controllers' numbers.
pub fn host_name(controller: usize) -> String {
    format!("h{controller:02}")
}
