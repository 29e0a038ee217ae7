//! What controllers send, and what of it gets through.

use super::*;

impl World {
    /// True if what `a` sends to `b` does not get through, or its answer.
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        self.down.contains(&Link::OneWay(a, b))
            || self.down.contains(&Link::Hosts(a.min(b), a.max(b)))
            || self.parted(self.scenario.zone_of(a), self.scenario.zone_of(b))
    }

    /// True if a cut is between two zones.
    pub(super) fn parted(&self, a: &str, b: &str) -> bool {
        a != b && (self.cut_zones.contains(a) || self.cut_zones.contains(b))
    }

    /// True if a controller and a machine can't reach each other.
    pub(super) fn far(&self, host: usize, number: usize) -> bool {
        let zone = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .map(|w| w.zone.as_str());
        self.down.contains(&Link::WorkerTiming(host))
            || zone.is_some_and(|zone| {
                self.parted(self.scenario.zone_of(host), zone)
                    || self.down.contains(&Link::Zone(host, zone.to_owned()))
            })
    }

    /// True if a controller can't reach what is outside the zones.
    pub(super) fn inside_cut(&self, host: usize) -> bool {
        self.cut_zones.contains(self.scenario.zone_of(host))
    }

    /// The host that a controller's copy names as a part's holder.
    pub(super) fn known_holder(&self, host: usize, shard: u16) -> Option<usize> {
        let core = self.hosts[host].core.as_ref()?;
        let name = &core.cache.shard_leaders.get(&shard)?.host;
        core.config.members.iter().position(|m| m.host == *name)
    }

    pub(super) fn send_txn(&mut self, host: usize, whose: For, cas: CompareAndSwap) {
        let (now, life) = (self.now, self.hosts[host].life);
        let h = &mut self.hosts[host];
        let wait = h
            .requests
            .take(1.0, now)
            .max(h.writes.take(cas.writes.len() as f64, now));
        if matches!(whose, For::Core(_)) {
            self.measures.written(&cas, now, self.leaves(host));
        }
        let at = self.leaves(host) + wait + self.travel();
        let way = self.way(host, Service::Store, ways::bytes(&cas));
        self.push(
            at,
            Event::PlacementRequest(
                host,
                life,
                Request::CompareAndSwap(whose, Box::new(cas)),
                way,
            ),
        );
    }

    pub(super) fn send_orders(
        &mut self,
        host: usize,
        lease: ShardLease,
        call: CommandCall,
        at: u64,
    ) {
        let life = self.hosts[host].life;
        let chances = self.scenario.chances;
        let number = machine_number(&call.machine);
        let silent = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .is_some_and(|w| w.silent || w.hung_until > self.now);
        let deaf = self.deaf(call.through.map_or(host, usize::from), number, true);
        let lost = silent
            || deaf
            || self.blocked(host, call.through, number)
            || self.chance(chances.lost_command);
        let held = if lost { None } else { self.held() };
        let late = !lost && (held.is_some() || self.chance(chances.late_command));
        if !lost && !late {
            self.push(at, Event::Orders(host, life, lease, Box::new(call), false));
            return;
        }
        if late || self.chance(500) {
            // Held back: it may arrive much later.
            let later = held.unwrap_or_else(|| self.rng.random_range(3_000..90_000) * MS);
            self.push(
                at + later,
                Event::Orders(host, life, lease, Box::new(call.clone()), true),
            );
        }
        let unknown = Input::Command(lease, call, CommandResult::Unknown);
        self.push(
            at + COMMAND_TIMEOUT_MS * MS,
            Event::To(host, life, Box::new(unknown)),
        );
    }

    pub(super) fn send_sync(&mut self, host: usize, lease: ShardLease, sync: SyncRequest, at: u64) {
        let life = self.hosts[host].life;
        let shard = sync.to_shard;
        let failed = move |lease| Box::new(Input::View(lease, shard, None));
        self.hosts[host].work.peer_bytes += peer::encoded_len(&sync) as u64;
        let Some(to) = self
            .known_holder(host, shard)
            .filter(|to| self.hosts[*to].core.is_some())
        else {
            self.push(at + 2 * MS, Event::To(host, life, failed(lease)));
            return;
        };
        let lost = self.is_cut(host, to) || self.chance(self.scenario.chances.lost_sync);
        if lost {
            if self.chance(self.scenario.chances.late_sync) {
                let later = self.rng.random_range(2_000..60_000) * MS;
                let (to_life, sync) = (self.hosts[to].life, Box::new(sync));
                self.push(
                    at + later,
                    Event::To(
                        to,
                        to_life,
                        Box::new(Input::Sync(usize::MAX, 0, lease, sync)),
                    ),
                );
            }
            self.push(
                at + SYNC_TIMEOUT_MS * MS,
                Event::To(host, life, failed(lease)),
            );
        } else {
            let to_life = self.hosts[to].life;
            self.push(
                at,
                Event::To(
                    to,
                    to_life,
                    Box::new(Input::Sync(host, life, lease, Box::new(sync))),
                ),
            );
        }
    }

    /// What was sent to a process that is no more has no answer.
    pub(super) fn unheard(&mut self, host: usize, input: Input) {
        let (to, life, failed) = match input {
            Input::Sync(from, life, lease, sync) if from < self.hosts.len() => {
                (from, life, Input::View(lease, sync.to_shard, None))
            }
            Input::Hail(life, word) => (
                usize::from(word.controller),
                life,
                Input::Hailed(host as u16, None),
            ),
            Input::CarriedReport(number, report, sent, by, life) => (
                by,
                life,
                Input::CarriedAnswer(number, report.incarnation, sent, host, None),
            ),
            _ => return,
        };
        self.at(SYNC_TIMEOUT_MS * MS, Event::To(to, life, Box::new(failed)));
    }

    pub(super) fn mail(
        &mut self,
        host: usize,
        line: StoreMessageRoute,
        id: (u64, u64),
        bytes: &[u8],
    ) {
        let Some(hold) = self.hosts[host].hold else {
            return;
        };
        self.largest_mail = self.largest_mail.max(bytes.len());
        let piece = mail_piece_bytes((self.scenario.state.lowest_max_value_kib() * 1024.0) as usize);
        let cas = post(line, id, bytes, piece, hold);
        if cas.writes.len() <= self.scenario.state.lowest_max_cas_ops() {
            self.send_txn(host, For::Nobody, cas);
        }
    }
}
