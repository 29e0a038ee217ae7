//! Job records of every size that a submission allows: each change is written within the lowest
//! limits that the store may have, and read back as it was.

use lemonweir_model::constants::{MAX_CAS_BYTES, PAGED_SPEC_VERSION};
use lemonweir_model::{JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, Condition, KeyValue, WatchEvent, Write, to_value, value_size,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::dependencies::{blocked_job_key, create_blocked_job, unblock_job};
use lemonweir_storage::records::*;
use lemonweir_storage::spec_pages::{SpecPageId, StoredJobRecord};

/// Lowest limit of a value, bytes.
const VALUE_LIMIT: usize = 2_048;
/// Lowest limit of the writes of a transaction.
const WRITE_LIMIT: usize = 4;
/// Sizes of submissions, bytes: from a small one to more than a request may hold.
const SPEC_SIZES: [usize; 8] = [200, 1_000, 1_500, 2_100, 4_000, 8_000, 20_000, 66_000];
/// Numbers of dependencies: none, one, a full page and two more.
const DEPENDENCY_COUNTS: [usize; 4] = [0, 1, 40, 81];

fn id(number: usize) -> JobId {
    JobId::from(format!("req-{number:020}").as_str())
}

/// A job whose specification takes about `bytes`, with this many dependencies.
fn job(bytes: usize, dependencies: usize) -> JobRecord {
    let machine_type = |n: usize| format!("größe-{n:0>40}");
    JobRecord {
        spec: JobSpec {
            id: id(412),
            class: "train \"nightly\"".into(),
            team: "vision".into(),
            kind: JobKind::Array,
            priority: Priority::Normal,
            tasks: 16,
            cpus: 8.25,
            gpus: 0.1,
            memory_gb: 64.5,
            machine_types: Some((0..bytes / 50).map(machine_type).collect()),
            zone: None,
            same_zone: false,
            spread: false,
            allow_spot: true,
            image: "img-07".into(),
            image_gb: 6.2,
            estimated_runtime_s: 240.0,
            checkpoint_interval_s: 0.0,
            checkpoint_duration_s: 0.0,
            deadline_s: Some(900.0),
            depends_on: (1..=dependencies).map(id).collect(),
        },
        submitted_at_ms: 1_790_000_000_000,
        cancel_requested: false,
        dependency_count: 0,
    }
}

/// A store that rejects what its lowest limits don't allow, and a cache of it.
struct Store {
    cache: StateCache,
    entries: std::collections::BTreeMap<String, (rmpv::Value, u64)>,
    revision: u64,
}

impl Store {
    /// A store whose records have this version.
    fn new(record_version: u32) -> Self {
        let mut store = Self {
            cache: StateCache::default(),
            entries: Default::default(),
            revision: 0,
        };
        store.cache.load_snapshot(&[], 0);
        store.write(&advance_record_version(record_version, 0));
        store
    }

    fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |(_, version)| *version)
    }

    /// Executes transactions in order, within the lowest limits.
    fn commit(&mut self, cas_list: &[CompareAndSwap]) {
        for cas in cas_list {
            assert_within_limits(cas);
            self.write(cas);
        }
    }

    /// Executes a transaction under higher limits.
    fn write(&mut self, cas: &CompareAndSwap) {
        for Condition { key, version } in &cas.conditions {
            assert_eq!(self.version(key), *version, "{key}");
        }
        self.revision += 1;
        let mut events = Vec::new();
        for write in &cas.writes {
            let mut event = WatchEvent {
                set: None,
                drop: None,
                value: None,
                version: self.revision,
            };
            match write {
                Write::Put { key, value, .. } => {
                    self.entries
                        .insert(key.clone(), (value.clone(), self.revision));
                    (event.set, event.value) = (Some(key.clone()), Some(value.clone()));
                }
                Write::Delete { key } => {
                    self.entries.remove(key);
                    event.drop = Some(key.clone());
                }
            }
            events.push(event);
        }
        self.cache.apply_changes(&events, self.revision, 0);
    }

    fn fit(&self, cas: CompareAndSwap) -> Vec<CompareAndSwap> {
        self.cache.job_record_writer(WRITE_LIMIT).fit(cas)
    }

    fn create(&mut self, record: &JobRecord) {
        let cas_list = if record.spec.depends_on.is_empty() {
            vec![create_job(record)]
        } else {
            create_blocked_job(record, WRITE_LIMIT)
        };
        for cas in cas_list {
            let fitted = self.fit(cas);
            self.commit(&fitted);
        }
    }

    /// The keys and values, as a controller lists them at its start.
    fn listing(&self) -> Vec<KeyValue> {
        let entry = |(key, (value, version)): (&String, &(rmpv::Value, u64))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        };
        self.entries.iter().map(entry).collect()
    }
}

fn assert_within_limits(cas: &CompareAndSwap) {
    assert!(
        cas.writes.len() <= WRITE_LIMIT,
        "{} writes",
        cas.writes.len()
    );
    assert!(cas.total_value_size() <= MAX_CAS_BYTES);
    for write in &cas.writes {
        if let Write::Put { key, value, .. } = write {
            let bytes = serde_json::to_vec(value).expect("JSON").len();
            assert!(bytes <= VALUE_LIMIT, "{key}: {bytes} bytes");
            assert!(value_size(value) <= VALUE_LIMIT, "{key}");
        }
    }
}

/// Every change of a job, from the submission to its cancellation, fits the lowest limits, and
/// what the user asked for is read back unchanged, from the changes and from a listing.
#[test]
fn every_change_of_a_job_fits_the_lowest_limits() {
    for bytes in SPEC_SIZES {
        for dependencies in DEPENDENCY_COUNTS {
            let accepted = job(bytes, dependencies);
            let mut store = Store::new(PAGED_SPEC_VERSION);
            store.create(&accepted);
            if dependencies > 0 {
                let blocked = store.cache.blocked_jobs[&id(412)].clone();
                assert_eq!(
                    store.cache.dependencies(&id(412)),
                    Some(accepted.spec.depends_on.clone())
                );
                let release = store.fit(unblock_job(&blocked.record, blocked.version, &[]));
                store.commit(&release);
                assert!(!store.cache.blocked_jobs.contains_key(&id(412)));
            }
            let wanted = JobSpec {
                depends_on: Vec::new(),
                ..accepted.spec.clone()
            };
            let released = store.cache.jobs[&id(412)].clone();
            assert_eq!(released.record.spec, wanted);
            let cancellation = store.fit(request_cancellation(&released.record, released.version));
            store.commit(&cancellation);
            let mut restarted = StateCache::default();
            restarted.load_snapshot(&store.listing(), store.revision);
            for cache in [&store.cache, &restarted] {
                let cancelled = &cache.jobs[&id(412)].record;
                assert_eq!(cancelled.spec, wanted);
                assert!(cancelled.cancel_requested && cancelled.dependency_count == 0);
                assert_eq!(cancelled.submitted_at_ms, accepted.submitted_at_ms);
            }
        }
    }
}

/// Records as the version before wrote them, whole whatever their size, are changed within the
/// lowest limits once every controller reads the paged form.
#[test]
fn whole_record_of_the_previous_version_is_changed_within_the_lowest_limits() {
    for bytes in SPEC_SIZES {
        for dependencies in DEPENDENCY_COUNTS {
            let accepted = job(bytes, dependencies);
            let mut store = Store::new(PAGED_SPEC_VERSION);
            if dependencies == 0 {
                store.write(&create_job(&accepted));
            } else {
                for cas in create_blocked_job(&accepted, WRITE_LIMIT) {
                    store.write(&cas);
                }
                let blocked = store.cache.blocked_jobs[&id(412)].clone();
                let release = store.fit(unblock_job(&blocked.record, blocked.version, &[]));
                store.commit(&release);
            }
            let job = store.cache.jobs[&id(412)].clone();
            let cancellation = store.fit(request_cancellation(&job.record, job.version));
            store.commit(&cancellation);
            let cancelled = &store.cache.jobs[&id(412)].record;
            assert!(cancelled.cancel_requested);
            assert_eq!(cancelled.spec.machine_types, accepted.spec.machine_types);
        }
    }
}

/// Controllers of the version before read only whole records.
#[test]
fn records_are_written_whole_until_every_controller_reads_pages() {
    let store = Store::new(PAGED_SPEC_VERSION - 1);
    let cas = create_job(&job(8_000, 0));
    assert_eq!(store.fit(cas.clone()), [cas]);
}

/// A small record costs one write, as before.
#[test]
fn small_record_is_written_whole() {
    let store = Store::new(PAGED_SPEC_VERSION);
    let cas = create_job(&job(500, 0));
    assert_eq!(store.fit(cas.clone()), [cas]);
}

/// Pages are written under the conditions of the change that needs them, so that none is written
/// after the end of its job, however late.
#[test]
fn late_page_is_not_written_after_the_end_of_its_job() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    let submission = store.fit(create_job(&job(8_000, 0)));
    store.commit(&submission);
    let accepted = store.cache.jobs[&id(412)].clone();
    store.write(&CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![
            Write::put(
                end_key(&id(412)),
                &JobEndRecord {
                    phase: JobPhase::Done,
                },
            ),
            Write::Delete {
                key: job_key(&id(412)),
            },
        ],
    });
    let mut empty = Store::new(PAGED_SPEC_VERSION);
    empty.write(&create_job(&accepted.record));
    let cancellation = empty.fit(request_cancellation(&accepted.record, accepted.version));
    for late in [&submission[0], &cancellation[0]] {
        assert!(
            late.writes
                .iter()
                .all(|write| write.key().starts_with("w/spec/"))
        );
        assert!(
            late.conditions
                .iter()
                .any(|condition| store.version(&condition.key) != condition.version)
        );
    }
}

/// Pages that are stored already are not written again: a submission that was interrupted goes
/// on where it stopped, and later changes write the record alone.
#[test]
fn stored_pages_are_not_written_again() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    let record = job(20_000, 0);
    let all = store.fit(create_job(&record));
    assert!(all.len() > 3, "{} transactions", all.len());
    store.commit(&all[..2]);
    assert!(!store.cache.is_known(&id(412)), "not accepted yet");
    let remaining = store.fit(create_job(&record));
    assert_eq!(remaining, all[2..]);
    store.commit(&remaining);
    let accepted = store.cache.jobs[&id(412)].clone();
    let cancellation = store.fit(request_cancellation(&accepted.record, accepted.version));
    assert_eq!(cancellation.len(), 1);
    assert_eq!(cancellation[0].writes.len(), 1);
}

/// Two submissions under one id, of which the first was interrupted: a late page of the first
/// does not change the specification of the second.
#[test]
fn late_page_of_another_submission_changes_nothing() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    let (first, second) = (job(4_000, 0), job(8_000, 0));
    let interrupted = store.fit(create_job(&first));
    let accepted = store.fit(create_job(&second));
    let (record, pages) = accepted.split_last().expect("a record");
    store.commit(pages);
    store.commit(&interrupted[..1]);
    store.commit(std::slice::from_ref(record));
    assert_eq!(store.cache.jobs[&id(412)].record.spec, second.spec);
}

/// A page may be read after the record that names it. Until then the job is not cached, and a
/// stored key shows that it exists.
#[test]
fn job_is_cached_once_all_of_its_pages_are() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    store.create(&job(8_000, 0));
    let is_page = |entry: &KeyValue| entry.key.starts_with("w/spec/");
    let (mut pages, others): (Vec<_>, Vec<_>) = store.listing().into_iter().partition(is_page);
    let late = pages.pop().expect("a page");
    let mut cache = StateCache::default();
    cache.load_snapshot(&[others, pages].concat(), store.revision);
    assert!(!cache.jobs.contains_key(&id(412)));
    assert_eq!(cache.orphaned_spec_pages().count(), 0);
    let event = WatchEvent {
        set: Some(late.key),
        drop: None,
        value: Some(late.value),
        version: late.version,
    };
    cache.apply_changes(&[event], store.revision + 1, 0);
    assert_eq!(cache.jobs[&id(412)].record.spec, job(8_000, 0).spec);
}

/// Pages are orphaned once neither key of their job exists.
#[test]
fn pages_are_orphaned_with_the_last_record_of_their_job() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    store.create(&job(8_000, 1));
    let blocked = store.cache.blocked_jobs[&id(412)].clone();
    let release = store.fit(unblock_job(&blocked.record, blocked.version, &[]));
    store.commit(&release);
    assert_eq!(store.cache.orphaned_spec_pages().count(), 0);
    store.write(&CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![Write::Delete {
            key: job_key(&id(412)),
        }],
    });
    let orphaned: Vec<SpecPageId> = store.cache.orphaned_spec_pages().cloned().collect();
    let stored = store
        .entries
        .keys()
        .filter_map(|key| SpecPageId::parse(key.strip_prefix("w/spec/")?))
        .collect::<Vec<_>>();
    assert!(!stored.is_empty());
    assert_eq!(orphaned, stored);
}

/// Both forms are told apart, and nothing else is taken for a job.
#[test]
fn both_forms_of_a_record_are_read() {
    let mut store = Store::new(PAGED_SPEC_VERSION);
    store.create(&job(8_000, 2));
    let (paged, _) = &store.entries[&blocked_job_key(&id(412))];
    assert!(matches!(
        StoredJobRecord::read(paged),
        Some(StoredJobRecord::Paged(record)) if record.depends_on == [id(1), id(2)]
    ));
    let whole = to_value(&job(200, 0));
    assert!(matches!(
        StoredJobRecord::read(&whole),
        Some(StoredJobRecord::Whole(_))
    ));
    assert!(StoredJobRecord::read(&to_value(&ShardRecord { host: "h".into() })).is_none());
}
