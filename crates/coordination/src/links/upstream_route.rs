//! The way to one of the services: by itself, or through another controller
//! that still reaches it.

use std::collections::BTreeMap;

use super::failure_detector::FailureDetector;
use lemonweir_model::constants::*;

/// A controller that could carry, and when the service last answered it by
/// itself, ms.
pub(crate) type Candidate = (u16, u64);

/// The way to one service.
#[derive(Debug, Default)]
pub(crate) struct UpstreamRoute {
    pub(crate) small: FailureDetector,
    /// Requests of [`LARGE_BYTES`] and more.
    pub(crate) large: FailureDetector,
    carrier: Option<u16>,
    /// Carriers that failed, and until when they rest.
    resting: BTreeMap<u16, u64>,
    probe_at: u64,
    /// Since when the direct way answers again.
    good_since: Option<u64>,
    large_trial: u64,
    /// For how long it must have, and when it last failed.
    patience_ms: u64,
    fell_at: Option<u64>,
}

impl UpstreamRoute {
    /// When the service last answered by itself, ms.
    pub(crate) fn word(&self) -> Option<u64> {
        self.small.answered.max(self.large.answered)
    }

    /// Who carries now.
    pub(crate) fn carrier(&self) -> Option<u16> {
        self.carrier
    }

    /// Whom a request goes through; `None`: it goes by itself. `able`: who could
    /// carry, most recent word first.
    pub(crate) fn route(&mut self, large: bool, able: &[Candidate], now: u64) -> Option<u16> {
        let large_down = large && self.large.down();
        if !self.small.down() && !large_down {
            return None;
        }
        if !self.small.down() && now >= self.large_trial {
            self.large_trial = now + LARGE_TRIAL_MS;
            return None;
        }
        // In an outage for all nobody's word is newer than ours, so that
        // nothing is carried in a circle of those who have none.
        let newer =
            |at: u64| large_down || self.word().is_none_or(|own| at > own + CARRIER_NEWER_MS);
        let fit: Vec<u16> = able
            .iter()
            .filter(|(_, at)| newer(*at))
            .map(|(host, _)| *host)
            .collect();
        let rested = |host: &u16| self.resting.get(host).is_none_or(|until| now >= *until);
        // Who carries goes on, so that a route does not swing between two.
        let same = self.carrier.filter(|c| fit.contains(c) && rested(c));
        self.carrier = same.or_else(|| fit.iter().copied().find(rested));
        self.carrier
    }

    /// The direct way was tried; true if the way changes by it.
    pub(crate) fn tried(&mut self, large: bool, good: bool, now: u64) -> bool {
        let gauge = if large {
            &mut self.large
        } else {
            &mut self.small
        };
        if !good {
            self.good_since = None;
            let fell = gauge.miss(now) && gauge.down();
            if fell {
                let flaps = self.fell_at.is_some_and(|at| now < at + FLAPPING_MS);
                self.patience_ms = if flaps {
                    (2 * self.patience_ms).min(DIRECT_AGAIN_MOST_MS)
                } else {
                    DIRECT_AGAIN_MS
                };
                self.fell_at = Some(now);
                self.probe_at = now + PROBE_MS;
                self.large_trial = now + LARGE_TRIAL_MS;
            }
            return fell;
        }
        if !gauge.down() || large {
            return gauge.answer(now);
        }
        // Guards against a link that flaps: while others carry, it must have
        // answered for a while before it is relied on.
        let since = *self.good_since.get_or_insert(now);
        // Our word stays as old as it is, so that the carrier's counts as newer.
        if self.carrier.is_some() && now < since + self.patience_ms {
            return false;
        }
        self.good_since = None;
        self.carrier = None;
        gauge.answer(now)
    }

    /// A carrier was tried.
    pub(crate) fn carried(&mut self, by: u16, good: bool, now: u64) {
        if good {
            self.resting.remove(&by);
        } else {
            self.resting.insert(by, now + CARRIER_REST_MS);
        }
    }

    /// True if the direct way should be tried now.
    pub(crate) fn probe(&mut self, now: u64) -> bool {
        let due = self.small.down() && self.carrier.is_some() && now >= self.probe_at;
        if due {
            self.probe_at = now + PROBE_MS;
        }
        due
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fallen(now: u64) -> UpstreamRoute {
        let mut way = UpstreamRoute::default();
        way.tried(false, true, now);
        way.tried(false, false, now + 2_000);
        assert!(way.tried(false, false, now + 2_500));
        way
    }

    #[test]
    fn goes_through_who_has_a_newer_word_and_keeps_to_it() {
        let mut way = fallen(1_000);
        assert_eq!(way.route(false, &[], 3_600), None);
        assert_eq!(way.route(false, &[(1, 3_400), (2, 3_300)], 3_600), Some(1));
        assert_eq!(way.route(false, &[(2, 4_000), (1, 3_900)], 4_200), Some(1));
        way.carried(1, false, 4_300);
        assert_eq!(way.route(false, &[(2, 4_000), (1, 3_900)], 4_400), Some(2));
    }

    #[test]
    fn an_outage_for_all_is_carried_by_nobody() {
        let mut way = fallen(1_000);
        // The others' last words are as old as ours.
        assert_eq!(
            way.route(false, &[(1, 1_000 + CARRIER_NEWER_MS), (2, 900)], 3_600),
            None
        );
    }

    #[test]
    fn a_link_that_flaps_is_relied_on_later_each_time() {
        let mut way = fallen(1_000);
        let mut now = 4_000;
        let mut waits = Vec::new();
        for _ in 0..4 {
            assert_eq!(way.route(false, &[(1, now)], now), Some(1));
            let began = now;
            while way
                .route(false, &[(1, now + CARRIER_NEWER_MS + 1)], now)
                .is_some()
            {
                now += 500;
                way.tried(false, true, now);
            }
            waits.push(now - began);
            now += 2_000;
            way.tried(false, false, now);
            way.tried(false, false, now + 100);
            now += 200;
        }
        assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
    }

    #[test]
    fn large_requests_alone_are_carried_where_only_they_hang() {
        let mut way = UpstreamRoute::default();
        way.tried(false, true, 1_000);
        way.tried(true, false, 3_000);
        way.tried(true, false, 4_500);
        way.tried(false, true, 4_600);
        let able = [(1, 4_000)];
        assert_eq!(way.route(false, &able, 5_000), None);
        assert_eq!(way.route(true, &able, 5_000), Some(1));
        // Now and then one tries the direct way.
        assert_eq!(way.route(true, &able, 4_500 + LARGE_TRIAL_MS), None);
        way.tried(true, true, 4_600 + LARGE_TRIAL_MS);
        assert_eq!(way.route(true, &able, 5_000 + LARGE_TRIAL_MS), None);
    }
}
