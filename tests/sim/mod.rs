//! Stand-ins for the store, the cloud and the workers in simulated time, with
//! seeded faults, and a checker over everything that happens. Written from the
//! protocol page; they drive the real core.
#![allow(dead_code)]

pub mod checker;
pub mod store;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::placer::TxnOutcome;
use lemonweir_coordination::{Config, Core, Effect, Lot, RentResult, ReportAnswer};
use lemonweir_model::constants::COMMAND_TIMEOUT_MS;
use lemonweir_model::settings::Settings;
use lemonweir_model::{Catalog, JobId, JobSpec, MachineId, MachineType, Rank, Room, Shape};
use lemonweir_protocol::peer::{Sync, View};
use lemonweir_protocol::state::{Condition, Txn, Write, from_value, to_value};
use lemonweir_protocol::users::Phase;
use lemonweir_protocol::worker::{Report, ReportReply};
use lemonweir_storage::records::*;

use checker::Checker;
use store::{Store, TxnAnswer};
use worker::Worker;

pub const ZONES: [&str; 2] = ["north", "south"];
pub const LEASE_MS: u64 = 14_000;
pub const CANCEL_MS: u64 = 34_000;

/// How likely faults are, per message, in thousandths.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub lost_txn_reply: u32,
    pub late_txn: u32,
    pub lost_command: u32,
    pub late_command: u32,
    pub lost_sync: u32,
    pub late_sync: u32,
}

enum Event {
    Tick(usize, u64),
    Refresh(usize, u64),
    Boot(usize),
    Acquire(usize, u64, u16),
    Takeover(u16, usize),
    TxnArrives(usize, u64, Lot, Txn, bool),
    TxnEnds(usize, u64, Lot, TxnOutcome),
    CommandArrives(usize, u64, Lot, CommandCall, bool),
    CommandEnds(usize, u64, Lot, CommandCall, CommandResult),
    SyncArrives(usize, u64, Lot, usize, Sync, bool),
    SyncEnds(usize, u64, Lot, u16, Option<View>),
    Mail(MailKind, u16, u16, (u64, u64), Vec<u8>),
    Report(MachineId),
    ReportArrives(MachineId, Report, usize),
    ReplyArrives(MachineId, u64, u64, u64, ReportReply),
    Rented(usize, u64, Lot, lemonweir_protocol::cloud::Rental),
    Released(usize, u64, Lot, Vec<MachineId>),
    Withdraw(JobId),
}

struct Host {
    core: Option<Core>,
    life: u64,
}

pub struct World {
    pub now: u64,
    pub rng: Rng,
    pub faults: Faults,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    pub checker: Checker,
    pub cut_nodes: BTreeSet<(usize, usize)>,
    pub silent: BTreeSet<MachineId>,
    pub outage: bool,
    /// Hosts that the store refuses while it serves the others.
    pub refused: BTreeSet<usize>,
    /// Bytes of the largest message that went through the store.
    pub largest_mail: usize,
    pub image_ms: u64,
    pub run_ms: u64,
    pub capacity: u32,
    hosts: Vec<Host>,
    settings: Vec<Settings>,
    queue: BTreeMap<(u64, u64), Event>,
    seq: u64,
    next_machine: u32,
    bookings: BTreeMap<String, Vec<MachineId>>,
}

pub fn settings_text(host: usize, hosts: usize) -> String {
    let zone = |i: usize| ZONES[i % ZONES.len()];
    let seeds: Vec<String> = (0..hosts)
        .filter(|&i| i != host)
        .map(|i| format!(r#"{{"host_name":"h{i}","zone":"{}","address":"10.0.0.{}:81"}}"#, zone(i), i + 1))
        .collect();
    format!(
        r#"{{"host_name":"h{host}","zone":"{}","listen":"10.0.0.{n}:80","internal_addr":"10.0.0.{n}:81","seeds":[{}],
        "services":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
        "cluster":{{"zones":["north","south"],"teams":[{{"name":"red","gpus":4.0,"gpus_max":12.0}},{{"name":"blue","gpus":0.0,"gpus_max":0.0}}],
        "workers":{{"report_s":3.0,"lease_s":14.0,"gang_wait_s":50.0,"gang_peer_s":8.0,"cancel_s":34.0}},
        "state":{{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":12}},"cloud":{{"rps":4.0,"list_lag_s":10.0}},
        "limits":{{"cpu_share":0.1,"mem_mb":100.0,"fd_limit":1800}}}}}}"#,
        zone(host),
        seeds.join(","),
        n = host + 1
    )
}

pub fn catalog() -> Catalog {
    let t = MachineType {
        name: "box".into(),
        room: Room::offer(16.0, 4.0, 64.0),
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.0,
        boot_s: 20.0,
        zones: ZONES.iter().map(|z| z.to_string()).collect(),
    };
    [("box".to_owned(), t)].into()
}

pub fn job(n: u32, team: &str, shape: Shape, tasks: u64) -> JobSpec {
    JobSpec {
        id: JobId::from(format!("req-{n:06}").as_str()),
        class: "work".into(),
        team: team.into(),
        shape,
        rank: Rank::Normal,
        tasks,
        cores: 4.0,
        gpus: 1.0,
        ram_gb: 8.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img".into(),
        image_gb: 2.0,
        estimate_s: 20.0,
        checkpoint_s: 5.0,
        save_s: 2.0,
        deadline_s: None,
    }
}

impl World {
    pub fn new(seed: u64, hosts: usize, faults: Faults) -> Self {
        let settings: Vec<Settings> = (0..hosts).map(|i| Settings::parse(&settings_text(i, hosts)).expect("settings")).collect();
        let mut limits = BTreeMap::new();
        limits.insert("red".to_owned(), 12_000);
        let mut world = Self {
            now: 1_000,
            rng: Rng::with_seed(seed),
            faults,
            store: Store::default(),
            workers: BTreeMap::new(),
            checker: Checker::new(limits, CANCEL_MS),
            cut_nodes: BTreeSet::new(),
            silent: BTreeSet::new(),
            outage: false,
            refused: BTreeSet::new(),
            largest_mail: 0,
            image_ms: 2_000,
            run_ms: 15_000,
            capacity: 12,
            hosts: (0..hosts).map(|_| Host { core: None, life: 0 }).collect(),
            settings,
            queue: BTreeMap::new(),
            seq: 0,
            next_machine: 0,
            bookings: BTreeMap::new(),
        };
        for i in 0..hosts {
            world.at(0, Event::Boot(i));
        }
        world
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + delay, self.seq), event);
    }

    fn lat(&mut self) -> u64 {
        self.rng.u64(1..6)
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.u32(0..1000) < per_mille
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.checker.submitted(&spec);
        let key = job_key(&spec.id);
        let record = JobRecord { at: self.now, spec };
        self.store.put(&key, to_value(&record));
    }

    /// Withdraws as any node would: under the version that was read.
    pub fn withdraw(&mut self, id: &JobId) {
        let Some((_, version)) = self.store.get(&job_key(id)) else { return };
        let txn = Txn {
            conditions: vec![Condition { key: job_key(id), version }],
            writes: vec![Write::Delete { key: job_key(id) }, Write::put(end_key(id), &EndRecord { phase: Phase::Withdrawn })],
        };
        if let TxnAnswer::Done(_) = self.store.txn(&txn) {
            self.checker.withdrawn(id, self.now);
        }
    }

    pub fn withdraw_at(&mut self, delay: u64, id: JobId) {
        self.at(delay, Event::Withdraw(id));
    }

    pub fn crash(&mut self, host: usize, back_after: u64) {
        self.hosts[host].core = None;
        self.hosts[host].life += 1;
        self.at(back_after, Event::Boot(host));
        // The hold outlives its node by its time to live.
        self.at(10_000, Event::Takeover(host as u16, (host + 1) % self.hosts.len()));
    }

    pub fn phase(&self, id: &JobId) -> Option<Phase> {
        self.store.get(&end_key(id)).and_then(|(v, _)| from_value::<EndRecord>(&v)).map(|r| r.phase)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some((&(at, seq), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some(event) = self.queue.remove(&(at, seq)) else { break };
            self.now = at;
            self.handle(event);
            let now = self.now;
            self.checker.check_time(now, &self.workers);
        }
        self.now = end;
    }

    fn alive(&self, host: usize, life: u64) -> bool {
        self.hosts[host].life == life && self.hosts[host].core.is_some()
    }

    fn core(&mut self, host: usize) -> Option<&mut Core> {
        self.hosts[host].core.as_mut()
    }

    fn pump(&mut self, host: usize) {
        let (now, life) = (self.now, self.hosts[host].life);
        let Some(core) = self.core(host) else { return };
        let effects = core.pump(now);
        for effect in effects {
            self.carry(host, life, effect);
        }
    }

    fn carry(&mut self, host: usize, life: u64, effect: Effect) {
        let d = self.lat();
        match effect {
            Effect::Txn(lot, txn) => {
                if self.chance(self.faults.late_txn) {
                    let late = self.rng.u64(3_000..30_000);
                    self.at(late, Event::TxnArrives(host, life, lot, txn, true));
                    self.at(1_500, Event::TxnEnds(host, life, lot, TxnOutcome::Again));
                } else {
                    self.at(d, Event::TxnArrives(host, life, lot, txn, false));
                }
            }
            Effect::Note(txn) => {
                self.store.txn(&txn);
            }
            Effect::Command(lot, call) => {
                let unreachable = self.silent.contains(&call.machine);
                if unreachable || self.chance(self.faults.lost_command) {
                    // Held back: it may arrive much later.
                    if self.chance(500) {
                        let late = self.rng.u64(3_000..90_000);
                        self.at(late, Event::CommandArrives(host, life, lot, call.clone(), true));
                    }
                    self.at(COMMAND_TIMEOUT_MS, Event::CommandEnds(host, life, lot, call, CommandResult::Unknown));
                } else if self.chance(self.faults.late_command) {
                    let late = self.rng.u64(2_600..60_000);
                    self.at(late, Event::CommandArrives(host, life, lot, call.clone(), true));
                    self.at(COMMAND_TIMEOUT_MS, Event::CommandEnds(host, life, lot, call, CommandResult::Unknown));
                } else {
                    self.at(d, Event::CommandArrives(host, life, lot, call, false));
                }
            }
            Effect::Sync(lot, sync) => {
                let Some(to) = self.holder(sync.to) else {
                    self.at(d, Event::SyncEnds(host, life, lot, sync.to, None));
                    return;
                };
                let cut = self.cut_nodes.contains(&(host.min(to), host.max(to)));
                let dest = sync.to;
                if cut || self.chance(self.faults.lost_sync) {
                    if self.chance(self.faults.late_sync) {
                        let late = self.rng.u64(2_000..60_000);
                        self.at(late, Event::SyncArrives(host, life, lot, to, sync, true));
                    }
                    self.at(1_500, Event::SyncEnds(host, life, lot, dest, None));
                } else {
                    self.at(d, Event::SyncArrives(host, life, lot, to, sync, false));
                }
            }
            Effect::MailSync(sync) => {
                let bytes = lemonweir_protocol::peer::write(&sync);
                self.at(d, Event::Mail(MailKind::Sync, sync.from, sync.to, (sync.from_token, sync.seq), bytes));
            }
            Effect::MailView(to, view) => {
                let bytes = lemonweir_protocol::peer::write(&view);
                self.at(d, Event::Mail(MailKind::View, view.part, to, (view.token, view.seq), bytes));
            }
            Effect::Nudge(part) => {
                if let Some(to) = self.holder(part) {
                    let from: Vec<u16> =
                        self.hosts[host].core.as_ref().map(|c| c.held().iter().map(|l| l.part).collect()).unwrap_or_default();
                    if let Some(core) = self.core(to) {
                        for f in from {
                            core.nudged(part, f);
                        }
                    }
                }
            }
            Effect::Rent(lot, rental) => self.at(100 + d, Event::Rented(host, life, lot, rental)),
            Effect::Release(lot, names) => self.at(100 + d, Event::Released(host, life, lot, names)),
        }
    }

    fn holder(&self, part: u16) -> Option<usize> {
        self.hosts.iter().position(|h| h.core.as_ref().is_some_and(|c| c.held().iter().any(|l| l.part == part)))
    }

    fn store_down(&self, host: usize) -> bool {
        self.outage || self.refused.contains(&host)
    }

    /// True if a host would take users' requests.
    pub fn ready(&self, host: usize) -> bool {
        self.hosts[host].core.as_ref().is_some_and(|c| c.ready(self.now))
    }

    fn refresh(&mut self, host: usize) {
        if self.store_down(host) {
            return;
        }
        let now = self.now;
        let Some(core) = self.hosts[host].core.as_mut() else { return };
        let changed = self.store.follow(&mut core.mirror);
        core.refreshed(now, changed);
        let effects = core.take_mail(now);
        let life = self.hosts[host].life;
        for e in effects {
            self.carry(host, life, e);
        }
        self.pump(host);
    }

    fn acquire(&mut self, host: usize, part: u16) {
        if self.store_down(host) {
            let life = self.hosts[host].life;
            self.at(500, Event::Acquire(host, life, part));
            return;
        }
        let name = self.settings[host].host_name.clone();
        let token = self.store.put(&part_key(part), to_value(&PartRecord { host: name }));
        let chunks: Vec<(JobId, u32, ChunkRecord, u64)> = self
            .store
            .list(&run_prefix(part))
            .into_iter()
            .filter_map(|(k, v, version)| {
                let (job, chunk) = parse_run_key(&k)?;
                Some((job, chunk, from_value(&v)?, version))
            })
            .collect();
        self.refresh(host);
        let now = self.now;
        if let Some(core) = self.core(host) {
            core.adopt(Lot { part, token }, &chunks, Vec::new(), now);
        }
        self.pump(host);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(host, life) => {
                if self.alive(host, life) {
                    self.pump(host);
                    self.at(100, Event::Tick(host, life));
                }
            }
            Event::Refresh(host, life) => {
                if self.alive(host, life) {
                    self.refresh(host);
                    self.at(200, Event::Refresh(host, life));
                }
            }
            Event::Boot(host) => {
                let mut core = Core::new(Config::new(&self.settings[host]), lemonweir_policy::embedded().expect("policy"));
                core.set_catalog(catalog());
                self.hosts[host].core = Some(core);
                self.hosts[host].life += 1;
                let life = self.hosts[host].life;
                self.at(0, Event::Refresh(host, life));
                self.at(1, Event::Tick(host, life));
                // Another node may have taken the part meanwhile: it is handed back.
                self.at(200, Event::Acquire(host, life, host as u16));
            }
            Event::Acquire(host, life, part) => {
                if self.alive(host, life) {
                    self.acquire(host, part);
                }
            }
            Event::Takeover(part, by) => {
                if self.holder(part).is_none() && self.hosts[by].core.is_some() {
                    self.acquire(by, part);
                }
            }
            Event::TxnArrives(host, life, lot, txn, late) => {
                let outcome = if self.store_down(host) {
                    TxnOutcome::Again
                } else {
                    match self.store.txn(&txn) {
                        TxnAnswer::Done(revision) => {
                            self.checker.written(&txn, self.now);
                            TxnOutcome::Done(revision)
                        }
                        TxnAnswer::Conflict(keys) => TxnOutcome::Conflict(keys),
                    }
                };
                if late {
                    return;
                }
                let lost = self.chance(self.faults.lost_txn_reply);
                let outcome = if lost { TxnOutcome::Again } else { outcome };
                self.at(if lost { 1_500 } else { 2 }, Event::TxnEnds(host, life, lot, outcome));
            }
            Event::TxnEnds(host, life, lot, outcome) => {
                if !self.alive(host, life) {
                    return;
                }
                let mut versions = Vec::new();
                if let TxnOutcome::Conflict(keys) = &outcome {
                    for key in keys.iter().filter(|k| k.starts_with("run/")) {
                        versions.push((key.clone(), self.store.get(key).map_or(0, |(_, v)| v)));
                    }
                }
                let now = self.now;
                if let Some(core) = self.core(host) {
                    for (key, version) in versions {
                        let (job, chunk) = parse_run_key(&key).expect("run key");
                        core.reread(lot, &job, chunk, version);
                    }
                    core.txn_done(lot, outcome, now);
                }
                self.pump(host);
            }
            Event::CommandArrives(host, life, lot, call, late) => {
                let now = self.now;
                let answer = self.workers.get_mut(&call.machine).map(|w| w.commands(&call.commands, now, &mut self.checker));
                self.wake(&call.machine);
                let result = match answer {
                    None => CommandResult::NotSent,
                    Some((true, report)) => CommandResult::Executed(report),
                    Some((false, report)) => CommandResult::Refused(report),
                };
                if !late {
                    let d = self.lat();
                    self.at(d, Event::CommandEnds(host, life, lot, call, result));
                }
            }
            Event::CommandEnds(host, life, lot, call, result) => {
                if self.alive(host, life) {
                    let now = self.now;
                    if let Some(core) = self.core(host) {
                        core.command_done(lot, &call, result, now);
                    }
                    self.pump(host);
                }
            }
            Event::SyncArrives(host, life, lot, to, sync, late) => {
                let now = self.now;
                let view = self.core(to).and_then(|c| c.sync_in(&sync, now).ok());
                self.pump(to);
                if !late {
                    let d = self.lat();
                    self.at(d, Event::SyncEnds(host, life, lot, sync.to, view));
                }
            }
            Event::SyncEnds(host, life, lot, to, view) => {
                if self.alive(host, life) {
                    let now = self.now;
                    if let Some(core) = self.core(host) {
                        core.sync_done(lot, to, view, now);
                    }
                    self.pump(host);
                }
            }
            Event::Mail(kind, from, to, id, bytes) => {
                use base64::prelude::{BASE64_STANDARD, Engine};
                self.largest_mail = self.largest_mail.max(bytes.len());
                if !self.outage {
                    let record = MailRecord { n: 1, id, b: BASE64_STANDARD.encode(&bytes) };
                    self.store.put(&mail_key(kind, from, to, 0), to_value(&record));
                }
            }
            Event::Report(machine) => self.report(&machine),
            Event::ReportArrives(machine, report, host) => {
                let now = self.now;
                let answer = self.core(host).map(|c| c.report(&report, now));
                match answer {
                    Some(ReportAnswer::Orders(reply)) if !self.silent.contains(&machine) => {
                        let sent = self.workers.get(&machine).map_or(0, |w| w.report_sent);
                        let d = self.lat();
                        self.at(d, Event::ReplyArrives(machine, report.session, report.seq, sent, reply));
                    }
                    Some(ReportAnswer::Elsewhere(name)) => {
                        let to = self.settings.iter().position(|s| s.host_name == name).unwrap_or(0);
                        if let Some(w) = self.workers.get_mut(&machine) {
                            w.node = to;
                            w.in_flight = false;
                        }
                        self.at(100, Event::Report(machine));
                    }
                    _ => {
                        let hosts = self.hosts.len();
                        if let Some(w) = self.workers.get_mut(&machine) {
                            w.node = (w.node + 1) % hosts;
                            w.in_flight = false;
                        }
                        self.at(1_000, Event::Report(machine));
                    }
                }
                self.pump(host);
            }
            Event::ReplyArrives(machine, session, _seq, sent, reply) => {
                let now = self.now;
                if let Some(w) = self.workers.get_mut(&machine) {
                    w.reply(session, sent, &reply, now, &mut self.checker);
                    let next = w.next_report(now, &mut self.rng);
                    self.at(next, Event::Report(machine.clone()));
                }
                self.wake(&machine);
            }
            Event::Rented(host, life, lot, rental) => {
                let machines = match self.bookings.get(&rental.booking) {
                    Some(m) => m.clone(),
                    None => {
                        let free = self.capacity.saturating_sub(self.workers.len() as u32);
                        let n = rental.count.min(free);
                        let names: Vec<MachineId> = (0..n)
                            .map(|_| {
                                self.next_machine += 1;
                                MachineId::from(format!("n-{:06}", self.next_machine).as_str())
                            })
                            .collect();
                        for m in &names {
                            let boot = self.rng.u64(10_000..30_000);
                            let w = Worker::new(m.clone(), &rental, self.now + boot, self.image_ms, self.run_ms);
                            self.workers.insert(m.clone(), w);
                            self.at(boot, Event::Report(m.clone()));
                        }
                        if !names.is_empty() {
                            self.bookings.insert(rental.booking.clone(), names.clone());
                        }
                        names
                    }
                };
                if self.alive(host, life) {
                    let now = self.now;
                    let result = if machines.is_empty() { RentResult::NoCapacity } else { RentResult::Rented(machines) };
                    if let Some(core) = self.core(host) {
                        core.rented(lot, &rental, result, now);
                    }
                    self.pump(host);
                }
            }
            Event::Released(host, life, lot, names) => {
                for m in &names {
                    if let Some(w) = self.workers.remove(m) {
                        self.checker.machine_gone(&w, self.now);
                    }
                }
                if self.alive(host, life) {
                    let now = self.now;
                    if let Some(core) = self.core(host) {
                        core.released(lot, &names, true, now);
                    }
                    self.pump(host);
                }
            }
            Event::Withdraw(id) => self.withdraw(&id),
        }
    }

    /// A machine that changed reports again soon.
    fn wake(&mut self, machine: &MachineId) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(machine)
            && let Some(at) = w.next_change(now)
        {
            self.at(at.saturating_sub(now) + 20, Event::Report(machine.clone()));
        }
    }

    fn report(&mut self, machine: &MachineId) {
        let now = self.now;
        let specs = self.checker.specs.clone();
        let Some(w) = self.workers.get_mut(machine) else { return };
        if now < w.up_at {
            return;
        }
        w.advance(now, &specs, &mut self.checker);
        if w.in_flight && now < w.report_sent + 4_000 || now < w.report_sent + 500 {
            if now >= w.retry_at {
                w.retry_at = now + 600;
                self.at(600, Event::Report(machine.clone()));
            }
            return;
        }
        w.in_flight = true;
        w.report_sent = now;
        let report = w.report();
        let node = w.node;
        let hosts = self.hosts.len();
        if self.silent.contains(machine) || self.hosts[node].core.is_none() {
            w.node = (node + 1) % hosts;
            w.in_flight = false;
            self.at(4_000, Event::Report(machine.clone()));
            return;
        }
        let d = self.lat();
        self.at(d, Event::ReportArrives(machine.clone(), report, node));
        // The watchdog of the lease.
        self.at(3_500, Event::Report(machine.clone()));
    }
}
