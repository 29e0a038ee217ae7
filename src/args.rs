//! Command-line arguments. Former names of commands and flags are accepted as hidden
//! aliases, which the help does not show.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A decentralized cluster scheduler: leader-elected shards that borrow machines from one another.
#[derive(Parser)]
#[command(version, about)]
pub(crate) struct Cli {
    /// Run a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// Operators' scheduling policy (Lua); the embedded default otherwise.
    #[arg(long, value_name = "FILE", global = true)]
    pub(crate) policy: Option<PathBuf>,
    /// The command to run instead of a controller.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

/// Commands of operators and users.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Validate a settings file and the policy; report every fault.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Submit a job, read as JSON from a file.
    Submit {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job, as JSON.
        file: PathBuf,
    },
    /// Show the status of a job, with the reason why it is pending.
    Status {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job's id.
        job: String,
    },
    /// Show the links that a controller and its peers see up or down, and which relay
    /// peer is used.
    Links {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The output format.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Show the events of links and shards that a controller has recorded since it
    /// started.
    Events {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The output format.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Show under-replicated services, since when and which action is under way, and the
    /// leader of each shard; or the failovers of shards; or the locality of an image.
    #[command(alias = "watch")]
    Supervision {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// Show the failovers of shards.
        #[arg(long, alias = "handovers")]
        failovers: bool,
        /// Show where an image is cached, which jobs use it, and how many copies the loss
        /// of each zone would leave.
        #[arg(
            long,
            alias = "weights",
            value_name = "IMAGE",
            conflicts_with = "failovers"
        )]
        image_locality: Option<String>,
        /// The output format.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Cancel a job.
    #[command(alias = "withdraw")]
    Cancel {
        /// The controller to call.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job's id.
        job: String,
    },
}

/// The controller that a command calls.
#[derive(Args)]
pub(crate) struct ControllerArgs {
    /// Address of a controller.
    #[arg(long = "node", value_name = "ADDR")]
    pub(crate) address: SocketAddr,
}

/// Options for the output of a command.
#[derive(Args)]
pub(crate) struct OutputArgs {
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Output format of a command.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Human-readable tables.
    Table,
    /// The JSON form of the controller's response.
    Json,
}

impl OutputArgs {
    /// The selected format.
    pub(crate) fn format(&self) -> OutputFormat {
        if self.json {
            OutputFormat::Json
        } else {
            OutputFormat::Table
        }
    }
}
