//! What the controllers record of every change of hands of a part: a ring of
//! entries under each part, written by the transaction that changes it.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/hand/<part>/<slot>` | [`FailoverRecord`] | until the ring comes round |
//!
//! An entry's version is the revision of its change of hands: of one that takes a
//! part, the part's token. Closing it, in spare writes, gives it a later one and
//! writes the token down.
//!
//! The transaction that changes a part's key writes the entry, and each of them
//! demands the version that its slot had: so there is one entry for each change,
//! none without, and no number comes twice, however late or often it is sent.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use lemonweir_model::constants::{HANDOVERS_KEPT, ODD_HANDOVERS};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, from_value};

/// Key of the entry with this number, which counts a part's changes of hands from 1.
pub fn failover_key(shard: u16, number: u64) -> String {
    format!("w/hand/{shard}/{}", number % HANDOVERS_KEPT)
}

/// Reads part and slot from the key below `w/hand/`.
pub fn parse_failover_key(rest: &str) -> Option<(u16, u64)> {
    let (shard, slot) = rest.split_once('/')?;
    Some((shard.parse().ok()?, slot.parse().ok()?))
}

/// How a part changed hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeadershipChange {
    /// Taken without a holder: the last one's hold has run out, or none ever was.
    Vacant,
    /// Taken by a later life of the process that held it.
    Reborn,
    /// Given to its home, which lives again.
    HandedBack,
    /// Left by a holder that can't hear its machines.
    Left,
    /// What a later version knows.
    #[serde(other)]
    Other,
}

/// One change of hands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Its number among the part's, from 1.
    pub n: u64,
    /// Who held the part before; none: nobody known.
    #[serde(default)]
    pub from: Option<String>,
    /// Who takes it; none: it is given up.
    #[serde(default)]
    pub to: Option<String>,
    /// How.
    pub how: LeadershipChange,
    /// Time of day, ms.
    pub at: u64,
    /// Replicas, other tasks and machines that the writer knew to be up in the part.
    #[serde(default)]
    pub up: Option<(u32, u32, u32)>,
    /// What was found afterwards; none: not written yet, or nobody lived to.
    #[serde(default)]
    pub closed: Option<FailoverCompletion>,
}

/// What was found after a change of hands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletion {
    /// Who wrote it: the taker, or a successor that can only tell what it found.
    pub by: String,
    /// ms from the change until records and machines were read.
    #[serde(default)]
    pub read_ms: Option<u64>,
    /// ms until the first start by the new holder.
    #[serde(default)]
    pub first_start_ms: Option<u64>,
    /// ms until all replicas were up again.
    #[serde(default)]
    pub whole_ms: Option<u64>,
    /// Replicas that were found up, and that had to be started anew.
    #[serde(default)]
    pub found: Option<(u32, u32)>,
    /// Longest gap of a replica by class, ms, the worst first.
    #[serde(default)]
    pub gaps: Vec<(String, u64)>,
    /// What can't be known any more.
    #[serde(default)]
    pub unknown: Vec<String>,
    /// The part's token, if this took it.
    #[serde(default)]
    pub token: Option<u64>,
    /// ms until the next change of hands, where a later holder closes it.
    #[serde(default)]
    pub held_ms: Option<u64>,
}

impl FailoverRecord {
    /// Somebody took the part, and what was found is not written yet.
    pub fn open(&self) -> bool {
        self.to.is_some() && self.closed.is_none()
    }

    /// Who held the part last, as far as this tells.
    pub fn last_holder(&self) -> Option<&String> {
        self.to.as_ref().or(self.from.as_ref())
    }
}

/// An entry to be written, with the version that its slot must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewFailover {
    /// The part.
    pub shard: u16,
    /// Version of the slot's key; 0: no key.
    pub slot_version: u64,
    /// The entry.
    pub record: FailoverRecord,
}

impl NewFailover {
    /// Adds it to the transaction that it tells of, or that closes it.
    pub fn join(&self, cas: &mut CompareAndSwap) {
        let key = failover_key(self.shard, self.record.n);
        cas.conditions.push(Condition {
            key: key.clone(),
            version: self.slot_version,
        });
        cas.writes.push(Write::put(key, &self.record));
    }
}

/// A node's copy of all rings.
#[derive(Debug, Default)]
pub struct FailoverHistory {
    /// Entries by part and slot, with the versions of their keys.
    entries: BTreeMap<(u16, u64), (FailoverRecord, u64)>,
    /// Versions of those that can't be read.
    odd: BTreeMap<(u16, u64), u64>,
    /// Keys that were named in the log.
    named: BTreeSet<String>,
}

impl FailoverHistory {
    /// Forgets all; a full reading follows.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.odd.clear();
    }

    /// Takes the value of the key below `w/hand/`.
    pub(crate) fn set(&mut self, rest: &str, value: &rmpv::Value, version: u64) {
        let slot = parse_failover_key(rest).filter(|(_, slot)| *slot < HANDOVERS_KEPT);
        let record = from_value::<FailoverRecord>(value);
        // Guards against a number that no count of changes reaches: all later ones
        // would follow it.
        let record = record.filter(|r| {
            (1..=HANDOVERS_MOST).contains(&r.n)
                && slot.is_some_and(|(_, s)| r.n % HANDOVERS_KEPT == s)
        });
        match (slot, record) {
            (Some(slot), Some(record)) => {
                self.odd.remove(&slot);
                self.entries.insert(slot, (record, version));
            }
            (slot, _) => {
                if let Some(slot) = slot {
                    self.entries.remove(&slot);
                    self.odd.insert(slot, version);
                }
                if self.named.len() < ODD_HANDOVERS && self.named.insert(rest.to_owned()) {
                    tracing::error!(key = rest, "entry of a handover not understood; skipped");
                }
            }
        }
    }

    /// A key below `w/hand/` is gone.
    pub(crate) fn remove(&mut self, rest: &str) {
        if let Some(slot) = parse_failover_key(rest) {
            self.entries.remove(&slot);
            self.odd.remove(&slot);
        }
    }

    /// A part's entries in their order, each with its version.
    pub fn of(&self, shard: u16) -> Vec<(&FailoverRecord, u64)> {
        let mut all: Vec<_> = self
            .entries
            .range((shard, 0)..=(shard, u64::MAX))
            .map(|(_, (r, v))| (r, *v))
            .collect();
        all.sort_by_key(|(r, _)| r.n);
        all
    }

    /// The parts that have entries.
    pub fn shards(&self) -> BTreeSet<u16> {
        self.entries.keys().map(|(shard, _)| *shard).collect()
    }

    /// The entry with this number, as one to be written anew.
    pub fn again(&self, shard: u16, number: u64) -> Option<NewFailover> {
        let (record, version) = self
            .entries
            .get(&(shard, number % HANDOVERS_KEPT))
            .filter(|(r, _)| r.n == number)?;
        Some(NewFailover {
            shard,
            slot_version: *version,
            record: record.clone(),
        })
    }

    /// The number of a part's next entry, and the version that its slot has. What
    /// can't be read is left to who can, unless there is nothing else.
    pub fn next(&self, shard: u16) -> (u64, u64) {
        let newest = self.of(shard).last().map_or(0, |(r, _)| r.n);
        let odd = |n: u64| self.odd.contains_key(&(shard, n % HANDOVERS_KEPT));
        let number = (newest + 1..=newest + HANDOVERS_KEPT)
            .find(|n| !odd(*n))
            .unwrap_or(newest + 1);
        let slot = (shard, number % HANDOVERS_KEPT);
        (
            number,
            self.entries
                .get(&slot)
                .map(|(_, v)| *v)
                .or_else(|| self.odd.get(&slot).copied())
                .unwrap_or(0),
        )
    }
}

/// Changes of hands that a part can have: one a second for a million years.
const HANDOVERS_MOST: u64 = 1 << 45;
