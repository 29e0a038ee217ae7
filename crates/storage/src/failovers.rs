//! Failover history of each shard: a ring buffer of records in the store.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `w/hand/<shard>/<slot>` | [`FailoverRecord`] | until its slot is overwritten |
//!
//! The version of a record's key is the revision of its failover; if the failover acquired
//! the shard, that is the shard's fencing token. Completing the record, which is done when
//! there are writes to spare, changes the version and stores the fencing token in the record.
//!
//! The transaction that changes a shard's key also writes the record, on the condition that
//! the slot still has the version that was read. So each change has exactly one record, and
//! no number is used twice, however late or often a transaction is sent.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use lemonweir_model::constants::FAILOVER_RECORDS_KEPT;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, from_value};

/// Keys of unreadable records that are logged at most, each once.
const MAX_LOGGED_UNREADABLE_RECORDS: usize = 64;

/// Key of the record with this number; a shard's failovers are numbered from 1.
pub fn failover_key(shard: u16, number: u64) -> String {
    format!("w/hand/{shard}/{}", number % FAILOVER_RECORDS_KEPT)
}

/// Parses the part of a key after `w/hand/` into shard and slot.
pub fn parse_failover_key(rest: &str) -> Option<(u16, u64)> {
    let (shard, slot) = rest.split_once('/')?;
    Some((shard.parse().ok()?, slot.parse().ok()?))
}

/// Why the leader of a shard changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeadershipChange {
    /// Acquired without a leader: the last one's store lease expired, or there never was one.
    Vacant,
    /// Acquired by a restarted process of the controller that led it.
    #[serde(rename = "reborn")]
    Restarted,
    /// Released for its preferred leader, which is up again.
    #[serde(rename = "handed_back")]
    ReturnedHome,
    /// Released by a leader that its machines can't reach.
    #[serde(rename = "left")]
    Ceded,
    /// A change that a later version introduced.
    #[serde(other)]
    Other,
}

/// One failover of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRecord {
    /// Number among the shard's failovers, from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Leader before the failover, if known.
    #[serde(rename = "from", default)]
    pub previous_leader: Option<String>,
    /// Leader that acquires the shard; `None` if it is released.
    #[serde(rename = "to", default)]
    pub new_leader: Option<String>,
    /// Why the leader changed.
    #[serde(rename = "how")]
    pub change: LeadershipChange,
    /// Wall-clock time of the failover by its writer's clock, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Replicas, other tasks and machines of the shard that the writer knew to be up.
    #[serde(default)]
    pub up: Option<(u32, u32, u32)>,
    /// Outcome; `None` if it is not written yet, or if no controller lived to write it.
    #[serde(rename = "closed", default)]
    pub completion: Option<FailoverCompletion>,
}

/// Outcome of a failover.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletion {
    /// Controller that wrote it: the new leader, or a successor, which can only report what
    /// it found.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// ms from the failover until the records and machines were loaded.
    #[serde(rename = "read_ms", default)]
    pub state_loaded_ms: Option<u64>,
    /// ms from the failover until the new leader first started an attempt.
    #[serde(default)]
    pub first_start_ms: Option<u64>,
    /// ms from the failover until all replicas were up again.
    #[serde(rename = "whole_ms", default)]
    pub services_restored_ms: Option<u64>,
    /// Replicas that were found up, and replicas that had to be restarted.
    #[serde(default)]
    pub found: Option<(u32, u32)>,
    /// Longest downtime of a replica by class, ms, for the classes with the longest ones, the
    /// longest first.
    #[serde(default)]
    pub gaps: Vec<(String, u64)>,
    /// Facts that can no longer be determined.
    #[serde(default)]
    pub unknown: Vec<String>,
    /// The shard's fencing token, if the failover acquired the shard.
    #[serde(rename = "token", default)]
    pub fencing_token: Option<u64>,
    /// ms until the next failover, if a later leader completes the record.
    #[serde(rename = "held_ms", default)]
    pub leadership_ms: Option<u64>,
}

impl FailoverRecord {
    /// True if the failover acquired the shard and its outcome is not written yet.
    pub fn is_open(&self) -> bool {
        self.new_leader.is_some() && self.completion.is_none()
    }

    /// The last known leader of the shard as of this failover.
    pub fn last_leader(&self) -> Option<&String> {
        self.new_leader.as_ref().or(self.previous_leader.as_ref())
    }
}

/// A record to be written, with the version that its slot must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewFailover {
    /// Number of the shard that the failover changed.
    pub shard: u16,
    /// Version of the slot's key; 0: it must not exist.
    pub slot_version: u64,
    /// Record to write to the slot that its number selects.
    pub record: FailoverRecord,
}

impl NewFailover {
    /// Adds the record to the transaction that makes the failover or completes the record.
    pub fn add_to(&self, cas: &mut CompareAndSwap) {
        let key = failover_key(self.shard, self.record.number);
        cas.conditions.push(Condition {
            key: key.clone(),
            version: self.slot_version,
        });
        cas.writes.push(Write::put(key, &self.record));
    }
}

/// A controller's copy of the failover records of all shards.
#[derive(Debug, Default)]
pub struct FailoverHistory {
    /// Records by shard and slot, with the versions of their keys.
    entries: BTreeMap<(u16, u64), (FailoverRecord, u64)>,
    /// Key versions of unreadable records, by shard and slot.
    unreadable: BTreeMap<(u16, u64), u64>,
    /// Keys of unreadable records that were logged.
    logged_keys: BTreeSet<String>,
}

impl FailoverHistory {
    /// Removes all records before a snapshot is loaded.
    pub(crate) fn clear(&mut self) {
        self.entries.clear();
        self.unreadable.clear();
    }

    /// Applies a new value of the key `w/hand/<rest>`.
    pub(crate) fn set(&mut self, rest: &str, value: &rmpv::Value, version: u64) {
        let slot = parse_failover_key(rest).filter(|(_, slot)| *slot < FAILOVER_RECORDS_KEPT);
        let record = from_value::<FailoverRecord>(value);
        // A number above the valid range is rejected: all later numbers would continue from it.
        let record = record.filter(|r| {
            (1..=MAX_FAILOVERS).contains(&r.number)
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
                if self.logged_keys.len() < MAX_LOGGED_UNREADABLE_RECORDS
                    && self.logged_keys.insert(rest.to_owned())
                {
                    tracing::error!(key = rest, "entry of a handover not understood; skipped");
                }
            }
        }
    }

    /// Applies the deletion of the key `w/hand/<rest>`.
    pub(crate) fn remove(&mut self, rest: &str) {
        if let Some(slot) = parse_failover_key(rest) {
            self.entries.remove(&slot);
            self.unreadable.remove(&slot);
        }
    }

    /// A shard's records by number, each with the version of its key.
    pub fn entries_of(&self, shard: u16) -> Vec<(&FailoverRecord, u64)> {
        let mut all: Vec<_> = self
            .entries
            .range((shard, 0)..=(shard, u64::MAX))
            .map(|(_, (r, v))| (r, *v))
            .collect();
        all.sort_by_key(|(r, _)| r.number);
        all
    }

    /// The shards that have records.
    pub fn shards(&self) -> BTreeSet<u16> {
        self.entries.keys().map(|(shard, _)| *shard).collect()
    }

    /// The record with this number, to be changed and written again; `None` if its slot holds
    /// another one.
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

    /// The number of a shard's next record, and the current version of its slot. Slots with
    /// unreadable records are skipped, since another version may read them, unless all are
    /// unreadable.
    pub fn next_slot(&self, shard: u16) -> (u64, u64) {
        let newest = self.entries_of(shard).last().map_or(0, |(r, _)| r.number);
        let is_unreadable = |n: u64| {
            self.unreadable
                .contains_key(&(shard, n % FAILOVER_RECORDS_KEPT))
        };
        let number = (newest + 1..=newest + FAILOVER_RECORDS_KEPT)
            .find(|n| !is_unreadable(*n))
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

/// Largest valid number of a failover: one a second for a million years.
const MAX_FAILOVERS: u64 = 1 << 45;
