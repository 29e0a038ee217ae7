//! What is due: the core's own motion, after every event and at every tick.

use std::collections::BTreeMap;

use crate::autoscaler::{CapacityBin, FailingPools, ProvisioningOptions, plan};
use crate::{Core, Effect, Shard};
use lemonweir_model::Catalog;
use lemonweir_model::constants::*;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::peer::SyncRequest;
use lemonweir_storage::records::{ImageLocationsRecord, image_locations_key, shard_key};

impl Core {
    // ---- the pump ----------------------------------------------------------

    /// Does all that is due and returns what the process has to do. Call it
    /// after every event and at every tick.
    pub fn pump(&mut self, now: u64) -> Vec<Effect> {
        self.awake(now);
        let mut effects = Vec::new();
        effects.extend(
            self.links
                .hails(now)
                .into_iter()
                .map(|(host, word)| Effect::Hail(host, word)),
        );
        effects.extend(self.links.probes(now).into_iter().map(Effect::Probe));
        self.pump_chains(now, &mut effects);
        // A sync within this node may give a placer something to do at once.
        for _ in 0..3 {
            if !self.pump_once(now, &mut effects) {
                break;
            }
        }
        effects
    }

    fn pump_once(&mut self, now: u64, effects: &mut Vec<Effect>) -> bool {
        let mut again = false;
        let blind = self.blind(now);
        let word = self.links.store_heard().unwrap_or(0);
        let outlived = self.outlived(now);
        let reading = self.pause.reading(now);
        let indices: Vec<u16> = self.shards.keys().copied().collect();
        for &index in &indices {
            let Some(shard) = self.shards.get_mut(&index) else {
                continue;
            };
            let lease = shard.lease;
            shard.placer.records_version = self.cache.records_version.0;
            shard.owner.hold_starts(outlived);
            // What came in during a pause goes first.
            if !reading {
                if let Some(revision) = self.cache.revision {
                    shard.owner.watch_placers(&self.cache.shard_leaders, revision, now);
                }
                shard.owner.tick(now, word);
            }
            let pages =
                shard
                    .owner
                    .images_note(now, self.config.value_bytes, self.config.image_pages());
            if !pages.is_empty() {
                let owned = Condition {
                    key: shard_key(index),
                    version: lease.token,
                };
                let write = |(page, record): (usize, Option<ImageLocationsRecord>)| match record {
                    Some(record) => Write::put(image_locations_key(index, page), &record),
                    None => Write::Delete {
                        key: image_locations_key(index, page),
                    },
                };
                effects.push(Effect::Note(CompareAndSwap {
                    conditions: vec![owned],
                    writes: pages.into_iter().map(write).collect(),
                }));
            }
            // Guards against a start by an owner that has been blind for so long
            // that its successor may infer the end of all it kept alive.
            if !blind {
                let calls = shard
                    .owner
                    .calls(now, self.config.sockets.orders.saturating_sub(self.calls));
                self.calls += calls.len();
                effects.extend(calls.into_iter().map(|c| Effect::Command(lease, c)));
            }
            let names = if blind {
                Vec::new()
            } else {
                shard.owner.releases()
            };
            if !names.is_empty() {
                effects.push(Effect::Release(lease, names));
            }
            for asker in shard.owner.take_dirty() {
                match self.shards.get_mut(&asker) {
                    Some(p) => p.lines[usize::from(index)].dirty = true,
                    None => {
                        if let Some(p) = self.shards.get_mut(&index) {
                            p.nudged.entry(asker).or_insert(now);
                        }
                    }
                }
            }
        }
        for &index in &indices {
            let Some(shard) = self.shards.get_mut(&index) else {
                continue;
            };
            let lease = shard.lease;
            let nudges: Vec<u16> = shard.nudged.keys().copied().collect();
            shard.nudged.clear();
            effects.extend(nudges.into_iter().map(Effect::Nudge));
            if shard.placer.wants_pass(now) && now >= shard.last_place + PLACE_GAP_MS {
                shard.last_place = now;
                shard.placer.place(now);
            }
            shard.placer.keep_ledger(now, self.config.wall_offset_ms);
            shard
                .placer
                .consolidate(now, now + self.config.wall_offset_ms);
            if let Some(cas) = shard.placer.next_cas(now) {
                effects.push(Effect::CompareAndSwap(lease, cas));
            }
            self.pump_watch(index, now, effects);
            self.pump_rent(index, now, effects);
            again |= self.pump_syncs(index, now, effects);
        }
        again
    }

    /// True if a part that we hold had better be held by a node that hears its
    /// machines.
    pub fn deaf(&self, shard: u16, now: u64) -> bool {
        self.shards.get(&shard).is_some_and(|p| p.owner.deaf(now))
    }

    fn pump_syncs(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) -> bool {
        let mut again = false;
        let age = self.links.store_age(now);
        for to in 0..self.config.members.len() as u16 {
            if self.shards.contains_key(&to) {
                self.links.strays.forget(to);
            }
            let strays = self.links.strays.any(to, now);
            let Some(holder) = self.cache.shard_leaders.get(&to) else {
                continue;
            };
            let local = self.shards.get(&to).map(|p| p.lease.token);
            let Some(shard) = self.shards.get_mut(&index) else {
                return again;
            };
            let token = local.unwrap_or(holder.fencing_token);
            let line = &mut shard.lines[usize::from(to)];
            line.dirty |= shard.placer.unsent(to, token);
            let mail = local.is_none() && line.failures >= MAIL_AFTER_FAILURES;
            shard.placer.by_mail(to, mail);
            let gap = if mail { MAIL_GAP_MS } else { SYNC_GAP_MS };
            let due = now >= line.last + COPY_REFRESH_MS
                || line.dirty && now >= line.last + gap
                || strays && now >= line.last + gap.max(STRAYS_GAP_MS);
            let direct = !mail || !line.busy && now >= line.last_direct + DIRECT_RETRY_MS;
            if !due || line.busy && !mail {
                continue;
            }
            line.last = now;
            line.dirty = false;
            let by_mail = local.is_none() && !direct;
            let room = if by_mail {
                self.config.mail_bytes
            } else {
                SYNC_BYTES
            };
            // Notes are for answers of other nodes; what is told anyway carries
            // them, and the regular refresh.
            let sync = shard
                .placer
                .sync_for(to, token, room, local.is_none() && !by_mail, now);
            if local.is_none() {
                let sync = SyncRequest {
                    store_age_ms: age,
                    misrouted_heartbeats: self.links.strays.count(to, now),
                    ..sync
                };
                if direct {
                    line.busy = true;
                    line.last_direct = now;
                    effects.push(Effect::Sync(shard.lease, sync));
                } else {
                    effects.push(Effect::MailSync(sync));
                }
                continue;
            }
            let view = self
                .shards
                .get_mut(&to)
                .and_then(|p| p.owner.sync(&sync, SYNC_BYTES, now).ok());
            if let (Some(view), Some(shard)) = (view, self.shards.get_mut(&index)) {
                again |= shard.placer.take_view(view, now);
            }
        }
        again
    }

    fn pump_rent(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        if self.unproven() {
            return;
        }
        let Some(catalog) = &self.catalog else { return };
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        if now < shard.rent_after {
            return;
        }
        if shard.planned < shard.placer.passes && shard.rentals.len() < RENTALS_AT_ONCE {
            shard.planned = shard.placer.passes;
            for (kind, zone, spot, count) in shard.plan(index, catalog, now) {
                let same =
                    |r: &ProvisioningRequest| r.machine_type == kind && r.zone == zone && r.spot == spot;
                if shard.rentals.len() >= RENTALS_AT_ONCE
                    || shard.rentals.iter().any(|(r, _)| same(r))
                {
                    continue;
                }
                shard.bookings += 1;
                // The part's token never comes again, so the name is never reused.
                let booking = format!("r-{}-{}-{}", index, shard.lease.token, shard.bookings);
                shard.rentals.push((
                    ProvisioningRequest {
                        request_id: booking,
                        machine_type: kind,
                        zone,
                        spot,
                        count,
                    },
                    false,
                ));
            }
        }
        for (rental, busy) in shard.rentals.iter_mut().filter(|(_, busy)| !busy) {
            *busy = true;
            effects.push(Effect::Rent(shard.lease, rental.clone()));
        }
    }
}

impl Shard {
    /// What to rent for what the placer lacks, beyond what boots already or is
    /// asked for.
    fn plan(&self, index: u16, catalog: &Catalog, now: u64) -> Vec<(String, String, bool, u32)> {
        if self.placer.lacking.is_empty() {
            return Vec::new();
        }
        // What boots in a zone out of sight can't be heard; what is there
        // already is waited for by those who may run nowhere else.
        let hidden = self.placer.hidden_zones();
        let bin = |kind: &str, zone: &str, spot: bool| {
            let free = catalog.get(kind).map(|t| t.capacity).unwrap_or_default();
            CapacityBin {
                kind: kind.to_owned(),
                zone: zone.to_owned(),
                spot,
                free,
            }
        };
        let mut zones: BTreeMap<String, usize> = BTreeMap::new();
        let mut bins: Vec<CapacityBin> = Vec::new();
        for m in self.placer.machines() {
            match zones.get_mut(&m.zone) {
                Some(n) => *n += 1,
                None => drop(zones.insert(m.zone.clone(), 1)),
            }
            if !m.registered
                && (m.schedulable || hidden.contains(m.zone.as_str()))
                && m.provisioned_by.is_none_or(|r| r == index)
            {
                bins.push(bin(&m.machine_type, &m.zone, m.spot));
            }
        }
        // What is overdue boots, and is not open.
        let booting = self.placer.machines().filter(|m| !m.registered && m.task_count == 0);
        let failing =
            FailingPools::of(booting.map(|m| (m.machine_type.as_str(), m.zone.as_str(), m.spot, !m.schedulable)));
        bins.extend(
            self.placer
                .promises
                .iter()
                .map(|p| bin(&p.rented.machine_type, &p.rented.zone, p.rented.spot)),
        );
        for (r, _) in &self.rentals {
            bins.extend((0..r.count).map(|_| bin(&r.machine_type, &r.zone, r.spot)));
        }
        let market = ProvisioningOptions {
            hidden: &hidden,
            failing: &failing,
            catalog,
            shortage: &self.shortage,
        };
        plan(&self.placer.lacking, &bins, &zones, &market, now)
    }
}
