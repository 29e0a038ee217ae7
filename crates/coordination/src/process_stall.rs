//! Process stalls: this process did not run for a while, whether its clocks ran
//! on or stood. What it had judged from silence is void, what came in meanwhile is
//! not read yet, and another may have taken over what it leads.
//!
//! One guard for all timers: whoever would conclude something from time asks it.

use lemonweir_model::constants::STORE_LEASE_TTL_MS;

/// ms without an event after which this process counts as having stalled.
pub(crate) const STALL_MS: u64 = 1_000;

/// What is known of the last stall.
#[derive(Debug, Default)]
pub(crate) struct ProcessStall {
    /// When something last happened here, ms.
    last_event: Option<u64>,
    /// When it last went on after a stall, ms.
    resumed_at: Option<u64>,
    /// Only a reading of the store that began from then on confirms our leases, ms.
    confirm_from: u64,
}

impl ProcessStall {
    /// Something happens now; for how many ms the process stalled before, if it did.
    pub(crate) fn record_event(&mut self, now: u64) -> Option<u64> {
        let latest = self.last_event.map_or(now, |last| last.max(now));
        let before = self.last_event.replace(latest)?;
        let gap = now.saturating_sub(before);
        (gap > STALL_MS).then(|| self.record_stall(gap, now))
    }

    /// The process stalled for `gap` ms, as far as any of its clocks shows.
    pub(crate) fn record_stall(&mut self, gap: u64, now: u64) -> u64 {
        self.resumed_at = Some(now);
        // In a shorter one no store lease can have expired.
        if gap + STALL_MS > STORE_LEASE_TTL_MS {
            self.confirm_from = now;
        }
        gap
    }

    /// True until the store has confirmed again what we lead. `last_answer`: when the
    /// last reading of it began, ms.
    pub(crate) fn lease_unconfirmed(&self, last_answer: Option<u64>) -> bool {
        self.confirm_from > 0 && last_answer.is_none_or(|at| at < self.confirm_from)
    }

    /// True while what came in during a stall may not be read yet.
    pub(crate) fn backlog_unread(&self, now: u64) -> bool {
        self.resumed_at.is_some_and(|at| now < at + STALL_MS)
    }
}

#[cfg(test)]
mod tests;
