//! Records and messages of the version before, and what it reads of ours.
//!
//! `samples/78c76cd.json` was written once by that commit: a test of its storage package
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
fn records_of_the_version_before_are_read() {
    let job: JobRecord = from_value(&sample("job")).expect("a job");
    assert!(job.cancel_requested && job.dependency_count == 0 && job.spec.depends_on.is_empty());
    assert_eq!(
        (job.spec.id.as_str(), job.spec.priority, job.spec.kind),
        ("req-000412", Priority::High, JobKind::Gang)
    );
    let node: ControllerRecord = from_value(&sample("node")).expect("a node");
    assert_eq!(
        (node.record_version, node.peer_version, node.ceded_shards),
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
        "and written back in the same form until all read the next"
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

/// Messages between controllers keep their format: byte for byte what they were.
#[test]
fn messages_are_those_of_the_version_before() {
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

// ---- what the version before reads of ours: its definitions, as they were --------------

#[derive(Deserialize)]
struct EarlierJob {
    spec: EarlierSpec,
    at: u64,
    #[serde(default)]
    withdrawn: bool,
}

#[derive(Deserialize)]
struct EarlierSpec {
    #[serde(rename = "nameId")]
    id: JobId,
    #[serde(rename = "pieces")]
    tasks: u64,
    rank: Priority,
}

#[derive(Deserialize)]
struct EarlierNode {
    #[serde(default)]
    format: u8,
}

/// The key prefixes below `w/` that it takes for something.
const EARLIER_FOLLOWED: [&str; 6] = ["job", "part", "node", "team", "hand", "mail"];

#[test]
fn the_version_before_reads_what_may_start_and_nothing_that_waits() {
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
                panic!("nothing is removed")
            };
            let kind = key
                .strip_prefix(FOLLOWED)
                .and_then(|rest| rest.split_once('/'))
                .expect("followed")
                .0;
            assert!(
                !EARLIER_FOLLOWED.contains(&kind),
                "{key} would be taken for work"
            );
        }
    }
    let released = unblock_job(&record, 3, &[(JobId::from("req-000001"), 2)]);
    let [Write::Put { key, value, .. }, Write::Delete { key: gone }] = released.writes.as_slice()
    else {
        panic!("two changes")
    };
    assert_eq!(
        (key.as_str(), gone),
        ("w/job/req-000412", &blocked_job_key(&record.spec.id))
    );
    let earlier: EarlierJob = from_value(value).expect("read");
    assert_eq!(
        (
            earlier.spec.id.as_str(),
            earlier.spec.tasks,
            earlier.spec.rank
        ),
        ("req-000412", 16, Priority::High)
    );
    assert_eq!((earlier.at, earlier.withdrawn), (7, false));
    assert!(
        from_value::<JobRecord>(value).is_some_and(|job| job.spec.depends_on.is_empty()),
        "nothing is lost if it writes it back"
    );
    let shown = register_controller("hutte-0", "eemsmond", 1, Vec::new());
    let [Write::Put { value, .. }] = shown.writes.as_slice() else {
        panic!("one change")
    };
    assert_eq!(
        from_value::<EarlierNode>(value).expect("read").format,
        PEER_VERSION
    );
}
