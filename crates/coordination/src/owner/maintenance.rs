//! The fleet of a part: who is silent, empty or given back, and the note of
//! images that outlives this process.

use super::*;

/// A machine that is not worth keeping once it is empty.
pub(super) fn hopeless(m: &Machine) -> bool {
    m.notice || m.aside.as_ref().is_some_and(Quarantine::hopeless)
}

impl Owner {
    /// Takes what a renter or the list says of a machine; `None`: it is gone.
    fn introduce(&mut self, said: &ProvisionedInstance, now: u64) -> Option<&mut Machine> {
        if self.gone.contains(&said.machine) {
            return None;
        }
        let room = self.rooms.get(&said.machine_type).copied().unwrap_or_default();
        let base = self.base();
        let (stale, missing, earlier) = (&mut self.stale, &self.missing, &self.earlier);
        let m = self
            .machines
            .entry(said.machine.clone())
            .or_insert_with(|| {
                stale.insert(said.machine.clone());
                let mut m = Machine::new(&said.machine_type, &said.zone, said.spot, room, base, now);
                // An attempt there or a note of its images: it ran before.
                m.ran = missing
                    .get(&said.machine)
                    .copied()
                    .or(earlier.contains_key(&said.machine).then_some(now));
                m
            });
        // New, or so far only heard of.
        if m.heard.is_none() && !m.announced {
            m.booked = now.saturating_sub(said.age_ms);
            m.announced = true;
            self.stale.insert(said.machine.clone());
        }
        Some(m)
    }

    /// A placer rented a machine.
    pub(super) fn expect(&mut self, rented: &ProvisionedInstance, renter: u16, now: u64) {
        if let Some(m) = self.introduce(rented, now) {
            m.renter = Some(renter);
            self.stale.insert(rented.machine.clone());
        }
    }

    /// A page of the rental list, reduced to this part's machines.
    pub fn listed(&mut self, entries: &[InstanceEntry], now: u64) {
        self.listed_at = now;
        for e in entries {
            let said = ProvisionedInstance {
                machine: e.id.clone(),
                machine_type: e.machine_type.clone(),
                zone: e.zone.clone(),
                spot: e.spot,
                age_ms: (e.age_s * 1000.0) as u64,
            };
            let Some(m) = self.introduce(&said, now) else {
                continue;
            };
            if e.phase == "running" && m.heard.is_none() {
                // Guards against waiting for machines that are no more: the
                // list lags, and a restarted owner does not know what its
                // predecessor gave back. One that runs reports soon.
                m.ran.get_or_insert(now);
            }
            if e.phase == "failed" {
                m.release_wanted = true;
                self.stale.insert(e.id.clone());
            }
            self.missing.remove(&e.id);
        }
    }

    /// This process stood still: silence meanwhile proves nothing, and no wait that
    /// ran then is over.
    pub(crate) fn stood_still(&mut self, gap: u64, now: u64) {
        self.sight.stood_still(now);
        self.awake = now;
        for held in self.held.values_mut() {
            if let Stage::Waiting(since) = &mut held.stage {
                *since += gap;
            }
        }
        for asker in self.askers.values_mut() {
            asker.lost = asker.lost.map(|at| at + gap);
        }
        for m in self.machines.values_mut() {
            m.idle_since = m.idle_since.map(|_| now);
            m.worker_session.stood_still();
        }
    }

    /// Looks for machines whose time has come; call about every tick. `word`:
    /// when the last reading of the store began that showed us as the owner, ms.
    pub fn tick(&mut self, now: u64, word: u64) {
        self.word = word;
        if now < self.last_tick + TICK_MS {
            return;
        }
        self.last_tick = now;
        self.summarize(now);
        self.free_orphans(now);
        self.sight.survey(
            self.machines
                .values()
                .filter(|m| !m.release_wanted && !m.hearsay()),
            now,
        );
        let dead_after = self.timing.dead_after_ms();
        let (mut dead, mut late, mut judge) = (Vec::new(), Vec::new(), Vec::new());
        self.look_for_copies(now);
        let surplus = self.surplus();
        let inherited_over = self.sight.inherited_over(word);
        // Guards against an owner that gives back what its successor uses: it
        // gives nothing back without word from the store.
        let sure = now <= word + UNREADY_MS && !self.rousing(now);
        for (id, m) in &mut self.machines {
            if m.releasing || m.release_wanted {
                continue;
            }
            let listed_ms = self
                .boot_ms
                .get(&m.kind)
                .copied()
                .unwrap_or(BOOT_UNKNOWN_MS);
            let boot_ms = self.boots.usual_ms(&m.kind, &m.zone, m.spot, listed_ms);
            let restart = boot_ms + m.fetch_ms(self.fetch.get(&m.kind).copied());
            let judgement = self.sight.judge(m, restart, now);
            let silent = matches!(judgement, HealthVerdict::Silent | HealthVerdict::Hidden);
            if let Some(aside) = m.aside.as_mut().filter(|a| !a.ready && now >= a.until) {
                aside.ready = true;
                self.stale.insert(id.clone());
            }
            if silent != m.silent {
                m.silent = silent;
                self.stale.insert(id.clone());
            }
            // Machines that come in a second were rented among others that don't.
            let patience = (boot_ms.max(listed_ms) as f64 * self.policy.provisioning_timeout_multiple) as u64;
            let since = m
                .booked
                .max(self.started.saturating_sub(patience))
                .max(m.since.saturating_sub(patience));
            let unborn = judgement == HealthVerdict::Booting
                && now > since + patience + self.timing.lease_ms;
            if sure
                && judgement == HealthVerdict::Booting
                && now > since + self.boots.overdue_ms(&m.kind, &m.zone, m.spot, listed_ms)
            {
                late.push((since, id.clone(), m.overdue));
            }
            if sure && (unborn || judgement == HealthVerdict::GiveBack) {
                let why = if unborn { "never came up" } else { "is silent" };
                info!(machine = %id, shard = self.shard, why, "machine is given back");
                m.release_wanted = true;
                self.stale.insert(id.clone());
            }
            if m.lost_start.is_some_and(|at| word > at + dead_after) {
                m.lost_start = None;
                judge.push(id.clone());
            }
            // Whoever kept it alive: none of its answers can do so any longer.
            if m.dead(word, &self.timing) {
                if (m.worker_session.fresh() || inherited_over)
                    && m.dead_session < m.worker_session.session()
                {
                    dead.push(id.clone());
                } else if m.heard.is_none() && inherited_over {
                    // Nor does what may have been its reports, which were answered.
                    m.worker_session.over();
                    dead.push(id.clone());
                }
            }
            if !sure || silent || judgement == HealthVerdict::Deaf || self.sight.recovering(m, now)
            {
                // What is out of sight is not idle, nor what has just come back.
                continue;
            }
            let lull = if now > self.accepted_at + LULL_MS || surplus.contains(id) {
                LULL_KEEP
            } else {
                1.0
            };
            let keep = (restart as f64
                * lull
                * if m.spot {
                    self.policy.spot_idle_multiple
                } else {
                    self.policy.on_demand_idle_multiple
                }) as u64;
            if m.idle_since.is_some_and(|at| now > at + keep)
                || hopeless(m) && m.idle_since.is_some()
            {
                m.closing = true;
                self.to_close.insert(id.clone());
                self.stale.insert(id.clone());
            }
        }
        self.spare_last_copies();
        self.replace_late(late);
        for id in judge {
            self.judge(&id, now);
        }
        for id in dead {
            if let Some(m) = self.machines.get_mut(&id) {
                info!(machine = %id, shard = self.shard, "lease has run out");
                m.dead_session = m.worker_session.session();
                m.tasks.clear();
                m.answered_with_starts = None;
            }
            self.judge(&id, now);
        }
        if inherited_over && !self.inherited_judged {
            self.inherited_judged = true;
            let unheard: Vec<MachineId> = self
                .on
                .keys()
                .filter(|id| self.machines.get(*id).is_none_or(|m| m.heard.is_none()))
                .cloned()
                .collect();
            for id in unheard {
                self.judge(&id, now);
            }
        }
        // A machine that somebody counts on and that not even the cloud lists:
        // only the cloud's answer proves that it is gone. Without a list it may
        // only be out of sight.
        for (id, since) in &self.missing {
            if now > since + dead_after
                && self.listed_at > *since
                && !self.machines.contains_key(id)
            {
                let mut m = Machine::new(
                    "",
                    "",
                    false,
                    Resources::default(),
                    self.token << FENCE_BITS,
                    now,
                );
                m.release_wanted = true;
                self.machines.insert(id.clone(), m);
            }
        }
        let machines = &self.machines;
        self.missing.retain(|id, _| !machines.contains_key(id));
    }

    /// True while machines that came up during a pause may not have reported yet.
    fn rousing(&self, now: u64) -> bool {
        self.awake > 0 && now < self.awake + 2 * self.timing.report_ms
    }

    /// Machines that should have come up long ago are no longer counted on, those
    /// that are most overdue first, so that what they were rented for asks for
    /// others. Guards against a late wave that doubles the fleet: only a share of
    /// the part is replaced at a time. What comes after all is used.
    fn replace_late(&mut self, mut late: Vec<(u64, MachineId, bool)>) {
        late.sort_unstable();
        let most = OVERDUE_LEAST.max(self.machines.len() / OVERDUE_OF);
        for (_, id, _) in late.into_iter().take(most).filter(|(_, _, known)| !known) {
            info!(machine = %id, shard = self.shard, "machine is overdue; no longer counted on");
            if let Some(m) = self.machines.get_mut(&id) {
                m.overdue = true;
            }
            self.stale.insert(id);
        }
    }

    /// Empty machines beyond what a fleet of this size needs at hand, those
    /// that are empty longest: in a large fleet some run empty all the time,
    /// and what is taken up again is a small share of them. The last copies of
    /// services' weights are what is kept first.
    pub(super) fn surplus(&self) -> HashSet<MachineId> {
        let last = |id: &MachineId| self.last_copies.contains(id);
        let mut empty: Vec<(bool, u64, &MachineId)> = self
            .machines
            .iter()
            .filter_map(|(id, m)| Some((last(id), m.idle_since?, id)))
            .collect();
        let kept = SPARE_MACHINES.max(self.machines.len() / SPARE_MACHINES_OF);
        if empty.len() <= kept {
            return HashSet::new();
        }
        empty.sort_unstable();
        empty.truncate(empty.len() - kept);
        empty.into_iter().map(|(_, _, id)| id.clone()).collect()
    }

    /// Says how full the part is, for its operators.
    pub(super) fn summarize(&mut self, now: u64) {
        if now < self.summed_at + SUMMARY_MS {
            return;
        }
        self.summed_at = now;
        self.refresh();
        let (mut up, mut empty, mut spot, mut free, mut free_in_use) =
            (0, 0, 0, Resources::default(), Resources::default());
        for view in self
            .machines
            .keys()
            .filter_map(|id| self.views.get(id))
            .filter(|v| v.registered)
        {
            up += 1;
            empty += usize::from(view.task_count == 0);
            spot += usize::from(view.spot);
            free = free.plus(&view.free);
            if view.task_count > 0 {
                free_in_use = free_in_use.plus(&view.free);
            }
        }
        let gpus = |room: Resources| room.milli_gpus / 1000;
        info!(
            shard = self.shard,
            machines = self.machines.len(),
            up,
            spot,
            empty,
            attempts = self.held.len(),
            free_gpus = gpus(free),
            free_gpus_in_use = gpus(free_in_use),
            "part in figures"
        );
    }

    /// Machines to give back now, if no release is under way.
    pub fn releases(&mut self) -> Vec<MachineId> {
        if self.releasing || self.last_tick == self.released_tick {
            return Vec::new();
        }
        self.released_tick = self.last_tick;
        let mut names = Vec::new();
        for id in std::mem::take(&mut self.to_close) {
            let empty = self.busy(&id) == 0;
            self.stale.insert(id.clone());
            if let Some(m) = self.machines.get_mut(&id) {
                if empty {
                    info!(machine = %id, shard = self.shard, "machine is idle; giving it back");
                    m.release_wanted = true;
                } else {
                    m.closing = false;
                }
            }
        }
        for (id, m) in &mut self.machines {
            if m.release_wanted && names.len() < MAX_RELEASE {
                m.releasing = true;
                names.push(id.clone());
            }
        }
        self.releasing = !names.is_empty();
        names
    }

    /// The cloud answered a release, or did not.
    pub fn released(&mut self, names: &[MachineId], done: bool, now: u64) {
        self.releasing = false;
        for id in names {
            if done {
                // Guards against a call under way to a machine that goes: its end finds
                // no machine, and its place among the calls to deaf ones would be lost.
                let calling = self.machines.remove(id).is_some_and(|m| m.deaf_call);
                self.deaf_calls -= usize::from(calling);
                self.faults.forget(id);
                self.gone.insert(id.clone());
                info!(machine = %id, shard = self.shard, "machine is gone");
                self.judge(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.releasing = false;
            }
        }
    }

    pub(super) fn update_idle(&mut self, machine: &MachineId, now: u64) {
        let busy = self.busy(machine);
        if let Some(m) = self.machines.get_mut(machine)
            && m.heard.is_some()
        {
            m.idle_since = if busy > 0 {
                None
            } else {
                m.idle_since.or(Some(now))
            };
        }
    }

    /// Pages of the note of what machines have which images that changed since
    /// the last one, if that is old enough; `None`: a page that is no more.
    pub fn images_note(
        &mut self,
        now: u64,
        value_bytes: usize,
        pages: usize,
    ) -> Vec<(usize, Option<ImageLocationsRecord>)> {
        if now < self.noted_at + IMAGES_EVERY_MS {
            return Vec::new();
        }
        self.noted_at = now;
        let mut all = vec![ImageLocationsRecord::default()];
        let mut bytes = 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| !m.images.is_empty()) {
            let names: usize = m
                .images
                .iter()
                .map(|(name, _)| name.len() + IMAGE_NAME_BYTES)
                .sum();
            if bytes + names + IMAGE_NOTE_BYTES > value_bytes {
                all.push(ImageLocationsRecord::default());
                bytes = 0;
            }
            let Some(page) = all.last_mut() else { break };
            let mut have = Vec::with_capacity(m.images.len());
            for image in &m.images {
                let at = page.images.iter().position(|i| i == image).unwrap_or_else(|| {
                    bytes += image.0.len() + IMAGE_NAME_BYTES;
                    page.images.push(image.clone());
                    page.images.len() - 1
                });
                have.push(at as u16);
            }
            bytes += id.as_str().len() + IMAGE_MARK_BYTES * (have.len() + 2);
            page.machines.push((id.clone(), have));
        }
        let most = all.len().max(self.noted.len());
        // What is no more goes first, the last page before those before it: the note
        // ends where its last page is. Then from where the one before stopped, so that
        // in a large fleet, whose first pages change all the time, the last are written.
        let from = self.note_from.min(all.len()).min(self.noted.len());
        let changed: Vec<_> = (all.len()..most)
            .rev()
            .chain(from..all.len())
            .chain(0..from)
            .filter(|&p| all.get(p) != self.noted.get(p))
            .take(pages)
            .map(|p| (p, all.get(p).cloned()))
            .collect();
        self.note_from = match changed.last() {
            Some((page, _)) if changed.len() == pages => page + 1,
            _ => 0,
        };
        // What did not fit this transaction is still unlike what is noted.
        for (page, record) in &changed {
            match record {
                Some(record) if *page < self.noted.len() => self.noted[*page] = record.clone(),
                Some(record) => self.noted.push(record.clone()),
                None => self.noted.truncate(*page),
            }
        }
        changed
    }

    /// Takes the note of an earlier owner, page by page.
    pub fn learn_images(&mut self, pages: Vec<ImageLocationsRecord>) {
        for page in &pages {
            for (id, have) in &page.machines {
                let images = have
                    .iter()
                    .filter_map(|&at| page.images.get(usize::from(at)).cloned())
                    .collect();
                self.earlier.insert(id.clone(), images);
            }
        }
        self.noted = pages;
    }
}
