//! Jobs that wait for others: which may start, which are cancelled with another, and the
//! priority that the jobs before them get.
//!
//! * **Start.** A waiting job is moved to where placers find it by one transaction, whose
//!   conditions are the ends of all jobs that it awaits, each under the version that says
//!   done ([`lemonweir_storage::dependencies`]).
//! * **Cancellation.** A job that needs a cancelled one, directly or through others, never
//!   starts, since that end never changes. So it counts as cancelled from the moment when
//!   the end that it needs is written: any node may tell, and the record of its own end
//!   follows when there is room for the write.
//! * **Priority.** Users set the priority that they care about on the last job of a
//!   pipeline. A job is placed with the highest priority of all that need it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use tracing::info;

use crate::job_status::Answer;
use crate::placer::CompareAndSwapOutcome;
use crate::{Config, Core, Effect};
use lemonweir_model::constants::*;
use lemonweir_model::{JobId, JobSpec, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::dependencies::*;
use lemonweir_storage::records::{JobRecord, create_job, request_cancellation};
use lemonweir_storage::state_cache::FinalState;

/// How a job that waits stands, by the ends of all that it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All awaited jobs are done, each by the end with this version.
    Ready(Vec<(JobId, u64)>),
    /// These awaited jobs are not done yet.
    Waits(Vec<JobId>),
    /// A job that it needs is cancelled.
    Cancelled(FinalState),
    /// The ends of these must be read before anything can be said.
    Unread(Vec<JobId>),
}

/// What becomes of a submission that awaits others.
#[derive(Clone, Debug, PartialEq)]
pub enum DependencyAdmission {
    /// Nothing is known here of these ids: the store has to be asked.
    Unknown(Vec<JobId>),
    /// Accepted by these transactions, in their order; then it is told to be so.
    Accept(Vec<CompareAndSwap>, JobPhase),
}

/// What a transaction for waiting jobs was for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Pending {
    /// Jobs that it lets start.
    released: Vec<JobId>,
    /// Jobs that it records as cancelled.
    cancelled: Vec<JobId>,
    /// Ends that it shows to stand.
    verified: Vec<JobId>,
}

/// The waiting jobs' side of a controller.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Changes of waiting jobs that the priorities follow from.
    seen: u64,
    /// Priorities that jobs get from those that need them.
    lent: HashMap<JobId, Priority>,
    pending: Option<Pending>,
    /// Ends that are being read.
    reading: BTreeSet<JobId>,
    /// Ends that the store has confirmed for jobs that await too many for one transaction.
    verified: HashSet<JobId>,
    /// When to try again after a transaction that was not made, ms.
    not_before: u64,
    /// What the copy said when all waiting jobs were last looked at, and when that was, ms.
    surveyed: Option<(u64, u64)>,
}

impl DependencyGraph {
    /// The highest priority of the jobs that need a job.
    pub(crate) fn lent(&self, id: &JobId) -> Option<Priority> {
        self.lent.get(id).copied()
    }
}

/// A job that waits, on the way through those that it needs.
fn standing(cache: &StateCache, id: &JobId) -> DependencyState {
    let direct = direct_standing(cache, id);
    let (waits, mut unread) = match direct {
        DependencyState::Waits(waits) => (waits, Vec::new()),
        // What the others need may still tell that it is cancelled.
        DependencyState::Unread(unread) => (cache.dependencies(id).unwrap_or_default(), unread),
        decided => return decided,
    };
    let (cancelled, further) = cancelled_before(cache, &waits);
    unread.extend(further);
    match cancelled {
        Some(end) => DependencyState::Cancelled(end),
        None if !unread.is_empty() => DependencyState::Unread(unread),
        None => DependencyState::Waits(waits),
    }
}

/// The same, by the jobs that it names alone.
fn direct_standing(cache: &StateCache, id: &JobId) -> DependencyState {
    let Some(awaits) = cache.dependencies(id) else {
        return DependencyState::Unread(Vec::new());
    };
    let (mut done, mut waits, mut unread) = (Vec::new(), Vec::new(), Vec::new());
    for awaited in &awaits {
        match cache.job_end(awaited) {
            Some(end) if end.phase == JobPhase::Done => done.push((awaited.clone(), end.version)),
            Some(end) => return DependencyState::Cancelled(end),
            None if cache.jobs.contains_key(awaited) || cache.blocked_jobs.contains_key(awaited) => {
                waits.push(awaited.clone())
            }
            None => unread.push(awaited.clone()),
        }
    }
    match (unread.is_empty(), waits.is_empty()) {
        (false, _) => DependencyState::Unread(unread),
        (true, false) => DependencyState::Waits(waits),
        (true, true) => DependencyState::Ready(done),
    }
}

/// Waiting jobs that need a cancelled one, each with the end that cancels it. Each job is
/// looked at once for all of them together.
fn cancelled_with(cache: &StateCache) -> HashMap<JobId, FinalState> {
    let mut needed_by: HashMap<JobId, Vec<&JobId>> = HashMap::new();
    let mut queue: Vec<(&JobId, FinalState)> = Vec::new();
    for id in cache.blocked_jobs.keys() {
        for awaited in cache.dependencies(id).unwrap_or_default() {
            match cache.job_end(&awaited) {
                Some(end) if end.phase == JobPhase::Withdrawn => queue.push((id, end)),
                Some(_) => {}
                None => needed_by.entry(awaited).or_default().push(id),
            }
        }
    }
    let mut cancelled: HashMap<JobId, FinalState> = HashMap::new();
    while let Some((id, end)) = queue.pop() {
        if cancelled.insert(id.clone(), end).is_none() {
            queue.extend(
                needed_by
                    .get(id)
                    .into_iter()
                    .flatten()
                    .map(|next| (*next, end)),
            );
        }
    }
    cancelled
}

/// The end of a cancelled job somewhere before these, and the jobs there of which nothing
/// is known. Each job is looked at once, however many need it.
fn cancelled_before(cache: &StateCache, jobs: &[JobId]) -> (Option<FinalState>, Vec<JobId>) {
    let mut unread = Vec::new();
    let mut seen: BTreeSet<JobId> = jobs.iter().cloned().collect();
    let mut queue: Vec<JobId> = jobs.to_vec();
    while let Some(id) = queue.pop() {
        if !cache.blocked_jobs.contains_key(&id) {
            continue;
        }
        for awaited in cache.dependencies(&id).unwrap_or_default() {
            match cache.job_end(&awaited) {
                Some(end) if end.phase == JobPhase::Withdrawn => return (Some(end), unread),
                Some(_) => {}
                None if cache.jobs.contains_key(&awaited) => {}
                None if cache.blocked_jobs.contains_key(&awaited) => {
                    if seen.insert(awaited.clone()) {
                        queue.push(awaited);
                    }
                }
                None => unread.push(awaited),
            }
        }
    }
    (None, unread)
}

/// The highest priority of the jobs that need each job, directly or through others.
fn lent_priorities(cache: &StateCache) -> HashMap<JobId, Priority> {
    let mut lent: HashMap<JobId, Priority> = HashMap::new();
    let mut queue: Vec<JobId> = cache.blocked_jobs.keys().cloned().collect();
    while let Some(id) = queue.pop() {
        let Some(waiting) = cache.blocked_jobs.get(&id) else {
            continue;
        };
        let own = waiting.record.spec.priority;
        let rank = lent.get(&id).map_or(own, |lent| own.min(*lent));
        for awaited in cache.dependencies(&id).unwrap_or_default() {
            if lent.get(&awaited).is_none_or(|before| rank < *before) {
                lent.insert(awaited.clone(), rank);
                queue.push(awaited);
            }
        }
    }
    lent
}

impl Core {
    /// How a job that waits for others stands.
    pub fn chain_standing(&self, id: &JobId) -> DependencyState {
        standing(&self.cache, id)
    }

    /// What may be told of a job that waits for others.
    pub(crate) fn chain_answer(&self, id: &JobId, now: u64) -> Answer {
        match self.chain_standing(id) {
            DependencyState::Cancelled(end) => Answer::of_end(end, now),
            DependencyState::Unread(ids) if ids.is_empty() => Answer::Reading,
            DependencyState::Unread(ids) => Answer::Ends(ids),
            _ if self.links.store_age(now) > MEMORY_MS => Answer::Reading,
            standing => Answer::Unfinished(JobPhase::Queued, 0, 0, waits_for(&standing)),
        }
    }

    /// What becomes of a submission whose job is not known here, at this time of day.
    pub fn admit(&self, spec: &JobSpec, at: u64) -> DependencyAdmission {
        let unknown: Vec<JobId> = spec
            .depends_on
            .iter()
            .filter(|id| !self.cache.is_known(id))
            .cloned()
            .collect();
        if !unknown.is_empty() {
            return DependencyAdmission::Unknown(unknown);
        }
        let (mut waits, mut cancelled) = (Vec::new(), false);
        for id in &spec.depends_on {
            match self.cache.job_end(id).map(|end| end.phase) {
                Some(JobPhase::Withdrawn) => cancelled = true,
                Some(_) => {}
                None => waits.push(id.clone()),
            }
        }
        let (before, _) = cancelled_before(&self.cache, &waits);
        if cancelled || before.is_some() {
            return DependencyAdmission::Accept(
                vec![create_cancelled_job(&spec.id)],
                JobPhase::Withdrawn,
            );
        }
        // Ends never change: what is done need not be awaited, but its end is still to be
        // confirmed by the store, unless nothing else is awaited.
        let record = JobRecord {
            spec: spec.clone(),
            submitted_at_ms: at,
            cancel_requested: false,
            dependency_count: 0,
        };
        let cas_list = if spec.depends_on.is_empty() {
            vec![create_job(&record)]
        } else {
            create_blocked_job(&record, self.config.txn_ops)
        };
        DependencyAdmission::Accept(cas_list, JobPhase::Queued)
    }

    /// The transaction by which a user cancels an unfinished job; `None`: it is being
    /// cancelled already, or not known here.
    pub fn cancellation(&self, id: &JobId) -> Option<CompareAndSwap> {
        if let Some(job) = self.cache.jobs.get(id) {
            return (!job.record.cancel_requested).then(|| request_cancellation(&job.record, job.version));
        }
        self.cache
            .blocked_jobs
            .get(id)
            .map(|waiting| cancel_blocked_job(id, waiting.version))
    }

    /// The priority that a job is placed with here, if this node places it.
    pub fn placed_rank(&self, id: &JobId) -> Option<Priority> {
        self.shards.values().find_map(|shard| shard.placer.rank(id))
    }

    /// Follows the changes of waiting jobs: the jobs whose priority has changed.
    pub(crate) fn relend(&mut self) -> Vec<JobId> {
        if self.chains.seen == self.cache.blocked_job_changes {
            return Vec::new();
        }
        self.chains.seen = self.cache.blocked_job_changes;
        let before = std::mem::replace(&mut self.chains.lent, lent_priorities(&self.cache));
        let lent = &self.chains.lent;
        let ids: BTreeSet<&JobId> = before
            .keys()
            .chain(lent.keys())
            .filter(|id| before.get(*id) != lent.get(*id))
            .collect();
        ids.into_iter()
            .filter(|id| self.cache.jobs.contains_key(*id))
            .cloned()
            .collect()
    }

    /// True if this node moves the waiting jobs of a team: it leads the team's shard, or
    /// nobody does and it is the first that lives.
    fn keeps_chains_of(&self, team: &str) -> bool {
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

    /// What is due for waiting jobs: ends to be read, and one transaction at a time.
    pub(crate) fn pump_chains(&mut self, now: u64, effects: &mut Vec<Effect>) {
        if self.cache.blocked_jobs.is_empty() && self.cache.orphaned_dependency_pages().next().is_none()
            || now < self.chains.not_before
        {
            return;
        }
        // Guards against a look at thousands of waiting jobs at every event.
        let changes = self.cache.dependency_changes();
        let looked = |(before, at): (u64, u64)| {
            now < at + CHAIN_LOOK_MS || before == changes && now < at + COPY_REFRESH_MS
        };
        if self.chains.pending.is_some() || self.chains.surveyed.is_some_and(looked) {
            return;
        }
        self.chains.surveyed = Some((changes, now));
        let kept: Vec<JobId> = self
            .cache
            .blocked_jobs
            .iter()
            .filter(|(_, w)| self.keeps_chains_of(&w.record.spec.team))
            .map(|(id, _)| id.clone())
            .collect();
        let with_cancelled = cancelled_with(&self.cache);
        let mut unread = BTreeSet::new();
        let mut ready = Vec::new();
        let mut cancelled = Vec::new();
        for id in kept {
            if with_cancelled.contains_key(&id) {
                cancelled.push(id);
                continue;
            }
            match direct_standing(&self.cache, &id) {
                DependencyState::Ready(done) => ready.push((id, done)),
                DependencyState::Cancelled(_) => cancelled.push(id),
                DependencyState::Unread(ids) => unread.extend(ids),
                DependencyState::Waits(_) => {}
            }
        }
        let wanted: Vec<JobId> = unread
            .into_iter()
            .filter(|id| !self.chains.reading.contains(id))
            .take(ENDS_READ_AT_ONCE)
            .collect();
        if !wanted.is_empty() {
            self.chains.reading.extend(wanted.iter().cloned());
            effects.push(Effect::ReadEnds(wanted));
        }
        if let Some((cas, pending)) = self.chain_txn(&ready, &cancelled) {
            self.chains.pending = Some(pending);
            effects.push(Effect::Chain(cas));
        }
    }

    /// One transaction for as many waiting jobs as it holds: those that may start go
    /// first.
    fn chain_txn(
        &self,
        ready: &[(JobId, Vec<(JobId, u64)>)],
        cancelled: &[JobId],
    ) -> Option<(CompareAndSwap, Pending)> {
        let most_writes = self.config.txn_ops;
        let most_conditions = CONDITIONS_A_CHANGE * most_writes;
        let (mut cas, mut pending) = (CompareAndSwap::default(), Pending::default());
        for (id, done) in ready {
            let Some(waiting) = self.cache.blocked_jobs.get(id) else {
                continue;
            };
            let unverified: Vec<(JobId, u64)> = done
                .iter()
                .filter(|(id, _)| !self.chains.verified.contains(id))
                .cloned()
                .collect();
            if unverified.len() >= most_conditions {
                // More than one transaction holds: first some of them by themselves.
                if cas == CompareAndSwap::default() {
                    let some = &unverified[..most_conditions];
                    return Some((
                        check_ends_unchanged(some),
                        Pending {
                            verified: some.iter().map(|(id, _)| id.clone()).collect(),
                            ..pending
                        },
                    ));
                }
                break;
            }
            let next = unblock_job(&waiting.record, waiting.version, &unverified);
            if !join(&mut cas, next, most_writes, most_conditions) {
                break;
            }
            pending.released.push(id.clone());
        }
        for id in cancelled {
            let Some(waiting) = self.cache.blocked_jobs.get(id) else {
                continue;
            };
            if !join(
                &mut cas,
                cancel_blocked_job(id, waiting.version),
                most_writes,
                most_conditions,
            ) {
                break;
            }
            pending.cancelled.push(id.clone());
        }
        for (id, page) in self.cache.orphaned_dependency_pages() {
            let gone = CompareAndSwap {
                conditions: vec![Condition {
                    key: blocked_job_key(id),
                    version: 0,
                }],
                writes: vec![Write::Delete {
                    key: dependency_page_key(id, *page),
                }],
            };
            if self.cache.is_known(id) && !join(&mut cas, gone, most_writes, most_conditions) {
                break;
            }
        }
        (!cas.writes.is_empty()).then_some((cas, pending))
    }

    /// The transaction of [`Effect::Chain`] ended.
    pub fn chain_done(&mut self, outcome: CompareAndSwapOutcome, now: u64) {
        let Some(pending) = self.chains.pending.take() else {
            return;
        };
        self.chains.surveyed = None;
        let CompareAndSwapOutcome::Done(revision) = outcome else {
            // What it was made of has changed: a newer copy tells.
            self.chains.not_before = now + CHAIN_RETRY_MS;
            return;
        };
        for id in &pending.released {
            info!(job = %id, "all jobs that it awaits are done");
            self.cache.blocked_jobs.remove(id);
        }
        for id in &pending.cancelled {
            info!(job = %id, "cancelled with a job that it needs");
            self.cache.blocked_jobs.remove(id);
            self.cache.record_end(id, JobPhase::Withdrawn, revision, now);
        }
        self.chains.verified.extend(pending.verified);
        if self.cache.blocked_jobs.is_empty() {
            self.chains.verified.clear();
        }
    }

    /// The ends of [`Effect::ReadEnds`] were looked for; those found are settled.
    pub fn ends_read(&mut self, ids: &[JobId], now: u64) {
        for id in ids {
            self.chains.reading.remove(id);
            self.chains.surveyed = None;
            if !self.cache.is_known(id) {
                self.chains.not_before = now + CHAIN_RETRY_MS;
            }
        }
    }
}

fn own_host(config: &Config) -> &str {
    &config.members[usize::from(config.me)].host
}

/// Why a job waits, in plain words.
fn waits_for(standing: &DependencyState) -> String {
    let DependencyState::Waits(ids) = standing else {
        return "all jobs that it awaits are done; it is about to be placed".into();
    };
    let named: Vec<&str> = ids.iter().take(AWAITS_NAMED).map(JobId::as_str).collect();
    let more = ids.len().saturating_sub(named.len());
    let more = if more > 0 {
        format!(" and {more} more")
    } else {
        String::new()
    };
    format!("waits for {}{more}", named.join(", "))
}

/// Adds a transaction to another if both together stay within the limits, or the first
/// is empty.
fn join(
    cas: &mut CompareAndSwap,
    next: CompareAndSwap,
    most_writes: usize,
    most_conditions: usize,
) -> bool {
    let fits = cas.writes.len() + next.writes.len() <= most_writes
        && cas.conditions.len() + next.conditions.len() <= most_conditions;
    if !fits && !cas.writes.is_empty() {
        return false;
    }
    let mut known: BTreeMap<String, u64> = cas
        .conditions
        .iter()
        .map(|c| (c.key.clone(), c.version))
        .collect();
    for condition in next.conditions {
        if known
            .insert(condition.key.clone(), condition.version)
            .is_none()
        {
            cas.conditions.push(condition);
        }
    }
    cas.writes.extend(next.writes);
    true
}
