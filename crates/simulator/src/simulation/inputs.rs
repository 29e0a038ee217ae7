//! How a controller handles each message in its inbox.

use lemonweir_coordination::election::ElectionAction;
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::owner::SyncError;
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{HeartbeatAnswer, HeartbeatId, ShardLease};
use lemonweir_model::JobId;
use lemonweir_model::constants::TICK_MS;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, from_value};
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{self, SyncRequest};
use lemonweir_protocol::progress::ProgressQuery;
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{ImageLocationsRecord, TaskChunkRecord, parse_task_chunk_key};

use super::Simulation;
use super::duplicates::NO_MACHINE;
use super::state_reads::read_watched_keys;
use crate::clock::US_PER_MS;
use crate::controller::{Caller, CasOrigin, Input, RouteResult, SentHeartbeat, UserRequest};

impl Simulation {
    /// Handles one message from a controller's inbox; it is dropped if the controller is down.
    pub(super) fn handle_input(&mut self, number: usize, input: Input) {
        let now_ms = self.now_ms();
        let controller = &mut self.controllers[number];
        let Some(core) = controller.core.as_mut() else {
            return;
        };
        controller.flush_due = true;
        match input {
            Input::Tick => {}
            Input::Heartbeat(heartbeat) => self.handle_heartbeat(number, heartbeat),
            Input::RelayedHeartbeat { heartbeat, relay } => {
                let answer = core.handle_relayed_heartbeat(
                    &heartbeat.heartbeat,
                    relay.process.controller as u16,
                    now_ms,
                );
                self.return_relayed_answer(number, heartbeat.reference(), relay, answer);
                if heartbeat.machine != NO_MACHINE {
                    self.repeat_relayed_heartbeat(number, &heartbeat, relay);
                }
            }
            Input::RelayedAnswer {
                heartbeat,
                from,
                answer,
            } => {
                core.links
                    .record_peer_call(from as u16, answer.is_some(), now_ms);
                let answer = answer.map_or(HeartbeatAnswer::Unavailable, |answer| *answer);
                let at = self.departure_time(number) + self.network_delay();
                self.send_heartbeat_answer(at, number, heartbeat, answer);
            }
            Input::RouteResult(RouteResult {
                service,
                relay,
                bytes,
                served,
            }) => match relay {
                None => core
                    .links
                    .record_direct_call(service, bytes, served, now_ms),
                Some(relay) => core
                    .links
                    .record_relayed_call(service, relay, served, now_ms),
            },
            Input::Gossip { reply_to, gossip } => self.handle_gossip(number, reply_to, *gossip),
            Input::GossipAnswer(from, gossip) => {
                let answered = gossip.is_some();
                core.links
                    .gossip_completed(from, answered, gossip.map(|gossip| *gossip), now_ms);
            }
            Input::ProgressQuery {
                reply_to,
                sent_at_ms,
                query,
            } => self.handle_progress_query(number, reply_to, sent_at_ms, query),
            Input::ProgressAnswer {
                sent_at_ms,
                query,
                page,
            } => core.progress_pulled(&query, page.map(|page| *page), sent_at_ms, now_ms),
            Input::CommandResult(lease, call, result) => {
                core.command_completed(lease, &call, result, now_ms);
            }
            Input::SyncResponse(lease, to, view) => {
                core.sync_completed(lease, to, view.map(|view| *view), now_ms);
            }
            Input::Provisioned(lease, request, result) => {
                core.provisioning_completed(lease, &request, result, now_ms);
            }
            Input::Released(lease, names) => core.instances_released(lease, &names, true, now_ms),
            Input::InstancesListed(entries) => core.instances_listed(&entries, now_ms),
            Input::Superseded(by) => core.handle_superseded(by, now_ms),
            Input::WakeShard { shard, from } => core.handle_wake(shard, from),
            Input::JobAnnounced => self.request_state_read(number),
            Input::SyncRequest {
                reply_to,
                lease,
                request,
            } => self.handle_sync(number, reply_to, lease, &request),
            Input::StateRead { began_at, read } => self.apply_state_read(number, began_at, read),
            Input::ShardAcquired {
                lease,
                chunks,
                images,
            } => self.acquire_shard(number, lease, chunks, images),
            Input::StoreLease(answer) => self.handle_store_lease(number, answer),
            // The lease keeper asks again at its next step.
            Input::StoreLeaseUnknown => self.controllers[number].pending_lease_replies -= 1,
            Input::JobEndsRead(ids) => {
                self.load_job_ends(number, &ids);
                if let Some(core) = self.controllers[number].core.as_mut() {
                    core.final_states_read(&ids, now_ms);
                }
            }
            Input::Submit(id) => self.handle_submission(number, id),
            Input::Poll(id) => match core.job_status(&id, now_ms) {
                JobStatusAnswer::Unfinished(progress) => {
                    self.reply(number, id, Some(progress.phase), 200);
                }
                answer => self.answer_after_read(number, id, UserRequest::Query, answer),
            },
            Input::Withdraw(id) => {
                let answer = core.job_status(&id, now_ms);
                self.answer_after_read(number, id, UserRequest::Withdrawal, answer);
            }
            Input::CasResult {
                origin,
                cas,
                outcome,
                versions,
            } => self.cas_finished(number, origin, &cas, outcome, versions),
        }
    }

    fn handle_heartbeat(&mut self, number: usize, heartbeat: SentHeartbeat) {
        let now_ms = self.now_ms();
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        match core.handle_heartbeat(&heartbeat.heartbeat, now_ms) {
            HeartbeatAnswer::Relay(leader) => {
                self.relay_heartbeat(number, usize::from(leader), heartbeat);
            }
            HeartbeatAnswer::Held => {
                let id = HeartbeatId::of(&heartbeat.heartbeat);
                let held = &mut self.controllers[number].held_heartbeats;
                held.insert(id, heartbeat.reference());
            }
            answer => {
                let at = self.departure_time(number) + self.network_delay();
                self.send_heartbeat_answer(at, number, heartbeat.reference(), answer);
            }
        }
    }

    fn handle_gossip(&mut self, number: usize, reply_to: Caller, gossip: AvailabilityGossip) {
        let now_ms = self.now_ms();
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        let answer = Box::new(core.links.handle_gossip(gossip, now_ms));
        let slow_us = self.draw_peer_delay(number, reply_to.process.controller);
        let at = self.departure_time(number) + self.network_delay() + slow_us;
        let (at, answer) = reply_to.outcome(at, Some(answer));
        self.deliver_at(
            at,
            reply_to.process,
            Input::GossipAnswer(number as u16, answer),
        );
    }

    fn handle_progress_query(
        &mut self,
        number: usize,
        reply_to: Caller,
        sent_at_ms: u64,
        query: ProgressQuery,
    ) {
        let now_ms = self.now_ms();
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        let page = core.handle_progress_query(&query, now_ms).map(Box::new);
        let slow_us = self.draw_peer_delay(number, reply_to.process.controller);
        let at = self.departure_time(number) + self.network_delay() + slow_us;
        let (at, page) = reply_to.outcome(at, page);
        let answer = Input::ProgressAnswer {
            sent_at_ms,
            query,
            page,
        };
        self.deliver_at(at, reply_to.process, answer);
    }

    fn handle_sync(
        &mut self,
        number: usize,
        reply_to: Option<Caller>,
        lease: ShardLease,
        request: &SyncRequest,
    ) {
        let now_ms = self.now_ms();
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        let answer = core.handle_sync(request, now_ms);
        let Some(reply_to) = reply_to else { return };
        if answer.is_ok() {
            self.repeat_sync(number, lease, request);
        }
        let sender = reply_to.process;
        let slow_us = self.draw_peer_delay(number, sender.controller);
        if let Err(SyncError::Superseded(by)) = &answer
            && !self.controllers_partitioned(sender.controller, number)
        {
            let at = self.departure_time(number) + self.network_delay() + slow_us;
            if let (at, Some(by)) = reply_to.outcome(at, Some(by.clone())) {
                self.deliver_at(at, sender, Input::Superseded(by));
            }
        }
        let view = answer
            .ok()
            .filter(|_| !self.controllers_partitioned(sender.controller, number));
        if let Some(view) = &view {
            self.controllers[number].load.peer_bytes += peer::encoded_len(view) as u64;
        }
        let at = self.departure_time(number) + self.network_delay() + slow_us;
        let (at, view) = reply_to.outcome(at, view.map(Box::new));
        self.deliver_at(
            at,
            sender,
            Input::SyncResponse(lease, request.to_shard, view),
        );
    }

    /// Loads the records of an acquired shard into the core.
    fn acquire_shard(
        &mut self,
        number: usize,
        lease: ShardLease,
        chunks: Vec<KeyValue>,
        images: Vec<KeyValue>,
    ) {
        // The cached jobs must be at least as new as the shard's records, so the watched keys
        // are read now, or at a later tick if the store can't be reached.
        if !self.service_reachable(number, Service::Store) {
            let retry = Input::ShardAcquired {
                lease,
                chunks,
                images,
            };
            return self.deliver_in(TICK_MS * US_PER_MS, self.current_process(number), retry);
        }
        let chunks: Vec<(JobId, u32, TaskChunkRecord, u64)> = chunks
            .iter()
            .filter_map(|entry| {
                let (job, chunk) = parse_task_chunk_key(&entry.key)?;
                Some((job, chunk, read_chunk(&entry.value, chunk)?, entry.version))
            })
            .collect();
        let images = images
            .iter()
            .filter_map(|entry| from_value::<ImageLocationsRecord>(&entry.value))
            .collect();
        let now_ms = self.now_ms();
        self.controllers[number].pending_lease_replies -= 1;
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        read_watched_keys(&self.store, core.cache.revision).apply(&mut core.cache, now_ms);
        core.cache_refreshed(now_ms, true);
        let still_leader = core
            .cache
            .shard_leaders
            .get(&lease.shard)
            .is_some_and(|record| record.fencing_token == lease.token);
        if still_leader {
            core.acquire(lease, &chunks, images, now_ms);
        }
    }

    /// Handles the result of a compare-and-swap; an `outcome` of `None`: no answer came.
    fn cas_finished(
        &mut self,
        number: usize,
        origin: CasOrigin,
        cas: &CompareAndSwap,
        outcome: Option<CompareAndSwapOutcome>,
        versions: Vec<(String, u64)>,
    ) {
        let now_ms = self.now_ms();
        let controller = &mut self.controllers[number];
        let Some(core) = controller.core.as_mut() else {
            return;
        };
        match origin {
            CasOrigin::Scheduler(lease) => {
                for (key, version) in versions {
                    if let Some((job, chunk)) = parse_task_chunk_key(&key) {
                        core.chunk_reread(lease, &job, chunk, version);
                    }
                }
                core.cas_completed(
                    lease,
                    outcome.unwrap_or(CompareAndSwapOutcome::Indeterminate),
                    now_ms,
                );
            }
            CasOrigin::Unattended => {}
            CasOrigin::Dependencies => {
                core.dependency_cas_completed(
                    outcome.unwrap_or(CompareAndSwapOutcome::Indeterminate),
                    now_ms,
                );
                self.request_state_read(number);
            }
            CasOrigin::Membership(lease) => {
                controller.pending_lease_replies -= 1;
                controller.store_lease =
                    matches!(outcome, Some(CompareAndSwapOutcome::Committed(_))).then_some(lease);
            }
            CasOrigin::LeaseKeeper(action) => {
                controller.pending_lease_replies -= 1;
                // The core releases a shard only once the store has committed its release.
                if let (
                    Some(ElectionAction::ReturnToHome(lease) | ElectionAction::Cede(lease)),
                    Some(CompareAndSwapOutcome::Committed(_)),
                ) = (action, outcome)
                {
                    core.release(lease.shard, now_ms);
                }
                self.request_state_read(number);
            }
            CasOrigin::User(request) => self.user_cas_finished(number, request, cas, outcome),
        }
    }
}
