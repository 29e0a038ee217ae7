//! Orders, answers and reports that come late, at owners in succession, against a
//! slow plain model of one worker and of a store that only knows who holds the part.
//! Whatever is held back, lost, copied or delivered after newer things, nothing runs
//! on the machine that an owner has told to be over.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use lemonweir_coordination::owner::{CommandCall, CommandResult, Owner};
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer, ShardLease};
use lemonweir_model::AttemptId;
use lemonweir_model::constants::*;
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
struct Dice(u64);

impl Dice {
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
    life: u64,
    session: u64,
    seq: u64,
    token: u64,
    lease_from: u64,
    /// The report in flight: its number and when it was sent.
    waits: Option<(u64, u64)>,
    next: u64,
    node: usize,
    tasks: BTreeMap<AttemptId, TaskPhase>,
    hangs_until: u64,
    /// What lies in its sockets while it hangs.
    held: Vec<Message>,
}

impl Worker {
    fn new(life: u64, now: u64) -> Self {
        Self {
            life,
            session: 1,
            seq: 0,
            token: 0,
            lease_from: now,
            waits: None,
            next: now,
            node: 0,
            tasks: BTreeMap::new(),
            hangs_until: 0,
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
    fn turns(&mut self, now: u64) {
        (self.waits, self.next, self.node) = (None, now + NEXT_NODE_MS, (self.node + 1) % HOSTS);
    }
}

// ---- what is on its way ----------------------------------------------------------

#[derive(Clone)]
enum Message {
    /// A report to a controller, carried on by another; not the original: `copy`.
    Report {
        report: Heartbeat,
        life: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        copy: bool,
    },
    /// What a worker is answered; `None`: that it can't be, or a controller's number.
    Answer {
        life: u64,
        session: u64,
        seq: u64,
        sent: u64,
        answer: Result<HeartbeatResponse, Option<usize>>,
    },
    /// A call; `to` is the life of the worker that it was sent to: a connection ends
    /// with that. `heard`: its sender had heard that life.
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
    back_at: u64,
    /// It stands still until then, ms; what came meanwhile.
    stands_until: u64,
    held: Vec<Message>,
    /// The store does not answer it until then, ms.
    cut_until: u64,
    /// Workers and it don't reach each other until then, ms.
    deaf_until: u64,
    /// A reading under way: when it began, when it ends, and what it will show.
    reading: Option<(u64, u64, Option<ShardLeader>)>,
    read_at: u64,
    /// The last life of the machine that it has heard as its owner.
    heard: u64,
    /// A part that it has taken and not adopted yet.
    taken: Option<(u64, u64)>,
}

impl Host {
    /// Its process, if it does not stand still.
    fn runs(&mut self, now: u64) -> Option<&mut Core> {
        self.core.as_mut().filter(|_| now >= self.stands_until)
    }
}

#[derive(Clone, Debug)]
enum Trouble {
    /// The machine hangs.
    Hang,
    /// Calls are held back and delivered then, or within three times that.
    CallsHeld,
    CallsLost,
    /// Reports are held back and delivered then.
    ReportsHeld,
    AnswersLost,
    AnswersSlow,
    /// Of this share of reports a copy comes again.
    Copies(u64),
    /// Nobody reaches the machine.
    Unreachable,
    /// The machine and one controller don't reach each other.
    Apart(usize),
    /// The store does not answer one controller.
    CutFromStore(usize),
    SlowStore,
    /// A controller takes the part.
    Take(usize),
    /// Its process ends, and is back then.
    Crash(usize),
    StandStill(usize),
    /// The machine is back within a moment, empty.
    NewLife,
    Quiet,
}

struct World {
    dice: Dice,
    now: u64,
    worker: Worker,
    hosts: Vec<Host>,
    processes: u64,
    holder: Option<ShardLeader>,
    revision: u64,
    mail: Vec<(u64, u64, Message)>,
    posted: u64,
    calls: BTreeMap<u64, Pending>,
    called: u64,
    // Until when what is troubled.
    calls_held: u64,
    calls_lost: u64,
    reports_held: u64,
    answers_lost: u64,
    answers_slow: u64,
    slow_store: u64,
    unreachable: u64,
    copies: u64,
    // The placer.
    to: u64,
    sync: u64,
    tasks: u32,
    wanted: BTreeMap<AttemptId, DesiredAttempt>,
    over: BTreeSet<AttemptId>,
    open: bool,
    given_back: bool,
    starts: u64,
}

impl World {
    fn new(seed: u64) -> Self {
        let host = |n: usize| Host {
            core: Some(core(n)),
            process: n as u64,
            back_at: 0,
            stands_until: 0,
            held: Vec::new(),
            cut_until: 0,
            deaf_until: 0,
            reading: None,
            read_at: 0,
            heard: 1,
            taken: None,
        };
        let mut world = Self {
            dice: Dice(seed),
            now: 100,
            worker: Worker::new(1, 100),
            hosts: (0..HOSTS).map(host).collect(),
            processes: HOSTS as u64,
            holder: None,
            revision: TOKEN - 1,
            mail: Vec::new(),
            posted: 0,
            calls: BTreeMap::new(),
            called: 0,
            calls_held: 0,
            calls_lost: 0,
            reports_held: 0,
            answers_lost: 0,
            answers_slow: 0,
            slow_store: 0,
            unreachable: 0,
            copies: 0,
            to: 0,
            sync: 0,
            tasks: 0,
            wanted: BTreeMap::new(),
            over: BTreeSet::new(),
            open: false,
            given_back: false,
            starts: 0,
        };
        world.take(0);
        world
    }

    fn note(&self, text: impl FnOnce() -> String) {
        tracing::debug!("{:>7} {}", self.now, text());
    }

    fn post_at(&mut self, at: u64, message: Message) {
        self.posted += 1;
        self.mail.push((at.max(self.now + 1), self.posted, message));
    }

    fn post(&mut self, most_ms: u64, message: Message) {
        let at = self.now + 1 + self.dice.below(most_ms);
        self.post_at(at, message);
    }

    /// What was told to be over does not run, nor will it.
    fn check(&self) {
        // What hangs past its lease goes on with nothing.
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
                !self.over.contains(id),
                "{id} runs at {} ms and was told to be over",
                self.now
            );
        }
    }

    // ---- the store -----------------------------------------------------------

    fn take(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        if host.core.is_none()
            || now < host.stands_until
            || now < host.cut_until
            || host.taken.is_some()
        {
            return;
        }
        self.revision += 1;
        self.holder = Some(ShardLeader {
            host: format!("h{n}"),
            fencing_token: self.revision,
        });
        let wait = 20 + self.dice.below(600);
        self.hosts[n].taken = Some((self.revision, now + wait));
        let token = self.revision;
        self.note(|| format!("h{n} takes the part with {token}"));
    }

    fn show(core: &mut Core, holder: Option<ShardLeader>, began: u64) {
        let revision = holder.as_ref().map_or(1, |h| h.fencing_token);
        match holder {
            Some(holder) => drop(core.cache.shard_leaders.insert(0, holder)),
            None => drop(core.cache.shard_leaders.remove(&0)),
        }
        core.cache.revision = core.cache.revision.max(Some(revision));
        core.refreshed(began, true);
    }

    fn read_store(&mut self) {
        let (now, slow) = (self.now, self.now < self.slow_store);
        for n in 0..HOSTS {
            let wait = if slow {
                10 + self.dice.below(1_490)
            } else {
                5 + self.dice.below(30)
            };
            let holder = self.holder.clone();
            let host = &mut self.hosts[n];
            let Some(core) = host.core.as_mut() else {
                continue;
            };
            if now < host.stands_until {
                continue;
            }
            if let Some((began, _, shown)) = host.reading.take_if(|(_, ends, _)| now >= *ends) {
                Self::show(core, shown, began);
                host.read_at = now + REFRESH_IDLE_MS;
            }
            if now < host.cut_until {
                continue;
            }
            if host.reading.is_none() && now >= host.read_at {
                host.reading = Some((now, now + wait, holder.clone()));
            }
            if let Some((token, _)) = host.taken.take_if(|(_, at)| now >= *at) {
                // The reading before it adopts the part.
                Self::show(core, holder.clone(), now - 1);
                if holder.is_some_and(|h| h.fencing_token == token) {
                    core.acquire(ShardLease { shard: 0, token }, &[], Vec::new(), now);
                }
            }
        }
        // Who finds itself the holder without knowing takes the part anew.
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
                && core.held().is_empty()
                && host.taken.is_none()
                && self.holder.as_ref() == core.cache.shard_leaders.get(&0)
            {
                self.take(n);
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
            Some(n) if now < self.hosts[n].stands_until => return self.hosts[n].held.push(message),
            None if now < self.worker.hangs_until => return self.worker.held.push(message),
            _ => {}
        }
        match message {
            Message::Report {
                report,
                life,
                sent,
                host,
                by,
                copy,
            } => self.report_arrives(report, life, sent, host, by, copy),
            Message::Answer {
                life,
                session,
                seq,
                sent,
                answer,
            } => {
                let pick = self.dice.below(1_500);
                let w = &mut self.worker;
                if w.life != life || w.waits != Some((seq, sent)) {
                    return;
                }
                if now >= sent + WORKER_PATIENCE_MS {
                    return w.turns(now);
                }
                let reply = match answer {
                    Ok(reply) => reply,
                    Err(Some(node)) if node != w.node => {
                        (w.waits, w.node, w.next) = (None, node, now + pick / 3);
                        return;
                    }
                    Err(_) => return w.turns(now),
                };
                (w.waits, w.next) = (None, now + 2_250 + pick);
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
                // Assumed (`docs/design.md`, statement 12): what was sent to a life that
                // its sender had not heard yet is not held back until that life is in a
                // later session.
                if w.life != to || !heard && w.session > 1 {
                    return;
                }
                let executed = call.commands.fencing_token >= w.token && call.commands.incarnation == w.session;
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
                    let most = if self.dice.chance(15) { 3_000 } else { 30 };
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
                core.command_done(p.lease, &p.call, result, now);
                self.pump(p.host);
            }
        }
        self.check();
    }

    fn report_arrives(
        &mut self,
        report: Heartbeat,
        life: u64,
        sent: u64,
        host: usize,
        by: Option<u16>,
        copy: bool,
    ) {
        let now = self.now;
        let answer = match self.hosts[host].core.as_mut() {
            None => HeartbeatAnswer::Unable,
            Some(core) => match by {
                None => core.report(&report, now),
                Some(by) => core.carried_report(&report, by, now),
            },
        };
        if self.hosts[host]
            .core
            .as_ref()
            .is_some_and(|c| !c.held().is_empty())
        {
            self.hosts[host].heard = self.hosts[host].heard.max(life);
        }
        self.note(|| format!("h{host} hears {report:?} by {by:?}, copy {copy}: {answer:?}"));
        self.pump(host);
        let answer = match answer {
            HeartbeatAnswer::Orders(reply) => Ok(reply),
            HeartbeatAnswer::Carry(to) => {
                let report = Message::Report {
                    report,
                    life,
                    sent,
                    host: usize::from(to),
                    by: Some(host as u16),
                    copy,
                };
                return self.post(40, report);
            }
            HeartbeatAnswer::Elsewhere(name) => Err(name[1..].parse().ok()),
            HeartbeatAnswer::Unable => Err(None),
        };
        let lost = now < self.answers_lost
            || now < self.unreachable
            || now < self.hosts[host].deaf_until && by.is_none();
        if copy || lost {
            return;
        }
        let most = if now < self.answers_slow { 6_000 } else { 40 };
        self.post(
            most,
            Message::Answer {
                life,
                session: report.incarnation,
                seq: report.sequence,
                sent,
                answer,
            },
        );
    }

    fn pump(&mut self, n: usize) {
        let now = self.now;
        let Some(core) = self.hosts[n].runs(now) else {
            return;
        };
        for effect in core.pump(now) {
            match effect {
                Effect::Command(lease, call) => self.call(n, lease, call),
                Effect::Release(lease, names) => {
                    // The cloud answers nothing here: ends are proven by the machine
                    // or time.
                    self.given_back = true;
                    if let Some(core) = self.hosts[n].core.as_mut() {
                        core.released(lease, &names, false, now);
                    }
                }
                Effect::Hail(to, word) => self.hail(n, usize::from(to), word),
                _ => {}
            }
        }
    }

    fn hail(&mut self, from: usize, to: usize, word: AvailabilityGossip) {
        let now = self.now;
        let answer = self.hosts[to]
            .runs(now)
            .map(|core| core.links.hail_in(word, now));
        if let Some(core) = self.hosts[from].core.as_mut() {
            core.links.hailed(to as u16, answer.is_some(), answer, now);
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
        let (to, process) = (self.worker.life, self.hosts[host].process);
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
        let apart =
            now < self.unreachable || now < self.hosts[host].deaf_until && call.through.is_none();
        if apart && self.dice.chance(50) || self.dice.chance(3) {
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
        let held = now < self.calls_held || apart;
        let heard = self.hosts[host].heard >= to;
        let message = |answered| Message::Orders {
            number,
            call: call.clone(),
            to,
            heard,
            answered,
        };
        if held || self.dice.chance(5) {
            if now < self.calls_lost || self.dice.chance(20) {
                return;
            }
            // Delivered after the trouble, or long after it.
            let after = self.calls_held.max(self.unreachable).max(now + 100);
            let most = if self.dice.chance(30) { 90_000 } else { 5_000 };
            let at = after + self.dice.below(most);
            return self.post_at(at, message(at < now + COMMAND_TIMEOUT_MS));
        }
        if now >= self.calls_lost {
            self.post(40, message(true));
        }
    }

    // ---- the worker's own motion -----------------------------------------------

    fn work(&mut self) {
        let now = self.now;
        let w = &mut self.worker;
        if now < w.hangs_until {
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
        if w.waits
            .is_some_and(|(_, sent)| now >= sent + WORKER_PATIENCE_MS)
        {
            w.turns(now);
        }
        if w.waits.is_some() || now < w.next {
            return;
        }
        // Tasks end by themselves now and then.
        if self.dice.chance(15)
            && let Some(phase) = w.tasks.values_mut().find(|p| **p == TaskPhase::Running)
        {
            *phase = TaskPhase::Exited;
        }
        let report = w.report();
        w.waits = Some((report.sequence, now));
        let (life, host) = (w.life, w.node);
        let message = |host, copy| Message::Report {
            report: report.clone(),
            life,
            sent: now,
            host,
            by: None,
            copy,
        };
        if self.dice.chance(self.copies) {
            let at = now + 200 + self.dice.below(4 * LEASE_MS);
            let host = self.dice.below(HOSTS as u64) as usize;
            self.post_at(at, message(host, true));
        }
        if now < self.unreachable
            || now < self.hosts[host].deaf_until
            || self.hosts[host].core.is_none()
        {
            return match self.dice.chance(50) {
                // Refused at once, or held back until long after.
                true => self.worker.turns(now),
                false => {
                    let at = now + self.dice.below(40_000);
                    self.post_at(at, message(host, false));
                }
            };
        }
        if now < self.reports_held {
            let at = self.reports_held + self.dice.below(100);
            return self.post_at(at, message(host, false));
        }
        self.post(40, message(host, false));
    }

    // ---- the placer --------------------------------------------------------------

    fn place(&mut self) {
        while self.wanted.len() < 4 {
            self.tasks += 1;
            let want = want(self.tasks, 0);
            self.wanted.insert(want.id.clone(), want);
        }
        if self.dice.chance(5)
            && let Some(want) = self.wanted.values_mut().next()
        {
            want.stop_grace_s = Some(0);
        }
        // It learns of changes of hands some time after.
        let newest = self.holder.as_ref().map_or(0, |h| h.fencing_token);
        if newest > self.to && (self.to == 0 || self.dice.chance(5)) {
            self.to = newest;
        }
        let (now, to) = (self.now, self.to);
        let at = |h: &Host| {
            h.core.as_ref().is_some_and(|c| {
                c.held().contains(&ShardLease {
                    shard: 0,
                    token: to,
                })
            }) && now >= h.stands_until
        };
        let Some(n) = self.hosts.iter().position(at) else {
            return;
        };
        for from in [2, 1] {
            self.sync += 1;
            let wants = if from == 1 {
                self.wanted.values().cloned().collect()
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
            let Ok(view) = core.sync_in(&message, now) else {
                return;
            };
            // An answer may be lost.
            if from != 1 || self.dice.chance(10) {
                continue;
            }
            self.open = view.machines.iter().any(|m| m.registered && m.schedulable);
            for a in view.attempts.iter().filter(|a| a.state.is_terminal()) {
                if self.wanted.remove(&a.id).is_some() {
                    self.note(|| format!("h{n} tells that {} is over: {:?}", a.id, a.state));
                }
                self.over.insert(a.id.clone());
            }
        }
        self.check();
        self.pump(n);
    }

    // ---- troubles ------------------------------------------------------------------

    fn befall(&mut self, trouble: &Trouble, for_ms: u64) {
        let until = self.now + for_ms;
        self.note(|| format!("{trouble:?} for {for_ms} ms"));
        match trouble {
            Trouble::Hang => self.worker.hangs_until = until,
            Trouble::CallsHeld => self.calls_held = until,
            Trouble::CallsLost => (self.calls_lost, self.calls_held) = (until, until),
            Trouble::ReportsHeld => self.reports_held = until,
            Trouble::AnswersLost => self.answers_lost = until,
            Trouble::AnswersSlow => self.answers_slow = until,
            Trouble::Copies(percent) => self.copies = *percent,
            Trouble::Unreachable => self.unreachable = until,
            Trouble::Apart(n) => self.hosts[*n].deaf_until = until,
            Trouble::CutFromStore(n) => {
                self.hosts[*n].cut_until = until;
                self.hosts[*n].reading = None;
            }
            Trouble::SlowStore => self.slow_store = until,
            Trouble::Take(n) => self.take(*n),
            Trouble::Crash(n) => {
                let host = &mut self.hosts[*n];
                (host.core, host.reading, host.taken, host.back_at) =
                    (None, None, None, self.now + for_ms / 8);
                host.held.clear();
                self.calls.retain(|_, p| p.host != *n);
            }
            Trouble::StandStill(n) => {
                let host = &mut self.hosts[*n];
                host.stands_until = until;
            }
            Trouble::NewLife => {
                let life = self.worker.life + 1;
                self.worker = Worker::new(life, self.now + 100);
            }
            Trouble::Quiet => {
                (
                    self.calls_held,
                    self.calls_lost,
                    self.reports_held,
                    self.answers_lost,
                ) = (0, 0, 0, 0);
                (
                    self.answers_slow,
                    self.slow_store,
                    self.unreachable,
                    self.copies,
                ) = (0, 0, 0, 0);
                for host in &mut self.hosts {
                    (host.cut_until, host.deaf_until) = (0, 0);
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
                if host.core.is_none() && now >= host.back_at {
                    self.processes += 1;
                    (host.core, host.process, host.read_at) = (Some(core(n)), self.processes, now);
                    if let Some(core) = host.core.as_mut() {
                        core.set_clock(now, DAY_MS + now);
                    }
                }
                if now >= host.stands_until && !host.held.is_empty() {
                    for message in std::mem::take(&mut host.held) {
                        self.deliver(message);
                    }
                }
            }
            let mut due: Vec<(u64, u64, Message)> =
                self.mail.extract_if(.., |(at, _, _)| *at <= now).collect();
            due.sort_by_key(|(at, n, _)| (*at, *n));
            due.into_iter().for_each(|(_, _, m)| self.deliver(m));
            self.work();
            self.read_store();
            if now.is_multiple_of(100) {
                for n in 0..HOSTS {
                    if let Some(core) = self.hosts[n].runs(now) {
                        core.set_clock(now, DAY_MS + now);
                    }
                    self.pump(n);
                }
            }
            if now.is_multiple_of(500) {
                self.place();
            }
            self.check();
        }
    }
}

// ---- random histories --------------------------------------------------------------

/// A trouble, for how long, and how long until the next.
type Step = (Trouble, u64, u64);

fn trouble(lives: bool) -> impl Strategy<Value = Trouble> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => Just(Trouble::Hang),
        3 => Just(Trouble::CallsHeld),
        1 => Just(Trouble::CallsLost),
        2 => Just(Trouble::ReportsHeld),
        2 => Just(Trouble::AnswersLost),
        2 => Just(Trouble::AnswersSlow),
        2 => prop_oneof![Just(0u64), Just(30), Just(100)].prop_map(Trouble::Copies),
        2 => Just(Trouble::Unreachable),
        2 => host.clone().prop_map(Trouble::Apart),
        3 => host.clone().prop_map(Trouble::CutFromStore),
        1 => Just(Trouble::SlowStore),
        4 => host.clone().prop_map(Trouble::Take),
        2 => host.clone().prop_map(Trouble::Crash),
        2 => host.prop_map(Trouble::StandStill),
        1 => Just(if lives { Trouble::NewLife } else { Trouble::Quiet }),
        3 => Just(Trouble::Quiet),
    ]
}

fn steps(lives: bool) -> impl Strategy<Value = (u64, Vec<Step>)> {
    let long = prop_oneof![3 => 500u64..8_000, 2 => 8_000u64..30_000, 1 => 30_000u64..120_000];
    (
        any::<u64>(),
        prop::collection::vec((trouble(lives), long, 20..9_000u64), 1..30),
    )
}

fn play(seed: u64, steps: &[Step]) -> World {
    let mut world = World::new(seed);
    world.pass(5_000);
    for (trouble, for_ms, then_ms) in steps {
        world.befall(trouble, *for_ms);
        world.pass(*then_ms);
    }
    world.befall(&Trouble::Quiet, 0);
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        max_shrink_iters: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// In any order of calls, answers and reports that are held back, lost, copied or
    /// late, of a machine that hangs and goes on, and of owners that change, are cut
    /// off, stand still and come back.
    #[test]
    fn nothing_runs_that_was_told_to_be_over((seed, steps) in steps(false)) {
        play(seed, &steps).pass(100_000);
    }

    /// The same of a machine that may also come back within a moment, empty, and counts
    /// from the start.
    #[test]
    fn nor_on_a_machine_that_came_back((seed, steps) in steps(true)) {
        play(seed, &steps).pass(100_000);
    }
}

/// The histories are worth something: in them tasks start, end and are told to be over,
/// and once all troubles are over the machine is used.
#[test]
fn histories_start_and_end_tasks_and_leave_the_machine_in_use() {
    use proptest::strategy::ValueTree;
    let rng = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &[7; 32],
    );
    let mut runner =
        proptest::test_runner::TestRunner::new_with_rng(ProptestConfig::default(), rng);
    let (mut starts, mut over, mut used, mut kept) = (0, 0, 0, 0);
    for _ in 0..40 {
        let (seed, steps) = steps(true).new_tree(&mut runner).expect("drawn").current();
        let mut world = play(seed, &steps);
        world.pass(140_000);
        (starts, over) = (starts + world.starts, over + world.over.len());
        if !world.given_back {
            kept += 1;
            used += usize::from(world.open);
        }
    }
    assert!(
        starts > 500 && over > 500,
        "{starts} starts, {over} told to be over"
    );
    assert!(
        kept > 20 && used == kept,
        "{used} of {kept} machines in use"
    );
}

// ---- orders given by hand ------------------------------------------------------------

const BASE: u64 = TOKEN << FENCE_BITS;

fn tell(
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
    view.attempts
        .into_iter()
        .map(|a| (a.id, a.state))
        .collect()
}

/// Drawn by an earlier form of the histories above: a machine came back under an owner that had just taken the
/// part. Its second report showed the token that the earlier life had shown too, so it
/// was held for a late one; the owner went on with the earlier life's session, and a
/// start that named it was executed when the new life had come to that session, long
/// after its attempt was told to be over.
#[test]
fn the_first_report_of_a_new_life_is_answered_with_a_token_that_the_earlier_one_never_saw() {
    let mut owner = fleet(1);
    let before = |seq, tasks| Heartbeat {
        incarnation: 3,
        tasks,
        ..report(0, seq)
    };
    assert!(owner.report(&before(54, Vec::new()), None, 3_000).is_some());
    owner.tick(3_100, 3_100);
    tell(&mut owner, 1, vec![want(0, 0)], 3_200);
    // It is back, and counts from the start.
    let first = owner
        .report(
            &Heartbeat {
                fencing_token: 0,
                ..report(0, 1)
            },
            None,
            3_300,
        )
        .expect("answered");
    assert!(first.fencing_token > BASE, "only the new life will show this one");
    let question = owner.calls(3_310, 4).pop().expect("it is asked");
    assert!(
        question.commands.commands.is_empty(),
        "nothing is started on what may be another"
    );
    owner.call_done(&question, CommandResult::NotSent, 3_320);
    // What the earlier life said last comes now.
    let late = before(60, vec![running_task(0)]);
    assert!(owner.report(&late, None, 3_400).is_some());
    let told = tell(&mut owner, 2, vec![want(0, 0)], 3_450);
    assert!(
        told.iter().all(|(_, s)| *s == AttemptState::Accepted),
        "that is not believed: {told:?}"
    );
    let mut token = first.fencing_token;
    for seq in 2..5 {
        let said = Heartbeat {
            fencing_token: token,
            ..report(0, seq)
        };
        token = owner
            .report(&said, None, 3_400 + 500 * seq)
            .expect("answered")
            .fencing_token;
    }
    owner.tick(6_000, 6_000);
    tell(&mut owner, 3, vec![want(0, 0)], 6_000);
    let start = owner.calls(6_000, 4).pop().expect("a start");
    assert_eq!(
        (start.commands.incarnation, start.commands.commands.len()),
        (1, 1)
    );
}

/// A copy of a worker's first report costs a question, and what runs goes on.
#[test]
fn a_copy_of_a_first_report_costs_one_question() {
    let mut owner = fleet(1);
    tell(&mut owner, 1, vec![want(0, 0)], 20);
    let start = owner.calls(20, 4).pop().expect("a start");
    let seen = |seq, token| Heartbeat {
        fencing_token: token,
        tasks: vec![running_task(0)],
        ..report(0, seq)
    };
    owner.call_done(&start, CommandResult::Executed(seen(3, BASE)), 40);
    assert!(owner.calls(4_900, 4).is_empty(), "nothing is due");
    assert!(
        owner
            .report(
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
    let question = owner.calls(5_000, 4).pop().expect("a question");
    owner.call_done(
        &question,
        CommandResult::Executed(seen(4, question.commands.fencing_token)),
        5_020,
    );
    assert!(owner.calls(5_100, 4).is_empty());
    let told = tell(&mut owner, 2, vec![want(0, 0)], 5_100);
    assert_eq!(told, [(want(0, 0).id, AttemptState::Running)]);
}

/// Drawn by an earlier form of the histories above: a machine came back unheard, its new life took a start whose
/// answer was lost, and the lease of the earlier life proved it over.
#[test]
fn a_start_of_unknown_fate_is_over_a_lease_after_its_call_at_the_earliest() {
    let mut owner = fleet(1);
    assert!(owner.report(&report(0, 2), None, 3_000).is_some());
    owner.tick(3_100, 3_100);
    tell(&mut owner, 1, vec![want(0, 0)], 6_000);
    let start = owner.calls(6_000, 4).pop().expect("a start");
    // The new life took it; its lease is over at 20 s.
    owner.call_done(&start, CommandResult::Unknown, 8_500);
    let mut over_at = None;
    for step in 2u64..400 {
        let now = 8_500 + step * 100;
        owner.tick(now, now);
        let ended = tell(&mut owner, step, vec![want(0, 0)], now)
            .iter()
            .any(|(_, s)| s.is_terminal());
        over_at = over_at.or(ended.then_some(now));
    }
    let over_at = over_at.expect("in the end it is over");
    assert!((20_000..24_000).contains(&over_at), "{over_at} ms");
}

/// An owner whose start of task 0 is of unknown fate since 2.6 s, and that call's token.
fn with_a_lost_start() -> (Owner, u64) {
    let mut owner = fleet(1);
    tell(&mut owner, 1, vec![want(0, 0)], 20);
    let start = owner.calls(20, 4).pop().expect("a start");
    owner.call_done(&start, CommandResult::Unknown, 2_600);
    (owner, start.commands.fencing_token)
}

fn stopped(n: u32) -> DesiredAttempt {
    DesiredAttempt {
        stop_grace_s: Some(0),
        ..want(n, 0)
    }
}

fn ended(told: &[(AttemptId, AttemptState)], n: u32) -> bool {
    told.iter().any(|(id, s)| *id == want(n, 0).id && s.is_terminal())
}

/// A start that was held back arrives after a second one of the same attempt ran, ended
/// and would be forgotten: it is refused, or nothing is forgotten before it would be.
#[test]
fn nothing_is_forgotten_while_an_order_that_would_start_it_again_may_arrive() {
    let (mut owner, first) = with_a_lost_start();
    let again = owner.calls(4_000, 4).pop().expect("it is started again");
    assert!(
        again.commands.fencing_token > first,
        "who takes the second refuses the first"
    );
    owner.call_done(&again, CommandResult::Unknown, 6_500);
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
    assert!(owner.report(&said(3, first), None, 6_600).is_some());
    assert!(ended(&tell(&mut owner, 2, vec![want(0, 0)], 6_700), 0));
    tell(&mut owner, 3, Vec::new(), 6_800);
    // The only placer wants nothing more; the lost start alone keeps it.
    let reply = owner
        .report(&said(4, first), None, 9_600)
        .expect("answered");
    assert_eq!(reply.commands, [], "the second would start it anew");
    assert!(reply.fencing_token > again.commands.fencing_token);
    let reply = owner
        .report(&said(5, reply.fencing_token), None, 10_100)
        .expect("answered");
    assert!(
        reply.commands.iter().any(|o| o.kind == CommandKind::Forget),
        "from now on it is refused: {reply:?}"
    );
}

/// A second call that surely never left tells nothing of the first.
#[test]
fn a_call_that_was_not_sent_does_not_take_back_a_lost_one() {
    let (mut owner, _) = with_a_lost_start();
    let again = owner.calls(4_000, 4).pop().expect("it is started again");
    owner.call_done(&again, CommandResult::NotSent, 4_100);
    assert!(
        !ended(&tell(&mut owner, 2, vec![stopped(0)], 4_200), 0),
        "the first may arrive"
    );
    let token = owner
        .report(&report(0, 3), None, 4_300)
        .expect("answered")
        .fencing_token;
    assert!(
        !ended(&tell(&mut owner, 3, vec![stopped(0)], 4_400), 0),
        "and still"
    );
    assert!(
        owner
            .report(
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
        ended(&tell(&mut owner, 4, vec![stopped(0)], 5_000), 0),
        "now it is refused"
    );
}

/// A start went out in an answer that is held up for up to 4 s: until the worker's next
/// report, which it sends after it has it or has given it up, no call may show that the
/// task is not there.
#[test]
fn a_start_in_an_answer_is_open_until_the_next_report() {
    let (mut owner, _) = with_a_lost_start();
    let reply = owner.report(&report(0, 3), None, 2_700).expect("answered");
    assert!(
        reply.commands.iter().any(|o| o.kind == CommandKind::Start),
        "{reply:?}"
    );
    tell(&mut owner, 2, vec![stopped(0), want(1, 0)], 3_000);
    for now in (3_000..6_700).step_by(100) {
        assert!(
            owner.calls(now, 4).is_empty(),
            "its answer would show task 0 absent"
        );
    }
    assert!(!ended(
        &tell(&mut owner, 3, vec![stopped(0), want(1, 0)], 6_700),
        0
    ));
    owner
        .report(
            &Heartbeat {
                fencing_token: reply.fencing_token,
                ..report(0, 4)
            },
            None,
            6_800,
        )
        .expect("answered");
    assert!(ended(
        &tell(&mut owner, 4, vec![stopped(0), want(1, 0)], 6_900),
        0
    ));
}

/// What may be another life proves no absence, though nothing was started there by us.
#[test]
fn a_machine_under_suspicion_proves_no_absence() {
    let mut owner = fleet(1);
    let token = owner
        .report(
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
        !ended(&tell(&mut owner, 1, vec![stopped(0)], 3_100), 0),
        "an earlier owner may have started it"
    );
    owner
        .report(
            &Heartbeat {
                fencing_token: token,
                ..report(0, 2)
            },
            None,
            3_500,
        )
        .expect("answered");
    assert!(ended(&tell(&mut owner, 2, vec![stopped(0)], 3_600), 0));
}

/// A machine reports and never shows that it hears this owner: what earlier owners kept
/// alive is over a while after the taking, what this one may have kept alive a lease
/// after its last answer.
#[test]
fn a_machine_that_never_shows_our_token_may_live_by_our_answers() {
    let mut owner = Owner::new(
        0,
        TOKEN,
        1,
        TIMING,
        lemonweir_policy::embedded().expect("policy"),
        0,
    );
    owner.set_types([kind()].iter());
    tell(&mut owner, 1, vec![want(0, 0)], 10);
    let said = Heartbeat {
        fencing_token: (TOKEN - 1) << FENCE_BITS,
        tasks: vec![running_task(0)],
        ..report(0, 70)
    };
    assert!(owner.report(&said, None, 70_000).is_some());
    owner.tick(80_000, 80_000);
    assert!(TIMING.inherited_ms() < 80_000);
    assert!(
        !ended(&tell(&mut owner, 2, vec![want(0, 0)], 80_000), 0),
        "its lease may run until 84 s"
    );
    owner.tick(85_000, 85_000);
    assert!(ended(&tell(&mut owner, 3, vec![want(0, 0)], 85_000), 0));
}

/// A worker that has seen a later owner would drop the answer, and be held here by it.
#[test]
fn a_worker_that_has_seen_a_later_owner_is_not_answered() {
    let mut owner = fleet(1);
    let later = Heartbeat {
        fencing_token: (TOKEN + 1) << FENCE_BITS,
        ..report(0, 9)
    };
    assert!(owner.report(&later, None, 3_000).is_none());
    assert!(
        owner.report(&report(0, 10), None, 3_100).is_some(),
        "and the report told nothing"
    );
}
