//! Messages between controllers that reconcile placers and owners.
//!
//! There is one exchange. A shard's placer sends its desired state of another shard
//! ([`SyncRequest`]); that shard's owner responds with the observed state ([`ShardView`]).
//! Both send what changed since the state that the other side acknowledged, as a
//! [`ChangeRange`] of numbers; a range that begins at 0 is a snapshot. A change carries the
//! newest value, so it is idempotent, and a late message is recognised by its sequence number.
//! The same bytes are sent over HTTP or, when two controllers can't reach each other, through
//! the store.

use crate::{DecodeError, decode_format};
use borsh::{BorshDeserialize, BorshSerialize};

use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{AttemptId, JobId, MachineId, Priority, Resources};

/// The sender's numbered changes in a message: those after `since`, up to and including
/// `until`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ChangeRange {
    /// Number of the state that the changes build on; 0: none, the message is a snapshot.
    pub since: u64,
    /// Number of the state that the changes lead to.
    pub until: u64,
    /// True if the sender had no newer changes.
    pub complete: bool,
}

impl ChangeRange {
    /// How a receiver at state `at` applies the changes; `None` if changes are missing in
    /// between or the numbers are inconsistent.
    pub fn continues_from(&self, at: u64) -> Option<Continuation> {
        match self.since {
            0 => Some(Continuation::Snapshot),
            since if since <= at && since <= self.until => Some(Continuation::Delta),
            _ => None,
        }
    }
}

/// How a receiver applies a [`ChangeRange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// Replaces the receiver's state. An entry that is neither in this message nor in the ones
    /// that continue the snapshot no longer exists.
    Snapshot,
    /// Builds on the receiver's state.
    Delta,
}

/// A placer's desired state of another shard.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SyncRequest {
    /// Format version: [`PEER_VERSION`].
    pub version: u8,
    /// Shard of the placer.
    pub from_shard: u16,
    /// Fencing token of the placer's shard.
    pub from_fencing_token: u64,
    /// Shard of the owner.
    pub to_shard: u16,
    /// Fencing token of the owner's shard, as known to the placer.
    pub to_fencing_token: u64,
    /// Sequence number, which grows with every message of this pair of fencing tokens.
    pub seq: u64,
    /// ms since the sender's last successful read of the store began; `u64::MAX` if it has not
    /// read it yet.
    pub store_age_ms: u64,
    /// Changes of the recorded attempts on the owner's machines that this message holds.
    pub range: ChangeRange,
    /// Attempts that are new or whose desired state changed.
    pub desired: Vec<DesiredAttempt>,
    /// Attempts that are no longer desired, since their end is recorded.
    pub withdrawn: Vec<AttemptId>,
    /// Attempts to stop, with their grace period in s, whose changes don't fit into this
    /// message: stops don't wait for their place in the order of changes.
    pub stops: Vec<(AttemptId, u32)>,
    /// States of the owner's machines and attempts that the placer has received.
    pub observed: ObservedState,
    /// Number of the owner's machines that recently sent heartbeats to the placer's
    /// controller, probably because they can't reach the owner.
    pub misrouted_heartbeats: u32,
    /// Machines provisioned by the placer that belong to the owner.
    pub provisioned: Vec<ProvisionedInstance>,
    /// Empty machines that the placer reserves for expected work.
    pub reserved_machines: Vec<MachineId>,
    /// Changed progress of the placer's jobs, so that any controller can respond to polls.
    pub progress: Vec<JobProgress>,
}

/// Response to a sync whose sender no longer leads its shard: another controller has acquired
/// it since.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Superseded {
    /// Format version: [`PEER_VERSION`].
    pub version: u8,
    /// Shard of the sender.
    pub shard: u16,
    /// Current fencing token of the shard.
    pub fencing_token: u64,
    /// Host name of its current leader.
    pub leader_host: String,
}

/// The states of an owner that a placer has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObservedState {
    /// Number of the state of the owner's machines.
    pub machines_revision: u64,
    /// Number of the state of the placer's attempts there.
    pub attempts_revision: u64,
}

/// An attempt that should run, or should be stopped.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct DesiredAttempt {
    /// Job, task and number of the attempt.
    pub id: AttemptId,
    /// Machine that it is placed on.
    pub machine: MachineId,
    /// Resources that it takes.
    pub resources: Resources,
    /// Image that it runs.
    pub image: String,
    /// Size of the image, MB (thousandths of a GB).
    pub image_mb: u64,
    /// False while other tasks of its gang have no resources yet: the owner reserves its
    /// resources but doesn't start it.
    pub may_start: bool,
    /// Grace period in s if the attempt should be stopped; `None` while it should run.
    pub stop_grace_s: Option<u32>,
    /// Team of its job.
    pub team: String,
    /// Priority of its job.
    pub priority: Priority,
    /// True if it exceeds the guaranteed quota of its team.
    pub over_quota: bool,
    /// Grace period in s if it is preempted.
    pub preemption_grace_s: u32,
    /// True if it runs until its job is cancelled.
    pub runs_until_cancelled: bool,
    /// Attempts that it may preempt if the free resources don't suffice.
    pub preemption: PreemptionScope,
}

/// The attempts that an attempt may preempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PreemptionScope {
    /// It may preempt no attempts.
    Nobody,
    /// Attempts of lower priority that exceed their team's guarantee.
    LowerPriority,
    /// Attempts of lower priority, and attempts of the same priority that exceed the guarantee
    /// of another team, except production.
    LowerPriorityOrOverQuota,
}

impl PreemptionScope {
    /// True if an attempt of this team and priority may preempt `victim`.
    ///
    /// A victim within its team's guarantee is preempted only by an attempt of higher priority
    /// that is within its own team's guarantee: otherwise the victim would return at once and
    /// preempt its successor, forever. A guarantee alone doesn't preempt production
    /// or a higher priority: a replica that is down costs its users more than a batch task that
    /// waits.
    pub fn allows(self, team: &str, priority: Priority, victim: &DesiredAttempt) -> bool {
        match self {
            PreemptionScope::Nobody => false,
            PreemptionScope::LowerPriority => victim.over_quota && victim.priority > priority,
            PreemptionScope::LowerPriorityOrOverQuota => {
                let other_team = victim.team != team
                    && victim.priority >= priority
                    && victim.priority != Priority::Production;
                victim.priority > priority || victim.over_quota && other_team
            }
        }
    }
}

/// A machine that was provisioned and has not registered yet.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ProvisionedInstance {
    /// Name of the machine.
    pub machine: MachineId,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine, false for an on-demand one.
    pub spot: bool,
    /// ms since the provisioning request.
    pub age_ms: u64,
}

/// Progress of a job, for display.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct JobProgress {
    /// Id of the job.
    pub job: JobId,
    /// Number of tasks that are done.
    pub tasks_done: u32,
    /// Number of tasks that run.
    pub tasks_running: u32,
    /// Why the job waits; empty if it doesn't.
    pub wait_reason: String,
}

/// The observed state of a shard, as its owner reports it to a placer.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardView {
    /// Format version: [`PEER_VERSION`].
    pub version: u8,
    /// Shard of the owner.
    pub shard: u16,
    /// Fencing token of that shard.
    pub fencing_token: u64,
    /// Sequence number of the sync that this responds to.
    pub seq: u64,
    /// ms since the sender's last successful read of the store began; `u64::MAX` if it has not
    /// read it yet.
    pub store_age_ms: u64,
    /// Number of the placer's desired state that the owner has; 0 requests a snapshot.
    pub desired_revision: u64,
    /// Zones of the shard that are partitioned from its owner.
    pub partitioned_zones: Vec<PartitionedZone>,
    /// Changes of machines that this message holds.
    pub machines_range: ChangeRange,
    /// Machines that are new or changed.
    pub machines: Vec<MachineView>,
    /// Machines that no longer exist.
    pub removed_machines: Vec<MachineId>,
    /// Changes of attempts that this message holds.
    pub attempts_range: ChangeRange,
    /// The placer's attempts whose state changed.
    pub attempts: Vec<AttemptStatus>,
}

/// A zone most of whose machines don't reach their owner.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PartitionedZone {
    /// Name of the zone.
    pub zone: String,
    /// ms since the partition began.
    pub partitioned_for_ms: u64,
    /// ms until the attempts there are proven to have ended, unless their machines send
    /// heartbeats again.
    pub presumed_lost_in_ms: u64,
}

/// A machine as observed by its owner.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineView {
    /// Name of the machine.
    pub id: MachineId,
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot machine, false for an on-demand one.
    pub spot: bool,
    /// True once the machine's worker has shown a token of this owner: false while the machine
    /// boots, and after its lease has expired until the worker begins a new session.
    pub registered: bool,
    /// True if the machine accepts new tasks once it is registered.
    pub schedulable: bool,
    /// True if its tasks should be moved, since the cloud reclaims the machine.
    pub draining: bool,
    /// Resources that no attempt takes or reserves; zero while the machine runs a task that no
    /// placer has asked this owner for yet.
    pub free: Resources,
    /// Resources of the attempts that [`PreemptionScope::LowerPriority`] may preempt, for the
    /// three highest priorities, highest first. The lowest priority preempts nothing.
    pub preemptible: [Resources; 3],
    /// The same for [`PreemptionScope::LowerPriorityOrOverQuota`], regardless of the teams.
    pub preemptible_or_over_quota: [Resources; 3],
    /// Number of tasks on the machine.
    pub task_count: u16,
    /// Number of tasks on the machine that run until their jobs are cancelled.
    pub service_task_count: u16,
    /// Images that the machine has cached.
    pub cached_images: Vec<String>,
    /// Images that the machine is pulling.
    pub pulling_images: Vec<String>,
    /// Shard that provisioned it, if known.
    pub provisioned_by: Option<u16>,
}

/// The state of an attempt as observed by its owner.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AttemptStatus {
    /// Job, task and number of the attempt.
    pub id: AttemptId,
    /// Its newest state.
    pub state: AttemptState,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptState {
    /// Accepted by the owner, but not seen on the machine yet.
    Accepted,
    /// On the machine, pulling its image or waiting for its gang.
    Preparing,
    /// Running or checkpointing.
    Running,
    /// Exited with this cause.
    Exited(ExitCause),
    /// Proven to be on no machine and to never start.
    Gone,
    /// Never started and never will be: the resources didn't suffice or were not freed in time,
    /// the machine accepts no new tasks, or the owner released an unused grant.
    Refused,
}

impl AttemptState {
    /// True if the attempt is proven to have ended.
    pub fn is_terminal(self) -> bool {
        matches!(
            self,
            AttemptState::Exited(_) | AttemptState::Gone | AttemptState::Refused
        )
    }
}

/// Why an attempt exited.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// Stopped by a command.
    Stopped,
    /// Another task of the gang was lost.
    PeerLost,
    /// The gang was not complete in time.
    GangIncomplete,
    /// The task failed.
    Failed,
    /// The worker refused to start it: insufficient resources.
    InsufficientResources,
    /// The worker refused to start it: another attempt of the task is on the machine.
    TaskConflict,
    /// The worker refused to start it: unknown job.
    UnknownJob,
}

impl ExitCause {
    /// Parses the cause in a heartbeat; an unknown or missing one counts as a failure.
    pub fn from_wire(text: Option<&str>) -> Self {
        match text {
            Some("done") => ExitCause::Done,
            Some("stopped") => ExitCause::Stopped,
            Some("peers") => ExitCause::PeerLost,
            Some("alone") => ExitCause::GangIncomplete,
            Some("no_room") => ExitCause::InsufficientResources,
            Some("in_use") => ExitCause::TaskConflict,
            Some("unknown") => ExitCause::UnknownJob,
            _ => ExitCause::Failed,
        }
    }
}

/// Decodes a message whose format version is [`PEER_VERSION`].
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_format(bytes, PEER_VERSION)
}

/// Number of bytes that an item takes in a message.
pub fn encoded_len<T: BorshSerialize>(item: &T) -> usize {
    borsh::object_length(item).unwrap_or(usize::MAX)
}

/// Encodes a message, the counterpart of [`decode`].
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    // Encoding into memory can't fail; `decode` rejects an empty message.
    borsh::to_vec(message).unwrap_or_default()
}
