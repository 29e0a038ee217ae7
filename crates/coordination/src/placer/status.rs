//! Status of a job as shown to users: its task counts, and why it waits.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Bound;

use lemonweir_model::{JobId, JobKind};
use lemonweir_protocol::last_progress::LastProgressRow;
use lemonweir_protocol::peer::ChangeRange;
use lemonweir_protocol::progress::{ProgressRow, StoredRow, pack_row};
use lemonweir_storage::last_progress::{LastPhase, LastProgress};

use super::partitions::{ZonePartition, partition_of};
use super::{Placer, PublishedProgress};
use crate::job::{Job, LiveAttempt};

/// Bytes of a job's progress in the answer to a pull, without its reason.
const PROGRESS_ROW_BYTES: usize = 32;
/// Bytes of a packed row at most.
const MAX_PACKED_ROW_BYTES: usize = 24;

/// Seconds for which a service must have lacked replicas before its status says so: up to
/// then they are expected to be starting.
const SHORTFALL_SHOWN_AFTER_S: u64 = 30;

/// Running tasks of a job, and why others wait, or that some are in a partitioned zone and
/// their states may be outdated.
pub(super) fn progress_and_reason(
    job: &Job,
    partitions: &[BTreeMap<String, ZonePartition>],
) -> (u32, Cow<'static, str>) {
    let (running, reason) = job.progress();
    (
        running,
        partition_of(job, partitions).map_or(Cow::Borrowed(reason), |(zone, _)| {
            format!("zone {zone} out of sight").into()
        }),
    )
}

/// False if the only tasks of a job that may run were launched by an earlier leader, and their
/// owners have not said yet whether they do.
pub(super) fn is_progress_known(job: &Job, running: u32) -> bool {
    running > 0 || !job.live.values().any(LiveAttempt::is_inherited_unknown)
}

/// Status of a job, as its placer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacerJobStatus {
    /// Number of tasks done.
    pub done: u64,
    /// Number of tasks running.
    pub running: u64,
    /// False if it is not known yet whether a task runs.
    pub known: bool,
    /// Why the job waits; empty if it doesn't.
    pub reason: String,
}

impl Placer {
    /// Status of a job; `None`: the job is not this shard's, or has ended.
    pub fn job_status(&self, id: &JobId, now: u64) -> Option<PlacerJobStatus> {
        let job = self.jobs.get(id).filter(|job| !job.ended)?;
        let (running, mut reason) = progress_and_reason(job, &self.partitions);
        if let Some((_, partition)) = partition_of(job, &self.partitions) {
            reason = partition_reason(&reason, partition, now).into();
        } else if let Some(machines) = job.suspect.filter(|_| job.waiting_count() > 0) {
            reason = suspect_reason(job, machines, now).into();
        }
        if let Some(shortfall) = self.shortfall_status(id, now) {
            reason = format!("{shortfall}{reason}").into();
        }
        Some(PlacerJobStatus {
            done: u64::from(job.done_count),
            running: u64::from(running),
            known: is_progress_known(job, running),
            reason: reason.into_owned(),
        })
    }

    /// What earlier leaders last knew of a job with attempts of theirs of which nothing was known
    /// when this placer started.
    pub(crate) fn inherited_progress(&self, id: &JobId) -> Option<&LastProgress> {
        self.inherited_progress.get(id)
    }

    /// Takes over what earlier leaders last knew of jobs with attempts of theirs.
    pub(crate) fn inherit_last_progress(&mut self, last: impl Fn(&JobId) -> LastProgress) {
        let unknown = |job: &Job| job.live.values().any(LiveAttempt::is_inherited_unknown);
        let inherited = self.jobs.iter().filter(|(_, job)| unknown(job));
        self.inherited_progress = inherited.map(|(id, _)| (id.clone(), last(id))).collect();
    }

    /// True if a job has an attempt that is not proven to have ended.
    pub(crate) fn has_attempt(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| !job.live.is_empty())
    }

    /// The progress of this shard's jobs, as far as it is known, and else as it was last known. Jobs
    /// that are queued without an attempt are left out.
    pub(crate) fn last_progress_rows(&self, time_of_day_ms: u64) -> Vec<LastProgressRow> {
        let jobs = self.jobs.iter().filter(|(_, job)| !job.ended);
        jobs.filter_map(|(id, job)| self.last_progress_row(id, job, time_of_day_ms))
            .collect()
    }

    fn last_progress_row(
        &self,
        id: &JobId,
        job: &Job,
        time_of_day_ms: u64,
    ) -> Option<LastProgressRow> {
        let (running, _) = job.progress();
        let inherited = self
            .inherited_progress
            .get(id)
            .filter(|_| !is_progress_known(job, running));
        let (tasks_running, known_at_ms) = match inherited {
            Some(last) => match last.phase {
                LastPhase::Running(running) => (running, last.known_at_ms),
                LastPhase::MayRun | LastPhase::Queued => (0, last.known_at_ms),
            },
            None => (running, time_of_day_ms),
        };
        let row = LastProgressRow {
            job: id.clone(),
            tasks_done: job.done_count,
            tasks_running,
            may_run: tasks_running == 0 && !job.live.is_empty(),
            age_s: time_of_day_ms.saturating_sub(known_at_ms).div_ceil(1_000) as u32,
        };
        (row.tasks_done > 0 || row.tasks_running > 0 || row.may_run).then_some(row)
    }

    /// Changes of the progress of this shard's jobs after number `since`, up to `max_bytes`.
    pub fn progress_since(
        &mut self,
        since: u64,
        mut max_bytes: usize,
    ) -> (ChangeRange, Vec<ProgressRow>) {
        self.publish_changes();
        let (range, changes) =
            self.job_progress
                .changes_since(since, &mut max_bytes, |_, progress| {
                    PROGRESS_ROW_BYTES + progress.map_or(0, |progress| progress.reason.len())
                });
        let row = |(id, progress): (&JobId, Option<&PublishedProgress>)| {
            let progress = progress?;
            Some(ProgressRow {
                job: id.clone(),
                tasks_done: progress.done,
                tasks_running: progress.running,
                known: progress.known,
                wait_reason: progress.reason.clone().into_owned(),
            })
        };
        (range, changes.into_iter().filter_map(row).collect())
    }

    /// Progress of this shard's jobs with ids after `after`, packed into at most `max_bytes`, and
    /// the last id that it covers; `None`: all. Queued jobs are left out.
    pub fn pack_progress(
        &mut self,
        after: Option<&JobId>,
        max_bytes: usize,
    ) -> (Option<JobId>, Vec<u8>) {
        self.publish_changes();
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut packed = Vec::new();
        let mut last = None;
        for id in self.jobs.range((start, Bound::Unbounded)).map(|(id, _)| id) {
            let Some(progress) = self.job_progress.get(id) else {
                continue;
            };
            let row = StoredRow {
                job: id.clone(),
                tasks_done: progress.done,
                tasks_running: progress.running,
                known: progress.known,
            };
            let is_queued = row.known && row.tasks_done == 0 && row.tasks_running == 0;
            if !is_queued {
                if packed.len() + MAX_PACKED_ROW_BYTES > max_bytes {
                    return (last, packed);
                }
                pack_row(&mut packed, &row);
            }
            last = Some(id.clone());
        }
        (None, packed)
    }

    /// Prefix of a service's status, if it has lacked replicas for at least
    /// [`SHORTFALL_SHOWN_AFTER_S`].
    fn shortfall_status(&self, id: &JobId, now: u64) -> Option<String> {
        let service = self.services.get(id)?;
        let lacking_s = now.saturating_sub(service.under_replicated_since?) / 1_000;
        if lacking_s < SHORTFALL_SHOWN_AFTER_S {
            return None;
        }
        let attempts: Vec<&str> = service
            .attempts
            .iter()
            .map(|t| t.description.as_str())
            .collect();
        let tried = if attempts.is_empty() {
            String::new()
        } else {
            format!("tried: {}; ", attempts.join(", "))
        };
        Some(format!(
            "{} of {} replicas up for {lacking_s} s; {tried}",
            service.observation.running, service.observation.desired
        ))
    }
}

fn partition_reason(reason: &str, partition: &ZonePartition, now: u64) -> String {
    let for_s = now.saturating_sub(partition.since) / 1_000;
    let ends_in_s = partition
        .attempts_end_at
        .saturating_sub(now)
        .div_ceil(1_000);
    format!("{reason} since {for_s} s, its attempts there end by proof in at most {ends_in_s} s")
}

fn suspect_reason(job: &Job, machines: u32, now: u64) -> String {
    let unit = if job.is_kind(JobKind::Gang) {
        "the gang"
    } else {
        "one task"
    };
    let backoff_s = job.backoff_until.saturating_sub(now).div_ceil(1_000);
    let when = match (job.live.is_empty(), backoff_s) {
        (false, _) => "is being tried now".to_owned(),
        (true, 0) => "is tried again where there is room".to_owned(),
        (true, s) => format!("is tried again in {s} s"),
    };
    format!("failed on {machines} machines that run other jobs; {unit} {when}")
}
