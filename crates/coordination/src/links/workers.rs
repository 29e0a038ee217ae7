//! Links to the workers, and what to do with heartbeats of shards that others lead.

use super::Links;
use super::peers::PEER_MESSAGE_FRESH_MS;
use super::relay::{LeaderLink, ZoneReachability};
use crate::election::CEDE_MS;
use lemonweir_model::MachineId;
use lemonweir_model::constants::{HEARTBEAT_TIMEOUT_SLACK_MS, MAX_INDIVIDUAL_LOSSES};
use lemonweir_protocol::links::{AvailabilityGossip, LinkState};

/// How a worker whose shard another controller leads is to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MisroutedHeartbeatAction {
    /// Its heartbeat goes to the leader through us.
    Relay,
    /// It shall send it to its leader.
    Redirect,
    /// We can't help it; it tries whoever is next.
    Unavailable,
}

/// A worker's heartbeat for a shard that another controller leads.
pub(crate) struct MisroutedHeartbeat<'a> {
    /// The shard.
    pub(crate) shard: u16,
    /// Number of the controller that leads it.
    pub(crate) leader: u16,
    /// The worker's zone.
    pub(crate) zone: &'a str,
    /// The worker's machine.
    pub(crate) machine: &'a MachineId,
    /// The worker was here a moment ago.
    pub(crate) repeated: bool,
    /// The worker shows the leader's own fencing token.
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
    /// A worker of a zone reached us by itself. Guards against late copies of heartbeats
    /// (`fresh` is false), which say nothing of the link now.
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

    /// ms without a heartbeat from which on a zone counts as unreachable.
    pub(super) fn zone_silence_ms(&self) -> u64 {
        2 * self.heartbeat_ms + HEARTBEAT_TIMEOUT_SLACK_MS
    }

    /// True if no worker reaches us any more, though some did a moment ago. After a
    /// while that says nothing: all may have gone to other controllers.
    pub(crate) fn no_worker_reachable(&self, now: u64) -> bool {
        let newest = self.zones.values().max().copied().unwrap_or(0);
        self.heartbeats > MAX_INDIVIDUAL_LOSSES as u64
            && now > newest + self.zone_silence_ms()
            && now < newest + CEDE_MS
    }

    /// How to answer a worker whose shard another controller leads.
    pub(crate) fn route_misrouted(
        &mut self,
        heartbeat: &MisroutedHeartbeat,
        now: u64,
    ) -> MisroutedHeartbeatAction {
        let silence_ms = self.zone_silence_ms();
        let leader_link = heartbeat.leader_link();
        let Some(gossip) = self.reachable_leader_gossip(heartbeat.leader, now) else {
            // One that can't reach the leader is not redirected there
            // once more, but tries whoever is next: that may reach the leader.
            return match leader_link {
                LeaderLink::Failed => MisroutedHeartbeatAction::Unavailable,
                LeaderLink::Untried => MisroutedHeartbeatAction::Redirect,
            };
        };
        let reached = gossip
            .unreachable_zones
            .iter()
            .any(|(zone, ms)| zone == heartbeat.zone && *ms <= silence_ms);
        let zone = if reached {
            ZoneReachability::Reachable
        } else {
            ZoneReachability::Unreachable
        };
        self.relay.choose(heartbeat, leader_link, zone, now)
    }

    /// A leader's newest gossip, if the leader can be reached from here.
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

    /// Number of workers whose heartbeats this controller relays.
    pub fn relayed_workers(&self, now: u64) -> usize {
        self.relay.relayed_workers(now)
    }
}
