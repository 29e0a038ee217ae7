//! Where a task fits if others are preempted for it.

use lemonweir_model::{Priority, Resources};
use lemonweir_protocol::peer::PreemptionScope;

use super::index::PlacementIndex;
use super::replicas::PlacedReplicas;
use super::request::PlacementRequest;

/// Whether a machine must have the image already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ImageRequirement {
    /// It may have to be fetched.
    Optional,
    /// Only machines that have it are candidates.
    Cached,
}

/// What preemption on a machine costs, in the order of its weight: the least is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    image_missing: bool,
    /// Each further fetch shares the fetch rate of the machine; 0 if the image is cached.
    fetch_count: u32,
    beside_replica: bool,
    /// Resources that must be preempted.
    shortfall: Resources,
    slot: usize,
}

impl PlacementIndex {
    /// The machine on which least must be preempted, among those where that suffices; one
    /// that has the image goes first, then one that fetches least, then one without
    /// replicas of the same job.
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

    /// What preemption on a machine costs; `None`: it does not suffice there.
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
            beside_replica: replicas.is_some_and(|r| r.has_replica(position)),
            shortfall: request.need.minus(&slot.free),
            slot: position,
        })
    }
}
