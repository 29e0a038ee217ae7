//! Effects that the core requests from the process, and the results reported back.

use lemonweir_model::JobId;
use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, SyncRequest};
use lemonweir_protocol::progress::ProgressQuery;
use lemonweir_protocol::worker::{Heartbeat, HeartbeatResponse};
use lemonweir_storage::records::{parse_task_chunk_key, shard_key};

use crate::owner::CommandCall;
use crate::progress_exchange::ProgressMessage;

/// An action for the process to execute. Effects of a shard whose results the core handles
/// carry the lease under which they were requested, so that results for a shard that is no
/// longer led are dropped.
#[derive(Debug)]
pub enum Effect {
    /// Execute a compare-and-swap for a shard.
    CompareAndSwap(ShardLease, CompareAndSwap),
    /// Execute a compare-and-swap for jobs that are blocked by dependencies.
    DependencyCompareAndSwap(CompareAndSwap),
    /// Read the final states of these jobs.
    ReadFinalStates(Vec<JobId>),
    /// Write a record whose loss does no harm, such as image locations for the next leader;
    /// the result is ignored.
    WriteHint(CompareAndSwap),
    /// Send a command to a worker.
    Command(ShardLease, CommandCall),
    /// Answer a heartbeat whose answer was [`HeartbeatAnswer::Held`].
    AnswerHeartbeat(HeartbeatId, HeartbeatAnswer),
    /// Sync with an owner on another controller.
    Sync(ShardLease, SyncRequest),
    /// Send a sync through the store.
    StoreSync(SyncRequest),
    /// Answer a sync from this shard through the store.
    StoreView(u16, ShardView),
    /// Pull progress from the controller with this index, the leader of a shard.
    PullProgress(u16, ProgressQuery),
    /// Write a shard's progress, or a request for it, to the store.
    StoreProgress(ProgressMessage),
    /// Ask the placer of this shard, led by another controller, to sync with this controller.
    WakePeer(u16),
    /// Scale out: provision instances.
    Provision(ShardLease, ProvisioningRequest),
    /// Scale in: release instances.
    ReleaseInstances(ShardLease, Vec<MachineId>),
    /// Send availability gossip to another controller.
    SendGossip(u16, AvailabilityGossip),
    /// Probe the direct route to a service with a read-only request.
    ProbeService(Service),
}

/// Counters of placement work and its results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Number of bit set words and machines examined by placement.
    pub candidates_examined: u64,
    /// Number of placements refused: the machine lacked free resources or accepted no tasks.
    pub placements_refused: u64,
    /// Number of attempts preempted.
    pub attempts_preempted: u64,
}

/// A shard and the fencing token under which it is led.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLease {
    /// Number of the shard.
    pub shard: u16,
    /// Fencing token: the revision at which the lease was acquired.
    pub token: u64,
}

/// Keys of task records to read again after a compare-and-swap of a shard failed because of
/// `conflicts`: the task record keys among them, or none if the shard's own key conflicts.
/// In that case the shard is lost, and its former leader must not read its records again,
/// one by one, while the successor loads them.
pub fn keys_to_reread(lease: ShardLease, conflicts: &[String]) -> Vec<&str> {
    if conflicts.contains(&shard_key(lease.shard)) {
        return Vec::new();
    }
    conflicts
        .iter()
        .map(String::as_str)
        .filter(|key| parse_task_chunk_key(key).is_some())
        .collect()
}

/// The answer to a worker's heartbeat.
#[derive(Debug)]
pub enum HeartbeatAnswer {
    /// 200 with these commands for the worker.
    Commands(HeartbeatResponse),
    /// 421: send heartbeats to the controller with this host name.
    Redirect(String),
    /// Relay the heartbeat to the leader, the controller with this index, and return its
    /// answer.
    Relay(u16),
    /// 503: this controller can't answer, redirect or relay the heartbeat.
    Unavailable,
    /// The answer follows as [`Effect::AnswerHeartbeat`], well before the worker stops waiting for
    /// it.
    Held,
}

/// Identifies a heartbeat whose answer is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// Machine whose worker sent it.
    pub machine: MachineId,
    /// The worker's session.
    pub incarnation: u64,
    /// Number of the message.
    pub sequence: u64,
}

impl HeartbeatId {
    /// The id of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            machine: heartbeat.machine.clone(),
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
        }
    }
}

/// Result of a provisioning request.
#[derive(Debug)]
pub enum ProvisioningResult {
    /// These instances were provisioned.
    Provisioned(Vec<MachineId>),
    /// No instances are available.
    NoCapacity,
    /// Retry with the same request id: the request may have been executed.
    Retry,
}
