//! Jobs that depend on others: which may start, which are cancelled with another, and the
//! priority that the jobs before them inherit.
//!
//! * **Start.** A waiting job is moved to where placers find it by one compare-and-swap,
//!   whose conditions are the final states of all its dependencies, each under the version
//!   that says done ([`lemonweir_storage::dependencies`]).
//! * **Cancellation.** A job that depends on a cancelled one, directly or through others,
//!   never starts, since that final state never changes. So it counts as cancelled from the
//!   moment when the final state that decides it is written: any controller may say so, and
//!   the record of its own end follows when there is room for the write.
//! * **Priority.** Users set the priority that they care about on the last job of a
//!   pipeline. A job is placed with the highest priority of all that depend on it.

mod batch;
mod graph;

use std::collections::{BTreeSet, HashMap, HashSet};

use tracing::info;

use crate::placer::CompareAndSwapOutcome;
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
use lemonweir_storage::state_cache::FinalState;

/// Dependencies that are named to a user who asks why a job waits.
const DEPENDENCIES_NAMED: usize = 5;
/// Final states of dependencies that are read at a time.
const FINAL_STATES_READ_AT_ONCE: usize = 16;
/// ms after which a compare-and-swap for waiting jobs is tried again that was not made: a
/// reading of the store lies between.
const CAS_RETRY_MS: u64 = 300;
/// ms between two surveys of all waiting jobs: little beside the fetch of an image, and
/// enough for thousands of them on a tenth of a core.
const SURVEY_GAP_MS: u64 = 50;

/// The state of a waiting job, by the final states of all that it depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All dependencies are done, each by the final state with this version.
    Ready(Vec<(JobId, u64)>),
    /// These dependencies are not done yet.
    Waiting(Vec<JobId>),
    /// A job that it depends on, directly or through others, is cancelled.
    Cancelled(FinalState),
    /// The final states of these must be read before anything can be said.
    Unread(Vec<JobId>),
}

impl DependencyState {
    /// Why a job waits, in plain words for its user.
    pub(crate) fn wait_reason(&self) -> String {
        let Self::Waiting(ids) = self else {
            return "all jobs that it awaits are done; it is about to be placed".into();
        };
        let named: Vec<&str> = ids
            .iter()
            .take(DEPENDENCIES_NAMED)
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

/// What becomes of a submission that depends on others.
#[derive(Clone, Debug, PartialEq)]
pub enum DependencyAdmission {
    /// Nothing is known here of these ids: the store has to be asked.
    Unknown(Vec<JobId>),
    /// Accepted by these compare-and-swaps, in their order; then it is acknowledged with
    /// this phase.
    Accept(Vec<CompareAndSwap>, JobPhase),
}

/// When all waiting jobs were last looked at.
#[derive(Clone, Copy, Debug)]
struct Survey {
    /// What the cache had changed by then.
    changes: u64,
    /// ms.
    at: u64,
}

impl Survey {
    /// Guards against a look at thousands of waiting jobs at every event.
    fn still_valid(self, changes: u64, now: u64) -> bool {
        now < self.at + SURVEY_GAP_MS
            || self.changes == changes && now < self.at + SHARD_VIEW_REFRESH_MS
    }
}

/// A controller's state of the jobs that depend on others.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Changes of waiting jobs that the inherited priorities follow from.
    applied_changes: u64,
    /// Priorities that jobs inherit from those that depend on them.
    inherited: HashMap<JobId, Priority>,
    /// What the compare-and-swap under way was for.
    pending: Option<PendingCas>,
    /// Final states that are being read.
    reading: BTreeSet<JobId>,
    /// Final states that the store has confirmed for jobs with too many dependencies for
    /// one compare-and-swap.
    verified: HashSet<JobId>,
    /// When to try again after a compare-and-swap that was not made, ms.
    not_before: u64,
    last_survey: Option<Survey>,
}

impl DependencyGraph {
    /// The highest priority of the jobs that depend on a job.
    pub(crate) fn inherited_priority(&self, id: &JobId) -> Option<Priority> {
        self.inherited.get(id).copied()
    }
}

/// What a survey of the waiting jobs found to do.
#[derive(Default)]
struct DueWork {
    /// Jobs that may start, each with its dependencies' final states.
    ready: Vec<(JobId, Vec<(JobId, u64)>)>,
    /// Jobs that are cancelled with another.
    cancelled: Vec<JobId>,
    /// Jobs whose final states must be read.
    unread: BTreeSet<JobId>,
}

impl Core {
    /// The state of a job that waits for its dependencies.
    pub fn dependency_state(&self, id: &JobId) -> DependencyState {
        graph::dependency_state(&self.cache, id)
    }

    /// What becomes of a submission whose job is not known here, at this time of day, ms.
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
        // Final states never change: what is done need not be waited for, but its final
        // state is still to be confirmed by the store, unless the job depends on nothing.
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
        graph::search_before(&self.cache, &unfinished)
            .cancelled
            .is_some()
    }

    /// The compare-and-swap by which a user cancels an unfinished job; `None`: it is being
    /// cancelled already, or not known here.
    pub fn cancellation_cas(&self, id: &JobId) -> Option<CompareAndSwap> {
        if let Some(job) = self.cache.jobs.get(id) {
            return (!job.record.cancel_requested)
                .then(|| request_cancellation(&job.record, job.version));
        }
        self.cache
            .blocked_jobs
            .get(id)
            .map(|waiting| cancel_blocked_job(id, waiting.version))
    }

    /// The priority that a job is placed with here, if this controller places it.
    pub fn placed_priority(&self, id: &JobId) -> Option<Priority> {
        self.shards
            .values()
            .find_map(|shard| shard.placer.priority(id))
    }

    /// Follows the changes of waiting jobs: the jobs whose priority has changed.
    pub(crate) fn refresh_inherited_priorities(&mut self) -> Vec<JobId> {
        if self.dependencies.applied_changes == self.cache.blocked_job_changes {
            return Vec::new();
        }
        self.dependencies.applied_changes = self.cache.blocked_job_changes;
        let newest = graph::inherited_priorities(&self.cache);
        let before = std::mem::replace(&mut self.dependencies.inherited, newest);
        let newest = &self.dependencies.inherited;
        let changed: BTreeSet<&JobId> = before
            .keys()
            .chain(newest.keys())
            .filter(|id| before.get(*id) != newest.get(*id))
            .collect();
        changed
            .into_iter()
            .filter(|id| self.cache.jobs.contains_key(*id))
            .cloned()
            .collect()
    }

    /// True if this controller moves the waiting jobs of a team: it leads the team's shard,
    /// or nobody does and it is the first that lives.
    fn manages_dependencies_of(&self, team: &str) -> bool {
        let shard = Self::team_shard(&self.cache, &self.config, team);
        match self.cache.shard_leaders.get(&shard) {
            Some(_) => self.shards.contains_key(&shard),
            None => self
                .cache
                .controllers
                .keys()
                .next()
                .is_some_and(|host| *host == own_host(&self.config)),
        }
    }

    /// What is due for waiting jobs: final states to be read, and one compare-and-swap at a
    /// time.
    pub(crate) fn flush_dependencies(&mut self, now: u64, effects: &mut Vec<Effect>) {
        let nothing_waits = self.cache.blocked_jobs.is_empty()
            && self.cache.orphaned_dependency_pages().next().is_none();
        if nothing_waits || now < self.dependencies.not_before {
            return;
        }
        let changes = self.cache.dependency_changes();
        if self.dependencies.pending.is_some()
            || self
                .dependencies
                .last_survey
                .is_some_and(|survey| survey.still_valid(changes, now))
        {
            return;
        }
        self.dependencies.last_survey = Some(Survey { changes, at: now });
        let due = self.survey_waiting_jobs();
        self.read_final_states(&due.unread, effects);
        if let Some(batch) = self.next_dependency_cas(&due) {
            self.dependencies.pending = Some(batch.pending);
            effects.push(Effect::DependencyCompareAndSwap(batch.cas));
        }
    }

    fn survey_waiting_jobs(&self) -> DueWork {
        let cancelled = graph::cancelled_jobs(&self.cache);
        let mut due = DueWork::default();
        for (id, waiting) in &self.cache.blocked_jobs {
            if !self.manages_dependencies_of(&waiting.record.spec.team) {
                continue;
            }
            if cancelled.contains_key(id) {
                due.cancelled.push(id.clone());
                continue;
            }
            match graph::direct_state(&self.cache, id) {
                DependencyState::Ready(done) => due.ready.push((id.clone(), done)),
                DependencyState::Cancelled(_) => due.cancelled.push(id.clone()),
                DependencyState::Unread(ids) => due.unread.extend(ids),
                DependencyState::Waiting(_) => {}
            }
        }
        due
    }

    fn read_final_states(&mut self, unread: &BTreeSet<JobId>, effects: &mut Vec<Effect>) {
        let reading = &mut self.dependencies.reading;
        let wanted: Vec<JobId> = unread
            .iter()
            .filter(|id| !reading.contains(*id))
            .take(FINAL_STATES_READ_AT_ONCE)
            .cloned()
            .collect();
        if !wanted.is_empty() {
            reading.extend(wanted.iter().cloned());
            effects.push(Effect::ReadFinalStates(wanted));
        }
    }

    /// One compare-and-swap for as many waiting jobs as it holds: those that may start go
    /// first, then those that are cancelled, then pages of jobs that wait no more.
    fn next_dependency_cas(&self, due: &DueWork) -> Option<CasBatch> {
        let mut batch = CasBatch::new(self.config.cas_max_changes);
        batch.add_ready(&self.cache, &due.ready, &self.dependencies.verified);
        if batch.is_full() {
            return Some(batch);
        }
        batch.add_cancelled(&self.cache, &due.cancelled);
        batch.add_orphaned_pages(&self.cache);
        batch.has_writes().then_some(batch)
    }

    /// The compare-and-swap of [`Effect::DependencyCompareAndSwap`] ended.
    pub fn dependency_cas_completed(&mut self, outcome: CompareAndSwapOutcome, now: u64) {
        let Some(pending) = self.dependencies.pending.take() else {
            return;
        };
        self.dependencies.last_survey = None;
        let CompareAndSwapOutcome::Committed(revision) = outcome else {
            // What it was made of has changed: a newer reading of the store shows it.
            self.dependencies.not_before = now + CAS_RETRY_MS;
            return;
        };
        for id in &pending.released {
            info!(job_id = %id, "all dependencies done, job released");
            self.cache.blocked_jobs.remove(id);
        }
        for id in &pending.cancelled {
            info!(job_id = %id, "job cancelled with a dependency");
            self.cache.blocked_jobs.remove(id);
            self.cache
                .record_end(id, JobPhase::Withdrawn, revision, now);
        }
        self.dependencies.verified.extend(pending.verified);
        if self.cache.blocked_jobs.is_empty() {
            self.dependencies.verified.clear();
        }
    }

    /// The final states of [`Effect::ReadFinalStates`] were looked for; those found are
    /// settled in the cache.
    pub fn final_states_read(&mut self, ids: &[JobId], now: u64) {
        for id in ids {
            self.dependencies.reading.remove(id);
            self.dependencies.last_survey = None;
            if !self.cache.is_known(id) {
                self.dependencies.not_before = now + CAS_RETRY_MS;
            }
        }
    }
}

fn own_host(config: &Config) -> &str {
    &config.members[usize::from(config.own_index)].host
}
