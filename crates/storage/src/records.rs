//! Keys and values in the store.
//!
//! | key | value | life |
//! | --- | --- | --- |
//! | `w/job/<id>` | [`JobRecord`] | while the job is neither done nor withdrawn |
//! | `w/part/<i>` | [`ShardRecord`] | with its owner's hold |
//! | `w/node/<host>` | [`ControllerRecord`] | with the node's hold |
//! | `w/version` | [`VersionRecord`] | for ever |
//! | `w/team/<name>` | [`TeamAssignmentRecord`] | for ever |
//! | `w/chain/<id>` | [`JobRecord`] | while the job waits for others ([`crate::dependencies`]) |
//! | `end/<id>` | [`JobEndRecord`] | for ever |
//! | `run/<part>/<id>/<chunk>` | [`TaskChunkRecord`] | while the job runs or an attempt may |
//! | `img/<part>/<page>` | [`ImageLocationsRecord`] | for ever; a hint only |
//! | `w/mail/<kind>/<from>/<to>/<k>` | [`StoreMessageRecord`] | with the sender's hold |
//! | `w/hand/<part>/<slot>` | [`crate::failovers::FailoverRecord`] | until the ring comes round |
//!
//! Every node follows `w/`. A job leaves it in the same transaction that
//! writes its end, so start-up reads stay small as finished jobs pile up.

use base64::prelude::{BASE64_STANDARD, Engine};
use serde::{Deserialize, Serialize};

use crate::dependencies::job_absent_conditions;
use crate::failovers::NewFailover;
use lemonweir_model::constants::{PACKED_RECORD_VERSION, PEER_VERSION};
use lemonweir_model::{JobId, JobSpec, MachineId, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, to_value};
use lemonweir_protocol::users::JobPhase;

/// Prefix of the keys that every node follows.
pub const FOLLOWED: &str = "w/";

/// Key of a job that is not over.
pub fn job_key(id: &JobId) -> String {
    format!("w/job/{id}")
}

/// Where the ends of jobs are.
pub const END_PREFIX: &str = "end/";

/// Key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("{END_PREFIX}{id}")
}

/// Key of a shard's ownership.
pub fn shard_key(shard: u16) -> String {
    format!("w/part/{shard}")
}

/// Key of a node's presence.
pub fn controller_key(host: &str) -> String {
    format!("w/node/{host}")
}

/// Key of a team's part.
pub fn team_key(team: &str) -> String {
    format!("w/team/{team}")
}

/// Prefix of a shard's task records.
pub fn task_chunks_prefix(shard: u16) -> String {
    format!("run/{shard}/")
}

/// Key of one chunk of a job's task record.
pub fn task_chunk_key(shard: u16, job: &JobId, chunk: u32) -> String {
    format!("run/{shard}/{job}/{chunk}")
}

/// Reads the job and the chunk from a key of a task record.
pub fn parse_task_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let mut segments = key.strip_prefix("run/")?.split('/');
    let _part = segments.next()?;
    let job = JobId::parse(segments.next()?)?;
    Some((job, segments.next()?.parse().ok()?))
}

/// A job that is not over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// What the user asked for.
    pub spec: JobSpec,
    /// Time of day of the submission, ms.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// Its user asked to cancel it: nothing of it starts any more, and once
    /// no attempt is left its end is written.
    #[serde(rename = "withdrawn", default)]
    pub cancel_requested: bool,
    /// Jobs that it depends on, of which its `spec` may name only the first page; 0 once it
    /// may start.
    #[serde(rename = "awaited", default, skip_serializing_if = "is_zero")]
    pub dependency_count: usize,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// A shard's owner.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct ShardRecord {
    /// Host name.
    pub host: String,
}

/// A node that lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Zone.
    pub zone: String,
    /// Format of the messages between controllers that it speaks; 0: an earlier
    /// one than the first that is told here.
    #[serde(rename = "format", default)]
    pub peer_version: u8,
    /// Shards whose machines it can't hear, which it leaves to others.
    #[serde(rename = "deaf", default)]
    pub ceded_shards: Vec<u16>,
    /// Newest form of the records that it reads; 0: one before the first that is told.
    #[serde(rename = "reads", default)]
    pub record_version: u32,
}

/// Key of the version that all controllers know.
pub const VERSION_KEY: &str = "w/version";

/// The newest form of the records that every controller reads. It only rises: a
/// controller of an earlier version may not come back once it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version.
    pub version: u32,
}

/// Records that every controller reads this version, instead of the earlier one whose
/// record has that version of its key.
pub fn advance_record_version(version: u32, earlier: u64) -> CompareAndSwap {
    CompareAndSwap {
        conditions: vec![Condition {
            key: VERSION_KEY.to_owned(),
            version: earlier,
        }],
        writes: vec![Write::put(
            VERSION_KEY.to_owned(),
            &VersionRecord { version },
        )],
    }
}

/// Prefix of what an owner knows of its machines' images.
pub fn image_locations_prefix(shard: u16) -> String {
    format!("img/{shard}/")
}

/// Key of one page of it.
pub fn image_locations_key(shard: u16, page: usize) -> String {
    format!("img/{shard}/{page}")
}

/// Reads the page from a key of it.
pub fn parse_image_locations_key(key: &str) -> Option<usize> {
    key.strip_prefix("img/")?.split_once('/')?.1.parse().ok()
}

/// Which images some of an owner's machines have. Only a hint, so that a
/// restarted owner places by images at once. Names are written once a page, so
/// that hundreds of machines fit one.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ImageLocationsRecord {
    /// Images with their sizes in thousandths of a GB.
    #[serde(rename = "n")]
    pub images: Vec<(String, u64)>,
    /// Machines with their images, as positions in `n`, most recently used first.
    #[serde(rename = "m")]
    pub machines: Vec<(MachineId, Vec<u16>)>,
}

/// Which shard serves a team.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamAssignmentRecord {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: u16,
}

/// How a job ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobEndRecord {
    /// Done or cancelled.
    pub phase: JobPhase,
}

/// Some tasks of a job: which are done, which have a live attempt.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct TaskChunkRecord {
    /// The team, so that its use is counted when the job itself is over.
    pub team: String,
    /// What a task takes.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// The next attempt number of the job.
    #[serde(rename = "next")]
    pub next_attempt: u32,
    /// Ranges of done tasks, first and last.
    #[serde(rename = "done")]
    pub done_ranges: Vec<(u32, u32)>,
    /// Attempts not proven to be over.
    #[serde(rename = "live")]
    pub live_attempts: Vec<LiveAttemptRecord>,
    /// Of a gang: how far its admission has come. None of a gang that an earlier
    /// version admitted: it may have been started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<GangAdmissionRecord>,
}

/// A gang's entry in the admission ledger, in each of its chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GangAdmissionRecord {
    /// How far it has come.
    pub step: GangAdmissionStep,
    /// Time of day of that step, ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// The attempt that its members share.
    #[serde(rename = "a")]
    pub attempt: u32,
}

/// Steps of a gang's admission, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GangAdmissionStep {
    /// Every member has a machine; owners are asked for room. Nothing is launched.
    Planned,
    /// Every owner has granted room: it may be launched from now on.
    Admitted,
    /// All of it is being released.
    Released,
    /// What a later version knows.
    #[serde(other)]
    Other,
}

/// An attempt not proven to be over.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LiveAttemptRecord {
    /// Task.
    #[serde(rename = "t")]
    pub task: u32,
    /// Attempt.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Machine.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// Shard of the machine.
    #[serde(rename = "p")]
    pub shard: u16,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
}

/// Accepts a job: neither it nor its end may be known.
pub fn create_job(record: &JobRecord) -> CompareAndSwap {
    let id = &record.spec.id;
    CompareAndSwap {
        conditions: job_absent_conditions(id),
        writes: vec![Write::put(job_key(id), record)],
    }
}

/// Conditions of [`absent`] for one job.
pub const CONDITIONS_PER_ABSENT_JOB: usize = 3;

/// Asks whether no such jobs are: neither unfinished, waiting for others nor over. It
/// writes nothing; what it fails on is there.
pub fn absent(jobs: &[JobId]) -> CompareAndSwap {
    CompareAndSwap {
        conditions: jobs.iter().flat_map(job_absent_conditions).collect(),
        writes: Vec::new(),
    }
}

/// Asks for the end of a job whose key has this version: if it has ended
/// meanwhile, the key has another. Its placer writes the end once every attempt
/// is proven to be over.
pub fn request_cancellation(record: &JobRecord, version: u64) -> CompareAndSwap {
    let key = job_key(&record.spec.id);
    let asked = JobRecord {
        cancel_requested: true,
        ..record.clone()
    };
    CompareAndSwap {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::put(key, &asked)],
    }
}

/// Takes a shard whose key has this version (0: no key), to live with a store lease.
pub fn acquire_shard(version: u64, host: &str, hold: u64, entry: &NewFailover) -> CompareAndSwap {
    let (key, record) = (
        shard_key(entry.shard),
        ShardRecord {
            host: host.to_owned(),
        },
    );
    let mut cas = CompareAndSwap {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put {
            key,
            value: to_value(&record),
            lease: Some(hold),
        }],
    };
    entry.add_to(&mut cas);
    cas
}

/// Gives up a shard that is held with this token.
pub fn release_shard(token: u64, entry: &NewFailover) -> CompareAndSwap {
    let key = shard_key(entry.shard);
    let mut cas = CompareAndSwap {
        conditions: vec![Condition {
            key: key.clone(),
            version: token,
        }],
        writes: vec![Write::Delete { key }],
    };
    entry.add_to(&mut cas);
    cas
}

/// Gives up a shard that is held with this token, and shows with the node's
/// presence that it leaves it to others.
pub fn cede_shard(
    token: u64,
    entry: &NewFailover,
    host: &str,
    zone: &str,
    hold: u64,
    deaf: Vec<u16>,
) -> CompareAndSwap {
    let mut cas = release_shard(token, entry);
    cas.writes
        .extend(register_controller(host, zone, hold, deaf).writes);
    cas
}

/// Shows a node's presence, to live with its store lease.
pub fn register_controller(host: &str, zone: &str, hold: u64, deaf: Vec<u16>) -> CompareAndSwap {
    let record = ControllerRecord {
        zone: zone.to_owned(),
        peer_version: PEER_VERSION,
        ceded_shards: deaf,
        record_version: PACKED_RECORD_VERSION,
    };
    CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: controller_key(host),
            value: to_value(&record),
            lease: Some(hold),
        }],
    }
}

/// Records the shards of teams that have none.
pub fn assign_teams(teams: &[(String, u16)]) -> CompareAndSwap {
    CompareAndSwap {
        conditions: teams
            .iter()
            .map(|(t, _)| Condition {
                key: team_key(t),
                version: 0,
            })
            .collect(),
        writes: teams
            .iter()
            .map(|(t, shard)| Write::put(team_key(t), &TeamAssignmentRecord { shard: *shard }))
            .collect(),
    }
}

/// Key of one piece of a peer message that travels through the store.
pub fn store_message_key(kind: StoreMessageKind, from: u16, to: u16, piece: usize) -> String {
    let kind = match kind {
        StoreMessageKind::Sync => "sync",
        StoreMessageKind::View => "view",
    };
    format!("w/mail/{kind}/{from}/{to}/{piece}")
}

/// Which message a piece belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreMessageKind {
    /// A placer's wants.
    Sync,
    /// An owner's state.
    View,
}

/// Sender, receiver and kind of a peer message in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreMessageRoute {
    /// What it carries.
    pub kind: StoreMessageKind,
    /// Shard of the sender.
    pub from_shard: u16,
    /// Shard of the receiver.
    pub to_shard: u16,
}

/// Reads line and piece from the key below `w/mail/`.
pub fn parse_store_message_key(rest: &str) -> Option<(StoreMessageRoute, usize)> {
    let mut segments = rest.split('/');
    let kind = match segments.next()? {
        "sync" => StoreMessageKind::Sync,
        "view" => StoreMessageKind::View,
        _ => return None,
    };
    let line = StoreMessageRoute {
        kind,
        from_shard: segments.next()?.parse().ok()?,
        to_shard: segments.next()?.parse().ok()?,
    };
    Some((line, segments.next()?.parse().ok()?))
}

/// One piece of a peer message. Values hold nothing binary, so the bytes are
/// written as base64.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct StoreMessageRecord {
    /// Pieces of the message.
    #[serde(rename = "n")]
    pub chunk_count: usize,
    /// Token and number of the message: pieces of one message agree.
    #[serde(rename = "id")]
    pub message_id: (u64, u64),
    /// The bytes.
    #[serde(rename = "b")]
    pub payload_base64: String,
}

/// Writes a peer message in as many values of `piece_bytes` as it takes, to
/// live with the sender's store lease.
pub fn post(
    line: StoreMessageRoute,
    id: (u64, u64),
    bytes: &[u8],
    piece_bytes: usize,
    hold: u64,
) -> CompareAndSwap {
    let pieces: Vec<&[u8]> = bytes.chunks(piece_bytes.max(1)).collect();
    let value = |piece: &[u8]| {
        to_value(&StoreMessageRecord {
            chunk_count: pieces.len(),
            message_id: id,
            payload_base64: BASE64_STANDARD.encode(piece),
        })
    };
    let put = |(k, piece): (usize, &&[u8])| Write::Put {
        key: store_message_key(line.kind, line.from_shard, line.to_shard, k),
        value: value(piece),
        lease: Some(hold),
    };
    CompareAndSwap {
        conditions: Vec::new(),
        writes: pieces.iter().enumerate().map(put).collect(),
    }
}
