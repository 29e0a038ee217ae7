//! History of the events of links and shards that operators can ask for.

use std::collections::VecDeque;

use tracing::info;

use super::Links;
use lemonweir_protocol::links::EventRow;

/// Events that a process keeps.
const EVENTS_KEPT: usize = 256;

/// The newest events, oldest first, with the steady clock's time, ms.
#[derive(Debug, Default)]
pub(super) struct EventHistory {
    events: VecDeque<(u64, String)>,
}

impl Links {
    /// Adds an event to the history, and logs it.
    pub(crate) fn record_event(&mut self, now: u64, text: String) {
        info!("{text}");
        let events = &mut self.history.events;
        events.push_back((now, text));
        if events.len() > EVENTS_KEPT {
            events.pop_front();
        }
    }

    /// The history, oldest first.
    pub fn events(&self) -> Vec<EventRow> {
        let row = |(at, text): &(u64, String)| EventRow {
            at_ms: at + self.wall_clock_offset_ms,
            text: text.clone(),
        };
        self.history.events.iter().map(row).collect()
    }
}
