//! Replies to heartbeats that wait for a launch.
//!
//! A launch travels only in the reply to a heartbeat, and a worker has one heartbeat in flight at a
//! time. So the reply to a machine with free resources is held for a while: what is to be launched
//! meanwhile goes out at once instead of with the reply to the next heartbeat. While a reply is
//! held, the worker can't report that one of its tasks has ended.

use super::*;

/// ms for which the reply to a machine without tasks is held, and at most half a heartbeat
/// interval: below the time after which the worker gives its heartbeat up, with some seconds for
/// slow links and a busy process.
const IDLE_HOLD_MS: u64 = 2_500;
/// ms for which the reply to a machine with tasks and free resources is held. A worker sends two
/// heartbeats half a second apart at least, so the end of a task is reported little later.
const BUSY_HOLD_MS: u64 = 1_000;
/// ms for which the reply to a heartbeat is held that reports the end of a task: what is placed
/// on the freed resources has to be recorded first.
const FREED_HOLD_MS: u64 = 1_500;
/// ms for which the reply to the first heartbeat of a machine is held while the machine is queried.
const QUERY_HOLD_MS: u64 = 500;

/// A heartbeat whose reply is held.
#[derive(Debug)]
pub(super) struct HeldReply {
    receipt: HeartbeatReceipt,
    /// When the reply is sent at the latest, ms.
    until: u64,
}

/// What becomes of the reply to a heartbeat.
#[derive(Debug)]
pub(crate) enum HeartbeatDecision {
    /// It is sent now; `None`: the heartbeat must not be answered with status 200.
    Reply(Option<HeartbeatResponse>),
    /// It is held, and follows as a [`ReleasedReply`].
    Held,
}

/// The reply to a heartbeat that was held.
#[derive(Debug)]
pub(crate) struct ReleasedReply {
    /// The heartbeat.
    pub(crate) heartbeat: HeartbeatId,
    /// `None`: it must not be answered with status 200.
    pub(crate) response: Option<HeartbeatResponse>,
}

impl Owner {
    /// Sets how many replies may be held at a time; none by default.
    pub(crate) fn limit_held_replies(&mut self, max: usize) {
        self.held_replies_max = max;
    }

    /// Replies to a heartbeat that came directly, or holds the reply.
    pub(crate) fn reply_or_hold(
        &mut self,
        receipt: HeartbeatReceipt,
        now: u64,
    ) -> HeartbeatDecision {
        match self.hold_until(&receipt, now) {
            Some(until) => {
                self.hold(receipt, until);
                HeartbeatDecision::Held
            }
            None => HeartbeatDecision::Reply(self.reply(&receipt, now)),
        }
    }

    /// Until when the reply to a heartbeat is to be held; `None`: it is sent now.
    fn hold_until(&self, receipt: &HeartbeatReceipt, now: u64) -> Option<u64> {
        let m = self.machines.get(&receipt.machine)?;
        let hold_ms = match receipt.status {
            ReceiptStatus::Late => return None,
            ReceiptStatus::Unconfirmed if !m.incarnation.is_confirmed() => QUERY_HOLD_MS,
            _ if !self.may_launch_soon(&receipt.machine, m) => return None,
            _ => self.hold_ms(m, receipt),
        };
        let until = receipt.received_at + hold_ms;
        let holds = self.held_replies.len() < self.held_replies_max
            && now < until
            && !self.would_launch(receipt, m, now);
        holds.then_some(until)
    }

    /// True if something may be launched on the machine soon: it has free resources, or an attempt
    /// waits there.
    fn may_launch_soon(&self, id: &MachineId, m: &Machine) -> bool {
        let waits = |(attempt, tracked): (&AttemptId, &TrackedAttempt)| {
            matches!(tracked.stage, AttemptStage::AwaitingPreemption(_))
                || tracked.expects_launch(attempt, m)
        };
        m.is_schedulable()
            && (!is_exhausted(&self.free(id), &m.capacity) || self.attempts_on(id).any(waits))
    }

    /// True if the reply to this heartbeat would carry a launch now.
    fn would_launch(&self, receipt: &HeartbeatReceipt, m: &Machine, now: u64) -> bool {
        reply_channel(m, receipt, now) == CommandChannel::Response
            && self.has_due_launch(&receipt.machine, m)
    }

    fn hold_ms(&self, m: &Machine, receipt: &HeartbeatReceipt) -> u64 {
        if m.live_tasks().next().is_none() {
            IDLE_HOLD_MS.min(self.timing.heartbeat_interval_ms / 2)
        } else if receipt.reports_end {
            FREED_HOLD_MS
        } else {
            BUSY_HOLD_MS
        }
    }

    fn hold(&mut self, receipt: HeartbeatReceipt, until: u64) {
        let machine = receipt.machine.clone();
        if let Some(earlier) = self.take_held(&machine)
            && earlier.id() != receipt.id()
        {
            self.abandoned_heartbeats.push(earlier.id());
        }
        self.held_until.insert((until, machine.clone()));
        self.held_replies
            .insert(machine, HeldReply { receipt, until });
    }

    /// Takes a machine's held reply, if it has one.
    fn take_held(&mut self, machine: &MachineId) -> Option<HeartbeatReceipt> {
        let held = self.held_replies.remove(machine)?;
        self.held_until.remove(&(held.until, machine.clone()));
        Some(held.receipt)
    }

    /// Drops a machine's held reply: a later heartbeat shows that its worker no longer waits for
    /// it.
    pub(super) fn abandon_held(&mut self, machine: &MachineId) {
        if let Some(receipt) = self.take_held(machine) {
            self.abandoned_heartbeats.push(receipt.id());
        }
    }

    /// Returns the held replies that are due: those with a launch, and those held for long enough.
    pub(crate) fn due_replies(&mut self, now: u64) -> Vec<ReleasedReply> {
        let mut due: BTreeSet<MachineId> = self
            .call_candidates
            .iter()
            .filter(|id| self.launches_in_held_reply(id, now))
            .cloned()
            .collect();
        let expired = self
            .held_until
            .iter()
            .take_while(|(until, _)| *until <= now);
        due.extend(expired.map(|(_, id)| id.clone()));
        let mut replies = self.take_abandoned();
        for id in due {
            if let Some(receipt) = self.take_held(&id) {
                replies.extend(self.release_or_hold(receipt, now));
            }
        }
        replies
    }

    fn launches_in_held_reply(&self, id: &MachineId, now: u64) -> bool {
        self.held_replies
            .get(id)
            .zip(self.machines.get(id))
            .is_some_and(|(held, m)| self.would_launch(&held.receipt, m, now))
    }

    /// Replies to a held heartbeat, or goes on holding the reply: to a machine that has been
    /// confirmed since, it is held for as long as to any other.
    fn release_or_hold(&mut self, receipt: HeartbeatReceipt, now: u64) -> Option<ReleasedReply> {
        let heartbeat = receipt.id();
        match self.reply_or_hold(receipt, now) {
            HeartbeatDecision::Held => None,
            HeartbeatDecision::Reply(response) => Some(ReleasedReply {
                heartbeat,
                response,
            }),
        }
    }

    /// Takes all held replies, to be refused: this owner may not act now.
    pub(crate) fn refuse_held(&mut self) -> Vec<ReleasedReply> {
        self.held_until.clear();
        let held = std::mem::take(&mut self.held_replies).into_values();
        self.abandoned_heartbeats
            .extend(held.map(|held| held.receipt.id()));
        self.take_abandoned()
    }

    fn take_abandoned(&mut self) -> Vec<ReleasedReply> {
        std::mem::take(&mut self.abandoned_heartbeats)
            .into_iter()
            .map(|heartbeat| ReleasedReply {
                heartbeat,
                response: None,
            })
            .collect()
    }
}

/// True if the processors or accelerators that the machine has are used up.
fn is_exhausted(free: &Resources, capacity: &Resources) -> bool {
    let used_up = |free: u64, capacity: u64| capacity > 0 && free == 0;
    used_up(free.milli_cpus, capacity.milli_cpus) || used_up(free.milli_gpus, capacity.milli_gpus)
}
