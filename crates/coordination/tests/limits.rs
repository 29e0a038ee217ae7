//! Image location records of a fleet of 4,000 machines, and the size limits of the store.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use std::collections::BTreeMap;

use lemonweir_coordination::owner::Owner;
use lemonweir_coordination::{Config, store_message_piece_bytes};
use lemonweir_model::MachineId;
use lemonweir_model::constants::{MAX_BODY_BYTES, MAX_CAS_BYTES};
use lemonweir_protocol::peer::{ChangeRange, DesiredAttempt, ObservedState, encoded_len};
use lemonweir_storage::records::ImageLocationsRecord;
use support::*;

/// Number of machines in the fleet.
const MACHINES: usize = 4_000;
/// Size limit of a stored value, bytes.
const VALUE_BYTES: usize = 8 * 1024;
/// Pages of that size that fit in one compare-and-swap.
const PAGES_PER_CAS: usize = MAX_CAS_BYTES / VALUE_BYTES;

/// A fleet in which every machine runs a task with one of 40 images.
fn busy_fleet(machines: usize) -> Owner {
    let mut owner = owner_with_machines(machines);
    run_on_all(&mut owner, machines, 1);
    owner
}

/// Starts a task on every machine; machine n gets image n % 40 of this round.
fn run_on_all(owner: &mut Owner, machines: usize, round: u32) {
    run_images(owner, machines, round, |n| {
        format!("img-{round}-{:02}", n % 40)
    });
}

/// Starts a task on every machine, with the image that `image` names for the machine.
fn run_images(owner: &mut Owner, machines: usize, round: u32, image: impl Fn(usize) -> String) {
    let wants: Vec<DesiredAttempt> = (0..machines)
        .map(|n| DesiredAttempt {
            image: image(n),
            image_mb: 500,
            ..desired_attempt(round * machines as u32 + n as u32, n)
        })
        .collect();
    let last_revision = u64::from(round) * machines as u64;
    let range = ChangeRange {
        since: last_revision - machines as u64,
        until: last_revision,
        complete: true,
    };
    owner
        .sync(
            &sync_request(u64::from(round), range, wants, ObservedState::default()),
            MAX_MESSAGE_BYTES,
            20,
        )
        .expect("sync accepted");
    for n in 0..machines {
        let task = running_task(round as usize * machines + n);
        let report = lemonweir_protocol::worker::Heartbeat {
            tasks: vec![task],
            ..heartbeat(n, u64::from(round) + 1)
        };
        assert!(owner.handle_heartbeat(&report, None, 30).is_some());
    }
}

/// The stored pages; asserts that each write fits in a compare-and-swap.
#[derive(Default)]
struct StoredPages(BTreeMap<usize, ImageLocationsRecord>);

impl StoredPages {
    fn write(&mut self, pages: Vec<(usize, Option<ImageLocationsRecord>)>) {
        let bytes: usize = pages
            .iter()
            .filter_map(|(_, page)| page.as_ref())
            .map(|page| serde_json::to_vec(page).expect("JSON").len())
            .sum();
        assert!(
            bytes <= MAX_BODY_BYTES,
            "{bytes} bytes in a compare-and-swap"
        );
        assert!(pages.len() <= PAGES_PER_CAS);
        for (at, page) in pages {
            match page {
                Some(page) => drop(self.0.insert(at, page)),
                None => drop(self.0.remove(&at)),
            }
        }
    }

    fn image_counts(&self) -> BTreeMap<MachineId, usize> {
        let mut all = BTreeMap::new();
        for (machine, images) in self.0.values().flat_map(|page| &page.machines) {
            *all.entry(machine.clone()).or_default() += images.len();
        }
        all
    }
}

/// The image locations of the whole fleet take more pages than one compare-and-swap holds: they
/// are written in several, until none is left.
#[test]
fn images_of_all_machines_are_recorded() {
    let mut owner = busy_fleet(MACHINES);
    let mut stored = StoredPages::default();
    let mut writes = 0;
    for at in 1..100 {
        let pages = owner.changed_image_pages(at * 60_000, VALUE_BYTES, PAGES_PER_CAS);
        if pages.is_empty() {
            break;
        }
        writes += 1;
        stored.write(pages);
    }
    assert!(writes > 1 && writes < 99, "{writes} compare-and-swaps");
    assert_eq!(stored.image_counts().len(), MACHINES);
}

/// The last pages are written even if the first ones change before every write.
#[test]
fn constantly_changing_pages_do_not_starve_the_last() {
    let mut owner = busy_fleet(MACHINES);
    let mut stored = StoredPages::default();
    for at in 1..80u32 {
        // A new image on each machine changes every page.
        if at < 10 {
            run_on_all(&mut owner, MACHINES, at + 1);
        }
        stored.write(owner.changed_image_pages(u64::from(at) * 60_000, VALUE_BYTES, PAGES_PER_CAS));
        if at == 9 {
            let pages = stored.0.len();
            assert!(pages >= 9 * PAGES_PER_CAS / 2, "{pages} pages are written");
        }
    }
    assert_eq!(stored.image_counts().len(), MACHINES);
}

/// When most machines are released at once, none of their pages stays in the store.
#[test]
fn pages_of_released_machines_are_deleted() {
    let mut owner = busy_fleet(MACHINES);
    let mut stored = StoredPages::default();
    for at in 1..40 {
        stored.write(owner.changed_image_pages(at * 60_000, VALUE_BYTES, PAGES_PER_CAS));
    }
    let before = stored.0.len();
    assert!(before > 2 * PAGES_PER_CAS, "{before} pages");
    let released: Vec<MachineId> = (40..MACHINES).map(machine_id).collect();
    owner.handle_release_result(&released, true, 50);
    for at in 40..80 {
        stored.write(owner.changed_image_pages(at * 60_000, VALUE_BYTES, PAGES_PER_CAS));
    }
    assert_eq!(stored.0.len(), 1);
    assert_eq!(stored.image_counts().len(), 40);
}

/// The pages of one write fit in a compare-and-swap, whatever the size limit of a value.
#[test]
fn image_record_write_fits_a_compare_and_swap() {
    for value_kb in [2.0, 4.0, 8.0, 64.0, 1_024.0] {
        for txn_ops in [4, 32, 512] {
            let mut settings = controllers::settings(1);
            settings.cluster.kv_store.max_value_kib = value_kb;
            settings.cluster.kv_store.max_cas_ops = txn_ops;
            let config = Config::new(&settings);
            let pages = config.value_pages_per_cas();
            assert!(pages >= 1 && pages <= txn_ops);
            assert!(pages == 1 || pages * config.value_bytes <= MAX_BODY_BYTES);
        }
    }
}

/// Lowest size limit of a stored value, bytes.
const LOWEST_VALUE_BYTES: usize = 2 * 1024;
/// Rounds after which a machine holds as many images as are recorded of it.
const ROUNDS: u32 = 24;

/// An image name as long as a submission may have it.
fn long_image_name(n: usize) -> String {
    format!("img-reader-sha256-{n:0>182}")
}

/// Guards against a page that the store refuses for ever, with all pages of the same write: the
/// images of one machine alone take more than a value may.
#[test]
fn images_of_one_machine_fit_the_lowest_value_limit() {
    let mut owner = owner_with_machines(3);
    for round in 1..=ROUNDS {
        run_images(&mut owner, 3, round, |n| {
            long_image_name(100 * n + round as usize)
        });
    }
    let pages = owner.changed_image_pages(60_000, LOWEST_VALUE_BYTES, 10);
    let mut recorded = 0;
    for (_, page) in pages {
        let page = page.expect("a page");
        let bytes = serde_json::to_vec(&page).expect("JSON").len();
        assert!(bytes <= LOWEST_VALUE_BYTES, "{bytes} bytes");
        recorded += page
            .machines
            .iter()
            .filter(|(_, images)| images.len() > 4)
            .count();
    }
    assert_eq!(
        recorded, 3,
        "each machine with its most recently used images"
    );
}

/// Guards against an owner whose changes never arrive through the store: the image names of one
/// machine take more than a message there may hold.
#[test]
fn machine_with_many_images_fits_a_message_through_the_store() {
    let mut settings = controllers::settings(1);
    settings.cluster.kv_store.max_value_kib = LOWEST_VALUE_BYTES as f64 / 1_024.0;
    settings.cluster.kv_store.max_cas_ops = 4;
    let config = Config::new(&settings);
    let capacity = store_message_piece_bytes(config.value_bytes) * config.cas_max_changes;
    let mut owner = owner_with_machines(3);
    for round in 1..=ROUNDS {
        run_images(&mut owner, 3, round, |n| {
            long_image_name(100 * n + round as usize)
        });
    }
    let mut observed = ObservedState::default();
    let mut seen = Vec::new();
    for seq in 100..200 {
        let unchanged = ChangeRange {
            since: u64::from(ROUNDS + 1) * 3,
            until: u64::from(ROUNDS + 1) * 3,
            complete: true,
        };
        let request = sync_request(seq, unchanged, Vec::new(), observed);
        let view = owner
            .sync(&request, config.store_message_bytes, 60_000)
            .expect("sync accepted");
        let bytes = encoded_len(&view);
        assert!(bytes <= capacity, "{bytes} of {capacity} bytes");
        seen.extend(view.machines.iter().map(|machine| machine.id.clone()));
        observed = ObservedState {
            machines_revision: view.machines_range.until,
            attempts_revision: view.attempts_range.until,
        };
        if view.machines_range.complete && view.attempts_range.complete {
            break;
        }
    }
    for n in 0..3 {
        assert!(seen.contains(&machine_id(n)));
    }
}
