//! Changes of hands against a plain store, in random histories: readings that are
//! old, answers that are lost, transactions that come late, processes that end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::LazyLock;

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::supervision::services::{
    PreemptionStep, RecoveryActivity, RecoveryAttempt, ServiceObservation, SupervisedServices,
};
use lemonweir_coordination::{Config, Core, Effect, ShardLease};
use lemonweir_model::JobId;
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, KeyValue, WatchEvent as Changed, Write, from_value, to_value,
};
use lemonweir_storage::StateCache;
use lemonweir_storage::failovers::{
    FailoverCompletion, FailoverRecord, LeadershipChange, failover_key, parse_failover_key,
};
use lemonweir_storage::records::{ShardRecord, shard_key, register_controller};
use rmpv::Value;

const HOSTS: u16 = 3;

fn core(me: u16) -> Core {
    static POLICY: LazyLock<Policy> =
        LazyLock::new(|| lemonweir_policy::embedded().expect("policy"));
    let seed = |n: u16| serde_json::json!({"host_name": format!("h{n}"), "zone": "north", "address": format!("10.0.0.{n}:8081")});
    let seeds: Vec<_> = (0..HOSTS).filter(|n| *n != me).map(seed).collect();
    let value = serde_json::json!({
        "host_name": format!("h{me}"), "zone": "north", "listen": "10.0.0.9:8080", "internal_addr": "10.0.0.9:8081",
        "seeds": seeds,
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "zones": ["north"], "teams": [{"name": "red"}], "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 4},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    });
    let settings: Settings = serde_json::from_value(value).expect("settings");
    Core::new(Config::new(&settings), POLICY.clone())
}

// ---- the plain store -----------------------------------------------------------

/// What became of a transaction.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    AnswerLost,
    Late,
    Refused,
}

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<Changed>,
    holds: Vec<u64>,
    /// Part and revision of each change of a part's key by a transaction.
    changes: Vec<(u16, u64)>,
    /// Part, revision and record of each entry that was opened.
    opened: Vec<(u16, u64, FailoverRecord)>,
    closings: usize,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    /// The revision at which it was made.
    fn cas(&mut self, cas: &CompareAndSwap) -> Option<u64> {
        assert!(cas.writes.len() <= 4, "more than a transaction may hold");
        let hold = |w: &Write| {
            if let Write::Put { lease: hold, .. } = w {
                *hold
            } else {
                None
            }
        };
        if cas
            .writes
            .iter()
            .filter_map(hold)
            .any(|h| !self.holds.contains(&h))
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
            self.note(write);
            match write {
                Write::Put { key, value, lease: hold } => {
                    self.log
                        .push(set(key.clone(), value.clone(), self.revision));
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision, *hold));
                }
                Write::Delete { key } => self.remove(key),
            }
        }
        Some(self.revision)
    }

    fn note(&mut self, write: &Write) {
        let key = match write {
            Write::Put { key, .. } | Write::Delete { key } => key,
        };
        if let Some(shard) = key.strip_prefix("w/part/") {
            self.changes
                .push((shard.parse().expect("a part"), self.revision));
        }
        let (Some(rest), Write::Put { value, .. }) = (key.strip_prefix("w/hand/"), write) else {
            return;
        };
        let (shard, slot) = parse_failover_key(rest).expect("a slot");
        let record: FailoverRecord = from_value(value).expect("an entry");
        assert_eq!(record.number % HANDOVERS_KEPT, slot);
        let before = self
            .keys
            .get(key)
            .and_then(|(v, _, _)| from_value::<FailoverRecord>(v));
        let Some(closed) = &record.completion else {
            self.opened.push((shard, self.revision, record));
            return;
        };
        let before = before.expect("what is closed was open");
        assert!(before.is_open(), "closed once: {before:?}");
        assert_eq!(
            FailoverRecord {
                completion: None,
                ..record.clone()
            },
            before,
            "closing changes nothing else"
        );
        assert_eq!(
            closed.fencing_token,
            Some(self.version(key)),
            "with the part's token"
        );
        self.closings += 1;
    }

    fn remove(&mut self, key: &str) {
        self.log.push(Changed {
            set: None,
            drop: Some(key.to_owned()),
            value: None,
            version: self.revision,
        });
        self.keys.remove(key);
    }

    fn end_hold(&mut self, hold: u64) {
        self.holds.retain(|h| *h != hold);
        self.revision += 1;
        let with: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.2 == Some(hold))
            .map(|(key, _)| key.clone())
            .collect();
        with.iter().for_each(|key| self.remove(key));
    }
}

// ---- the processes ---------------------------------------------------------------

struct Process {
    core: Core,
    membership: LeaderElection,
    hold: u64,
}

struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    fn fate(&mut self) -> Fate {
        [
            Fate::Answered,
            Fate::Answered,
            Fate::Answered,
            Fate::AnswerLost,
            Fate::Late,
            Fate::Refused,
        ][self.below(6) as usize]
    }
}

struct Night {
    store: Store,
    processes: Vec<Option<Process>>,
    late: Vec<CompareAndSwap>,
    holds: u64,
    now: u64,
}

impl Night {
    fn new() -> Self {
        let processes = (0..HOSTS).map(|_| None).collect();
        Self {
            store: Store::default(),
            processes,
            late: Vec::new(),
            holds: 0,
            now: 1_000,
        }
    }

    fn start(&mut self, h: usize) {
        self.holds += 1;
        self.store.holds.push(self.holds);
        self.store.cas(&register_controller(
            &format!("h{h}"),
            "north",
            self.holds,
            Vec::new(),
        ));
        let process = Process {
            core: core(h as u16),
            membership: LeaderElection::new(usize::from(HOSTS)),
            hold: self.holds,
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
        p.core.refreshed(self.now, true);
    }

    /// Sends a transaction; its revision if it was made and the answer came.
    fn send(&mut self, cas: CompareAndSwap, fate: Fate) -> Option<u64> {
        match fate {
            Fate::Answered => self.store.cas(&cas),
            Fate::AnswerLost => self.store.cas(&cas).and(None),
            Fate::Late => {
                self.late.push(cas);
                None
            }
            Fate::Refused => None,
        }
    }

    /// A process does what it would do about a part, or leaves it for no reason.
    fn act(&mut self, h: usize, shard: u16, leave: bool, fate: Fate) {
        let now = self.now;
        let Some(p) = &mut self.processes[h] else {
            return;
        };
        let lease = p.core.held().into_iter().find(|l| l.shard == shard);
        let claim = match lease.filter(|_| leave) {
            Some(lease) => Some(ElectionAction::Leave(lease)),
            None => p.membership.claim(&p.core, shard, now),
        };
        let Some(claim) = claim else { return };
        let cas = p.core.claim_txn(&claim, p.hold, Vec::new(), now);
        let Some(revision) = self.send(cas, fate) else {
            return;
        };
        let p = self.processes[h].as_mut().expect("it acts");
        match claim {
            ElectionAction::Take { shard, .. } => {
                self.read(h);
                let p = self.processes[h].as_mut().expect("it acts");
                if p.core
                    .cache
                    .shard_leaders
                    .get(&shard)
                    .is_some_and(|holder| holder.fencing_token == revision)
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
            ElectionAction::HandBack(lease) | ElectionAction::Leave(lease) => {
                p.core.release(lease.shard, now)
            }
        }
    }

    fn pump(&mut self, h: usize, fate: Fate) {
        let now = self.now;
        let Some(p) = &mut self.processes[h] else {
            return;
        };
        for effect in p.core.pump(now) {
            if let Effect::Note(cas) = effect {
                self.send(cas, fate);
            }
        }
    }

    fn check(&mut self, seed: u64) {
        let opened: Vec<(u16, u64)> = self
            .store
            .opened
            .iter()
            .map(|(shard, revision, _)| (*shard, *revision))
            .collect();
        assert_eq!(
            opened, self.store.changes,
            "seed {seed}: one entry with each change, and none without"
        );
        for shard in 0..HOSTS {
            let entries = self.store.opened.iter().filter(|(p, _, _)| *p == shard);
            let mut holder: Option<String> = None;
            for (i, (_, _, record)) in entries.enumerate() {
                assert_eq!(
                    record.number,
                    i as u64 + 1,
                    "seed {seed}: no number twice, and none left out"
                );
                assert_eq!(record.previous_leader, holder, "seed {seed}: {record:?}");
                holder = record.new_leader.clone().or(holder);
            }
        }
    }
}

/// Random histories: exactly one entry for each change of hands, in its own
/// transaction, closed at most once and by nobody but a holder.
#[test]
fn every_change_of_hands_is_entered_exactly_once() {
    let (mut changes, mut closings, mut longest) = (0, 0, 0);
    for seed in 1..=24 {
        let mut draw = Draw(0x9E37_79B9_7F4A_7C15 ^ seed << 20);
        let mut night = Night::new();
        for _ in 0..2_400 {
            let h = draw.below(u64::from(HOSTS)) as usize;
            night.now += draw.below(4) * 1_500;
            if night.processes[h].is_none() {
                if draw.below(3) == 0 {
                    night.start(h);
                }
                continue;
            }
            match draw.below(24) {
                0..=7 => night.read(h),
                8..=16 => {
                    let fate = draw.fate();
                    night.act(
                        h,
                        draw.below(u64::from(HOSTS)) as u16,
                        draw.below(12) == 0,
                        fate,
                    );
                }
                17 | 18 => {
                    let fate = draw.fate();
                    night.pump(h, fate);
                }
                19 => night.now += 100_000,
                20 | 21 if !night.late.is_empty() => {
                    let cas = night
                        .late
                        .remove(draw.below(night.late.len() as u64) as usize);
                    night.store.cas(&cas);
                }
                22 => {
                    // It ends; its hold ends at once, or lives on into its next life.
                    let hold = night.processes[h].take().map_or(0, |p| p.hold);
                    if draw.below(2) == 0 {
                        night.store.end_hold(hold);
                    }
                }
                23 => {
                    let hold = night.processes[h].as_ref().map_or(0, |p| p.hold);
                    if draw.below(4) == 0 {
                        night.store.end_hold(hold);
                        night.processes[h] = None;
                    }
                }
                _ => {}
            }
        }
        night.check(seed);
        changes += night.store.changes.len();
        closings += night.store.closings;
        longest = longest.max(
            night
                .store
                .opened
                .iter()
                .map(|(_, _, r)| r.number)
                .max()
                .unwrap_or(0),
        );
    }
    assert!(
        changes > 2_000 && closings > 300,
        "{changes} changes of hands, {closings} closed"
    );
    assert!(longest > HANDOVERS_KEPT, "a ring came round: {longest}");
}

// ---- the ring ----------------------------------------------------------------------

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

fn set(key: String, value: Value, version: u64) -> Changed {
    Changed {
        set: Some(key),
        drop: None,
        value: Some(value),
        version,
    }
}

/// The first entry of a new part; of a full ring the next takes the oldest's slot,
/// open or not.
#[test]
fn a_full_ring_gives_its_oldest_slot() {
    let mut cache = StateCache::default();
    assert_eq!(cache.failovers.next_slot(4), (1, 0));
    for n in 1..=HANDOVERS_KEPT {
        cache.apply_changes(
            &[set(
                failover_key(4, n),
                to_value(&record(n, Some("a"), None)),
                100 + n,
            )],
            100 + n,
            0,
        );
        let next = if n == HANDOVERS_KEPT {
            (n + 1, 101)
        } else {
            (n + 1, 0)
        };
        assert_eq!(cache.failovers.next_slot(4), next);
    }
    let n = HANDOVERS_KEPT + 1;
    cache.apply_changes(
        &[set(
            failover_key(4, n),
            to_value(&record(n, Some("a"), None)),
            900,
        )],
        900,
        0,
    );
    assert_eq!(cache.failovers.entries_of(4).len() as u64, HANDOVERS_KEPT);
    assert_eq!(cache.failovers.next_slot(4), (n + 1, 102));
    assert!(cache.failovers.rewrite(4, 1).is_none(), "overwritten");
}

/// What can't be read is passed over, and what it says is not believed.
#[test]
fn entries_that_cant_be_read_are_skipped() {
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
        "slots 2 to 4 are left to who can read them"
    );
    // One that nothing but the unreadable is left in takes a slot all the same.
    let odd: Vec<Changed> = (0..HANDOVERS_KEPT)
        .map(|n| set(failover_key(1, n), Value::Nil, 30 + n))
        .collect();
    cache.apply_changes(&odd, 70, 0);
    assert_eq!(cache.failovers.next_slot(1), (1, 31));
    // A later version's way of changing hands is read, with what else it knows.
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
    assert_eq!(cache.failovers.entries_of(1)[0].0.change, LeadershipChange::Other);
}

/// A process that takes a part closes what its predecessors left open, each with
/// how long it lasted, together with its own.
#[test]
fn what_was_left_open_is_closed_with_what_can_be_known() {
    let mut core = core(0);
    let own = ShardRecord { host: "h0".into() };
    let entry = |key: String, value: Value, version| KeyValue {
        key,
        value,
        version,
    };
    let mut entries = vec![entry(shard_key(0), to_value(&own), 14)];
    for (n, version) in [(1, 11), (2, 12), (3, 13), (4, 14)] {
        entries.push(entry(
            failover_key(0, n),
            to_value(&record(n, Some("h0"), None)),
            version,
        ));
    }
    core.cache.load_snapshot(&entries, 20);
    core.refreshed(5_000, true);
    core.acquire(
        ShardLease {
            shard: 0,
            token: 14,
        },
        &[],
        Vec::new(),
        5_000,
    );
    let notes = |core: &mut Core, now| {
        let notes = core.pump(now).into_iter().filter_map(|e| {
            if let Effect::Note(cas) = e {
                Some(cas)
            } else {
                None
            }
        });
        notes
            .filter(|t| {
                t.writes
                    .iter()
                    .any(|w| matches!(w, Write::Put { key, .. } if key.starts_with("w/hand/")))
            })
            .collect::<Vec<_>>()
    };
    assert!(
        notes(&mut core, 6_000).is_empty(),
        "nothing has started yet"
    );
    let due = 4_000 + CLOSE_MOST_MS;
    let cas = notes(&mut core, due).remove(0);
    assert_eq!(cas.writes.len(), 4, "its own and three others");
    let told: Vec<FailoverRecord> = cas
        .writes
        .iter()
        .map(|w| {
            if let Write::Put { value, .. } = w {
                from_value(value).expect("an entry")
            } else {
                panic!("a delete")
            }
        })
        .collect();
    let own = told[0].completion.as_ref().expect("closed");
    assert_eq!(
        (told[0].number, own.services_restored_ms, own.first_start_ms, own.fencing_token),
        (4, Some(1_000), None, Some(14))
    );
    assert!(own.unknown.iter().any(|u| u.starts_with("the first start")));
    for (n, left) in told[1..].iter().enumerate() {
        let closed = left.completion.as_ref().expect("closed");
        assert_eq!(
            (left.number, closed.leadership_ms, closed.fencing_token, closed.unknown.len()),
            (n as u64 + 1, Some(1_000), Some(11 + n as u64), 3)
        );
    }
    // Refused: again after a while, not at once.
    assert!(notes(&mut core, due + CLOSE_RETRY_MS - 100).is_empty());
    assert_eq!(notes(&mut core, due + CLOSE_RETRY_MS).len(), 1);
    // Once the copy shows it closed, it is not written again.
    for (record, version) in told.iter().zip(30..) {
        core.cache.apply_changes(
            &[set(failover_key(0, record.number), to_value(record), version)],
            version,
            0,
        );
    }
    assert!(notes(&mut core, due + 3 * CLOSE_RETRY_MS).is_empty());
}

// ---- services -------------------------------------------------------------------

/// All that was ever seen of a service, from which everything is reckoned anew.
type Story = Vec<(u64, ServiceObservation)>;

/// Since when something has been so without a break, as its story tells.
fn since(story: &Story, is: impl Fn(&ServiceObservation) -> bool) -> Option<u64> {
    story
        .iter()
        .rev()
        .take_while(|(_, seen)| is(seen))
        .last()
        .map(|(at, _)| *at)
}

/// When what is done should have worked: from its first moment on, or since one
/// that had fewer up.
fn due(story: &Story) -> Option<u64> {
    let (_, last) = story.last()?;
    if last.up >= last.promised {
        return None;
    }
    let mut from = story.len() - 1;
    while from > 0
        && story[from - 1].1.doing == last.doing
        && story[from - 1].1.up >= story[from].1.up
    {
        from -= 1;
    }
    story[from].1.within.map(|ms| story[from].0 + ms)
}

/// The services under watch, kept up by changes, against their whole stories.
#[test]
fn services_under_watch_are_what_their_stories_say() {
    use RecoveryActivity::*;
    let (mut tried, mut late) = (0, 0);
    for seed in 1..=30 {
        let mut draw = Draw(seed * 0x5851_F42D_4C95);
        let mut services = SupervisedServices::default();
        let mut stories: BTreeMap<JobId, Story> = BTreeMap::new();
        let mut now = 0;
        for _ in 0..400 {
            now += draw.below(1_500);
            let id = JobId::from(format!("req-{:06}", draw.below(12)).as_str());
            if draw.below(10) == 0 {
                services.set(&id, None, now);
                stories.remove(&id);
            } else {
                let promised = 1 + (id.as_str().len() as u32 + 3) % 5;
                let up = draw.below(u64::from(promised) + 1) as u32;
                let doing = if up == promised {
                    Nothing
                } else {
                    [Resources, Starting, Limit][draw.below(3) as usize]
                };
                let seen = ServiceObservation {
                    promised,
                    up,
                    doing,
                    within: (doing != Limit).then_some(4_000),
                };
                services.set(&id, Some(seen.clone()), now);
                stories.entry(id.clone()).or_default().push((now, seen));
            }
            for (id, story) in &stories {
                let service = services.get(id).expect("watched");
                assert_eq!(
                    service.short_since,
                    since(story, |s| s.up < s.promised),
                    "seed {seed}"
                );
                assert_eq!(
                    service.below_half_since,
                    since(story, |s| 2 * s.up < s.promised),
                    "seed {seed}"
                );
                assert_eq!(service.by, due(story), "seed {seed}: {story:?}");
            }
            let short: BTreeSet<JobId> = stories
                .iter()
                .filter(|(_, s)| s.last().is_some_and(|(_, l)| l.up < l.promised))
                .map(|(id, _)| id.clone())
                .collect();
            assert_eq!(services.short(), &short, "seed {seed}");
            for id in services.late(now, 3) {
                let due = due(&stories[&id]).expect("it is due");
                assert!(due <= now, "seed {seed}: not before its time");
                late += 1;
                let what = format!("at {now}");
                services.looked(
                    &id,
                    vec![RecoveryAttempt {
                        rung: PreemptionStep::Elsewhere,
                        at: now,
                        what,
                    }],
                    now,
                );
                assert!(!services.late(now, 99).contains(&id), "not at once again");
                let service = services.get(&id).expect("watched");
                tried = tried.max(service.tries.len());
                assert!(
                    service
                        .tries
                        .iter()
                        .all(|t| Some(t.at) >= service.short_since),
                    "only what was tried since it is short"
                );
            }
        }
    }
    assert!(
        late > 200 && tried == TRIES_KEPT,
        "{late} late, {tried} tries"
    );
}
