//! For each service: what is promised, what is up, since when less, and what is
//! being done about it.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;
use lemonweir_model::constants::{LADDER_AGAIN_MS, TRIES_KEPT};

/// What is being done about replicas that are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryActivity {
    /// None is missing.
    Nothing,
    /// They wait for their turn to be placed.
    Queued,
    /// No machine has room for them; machines are asked for, and room is made.
    Resources,
    /// Their team uses all that it may.
    Limit,
    /// Their starts wait to be written.
    Writing,
    /// They are on their way up: ordered, or fetching their image.
    Starting,
    /// What is to make way, or to move, is being stopped.
    Stopping,
    /// They were up before the part changed hands; their machines have not been
    /// heard since.
    Unheard,
    /// They are in a zone out of sight.
    OutOfSight,
    /// They failed; the next try comes after a pause.
    Pausing,
}

/// Another way that was tried since replicas are missing, each once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionStep {
    /// A replica that did not come up leaves its machine for another.
    Elsewhere,
    /// Machines that the service avoided are taken again.
    Avoided,
    /// What the cloud was asked for, and what it had.
    Rented,
}

/// A try of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryAttempt {
    /// Which way.
    pub rung: PreemptionStep,
    /// When, ms.
    pub at: u64,
    /// What was done, and why.
    pub what: String,
}

/// How a service stands at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceObservation {
    /// Replicas promised.
    pub promised: u32,
    /// Replicas up.
    pub up: u32,
    /// What is being done about the others.
    pub doing: RecoveryActivity,
    /// ms that this may take before it counts as failed; none: no telling.
    pub within: Option<u64>,
}

/// A service under watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupervisedService {
    /// How it stands.
    pub seen: ServiceObservation,
    /// Since when replicas are missing, ms.
    pub short_since: Option<u64>,
    /// Since when more than half are missing, ms.
    pub below_half_since: Option<u64>,
    /// Since when that is being done, and when it should have worked, ms.
    pub doing_since: u64,
    /// See [`Self::doing_since`]; none: no telling.
    pub by: Option<u64>,
    /// When another way is looked for next, once it is late, ms.
    look_at: Option<u64>,
    /// What was tried beyond the usual way since replicas are missing.
    pub tries: Vec<RecoveryAttempt>,
}

/// All services of one placer's teams.
#[derive(Debug, Default)]
pub struct SupervisedServices {
    all: BTreeMap<JobId, SupervisedService>,
    /// Those that are short, by when another way is looked for.
    due: BTreeSet<(u64, JobId)>,
    short: BTreeSet<JobId>,
    /// Those that something happened to.
    touched: BTreeSet<JobId>,
}

impl SupervisedServices {
    /// Something happened to a job: it is to be looked at.
    pub fn touch(&mut self, id: &JobId) {
        self.touched.insert(id.clone());
    }

    /// Those that something happened to since the last call.
    pub fn take_touched(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.touched)
    }

    /// True for a service that is watched.
    pub fn has(&self, id: &JobId) -> bool {
        self.all.contains_key(id)
    }

    /// How a service stands now; `None`: it is over, or being withdrawn.
    pub fn set(&mut self, id: &JobId, seen: Option<ServiceObservation>, now: u64) {
        let before = self.all.remove(id);
        if let Some(before) = &before {
            self.short.remove(id);
            if let Some(at) = before.look_at {
                self.due.remove(&(at, id.clone()));
            }
        }
        let Some(seen) = seen else { return };
        let since = |is: bool, before: Option<u64>| is.then(|| before.unwrap_or(now));
        let whole = seen.up >= seen.promised;
        let mut service = SupervisedService {
            short_since: since(!whole, before.as_ref().and_then(|b| b.short_since)),
            below_half_since: since(
                2 * seen.up < seen.promised,
                before.as_ref().and_then(|b| b.below_half_since),
            ),
            doing_since: now,
            tries: before
                .as_ref()
                .filter(|_| !whole)
                .map(|b| b.tries.clone())
                .unwrap_or_default(),
            by: if whole {
                None
            } else {
                seen.within.map(|ms| now.saturating_add(ms))
            },
            look_at: None,
            seen,
        };
        service.look_at = service.by;
        // One more replica up shows that it works: the others get as long again.
        if let Some(before) = before.filter(|b| {
            b.seen.doing == service.seen.doing && b.seen.up >= service.seen.up && !whole
        }) {
            (service.doing_since, service.by, service.look_at) =
                (before.doing_since, before.by, before.look_at);
        }
        if !whole {
            self.short.insert(id.clone());
        }
        if let Some(at) = service.look_at {
            self.due.insert((at, id.clone()));
        }
        self.all.insert(id.clone(), service);
    }

    /// Another way was looked for, and what was found was tried; the next look
    /// comes after a while.
    pub fn looked(&mut self, id: &JobId, tries: Vec<RecoveryAttempt>, now: u64) {
        let Some(service) = self.all.get_mut(id) else {
            return;
        };
        if let Some(at) = service.look_at.replace(now + LADDER_AGAIN_MS) {
            self.due.remove(&(at, id.clone()));
        }
        self.due.insert((now + LADDER_AGAIN_MS, id.clone()));
        service.tries.extend(tries);
        let over = service.tries.len().saturating_sub(TRIES_KEPT);
        service.tries.drain(..over);
    }

    /// Some services for which what is done did not work in time and another way is
    /// to be looked for.
    pub fn late(&self, now: u64, most: usize) -> Vec<JobId> {
        self.due
            .iter()
            .take_while(|(at, _)| *at <= now)
            .take(most)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// A service, if it is watched.
    pub fn get(&self, id: &JobId) -> Option<&SupervisedService> {
        self.all.get(id)
    }

    /// Those that lack replicas.
    pub fn short(&self) -> &BTreeSet<JobId> {
        &self.short
    }
}
