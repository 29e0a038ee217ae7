//! How long machines take from the request to their first report, learned by
//! type, zone and kind from the reports themselves.
//!
//! The catalog's boot time is what is usual; some nights machines come several
//! times as late, in a second, or never. What is learned is a quantile of the
//! last boots, so that a few odd ones don't move it, and bounded both ways by
//! the catalog's value, which counts alone until enough was seen.

use std::collections::{BTreeMap, VecDeque};

use lemonweir_model::constants::*;

/// Type, zone, spot.
type Class = (String, String, bool);

/// What one owner has seen.
#[derive(Debug, Default)]
pub(crate) struct BootTimes {
    seen: BTreeMap<Class, VecDeque<u64>>,
}

impl BootTimes {
    /// A machine's first report came this long after its request.
    pub(crate) fn came_up(&mut self, kind: &str, zone: &str, spot: bool, took_ms: u64) {
        let seen = self
            .seen
            .entry((kind.to_owned(), zone.to_owned(), spot))
            .or_default();
        seen.push_back(took_ms);
        if seen.len() > BOOTS_KEPT {
            seen.pop_front();
        }
    }

    /// So many percent of the last boots took no longer than this; `None` until
    /// enough were seen.
    fn quantile(&self, kind: &str, zone: &str, spot: bool, percent: usize) -> Option<u64> {
        let seen = self
            .seen
            .get(&(kind.to_owned(), zone.to_owned(), spot))
            .filter(|s| s.len() >= BOOTS_ENOUGH)?;
        let mut sorted: Vec<u64> = seen.iter().copied().collect();
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
    pub(crate) fn overdue_ms(&self, kind: &str, zone: &str, spot: bool, listed_ms: u64) -> u64 {
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

    fn boots(times: &[u64]) -> BootTimes {
        let mut boots = BootTimes::default();
        times
            .iter()
            .for_each(|ms| boots.came_up("box", "north", true, *ms));
        boots
    }

    #[test]
    fn the_catalog_counts_until_enough_was_seen() {
        let few = boots(&[1_000; BOOTS_ENOUGH - 1]);
        assert_eq!(
            (
                few.usual_ms("box", "north", true, 30_000),
                few.overdue_ms("box", "north", true, 30_000)
            ),
            (30_000, 48_000)
        );
        let enough = boots(&[1_000; BOOTS_ENOUGH]);
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
        let late = boots(&[70_000; 20]);
        assert_eq!(
            (
                late.usual_ms("box", "north", true, 30_000),
                late.overdue_ms("box", "north", true, 30_000)
            ),
            (70_000, 87_500)
        );
        let never = boots(&[900_000; 20]);
        assert_eq!(
            (
                never.usual_ms("box", "north", true, 30_000),
                never.overdue_ms("box", "north", true, 30_000)
            ),
            (90_000, 120_000)
        );
        let odd: Vec<u64> = (0..30)
            .map(|n| if n % 15 == 0 { 900_000 } else { 30_000 })
            .collect();
        assert_eq!(boots(&odd).overdue_ms("box", "north", true, 30_000), 48_000);
        // What is usual follows within as many boots as are kept.
        let mut turned = boots(&[1_000; 100]);
        (0..BOOTS_KEPT).for_each(|_| turned.came_up("box", "north", true, 31_000));
        assert_eq!(turned.usual_ms("box", "north", true, 30_000), 31_000);
    }
}
