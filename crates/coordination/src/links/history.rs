//! Bounded history of link and shard events, served to operators.

use std::collections::VecDeque;

use tracing::info;

use super::Links;
use lemonweir_protocol::links::EventRow;

/// Events kept by a process; older ones are dropped.
const EVENTS_KEPT: usize = 256;

/// The newest events, oldest first, each with its time on the monotonic clock, ms.
#[derive(Debug, Default)]
pub(super) struct EventHistory {
    events: VecDeque<(u64, String)>,
}

impl Links {
    /// Appends an event to the history and logs it.
    pub(crate) fn record_event(&mut self, now: u64, text: String) {
        info!("{text}");
        let events = &mut self.history.events;
        events.push_back((now, text));
        if events.len() > EVENTS_KEPT {
            events.pop_front();
        }
    }

    /// Returns the history, oldest first, with wall-clock times.
    pub fn events(&self) -> Vec<EventRow> {
        let row = |(at, text): &(u64, String)| EventRow {
            at_ms: at + self.wall_clock_offset_ms,
            text: text.clone(),
        };
        self.history.events.iter().map(row).collect()
    }
}
