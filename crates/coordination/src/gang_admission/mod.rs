//! The gang admission ledger: at which step a gang stands, and what follows.
//!
//! A gang's chunks carry its step ([`GangAdmissionRecord`]), each under the shard's
//! fencing token.
//!
//! | step | written | what may happen |
//! | --- | --- | --- |
//! | planned | with its members' attempts, before any owner learns of them | owners are asked for room; nothing is launched |
//! | admitted | once every owner has granted room, in one compare-and-swap | all of it is launched, and nothing else of the gang |
//! | released | with the ends of its attempts; at once where a successor decides it | everything of it is stopped |
//!
//! A step counts only when every chunk with a live member carries it, so a gang
//! whose chunks did not fit one compare-and-swap is not admitted by halves.

use lemonweir_protocol::peer::AttemptState;
use lemonweir_storage::records::{GangAdmissionRecord, GangAdmissionStep};

/// ms after its record within which every owner must have granted a gang room: more
/// than any wait for who is preempted (`PREEMPTION_TIMEOUT_MS`) and the messages about it. A
/// placer or a successor then releases all of it and tries elsewhere.
pub const GANG_GRANT_TIMEOUT_MS: u64 = 20_000;
/// ms that a successor gives every owner at least to be heard of an admitted gang,
/// however old its admission is: a new owner hears its machines within two heartbeat
/// intervals, and an election goes before.
const MIN_LAUNCH_TIMEOUT_MS: u64 = 20_000;

/// How far a gang has come, as its placer knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GangAdmission {
    /// The step.
    pub step: GangAdmissionStep,
    /// Time of day of the step, ms.
    pub at: u64,
    /// The attempt that its members share.
    pub attempt: u32,
    /// Since when its time counts, ms by this controller's clock; none: the step
    /// is not written yet.
    pub since: Option<u64>,
}

impl GangAdmission {
    /// A gang that is about to be recorded with its first step.
    pub fn planned(attempt: u32, at: u64) -> Self {
        Self {
            step: GangAdmissionStep::Planned,
            at,
            attempt,
            since: None,
        }
    }

    /// Advances to a step that is not written yet.
    pub fn advance(&mut self, step: GangAdmissionStep, at: u64) {
        (self.step, self.at, self.since) = (step, at, None);
    }

    /// What its chunks carry.
    pub fn record(&self) -> GangAdmissionRecord {
        GangAdmissionRecord {
            step: self.step,
            at_ms: self.at,
            attempt: self.attempt,
        }
    }
}

/// Where an earlier leader of the shard left a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InheritedAdmission {
    /// The step.
    pub step: GangAdmissionStep,
    /// Time of day of the step, ms.
    pub at: u64,
    /// The attempt that its members share.
    pub attempt: u32,
}

/// Where an earlier leader of the shard left a gang, read from its chunks with live
/// members: each one's attempt number, and what it carries of the ledger. The least
/// step of all counts. `None`: there are no live members.
pub fn inherited_admission<'a>(
    chunks: impl Iterator<Item = (u32, Option<&'a GangAdmissionRecord>)>,
) -> Option<InheritedAdmission> {
    chunks
        .map(|(attempt, record)| InheritedAdmission {
            // One without a step was written by an earlier version: its gang may have
            // been launched, and so may one of which a later version knows more.
            step: match record.map(|record| record.step) {
                None | Some(GangAdmissionStep::Other) => GangAdmissionStep::Admitted,
                Some(step) => step,
            },
            at: record.map_or(0, |record| record.at_ms),
            attempt,
        })
        .reduce(|before, next| InheritedAdmission {
            // Guards against members of two attempts, as a placer leaves them that
            // ended between two compare-and-swaps of one very large gang: they never
            // find one another.
            step: if before.attempt == next.attempt {
                least_step(before.step, next.step)
            } else {
                GangAdmissionStep::Released
            },
            at: before.at.max(next.at),
            attempt: before.attempt.max(next.attempt),
        })
}

/// Of two steps that chunks of one gang carry, the one that counts: a release
/// that began is completed, and what is not admitted everywhere isn't.
fn least_step(a: GangAdmissionStep, b: GangAdmissionStep) -> GangAdmissionStep {
    if a == GangAdmissionStep::Released || b == GangAdmissionStep::Released {
        GangAdmissionStep::Released
    } else {
        a.min(b)
    }
}

/// What a gang's members look like together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GangMembers {
    /// How many there must be.
    pub needed: u32,
    /// Attempts that have not ended.
    pub live: u32,
    /// Those of them that are to be stopped.
    pub stopped: u32,
    /// Those whose owners have granted room.
    pub granted: u32,
    /// Those observed on their machines.
    pub launched: u32,
    /// Those observed to run.
    pub running: u32,
}

impl GangMembers {
    /// Adds one member: its state as last observed, and whether it is to be stopped.
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
    /// Not every owner has granted room in time.
    NotGranted,
    /// Not all of it came to its machines while the first ones wait for the rest.
    NotWhole,
    /// Its team is over its quota limit, and none of it is on a machine.
    OverQuotaLimit,
}

/// What follows for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangVerdict {
    /// Nothing until something happens or this time has come, ms.
    Wait(Option<u64>),
    /// It is admitted.
    Admit,
    /// All of it is released.
    Release(ReleaseReason),
}

/// Decides for a gang whose first members wait `gang_wait_ms` for the last one.
/// The same for the placer that planned it and for any successor.
pub fn verdict(
    admission: &GangAdmission,
    members: &GangMembers,
    gang_wait_ms: u64,
    now: u64,
) -> GangVerdict {
    let release_after = |timeout_ms: u64, reason: ReleaseReason| match admission.since {
        None => GangVerdict::Wait(None),
        Some(at) if now >= at + timeout_ms => GangVerdict::Release(reason),
        Some(at) => GangVerdict::Wait(Some(at + timeout_ms)),
    };
    match admission.step {
        GangAdmissionStep::Released => GangVerdict::Wait(None),
        // The end of a member was recorded, and its placer ended before it could
        // stop the rest: they would wait for it for ever.
        _ if members.live < members.needed => GangVerdict::Release(ReleaseReason::NotWhole),
        GangAdmissionStep::Planned
            if admission.since.is_some()
                && members.stopped == 0
                && members.granted == members.live =>
        {
            GangVerdict::Admit
        }
        // A controller of an earlier version went on from here.
        _ if members.running > 0 => GangVerdict::Wait(None),
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
        GangAdmissionStep::Admitted | GangAdmissionStep::Other => GangVerdict::Wait(None),
    }
}

/// Since when a step that was inherited at `now` counts: from when it was taken,
/// but with time enough to hear from every owner, since only heartbeats tell what
/// became of it meanwhile.
pub fn step_counts_from(step: GangAdmissionStep, age_ms: u64, gang_wait_ms: u64, now: u64) -> u64 {
    match step {
        GangAdmissionStep::Admitted | GangAdmissionStep::Other => {
            now.saturating_sub(age_ms.min(gang_wait_ms.saturating_sub(MIN_LAUNCH_TIMEOUT_MS)))
        }
        GangAdmissionStep::Planned | GangAdmissionStep::Released => now,
    }
}
