//! Command line of the simulator.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use clap::{Parser, Subcommand, ValueEnum};
use lemonweir_simulator::report::RunOutcome;
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::trace_commands::{ScenarioSize, TraceCommand};
use lemonweir_simulator::workload_replay::WorkloadReplay;
use lemonweir_simulator::{fault_search, output, run, sweep, trace_commands};

/// Largest number of violations of one run that the fault search prints.
const MAX_PRINTED_VIOLATIONS: usize = 3;

/// Runs lemonweir's scheduling code against a simulated site.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Format of the log on standard error; `LOG_LEVEL` sets its level.
    #[arg(long, global = true, value_enum, default_value = "text")]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

/// Options of commands that run many seeds.
#[derive(clap::Args)]
struct SweepArgs {
    /// Seeds to run: FIRST..LAST, both included.
    #[arg(long, default_value = "1..10")]
    seeds: sweep::Seeds,
    /// Number of runs at a time.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Workload file to replay instead of the scenario's job classes.
    #[arg(long)]
    workload: Option<PathBuf>,
    /// Factor by which the workload's submissions come faster.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    #[command(flatten)]
    size: ScenarioSize,
    /// Directory for all reports and a plot of allocation times.
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
    /// Check scenarios, and print every error with file, line and field.
    Check {
        /// Scenario files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run a scenario once.
    Run {
        /// Scenario file.
        file: PathBuf,
        /// Seed of the random number generators.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Scheduler that places the tasks: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: run::Placer,
        #[command(flatten)]
        size: ScenarioSize,
        /// Directory for the report, plots and history.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Run a scenario with many seeds.
    Sweep {
        /// Scenario file.
        file: PathBuf,
        #[command(flatten)]
        many: SweepArgs,
        /// Scheduler that places the tasks: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: run::Placer,
    },
    /// Run two scenarios, or one with two placers, with the same seeds.
    Compare {
        /// First side: FILE or FILE@PLACER.
        a: String,
        /// Second side: FILE or FILE@PLACER.
        b: String,
        #[command(flatten)]
        many: SweepArgs,
    },
    /// Draw sites and faults by seed, and search for violated invariants and services that do
    /// not recover.
    #[command(name = "fault-search", alias = "hunt")]
    FaultSearch {
        /// Seeds to run: FIRST..LAST, both included.
        #[arg(long, default_value = "1..12")]
        seeds: sweep::Seeds,
        /// Largest number of machines of a site; the smallest is 40.
        #[arg(long, default_value_t = 5_000, value_parser = clap::value_parser!(u32).range(41..=100_000))]
        machines: u32,
        /// Number of runs at a time.
        #[arg(long, default_value_t = 4)]
        jobs: usize,
        /// Which faults are drawn.
        #[arg(long, value_enum, default_value_t)]
        faults: fault_search::FaultMix,
    },
    /// Check, import, show and replay published traces.
    Trace {
        #[command(subcommand)]
        command: TraceCommand,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    init_logging(args.log_format);
    match execute(args.command) {
        Ok(code) => code,
        Err(errors) => {
            errors.iter().for_each(|f| eprintln!("{f}"));
            ExitCode::FAILURE
        }
    }
}

fn init_logging(format: LogFormat) {
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

/// Loads a scenario and scales it.
fn load_scaled_scenario(file: &Path, size: ScenarioSize) -> Result<Arc<Scenario>, Vec<String>> {
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
    Ok(Arc::new(load_scenario(file)?.scaled(
        size.scale,
        size.load,
        size.controllers,
    )))
}

/// The replay of a workload file; the scale becomes a whole number of copies of each job.
fn workload_replay(
    file: PathBuf,
    speed: f64,
    size: ScenarioSize,
) -> Result<WorkloadReplay, Vec<String>> {
    if !(speed.is_finite() && speed > 0.0) {
        return Err(vec![format!("--speed: {speed} must be over 0")]);
    }
    Ok(WorkloadReplay {
        file,
        speed,
        copies: size.scale.round().max(1.0) as u32,
    })
}

fn load_scenario(file: &Path) -> Result<Scenario, Vec<String>> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{name}: {e}")])?;
    Scenario::parse(&name, &text)
}

fn execute(command: Command) -> Result<ExitCode, Vec<String>> {
    match command {
        Command::Check { files } => {
            let errors: Vec<String> = files
                .iter()
                .filter_map(|f| load_scenario(f).err())
                .flatten()
                .collect();
            if errors.is_empty() {
                println!("{} scenarios are fine", files.len());
                return Ok(ExitCode::SUCCESS);
            }
            Err(errors)
        }
        Command::Run {
            file,
            seed,
            placer,
            size,
            out,
        } => {
            let result = run::run_once(
                load_scaled_scenario(&file, size)?,
                run::LoadSource::Synthetic,
                placer,
                seed,
                out.as_deref(),
            )
            .map_err(|error| vec![error.to_string()])?;
            report_run(&result, out.as_deref())
        }
        Command::Sweep { file, many, placer } => {
            let outcomes = sweep(&load_scaled_scenario(&file, many.size)?, placer, &many)?;
            println!("{} runs of {}", outcomes.len(), file.display());
            print!("{}", sweep::summary(&outcomes));
            let name = file.display().to_string();
            report_runs(&[(&name, &outcomes)], many.out.as_deref())
        }
        Command::Compare { a, b, many } => {
            let (left, right) = (run_side(&a, &many)?, run_side(&b, &many)?);
            println!("A: {a}\nB: {b}\n{} seeds", left.len());
            print!("{}", sweep::comparison(&left, &right));
            report_runs(&[(&a, &left), (&b, &right)], many.out.as_deref())
        }
        Command::FaultSearch {
            seeds,
            machines,
            jobs,
            faults,
        } => Ok(search_faults(&seeds, machines, jobs, faults)),
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
            let source = run::LoadSource::Workload(workload_replay(file, speed, size)?);
            let result = run::run_once(
                load_scaled_scenario(&scenario, size)?,
                source,
                placer,
                seed,
                out.as_deref(),
            )
            .map_err(|error| vec![error.to_string()])?;
            report_run(&result, out.as_deref())
        }
    }
}

/// Runs the fault search with many seeds and prints the failed runs.
fn search_faults(
    seeds: &sweep::Seeds,
    machines: u32,
    jobs: usize,
    mix: fault_search::FaultMix,
) -> ExitCode {
    let results = sweep::map_seeds(seeds, jobs, |seed| {
        fault_search::search_seed(seed, machines, mix)
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
            .take(MAX_PRINTED_VIOLATIONS)
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
        .map(|file| workload_replay(file, many.speed, many.size))
        .transpose()?;
    sweep::sweep(scenario, placer, workload.as_ref(), &many.seeds, many.jobs)
        .map_err(|error| vec![error.to_string()])
}

/// Runs one side of a comparison, given as FILE or FILE@PLACER.
fn run_side(spec: &str, many: &SweepArgs) -> Result<Vec<RunOutcome>, Vec<String>> {
    let (file, placer) = spec.split_once('@').unwrap_or((spec, "lemonweir"));
    let placer = placer
        .parse()
        .map_err(|error: run::ParsePlacerError| vec![error.to_string()])?;
    sweep(
        &load_scaled_scenario(Path::new(file), many.size)?,
        placer,
        many,
    )
}

/// Writes the reports of many runs. A violated invariant in any of them is an error.
fn report_runs(
    sides: &[(&String, &Vec<RunOutcome>)],
    out: Option<&Path>,
) -> Result<ExitCode, Vec<String>> {
    if let Some(dir) = out {
        output::write_reports(sides, dir).map_err(|e| vec![format!("{}: {e}", dir.display())])?;
        println!("reports and plots are in {}", dir.display());
    }
    let violations: Vec<String> = sides
        .iter()
        .flat_map(|(_, outcomes)| outcomes.iter())
        .flat_map(|o| {
            o.report
                .violations
                .iter()
                .map(|b| format!("seed {}: rule broken: {b}", o.report.seed))
        })
        .collect();
    if violations.is_empty() {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(violations)
    }
}

/// Prints the report of a run and writes its files. A violated invariant is an error.
fn report_run(result: &RunOutcome, out: Option<&Path>) -> Result<ExitCode, Vec<String>> {
    print!("{}", output::report_table(&result.report));
    println!("{}", output::run_speed(result));
    if let Some(dir) = out {
        output::write_report(result, dir).map_err(|e| vec![format!("{}: {e}", dir.display())])?;
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
