//! What the controllers record of every failover of a shard: a ring of
//! entries under each shard, written by the transaction that changes it.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/hand/<part>/<slot>` | [`FailoverRecord`] | until the ring comes round |
//!
//! An entry's version is the revision of its failover: of one that takes a
//! shard, the shard's fencing token. Closing it, in spare writes, gives it a later one and
//! writes the fencing token down.
//!
//! The transaction that changes a shard's key writes the entry, and each of them
//! demands the version that its slot had: so there is one entry for each change,
//! none without, and no number comes twice, however late or often it is sent.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use lemonweir_model::constants::FAILOVER_RECORDS_KEPT;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, from_value};

/// Entries that can't be read which are named in the log, each once.
const LOGGED_UNREADABLE_RECORDS: usize = 64;

/// Key of the entry with this number, which counts a shard's failovers from 1.
pub fn failover_key(shard: u16, number: u64) -> String {
    format!("w/hand/{shard}/{}", number % FAILOVER_RECORDS_KEPT)
}

/// Reads part and slot from the key below `w/hand/`.
pub fn parse_failover_key(rest: &str) -> Option<(u16, u64)> {
    let (shard, slot) = rest.split_once('/')?;
    Some((shard.parse().ok()?, slot.parse().ok()?))
}

/// How a shard changed hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeadershipChange {
    /// Taken without a leader: the last one's store lease has expired, or none ever was.
    Vacant,
    /// Taken by a later life of the process that held it.
    #[serde(rename = "reborn")]
    Restarted,
    /// Given to its home, which lives again.
    #[serde(rename = "handed_back")]
    ReturnedHome,
    /// Left by a leader that can't hear its machines.
    #[serde(rename = "left")]
    Ceded,
    /// What a later version knows.
    #[serde(other)]
    Other,
}

/// One failover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Its number among the shard's, from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Who held the shard before; none: nobody known.
    #[serde(rename = "from", default)]
    pub previous_leader: Option<String>,
    /// Who takes it; none: it is given up.
    #[serde(rename = "to", default)]
    pub new_leader: Option<String>,
    /// How.
    #[serde(rename = "how")]
    pub change: LeadershipChange,
    /// Time of day, ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Replicas, other tasks and machines that the writer knew to be up in the shard.
    #[serde(default)]
    pub up: Option<(u32, u32, u32)>,
    /// What was found afterwards; none: not written yet, or nobody lived to.
    #[serde(rename = "closed", default)]
    pub completion: Option<FailoverCompletion>,
}

/// What was found after a failover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletion {
    /// Who wrote it: the taker, or a successor that can only tell what it found.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// ms from the change until records and machines were read.
    #[serde(rename = "read_ms", default)]
    pub state_loaded_ms: Option<u64>,
    /// ms until the first start by the new leader.
    #[serde(default)]
    pub first_start_ms: Option<u64>,
    /// ms until all replicas were up again.
    #[serde(rename = "whole_ms", default)]
    pub services_restored_ms: Option<u64>,
    /// Replicas that were found up, and that had to be started anew.
    #[serde(default)]
    pub found: Option<(u32, u32)>,
    /// Longest gap of a replica by class, ms, the worst first.
    #[serde(default)]
    pub gaps: Vec<(String, u64)>,
    /// What can't be known any more.
    #[serde(default)]
    pub unknown: Vec<String>,
    /// The shard's token, if this took it.
    #[serde(rename = "token", default)]
    pub fencing_token: Option<u64>,
    /// ms until the next failover, where a later leader closes it.
    #[serde(rename = "held_ms", default)]
    pub leadership_ms: Option<u64>,
}

impl FailoverRecord {
    /// Somebody took the shard, and what was found is not written yet.
    pub fn is_open(&self) -> bool {
        self.new_leader.is_some() && self.completion.is_none()
    }

    /// Who held the shard last, as far as this tells.
    pub fn last_leader(&self) -> Option<&String> {
        self.new_leader.as_ref().or(self.previous_leader.as_ref())
    }
}

/// An entry to be written, with the version that its slot must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewFailover {
    /// The shard.
    pub shard: u16,
    /// Version of the slot's key; 0: no key.
    pub slot_version: u64,
    /// The entry.
    pub record: FailoverRecord,
}

impl NewFailover {
    /// Adds it to the transaction that it tells of, or that closes it.
    pub fn add_to(&self, cas: &mut CompareAndSwap) {
        let key = failover_key(self.shard, self.record.number);
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
    unreadable: BTreeMap<(u16, u64), u64>,
    /// Keys that were named in the log.
    logged_keys: BTreeSet<String>,
}

impl FailoverHistory {
    /// Forgets all; a full reading follows.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.unreadable.clear();
    }

    /// Takes the value of the key below `w/hand/`.
    pub(crate) fn set(&mut self, rest: &str, value: &rmpv::Value, version: u64) {
        let slot = parse_failover_key(rest).filter(|(_, slot)| *slot < FAILOVER_RECORDS_KEPT);
        let record = from_value::<FailoverRecord>(value);
        // Guards against a number that no count of changes reaches: all later ones
        // would follow it.
        let record = record.filter(|r| {
            (1..=HANDOVERS_MOST).contains(&r.number)
                && slot.is_some_and(|(_, s)| r.number % FAILOVER_RECORDS_KEPT == s)
        });
        match (slot, record) {
            (Some(slot), Some(record)) => {
                self.unreadable.remove(&slot);
                self.entries.insert(slot, (record, version));
            }
            (slot, _) => {
                if let Some(slot) = slot {
                    self.entries.remove(&slot);
                    self.unreadable.insert(slot, version);
                }
                if self.logged_keys.len() < LOGGED_UNREADABLE_RECORDS
                    && self.logged_keys.insert(rest.to_owned())
                {
                    tracing::error!(key = rest, "entry of a handover not understood; skipped");
                }
            }
        }
    }

    /// A key below `w/hand/` is gone.
    pub(crate) fn remove(&mut self, rest: &str) {
        if let Some(slot) = parse_failover_key(rest) {
            self.entries.remove(&slot);
            self.unreadable.remove(&slot);
        }
    }

    /// A shard's entries in their order, each with its version.
    pub fn entries_of(&self, shard: u16) -> Vec<(&FailoverRecord, u64)> {
        let mut all: Vec<_> = self
            .entries
            .range((shard, 0)..=(shard, u64::MAX))
            .map(|(_, (r, v))| (r, *v))
            .collect();
        all.sort_by_key(|(r, _)| r.number);
        all
    }

    /// The shards that have entries.
    pub fn shards(&self) -> BTreeSet<u16> {
        self.entries.keys().map(|(shard, _)| *shard).collect()
    }

    /// The entry with this number, as one to be written anew.
    pub fn rewrite(&self, shard: u16, number: u64) -> Option<NewFailover> {
        let (record, version) = self
            .entries
            .get(&(shard, number % FAILOVER_RECORDS_KEPT))
            .filter(|(r, _)| r.number == number)?;
        Some(NewFailover {
            shard,
            slot_version: *version,
            record: record.clone(),
        })
    }

    /// The number of a shard's next entry, and the version that its slot has. What
    /// can't be read is left to who can, unless there is nothing else.
    pub fn next_slot(&self, shard: u16) -> (u64, u64) {
        let newest = self.entries_of(shard).last().map_or(0, |(r, _)| r.number);
        let odd = |n: u64| {
            self.unreadable
                .contains_key(&(shard, n % FAILOVER_RECORDS_KEPT))
        };
        let number = (newest + 1..=newest + FAILOVER_RECORDS_KEPT)
            .find(|n| !odd(*n))
            .unwrap_or(newest + 1);
        let slot = (shard, number % FAILOVER_RECORDS_KEPT);
        (
            number,
            self.entries
                .get(&slot)
                .map(|(_, v)| *v)
                .or_else(|| self.unreadable.get(&slot).copied())
                .unwrap_or(0),
        )
    }
}

/// Failovers that a shard can have: one a second for a million years.
const HANDOVERS_MOST: u64 = 1 << 45;
