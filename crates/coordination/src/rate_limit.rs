//! This node's share of a limit that all nodes have in common.

use lemonweir_model::constants::{
    BUDGET_FALL, BUDGET_RISE, QUESTIONS_SHARE, WHOLE_FALL, WHOLE_RISE,
};

/// Tokens that refill with time; callers wait for theirs.
///
/// The limit is all nodes' together. Each may always use its equal share; one
/// that waits for tokens takes more, up to the whole, and falls back when the
/// other side refuses: one placer may do nearly all the writing while the
/// others only read. Times are µs by any steady clock.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    share: f64,
    /// What all nodes together take at most, and what the settings promise.
    whole: f64,
    promised: f64,
    /// What it will be at the least.
    least: f64,
    per_s: f64,
    tokens: f64,
    at: u64,
}

impl TokenBucket {
    /// A bucket for one of `nodes` that share `whole` a second.
    pub fn new(whole: f64, nodes: usize, now_us: u64) -> Self {
        let share = whole / nodes as f64;
        Self {
            share,
            whole,
            promised: whole,
            least: whole,
            per_s: share,
            tokens: share.max(1.0),
            at: now_us,
        }
    }

    /// The same where the whole may fall to `least` without notice.
    pub fn falling_to(self, least: f64) -> Self {
        Self {
            least: least.min(self.whole),
            ..self
        }
    }

    /// Takes `n` tokens, going into debt; returns how long to wait for them, µs.
    pub fn take(&mut self, n: f64, now_us: u64) -> u64 {
        let past_s = now_us.saturating_sub(self.at) as f64 / 1e6;
        self.recover(past_s);
        if self.tokens < 0.0 {
            self.per_s = (self.per_s + self.whole * BUDGET_RISE * past_s).min(self.whole);
        } else {
            // What is not needed is left to the others.
            self.per_s = (self.per_s - self.whole * BUDGET_RISE * past_s / 4.0).max(self.share);
        }
        self.tokens = (self.tokens + past_s * self.per_s).min(self.per_s.max(1.0));
        self.at = now_us;
        self.tokens -= n;
        if self.tokens >= 0.0 {
            0
        } else {
            (-self.tokens / self.per_s * 1e6) as u64
        }
    }

    /// How long something taken now would have to wait, µs.
    pub fn wait(&self, now_us: u64) -> u64 {
        let tokens = self.tokens + now_us.saturating_sub(self.at) as f64 / 1e6 * self.per_s;
        ((-tokens).max(0.0) / self.per_s * 1e6) as u64
    }

    /// The other side refused, which may take less than it did. What all nodes together may
    /// take is learned from refusals at the equal share, down to what the settings name.
    ///
    /// Guards against changes that are refused again and again once the service takes fewer,
    /// without notice. Where the settings name no lower limit nothing is learned: a node at
    /// its equal share is refused too while another one takes more than its own.
    pub fn refused_for_good(&mut self) {
        if self.per_s <= self.share {
            let lower = (self.whole * WHOLE_FALL).max(self.least);
            self.share *= lower / self.whole;
            self.whole = lower;
        }
        self.refused();
    }

    /// The other side refused: others need their part.
    pub fn refused(&mut self) {
        self.per_s = (self.per_s * BUDGET_FALL).max(self.share);
        self.tokens = self.tokens.min(0.0);
    }

    /// Nothing was refused for `past_s`: what was learned from refusals is tried again,
    /// slowly.
    fn recover(&mut self, past_s: f64) {
        let whole = (self.whole * (1.0 + WHOLE_RISE * past_s)).min(self.promised);
        self.share *= whole / self.whole;
        self.whole = whole;
    }
}

/// A node's share of the store's requests, of which a part is kept for readings and
/// users' questions.
///
/// Guards against questions that wait for as long as more is to be written than can
/// be: one waits for its turn among all requests or in that part, whichever comes
/// first. It counts as a request all the same, so the others wait for it.
#[derive(Clone, Debug)]
pub struct RequestBudget {
    all: TokenBucket,
    kept: TokenBucket,
}

impl RequestBudget {
    /// The share of one of `nodes` of `whole` a second.
    pub fn new(whole: f64, nodes: usize, now_us: u64) -> Self {
        Self {
            all: TokenBucket::new(whole, nodes, now_us),
            kept: TokenBucket::new(whole / nodes as f64 * QUESTIONS_SHARE, 1, now_us),
        }
    }

    /// Takes a request's turn; returns how long to wait for it, µs.
    pub fn take(&mut self, now_us: u64) -> u64 {
        self.all.take(1.0, now_us)
    }

    /// Takes a question's turn; returns how long to wait for it, µs.
    pub fn ask(&mut self, now_us: u64) -> u64 {
        match self.all.take(1.0, now_us) {
            0 => 0,
            wait => wait.min(self.kept.take(1.0, now_us)),
        }
    }

    /// How long a request would have to wait, µs.
    pub fn wait(&self, now_us: u64) -> u64 {
        self.all.wait(now_us)
    }

    /// How long a question would have to wait, µs.
    pub fn question_wait(&self, now_us: u64) -> u64 {
        self.all.wait(now_us).min(self.kept.wait(now_us))
    }

    /// The store refused: others need their part.
    pub fn refused(&mut self) {
        self.all.refused();
    }
}
