//! One picture of who reaches what.
//!
//! Each controller judges its own links to the state service, the cloud, the
//! other controllers and the workers of each zone from what went over them, and
//! hears every two seconds from each other controller what that says of its own.
//! Whatever asks whether something can be reached asks here; `docs/links.md` has
//! the reckoning.

mod failure_detector;
mod latency;
mod relay;
mod upstream_route;

use std::collections::{BTreeMap, VecDeque};

use tracing::info;

use crate::machine::Timing;
use crate::machine_health::MisroutedHeartbeats;
use failure_detector::FailureDetector;
use latency::LatencyWindow;
use lemonweir_model::MachineId;
use lemonweir_model::constants::*;
use lemonweir_protocol::links::{
    AvailabilityGossip, EventRow, LINKS_VERSION, LinkRow, LinkState, Service,
};
use relay::RelayState;
use upstream_route::{Candidate, UpstreamRoute};

/// Another controller.
#[derive(Debug, Default)]
struct Peer {
    out: FailureDetector,
    times: LatencyWindow,
    /// When a message last came from it.
    heard: Option<u64>,
    /// What it says of its links, and when it said so.
    said: Option<(u64, AvailabilityGossip)>,
    hail_at: u64,
    hailing: bool,
}

/// How a worker that is not ours is to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MisroutedHeartbeatAction {
    /// Its report goes to the owner through us.
    Carry,
    /// It shall report to its owner.
    Send,
    /// Nobody here can help it; it tries whoever is next.
    Unable,
}

/// A worker's report that came for a part that another holds.
pub(crate) struct MisroutedHeartbeat<'a> {
    /// The part.
    pub(crate) shard: u16,
    /// Number of the controller that holds it.
    pub(crate) holder: u16,
    /// The worker's zone.
    pub(crate) zone: &'a str,
    /// The worker's machine.
    pub(crate) machine: &'a MachineId,
    /// It had come a moment ago.
    pub(crate) again: bool,
    /// The worker shows the holder's own token.
    pub(crate) knows: bool,
}

/// What a controller knows of links, its own and others'.
#[derive(Debug)]
pub struct Links {
    me: u16,
    hosts: Vec<String>,
    report_ms: u64,
    wall_offset_ms: u64,
    store: UpstreamRoute,
    cloud: UpstreamRoute,
    /// Answer times of the services, on whatever way.
    times: BTreeMap<Service, LatencyWindow>,
    peers: Vec<Peer>,
    /// When a worker of each zone last came by itself.
    zones: BTreeMap<String, u64>,
    /// Workers' reports that came by themselves, so far.
    reports: u64,
    carriage: RelayState,
    /// Machines of parts that others hold which reported to this node.
    pub(crate) strays: MisroutedHeartbeats,
    /// When the last successful reading of the store began, by whatever way, ms.
    store_heard: Option<u64>,
    /// How long its last answer took, ms, as far as it was waited for.
    store_took: u64,
    /// When another node surely had word from the store, as far as they say.
    others_heard: Option<u64>,
    events: VecDeque<(u64, String)>,
    /// Until when calls that fail do so because this process stood still, ms.
    rousing_until: u64,
}

impl Links {
    /// Knows nothing yet.
    pub(crate) fn new(me: u16, hosts: Vec<String>, timing: &Timing, wall_offset_ms: u64) -> Self {
        Self {
            me,
            report_ms: timing.report_ms,
            wall_offset_ms,
            store: UpstreamRoute::default(),
            cloud: UpstreamRoute::default(),
            times: BTreeMap::new(),
            peers: hosts.iter().map(|_| Peer::default()).collect(),
            hosts,
            zones: BTreeMap::new(),
            reports: 0,
            carriage: RelayState::default(),
            strays: MisroutedHeartbeats::new(timing),
            store_heard: None,
            store_took: 0,
            others_heard: None,
            events: VecDeque::new(),
            rousing_until: 0,
        }
    }

    /// Writes a line of the history.
    pub(crate) fn note(&mut self, now: u64, text: String) {
        info!("{text}");
        self.events.push_back((now, text));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// The history, oldest first.
    pub fn events(&self) -> Vec<EventRow> {
        self.events
            .iter()
            .map(|(at, text)| EventRow {
                at_ms: at + self.wall_offset_ms,
                text: text.clone(),
            })
            .collect()
    }

    /// This process stood still for so long: silence meanwhile tells nothing of a
    /// link, nor do calls that timed out.
    pub(crate) fn stood_still(&mut self, gap: u64, now: u64) {
        self.rousing_until = now + STOOD_STILL_MS;
        self.zones.values_mut().for_each(|at| *at += gap);
        self.peers
            .iter_mut()
            .filter_map(|p| p.heard.as_mut())
            .for_each(|at| *at += gap);
    }

    // ---- the store's word ----------------------------------------------------

    /// A reading that began then brought the copy up to date.
    pub(crate) fn read(&mut self, began: u64) {
        self.store_heard = self.store_heard.max(Some(began));
    }

    /// When the last successful reading of the store began, ms.
    pub(crate) fn store_heard(&self) -> Option<u64> {
        self.store_heard
    }

    /// ms since then.
    pub(crate) fn store_age(&self, now: u64) -> u64 {
        self.store_heard
            .map_or(u64::MAX, |at| now.saturating_sub(at))
    }

    /// True if the store was heard so lately, on whatever way, that a question to it
    /// is worth its user's wait.
    pub fn store_told(&self, now: u64) -> bool {
        self.store_age(now) <= self.unready_ms()
    }

    /// ms without word from the store that tell of no answers. Guards against slow
    /// answers that count as none: one reading follows another, so the word behind the
    /// last one is up to two answers old though each came in time.
    fn unready_ms(&self) -> u64 {
        UNREADY_MS + self.store_took
    }

    /// Another node says how long ago it had word from the store.
    pub(crate) fn other_heard(&mut self, age_ms: u64, now: u64) {
        self.others_heard = self.others_heard.max(now.checked_sub(age_ms));
    }

    /// True if this node has had no word from the store for a while, on no way,
    /// and others have, or none of them answers either.
    pub(crate) fn without_word(&self, now: u64) -> bool {
        // Guards against all nodes leaving users to each other when the store
        // fails for all: the others' word must be newer by more than the
        // moments by which readings differ.
        let others = self.others_heard.is_some_and(|others| {
            now <= others + UNREADY_MS + COPY_REFRESH_MS
                && self.store_heard.is_none_or(|own| others > own + UNREADY_MS)
        });
        others || self.store_age(now) > self.unready_ms() && self.apart(now)
    }

    /// True if there are other controllers and none is in touch with this one.
    pub(crate) fn apart(&self, now: u64) -> bool {
        let mut others = (0..self.hosts.len() as u16)
            .filter(|h| *h != self.me)
            .peekable();
        others.peek().is_some() && others.all(|h| self.peer(h, now) == LinkState::Down)
    }

    // ---- services ------------------------------------------------------------

    fn way(&mut self, service: Service) -> &mut UpstreamRoute {
        match service {
            Service::Store => &mut self.store,
            Service::Cloud => &mut self.cloud,
        }
    }

    /// Controllers that could carry to a service, most recent word first.
    fn able(&self, service: Service, now: u64) -> Vec<Candidate> {
        let word = |peer: &Peer| {
            let (at, word) = peer.said.as_ref()?;
            at.checked_sub(word.service_age_ms(service)?)
        };
        let mut able: Vec<Candidate> = Vec::new();
        for (host, peer) in (0..).zip(&self.peers) {
            if host != self.me
                && !peer.out.down()
                && let Some(at) = word(peer).filter(|at| now <= at + fresh_ms(service))
            {
                able.push((host, at));
            }
        }
        able.sort_unstable_by_key(|(host, at)| (std::cmp::Reverse(*at), *host));
        able
    }

    /// Whom a request of so many bytes to a service goes through; `None`: it
    /// goes there by itself.
    pub fn route(&mut self, service: Service, bytes: usize, now: u64) -> Option<u16> {
        let large = bytes >= LARGE_BYTES;
        let way = self.way(service);
        if !(way.small.down() || large && way.large.down()) {
            return None;
        }
        let able = self.able(service, now);
        let way = self.way(service);
        let before = way.carrier();
        let by = way.route(large, &able, now);
        if let Some(host) = by.filter(|_| by != before) {
            let text = format!(
                "what goes to the {} is carried by {}",
                name(service),
                self.hosts[usize::from(host)]
            );
            self.note(now, text);
        }
        by
    }

    /// What became of a request to a service that went by itself.
    pub fn tried(&mut self, service: Service, bytes: usize, good: bool, now: u64) {
        if !good && now < self.rousing_until {
            return;
        }
        let way = self.way(service);
        if way.tried(bytes >= LARGE_BYTES, good, now) {
            let text = match (good, bytes >= LARGE_BYTES) {
                (true, _) => format!("the {} answers", name(service)),
                (false, false) => format!("the {} does not answer", name(service)),
                (false, true) => format!("the {} does not answer large requests", name(service)),
            };
            self.note(now, text);
        }
    }

    /// What became of a request to a service that another carried.
    pub fn carried(&mut self, service: Service, by: u16, good: bool, now: u64) {
        self.way(service).carried(by, good, now);
    }

    /// True if this node may carry to a service now: only on its own way, so
    /// that nothing goes on from carrier to carrier.
    pub fn carries(&self, service: Service) -> bool {
        match service {
            Service::Store => !self.store.small.down(),
            Service::Cloud => !self.cloud.small.down(),
        }
    }

    /// Services whose direct way should be tried now.
    pub(crate) fn probes(&mut self, now: u64) -> Vec<Service> {
        [Service::Store, Service::Cloud]
            .into_iter()
            .filter(|s| self.way(*s).probe(now))
            .collect()
    }

    /// An answer of a service took so long, by itself or carried.
    pub fn took(&mut self, service: Service, ms: u64, now: u64) {
        if service == Service::Store {
            self.store_took = ms.min(STATE_TIMEOUT_MS);
        }
        self.times.entry(service).or_default().record(ms, now);
    }

    // ---- controllers -----------------------------------------------------------

    /// What this node says of its links.
    fn word(&self, now: u64) -> AvailabilityGossip {
        let age = |at: Option<u64>| at.map(|at| now.saturating_sub(at));
        let peers = (0..).zip(&self.peers).filter(|(host, _)| *host != self.me);
        AvailabilityGossip {
            version: LINKS_VERSION,
            controller: self.me,
            store_age_ms: age(self.store.word()),
            cloud_age_ms: age(self.cloud.word()),
            peers: peers
                .map(|(host, p)| {
                    (
                        host,
                        self.peer(host, now),
                        now.saturating_sub(p.out.since()),
                    )
                })
                .collect(),
            unreachable_zones: self
                .zones
                .iter()
                .map(|(zone, at)| (zone.clone(), now.saturating_sub(*at)))
                .collect(),
        }
    }

    /// Controllers that are to be told now, and what.
    pub(crate) fn hails(&mut self, now: u64) -> Vec<(u16, AvailabilityGossip)> {
        let me = self.me;
        let due: Vec<u16> = (0..)
            .zip(&self.peers)
            .filter(|(h, p)| *h != me && !p.hailing && now >= p.hail_at)
            .map(|(h, _)| h)
            .collect();
        let word = if due.is_empty() {
            AvailabilityGossip::default()
        } else {
            self.word(now)
        };
        for host in &due {
            let peer = &mut self.peers[usize::from(*host)];
            (peer.hailing, peer.hail_at) = (true, now + HAIL_MS);
        }
        due.into_iter().map(|host| (host, word.clone())).collect()
    }

    /// Another controller answered what it was told, or did not. One of an
    /// earlier format answers without a word.
    pub fn hailed(
        &mut self,
        host: u16,
        answered: bool,
        word: Option<AvailabilityGossip>,
        now: u64,
    ) {
        if let Some(peer) = self.peers.get_mut(usize::from(host)) {
            peer.hailing = false;
            if answered {
                peer.times.record(
                    now.saturating_sub(peer.hail_at.saturating_sub(HAIL_MS)),
                    now,
                );
            }
        }
        if let Some(word) = word.filter(|w| w.controller == host) {
            self.said(word, now);
        }
        self.reached(host, answered, now);
    }

    /// Another controller tells of its links; what is answered.
    pub fn hail_in(&mut self, word: AvailabilityGossip, now: u64) -> AvailabilityGossip {
        self.said(word, now);
        self.word(now)
    }

    fn said(&mut self, word: AvailabilityGossip, now: u64) {
        if let Some(peer) = self
            .peers
            .get_mut(usize::from(word.controller))
            .filter(|_| word.controller != self.me)
        {
            peer.heard = Some(now);
            peer.said = Some((now, word));
        }
    }

    /// A message to another controller was answered, or not.
    pub fn reached(&mut self, host: u16, good: bool, now: u64) {
        if !good && now < self.rousing_until {
            return;
        }
        let Some(peer) = self.peers.get_mut(usize::from(host)) else {
            return;
        };
        let (before, was_down) = (peer.out.since(), peer.out.down());
        let changed = if good {
            peer.out.answer(now)
        } else {
            peer.out.miss(now)
        };
        if !changed {
            return;
        }
        let name = &self.hosts[usize::from(host)];
        let text = match (good, peer.out.down()) {
            (false, true) => format!("{name} does not answer"),
            (true, _) if was_down => format!(
                "{name} answers again after {} s",
                now.saturating_sub(before) / 1_000
            ),
            _ => return,
        };
        self.note(now, text);
    }

    /// How the link to another controller stands.
    pub(crate) fn peer(&self, host: u16, now: u64) -> LinkState {
        let Some(peer) = self.peers.get(usize::from(host)) else {
            return LinkState::Unknown;
        };
        match peer.out.standing() {
            LinkState::Down if peer.heard.is_some_and(|at| now <= at + HEARD_MS) => {
                LinkState::InboundOnly
            }
            standing => standing,
        }
    }

    /// Since when another controller has not answered, ms.
    pub(crate) fn lost_since(&self, host: &str) -> Option<u64> {
        let at = self.hosts.iter().position(|h| h == host)?;
        let out = &self.peers[at].out;
        (at != usize::from(self.me) && out.down()).then(|| out.since())
    }

    // ---- workers ---------------------------------------------------------------

    /// A worker of a zone came by itself. Guards against late copies of reports
    /// (`news` is false), which tell nothing of the way now.
    pub(crate) fn came(&mut self, zone: &str, news: bool, now: u64) {
        if !news {
            return;
        }
        self.reports += 1;
        match self.zones.get_mut(zone) {
            Some(at) => *at = now,
            None => drop(self.zones.insert(zone.to_owned(), now)),
        }
    }

    /// ms without a report from which on a zone counts as out of reach.
    fn unheard_ms(&self) -> u64 {
        2 * self.report_ms + SILENT_SLACK_MS
    }

    /// True if no worker comes any more, though some did a moment ago. After a
    /// while that says nothing: all may have gone to other controllers.
    pub(crate) fn hears_nobody(&self, now: u64) -> bool {
        let newest = self.zones.values().max().copied().unwrap_or(0);
        self.reports > MASS_SILENT as u64
            && now > newest + self.unheard_ms()
            && now < newest + DEAF_MS
    }

    /// How to answer a worker whose part another controller holds.
    pub(crate) fn stray(&mut self, r: &MisroutedHeartbeat, now: u64) -> MisroutedHeartbeatAction {
        let (unheard_ms, reachable) = (
            self.unheard_ms(),
            matches!(self.peer(r.holder, now), LinkState::Up | LinkState::Suspect),
        );
        let word = self
            .peers
            .get(usize::from(r.holder))
            .and_then(|p| p.said.as_ref())
            .filter(|(at, _)| now <= at + HEARD_MS);
        let Some((_, word)) = word.filter(|_| reachable) else {
            // One that comes from the holder, or is back so soon, is not sent there
            // once more, but tries whoever is next: that may reach the holder.
            return if r.again || r.knows {
                MisroutedHeartbeatAction::Unable
            } else {
                MisroutedHeartbeatAction::Send
            };
        };
        let heard = word
            .unreachable_zones
            .iter()
            .any(|(zone, ms)| zone == r.zone && *ms <= unheard_ms);
        self.carriage.choose(r, r.knows || r.again, heard, now)
    }

    /// Number of workers whose reports this node carries.
    pub fn riders(&self, now: u64) -> usize {
        self.carriage.riders(now)
    }

    // ---- the picture -------------------------------------------------------------

    /// The picture, this node's links first and then what others say of theirs.
    pub fn rows(&self, now: u64) -> Vec<LinkRow> {
        let host = |h: u16| self.hosts.get(usize::from(h)).cloned().unwrap_or_default();
        let mut rows = Vec::new();
        let own = |to: String, standing, since: u64, carried_by, took_ms| LinkRow {
            from: host(self.me),
            to,
            state: standing,
            for_s: now.saturating_sub(since) / 1_000,
            relayed_by: carried_by,
            latency_ms: took_ms,
            age_s: 0,
        };
        for (service, way) in [(Service::Store, &self.store), (Service::Cloud, &self.cloud)] {
            let carried = way
                .carrier()
                .filter(|_| way.small.down() || way.large.down())
                .map(host);
            rows.push(own(
                name(service).to_owned(),
                way.small.standing(),
                way.small.since(),
                carried,
                self.times.get(&service).and_then(LatencyWindow::spread),
            ));
        }
        for (h, peer) in (0..).zip(&self.peers).filter(|(h, _)| *h != self.me) {
            rows.push(own(
                host(h),
                self.peer(h, now),
                peer.out.since(),
                None,
                peer.times.spread(),
            ));
        }
        let zone_standing = |silent_ms: u64| {
            if silent_ms <= self.unheard_ms() {
                LinkState::Up
            } else {
                LinkState::Unknown
            }
        };
        for (zone, at) in &self.zones {
            rows.push(own(
                format!("workers of {zone}"),
                zone_standing(now.saturating_sub(*at)),
                *at,
                None,
                None,
            ));
        }
        for (at, word) in self.peers.iter().filter_map(|p| p.said.as_ref()) {
            let said_s = now.saturating_sub(*at) / 1_000;
            let row = |to: String, standing, for_ms: u64| LinkRow {
                from: host(word.controller),
                to,
                state: standing,
                for_s: for_ms / 1_000,
                relayed_by: None,
                latency_ms: None,
                age_s: said_s,
            };
            for service in [Service::Store, Service::Cloud] {
                let age = word.service_age_ms(service);
                let standing = age.map_or(LinkState::Unknown, |ms| {
                    if ms <= fresh_ms(service) {
                        LinkState::Up
                    } else {
                        LinkState::Down
                    }
                });
                rows.push(row(name(service).to_owned(), standing, age.unwrap_or(0)));
            }
            rows.extend(
                word.peers
                    .iter()
                    .map(|(h, standing, ms)| row(host(*h), *standing, *ms)),
            );
            rows.extend(
                word.unreachable_zones
                    .iter()
                    .map(|(zone, ms)| row(format!("workers of {zone}"), zone_standing(*ms), *ms)),
            );
        }
        rows
    }
}

/// ms since a service's last answer up to which who got it counts as reaching it.
fn fresh_ms(service: Service) -> u64 {
    match service {
        Service::Store => CARRIER_STORE_MS,
        Service::Cloud => CARRIER_CLOUD_MS,
    }
}

fn name(service: Service) -> &'static str {
    match service {
        Service::Store => "state service",
        Service::Cloud => "cloud",
    }
}
