//! Links to the other controllers, and the gossip that they exchange.

use super::Links;
use super::failure_detector::FailureDetector;
use super::latency::LatencyWindow;
use lemonweir_protocol::links::{AvailabilityGossip, LINKS_VERSION, LinkState};

/// ms between two messages of gossip to another controller.
pub const GOSSIP_INTERVAL_MS: u64 = 2_000;
/// ms for which a message from a controller shows that it reaches us: two of
/// its messages and a moment.
pub(super) const PEER_MESSAGE_FRESH_MS: u64 = 5_000;

/// Gossip of another controller.
#[derive(Debug)]
pub(super) struct ReceivedGossip {
    /// ms.
    pub(super) received_at: u64,
    pub(super) content: AvailabilityGossip,
}

/// Another controller.
#[derive(Debug, Default)]
pub(super) struct Peer {
    /// The link from us to it.
    pub(super) detector: FailureDetector,
    pub(super) latency: LatencyWindow,
    /// When a message last came from it, ms.
    pub(super) last_message: Option<u64>,
    /// What it said last of its links.
    pub(super) gossip: Option<ReceivedGossip>,
    /// When it is sent gossip next, ms.
    next_gossip: u64,
    gossip_in_flight: bool,
}

impl Links {
    /// What this controller says of its links.
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
            unreachable_zones: self.zones.iter().map(zone).collect(),
        }
    }

    /// Controllers that are to be sent gossip now, with its content.
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

    /// Another controller answered our gossip, or did not. One of an
    /// earlier format answers without its own.
    pub fn gossip_completed(
        &mut self,
        host: u16,
        answered: bool,
        gossip: Option<AvailabilityGossip>,
        now: u64,
    ) {
        if let Some(peer) = self.peers.get_mut(usize::from(host)) {
            peer.gossip_in_flight = false;
            if answered {
                let sent_at = peer.next_gossip.saturating_sub(GOSSIP_INTERVAL_MS);
                peer.latency.record(now.saturating_sub(sent_at), now);
            }
        }
        if let Some(gossip) = gossip.filter(|gossip| gossip.controller == host) {
            self.store_gossip(gossip, now);
        }
        self.record_peer_call(host, answered, now);
    }

    /// Another controller sends its gossip; ours is the answer.
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

    /// A message to another controller was answered, or not.
    pub fn record_peer_call(&mut self, host: u16, answered: bool, now: u64) {
        if !answered && now < self.stall_grace_until {
            return;
        }
        let Some(peer) = self.peers.get_mut(usize::from(host)) else {
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
        let name = &self.hosts[usize::from(host)];
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

    /// State of the link to another controller.
    pub(crate) fn peer_state(&self, host: u16, now: u64) -> LinkState {
        let Some(peer) = self.peers.get(usize::from(host)) else {
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

    /// Since when another controller has not answered, ms.
    pub(crate) fn unreachable_since(&self, host: &str) -> Option<u64> {
        let index = self.hosts.iter().position(|h| h == host)?;
        let detector = &self.peers[index].detector;
        (index != usize::from(self.own_index) && detector.is_down()).then(|| detector.since())
    }
}
