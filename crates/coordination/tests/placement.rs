//! Placement by bit-vectors compared with a slow plain model.

use std::collections::BTreeSet;

use lemonweir_coordination::placement::{PlacementIndex, PlacementRequest};
use lemonweir_model::{MachineId, Priority, Resources};
use lemonweir_protocol::peer::MachineView;
use proptest::prelude::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
const KINDS: [&str; 2] = ["small", "large"];
const IMAGES: [&str; 3] = ["x", "y", "z"];

fn room() -> impl Strategy<Value = Resources> {
    (0..9u64, 0..3u64, 0..5u64).prop_map(|(c, g, m)| Resources {
        milli_cpus: c * 500,
        milli_gpus: g * 1000,
        memory_mb: m * 4000,
    })
}

fn machine(n: usize) -> impl Strategy<Value = MachineView> {
    (
        room(),
        room(),
        0..3usize,
        0..2usize,
        any::<[bool; 3]>(),
        0..3u16,
        0..3u16,
        prop::sample::subsequence(IMAGES.to_vec(), 0..=3),
    )
        .prop_map(
            move |(free, soft, zone, kind, [spot, up, open], busy, lasting, images)| MachineView {
                id: named(n),
                machine_type: KINDS[kind].into(),
                zone: ZONES[zone].into(),
                spot,
                registered: up,
                schedulable: open,
                draining: false,
                free,
                preemptible: [soft, soft, Resources::default()],
                preemptible_or_over_quota: [soft; 3],
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

fn named(n: usize) -> MachineId {
    MachineId::from(format!("n-{n:03}").as_str())
}

fn machines() -> impl Strategy<Value = Vec<MachineView>> {
    (0..80usize).prop_flat_map(|n| (0..n).map(machine).collect::<Vec<_>>())
}

#[derive(Clone, Debug)]
struct Wish {
    need: Resources,
    types: Option<Vec<String>>,
    zones: Option<Vec<&'static str>>,
    spot: bool,
    lasting: bool,
    image: &'static str,
    avoid: Vec<MachineId>,
    only: Option<BTreeSet<MachineId>>,
    frugal: bool,
}

fn wish() -> impl Strategy<Value = Wish> {
    (
        room(),
        prop::option::of(prop::sample::subsequence(KINDS.to_vec(), 0..=2)),
        prop::option::of(prop::sample::subsequence(ZONES.to_vec(), 0..=3)),
        any::<[bool; 3]>(),
        prop::sample::select(IMAGES.to_vec()),
        prop::collection::vec(0..80usize, 0..3),
        prop::option::weighted(0.2, prop::collection::btree_set(0..80usize, 0..20)),
    )
        .prop_map(
            |(need, types, zones, [spot, lasting, frugal], image, avoid, only)| Wish {
                need,
                types: types.map(|t| t.into_iter().map(str::to_owned).collect()),
                zones,
                spot,
                lasting,
                image,
                avoid: avoid.into_iter().map(named).collect(),
                only: only.map(|only| only.into_iter().map(named).collect()),
                frugal,
            },
        )
}

impl Wish {
    fn ask(&self) -> PlacementRequest<'_> {
        PlacementRequest {
            need: self.need,
            types: self.types.as_deref(),
            zones: self.zones.clone(),
            spot: self.spot,
            lasting: self.lasting,
            image: self.image,
            image_mb: 1_000,
            avoid: &self.avoid,
            only: self.only.as_ref(),
            frugal: self.frugal,
        }
    }

    fn allows(&self, m: &MachineView) -> bool {
        m.registered && m.schedulable
            && (self.spot || !m.spot)
            && self.types.as_ref().is_none_or(|t| t.contains(&m.machine_type))
            && self
                .zones
                .as_ref()
                .is_none_or(|z| z.contains(&m.zone.as_str()))
            && !self.avoid.contains(&m.id)
            && self.only.as_ref().is_none_or(|o| o.contains(&m.id))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Pushing out is offered only where it suffices, and with least missing.
    #[test]
    fn evict_fit_suffices(machines in machines(), wish in wish(), over in any::<bool>(), with_image in any::<bool>()) {
        let suffices = |m: &MachineView| {
            let soft = if over { m.preemptible_or_over_quota } else { m.preemptible };
            wish.allows(m) && (!with_image || m.cached_images.iter().any(|i| i == wish.image)) && m.free.plus(&soft[Priority::High.index()]).covers(&wish.need)
        };
        match PlacementIndex::new(&machines).evict_fit(&wish.ask(), Priority::High, over, with_image, None) {
            Some(i) => prop_assert!(suffices(&machines[i])),
            None => prop_assert!(!machines.iter().any(suffices)),
        }
    }

    /// Taking room never makes more of it.
    #[test]
    fn taking_room_takes_it(machines in machines(), wish in wish()) {
        let mut field = PlacementIndex::new(&machines);
        if let Some(i) = field.first_fit(&wish.ask()) {
            let before = field.slots[i].free;
            field.take(i, &wish.need, wish.image);
            prop_assert_eq!(field.slots[i].free.plus(&wish.need), before);
            // The image is there, or now on its way.
            let again = field.find(&field.slots[i].id.clone()).expect("there");
            prop_assert!(field.has_image(again, wish.image) || field.slots[again].fetches > 0);
            // What an owner told comes back whole.
            field.restore(i);
            prop_assert_eq!(field.slots[i].free, before);
            prop_assert_eq!(field.first_fit(&wish.ask()), Some(i));
        }
    }
}
