//! What the leader of a shard last knew of the progress of its jobs. It outlives the leader and its
//! process, so that the next one, and every controller until then, can tell it with its age.

use std::collections::{BTreeMap, HashMap};

use base64::prelude::{BASE64_STANDARD, Engine};
use serde::{Deserialize, Serialize};

use crate::records::shard_key;
use lemonweir_model::JobId;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, from_value};
use lemonweir_protocol::last_progress::{LastProgressRow, is_packable, unpack_rows};

const MS_PER_S: u64 = 1_000;

/// Key of one page of a shard's last known progress.
pub fn last_progress_key(shard: u16, page: usize) -> String {
    format!("w/progress/{shard}/{page}")
}

/// Parses the part of a key after `w/progress/` into the shard and the page.
fn parse_key(rest: &str) -> Option<(u16, usize)> {
    let (shard, page) = rest.split_once('/')?;
    Some((shard.parse().ok()?, page.parse().ok()?))
}

/// A page of the last known progress of a shard's jobs. Those that no page lists were queued,
/// without an attempt that might have begun to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastProgressPage {
    /// Time of day at which the leader wrote it, ms since the Unix epoch; equal in all pages.
    #[serde(rename = "at")]
    pub known_at_ms: u64,
    /// Number of pages.
    #[serde(rename = "n")]
    pub page_count: usize,
    /// The last id that the pages cover, if they could not hold all jobs.
    #[serde(rename = "to", default, skip_serializing_if = "Option::is_none")]
    pub upto: Option<JobId>,
    /// Packed rows, in base64.
    #[serde(rename = "b")]
    pub rows_base64: String,
}

/// The last known progress of a shard's jobs, packed into pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedProgress {
    /// Packed rows of each page.
    pub pages: Vec<Vec<u8>>,
    /// As in [`LastProgressPage`].
    pub upto: Option<JobId>,
}

/// Replaces the last known progress of a shard that is led with this fencing token, of which
/// `pages_before` pages are stored.
pub fn write_last_progress(
    shard: u16,
    fencing_token: u64,
    progress: &PackedProgress,
    known_at_ms: u64,
    pages_before: usize,
) -> CompareAndSwap {
    let page_count = progress.pages.len();
    let put = |(page, rows): (usize, &Vec<u8>)| {
        let record = LastProgressPage {
            known_at_ms,
            page_count,
            upto: progress.upto.clone(),
            rows_base64: BASE64_STANDARD.encode(rows),
        };
        Write::put(last_progress_key(shard, page), &record)
    };
    let delete = |page| Write::Delete {
        key: last_progress_key(shard, page),
    };
    CompareAndSwap {
        conditions: vec![Condition {
            key: shard_key(shard),
            version: fencing_token,
        }],
        writes: progress
            .pages
            .iter()
            .enumerate()
            .map(put)
            .chain((page_count..pages_before).map(delete))
            .collect(),
    }
}

/// What a job's tasks did when its progress was last known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastPhase {
    /// It had no attempt.
    Queued,
    /// It had an attempt that did not run, and may have begun to run since.
    MayRun,
    /// This many of its tasks ran.
    Running(u32),
}

/// Last known progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastProgress {
    /// Number of tasks that were done.
    pub tasks_done: u32,
    /// What its other tasks did.
    pub phase: LastPhase,
    /// Time of day at which a leader knew this, ms since the Unix epoch.
    pub known_at_ms: u64,
}

/// A page with its rows unpacked.
struct CachedPage {
    known_at_ms: u64,
    page_count: usize,
    upto: Option<JobId>,
    rows: HashMap<JobId, LastProgressRow>,
}

impl CachedPage {
    fn get(&self, id: &JobId) -> Option<LastProgress> {
        let row = self.rows.get(id)?;
        let phase = match (row.tasks_running, row.may_run) {
            (0, true) => LastPhase::MayRun,
            (0, false) => LastPhase::Queued,
            (running, _) => LastPhase::Running(running),
        };
        Some(LastProgress {
            tasks_done: row.tasks_done,
            phase,
            known_at_ms: self
                .known_at_ms
                .saturating_sub(u64::from(row.age_s) * MS_PER_S),
        })
    }

    fn covers(&self, id: &JobId) -> bool {
        is_packable(id) && self.upto.as_ref().is_none_or(|upto| id <= upto)
    }
}

/// Cache of the last known progress of all shards.
#[derive(Default)]
pub struct LastProgressCache {
    pages: BTreeMap<(u16, usize), CachedPage>,
}

impl LastProgressCache {
    /// Last known progress of a job of a shard; `None` if the stored pages don't tell.
    pub fn get(&self, shard: u16, id: &JobId) -> Option<LastProgress> {
        let first = self.pages.get(&(shard, 0))?;
        for page in 0..first.page_count {
            // A page of another write, or a missing one, may have listed the job.
            let page = self
                .pages
                .get(&(shard, page))
                .filter(|page| page.known_at_ms == first.known_at_ms)?;
            if let Some(progress) = page.get(id) {
                return Some(progress);
            }
        }
        first.covers(id).then_some(LastProgress {
            tasks_done: 0,
            phase: LastPhase::Queued,
            known_at_ms: first.known_at_ms,
        })
    }

    /// When a shard's last known progress was written, ms since the Unix epoch.
    pub fn known_at_ms(&self, shard: u16) -> Option<u64> {
        self.pages.get(&(shard, 0)).map(|page| page.known_at_ms)
    }

    /// Number of stored pages of a shard.
    pub fn page_count(&self, shard: u16) -> usize {
        self.pages.range((shard, 0)..=(shard, usize::MAX)).count()
    }

    pub(crate) fn set(&mut self, rest: &str, value: &rmpv::Value) -> Option<()> {
        let key = parse_key(rest)?;
        let record = from_value::<LastProgressPage>(value)?;
        let bytes = BASE64_STANDARD.decode(&record.rows_base64).ok()?;
        let rows = unpack_rows(&bytes)?.into_iter();
        let page = CachedPage {
            known_at_ms: record.known_at_ms,
            page_count: record.page_count,
            upto: record.upto,
            rows: rows.map(|row| (row.job.clone(), row)).collect(),
        };
        self.pages.insert(key, page);
        Some(())
    }

    pub(crate) fn remove(&mut self, rest: &str) {
        if let Some(key) = parse_key(rest) {
            self.pages.remove(&key);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.pages.clear();
    }
}
