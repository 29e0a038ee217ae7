//! A controller's reads of the watched keys into its state cache, and the user queries that
//! wait for them.

use lemonweir_model::JobId;
use lemonweir_model::constants::{CACHE_REFRESH_BUSY_MS, CACHE_REFRESH_IDLE_MS};
use lemonweir_protocol::links::Service;
use lemonweir_storage::records::WATCHED_PREFIX;

use super::Simulation;
use super::events::{Event, StoreRequest};
use crate::clock::US_PER_MS;
use crate::controller::{PendingQuery, ProcessId, StateRead, UserRequest};
use crate::store::Store;

impl Simulation {
    /// Begins the state read that is due now, unless one is in flight or this one was
    /// rescheduled.
    pub(super) fn begin_state_read(&mut self, process: ProcessId) {
        let (now, number) = (self.now, process.controller);
        let controller = &mut self.controllers[number];
        if controller.stalled_until > now {
            // A stalled process begins the read once the stall is over.
            let until = controller.stalled_until;
            controller.read_due = until;
            return self.schedule_at(until, Event::ReadState(process));
        }
        if !self.is_current(process) {
            return;
        }
        let controller = &mut self.controllers[number];
        if controller.read_in_flight || controller.read_due != now {
            return;
        }
        (controller.read_in_flight, controller.read_requested) = (true, false);
        let wait_us = controller.requests.reserve(1.0, now);
        let after = controller
            .core
            .as_ref()
            .and_then(|core| core.cache.revision);
        let at = now + wait_us + self.network_delay();
        let route = self.route(number, Service::Store, 0);
        let request = StoreRequest::StateRead {
            after,
            began_at: now,
        };
        self.schedule_at(at, Event::StoreRequest(process, request, route));
    }

    /// Requests a state read, as soon as the minimum interval since the last one has passed.
    pub(super) fn request_state_read(&mut self, number: usize) {
        let (now, process) = (self.now, self.current_process(number));
        let controller = &mut self.controllers[number];
        if controller.read_requested {
            return;
        }
        controller.read_requested = true;
        if !controller.read_in_flight {
            let at = (controller.read_at + CACHE_REFRESH_BUSY_MS * US_PER_MS).max(now);
            if at < controller.read_due {
                controller.read_due = at;
                self.schedule_at(at, Event::ReadState(process));
            }
        }
    }

    /// Queues a user's request until a state read that begins no earlier than now has ended.
    pub(super) fn queue_query(&mut self, controller: usize, job: JobId, request: UserRequest) {
        self.controllers[controller]
            .pending_queries
            .push(PendingQuery {
                asked_at: self.now,
                job,
                request,
            });
        self.request_state_read(controller);
    }

    /// Applies a state read to the cache, schedules the next one, and answers the queries that
    /// were asked no later than it began.
    pub(super) fn apply_state_read(&mut self, number: usize, began_at: u64, read: StateRead) {
        let (now, now_ms) = (self.now, self.now_ms());
        let controller = &mut self.controllers[number];
        let Some(core) = controller.core.as_mut() else {
            return;
        };
        controller.read_in_flight = false;
        controller.read_at = now;
        let mut effects = Vec::new();
        let changed = read.apply(&mut core.cache, now_ms);
        if let Some(changed) = changed {
            core.cache_refreshed(began_at / US_PER_MS, changed);
            effects = core.handle_store_messages(now_ms);
        }
        let expects_messages = core.uses_store_messages(now_ms);
        for effect in effects {
            self.execute(number, effect);
        }
        let controller = &mut self.controllers[number];
        let (answerable, later): (Vec<_>, Vec<_>) = std::mem::take(&mut controller.pending_queries)
            .into_iter()
            .partition(|query| query.asked_at <= began_at);
        controller.pending_queries = later;
        let busy =
            controller.read_requested || expects_messages || !controller.pending_queries.is_empty();
        let interval_ms = if busy {
            CACHE_REFRESH_BUSY_MS
        } else {
            CACHE_REFRESH_IDLE_MS
        };
        let due = now + interval_ms * US_PER_MS;
        controller.read_due = due;
        let process = self.current_process(number);
        self.schedule_at(due, Event::ReadState(process));
        for query in answerable {
            self.answer_query(number, query, changed.is_some());
        }
    }
}

/// Reads the changes to the watched keys after a revision. Reads all watched keys if there is no
/// revision, or if the store no longer retains the changes after it.
pub(super) fn read_watched_keys(store: &Store, after: Option<u64>) -> StateRead {
    match after.and_then(|after| store.changes(WATCHED_PREFIX, after)) {
        Some(changes) => StateRead::Changes(changes, store.revision),
        None => StateRead::Snapshot(store.list(WATCHED_PREFIX), store.revision),
    }
}
