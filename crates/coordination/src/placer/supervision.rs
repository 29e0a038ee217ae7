//! Observation of this placer's services for their supervision.

use std::collections::BTreeMap;

use lemonweir_model::JobId;
use lemonweir_model::constants::PREEMPTION_TIMEOUT_MS;
use lemonweir_protocol::peer::{AttemptState, MachineView};

use super::units::{REASON_AT_LIMIT, REASON_NO_ROOM};
use super::{Placer, ReplicaEvent};
use crate::job::Job;
use crate::supervision::failover::{Failover, StartedBy};
use crate::supervision::services::{RecoveryActivity, ServiceObservation};

/// ms that each step of a start takes at most in normal operation: waiting in the queue, the
/// write to the store, the command to the worker.
pub(super) const MAX_START_STEP_MS: u64 = 10_000;

/// Counts and states of a service's replicas.
#[derive(Default)]
struct ReplicaCounts {
    running: u32,
    /// Some were placed by an earlier leader, and their owner has not published their state.
    has_unconfirmed: bool,
    /// The start of some is not written yet.
    has_unwritten: bool,
    has_stopping: bool,
    /// When the last attempt in a partitioned zone is proven to have ended, ms.
    partitioned_until: Option<u64>,
}

impl Placer {
    /// Passes replica events to the failover record, and observes the services that changed.
    pub(crate) fn observe_services(&mut self, failover: &mut Failover, now: u64) {
        for event in std::mem::take(&mut self.replica_events) {
            match event {
                ReplicaEvent::Running {
                    job,
                    task,
                    placed_here,
                } => {
                    let class = self
                        .jobs
                        .get(&job)
                        .filter(|job| job.is_service())
                        .and_then(Job::spec)
                        .map(|spec| spec.class.as_str());
                    let started_by = if placed_here {
                        StartedBy::ThisLeader
                    } else {
                        StartedBy::PreviousLeader
                    };
                    failover.task_running(&job, task, class, started_by, now);
                }
                ReplicaEvent::Lost { job, task } => failover.replica_lost(&job, task, now),
            }
        }
        for id in self.services.take_changed() {
            let job = self.jobs.get(&id);
            let observation = job.and_then(|job| self.observe_service(job, now));
            let is_suspect = job.is_some_and(|job| job.suspect.is_some());
            if is_suspect || observation.as_ref().is_none_or(|s| s.running >= s.desired) {
                failover.service_recovered(&id, now);
            }
            self.services.observe(&id, observation, now);
        }
    }

    /// Observes a service; `None`: the job is no service, or is ending.
    fn observe_service(&self, job: &Job, now: u64) -> Option<ServiceObservation> {
        job.spec()
            .filter(|_| job.is_service() && !job.is_stopping())?;
        let replicas = self.count_replicas(job);
        let (recovery, within_ms) = self.recovery_activity(job, &replicas, now);
        Some(ServiceObservation {
            desired: job.tasks,
            running: replicas.running,
            activity: recovery,
            expected_within_ms: within_ms,
        })
    }

    fn count_replicas(&self, job: &Job) -> ReplicaCounts {
        let mut counts = ReplicaCounts::default();
        for (&task, live) in &job.live {
            if let Some(partition) = self
                .partitions
                .get(usize::from(live.shard))
                .and_then(|zones| zones.get(&live.zone))
            {
                counts.partitioned_until = counts
                    .partitioned_until
                    .max(Some(partition.attempts_end_at));
            }
            match (live.stop_grace_s, live.state) {
                (Some(_), _) => counts.has_stopping = true,
                (None, Some(AttemptState::Running)) => counts.running += 1,
                (None, None) if live.placed_at == 0 => counts.has_unconfirmed = true,
                (None, None) => counts.has_unwritten |= !job.is_recorded(task, live),
                (None, Some(_)) => {}
            }
        }
        counts
    }

    /// What is being done about a service's missing replicas, and the ms that it should take
    /// at most; `None`: no limit is known.
    fn recovery_activity(
        &self,
        job: &Job,
        replicas: &ReplicaCounts,
        now: u64,
    ) -> (RecoveryActivity, Option<u64>) {
        let fetch_ms = job.spec().map_or(0, |spec| self.max_fetch_ms(spec));
        if replicas.running >= job.tasks {
            (RecoveryActivity::FullyReplicated, None)
        } else if job.waiting_count() > 0 {
            match job.pending_reason {
                _ if job.suspect.is_some()
                    || job.consecutive_failures > 1 && job.backoff_until > now =>
                {
                    (RecoveryActivity::BackingOff, None)
                }
                REASON_NO_ROOM => (
                    RecoveryActivity::AwaitingCapacity,
                    Some(self.boot_time_ms + self.boot_time_ms / 2 + fetch_ms + MAX_START_STEP_MS),
                ),
                REASON_AT_LIMIT => (RecoveryActivity::AtQuotaLimit, None),
                _ => (RecoveryActivity::Queued, Some(MAX_START_STEP_MS)),
            }
        } else if let Some(until) = replicas.partitioned_until {
            (
                RecoveryActivity::ZonePartitioned,
                Some(until.saturating_sub(now)),
            )
        } else if replicas.has_unconfirmed {
            (RecoveryActivity::AwaitingHeartbeats, None)
        } else if replicas.has_unwritten {
            (RecoveryActivity::RecordingStart, Some(MAX_START_STEP_MS))
        } else if replicas.has_stopping {
            (
                RecoveryActivity::StoppingOthers,
                Some(PREEMPTION_TIMEOUT_MS + MAX_START_STEP_MS),
            )
        } else {
            (
                RecoveryActivity::Starting,
                Some(fetch_ms + MAX_START_STEP_MS),
            )
        }
    }

    /// Running replicas of a service by zone.
    pub(crate) fn running_replicas_by_zone(&self, id: &JobId) -> Vec<(String, u32)> {
        let mut zones: BTreeMap<&String, u32> = BTreeMap::new();
        let replicas = self
            .jobs
            .get(id)
            .into_iter()
            .flat_map(|job| job.live.values());
        for live in replicas
            .filter(|live| live.stop_grace_s.is_none() && live.state == Some(AttemptState::Running))
        {
            *zones.entry(&live.zone).or_default() += 1;
        }
        zones
            .into_iter()
            .map(|(zone, replicas)| (zone.clone(), replicas))
            .collect()
    }

    /// Replicas, other tasks and registered machines of a shard as its owner published them;
    /// `None`: it has published no machine.
    pub(crate) fn running_counts(&self, shard: u16) -> Option<(u32, u32, u32)> {
        let index = self.indexes.get(usize::from(shard))?;
        index.machines().next()?;
        let add = |(replicas, others, machines), machine: &MachineView| {
            let here = u32::from(machine.service_task_count);
            (
                replicas + here,
                others + u32::from(machine.task_count).saturating_sub(here),
                machines + 1,
            )
        };
        Some(
            index
                .machines()
                .filter(|machine| machine.registered)
                .fold((0, 0, 0), add),
        )
    }
}
