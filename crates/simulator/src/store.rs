//! A simulated state service, from the protocol page: versions, compare-and-swap on
//! conditions, watches, leases, limits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lemonweir_model::constants::CONDITIONS_PER_WRITE;
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write};
use rmpv::Value;

/// Watch events that it keeps (protocol page).
const KEPT_EVENTS: usize = 10_000;

/// A stored value.
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

/// How a compare-and-swap ended.
pub enum CasAnswer {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: these keys had another version.
    Conflict(Vec<String>),
    /// It names a lease that has expired.
    LeaseExpired,
    /// It has more writes, or a larger value, than the store takes.
    TooLarge,
}

/// A limit that allows a burst of one second's worth.
struct RateLimit {
    per_s: f64,
    tokens: f64,
    at_us: u64,
}

impl RateLimit {
    fn take(&mut self, n: f64, now: u64) -> bool {
        self.tokens = (self.tokens + now.saturating_sub(self.at_us) as f64 / 1e6 * self.per_s)
            .min(self.per_s);
        self.at_us = now;
        let good = self.tokens >= n;
        if good {
            self.tokens -= n;
        }
        good
    }
}

/// Requests that the store admitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCounts {
    /// Requests.
    pub requests: u64,
    /// Writes in them.
    pub writes: u64,
}

/// The store.
pub struct Store {
    /// Revision of the newest change.
    pub revision: u64,
    /// True in an outage.
    pub down: bool,
    /// What it served.
    pub served: ServedCounts,
    keys: BTreeMap<String, StoredValue>,
    events: VecDeque<WatchEvent>,
    leases: BTreeMap<u64, StoreLease>,
    next_lease: u64,
    requests: RateLimit,
    writes: RateLimit,
    /// Bytes of a value as JSON at most.
    value_bytes: usize,
    /// Writes of a compare-and-swap at most.
    cas_writes: usize,
}

impl Store {
    /// An empty store with these limits.
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
            value_bytes: (limits.max_value_kib * 1024.0) as usize,
            cas_writes: limits.max_cas_ops,
        }
    }

    /// From now on its next limits hold. What is stored stays.
    pub fn lower_limits(&mut self, limits: &KvStoreLimits) {
        self.requests.per_s = limits.lowest_requests_per_s();
        self.writes.per_s = limits.lowest_writes_per_s();
        self.value_bytes = (limits.lowest_max_value_kib() * 1024.0) as usize;
        self.cas_writes = limits.lowest_max_cas_ops();
    }

    fn within_limits(&self, cas: &CompareAndSwap) -> bool {
        // A value that can't be written as JSON has no size that counts.
        let bytes = |value: &Value| serde_json::to_vec(value).map_or(0, |text| text.len());
        let fits = |write: &Write| {
            if let Write::Put { value, .. } = write {
                bytes(value) <= self.value_bytes
            } else {
                true
            }
        };
        cas.writes.len() <= self.cas_writes
            && cas.conditions.len() <= CONDITIONS_PER_WRITE * self.cas_writes
            && cas.writes.iter().all(fits)
    }

    /// Counts a request against the limits; false: 429, it is over them.
    pub fn admit(&mut self, writes: usize, now: u64) -> bool {
        let good =
            self.requests.take(1.0, now) && (writes == 0 || self.writes.take(writes as f64, now));
        if good {
            self.served.requests += 1;
            self.served.writes += writes as u64;
        }
        good
    }

    /// A key's value and version.
    pub fn get(&self, key: &str) -> Option<(&Value, u64)> {
        self.keys.get(key).map(|h| (&h.value, h.version))
    }

    /// All keys with a prefix.
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

    /// The watch events under a prefix since a revision; `None`: it is too old.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if self.events.front().is_some_and(|c| c.version > after + 1)
            && self.events.len() >= KEPT_EVENTS
        {
            return None;
        }
        let from = self.events.partition_point(|c| c.version <= after);
        let under = |c: &&WatchEvent| {
            c.set
                .as_ref()
                .or(c.drop.as_ref())
                .is_some_and(|k| k.starts_with(prefix))
        };
        Some(self.events.range(from..).filter(under).cloned().collect())
    }

    fn record(&mut self, event: WatchEvent) {
        self.events.push_back(event);
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    fn detach(&mut self, key: &str) {
        if let Some(lease) = self.keys.get(key).and_then(|stored| stored.lease)
            && let Some(lease) = self.leases.get_mut(&lease)
        {
            lease.keys.remove(key);
        }
    }

    fn set(&mut self, key: &str, value: Value, lease: Option<u64>) {
        self.detach(key);
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
        self.detach(key);
        if self.keys.remove(key).is_some() {
            self.record(WatchEvent {
                set: None,
                drop: Some(key.to_owned()),
                value: None,
                version: self.revision,
            });
        }
    }

    /// Executes a compare-and-swap.
    pub fn compare_and_swap(&mut self, cas: &CompareAndSwap) -> CasAnswer {
        if !self.within_limits(cas) {
            return CasAnswer::TooLarge;
        }
        let lease_of = |write: &Write| {
            if let Write::Put { lease: hold, .. } = write {
                *hold
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
                    lease: hold,
                } => self.set(key, value.clone(), *hold),
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

    /// Renews a lease; false: it has expired.
    pub fn renew_lease(&mut self, lease: u64, now: u64) -> bool {
        self.leases
            .get_mut(&lease)
            .map(|lease| lease.expires_us = now + lease.ttl_us)
            .is_some()
    }

    /// Expires the leases whose time is over, with their keys.
    pub fn expire_leases(&mut self, now: u64) {
        if self.down {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.expires_us)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
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

    /// An outage is over: all leases get their full time back.
    pub fn recover(&mut self, now: u64) {
        self.down = false;
        self.leases
            .values_mut()
            .for_each(|lease| lease.expires_us = now + lease.ttl_us);
    }
}
