//! Progress of unfinished jobs, as known to this controller.

use crate::Core;
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;

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

impl Core {
    /// Progress of an unfinished job, from this controller's placers or as last sent by
    /// another controller's placer.
    pub fn job_progress(&self, id: &JobId, now: u64) -> JobProgressReport {
        let own = self
            .shards
            .values()
            .find_map(|shard| shard.placer.job_status(id, now));
        let unreachable = match own {
            Some(_) => None,
            None => self.unreachable_placer(id, now),
        };
        let (done, running, reason) = own
            .or_else(|| {
                let sent = self.peer_progress.get(id)?;
                let (done, running) = (u64::from(sent.tasks_done), u64::from(sent.tasks_running));
                Some((done, running, sent.wait_reason.clone()))
            })
            .unwrap_or_else(|| (0, 0, "its team's controller has not taken it up yet".into()));
        JobProgressReport {
            phase: if running > 0 {
                JobPhase::Running
            } else {
                JobPhase::Queued
            },
            done,
            running,
            reason: unreachable.unwrap_or(reason),
        }
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
