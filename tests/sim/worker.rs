//! A stand-in for a worker: sessions, leases, tokens, tasks.

use std::collections::BTreeMap;

use fastrand::Rng;
use lemonweir_model::{JobId, JobSpec, MachineId, Shape};
use lemonweir_protocol::cloud::Rental;
use lemonweir_protocol::worker::{Commands, Order, Report, ReportReply, TaskPhase, TaskReport, Verb};

use super::LEASE_MS;
use super::checker::Checker;

#[derive(Clone, Debug)]
pub struct Task {
    pub phase: TaskPhase,
    pub cause: Option<&'static str>,
    pub until: u64,
    pub saved: bool,
}

pub struct Worker {
    pub id: MachineId,
    pub zone: String,
    pub kind: String,
    pub spot: bool,
    pub up_at: u64,
    pub node: usize,
    pub report_sent: u64,
    pub in_flight: bool,
    pub retry_at: u64,
    pub tasks: BTreeMap<(String, u32), Task>,
    image_ms: u64,
    run_ms: u64,
    session: u64,
    seq: u64,
    token: u64,
    lease_from: u64,
}

impl Worker {
    pub fn new(id: MachineId, rental: &Rental, up_at: u64, image_ms: u64, run_ms: u64) -> Self {
        Self {
            id,
            zone: rental.zone.clone(),
            kind: rental.kind.clone(),
            spot: rental.spot,
            up_at,
            node: 0,
            report_sent: 0,
            in_flight: false,
            retry_at: 0,
            tasks: BTreeMap::new(),
            image_ms,
            run_ms,
            session: 1,
            seq: 0,
            token: 0,
            lease_from: up_at,
        }
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            machine: self.id.clone(),
            address: "10.9.0.1:9000".into(),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((piece, attempt), t)| TaskReport {
                    piece: piece.clone(),
                    attempt: *attempt,
                    phase: t.phase,
                    cause: t.cause.map(str::to_owned),
                    saved: Some(t.saved),
                })
                .collect(),
        }
    }

    /// Lets time pass: the lease, fetches, runs, saves.
    pub fn advance(&mut self, now: u64, specs: &BTreeMap<JobId, JobSpec>, checker: &mut Checker) {
        if now > self.lease_from + LEASE_MS {
            for (key, t) in &self.tasks {
                if t.phase != TaskPhase::Exited {
                    checker.left(&key.0, &self.id, now);
                }
            }
            self.tasks.clear();
            self.session += 1;
            self.lease_from = now;
            self.in_flight = false;
        }
        for ((piece, _), t) in &mut self.tasks {
            let id = JobId::from(piece.split('/').next().unwrap_or_default());
            let service = specs.get(&id).is_some_and(|s| s.shape == Shape::Service);
            if t.phase == TaskPhase::Fetching && now >= t.until {
                t.phase = TaskPhase::Running;
                t.until = if service { u64::MAX } else { now + self.run_ms };
                checker.started(piece, &self.id, &self.zone, now);
            }
            if t.phase == TaskPhase::Running && now >= t.until {
                t.phase = TaskPhase::Exited;
                t.cause = Some("done");
                checker.task_done(piece);
                checker.left(piece, &self.id, now);
            }
            if t.phase == TaskPhase::Saving && now >= t.until {
                t.phase = TaskPhase::Exited;
                t.cause = Some("stopped");
                t.saved = true;
                checker.left(piece, &self.id, now);
            }
        }
    }

    fn execute(&mut self, orders: &[Order], now: u64, checker: &mut Checker) {
        let specs = checker.specs.clone();
        self.advance(now, &specs, checker);
        for o in orders {
            let key = (o.piece.clone(), o.attempt);
            match o.verb {
                Verb::Launch => {
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let mut task = Task { phase: TaskPhase::Fetching, cause: None, until: now + self.image_ms, saved: false };
                    let busy = self.tasks.iter().any(|((p, a), t)| *p == o.piece && *a != o.attempt && t.phase != TaskPhase::Exited);
                    let used = self.tasks.values().filter(|t| t.phase != TaskPhase::Exited).count();
                    if busy {
                        (task.phase, task.cause) = (TaskPhase::Exited, Some("in_use"));
                    } else if used >= 4 {
                        (task.phase, task.cause) = (TaskPhase::Exited, Some("no_room"));
                    }
                    self.tasks.insert(key, task);
                }
                Verb::Kill => {
                    if let Some(t) = self.tasks.get_mut(&key) {
                        match t.phase {
                            TaskPhase::Running if o.grace_s.unwrap_or(0) >= 2 => {
                                t.phase = TaskPhase::Saving;
                                t.until = now + 2_000;
                            }
                            TaskPhase::Saving if o.grace_s.unwrap_or(0) > 0 => {}
                            TaskPhase::Exited => {}
                            _ => {
                                t.phase = TaskPhase::Exited;
                                t.cause = Some("stopped");
                                checker.left(&o.piece, &self.id, now);
                            }
                        }
                    }
                }
                Verb::Forget => {
                    if self.tasks.get(&key).is_some_and(|t| t.phase == TaskPhase::Exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// `/commands`: the flag tells whether they were executed.
    pub fn commands(&mut self, c: &Commands, now: u64, checker: &mut Checker) -> (bool, Report) {
        let specs = checker.specs.clone();
        self.advance(now, &specs, checker);
        if c.token < self.token || c.session != self.session {
            return (false, self.report());
        }
        self.token = c.token;
        self.execute(&c.orders, now, checker);
        (true, self.report())
    }

    pub fn reply(&mut self, session: u64, sent: u64, reply: &ReportReply, now: u64, checker: &mut Checker) {
        let specs = checker.specs.clone();
        self.advance(now, &specs, checker);
        self.in_flight = false;
        if reply.token < self.token || session != self.session {
            return;
        }
        self.token = reply.token;
        self.lease_from = self.lease_from.max(sent);
        self.execute(&reply.orders, now, checker);
    }

    pub fn next_change(&self, now: u64) -> Option<u64> {
        self.tasks.values().filter(|t| t.phase != TaskPhase::Exited && t.until != u64::MAX).map(|t| t.until.max(now)).min()
    }

    pub fn next_report(&self, now: u64, rng: &mut Rng) -> u64 {
        let regular = rng.u64(2_250..3_750);
        self.next_change(now).map_or(regular, |at| regular.min((at - now).max(500)))
    }
}
