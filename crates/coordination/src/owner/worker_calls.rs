//! Calls to workers: when one is due, what it carries, and what its result proves.

use super::*;

/// ms to wait after a failed call before the machine is called again.
const CALL_RETRY_MS: u64 = 1_000;
/// Maximum number of calls that an owner has in progress to machines that don't receive
/// replies to their heartbeats. Most of these calls time out, and must not delay launches on
/// other machines.
pub const UNREACHABLE_CALLS_MAX: usize = 8;

/// A call to a worker that the process is to make.
#[derive(Debug, Clone)]
pub struct CommandCall {
    /// Machine whose worker is called.
    pub machine: MachineId,
    /// Address at which the worker accepts calls.
    pub addr: SocketAddr,
    /// The request to send.
    pub commands: CommandsRequest,
    /// Number of the controller that relays the call; `None` if it goes directly.
    pub relayed_by: Option<u16>,
}

/// Outcome of a call to a worker.
#[derive(Debug)]
pub enum CommandResult {
    /// The worker executed the commands, and returned this status.
    Executed(Heartbeat),
    /// The worker refused the call, since its token is outdated or its session is not the
    /// worker's, and returned this status.
    Refused(Heartbeat),
    /// The call was certainly not sent, so it can't be executed later.
    NotSent,
    /// Unknown: it may have been executed, or may be executed later.
    Unknown,
}

impl CommandCall {
    /// Returns the attempts for which it carries commands of this kind.
    fn attempts(&self, kind: CommandKind) -> impl Iterator<Item = AttemptId> {
        self.commands
            .commands
            .iter()
            .filter(move |command| command.kind == kind)
            .filter_map(|command| AttemptId::parse(&command.task, command.attempt))
    }
}

/// Whether a machine can be called now.
enum CallReadiness {
    /// It can be called at this address.
    Ready(SocketAddr),
    /// Not yet; it stays a candidate.
    Later,
    /// No; its next heartbeat or the end of its call makes it a candidate again.
    NotReady,
}

impl Owner {
    /// Begins and returns the calls to workers that are due, at most `max_calls`. Only
    /// machines that changed, or for which a call is still due, are considered. Those beyond
    /// the limit stay candidates until other calls have ended.
    pub fn due_calls(&mut self, now: u64, max_calls: usize) -> Vec<CommandCall> {
        let mut calls = Vec::new();
        for id in std::mem::take(&mut self.call_candidates) {
            if calls.len() >= max_calls {
                self.call_candidates.insert(id);
                continue;
            }
            match self.call_readiness(&id, now) {
                CallReadiness::Ready(address) => calls.extend(self.begin_call(&id, address, now)),
                CallReadiness::Later => drop(self.call_candidates.insert(id)),
                CallReadiness::NotReady => {}
            }
        }
        calls
    }

    fn call_readiness(&self, id: &MachineId, now: u64) -> CallReadiness {
        let Some(m) = self.machines.get(id) else {
            return CallReadiness::NotReady;
        };
        let confirmed =
            m.last_heartbeat_at.is_some() && m.incarnation.session() > m.expired_session;
        // A machine known only from unconfirmed heartbeats is queried for its status.
        let known = confirmed
            || m.last_heartbeat_at.is_none() && m.incarnation.unverified_heartbeats().is_some();
        // A call to a silent machine would occupy a slot until it times out. The reply to its
        // next heartbeat carries what is due.
        if m.silent || !known || m.release_in_progress || m.call_in_progress {
            return CallReadiness::NotReady;
        }
        let unreachable = !m.incarnation.is_reachable();
        if now < m.next_call_at || unreachable && self.unreachable_calls >= UNREACHABLE_CALLS_MAX {
            // A machine known only from unconfirmed heartbeats becomes a candidate again with
            // each of them.
            return if confirmed {
                CallReadiness::Later
            } else {
                CallReadiness::NotReady
            };
        }
        m.address
            .map_or(CallReadiness::NotReady, CallReadiness::Ready)
    }

    /// Begins the call that a machine needs, if any: with stops, to wake its worker for a launch, or
    /// as a query if its worker has not shown this owner's token yet.
    fn begin_call(&mut self, id: &MachineId, address: SocketAddr, now: u64) -> Option<CommandCall> {
        let confirmed = self.machines.get(id)?.incarnation.is_confirmed();
        let due_commands = if confirmed {
            self.commands_for(id, now, CommandChannel::Call)
        } else {
            Vec::new()
        };
        let stops = due_commands.iter().any(|c| c.kind == CommandKind::Stop);
        if confirmed && !stops && !self.wake(id, &due_commands, now) {
            if self.stop_pending(id) || self.launch_pending(id) {
                self.call_candidates.insert(id.clone());
            }
            return None;
        }
        let m = self.machines.get_mut(id)?;
        let fencing_token = m.incarnation.begin_call();
        m.incarnation
            .record_sent_token(fencing_token, &self.timing, now);
        m.call_in_progress = true;
        m.unreachable_call = !m.incarnation.is_reachable();
        self.unreachable_calls += usize::from(m.unreachable_call);
        Some(CommandCall {
            machine: id.clone(),
            addr: address,
            commands: CommandsRequest {
                fencing_token,
                incarnation: m.incarnation.call_session(),
                commands: due_commands,
            },
            relayed_by: m.relay.map(|relay| relay.peer),
        })
    }

    /// Prepares a call that makes a worker send a heartbeat, if something is to be launched on its
    /// machine and it waits for no reply: it does so if it forgets an attempt, or is shown a raised
    /// token. Returns false if no call is needed, or if the worker would not send a heartbeat.
    fn wake(&mut self, id: &MachineId, forgets: &[Command], now: u64) -> bool {
        let expects_launch = self.machines.get(id).is_some_and(|m| {
            !self.held_replies.contains_key(id)
                && m.launches_in_response_to.is_none()
                && m.incarnation.is_reachable()
                && self
                    .attempts_on(id)
                    .any(|(attempt, tracked)| tracked.expects_launch(attempt, m))
        });
        let reading = self.lease_reading;
        let Some(m) = self.machines.get_mut(id).filter(|_| expects_launch) else {
            return false;
        };
        let wakes = !forgets.is_empty() || m.incarnation.raise_to_wake(reading, &self.timing, now);
        if wakes {
            m.woken_at = Some(now);
        }
        wakes
    }

    /// Returns true if a launch on the machine waits only for a store read that confirms
    /// this owner's lease.
    fn launch_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.incarnation.is_reachable()
                && !self.may_launch_on(m)
                && self.awaiting_launch(machine, m).next().is_some()
        })
    }

    /// Returns true if a task on the machine is to stop and has not exited: the command has
    /// to be repeated after some time.
    fn stop_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.tasks.iter().any(|(id, task)| {
                task.phase != TaskPhase::Exited
                    && self
                        .attempts
                        .get(id)
                        .is_none_or(|tracked| tracked.stop_grace_s().is_some())
            })
        })
    }

    /// Handles the end of a call to a worker.
    pub fn handle_call_result(&mut self, call: &CommandCall, result: CommandResult, now: u64) {
        let result = verify_responder(call, result);
        let failed = !matches!(result, CommandResult::Executed(_));
        if failed {
            self.reset_stop_times(call);
        }
        let Some(m) = self.machines.get_mut(&call.machine) else {
            return;
        };
        m.call_in_progress = false;
        self.unreachable_calls -= usize::from(std::mem::take(&mut m.unreachable_call));
        if failed {
            // A worker that has seen a newer token of this owner is called again at once.
            let superseded = matches!(&result, CommandResult::Refused(status) if status.fencing_token > call.commands.fencing_token && status.fencing_token >> MACHINE_TOKEN_BITS == self.token);
            let retry_ms = if superseded {
                0
            } else if m.last_heartbeat_at.is_some() {
                CALL_RETRY_MS
            } else {
                2 * self.timing.heartbeat_interval_ms
            };
            m.next_call_at = now + retry_ms;
        }
        match result {
            CommandResult::Executed(status) | CommandResult::Refused(status) => {
                self.apply_heartbeat(&status, Origin::CallResponse, now);
            }
            CommandResult::NotSent | CommandResult::Unknown => {}
        }
        self.reevaluate(&call.machine, now);
    }

    /// Makes the stops of a failed call due again as soon as the machine may be called, since
    /// they may not have been executed.
    fn reset_stop_times(&mut self, call: &CommandCall) {
        for id in call.attempts(CommandKind::Stop) {
            if let Some(tracked) = self.attempts.get_mut(&id) {
                tracked.stop_sent_at = None;
            }
        }
    }
}

/// Treats the outcome as unknown if another machine answered: the address may have been
/// reassigned.
fn verify_responder(call: &CommandCall, result: CommandResult) -> CommandResult {
    match result {
        CommandResult::Executed(status) | CommandResult::Refused(status)
            if status.machine != call.machine =>
        {
            warn!(machine = %call.machine, found = %status.machine, "call answered by another machine; outcome unknown");
            CommandResult::Unknown
        }
        result => result,
    }
}
