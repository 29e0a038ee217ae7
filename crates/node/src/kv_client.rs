//! The state service's client. It keeps this node's share of the service's
//! limits, so that no node starves another.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::router::Router;
use lemonweir_coordination::rate_limit::{RequestBudget, TokenBucket};
use lemonweir_model::constants::{BUDGET_PERCENT, STATE_TIMEOUT_MS, STORE_PAGE};
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse,
    WatchResponse,
};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::{CallError, Response};

/// Why the store gave no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum KvError {
    /// Not executed: no connection, 429 or 503.
    #[error("state service unavailable")]
    Unavailable,
    /// May have been executed, or may be later.
    #[error("no response from the state service")]
    Unknown,
    /// The hold has ended.
    #[error("no such hold")]
    NoHold,
    /// The revision asked for is too old.
    #[error("revision too old")]
    TooOld,
    /// Refused as malformed.
    #[error("refused by the state service")]
    Refused,
}

/// What became of a transaction.
#[derive(Debug, PartialEq, Eq, Clone)]
pub enum CompareAndSwapResult {
    /// Made, at this revision.
    Done(u64),
    /// Not made: these keys had another version.
    Conflict(Vec<String>),
}

/// A [`TokenBucket`] on this process's steady clock.
pub(crate) struct Budget {
    bucket: RefCell<TokenBucket>,
    started: Instant,
}

impl Budget {
    /// A budget for one of `nodes` that share `whole` a second.
    pub(crate) fn new(whole: f64, nodes: usize) -> Self {
        Self::falling(whole, whole, nodes)
    }

    /// The same where the whole may fall to `least` without notice.
    pub(crate) fn falling(whole: f64, least: f64, nodes: usize) -> Self {
        Self {
            bucket: RefCell::new(TokenBucket::new(whole, nodes, 0).falling_to(least)),
            started: Instant::now(),
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Takes `n` tokens; returns how long to wait for them.
    pub(crate) fn take(&self, n: f64) -> Duration {
        Duration::from_micros(self.bucket.borrow_mut().take(n, self.now_us()))
    }

    /// How long something taken now would have to wait.
    fn wait(&self) -> Duration {
        Duration::from_micros(self.bucket.borrow().wait(self.now_us()))
    }

    /// The other side refused.
    pub(crate) fn refused(&self) {
        self.bucket.borrow_mut().refused_for_good();
    }
}

/// The client; cheap to clone.
#[derive(Clone)]
pub struct KvClient {
    courier: Rc<Router>,
    requests: Rc<RefCell<RequestBudget>>,
    writes: Rc<Budget>,
    started: Instant,
}

impl KvClient {
    /// A client that shares the limits with the other nodes.
    pub(crate) fn new(courier: Rc<Router>, limits: &KvStoreLimits, nodes: usize) -> Self {
        let ours = |x: f64| x * BUDGET_PERCENT as f64 / 100.0;
        let requests = Rc::new(RefCell::new(RequestBudget::new(ours(limits.requests_per_s), nodes, 0)));
        Self {
            courier,
            requests,
            writes: Rc::new(Budget::falling(
                ours(limits.writes_per_s),
                ours(limits.lowest_writes_per_s()),
                nodes,
            )),
            started: Instant::now(),
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// How long a change would have to wait for its turn.
    pub fn write_wait(&self) -> Duration {
        self.writes.wait().max(Duration::from_micros(
            self.requests.borrow().wait(self.now_us()),
        ))
    }

    /// How long a question would have to wait for its turn.
    pub(crate) fn question_wait(&self) -> Duration {
        Duration::from_micros(self.requests.borrow().question_wait(self.now_us()))
    }

    /// Waits for the budget of what answers users.
    async fn question(&self) {
        let wait = self.requests.borrow_mut().ask(self.now_us());
        if wait > 0 {
            smol::Timer::after(Duration::from_micros(wait)).await;
        }
    }

    /// Waits for the budget. Holds are renewed without waiting: losing a part
    /// costs far more than a request over the share.
    async fn budget(&self, writes: usize) {
        let mut wait = Duration::from_micros(self.requests.borrow_mut().take(self.now_us()));
        if writes > 0 {
            wait = wait.max(self.writes.take(writes as f64));
        }
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
    }

    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, KvError> {
        let response = self
            .courier
            .call(Service::Store, method, path, body, STATE_TIMEOUT_MS)
            .await
            .map_err(|e| match e {
                CallError::NotSent => KvError::Unavailable,
                CallError::Unknown => KvError::Unknown,
            })?;
        match response.status {
            429 => {
                self.requests.borrow_mut().refused();
                if path == "/txn" {
                    self.writes.refused();
                }
                Err(KvError::Unavailable)
            }
            503 => Err(KvError::Unavailable),
            _ => Ok(response),
        }
    }

    /// Reads some keys with a prefix, in their order, for a user's question.
    pub(crate) async fn page(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<KeyValue>, KvError> {
        self.question().await;
        let response = self
            .call(
                "GET",
                &format!("/store?under={prefix}&after={after}&limit={limit}"),
                &[],
            )
            .await?;
        match response.status {
            200 => decode::<ListResponse>(&response.body)
                .map(|page| page.entries)
                .map_err(|_| KvError::Unknown),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, KvError> {
        self.budget(0).await;
        let response = self.call("GET", &format!("/store/{key}"), &[]).await?;
        match response.status {
            200 => decode(&response.body)
                .map(Some)
                .map_err(|_| KvError::Unknown),
            404 => Ok(None),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads all keys with a prefix. The revision is that of the first page:
    /// following the changes from there misses nothing.
    pub async fn list(&self, prefix: &str) -> Result<(Vec<KeyValue>, u64), KvError> {
        let mut all: Vec<KeyValue> = Vec::new();
        let mut first = None;
        loop {
            self.budget(0).await;
            let after = all
                .last()
                .map(|e| format!("&after={}", e.key))
                .unwrap_or_default();
            let response = self
                .call(
                    "GET",
                    &format!("/store?under={prefix}{after}&limit={STORE_PAGE}"),
                    &[],
                )
                .await?;
            if response.status != 200 {
                return Err(KvError::Refused);
            }
            let page: ListResponse = decode(&response.body).map_err(|_| KvError::Unknown)?;
            first.get_or_insert(page.revision);
            let empty = page.entries.is_empty();
            all.extend(page.entries);
            if !page.truncated || empty {
                return Ok((all, first.unwrap_or_default()));
            }
        }
    }

    /// Makes a transaction.
    pub async fn cas(&self, cas: &CompareAndSwap) -> Result<CompareAndSwapResult, KvError> {
        match cas.writes.len() {
            // Only asks.
            0 => self.question().await,
            writes => self.budget(writes).await,
        }
        let response = self.call("POST", "/txn", &encode(cas)).await?;
        match response.status {
            200 => Ok(CompareAndSwapResult::Done(
                decode::<CompareAndSwapResponse>(&response.body)
                    .map_err(|_| KvError::Unknown)?
                    .revision,
            )),
            409 => Ok(CompareAndSwapResult::Conflict(
                decode::<CompareAndSwapResponse>(&response.body)
                    .map_err(|_| KvError::Unknown)?
                    .failed,
            )),
            400 if String::from_utf8_lossy(&response.body).contains("no such lease") => {
                Err(KvError::NoHold)
            }
            _ => Err(KvError::Refused),
        }
    }

    /// Gets a hold.
    pub async fn hold(&self, ttl_ms: u64) -> Result<u64, KvError> {
        let response = self
            .call("POST", "/holds", &encode(&LeaseRequest { ttl_ms }))
            .await?;
        match response.status {
            200 => decode::<LeaseResponse>(&response.body)
                .map(|r| r.lease)
                .map_err(|_| KvError::Unknown),
            _ => Err(KvError::Refused),
        }
    }

    /// Renews a hold.
    pub async fn renew(&self, hold: u64) -> Result<(), KvError> {
        let response = self
            .call("POST", &format!("/holds/{hold}/renew"), &[])
            .await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KvError::NoHold),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads the changes under a prefix since a revision, without waiting.
    pub async fn changes(&self, prefix: &str, after: u64) -> Result<WatchResponse, KvError> {
        self.question().await;
        let response = self
            .call(
                "GET",
                &format!("/watch?under={prefix}&after={after}&waitMs=0"),
                &[],
            )
            .await?;
        match response.status {
            200 => decode(&response.body).map_err(|_| KvError::Unknown),
            410 => Err(KvError::TooOld),
            _ => Err(KvError::Refused),
        }
    }
}
