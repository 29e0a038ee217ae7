//! Progress of unfinished jobs, as far as this controller knows.

use crate::Core;
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;

/// Progress of an unfinished job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobProgressReport {
    /// [`JobPhase::Running`] if a task runs, else [`JobPhase::Queued`].
    pub phase: JobPhase,
    /// Tasks done.
    pub done: u64,
    /// Tasks running.
    pub running: u64,
    /// Why the job waits, in plain words for its user; empty if there is nothing to say.
    pub reason: String,
}

impl JobProgressReport {
    /// A job none of whose tasks has begun.
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
    /// Phase and counts of an unfinished job, from our own placers or from what another
    /// controller's placer sent last.
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

    /// Why this controller can't know a job's progress: nobody places for its team, or
    /// who does can't be reached.
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
