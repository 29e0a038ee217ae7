//! Routes: which service a controller reaches, directly or relayed by a peer, and which peer
//! and machine it reaches.

use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::Service;

use super::Simulation;
use crate::controller::{Input, ProcessId, RouteResult};
use crate::scenario::Link;

/// Bytes that a write of a compare-and-swap is taken to have: about a full chunk's.
const WRITE_BYTES: usize = 512;

/// The route of a request to a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRoute {
    service: Service,
    /// Bytes of the request.
    bytes: usize,
    /// The controller that relays it; none: it goes directly.
    relay: Option<u16>,
}

impl ServiceRoute {
    pub(super) fn direct(service: Service) -> Self {
        Self {
            service,
            bytes: 0,
            relay: None,
        }
    }
}

/// Bytes of a compare-and-swap, about.
pub(super) fn estimated_bytes(cas: &CompareAndSwap) -> usize {
    cas.writes.len() * WRITE_BYTES
}

impl Simulation {
    // ---- services --------------------------------------------------------------

    /// The route that a controller's core names for a request.
    pub(super) fn route(
        &mut self,
        controller: usize,
        service: Service,
        bytes: usize,
    ) -> ServiceRoute {
        let now_ms = self.now_ms();
        let relay = self.controllers[controller]
            .core
            .as_mut()
            .and_then(|core| core.links.route(service, bytes, now_ms));
        ServiceRoute {
            service,
            bytes,
            relay,
        }
    }

    fn reaches_service(&self, controller: usize, service: Service) -> bool {
        let (down, link) = match service {
            Service::Store => (self.store.down, Link::Store(controller)),
            Service::Cloud => (self.cloud.down, Link::Cloud(controller)),
        };
        !down && !self.links_down.contains(&link) && !self.controller_partitioned(controller)
    }

    /// True if a controller runs, and can relay something for another now.
    fn can_relay(&self, relay: usize, controller: usize) -> bool {
        let runs = self
            .controllers
            .get(relay)
            .is_some_and(|relay| relay.core.is_some() && relay.stalled_until <= self.now);
        runs && !self.controllers_partitioned(controller, relay)
    }

    /// True if a request on a route reaches its service now.
    pub(super) fn route_works(&self, controller: usize, route: ServiceRoute) -> bool {
        let denied = self.links_down.contains(&Link::StoreDenied(controller));
        if route.service == Service::Store && denied {
            return false;
        }
        let Some(relay) = route.relay.map(usize::from) else {
            return self.reaches_service(controller, route.service);
        };
        let willing = self.controllers[relay]
            .core
            .as_ref()
            .is_some_and(|core| core.links.can_relay(route.service));
        self.can_relay(relay, controller) && willing && self.reaches_service(relay, route.service)
    }

    /// True if a request that arrives now is served; its controller learns that.
    pub(super) fn try_route(&mut self, process: ProcessId, route: ServiceRoute) -> bool {
        let served = self.route_works(process.controller, route);
        self.report_route_result(process, route, served, 0);
        served
    }

    /// A controller learns after so many µs what became of a request.
    pub(super) fn report_route_result(
        &mut self,
        process: ProcessId,
        route: ServiceRoute,
        served: bool,
        after_us: u64,
    ) {
        let at = self.now + after_us + self.network_delay();
        if route.relay.is_some() {
            self.controllers[process.controller].load.messages += 1;
        }
        self.deliver_at(
            at,
            process,
            Input::RouteResult(RouteResult {
                service: route.service,
                relay: route.relay,
                bytes: route.bytes,
                served,
            }),
        );
    }

    /// True if a request of a controller to a service would be served now.
    pub(super) fn service_reachable(&mut self, controller: usize, service: Service) -> bool {
        let route = self.route(controller, service, 0);
        self.route_works(controller, route)
    }

    // ---- peers and machines ----------------------------------------------------

    /// True if a controller receives what another sends to it now, and can answer.
    pub(super) fn peer_reachable(&self, from: usize, to: usize) -> bool {
        self.can_relay(to, from)
    }

    /// True if what `a` sends to `b` does not get through, or its answer does not.
    pub(super) fn controllers_partitioned(&self, a: usize, b: usize) -> bool {
        self.links_down.contains(&Link::OneWay(a, b))
            || self.links_down.contains(&Link::between(a, b))
            || self.zones_partitioned(self.scenario.zone_of(a), self.scenario.zone_of(b))
    }

    /// True if a partition is between two zones.
    fn zones_partitioned(&self, a: &str, b: &str) -> bool {
        a != b && (self.partitioned_zones.contains(a) || self.partitioned_zones.contains(b))
    }

    /// True if a controller can't reach what is outside the zones.
    pub(super) fn controller_partitioned(&self, controller: usize) -> bool {
        self.partitioned_zones
            .contains(self.scenario.zone_of(controller))
    }

    /// True if a controller and a machine can't reach each other.
    pub(super) fn machine_partitioned(&self, controller: usize, number: usize) -> bool {
        let zone = self.worker(number).map(|worker| worker.zone.as_str());
        self.links_down.contains(&Link::Workers(controller))
            || zone.is_some_and(|zone| {
                self.zones_partitioned(self.scenario.zone_of(controller), zone)
                    || self
                        .links_down
                        .contains(&Link::WorkersInZone(controller, zone.to_owned()))
            })
    }

    /// True if a call to a machine, relayed or not, does not get through.
    pub(super) fn call_blocked(
        &self,
        controller: usize,
        relay: Option<u16>,
        number: usize,
    ) -> bool {
        match relay.map(usize::from) {
            None => self.machine_partitioned(controller, number),
            Some(relay) => {
                !self.can_relay(relay, controller) || self.machine_partitioned(relay, number)
            }
        }
    }

    /// The controller that another one's cache names as a shard's leader.
    pub(super) fn known_leader(&self, controller: usize, shard: u16) -> Option<usize> {
        let core = self.controllers[controller].core.as_ref()?;
        let name = &core.cache.shard_leaders.get(&shard)?.host;
        core.config
            .members
            .iter()
            .position(|member| member.host == *name)
    }
}
