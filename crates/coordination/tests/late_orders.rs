//! Late commands, replies and heartbeats at successive owners of a shard, checked against a model
//! of one worker and of a store that records only who leads the shard. However messages are
//! delayed, lost, duplicated or reordered, no attempt that an owner has published as ended runs on
//! the machine.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer, HeartbeatId, ShardLease};
use lemonweir_model::AttemptId;
use lemonweir_model::constants::{
    CACHE_REFRESH_IDLE_MS, COMMAND_TIMEOUT_MS, CONNECT_MS, MACHINE_TOKEN_BITS,
    WORKER_RESPONSE_TIMEOUT_MS, WORKER_RETRY_MS,
};
use lemonweir_model::policy::Policy;
use lemonweir_protocol::links::AvailabilityGossip;
use lemonweir_protocol::peer::{
    AttemptState, ChangeRange, DesiredAttempt, ObservedState, SyncRequest,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus,
};
use lemonweir_storage::state_cache::ShardLeader;
use proptest::prelude::*;
use support::*;

const HOSTS: usize = 3;
const LEASE_MS: u64 = 14_000;
/// Wall-clock time at the start, ms.
const WALL_CLOCK_START_MS: u64 = 1_790_000_000_000;

fn new_core(me: usize) -> Core {
    static POLICY: LazyLock<Policy> =
        LazyLock::new(|| lemonweir_policy::embedded().expect("policy"));
    let zone = |n: usize| if n == 0 { "north" } else { "south" };
    let seed = |n: usize| serde_json::json!({"host_name": format!("h{n}"), "zone": zone(n), "address": format!("10.0.0.{n}:8081")});
    let seeds: Vec<_> = (0..HOSTS).filter(|n| *n != me).map(seed).collect();
    let value = serde_json::json!({
        "host_name": format!("h{me}"), "zone": zone(me), "listen": "10.0.0.9:8080", "internal_addr": "10.0.0.9:8081",
        "seeds": seeds,
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "zones": ["north", "south"], "teams": [{"name": "red"}], "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": LEASE_MS as f64 / 1000.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 4},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    });
    let mut core = Core::new(
        Config::new(&serde_json::from_value(value).expect("settings")),
        POLICY.clone(),
    );
    core.set_catalog(BTreeMap::from([("box".to_owned(), machine_type())]));
    core
}

/// Deterministic linear congruential generator.
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

// ---- the worker ----------------------------------------------------------------

/// A worker that follows the protocol page.
struct Worker {
    /// Number of its process; rises when the machine restarts.
    incarnation: u64,
    /// Rises each time its lease expires.
    session: u64,
    seq: u64,
    token: u64,
    lease_renewed_at: u64,
    /// The heartbeat in flight: its number and when it was sent.
    in_flight: Option<(u64, u64)>,
    next_heartbeat_at: u64,
    /// The controller that it sends its heartbeats to.
    host: usize,
    tasks: BTreeMap<AttemptId, TaskPhase>,
    hung_until: u64,
    /// Messages that wait in its sockets while it hangs.
    held_messages: Vec<Message>,
}

impl Worker {
    fn new(incarnation: u64, now: u64) -> Self {
        Self {
            incarnation,
            session: 1,
            seq: 0,
            token: 0,
            lease_renewed_at: now,
            in_flight: None,
            next_heartbeat_at: now,
            host: 0,
            tasks: BTreeMap::new(),
            hung_until: 0,
            held_messages: Vec::new(),
        }
    }

    fn report(&mut self) -> Heartbeat {
        self.seq += 1;
        let task = |(id, phase): (&AttemptId, &TaskPhase)| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: *phase,
            exit_cause: (*phase == TaskPhase::Exited).then(|| "stopped".to_owned()),
            checkpointed: None,
        };
        Heartbeat {
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            tasks: self.tasks.iter().map(task).collect(),
            ..heartbeat(0, 0)
        }
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("a task name");
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

    /// Gives up the heartbeat in flight, and sends the next one to the next controller 1 s later.
    fn try_next_controller(&mut self, now: u64) {
        (self.in_flight, self.next_heartbeat_at, self.host) =
            (None, now + WORKER_RETRY_MS, (self.host + 1) % HOSTS);
    }
}

fn count_starts(commands: &[Command]) -> u64 {
    commands
        .iter()
        .filter(|command| command.kind == CommandKind::Start)
        .count() as u64
}

// ---- messages in flight ----------------------------------------------------------

#[derive(Clone)]
enum Message {
    /// A heartbeat to a controller; `by`: the controller that relays it; `duplicate`: a second
    /// copy, whose reply reaches nobody.
    Heartbeat {
        report: Heartbeat,
        incarnation: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        duplicate: bool,
    },
    /// The answer to a worker; `Err`: no reply, but possibly a redirect to another controller.
    Reply {
        incarnation: u64,
        session: u64,
        seq: u64,
        sent: u64,
        answer: Result<HeartbeatResponse, Option<usize>>,
    },
    /// A call to a worker. It reaches whichever incarnation is at the address when it arrives.
    Call {
        number: u64,
        call: CommandCall,
        answered: bool,
    },
    /// The result of a call, or its timeout.
    CallResult {
        number: u64,
        result: Option<Heartbeat>,
        executed: bool,
        sent: bool,
    },
}

/// A call whose result the calling process awaits.
struct PendingCall {
    host: usize,
    process: u64,
    lease: ShardLease,
    call: CommandCall,
}

/// A heartbeat whose answer its controller holds.
struct HeldHeartbeat {
    incarnation: u64,
    sent: u64,
    duplicate: bool,
}

/// A controller host and the state of its process.
struct Host {
    core: Option<Core>,
    /// Number of the process that runs there.
    process: u64,
    restarts_at: u64,
    /// The process is stalled until this time, ms.
    stalled_until: u64,
    /// Messages that arrived while the process was stalled.
    held_messages: Vec<Message>,
    /// The store does not answer the process until this time, ms.
    store_partition_until: u64,
    /// The process and the worker don't reach each other until this time, ms.
    unreachable_until: u64,
    held_heartbeats: BTreeMap<HeartbeatId, HeldHeartbeat>,
    /// A store read in progress: when it began, when it ends, and the leader that it will show.
    pending_read: Option<(u64, u64, Option<ShardLeader>)>,
    next_read_at: u64,
    /// Fencing token of a shard lease that was acquired but whose shard is not loaded yet, and when
    /// the shard is loaded, ms.
    acquired: Option<(u64, u64)>,
}

impl Host {
    /// Its core, unless the process is down or stalled.
    fn running_core(&mut self, now: u64) -> Option<&mut Core> {
        self.core.as_mut().filter(|_| now >= self.stalled_until)
    }
}

#[derive(Clone, Debug)]
enum Fault {
    /// The worker hangs.
    Hang,
    /// Calls are delayed until some time after the fault; some of them are lost.
    CallsDelayed,
    CallsLost,
    /// Heartbeats are delayed, and delivered when the fault ends.
    HeartbeatsDelayed,
    RepliesLost,
    RepliesSlow,
    /// From now on, this percentage of heartbeats is delivered a second time later.
    Copies(u64),
    /// No controller reaches the machine.
    Unreachable,
    /// The machine and one controller don't reach each other.
    PartitionedFrom(usize),
    /// The store does not answer one controller.
    PartitionedFromStore(usize),
    SlowStore,
    /// A controller acquires the shard.
    Acquire(usize),
    /// A controller's process ends, and restarts after an eighth of the fault's duration.
    Crash(usize),
    /// A controller's process is stalled.
    Stall(usize),
    /// The machine restarts at once, without tasks.
    Restart,
    /// Ends all network and store faults.
    ClearFaults,
}

struct Simulation {
    random: SeededRandom,
    now: u64,
    worker: Worker,
    hosts: Vec<Host>,
    processes: u64,
    leader: Option<ShardLeader>,
    revision: u64,
    messages: Vec<(u64, u64, Message)>,
    queue_sequence: u64,
    pending_calls: BTreeMap<u64, PendingCall>,
    call_count: u64,
    // End of each fault, ms.
    calls_delayed_until: u64,
    calls_lost_until: u64,
    heartbeats_delayed_until: u64,
    replies_lost_until: u64,
    replies_slow_until: u64,
    slow_store_until: u64,
    unreachable_until: u64,
    /// Percentage of heartbeats that are delivered a second time.
    copy_percent: u64,
    // The placer.
    /// Fencing token of the leader that it syncs with.
    leader_token: u64,
    sync_sequence: u64,
    tasks: u32,
    desired: BTreeMap<AttemptId, DesiredAttempt>,
    published_ended: BTreeSet<AttemptId>,
    machine_schedulable: bool,
    release_requested: bool,
    starts: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let host = |n: usize| Host {
            core: Some(new_core(n)),
            process: n as u64,
            restarts_at: 0,
            stalled_until: 0,
            held_messages: Vec::new(),
            store_partition_until: 0,
            unreachable_until: 0,
            held_heartbeats: BTreeMap::new(),
            pending_read: None,
            next_read_at: 0,
            acquired: None,
        };
        let mut simulation = Self {
            random: SeededRandom(seed),
            now: 100,
            worker: Worker::new(1, 100),
            hosts: (0..HOSTS).map(host).collect(),
            processes: HOSTS as u64,
            leader: None,
            revision: TOKEN - 1,
            messages: Vec::new(),
            queue_sequence: 0,
            pending_calls: BTreeMap::new(),
            call_count: 0,
            calls_delayed_until: 0,
            calls_lost_until: 0,
            heartbeats_delayed_until: 0,
            replies_lost_until: 0,
            replies_slow_until: 0,
            slow_store_until: 0,
            unreachable_until: 0,
            copy_percent: 0,
            leader_token: 0,
            sync_sequence: 0,
            tasks: 0,
            desired: BTreeMap::new(),
            published_ended: BTreeSet::new(),
            machine_schedulable: false,
            release_requested: false,
            starts: 0,
        };
        simulation.acquire(0);
        simulation
    }

    fn log(&self, text: impl FnOnce() -> String) {
        tracing::debug!("{:>7} {}", self.now, text());
    }

    fn post_at(&mut self, at: u64, message: Message) {
        self.queue_sequence += 1;
        self.messages
            .push((at.max(self.now + 1), self.queue_sequence, message));
    }

    fn post(&mut self, max_delay_ms: u64, message: Message) {
        let at = self.now + 1 + self.random.below(max_delay_ms);
        self.post_at(at, message);
    }

    /// No attempt that was published as ended is running.
    fn assert_no_ended_attempt_runs(&self) {
        // A worker that hung past the end of its lease resumes without tasks.
        if self.now > self.worker.lease_renewed_at + LEASE_MS {
            return;
        }
        for id in self
            .worker
            .tasks
            .iter()
            .filter(|(_, p)| **p != TaskPhase::Exited)
            .map(|(id, _)| id)
        {
            assert!(
                !self.published_ended.contains(id),
                "{id} runs at {} ms after it was published as ended",
                self.now
            );
        }
    }

    // ---- the store -----------------------------------------------------------

    fn acquire(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if host.core.is_none()
            || now < host.stalled_until
            || now < host.store_partition_until
            || host.acquired.is_some()
        {
            return;
        }
        self.revision += 1;
        self.leader = Some(ShardLeader {
            host: format!("h{n}"),
            fencing_token: self.revision,
        });
        let wait = 20 + self.random.below(600);
        self.hosts[n].acquired = Some((self.revision, now + wait));
        let token = self.revision;
        self.log(|| format!("h{n} acquires the shard with token {token}"));
    }

    fn apply_store_read(core: &mut Core, leader: Option<ShardLeader>, began: u64) {
        let revision = leader.as_ref().map_or(1, |h| h.fencing_token);
        match leader {
            Some(leader) => drop(core.cache.shard_leaders.insert(0, leader)),
            None => drop(core.cache.shard_leaders.remove(&0)),
        }
        core.cache.revision = core.cache.revision.max(Some(revision));
        core.cache_refreshed(began, true);
    }

    fn read_store(&mut self) {
        let (now, slow) = (self.now, self.now < self.slow_store_until);
        for n in 0..HOSTS {
            let wait = if slow {
                10 + self.random.below(1_490)
            } else {
                5 + self.random.below(30)
            };
            let leader = self.leader.clone();
            let host = &mut self.hosts[n];
            let Some(core) = host.core.as_mut() else {
                continue;
            };
            if now < host.stalled_until {
                continue;
            }
            if let Some((began, _, leader)) = host.pending_read.take_if(|(_, ends, _)| now >= *ends)
            {
                Self::apply_store_read(core, leader, began);
                host.next_read_at = now + CACHE_REFRESH_IDLE_MS;
            }
            if now < host.store_partition_until {
                continue;
            }
            if host.pending_read.is_none() && now >= host.next_read_at {
                host.pending_read = Some((now, now + wait, leader.clone()));
            }
            if let Some((token, _)) = host.acquired.take_if(|(_, at)| now >= *at) {
                // The cache is brought up to date first; the shard is loaded only if the store
                // still shows this lease.
                Self::apply_store_read(core, leader.clone(), now - 1);
                if leader.is_some_and(|h| h.fencing_token == token) {
                    core.acquire(ShardLease { shard: 0, token }, &[], Vec::new(), now);
                }
            }
        }
        // A process that the store shows as leader but that has no lease acquires the shard anew.
        for n in 0..HOSTS {
            let host = &self.hosts[n];
            let Some(core) = host.core.as_ref() else {
                continue;
            };
            let is_leader = core
                .cache
                .shard_leaders
                .get(&0)
                .is_some_and(|h| h.host == format!("h{n}"));
            if is_leader
                && core.leases().is_empty()
                && host.acquired.is_none()
                && self.leader.as_ref() == core.cache.shard_leaders.get(&0)
            {
                self.acquire(n);
            }
        }
    }

    // ---- messages ------------------------------------------------------------

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        let held_by = match &message {
            Message::Heartbeat { host, .. } => Some(*host),
            Message::CallResult { number, .. } => match self.pending_calls.get(number) {
                Some(p) => Some(p.host),
                None => return,
            },
            _ => None,
        };
        match held_by {
            Some(n) if now < self.hosts[n].stalled_until => {
                return self.hosts[n].held_messages.push(message);
            }
            None if now < self.worker.hung_until => return self.worker.held_messages.push(message),
            _ => {}
        }
        match message {
            Message::Heartbeat {
                report,
                incarnation,
                sent,
                host,
                by,
                duplicate,
            } => self.deliver_heartbeat(report, incarnation, sent, host, by, duplicate),
            Message::Reply {
                incarnation,
                session,
                seq,
                sent,
                answer,
            } => {
                let jitter_ms = self.random.below(1_500);
                let w = &mut self.worker;
                if w.incarnation != incarnation || w.in_flight != Some((seq, sent)) {
                    return;
                }
                if now >= sent + WORKER_RESPONSE_TIMEOUT_MS {
                    return w.try_next_controller(now);
                }
                let reply = match answer {
                    Ok(reply) => reply,
                    Err(Some(host)) if host != w.host => {
                        (w.in_flight, w.host, w.next_heartbeat_at) =
                            (None, host, now + jitter_ms / 3);
                        return;
                    }
                    Err(_) => return w.try_next_controller(now),
                };
                (w.in_flight, w.next_heartbeat_at) = (None, now + 2_250 + jitter_ms);
                if reply.fencing_token < w.token || session != w.session {
                    return;
                }
                if reply.fencing_token > w.token {
                    (w.token, w.next_heartbeat_at) = (reply.fencing_token, now + 500);
                }
                w.lease_renewed_at = w.lease_renewed_at.max(sent);
                w.execute(&reply.commands);
                self.log(|| format!("reply to heartbeat {session}/{seq}: {reply:?}"));
            }
            Message::Call {
                number,
                call,
                answered,
            } => {
                let w = &mut self.worker;
                let executed = call.commands.fencing_token >= w.token
                    && call.commands.incarnation == w.session;
                if executed {
                    w.token = call.commands.fencing_token;
                    w.execute(&call.commands.commands);
                }
                let report = w.report();
                self.log(|| {
                    format!(
                        "call {number} executed: {executed}, {:?}; {report:?}",
                        call.commands
                    )
                });
                if answered {
                    let max_delay_ms = if self.random.chance(15) { 3_000 } else { 30 };
                    self.post(
                        max_delay_ms,
                        Message::CallResult {
                            number,
                            result: Some(report),
                            executed,
                            sent: true,
                        },
                    );
                }
            }
            Message::CallResult {
                number,
                result,
                executed,
                sent,
            } => {
                let Some(p) = self.pending_calls.remove(&number) else {
                    return;
                };
                let host = &mut self.hosts[p.host];
                let Some(core) = host.core.as_mut().filter(|_| host.process == p.process) else {
                    return;
                };
                let result = match result {
                    Some(report) if executed => CommandResult::Executed(report),
                    Some(report) => CommandResult::Refused(report),
                    None if sent => CommandResult::Unknown,
                    None => CommandResult::NotSent,
                };
                core.command_completed(p.lease, &p.call, result, now);
                self.flush(p.host);
            }
        }
        self.assert_no_ended_attempt_runs();
    }

    fn deliver_heartbeat(
        &mut self,
        report: Heartbeat,
        incarnation: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        duplicate: bool,
    ) {
        let now = self.now;
        let answer = match self.hosts[host].core.as_mut() {
            None => HeartbeatAnswer::Unavailable,
            Some(core) => match by {
                None => core.handle_heartbeat(&report, now),
                Some(by) => core.handle_relayed_heartbeat(&report, by, now),
            },
        };
        self.log(|| {
            format!(
                "h{host} receives {report:?}, relayed by {by:?}, duplicate {duplicate}: {answer:?}"
            )
        });
        if matches!(answer, HeartbeatAnswer::Held) {
            let held = HeldHeartbeat {
                incarnation,
                sent,
                duplicate,
            };
            self.hosts[host]
                .held_heartbeats
                .insert(HeartbeatId::of(&report), held);
        }
        self.flush(host);
        let answer = match answer {
            HeartbeatAnswer::Commands(reply) => Ok(reply),
            HeartbeatAnswer::Relay(to) => {
                let report = Message::Heartbeat {
                    report,
                    incarnation,
                    sent,
                    host: usize::from(to),
                    by: Some(host as u16),
                    duplicate,
                };
                return self.post(40, report);
            }
            HeartbeatAnswer::Redirect(name) => Err(name[1..].parse().ok()),
            HeartbeatAnswer::Unavailable => Err(None),
            HeartbeatAnswer::Held => return,
        };
        let id = HeartbeatId::of(&report);
        let held = HeldHeartbeat {
            incarnation,
            sent,
            duplicate,
        };
        self.answer_heartbeat(host, by, id, &held, answer);
    }

    fn answer_heartbeat(
        &mut self,
        host: usize,
        by: Option<u16>,
        id: HeartbeatId,
        heartbeat: &HeldHeartbeat,
        answer: Result<HeartbeatResponse, Option<usize>>,
    ) {
        let now = self.now;
        self.log(|| format!("h{host} answers {id:?}: {answer:?}"));
        if let Ok(reply) = &answer {
            self.starts += count_starts(&reply.commands);
        }
        let lost = now < self.replies_lost_until
            || now < self.unreachable_until
            || now < self.hosts[host].unreachable_until && by.is_none();
        if heartbeat.duplicate || lost {
            return;
        }
        let max_delay_ms = if now < self.replies_slow_until {
            6_000
        } else {
            40
        };
        self.post(
            max_delay_ms,
            Message::Reply {
                incarnation: heartbeat.incarnation,
                session: id.incarnation,
                seq: id.sequence,
                sent: heartbeat.sent,
                answer,
            },
        );
    }

    fn flush(&mut self, n: usize) {
        let now = self.now;
        let Some(core) = self.hosts[n].running_core(now) else {
            return;
        };
        for effect in core.flush(now) {
            match effect {
                Effect::AnswerHeartbeat(id, answer) => {
                    let Some(held) = self.hosts[n].held_heartbeats.remove(&id) else {
                        continue;
                    };
                    let answer = match answer {
                        HeartbeatAnswer::Commands(reply) => Ok(reply),
                        _ => Err(None),
                    };
                    self.answer_heartbeat(n, None, id, &held, answer);
                }
                Effect::Command(lease, call) => self.call(n, lease, call),
                Effect::ReleaseInstances(lease, names) => {
                    // The provider confirms no release here, so ends are proven by the machine or
                    // by time.
                    self.release_requested = true;
                    if let Some(core) = self.hosts[n].core.as_mut() {
                        core.instances_released(lease, &names, false, now);
                    }
                }
                Effect::SendGossip(to, gossip) => self.gossip(n, usize::from(to), gossip),
                _ => {}
            }
        }
    }

    fn gossip(&mut self, from: usize, to: usize, gossip: AvailabilityGossip) {
        let now = self.now;
        let answer = self.hosts[to]
            .running_core(now)
            .map(|core| core.links.handle_gossip(gossip, now));
        if let Some(core) = self.hosts[from].core.as_mut() {
            core.links
                .gossip_completed(to as u16, answer.is_some(), answer, now);
        }
    }

    fn call(&mut self, host: usize, lease: ShardLease, call: CommandCall) {
        let now = self.now;
        self.call_count += 1;
        let number = self.call_count;
        assert_eq!(
            count_starts(&call.commands.commands),
            0,
            "a copy of a call may reach a machine that has restarted"
        );
        let process = self.hosts[host].process;
        self.log(|| {
            format!(
                "h{host} calls ({number}): {:?} through {:?}",
                call.commands, call.relayed_by
            )
        });
        self.pending_calls.insert(
            number,
            PendingCall {
                host,
                process,
                lease,
                call: call.clone(),
            },
        );
        let partitioned = now < self.unreachable_until
            || now < self.hosts[host].unreachable_until && call.relayed_by.is_none();
        if partitioned && self.random.chance(50) || self.random.chance(3) {
            return self.post_at(
                now + CONNECT_MS,
                Message::CallResult {
                    number,
                    result: None,
                    executed: false,
                    sent: false,
                },
            );
        }
        self.post_at(
            now + COMMAND_TIMEOUT_MS,
            Message::CallResult {
                number,
                result: None,
                executed: false,
                sent: true,
            },
        );
        let delayed = now < self.calls_delayed_until || partitioned;
        let message = |answered| Message::Call {
            number,
            call: call.clone(),
            answered,
        };
        if delayed || self.random.chance(5) {
            if now < self.calls_lost_until || self.random.chance(20) {
                return;
            }
            // Delivered up to 5 s after the end of the fault, or up to 90 s after it.
            let after = self
                .calls_delayed_until
                .max(self.unreachable_until)
                .max(now + 100);
            let max_delay_ms = if self.random.chance(30) {
                90_000
            } else {
                5_000
            };
            let at = after + self.random.below(max_delay_ms);
            return self.post_at(at, message(at < now + COMMAND_TIMEOUT_MS));
        }
        if now >= self.calls_lost_until {
            self.post(40, message(true));
        }
    }

    // ---- the worker's own steps -----------------------------------------------

    fn step_worker(&mut self) {
        let now = self.now;
        let w = &mut self.worker;
        if now < w.hung_until {
            return;
        }
        if now > w.lease_renewed_at + LEASE_MS {
            w.tasks.clear();
            (w.session, w.lease_renewed_at, w.next_heartbeat_at) = (w.session + 1, now, now);
            let session = w.session;
            self.log(|| format!("session {session}"));
        }
        for message in std::mem::take(&mut self.worker.held_messages) {
            self.deliver(message);
        }
        let w = &mut self.worker;
        if w.in_flight
            .is_some_and(|(_, sent)| now >= sent + WORKER_RESPONSE_TIMEOUT_MS)
        {
            w.try_next_controller(now);
        }
        if w.in_flight.is_some() || now < w.next_heartbeat_at {
            return;
        }
        // Some tasks exit on their own.
        if self.random.chance(15)
            && let Some(phase) = w.tasks.values_mut().find(|p| **p == TaskPhase::Running)
        {
            *phase = TaskPhase::Exited;
        }
        let report = w.report();
        w.in_flight = Some((report.sequence, now));
        let (incarnation, host) = (w.incarnation, w.host);
        let message = |host, duplicate| Message::Heartbeat {
            report: report.clone(),
            incarnation,
            sent: now,
            host,
            by: None,
            duplicate,
        };
        if self.random.chance(self.copy_percent) {
            let at = now + 200 + self.random.below(4 * LEASE_MS);
            let host = self.random.below(HOSTS as u64) as usize;
            self.post_at(at, message(host, true));
        }
        if now < self.unreachable_until
            || now < self.hosts[host].unreachable_until
            || self.hosts[host].core.is_none()
        {
            return match self.random.chance(50) {
                // The connection is refused at once, or the heartbeat is delayed by up to 40 s.
                true => self.worker.try_next_controller(now),
                false => {
                    let at = now + self.random.below(40_000);
                    self.post_at(at, message(host, false));
                }
            };
        }
        if now < self.heartbeats_delayed_until {
            let at = self.heartbeats_delayed_until + self.random.below(100);
            return self.post_at(at, message(host, false));
        }
        self.post(40, message(host, false));
    }

    // ---- the placer --------------------------------------------------------------

    fn run_placer(&mut self) {
        while self.desired.len() < 4 {
            self.tasks += 1;
            let want = desired_attempt(self.tasks, 0);
            self.desired.insert(want.id.clone(), want);
        }
        if self.random.chance(5)
            && let Some(want) = self.desired.values_mut().next()
        {
            want.stop_grace_s = Some(0);
        }
        // The placer learns of a failover some time later.
        let newest = self.leader.as_ref().map_or(0, |h| h.fencing_token);
        if newest > self.leader_token && (self.leader_token == 0 || self.random.chance(5)) {
            self.leader_token = newest;
        }
        let (now, leader_token) = (self.now, self.leader_token);
        let leads_shard = |h: &Host| {
            h.core.as_ref().is_some_and(|c| {
                c.leases().contains(&ShardLease {
                    shard: 0,
                    token: leader_token,
                })
            }) && now >= h.stalled_until
        };
        let Some(n) = self.hosts.iter().position(leads_shard) else {
            return;
        };
        for from in [2, 1] {
            self.sync_sequence += 1;
            let desired = if from == 1 {
                self.desired.values().cloned().collect()
            } else {
                Vec::new()
            };
            let range = ChangeRange {
                since: 0,
                until: self.sync_sequence,
                complete: true,
            };
            let message = SyncRequest {
                from_shard: from,
                from_fencing_token: 39,
                to_fencing_token: leader_token,
                reserved_machines: vec![machine_id(0)],
                ..sync_request(self.sync_sequence, range, desired, ObservedState::default())
            };
            let Some(core) = self.hosts[n].core.as_mut() else {
                return;
            };
            let Ok(view) = core.handle_sync(&message, now) else {
                return;
            };
            // The view may be lost.
            if from != 1 || self.random.chance(10) {
                continue;
            }
            self.machine_schedulable = view.machines.iter().any(|m| m.registered && m.schedulable);
            for a in view.attempts.iter().filter(|a| a.state.is_terminal()) {
                if self.desired.remove(&a.id).is_some() {
                    self.log(|| format!("h{n} publishes that {} ended: {:?}", a.id, a.state));
                }
                self.published_ended.insert(a.id.clone());
            }
        }
        self.assert_no_ended_attempt_runs();
        self.flush(n);
    }

    // ---- faults ------------------------------------------------------------------

    fn inject(&mut self, fault: &Fault, for_ms: u64) {
        let until = self.now + for_ms;
        self.log(|| format!("{fault:?} for {for_ms} ms"));
        match fault {
            Fault::Hang => self.worker.hung_until = until,
            Fault::CallsDelayed => self.calls_delayed_until = until,
            Fault::CallsLost => (self.calls_lost_until, self.calls_delayed_until) = (until, until),
            Fault::HeartbeatsDelayed => self.heartbeats_delayed_until = until,
            Fault::RepliesLost => self.replies_lost_until = until,
            Fault::RepliesSlow => self.replies_slow_until = until,
            Fault::Copies(percent) => self.copy_percent = *percent,
            Fault::Unreachable => self.unreachable_until = until,
            Fault::PartitionedFrom(n) => self.hosts[*n].unreachable_until = until,
            Fault::PartitionedFromStore(n) => {
                self.hosts[*n].store_partition_until = until;
                self.hosts[*n].pending_read = None;
            }
            Fault::SlowStore => self.slow_store_until = until,
            Fault::Acquire(n) => self.acquire(*n),
            Fault::Crash(n) => {
                let host = &mut self.hosts[*n];
                (
                    host.core,
                    host.pending_read,
                    host.acquired,
                    host.restarts_at,
                ) = (None, None, None, self.now + for_ms / 8);
                host.held_messages.clear();
                host.held_heartbeats.clear();
                self.pending_calls.retain(|_, p| p.host != *n);
            }
            Fault::Stall(n) => {
                let host = &mut self.hosts[*n];
                host.stalled_until = until;
            }
            Fault::Restart => {
                let incarnation = self.worker.incarnation + 1;
                self.worker = Worker::new(incarnation, self.now + 100);
            }
            Fault::ClearFaults => {
                (
                    self.calls_delayed_until,
                    self.calls_lost_until,
                    self.heartbeats_delayed_until,
                    self.replies_lost_until,
                ) = (0, 0, 0, 0);
                (
                    self.replies_slow_until,
                    self.slow_store_until,
                    self.unreachable_until,
                    self.copy_percent,
                ) = (0, 0, 0, 0);
                for host in &mut self.hosts {
                    (host.store_partition_until, host.unreachable_until) = (0, 0);
                }
            }
        }
    }

    fn run_for(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20;
            let now = self.now;
            for n in 0..HOSTS {
                let host = &mut self.hosts[n];
                if host.core.is_none() && now >= host.restarts_at {
                    self.processes += 1;
                    (host.core, host.process, host.next_read_at) =
                        (Some(new_core(n)), self.processes, now);
                    if let Some(core) = host.core.as_mut() {
                        core.set_wall_clock(now, WALL_CLOCK_START_MS + now);
                    }
                }
                if now >= host.stalled_until && !host.held_messages.is_empty() {
                    for message in std::mem::take(&mut host.held_messages) {
                        self.deliver(message);
                    }
                }
            }
            let mut due: Vec<(u64, u64, Message)> = self
                .messages
                .extract_if(.., |(at, _, _)| *at <= now)
                .collect();
            due.sort_by_key(|(at, n, _)| (*at, *n));
            due.into_iter().for_each(|(_, _, m)| self.deliver(m));
            self.step_worker();
            self.read_store();
            if now.is_multiple_of(100) {
                for n in 0..HOSTS {
                    if let Some(core) = self.hosts[n].running_core(now) {
                        core.set_wall_clock(now, WALL_CLOCK_START_MS + now);
                    }
                    self.flush(n);
                }
            }
            if now.is_multiple_of(500) {
                self.run_placer();
            }
            self.assert_no_ended_attempt_runs();
        }
    }
}

// ---- random histories --------------------------------------------------------------

/// A fault, how long it lasts, and the time until the next fault, ms.
type Step = (Fault, u64, u64);

fn fault(allow_restarts: bool) -> impl Strategy<Value = Fault> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => Just(Fault::Hang),
        3 => Just(Fault::CallsDelayed),
        1 => Just(Fault::CallsLost),
        2 => Just(Fault::HeartbeatsDelayed),
        2 => Just(Fault::RepliesLost),
        2 => Just(Fault::RepliesSlow),
        2 => prop_oneof![Just(0u64), Just(30), Just(100)].prop_map(Fault::Copies),
        2 => Just(Fault::Unreachable),
        2 => host.clone().prop_map(Fault::PartitionedFrom),
        3 => host.clone().prop_map(Fault::PartitionedFromStore),
        1 => Just(Fault::SlowStore),
        4 => host.clone().prop_map(Fault::Acquire),
        2 => host.clone().prop_map(Fault::Crash),
        2 => host.prop_map(Fault::Stall),
        1 => Just(if allow_restarts { Fault::Restart } else { Fault::ClearFaults }),
        3 => Just(Fault::ClearFaults),
    ]
}

fn steps(allow_restarts: bool) -> impl Strategy<Value = (u64, Vec<Step>)> {
    let long = prop_oneof![3 => 500u64..8_000, 2 => 8_000u64..30_000, 1 => 30_000u64..120_000];
    (
        any::<u64>(),
        prop::collection::vec((fault(allow_restarts), long, 20..9_000u64), 1..30),
    )
}

fn run_history(seed: u64, steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.run_for(5_000);
    for (fault, for_ms, then_ms) in steps {
        simulation.inject(fault, *for_ms);
        simulation.run_for(*then_ms);
    }
    simulation.inject(&Fault::ClearFaults, 0);
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        max_shrink_iters: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Calls, replies and heartbeats are delayed, lost or duplicated, the worker hangs and resumes,
    /// and owners change, are partitioned, stall and restart.
    #[test]
    fn no_attempt_runs_after_its_end_was_published((seed, steps) in steps(false)) {
        run_history(seed, &steps).run_for(100_000);
    }

    /// As above, and the machine may also restart at once, without tasks, and number its messages
    /// from the start again.
    #[test]
    fn no_attempt_runs_after_its_end_on_a_restarted_machine((seed, steps) in steps(true)) {
        run_history(seed, &steps).run_for(100_000);
    }
}

/// Guards the histories against passing without doing anything: tasks start and are published as
/// ended, and once all faults are over a machine that was not released is schedulable.
#[test]
fn histories_run_and_end_tasks_and_keep_the_machine_schedulable() {
    use proptest::strategy::ValueTree;
    let rng = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &[7; 32],
    );
    let mut runner =
        proptest::test_runner::TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let (mut starts, mut published_ended, mut schedulable, mut not_released) = (0, 0, 0, 0);
    for _ in 0..40 {
        let (seed, steps) = steps(true)
            .new_tree(&mut runner)
            .expect("a generated value")
            .current();
        let mut simulation = run_history(seed, &steps);
        simulation.run_for(140_000);
        (starts, published_ended) = (
            starts + simulation.starts,
            published_ended + simulation.published_ended.len(),
        );
        if !simulation.release_requested {
            not_released += 1;
            schedulable += usize::from(simulation.machine_schedulable);
        }
    }
    assert!(
        starts > 500 && published_ended > 500,
        "{starts} starts, {published_ended} published as ended"
    );
    assert!(
        not_released > 20 && schedulable == not_released,
        "{schedulable} of {not_released} machines are schedulable"
    );
}

// ---- scripted histories ------------------------------------------------------------

const BASE: u64 = TOKEN << MACHINE_TOKEN_BITS;

fn sync_placer(
    owner: &mut Owner,
    seq: u64,
    desired: Vec<DesiredAttempt>,
    now: u64,
) -> Vec<(AttemptId, AttemptState)> {
    let range = ChangeRange {
        since: 0,
        until: seq,
        complete: true,
    };
    let message = SyncRequest {
        reserved_machines: vec![machine_id(0)],
        ..sync_request(seq, range, desired, ObservedState::default())
    };
    let view = owner
        .sync(&message, MAX_MESSAGE_BYTES, now)
        .expect("accepted");
    view.attempts.into_iter().map(|a| (a.id, a.state)).collect()
}

/// Found by an earlier form of the random histories: a machine restarted under an owner that had
/// just acquired the shard. Its second heartbeat showed a token that the earlier incarnation had
/// shown too, so the owner treated it as late and kept the session of the earlier incarnation. A
/// start for that session was executed once the new incarnation reached it, long after its attempt
/// was published as ended.
#[test]
fn first_heartbeat_of_a_new_incarnation_gets_an_unseen_token() {
    let mut owner = owner_with_machines(1);
    let earlier_heartbeat = |seq, tasks| Heartbeat {
        incarnation: 3,
        tasks,
        ..heartbeat(0, seq)
    };
    assert!(
        owner
            .handle_heartbeat(&earlier_heartbeat(54, Vec::new()), None, 3_000)
            .is_some()
    );
    owner.tick(3_100, 3_100);
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 3_200);
    // The machine has restarted, and numbers its messages from the start.
    let first = owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: 0,
                ..heartbeat(0, 1)
            },
            None,
            3_300,
        )
        .expect("answered");
    assert!(
        first.fencing_token > BASE,
        "only the new incarnation can show this token"
    );
    let query = owner.due_calls(3_310, 4).pop().expect("a query");
    assert!(
        query.commands.commands.is_empty(),
        "nothing is started on what may be another incarnation"
    );
    owner.handle_call_result(&query, CommandResult::NotSent, 3_320);
    // The last heartbeat of the earlier incarnation arrives late.
    let late = earlier_heartbeat(60, vec![running_task(0)]);
    assert!(owner.handle_heartbeat(&late, None, 3_400).is_some());
    let published = sync_placer(&mut owner, 2, vec![desired_attempt(0, 0)], 3_450);
    assert!(
        published.iter().all(|(_, s)| *s == AttemptState::Accepted),
        "a late heartbeat proves nothing: {published:?}"
    );
    let mut token = first.fencing_token;
    for seq in 2..5 {
        let heartbeat = Heartbeat {
            fencing_token: token,
            ..heartbeat(0, seq)
        };
        token = owner
            .handle_heartbeat(&heartbeat, None, 3_400 + 500 * seq)
            .expect("answered")
            .fencing_token;
    }
    owner.tick(6_000, 6_000);
    sync_placer(&mut owner, 3, vec![desired_attempt(0, 0)], 6_000);
    let next = Heartbeat {
        fencing_token: token,
        ..heartbeat(0, 5)
    };
    let (starts, _) = starts_in_reply(&mut owner, &next, 6_000);
    assert_eq!(starts, 1, "the new incarnation is known");
}

/// A duplicate of a worker's first heartbeat causes one query; running tasks are not affected.
#[test]
fn copy_of_a_first_heartbeat_costs_one_query() {
    let mut owner = owner_with_machines(1);
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 20);
    let heartbeat_with_token = |seq, token| Heartbeat {
        fencing_token: token,
        tasks: vec![running_task(0)],
        ..heartbeat(0, seq)
    };
    assert_eq!(starts_in_reply(&mut owner, &heartbeat(0, 2), 20).0, 1);
    owner
        .handle_heartbeat(&heartbeat_with_token(3, BASE), None, 540)
        .expect("answered");
    assert!(owner.due_calls(4_900, 4).is_empty(), "nothing is due");
    assert!(
        owner
            .handle_heartbeat(
                &Heartbeat {
                    fencing_token: 0,
                    ..heartbeat(0, 1)
                },
                None,
                5_000
            )
            .is_some(),
        "the duplicate is answered"
    );
    let query = owner.due_calls(5_000, 4).pop().expect("a query");
    owner.handle_call_result(
        &query,
        CommandResult::Executed(heartbeat_with_token(4, query.commands.fencing_token)),
        5_020,
    );
    assert!(owner.due_calls(5_100, 4).is_empty());
    let published = sync_placer(&mut owner, 2, vec![desired_attempt(0, 0)], 5_100);
    assert_eq!(
        published,
        [(desired_attempt(0, 0).id, AttemptState::Running)]
    );
}

/// Found by an earlier form of the random histories: an attempt whose start had an unknown outcome
/// was taken for over by the expiry of a lease that did not cover it. A start in a reply that may
/// have been lost ends a lease after that reply at the earliest.
#[test]
fn launch_of_unknown_outcome_ends_a_lease_after_its_reply_at_the_earliest() {
    let mut owner = owner_with_machines(1);
    assert!(
        owner
            .handle_heartbeat(&heartbeat(0, 2), None, 3_000)
            .is_some()
    );
    owner.tick(3_100, 3_100);
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 5_900);
    // Nothing more is heard of the worker, whose lease runs from this heartbeat: it ends at 20 s.
    assert_eq!(starts_in_reply(&mut owner, &heartbeat(0, 3), 6_000).0, 1);
    let mut ended_at = None;
    for step in 2u64..400 {
        let now = 8_500 + step * 100;
        owner.tick(now, now);
        let ended = sync_placer(&mut owner, step, vec![desired_attempt(0, 0)], now)
            .iter()
            .any(|(_, s)| s.is_terminal());
        ended_at = ended_at.or(ended.then_some(now));
    }
    let ended_at = ended_at.expect("the attempt ends eventually");
    assert!((20_000..24_000).contains(&ended_at), "{ended_at} ms");
}

/// An owner that has started task 0 in the reply to heartbeat 2, at 20 ms.
fn owner_with_start_in_reply() -> Owner {
    let mut owner = owner_with_machines(1);
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 15);
    assert_eq!(starts_in_reply(&mut owner, &heartbeat(0, 2), 20).0, 1);
    owner
}

/// Calls the worker because of a copy of its first heartbeat, which shows no token.
fn query_after_copy(owner: &mut Owner, now: u64) -> CommandCall {
    let copy = Heartbeat {
        fencing_token: 0,
        ..heartbeat(0, 1)
    };
    owner.handle_heartbeat(&copy, None, now).expect("answered");
    owner.due_calls(now, 4).pop().expect("a query")
}

/// Task `n`, desired to stop at once.
fn stop_requested(n: u32) -> DesiredAttempt {
    DesiredAttempt {
        stop_grace_s: Some(0),
        ..desired_attempt(n, 0)
    }
}

fn has_ended(published: &[(AttemptId, AttemptState)], n: u32) -> bool {
    published
        .iter()
        .any(|(id, s)| *id == desired_attempt(n, 0).id && s.is_terminal())
}

/// The answer to a call shows an attempt as exited while the worker may still wait for a reply. No
/// call carries a Forget, and once a reply has carried it, nothing starts the attempt again.
#[test]
fn exited_attempt_is_forgotten_in_a_reply_and_never_started_again() {
    let mut owner = owner_with_start_in_reply();
    let exited = TaskStatus {
        phase: TaskPhase::Exited,
        exit_cause: Some("done".into()),
        ..running_task(0)
    };
    let heartbeat_with_token = |seq, token, tasks| Heartbeat {
        fencing_token: token,
        tasks,
        ..heartbeat(0, seq)
    };
    let query = query_after_copy(&mut owner, 600);
    let token = query.commands.fencing_token;
    let answer = heartbeat_with_token(3, token, vec![exited.clone()]);
    owner.handle_call_result(&query, CommandResult::Executed(answer), 620);
    assert!(has_ended(
        &sync_placer(&mut owner, 2, vec![desired_attempt(0, 0)], 700),
        0
    ));
    sync_placer(&mut owner, 3, Vec::new(), 800);
    for now in (800..3_000).step_by(100) {
        let commands = owner.due_calls(now, 4);
        assert!(
            commands
                .iter()
                .all(|call| call.commands.commands.is_empty()),
            "{commands:?}"
        );
    }
    let reply = owner
        .handle_heartbeat(&heartbeat_with_token(4, token, vec![exited]), None, 3_000)
        .expect("answered");
    let kinds: Vec<CommandKind> = reply.commands.iter().map(|command| command.kind).collect();
    assert_eq!(kinds, [CommandKind::Forget]);
    for seq in 5..9 {
        let now = 3_000 * (seq - 3);
        assert!(owner.due_calls(now, 4).is_empty());
        let next = heartbeat_with_token(seq, reply.fencing_token, Vec::new());
        let reply = owner.handle_heartbeat(&next, None, now).expect("answered");
        assert_eq!(reply.commands, []);
    }
}

/// A call that certainly was not sent, or whose outcome is unknown, proves nothing about a start in
/// a reply; the next heartbeat does.
#[test]
fn failed_call_proves_nothing_about_a_start_in_a_reply() {
    for unknown in [false, true] {
        let mut owner = owner_with_start_in_reply();
        let query = query_after_copy(&mut owner, 600);
        let result = if unknown {
            CommandResult::Unknown
        } else {
            CommandResult::NotSent
        };
        owner.handle_call_result(&query, result, 700);
        assert!(
            !has_ended(&sync_placer(&mut owner, 2, vec![stop_requested(0)], 800), 0),
            "the worker may still wait for the reply"
        );
        let next = Heartbeat {
            fencing_token: query.commands.fencing_token,
            ..heartbeat(0, 3)
        };
        owner
            .handle_heartbeat(&next, None, 4_900)
            .expect("answered");
        assert!(
            has_ended(
                &sync_placer(&mut owner, 3, vec![stop_requested(0)], 5_000),
                0
            ),
            "the worker has given the reply up"
        );
    }
}

/// A start is sent in a heartbeat reply, which may be delayed by up to 4 s. The worker sends its
/// next heartbeat only after it has received the reply or given it up, so until then no call may
/// prove the task absent.
#[test]
fn launch_in_a_reply_is_unresolved_until_the_next_heartbeat() {
    let mut owner = owner_with_machines(1);
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 20);
    let reply = owner
        .handle_heartbeat(&heartbeat(0, 3), None, 2_700)
        .expect("answered");
    assert!(
        reply
            .commands
            .iter()
            .any(|command| command.kind == CommandKind::Start),
        "{reply:?}"
    );
    sync_placer(
        &mut owner,
        2,
        vec![stop_requested(0), desired_attempt(1, 0)],
        3_000,
    );
    for now in (3_000..6_700).step_by(100) {
        assert!(
            owner.due_calls(now, 4).is_empty(),
            "the answer to a call would show task 0 as absent"
        );
    }
    assert!(!has_ended(
        &sync_placer(
            &mut owner,
            3,
            vec![stop_requested(0), desired_attempt(1, 0)],
            6_700
        ),
        0
    ));
    owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: reply.fencing_token,
                ..heartbeat(0, 4)
            },
            None,
            6_800,
        )
        .expect("answered");
    assert!(has_ended(
        &sync_placer(
            &mut owner,
            4,
            vec![stop_requested(0), desired_attempt(1, 0)],
            6_900
        ),
        0
    ));
}

/// A heartbeat that may come from another incarnation proves no absence, even though this owner
/// started nothing on the machine.
#[test]
fn suspected_restart_proves_no_absence() {
    let mut owner = owner_with_machines(1);
    let token = owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: 0,
                ..heartbeat(0, 1)
            },
            None,
            3_000,
        )
        .expect("answered")
        .fencing_token;
    assert!(
        !has_ended(
            &sync_placer(&mut owner, 1, vec![stop_requested(0)], 3_100),
            0
        ),
        "an earlier owner may have started it"
    );
    owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: token,
                ..heartbeat(0, 2)
            },
            None,
            3_500,
        )
        .expect("answered");
    assert!(has_ended(
        &sync_placer(&mut owner, 2, vec![stop_requested(0)], 3_600),
        0
    ));
}

/// A machine sends heartbeats but never shows this owner's token. Leases granted by earlier owners
/// expire some time after the failover; this owner's replies may still have renewed the lease, so
/// its attempts end only one lease after the last reply.
#[test]
fn lease_of_an_unconfirmed_worker_may_be_renewed_by_replies() {
    let mut owner = Owner::new(
        0,
        TOKEN,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    owner.set_machine_types([machine_type()].iter());
    sync_placer(&mut owner, 1, vec![desired_attempt(0, 0)], 10);
    let heartbeat = Heartbeat {
        fencing_token: (TOKEN - 1) << MACHINE_TOKEN_BITS,
        tasks: vec![running_task(0)],
        ..heartbeat(0, 70)
    };
    assert!(owner.handle_heartbeat(&heartbeat, None, 70_000).is_some());
    owner.tick(80_000, 80_000);
    assert!(TIMING.inherited_lease_expiry_ms() < 80_000);
    assert!(
        !has_ended(
            &sync_placer(&mut owner, 2, vec![desired_attempt(0, 0)], 80_000),
            0
        ),
        "its lease may last until 84 s"
    );
    owner.tick(85_000, 85_000);
    assert!(has_ended(
        &sync_placer(&mut owner, 3, vec![desired_attempt(0, 0)], 85_000),
        0
    ));
}

/// A worker that has seen a later owner would ignore the commands of a reply, but would go on
/// sending its heartbeats to this owner.
#[test]
fn worker_of_a_later_owner_gets_no_reply() {
    let mut owner = owner_with_machines(1);
    let later = Heartbeat {
        fencing_token: (TOKEN + 1) << MACHINE_TOKEN_BITS,
        ..heartbeat(0, 9)
    };
    assert!(owner.handle_heartbeat(&later, None, 3_000).is_none());
    assert!(
        owner
            .handle_heartbeat(&heartbeat(0, 10), None, 3_100)
            .is_some(),
        "the heartbeat of the later owner's worker has no effect"
    );
}
