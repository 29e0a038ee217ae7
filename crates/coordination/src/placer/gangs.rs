//! What this placer's gangs still need: the next steps in the admission ledger.

use super::*;
use crate::gang_admission::{GangVerdict, ReleaseReason, verdict};
use lemonweir_storage::records::GangAdmissionStep;

impl Placer {
    /// Takes the next steps of gangs that something happened to, or whose time has
    /// come. `wall_offset_ms`: the time of day at the steady clock's zero.
    pub fn keep_ledger(&mut self, now: u64, wall_offset_ms: u64) {
        self.wall_offset_ms = wall_offset_ms;
        while let Some((at, id)) = self
            .gang_times
            .first()
            .filter(|(at, _)| now >= *at)
            .cloned()
        {
            self.gang_times.remove(&(at, id.clone()));
            self.gangs.insert(id);
        }
        for id in std::mem::take(&mut self.gangs) {
            self.look_at_gang(&id, now);
        }
    }

    fn look_at_gang(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.gang() && !j.stopping()) else {
            return;
        };
        if job.live.is_empty() {
            job.admission = None;
            return;
        }
        let unwritten = job.step_unwritten();
        let Some(admission) = job.admission.as_mut() else {
            return;
        };
        if !unwritten && admission.since.is_none() {
            admission.since = Some(now);
        }
        let (admission, members) = (admission.clone(), job.members());
        match verdict(&admission, &members, self.gang_wait_ms, now) {
            GangVerdict::Admit => {
                job.go_on(GangAdmissionStep::Admitted, now + self.wall_offset_ms);
                self.settle(id, now);
            }
            GangVerdict::Release(why) => self.release_gang(id, why, now),
            GangVerdict::Wait(Some(at)) => drop(self.gang_times.insert((at, id.clone()))),
            GangVerdict::Wait(None) => {}
        }
    }

    /// Gives back all of a gang, by one decision that is recorded: what was launched
    /// is stopped, what was granted is free again. Its next attempt begins once the
    /// end of each member is proven.
    fn release_gang(&mut self, id: &JobId, why: ReleaseReason, now: u64) {
        let wall = now + self.wall_offset_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let late: Vec<MachineId> = job
            .live
            .values()
            .filter(|l| !matches!(l.standing, Some(s) if !s.is_terminal()))
            .map(|l| l.machine.clone())
            .collect();
        info!(job = %id, shard = self.shard, ?why, live = job.live.len(), late = late.len(), "gang is released");
        job.go_on(GangAdmissionStep::Released, wall);
        job.stop_all();
        // Guards against asking at once the same owner again that nothing is heard of.
        job.late = late;
        self.settle(id, now);
    }

    /// Gangs that stand at a step which is not written yet go first: their owners
    /// hold room for them that nobody can use.
    pub(super) fn ledger_first(job: &Job) -> bool {
        !job.stopping()
            && job.step_unwritten()
            && job
                .admission
                .as_ref()
                .is_some_and(|a| a.step != GangAdmissionStep::Planned)
    }
}
