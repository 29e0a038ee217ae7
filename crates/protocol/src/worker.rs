//! Messages of the worker API: heartbeats, commands, and the worker's `/commands` endpoint.

use serde::{Deserialize, Serialize};

use lemonweir_model::MachineId;

/// A worker's heartbeat, from `/hello`, `/commands` or `/inspect`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Name of the worker's machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Address of the worker's `/commands` endpoint.
    pub address: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True for a spot machine, false for an on-demand one.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Session of the worker; a new one begins after its lease has expired.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number, which grows with every message of the worker.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest machine token that the worker has seen; 0 if none.
    #[serde(rename = "mandate", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it gave notice.
    #[serde(rename = "warningS", default)]
    pub reclaim_notice_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The state of a task in a heartbeat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Name of the task, `<job>/<number>`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Phase of the attempt.
    pub phase: TaskPhase,
    /// Why the attempt exited, as [`crate::peer::ExitCause::from_wire`] parses it; `None` before.
    #[serde(rename = "cause", default)]
    pub exit_cause: Option<String>,
    /// True if a stopped task's progress was saved.
    #[serde(rename = "saved", default)]
    pub checkpointed: Option<bool>,
}

/// Phase of an attempt on its machine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The machine pulls the image.
    #[serde(rename = "fetching")]
    PullingImage,
    /// Waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// The task's process runs.
    Running,
    /// Saves its progress after a stop command.
    #[serde(rename = "saving")]
    Checkpointing,
    /// Ended; [`TaskStatus::exit_cause`] says why.
    Exited,
}

/// A command to a worker.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// Kind of the command.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Name of the task, `<job>/<number>`.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Grace period for checkpointing, s; only with [`CommandKind::Stop`].
    #[serde(rename = "courtesyS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<u32>,
}

/// The kinds of commands.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start the attempt.
    #[serde(rename = "launch")]
    Start,
    /// Stop the attempt, after a checkpoint if [`Command::grace_s`] allows one.
    #[serde(rename = "kill")]
    Stop,
    /// Drop the exited attempt from the heartbeats.
    Forget,
}

/// The response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Current machine token; its upper bits are the shard's fencing token.
    #[serde(rename = "mandate")]
    pub fencing_token: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandsRequest {
    /// Current machine token; its upper bits are the shard's fencing token.
    #[serde(rename = "mandate")]
    pub fencing_token: u64,
    /// Worker session that the commands are for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, executed in order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421 response, which redirects a worker to another controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// Host name of the controller to send heartbeats to, if known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub host: Option<String>,
}
