//! Client of the consensus-backed key-value store. It keeps this controller's share of
//! the store's request limits, so that no controller starves another.

use std::cell::RefCell;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::rate_limit_share::RateLimitShare;
use crate::router::{Router, ServiceCall};
use lemonweir_coordination::rate_limit::RequestBudget;
use lemonweir_model::constants::{STORE_BUDGET_PERCENT, STORE_TIMEOUT_MS};
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse,
    WatchResponse,
};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::{CallError, Response};

/// Entries in a page of a store listing: the 512 KiB of a page hold at least this many
/// of our largest records.
const LIST_PAGE_ENTRIES: u32 = 400;

/// Path of a compare-and-swap; its rejections also bound the rate of writes.
const COMPARE_AND_SWAP_PATH: &str = "/txn";

/// Why the store gave no result.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone, Copy)]
pub enum KvError {
    /// Not executed: no connection, 429 or 503.
    #[error("key-value store unavailable")]
    Unavailable,
    /// May have been executed, or may still be.
    #[error("no response from the key-value store")]
    Unknown,
    /// The store lease has expired.
    #[error("store lease expired")]
    LeaseExpired,
    /// The changes since the given revision are no longer kept (compacted).
    #[error("revision compacted")]
    RevisionCompacted,
    /// Refused as malformed.
    #[error("refused by the key-value store as malformed")]
    Refused,
}

/// Outcome of a compare-and-swap that the store answered.
#[derive(Debug, PartialEq, Eq, Clone)]
pub enum CompareAndSwapResult {
    /// Committed, at this revision.
    Committed(u64),
    /// Not committed: these keys had another version than the conditions demand.
    Conflict(Vec<String>),
}

/// Id of a lease in the store. Keys written with it are deleted by the store when the
/// lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLeaseId(NonZeroU64);

impl StoreLeaseId {
    /// The id as it is sent.
    pub fn get(self) -> u64 {
        self.0.get()
    }
}

/// The entries under a prefix, with the revision that they are at least as new as.
pub struct Listing {
    /// All entries, in the order of their keys.
    pub entries: Vec<KeyValue>,
    /// Revision of the first page: following the changes from there misses nothing.
    pub revision: u64,
}

/// The client; cheap to clone.
#[derive(Clone)]
pub struct KvClient {
    router: Rc<Router>,
    requests: Rc<RefCell<RequestBudget>>,
    writes: Rc<RateLimitShare>,
    started: Instant,
}

impl KvClient {
    /// A client that shares the store's limits with the other controllers.
    pub(crate) fn new(router: Rc<Router>, limits: &KvStoreLimits, controllers: usize) -> Self {
        let usable = |rate: f64| rate * STORE_BUDGET_PERCENT as f64 / 100.0;
        let requests = RequestBudget::new(usable(limits.requests_per_s), controllers, 0);
        Self {
            router,
            requests: Rc::new(RefCell::new(requests)),
            writes: Rc::new(RateLimitShare::with_minimum(
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

    /// How long a write would have to wait for its turn.
    pub fn write_wait(&self) -> Duration {
        let request_wait = Duration::from_micros(self.requests.borrow().wait(self.now_us()));
        self.writes.current_wait().max(request_wait)
    }

    /// How long a user's query would have to wait for its turn.
    pub(crate) fn query_wait(&self) -> Duration {
        Duration::from_micros(self.requests.borrow().query_wait(self.now_us()))
    }

    /// Waits for the turn of a request that answers a user.
    async fn wait_for_query_turn(&self) {
        let wait_us = self.requests.borrow_mut().take_query(self.now_us());
        if wait_us > 0 {
            smol::Timer::after(Duration::from_micros(wait_us)).await;
        }
    }

    /// Waits for the turn of a request with so many writes. Store leases are renewed
    /// without waiting: losing a shard costs far more than a request over the share.
    async fn wait_for_turn(&self, writes: usize) {
        let mut wait = Duration::from_micros(self.requests.borrow_mut().take(self.now_us()));
        if writes > 0 {
            wait = wait.max(self.writes.reserve(writes as f64));
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
                self.requests.borrow_mut().refused();
                if path == COMPARE_AND_SWAP_PATH {
                    self.writes.on_rejected();
                }
                Err(KvError::Unavailable)
            }
            503 => Err(KvError::Unavailable),
            _ => Ok(response),
        }
    }

    /// Reads up to `limit` entries with a prefix that come after a key, in the order of
    /// their keys, for a user's query.
    pub(crate) async fn read_page(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<KeyValue>, KvError> {
        self.wait_for_query_turn().await;
        let path = format!("/store?under={prefix}&after={after}&limit={limit}");
        let response = self.call("GET", &path, &[]).await?;
        match response.status {
            200 => decode::<ListResponse>(&response.body)
                .map(|page| page.entries)
                .map_err(|_| KvError::Unknown),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads a key. `None`: it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, KvError> {
        self.wait_for_turn(0).await;
        let response = self.call("GET", &format!("/store/{key}"), &[]).await?;
        match response.status {
            200 => decode(&response.body)
                .map(Some)
                .map_err(|_| KvError::Unknown),
            404 => Ok(None),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads all entries with a prefix, page by page.
    pub async fn list(&self, prefix: &str) -> Result<Listing, KvError> {
        let mut entries: Vec<KeyValue> = Vec::new();
        let mut first_revision = None;
        loop {
            self.wait_for_turn(0).await;
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

    /// Commits a compare-and-swap, or tells which keys conflict. One without writes only
    /// checks its conditions, and waits as a user's query does.
    pub async fn cas(&self, cas: &CompareAndSwap) -> Result<CompareAndSwapResult, KvError> {
        match cas.writes.len() {
            0 => self.wait_for_query_turn().await,
            writes => self.wait_for_turn(writes).await,
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
            _ => Err(KvError::Refused),
        }
    }

    /// Creates a store lease that lives for `ttl_ms` without renewal.
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

    /// Renews a store lease for its whole time to live.
    pub async fn renew_lease(&self, lease: StoreLeaseId) -> Result<(), KvError> {
        let path = format!("/holds/{}/renew", lease.get());
        let response = self.call("POST", &path, &[]).await?;
        match response.status {
            200 => Ok(()),
            404 => Err(KvError::LeaseExpired),
            _ => Err(KvError::Refused),
        }
    }

    /// Reads the changes under a prefix since a revision, without waiting for one.
    pub async fn changes_since(
        &self,
        prefix: &str,
        revision: u64,
    ) -> Result<WatchResponse, KvError> {
        self.wait_for_query_turn().await;
        let path = format!("/watch?under={prefix}&after={revision}&waitMs=0");
        let response = self.call("GET", &path, &[]).await?;
        match response.status {
            200 => decode(&response.body).map_err(|_| KvError::Unknown),
            410 => Err(KvError::RevisionCompacted),
            _ => Err(KvError::Refused),
        }
    }
}
