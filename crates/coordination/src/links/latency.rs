//! Latency of the answers over a link, over the last one to two minutes. A
//! link that is slow rather than dead shows here.

use hdrhistogram::Histogram;

/// ms of a window over which latencies are reported.
const LATENCY_WINDOW_MS: u64 = 60_000;
/// ms that the longest answer counts as: more than any call waits.
const LATENCY_MAX_MS: u64 = 10_000;

/// Latencies of one link, in two windows.
#[derive(Debug)]
pub(crate) struct LatencyWindow {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    /// When the current window began, ms.
    began: u64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        // Two digits between 1 ms and the longest wait: some KiB. The bounds
        // are constants that the library accepts; `unwrap_or_else` names them.
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
    /// An answer took so long.
    pub(crate) fn record(&mut self, latency_ms: u64, now: u64) {
        self.rotate(now);
        self.current.saturating_record(latency_ms.max(1));
    }

    fn rotate(&mut self, now: u64) {
        if now < self.began + LATENCY_WINDOW_MS {
            return;
        }
        // After a long silence the older window is stale as well.
        let stale = now >= self.began + 2 * LATENCY_WINDOW_MS;
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if stale {
            self.previous.reset();
        }
        self.began = now;
    }

    /// The median and the 99th percentile, ms; `None`: no answer of late.
    pub(crate) fn median_and_p99(&self) -> Option<(u64, u64)> {
        let mut all = self.current.clone();
        // Both have the same bounds, so that one takes the other's values.
        let _ = all.add(&self.previous);
        (!all.is_empty()).then(|| (all.value_at_quantile(0.5), all.value_at_quantile(0.99)))
    }
}

#[cfg(test)]
mod tests;
