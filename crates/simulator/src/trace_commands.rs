//! `lemonweir-simulator trace`: published traces checked, imported, shown, replayed.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Subcommand, ValueEnum};
use lemonweir_model::Resources;
use lemonweir_trace::workload::{self, Entry};
use lemonweir_trace::{Fault, Format, OnFault};

use crate::plots;
use crate::run::Placer;

/// Exit code of a check that found a fault.
const FAULTY: u8 = 1;
/// Exit code where a file can't be read or written.
const UNREADABLE: u8 = 2;

/// The commands but `replay`, which is a run.
#[derive(Subcommand)]
pub enum TraceCommand {
    /// Check files of a published format; every fault is a line.
    Check {
        /// Format and files.
        #[command(flatten)]
        files: Files,
    },
    /// Import files into a workload.
    Import {
        /// Format and files.
        #[command(flatten)]
        files: Files,
        /// What becomes of the rows when some are faulty.
        #[arg(long, value_enum, default_value = "stop")]
        on_fault: FaultyRows,
        /// The workload to write.
        #[arg(short, value_name = "OUT")]
        out: PathBuf,
    },
    /// Show what a workload holds.
    Show {
        /// The workload.
        file: PathBuf,
        /// Where to write a plot of its load: `.svg` or `.png`.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Run a workload through controllers in a scenario.
    Replay {
        /// The workload.
        file: PathBuf,
        /// The scenario; its own classes are left out.
        #[arg(long)]
        scenario: PathBuf,
        /// Seed of all draws.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many times as close together the submissions come.
        #[arg(long, default_value_t = 1.0)]
        speed: f64,
        /// Who places: lemonweir, central, or sampler:N.
        #[arg(long, default_value = "lemonweir")]
        placer: Placer,
        /// How large.
        #[command(flatten)]
        size: ScenarioSize,
        /// Directory for report, plots and history.
        #[arg(long)]
        out: Option<PathBuf>,
    },
}

/// A scenario made larger.
#[derive(Clone, Copy, clap::Args)]
pub struct ScenarioSize {
    /// Times the machines and the load; of a workload, whole copies.
    #[arg(long, default_value_t = 1.0)]
    pub scale: f64,
    /// Times the synthetic load alone.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
    /// Controllers in place of the scenario's.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub controllers: Option<u16>,
}

/// Files of a format.
#[derive(clap::Args)]
pub struct Files {
    /// Their format.
    #[arg(long, value_parser = parse_format)]
    format: Format,
    /// Size of the trace's machine, for units that are shares of it:
    /// `cpus=64,memory_gb=256,gpus=8`.
    #[arg(long, value_parser = parse_machine)]
    machine: Option<Resources>,
    /// The files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

/// What becomes of the rows.
#[derive(Clone, Copy, ValueEnum)]
pub enum FaultyRows {
    /// Nothing is written.
    Stop,
    /// Faulty rows are left out.
    Drop,
}

/// A text that names no trace format.
#[derive(Debug, thiserror::Error)]
#[error("must be one of {}", Format::ALL.map(|(name, _)| name).join(", "))]
struct UnknownFormat;

/// A text that gives no machine's size.
#[derive(Debug, thiserror::Error)]
enum ParseMachineError {
    #[error("{0}: must be name=number")]
    NoAssignment(String),
    #[error("{0} is no amount")]
    NoAmount(String),
    #[error("{0}: must be cpus, gpus or memory_gb")]
    UnknownResource(String),
    #[error("cpus and memory_gb must be over 0")]
    Empty,
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
            .ok_or_else(|| ParseMachineError::NoAssignment(assignment.to_owned()))?;
        let amount: f64 = value
            .parse()
            .ok()
            .filter(|amount: &f64| amount.is_finite() && *amount >= 0.0)
            .ok_or_else(|| ParseMachineError::NoAmount(value.to_owned()))?;
        match name {
            "cpus" => cpus = amount,
            "gpus" => gpus = amount,
            "memory_gb" => memory = amount,
            _ => return Err(ParseMachineError::UnknownResource(name.to_owned())),
        }
    }
    if cpus <= 0.0 || memory <= 0.0 {
        return Err(ParseMachineError::Empty);
    }
    Ok(Resources::capacity(cpus, gpus, memory))
}

/// Checks; exit code 1 on any fault, 2 on a file that can't be read.
pub fn check(files: &Files) -> ExitCode {
    report(
        lemonweir_trace::check(files.format, &files.files, files.machine, &mut print_fault),
        "no fault",
    )
}

/// Imports; with `stop` and a fault nothing is written.
pub fn import(files: &Files, on_fault: FaultyRows, out: &Path) -> ExitCode {
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
        _ => report(result, &format!("written to {}", out.display())),
    }
}

fn print_fault(fault: &Fault) {
    println!("{fault}");
}

fn report<E: std::fmt::Display>(
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
            ExitCode::from(FAULTY)
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(UNREADABLE)
        }
    }
}

/// Shows counts, ranges and the load over time.
pub fn show(file: &Path, plot: Option<&Path>) -> ExitCode {
    let mut summary = WorkloadSummary::default();
    let header = match workload::read(file, |e| summary.record(&e)) {
        Ok(header) => header,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(UNREADABLE);
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
        ("submitted at", summary.at, "s"),
        ("run time", summary.run, "s"),
        ("processors", summary.cpus, "a task"),
        ("accelerators", summary.gpus, "a task"),
        ("memory", summary.memory, "GB a task"),
    ] {
        line(name, range.unwrap_or_default(), unit);
    }
    if let Some(path) = plot
        && let Err(e) = plots::load(&summary.load(), path)
    {
        eprintln!("{}: {e}", path.display());
        return ExitCode::from(UNREADABLE);
    }
    ExitCode::SUCCESS
}

type Range = Option<(u64, u64)>;

fn widen(range: &mut Range, x: u64) {
    *range = Some(range.map_or((x, x), |(low, high)| (low.min(x), high.max(x))));
}

#[derive(Default)]
struct WorkloadSummary {
    jobs: u64,
    tasks: u64,
    shapes: [u64; 3],
    at: Range,
    run: Range,
    cpus: Range,
    gpus: Range,
    memory: Range,
    /// Time, and thousandths of a processor that are wanted more from then on.
    steps: std::collections::BTreeMap<u64, i64>,
}

impl WorkloadSummary {
    fn record(&mut self, e: &Entry) {
        self.jobs += 1;
        self.tasks += u64::from(e.tasks);
        self.shapes[e.shape as usize] += 1;
        widen(&mut self.at, e.at_ms);
        widen(&mut self.cpus, e.need.milli_cpus);
        widen(&mut self.gpus, e.need.milli_gpus);
        widen(&mut self.memory, e.need.memory_mb);
        for &run in &e.run_ms {
            widen(&mut self.run, run);
        }
        let each = e.run_ms.len().max(1) as u64;
        let cpus = (e.need.milli_cpus.max(e.need.milli_gpus) * u64::from(e.tasks) / each) as i64;
        for n in 0..each as usize {
            *self.steps.entry(e.at_ms / 1_000).or_default() += cpus;
            if let Some(run) = e.run_ms.get(n) {
                *self.steps.entry((e.at_ms + run) / 1_000 + 1).or_default() -= cpus;
            }
        }
    }

    /// What the tasks would take if none of them waited: s, processors.
    fn load(&self) -> Vec<(f64, f64)> {
        let mut sum = 0;
        let step = |(at, by): (&u64, &i64)| {
            sum += by;
            (*at as f64, sum as f64 / 1e3)
        };
        self.steps.iter().map(step).collect()
    }
}
