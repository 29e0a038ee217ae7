//! Rules between attempts, asked at every launch: a team's quota limit, and the zones of a job's
//! tasks.
//!
//! Placement obeys these rules given all attempts that are not proven to have ended. The
//! attempts loaded by a new leader may break them nevertheless: an earlier leader reused the
//! resources or the zone of an ended attempt and stopped before it recorded that end, or a
//! quota limit was lowered since. An attempt that breaks a rule together with the others is
//! not launched until enough of them have ended. One that its owner reports as not launched yet
//! is stopped, as far as those that are not being stopped break the rule; its task is placed
//! again.

use lemonweir_model::{JobId, Resources};
use lemonweir_protocol::peer::AttemptState;
use tracing::info;

use super::Placer;
use crate::gang_admission::ReleaseReason;
use crate::job::{CountedAttempts, Job, LiveAttempt, ZoneRule, ZoneUsage};

/// A rule between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaunchRule {
    /// The quota limit of the team.
    QuotaLimit,
    /// A rule for the zones of the job's tasks.
    Zones(ZoneRule),
}

/// The rules for launches of a job's attempts, given the attempts that count.
pub(super) struct LaunchRules<'a> {
    is_team_over_limit: bool,
    zones: Option<ZoneUsage<'a>>,
}

impl LaunchRules<'_> {
    /// The rule that an attempt breaks together with the others.
    pub(super) fn broken_by(&self, live: &LiveAttempt) -> Option<LaunchRule> {
        if self.is_team_over_limit {
            return Some(LaunchRule::QuotaLimit);
        }
        let rule = self.zones.as_ref()?.rule_broken_in(&live.zone)?;
        Some(LaunchRule::Zones(rule))
    }
}

impl Placer {
    /// The rules for launches of a job's attempts.
    pub(super) fn launch_rules<'a>(
        &self,
        job: &'a Job,
        counted: CountedAttempts,
    ) -> LaunchRules<'a> {
        let is_team_over_limit = self.teams_over_limit.contains(&job.team)
            && match counted {
                CountedAttempts::All => true,
                CountedAttempts::NotStopping => {
                    !self.is_within_limit(&job.team, &self.usage_without_stopping(&job.team))
                }
            };
        LaunchRules {
            is_team_over_limit,
            zones: job.zone_usage(counted),
        }
    }

    /// Stops an attempt, or the gang it belongs to, that its owner reports as accepted but not
    /// launched, if it breaks a rule together with the attempts that are not being stopped.
    pub(super) fn stop_unlaunched(&mut self, id: &JobId, task: u32, now: u64) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.is_stopping()) else {
            return;
        };
        let Some(live) = job
            .live
            .get(&task)
            .filter(|live| live.state == Some(AttemptState::Accepted))
        else {
            return;
        };
        let rules = self.launch_rules(job, CountedAttempts::NotStopping);
        let Some(rule) = rules.broken_by(live) else {
            return;
        };
        if job.is_gang() {
            let members = job.gang_members();
            // A member without a reported state may be running, so the gang is released only
            // when all members are reported and none is launched.
            if members.launched == 0 && members.granted == members.live {
                self.release_gang(id, ReleaseReason::RuleBroken, now);
            }
            return;
        }
        info!(
            job_id = %id,
            task,
            attempt = live.attempt,
            shard = self.shard,
            team = job.team,
            zone = live.zone,
            ?rule,
            "attempt stopped before its launch, which would break a rule"
        );
        self.stop_attempt(id, task, now);
    }

    fn stop_attempt(&mut self, id: &JobId, task: u32, now: u64) {
        if let Some(live) = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.live.get_mut(&task))
        {
            live.stop_grace_s.get_or_insert(0);
        }
        self.update_indexes(id, now);
    }
}

/// Quota limits.
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
