//! The route to one of the services: direct, or relayed by another controller
//! that still reaches it.

use std::collections::BTreeMap;

use super::failure_detector::FailureDetector;

/// Bytes from which on a request is judged apart: some partitions let only small
/// messages pass.
const LARGE_REQUEST_BYTES: usize = 4 * 1024;
/// ms after which a large request tries the direct route again.
const LARGE_RETRY_MS: u64 = 15_000;
/// ms by which a relay's last answer must be newer than ours: in an outage for all, the
/// last answers differ by less.
const RELAY_NEWER_BY_MS: u64 = 700;
/// ms for which a relay that failed is not asked again, if there is another.
const FAILED_RELAY_REST_MS: u64 = 5_000;
/// ms between two probes of the direct route while something is relayed.
const PROBE_GAP_MS: u64 = 2_000;
/// ms for which the direct route must have answered before it is used again;
/// doubled each time it fails again soon, so that a link that flaps every few
/// seconds stays relayed.
const RECOVERY_MS: u64 = 1_000;
/// ms that the doubling stops at.
const RECOVERY_MAX_MS: u64 = 60_000;
/// ms within which a link that fails again counts as flapping.
const FLAPPING_MS: u64 = 120_000;

/// A controller that could relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayCandidate {
    /// Number of the controller.
    pub(crate) host: u16,
    /// When the service last answered it directly, ms.
    pub(crate) last_answer: u64,
}

/// Size of a request, as far as links treat it differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSize {
    /// Below [`LARGE_REQUEST_BYTES`].
    Small,
    /// From there on.
    Large,
}

impl RequestSize {
    pub(crate) fn of(bytes: usize) -> Self {
        if bytes >= LARGE_REQUEST_BYTES {
            Self::Large
        } else {
            Self::Small
        }
    }
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// It was answered.
    Answered,
    /// No answer came.
    Failed,
}

impl CallOutcome {
    pub(crate) fn of(answered: bool) -> Self {
        if answered {
            Self::Answered
        } else {
            Self::Failed
        }
    }
}

/// The route to one service.
#[derive(Debug, Default)]
pub(crate) struct UpstreamRoute {
    /// The direct link.
    pub(crate) small: FailureDetector,
    /// The direct link for large requests.
    pub(crate) large: FailureDetector,
    /// Who relays now.
    relay: Option<u16>,
    /// Relays that failed, and until when they are not asked, ms.
    resting: BTreeMap<u16, u64>,
    next_probe: u64,
    next_large_try: u64,
    /// Since when the direct route answers again, ms.
    recovering_since: Option<u64>,
    /// For how long it must have, ms.
    recovery_ms: u64,
    /// When it last went down, ms.
    down_at: Option<u64>,
}

impl UpstreamRoute {
    /// When the service last answered directly, ms.
    pub(crate) fn last_answer(&self) -> Option<u64> {
        self.small.last_answer.max(self.large.last_answer)
    }

    /// Who relays now.
    pub(crate) fn relay(&self) -> Option<u16> {
        self.relay
    }

    /// True if requests of this size may need a relay.
    pub(crate) fn is_down_for(&self, size: RequestSize) -> bool {
        self.small.is_down() || size == RequestSize::Large && self.large.is_down()
    }

    /// Whom a request is relayed by; `None`: it goes directly. `candidates`: who could
    /// relay, most recent answer first.
    pub(crate) fn route(
        &mut self,
        size: RequestSize,
        candidates: &[RelayCandidate],
        now: u64,
    ) -> Option<u16> {
        if !self.is_down_for(size) {
            return None;
        }
        if !self.small.is_down() && now >= self.next_large_try {
            self.next_large_try = now + LARGE_RETRY_MS;
            return None;
        }
        let large_down = size == RequestSize::Large && self.large.is_down();
        // In an outage for all nobody's answer is newer than ours, so that
        // nothing is relayed in a circle of those who have none.
        let newer = |at: u64| {
            large_down
                || self
                    .last_answer()
                    .is_none_or(|own| at > own + RELAY_NEWER_BY_MS)
        };
        let fit: Vec<u16> = candidates
            .iter()
            .filter(|candidate| newer(candidate.last_answer))
            .map(|candidate| candidate.host)
            .collect();
        let rested = |host: &u16| self.resting.get(host).is_none_or(|until| now >= *until);
        // Who relays goes on, so that a route does not swing between two.
        let same = self
            .relay
            .filter(|relay| fit.contains(relay) && rested(relay));
        self.relay = same.or_else(|| fit.iter().copied().find(rested));
        self.relay
    }

    /// The direct route was tried; true if the route changes by it.
    pub(crate) fn record_direct(
        &mut self,
        size: RequestSize,
        outcome: CallOutcome,
        now: u64,
    ) -> bool {
        match outcome {
            CallOutcome::Answered => self.record_direct_success(size, now),
            CallOutcome::Failed => self.record_direct_failure(size, now),
        }
    }

    fn record_direct_failure(&mut self, size: RequestSize, now: u64) -> bool {
        self.recovering_since = None;
        let detector = self.detector(size);
        let went_down = detector.record_failure(now) && detector.is_down();
        if went_down {
            let flapping = self.down_at.is_some_and(|at| now < at + FLAPPING_MS);
            self.recovery_ms = if flapping {
                (2 * self.recovery_ms).min(RECOVERY_MAX_MS)
            } else {
                RECOVERY_MS
            };
            self.down_at = Some(now);
            self.next_probe = now + PROBE_GAP_MS;
            self.next_large_try = now + LARGE_RETRY_MS;
        }
        went_down
    }

    fn record_direct_success(&mut self, size: RequestSize, now: u64) -> bool {
        if size == RequestSize::Large || !self.small.is_down() {
            return self.detector(size).record_success(now);
        }
        // Guards against a link that flaps: while others relay, it must have
        // answered for a while before it is relied on.
        let since = *self.recovering_since.get_or_insert(now);
        // Our last answer stays as old as it is, so that the relay's counts as newer.
        if self.relay.is_some() && now < since + self.recovery_ms {
            return false;
        }
        self.recovering_since = None;
        self.relay = None;
        self.small.record_success(now)
    }

    fn detector(&mut self, size: RequestSize) -> &mut FailureDetector {
        match size {
            RequestSize::Small => &mut self.small,
            RequestSize::Large => &mut self.large,
        }
    }

    /// A relay was tried.
    pub(crate) fn record_relayed(&mut self, relay: u16, outcome: CallOutcome, now: u64) {
        match outcome {
            CallOutcome::Answered => {
                self.resting.remove(&relay);
            }
            CallOutcome::Failed => {
                self.resting.insert(relay, now + FAILED_RELAY_REST_MS);
            }
        }
    }

    /// True if the direct route should be probed now.
    pub(crate) fn take_due_probe(&mut self, now: u64) -> bool {
        let due = self.small.is_down() && self.relay.is_some() && now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_GAP_MS;
        }
        due
    }
}

#[cfg(test)]
mod tests;
