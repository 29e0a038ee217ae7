//! Entries of changes of hands: written with each, closed in spare writes.

use crate::election::ElectionAction;
use crate::supervision::takeover::{Failover, left_open};
use crate::{Core, Effect, ShardLease};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition};
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange, NewFailover};
use lemonweir_storage::records::{hand_back, leave_part, part_key, take_part};

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
            ElectionAction::Take { part, version } => {
                let how = if version == 0 {
                    LeadershipChange::Vacant
                } else {
                    LeadershipChange::Reborn
                };
                take_part(version, &me.host, hold, &self.entry(part, how, now))
            }
            ElectionAction::HandBack(lot) => {
                let mut txn = hand_back(
                    lot.token,
                    &self.entry(lot.part, LeadershipChange::HandedBack, now),
                );
                self.close_now(lot, &mut txn, now);
                txn
            }
            ElectionAction::Leave(lot) => {
                let entry = self.entry(lot.part, LeadershipChange::Left, now);
                let mut txn = leave_part(lot.token, &entry, &me.host, &me.zone, hold, left);
                self.close_now(lot, &mut txn, now);
                txn
            }
        }
    }

    /// The entry of a change of hands that is made now.
    fn entry(&self, part: u16, how: LeadershipChange, now: u64) -> NewFailover {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let (n, slot_version) = self.mirror.handovers.next(part);
        let (from, to) = match how {
            LeadershipChange::Vacant => (
                self.mirror
                    .handovers
                    .of(part)
                    .last()
                    .and_then(|(r, _)| r.last_holder().cloned()),
                Some(me.clone()),
            ),
            LeadershipChange::Reborn => (Some(me.clone()), Some(me.clone())),
            _ => (Some(me.clone()), None),
        };
        // Its own placer knows best what is up, another's from its copy.
        let knows = self.parts.get(&part).or_else(|| self.parts.values().next());
        let up = knows.and_then(|p| p.placer.known_up(part));
        let record = FailoverRecord {
            n,
            from,
            to,
            how,
            at: now + self.config.wall_offset_ms,
            up,
            closed: None,
        };
        NewFailover {
            part,
            slot_version,
            record,
        }
    }

    /// Closes a part's open entry with what is known, as it is given up.
    fn close_now(&self, lot: ShardLease, txn: &mut CompareAndSwap, now: u64) {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let takeover = self
            .parts
            .get(&lot.part)
            .filter(|p| p.lot == lot)
            .map(|p| &p.takeover);
        let Some((takeover, number)) = takeover.and_then(|t| Some((t, t.entry()?))) else {
            return;
        };
        // Its slot may be the one that the new entry takes.
        let key = |n: &NewFailover| lemonweir_storage::failovers::handover_key(n.part, n.record.n);
        if let Some(mut entry) = self
            .mirror
            .handovers
            .again(lot.part, number)
            .filter(|e| e.record.open())
        {
            if txn.conditions.iter().any(|c| c.key == key(&entry)) {
                return;
            }
            entry.record.closed = Some(takeover.closing(me, now));
            entry.join(txn);
        }
    }

    /// What was found after a part was taken is kept from now on.
    pub(crate) fn begin_takeover(&mut self, lot: ShardLease, now: u64) {
        let entry = self
            .mirror
            .handovers
            .of(lot.part)
            .into_iter()
            .find(|(_, version)| *version == lot.token)
            .map(|(r, _)| (r.n, r.at));
        let began = entry.map_or(now, |(_, at)| {
            at.saturating_sub(self.config.wall_offset_ms).min(now)
        });
        if let Some(part) = self.parts.get_mut(&lot.part) {
            part.placer.look(&mut part.takeover, now);
            let awaited = part.placer.services.short().clone();
            part.takeover = Failover::new(entry.map(|(n, _)| n), lot.token, began, awaited, now);
        }
    }

    /// Looks at the services that something happened to, and closes the part's
    /// entry once it is time and the store's changes are to spare.
    pub(crate) fn pump_watch(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let me = &self.config.members[usize::from(self.config.me)].host;
        let Some(part) = self.parts.get_mut(&index) else {
            return;
        };
        part.placer.look(&mut part.takeover, now);
        part.placer.escalate(&part.shortage, now);
        let Some(number) = part.takeover.due(now) else {
            return;
        };
        let rings = &self.mirror.handovers;
        let Some(mut entry) = rings.again(index, number).filter(|e| e.record.open()) else {
            // Closed, as the copy shows, or the ring has come round.
            return part.takeover.closed();
        };
        // Guards against a note that takes a start's turn.
        if part.placer.starts_wait() {
            return;
        }
        part.takeover.tried(now);
        entry.record.closed = Some(part.takeover.closing(me, now));
        let mut txn = CompareAndSwap {
            conditions: vec![Condition {
                key: part_key(index),
                version: part.lot.token,
            }],
            writes: Vec::new(),
        };
        entry.join(&mut txn);
        // Those that earlier holders left open, each with when it was over.
        let all = rings.of(index);
        for (i, (record, version)) in all
            .iter()
            .enumerate()
            .filter(|(_, (r, _))| r.n < number && r.open())
        {
            if txn.writes.len() >= self.config.txn_ops {
                break;
            }
            let held_ms = all
                .get(i + 1)
                .filter(|(next, _)| next.n == record.n + 1)
                .map(|(next, _)| next.at.saturating_sub(record.at));
            let closed = Some(left_open(me, *version, held_ms));
            let record = FailoverRecord {
                closed,
                ..(*record).clone()
            };
            NewFailover {
                part: index,
                slot_version: *version,
                record,
            }
            .join(&mut txn);
        }
        effects.push(Effect::Note(txn));
    }
}
