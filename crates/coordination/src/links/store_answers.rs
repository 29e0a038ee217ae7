//! When the store last answered, us and others.

use super::Links;
use lemonweir_model::constants::{
    SHARD_VIEW_REFRESH_MS, STORE_TIMEOUT_MS, UNREADY_AFTER_STORE_SILENCE_MS,
};
use lemonweir_protocol::links::LinkState;

/// The store's answers, by whatever route they came.
#[derive(Debug, Default)]
pub(super) struct StoreAnswers {
    /// When the last successful reading of the store began, ms.
    last: Option<u64>,
    /// How long its last answer took, ms, as far as it was waited for.
    latency_ms: u64,
    /// When the store surely answered another controller, as far as they say, ms.
    last_to_others: Option<u64>,
}

impl StoreAnswers {
    /// An answer took so long; more than the time-out is not waited for.
    pub(super) fn record_latency(&mut self, latency_ms: u64) {
        self.latency_ms = latency_ms.min(STORE_TIMEOUT_MS);
    }
}

impl Links {
    /// A reading of the store that began then, ms, brought the cache up to date.
    pub(crate) fn record_store_read(&mut self, began: u64) {
        self.store_answers.last = self.store_answers.last.max(Some(began));
    }

    /// When the last successful reading of the store began, ms.
    pub(crate) fn last_store_answer(&self) -> Option<u64> {
        self.store_answers.last
    }

    /// ms since then.
    pub(crate) fn store_age(&self, now: u64) -> u64 {
        self.store_answers
            .last
            .map_or(u64::MAX, |at| now.saturating_sub(at))
    }

    /// True if the store answered so lately, on whatever route, that a query to it
    /// is worth its user's wait.
    pub fn store_answers_of_late(&self, now: u64) -> bool {
        self.store_age(now) <= self.store_silence_ms()
    }

    /// ms without an answer of the store that mean that it does not answer. Guards against
    /// slow answers that count as none: one reading follows another, so the newest answer
    /// is up to two latencies old though each came in time.
    fn store_silence_ms(&self) -> u64 {
        UNREADY_AFTER_STORE_SILENCE_MS + self.store_answers.latency_ms
    }

    /// Another controller says how long ago the store answered it.
    pub(crate) fn record_peer_store_age(&mut self, age_ms: u64, now: u64) {
        let answers = &mut self.store_answers;
        answers.last_to_others = answers.last_to_others.max(now.checked_sub(age_ms));
    }

    /// True if the store has not answered this controller for a while, on no route,
    /// and it answers others, or none of them can be reached either.
    pub(crate) fn isolated_from_store(&self, now: u64) -> bool {
        let StoreAnswers {
            last,
            last_to_others,
            ..
        } = self.store_answers;
        // Guards against all controllers leaving users to each other when the store
        // fails for all: its answers to others must be newer by more than the
        // moments by which readings differ.
        let answers_others = last_to_others.is_some_and(|others| {
            now <= others + UNREADY_AFTER_STORE_SILENCE_MS + SHARD_VIEW_REFRESH_MS
                && last.is_none_or(|own| others > own + UNREADY_AFTER_STORE_SILENCE_MS)
        });
        answers_others || !self.store_answers_of_late(now) && self.isolated_from_peers(now)
    }

    /// True if there are other controllers and none is in touch with this one.
    pub(crate) fn isolated_from_peers(&self, now: u64) -> bool {
        let mut others = (0..self.hosts.len() as u16)
            .filter(|index| *index != self.own_index)
            .peekable();
        others.peek().is_some()
            && others.all(|index| self.peer_state(index, now) == LinkState::Down)
    }
}
