//! A slow plain model of who may be believed: it knows each message's life and
//! when it was written, and which answers reached the worker. Random histories of
//! reports, copies, new lives, lost answers and changes of hands must never have an
//! owner believe what is older than what it believed, conclude an end of what runs,
//! or ignore a machine that can be heard.

use std::collections::{BTreeMap, BTreeSet};

use crate::machine::Timing;
use crate::owner::{CommandCall, CommandResult, Owner};
use lemonweir_model::constants::*;
use lemonweir_model::{AttemptId, JobId, MachineId, MachineType, Priority, Resources};
use lemonweir_protocol::peer::{
    ChangeRange, DesiredAttempt, ObservedState, PreemptionScope, SyncRequest,
};
use lemonweir_protocol::worker::{
    Command, CommandKind, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus,
};

const HOSTS: usize = 3;

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

/// A worker by the protocol page.
struct Worker {
    life: u64,
    session: u64,
    tally: u64,
    token: u64,
    lease_from: u64,
    /// The report in flight: its number and when it was sent.
    waits: Option<(u64, u64)>,
    next: u64,
    node: usize,
    tasks: BTreeMap<AttemptId, TaskPhase>,
}

impl Worker {
    fn new(life: u64, now: u64) -> Self {
        Self {
            life,
            session: 1,
            tally: 0,
            token: 0,
            lease_from: now,
            waits: None,
            next: now,
            node: 0,
            tasks: BTreeMap::new(),
        }
    }

    fn report(&mut self, machine: &MachineId) -> Heartbeat {
        self.tally += 1;
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
            sequence: self.tally,
            fencing_token: self.token,
            reclaim_notice_s: None,
            tasks: self.tasks.iter().map(task).collect(),
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
}

enum Message {
    /// A report with its life, when it was written, and whether it is the original.
    Report {
        report: Heartbeat,
        life: u64,
        written: u64,
        host: usize,
        copy: bool,
    },
    Answer {
        life: u64,
        session: u64,
        tally: u64,
        sent: u64,
        reply: HeartbeatResponse,
    },
    Orders {
        owner: usize,
        call: CommandCall,
        late: bool,
        /// Of the worker that it was sent to: a connection ends with it.
        to: u64,
    },
    Done {
        owner: usize,
        call: CommandCall,
        result: CommandResult,
        life: u64,
    },
}

struct World {
    dice: Dice,
    now: u64,
    timing: Timing,
    worker: Option<Worker>,
    lives: u64,
    /// Owners in turn, with the host of each and until when it still answers.
    owners: Vec<(Owner, usize, u64)>,
    word: Vec<u64>,
    mail: Vec<(u64, Message)>,
    /// Attempts that are wanted, and those told to be over.
    wanted: BTreeMap<AttemptId, DesiredAttempt>,
    over: BTreeSet<AttemptId>,
    seq: u64,
    /// What is lost now: answers, and those of one host only; calls.
    answers_lost: bool,
    host_lost: Option<usize>,
    calls_lost: bool,
    copies: u64,
    copied: bool,
    /// True life and number of the newest that each owner believed.
    believed: Vec<(u64, u64)>,
    /// Since when nothing was lost, and reports that came since an answer did.
    quiet_from: u64,
    unanswered: u64,
    news: u64,
    starts: u64,
    closed: u64,
    /// The newest owner wants to give the machine back.
    given_back: bool,
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
    owner.set_types([kind].iter());
    owner
}

impl World {
    fn new(seed: u64, lease_ms: u64) -> Self {
        let timing = Timing {
            lease_ms,
            report_ms: 3_000,
        };
        Self {
            dice: Dice(seed),
            now: 0,
            timing,
            worker: Some(Worker::new(1, 0)),
            lives: 1,
            owners: vec![(owner(40, timing, 0), 0, u64::MAX)],
            word: vec![0],
            mail: Vec::new(),
            wanted: BTreeMap::new(),
            over: BTreeSet::new(),
            seq: 0,
            answers_lost: false,
            host_lost: None,
            calls_lost: false,
            copies: 0,
            copied: false,
            believed: vec![(0, 0)],
            quiet_from: 0,
            unanswered: 0,
            news: 0,
            starts: 0,
            closed: 0,
            given_back: false,
        }
    }

    fn post(&mut self, most_ms: u64, message: Message) {
        let at = self.now + 1 + self.dice.below(most_ms);
        self.mail.push((at, message));
    }

    /// What runs is on one life of the machine, so whatever was told to be over must
    /// not run.
    fn check(&self) {
        let Some(w) = &self.worker else { return };
        for id in w
            .tasks
            .iter()
            .filter(|(_, p)| **p != TaskPhase::Exited)
            .map(|(id, _)| id)
        {
            assert!(
                !self.over.contains(id),
                "{id} runs at {} and was told to be over",
                self.now
            );
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Report {
                report,
                life,
                written,
                host,
                copy,
            } => self.report_arrives(&report, life, written, host, copy),
            Message::Answer {
                life,
                session,
                tally,
                sent,
                reply,
            } => {
                let now = self.now;
                let Some(w) = self
                    .worker
                    .as_mut()
                    .filter(|w| w.life == life && w.waits == Some((tally, sent)))
                else {
                    return;
                };
                if now > sent + WORKER_PATIENCE_MS {
                    return;
                }
                w.waits = None;
                w.next = now + 2_250 + self.dice.below(1_500);
                if reply.fencing_token < w.token || session != w.session {
                    return;
                }
                if reply.fencing_token > w.token {
                    (w.token, w.next) = (reply.fencing_token, now + 500);
                }
                w.lease_from = w.lease_from.max(sent);
                w.execute(&reply.commands);
                self.unanswered = 0;
            }
            Message::Orders {
                owner,
                call,
                late,
                to,
            } => {
                let life = self.worker.as_ref().map_or(0, |w| w.life);
                let result = match self.worker.as_mut() {
                    None => CommandResult::NotSent,
                    Some(w) if w.life != to => CommandResult::Unknown,
                    Some(w)
                        if call.commands.fencing_token >= w.token && call.commands.incarnation == w.session =>
                    {
                        w.token = call.commands.fencing_token;
                        w.execute(&call.commands.commands);
                        CommandResult::Executed(w.report(&machine()))
                    }
                    Some(w) => CommandResult::Refused(w.report(&machine())),
                };
                if !late {
                    self.post(
                        40,
                        Message::Done {
                            owner,
                            call,
                            result,
                            life,
                        },
                    );
                }
            }
            Message::Done {
                owner,
                call,
                result,
                life,
            } => {
                let now = self.now;
                if let Some((o, _, until)) = self.owners.get_mut(owner)
                    && now < *until
                {
                    if let CommandResult::Executed(report) | CommandResult::Refused(report) =
                        &result
                    {
                        self.believed[owner] = self.believed[owner].max((life, report.sequence));
                    }
                    o.call_done(&call, result, now);
                }
            }
        }
    }

    fn report_arrives(
        &mut self,
        report: &Heartbeat,
        life: u64,
        written: u64,
        host: usize,
        copy: bool,
    ) {
        let now = self.now;
        // Who still thinks that it is the owner answers at its host; else it goes to
        // the newest.
        let at = (0..self.owners.len())
            .rev()
            .find(|i| self.owners[*i].1 == host && now < self.owners[*i].2)
            .unwrap_or(self.owners.len() - 1);
        let newest = at + 1 == self.owners.len();
        let (owner, home, _) = &mut self.owners[at];
        let way = (*home != host).then_some(host as u16);
        if owner.is_news(report) {
            let (order, known) = ((life, report.sequence), self.believed[at]);
            assert!(
                order > known,
                "{report:?} of life {life} was written at {written}, {known:?} is known"
            );
            self.believed[at] = order;
            self.news += 1;
        }
        let reply = owner.report(report, way, now);
        if !copy && newest && self.worker.as_ref().is_some_and(|w| w.life == life) {
            self.unanswered += 1;
        }
        let lost = self.answers_lost || self.host_lost == Some(host);
        match reply {
            Some(reply) if !lost && !copy => {
                let message = Message::Answer {
                    life,
                    session: report.incarnation,
                    tally: report.sequence,
                    sent: written,
                    reply,
                };
                self.post(60, message);
            }
            Some(_) => {}
            None if copy => {}
            None => {
                if let Some(w) = self
                    .worker
                    .as_mut()
                    .filter(|w| w.waits == Some((report.sequence, written)))
                {
                    (w.waits, w.next, w.node) = (None, now + NEXT_NODE_MS, (w.node + 1) % HOSTS);
                }
            }
        }
    }

    fn work(&mut self) {
        let (now, lease_ms) = (self.now, self.timing.lease_ms);
        let Some(w) = self.worker.as_mut() else {
            return;
        };
        if now > w.lease_from + lease_ms {
            w.tasks.clear();
            (w.session, w.lease_from, w.next) = (w.session + 1, now, now);
        }
        if w.waits
            .is_some_and(|(_, sent)| now >= sent + WORKER_PATIENCE_MS)
        {
            (w.waits, w.next, w.node) = (None, now + NEXT_NODE_MS, (w.node + 1) % HOSTS);
        }
        if w.waits.is_none() && now >= w.next {
            let report = w.report(&machine());
            w.waits = Some((report.sequence, now));
            let (life, host) = (w.life, w.node);
            if self.dice.below(100) < self.copies {
                let at = now + 200 + self.dice.below(3 * lease_ms);
                let host = self.dice.below(HOSTS as u64) as usize;
                self.mail.push((
                    at,
                    Message::Report {
                        report: report.clone(),
                        life,
                        written: now,
                        host,
                        copy: true,
                    },
                ));
            }
            self.post(
                60,
                Message::Report {
                    report,
                    life,
                    written: now,
                    host,
                    copy: false,
                },
            );
        }
    }

    fn own(&mut self) {
        let now = self.now;
        for i in 0..self.owners.len() {
            let last = i + 1 == self.owners.len();
            if now >= self.owners[i].2 {
                continue;
            }
            if last {
                self.word[i] = now;
            }
            let word = self.word[i];
            let owner = &mut self.owners[i].0;
            owner.tick(now, word);
            // The cloud answers nothing here: ends are proven by the machine or time.
            let names = owner.releases();
            self.given_back |= last && !names.is_empty();
            owner.released(&names, false, now);
            let to = self.worker.as_ref().map_or(0, |w| w.life);
            for call in owner.calls(now, 8) {
                self.starts += call
                    .commands
                    .commands
                    .iter()
                    .filter(|o| o.kind == CommandKind::Start)
                    .count() as u64;
                if self.calls_lost || self.dice.chance(3) {
                    // It may be executed, much later, or never.
                    if self.dice.chance(50) {
                        self.post(
                            20_000,
                            Message::Orders {
                                owner: i,
                                call: call.clone(),
                                late: true,
                                to,
                            },
                        );
                    }
                    let at = now + COMMAND_TIMEOUT_MS;
                    self.mail.push((
                        at,
                        Message::Done {
                            owner: i,
                            call,
                            result: CommandResult::Unknown,
                            life: 0,
                        },
                    ));
                } else {
                    self.post(
                        40,
                        Message::Orders {
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

    fn place(&mut self) {
        // One task after the other, four at a time; now and then one is not wanted.
        while self.wanted.len() < 4 {
            let task = self.seq as u32;
            self.seq += 1;
            let id = AttemptId {
                job: JobId::from("req-000001"),
                task,
                attempt: 1,
            };
            let want = DesiredAttempt {
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
            self.wanted.insert(id, want);
        }
        if self.dice.chance(4)
            && let Some(want) = self.wanted.values_mut().next()
        {
            want.stop_grace_s = Some(0);
        }
    }

    fn sync(&mut self) {
        self.place();
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
            to_fencing_token: 39 + self.word.len() as u64,
            seq: self.seq,
            store_age_ms: 0,
            range: ChangeRange {
                since: 0,
                until: self.seq,
                complete: true,
            },
            desired: self.wanted.values().cloned().collect(),
            withdrawn: Vec::new(),
            stops: Vec::new(),
            observed: ObservedState::default(),
            misrouted_heartbeats: 0,
            provisioned: Vec::new(),
            reserved_machines: vec![machine()],
            progress: Vec::new(),
        };
        let view = owner.sync(&message, 1 << 20, now).expect("taken");
        for a in view.attempts.iter().filter(|a| a.state.is_terminal()) {
            self.wanted.remove(&a.id);
            self.over.insert(a.id.clone());
        }
        self.check();
        let open = view.machines.iter().any(|m| m.registered && m.schedulable);
        let settled = now > self.quiet_from + 16_000
            && self
                .worker
                .as_ref()
                .is_some_and(|w| w.lease_from + 6_000 > now);
        assert!(
            open || !settled || self.given_back,
            "{} ms: it hears, and is ignored: {:?}",
            now,
            view.machines
        );
        // Two are enough where nothing else goes wrong; a new life, a new owner and
        // copies of others' first reports may each hide one.
        if self.unanswered >= 3 + u64::from(self.copied) {
            self.closed += 1;
            assert!(
                !open,
                "{now} ms: {} reports since an answer reached it",
                self.unanswered
            );
        }
    }

    /// Something changes.
    fn turn(&mut self) {
        let now = self.now;
        match self.dice.below(12) {
            0 | 1 => self.answers_lost = true,
            2 => self.host_lost = Some(self.dice.below(HOSTS as u64) as usize),
            3 => self.calls_lost = true,
            4 | 5 => (self.answers_lost, self.host_lost, self.calls_lost) = (false, None, false),
            6 => {
                self.copies = [0, 30, 100][self.dice.below(3) as usize];
                self.copied |= self.copies > 0;
            }
            7 if self.owners.len() < 4 => {
                // The one before may not know yet, and answers for a while.
                let host = self.dice.below(HOSTS as u64) as usize;
                let until = if self.dice.chance(50) {
                    now
                } else {
                    now + self.dice.below(30_000)
                };
                if let Some(last) = self.owners.last_mut() {
                    last.2 = if last.1 == host { now } else { until };
                }
                let token = 40 + self.owners.len() as u64;
                self.owners
                    .push((owner(token, self.timing, now), host, u64::MAX));
                self.word.push(now);
                self.believed.push((0, 0));
                (self.unanswered, self.given_back) = (0, false);
            }
            8 | 9 => {
                // Back within a moment, empty.
                self.lives += 1;
                self.worker = Some(Worker::new(self.lives, now + 100));
                self.unanswered = 0;
            }
            _ => return,
        }
        self.quiet_from = if self.answers_lost || self.host_lost.is_some() || self.calls_lost {
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
                self.mail.extract_if(.., |(at, _)| *at <= now).collect();
            due.sort_by_key(|(at, _)| *at);
            due.into_iter().for_each(|(_, m)| self.deliver(m));
            self.work();
            self.own();
            if now.is_multiple_of(500) {
                self.sync();
            }
            if now.is_multiple_of(4_000) {
                self.turn();
            }
        }
    }
}

#[test]
fn only_what_is_new_is_believed_and_nothing_that_runs_is_told_to_be_over() {
    let (mut news, mut starts, mut closed, mut over) = (0, 0, 0, 0);
    for seed in 0..40 {
        let mut world = World::new(seed, if seed % 2 == 0 { 14_000 } else { 26_500 });
        world.run(300_000);
        (news, starts, closed, over) = (
            news + world.news,
            starts + world.starts,
            closed + world.closed,
            over + world.over.len(),
        );
    }
    assert!(
        news > 2_000 && starts > 300 && closed > 600 && over > 300,
        "{news} {starts} {closed} {over}"
    );
}
