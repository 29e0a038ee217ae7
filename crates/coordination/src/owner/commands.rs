//! What the workers are told: orders in answers to reports and in calls.

use super::*;

impl Owner {
    /// True once every part has said what it wants of this owner.
    pub(super) fn all_heard(&self) -> bool {
        self.askers.values().filter(|a| a.complete).count() >= usize::from(self.shards)
    }

    /// The orders that a machine needs now.
    ///
    /// Guards against a stop that counts as told though its call never left,
    /// as when a process has no socket for it: an answer to a report prolongs
    /// the lease, so it carries every stop that is due, whatever calls were
    /// made. Only calls are spaced. A stop may be repeated (protocol page).
    pub(super) fn orders(&mut self, machine: &MachineId, now: u64, by: Carrier) -> Vec<Command> {
        let all_heard = self.all_heard();
        let Some(m) = self.machines.get(machine) else {
            return Vec::new();
        };
        let order = |verb, id: &AttemptId, grace_s| Command {
            kind: verb,
            task: id.task_name(),
            attempt: id.attempt,
            grace_s,
        };
        let mut orders = Vec::new();
        let mut started = Vec::new();
        let mut killed = Vec::new();
        for (id, seen) in &m.tasks {
            match self.held.get(id) {
                Some(h) => {
                    let due =
                        by.is_answer() || h.killed_at.is_none_or(|at| now >= at + KILL_REPEAT_MS);
                    if let Some(grace) = h.ending()
                        && seen.phase != TaskPhase::Exited
                        && due
                    {
                        // A task that is saving must not be told again with
                        // less grace, which would end it.
                        let grace = if seen.phase == TaskPhase::Checkpointing {
                            grace.max(1)
                        } else {
                            grace
                        };
                        orders.push(order(CommandKind::Stop, id, Some(grace)));
                        killed.push(id.clone());
                    }
                }
                // Nobody wants it, and everybody has spoken.
                None if seen.phase != TaskPhase::Exited && all_heard => {
                    orders.push(order(CommandKind::Stop, id, Some(0)))
                }
                // Guards against a start that is repeated after its attempt
                // was forgotten, which would run it again.
                None if seen.phase == TaskPhase::Exited
                    && all_heard
                    && by.forgets()
                    && m.settled() =>
                {
                    orders.push(order(CommandKind::Forget, id, None))
                }
                None => {}
            }
        }
        // Guards also against work for a machine whose lease runs out: what hears no
        // answer is not kept alive by calls.
        if by.starts() && m.worker_session.may_start(self.word) && !self.starts_held {
            for (id, h) in self.here(machine) {
                if h.awaits_start(id, m) {
                    orders.push(order(CommandKind::Start, id, None));
                    started.push(id.clone());
                }
            }
        }
        let session = m.worker_session.session();
        for id in started {
            if let Some(h) = self.held.get_mut(&id) {
                h.stage = Stage::Accepted {
                    sent: Some(session),
                    seen: false,
                };
            }
        }
        if by == Carrier::Call {
            for id in killed {
                if let Some(h) = self.held.get_mut(&id) {
                    h.killed_at = Some(now);
                }
            }
        }
        orders
    }

    /// Calls to workers that are due, `most` at the most: only machines that
    /// something happened to are looked at, and those that a call is still owed
    /// to. What finds no room waits for the end of another call.
    pub fn calls(&mut self, now: u64, most: usize) -> Vec<CommandCall> {
        let mut calls = Vec::new();
        for id in std::mem::take(&mut self.attention) {
            if calls.len() >= most {
                self.attention.insert(id);
                continue;
            }
            let Some(m) = self.machines.get(&id) else {
                continue;
            };
            // A silent machine would hold a call's place until it times out;
            // what it is owed is in the answer to its next report.
            let heard = m.heard.is_some() && m.worker_session.session() > m.dead_session;
            // One that was only heard of is asked how it is.
            let known = heard || m.heard.is_none() && m.worker_session.only_heard_of().is_some();
            if m.silent || !known || m.releasing || m.answered_with_starts.is_some() {
                // The next report brings it back.
                continue;
            }
            if m.calling {
                // So does the end of the call.
                continue;
            }
            // A token that can't rise could not fence a call of unknown fate.
            let deaf = !m.worker_session.hears();
            if now < m.call_after
                || !m.worker_session.fences()
                || deaf && self.deaf_calls >= DEAF_CALLS
            {
                // What was only heard of is asked once for each word of it.
                if heard {
                    self.attention.insert(id);
                }
                continue;
            }
            let Some(addr) = m.addr else { continue };
            let fresh = m.worker_session.fresh();
            let orders = if fresh {
                self.orders(&id, now, Carrier::Call)
            } else {
                Vec::new()
            };
            if fresh && orders.is_empty() {
                if self.stops_pending(&id) || self.starts_pending(&id) {
                    self.attention.insert(id);
                }
                continue;
            }
            let Some(m) = self.machines.get_mut(&id) else {
                continue;
            };
            m.calling = true;
            m.deaf_call = deaf;
            self.deaf_calls += usize::from(deaf);
            calls.push(CommandCall {
                machine: id.clone(),
                addr,
                commands: CommandsRequest {
                    fencing_token: m.worker_session.call(),
                    incarnation: m.worker_session.session_to_ask(),
                    commands: orders,
                },
                through: m.carried.map(|(by, _)| by),
            });
        }
        calls
    }

    /// True if something is to be started on the machine that only waits for word from
    /// the store.
    fn starts_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            let held = self.starts_held || !m.worker_session.may_start(self.word);
            m.worker_session.hears()
                && held
                && self.here(machine).any(|(id, h)| h.awaits_start(id, m))
        })
    }

    /// True if a task on the machine shall end and has not: it is told again
    /// after a while.
    pub(super) fn stops_pending(&self, machine: &MachineId) -> bool {
        self.machines.get(machine).is_some_and(|m| {
            m.tasks.iter().any(|(id, seen)| {
                seen.phase != TaskPhase::Exited
                    && self.held.get(id).is_none_or(|h| h.ending().is_some())
            })
        })
    }

    /// A call to a worker ended.
    pub fn call_done(&mut self, call: &CommandCall, result: CommandResult, now: u64) {
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
            self.untell(call);
        }
        let Some(m) = self.machines.get_mut(&call.machine) else {
            return;
        };
        m.calling = false;
        self.deaf_calls -= usize::from(std::mem::take(&mut m.deaf_call));
        if failed {
            // One that has seen a newer token than the call is called again at once.
            let overtaken = matches!(&result, CommandResult::Refused(r) if r.fencing_token > call.commands.fencing_token && r.fencing_token >> FENCE_BITS == self.token);
            let wait = if m.heard.is_some() {
                COMMAND_RETRY_MS
            } else {
                2 * self.timing.report_ms
            };
            m.call_after = if overtaken { now } else { now + wait };
        }
        match result {
            CommandResult::Executed(report) => {
                self.take_report(&report, Origin::Answer, now);
            }
            CommandResult::Refused(report) => {
                self.unsend(call);
                self.take_report(&report, Origin::Answer, now);
            }
            CommandResult::NotSent => self.unsend(call),
            // What had no orders can bring none late.
            CommandResult::Unknown if call.commands.commands.is_empty() => {}
            CommandResult::Unknown => {
                // Guards against an order that arrives minutes late: from now
                // on the machine is given a higher token, and until it shows
                // that, nothing is concluded from an absence.
                let sent = call.commands.fencing_token;
                if call
                    .commands
                    .commands
                    .iter()
                    .any(|o| o.kind == CommandKind::Start)
                {
                    m.lost_start = Some(now);
                }
                m.ambiguous = Some(m.ambiguous.map_or(sent, |t| t.max(sent)));
                m.worker_session.fence_off(sent, now);
            }
        }
        self.judge(&call.machine, now);
    }

    /// Takes back the notes of stops that may not have been executed: they are
    /// due again as soon as the machine may be called.
    fn untell(&mut self, call: &CommandCall) {
        for o in call
            .commands
            .commands
            .iter()
            .filter(|o| o.kind == CommandKind::Stop)
        {
            if let Some(h) =
                AttemptId::parse(&o.task, o.attempt).and_then(|id| self.held.get_mut(&id))
            {
                h.killed_at = None;
            }
        }
    }

    /// Takes back the notes of starts that were surely not executed.
    pub(super) fn unsend(&mut self, call: &CommandCall) {
        let ambiguous = self
            .machines
            .get(&call.machine)
            .is_some_and(|m| m.ambiguous.is_some());
        if ambiguous {
            return;
        }
        for o in call
            .commands
            .commands
            .iter()
            .filter(|o| o.kind == CommandKind::Start)
        {
            if let Some(id) = AttemptId::parse(&o.task, o.attempt)
                && let Some(h) = self.held.get_mut(&id)
                && matches!(h.stage, Stage::Accepted { seen: false, .. })
            {
                h.stage = Stage::Accepted {
                    sent: None,
                    seen: false,
                };
            }
        }
    }
}
