//! One run of a scenario, from its load to its figures.

use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::baseline;
use crate::history::History;
use crate::load_generator;
use crate::metrics::{RunReport, report};
use crate::scenario::Scenario;
use crate::simulation::Simulation;

/// Where the load comes from.
pub enum LoadSource {
    /// The scenario's classes.
    Synthetic,
    /// A workload file.
    Workload(WorkloadReplay),
}

/// A workload to be replayed.
#[derive(Clone, Debug)]
pub struct WorkloadReplay {
    /// The file.
    pub file: PathBuf,
    /// How many times as close together its submissions come.
    pub speed: f64,
    /// How many times each job comes.
    pub copies: u32,
}

/// Who places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placer {
    /// The scenario's controllers.
    Lemonweir,
    /// A baseline.
    Baseline(baseline::BaselineKind),
}

impl FromStr for Placer {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.split_once(':').unwrap_or((text, "2")) {
            ("lemonweir", _) => Ok(Self::Lemonweir),
            ("central", _) => Ok(Self::Baseline(baseline::BaselineKind::Central)),
            ("sampler", d) => match d.parse() {
                Ok(d @ 1..=64) => Ok(Self::Baseline(baseline::BaselineKind::Sampler(d))),
                _ => Err(format!("{d}: from 1 to 64 machines can be asked")),
            },
            _ => Err(format!("{text}: must be lemonweir, central, or sampler:N")),
        }
    }
}

/// What a run gave.
pub struct RunOutcome {
    /// Its figures; the same for the same scenario, load and seed.
    pub report: RunReport,
    /// Allocation times, µs.
    pub allocation: Histogram<u64>,
    /// Events worked off.
    pub events: u64,
    /// s of wall time; of this machine, and no part of the figures.
    pub wall_s: f64,
}

/// Runs a scenario; the history goes to `out/history.txt` if there is a
/// directory.
pub fn once(
    scenario: Arc<Scenario>,
    source: LoadSource,
    placer: Placer,
    seed: u64,
    out: Option<&Path>,
) -> Result<RunOutcome, String> {
    let sink = match out {
        None => None,
        Some(dir) => {
            let path = dir.join("history.txt");
            let file = std::fs::create_dir_all(dir).and_then(|()| std::fs::File::create(&path));
            let file = file.map_err(|e| format!("{}: {e}", path.display()))?;
            Some(Box::new(std::io::BufWriter::new(file)) as Box<dyn std::io::Write + Send>)
        }
    };
    let load = match source {
        LoadSource::Synthetic => load_generator::synthetic(&scenario, seed),
        LoadSource::Workload(replayed) => {
            let (jobs, unknown) = load_generator::replay(&replayed, &scenario).map_err(|e| e.to_string())?;
            if unknown > 0 {
                tracing::warn!(
                    unknown,
                    "constraints on attributes that the scenario's machines don't have are left out"
                );
            }
            jobs
        }
    };
    if let Placer::Baseline(kind) = placer {
        return Ok(baseline::run(kind, &scenario, &load, seed));
    }
    let began = Instant::now();
    let ms = (scenario.duration_s * 1e3) as u64;
    let mut world = Simulation::new(scenario, load, seed, History::new(sink));
    world.run(ms);
    let (report, allocation) = report(&world, seed);
    Ok(RunOutcome {
        report,
        allocation,
        events: world.events,
        wall_s: began.elapsed().as_secs_f64(),
    })
}
