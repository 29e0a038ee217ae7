//! How long the answers over a link take, over the last one to two minutes. A
//! link that is slow rather than dead shows here.

use hdrhistogram::Histogram;

use lemonweir_model::constants::{TIMES_MOST_MS, TIMES_WINDOW_MS};

/// Answer times of one link, in two windows.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    now: Histogram<u64>,
    before: Histogram<u64>,
    began: u64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        // Two digits between 1 ms and the longest wait: some KiB. The bounds
        // are constants that the library accepts; `unwrap_or_else` names them.
        let new = || {
            Histogram::new_with_bounds(1, TIMES_MOST_MS, 2).unwrap_or_else(|e| unreachable!("{e}"))
        };
        Self {
            now: new(),
            before: new(),
            began: 0,
        }
    }
}

impl LatencyWindow {
    /// An answer took so long.
    pub(crate) fn record(&mut self, ms: u64, now: u64) {
        self.turn(now);
        self.now.saturating_record(ms.max(1));
    }

    fn turn(&mut self, now: u64) {
        if now < self.began + TIMES_WINDOW_MS {
            return;
        }
        // After a long silence the older window is stale as well.
        let stale = now >= self.began + 2 * TIMES_WINDOW_MS;
        std::mem::swap(&mut self.now, &mut self.before);
        self.now.reset();
        if stale {
            self.before.reset();
        }
        self.began = now;
    }

    /// The median and the 99th of a hundred, ms; `None`: no answer of late.
    pub(crate) fn spread(&self) -> Option<(u64, u64)> {
        let mut all = self.now.clone();
        // Both have the same bounds, so that one takes the other's values.
        let _ = all.add(&self.before);
        (!all.is_empty()).then(|| (all.value_at_quantile(0.5), all.value_at_quantile(0.99)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn tells_of_the_last_windows_only() {
        let mut t = LatencyWindow::default();
        assert_eq!(t.spread(), None);
        for n in 0..100 {
            t.record(if n < 95 { 5 } else { 900 }, 1_000);
        }
        let (p50, p99) = t.spread().expect("some");
        assert!(p50 == 5 && (890..=910).contains(&p99), "{p50} {p99}");
        t.record(20, 1_000 + TIMES_WINDOW_MS);
        assert_eq!(t.spread().expect("some").0, 5);
        t.record(20, 1_000 + 4 * TIMES_WINDOW_MS);
        assert_eq!(t.spread(), Some((20, 20)));
        // Longer than the bound counts as the bound.
        t.record(u64::MAX, 1_000 + 8 * TIMES_WINDOW_MS);
        assert!(t.spread().expect("some").0 >= TIMES_MOST_MS);
    }
}
