//! When the store last answered this controller and the others.

use super::Links;
use lemonweir_model::constants::{
    SHARD_VIEW_REFRESH_MS, STORE_TIMEOUT_MS, UNREADY_AFTER_STORE_SILENCE_MS,
};
use lemonweir_protocol::links::LinkState;

/// The store's newest answers, on direct and relayed routes.
#[derive(Debug, Default)]
pub(super) struct StoreAnswers {
    /// When the last successful read of the store began, ms.
    last: Option<u64>,
    /// Latency of the store's last answer, ms, capped at the timeout.
    latency_ms: u64,
    /// Latest time at which the store is known to have answered another controller, ms.
    last_to_others: Option<u64>,
}

impl StoreAnswers {
    /// Records the latency of an answer, capped at the timeout.
    pub(super) fn record_latency(&mut self, latency_ms: u64) {
        self.latency_ms = latency_ms.min(STORE_TIMEOUT_MS);
    }
}

impl Links {
    /// Records a read of the store that began at `began`, ms, and updated the state cache.
    pub(crate) fn record_store_read(&mut self, began: u64) {
        self.store_answers.last = self.store_answers.last.max(Some(began));
    }

    /// Returns when the last successful read of the store began, ms.
    pub(crate) fn last_store_answer(&self) -> Option<u64> {
        self.store_answers.last
    }

    /// Returns the time since the last successful read of the store began, ms.
    pub(crate) fn store_age(&self, now: u64) -> u64 {
        self.store_answers
            .last
            .map_or(u64::MAX, |at| now.saturating_sub(at))
    }

    /// Returns true if the store answered recently enough, on any route, for a user's query to
    /// wait for it.
    pub fn store_answered_recently(&self, now: u64) -> bool {
        self.store_age(now) <= self.store_silence_ms()
    }

    /// Time without an answer after which the store counts as unavailable, ms. Includes the
    /// store's latency: reads are sequential, so the newest answer is up to two latencies old
    /// although each arrived in time.
    fn store_silence_ms(&self) -> u64 {
        UNREADY_AFTER_STORE_SILENCE_MS + self.store_answers.latency_ms
    }

    /// Records another controller's report of how long ago the store answered it, ms.
    pub(crate) fn record_peer_store_age(&mut self, age_ms: u64, now: u64) {
        let answers = &mut self.store_answers;
        answers.last_to_others = answers.last_to_others.max(now.checked_sub(age_ms));
    }

    /// Returns true if the store has not answered this controller for a while on any route, and
    /// either it answers other controllers or none of them can be reached.
    pub(crate) fn isolated_from_store(&self, now: u64) -> bool {
        let StoreAnswers {
            last,
            last_to_others,
            ..
        } = self.store_answers;
        // In a store outage that affects every controller, none may send its users to the
        // others: answers to others must be newer by more than reads differ in time.
        let answers_others = last_to_others.is_some_and(|others| {
            now <= others + UNREADY_AFTER_STORE_SILENCE_MS + SHARD_VIEW_REFRESH_MS
                && last.is_none_or(|own| others > own + UNREADY_AFTER_STORE_SILENCE_MS)
        });
        answers_others || !self.store_answered_recently(now) && self.isolated_from_peers(now)
    }

    /// Returns true if there are other controllers and the links to all of them are down.
    pub(crate) fn isolated_from_peers(&self, now: u64) -> bool {
        let mut others = (0..self.hosts.len() as u16)
            .filter(|index| *index != self.own_index)
            .peekable();
        others.peek().is_some()
            && others.all(|index| self.peer_state(index, now) == LinkState::Down)
    }
}
