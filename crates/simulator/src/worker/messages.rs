//! Messages of a worker: heartbeats and their answers, commands, and their fencing tokens.

use lemonweir_model::AttemptId;
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskStatus,
};

use super::Worker;
use crate::workload_state::WorkloadState;

/// Minimum time from a heartbeat to an early one that reports a change, µs (protocol page).
const MIN_HEARTBEAT_INTERVAL_US: u64 = 500_000;
/// Time that a worker waits for an answer, µs (protocol page).
const ANSWER_TIMEOUT_US: u64 = 4_000_000;
/// Delay after a missing answer before it tries the next controller, µs (protocol page).
const NEXT_CONTROLLER_DELAY_US: u64 = 1_000_000;

/// The answer to a `/commands` call.
pub struct CommandsReply {
    /// False if nothing was executed because the fencing token or session was outdated.
    pub executed: bool,
    /// The worker's state after the call.
    pub heartbeat: Heartbeat,
}

/// The answer to a heartbeat, as the worker receives it.
pub struct ReceivedAnswer<'a> {
    /// Session in the heartbeat.
    pub session: u64,
    /// Time at which the heartbeat was sent, µs.
    pub sent: u64,
    /// Content of the answer: the machine's fencing token and the commands.
    pub response: &'a HeartbeatResponse,
    /// Time from that heartbeat to the next one, µs.
    pub next_us: u64,
}

impl Worker {
    /// Builds a heartbeat with the next sequence number and the state at `now`.
    pub fn heartbeat(&mut self, now: u64) -> Heartbeat {
        self.sequence += 1;
        let n = self.number;
        Heartbeat {
            machine: self.id.clone(),
            address: format!("10.{}.{}.{}:9000", 1 + n / 65_536, n / 256 % 256, n % 256),
            machine_type: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.session,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_notice_s: self
                .reclaim_at
                .map(|at| at.saturating_sub(now) as f64 / 1e6),
            tasks: self
                .tasks
                .iter()
                .map(|(id, task)| TaskStatus {
                    task: id.task_name(),
                    attempt: id.attempt,
                    phase: task.phase,
                    exit_cause: task.cause.map(str::to_owned),
                    checkpointed: task.saved.then_some(true),
                })
                .collect(),
        }
    }

    /// Time at which the next heartbeat is due or the wait for an answer ends, µs.
    pub(super) fn next_heartbeat_event(&self) -> u64 {
        match self.in_flight {
            Some(sent) => sent + ANSWER_TIMEOUT_US,
            None if self.changed => self
                .next_heartbeat
                .min(self.last_heartbeat + MIN_HEARTBEAT_INTERVAL_US),
            None => self.next_heartbeat,
        }
    }

    /// Returns true if the worker must send a heartbeat now; it then waits for the answer. If the
    /// answer to the previous heartbeat is overdue, it turns to the next controller instead.
    pub fn begin_heartbeat(&mut self, now: u64, controllers: usize) -> bool {
        if let Some(sent) = self.in_flight {
            if now >= sent + ANSWER_TIMEOUT_US {
                self.redirect(
                    now,
                    (self.controller + 1) % controllers,
                    NEXT_CONTROLLER_DELAY_US,
                );
            }
            return false;
        }
        let change_due = self.changed && now >= self.last_heartbeat + MIN_HEARTBEAT_INTERVAL_US;
        if now < self.next_heartbeat && !change_due {
            return false;
        }
        (self.in_flight, self.last_heartbeat, self.changed) = (Some(now), now, false);
        true
    }

    /// Sends the next heartbeat to another controller, after `after_us`.
    pub fn redirect(&mut self, now: u64, controller: usize, after_us: u64) {
        self.in_flight = None;
        self.controller = controller;
        self.changed = false;
        self.next_heartbeat = now + after_us;
    }

    /// Handles the answer to a heartbeat: renews the lease and executes the commands, unless the
    /// answer is outdated.
    pub fn handle_answer(
        &mut self,
        answer: &ReceivedAnswer<'_>,
        now: u64,
        workload: &mut WorkloadState,
    ) {
        self.advance(now, workload);
        if self.in_flight == Some(answer.sent) {
            self.in_flight = None;
            self.next_heartbeat = answer.sent + answer.next_us;
        }
        if answer.response.fencing_token < self.fencing_token
            || answer.sent < self.started_at
            || answer.session != self.session
            || now > answer.sent + ANSWER_TIMEOUT_US
        {
            return;
        }
        self.observe_token(answer.response.fencing_token);
        self.lease_start = self.lease_start.max(answer.sent);
        self.execute(&answer.response.commands, now, workload);
    }

    /// Handles a `/commands` call.
    pub fn handle_commands(
        &mut self,
        request: &CommandsRequest,
        now: u64,
        workload: &mut WorkloadState,
    ) -> CommandsReply {
        self.advance(now, workload);
        let executed =
            request.fencing_token >= self.fencing_token && request.incarnation == self.session;
        if executed {
            self.observe_token(request.fencing_token);
            self.execute(&request.commands, now, workload);
        }
        CommandsReply {
            executed,
            heartbeat: self.heartbeat(now),
        }
    }

    fn observe_token(&mut self, token: u64) {
        if token <= self.fencing_token {
            return;
        }
        self.fencing_token = token;
        // A higher token triggers an early heartbeat only if half a lease has passed since the
        // last increase.
        let now = self.images.fetched_until();
        self.changed |= self.token_raised_at + self.lease_us / 2 <= now;
        self.token_raised_at = now;
    }

    fn execute(&mut self, commands: &[Command], now: u64, workload: &mut WorkloadState) {
        for command in commands {
            let Some(id) = AttemptId::parse(&command.task, command.attempt) else {
                continue;
            };
            match command.kind {
                CommandKind::Start if !self.tasks.contains_key(&id) => {
                    self.launch(id, now, workload);
                }
                CommandKind::Start => {}
                CommandKind::Stop => self.kill(&id, command.grace_s.unwrap_or(0), now, workload),
                CommandKind::Forget => self.forget(&id),
            }
        }
    }
}
