//! Which machines are given back last: those with the last copy of a service's
//! weights in their zone, while others can go.

use super::maintenance::hopeless;
use super::*;

impl Owner {
    /// Learns which images services use.
    pub fn set_needed(&mut self, images: BTreeSet<String>) {
        self.needed = images;
        self.copies_at = 0;
    }

    /// Looks, now and then, at which machines hold the last copy of such an image in
    /// their zone.
    pub(super) fn look_for_copies(&mut self, now: u64) {
        if now < self.copies_at + LAST_COPIES_EVERY_MS {
            return;
        }
        self.copies_at = now;
        self.last_copies.clear();
        if self.needed.is_empty() {
            return;
        }
        let mut only: HashMap<(&str, &str), Option<&MachineId>> = HashMap::new();
        // What leaves anyway keeps nothing.
        for (id, m) in self
            .machines
            .iter()
            .filter(|(_, m)| m.heard.is_some() && !(m.closing || m.release_wanted || m.notice))
        {
            for (image, _) in m
                .images
                .iter()
                .filter(|(image, _)| self.needed.contains(image))
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
    pub(super) fn spare_last_copies(&mut self) {
        let spared: Vec<MachineId> = self
            .to_close
            .iter()
            .filter(|id| self.last_copies.contains(*id))
            .cloned()
            .collect();
        for id in spared {
            let Some(m) = self.machines.get(&id).filter(|m| !hopeless(m)) else {
                continue;
            };
            let alike =
                |o: &Machine| (&o.kind, &o.zone, o.spot) == (&m.kind, &m.zone, m.spot) && o.open();
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
            self.to_close.remove(&id);
            self.to_close.insert(other.clone());
            for (id, closing, idle_since) in [(id, false, since), (other, true, since)] {
                if let Some(m) = self.machines.get_mut(&id) {
                    (m.closing, m.idle_since) = (closing, idle_since);
                }
                self.stale.insert(id);
            }
        }
    }
}
