//! Partitioned zones as the shards' owners report them, and the empty machine indexes of
//! shards without a view yet.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_protocol::peer::PartitionedZone;

use super::Placer;
use crate::job::Job;
use crate::placement::PlacementIndex;

/// A zone that a shard's owner can't reach.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZonePartition {
    /// Since when it is partitioned, ms.
    pub(super) since: u64,
    /// When the attempts there are proven to have ended, ms.
    pub(super) attempts_end_at: u64,
}

/// The first partitioned zone found that holds a live attempt of a job.
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

/// Index of a shard's machines before its owner has published any. Each placer's searches
/// start at another offset, so that placers don't all choose the same machine.
pub(super) fn empty_index(own_shard: u16, shard: u16, shards: u16) -> PlacementIndex {
    PlacementIndex::with_start_offset(
        usize::from((shard + shards - own_shard % shards.max(1)) % shards.max(1)),
        usize::from(shards),
    )
}

impl Placer {
    /// Zones that the owner of some shard can't reach.
    pub fn partitioned_zones(&self) -> BTreeSet<&str> {
        self.partitions
            .iter()
            .flat_map(|zones| zones.keys().map(String::as_str))
            .collect()
    }

    /// Replaces a shard's partitioned zones by those that its owner reports.
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
        // The published status of the jobs there changes, and so do the zones in which
        // capacity may be requested.
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
