//! Placement by bit-vectors against a plain reference model that examines every machine.

use std::collections::BTreeSet;

use lemonweir_coordination::placement::{ImageRequirement, PlacementIndex, PlacementRequest};
use lemonweir_model::{MachineId, Priority, Resources};
use lemonweir_protocol::peer::{MachineView, PreemptionScope};
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
const MACHINE_TYPES: [&str; 2] = ["small", "large"];
const IMAGES: [&str; 3] = ["x", "y", "z"];

fn resources() -> impl Strategy<Value = Resources> {
    (0..9u64, 0..3u64, 0..5u64).prop_map(|(c, g, m)| Resources {
        milli_cpus: c * 500,
        milli_gpus: g * 1000,
        memory_mb: m * 4000,
    })
}

fn machine(n: usize) -> impl Strategy<Value = MachineView> {
    (
        resources(),
        resources(),
        0..3usize,
        0..2usize,
        any::<[bool; 3]>(),
        0..3u16,
        0..3u16,
        prop::sample::subsequence(IMAGES.to_vec(), 0..=3),
    )
        .prop_map(
            move |(
                free,
                preemptible,
                zone,
                machine_type,
                [spot, up, open],
                busy,
                lasting,
                images,
            )| MachineView {
                id: machine_id(n),
                machine_type: MACHINE_TYPES[machine_type].into(),
                zone: ZONES[zone].into(),
                spot,
                registered: up,
                schedulable: open,
                draining: false,
                free,
                preemptible: [preemptible, preemptible, Resources::default()],
                preemptible_or_over_quota: [preemptible; 3],
                task_count: busy,
                service_task_count: lasting,
                pulling_images: IMAGES
                    .iter()
                    .filter(|i| !images.contains(i))
                    .take(usize::from(busy) % 2)
                    .map(|i| (*i).to_owned())
                    .collect(),
                cached_images: images.into_iter().map(str::to_owned).collect(),
                provisioned_by: None,
            },
        )
}

fn machine_id(n: usize) -> MachineId {
    MachineId::from(format!("n-{n:03}").as_str())
}

fn machines() -> impl Strategy<Value = Vec<MachineView>> {
    (0..80usize).prop_flat_map(|n| (0..n).map(machine).collect::<Vec<_>>())
}

#[derive(Clone, Debug)]
struct RequestCase {
    need: Resources,
    machine_types: Option<Vec<String>>,
    zones: Option<Vec<&'static str>>,
    spot_allowed: bool,
    long_running: bool,
    image: &'static str,
    excluded_machines: Vec<MachineId>,
    restricted_to: Option<BTreeSet<MachineId>>,
    avoid_idle_on_demand: bool,
}

fn request_case() -> impl Strategy<Value = RequestCase> {
    (
        resources(),
        prop::option::of(prop::sample::subsequence(MACHINE_TYPES.to_vec(), 0..=2)),
        prop::option::of(prop::sample::subsequence(ZONES.to_vec(), 0..=3)),
        any::<[bool; 3]>(),
        prop::sample::select(IMAGES.to_vec()),
        prop::collection::vec(0..80usize, 0..3),
        prop::option::weighted(0.2, prop::collection::btree_set(0..80usize, 0..20)),
    )
        .prop_map(
            |(
                need,
                machine_types,
                zones,
                [spot_allowed, long_running, avoid_idle_on_demand],
                image,
                excluded,
                restricted_to,
            )| RequestCase {
                need,
                machine_types: machine_types.map(|t| t.into_iter().map(str::to_owned).collect()),
                zones,
                spot_allowed,
                long_running,
                image,
                excluded_machines: excluded.into_iter().map(machine_id).collect(),
                restricted_to: restricted_to.map(|r| r.into_iter().map(machine_id).collect()),
                avoid_idle_on_demand,
            },
        )
}

impl RequestCase {
    fn request(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            need: self.need,
            machine_types: self.machine_types.as_deref(),
            zones: self.zones.clone(),
            spot_allowed: self.spot_allowed,
            long_running: self.long_running,
            image: self.image,
            image_mb: 1_000,
            excluded_machines: &self.excluded_machines,
            restricted_to: self.restricted_to.as_ref(),
            avoid_idle_on_demand: self.avoid_idle_on_demand,
        }
    }

    fn is_eligible(&self, m: &MachineView) -> bool {
        m.registered
            && m.schedulable
            && (self.spot_allowed || !m.spot)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|t| t.contains(&m.machine_type))
            && self
                .zones
                .as_ref()
                .is_none_or(|z| z.contains(&m.zone.as_str()))
            && !self.excluded_machines.contains(&m.id)
            && self
                .restricted_to
                .as_ref()
                .is_none_or(|r| r.contains(&m.id))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Preemption is offered only where it suffices, and wherever it does.
    #[test]
    fn preemptive_fit_suffices(machines in machines(), case in request_case(), over_quota in any::<bool>(), image_required in any::<bool>()) {
        let (scope, image) = (
            if over_quota { PreemptionScope::LowerPriorityOrOverQuota } else { PreemptionScope::LowerPriority },
            if image_required { ImageRequirement::Cached } else { ImageRequirement::Optional },
        );
        let suffices = |m: &MachineView| {
            let preemptible = if over_quota { m.preemptible_or_over_quota } else { m.preemptible };
            let has_image = m.cached_images.iter().any(|i| i == case.image);
            case.is_eligible(m) && (!image_required || has_image) && m.free.plus(&preemptible[Priority::High.index()]).covers(&case.need)
        };
        match PlacementIndex::new(&machines).preemptive_fit(&case.request(), Priority::High, scope, image, None) {
            Some(slot) => prop_assert!(suffices(&machines[slot])),
            None => prop_assert!(!machines.iter().any(suffices)),
        }
    }

    /// A reservation takes exactly the resources of the task, and reverting it restores them all.
    #[test]
    fn reservation_takes_resources_until_it_is_reverted(machines in machines(), case in request_case()) {
        let mut index = PlacementIndex::new(&machines);
        if let Some(slot) = index.first_fit(&case.request()) {
            let before = index.slots[slot].free;
            index.reserve(slot, &case.need, case.image);
            prop_assert_eq!(index.slots[slot].free.plus(&case.need), before);
            // The image is cached or being fetched.
            let position = index.position(&index.slots[slot].id.clone()).expect("indexed");
            prop_assert!(index.has_image(position, case.image) || index.slots[position].fetch_count > 0);
            // Reverting restores the resources that the owner published.
            index.revert_reservations(slot);
            prop_assert_eq!(index.slots[slot].free, before);
            prop_assert_eq!(index.first_fit(&case.request()), Some(slot));
        }
    }
}
