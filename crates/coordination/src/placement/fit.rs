//! Chooses the best packed machine with free resources among the eligible ones.

use std::cmp::Reverse;

use super::bit_set::{BitSet, word_positions};
use super::index::PlacementIndex;
use super::replicas::PlacedReplicas;
use super::request::PlacementRequest;
use crate::image_locality::scoring::{ImageLocality, MachineUsage, PlacementClass};

/// Whether the packing order takes the cost of an image fetch into account.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ImageFetch {
    /// The image is cached, or its fetch is in progress.
    NotNeeded,
    /// The image may have to be fetched.
    Possible,
}

/// Sort key of the machines of one class: the smallest key is the best packed machine.
///
/// Spot instances come first for tasks that may use them, then machines in use, the busiest
/// first, so that other machines drain and can be kept free or released. Long-running tasks
/// go to the machines with most long-running tasks: a machine that a single replica occupies
/// for an hour is paid for in full.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PackingKey {
    /// The task needs no GPU and would take resources of a machine with free GPUs.
    strands_gpus: bool,
    /// An on-demand machine, for a task that may use spot instances.
    on_demand_for_spot: bool,
    idle: bool,
    /// The fetch would evict an image that unfinished jobs use from the cache.
    evicts_image: bool,
    /// Fetches in progress, which would share the machine's fetch rate with this one.
    fetch_count: u32,
    /// Number of long-running tasks (0 unless the task is long-running) and of all tasks.
    load: Reverse<(u32, u32)>,
    /// Position relative to the start offset of the index.
    rotation: usize,
}

impl PlacementIndex {
    /// Returns the best packed machine of a class with free resources among those in `row`.
    /// Examined machines without free resources are removed from `row`.
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

    /// One word of the set of machines of a class, regardless of image locality.
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

    /// One word of the set of machines with this usage. For a request that may use spot
    /// instances, these belong to [`MachineUsage::Spot`] only.
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

    /// True if a machine has the free resources and is not excluded by
    /// [`PlacementRequest::avoid_idle_on_demand`].
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

    /// Position of a machine relative to the start offset, which applies to long-running
    /// tasks only.
    fn rotation(&self, position: usize, request: &PlacementRequest<'_>) -> usize {
        let start = if request.long_running {
            self.slots.len() * self.start.shards_after / self.start.shard_count.max(1)
        } else {
            0
        };
        (position + self.slots.len() - start) % self.slots.len()
    }

    /// Returns the best packed machine with free resources, regardless of image locality.
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

    /// True if a machine in use has free resources for one more task in addition to one on
    /// machine `placed`. If a machine of this index caches the image or once did, only
    /// machines that cache it count. A `placed` out of range stands for a machine of another
    /// shard.
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
