//! What reaches the state service and the cloud, and what they answer.

use super::*;

impl Request {
    fn writes(&self) -> usize {
        if let Request::CompareAndSwap(_, cas) = self {
            cas.writes.len()
        } else {
            0
        }
    }

    /// What its controller is left with when no answer comes.
    fn unanswered(&self) -> Input {
        match self {
            Request::CompareAndSwap(whose, cas) => {
                Input::CompareAndSwap(whose.clone(), (**cas).clone(), None, Vec::new())
            }
            Request::Reading(_, began) => Input::Read(*began, Reading::Failed),
            Request::Hold(_) => Input::HoldUnknown,
        }
    }
}

impl World {
    /// The loop that keeps a controller's hold and parts, one step after the other.
    pub(super) fn holds(&mut self, host: usize, life: u64) {
        if !self.alive(host, life) {
            return;
        }
        let now = self.now;
        self.at(2 * TICK_MS * MS, Event::Holds(host, life));
        let h = &mut self.hosts[host];
        if h.keeping > 0 || h.core.as_ref().is_none_or(|c| c.cache.revision.is_none()) {
            return;
        }
        let hold = h.hold;
        if hold.is_none() || now >= h.renewed + HOLD_RENEW_MS * MS {
            h.keeping += 1;
            let at = now + self.travel();
            let way = self.way(host, Service::Store, 0);
            self.push(
                at,
                Event::PlacementRequest(host, life, Request::Hold(hold), way),
            );
        }
        let Some(hold) = hold else { return };
        let h = &mut self.hosts[host];
        let Some(core) = h.core.as_ref() else { return };
        let teams = core.unassigned_teams();
        let raised = core.version_cas();
        let unshown = h.membership.unshown(core, now / MS);
        let claims: Vec<ElectionAction> = (0..h.membership.shards())
            .filter_map(|shard| h.membership.claim(core, shard, now / MS))
            .collect();
        let left = h.membership.left(core, now / MS);
        // One at a time: what it brings counts for the next.
        let claimed = claims
            .first()
            .map(|claim| (*claim, core.claim_txn(claim, hold, left, now / MS)));
        if !teams.is_empty() {
            self.keep(host, None, assign_teams(&teams));
        }
        if let Some(cas) = raised {
            self.keep(host, None, cas);
        }
        if let Some((claim, cas)) = claimed {
            self.keep(host, Some(claim), cas);
        } else if let Some(left) = unshown {
            let cas = self.presence(host, hold, left);
            self.keep(host, None, cas);
        }
    }

    /// Sends a transaction that the loop waits for.
    fn keep(&mut self, host: usize, claim: Option<ElectionAction>, cas: CompareAndSwap) {
        self.hosts[host].keeping += 1;
        self.send_txn(host, For::Keeper(claim), cas);
    }

    fn presence(&self, host: usize, hold: u64, left: Vec<u16>) -> CompareAndSwap {
        register_controller(
            &crate::scenario::host_name(host),
            self.scenario.zone_of(host),
            hold,
            left,
        )
    }

    /// The answer to a renewal, or a new hold: that begins with the node's presence.
    pub(super) fn hold_answered(&mut self, host: usize, answer: Option<u64>) {
        let now = self.now;
        let h = &mut self.hosts[host];
        h.keeping -= 1;
        h.renewed = now;
        match (h.hold, answer, h.core.as_ref()) {
            (None, Some(id), Some(core)) => {
                let left = h.membership.left(core, now / MS);
                h.keeping += 1;
                let cas = self.presence(host, id, left);
                self.send_txn(host, For::Presence(id), cas);
            }
            _ => h.hold = answer,
        }
    }

    /// How long the store takes until it carries a request out and, after that, until
    /// it answers; `None`: its answer is lost.
    fn pace(&mut self, request: &Request) -> (u64, Option<u64>) {
        let (scenario, chances) = (self.scenario.clone(), self.scenario.chances);
        let core = matches!(request, Request::CompareAndSwap(For::Core(_), _));
        let (mut before, mut after) = (0, Some(0));
        if core && self.chance(chances.late_txn) {
            (before, after) = (self.rng.random_range(3_000..30_000) * MS, None);
        } else if core && self.chance(chances.lost_txn_reply) {
            after = None;
        }
        for i in self.struck.keys().copied().collect::<Vec<_>>() {
            match scenario.faults[i].trouble {
                Trouble::StoreSlow { seconds } => {
                    let whole = self.rng.random_range(seconds.us());
                    let first = self.rng.random_range(0..=whole);
                    (before, after) = (before + first, after.map(|us| us + whole - first));
                }
                Trouble::LateWrites { at_once }
                    if request.writes() > 0
                        && self.rng.random::<f64>() < scenario.faults[i].share =>
                {
                    let later = if at_once {
                        0
                    } else {
                        self.rng.random_range(LATE_WRITES.us())
                    };
                    (before, after) = (before + later, None);
                    self.late_writes += 1;
                }
                _ => {}
            }
        }
        (before, after)
    }

    /// A request reaches the store. Who asked gives up after a while; what was asked
    /// for is carried out all the same, also once its controller is no more.
    pub(super) fn asked_of_store(&mut self, host: usize, life: u64, request: Request, way: Way) {
        let passes = self.passes(host, way);
        let (before, after) = if passes {
            self.pace(&request)
        } else {
            (0, Some(0))
        };
        let patience = STATE_TIMEOUT_MS * MS;
        let answer_us = after.filter(|after| before + after < patience);
        self.tried(
            host,
            life,
            way,
            passes && answer_us.is_some(),
            answer_us.map_or(patience, |after| before + after),
        );
        if !passes || !self.store.admit(request.writes(), self.now) {
            // Refused: the process waits before it tries again.
            let (input, wait) = match request {
                Request::CompareAndSwap(whose, cas) => {
                    let wait = if matches!(whose, For::Core(_)) {
                        2 * TICK_MS * MS
                    } else {
                        0
                    };
                    (
                        Input::CompareAndSwap(
                            whose,
                            *cas,
                            Some(CompareAndSwapOutcome::Again),
                            Vec::new(),
                        ),
                        wait,
                    )
                }
                other => (other.unanswered(), 0),
            };
            let at = self.now + wait + self.travel();
            return self.push(at, Event::To(host, life, Box::new(input)));
        }
        if answer_us.is_none() {
            self.at(
                patience,
                Event::To(host, life, Box::new(request.unanswered())),
            );
        }
        if before == 0 {
            self.serve(host, life, request, answer_us);
        } else {
            self.at(before, Event::Serve(host, life, request, answer_us));
        }
    }

    /// The store carries a request out.
    pub(super) fn serve(
        &mut self,
        host: usize,
        life: u64,
        request: Request,
        answer_us: Option<u64>,
    ) {
        let now = self.now;
        let answer = match request {
            Request::Reading(after, began) => Input::Read(began, followed(&self.store, after)),
            Request::Hold(Some(id)) => Input::Hold(self.store.renew(id, now).then_some(id)),
            Request::Hold(None) => Input::Hold(Some(self.store.hold(HOLD_TTL_MS, now))),
            Request::CompareAndSwap(whose, cas) => self.make(whose, *cas),
        };
        if let Some(answer_us) = answer_us {
            let at = now + answer_us + self.travel();
            self.push(at, Event::To(host, life, Box::new(answer)));
        }
    }

    fn make(&mut self, whose: For, cas: CompareAndSwap) -> Input {
        let now = self.now;
        let mut versions = Vec::new();
        let outcome = match self.store.cas(&cas) {
            TxnAnswer::NoHold => CompareAndSwapOutcome::Again,
            TxnAnswer::TooLarge => CompareAndSwapOutcome::Refused,
            TxnAnswer::Conflict(keys) => {
                let version = |key: &str| self.store.get(key).map_or(0, |(_, version)| version);
                if let For::Core(lease) = whose {
                    versions.extend(
                        keys_to_reread(lease, &keys)
                            .into_iter()
                            .map(|key| (key.to_owned(), version(key))),
                    );
                }
                CompareAndSwapOutcome::Conflict(keys)
            }
            TxnAnswer::Done(revision) => {
                self.ground.checker.written(&cas, now);
                self.measures.recorded(&cas, now);
                self.note_ends(&cas, revision);
                CompareAndSwapOutcome::Done(revision)
            }
        };
        if let (
            For::Keeper(Some(ElectionAction::Take { shard, .. })),
            CompareAndSwapOutcome::Done(token),
        ) = (&whose, &outcome)
        {
            let lease = ShardLease {
                shard: *shard,
                token: *token,
            };
            self.new_leader();
            return Input::Adopt(
                lease,
                self.store.list(&task_chunks_prefix(*shard)),
                self.store.list(&image_locations_prefix(*shard)),
            );
        }
        Input::CompareAndSwap(whose, cas, Some(outcome), versions)
    }

    pub(super) fn note_ends(&mut self, cas: &CompareAndSwap, revision: u64) {
        for w in &cas.writes {
            if let Write::Put { key, .. } = w
                && let Some(id) = key.strip_prefix("end/").map(JobId::from)
            {
                self.ground.history.note(self.now, "ended", &id, &revision);
                self.measures.ended(&id, self.now);
            }
        }
    }

    pub(super) fn rent(
        &mut self,
        host: usize,
        life: u64,
        lease: ShardLease,
        rental: ProvisioningRequest,
        way: Way,
    ) {
        let now = self.now;
        let result = if !self.served(host, life, way) {
            ProvisioningResult::Again
        } else if let Some(before) = self.cloud.bookings.get(&rental.request_id) {
            ProvisioningResult::Rented(before.clone())
        } else {
            let kind = self
                .scenario
                .kinds
                .iter()
                .position(|k| k.machine.name == rental.machine_type);
            let left = kind.map_or(0, |k| {
                self.cloud
                    .left(k, &rental.zone, rental.spot, &self.scenario)
            });
            let names: Vec<MachineId> = (0..rental.count.min(left).min(MAX_RENT))
                .filter_map(|_| {
                    let kind = kind?;
                    let boot = self.scenario.kinds[kind].machine.boot_s
                        * (0.6 + 0.9 * self.rng.random::<f64>());
                    let up = match &self.boots {
                        Some((factor, fail, zone))
                            if zone.as_ref().is_none_or(|z| *z == rental.zone) =>
                        {
                            if self.rng.random::<f64>() < *fail {
                                now + NEVER_UP_US
                            } else {
                                now + (boot * factor * 1e6) as u64
                            }
                        }
                        _ => now + (boot * 1e6) as u64,
                    };
                    Some(self.add_machine(kind, &rental.zone, rental.spot, now, up))
                })
                .collect();
            if names.is_empty() {
                ProvisioningResult::NoCapacity
            } else {
                self.ground
                    .history
                    .note(now, "rented", &rental.request_id, &names.len());
                self.cloud
                    .bookings
                    .insert(rental.request_id.clone(), names.clone());
                ProvisioningResult::Rented(names)
            }
        };
        let at = now + self.travel();
        self.push(
            at,
            Event::To(host, life, Box::new(Input::Rented(lease, rental, result))),
        );
    }
}

/// What the store says of the followed keys since a revision, or of all.
pub(super) fn followed(store: &Store, after: Option<u64>) -> Reading {
    match after.and_then(|after| store.changes(FOLLOWED, after)) {
        Some(changes) => Reading::Changes(changes, store.revision),
        None => Reading::All(store.list(FOLLOWED), store.revision),
    }
}
