//! How long machines take from the request to their first report, learned by
//! type, zone and kind from the reports themselves.
//!
//! The catalog's boot time is what is usual; some nights machines come several
//! times as late, in a second, or never. What is learned is a quantile of the
//! last boots, so that a few odd ones don't move it, and bounded both ways by
//! the catalog's value, which counts alone until enough was samples.

use std::collections::{BTreeMap, VecDeque};

use lemonweir_model::constants::*;

/// Type, zone, spot.
type Class = (String, String, bool);

/// What one owner has samples.
#[derive(Debug, Default)]
pub(crate) struct BootTimes {
    samples_by_class: BTreeMap<Class, VecDeque<u64>>,
}

impl BootTimes {
    /// A machine's first report came this long after its request.
    pub(crate) fn record_boot(&mut self, kind: &str, zone: &str, spot: bool, took_ms: u64) {
        let samples = self
            .samples_by_class
            .entry((kind.to_owned(), zone.to_owned(), spot))
            .or_default();
        samples.push_back(took_ms);
        if samples.len() > BOOTS_KEPT {
            samples.pop_front();
        }
    }

    /// So many percent of the last boots took no longer than this; `None` until
    /// enough were samples.
    fn quantile(&self, kind: &str, zone: &str, spot: bool, percent: usize) -> Option<u64> {
        let samples = self
            .samples_by_class
            .get(&(kind.to_owned(), zone.to_owned(), spot))
            .filter(|s| s.len() >= BOOTS_ENOUGH)?;
        let mut sorted: Vec<u64> = samples.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * percent).div_ceil(100).max(1) - 1)
            .copied()
    }

    /// ms that a boot usually takes, where the catalog says `listed_ms`.
    pub(crate) fn usual_ms(&self, kind: &str, zone: &str, spot: bool, listed_ms: u64) -> u64 {
        let most = (listed_ms as f64 * BOOT_USUAL_MOST) as u64;
        self.quantile(kind, zone, spot, 50).map_or(listed_ms, |ms| {
            ms.clamp((listed_ms as f64 * BOOT_USUAL_LEAST) as u64, most)
        })
    }

    /// ms after which a machine that has not come up is overdue: it may still
    /// come, but is no longer counted on.
    pub(crate) fn provisioning_timeout_ms(
        &self,
        kind: &str,
        zone: &str,
        spot: bool,
        listed_ms: u64,
    ) -> u64 {
        let (least, most) = (
            (listed_ms as f64 * BOOT_LATE_LEAST) as u64,
            (listed_ms as f64 * BOOT_LATE_MOST) as u64,
        );
        self.quantile(kind, zone, spot, 90)
            .map_or(least, |ms| (ms + ms / 4).clamp(least, most))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn boot_times(times: &[u64]) -> BootTimes {
        let mut boot_times = BootTimes::default();
        times
            .iter()
            .for_each(|ms| boot_times.record_boot("box", "north", true, *ms));
        boot_times
    }

    #[test]
    fn the_catalog_counts_until_enough_was_seen() {
        let few = boot_times(&[1_000; BOOTS_ENOUGH - 1]);
        assert_eq!(
            (
                few.usual_ms("box", "north", true, 30_000),
                few.provisioning_timeout_ms("box", "north", true, 30_000)
            ),
            (30_000, 48_000)
        );
        let enough = boot_times(&[1_000; BOOTS_ENOUGH]);
        assert_eq!(
            enough.usual_ms("box", "north", true, 30_000),
            7_500,
            "bounded below"
        );
        assert_eq!(
            enough.usual_ms("box", "north", false, 30_000),
            30_000,
            "of its own kind only"
        );
        assert_eq!(
            enough.usual_ms("box", "south", true, 30_000),
            30_000,
            "and zone"
        );
    }

    #[test]
    fn late_boots_are_learned_and_bounded_and_odd_ones_left_out() {
        let late = boot_times(&[70_000; 20]);
        assert_eq!(
            (
                late.usual_ms("box", "north", true, 30_000),
                late.provisioning_timeout_ms("box", "north", true, 30_000)
            ),
            (70_000, 87_500)
        );
        let never = boot_times(&[900_000; 20]);
        assert_eq!(
            (
                never.usual_ms("box", "north", true, 30_000),
                never.provisioning_timeout_ms("box", "north", true, 30_000)
            ),
            (90_000, 120_000)
        );
        let odd: Vec<u64> = (0..30)
            .map(|n| if n % 15 == 0 { 900_000 } else { 30_000 })
            .collect();
        assert_eq!(
            boot_times(&odd).provisioning_timeout_ms("box", "north", true, 30_000),
            48_000
        );
        // What is usual follows within as many boots as are kept.
        let mut turned = boot_times(&[1_000; 100]);
        (0..BOOTS_KEPT).for_each(|_| turned.record_boot("box", "north", true, 31_000));
        assert_eq!(turned.usual_ms("box", "north", true, 30_000), 31_000);
    }
}
