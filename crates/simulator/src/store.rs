//! A stand-in for the state service, from the protocol page: versions,
//! conditions, changes, holds, limits.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lemonweir_model::constants::CONDITIONS_A_CHANGE;
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write};
use rmpv::Value;

/// Changes that it keeps (protocol page).
const KEPT: usize = 10_000;

/// A stored value.
#[derive(Clone)]
struct Held {
    value: Value,
    version: u64,
    hold: Option<u64>,
}

struct Hold {
    ttl_us: u64,
    ends_us: u64,
    keys: BTreeSet<String>,
}

/// How a transaction ended.
pub enum TxnAnswer {
    /// Made, at this revision.
    Done(u64),
    /// Not made: these keys had another version.
    Conflict(Vec<String>),
    /// It names a hold that is no more.
    NoHold,
    /// It has more changes, or a larger value, than the store takes.
    TooLarge,
}

/// A limit that allows a burst of one second's worth.
struct Rate {
    per_s: f64,
    tokens: f64,
    at_us: u64,
}

impl Rate {
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

/// The store.
pub struct Store {
    /// Revision of the newest change.
    pub revision: u64,
    /// True in an outage.
    pub down: bool,
    /// Requests and changes served.
    pub served: (u64, u64),
    keys: BTreeMap<String, Held>,
    log: VecDeque<WatchEvent>,
    holds: BTreeMap<u64, Hold>,
    next_hold: u64,
    requests: Rate,
    writes: Rate,
    /// Bytes of a value in the form that limits count, and changes of a transaction.
    value_bytes: usize,
    txn_ops: usize,
}

impl Store {
    /// An empty store with these limits.
    pub fn new(limits: &KvStoreLimits) -> Self {
        let rate = |per_s: f64| Rate {
            per_s,
            tokens: per_s,
            at_us: 0,
        };
        Self {
            revision: 0,
            down: false,
            served: (0, 0),
            keys: BTreeMap::new(),
            log: VecDeque::new(),
            holds: BTreeMap::new(),
            next_hold: 0,
            requests: rate(limits.requests_per_s),
            writes: rate(limits.writes_per_s),
            value_bytes: (limits.max_value_kib * 1024.0) as usize,
            txn_ops: limits.max_cas_ops,
        }
    }

    /// From now on it has its next limits. What is stored stays.
    pub fn lower_limits(&mut self, limits: &KvStoreLimits) {
        self.requests.per_s = limits.lowest_requests_per_s();
        self.writes.per_s = limits.lowest_writes_per_s();
        self.value_bytes = (limits.lowest_max_value_kib() * 1024.0) as usize;
        self.txn_ops = limits.lowest_max_cas_ops();
    }

    fn takes(&self, cas: &CompareAndSwap) -> bool {
        // A value that can't be written as JSON has no size that counts.
        let bytes = |value: &Value| serde_json::to_vec(value).map_or(0, |text| text.len());
        let fits = |write: &Write| {
            if let Write::Put { value, .. } = write {
                bytes(value) <= self.value_bytes
            } else {
                true
            }
        };
        cas.writes.len() <= self.txn_ops
            && cas.conditions.len() <= CONDITIONS_A_CHANGE * self.txn_ops
            && cas.writes.iter().all(fits)
    }

    /// False: 429, the request is over the limits.
    pub fn admit(&mut self, writes: usize, now: u64) -> bool {
        let good =
            self.requests.take(1.0, now) && (writes == 0 || self.writes.take(writes as f64, now));
        if good {
            self.served = (self.served.0 + 1, self.served.1 + writes as u64);
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

    /// The changes under a prefix since a revision; `None`: too old.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if self.log.front().is_some_and(|c| c.version > after + 1) && self.log.len() >= KEPT {
            return None;
        }
        let from = self.log.partition_point(|c| c.version <= after);
        let under = |c: &&WatchEvent| {
            c.set
                .as_ref()
                .or(c.drop.as_ref())
                .is_some_and(|k| k.starts_with(prefix))
        };
        Some(self.log.range(from..).filter(under).cloned().collect())
    }

    fn note(&mut self, change: WatchEvent) {
        self.log.push_back(change);
        if self.log.len() > KEPT {
            self.log.pop_front();
        }
    }

    fn detach(&mut self, key: &str) {
        if let Some(hold) = self.keys.get(key).and_then(|h| h.hold)
            && let Some(h) = self.holds.get_mut(&hold)
        {
            h.keys.remove(key);
        }
    }

    fn set(&mut self, key: &str, value: Value, hold: Option<u64>) {
        self.detach(key);
        if let Some(h) = hold.and_then(|h| self.holds.get_mut(&h)) {
            h.keys.insert(key.to_owned());
        }
        self.note(WatchEvent {
            set: Some(key.to_owned()),
            drop: None,
            value: Some(value.clone()),
            version: self.revision,
        });
        self.keys.insert(
            key.to_owned(),
            Held {
                value,
                version: self.revision,
                hold,
            },
        );
    }

    fn remove(&mut self, key: &str) {
        self.detach(key);
        if self.keys.remove(key).is_some() {
            self.note(WatchEvent {
                set: None,
                drop: Some(key.to_owned()),
                value: None,
                version: self.revision,
            });
        }
    }

    /// Makes a transaction.
    pub fn cas(&mut self, cas: &CompareAndSwap) -> TxnAnswer {
        if !self.takes(cas) {
            return TxnAnswer::TooLarge;
        }
        let hold = |w: &Write| {
            if let Write::Put { lease: hold, .. } = w {
                *hold
            } else {
                None
            }
        };
        if cas
            .writes
            .iter()
            .filter_map(hold)
            .any(|h| !self.holds.contains_key(&h))
        {
            return TxnAnswer::NoHold;
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
            return TxnAnswer::Conflict(failed);
        }
        if !cas.writes.is_empty() {
            self.revision += 1;
        }
        for w in &cas.writes {
            match w {
                Write::Put { key, value, lease: hold } => self.set(key, value.clone(), *hold),
                Write::Delete { key } => self.remove(key),
            }
        }
        TxnAnswer::Done(self.revision)
    }

    /// Opens a hold.
    pub fn hold(&mut self, ttl_ms: u64, now: u64) -> u64 {
        self.next_hold += 1;
        let ttl_us = ttl_ms * 1_000;
        self.holds.insert(
            self.next_hold,
            Hold {
                ttl_us,
                ends_us: now + ttl_us,
                keys: BTreeSet::new(),
            },
        );
        self.next_hold
    }

    /// Renews a hold; false: it has ended.
    pub fn renew(&mut self, hold: u64, now: u64) -> bool {
        self.holds
            .get_mut(&hold)
            .map(|h| h.ends_us = now + h.ttl_us)
            .is_some()
    }

    /// Ends the holds whose time is over, with their keys.
    pub fn expire(&mut self, now: u64) {
        if self.down {
            return;
        }
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, h)| now > h.ends_us)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            let keys = self.holds.remove(&id).map(|h| h.keys).unwrap_or_default();
            if !keys.is_empty() {
                self.revision += 1;
            }
            for key in keys {
                self.remove(&key);
            }
        }
    }

    /// An outage is over: all holds get their full time back.
    pub fn recover(&mut self, now: u64) {
        self.down = false;
        self.holds
            .values_mut()
            .for_each(|h| h.ends_us = now + h.ttl_us);
    }
}
