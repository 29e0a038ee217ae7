//! Finds a machine for a task that fits only if other attempts are preempted.

use lemonweir_model::{Priority, Resources};
use lemonweir_protocol::peer::PreemptionScope;

use super::index::PlacementIndex;
use super::replicas::PlacedReplicas;
use super::request::PlacementRequest;

/// Whether a candidate machine must have the image in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageRequirement {
    /// The image may have to be fetched.
    Optional,
    /// Only machines that cache the image are candidates.
    Cached,
}

/// Cost of preemption on a machine, most significant criterion first; the lowest is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    image_missing: bool,
    /// Fetches in progress, which would share the machine's fetch rate; 0 if the image is
    /// cached.
    fetch_count: u32,
    /// A replica of the same job is on the machine.
    has_replica: bool,
    /// Resources that must be preempted.
    shortfall: Resources,
    slot: usize,
}

impl PlacementIndex {
    /// Returns the machine on which the least must be preempted, among those where
    /// preemption frees enough. Machines with the image come first, then those with the
    /// fewest fetches in progress, then those without replicas of the same job.
    pub fn preemptive_fit(
        &self,
        request: &PlacementRequest<'_>,
        priority: Priority,
        scope: PreemptionScope,
        image: ImageRequirement,
        replicas: Option<&PlacedReplicas>,
    ) -> Option<usize> {
        let eligible = self.eligible(request);
        self.count_examined(eligible.word_count());
        eligible
            .positions()
            .filter(|&slot| {
                image == ImageRequirement::Optional || self.has_image(slot, request.image)
            })
            .filter_map(|slot| {
                self.count_examined(1);
                self.preemption_cost(request, priority, scope, replicas, slot)
            })
            .min()
            .map(|cost| cost.slot)
    }

    /// Cost of preemption on a machine; `None` if it does not free enough there.
    fn preemption_cost(
        &self,
        request: &PlacementRequest<'_>,
        priority: Priority,
        scope: PreemptionScope,
        replicas: Option<&PlacedReplicas>,
        position: usize,
    ) -> Option<PreemptionCost> {
        let slot = &self.slots[position];
        let preemptible = match scope {
            PreemptionScope::Nobody => return None,
            PreemptionScope::LowerPriority => &slot.preemptible,
            PreemptionScope::LowerPriorityOrOverQuota => &slot.preemptible_over_quota,
        };
        let available = slot.free.plus(preemptible.get(priority.index())?);
        if !available.covers(&request.need) {
            return None;
        }
        let image_missing = !self.has_image(position, request.image);
        Some(PreemptionCost {
            image_missing,
            fetch_count: if image_missing { slot.fetch_count } else { 0 },
            has_replica: replicas.is_some_and(|r| r.has_replica(position)),
            shortfall: request.need.minus(&slot.free),
            slot: position,
        })
    }
}
