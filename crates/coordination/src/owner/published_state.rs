//! The state of machines and attempts that is published to placers.

use super::*;
use lemonweir_model::constants::{ENCODED_ATTEMPT_BYTES, PEER_VERSION};

/// A machine as a message of `max_bytes` can hold it: without its least recently used images if
/// these take more. They only tell where a task may start sooner.
///
/// Guards against a machine that keeps all changes after it from being sent through the store.
fn within_message(view: &MachineView, max_bytes: usize) -> MachineView {
    let mut view = view.clone();
    while encoded_len(&view) > max_bytes {
        if view.cached_images.pop().is_none() && view.pulling_images.pop().is_none() {
            break;
        }
    }
    view
}

impl Owner {
    /// Updates the published state of the machines that changed and of their attempts.
    pub(super) fn refresh(&mut self) {
        for id in std::mem::take(&mut self.changed_machines) {
            match self.machines.get(&id) {
                // A machine known only from unconfirmed heartbeats may no longer exist: it
                // counts neither as capacity nor as a machine that is still to come up.
                Some(m) if m.is_unconfirmed() => self.machine_views.remove(&id),
                Some(m) => {
                    let view = self.machine_view(&id, m);
                    self.machine_views.put(&id, view);
                }
                None => self.machine_views.remove(&id),
            }
            for attempt in self.attempts_by_machine.get(&id).into_iter().flatten() {
                let Some(tracked) = self.attempts.get(attempt) else {
                    continue;
                };
                if let (Some(state), Some(placer)) = (
                    self.published_state(attempt, tracked),
                    self.placers.get_mut(&tracked.placer),
                ) {
                    placer.published.put(attempt, state);
                }
            }
        }
    }

    /// Builds the state of a machine that is published to placers.
    fn machine_view(&self, id: &MachineId, m: &Machine) -> MachineView {
        let (over_quota_only, all_preemptible) = self.preemptible(id);
        MachineView {
            id: id.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            registered: m.last_heartbeat_at.is_some()
                && m.incarnation.is_confirmed()
                && m.incarnation.session() > m.expired_session,
            schedulable: m.is_schedulable(),
            // Quarantine does not drain a machine: its running tasks may continue.
            draining: m.termination_notice,
            free: self.free(id),
            preemptible: over_quota_only,
            preemptible_or_over_quota: all_preemptible,
            task_count: self.task_count_on(id).min(usize::from(u16::MAX)) as u16,
            service_task_count: self.service_replicas(id),
            cached_images: m.images.iter().map(|(name, _)| name.clone()).collect(),
            pulling_images: self.images_to_pull(id, m),
            provisioned_by: m.provisioned_by,
        }
    }

    /// The state of an attempt that is published to its placer; `None` if nothing is yet.
    fn published_state(&self, id: &AttemptId, tracked: &TrackedAttempt) -> Option<AttemptState> {
        Some(match tracked.stage {
            AttemptStage::Undecided => return None,
            AttemptStage::Ended(state) => state,
            // A gang is admitted only once the attempts preempted for it have ended; until
            // then none of its tasks is launched.
            AttemptStage::AwaitingPreemption(_) if !tracked.desired.may_start => return None,
            AttemptStage::AwaitingPreemption(_) => AttemptState::Accepted,
            AttemptStage::Accepted { .. } => match self
                .machines
                .get(&tracked.desired.machine)
                .and_then(|m| m.tasks.get(id))
                .map(|task| task.phase)
            {
                Some(TaskPhase::Running | TaskPhase::Checkpointing) => AttemptState::Running,
                Some(_) => AttemptState::Preparing,
                None => AttemptState::Accepted,
            },
        })
    }

    /// Returns the changes of this shard's state that a placer has not acknowledged, as far
    /// as they fit into `max_bytes`. Changes of attempts go first, since the placer's tasks
    /// wait for their ends and grants.
    pub(super) fn unacknowledged_view(
        &mut self,
        sync: &SyncRequest,
        mut max_bytes: usize,
    ) -> ShardView {
        let message_bytes = max_bytes;
        self.refresh();
        if self.placers.len() >= usize::from(self.shards) {
            // All placers are known. One that starts anew is sent the whole state, which
            // needs no tombstones.
            self.machine_views.compact(
                self.placers
                    .values()
                    .map(|p| p.acknowledged_version)
                    .min()
                    .unwrap_or(0),
            );
        }
        let placer = self.placers.entry(sync.from_shard).or_default();
        let (attempt_range, attempts) = placer.published.changes_since(
            sync.observed.attempts_revision,
            &mut max_bytes,
            |_, _| ENCODED_ATTEMPT_BYTES,
        );
        let attempts = attempts
            .into_iter()
            .filter_map(|(id, state)| {
                state.map(|&state| AttemptStatus {
                    id: id.clone(),
                    state,
                })
            })
            .collect();
        let (machine_range, changes) = self.machine_views.changes_since(
            sync.observed.machines_revision,
            &mut max_bytes,
            |_, m| m.map_or(ENCODED_ATTEMPT_BYTES, encoded_len),
        );
        let (mut machines, mut removed) = (Vec::new(), Vec::new());
        for (position, (id, m)) in changes.into_iter().enumerate() {
            match m {
                // Only the first change may be larger than the message.
                Some(m) if position == 0 => machines.push(within_message(m, message_bytes)),
                Some(m) => machines.push(m.clone()),
                None => removed.push(id.clone()),
            }
        }
        ShardView {
            version: PEER_VERSION,
            shard: self.shard,
            fencing_token: self.token,
            seq: sync.seq,
            store_age_ms: u64::MAX,
            desired_revision: 0,
            partitioned_zones: Vec::new(),
            machines_range: machine_range,
            machines,
            removed_machines: removed,
            attempts_range: attempt_range,
            attempts,
        }
    }

    /// Images that accepted attempts need and the machine does not hold yet.
    fn images_to_pull(&self, id: &MachineId, m: &Machine) -> Vec<String> {
        let mut images: Vec<String> = Vec::new();
        for (_, a) in self.attempts_on(id).filter(|(_, a)| {
            matches!(a.stage, AttemptStage::Accepted { .. }) && a.stop_grace_s().is_none()
        }) {
            if !images.contains(&a.desired.image)
                && !m.images.iter().any(|(name, _)| *name == a.desired.image)
            {
                images.push(a.desired.image.clone());
            }
        }
        images
    }
}
