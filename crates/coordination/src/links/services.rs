//! Links to the services: outcomes of direct and relayed calls, and the choice of a relay.

use std::cmp::Reverse;

use super::peers::Peer;
use super::upstream_route::{CallOutcome, RelayCandidate, RequestSize, UpstreamRoute};
use super::{Links, service_name};
use lemonweir_protocol::links::Service;

/// Maximum age of a controller's last direct answer from the state service for it to be asked to
/// relay, ms: it reads several times a second and gossips every 2 s.
const STORE_RELAY_FRESH_MS: u64 = 3_500;
/// As [`STORE_RELAY_FRESH_MS`], for the cloud, which each controller calls every few seconds.
const CLOUD_RELAY_FRESH_MS: u64 = 20_000;

impl Links {
    fn upstream(&mut self, service: Service) -> &mut UpstreamRoute {
        match service {
            Service::Store => &mut self.store,
            Service::Cloud => &mut self.cloud,
        }
    }

    /// Returns the controllers that could relay to a service, most recently answered first.
    fn relay_candidates(&self, service: Service, now: u64) -> Vec<RelayCandidate> {
        let last_answer = |peer: &Peer| {
            let gossip = peer.gossip.as_ref()?;
            gossip
                .received_at
                .checked_sub(gossip.content.service_age_ms(service)?)
        };
        let mut candidates: Vec<RelayCandidate> = self
            .other_peers()
            .filter(|(_, peer)| !peer.detector.is_down())
            .filter_map(|(index, peer)| {
                let last_answer =
                    last_answer(peer).filter(|at| now <= at + relay_fresh_ms(service))?;
                Some(RelayCandidate { index, last_answer })
            })
            .collect();
        candidates.sort_unstable_by_key(|c| (Reverse(c.last_answer), c.index));
        candidates
    }

    /// Returns the controller that relays a request of `bytes` to a service; `None`: it goes
    /// directly.
    pub fn route(&mut self, service: Service, bytes: usize, now: u64) -> Option<u16> {
        let size = RequestSize::from_byte_count(bytes);
        if !self.upstream(service).is_down_for(size) {
            return None;
        }
        let candidates = self.relay_candidates(service, now);
        let upstream = self.upstream(service);
        let before = upstream.relay();
        let relay = upstream.route(size, &candidates, now);
        if let Some(index) = relay.filter(|_| relay != before) {
            let text = format!(
                "what goes to the {} is carried by {}",
                service_name(service),
                self.hosts[usize::from(index)]
            );
            self.record_event(now, text);
        }
        relay
    }

    /// Records the outcome of a direct request of `bytes` to a service. Failures shortly after a
    /// stall of this process are ignored.
    pub fn record_direct_call(&mut self, service: Service, bytes: usize, answered: bool, now: u64) {
        if !answered && now < self.stall_grace_until {
            return;
        }
        let (size, outcome) = (
            RequestSize::from_byte_count(bytes),
            CallOutcome::from_answered(answered),
        );
        if !self.upstream(service).record_direct(size, outcome, now) {
            return;
        }
        let name = service_name(service);
        let text = match (outcome, size) {
            (CallOutcome::Answered, _) => format!("the {name} answers"),
            (CallOutcome::Failed, RequestSize::Small) => format!("the {name} does not answer"),
            (CallOutcome::Failed, RequestSize::Large) => {
                format!("the {name} does not answer large requests")
            }
        };
        self.record_event(now, text);
    }

    /// Records the outcome of a request to a service that another controller relayed.
    pub fn record_relayed_call(&mut self, service: Service, relay: u16, answered: bool, now: u64) {
        self.upstream(service)
            .record_relayed(relay, CallOutcome::from_answered(answered), now);
    }

    /// Returns true if this controller may relay to a service now. It relays only over its own
    /// direct route, which rules out chains of relays.
    pub fn can_relay(&self, service: Service) -> bool {
        match service {
            Service::Store => !self.store.small.is_down(),
            Service::Cloud => !self.cloud.small.is_down(),
        }
    }

    /// Returns the services whose direct route is due for a probe.
    pub(crate) fn due_probes(&mut self, now: u64) -> Vec<Service> {
        [Service::Store, Service::Cloud]
            .into_iter()
            .filter(|service| self.upstream(*service).take_due_probe(now))
            .collect()
    }

    /// Records the latency of a service's answer, direct or relayed.
    pub fn record_latency(&mut self, service: Service, latency_ms: u64, now: u64) {
        if service == Service::Store {
            self.store_answers.record_latency(latency_ms);
        }
        self.latencies
            .entry(service)
            .or_default()
            .record(latency_ms, now);
    }
}

/// Maximum age of a service's last answer for its receiver to count as reaching the service, ms.
pub(super) fn relay_fresh_ms(service: Service) -> u64 {
    match service {
        Service::Store => STORE_RELAY_FRESH_MS,
        Service::Cloud => CLOUD_RELAY_FRESH_MS,
    }
}
