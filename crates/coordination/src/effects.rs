//! What the decisions ask the process to do, and the results that it reports back.

use lemonweir_model::JobId;
use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, SyncRequest};
use lemonweir_protocol::worker::HeartbeatResponse;
use lemonweir_storage::records::{parse_task_chunk_key, shard_key};

use crate::owner::CommandCall;

/// What the process has to do. Each names the lease under which it was asked, so that
/// the result for a shard that is no longer led is dropped.
#[derive(Debug)]
pub enum Effect {
    /// Make a compare-and-swap for a shard.
    CompareAndSwap(ShardLease, CompareAndSwap),
    /// Make a compare-and-swap for jobs that wait for their dependencies.
    DependencyCompareAndSwap(CompareAndSwap),
    /// Read the final states of these jobs.
    ReadFinalStates(Vec<JobId>),
    /// Write a hint; its result does not matter.
    WriteHint(CompareAndSwap),
    /// Command a worker.
    Command(ShardLease, CommandCall),
    /// Sync with an owner on another controller.
    Sync(ShardLease, SyncRequest),
    /// Send a sync through the store.
    StoreSync(SyncRequest),
    /// Answer a sync through the store, to this shard.
    StoreView(u16, ShardView),
    /// Ask the placer of another controller's shard to sync with us.
    WakePeer(u16),
    /// Scale out: provision instances.
    Provision(ShardLease, ProvisioningRequest),
    /// Scale in: release instances.
    ReleaseInstances(ShardLease, Vec<MachineId>),
    /// Send our availability gossip to another controller.
    SendGossip(u16, AvailabilityGossip),
    /// Try a service's direct route with a request that changes nothing.
    ProbeService(Service),
}

/// Counted work and judgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Words of bits and machines that candidate walks looked at.
    pub candidates_examined: u64,
    /// Placements refused for want of room.
    pub placements_refused: u64,
    /// Attempts preempted.
    pub attempts_preempted: u64,
}

/// A shard's lease: the shard with the fencing token under which it is led.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLease {
    /// The shard.
    pub shard: u16,
    /// Fencing token: the revision at which the lease was acquired.
    pub token: u64,
}

/// Keys of task records to read again after a compare-and-swap for a shard met other
/// versions: those among `conflicts`, or none if the shard itself is lost.
///
/// Guards against a deposed leader that reads its records again, one by one, while its
/// successor loads them.
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

/// What to answer to a worker's heartbeat.
#[derive(Debug)]
pub enum HeartbeatAnswer {
    /// 200 with commands.
    Commands(HeartbeatResponse),
    /// 421: send heartbeats to the controller of this host name.
    Redirect(String),
    /// Relay the heartbeat to the leader, the controller of this number, and answer
    /// with its answer.
    Relay(u16),
    /// 503.
    Unavailable,
}

/// How a provisioning request went.
#[derive(Debug)]
pub enum ProvisioningResult {
    /// These instances were provisioned.
    Provisioned(Vec<MachineId>),
    /// None available.
    NoCapacity,
    /// Ask again, under the same booking: it may have been executed.
    Retry,
}
