//! Rebalancing: replicas are consolidated, so that machines can be released, and moved
//! from places that risk much to better ones.

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

/// ms without any lack of room after which replicas are consolidated.
const QUIET_PERIOD_MS: u64 = 20_000;
/// ms between two machines whose replicas are moved: each is down for some
/// tenths of a second, which must not add up in any half minute.
const MOVE_INTERVAL_MS: u64 = 8_000;
/// Share of a placer's replicas that may be moved at a time, where that is more
/// than one machine's: each is down for some tenths of a second, so this costs
/// less than a thousandth of any half minute.
const MAX_MOVED_SHARE: f64 = 0.07;
/// Machines looked at for that at a time: the look tries each replica on all
/// others.
const MAX_CANDIDATES: usize = 48;
/// ms that a replica stays where it is before it is moved again.
const MIN_STAY_MS: u64 = 60_000;
/// ms for which a replica is down that moves to a machine with its image: a stop
/// and a start through their owners.
const MOVE_DOWNTIME_MS: u64 = 700;
/// Services looked at for a better place at a time: each look is a search or two.
const MAX_SERVICES_PER_LOOK: usize = 16;

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
    /// Moves the replicas of one machine to others in use, if all of them fit
    /// there and nothing has lacked room for a while: the machine can then be
    /// released. A replica that moves is down for as long as a stop and a
    /// start take, so this is done one machine at a time.
    ///
    /// Placers take turns by the time of day, so that two of them don't count
    /// on the same room: a replica that then finds none waits for an image.
    pub fn consolidate_replicas(&mut self, now: u64, time_of_day_ms: u64) {
        if !self.may_rebalance(now, time_of_day_ms) {
            return;
        }
        // Look again soon, but not at every event: the look goes through everything.
        self.last_rebalance_at = (now + SHARD_VIEW_REFRESH_MS).saturating_sub(MOVE_INTERVAL_MS);
        if self.has_moving_replicas() {
            return;
        }
        let candidates = self.consolidation_candidates(now);
        let mut moves_left = self.max_moves();
        let mut leaving: Vec<MachineId> = Vec::new();
        let mut taken: Vec<TentativeUse> = Vec::new();
        for ConsolidationCandidate { replicas, machine } in candidates {
            // One machine at least, however few replicas there are.
            if !leaving.is_empty() && replicas > moves_left
                || taken.iter().any(|used| used.machine == machine)
            {
                continue;
            }
            leaving.push(machine);
            if self.reserve_elsewhere(&leaving, &mut taken, now) {
                moves_left = moves_left.saturating_sub(replicas);
            } else {
                leaving.pop();
            }
        }
        self.release_tentative(taken);
        if leaving.is_empty() {
            self.relocate_exposed_replicas(moves_left, now);
        }
        for machine in leaving {
            self.last_rebalance_at = now;
            info!(machine = %machine, shard = self.shard, "consolidating replicas of a machine onto others");
            self.evict_replicas(&machine, now);
        }
    }

    /// True if it is this placer's turn, and nothing has lacked room or moved of late.
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

    /// Machines that hold nothing but replicas that have been there for long. Those with
    /// most tasks are the least likely to fit elsewhere, and are left out.
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

    /// Replicas that may be moved at a time.
    fn max_moves(&self) -> u32 {
        let replicas: usize = self
            .jobs
            .values()
            .filter(|job| job.is_service() && !job.is_stopping())
            .map(|job| job.live.len())
            .sum();
        (replicas as f64 * MAX_MOVED_SHARE) as u32
    }

    /// Moves replicas to where the trade gains more than the move costs, one of a
    /// service at a time and as many as may be moved at once.
    fn relocate_exposed_replicas(&mut self, max_moves: u32, now: u64) {
        let mut taken: Vec<TentativeUse> = Vec::new();
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
                taken.push(self.tentative_use(place));
                moves.push((id, relocation));
            }
        }
        self.release_tentative(taken);
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

    /// The services whose turn it is to be looked at.
    fn next_services(&mut self) -> Vec<JobId> {
        let from = self
            .rebalance_cursor
            .take()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let ids: Vec<JobId> = self
            .jobs
            .range((from, Bound::Unbounded))
            .filter(|(_, job)| job.is_service())
            .take(MAX_SERVICES_PER_LOOK)
            .map(|(id, _)| id.clone())
            .collect();
        if ids.len() == MAX_SERVICES_PER_LOOK {
            self.rebalance_cursor = ids.last().cloned();
        }
        ids
    }

    /// Seconds that what a replica risks where it is counts for.
    fn exposure_s(&self, job: &Job, live: &LiveAttempt, risk: &PlacementRisk) -> f64 {
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
                &self.trade,
                risk.replica_spread(on_machine.saturating_sub(1)),
            )
        } else {
            0.0
        };
        let zone_s = if risk.zone_count > 1 {
            risk.zone_cost_s(&self.trade, zone_share)
        } else {
            0.0
        };
        machine_s + zone_s
    }

    /// The replica of a service that risks most where it is, with a place where it
    /// would risk so much less that the move is worth it.
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
        // A start through the store is no quiet move.
        let order: Vec<CandidateShard> = self
            .shard_search_order()
            .into_iter()
            .filter(|candidate| !candidate.via_store)
            .collect();
        let scoring = self.scoring_inputs(id, Some(task), &request, &order, now);
        let exposure_s = self.exposure_s(job, live, &scoring.risk);
        let min_gain_s = self.trade.min_migration_gain_s + MOVE_DOWNTIME_MS as f64 / 1000.0;
        let better: Vec<PlacementClass> = placement_classes(&self.trade, &scoring.risk)
            .into_iter()
            .take_while(|class| class.cost_s + min_gain_s < exposure_s)
            .collect();
        let Candidate { shard, slot, class } =
            CandidateWalk::new(&self.indexes, &order, &request, &scoring.placed_replicas)
                .find(&better)?;
        let place = SlotRef { shard, slot };
        // Guards against others taking that room meanwhile: the replica would wait for
        // a fetch that it was not moved for.
        (class.image_locality != ImageLocality::Cached || self.fits_in_addition(&request, place))
            .then_some(Relocation { task, place, class })
    }

    /// True if a service's replicas may be moved: another replica must serve, half of
    /// the service at least must go on, and all of it must be reachable and long
    /// settled: no move on top of a loss.
    fn may_relocate(&self, job: &Job, now: u64) -> bool {
        let is_whole =
            job.tasks > 1 && job.tasks <= MAX_SPREAD_TASKS && job.live.len() as u32 == job.tasks;
        let is_settled = |live: &LiveAttempt| {
            live.state == Some(AttemptState::Running)
                && live.stop_grace_s.is_none()
                && now >= live.placed_at + MIN_STAY_MS
        };
        is_whole
            && job.live.values().all(is_settled)
            && partition_of(job, &self.partitions).is_none()
    }

    /// True if a machine in use has room and the image for one more beside one at a
    /// place.
    fn fits_in_addition(&self, request: &PlacementRequest<'_>, place: SlotRef) -> bool {
        self.indexes.iter().enumerate().any(|(shard, index)| {
            let taken = if shard == place.shard {
                place.slot
            } else {
                usize::MAX
            };
            index.fits_one_more(request, taken)
        })
    }

    /// Stops the replicas of a machine, which then avoid it.
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

    /// True if the replicas of the last of the machines that are to leave fit
    /// on others in use; reserves the room there.
    fn reserve_elsewhere(
        &mut self,
        leaving: &[MachineId],
        taken: &mut Vec<TentativeUse>,
        now: u64,
    ) -> bool {
        let tasks = leaving
            .last()
            .and_then(|machine| self.attempts_by_machine.get(machine))
            .cloned()
            .unwrap_or_default();
        let before = taken.len();
        for key in tasks {
            let Some(job) = self.jobs.get(&key.job) else {
                return false;
            };
            let Some(spec) = job.spec() else {
                return false;
            };
            let (need, image) = (job.need, spec.image.clone());
            let Some(place) = self.find_consolidated_place(&key.job, key.task, leaving, now) else {
                self.release_tentative(taken.drain(before..));
                return false;
            };
            self.indexes[place.shard].reserve(place.slot, &need, &image);
            self.indexes[place.shard].mark_long_running(place.slot);
            taken.push(self.tentative_use(place));
        }
        true
    }

    /// A place for a replica on a machine in use that has its image and does not leave.
    fn find_consolidated_place(
        &self,
        id: &JobId,
        task: u32,
        leaving: &[MachineId],
        now: u64,
    ) -> Option<SlotRef> {
        let job = self.jobs.get(id)?;
        let spec = job.spec()?;
        let attempts_per_zone = job.attempts_per_zone(Some(task));
        let zones = allowed_zones(spec, None, &attempts_per_zone, job.tasks, &self.indexes);
        let request = replica_request(spec, zones, leaving);
        let order = self.shard_search_order();
        let scoring = self.scoring_inputs(id, Some(task), &request, &order, now);
        // Guards against a machine emptied at the price of a service that lies in
        // one place: what is saved is no more than keeping it is worth.
        let exposure_s = job
            .live
            .get(&task)
            .map_or(0.0, |live| self.exposure_s(job, live, &scoring.risk));
        let mut warm = placement_classes(&self.trade, &scoring.risk);
        warm.retain(|class| {
            class.image_locality == ImageLocality::Cached
                && class.cost_s <= exposure_s + 2.0 * self.trade.machine_pin_cost_s
        });
        // Guards against others taking that room meanwhile: another place
        // must be left, or the replica would wait for a fetch.
        CandidateWalk::new(&self.indexes, &order, &request, &scoring.placed_replicas)
            .find(&warm)
            .map(|Candidate { shard, slot, .. }| SlotRef { shard, slot })
            .filter(|place| self.indexes[place.shard].slots[place.slot].task_count > 0)
            .filter(|place| self.fits_in_addition(&request, *place))
    }
}

/// The replica of a service that shares its machine, then its zone, with most others.
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
