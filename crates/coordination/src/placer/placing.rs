//! Search for machines for a job's next unit, a task or a whole gang, and its start there.

use std::collections::{BTreeSet, HashMap};

use lemonweir_model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::PreemptionScope;
use tracing::info;

use super::Placer;
use super::accounting::SlotRef;
use super::placement_pass::PlacementPass;
use super::requests::{all_zones, allowed_zones};
use super::units::{PlacementUnit, request_signature};
use crate::gang_admission::GangAdmission;
use crate::image_locality::scoring::{ImageLocality, PlacementClass, placement_classes};
use crate::job::{Job, LiveAttempt};
use crate::placement::PlacementRequest;
use crate::placement::{Candidate, CandidateShard, CandidateWalk, ImageRequirement};

/// Inputs of the search for a unit's machines.
struct UnitSearch<'a> {
    job: &'a JobId,
    spec: &'a JobSpec,
    unit: &'a PlacementUnit,
    need: Resources,
    job_tasks: u32,
    is_relocating: bool,
    avoid: Vec<MachineId>,
    /// Shards in search order, each with whether its owner is reached only through the store.
    order: Vec<CandidateShard>,
    now: u64,
}

/// Restricts a search to a zone and a set of machines; `None`: no restriction.
#[derive(Clone, Copy)]
struct SearchArea<'a> {
    zone: Option<&'a str>,
    machines: Option<&'a BTreeSet<MachineId>>,
}

/// A machine for a task, and which attempts may be preempted for it.
struct FoundPlace {
    place: SlotRef,
    preemption: PreemptionScope,
}

/// A task's machine, with resources reserved on it.
struct ReservedPlace {
    task: u32,
    place: SlotRef,
    preemption: PreemptionScope,
    /// The machine has the image in its cache.
    is_image_cached: bool,
}

impl Placer {
    /// Places the next unit of a job; false if none is placed. Sets the job's pending reason
    /// if it has to wait.
    pub(super) fn place_next(&mut self, id: &JobId, pass: &mut PlacementPass, now: u64) -> bool {
        let Some(record) = self.jobs.get(id).and_then(|job| job.record.clone()) else {
            return false;
        };
        let spec = &record.spec;
        let Some(unit) = self.next_unit(id, spec, pass, now) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        // A request with the same constraints that needs no more found no room in this pass.
        let signature = request_signature(job, spec, &unit);
        if pass.is_known_to_fail(signature, &job.need) {
            job.pending_reason = unit.no_room_reason();
            return false;
        }
        let Some(places) = self.reserve_places(id, spec, &unit, now) else {
            self.note_no_room(id, &unit, signature, pass);
            return false;
        };
        self.start_unit(id, spec, &unit, places, now);
        pass.low_priority_chunks_left -= usize::from(unit.is_first_low_priority_start);
        self.update_indexes(id, now);
        true
    }

    /// Reserves room for all of a unit's tasks in the first search area that has it.
    fn reserve_places(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        unit: &PlacementUnit,
        now: u64,
    ) -> Option<Vec<ReservedPlace>> {
        let job = self.jobs.get(id)?;
        let zones = self.zone_choices(job, spec, unit.tasks.len());
        let search = UnitSearch {
            job: id,
            spec,
            unit,
            need: job.need,
            job_tasks: job.tasks,
            is_relocating: job.relocating,
            // The failures of a suspect are attributed to the job, not to the machines. In a
            // small fleet it may have failed on all of them.
            avoid: if unit.is_suspect {
                Vec::new()
            } else {
                [job.avoided_machines.as_slice(), &job.unresponsive_machines].concat()
            },
            order: self.shard_search_order(),
            now,
        };
        let attempts_per_zone = if spec.spread {
            job.attempts_per_zone(None)
        } else {
            HashMap::new()
        };
        // A suspect is tried on recently healthy machines first: a failure there is the best
        // evidence that the job is at fault.
        let healthy_machines = unit
            .is_suspect
            .then(|| self.fault_attribution.healthy_machines(now));
        let machine_sets = if unit.is_suspect {
            vec![healthy_machines.as_ref(), None]
        } else {
            vec![None]
        };
        machine_sets
            .into_iter()
            .flat_map(|machines| {
                zones.iter().map(move |zone| SearchArea {
                    zone: zone.as_deref(),
                    machines,
                })
            })
            .find_map(|area| self.reserve_in(&search, area, attempts_per_zone.clone()))
    }

    /// Zones to try for a unit, in order; `None` in the list: any zone.
    fn zone_choices(&self, job: &Job, spec: &JobSpec, tasks: usize) -> Vec<Option<String>> {
        if !spec.same_zone || tasks + job.live.len() <= 1 {
            return vec![None];
        }
        let present: BTreeSet<&str> = job.live.values().map(|live| live.zone.as_str()).collect();
        let zones = if present.is_empty() {
            all_zones(&self.indexes)
        } else {
            present
        };
        zones
            .into_iter()
            .map(|zone| Some(zone.to_owned()))
            .collect()
    }

    /// Reserves room for all of a unit's tasks in one search area, or for none of them.
    fn reserve_in(
        &mut self,
        search: &UnitSearch<'_>,
        area: SearchArea<'_>,
        mut attempts_per_zone: HashMap<String, u32>,
    ) -> Option<Vec<ReservedPlace>> {
        let spec = search.spec;
        let mut reserved: Vec<ReservedPlace> = Vec::new();
        for &task in &search.unit.tasks {
            let Some(found) = self.find_place(search, area, &attempts_per_zone) else {
                break;
            };
            let place = found.place;
            let index = &mut self.indexes[place.shard];
            let is_image_cached = index.has_image(place.slot, &spec.image);
            index.reserve(place.slot, &search.need, &spec.image);
            if spec.kind == JobKind::Service {
                index.mark_long_running(place.slot);
            }
            if spec.spread {
                *attempts_per_zone
                    .entry(index.slots[place.slot].zone.clone())
                    .or_default() += 1;
            }
            reserved.push(ReservedPlace {
                task,
                place,
                preemption: found.preemption,
                is_image_cached,
            });
        }
        if reserved.len() == search.unit.tasks.len() {
            return Some(reserved);
        }
        let uses: Vec<_> = reserved
            .iter()
            .map(|reserved| self.tentative_use(reserved.place))
            .collect();
        self.release_tentative(uses);
        None
    }

    /// Finds a machine for a unit's next task.
    ///
    /// Free room is used first, regardless of guaranteed quotas. Without it, lower priorities are
    /// preempted, and, for a team within its guaranteed quota, also what other teams run
    /// beyond theirs. If fetching the image alone would take too long, machines without it
    /// are tried only after preemption on machines that have it.
    fn find_place(
        &self,
        search: &UnitSearch<'_>,
        area: SearchArea<'_>,
        attempts_per_zone: &HashMap<String, u32>,
    ) -> Option<FoundPlace> {
        let (spec, unit) = (search.spec, search.unit);
        let request = PlacementRequest {
            need: search.need,
            machine_types: spec.machine_types.as_deref(),
            zones: allowed_zones(
                spec,
                area.zone,
                attempts_per_zone,
                search.job_tasks,
                &self.indexes,
            ),
            spot_allowed: spec.allow_spot,
            long_running: spec.kind == JobKind::Service,
            image: &spec.image,
            image_mb: spec.image_mb(),
            excluded_machines: &search.avoid,
            restricted_to: area.machines,
            avoid_idle_on_demand: unit.is_low_cost_only,
        };
        let mut scoring =
            self.scoring_inputs(search.job, None, &request, &search.order, search.now);
        scoring.risk.cached_first = unit.needs_image && !search.is_relocating;
        let classes = placement_classes(&self.placement_weights, &scoring.risk);
        let (preferred, fallback) = if unit.needs_image {
            let cached = classes
                .iter()
                .take_while(|class| class.image_locality == ImageLocality::Cached)
                .count();
            classes.split_at(cached)
        } else {
            classes.split_at(classes.len())
        };
        let replicas = &scoring.placed_replicas;
        let mut walk = CandidateWalk::new(&self.indexes, &search.order, &request, replicas);
        let mut find_free = |classes: &[PlacementClass]| {
            walk.find(classes)
                .map(|Candidate { shard, slot, .. }| FoundPlace {
                    place: SlotRef { shard, slot },
                    preemption: PreemptionScope::Nobody,
                })
        };
        let find_preemptible = |image| {
            search
                .order
                .iter()
                .find_map(|&CandidateShard { shard, .. }| {
                    self.indexes[shard]
                        .preemptive_fit(
                            &request,
                            spec.priority,
                            unit.preemption_scope(),
                            image,
                            replicas.get(shard),
                        )
                        .map(|slot| FoundPlace {
                            place: SlotRef { shard, slot },
                            preemption: unit.preemption_scope(),
                        })
                })
        };
        find_free(preferred)
            .or_else(|| {
                if unit.needs_image && !unit.is_suspect {
                    find_preemptible(ImageRequirement::Cached)
                } else {
                    None
                }
            })
            .or_else(|| find_free(fallback))
            .or_else(|| {
                if unit.is_suspect {
                    None
                } else {
                    find_preemptible(ImageRequirement::Optional)
                }
            })
    }

    /// Adds a live attempt on the reserved machine for each task of a unit.
    fn start_unit(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        unit: &PlacementUnit,
        places: Vec<ReservedPlace>,
        now: u64,
    ) {
        let planned_at = now + self.wall_clock_offset_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (attempt, has_run) = (job.next_attempt, job.has_run);
        job.next_attempt += 1;
        job.unresponsive_machines.clear();
        job.relocating = false;
        job.admission = job
            .is_gang()
            .then(|| GangAdmission::planned(attempt, planned_at));
        for reserved in places {
            self.start_task(id, attempt, &reserved, now);
        }
        // Rebalancing waits for a quiet period after placements of new work. Restarted
        // replicas, retries of suspects and low-priority work don't count as such.
        let is_restarted = spec.kind == JobKind::Service && has_run;
        if !(is_restarted || unit.is_suspect || spec.priority == Priority::Low) {
            self.last_placement_at = now;
        }
    }

    fn start_task(&mut self, id: &JobId, attempt: u32, reserved: &ReservedPlace, now: u64) {
        let ReservedPlace {
            task,
            place,
            preemption,
            is_image_cached,
        } = *reserved;
        if place.shard != usize::from(self.shard) {
            self.last_remote_shard = place.shard as u16;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let recorded_by = job.mark_start_unwritten(task);
        let (team, need) = (job.team.clone(), job.need);
        let team_usage = self.usage_of(&team).plus(&need);
        let slot = &self.indexes[place.shard].slots[place.slot];
        info!(
            job_id = %id,
            task,
            attempt,
            machine = %slot.id,
            shard = place.shard,
            has_image = is_image_cached,
            ?preemption,
            team,
            %team_usage,
            "task placed"
        );
        let live = LiveAttempt {
            attempt,
            machine: slot.id.clone(),
            shard: place.shard as u16,
            zone: slot.zone.clone(),
            recorded_by,
            state: None,
            stop_grace_s: None,
            preemption,
            placed_at: now,
            over_quota: true,
        };
        self.add_attempt(id, task, live);
    }

    /// Records that a unit found no room. If the search excluded machines that were
    /// unresponsive for the previous attempt of a gang, the next pass includes them.
    fn note_no_room(
        &mut self,
        id: &JobId,
        unit: &PlacementUnit,
        signature: u64,
        pass: &mut PlacementPass,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.pending_reason = unit.no_room_reason();
        if job.unresponsive_machines.is_empty() {
            pass.record_failure(signature, job.need);
        } else {
            job.unresponsive_machines.clear();
            self.placement_due = true;
        }
    }
}
