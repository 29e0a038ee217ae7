//! Requests to the state service: when they are executed, and how they are answered.

use std::ops::Range;

use lemonweir_coordination::election::ElectionAction;
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{ShardLease, keys_to_reread};
use lemonweir_model::JobId;
use lemonweir_model::constants::{STORE_LEASE_TTL_MS, STORE_TIMEOUT_MS, TICK_MS};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_storage::records::{image_locations_prefix, task_chunks_prefix};
use rand::RngExt;

use super::Simulation;
use super::events::{Event, StoreRequest};
use super::routes::ServiceRoute;
use super::state_reads::read_watched_keys;
use crate::clock::US_PER_MS;
use crate::controller::{CasOrigin, Input, ProcessId, StateRead};
use crate::scenario::{FaultKind, LATE_WRITE_DELAY};
use crate::store::CasAnswer;

/// µs for which a controller waits for an answer of the store.
const REQUEST_TIMEOUT_US: u64 = STORE_TIMEOUT_MS * US_PER_MS;
/// µs by which the answer to a refused compare-and-swap of the core is held back, so that the
/// core waits before it tries again.
const REFUSED_CAS_WAIT_US: u64 = 2 * TICK_MS * US_PER_MS;
/// Delay of the execution of a compare-and-swap that a message fault makes late, ms.
const LATE_CAS_MS: Range<u64> = 3_000..30_000;

/// Delays of the store for one request.
#[derive(Clone, Copy)]
struct StoreDelays {
    /// µs until it executes the request.
    execution_us: u64,
    /// µs from its execution until the answer; `None`: the answer is lost.
    answer_us: Option<u64>,
}

impl StoreRequest {
    /// The input that its controller gets when no answer comes.
    fn unanswered(&self) -> Input {
        match self {
            StoreRequest::CompareAndSwap(origin, cas) => Input::CasResult {
                origin: origin.clone(),
                cas: (**cas).clone(),
                outcome: None,
                versions: Vec::new(),
            },
            StoreRequest::StateRead { began_at, .. } => Input::StateRead {
                began_at: *began_at,
                read: StateRead::Unavailable,
            },
            StoreRequest::StoreLease(_) => Input::StoreLeaseUnknown,
        }
    }

    fn is_from_scheduler(&self) -> bool {
        matches!(
            self,
            StoreRequest::CompareAndSwap(CasOrigin::Scheduler(_), _)
        )
    }
}

impl Simulation {
    /// Handles a request that reaches the store. Its controller stops waiting after a timeout;
    /// the request is executed all the same, even if the controller is down by then.
    pub(super) fn handle_store_request(
        &mut self,
        process: ProcessId,
        request: StoreRequest,
        route: ServiceRoute,
    ) {
        let reachable = self.route_works(process.controller, route);
        let delays = if reachable {
            let delays = self.store_delays(&request);
            self.add_relay_delays(delays, process.controller, route)
        } else {
            StoreDelays {
                execution_us: 0,
                answer_us: Some(0),
            }
        };
        let answer_us = delays
            .answer_us
            .filter(|answer_us| delays.execution_us + answer_us < REQUEST_TIMEOUT_US);
        self.report_route_result(
            process,
            route,
            reachable && answer_us.is_some(),
            answer_us.map_or(REQUEST_TIMEOUT_US, |answer_us| {
                delays.execution_us + answer_us
            }),
        );
        if !reachable || !self.store.admit(request.writes(), self.now) {
            return self.refuse_store_request(process, request);
        }
        if answer_us.is_none() {
            self.deliver_in(REQUEST_TIMEOUT_US, process, request.unanswered());
        }
        if delays.execution_us == 0 {
            self.execute_store_request(process, request, answer_us);
        } else {
            self.schedule_in(
                delays.execution_us,
                Event::StoreExecutes(process, request, answer_us),
            );
        }
    }

    /// Refuses a request. For a compare-and-swap of the core, the answer comes late enough that
    /// the core waits before it tries again.
    fn refuse_store_request(&mut self, process: ProcessId, request: StoreRequest) {
        let wait_us = if request.is_from_scheduler() {
            REFUSED_CAS_WAIT_US
        } else {
            0
        };
        let input = match request {
            StoreRequest::CompareAndSwap(origin, cas) => Input::CasResult {
                origin,
                cas: *cas,
                outcome: Some(CompareAndSwapOutcome::Indeterminate),
                versions: Vec::new(),
            },
            other => other.unanswered(),
        };
        let at = self.now + wait_us + self.network_delay();
        self.deliver_at(at, process, input);
    }

    /// Draws the store's delays for a request under message faults and active faults.
    fn store_delays(&mut self, request: &StoreRequest) -> StoreDelays {
        let mut delays = self.delays_by_message_faults(request);
        let scenario = self.scenario.clone();
        for i in self.active_faults.keys().copied().collect::<Vec<_>>() {
            let fault = &scenario.faults[i];
            match fault.kind {
                FaultKind::StoreSlow { seconds } => {
                    let total_us = self.rng.random_range(seconds.micros());
                    let execution_us = self.rng.random_range(0..=total_us);
                    delays.execution_us += execution_us;
                    delays.answer_us = delays.answer_us.map(|us| us + total_us - execution_us);
                }
                FaultKind::LateWrites {
                    execute_immediately,
                } if request.writes() > 0 && self.rng.random::<f64>() < fault.share => {
                    if !execute_immediately {
                        delays.execution_us += self.rng.random_range(LATE_WRITE_DELAY.micros());
                    }
                    delays.answer_us = None;
                    self.late_writes += 1;
                }
                _ => {}
            }
        }
        delays
    }

    /// Adds the delays of the links to and from the controller that relays a request.
    fn add_relay_delays(
        &mut self,
        delays: StoreDelays,
        controller: usize,
        route: ServiceRoute,
    ) -> StoreDelays {
        let Some(relay) = route.relay() else {
            return delays;
        };
        let request_us = self.draw_peer_delay(controller, relay);
        let answer_us = self.draw_peer_delay(relay, controller);
        StoreDelays {
            execution_us: delays.execution_us + request_us,
            answer_us: delays.answer_us.map(|us| us + answer_us),
        }
    }

    fn delays_by_message_faults(&mut self, request: &StoreRequest) -> StoreDelays {
        let faults = self.scenario.message_faults;
        let from_scheduler = request.is_from_scheduler();
        if from_scheduler && self.draw_per_mille(faults.late_cas) {
            return StoreDelays {
                execution_us: self.rng.random_range(LATE_CAS_MS) * US_PER_MS,
                answer_us: None,
            };
        }
        let lost = from_scheduler && self.draw_per_mille(faults.lost_cas_reply);
        StoreDelays {
            execution_us: 0,
            answer_us: (!lost).then_some(0),
        }
    }

    /// Executes a request on the store, and sends the answer after `answer_us`; `None`: the answer
    /// is lost.
    pub(super) fn execute_store_request(
        &mut self,
        process: ProcessId,
        request: StoreRequest,
        answer_us: Option<u64>,
    ) {
        let now = self.now;
        if answer_us.is_some() {
            self.repeat_store_request(process, &request);
        }
        let answer = match request {
            StoreRequest::StateRead { after, began_at } => Input::StateRead {
                began_at,
                read: read_watched_keys(&self.store, after),
            },
            StoreRequest::StoreLease(Some(lease)) => {
                Input::StoreLease(self.store.renew_lease(lease, now).then_some(lease))
            }
            StoreRequest::StoreLease(None) => {
                Input::StoreLease(Some(self.store.grant_lease(STORE_LEASE_TTL_MS, now)))
            }
            StoreRequest::CompareAndSwap(origin, cas) => self.execute_cas(origin, *cas),
        };
        if let Some(answer_us) = answer_us {
            let at = now + answer_us + self.network_delay();
            self.deliver_at(at, process, answer);
        }
    }

    fn execute_cas(&mut self, origin: CasOrigin, cas: CompareAndSwap) -> Input {
        let mut versions = Vec::new();
        let outcome = match self.store.compare_and_swap(&cas) {
            CasAnswer::LeaseExpired => CompareAndSwapOutcome::Indeterminate,
            CasAnswer::TooLarge => CompareAndSwapOutcome::Rejected,
            CasAnswer::Conflict(keys) => {
                if let CasOrigin::Scheduler(lease) = origin {
                    versions = self.reread_versions(lease, &keys);
                }
                CompareAndSwapOutcome::Conflict(keys)
            }
            CasAnswer::Committed(revision) => {
                self.workload.checker.cas_committed(&cas, self.now);
                self.metrics.cas_committed(&cas, self.now);
                self.record_job_ends(&cas, revision);
                CompareAndSwapOutcome::Committed(revision)
            }
        };
        if let (
            CasOrigin::LeaseKeeper(Some(ElectionAction::Acquire { shard, .. })),
            CompareAndSwapOutcome::Committed(token),
        ) = (&origin, &outcome)
        {
            let lease = ShardLease {
                shard: *shard,
                token: *token,
            };
            return self.shard_acquired(lease);
        }
        Input::CasResult {
            origin,
            cas,
            outcome: Some(outcome),
            versions,
        }
    }

    /// The current versions of the keys that the core reads again after a conflict.
    fn reread_versions(&self, lease: ShardLease, keys: &[String]) -> Vec<(String, u64)> {
        let version = |key: &str| self.store.get(key).map_or(0, |(_, version)| version);
        keys_to_reread(lease, keys)
            .into_iter()
            .map(|key| (key.to_owned(), version(key)))
            .collect()
    }

    /// Handles the acquisition of a shard: the answer to its new leader holds its records.
    fn shard_acquired(&mut self, lease: ShardLease) -> Input {
        self.deliver_retained_heartbeats();
        Input::ShardAcquired {
            lease,
            chunks: self.store.list(&task_chunks_prefix(lease.shard)),
            images: self.store.list(&image_locations_prefix(lease.shard)),
        }
    }

    fn record_job_ends(&mut self, cas: &CompareAndSwap, revision: u64) {
        for write in &cas.writes {
            if let Write::Put { key, .. } = write
                && let Some(id) = key.strip_prefix("end/").map(JobId::from)
            {
                self.workload
                    .history
                    .record(self.now, "ended", &id, &revision);
                self.metrics.job_ended(&id, self.now);
            }
        }
    }
}
