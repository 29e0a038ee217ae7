//! Responses of `GET /v1/watch` and `GET /v1/watch/handovers`.

use serde::{Deserialize, Serialize};

/// The state of all shards and services as known to one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SupervisionReport {
    /// Host name of the controller.
    pub host: String,
    /// ms since its last read of the store began; `None` if it has not read it yet.
    #[serde(rename = "age_ms")]
    pub store_age_ms: Option<u64>,
    /// All shards, in the order of their numbers.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardRow>,
    /// Number of services of all shards, without those whose cancellation is requested.
    pub services: usize,
    /// Desired replicas of all services.
    #[serde(rename = "promised")]
    pub desired: u64,
    /// Running replicas of all services; those of other controllers' shards as last reported.
    #[serde(rename = "up")]
    pub running: u64,
    /// Services that lack replicas, those that lack the largest share first.
    #[serde(rename = "short")]
    pub under_replicated: Vec<UnderReplicatedServiceRow>,
    /// Teams with a quota limit, as the shards that this controller leads count them.
    #[serde(rename = "teams", default, skip_serializing_if = "Vec::is_empty")]
    pub team_usage: Vec<TeamUsageRow>,
}

/// The component that counts a team's usage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UsageSide {
    /// The placer of the team's shard: every attempt not proven to have ended.
    Placer,
    /// The owner of a shard: the attempts that it launched or saw on its machines.
    Owner,
}

/// A team's usage and quota limit; an absent limit means unlimited.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsageRow {
    /// Name of the team.
    pub team: String,
    /// Number of the shard whose leader counts.
    #[serde(rename = "part")]
    pub shard: u16,
    /// The component of the leader that counts.
    pub side: UsageSide,
    /// Number of attempts counted.
    pub attempts: usize,
    /// CPUs that the attempts take, in thousandths.
    pub milli_cpus: u64,
    /// GPUs that the attempts take, in thousandths.
    pub milli_gpus: u64,
    /// CPUs that the team may use, in thousandths.
    pub milli_cpus_limit: Option<u64>,
    /// GPUs that the team may use, in thousandths.
    pub milli_gpus_limit: Option<u64>,
}

impl TeamUsageRow {
    /// True if the usage exceeds a limit.
    pub fn is_over_limit(&self) -> bool {
        let over = |used: u64, limit: Option<u64>| limit.is_some_and(|limit| used > limit);
        over(self.milli_cpus, self.milli_cpus_limit) || over(self.milli_gpus, self.milli_gpus_limit)
    }
}

/// A shard and its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRow {
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Controller that leads the shard whenever it is up.
    #[serde(rename = "home")]
    pub preferred_leader: String,
    /// Host name of the current leader; `None` if there is none.
    #[serde(rename = "holder")]
    pub leader: Option<String>,
    /// Fencing token of the current leader.
    #[serde(rename = "token")]
    pub fencing_token: Option<u64>,
    /// Wall-clock time of the shard's last failover, ms since the Unix epoch; `None` if no
    /// failover is recorded.
    #[serde(rename = "since")]
    pub leader_since_ms: Option<u64>,
}

/// A service that lacks replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnderReplicatedServiceRow {
    /// Id of the job.
    pub job: String,
    /// Class of the job.
    pub class: String,
    /// Team of the job.
    pub team: String,
    /// Number of the shard that serves the team.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Number of replicas that the service should have: the job's tasks.
    #[serde(rename = "promised")]
    pub desired: u32,
    /// Half of the desired replicas, rounded up, which is restored first after a loss.
    pub half: u32,
    /// Number of replicas that run; as last reported if another controller places them, 0 if it
    /// has not reported them.
    #[serde(rename = "up")]
    pub running: u32,
    /// Running replicas by zone; empty if another controller places them.
    pub zones: Vec<(String, u32)>,
    /// s for which replicas have been missing; `None` if another controller places them.
    #[serde(rename = "short_s")]
    pub under_replicated_s: Option<u64>,
    /// s for which more than half of the replicas have been missing; `None` if that is not so,
    /// or another controller places them.
    pub below_half_s: Option<u64>,
    /// Action taken to restore the replicas.
    #[serde(rename = "doing")]
    pub action: String,
    /// s until the action should have succeeded; negative if it is overdue, `None` if unknown.
    #[serde(rename = "due_s")]
    pub due_in_s: Option<i64>,
    /// Why replicas are still missing; empty if unknown.
    #[serde(rename = "lacks")]
    pub blocked_by: String,
    /// Escalations beyond regular placement, in the order in which they were tried.
    #[serde(rename = "tried")]
    pub escalations: Vec<String>,
}

/// The failovers of all shards as known to one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverReport {
    /// Host name of the controller.
    pub host: String,
    /// ms since its last read of the store began; `None` if it has not read it yet.
    #[serde(rename = "age_ms")]
    pub store_age_ms: Option<u64>,
    /// The failovers, the newest first.
    #[serde(rename = "changes")]
    pub failovers: Vec<FailoverRow>,
}

/// A failover of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverRow {
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Number among the shard's failovers, from 1.
    #[serde(rename = "n")]
    pub number: u64,
    /// Wall-clock time of the failover, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Leader before the failover, if known.
    #[serde(rename = "from")]
    pub previous_leader: Option<String>,
    /// Leader that acquired the shard; `None` if it was released.
    #[serde(rename = "to")]
    pub new_leader: Option<String>,
    /// Why the leader changed, and what proved that it could.
    #[serde(rename = "how")]
    pub change: String,
    /// The shard's fencing token, if the failover acquired the shard.
    #[serde(rename = "token")]
    pub fencing_token: Option<u64>,
    /// Replicas, other tasks and machines of the shard that were known to be up.
    pub up: Option<(u32, u32, u32)>,
    /// Outcome; `None` if it is not written yet.
    #[serde(rename = "closed")]
    pub completion: Option<FailoverCompletionRow>,
}

/// Outcome of a failover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailoverCompletionRow {
    /// Controller that wrote it.
    #[serde(rename = "by")]
    pub reported_by: String,
    /// ms from the failover until the records and machines were loaded.
    #[serde(rename = "read_ms")]
    pub state_loaded_ms: Option<u64>,
    /// ms from the failover until the new leader first started an attempt.
    pub first_start_ms: Option<u64>,
    /// ms from the failover until all replicas were up again.
    #[serde(rename = "whole_ms")]
    pub services_restored_ms: Option<u64>,
    /// ms until the next failover, if a later leader completed the record.
    #[serde(rename = "held_ms")]
    pub leadership_ms: Option<u64>,
    /// Replicas that were found up, and replicas that had to be restarted.
    pub found: Option<(u32, u32)>,
    /// Longest downtime of a replica by class, ms, for the classes with the longest ones, the
    /// longest first.
    pub gaps: Vec<(String, u64)>,
    /// Facts that can no longer be determined.
    pub unknown: Vec<String>,
}
