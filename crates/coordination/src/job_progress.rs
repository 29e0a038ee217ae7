//! Progress of unfinished jobs, as known to this controller.

use crate::Core;
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;

/// Why a job waits that its placer does not know yet.
const NOT_TAKEN_UP: &str = "its team's controller has not taken it up yet";

/// Progress of an unfinished job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobProgressReport {
    /// [`JobPhase::Running`] if a task runs, else [`JobPhase::Queued`].
    pub phase: JobPhase,
    /// Number of tasks done.
    pub done: u64,
    /// Number of tasks running.
    pub running: u64,
    /// Why the job waits, as shown to users; empty if there is no reason to report.
    pub reason: String,
}

impl JobProgressReport {
    /// Progress of a job of which no task has started.
    pub fn queued(reason: String) -> Self {
        Self {
            phase: JobPhase::Queued,
            done: 0,
            running: 0,
            reason,
        }
    }
}

fn report(done: u64, running: u64, reason: String) -> JobProgressReport {
    JobProgressReport {
        phase: if running > 0 {
            JobPhase::Running
        } else {
            JobPhase::Queued
        },
        done,
        running,
        reason,
    }
}

impl Core {
    /// Progress of an unfinished job, from this controller's placers or as last received from
    /// another controller's placer. `None` if what is known is too old to be told.
    pub fn job_progress(&self, id: &JobId, now: u64) -> Option<JobProgressReport> {
        let own = self
            .shards
            .values()
            .find_map(|shard| shard.placer.job_status(id, now));
        if let Some(status) = own {
            let known = status.known && !self.own_progress_outdated(now);
            return known.then(|| report(status.done, status.running, status.reason));
        }
        let team = &self.cache.jobs.get(id)?.record.spec.team;
        let shard = Self::team_shard(&self.cache, &self.config, team);
        if self.shards.contains_key(&shard) {
            return Some(JobProgressReport::queued(NOT_TAKEN_UP.into()));
        }
        let leader = self.cache.shard_leaders.get(&shard)?;
        let told = self
            .peer_progress
            .query(shard, leader.fencing_token, id, now)?;
        let reason = self
            .unreachable_placer(id, now)
            .or(told.reason)
            .unwrap_or_else(|| NOT_TAKEN_UP.into());
        Some(report(told.done, told.running, reason))
    }

    /// Why this controller can't know the progress of a job: no controller places jobs of its
    /// team, or the one that does is unreachable. `None` if neither is the case, or if the job
    /// is not in the cache.
    fn unreachable_placer(&self, id: &JobId, now: u64) -> Option<String> {
        let team = &self.cache.jobs.get(id)?.record.spec.team;
        let shard = Self::team_shard(&self.cache, &self.config, team);
        let Some(leader) = self.cache.shard_leaders.get(&shard) else {
            return Some(format!(
                "no controller places for {team}; another takes over within seconds"
            ));
        };
        let since = self.links.unreachable_since(&leader.host)?;
        Some(format!(
            "{}, which places for {team}, can't be reached from here since {} s",
            leader.host,
            now.saturating_sub(since) / 1_000
        ))
    }
}
