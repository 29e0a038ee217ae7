//! Route to a service: direct, or relayed by another controller that still reaches it.

use std::collections::BTreeMap;

use super::failure_detector::FailureDetector;

/// Size from which a request has its own failure detector, bytes: some partitions let only
/// small messages pass.
const LARGE_REQUEST_BYTES: usize = 4 * 1024;
/// Interval at which a large request is sent directly again while only large ones fail, ms.
const LARGE_RETRY_MS: u64 = 15_000;
/// Time by which a relay's last answer must be newer than this controller's, ms: in an outage
/// that affects every controller, the last answers differ by less.
const RELAY_NEWER_BY_MS: u64 = 700;
/// Time for which a relay that failed is not used again, ms.
const FAILED_RELAY_BACKOFF_MS: u64 = 5_000;
/// Interval between two probes of the direct route while requests are relayed, ms.
const PROBE_INTERVAL_MS: u64 = 2_000;
/// Time for which the direct route must answer before it is used again, ms. Doubled each time it
/// fails again within [`FLAPPING_MS`], so that requests stay relayed while a link flaps every
/// few seconds.
const RECOVERY_MS: u64 = 1_000;
/// Upper bound of the doubled [`RECOVERY_MS`], ms.
const RECOVERY_MAX_MS: u64 = 60_000;
/// Time within which a link that fails again counts as flapping, ms.
const FLAPPING_MS: u64 = 120_000;

/// A controller that could relay to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayCandidate {
    /// Index of the controller.
    pub(crate) index: u16,
    /// When the service last answered it directly, ms.
    pub(crate) last_answer: u64,
}

/// Size class of a request; each has its own failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestSize {
    /// Below [`LARGE_REQUEST_BYTES`].
    Small,
    /// [`LARGE_REQUEST_BYTES`] or more.
    Large,
}

impl RequestSize {
    pub(crate) fn from_byte_count(bytes: usize) -> Self {
        if bytes >= LARGE_REQUEST_BYTES {
            Self::Large
        } else {
            Self::Small
        }
    }
}

/// Outcome of a call to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The service answered.
    Answered,
    /// No answer came.
    Failed,
}

impl CallOutcome {
    pub(crate) fn from_answered(answered: bool) -> Self {
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
    /// Failure detector of the direct link for small requests.
    pub(crate) small: FailureDetector,
    /// Failure detector of the direct link for large requests.
    pub(crate) large: FailureDetector,
    /// Index of the controller chosen when a request last had to be relayed; `None`: none could
    /// relay it, or small requests go directly again.
    relay: Option<u16>,
    /// Relays that failed, and until when they are not used, ms.
    backing_off: BTreeMap<u16, u64>,
    /// When the next probe of the direct route is due, ms.
    next_probe: u64,
    /// When a large request may next be sent directly although large ones fail, ms.
    next_large_retry: u64,
    /// Since when the direct route has been answering again, ms.
    recovering_since: Option<u64>,
    /// For how long the direct route must answer before it is used again, ms.
    recovery_ms: u64,
    /// When the direct link last went down, ms.
    down_at: Option<u64>,
}

impl UpstreamRoute {
    /// Returns when the service last answered directly, ms.
    pub(crate) fn last_answer(&self) -> Option<u64> {
        self.small.last_answer.max(self.large.last_answer)
    }

    /// Returns the index of the controller chosen when a request last had to be relayed.
    pub(crate) fn relay(&self) -> Option<u16> {
        self.relay
    }

    /// Returns true if the direct route is down for requests of this size.
    pub(crate) fn is_down_for(&self, size: RequestSize) -> bool {
        self.small.is_down() || size == RequestSize::Large && self.large.is_down()
    }

    /// Returns the controller that relays a request; `None`: it goes directly. `candidates`
    /// are sorted by their last answer, most recent first.
    pub(crate) fn route(
        &mut self,
        size: RequestSize,
        candidates: &[RelayCandidate],
        now: u64,
    ) -> Option<u16> {
        if !self.is_down_for(size) {
            return None;
        }
        if !self.small.is_down() && now >= self.next_large_retry {
            self.next_large_retry = now + LARGE_RETRY_MS;
            return None;
        }
        let large_down = size == RequestSize::Large && self.large.is_down();
        // In an outage that affects every controller no candidate's answer is newer, which
        // prevents relay loops among controllers that can't reach the service.
        let newer = |at: u64| {
            large_down
                || self
                    .last_answer()
                    .is_none_or(|own| at > own + RELAY_NEWER_BY_MS)
        };
        let eligible: Vec<u16> = candidates
            .iter()
            .filter(|candidate| newer(candidate.last_answer))
            .map(|candidate| candidate.index)
            .collect();
        let not_backing_off =
            |peer: &u16| self.backing_off.get(peer).is_none_or(|until| now >= *until);
        // Keep the current relay, so that the route does not alternate between two.
        let same = self
            .relay
            .filter(|relay| eligible.contains(relay) && not_backing_off(relay));
        self.relay = same.or_else(|| eligible.iter().copied().find(not_backing_off));
        self.relay
    }

    /// Records the outcome of a direct request. After an answer, returns true if the link's state
    /// changes; after a failure, only if the link goes down.
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
            self.next_probe = now + PROBE_INTERVAL_MS;
            self.next_large_retry = now + LARGE_RETRY_MS;
        }
        went_down
    }

    fn record_direct_success(&mut self, size: RequestSize, now: u64) -> bool {
        if size == RequestSize::Large || !self.small.is_down() {
            return self.detector(size).record_success(now);
        }
        // A link that flaps must answer for a while before it replaces a relay.
        let since = *self.recovering_since.get_or_insert(now);
        // The last answer's time is not updated, so that the relay's stays the newer one.
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

    /// Records the outcome of a relayed request.
    pub(crate) fn record_relayed(&mut self, relay: u16, outcome: CallOutcome, now: u64) {
        match outcome {
            CallOutcome::Answered => {
                self.backing_off.remove(&relay);
            }
            CallOutcome::Failed => {
                self.backing_off
                    .insert(relay, now + FAILED_RELAY_BACKOFF_MS);
            }
        }
    }

    /// Returns true if a probe of the direct route is due, and schedules the next one.
    pub(crate) fn take_due_probe(&mut self, now: u64) -> bool {
        let due = self.small.is_down() && self.relay.is_some() && now >= self.next_probe;
        if due {
            self.next_probe = now + PROBE_INTERVAL_MS;
        }
        due
    }
}

#[cfg(test)]
mod tests;
