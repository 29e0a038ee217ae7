//! State of each supervised service: desired and running replicas, since when replicas are
//! missing, and the recovery activity.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;

/// Interval between two escalations for an overdue service, ms: free resources change whenever
/// the views of the shards are refreshed.
const ESCALATION_INTERVAL_MS: u64 = 2_000;
/// Recovery attempts kept per under-replicated service.
pub const RECOVERY_ATTEMPTS_KEPT: usize = 8;

/// Recovery activity for missing replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryActivity {
    /// No replica is missing.
    FullyReplicated,
    /// The missing replicas are queued for placement.
    Queued,
    /// No machine has free resources for them; instances are requested, and lower
    /// priorities are preempted.
    AwaitingCapacity,
    /// Their team is at its quota limit.
    AtQuotaLimit,
    /// Their starts are not recorded in the store yet.
    RecordingStart,
    /// They are starting: commanded to launch, or fetching their image.
    Starting,
    /// Attempts that are preempted for them, or moved, are being stopped.
    StoppingOthers,
    /// They ran before the failover; their machines have sent the new leader no heartbeat
    /// yet.
    AwaitingHeartbeats,
    /// They are in a partitioned zone.
    ZonePartitioned,
    /// They failed; the next start comes after a backoff.
    BackingOff,
}

/// Measure beyond the usual recovery of an under-replicated service. [`Self::MoveReplica`] may
/// be repeated; the others are not taken again while [`SupervisedService::attempts`] lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EscalationStep {
    /// A replica that did not start in time is moved to another machine.
    MoveReplica,
    /// Machines excluded for the service become eligible again.
    LiftExclusions,
    /// The pools without capacity are recorded; usual recovery already requests instances.
    RequestInstances,
}

/// An escalation step that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveryAttempt {
    /// Kind of measure taken.
    pub step: EscalationStep,
    /// When it was taken, ms.
    pub at_ms: u64,
    /// What was done and why, as shown to operators.
    pub description: String,
}

/// State of a service at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceObservation {
    /// Desired replicas.
    pub desired: u32,
    /// Running replicas.
    pub running: u32,
    /// Recovery activity for the missing replicas.
    pub activity: RecoveryActivity,
    /// Time that the activity may take before the service is overdue, ms; `None`: not known.
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
    /// The newest observation.
    pub observation: ServiceObservation,
    /// Since when replicas are missing, ms; `None`: none is.
    pub under_replicated_since: Option<u64>,
    /// Since when more than half of the replicas are missing, ms; `None`: at most half are.
    pub below_half_since: Option<u64>,
    /// Since when the activity has continued without progress, ms. A change of activity or another
    /// running replica restarts it.
    pub activity_since: u64,
    /// Deadline of the activity, ms; `None`: not known.
    pub due_at: Option<u64>,
    /// When the next escalation is due, ms; `None` as long as no deadline is known.
    escalation_at: Option<u64>,
    /// Escalation steps taken since replicas have been missing, oldest first; the last
    /// [`RECOVERY_ATTEMPTS_KEPT`].
    pub attempts: Vec<RecoveryAttempt>,
}

impl SupervisedService {
    /// Returns the service with a new observation. Times and attempts of its previous state are
    /// kept as long as they still apply.
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
        // Another running replica is progress, which restarts the time allowed for the others.
        // Otherwise the same activity keeps its deadline.
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

/// Supervised services of one placer's teams.
#[derive(Debug, Default)]
pub struct SupervisedServices {
    services: BTreeMap<JobId, SupervisedService>,
    /// Under-replicated services by when their next escalation is due.
    escalations: BTreeSet<(u64, JobId)>,
    under_replicated: BTreeSet<JobId>,
    /// Jobs to observe again because they changed.
    changed: BTreeSet<JobId>,
}

impl SupervisedServices {
    /// Marks a changed job, which is to be observed again.
    pub fn mark_changed(&mut self, id: &JobId) {
        self.changed.insert(id.clone());
    }

    /// Returns the jobs marked as changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns true if the job is a service under supervision.
    pub fn contains(&self, id: &JobId) -> bool {
        self.services.contains_key(id)
    }

    /// Applies a new observation of a service; `None`: it has ended or is being cancelled.
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

    /// Records the steps of an escalation, possibly none, and schedules the next one after
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

    /// Returns at most `limit` services that are overdue and whose escalation is due.
    pub fn overdue(&self, now: u64, limit: usize) -> Vec<JobId> {
        self.escalations
            .iter()
            .take_while(|(at, _)| *at <= now)
            .take(limit)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// Returns a service if it is under supervision.
    pub fn get(&self, id: &JobId) -> Option<&SupervisedService> {
        self.services.get(id)
    }

    /// Returns the services with missing replicas.
    pub fn under_replicated(&self) -> &BTreeSet<JobId> {
        &self.under_replicated
    }
}
