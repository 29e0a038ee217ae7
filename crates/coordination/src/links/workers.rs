//! Links to the workers, and the answers to heartbeats of shards that other controllers lead.

use super::Links;
use super::peers::PEER_MESSAGE_FRESH_MS;
use super::relay::{LeaderLink, ZoneReachability};
use crate::election::CEDE_MS;
use lemonweir_model::MachineId;
use lemonweir_model::constants::{HEARTBEAT_TIMEOUT_SLACK_MS, MAX_INDIVIDUAL_LOSSES};
use lemonweir_protocol::links::{AvailabilityGossip, LinkState};

/// Answer to a worker whose shard another controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MisroutedHeartbeatAction {
    /// This controller relays its heartbeat to the leader.
    Relay,
    /// The worker is told to send it to the leader.
    Redirect,
    /// The leader can't be reached from here; the worker tries the next controller.
    Unavailable,
}

/// A worker's heartbeat for a shard that another controller leads.
pub(crate) struct MisroutedHeartbeat<'a> {
    /// Shard of the worker's machine.
    pub(crate) shard: u16,
    /// Index of the controller that leads it.
    pub(crate) leader: u16,
    /// The worker's zone.
    pub(crate) zone: &'a str,
    /// The worker's machine.
    pub(crate) machine: &'a MachineId,
    /// True if the worker sent a heartbeat here a moment ago.
    pub(crate) repeated: bool,
    /// True if the worker presents the leader's own fencing token.
    pub(crate) knows_leader: bool,
}

impl MisroutedHeartbeat<'_> {
    fn leader_link(&self) -> LeaderLink {
        if self.knows_leader || self.repeated {
            LeaderLink::Failed
        } else {
            LeaderLink::Untried
        }
    }
}

impl Links {
    /// Records a heartbeat that a worker of a zone sent directly to this controller. Late copies
    /// (`fresh` is false) are ignored: they are no evidence of the link's present state.
    pub(crate) fn record_heartbeat(&mut self, zone: &str, fresh: bool, now: u64) {
        if !fresh {
            return;
        }
        self.heartbeats += 1;
        match self.zones.get_mut(zone) {
            Some(at) => *at = now,
            None => drop(self.zones.insert(zone.to_owned(), now)),
        }
    }

    /// Time without a heartbeat after which a zone counts as unreachable, ms.
    pub(super) fn zone_silence_ms(&self) -> u64 {
        2 * self.heartbeat_ms + HEARTBEAT_TIMEOUT_SLACK_MS
    }

    /// Returns true if heartbeats from every zone have ceased, the last within [`CEDE_MS`].
    /// After that time silence is no evidence: all workers may have moved to other controllers.
    /// Nor is it before more than [`MAX_INDIVIDUAL_LOSSES`] heartbeats were received.
    pub(crate) fn no_worker_reachable(&self, now: u64) -> bool {
        let newest = self.zones.values().max().copied().unwrap_or(0);
        self.heartbeats > MAX_INDIVIDUAL_LOSSES as u64
            && now > newest + self.zone_silence_ms()
            && now < newest + CEDE_MS
    }

    /// Chooses the answer to a worker whose shard another controller leads.
    pub(crate) fn route_misrouted(
        &mut self,
        heartbeat: &MisroutedHeartbeat,
        now: u64,
    ) -> MisroutedHeartbeatAction {
        let silence_ms = self.zone_silence_ms();
        let leader_link = heartbeat.leader_link();
        let Some(gossip) = self.reachable_leader_gossip(heartbeat.leader, now) else {
            // A worker that can't reach the leader is not redirected there again; it tries
            // the next controller, which may reach the leader.
            return match leader_link {
                LeaderLink::Failed => MisroutedHeartbeatAction::Unavailable,
                LeaderLink::Untried => MisroutedHeartbeatAction::Redirect,
            };
        };
        let zone_reached = gossip
            .zone_heartbeat_ages
            .iter()
            .any(|(zone, ms)| zone == heartbeat.zone && *ms <= silence_ms);
        let zone = if zone_reached {
            ZoneReachability::Reachable
        } else {
            ZoneReachability::Unreachable
        };
        self.relay.choose(heartbeat, leader_link, zone, now)
    }

    /// Returns a leader's newest gossip if it is recent and the leader can be reached from here.
    fn reachable_leader_gossip(&self, leader: u16, now: u64) -> Option<&AvailabilityGossip> {
        if !matches!(
            self.peer_state(leader, now),
            LinkState::Up | LinkState::Suspect
        ) {
            return None;
        }
        let gossip = self.peers.get(usize::from(leader))?.gossip.as_ref()?;
        (now <= gossip.received_at + PEER_MESSAGE_FRESH_MS).then_some(&gossip.content)
    }

    /// Returns the number of workers whose heartbeats this controller relays.
    pub fn relayed_workers(&self, now: u64) -> usize {
        self.relay.relayed_workers(now)
    }
}
