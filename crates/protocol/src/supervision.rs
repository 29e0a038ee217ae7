//! What `GET /v1/watch` and `GET /v1/watch/handovers` show.

use serde::{Deserialize, Serialize};

/// The state of parts and services as one controller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisionReport {
    /// The controller.
    pub host: String,
    /// ms since its last reading of the store began; none: it has not read it yet.
    pub age_ms: Option<u64>,
    /// The parts.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardRow>,
    /// Services, and replicas promised and up, of all parts.
    pub services: usize,
    /// Replicas promised.
    pub promised: u64,
    /// Replicas up; of services of other controllers' parts as these told last.
    pub up: u64,
    /// Services that lack replicas, the largest share first.
    pub short: Vec<UnderReplicatedServiceRow>,
}

/// A part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Its number.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Whose it is by right.
    pub home: String,
    /// Who holds it.
    pub holder: Option<String>,
    /// Its token.
    pub token: Option<u64>,
    /// Time of day of its last change of hands, ms.
    pub since: Option<u64>,
}

/// A service that lacks replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnderReplicatedServiceRow {
    /// The job.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// The part that serves the team.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Replicas promised.
    pub promised: u32,
    /// The half of them that comes first after a loss.
    pub half: u32,
    /// Replicas up.
    pub up: u32,
    /// Replicas up by zone, where this controller places them.
    pub zones: Vec<(String, u32)>,
    /// s for which replicas have been missing; none: another controller knows.
    pub short_s: Option<u64>,
    /// s for which more than half have been missing.
    pub below_half_s: Option<u64>,
    /// What is being done about it.
    pub doing: String,
    /// s in which that should have worked; below zero: it is late.
    pub due_s: Option<i64>,
    /// What keeps it from being whole.
    pub lacks: String,
    /// What was tried beyond the usual way, the first first.
    pub tried: Vec<String>,
}

/// The parts' changes of hands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverReport {
    /// The controller that tells.
    pub host: String,
    /// ms since its last reading of the store began; none: it has not read it yet.
    pub age_ms: Option<u64>,
    /// The changes, the newest first.
    pub changes: Vec<FailoverRow>,
}

/// A change of hands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRow {
    /// The part.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Its number among the part's.
    pub n: u64,
    /// Time of day, ms.
    pub at: u64,
    /// Who held it.
    pub from: Option<String>,
    /// Who took it; none: it was given up.
    pub to: Option<String>,
    /// How, and by which proof.
    pub how: String,
    /// The part's token, if this took it.
    pub token: Option<u64>,
    /// Replicas, other tasks and machines known to be up.
    pub up: Option<(u32, u32, u32)>,
    /// What was found; none: that is not written yet.
    pub closed: Option<FailoverCompletionRow>,
}

/// What was found after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletionRow {
    /// Who told.
    pub by: String,
    /// ms until records and jobs were read, the first start, all services whole.
    pub read_ms: Option<u64>,
    /// See [`Self::read_ms`].
    pub first_start_ms: Option<u64>,
    /// See [`Self::read_ms`].
    pub whole_ms: Option<u64>,
    /// ms until the next change of hands, of an entry that was left open.
    pub held_ms: Option<u64>,
    /// Replicas found up, and started anew.
    pub found: Option<(u32, u32)>,
    /// Longest gap by class, ms, the worst first.
    pub gaps: Vec<(String, u64)>,
    /// What can't be known.
    pub unknown: Vec<String>,
}
