//! The field's terms: jobs, tasks, attempts, machines and what they take; the
//! settings that a process is given, and every constant.

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
    /// Checks the one form that job ids have: `req-` and digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix("req-")?;
        let fits = (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        fits.then(|| Self::from(text))
    }
}

/// One start of one task. The order is that of jobs, tasks, attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct AttemptId {
    /// The job.
    pub job: JobId,
    /// The task's number within its job.
    pub task: u32,
    /// The number of the start.
    pub attempt: u32,
}

impl AttemptId {
    /// The task's name on the wire.
    pub fn task_name(&self) -> String {
        format!("{}/{}", self.job, self.task)
    }

    /// Reads a task's name from the wire.
    pub fn parse(piece: &str, attempt: u32) -> Option<Self> {
        let (job, task) = piece.split_once('/')?;
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

/// Room on a machine, in thousandths: processors, accelerators, gigabytes.
/// Integers, so that sums and limits are exact.
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
    /// Thousandths of a processor.
    #[serde(rename = "cpus")]
    pub milli_cpus: u64,
    /// Thousandths of an accelerator.
    #[serde(rename = "gpus")]
    pub milli_gpus: u64,
    /// Thousandths of a gigabyte.
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
    /// What a task needs: rounded up, so that it is never counted too small.
    pub fn request(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |x: f64| (x * 1000.0 - 1e-6).ceil().max(0.0) as u64;
        Self {
            milli_cpus: up(cpus),
            milli_gpus: up(gpus),
            memory_mb: up(memory_gb),
        }
    }

    /// What a machine or a limit offers: rounded down.
    pub fn capacity(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |x: f64| (x * 1000.0 + 1e-6).floor().max(0.0) as u64;
        Self {
            milli_cpus: down(cpus),
            milli_gpus: down(gpus),
            memory_mb: down(memory_gb),
        }
    }

    /// True if `need` fits into this room in every resource.
    pub fn covers(&self, need: &Resources) -> bool {
        self.milli_cpus >= need.milli_cpus
            && self.milli_gpus >= need.milli_gpus
            && self.memory_mb >= need.memory_mb
    }

    /// The sum.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus + other.milli_cpus,
            milli_gpus: self.milli_gpus + other.milli_gpus,
            memory_mb: self.memory_mb + other.memory_mb,
        }
    }

    /// What is left, never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus.saturating_sub(other.milli_cpus),
            milli_gpus: self.milli_gpus.saturating_sub(other.milli_gpus),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
        }
    }

    /// `n` times this room.
    pub fn times(&self, n: u64) -> Resources {
        Resources {
            milli_cpus: self.milli_cpus.saturating_mul(n),
            milli_gpus: self.milli_gpus.saturating_mul(n),
            memory_mb: self.memory_mb.saturating_mul(n),
        }
    }
}

/// How a job's tasks belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// All tasks at the same time or none.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "daemon")]
    Service,
}

/// Priority, highest first.
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
    /// Production.
    #[serde(rename = "prod")]
    Production,
    /// High.
    #[serde(rename = "high")]
    High,
    /// Normal.
    #[serde(rename = "normal")]
    Normal,
    /// Low.
    #[serde(rename = "idle")]
    Low,
}

impl Priority {
    /// Position, highest first.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// What a user asked for; wire names, since it is stored as it came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// The job class.
    #[serde(rename = "jobklasse")]
    pub class: String,
    /// The team.
    #[serde(rename = "owner")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "pieces")]
    pub tasks: u64,
    /// Processors a task takes.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Accelerators a task takes.
    pub gpus: f64,
    /// Memory a task takes.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// Allowed machine types.
    #[serde(rename = "hardware", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "hall", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks in a zone.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "standby")]
    pub allow_spot: bool,
    /// Image.
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Estimated run time, s.
    #[serde(rename = "expectS")]
    pub estimated_runtime_s: f64,
    /// Checkpoint interval, s; 0: none.
    #[serde(rename = "savepointS")]
    pub checkpoint_interval_s: f64,
    /// Time to save when stopped, s.
    #[serde(rename = "flushS")]
    pub checkpoint_duration_s: f64,
    /// Deadline from submission, s.
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

/// A field that may be null may also be absent (protocol page).
fn list_or_null<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Vec<JobId>, D::Error> {
    <Option<Vec<JobId>> as Deserialize>::deserialize(from).map(Option::unwrap_or_default)
}

impl JobSpec {
    /// What one task takes.
    pub fn task_resources(&self) -> Resources {
        Resources::request(self.cpus, self.gpus, self.memory_gb)
    }

    /// Size of its image in thousandths of a GB.
    pub fn image_mb(&self) -> u64 {
        (self.image_gb * 1000.0).ceil() as u64
    }

    /// Seconds of grace that let a task save, or 0 if it never saves.
    pub fn stop_grace_s(&self) -> u32 {
        if self.checkpoint_interval_s > 0.0 {
            self.checkpoint_duration_s.ceil() as u32 + 1
        } else {
            0
        }
    }
}

impl JobSpec {
    /// Seconds of grace when it is preempted for other work: enough to save, but
    /// none if saving takes longer than what is lost without it. A task that
    /// is stopped at once loses half a checkpoint interval on average, and
    /// whoever it is preempted for starts at once.
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
    /// Its name.
    pub name: String,
    /// What a machine offers.
    pub capacity: Resources,
    /// Image cache, GB.
    pub image_cache_gb: f64,
    /// Image fetch, GB/s.
    pub image_pull_gb_per_s: f64,
    /// Price of an ordinary machine an hour.
    pub on_demand_price: f64,
    /// Price of a spot machine an hour.
    pub spot_price: f64,
    /// Usual boot time, s.
    pub boot_s: f64,
    /// Zones that have it.
    pub zones: Vec<String>,
}

/// The machine types by name.
pub type Catalog = BTreeMap<String, MachineType>;
