//! Compatibility with the previous version: its records and messages are read, and it reads
//! the records that are written now.
//!
//! `samples/78c76cd.json` was written once by that commit: a test of its storage crate
//! printed one value of each record, and the bytes of each message as base64.

use base64::prelude::{BASE64_STANDARD, Engine};
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{Write, from_value, to_value};
use lemonweir_protocol::peer::{self, ShardView, SyncRequest};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::{blocked_job_key, create_blocked_job, unblock_job};
use lemonweir_storage::failovers::FailoverRecord;
use lemonweir_storage::packed_chunk::{chunk_value, read_chunk};
use lemonweir_storage::records::*;
use serde::Deserialize;

fn samples() -> serde_json::Value {
    serde_json::from_str(include_str!("samples/78c76cd.json")).expect("JSON")
}

fn sample(name: &str) -> rmpv::Value {
    serde_json::from_value(samples()[name].clone()).expect("a value")
}

fn message(name: &str) -> Vec<u8> {
    BASE64_STANDARD
        .decode(samples()[name].as_str().expect("text"))
        .expect("base64")
}

#[test]
fn records_of_the_previous_version_are_read() {
    let job: JobRecord = from_value(&sample("job")).expect("a job");
    assert!(job.cancel_requested && job.dependency_count == 0 && job.spec.depends_on.is_empty());
    assert_eq!(
        (job.spec.id.as_str(), job.spec.priority, job.spec.kind),
        ("req-000412", Priority::High, JobKind::Gang)
    );
    let controller: ControllerRecord = from_value(&sample("node")).expect("a controller");
    assert_eq!(
        (
            controller.record_version,
            controller.peer_version,
            controller.ceded_shards
        ),
        (0, PEER_VERSION, vec![2])
    );
    let chunk = read_chunk(&sample("chunk"), 0).expect("a chunk");
    assert_eq!(
        (
            chunk.live_attempts.len(),
            chunk.done_ranges.as_slice(),
            chunk.next_attempt
        ),
        (2, [(0, 2)].as_slice(), 4)
    );
    assert_eq!(
        chunk.gang.as_ref().map(|gang| gang.step),
        Some(GangAdmissionStep::Admitted)
    );
    assert_eq!(
        chunk_value(&chunk, 0),
        to_value(&chunk),
        "written in the plain encoding until all controllers read the packed one"
    );
    assert!(
        from_value::<ShardRecord>(&sample("part")).is_some()
            && from_value::<TeamAssignmentRecord>(&sample("team")).is_some()
    );
    assert!(
        from_value::<ImageLocationsRecord>(&sample("images")).is_some()
            && from_value::<StoreMessageRecord>(&sample("mail")).is_some()
    );
    assert!(from_value::<FailoverRecord>(&sample("handover")).is_some());
    assert_eq!(
        from_value::<JobEndRecord>(&sample("end")).map(|end| end.phase),
        Some(JobPhase::Withdrawn)
    );
}

/// Peer messages keep their format byte for byte.
#[test]
fn peer_messages_match_the_previous_version() {
    let sync: SyncRequest = peer::decode(&message("sync")).expect("a sync");
    assert_eq!(
        (sync.desired.len(), sync.progress.len(), peer::encode(&sync)),
        (1, 1, message("sync"))
    );
    let view: ShardView = peer::decode(&message("view")).expect("a view");
    assert_eq!(
        (view.machines.len(), peer::encode(&view)),
        (1, message("view"))
    );
}

// ---- definitions of the previous version ----------------------------------------------

#[derive(Deserialize)]
struct PreviousJobRecord {
    spec: PreviousJobSpec,
    at: u64,
    #[serde(default)]
    withdrawn: bool,
}

#[derive(Deserialize)]
struct PreviousJobSpec {
    #[serde(rename = "nameId")]
    id: JobId,
    #[serde(rename = "pieces")]
    tasks: u64,
    rank: Priority,
}

#[derive(Deserialize)]
struct PreviousControllerRecord {
    #[serde(default)]
    format: u8,
}

/// The kinds of keys under `w/` that the previous version reads.
const PREVIOUS_KEY_KINDS: [&str; 6] = ["job", "part", "node", "team", "hand", "mail"];

#[test]
fn previous_version_reads_unblocked_jobs_and_ignores_blocked_ones() {
    let mut spec: JobSpec = from_value::<JobRecord>(&sample("job")).expect("a job").spec;
    spec.depends_on = vec![JobId::from("req-000001")];
    let record = JobRecord {
        spec,
        submitted_at_ms: 7,
        cancel_requested: false,
        dependency_count: 0,
    };
    for cas in create_blocked_job(&record, 4) {
        for write in &cas.writes {
            let Write::Put { key, .. } = write else {
                panic!("no key is deleted")
            };
            let kind = key
                .strip_prefix(WATCHED_PREFIX)
                .and_then(|rest| rest.split_once('/'))
                .expect("a watched key")
                .0;
            assert!(
                !PREVIOUS_KEY_KINDS.contains(&kind),
                "the previous version would read {key}"
            );
        }
    }
    let unblocked = unblock_job(&record, 3, &[(JobId::from("req-000001"), 2)]);
    let [
        Write::Put { key, value, .. },
        Write::Delete { key: deleted_key },
    ] = unblocked.writes.as_slice()
    else {
        panic!("two writes")
    };
    assert_eq!(
        (key.as_str(), deleted_key),
        ("w/job/req-000412", &blocked_job_key(&record.spec.id))
    );
    let previous: PreviousJobRecord = from_value(value).expect("read");
    assert_eq!(
        (
            previous.spec.id.as_str(),
            previous.spec.tasks,
            previous.spec.rank
        ),
        ("req-000412", 16, Priority::High)
    );
    assert_eq!((previous.at, previous.withdrawn), (7, false));
    assert!(
        from_value::<JobRecord>(value).is_some_and(|job| job.spec.depends_on.is_empty()),
        "the record is readable after the previous version rewrites it"
    );
    let registered = register_controller("hutte-0", "eemsmond", 1, Vec::new());
    let [Write::Put { value, .. }] = registered.writes.as_slice() else {
        panic!("one write")
    };
    assert_eq!(
        from_value::<PreviousControllerRecord>(value)
            .expect("read")
            .format,
        PEER_VERSION
    );
}
