//! Work that is due after an event or a tick, and the effects that it requests.

use crate::{Core, Effect, HeartbeatAnswer, Shard};
use lemonweir_model::constants::PLACEMENT_INTERVAL_MS;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_storage::records::{ImageLocationsRecord, image_locations_key, shard_key};

/// Maximum rounds of one flush: a sync between shards of this process may give a placer new
/// work at once.
const MAX_FLUSH_ROUNDS: usize = 3;

impl Core {
    /// Does all work that is due and returns the effects for the process to execute. Must be
    /// called after every event and at every tick.
    pub fn flush(&mut self, now: u64) -> Vec<Effect> {
        self.detect_stall(now);
        let mut effects = Vec::new();
        self.flush_links(now, &mut effects);
        let refused = std::mem::take(&mut self.refused_heartbeats).into_iter();
        effects.extend(refused.map(|id| Effect::AnswerHeartbeat(id, HeartbeatAnswer::Unavailable)));
        self.flush_dependencies(now, &mut effects);
        self.flush_progress(now, &mut effects);
        for _ in 0..MAX_FLUSH_ROUNDS {
            if !self.flush_shards(now, &mut effects) {
                break;
            }
        }
        effects
    }

    /// Emits gossip to other controllers, and probes of services whose calls are relayed.
    fn flush_links(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let gossip = self.links.due_gossip(now).into_iter();
        effects.extend(gossip.map(|(host, gossip)| Effect::SendGossip(host, gossip)));
        let probes = self.links.due_probes(now).into_iter();
        effects.extend(probes.map(Effect::ProbeService));
    }

    /// Flushes all shards once, the owners first. Returns true if a placer was given new work.
    fn flush_shards(&mut self, now: u64, effects: &mut Vec<Effect>) -> bool {
        let indices: Vec<u16> = self.shards.keys().copied().collect();
        for &index in &indices {
            self.flush_owner(index, now, effects);
        }
        let mut placer_woken = false;
        for &index in &indices {
            placer_woken |= self.flush_placer(index, now, effects);
        }
        placer_woken
    }

    fn flush_owner(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        self.advance_owner(index, now);
        self.flush_image_locations(index, now, effects);
        self.flush_held_answers(index, now, effects);
        // Once the grace period of a store outage is over, a successor may infer that every
        // attempt this owner kept alive has ended. The owner must not start anything then, so it
        // neither sends commands nor releases instances.
        if !self.store_outage_grace_exceeded(now) {
            self.flush_commands(index, now, effects);
            self.flush_instance_releases(index, effects);
        }
        self.wake_placers(index, now);
    }

    /// Pauses or resumes the owner's launches, and runs its timers unless messages received
    /// during a process stall are unread.
    fn advance_owner(&mut self, index: u16, now: u64) {
        let last_answer = self.links.last_store_answer().unwrap_or(0);
        let lease_may_have_expired = self.store_lease_may_have_expired(now);
        let backlog_unread = self.stall.backlog_unread(now);
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        shard.placer.record_format_version = self.cache.records_version.0;
        shard.owner.pause_launches(lease_may_have_expired);
        if backlog_unread {
            return;
        }
        if let Some(revision) = self.cache.revision {
            shard
                .owner
                .observe_leaders(&self.cache.shard_leaders, revision, now);
        }
        shard.owner.tick(now, last_answer);
    }

    /// Writes image locations that have changed, as a hint for the next leader.
    fn flush_image_locations(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let (value_bytes, pages_per_cas) =
            (self.config.value_bytes, self.config.value_pages_per_cas());
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        let pages = shard
            .owner
            .changed_image_pages(now, value_bytes, pages_per_cas);
        if pages.is_empty() {
            return;
        }
        let lease_held = Condition {
            key: shard_key(index),
            version: shard.lease.token,
        };
        let write = |(page, record): (usize, Option<ImageLocationsRecord>)| match record {
            Some(record) => Write::put(image_locations_key(index, page), &record),
            None => Write::Delete {
                key: image_locations_key(index, page),
            },
        };
        effects.push(Effect::WriteHint(CompareAndSwap {
            conditions: vec![lease_held],
            writes: pages.into_iter().map(write).collect(),
        }));
    }

    /// Emits commands to machines, as far as sockets are available.
    fn flush_commands(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        let sockets = self.config.sockets.commands;
        let calls = shard
            .owner
            .due_calls(now, sockets.saturating_sub(self.commands_in_flight));
        self.commands_in_flight += calls.len();
        let lease = shard.lease;
        effects.extend(calls.into_iter().map(|call| Effect::Command(lease, call)));
    }

    /// Emits the release of instances chosen for scale-in.
    fn flush_instance_releases(&mut self, index: u16, effects: &mut Vec<Effect>) {
        if let Some(shard) = self.shards.get_mut(&index) {
            let machines = shard.owner.begin_releases();
            if !machines.is_empty() {
                effects.push(Effect::ReleaseInstances(shard.lease, machines));
            }
        }
    }

    /// Wakes the placers for which the owner's published state has changed: those in this
    /// process at once, the others by a call.
    fn wake_placers(&mut self, index: u16, now: u64) {
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        for placer in shard.owner.take_changed_placers() {
            if let Some(shard) = self.shards.get_mut(&placer) {
                shard.peer_channels[usize::from(index)].dirty = true;
            } else if let Some(shard) = self.shards.get_mut(&index) {
                shard.peers_to_wake.entry(placer).or_insert(now);
            }
        }
    }

    /// Flushes a placer. Returns true if a sync within this process gave the placer new work.
    fn flush_placer(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) -> bool {
        let wall_clock_offset_ms = self.config.wall_clock_offset_ms;
        let Some(shard) = self.shards.get_mut(&index) else {
            return false;
        };
        let peers = std::mem::take(&mut shard.peers_to_wake);
        effects.extend(peers.into_keys().map(Effect::WakePeer));
        shard.place_if_due(now);
        shard
            .placer
            .advance_gang_admissions(now, wall_clock_offset_ms);
        shard
            .placer
            .consolidate_replicas(now, now + wall_clock_offset_ms);
        if let Some(cas) = shard.placer.next_cas(now) {
            effects.push(Effect::CompareAndSwap(shard.lease, cas));
        }
        self.flush_supervision(index, now, effects);
        self.flush_provisioning(index, now, effects);
        self.flush_syncs(index, now, effects)
    }

    /// True if this controller leads a shard but most of its machines reach another controller
    /// and not this one directly, so that the other controller should lead it.
    pub fn workers_unreachable(&self, shard: u16, now: u64) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|shard| shard.owner.is_unreachable(now))
    }
}

impl Shard {
    fn place_if_due(&mut self, now: u64) {
        if self.placer.placement_is_due(now) && now >= self.last_placement + PLACEMENT_INTERVAL_MS {
            self.last_placement = now;
            self.placer.run_placement_pass(now);
        }
    }
}
