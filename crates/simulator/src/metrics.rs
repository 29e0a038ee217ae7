//! Collects the metrics of a run while it goes on: the stages of each task's first
//! attempt, submissions and their ends, and samples of the fleet.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use lemonweir_model::{JobId, JobKind, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::parse_task_chunk_key;

use crate::cloud::Cloud;
use crate::controller::Controller;
use crate::histograms::{RecordMicros, histogram};
use crate::report::FleetSample;
use crate::worker::Worker;

/// µs between two samples of the fleet.
const SAMPLE_INTERVAL_US: u64 = 5_000_000;

/// How far a task's first attempt got, and when, µs.
#[derive(Clone, Copy, Default)]
pub(crate) struct TaskTimeline {
    /// When its record left the controller.
    pub(crate) record_sent: u64,
    /// How long the scheduling pass took before that.
    pub(crate) pass_us: u64,
    /// When the store committed the record.
    pub(crate) record_committed: u64,
}

/// A job's way from its first submission to its end, µs.
pub(crate) struct JobTimeline {
    pub(crate) first_submitted: u64,
    pub(crate) accepted: u64,
    pub(crate) class: String,
    pub(crate) service: bool,
    pub(crate) ended: Option<u64>,
}

/// How many jobs were submitted, and how many of them were accepted.
pub struct SubmissionCounts {
    /// Submitted for the first time.
    pub submitted: u64,
    /// Accepted, as their users know.
    pub accepted: u64,
}

/// Collects the metrics of a run.
#[derive(Default)]
pub struct MetricsCollector {
    pub(crate) tasks: HashMap<(JobId, u32), TaskTimeline>,
    pub(crate) jobs: BTreeMap<JobId, JobTimeline>,
    pub(crate) submitted: u64,
    pub(crate) refused: u64,
    pub(crate) withdrawals: Option<Histogram<u64>>,
    sampled_at: Option<u64>,
    pub(crate) fleet: Vec<FleetSample>,
}

impl MetricsCollector {
    /// A job was submitted for the first time.
    pub fn job_submitted(&mut self) {
        self.submitted += 1;
    }

    /// Jobs submitted, and those accepted.
    pub fn submission_counts(&self) -> SubmissionCounts {
        SubmissionCounts {
            submitted: self.submitted,
            accepted: self.jobs.len() as u64,
        }
    }

    /// A job was refused, or its user gave up.
    pub fn job_refused(&mut self) {
        self.refused += 1;
    }

    /// A user heard of a job's end so many µs after first asking for it.
    pub fn withdrawal_confirmed(&mut self, us: u64) {
        self.withdrawals.get_or_insert_with(histogram).record_us(us);
    }

    /// A user heard that a job is accepted.
    pub fn job_accepted(
        &mut self,
        id: &JobId,
        first_submitted: u64,
        now: u64,
        spec: Option<&JobSpec>,
    ) {
        let Some(spec) = spec else { return };
        let service = spec.kind == JobKind::Service;
        let timeline = JobTimeline {
            first_submitted,
            accepted: now,
            class: spec.class.clone(),
            service,
            ended: None,
        };
        self.jobs.entry(id.clone()).or_insert(timeline);
    }

    /// The store committed a job's end.
    pub fn job_ended(&mut self, id: &JobId, now: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended.get_or_insert(now);
        }
    }

    fn for_each_live_task(cas: &CompareAndSwap, mut visit: impl FnMut((JobId, u32))) {
        for write in &cas.writes {
            if let Write::Put { key, value, .. } = write
                && let Some((job, chunk)) = parse_task_chunk_key(key)
                && let Some(record) = read_chunk(value, chunk)
            {
                record
                    .live_attempts
                    .iter()
                    .for_each(|task| visit((job.clone(), task.task)));
            }
        }
    }

    /// A scheduling pass that began at `now` made a compare-and-swap that leaves its
    /// controller at `sent_at`.
    pub fn cas_sent(&mut self, cas: &CompareAndSwap, now: u64, sent_at: u64) {
        Self::for_each_live_task(cas, |key| {
            self.tasks.entry(key).or_insert(TaskTimeline {
                record_sent: sent_at,
                pass_us: sent_at - now,
                record_committed: 0,
            });
        });
    }

    /// The store committed a compare-and-swap.
    pub fn cas_committed(&mut self, cas: &CompareAndSwap, now: u64) {
        Self::for_each_live_task(cas, |key| {
            let timeline = self.tasks.entry(key).or_default();
            if timeline.record_committed == 0 {
                timeline.record_committed = now;
            }
        });
    }

    /// Samples the fleet, if the last sample is old enough.
    pub fn sample_fleet(
        &mut self,
        now: u64,
        workers: &[Option<Worker>],
        cloud: &Cloud,
        controllers: &[Controller],
    ) {
        if self
            .sampled_at
            .is_some_and(|at| now < at + SAMPLE_INTERVAL_US)
        {
            return;
        }
        self.sampled_at = Some(now);
        let message_counts = || {
            controllers
                .iter()
                .map(|controller| controller.load.messages)
        };
        let messages = (message_counts().max().unwrap_or(0), message_counts().sum());
        let mut sample = FleetSample {
            at_s: now as f64 / 1e6,
            machines: 0,
            up: 0,
            used_cpus: 0.0,
            cpus: 0.0,
            cost: cloud.spent(now),
            messages,
        };
        for worker in workers.iter().flatten() {
            sample.machines += 1;
            if worker.up_at <= now {
                sample.up += 1;
                sample.cpus += worker.kind.capacity.milli_cpus as f64 / 1e3;
                sample.used_cpus +=
                    worker.kind.capacity.minus(&worker.free()).milli_cpus as f64 / 1e3;
            }
        }
        self.fleet.push(sample);
    }
}
