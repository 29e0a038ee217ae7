//! Job dependencies: unblocking of jobs, propagation of cancellations, and inheritance of
//! priorities. A job is blocked while it waits for its dependencies.
//!
//! * **Start.** One compare-and-swap moves a blocked job to where placers find it. Its
//!   conditions are the final states of all dependencies, each at the version that says done
//!   ([`lemonweir_storage::dependencies`]). If these are too many for one compare-and-swap,
//!   earlier ones verify some of them.
//! * **Cancellation.** A job that depends on a cancelled one, directly or transitively, never
//!   starts, since a final state never changes. It counts as cancelled as soon as the final
//!   state that decides it is written: any controller may report it, and the record of its own
//!   end follows when there is capacity for the write.
//! * **Priority.** Users set the priority that they care about on the last job of a
//!   pipeline. A job is placed with the highest priority among itself and all jobs that
//!   depend on it.

mod batch;
mod graph;

use std::collections::{BTreeSet, HashMap, HashSet};

use tracing::info;

use crate::placer::CompareAndSwapOutcome;
use crate::size_rejection::SizeRejection;
use crate::{Config, Core, Effect};
use batch::{CasBatch, PendingCas};
use lemonweir_model::constants::SHARD_VIEW_REFRESH_MS;
use lemonweir_model::{JobId, JobSpec, Priority};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::{
    cancel_blocked_job, create_blocked_job, create_cancelled_job,
};
use lemonweir_storage::records::{JobRecord, create_job, request_cancellation};
use lemonweir_storage::state_cache::CachedJobEnd;

/// Maximum number of dependencies listed in the wait reason of a job.
const MAX_DEPENDENCIES_IN_REASON: usize = 5;
/// Maximum number of final states requested from the store after one scan.
const MAX_FINAL_STATE_READS_PER_SCAN: usize = 16;
/// ms between two reads of the ends of jobs whose specification pages may be deleted; nothing
/// waits for that.
const ORPHAN_READ_INTERVAL_MS: u64 = 10_000;
/// ms until a compare-and-swap for blocked jobs that was not committed, or a read of final
/// states that found nothing, is retried: long enough for a read of the store in between.
const CAS_RETRY_MS: u64 = 300;
/// Minimum ms between two scans of all blocked jobs. Short compared with the fetch of an
/// image, and long enough to scan thousands of jobs on a tenth of a core.
const MIN_SCAN_INTERVAL_MS: u64 = 50;

/// State of a blocked job, derived from the final states of its dependencies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All dependencies are done, each with the version of its final state.
    Ready(Vec<(JobId, u64)>),
    /// These dependencies are unfinished.
    Waiting(Vec<JobId>),
    /// A direct or transitive dependency is cancelled.
    Cancelled(CachedJobEnd),
    /// The final states of these jobs must be read first. Empty if the job's own dependencies
    /// are not in the cache yet.
    Unread(Vec<JobId>),
}

impl DependencyState {
    /// Reason shown to users for why the job waits.
    fn wait_reason(&self) -> String {
        let Self::Waiting(ids) = self else {
            return "all jobs that it awaits are done; it is about to be placed".into();
        };
        let named: Vec<&str> = ids
            .iter()
            .take(MAX_DEPENDENCIES_IN_REASON)
            .map(JobId::as_str)
            .collect();
        let more = ids.len().saturating_sub(named.len());
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        format!("waits for {}{more}", named.join(", "))
    }
}

/// Result of checking the dependencies of a submitted job.
#[derive(Clone, Debug, PartialEq)]
pub enum DependencyAdmission {
    /// These dependencies are not in the cache and must be looked up in the store.
    Unknown(Vec<JobId>),
    /// The job is accepted by these compare-and-swaps, in this order, and then acknowledged
    /// with this phase.
    Accept(Vec<CompareAndSwap>, JobPhase),
}

/// The last scan of all blocked jobs.
#[derive(Clone, Copy, Debug)]
struct Scan {
    /// Change counter of the cache at the scan.
    changes: u64,
    /// Time of the scan, ms.
    at: u64,
}

impl Scan {
    /// True if no new scan is due. Avoids a scan of thousands of blocked jobs on every event.
    fn still_valid(self, changes: u64, now: u64) -> bool {
        now < self.at + MIN_SCAN_INTERVAL_MS
            || self.changes == changes && now < self.at + SHARD_VIEW_REFRESH_MS
    }
}

/// Dependency tracking of one controller.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Value of the cache's change counter that `inherited` was computed from.
    applied_changes: u64,
    /// Priorities that jobs inherit from those that depend on them.
    inherited: HashMap<JobId, Priority>,
    /// Contents of the compare-and-swap in flight.
    pending: Option<PendingCas>,
    /// Jobs whose final states are being read.
    reads_in_flight: BTreeSet<JobId>,
    /// Jobs with orphaned specification pages whose ends are being read.
    orphan_reads: BTreeSet<JobId>,
    /// Time before which no ends of jobs with orphaned pages are read, ms.
    orphans_read_at: u64,
    /// Dependencies whose final states the store has verified, for jobs with too many
    /// dependencies for one compare-and-swap.
    verified: HashSet<JobId>,
    /// No scan takes place before this time, ms: set after a compare-and-swap or a read that
    /// must be retried.
    retry_at: u64,
    last_scan: Option<Scan>,
    size_rejection: SizeRejection,
}

impl DependencyGraph {
    /// Reason shown to users for why a blocked job in this state waits.
    pub(crate) fn wait_reason(&self, id: &JobId, state: &DependencyState) -> String {
        if self.size_rejection.is_rejected(id) {
            return "the state service refuses its record for its size; it is tried again every few seconds".into();
        }
        state.wait_reason()
    }

    /// Handles a compare-and-swap that the store rejected for its size.
    fn rejected(&mut self, pending: &PendingCas, now: u64) {
        if pending.change_count <= 1 && pending.sized_jobs().next().is_none() {
            // No record of it has a size that could change.
            self.retry_at = now + CAS_RETRY_MS;
        }
        self.size_rejection
            .rejected(pending.change_count, pending.sized_jobs(), now);
    }

    /// The highest priority of the blocked jobs that depend on a job.
    pub(crate) fn inherited_priority(&self, id: &JobId) -> Option<Priority> {
        self.inherited.get(id).copied()
    }
}

/// Result of a scan of the blocked jobs.
#[derive(Default)]
struct ScanResult {
    /// Jobs that may start, each with its dependencies and the versions of their final states.
    ready: Vec<(JobId, Vec<(JobId, u64)>)>,
    /// Jobs that are cancelled with a dependency.
    cancelled: Vec<JobId>,
    /// Jobs whose final states must be read.
    unread: BTreeSet<JobId>,
}

impl Core {
    /// State of a blocked job.
    pub fn dependency_state(&self, id: &JobId) -> DependencyState {
        graph::dependency_state(&self.cache, id)
    }

    /// Checks the dependencies of a submitted job that is not known here; `at` is the time of
    /// day, ms.
    pub fn admit_job(&self, spec: &JobSpec, at: u64) -> DependencyAdmission {
        let unknown: Vec<JobId> = spec
            .depends_on
            .iter()
            .filter(|id| !self.cache.is_known(id))
            .cloned()
            .collect();
        if !unknown.is_empty() {
            return DependencyAdmission::Unknown(unknown);
        }
        if self.depends_on_cancelled(spec) {
            return DependencyAdmission::Accept(
                vec![create_cancelled_job(&spec.id)],
                JobPhase::Withdrawn,
            );
        }
        // A job whose dependencies are all done is still created as blocked: the store must
        // verify their final states. Only a job without dependencies is created directly.
        let record = JobRecord {
            spec: spec.clone(),
            submitted_at_ms: at,
            cancel_requested: false,
            dependency_count: 0,
        };
        let cas_list = if spec.depends_on.is_empty() {
            vec![create_job(&record)]
        } else {
            create_blocked_job(&record, self.config.cas_max_changes)
        };
        let writer = self.cache.job_record_writer(self.config.cas_max_changes);
        let cas_list = cas_list
            .into_iter()
            .flat_map(|cas| writer.fit(cas))
            .collect();
        DependencyAdmission::Accept(cas_list, JobPhase::Queued)
    }

    fn depends_on_cancelled(&self, spec: &JobSpec) -> bool {
        let mut unfinished = Vec::new();
        for id in &spec.depends_on {
            match self.cache.job_end(id).map(|state| state.phase) {
                Some(JobPhase::Withdrawn) => return true,
                Some(_) => {}
                None => unfinished.push(id.clone()),
            }
        }
        graph::search_dependencies(&self.cache, &unfinished)
            .cancelled
            .is_some()
    }

    /// The compare-and-swaps, in this order, that cancel an unfinished job for its user; `None` if
    /// its cancellation is already requested or the job is not known here.
    pub fn cancellation_cas_list(&self, id: &JobId) -> Option<Vec<CompareAndSwap>> {
        if let Some(job) = self.cache.jobs.get(id) {
            let writer = self.cache.job_record_writer(self.config.cas_max_changes);
            return (!job.record.cancel_requested)
                .then(|| writer.fit(request_cancellation(&job.record, job.version)));
        }
        self.cache
            .blocked_jobs
            .get(id)
            .map(|blocked| vec![cancel_blocked_job(id, blocked.version)])
    }

    /// The effective priority of a job, if this controller places it.
    pub fn placed_priority(&self, id: &JobId) -> Option<Priority> {
        self.shards
            .values()
            .find_map(|shard| shard.placer.priority(id))
    }

    /// Recomputes inherited priorities after changes of blocked jobs. Returns the unblocked
    /// jobs whose inherited priority has changed.
    pub(crate) fn refresh_inherited_priorities(&mut self) -> Vec<JobId> {
        if self.dependencies.applied_changes == self.cache.blocked_job_changes {
            return Vec::new();
        }
        self.dependencies.applied_changes = self.cache.blocked_job_changes;
        let current = graph::inherited_priorities(&self.cache);
        let previous = std::mem::replace(&mut self.dependencies.inherited, current);
        let current = &self.dependencies.inherited;
        let changed: BTreeSet<&JobId> = previous
            .keys()
            .chain(current.keys())
            .filter(|id| previous.get(*id) != current.get(*id))
            .collect();
        changed
            .into_iter()
            .filter(|id| self.cache.jobs.contains_key(*id))
            .cloned()
            .collect()
    }

    /// True if this controller unblocks and cancels the blocked jobs of a team: it leads the
    /// team's shard, or the shard has no leader and this controller is the first live one by
    /// host name.
    fn manages_dependencies_of(&self, team: &str) -> bool {
        let shard = Self::team_shard(&self.cache, &self.config, team);
        match self.cache.shard_leaders.get(&shard) {
            Some(_) => self.shards.contains_key(&shard),
            None => self.is_first_live_controller(),
        }
    }

    /// True if this controller is the first live one by host name, which does what only one of
    /// them needs to do.
    fn is_first_live_controller(&self) -> bool {
        self.cache
            .controllers
            .keys()
            .next()
            .is_some_and(|host| *host == own_host(&self.config))
    }

    /// Jobs with orphaned specification pages whose end has to be read before the pages may be
    /// deleted: the job may still be in submission.
    fn unread_ends_of_orphaned_pages(&mut self, now: u64) -> BTreeSet<JobId> {
        if !self.is_first_live_controller() || now < self.dependencies.orphans_read_at {
            return BTreeSet::new();
        }
        let unread: BTreeSet<JobId> = self
            .cache
            .orphaned_spec_pages()
            .map(|page| &page.job)
            .filter(|job| self.cache.job_end(job).is_none())
            .take(MAX_FINAL_STATE_READS_PER_SCAN)
            .cloned()
            .collect();
        if !unread.is_empty() {
            self.dependencies.orphans_read_at = now + ORPHAN_READ_INTERVAL_MS;
            self.dependencies
                .orphan_reads
                .extend(unread.iter().cloned());
        }
        unread
    }

    /// Emits the effects due for blocked jobs: reads of final states, and one compare-and-swap
    /// at a time.
    pub(crate) fn flush_dependencies(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let deletes_pages = self.is_first_live_controller() && self.cache.has_spec_pages();
        let nothing_to_do = self.cache.blocked_jobs.is_empty()
            && self.cache.orphaned_dependency_pages().next().is_none()
            && !deletes_pages;
        if nothing_to_do || now < self.dependencies.retry_at {
            return;
        }
        let changes = self.cache.dependency_changes();
        if self.dependencies.pending.is_some()
            || self
                .dependencies
                .last_scan
                .is_some_and(|scan| scan.still_valid(changes, now))
        {
            return;
        }
        self.dependencies.last_scan = Some(Scan { changes, at: now });
        let blocked = &self.cache.blocked_jobs;
        self.dependencies
            .size_rejection
            .retain(|id| blocked.contains_key(id));
        let mut found = self.scan_blocked_jobs();
        found.unread.extend(self.unread_ends_of_orphaned_pages(now));
        self.read_final_states(&found.unread, effects);
        if let Some(batch) = self.next_dependency_cas(&found, now) {
            self.dependencies.pending = Some(batch.pending);
            effects.push(Effect::DependencyCompareAndSwap(batch.cas));
        }
    }

    fn scan_blocked_jobs(&self) -> ScanResult {
        let cancelled = graph::cancelled_jobs(&self.cache);
        let mut found = ScanResult::default();
        for (id, blocked) in &self.cache.blocked_jobs {
            if !self.manages_dependencies_of(&blocked.record.spec.team) {
                continue;
            }
            if cancelled.contains_key(id) {
                found.cancelled.push(id.clone());
                continue;
            }
            match graph::direct_state(&self.cache, id) {
                DependencyState::Ready(done) => found.ready.push((id.clone(), done)),
                DependencyState::Cancelled(_) => found.cancelled.push(id.clone()),
                DependencyState::Unread(ids) => found.unread.extend(ids),
                DependencyState::Waiting(_) => {}
            }
        }
        found
    }

    fn read_final_states(&mut self, unread: &BTreeSet<JobId>, effects: &mut Vec<Effect>) {
        let in_flight = &mut self.dependencies.reads_in_flight;
        let wanted: Vec<JobId> = unread
            .iter()
            .filter(|id| !in_flight.contains(*id))
            .take(MAX_FINAL_STATE_READS_PER_SCAN)
            .cloned()
            .collect();
        if !wanted.is_empty() {
            in_flight.extend(wanted.iter().cloned());
            effects.push(Effect::ReadFinalStates(wanted));
        }
    }

    /// Batches the changes of blocked jobs into one compare-and-swap: jobs that may start come
    /// first, then cancelled jobs, then pages of jobs that are no longer blocked. If there are
    /// none, a job whose release was rejected is tried on its own.
    fn next_dependency_cas(&self, found: &ScanResult, now: u64) -> Option<CasBatch> {
        let DependencyGraph {
            verified,
            size_rejection,
            ..
        } = &self.dependencies;
        let max_writes = self.config.cas_max_changes;
        let (rejected, ready): (Vec<_>, Vec<_>) = found
            .ready
            .iter()
            .cloned()
            .partition(|(id, _)| size_rejection.is_rejected(id));
        let mut batch = CasBatch::new(max_writes, size_rejection.max_changes());
        batch.add_ready(&self.cache, &ready, verified);
        if batch.is_verification_only() {
            return Some(batch);
        }
        batch.add_cancelled(&self.cache, &found.cancelled);
        batch.add_orphaned_pages(&self.cache);
        if self.is_first_live_controller() {
            batch.add_orphaned_spec_pages(&self.cache);
        }
        if !batch.has_writes() {
            let due: Vec<_> = rejected
                .into_iter()
                .filter(|(id, _)| !size_rejection.is_backing_off(id, now))
                .take(1)
                .collect();
            batch = CasBatch::new(max_writes, 1);
            batch.add_ready(&self.cache, &due, verified);
        }
        (batch.has_writes() || batch.is_verification_only()).then_some(batch)
    }

    /// Handles the outcome of [`Effect::DependencyCompareAndSwap`].
    pub fn dependency_cas_completed(&mut self, outcome: CompareAndSwapOutcome, now: u64) {
        let Some(pending) = self.dependencies.pending.take() else {
            return;
        };
        self.dependencies.last_scan = None;
        let revision = match outcome {
            CompareAndSwapOutcome::Committed(revision) => revision,
            CompareAndSwapOutcome::Rejected => {
                return self.dependencies.rejected(&pending, now);
            }
            // On a conflict, the next read of the store brings the changed keys into the cache.
            CompareAndSwapOutcome::Conflict(_) | CompareAndSwapOutcome::Indeterminate => {
                self.dependencies.retry_at = now + CAS_RETRY_MS;
                return;
            }
        };
        self.dependencies
            .size_rejection
            .committed(pending.sized_jobs());
        for id in &pending.released {
            info!(job_id = %id, "all dependencies done, job released");
            self.cache.forget_blocked_job(id);
        }
        for id in &pending.cancelled {
            info!(job_id = %id, "job cancelled with a dependency");
            self.cache.forget_blocked_job(id);
            self.cache
                .record_end(id, JobPhase::Withdrawn, revision, now);
        }
        self.dependencies.verified.extend(pending.verified);
        if self.cache.blocked_jobs.is_empty() {
            self.dependencies.verified.clear();
        }
    }

    /// Handles the completion of [`Effect::ReadFinalStates`]; the final states found are
    /// already in the cache.
    pub fn final_states_read(&mut self, ids: &[JobId], now: u64) {
        for id in ids {
            self.dependencies.reads_in_flight.remove(id);
            self.dependencies.last_scan = None;
            let is_orphan = self.dependencies.orphan_reads.remove(id);
            if !is_orphan && !self.cache.is_known(id) {
                self.dependencies.retry_at = now + CAS_RETRY_MS;
            }
        }
    }
}

fn own_host(config: &Config) -> &str {
    &config.members[usize::from(config.own_index)].host
}
