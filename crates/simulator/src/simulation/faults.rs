//! Fault injection: how the scenario's faults begin and end, and how active faults affect
//! messages.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use rand::RngExt;

use super::dispatch::is_delayed_command_for;
use super::events::Event;
use super::{BootDisturbance, Simulation};
use crate::clock::micros;
use crate::scenario::{Fault, FaultKind, Link, SecondsRange};

/// In a rolling restart, each controller is down for the interval between two restarts divided by
/// this.
const ROLLING_DOWN_ONE_IN: f64 = 3.0;
/// Share of the calls affected by [`FaultKind::DelayedCommands`] that arrive in time while their
/// answer is lost, per mille.
const ANSWER_LOST_PER_MILLE: u32 = 500;
/// A spot instance is reclaimed after its notice times a random factor: at least this, and at
/// most 1 more.
const MIN_NOTICE_SHARE: f64 = 0.5;

impl Simulation {
    // ---- begin -----------------------------------------------------------------

    pub(super) fn inject_fault(&mut self, i: usize) {
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[i];
        self.workload
            .history
            .record(self.now, "trouble", &fault.kind, &"");
        if fault.kind == FaultKind::RollingRestart {
            return self.begin_rolling_restart(i, micros(fault.for_s));
        }
        let affected = if fault.kind.affects_machines() {
            self.affect_machines(i, fault)
        } else {
            self.begin_fault(i, fault);
            Vec::new()
        };
        self.schedule_in(micros(fault.for_s), Event::FaultOver(i, affected));
    }

    fn begin_rolling_restart(&mut self, i: usize, step_us: u64) {
        for controller in 0..self.controllers.len() {
            self.schedule_in(
                step_us * controller as u64,
                Event::FaultOver(i, vec![controller]),
            );
        }
    }

    /// Begins a fault that does not affect a share of the machines.
    fn begin_fault(&mut self, i: usize, fault: &Fault) {
        let for_us = micros(fault.for_s);
        match &fault.kind {
            FaultKind::Crash {
                controller: Some(controller),
            } => self.crash(*controller, for_us),
            FaultKind::Crash { controller: None } => {
                (0..self.controllers.len()).for_each(|number| self.crash(number, for_us));
            }
            FaultKind::StoreDown => self.store.down = true,
            FaultKind::ReducedStoreLimits => self.store.lower_limits(&self.scenario.state),
            FaultKind::LinkDown(link) => self.take_link_down(link, fault),
            FaultKind::ControllerIsolated { controller } => {
                let links = self.store_and_peer_links(*controller);
                self.links_down.extend(links);
            }
            FaultKind::CloudDown => self.cloud.down = true,
            FaultKind::BootTime { factor, zone } => {
                self.boot_disturbance = Some(BootDisturbance {
                    factor: *factor,
                    failure_chance: fault.share,
                    zone: zone.clone(),
                });
            }
            FaultKind::PollLoad { factor } => self.poll_factor = *factor,
            FaultKind::ZonePartition { zone } => {
                self.partitioned_zones.insert(zone.clone());
            }
            FaultKind::ProcessStall { controller } => self.stall(*controller, for_us),
            // No machines are listed: losses in a zone also affect machines that are provisioned
            // there meanwhile, and the other faults are not tied to machines.
            FaultKind::InboundLoss { .. }
            | FaultKind::OutboundLoss { .. }
            | FaultKind::LateWrites { .. }
            | FaultKind::StoreSlow { .. }
            | FaultKind::DelayedCommands { .. }
            | FaultKind::SlowPeerLinks { .. }
            | FaultKind::RepeatedMessages { .. }
            | FaultKind::QueryBursts
            | FaultKind::CancelAtCompletion => {
                self.active_faults.insert(i, BTreeSet::new());
            }
            FaultKind::InvalidRequests => {
                self.active_faults.insert(i, BTreeSet::new());
                self.invalid_requests(i);
            }
            FaultKind::CancelBurst { count, hang_s } => self.cancel_burst(*count, micros(*hang_s)),
            FaultKind::RollingRestart
            | FaultKind::NetworkLoss
            | FaultKind::MachineHang
            | FaultKind::FaultyMachines
            | FaultKind::MachineLoss
            | FaultKind::MachineRestart
            | FaultKind::DelayedDuplicates { .. }
            | FaultKind::SpotReclaim { .. } => {}
        }
    }

    fn take_link_down(&mut self, link: &Link, fault: &Fault) {
        self.links_down.insert(link.clone());
        let (for_us, flap_us) = (micros(fault.for_s), micros(fault.flap_interval_s));
        for n in (1..).take_while(|n| flap_us > 0 && n * flap_us < for_us) {
            let change = if n % 2 == 0 {
                Event::LinkDown(link.clone())
            } else {
                Event::LinkUp(link.clone())
            };
            self.schedule_in(n * flap_us, change);
        }
    }

    fn stall(&mut self, number: usize, for_us: u64) {
        let until = self.now + for_us;
        let controller = &mut self.controllers[number];
        controller.stalled_until = until;
        controller.busy_until = controller.busy_until.max(until);
    }

    /// Begins a fault on its share of the machines, and returns those.
    fn affect_machines(&mut self, i: usize, fault: &Fault) -> Vec<usize> {
        let spot_only = matches!(fault.kind, FaultKind::SpotReclaim { .. });
        let up: Vec<usize> = self
            .workers
            .iter()
            .flatten()
            .filter(|worker| worker.up_at <= self.now && (worker.spot || !spot_only))
            .map(|worker| worker.number)
            .collect();
        let affected: Vec<usize> = up
            .into_iter()
            .filter(|_| self.rng.random::<f64>() < fault.share)
            .collect();
        if matches!(
            fault.kind,
            FaultKind::DelayedDuplicates { .. }
                | FaultKind::InboundLoss { .. }
                | FaultKind::OutboundLoss { .. }
        ) {
            self.active_faults
                .insert(i, affected.iter().copied().collect());
        }
        for &number in &affected {
            self.affect_machine(number, &fault.kind, micros(fault.for_s));
        }
        affected
    }

    pub(super) fn affect_machine(&mut self, number: usize, kind: &FaultKind, for_us: u64) {
        let now = self.now;
        match kind {
            FaultKind::NetworkLoss => {
                self.with_worker(number, |worker, _| worker.silent = true);
            }
            FaultKind::MachineLoss => self.remove_machine(number),
            FaultKind::MachineRestart => {
                // Delayed commands end with their connection to the earlier incarnation; repeated
                // ones may reach the next (statement 12 of `docs/design.md`).
                self.queue
                    .retain(|Reverse(scheduled)| !is_delayed_command_for(&scheduled.event, number));
                self.with_worker(number, |worker, workload| worker.restart(now, workload));
            }
            FaultKind::FaultyMachines => {
                self.with_worker(number, |worker, _| worker.faulty = true);
            }
            FaultKind::MachineHang => {
                self.with_worker(number, |worker, workload| {
                    worker.hang(now, now + for_us, workload);
                });
            }
            FaultKind::SpotReclaim { notice_s } => {
                let share = MIN_NOTICE_SHARE + self.rng.random::<f64>();
                let at = now + (notice_s * 1e6 * share) as u64;
                self.with_worker(number, |worker, _| {
                    worker.reclaim_at = (*notice_s > 0.0).then_some(at);
                });
                self.schedule_at(at, Event::RemoveMachine(number));
            }
            _ => {}
        }
    }

    // ---- end -------------------------------------------------------------------

    pub(super) fn end_fault(&mut self, i: usize, affected: &[usize]) {
        let scenario = self.scenario.clone();
        let fault = &scenario.faults[i];
        match &fault.kind {
            FaultKind::RollingRestart => {
                let down_us = (fault.for_s * 1e6 / ROLLING_DOWN_ONE_IN) as u64;
                affected
                    .iter()
                    .for_each(|&controller| self.crash(controller, down_us));
            }
            FaultKind::StoreDown => self.store.recover(self.now),
            FaultKind::LinkDown(link) => {
                self.links_down.remove(link);
            }
            FaultKind::ControllerIsolated { controller } => {
                let links = self.store_and_peer_links(*controller);
                self.links_down.retain(|link| !links.contains(link));
            }
            FaultKind::InboundLoss { .. }
            | FaultKind::DelayedDuplicates { .. }
            | FaultKind::OutboundLoss { .. }
            | FaultKind::QueryBursts
            | FaultKind::CancelAtCompletion
            | FaultKind::InvalidRequests
            | FaultKind::LateWrites { .. }
            | FaultKind::StoreSlow { .. }
            | FaultKind::DelayedCommands { .. }
            | FaultKind::RepeatedMessages { .. }
            | FaultKind::SlowPeerLinks { .. } => {
                self.active_faults.remove(&i);
            }
            FaultKind::CloudDown => self.cloud.down = false,
            FaultKind::BootTime { .. } => self.boot_disturbance = None,
            FaultKind::PollLoad { .. } => self.poll_factor = 1.0,
            FaultKind::ZonePartition { zone } => {
                self.partitioned_zones.remove(zone);
            }
            FaultKind::NetworkLoss => affected.iter().for_each(|&number| {
                self.with_worker(number, |worker, _| worker.silent = false);
            }),
            FaultKind::Crash { .. }
            | FaultKind::ProcessStall { .. }
            | FaultKind::MachineLoss
            | FaultKind::MachineHang
            | FaultKind::FaultyMachines
            | FaultKind::MachineRestart
            | FaultKind::SpotReclaim { .. }
            | FaultKind::CancelBurst { .. }
            | FaultKind::ReducedStoreLimits => {}
        }
    }

    fn store_and_peer_links(&self, controller: usize) -> Vec<Link> {
        let others = (0..self.controllers.len())
            .filter(|&other| other != controller)
            .map(|other| Link::between(other, controller));
        others.chain([Link::Store(controller)]).collect()
    }

    // ---- effects of active faults on messages ----------------------------------

    /// The kinds of the active faults that affect a machine.
    pub(super) fn faults_on(&self, number: usize) -> impl Iterator<Item = &FaultKind> {
        let zone = self.worker(number).map(|worker| &worker.zone);
        let in_zone = move |kind: &FaultKind| match kind {
            FaultKind::InboundLoss {
                zone: Some(name), ..
            }
            | FaultKind::OutboundLoss { zone: Some(name) } => Some(name) == zone,
            _ => false,
        };
        let faults = self
            .active_faults
            .iter()
            .map(|(i, machines)| (&self.scenario.faults[*i].kind, machines));
        faults
            .filter(move |(kind, machines)| machines.contains(&number) || in_zone(kind))
            .map(|(kind, _)| kind)
    }

    /// Draws the delay of a call to a machine or of an answer to its heartbeat, µs; 0: it
    /// arrives at once, and the machine's answer to a call is lost. `None`: no fault affects it.
    pub(super) fn draw_call_delay(&mut self) -> Option<u64> {
        let seconds = self.draw_affecting_fault(|kind| match kind {
            FaultKind::DelayedCommands { seconds } => Some(*seconds),
            _ => None,
        })?;
        self.delayed_calls += 1;
        Some(if self.draw_per_mille(ANSWER_LOST_PER_MILLE) {
            0
        } else {
            self.rng.random_range(seconds.micros())
        })
    }

    /// Draws whether a message is affected by one of the active faults that `delays` gives delays
    /// for, each with the probability of its share. Returns the delays of the first that affects
    /// it. Draws nothing unless there is such a fault.
    pub(super) fn draw_affecting_fault(
        &mut self,
        delays: impl Fn(&FaultKind) -> Option<SecondsRange>,
    ) -> Option<SecondsRange> {
        let scenario = self.scenario.clone();
        for i in self.active_faults.keys().copied().collect::<Vec<_>>() {
            let fault = &scenario.faults[i];
            if let Some(seconds) = delays(&fault.kind)
                && self.rng.random::<f64>() < fault.share
            {
                return Some(seconds);
            }
        }
        None
    }

    /// Draws the additional delay of a message from one controller to another, µs. Draws nothing
    /// unless a fault makes their link slow.
    pub(super) fn draw_peer_delay(&mut self, a: usize, b: usize) -> u64 {
        let ranges: Vec<_> = self
            .active_faults
            .keys()
            .filter_map(|i| match self.scenario.faults[*i].kind {
                FaultKind::SlowPeerLinks {
                    controller,
                    seconds,
                } if controller.is_none_or(|only| only == a || only == b) => Some(seconds.micros()),
                _ => None,
            })
            .collect();
        let delays = ranges.into_iter().map(|range| self.rng.random_range(range));
        delays.sum()
    }

    /// True if a controller's answer to a machine's heartbeat is lost.
    pub(super) fn answer_dropped(&self, sender: usize, number: usize) -> bool {
        self.faults_on(number).any(|kind| {
            matches!(kind, FaultKind::InboundLoss { controller, answers: true, .. }
                if controller.is_none_or(|only| only == sender))
        })
    }

    /// True if a controller's commands to a machine are lost.
    pub(super) fn command_dropped(&self, sender: usize, number: usize) -> bool {
        self.faults_on(number).any(|kind| {
            matches!(kind, FaultKind::InboundLoss { controller, commands: true, .. }
                if controller.is_none_or(|only| only == sender))
        })
    }

    /// True if a machine's heartbeats reach no controller; its answers to commands still do.
    pub(super) fn outbound_lost(&self, number: usize) -> bool {
        self.faults_on(number)
            .any(|kind| matches!(kind, FaultKind::OutboundLoss { .. }))
    }
}
