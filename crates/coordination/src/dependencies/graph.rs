//! Traversals of the dependency graph in the state cache.

use std::collections::{BTreeSet, HashMap};

use super::DependencyState;
use lemonweir_model::{JobId, Priority};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::state_cache::CachedJobEnd;

/// State of a blocked job, derived from its direct and transitive dependencies.
pub(super) fn dependency_state(cache: &StateCache, id: &JobId) -> DependencyState {
    let (waiting, mut unread) = match direct_state(cache, id) {
        DependencyState::Waiting(waiting) => (waiting, Vec::new()),
        // A transitive dependency may still show that the job is cancelled.
        DependencyState::Unread(unread) => (cache.dependencies(id).unwrap_or_default(), unread),
        decided @ (DependencyState::Ready(_) | DependencyState::Cancelled(_)) => return decided,
    };
    let search = search_dependencies(cache, &waiting);
    unread.extend(search.unread);
    match search.cancelled {
        Some(state) => DependencyState::Cancelled(state),
        None if !unread.is_empty() => DependencyState::Unread(unread),
        None => DependencyState::Waiting(waiting),
    }
}

/// State of a blocked job, derived from its direct dependencies only.
pub(super) fn direct_state(cache: &StateCache, id: &JobId) -> DependencyState {
    let Some(dependencies) = cache.dependencies(id) else {
        return DependencyState::Unread(Vec::new());
    };
    let (mut done, mut waiting, mut unread) = (Vec::new(), Vec::new(), Vec::new());
    for dependency in &dependencies {
        match cache.job_end(dependency) {
            Some(state) if state.phase == JobPhase::Done => {
                done.push((dependency.clone(), state.version));
            }
            Some(state) => return DependencyState::Cancelled(state),
            None if is_unfinished(cache, dependency) => waiting.push(dependency.clone()),
            None => unread.push(dependency.clone()),
        }
    }
    match (unread.is_empty(), waiting.is_empty()) {
        (false, _) => DependencyState::Unread(unread),
        (true, false) => DependencyState::Waiting(waiting),
        (true, true) => DependencyState::Ready(done),
    }
}

fn is_unfinished(cache: &StateCache, id: &JobId) -> bool {
    cache.jobs.contains_key(id) || cache.blocked_jobs.contains_key(id)
}

/// Blocked jobs that depend on a cancelled job, directly or transitively, each with the final
/// state that cancels it. One traversal visits each job once.
pub(super) fn cancelled_jobs(cache: &StateCache) -> HashMap<JobId, CachedJobEnd> {
    let mut dependents: HashMap<JobId, Vec<&JobId>> = HashMap::new();
    let mut queue: Vec<(&JobId, CachedJobEnd)> = Vec::new();
    for id in cache.blocked_jobs.keys() {
        for dependency in cache.dependencies(id).unwrap_or_default() {
            match cache.job_end(&dependency) {
                Some(state) if state.phase == JobPhase::Withdrawn => queue.push((id, state)),
                Some(_) => {}
                None => dependents.entry(dependency).or_default().push(id),
            }
        }
    }
    let mut cancelled: HashMap<JobId, CachedJobEnd> = HashMap::new();
    while let Some((id, state)) = queue.pop() {
        if cancelled.insert(id.clone(), state).is_none() {
            let next = dependents.get(id).into_iter().flatten();
            queue.extend(next.map(|dependent| (*dependent, state)));
        }
    }
    cancelled
}

/// Result of a search through the transitive dependencies of some jobs.
pub(super) struct DependencySearch {
    /// The final state of a cancelled job among them.
    pub(super) cancelled: Option<CachedJobEnd>,
    /// Jobs that are not in the cache.
    pub(super) unread: Vec<JobId>,
}

/// Searches the transitive dependencies of `jobs` for a cancelled job, and for jobs that are
/// not in the cache. Each job is visited once, however many depend on it.
pub(super) fn search_dependencies(cache: &StateCache, jobs: &[JobId]) -> DependencySearch {
    let mut unread = Vec::new();
    let mut seen: BTreeSet<JobId> = jobs.iter().cloned().collect();
    let mut queue: Vec<JobId> = jobs.to_vec();
    while let Some(id) = queue.pop() {
        if !cache.blocked_jobs.contains_key(&id) {
            continue;
        }
        for dependency in cache.dependencies(&id).unwrap_or_default() {
            match cache.job_end(&dependency) {
                Some(state) if state.phase == JobPhase::Withdrawn => {
                    let cancelled = Some(state);
                    return DependencySearch { cancelled, unread };
                }
                Some(_) => {}
                None if cache.jobs.contains_key(&dependency) => {}
                None if cache.blocked_jobs.contains_key(&dependency) => {
                    if seen.insert(dependency.clone()) {
                        queue.push(dependency);
                    }
                }
                None => unread.push(dependency),
            }
        }
    }
    DependencySearch {
        cancelled: None,
        unread,
    }
}

/// For each job that blocked jobs depend on, directly or transitively, the highest priority
/// among these blocked jobs.
pub(super) fn inherited_priorities(cache: &StateCache) -> HashMap<JobId, Priority> {
    let mut inherited: HashMap<JobId, Priority> = HashMap::new();
    let mut queue: Vec<JobId> = cache.blocked_jobs.keys().cloned().collect();
    while let Some(id) = queue.pop() {
        let Some(blocked) = cache.blocked_jobs.get(&id) else {
            continue;
        };
        let own = blocked.record.spec.priority;
        let priority = inherited.get(&id).map_or(own, |higher| own.min(*higher));
        for dependency in cache.dependencies(&id).unwrap_or_default() {
            if inherited
                .get(&dependency)
                .is_none_or(|before| priority < *before)
            {
                inherited.insert(dependency.clone(), priority);
                queue.push(dependency);
            }
        }
    }
    inherited
}
