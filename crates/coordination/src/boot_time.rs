//! Boot times: how long machines take from the request to their first heartbeat, learned
//! by type, zone and price from the heartbeats themselves.
//!
//! The catalog's boot time is what is usual; at times machines come several times as late,
//! in a second, or never. What is learned is a quantile of the last boots, so that a few
//! outliers don't move it, and bounded both ways by the catalog's value, which counts
//! alone until enough was seen.

use std::collections::{BTreeMap, VecDeque};

/// Boots remembered of a class: what was usual some minutes ago.
const BOOT_SAMPLES_MAX: usize = 32;
/// Boots that must have been seen before they count more than the catalog.
const BOOT_SAMPLES_MIN: usize = 8;
/// Bounds of the usual boot time, in times of the catalog's: a second would make idle
/// machines worth nothing, minutes would keep all of them.
const USUAL_BOOT_MIN_FACTOR: f64 = 0.25;
/// See [`USUAL_BOOT_MIN_FACTOR`].
const USUAL_BOOT_MAX_FACTOR: f64 = 3.0;
/// Bounds of the provisioning timeout, in times of the catalog's boot time: the protocol
/// page has usual boots take up to 1.5 times it.
const PROVISIONING_TIMEOUT_MIN_FACTOR: f64 = 1.6;
/// See [`PROVISIONING_TIMEOUT_MIN_FACTOR`].
const PROVISIONING_TIMEOUT_MAX_FACTOR: f64 = 4.0;

/// Machine type, zone, spot.
type MachineClass = (String, String, bool);

/// The boots that one owner has seen.
#[derive(Debug, Default)]
pub(crate) struct BootTimes {
    samples_by_class: BTreeMap<MachineClass, VecDeque<u64>>,
}

impl BootTimes {
    /// Records that a machine's first heartbeat came `boot_ms` after its request.
    pub(crate) fn record_boot(&mut self, kind: &str, zone: &str, spot: bool, boot_ms: u64) {
        let samples = self
            .samples_by_class
            .entry((kind.to_owned(), zone.to_owned(), spot))
            .or_default();
        samples.push_back(boot_ms);
        if samples.len() > BOOT_SAMPLES_MAX {
            samples.pop_front();
        }
    }

    /// ms that `percent` of the last boots did not exceed; `None` until
    /// enough were seen.
    fn quantile(&self, kind: &str, zone: &str, spot: bool, percent: usize) -> Option<u64> {
        let samples = self
            .samples_by_class
            .get(&(kind.to_owned(), zone.to_owned(), spot))
            .filter(|s| s.len() >= BOOT_SAMPLES_MIN)?;
        let mut sorted: Vec<u64> = samples.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * percent).div_ceil(100).max(1) - 1)
            .copied()
    }

    /// ms that a boot usually takes, where the catalog says `listed_ms`.
    pub(crate) fn usual_ms(&self, kind: &str, zone: &str, spot: bool, listed_ms: u64) -> u64 {
        let most = (listed_ms as f64 * USUAL_BOOT_MAX_FACTOR) as u64;
        self.quantile(kind, zone, spot, 50).map_or(listed_ms, |ms| {
            ms.clamp((listed_ms as f64 * USUAL_BOOT_MIN_FACTOR) as u64, most)
        })
    }

    /// ms after which the provisioning of a machine has timed out: it may still come up, but
    /// is no longer counted on.
    pub(crate) fn provisioning_timeout_ms(
        &self,
        kind: &str,
        zone: &str,
        spot: bool,
        listed_ms: u64,
    ) -> u64 {
        let (least, most) = (
            (listed_ms as f64 * PROVISIONING_TIMEOUT_MIN_FACTOR) as u64,
            (listed_ms as f64 * PROVISIONING_TIMEOUT_MAX_FACTOR) as u64,
        );
        self.quantile(kind, zone, spot, 90)
            .map_or(least, |ms| (ms + ms / 4).clamp(least, most))
    }
}

#[cfg(test)]
mod tests;
