//! The report of a run: plain data, written as `report.json`. Its field names are written
//! names, read by the plots and by other tools; they stay as they are.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The result of one run.
pub struct RunOutcome {
    /// Its report; the same for the same scenario, load and seed.
    pub report: RunReport,
    /// Allocation times, µs.
    pub allocation: Histogram<u64>,
    /// Events processed.
    pub events: u64,
    /// Wall time, s: a property of this machine, and no part of the report.
    pub wall_s: f64,
}

/// The report of a run. It follows from scenario, load and seed alone.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunReport {
    /// Scenario.
    pub scenario: String,
    /// What placed the tasks: the controllers, or a baseline of the project's own.
    pub placer: String,
    /// Seed.
    pub seed: u64,
    /// Simulated s.
    pub simulated_s: f64,
    /// Controllers.
    pub controllers: u16,
    /// Jobs submitted, accepted, refused, over.
    pub jobs: JobCounts,
    /// Starts of tasks.
    #[serde(rename = "starts")]
    pub task_starts: u64,
    /// From the first submission until a launch command has reached the machine, ms;
    /// the first attempt of each task, of arrays, gangs and services alike.
    pub allocation: LatencySummary,
    /// Its stages, in order: `accepting`, `queueing`, `processing`,
    /// `recording`, `ordering`.
    #[serde(rename = "pieces")]
    pub allocation_stages: BTreeMap<String, LatencySummary>,
    /// From the first submission until the task runs on its machine with its image, by
    /// class, ms.
    #[serde(rename = "waiting")]
    pub time_to_start: BTreeMap<String, LatencySummary>,
    /// From the first submission until the end is committed, by class, ms.
    #[serde(rename = "finished")]
    pub time_to_finish: BTreeMap<String, LatencySummary>,
    /// Tasks started and tasks submitted (up to a minute before the end), by class, by team
    /// and for the largest jobs of each class. A run with less than half of any group
    /// started has failed.
    #[serde(rename = "served", default)]
    pub started_by_group: BTreeMap<String, (u64, u64)>,
    /// From a user's first request to withdraw a job until its end is confirmed, ms; of
    /// those confirmed.
    #[serde(rename = "withdrawals", default)]
    pub withdrawal_latency: LatencySummary,
    /// Tasks killed by the expiry of their worker's lease.
    #[serde(default)]
    pub killed_by_lease: u64,
    /// Cost of the machines, in the units of the scenario's prices.
    #[serde(rename = "money")]
    pub cost: f64,
    /// Share of the processor time paid for that went into work that counted.
    #[serde(rename = "useful")]
    pub useful_share: f64,
    /// Work of all controllers together.
    pub work: ControllerWork,
    /// The fleet over time.
    #[serde(rename = "series")]
    pub fleet: Vec<FleetSample>,
    /// Invariants violated; a run with one counts for nothing.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
    /// Lines of the history.
    #[serde(rename = "lines")]
    pub history_lines: u64,
    /// Digest of the history (blake3, hex).
    #[serde(rename = "digest")]
    pub history_digest: String,
}

/// Counts of jobs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct JobCounts {
    /// Submitted.
    pub submitted: u64,
    /// Accepted.
    pub accepted: u64,
    /// Refused, or given up after a minute.
    pub refused: u64,
    /// Ended: completed or withdrawn.
    #[serde(rename = "over")]
    pub ended: u64,
}

/// Counted work of the controllers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct ControllerWork {
    /// Messages received and sent.
    pub messages: u64,
    /// Bytes between controllers.
    pub peer_bytes: u64,
    /// Words of bits and machines that candidate walks examined.
    #[serde(rename = "looks")]
    pub candidates_examined: u64,
    /// Placements that owners refused for want of free resources.
    #[serde(rename = "refusals")]
    pub refused_placements: u64,
    /// Attempts preempted for others.
    pub preemptions: u64,
    /// Share of the time that the busiest controller was busy, as charged.
    #[serde(rename = "busiest")]
    pub busiest_share: f64,
    /// Requests that the store served.
    pub store_requests: u64,
    /// Writes that it committed.
    pub store_writes: u64,
}

/// The fleet at one moment.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct FleetSample {
    /// s since the start.
    pub at_s: f64,
    /// Machines provisioned.
    pub machines: usize,
    /// Of these, up.
    pub up: usize,
    /// Processors taken by tasks.
    pub used_cpus: f64,
    /// Processors of all machines that are up.
    pub cpus: f64,
    /// Cost so far.
    #[serde(rename = "money")]
    pub cost: f64,
    /// Messages that the controllers received and sent so far: the busiest alone, and all
    /// together.
    pub messages: (u64, u64),
}

/// Summary of a latency distribution, ms.
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
    /// The summary of a histogram of µs.
    pub fn of(h: &Histogram<u64>) -> Self {
        let ms = |x: u64| x as f64 / 1e3;
        let q = |q: f64| ms(h.value_at_quantile(q));
        Self {
            count: h.len(),
            mean: h.mean() / 1e3,
            p50: q(0.5),
            p90: q(0.9),
            p99: q(0.99),
            p999: q(0.999),
            max: ms(h.max()),
        }
    }
}
