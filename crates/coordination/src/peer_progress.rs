//! Progress of jobs that other controllers' placers run, and until when it may be told.
//!
//! An answer to a user is a claim about the last moments, so what it rests on has to be known to be
//! no older than that. Progress is pulled from the placer's controller: the answer to a pull was
//! given after the pull was sent. While pulls fail, the placer's controller writes its progress
//! to the store, with a revision of the store that it had seen before: the content was written after
//! any read that shows a lower revision. No clock of another controller is relied on.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::ProgressGap;
use lemonweir_model::JobId;
use lemonweir_protocol::peer::JobProgress;
use lemonweir_protocol::progress::{
    ProgressPage, ProgressQuery, ProgressRow, StoredProgress, unpack_rows,
};

/// ms for which progress may be told. Users may be told a state of 3 s ago (protocol page); half of
/// that is left to the way from the task to its placer.
pub const PROGRESS_MAX_AGE_MS: u64 = 1_500;
/// The same for progress in syncs of a controller of an earlier version, which come every 2 s.
const SYNCED_PROGRESS_MAX_AGE_MS: u64 = 3_000;
/// ms between two pulls from one shard's leader.
pub const PULL_INTERVAL_MS: u64 = 1_000;
/// ms until a pull is repeated whose answer did not hold all changes, or that failed.
const PULL_RETRY_MS: u64 = 50;
const PULL_FAILURE_RETRY_MS: u64 = 400;
/// ms between two requests through the store for progress through the store.
const STORE_REQUEST_INTERVAL_MS: u64 = 6_000;
/// Reads of the store that are remembered: those of the last seconds.
const READS_KEPT: usize = 64;
/// Ranges of a shard's progress in the store that are remembered.
const RANGES_KEPT: usize = 16;

/// Progress of a job, as far as it may be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ToldProgress {
    pub(crate) done: u64,
    pub(crate) running: u64,
    /// Why it waits; `None`: the placer does not know the job yet, or its reason was not sent.
    pub(crate) reason: Option<String>,
}

/// What is known of one job's progress.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Row {
    done: u32,
    running: u32,
    known: bool,
    reason: Option<String>,
}

impl Row {
    fn told(&self) -> Option<ToldProgress> {
        self.known.then(|| ToldProgress {
            done: u64::from(self.done),
            running: u64::from(self.running),
            reason: self.reason.clone(),
        })
    }
}

/// A range of job ids, as written to the store.
struct StoredRange {
    after: Option<JobId>,
    upto: Option<JobId>,
    valid_until: u64,
    jobs: HashMap<JobId, Row>,
}

impl StoredRange {
    fn covers(&self, id: &JobId) -> bool {
        self.after.as_ref().is_none_or(|after| id > after)
            && self.upto.as_ref().is_none_or(|upto| id <= upto)
    }
}

/// Progress of the jobs of one shard.
#[derive(Default)]
struct ShardProgress {
    /// Fencing token of the leader that sent what follows.
    fencing_token: u64,
    jobs: HashMap<JobId, Row>,
    /// Number of the newest change that was pulled.
    until: u64,
    /// Until when `jobs` may be told, ms; `None`: it is incomplete.
    valid_until: Option<u64>,
    /// Until when those of `jobs` that are known may be told since a sync arrived, ms. That a sync holds
    /// no progress says nothing of other jobs, unless the leader sends all of it with its syncs.
    synced_until: Option<u64>,
    pull_in_flight: bool,
    next_pull_at: u64,
    /// The last pull failed.
    pull_failed: bool,
    /// When the leader is next asked through the store, ms.
    next_store_request_at: u64,
    /// The leader has answered a pull.
    answers_pulls: bool,
    /// The leader is of an earlier version: it sends all progress with its syncs.
    sends_with_syncs: bool,
    stored: VecDeque<StoredRange>,
}

impl ShardProgress {
    /// Discards what earlier leaders sent.
    fn follow(&mut self, fencing_token: u64) {
        if self.fencing_token < fencing_token {
            *self = Self {
                fencing_token,
                pull_in_flight: self.pull_in_flight,
                ..Self::default()
            };
        }
    }

    fn query(&self, id: &JobId, now: u64) -> Result<ToldProgress, ProgressGap> {
        let queued = Row {
            done: 0,
            running: 0,
            known: true,
            reason: None,
        };
        if self.valid_until.is_some_and(|until| now <= until) {
            let row = self.jobs.get(id).unwrap_or(&queued);
            return row.told().ok_or(ProgressGap::UnknownToLeader);
        }
        if self.synced_until.is_some_and(|until| now <= until) {
            let unlisted = self.sends_with_syncs.then_some(&queued);
            if let Some(row) = self.jobs.get(id).or(unlisted) {
                return row.told().ok_or(ProgressGap::UnknownToLeader);
            }
        }
        let range = self
            .stored
            .iter()
            .rev()
            .find(|range| now <= range.valid_until && range.covers(id));
        match range {
            Some(range) => {
                let row = range.jobs.get(id).unwrap_or(&queued);
                row.told().ok_or(ProgressGap::UnknownToLeader)
            }
            None if self.newest_until().is_some() => Err(ProgressGap::Outdated),
            None => Err(ProgressGap::NeverReceived),
        }
    }

    /// Until when the newest progress received could be told, ms; `None`: none was received.
    fn newest_until(&self) -> Option<u64> {
        let stored = self.stored.back().map(|range| range.valid_until);
        self.valid_until.max(stored).max(self.synced_until)
    }
}

/// Progress of the jobs of all shards that other controllers lead.
#[derive(Default)]
pub(crate) struct PeerProgress {
    shards: BTreeMap<u16, ShardProgress>,
    /// When the last reads of the store began, ms, with the revisions that they showed.
    reads: VecDeque<(u64, u64)>,
    /// When this process last resumed after a stall, ms.
    resumed_at: u64,
}

impl PeerProgress {
    /// The progress of a job of a shard whose leader has this token, if what is known is recent
    /// enough to be told.
    pub(crate) fn query(
        &self,
        shard: u16,
        fencing_token: u64,
        id: &JobId,
        now: u64,
    ) -> Result<ToldProgress, ProgressGap> {
        self.led_under(shard, fencing_token)
            .map_or(Err(ProgressGap::NeverReceived), |progress| {
                progress.query(id, now)
            })
    }

    /// Age of the newest progress of a shard whose leader has this token, ms; `None`: none was
    /// received.
    pub(crate) fn age_ms(&self, shard: u16, fencing_token: u64, now: u64) -> Option<u64> {
        let until = self.led_under(shard, fencing_token)?.newest_until()?;
        Some((now + PROGRESS_MAX_AGE_MS).saturating_sub(until))
    }

    fn led_under(&self, shard: u16, fencing_token: u64) -> Option<&ShardProgress> {
        let progress = self.shards.get(&shard)?;
        (progress.fencing_token >= fencing_token).then_some(progress)
    }

    /// The progress of a job as last received, however old.
    pub(crate) fn last_received(&self, shard: u16, id: &JobId) -> Option<(u32, String)> {
        let row = self.shards.get(&shard)?.jobs.get(id)?;
        Some((row.running, row.reason.clone().unwrap_or_default()))
    }

    /// Drops a job that has ended.
    pub(crate) fn remove(&mut self, id: &JobId) {
        for progress in self.shards.values_mut() {
            progress.jobs.remove(id);
        }
    }

    /// Handles a stall of this process, in which its clock may have stood still: nothing that was
    /// received or asked for before is told any more.
    pub(crate) fn handle_stall(&mut self, now: u64) {
        self.resumed_at = now;
        self.reads.clear();
        for progress in self.shards.values_mut() {
            progress.valid_until = progress.valid_until.map(|_| 0);
            progress.synced_until = None;
            progress.stored.clear();
            progress.next_pull_at = 0;
        }
    }

    /// If a pull from a shard's leader is due now, begins it: returns the number of the newest change
    /// that this controller has.
    pub(crate) fn due_pull(&mut self, shard: u16, fencing_token: u64, now: u64) -> Option<u64> {
        let progress = self.shards.entry(shard).or_default();
        progress.follow(fencing_token);
        if progress.pull_in_flight || now < progress.next_pull_at {
            return None;
        }
        progress.pull_in_flight = true;
        progress.next_pull_at = now + PULL_INTERVAL_MS;
        Some(progress.until)
    }

    /// True if a shard's leader is to be asked now to write its progress to the store: it can't be
    /// reached directly.
    pub(crate) fn take_store_request(&mut self, shard: u16, now: u64) -> bool {
        let Some(progress) = self.shards.get_mut(&shard) else {
            return false;
        };
        let due = progress.pull_failed && now >= progress.next_store_request_at;
        if due {
            progress.next_store_request_at = now + STORE_REQUEST_INTERVAL_MS;
        }
        due
    }

    /// True if a shard's progress can't be pulled now, so that it has to come from the store.
    pub(crate) fn relies_on_store(&self, shard: u16) -> bool {
        self.shards
            .get(&shard)
            .is_some_and(|progress| progress.pull_failed)
    }

    /// Handles the answer to a pull that was sent at `sent_at`; `None`: there was none.
    pub(crate) fn apply_pull(
        &mut self,
        query: &ProgressQuery,
        page: Option<ProgressPage>,
        sent_at: u64,
        now: u64,
    ) {
        let Some(progress) = self.shards.get_mut(&query.shard) else {
            return;
        };
        progress.pull_in_flight = false;
        let Some(page) = page.filter(|page| {
            page.shard == query.shard
                && page.fencing_token == progress.fencing_token
                && sent_at >= self.resumed_at
        }) else {
            progress.pull_failed = true;
            progress.next_pull_at = now + PULL_FAILURE_RETRY_MS;
            return;
        };
        progress.pull_failed = false;
        progress.answers_pulls = true;
        if page.range.since == 0 {
            progress.jobs.clear();
            progress.until = 0;
        }
        if page.range.since > progress.until {
            // Changes are missing: everything is asked for again.
            progress.until = 0;
            progress.next_pull_at = now;
            return;
        }
        progress.until = page.range.until;
        for row in page.jobs {
            let ProgressRow {
                job,
                tasks_done,
                tasks_running,
                known,
                wait_reason,
            } = row;
            let row = Row {
                done: tasks_done,
                running: tasks_running,
                known,
                reason: Some(wait_reason),
            };
            progress.jobs.insert(job, row);
        }
        if page.range.complete {
            progress.valid_until = Some(sent_at + PROGRESS_MAX_AGE_MS);
        } else {
            progress.next_pull_at = now + PULL_RETRY_MS;
        }
    }

    /// Handles the answer of a leader that does not answer pulls.
    pub(crate) fn apply_unsupported_pull(&mut self, query: &ProgressQuery, now: u64) {
        if let Some(progress) = self.shards.get_mut(&query.shard) {
            progress.pull_in_flight = false;
            progress.next_pull_at = now + PULL_FAILURE_RETRY_MS;
            progress.sends_with_syncs |= progress.fencing_token == query.fencing_token;
        }
    }

    /// Handles the progress in a direct sync of a controller that answers no pulls.
    pub(crate) fn apply_sync(
        &mut self,
        shard: u16,
        fencing_token: u64,
        rows: &[JobProgress],
        now: u64,
    ) {
        let progress = self.shards.entry(shard).or_default();
        progress.follow(fencing_token);
        if progress.answers_pulls || progress.fencing_token != fencing_token {
            return;
        }
        for row in rows {
            progress.jobs.insert(
                row.job.clone(),
                Row {
                    done: row.tasks_done,
                    running: row.tasks_running,
                    known: true,
                    reason: Some(row.wait_reason.clone()),
                },
            );
        }
        progress.synced_until = Some(now + SYNCED_PROGRESS_MAX_AGE_MS);
    }

    /// Records a read of the store that began at `began`, ms, and showed this revision.
    pub(crate) fn record_store_read(&mut self, began: u64, revision: u64) {
        self.reads.push_back((began, revision));
        if self.reads.len() > READS_KEPT {
            self.reads.pop_front();
        }
    }

    /// Handles progress read from the store. It was written after this revision existed, so after
    /// any read that shows a lower one began.
    pub(crate) fn apply_stored(&mut self, stored: &StoredProgress, leader_token: u64) {
        let written_after = self
            .reads
            .iter()
            .rev()
            .find(|(_, revision)| *revision < stored.store_revision)
            .map(|(began, _)| *began);
        let (Some(written_after), Some(rows)) = (written_after, unpack_rows(&stored.rows)) else {
            return;
        };
        if stored.fencing_token != leader_token {
            return;
        }
        let progress = self.shards.entry(stored.shard).or_default();
        progress.follow(leader_token);
        if progress.fencing_token != leader_token {
            return;
        }
        let jobs = rows.into_iter().map(|row| {
            let known = Row {
                done: row.tasks_done,
                running: row.tasks_running,
                known: row.known,
                reason: None,
            };
            (row.job, known)
        });
        progress.stored.push_back(StoredRange {
            after: stored.after.clone(),
            upto: stored.upto.clone(),
            valid_until: written_after + PROGRESS_MAX_AGE_MS,
            jobs: jobs.collect(),
        });
        if progress.stored.len() > RANGES_KEPT {
            progress.stored.pop_front();
        }
    }
}
