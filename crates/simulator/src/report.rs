//! The report of a run, written as `report.json`. The plots and other tools read its serialized
//! field names, which therefore must not change.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The result of one run.
pub struct RunOutcome {
    /// The report of the run.
    pub report: RunReport,
    /// Histogram of allocation times, µs.
    pub allocation: Histogram<u64>,
    /// Number of simulation events processed.
    pub events: u64,
    /// Wall-clock time of the run, s. It depends on the machine and is not part of the report.
    pub wall_s: f64,
}

/// The report of a run. It depends only on scenario, load and seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// What placed the tasks: the scheduler's controllers or a baseline.
    pub placer: String,
    /// Seed of the run.
    pub seed: u64,
    /// Simulated time, s.
    pub simulated_s: f64,
    /// Number of controllers.
    pub controllers: u16,
    /// Numbers of jobs submitted, accepted, refused and ended.
    pub jobs: JobCounts,
    /// Number of task starts.
    #[serde(rename = "starts")]
    pub task_starts: u64,
    /// Time from the first submission until a launch command has reached the machine, ms. Covers
    /// the first attempt of each task of arrays, gangs and services.
    pub allocation: LatencySummary,
    /// Stages of the allocation, ms. Their names begin with a number that gives the order:
    /// `accepting`, `queueing`, `processing`, `recording`, `ordering`.
    #[serde(rename = "pieces")]
    pub allocation_stages: BTreeMap<String, LatencySummary>,
    /// Time from the first submission until the task is on its machine with its image, by
    /// class, ms.
    #[serde(rename = "waiting")]
    pub time_to_start: BTreeMap<String, LatencySummary>,
    /// Time from the first submission until the end is committed, by class, ms; without
    /// services.
    #[serde(rename = "finished")]
    pub time_to_finish: BTreeMap<String, LatencySummary>,
    /// Tasks started and tasks submitted (up to a minute before the end of the run), by class, by
    /// team and for the largest jobs of each class. A run has failed if fewer than half of the
    /// tasks of any group were started.
    #[serde(rename = "served", default)]
    pub started_by_group: BTreeMap<String, (u64, u64)>,
    /// Time from a user's first request to withdraw a job until its end is confirmed, ms; only
    /// confirmed withdrawals count.
    #[serde(rename = "withdrawals", default)]
    pub withdrawal_latency: LatencySummary,
    /// Number of tasks killed because their worker's lease expired.
    #[serde(default)]
    pub killed_by_lease: u64,
    /// Cost of the machines, in the currency of the scenario's prices.
    #[serde(rename = "money")]
    pub cost: f64,
    /// Share of the paid processor time that was spent on useful work: completed tasks and
    /// service replicas.
    #[serde(rename = "useful")]
    pub useful_share: f64,
    /// Total work of the controllers.
    pub work: ControllerWork,
    /// Samples of the fleet over time.
    #[serde(rename = "series")]
    pub fleet: Vec<FleetSample>,
    /// Violated invariants. The results of a run with any violation are invalid.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Number of lines of the history.
    #[serde(rename = "lines")]
    pub history_lines: u64,
    /// Digest of the history (BLAKE3, hex).
    #[serde(rename = "digest")]
    pub history_digest: String,
}

/// Numbers of jobs by what happened to them; a job counts in each field that applies.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct JobCounts {
    /// Jobs submitted; repeated submissions of a job do not count.
    pub submitted: u64,
    /// Jobs whose acceptance was confirmed to their users.
    pub accepted: u64,
    /// Jobs refused, or given up by their users after a minute.
    pub refused: u64,
    /// Accepted jobs whose end, done or withdrawn, is committed.
    #[serde(rename = "over")]
    pub ended: u64,
}

/// Work of the controllers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct ControllerWork {
    /// Number of messages received and sent.
    pub messages: u64,
    /// Bytes of sync requests and their answers between controllers.
    pub peer_bytes: u64,
    /// Number of bit set words and machines examined by placement.
    #[serde(rename = "looks")]
    pub candidates_examined: u64,
    /// Number of placements that owners refused for lack of free resources.
    #[serde(rename = "refusals")]
    pub refused_placements: u64,
    /// Number of attempts preempted.
    pub preemptions: u64,
    /// Share of the time for which the busiest controller was busy, by charged processing time.
    #[serde(rename = "busiest")]
    pub busiest_share: f64,
    /// Number of requests that the store admitted.
    pub store_requests: u64,
    /// Number of writes in these requests.
    pub store_writes: u64,
}

/// A sample of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct FleetSample {
    /// Time since the start of the run, s.
    pub at_s: f64,
    /// Number of provisioned machines.
    pub machines: usize,
    /// Number of provisioned machines that are up.
    pub up: usize,
    /// Number of machines that are up and have tasks.
    #[serde(default)]
    pub in_use: usize,
    /// Processors in use by tasks.
    pub used_cpus: f64,
    /// Processors of all machines that are up.
    pub cpus: f64,
    /// Total cost so far.
    #[serde(rename = "money")]
    pub cost: f64,
    /// Number of messages received and sent so far: by the controller with the most, and by all
    /// controllers.
    pub messages: (u64, u64),
}

/// Summary of a distribution of latencies, in ms.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

impl LatencySummary {
    /// Summarizes a histogram of µs.
    pub fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let ms = |x: u64| x as f64 / 1e3;
        let q = |q: f64| ms(histogram.value_at_quantile(q));
        Self {
            count: histogram.len(),
            mean: histogram.mean() / 1e3,
            p50: q(0.5),
            p90: q(0.9),
            p99: q(0.99),
            p999: q(0.999),
            max: ms(histogram.max()),
        }
    }
}
