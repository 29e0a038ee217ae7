//! Room that a placer asked for and will never use: it has lost its part.

use super::*;
use lemonweir_storage::state_cache::ShardLeader;

impl Owner {
    /// Learns from a reading of the store at `revision` who holds the parts. A
    /// placer whose token is no part's any more asks for nothing from then on.
    ///
    /// Guards against taking a part for lost that was taken after the reading: the
    /// reading must be at least as new as the token.
    pub fn watch_placers(&mut self, holders: &BTreeMap<u16, ShardLeader>, revision: u64, now: u64) {
        for (shard, asker) in &mut self.askers {
            let lost = revision >= asker.token
                && holders.get(shard).is_none_or(|h| h.fencing_token != asker.token);
            if !lost {
                asker.lost = None;
            } else if asker.lost.is_none() {
                asker.lost = Some(now);
                info!(
                    shard = self.shard,
                    placer = shard,
                    "its placer has lost its part"
                );
            }
        }
    }

    /// Gives back what lost placers were granted for gangs and never launched, some
    /// time after the store has shown the loss: a successor that comes before can
    /// still finish the gang, and one that comes later learns that the room is gone
    /// and releases the rest. What was launched, or may have been, ends by its
    /// machine's proof alone.
    pub(super) fn free_orphans(&mut self, now: u64) {
        let due = |a: &Asker| a.lost.is_some_and(|at| now >= at + ORPHAN_ROOM_MS);
        let lost: BTreeSet<u16> = self
            .askers
            .iter()
            .filter(|(_, a)| due(a))
            .map(|(shard, _)| *shard)
            .collect();
        if lost.is_empty() {
            return;
        }
        let unused = |h: &Held| {
            !h.want.may_start
                && matches!(
                    h.stage,
                    Stage::Waiting(_)
                        | Stage::Accepted {
                            sent: None,
                            seen: false
                        }
                )
        };
        let here = |id: &AttemptId, h: &Held| {
            self.machines
                .get(&h.want.machine)
                .is_some_and(|m| m.tasks.contains_key(id))
        };
        let orphans: Vec<AttemptId> = self
            .held
            .iter()
            .filter(|(id, h)| lost.contains(&h.from) && unused(h) && !here(id, h))
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            let Some(held) = self.held.get_mut(&id) else {
                continue;
            };
            info!(attempt = %id, machine = %held.want.machine, shard = self.shard, "its placer is gone; its room is free");
            held.stage = Stage::Ended(AttemptState::Refused);
            let (machine, from) = (held.want.machine.clone(), held.from);
            self.dirty.insert(from);
            self.note_end(&machine, &id, AttemptState::Refused, now);
            self.judge(&machine, now);
        }
    }
}
