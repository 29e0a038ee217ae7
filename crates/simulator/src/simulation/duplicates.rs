//! Duplicated heartbeats: copies that arrive much later, or under a shard's next leader.

use lemonweir_protocol::worker::Heartbeat;
use rand::RngExt;

use super::Simulation;
use super::events::Event;
use crate::controller::{Input, SentHeartbeat};
use crate::scenario::FaultKind;

/// Share of the heartbeats of which a copy is retained for the next leader, per mille.
const RETAINED_PER_MILLE: u32 = 250;
/// Maximum number of retained copies of one machine's heartbeats.
const RETAINED_PER_MACHINE: usize = 3;
/// Share of the late copies that reach the controller that their worker then reports to,
/// instead of the one that they were sent to, per mille.
const REROUTED_PER_MILLE: u32 = 500;
/// Machine number of a copied heartbeat. No machine has it, so that answers are discarded.
pub(super) const NO_MACHINE: usize = 0;

impl Simulation {
    /// Retains a copy of a heartbeat for the next leader, with a probability of
    /// [`RETAINED_PER_MILLE`]. Once a machine has [`RETAINED_PER_MACHINE`] copies, these stay and
    /// new ones are dropped.
    fn retain_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let retained = self
            .retained_heartbeats
            .iter()
            .filter(|retained| retained.machine == heartbeat.machine)
            .count();
        if retained < RETAINED_PER_MACHINE && self.draw_per_mille(RETAINED_PER_MILLE) {
            self.retained_heartbeats.push(heartbeat.clone());
        }
    }

    /// Delivers the retained copies of heartbeats to every controller. Called when a shard has a
    /// new leader.
    pub(super) fn deliver_retained_heartbeats(&mut self) {
        let retained_copy_delay = |kind: &FaultKind| match kind {
            FaultKind::DelayedDuplicates {
                seconds,
                retained: true,
            } => Some(seconds.micros()),
            _ => None,
        };
        let mut kinds = self.scenario.faults.iter().map(|fault| &fault.kind);
        let Some(delays) = kinds.find_map(retained_copy_delay) else {
            return;
        };
        for heartbeat in std::mem::take(&mut self.retained_heartbeats) {
            for controller in 0..self.controllers.len() {
                let at = self.now + self.rng.random_range(delays.clone());
                self.duplicates_delivered += 1;
                let copy = SentHeartbeat {
                    machine: NO_MACHINE,
                    heartbeat: heartbeat.clone(),
                    sent: at,
                };
                self.deliver_at(at, self.current_process(controller), Input::Heartbeat(copy));
            }
        }
    }

    /// Schedules or retains copies of a heartbeat, as the active faults of its machine say.
    pub(super) fn duplicate_heartbeat(
        &mut self,
        machine: usize,
        heartbeat: &Heartbeat,
        controller: usize,
    ) {
        if self
            .faults_on(machine)
            .any(|kind| matches!(kind, FaultKind::DelayedDuplicates { retained: true, .. }))
        {
            self.retain_heartbeat(heartbeat);
        }
        let delay = |kind: &FaultKind| match kind {
            FaultKind::DelayedDuplicates {
                seconds,
                retained: false,
            } => Some(seconds.micros()),
            _ => None,
        };
        for delays in self
            .faults_on(machine)
            .filter_map(delay)
            .collect::<Vec<_>>()
        {
            let delay_us = self.rng.random_range(delays);
            self.schedule_duplicate(delay_us, machine, heartbeat, controller);
        }
    }

    /// Schedules a copy of a heartbeat that was sent to a controller.
    pub(super) fn schedule_duplicate(
        &mut self,
        delay_us: u64,
        machine: usize,
        heartbeat: &Heartbeat,
        controller: usize,
    ) {
        let copy = Event::DuplicateHeartbeat {
            machine,
            controller,
            heartbeat: Box::new(heartbeat.clone()),
        };
        self.schedule_in(delay_us, copy);
    }

    /// Delivers a copy of a heartbeat to the controller that it was sent to, in any
    /// incarnation, or to the one that its worker reports to now.
    pub(super) fn deliver_duplicate(
        &mut self,
        machine: usize,
        controller: usize,
        heartbeat: Heartbeat,
    ) {
        let current = self
            .worker(machine)
            .map_or(controller, |worker| worker.controller);
        let down = self.controllers[controller].core.is_none();
        let to = if down || self.draw_per_mille(REROUTED_PER_MILLE) {
            current
        } else {
            controller
        };
        self.duplicates_delivered += 1;
        self.workload
            .history
            .record(self.now, "late copy", &heartbeat.machine, &to);
        let copy = SentHeartbeat {
            machine: NO_MACHINE,
            heartbeat,
            sent: self.now,
        };
        self.enqueue(to, Input::Heartbeat(copy));
    }
}
