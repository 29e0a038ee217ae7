//! Histograms of durations in µs.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::report::LatencySummary;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Records µs in a histogram that grows as it must.
pub trait RecordMicros {
    /// Records one value; one that the histogram does not take is logged and left out.
    fn record_us(&mut self, us: u64);
}

impl RecordMicros for Histogram<u64> {
    fn record_us(&mut self, us: u64) {
        if let Err(error) = self.record(us.max(1)) {
            tracing::error!(%error, us, "value not recorded");
        }
    }
}

/// An empty histogram of µs.
pub fn histogram() -> Histogram<u64> {
    // Three digits are among those that the library takes.
    Histogram::new(SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// Histograms by name.
#[derive(Default)]
pub struct NamedHistograms(BTreeMap<String, Histogram<u64>>);

impl NamedHistograms {
    /// Records µs under a name.
    pub fn record(&mut self, name: &str, us: u64) {
        if !self.0.contains_key(name) {
            self.0.insert(name.to_owned(), histogram());
        }
        if let Some(histogram) = self.0.get_mut(name) {
            histogram.record_us(us);
        }
    }

    /// The summary of each histogram, by its name.
    pub fn summaries(&self) -> BTreeMap<String, LatencySummary> {
        self.0
            .iter()
            .map(|(name, histogram)| (name.clone(), LatencySummary::of(histogram)))
            .collect()
    }
}
