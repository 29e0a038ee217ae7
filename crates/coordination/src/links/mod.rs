//! Connectivity: who reaches what, judged in one place.
//!
//! Each controller judges its own links to the state service, the cloud, the
//! other controllers and the workers of each zone from what went over them, and
//! receives every two seconds from each other controller gossip that says the same of its
//! own. Whatever asks whether something can be reached asks here; `docs/links.md` has
//! the reckoning.

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

/// What a controller knows of links, its own and others'.
#[derive(Debug)]
pub struct Links {
    own_index: u16,
    /// Host names of all controllers.
    hosts: Vec<String>,
    heartbeat_ms: u64,
    wall_clock_offset_ms: u64,
    store: UpstreamRoute,
    cloud: UpstreamRoute,
    /// Latencies of the services, on whatever route.
    latencies: BTreeMap<Service, LatencyWindow>,
    peers: Vec<Peer>,
    /// When a worker of each zone last reached us by itself, ms.
    zones: BTreeMap<String, u64>,
    /// Heartbeats that workers sent us by themselves, so far.
    heartbeats: u64,
    relay: RelayState,
    /// Machines of shards that others lead which sent their heartbeats to this controller.
    pub(crate) misrouted: MisroutedHeartbeats,
    store_answers: StoreAnswers,
    history: EventHistory,
    /// Until when calls that fail do so because this process stalled, ms.
    stall_grace_until: u64,
}

impl Links {
    /// Knows nothing yet.
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

    /// This process stalled for so long, ms: silence meanwhile says nothing of a
    /// link, nor do calls that timed out.
    pub(crate) fn apply_stall(&mut self, gap: u64, now: u64) {
        self.stall_grace_until = now + STALL_MS;
        self.zones.values_mut().for_each(|at| *at += gap);
        self.peers
            .iter_mut()
            .filter_map(|peer| peer.last_message.as_mut())
            .for_each(|at| *at += gap);
    }

    /// The other controllers, each with its number.
    fn other_peers(&self) -> impl Iterator<Item = (u16, &Peer)> {
        let own_index = self.own_index;
        (0..)
            .zip(&self.peers)
            .filter(move |(index, _)| *index != own_index)
    }
}

/// Name of a service in the history and in tables.
fn service_name(service: Service) -> &'static str {
    match service {
        Service::Store => "state service",
        Service::Cloud => "cloud",
    }
}
