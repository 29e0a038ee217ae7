//! Handling of attempt state changes: tasks are requeued, results are attributed to the job
//! and the machine, and the rest of a gang is stopped when one of its tasks ends.

use std::collections::BTreeSet;

use lemonweir_model::constants::SUCCESS_AFTER_MS;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, MachineId};
use lemonweir_protocol::peer::{AttemptState, ExitCause};
use lemonweir_storage::records::GangAdmissionStep;
use tracing::{debug, info, warn};

use super::accounting::TaskKey;
use super::{Placer, ReplicaEvent};
use crate::job::{EndingAttempt, LiveAttempt};

/// ms that a job backs off after a worker refused to start a task, or its gang was
/// incomplete: until then the next heartbeats bring newer state.
const START_REFUSED_BACKOFF_MS: u64 = 500;
/// ms that a job backs off after an owner refused an attempt. The refusal carries the
/// owner's newest state, which the next pass uses. As long as the gap between two syncs, so
/// that concurrent placements of other controllers show as well. At six times this value,
/// with many controllers, most starts waited for nothing but this backoff.
const REFUSED_BACKOFF_MS: u64 = 40;
/// The same if the owner is reached only through the store, ms: its state is older then, and
/// each attempt is another write.
const REFUSED_VIA_STORE_BACKOFF_MS: u64 = 250;

impl Placer {
    /// Applies the state of an attempt as observed by the owner of `shard`.
    pub(super) fn apply_attempt_state(
        &mut self,
        id: &AttemptId,
        state: AttemptState,
        shard: u16,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(live) = job
            .live
            .get_mut(&id.task)
            .filter(|live| live.attempt == id.attempt && live.shard == shard)
        else {
            return;
        };
        if live.state == Some(state) {
            return;
        }
        debug!(attempt_id = %id, machine = %live.machine, ?state, "attempt state changed");
        let is_first_state = live.state.is_none();
        live.state = Some(state);
        let machine = live.machine.clone();
        if state == AttemptState::Running {
            self.replica_events.push(ReplicaEvent::Running {
                job: id.job.clone(),
                task: id.task,
                placed_here: live.placed_at > 0,
            });
            job.has_run = true;
        }
        if state.is_terminal() {
            self.apply_attempt_end(id, state, now);
            self.update_indexes(&id.job, now);
            return;
        }
        if is_first_state {
            // The machine's published usage may include this attempt only in a later
            // message. Until then the attempt is still counted separately, so that its
            // resources are not allocated twice.
            self.owner_channels[usize::from(shard)]
                .accepted_not_in_usage
                .entry(machine)
                .or_default()
                .push(TaskKey::new(&id.job, id.task));
        }
        if job.is_service() {
            self.services.mark_changed(&id.job);
        }
        self.changed_jobs.insert(id.job.clone());
        if job.admission.is_some() {
            self.gangs_to_evaluate.insert(id.job.clone());
        }
        if state == AttemptState::Accepted {
            self.stop_unlaunched(&id.job, id.task, now);
        }
    }

    /// Stops the attempts on a draining machine, with time for a checkpoint. A gang with a
    /// task there is stopped as a whole.
    pub(super) fn evict_machine(&mut self, machine: &MachineId, shard: u16, now: u64) {
        let ids: BTreeSet<JobId> = self
            .attempts_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .map(|key| key.job.clone())
            .collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_stopping()) else {
                continue;
            };
            let Some(grace_s) = job.spec().map(JobSpec::stop_grace_s) else {
                continue;
            };
            let is_gang = job.is_kind(JobKind::Gang);
            for live in job
                .live
                .values_mut()
                .filter(|live| is_gang || live.shard == shard && &live.machine == machine)
            {
                live.stop_grace_s.get_or_insert(grace_s);
            }
            self.update_indexes(&id, now);
        }
    }

    /// Applies the end of an attempt: requeues its task and handles the result.
    fn apply_attempt_end(&mut self, id: &AttemptId, state: AttemptState, now: u64) {
        let Some(live) = self.remove_attempt(&id.job, id.task) else {
            return;
        };
        self.log_attempt_end(id, state);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let recorded_by = job.mark_chunk_dirty(id.task);
        job.ending.push(EndingAttempt {
            id: id.clone(),
            machine: live.machine.clone(),
            shard: live.shard,
            recorded_by,
        });
        job.requeue_task(id.task);
        let is_service = job.is_service();
        if is_service {
            self.replica_events.push(ReplicaEvent::Lost {
                job: id.job.clone(),
                task: id.task,
            });
        }
        match state {
            AttemptState::Exited(ExitCause::Done) if !is_service => {
                self.apply_completion(id, &live, now);
                return;
            }
            AttemptState::Exited(ExitCause::Failed) => self.apply_failure(id, &live, now),
            AttemptState::Refused => self.back_off_refused(id, live.shard, now),
            AttemptState::Exited(
                ExitCause::InsufficientResources
                | ExitCause::TaskConflict
                | ExitCause::UnknownJob
                | ExitCause::GangIncomplete,
            ) => job.backoff_until = now + START_REFUSED_BACKOFF_MS,
            _ => {}
        }
        self.stop_rest_of_gang(&id.job, now);
    }

    fn log_attempt_end(&self, id: &AttemptId, state: AttemptState) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        info!(
            attempt = %id,
            shard = self.shard,
            ?state,
            team = job.team,
            team_usage = %self.usage_of(&job.team),
            "attempt end learned; its record is written later"
        );
    }

    /// Marks a task as done; for a gang, all of its tasks.
    fn apply_completion(&mut self, id: &AttemptId, live: &LiveAttempt, now: u64) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.consecutive_failures = 0;
            if job.is_kind(JobKind::Gang) {
                for task in 0..job.tasks {
                    job.complete_task(task);
                }
            } else {
                job.complete_task(id.task);
            }
        }
        let affected =
            self.fault_attribution
                .record_success(&id.job, &live.machine, live.placed_at);
        self.update_suspects(affected.jobs, now);
    }

    /// Backs off after an owner refused an attempt.
    ///
    /// The backoff is longer for an owner reached through the store: its state lags behind
    /// the placements of others, and early retries would be refused again and again.
    fn back_off_refused(&mut self, id: &AttemptId, shard: u16, now: u64) {
        let is_via_store = self
            .owner_channels
            .get(usize::from(shard))
            .is_some_and(|channel| channel.via_store);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.backoff_until = now
                + if is_via_store {
                    REFUSED_VIA_STORE_BACKOFF_MS
                } else {
                    REFUSED_BACKOFF_MS
                };
        }
    }

    /// Stops the remaining tasks of a gang, which can't go on without the one that ended. The
    /// gang is placed again once all of them have ended.
    fn stop_rest_of_gang(&mut self, id: &JobId, now: u64) {
        let time_of_day_ms = now + self.wall_clock_offset_ms;
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.is_kind(JobKind::Gang) && !job.is_stopping())
        else {
            return;
        };
        job.stop_all();
        if let Some(admission) = job
            .admission
            .as_mut()
            .filter(|admission| admission.step != GangAdmissionStep::Released)
        {
            // Nothing waits for this step, so it is written together with the attempts' ends.
            admission.advance(GangAdmissionStep::Released, time_of_day_ms);
        }
    }

    /// Attributes a failed attempt to its job or its machine, and backs off.
    fn apply_failure(&mut self, id: &AttemptId, live: &LiveAttempt, now: u64) {
        self.record_long_running_successes(&live.machine, &id.job, now);
        let affected = self
            .fault_attribution
            .record_failure(&id.job, &live.machine, now);
        self.update_suspects(affected.jobs, now);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let backoff_ms = job.record_failure(live.placed_at, now);
        warn!(
            attempt_id = %id,
            machine = %live.machine,
            consecutive_failures = job.consecutive_failures,
            suspect_on_machines = ?job.suspect,
            backoff_ms,
            "attempt failed"
        );
        job.avoid_machine(&live.machine);
        if backoff_ms > 0 {
            job.backoff_until = job.backoff_until.max(now + backoff_ms);
            job.pending_reason = "its tasks failed; it is tried again after a pause";
        }
    }

    /// Records a success for each attempt of another job that runs on a machine and was placed
    /// there by this placer at least twice [`SUCCESS_AFTER_MS`] ago: such attempts are evidence
    /// that the machine is healthy.
    fn record_long_running_successes(&mut self, machine: &MachineId, failed: &JobId, now: u64) {
        let long_running: Vec<(JobId, u64)> = self
            .attempts_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|key| key.job != *failed)
            .filter_map(|key| {
                let live = self.jobs.get(&key.job)?.live.get(&key.task)?;
                let is_long_running = live.state == Some(AttemptState::Running)
                    && live.placed_at > 0
                    && now >= live.placed_at + 2 * SUCCESS_AFTER_MS;
                is_long_running.then(|| (key.job.clone(), live.placed_at))
            })
            .collect();
        for (job, placed_at) in long_running {
            self.fault_attribution
                .record_success(&job, machine, placed_at);
        }
    }

    /// Updates which of these jobs are suspected of their failures.
    fn update_suspects(&mut self, jobs: BTreeSet<JobId>, now: u64) {
        for id in jobs {
            let suspect = self.fault_attribution.suspect_evidence(&id);
            let Some(job) = self.jobs.get_mut(&id).filter(|job| job.suspect != suspect) else {
                continue;
            };
            if job.suspect.is_none() {
                info!(job_id = %id, shard = self.shard, failed_machines = suspect, "job suspected of its failures; limited to one attempt at a time");
            } else if suspect.is_none() {
                info!(job_id = %id, shard = self.shard, "job no longer suspected of its failures");
                job.backoff_until = 0;
                self.placement_due = true;
            }
            job.suspect = suspect;
            self.update_indexes(&id, now);
        }
    }
}
