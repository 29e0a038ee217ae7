//! The desired state sent to the machines' owners: every recorded attempt, and whether it may
//! start or has to stop.

use std::collections::HashSet;

use lemonweir_model::{AttemptId, JobId, JobSpec, MachineId};
use lemonweir_protocol::peer::{DesiredAttempt, PreemptionScope};

use super::launch_log::log_allowed_launch;
use super::launch_rules::LaunchRules;
use super::status::{is_progress_known, progress_and_reason};
use super::{Placer, PublishedProgress};
use crate::job::{CountedAttempts, Job};

/// An attempt in the desired state, and the shard whose owner it is sent to.
struct ShardAttempt {
    shard: u16,
    desired: DesiredAttempt,
}

/// The desired state of a job: its recorded live attempts, and ended attempts whose end is
/// not written yet. An attempt that breaks a rule may not be launched.
fn desired_attempts(id: &JobId, job: &Job, rules: &LaunchRules<'_>) -> Vec<ShardAttempt> {
    let image = job.spec().map(|s| s.image.clone()).unwrap_or_default();
    let image_mb = job.spec().map_or(0, JobSpec::image_mb);
    let preemption_grace_s = job.spec().map_or(0, JobSpec::preemption_grace_s);
    let ending = |id: AttemptId, machine: &MachineId| DesiredAttempt {
        id,
        machine: machine.clone(),
        resources: job.need,
        image: image.clone(),
        image_mb,
        may_start: false,
        stop_grace_s: Some(0),
        team: job.team.clone(),
        priority: job.priority(),
        over_quota: true,
        preemption_grace_s: 0,
        runs_until_cancelled: false,
        preemption: PreemptionScope::Nobody,
    };
    let may_launch = may_launch(job);
    let live = job
        .live
        .iter()
        .filter(|(task, live)| job.is_recorded(**task, live))
        .map(|(&task, live)| {
            let id = AttemptId {
                job: id.clone(),
                task,
                attempt: live.attempt,
            };
            ShardAttempt {
                shard: live.shard,
                desired: DesiredAttempt {
                    may_start: may_launch && rules.broken_by(live).is_none(),
                    stop_grace_s: if job.is_stopping() {
                        Some(0)
                    } else {
                        live.stop_grace_s
                    },
                    over_quota: live.over_quota,
                    preemption_grace_s,
                    runs_until_cancelled: job.is_service(),
                    preemption: live.preemption,
                    ..ending(id, &live.machine)
                },
            }
        });
    let ended = job.ending.iter().map(|end| ShardAttempt {
        shard: end.shard,
        desired: ending(end.id.clone(), &end.machine),
    });
    live.chain(ended).collect()
}

/// True if a job's attempts may be launched. Those of a gang may be once the gang is admitted
/// and each unfinished task has an attempt whose state its owner has reported.
fn may_launch(job: &Job) -> bool {
    let all_accepted = || {
        job.live.len() as u32 == job.tasks - job.done_count.min(job.tasks)
            && job.live.values().all(|live| live.state.is_some())
    };
    !job.is_gang() || job.is_admitted() && all_accepted()
}

impl Placer {
    /// Updates the desired state and the published progress of changed jobs.
    pub(super) fn publish_changes(&mut self) {
        for team in std::mem::take(&mut self.quota_dirty_teams) {
            self.update_over_quota_flags(&team);
        }
        for id in std::mem::take(&mut self.changed_jobs) {
            self.publish_desired_attempts(&id);
            self.publish_progress(&id);
        }
    }

    fn publish_desired_attempts(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let rules = self.launch_rules(job, CountedAttempts::All);
        let attempts = desired_attempts(id, job, &rules);
        let kept: HashSet<&AttemptId> = attempts.iter().map(|a| &a.desired.id).collect();
        for (shard, attempt) in &job.published_attempts {
            if !kept.contains(attempt) {
                self.owner_channels[usize::from(*shard)]
                    .desired
                    .remove(attempt);
            }
        }
        let published_attempts = attempts
            .iter()
            .map(|a| (a.shard, a.desired.id.clone()))
            .collect();
        for ShardAttempt { shard, desired } in attempts {
            let channel = &mut self.owner_channels[usize::from(shard)];
            log_allowed_launch(self.shard, self.fencing_token, channel, job, &desired);
            channel.desired.put(&desired.id.clone(), desired);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.published_attempts = published_attempts;
        }
    }

    fn publish_progress(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.ended {
            self.job_progress.erase(id);
            return;
        }
        let (running, reason) = progress_and_reason(job, &self.partitions);
        let progress = PublishedProgress {
            done: job.done_count,
            running,
            known: is_progress_known(job, running),
            reason,
        };
        self.job_progress.put(id, progress);
    }
}
