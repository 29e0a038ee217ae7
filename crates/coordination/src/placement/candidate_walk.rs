//! Searches the machines of all shards for a place for one task, placement class by class.

use super::bit_set::BitSet;
use super::index::PlacementIndex;
use super::replicas::PlacedReplicas;
use super::request::PlacementRequest;
use crate::image_locality::scoring::{ImageLocality, PlacementClass};

/// A shard whose machines are examined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateShard {
    /// Number of the shard.
    pub shard: usize,
    /// True if its leader is reached only through messages in the store.
    pub via_store: bool,
}

/// A machine found by a [`CandidateWalk`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Shard of the machine.
    pub shard: usize,
    /// Position of the machine in the index of its shard.
    pub slot: usize,
    /// Placement class in which it was found.
    pub class: PlacementClass,
}

/// Machines of one shard that are still candidates.
struct RemainingMachines {
    /// Machines that satisfy the constraints of the request.
    eligible: BitSet,
    /// The eligible machines of each image locality that were not found to lack free
    /// resources; `None` until first needed.
    by_locality: [Option<BitSet>; ImageLocality::VARIANT_COUNT],
}

/// The candidate search of one task. Classes are disjoint, and a machine found to lack free
/// resources for the task in its class is not examined again.
pub struct CandidateWalk<'a> {
    indexes: &'a [PlacementIndex],
    /// Shards in the order in which they are examined.
    shards: &'a [CandidateShard],
    request: &'a PlacementRequest<'a>,
    replicas: &'a [PlacedReplicas],
    remaining: Vec<Option<RemainingMachines>>,
}

impl<'a> CandidateWalk<'a> {
    /// Starts a search. `replicas` has one entry for each index, or is empty if the placed
    /// replicas don't affect the placement.
    pub fn new(
        indexes: &'a [PlacementIndex],
        shards: &'a [CandidateShard],
        request: &'a PlacementRequest<'a>,
        replicas: &'a [PlacedReplicas],
    ) -> Self {
        Self {
            indexes,
            shards,
            request,
            replicas,
            remaining: indexes.iter().map(|_| None).collect(),
        }
    }

    /// Returns the best packed machine with free resources in the first of these classes
    /// that has one. Within a class, shards are tried in order and the first match wins.
    pub fn find(&mut self, classes: &[PlacementClass]) -> Option<Candidate> {
        classes.iter().find_map(|class| {
            let shards = self.shards;
            shards
                .iter()
                .filter(|s| class.via_store.is_none_or(|via| via == s.via_store))
                .find_map(|&CandidateShard { shard, .. }| {
                    let slot = self.best_in_shard(shard, class)?;
                    Some(Candidate {
                        shard,
                        slot,
                        class: *class,
                    })
                })
        })
    }

    fn best_in_shard(&mut self, shard: usize, class: &PlacementClass) -> Option<usize> {
        let (index, request) = (&self.indexes[shard], self.request);
        let remaining = self.remaining[shard].get_or_insert_with(|| RemainingMachines {
            eligible: index.eligible(request),
            by_locality: Default::default(),
        });
        let locality = class.image_locality;
        let row = remaining.by_locality[locality.index()].get_or_insert_with(|| {
            index.with_image_locality(&remaining.eligible, request.image, locality)
        });
        if row.is_empty() {
            return None;
        }
        index.best_in_class(request, row, class, self.replicas.get(shard))
    }
}
