//! The events of the simulation, and their order: by time and, at the same time, by the
//! order in which they were scheduled.

use std::cmp::Ordering;

use lemonweir_coordination::owner::CommandCall;
use lemonweir_coordination::{HeartbeatAnswer, ShardLease};
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::Service;
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::Heartbeat;

use super::routes::ServiceRoute;
use crate::controller::{CasOrigin, HeartbeatRef, Input, ProcessId};
use crate::scenario::Link;
use crate::workload_state::GangSignal;

/// Something that happens at a time.
pub(super) enum Event {
    /// A message reaches a controller process.
    Deliver(ProcessId, Box<Input>),
    /// A controller goes on with its inbox.
    ProcessInbox(ProcessId),
    /// A controller's periodic work is due.
    Tick(ProcessId),
    /// A controller reads the state.
    ReadState(ProcessId),
    /// A controller keeps its store lease and bids for shards.
    KeepLeases(ProcessId),
    /// A controller asks for the list of instances, now and periodically.
    ScheduleInstanceList(ProcessId),
    /// A request reaches the store.
    StoreRequest(ProcessId, StoreRequest, ServiceRoute),
    /// The store executes a request; its answer takes so many µs, `None`: none comes.
    StoreExecutes(ProcessId, StoreRequest, Option<u64>),
    /// Commands reach a machine.
    Commands(ProcessId, CommandDelivery),
    /// A worker has something to do.
    WorkerWakes(usize),
    /// A heartbeat reaches a controller, or the one that its worker reports to by now, a
    /// second time.
    DuplicateHeartbeat {
        machine: usize,
        controller: usize,
        heartbeat: Box<Heartbeat>,
    },
    /// The answer to a heartbeat reaches its machine.
    HeartbeatAnswer(HeartbeatRef, Box<HeartbeatAnswer>),
    /// A signal reaches another machine of a gang.
    GangSignal(GangSignal),
    /// A provisioning request reaches the cloud.
    Provision(
        ProcessId,
        ShardLease,
        Box<ProvisioningRequest>,
        ServiceRoute,
    ),
    /// A release of machines reaches the cloud.
    Release(ProcessId, ShardLease, Vec<MachineId>, ServiceRoute),
    /// A request for the list of instances reaches the cloud.
    ListInstances(ProcessId, ServiceRoute),
    /// The direct route to a service is probed.
    Probe(ProcessId, Service),
    /// A user submits a job.
    Submit(JobId, Attempt),
    /// An answer reaches a user.
    Reply(UserReply),
    /// A user polls a job.
    Poll(JobId),
    /// A user withdraws a job.
    Withdraw(JobId),
    /// A controller process starts.
    Boot(usize),
    /// A fault of the scenario begins.
    Fault(usize),
    /// A link goes down.
    LinkDown(Link),
    /// A link comes up.
    LinkUp(Link),
    /// A fault ends, for these machines or controllers.
    FaultOver(usize, Vec<usize>),
    /// A machine is gone.
    RemoveMachine(usize),
    /// Users send invalid requests while this fault lasts.
    InvalidRequests(usize),
    /// The periodic check of everything that must be so in time.
    Inspect,
}

/// Commands on their way to a machine.
pub(super) struct CommandDelivery {
    pub(super) lease: ShardLease,
    pub(super) call: CommandCall,
    /// The controller has given up waiting for the answer.
    pub(super) late: bool,
}

/// Which attempt of a user to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attempt {
    First,
    Repeated,
}

/// An answer on its way to a user.
pub(super) struct UserReply {
    pub(super) job: JobId,
    pub(super) phase: Option<JobPhase>,
    /// HTTP status.
    pub(super) status: u16,
    /// When the question reached the controller, µs.
    pub(super) asked: u64,
}

/// What a controller asks of the store.
pub(super) enum StoreRequest {
    CompareAndSwap(CasOrigin, Box<CompareAndSwap>),
    /// The changes of the watched keys.
    StateRead {
        /// Since this revision; none: all keys.
        after: Option<u64>,
        /// When the read began, µs.
        began: u64,
    },
    /// A store lease is renewed, or a new one granted.
    StoreLease(Option<u64>),
}

impl StoreRequest {
    /// Writes that count against the store's limits.
    pub(super) fn writes(&self) -> usize {
        if let StoreRequest::CompareAndSwap(_, cas) = self {
            cas.writes.len()
        } else {
            0
        }
    }
}

/// An event with its time and its place among those of the same time.
pub(super) struct ScheduledEvent {
    pub(super) at: u64,
    pub(super) sequence: u64,
    pub(super) event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
