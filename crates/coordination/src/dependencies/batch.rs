//! Batches changes of blocked jobs into one compare-and-swap, up to the store's limits.

use std::collections::{BTreeMap, HashSet};

use lemonweir_model::JobId;
use lemonweir_model::constants::{CONDITIONS_PER_WRITE, MAX_CAS_BYTES};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_storage::StateCache;
use lemonweir_storage::dependencies::{
    blocked_job_key, cancel_blocked_job, check_ends_unchanged, dependency_page_key, unblock_job,
};

/// The changes that a compare-and-swap for blocked jobs makes once it is committed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct PendingCas {
    /// Jobs that it unblocks.
    pub(super) released: Vec<JobId>,
    /// Jobs of which it writes pages of the specification, before they can be released.
    pub(super) paged: Vec<JobId>,
    /// Jobs that it records as cancelled.
    pub(super) cancelled: Vec<JobId>,
    /// Jobs whose final states it verifies.
    pub(super) verified: Vec<JobId>,
    /// Number of jobs and pages that it changes.
    pub(super) change_count: usize,
}

impl PendingCas {
    /// Jobs of which it writes a record or pages, whose size depends on the job.
    pub(super) fn sized_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.released.iter().chain(&self.paged)
    }
}

/// A compare-and-swap that is filled up to its limits.
pub(super) struct CasBatch {
    pub(super) cas: CompareAndSwap,
    pub(super) pending: PendingCas,
    max_writes: usize,
    max_conditions: usize,
    /// Size of the values that it writes, bytes.
    value_bytes: usize,
    /// Maximum number of changes, each of one job or page.
    max_changes: usize,
    verification_only: bool,
}

impl CasBatch {
    /// Creates an empty batch of at most `max_writes` writes for `max_changes` jobs and pages.
    pub(super) fn new(max_writes: usize, max_changes: usize) -> Self {
        Self {
            cas: CompareAndSwap::default(),
            pending: PendingCas::default(),
            max_writes,
            max_conditions: CONDITIONS_PER_WRITE * max_writes,
            value_bytes: 0,
            max_changes,
            verification_only: false,
        }
    }

    /// True if the batch only verifies final states; nothing may be added to it.
    pub(super) fn is_verification_only(&self) -> bool {
        self.verification_only
    }

    /// True if the batch writes anything.
    pub(super) fn has_writes(&self) -> bool {
        !self.cas.writes.is_empty()
    }

    /// Adds the release of jobs whose dependencies are done. Each job comes with its
    /// dependencies and the versions of their final states; dependencies in `verified` need no
    /// further check. Pages that a large record still lacks are added last, so that no release
    /// waits behind them.
    pub(super) fn add_ready(
        &mut self,
        cache: &StateCache,
        ready: &[(JobId, Vec<(JobId, u64)>)],
        verified: &HashSet<JobId>,
    ) {
        let writer = cache.job_record_writer(self.max_writes);
        let mut missing_pages: Vec<(&JobId, CompareAndSwap)> = Vec::new();
        for (id, done) in ready {
            let Some(blocked) = cache.blocked_jobs.get(id) else {
                continue;
            };
            let unverified: Vec<(JobId, u64)> = done
                .iter()
                .filter(|(id, _)| !verified.contains(id))
                .cloned()
                .collect();
            if unverified.len() >= self.max_conditions {
                // Too many conditions for one compare-and-swap: verify some of them on their
                // own first.
                if self.cas == CompareAndSwap::default() {
                    self.verify(&unverified[..self.max_conditions]);
                }
                return;
            }
            let release = unblock_job(&blocked.record, blocked.version, &unverified);
            let mut steps = writer.fit(release).into_iter();
            let Some(next) = steps.next() else { continue };
            if steps.next().is_some() {
                missing_pages.push((id, next));
                continue;
            }
            if !self.try_append(next) {
                return;
            }
            self.pending.released.push(id.clone());
        }
        for (id, pages) in missing_pages {
            if !self.try_append(pages) {
                return;
            }
            self.pending.paged.push(id.clone());
        }
    }

    fn verify(&mut self, done: &[(JobId, u64)]) {
        self.cas = check_ends_unchanged(done);
        self.pending.verified = done.iter().map(|(id, _)| id.clone()).collect();
        self.verification_only = true;
    }

    /// Adds the final states of jobs that are cancelled with a dependency.
    pub(super) fn add_cancelled(&mut self, cache: &StateCache, cancelled: &[JobId]) {
        for id in cancelled {
            let Some(blocked) = cache.blocked_jobs.get(id) else {
                continue;
            };
            if !self.try_append(cancel_blocked_job(id, blocked.version)) {
                return;
            }
            self.pending.cancelled.push(id.clone());
        }
    }

    /// Adds the deletion of the specification pages of jobs that have ended. Neither a job nor a
    /// page is ever created again then, so that the deletions need no condition.
    pub(super) fn add_orphaned_spec_pages(&mut self, cache: &StateCache) {
        for page in cache.orphaned_spec_pages() {
            let deletion = CompareAndSwap {
                conditions: Vec::new(),
                writes: vec![Write::Delete { key: page.key() }],
            };
            if cache.job_end(&page.job).is_some() && !self.try_append(deletion) {
                return;
            }
        }
    }

    /// Adds the deletion of dependency pages whose jobs are no longer blocked.
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
            if cache.is_known(id) && !self.try_append(deletion) {
                return;
            }
        }
    }

    /// Merges a compare-and-swap into this one; false if they don't fit together. Always
    /// succeeds while this one has no writes.
    fn try_append(&mut self, next: CompareAndSwap) -> bool {
        let value_bytes = next.total_value_size();
        let fits = self.pending.change_count < self.max_changes
            && self.value_bytes + value_bytes <= MAX_CAS_BYTES
            && self.cas.writes.len() + next.writes.len() <= self.max_writes
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
        self.value_bytes += value_bytes;
        self.pending.change_count += 1;
        true
    }
}
