//! Progress of unfinished jobs, as known to this controller.

use crate::Core;
use lemonweir_model::JobId;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::last_progress::LastPhase;

/// Why the progress of an unfinished job can't be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProgressGap {
    /// This process stalled, and its workers may not have sent heartbeats since.
    Stalled,
    /// This controller leads the job's shard, and does not know whether attempts that an earlier
    /// leader launched run.
    InheritedAttempts,
    /// The leader of the job's shard says that it does not know it.
    UnknownToLeader,
    /// No controller leads the job's shard.
    NoLeader,
    /// Nothing was received from the leader of the job's shard.
    NeverReceived,
    /// What was last received from it is too old to be told.
    Outdated,
}

/// What this controller has of the progress of a job that it can't tell, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressGapReport {
    /// Shard of the job's team.
    pub shard: u16,
    /// Host that leads the shard, as known to this controller; empty if none does.
    pub leader: String,
    /// Fencing token of the leader; 0 if there is none.
    pub fencing_token: u64,
    /// Age of the newest progress of the shard from this leader, ms; for the leader itself, time since
    /// it acquired the shard.
    pub age_ms: Option<u64>,
    /// True if the leader can't be asked directly.
    pub pull_failed: bool,
}

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
    /// Age of this progress, ms, if nothing newer can be had; `None`: it is current.
    pub last_known_ms_ago: Option<u64>,
}

impl JobProgressReport {
    /// Progress of a job of which no task has started.
    pub fn queued(reason: String) -> Self {
        Self {
            phase: JobPhase::Queued,
            done: 0,
            running: 0,
            reason,
            last_known_ms_ago: None,
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
        last_known_ms_ago: None,
    }
}

impl Core {
    /// Progress of an unfinished job, from this controller's placers or as last received from
    /// another controller's placer; as it was last known, if it isn't now.
    ///
    /// # Errors
    ///
    /// Returns the reason if a task may have begun to run since it was last known.
    pub fn job_progress(&self, id: &JobId, now: u64) -> Result<JobProgressReport, ProgressGap> {
        self.current_progress(id, now)
            .or_else(|gap| self.last_known_progress(id, gap, now).ok_or(gap))
    }

    /// Why the current progress of an unfinished job is not known; `None`: it is.
    pub fn progress_gap(&self, id: &JobId, now: u64) -> Option<ProgressGap> {
        self.cache.jobs.get(id)?;
        self.current_progress(id, now).err()
    }

    fn last_known_progress(
        &self,
        id: &JobId,
        gap: ProgressGap,
        now: u64,
    ) -> Option<JobProgressReport> {
        let shard = self.job_shard(id)?;
        let inherited = matches!(
            gap,
            ProgressGap::InheritedAttempts | ProgressGap::UnknownToLeader
        );
        let (last, age_ms) = self.last_known(shard, id, inherited, now)?;
        let running = match last.phase {
            LastPhase::Running(running) => running,
            LastPhase::Queued | LastPhase::MayRun => 0,
        };
        let why = match gap {
            ProgressGap::Stalled => "this controller has just resumed after a stall".into(),
            ProgressGap::InheritedAttempts | ProgressGap::UnknownToLeader => {
                "the machines of its tasks have not been heard from since".into()
            }
            ProgressGap::NoLeader | ProgressGap::NeverReceived | ProgressGap::Outdated => self
                .unreachable_placer(id, now)
                .unwrap_or_else(|| "its team's controller has not been heard from since".into()),
        };
        let reason = format!("last known {} s ago; {why}", age_ms / 1_000);
        Some(JobProgressReport {
            last_known_ms_ago: Some(age_ms),
            ..report(u64::from(last.tasks_done), u64::from(running), reason)
        })
    }

    fn current_progress(&self, id: &JobId, now: u64) -> Result<JobProgressReport, ProgressGap> {
        let own = self
            .shards
            .values()
            .find_map(|shard| shard.placer.job_status(id, now));
        if let Some(status) = own {
            if self.own_progress_outdated(now) {
                return Err(ProgressGap::Stalled);
            }
            if !status.known {
                return Err(ProgressGap::InheritedAttempts);
            }
            return Ok(report(status.done, status.running, status.reason));
        }
        let shard = self.job_shard(id).ok_or(ProgressGap::NeverReceived)?;
        if self.shards.contains_key(&shard) {
            return Ok(JobProgressReport::queued(NOT_TAKEN_UP.into()));
        }
        let leader = self
            .cache
            .shard_leaders
            .get(&shard)
            .ok_or(ProgressGap::NoLeader)?;
        let told = self
            .peer_progress
            .query(shard, leader.fencing_token, id, now)?;
        let reason = self
            .unreachable_placer(id, now)
            .or(told.reason)
            .unwrap_or_else(|| NOT_TAKEN_UP.into());
        Ok(report(told.done, told.running, reason))
    }

    /// The shard whose placer runs an unfinished job; `None`: the job is not in the cache.
    fn job_shard(&self, id: &JobId) -> Option<u16> {
        let team = &self.cache.jobs.get(id)?.record.spec.team;
        Some(Self::team_shard(&self.cache, &self.config, team))
    }

    /// What this controller has of the progress of an unfinished job, for the log.
    pub fn progress_gap_report(&self, id: &JobId, now: u64) -> Option<ProgressGapReport> {
        let shard = self.job_shard(id)?;
        let leader = self.cache.shard_leaders.get(&shard);
        let fencing_token = leader.map_or(0, |leader| leader.fencing_token);
        let age_ms = match self.shards.get(&shard) {
            Some(led) => Some(now.saturating_sub(led.placer.started_at())),
            None => self.peer_progress.age_ms(shard, fencing_token, now),
        };
        Some(ProgressGapReport {
            shard,
            leader: leader.map_or_else(String::new, |leader| leader.host.clone()),
            fencing_token,
            age_ms,
            pull_failed: self.peer_progress.relies_on_store(shard),
        })
    }

    /// Why this controller can't know the progress of a job: no controller places jobs of its
    /// team, or the one that does is unreachable. `None` if neither is the case, or if the job
    /// is not in the cache.
    fn unreachable_placer(&self, id: &JobId, now: u64) -> Option<String> {
        let team = &self.cache.jobs.get(id)?.record.spec.team;
        let shard = self.job_shard(id)?;
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
