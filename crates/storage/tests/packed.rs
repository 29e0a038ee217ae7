//! Plain and packed encoding of task records: both decode to what was encoded, and a full
//! packed chunk fits the smallest value limit.

use lemonweir_model::constants::{PACKED_RECORD_VERSION, TASKS_PER_CHUNK};
use lemonweir_model::{MachineId, Resources};
use lemonweir_storage::packed_chunk::{chunk_value, read_chunk};
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, LiveAttemptRecord, TaskChunkRecord,
};

/// Smallest value limit that a store may have, bytes.
const SMALLEST_VALUE_LIMIT: usize = 2_048;

fn full_chunk(chunk: u32) -> TaskChunkRecord {
    let zones = ["eemsmond", "rijnmond", "utrechtbaan"];
    let live = |n: u32| LiveAttemptRecord {
        task: chunk * TASKS_PER_CHUNK + n,
        attempt: 10 + n,
        machine: MachineId::from(format!("n-{:06}", 990_000 + n).as_str()),
        shard: (n % 11) as u16,
        zone: zones[n as usize % zones.len()].to_owned(),
    };
    TaskChunkRecord {
        team: "loketteam-00".into(),
        task_resources: Resources::capacity(5.25, 1.0, 27.125),
        next_attempt: 99,
        done_ranges: Vec::new(),
        live_attempts: (0..TASKS_PER_CHUNK).map(live).collect(),
        gang: Some(GangAdmissionRecord {
            step: GangAdmissionStep::Admitted,
            at_ms: 1_790_000_000_000,
            attempt: 12,
        }),
    }
}

/// The plain encoding is written until all controllers read the packed one.
#[test]
fn both_encodings_round_trip() {
    for chunk in [0, 1, 1_562] {
        let mut record = full_chunk(chunk);
        for _ in 0..TASKS_PER_CHUNK {
            for version in [0, PACKED_RECORD_VERSION] {
                assert_eq!(
                    read_chunk(&chunk_value(&record, version), chunk),
                    Some(record.clone())
                );
            }
            let done = record.live_attempts.remove(0);
            record.done_ranges.push((done.task, done.task));
        }
    }
}

#[test]
fn packed_full_chunk_fits_the_smallest_value_limit() {
    let bytes = |version| {
        serde_json::to_vec(&chunk_value(&full_chunk(1_562), version))
            .expect("JSON")
            .len()
    };
    assert!(
        bytes(0) > SMALLEST_VALUE_LIMIT,
        "the plain encoding exceeds the limit: {}",
        bytes(0)
    );
    assert!(
        bytes(PACKED_RECORD_VERSION) < SMALLEST_VALUE_LIMIT * 9 / 10,
        "{}",
        bytes(PACKED_RECORD_VERSION)
    );
}

/// A record with one malformed attempt is rejected as a whole, rather than decoded without
/// that attempt.
#[test]
fn malformed_attempt_rejects_the_whole_record() {
    let with_first_attempt = |text: &str| {
        let value = chunk_value(&full_chunk(0), PACKED_RECORD_VERSION);
        let text = serde_json::to_string(&value).expect("JSON").replacen(
            "\"0.10.0.0.n-990000\"",
            &format!("\"{text}\""),
            1,
        );
        serde_json::from_str::<rmpv::Value>(&text).expect("a value")
    };
    assert!(read_chunk(&with_first_attempt("0.10.0.0.n-990000"), 0).is_some());
    for text in [
        "",
        "0.10.0.0",
        "0.10.0.9.n-990000",
        "0.10.70000.0.n-990000",
        "x.10.0.0.n-990000",
    ] {
        assert_eq!(read_chunk(&with_first_attempt(text), 0), None, "{text}");
    }
}
