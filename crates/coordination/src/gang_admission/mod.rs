//! The gang admission protocol: the persisted step of a gang, and the decision on the next one.
//!
//! Each task chunk of a gang stores its step ([`GangAdmissionRecord`]), written under the
//! shard's fencing token.
//!
//! | step | written | effect |
//! | --- | --- | --- |
//! | planned | with its members' attempts, before any owner learns of them | owners are asked to grant resources; nothing is launched |
//! | admitted | once every owner has granted resources, in one compare-and-swap | this attempt of the gang is launched, and no other |
//! | released | with the ends of its attempts if one has ended, else at once | all members are stopped |
//!
//! A gang is admitted only when every chunk with a live member stores that step, so a gang
//! whose chunks did not fit into one compare-and-swap is never admitted in part. A successor
//! releases a gang if any chunk stores the release.

use lemonweir_protocol::peer::AttemptState;
use lemonweir_storage::records::{GangAdmissionRecord, GangAdmissionStep};

/// ms after the planned step was written within which every owner must grant the gang's
/// resources. Longer than the wait for preempted attempts (`PREEMPTION_TIMEOUT_MS`) and the
/// messages about it. On expiry the placer or its successor releases the whole gang and
/// places it elsewhere.
pub const GANG_GRANT_TIMEOUT_MS: u64 = 20_000;
/// Minimum ms that a placer waits for the launch of all members of an admitted gang. A
/// successor waits as long, however old the admission is: a new owner receives heartbeats
/// from its machines within two heartbeat intervals after its election.
const MIN_LAUNCH_TIMEOUT_MS: u64 = 20_000;

/// Admission state of a gang in its placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GangAdmission {
    /// The latest step, whether written or not.
    pub step: GangAdmissionStep,
    /// Time of day of the step, ms.
    pub at: u64,
    /// Attempt number that the members share.
    pub attempt: u32,
    /// Start of the step's timeout, ms by this controller's clock; `None`: the step is not
    /// written yet.
    pub since: Option<u64>,
}

impl GangAdmission {
    /// The first step of a gang, not written yet.
    pub fn planned(attempt: u32, at: u64) -> Self {
        Self {
            step: GangAdmissionStep::Planned,
            at,
            attempt,
            since: None,
        }
    }

    /// Advances to `step`, which is not written yet.
    pub fn advance(&mut self, step: GangAdmissionStep, at: u64) {
        (self.step, self.at, self.since) = (step, at, None);
    }

    /// The record that the gang's task chunks store.
    pub fn record(&self) -> GangAdmissionRecord {
        GangAdmissionRecord {
            step: self.step,
            at_ms: self.at,
            attempt: self.attempt,
        }
    }
}

/// Admission state that an earlier leader of the shard left for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InheritedAdmission {
    /// The step in effect.
    pub step: GangAdmissionStep,
    /// Time of day of the step, ms.
    pub at: u64,
    /// Attempt number that the members share; the highest one if they differ.
    pub attempt: u32,
}

/// Determines the admission state that an earlier leader of the shard left for a gang. Each
/// item is the attempt number of a live member and the admission record of its chunk. The
/// gang is released if any chunk says so or its members differ in their attempt number, and
/// otherwise is at the earliest step of its chunks. `None`: there are no live members.
pub fn inherited_admission<'a>(
    chunks: impl Iterator<Item = (u32, Option<&'a GangAdmissionRecord>)>,
) -> Option<InheritedAdmission> {
    chunks
        .map(|(attempt, record)| InheritedAdmission {
            // A chunk without a step was written by an earlier version, and one with an
            // unknown step by a later version. In both cases the gang may have been launched.
            step: match record.map(|record| record.step) {
                None | Some(GangAdmissionStep::Other) => GangAdmissionStep::Admitted,
                Some(step) => step,
            },
            at: record.map_or(0, |record| record.at_ms),
            attempt,
        })
        .reduce(|before, next| InheritedAdmission {
            // Members of two attempts are left behind by a placer that stopped between two
            // compare-and-swaps of one very large gang. They would wait for each other
            // forever.
            step: if before.attempt == next.attempt {
                effective_step(before.step, next.step)
            } else {
                GangAdmissionStep::Released
            },
            at: before.at.max(next.at),
            attempt: before.attempt.max(next.attempt),
        })
}

/// Combines the steps of two chunks of one gang: a release that has begun is completed, and
/// a gang that is not admitted in all chunks is not admitted.
fn effective_step(a: GangAdmissionStep, b: GangAdmissionStep) -> GangAdmissionStep {
    if a == GangAdmissionStep::Released || b == GangAdmissionStep::Released {
        GangAdmissionStep::Released
    } else {
        a.min(b)
    }
}

/// Counts of a gang's members by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GangMembers {
    /// Members that the gang needs.
    pub needed: u32,
    /// Attempts that have not ended.
    pub live: u32,
    /// Live attempts that are to be stopped.
    pub stopped: u32,
    /// Live attempts whose owners have granted resources.
    pub granted: u32,
    /// Live attempts observed on their machines.
    pub launched: u32,
    /// Live attempts observed to run.
    pub running: u32,
}

impl GangMembers {
    /// Adds one member with its last observed state and whether it is to be stopped.
    pub fn add(&mut self, state: Option<AttemptState>, stopped: bool) {
        self.live += 1;
        self.stopped += u32::from(stopped);
        self.granted += u32::from(state.is_some_and(|state| !state.is_terminal()));
        self.launched += u32::from(matches!(
            state,
            Some(AttemptState::Preparing | AttemptState::Running)
        ));
        self.running += u32::from(state == Some(AttemptState::Running));
    }
}

/// Why a gang is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Not every owner granted resources in time.
    NotGranted,
    /// A member is missing, or not all members were launched before the first ones stop
    /// waiting for the rest.
    NotWhole,
    /// A rule between attempts forbids its launch, and no member is on a machine.
    RuleBroken,
}

/// The decision on the next step of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangDecision {
    /// Wait for an event or, if given, until this time, ms.
    Wait(Option<u64>),
    /// Advance to the admitted step: every owner has granted resources.
    Admit,
    /// Release the whole gang.
    Release(ReleaseReason),
}

/// Decides on the next step of a gang whose first members wait `gang_wait_ms` for the last
/// one. The placer that planned the gang and any successor decide alike.
pub fn decide(
    admission: &GangAdmission,
    members: &GangMembers,
    gang_wait_ms: u64,
    now: u64,
) -> GangDecision {
    let release_after = |timeout_ms: u64, reason: ReleaseReason| match admission.since {
        None => GangDecision::Wait(None),
        Some(at) if now >= at + timeout_ms => GangDecision::Release(reason),
        Some(at) => GangDecision::Wait(Some(at + timeout_ms)),
    };
    match admission.step {
        GangAdmissionStep::Released => GangDecision::Wait(None),
        // The end of a member was recorded, and the placer stopped before it released the
        // rest, which would wait for that member forever.
        _ if members.live < members.needed => GangDecision::Release(ReleaseReason::NotWhole),
        GangAdmissionStep::Planned
            if admission.since.is_some()
                && members.stopped == 0
                && members.granted == members.live =>
        {
            GangDecision::Admit
        }
        // No timeout applies once a member runs. If the gang is only planned, a controller of
        // an earlier version launched it without admitting it.
        _ if members.running > 0 => GangDecision::Wait(None),
        GangAdmissionStep::Planned => {
            release_after(GANG_GRANT_TIMEOUT_MS, ReleaseReason::NotGranted)
        }
        GangAdmissionStep::Admitted | GangAdmissionStep::Other
            if members.launched < members.needed =>
        {
            release_after(
                gang_wait_ms.max(MIN_LAUNCH_TIMEOUT_MS),
                ReleaseReason::NotWhole,
            )
        }
        GangAdmissionStep::Admitted | GangAdmissionStep::Other => GangDecision::Wait(None),
    }
}

/// Start of the timeout of a step inherited at `now`. For an admitted gang it is the time of
/// the admission, but at least `MIN_LAUNCH_TIMEOUT_MS` remain for reports from every owner:
/// only heartbeats show the state of its members.
pub fn inherited_step_start(
    step: GangAdmissionStep,
    age_ms: u64,
    gang_wait_ms: u64,
    now: u64,
) -> u64 {
    match step {
        GangAdmissionStep::Admitted | GangAdmissionStep::Other => {
            now.saturating_sub(age_ms.min(gang_wait_ms.saturating_sub(MIN_LAUNCH_TIMEOUT_MS)))
        }
        GangAdmissionStep::Planned | GangAdmissionStep::Released => now,
    }
}
