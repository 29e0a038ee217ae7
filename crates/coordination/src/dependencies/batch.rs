//! One compare-and-swap for as many waiting jobs as it holds.

use std::collections::{BTreeMap, HashSet};

use lemonweir_model::JobId;
use lemonweir_model::constants::CONDITIONS_PER_CHANGE;
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_storage::StateCache;
use lemonweir_storage::dependencies::{
    blocked_job_key, cancel_blocked_job, check_ends_unchanged, dependency_page_key, unblock_job,
};

/// What a compare-and-swap for waiting jobs is for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingCas {
    /// Jobs that it lets start.
    pub(super) released: Vec<JobId>,
    /// Jobs that it records as cancelled.
    pub(super) cancelled: Vec<JobId>,
    /// Final states that it confirms.
    pub(super) verified: Vec<JobId>,
}

/// A compare-and-swap that grows up to its limits.
pub(super) struct CasBatch {
    pub(super) cas: CompareAndSwap,
    pub(super) pending: PendingCas,
    max_writes: usize,
    max_conditions: usize,
    full: bool,
}

impl CasBatch {
    /// An empty one of so many changes at most.
    pub(super) fn new(max_writes: usize) -> Self {
        Self {
            cas: CompareAndSwap::default(),
            pending: PendingCas::default(),
            max_writes,
            max_conditions: CONDITIONS_PER_CHANGE * max_writes,
            full: false,
        }
    }

    /// True if it only confirms final states and must go by itself.
    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// True if it changes something.
    pub(super) fn has_writes(&self) -> bool {
        !self.cas.writes.is_empty()
    }

    /// Adds the release of jobs whose dependencies are done, each with their final states,
    /// of which the `verified` are confirmed already.
    pub(super) fn add_ready(
        &mut self,
        cache: &StateCache,
        ready: &[(JobId, Vec<(JobId, u64)>)],
        verified: &HashSet<JobId>,
    ) {
        for (id, done) in ready {
            let Some(waiting) = cache.blocked_jobs.get(id) else {
                continue;
            };
            let unverified: Vec<(JobId, u64)> = done
                .iter()
                .filter(|(id, _)| !verified.contains(id))
                .cloned()
                .collect();
            if unverified.len() >= self.max_conditions {
                // More than one compare-and-swap holds: first some of them by themselves.
                if self.cas == CompareAndSwap::default() {
                    self.confirm(&unverified[..self.max_conditions]);
                }
                return;
            }
            let release = unblock_job(&waiting.record, waiting.version, &unverified);
            if !self.append(release) {
                return;
            }
            self.pending.released.push(id.clone());
        }
    }

    fn confirm(&mut self, done: &[(JobId, u64)]) {
        self.cas = check_ends_unchanged(done);
        self.pending.verified = done.iter().map(|(id, _)| id.clone()).collect();
        self.full = true;
    }

    /// Adds the end of jobs that are cancelled with a dependency.
    pub(super) fn add_cancelled(&mut self, cache: &StateCache, cancelled: &[JobId]) {
        for id in cancelled {
            let Some(waiting) = cache.blocked_jobs.get(id) else {
                continue;
            };
            if !self.append(cancel_blocked_job(id, waiting.version)) {
                return;
            }
            self.pending.cancelled.push(id.clone());
        }
    }

    /// Adds the deletion of pages of dependencies whose jobs wait no more.
    pub(super) fn add_orphaned_pages(&mut self, cache: &StateCache) {
        for (id, page) in cache.orphaned_dependency_pages() {
            let deletion = CompareAndSwap {
                conditions: vec![Condition {
                    key: blocked_job_key(id),
                    version: 0,
                }],
                writes: vec![Write::Delete {
                    key: dependency_page_key(id, *page),
                }],
            };
            if cache.is_known(id) && !self.append(deletion) {
                return;
            }
        }
    }

    /// Adds a compare-and-swap if both together stay within the limits, or this one has no
    /// writes yet.
    fn append(&mut self, next: CompareAndSwap) -> bool {
        let fits = self.cas.writes.len() + next.writes.len() <= self.max_writes
            && self.cas.conditions.len() + next.conditions.len() <= self.max_conditions;
        if !fits && self.has_writes() {
            return false;
        }
        let mut known: BTreeMap<String, u64> = self
            .cas
            .conditions
            .iter()
            .map(|c| (c.key.clone(), c.version))
            .collect();
        for condition in next.conditions {
            if known
                .insert(condition.key.clone(), condition.version)
                .is_none()
            {
                self.cas.conditions.push(condition);
            }
        }
        self.cas.writes.extend(next.writes);
        true
    }
}
