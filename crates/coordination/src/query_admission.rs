//! Admission control for user queries: which ones go first when not all can be served.
//!
//! A controller refuses queries when it is overloaded, when the store is busy with requests
//! of higher priority, or when too many queries wait. By chance, the same job could be refused
//! again and again while others are answered. So a controller records the jobs with a
//! pending reply: those of which a query was refused since the last answer. The job whose
//! reply has been pending longest goes first. Once it has been pending for
//! [`REPLY_PRIORITY_AFTER_MS`], queries about the job are no longer refused because of this
//! controller's own load. `docs/supervision/query-admission.md` states the bounds.

use std::collections::{BTreeMap, HashMap};

use crate::ProgressGap;
use lemonweir_model::JobId;

/// ms for which a job's queries may be refused because of a controller's own load: two polls
/// of a user (protocol page). A controller thus answers at most one query per job in this
/// time beyond its capacity.
pub const REPLY_PRIORITY_AFTER_MS: u64 = 8_000;
/// ms after the last refused query about a job for which its reply stays pending: several
/// polls, since some may go to other controllers.
pub const PENDING_REPLY_KEPT_MS: u64 = 75_000;
/// Maximum number of pending replies of a controller; each takes some 100 bytes.
pub const PENDING_REPLIES_MAX: usize = 16_384;

/// Why a user request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryRefusal {
    /// This process is overloaded.
    Overloaded,
    /// The store has not answered for a while.
    StoreSilent,
    /// Too many lookups wait, or the store is busy with requests of higher priority.
    LookupQueueFull,
    /// The store did not answer in time.
    StoreFailed,
    /// The job is unfinished, but its progress can't be told now.
    ProgressOutdated(ProgressGap),
    /// Too many writes wait.
    WriteQueueFull,
    /// The machine types are not known yet.
    NoCatalog,
    /// The last attempts of a cancelled job are still being stopped. Not counted as a pending
    /// reply.
    JobStopping,
}

/// Kind of a user request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryKind {
    /// Query of a job's status.
    Poll,
    /// Submission of a job.
    Submission,
    /// Cancellation of a job.
    Cancellation,
}

/// Number of refusals by kind and reason.
pub type QueryRefusalCounts = BTreeMap<(QueryKind, QueryRefusal), u64>;

/// Refusals since the last summary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalSummary {
    /// Number of refusals by kind and reason.
    pub counts: QueryRefusalCounts,
    /// Longest time for which queries about the same job were refused, ms.
    pub longest_ms: u64,
    /// That job; `None`: no job was refused twice.
    pub longest_job: Option<JobId>,
    /// Number of polls that waited in vain for their job's current progress, by what it lacked. They
    /// were told what was last known, or refused.
    pub progress_gaps: BTreeMap<ProgressGap, u64>,
}

/// Refused queries about one job since the last answer.
#[derive(Clone, Copy, Debug)]
struct PendingReply {
    /// Time of the first refusal since the last answer, ms.
    since: u64,
    /// Time of the last refused query, ms.
    last_query: u64,
}

/// Tracks jobs with a pending reply, and counts refusals.
#[derive(Debug, Default)]
pub struct QueryAdmission {
    pending: HashMap<JobId, PendingReply>,
    last_sweep: u64,
    refused: RefusalSummary,
}

impl QueryAdmission {
    /// Since when a job's reply is pending, ms; `now` if none is.
    pub fn pending_since(&self, id: &JobId, now: u64) -> u64 {
        self.pending.get(id).map_or(now, |reply| reply.since)
    }

    /// True if a job's reply has been pending for so long that queries about it are no longer
    /// refused because of load.
    pub fn has_priority(&self, id: &JobId, now: u64) -> bool {
        now >= self.pending_since(id, now) + REPLY_PRIORITY_AFTER_MS
    }

    /// Records that a query about a job was refused. Beyond [`PENDING_REPLIES_MAX`] jobs, no
    /// new pending replies are added.
    pub fn record_refusal(&mut self, id: &JobId, kind: QueryKind, reason: QueryRefusal, now: u64) {
        *self.refused.counts.entry((kind, reason)).or_default() += 1;
        if reason == QueryRefusal::JobStopping {
            return;
        }
        self.sweep(now);
        if let Some(reply) = self.pending.get_mut(id) {
            reply.last_query = now;
            let refused_ms = now.saturating_sub(reply.since);
            if refused_ms > self.refused.longest_ms {
                self.refused.longest_ms = refused_ms;
                self.refused.longest_job = Some(id.clone());
            }
        } else if self.pending.len() < PENDING_REPLIES_MAX {
            self.pending.insert(
                id.clone(),
                PendingReply {
                    since: now,
                    last_query: now,
                },
            );
        }
    }

    /// Records that a poll waited in vain for its job's current progress.
    pub fn record_progress_gap(&mut self, gap: ProgressGap) {
        *self.refused.progress_gaps.entry(gap).or_default() += 1;
    }

    /// Records that a query about a job was answered.
    pub fn record_answer(&mut self, id: &JobId) {
        if !self.pending.is_empty() {
            self.pending.remove(id);
        }
    }

    /// Returns the refusals since the last call; `None` if there were none.
    pub fn take_refusals(&mut self) -> Option<RefusalSummary> {
        let refused = std::mem::take(&mut self.refused);
        (refused != RefusalSummary::default()).then_some(refused)
    }

    /// Drops the pending replies of users who have turned to other controllers or given up.
    fn sweep(&mut self, now: u64) {
        if now < self.last_sweep + PENDING_REPLY_KEPT_MS / 4 {
            return;
        }
        self.last_sweep = now;
        self.pending
            .retain(|_, reply| now < reply.last_query + PENDING_REPLY_KEPT_MS);
    }
}

/// A priority queue of job lookups, each with its waiters. The job whose reply has been
/// pending longest goes first.
#[derive(Debug)]
pub struct LookupQueue<W> {
    /// Waiters, ordered by the time since which the job's reply is pending.
    waiting: BTreeMap<(u64, JobId), Vec<W>>,
    /// Time since which the reply of each queued job is pending, ms: part of its key in
    /// `waiting`.
    since: HashMap<JobId, u64>,
    capacity: usize,
}

impl<W> LookupQueue<W> {
    /// Creates a queue for lookups of at most `capacity` jobs.
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            since: HashMap::new(),
            capacity,
        }
    }

    /// Adds a waiter for the lookup of a job whose reply is pending since `since`. Returns the
    /// waiters that are refused if the queue is full: the new one, or all waiters for the job
    /// whose reply has been pending for the shortest time.
    pub fn enqueue(&mut self, id: &JobId, since: u64, waiter: W) -> Vec<W> {
        if let Some(since) = self.since.get(id) {
            // Another waiter for the same job causes no further lookup.
            self.waiting
                .entry((*since, id.clone()))
                .or_default()
                .push(waiter);
            return Vec::new();
        }
        let mut refused = Vec::new();
        if self.since.len() >= self.capacity {
            match self.waiting.last_entry() {
                Some(last) if last.key().0 > since => {
                    let ((_, other), waiters) = last.remove_entry();
                    self.since.remove(&other);
                    refused = waiters;
                }
                _ => return vec![waiter],
            }
        }
        self.since.insert(id.clone(), since);
        self.waiting.insert((since, id.clone()), vec![waiter]);
        refused
    }

    /// Removes and returns the next lookups, at most `max`.
    pub fn dequeue(&mut self, max: usize) -> Vec<(JobId, Vec<W>)> {
        let mut taken = Vec::new();
        while taken.len() < max
            && let Some(((_, id), waiters)) = self.waiting.pop_first()
        {
            self.since.remove(&id);
            taken.push((id, waiters));
        }
        taken
    }
}
