//! Whole controllers with a store, machines and users around them, as the protocol
//! page has them; what is wrong from when to when is given. The rules of withdrawn and
//! done jobs, and that no task runs twice, are checked at every end and every start.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::job_status::Answer;
use lemonweir_coordination::owner::{CommandCall, CommandResult, SyncError};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{
    Config, Core, Effect, HeartbeatAnswer, ProvisioningResult, ShardLease, keys_to_reread,
};
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_model::{AttemptId, JobId, JobSpec};
use lemonweir_protocol::cloud::InstanceEntry;
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write, from_value};
use lemonweir_protocol::peer::{self, ShardView, SyncRequest};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::worker::{Command, CommandKind, Heartbeat, TaskPhase, TaskStatus};
use lemonweir_storage::records::*;

use crate::support::*;

pub const CORES: usize = 3;
pub const BOXES: usize = 15;
/// Of each job.
pub const TASKS: u64 = 3;
/// Each has another part's placer.
pub const TEAMS: [&str; 3] = ["amber", "blue", "red"];
/// A user gives an answer up after so long.
pub const PATIENCE_MS: u64 = 60_000;

/// Draws that need nothing from outside.
pub struct Draws(pub u64);

impl Draws {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    pub fn one_in(&mut self, n: u64) -> bool {
        n > 0 && self.below(n) == 0
    }
}

/// A machine as the protocol page has it: tokens, sessions, a lease.
pub struct Box_ {
    pub at: usize,
    pub next: u64,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub answered: u64,
    /// Attempts with when they began, and the cause of their end, if they have ended.
    pub tasks: BTreeMap<AttemptId, (u64, Option<&'static str>)>,
    pub gone: bool,
}

impl Box_ {
    pub fn runs(&self, job: &JobId) -> bool {
        self.tasks
            .iter()
            .any(|(id, (_, cause))| id.job == *job && cause.is_none())
    }
}

/// A controller with what its process keeps beside its decisions.
pub struct Node {
    pub core: Core,
    pub membership: LeaderElection,
    pub hold: Option<u64>,
    pub renewed: u64,
}

/// Something held back, and until when.
pub enum Late {
    CompareAndSwap(CompareAndSwap),
    Call(CommandCall),
    Sync(usize, Box<SyncRequest>),
    View(usize, ShardLease, Box<ShardView>),
}

/// What is wrong from when to when, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Days {
    /// The store refuses controller 0.
    pub refused: (u64, u64),
    /// Controller 0 and the others don't reach each other.
    pub apart: (u64, u64),
    /// The store is down for all.
    pub down: (u64, u64),
    /// A controller that ends then, and is back at once.
    pub ends: (usize, u64),
    /// One in so many messages is lost, late or unknown; 0: none.
    pub trouble: u64,
}

pub struct User {
    pub job: JobId,
    pub asks: u64,
    pub next: u64,
    pub at: usize,
    /// When it was told, and when the last task was over.
    pub told: Option<(u64, JobPhase)>,
    pub stopped: Option<u64>,
}

pub struct Site {
    pub now: u64,
    pub days: Days,
    pub draws: Draws,
    pub revision: u64,
    pub store: BTreeMap<String, KeyValue>,
    pub changes: Vec<WatchEvent>,
    /// Holds with their end, and the keys that live with them.
    pub holds: BTreeMap<u64, u64>,
    pub tied: BTreeMap<String, u64>,
    pub nodes: Vec<Node>,
    pub boxes: Vec<Box_>,
    pub late: Vec<(u64, Late)>,
    pub users: Vec<User>,
    /// ms for which a task runs, and the tasks that were done.
    pub lasts: u64,
    pub done: BTreeSet<(JobId, u32)>,
}

pub fn within(span: (u64, u64), now: u64) -> bool {
    (span.0..span.1).contains(&now)
}

pub fn settings(me: usize) -> Settings {
    let seed = |n: usize| serde_json::json!({"host_name": format!("h{n}"), "zone": "north", "address": format!("10.0.0.{n}:8081")});
    let team = |name| serde_json::json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0});
    let value = serde_json::json!({
        "host_name": format!("h{me}"), "zone": "north", "listen": "10.0.0.1:8080", "internal_addr": format!("10.0.0.{me}:8081"),
        "seeds": (0..CORES).filter(|n| *n != me).map(seed).collect::<Vec<_>>(),
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "nodes": CORES, "zones": ["north"],
            "teams": TEAMS.map(team),
            "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    });
    serde_json::from_value(value).expect("settings")
}

/// A controller that has just started.
pub fn process(me: usize, now: u64) -> Node {
    // Nothing is given back for being empty.
    let policy = Policy {
        on_demand_idle_multiple: 1e6,
        spot_idle_multiple: 1e6,
        ..lemonweir_policy::embedded().expect("policy")
    };
    let mut core = Core::new(Config::new(&settings(me)), policy);
    core.set_catalog([(kind().name, kind())].into_iter().collect());
    core.set_clock(now, 1_000_000 + now);
    Node {
        core,
        membership: LeaderElection::new(CORES),
        hold: None,
        renewed: 0,
    }
}

impl Site {
    pub fn new(seed: u64, days: Days) -> Self {
        let fresh = |n| Box_ {
            at: n % CORES,
            next: 1_000 + n as u64 * 331,
            session: 1,
            seq: 0,
            token: 0,
            answered: 100,
            tasks: BTreeMap::new(),
            gone: false,
        };
        Self {
            now: 0,
            days,
            draws: Draws(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            revision: 40,
            store: BTreeMap::new(),
            changes: Vec::new(),
            holds: BTreeMap::new(),
            tied: BTreeMap::new(),
            nodes: (0..CORES).map(|me| process(me, 0)).collect(),
            boxes: (0..BOXES).map(fresh).collect(),
            late: Vec::new(),
            users: Vec::new(),
            lasts: u64::MAX / 2,
            done: BTreeSet::new(),
        }
    }

    pub fn trouble(&mut self) -> bool {
        let n = self.days.trouble;
        self.now > 20_000 && self.draws.one_in(n)
    }

    pub fn hold_back(&mut self, late: Late) {
        let at = self.now + 2_000 + self.draws.below(10_000);
        self.late.push((at, late));
    }

    // ---- links ----

    pub fn apart(&self, a: usize, b: usize) -> bool {
        a != b && (a == 0 || b == 0) && within(self.days.apart, self.now)
    }

    pub fn down(&self) -> bool {
        within(self.days.down, self.now)
    }

    pub fn refused(&self, node: usize) -> bool {
        node == 0 && within(self.days.refused, self.now)
    }

    /// The store answers it, by itself or by another that carries.
    pub fn has_store(&self, node: usize) -> bool {
        !self.down() && (0..CORES).any(|by| !self.refused(by) && !self.apart(node, by))
    }

    // ---- the store ----

    pub fn version(&self, key: &str) -> u64 {
        self.store.get(key).map_or(0, |e| e.version)
    }

    pub fn set(&mut self, key: &str, value: rmpv::Value) {
        let version = self.revision;
        self.store.insert(
            key.to_owned(),
            KeyValue {
                key: key.to_owned(),
                value: value.clone(),
                version,
            },
        );
        self.changes.push(WatchEvent {
            set: Some(key.to_owned()),
            drop: None,
            value: Some(value),
            version,
        });
    }

    pub fn drop_key(&mut self, key: &str) {
        if self.store.remove(key).is_some() {
            self.changes.push(WatchEvent {
                set: None,
                drop: Some(key.to_owned()),
                value: None,
                version: self.revision,
            });
        }
    }

    pub fn apply(&mut self, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        let lives = |w: &Write| !matches!(w, Write::Put { lease: Some(h), .. } if !self.holds.contains_key(h));
        if !cas.writes.iter().all(lives) {
            return CompareAndSwapOutcome::Again;
        }
        let failed: Vec<String> = cas
            .conditions
            .iter()
            .filter(|c| self.version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return CompareAndSwapOutcome::Conflict(failed);
        }
        self.revision += 1;
        for w in &cas.writes {
            match w {
                Write::Put { key, value, lease: hold } => {
                    self.set(key, value.clone());
                    match hold {
                        Some(hold) => drop(self.tied.insert(key.clone(), *hold)),
                        None => drop(self.tied.remove(key)),
                    }
                    if let Some(id) = key.strip_prefix("end/") {
                        self.check_end(&JobId::from(id));
                    }
                }
                Write::Delete { key } => self.drop_key(key),
            }
        }
        CompareAndSwapOutcome::Done(self.revision)
    }

    /// What becomes of a transaction that a controller makes.
    pub fn transact(&mut self, node: usize, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        if !self.has_store(node) {
            return CompareAndSwapOutcome::Again;
        }
        match (self.trouble(), self.draws.below(3)) {
            (false, _) => self.apply(cas),
            (true, 0) => CompareAndSwapOutcome::Again,
            (true, 1) => {
                self.apply(cas);
                CompareAndSwapOutcome::Again
            }
            (true, _) => {
                self.hold_back(Late::CompareAndSwap(cas.clone()));
                CompareAndSwapOutcome::Again
            }
        }
    }

    pub fn holds_end(&mut self) {
        if self.down() {
            // All get their full time back after an outage.
            let full = self.now + HOLD_TTL_MS;
            self.holds.values_mut().for_each(|end| *end = full);
            return;
        }
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, end)| self.now > **end)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.holds.remove(&id);
            let keys: Vec<String> = self
                .tied
                .iter()
                .filter(|(_, h)| **h == id)
                .map(|(k, _)| k.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.tied.remove(&key);
                self.drop_key(&key);
            }
        }
    }

    pub fn end(&self, id: &JobId) -> Option<JobPhase> {
        Some(from_value::<JobEndRecord>(&self.store.get(&end_key(id))?.value)?.phase)
    }

    /// Nothing of a job that is withdrawn is on a machine, and all of one that is done
    /// has been done.
    pub fn check_end(&self, id: &JobId) {
        match self.end(id) {
            Some(JobPhase::Withdrawn) => {
                for (n, b) in self.boxes.iter().enumerate() {
                    assert!(
                        !b.runs(id),
                        "at {}: {id} is withdrawn and on machine {n}; {:?}",
                        self.now,
                        self.days
                    );
                }
            }
            Some(JobPhase::Done) => {
                let done = self.done.iter().filter(|(job, _)| job == id).count();
                assert_eq!(
                    done, TASKS as usize,
                    "at {}: {id} counts as done; {:?}",
                    self.now, self.days
                );
            }
            _ => {}
        }
    }

    // ---- controllers ----

    pub fn read(&mut self, node: usize) {
        if !self.has_store(node) {
            return;
        }
        let (now, revision) = (self.now, self.revision);
        let core = &mut self.nodes[node].core;
        let changed = match core.cache.revision {
            None => {
                let entries: Vec<KeyValue> = self
                    .store
                    .range("w/".to_owned()..)
                    .take_while(|(k, _)| k.starts_with("w/"))
                    .map(|(_, e)| e.clone())
                    .collect();
                core.cache.load_snapshot(&entries, revision);
                true
            }
            Some(after) => {
                let of = |c: &&WatchEvent| {
                    c.version > after
                        && c.set
                            .as_ref()
                            .or(c.drop.as_ref())
                            .is_some_and(|k| k.starts_with("w/"))
                };
                let changes: Vec<WatchEvent> = self.changes.iter().filter(of).cloned().collect();
                core.cache.apply_changes(&changes, revision, now);
                !changes.is_empty()
            }
        };
        core.refreshed(now, changed);
        for effect in core.take_mail(now) {
            self.carry(node, effect);
        }
    }

    pub fn keep(&mut self, node: usize) {
        if !self.has_store(node) || self.nodes[node].core.cache.revision.is_none() {
            return;
        }
        let now = self.now;
        let hold = match self.nodes[node].hold.filter(|h| self.holds.contains_key(h)) {
            Some(hold) => hold,
            None => {
                self.revision += 1;
                let hold = self.revision;
                self.nodes[node].renewed = 0;
                hold
            }
        };
        self.nodes[node].hold = Some(hold);
        if now >= self.nodes[node].renewed + 1_000 {
            self.nodes[node].renewed = now;
            self.holds.insert(hold, now + HOLD_TTL_MS);
        }
        let teams = self.nodes[node].core.unassigned_teams();
        if !teams.is_empty() {
            self.apply(&assign_teams(&teams));
            self.read(node);
        }
        for shard in 0..CORES as u16 {
            let Node {
                core, membership, ..
            } = &mut self.nodes[node];
            let Some(claim) = membership.claim(core, shard, now) else {
                continue;
            };
            let left = membership.left(core, now);
            let cas = core.claim_txn(&claim, hold, left, now);
            match (claim, self.apply(&cas)) {
                (ElectionAction::Take { shard, .. }, CompareAndSwapOutcome::Done(token)) => {
                    self.acquire(node, ShardLease { shard, token })
                }
                (
                    ElectionAction::HandBack(lease) | ElectionAction::Leave(lease),
                    CompareAndSwapOutcome::Done(_),
                ) => {
                    self.nodes[node].core.release(lease.shard, now);
                    self.read(node);
                }
                _ => self.read(node),
            }
        }
        let Node {
            core, membership, ..
        } = &self.nodes[node];
        if let Some(left) = membership.unshown(core, now) {
            self.apply(&register_controller(&format!("h{node}"), "north", hold, left));
            self.read(node);
        }
    }

    pub fn acquire(&mut self, node: usize, lease: ShardLease) {
        let prefix = task_chunks_prefix(lease.shard);
        let chunks: Vec<(JobId, u32, TaskChunkRecord, u64)> = self
            .store
            .range(prefix.clone()..)
            .take_while(|(k, _)| k.starts_with(&prefix))
            .map(|(k, e)| {
                let (id, chunk) = parse_task_chunk_key(k).expect("a key");
                (id, chunk, from_value(&e.value).expect("a chunk"), e.version)
            })
            .collect();
        self.read(node);
        let now = self.now;
        let core = &mut self.nodes[node].core;
        if core
            .cache
            .shard_leaders
            .get(&lease.shard)
            .is_some_and(|h| h.fencing_token == lease.token)
        {
            core.acquire(lease, &chunks, Vec::new(), now);
        }
    }

    pub fn pump(&mut self, node: usize) {
        let now = self.now;
        for effect in self.nodes[node].core.pump(now) {
            self.carry(node, effect);
        }
    }

    pub fn holder(&self, node: usize, shard: u16) -> Option<usize> {
        let host = &self.nodes[node].core.cache.shard_leaders.get(&shard)?.host;
        host[1..].parse().ok()
    }

    pub fn carry(&mut self, node: usize, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::CompareAndSwap(lease, cas) => {
                let outcome = self.transact(node, &cas);
                if let CompareAndSwapOutcome::Conflict(keys) = &outcome {
                    for key in keys_to_reread(lease, keys) {
                        let (version, (job, chunk)) =
                            (self.version(key), parse_task_chunk_key(key).expect("a key"));
                        self.nodes[node].core.reread(lease, &job, chunk, version);
                    }
                }
                self.nodes[node].core.cas_done(lease, outcome, now);
            }
            Effect::Note(cas) => drop(self.transact(node, &cas)),
            Effect::Chain(cas) => {
                let outcome = self.transact(node, &cas);
                self.nodes[node].core.chain_done(outcome, now);
            }
            Effect::ReadEnds(ids) => {
                for id in &ids {
                    if let Some(phase) = self.end(id).filter(|_| self.has_store(node)) {
                        let version = self.version(&end_key(id));
                        self.nodes[node].core.cache.record_end(id, phase, version, now);
                    }
                }
                self.nodes[node].core.ends_read(&ids, now);
            }
            Effect::Command(lease, call) => {
                let result = self.command(node, &call);
                self.nodes[node]
                    .core
                    .command_done(lease, &call, result, now);
            }
            Effect::Sync(lease, sync) => self.sync(node, lease, sync),
            Effect::MailSync(sync) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::Sync,
                    from_shard: sync.from_shard,
                    to_shard: sync.to_shard,
                };
                self.mail(node, line, (sync.from_fencing_token, sync.seq), &peer::encode(&sync));
            }
            Effect::MailView(to, view) => {
                let line = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: view.shard,
                    to_shard: to,
                };
                self.mail(node, line, (view.fencing_token, view.seq), &peer::encode(&view));
            }
            Effect::Nudge(shard) => {
                if let Some(to) = self.holder(node, shard).filter(|to| !self.apart(node, *to)) {
                    let from: Vec<u16> = self.nodes[node]
                        .core
                        .held()
                        .iter()
                        .map(|l| l.shard)
                        .collect();
                    from.into_iter()
                        .for_each(|from| self.nodes[to].core.nudged(shard, from));
                }
            }
            Effect::Rent(lease, rental) => {
                self.nodes[node]
                    .core
                    .rented(lease, &rental, ProvisioningResult::NoCapacity, now)
            }
            Effect::Release(lease, machines) => {
                for id in &machines {
                    let n = (0..BOXES).find(|n| machine(*n) == *id).expect("a machine");
                    self.boxes[n].gone = true;
                    self.boxes[n].tasks.clear();
                }
                self.nodes[node].core.released(lease, &machines, true, now);
            }
            Effect::Hail(to, word) => {
                let to = usize::from(to);
                let answer =
                    (!self.apart(node, to)).then(|| self.nodes[to].core.links.hail_in(word, now));
                self.nodes[node]
                    .core
                    .links
                    .hailed(to as u16, answer.is_some(), answer, now);
            }
            Effect::Probe(_) => {}
        }
    }

    pub fn mail(&mut self, node: usize, line: StoreMessageRoute, id: (u64, u64), bytes: &[u8]) {
        let Some(hold) = self.nodes[node].hold else {
            return;
        };
        let cas = post(line, id, bytes, 6_000, hold);
        self.transact(node, &cas);
    }

    pub fn sync(&mut self, node: usize, lease: ShardLease, sync: SyncRequest) {
        let now = self.now;
        let to = self
            .holder(node, sync.to_shard)
            .filter(|to| !self.apart(node, *to));
        let view = match (to, self.trouble(), self.draws.below(3)) {
            (None, ..) | (Some(_), true, 0) => None,
            (Some(to), true, 1) => {
                self.hold_back(Late::Sync(to, Box::new(sync.clone())));
                None
            }
            (Some(to), late, _) => match self.nodes[to].core.sync_in(&sync, now) {
                Ok(view) if late => {
                    // The answer comes late: the line is busy until then.
                    self.hold_back(Late::View(node, lease, Box::new(view)));
                    return;
                }
                Ok(view) => Some(view),
                Err(SyncError::Superseded(by)) => {
                    self.nodes[node].core.superseded(by, now);
                    None
                }
                Err(_) => None,
            },
        };
        self.nodes[node].core.sync_done(lease, sync.to_shard, view, now);
    }

    pub fn command(&mut self, node: usize, call: &CommandCall) -> CommandResult {
        if call
            .through
            .is_some_and(|by| self.apart(node, usize::from(by)))
        {
            return CommandResult::NotSent;
        }
        match (self.trouble(), self.draws.below(3)) {
            (false, _) => self.execute_call(call),
            (true, 0) => CommandResult::NotSent,
            (true, 1) => {
                self.execute_call(call);
                CommandResult::Unknown
            }
            (true, _) => {
                self.hold_back(Late::Call(call.clone()));
                CommandResult::Unknown
            }
        }
    }

    pub fn deliver_late(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.late = later;
        for (_, late) in due {
            match late {
                // An outage may hold it back for longer.
                Late::CompareAndSwap(cas) if self.down() => self
                    .late
                    .push((self.days.down.1, Late::CompareAndSwap(cas))),
                Late::CompareAndSwap(cas) => drop(self.apply(&cas)),
                Late::Call(call) => drop(self.execute_call(&call)),
                Late::Sync(to, sync) => drop(self.nodes[to].core.sync_in(&sync, now)),
                Late::View(node, lease, view) => {
                    let shard = view.shard;
                    self.nodes[node]
                        .core
                        .sync_done(lease, shard, Some(*view), now);
                }
            }
        }
    }

    // ---- machines ----

    pub fn report_of(&mut self, n: usize) -> Heartbeat {
        let b = &mut self.boxes[n];
        b.seq += 1;
        let tasks = b.tasks.iter().map(|(id, (_, cause))| TaskStatus {
            task: id.task_name(),
            attempt: id.attempt,
            phase: if cause.is_some() {
                TaskPhase::Exited
            } else {
                TaskPhase::Running
            },
            exit_cause: cause.map(str::to_owned),
            checkpointed: None,
        });
        Heartbeat {
            incarnation: b.session,
            fencing_token: b.token,
            tasks: tasks.collect(),
            ..report(n, b.seq)
        }
    }

    pub fn execute(&mut self, n: usize, orders: &[Command]) {
        for o in orders {
            let id = AttemptId::parse(&o.task, o.attempt).expect("a task");
            match o.kind {
                CommandKind::Start if self.boxes[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    let same = |b: &Box_| {
                        b.tasks.iter().any(|(i, (_, c))| {
                            (&i.job, i.task) == (&id.job, id.task) && c.is_none()
                        })
                    };
                    assert!(
                        !self.boxes.iter().any(same),
                        "at {}: {id} runs twice; {:?}",
                        self.now,
                        self.days
                    );
                    self.boxes[n].tasks.insert(id.clone(), (self.now, None));
                    self.check_end(&id.job);
                }
                CommandKind::Stop => drop(
                    self.boxes[n]
                        .tasks
                        .get_mut(&id)
                        .map(|(_, c)| c.get_or_insert("stopped")),
                ),
                CommandKind::Forget => drop(self.boxes[n].tasks.remove(&id)),
            }
        }
    }

    pub fn execute_call(&mut self, call: &CommandCall) -> CommandResult {
        let n = (0..BOXES)
            .find(|n| machine(*n) == call.machine)
            .expect("a machine");
        let b = &mut self.boxes[n];
        if b.gone {
            return CommandResult::Unknown;
        }
        if call.commands.fencing_token < b.token || call.commands.incarnation != b.session {
            return CommandResult::Refused(self.report_of(n));
        }
        b.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.report_of(n))
    }

    pub fn hello(&mut self, n: usize) {
        let now = self.now;
        let (at, report) = (self.boxes[n].at, self.report_of(n));
        let lost = self.trouble();
        let answer = match self.nodes[at].core.report(&report, now) {
            HeartbeatAnswer::Carry(to) if !self.apart(at, usize::from(to)) => self.nodes
                [usize::from(to)]
            .core
            .carried_report(&report, at as u16, now),
            answer => answer,
        };
        let b = &mut self.boxes[n];
        match answer {
            HeartbeatAnswer::Orders(reply) if !lost => {
                b.next = now + 3_000;
                if reply.fencing_token >= b.token {
                    (b.token, b.answered) = (reply.fencing_token, now);
                    self.execute(n, &reply.commands);
                }
            }
            HeartbeatAnswer::Elsewhere(host) if !lost => {
                let to: usize = host[1..].parse().expect("a controller");
                b.next = now + if to == at { 1_000 } else { 300 };
                b.at = if to == at { (at + 1) % CORES } else { to };
            }
            _ => (b.at, b.next) = ((at + 1) % CORES, now + 1_000),
        }
    }

    pub fn machines_go_on(&mut self) {
        for n in 0..BOXES {
            let b = &mut self.boxes[n];
            if b.gone {
                continue;
            }
            let now = self.now;
            for (id, (_, cause)) in b
                .tasks
                .iter_mut()
                .filter(|(_, (began, cause))| cause.is_none() && now >= began + self.lasts)
            {
                *cause = Some("done");
                self.done.insert((id.job.clone(), id.task));
            }
            if self.now > b.answered + TIMING.lease_ms {
                (b.session, b.answered) = (b.session + 1, self.now);
                b.tasks.clear();
            }
            if self.now >= b.next {
                self.hello(n);
            }
        }
    }

    // ---- users ----

    pub fn submit(&mut self, n: u32) -> JobId {
        let team = TEAMS[n as usize % TEAMS.len()];
        let spec = JobSpec {
            id: JobId::from(format!("req-{n:06}").as_str()),
            team: team.into(),
            ..array(TASKS)
        };
        let id = spec.id.clone();
        self.apply(&create_job(&JobRecord {
            spec,
            submitted_at_ms: 1_000_000 + self.now,
            cancel_requested: false,
            dependency_count: 0,
        }));
        id
    }

    /// A user withdraws a job from then on, asking again each second.
    pub fn withdraws(&mut self, job: &JobId, asks: u64) {
        self.users.push(User {
            job: job.clone(),
            asks,
            next: asks,
            at: 1,
            told: None,
            stopped: None,
        });
    }

    pub fn users_ask(&mut self) {
        for u in 0..self.users.len() {
            let (now, id) = (self.now, self.users[u].job.clone());
            if now >= self.users[u].asks && !self.boxes.iter().any(|b| b.runs(&id)) {
                self.users[u].stopped.get_or_insert(now);
            }
            if self.users[u].told.is_some() || now < self.users[u].next {
                continue;
            }
            self.users[u].next = now + 1_000;
            // The load balancer leaves out who can take no requests.
            let at = (1..=CORES)
                .map(|k| (self.users[u].at + k) % CORES)
                .find(|n| self.nodes[*n].core.ready(now))
                .unwrap_or(1);
            self.users[u].at = at;
            if !self.has_store(at) {
                continue;
            }
            let core = &self.nodes[at].core;
            if let Answer::Over(phase) = core.answer(&id, now) {
                assert_eq!(
                    Some(phase),
                    self.end(&id),
                    "at {now}: {id} ended otherwise; {:?}",
                    self.days
                );
                self.users[u].told = Some((now, phase));
                self.check_end(&id);
                continue;
            }
            let Some(job) = core.cache.jobs.get(&id).cloned() else {
                // Nobody here knows it: the end is read.
                if let Some(phase) = self.end(&id) {
                    self.nodes[at].core.cache.record_end(&id, phase, 1, now);
                }
                continue;
            };
            if !job.record.cancel_requested {
                self.transact(at, &request_cancellation(&job.record, job.version));
            }
        }
    }

    /// 100 ms in which everything has its turn.
    pub fn step(&mut self) {
        self.now += 100;
        let now = self.now;
        self.holds_end();
        self.deliver_late();
        if self.days.ends.1 == now {
            self.nodes[self.days.ends.0] = process(self.days.ends.0, now);
        }
        for node in 0..CORES {
            self.nodes[node].core.set_clock(now, 1_000_000 + now);
            self.read(node);
            if (now / 100) as usize % 4 == node {
                self.keep(node);
            }
            self.pump(node);
        }
        self.machines_go_on();
        if now.is_multiple_of(4_000) {
            let entry = |n| InstanceEntry {
                id: machine(n),
                machine_type: "box".into(),
                zone: "north".into(),
                spot: false,
                phase: "running".into(),
                age_s: 500.0,
            };
            let list: Vec<InstanceEntry> = (0..BOXES)
                .filter(|n| !self.boxes[*n].gone)
                .map(entry)
                .collect();
            self.nodes
                .iter_mut()
                .for_each(|node| node.core.listed(&list, now));
        }
        self.users_ask();
    }

    pub fn until(&mut self, ms: u64) {
        while self.now < ms {
            self.step();
        }
    }

    /// Jobs of all teams that run everywhere, whose users withdraw them one after
    /// the other from then on.
    pub fn with_jobs(mut self, from: u64, every: u64) -> Self {
        self.until(12_000);
        let jobs: Vec<JobId> = (0..9).map(|n| self.submit(10 + n)).collect();
        self.until(20_000);
        let running = self.boxes.iter().flat_map(|b| &b.tasks).count();
        assert_eq!(running, 27, "all run");
        for (n, job) in jobs.iter().enumerate() {
            self.withdraws(job, from + n as u64 * every);
        }
        self
    }
}
