//! Generates synthetic load: jobs of a scenario's classes, drawn from distributions.

use std::sync::Arc;

use lemonweir_model::constants::MAX_TASKS;
use lemonweir_model::{JobId, JobKind, JobSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::micros;
use crate::job::{PlannedSubmission, SimulatedJob};
use crate::scenario::{JobClass, Scenario, ValueDistribution};

/// Size of a submission that names no machine types, as JSON, bytes.
const PLAIN_SUBMISSION_BYTES: f64 = 350.0;
/// Length of the name of a machine type that no machine has: a hundred of them, as many as a
/// submission may name, take 8 KB.
const UNUSED_TYPE_NAME_BYTES: usize = 78;

/// Time from the submission of a job with a mistake to its withdrawal, s.
const BROKEN_JOB_WITHDRAWAL_S: std::ops::Range<f64> = 20.0..200.0;
/// Time from the submission of a cancelled job to its withdrawal, as a share of its mean run
/// time.
const CANCELLATION_TIME_SHARE: std::ops::Range<f64> = 0.1..1.1;

/// A job of a class, before the jobs of all classes are numbered together.
struct DrawnJob {
    class: usize,
    planned: PlannedSubmission,
}

/// Draws the jobs of a scenario's classes and returns them in order of submission. Each class
/// has its own random stream, so that a change to one class does not affect the others.
pub fn synthetic(scenario: &Scenario, seed: u64) -> Vec<PlannedSubmission> {
    // Jobs grouped by class, and the submission times of each class.
    let mut jobs: Vec<DrawnJob> = Vec::new();
    let mut times_of_class: Vec<Vec<u64>> = Vec::new();
    for (number, class) in scenario.classes.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(number as u64 + 1);
        let mut times = draw_submission_times(class, scenario.duration_s, &mut rng);
        if !class.dependencies.is_empty() {
            let dependencies: Vec<&Vec<u64>> = dependency_classes(scenario, class)
                .map(|dependency| &times_of_class[dependency])
                .collect();
            times = draw_dependent_times(class, &dependencies, &mut rng);
        }
        for (n, &at_us) in times.iter().enumerate() {
            jobs.push(DrawnJob {
                class: number,
                planned: draw_job(scenario, class, n, at_us, &mut rng),
            });
        }
        times_of_class.push(times);
    }
    number_by_submission(scenario, jobs, &times_of_class)
}

/// Draws the submission times of the jobs of a class, µs: those at the start, then arrivals at
/// exponentially distributed intervals.
fn draw_submission_times(class: &JobClass, duration_s: f64, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let mut times = vec![0; class.at_start as usize];
    let mean_gap_s = if class.per_min > 0.0 {
        60.0 / class.per_min
    } else {
        f64::MAX
    };
    let gap_s = ValueDistribution::Exponential { mean: mean_gap_s };
    let mut at_s = 0.0;
    loop {
        at_s += gap_s.draw(rng);
        if at_s >= duration_s {
            return times;
        }
        times.push(micros(at_s));
    }
}

/// Draws the submission times of the jobs of a class with dependencies, µs: each job is
/// submitted after those that it depends on.
fn draw_dependent_times(
    class: &JobClass,
    dependencies: &[&Vec<u64>],
    rng: &mut ChaCha8Rng,
) -> Vec<u64> {
    let jobs = dependencies
        .iter()
        .map(|times| times.len())
        .min()
        .unwrap_or(0);
    let last_dependency = |n: usize| dependencies.iter().map(|times| times[n]).max().unwrap_or(0);
    (0..jobs)
        .map(|n| last_dependency(n) + micros(class.dependency_delay_s.draw(rng)))
        .collect()
}

/// Sorts the jobs by submission, assigns their ids and fills in their dependencies. The n-th job
/// of a class depends on the n-th job of each class in its dependencies.
fn number_by_submission(
    scenario: &Scenario,
    jobs: Vec<DrawnJob>,
    times_of_class: &[Vec<u64>],
) -> Vec<PlannedSubmission> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&i| (jobs[i].planned.at_us, jobs[i].class));
    let mut ids = vec![job_id(0); jobs.len()];
    for (n, &i) in order.iter().enumerate() {
        ids[i] = job_id(n);
    }
    // Index of the first job of each class in `jobs`.
    let class_offsets: Vec<usize> = times_of_class
        .iter()
        .scan(0, |sum, times| {
            Some(std::mem::replace(sum, *sum + times.len()))
        })
        .collect();
    let mut jobs: Vec<Option<DrawnJob>> = jobs.into_iter().map(Some).collect();
    let mut planned = Vec::with_capacity(jobs.len());
    for i in order {
        let Some(mut job) = jobs[i].take() else {
            continue;
        };
        let number_in_class = i - class_offsets[job.class];
        let dependencies = dependency_classes(scenario, &scenario.classes[job.class])
            .map(|dependency| ids[class_offsets[dependency] + number_in_class].clone())
            .collect();
        job.planned.job.spec = Arc::new(JobSpec {
            id: ids[i].clone(),
            depends_on: dependencies,
            ..(*job.planned.job.spec).clone()
        });
        planned.push(job.planned);
    }
    planned
}

/// Indices of the classes that the jobs of a class depend on.
fn dependency_classes<'a>(
    scenario: &'a Scenario,
    class: &'a JobClass,
) -> impl Iterator<Item = usize> + 'a {
    class.dependencies.iter().filter_map(|name| {
        scenario
            .classes
            .iter()
            .position(|class| class.name == *name)
    })
}

/// Id of job number `n`.
pub fn job_id(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

/// Draws the n-th job of a class, without its final id and dependencies.
fn draw_job(
    scenario: &Scenario,
    class: &JobClass,
    n: usize,
    at_us: u64,
    rng: &mut ChaCha8Rng,
) -> PlannedSubmission {
    let tasks = (class.tasks.draw(rng).round() as u64).clamp(1, MAX_TASKS);
    let service = class.shape == JobKind::Service;
    let gang = class.shape == JobKind::Gang;
    let run_times = if service || gang { 1 } else { tasks };
    let run_s: Vec<f64> = (0..run_times).map(|_| class.run_s.draw(rng)).collect();
    let mean_run_s = run_s.iter().sum::<f64>() / run_s.len() as f64;
    let estimate_s = draw_estimate(class, mean_run_s, rng);
    let image = rng.random_range(0..class.images);
    let spec = JobSpec {
        id: job_id(0),
        class: class.name.clone(),
        team: class.teams[n % class.teams.len()].clone(),
        kind: class.shape,
        priority: class.priority,
        tasks,
        cpus: class.task_resources.cpus,
        gpus: class.task_resources.gpus,
        memory_gb: class.task_resources.memory_gb,
        machine_types: draw_machine_types(scenario, class, rng),
        zone: class.zone.clone(),
        same_zone: class.one_zone,
        spread: class.spread,
        allow_spot: class.spot,
        image: format!("{}-{image}", class.name),
        image_gb: class.image_gb,
        estimated_runtime_s: if service { 0.0 } else { estimate_s },
        checkpoint_interval_s: class.checkpoint_s,
        checkpoint_duration_s: class.save_s,
        deadline_s: None,
        depends_on: Vec::new(),
    };
    // Draws only if the class has broken jobs: the random sequence of other classes must not
    // depend on this feature.
    let broken = class.failing_share > 0.0 && rng.random::<f64>() < class.failing_share;
    let withdraw_us = draw_withdrawal(class, at_us, mean_run_s, broken, rng);
    PlannedSubmission {
        at_us,
        job: SimulatedJob {
            spec: Arc::new(spec),
            run_us: run_s.into_iter().map(micros).collect(),
            broken,
        },
        withdraw_us,
    }
}

/// Draws the machine types that a job names: all types of the scenario, and as many others as
/// its submission has room for.
fn draw_machine_types(
    scenario: &Scenario,
    class: &JobClass,
    rng: &mut ChaCha8Rng,
) -> Option<Vec<String>> {
    let bytes = class.submission_bytes.as_ref()?.draw(rng);
    let json_overhead = "\"\",".len();
    let unused_types =
        (bytes - PLAIN_SUBMISSION_BYTES) / (UNUSED_TYPE_NAME_BYTES + json_overhead) as f64;
    let unused =
        (0..unused_types.max(0.0) as usize).map(|n| format!("{n:0>UNUSED_TYPE_NAME_BYTES$}"));
    let known = scenario
        .machine_kinds
        .iter()
        .map(|kind| kind.machine.name.clone());
    Some(known.chain(unused).collect())
}

/// Draws the user's estimate of the run time, s: too long or too short with equal probability.
fn draw_estimate(class: &JobClass, mean_run_s: f64, rng: &mut ChaCha8Rng) -> f64 {
    let error = 1.0 + class.estimate_error * rng.random::<f64>();
    if rng.random::<bool>() {
        mean_run_s * error
    } else {
        mean_run_s / error
    }
}

/// Draws the time at which a job's user withdraws it, µs: a broken job within
/// [`BROKEN_JOB_WITHDRAWAL_S`], a cancelled job while it waits or runs, a service at the end of
/// its run time.
fn draw_withdrawal(
    class: &JobClass,
    at_us: u64,
    mean_run_s: f64,
    broken: bool,
    rng: &mut ChaCha8Rng,
) -> Option<u64> {
    let withdraw_us = broken.then(|| at_us + micros(rng.random_range(BROKEN_JOB_WITHDRAWAL_S)));
    let cancelled = class.cancelled_share > 0.0 && rng.random::<f64>() < class.cancelled_share;
    let withdraw_us = withdraw_us.or_else(|| {
        cancelled
            .then(|| at_us + (mean_run_s * 1e6 * rng.random_range(CANCELLATION_TIME_SHARE)) as u64)
    });
    let service = class.shape == JobKind::Service;
    withdraw_us.or(service.then(|| at_us + micros(mean_run_s)))
}
