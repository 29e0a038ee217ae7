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
        if sync.to_fencing_token != self.token {
            return Err(SyncError::Token);
        }
        if sync.from_shard >= self.shards {
            return Err(SyncError::Part);
        }
        let asker = self.askers.entry(sync.from_shard).or_default();
        if sync.from_fencing_token < asker.token {
            return Err(SyncError::Token);
        }
        // Guards against a held-back message that asks again for an attempt
        // whose end was already answered.
        if sync.from_fencing_token == asker.token && sync.seq <= asker.seq {
            return Err(SyncError::Stale);
        }
        if sync.from_fencing_token > asker.token {
            // Guards against going on from what an earlier placer of that part
            // had told: only a state told from nothing counts for this one.
            asker.at = 0;
            asker.complete = false;
            asker.lost = None;
        }
        asker.token = sync.from_fencing_token;
        asker.seq = sync.seq;
        asker.have = sync.observed.machines_revision;
        self.strays.insert(sync.from_shard, (sync.misrouted_heartbeats, now));
        for r in &sync.provisioned {
            self.expect(r, sync.from_shard, now);
        }
        for id in &sync.reserved_machines {
            if let Some(m) = self.machines.get_mut(id) {
                m.idle_since = m.idle_since.map(|_| now);
            }
        }
        let wants_at = self.take_wants(sync, now);
        self.dirty.remove(&sync.from_shard);
        let mut view = self.view(sync, room);
        view.desired_revision = wants_at;
        view.partitioned_zones = self.sight.hidden(now);
        Ok(view)
    }

    /// Takes the changes of a placer's wants; tells the state that we now have
    /// of them, 0 if something is missing between.
    pub(super) fn take_wants(&mut self, sync: &SyncRequest, now: u64) -> u64 {
        let Some(asker) = self.askers.get_mut(&sync.from_shard) else {
            return 0;
        };
        match sync.range.continues_from(asker.at) {
            Some(Continuation::Snapshot) => {
                asker.at = 0;
                asker.complete = false;
                asker.unnamed = asker_attempts(&self.held, sync.from_shard);
            }
            Some(Continuation::Delta) => {}
            None => return 0,
        }
        asker.at = asker.at.max(sync.range.until);
        for w in &sync.desired {
            asker.unnamed.remove(&w.id);
        }
        let mut over: Vec<AttemptId> = sync.withdrawn.clone();
        if sync.range.complete {
            asker.complete = true;
            over.extend(std::mem::take(&mut asker.unnamed));
        }
        let (at, lost) = (asker.at, asker.lost.is_some());
        let mut touched = BTreeSet::new();
        for id in over {
            // Another part's attempts are none of its business.
            if self.held.get(&id).is_some_and(|h| h.from == sync.from_shard) {
                touched.extend(self.let_go(&id));
            }
        }
        for (id, grace) in &sync.stops {
            if let Some(held) = self
                .held
                .get_mut(id)
                .filter(|h| h.from == sync.from_shard && h.want.stop_grace_s.is_none())
            {
                held.want.stop_grace_s = Some(*grace);
                held.killed_at = None;
                touched.insert(held.want.machine.clone());
            }
        }
        for w in &sync.desired {
            if self
                .held
                .get(&w.id)
                .is_some_and(|h| h.want.machine != w.machine || h.from != sync.from_shard)
            {
                warn!(attempt = %w.id, from = sync.from_shard, "an attempt can't change its machine or its part; not taken");
                continue;
            }
            if !self.held.contains_key(&w.id) {
                self.on
                    .entry(w.machine.clone())
                    .or_default()
                    .insert(w.id.clone());
                let held = Held {
                    from: sync.from_shard,
                    want: w.clone(),
                    evicted: None,
                    killed_at: None,
                    since: now,
                    ran: None,
                    well: false,
                    stage: Stage::Unjudged,
                };
                self.held.insert(w.id.clone(), held);
            } else if let Some(held) = self.held.get_mut(&w.id) {
                if held.want.stop_grace_s != w.stop_grace_s {
                    held.killed_at = None;
                }
                // Guards against a late go of a placer that has lost its part: its
                // successor decides what becomes of the gang.
                let go = w.may_start && (held.want.may_start || !lost);
                held.want = DesiredAttempt { may_start: go, ..w.clone() };
            }
            touched.insert(w.machine.clone());
            match self.machines.get_mut(&w.machine) {
                // Placed there while an earlier owner saw it run.
                Some(m) if m.heard.is_none() => drop(m.ran.get_or_insert(now)),
                Some(_) => {}
                None if self.gone.contains(&w.machine) => {}
                None => drop(self.missing.entry(w.machine.clone()).or_insert(now)),
            }
        }
        for machine in touched {
            self.judge(&machine, now);
        }
        at
    }

    /// Brings what is told up to date.
    pub(super) fn refresh(&mut self) {
        for id in std::mem::take(&mut self.stale) {
            match self.machines.get(&id) {
                // What may be long gone is no room, nor is it missing room.
                Some(m) if m.hearsay() => self.views.remove(&id),
                Some(m) => {
                    let view = self.machine_view(&id, m);
                    self.views.put(&id, view);
                }
                None => self.views.remove(&id),
            }
            for attempt in self.on.get(&id).into_iter().flatten() {
                let Some(held) = self.held.get(attempt) else {
                    continue;
                };
                if let (Some(standing), Some(asker)) = (
                    self.standing(attempt, held),
                    self.askers.get_mut(&held.from),
                ) {
                    asker.told.put(attempt, standing);
                }
            }
        }
    }

    pub(super) fn machine_view(&self, id: &MachineId, m: &Machine) -> MachineView {
        let (soft, soft_over) = self.soft(id);
        MachineView {
            id: id.clone(),
            machine_type: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            registered: m.heard.is_some()
                && m.worker_session.fresh()
                && m.worker_session.session() > m.dead_session,
            schedulable: m.open(),
            // A machine that fails what it starts may go on with what runs.
            draining: m.notice,
            free: self.free(id),
            preemptible: soft,
            preemptible_or_over_quota: soft_over,
            task_count: self.busy(id).min(usize::from(u16::MAX)) as u16,
            service_task_count: self.lasting(id),
            cached_images: m.images.iter().map(|(name, _)| name.clone()).collect(),
            pulling_images: self.coming(id, m),
            provisioned_by: m.renter,
        }
    }

    pub(super) fn standing(&self, id: &AttemptId, held: &Held) -> Option<AttemptState> {
        Some(match held.stage {
            Stage::Unjudged => return None,
            Stage::Ended(standing) => standing,
            // A gang has room only once those who were pushed out for it are gone:
            // until then none of it is launched.
            Stage::Waiting(_) if !held.want.may_start => return None,
            Stage::Waiting(_) => AttemptState::Accepted,
            Stage::Accepted { .. } => match self
                .machines
                .get(&held.want.machine)
                .and_then(|m| m.tasks.get(id))
                .map(|s| s.phase)
            {
                Some(TaskPhase::Running | TaskPhase::Checkpointing) => AttemptState::Running,
                Some(_) => AttemptState::Preparing,
                None => AttemptState::Accepted,
            },
        })
    }

    /// What an asker lacks of this part's state. Ends and grants go first: they
    /// are what its tasks wait for.
    pub(super) fn view(&mut self, sync: &SyncRequest, mut room: usize) -> ShardView {
        self.refresh();
        if self.askers.len() >= usize::from(self.shards) {
            // A placer that comes anew is told all from nothing.
            self.views
                .forget(self.askers.values().map(|a| a.have).min().unwrap_or(0));
        }
        let told = self.askers.entry(sync.from_shard).or_default();
        let (attempts_span, attempts) = told
            .told
            .since(sync.observed.attempts_revision, &mut room, |_, _| ATTEMPT_BYTES);
        let attempts = attempts
            .into_iter()
            .filter_map(|(id, s)| {
                s.map(|&standing| AttemptStatus {
                    id: id.clone(),
                    state: standing,
                })
            })
            .collect();
        let (machines_span, changes) = self.views.since(sync.observed.machines_revision, &mut room, |_, m| {
            m.map_or(ATTEMPT_BYTES, encoded_len)
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
            fencing_token: self.token,
            seq: sync.seq,
            store_age_ms: u64::MAX,
            desired_revision: 0,
            partitioned_zones: Vec::new(),
            machines_range: machines_span,
            machines,
            removed_machines: gone,
            attempts_range: attempts_span,
            attempts,
        }
    }

    /// Images that a machine fetches.
    pub(super) fn coming(&self, id: &MachineId, m: &Machine) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (_, h) in self
            .here(id)
            .filter(|(_, h)| matches!(h.stage, Stage::Accepted { .. }) && h.ending().is_none())
        {
            if !names.contains(&h.want.image)
                && !m.images.iter().any(|(name, _)| *name == h.want.image)
            {
                names.push(h.want.image.clone());
            }
        }
        names
    }
}
