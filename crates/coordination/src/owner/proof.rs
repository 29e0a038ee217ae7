//! Evaluation of attempts: their stage, and the proof that they have ended.

use super::*;
use lemonweir_model::constants::PREEMPTION_TIMEOUT_MS;

impl Owner {
    /// Reevaluates all attempts of a machine.
    pub(super) fn reevaluate(&mut self, machine: &MachineId, now: u64) {
        self.mark_changed(machine);
        let ids: Vec<AttemptId> = self
            .attempts_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .cloned()
            .collect();
        for id in &ids {
            self.reevaluate_attempt(id, now);
        }
        // An attempt found to have ended may have freed the resources for waiting attempts.
        for id in &ids {
            if self
                .attempts
                .get(id)
                .is_some_and(|a| matches!(a.stage, AttemptStage::AwaitingPreemption(_)))
            {
                self.reevaluate_attempt(id, now);
            }
        }
        self.update_idle(machine, now);
    }

    pub(super) fn reevaluate_attempt(&mut self, id: &AttemptId, now: u64) {
        let Some(tracked) = self.attempts.get(id) else {
            return;
        };
        let before = tracked.stage;
        if matches!(before, AttemptStage::Ended(_)) {
            return;
        }
        let machine = tracked.desired.machine.clone();
        let mut stage = self.next_stage(id, tracked, now);
        if before == AttemptStage::Undecided
            && stage == AttemptStage::Ended(AttemptState::Refused)
            && self.preempt_for(id, now)
        {
            stage = AttemptStage::AwaitingPreemption(now);
        }
        self.update_image_cache(&machine, id);
        if self.reported_phase(&machine, id) == Some(TaskPhase::Running) {
            self.record_running(&machine, id, now);
        }
        if stage != before {
            self.enter_stage(&machine, id, stage, now);
        }
        self.record_launch_due(&machine, id, now);
    }

    fn record_launch_due(&mut self, machine: &MachineId, id: &AttemptId, now: u64) {
        if let (Some(m), Some(tracked)) = (self.machines.get(machine), self.attempts.get_mut(id))
            && tracked.awaits_launch(id, m)
        {
            tracked.launch_due_since.get_or_insert(now);
        }
    }

    fn reported_phase(&self, machine: &MachineId, id: &AttemptId) -> Option<TaskPhase> {
        let task = self.machines.get(machine)?.tasks.get(id)?;
        Some(task.phase)
    }

    /// Updates the record of the machine's image cache from an attempt's task. An aborted
    /// pull leaves no image behind: only a task that got past its pull shows that the image is
    /// in the cache.
    fn update_image_cache(&mut self, machine: &MachineId, id: &AttemptId) {
        let (Some(tracked), Some(m)) = (self.attempts.get(id), self.machines.get_mut(machine))
        else {
            return;
        };
        let Some(task) = m.tasks.get(id) else {
            return;
        };
        let image = &tracked.desired.image;
        let past_fetch = task.cause == Some(ExitCause::Done)
            || !matches!(task.phase, TaskPhase::PullingImage | TaskPhase::Exited);
        if past_fetch {
            let cache_mb = self.catalog.image_cache_mb(&m.machine_type);
            m.remember_image(image, tracked.desired.image_mb, cache_mb);
        } else if task.phase == TaskPhase::PullingImage && m.forget_image(image) {
            info!(machine = %machine, shard = self.shard, image, "image missing from the machine's cache");
            self.changed_machines.insert(machine.clone());
        }
    }

    fn enter_stage(&mut self, machine: &MachineId, id: &AttemptId, stage: AttemptStage, now: u64) {
        if stage == AttemptStage::NOT_LAUNCHED {
            self.record_accepted(machine, id, now);
        }
        if let AttemptStage::Ended(state) = stage {
            info!(attempt = %id, machine = %machine, shard = self.shard, ?state, "attempt ended");
            self.placement_counts.refused += u64::from(state == AttemptState::Refused);
            self.record_outcome(machine, id, state, now);
        }
        if let Some(tracked) = self.attempts.get_mut(id) {
            self.changed_placers.insert(tracked.placer);
            tracked.stage = stage;
        }
    }

    fn record_accepted(&mut self, machine: &MachineId, id: &AttemptId, now: u64) {
        // Low-priority work is always waiting: starting it does not indicate demand.
        if self
            .attempts
            .get(id)
            .is_some_and(|a| a.desired.priority != Priority::Low)
        {
            self.last_accepted_at = now;
        }
        // A quarantined machine takes one attempt as its trial, not a whole array.
        if let Some(quarantine) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.quarantine.as_mut())
        {
            quarantine.trial_attempt = Some(id.clone());
            self.changed_machines.insert(machine.clone());
        }
    }

    /// Determines the present stage of an attempt from the newest status of its machine.
    fn next_stage(&self, id: &AttemptId, tracked: &TrackedAttempt, now: u64) -> AttemptStage {
        if self.released_machines.contains(&tracked.desired.machine) {
            return AttemptStage::Ended(AttemptState::Gone);
        }
        let Some(m) = self
            .machines
            .get(&tracked.desired.machine)
            .filter(|m| m.last_heartbeat_at.is_some())
        else {
            return self.stage_without_heartbeat(tracked);
        };
        if let Some(task) = m.tasks.get(id) {
            return match task.cause {
                Some(cause) => AttemptStage::Ended(AttemptState::Exited(cause)),
                None => AttemptStage::Accepted {
                    launched_in: Some(m.incarnation.session()),
                    reported: true,
                },
            };
        }
        // Absence from the heartbeat proves nothing until the worker has shown our token:
        // before that, a command of an earlier owner may still arrive.
        if !m.incarnation.is_confirmed() {
            return tracked.stage;
        }
        let stopping = tracked.stop_grace_s().is_some();
        match tracked.stage {
            AttemptStage::Undecided | AttemptStage::AwaitingPreemption(_) if stopping => {
                AttemptStage::Ended(AttemptState::Gone)
            }
            AttemptStage::Undecided => self.admit(tracked, m),
            AttemptStage::AwaitingPreemption(since) => {
                self.admit_after_preemption(id, tracked, m, since, now)
            }
            AttemptStage::Accepted {
                launched_in: None, ..
            } => self.stage_before_launch(tracked, m),
            AttemptStage::Accepted {
                launched_in: Some(session),
                reported,
            } => stage_of_missing_task(tracked, m, session, reported),
            stage @ AttemptStage::Ended(_) => stage,
        }
    }

    /// Stage of an attempt on a machine without a current heartbeat to this owner. It has
    /// ended once all leases that earlier owners could renew must have expired, and so must
    /// those that our replies to unverified heartbeats may have renewed.
    fn stage_without_heartbeat(&self, tracked: &TrackedAttempt) -> AttemptStage {
        let inherited_leases_expired = self
            .failure_detector
            .inherited_leases_expired(self.store_answer_at);
        let own_lease_expired = self.machines.get(&tracked.desired.machine).is_none_or(|m| {
            m.incarnation.lease_from().is_none()
                || m.lease_expired(self.store_answer_at, &self.timing)
        });
        if inherited_leases_expired && own_lease_expired {
            AttemptStage::Ended(AttemptState::Gone)
        } else {
            tracked.stage
        }
    }

    fn admit(&self, tracked: &TrackedAttempt, m: &Machine) -> AttemptStage {
        let fits = m.is_schedulable()
            && m.incarnation.session() > m.expired_session
            && self
                .free(&tracked.desired.machine)
                .covers(&tracked.desired.resources);
        if fits {
            AttemptStage::NOT_LAUNCHED
        } else {
            AttemptStage::Ended(AttemptState::Refused)
        }
    }

    fn admit_after_preemption(
        &self,
        id: &AttemptId,
        tracked: &TrackedAttempt,
        m: &Machine,
        since: u64,
        now: u64,
    ) -> AttemptStage {
        if !m.is_schedulable()
            || m.incarnation.session() <= m.expired_session
            || now > since + PREEMPTION_TIMEOUT_MS
        {
            return AttemptStage::Ended(AttemptState::Refused);
        }
        // Its own reservation must not count against it.
        let free = self.free_excluding(&tracked.desired.machine, id);
        if free.covers(&tracked.desired.resources) {
            AttemptStage::NOT_LAUNCHED
        } else {
            tracked.stage
        }
    }

    /// Stage of an accepted attempt that was not launched. It ends at once if it is to stop,
    /// or if its machine can't run it: the lease has expired, or no reply reaches the worker.
    fn stage_before_launch(&self, tracked: &TrackedAttempt, m: &Machine) -> AttemptStage {
        if tracked.stop_grace_s().is_some()
            || m.lease_expired(self.store_answer_at, &self.timing)
            || m.incarnation.unreachable_since().is_some()
        {
            AttemptStage::Ended(AttemptState::Gone)
        } else {
            tracked.stage
        }
    }
}

/// Stage of an attempt that was launched in `session` and is missing from the newest
/// heartbeat.
fn stage_of_missing_task(
    tracked: &TrackedAttempt,
    m: &Machine,
    session: u64,
    reported: bool,
) -> AttemptStage {
    if session < m.incarnation.session() {
        return AttemptStage::Ended(AttemptState::Gone);
    }
    if session <= m.expired_session {
        return AttemptStage::Ended(AttemptState::Gone);
    }
    // The worker may still wait for the reply that carried the launch.
    if m.launches_in_response_to.is_some() {
        return tracked.stage;
    }
    if reported || tracked.stop_grace_s().is_some() {
        AttemptStage::Ended(AttemptState::Gone)
    } else {
        AttemptStage::NOT_LAUNCHED
    }
}
