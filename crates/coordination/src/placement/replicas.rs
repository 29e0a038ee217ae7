//! Which machines of an index already hold replicas of a job.

use std::collections::BTreeMap;

use lemonweir_model::MachineId;

use super::bit_set::BitSet;
use super::index::PlacementIndex;
use crate::image_locality::scoring::{PlacementRisk, ReplicaSpread, ZoneShare};

/// The placed replicas of one job, as bit sets over the machines of one index.
#[derive(Clone, Debug, Default)]
pub struct PlacedReplicas {
    /// Machines with at least one replica.
    with_replica: BitSet,
    /// Machines with two or more replicas that are not in `with_majority`.
    with_several: BitSet,
    /// Machines that with one more replica would hold over half of the job.
    with_majority: BitSet,
    /// Machines in zones with less than their share of the job; `None` if the zone does not
    /// matter.
    zones_below_share: Option<BitSet>,
}

impl PlacedReplicas {
    /// Collects the replicas of a job on the machines of `index`. `machines`: the machine of
    /// each replica, repeated if it has several. `zones_below_share`: the zones with less than
    /// their share of the job; `None` if the zone does not matter.
    pub fn new<'a>(
        index: &PlacementIndex,
        risk: &PlacementRisk,
        machines: impl Iterator<Item = &'a MachineId>,
        zones_below_share: Option<&[&str]>,
    ) -> Self {
        let mut placed = Self {
            zones_below_share: zones_below_share.map(|zones| index.zones_row(zones)),
            ..Self::default()
        };
        let mut replica_counts: BTreeMap<usize, u32> = BTreeMap::new();
        machines
            .filter_map(|id| index.position(id))
            .for_each(|slot| *replica_counts.entry(slot).or_default() += 1);
        for (slot, count) in replica_counts {
            placed.with_replica.set(slot);
            match risk.replica_spread(count) {
                ReplicaSpread::Several => placed.with_several.set(slot),
                ReplicaSpread::Majority => placed.with_majority.set(slot),
                ReplicaSpread::Zero | ReplicaSpread::One => {}
            }
        }
        placed
    }

    /// True if a replica is placed on this machine.
    pub(super) fn has_replica(&self, slot: usize) -> bool {
        self.with_replica.contains(slot)
    }

    /// One word of the set of machines with this replica spread.
    pub(super) fn spread_word(&self, word: usize, spread: ReplicaSpread) -> u64 {
        let with_replica = self.with_replica.word(word);
        let with_several = self.with_several.word(word);
        let with_majority = self.with_majority.word(word);
        match spread {
            ReplicaSpread::Zero => !with_replica,
            ReplicaSpread::One => with_replica & !with_several & !with_majority,
            ReplicaSpread::Several => with_several,
            ReplicaSpread::Majority => with_majority,
        }
    }

    /// One word of the set of machines in zones with this share of the job; `None` if the
    /// zone does not matter.
    pub(super) fn zone_share_word(&self, word: usize, share: ZoneShare) -> Option<u64> {
        let below = self.zones_below_share.as_ref()?.word(word);
        Some(match share {
            ZoneShare::Below => below,
            ZoneShare::Reached => !below,
        })
    }
}
