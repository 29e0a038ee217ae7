//! Keeps the last copy of each service image in a zone: scale-in releases machines that hold
//! one only if no equivalent machine can be released instead.

use super::scale_in::should_release_once_idle;
use super::*;

/// ms between two searches for last copies, each of which walks the images of all machines.
const LAST_COPIES_CHECK_MS: u64 = 1_000;

/// The images that services use, and the machines with their last copies.
#[derive(Debug, Default)]
pub(super) struct ServiceImages {
    images: BTreeSet<String>,
    /// Machines that hold the last copy of a service image in their zone, as of the last
    /// search.
    last_copies: HashSet<MachineId>,
    /// When last copies were last searched for, ms; 0 after `images` changed.
    checked_at: u64,
}

impl ServiceImages {
    /// Returns true if the machine holds the last copy of a service image in its zone.
    pub(super) fn has_last_copy(&self, machine: &MachineId) -> bool {
        self.last_copies.contains(machine)
    }
}

impl Owner {
    /// Sets the images that services use.
    pub fn set_service_images(&mut self, images: BTreeSet<String>) {
        self.service_images.images = images;
        self.service_images.checked_at = 0;
    }

    /// Finds the machines that hold the last copy of a service image in their zone, at most
    /// once per [`LAST_COPIES_CHECK_MS`].
    pub(super) fn find_last_copies(&mut self, now: u64) {
        if now < self.service_images.checked_at + LAST_COPIES_CHECK_MS {
            return;
        }
        self.service_images.checked_at = now;
        self.service_images.last_copies.clear();
        if self.service_images.images.is_empty() {
            return;
        }
        let mut sole_holders: HashMap<(&str, &str), Option<&MachineId>> = HashMap::new();
        // Copies on machines that are about to go don't count.
        for (id, m) in self.machines.iter().filter(|(_, m)| {
            m.last_heartbeat_at.is_some()
                && !(m.scale_in_pending || m.release_requested || m.termination_notice)
        }) {
            for (image, _) in m
                .images
                .iter()
                .filter(|(image, _)| self.service_images.images.contains(image))
            {
                sole_holders
                    .entry((m.zone.as_str(), image.as_str()))
                    .and_modify(|holder| *holder = None)
                    .or_insert(Some(id));
            }
        }
        self.service_images.last_copies = sole_holders.into_values().flatten().cloned().collect();
    }

    /// Swaps each scale-in candidate that holds a last copy for an idle machine of the same
    /// type, zone and market that holds none. As many machines are released as before,
    /// and the image stays in the zone.
    pub(super) fn keep_last_copies(&mut self) {
        let kept: Vec<MachineId> = self
            .scale_in_candidates
            .iter()
            .filter(|id| self.service_images.has_last_copy(id))
            .cloned()
            .collect();
        for id in kept {
            let Some(m) = self
                .machines
                .get(&id)
                .filter(|m| !should_release_once_idle(m))
            else {
                continue;
            };
            let alike = |o: &Machine| {
                (&o.machine_type, &o.zone, o.spot) == (&m.machine_type, &m.zone, m.spot)
                    && o.is_schedulable()
            };
            let others = self.machines.iter().filter(|(other, o)| {
                o.idle_since.is_some() && alike(o) && !self.service_images.has_last_copy(other)
            });
            let Some((other, since)) = others
                .map(|(other, o)| (other.clone(), o.idle_since))
                .min_by_key(|(_, since)| *since)
            else {
                continue;
            };
            info!(machine = %id, released_instead = %other, shard = self.shard, "machine kept for the last copy of an image");
            self.scale_in_candidates.remove(&id);
            self.scale_in_candidates.insert(other.clone());
            for (id, scale_in_pending, idle_since) in [(id, false, since), (other, true, since)] {
                if let Some(m) = self.machines.get_mut(&id) {
                    (m.scale_in_pending, m.idle_since) = (scale_in_pending, idle_since);
                }
                self.changed_machines.insert(id);
            }
        }
    }
}
