//! What `GET /v1/watch` and `GET /v1/watch/handovers` show.

use serde::{Deserialize, Serialize};

/// The state of shards and services as one controller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisionReport {
    /// The controller.
    pub host: String,
    /// ms since its last reading of the store began; none: it has not read it yet.
    #[serde(rename = "age_ms")]
    pub store_age_ms: Option<u64>,
    /// The shards.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardRow>,
    /// Services, and replicas promised and up, of all shards.
    pub services: usize,
    /// Replicas promised.
    #[serde(rename = "promised")]
    pub desired: u64,
    /// Replicas up; of services of other controllers' shards as these told last.
    #[serde(rename = "up")]
    pub running: u64,
    /// Services that lack replicas, the largest share first.
    #[serde(rename = "short")]
    pub under_replicated: Vec<UnderReplicatedServiceRow>,
    /// Teams with a quota limit, as the shards that this controller leads count them.
    #[serde(rename = "teams", default, skip_serializing_if = "Vec::is_empty")]
    pub team_usage: Vec<TeamUsageRow>,
}

/// Who counts what a team uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageSide {
    /// The placer of the team's shard: every attempt not proven to have ended.
    Placer,
    /// The owner of a shard: the attempts that it launched or saw on its machines.
    Owner,
}

/// What a team uses against its quota limit, in thousandths; no limit is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsageRow {
    /// The team.
    pub team: String,
    /// The shard whose leader counts.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Which side of it.
    pub side: UsageSide,
    /// Attempts counted.
    pub attempts: usize,
    /// Processors that they take.
    pub milli_cpus: u64,
    /// Accelerators that they take.
    pub milli_gpus: u64,
    /// Processors that the team may use.
    pub milli_cpus_limit: Option<u64>,
    /// Accelerators that the team may use.
    pub milli_gpus_limit: Option<u64>,
}

impl TeamUsageRow {
    /// True if it is more than the team may use.
    pub fn is_over_limit(&self) -> bool {
        let over = |used: u64, limit: Option<u64>| limit.is_some_and(|limit| used > limit);
        over(self.milli_cpus, self.milli_cpus_limit) || over(self.milli_gpus, self.milli_gpus_limit)
    }
}

/// A shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Its number.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Whose it is by right.
    #[serde(rename = "home")]
    pub preferred_leader: String,
    /// Who holds it.
    #[serde(rename = "holder")]
    pub leader: Option<String>,
    /// Its token.
    #[serde(rename = "token")]
    pub fencing_token: Option<u64>,
    /// Time of day of its last failover, ms.
    #[serde(rename = "since")]
    pub leader_since_ms: Option<u64>,
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
    /// The shard that serves the team.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Replicas promised.
    #[serde(rename = "promised")]
    pub desired: u32,
    /// The half of them that comes first after a loss.
    pub half: u32,
    /// Replicas up.
    #[serde(rename = "up")]
    pub running: u32,
    /// Replicas up by zone, where this controller places them.
    pub zones: Vec<(String, u32)>,
    /// s for which replicas have been missing; none: another controller knows.
    #[serde(rename = "short_s")]
    pub under_replicated_s: Option<u64>,
    /// s for which more than half have been missing.
    pub below_half_s: Option<u64>,
    /// What is being done about it.
    #[serde(rename = "doing")]
    pub action: String,
    /// s in which that should have worked; below zero: it is late.
    #[serde(rename = "due_s")]
    pub due_in_s: Option<i64>,
    /// What keeps it from being whole.
    #[serde(rename = "lacks")]
    pub blocked_by: String,
    /// What was tried beyond the usual way, the first first.
    #[serde(rename = "tried")]
    pub escalations: Vec<String>,
}

/// The shards' failovers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverReport {
    /// The controller that tells.
    pub host: String,
    /// ms since its last reading of the store began; none: it has not read it yet.
    #[serde(rename = "age_ms")]
    pub store_age_ms: Option<u64>,
    /// The changes, the newest first.
    #[serde(rename = "changes")]
    pub failovers: Vec<FailoverRow>,
}

/// A failover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRow {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Its number among the shard's.
    #[serde(rename = "n")]
    pub number: u64,
    /// Time of day, ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Who held it.
    #[serde(rename = "from")]
    pub previous_leader: Option<String>,
    /// Who took it; none: it was given up.
    #[serde(rename = "to")]
    pub new_leader: Option<String>,
    /// How, and by which proof.
    #[serde(rename = "how")]
    pub change: String,
    /// The shard's token, if this took it.
    #[serde(rename = "token")]
    pub fencing_token: Option<u64>,
    /// Replicas, other tasks and machines known to be up.
    pub up: Option<(u32, u32, u32)>,
    /// What was found; none: that is not written yet.
    #[serde(rename = "closed")]
    pub completion: Option<FailoverCompletionRow>,
}

/// What was found after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletionRow {
    /// Who told.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// ms until records and jobs were read, the first start, all services whole.
    #[serde(rename = "read_ms")]
    pub state_loaded_ms: Option<u64>,
    /// See [`Self::state_loaded_ms`].
    pub first_start_ms: Option<u64>,
    /// See [`Self::state_loaded_ms`].
    #[serde(rename = "whole_ms")]
    pub services_restored_ms: Option<u64>,
    /// ms until the next failover, of an entry that was left open.
    #[serde(rename = "held_ms")]
    pub leadership_ms: Option<u64>,
    /// Replicas found up, and started anew.
    pub found: Option<(u32, u32)>,
    /// Longest gap by class, ms, the worst first.
    pub gaps: Vec<(String, u64)>,
    /// What can't be known.
    pub unknown: Vec<String>,
}
