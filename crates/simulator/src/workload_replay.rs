//! Replays a recorded workload: the jobs of a trace, submitted for the teams of a scenario.

use std::path::PathBuf;
use std::sync::Arc;

use lemonweir_model::{JobKind, JobSpec};
use lemonweir_trace::workload::{self, Entry, WorkloadError};

use crate::job::{PlannedSubmission, SimulatedJob};
use crate::load_generator::job_id;
use crate::scenario::Scenario;

/// Period over which the submissions of the copies of a job are spread, µs.
const COPY_SPREAD_US: u64 = 1_000_000;

/// A workload file and how to replay it.
#[derive(Clone, Debug)]
pub struct WorkloadReplay {
    /// Path of the workload file.
    pub file: PathBuf,
    /// Factor by which the intervals between submissions are shortened.
    pub speed: f64,
    /// Number of times that each job is submitted; 0 counts as 1.
    pub copies: u32,
}

/// The load that results from a replay.
pub struct ReplayedLoad {
    /// Jobs in the order of the workload.
    pub jobs: Vec<PlannedSubmission>,
    /// Number of constraints that were ignored.
    pub ignored_constraints: u64,
}

/// Reads the jobs of a workload file. A team that the scenario does not have is replaced by one
/// of its teams, always the same one; constraints concern attributes that its machines don't
/// have, and are ignored and counted.
///
/// # Errors
/// Fails if the file can't be read or is not a valid workload.
pub fn replay(replay: &WorkloadReplay, scenario: &Scenario) -> Result<ReplayedLoad, WorkloadError> {
    let (mut jobs, mut ignored_constraints, mut first_ms) = (Vec::new(), 0, None);
    let copies = u64::from(replay.copies.max(1));
    workload::read(&replay.file, |entry| {
        // Times in a trace have an arbitrary origin: the first job is submitted at time 0.
        let origin_ms = *first_ms.get_or_insert(entry.at_ms);
        ignored_constraints += entry.constraints.len() as u64;
        for copy in 0..copies {
            let mut job =
                planned_submission(jobs.len(), entry.clone(), origin_ms, scenario, replay.speed);
            let delay_us = copy * COPY_SPREAD_US / copies;
            job.at_us += delay_us;
            job.withdraw_us = job.withdraw_us.map(|at| at + delay_us);
            jobs.push(job);
        }
    })?;
    Ok(ReplayedLoad {
        jobs,
        ignored_constraints,
    })
}

fn planned_submission(
    n: usize,
    entry: Entry,
    origin_ms: u64,
    scenario: &Scenario,
    speed: f64,
) -> PlannedSubmission {
    let at_us = ((entry.at_ms - origin_ms) as f64 * 1e3 / speed) as u64;
    let run_us: Vec<u64> = entry.run_ms.iter().map(|ms| ms * 1_000).collect();
    let mean_us = run_us.iter().sum::<u64>() / run_us.len().max(1) as u64;
    let service = entry.shape == JobKind::Service;
    let from_milli = |milli: u64| milli as f64 / 1e3;
    let spec = JobSpec {
        id: job_id(n),
        team: team_for(entry.team.as_deref().unwrap_or_default(), scenario),
        class: entry.class.unwrap_or_else(|| "trace".into()),
        kind: entry.shape,
        priority: entry.rank,
        tasks: u64::from(entry.tasks),
        cpus: from_milli(entry.need.milli_cpus),
        gpus: from_milli(entry.need.milli_gpus),
        memory_gb: from_milli(entry.need.memory_mb),
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: false,
        allow_spot: true,
        // Traces contain no images: an image of size 0 needs no download.
        image: "none".into(),
        image_gb: 0.0,
        estimated_runtime_s: if service { 0.0 } else { mean_us as f64 / 1e6 },
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    };
    PlannedSubmission {
        at_us,
        job: SimulatedJob {
            spec: Arc::new(spec),
            run_us,
            broken: false,
        },
        withdraw_us: (service && mean_us > 0).then(|| at_us + mean_us),
    }
}

/// The scenario's team with this name, or one chosen by a hash of the name.
fn team_for(name: &str, scenario: &Scenario) -> String {
    let hash = blake3::hash(name.as_bytes());
    let fallback = usize::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]))
        % scenario.teams.len().max(1);
    scenario
        .teams
        .iter()
        .find(|team| team.name == name)
        .or(scenario.teams.get(fallback))
        .map(|team| team.name.clone())
        .unwrap_or_default()
}
