//! Controllers among themselves.
//!
//! There is one exchange. A shard's placer says what it wants of another shard
//! ([`SyncRequest`]); that shard's owner answers with what it has ([`ShardView`]). Both say
//! what changed since the state that the other side acknowledged, as a
//! [`ChangeRange`] of numbers; one that begins at 0 starts from nothing, which is how
//! a whole state is told. A change carries the newest value, so a repeated one
//! changes nothing, and a late message is recognised by its number. The same
//! bytes travel over HTTP or, when two controllers can't reach each other,
//! through the store.

use crate::{DecodeError, decode_format};
use borsh::{BorshDeserialize, BorshSerialize};

use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{AttemptId, JobId, MachineId, Priority, Resources};

/// Which of a sender's numbered changes a message holds: those after `since`,
/// up to `upto`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ChangeRange {
    /// The state that the changes build on; 0: nothing.
    pub since: u64,
    /// The state that they lead to.
    pub until: u64,
    /// True if there was nothing newer.
    pub complete: bool,
}

impl ChangeRange {
    /// What a receiver at state `at` can do with it: `None` if something is
    /// missing between, or if the numbers make no sense.
    pub fn continues_from(&self, at: u64) -> Option<Continuation> {
        match self.since {
            0 => Some(Continuation::Snapshot),
            since if since <= at && since <= self.until => Some(Continuation::Delta),
            _ => None,
        }
    }
}

/// How a span goes on from what its receiver has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuation {
    /// From nothing: what it and its successors don't name is no more.
    Snapshot,
    /// From what there is.
    Delta,
}

/// What a placer wants of an owner.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct SyncRequest {
    /// Format.
    pub version: u8,
    /// Shard of the placer.
    pub from_shard: u16,
    /// Token of that shard.
    pub from_fencing_token: u64,
    /// Shard of the owner.
    pub to_shard: u16,
    /// Token of that shard, as the placer knows it.
    pub to_fencing_token: u64,
    /// Grows with every message of this pair of tokens.
    pub seq: u64,
    /// ms since the sender's node last heard from the store.
    pub store_age_ms: u64,
    /// Which changes of the recorded attempts on the owner's machines follow.
    pub range: ChangeRange,
    /// Attempts that are new or wanted differently.
    pub desired: Vec<DesiredAttempt>,
    /// Attempts that are no longer wanted, since their end is written.
    pub withdrawn: Vec<AttemptId>,
    /// Stops that stand behind the changes that had room here, with their grace:
    /// they don't wait for their turn.
    pub stops: Vec<(AttemptId, u32)>,
    /// States of the owner's machines and of its attempts that the placer has.
    pub observed: ObservedState,
    /// Machines of the owner that reported to the placer's node of late: they
    /// can't reach the owner.
    pub misrouted_heartbeats: u32,
    /// Machines provisioned by the placer that belong to the owner.
    pub provisioned: Vec<ProvisionedInstance>,
    /// Empty machines that the placer counts on for work to come.
    pub reserved_machines: Vec<MachineId>,
    /// Counts of the placer's jobs that changed, for answers at any node.
    pub progress: Vec<JobProgress>,
}

/// Why a sync was not answered: its sender's part has been taken by another
/// controller since.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Superseded {
    /// Format.
    pub version: u8,
    /// The sender's part.
    pub shard: u16,
    /// Its token now.
    pub fencing_token: u64,
    /// Who holds it.
    pub leader_host: String,
}

/// How much of an owner's state a placer has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ObservedState {
    /// Number of its machines' state.
    pub machines_revision: u64,
    /// Number of the attempts' state.
    pub attempts_revision: u64,
}

/// One attempt that shall run, or shall end.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct DesiredAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Where.
    pub machine: MachineId,
    /// What it takes.
    pub resources: Resources,
    /// Its image.
    pub image: String,
    /// Size of the image, thousandths of a GB.
    pub image_mb: u64,
    /// False while a gang's other tasks have no room yet: hold the room, but
    /// don't start.
    pub may_start: bool,
    /// Set when it shall end: seconds of grace.
    pub stop_grace_s: Option<u32>,
    /// Its team.
    pub team: String,
    /// Priority of its job.
    pub priority: Priority,
    /// True if its team runs it beyond its guarantee.
    pub over_quota: bool,
    /// Seconds of grace that it gets when it is preempted for other work.
    pub preemption_grace_s: u32,
    /// True if it runs until its job is cancelled.
    pub runs_until_cancelled: bool,
    /// Whom it may preempt if there is no room.
    pub preemption: PreemptionScope,
}

/// Whom an attempt may preempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum PreemptionScope {
    /// Nobody.
    Nobody,
    /// Work of lower priority.
    LowerPriority,
    /// That, and what other teams run beyond their guarantee.
    LowerPriorityOrOverQuota,
}

impl PreemptionScope {
    /// True if an attempt of this team and priority may preempt another.
    /// Work within its team's guarantee is preempted only by a higher
    /// priority that is within its own: otherwise it would come back at once
    /// and preempt whoever took its place, for ever. Nor do
    /// shares preempt production or a higher priority: a replica that is
    /// down costs its users more than a batch task that waits.
    pub fn allows(self, team: &str, rank: Priority, victim: &DesiredAttempt) -> bool {
        match self {
            PreemptionScope::Nobody => false,
            PreemptionScope::LowerPriority => victim.over_quota && victim.priority > rank,
            PreemptionScope::LowerPriorityOrOverQuota => {
                let others = victim.team != team
                    && victim.priority >= rank
                    && victim.priority != Priority::Production;
                victim.priority > rank || victim.over_quota && others
            }
        }
    }
}

/// A machine that was provisioned and has not shown up yet.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ProvisionedInstance {
    /// Its name.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// ms since the request.
    pub age_ms: u64,
}

/// Counts of a job, for display.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct JobProgress {
    /// The job.
    pub job: JobId,
    /// Tasks done.
    pub tasks_done: u32,
    /// Tasks that run.
    pub tasks_running: u32,
    /// Why it waits, if it does.
    pub wait_reason: String,
}

/// What an owner has.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct ShardView {
    /// Format.
    pub version: u8,
    /// Shard of the owner.
    pub shard: u16,
    /// Token of that shard.
    pub fencing_token: u64,
    /// Number of the message that this answers.
    pub seq: u64,
    /// ms since the sender's node last heard from the store.
    pub store_age_ms: u64,
    /// State of the asker's wants that the owner has; 0: it needs all.
    pub desired_revision: u64,
    /// Zones of the shard that are partitioned from its owner.
    pub partitioned_zones: Vec<PartitionedZone>,
    /// Which changes of machines follow.
    pub machines_range: ChangeRange,
    /// Machines that are new or changed.
    pub machines: Vec<MachineView>,
    /// Machines that are no more.
    pub removed_machines: Vec<MachineId>,
    /// Which changes of attempts follow.
    pub attempts_range: ChangeRange,
    /// The asker's attempts that moved on.
    pub attempts: Vec<AttemptStatus>,
}

/// A zone whose machines are mostly silent to their owner.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PartitionedZone {
    /// The zone.
    pub zone: String,
    /// ms since when.
    pub partitioned_for_ms: u64,
    /// ms until what ran there is proven over, if none of it is heard again.
    pub presumed_lost_in_ms: u64,
}

/// A machine as its owner sees it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct MachineView {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// False while it boots.
    pub registered: bool,
    /// True if it takes new tasks once up.
    pub schedulable: bool,
    /// True if the tasks on it should move: the cloud takes it.
    pub draining: bool,
    /// Free room.
    pub free: Resources,
    /// Room of attempts below each priority, highest first.
    pub preemptible: [Resources; 3],
    /// The same with all that teams run beyond their guarantees.
    pub preemptible_or_over_quota: [Resources; 3],
    /// Tasks on it.
    pub task_count: u16,
    /// Tasks on it that run until their jobs are cancelled.
    pub service_task_count: u16,
    /// Images that it has.
    pub cached_images: Vec<String>,
    /// Images that it fetches.
    pub pulling_images: Vec<String>,
    /// Shard that provisioned it, if known.
    pub provisioned_by: Option<u16>,
}

/// An attempt as its owner sees it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct AttemptStatus {
    /// The attempt.
    pub id: AttemptId,
    /// How it stands.
    pub state: AttemptState,
}

/// How an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum AttemptState {
    /// Accepted; not seen on the machine yet.
    Accepted,
    /// On the machine, fetching its image or waiting for its gang.
    Preparing,
    /// Runs (or saves).
    Running,
    /// Exited with this cause.
    Exited(ExitCause),
    /// Proven to be on no machine and never to start.
    Gone,
    /// Never started, and never will be: no room, or the machine is closed.
    Refused,
}

impl AttemptState {
    /// True if the attempt is proven to be over.
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
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Another task of the gang is gone.
    PeerLost,
    /// The gang was not complete in time.
    GangIncomplete,
    /// Failed.
    Failed,
    /// Start refused: no room.
    InsufficientResources,
    /// Start refused: another attempt is on the machine.
    TaskConflict,
    /// Start refused: no such job.
    UnknownJob,
}

impl ExitCause {
    /// Reads a cause from a heartbeat; what we don't know counts as a failure.
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

/// Reads a message of this format.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_format(bytes, PEER_VERSION)
}

/// Bytes that something takes in a message.
pub fn encoded_len<T: BorshSerialize>(item: &T) -> usize {
    borsh::object_length(item).unwrap_or(usize::MAX)
}

/// Writes a message.
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    // Writing into memory can't fail; an empty message is refused by `decode`.
    borsh::to_vec(message).unwrap_or_default()
}
