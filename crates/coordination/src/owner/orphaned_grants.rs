//! Room that a placer asked for and will never use: it has lost its part.

use super::*;
use lemonweir_storage::state_cache::ShardLeader;

impl Owner {
    /// Learns from a reading of the store at `revision` who holds the parts. A
    /// placer whose token is no part's any more asks for nothing from then on.
    ///
    /// Guards against taking a part for lost that was taken after the reading: the
    /// reading must be at least as new as the token.
    pub fn observe_leaders(
        &mut self,
        holders: &BTreeMap<u16, ShardLeader>,
        revision: u64,
        now: u64,
    ) {
        for (shard, placer) in &mut self.placers {
            let lost = revision >= placer.token
                && holders.get(shard).is_none_or(|h| h.token != placer.token);
            if !lost {
                placer.lease_lost_at = None;
            } else if placer.lease_lost_at.is_none() {
                placer.lease_lost_at = Some(now);
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
    pub(super) fn release_orphaned_grants(&mut self, now: u64) {
        let due = |a: &PlacerSession| a.lease_lost_at.is_some_and(|at| now >= at + ORPHAN_ROOM_MS);
        let lost: BTreeSet<u16> = self
            .placers
            .iter()
            .filter(|(_, a)| due(a))
            .map(|(shard, _)| *shard)
            .collect();
        if lost.is_empty() {
            return;
        }
        let unused = |h: &TrackedAttempt| {
            !h.desired.go
                && matches!(
                    h.stage,
                    AttemptStage::AwaitingPreemption(_)
                        | AttemptStage::Accepted {
                            sent: None,
                            seen: false
                        }
                )
        };
        let here = |id: &AttemptId, h: &TrackedAttempt| {
            self.machines
                .get(&h.desired.machine)
                .is_some_and(|m| m.tasks.contains_key(id))
        };
        let orphans: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(id, h)| lost.contains(&h.from) && unused(h) && !here(id, h))
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            let Some(tracked) = self.attempts.get_mut(&id) else {
                continue;
            };
            info!(attempt = %id, machine = %tracked.desired.machine, shard = self.shard, "its placer is gone; its room is free");
            tracked.stage = AttemptStage::Ended(AttemptState::Refused);
            let (machine, from) = (tracked.desired.machine.clone(), tracked.from);
            self.changed_placers.insert(from);
            self.record_outcome(&machine, &id, AttemptState::Refused, now);
            self.reevaluate(&machine, now);
        }
    }
}
