//! The periodic inspection: expires store leases, checks the invariants that have deadlines,
//! and samples the fleet's metrics.

use super::Simulation;
use super::events::Event;
use crate::clock::{US_PER_MS, micros};

/// µs between two inspections.
pub(super) const INSPECTION_INTERVAL_US: u64 = 500 * US_PER_MS;

impl Simulation {
    pub(super) fn inspect(&mut self) {
        let now = self.now;
        self.store.expire_leases(now);
        self.workload.checker.check_cancellations(now);
        if self.fault_active() {
            self.last_fault_at = now;
        }
        self.workload.checker.check_answers(self.last_fault_at, now);
        self.check_starvation();
        self.metrics
            .sample_fleet(now, &self.workers, &self.cloud, &self.controllers);
        self.schedule_in(INSPECTION_INTERVAL_US, Event::Inspect);
    }

    /// True while a fault is active or its consequences may continue.
    fn fault_active(&self) -> bool {
        let now = self.now;
        now < micros(self.scenario.fault_effects_end_s())
            || self.store.down
            || self.cloud.down
            || !self.links_down.is_empty()
            || !self.partitioned_zones.is_empty()
            || self
                .controllers
                .iter()
                .any(|controller| controller.core.is_none() || controller.stalled_until > now)
            || self
                .workers
                .iter()
                .flatten()
                .any(|worker| worker.silent || worker.hung_until > now)
    }
}
