//! Jobs of the simulated load: the user's request, and what only the simulator knows in
//! advance (run times, a mistake in the job, the time of a withdrawal).

use std::sync::Arc;

use lemonweir_model::{JobKind, JobSpec};

/// A job with the actual run times of its tasks.
pub struct SimulatedJob {
    /// The job as its user submits it.
    pub spec: Arc<JobSpec>,
    /// Run times of its tasks, µs; task `n` uses entry `n` modulo the length.
    pub run_us: Vec<u64>,
    /// True if the job contains a mistake and fails on every machine.
    pub broken: bool,
}

impl SimulatedJob {
    /// Run time of a task, µs; 0 if the job has no run times.
    pub fn run_us(&self, task: u32) -> u64 {
        self.run_us
            .get(task as usize % self.run_us.len().max(1))
            .copied()
            .unwrap_or(0)
    }
}

/// A job with the time of its submission and, if any, of its withdrawal.
pub struct PlannedSubmission {
    /// Time of the submission, µs.
    pub at_us: u64,
    /// Job that is submitted.
    pub job: SimulatedJob,
    /// Time at which its user withdraws it, µs; `None`: never.
    pub withdraw_us: Option<u64>,
}

/// True if a job is a gang of several tasks, which start and end together. A gang of one task
/// runs like an array.
pub(crate) fn is_multi_task_gang(spec: &JobSpec) -> bool {
    spec.kind == JobKind::Gang && spec.tasks > 1
}
