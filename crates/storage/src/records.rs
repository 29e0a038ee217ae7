//! Keys and records in the store.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `w/job/<id>` | [`JobRecord`] | until the job is done or cancelled |
//! | `w/part/<shard>` | [`ShardRecord`] | the leader's store lease |
//! | `w/node/<host>` | [`ControllerRecord`] | the controller's store lease |
//! | `w/version` | [`VersionRecord`] | permanent |
//! | `w/team/<name>` | [`TeamAssignmentRecord`] | permanent |
//! | `w/chain/<id>` | [`JobRecord`] | while blocked ([`crate::dependencies`]) |
//! | `w/spec/<id>/<digest>/<n>` | [`crate::spec_pages::SpecPage`] | until the job has ended |
//! | `end/<id>` | [`JobEndRecord`] | permanent |
//! | `run/<shard>/<id>/<chunk>` | [`TaskChunkRecord`] | until job and attempts have ended |
//! | `img/<shard>/<page>` | [`ImageLocationsRecord`] | permanent; a hint only |
//! | `w/mail/<kind>/<from>/<to>/<chunk>` | [`StoreMessageRecord`] | the sender's store lease |
//! | `w/progress/<shard>/<page>` | [`crate::last_progress::LastProgressPage`] | until overwritten |
//! | `w/hand/<shard>/<slot>` | [`crate::failovers::FailoverRecord`] | until overwritten |
//!
//! A large [`JobRecord`] is stored with its specification in pages ([`crate::spec_pages`]).
//!
//! Every controller watches `w/`. A job's key there is deleted in the transaction that writes
//! its end record, so the snapshot read at start-up stays small as finished jobs accumulate.

use base64::prelude::{BASE64_STANDARD, Engine};
use serde::{Deserialize, Serialize};

use crate::dependencies::job_absent_conditions;
use crate::failovers::NewFailover;
use lemonweir_model::constants::{PAGED_SPEC_VERSION, PEER_VERSION};
use lemonweir_model::{JobId, JobSpec, MachineId, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write, to_value};
use lemonweir_protocol::users::JobPhase;

/// Prefix of the keys that every controller watches.
pub const WATCHED_PREFIX: &str = "w/";

/// Key of an unfinished job.
pub fn job_key(id: &JobId) -> String {
    format!("w/job/{id}")
}

/// Prefix of the end records of jobs.
pub const END_PREFIX: &str = "end/";

/// Key of a job's end record.
pub fn end_key(id: &JobId) -> String {
    format!("{END_PREFIX}{id}")
}

/// Key that names a shard's leader.
pub fn shard_key(shard: u16) -> String {
    format!("w/part/{shard}")
}

/// Key under which a controller registers itself.
pub fn controller_key(host: &str) -> String {
    format!("w/node/{host}")
}

/// Key that names a team's shard.
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

/// Parses the job and the chunk from the key of a task record.
pub fn parse_task_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let mut segments = key.strip_prefix("run/")?.split('/');
    let _shard = segments.next()?;
    let job = JobId::parse(segments.next()?)?;
    Some((job, segments.next()?.parse().ok()?))
}

/// A job that is neither done nor cancelled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// Wall-clock time of the submission, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub submitted_at_ms: u64,
    /// The user asked to cancel the job: no more attempts start, and its end is written once
    /// no attempt is left.
    #[serde(rename = "withdrawn", default)]
    pub cancel_requested: bool,
    /// Number of jobs that it depends on, of which `spec` may hold only the first page; 0
    /// once the job may start.
    #[serde(rename = "awaited", default, skip_serializing_if = "is_zero")]
    pub dependency_count: usize,
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// The leader of a shard.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct ShardRecord {
    /// Host name of the leader.
    pub host: String,
}

/// A live controller, as it registered itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// Zone of the controller.
    pub zone: String,
    /// Version of the peer messages that it uses; 0: a version from before this field.
    #[serde(rename = "format", default)]
    pub peer_version: u8,
    /// Shards that it leaves to other controllers, since their machines can't reach it.
    #[serde(rename = "deaf", default)]
    pub ceded_shards: Vec<u16>,
    /// Newest version of the records that it reads; 0: a version from before this field.
    #[serde(rename = "reads", default)]
    pub record_version: u32,
}

/// Key of the record version that every controller reads.
pub const VERSION_KEY: &str = "w/version";

/// The newest version of the records that every controller reads. It only rises; once it
/// has, a controller that reads only an earlier version must not be started again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Record version, as in [`ControllerRecord::record_version`].
    pub version: u32,
}

/// Raises the record version that every controller reads to `version`, if the key still
/// has the version `key_version`.
pub fn advance_record_version(version: u32, key_version: u64) -> CompareAndSwap {
    CompareAndSwap {
        conditions: vec![Condition {
            key: VERSION_KEY.to_owned(),
            version: key_version,
        }],
        writes: vec![Write::put(
            VERSION_KEY.to_owned(),
            &VersionRecord { version },
        )],
    }
}

/// Prefix of the image locations that a shard's owner stores.
pub fn image_locations_prefix(shard: u16) -> String {
    format!("img/{shard}/")
}

/// Key of one page of a shard's image locations.
pub fn image_locations_key(shard: u16, page: usize) -> String {
    format!("img/{shard}/{page}")
}

/// Parses the page from the key of image locations.
pub fn parse_image_locations_key(key: &str) -> Option<usize> {
    key.strip_prefix("img/")?.split_once('/')?.1.parse().ok()
}

/// The images that some of a shard's machines have cached. It is only a hint, which lets
/// placement after a restart use image locality at once. Each page holds an image name only
/// once, so that hundreds of machines fit into one page.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct ImageLocationsRecord {
    /// Images with their sizes in thousandths of a GB.
    #[serde(rename = "n")]
    pub images: Vec<(String, u64)>,
    /// Machines with their images, as indexes into `images`, most recently used first.
    #[serde(rename = "m")]
    pub machines: Vec<(MachineId, Vec<u16>)>,
}

/// The shard that serves a team.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TeamAssignmentRecord {
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u16,
}

/// How a job ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobEndRecord {
    /// [`JobPhase::Done`] or [`JobPhase::Withdrawn`].
    pub phase: JobPhase,
}

/// The state of up to `TASKS_PER_CHUNK` tasks of a job: which are done, and which have a
/// live attempt.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct TaskChunkRecord {
    /// The team, so that its usage can be counted after the job has ended.
    pub team: String,
    /// Resources that a task takes.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// The next attempt number of the job.
    #[serde(rename = "next")]
    pub next_attempt: u32,
    /// Ranges of done tasks, first and last inclusive.
    #[serde(rename = "done")]
    pub done_ranges: Vec<(u32, u32)>,
    /// Attempts not proven to have ended.
    #[serde(rename = "live")]
    pub live_attempts: Vec<LiveAttemptRecord>,
    /// Admission state of a gang. `None` for a gang that an earlier version admitted: it may
    /// have been started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gang: Option<GangAdmissionRecord>,
}

/// Admission state of a gang, repeated in each of its task records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GangAdmissionRecord {
    /// The step that was reached.
    pub step: GangAdmissionStep,
    /// Wall-clock time of that step, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// The attempt number that all tasks of the gang share.
    #[serde(rename = "a")]
    pub attempt: u32,
}

/// Steps of a gang's admission, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GangAdmissionStep {
    /// Every task has a machine, and the owners are asked for resources. Nothing is started.
    Planned,
    /// Every owner has granted the resources: the gang may be started from now on.
    Admitted,
    /// All resources of the gang are being released.
    Released,
    /// A step that a later version introduced.
    #[serde(other)]
    Other,
}

/// An attempt not proven to have ended.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct LiveAttemptRecord {
    /// Number of the task in its job.
    #[serde(rename = "t")]
    pub task: u32,
    /// Number of the attempt.
    #[serde(rename = "a")]
    pub attempt: u32,
    /// Machine that the attempt was placed on.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// Shard of the machine.
    #[serde(rename = "p")]
    pub shard: u16,
    /// Zone of the machine.
    #[serde(rename = "z")]
    pub zone: String,
}

/// Creates a job, on the condition that no record of it exists.
pub fn create_job(record: &JobRecord) -> CompareAndSwap {
    let id = &record.spec.id;
    CompareAndSwap {
        conditions: job_absent_conditions(id),
        writes: vec![Write::put(job_key(id), record)],
    }
}

/// Conditions of [`check_jobs_absent`] for one job.
pub const CONDITIONS_PER_ABSENT_JOB: usize = 3;

/// Verifies without a write that no records of these jobs exist: neither unfinished, blocked
/// nor ended. The keys that it fails on exist.
pub fn check_jobs_absent(jobs: &[JobId]) -> CompareAndSwap {
    CompareAndSwap {
        conditions: jobs.iter().flat_map(job_absent_conditions).collect(),
        writes: Vec::new(),
    }
}

/// Requests the cancellation of a job whose key has this version; it fails if the job has
/// ended since. The job's placer writes the end once every attempt is proven to have ended.
pub fn request_cancellation(record: &JobRecord, version: u64) -> CompareAndSwap {
    let key = job_key(&record.spec.id);
    let requested = JobRecord {
        cancel_requested: true,
        ..record.clone()
    };
    CompareAndSwap {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::put(key, &requested)],
    }
}

/// Acquires a shard whose key has this version (0: no key); the key is bound to the store
/// lease.
pub fn acquire_shard(version: u64, host: &str, lease: u64, entry: &NewFailover) -> CompareAndSwap {
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
            lease: Some(lease),
        }],
    };
    entry.add_to(&mut cas);
    cas
}

/// Releases a shard that is led with this fencing token.
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

/// Releases a shard that is led with this fencing token, and lists it among the controller's
/// ceded shards so that other controllers acquire it.
pub fn cede_shard(
    token: u64,
    entry: &NewFailover,
    host: &str,
    zone: &str,
    lease: u64,
    ceded: Vec<u16>,
) -> CompareAndSwap {
    let mut cas = release_shard(token, entry);
    cas.writes
        .extend(register_controller(host, zone, lease, ceded).writes);
    cas
}

/// Registers a controller; the key is bound to its store lease.
pub fn register_controller(host: &str, zone: &str, lease: u64, ceded: Vec<u16>) -> CompareAndSwap {
    let record = ControllerRecord {
        zone: zone.to_owned(),
        peer_version: PEER_VERSION,
        ceded_shards: ceded,
        record_version: PAGED_SPEC_VERSION,
    };
    CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![Write::Put {
            key: controller_key(host),
            value: to_value(&record),
            lease: Some(lease),
        }],
    }
}

/// Assigns shards to teams that have none.
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

/// Key of one chunk of a peer message that is sent through the store.
pub fn store_message_key(kind: StoreMessageKind, from: u16, to: u16, chunk: usize) -> String {
    let kind = match kind {
        StoreMessageKind::Sync => "sync",
        StoreMessageKind::View => "view",
        StoreMessageKind::Progress => "progress",
        StoreMessageKind::ProgressRequest => "progress-request",
    };
    format!("w/mail/{kind}/{from}/{to}/{chunk}")
}

/// Kind of a peer message in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreMessageKind {
    /// A placer's [`lemonweir_protocol::peer::SyncRequest`].
    Sync,
    /// An owner's [`lemonweir_protocol::peer::ShardView`].
    View,
    /// A placer's [`lemonweir_protocol::progress::StoredProgress`], for all controllers.
    Progress,
    /// Asks a shard's leader to write its progress to the store.
    ProgressRequest,
}

/// Sender, receiver and kind of a peer message in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreMessageRoute {
    /// Kind of the message.
    pub kind: StoreMessageKind,
    /// Shard of the sender.
    pub from_shard: u16,
    /// Shard of the receiver.
    pub to_shard: u16,
}

/// Parses the part of a key after `w/mail/` into the message's route and the chunk.
pub fn parse_store_message_key(rest: &str) -> Option<(StoreMessageRoute, usize)> {
    let mut segments = rest.split('/');
    let kind = match segments.next()? {
        "sync" => StoreMessageKind::Sync,
        "view" => StoreMessageKind::View,
        "progress" => StoreMessageKind::Progress,
        "progress-request" => StoreMessageKind::ProgressRequest,
        _ => return None,
    };
    let route = StoreMessageRoute {
        kind,
        from_shard: segments.next()?.parse().ok()?,
        to_shard: segments.next()?.parse().ok()?,
    };
    Some((route, segments.next()?.parse().ok()?))
}

/// One chunk of a peer message. Values can't hold binary data, so the bytes are encoded as
/// base64.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct StoreMessageRecord {
    /// Number of chunks of the message.
    #[serde(rename = "n")]
    pub chunk_count: usize,
    /// Fencing token and sequence number of the message, equal in all of its chunks.
    #[serde(rename = "id")]
    pub message_id: (u64, u64),
    /// Bytes of this chunk, in base64.
    #[serde(rename = "b")]
    pub payload_base64: String,
}

/// Writes a peer message, split into values of at most `chunk_bytes` before encoding; the
/// keys are bound to the sender's store lease.
pub fn write_store_message(
    route: StoreMessageRoute,
    id: (u64, u64),
    bytes: &[u8],
    chunk_bytes: usize,
    lease: u64,
) -> CompareAndSwap {
    let chunks: Vec<&[u8]> = bytes.chunks(chunk_bytes.max(1)).collect();
    let value = |chunk: &[u8]| {
        to_value(&StoreMessageRecord {
            chunk_count: chunks.len(),
            message_id: id,
            payload_base64: BASE64_STANDARD.encode(chunk),
        })
    };
    let put = |(k, chunk): (usize, &&[u8])| Write::Put {
        key: store_message_key(route.kind, route.from_shard, route.to_shard, k),
        value: value(chunk),
        lease: Some(lease),
    };
    CompareAndSwap {
        conditions: Vec::new(),
        writes: chunks.iter().enumerate().map(put).collect(),
    }
}
