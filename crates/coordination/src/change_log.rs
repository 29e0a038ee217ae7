//! A numbered log of the newest changes, from which any follower can be told
//! what is new since the number it acknowledged. Each key is in it once, so a
//! follower that starts from nothing is told the whole state by the same walk.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::ops::Bound;

use lemonweir_protocol::peer::ChangeRange;

/// The log.
pub struct ChangeLog<K, V> {
    last: u64,
    state: HashMap<K, (u64, Option<V>)>,
    order: BTreeMap<u64, K>,
    /// Numbers of the changes that only say that a key is gone.
    ends: BTreeSet<u64>,
}

impl<K, V> Default for ChangeLog<K, V> {
    fn default() -> Self {
        Self {
            last: 0,
            state: HashMap::new(),
            order: BTreeMap::new(),
            ends: BTreeSet::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, V: PartialEq> ChangeLog<K, V> {
    /// Number of the newest change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The newest value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.state.get(key).and_then(|(_, value)| value.as_ref())
    }

    /// Notes a value; the same value again is no change.
    pub fn put(&mut self, key: &K, value: V) {
        if self
            .state
            .get(key)
            .is_some_and(|(_, old)| old.as_ref() == Some(&value))
        {
            return;
        }
        self.note(key, Some(value));
    }

    /// Notes that a key is gone.
    pub fn remove(&mut self, key: &K) {
        if self
            .state
            .get(key)
            .is_some_and(|(_, value)| value.is_some())
        {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &K, value: Option<V>) {
        self.erase(key);
        self.last += 1;
        if value.is_none() {
            self.ends.insert(self.last);
        }
        self.state.insert(key.clone(), (self.last, value));
        self.order.insert(self.last, key.clone());
    }

    /// Drops a key that its follower itself has given up: it need not be told.
    pub fn erase(&mut self, key: &K) {
        if let Some((at, _)) = self.state.remove(key) {
            self.order.remove(&at);
            self.ends.remove(&at);
        }
    }

    /// Drops what only says that a key is gone, up to a number that every
    /// follower has acknowledged.
    pub fn forget(&mut self, upto: u64) {
        while let Some(at) = self.ends.first().copied().filter(|&at| at <= upto) {
            self.ends.remove(&at);
            if let Some(key) = self.order.remove(&at) {
                self.state.remove(&key);
            }
        }
    }

    /// Values that are newer than a number.
    pub fn beyond(&self, upto: u64) -> impl Iterator<Item = (&K, &V)> {
        let newer = self.order.range((Bound::Excluded(upto), Bound::Unbounded));
        newer.filter_map(|(_, key)| {
            self.state
                .get(key)
                .and_then(|(_, v)| v.as_ref())
                .map(|v| (key, v))
        })
    }

    /// Changes since a number, oldest first, as far as `room` bytes by `size`
    /// go, but at least one. From nothing on, keys that are gone are left out.
    pub fn since<'a>(
        &'a self,
        since: u64,
        room: &mut usize,
        size: impl Fn(&K, Option<&V>) -> usize,
    ) -> (ChangeRange, Vec<(&'a K, Option<&'a V>)>) {
        let mut changes = Vec::new();
        let mut span = ChangeRange {
            since,
            until: self.last.max(since),
            complete: true,
        };
        let mut upto = since;
        for (&at, key) in self.order.range((Bound::Excluded(since), Bound::Unbounded)) {
            let value = self.state.get(key).and_then(|(_, v)| v.as_ref());
            if since == 0 && value.is_none() {
                continue;
            }
            let bytes = size(key, value);
            if bytes > *room && !changes.is_empty() {
                span = ChangeRange {
                    since,
                    until: upto,
                    complete: false,
                };
                break;
            }
            *room = room.saturating_sub(bytes);
            upto = at;
            changes.push((key, value));
        }
        (span, changes)
    }
}
