//! What the placers want, and what they are told.

use super::*;

impl Owner {
    /// A placer says what it wants; the answer is what it lacks of this part's
    /// state, in `room` bytes.
    pub fn sync(
        &mut self,
        sync: &SyncRequest,
        room: usize,
        now: u64,
    ) -> Result<ShardView, SyncError> {
        if sync.to_token != self.token {
            return Err(SyncError::Token);
        }
        if sync.from >= self.shards {
            return Err(SyncError::Part);
        }
        let placer = self.placers.entry(sync.from).or_default();
        if sync.from_token < placer.token {
            return Err(SyncError::Token);
        }
        // Guards against a held-back message that asks again for an attempt
        // whose end was already answered.
        if sync.from_token == placer.token && sync.seq <= placer.seq {
            return Err(SyncError::Stale);
        }
        if sync.from_token > placer.token {
            // Guards against going on from what an earlier placer of that part
            // had told: only a state told from nothing counts for this one.
            placer.desired_version = 0;
            placer.complete = false;
            placer.lease_lost_at = None;
        }
        placer.token = sync.from_token;
        placer.seq = sync.seq;
        placer.acknowledged_version = sync.have.machines;
        self.peer_heartbeat_counts
            .insert(sync.from, (sync.strays, now));
        for r in &sync.rented {
            self.expect_instance(r, sync.from, now);
        }
        for id in &sync.keep {
            if let Some(m) = self.machines.get_mut(id) {
                m.idle_since = m.idle_since.map(|_| now);
            }
        }
        let wants_at = self.reconcile_desired(sync, now);
        self.changed_placers.remove(&sync.from);
        let mut view = self.view(sync, room);
        view.wants_at = wants_at;
        view.hidden = self.failure_detector.partitioned_zones(now);
        Ok(view)
    }

    /// Takes the changes of a placer's wants; tells the state that we now have
    /// of them, 0 if something is missing between.
    pub(super) fn reconcile_desired(&mut self, sync: &SyncRequest, now: u64) -> u64 {
        let Some(placer) = self.placers.get_mut(&sync.from) else {
            return 0;
        };
        match sync.span.follows(placer.desired_version) {
            Some(Continuation::Anew) => {
                placer.desired_version = 0;
                placer.complete = false;
                placer.unmentioned = attempts_of_placer(&self.attempts, sync.from);
            }
            Some(Continuation::On) => {}
            None => return 0,
        }
        placer.desired_version = placer.desired_version.max(sync.span.upto);
        for w in &sync.wants {
            placer.unmentioned.remove(&w.id);
        }
        let mut over: Vec<AttemptId> = sync.dropped.clone();
        if sync.span.last {
            placer.complete = true;
            over.extend(std::mem::take(&mut placer.unmentioned));
        }
        let (version, lease_lost) = (placer.desired_version, placer.lease_lost_at.is_some());
        let mut touched = BTreeSet::new();
        for id in over {
            // Another part's attempts are none of its business.
            if self.attempts.get(&id).is_some_and(|h| h.from == sync.from) {
                touched.extend(self.untrack(&id));
            }
        }
        for (id, grace) in &sync.stops {
            if let Some(tracked) = self
                .attempts
                .get_mut(id)
                .filter(|h| h.from == sync.from && h.desired.kill.is_none())
            {
                tracked.desired.kill = Some(*grace);
                tracked.stop_sent_at = None;
                touched.insert(tracked.desired.machine.clone());
            }
        }
        for w in &sync.wants {
            if self
                .attempts
                .get(&w.id)
                .is_some_and(|h| h.desired.machine != w.machine || h.from != sync.from)
            {
                warn!(attempt = %w.id, from = sync.from, "an attempt can't change its machine or its part; not taken");
                continue;
            }
            if !self.attempts.contains_key(&w.id) {
                self.attempts_by_machine
                    .entry(w.machine.clone())
                    .or_default()
                    .insert(w.id.clone());
                let tracked = TrackedAttempt {
                    from: sync.from,
                    desired: w.clone(),
                    preemption_grace_s: None,
                    stop_sent_at: None,
                    tracked_since: now,
                    running_since: None,
                    success_recorded: false,
                    stage: AttemptStage::Undecided,
                };
                self.attempts.insert(w.id.clone(), tracked);
            } else if let Some(tracked) = self.attempts.get_mut(&w.id) {
                if tracked.desired.kill != w.kill {
                    tracked.stop_sent_at = None;
                }
                // Guards against a late go of a placer that has lost its part: its
                // successor decides what becomes of the gang.
                let go = w.go && (tracked.desired.go || !lease_lost);
                tracked.desired = DesiredAttempt { go, ..w.clone() };
            }
            touched.insert(w.machine.clone());
            match self.machines.get_mut(&w.machine) {
                // Placed there while an earlier owner saw it run.
                Some(m) if m.last_heartbeat_at.is_none() => {
                    drop(m.recorded_running_at.get_or_insert(now))
                }
                Some(_) => {}
                None if self.released_machines.contains(&w.machine) => {}
                None => drop(self.unseen_machines.entry(w.machine.clone()).or_insert(now)),
            }
        }
        for machine in touched {
            self.reevaluate(&machine, now);
        }
        version
    }

    /// Brings what is told up to date.
    pub(super) fn refresh(&mut self) {
        for id in std::mem::take(&mut self.changed_machines) {
            match self.machines.get(&id) {
                // What may be long gone is no room, nor is it missing room.
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
                    self.state(attempt, tracked),
                    self.placers.get_mut(&tracked.from),
                ) {
                    placer.told.put(attempt, state);
                }
            }
        }
    }

    pub(super) fn machine_view(&self, id: &MachineId, m: &Machine) -> MachineView {
        let (soft, soft_over) = self.preemptible(id);
        MachineView {
            id: id.clone(),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            up: m.last_heartbeat_at.is_some()
                && m.incarnation.is_confirmed()
                && m.incarnation.session() > m.expired_session,
            open: m.is_schedulable(),
            // A machine that fails what it starts may go on with what runs.
            leaving: m.termination_notice,
            free: self.free(id),
            soft,
            soft_over,
            busy: self.occupant_count(id).min(usize::from(u16::MAX)) as u16,
            lasting: self.service_replicas(id),
            images: m.images.iter().map(|(name, _)| name.clone()).collect(),
            coming: self.images_in_transfer(id, m),
            renter: m.requested_by,
        }
    }

    pub(super) fn state(&self, id: &AttemptId, tracked: &TrackedAttempt) -> Option<AttemptState> {
        Some(match tracked.stage {
            AttemptStage::Undecided => return None,
            AttemptStage::Ended(state) => state,
            // A gang has room only once those who were pushed out for it are gone:
            // until then none of it is launched.
            AttemptStage::AwaitingPreemption(_) if !tracked.desired.go => return None,
            AttemptStage::AwaitingPreemption(_) => AttemptState::Accepted,
            AttemptStage::Accepted { .. } => match self
                .machines
                .get(&tracked.desired.machine)
                .and_then(|m| m.tasks.get(id))
                .map(|s| s.phase)
            {
                Some(TaskPhase::Running | TaskPhase::Saving) => AttemptState::Running,
                Some(_) => AttemptState::Preparing,
                None => AttemptState::Accepted,
            },
        })
    }

    /// What an asker lacks of this part's state. Ends and grants go first: they
    /// are what its tasks wait for.
    pub(super) fn view(&mut self, sync: &SyncRequest, mut room: usize) -> ShardView {
        self.refresh();
        if self.placers.len() >= usize::from(self.shards) {
            // A placer that comes anew is told all from nothing.
            self.machine_views.forget(
                self.placers
                    .values()
                    .map(|a| a.acknowledged_version)
                    .min()
                    .unwrap_or(0),
            );
        }
        let told = self.placers.entry(sync.from).or_default();
        let (attempts_span, attempts) = told
            .told
            .since(sync.have.attempts, &mut room, |_, _| ATTEMPT_BYTES);
        let attempts = attempts
            .into_iter()
            .filter_map(|(id, s)| {
                s.map(|&state| AttemptStatus {
                    id: id.clone(),
                    standing: state,
                })
            })
            .collect();
        let (machines_span, changes) =
            self.machine_views
                .since(sync.have.machines, &mut room, |_, m| {
                    m.map_or(ATTEMPT_BYTES, written)
                });
        let (mut machines, mut gone) = (Vec::new(), Vec::new());
        for (id, m) in changes {
            match m {
                Some(m) => machines.push(m.clone()),
                None => gone.push(id.clone()),
            }
        }
        ShardView {
            version: PEER_VERSION,
            shard: self.shard,
            token: self.token,
            seq: sync.seq,
            store_age_ms: u64::MAX,
            wants_at: 0,
            hidden: Vec::new(),
            machines_span,
            machines,
            gone,
            attempts_span,
            attempts,
        }
    }

    /// Images that a machine fetches.
    pub(super) fn images_in_transfer(&self, id: &MachineId, m: &Machine) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (_, h) in self.attempts_on(id).filter(|(_, h)| {
            matches!(h.stage, AttemptStage::Accepted { .. }) && h.stop_grace_s().is_none()
        }) {
            if !names.contains(&h.desired.image)
                && !m.images.iter().any(|(name, _)| *name == h.desired.image)
            {
                names.push(h.desired.image.clone());
            }
        }
        names
    }
}
