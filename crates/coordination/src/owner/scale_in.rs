//! Scale-in: selection of surplus idle machines, and the release of machines.

use super::*;

/// Maximum number of machines in a release request, as the cloud protocol specifies.
const RELEASE_REQUEST_MAX_MACHINES: usize = 100;
/// Number of idle machines of a shard that are kept for the usual time, in a small fleet.
const HEADROOM_MIN_MACHINES: usize = 4;
/// In a larger fleet, one idle machine per this many machines is kept for the usual time.
/// The others are kept as briefly as while demand is low.
const HEADROOM_FLEET_SHARE: usize = 25;

/// Returns true if a machine is to be released as soon as it is idle.
pub(super) fn should_release_once_idle(m: &Machine) -> bool {
    m.termination_notice
        || m.quarantine
            .as_ref()
            .is_some_and(Quarantine::is_unrecoverable)
}

impl Owner {
    /// Returns the idle machines beyond the headroom that a fleet of this size needs, those
    /// idle for longest first: in a large fleet some machines are idle all the time, and few
    /// of them are used again. Machines with the last copy of a service image are the last
    /// to count as surplus.
    pub(super) fn surplus_idle_machines(&self) -> HashSet<MachineId> {
        let last_copy = |id: &MachineId| self.service_images.has_last_copy(id);
        let mut idle: Vec<(bool, u64, &MachineId)> = self
            .machines
            .iter()
            .filter_map(|(id, m)| Some((last_copy(id), m.idle_since?, id)))
            .collect();
        let headroom = HEADROOM_MIN_MACHINES.max(self.machines.len() / HEADROOM_FLEET_SHARE);
        if idle.len() <= headroom {
            return HashSet::new();
        }
        idle.sort_unstable();
        idle.truncate(idle.len() - headroom);
        idle.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Returns the machines to release now and marks their release as in progress. There is
    /// one request at a time, and at most one per tick.
    pub fn begin_releases(&mut self) -> Vec<MachineId> {
        if self.release_in_progress || self.last_tick == self.last_release_tick {
            return Vec::new();
        }
        self.last_release_tick = self.last_tick;
        let mut ids = Vec::new();
        for id in std::mem::take(&mut self.scale_in_candidates) {
            let idle = self.task_count_on(&id) == 0;
            self.changed_machines.insert(id.clone());
            if let Some(m) = self.machines.get_mut(&id) {
                if idle {
                    info!(machine = %id, shard = self.shard, "idle machine release requested");
                    m.release_requested = true;
                } else {
                    m.scale_in_pending = false;
                }
            }
        }
        for (id, m) in &mut self.machines {
            if m.release_requested && ids.len() < RELEASE_REQUEST_MAX_MACHINES {
                m.release_in_progress = true;
                ids.push(id.clone());
            }
        }
        self.release_in_progress = !ids.is_empty();
        ids
    }

    /// Handles the end of a release request. `done`: the provider has confirmed it, which
    /// proves that the machines and everything that ran on them are gone.
    pub fn handle_release_result(&mut self, ids: &[MachineId], done: bool, now: u64) {
        self.release_in_progress = false;
        for id in ids {
            if done {
                // The result of a call in progress will find no machine, so the call's slot
                // among those to unreachable machines is freed here.
                let unreachable_call = self.machines.remove(id).is_some_and(|m| m.unreachable_call);
                self.unreachable_calls -= usize::from(unreachable_call);
                self.fault_attribution.remove_machine(id);
                self.released_machines.insert(id.clone());
                info!(machine = %id, shard = self.shard, "machine released");
                self.reevaluate(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.release_in_progress = false;
            }
        }
    }

    /// Updates since when a machine has been idle, once it has sent a heartbeat.
    pub(super) fn update_idle(&mut self, machine: &MachineId, now: u64) {
        let task_count = self.task_count_on(machine);
        if let Some(m) = self.machines.get_mut(machine)
            && m.last_heartbeat_at.is_some()
        {
            m.idle_since = if task_count > 0 {
                None
            } else {
                m.idle_since.or(Some(now))
            };
        }
    }
}
