//! This controller's share of a request rate that all controllers have in common.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use lemonweir_coordination::rate_limit::TokenBucket;

/// A [`TokenBucket`] on this process's steady clock.
pub(crate) struct RateLimitShare {
    bucket: RefCell<TokenBucket>,
    started: Instant,
}

impl RateLimitShare {
    /// An equal share for one of `controllers` of a limit of `limit_per_s`.
    pub(crate) fn new(limit_per_s: f64, controllers: usize) -> Self {
        Self::with_minimum(limit_per_s, limit_per_s, controllers)
    }

    /// The same where the common limit may fall to `minimum_per_s` without notice.
    pub(crate) fn with_minimum(limit_per_s: f64, minimum_per_s: f64, controllers: usize) -> Self {
        let bucket = TokenBucket::new(limit_per_s, controllers, 0).with_min_limit(minimum_per_s);
        Self {
            bucket: RefCell::new(bucket),
            started: Instant::now(),
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Takes `count` tokens; returns how long to wait before they may be used.
    pub(crate) fn reserve(&self, count: f64) -> Duration {
        Duration::from_micros(self.bucket.borrow_mut().take(count, self.now_us()))
    }

    /// How long a token taken now would have to wait. Takes none.
    pub(crate) fn current_wait(&self) -> Duration {
        Duration::from_micros(self.bucket.borrow().wait(self.now_us()))
    }

    /// The service rejected a request for its rate (429).
    pub(crate) fn on_rejected(&self) {
        self.bucket.borrow_mut().learn_limit_from_refusal();
    }
}
