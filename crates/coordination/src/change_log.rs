//! A numbered, compacted log of changes, from which any follower can be sent
//! what is new since the number it acknowledged. Each key is in it once, so a
//! follower that starts from nothing is sent the whole state by the same walk.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::Hash;
use std::ops::Bound;

use lemonweir_protocol::peer::ChangeRange;

/// The log: the newest change of each key, by number. Numbers begin at 1.
pub struct ChangeLog<K, V> {
    /// Number of the newest change.
    last: u64,
    entries: HashMap<K, Entry<V>>,
    /// Keys by the numbers of their changes.
    order: BTreeMap<u64, K>,
    /// Numbers of the changes that only say that a key is gone.
    tombstones: BTreeSet<u64>,
}

/// The newest change of a key.
struct Entry<V> {
    number: u64,
    /// `None`: the key is gone.
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
    /// Number of the newest change.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The newest value of a key.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).and_then(|entry| entry.value.as_ref())
    }

    /// Sets a key's value; the same value again is no change.
    pub fn put(&mut self, key: &K, value: V) {
        if self.get(key) != Some(&value) {
            self.append(key, Some(value));
        }
    }

    /// Records that a key is gone.
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

    /// Drops a key that its follower itself has given up: it need not be sent.
    pub fn erase(&mut self, key: &K) {
        if let Some(Entry { number, .. }) = self.entries.remove(key) {
            self.order.remove(&number);
            self.tombstones.remove(&number);
        }
    }

    /// Drops the tombstones up to a number that every follower has acknowledged.
    pub fn compact(&mut self, upto: u64) {
        while let Some(number) = self.tombstones.first().copied().filter(|&n| n <= upto) {
            self.tombstones.remove(&number);
            if let Some(key) = self.order.remove(&number) {
                self.entries.remove(&key);
            }
        }
    }

    /// Values that are newer than a number.
    pub fn newer_than(&self, upto: u64) -> impl Iterator<Item = (&K, &V)> {
        let newer = self.order.range((Bound::Excluded(upto), Bound::Unbounded));
        newer.filter_map(|(_, key)| self.get(key).map(|value| (key, value)))
    }

    /// Changes since a number, oldest first, as far as `room` bytes by `size`
    /// go, but at least one. Since 0, that is from nothing on, tombstones are left out.
    pub fn changes_since<'a>(
        &'a self,
        since: u64,
        room: &mut usize,
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
            if bytes > *room && !changes.is_empty() {
                range = ChangeRange {
                    since,
                    until: upto,
                    complete: false,
                };
                break;
            }
            *room = room.saturating_sub(bytes);
            upto = number;
            changes.push((key, value));
        }
        (range, changes)
    }
}
