//! Routes: which services a controller reaches, directly or through a relay, and which peers
//! and machines it reaches.

use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::Service;

use super::Simulation;
use crate::controller::{Input, ProcessId, RouteResult};
use crate::scenario::Link;

/// Estimated bytes of one write of a compare-and-swap: about the size of a full task chunk.
const WRITE_BYTES: usize = 512;

/// The route of a request to a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRoute {
    service: Service,
    /// Estimated bytes of a compare-and-swap; 0 for other requests.
    bytes: usize,
    /// The controller that relays it; `None`: it is sent directly.
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

    /// The controller that relays the request, if any.
    pub(super) fn relay(&self) -> Option<usize> {
        self.relay.map(usize::from)
    }
}

/// Estimated bytes of a compare-and-swap.
pub(super) fn estimated_bytes(cas: &CompareAndSwap) -> usize {
    cas.writes.len() * WRITE_BYTES
}

impl Simulation {
    // ---- services --------------------------------------------------------------

    /// The route that a controller's core chooses for a request.
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

    /// True if `relay` runs, is not stalled, and exchanges messages with `controller`.
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
        let relays_service = self.controllers[relay]
            .core
            .as_ref()
            .is_some_and(|core| core.links.can_relay(route.service));
        self.can_relay(relay, controller)
            && relays_service
            && self.reaches_service(relay, route.service)
    }

    /// True if a request that arrives now is served. The result is reported to its controller.
    pub(super) fn try_route(&mut self, process: ProcessId, route: ServiceRoute) -> bool {
        let served = self.route_works(process.controller, route);
        self.report_route_result(process, route, served, 0);
        served
    }

    /// Reports to a controller, after so many µs, whether a request was served.
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

    /// True if `to` receives a message that `from` sends now, and can answer it.
    pub(super) fn peer_reachable(&self, from: usize, to: usize) -> bool {
        self.can_relay(to, from)
    }

    /// True if a request from `a` to `b` is lost now, or the answer of `b` to an earlier one. A
    /// one-way failure from `b` to `a` affects neither.
    pub(super) fn controllers_partitioned(&self, a: usize, b: usize) -> bool {
        self.links_down.contains(&Link::OneWay(a, b))
            || self.links_down.contains(&Link::between(a, b))
            || self.zones_partitioned(
                self.scenario.controller_zone(a),
                self.scenario.controller_zone(b),
            )
    }

    /// True if a partition separates two zones.
    fn zones_partitioned(&self, a: &str, b: &str) -> bool {
        a != b && (self.partitioned_zones.contains(a) || self.partitioned_zones.contains(b))
    }

    /// True if a controller's zone is partitioned: it reaches neither services nor users.
    pub(super) fn controller_partitioned(&self, controller: usize) -> bool {
        self.partitioned_zones
            .contains(self.scenario.controller_zone(controller))
    }

    /// True if a controller and a machine can't reach each other.
    pub(super) fn machine_partitioned(&self, controller: usize, number: usize) -> bool {
        let zone = self.worker(number).map(|worker| worker.zone.as_str());
        self.links_down.contains(&Link::Workers(controller))
            || zone.is_some_and(|zone| {
                self.zones_partitioned(self.scenario.controller_zone(controller), zone)
                    || self
                        .links_down
                        .contains(&Link::WorkersInZone(controller, zone.to_owned()))
            })
    }

    /// True if a call to a machine, direct or through a relay, can't reach it.
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

    /// The leader of a shard according to a controller's cache.
    pub(super) fn known_leader(&self, controller: usize, shard: u16) -> Option<usize> {
        let core = self.controllers[controller].core.as_ref()?;
        let name = &core.cache.shard_leaders.get(&shard)?.host;
        core.config
            .members
            .iter()
            .position(|member| member.host == *name)
    }
}
