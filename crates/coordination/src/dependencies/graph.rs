//! Walks over the graph of dependencies, as the cache has it.

use std::collections::{BTreeSet, HashMap};

use super::DependencyState;
use lemonweir_model::{JobId, Priority};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::state_cache::FinalState;

/// The state of a waiting job by all that it depends on, directly or through others.
pub(super) fn dependency_state(cache: &StateCache, id: &JobId) -> DependencyState {
    let (waiting, mut unread) = match direct_state(cache, id) {
        DependencyState::Waiting(waiting) => (waiting, Vec::new()),
        // What the others depend on may still show that it is cancelled.
        DependencyState::Unread(unread) => (cache.dependencies(id).unwrap_or_default(), unread),
        decided @ (DependencyState::Ready(_) | DependencyState::Cancelled(_)) => return decided,
    };
    let before = search_before(cache, &waiting);
    unread.extend(before.unread);
    match before.cancelled {
        Some(state) => DependencyState::Cancelled(state),
        None if !unread.is_empty() => DependencyState::Unread(unread),
        None => DependencyState::Waiting(waiting),
    }
}

/// The same by the direct dependencies alone.
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

/// Waiting jobs that depend on a cancelled one, each with the final state that cancels it.
/// Each job is looked at once for all of them together.
pub(super) fn cancelled_jobs(cache: &StateCache) -> HashMap<JobId, FinalState> {
    let mut dependents: HashMap<JobId, Vec<&JobId>> = HashMap::new();
    let mut queue: Vec<(&JobId, FinalState)> = Vec::new();
    for id in cache.blocked_jobs.keys() {
        for dependency in cache.dependencies(id).unwrap_or_default() {
            match cache.job_end(&dependency) {
                Some(state) if state.phase == JobPhase::Withdrawn => queue.push((id, state)),
                Some(_) => {}
                None => dependents.entry(dependency).or_default().push(id),
            }
        }
    }
    let mut cancelled: HashMap<JobId, FinalState> = HashMap::new();
    while let Some((id, state)) = queue.pop() {
        if cancelled.insert(id.clone(), state).is_none() {
            let next = dependents.get(id).into_iter().flatten();
            queue.extend(next.map(|dependent| (*dependent, state)));
        }
    }
    cancelled
}

/// What a search through all dependencies of some jobs found.
pub(super) struct Search {
    /// The final state of a cancelled job among them.
    pub(super) cancelled: Option<FinalState>,
    /// Jobs of which nothing is known.
    pub(super) unread: Vec<JobId>,
}

/// Searches for a cancelled job somewhere before these, and for the jobs there of which
/// nothing is known. Each job is looked at once, however many depend on it.
pub(super) fn search_before(cache: &StateCache, jobs: &[JobId]) -> Search {
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
                    return Search { cancelled, unread };
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
    Search {
        cancelled: None,
        unread,
    }
}

/// The highest priority of the jobs that depend on each job, directly or through others.
pub(super) fn inherited_priorities(cache: &StateCache) -> HashMap<JobId, Priority> {
    let mut inherited: HashMap<JobId, Priority> = HashMap::new();
    let mut queue: Vec<JobId> = cache.blocked_jobs.keys().cloned().collect();
    while let Some(id) = queue.pop() {
        let Some(waiting) = cache.blocked_jobs.get(&id) else {
            continue;
        };
        let own = waiting.record.spec.priority;
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
