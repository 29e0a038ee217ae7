//! Latency of the answers over a link during the last one to two minutes. Distinguishes a slow
//! link from one that is down.

use hdrhistogram::Histogram;

/// Length of a latency window, ms.
const LATENCY_WINDOW_MS: u64 = 60_000;
/// Upper bound of recorded latencies, ms: longer than the timeout of any call.
const LATENCY_MAX_MS: u64 = 10_000;

/// Latencies of one link in the current and the previous window.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    /// When the current window began, ms.
    began: u64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        // Two significant digits from 1 ms to LATENCY_MAX_MS take a few KiB. The bounds are
        // constants that the library accepts, so the constructor can't fail.
        let new = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_MS, 2).unwrap_or_else(|e| unreachable!("{e}"))
        };
        Self {
            current: new(),
            previous: new(),
            began: 0,
        }
    }
}

impl LatencyWindow {
    /// Records the latency of one answer.
    pub(crate) fn record(&mut self, latency_ms: u64, now: u64) {
        self.rotate(now);
        self.current.saturating_record(latency_ms.max(1));
    }

    fn rotate(&mut self, now: u64) {
        if now < self.began + LATENCY_WINDOW_MS {
            return;
        }
        // After two windows without an answer, the previous window is stale as well.
        let stale = now >= self.began + 2 * LATENCY_WINDOW_MS;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if stale {
            self.previous.reset();
        }
        self.began = now;
    }

    /// Returns the median and the 99th percentile, ms, or `None` without recent answers.
    pub(crate) fn median_and_p99(&self) -> Option<(u64, u64)> {
        let mut all = self.current.clone();
        // Both histograms have the same bounds, so adding one to the other can't fail.
        let _ = all.add(&self.previous);
        (!all.is_empty()).then(|| (all.value_at_quantile(0.5), all.value_at_quantile(0.99)))
    }
}

#[cfg(test)]
mod tests;
