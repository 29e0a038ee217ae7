//! Builds the report of a simulation at its current time, and checks the service terms: how
//! many jobs must be accepted, how many tasks started, and how soon large jobs must begin.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use lemonweir_model::{JobId, JobKind};

use crate::histograms::{NamedHistograms, RecordMicros, histogram};
use crate::job::SimulatedJob;
use crate::metrics::JobTimeline;
use crate::report::{ControllerWork, JobCounts, LatencySummary, RunReport};
use crate::simulation::Simulation;

/// Time after its first submission during which a job is left out of the counts of started
/// tasks, µs.
const START_GRACE_US: u64 = 60_000_000;
/// Time within which the largest jobs must begin, µs.
const LARGE_JOB_START_LIMIT_US: u64 = 240_000_000;
/// One in this many jobs of a class counts as one of its largest.
const LARGEST_JOBS_DIVISOR: usize = 10;

/// Latencies of the first attempt of each task.
struct AttemptLatencies {
    /// Time from submission to the arrival of the launch command at the machine.
    allocation: Histogram<u64>,
    /// Stages of the allocation.
    stages: NamedHistograms,
    /// Time from submission to the start, by class.
    time_to_start: NamedHistograms,
}

/// Builds the report of a simulation at its current time, and the histogram of allocation
/// times.
pub fn run_report(simulation: &Simulation, seed: u64) -> (RunReport, Histogram<u64>) {
    let metrics = &simulation.metrics;
    let workload = &simulation.workload;
    let latencies = attempt_latencies(simulation);
    let (history_lines, history_digest) = workload.history.digest();
    let report = RunReport {
        scenario: simulation.scenario.name.clone(),
        placer: "lemonweir".into(),
        seed,
        simulated_s: simulation.now as f64 / 1e6,
        controllers: simulation.scenario.controllers,
        jobs: job_counts(simulation),
        task_starts: workload.checker.starts,
        allocation: LatencySummary::from_histogram(&latencies.allocation),
        allocation_stages: latencies.stages.summaries(),
        time_to_start: latencies.time_to_start.summaries(),
        time_to_finish: time_to_finish(simulation).summaries(),
        started_by_group: tasks_started_by_group(simulation),
        withdrawal_latency: metrics
            .withdrawals
            .as_ref()
            .map(LatencySummary::from_histogram)
            .unwrap_or_default(),
        killed_by_lease: workload.killed_by_lease,
        cost: simulation.cloud.spent(simulation.now),
        useful_share: useful_share(simulation),
        work: controller_work(simulation),
        fleet: metrics.fleet.clone(),
        violations: workload.checker.violations.clone(),
        history_lines,
        history_digest,
    };
    (report, latencies.allocation)
}

fn job_counts(simulation: &Simulation) -> JobCounts {
    let metrics = &simulation.metrics;
    JobCounts {
        submitted: metrics.submitted,
        accepted: metrics.jobs.len() as u64,
        refused: metrics.refused,
        ended: metrics
            .jobs
            .values()
            .filter(|job| job.ended.is_some())
            .count() as u64,
    }
}

fn time_to_finish(simulation: &Simulation) -> NamedHistograms {
    let mut finished = NamedHistograms::default();
    for job in simulation.metrics.jobs.values().filter(|job| !job.service) {
        if let Some(ended) = job.ended {
            finished.record(&job.class, ended.saturating_sub(job.first_submitted));
        }
    }
    finished
}

/// Share of the paid processor time that was spent on useful work. Running service replicas
/// count up to now; other tasks only once they have completed.
fn useful_share(simulation: &Simulation) -> f64 {
    let paid_s: f64 = simulation
        .metrics
        .fleet
        .windows(2)
        .map(|pair| pair[0].cpus * (pair[1].at_s - pair[0].at_s))
        .sum();
    let running_services: u128 = simulation
        .workers
        .iter()
        .flatten()
        .map(|worker| worker.service_processor_time(simulation.now, &simulation.workload))
        .sum();
    let useful_s = (simulation.workload.useful_milli_cpu_us + running_services) as f64 / 1e9;
    if paid_s > 0.0 { useful_s / paid_s } else { 0.0 }
}

fn controller_work(simulation: &Simulation) -> ControllerWork {
    let loads = || {
        simulation
            .controllers
            .iter()
            .map(|controller| &controller.load)
    };
    ControllerWork {
        messages: loads().map(|load| load.messages).sum(),
        peer_bytes: loads().map(|load| load.peer_bytes).sum(),
        candidates_examined: loads().map(|load| load.candidates_examined).sum(),
        refused_placements: loads().map(|load| load.refused_placements).sum(),
        preemptions: loads().map(|load| load.preemptions).sum(),
        busiest_share: loads()
            .map(|load| load.busy_us as f64 / simulation.now.max(1) as f64)
            .fold(0.0, f64::max),
        store_requests: simulation.store.served.requests,
        store_writes: simulation.store.served.writes,
    }
}

fn attempt_latencies(simulation: &Simulation) -> AttemptLatencies {
    let (metrics, workload) = (&simulation.metrics, &simulation.workload);
    let mut latencies = AttemptLatencies {
        allocation: histogram(),
        stages: NamedHistograms::default(),
        time_to_start: NamedHistograms::default(),
    };
    for (task, &launched) in &workload.launched {
        let (Some(job), Some(timeline)) = (metrics.jobs.get(&task.0), metrics.tasks.get(task))
        else {
            continue;
        };
        let mut stage = |name: &str, from: u64, to: u64| {
            latencies.stages.record(name, to.saturating_sub(from));
        };
        // The names are part of the report format; their number gives the order of the stages.
        stage("1 accepting", job.first_submitted, job.accepted);
        stage(
            "2 queueing",
            job.accepted,
            timeline.record_sent.saturating_sub(timeline.pass_us),
        );
        stage("3 processing", 0, timeline.pass_us);
        stage(
            "4 recording",
            timeline.record_sent,
            timeline.record_committed,
        );
        stage("5 ordering", timeline.record_committed, launched);
        latencies
            .allocation
            .record_us(launched.saturating_sub(job.first_submitted));
        if let Some(&started) = workload.task_started.get(task) {
            latencies
                .time_to_start
                .record(&job.class, started.saturating_sub(job.first_submitted));
        }
    }
    latencies
}

/// The largest tenth of the jobs of each class, and all jobs of the largest size. Jobs with a
/// mistake and jobs with dependencies are left out; controllers do not determine how long a job
/// waits for its dependencies.
fn largest_jobs(simulation: &Simulation) -> BTreeSet<&JobId> {
    let mut by_class: BTreeMap<&str, Vec<(u64, &JobId)>> = BTreeMap::new();
    for (id, job) in simulation
        .workload
        .jobs
        .iter()
        .filter(|(_, job)| !job.broken && job.spec.depends_on.is_empty())
    {
        by_class
            .entry(&job.spec.class)
            .or_default()
            .push((job.spec.tasks, id));
    }
    let mut largest = BTreeSet::new();
    for mut jobs in by_class.into_values() {
        jobs.sort_unstable_by(|a, b| b.cmp(a));
        let (most_tasks, share) = (jobs[0].0, jobs.len().div_ceil(LARGEST_JOBS_DIVISOR));
        largest.extend(
            jobs.iter()
                .enumerate()
                .filter(|(rank, (tasks, _))| *rank < share || *tasks == most_tasks)
                .map(|(_, (_, id))| *id),
        );
    }
    largest
}

/// Describes each of the largest jobs that had not begun within 240 s of its first submission,
/// except those withdrawn by then.
pub fn late_large_jobs(simulation: &Simulation) -> Vec<String> {
    let late = |id: &&JobId| {
        let Some(job) = simulation.metrics.jobs.get(*id) else {
            return false;
        };
        let limit = job.first_submitted + LARGE_JOB_START_LIMIT_US;
        let begun = simulation
            .workload
            .begun
            .get(*id)
            .is_some_and(|at| *at <= limit);
        !begun
            && limit <= simulation.now
            && simulation
                .planned_withdrawal(id)
                .is_none_or(|at| at > limit)
    };
    let describe = |id: &JobId| {
        let spec = &simulation.workload.jobs[id].spec;
        format!(
            "{id} ({}, {} tasks) had not begun after 240 s",
            spec.class, spec.tasks
        )
    };
    largest_jobs(simulation)
        .into_iter()
        .filter(late)
        .map(describe)
        .collect()
}

/// Numbers of tasks started and submitted by class, by team, and for the largest jobs of each
/// class. Jobs with a mistake, jobs cancelled by their users, and jobs submitted within the
/// last minute, which may still wait, do not count.
pub fn tasks_started_by_group(simulation: &Simulation) -> BTreeMap<String, (u64, u64)> {
    let workload = &simulation.workload;
    let mut groups: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let largest = largest_jobs(simulation);
    for (id, job) in workload.jobs.iter().filter(|(_, job)| !job.broken) {
        if is_cancelled(simulation, id, job) || is_in_start_grace(simulation, id) {
            continue;
        }
        let started = (0..job.spec.tasks as u32)
            .filter(|task| workload.task_started.contains_key(&(id.clone(), *task)))
            .count() as u64;
        let large = largest
            .contains(id)
            .then(|| format!("largest of {}", job.spec.class));
        for name in [
            format!("class {}", job.spec.class),
            format!("team {}", job.spec.team),
        ]
        .into_iter()
        .chain(large)
        {
            let (started_sum, submitted_sum) = groups.entry(name).or_default();
            *started_sum += started;
            *submitted_sum += job.spec.tasks;
        }
    }
    groups
}

/// True if a job's user cancels it. The withdrawal of a service does not count: it is how
/// every service ends.
fn is_cancelled(simulation: &Simulation, id: &JobId, job: &SimulatedJob) -> bool {
    job.spec.kind != JobKind::Service
        && (simulation.planned_withdrawal(id).is_some()
            || simulation.workload.checker.is_cancelled(id))
}

/// True if a job was submitted so recently that it may still wait.
fn is_in_start_grace(simulation: &Simulation, id: &JobId) -> bool {
    let in_grace = |job: &JobTimeline| job.first_submitted + START_GRACE_US > simulation.now;
    simulation.metrics.jobs.get(id).is_some_and(in_grace)
}

/// Violations of a run: of the invariants, and of the service terms. At least half of the
/// submissions must be accepted, at least half of the tasks of each group started, and the
/// largest jobs begun in time.
pub fn run_violations(simulation: &Simulation) -> Vec<String> {
    let mut violations = simulation.workload.checker.violations.clone();
    let counts = simulation.metrics.submission_counts();
    if counts.accepted * 2 < counts.submitted {
        violations.push(format!(
            "{} of {} submissions were accepted",
            counts.accepted, counts.submitted
        ));
    }
    for (name, (started, submitted)) in tasks_started_by_group(simulation)
        .into_iter()
        .filter(|(_, (started, submitted))| started * 2 < *submitted)
    {
        violations.push(format!(
            "{name}: {started} of {submitted} tasks were started"
        ));
    }
    violations.extend(late_large_jobs(simulation));
    violations
}
