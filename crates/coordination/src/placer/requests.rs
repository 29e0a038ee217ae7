//! Placement requests of tasks, and the zones they may use.

use std::collections::{BTreeSet, HashMap};

use lemonweir_model::{JobSpec, MachineId};

use crate::job::max_tasks_per_zone;
use crate::placement::{PlacementIndex, PlacementRequest};

/// Request for another machine for a replica that is already placed.
pub(super) fn replica_request<'a>(
    spec: &'a JobSpec,
    zones: Option<Vec<&'a str>>,
    avoid: &'a [MachineId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        need: spec.task_resources(),
        machine_types: spec.machine_types.as_deref(),
        zones,
        spot_allowed: spec.allow_spot,
        long_running: true,
        image: &spec.image,
        image_mb: spec.image_mb(),
        excluded_machines: avoid,
        restricted_to: None,
        avoid_idle_on_demand: false,
    }
}

/// Zones in which a job's next task may start, given its other tasks; `None`: any.
/// `required` is the only zone to use, for a job whose tasks must share one. A spread job has
/// at most half of its tasks, rounded up, in one zone.
pub(super) fn allowed_zones<'a>(
    spec: &'a JobSpec,
    required: Option<&'a str>,
    attempts_per_zone: &HashMap<String, u32>,
    tasks: u32,
    indexes: &'a [PlacementIndex],
) -> Option<Vec<&'a str>> {
    let zones: Option<Vec<&str>> = match (required, &spec.zone) {
        (Some(required), Some(zone)) if required != zone => return Some(Vec::new()),
        (Some(required), _) => Some(vec![required]),
        (None, Some(zone)) => Some(vec![zone.as_str()]),
        (None, None) => None,
    };
    if !spec.spread || tasks <= 1 {
        return zones;
    }
    let max_per_zone = max_tasks_per_zone(tasks);
    let below_max: Vec<&str> = all_zones(indexes)
        .into_iter()
        .filter(|zone| attempts_per_zone.get(*zone).copied().unwrap_or(0) < max_per_zone)
        .collect();
    Some(match zones {
        Some(zones) => zones
            .into_iter()
            .filter(|zone| below_max.contains(zone))
            .collect(),
        None => below_max,
    })
}

/// Zones of all machines in the indexes.
pub(super) fn all_zones(indexes: &[PlacementIndex]) -> BTreeSet<&str> {
    indexes.iter().flat_map(PlacementIndex::zones).collect()
}
