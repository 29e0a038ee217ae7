//! The fleet of a part: who is silent, empty or given back, and the note of
//! images that outlives this process.

use super::*;

/// A machine that is not worth keeping once it is empty.
pub(super) fn not_worth_keeping(m: &Machine) -> bool {
    m.termination_notice
        || m.quarantine
            .as_ref()
            .is_some_and(Quarantine::is_unrecoverable)
}

impl Owner {
    /// Takes what a renter or the list says of a machine; `None`: it is gone.
    fn register_instance(&mut self, said: &ProvisionedInstance, now: u64) -> Option<&mut Machine> {
        if self.released_machines.contains(&said.machine) {
            return None;
        }
        let room = self
            .capacity_by_type
            .get(&said.kind)
            .copied()
            .unwrap_or_default();
        let base = self.base_token();
        let (changed_machines, unseen_machines, inherited_images) = (
            &mut self.changed_machines,
            &self.unseen_machines,
            &self.inherited_images,
        );
        let m = self
            .machines
            .entry(said.machine.clone())
            .or_insert_with(|| {
                changed_machines.insert(said.machine.clone());
                let mut m = Machine::new(&said.kind, &said.zone, said.spot, room, base, now);
                // An attempt there or a note of its images: it ran before.
                m.recorded_running_at = unseen_machines
                    .get(&said.machine)
                    .copied()
                    .or(inherited_images.contains_key(&said.machine).then_some(now));
                m
            });
        // New, or so far only heard of.
        if m.last_heartbeat_at.is_none() && !m.announced {
            m.provisioned_at = now.saturating_sub(said.age_ms);
            m.announced = true;
            self.changed_machines.insert(said.machine.clone());
        }
        Some(m)
    }

    /// A placer rented a machine.
    pub(super) fn expect_instance(&mut self, rented: &ProvisionedInstance, renter: u16, now: u64) {
        if let Some(m) = self.register_instance(rented, now) {
            m.requested_by = Some(renter);
            self.changed_machines.insert(rented.machine.clone());
        }
    }

    /// A page of the rental list, reduced to this part's machines.
    pub fn apply_inventory(&mut self, entries: &[InstanceEntry], now: u64) {
        self.inventory_read_at = now;
        for e in entries {
            let said = ProvisionedInstance {
                machine: e.id.clone(),
                kind: e.kind.clone(),
                zone: e.zone.clone(),
                spot: e.spot,
                age_ms: (e.age_s * 1000.0) as u64,
            };
            let Some(m) = self.register_instance(&said, now) else {
                continue;
            };
            if e.phase == "running" && m.last_heartbeat_at.is_none() {
                // Guards against waiting for machines that are no more: the
                // list lags, and a restarted owner does not know what its
                // predecessor gave back. One that runs reports soon.
                m.recorded_running_at.get_or_insert(now);
            }
            if e.phase == "failed" {
                m.release_requested = true;
                self.changed_machines.insert(e.id.clone());
            }
            self.unseen_machines.remove(&e.id);
        }
    }

    /// This process stood still: silence meanwhile proves nothing, and no wait that
    /// ran then is over.
    pub(crate) fn handle_stall(&mut self, gap: u64, now: u64) {
        self.failure_detector.handle_stall(now);
        self.resumed_at = now;
        for tracked in self.attempts.values_mut() {
            if let AttemptStage::AwaitingPreemption(since) = &mut tracked.stage {
                *since += gap;
            }
        }
        for placer in self.placers.values_mut() {
            placer.lease_lost_at = placer.lease_lost_at.map(|at| at + gap);
        }
        for m in self.machines.values_mut() {
            m.idle_since = m.idle_since.map(|_| now);
            m.incarnation.handle_stall();
        }
    }

    /// Looks for machines whose time has come; call about every tick. `word`:
    /// when the last reading of the store began that showed us as the owner, ms.
    pub fn tick(&mut self, now: u64, store_answer_at: u64) {
        self.store_answer_at = store_answer_at;
        if now < self.last_tick + TICK_MS {
            return;
        }
        self.last_tick = now;
        self.log_summary(now);
        self.release_orphaned_grants(now);
        self.failure_detector.observe(
            self.machines
                .values()
                .filter(|m| !m.release_requested && !m.is_unconfirmed()),
            now,
        );
        let dead_after = self.timing.lease_expiry_ms();
        let (mut dead, mut late, mut judge) = (Vec::new(), Vec::new(), Vec::new());
        self.find_last_copies(now);
        let surplus = self.surplus();
        let inherited_leases_expired = self
            .failure_detector
            .inherited_leases_expired(store_answer_at);
        // Guards against an owner that gives back what its successor uses: it
        // gives nothing back without word from the store.
        let sure = now <= store_answer_at + UNREADY_MS && !self.resuming(now);
        for (id, m) in &mut self.machines {
            if m.release_in_progress || m.release_requested {
                continue;
            }
            let listed_ms = self
                .listed_boot_ms
                .get(&m.kind)
                .copied()
                .unwrap_or(BOOT_UNKNOWN_MS);
            let boot_ms = self
                .boot_times
                .usual_ms(&m.kind, &m.zone, m.spot, listed_ms);
            let restart = boot_ms + m.fetch_ms(self.image_fetch_gb_per_s.get(&m.kind).copied());
            let verdict = self.failure_detector.verdict(m, restart, now);
            let silent = matches!(verdict, HealthVerdict::Silent | HealthVerdict::Partitioned);
            if let Some(quarantine) = m
                .quarantine
                .as_mut()
                .filter(|a| !a.trial_due && now >= a.trial_at)
            {
                quarantine.trial_due = true;
                self.changed_machines.insert(id.clone());
            }
            if silent != m.silent {
                m.silent = silent;
                self.changed_machines.insert(id.clone());
            }
            // Machines that come in a second were rented among others that don't.
            let patience = (boot_ms.max(listed_ms) as f64 * self.policy.boot_patience) as u64;
            let since = m
                .provisioned_at
                .max(self.acquired_at.saturating_sub(patience))
                .max(m.known_since.saturating_sub(patience));
            let unborn =
                verdict == HealthVerdict::Booting && now > since + patience + self.timing.lease_ms;
            if sure
                && verdict == HealthVerdict::Booting
                && now
                    > since
                        + self
                            .boot_times
                            .provisioning_timeout_ms(&m.kind, &m.zone, m.spot, listed_ms)
            {
                late.push((since, id.clone(), m.overdue));
            }
            if sure && (unborn || verdict == HealthVerdict::Release) {
                let why = if unborn { "never came up" } else { "is silent" };
                info!(machine = %id, shard = self.shard, why, "machine is given back");
                m.release_requested = true;
                self.changed_machines.insert(id.clone());
            }
            if m.unresolved_launch_at
                .is_some_and(|at| store_answer_at > at + dead_after)
            {
                m.unresolved_launch_at = None;
                judge.push(id.clone());
            }
            // Whoever kept it alive: none of its answers can do so any longer.
            if m.lease_expired(store_answer_at, &self.timing) {
                if (m.incarnation.is_confirmed() || inherited_leases_expired)
                    && m.expired_session < m.incarnation.session()
                {
                    dead.push(id.clone());
                } else if m.last_heartbeat_at.is_none() && inherited_leases_expired {
                    // Nor does what may have been its reports, which were answered.
                    m.incarnation.clear_lease();
                    dead.push(id.clone());
                }
            }
            if !sure
                || silent
                || verdict == HealthVerdict::Unreachable
                || self.failure_detector.recovering(m, now)
            {
                // What is out of sight is not idle, nor what has just come back.
                continue;
            }
            let lull = if now > self.last_accepted_at + LULL_MS || surplus.contains(id) {
                LULL_KEEP
            } else {
                1.0
            };
            let keep = (restart as f64
                * lull
                * if m.spot {
                    self.policy.idle_spot
                } else {
                    self.policy.idle
                }) as u64;
            if m.idle_since.is_some_and(|at| now > at + keep)
                || not_worth_keeping(m) && m.idle_since.is_some()
            {
                m.scale_in_pending = true;
                self.scale_in_candidates.insert(id.clone());
                self.changed_machines.insert(id.clone());
            }
        }
        self.keep_last_copies();
        self.discount_overdue(late);
        for id in judge {
            self.reevaluate(&id, now);
        }
        for id in dead {
            if let Some(m) = self.machines.get_mut(&id) {
                info!(machine = %id, shard = self.shard, "lease has run out");
                m.expired_session = m.incarnation.session();
                m.tasks.clear();
                m.launches_in_response_to = None;
            }
            self.reevaluate(&id, now);
        }
        if inherited_leases_expired && !self.inherited_expiry_applied {
            self.inherited_expiry_applied = true;
            let unheard: Vec<MachineId> = self
                .attempts_by_machine
                .keys()
                .filter(|id| {
                    self.machines
                        .get(*id)
                        .is_none_or(|m| m.last_heartbeat_at.is_none())
                })
                .cloned()
                .collect();
            for id in unheard {
                self.reevaluate(&id, now);
            }
        }
        // A machine that somebody counts on and that not even the cloud lists:
        // only the cloud's answer proves that it is gone. Without a list it may
        // only be out of sight.
        for (id, since) in &self.unseen_machines {
            if now > since + dead_after
                && self.inventory_read_at > *since
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
                m.release_requested = true;
                self.machines.insert(id.clone(), m);
            }
        }
        let machines = &self.machines;
        self.unseen_machines
            .retain(|id, _| !machines.contains_key(id));
    }

    /// True while machines that came up during a pause may not have reported yet.
    fn resuming(&self, now: u64) -> bool {
        self.resumed_at > 0 && now < self.resumed_at + 2 * self.timing.report_ms
    }

    /// Machines that should have come up long ago are no longer counted on, those
    /// that are most overdue first, so that what they were rented for asks for
    /// others. Guards against a late wave that doubles the fleet: only a share of
    /// the part is replaced at a time. What comes after all is used.
    fn discount_overdue(&mut self, mut late: Vec<(u64, MachineId, bool)>) {
        late.sort_unstable();
        let most = OVERDUE_LEAST.max(self.machines.len() / OVERDUE_OF);
        for (_, id, _) in late.into_iter().take(most).filter(|(_, _, known)| !known) {
            info!(machine = %id, shard = self.shard, "machine is overdue; no longer counted on");
            if let Some(m) = self.machines.get_mut(&id) {
                m.overdue = true;
            }
            self.changed_machines.insert(id);
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
    pub(super) fn log_summary(&mut self, now: u64) {
        if now < self.summary_logged_at + SUMMARY_MS {
            return;
        }
        self.summary_logged_at = now;
        self.refresh();
        let (mut up, mut empty, mut spot, mut free, mut free_in_use) =
            (0, 0, 0, Resources::default(), Resources::default());
        for view in self
            .machines
            .keys()
            .filter_map(|id| self.machine_views.get(id))
            .filter(|v| v.up)
        {
            up += 1;
            empty += usize::from(view.busy == 0);
            spot += usize::from(view.spot);
            free = free.plus(&view.free);
            if view.busy > 0 {
                free_in_use = free_in_use.plus(&view.free);
            }
        }
        let gpus = |room: Resources| room.gpus / 1000;
        info!(
            shard = self.shard,
            machines = self.machines.len(),
            up,
            spot,
            empty,
            attempts = self.attempts.len(),
            free_gpus = gpus(free),
            free_gpus_in_use = gpus(free_in_use),
            "part in figures"
        );
    }

    /// Machines to give back now, if no release is under way.
    pub fn next_releases(&mut self) -> Vec<MachineId> {
        if self.release_in_progress || self.last_tick == self.released_tick {
            return Vec::new();
        }
        self.released_tick = self.last_tick;
        let mut names = Vec::new();
        for id in std::mem::take(&mut self.scale_in_candidates) {
            let empty = self.occupant_count(&id) == 0;
            self.changed_machines.insert(id.clone());
            if let Some(m) = self.machines.get_mut(&id) {
                if empty {
                    info!(machine = %id, shard = self.shard, "machine is idle; giving it back");
                    m.release_requested = true;
                } else {
                    m.scale_in_pending = false;
                }
            }
        }
        for (id, m) in &mut self.machines {
            if m.release_requested && names.len() < MAX_RELEASE {
                m.release_in_progress = true;
                names.push(id.clone());
            }
        }
        self.release_in_progress = !names.is_empty();
        names
    }

    /// The cloud answered a release, or did not.
    pub fn release_finished(&mut self, names: &[MachineId], done: bool, now: u64) {
        self.release_in_progress = false;
        for id in names {
            if done {
                // Guards against a call under way to a machine that goes: its end finds
                // no machine, and its place among the calls to deaf ones would be lost.
                let call_in_progress = self.machines.remove(id).is_some_and(|m| m.unreachable_call);
                self.unreachable_calls -= usize::from(call_in_progress);
                self.fault_attribution.forget(id);
                self.released_machines.insert(id.clone());
                info!(machine = %id, shard = self.shard, "machine is gone");
                self.reevaluate(id, now);
            } else if let Some(m) = self.machines.get_mut(id) {
                m.release_in_progress = false;
            }
        }
    }

    pub(super) fn update_idle(&mut self, machine: &MachineId, now: u64) {
        let busy = self.occupant_count(machine);
        if let Some(m) = self.machines.get_mut(machine)
            && m.last_heartbeat_at.is_some()
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
    pub fn changed_image_pages(
        &mut self,
        now: u64,
        value_bytes: usize,
        pages: usize,
    ) -> Vec<(usize, Option<ImageLocationsRecord>)> {
        if now < self.image_pages_written_at + IMAGES_EVERY_MS {
            return Vec::new();
        }
        self.image_pages_written_at = now;
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
                let at = page.n.iter().position(|i| i == image).unwrap_or_else(|| {
                    bytes += image.0.len() + IMAGE_NAME_BYTES;
                    page.n.push(image.clone());
                    page.n.len() - 1
                });
                have.push(at as u16);
            }
            bytes += id.as_str().len() + IMAGE_MARK_BYTES * (have.len() + 2);
            page.m.push((id.clone(), have));
        }
        let most = all.len().max(self.recorded_pages.len());
        // What is no more goes first, the last page before those before it: the note
        // ends where its last page is. Then from where the one before stopped, so that
        // in a large fleet, whose first pages change all the time, the last are written.
        let from = self
            .next_image_page
            .min(all.len())
            .min(self.recorded_pages.len());
        let changed: Vec<_> = (all.len()..most)
            .rev()
            .chain(from..all.len())
            .chain(0..from)
            .filter(|&p| all.get(p) != self.recorded_pages.get(p))
            .take(pages)
            .map(|p| (p, all.get(p).cloned()))
            .collect();
        self.next_image_page = match changed.last() {
            Some((page, _)) if changed.len() == pages => page + 1,
            _ => 0,
        };
        // What did not fit this transaction is still unlike what is noted.
        for (page, record) in &changed {
            match record {
                Some(record) if *page < self.recorded_pages.len() => {
                    self.recorded_pages[*page] = record.clone()
                }
                Some(record) => self.recorded_pages.push(record.clone()),
                None => self.recorded_pages.truncate(*page),
            }
        }
        changed
    }

    /// Takes the note of an earlier owner, page by page.
    pub fn restore_image_pages(&mut self, pages: Vec<ImageLocationsRecord>) {
        for page in &pages {
            for (id, have) in &page.m {
                let images = have
                    .iter()
                    .filter_map(|&at| page.n.get(usize::from(at)).cloned())
                    .collect();
                self.inherited_images.insert(id.clone(), images);
            }
        }
        self.recorded_pages = pages;
    }
}
