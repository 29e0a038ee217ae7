//! Packed encoding of task records: a full chunk of live attempts stays below 2 KiB.
//!
//! Versions before [`PACKED_RECORD_VERSION`] read only the plain encoding of
//! [`TaskChunkRecord`]. The packed encoding is written only once [`crate::records::VersionRecord`]
//! in the store shows that every controller reads it. Both encodings are always read.

use serde::{Deserialize, Serialize};

use crate::records::{GangAdmissionRecord, LiveAttemptRecord, TaskChunkRecord};
use lemonweir_model::constants::{PACKED_RECORD_VERSION, TASKS_PER_CHUNK};
use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::kv_store::{from_value, to_value};

/// A task chunk with each live attempt encoded as one string.
#[derive(Debug, Serialize, Deserialize)]
struct PackedChunk {
    team: String,
    #[serde(rename = "need")]
    task_resources: Resources,
    #[serde(rename = "next")]
    next_attempt: u32,
    #[serde(rename = "done")]
    done_ranges: Vec<(u32, u32)>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    gang: Option<GangAdmissionRecord>,
    /// Distinct zones of the attempts' machines.
    zones: Vec<String>,
    /// Task within the chunk, attempt, shard, index into `zones` and machine, separated by
    /// dots; the machine comes last, since its name may contain dots.
    #[serde(rename = "packed")]
    live_attempts: Vec<String>,
}

fn pack(live: &LiveAttemptRecord, zones: &mut Vec<String>) -> String {
    let zone = zones
        .iter()
        .position(|zone| *zone == live.zone)
        .unwrap_or_else(|| {
            zones.push(live.zone.clone());
            zones.len() - 1
        });
    format!(
        "{}.{}.{}.{zone}.{}",
        live.task % TASKS_PER_CHUNK,
        live.attempt,
        live.shard,
        live.machine
    )
}

fn unpack(text: &str, chunk: u32, zones: &[String]) -> Option<LiveAttemptRecord> {
    let mut fields = text.splitn(5, '.');
    let mut number = || fields.next()?.parse::<u32>().ok();
    let (task, attempt, shard, zone) = (number()?, number()?, number()?, number()?);
    Some(LiveAttemptRecord {
        task: chunk * TASKS_PER_CHUNK + task,
        attempt,
        shard: u16::try_from(shard).ok()?,
        zone: zones.get(zone as usize)?.clone(),
        machine: MachineId::from(fields.next()?),
    })
}

/// Encodes a chunk for a store whose records have this version.
pub fn chunk_value(record: &TaskChunkRecord, version: u32) -> rmpv::Value {
    if version < PACKED_RECORD_VERSION {
        return to_value(record);
    }
    let mut zones = Vec::new();
    let packed = record
        .live_attempts
        .iter()
        .map(|live| pack(live, &mut zones))
        .collect();
    let TaskChunkRecord {
        team,
        task_resources: need,
        next_attempt: next,
        done_ranges: done,
        gang,
        ..
    } = record.clone();
    to_value(&PackedChunk {
        team,
        task_resources: need,
        next_attempt: next,
        done_ranges: done,
        gang,
        zones,
        live_attempts: packed,
    })
}

/// Decodes chunk number `chunk` of a job from either encoding.
pub fn read_chunk(value: &rmpv::Value, chunk: u32) -> Option<TaskChunkRecord> {
    let Some(PackedChunk {
        team,
        task_resources: need,
        next_attempt: next,
        done_ranges: done,
        gang,
        zones,
        live_attempts: packed,
    }) = from_value(value)
    else {
        return from_value(value);
    };
    // One unreadable attempt makes the whole record unreadable, so that no attempt is lost.
    let live: Option<Vec<LiveAttemptRecord>> = packed
        .iter()
        .map(|text| unpack(text, chunk, &zones))
        .collect();
    Some(TaskChunkRecord {
        team,
        task_resources: need,
        next_attempt: next,
        done_ranges: done,
        live_attempts: live?,
        gang,
    })
}
