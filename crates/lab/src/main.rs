//! The laboratory's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand, ValueEnum};
use lemonweir_lab::scenario::Scenario;
use lemonweir_lab::traces::TraceCommand;
use lemonweir_lab::{output, run, traces};

/// Runs lemonweir's real decisions against a simulated world.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Form of the log on standard error; `LOG_LEVEL` says how much.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Json,
    Text,
}

#[derive(Subcommand)]
enum Command {
    /// Check scenarios; name every fault with file, line and field.
    Check {
        /// The scenarios.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run a scenario once.
    Run {
        /// The scenario.
        file: PathBuf,
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Directory for report, plots and history.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Published traces: check, import, show, replay.
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    log(args.log_format);
    match execute(args.command) {
        Ok(code) => code,
        Err(faults) => {
            faults.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::FAILURE
        }
    }
}

fn log(format: LogFormat) {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::ERROR);
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).without_time().with_target(false);
    match format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.with_ansi(false).init(),
    }
}

fn load(file: &Path) -> Result<Arc<Scenario>, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    Scenario::parse(&name, &text).map(Arc::new)
}

fn execute(command: Command) -> Result<ExitCode, Vec<String>> {
    match command {
        Command::Check { files } => {
            let faults: Vec<String> = files.iter().filter_map(|f| load(f).err()).flatten().collect();
            if faults.is_empty() {
                println!("{} scenarios are fine", files.len());
                return Ok(ExitCode::SUCCESS);
            }
            Err(faults)
        }
        Command::Run { file, seed, out } => {
            let result = run::once(load(&file)?, run::Source::Synthetic, seed, out.as_deref()).map_err(|e| vec![e])?;
            finish(&result, out.as_deref())
        }
        Command::Trace { command: TraceCommand::Check { files } } => Ok(traces::check(&files)),
        Command::Trace { command: TraceCommand::Import { files, on_fault, out } } => Ok(traces::import(&files, on_fault, &out)),
        Command::Trace { command: TraceCommand::Show { file, plot } } => Ok(traces::show(&file, plot.as_deref())),
        Command::Trace { command: TraceCommand::Replay { file, scenario, seed, speed, out } } => {
            if !(speed.is_finite() && speed > 0.0) {
                return Err(vec![format!("--speed: {speed} must be over 0")]);
            }
            let source = run::Source::Workload(file, speed);
            let result = run::once(load(&scenario)?, source, seed, out.as_deref()).map_err(|e| vec![e])?;
            finish(&result, out.as_deref())
        }
    }
}

/// Prints a run's figures; a broken rule is a failure.
fn finish(result: &run::Outcome, out: Option<&Path>) -> Result<ExitCode, Vec<String>> {
    print!("{}", output::table(&result.report));
    println!("{}", output::pace(result));
    if let Some(dir) = out {
        output::write(result, dir).map_err(|e| vec![format!("{}: {e}", dir.display())])?;
        println!("report, plots and history are in {}", dir.display());
    }
    if result.report.broken.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Err(result.report.broken.iter().map(|b| format!("rule broken: {b}")).collect())
}
