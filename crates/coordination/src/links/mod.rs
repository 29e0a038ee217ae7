//! Connectivity between controllers, services and workers.
//!
//! Each controller derives the state of its own links to the state service, the cloud, the
//! other controllers and the workers of each zone from the traffic on them. Every two seconds
//! it receives gossip from each other controller with the state of that controller's links.
//! All reachability checks go through [`Links`]; `docs/links.md` describes the rules.

mod failure_detector;
mod history;
mod latency;
mod peers;
mod relay;
mod services;
mod store_answers;
mod table;
mod upstream_route;
mod workers;

use std::collections::BTreeMap;

use crate::machine::Timing;
use crate::misrouted_heartbeats::MisroutedHeartbeats;
use crate::process_stall::STALL_MS;
use history::EventHistory;
use latency::LatencyWindow;
use lemonweir_protocol::links::Service;
use peers::Peer;
use relay::RelayState;
use store_answers::StoreAnswers;
use upstream_route::UpstreamRoute;

pub use peers::GOSSIP_INTERVAL_MS;
pub(crate) use workers::{MisroutedHeartbeat, MisroutedHeartbeatAction};

/// State of a controller's own links, and of other controllers' links as they gossip it.
#[derive(Debug)]
pub struct Links {
    /// Index of this controller.
    own_index: u16,
    /// Host names of all controllers, by index.
    hosts: Vec<String>,
    /// Interval of the workers' heartbeats, ms.
    heartbeat_ms: u64,
    /// Offset of the wall clock from the monotonic clock, ms.
    wall_clock_offset_ms: u64,
    store: UpstreamRoute,
    cloud: UpstreamRoute,
    /// Latencies of the services, on direct and relayed routes.
    latencies: BTreeMap<Service, LatencyWindow>,
    /// Links to all controllers, by index; the entry of this controller is not used.
    peers: Vec<Peer>,
    /// When a worker of each zone last sent a heartbeat directly to this controller, ms.
    zones: BTreeMap<String, u64>,
    /// Heartbeats received directly from workers since the start of this process, without late
    /// copies.
    heartbeats: u64,
    relay: RelayState,
    /// Machines that sent their heartbeats to this controller although another leads their
    /// shard.
    pub(crate) misrouted: MisroutedHeartbeats,
    store_answers: StoreAnswers,
    history: EventHistory,
    /// Until when failed calls are attributed to a stall of this process, ms.
    stall_grace_until: u64,
}

impl Links {
    /// Creates the state of a controller that has not observed any link yet.
    pub(crate) fn new(
        own_index: u16,
        hosts: Vec<String>,
        timing: &Timing,
        wall_clock_offset_ms: u64,
    ) -> Self {
        Self {
            own_index,
            heartbeat_ms: timing.heartbeat_interval_ms,
            wall_clock_offset_ms,
            store: UpstreamRoute::default(),
            cloud: UpstreamRoute::default(),
            latencies: BTreeMap::new(),
            peers: hosts.iter().map(|_| Peer::default()).collect(),
            hosts,
            zones: BTreeMap::new(),
            heartbeats: 0,
            relay: RelayState::default(),
            misrouted: MisroutedHeartbeats::new(timing),
            store_answers: StoreAnswers::default(),
            history: EventHistory::default(),
            stall_grace_until: 0,
        }
    }

    /// Discounts a stall of this process: neither silence during the stall nor calls that timed
    /// out are evidence of a failed link.
    pub(crate) fn apply_stall(&mut self, stall_ms: u64, now: u64) {
        self.stall_grace_until = now + STALL_MS;
        self.zones.values_mut().for_each(|at| *at += stall_ms);
        self.peers
            .iter_mut()
            .filter_map(|peer| peer.last_message.as_mut())
            .for_each(|at| *at += stall_ms);
    }

    /// Iterates over the other controllers with their indexes.
    fn other_peers(&self) -> impl Iterator<Item = (u16, &Peer)> {
        let own_index = self.own_index;
        (0..)
            .zip(&self.peers)
            .filter(move |(index, _)| *index != own_index)
    }
}

/// Returns the name of a service in the event history and in operators' tables.
fn service_name(service: Service) -> &'static str {
    match service {
        Service::Store => "state service",
        Service::Cloud => "cloud",
    }
}
