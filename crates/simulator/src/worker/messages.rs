//! What a worker sends and receives: heartbeats and their answers, commands, fencing tokens.

use lemonweir_model::AttemptId;
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskStatus,
};

use super::Worker;
use crate::workload_state::WorkloadState;

/// µs between two heartbeats at least (protocol page).
const HEARTBEAT_GAP_US: u64 = 500_000;
/// µs that a worker waits for an answer (protocol page).
const ANSWER_TIMEOUT_US: u64 = 4_000_000;
/// µs after which it tries the next controller (protocol page).
const NEXT_CONTROLLER_US: u64 = 1_000_000;

/// The answer to a `/commands` call.
pub struct CommandsReply {
    /// False: token or session were outdated, and nothing was executed.
    pub executed: bool,
    /// The worker's state after the call.
    pub heartbeat: Heartbeat,
}

/// The answer to a heartbeat, as it reaches the worker.
pub struct ReceivedAnswer<'a> {
    /// Session that the heartbeat named.
    pub session: u64,
    /// When the heartbeat was sent, µs.
    pub sent: u64,
    /// The answer.
    pub response: &'a HeartbeatResponse,
    /// µs from that heartbeat to the next one.
    pub next_us: u64,
}

impl Worker {
    /// Its heartbeat as of now.
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

    /// When the next heartbeat or the end of the wait for an answer is due.
    pub(super) fn next_heartbeat_event(&self) -> u64 {
        match self.in_flight {
            Some(sent) => sent + ANSWER_TIMEOUT_US,
            None if self.changed => self
                .next_heartbeat
                .min(self.last_heartbeat + HEARTBEAT_GAP_US),
            None => self.next_heartbeat,
        }
    }

    /// True if it should send a heartbeat now; it then waits for the answer.
    pub fn begin_heartbeat(&mut self, now: u64, controllers: usize) -> bool {
        if let Some(sent) = self.in_flight {
            if now >= sent + ANSWER_TIMEOUT_US {
                self.redirect(now, (self.controller + 1) % controllers, NEXT_CONTROLLER_US);
            }
            return false;
        }
        let change_due = self.changed && now >= self.last_heartbeat + HEARTBEAT_GAP_US;
        if now < self.next_heartbeat && !change_due {
            return false;
        }
        (self.in_flight, self.last_heartbeat, self.changed) = (Some(now), now, false);
        true
    }

    /// Its controller does not take its heartbeat: the next one goes to another.
    pub fn redirect(&mut self, now: u64, controller: usize, after_us: u64) {
        self.in_flight = None;
        self.controller = controller;
        self.changed = false;
        self.next_heartbeat = now + after_us;
    }

    /// Takes the answer to a heartbeat: it renews the lease, and its commands are executed,
    /// unless it is outdated.
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
        self.lease_from = self.lease_from.max(answer.sent);
        self.execute(&answer.response.commands, now, workload);
    }

    /// Takes a `/commands` call.
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
        // A higher token counts as a change at most once in half a lease.
        let now = self.images.fetched_until();
        self.changed |= self.token_reported_at + self.lease_us / 2 <= now;
        self.token_reported_at = now;
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
