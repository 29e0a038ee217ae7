//! Which of the eligible machines is chosen: the best packed one with free resources.

use std::cmp::Reverse;

use super::bit_set::{BitSet, word_positions};
use super::index::PlacementIndex;
use super::replicas::PlacedReplicas;
use super::request::PlacementRequest;
use crate::image_locality::scoring::{ImageLocality, MachineUsage, PlacementClass};

/// Whether the image must be fetched to the machine, as far as the packing order counts it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ImageFetch {
    /// It is cached, or its fetch is under way.
    NotNeeded,
    /// It may have to be fetched.
    Possible,
}

/// The order of machines of one class: the least key is the best packed. Inexpensive
/// machines first for those who may use them, then machines in use, those with most tasks
/// first, so that others drain: whole machines stay free or can be released. Long-running
/// tasks go to where most of their kind are: a machine that one replica holds for an hour
/// is paid for whole.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PackingKey {
    /// What needs no GPU goes where none is left unused beside it.
    strands_gpus: bool,
    on_demand_for_spot: bool,
    idle: bool,
    /// The fetch would evict from the cache an image that other jobs use.
    evicts_image: bool,
    /// Each further fetch shares the fetch rate of the machine.
    fetch_count: u32,
    /// Long-running tasks, for a long-running task; all tasks.
    load: Reverse<(u32, u32)>,
    /// Position, counted from the start offset of the index.
    rotation: usize,
}

impl PlacementIndex {
    /// The best packed machine of a class with free resources, among those of a row.
    /// Examined machines without free resources leave the row.
    pub(super) fn best_in_class(
        &self,
        request: &PlacementRequest<'_>,
        row: &mut BitSet,
        class: &PlacementClass,
        replicas: Option<&PlacedReplicas>,
    ) -> Option<usize> {
        let fetch = match class.image_locality {
            ImageLocality::Cached | ImageLocality::Fetching => ImageFetch::NotNeeded,
            ImageLocality::Absent
            | ImageLocality::AbsentOneFetch
            | ImageLocality::AbsentSeveralFetches
            | ImageLocality::AbsentAnywhere => ImageFetch::Possible,
        };
        let mut best: Option<(PackingKey, usize)> = None;
        for index in 0..row.word_count() {
            let word = row.word(index);
            if word == 0 {
                continue;
            }
            self.count_examined(1);
            let in_class = word & self.class_word(index, request, class, replicas);
            for slot in word_positions(index, in_class) {
                self.count_examined(1);
                if !self.fits(request, slot) {
                    row.clear(slot);
                    continue;
                }
                let key = self.packing_key(request, slot, fetch);
                if best.is_none_or(|(least, _)| key < least) {
                    best = Some((key, slot));
                }
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Machines of a class, whatever their image locality, in one word of the rows.
    fn class_word(
        &self,
        word: usize,
        request: &PlacementRequest<'_>,
        class: &PlacementClass,
        replicas: Option<&PlacedReplicas>,
    ) -> u64 {
        let mut machines = u64::MAX;
        if let Some(usage) = class.usage {
            machines &= self.usage_word(word, usage, request);
        }
        if let Some(strands_gpus) = class.strands_gpus {
            let free_gpus = self.free_gpus.word(word);
            machines &= if strands_gpus { free_gpus } else { !free_gpus };
        }
        if let Some(spread) = class.replicas {
            let none_placed = PlacedReplicas::default();
            machines &= replicas.unwrap_or(&none_placed).spread_word(word, spread);
        }
        if let (Some(share), Some(replicas)) = (class.zone_share, replicas) {
            machines &= replicas.zone_share_word(word, share).unwrap_or(u64::MAX);
        }
        machines
    }

    /// Machines of a usage in one word of the rows. Spot instances are a usage of their own
    /// only for those who may use them.
    fn usage_word(&self, word: usize, usage: MachineUsage, request: &PlacementRequest<'_>) -> u64 {
        let spot = self.spot.word(word);
        let (long_running, busy) = (self.long_running.word(word), self.busy.word(word));
        let machines = match usage {
            MachineUsage::Spot => return spot,
            MachineUsage::LongRunning => long_running,
            MachineUsage::RunToCompletion => busy & !long_running,
            MachineUsage::Idle => !busy & !long_running,
        };
        if request.spot_allowed {
            machines & !spot
        } else {
            machines
        }
    }

    /// True if a machine has the free resources, and is not too expensive.
    fn fits(&self, request: &PlacementRequest<'_>, slot: usize) -> bool {
        let slot = &self.slots[slot];
        let idle_on_demand = !slot.spot && slot.task_count == 0;
        slot.free.covers(&request.need) && !(request.avoid_idle_on_demand && idle_on_demand)
    }

    fn packing_key(
        &self,
        request: &PlacementRequest<'_>,
        position: usize,
        fetch: ImageFetch,
    ) -> PackingKey {
        let slot = &self.slots[position];
        let may_fetch = fetch == ImageFetch::Possible;
        let long_running = if request.long_running {
            slot.long_running_count
        } else {
            0
        };
        PackingKey {
            strands_gpus: request.need.milli_gpus == 0 && slot.free.milli_gpus > 0,
            on_demand_for_spot: request.spot_allowed && !slot.spot,
            idle: slot.task_count == 0,
            evicts_image: may_fetch && request.image_mb > slot.cache_headroom_mb,
            fetch_count: if may_fetch { slot.fetch_count } else { 0 },
            load: Reverse((long_running, slot.task_count)),
            rotation: self.rotation(position, request),
        }
    }

    /// Position of a machine, counted from where this controller starts to place
    /// long-running tasks.
    fn rotation(&self, position: usize, request: &PlacementRequest<'_>) -> usize {
        let start = if request.long_running {
            self.slots.len() * self.start.shards_after / self.start.shard_count.max(1)
        } else {
            0
        };
        (position + self.slots.len() - start) % self.slots.len()
    }

    /// The best packed machine with free resources, wherever the image is.
    pub fn first_fit(&self, request: &PlacementRequest<'_>) -> Option<usize> {
        let eligible = self.eligible(request);
        self.count_examined(eligible.word_count());
        eligible
            .positions()
            .filter(|&slot| {
                self.count_examined(1);
                self.fits(request, slot)
            })
            .min_by_key(|&slot| self.packing_key(request, slot, ImageFetch::Possible))
    }

    /// True if a machine in use has the image and the free resources for one more task
    /// beside one on machine `placed`. A `placed` that is no position stands for a machine
    /// of another shard.
    pub fn fits_one_more(&self, request: &PlacementRequest<'_>, placed: usize) -> bool {
        let mut eligible = self.eligible(request);
        self.count_examined(eligible.word_count());
        if let Some(cached) = self.by_cached_image.get(request.image) {
            eligible.intersect(cached);
        }
        let free = |slot: usize| {
            if slot == placed {
                self.slots[slot].free.minus(&request.need)
            } else {
                self.slots[slot].free
            }
        };
        eligible
            .positions()
            .any(|slot| self.slots[slot].task_count > 0 && free(slot).covers(&request.need))
    }
}
