//! Controllers: their lives, and what they do with what comes in.

use super::*;

impl World {
    /// A process ends, and is back after a while.
    pub fn crash(&mut self, host: usize, back_us: u64) {
        for input in std::mem::take(&mut self.hosts[host].inbox) {
            self.unheard(host, input);
        }
        self.hosts[host].end();
        self.ground
            .history
            .note(self.now, "controller ends", &host, &"");
        self.at(back_us, Event::Boot(host));
    }

    /// True if a controller would take users' requests.
    pub fn ready(&self, host: usize) -> bool {
        self.hosts[host]
            .core
            .as_ref()
            .is_some_and(|c| c.ready(self.now / MS))
    }

    pub(super) fn boot(&mut self, host: usize) {
        let (scenario, now) = (self.scenario.clone(), self.now);
        if self.hosts[host].core.is_some() {
            return;
        }
        self.hosts[host].boot(&scenario, host, now);
        self.ground
            .history
            .note(now, "controller starts", &host, &"");
        let life = self.hosts[host].life;
        self.hosts[host].read_due = now;
        self.at(0, Event::Read(host, life));
        self.at(MS, Event::Tick(host, life));
        self.at(100 * MS, Event::Holds(host, life));
        let first = self.rng.random_range(0..LIST_EVERY_MS * MS);
        self.at(first, Event::ListSoon(host, life));
    }

    pub(super) fn deliver(&mut self, host: usize, input: Input) {
        let h = &mut self.hosts[host];
        if h.core.is_none() {
            return;
        }
        h.inbox.push_back(input);
        if !h.waking {
            h.waking = true;
            let (at, life) = (h.busy_until.max(self.now), h.life);
            self.push(at, Event::Wake(host, life));
        }
    }

    /// Charges a controller for messages and for what its walks looked at.
    pub(super) fn charge(&mut self, host: usize, messages: u64) {
        let costs = self.scenario.costs;
        let now = self.now;
        let h = &mut self.hosts[host];
        let tally = h.core.as_ref().map(|c| c.tally()).unwrap_or_default();
        // Less than before: a part was given up.
        let grown = |now: u64, before: u64| now.checked_sub(before).unwrap_or(now);
        let looks = grown(tally.looked, h.tally.looked);
        h.work.judged.0 += grown(tally.refused, h.tally.refused);
        h.work.judged.1 += grown(tally.pushed_out, h.tally.pushed_out);
        h.tally = tally;
        let ns = h.work.rest_ns + messages * costs.message_ns + looks * costs.look_ns;
        h.work.rest_ns = ns % 1_000;
        h.work.busy_us += ns / 1_000;
        h.work.messages += messages;
        h.work.looks += looks;
        h.busy_until = h.busy_until.max(now) + ns / 1_000;
    }

    /// The time at which something that a controller sends now leaves it.
    pub(super) fn leaves(&self, host: usize) -> u64 {
        self.hosts[host].busy_until.max(self.now)
    }

    pub(super) fn wake(&mut self, host: usize) {
        let mut taken = 0;
        while taken < PUMP_EVERY {
            let Some(input) = self.hosts[host].inbox.pop_front() else {
                break;
            };
            taken += 1;
            let cost = !matches!(input, Input::Tick) as u64;
            self.take(host, input);
            self.charge(host, cost);
            if self.hosts[host].busy_until > self.now {
                break;
            }
        }
        if self.hosts[host].poked && (self.hosts[host].inbox.is_empty() || taken >= PUMP_EVERY) {
            self.pump(host);
        }
        let h = &mut self.hosts[host];
        h.waking = !h.inbox.is_empty() || h.poked;
        if h.waking {
            let (at, life) = (h.busy_until.max(self.now), h.life);
            self.push(at, Event::Wake(host, life));
        }
    }

    pub(super) fn pump(&mut self, host: usize) {
        let ms = self.now / MS;
        self.hosts[host].poked = false;
        let Some(core) = self.hosts[host].core.as_mut() else {
            return;
        };
        let effects = core.pump(ms);
        let sent = effects.len() as u64;
        self.charge(host, sent);
        for effect in effects {
            self.carry(host, effect);
        }
    }

    pub(super) fn carry(&mut self, host: usize, effect: Effect) {
        let life = self.hosts[host].life;
        let at = self.leaves(host) + self.travel();
        match effect {
            Effect::CompareAndSwap(lease, cas) => self.send_txn(host, For::Core(lease), cas),
            Effect::Chain(cas) => self.send_txn(host, For::Chain, cas),
            Effect::ReadEnds(ids) => {
                let at = at + self.travel();
                self.push(at, Event::To(host, life, Box::new(Input::EndsRead(ids))));
            }
            Effect::Note(cas) => self.send_txn(host, For::Nobody, cas),
            Effect::Command(lease, call) => self.send_orders(host, lease, call, at),
            Effect::Sync(lease, sync) => self.send_sync(host, lease, sync, at),
            Effect::MailSync(sync) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::Sync,
                    from_shard: sync.from_shard,
                    to_shard: sync.to_shard,
                };
                self.mail(host, line, (sync.from_fencing_token, sync.seq), &peer::encode(&sync));
            }
            Effect::MailView(to, view) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: view.shard,
                    to_shard: to,
                };
                self.mail(host, line, (view.fencing_token, view.seq), &peer::encode(&view));
            }
            Effect::Nudge(shard) => {
                let held = self.hosts[host]
                    .core
                    .as_ref()
                    .map(|c| c.held())
                    .unwrap_or_default();
                if let Some(to) = self
                    .known_holder(host, shard)
                    .filter(|to| !self.is_cut(host, *to))
                {
                    let life = self.hosts[to].life;
                    for lease in held {
                        self.push(
                            at,
                            Event::To(to, life, Box::new(Input::Nudge(shard, lease.shard))),
                        );
                    }
                }
            }
            Effect::Rent(lease, rental) => {
                let wait = self.hosts[host].cloud.take(1.0, self.now);
                let way = self.way(host, Service::Cloud, 0);
                self.push(
                    at + wait + 100 * MS,
                    Event::Rent(host, life, lease, Box::new(rental), way),
                );
            }
            Effect::Release(lease, names) => {
                let wait = self.hosts[host].cloud.take(1.0, self.now);
                let way = self.way(host, Service::Cloud, 0);
                self.push(
                    at + wait + 100 * MS,
                    Event::Release(host, life, lease, names, way),
                );
            }
            Effect::Hail(to, word) => self.send_hail(host, to, word, at),
            Effect::Probe(service) => self.push(at, Event::Probe(host, life, service)),
        }
    }

    pub(super) fn want_reading(&mut self, host: usize) {
        let (now, life) = (self.now, self.hosts[host].life);
        let h = &mut self.hosts[host];
        if h.read_wanted {
            return;
        }
        h.read_wanted = true;
        if !h.reading {
            let at = (h.read_at + REFRESH_BUSY_MS * MS).max(now);
            if at < h.read_due {
                h.read_due = at;
                self.push(at, Event::Read(host, life));
            }
        }
    }

    /// A user's question is answered from a reading that begins from now on.
    pub(super) fn await_reading(&mut self, host: usize, id: JobId, withdraw: bool) {
        self.hosts[host].waiting.push((self.now, id, withdraw));
        self.want_reading(host);
    }

    /// Works one message off.
    pub(super) fn take(&mut self, host: usize, input: Input) {
        let ms = self.now / MS;
        let h = &mut self.hosts[host];
        let Some(core) = h.core.as_mut() else { return };
        h.poked = true;
        match input {
            Input::Tick => {}
            Input::Report(number, report, sent) => {
                let session = report.incarnation;
                match core.report(&report, ms) {
                    HeartbeatAnswer::Carry(to) => self.carry_report(host, to, number, report, sent),
                    answer => {
                        let at = self.leaves(host) + self.travel();
                        self.answer(at, host, number, session, sent, answer);
                    }
                }
            }
            Input::CarriedReport(number, report, sent, by, life) => {
                let answer = core.carried_report(&report, by as u16, ms);
                self.answer_carried(host, number, &report, sent, (by, life), answer);
            }
            Input::CarriedAnswer(number, session, sent, from, answer) => {
                core.links.reached(from as u16, answer.is_some(), ms);
                let answer = answer.map_or(HeartbeatAnswer::Unable, |a| *a);
                let at = self.leaves(host) + self.travel();
                self.answer(at, host, number, session, sent, answer);
            }
            Input::Tried(service, None, bytes, good) => core.links.tried(service, bytes, good, ms),
            Input::Tried(service, Some(by), _, good) => core.links.carried(service, by, good, ms),
            Input::Hail(life, word) => {
                let from = usize::from(word.controller);
                let answer = Box::new(core.links.hail_in(*word, ms));
                let at = self.leaves(host) + self.travel();
                self.push(
                    at,
                    Event::To(
                        from,
                        life,
                        Box::new(Input::Hailed(host as u16, Some(answer))),
                    ),
                );
            }
            Input::Hailed(from, word) => {
                core.links
                    .hailed(from, word.is_some(), word.map(|w| *w), ms)
            }
            Input::Command(lease, call, result) => core.command_done(lease, &call, result, ms),
            Input::View(lease, to, view) => core.sync_done(lease, to, view.map(|v| *v), ms),
            Input::Rented(lease, rental, result) => core.rented(lease, &rental, result, ms),
            Input::Released(lease, names) => core.released(lease, &names, true, ms),
            Input::Listed(entries) => core.listed(&entries, ms),
            Input::Superseded(by) => core.superseded(by, ms),
            Input::Nudge(shard, from) => core.nudged(shard, from),
            Input::Announced => self.want_reading(host),
            Input::Sync(from, life, lease, sync) => {
                let answer = core.sync_in(&sync, ms);
                if let Err(SyncError::Superseded(by)) = &answer
                    && from < self.hosts.len()
                    && !self.is_cut(from, host)
                {
                    let at = self.leaves(host) + self.travel();
                    self.push(
                        at,
                        Event::To(from, life, Box::new(Input::Superseded(by.clone()))),
                    );
                }
                self.answer_sync(host, from, life, lease, sync.to_shard, answer.ok());
            }
            Input::Read(began, reading) => self.take_reading(host, began, reading),
            Input::Adopt(lease, chunks, images) => self.acquire(host, lease, chunks, images),
            Input::Hold(answer) => self.hold_answered(host, answer),
            // Asked for again at the loop's next step.
            Input::HoldUnknown => self.hosts[host].keeping -= 1,
            Input::EndsRead(ids) => {
                self.settle_ends(host, &ids);
                if let Some(core) = self.hosts[host].core.as_mut() {
                    core.ends_read(&ids, ms);
                }
            }
            Input::Submit(id) => self.take_submission(host, id),
            Input::Poll(id) => match core.answer(&id, ms) {
                Answer::Unfinished(phase, ..) => self.reply(host, id, Some(phase), 200),
                answer => self.answer_late(host, id, false, answer),
            },
            Input::Withdraw(id) => {
                let answer = core.answer(&id, ms);
                self.answer_late(host, id, true, answer);
            }
            Input::CompareAndSwap(whose, cas, outcome, versions) => {
                self.txn_ended(host, whose, &cas, outcome, versions)
            }
        }
    }

    pub(super) fn answer_sync(
        &mut self,
        host: usize,
        from: usize,
        life: u64,
        lease: ShardLease,
        shard: u16,
        view: Option<ShardView>,
    ) {
        if from >= self.hosts.len() {
            return;
        }
        let view = view.filter(|_| !self.is_cut(from, host));
        if let Some(view) = &view {
            self.hosts[host].work.peer_bytes += peer::encoded_len(view) as u64;
        }
        let at = self.leaves(host) + self.travel();
        self.push(
            at,
            Event::To(
                from,
                life,
                Box::new(Input::View(lease, shard, view.map(Box::new))),
            ),
        );
    }

    pub(super) fn take_reading(&mut self, host: usize, began: u64, reading: Reading) {
        let now = self.now;
        let h = &mut self.hosts[host];
        let Some(core) = h.core.as_mut() else { return };
        h.reading = false;
        h.read_at = now;
        let mut effects = Vec::new();
        let changed = reading.apply(&mut core.cache, now / MS);
        let good = changed.is_some();
        if let Some(changed) = changed {
            core.refreshed(began / MS, changed);
            effects = core.take_mail(now / MS);
        }
        let mailing = core.mailing();
        for effect in effects {
            self.carry(host, effect);
        }
        let h = &mut self.hosts[host];
        let (asked, later): (Vec<_>, Vec<_>) = std::mem::take(&mut h.waiting)
            .into_iter()
            .partition(|(at, _, _)| *at <= began);
        h.waiting = later;
        let soon = h.read_wanted || mailing || !h.waiting.is_empty();
        let life = h.life;
        h.read_due = now
            + if soon {
                REFRESH_BUSY_MS
            } else {
                REFRESH_IDLE_MS
            } * MS;
        let due = h.read_due;
        self.push(due, Event::Read(host, life));
        for (at, id, withdraw) in asked {
            self.answer_user(host, id, withdraw, good, at);
        }
    }

    pub(super) fn acquire(
        &mut self,
        host: usize,
        lease: ShardLease,
        chunks: Vec<KeyValue>,
        images: Vec<KeyValue>,
    ) {
        // The jobs must be at least as new as the records: a reading of them follows,
        // here at the same moment.
        if !self.reachable(host, Service::Store) {
            let life = self.hosts[host].life;
            return self.at(
                TICK_MS * MS,
                Event::To(host, life, Box::new(Input::Adopt(lease, chunks, images))),
            );
        }
        let chunks: Vec<(JobId, u32, TaskChunkRecord, u64)> = chunks
            .iter()
            .filter_map(|e| {
                parse_task_chunk_key(&e.key)
                    .and_then(|(j, c)| Some((j, c, read_chunk(&e.value, c)?, e.version)))
            })
            .collect();
        let images = images
            .iter()
            .filter_map(|e| from_value::<ImageLocationsRecord>(&e.value))
            .collect();
        let ms = self.now / MS;
        self.hosts[host].keeping -= 1;
        let Some(core) = self.hosts[host].core.as_mut() else {
            return;
        };
        followed(&self.store, core.cache.revision).apply(&mut core.cache, ms);
        core.refreshed(ms, true);
        if core
            .cache
            .shard_leaders
            .get(&lease.shard)
            .is_some_and(|p| p.fencing_token == lease.token)
        {
            core.acquire(lease, &chunks, images, ms);
        }
    }

    /// A transaction ended; `None`: no answer came.
    pub(super) fn txn_ended(
        &mut self,
        host: usize,
        whose: For,
        cas: &CompareAndSwap,
        outcome: Option<CompareAndSwapOutcome>,
        versions: Vec<(String, u64)>,
    ) {
        let ms = self.now / MS;
        let h = &mut self.hosts[host];
        let Some(core) = h.core.as_mut() else { return };
        match whose {
            For::Core(lease) => {
                for (key, version) in versions {
                    if let Some((job, chunk)) = parse_task_chunk_key(&key) {
                        core.reread(lease, &job, chunk, version);
                    }
                }
                core.cas_done(lease, outcome.unwrap_or(CompareAndSwapOutcome::Again), ms);
            }
            For::Nobody => {}
            For::Chain => {
                core.chain_done(outcome.unwrap_or(CompareAndSwapOutcome::Again), ms);
                self.want_reading(host);
            }
            For::Presence(hold) => {
                h.keeping -= 1;
                h.hold = matches!(outcome, Some(CompareAndSwapOutcome::Done(_))).then_some(hold);
            }
            For::Keeper(claim) => {
                h.keeping -= 1;
                // Given up here once it is given up in the store.
                if let (
                    Some(ElectionAction::HandBack(lease) | ElectionAction::Leave(lease)),
                    Some(CompareAndSwapOutcome::Done(_)),
                ) = (claim, outcome)
                {
                    core.release(lease.shard, ms);
                }
                self.want_reading(host);
            }
            For::User(id, withdraw, asked) => match outcome {
                Some(CompareAndSwapOutcome::Done(_)) if withdraw => {
                    // Its end is told to a later question.
                    self.announce(host, &id);
                    self.reply(host, id, None, 503);
                }
                Some(CompareAndSwapOutcome::Done(_)) => {
                    self.announce(host, &id);
                    // With a cancelled job that it needs it is cancelled from the start.
                    let over = cas.writes.iter().any(
                        |write| matches!(write, Write::Put { key, .. } if *key == end_key(&id)),
                    );
                    self.reply(
                        host,
                        id,
                        Some(if over {
                            JobPhase::Withdrawn
                        } else {
                            JobPhase::Queued
                        }),
                        201,
                    );
                }
                // Made before, or changed meanwhile: what the store says now
                // is the answer.
                Some(CompareAndSwapOutcome::Conflict(_)) => self.await_reading(host, id, withdraw),
                None if withdraw && self.now < asked + USER_TIMEOUT_MS * MS => {
                    self.await_reading(host, id, withdraw)
                }
                None if self.now < asked + USER_TIMEOUT_MS * MS => {
                    self.send_txn(host, For::User(id, false, asked), cas.clone())
                }
                _ => self.reply(host, id, None, 503),
            },
        }
    }
}
