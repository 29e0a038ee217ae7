//! This controller's share of a rate limit that all controllers share.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use lemonweir_coordination::rate_limit::TokenBucket;

/// A [`TokenBucket`] driven by this process's monotonic clock.
pub(crate) struct RateLimitShare {
    bucket: RefCell<TokenBucket>,
    started: Instant,
}

impl RateLimitShare {
    /// An equal share, for one of `controllers`, of a limit of `limit_per_s`.
    pub(crate) fn new(limit_per_s: f64, controllers: usize) -> Self {
        Self::with_minimum(limit_per_s, limit_per_s, controllers)
    }

    /// Like [`Self::new`], for a shared limit that may fall to `minimum_per_s` without notice.
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

    /// Takes `count` tokens and returns how long to wait before using them.
    pub(crate) fn reserve(&self, count: f64) -> Duration {
        Duration::from_micros(self.bucket.borrow_mut().reserve(count, self.now_us()))
    }

    /// How long a token taken now would have to wait. Takes no token.
    pub(crate) fn current_wait(&self) -> Duration {
        Duration::from_micros(self.bucket.borrow().wait(self.now_us()))
    }

    /// Records that the service rejected a request over its rate limit (429).
    pub(crate) fn on_rejected(&self) {
        self.bucket.borrow_mut().learn_limit_from_refusal();
    }
}
