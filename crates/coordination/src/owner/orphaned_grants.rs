//! Release of resources that were granted to a placer which has lost its shard's lease.

use super::*;
use lemonweir_model::constants::ORPHANED_GRANT_MS;
use lemonweir_storage::state_cache::ShardLeader;

impl Owner {
    /// Observes the shards' leaders in a store read at `revision`, and records which placers
    /// have lost their lease. Attempts that such a placer holds back for a gang are no
    /// longer allowed to start.
    ///
    /// The read must be at least as new as the placer's token: a lease that was acquired
    /// after the read is not lost.
    pub fn observe_leaders(
        &mut self,
        leaders: &BTreeMap<u16, ShardLeader>,
        revision: u64,
        now: u64,
    ) {
        for (shard, placer) in &mut self.placers {
            let lost = revision >= placer.token
                && leaders
                    .get(shard)
                    .is_none_or(|leader| leader.fencing_token != placer.token);
            if !lost {
                placer.lease_lost_at = None;
            } else if placer.lease_lost_at.is_none() {
                placer.lease_lost_at = Some(now);
                info!(
                    shard = self.shard,
                    placer = shard,
                    "placer lost its shard lease"
                );
            }
        }
    }

    /// Releases the grants for gangs that placers without their lease never launched,
    /// [`ORPHANED_GRANT_MS`] after the store showed the loss. A successor that syncs before
    /// then can still admit the gang; a later one learns that the grant is gone and releases
    /// the gang's other grants. Attempts
    /// that were or may have been launched end only by proof from their machine.
    pub(super) fn release_orphaned_grants(&mut self, now: u64) {
        let due = |p: &PlacerSession| {
            p.lease_lost_at
                .is_some_and(|at| now >= at + ORPHANED_GRANT_MS)
        };
        let superseded: BTreeSet<u16> = self
            .placers
            .iter()
            .filter(|(_, placer)| due(placer))
            .map(|(shard, _)| *shard)
            .collect();
        if superseded.is_empty() {
            return;
        }
        let unused = |a: &TrackedAttempt| {
            !a.desired.may_start
                && matches!(
                    a.stage,
                    AttemptStage::AwaitingPreemption(_) | AttemptStage::NOT_LAUNCHED
                )
        };
        let reported = |id: &AttemptId, a: &TrackedAttempt| {
            self.machines
                .get(&a.desired.machine)
                .is_some_and(|m| m.tasks.contains_key(id))
        };
        let orphans: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(id, a)| superseded.contains(&a.placer) && unused(a) && !reported(id, a))
            .map(|(id, _)| id.clone())
            .collect();
        for id in orphans {
            let Some(tracked) = self.attempts.get_mut(&id) else {
                continue;
            };
            info!(attempt = %id, machine = %tracked.desired.machine, shard = self.shard, "orphaned grant released");
            tracked.stage = AttemptStage::Ended(AttemptState::Refused);
            let (machine, placer) = (tracked.desired.machine.clone(), tracked.placer);
            self.changed_placers.insert(placer);
            self.record_outcome(&machine, &id, AttemptState::Refused, now);
            self.reevaluate(&machine, now);
        }
    }
}
