//! Reconciliation of the attempts that placers want with those tracked by the owner.

use super::*;

/// State of the synchronization with the placer of one shard.
#[derive(Default)]
pub(super) struct PlacerSession {
    /// Fencing token of the placer's shard lease.
    pub(super) token: u64,
    /// Sequence number of its newest sync request.
    seq: u64,
    /// When a store read first showed that the placer has lost its lease, ms; `None`: it has
    /// not.
    pub(super) lease_lost_at: Option<u64>,
    /// Version of its desired state that has been applied.
    desired_version: u64,
    /// Whether its whole desired state has been applied.
    pub(super) fully_synced: bool,
    /// Version of the machines' published state that it has acknowledged.
    pub(super) acknowledged_version: u64,
    /// Its tracked attempts that the snapshot being received has not listed so far.
    missing_from_snapshot: HashSet<AttemptId>,
    /// Published states of its attempts.
    pub(super) published: ChangeLog<AttemptId, AttemptState>,
}

impl PlacerSession {
    /// Checks the token and sequence number of a sync request, and records them if they are
    /// current.
    fn accept(&mut self, sync: &SyncRequest) -> Result<(), SyncError> {
        if sync.from_fencing_token < self.token {
            return Err(SyncError::TokenMismatch);
        }
        // A delayed request could ask again for an attempt whose end was already published.
        if sync.from_fencing_token == self.token && sync.seq <= self.seq {
            return Err(SyncError::Stale);
        }
        if sync.from_fencing_token > self.token {
            // A new placer of that shard can't continue from the desired state of its
            // predecessor: it has to send a snapshot.
            self.desired_version = 0;
            self.fully_synced = false;
            self.lease_lost_at = None;
        }
        self.token = sync.from_fencing_token;
        self.seq = sync.seq;
        self.acknowledged_version = sync.observed.machines_revision;
        Ok(())
    }
}

impl Owner {
    /// Applies a placer's desired state, and returns the part of this shard's state that it
    /// has not acknowledged, as far as it fits into `max_bytes`.
    pub fn sync(
        &mut self,
        sync: &SyncRequest,
        max_bytes: usize,
        now: u64,
    ) -> Result<ShardView, SyncError> {
        if sync.to_fencing_token != self.token {
            return Err(SyncError::TokenMismatch);
        }
        if sync.from_shard >= self.shards {
            return Err(SyncError::UnknownShard);
        }
        self.placers
            .entry(sync.from_shard)
            .or_default()
            .accept(sync)?;
        self.peer_heartbeat_counts.insert(
            sync.from_shard,
            PeerHeartbeatCount {
                machines: sync.misrouted_heartbeats,
                at: now,
            },
        );
        for instance in &sync.provisioned {
            self.expect_instance(instance, sync.from_shard, now);
        }
        self.restart_idle_time(&sync.reserved_machines, now);
        let applied_revision = self.reconcile_desired(sync, now);
        self.changed_placers.remove(&sync.from_shard);
        let mut view = self.unacknowledged_view(sync, max_bytes);
        view.desired_revision = applied_revision;
        view.partitioned_zones = self.failure_detector.partitioned_zones(now);
        Ok(view)
    }

    /// Restarts the idle time of machines that a placer asks to keep.
    fn restart_idle_time(&mut self, machines: &[MachineId], now: u64) {
        for id in machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.idle_since = m.idle_since.map(|_| now);
            }
        }
    }

    /// Reconciles a placer's desired attempts with those tracked. Returns the version that
    /// is now applied, or 0 if changes before this request are missing.
    fn reconcile_desired(&mut self, sync: &SyncRequest, now: u64) -> u64 {
        let Some(dropped) = self.advance_desired_version(sync) else {
            return 0;
        };
        let mut affected = BTreeSet::new();
        for id in dropped {
            // A placer can't drop the attempts of another shard's placer.
            if self.is_tracked_for(&id, sync.from_shard) {
                affected.extend(self.untrack(&id));
            }
        }
        for (id, grace_s) in &sync.stops {
            affected.extend(self.request_stop(id, sync.from_shard, *grace_s));
        }
        for desired in &sync.desired {
            if self.track(desired, sync.from_shard, now) {
                affected.insert(desired.machine.clone());
                self.record_placement(&desired.machine, now);
            }
        }
        for machine in affected {
            self.reevaluate(&machine, now);
        }
        self.placers
            .get(&sync.from_shard)
            .map_or(0, |placer| placer.desired_version)
    }

    /// Advances to the request's version. Returns the attempts that the placer has dropped,
    /// or `None` if changes before the request are missing.
    fn advance_desired_version(&mut self, sync: &SyncRequest) -> Option<Vec<AttemptId>> {
        let placer = self.placers.get_mut(&sync.from_shard)?;
        match sync.range.continues_from(placer.desired_version)? {
            Continuation::Snapshot => {
                placer.desired_version = 0;
                placer.fully_synced = false;
                placer.missing_from_snapshot = attempts_of_placer(&self.attempts, sync.from_shard);
            }
            Continuation::Delta => {}
        }
        placer.desired_version = placer.desired_version.max(sync.range.until);
        for desired in &sync.desired {
            placer.missing_from_snapshot.remove(&desired.id);
        }
        let mut dropped = sync.withdrawn.clone();
        if sync.range.complete {
            placer.fully_synced = true;
            dropped.extend(std::mem::take(&mut placer.missing_from_snapshot));
        }
        Some(dropped)
    }

    fn is_tracked_for(&self, id: &AttemptId, placer: u16) -> bool {
        self.attempts.get(id).is_some_and(|a| a.placer == placer)
    }

    /// Stops an attempt of this placer, unless the placer already stops it, and returns its
    /// machine.
    fn request_stop(&mut self, id: &AttemptId, placer: u16, grace_s: u32) -> Option<MachineId> {
        let tracked = self
            .attempts
            .get_mut(id)
            .filter(|a| a.placer == placer && a.desired.stop_grace_s.is_none())?;
        tracked.desired.stop_grace_s = Some(grace_s);
        tracked.stop_sent_at = None;
        Some(tracked.desired.machine.clone())
    }

    /// Tracks a desired attempt, or applies changes to one that is tracked. Returns false if the
    /// change is ignored, since it names another machine or comes from another placer.
    fn track(&mut self, desired: &DesiredAttempt, placer: u16, now: u64) -> bool {
        let lease_lost = self
            .placers
            .get(&placer)
            .is_some_and(|p| p.lease_lost_at.is_some());
        let Some(tracked) = self.attempts.get_mut(&desired.id) else {
            self.attempts_by_machine
                .entry(desired.machine.clone())
                .or_default()
                .insert(desired.id.clone());
            self.attempts.insert(
                desired.id.clone(),
                TrackedAttempt::new(placer, desired.clone(), now),
            );
            return true;
        };
        if tracked.desired.machine != desired.machine || tracked.placer != placer {
            warn!(attempt = %desired.id, placer, "attempt moved to another machine or shard; change ignored");
            return false;
        }
        if tracked.desired.stop_grace_s != desired.stop_grace_s {
            tracked.stop_sent_at = None;
        }
        // A placer that has lost its lease must not admit a gang: that is for its successor
        // to decide.
        let start_allowed = desired.may_start && (tracked.desired.may_start || !lease_lost);
        tracked.desired = DesiredAttempt {
            may_start: start_allowed,
            ..desired.clone()
        };
        true
    }

    /// Records that an attempt is placed on a machine. If the machine has sent no heartbeat
    /// to this owner, it probably ran under an earlier one.
    fn record_placement(&mut self, machine: &MachineId, now: u64) {
        match self.machines.get_mut(machine) {
            Some(m) if m.last_heartbeat_at.is_none() => {
                m.recorded_running_at.get_or_insert(now);
            }
            Some(_) => {}
            None if self.released_machines.contains(machine) => {}
            None => {
                self.unseen_machines.entry(machine.clone()).or_insert(now);
            }
        }
    }
}

/// Returns the attempts of one placer.
fn attempts_of_placer(
    attempts: &HashMap<AttemptId, TrackedAttempt>,
    placer: u16,
) -> HashSet<AttemptId> {
    attempts
        .iter()
        .filter(|(_, a)| a.placer == placer)
        .map(|(id, _)| id.clone())
        .collect()
}
