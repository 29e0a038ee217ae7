//! Teams whose loaded attempts exceed their quota limit.
//!
//! This happens when an earlier leader reused the resources of an ended attempt and stopped
//! before it recorded the end, or when the limit was lowered since. Until the team is within
//! its limit, none of its attempts are launched, and those not launched yet are stopped.

use lemonweir_model::{JobId, Resources};
use lemonweir_protocol::peer::AttemptState;
use tracing::info;

use super::Placer;
use crate::gang_admission::ReleaseReason;
use crate::job::Job;

impl Placer {
    /// True if a usage is within a team's quota limit. Memory is not limited.
    pub(super) fn is_within_limit(&self, team: &str, used: &Resources) -> bool {
        let limited = Resources {
            memory_mb: 0,
            ..*used
        };
        self.quota_limit(team).covers(&limited)
    }

    /// Marks a team as over its limit if the attempts loaded so far exceed it.
    pub(super) fn note_loaded_usage(&mut self, team: &str) {
        if !self.is_within_limit(team, &self.usage_of(team)) {
            self.teams_over_limit.insert(team.to_owned());
        }
    }

    /// Resumes launches of a team once its usage is within its limit.
    pub(super) fn end_launch_hold(&mut self, team: &str) {
        let usage = self.usage_of(team);
        if !self.teams_over_limit.contains(team) || !self.is_within_limit(team, &usage) {
            return;
        }
        self.teams_over_limit.remove(team);
        info!(shard = self.shard, team, team_usage = %usage, "team within its quota limit; launches resumed");
        let jobs = self.running_by_team.get(team).into_iter().flatten();
        self.changed_jobs.extend(jobs.map(|key| key.job.clone()));
    }

    /// Stops an attempt, or the gang it belongs to, that its owner reports as accepted but not
    /// launched, if its team's attempts that are not being stopped exceed the limit.
    pub(super) fn stop_unlaunched_over_limit(&mut self, id: &JobId, task: u32, now: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.is_stopping()) else {
            return;
        };
        let team = job.team.clone();
        if !self.teams_over_limit.contains(&team)
            || self.is_within_limit(&team, &self.usage_without_stopping(&team))
        {
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_gang() {
            let members = job.gang_members();
            // A member without a reported state may be running, so the gang is released only
            // when all members are reported and none is launched.
            if members.launched == 0 && members.granted == members.live {
                self.release_gang(id, ReleaseReason::OverQuotaLimit, now);
            }
        } else if let Some(live) = job.live.get_mut(&task)
            && live.state == Some(AttemptState::Accepted)
        {
            info!(job_id = %id, task, attempt = live.attempt, shard = self.shard, team, "attempt over its team's quota limit stopped before its launch");
            live.stop_grace_s.get_or_insert(0);
            self.update_indexes(id, now);
        }
    }

    /// Usage of a team without the attempts that are being stopped.
    fn usage_without_stopping(&self, team: &str) -> Resources {
        let remaining_usage = |job: &Job| {
            let remaining = job.live.values().filter(|live| live.stop_grace_s.is_none());
            job.need.times(remaining.count() as u64)
        };
        self.running_by_team
            .get(team)
            .into_iter()
            .flatten()
            .filter_map(|key| self.jobs.get(&key.job))
            .filter(|job| !job.is_stopping())
            .fold(Resources::default(), |sum, job| {
                sum.plus(&remaining_usage(job))
            })
    }
}
