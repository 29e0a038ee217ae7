//! Golden samples of every stored record, key and transaction: each must encode to the bytes
//! of its sample, and the sample must round-trip.
//!
//! A sample holds MessagePack bytes as hex and their decoded value as JSON. The samples were
//! written once; a record that differs from its sample can't be read by deployed controllers.

#[path = "../../protocol/tests/support/golden.rs"]
mod golden;

use base64::prelude::{BASE64_STANDARD, Engine};
use golden::Golden;
use lemonweir_model::constants::{
    DEPENDENCIES_PER_PAGE, FAILOVER_RECORDS_KEPT, PACKED_RECORD_VERSION, PAGED_SPEC_VERSION,
    TASKS_PER_CHUNK,
};
use lemonweir_model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, from_value, to_value};
use lemonweir_protocol::last_progress::{LastProgressRow, pack_row};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::{decode, encode};
use lemonweir_storage::dependencies::*;
use lemonweir_storage::failovers::{
    FailoverCompletion, FailoverRecord, LeadershipChange, NewFailover, failover_key,
    parse_failover_key,
};
use lemonweir_storage::last_progress::{
    LastProgressPage, PackedProgress, last_progress_key, write_last_progress,
};
use lemonweir_storage::packed_chunk::{chunk_value, read_chunk};
use lemonweir_storage::records::*;
use lemonweir_storage::spec_pages::{
    CachedSpecPages, JobRecordWriter, PagedJobRecord, SpecPage, SpecPageId, SpecPages,
};
use rmpv::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

// ---- comparison ------------------------------------------------------------

impl Golden {
    /// Compares a stored value with its sample, and returns the decoded sample.
    fn value(&mut self, name: &str, value: &Value) -> Value {
        let bytes = self.assert_encoded(name, &encode(value));
        let read: Value = decode(&bytes).expect("MessagePack");
        assert_eq!(
            serde_json::to_value(&read).expect("JSON"),
            self.samples[name].reads,
            "{name} decodes to its sample"
        );
        assert_eq!(encode(&read), bytes, "{name} round-trips as a value");
        read
    }

    /// Compares a record with its sample, and returns the decoded record.
    fn record<T: Serialize + DeserializeOwned>(&mut self, name: &str, record: &T) -> T {
        let stored = self.value(name, &to_value(record));
        assert_eq!(
            encode(record),
            encode(&stored),
            "{name} encodes the same directly and as a value"
        );
        let read: T = from_value(&stored).unwrap_or_else(|| panic!("{name} is not decoded"));
        assert_eq!(to_value(&read), stored, "{name} round-trips");
        read
    }

    /// Compares a transaction with its sample.
    fn cas(&mut self, name: &str, cas: &CompareAndSwap) {
        let stored = self.value(name, &to_value(cas));
        assert_eq!(
            encode(cas),
            encode(&stored),
            "{name} encodes the same directly and as a value"
        );
        let read: CompareAndSwap =
            from_value(&stored).unwrap_or_else(|| panic!("{name} is not decoded"));
        assert_eq!(&read, cas, "{name} round-trips");
    }
}

// ---- values ----------------------------------------------------------------

const NOW: u64 = 1_790_000_000_000;

fn id(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn job(dependencies: usize, cancelled: bool) -> JobRecord {
    JobRecord {
        spec: JobSpec {
            id: id(412),
            class: "train".into(),
            team: "vision".into(),
            kind: JobKind::Gang,
            priority: Priority::High,
            tasks: 16,
            cpus: 8.25,
            gpus: 1.0,
            memory_gb: 64.5,
            machine_types: Some(vec!["g8".into()]),
            zone: None,
            same_zone: true,
            spread: false,
            allow_spot: true,
            image: "img-07".into(),
            image_gb: 6.2,
            estimated_runtime_s: 240.0,
            checkpoint_interval_s: 30.0,
            checkpoint_duration_s: 4.0,
            deadline_s: Some(900.0),
            depends_on: (1..=dependencies).map(id).collect(),
        },
        submitted_at_ms: NOW,
        cancel_requested: cancelled,
        dependency_count: dependencies,
    }
}

fn chunk(index: u32, gang: Option<GangAdmissionStep>) -> TaskChunkRecord {
    let first = index * TASKS_PER_CHUNK;
    let live = |t, a, m: &str, p, z: &str| LiveAttemptRecord {
        task: first + t,
        attempt: a,
        machine: MachineId::from(m),
        shard: p,
        zone: z.into(),
    };
    TaskChunkRecord {
        team: "vision".into(),
        task_resources: Resources {
            milli_cpus: 8_250,
            milli_gpus: 1_000,
            memory_mb: 64_500,
        },
        next_attempt: 9,
        done_ranges: vec![(first, first + 2), (first + 4, first + 4)],
        live_attempts: vec![
            live(3, 7, "n-000231", 1, "eemsmond"),
            live(5, 8, "n-0.2.32", 2, "rijnmond"),
            live(63, 6, "n-000233", 1, "eemsmond"),
        ],
        gang: gang.map(|step| GangAdmissionRecord {
            step,
            at_ms: NOW,
            attempt: 7,
        }),
    }
}

fn failover(reason: LeadershipChange, from: Option<&str>, to: Option<&str>) -> FailoverRecord {
    FailoverRecord {
        number: 35,
        previous_leader: from.map(str::to_owned),
        new_leader: to.map(str::to_owned),
        change: reason,
        at_ms: NOW,
        up: Some((30, 20, 10)),
        completion: None,
    }
}

fn entry(reason: LeadershipChange, from: Option<&str>, to: Option<&str>) -> NewFailover {
    NewFailover {
        shard: 2,
        slot_version: 33,
        record: failover(reason, from, to),
    }
}

// ---- records ---------------------------------------------------------------

/// Packed rows of a job of which two tasks ran 17 s ago, and of one that may have begun to run.
fn last_progress_rows() -> Vec<u8> {
    let mut packed = Vec::new();
    for (n, tasks_running, may_run, age_s) in [(411, 2, false, 17), (412, 0, true, 0)] {
        let row = LastProgressRow {
            job: id(n),
            tasks_done: 300,
            tasks_running,
            may_run,
            age_s,
        };
        assert!(pack_row(&mut packed, &row));
    }
    packed
}

#[test]
fn records_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/records.json"));
    for (name, record) in [
        ("job", job(0, false)),
        ("job, cancellation asked for", job(0, true)),
        ("job that waits", job(2, false)),
    ] {
        let read = golden.record(name, &record);
        assert_eq!(
            (
                read.spec,
                read.submitted_at_ms,
                read.cancel_requested,
                read.dependency_count
            ),
            (
                record.spec,
                record.submitted_at_ms,
                record.cancel_requested,
                record.dependency_count
            )
        );
    }
    let shard = ShardRecord {
        host: "hutte-0".into(),
    };
    assert_eq!(golden.record("part", &shard), shard);
    let page = |upto| LastProgressPage {
        known_at_ms: 1_700_000_000_000,
        page_count: 2,
        upto,
        rows_base64: BASE64_STANDARD.encode(last_progress_rows()),
    };
    for (name, page) in [
        ("last progress", page(None)),
        ("last progress, not of all jobs", page(Some(id(412)))),
    ] {
        assert_eq!(golden.record(name, &page), page);
    }
    let controller = ControllerRecord {
        zone: "eemsmond".into(),
        peer_version: 3,
        ceded_shards: vec![2, 4],
        record_version: 1,
    };
    assert_eq!(golden.record("node", &controller), controller);
    let version = VersionRecord { version: 1 };
    assert_eq!(golden.record("version", &version), version);
    assert_eq!(
        golden
            .record("team", &TeamAssignmentRecord { shard: 2 })
            .shard,
        2
    );
    let page = DependencyPage {
        depends_on: vec![id(41), id(42)],
    };
    assert_eq!(golden.record("page of awaited jobs", &page), page);
    let page = SpecPage {
        text: "g6RuYW1l".into(),
    };
    assert_eq!(golden.record("page of a specification", &page), page);
    for (name, dependencies, cancelled) in [
        ("job, specification in pages", 0, true),
        ("job that waits, specification in pages", 2, false),
    ] {
        let paged = PagedJobRecord {
            spec_pages: SpecPages {
                count: 3,
                digest: "0123456789abcdef".into(),
            },
            submitted_at_ms: NOW,
            cancel_requested: cancelled,
            dependency_count: dependencies,
            depends_on: (1..=dependencies).map(id).collect(),
        };
        assert_eq!(golden.record(name, &paged), paged);
    }
    for (name, phase) in [
        ("end, done", JobPhase::Done),
        ("end, withdrawn", JobPhase::Withdrawn),
    ] {
        assert_eq!(golden.record(name, &JobEndRecord { phase }).phase, phase);
    }
    let images = ImageLocationsRecord {
        images: vec![("img-07".into(), 6_200), ("img-08".into(), 900)],
        machines: vec![
            (MachineId::from("n-000231"), vec![1, 0]),
            (MachineId::from("n-000232"), Vec::new()),
        ],
    };
    assert_eq!(golden.record("images", &images), images);
    let message = StoreMessageRecord {
        chunk_count: 2,
        message_id: (42, 7),
        payload_base64: "AAEC".into(),
    };
    assert_eq!(golden.record("piece of mail", &message), message);
    golden.assert_all_compared();
}

#[test]
fn task_records_match_their_samples_in_both_encodings() {
    let mut golden = Golden::parse(include_str!("samples/golden/chunks.json"));
    for (form, version) in [("plain", 0), ("packed", PACKED_RECORD_VERSION)] {
        for (case, index, record) in [
            ("no gang", 0, chunk(0, None)),
            ("no gang, third", 2, chunk(2, None)),
            (
                "gang planned",
                0,
                chunk(0, Some(GangAdmissionStep::Planned)),
            ),
            (
                "gang admitted",
                0,
                chunk(0, Some(GangAdmissionStep::Admitted)),
            ),
            (
                "gang released",
                0,
                chunk(0, Some(GangAdmissionStep::Released)),
            ),
            (
                "gang otherwise",
                0,
                chunk(0, Some(GangAdmissionStep::Other)),
            ),
            ("empty", 0, TaskChunkRecord::default()),
        ] {
            let name = format!("{form}, {case}");
            let stored = golden.value(&name, &chunk_value(&record, version));
            let read = read_chunk(&stored, index).expect("a task record");
            assert_eq!(read, record, "{name}");
            assert_eq!(chunk_value(&read, version), stored, "{name}");
        }
    }
    golden.assert_all_compared();
}

#[test]
fn failover_records_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/handovers.json"));
    let (a, b) = (Some("hutte-0"), Some("hutte-2"));
    for (name, record) in [
        ("vacant", failover(LeadershipChange::Vacant, None, a)),
        ("reborn", failover(LeadershipChange::Restarted, a, a)),
        (
            "handed back",
            failover(LeadershipChange::ReturnedHome, b, None),
        ),
        ("left", failover(LeadershipChange::Ceded, a, None)),
        ("otherwise", failover(LeadershipChange::Other, a, b)),
        (
            "closed, all known",
            FailoverRecord {
                completion: Some(FailoverCompletion {
                    reported_by: "hutte-0".into(),
                    state_loaded_ms: Some(310),
                    first_start_ms: Some(420),
                    services_restored_ms: Some(5_300),
                    found: Some((30, 4)),
                    gaps: vec![("serve".into(), 6_100)],
                    unknown: vec!["gaps".into()],
                    fencing_token: Some(42),
                    leadership_ms: Some(90_000),
                }),
                ..failover(LeadershipChange::Vacant, b, a)
            },
        ),
        (
            "closed, nothing known",
            FailoverRecord {
                up: None,
                completion: Some(FailoverCompletion::default()),
                ..failover(LeadershipChange::Vacant, b, a)
            },
        ),
    ] {
        assert_eq!(golden.record(name, &record), record, "{name}");
    }
    golden.assert_all_compared();
}

// ---- keys ------------------------------------------------------------------

#[test]
fn keys_keep_their_spelling() {
    assert_eq!(WATCHED_PREFIX, "w/");
    assert_eq!(END_PREFIX, "end/");
    assert_eq!(VERSION_KEY, "w/version");
    assert_eq!(job_key(&id(412)), "w/job/req-000412");
    assert_eq!(end_key(&id(412)), "end/req-000412");
    assert_eq!(shard_key(2), "w/part/2");
    assert_eq!(controller_key("hutte-0"), "w/node/hutte-0");
    assert_eq!(team_key("vision"), "w/team/vision");
    assert_eq!(task_chunks_prefix(2), "run/2/");
    assert_eq!(task_chunk_key(2, &id(412), 5), "run/2/req-000412/5");
    assert_eq!(image_locations_prefix(2), "img/2/");
    assert_eq!(image_locations_key(2, 3), "img/2/3");
    assert_eq!(blocked_job_key(&id(412)), "w/chain/req-000412");
    assert_eq!(dependency_page_key(&id(412), 3), "w/chain/req-000412/3");
    assert_eq!(failover_key(2, 35), "w/hand/2/3");
    assert_eq!(last_progress_key(2, 1), "w/progress/2/1");
    assert_eq!(
        store_message_key(StoreMessageKind::Sync, 1, 2, 3),
        "w/mail/sync/1/2/3"
    );
    assert_eq!(
        store_message_key(StoreMessageKind::View, 1, 2, 3),
        "w/mail/view/1/2/3"
    );
    assert_eq!(
        (
            DEPENDENCIES_PER_PAGE,
            TASKS_PER_CHUNK,
            FAILOVER_RECORDS_KEPT
        ),
        (40, 64, 32)
    );
}

#[test]
fn keys_are_parsed() {
    assert_eq!(
        parse_task_chunk_key("run/2/req-000412/5"),
        Some((id(412), 5))
    );
    assert_eq!(parse_image_locations_key("img/2/3"), Some(3));
    assert_eq!(parse_blocked_job_key("req-000412"), Some((id(412), 0)));
    assert_eq!(parse_blocked_job_key("req-000412/3"), Some((id(412), 3)));
    let page = SpecPageId {
        job: id(412),
        digest: "0123456789abcdef".into(),
        page: 3,
    };
    assert_eq!(page.key(), "w/spec/req-000412/0123456789abcdef/3");
    assert_eq!(
        SpecPageId::parse("req-000412/0123456789abcdef/3"),
        Some(page)
    );
    assert_eq!(SpecPageId::parse("req-000412/0123456789abcdef"), None);
    assert_eq!(parse_failover_key("2/3"), Some((2, 3)));
    for (rest, kind) in [
        ("sync/1/2/3", StoreMessageKind::Sync),
        ("view/1/2/3", StoreMessageKind::View),
    ] {
        let route = StoreMessageRoute {
            kind,
            from_shard: 1,
            to_shard: 2,
        };
        assert_eq!(parse_store_message_key(rest), Some((route, 3)));
    }
}

// ---- transactions ----------------------------------------------------------

#[test]
fn transactions_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/transactions.json"));
    golden.cas("accept a job", &create_job(&job(0, false)));
    golden.cas(
        "ask whether jobs are absent",
        &check_jobs_absent(&[id(1), id(2)]),
    );
    golden.cas("cancel a job", &request_cancellation(&job(0, false), 50));
    let taken = entry(LeadershipChange::Vacant, Some("hutte-2"), Some("hutte-0"));
    golden.cas("take a shard", &acquire_shard(49, "hutte-0", 9, &taken));
    let back = entry(LeadershipChange::ReturnedHome, Some("hutte-0"), None);
    golden.cas("hand a shard back", &release_shard(42, &back));
    let left = entry(LeadershipChange::Ceded, Some("hutte-0"), None);
    golden.cas(
        "leave a shard",
        &cede_shard(42, &left, "hutte-0", "eemsmond", 9, vec![2, 4]),
    );
    golden.cas(
        "show a node",
        &register_controller("hutte-0", "eemsmond", 9, vec![2]),
    );
    golden.cas(
        "assign teams",
        &assign_teams(&[("vision".into(), 2), ("speech".into(), 0)]),
    );
    golden.cas("raise the version", &advance_record_version(1, 12));
    let progress = PackedProgress {
        pages: vec![last_progress_rows()],
        upto: None,
    };
    golden.cas(
        "write last progress",
        &write_last_progress(2, 42, &progress, 1_700_000_000_000, 2),
    );
    for (name, kind) in [
        ("post a sync", StoreMessageKind::Sync),
        ("post a view", StoreMessageKind::View),
    ] {
        let route = StoreMessageRoute {
            kind,
            from_shard: 1,
            to_shard: 2,
        };
        golden.cas(
            name,
            &write_store_message(route, (42, 7), &[0, 1, 2, 253, 254], 3, 9),
        );
    }
    golden.assert_all_compared();
}

#[test]
fn dependency_transactions_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/chain_transactions.json"));
    let accepted = create_blocked_job(&job(2 * DEPENDENCIES_PER_PAGE + 1, false), 1);
    assert_eq!(accepted.len(), 3);
    for (i, cas) in accepted.iter().enumerate() {
        golden.cas(&format!("accept a job that waits, {i}"), cas);
    }
    golden.cas("accept a cancelled job", &create_cancelled_job(&id(412)));
    golden.cas("cancel a job that waits", &cancel_blocked_job(&id(412), 51));
    let done = [(id(1), 60), (id(2), 61)];
    golden.cas(
        "release a job that waited",
        &unblock_job(&job(2, false), 52, &done),
    );
    golden.cas("ask whether ends stand", &check_ends_unchanged(&done));
    // A specification of two pages, and the record that names them.
    let mut large = job(2, false);
    large.spec.machine_types = Some((0..60).map(|n| format!("grachtbak-{n:0>18}")).collect());
    let writer = JobRecordWriter {
        record_version: PAGED_SPEC_VERSION,
        max_cas_ops: 4,
        stored_pages: &CachedSpecPages::new(),
    };
    let accepted: Vec<CompareAndSwap> = create_blocked_job(&large, 4)
        .into_iter()
        .flat_map(|cas| writer.fit(cas))
        .collect();
    assert_eq!(accepted.len(), 2);
    for (i, cas) in accepted.iter().enumerate() {
        golden.cas(&format!("accept a large job that waits, {i}"), cas);
    }
    golden.assert_all_compared();
}
