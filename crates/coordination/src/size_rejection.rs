//! How writes go on after the store has rejected a compare-and-swap for its size.

use std::collections::BTreeMap;

use lemonweir_model::JobId;
use tracing::warn;

/// ms after which the change of a job that the store rejected on its own is tried again: it may
/// be smaller by then, or the store's limits higher.
const REJECTED_CHANGE_BACKOFF_MS: u64 = 5_000;

/// The answer to a rejection for size, the same for every writer that batches changes of jobs.
///
/// A rejected compare-and-swap is never repeated as it is. Its changes are tried one at a time,
/// twice as many with each commit from then on, and a change that is rejected on its own waits.
///
/// Guards against one oversized record that keeps all others from being written.
#[derive(Debug)]
pub(crate) struct SizeRejection {
    /// Maximum number of changes in the next compare-and-swap.
    max_changes: usize,
    /// Jobs whose change was rejected on its own, each with the time before which it is not
    /// tried again, ms.
    rejected_until: BTreeMap<JobId, u64>,
}

impl Default for SizeRejection {
    fn default() -> Self {
        Self {
            max_changes: usize::MAX,
            rejected_until: BTreeMap::new(),
        }
    }
}

impl SizeRejection {
    /// Maximum number of changes in the next compare-and-swap.
    pub(crate) fn max_changes(&self) -> usize {
        self.max_changes
    }

    /// Handles a commit of changes of these jobs.
    pub(crate) fn committed<'a>(&mut self, jobs: impl Iterator<Item = &'a JobId>) {
        self.max_changes = self.max_changes.saturating_mul(2);
        if self.rejected_until.is_empty() {
            return;
        }
        for job in jobs {
            self.rejected_until.remove(job);
        }
    }

    /// Handles the rejection of a compare-and-swap with this number of changes, of these jobs.
    pub(crate) fn rejected<'a>(
        &mut self,
        change_count: usize,
        jobs: impl Iterator<Item = &'a JobId>,
        now: u64,
    ) {
        if change_count > 1 {
            self.max_changes = 1;
            return;
        }
        for job in jobs {
            warn!(
                job_id = %job,
                backoff_ms = REJECTED_CHANGE_BACKOFF_MS,
                "store rejected a record for its size"
            );
            self.rejected_until
                .insert(job.clone(), now + REJECTED_CHANGE_BACKOFF_MS);
        }
    }

    /// True if the last change of a job was rejected on its own.
    pub(crate) fn is_rejected(&self, job: &JobId) -> bool {
        self.rejected_until.contains_key(job)
    }

    /// True if a job's change is not to be tried yet.
    pub(crate) fn is_backing_off(&self, job: &JobId, now: u64) -> bool {
        self.rejected_until
            .get(job)
            .is_some_and(|until| now < *until)
    }

    /// Forgets the jobs that are no longer written.
    pub(crate) fn retain(&mut self, is_written: impl Fn(&JobId) -> bool) {
        self.rejected_until.retain(|job, _| is_written(job));
    }
}
