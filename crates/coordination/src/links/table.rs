//! Table of all links for operators.

use super::latency::LatencyWindow;
use super::peers::ReceivedGossip;
use super::services::relay_fresh_ms;
use super::upstream_route::UpstreamRoute;
use super::{Links, service_name};
use lemonweir_protocol::links::{LinkRow, LinkState, Service};

impl Links {
    /// Returns all links: this controller's own, then those that the others gossip.
    pub fn rows(&self, now: u64) -> Vec<LinkRow> {
        let mut rows = vec![
            self.service_row(Service::Store, &self.store, now),
            self.service_row(Service::Cloud, &self.cloud, now),
        ];
        for (index, peer) in self.other_peers() {
            rows.push(LinkRow {
                latency_ms: peer.latency.median_and_p99(),
                ..self.own_row(
                    self.host(index),
                    self.peer_state(index, now),
                    peer.detector.since(),
                    now,
                )
            });
        }
        for (zone, at) in &self.zones {
            let state = self.zone_state(now.saturating_sub(*at));
            rows.push(self.own_row(zone_name(zone), state, *at, now));
        }
        for gossip in self.peers.iter().filter_map(|peer| peer.gossip.as_ref()) {
            self.add_gossip_rows(gossip, now, &mut rows);
        }
        rows
    }

    fn host(&self, index: u16) -> String {
        self.hosts
            .get(usize::from(index))
            .cloned()
            .unwrap_or_default()
    }

    fn zone_state(&self, silent_ms: u64) -> LinkState {
        if silent_ms <= self.zone_silence_ms() {
            LinkState::Up
        } else {
            LinkState::Unknown
        }
    }

    fn own_row(&self, to: String, state: LinkState, since: u64, now: u64) -> LinkRow {
        LinkRow {
            from: self.host(self.own_index),
            to,
            state,
            for_s: now.saturating_sub(since) / 1_000,
            relayed_by: None,
            latency_ms: None,
            age_s: 0,
        }
    }

    fn service_row(&self, service: Service, route: &UpstreamRoute, now: u64) -> LinkRow {
        let relayed = route.small.is_down() || route.large.is_down();
        let relay = route.relay().filter(|_| relayed);
        let latency = self.latencies.get(&service);
        LinkRow {
            relayed_by: relay.map(|index| self.host(index)),
            latency_ms: latency.and_then(LatencyWindow::median_and_p99),
            ..self.own_row(
                service_name(service).to_owned(),
                route.small.state(),
                route.small.since(),
                now,
            )
        }
    }

    fn add_gossip_rows(&self, gossip: &ReceivedGossip, now: u64, rows: &mut Vec<LinkRow>) {
        let content = &gossip.content;
        let gossip_age_s = now.saturating_sub(gossip.received_at) / 1_000;
        let row = |to: String, state: LinkState, for_ms: u64| LinkRow {
            from: self.host(content.controller),
            to,
            state,
            for_s: for_ms / 1_000,
            relayed_by: None,
            latency_ms: None,
            age_s: gossip_age_s,
        };
        for service in [Service::Store, Service::Cloud] {
            let age_ms = content.service_age_ms(service);
            let state = match age_ms {
                None => LinkState::Unknown,
                Some(ms) if ms <= relay_fresh_ms(service) => LinkState::Up,
                Some(_) => LinkState::Down,
            };
            rows.push(row(
                service_name(service).to_owned(),
                state,
                age_ms.unwrap_or(0),
            ));
        }
        for (index, state, in_state_ms) in &content.peers {
            rows.push(row(self.host(*index), *state, *in_state_ms));
        }
        for (zone, silent_ms) in &content.zone_heartbeat_ages {
            let state = self.zone_state(*silent_ms);
            rows.push(row(zone_name(zone), state, *silent_ms));
        }
    }
}

fn zone_name(zone: &str) -> String {
    format!("workers of {zone}")
}
