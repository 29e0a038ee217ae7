//! Client of the consensus-backed key-value store. It stays within this controller's share
//! of the store's rate limits, so that no controller starves another.

use std::cell::RefCell;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tracing::warn;

use crate::rate_limit_share::RateLimitShare;
use crate::router::{Router, ServiceCall};
use lemonweir_coordination::rate_limit::RequestBudget;
use lemonweir_model::constants::{STORE_BUDGET_PERCENT, STORE_TIMEOUT_MS};
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse,
    WatchResponse, Write,
};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::{CallError, Response};

/// Entries per page of a store listing. A page of 512 KiB holds at least this many of the
/// largest records.
const LIST_PAGE_ENTRIES: u32 = 400;

/// Path of a compare-and-swap. Its 429 responses also lower the write rate.
const COMPARE_AND_SWAP_PATH: &str = "/txn";

/// Why a store request gave no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum KvError {
    /// Not executed: the connection failed, or the store responded with 429 or 503.
    #[error("key-value store unavailable")]
    Unavailable,
    /// No usable response: the request may have been executed, or may still be.
    #[error("no response from the key-value store")]
    Unknown,
    /// The store lease has expired.
    #[error("store lease expired")]
    LeaseExpired,
    /// The store has compacted the changes since the requested revision.
    #[error("revision compacted")]
    RevisionCompacted,
    /// Refused as malformed, or answered with unexpected content.
    #[error("refused by the key-value store as malformed")]
    Refused,
}

/// Result of a compare-and-swap that the store answered.
#[derive(Debug, PartialEq, Eq, Clone)]
pub enum CompareAndSwapResult {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: the versions of these keys differ from those the conditions require.
    Conflict(Vec<String>),
}

/// Id of a lease in the store. The store deletes the keys attached to a lease when it
/// expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLeaseId(NonZeroU64);

impl StoreLeaseId {
    /// The number that identifies the lease in requests, never 0.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// The entries under a prefix, with a revision that they are at least as recent as.
pub struct Listing {
    /// All entries, in key order.
    pub entries: Vec<KeyValue>,
    /// Revision of the first page. Watching from it on misses no change.
    pub revision: u64,
}

/// Client of the key-value store; cheap to clone.
#[derive(Clone)]
pub struct KvClient {
    router: Rc<Router>,
    request_budget: Rc<RefCell<RequestBudget>>,
    write_limit: Rc<RateLimitShare>,
    started: Instant,
}

impl KvClient {
    /// Creates a client that shares the store's limits with the other controllers.
    pub(crate) fn new(router: Rc<Router>, limits: &KvStoreLimits, controllers: usize) -> Self {
        let usable = |rate: f64| rate * STORE_BUDGET_PERCENT as f64 / 100.0;
        let request_budget = RequestBudget::new(usable(limits.requests_per_s), controllers, 0);
        Self {
            router,
            request_budget: Rc::new(RefCell::new(request_budget)),
            write_limit: Rc::new(RateLimitShare::with_minimum(
                usable(limits.writes_per_s),
                usable(limits.lowest_writes_per_s()),
                controllers,
            )),
            started: Instant::now(),
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// How long a write sent now would wait for the rate limit.
    pub fn write_wait(&self) -> Duration {
        let request_wait = Duration::from_micros(self.request_budget.borrow().wait(self.now_us()));
        self.write_limit.current_wait().max(request_wait)
    }

    /// How long a user's query sent now would wait for the rate limit.
    pub(crate) fn query_wait(&self) -> Duration {
        Duration::from_micros(self.request_budget.borrow().query_wait(self.now_us()))
    }

    /// Waits until the rate limit admits a user's query or a read that such queries wait for.
    async fn throttle_query(&self) {
        let wait_us = self
            .request_budget
            .borrow_mut()
            .reserve_query(self.now_us());
        if wait_us > 0 {
            smol::Timer::after(Duration::from_micros(wait_us)).await;
        }
    }

    /// Waits until the rate limits admit a request with this number of writes. Lease
    /// requests don't wait: losing a shard costs far more than exceeding the share by one
    /// request.
    async fn throttle(&self, writes: usize) {
        let mut wait = Duration::from_micros(
            self.request_budget
                .borrow_mut()
                .reserve_request(self.now_us()),
        );
        if writes > 0 {
            wait = wait.max(self.write_limit.reserve(writes as f64));
        }
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
    }

    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Response, KvError> {
        let response = self
            .router
            .call(&ServiceCall {
                service: Service::Store,
                method,
                path,
                body,
                timeout_ms: STORE_TIMEOUT_MS,
            })
            .await
            .map_err(|error| match error {
                CallError::NotSent => KvError::Unavailable,
                CallError::Unknown => KvError::Unknown,
            })?;
        match response.status {
            429 => {
                self.request_budget.borrow_mut().refused();
                if path == COMPARE_AND_SWAP_PATH {
                    self.write_limit.on_rejected();
                }
                Err(KvError::Unavailable)
            }
            503 => Err(KvError::Unavailable),
            _ => Ok(response),
        }
    }

    /// Reads up to `limit` entries under a prefix that follow the key `after`, in key order,
    /// for a user's query.
    pub(crate) async fn read_page(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<KeyValue>, KvError> {
        self.throttle_query().await;
        let path = format!("/store?under={prefix}&after={after}&limit={limit}");
        let response = self.call("GET", &path, &[]).await?;
        match response.status {
            200 => decode::<ListResponse>(&response.body)
                .map(|page| page.entries)
                .map_err(|_| KvError::Unknown),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads a key. Returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, KvError> {
        self.throttle(0).await;
        let response = self.call("GET", &format!("/store/{key}"), &[]).await?;
        match response.status {
            200 => decode(&response.body)
                .map(Some)
                .map_err(|_| KvError::Unknown),
            404 => Ok(None),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads all entries under a prefix, page by page.
    pub async fn list(&self, prefix: &str) -> Result<Listing, KvError> {
        let mut entries: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            self.throttle(0).await;
            let after = entries
                .last()
                .map(|entry| format!("&after={}", entry.key))
                .unwrap_or_default();
            let path = format!("/store?under={prefix}{after}&limit={LIST_PAGE_ENTRIES}");
            let response = self.call("GET", &path, &[]).await?;
            if response.status != 200 {
                return Err(KvError::Refused);
            }
            let page: ListResponse = decode(&response.body).map_err(|_| KvError::Unknown)?;
            first_revision.get_or_insert(page.revision);
            let empty = page.entries.is_empty();
            entries.extend(page.entries);
            if !page.truncated || empty {
                return Ok(Listing {
                    entries,
                    revision: first_revision.unwrap_or_default(),
                });
            }
        }
    }

    /// Commits a compare-and-swap, or returns the conflicting keys. One without writes only
    /// checks its conditions, and is rate limited as a user's query.
    pub async fn cas(&self, cas: &CompareAndSwap) -> Result<CompareAndSwapResult, KvError> {
        match cas.writes.len() {
            0 => self.throttle_query().await,
            writes => self.throttle(writes).await,
        }
        let response = self
            .call("POST", COMPARE_AND_SWAP_PATH, &encode(cas))
            .await?;
        let body =
            || decode::<CompareAndSwapResponse>(&response.body).map_err(|_| KvError::Unknown);
        match response.status {
            200 => Ok(CompareAndSwapResult::Committed(body()?.revision)),
            409 => Ok(CompareAndSwapResult::Conflict(body()?.failed)),
            400 if String::from_utf8_lossy(&response.body).contains("no such lease") => {
                Err(KvError::LeaseExpired)
            }
            status => {
                // Shows which of the store's limits it exceeded.
                warn!(
                    status,
                    error = %String::from_utf8_lossy(&response.body),
                    key = cas.writes.first().map(Write::key),
                    writes = cas.writes.len(),
                    conditions = cas.conditions.len(),
                    largest_value_bytes = cas.largest_value_size(),
                    value_bytes = cas.total_value_size(),
                    "compare-and-swap rejected by the key-value store"
                );
                Err(KvError::Refused)
            }
        }
    }

    /// Creates a store lease that expires `ttl_ms` after its last renewal.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<StoreLeaseId, KvError> {
        let response = self
            .call("POST", "/holds", &encode(&LeaseRequest { ttl_ms }))
            .await?;
        if response.status != 200 {
            return Err(KvError::Refused);
        }
        let granted: LeaseResponse = decode(&response.body).map_err(|_| KvError::Unknown)?;
        NonZeroU64::new(granted.lease)
            .map(StoreLeaseId)
            .ok_or(KvError::Refused)
    }

    /// Renews a store lease for its full TTL.
    pub async fn renew_lease(&self, lease: StoreLeaseId) -> Result<(), KvError> {
        let path = format!("/holds/{}/renew", lease.get());
        let response = self.call("POST", &path, &[]).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KvError::LeaseExpired),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads the changes under a prefix since a revision. Returns at once if there are none.
    pub async fn changes_since(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<WatchResponse, KvError> {
        self.throttle_query().await;
        let path = format!("/watch?under={prefix}&after={revision}&waitMs=0");
        let response = self.call("GET", &path, &[]).await?;
        match response.status {
            200 => decode(&response.body).map_err(|_| KvError::Unknown),
            410 => Err(KvError::RevisionCompacted),
            _ => Err(KvError::Refused),
        }
    }
}
