//! Simulated key-value store, written from the protocol page: versions, compare-and-swap on
//! conditions, watches, leases and limits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lemonweir_model::constants::CONDITIONS_PER_WRITE;
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write};
use rmpv::Value;

/// Number of watch events that the store retains (protocol page).
const MAX_WATCH_EVENTS: usize = 10_000;

/// A stored value with its version and the lease that it is attached to.
#[derive(Clone)]
struct StoredValue {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct StoreLease {
    ttl_us: u64,
    expires_us: u64,
    keys: BTreeSet<String>,
}

/// Result of a compare-and-swap.
pub enum CasAnswer {
    /// Committed; the revision of the store afterwards.
    Committed(u64),
    /// Not committed: these keys did not have the expected version.
    Conflict(Vec<String>),
    /// Not committed: a write is attached to a lease that has expired.
    LeaseExpired,
    /// Not committed: it exceeds the limits on writes, conditions or the size of a value.
    TooLarge,
}

/// Token bucket whose capacity is the tokens of one second.
struct RateLimit {
    per_s: f64,
    tokens: f64,
    at_us: u64,
}

impl RateLimit {
    fn try_take(&mut self, n: f64, now: u64) -> bool {
        self.tokens = (self.tokens + now.saturating_sub(self.at_us) as f64 / 1e6 * self.per_s)
            .min(self.per_s);
        self.at_us = now;
        let admitted = self.tokens >= n;
        if admitted {
            self.tokens -= n;
        }
        admitted
    }
}

/// Numbers of requests and writes that the store admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCounts {
    /// Number of requests admitted.
    pub requests: u64,
    /// Number of writes in these requests.
    pub writes: u64,
}

/// The simulated key-value store.
pub struct Store {
    /// Revision of the latest change.
    pub revision: u64,
    /// True during an outage.
    pub down: bool,
    /// Requests and writes admitted so far.
    pub served: ServedCounts,
    keys: BTreeMap<String, StoredValue>,
    events: VecDeque<WatchEvent>,
    leases: BTreeMap<u64, StoreLease>,
    next_lease: u64,
    requests: RateLimit,
    writes: RateLimit,
    /// Maximum size of a value as JSON, bytes.
    max_value_bytes: usize,
    /// Maximum number of writes in a compare-and-swap.
    max_cas_writes: usize,
}

impl Store {
    /// Creates an empty store with these limits.
    pub fn new(limits: &KvStoreLimits) -> Self {
        let rate = |per_s: f64| RateLimit {
            per_s,
            tokens: per_s,
            at_us: 0,
        };
        Self {
            revision: 0,
            down: false,
            served: ServedCounts::default(),
            keys: BTreeMap::new(),
            events: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 0,
            requests: rate(limits.requests_per_s),
            writes: rate(limits.writes_per_s),
            max_value_bytes: (limits.max_value_kib * 1024.0) as usize,
            max_cas_writes: limits.max_cas_ops,
        }
    }

    /// Applies the lower of the current and the next limits from now on. Stored values that
    /// exceed them are kept.
    pub fn lower_limits(&mut self, limits: &KvStoreLimits) {
        self.requests.per_s = limits.lowest_requests_per_s();
        self.writes.per_s = limits.lowest_writes_per_s();
        self.max_value_bytes = (limits.lowest_max_value_kib() * 1024.0) as usize;
        self.max_cas_writes = limits.lowest_max_cas_ops();
    }

    fn within_limits(&self, cas: &CompareAndSwap) -> bool {
        // A value that can't be serialized as JSON counts as empty.
        let bytes = |value: &Value| serde_json::to_vec(value).map_or(0, |text| text.len());
        let fits = |write: &Write| {
            if let Write::Put { value, .. } = write {
                bytes(value) <= self.max_value_bytes
            } else {
                true
            }
        };
        cas.writes.len() <= self.max_cas_writes
            && cas.conditions.len() <= CONDITIONS_PER_WRITE * self.max_cas_writes
            && cas.writes.iter().all(fits)
    }

    /// Charges a request with this many writes to the rate limits. Returns false if it exceeds
    /// them and must be answered with 429.
    pub fn admit(&mut self, writes: usize, now: u64) -> bool {
        let admitted = self.requests.try_take(1.0, now)
            && (writes == 0 || self.writes.try_take(writes as f64, now));
        if admitted {
            self.served.requests += 1;
            self.served.writes += writes as u64;
        }
        admitted
    }

    /// Returns the value and version of a key.
    pub fn get(&self, key: &str) -> Option<(&Value, u64)> {
        self.keys.get(key).map(|h| (&h.value, h.version))
    }

    /// Returns all entries whose keys have a prefix.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let from = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix));
        from.map(|(k, h)| KeyValue {
            key: k.clone(),
            value: h.value.clone(),
            version: h.version,
        })
        .collect()
    }

    /// Returns the watch events after a revision for keys with a prefix, or `None` if events
    /// after it are no longer retained.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if self.events.front().is_some_and(|c| c.version > after + 1)
            && self.events.len() >= MAX_WATCH_EVENTS
        {
            return None;
        }
        let from = self.events.partition_point(|c| c.version <= after);
        let has_prefix = |c: &&WatchEvent| {
            c.set
                .as_ref()
                .or(c.drop.as_ref())
                .is_some_and(|k| k.starts_with(prefix))
        };
        Some(
            self.events
                .range(from..)
                .filter(has_prefix)
                .cloned()
                .collect(),
        )
    }

    fn record(&mut self, event: WatchEvent) {
        self.events.push_back(event);
        if self.events.len() > MAX_WATCH_EVENTS {
            self.events.pop_front();
        }
    }

    /// Detaches a key from its lease.
    fn detach_from_lease(&mut self, key: &str) {
        if let Some(lease) = self.keys.get(key).and_then(|stored| stored.lease)
            && let Some(lease) = self.leases.get_mut(&lease)
        {
            lease.keys.remove(key);
        }
    }

    fn set(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.detach_from_lease(key);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(key.to_owned());
        }
        self.record(WatchEvent {
            set: Some(key.to_owned()),
            drop: None,
            value: Some(value.clone()),
            version: self.revision,
        });
        self.keys.insert(
            key.to_owned(),
            StoredValue {
                value,
                version: self.revision,
                lease,
            },
        );
    }

    fn remove(&mut self, key: &str) {
        self.detach_from_lease(key);
        if self.keys.remove(key).is_some() {
            self.record(WatchEvent {
                set: None,
                drop: Some(key.to_owned()),
                value: None,
                version: self.revision,
            });
        }
    }

    /// Executes a compare-and-swap atomically.
    pub fn compare_and_swap(&mut self, cas: &CompareAndSwap) -> CasAnswer {
        if !self.within_limits(cas) {
            return CasAnswer::TooLarge;
        }
        let lease_of = |write: &Write| {
            if let Write::Put {
                lease: lease_id, ..
            } = write
            {
                *lease_id
            } else {
                None
            }
        };
        if cas
            .writes
            .iter()
            .filter_map(lease_of)
            .any(|lease| !self.leases.contains_key(&lease))
        {
            return CasAnswer::LeaseExpired;
        }
        let failed = |c: &&lemonweir_protocol::kv_store::Condition| {
            self.keys.get(&c.key).map_or(0, |k| k.version) != c.version
        };
        let failed: Vec<String> = cas
            .conditions
            .iter()
            .filter(failed)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return CasAnswer::Conflict(failed);
        }
        if !cas.writes.is_empty() {
            self.revision += 1;
        }
        for w in &cas.writes {
            match w {
                Write::Put {
                    key,
                    value,
                    lease: lease_id,
                } => self.set(key, value.clone(), *lease_id),
                Write::Delete { key } => self.remove(key),
            }
        }
        CasAnswer::Committed(self.revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.next_lease += 1;
        let ttl_us = ttl_ms * 1_000;
        self.leases.insert(
            self.next_lease,
            StoreLease {
                ttl_us,
                expires_us: now + ttl_us,
                keys: BTreeSet::new(),
            },
        );
        self.next_lease
    }

    /// Renews a lease. Returns false if it has expired.
    pub fn renew_lease(&mut self, lease: u64, now: u64) -> bool {
        self.leases
            .get_mut(&lease)
            .map(|lease| lease.expires_us = now + lease.ttl_us)
            .is_some()
    }

    /// Removes the leases that have expired together with their keys. None expires during an
    /// outage.
    pub fn expire_leases(&mut self, now: u64) {
        if self.down {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.expires_us)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let keys = self
                .leases
                .remove(&id)
                .map(|lease| lease.keys)
                .unwrap_or_default();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.remove(&key);
            }
        }
    }

    /// Ends an outage and renews all leases for their full TTL.
    pub fn recover(&mut self, now: u64) {
        self.down = false;
        self.leases
            .values_mut()
            .for_each(|lease| lease.expires_us = now + lease.ttl_us);
    }
}
