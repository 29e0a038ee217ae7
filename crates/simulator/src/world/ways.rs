//! Which way things go between the controllers, and through them.

use lemonweir_coordination::HeartbeatAnswer;
use lemonweir_model::constants::*;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::worker::Heartbeat;
use rand::RngExt;

use super::{Event, MS, World};
use crate::host::Input;
use crate::scenario::Link;

/// Bytes that a write of a transaction is taken to have: about a full chunk's.
const WRITE_BYTES: usize = 512;

/// The way of a request to a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Way {
    service: Service,
    bytes: usize,
    /// The controller that carries it.
    by: Option<u16>,
}

impl Way {
    pub(super) fn direct(service: Service) -> Self {
        Self {
            service,
            bytes: 0,
            by: None,
        }
    }
}

/// Bytes of a transaction, about.
pub(super) fn bytes(cas: &CompareAndSwap) -> usize {
    cas.writes.len() * WRITE_BYTES
}

impl World {
    /// The way that a controller's core names for a request.
    pub(super) fn way(&mut self, host: usize, service: Service, bytes: usize) -> Way {
        let ms = self.now / MS;
        let by = self.hosts[host]
            .core
            .as_mut()
            .and_then(|c| c.links.route(service, bytes, ms));
        Way { service, bytes, by }
    }

    fn reaches(&self, host: usize, service: Service) -> bool {
        let there = match service {
            Service::Store => !self.store.down && !self.down.contains(&Link::Store(host)),
            Service::Cloud => !self.cloud.down && !self.down.contains(&Link::Cloud(host)),
        };
        there && !self.inside_cut(host)
    }

    /// True if a controller can do something for another now.
    fn helps(&self, by: usize, host: usize) -> bool {
        let there = self
            .hosts
            .get(by)
            .is_some_and(|h| h.core.is_some() && h.frozen_until <= self.now);
        there && !self.is_cut(host, by)
    }

    pub(super) fn passes(&self, host: usize, way: Way) -> bool {
        if way.service == Service::Store && self.down.contains(&Link::Barred(host)) {
            return false;
        }
        let Some(by) = way.by.map(usize::from) else {
            return self.reaches(host, way.service);
        };
        let willing = self.hosts[by]
            .core
            .as_ref()
            .is_some_and(|c| c.links.carries(way.service));
        self.helps(by, host) && willing && self.reaches(by, way.service)
    }

    /// True if a request that arrives now is served; its controller hears.
    pub(super) fn served(&mut self, host: usize, life: u64, way: Way) -> bool {
        let good = self.passes(host, way);
        self.tried(host, life, way, good, 0);
        good
    }

    /// A controller hears after so long what became of a request.
    pub(super) fn tried(&mut self, host: usize, life: u64, way: Way, good: bool, after_us: u64) {
        let at = self.now + after_us + self.travel();
        if way.by.is_some() {
            self.hosts[host].work.messages += 1;
        }
        self.push(
            at,
            Event::To(
                host,
                life,
                Box::new(Input::Tried(way.service, way.by, way.bytes, good)),
            ),
        );
    }

    /// True if some request of a controller would be served now.
    pub(super) fn reachable(&mut self, host: usize, service: Service) -> bool {
        let way = self.way(host, service, 0);
        self.passes(host, way)
    }

    /// True if a call to a machine does not get through.
    pub(super) fn blocked(&self, host: usize, through: Option<u16>, number: usize) -> bool {
        match through.map(usize::from) {
            None => self.far(host, number),
            Some(by) => !self.helps(by, host) || self.far(by, number),
        }
    }

    /// A report goes on to the owner.
    pub(super) fn carry_report(
        &mut self,
        host: usize,
        to: u16,
        number: usize,
        report: Heartbeat,
        sent: u64,
    ) {
        let (to, life) = (usize::from(to), self.hosts[host].life);
        let at = self.leaves(host) + GATHER_MS * MS + self.travel();
        let lost = !self.helps(to, host) || self.chance(self.scenario.chances.lost_sync);
        if lost && self.chance(self.scenario.chances.late_sync) {
            // Held back: its worker has long moved on when the answer comes.
            let (later, to_life) = (
                self.rng.random_range(2_000..60_000) * MS,
                self.hosts[to].life,
            );
            let held = Input::CarriedReport(number, report, sent, host, life);
            return self.push(at + later, Event::To(to, to_life, Box::new(held)));
        }
        if !lost {
            let to_life = self.hosts[to].life;
            self.push(
                at,
                Event::To(
                    to,
                    to_life,
                    Box::new(Input::CarriedReport(number, report, sent, host, life)),
                ),
            );
        } else {
            let lost = Input::CarriedAnswer(number, report.incarnation, sent, to, None);
            self.push(
                at + CARRY_REPORT_MS * MS,
                Event::To(host, life, Box::new(lost)),
            );
        }
    }

    /// Its owner's answer goes back.
    pub(super) fn answer_carried(
        &mut self,
        host: usize,
        number: usize,
        report: &Heartbeat,
        sent: u64,
        by: (usize, u64),
        answer: HeartbeatAnswer,
    ) {
        let at = self.leaves(host) + self.travel();
        let back = Input::CarriedAnswer(number, report.incarnation, sent, host, Some(Box::new(answer)));
        self.push(at, Event::To(by.0, by.1, Box::new(back)));
    }

    /// A controller tells another of its links.
    pub(super) fn send_hail(&mut self, host: usize, to: u16, word: AvailabilityGossip, at: u64) {
        let (number, life) = (usize::from(to), self.hosts[host].life);
        if self.helps(number, host) {
            let to_life = self.hosts[number].life;
            self.push(
                at,
                Event::To(number, to_life, Box::new(Input::Hail(life, Box::new(word)))),
            );
        } else {
            self.push(
                at + SYNC_TIMEOUT_MS * MS,
                Event::To(host, life, Box::new(Input::Hailed(to, None))),
            );
        }
    }
}
