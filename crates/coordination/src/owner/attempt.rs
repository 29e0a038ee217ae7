//! An attempt that a placer wants on a machine of this shard, and how far it has come.

use super::*;

/// How far an attempt has come on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptStage {
    /// Not decided: the machine has not shown this owner's token yet.
    Undecided,
    /// Waits, since this time in ms, for the attempts that are preempted for it.
    AwaitingPreemption(u64),
    /// Has room.
    Accepted {
        /// Session of the worker that a launch was sent in.
        launched_in: Option<u64>,
        /// The worker has reported it.
        reported: bool,
    },
    /// Over.
    Ended(AttemptState),
}

impl AttemptStage {
    /// Accepted, and no launch was sent.
    pub(super) const NOT_LAUNCHED: Self = Self::Accepted {
        launched_in: None,
        reported: false,
    };
}

/// An attempt that a placer wants here.
#[derive(Debug)]
pub(super) struct TrackedAttempt {
    /// Shard of its placer.
    pub(super) placer: u16,
    /// As its placer wants it; refreshed by every sync.
    pub(super) desired: DesiredAttempt,
    /// Set when it is preempted: s that it may take to save a checkpoint.
    pub(super) preemption_grace_s: Option<u32>,
    /// When a call last carried its stop, ms.
    pub(super) stop_sent_at: Option<u64>,
    pub(super) tracked_since: u64,
    /// When it was first seen running, ms.
    pub(super) running_since: Option<u64>,
    /// It has run for long enough to count as a success.
    pub(super) success_recorded: bool,
    pub(super) stage: AttemptStage,
}

impl TrackedAttempt {
    /// Just asked for by the placer of the shard `from`.
    pub(super) fn new(placer: u16, desired: DesiredAttempt, now: u64) -> Self {
        Self {
            placer,
            desired,
            preemption_grace_s: None,
            stop_sent_at: None,
            tracked_since: now,
            running_since: None,
            success_recorded: false,
            stage: AttemptStage::Undecided,
        }
    }

    /// Grace in s if it is to stop, for whatever reason.
    pub(super) fn stop_grace_s(&self) -> Option<u32> {
        self.desired.stop_grace_s.or(self.preemption_grace_s)
    }

    /// It has room and is to be launched, and its machine has not reported it yet.
    pub(super) fn awaits_launch(&self, id: &AttemptId, m: &Machine) -> bool {
        let accepted = matches!(
            self.stage,
            AttemptStage::Accepted {
                reported: false,
                ..
            }
        );
        self.desired.may_start
            && self.stop_grace_s().is_none()
            && accepted
            && !m.tasks.contains_key(id)
    }
}
