//! Workers: heartbeats, commands, and the `/commands` call.

use serde::{Deserialize, Serialize};

use lemonweir_model::MachineId;

/// A worker's heartbeat, from `/hello`, `/commands` or `/inspect`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Where it takes commands.
    pub address: String,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Session; a lease that ran out ends one.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Grows with every message of the worker.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token that the worker has seen.
    #[serde(rename = "mandate", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine, if it gave notice.
    #[serde(rename = "warningS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One task of a heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Its phase.
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(rename = "cause", default)]
    pub exit_cause: Option<String>,
    /// True if a stopped task's progress was saved.
    #[serde(rename = "saved", default)]
    pub checkpointed: Option<bool>,
}

/// A task's phase on its machine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waits for its image.
    #[serde(rename = "fetching")]
    PullingImage,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// Runs.
    Running,
    /// Was told to stop and saves.
    #[serde(rename = "saving")]
    Checkpointing,
    /// Ended.
    Exited,
}

/// An order to a worker.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// What to do.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// The task.
    #[serde(rename = "piece")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Grace to save, with a kill.
    #[serde(rename = "courtesyS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<u32>,
}

/// The kinds of commands.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start an attempt.
    #[serde(rename = "launch")]
    Start,
    /// Stop an attempt.
    #[serde(rename = "kill")]
    Stop,
    /// Drop an exited attempt from the heartbeats.
    Forget,
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Our token.
    #[serde(rename = "mandate")]
    pub fencing_token: u64,
    /// Commands, executed in turn.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandsRequest {
    /// Our token.
    #[serde(rename = "mandate")]
    pub fencing_token: u64,
    /// The session that the commands are meant for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, executed in turn.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421: where to report instead.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub host: Option<String>,
}
