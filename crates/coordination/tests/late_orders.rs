//! Commands, replies and heartbeats that come late, at successive owners, against a slow
//! reference model of one worker and of a store that only knows who leads the shard.
//! Whatever is delayed, lost, copied or reordered, no attempt runs on the machine that an
//! owner has published as ended.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer, ShardLease};
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
/// Time of day at the start, ms.
const DAY_MS: u64 = 1_790_000_000_000;

fn core(me: usize) -> Core {
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
    core.set_catalog(BTreeMap::from([("box".to_owned(), kind())]));
    core
}

/// Numbers from a seed.
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

/// A worker by the protocol page.
struct Worker {
    incarnation: u64,
    session: u64,
    seq: u64,
    token: u64,
    lease_from: u64,
    /// The heartbeat in flight: its number and when it was sent.
    in_flight: Option<(u64, u64)>,
    next: u64,
    node: usize,
    tasks: BTreeMap<AttemptId, TaskPhase>,
    hung_until: u64,
    /// What waits in its sockets while it hangs.
    held: Vec<Message>,
}

impl Worker {
    fn new(incarnation: u64, now: u64) -> Self {
        Self {
            incarnation,
            session: 1,
            seq: 0,
            token: 0,
            lease_from: now,
            in_flight: None,
            next: now,
            node: 0,
            tasks: BTreeMap::new(),
            hung_until: 0,
            held: Vec::new(),
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
            ..report(0, 0)
        }
    }

    fn execute(&mut self, orders: &[Command]) {
        for o in orders {
            let id = AttemptId::parse(&o.task, o.attempt).expect("a task");
            match o.kind {
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

    /// It tries the next controller 1 s later.
    fn try_next_controller(&mut self, now: u64) {
        (self.in_flight, self.next, self.node) =
            (None, now + WORKER_RETRY_MS, (self.node + 1) % HOSTS);
    }
}

// ---- messages in flight ----------------------------------------------------------

#[derive(Clone)]
enum Message {
    /// A heartbeat to a controller, relayed by another; `copy`: not the original.
    Report {
        report: Heartbeat,
        incarnation: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        copy: bool,
    },
    /// The reply to a worker; `Err`: none, or the controller that it should turn to.
    Answer {
        incarnation: u64,
        session: u64,
        seq: u64,
        sent: u64,
        answer: Result<HeartbeatResponse, Option<usize>>,
    },
    /// A call; `to` is the incarnation of the worker that it was sent to: a connection ends
    /// with that. `heard`: its sender had a heartbeat of that incarnation.
    Orders {
        number: u64,
        call: CommandCall,
        to: u64,
        heard: bool,
        answered: bool,
    },
    /// A call's answer, or the end of the wait for it.
    Done {
        number: u64,
        result: Option<Heartbeat>,
        executed: bool,
        sent: bool,
    },
}

/// A call that a process has made.
struct Pending {
    host: usize,
    process: u64,
    lease: ShardLease,
    call: CommandCall,
}

/// One controller.
struct Host {
    core: Option<Core>,
    /// Number of its process.
    process: u64,
    restarts_at: u64,
    /// It is stalled until then, ms; what came meanwhile.
    stalled_until: u64,
    held: Vec<Message>,
    /// The store does not answer it until then, ms.
    store_partition_until: u64,
    /// Workers and it don't reach each other until then, ms.
    unreachable_until: u64,
    /// A reading under way: when it began, when it ends, and what it will show.
    reading: Option<(u64, u64, Option<ShardLeader>)>,
    read_at: u64,
    /// The last incarnation of the machine that it got a heartbeat of as its owner.
    heard: u64,
    /// A shard that it has acquired and not loaded yet.
    acquired: Option<(u64, u64)>,
}

impl Host {
    /// Its process, unless it is stalled.
    fn running_core(&mut self, now: u64) -> Option<&mut Core> {
        self.core.as_mut().filter(|_| now >= self.stalled_until)
    }
}

#[derive(Clone, Debug)]
enum Fault {
    /// The machine hangs.
    Hang,
    /// Calls are delayed and delivered then, or within three times that.
    CallsDelayed,
    CallsLost,
    /// Heartbeats are delayed and delivered then.
    HeartbeatsDelayed,
    RepliesLost,
    RepliesSlow,
    /// Of this share of heartbeats a copy comes again.
    Copies(u64),
    /// Nobody reaches the machine.
    Unreachable,
    /// The machine and one controller don't reach each other.
    PartitionedFrom(usize),
    /// The store does not answer one controller.
    PartitionedFromStore(usize),
    SlowStore,
    /// A controller acquires the shard.
    Acquire(usize),
    /// Its process ends, and is back then.
    Crash(usize),
    Stall(usize),
    /// The machine is back within a moment, empty.
    Restart,
    Quiet,
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
    sequence_in_queue: u64,
    calls: BTreeMap<u64, Pending>,
    called: u64,
    // Until when each fault lasts.
    calls_delayed_until: u64,
    calls_lost_until: u64,
    heartbeats_delayed_until: u64,
    replies_lost_until: u64,
    replies_slow_until: u64,
    slow_store_until: u64,
    unreachable: u64,
    copy_percent: u64,
    // The placer.
    to: u64,
    sync: u64,
    tasks: u32,
    desired: BTreeMap<AttemptId, DesiredAttempt>,
    published_ended: BTreeSet<AttemptId>,
    open: bool,
    release_requested: bool,
    starts: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let host = |n: usize| Host {
            core: Some(core(n)),
            process: n as u64,
            restarts_at: 0,
            stalled_until: 0,
            held: Vec::new(),
            store_partition_until: 0,
            unreachable_until: 0,
            reading: None,
            read_at: 0,
            heard: 1,
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
            sequence_in_queue: 0,
            calls: BTreeMap::new(),
            called: 0,
            calls_delayed_until: 0,
            calls_lost_until: 0,
            heartbeats_delayed_until: 0,
            replies_lost_until: 0,
            replies_slow_until: 0,
            slow_store_until: 0,
            unreachable: 0,
            copy_percent: 0,
            to: 0,
            sync: 0,
            tasks: 0,
            desired: BTreeMap::new(),
            published_ended: BTreeSet::new(),
            open: false,
            release_requested: false,
            starts: 0,
        };
        simulation.acquire(0);
        simulation
    }

    fn note(&self, text: impl FnOnce() -> String) {
        tracing::debug!("{:>7} {}", self.now, text());
    }

    fn post_at(&mut self, at: u64, message: Message) {
        self.sequence_in_queue += 1;
        self.messages
            .push((at.max(self.now + 1), self.sequence_in_queue, message));
    }

    fn post(&mut self, most_ms: u64, message: Message) {
        let at = self.now + 1 + self.random.below(most_ms);
        self.post_at(at, message);
    }

    /// What was published as ended does not run, nor will it.
    fn assert_no_ended_attempt_runs(&self) {
        // A worker that hangs past its lease resumes without tasks.
        if self.now > self.worker.lease_from + LEASE_MS {
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
                "{id} runs at {} ms and was published as ended",
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
        self.note(|| format!("h{n} takes the part with {token}"));
    }

    fn show(core: &mut Core, leader: Option<ShardLeader>, began: u64) {
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
            if let Some((began, _, shown)) = host.reading.take_if(|(_, ends, _)| now >= *ends) {
                Self::show(core, shown, began);
                host.read_at = now + CACHE_REFRESH_IDLE_MS;
            }
            if now < host.store_partition_until {
                continue;
            }
            if host.reading.is_none() && now >= host.read_at {
                host.reading = Some((now, now + wait, leader.clone()));
            }
            if let Some((token, _)) = host.acquired.take_if(|(_, at)| now >= *at) {
                // The reading before it loads the shard.
                Self::show(core, leader.clone(), now - 1);
                if leader.is_some_and(|h| h.fencing_token == token) {
                    core.acquire(ShardLease { shard: 0, token }, &[], Vec::new(), now);
                }
            }
        }
        // A process that finds itself the leader without knowing acquires the shard anew.
        for n in 0..HOSTS {
            let host = &self.hosts[n];
            let Some(core) = host.core.as_ref() else {
                continue;
            };
            let ours = core
                .cache
                .shard_leaders
                .get(&0)
                .is_some_and(|h| h.host == format!("h{n}"));
            if ours
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
            Message::Report { host, .. } => Some(*host),
            Message::Done { number, .. } => match self.calls.get(number) {
                Some(p) => Some(p.host),
                None => return,
            },
            _ => None,
        };
        match held_by {
            Some(n) if now < self.hosts[n].stalled_until => {
                return self.hosts[n].held.push(message);
            }
            None if now < self.worker.hung_until => return self.worker.held.push(message),
            _ => {}
        }
        match message {
            Message::Report {
                report,
                incarnation,
                sent,
                host,
                by,
                copy,
            } => self.report_arrives(report, incarnation, sent, host, by, copy),
            Message::Answer {
                incarnation,
                session,
                seq,
                sent,
                answer,
            } => {
                let pick = self.random.below(1_500);
                let w = &mut self.worker;
                if w.incarnation != incarnation || w.in_flight != Some((seq, sent)) {
                    return;
                }
                if now >= sent + WORKER_RESPONSE_TIMEOUT_MS {
                    return w.try_next_controller(now);
                }
                let reply = match answer {
                    Ok(reply) => reply,
                    Err(Some(node)) if node != w.node => {
                        (w.in_flight, w.node, w.next) = (None, node, now + pick / 3);
                        return;
                    }
                    Err(_) => return w.try_next_controller(now),
                };
                (w.in_flight, w.next) = (None, now + 2_250 + pick);
                if reply.fencing_token < w.token || session != w.session {
                    return;
                }
                if reply.fencing_token > w.token {
                    (w.token, w.next) = (reply.fencing_token, now + 500);
                }
                w.lease_from = w.lease_from.max(sent);
                w.execute(&reply.commands);
                self.note(|| format!("answer to {session}/{seq}: {reply:?}"));
            }
            Message::Orders {
                number,
                call,
                to,
                heard,
                answered,
            } => {
                let w = &mut self.worker;
                // Assumed (`docs/design.md`, statement 12): what was sent to an incarnation that
                // its sender had no heartbeat of yet is not delayed until that incarnation is in a
                // later session.
                if w.incarnation != to || !heard && w.session > 1 {
                    return;
                }
                let executed = call.commands.fencing_token >= w.token
                    && call.commands.incarnation == w.session;
                if executed {
                    w.token = call.commands.fencing_token;
                    w.execute(&call.commands.commands);
                }
                let report = w.report();
                self.note(|| {
                    format!(
                        "call {number} executed: {executed}, {:?}; {report:?}",
                        call.commands
                    )
                });
                if answered {
                    let most = if self.random.chance(15) { 3_000 } else { 30 };
                    self.post(
                        most,
                        Message::Done {
                            number,
                            result: Some(report),
                            executed,
                            sent: true,
                        },
                    );
                }
            }
            Message::Done {
                number,
                result,
                executed,
                sent,
            } => {
                let Some(p) = self.calls.remove(&number) else {
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

    fn report_arrives(
        &mut self,
        report: Heartbeat,
        incarnation: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        copy: bool,
    ) {
        let now = self.now;
        let answer = match self.hosts[host].core.as_mut() {
            None => HeartbeatAnswer::Unavailable,
            Some(core) => match by {
                None => core.handle_heartbeat(&report, now),
                Some(by) => core.handle_relayed_heartbeat(&report, by, now),
            },
        };
        if self.hosts[host]
            .core
            .as_ref()
            .is_some_and(|c| !c.leases().is_empty())
        {
            self.hosts[host].heard = self.hosts[host].heard.max(incarnation);
        }
        self.note(|| format!("h{host} receives {report:?} by {by:?}, copy {copy}: {answer:?}"));
        self.flush(host);
        let answer = match answer {
            HeartbeatAnswer::Commands(reply) => Ok(reply),
            HeartbeatAnswer::Relay(to) => {
                let report = Message::Report {
                    report,
                    incarnation,
                    sent,
                    host: usize::from(to),
                    by: Some(host as u16),
                    copy,
                };
                return self.post(40, report);
            }
            HeartbeatAnswer::Redirect(name) => Err(name[1..].parse().ok()),
            HeartbeatAnswer::Unavailable => Err(None),
        };
        let lost = now < self.replies_lost_until
            || now < self.unreachable
            || now < self.hosts[host].unreachable_until && by.is_none();
        if copy || lost {
            return;
        }
        let most = if now < self.replies_slow_until {
            6_000
        } else {
            40
        };
        self.post(
            most,
            Message::Answer {
                incarnation,
                session: report.incarnation,
                seq: report.sequence,
                sent,
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
                Effect::Command(lease, call) => self.call(n, lease, call),
                Effect::ReleaseInstances(lease, names) => {
                    // The provider confirms nothing here: ends are proven by the machine
                    // or time.
                    self.release_requested = true;
                    if let Some(core) = self.hosts[n].core.as_mut() {
                        core.instances_released(lease, &names, false, now);
                    }
                }
                Effect::SendGossip(to, word) => self.gossip(n, usize::from(to), word),
                _ => {}
            }
        }
    }

    fn gossip(&mut self, from: usize, to: usize, word: AvailabilityGossip) {
        let now = self.now;
        let answer = self.hosts[to]
            .running_core(now)
            .map(|core| core.links.handle_gossip(word, now));
        if let Some(core) = self.hosts[from].core.as_mut() {
            core.links
                .gossip_completed(to as u16, answer.is_some(), answer, now);
        }
    }

    fn call(&mut self, host: usize, lease: ShardLease, call: CommandCall) {
        let now = self.now;
        self.called += 1;
        let number = self.called;
        self.starts += call
            .commands
            .commands
            .iter()
            .filter(|o| o.kind == CommandKind::Start)
            .count() as u64;
        let (to, process) = (self.worker.incarnation, self.hosts[host].process);
        self.note(|| {
            format!(
                "h{host} calls ({number}): {:?} through {:?}",
                call.commands, call.through
            )
        });
        self.calls.insert(
            number,
            Pending {
                host,
                process,
                lease,
                call: call.clone(),
            },
        );
        let apart = now < self.unreachable
            || now < self.hosts[host].unreachable_until && call.through.is_none();
        if apart && self.random.chance(50) || self.random.chance(3) {
            return self.post_at(
                now + CONNECT_MS,
                Message::Done {
                    number,
                    result: None,
                    executed: false,
                    sent: false,
                },
            );
        }
        self.post_at(
            now + COMMAND_TIMEOUT_MS,
            Message::Done {
                number,
                result: None,
                executed: false,
                sent: true,
            },
        );
        let held = now < self.calls_delayed_until || apart;
        let heard = self.hosts[host].heard >= to;
        let message = |answered| Message::Orders {
            number,
            call: call.clone(),
            to,
            heard,
            answered,
        };
        if held || self.random.chance(5) {
            if now < self.calls_lost_until || self.random.chance(20) {
                return;
            }
            // Delivered after the fault, or long after it.
            let after = self
                .calls_delayed_until
                .max(self.unreachable)
                .max(now + 100);
            let most = if self.random.chance(30) {
                90_000
            } else {
                5_000
            };
            let at = after + self.random.below(most);
            return self.post_at(at, message(at < now + COMMAND_TIMEOUT_MS));
        }
        if now >= self.calls_lost_until {
            self.post(40, message(true));
        }
    }

    // ---- the worker's own steps -----------------------------------------------

    fn work(&mut self) {
        let now = self.now;
        let w = &mut self.worker;
        if now < w.hung_until {
            return;
        }
        if now > w.lease_from + LEASE_MS {
            w.tasks.clear();
            (w.session, w.lease_from, w.next) = (w.session + 1, now, now);
            let session = w.session;
            self.note(|| format!("session {session}"));
        }
        for message in std::mem::take(&mut self.worker.held) {
            self.deliver(message);
        }
        let w = &mut self.worker;
        if w.in_flight
            .is_some_and(|(_, sent)| now >= sent + WORKER_RESPONSE_TIMEOUT_MS)
        {
            w.try_next_controller(now);
        }
        if w.in_flight.is_some() || now < w.next {
            return;
        }
        // Tasks end by themselves now and then.
        if self.random.chance(15)
            && let Some(phase) = w.tasks.values_mut().find(|p| **p == TaskPhase::Running)
        {
            *phase = TaskPhase::Exited;
        }
        let report = w.report();
        w.in_flight = Some((report.sequence, now));
        let (incarnation, host) = (w.incarnation, w.node);
        let message = |host, copy| Message::Report {
            report: report.clone(),
            incarnation,
            sent: now,
            host,
            by: None,
            copy,
        };
        if self.random.chance(self.copy_percent) {
            let at = now + 200 + self.random.below(4 * LEASE_MS);
            let host = self.random.below(HOSTS as u64) as usize;
            self.post_at(at, message(host, true));
        }
        if now < self.unreachable
            || now < self.hosts[host].unreachable_until
            || self.hosts[host].core.is_none()
        {
            return match self.random.chance(50) {
                // Refused at once, or delayed until long after.
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

    fn place(&mut self) {
        while self.desired.len() < 4 {
            self.tasks += 1;
            let want = want(self.tasks, 0);
            self.desired.insert(want.id.clone(), want);
        }
        if self.random.chance(5)
            && let Some(want) = self.desired.values_mut().next()
        {
            want.stop_grace_s = Some(0);
        }
        // It learns of failovers some time after.
        let newest = self.leader.as_ref().map_or(0, |h| h.fencing_token);
        if newest > self.to && (self.to == 0 || self.random.chance(5)) {
            self.to = newest;
        }
        let (now, to) = (self.now, self.to);
        let at = |h: &Host| {
            h.core.as_ref().is_some_and(|c| {
                c.leases().contains(&ShardLease {
                    shard: 0,
                    token: to,
                })
            }) && now >= h.stalled_until
        };
        let Some(n) = self.hosts.iter().position(at) else {
            return;
        };
        for from in [2, 1] {
            self.sync += 1;
            let wants = if from == 1 {
                self.desired.values().cloned().collect()
            } else {
                Vec::new()
            };
            let span = ChangeRange {
                since: 0,
                until: self.sync,
                complete: true,
            };
            let message = SyncRequest {
                from_shard: from,
                from_fencing_token: 39,
                to_fencing_token: to,
                reserved_machines: vec![machine(0)],
                ..sync(self.sync, span, wants, ObservedState::default())
            };
            let Some(core) = self.hosts[n].core.as_mut() else {
                return;
            };
            let Ok(view) = core.handle_sync(&message, now) else {
                return;
            };
            // A reply may be lost.
            if from != 1 || self.random.chance(10) {
                continue;
            }
            self.open = view.machines.iter().any(|m| m.registered && m.schedulable);
            for a in view.attempts.iter().filter(|a| a.state.is_terminal()) {
                if self.desired.remove(&a.id).is_some() {
                    self.note(|| format!("h{n} publishes that {} ended: {:?}", a.id, a.state));
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
        self.note(|| format!("{fault:?} for {for_ms} ms"));
        match fault {
            Fault::Hang => self.worker.hung_until = until,
            Fault::CallsDelayed => self.calls_delayed_until = until,
            Fault::CallsLost => (self.calls_lost_until, self.calls_delayed_until) = (until, until),
            Fault::HeartbeatsDelayed => self.heartbeats_delayed_until = until,
            Fault::RepliesLost => self.replies_lost_until = until,
            Fault::RepliesSlow => self.replies_slow_until = until,
            Fault::Copies(percent) => self.copy_percent = *percent,
            Fault::Unreachable => self.unreachable = until,
            Fault::PartitionedFrom(n) => self.hosts[*n].unreachable_until = until,
            Fault::PartitionedFromStore(n) => {
                self.hosts[*n].store_partition_until = until;
                self.hosts[*n].reading = None;
            }
            Fault::SlowStore => self.slow_store_until = until,
            Fault::Acquire(n) => self.acquire(*n),
            Fault::Crash(n) => {
                let host = &mut self.hosts[*n];
                (host.core, host.reading, host.acquired, host.restarts_at) =
                    (None, None, None, self.now + for_ms / 8);
                host.held.clear();
                self.calls.retain(|_, p| p.host != *n);
            }
            Fault::Stall(n) => {
                let host = &mut self.hosts[*n];
                host.stalled_until = until;
            }
            Fault::Restart => {
                let incarnation = self.worker.incarnation + 1;
                self.worker = Worker::new(incarnation, self.now + 100);
            }
            Fault::Quiet => {
                (
                    self.calls_delayed_until,
                    self.calls_lost_until,
                    self.heartbeats_delayed_until,
                    self.replies_lost_until,
                ) = (0, 0, 0, 0);
                (
                    self.replies_slow_until,
                    self.slow_store_until,
                    self.unreachable,
                    self.copy_percent,
                ) = (0, 0, 0, 0);
                for host in &mut self.hosts {
                    (host.store_partition_until, host.unreachable_until) = (0, 0);
                }
            }
        }
    }

    fn pass(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 20;
            let now = self.now;
            for n in 0..HOSTS {
                let host = &mut self.hosts[n];
                if host.core.is_none() && now >= host.restarts_at {
                    self.processes += 1;
                    (host.core, host.process, host.read_at) = (Some(core(n)), self.processes, now);
                    if let Some(core) = host.core.as_mut() {
                        core.set_wall_clock(now, DAY_MS + now);
                    }
                }
                if now >= host.stalled_until && !host.held.is_empty() {
                    for message in std::mem::take(&mut host.held) {
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
            self.work();
            self.read_store();
            if now.is_multiple_of(100) {
                for n in 0..HOSTS {
                    if let Some(core) = self.hosts[n].running_core(now) {
                        core.set_wall_clock(now, DAY_MS + now);
                    }
                    self.flush(n);
                }
            }
            if now.is_multiple_of(500) {
                self.place();
            }
            self.assert_no_ended_attempt_runs();
        }
    }
}

// ---- random histories --------------------------------------------------------------

/// A fault, for how long, and how long until the next.
type Step = (Fault, u64, u64);

fn fault(incarnations: bool) -> impl Strategy<Value = Fault> {
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
        1 => Just(if incarnations { Fault::Restart } else { Fault::Quiet }),
        3 => Just(Fault::Quiet),
    ]
}

fn steps(incarnations: bool) -> impl Strategy<Value = (u64, Vec<Step>)> {
    let long = prop_oneof![3 => 500u64..8_000, 2 => 8_000u64..30_000, 1 => 30_000u64..120_000];
    (
        any::<u64>(),
        prop::collection::vec((fault(incarnations), long, 20..9_000u64), 1..30),
    )
}

fn play(seed: u64, steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(seed);
    simulation.pass(5_000);
    for (fault, for_ms, then_ms) in steps {
        simulation.inject(fault, *for_ms);
        simulation.pass(*then_ms);
    }
    simulation.inject(&Fault::Quiet, 0);
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

    /// In any order of calls, answers and heartbeats that are delayed, lost, copied or
    /// late, of a machine that hangs and goes on, and of owners that change, are
    /// partitioned, stalled and come back.
    #[test]
    fn no_attempt_runs_after_its_end_was_published((seed, steps) in steps(false)) {
        play(seed, &steps).pass(100_000);
    }

    /// The same of a machine that may also come back within a moment, empty, and counts
    /// from the start.
    #[test]
    fn no_attempt_runs_after_its_end_on_a_restarted_machine((seed, steps) in steps(true)) {
        play(seed, &steps).pass(100_000);
    }
}

/// The histories are worth something: in them tasks start, end and are published as ended,
/// and once all faults are over the machine is used.
#[test]
fn histories_run_and_end_tasks_and_keep_the_machine_schedulable() {
    use proptest::strategy::ValueTree;
    let rng = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &[7; 32],
    );
    let mut runner =
        proptest::test_runner::TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let (mut starts, mut published_ended, mut used, mut kept) = (0, 0, 0, 0);
    for _ in 0..40 {
        let (seed, steps) = steps(true).new_tree(&mut runner).expect("drawn").current();
        let mut simulation = play(seed, &steps);
        simulation.pass(140_000);
        (starts, published_ended) = (
            starts + simulation.starts,
            published_ended + simulation.published_ended.len(),
        );
        if !simulation.release_requested {
            kept += 1;
            used += usize::from(simulation.open);
        }
    }
    assert!(
        starts > 500 && published_ended > 500,
        "{starts} starts, {published_ended} published as ended"
    );
    assert!(
        kept > 20 && used == kept,
        "{used} of {kept} machines in use"
    );
}

// ---- scripted histories ------------------------------------------------------------

const BASE: u64 = TOKEN << MACHINE_TOKEN_BITS;

fn sync_placer(
    owner: &mut Owner,
    seq: u64,
    wants: Vec<DesiredAttempt>,
    now: u64,
) -> Vec<(AttemptId, AttemptState)> {
    let span = ChangeRange {
        since: 0,
        until: seq,
        complete: true,
    };
    let message = SyncRequest {
        reserved_machines: vec![machine(0)],
        ..sync(seq, span, wants, ObservedState::default())
    };
    let view = owner.sync(&message, ROOM, now).expect("taken");
    view.attempts.into_iter().map(|a| (a.id, a.state)).collect()
}

/// Drawn by an earlier form of the histories above: a machine came back under an owner that had just taken the
/// shard. Its second heartbeat showed the token that the earlier incarnation had shown too, so it
/// was taken for a late one; the owner went on with the earlier incarnation's session, and a
/// start that named it was executed when the new incarnation had come to that session, long
/// after its attempt was published as ended.
#[test]
fn first_heartbeat_of_a_new_incarnation_gets_an_unseen_token() {
    let mut owner = fleet(1);
    let before = |seq, tasks| Heartbeat {
        incarnation: 3,
        tasks,
        ..report(0, seq)
    };
    assert!(
        owner
            .handle_heartbeat(&before(54, Vec::new()), None, 3_000)
            .is_some()
    );
    owner.tick(3_100, 3_100);
    sync_placer(&mut owner, 1, vec![want(0, 0)], 3_200);
    // It is back, and counts from the start.
    let first = owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: 0,
                ..report(0, 1)
            },
            None,
            3_300,
        )
        .expect("answered");
    assert!(
        first.fencing_token > BASE,
        "only the new incarnation will show this one"
    );
    let query = owner.due_calls(3_310, 4).pop().expect("it is asked");
    assert!(
        query.commands.commands.is_empty(),
        "nothing is started on what may be another"
    );
    owner.handle_call_result(&query, CommandResult::NotSent, 3_320);
    // What the earlier incarnation said last comes now.
    let late = before(60, vec![running_task(0)]);
    assert!(owner.handle_heartbeat(&late, None, 3_400).is_some());
    let published = sync_placer(&mut owner, 2, vec![want(0, 0)], 3_450);
    assert!(
        published.iter().all(|(_, s)| *s == AttemptState::Accepted),
        "that proves nothing: {published:?}"
    );
    let mut token = first.fencing_token;
    for seq in 2..5 {
        let said = Heartbeat {
            fencing_token: token,
            ..report(0, seq)
        };
        token = owner
            .handle_heartbeat(&said, None, 3_400 + 500 * seq)
            .expect("answered")
            .fencing_token;
    }
    owner.tick(6_000, 6_000);
    sync_placer(&mut owner, 3, vec![want(0, 0)], 6_000);
    let start = owner.due_calls(6_000, 4).pop().expect("a start");
    assert_eq!(
        (start.commands.incarnation, start.commands.commands.len()),
        (1, 1)
    );
}

/// A copy of a worker's first heartbeat costs a query, and what runs goes on.
#[test]
fn copy_of_a_first_heartbeat_costs_one_query() {
    let mut owner = fleet(1);
    sync_placer(&mut owner, 1, vec![want(0, 0)], 20);
    let start = owner.due_calls(20, 4).pop().expect("a start");
    let seen = |seq, token| Heartbeat {
        fencing_token: token,
        tasks: vec![running_task(0)],
        ..report(0, seq)
    };
    owner.handle_call_result(&start, CommandResult::Executed(seen(3, BASE)), 40);
    assert!(owner.due_calls(4_900, 4).is_empty(), "nothing is due");
    assert!(
        owner
            .handle_heartbeat(
                &Heartbeat {
                    fencing_token: 0,
                    ..report(0, 1)
                },
                None,
                5_000
            )
            .is_some(),
        "a copy"
    );
    let query = owner.due_calls(5_000, 4).pop().expect("a question");
    owner.handle_call_result(
        &query,
        CommandResult::Executed(seen(4, query.commands.fencing_token)),
        5_020,
    );
    assert!(owner.due_calls(5_100, 4).is_empty());
    let published = sync_placer(&mut owner, 2, vec![want(0, 0)], 5_100);
    assert_eq!(published, [(want(0, 0).id, AttemptState::Running)]);
}

/// Drawn by an earlier form of the histories above: a machine came back unheard, its new incarnation took a start whose
/// answer was lost, and the lease of the earlier incarnation proved it over.
#[test]
fn launch_of_unknown_outcome_ends_a_lease_after_its_call_at_the_earliest() {
    let mut owner = fleet(1);
    assert!(owner.handle_heartbeat(&report(0, 2), None, 3_000).is_some());
    owner.tick(3_100, 3_100);
    sync_placer(&mut owner, 1, vec![want(0, 0)], 6_000);
    let start = owner.due_calls(6_000, 4).pop().expect("a start");
    // The new incarnation took it; its lease ends at 20 s.
    owner.handle_call_result(&start, CommandResult::Unknown, 8_500);
    let mut over_at = None;
    for step in 2u64..400 {
        let now = 8_500 + step * 100;
        owner.tick(now, now);
        let ended = sync_placer(&mut owner, step, vec![want(0, 0)], now)
            .iter()
            .any(|(_, s)| s.is_terminal());
        over_at = over_at.or(ended.then_some(now));
    }
    let over_at = over_at.expect("in the end it is over");
    assert!((20_000..24_000).contains(&over_at), "{over_at} ms");
}

/// An owner whose start of task 0 is of unknown outcome since 2.6 s, and that call's token.
fn with_a_lost_start() -> (Owner, u64) {
    let mut owner = fleet(1);
    sync_placer(&mut owner, 1, vec![want(0, 0)], 20);
    let start = owner.due_calls(20, 4).pop().expect("a start");
    owner.handle_call_result(&start, CommandResult::Unknown, 2_600);
    (owner, start.commands.fencing_token)
}

fn stopped(n: u32) -> DesiredAttempt {
    DesiredAttempt {
        stop_grace_s: Some(0),
        ..want(n, 0)
    }
}

fn ended(published: &[(AttemptId, AttemptState)], n: u32) -> bool {
    published
        .iter()
        .any(|(id, s)| *id == want(n, 0).id && s.is_terminal())
}

/// A start that was delayed arrives after a second one of the same attempt ran, ended
/// and would be forgotten: it is refused, or nothing is forgotten before it would be.
#[test]
fn exited_attempt_is_kept_while_a_late_launch_may_arrive() {
    let (mut owner, first) = with_a_lost_start();
    let again = owner
        .due_calls(4_000, 4)
        .pop()
        .expect("it is started again");
    assert!(
        again.commands.fencing_token > first,
        "who takes the second refuses the first"
    );
    owner.handle_call_result(&again, CommandResult::Unknown, 6_500);
    // The first was executed; the second is still on its way.
    let exited = TaskStatus {
        phase: TaskPhase::Exited,
        exit_cause: Some("done".into()),
        ..running_task(0)
    };
    let said = |seq, token| Heartbeat {
        fencing_token: token,
        tasks: vec![exited.clone()],
        ..report(0, seq)
    };
    assert!(
        owner
            .handle_heartbeat(&said(3, first), None, 6_600)
            .is_some()
    );
    assert!(ended(
        &sync_placer(&mut owner, 2, vec![want(0, 0)], 6_700),
        0
    ));
    sync_placer(&mut owner, 3, Vec::new(), 6_800);
    // The only placer wants nothing more; the lost start alone keeps it.
    let reply = owner
        .handle_heartbeat(&said(4, first), None, 9_600)
        .expect("answered");
    assert_eq!(reply.commands, [], "the second would start it anew");
    assert!(reply.fencing_token > again.commands.fencing_token);
    let reply = owner
        .handle_heartbeat(&said(5, reply.fencing_token), None, 10_100)
        .expect("answered");
    assert!(
        reply.commands.iter().any(|o| o.kind == CommandKind::Forget),
        "from now on it is refused: {reply:?}"
    );
}

/// A second call that surely never left tells nothing of the first.
#[test]
fn unsent_call_does_not_undo_one_of_unknown_outcome() {
    let (mut owner, _) = with_a_lost_start();
    let again = owner
        .due_calls(4_000, 4)
        .pop()
        .expect("it is started again");
    owner.handle_call_result(&again, CommandResult::NotSent, 4_100);
    assert!(
        !ended(&sync_placer(&mut owner, 2, vec![stopped(0)], 4_200), 0),
        "the first may arrive"
    );
    let token = owner
        .handle_heartbeat(&report(0, 3), None, 4_300)
        .expect("answered")
        .fencing_token;
    assert!(
        !ended(&sync_placer(&mut owner, 3, vec![stopped(0)], 4_400), 0),
        "and still"
    );
    assert!(
        owner
            .handle_heartbeat(
                &Heartbeat {
                    fencing_token: token,
                    ..report(0, 4)
                },
                None,
                4_900
            )
            .is_some()
    );
    assert!(
        ended(&sync_placer(&mut owner, 4, vec![stopped(0)], 5_000), 0),
        "now it is refused"
    );
}

/// A start went out in an answer that is delayed for up to 4 s: until the worker's next
/// heartbeat, which it sends after it has it or has given it up, no call may show that the
/// task is not there.
#[test]
fn launch_in_a_reply_is_unresolved_until_the_next_heartbeat() {
    let (mut owner, _) = with_a_lost_start();
    let reply = owner
        .handle_heartbeat(&report(0, 3), None, 2_700)
        .expect("answered");
    assert!(
        reply.commands.iter().any(|o| o.kind == CommandKind::Start),
        "{reply:?}"
    );
    sync_placer(&mut owner, 2, vec![stopped(0), want(1, 0)], 3_000);
    for now in (3_000..6_700).step_by(100) {
        assert!(
            owner.due_calls(now, 4).is_empty(),
            "its reply would show task 0 absent"
        );
    }
    assert!(!ended(
        &sync_placer(&mut owner, 3, vec![stopped(0), want(1, 0)], 6_700),
        0
    ));
    owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: reply.fencing_token,
                ..report(0, 4)
            },
            None,
            6_800,
        )
        .expect("answered");
    assert!(ended(
        &sync_placer(&mut owner, 4, vec![stopped(0), want(1, 0)], 6_900),
        0
    ));
}

/// What may be another incarnation proves no absence, though nothing was started there by us.
#[test]
fn suspected_restart_proves_no_absence() {
    let mut owner = fleet(1);
    let token = owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: 0,
                ..report(0, 1)
            },
            None,
            3_000,
        )
        .expect("answered")
        .fencing_token;
    assert!(
        !ended(&sync_placer(&mut owner, 1, vec![stopped(0)], 3_100), 0),
        "an earlier owner may have started it"
    );
    owner
        .handle_heartbeat(
            &Heartbeat {
                fencing_token: token,
                ..report(0, 2)
            },
            None,
            3_500,
        )
        .expect("answered");
    assert!(ended(
        &sync_placer(&mut owner, 2, vec![stopped(0)], 3_600),
        0
    ));
}

/// A machine sends heartbeats and never shows this owner's token: what earlier owners kept
/// alive has ended a while after the failover, what this one may have kept alive a lease
/// after its last reply.
#[test]
fn unconfirmed_worker_may_live_by_our_replies() {
    let mut owner = Owner::new(
        0,
        TOKEN,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    owner.set_types([kind()].iter());
    sync_placer(&mut owner, 1, vec![want(0, 0)], 10);
    let said = Heartbeat {
        fencing_token: (TOKEN - 1) << MACHINE_TOKEN_BITS,
        tasks: vec![running_task(0)],
        ..report(0, 70)
    };
    assert!(owner.handle_heartbeat(&said, None, 70_000).is_some());
    owner.tick(80_000, 80_000);
    assert!(TIMING.inherited_lease_expiry_ms() < 80_000);
    assert!(
        !ended(&sync_placer(&mut owner, 2, vec![want(0, 0)], 80_000), 0),
        "its lease may run until 84 s"
    );
    owner.tick(85_000, 85_000);
    assert!(ended(
        &sync_placer(&mut owner, 3, vec![want(0, 0)], 85_000),
        0
    ));
}

/// A worker that has seen a later owner would drop the reply, and be kept here by it.
#[test]
fn worker_of_a_later_owner_gets_no_reply() {
    let mut owner = fleet(1);
    let later = Heartbeat {
        fencing_token: (TOKEN + 1) << MACHINE_TOKEN_BITS,
        ..report(0, 9)
    };
    assert!(owner.handle_heartbeat(&later, None, 3_000).is_none());
    assert!(
        owner
            .handle_heartbeat(&report(0, 10), None, 3_100)
            .is_some(),
        "and the heartbeat proved nothing"
    );
}
