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

/// What happens at a scheduled time.
pub(super) enum Event {
    /// A message reaches a controller process.
    Deliver(ProcessId, Box<Input>),
    /// A controller processes messages of its inbox.
    ProcessInbox(ProcessId),
    /// A controller's periodic work is due.
    Tick(ProcessId),
    /// A controller's read of the watched keys is due.
    ReadState(ProcessId),
    /// A controller renews its store lease and bids for shards, as far as that is due.
    KeepLeases(ProcessId),
    /// A controller requests the list of instances, and schedules its next request.
    ScheduleInstanceList(ProcessId),
    /// A request reaches the store.
    StoreRequest(ProcessId, StoreRequest, ServiceRoute),
    /// The store executes a request, and answers it this many µs later; `None`: never.
    StoreExecutes(ProcessId, StoreRequest, Option<u64>),
    /// Commands reach a machine.
    Commands(ProcessId, CommandDelivery),
    /// A worker's next local event or heartbeat is due.
    WorkerWakes(usize),
    /// A copy of a heartbeat reaches the controller that it was sent to, or the one that its
    /// worker reports to now.
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
    /// A provisioning request reaches the cloud once more.
    RepeatedProvision(Box<ProvisioningRequest>),
    /// A message reaches the process that runs on a controller once more.
    RepeatedInput(usize, Box<Input>),
    /// A release of machines reaches the cloud.
    Release(ProcessId, ShardLease, Vec<MachineId>, ServiceRoute),
    /// A request for the list of instances reaches the cloud.
    ListInstances(ProcessId, ServiceRoute),
    /// The direct route to a service is probed.
    Probe(ProcessId, Service),
    /// A user submits a job.
    Submit(JobId, SubmissionAttempt),
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
    /// A fault ends for these machines; a rolling restart restarts these controllers.
    FaultOver(usize, Vec<usize>),
    /// A reclaimed machine is removed.
    RemoveMachine(usize),
    /// Users send invalid requests while this fault lasts.
    InvalidRequests(usize),
    /// The periodic inspection is due.
    Inspect,
}

/// Commands on their way to a machine.
pub(super) struct CommandDelivery {
    pub(super) lease: ShardLease,
    pub(super) call: CommandCall,
    pub(super) timing: CommandTiming,
}

/// When commands reach their machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandTiming {
    /// In time: the result is returned.
    InTime,
    /// Late: the controller gets `CommandResult::Unknown` after its timeout instead of the result.
    Late,
    /// Once more, after they were executed and answered: the result reaches nobody.
    Repeated,
}

/// Whether a user submits a job for the first time or repeats the submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SubmissionAttempt {
    First,
    Repeated,
}

/// An answer on its way to a user.
pub(super) struct UserReply {
    pub(super) job: JobId,
    pub(super) phase: Option<JobPhase>,
    /// HTTP status of the answer.
    pub(super) status: u16,
    /// When the request reached the controller, µs.
    pub(super) asked_at: u64,
}

/// What a controller asks of the store.
#[derive(Clone)]
pub(super) enum StoreRequest {
    CompareAndSwap(CasOrigin, Box<CompareAndSwap>),
    /// Reads the watched keys.
    StateRead {
        /// Only changes since this revision; `None`: all keys.
        after: Option<u64>,
        /// When the read began, µs.
        began_at: u64,
    },
    /// Renews this store lease, or grants a new one for `None`.
    StoreLease(Option<u64>),
}

impl StoreRequest {
    /// Number of writes that count against the store's limits.
    pub(super) fn writes(&self) -> usize {
        if let StoreRequest::CompareAndSwap(_, cas) = self {
            cas.writes.len()
        } else {
            0
        }
    }
}

/// An event with its time, µs, and its sequence number among all scheduled events.
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
