//! Executes the effects that a controller's core returns: the messages and requests that it
//! sends.

use lemonweir_coordination::{Effect, ShardLease, store_message_piece_bytes};
use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::links::Service;
use lemonweir_protocol::peer;
use lemonweir_storage::records::{StoreMessageKind, StoreMessageRoute, write_store_message};

use super::Simulation;
use super::events::Event;
use crate::clock::US_PER_MS;
use crate::controller::{CasOrigin, Input};

/// Time that a provisioning or release request takes in addition to the network delay, µs.
const CLOUD_REQUEST_US: u64 = 100 * US_PER_MS;

impl Simulation {
    pub(super) fn execute(&mut self, controller: usize, effect: Effect) {
        let process = self.current_process(controller);
        let at = self.departure_time(controller) + self.network_delay();
        match effect {
            Effect::CompareAndSwap(lease, cas) => {
                self.send_cas(controller, CasOrigin::Scheduler(lease), cas);
            }
            Effect::DependencyCompareAndSwap(cas) => {
                self.send_cas(controller, CasOrigin::Dependencies, cas);
            }
            Effect::WriteHint(cas) => self.send_cas(controller, CasOrigin::Unattended, cas),
            Effect::ReadFinalStates(ids) => {
                let at = at + self.network_delay();
                self.deliver_at(at, process, Input::JobEndsRead(ids));
            }
            Effect::AnswerHeartbeat(id, answer) => {
                let held = &mut self.controllers[controller].held_heartbeats;
                if let Some(heartbeat) = held.remove(&id) {
                    self.send_heartbeat_answer(at, controller, heartbeat, answer);
                }
            }
            Effect::Command(lease, call) => self.send_commands(controller, lease, call, at),
            Effect::Sync(lease, sync) => self.send_sync(controller, lease, sync, at),
            Effect::StoreSync(sync) => {
                let route = StoreMessageRoute {
                    kind: StoreMessageKind::Sync,
                    from_shard: sync.from_shard,
                    to_shard: sync.to_shard,
                };
                let id = (sync.from_fencing_token, sync.seq);
                self.send_store_message(controller, route, id, &peer::encode(&sync));
            }
            Effect::StoreView(to, view) => {
                let route = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: view.shard,
                    to_shard: to,
                };
                let id = (view.fencing_token, view.seq);
                self.send_store_message(controller, route, id, &peer::encode(&view));
            }
            Effect::PullProgress(to, query) => self.pull_progress(controller, to, query, at),
            Effect::StoreProgress(message) => {
                self.send_store_message(controller, message.route, message.id, &message.bytes);
            }
            Effect::WakePeer(shard) => self.wake_shard(controller, shard, at),
            Effect::Provision(lease, request) => {
                self.request_provisioning(controller, lease, request, at);
            }
            Effect::ReleaseInstances(lease, names) => {
                self.request_release(controller, lease, names, at);
            }
            Effect::SendGossip(to, gossip) => self.send_gossip(controller, to, gossip, at),
            Effect::ProbeService(service) => self.schedule_at(at, Event::Probe(process, service)),
        }
    }

    /// Asks the leader of a shard to sync with each of the sender's shards.
    fn wake_shard(&mut self, controller: usize, shard: u16, at: u64) {
        let leases = self.controllers[controller]
            .core
            .as_ref()
            .map(lemonweir_coordination::Core::leases)
            .unwrap_or_default();
        let Some(leader) = self
            .known_leader(controller, shard)
            .filter(|leader| !self.controllers_partitioned(controller, *leader))
        else {
            return;
        };
        let process = self.current_process(leader);
        for lease in leases {
            let from = lease.shard;
            let at = at + self.draw_peer_delay(controller, leader);
            self.deliver_at(at, process, Input::WakeShard { shard, from });
        }
    }

    fn request_provisioning(
        &mut self,
        controller: usize,
        lease: ShardLease,
        request: ProvisioningRequest,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let wait_us = self.controllers[controller].cloud.reserve(1.0, self.now);
        let route = self.route(controller, Service::Cloud, 0);
        self.schedule_at(
            at + wait_us + CLOUD_REQUEST_US,
            Event::Provision(process, lease, Box::new(request), route),
        );
    }

    fn request_release(
        &mut self,
        controller: usize,
        lease: ShardLease,
        names: Vec<MachineId>,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let wait_us = self.controllers[controller].cloud.reserve(1.0, self.now);
        let route = self.route(controller, Service::Cloud, 0);
        self.schedule_at(
            at + wait_us + CLOUD_REQUEST_US,
            Event::Release(process, lease, names, route),
        );
    }

    /// Sends a message between shards through the store, bound to the sender's store lease. It
    /// is dropped without a store lease, or if it needs more writes than the store's lowest limit
    /// allows in a compare-and-swap.
    fn send_store_message(
        &mut self,
        controller: usize,
        route: StoreMessageRoute,
        id: (u64, u64),
        bytes: &[u8],
    ) {
        let Some(store_lease) = self.controllers[controller].store_lease else {
            return;
        };
        self.largest_store_message_bytes = self.largest_store_message_bytes.max(bytes.len());
        let limits = &self.scenario.state;
        let piece_bytes =
            store_message_piece_bytes((limits.lowest_max_value_kib() * 1024.0) as usize);
        let cas = write_store_message(route, id, bytes, piece_bytes, store_lease);
        if cas.writes.len() <= limits.lowest_max_cas_ops() {
            self.send_cas(controller, CasOrigin::Unattended, cas);
        }
    }
}
