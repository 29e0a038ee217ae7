//! Task records in both forms: what is read is what was written, and a full chunk fits
//! the smallest value.

use lemonweir_model::constants::{PACKED_RECORD_VERSION, TASKS_PER_CHUNK};
use lemonweir_model::{MachineId, Resources};
use lemonweir_storage::packed_chunk::{chunk_value, read_chunk};
use lemonweir_storage::records::{
    GangAdmissionRecord, GangAdmissionStep, LiveAttemptRecord, TaskChunkRecord,
};

/// Bytes of the smallest value that a state service takes.
const SMALLEST_VALUE: usize = 2_048;

fn full(chunk: u32) -> TaskChunkRecord {
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

/// What every version so far reads is written until all controllers read more.
#[test]
fn each_form_is_read_as_it_was_written() {
    for chunk in [0, 1, 1_562] {
        let mut record = full(chunk);
        for _ in 0..TASKS_PER_CHUNK {
            for version in [0, PACKED_RECORD_VERSION] {
                assert_eq!(
                    read_chunk(&chunk_value(&record, version), chunk),
                    Some(record.clone())
                );
            }
            let over = record.live_attempts.remove(0);
            record.done_ranges.push((over.task, over.task));
        }
    }
}

#[test]
fn a_full_chunk_fits_the_smallest_value() {
    let bytes = |version| {
        serde_json::to_vec(&chunk_value(&full(1_562), version))
            .expect("JSON")
            .len()
    };
    assert!(
        bytes(0) > SMALLEST_VALUE,
        "the form of earlier versions does not: {}",
        bytes(0)
    );
    assert!(
        bytes(PACKED_RECORD_VERSION) < SMALLEST_VALUE * 9 / 10,
        "{}",
        bytes(PACKED_RECORD_VERSION)
    );
}

/// A record of which one attempt can't be read counts for nothing, and not for fewer
/// attempts.
#[test]
fn a_broken_attempt_is_no_missing_one() {
    let broken = |text: &str| {
        let value = chunk_value(&full(0), PACKED_RECORD_VERSION);
        let text = serde_json::to_string(&value).expect("JSON").replacen(
            "\"0.10.0.0.n-990000\"",
            &format!("\"{text}\""),
            1,
        );
        serde_json::from_str::<rmpv::Value>(&text).expect("a value")
    };
    assert!(read_chunk(&broken("0.10.0.0.n-990000"), 0).is_some());
    for text in [
        "",
        "0.10.0.0",
        "0.10.0.9.n-990000",
        "0.10.70000.0.n-990000",
        "x.10.0.0.n-990000",
    ] {
        assert_eq!(read_chunk(&broken(text), 0), None, "{text}");
    }
}
