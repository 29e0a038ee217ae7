//! Detection of process stalls, in which this process did not run for a while, whether its
//! clocks ran on or stood still. Conclusions from silence are void after a stall, messages
//! that arrived meanwhile are not read yet, and another controller may have acquired this
//! one's shards.
//!
//! All code that concludes something from elapsed time consults this one detector.

use crate::peer_progress::PROGRESS_MAX_AGE_MS;
use lemonweir_model::constants::STORE_LEASE_TTL_MS;

/// ms without an event above which this process counts as having stalled.
pub(crate) const STALL_MS: u64 = 1_000;

/// Detects stalls of this process and remembers the last one.
#[derive(Debug, Default)]
pub(crate) struct StallDetector {
    /// When the last event was recorded, ms.
    last_event: Option<u64>,
    /// When this process last resumed after a stall, ms.
    resumed_at: Option<u64>,
    /// When it last resumed after a stall longer than [`PROGRESS_MAX_AGE_MS`], ms.
    resumed_outdated_at: Option<u64>,
    /// Only a reading of the store that began at this time or later confirms this
    /// controller's leases, ms; 0: no stall has put them in doubt.
    confirm_from: u64,
}

impl StallDetector {
    /// Records an event at `now`. Returns the ms for which this process stalled before it, if
    /// it did.
    pub(crate) fn record_event(&mut self, now: u64) -> Option<u64> {
        let latest = self.last_event.map_or(now, |last| last.max(now));
        let before = self.last_event.replace(latest)?;
        let gap = now.saturating_sub(before);
        (gap > STALL_MS).then(|| self.record_stall(gap, now))
    }

    /// Records a stall of `gap` ms, by whichever clock shows it, and returns `gap`.
    pub(crate) fn record_stall(&mut self, gap: u64, now: u64) -> u64 {
        self.resumed_at = Some(now);
        if gap > PROGRESS_MAX_AGE_MS {
            self.resumed_outdated_at = Some(now);
        }
        // No store lease can have expired in a shorter stall.
        if gap + STALL_MS > STORE_LEASE_TTL_MS {
            self.confirm_from = now;
        }
        gap
    }

    /// True from a long stall until the store has confirmed this controller's leases again.
    /// `last_answer`: when the last reading of the store began, ms.
    pub(crate) fn lease_unconfirmed(&self, last_answer: Option<u64>) -> bool {
        self.confirm_from > 0 && last_answer.is_none_or(|at| at < self.confirm_from)
    }

    /// When this process last resumed after a stall in which what it knew of its tasks became too
    /// old to be told, ms.
    pub(crate) fn resumed_outdated_at(&self) -> Option<u64> {
        self.resumed_outdated_at
    }

    /// True while messages that arrived during a stall may not have been read yet.
    pub(crate) fn backlog_unread(&self, now: u64) -> bool {
        self.resumed_at.is_some_and(|at| now < at + STALL_MS)
    }
}

#[cfg(test)]
mod tests;
