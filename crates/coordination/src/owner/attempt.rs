//! The attempts that placers want on machines of this shard, and their stages.

use super::*;

/// Stage of an attempt on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptStage {
    /// Neither admitted nor refused: the machine has not shown this owner's token yet.
    Undecided,
    /// Waits, since this time in ms, for the attempts that are preempted for it to end.
    AwaitingPreemption(u64),
    /// Admitted: its resources on the machine are reserved.
    Accepted {
        /// The worker's session in which a launch was sent or the task was last reported;
        /// `None`: no launch that may still be executed was sent.
        launched_in: Option<u64>,
        /// Whether the worker has reported it.
        reported: bool,
    },
    /// Ended or refused, which is final; the state is published to its placer.
    Ended(AttemptState),
}

impl AttemptStage {
    /// Accepted, with no launch sent that may still be executed.
    pub(super) const NOT_LAUNCHED: Self = Self::Accepted {
        launched_in: None,
        reported: false,
    };
}

/// An attempt that a placer wants on a machine of this shard.
#[derive(Debug)]
pub(super) struct TrackedAttempt {
    /// Shard of its placer.
    pub(super) placer: u16,
    /// The desired state, as last sent by its placer.
    pub(super) desired: DesiredAttempt,
    /// Seconds that it has to save a checkpoint; `None` unless it is preempted.
    pub(super) preemption_grace_s: Option<u32>,
    /// When a call last carried its stop command, ms.
    pub(super) stop_sent_at: Option<u64>,
    /// When this owner first learned of it, ms.
    pub(super) tracked_since: u64,
    /// When it was first ready to be launched, ms.
    pub(super) launch_due_since: Option<u64>,
    /// When it was first reported as running, ms.
    pub(super) running_since: Option<u64>,
    /// Whether it has been counted as a success.
    pub(super) success_recorded: bool,
    pub(super) stage: AttemptStage,
}

impl TrackedAttempt {
    /// Starts tracking an attempt that the placer of the shard `placer` wants.
    pub(super) fn new(placer: u16, desired: DesiredAttempt, now: u64) -> Self {
        Self {
            placer,
            desired,
            preemption_grace_s: None,
            stop_sent_at: None,
            tracked_since: now,
            launch_due_since: None,
            running_since: None,
            success_recorded: false,
            stage: AttemptStage::Undecided,
        }
    }

    /// Seconds of grace if it is to stop, on its placer's request or by preemption; `None`
    /// otherwise.
    pub(super) fn stop_grace_s(&self) -> Option<u32> {
        self.desired.stop_grace_s.or(self.preemption_grace_s)
    }

    /// Returns true if it is accepted, may start, is not to stop, and is not reported by its
    /// machine yet.
    pub(super) fn awaits_launch(&self, id: &AttemptId, m: &Machine) -> bool {
        self.desired.may_start && self.expects_launch(id, m)
    }

    /// Returns true if it is to be launched now or once the rest of its gang may start.
    pub(super) fn expects_launch(&self, id: &AttemptId, m: &Machine) -> bool {
        let accepted = matches!(
            self.stage,
            AttemptStage::Accepted {
                reported: false,
                ..
            }
        );
        self.stop_grace_s().is_none() && accepted && !m.tasks.contains_key(id)
    }
}
