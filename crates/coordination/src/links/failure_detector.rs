//! How a link stands, told from what became of the messages that went over it.

use lemonweir_model::constants::*;
use lemonweir_protocol::links::LinkState;

/// The link in one direction with its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureDetector {
    /// When the last answer came, ms.
    pub(crate) answered: Option<u64>,
    fails: u32,
    standing: LinkState,
    since: u64,
}

impl FailureDetector {
    /// An answer came; true if that changes how the link stands.
    pub(crate) fn answer(&mut self, now: u64) -> bool {
        self.answered = Some(now);
        self.fails = 0;
        self.stands(LinkState::Up, now)
    }

    /// An answer failed to come; true if that changes how the link stands.
    pub(crate) fn miss(&mut self, now: u64) -> bool {
        self.fails = self.fails.saturating_add(1);
        let recent = self.answered.is_some_and(|at| now < at + LINK_DOWN_MS);
        match self.standing {
            LinkState::Down => false,
            _ if self.fails >= LINK_FAILS && !recent => self.stands(LinkState::Down, now),
            _ => self.stands(LinkState::Suspect, now),
        }
    }

    fn stands(&mut self, standing: LinkState, now: u64) -> bool {
        let changed = self.standing != standing;
        if changed {
            (self.standing, self.since) = (standing, now);
        }
        changed
    }

    /// How the link stands.
    pub(crate) fn standing(&self) -> LinkState {
        self.standing
    }

    /// True if nothing goes through.
    pub(crate) fn down(&self) -> bool {
        self.standing == LinkState::Down
    }

    /// Since when it stands so, ms.
    pub(crate) fn since(&self) -> u64 {
        self.since
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_lost_answer_is_late_two_are_down_and_one_answer_ends_it() {
        let mut g = FailureDetector::default();
        assert_eq!(g.standing(), LinkState::Unknown);
        assert!(g.answer(1_000));
        assert!(g.miss(5_000));
        assert_eq!(g.standing(), LinkState::Suspect);
        assert!(g.miss(6_000));
        assert_eq!((g.standing(), g.since()), (LinkState::Down, 6_000));
        assert!(!g.miss(7_000));
        assert_eq!(g.since(), 6_000);
        assert!(g.answer(8_000));
        assert_eq!(g.standing(), LinkState::Up);
    }

    #[test]
    fn many_that_fail_at_once_right_after_an_answer_are_not_down() {
        let mut g = FailureDetector::default();
        g.answer(1_000);
        for _ in 0..9 {
            g.miss(1_000 + LINK_DOWN_MS - 1);
        }
        assert_eq!(g.standing(), LinkState::Suspect);
        g.miss(1_000 + LINK_DOWN_MS);
        assert!(g.down());
    }
}
