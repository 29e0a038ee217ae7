//! Domain model: jobs, tasks, attempts, machines and resources; the settings and the policy
//! of a controller, and shared constants.

pub mod constants;
pub mod policy;
pub mod settings;

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, BorshSerialize, BorshDeserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A job's id, chosen by its user.
    JobId
);
name_type!(
    /// A machine's name, chosen by the cloud.
    MachineId
);

impl JobId {
    /// Parses a job id: `req-` and 1 to 20 digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("req-")?;
        let is_valid =
            (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| Self::from(text))
    }
}

/// Id of an attempt: one start of one task. Ids are ordered by job, task and attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct AttemptId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the task within the job, from 0.
    pub task: u32,
    /// Number of the attempt. A later attempt of a task has a higher number.
    pub attempt: u32,
}

impl AttemptId {
    /// Name of the task on the wire, `<job>/<task>`.
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.job, self.task)
    }

    /// Parses the name of a task on the wire; the attempt is sent separately.
    pub fn parse(task_name: &str, attempt: u32) -> Option<Self> {
        let (job, task) = task_name.split_once('/')?;
        Some(Self {
            job: JobId::parse(job)?,
            task: task.parse().ok()?,
            attempt,
        })
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}#{}", self.job, self.task, self.attempt)
    }
}

/// Amounts of CPUs, GPUs and memory in thousandths. Integers keep sums and limits exact.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub struct Resources {
    /// CPUs, in thousandths.
    #[serde(rename = "cpus")]
    pub milli_cpus: u64,
    /// GPUs, in thousandths.
    #[serde(rename = "gpus")]
    pub milli_gpus: u64,
    /// Memory in MB (thousandths of a GB).
    #[serde(rename = "memory")]
    pub memory_mb: u64,
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let thousandths = |amount: u64| match amount {
            u64::MAX => "unlimited".to_owned(),
            amount => (amount as f64 / 1000.0).to_string(),
        };
        let (cpus, gpus) = (thousandths(self.milli_cpus), thousandths(self.milli_gpus));
        write!(f, "{cpus} CPUs, {gpus} GPUs")
    }
}

impl Resources {
    /// Resources that a task needs, rounded up so that they are never underestimated.
    pub fn request(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_up = |x: f64| (x * 1000.0 - 1e-6).ceil().max(0.0) as u64;
        Self {
            milli_cpus: round_up(cpus),
            milli_gpus: round_up(gpus),
            memory_mb: round_up(memory_gb),
        }
    }

    /// Resources that a machine or a limit offers, rounded down.
    pub fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_down = |x: f64| (x * 1000.0 + 1e-6).floor().max(0.0) as u64;
        Self {
            milli_cpus: round_down(cpus),
            milli_gpus: round_down(gpus),
            memory_mb: round_down(memory_gb),
        }
    }

    /// True if these resources suffice for `need` in every dimension.
    pub fn covers(&self, need: &Resources) -> bool {
        self.milli_cpus >= need.milli_cpus
            && self.milli_gpus >= need.milli_gpus
            && self.memory_mb >= need.memory_mb
    }

    /// The sum in each dimension.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus + other.milli_cpus,
            milli_gpus: self.milli_gpus + other.milli_gpus,
            memory_mb: self.memory_mb + other.memory_mb,
        }
    }

    /// The difference in each dimension, never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// `n` times these resources; saturates instead of overflowing.
    pub fn times(&self, n: u64) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus.saturating_mul(n),
            milli_gpus: self.milli_gpus.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
        }
    }
}

/// How the tasks of a job are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Tasks that all run at the same time or not at all.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority of a job. The variants are ordered from the highest to the lowest, so the smaller
/// of two values is the higher priority.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    BorshSerialize,
    BorshDeserialize,
)]
pub enum Priority {
    /// Production work, which a team's guarantee alone doesn't preempt.
    #[serde(rename = "prod")]
    Production,
    /// Work that precedes normal work.
    #[serde(rename = "high")]
    High,
    /// Ordinary work.
    #[serde(rename = "normal")]
    Normal,
    /// Work that waits for resources that cost little or nothing, and preempts nothing.
    #[serde(rename = "idle")]
    Low,
}

impl Priority {
    /// Index of the priority; 0 is the highest.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A job as submitted by its user. It has the names of the wire, since it is stored as
/// received.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Class of the job.
    #[serde(rename = "jobklasse")]
    pub class: String,
    /// Team that the job belongs to.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks, from 1 to [`constants::MAX_TASKS`].
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// CPUs that a task takes.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that a task takes.
    pub gpus: f64,
    /// Memory that a task takes, GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Machine types that the tasks may run on; `None` allows all.
    #[serde(rename = "hardware", default)]
    pub machine_types: Option<Vec<String>>,
    /// Zone that the tasks must run in; `None` allows all.
    #[serde(rename = "hall", default)]
    pub zone: Option<String>,
    /// All tasks must run in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks may run in one zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// The tasks may run on spot machines.
    #[serde(rename = "standby")]
    pub allow_spot: bool,
    /// Image that the tasks run.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Estimated run time, s.
    #[serde(rename = "expectS")]
    pub estimated_runtime_s: f64,
    /// Checkpoint interval, s; 0: none.
    #[serde(rename = "savepointS")]
    pub checkpoint_interval_s: f64,
    /// Time that a checkpoint takes when a task is stopped, s.
    #[serde(rename = "flushS")]
    pub checkpoint_duration_s: f64,
    /// Deadline, in s from the submission; `None` if there is none.
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<f64>,
    /// Jobs that must be done before any task of this one starts.
    #[serde(
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "list_or_null"
    )]
    #[serde(rename = "awaits")]
    pub depends_on: Vec<JobId>,
}

/// Reads a list that may be null or absent (protocol specification).
fn list_or_null<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    <Option<Vec<JobId>> as Deserialize>::deserialize(from).map(Option::unwrap_or_default)
}

impl JobSpec {
    /// Resources that one task takes.
    pub fn task_resources(&self) -> Resources {
        Resources::request(self.cpus, self.gpus, self.memory_gb)
    }

    /// Size of the image in MB (thousandths of a GB).
    pub fn image_mb(&self) -> u64 {
        (self.image_gb * 1000.0).ceil() as u64
    }

    /// Grace period in s for checkpointing a stopped task, one second more than a checkpoint
    /// takes; 0 if the job has no checkpoints.
    pub fn stop_grace_s(&self) -> u32 {
        if self.checkpoint_interval_s > 0.0 {
            self.checkpoint_duration_s.ceil() as u32 + 1
        } else {
            0
        }
    }
}

impl JobSpec {
    /// Grace period in s for a preempted task: enough for a checkpoint, but 0 if that takes
    /// longer than the work lost without it. A task that is stopped at once loses half a
    /// checkpoint interval on average, and the preempting attempt starts at once.
    pub fn preemption_grace_s(&self) -> u32 {
        if self.checkpoint_duration_s >= self.checkpoint_interval_s / 2.0 {
            0
        } else {
            self.stop_grace_s()
        }
    }
}

/// A machine type, from the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Resources of a machine.
    pub capacity: Resources,
    /// Size of the image cache, GB.
    pub image_cache_gb: f64,
    /// Rate at which images are pulled, GB/s.
    pub image_pull_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub on_demand_price: f64,
    /// Price of a spot machine per hour.
    pub spot_price: f64,
    /// Usual boot time, s.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub zones: Vec<String>,
}

/// The machine types by name.
pub type Catalog = BTreeMap<String, MachineType>;
