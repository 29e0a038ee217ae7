//! What goes wrong, and when it is over.

use super::*;

/// Share of the reports of which a copy is kept for the next leader, in thousandths.
const KEPT_REPORTS: u32 = 250;
/// Copies of one machine's reports that are kept at most.
const KEPT_OF_MACHINE: usize = 3;

impl World {
    pub(super) fn fault(&mut self, i: usize) {
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[i];
        let for_us = (fault.for_s * 1e6) as u64;
        self.ground
            .history
            .note(self.now, "trouble", &format!("{:?}", fault.trouble), &"");
        let hosts = self.hosts.len();
        let mut struck = Vec::new();
        match &fault.trouble {
            Trouble::Crash { host: Some(host) } => self.crash(*host, for_us),
            Trouble::Crash { host: None } => (0..hosts).for_each(|h| self.crash(h, for_us)),
            Trouble::Roll => {
                // Each is away for a third of the time until the next one goes.
                for h in 0..hosts {
                    self.at(for_us * h as u64, Event::FaultOver(i, vec![h]));
                }
                return;
            }
            Trouble::StoreDown => self.store.down = true,
            Trouble::KvStoreLimits => self.store.lower_limits(&scenario.state),
            Trouble::Cut(link) => {
                self.down.insert(link.clone());
                let flap_us = (fault.flap_s * 1e6) as u64;
                for n in (1..).take_while(|n| flap_us > 0 && n * flap_us < for_us) {
                    self.at(n * flap_us, Event::Flap(link.clone(), n % 2 == 0));
                }
            }
            Trouble::Alone { host } => {
                let links = self.all_but_workers(*host);
                self.down.extend(links);
            }
            Trouble::CloudDown => self.cloud.down = true,
            Trouble::Boots { factor, zone } => {
                self.boots = Some((*factor, fault.share, zone.clone()))
            }
            Trouble::Polls { factor } => self.asked_often = *factor,
            Trouble::CutZone { zone } => drop(self.cut_zones.insert(zone.clone())),
            Trouble::Freeze { host } => {
                let until = self.now + for_us;
                let h = &mut self.hosts[*host];
                (h.frozen_until, h.busy_until) = (until, h.busy_until.max(until));
            }
            // Also machines that are rented into the zone meanwhile.
            Trouble::Deaf { zone: Some(_), .. }
            | Trouble::Mute { zone: Some(_) }
            | Trouble::LateWrites { .. }
            | Trouble::StoreSlow { .. }
            | Trouble::HeldOrders { .. }
            | Trouble::CloseLooks
            | Trouble::CancelAtEnd => drop(self.struck.insert(i, BTreeSet::new())),
            Trouble::OddRequests => {
                self.struck.insert(i, BTreeSet::new());
                self.odd_requests(i);
            }
            Trouble::CancelNow { count, hang_s } => self.cancel_now(*count, (hang_s * 1e6) as u64),
            Trouble::Silent
            | Trouble::Hang
            | Trouble::Faulty
            | Trouble::Die
            | Trouble::Reborn
            | Trouble::LateCopies { .. }
            | Trouble::Deaf { .. }
            | Trouble::Mute { .. }
            | Trouble::TakeSpot { .. } => {
                let spot_only = matches!(fault.trouble, Trouble::TakeSpot { .. });
                let up: Vec<usize> = self
                    .workers
                    .iter()
                    .flatten()
                    .filter(|w| w.up_at <= self.now && (w.spot || !spot_only))
                    .map(|w| w.number)
                    .collect();
                struck = up
                    .into_iter()
                    .filter(|_| self.rng.random::<f64>() < fault.share)
                    .collect();
                if matches!(
                    fault.trouble,
                    Trouble::LateCopies { .. } | Trouble::Deaf { .. } | Trouble::Mute { .. }
                ) {
                    self.struck.insert(i, struck.iter().copied().collect());
                }
                for &number in &struck {
                    self.strike(number, &fault.trouble, for_us);
                }
            }
        }
        self.at(for_us, Event::FaultOver(i, struck));
    }

    pub(super) fn strike(&mut self, number: usize, trouble: &Trouble, for_us: u64) {
        let now = self.now;
        match trouble {
            Trouble::Silent => drop(self.with_worker(number, |w, _| w.silent = true)),
            Trouble::Die => self.take_machine(number),
            Trouble::Reborn => {
                // Connections to the earlier life end with it: what they held back
                // never comes (statement 12 of `docs/design.md`).
                let held = |e: &Event| matches!(e, Event::Orders(_, _, _, call, true) if machine_number(&call.machine) == number);
                self.queue.retain(|Reverse(timed)| !held(&timed.event));
                self.with_worker(number, |w, ground| w.reborn(now, ground));
            }
            Trouble::Faulty => drop(self.with_worker(number, |w, _| w.faulty = true)),
            Trouble::Hang => {
                drop(self.with_worker(number, |w, ground| w.hang(now, now + for_us, ground)))
            }
            Trouble::TakeSpot { notice_s } => {
                let at = now + (notice_s * 1e6 * (0.5 + self.rng.random::<f64>())) as u64;
                self.with_worker(number, |w, _| w.notice = (*notice_s > 0.0).then_some(at));
                self.push(at, Event::TakeMachine(number));
            }
            _ => {}
        }
    }

    pub(super) fn fault_over(&mut self, i: usize, struck: &[usize]) {
        let scenario = self.scenario.clone();
        match &scenario.faults[i].trouble {
            Trouble::Roll => struck
                .iter()
                .for_each(|&h| self.crash(h, (scenario.faults[i].for_s * 1e6 / 3.0) as u64)),
            Trouble::StoreDown => self.store.recover(self.now),
            Trouble::Cut(link) => drop(self.down.remove(link)),
            Trouble::Alone { host } => {
                let links = self.all_but_workers(*host);
                self.down.retain(|link| !links.contains(link));
            }
            Trouble::Deaf { .. }
            | Trouble::LateCopies { .. }
            | Trouble::Mute { .. }
            | Trouble::CloseLooks
            | Trouble::CancelAtEnd
            | Trouble::OddRequests
            | Trouble::LateWrites { .. }
            | Trouble::StoreSlow { .. }
            | Trouble::HeldOrders { .. } => drop(self.struck.remove(&i)),
            Trouble::CloudDown => self.cloud.down = false,
            Trouble::Boots { .. } => self.boots = None,
            Trouble::Polls { .. } => self.asked_often = 1.0,
            Trouble::CutZone { zone } => drop(self.cut_zones.remove(zone)),
            Trouble::Silent => struck.iter().for_each(|&n| self.unsilence(n)),
            _ => {}
        }
    }

    fn all_but_workers(&self, host: usize) -> Vec<Link> {
        let others = (0..self.hosts.len())
            .filter(|&o| o != host)
            .map(|o| Link::Hosts(o.min(host), o.max(host)));
        others.chain([Link::Store(host)]).collect()
    }

    fn struck_by(&self, number: usize) -> impl Iterator<Item = &Trouble> {
        let zone = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .map(|w| &w.zone);
        let here = move |trouble: &Trouble| matches!(trouble, Trouble::Deaf { zone: Some(z), .. } | Trouble::Mute { zone: Some(z) } if Some(z) == zone);
        let faults = self
            .struck
            .iter()
            .map(|(i, struck)| (&self.scenario.faults[*i].trouble, struck));
        faults
            .filter(move |(trouble, struck)| struck.contains(&number) || here(trouble))
            .map(|(trouble, _)| trouble)
    }

    /// For how long a call to a machine or an answer to its report is held up, µs;
    /// 0: it arrives at once, and what the machine says to it is lost.
    pub(super) fn held(&mut self) -> Option<u64> {
        let scenario = self.scenario.clone();
        for i in self.struck.keys().copied().collect::<Vec<_>>() {
            let fault = &scenario.faults[i];
            if let Trouble::HeldOrders { seconds } = fault.trouble
                && self.rng.random::<f64>() < fault.share
            {
                self.held += 1;
                return Some(if self.chance(500) {
                    0
                } else {
                    self.rng.random_range(seconds.us())
                });
            }
        }
        None
    }

    /// True if what a controller answers to a machine, or commands it, is lost.
    pub(super) fn deaf(&self, host: usize, number: usize, command: bool) -> bool {
        self.struck_by(number).any(|trouble| match trouble {
            Trouble::Deaf {
                host: only,
                answers,
                commands,
                ..
            } => only.is_none_or(|h| h == host) && if command { *commands } else { *answers },
            _ => false,
        })
    }

    /// True if a machine reaches no controller by itself.
    pub(super) fn mute(&self, number: usize) -> bool {
        self.struck_by(number)
            .any(|trouble| matches!(trouble, Trouble::Mute { .. }))
    }

    /// A copy of a report is kept for the next leader: an old one stays.
    fn keep_report(&mut self, report: &Heartbeat) {
        let kept_of_machine = self
            .kept_reports
            .iter()
            .filter(|kept| kept.machine == report.machine)
            .count();
        if kept_of_machine < KEPT_OF_MACHINE && self.chance(KEPT_REPORTS) {
            self.kept_reports.push(report.clone());
        }
    }

    /// A shard has a new leader: kept copies of reports reach every controller.
    pub(super) fn new_leader(&mut self) {
        let kept_for_next = |trouble: &Trouble| match trouble {
            Trouble::LateCopies {
                seconds,
                for_next: true,
            } => Some(seconds.us()),
            _ => None,
        };
        let faults = self.scenario.faults.iter().map(|fault| &fault.trouble);
        let Some(range) = faults.filter_map(kept_for_next).next() else {
            return;
        };
        for report in std::mem::take(&mut self.kept_reports) {
            for host in 0..self.hosts.len() {
                let (at, incarnation) = (
                    self.now + self.rng.random_range(range.clone()),
                    self.hosts[host].life,
                );
                self.copies += 1;
                self.push(
                    at,
                    Event::To(
                        host,
                        incarnation,
                        Box::new(Input::Report(0, report.clone(), at)),
                    ),
                );
            }
        }
    }

    /// A report arrives again, much later, by then as nobody's: what is
    /// answered to it goes nowhere.
    pub(super) fn copy_report(&mut self, number: usize, report: &Heartbeat, host: usize) {
        let late = |trouble: &Trouble| match trouble {
            Trouble::LateCopies {
                seconds,
                for_next: false,
            } => Some(seconds.us()),
            _ => None,
        };
        if self
            .struck_by(number)
            .any(|trouble| matches!(trouble, Trouble::LateCopies { for_next: true, .. }))
        {
            self.keep_report(report);
        }
        for range in self.struck_by(number).filter_map(late).collect::<Vec<_>>() {
            let later = self.rng.random_range(range);
            self.at(later, Event::Copy(number, host, Box::new(report.clone())));
        }
    }

    /// To the controller that it was sent to, in whatever life, or to the one
    /// that its worker reports to by now.
    pub(super) fn copy_arrives(&mut self, number: usize, host: usize, report: Heartbeat) {
        let now_to = self
            .workers
            .get(number)
            .and_then(Option::as_ref)
            .map_or(host, |w| w.node);
        let to = if self.hosts[host].core.is_none() || self.chance(500) {
            now_to
        } else {
            host
        };
        self.copies += 1;
        self.ground
            .history
            .note(self.now, "late copy", &report.machine, &to);
        self.deliver(to, Input::Report(0, report, self.now));
    }

    /// True while something is not as it should be.
    pub(super) fn troubled(&self) -> bool {
        let now = self.now;
        now < (self.scenario.calm_s() * 1e6) as u64
            || self.store.down
            || self.cloud.down
            || !self.down.is_empty()
            || !self.cut_zones.is_empty()
            || self
                .hosts
                .iter()
                .any(|h| h.core.is_none() || h.frozen_until > now)
            || self
                .workers
                .iter()
                .flatten()
                .any(|w| w.silent || w.hung_until > now)
    }

    pub(super) fn unsilence(&mut self, number: usize) {
        self.with_worker(number, |w, _| w.silent = false);
    }
}
