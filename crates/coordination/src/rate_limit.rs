//! This controller's share of a rate limit that all controllers have in common.

/// Share of a common limit by which a controller that waits raises its rate in a
/// second: it has the whole within some seconds if nobody else wants it.
const RATE_INCREASE_PER_S: f64 = 0.2;
/// What a controller's rate is cut to, in shares of it, by a refusal.
const RATE_DECREASE: f64 = 0.7;
/// What the common limit is taken to be, in shares of it, after a refusal at a controller's
/// equal share: some ten of them follow a limit that fell to two thirds.
const LIMIT_DECREASE: f64 = 0.95;
/// Share by which the learned limit rises again in a second without refusals: one that
/// fell to two thirds is tried in full after some minutes.
const LIMIT_INCREASE_PER_S: f64 = 0.001;
/// Share of a controller's equal part of the store's requests that is kept for readings
/// and queries of users, however much waits to be written.
pub const QUERY_SHARE: f64 = 0.5;

/// A token bucket: tokens refill with time; callers wait for theirs.
///
/// The limit is all controllers' together. Each may always use its equal share; one
/// that waits for tokens takes more, up to the whole, and falls back when the
/// other side refuses: one placer may do nearly all the writing while the
/// others only read. Times are µs by any steady clock.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// This controller's equal share of the limit, per second.
    share: f64,
    /// What all controllers together may take, as learned from refusals, per second.
    limit: f64,
    /// The same as the settings state it.
    configured_limit: f64,
    /// What it will be at the least.
    min_limit: f64,
    /// The rate at which tokens refill now, per second.
    rate: f64,
    /// Tokens at hand; below 0: in debt.
    tokens: f64,
    /// When they were last counted, µs.
    counted_at: u64,
}

impl TokenBucket {
    /// A bucket for one of `controllers` that share `limit` a second.
    pub fn new(limit: f64, controllers: usize, now_us: u64) -> Self {
        let share = limit / controllers as f64;
        Self {
            share,
            limit,
            configured_limit: limit,
            min_limit: limit,
            rate: share,
            tokens: share.max(1.0),
            counted_at: now_us,
        }
    }

    /// The same where the limit may fall to `min_limit` without notice.
    pub fn with_min_limit(self, min_limit: f64) -> Self {
        Self {
            min_limit: min_limit.min(self.limit),
            ..self
        }
    }

    /// Takes `n` tokens, going into debt; returns how long to wait for them, µs.
    pub fn take(&mut self, n: f64, now_us: u64) -> u64 {
        let elapsed_s = now_us.saturating_sub(self.counted_at) as f64 / 1e6;
        self.recover_limit(elapsed_s);
        if self.tokens < 0.0 {
            self.rate = (self.rate + self.limit * RATE_INCREASE_PER_S * elapsed_s).min(self.limit);
        } else {
            // What is not needed is left to the others.
            self.rate =
                (self.rate - self.limit * RATE_INCREASE_PER_S * elapsed_s / 4.0).max(self.share);
        }
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.counted_at = now_us;
        self.tokens -= n;
        if self.tokens >= 0.0 {
            0
        } else {
            (-self.tokens / self.rate * 1e6) as u64
        }
    }

    /// How long something taken now would have to wait, µs.
    pub fn wait(&self, now_us: u64) -> u64 {
        let elapsed_s = now_us.saturating_sub(self.counted_at) as f64 / 1e6;
        let tokens = self.tokens + elapsed_s * self.rate;
        ((-tokens).max(0.0) / self.rate * 1e6) as u64
    }

    /// The other side refused, which may take less than it did. What all controllers
    /// together may take is learned from refusals at the equal share, down to what the settings name.
    ///
    /// Guards against changes that are refused again and again once the service takes fewer,
    /// without notice. Where the settings name no lower limit nothing is learned: a controller
    /// at its equal share is refused too while another one takes more than its own.
    pub fn refused_by_lower_limit(&mut self) {
        if self.rate <= self.share {
            let lower = (self.limit * LIMIT_DECREASE).max(self.min_limit);
            self.share *= lower / self.limit;
            self.limit = lower;
        }
        self.refused();
    }

    /// The other side refused: others need their share.
    pub fn refused(&mut self) {
        self.rate = (self.rate * RATE_DECREASE).max(self.share);
        self.tokens = self.tokens.min(0.0);
    }

    /// Nothing was refused for `elapsed_s`: what was learned from refusals is tried again,
    /// slowly.
    fn recover_limit(&mut self, elapsed_s: f64) {
        let limit =
            (self.limit * (1.0 + LIMIT_INCREASE_PER_S * elapsed_s)).min(self.configured_limit);
        self.share *= limit / self.limit;
        self.limit = limit;
    }
}

/// A controller's share of the store's requests, some of which is kept for readings and
/// users' queries.
///
/// Guards against queries that wait for as long as more is to be written than can
/// be: one waits for its turn among all requests or in what is kept, whichever comes
/// first. It counts as a request all the same, so the others wait for it.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    all: TokenBucket,
    queries: TokenBucket,
}

impl RequestBudget {
    /// The share of one of `controllers` of `limit` a second.
    pub fn new(limit: f64, controllers: usize, now_us: u64) -> Self {
        Self {
            all: TokenBucket::new(limit, controllers, now_us),
            queries: TokenBucket::new(limit / controllers as f64 * QUERY_SHARE, 1, now_us),
        }
    }

    /// Takes a request's turn; returns how long to wait for it, µs.
    pub fn take(&mut self, now_us: u64) -> u64 {
        self.all.take(1.0, now_us)
    }

    /// Takes a query's turn; returns how long to wait for it, µs.
    pub fn take_query(&mut self, now_us: u64) -> u64 {
        match self.all.take(1.0, now_us) {
            0 => 0,
            wait => wait.min(self.queries.take(1.0, now_us)),
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

    /// The store refused: others need their share.
    pub fn refused(&mut self) {
        self.all.refused();
    }
}
