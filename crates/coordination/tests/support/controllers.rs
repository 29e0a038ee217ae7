//! A simulated cluster: complete controllers with a store, machines and users that follow the
//! protocol page, and a schedule of faults. Each start and each recorded end checks that no task
//! of a withdrawn job is on a machine, that all tasks of a done job completed, and that no task
//! runs twice.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::owner::{CommandCall, CommandResult, SyncError};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::{
    Config, Core, Effect, HeartbeatAnswer, HeartbeatId, ProvisioningResult, ShardLease,
    keys_to_reread,
};
use lemonweir_model::constants::{STORE_LEASE_TTL_MS, WORKER_RESPONSE_TIMEOUT_MS, WORKER_RETRY_MS};
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

pub const CONTROLLERS: usize = 3;
pub const MACHINES: usize = 15;
/// Tasks of each job.
pub const TASKS: u64 = 3;
/// Teams, each assigned to the placer of another shard.
pub const TEAMS: [&str; 3] = ["amber", "blue", "red"];
/// How long a user waits for the end of a cancelled job.
pub const CANCEL_ANSWER_TIMEOUT_MS: u64 = 60_000;

/// Deterministic xorshift generator.
pub struct RandomSource(pub u64);

impl RandomSource {
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

/// The configuration of a controller that holds no answers to heartbeats.
pub fn answering_at_once(mut config: Config) -> Config {
    config.sockets.held_answers = 0;
    config
}

/// A heartbeat whose answer a controller holds.
pub struct HeldHeartbeat {
    pub id: HeartbeatId,
    /// The answer will not reach the machine.
    pub lost: bool,
}

/// A machine that follows the protocol page: fencing tokens, sessions and a lease.
pub struct SimulatedMachine {
    /// The controller that it sends its heartbeats to.
    pub controller: usize,
    pub next_heartbeat_at: u64,
    /// Rises each time its lease expires.
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub last_answer_at: u64,
    pub held: Option<HeldHeartbeat>,
    /// Start time of each attempt, and its exit cause if it has exited.
    pub tasks: BTreeMap<AttemptId, (u64, Option<&'static str>)>,
    pub released: bool,
    /// No message reaches it, and none of its own arrives.
    pub unreachable: bool,
}

impl SimulatedMachine {
    pub fn runs(&self, job: &JobId) -> bool {
        self.tasks
            .iter()
            .any(|(id, (_, cause))| id.job == *job && cause.is_none())
    }
}

/// A controller core with the election and store lease state of its process.
pub struct SimulatedController {
    pub core: Core,
    pub election: LeaderElection,
    pub store_lease: Option<u64>,
    pub lease_renewed_at: u64,
}

/// A message whose delivery is delayed.
pub enum DelayedMessage {
    CompareAndSwap(CompareAndSwap),
    Call(CommandCall),
    Sync(usize, Box<SyncRequest>),
    View(usize, ShardLease, Box<ShardView>),
}

/// Faults with the start and end of each, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultSchedule {
    /// Controller 0 gets no answer from the store directly.
    pub store_unreachable: (u64, u64),
    /// Controller 0 is partitioned from the others.
    pub partitioned: (u64, u64),
    /// The store is down for all controllers.
    pub store_down: (u64, u64),
    /// A controller, and when it restarts, ms; 0: never.
    pub restarts: (usize, u64),
    /// One in this many messages is lost, delayed or of unknown outcome; 0: none.
    pub one_fault_in: u64,
}

pub struct SimulatedUser {
    pub job: JobId,
    pub cancelled_at: u64,
    pub next_request_at: u64,
    pub controller: usize,
    /// When the user was told of the end, and which end.
    pub answer: Option<(u64, JobPhase)>,
    /// When no task of the job ran on a machine any more.
    pub stopped_at: Option<u64>,
}

pub struct SimulatedCluster {
    pub now: u64,
    pub faults: FaultSchedule,
    pub random: RandomSource,
    pub revision: u64,
    pub store: BTreeMap<String, KeyValue>,
    pub changes: Vec<WatchEvent>,
    /// Expiry of each store lease, ms.
    pub leases: BTreeMap<u64, u64>,
    /// Lease that each leased key is attached to.
    pub leased_keys: BTreeMap<String, u64>,
    pub nodes: Vec<SimulatedController>,
    pub machines: Vec<SimulatedMachine>,
    pub delayed: Vec<(u64, DelayedMessage)>,
    pub users: Vec<SimulatedUser>,
    /// Run time of a task, ms.
    pub task_ms: u64,
    pub completed_tasks: BTreeSet<(JobId, u32)>,
    /// Until when each controller's process is down, ms.
    pub down_until: [u64; CONTROLLERS],
}

pub fn within(span: (u64, u64), now: u64) -> bool {
    (span.0..span.1).contains(&now)
}

/// The core of a controller that has read the catalog, and answers every heartbeat at once.
pub fn core_with_catalog(me: usize) -> Core {
    let mut core = Core::new(
        answering_at_once(Config::new(&settings(me))),
        lemonweir_policy::embedded().expect("policy"),
    );
    core.set_catalog(
        [(machine_type().name, machine_type())]
            .into_iter()
            .collect(),
    );
    core
}

pub fn settings(me: usize) -> Settings {
    let seed = |n: usize| serde_json::json!({"host_name": format!("h{n}"), "zone": "north", "address": format!("10.0.0.{n}:8081")});
    let team = |name| serde_json::json!({"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0});
    let value = serde_json::json!({
        "host_name": format!("h{me}"), "zone": "north", "listen": "10.0.0.1:8080", "internal_addr": format!("10.0.0.{me}:8081"),
        "seeds": (0..CONTROLLERS).filter(|n| *n != me).map(seed).collect::<Vec<_>>(),
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "nodes": CONTROLLERS, "zones": ["north"],
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

/// Starts a controller with an empty state cache.
pub fn start_controller(me: usize, now: u64) -> SimulatedController {
    // Prevents scale-in: no idle machine is released.
    let policy = Policy {
        on_demand_idle_multiple: 1e6,
        spot_idle_multiple: 1e6,
        ..lemonweir_policy::embedded().expect("policy")
    };
    let mut core = Core::new(Config::new(&settings(me)), policy);
    core.set_catalog(
        [(machine_type().name, machine_type())]
            .into_iter()
            .collect(),
    );
    core.set_wall_clock(now, 1_000_000 + now);
    SimulatedController {
        core,
        election: LeaderElection::new(CONTROLLERS),
        store_lease: None,
        lease_renewed_at: 0,
    }
}

impl SimulatedCluster {
    pub fn new(seed: u64, faults: FaultSchedule) -> Self {
        let new_machine = |n| SimulatedMachine {
            controller: n % CONTROLLERS,
            next_heartbeat_at: 1_000 + n as u64 * 331,
            session: 1,
            seq: 0,
            token: 0,
            last_answer_at: 100,
            held: None,
            tasks: BTreeMap::new(),
            released: false,
            unreachable: false,
        };
        Self {
            now: 0,
            faults,
            random: RandomSource(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            revision: 40,
            store: BTreeMap::new(),
            changes: Vec::new(),
            leases: BTreeMap::new(),
            leased_keys: BTreeMap::new(),
            nodes: (0..CONTROLLERS).map(|me| start_controller(me, 0)).collect(),
            machines: (0..MACHINES).map(new_machine).collect(),
            delayed: Vec::new(),
            users: Vec::new(),
            task_ms: u64::MAX / 2,
            completed_tasks: BTreeSet::new(),
            down_until: [0; CONTROLLERS],
        }
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.now >= self.down_until[node]
    }

    /// Ends a controller's process; a new one starts after `down_ms`.
    pub fn end_controller(&mut self, node: usize, down_ms: u64) {
        self.down_until[node] = self.now + down_ms;
        self.nodes[node] = start_controller(node, self.now + down_ms);
    }

    pub fn draw_message_fault(&mut self) -> bool {
        let n = self.faults.one_fault_in;
        self.now > 20_000 && self.random.one_in(n)
    }

    pub fn delay(&mut self, delayed: DelayedMessage) {
        let at = self.now + 2_000 + self.random.below(10_000);
        self.delayed.push((at, delayed));
    }

    // ---- links ----

    pub fn partitioned(&self, a: usize, b: usize) -> bool {
        let cut = (a == 0 || b == 0) && within(self.faults.partitioned, self.now);
        a != b && (cut || !self.is_up(a) || !self.is_up(b))
    }

    pub fn store_down(&self) -> bool {
        within(self.faults.store_down, self.now)
    }

    pub fn store_unreachable(&self, node: usize) -> bool {
        node == 0 && within(self.faults.store_unreachable, self.now)
    }

    /// Whether a controller reaches the store, directly or through another controller.
    pub fn reaches_store(&self, node: usize) -> bool {
        !self.store_down()
            && self.is_up(node)
            && (0..CONTROLLERS)
                .any(|relay| !self.store_unreachable(relay) && !self.partitioned(node, relay))
    }

    // ---- the store ----

    pub fn version(&self, key: &str) -> u64 {
        self.store.get(key).map_or(0, |e| e.version)
    }

    pub fn put(&mut self, key: &str, value: rmpv::Value) {
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

    pub fn delete(&mut self, key: &str) {
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
        let has_live_lease = |w: &Write| !matches!(w, Write::Put { lease: Some(h), .. } if !self.leases.contains_key(h));
        if !cas.writes.iter().all(has_live_lease) {
            return CompareAndSwapOutcome::Indeterminate;
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
                Write::Put {
                    key,
                    value,
                    lease: lease_id,
                } => {
                    self.put(key, value.clone());
                    match lease_id {
                        Some(id) => drop(self.leased_keys.insert(key.clone(), *id)),
                        None => drop(self.leased_keys.remove(key)),
                    }
                    if let Some(id) = key.strip_prefix("end/") {
                        self.check_end(&JobId::from(id));
                    }
                }
                Write::Delete { key } => self.delete(key),
            }
        }
        CompareAndSwapOutcome::Committed(self.revision)
    }

    /// Sends a compare-and-swap of a controller: it may be lost, delayed, or committed without an
    /// answer.
    pub fn send_cas(&mut self, node: usize, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        if !self.reaches_store(node) {
            return CompareAndSwapOutcome::Indeterminate;
        }
        match (self.draw_message_fault(), self.random.below(3)) {
            (false, _) => self.apply(cas),
            (true, 0) => CompareAndSwapOutcome::Indeterminate,
            (true, 1) => {
                self.apply(cas);
                CompareAndSwapOutcome::Indeterminate
            }
            (true, _) => {
                self.delay(DelayedMessage::CompareAndSwap(cas.clone()));
                CompareAndSwapOutcome::Indeterminate
            }
        }
    }

    pub fn expire_leases(&mut self) {
        if self.store_down() {
            // After an outage all leases get their full TTL again.
            let full = self.now + STORE_LEASE_TTL_MS;
            self.leases.values_mut().for_each(|end| *end = full);
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, end)| self.now > **end)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> = self
                .leased_keys
                .iter()
                .filter(|(_, h)| **h == id)
                .map(|(k, _)| k.clone())
                .collect();
            self.revision += 1;
            for key in keys {
                self.leased_keys.remove(&key);
                self.delete(&key);
            }
        }
    }

    pub fn recorded_end(&self, id: &JobId) -> Option<JobPhase> {
        Some(from_value::<JobEndRecord>(&self.store.get(&end_key(id))?.value)?.phase)
    }

    /// Checks a recorded end: no task of a withdrawn job runs on a machine, and all tasks of a done
    /// job have completed.
    pub fn check_end(&self, id: &JobId) {
        match self.recorded_end(id) {
            Some(JobPhase::Withdrawn) => {
                for (n, m) in self.machines.iter().enumerate() {
                    assert!(
                        !m.runs(id),
                        "at {}: {id} is recorded as withdrawn but runs on machine {n}; {:?}",
                        self.now,
                        self.faults
                    );
                }
            }
            Some(JobPhase::Done) => {
                let done = self
                    .completed_tasks
                    .iter()
                    .filter(|(job, _)| job == id)
                    .count();
                assert_eq!(
                    done, TASKS as usize,
                    "at {}: {id} is recorded as done before all its tasks completed; {:?}",
                    self.now, self.faults
                );
            }
            _ => {}
        }
    }

    // ---- controllers ----

    pub fn refresh_cache(&mut self, node: usize) {
        if !self.reaches_store(node) {
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
                let is_new = |c: &&WatchEvent| {
                    c.version > after
                        && c.set
                            .as_ref()
                            .or(c.drop.as_ref())
                            .is_some_and(|k| k.starts_with("w/"))
                };
                let changes: Vec<WatchEvent> =
                    self.changes.iter().filter(is_new).cloned().collect();
                core.cache.apply_changes(&changes, revision, now);
                !changes.is_empty()
            }
        };
        core.cache_refreshed(now, changed);
        for effect in core.handle_store_messages(now) {
            self.apply_effect(node, effect);
        }
    }

    pub fn maintain_leadership(&mut self, node: usize) {
        if !self.reaches_store(node) || self.nodes[node].core.cache.revision.is_none() {
            return;
        }
        let now = self.now;
        let store_lease = match self.nodes[node]
            .store_lease
            .filter(|h| self.leases.contains_key(h))
        {
            Some(store_lease) => store_lease,
            None => {
                self.revision += 1;
                let store_lease = self.revision;
                self.nodes[node].lease_renewed_at = 0;
                store_lease
            }
        };
        self.nodes[node].store_lease = Some(store_lease);
        if now >= self.nodes[node].lease_renewed_at + 1_000 {
            self.nodes[node].lease_renewed_at = now;
            self.leases.insert(store_lease, now + STORE_LEASE_TTL_MS);
        }
        let teams = self.nodes[node].core.unassigned_teams();
        if !teams.is_empty() {
            self.apply(&assign_teams(&teams));
            self.refresh_cache(node);
        }
        for shard in 0..CONTROLLERS as u16 {
            let SimulatedController { core, election, .. } = &mut self.nodes[node];
            let Some(action) = election.next_action(core, shard, now) else {
                continue;
            };
            let ceded = election.ceded(core, now);
            let cas = core.election_cas(&action, store_lease, ceded, now);
            match (action, self.apply(&cas)) {
                (
                    ElectionAction::Acquire { shard, .. },
                    CompareAndSwapOutcome::Committed(token),
                ) => self.acquire(node, ShardLease { shard, token }),
                (
                    ElectionAction::ReturnToHome(lease) | ElectionAction::Cede(lease),
                    CompareAndSwapOutcome::Committed(_),
                ) => {
                    self.nodes[node].core.release(lease.shard, now);
                    self.refresh_cache(node);
                }
                _ => self.refresh_cache(node),
            }
        }
        let SimulatedController { core, election, .. } = &self.nodes[node];
        if let Some(ceded) = election.unpublished_ceded(core, now) {
            self.apply(&register_controller(
                &format!("h{node}"),
                "north",
                store_lease,
                ceded,
            ));
            self.refresh_cache(node);
        }
    }

    pub fn acquire(&mut self, node: usize, lease: ShardLease) {
        let prefix = task_chunks_prefix(lease.shard);
        let chunks: Vec<(JobId, u32, TaskChunkRecord, u64)> = self
            .store
            .range(prefix.clone()..)
            .take_while(|(k, _)| k.starts_with(&prefix))
            .map(|(k, e)| {
                let (id, chunk) = parse_task_chunk_key(k).expect("a task chunk key");
                (
                    id,
                    chunk,
                    from_value(&e.value).expect("a task chunk record"),
                    e.version,
                )
            })
            .collect();
        self.refresh_cache(node);
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

    pub fn flush(&mut self, node: usize) {
        let now = self.now;
        for effect in self.nodes[node].core.flush(now) {
            self.apply_effect(node, effect);
        }
    }

    pub fn leader_of(&self, node: usize, shard: u16) -> Option<usize> {
        let host = &self.nodes[node].core.cache.shard_leaders.get(&shard)?.host;
        host[1..].parse().ok()
    }

    pub fn apply_effect(&mut self, node: usize, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::CompareAndSwap(lease, cas) => {
                let outcome = self.send_cas(node, &cas);
                if let CompareAndSwapOutcome::Conflict(keys) = &outcome {
                    for key in keys_to_reread(lease, keys) {
                        let (version, (job, chunk)) = (
                            self.version(key),
                            parse_task_chunk_key(key).expect("a task chunk key"),
                        );
                        self.nodes[node]
                            .core
                            .chunk_reread(lease, &job, chunk, version);
                    }
                }
                self.nodes[node].core.cas_completed(lease, outcome, now);
            }
            Effect::WriteHint(cas) => drop(self.send_cas(node, &cas)),
            Effect::DependencyCompareAndSwap(cas) => {
                let outcome = self.send_cas(node, &cas);
                self.nodes[node].core.dependency_cas_completed(outcome, now);
            }
            Effect::ReadFinalStates(ids) => {
                for id in &ids {
                    if let Some(phase) = self.recorded_end(id).filter(|_| self.reaches_store(node))
                    {
                        let version = self.version(&end_key(id));
                        self.nodes[node]
                            .core
                            .cache
                            .record_end(id, phase, version, now);
                    }
                }
                self.nodes[node].core.final_states_read(&ids, now);
            }
            Effect::AnswerHeartbeat(id, answer) => {
                let awaits = |m: &SimulatedMachine| m.held.as_ref().is_some_and(|h| h.id == id);
                if let Some(n) = self.machines.iter().position(awaits) {
                    let lost = self.machines[n].held.take().is_some_and(|held| held.lost);
                    self.receive_answer(n, node, answer, lost);
                }
            }
            Effect::Command(lease, call) => {
                let result = self.command(node, &call);
                self.nodes[node]
                    .core
                    .command_completed(lease, &call, result, now);
            }
            Effect::Sync(lease, sync) => self.sync(node, lease, sync),
            Effect::StoreSync(sync) => {
                let route = StoreMessageRoute {
                    kind: StoreMessageKind::Sync,
                    from_shard: sync.from_shard,
                    to_shard: sync.to_shard,
                };
                self.post_store_message(
                    node,
                    route,
                    (sync.from_fencing_token, sync.seq),
                    &peer::encode(&sync),
                );
            }
            Effect::StoreView(to, view) => {
                let route = StoreMessageRoute {
                    kind: StoreMessageKind::View,
                    from_shard: view.shard,
                    to_shard: to,
                };
                self.post_store_message(
                    node,
                    route,
                    (view.fencing_token, view.seq),
                    &peer::encode(&view),
                );
            }
            Effect::WakePeer(shard) => {
                if let Some(to) = self
                    .leader_of(node, shard)
                    .filter(|to| !self.partitioned(node, *to))
                {
                    let from: Vec<u16> = self.nodes[node]
                        .core
                        .leases()
                        .iter()
                        .map(|l| l.shard)
                        .collect();
                    from.into_iter()
                        .for_each(|from| self.nodes[to].core.handle_wake(shard, from));
                }
            }
            Effect::Provision(lease, request) => self.nodes[node].core.provisioning_completed(
                lease,
                &request,
                ProvisioningResult::NoCapacity,
                now,
            ),
            Effect::ReleaseInstances(lease, machines) => {
                for id in &machines {
                    let n = (0..MACHINES)
                        .find(|n| machine_id(*n) == *id)
                        .expect("a known machine");
                    self.machines[n].released = true;
                    self.machines[n].tasks.clear();
                }
                self.nodes[node]
                    .core
                    .instances_released(lease, &machines, true, now);
            }
            Effect::SendGossip(to, gossip) => {
                let to = usize::from(to);
                let answer = (!self.partitioned(node, to))
                    .then(|| self.nodes[to].core.links.handle_gossip(gossip, now));
                self.nodes[node].core.links.gossip_completed(
                    to as u16,
                    answer.is_some(),
                    answer,
                    now,
                );
            }
            Effect::PullProgress(to, query) => {
                let to = usize::from(to);
                let page = (!self.partitioned(node, to))
                    .then(|| self.nodes[to].core.handle_progress_query(&query, now))
                    .flatten();
                self.nodes[node]
                    .core
                    .progress_pulled(&query, page, now, now);
            }
            Effect::StoreProgress(message) => {
                self.post_store_message(node, message.route, message.id, &message.bytes);
            }
            Effect::ProbeService(_) => {}
        }
    }

    pub fn post_store_message(
        &mut self,
        node: usize,
        route: StoreMessageRoute,
        id: (u64, u64),
        bytes: &[u8],
    ) {
        let Some(store_lease) = self.nodes[node].store_lease else {
            return;
        };
        let cas = write_store_message(route, id, bytes, 6_000, store_lease);
        self.send_cas(node, &cas);
    }

    pub fn sync(&mut self, node: usize, lease: ShardLease, sync: SyncRequest) {
        let now = self.now;
        let to = self
            .leader_of(node, sync.to_shard)
            .filter(|to| !self.partitioned(node, *to));
        let view = match (to, self.draw_message_fault(), self.random.below(3)) {
            (None, ..) | (Some(_), true, 0) => None,
            (Some(to), true, 1) => {
                self.delay(DelayedMessage::Sync(to, Box::new(sync.clone())));
                None
            }
            (Some(to), delayed, _) => match self.nodes[to].core.handle_sync(&sync, now) {
                Ok(view) if delayed => {
                    // The channel is busy until the delayed answer arrives.
                    self.delay(DelayedMessage::View(node, lease, Box::new(view)));
                    return;
                }
                Ok(view) => Some(view),
                Err(SyncError::Superseded(by)) => {
                    self.nodes[node].core.handle_superseded(by, now);
                    None
                }
                Err(_) => None,
            },
        };
        self.nodes[node]
            .core
            .sync_completed(lease, sync.to_shard, view, now);
    }

    pub fn command(&mut self, node: usize, call: &CommandCall) -> CommandResult {
        if call
            .relayed_by
            .is_some_and(|relay| self.partitioned(node, usize::from(relay)))
        {
            return CommandResult::NotSent;
        }
        match (self.draw_message_fault(), self.random.below(3)) {
            (false, _) => self.execute_call(call),
            (true, 0) => CommandResult::NotSent,
            (true, 1) => {
                self.execute_call(call);
                CommandResult::Unknown
            }
            (true, _) => {
                self.delay(DelayedMessage::Call(call.clone()));
                CommandResult::Unknown
            }
        }
    }

    pub fn deliver_delayed(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| now >= *at);
        self.delayed = later;
        for (_, delayed) in due {
            match delayed {
                // During an outage a compare-and-swap waits until the store is back.
                DelayedMessage::CompareAndSwap(cas) if self.store_down() => self.delayed.push((
                    self.faults.store_down.1,
                    DelayedMessage::CompareAndSwap(cas),
                )),
                DelayedMessage::CompareAndSwap(cas) => drop(self.apply(&cas)),
                DelayedMessage::Call(call) => drop(self.execute_call(&call)),
                DelayedMessage::Sync(to, sync) => drop(self.nodes[to].core.handle_sync(&sync, now)),
                DelayedMessage::View(node, lease, view) => {
                    let shard = view.shard;
                    self.nodes[node]
                        .core
                        .sync_completed(lease, shard, Some(*view), now);
                }
            }
        }
    }

    // ---- machines ----

    pub fn heartbeat_of(&mut self, n: usize) -> Heartbeat {
        let m = &mut self.machines[n];
        m.seq += 1;
        let tasks = m.tasks.iter().map(|(id, (_, cause))| TaskStatus {
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
            incarnation: m.session,
            fencing_token: m.token,
            tasks: tasks.collect(),
            ..heartbeat(n, m.seq)
        }
    }

    pub fn execute(&mut self, n: usize, commands: &[Command]) {
        for command in commands {
            let id = AttemptId::parse(&command.task, command.attempt).expect("a task name");
            match command.kind {
                CommandKind::Start if self.machines[n].tasks.contains_key(&id) => {}
                CommandKind::Start => {
                    let runs_same_task = |m: &SimulatedMachine| {
                        m.tasks.iter().any(|(i, (_, c))| {
                            (&i.job, i.task) == (&id.job, id.task) && c.is_none()
                        })
                    };
                    assert!(
                        !self.machines.iter().any(runs_same_task),
                        "at {}: {id} is started while its task runs; {:?}",
                        self.now,
                        self.faults
                    );
                    self.machines[n].tasks.insert(id.clone(), (self.now, None));
                    self.check_end(&id.job);
                }
                CommandKind::Stop => drop(
                    self.machines[n]
                        .tasks
                        .get_mut(&id)
                        .map(|(_, c)| c.get_or_insert("stopped")),
                ),
                CommandKind::Forget => drop(self.machines[n].tasks.remove(&id)),
            }
        }
    }

    pub fn execute_call(&mut self, call: &CommandCall) -> CommandResult {
        let n = (0..MACHINES)
            .find(|n| machine_id(*n) == call.machine)
            .expect("a known machine");
        let m = &mut self.machines[n];
        if m.released || m.unreachable {
            return CommandResult::Unknown;
        }
        if call.commands.fencing_token < m.token || call.commands.incarnation != m.session {
            return CommandResult::Refused(self.heartbeat_of(n));
        }
        m.token = call.commands.fencing_token;
        self.execute(n, &call.commands.commands);
        CommandResult::Executed(self.heartbeat_of(n))
    }

    pub fn send_heartbeat(&mut self, n: usize) {
        let now = self.now;
        if self.machines[n].held.take().is_some() {
            // The machine gave up waiting for the answer, and tries the next controller.
            self.machines[n].controller = (self.machines[n].controller + 1) % CONTROLLERS;
        }
        let node = self.machines[n].controller;
        if self.machines[n].unreachable || !self.is_up(node) {
            self.machines[n].next_heartbeat_at = now + WORKER_RETRY_MS;
            self.machines[n].controller = (node + 1) % CONTROLLERS;
            return;
        }
        let report = self.heartbeat_of(n);
        let lost = self.draw_message_fault();
        let answer = match self.nodes[node].core.handle_heartbeat(&report, now) {
            HeartbeatAnswer::Relay(to) if !self.partitioned(node, usize::from(to)) => self.nodes
                [usize::from(to)]
            .core
            .handle_relayed_heartbeat(&report, node as u16, now),
            HeartbeatAnswer::Held => {
                let id = HeartbeatId::of(&report);
                let m = &mut self.machines[n];
                m.held = Some(HeldHeartbeat { id, lost });
                m.next_heartbeat_at = now + WORKER_RESPONSE_TIMEOUT_MS + WORKER_RETRY_MS;
                return;
            }
            answer => answer,
        };
        self.receive_answer(n, node, answer, lost);
    }

    fn receive_answer(&mut self, n: usize, node: usize, answer: HeartbeatAnswer, lost: bool) {
        let now = self.now;
        let m = &mut self.machines[n];
        match answer {
            HeartbeatAnswer::Commands(reply) if !lost => {
                m.next_heartbeat_at = now + 3_000;
                if reply.fencing_token >= m.token {
                    (m.token, m.last_answer_at) = (reply.fencing_token, now);
                    self.execute(n, &reply.commands);
                }
            }
            HeartbeatAnswer::Redirect(host) if !lost => {
                let to: usize = host[1..].parse().expect("a controller host name");
                m.next_heartbeat_at = now + if to == node { 1_000 } else { 300 };
                m.controller = if to == node {
                    (node + 1) % CONTROLLERS
                } else {
                    to
                };
            }
            _ => (m.controller, m.next_heartbeat_at) = ((node + 1) % CONTROLLERS, now + 1_000),
        }
    }

    pub fn step_machines(&mut self) {
        for n in 0..MACHINES {
            let m = &mut self.machines[n];
            if m.released {
                continue;
            }
            let now = self.now;
            for (id, (_, cause)) in m
                .tasks
                .iter_mut()
                .filter(|(_, (began, cause))| cause.is_none() && now >= began + self.task_ms)
            {
                *cause = Some("done");
                self.completed_tasks.insert((id.job.clone(), id.task));
            }
            if self.now > m.last_answer_at + TIMING.lease_ms {
                (m.session, m.last_answer_at) = (m.session + 1, self.now);
                m.tasks.clear();
            }
            if self.now >= m.next_heartbeat_at {
                self.send_heartbeat(n);
            }
        }
    }

    // ---- users ----

    pub fn submit(&mut self, n: u32) -> JobId {
        let team = TEAMS[n as usize % TEAMS.len()];
        let spec = JobSpec {
            id: JobId::from(format!("req-{n:06}").as_str()),
            team: team.into(),
            ..array_job(TASKS)
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

    /// A user cancels a job at `cancelled_at`, and repeats the request each second until answered.
    pub fn cancel_at(&mut self, job: &JobId, cancelled_at: u64) {
        self.users.push(SimulatedUser {
            job: job.clone(),
            cancelled_at,
            next_request_at: cancelled_at,
            controller: 1,
            answer: None,
            stopped_at: None,
        });
    }

    pub fn poll_users(&mut self) {
        for u in 0..self.users.len() {
            let (now, id) = (self.now, self.users[u].job.clone());
            if now >= self.users[u].cancelled_at && !self.machines.iter().any(|m| m.runs(&id)) {
                self.users[u].stopped_at.get_or_insert(now);
            }
            if self.users[u].answer.is_some() || now < self.users[u].next_request_at {
                continue;
            }
            self.users[u].next_request_at = now + 1_000;
            // The load balancer skips controllers that are not ready.
            let controller = (1..=CONTROLLERS)
                .map(|k| (self.users[u].controller + k) % CONTROLLERS)
                .find(|n| self.nodes[*n].core.ready(now))
                .unwrap_or(1);
            self.users[u].controller = controller;
            if !self.reaches_store(controller) {
                continue;
            }
            let core = &self.nodes[controller].core;
            if let JobStatusAnswer::Finished(phase) = core.job_status(&id, now) {
                assert_eq!(
                    Some(phase),
                    self.recorded_end(&id),
                    "at {now}: {id} is reported with another end than recorded; {:?}",
                    self.faults
                );
                self.users[u].answer = Some((now, phase));
                self.check_end(&id);
                continue;
            }
            let Some(job) = core.cache.jobs.get(&id).cloned() else {
                // This controller does not know the job, so its end is read from the store.
                if let Some(phase) = self.recorded_end(&id) {
                    self.nodes[controller]
                        .core
                        .cache
                        .record_end(&id, phase, 1, now);
                }
                continue;
            };
            if !job.record.cancel_requested {
                self.send_cas(controller, &request_cancellation(&job.record, job.version));
            }
        }
    }

    /// Advances the time by 100 ms and steps every part of the cluster once.
    pub fn step(&mut self) {
        self.now += 100;
        let now = self.now;
        self.expire_leases();
        self.deliver_delayed();
        if self.faults.restarts.1 == now {
            self.nodes[self.faults.restarts.0] = start_controller(self.faults.restarts.0, now);
        }
        for node in (0..CONTROLLERS)
            .filter(|node| now >= self.down_until[*node])
            .collect::<Vec<_>>()
        {
            self.nodes[node].core.set_wall_clock(now, 1_000_000 + now);
            self.refresh_cache(node);
            if (now / 100) as usize % 4 == node {
                self.maintain_leadership(node);
            }
            self.flush(node);
        }
        self.step_machines();
        if now.is_multiple_of(4_000) {
            let entry = |n| InstanceEntry {
                id: machine_id(n),
                machine_type: "box".into(),
                zone: "north".into(),
                spot: false,
                phase: "running".into(),
                age_s: 500.0,
            };
            let list: Vec<InstanceEntry> = (0..MACHINES)
                .filter(|n| !self.machines[*n].released)
                .map(entry)
                .collect();
            self.nodes
                .iter_mut()
                .for_each(|node| node.core.instances_listed(&list, now));
        }
        self.poll_users();
    }

    pub fn run_until(&mut self, ms: u64) {
        while self.now < ms {
            self.step();
        }
    }

    /// Runs nine jobs across all teams; their users cancel them `interval_ms` apart, the first at
    /// `first_at`.
    pub fn with_running_jobs(mut self, first_at: u64, interval_ms: u64) -> Self {
        self.run_until(12_000);
        let jobs: Vec<JobId> = (0..9).map(|n| self.submit(10 + n)).collect();
        self.run_until(20_000);
        let running = self.machines.iter().flat_map(|m| &m.tasks).count();
        assert_eq!(running, 27, "all tasks run");
        for (n, job) in jobs.iter().enumerate() {
            self.cancel_at(job, first_at + n as u64 * interval_ms);
        }
        self
    }
}
