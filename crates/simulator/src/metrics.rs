//! Collects metrics during a run: the stages of each task's first attempt, submitted jobs and
//! their ends, and samples of the fleet.

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

/// Interval between samples of the fleet, µs.
const SAMPLE_INTERVAL_US: u64 = 5_000_000;

/// Times of the stages of a task's first attempt, µs.
#[derive(Clone, Copy, Default)]
pub(crate) struct TaskTimeline {
    /// Time at which its record left the controller.
    pub(crate) record_sent: u64,
    /// Duration of the scheduling pass before that.
    pub(crate) pass_us: u64,
    /// Time at which the store committed the record; 0: not yet.
    pub(crate) record_committed: u64,
}

/// Times of an accepted job from its first submission to its end, µs.
pub(crate) struct JobTimeline {
    pub(crate) first_submitted: u64,
    pub(crate) accepted: u64,
    pub(crate) class: String,
    pub(crate) service: bool,
    pub(crate) ended: Option<u64>,
}

/// Numbers of submitted and accepted jobs.
pub struct SubmissionCounts {
    /// Number of jobs submitted; repeated submissions of a job do not count.
    pub submitted: u64,
    /// Number of jobs whose acceptance was confirmed to their users.
    pub accepted: u64,
}

/// Collects metrics during a run.
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
    /// Counts a job that is submitted for the first time.
    pub fn job_submitted(&mut self) {
        self.submitted += 1;
    }

    /// Numbers of jobs submitted and accepted so far.
    pub fn submission_counts(&self) -> SubmissionCounts {
        SubmissionCounts {
            submitted: self.submitted,
            accepted: self.jobs.len() as u64,
        }
    }

    /// Counts a job that was refused, or whose user gave up submitting it.
    pub fn job_refused(&mut self) {
        self.refused += 1;
    }

    /// Records the time from a user's first request to withdraw a job until its end was
    /// confirmed to the user, µs.
    pub fn withdrawal_confirmed(&mut self, us: u64) {
        self.withdrawals.get_or_insert_with(histogram).record_us(us);
    }

    /// Records that a job's acceptance was confirmed to its user.
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

    /// Records that the store committed a job's end; only the first time counts.
    pub fn job_ended(&mut self, id: &JobId, now: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended.get_or_insert(now);
        }
    }

    /// Calls `visit` for each live attempt in the task chunks that a compare-and-swap writes.
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

    /// Records a compare-and-swap that results from a scheduling pass begun at `now` and leaves
    /// its controller at `sent_at`, µs.
    pub fn cas_sent(&mut self, cas: &CompareAndSwap, now: u64, sent_at: u64) {
        Self::for_each_live_task(cas, |key| {
            self.tasks.entry(key).or_insert(TaskTimeline {
                record_sent: sent_at,
                pass_us: sent_at - now,
                record_committed: 0,
            });
        });
    }

    /// Records that the store committed a compare-and-swap.
    pub fn cas_committed(&mut self, cas: &CompareAndSwap, now: u64) {
        Self::for_each_live_task(cas, |key| {
            let timeline = self.tasks.entry(key).or_default();
            if timeline.record_committed == 0 {
                timeline.record_committed = now;
            }
        });
    }

    /// Samples the fleet, unless the last sample is less than 5 s old.
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
            in_use: 0,
            used_cpus: 0.0,
            cpus: 0.0,
            cost: cloud.spent(now),
            messages,
        };
        for worker in workers.iter().flatten() {
            sample.machines += 1;
            if worker.up_at <= now {
                sample.up += 1;
                sample.in_use += usize::from(worker.live_task_count() > 0);
                sample.cpus += worker.kind.capacity.milli_cpus as f64 / 1e3;
                sample.used_cpus +=
                    worker.kind.capacity.minus(&worker.free()).milli_cpus as f64 / 1e3;
            }
        }
        self.fleet.push(sample);
    }
}
