//! For each service: how many replicas are desired, how many run, since when there are
//! fewer, and what is being done about it.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;

/// ms between two escalations for a service that is overdue: free resources come and go, as
/// the views of the shards are refreshed.
const ESCALATION_INTERVAL_MS: u64 = 2_000;
/// Attempts that are remembered of an under-replicated service.
pub const RECOVERY_ATTEMPTS_KEPT: usize = 8;

/// What is being done about missing replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryActivity {
    /// None is missing.
    FullyReplicated,
    /// They are queued for placement.
    Queued,
    /// No machine has free resources for them; instances are requested, and lower
    /// priorities are preempted.
    AwaitingCapacity,
    /// Their team is at its quota limit.
    AtQuotaLimit,
    /// Their starts are not recorded in the store yet.
    RecordingStart,
    /// They are starting: commanded, or fetching their image.
    Starting,
    /// What is preempted for them, or moved, is being stopped.
    StoppingOthers,
    /// They ran before the failover; their machines have sent the new leader no heartbeat
    /// yet.
    AwaitingHeartbeats,
    /// They are in a partitioned zone.
    ZonePartitioned,
    /// They failed; the next start comes after a backoff.
    BackingOff,
}

/// What is tried beyond the usual recovery of an under-replicated service, each step once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EscalationStep {
    /// A replica that did not start in time is moved to another machine.
    MoveReplica,
    /// Machines that the service avoided become eligible again.
    LiftExclusions,
    /// Which instances were requested, and which had no capacity, is noted.
    RequestInstances,
}

/// An escalation step that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryAttempt {
    /// Which step.
    pub step: EscalationStep,
    /// When, ms.
    pub at_ms: u64,
    /// What was done and why, as operators are shown it.
    pub description: String,
}

/// The state of a service at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceObservation {
    /// Desired replicas.
    pub desired: u32,
    /// Running replicas.
    pub running: u32,
    /// What is being done about the others.
    pub activity: RecoveryActivity,
    /// ms that this may take before the service is overdue; `None`: not known.
    pub expected_within_ms: Option<u64>,
}

impl ServiceObservation {
    fn is_fully_replicated(&self) -> bool {
        self.running >= self.desired
    }

    fn is_below_half(&self) -> bool {
        2 * self.running < self.desired
    }
}

/// A service under supervision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupervisedService {
    /// Its newest state.
    pub observation: ServiceObservation,
    /// Since when replicas are missing, ms.
    pub under_replicated_since: Option<u64>,
    /// Since when more than half are missing, ms.
    pub below_half_since: Option<u64>,
    /// Since when the activity goes on without a loss, ms.
    pub activity_since: u64,
    /// When the activity should have worked, ms; `None`: not known.
    pub due_at: Option<u64>,
    /// When the next escalation is due, ms.
    escalation_at: Option<u64>,
    /// Escalation steps that were taken since replicas are missing, the oldest first.
    pub attempts: Vec<RecoveryAttempt>,
}

impl SupervisedService {
    /// The service with its new observation. What its state before knew is kept as long as
    /// it still holds.
    fn updated(
        previous: Option<SupervisedService>,
        observation: ServiceObservation,
        now: u64,
    ) -> Self {
        let fully_replicated = observation.is_fully_replicated();
        let since = |holds: bool, previous: Option<u64>| holds.then(|| previous.unwrap_or(now));
        let due_at = observation
            .expected_within_ms
            .filter(|_| !fully_replicated)
            .map(|ms| now.saturating_add(ms));
        let mut service = Self {
            under_replicated_since: since(
                !fully_replicated,
                previous.as_ref().and_then(|p| p.under_replicated_since),
            ),
            below_half_since: since(
                observation.is_below_half(),
                previous.as_ref().and_then(|p| p.below_half_since),
            ),
            activity_since: now,
            due_at,
            escalation_at: due_at,
            attempts: Vec::new(),
            observation,
        };
        let Some(previous) = previous.filter(|_| !fully_replicated) else {
            return service;
        };
        // One more replica running shows that the activity works: the others get as long
        // again.
        if previous.observation.activity == service.observation.activity
            && previous.observation.running >= service.observation.running
        {
            service.activity_since = previous.activity_since;
            service.due_at = previous.due_at;
            service.escalation_at = previous.escalation_at;
        }
        service.attempts = previous.attempts;
        service
    }
}

/// All services of one placer's teams.
#[derive(Debug, Default)]
pub struct SupervisedServices {
    services: BTreeMap<JobId, SupervisedService>,
    /// Under-replicated services by when their next escalation is due.
    escalations: BTreeSet<(u64, JobId)>,
    under_replicated: BTreeSet<JobId>,
    /// Services that something happened to.
    changed: BTreeSet<JobId>,
}

impl SupervisedServices {
    /// Something happened to a job: it is to be observed again.
    pub fn mark_changed(&mut self, id: &JobId) {
        self.changed.insert(id.clone());
    }

    /// The jobs that something happened to since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// True for a service under supervision.
    pub fn contains(&self, id: &JobId) -> bool {
        self.services.contains_key(id)
    }

    /// Applies the newest state of a service; `None`: it is over, or being cancelled.
    pub fn observe(&mut self, id: &JobId, observation: Option<ServiceObservation>, now: u64) {
        let previous = self.remove(id);
        let Some(observation) = observation else {
            return;
        };
        let service = SupervisedService::updated(previous, observation, now);
        if !service.observation.is_fully_replicated() {
            self.under_replicated.insert(id.clone());
        }
        if let Some(at) = service.escalation_at {
            self.escalations.insert((at, id.clone()));
        }
        self.services.insert(id.clone(), service);
    }

    fn remove(&mut self, id: &JobId) -> Option<SupervisedService> {
        let service = self.services.remove(id)?;
        self.under_replicated.remove(id);
        if let Some(at) = service.escalation_at {
            self.escalations.remove(&(at, id.clone()));
        }
        Some(service)
    }

    /// Records the steps of an escalation, which may be none; the next comes after
    /// `ESCALATION_INTERVAL_MS`.
    pub fn record_escalation(&mut self, id: &JobId, attempts: Vec<RecoveryAttempt>, now: u64) {
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        let next_at = now + ESCALATION_INTERVAL_MS;
        if let Some(at) = service.escalation_at.replace(next_at) {
            self.escalations.remove(&(at, id.clone()));
        }
        self.escalations.insert((next_at, id.clone()));
        service.attempts.extend(attempts);
        let excess = service
            .attempts
            .len()
            .saturating_sub(RECOVERY_ATTEMPTS_KEPT);
        service.attempts.drain(..excess);
    }

    /// At most `limit` services whose activity did not work in time, and whose escalation
    /// is due.
    pub fn overdue(&self, now: u64, limit: usize) -> Vec<JobId> {
        self.escalations
            .iter()
            .take_while(|(at, _)| *at <= now)
            .take(limit)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// A service, if it is under supervision.
    pub fn get(&self, id: &JobId) -> Option<&SupervisedService> {
        self.services.get(id)
    }

    /// Services with missing replicas.
    pub fn under_replicated(&self) -> &BTreeSet<JobId> {
        &self.under_replicated
    }
}
