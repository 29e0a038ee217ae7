//! Controller processes: their start and end, their inbox, and the simulated cost of work.

use lemonweir_model::constants::{INSTANCE_LIST_INTERVAL_MS, SHORT_TICK_MS, TICK_MS};
use rand::RngExt;

use super::Simulation;
use super::events::Event;
use crate::clock::US_PER_MS;
use crate::controller::{Input, ProcessId};

/// Maximum number of messages processed before effects are flushed.
const MAX_MESSAGES_PER_FLUSH: usize = 32;
/// µs from the start of a process to the first step of its lease keeping.
const FIRST_LEASE_STEP_US: u64 = 100 * US_PER_MS;

impl Simulation {
    /// Ends a controller process, and starts it again after `restart_us`.
    pub fn crash(&mut self, controller: usize, restart_us: u64) {
        for input in std::mem::take(&mut self.controllers[controller].inbox) {
            self.fail_unanswered(controller, input);
        }
        self.controllers[controller].stop();
        self.workload
            .history
            .record(self.now, "controller ends", &controller, &"");
        self.schedule_in(restart_us, Event::Boot(controller));
    }

    /// True if a controller accepts user requests.
    pub fn is_ready(&self, controller: usize) -> bool {
        self.controllers[controller]
            .core
            .as_ref()
            .is_some_and(|core| core.ready(self.now_ms()))
    }

    pub(super) fn boot(&mut self, number: usize) {
        let (scenario, now) = (self.scenario.clone(), self.now);
        if self.controllers[number].core.is_some() {
            return;
        }
        self.controllers[number].start(&scenario, number, now);
        self.workload
            .history
            .record(now, "controller starts", &number, &"");
        let process = self.current_process(number);
        self.controllers[number].read_due = now;
        self.schedule_in(0, Event::ReadState(process));
        self.schedule_in(US_PER_MS, Event::Tick(process));
        self.schedule_in(FIRST_LEASE_STEP_US, Event::KeepLeases(process));
        let first_list_us = self
            .rng
            .random_range(0..INSTANCE_LIST_INTERVAL_MS * US_PER_MS);
        self.schedule_in(first_list_us, Event::ScheduleInstanceList(process));
    }

    pub(super) fn tick(&mut self, process: ProcessId) {
        if !self.is_current(process) {
            return;
        }
        self.enqueue(process.controller, Input::Tick);
        let urgent = self.controllers[process.controller]
            .core
            .as_ref()
            .is_some_and(|core| core.needs_short_tick(self.now_ms()));
        let interval_ms = if urgent { SHORT_TICK_MS } else { TICK_MS };
        self.schedule_in(interval_ms * US_PER_MS, Event::Tick(process));
    }

    /// Puts a message into a controller's inbox; it is dropped if the controller is down.
    pub(super) fn enqueue(&mut self, number: usize, input: Input) {
        let controller = &mut self.controllers[number];
        if controller.core.is_none() {
            return;
        }
        controller.inbox.push_back(input);
        if !controller.wake_scheduled {
            controller.wake_scheduled = true;
            self.schedule_inbox(number);
        }
    }

    fn schedule_inbox(&mut self, number: usize) {
        let (at, process) = (self.departure_time(number), self.current_process(number));
        self.schedule_at(at, Event::ProcessInbox(process));
    }

    /// Processes messages until the controller is busy or [`MAX_MESSAGES_PER_FLUSH`] are done,
    /// and flushes the core's effects if they are due.
    pub(super) fn process_inbox(&mut self, number: usize) {
        let mut processed = 0;
        while processed < MAX_MESSAGES_PER_FLUSH {
            let Some(input) = self.controllers[number].inbox.pop_front() else {
                break;
            };
            processed += 1;
            let messages = u64::from(!matches!(input, Input::Tick));
            self.handle_input(number, input);
            self.charge(number, messages);
            if self.controllers[number].busy_until > self.now {
                break;
            }
        }
        let controller = &self.controllers[number];
        if controller.flush_due
            && (controller.inbox.is_empty() || processed >= MAX_MESSAGES_PER_FLUSH)
        {
            self.flush(number);
        }
        let controller = &mut self.controllers[number];
        controller.wake_scheduled = !controller.inbox.is_empty() || controller.flush_due;
        if controller.wake_scheduled {
            self.schedule_inbox(number);
        }
    }

    /// Executes the effects that the core has accumulated.
    fn flush(&mut self, number: usize) {
        let now_ms = self.now_ms();
        self.controllers[number].flush_due = false;
        let Some(core) = self.controllers[number].core.as_mut() else {
            return;
        };
        let effects = core.flush(now_ms);
        self.charge(number, effects.len() as u64);
        for effect in effects {
            self.execute(number, effect);
        }
    }

    /// Charges a controller with the processing time of messages and of the placement
    /// candidates that its core examined since the last charge.
    fn charge(&mut self, number: usize, messages: u64) {
        let costs = self.scenario.costs;
        let now = self.now;
        let controller = &mut self.controllers[number];
        let counted = controller
            .core
            .as_ref()
            .map(lemonweir_coordination::Core::work_counters)
            .unwrap_or_default();
        // A counter is lower than before if a shard was released, and its counters with it.
        let increase = |now: u64, before: u64| now.checked_sub(before).unwrap_or(now);
        let before = controller.charged_counters;
        let examined = increase(counted.candidates_examined, before.candidates_examined);
        let load = &mut controller.load;
        load.refused_placements += increase(counted.placements_refused, before.placements_refused);
        load.preemptions += increase(counted.attempts_preempted, before.attempts_preempted);
        let cost_ns =
            load.remainder_ns + messages * costs.message_ns + examined * costs.candidate_ns;
        load.remainder_ns = cost_ns % 1_000;
        load.busy_us += cost_ns / 1_000;
        load.messages += messages;
        load.candidates_examined += examined;
        controller.charged_counters = counted;
        controller.busy_until = controller.busy_until.max(now) + cost_ns / 1_000;
    }

    /// When a message that a controller sends now leaves it, µs.
    pub(super) fn departure_time(&self, controller: usize) -> u64 {
        self.controllers[controller].busy_until.max(self.now)
    }
}
