//! Workers: their heartbeats, the answers to them, and the commands sent to workers.

use lemonweir_coordination::HeartbeatAnswer;
use lemonweir_coordination::owner::CommandResult;
use lemonweir_model::constants::COMMAND_TIMEOUT_MS;
use lemonweir_protocol::worker::{Heartbeat, HeartbeatResponse};
use rand::RngExt;

use super::events::{CommandDelivery, CommandTiming, Event};
use super::{Simulation, machine_number};
use crate::clock::{NEVER_US, US_PER_MS};
use crate::controller::{HeartbeatRef, Input, ProcessId, SentHeartbeat};
use crate::scenario::host_name;
use crate::worker::{ReceivedAnswer, Worker};
use crate::workload_state::WorkloadState;

/// µs after which a worker tries the next controller if its own is down or unavailable, or if a
/// fault drops its heartbeat.
const NEXT_CONTROLLER_AFTER_REFUSAL_US: u64 = 1_000 * US_PER_MS;
/// µs after which a worker tries the next controller if its own does not respond: a timeout
/// of 4 s, and 1 s until the next heartbeat.
const NEXT_CONTROLLER_AFTER_TIMEOUT_US: u64 = 5_000 * US_PER_MS;
/// µs after which a worker follows a redirect.
const REDIRECT_DELAY_US: u64 = 100 * US_PER_MS;
/// Shortest heartbeat interval as a share of the configured one, and by how much the longest
/// exceeds it.
const MIN_INTERVAL_SHARE: f64 = 0.75;
const INTERVAL_SHARE_RANGE: f64 = 0.5;

/// A heartbeat that a worker is about to send.
struct OutgoingHeartbeat {
    heartbeat: Heartbeat,
    controller: usize,
    /// True if the machine has lost its network connection: the heartbeat is not sent.
    silent: bool,
}

impl Simulation {
    /// Schedules a worker's next event, if it comes before the scheduled one.
    pub(super) fn schedule_worker(&mut self, number: usize) {
        let Some(worker) = self.workers.get_mut(number).and_then(Option::as_mut) else {
            return;
        };
        let at = worker.next_event().max(self.now);
        if at < worker.wake_at && at != NEVER_US {
            worker.wake_at = at;
            self.schedule_at(at, Event::WorkerWakes(number));
        }
    }

    /// Schedules the pending signals to other machines of gangs, and handles the jobs that have
    /// just completed.
    pub(super) fn dispatch_gang_signals(&mut self) {
        for signal in std::mem::take(&mut self.workload.signals) {
            self.schedule_in(0, Event::GangSignal(signal));
        }
        let completed = std::mem::take(&mut self.workload.completed);
        self.jobs_completed(completed);
    }

    /// Runs `work` on a worker, then reschedules the worker and dispatches the gang signals that
    /// result. `None` if the machine is gone.
    pub(super) fn with_worker<T>(
        &mut self,
        number: usize,
        work: impl FnOnce(&mut Worker, &mut WorkloadState) -> T,
    ) -> Option<T> {
        let mut worker = self.workers.get_mut(number)?.take()?;
        let result = work(&mut worker, &mut self.workload);
        self.workers[number] = Some(worker);
        self.schedule_worker(number);
        self.dispatch_gang_signals();
        Some(result)
    }

    pub(super) fn run_worker(&mut self, number: usize) {
        let (now, controllers) = (self.now, self.controllers.len());
        match self.workers.get_mut(number).and_then(Option::as_mut) {
            Some(worker) if worker.wake_at == now => worker.wake_at = NEVER_US,
            _ => return,
        }
        let due = self.with_worker(number, |worker, workload| {
            worker.advance(now, workload);
            let sends = worker.hung_until <= now && worker.begin_heartbeat(now, controllers);
            sends.then(|| OutgoingHeartbeat {
                heartbeat: worker.heartbeat(now),
                controller: worker.controller,
                silent: worker.silent,
            })
        });
        if let Some(Some(outgoing)) = due {
            self.send_heartbeat(number, outgoing);
        }
    }

    fn send_heartbeat(&mut self, number: usize, outgoing: OutgoingHeartbeat) {
        let OutgoingHeartbeat {
            heartbeat,
            controller,
            silent,
        } = outgoing;
        if silent {
            return self.schedule_worker(number);
        }
        self.duplicate_heartbeat(number, &heartbeat, controller);
        let (now, at) = (self.now, self.now + self.network_delay());
        let next = (controller + 1) % self.controllers.len();
        if self.controllers[controller].core.is_none() || self.outbound_lost(number) {
            return self.redirect_worker(number, next, NEXT_CONTROLLER_AFTER_REFUSAL_US);
        }
        if self.machine_partitioned(controller, number) {
            return self.redirect_worker(number, next, NEXT_CONTROLLER_AFTER_TIMEOUT_US);
        }
        let sent = SentHeartbeat {
            machine: number,
            heartbeat,
            sent: now,
        };
        self.repeat_heartbeat(number, &sent.heartbeat, controller);
        self.deliver_at(at, self.current_process(controller), Input::Heartbeat(sent));
    }

    fn redirect_worker(&mut self, number: usize, controller: usize, after_us: u64) {
        let now = self.now;
        self.with_worker(number, |worker, _| {
            worker.redirect(now, controller, after_us);
        });
    }

    /// Sends the answer to a heartbeat to its machine, unless a fault drops it.
    pub(super) fn send_heartbeat_answer(
        &mut self,
        at: u64,
        controller: usize,
        heartbeat: HeartbeatRef,
        answer: HeartbeatAnswer,
    ) {
        if !self.answer_dropped(controller, heartbeat.machine) {
            let at = at + self.draw_call_delay().unwrap_or(0);
            self.schedule_at(at, Event::HeartbeatAnswer(heartbeat, Box::new(answer)));
        }
    }

    pub(super) fn handle_heartbeat_answer(
        &mut self,
        heartbeat: HeartbeatRef,
        answer: HeartbeatAnswer,
    ) {
        let (now, number, controllers) = (self.now, heartbeat.machine, self.controllers.len());
        let share = MIN_INTERVAL_SHARE + INTERVAL_SHARE_RANGE * self.rng.random::<f64>();
        let next_us = (self.scenario.workers.heartbeat_interval_s * 1e6 * share) as u64;
        let Some(controller) = self
            .worker(number)
            .filter(|worker| !worker.silent)
            .map(|worker| worker.controller)
        else {
            return;
        };
        let next = (controller + 1) % controllers;
        match answer {
            HeartbeatAnswer::Commands(response) => {
                let response: HeartbeatResponse = response;
                let answer = ReceivedAnswer {
                    session: heartbeat.session,
                    sent: heartbeat.sent,
                    response: &response,
                    next_us,
                };
                self.with_worker(number, |worker, workload| {
                    worker.handle_answer(&answer, now, workload);
                });
            }
            HeartbeatAnswer::Redirect(name) => {
                let named = (0..controllers).find(|number| host_name(*number) == name);
                self.redirect_worker(number, named.unwrap_or(next), REDIRECT_DELAY_US);
            }
            HeartbeatAnswer::Unavailable | HeartbeatAnswer::Relay(_) | HeartbeatAnswer::Held => {
                self.redirect_worker(number, next, NEXT_CONTROLLER_AFTER_REFUSAL_US);
            }
        }
    }

    pub(super) fn deliver_commands(&mut self, process: ProcessId, delivery: CommandDelivery) {
        let CommandDelivery {
            lease,
            call,
            timing,
        } = delivery;
        let (now, number) = (self.now, machine_number(&call.machine));
        let sender = call.relayed_by.map_or(process.controller, usize::from);
        if timing != CommandTiming::InTime && self.command_dropped(sender, number) {
            return;
        }
        let hung_until = self
            .worker(number)
            .map(|worker| worker.hung_until)
            .filter(|until| *until > now);
        if let Some(until) = hung_until {
            // A hung machine executes the commands that it receives once it resumes.
            if timing == CommandTiming::InTime {
                let unknown = Input::CommandResult(lease, call.clone(), CommandResult::Unknown);
                self.deliver_in(COMMAND_TIMEOUT_MS * US_PER_MS, process, unknown);
            }
            let timing = match timing {
                CommandTiming::InTime => CommandTiming::Late,
                other => other,
            };
            let delivery = CommandDelivery {
                lease,
                call,
                timing,
            };
            return self.schedule_at(until, Event::Commands(process, delivery));
        }
        let reply = self.with_worker(number, |worker, workload| {
            worker.handle_commands(&call.commands, now, workload)
        });
        if timing != CommandTiming::InTime {
            return;
        }
        if reply.as_ref().is_some_and(|reply| reply.executed) {
            self.repeat_commands(process, lease, &call);
        }
        let result = match reply {
            None => CommandResult::NotSent,
            Some(reply) if reply.executed => CommandResult::Executed(reply.heartbeat),
            Some(reply) => CommandResult::Refused(reply.heartbeat),
        };
        let at = now + self.network_delay();
        self.deliver_at(at, process, Input::CommandResult(lease, call, result));
    }

    /// Removes a machine with all tasks on it.
    pub(super) fn remove_machine(&mut self, number: usize) {
        let now = self.now;
        if let Some(mut worker) = self.workers.get_mut(number).and_then(Option::take) {
            worker.kill_all(now, &mut self.workload);
            self.workload
                .history
                .record(now, "machine gone", &worker.id, &"");
            self.cloud.remove(number, now);
            self.dispatch_gang_signals();
        }
    }
}
