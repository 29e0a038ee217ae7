//! Messages from controllers to each other, to the store and to machines, and their loss and
//! delay.

use std::ops::Range;

use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::{HeartbeatAnswer, PULL_INTERVAL_MS, ShardLease};
use lemonweir_model::constants::{
    COMMAND_TIMEOUT_MS, HEARTBEAT_BATCH_MS, RELAYED_HEARTBEAT_TIMEOUT_MS, SYNC_TIMEOUT_MS,
};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{self, SyncRequest};
use lemonweir_protocol::progress::ProgressQuery;
use rand::RngExt;

use super::events::{CommandDelivery, CommandTiming, Event, StoreRequest};
use super::routes::estimated_bytes;
use super::{Simulation, machine_number};
use crate::clock::US_PER_MS;
use crate::controller::{Caller, CasOrigin, HeartbeatRef, Input, SentHeartbeat};

/// Delay of a late message between controllers, ms.
const LATE_PEER_MESSAGE_MS: Range<u64> = 2_000..60_000;
/// Delay of a late command, ms.
const LATE_COMMAND_MS: Range<u64> = 3_000..90_000;
/// Share of the commands counted as lost that still arrive, but late, per mille.
const LATE_LOST_COMMANDS_PER_MILLE: u32 = 500;
/// µs after which a sync request fails whose target shard has no known, running leader.
const NO_LEADER_TIMEOUT_US: u64 = 2 * US_PER_MS;

impl Simulation {
    pub(super) fn send_cas(&mut self, number: usize, origin: CasOrigin, cas: CompareAndSwap) {
        let (now, process) = (self.now, self.current_process(number));
        let controller = &mut self.controllers[number];
        let wait_us = controller
            .requests
            .reserve(1.0, now)
            .max(controller.writes.reserve(cas.writes.len() as f64, now));
        if matches!(origin, CasOrigin::Scheduler(_)) {
            self.metrics
                .cas_sent(&cas, now, self.departure_time(number));
        }
        let at = self.departure_time(number) + wait_us + self.network_delay();
        let route = self.route(number, Service::Store, estimated_bytes(&cas));
        let request = StoreRequest::CompareAndSwap(origin, Box::new(cas));
        self.schedule_at(at, Event::StoreRequest(process, request, route));
    }

    pub(super) fn send_commands(
        &mut self,
        controller: usize,
        lease: ShardLease,
        call: CommandCall,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let number = machine_number(&call.machine);
        let lost = self.command_lost(controller, &call, number);
        let delay_us = if lost { None } else { self.draw_call_delay() };
        let late = !lost
            && (delay_us.is_some()
                || self.draw_per_mille(self.scenario.message_faults.late_command));
        if !lost && !late {
            let delivery = CommandDelivery {
                lease,
                call,
                timing: CommandTiming::InTime,
            };
            return self.schedule_at(at, Event::Commands(process, delivery));
        }
        if late || self.draw_per_mille(LATE_LOST_COMMANDS_PER_MILLE) {
            // Delayed in the network: the commands may arrive much later.
            let delay_us =
                delay_us.unwrap_or_else(|| self.rng.random_range(LATE_COMMAND_MS) * US_PER_MS);
            let delivery = CommandDelivery {
                lease,
                call: call.clone(),
                timing: CommandTiming::Late,
            };
            self.schedule_at(at + delay_us, Event::Commands(process, delivery));
        }
        let unknown = Input::CommandResult(lease, call, CommandResult::Unknown);
        self.deliver_at(at + COMMAND_TIMEOUT_MS * US_PER_MS, process, unknown);
    }

    fn command_lost(&mut self, controller: usize, call: &CommandCall, number: usize) -> bool {
        let unresponsive = self
            .worker(number)
            .is_some_and(|worker| worker.silent || worker.hung_until > self.now);
        let sender = call.relayed_by.map_or(controller, usize::from);
        unresponsive
            || self.command_dropped(sender, number)
            || self.call_blocked(controller, call.relayed_by, number)
            || self.draw_per_mille(self.scenario.message_faults.lost_command)
    }

    pub(super) fn send_sync(
        &mut self,
        controller: usize,
        lease: ShardLease,
        request: SyncRequest,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let failed = Input::SyncResponse(lease, request.to_shard, None);
        self.controllers[controller].load.peer_bytes += peer::encoded_len(&request) as u64;
        let Some(leader) = self
            .known_leader(controller, request.to_shard)
            .filter(|leader| self.controllers[*leader].core.is_some())
        else {
            return self.deliver_at(at + NO_LEADER_TIMEOUT_US, process, failed);
        };
        let faults = self.scenario.message_faults;
        let lost = self.controllers_partitioned(controller, leader)
            || self.draw_per_mille(faults.lost_sync);
        let slow_us = self.draw_peer_delay(controller, leader);
        let gives_up_at = at + SYNC_TIMEOUT_MS * US_PER_MS;
        let mut delivery = Input::SyncRequest {
            reply_to: Some(Caller::over_link(process, slow_us, gives_up_at)),
            lease,
            request: Box::new(request),
        };
        let leader = self.current_process(leader);
        if !lost {
            return self.deliver_at(at + slow_us, leader, delivery);
        }
        if self.draw_per_mille(faults.late_sync) {
            // The sender does not wait for the answer to a late request.
            if let Input::SyncRequest { reply_to, .. } = &mut delivery {
                *reply_to = None;
            }
            let delay_us = self.rng.random_range(LATE_PEER_MESSAGE_MS) * US_PER_MS;
            self.deliver_at(at + delay_us, leader, delivery);
        }
        self.deliver_at(gives_up_at, process, failed);
    }

    /// Relays a heartbeat to the leader.
    pub(super) fn relay_heartbeat(
        &mut self,
        controller: usize,
        leader: usize,
        heartbeat: SentHeartbeat,
    ) {
        let process = self.current_process(controller);
        let at =
            self.departure_time(controller) + HEARTBEAT_BATCH_MS * US_PER_MS + self.network_delay();
        let slow_us = self.draw_peer_delay(controller, leader);
        let gives_up_at = at + RELAYED_HEARTBEAT_TIMEOUT_MS * US_PER_MS;
        let relay = Caller::over_link(process, slow_us, gives_up_at);
        let faults = self.scenario.message_faults;
        let lost =
            !self.peer_reachable(controller, leader) || self.draw_per_mille(faults.lost_sync);
        if lost && self.draw_per_mille(faults.late_sync) {
            // Delayed: the answer may come long after its worker has tried another controller.
            let delay_us = self.rng.random_range(LATE_PEER_MESSAGE_MS) * US_PER_MS;
            let leader = self.current_process(leader);
            let delayed = Input::RelayedHeartbeat { heartbeat, relay };
            return self.deliver_at(at + delay_us, leader, delayed);
        }
        if lost {
            let unanswered = Input::RelayedAnswer {
                heartbeat: heartbeat.reference(),
                from: leader,
                answer: None,
            };
            self.deliver_at(gives_up_at, process, unanswered);
        } else {
            let leader = self.current_process(leader);
            let relayed = Input::RelayedHeartbeat { heartbeat, relay };
            self.deliver_at(at + slow_us, leader, relayed);
        }
    }

    /// Returns the leader's answer to a relayed heartbeat to the relay.
    pub(super) fn return_relayed_answer(
        &mut self,
        leader: usize,
        heartbeat: HeartbeatRef,
        relay: Caller,
        answer: HeartbeatAnswer,
    ) {
        let slow_us = self.draw_peer_delay(leader, relay.process.controller);
        let at = self.departure_time(leader) + self.network_delay() + slow_us;
        let (at, answer) = relay.outcome(at, Some(Box::new(answer)));
        let relayed = Input::RelayedAnswer {
            heartbeat,
            from: leader,
            answer,
        };
        self.deliver_at(at, relay.process, relayed);
    }

    /// Sends gossip about the availability of a controller's links to another controller.
    pub(super) fn send_gossip(
        &mut self,
        controller: usize,
        to: u16,
        gossip: AvailabilityGossip,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let peer = usize::from(to);
        let slow_us = self.draw_peer_delay(controller, peer);
        let gives_up_at = at + SYNC_TIMEOUT_MS * US_PER_MS;
        if self.peer_reachable(controller, peer) {
            let input = Input::Gossip {
                reply_to: Caller::over_link(process, slow_us, gives_up_at),
                gossip: Box::new(gossip),
            };
            self.deliver_at(at + slow_us, self.current_process(peer), input);
        } else {
            let unanswered = Input::GossipAnswer(to, None);
            self.deliver_at(gives_up_at, process, unanswered);
        }
    }

    /// Pulls the progress of a shard's jobs from its leader.
    pub(super) fn pull_progress(
        &mut self,
        controller: usize,
        to: u16,
        query: ProgressQuery,
        at: u64,
    ) {
        let process = self.current_process(controller);
        let peer = usize::from(to);
        let slow_us = self.draw_peer_delay(controller, peer);
        let gives_up_at = at + PULL_INTERVAL_MS * US_PER_MS;
        let sent_at_ms = self.now_ms();
        if self.peer_reachable(controller, peer) {
            let input = Input::ProgressQuery {
                reply_to: Caller::over_link(process, slow_us, gives_up_at),
                sent_at_ms,
                query,
            };
            self.deliver_at(at + slow_us, self.current_process(peer), input);
        } else {
            let unanswered = Input::ProgressAnswer {
                sent_at_ms,
                query,
                page: None,
            };
            self.deliver_at(gives_up_at, process, unanswered);
        }
    }

    /// Handles a message to a process that has ended: after the timeout of a sync request, its
    /// sender learns that no answer came. Messages that nobody waits for are dropped.
    pub(super) fn fail_unanswered(&mut self, controller: usize, input: Input) {
        let (caller, failed) = match input {
            Input::SyncRequest {
                reply_to: Some(caller),
                lease,
                request,
            } => (caller, Input::SyncResponse(lease, request.to_shard, None)),
            Input::ProgressQuery {
                reply_to,
                sent_at_ms,
                query,
            } => {
                let unanswered = Input::ProgressAnswer {
                    sent_at_ms,
                    query,
                    page: None,
                };
                (reply_to, unanswered)
            }
            Input::Gossip { reply_to, .. } => {
                (reply_to, Input::GossipAnswer(controller as u16, None))
            }
            Input::RelayedHeartbeat { heartbeat, relay } => (
                relay,
                Input::RelayedAnswer {
                    heartbeat: heartbeat.reference(),
                    from: controller,
                    answer: None,
                },
            ),
            _ => return,
        };
        self.deliver_in(SYNC_TIMEOUT_MS * US_PER_MS, caller.process, failed);
    }
}
