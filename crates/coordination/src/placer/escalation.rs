//! Automatic escalation for services whose recovery is overdue.
//!
//! Regular placement already preempts, requests instances of every allowed type and
//! zone, and avoids machines on which the service failed. Escalation adds what regular
//! placement does not do, and only once a recovery activity takes longer than expected:
//!
//! | overdue activity | escalation |
//! | --- | --- |
//! | starting | moves a stalled replica to a machine with its image cached and free resources |
//! | awaiting capacity | makes avoided machines eligible again; records pools without capacity |

use lemonweir_model::{JobId, JobSpec, MachineId};
use lemonweir_protocol::peer::AttemptState;
use tracing::info;

use super::Placer;
use super::accounting::{SlotRef, TentativeUse};
use super::requests::{allowed_zones, replica_request};
use super::supervision::MAX_START_STEP_MS;
use super::units::MAX_FETCH_TIME_FACTOR;
use crate::autoscaler::CapacityShortages;
use crate::image_locality::scoring::{ImageLocality, placement_classes};
use crate::job::LiveAttempt;
use crate::placement::{Candidate, CandidateWalk};
use crate::supervision::services::{EscalationStep, RecoveryActivity, RecoveryAttempt};

/// Services that one call escalates at most, so that hundreds of overdue services don't
/// delay heartbeats. At ten calls a second all of them are reached soon.
const MAX_SERVICES_PER_CALL: usize = 16;

/// A replica that has been starting for too long.
struct StalledReplica {
    task: u32,
    machine: MachineId,
    placed_at: u64,
}

impl Placer {
    /// Takes the escalation steps that apply to each service whose recovery is overdue.
    pub(crate) fn escalate(&mut self, shortage: &CapacityShortages, now: u64) {
        for id in self.services.overdue(now, MAX_SERVICES_PER_CALL) {
            let Some(activity) = self.services.get(&id).map(|s| s.observation.activity) else {
                continue;
            };
            let attempts = match activity {
                RecoveryActivity::Starting => self.relocate_stalled_replicas(&id, now),
                RecoveryActivity::AwaitingCapacity => self.widen_placement(&id, shortage, now),
                _ => Vec::new(),
            };
            for attempt in &attempts {
                info!(job_id = %id, shard = self.shard, action = attempt.description, "service recovery escalated");
            }
            self.services.record_escalation(&id, attempts, now);
        }
    }

    /// Stops replicas that have been starting for longer than their fetch should take, if
    /// another machine has the image cached. Their next attempts avoid the old machines.
    ///
    /// Guards against a replica that stays down on a slow or stuck machine while another
    /// machine could start it at once. Without such a machine, waiting for the rest of the
    /// fetch is the fastest option.
    fn relocate_stalled_replicas(&mut self, id: &JobId, now: u64) -> Vec<RecoveryAttempt> {
        let Some(record) = self.jobs.get(id).and_then(|job| job.record.clone()) else {
            return Vec::new();
        };
        let spec = &record.spec;
        let Some(need) = self.jobs.get(id).map(|job| job.need) else {
            return Vec::new();
        };
        let mut attempts = Vec::new();
        let mut reservations: Vec<TentativeUse> = Vec::new();
        for replica in self.stalled_replicas(id, spec, now) {
            let Some(place) = self.find_place_with_image(id, spec, &replica, now) else {
                continue;
            };
            let target = self.tentative_use(place);
            self.indexes[place.shard].reserve(place.slot, &need, &spec.image);
            let StalledReplica {
                task,
                machine,
                placed_at,
            } = replica;
            let after_s = now.saturating_sub(placed_at) / 1_000;
            attempts.push(RecoveryAttempt {
                step: EscalationStep::MoveReplica,
                at_ms: now,
                description: format!(
                    "replica {task} left {machine}, not up after {after_s} s; {} has its image",
                    target.machine
                ),
            });
            reservations.push(target);
            if let Some(job) = self.jobs.get_mut(id) {
                if let Some(live) = job.live.get_mut(&task) {
                    live.stop_grace_s = Some(0);
                }
                job.avoid_machine(&machine);
            }
        }
        // The reservations only serve this search: a replica is placed once its old attempt
        // is proven to have ended.
        self.release_tentative(reservations);
        if !attempts.is_empty() {
            self.update_indexes(id, now);
        }
        attempts
    }

    fn stalled_replicas(&self, id: &JobId, spec: &JobSpec, now: u64) -> Vec<StalledReplica> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let fetch_ms = self.max_fetch_ms(spec);
        let is_starting = |live: &LiveAttempt| {
            live.stop_grace_s.is_none()
                && live.placed_at > 0
                && matches!(
                    live.state,
                    Some(AttemptState::Accepted | AttemptState::Preparing)
                )
        };
        let is_late = |live: &LiveAttempt| {
            // Concurrent fetches on the machine share its fetch rate.
            let fetches = self
                .indexes
                .get(usize::from(live.shard))
                .and_then(|index| {
                    index
                        .position(&live.machine)
                        .map(|slot| index.slots[slot].fetch_count)
                })
                .unwrap_or(0);
            now >= live.placed_at + fetch_ms * u64::from(fetches.max(1)) + MAX_START_STEP_MS
        };
        job.live
            .iter()
            .filter(|(_, live)| is_starting(live) && is_late(live))
            .map(|(&task, live)| StalledReplica {
                task,
                machine: live.machine.clone(),
                placed_at: live.placed_at,
            })
            .collect()
    }

    /// Finds another machine that has a stalled replica's image cached.
    fn find_place_with_image(
        &self,
        id: &JobId,
        spec: &JobSpec,
        replica: &StalledReplica,
        now: u64,
    ) -> Option<SlotRef> {
        let job = self.jobs.get(id)?;
        let attempts_per_zone = job.attempts_per_zone(Some(replica.task));
        let required_zone = job
            .live
            .get(&replica.task)
            .map(|live| live.zone.as_str())
            .filter(|_| spec.same_zone);
        let mut avoid = job.avoided_machines.clone();
        avoid.push(replica.machine.clone());
        let zones = allowed_zones(
            spec,
            required_zone,
            &attempts_per_zone,
            job.tasks,
            &self.indexes,
        );
        let request = replica_request(spec, zones, &avoid);
        let order = self.shard_search_order();
        let scoring = self.scoring_inputs(id, Some(replica.task), &request, &order, now);
        let mut cached = placement_classes(&self.placement_weights, &scoring.risk);
        cached.retain(|class| class.image_locality == ImageLocality::Cached);
        CandidateWalk::new(&self.indexes, &order, &request, &scoring.placed_replicas)
            .find(&cached)
            .map(|Candidate { shard, slot, .. }| SlotRef { shard, slot })
    }

    /// Makes the machines that a service avoids eligible again, after it found no free
    /// resources for longer than a new instance takes to boot, and records which pools have
    /// no capacity.
    ///
    /// Guards against a service that waits although machines have free resources which it
    /// avoids only because it failed there once or was moved away.
    fn widen_placement(
        &mut self,
        id: &JobId,
        shortage: &CapacityShortages,
        now: u64,
    ) -> Vec<RecoveryAttempt> {
        let Some(service) = self.services.get(id) else {
            return Vec::new();
        };
        let has_tried = |step| service.attempts.iter().any(|attempt| attempt.step == step);
        let (exclusions_lifted, instances_requested) = (
            has_tried(EscalationStep::LiftExclusions),
            has_tried(EscalationStep::RequestInstances),
        );
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.suspect.is_none()) else {
            return Vec::new();
        };
        let mut attempts = Vec::new();
        if !job.avoided_machines.is_empty() && !exclusions_lifted {
            let machines = job.avoided_machines.len();
            job.avoided_machines.clear();
            self.placement_due = true;
            attempts.push(RecoveryAttempt {
                step: EscalationStep::LiftExclusions,
                at_ms: now,
                description: format!("{machines} machines that it avoided may take it again"),
            });
        }
        if !instances_requested {
            attempts.push(RecoveryAttempt {
                step: EscalationStep::RequestInstances,
                at_ms: now,
                description: format!("machines are asked for; {}", shortage_note(shortage, now)),
            });
        }
        attempts
    }

    /// ms that fetching a job's image takes at most on the machine type with the highest fetch
    /// rate.
    pub(super) fn max_fetch_ms(&self, spec: &JobSpec) -> u64 {
        (spec.image_gb * MAX_FETCH_TIME_FACTOR * 1_000.0
            / self.fetch_gb_per_s.max(f64::MIN_POSITIVE)) as u64
    }
}

fn shortage_note(shortage: &CapacityShortages, now: u64) -> String {
    let unavailable = shortage.describe(now);
    if unavailable.is_empty() {
        "none has come up in time".to_owned()
    } else {
        format!("the cloud has none of {}", unavailable.join(", "))
    }
}
