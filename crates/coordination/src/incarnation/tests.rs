//! Randomized simulation of one worker and its owners. The simulation knows the true
//! incarnation of each message, when it was written, and which replies reached the worker.
//! It runs random sequences of heartbeats, copies, restarts, lost replies and failovers, in
//! which no owner may accept a message older than one it accepted before, conclude that a
//! running attempt has ended, or treat a reachable machine as unschedulable.

use std::collections::{BTreeMap, BTreeSet};

use crate::machine::Timing;
use crate::owner::{CommandCall, CommandResult, Owner};
use lemonweir_model::constants::{
    COMMAND_TIMEOUT_MS, PEER_VERSION, WORKER_RESPONSE_TIMEOUT_MS, WORKER_RETRY_MS,
};
use lemonweir_model::{AttemptId, JobId, MachineId, MachineType, Priority, Resources};
use lemonweir_protocol::peer::{
    ChangeRange, DesiredAttempt, ObservedState, PreemptionScope, SyncRequest,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus,
};

/// Number of controllers.
const HOSTS: usize = 3;

/// Reproducible pseudo-random numbers from a seed.
struct SeededRandom(u64);

impl SeededRandom {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A worker that follows the protocol page.
struct Worker {
    incarnation: u64,
    session: u64,
    message_number: u64,
    token: u64,
    lease_from: u64,
    /// The heartbeat in flight: its number and when it was sent, ms.
    in_flight: Option<(u64, u64)>,
    /// When the next heartbeat is sent, ms.
    next_heartbeat_at: u64,
    /// The controller to which heartbeats are sent.
    host: usize,
    tasks: BTreeMap<AttemptId, TaskPhase>,
}

impl Worker {
    fn new(incarnation: u64, now: u64) -> Self {
        Self {
            incarnation,
            session: 1,
            message_number: 0,
            token: 0,
            lease_from: now,
            in_flight: None,
            next_heartbeat_at: now,
            host: 0,
            tasks: BTreeMap::new(),
        }
    }

    fn next_heartbeat(&mut self, machine: &MachineId) -> Heartbeat {
        self.message_number += 1;
        let task = |(id, phase): (&AttemptId, &TaskPhase)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: *phase,
            exit_cause: (*phase == TaskPhase::Exited).then(|| "stopped".to_owned()),
            checkpointed: None,
        };
        Heartbeat {
            machine: machine.clone(),
            address: "10.1.0.1:9000".into(),
            machine_type: "box".into(),
            zone: "north".into(),
            spot: false,
            incarnation: self.session,
            sequence: self.message_number,
            fencing_token: self.token,
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
        }
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("a valid task name");
            match command.kind {
                CommandKind::Start => drop(self.tasks.entry(id).or_insert(TaskPhase::Running)),
                CommandKind::Stop => {
                    if let Some(phase) = self.tasks.get_mut(&id) {
                        *phase = TaskPhase::Exited;
                    }
                }
                CommandKind::Forget => drop(self.tasks.remove(&id)),
            }
        }
    }
}

fn count_starts(commands: &[Command]) -> u64 {
    commands
        .iter()
        .filter(|command| command.kind == CommandKind::Start)
        .count() as u64
}

enum Message {
    /// A heartbeat with its true incarnation, when it was written, and whether it is a copy.
    Heartbeat {
        heartbeat: Heartbeat,
        incarnation: u64,
        written_at: u64,
        host: usize,
        copy: bool,
    },
    Reply {
        incarnation: u64,
        session: u64,
        message_number: u64,
        sent: u64,
        reply: HeartbeatResponse,
    },
    Call {
        owner: usize,
        call: CommandCall,
        late: bool,
        /// The incarnation to which it was sent: the connection ends with the incarnation.
        to: u64,
    },
    CallDone {
        owner: usize,
        call: CommandCall,
        result: CommandResult,
        incarnation: u64,
    },
}

struct Simulation {
    random: SeededRandom,
    now: u64,
    timing: Timing,
    worker: Option<Worker>,
    incarnations: u64,
    /// Successive owners, with the host of each and until when it replies, ms.
    owners: Vec<(Owner, usize, u64)>,
    store_answer_at: Vec<u64>,
    messages: Vec<(u64, Message)>,
    /// Attempts that are desired.
    desired: BTreeMap<AttemptId, DesiredAttempt>,
    /// Attempts published as ended.
    published_ended: BTreeSet<AttemptId>,
    seq: u64,
    /// All replies are lost now.
    replies_lost: bool,
    /// The host whose replies are lost now.
    unreachable_host: Option<usize>,
    /// All calls are lost now.
    calls_lost: bool,
    /// Percentage of heartbeats that are copied.
    copy_percent: u64,
    /// Heartbeats have been copied at some time.
    copied: bool,
    /// True incarnation and number of the newest message that each owner accepted.
    accepted: Vec<(u64, u64)>,
    /// Since when nothing has been lost, ms.
    stable_since: u64,
    /// Heartbeats that the newest owner received since a reply last reached the worker.
    heartbeats_without_reply: u64,
    accepted_count: u64,
    launches: u64,
    /// Checks that found the machine unschedulable after several heartbeats without a reply.
    unschedulable_while_unreachable: u64,
    /// The newest owner has requested the release of the machine.
    release_requested: bool,
}

fn machine() -> MachineId {
    MachineId::from("n-000001")
}

fn owner(token: u64, timing: Timing, now: u64) -> Owner {
    let kind = MachineType {
        name: "box".into(),
        capacity: Resources::capacity(16.0, 4.0, 64.0),
        image_cache_gb: 100.0,
        image_pull_gb_per_s: 1.0,
        on_demand_price: 4.0,
        spot_price: 1.0,
        boot_s: 200.0,
        zones: vec!["north".into()],
    };
    let mut owner = Owner::new(
        0,
        token,
        1,
        timing,
        lemonweir_policy::embedded().expect("policy"),
        now,
    );
    owner.set_machine_types([kind].iter());
    owner
}

impl Simulation {
    fn new(seed: u64, lease_ms: u64) -> Self {
        let timing = Timing {
            lease_ms,
            heartbeat_interval_ms: 3_000,
        };
        Self {
            random: SeededRandom(seed),
            now: 0,
            timing,
            worker: Some(Worker::new(1, 0)),
            incarnations: 1,
            owners: vec![(owner(40, timing, 0), 0, u64::MAX)],
            store_answer_at: vec![0],
            messages: Vec::new(),
            desired: BTreeMap::new(),
            published_ended: BTreeSet::new(),
            seq: 0,
            replies_lost: false,
            unreachable_host: None,
            calls_lost: false,
            copy_percent: 0,
            copied: false,
            accepted: vec![(0, 0)],
            stable_since: 0,
            heartbeats_without_reply: 0,
            accepted_count: 0,
            launches: 0,
            unschedulable_while_unreachable: 0,
            release_requested: false,
        }
    }

    fn deliver_within(&mut self, max_ms: u64, message: Message) {
        let at = self.now + 1 + self.random.below(max_ms);
        self.messages.push((at, message));
    }

    /// Asserts that no attempt that was published as ended runs on the present incarnation of
    /// the machine.
    fn assert_no_ended_attempt_runs(&self) {
        let Some(w) = &self.worker else { return };
        for id in w
            .tasks
            .iter()
            .filter(|(_, p)| **p != TaskPhase::Exited)
            .map(|(id, _)| id)
        {
            assert!(
                !self.published_ended.contains(id),
                "{id} runs at {} and was published as ended",
                self.now
            );
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Heartbeat {
                heartbeat,
                incarnation,
                written_at,
                host,
                copy,
            } => self.receive_heartbeat(&heartbeat, incarnation, written_at, host, copy),
            Message::Reply {
                incarnation,
                session,
                message_number,
                sent,
                reply,
            } => {
                let now = self.now;
                let Some(w) = self.worker.as_mut().filter(|w| {
                    w.incarnation == incarnation && w.in_flight == Some((message_number, sent))
                }) else {
                    return;
                };
                if now > sent + WORKER_RESPONSE_TIMEOUT_MS {
                    return;
                }
                w.in_flight = None;
                w.next_heartbeat_at = now + 2_250 + self.random.below(1_500);
                if reply.fencing_token < w.token || session != w.session {
                    return;
                }
                if reply.fencing_token > w.token {
                    (w.token, w.next_heartbeat_at) = (reply.fencing_token, now + 500);
                }
                w.lease_from = w.lease_from.max(sent);
                w.execute(&reply.commands);
                self.heartbeats_without_reply = 0;
            }
            Message::Call {
                owner,
                call,
                late,
                to,
            } => {
                let incarnation = self.worker.as_ref().map_or(0, |w| w.incarnation);
                let result = match self.worker.as_mut() {
                    None => CommandResult::NotSent,
                    Some(w) if w.incarnation != to => CommandResult::Unknown,
                    Some(w)
                        if call.commands.fencing_token >= w.token
                            && call.commands.incarnation == w.session =>
                    {
                        w.token = call.commands.fencing_token;
                        w.execute(&call.commands.commands);
                        CommandResult::Executed(w.next_heartbeat(&machine()))
                    }
                    Some(w) => CommandResult::Refused(w.next_heartbeat(&machine())),
                };
                if !late {
                    self.deliver_within(
                        40,
                        Message::CallDone {
                            owner,
                            call,
                            result,
                            incarnation,
                        },
                    );
                }
            }
            Message::CallDone {
                owner,
                call,
                result,
                incarnation,
            } => {
                let now = self.now;
                if let Some((recipient, _, until)) = self.owners.get_mut(owner)
                    && now < *until
                {
                    if let CommandResult::Executed(heartbeat) | CommandResult::Refused(heartbeat) =
                        &result
                    {
                        self.accepted[owner] =
                            self.accepted[owner].max((incarnation, heartbeat.sequence));
                    }
                    recipient.handle_call_result(&call, result, now);
                }
            }
        }
    }

    fn receive_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        incarnation: u64,
        written_at: u64,
        host: usize,
        copy: bool,
    ) {
        let now = self.now;
        // An owner on this host that does not know its successor yet replies; otherwise the
        // newest owner does.
        let index = (0..self.owners.len())
            .rev()
            .find(|i| self.owners[*i].1 == host && now < self.owners[*i].2)
            .unwrap_or(self.owners.len() - 1);
        let newest = index + 1 == self.owners.len();
        let (owner, owner_host, _) = &mut self.owners[index];
        let relayed_by = (*owner_host != host).then_some(host as u16);
        if owner.is_current(heartbeat) {
            let (received, known) = ((incarnation, heartbeat.sequence), self.accepted[index]);
            assert!(
                received > known,
                "{heartbeat:?} of incarnation {incarnation} was written at {written_at}, \
                 but {known:?} was accepted before"
            );
            self.accepted[index] = received;
            self.accepted_count += 1;
        }
        let reply = owner.handle_heartbeat(heartbeat, relayed_by, now);
        if !copy
            && newest
            && self
                .worker
                .as_ref()
                .is_some_and(|w| w.incarnation == incarnation)
        {
            self.heartbeats_without_reply += 1;
        }
        let starts = reply.as_ref().map(|reply| count_starts(&reply.commands));
        self.launches += starts.unwrap_or(0);
        let lost = self.replies_lost || self.unreachable_host == Some(host);
        match reply {
            Some(reply) if !lost && !copy => {
                let message = Message::Reply {
                    incarnation,
                    session: heartbeat.incarnation,
                    message_number: heartbeat.sequence,
                    sent: written_at,
                    reply,
                };
                self.deliver_within(60, message);
            }
            Some(_) => {}
            None if copy => {}
            None => {
                if let Some(w) = self
                    .worker
                    .as_mut()
                    .filter(|w| w.in_flight == Some((heartbeat.sequence, written_at)))
                {
                    (w.in_flight, w.next_heartbeat_at, w.host) =
                        (None, now + WORKER_RETRY_MS, (w.host + 1) % HOSTS);
                }
            }
        }
    }

    fn run_worker(&mut self) {
        let (now, lease_ms) = (self.now, self.timing.lease_ms);
        let Some(w) = self.worker.as_mut() else {
            return;
        };
        if now > w.lease_from + lease_ms {
            w.tasks.clear();
            (w.session, w.lease_from, w.next_heartbeat_at) = (w.session + 1, now, now);
        }
        if w.in_flight
            .is_some_and(|(_, sent)| now >= sent + WORKER_RESPONSE_TIMEOUT_MS)
        {
            (w.in_flight, w.next_heartbeat_at, w.host) =
                (None, now + WORKER_RETRY_MS, (w.host + 1) % HOSTS);
        }
        if w.in_flight.is_none() && now >= w.next_heartbeat_at {
            let heartbeat = w.next_heartbeat(&machine());
            w.in_flight = Some((heartbeat.sequence, now));
            let (incarnation, host) = (w.incarnation, w.host);
            if self.random.below(100) < self.copy_percent {
                let at = now + 200 + self.random.below(3 * lease_ms);
                let host = self.random.below(HOSTS as u64) as usize;
                self.messages.push((
                    at,
                    Message::Heartbeat {
                        heartbeat: heartbeat.clone(),
                        incarnation,
                        written_at: now,
                        host,
                        copy: true,
                    },
                ));
            }
            self.deliver_within(
                60,
                Message::Heartbeat {
                    heartbeat,
                    incarnation,
                    written_at: now,
                    host,
                    copy: false,
                },
            );
        }
    }

    fn run_owners(&mut self) {
        let now = self.now;
        for i in 0..self.owners.len() {
            let last = i + 1 == self.owners.len();
            if now >= self.owners[i].2 {
                continue;
            }
            if last {
                self.store_answer_at[i] = now;
            }
            let store_answer_at = self.store_answer_at[i];
            let owner = &mut self.owners[i].0;
            owner.tick(now, store_answer_at);
            // The provider never confirms a release here: only the machine's messages or the
            // expiry of its lease prove that an attempt has ended.
            let names = owner.begin_releases();
            self.release_requested |= last && !names.is_empty();
            owner.handle_release_result(&names, false, now);
            let to = self.worker.as_ref().map_or(0, |w| w.incarnation);
            for call in owner.due_calls(now, 8) {
                assert_eq!(count_starts(&call.commands.commands), 0);
                if self.calls_lost || self.random.chance(3) {
                    // It is executed much later, or never.
                    if self.random.chance(50) {
                        self.deliver_within(
                            20_000,
                            Message::Call {
                                owner: i,
                                call: call.clone(),
                                late: true,
                                to,
                            },
                        );
                    }
                    let at = now + COMMAND_TIMEOUT_MS;
                    self.messages.push((
                        at,
                        Message::CallDone {
                            owner: i,
                            call,
                            result: CommandResult::Unknown,
                            incarnation: 0,
                        },
                    ));
                } else {
                    self.deliver_within(
                        40,
                        Message::Call {
                            owner: i,
                            call,
                            late: false,
                            to,
                        },
                    );
                }
            }
        }
    }

    fn place_attempts(&mut self) {
        // Keeps four attempts desired, each of a new task; now and then one is stopped.
        while self.desired.len() < 4 {
            let task = self.seq as u32;
            self.seq += 1;
            let id = AttemptId {
                job: JobId::from("req-000001"),
                task,
                attempt: 1,
            };
            let attempt = DesiredAttempt {
                id: id.clone(),
                machine: machine(),
                resources: Resources::capacity(4.0, 1.0, 8.0),
                image: "img".into(),
                image_mb: 2_000,
                may_start: true,
                stop_grace_s: None,
                team: "red".into(),
                priority: Priority::Normal,
                over_quota: true,
                preemption_grace_s: 0,
                runs_until_cancelled: false,
                preemption: PreemptionScope::Nobody,
            };
            self.desired.insert(id, attempt);
        }
        if self.random.chance(4)
            && let Some(attempt) = self.desired.values_mut().next()
        {
            attempt.stop_grace_s = Some(0);
        }
    }

    fn sync(&mut self) {
        self.place_attempts();
        self.seq += 1;
        let now = self.now;
        let Some((owner, _, _)) = self.owners.last_mut() else {
            return;
        };
        let message = SyncRequest {
            version: PEER_VERSION,
            from_shard: 0,
            from_fencing_token: 40,
            to_shard: 0,
            to_fencing_token: 39 + self.store_answer_at.len() as u64,
            seq: self.seq,
            store_age_ms: 0,
            range: ChangeRange {
                since: 0,
                until: self.seq,
                complete: true,
            },
            desired: self.desired.values().cloned().collect(),
            withdrawn: Vec::new(),
            stops: Vec::new(),
            observed: ObservedState::default(),
            misrouted_heartbeats: 0,
            provisioned: Vec::new(),
            reserved_machines: vec![machine()],
            progress: Vec::new(),
        };
        let view = owner
            .sync(&message, 1 << 20, now)
            .expect("the owner accepts the sync");
        for a in view.attempts.iter().filter(|a| a.state.is_terminal()) {
            self.desired.remove(&a.id);
            self.published_ended.insert(a.id.clone());
        }
        self.assert_no_ended_attempt_runs();
        let schedulable = view.machines.iter().any(|m| m.registered && m.schedulable);
        let settled = now > self.stable_since + 16_000
            && self
                .worker
                .as_ref()
                .is_some_and(|w| w.lease_from + 6_000 > now);
        assert!(
            schedulable || !settled || self.release_requested,
            "{} ms: reachable, but not schedulable: {:?}",
            now,
            view.machines
        );
        // Two heartbeats are enough if nothing else goes wrong; a new incarnation, a new owner
        // and copies of first heartbeats may each hide one.
        if self.heartbeats_without_reply >= 3 + u64::from(self.copied) {
            self.unschedulable_while_unreachable += 1;
            assert!(
                !schedulable,
                "{now} ms: schedulable after {} heartbeats since a reply reached it",
                self.heartbeats_without_reply
            );
        }
    }

    /// Makes one random change: losses, copies, a failover or a restart of the worker.
    fn change_conditions(&mut self) {
        let now = self.now;
        match self.random.below(12) {
            0 | 1 => self.replies_lost = true,
            2 => self.unreachable_host = Some(self.random.below(HOSTS as u64) as usize),
            3 => self.calls_lost = true,
            4 | 5 => {
                (self.replies_lost, self.unreachable_host, self.calls_lost) = (false, None, false);
            }
            6 => {
                self.copy_percent = [0, 30, 100][self.random.below(3) as usize];
                self.copied |= self.copy_percent > 0;
            }
            7 if self.owners.len() < 4 => {
                // The previous owner may not know of its successor yet and reply for a while.
                let host = self.random.below(HOSTS as u64) as usize;
                let until = if self.random.chance(50) {
                    now
                } else {
                    now + self.random.below(30_000)
                };
                if let Some(last) = self.owners.last_mut() {
                    last.2 = if last.1 == host { now } else { until };
                }
                let token = 40 + self.owners.len() as u64;
                self.owners
                    .push((owner(token, self.timing, now), host, u64::MAX));
                self.store_answer_at.push(now);
                self.accepted.push((0, 0));
                (self.heartbeats_without_reply, self.release_requested) = (0, false);
            }
            8 | 9 => {
                // The worker restarts within a moment, without tasks.
                self.incarnations += 1;
                self.worker = Some(Worker::new(self.incarnations, now + 100));
                self.heartbeats_without_reply = 0;
            }
            _ => return,
        }
        self.stable_since =
            if self.replies_lost || self.unreachable_host.is_some() || self.calls_lost {
                u64::MAX / 2
            } else {
                now
            };
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += 20;
            let now = self.now;
            let mut due: Vec<(u64, Message)> =
                self.messages.extract_if(.., |(at, _)| *at <= now).collect();
            due.sort_by_key(|(at, _)| *at);
            due.into_iter().for_each(|(_, m)| self.deliver(m));
            self.run_worker();
            self.run_owners();
            if now.is_multiple_of(500) {
                self.sync();
            }
            if now.is_multiple_of(4_000) {
                self.change_conditions();
            }
        }
    }
}

#[test]
fn only_current_messages_are_accepted_and_no_running_attempt_is_ended() {
    let (
        mut accepted_count,
        mut launches,
        mut unschedulable_while_unreachable,
        mut published_ended,
    ) = (0, 0, 0, 0);
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, if seed % 2 == 0 { 14_000 } else { 26_500 });
        simulation.run(300_000);
        (
            accepted_count,
            launches,
            unschedulable_while_unreachable,
            published_ended,
        ) = (
            accepted_count + simulation.accepted_count,
            launches + simulation.launches,
            unschedulable_while_unreachable + simulation.unschedulable_while_unreachable,
            published_ended + simulation.published_ended.len(),
        );
    }
    assert!(
        accepted_count > 2_000
            && launches > 300
            && unschedulable_while_unreachable > 600
            && published_ended > 300,
        "{accepted_count} {launches} {unschedulable_while_unreachable} {published_ended}"
    );
}
