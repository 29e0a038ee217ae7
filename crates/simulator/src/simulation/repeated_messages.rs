//! Messages that are carried out and answered, and then carried out once more, as far as what
//! they say still fits. Nobody waits for the second answer.

use lemonweir_coordination::ShardLease;
use lemonweir_coordination::owner::CommandCall;
use lemonweir_model::JobId;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::peer::SyncRequest;
use lemonweir_protocol::worker::Heartbeat;
use rand::RngExt;

use super::Simulation;
use super::duplicates::NO_MACHINE;
use super::events::{CommandDelivery, CommandTiming, Event, StoreRequest};
use crate::controller::{Caller, Input, ProcessId, SentHeartbeat, UserRequest};
use crate::scenario::FaultKind;

impl Simulation {
    /// Draws after how many µs a message that has just been carried out is carried out once more.
    /// Draws nothing unless a fault repeats messages.
    fn draw_repeat_delay(&mut self) -> Option<u64> {
        let seconds = self.draw_affecting_fault(|kind| match kind {
            FaultKind::RepeatedMessages { seconds } => Some(*seconds),
            _ => None,
        })?;
        Some(self.rng.random_range(seconds.micros()))
    }

    /// Repeats commands that a machine has executed.
    pub(super) fn repeat_commands(
        &mut self,
        process: ProcessId,
        lease: ShardLease,
        call: &CommandCall,
    ) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            let delivery = CommandDelivery {
                lease,
                call: call.clone(),
                timing: CommandTiming::Repeated,
            };
            self.schedule_in(delay_us, Event::Commands(process, delivery));
        }
    }

    /// Repeats a heartbeat that a worker sends to a controller.
    pub(super) fn repeat_heartbeat(
        &mut self,
        machine: usize,
        heartbeat: &Heartbeat,
        controller: usize,
    ) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            self.schedule_duplicate(delay_us, machine, heartbeat, controller);
        }
    }

    /// Repeats a heartbeat that `relay` has relayed to a controller.
    pub(super) fn repeat_relayed_heartbeat(
        &mut self,
        controller: usize,
        heartbeat: &SentHeartbeat,
        relay: Caller,
    ) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            let heartbeat = SentHeartbeat {
                machine: NO_MACHINE,
                heartbeat: heartbeat.heartbeat.clone(),
                sent: heartbeat.sent,
            };
            let input = Input::RelayedHeartbeat { heartbeat, relay };
            self.schedule_repeat(delay_us, controller, input);
        }
    }

    /// Repeats a compare-and-swap, or the grant or renewal of a store lease.
    pub(super) fn repeat_store_request(&mut self, process: ProcessId, request: &StoreRequest) {
        if matches!(request, StoreRequest::StateRead { .. }) {
            return;
        }
        if let Some(delay_us) = self.draw_repeat_delay() {
            let copy = Event::StoreExecutes(process, request.clone(), None);
            self.schedule_in(delay_us, copy);
        }
    }

    /// Repeats a provisioning request, whatever its answer was.
    pub(super) fn repeat_provisioning(&mut self, request: &ProvisioningRequest) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            let copy = Event::RepeatedProvision(Box::new(request.clone()));
            self.schedule_in(delay_us, copy);
        }
    }

    /// Repeats a sync that a controller has applied.
    pub(super) fn repeat_sync(
        &mut self,
        controller: usize,
        lease: ShardLease,
        request: &SyncRequest,
    ) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            let input = Input::SyncRequest {
                reply_to: None,
                lease,
                request: Box::new(request.clone()),
            };
            self.schedule_repeat(delay_us, controller, input);
        }
    }

    /// Repeats a user's accepted submission or confirmed withdrawal, at any controller.
    pub(super) fn repeat_user_request(&mut self, id: &JobId, request: UserRequest) {
        if let Some(delay_us) = self.draw_repeat_delay() {
            let controller = self.rng.random_range(0..self.controllers.len());
            let input = match request {
                UserRequest::Query => Input::Submit(id.clone()),
                UserRequest::Withdrawal => Input::Withdraw(id.clone()),
            };
            self.schedule_repeat(delay_us, controller, input);
        }
    }

    fn schedule_repeat(&mut self, delay_us: u64, controller: usize, input: Input) {
        let event = Event::RepeatedInput(controller, Box::new(input));
        self.schedule_in(delay_us, event);
    }

    /// Delivers a repeated message to the process that runs on a controller by then.
    pub(super) fn deliver_repeat(&mut self, controller: usize, input: Input) {
        if self.controllers[controller].core.is_some() {
            self.enqueue(controller, input);
        }
    }
}
