//! The machines of one shard, indexed for placement.

use std::cell::Cell;
use std::collections::HashMap;

use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::peer::MachineView;

use super::bit_set::BitSet;
use super::machine_slot::MachineSlot;

/// Where a controller starts among equally good machines for long-running tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartOffset {
    /// Distance from the controller's home shard to this one, in shards.
    pub(super) shards_after: usize,
    /// Number of shards; 0 in an index without a start offset.
    pub(super) shard_count: usize,
}

/// The machines of one shard, indexed for placement. Each property has a row: the bit set of
/// the machines that have it. The index is kept across placement passes: a new view of a
/// machine replaces its bits, and reservations last until the machine's next view or until
/// they are reverted.
#[derive(Clone, Debug, Default)]
pub struct PlacementIndex {
    /// The machines by position. Slots of removed machines are not schedulable and are
    /// reused.
    pub slots: Vec<MachineSlot>,
    /// The latest view of each machine, by position, as its owner published it; `None` in
    /// vacant slots.
    views: Vec<Option<MachineView>>,
    /// Cache headroom of each machine as last set, MB; `u64::MAX` while unknown.
    published_headroom_mb: Vec<u64>,
    positions: HashMap<MachineId, usize>,
    vacant_slots: Vec<usize>,
    /// Machines that are up and accept tasks.
    pub(super) schedulable: BitSet,
    pub(super) spot: BitSet,
    pub(super) by_machine_type: HashMap<String, BitSet>,
    pub(super) by_zone: HashMap<String, BitSet>,
    pub(super) by_cached_image: HashMap<String, BitSet>,
    pub(super) by_fetching_image: HashMap<String, BitSet>,
    /// Machines with long-running tasks.
    pub(super) long_running: BitSet,
    /// Machines with any task.
    pub(super) busy: BitSet,
    /// Machines that are fetching at least one image.
    pub(super) fetching: BitSet,
    /// Machines that are fetching two or more images.
    pub(super) fetching_several: BitSet,
    /// Machines with free GPUs.
    pub(super) free_gpus: BitSet,
    pub(super) start: StartOffset,
    examined: Cell<u64>,
}

/// Sets a machine's bit in the row with this name, which is created if missing.
fn set_in_row(rows: &mut HashMap<String, BitSet>, name: &str, slot: usize) {
    match rows.get_mut(name) {
        Some(row) => row.set(slot),
        None => {
            let mut row = BitSet::default();
            row.set(slot);
            rows.insert(name.to_owned(), row);
        }
    }
}

impl PlacementIndex {
    /// Creates an index of these machines.
    pub fn new(machines: &[MachineView]) -> Self {
        let mut index = Self::default();
        for view in machines {
            index.upsert(view.clone());
        }
        index
    }

    /// Creates an empty index of a shard that comes `shards_after` shards after the
    /// controller's home shard, of `shard_count`.
    ///
    /// Each controller starts at another machine. Otherwise placers that spread replicas at
    /// the same time would all pick the first machine of a zone, and their fetches would
    /// share its fetch rate.
    pub fn with_start_offset(shards_after: usize, shard_count: usize) -> Self {
        Self {
            start: StartOffset {
                shards_after,
                shard_count,
            },
            ..Self::default()
        }
    }

    /// Applies a new view of a machine and drops the reservations made on it.
    pub fn upsert(&mut self, view: MachineView) {
        let slot = self.slot_for(&view);
        self.clear_rows(slot);
        if view.registered && view.schedulable {
            self.schedulable.set(slot);
        }
        if view.spot {
            self.spot.set(slot);
        }
        set_in_row(&mut self.by_machine_type, &view.machine_type, slot);
        set_in_row(&mut self.by_zone, &view.zone, slot);
        for image in &view.cached_images {
            set_in_row(&mut self.by_cached_image, image, slot);
        }
        for image in &view.pulling_images {
            set_in_row(&mut self.by_fetching_image, image, slot);
        }
        self.slots[slot] = MachineSlot::from(&view);
        self.published_headroom_mb[slot] = u64::MAX;
        self.views[slot] = Some(view);
        self.update_usage_rows(slot);
    }

    /// Returns the slot of a machine; assigns a vacant or new one if it has none.
    fn slot_for(&mut self, view: &MachineView) -> usize {
        if let Some(slot) = self.position(&view.id) {
            return slot;
        }
        let slot = self.vacant_slots.pop().unwrap_or(self.slots.len());
        self.positions.insert(view.id.clone(), slot);
        if slot == self.slots.len() {
            self.slots.push(MachineSlot::from(view));
            self.views.push(None);
            self.published_headroom_mb.push(u64::MAX);
        }
        slot
    }

    /// Sets the cache headroom of a machine: how many MB may be fetched to it before its
    /// cache evicts an image that unfinished jobs use.
    pub fn set_cache_headroom(&mut self, id: &MachineId, headroom_mb: u64) {
        if let Some(slot) = self.position(id) {
            self.published_headroom_mb[slot] = headroom_mb;
            self.slots[slot].cache_headroom_mb = headroom_mb;
        }
    }

    /// Updates the rows that are derived from the load of a slot.
    fn update_usage_rows(&mut self, position: usize) {
        let slot = &self.slots[position];
        self.long_running
            .assign(position, slot.long_running_count > 0);
        self.busy.assign(position, slot.task_count > 0);
        self.fetching.assign(position, slot.fetch_count > 0);
        self.fetching_several.assign(position, slot.fetch_count > 1);
        self.free_gpus.assign(position, slot.free.milli_gpus > 0);
    }

    /// Removes a machine from the rows that are set from its view.
    fn clear_rows(&mut self, slot: usize) {
        self.schedulable.clear(slot);
        self.spot.clear(slot);
        for rows in [
            &mut self.by_machine_type,
            &mut self.by_zone,
            &mut self.by_cached_image,
            &mut self.by_fetching_image,
        ] {
            rows.values_mut().for_each(|row| row.clear(slot));
        }
    }

    /// Removes a machine and makes its slot vacant. Does nothing if it is not in the index.
    pub fn remove(&mut self, id: &MachineId) {
        if let Some(slot) = self.positions.remove(id) {
            self.clear_rows(slot);
            self.views[slot] = None;
            self.vacant_slots.push(slot);
        }
    }

    /// Reserves resources on a machine for a task with this image. What the free resources
    /// don't cover is taken from the preemptible ones.
    pub fn reserve(&mut self, position: usize, need: &Resources, image: &str) {
        let slot = &mut self.slots[position];
        let preempted = need.minus(&slot.free);
        for preemptible in slot
            .preemptible
            .iter_mut()
            .chain(&mut slot.preemptible_over_quota)
        {
            *preemptible = preemptible.minus(&preempted);
        }
        slot.free = slot.free.minus(need);
        slot.task_count += 1;
        if !self.has_image(position, image) && !self.is_fetching(position, image) {
            self.slots[position].fetch_count += 1;
            set_in_row(&mut self.by_fetching_image, image, position);
        }
        self.update_usage_rows(position);
    }

    /// Counts the latest reservation on a machine as a long-running task.
    pub fn mark_long_running(&mut self, slot: usize) {
        self.slots[slot].long_running_count += 1;
        self.update_usage_rows(slot);
    }

    /// Reverts the reservations made on a machine since its latest view.
    pub fn revert_reservations(&mut self, slot: usize) {
        let Some(view) = self.views.get(slot).and_then(Option::as_ref) else {
            return;
        };
        self.slots[slot] = MachineSlot::from(view);
        self.slots[slot].cache_headroom_mb = self.published_headroom_mb[slot];
        self.by_fetching_image
            .values_mut()
            .for_each(|row| row.clear(slot));
        for image in &view.pulling_images {
            set_in_row(&mut self.by_fetching_image, image, slot);
        }
        self.update_usage_rows(slot);
    }

    /// The machines as their owner published them.
    pub fn machines(&self) -> impl Iterator<Item = &MachineView> {
        self.views.iter().flatten()
    }

    /// The zones that have or had a machine in this index.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.by_zone.keys().map(String::as_str)
    }

    /// True if a machine has an image in its cache.
    pub fn has_image(&self, slot: usize, image: &str) -> bool {
        let cached = self.by_cached_image.get(image);
        cached.is_some_and(|row| row.contains(slot))
    }

    fn is_fetching(&self, slot: usize, image: &str) -> bool {
        let fetching = self.by_fetching_image.get(image);
        fetching.is_some_and(|row| row.contains(slot))
    }

    /// The position of a machine.
    pub fn position(&self, id: &MachineId) -> Option<usize> {
        self.positions.get(id).copied()
    }

    /// Number of bit set words and machines examined so far, as a measure of placement work.
    pub fn candidates_examined(&self) -> u64 {
        self.examined.get()
    }

    pub(super) fn count_examined(&self, count: usize) {
        self.examined.set(self.examined.get() + count as u64);
    }
}
