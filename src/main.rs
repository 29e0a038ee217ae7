//! The command line.

mod image_locality;
mod operator;
mod supervision;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;

/// A cluster scheduler: owned parts, checked borrowing.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Run a controller with this settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (Lua); the embedded default otherwise.
    #[arg(long, value_name = "FILE", global = true)]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Check a settings file and the policy; name every fault.
    Check {
        /// The settings file.
        file: PathBuf,
    },
    /// Submit a job, read as JSON from a file.
    Submit {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// The job, as JSON.
        file: PathBuf,
    },
    /// Show a job, with the reason why it waits.
    Status {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// The job's id.
        job: String,
    },
    /// Show which links a controller and its peers see up or down, and what goes
    /// through whom.
    Links {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show what a controller has seen of links and parts since it started.
    Events {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show which services lack replicas, since when and what is tried, and who
    /// holds which part; or how the parts have changed hands; or where weights lie.
    Watch {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// Show the changes of hands.
        #[arg(long)]
        handovers: bool,
        /// Show where an image lies, who uses it, what the loss of each zone would leave.
        #[arg(long, value_name = "IMAGE", conflicts_with = "handovers")]
        weights: Option<String>,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Cancel a job.
    Withdraw {
        /// Address of a controller.
        #[arg(long, value_name = "ADDR")]
        node: std::net::SocketAddr,
        /// The job's id.
        job: String,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("info") => tracing::Level::INFO,
        Ok("trace") => tracing::Level::TRACE,
        Ok("warn") => tracing::Level::WARN,
        _ => tracing::Level::ERROR,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_ansi(false)
        .with_target(false)
        .init();
    match run(args) {
        Ok(code) => code,
        Err(faults) => {
            for fault in faults {
                eprintln!("lemonweir: {fault}");
            }
            ExitCode::FAILURE
        }
    }
}

fn run(args: Args) -> Result<ExitCode, Vec<String>> {
    match (args.config, args.command) {
        (Some(file), None) => {
            let (settings, policy) = load(&file, args.policy)?;
            lemonweir_node::run(settings, policy).map_err(|e| vec![e.to_string()])?;
            Ok(ExitCode::SUCCESS)
        }
        (None, Some(Command::Check { file })) => {
            load(&file, args.policy)?;
            println!("settings and policy are fine");
            Ok(ExitCode::SUCCESS)
        }
        (None, Some(Command::Submit { node, file })) => operator::submit(node, &file),
        (None, Some(Command::Status { node, job })) => operator::status(node, &job),
        (None, Some(Command::Links { node, json })) => operator::links(node, json),
        (None, Some(Command::Events { node, json })) => operator::events(node, json),
        (
            None,
            Some(Command::Watch {
                node,
                handovers,
                weights,
                json,
            }),
        ) => match weights {
            Some(image) => image_locality::weights(node, &image, json),
            None if handovers => supervision::handovers(node, json),
            None => supervision::now(node, json),
        },
        (None, Some(Command::Withdraw { node, job })) => operator::withdraw(node, &job),
        _ => Err(vec![
            "give either --config FILE or one command; see --help".into(),
        ]),
    }
}

/// Loads settings and policy; the faults of both are reported together.
fn load(
    file: &std::path::Path,
    policy: Option<PathBuf>,
) -> Result<(Settings, Policy), Vec<String>> {
    let settings = Settings::load(file);
    let policy = match policy {
        None => lemonweir_policy::embedded(),
        Some(path) => std::fs::read_to_string(&path)
            .map_err(|e| vec![format!("{}: {e}", path.display())])
            .and_then(|s| lemonweir_policy::evaluate(&s)),
    };
    match (settings, policy) {
        (Ok(settings), Ok(policy)) => Ok((settings, policy)),
        (settings, policy) => Err(settings
            .err()
            .into_iter()
            .chain(policy.err())
            .flatten()
            .collect()),
    }
}
