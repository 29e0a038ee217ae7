//! Entries of changes of hands: written with each, closed in spare writes.

use crate::election::ElectionAction;
use crate::supervision::failover::{Failover, left_open};
use crate::{Core, Effect, ShardLease};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition};
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange, NewFailover};
use lemonweir_storage::records::{acquire_shard, cede_shard, release_shard, shard_key};

impl Core {
    /// The transaction that does what a claim says, with the entry that tells of
    /// it. `left`: the parts that this node leaves to others now.
    ///
    /// A conflict on the entry's slot alone means that the copy was older than a
    /// change of hands, or than a closing: the next reading shows it.
    pub fn claim_txn(
        &self,
        claim: &ElectionAction,
        hold: u64,
        left: Vec<u16>,
        now: u64,
    ) -> CompareAndSwap {
        let me = &self.config.members[usize::from(self.config.me)];
        match *claim {
            ElectionAction::Take { shard, version } => {
                let how = if version == 0 {
                    LeadershipChange::Vacant
                } else {
                    LeadershipChange::Restarted
                };
                acquire_shard(version, &me.host, hold, &self.entry(shard, how, now))
            }
            ElectionAction::HandBack(lease) => {
                let mut cas = release_shard(
                    lease.token,
                    &self.entry(lease.shard, LeadershipChange::ReturnedHome, now),
                );
                self.close_now(lease, &mut cas, now);
                cas
            }
            ElectionAction::Leave(lease) => {
                let entry = self.entry(lease.shard, LeadershipChange::Ceded, now);
                let mut cas = cede_shard(lease.token, &entry, &me.host, &me.zone, hold, left);
                self.close_now(lease, &mut cas, now);
                cas
            }
        }
    }

    /// The entry of a change of hands that is made now.
    fn entry(&self, shard: u16, how: LeadershipChange, now: u64) -> NewFailover {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let (n, slot_version) = self.cache.failovers.next_slot(shard);
        let (from, to) = match how {
            LeadershipChange::Vacant => (
                self.cache
                    .failovers
                    .entries_of(shard)
                    .last()
                    .and_then(|(r, _)| r.last_leader().cloned()),
                Some(me.clone()),
            ),
            LeadershipChange::Restarted => (Some(me.clone()), Some(me.clone())),
            _ => (Some(me.clone()), None),
        };
        // Its own placer knows best what is up, another's from its copy.
        let knows = self
            .shards
            .get(&shard)
            .or_else(|| self.shards.values().next());
        let up = knows.and_then(|p| p.placer.known_up(shard));
        let record = FailoverRecord {
            number: n,
            previous_leader: from,
            new_leader: to,
            change: how,
            at_ms: now + self.config.wall_offset_ms,
            up,
            completion: None,
        };
        NewFailover {
            shard,
            slot_version,
            record,
        }
    }

    /// Closes a part's open entry with what is known, as it is given up.
    fn close_now(&self, lease: ShardLease, cas: &mut CompareAndSwap, now: u64) {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let failover = self
            .shards
            .get(&lease.shard)
            .filter(|p| p.lease == lease)
            .map(|p| &p.failover);
        let Some((failover, number)) = failover.and_then(|t| Some((t, t.entry()?))) else {
            return;
        };
        // Its slot may be the one that the new entry takes.
        let key = |n: &NewFailover| lemonweir_storage::failovers::failover_key(n.shard, n.record.number);
        if let Some(mut entry) = self
            .cache
            .failovers
            .rewrite(lease.shard, number)
            .filter(|e| e.record.is_open())
        {
            if cas.conditions.iter().any(|c| c.key == key(&entry)) {
                return;
            }
            entry.record.completion = Some(failover.closing(me, now));
            entry.add_to(cas);
        }
    }

    /// What was found after a part was taken is kept from now on.
    pub(crate) fn begin_takeover(&mut self, lease: ShardLease, now: u64) {
        let entry = self
            .cache
            .failovers
            .entries_of(lease.shard)
            .into_iter()
            .find(|(_, version)| *version == lease.token)
            .map(|(r, _)| (r.number, r.at_ms));
        let began = entry.map_or(now, |(_, at)| {
            at.saturating_sub(self.config.wall_offset_ms).min(now)
        });
        if let Some(shard) = self.shards.get_mut(&lease.shard) {
            shard.placer.look(&mut shard.failover, now);
            let awaited = shard.placer.services.short().clone();
            shard.failover = Failover::new(entry.map(|(n, _)| n), lease.token, began, awaited, now);
        }
    }

    /// Looks at the services that something happened to, and closes the part's
    /// entry once it is time and the store's changes are to spare.
    pub(crate) fn pump_watch(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        shard.placer.look(&mut shard.failover, now);
        shard.placer.escalate(&shard.shortage, now);
        let Some(number) = shard.failover.due(now) else {
            return;
        };
        let rings = &self.cache.failovers;
        let Some(mut entry) = rings.rewrite(index, number).filter(|e| e.record.is_open()) else {
            // Closed, as the copy shows, or the ring has come round.
            return shard.failover.closed();
        };
        // Guards against a note that takes a start's turn.
        if shard.placer.starts_wait() {
            return;
        }
        shard.failover.tried(now);
        entry.record.completion = Some(shard.failover.closing(me, now));
        let mut cas = CompareAndSwap {
            conditions: vec![Condition {
                key: shard_key(index),
                version: shard.lease.token,
            }],
            writes: Vec::new(),
        };
        entry.add_to(&mut cas);
        // Those that earlier holders left open, each with when it was over.
        let all = rings.entries_of(index);
        for (i, (record, version)) in all
            .iter()
            .enumerate()
            .filter(|(_, (r, _))| r.number < number && r.is_open())
        {
            if cas.writes.len() >= self.config.txn_ops {
                break;
            }
            let held_ms = all
                .get(i + 1)
                .filter(|(next, _)| next.number == record.number + 1)
                .map(|(next, _)| next.at_ms.saturating_sub(record.at_ms));
            let closed = Some(left_open(me, *version, held_ms));
            let record = FailoverRecord {
                completion: closed,
                ..(*record).clone()
            };
            NewFailover {
                shard: index,
                slot_version: *version,
                record,
            }
            .add_to(&mut cas);
        }
        effects.push(Effect::Note(cas));
    }
}
