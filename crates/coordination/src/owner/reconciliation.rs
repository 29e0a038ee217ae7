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
        let asker = self.askers.entry(sync.from).or_default();
        if sync.from_token < asker.token {
            return Err(SyncError::Token);
        }
        // Guards against a held-back message that asks again for an attempt
        // whose end was already answered.
        if sync.from_token == asker.token && sync.seq <= asker.seq {
            return Err(SyncError::Stale);
        }
        if sync.from_token > asker.token {
            // Guards against going on from what an earlier placer of that part
            // had told: only a state told from nothing counts for this one.
            asker.at = 0;
            asker.complete = false;
            asker.lost = None;
        }
        asker.token = sync.from_token;
        asker.seq = sync.seq;
        asker.have = sync.have.machines;
        self.strays.insert(sync.from, (sync.strays, now));
        for r in &sync.rented {
            self.expect(r, sync.from, now);
        }
        for id in &sync.keep {
            if let Some(m) = self.machines.get_mut(id) {
                m.idle_since = m.idle_since.map(|_| now);
            }
        }
        let wants_at = self.take_wants(sync, now);
        self.dirty.remove(&sync.from);
        let mut view = self.view(sync, room);
        view.wants_at = wants_at;
        view.hidden = self.sight.hidden(now);
        Ok(view)
    }

    /// Takes the changes of a placer's wants; tells the state that we now have
    /// of them, 0 if something is missing between.
    pub(super) fn take_wants(&mut self, sync: &SyncRequest, now: u64) -> u64 {
        let Some(asker) = self.askers.get_mut(&sync.from) else {
            return 0;
        };
        match sync.span.follows(asker.at) {
            Some(Continuation::Anew) => {
                asker.at = 0;
                asker.complete = false;
                asker.unnamed = asker_attempts(&self.held, sync.from);
            }
            Some(Continuation::On) => {}
            None => return 0,
        }
        asker.at = asker.at.max(sync.span.upto);
        for w in &sync.wants {
            asker.unnamed.remove(&w.id);
        }
        let mut over: Vec<AttemptId> = sync.dropped.clone();
        if sync.span.last {
            asker.complete = true;
            over.extend(std::mem::take(&mut asker.unnamed));
        }
        let (at, lost) = (asker.at, asker.lost.is_some());
        let mut touched = BTreeSet::new();
        for id in over {
            // Another part's attempts are none of its business.
            if self.held.get(&id).is_some_and(|h| h.from == sync.from) {
                touched.extend(self.let_go(&id));
            }
        }
        for (id, grace) in &sync.stops {
            if let Some(held) = self
                .held
                .get_mut(id)
                .filter(|h| h.from == sync.from && h.want.kill.is_none())
            {
                held.want.kill = Some(*grace);
                held.killed_at = None;
                touched.insert(held.want.machine.clone());
            }
        }
        for w in &sync.wants {
            if self
                .held
                .get(&w.id)
                .is_some_and(|h| h.want.machine != w.machine || h.from != sync.from)
            {
                warn!(attempt = %w.id, from = sync.from, "an attempt can't change its machine or its part; not taken");
                continue;
            }
            if !self.held.contains_key(&w.id) {
                self.on
                    .entry(w.machine.clone())
                    .or_default()
                    .insert(w.id.clone());
                let held = Held {
                    from: sync.from,
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
                if held.want.kill != w.kill {
                    held.killed_at = None;
                }
                // Guards against a late go of a placer that has lost its part: its
                // successor decides what becomes of the gang.
                let go = w.go && (held.want.go || !lost);
                held.want = DesiredAttempt { go, ..w.clone() };
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
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            up: m.heard.is_some()
                && m.worker_session.fresh()
                && m.worker_session.session() > m.dead_session,
            open: m.open(),
            // A machine that fails what it starts may go on with what runs.
            leaving: m.notice,
            free: self.free(id),
            soft,
            soft_over,
            busy: self.busy(id).min(usize::from(u16::MAX)) as u16,
            lasting: self.lasting(id),
            images: m.images.iter().map(|(name, _)| name.clone()).collect(),
            coming: self.coming(id, m),
            renter: m.renter,
        }
    }

    pub(super) fn standing(&self, id: &AttemptId, held: &Held) -> Option<AttemptState> {
        Some(match held.stage {
            Stage::Unjudged => return None,
            Stage::Ended(standing) => standing,
            // A gang has room only once those who were pushed out for it are gone:
            // until then none of it is launched.
            Stage::Waiting(_) if !held.want.go => return None,
            Stage::Waiting(_) => AttemptState::Accepted,
            Stage::Accepted { .. } => match self
                .machines
                .get(&held.want.machine)
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
        if self.askers.len() >= usize::from(self.shards) {
            // A placer that comes anew is told all from nothing.
            self.views
                .compact(self.askers.values().map(|a| a.have).min().unwrap_or(0));
        }
        let told = self.askers.entry(sync.from).or_default();
        let (attempts_span, attempts) = told
            .told
            .changes_since(sync.have.attempts, &mut room, |_, _| ATTEMPT_BYTES);
        let attempts = attempts
            .into_iter()
            .filter_map(|(id, s)| {
                s.map(|&standing| AttemptStatus {
                    id: id.clone(),
                    standing,
                })
            })
            .collect();
        let (machines_span, changes) = self.views.changes_since(sync.have.machines, &mut room, |_, m| {
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
