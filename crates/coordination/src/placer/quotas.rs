//! Quotas of the teams: limits, guaranteed quotas, and which attempts run beyond the
//! guaranteed quota.

use std::collections::BTreeMap;

use lemonweir_model::Resources;
use tracing::info;

use super::Placer;
use crate::team_usage::{TeamUsage, usage_by_team};

/// Quota limit of a team without a configured one.
pub(super) const NO_LIMIT: Resources = Resources {
    milli_cpus: u64::MAX,
    milli_gpus: u64::MAX,
    memory_mb: u64::MAX,
};

/// True if a usage is within a guaranteed quota. A quota with neither CPUs nor GPUs guarantees
/// nothing; if only one of them is zero, that one is not restricted.
pub(super) fn within_quota(used: &Resources, guaranteed: Option<&Resources>) -> bool {
    let Some(quota) = guaranteed.filter(|quota| quota.milli_cpus > 0 || quota.milli_gpus > 0)
    else {
        return false;
    };
    (quota.milli_cpus == 0 || used.milli_cpus <= quota.milli_cpus)
        && (quota.milli_gpus == 0 || used.milli_gpus <= quota.milli_gpus)
}

impl Placer {
    /// Quota limit of a team.
    pub(super) fn quota_limit(&self, team: &str) -> Resources {
        self.quota_limits.get(team).copied().unwrap_or(NO_LIMIT)
    }

    /// Resources used by a team's live attempts.
    pub(super) fn usage_of(&self, team: &str) -> Resources {
        self.team_usage.get(team).copied().unwrap_or_default()
    }

    /// Usage of each team by attempts that are not proven to have ended.
    pub(crate) fn usage_by_team(&self) -> BTreeMap<String, TeamUsage> {
        usage_by_team(self.jobs.values().flat_map(|job| {
            let attempts = job.live.values();
            attempts.map(|_| (job.team.as_str(), job.need))
        }))
    }

    /// Logs the usage of each team with a quota limit, after the task records were loaded.
    pub(crate) fn log_loaded_usage(&self) {
        for (team, TeamUsage { attempts, used }) in self.usage_by_team() {
            if let Some(limit) = self.quota_limits.get(&team) {
                info!(
                    shard = self.shard,
                    fencing_token = self.fencing_token,
                    team,
                    attempts,
                    team_usage = %used,
                    quota_limit = %limit,
                    "team usage loaded"
                );
            }
        }
    }

    /// Updates which attempts of a team run beyond its guaranteed quota. The quota is assigned
    /// to the highest priority first, then to the oldest job.
    pub(super) fn update_over_quota_flags(&mut self, team: &str) {
        // Without a guaranteed quota every attempt keeps its initial flag, beyond the quota.
        let Some(guaranteed) = self
            .guaranteed_quotas
            .get(team)
            .filter(|quota| quota.milli_cpus > 0 || quota.milli_gpus > 0)
        else {
            return;
        };
        let guaranteed = Some(guaranteed);
        let mut used = Resources::default();
        for key in self.running_by_team.get(team).into_iter().flatten() {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            // Fast path: most jobs remain entirely within or entirely beyond the quota.
            let used_with_job = used.plus(&job.need.times(job.live.len() as u64));
            let uniform = if within_quota(&used_with_job, guaranteed) {
                Some(false)
            } else {
                (!within_quota(&used.plus(&job.need), guaranteed)).then_some(true)
            };
            if uniform.is_some() && uniform == job.uniform_over_quota {
                used = used_with_job;
                continue;
            }
            job.uniform_over_quota = uniform;
            for live in job.live.values_mut() {
                used = used.plus(&job.need);
                let over_quota = !within_quota(&used, guaranteed);
                if live.over_quota != over_quota {
                    live.over_quota = over_quota;
                    self.changed_jobs.insert(key.job.clone());
                }
            }
        }
    }
}
