//! Dispatches events to their handlers.

use super::events::{CommandTiming, Event};
use super::{Simulation, machine_number};
use crate::workload_state::GangSignal;

impl Simulation {
    pub(super) fn dispatch(&mut self, event: Event) {
        match event {
            Event::Deliver(process, input) if self.is_current(process) => {
                self.enqueue(process.controller, *input);
            }
            Event::Deliver(process, input) => self.fail_unanswered(process.controller, *input),
            Event::ProcessInbox(process) => {
                if self.is_current(process) {
                    self.process_inbox(process.controller);
                }
            }
            Event::Tick(process) => self.tick(process),
            Event::ReadState(process) => self.begin_state_read(process),
            Event::KeepLeases(process) => self.keep_leases(process),
            Event::ScheduleInstanceList(process) => self.schedule_instance_list(process),
            Event::StoreRequest(process, request, route) => {
                self.handle_store_request(process, request, route);
            }
            Event::StoreExecutes(process, request, answer_us) => {
                self.execute_store_request(process, request, answer_us);
            }
            Event::Commands(process, delivery) => self.deliver_commands(process, delivery),
            Event::WorkerWakes(number) => self.run_worker(number),
            Event::DuplicateHeartbeat {
                machine,
                controller,
                heartbeat,
            } => self.deliver_duplicate(machine, controller, *heartbeat),
            Event::HeartbeatAnswer(heartbeat, answer) => {
                self.handle_heartbeat_answer(heartbeat, *answer);
            }
            Event::GangSignal(signal) => self.handle_gang_signal(signal),
            Event::Provision(process, lease, request, route) => {
                self.provision(process, lease, *request, route);
            }
            Event::RepeatedProvision(request) => drop(self.provision_once(&request)),
            Event::RepeatedInput(controller, input) => self.deliver_repeat(controller, *input),
            Event::Release(process, lease, names, route) => {
                self.release_machines(process, lease, names, route);
            }
            Event::ListInstances(process, route) => self.list_instances(process, route),
            Event::Probe(process, service) => self.probe(process, service),
            Event::Submit(id, attempt) => self.user_submits(id, attempt),
            Event::Reply(reply) => self.user_receives(reply),
            Event::Poll(id) => self.user_polls(id),
            Event::Withdraw(id) => self.user_withdraws(id),
            Event::Boot(controller) => self.boot(controller),
            Event::Fault(i) => self.inject_fault(i),
            Event::LinkDown(link) => {
                self.links_down.insert(link);
            }
            Event::LinkUp(link) => {
                self.links_down.remove(&link);
            }
            Event::FaultOver(i, affected) => self.end_fault(i, &affected),
            Event::RemoveMachine(number) => self.remove_machine(number),
            Event::InvalidRequests(fault) => self.invalid_requests(fault),
            Event::Inspect => self.inspect(),
        }
    }

    fn handle_gang_signal(&mut self, signal: GangSignal) {
        let now = self.now;
        match signal {
            GangSignal::StopDeadline(id, at) if at > now => {
                self.schedule_at(at, Event::GangSignal(GangSignal::StopDeadline(id, at)));
            }
            GangSignal::StopDeadline(id, _) => {
                self.workload.stop_deadline_passed(&id, now);
                self.dispatch_gang_signals();
            }
            GangSignal::Start(number, ..)
            | GangSignal::PeerLost(number, ..)
            | GangSignal::Stopped(number, ..)
            | GangSignal::ProgressHalted(number, _) => {
                self.with_worker(number, |worker, workload| {
                    worker.handle_signal(signal, now, workload);
                });
            }
        }
    }
}

/// True if an event is the late delivery of commands to this machine.
pub(super) fn is_delayed_command_for(event: &Event, number: usize) -> bool {
    matches!(event, Event::Commands(_, delivery)
        if delivery.timing == CommandTiming::Late && machine_number(&delivery.call.machine) == number)
}
