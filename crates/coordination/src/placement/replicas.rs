//! Where the replicas of a job are placed already.

use std::collections::BTreeMap;

use lemonweir_model::MachineId;

use super::bit_set::BitSet;
use super::index::PlacementIndex;
use crate::image_locality::scoring::{PlacementRisk, ReplicaSpread, ZoneShare};

/// The placed replicas of one job as rows of one index.
#[derive(Clone, Debug, Default)]
pub struct PlacedReplicas {
    /// Machines with at least one replica.
    with_replica: BitSet,
    /// Machines with two replicas or more that hold no majority.
    with_several: BitSet,
    /// Machines that with one more replica would hold over half of the job.
    with_majority: BitSet,
    /// Machines in zones with less than their share of the job; `None`: the zone makes no
    /// difference.
    zones_below_share: Option<BitSet>,
}

impl PlacedReplicas {
    /// `machines`: the machine of each replica, repeated where there are several;
    /// `zones_below_share`: the zones with less than their share of the job.
    pub fn new<'a>(
        index: &PlacementIndex,
        risk: &PlacementRisk,
        machines: impl Iterator<Item = &'a MachineId>,
        zones_below_share: Option<&[&str]>,
    ) -> Self {
        let mut rows = Self {
            zones_below_share: zones_below_share.map(|zones| index.zones_row(zones)),
            ..Self::default()
        };
        let mut replica_counts: BTreeMap<usize, u32> = BTreeMap::new();
        machines
            .filter_map(|id| index.position(id))
            .for_each(|slot| *replica_counts.entry(slot).or_default() += 1);
        for (slot, count) in replica_counts {
            rows.with_replica.set(slot);
            match risk.replica_spread(count) {
                ReplicaSpread::Several => rows.with_several.set(slot),
                ReplicaSpread::Majority => rows.with_majority.set(slot),
                ReplicaSpread::Zero | ReplicaSpread::One => {}
            }
        }
        rows
    }

    /// True if a replica is placed on this machine.
    pub(super) fn has_replica(&self, slot: usize) -> bool {
        self.with_replica.contains(slot)
    }

    /// Machines with this number of replicas, in one word of the rows.
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

    /// Machines in zones with this share of the job, in one word of the rows; `None`: the
    /// zone makes no difference.
    pub(super) fn zone_share_word(&self, word: usize, share: ZoneShare) -> Option<u64> {
        let below = self.zones_below_share.as_ref()?.word(word);
        Some(match share {
            ZoneShare::Below => below,
            ZoneShare::Reached => !below,
        })
    }
}
