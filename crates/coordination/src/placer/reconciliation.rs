//! Reconciliation with the owners' views of their shards: the states of the attempts, and
//! the machines with their usage.

use lemonweir_model::MachineId;
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::peer::{Continuation, MachineView, ObservedState, ShardView};
use tracing::warn;

use super::Placer;
use super::partitions::empty_index;

impl Placer {
    /// Applies an owner's view of its shard; true if it holds changes that matter for
    /// placement.
    pub fn apply_view(&mut self, mut view: ShardView, now: u64) -> bool {
        if !self.accepts_view(&view) {
            return false;
        }
        let shard = view.shard;
        self.record_view(&view, now);
        self.apply_partitions(shard, std::mem::take(&mut view.partitioned_zones), now);

        let channel = &mut self.owner_channels[usize::from(shard)];
        if view.fencing_token == channel.recipient_token {
            channel.acknowledge(view.seq, view.desired_revision);
        }
        let machines = view
            .machines_range
            .continues_from(channel.observed.machines_revision);
        let attempts = view
            .attempts_range
            .continues_from(channel.observed.attempts_revision);
        if attempts.is_some() {
            channel.observed.attempts_revision = view.attempts_range.until;
        }
        if machines.is_some() {
            channel.observed.machines_revision = view.machines_range.until;
        }

        if attempts.is_some() {
            for attempt in &view.attempts {
                self.apply_attempt_state(&attempt.id, attempt.state, shard, now);
            }
        }
        let has_news = !view.machines.is_empty()
            || !view.removed_machines.is_empty()
            || !view.attempts.is_empty();
        let Some(continuation) = machines else {
            return has_news;
        };
        self.apply_machines(view, &continuation, now);
        self.placement_due |= has_news;
        has_news
    }

    /// True if a view is newer than the last one and answers a message of this placer.
    fn accepts_view(&self, view: &ShardView) -> bool {
        let Some(channel) = self.owner_channels.get(usize::from(view.shard)) else {
            return false;
        };
        let is_old = view.fencing_token < channel.observed_token
            || view.fencing_token == channel.observed_token && view.seq <= channel.last_view_seq;
        // Guards against an answer to an earlier leader's message that arrives late through
        // the store: it acknowledges changes that this placer never sent.
        let is_to_earlier_leader = view.seq <= self.fencing_token << MACHINE_TOKEN_BITS;
        if is_old || is_to_earlier_leader {
            return false;
        }
        let is_impossible = view.seq > channel.last_sent_seq
            || view.fencing_token == channel.recipient_token
                && view.desired_revision > channel.desired.last();
        if is_impossible {
            warn!(
                shard = self.shard,
                from_shard = view.shard,
                seq = view.seq,
                "view rejected: it acknowledges messages that were never sent"
            );
        }
        !is_impossible
    }

    /// Records the sender, the sequence number and the arrival time of the newest view.
    fn record_view(&mut self, view: &ShardView, now: u64) {
        let channel = &mut self.owner_channels[usize::from(view.shard)];
        if view.fencing_token > channel.observed_token {
            (channel.observed_token, channel.observed) =
                (view.fencing_token, ObservedState::default());
        }
        channel.last_view_seq = view.seq;
        channel.last_view_at = Some(now);
    }

    /// Applies the machines of a view to the index of its shard.
    fn apply_machines(&mut self, view: ShardView, continuation: &Continuation, now: u64) {
        let shard = view.shard;
        match continuation {
            Continuation::Snapshot => {
                self.indexes[usize::from(shard)] =
                    empty_index(self.shard, shard, self.owner_channels.len() as u16);
            }
            Continuation::Delta => {}
        }
        for machine in &view.removed_machines {
            self.indexes[usize::from(shard)].remove(machine);
        }
        for machine in view.machines {
            self.apply_machine(machine, shard, now);
        }
        if view.machines_range.complete {
            // The published usage of all machines is now as new as the attempt states.
            let machines: Vec<MachineId> = self.owner_channels[usize::from(shard)]
                .accepted_not_in_usage
                .keys()
                .cloned()
                .collect();
            for machine in machines {
                self.apply_machine_usage(&machine, shard);
            }
        }
        let index = &self.indexes[usize::from(shard)];
        self.pending_instances.retain(|pending| {
            pending.shard != shard || index.position(&pending.instance.machine).is_none()
        });
    }

    fn apply_machine(&mut self, machine: MachineView, shard: u16, now: u64) {
        let (id, is_draining) = (machine.id.clone(), machine.draining);
        let cache_mb = self
            .cache_mb_by_type
            .get(&machine.machine_type)
            .copied()
            .unwrap_or(u64::MAX);
        let headroom_mb = self
            .image_usage
            .cache_headroom_mb(&machine.cached_images, cache_mb);
        let index = &mut self.indexes[usize::from(shard)];
        index.upsert(machine);
        index.set_cache_headroom(&id, headroom_mb);
        self.apply_machine_usage(&id, shard);
        if is_draining {
            self.evict_machine(&id, shard, now);
        }
    }
}
