//! The proof of end: how far each attempt of a machine has come.

use super::*;

impl Owner {
    /// Re-judges all attempts of a machine.
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
        // Those who wait may have got their room from an end just found.
        for id in &ids {
            if self
                .attempts
                .get(id)
                .is_some_and(|h| matches!(h.stage, AttemptStage::AwaitingPreemption(_)))
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
        if matches!(tracked.stage, AttemptStage::Ended(_)) {
            return;
        }
        let machine = tracked.desired.machine.clone();
        let mut stage = self.next_stage(id, tracked, now);
        if tracked.stage == AttemptStage::Undecided
            && stage == AttemptStage::Ended(AttemptState::Refused)
            && self.preempt_for(id, now)
        {
            stage = AttemptStage::AwaitingPreemption(now);
        }
        let Some(tracked) = self.attempts.get(id) else {
            return;
        };
        let (image, mb, from, same) = (
            tracked.desired.image.clone(),
            tracked.desired.image_mb,
            tracked.from,
            stage == tracked.stage,
        );
        // A fetch that is given up leaves nothing: only a task that got past it
        // shows that the machine has the image.
        let past_fetch = |m: &Machine| {
            m.tasks.get(id).is_some_and(|t| {
                t.cause == Some(ExitCause::Done)
                    || !matches!(t.phase, TaskPhase::Fetching | TaskPhase::Exited)
            })
        };
        let fetches = |m: &Machine| {
            m.tasks
                .get(id)
                .is_some_and(|t| t.phase == TaskPhase::Fetching)
        };
        if let Some(m) = self.machines.get_mut(&machine) {
            if past_fetch(m) {
                let cache_mb = self
                    .image_cache_mb
                    .get(&m.kind)
                    .copied()
                    .unwrap_or(u64::MAX);
                m.remember_image(&image, mb, cache_mb);
            } else if fetches(m) && m.forget_image(&image) {
                info!(machine = %machine, shard = self.shard, image, "image was noted and is not there");
                self.changed_machines.insert(machine.clone());
            }
        }
        if self
            .machines
            .get(&machine)
            .and_then(|m| m.tasks.get(id))
            .is_some_and(|t| t.phase == TaskPhase::Running)
        {
            self.record_running(&machine, id, now);
        }
        if same {
            return;
        }
        if matches!(
            stage,
            AttemptStage::Accepted {
                sent: None,
                seen: false
            }
        ) {
            // Idle work is always there: it does not tell that the part is busy.
            if self
                .attempts
                .get(id)
                .is_some_and(|h| h.desired.rank != Priority::Low)
            {
                self.last_accepted_at = now;
            }
            // Guards against a whole array on a machine that is on trial.
            if let Some(quarantine) = self
                .machines
                .get_mut(&machine)
                .and_then(|m| m.quarantine.as_mut())
            {
                quarantine.trial_attempt = Some(id.clone());
                self.changed_machines.insert(machine.clone());
            }
        }
        if let AttemptStage::Ended(state) = stage {
            info!(attempt = %id, machine = %machine, shard = self.shard, ?state, "attempt is over");
            self.refused_placements += u64::from(state == AttemptState::Refused);
            self.record_outcome(&machine, id, state, now);
        }
        self.changed_placers.insert(from);
        if let Some(h) = self.attempts.get_mut(id) {
            h.stage = stage;
        }
    }

    pub(super) fn next_stage(
        &self,
        id: &AttemptId,
        tracked: &TrackedAttempt,
        now: u64,
    ) -> AttemptStage {
        if self.released_machines.contains(&tracked.desired.machine) {
            return AttemptStage::Ended(AttemptState::Gone);
        }
        let inherited = self
            .failure_detector
            .inherited_leases_expired(self.store_answer_at);
        let when = |over: bool| {
            if over {
                AttemptStage::Ended(AttemptState::Gone)
            } else {
                tracked.stage
            }
        };
        let Some(m) = self.machines.get(&tracked.desired.machine) else {
            return when(inherited);
        };
        // Nobody of ours ever spoke to it: what ran there was kept alive by
        // earlier owners, whose answers have all run out after a while. So have
        // ours to what may have been its reports.
        if m.last_heartbeat_at.is_none() {
            return when(
                inherited
                    && (m.incarnation.lease_from().is_none()
                        || m.lease_expired(self.store_answer_at, &self.timing)),
            );
        }
        if let Some(seen) = m.tasks.get(id) {
            return match seen.cause {
                Some(cause) => AttemptStage::Ended(AttemptState::Exited(cause)),
                None => AttemptStage::Accepted {
                    sent: Some(m.incarnation.session()),
                    seen: true,
                },
            };
        }
        // Absence proves something only once the worker has shown our token:
        // before that, an order of an earlier owner may still arrive.
        if !m.incarnation.is_confirmed() {
            return tracked.stage;
        }
        match tracked.stage {
            AttemptStage::Undecided if tracked.stop_grace_s().is_some() => {
                AttemptStage::Ended(AttemptState::Gone)
            }
            AttemptStage::Undecided => {
                let fits = m.is_schedulable()
                    && m.incarnation.session() > m.expired_session
                    && self
                        .free(&tracked.desired.machine)
                        .covers(&tracked.desired.need);
                if fits {
                    AttemptStage::Accepted {
                        sent: None,
                        seen: false,
                    }
                } else {
                    AttemptStage::Ended(AttemptState::Refused)
                }
            }
            AttemptStage::AwaitingPreemption(_) if tracked.stop_grace_s().is_some() => {
                AttemptStage::Ended(AttemptState::Gone)
            }
            AttemptStage::AwaitingPreemption(since) => {
                if !m.is_schedulable()
                    || m.incarnation.session() <= m.expired_session
                    || now > since + EVICT_WAIT_MS
                {
                    return AttemptStage::Ended(AttemptState::Refused);
                }
                // Its own claim is part of what is taken.
                let free = self.free_without(&tracked.desired.machine, id);
                if free.covers(&tracked.desired.need) {
                    AttemptStage::Accepted {
                        sent: None,
                        seen: false,
                    }
                } else {
                    tracked.stage
                }
            }
            AttemptStage::Accepted { sent: None, .. } if tracked.stop_grace_s().is_some() => {
                AttemptStage::Ended(AttemptState::Gone)
            }
            AttemptStage::Accepted { sent: None, .. }
                if m.lease_expired(self.store_answer_at, &self.timing) =>
            {
                AttemptStage::Ended(AttemptState::Gone)
            }
            // It would wait for a machine that hears nothing; nothing was sent.
            AttemptStage::Accepted { sent: None, .. }
                if m.incarnation.unreachable_since().is_some() =>
            {
                AttemptStage::Ended(AttemptState::Gone)
            }
            AttemptStage::Accepted {
                sent: Some(session),
                ..
            } if session < m.incarnation.session() => AttemptStage::Ended(AttemptState::Gone),
            // Guards against a start that a new life took which nobody has heard yet: its
            // lease began after our last answer, though before the call.
            AttemptStage::Accepted {
                sent: Some(session),
                seen,
            } if session <= m.expired_session => when(seen || m.unresolved_launch_at.is_none()),
            AttemptStage::Accepted {
                sent: Some(_),
                seen,
            } if m.calls_resolved() => {
                // Guards against a start order that arrives late: only a
                // machine with no order of unknown fate proves absence.
                if seen || tracked.stop_grace_s().is_some() {
                    AttemptStage::Ended(AttemptState::Gone)
                } else {
                    AttemptStage::Accepted {
                        sent: None,
                        seen: false,
                    }
                }
            }
            stage => stage,
        }
    }

    /// Notes what an attempt's end says of its job and its machine.
    pub(super) fn record_outcome(
        &mut self,
        machine: &MachineId,
        id: &AttemptId,
        state: AttemptState,
        now: u64,
    ) {
        let touched = match state {
            AttemptState::Exited(ExitCause::Error) => {
                self.fault_attribution
                    .record_failure(&id.job, machine, now)
                    .machines
            }
            AttemptState::Exited(ExitCause::Done) => {
                let since = self
                    .attempts
                    .get(id)
                    .and_then(|h| h.running_since)
                    .unwrap_or(now);
                self.fault_attribution
                    .record_success(&id.job, machine, since)
                    .machines
            }
            _ => BTreeSet::from([machine.clone()]),
        };
        let own_fault = state == AttemptState::Exited(ExitCause::Error)
            && self.fault_attribution.suspect_evidence(&id.job).is_none();
        if let Some(quarantine) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.quarantine.as_mut())
            && quarantine.trial_attempt.as_ref() == Some(id)
        {
            quarantine.trial_attempt = None;
            if own_fault {
                quarantine.record_failed_trial(now);
            }
        }
        self.update_quarantine(touched, now);
    }

    /// An attempt that has run for long went well, though it may never end.
    pub(super) fn record_running(&mut self, machine: &MachineId, id: &AttemptId, now: u64) {
        let Some(tracked) = self.attempts.get_mut(id) else {
            return;
        };
        let since = *tracked.running_since.get_or_insert(now);
        if tracked.success_recorded || now < since + WELL_AFTER_MS {
            return;
        }
        tracked.success_recorded = true;
        let touched = self
            .fault_attribution
            .record_success(&id.job, machine, since)
            .machines;
        self.update_quarantine(touched, now);
    }

    /// Sets machines aside, or takes them up again, as the evidence says.
    fn update_quarantine(&mut self, machines: BTreeSet<MachineId>, now: u64) {
        for id in machines {
            let verdict = self.fault_attribution.verdict(&id);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            match (&mut m.quarantine, verdict) {
                (None, FaultVerdict::Healthy) => continue,
                (Some(_), FaultVerdict::Healthy) => {
                    info!(machine = %id, shard = self.shard, "machine is taken up again");
                    m.quarantine = None;
                }
                (Some(quarantine), verdict) => {
                    quarantine.confirmed = verdict == FaultVerdict::Faulty
                }
                (None, verdict) => {
                    let jobs = self.fault_attribution.failed_jobs_on(&id);
                    warn!(machine = %id, shard = self.shard, ?verdict, ?jobs, "machine fails its tasks; set aside");
                    m.quarantine = Some(Quarantine::new(verdict == FaultVerdict::Faulty, now));
                }
            }
            self.changed_machines.insert(id);
        }
    }
}
