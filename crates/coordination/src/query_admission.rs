//! Which users' queries go first where not all can be taken at once.
//!
//! A controller refuses queries when it is overloaded, when the store is
//! busy with what goes first, or when too many wait. Chance alone could then refuse
//! the same job again and again while others are answered. So a controller records
//! the jobs with a pending reply, and since when: the one that is pending longest goes
//! first, and one that is pending for [`REPLY_PRIORITY_AFTER_MS`] is no longer refused
//! for this controller's own load. `docs/supervision/query-admission.md` states the bounds.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::JobId;

/// ms for which a job's queries may be refused for a controller's own load: two of
/// a user's polls (protocol page). Each controller then answers one query about each
/// job in this time at the most beyond what it has time for.
pub const REPLY_PRIORITY_AFTER_MS: u64 = 8_000;
/// ms after its last query for which a refused job's reply stays pending:
/// several polls, which may go to other controllers.
pub const PENDING_REPLY_KEPT_MS: u64 = 75_000;
/// Pending replies of a controller, at the most; some 100 bytes each.
pub const PENDING_REPLIES_MAX: usize = 16_384;

/// Why a request of a user was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryRefusal {
    /// This process is behind with its work.
    Overloaded,
    /// No answer of the store for a while.
    StoreSilent,
    /// Too many lookups wait, or the store is busy with what goes first.
    LookupQueueFull,
    /// The store did not answer, or not in time.
    StoreFailed,
    /// Too much waits to be written.
    WriteQueueFull,
    /// The machine types are not known yet.
    NoCatalog,
    /// A cancellation whose last attempts are being stopped; no query, and nothing pending.
    JobStopping,
}

/// What was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryKind {
    /// The status of a job.
    Poll,
    /// To accept a job.
    Submission,
    /// To cancel one.
    Cancellation,
}

/// How often each was refused, and why.
pub type QueryRefusalCounts = BTreeMap<(QueryKind, QueryRefusal), u64>;

/// Refusals since they were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalSummary {
    /// How often each was refused, and why.
    pub counts: QueryRefusalCounts,
    /// For how long the same job was refused at most, ms.
    pub longest_ms: u64,
}

/// The reply that one job is to be given.
#[derive(Clone, Copy, Debug)]
struct PendingReply {
    /// When a query was first refused since the last answer, ms.
    since: u64,
    /// When one last was, ms.
    last_query: u64,
}

/// Jobs with a pending reply, and what was refused.
#[derive(Debug, Default)]
pub struct QueryAdmission {
    pending: HashMap<JobId, PendingReply>,
    last_sweep: u64,
    refused: RefusalSummary,
}

impl QueryAdmission {
    /// Since when a job's reply is pending, ms; `now` if it is not.
    pub fn pending_since(&self, id: &JobId, now: u64) -> u64 {
        self.pending.get(id).map_or(now, |reply| reply.since)
    }

    /// True if a job's reply is pending for so long that it is not refused for load any
    /// more.
    pub fn has_priority(&self, id: &JobId, now: u64) -> bool {
        now >= self.pending_since(id, now) + REPLY_PRIORITY_AFTER_MS
    }

    /// A query about a job was refused. Beyond [`PENDING_REPLIES_MAX`] jobs the ones
    /// that came before keep their place.
    pub fn record_refusal(&mut self, id: &JobId, kind: QueryKind, why: QueryRefusal, now: u64) {
        *self.refused.counts.entry((kind, why)).or_default() += 1;
        if why == QueryRefusal::JobStopping {
            return;
        }
        self.sweep(now);
        if let Some(reply) = self.pending.get_mut(id) {
            reply.last_query = now;
            let refused_ms = now.saturating_sub(reply.since);
            self.refused.longest_ms = self.refused.longest_ms.max(refused_ms);
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

    /// A query about a job was answered.
    pub fn record_answer(&mut self, id: &JobId) {
        if !self.pending.is_empty() {
            self.pending.remove(id);
        }
    }

    /// What was refused since the last call; `None`: nothing was.
    pub fn take_refusals(&mut self) -> Option<RefusalSummary> {
        let refused = std::mem::take(&mut self.refused);
        (!refused.counts.is_empty()).then_some(refused)
    }

    /// Guards against pending replies of users who have gone elsewhere or given up.
    fn sweep(&mut self, now: u64) {
        if now < self.last_sweep + PENDING_REPLY_KEPT_MS / 4 {
            return;
        }
        self.last_sweep = now;
        self.pending
            .retain(|_, reply| now < reply.last_query + PENDING_REPLY_KEPT_MS);
    }
}

/// A priority queue of lookups, each with who waits for it: the one whose reply is
/// pending longest goes first.
#[derive(Debug)]
pub struct LookupQueue<W> {
    /// By since when the reply is pending.
    waiting: BTreeMap<(u64, JobId), Vec<W>>,
    since: HashMap<JobId, u64>,
    capacity: usize,
}

impl<W> LookupQueue<W> {
    /// A queue for the lookups of so many jobs.
    pub fn new(capacity: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            since: HashMap::new(),
            capacity,
        }
    }

    /// Lets somebody wait for the lookup of a job whose reply is pending since then. Returns
    /// who is refused for want of room: who came, or all who wait for the job whose reply
    /// is pending shortest.
    pub fn enqueue(&mut self, id: &JobId, since: u64, waiter: W) -> Vec<W> {
        if let Some(since) = self.since.get(id) {
            // Who asks for the same job costs no more.
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

    /// Takes the next lookups, so many at most.
    pub fn dequeue(&mut self, most: usize) -> Vec<(JobId, Vec<W>)> {
        let mut taken = Vec::new();
        while taken.len() < most
            && let Some(((_, id), waiters)) = self.waiting.pop_first()
        {
            self.since.remove(&id);
            taken.push((id, waiters));
        }
        taken
    }
}
