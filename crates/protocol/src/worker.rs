//! WorkerTiming: reports, orders, and the `/commands` call.

use serde::{Deserialize, Serialize};

use lemonweir_model::MachineId;

/// A worker's report, from `/hello`, `/commands` or `/inspect`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Where it takes commands.
    pub address: String,
    /// Its type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Session; a lease that ran out ends one.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Grows with every message of the worker.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token that the worker has seen.
    #[serde(rename = "mandate", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine, if it gave notice.
    #[serde(rename = "warningS", default)]
    pub notice_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// One task of a report.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task.
    pub piece: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Its phase.
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(default)]
    pub cause: Option<String>,
    /// True if a stopped task's progress was saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A task's phase on its machine.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waits for its image.
    Fetching,
    /// Waits for the other tasks of its gang.
    Gathering,
    /// Runs.
    Running,
    /// Was told to stop and saves.
    Saving,
    /// Ended.
    Exited,
}

/// An order to a worker.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// What to do.
    pub verb: CommandKind,
    /// The task.
    pub piece: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u32,
    /// Grace to save, with a kill.
    #[serde(rename = "courtesyS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<u32>,
}

/// The kinds of orders.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start an attempt.
    Launch,
    /// Stop an attempt.
    Kill,
    /// Drop an exited attempt from the reports.
    Forget,
}

/// The answer to a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Our token.
    #[serde(rename = "mandate")]
    pub token: u64,
    /// Orders, executed in turn.
    pub orders: Vec<Command>,
}

/// The body of `/commands`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommandsRequest {
    /// Our token.
    #[serde(rename = "mandate")]
    pub token: u64,
    /// The session that the orders are meant for.
    #[serde(rename = "shift")]
    pub session: u64,
    /// Orders, executed in turn.
    pub orders: Vec<Command>,
}

/// The body of a 421: where to report instead.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The controller to report to.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none", default)]
    pub host: Option<String>,
}
