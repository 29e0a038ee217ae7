//! Task records in little room: a full chunk of live attempts stays below 2 KiB.
//!
//! Versions before [`PACKED_RECORD_VERSION`] read only [`TaskChunkRecord`] as it is written by itself,
//! so the packed form is written once the store says that every controller knows it
//! ([`crate::records::VersionRecord`]). Both forms are read at any time.

use serde::{Deserialize, Serialize};

use crate::records::{GangAdmissionRecord, LiveAttemptRecord, TaskChunkRecord};
use lemonweir_model::constants::{PACKED_RECORD_VERSION, TASKS_PER_CHUNK};
use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::kv_store::{from_value, to_value};

/// A chunk whose live attempts are one text each.
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
    /// Zones of the attempts' machines.
    zones: Vec<String>,
    /// Task within the chunk, attempt, shard, position in `zones`, machine.
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

/// The value of a chunk for a store that all controllers of this version read.
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

/// Reads chunk number `chunk` of a job, in either form.
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
    // Guards against a record of which some attempts are lost: all of it is read, or none.
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
