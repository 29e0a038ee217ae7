//! Zones that their owner can't reach, and indexes of machines that nothing is
//! known of yet.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_protocol::peer::PartitionedZone;

use super::Placer;
use crate::job::Job;
use crate::placement::PlacementIndex;

/// A zone that its owner can't reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZonePartition {
    /// Since when, ms.
    pub(super) since: u64,
    /// When what ran there is proven to have ended, ms.
    pub(super) attempts_end_at: u64,
}

/// The partitioned zone that an attempt of a job is in.
pub(super) fn partition_of<'a>(
    job: &Job,
    partitions: &'a [BTreeMap<String, ZonePartition>],
) -> Option<(&'a String, &'a ZonePartition)> {
    job.live.values().find_map(|live| {
        partitions
            .get(usize::from(live.shard))?
            .get_key_value(&live.zone)
    })
}

/// An index of another shard's machines before its owner has published any. Each
/// shard's searches begin elsewhere, so that placers don't meet on one machine.
pub(super) fn empty_index(own_shard: u16, shard: u16, shards: u16) -> PlacementIndex {
    PlacementIndex::with_start_offset(
        usize::from((shard + shards - own_shard % shards.max(1)) % shards.max(1)),
        usize::from(shards),
    )
}

impl Placer {
    /// Zones that their owners can't reach.
    pub fn partitioned_zones(&self) -> BTreeSet<&str> {
        self.partitions
            .iter()
            .flat_map(|zones| zones.keys().map(String::as_str))
            .collect()
    }

    /// Applies what an owner says of its partitioned zones.
    pub(super) fn apply_partitions(&mut self, shard: u16, zones: Vec<PartitionedZone>, now: u64) {
        let Some(before) = self.partitions.get_mut(usize::from(shard)) else {
            return;
        };
        let partition = |zone: PartitionedZone| {
            (
                zone.zone,
                ZonePartition {
                    since: now.saturating_sub(zone.partitioned_for_ms),
                    attempts_end_at: now + zone.presumed_lost_in_ms,
                },
            )
        };
        let after: BTreeMap<String, ZonePartition> = zones.into_iter().map(partition).collect();
        if before.keys().eq(after.keys()) {
            *before = after;
            return;
        }
        let before = std::mem::replace(before, after);
        let after = &self.partitions[usize::from(shard)];
        let has_changed = |zone: &String| before.contains_key(zone) != after.contains_key(zone);
        // What is published of their jobs changes, and where capacity may be asked for.
        for (id, job) in &self.jobs {
            if job
                .live
                .values()
                .any(|live| live.shard == shard && has_changed(&live.zone))
            {
                self.services.mark_changed(id);
                self.changed_jobs.insert(id.clone());
            }
        }
        self.placement_due = true;
    }
}
