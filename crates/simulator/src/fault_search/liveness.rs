//! Jobs that should have made progress by the end of a run: those that wait although nothing
//! keeps them from starting, and those whose users still wait for their cancellation.

use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;

use crate::metrics::JobTimeline;
use crate::simulation::Simulation;

/// Time for which a job may wait while a machine has room for it and its team is under its
/// limit, and for which a cancellation may stay unconfirmed, µs.
const MAX_WAIT_US: u64 = 90_000_000;

/// Accepted jobs that did not begin within [`MAX_WAIT_US`] although all of their dependencies
/// are done, each as a violation. Only for runs with more room than work.
pub(super) fn jobs_that_never_begin(simulation: &Simulation) -> Vec<String> {
    let limit_us = simulation.now.saturating_sub(MAX_WAIT_US);
    let metrics = &simulation.metrics;
    let is_stuck = |(id, job): &(&JobId, &JobTimeline)| {
        job.accepted <= limit_us
            && job.ended.is_none()
            && !simulation.workload.begun.contains_key(*id)
            && simulation.planned_withdrawal(id).is_none()
            && dependencies_done_before(simulation, id, limit_us)
    };
    let describe = |(id, job): (&JobId, &JobTimeline)| {
        format!("{id} ({}) is accepted and never begins", job.class)
    };
    metrics.jobs.iter().filter(is_stuck).map(describe).collect()
}

fn dependencies_done_before(simulation: &Simulation, id: &JobId, limit_us: u64) -> bool {
    let done = |dependency: &JobId| {
        simulation.final_phase(dependency) == Some(JobPhase::Done)
            && simulation
                .metrics
                .jobs
                .get(dependency)
                .and_then(|job| job.ended)
                .is_some_and(|at| at <= limit_us)
    };
    simulation
        .workload
        .jobs
        .get(id)
        .is_some_and(|job| job.spec.depends_on.iter().all(done))
}

/// Jobs whose users asked for their cancellation more than [`MAX_WAIT_US`] ago and have no
/// answer yet, each as a violation.
pub(super) fn unconfirmed_cancellations(simulation: &Simulation) -> Vec<String> {
    simulation
        .cancellations_awaited_since(simulation.now.saturating_sub(MAX_WAIT_US))
        .into_iter()
        .map(|id| format!("{id}: its cancellation is never confirmed"))
        .collect()
}
