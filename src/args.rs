//! The command line. Commands and flags have the field's names; the names that they had
//! before are understood as well, and not shown in the help.

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
    /// The command, unless a controller is run.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

/// What is done instead of running a controller.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Validate a settings file and the policy; report every fault.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Submit a job, read as JSON from a file.
    Submit {
        /// The controller to ask.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job, as JSON.
        file: PathBuf,
    },
    /// Show the status of a job, with the reason why it is pending.
    Status {
        /// The controller to ask.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job's id.
        job: String,
    },
    /// Show the links that a controller and its peers see up or down, and which relay
    /// peer is used.
    Links {
        /// The controller to ask.
        #[command(flatten)]
        controller: ControllerArgs,
        /// How it is printed.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Show the events of links and shards that a controller has recorded since it
    /// started.
    Events {
        /// The controller to ask.
        #[command(flatten)]
        controller: ControllerArgs,
        /// How it is printed.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Show under-replicated services, since when and which action is under way, and the
    /// leader of each shard; or the failovers of shards; or the locality of an image.
    #[command(alias = "watch")]
    Supervision {
        /// The controller to ask.
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
        /// How it is printed.
        #[command(flatten)]
        output: OutputArgs,
    },
    /// Cancel a job.
    #[command(alias = "withdraw")]
    Cancel {
        /// The controller to ask.
        #[command(flatten)]
        controller: ControllerArgs,
        /// The job's id.
        job: String,
    },
}

/// Which controller a command asks.
#[derive(Args)]
pub(crate) struct ControllerArgs {
    /// Address of a controller.
    #[arg(long = "node", value_name = "ADDR")]
    pub(crate) address: SocketAddr,
}

/// How a command prints its result.
#[derive(Args)]
pub(crate) struct OutputArgs {
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The form of a result.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Tables for people.
    Table,
    /// JSON as the controller answers it.
    Json,
}

impl OutputArgs {
    /// The form that was asked for.
    pub(crate) fn format(&self) -> OutputFormat {
        if self.json {
            OutputFormat::Json
        } else {
            OutputFormat::Table
        }
    }
}
