//! Status of a job as shown to users: its task counts, and why it waits.

use std::borrow::Cow;
use std::collections::BTreeMap;

use lemonweir_model::{JobId, JobKind};

use super::Placer;
use super::partitions::{ZonePartition, partition_of};
use crate::job::Job;

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

impl Placer {
    /// Done tasks of a job, its running tasks, and why it waits; `None`: the job is not this
    /// shard's, or has ended.
    pub fn job_status(&self, id: &JobId, now: u64) -> Option<(u64, u64, String)> {
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
        Some((
            u64::from(job.done_count),
            u64::from(running),
            reason.into_owned(),
        ))
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
