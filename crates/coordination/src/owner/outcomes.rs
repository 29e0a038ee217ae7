//! Outcomes of attempts, and the quarantine of machines that failures are attributed to.

use super::*;
use lemonweir_model::constants::SUCCESS_AFTER_MS;

impl Owner {
    /// Records the outcome of an ended attempt for its job and its machine.
    pub(super) fn record_outcome(
        &mut self,
        machine: &MachineId,
        id: &AttemptId,
        state: AttemptState,
        now: u64,
    ) {
        let affected = match state {
            AttemptState::Exited(ExitCause::Failed) => {
                self.fault_attribution
                    .record_failure(&id.job, machine, now)
                    .machines
            }
            AttemptState::Exited(ExitCause::Done) => {
                let since = self
                    .attempts
                    .get(id)
                    .and_then(|a| a.running_since)
                    .unwrap_or(now);
                self.fault_attribution
                    .record_success(&id.job, machine, since)
                    .machines
            }
            _ => BTreeSet::from([machine.clone()]),
        };
        let own_fault = state == AttemptState::Exited(ExitCause::Failed)
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
        self.update_quarantine(affected, now);
    }

    /// Counts an attempt as a success once it has run for [`SUCCESS_AFTER_MS`], since it may
    /// never end.
    pub(super) fn record_running(&mut self, machine: &MachineId, id: &AttemptId, now: u64) {
        let Some(tracked) = self.attempts.get_mut(id) else {
            return;
        };
        let since = *tracked.running_since.get_or_insert(now);
        if tracked.success_recorded || now < since + SUCCESS_AFTER_MS {
            return;
        }
        tracked.success_recorded = true;
        let affected = self
            .fault_attribution
            .record_success(&id.job, machine, since)
            .machines;
        self.update_quarantine(affected, now);
    }

    /// Quarantines machines or lifts their quarantine, by the failures attributed to them.
    fn update_quarantine(&mut self, machines: BTreeSet<MachineId>, now: u64) {
        for id in machines {
            let verdict = self.fault_attribution.verdict(&id);
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            match (&mut m.quarantine, verdict) {
                (None, FaultVerdict::Healthy) => continue,
                (Some(_), FaultVerdict::Healthy) => {
                    info!(machine = %id, shard = self.shard, "machine quarantine lifted");
                    m.quarantine = None;
                }
                (Some(quarantine), verdict) => {
                    quarantine.confirmed = verdict == FaultVerdict::Faulty;
                }
                (None, verdict) => {
                    let jobs = self.fault_attribution.failed_jobs_on(&id);
                    warn!(machine = %id, shard = self.shard, ?verdict, failed_jobs = ?jobs, "machine quarantined");
                    m.quarantine = Some(Quarantine::new(verdict == FaultVerdict::Faulty, now));
                }
            }
            self.changed_machines.insert(id);
        }
    }
}
