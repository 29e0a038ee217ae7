//! Headroom for expected work: reserves empty machines for it, and requests the capacity
//! that is missing like that of waiting work.

use std::collections::BTreeMap;
use std::sync::Arc;

use lemonweir_model::constants::{MAX_HEADROOM_TASKS, TASKS_PER_CHUNK};
use lemonweir_model::{JobSpec, Resources};
use lemonweir_protocol::peer::PreemptionScope;
use lemonweir_storage::records::JobRecord;

use super::Placer;
use super::accounting::{SlotRef, TentativeUse};
use super::quotas::within_quota;
use crate::autoscaler::CapacityDemand;
use crate::placement::{ImageRequirement, PlacementRequest};

/// ms of arrivals from which future arrivals are predicted: long enough to hold a few,
/// short enough to follow the changes of a day.
const ARRIVAL_WINDOW_MS: u64 = 120_000;
/// ms after acquiring a shard in which new jobs count as its backlog, not as arrivals.
pub(super) const INITIAL_BACKLOG_MS: u64 = 10_000;
/// Machines of the fleet for each task of headroom, in fleets so large that this allows more
/// than [`MAX_HEADROOM_TASKS`].
const MACHINES_PER_HEADROOM_TASK: u32 = 16;

/// Tasks expected while a machine boots that need the same resources and are alike in whether
/// they may run on spot instances.
struct ExpectedWork {
    tasks: f64,
    /// One of the jobs that the prediction is made from.
    example: Arc<JobRecord>,
}

impl Placer {
    /// Predicts the work with a start objective that arrives while a machine boots.
    /// Reserves the empty machines that it would use, and returns the demand that finds
    /// no capacity.
    pub(super) fn plan_headroom(&mut self, now: u64) -> Vec<CapacityDemand> {
        self.drop_old_arrivals(now);
        self.reserved_machines.clear();
        let observed_ms = now
            .saturating_sub(self.started_at + INITIAL_BACKLOG_MS)
            .clamp(1, ARRIVAL_WINDOW_MS);
        if self.headroom_share <= 0.0 || observed_ms < ARRIVAL_WINDOW_MS / 3 {
            return Vec::new();
        }
        let max_tasks = self.max_headroom_tasks();
        let mut demand = Vec::new();
        let mut reservations: Vec<TentativeUse> = Vec::new();
        // Largest tasks first: they don't fit into what smaller ones leave of a machine.
        for expected in self.expected_work(observed_ms).into_values().rev() {
            let tasks = (expected.tasks.round() as u32).min(max_tasks);
            let spec = &expected.example.spec;
            let placed = self.reserve_headroom(spec, tasks, &mut reservations);
            if tasks > placed {
                demand.push(headroom_demand(spec, tasks - placed));
            }
        }
        // The reservations only serve this plan.
        self.release_tentative(reservations);
        demand
    }

    fn drop_old_arrivals(&mut self, now: u64) {
        while self
            .recent_arrivals
            .front()
            .is_some_and(|(at, _)| now > at + ARRIVAL_WINDOW_MS)
        {
            self.recent_arrivals.pop_front();
        }
    }

    /// Tasks of one size that headroom is kept for at most: as many as a fleet of this size
    /// is expected to need at once.
    fn max_headroom_tasks(&self) -> u32 {
        MAX_HEADROOM_TASKS.max(self.machines().count() as u32 / MACHINES_PER_HEADROOM_TASK)
    }

    /// Work predicted from the arrivals of the last `observed_ms`, by the resources of a
    /// task and whether it may run on spot instances.
    fn expected_work(&self, observed_ms: u64) -> BTreeMap<(Resources, bool), ExpectedWork> {
        let mut expected: BTreeMap<(Resources, bool), ExpectedWork> = BTreeMap::new();
        for (_, record) in &self.recent_arrivals {
            let spec = &record.spec;
            let start_ms = self.boot_time_ms as f64 + spec.image_gb / self.fetch_gb_per_s * 1000.0;
            // Cheaper capacity is kept for more tasks.
            let share = if spec.allow_spot {
                self.headroom_share * self.spot_discount
            } else {
                self.headroom_share
            };
            let tasks =
                self.tasks_with_objective(spec) as f64 * start_ms / observed_ms as f64 * share;
            expected
                .entry((spec.task_resources(), spec.allow_spot))
                .or_insert_with(|| ExpectedWork {
                    tasks: 0.0,
                    example: record.clone(),
                })
                .tasks += tasks;
        }
        expected
    }

    /// Tasks of a job with a start objective: all of them if its class has one, else those
    /// that fit its team's guaranteed quota, at most [`TASKS_PER_CHUNK`].
    fn tasks_with_objective(&self, spec: &JobSpec) -> u64 {
        if self.start_objectives_s.contains_key(&spec.class) {
            return spec.tasks;
        }
        let guaranteed = self.guaranteed_quotas.get(&spec.team);
        (1..=spec.tasks.min(u64::from(TASKS_PER_CHUNK)))
            .take_while(|&n| within_quota(&spec.task_resources().times(n), guaranteed))
            .last()
            .unwrap_or(0)
    }

    /// Reserves resources for tasks like a job's, free ones or else ones that preemption can
    /// free; returns for how many tasks it found some.
    fn reserve_headroom(
        &mut self,
        spec: &JobSpec,
        tasks: u32,
        reservations: &mut Vec<TentativeUse>,
    ) -> u32 {
        let request = PlacementRequest {
            need: spec.task_resources(),
            machine_types: spec.machine_types.as_deref(),
            zones: None,
            spot_allowed: spec.allow_spot,
            long_running: false,
            image: &spec.image,
            image_mb: spec.image_mb(),
            excluded_machines: &[],
            restricted_to: None,
            avoid_idle_on_demand: false,
        };
        let mut placed = 0;
        for _ in 0..tasks {
            let found = self.indexes.iter().enumerate().find_map(|(shard, index)| {
                index
                    .first_fit(&request)
                    .or_else(|| {
                        index.preemptive_fit(
                            &request,
                            spec.priority,
                            PreemptionScope::LowerPriority,
                            ImageRequirement::Optional,
                            None,
                        )
                    })
                    .map(|slot| SlotRef { shard, slot })
            });
            let Some(place) = found else { continue };
            let index = &mut self.indexes[place.shard];
            if index.slots[place.slot].task_count == 0 {
                self.reserved_machines
                    .push(index.slots[place.slot].id.clone());
            }
            index.reserve(place.slot, &request.need, &spec.image);
            reservations.push(self.tentative_use(place));
            placed += 1;
        }
        placed
    }
}

fn headroom_demand(spec: &JobSpec, count: u32) -> CapacityDemand {
    CapacityDemand {
        team: spec.team.clone(),
        need: spec.task_resources(),
        machine_types: spec.machine_types.clone(),
        zone: spec.zone.clone(),
        spot_allowed: spec.allow_spot,
        count,
        single_zone: false,
        spot_only: spec.allow_spot,
        low_priority: false,
        must_start_now: false,
    }
}
