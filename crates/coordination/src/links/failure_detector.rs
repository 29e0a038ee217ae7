//! Failure detector: the state of a link, judged by what became of the messages that went
//! over it.

use lemonweir_protocol::links::LinkState;

/// Answers that must fail to come in a row before a link counts as down: one
/// may be lost on the way.
const FAILURES_UNTIL_DOWN: u32 = 2;
/// ms since the last answer from which on a link can count as down: several
/// requests under way fail together when one packet is late.
const DOWN_AFTER_MS: u64 = 1_000;

/// The link in one direction with its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureDetector {
    /// When the last answer came, ms.
    pub(crate) last_answer: Option<u64>,
    /// Answers that failed to come in a row.
    failures: u32,
    state: LinkState,
    since: u64,
}

impl FailureDetector {
    /// An answer came; true if that changes the state.
    pub(crate) fn record_success(&mut self, now: u64) -> bool {
        self.last_answer = Some(now);
        self.failures = 0;
        self.set_state(LinkState::Up, now)
    }

    /// An answer failed to come; true if that changes the state.
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

    /// The state of the link.
    pub(crate) fn state(&self) -> LinkState {
        self.state
    }

    /// True if nothing goes through.
    pub(crate) fn is_down(&self) -> bool {
        self.state == LinkState::Down
    }

    /// Since when the link is in this state, ms.
    pub(crate) fn since(&self) -> u64 {
        self.since
    }
}

#[cfg(test)]
mod tests;
