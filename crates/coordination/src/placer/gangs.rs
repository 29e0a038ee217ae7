//! Admission of gangs: advances each to its next step, or releases it.

use lemonweir_model::{JobId, MachineId};
use lemonweir_storage::records::GangAdmissionStep;
use tracing::info;

use super::Placer;
use crate::gang_admission::{GangDecision, ReleaseReason, decide};
use crate::job::Job;

impl Placer {
    /// Evaluates gangs with events since the last call or an expired deadline.
    /// `wall_clock_offset_ms` is the time of day at zero of the monotonic clock.
    pub fn advance_gang_admissions(&mut self, now: u64, wall_clock_offset_ms: u64) {
        self.wall_clock_offset_ms = wall_clock_offset_ms;
        while let Some((at, id)) = self
            .gang_deadlines
            .first()
            .filter(|(at, _)| now >= *at)
            .cloned()
        {
            self.gang_deadlines.remove(&(at, id.clone()));
            self.gangs_to_evaluate.insert(id);
        }
        for id in std::mem::take(&mut self.gangs_to_evaluate) {
            self.evaluate_gang(&id, now);
        }
    }

    fn evaluate_gang(&mut self, id: &JobId, now: u64) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.is_gang() && !job.is_stopping())
        else {
            return;
        };
        if job.live.is_empty() {
            job.admission = None;
            return;
        }
        let has_unwritten_step = job.has_unwritten_step();
        let Some(admission) = job.admission.as_mut() else {
            return;
        };
        if !has_unwritten_step && admission.since.is_none() {
            admission.since = Some(now);
        }
        let (admission, members) = (admission.clone(), job.gang_members());
        match decide(&admission, &members, self.gang_wait_ms, now) {
            GangDecision::Admit => {
                job.advance_admission(GangAdmissionStep::Admitted, now + self.wall_clock_offset_ms);
                self.update_indexes(id, now);
            }
            GangDecision::Release(reason) => self.release_gang(id, reason, now),
            GangDecision::Wait(Some(at)) => drop(self.gang_deadlines.insert((at, id.clone()))),
            GangDecision::Wait(None) => {}
        }
    }

    /// Releases a gang as a whole and records the decision: launched members are stopped, and
    /// granted resources are freed. The gang is placed again once every member is proven to
    /// have ended.
    pub(super) fn release_gang(&mut self, id: &JobId, reason: ReleaseReason, now: u64) {
        let time_of_day_ms = now + self.wall_clock_offset_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let unresponsive: Vec<MachineId> = job
            .live
            .values()
            .filter(|live| !matches!(live.state, Some(state) if !state.is_terminal()))
            .map(|live| live.machine.clone())
            .collect();
        info!(
            job_id = %id,
            shard = self.shard,
            ?reason,
            live_attempts = job.live.len(),
            unresponsive_machines = unresponsive.len(),
            "gang released"
        );
        job.advance_admission(GangAdmissionStep::Released, time_of_day_ms);
        job.stop_all();
        // The next attempt avoids these machines, so that it does not immediately wait for the
        // same unresponsive owner again.
        job.unresponsive_machines = unresponsive;
        self.update_indexes(id, now);
    }

    /// True if a gang has an unwritten step after planning. Such steps are written first,
    /// because owners hold resources for the gang that nothing can use meanwhile.
    pub(super) fn has_urgent_admission_step(job: &Job) -> bool {
        !job.is_stopping()
            && job.has_unwritten_step()
            && job
                .admission
                .as_ref()
                .is_some_and(|admission| admission.step != GangAdmissionStep::Planned)
    }
}
