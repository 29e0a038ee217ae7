//! The picture of one image for operators. It is made when it is asked for, from what
//! this controller follows and was told, so it works while the store is away.

use std::collections::BTreeMap;

use crate::Core;
use lemonweir_protocol::image_locality::{
    ImageLocalityReport, ImageUserRow, ShardImageRow, ZoneImageRow,
};

impl Core {
    /// Where an image lies, who uses it, and what the loss of each zone would leave.
    pub fn weights(&self, image: &str, now: u64) -> ImageLocalityReport {
        let mut users: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        let unfinished = self
            .cache
            .jobs
            .values()
            .filter(|j| !j.record.cancel_requested && j.record.spec.image == image);
        let mut mb = None;
        for spec in unfinished.map(|j| &j.record.spec) {
            mb = Some(spec.image_mb());
            let (jobs, tasks) = users.entry(&spec.class).or_default();
            *jobs += 1;
            *tasks += spec.tasks;
        }
        let users = users
            .into_iter()
            .map(|(class, (jobs, tasks))| ImageUserRow {
                class: class.to_owned(),
                jobs,
                tasks,
            })
            .collect();
        // Any placer of ours has the machines of all parts.
        let placer = self.shards.values().next().map(|p| &p.placer);
        let mut zones: BTreeMap<&str, ZoneImageRow> = BTreeMap::new();
        let out_of_sight = placer.map(|p| p.hidden_zones()).unwrap_or_default();
        for zone in &self.config.zones {
            let hidden = out_of_sight.contains(zone.as_str());
            let row = ZoneImageRow {
                zone: zone.clone(),
                cached: 0,
                pulling: 0,
                schedulable: 0,
                cached_elsewhere: 0,
                partitioned: hidden,
            };
            zones.insert(zone, row);
        }
        for m in placer.into_iter().flat_map(|p| p.machines()) {
            let Some(row) = zones.get_mut(m.zone.as_str()).filter(|_| m.registered) else {
                continue;
            };
            if m.cached_images.iter().any(|i| i == image) {
                row.cached += 1;
                row.schedulable += u64::from(m.schedulable);
            } else if m.pulling_images.iter().any(|i| i == image) {
                row.pulling += 1;
            }
        }
        let all: u64 = zones.values().map(|z| z.cached).sum();
        let zones = zones
            .into_values()
            .map(|z| ZoneImageRow {
                cached_elsewhere: all - z.cached,
                ..z
            })
            .collect();
        let shards = placer
            .into_iter()
            .flat_map(|p| p.told(now))
            .map(|(shard, told_s)| ShardImageRow { shard, age_s: told_s })
            .collect();
        ImageLocalityReport {
            image: image.to_owned(),
            size_mb: mb,
            users,
            zones,
            shards,
        }
    }
}
