//! `lemonweir-simulator trace`: arguments of its commands, and the commands that check, import
//! and show traces.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Subcommand, ValueEnum};
use lemonweir_model::Resources;
use lemonweir_trace::workload::{self, Entry};
use lemonweir_trace::{Fault, Format, OnFault};

use crate::plots;
use crate::run::Placer;

/// Exit code if faulty rows were found.
const EXIT_FAULTS_FOUND: u8 = 1;
/// Exit code if a file can't be read or written.
const EXIT_FILE_ERROR: u8 = 2;

/// The `trace` commands.
#[derive(Subcommand)]
pub enum TraceCommand {
    /// Check trace files, and print one line for every fault.
    Check {
        /// Trace files and their format.
        #[command(flatten)]
        files: TraceFiles,
    },
    /// Import trace files into a workload file.
    Import {
        /// Trace files and their format.
        #[command(flatten)]
        files: TraceFiles,
        /// How to handle faulty rows.
        #[arg(long, value_enum, default_value = "stop")]
        on_fault: FaultyRows,
        /// Workload file to write.
        #[arg(short, value_name = "OUT")]
        out: PathBuf,
    },
    /// Show the size of a workload and the ranges of its values.
    Show {
        /// Workload file.
        file: PathBuf,
        /// File for a plot of its load: `.svg` or `.png`.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Run a workload on the site of a scenario.
    Replay {
        /// Workload file.
        file: PathBuf,
        /// Scenario file; its job classes are ignored.
        #[arg(long)]
        scenario: PathBuf,
        /// Seed of the random number generators.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Factor by which the submissions come faster.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// Scheduler that places the tasks: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: Placer,
        /// Scaling of the scenario.
        #[command(flatten)]
        size: ScenarioSize,
        /// Directory for the report, plots and history.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// Scaling of a scenario.
#[derive(Clone, Copy, clap::Args)]
pub struct ScenarioSize {
    /// Factor on machines, quotas and load; for a workload, rounded to whole copies of its jobs.
    #[arg(long, default_value_t = 1.0)]
    pub scale: f64,
    /// Factor on the synthetic load alone.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// Number of controllers, instead of the scenario's.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub controllers: Option<u16>,
}

/// Trace files of one format.
#[derive(clap::Args)]
pub struct TraceFiles {
    /// Format of the files.
    #[arg(long, value_parser = parse_format)]
    format: Format,
    /// Size of the trace's reference machine, for traces that give resources as shares of it:
    /// `cpus=64,memory_gb=256,gpus=8`.
    #[arg(long, value_parser = parse_machine)]
    machine: Option<Resources>,
    /// Trace files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// How an import handles faulty rows.
#[derive(Clone, Copy, ValueEnum)]
pub enum FaultyRows {
    /// Write nothing if any row is faulty.
    Stop,
    /// Leave out faulty rows.
    Drop,
}

/// A name that is not the name of a trace format.
#[derive(Debug, thiserror::Error)]
#[error("must be one of {}", Format::ALL.map(|(name, _)| name).join(", "))]
struct UnknownFormat;

/// Why a text can't be parsed as a machine size.
#[derive(Debug, thiserror::Error)]
enum ParseMachineError {
    #[error("{0}: must be name=number")]
    MissingAssignment(String),
    #[error("{0} is no amount")]
    InvalidAmount(String),
    #[error("{0}: must be cpus, gpus or memory_gb")]
    UnknownResource(String),
    #[error("cpus and memory_gb must be over 0")]
    ZeroCapacity,
}

fn parse_format(text: &str) -> Result<Format, UnknownFormat> {
    Format::ALL
        .iter()
        .find(|(name, _)| *name == text)
        .map(|(_, format)| *format)
        .ok_or(UnknownFormat)
}

fn parse_machine(text: &str) -> Result<Resources, ParseMachineError> {
    let (mut cpus, mut gpus, mut memory) = (0.0, 0.0, 0.0);
    for assignment in text.split(',') {
        let (name, value) = assignment
            .split_once('=')
            .ok_or_else(|| ParseMachineError::MissingAssignment(assignment.to_owned()))?;
        let amount: f64 = value
            .parse()
            .ok()
            .filter(|amount: &f64| amount.is_finite() && *amount >= 0.0)
            .ok_or_else(|| ParseMachineError::InvalidAmount(value.to_owned()))?;
        match name {
            "cpus" => cpus = amount,
            "gpus" => gpus = amount,
            "memory_gb" => memory = amount,
            _ => return Err(ParseMachineError::UnknownResource(name.to_owned())),
        }
    }
    if cpus <= 0.0 || memory <= 0.0 {
        return Err(ParseMachineError::ZeroCapacity);
    }
    Ok(Resources::capacity(cpus, gpus, memory))
}

/// Checks trace files. The exit code is 1 on any fault, and 2 if a file can't be read.
pub fn check(files: &TraceFiles) -> ExitCode {
    report_outcome(
        lemonweir_trace::check(files.format, &files.files, files.machine, &mut print_fault),
        "no fault",
    )
}

/// Imports trace files into a workload. With `FaultyRows::Stop`, a fault leaves nothing written.
pub fn import(files: &TraceFiles, on_fault: FaultyRows, out: &Path) -> ExitCode {
    let on_fault = match on_fault {
        FaultyRows::Stop => OnFault::Stop,
        FaultyRows::Drop => OnFault::Drop,
    };
    let result = lemonweir_trace::import(
        files.format,
        &files.files,
        files.machine,
        on_fault,
        out,
        &mut print_fault,
    );
    match (&result, on_fault) {
        (Ok(r), OnFault::Drop) if r.faults > 0 => {
            println!(
                "{} jobs written to {}; {} faults, their rows left out",
                r.jobs,
                out.display(),
                r.faults
            );
            ExitCode::SUCCESS
        }
        _ => report_outcome(result, &format!("written to {}", out.display())),
    }
}

fn print_fault(fault: &Fault) {
    println!("{fault}");
}

/// Prints the outcome of a check or import, and returns its exit code.
fn report_outcome<E: std::fmt::Display>(
    result: Result<lemonweir_trace::Imported, E>,
    well: &str,
) -> ExitCode {
    match result {
        Ok(r) if r.faults == 0 => {
            println!("{} jobs, {well}", r.jobs);
            ExitCode::SUCCESS
        }
        Ok(r) => {
            println!("{} faults", r.faults);
            ExitCode::from(EXIT_FAULTS_FOUND)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(EXIT_FILE_ERROR)
        }
    }
}

/// Prints counts and ranges of a workload, and plots its load over time.
pub fn show(file: &Path, plot: Option<&Path>) -> ExitCode {
    let mut summary = WorkloadSummary::default();
    let header = match workload::read(file, |e| summary.record(&e)) {
        Ok(header) => header,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_FILE_ERROR);
        }
    };
    println!(
        "{}: from {}, {} jobs, {} tasks",
        file.display(),
        header.source,
        summary.jobs,
        summary.tasks
    );
    println!(
        "  arrays {}, gangs {}, services {}",
        summary.shapes[0], summary.shapes[1], summary.shapes[2]
    );
    let line = |name: &str, (low, high): (u64, u64), unit: &str| {
        println!(
            "  {name:<14} {:.3} to {:.3} {unit}",
            low as f64 / 1e3,
            high as f64 / 1e3
        );
    };
    for (name, range, unit) in [
        ("submitted at", summary.submitted_ms, "s"),
        ("run time", summary.run_ms, "s"),
        ("processors", summary.milli_cpus, "a task"),
        ("accelerators", summary.milli_gpus, "a task"),
        ("memory", summary.memory_mb, "GB a task"),
    ] {
        line(name, range.unwrap_or_default(), unit);
    }
    if let Some(path) = plot
        && let Err(e) = plots::load(&summary.load(), path)
    {
        eprintln!("{}: {e}", path.display());
        return ExitCode::from(EXIT_FILE_ERROR);
    }
    ExitCode::SUCCESS
}

/// Smallest and largest value; `None` before the first one.
type Range = Option<(u64, u64)>;

fn extend_range(range: &mut Range, x: u64) {
    *range = Some(range.map_or((x, x), |(low, high)| (low.min(x), high.max(x))));
}

#[derive(Default)]
struct WorkloadSummary {
    jobs: u64,
    tasks: u64,
    shapes: [u64; 3],
    submitted_ms: Range,
    run_ms: Range,
    milli_cpus: Range,
    milli_gpus: Range,
    memory_mb: Range,
    /// Change of the load at a time in s, in thousandths of a processor.
    load_changes: std::collections::BTreeMap<u64, i64>,
}

impl WorkloadSummary {
    fn record(&mut self, e: &Entry) {
        self.jobs += 1;
        self.tasks += u64::from(e.tasks);
        self.shapes[e.shape as usize] += 1;
        extend_range(&mut self.submitted_ms, e.at_ms);
        extend_range(&mut self.milli_cpus, e.need.milli_cpus);
        extend_range(&mut self.milli_gpus, e.need.milli_gpus);
        extend_range(&mut self.memory_mb, e.need.memory_mb);
        for &run in &e.run_ms {
            extend_range(&mut self.run_ms, run);
        }
        let run_times = e.run_ms.len().max(1) as u64;
        let cpus =
            (e.need.milli_cpus.max(e.need.milli_gpus) * u64::from(e.tasks) / run_times) as i64;
        for n in 0..run_times as usize {
            *self.load_changes.entry(e.at_ms / 1_000).or_default() += cpus;
            if let Some(run) = e.run_ms.get(n) {
                *self
                    .load_changes
                    .entry((e.at_ms + run) / 1_000 + 1)
                    .or_default() -= cpus;
            }
        }
    }

    /// Load over time if no task waited, as points of s and processors; accelerators count in
    /// place of processors for jobs that request more of them.
    fn load(&self) -> Vec<(f64, f64)> {
        let mut sum = 0;
        let step = |(at, by): (&u64, &i64)| {
            sum += by;
            (*at as f64, sum as f64 / 1e3)
        };
        self.load_changes.iter().map(step).collect()
    }
}
