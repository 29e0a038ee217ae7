//! Rebalancing of service replicas: consolidates them, so that machines can be released,
//! and relocates those whose colocation costs more than a move.

use std::collections::HashMap;
use std::ops::Bound;

use lemonweir_model::constants::SHARD_VIEW_REFRESH_MS;
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::peer::AttemptState;
use tracing::info;

use super::Placer;
use super::accounting::{SlotRef, TentativeUse};
use super::partitions::partition_of;
use super::requests::{all_zones, allowed_zones, replica_request};
use super::scoring::MAX_SPREAD_TASKS;
use crate::image_locality::scoring::{
    ImageLocality, PlacementClass, PlacementRisk, ZoneShare, placement_classes,
};
use crate::job::{Job, LiveAttempt};
use crate::placement::PlacementRequest;
use crate::placement::{Candidate, CandidateShard, CandidateWalk};

/// ms without a shortage of resources or a placement after which replicas are rebalanced.
const QUIET_PERIOD_MS: u64 = 20_000;
/// ms between two rebalancing moves: a moved replica is down for some tenths of a second,
/// and these must not add up in any half minute.
const MOVE_INTERVAL_MS: u64 = 8_000;
/// Fraction of a placer's replicas that may be moved at a time, if that is more than one
/// machine's. Each is down for some tenths of a second, so that less than a thousandth of
/// any half minute is lost.
const MAX_MOVED_SHARE: f64 = 0.07;
/// Machines considered for consolidation at a time: each of their replicas is tried on all
/// other machines.
const MAX_CANDIDATES: usize = 48;
/// ms that a replica must have been on its machine before it may be moved.
const MIN_STAY_MS: u64 = 60_000;
/// ms for which a replica is down when it moves to a machine with its image: a stop and a
/// start through the owners of the machines.
const MOVE_DOWNTIME_MS: u64 = 700;
/// Services considered for relocation at a time: each takes a search or two.
const MAX_SERVICES_PER_CALL: usize = 16;

/// A machine whose replicas might be moved to others.
struct ConsolidationCandidate {
    replicas: u32,
    machine: MachineId,
}

/// A better place for a replica of a service.
struct Relocation {
    task: u32,
    place: SlotRef,
    class: PlacementClass,
}

impl Placer {
    /// Moves all replicas of some machines to others in use, so that the emptied machines can
    /// be released, if nothing has lacked resources for a while. A moved replica is down for
    /// as long as a stop and a start take, so only few machines are emptied at a time. If
    /// none can be, relocates single replicas.
    ///
    /// Placers take turns by the time of day, so that no two of them count on the same free
    /// resources: a replica that then finds none waits for a fetch of its image.
    pub fn consolidate_replicas(&mut self, now: u64, time_of_day_ms: u64) {
        if !self.may_rebalance(now, time_of_day_ms) {
            return;
        }
        // If nothing moves, the next call that searches comes soon, but not at every event:
        // the search covers all jobs and machines.
        self.last_rebalance_at = (now + SHARD_VIEW_REFRESH_MS).saturating_sub(MOVE_INTERVAL_MS);
        if self.has_moving_replicas() {
            return;
        }
        let candidates = self.consolidation_candidates(now);
        let mut moves_left = self.max_moves();
        let mut emptied: Vec<MachineId> = Vec::new();
        let mut reservations: Vec<TentativeUse> = Vec::new();
        for ConsolidationCandidate { replicas, machine } in candidates {
            // At least one machine, however few replicas the limit allows.
            if !emptied.is_empty() && replicas > moves_left
                || reservations.iter().any(|used| used.machine == machine)
            {
                continue;
            }
            emptied.push(machine);
            if self.reserve_elsewhere(&emptied, &mut reservations, now) {
                moves_left = moves_left.saturating_sub(replicas);
            } else {
                emptied.pop();
            }
        }
        self.release_tentative(reservations);
        if emptied.is_empty() {
            self.relocate_replicas(moves_left, now);
        }
        for machine in emptied {
            self.last_rebalance_at = now;
            info!(machine = %machine, shard = self.shard, "consolidating replicas of a machine onto others");
            self.evict_replicas(&machine, now);
        }
    }

    /// True if it is this placer's turn, and nothing has lacked resources, been placed or
    /// moved recently.
    fn may_rebalance(&self, now: u64, time_of_day_ms: u64) -> bool {
        let turn = time_of_day_ms / MOVE_INTERVAL_MS % self.owner_channels.len() as u64;
        let is_first_half = time_of_day_ms % MOVE_INTERVAL_MS < MOVE_INTERVAL_MS / 2;
        turn == u64::from(self.shard)
            && is_first_half
            && now >= self.last_shortage_at.max(self.last_placement_at) + QUIET_PERIOD_MS
            && now >= self.last_rebalance_at + MOVE_INTERVAL_MS
    }

    fn has_moving_replicas(&self) -> bool {
        let is_moving = |live: &LiveAttempt| {
            live.stop_grace_s.is_some() || live.state != Some(AttemptState::Running)
        };
        self.jobs
            .values()
            .filter(|job| job.is_service() && !job.is_stopping())
            .any(|job| job.live.values().any(is_moving))
    }

    /// Machines with only replicas that may be moved, fewest replicas first. Those with the
    /// most replicas are cut off: these are the least likely to fit elsewhere.
    fn consolidation_candidates(&self, now: u64) -> Vec<ConsolidationCandidate> {
        let mut candidates: Vec<ConsolidationCandidate> = Vec::new();
        for slot in self.indexes.iter().flat_map(|index| &index.slots) {
            let Some(tasks) = self.attempts_by_machine.get(&slot.id) else {
                continue;
            };
            let is_settled = tasks.iter().all(|key| {
                self.jobs.get(&key.job).is_some_and(|job| {
                    job.is_service()
                        && !job.is_stopping()
                        && job
                            .live
                            .get(&key.task)
                            .is_some_and(|live| now >= live.placed_at + MIN_STAY_MS)
                })
            });
            if is_settled && tasks.len() as u32 == slot.task_count {
                candidates.push(ConsolidationCandidate {
                    replicas: slot.task_count,
                    machine: slot.id.clone(),
                });
            }
        }
        candidates.sort_by(|a, b| a.replicas.cmp(&b.replicas).then(b.machine.cmp(&a.machine)));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    /// Number of replicas that may be moved at a time.
    fn max_moves(&self) -> u32 {
        let replicas: usize = self
            .jobs
            .values()
            .filter(|job| job.is_service() && !job.is_stopping())
            .map(|job| job.live.len())
            .sum();
        (replicas as f64 * MAX_MOVED_SHARE) as u32
    }

    /// Relocates replicas whose better place saves more than the move costs: one per service
    /// at a time, and at most `max_moves` in all, but at least one.
    fn relocate_replicas(&mut self, max_moves: u32, now: u64) {
        let mut reservations: Vec<TentativeUse> = Vec::new();
        let mut moves: Vec<(JobId, Relocation)> = Vec::new();
        for id in self.next_services() {
            if moves.len() as u32 >= max_moves.max(1) {
                break;
            }
            if let Some(relocation) = self.find_relocation(&id, now) {
                let Some((need, image)) = self
                    .jobs
                    .get(&id)
                    .and_then(|job| Some((job.need, job.spec()?.image.clone())))
                else {
                    continue;
                };
                let place = relocation.place;
                self.indexes[place.shard].reserve(place.slot, &need, &image);
                self.indexes[place.shard].mark_long_running(place.slot);
                reservations.push(self.tentative_use(place));
                moves.push((id, relocation));
            }
        }
        self.release_tentative(reservations);
        for (id, Relocation { task, class, .. }) in moves {
            self.last_rebalance_at = now;
            info!(job_id = %id, task, shard = self.shard, image_locality = ?class.image_locality, "relocating a replica to a better place");
            if let Some(job) = self.jobs.get_mut(&id) {
                job.relocating = true;
                if let Some(live) = job.live.get_mut(&task) {
                    live.stop_grace_s = Some(0);
                }
            }
            self.update_indexes(&id, now);
        }
    }

    /// The next services to consider for relocation, round robin.
    fn next_services(&mut self) -> Vec<JobId> {
        let from = self
            .rebalance_cursor
            .take()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let ids: Vec<JobId> = self
            .jobs
            .range((from, Bound::Unbounded))
            .filter(|(_, job)| job.is_service())
            .take(MAX_SERVICES_PER_CALL)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.len() == MAX_SERVICES_PER_CALL {
            self.rebalance_cursor = ids.last().cloned();
        }
        ids
    }

    /// Cost in s of sharing a replica's machine and zone with others of its job.
    fn colocation_cost_s(&self, job: &Job, live: &LiveAttempt, risk: &PlacementRisk) -> f64 {
        let on_machine = job.colocated_count(live, |l| &l.machine);
        let in_zone = job.colocated_count(live, |l| &l.zone);
        let is_below_share = if risk.single_zone {
            in_zone == 1
        } else {
            in_zone <= risk.fair_zone_share()
        };
        let zone_share = if is_below_share {
            ZoneShare::Below
        } else {
            ZoneShare::Reached
        };
        let machine_s = if risk.has_replicas {
            risk.replica_cost_s(
                &self.placement_weights,
                risk.replica_spread(on_machine.saturating_sub(1)),
            )
        } else {
            0.0
        };
        let zone_s = if risk.zone_count > 1 {
            risk.zone_cost_s(&self.placement_weights, zone_share)
        } else {
            0.0
        };
        machine_s + zone_s
    }

    /// The most colocated replica of a service, with a place whose cost is lower by more than
    /// the move costs.
    fn find_relocation(&self, id: &JobId, now: u64) -> Option<Relocation> {
        let job = self
            .jobs
            .get(id)
            .filter(|job| !job.is_stopping() && job.suspect.is_none())?;
        let spec = job.spec()?;
        if !self.may_relocate(job, now) {
            return None;
        }
        let (task, live) = most_colocated(job)?;
        let partitioned = self.partitioned_zones();
        let attempts_per_zone = job.attempts_per_zone(Some(task));
        let zones = allowed_zones(spec, None, &attempts_per_zone, job.tasks, &self.indexes)
            .unwrap_or_else(|| all_zones(&self.indexes).into_iter().collect())
            .into_iter()
            .filter(|zone| !partitioned.contains(zone))
            .collect();
        let mut avoid = job.avoided_machines.clone();
        avoid.push(live.machine.clone());
        let request = replica_request(spec, Some(zones), &avoid);
        // A start through the store would extend the downtime of the move.
        let order: Vec<CandidateShard> = self
            .shard_search_order()
            .into_iter()
            .filter(|candidate| !candidate.via_store)
            .collect();
        let scoring = self.scoring_inputs(id, Some(task), &request, &order, now);
        let colocation_cost_s = self.colocation_cost_s(job, live, &scoring.risk);
        let min_gain_s =
            self.placement_weights.min_migration_gain_s + MOVE_DOWNTIME_MS as f64 / 1000.0;
        let better: Vec<PlacementClass> = placement_classes(&self.placement_weights, &scoring.risk)
            .into_iter()
            .take_while(|class| class.cost_s + min_gain_s < colocation_cost_s)
            .collect();
        let Candidate { shard, slot, class } =
            CandidateWalk::new(&self.indexes, &order, &request, &scoring.placed_replicas)
                .find(&better)?;
        let place = SlotRef { shard, slot };
        // Guards against another task that takes these resources in the meantime: without a
        // second such place, the replica would wait for a fetch of its image.
        (class.image_locality != ImageLocality::Cached || self.fits_one_more(&request, place))
            .then_some(Relocation { task, place, class })
    }

    /// True if a replica of a service may be moved: the service has several, at most
    /// [`MAX_SPREAD_TASKS`], so that at least half of them keep serving, and all of them run in
    /// reachable zones and were placed at least [`MIN_STAY_MS`] ago. A move must not add to a
    /// loss.
    fn may_relocate(&self, job: &Job, now: u64) -> bool {
        let has_all_replicas =
            job.tasks > 1 && job.tasks <= MAX_SPREAD_TASKS && job.live.len() as u32 == job.tasks;
        let is_settled = |live: &LiveAttempt| {
            live.state == Some(AttemptState::Running)
                && live.stop_grace_s.is_none()
                && now >= live.placed_at + MIN_STAY_MS
        };
        has_all_replicas
            && job.live.values().all(is_settled)
            && partition_of(job, &self.partitions).is_none()
    }

    /// True if, with one task at `place`, some machine in use still has the image and the
    /// free resources for one more.
    fn fits_one_more(&self, request: &PlacementRequest<'_>, place: SlotRef) -> bool {
        self.indexes.iter().enumerate().any(|(shard, index)| {
            let placed = if shard == place.shard {
                place.slot
            } else {
                usize::MAX
            };
            index.fits_one_more(request, placed)
        })
    }

    /// Stops the replicas of a machine; their next attempts avoid it.
    fn evict_replicas(&mut self, machine: &MachineId, now: u64) {
        let tasks = self
            .attempts_by_machine
            .get(machine)
            .cloned()
            .unwrap_or_default();
        for key in tasks {
            if let Some(job) = self.jobs.get_mut(&key.job) {
                if let Some(live) = job.live.get_mut(&key.task) {
                    live.stop_grace_s = Some(0);
                }
                job.avoid_machine(machine);
            }
            self.update_indexes(&key.job, now);
        }
    }

    /// Reserves resources on other machines in use for all replicas of the last machine of
    /// `emptied`; false if some don't fit.
    fn reserve_elsewhere(
        &mut self,
        emptied: &[MachineId],
        reservations: &mut Vec<TentativeUse>,
        now: u64,
    ) -> bool {
        let tasks = emptied
            .last()
            .and_then(|machine| self.attempts_by_machine.get(machine))
            .cloned()
            .unwrap_or_default();
        let before = reservations.len();
        for key in tasks {
            let Some(job) = self.jobs.get(&key.job) else {
                return false;
            };
            let Some(spec) = job.spec() else {
                return false;
            };
            let (need, image) = (job.need, spec.image.clone());
            let Some(place) = self.find_consolidated_place(&key.job, key.task, emptied, now) else {
                self.release_tentative(reservations.drain(before..));
                return false;
            };
            self.indexes[place.shard].reserve(place.slot, &need, &image);
            self.indexes[place.shard].mark_long_running(place.slot);
            reservations.push(self.tentative_use(place));
        }
        true
    }

    /// A place for a replica on a machine in use that has its image and is not in `emptied`.
    fn find_consolidated_place(
        &self,
        id: &JobId,
        task: u32,
        emptied: &[MachineId],
        now: u64,
    ) -> Option<SlotRef> {
        let job = self.jobs.get(id)?;
        let spec = job.spec()?;
        let attempts_per_zone = job.attempts_per_zone(Some(task));
        let zones = allowed_zones(spec, None, &attempts_per_zone, job.tasks, &self.indexes);
        let request = replica_request(spec, zones, emptied);
        let order = self.shard_search_order();
        let scoring = self.scoring_inputs(id, Some(task), &request, &order, now);
        // Guards against emptying a machine at the cost of a service's spread: the cost may
        // rise by no more than keeping an empty machine costs.
        let colocation_cost_s = job
            .live
            .get(&task)
            .map_or(0.0, |live| self.colocation_cost_s(job, live, &scoring.risk));
        let mut cached = placement_classes(&self.placement_weights, &scoring.risk);
        cached.retain(|class| {
            class.image_locality == ImageLocality::Cached
                && class.cost_s
                    <= colocation_cost_s + 2.0 * self.placement_weights.machine_pin_cost_s
        });
        // Guards against another task that takes these resources in the meantime: without a
        // second such place, the replica would wait for a fetch of its image.
        CandidateWalk::new(&self.indexes, &order, &request, &scoring.placed_replicas)
            .find(&cached)
            .map(|Candidate { shard, slot, .. }| SlotRef { shard, slot })
            .filter(|place| self.indexes[place.shard].slots[place.slot].task_count > 0)
            .filter(|place| self.fits_one_more(&request, *place))
    }
}

/// The replica of a service that shares its machine with the most others; of several, the one
/// that shares its zone with the most.
fn most_colocated(job: &Job) -> Option<(u32, &LiveAttempt)> {
    let mut on_machine: HashMap<&MachineId, u32> = HashMap::new();
    let mut in_zone: HashMap<&str, u32> = HashMap::new();
    for live in job.live.values() {
        *on_machine.entry(&live.machine).or_default() += 1;
        *in_zone.entry(&live.zone).or_default() += 1;
    }
    let colocated = |live: &LiveAttempt| {
        (
            on_machine.get(&live.machine).copied(),
            in_zone.get(live.zone.as_str()).copied(),
        )
    };
    job.live
        .iter()
        .max_by_key(|(task, live)| (colocated(live), **task))
        .map(|(&task, live)| (task, live))
}
