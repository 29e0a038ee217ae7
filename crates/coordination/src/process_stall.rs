//! Standing still: a process that did not run for a while, whether its clocks ran
//! on or stood. What it had judged from silence is void, what came in meanwhile is
//! not read yet, and another may have taken what it holds.
//!
//! One guard for all timers: whoever would conclude something from time asks it.

use lemonweir_model::constants::{HOLD_TTL_MS, STOOD_STILL_MS};

/// What is known of the last pause.
#[derive(Debug, Default)]
pub(crate) struct ProcessStall {
    /// When something last happened here, ms.
    last: Option<u64>,
    /// When it last went on after a pause, ms.
    awake: Option<u64>,
    /// Only a reading of the store that began from then on shows what is held.
    proof_from: u64,
}

impl ProcessStall {
    /// Something happens now; how long the process stood still before, if it did.
    pub(crate) fn pass(&mut self, now: u64) -> Option<u64> {
        let before = self
            .last
            .replace(self.last.map_or(now, |last| last.max(now)))?;
        let gap = now.saturating_sub(before);
        (gap > STOOD_STILL_MS).then(|| self.stood(gap, now))
    }

    /// The process stood still for so long, as far as any of its clocks tells.
    pub(crate) fn stood(&mut self, gap: u64, now: u64) -> u64 {
        self.awake = Some(now);
        // In a shorter one no hold can have ended.
        if gap + STOOD_STILL_MS > HOLD_TTL_MS {
            self.proof_from = now;
        }
        gap
    }

    /// True until the store has shown again what is held. `word`: when the last
    /// reading of it began.
    pub(crate) fn unproven(&self, word: Option<u64>) -> bool {
        self.proof_from > 0 && word.is_none_or(|at| at < self.proof_from)
    }

    /// True while what came in during a pause may not be read yet.
    pub(crate) fn reading(&self, now: u64) -> bool {
        self.awake.is_some_and(|at| now < at + STOOD_STILL_MS)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pause_voids_what_time_told_until_proof_comes() {
        let mut pause = ProcessStall::default();
        for now in (0..5_000).step_by(100) {
            assert_eq!(pause.pass(now), None);
        }
        assert!(!pause.unproven(Some(4_000)) && !pause.reading(4_900));
        assert_eq!(pause.pass(7_900), Some(3_000));
        assert!(pause.reading(8_000) && !pause.reading(9_000));
        assert!(!pause.unproven(Some(4_000)), "no hold ends in 3 s");
        assert_eq!(pause.pass(17_900 + HOLD_TTL_MS), Some(10_000 + HOLD_TTL_MS));
        assert!(pause.unproven(Some(7_000)) && pause.unproven(None));
        assert!(!pause.unproven(Some(17_900 + HOLD_TTL_MS)));
    }
}
