//! Last known progress in the store, and in the cache of a controller.

use lemonweir_model::JobId;
use lemonweir_protocol::kv_store::{WatchEvent, Write};
use lemonweir_protocol::last_progress::{LastProgressRow, pack_row};
use lemonweir_storage::StateCache;
use lemonweir_storage::last_progress::{
    LastPhase, LastProgress, PackedProgress, write_last_progress,
};

const SHARD: u16 = 2;
const KNOWN_AT_MS: u64 = 100_000;

fn id(n: u32) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

/// A page that lists one job of which a task runs.
fn page(n: u32) -> Vec<u8> {
    let mut packed = Vec::new();
    let row = LastProgressRow {
        job: id(n),
        tasks_done: 3,
        tasks_running: 1,
        may_run: false,
        age_s: 7,
    };
    assert!(pack_row(&mut packed, &row));
    packed
}

/// The changes that write these pages, of which `before` were stored.
fn changes(pages: &[u32], upto: Option<JobId>, known_at_ms: u64, before: usize) -> Vec<WatchEvent> {
    let progress = PackedProgress {
        pages: pages.iter().map(|n| page(*n)).collect(),
        upto,
    };
    let cas = write_last_progress(SHARD, 40, &progress, known_at_ms, before);
    let event = |write| match write {
        Write::Put { key, value, lease } => {
            assert_eq!(lease, None, "it must outlive its writer");
            WatchEvent {
                set: Some(key),
                drop: None,
                value: Some(value),
                version: 41,
            }
        }
        Write::Delete { key } => WatchEvent {
            set: None,
            drop: Some(key),
            value: None,
            version: 41,
        },
    };
    cas.writes.into_iter().map(event).collect()
}

fn phase(cache: &StateCache, n: u32) -> Option<LastPhase> {
    cache
        .last_progress
        .get(SHARD, &id(n))
        .map(|last| last.phase)
}

#[test]
fn listed_jobs_have_their_own_age_and_others_are_queued() {
    let mut cache = StateCache::default();
    assert_eq!(cache.last_progress.get(SHARD, &id(1)), None);
    cache.apply_changes(&changes(&[1, 2], None, KNOWN_AT_MS, 0), 41, 0);
    let listed = LastProgress {
        tasks_done: 3,
        phase: LastPhase::Running(1),
        known_at_ms: KNOWN_AT_MS - 7_000,
    };
    assert_eq!(cache.last_progress.get(SHARD, &id(2)), Some(listed));
    let queued = LastProgress {
        tasks_done: 0,
        phase: LastPhase::Queued,
        known_at_ms: KNOWN_AT_MS,
    };
    assert_eq!(cache.last_progress.get(SHARD, &id(3)), Some(queued));
    assert_eq!(cache.last_progress.get(SHARD + 1, &id(1)), None);
}

/// Guards against a running job that counts as queued since its page is missing, of an earlier write,
/// or did not fit.
#[test]
fn incomplete_pages_tell_nothing_of_jobs_that_they_do_not_list() {
    let mut cache = StateCache::default();
    cache.apply_changes(&changes(&[1, 2], None, KNOWN_AT_MS, 0)[..1], 41, 0);
    assert_eq!(phase(&cache, 1), Some(LastPhase::Running(1)));
    assert_eq!(phase(&cache, 2), None, "the second page is missing");
    cache.apply_changes(&changes(&[1, 2], None, KNOWN_AT_MS - 1, 0)[1..], 41, 0);
    assert_eq!(phase(&cache, 2), None, "the second page is older");
    let truncated = changes(&[1], Some(id(1)), KNOWN_AT_MS, 2);
    cache.apply_changes(&truncated, 41, 0);
    assert_eq!(phase(&cache, 0), Some(LastPhase::Queued));
    assert_eq!(phase(&cache, 2), None, "beyond what is covered");
    assert_eq!(cache.last_progress.page_count(SHARD), 1);
}
