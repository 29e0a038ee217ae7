//! Which machines are given back last: those with the last copy of a service's
//! weights in their zone, while others can go.

use super::maintenance::not_worth_keeping;
use super::*;

impl Owner {
    /// Learns which images services use.
    pub fn set_service_images(&mut self, images: BTreeSet<String>) {
        self.service_images = images;
        self.last_copies_checked_at = 0;
    }

    /// Looks, now and then, at which machines hold the last copy of such an image in
    /// their zone.
    pub(super) fn find_last_copies(&mut self, now: u64) {
        if now < self.last_copies_checked_at + LAST_COPIES_EVERY_MS {
            return;
        }
        self.last_copies_checked_at = now;
        self.last_copies.clear();
        if self.service_images.is_empty() {
            return;
        }
        let mut only: HashMap<(&str, &str), Option<&MachineId>> = HashMap::new();
        // What leaves anyway keeps nothing.
        for (id, m) in self.machines.iter().filter(|(_, m)| {
            m.last_heartbeat_at.is_some()
                && !(m.scale_in_pending || m.release_requested || m.termination_notice)
        }) {
            for (image, _) in m
                .images
                .iter()
                .filter(|(image, _)| self.service_images.contains(image))
            {
                only.entry((m.zone.as_str(), image.as_str()))
                    .and_modify(|one| *one = None)
                    .or_insert(Some(id));
            }
        }
        self.last_copies = only.into_values().flatten().cloned().collect();
    }

    /// A machine with a last copy whose time is over changes places with an empty one
    /// of its type, zone and kind that has none: as many are given back as before,
    /// and the weights stay.
    pub(super) fn keep_last_copies(&mut self) {
        let spared: Vec<MachineId> = self
            .scale_in_candidates
            .iter()
            .filter(|id| self.last_copies.contains(*id))
            .cloned()
            .collect();
        for id in spared {
            let Some(m) = self.machines.get(&id).filter(|m| !not_worth_keeping(m)) else {
                continue;
            };
            let alike = |o: &Machine| {
                (&o.kind, &o.zone, o.spot) == (&m.kind, &m.zone, m.spot) && o.is_schedulable()
            };
            let others = self.machines.iter().filter(|(other, o)| {
                o.idle_since.is_some() && alike(o) && !self.last_copies.contains(*other)
            });
            let Some((other, since)) = others
                .map(|(other, o)| (other.clone(), o.idle_since))
                .min_by_key(|(_, since)| *since)
            else {
                continue;
            };
            info!(machine = %id, instead = %other, shard = self.shard, "last copy of a service's weights in its zone; another machine goes");
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
