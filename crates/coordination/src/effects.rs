//! What the decisions ask the process to do, and how it tells them of the end.

use lemonweir_model::JobId;
use lemonweir_model::MachineId;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, SyncRequest};
use lemonweir_protocol::worker::HeartbeatResponse;
use lemonweir_storage::records::{parse_task_chunk_key, shard_key};

use crate::owner::CommandCall;

/// What the process has to do. Each names the part and its token, so that an
/// answer to a part that is no longer held is dropped.
#[derive(Debug)]
pub enum Effect {
    /// Make a transaction.
    CompareAndSwap(ShardLease, CompareAndSwap),
    /// Make a transaction for jobs that wait for others.
    Chain(CompareAndSwap),
    /// Read the ends of these jobs.
    ReadEnds(Vec<JobId>),
    /// Write a hint; its end does not matter.
    Note(CompareAndSwap),
    /// Call a worker.
    Command(ShardLease, CommandCall),
    /// Sync with an owner on another node.
    Sync(ShardLease, SyncRequest),
    /// Send a sync through the store.
    MailSync(SyncRequest),
    /// Answer a sync through the store, to this part.
    MailView(u16, ShardView),
    /// Ask another part's placer to sync with us.
    Nudge(u16),
    /// Rent machines.
    Rent(ShardLease, ProvisioningRequest),
    /// Give machines back.
    Release(ShardLease, Vec<MachineId>),
    /// Tell another controller of our links.
    Hail(u16, AvailabilityGossip),
    /// Try a service's direct way with a request that changes nothing.
    Probe(Service),
}

/// Counted work and judgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounters {
    /// Words of bits and machines that walks looked at.
    pub looked: u64,
    /// Placements refused for want of room.
    pub refused: u64,
    /// Attempts pushed out for others.
    pub pushed_out: u64,
}

/// A part with the token under which something was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardLease {
    /// The part.
    pub shard: u16,
    /// Its token.
    pub token: u64,
}

/// Keys of task records to read again after a transaction for a shard met other
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

/// What to answer to a worker's report.
#[derive(Debug)]
pub enum HeartbeatAnswer {
    /// 200 with orders.
    Orders(HeartbeatResponse),
    /// 421: report to this controller.
    Elsewhere(String),
    /// Carry the report to the owner, the controller of this number, and answer
    /// with its answer.
    Carry(u16),
    /// 503.
    Unable,
}

/// How a rental went.
#[derive(Debug)]
pub enum ProvisioningResult {
    /// These machines were rented.
    Rented(Vec<MachineId>),
    /// None available.
    NoCapacity,
    /// Ask again, with the same name: it may have been executed.
    Again,
}
