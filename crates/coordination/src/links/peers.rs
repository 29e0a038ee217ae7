//! Links to the other controllers and the availability gossip exchanged with them.

use super::Links;
use super::failure_detector::FailureDetector;
use super::latency::LatencyWindow;
use lemonweir_protocol::links::{AvailabilityGossip, LINKS_VERSION, LinkState};

/// Interval between two gossip messages to another controller, ms.
pub const GOSSIP_INTERVAL_MS: u64 = 2_000;
/// Time after a controller's last message for which it counts as able to reach this one, ms:
/// two gossip intervals and some slack.
pub(super) const PEER_MESSAGE_FRESH_MS: u64 = 5_000;

/// Gossip received from another controller.
#[derive(Debug)]
pub(super) struct ReceivedGossip {
    /// When it arrived, ms.
    pub(super) received_at: u64,
    pub(super) content: AvailabilityGossip,
}

/// Link state of another controller.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// Failure detector of the link from this controller to the peer.
    pub(super) detector: FailureDetector,
    pub(super) latency: LatencyWindow,
    /// When the last message from the peer arrived, ms.
    pub(super) last_message: Option<u64>,
    /// The newest gossip received from the peer.
    pub(super) gossip: Option<ReceivedGossip>,
    /// When the next gossip message to it is due, ms.
    next_gossip: u64,
    /// True while a gossip message to it awaits its answer.
    gossip_in_flight: bool,
}

impl Links {
    /// Builds the gossip about this controller's own links.
    fn own_gossip(&self, now: u64) -> AvailabilityGossip {
        let age = |at: Option<u64>| at.map(|at| now.saturating_sub(at));
        let peer = |(index, peer): (u16, &Peer)| {
            let in_state_ms = now.saturating_sub(peer.detector.since());
            (index, self.peer_state(index, now), in_state_ms)
        };
        let zone = |(zone, at): (&String, &u64)| (zone.clone(), now.saturating_sub(*at));
        AvailabilityGossip {
            version: LINKS_VERSION,
            controller: self.own_index,
            store_age_ms: age(self.store.last_answer()),
            cloud_age_ms: age(self.cloud.last_answer()),
            peers: self.other_peers().map(peer).collect(),
            zone_heartbeat_ages: self.zones.iter().map(zone).collect(),
        }
    }

    /// Returns the controllers to which gossip is due, with its content, and marks it as in
    /// flight.
    pub(crate) fn due_gossip(&mut self, now: u64) -> Vec<(u16, AvailabilityGossip)> {
        let due: Vec<u16> = self
            .other_peers()
            .filter(|(_, peer)| !peer.gossip_in_flight && now >= peer.next_gossip)
            .map(|(index, _)| index)
            .collect();
        if due.is_empty() {
            return Vec::new();
        }
        let gossip = self.own_gossip(now);
        for index in &due {
            let peer = &mut self.peers[usize::from(*index)];
            peer.gossip_in_flight = true;
            peer.next_gossip = now + GOSSIP_INTERVAL_MS;
        }
        due.into_iter()
            .map(|index| (index, gossip.clone()))
            .collect()
    }

    /// Records the outcome of a gossip message to another controller. A controller of an
    /// earlier format answers without gossip of its own.
    pub fn gossip_completed(
        &mut self,
        index: u16,
        answered: bool,
        gossip: Option<AvailabilityGossip>,
        now: u64,
    ) {
        if let Some(peer) = self.peers.get_mut(usize::from(index)) {
            peer.gossip_in_flight = false;
            if answered {
                let sent_at = peer.next_gossip.saturating_sub(GOSSIP_INTERVAL_MS);
                peer.latency.record(now.saturating_sub(sent_at), now);
            }
        }
        if let Some(gossip) = gossip.filter(|gossip| gossip.controller == index) {
            self.store_gossip(gossip, now);
        }
        self.record_peer_call(index, answered, now);
    }

    /// Stores gossip sent by another controller and returns this controller's own as the answer.
    pub fn handle_gossip(&mut self, gossip: AvailabilityGossip, now: u64) -> AvailabilityGossip {
        self.store_gossip(gossip, now);
        self.own_gossip(now)
    }

    fn store_gossip(&mut self, content: AvailabilityGossip, now: u64) {
        if content.controller == self.own_index {
            return;
        }
        if let Some(peer) = self.peers.get_mut(usize::from(content.controller)) {
            peer.last_message = Some(now);
            peer.gossip = Some(ReceivedGossip {
                received_at: now,
                content,
            });
        }
    }

    /// Records the outcome of a call to another controller. Failures shortly after a stall of
    /// this process are ignored.
    pub fn record_peer_call(&mut self, index: u16, answered: bool, now: u64) {
        if !answered && now < self.stall_grace_until {
            return;
        }
        let Some(peer) = self.peers.get_mut(usize::from(index)) else {
            return;
        };
        let (since, was_down) = (peer.detector.since(), peer.detector.is_down());
        let changed = if answered {
            peer.detector.record_success(now)
        } else {
            peer.detector.record_failure(now)
        };
        if !changed {
            return;
        }
        let name = &self.hosts[usize::from(index)];
        let text = match (answered, peer.detector.is_down()) {
            (false, true) => format!("{name} does not answer"),
            (true, _) if was_down => format!(
                "{name} answers again after {} s",
                now.saturating_sub(since) / 1_000
            ),
            _ => return,
        };
        self.record_event(now, text);
    }

    /// Returns the state of the link to another controller.
    pub(crate) fn peer_state(&self, index: u16, now: u64) -> LinkState {
        let Some(peer) = self.peers.get(usize::from(index)) else {
            return LinkState::Unknown;
        };
        let reaches_us = peer
            .last_message
            .is_some_and(|at| now <= at + PEER_MESSAGE_FRESH_MS);
        match peer.detector.state() {
            LinkState::Down if reaches_us => LinkState::InboundOnly,
            state => state,
        }
    }

    /// Returns since when the link to another controller has been down, ms; `None` if it is
    /// not down.
    pub(crate) fn unreachable_since(&self, host: &str) -> Option<u64> {
        let index = self.hosts.iter().position(|h| h == host)?;
        let detector = &self.peers[index].detector;
        (index != usize::from(self.own_index) && detector.is_down()).then(|| detector.since())
    }
}
