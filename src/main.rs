//! The `lemonweir` binary: runs a controller, or a command against a running one.

mod args;
mod commands;
mod controller_client;
mod error;
mod output;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;

use crate::args::{Cli, Command};
use crate::error::CommandError;

fn main() -> ExitCode {
    let cli = Cli::parse();
    init_logging();
    match run(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for message in error.messages() {
                eprintln!("lemonweir: {message}");
            }
            ExitCode::FAILURE
        }
    }
}

/// Starts logging to standard error at the level in `LOG_LEVEL`; the default is errors only.
fn init_logging() {
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
}

fn run(cli: Cli) -> Result<(), CommandError> {
    match (cli.config, cli.command) {
        (Some(file), None) => run_controller(&file, cli.policy),
        (None, Some(command)) => run_command(command, cli.policy),
        (Some(_), Some(_)) | (None, None) => Err(CommandError::Usage),
    }
}

/// Runs a controller until the process is killed.
fn run_controller(file: &Path, policy: Option<PathBuf>) -> Result<(), CommandError> {
    let (settings, policy) = load_configuration(file, policy)?;
    lemonweir_node::run(settings, policy).map_err(CommandError::Listen)
}

fn run_command(command: Command, policy: Option<PathBuf>) -> Result<(), CommandError> {
    match command {
        Command::Check { file } => {
            load_configuration(&file, policy)?;
            println!("settings and policy are fine");
            Ok(())
        }
        Command::Submit { controller, file } => commands::jobs::submit(controller.address, &file),
        Command::Status { controller, job } => commands::jobs::status(controller.address, &job),
        Command::Cancel { controller, job } => commands::jobs::cancel(controller.address, &job),
        Command::Links { controller, output } => {
            commands::links::links(controller.address, output.format())
        }
        Command::Events { controller, output } => {
            commands::links::events(controller.address, output.format())
        }
        Command::Supervision {
            controller,
            failovers,
            image_locality,
            output,
        } => {
            let (address, format) = (controller.address, output.format());
            match image_locality {
                Some(image) => commands::image_locality::image_locality(address, &image, format),
                None if failovers => commands::supervision::failovers(address, format),
                None => commands::supervision::supervision(address, format),
            }
        }
    }
}

/// Loads the settings and the policy; the errors of both are reported together.
fn load_configuration(
    file: &Path,
    policy: Option<PathBuf>,
) -> Result<(Settings, Policy), CommandError> {
    let settings = Settings::load(file);
    let policy = match policy {
        None => lemonweir_policy::embedded(),
        Some(path) => std::fs::read_to_string(&path)
            .map_err(|e| vec![format!("{}: {e}", path.display())])
            .and_then(|script| lemonweir_policy::evaluate(&script)),
    };
    match (settings, policy) {
        (Ok(settings), Ok(policy)) => Ok((settings, policy)),
        (settings, policy) => Err(CommandError::Configuration(
            settings
                .err()
                .into_iter()
                .chain(policy.err())
                .flatten()
                .collect(),
        )),
    }
}
