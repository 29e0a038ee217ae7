//! Report on one image for operators. It is computed on demand from this controller's memory,
//! so it is available during an outage of the store.

use std::collections::BTreeMap;

use crate::Core;
use crate::placer::Placer;
use lemonweir_protocol::image_locality::{
    ImageLocalityReport, ImageUserRow, ShardImageRow, ZoneImageRow,
};

impl Core {
    /// Reports where an image is cached, which jobs use it, and how many copies would remain
    /// after the loss of each zone.
    pub fn image_locality_report(&self, image: &str, now: u64) -> ImageLocalityReport {
        let (image_mb, users) = self.image_users(image);
        // Each local placer knows the machines of all shards, so any of them serves.
        let placer = self.shards.values().next().map(|shard| &shard.placer);
        let shards = placer
            .into_iter()
            .flat_map(|p| p.view_ages_s(now))
            .map(|(shard, view_age_s)| ShardImageRow {
                shard,
                age_s: view_age_s,
            })
            .collect();
        ImageLocalityReport {
            image: image.to_owned(),
            size_mb: image_mb,
            users,
            zones: self.image_zones(image, placer),
            shards,
        }
    }

    /// Returns the size of an image, MB, and the unfinished jobs and tasks that use it, by class.
    fn image_users(&self, image: &str) -> (Option<u64>, Vec<ImageUserRow>) {
        let mut by_class: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let mut size_mb = None;
        let unfinished = self
            .cache
            .jobs
            .values()
            .filter(|job| !job.record.cancel_requested && job.record.spec.image == image);
        for spec in unfinished.map(|job| &job.record.spec) {
            size_mb = Some(spec.image_mb());
            let (jobs, tasks) = by_class.entry(&spec.class).or_default();
            *jobs += 1;
            *tasks += spec.tasks;
        }
        let users = by_class
            .into_iter()
            .map(|(class, (jobs, tasks))| ImageUserRow {
                class: class.to_owned(),
                jobs,
                tasks,
            })
            .collect();
        (size_mb, users)
    }

    /// Counts the copies of an image in each zone, as far as the placer knows.
    fn image_zones(&self, image: &str, placer: Option<&Placer>) -> Vec<ZoneImageRow> {
        let partitioned = placer.map(Placer::partitioned_zones).unwrap_or_default();
        let mut zones: BTreeMap<&str, ZoneImageRow> = BTreeMap::new();
        for zone in &self.config.zones {
            let row = ZoneImageRow {
                zone: zone.clone(),
                cached: 0,
                pulling: 0,
                schedulable: 0,
                cached_elsewhere: 0,
                partitioned: partitioned.contains(zone.as_str()),
            };
            zones.insert(zone, row);
        }
        for machine in placer
            .into_iter()
            .flat_map(super::super::placer::Placer::machines)
        {
            let Some(row) = zones
                .get_mut(machine.zone.as_str())
                .filter(|_| machine.registered)
            else {
                continue;
            };
            if machine.cached_images.iter().any(|i| i == image) {
                row.cached += 1;
                row.schedulable += u64::from(machine.schedulable);
            } else if machine.pulling_images.iter().any(|i| i == image) {
                row.pulling += 1;
            }
        }
        let all: u64 = zones.values().map(|row| row.cached).sum();
        zones
            .into_values()
            .map(|row| ZoneImageRow {
                cached_elsewhere: all - row.cached,
                ..row
            })
            .collect()
    }
}
