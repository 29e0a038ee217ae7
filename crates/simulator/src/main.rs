//! The simulator's command line.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand, ValueEnum};
use lemonweir_simulator::report::RunOutcome;
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::trace_commands::{ScenarioSize, TraceCommand};
use lemonweir_simulator::workload_replay::WorkloadReplay;
use lemonweir_simulator::{fault_search, output, run, sweep, trace_commands};

/// Violations that are printed of a run.
const SHOWN_VIOLATIONS: usize = 3;

/// Runs lemonweir's real decisions against a simulated site.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Form of the log on standard error; `LOG_LEVEL` says how much.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

/// Many runs.
#[derive(clap::Args)]
struct SweepArgs {
    /// The seeds: FIRST..LAST.
    #[arg(long, default_value = "1..10")]
    seeds: sweep::Seeds,
    /// Runs at a time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// A workload to replay in place of the scenario's classes.
    #[arg(long)]
    workload: Option<PathBuf>,
    /// How many times as close together its submissions come.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    #[command(flatten)]
    size: ScenarioSize,
    /// Directory for all reports and a plot.
    #[arg(long)]
    out: Option<PathBuf>,
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
        /// Who places: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: run::Placer,
        #[command(flatten)]
        size: ScenarioSize,
        /// Directory for report, plots and history.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run a scenario with many seeds.
    Sweep {
        /// The scenario.
        file: PathBuf,
        #[command(flatten)]
        many: SweepArgs,
        /// Who places: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: run::Placer,
    },
    /// Run two scenarios, or one with two placers, with the same seeds.
    Compare {
        /// The first: FILE or FILE@PLACER.
        a: String,
        /// The second.
        b: String,
        #[command(flatten)]
        many: SweepArgs,
    },
    /// Draw sites and faults by seed and look for violated invariants and services that do
    /// not come back.
    #[command(name = "fault-search", alias = "hunt")]
    FaultSearch {
        /// The seeds: FIRST..LAST.
        #[arg(long, default_value = "1..12")]
        seeds: sweep::Seeds,
        /// Machines of a site at the most; 40 at the least.
        #[arg(long, default_value_t = 5_000, value_parser = clap::value_parser!(u32).range(41..=100_000))]
        machines: u32,
        /// Runs at a time.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
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
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(tracing::Level::ERROR);
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .without_time()
        .with_target(false);
    match format {
        LogFormat::Json => builder.json().init(),
        LogFormat::Text => builder.with_ansi(false).init(),
    }
}

/// A scenario, made larger if wanted.
fn sized(file: &Path, size: ScenarioSize) -> Result<Arc<Scenario>, Vec<String>> {
    if !(size.scale > 0.0 && size.scale <= 1e5) {
        return Err(vec![format!(
            "--scale: {} must be over 0 and at most 100,000",
            size.scale
        )]);
    }
    if !(size.load > 0.0 && size.load <= 1e5) {
        return Err(vec![format!(
            "--load: {} must be over 0 and at most 100,000",
            size.load
        )]);
    }
    Ok(Arc::new(load(file)?.scaled(
        size.scale,
        size.load,
        size.controllers,
    )))
}

/// A workload, if one is given.
fn replayed(file: PathBuf, speed: f64, size: ScenarioSize) -> Result<WorkloadReplay, Vec<String>> {
    if !(speed.is_finite() && speed > 0.0) {
        return Err(vec![format!("--speed: {speed} must be over 0")]);
    }
    Ok(WorkloadReplay {
        file,
        speed,
        copies: size.scale.round().max(1.0) as u32,
    })
}

fn load(file: &Path) -> Result<Scenario, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    Scenario::parse(&name, &text)
}

fn execute(command: Command) -> Result<ExitCode, Vec<String>> {
    match command {
        Command::Check { files } => {
            let faults: Vec<String> = files
                .iter()
                .filter_map(|f| load(f).err())
                .flatten()
                .collect();
            if faults.is_empty() {
                println!("{} scenarios are fine", files.len());
                return Ok(ExitCode::SUCCESS);
            }
            Err(faults)
        }
        Command::Run {
            file,
            seed,
            placer,
            size,
            out,
        } => {
            let result = run::run_once(
                sized(&file, size)?,
                run::LoadSource::Synthetic,
                placer,
                seed,
                out.as_deref(),
            )
            .map_err(|error| vec![error.to_string()])?;
            finish(&result, out.as_deref())
        }
        Command::Sweep { file, many, placer } => {
            let outcomes = sweep(&sized(&file, many.size)?, placer, &many)?;
            println!("{} runs of {}", outcomes.len(), file.display());
            print!("{}", sweep::summary(&outcomes));
            let name = file.display().to_string();
            close(&[(&name, &outcomes)], many.out.as_deref())
        }
        Command::Compare { a, b, many } => {
            let (left, right) = (side(&a, &many)?, side(&b, &many)?);
            println!("A: {a}\nB: {b}\n{} seeds", left.len());
            print!("{}", sweep::side_by_side(&left, &right));
            close(&[(&a, &left), (&b, &right)], many.out.as_deref())
        }
        Command::FaultSearch {
            seeds,
            machines,
            jobs,
        } => Ok(search_faults(&seeds, machines, jobs)),
        Command::Trace {
            command: TraceCommand::Check { files },
        } => Ok(trace_commands::check(&files)),
        Command::Trace {
            command:
                TraceCommand::Import {
                    files,
                    on_fault,
                    out,
                },
        } => Ok(trace_commands::import(&files, on_fault, &out)),
        Command::Trace {
            command: TraceCommand::Show { file, plot },
        } => Ok(trace_commands::show(&file, plot.as_deref())),
        Command::Trace {
            command:
                TraceCommand::Replay {
                    file,
                    scenario,
                    seed,
                    speed,
                    placer,
                    size,
                    out,
                },
        } => {
            let source = run::LoadSource::Workload(replayed(file, speed, size)?);
            let result = run::run_once(
                sized(&scenario, size)?,
                source,
                placer,
                seed,
                out.as_deref(),
            )
            .map_err(|error| vec![error.to_string()])?;
            finish(&result, out.as_deref())
        }
    }
}

/// Searches faults with many seeds and prints those that failed.
fn search_faults(seeds: &sweep::Seeds, machines: u32, jobs: usize) -> ExitCode {
    let results = sweep::each(seeds, jobs, |seed| {
        fault_search::search_seed(seed, machines)
    });
    let task_starts: u64 = results.iter().map(|result| result.task_starts).sum();
    let failed: Vec<&fault_search::SearchResult> = results
        .iter()
        .filter(|result| !result.violations.is_empty())
        .collect();
    println!(
        "{} days, {task_starts} starts, {} failed",
        results.len(),
        failed.len()
    );
    for result in &failed {
        let violations: Vec<&str> = result
            .violations
            .iter()
            .take(SHOWN_VIOLATIONS)
            .map(String::as_str)
            .collect();
        println!(
            "seed {}: {}\n{}{}",
            result.seed,
            violations.join("; "),
            result.site,
            result.faults.concat()
        );
    }
    if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn sweep(
    scenario: &Arc<Scenario>,
    placer: run::Placer,
    many: &SweepArgs,
) -> Result<Vec<RunOutcome>, Vec<String>> {
    let workload = many
        .workload
        .clone()
        .map(|file| replayed(file, many.speed, many.size))
        .transpose()?;
    sweep::sweep(scenario, placer, workload.as_ref(), &many.seeds, many.jobs)
        .map_err(|error| vec![error.to_string()])
}

/// Runs one side of a comparison.
fn side(spec: &str, many: &SweepArgs) -> Result<Vec<RunOutcome>, Vec<String>> {
    let (file, placer) = spec.split_once('@').unwrap_or((spec, "lemonweir"));
    let placer = placer
        .parse()
        .map_err(|error: run::ParsePlacerError| vec![error.to_string()])?;
    sweep(&sized(Path::new(file), many.size)?, placer, many)
}

/// Writes what many runs gave; a broken rule in any of them is a failure.
fn close(
    sides: &[(&String, &Vec<RunOutcome>)],
    out: Option<&Path>,
) -> Result<ExitCode, Vec<String>> {
    if let Some(dir) = out {
        output::write_all(sides, dir).map_err(|e| vec![format!("{}: {e}", dir.display())])?;
        println!("reports and plots are in {}", dir.display());
    }
    let broken: Vec<String> = sides
        .iter()
        .flat_map(|(_, outcomes)| outcomes.iter())
        .flat_map(|o| {
            o.report
                .violations
                .iter()
                .map(|b| format!("seed {}: rule broken: {b}", o.report.seed))
        })
        .collect();
    if broken.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(broken)
    }
}

/// Prints a run's figures; a broken rule is a failure.
fn finish(result: &RunOutcome, out: Option<&Path>) -> Result<ExitCode, Vec<String>> {
    print!("{}", output::table(&result.report));
    println!("{}", output::pace(result));
    if let Some(dir) = out {
        output::write(result, dir).map_err(|e| vec![format!("{}: {e}", dir.display())])?;
        println!("report, plots and history are in {}", dir.display());
    }
    if result.report.violations.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Err(result
        .report
        .violations
        .iter()
        .map(|b| format!("rule broken: {b}"))
        .collect())
}
