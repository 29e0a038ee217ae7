//! Runs a scenario once, from its load to its report.

use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;

use lemonweir_trace::workload::WorkloadError;

use crate::baseline;
use crate::history::History;
use crate::job::PlannedSubmission;
use crate::load_generator;
use crate::report::RunOutcome;
use crate::run_report::run_report;
use crate::scenario::Scenario;
use crate::simulation::Simulation;
use crate::workload_replay::{self, WorkloadReplay};

/// Source of the load of a run.
pub enum LoadSource {
    /// Jobs drawn from the scenario's classes.
    Synthetic,
    /// Jobs of a recorded workload.
    Workload(WorkloadReplay),
}

/// What places the tasks of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placer {
    /// The scenario's controllers.
    Lemonweir,
    /// A baseline placer in place of the controllers.
    Baseline(baseline::BaselineKind),
}

/// Error from parsing a [`Placer`]; each variant carries the rejected text.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParsePlacerError {
    /// The number of machines to sample is not an integer from 1 to 64.
    #[error("{0}: from 1 to 64 machines can be asked")]
    Samples(String),
    /// No placer has this name.
    #[error("{0}: must be lemonweir, central, or sampler:N")]
    Unknown(String),
}

impl FromStr for Placer {
    type Err = ParsePlacerError;

    fn from_str(text: &str) -> Result<Self, ParsePlacerError> {
        match text.split_once(':').unwrap_or((text, "2")) {
            ("lemonweir", _) => Ok(Self::Lemonweir),
            ("central", _) => Ok(Self::Baseline(baseline::BaselineKind::Central)),
            ("sampler", d) => match d.parse() {
                Ok(d @ 1..=64) => Ok(Self::Baseline(baseline::BaselineKind::Sampler(d))),
                _ => Err(ParsePlacerError::Samples(d.to_owned())),
            },
            _ => Err(ParsePlacerError::Unknown(text.to_owned())),
        }
    }
}

/// Error that prevents a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The history file could not be created.
    #[error("{path}: {error}")]
    History {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// The workload could not be read.
    #[error(transparent)]
    Workload(#[from] WorkloadError),
}

/// Runs a scenario. If `out` is given, the history of the simulation is written to
/// `history.txt` in that directory, which is created if needed. The file stays empty for a
/// baseline.
///
/// # Errors
/// Fails if the history file can't be created or the workload can't be read.
pub fn run_once(
    scenario: Arc<Scenario>,
    source: LoadSource,
    placer: Placer,
    seed: u64,
    out: Option<&Path>,
) -> Result<RunOutcome, RunError> {
    let history = create_history(out)?;
    let load = generate_load(&scenario, source, seed)?;
    if let Placer::Baseline(kind) = placer {
        return Ok(baseline::run(kind, &scenario, &load, seed));
    }
    let started = Instant::now();
    let duration_ms = (scenario.duration_s * 1e3) as u64;
    let mut simulation = Simulation::new(scenario, load, seed, history);
    simulation.run(duration_ms);
    let (report, allocation) = run_report(&simulation, seed);
    Ok(RunOutcome {
        report,
        allocation,
        events: simulation.events,
        wall_s: started.elapsed().as_secs_f64(),
    })
}

fn create_history(out: Option<&Path>) -> Result<History, RunError> {
    let Some(dir) = out else {
        return Ok(History::new(None));
    };
    let path = dir.join("history.txt");
    let file = std::fs::create_dir_all(dir)
        .and_then(|()| std::fs::File::create(&path))
        .map_err(|error| RunError::History {
            path: path.display().to_string(),
            error,
        })?;
    Ok(History::new(Some(Box::new(std::io::BufWriter::new(file)))))
}

fn generate_load(
    scenario: &Scenario,
    source: LoadSource,
    seed: u64,
) -> Result<Vec<PlannedSubmission>, WorkloadError> {
    let replay = match source {
        LoadSource::Synthetic => return Ok(load_generator::synthetic(scenario, seed)),
        LoadSource::Workload(replay) => replay,
    };
    let load = workload_replay::replay(&replay, scenario)?;
    if load.ignored_constraints > 0 {
        tracing::warn!(
            ignored_constraints = load.ignored_constraints,
            "workload constraints ignored: the scenario's machines lack their attributes"
        );
    }
    Ok(load.jobs)
}
