//! Rate limiting against a limit that all controllers share.

/// Fraction of the common limit by which a controller that waits for tokens raises its rate
/// per second. It reaches the whole limit within seconds if nobody else uses it.
const RATE_INCREASE_PER_S: f64 = 0.2;
/// Factor by which a refusal reduces a controller's rate.
const RATE_DECREASE_FACTOR: f64 = 0.7;
/// Factor by which a refusal at a controller's equal share reduces the learned common limit.
/// After a drop of the limit to two thirds, it takes some ten refusals to follow.
const LIMIT_DECREASE_FACTOR: f64 = 0.95;
/// Fraction by which the learned limit recovers per second. A limit that fell to two thirds is
/// tried in full again after some minutes.
const LIMIT_INCREASE_PER_S: f64 = 0.001;
/// Fraction of a controller's equal share of the store's request rate that is reserved for
/// reads and user queries, however many writes are waiting.
pub const RESERVED_QUERY_SHARE: f64 = 0.5;

/// A token bucket: tokens refill over time, and callers wait for the tokens they take.
///
/// All controllers share the limit. Each may always use its equal share. One that waits for
/// tokens raises its rate up to the whole limit, and lowers it when the service refuses a
/// request. Fixed equal shares would not do, since one placer may do nearly all the writing
/// while the others only read. Times are in µs of any monotonic clock.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// This controller's equal share of the limit, per second.
    share: f64,
    /// Limit for all controllers together as learned from refusals, per second.
    limit: f64,
    /// Limit for all controllers together in the settings, per second.
    configured_limit: f64,
    /// Lower bound of `limit`, per second.
    min_limit: f64,
    /// Current refill rate, per second.
    rate: f64,
    /// Available tokens; negative if in debt.
    tokens: f64,
    /// Time of the last refill, µs.
    refilled_at: u64,
}

impl TokenBucket {
    /// Creates the bucket of one of `controllers` that share `limit` tokens per second.
    pub fn new(limit: f64, controllers: usize, now_us: u64) -> Self {
        let share = limit / controllers as f64;
        Self {
            share,
            limit,
            configured_limit: limit,
            min_limit: limit,
            rate: share,
            tokens: share.max(1.0),
            refilled_at: now_us,
        }
    }

    /// Sets the value to which the common limit may fall without notice.
    pub fn with_min_limit(self, min_limit: f64) -> Self {
        Self {
            min_limit: min_limit.min(self.limit),
            ..self
        }
    }

    /// Takes `n` tokens, going into debt if necessary. Returns how long to wait before using
    /// them, µs.
    pub fn reserve(&mut self, n: f64, now_us: u64) -> u64 {
        let elapsed_s = now_us.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.recover_limit(elapsed_s);
        if self.tokens < 0.0 {
            self.rate = (self.rate + self.limit * RATE_INCREASE_PER_S * elapsed_s).min(self.limit);
        } else {
            // Leave what is not needed to other controllers.
            self.rate =
                (self.rate - self.limit * RATE_INCREASE_PER_S * elapsed_s / 4.0).max(self.share);
        }
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now_us;
        self.tokens -= n;
        if self.tokens >= 0.0 {
            0
        } else {
            (-self.tokens / self.rate * 1e6) as u64
        }
    }

    /// How long a caller that takes a token now would have to wait for the current debt, µs.
    pub fn wait(&self, now_us: u64) -> u64 {
        let elapsed_s = now_us.saturating_sub(self.refilled_at) as f64 / 1e6;
        let tokens = self.tokens + elapsed_s * self.rate;
        ((-tokens).max(0.0) / self.rate * 1e6) as u64
    }

    /// Handles a refusal by a service whose limit may have fallen. The common limit is learned
    /// from refusals at the equal share, down to the minimum in the settings.
    ///
    /// Without this, requests would be refused again and again once the service lowers its
    /// limit without notice. If the settings state no lower limit, nothing is learned: a
    /// controller at its equal share is also refused while another one exceeds its own.
    pub fn learn_limit_from_refusal(&mut self) {
        if self.rate <= self.share {
            let lower = (self.limit * LIMIT_DECREASE_FACTOR).max(self.min_limit);
            self.share *= lower / self.limit;
            self.limit = lower;
        }
        self.refused();
    }

    /// Handles a refusal by the service: drops the available tokens and lowers the rate towards
    /// the equal share, since other controllers need theirs.
    pub fn refused(&mut self) {
        self.rate = (self.rate * RATE_DECREASE_FACTOR).max(self.share);
        self.tokens = self.tokens.min(0.0);
    }

    /// Raises the learned limit slowly back towards the configured one.
    fn recover_limit(&mut self, elapsed_s: f64) {
        let limit =
            (self.limit * (1.0 + LIMIT_INCREASE_PER_S * elapsed_s)).min(self.configured_limit);
        self.share *= limit / self.limit;
        self.limit = limit;
    }
}

/// A controller's share of the store's request rate, part of which is reserved for reads and
/// user queries.
///
/// Queries don't starve while more is to be written than the rate allows: a query waits for a
/// token of the whole budget or of the reserved part, whichever comes first. It always takes
/// a token of the whole budget, so other requests wait for it.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    all: TokenBucket,
    queries: TokenBucket,
}

impl RequestBudget {
    /// Creates the budget of one of `controllers` that share `limit` requests per second.
    pub fn new(limit: f64, controllers: usize, now_us: u64) -> Self {
        Self {
            all: TokenBucket::new(limit, controllers, now_us),
            queries: TokenBucket::new(limit / controllers as f64 * RESERVED_QUERY_SHARE, 1, now_us),
        }
    }

    /// Takes a token for a request; returns how long to wait before sending it, µs.
    pub fn reserve_request(&mut self, now_us: u64) -> u64 {
        self.all.reserve(1.0, now_us)
    }

    /// Takes a token for a query; returns how long to wait before sending it, µs.
    pub fn reserve_query(&mut self, now_us: u64) -> u64 {
        match self.all.reserve(1.0, now_us) {
            0 => 0,
            wait => wait.min(self.queries.reserve(1.0, now_us)),
        }
    }

    /// How long a request would have to wait, µs.
    pub fn wait(&self, now_us: u64) -> u64 {
        self.all.wait(now_us)
    }

    /// How long a query would have to wait, µs.
    pub fn query_wait(&self, now_us: u64) -> u64 {
        self.all.wait(now_us).min(self.queries.wait(now_us))
    }

    /// Handles a refusal by the store, like [`TokenBucket::refused`].
    pub fn refused(&mut self) {
        self.all.refused();
    }
}
