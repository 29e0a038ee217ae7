//! The lease keeper: a controller's loop that renews its store lease and bids for shards, one
//! step at a time.

use lemonweir_coordination::election::ElectionAction;
use lemonweir_model::constants::{STORE_LEASE_RENEWAL_MS, TICK_MS};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::Service;
use lemonweir_storage::records::{assign_teams, register_controller};

use super::Simulation;
use super::events::{Event, StoreRequest};
use crate::clock::US_PER_MS;
use crate::controller::{CasOrigin, ProcessId};
use crate::scenario::host_name;

/// µs between two steps of the loop.
const STEP_US: u64 = 2 * TICK_MS * US_PER_MS;

/// What the store is asked for in one step of the loop.
struct LeaseStep {
    assigned_teams: Option<CompareAndSwap>,
    raised_version: Option<CompareAndSwap>,
    bid: Option<(ElectionAction, CompareAndSwap)>,
    /// Ceded shards to publish, if the controller's membership entry differs or is missing.
    unpublished_ceded: Option<Vec<u16>>,
}

impl Simulation {
    pub(super) fn keep_leases(&mut self, process: ProcessId) {
        let (now, number) = (self.now, process.controller);
        let until = self.controllers[number].stalled_until;
        if until > now {
            // A stalled process takes the step once the stall is over.
            return self.schedule_at(until, Event::KeepLeases(process));
        }
        if !self.is_current(process) {
            return;
        }
        self.schedule_in(STEP_US, Event::KeepLeases(process));
        let controller = &self.controllers[number];
        let cache_is_empty = controller
            .core
            .as_ref()
            .is_none_or(|core| core.cache.revision.is_none());
        if controller.pending_lease_replies > 0 || cache_is_empty {
            return;
        }
        let store_lease = controller.store_lease;
        let renewal_due = now >= controller.lease_renewed_at + STORE_LEASE_RENEWAL_MS * US_PER_MS;
        if store_lease.is_none() || renewal_due {
            self.request_store_lease(process, store_lease);
        }
        let Some(store_lease) = store_lease else {
            return;
        };
        if let Some(step) = self.plan_lease_step(number, store_lease) {
            self.send_lease_step(number, store_lease, step);
        }
    }

    fn request_store_lease(&mut self, process: ProcessId, store_lease: Option<u64>) {
        self.controllers[process.controller].pending_lease_replies += 1;
        let at = self.now + self.network_delay();
        let route = self.route(process.controller, Service::Store, 0);
        self.schedule_at(
            at,
            Event::StoreRequest(process, StoreRequest::StoreLease(store_lease), route),
        );
    }

    fn plan_lease_step(&mut self, number: usize, store_lease: u64) -> Option<LeaseStep> {
        let now_ms = self.now_ms();
        let controller = &mut self.controllers[number];
        let core = controller.core.as_ref()?;
        let teams = core.unassigned_teams();
        let raised_version = core.records_version_cas();
        let unpublished_ceded = controller.election.unpublished_ceded(core, now_ms);
        let bids: Vec<ElectionAction> = (0..controller.election.shards())
            .filter_map(|shard| controller.election.next_action(core, shard, now_ms))
            .collect();
        let ceded = controller.election.ceded(core, now_ms);
        // One bid at a time, since its result decides what to bid for next.
        let bid = bids
            .first()
            .map(|bid| (*bid, core.election_cas(bid, store_lease, ceded, now_ms)));
        Some(LeaseStep {
            assigned_teams: (!teams.is_empty()).then(|| assign_teams(&teams)),
            raised_version,
            bid,
            unpublished_ceded,
        })
    }

    fn send_lease_step(&mut self, number: usize, store_lease: u64, step: LeaseStep) {
        for cas in [step.assigned_teams, step.raised_version]
            .into_iter()
            .flatten()
        {
            self.send_lease_cas(number, None, cas);
        }
        if let Some((bid, cas)) = step.bid {
            self.send_lease_cas(number, Some(bid), cas);
        } else if let Some(ceded) = step.unpublished_ceded {
            let cas = self.membership_cas(number, store_lease, ceded);
            self.send_lease_cas(number, None, cas);
        }
    }

    /// Sends a compare-and-swap whose result the loop waits for.
    fn send_lease_cas(
        &mut self,
        controller: usize,
        bid: Option<ElectionAction>,
        cas: CompareAndSwap,
    ) {
        self.controllers[controller].pending_lease_replies += 1;
        self.send_cas(controller, CasOrigin::LeaseKeeper(bid), cas);
    }

    /// The compare-and-swap that writes the controller's membership entry.
    fn membership_cas(
        &self,
        controller: usize,
        store_lease: u64,
        ceded: Vec<u16>,
    ) -> CompareAndSwap {
        register_controller(
            &host_name(controller),
            self.scenario.controller_zone(controller),
            store_lease,
            ceded,
        )
    }

    /// Handles the store's answer: a renewed or expired store lease, or a new one, which takes
    /// effect once the controller's membership entry is written under it.
    pub(super) fn handle_store_lease(&mut self, number: usize, answer: Option<u64>) {
        let (now, now_ms) = (self.now, self.now_ms());
        let controller = &mut self.controllers[number];
        controller.pending_lease_replies -= 1;
        controller.lease_renewed_at = now;
        match (controller.store_lease, answer, controller.core.as_ref()) {
            (None, Some(lease), Some(core)) => {
                let ceded = controller.election.ceded(core, now_ms);
                controller.pending_lease_replies += 1;
                let cas = self.membership_cas(number, lease, ceded);
                self.send_cas(number, CasOrigin::Membership(lease), cas);
            }
            _ => controller.store_lease = answer,
        }
    }
}
