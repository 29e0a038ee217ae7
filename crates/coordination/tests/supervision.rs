//! Supervision: the failover log against a plain model of the store in random histories
//! (stale reads, lost answers, delayed compare-and-swaps, processes that end), and services
//! under supervision against their whole histories.

#[path = "support/cluster.rs"]
mod cluster;

use std::collections::{BTreeMap, BTreeSet};

use cluster::{HOSTS, core};
use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::supervision::failover::{COMPLETION_RETRY_MS, COMPLETION_TIMEOUT_MS};
use lemonweir_coordination::supervision::services::{
    EscalationStep, RECOVERY_ATTEMPTS_KEPT, RecoveryActivity, RecoveryAttempt, ServiceObservation,
    SupervisedServices,
};
use lemonweir_coordination::{Core, Effect, ShardLease};
use lemonweir_model::JobId;
use lemonweir_model::constants::FAILOVER_RECORDS_KEPT;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, KeyValue, WatchEvent, Write, from_value, to_value,
};
use lemonweir_storage::StateCache;
use lemonweir_storage::failovers::{
    FailoverCompletion, FailoverRecord, LeadershipChange, failover_key, parse_failover_key,
};
use lemonweir_storage::records::{ShardRecord, register_controller, shard_key};
use rmpv::Value;

// ---- the model of the store -----------------------------------------------------------

/// Whether a compare-and-swap that is sent reaches the store, and its answer the sender.
#[derive(Clone, Copy, PartialEq)]
enum Delivery {
    Answered,
    AnswerLost,
    Delayed,
    Lost,
}

/// A change of a shard's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaderChange {
    shard: u16,
    revision: u64,
}

/// A failover record as it was opened.
struct OpenedRecord {
    at: LeaderChange,
    record: FailoverRecord,
}

#[derive(Default)]
struct StoreModel {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<WatchEvent>,
    leases: Vec<u64>,
    /// Each change of a shard's key by a compare-and-swap.
    leader_changes: Vec<LeaderChange>,
    /// Each failover record that was opened.
    opened: Vec<OpenedRecord>,
    completions: usize,
}

impl StoreModel {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// Applies a compare-and-swap and returns its revision; `None` if its conditions or leases do
    /// not hold.
    fn cas(&mut self, cas: &CompareAndSwap) -> Option<u64> {
        assert!(
            cas.writes.len() <= 4,
            "more writes than a compare-and-swap may hold"
        );
        let lease = |w: &Write| {
            if let Write::Put {
                lease: store_lease, ..
            } = w
            {
                *store_lease
            } else {
                None
            }
        };
        if cas
            .writes
            .iter()
            .filter_map(lease)
            .any(|l| !self.leases.contains(&l))
        {
            return None;
        }
        if cas
            .conditions
            .iter()
            .any(|c| self.version(&c.key) != c.version)
        {
            return None;
        }
        self.revision += 1;
        for write in &cas.writes {
            self.record(write);
            match write {
                Write::Put {
                    key,
                    value,
                    lease: store_lease,
                } => {
                    self.log
                        .push(set(key.clone(), value.clone(), self.revision));
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, *store_lease));
                }
                Write::Delete { key } => self.remove(key),
            }
        }
        Some(self.revision)
    }

    fn record(&mut self, write: &Write) {
        let key = match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        };
        if let Some(shard) = key.strip_prefix("w/part/") {
            self.leader_changes.push(LeaderChange {
                shard: shard.parse().expect("a shard"),
                revision: self.revision,
            });
        }
        let (Some(rest), Write::Put { value, .. }) = (key.strip_prefix("w/hand/"), write) else {
            return;
        };
        let (shard, slot) = parse_failover_key(rest).expect("a slot");
        let record: FailoverRecord = from_value(value).expect("a failover record");
        assert_eq!(record.number % FAILOVER_RECORDS_KEPT, slot);
        let before = self
            .keys
            .get(key)
            .and_then(|(v, _, _)| from_value::<FailoverRecord>(v));
        let Some(completion) = &record.completion else {
            let at = LeaderChange {
                shard,
                revision: self.revision,
            };
            self.opened.push(OpenedRecord { at, record });
            return;
        };
        let before = before.expect("a completed record was opened before");
        assert!(before.is_open(), "completed more than once: {before:?}");
        assert_eq!(
            FailoverRecord {
                completion: None,
                ..record.clone()
            },
            before,
            "completion changes nothing else"
        );
        assert_eq!(
            completion.fencing_token,
            Some(self.version(key)),
            "the completion has the fencing token that the record was opened with"
        );
        self.completions += 1;
    }

    fn remove(&mut self, key: &str) {
        self.log.push(WatchEvent {
            set: None,
            drop: Some(key.to_owned()),
            value: None,
            version: self.revision,
        });
        self.keys.remove(key);
    }

    fn expire_lease(&mut self, lease: u64) {
        self.leases.retain(|l| *l != lease);
        self.revision += 1;
        let attached: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.2 == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        attached.iter().for_each(|key| self.remove(key));
    }
}

// ---- controller processes --------------------------------------------------------

struct Process {
    core: Core,
    election: LeaderElection,
    store_lease: u64,
}

/// Deterministic random numbers (xorshift).
struct RandomSource(u64);

impl RandomSource {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    fn delivery(&mut self) -> Delivery {
        [
            Delivery::Answered,
            Delivery::Answered,
            Delivery::Answered,
            Delivery::AnswerLost,
            Delivery::Delayed,
            Delivery::Lost,
        ][self.below(6) as usize]
    }
}

/// A random history of controllers and their store.
struct History {
    store: StoreModel,
    processes: Vec<Option<Process>>,
    delayed: Vec<CompareAndSwap>,
    leases_granted: u64,
    now: u64,
}

impl History {
    fn new() -> Self {
        let processes = (0..HOSTS).map(|_| None).collect();
        Self {
            store: StoreModel::default(),
            processes,
            delayed: Vec::new(),
            leases_granted: 0,
            now: 1_000,
        }
    }

    fn start(&mut self, h: usize) {
        self.leases_granted += 1;
        self.store.leases.push(self.leases_granted);
        self.store.cas(&register_controller(
            &format!("h{h}"),
            "north",
            self.leases_granted,
            Vec::new(),
        ));
        let process = Process {
            core: core(h as u16),
            election: LeaderElection::new(usize::from(HOSTS)),
            store_lease: self.leases_granted,
        };
        self.processes[h] = Some(process);
        self.read(h);
    }

    fn read(&mut self, h: usize) {
        let Some(p) = &mut self.processes[h] else {
            return;
        };
        let after = p.core.cache.revision.unwrap_or(0);
        let from = self.store.log.partition_point(|c| c.version <= after);
        p.core
            .cache
            .apply_changes(&self.store.log[from..], self.store.revision, self.now);
        p.core.cache_refreshed(self.now, true);
    }

    /// Sends a compare-and-swap; returns its revision if it was applied and answered.
    fn send(&mut self, cas: CompareAndSwap, delivery: Delivery) -> Option<u64> {
        match delivery {
            Delivery::Answered => self.store.cas(&cas),
            Delivery::AnswerLost => self.store.cas(&cas).and(None),
            Delivery::Delayed => {
                self.delayed.push(cas);
                None
            }
            Delivery::Lost => None,
        }
    }

    /// A process takes its next election action for a shard, or, with `leave`, cedes it without
    /// cause.
    fn take_election_action(&mut self, h: usize, shard: u16, leave: bool, delivery: Delivery) {
        let now = self.now;
        let Some(p) = &mut self.processes[h] else {
            return;
        };
        let lease = p.core.leases().into_iter().find(|l| l.shard == shard);
        let action = match lease.filter(|_| leave) {
            Some(lease) => Some(ElectionAction::Cede(lease)),
            None => p.election.next_action(&p.core, shard, now),
        };
        let Some(action) = action else { return };
        let cas = p.core.election_cas(&action, p.store_lease, Vec::new(), now);
        let Some(revision) = self.send(cas, delivery) else {
            return;
        };
        let p = self.processes[h].as_mut().expect("it acts");
        match action {
            ElectionAction::Acquire { shard, .. } => {
                self.read(h);
                let p = self.processes[h].as_mut().expect("it acts");
                if p.core
                    .cache
                    .shard_leaders
                    .get(&shard)
                    .is_some_and(|leader| leader.fencing_token == revision)
                {
                    p.core.acquire(
                        ShardLease {
                            shard,
                            token: revision,
                        },
                        &[],
                        Vec::new(),
                        now,
                    );
                }
            }
            ElectionAction::ReturnToHome(lease) | ElectionAction::Cede(lease) => {
                p.core.release(lease.shard, now);
            }
        }
    }

    fn flush(&mut self, h: usize, delivery: Delivery) {
        let now = self.now;
        let Some(p) = &mut self.processes[h] else {
            return;
        };
        for effect in p.core.flush(now) {
            if let Effect::WriteHint(cas) = effect {
                self.send(cas, delivery);
            }
        }
    }

    fn check(&mut self, seed: u64) {
        let opened: Vec<LeaderChange> = self.store.opened.iter().map(|o| o.at).collect();
        assert_eq!(
            opened, self.store.leader_changes,
            "seed {seed}: one record with each change, and none without"
        );
        for shard in 0..HOSTS {
            let opened = self.store.opened.iter().filter(|o| o.at.shard == shard);
            let mut leader: Option<String> = None;
            for (i, OpenedRecord { record, .. }) in opened.enumerate() {
                assert_eq!(
                    record.number,
                    i as u64 + 1,
                    "seed {seed}: no number twice, and none left out"
                );
                assert_eq!(record.previous_leader, leader, "seed {seed}: {record:?}");
                leader = record.new_leader.clone().or(leader);
            }
        }
    }
}

/// Random histories: exactly one record for each change of leaders, in its own
/// compare-and-swap, completed at most once and by nobody but a leader.
#[test]
fn every_failover_is_recorded_exactly_once() {
    let (mut changes, mut completions, mut highest) = (0, 0, 0);
    for seed in 1..=24 {
        let mut random = RandomSource(0x9E37_79B9_7F4A_7C15 ^ seed << 20);
        let mut history = History::new();
        for _ in 0..2_400 {
            let h = random.below(u64::from(HOSTS)) as usize;
            history.now += random.below(4) * 1_500;
            if history.processes[h].is_none() {
                if random.below(3) == 0 {
                    history.start(h);
                }
                continue;
            }
            match random.below(24) {
                0..=7 => history.read(h),
                8..=16 => {
                    let delivery = random.delivery();
                    history.take_election_action(
                        h,
                        random.below(u64::from(HOSTS)) as u16,
                        random.below(12) == 0,
                        delivery,
                    );
                }
                17 | 18 => {
                    let delivery = random.delivery();
                    history.flush(h, delivery);
                }
                19 => history.now += 100_000,
                20 | 21 if !history.delayed.is_empty() => {
                    let cas = history
                        .delayed
                        .remove(random.below(history.delayed.len() as u64) as usize);
                    history.store.cas(&cas);
                }
                22 => {
                    // The process ends; its lease expires at once or stays valid for some time.
                    let lease = history.processes[h].take().map_or(0, |p| p.store_lease);
                    if random.below(2) == 0 {
                        history.store.expire_lease(lease);
                    }
                }
                23 => {
                    let lease = history.processes[h].as_ref().map_or(0, |p| p.store_lease);
                    if random.below(4) == 0 {
                        history.store.expire_lease(lease);
                        history.processes[h] = None;
                    }
                }
                _ => {}
            }
        }
        history.check(seed);
        changes += history.store.leader_changes.len();
        completions += history.store.completions;
        highest = highest.max(
            history
                .store
                .opened
                .iter()
                .map(|o| o.record.number)
                .max()
                .unwrap_or(0),
        );
    }
    assert!(
        changes > 2_000 && completions > 300,
        "{changes} failovers, {completions} completed"
    );
    assert!(
        highest > FAILOVER_RECORDS_KEPT,
        "no ring wrapped around: the highest number is {highest}"
    );
}

// ---- ring of failover records ------------------------------------------------------

fn record(n: u64, to: Option<&str>, closed: Option<FailoverCompletion>) -> FailoverRecord {
    FailoverRecord {
        number: n,
        previous_leader: None,
        new_leader: to.map(str::to_owned),
        change: LeadershipChange::Vacant,
        at_ms: n * 1_000,
        up: None,
        completion: closed,
    }
}

fn set(key: String, value: Value, version: u64) -> WatchEvent {
    WatchEvent {
        set: Some(key),
        drop: None,
        value: Some(value),
        version,
    }
}

/// A new shard starts with record number 1; in a full ring the next record overwrites the oldest,
/// even if that is still open.
#[test]
fn a_full_ring_overwrites_its_oldest_record() {
    let mut cache = StateCache::default();
    assert_eq!(cache.failovers.next_slot(4), (1, 0));
    for n in 1..=FAILOVER_RECORDS_KEPT {
        cache.apply_changes(
            &[set(
                failover_key(4, n),
                to_value(&record(n, Some("a"), None)),
                100 + n,
            )],
            100 + n,
            0,
        );
        let next = if n == FAILOVER_RECORDS_KEPT {
            (n + 1, 101)
        } else {
            (n + 1, 0)
        };
        assert_eq!(cache.failovers.next_slot(4), next);
    }
    let n = FAILOVER_RECORDS_KEPT + 1;
    cache.apply_changes(
        &[set(
            failover_key(4, n),
            to_value(&record(n, Some("a"), None)),
            900,
        )],
        900,
        0,
    );
    assert_eq!(
        cache.failovers.entries_of(4).len() as u64,
        FAILOVER_RECORDS_KEPT
    );
    assert_eq!(cache.failovers.next_slot(4), (n + 1, 102));
    assert!(cache.failovers.rewrite(4, 1).is_none(), "overwritten");
}

/// Records that can't be decoded are skipped, and their contents are ignored.
#[test]
fn undecodable_records_are_skipped() {
    let mut cache = StateCache::default();
    let good = |n| to_value(&record(n, Some("a"), None));
    cache.apply_changes(
        &[
            set(failover_key(1, 1), good(1), 10),
            set(failover_key(1, 2), Value::from("what"), 11),
            set(failover_key(1, 3), good(7), 12),
            set("w/hand/1/99".into(), good(99), 13),
            set("w/hand/x".into(), good(1), 14),
            set(
                failover_key(1, 4),
                to_value(&record((1 << 50) + 4, None, None)),
                15,
            ),
        ],
        20,
        0,
    );
    assert_eq!(cache.failovers.entries_of(1).len(), 1);
    assert_eq!(
        cache.failovers.next_slot(1),
        (5, 0),
        "slots 2 to 4 are left to those who can decode them"
    );
    // A ring without any decodable record still has a next slot.
    let odd: Vec<WatchEvent> = (0..FAILOVER_RECORDS_KEPT)
        .map(|n| set(failover_key(1, n), Value::Nil, 30 + n))
        .collect();
    cache.apply_changes(&odd, 70, 0);
    assert_eq!(cache.failovers.next_slot(1), (1, 31));
    // A record of a later version, with an unknown change of leaders and unknown fields, is read.
    let Value::Map(mut fields) = good(6) else {
        panic!("a map")
    };
    fields
        .iter_mut()
        .find(|(k, _)| k.as_str() == Some("how"))
        .expect("how")
        .1 = "by_vote".into();
    fields.push(("votes".into(), 3.into()));
    cache.apply_changes(&[set(failover_key(1, 6), Value::Map(fields), 80)], 80, 0);
    assert_eq!(
        cache.failovers.entries_of(1)[0].0.change,
        LeadershipChange::Other
    );
}

/// A process that acquires a shard completes the records that earlier leaders left open, each with
/// the duration of that leadership, together with its own.
#[test]
fn abandoned_records_are_completed_with_what_can_be_known() {
    let mut core = core(0);
    let own = ShardRecord { host: "h0".into() };
    let key_value = |key: String, value: Value, version| KeyValue {
        key,
        value,
        version,
    };
    let mut entries = vec![key_value(shard_key(0), to_value(&own), 14)];
    for (n, version) in [(1, 11), (2, 12), (3, 13), (4, 14)] {
        entries.push(key_value(
            failover_key(0, n),
            to_value(&record(n, Some("h0"), None)),
            version,
        ));
    }
    core.cache.load_snapshot(&entries, 20);
    core.cache_refreshed(5_000, true);
    core.acquire(
        ShardLease {
            shard: 0,
            token: 14,
        },
        &[],
        Vec::new(),
        5_000,
    );
    let completions = |core: &mut Core, now| {
        let hints = core.flush(now).into_iter().filter_map(|e| {
            if let Effect::WriteHint(cas) = e {
                Some(cas)
            } else {
                None
            }
        });
        hints
            .filter(|t| {
                t.writes
                    .iter()
                    .any(|w| matches!(w, Write::Put { key, .. } if key.starts_with("w/hand/")))
            })
            .collect::<Vec<_>>()
    };
    assert!(
        completions(&mut core, 6_000).is_empty(),
        "nothing has started yet"
    );
    let due = 4_000 + COMPLETION_TIMEOUT_MS;
    let cas = completions(&mut core, due).remove(0);
    assert_eq!(cas.writes.len(), 4, "its own and three abandoned ones");
    let written: Vec<FailoverRecord> = cas
        .writes
        .iter()
        .map(|w| {
            if let Write::Put { value, .. } = w {
                from_value(value).expect("a failover record")
            } else {
                panic!("unexpected delete")
            }
        })
        .collect();
    let own = written[0].completion.as_ref().expect("completed");
    assert_eq!(
        (
            written[0].number,
            own.services_restored_ms,
            own.first_start_ms,
            own.fencing_token
        ),
        (4, Some(1_000), None, Some(14))
    );
    assert!(own.unknown.iter().any(|u| u.starts_with("the first start")));
    for (n, abandoned) in written[1..].iter().enumerate() {
        let completion = abandoned.completion.as_ref().expect("completed");
        assert_eq!(
            (
                abandoned.number,
                completion.leadership_ms,
                completion.fencing_token,
                completion.unknown.len()
            ),
            (n as u64 + 1, Some(1_000), Some(11 + n as u64), 3)
        );
    }
    // A completion that the state cache does not show is retried after a while, not at once.
    assert!(completions(&mut core, due + COMPLETION_RETRY_MS - 100).is_empty());
    assert_eq!(completions(&mut core, due + COMPLETION_RETRY_MS).len(), 1);
    // Once the state cache shows the completions, they are not written again.
    for (record, version) in written.iter().zip(30..) {
        core.cache.apply_changes(
            &[set(
                failover_key(0, record.number),
                to_value(record),
                version,
            )],
            version,
            0,
        );
    }
    assert!(completions(&mut core, due + 3 * COMPLETION_RETRY_MS).is_empty());
}

// ---- services -------------------------------------------------------------------

/// All observations of a service, from which its state is computed anew.
type Observations = Vec<(u64, ServiceObservation)>;

/// Since when `holds` has been true without interruption, ms.
fn holds_since(
    observations: &Observations,
    holds: impl Fn(&ServiceObservation) -> bool,
) -> Option<u64> {
    observations
        .iter()
        .rev()
        .take_while(|(_, observation)| holds(observation))
        .last()
        .map(|(at, _)| *at)
}

/// When the current activity is due, ms: `expected_within_ms` after its first observation, or after
/// its last observation that showed more running replicas than the one before. `None` if no replica
/// is missing or no time is expected.
fn due_at(observations: &Observations) -> Option<u64> {
    let (_, last) = observations.last()?;
    if last.running >= last.desired {
        return None;
    }
    let mut from = observations.len() - 1;
    while from > 0
        && observations[from - 1].1.activity == last.activity
        && observations[from - 1].1.running >= observations[from].1.running
    {
        from -= 1;
    }
    let (began_at, first) = &observations[from];
    first.expected_within_ms.map(|ms| began_at + ms)
}

fn random_observation(random: &mut RandomSource, desired: u32) -> ServiceObservation {
    use RecoveryActivity::{AtQuotaLimit, AwaitingCapacity, FullyReplicated, Starting};
    let running = random.below(u64::from(desired) + 1) as u32;
    let activity = if running == desired {
        FullyReplicated
    } else {
        [AwaitingCapacity, Starting, AtQuotaLimit][random.below(3) as usize]
    };
    ServiceObservation {
        desired,
        running,
        activity,
        expected_within_ms: (activity != AtQuotaLimit).then_some(4_000),
    }
}

/// The incrementally updated state of supervised services equals the one computed from their whole
/// histories.
#[test]
fn supervised_services_match_their_observation_history() {
    let (mut most_attempts, mut overdue) = (0, 0);
    for seed in 1..=30 {
        let mut random = RandomSource(seed * 0x5851_F42D_4C95);
        let mut services = SupervisedServices::default();
        let mut histories: BTreeMap<JobId, Observations> = BTreeMap::new();
        let mut now = 0;
        for _ in 0..400 {
            now += random.below(1_500);
            let id = JobId::from(format!("req-{:06}", random.below(12)).as_str());
            if random.below(10) == 0 {
                services.observe(&id, None, now);
                histories.remove(&id);
            } else {
                let desired = 1 + (id.as_str().len() as u32 + 3) % 5;
                let observation = random_observation(&mut random, desired);
                services.observe(&id, Some(observation.clone()), now);
                let history = histories.entry(id.clone()).or_default();
                history.push((now, observation));
            }
            assert_states_match(&services, &histories, seed);
            for id in services.overdue(now, 3) {
                let due_at = due_at(&histories[&id]).expect("it is due");
                assert!(
                    due_at <= now,
                    "seed {seed}: overdue at {now} ms, but due at {due_at} ms"
                );
                overdue += 1;
                services.record_escalation(
                    &id,
                    vec![RecoveryAttempt {
                        step: EscalationStep::MoveReplica,
                        at_ms: now,
                        description: format!("at {now}"),
                    }],
                    now,
                );
                assert!(
                    !services.overdue(now, 99).contains(&id),
                    "not overdue again at once"
                );
                let service = services.get(&id).expect("supervised");
                most_attempts = most_attempts.max(service.attempts.len());
                assert!(
                    service
                        .attempts
                        .iter()
                        .all(|attempt| Some(attempt.at_ms) >= service.under_replicated_since),
                    "an attempt from before the service was under-replicated"
                );
            }
        }
    }
    assert!(
        overdue > 200 && most_attempts == RECOVERY_ATTEMPTS_KEPT,
        "{overdue} overdue, {most_attempts} attempts"
    );
}

fn assert_states_match(
    services: &SupervisedServices,
    histories: &BTreeMap<JobId, Observations>,
    seed: u64,
) {
    for (id, history) in histories {
        let service = services.get(id).expect("supervised");
        assert_eq!(
            service.under_replicated_since,
            holds_since(history, |o| o.running < o.desired),
            "seed {seed}"
        );
        assert_eq!(
            service.below_half_since,
            holds_since(history, |o| 2 * o.running < o.desired),
            "seed {seed}"
        );
        assert_eq!(service.due_at, due_at(history), "seed {seed}: {history:?}");
    }
    let under_replicated: BTreeSet<JobId> = histories
        .iter()
        .filter(|(_, history)| history.last().is_some_and(|(_, o)| o.running < o.desired))
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(
        services.under_replicated(),
        &under_replicated,
        "seed {seed}"
    );
}
