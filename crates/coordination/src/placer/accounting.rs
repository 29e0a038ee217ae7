//! Accounting of live attempts by team and machine, including attempts that the machines'
//! published usage does not include yet and tentative reservations of a search.

use lemonweir_model::{JobId, MachineId};

use super::Placer;
use crate::job::LiveAttempt;

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskKey {
    pub(super) job: JobId,
    pub(super) task: u32,
}

impl TaskKey {
    pub(super) fn new(job: &JobId, task: u32) -> Self {
        Self {
            job: job.clone(),
            task,
        }
    }

    fn matches(&self, job: &JobId, task: u32) -> bool {
        self.job == *job && self.task == task
    }
}

/// Position of a machine in the placement indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SlotRef {
    pub(super) shard: usize,
    pub(super) slot: usize,
}

/// A machine with a reservation that is reverted after a search.
pub(super) struct TentativeUse {
    pub(super) machine: MachineId,
    shard: u16,
}

impl Placer {
    /// Adds a live attempt to its job and to the usage of its team and machine.
    pub(super) fn add_attempt(&mut self, id: &JobId, task: u32, live: LiveAttempt) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let used = self.team_usage.entry(job.team.clone()).or_default();
        *used = used.plus(&job.need);
        self.attempts_by_machine
            .entry(live.machine.clone())
            .or_default()
            .insert(TaskKey::new(id, task));
        self.unobserved_attempts
            .entry(live.machine.clone())
            .or_default()
            .insert(TaskKey::new(id, task));
        self.quota_dirty_teams.insert(job.team.clone());
        // A new attempt counts as beyond the guaranteed quota until the flags are updated.
        job.uniform_over_quota = job.uniform_over_quota.filter(|&over| over);
        job.live.insert(task, live);
    }

    /// Removes a live attempt from its job and from the usage of its team and machine.
    pub(super) fn remove_attempt(&mut self, id: &JobId, task: u32) -> Option<LiveAttempt> {
        let job = self.jobs.get_mut(id)?;
        let live = job.live.remove(&task)?;
        let used = self.team_usage.entry(job.team.clone()).or_default();
        *used = used.minus(&job.need);
        let team = job.team.clone();
        self.quota_dirty_teams.insert(team.clone());
        self.end_launch_hold(&team);
        if let Some(attempts) = self.attempts_by_machine.get_mut(&live.machine) {
            attempts.remove(&TaskKey::new(id, task));
            if attempts.is_empty() {
                self.attempts_by_machine.remove(&live.machine);
            }
        }
        self.remove_unobserved(&live.machine, live.shard, id, task);
        Some(live)
    }

    /// Removes an attempt from those that the machine's published usage does not include
    /// yet, and recomputes the machine's free resources.
    fn remove_unobserved(&mut self, machine: &MachineId, shard: u16, id: &JobId, task: u32) {
        if let Some(accepted_not_in_usage) = self
            .owner_channels
            .get_mut(usize::from(shard))
            .and_then(|channel| channel.accepted_not_in_usage.get_mut(machine))
        {
            accepted_not_in_usage.retain(|key| !key.matches(id, task));
        }
        let Some(unobserved) = self.unobserved_attempts.get_mut(machine) else {
            return;
        };
        if unobserved.remove(&TaskKey::new(id, task)) {
            if unobserved.is_empty() {
                self.unobserved_attempts.remove(machine);
            }
            self.refresh_usage(machine, shard);
        }
    }

    /// Handles new usage published for a machine: it includes the attempts that the owner
    /// had accepted, so they are no longer added to it.
    pub(super) fn apply_machine_usage(&mut self, machine: &MachineId, shard: u16) {
        let counted = self.owner_channels[usize::from(shard)]
            .accepted_not_in_usage
            .remove(machine)
            .unwrap_or_default();
        if let Some(unobserved) = self.unobserved_attempts.get_mut(machine) {
            unobserved.retain(|attempt| !counted.contains(attempt));
            if unobserved.is_empty() {
                self.unobserved_attempts.remove(machine);
            }
        }
        self.refresh_usage(machine, shard);
    }

    /// Recomputes a machine's free resources: those that its owner published, less the
    /// attempts that the published usage does not include yet.
    pub(super) fn refresh_usage(&mut self, machine: &MachineId, shard: u16) {
        let Some(index) = self.indexes.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(slot) = index.position(machine) else {
            return;
        };
        index.revert_reservations(slot);
        for key in self.unobserved_attempts.get(machine).into_iter().flatten() {
            if let Some(job) = self.jobs.get(&key.job) {
                index.reserve(slot, &job.need, job.spec().map_or("", |s| s.image.as_str()));
                if job.is_service() {
                    index.mark_long_running(slot);
                }
            }
        }
    }

    /// Handle with which [`Placer::release_tentative`] reverts reservations on this machine.
    pub(super) fn tentative_use(&self, place: SlotRef) -> TentativeUse {
        TentativeUse {
            machine: self.indexes[place.shard].slots[place.slot].id.clone(),
            shard: place.shard as u16,
        }
    }

    /// Reverts the tentative reservations on these machines.
    pub(super) fn release_tentative(&mut self, uses: impl IntoIterator<Item = TentativeUse>) {
        for TentativeUse { machine, shard } in uses {
            self.refresh_usage(&machine, shard);
        }
    }
}
