//! The gang admission ledger: at which step a gang stands, and what follows.
//!
//! A gang's chunks carry its step ([`GangAdmissionRecord`]), each under the part's token.
//!
//! | step | written | what may happen |
//! | --- | --- | --- |
//! | planned | with its members' attempts, before any owner hears of them | owners are asked for room; nothing is launched |
//! | admitted | once every owner has granted room, in one transaction | all of it is launched, and nothing else of the gang |
//! | released | with the ends of its attempts; at once where a successor decides it | everything of it is stopped |
//!
//! A step counts only when every chunk with a live member carries it, so a gang
//! whose chunks did not fit one transaction is not admitted by halves.

use lemonweir_model::constants::{GANG_GRANT_MS, GANG_HEAR_MS};
use lemonweir_protocol::peer::AttemptState;
use lemonweir_storage::records::{GangAdmissionRecord, GangAdmissionStep};

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

    /// Goes on to a step that is not written yet.
    pub fn go_on(&mut self, step: GangAdmissionStep, at: u64) {
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

/// The step that an earlier holder of the part left a gang at, read from its
/// chunks with live members: each one's attempt numbers, and what it carries of
/// the ledger. The least step of all counts.
pub fn inherited<'a>(
    chunks: impl Iterator<Item = (u32, Option<&'a GangAdmissionRecord>)>,
) -> Option<(GangAdmissionStep, u64, u32)> {
    let mut found: Option<(GangAdmissionStep, u64, u32)> = None;
    for (attempt, record) in chunks {
        // One without a step was written by an earlier version: its gang may have
        // been launched, and so may one of which a later version knows more.
        let step = match record.map(|r| r.step) {
            None | Some(GangAdmissionStep::Other) => GangAdmissionStep::Admitted,
            Some(step) => step,
        };
        let at = record.map_or(0, |r| r.at_ms);
        found = Some(match found {
            None => (step, at, attempt),
            // Guards against members of two attempts, as a placer leaves them that
            // ended between two transactions of one very large gang: they never
            // find one another.
            Some((_, at_before, a)) if a != attempt => (
                GangAdmissionStep::Released,
                at.max(at_before),
                a.max(attempt),
            ),
            Some((before, at_before, a)) => (least(before, step), at.max(at_before), a),
        });
    }
    found
}

/// Of two steps that chunks of one gang carry, the one that counts: a release
/// that began is gone on with, and what is not admitted everywhere isn't.
fn least(a: GangAdmissionStep, b: GangAdmissionStep) -> GangAdmissionStep {
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
    /// Attempts that are not over.
    pub live: u32,
    /// Those of them that are to be stopped.
    pub stopped: u32,
    /// Those whose owners have granted room.
    pub granted: u32,
    /// Those seen on their machines.
    pub launched: u32,
    /// Those seen to run.
    pub running: u32,
}

impl GangMembers {
    /// Adds one member.
    pub fn add(&mut self, standing: Option<AttemptState>, stopped: bool) {
        self.live += 1;
        self.stopped += u32::from(stopped);
        self.granted += u32::from(standing.is_some_and(|s| !s.is_terminal()));
        self.launched += u32::from(matches!(
            standing,
            Some(AttemptState::Preparing | AttemptState::Running)
        ));
        self.running += u32::from(standing == Some(AttemptState::Running));
    }
}

/// Why a gang is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseReason {
    /// Not every owner has granted room in time.
    NotGranted,
    /// Not all of it came to its machines while the first ones wait for the rest.
    NotWhole,
}

/// What follows for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GangVerdict {
    /// Nothing until something happens or this time has come.
    Wait(Option<u64>),
    /// It is admitted.
    Admit,
    /// All of it is given back.
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
    let bounded = |since: Option<u64>, most: u64, why: ReleaseReason| match since {
        None => GangVerdict::Wait(None),
        Some(at) if now >= at + most => GangVerdict::Release(why),
        Some(at) => GangVerdict::Wait(Some(at + most)),
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
            bounded(admission.since, GANG_GRANT_MS, ReleaseReason::NotGranted)
        }
        GangAdmissionStep::Admitted | GangAdmissionStep::Other
            if members.launched < members.needed =>
        {
            bounded(
                admission.since,
                gang_wait_ms.max(GANG_HEAR_MS),
                ReleaseReason::NotWhole,
            )
        }
        _ => GangVerdict::Wait(None),
    }
}

/// Since when a step that was inherited at `now` counts: from when it was taken,
/// but with time enough to hear from every owner, since only reports tell what
/// became of it meanwhile.
pub fn counts_from(step: GangAdmissionStep, age_ms: u64, gang_wait_ms: u64, now: u64) -> u64 {
    match step {
        GangAdmissionStep::Admitted | GangAdmissionStep::Other => {
            now.saturating_sub(age_ms.min(gang_wait_ms.saturating_sub(GANG_HEAR_MS)))
        }
        _ => now,
    }
}
