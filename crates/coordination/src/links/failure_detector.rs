//! Failure detector of one link, driven by the outcomes of the requests sent over it.

use lemonweir_protocol::links::LinkState;

/// Consecutive failed requests before a link counts as down: a single answer may be lost in
/// transit.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// Minimum time since the last answer before a link can count as down, ms: several requests
/// in flight fail together when one packet is late.
const DOWN_AFTER_MS: u64 = 1_000;

/// State of a link in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureDetector {
    /// When the last answer arrived, ms.
    pub(crate) last_answer: Option<u64>,
    /// Consecutive requests without an answer.
    failures: u32,
    state: LinkState,
    /// When the link entered `state`, ms.
    since: u64,
}

impl FailureDetector {
    /// Records an answer. Returns true if the state changes.
    pub(crate) fn record_success(&mut self, now: u64) -> bool {
        self.last_answer = Some(now);
        self.failures = 0;
        self.set_state(LinkState::Up, now)
    }

    /// Records a request without an answer. Returns true if the state changes.
    pub(crate) fn record_failure(&mut self, now: u64) -> bool {
        self.failures = self.failures.saturating_add(1);
        let recent = self.last_answer.is_some_and(|at| now < at + DOWN_AFTER_MS);
        match self.state {
            LinkState::Down => false,
            _ if self.failures >= FAILURES_UNTIL_DOWN && !recent => {
                self.set_state(LinkState::Down, now)
            }
            _ => self.set_state(LinkState::Suspect, now),
        }
    }

    fn set_state(&mut self, state: LinkState, now: u64) -> bool {
        let changed = self.state != state;
        if changed {
            (self.state, self.since) = (state, now);
        }
        changed
    }

    /// Returns the state of the link.
    pub(crate) fn state(&self) -> LinkState {
        self.state
    }

    /// Returns true if the link counts as down.
    pub(crate) fn is_down(&self) -> bool {
        self.state == LinkState::Down
    }

    /// Returns when the link entered its current state, ms.
    pub(crate) fn since(&self) -> u64 {
        self.since
    }
}

#[cfg(test)]
mod tests;
