//! What a job's tasks ask of a machine.

use std::collections::{BTreeSet, HashMap};

use lemonweir_model::{JobSpec, MachineId};

use crate::placement::{PlacementIndex, PlacementRequest};

/// What a replica that runs already asks of another machine.
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
/// `required`: the zone that its other tasks are in, if all must be in one.
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
    let max_per_zone = tasks.div_ceil(2);
    let open: Vec<&str> = all_zones(indexes)
        .into_iter()
        .filter(|zone| attempts_per_zone.get(*zone).copied().unwrap_or(0) < max_per_zone)
        .collect();
    Some(match zones {
        Some(zones) => zones
            .into_iter()
            .filter(|zone| open.contains(zone))
            .collect(),
        None => open,
    })
}

/// The zones of all known machines.
pub(super) fn all_zones(indexes: &[PlacementIndex]) -> BTreeSet<&str> {
    indexes.iter().flat_map(PlacementIndex::zones).collect()
}
