//! Histograms of durations in µs.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::report::LatencySummary;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records durations in a histogram that resizes itself.
pub trait RecordMicros {
    /// Records a duration, at least 1 µs. A value that the histogram rejects is logged and
    /// left out.
    fn record_us(&mut self, us: u64);
}

impl RecordMicros for Histogram<u64> {
    fn record_us(&mut self, us: u64) {
        if let Err(error) = self.record(us.max(1)) {
            tracing::error!(%error, us, "failed to record a duration in a histogram");
        }
    }
}

/// Creates an empty histogram of µs.
pub fn histogram() -> Histogram<u64> {
    // The library accepts 0 to 5 significant digits.
    Histogram::new(SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the number of digits is valid"))
}

/// Histograms of µs by name.
#[derive(Default)]
pub struct NamedHistograms(BTreeMap<String, Histogram<u64>>);

impl NamedHistograms {
    /// Records a duration in the histogram with this name, which is created if needed.
    pub fn record(&mut self, name: &str, us: u64) {
        if !self.0.contains_key(name) {
            self.0.insert(name.to_owned(), histogram());
        }
        if let Some(histogram) = self.0.get_mut(name) {
            histogram.record_us(us);
        }
    }

    /// The summary of each histogram by name.
    pub fn summaries(&self) -> BTreeMap<String, LatencySummary> {
        self.0
            .iter()
            .map(|(name, histogram)| (name.clone(), LatencySummary::from_histogram(histogram)))
            .collect()
    }
}
