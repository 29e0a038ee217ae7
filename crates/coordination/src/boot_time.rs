//! Boot times: the time from the request of a machine to its first heartbeat, estimated per
//! machine type, zone and market from observed boots.
//!
//! The catalog lists the typical boot time, but at times machines take several times as long,
//! boot within a second, or never come up. Estimates are quantiles of the last boots, so that a
//! few outliers don't shift them, and are bounded on both sides by multiples of the catalog's
//! value. Until enough boots were observed, the catalog's value is used.

use std::collections::{BTreeMap, VecDeque};

/// Boots kept per class: the estimate covers the last minutes.
const BOOT_SAMPLES_MAX: usize = 32;
/// Observed boots required before they replace the catalog's value.
const BOOT_SAMPLES_MIN: usize = 8;
/// Lower bound of the typical boot time, as a multiple of the catalog's. Without bounds,
/// observed boots of a second would have idle machines released at once, and boots of minutes
/// would have all of them kept.
const TYPICAL_BOOT_MIN_FACTOR: f64 = 0.25;
/// Upper bound; see [`TYPICAL_BOOT_MIN_FACTOR`].
const TYPICAL_BOOT_MAX_FACTOR: f64 = 3.0;
/// Lower bound of the provisioning timeout, as a multiple of the catalog's boot time: according
/// to the protocol documentation, usual boots take up to 1.5 times it.
const PROVISIONING_TIMEOUT_MIN_FACTOR: f64 = 1.6;
/// Upper bound; see [`PROVISIONING_TIMEOUT_MIN_FACTOR`].
const PROVISIONING_TIMEOUT_MAX_FACTOR: f64 = 4.0;

/// Machine type, zone, and whether it is a spot instance.
type MachineClass = (String, String, bool);

/// Boot times observed by one owner.
#[derive(Debug, Default)]
pub(crate) struct BootTimes {
    samples_by_class: BTreeMap<MachineClass, VecDeque<u64>>,
}

impl BootTimes {
    /// Records that a machine's first heartbeat came `boot_ms` after its request.
    pub(crate) fn record_boot(&mut self, machine_type: &str, zone: &str, spot: bool, boot_ms: u64) {
        let samples = self
            .samples_by_class
            .entry((machine_type.to_owned(), zone.to_owned(), spot))
            .or_default();
        samples.push_back(boot_ms);
        if samples.len() > BOOT_SAMPLES_MAX {
            samples.pop_front();
        }
    }

    /// Returns the time that `percent` of the last boots did not exceed, ms; `None` until enough
    /// were observed.
    fn quantile(&self, machine_type: &str, zone: &str, spot: bool, percent: usize) -> Option<u64> {
        let samples = self
            .samples_by_class
            .get(&(machine_type.to_owned(), zone.to_owned(), spot))
            .filter(|s| s.len() >= BOOT_SAMPLES_MIN)?;
        let mut sorted: Vec<u64> = samples.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * percent).div_ceil(100).max(1) - 1)
            .copied()
    }

    /// Returns the typical boot time, ms, given the catalog's `catalog_ms`.
    pub(crate) fn typical_ms(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        catalog_ms: u64,
    ) -> u64 {
        let max_ms = (catalog_ms as f64 * TYPICAL_BOOT_MAX_FACTOR) as u64;
        self.quantile(machine_type, zone, spot, 50)
            .map_or(catalog_ms, |ms| {
                ms.clamp((catalog_ms as f64 * TYPICAL_BOOT_MIN_FACTOR) as u64, max_ms)
            })
    }

    /// Returns the time after which the provisioning of a machine times out, ms. The machine may
    /// still come up, but is no longer expected.
    pub(crate) fn provisioning_timeout_ms(
        &self,
        machine_type: &str,
        zone: &str,
        spot: bool,
        catalog_ms: u64,
    ) -> u64 {
        let (min_ms, max_ms) = (
            (catalog_ms as f64 * PROVISIONING_TIMEOUT_MIN_FACTOR) as u64,
            (catalog_ms as f64 * PROVISIONING_TIMEOUT_MAX_FACTOR) as u64,
        );
        self.quantile(machine_type, zone, spot, 90)
            .map_or(min_ms, |ms| (ms + ms / 4).clamp(min_ms, max_ms))
    }
}

#[cfg(test)]
mod tests;
