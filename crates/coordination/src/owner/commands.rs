//! What the workers are told: orders in answers to reports and in calls.

use super::*;

impl Owner {
    /// True once every part has said what it wants of this owner.
    pub(super) fn all_heard(&self) -> bool {
        self.placers.values().filter(|a| a.complete).count() >= usize::from(self.shards)
    }

    /// The orders that a machine needs now.
    ///
    /// Guards against a stop that counts as told though its call never left,
    /// as when a process has no socket for it: an answer to a report prolongs
    /// the lease, so it carries every stop that is due, whatever calls were
    /// made. Only calls are spaced. A stop may be repeated (protocol page).
    pub(super) fn commands_for(
        &mut self,
        machine: &MachineId,
        now: u64,
        by: CommandChannel,
    ) -> Vec<Command> {
        let all_heard = self.all_heard();
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        let order = |verb, id: &AttemptId, grace_s| Command {
            verb,
            piece: id.piece(),
            attempt: id.attempt,
            grace_s,
        };
        let mut orders = Vec::new();
        let mut started = Vec::new();
        let mut killed = Vec::new();
        for (id, seen) in &m.tasks {
            match self.attempts.get(id) {
                Some(h) => {
                    let due = by.is_response()
                        || h.stop_sent_at.is_none_or(|at| now >= at + KILL_REPEAT_MS);
                    if let Some(grace) = h.stop_grace_s()
                        && seen.phase != TaskPhase::Exited
                        && due
                    {
                        // A task that is saving must not be told again with
                        // less grace, which would end it.
                        let grace = if seen.phase == TaskPhase::Saving {
                            grace.max(1)
                        } else {
                            grace
                        };
                        orders.push(order(CommandKind::Kill, id, Some(grace)));
                        killed.push(id.clone());
                    }
                }
                // Nobody wants it, and everybody has spoken.
                None if seen.phase != TaskPhase::Exited && all_heard => {
                    orders.push(order(CommandKind::Kill, id, Some(0)))
                }
                // Guards against a start that is repeated after its attempt
                // was forgotten, which would run it again.
                None if seen.phase == TaskPhase::Exited
                    && all_heard
                    && by.forgets()
                    && m.calls_resolved() =>
                {
                    orders.push(order(CommandKind::Forget, id, None))
                }
                None => {}
            }
        }
        // Guards also against work for a machine whose lease runs out: what hears no
        // answer is not kept alive by calls.
        if by.starts() && m.incarnation.may_launch(self.store_answer_at) && !self.launches_paused {
            for (id, h) in self.attempts_on(machine) {
                if h.awaits_launch(id, m) {
                    orders.push(order(CommandKind::Launch, id, None));
                    started.push(id.clone());
                }
            }
        }
        let session = m.incarnation.session();
        for id in started {
            if let Some(h) = self.attempts.get_mut(&id) {
                h.stage = AttemptStage::Accepted {
                    sent: Some(session),
                    seen: false,
                };
            }
        }
        if by == CommandChannel::Call {
            for id in killed {
                if let Some(h) = self.attempts.get_mut(&id) {
                    h.stop_sent_at = Some(now);
                }
            }
        }
        orders
    }

    /// Calls to workers that are due, `most` at the most: only machines that
    /// something happened to are looked at, and those that a call is still owed
    /// to. What finds no room waits for the end of another call.
    pub fn due_calls(&mut self, now: u64, most: usize) -> Vec<CommandCall> {
        let mut calls = Vec::new();
        for id in std::mem::take(&mut self.call_candidates) {
            if calls.len() >= most {
                self.call_candidates.insert(id);
                continue;
            }
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            // A silent machine would hold a call's place until it times out;
            // what it is owed is in the answer to its next report.
            let heartbeat_seen =
                m.last_heartbeat_at.is_some() && m.incarnation.session() > m.expired_session;
            // One that was only heard of is asked how it is.
            let known = heartbeat_seen
                || m.last_heartbeat_at.is_none() && m.incarnation.unverified_since().is_some();
            if m.silent || !known || m.release_in_progress || m.launches_in_response_to.is_some() {
                // The next report brings it back.
                continue;
            }
            if m.call_in_progress {
                // So does the end of the call.
                continue;
            }
            // A token that can't rise could not fence a call of unknown fate.
            let deaf = !m.incarnation.is_reachable();
            if now < m.next_call_at
                || !m.incarnation.can_fence()
                || deaf && self.unreachable_calls >= DEAF_CALLS
            {
                // What was only heard of is asked once for each word of it.
                if heartbeat_seen {
                    self.call_candidates.insert(id);
                }
                continue;
            }
            let Some(addr) = m.address else { continue };
            let fresh = m.incarnation.is_confirmed();
            let orders = if fresh {
                self.commands_for(&id, now, CommandChannel::Call)
            } else {
                Vec::new()
            };
            if fresh && orders.is_empty() {
                if self.stop_pending(&id) || self.launch_pending(&id) {
                    self.call_candidates.insert(id);
                }
                continue;
            }
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            m.call_in_progress = true;
            m.unreachable_call = deaf;
            self.unreachable_calls += usize::from(deaf);
            calls.push(CommandCall {
                machine: id.clone(),
                addr,
                commands: CommandsRequest {
                    token: m.incarnation.begin_call(),
                    session: m.incarnation.call_session(),
                    orders,
                },
                through: m.relayed_by.map(|(by, _)| by),
            });
        }
        calls
    }

    /// True if something is to be started on the machine that only waits for word from
    /// the store.
    fn launch_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            let tracked = self.launches_paused || !m.incarnation.may_launch(self.store_answer_at);
            m.incarnation.is_reachable()
                && tracked
                && self
                    .attempts_on(machine)
                    .any(|(id, h)| h.awaits_launch(id, m))
        })
    }

    /// True if a task on the machine shall end and has not: it is told again
    /// after a while.
    pub(super) fn stop_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.tasks.iter().any(|(id, seen)| {
                seen.phase != TaskPhase::Exited
                    && self
                        .attempts
                        .get(id)
                        .is_none_or(|h| h.stop_grace_s().is_some())
            })
        })
    }

    /// A call to a worker ended.
    pub fn handle_call_result(&mut self, call: &CommandCall, result: CommandResult, now: u64) {
        // Guards against an address that another machine has by now.
        let result = match result {
            CommandResult::Executed(report) | CommandResult::Refused(report)
                if report.machine != call.machine =>
            {
                warn!(machine = %call.machine, found = %report.machine, "another machine has its address");
                CommandResult::Unknown
            }
            result => result,
        };
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
            // One that has seen a newer token than the call is called again at once.
            let overtaken = matches!(&result, CommandResult::Refused(r) if r.token > call.commands.token && r.token >> FENCE_BITS == self.token);
            let wait = if m.last_heartbeat_at.is_some() {
                COMMAND_RETRY_MS
            } else {
                2 * self.timing.report_ms
            };
            m.next_call_at = if overtaken { now } else { now + wait };
        }
        match result {
            CommandResult::Executed(report) => {
                self.apply_heartbeat(&report, Origin::Response, now);
            }
            CommandResult::Refused(report) => {
                self.reset_launches(call);
                self.apply_heartbeat(&report, Origin::Response, now);
            }
            CommandResult::NotSent => self.reset_launches(call),
            // What had no orders can bring none late.
            CommandResult::Unknown if call.commands.orders.is_empty() => {}
            CommandResult::Unknown => {
                // Guards against an order that arrives minutes late: from now
                // on the machine is given a higher token, and until it shows
                // that, nothing is concluded from an absence.
                let sent = call.commands.token;
                if call
                    .commands
                    .orders
                    .iter()
                    .any(|o| o.verb == CommandKind::Launch)
                {
                    m.unresolved_launch_at = Some(now);
                }
                m.unresolved_call_token =
                    Some(m.unresolved_call_token.map_or(sent, |t| t.max(sent)));
                m.incarnation.fence_call(sent, now);
            }
        }
        self.reevaluate(&call.machine, now);
    }

    /// Takes back the notes of stops that may not have been executed: they are
    /// due again as soon as the machine may be called.
    fn reset_stop_times(&mut self, call: &CommandCall) {
        for o in call
            .commands
            .orders
            .iter()
            .filter(|o| o.verb == CommandKind::Kill)
        {
            if let Some(h) =
                AttemptId::parse(&o.piece, o.attempt).and_then(|id| self.attempts.get_mut(&id))
            {
                h.stop_sent_at = None;
            }
        }
    }

    /// Takes back the notes of starts that were surely not executed.
    pub(super) fn reset_launches(&mut self, call: &CommandCall) {
        let unresolved_call_token = self
            .machines
            .get(&call.machine)
            .is_some_and(|m| m.unresolved_call_token.is_some());
        if unresolved_call_token {
            return;
        }
        for o in call
            .commands
            .orders
            .iter()
            .filter(|o| o.verb == CommandKind::Launch)
        {
            if let Some(id) = AttemptId::parse(&o.piece, o.attempt)
                && let Some(h) = self.attempts.get_mut(&id)
                && matches!(h.stage, AttemptStage::Accepted { seen: false, .. })
            {
                h.stage = AttemptStage::Accepted {
                    sent: None,
                    seen: false,
                };
            }
        }
    }
}
