//! Jobs as the simulation knows them: the user's request, and what only the simulator
//! knows in advance (run times, a built-in mistake, the time of a withdrawal).

use std::sync::Arc;

use lemonweir_model::{JobKind, JobSpec};

/// A job with the run times of its tasks.
pub struct SimulatedJob {
    /// What its user asks for.
    pub spec: Arc<JobSpec>,
    /// Run time of its tasks, µs; task `n` takes entry `n` modulo the length.
    pub run_us: Vec<u64>,
    /// It was submitted with a mistake: it fails on every machine.
    pub broken: bool,
}

impl SimulatedJob {
    /// Run time of one task, µs; 0 if no run time is given.
    pub fn run_us(&self, task: u32) -> u64 {
        self.run_us
            .get(task as usize % self.run_us.len().max(1))
            .copied()
            .unwrap_or(0)
    }
}

/// A job with the time of its submission.
pub struct PlannedSubmission {
    /// When it is submitted, µs.
    pub at_us: u64,
    /// The job.
    pub job: SimulatedJob,
    /// When its user withdraws it, µs; none: never.
    pub withdraw_us: Option<u64>,
}

/// True if a job is a gang of several tasks, which start and end together.
pub(crate) fn is_real_gang(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Gang && spec.tasks > 1
}
