//! Failover log: a record is written together with each change of a shard's leader, and
//! completed later by writes that nothing else depends on.

use crate::election::ElectionAction;
use crate::supervision::failover::{Failover, abandoned_completion};
use crate::{Core, Effect, ShardLease};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition};
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange, NewFailover, failover_key};
use lemonweir_storage::records::{acquire_shard, cede_shard, release_shard, shard_key};

impl Core {
    /// Returns the compare-and-swap that carries out an election action and writes its failover
    /// record. `store_lease` is the lease of this process's keys; `ceded_shards` are the shards
    /// that this controller cedes to others.
    ///
    /// A conflict on the record's slot alone means that the state cache lacked a recent change
    /// of leaders or completion; the next read of the store brings it up to date.
    pub fn election_cas(
        &self,
        action: &ElectionAction,
        store_lease: u64,
        ceded_shards: Vec<u16>,
        now: u64,
    ) -> CompareAndSwap {
        let own_member = &self.config.members[usize::from(self.config.own_index)];
        match *action {
            ElectionAction::Acquire { shard, version } => {
                let change = if version == 0 {
                    LeadershipChange::Vacant
                } else {
                    LeadershipChange::Restarted
                };
                let record = self.new_failover(shard, change, now);
                acquire_shard(version, &own_member.host, store_lease, &record)
            }
            ElectionAction::ReturnToHome(lease) => {
                let record = self.new_failover(lease.shard, LeadershipChange::ReturnedHome, now);
                let mut cas = release_shard(lease.token, &record);
                self.complete_on_release(lease, &mut cas, now);
                cas
            }
            ElectionAction::Cede(lease) => {
                let record = self.new_failover(lease.shard, LeadershipChange::Ceded, now);
                let mut cas = cede_shard(
                    lease.token,
                    &record,
                    &own_member.host,
                    &own_member.zone,
                    store_lease,
                    ceded_shards,
                );
                self.complete_on_release(lease, &mut cas, now);
                cas
            }
        }
    }

    /// Builds the record of a change of leaders made at `now`.
    fn new_failover(&self, shard: u16, change: LeadershipChange, now: u64) -> NewFailover {
        let own_host = self.host();
        let (next_number, slot_version) = self.cache.failovers.next_slot(shard);
        let (from, to) = match change {
            LeadershipChange::Vacant => (self.last_leader(shard), Some(own_host.to_owned())),
            LeadershipChange::Restarted => (Some(own_host.to_owned()), Some(own_host.to_owned())),
            LeadershipChange::ReturnedHome | LeadershipChange::Ceded | LeadershipChange::Other => {
                (Some(own_host.to_owned()), None)
            }
        };
        // The shard's own placer has the newest running counts; other placers have them from
        // shard views.
        let counted_by = self
            .shards
            .get(&shard)
            .or_else(|| self.shards.values().next());
        let record = FailoverRecord {
            number: next_number,
            previous_leader: from,
            new_leader: to,
            change,
            at_ms: now + self.config.wall_clock_offset_ms,
            up: counted_by.and_then(|s| s.placer.running_counts(shard)),
            completion: None,
        };
        NewFailover {
            shard,
            slot_version,
            record,
        }
    }

    /// Returns the host name of this controller.
    fn host(&self) -> &str {
        &self.config.members[usize::from(self.config.own_index)].host
    }

    /// Returns the host name of a shard's last known leader.
    fn last_leader(&self, shard: u16) -> Option<String> {
        let records = self.cache.failovers.entries_of(shard);
        let (record, _) = records.last()?;
        record.last_leader().cloned()
    }

    /// Adds the completion of a shard's open record to the compare-and-swap that releases its
    /// lease.
    fn complete_on_release(&self, lease: ShardLease, cas: &mut CompareAndSwap, now: u64) {
        let Some((failover, number)) = self
            .shards
            .get(&lease.shard)
            .filter(|shard| shard.lease == lease)
            .and_then(|shard| Some((&shard.failover, shard.failover.record_number()?)))
        else {
            return;
        };
        let Some(mut completed) = self
            .cache
            .failovers
            .rewrite(lease.shard, number)
            .filter(|f| f.record.is_open())
        else {
            return;
        };
        // The new record may take the same slot of the ring buffer.
        let key = failover_key(completed.shard, completed.record.number);
        if cas.conditions.iter().any(|c| c.key == key) {
            return;
        }
        completed.record.completion = Some(failover.completion(self.host(), now));
        completed.add_to(cas);
    }

    /// Begins to collect observations after the failover of a shard to this controller.
    pub(crate) fn begin_failover(&mut self, lease: ShardLease, now: u64) {
        let record = self
            .cache
            .failovers
            .entries_of(lease.shard)
            .into_iter()
            .find(|(_, version)| *version == lease.token)
            .map(|(record, _)| record);
        let record_number = record.map(|r| r.number);
        let began_at = record.map_or(now, |r| {
            r.at_ms
                .saturating_sub(self.config.wall_clock_offset_ms)
                .min(now)
        });
        if let Some(shard) = self.shards.get_mut(&lease.shard) {
            shard.placer.observe_services(&mut shard.failover, now);
            let recovering = shard.placer.services.under_replicated().clone();
            shard.failover = Failover::new(record_number, lease.token, began_at, recovering, now);
        }
    }

    /// Observes the services that changed, escalates overdue ones, and completes the shard's
    /// failover record once it is due and no start waits to be written.
    pub(crate) fn flush_supervision(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        shard.placer.observe_services(&mut shard.failover, now);
        shard.placer.escalate(&shard.shortages, now);
        let Some(number) = shard.failover.completion_due(now) else {
            return;
        };
        let Some(completed) = self
            .cache
            .failovers
            .rewrite(index, number)
            .filter(|f| f.record.is_open())
        else {
            // The state cache shows the record as completed, or the ring buffer has overwritten it.
            return shard.failover.completed();
        };
        // The record must not delay the write of a start.
        if shard.placer.has_unwritten_starts() {
            return;
        }
        shard.failover.completion_attempted(now);
        if let Some(cas) = self.completion_cas(index, completed, now) {
            effects.push(Effect::WriteHint(cas));
        }
    }

    /// Returns the compare-and-swap that completes a shard's record and those that earlier
    /// leaders left open.
    fn completion_cas(
        &self,
        index: u16,
        mut completed: NewFailover,
        now: u64,
    ) -> Option<CompareAndSwap> {
        let shard = self.shards.get(&index)?;
        let number = completed.record.number;
        completed.record.completion = Some(shard.failover.completion(self.host(), now));
        let mut cas = CompareAndSwap {
            conditions: vec![Condition {
                key: shard_key(index),
                version: shard.lease.token,
            }],
            writes: Vec::new(),
        };
        completed.add_to(&mut cas);
        for abandoned in self.abandoned_records(index, number) {
            if cas.writes.len() >= self.config.cas_max_changes {
                break;
            }
            abandoned.add_to(&mut cas);
        }
        Some(cas)
    }

    /// Returns the records before `number` that a shard's leaders left open, each completed with
    /// the duration of its leadership.
    fn abandoned_records(&self, index: u16, number: u64) -> Vec<NewFailover> {
        let records = self.cache.failovers.entries_of(index);
        let mut abandoned = Vec::new();
        for (i, (record, version)) in records.iter().enumerate() {
            if record.number >= number || !record.is_open() {
                continue;
            }
            let held_ms = records
                .get(i + 1)
                .filter(|(next, _)| next.number == record.number + 1)
                .map(|(next, _)| next.at_ms.saturating_sub(record.at_ms));
            let final_completion = Some(abandoned_completion(self.host(), *version, held_ms));
            abandoned.push(NewFailover {
                shard: index,
                slot_version: *version,
                record: FailoverRecord {
                    completion: final_completion,
                    ..(*record).clone()
                },
            });
        }
        abandoned
    }
}
