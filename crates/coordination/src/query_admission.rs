//! Which users' questions go first where not all can be taken at once.
//!
//! A node turns questions away when it is behind with its work, when the store is
//! busy with what goes first, or when too many wait. Chance alone could then turn
//! away the same job again and again while others are answered. So a node notes
//! the jobs that it owes an answer, and since when: who is owed one for longest goes
//! first, and one that is owed it for [`OWED_FIRST_MS`] is no longer turned away
//! for this node's own load. `docs/night-watch/answers.md` states the bounds.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::JobId;
use lemonweir_model::constants::{OWED_FIRST_MS, OWED_KEPT_MS, OWED_MOST};

/// Why a request of a user was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryRefusal {
    /// This process is behind with its work.
    Behind,
    /// No word from the store for a while.
    NoWord,
    /// Too many ids wait to be asked for, or the store is busy with what goes first.
    Lookups,
    /// The store did not answer, or not in time.
    Store,
    /// Too much waits to be written.
    Writes,
    /// The machine types are not known yet.
    NoCatalog,
    /// A withdrawal whose last attempts are being stopped; no question, and not owed.
    Stopping,
}

/// What was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueryKind {
    /// How a job stands.
    Poll,
    /// To take a job in.
    Submission,
    /// To withdraw one.
    Withdrawal,
}

/// How often each was turned away, and why.
pub type QueryRefusalCounts = BTreeMap<(QueryKind, QueryRefusal), u64>;

/// What is owed for one job.
#[derive(Clone, Copy, Debug)]
struct Owed {
    /// When a question was first turned away since the last answer, ms.
    since: u64,
    /// When one last was, ms.
    asked: u64,
}

/// Jobs that are owed an answer, and what was turned away.
#[derive(Debug, Default)]
pub struct QueryAdmission {
    owed: HashMap<JobId, Owed>,
    swept: u64,
    refusals: QueryRefusalCounts,
    longest_ms: u64,
}

impl QueryAdmission {
    /// Since when a job is owed an answer, ms; `now` if it is not.
    pub fn since(&self, id: &JobId, now: u64) -> u64 {
        self.owed.get(id).map_or(now, |o| o.since)
    }

    /// True if a job was turned away so long ago that it is not for load any more.
    pub fn first(&self, id: &JobId, now: u64) -> bool {
        now >= self.since(id, now) + OWED_FIRST_MS
    }

    /// A question about a job was turned away. Beyond [`OWED_MOST`] jobs the ones
    /// that came before keep their claim.
    pub fn turned_away(&mut self, id: &JobId, asked: QueryKind, why: QueryRefusal, now: u64) {
        *self.refusals.entry((asked, why)).or_default() += 1;
        if why == QueryRefusal::Stopping {
            return;
        }
        self.sweep(now);
        if let Some(owed) = self.owed.get_mut(id) {
            owed.asked = now;
            self.longest_ms = self.longest_ms.max(now.saturating_sub(owed.since));
        } else if self.owed.len() < OWED_MOST {
            self.owed.insert(
                id.clone(),
                Owed {
                    since: now,
                    asked: now,
                },
            );
        }
    }

    /// A question about a job was answered.
    pub fn answered(&mut self, id: &JobId) {
        if !self.owed.is_empty() {
            self.owed.remove(id);
        }
    }

    /// What was turned away since the last call, and for how long the same job was
    /// turned away at most, ms. `None`: nothing was.
    pub fn told(&mut self) -> Option<(QueryRefusalCounts, u64)> {
        let longest = std::mem::take(&mut self.longest_ms);
        (!self.refusals.is_empty()).then(|| (std::mem::take(&mut self.refusals), longest))
    }

    /// Guards against claims of users who have gone elsewhere or given up.
    fn sweep(&mut self, now: u64) {
        if now < self.swept + OWED_KEPT_MS / 4 {
            return;
        }
        self.swept = now;
        self.owed.retain(|_, o| now < o.asked + OWED_KEPT_MS);
    }
}

/// Ids that wait for their turn, each with who waits for it: who is owed an answer
/// for longest goes first.
#[derive(Debug)]
pub struct Line<W> {
    waiting: BTreeMap<(u64, JobId), Vec<W>>,
    since: HashMap<JobId, u64>,
    most: usize,
}

impl<W> Line<W> {
    /// A line for so many ids.
    pub fn new(most: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            since: HashMap::new(),
            most,
        }
    }

    /// Lets somebody wait for an id that is owed an answer since then. Returns who
    /// has to go for it: who came, or all who wait for the id that was owed one for
    /// the shortest.
    pub fn enter(&mut self, id: &JobId, since: u64, waiter: W) -> Vec<W> {
        if let Some(since) = self.since.get(id) {
            // Who asks for the same id costs no more.
            self.waiting
                .entry((*since, id.clone()))
                .or_default()
                .push(waiter);
            return Vec::new();
        }
        let mut gone = Vec::new();
        if self.since.len() >= self.most {
            match self.waiting.last_entry() {
                Some(last) if last.key().0 > since => {
                    let ((_, other), waiters) = last.remove_entry();
                    self.since.remove(&other);
                    gone = waiters;
                }
                _ => return vec![waiter],
            }
        }
        self.since.insert(id.clone(), since);
        self.waiting.insert((since, id.clone()), vec![waiter]);
        gone
    }

    /// The next ids, so many at most.
    pub fn take(&mut self, most: usize) -> Vec<(JobId, Vec<W>)> {
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
