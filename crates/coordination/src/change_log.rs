//! A numbered, compacted change log. A follower is sent the changes since the number it last
//! acknowledged. Each key appears only once, so a follower that starts at 0 receives the
//! whole state in the same way.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::ops::Bound;

use lemonweir_protocol::peer::ChangeRange;

/// A change log that keeps the latest change of each key. Change numbers start at 1.
pub struct ChangeLog<K, V> {
    /// Number of the latest change.
    last: u64,
    entries: HashMap<K, Entry<V>>,
    /// Keys by change number.
    order: BTreeMap<u64, K>,
    /// Numbers of the changes that remove a key.
    tombstones: BTreeSet<u64>,
}

/// The latest change of a key.
struct Entry<V> {
    number: u64,
    /// `None` for a tombstone: the key was removed.
    value: Option<V>,
}

impl<K, V> Default for ChangeLog<K, V> {
    fn default() -> Self {
        Self {
            last: 0,
            entries: HashMap::new(),
            order: BTreeMap::new(),
            tombstones: BTreeSet::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, V: PartialEq> ChangeLog<K, V> {
    /// Number of the latest change; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Current value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// Sets the value of a key. Setting the current value again is not a change.
    pub fn put(&mut self, key: &K, value: V) {
        if self.get(key) != Some(&value) {
            self.append(key, Some(value));
        }
    }

    /// Removes a key and leaves a tombstone.
    pub fn remove(&mut self, key: &K) {
        if self.get(key).is_some() {
            self.append(key, None);
        }
    }

    fn append(&mut self, key: &K, value: Option<V>) {
        self.erase(key);
        self.last += 1;
        if value.is_none() {
            self.tombstones.insert(self.last);
        }
        let number = self.last;
        self.entries.insert(key.clone(), Entry { number, value });
        self.order.insert(number, key.clone());
    }

    /// Drops a key without a tombstone, for a key that the follower has dropped itself.
    pub fn erase(&mut self, key: &K) {
        if let Some(Entry { number, .. }) = self.entries.remove(key) {
            self.order.remove(&number);
            self.tombstones.remove(&number);
        }
    }

    /// Drops the tombstones up to the number that every follower has acknowledged.
    pub fn compact(&mut self, upto: u64) {
        while let Some(number) = self.tombstones.first().copied().filter(|&n| n <= upto) {
            self.tombstones.remove(&number);
            if let Some(key) = self.order.remove(&number) {
                self.entries.remove(&key);
            }
        }
    }

    /// Keys and values of the changes after `upto`; tombstones are left out.
    pub fn newer_than(&self, upto: u64) -> impl Iterator<Item = (&K, &V)> {
        let newer = self.order.range((Bound::Excluded(upto), Bound::Unbounded));
        newer.filter_map(|(_, key)| self.get(key).map(|value| (key, value)))
    }

    /// Changes after `since`, oldest first, up to `remaining_bytes` as measured by `size`, but
    /// at least one. `remaining_bytes` is reduced by their size. Tombstones are left out if
    /// `since` is 0, as the follower has no keys then.
    pub fn changes_since<'a>(
        &'a self,
        since: u64,
        remaining_bytes: &mut usize,
        size: impl Fn(&K, Option<&V>) -> usize,
    ) -> (ChangeRange, Vec<(&'a K, Option<&'a V>)>) {
        let mut changes = Vec::new();
        let mut range = ChangeRange {
            since,
            until: self.last.max(since),
            complete: true,
        };
        let mut upto = since;
        for (&number, key) in self.order.range((Bound::Excluded(since), Bound::Unbounded)) {
            let value = self.get(key);
            if since == 0 && value.is_none() {
                continue;
            }
            let bytes = size(key, value);
            if bytes > *remaining_bytes && !changes.is_empty() {
                range = ChangeRange {
                    since,
                    until: upto,
                    complete: false,
                };
                break;
            }
            *remaining_bytes = remaining_bytes.saturating_sub(bytes);
            upto = number;
            changes.push((key, value));
        }
        (range, changes)
    }
}
