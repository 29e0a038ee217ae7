//! Transactions that the store executes late, and reads of different revisions, against a
//! minimal store. Each test spells out one order of events.

use std::collections::BTreeMap;

use lemonweir_model::{JobId, JobKind, JobSpec, Priority};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, KeyValue, WatchEvent as Changed, Write, to_value,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::StateCache;
use lemonweir_storage::failovers::{FailoverRecord, LeadershipChange, NewFailover};
use lemonweir_storage::records::{
    JobEndRecord, JobRecord, ShardRecord, acquire_shard, create_job, end_key, job_key,
    release_shard, request_cancellation, shard_key,
};
use lemonweir_storage::state_cache::{LeaderReport, ShardLeader};

#[derive(Default)]
struct Store {
    revision: u64,
    versions: BTreeMap<String, u64>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// Executes a transaction; returns its revision, or `None` if a condition failed.
    fn cas(&mut self, cas: &CompareAndSwap) -> Option<u64> {
        if cas
            .conditions
            .iter()
            .any(|c| self.version(&c.key) != c.version)
        {
            return None;
        }
        self.revision += 1;
        for write in &cas.writes {
            match write {
                Write::Put { key, .. } => drop(self.versions.insert(key.clone(), self.revision)),
                Write::Delete { key } => drop(self.versions.remove(key)),
            }
        }
        Some(self.revision)
    }

    /// The store lease of a shard's leader expires, which deletes the shard's key.
    fn expire_lease(&mut self, shard: u16) {
        self.revision += 1;
        self.versions.remove(&shard_key(shard));
    }
}

/// The failover record of shard 0 with this number, as written by an up-to-date controller.
fn entry(store: &Store, n: u64, to: Option<&str>) -> NewFailover {
    let record = FailoverRecord {
        number: n,
        previous_leader: None,
        new_leader: to.map(str::to_owned),
        change: LeadershipChange::Vacant,
        at_ms: 0,
        up: None,
        completion: None,
    };
    let key = lemonweir_storage::failovers::failover_key(0, n);
    NewFailover {
        shard: 0,
        slot_version: store.version(&key),
        record,
    }
}

/// An acquisition without a response is retried under another lease, and then the shard is
/// released, or the lease expires. The shard again has no key, as when the first transaction
/// was sent. If that transaction succeeded now, a controller would become the leader without
/// knowing it.
#[test]
fn late_acquisition_fails_after_the_shard_is_released() {
    for released in [true, false] {
        let mut store = Store::default();
        let late = acquire_shard(0, "h1", 7, &entry(&store, 1, Some("h1")));
        let token = store
            .cas(&acquire_shard(0, "h1", 8, &entry(&store, 1, Some("h1"))))
            .expect("there is no key");
        if released {
            store
                .cas(&release_shard(token, &entry(&store, 2, None)))
                .expect("the shard has a leader");
        } else {
            store.expire_lease(0);
        }
        assert_eq!(store.version(&shard_key(0)), 0);
        assert_eq!(store.cas(&late), None, "released: {released}");
    }
}

/// An acquisition without a response was executed: its retry fails, and the sender reads its
/// own host name from the shard's key.
#[test]
fn retried_acquisition_and_late_release_fail() {
    let mut store = Store::default();
    let first = acquire_shard(0, "h1", 7, &entry(&store, 1, Some("h1")));
    let again = acquire_shard(0, "h1", 8, &entry(&store, 1, Some("h1")));
    assert!(store.cas(&first).is_some());
    assert_eq!(store.cas(&again), None);
    // A release without a response is retried, and the shard is acquired again: the late
    // release is conditional on a fencing token that is no longer valid.
    let token = store.version(&shard_key(0));
    let late = release_shard(token, &entry(&store, 2, None));
    store
        .cas(&release_shard(token, &entry(&store, 2, None)))
        .expect("the shard has a leader");
    store
        .cas(&acquire_shard(0, "h1", 8, &entry(&store, 3, Some("h1"))))
        .expect("there is no key");
    assert_eq!(store.cas(&late), None);
}

fn job() -> JobRecord {
    let spec = JobSpec {
        id: JobId::from("req-000001"),
        class: "work".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: false,
        allow_spot: true,
        image: "img".into(),
        image_gb: 1.0,
        estimated_runtime_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    };
    JobRecord {
        spec,
        submitted_at_ms: 0,
        cancel_requested: false,
        dependency_count: 0,
    }
}

fn end_job(version: u64, phase: JobPhase) -> CompareAndSwap {
    let id = job().spec.id;
    CompareAndSwap {
        conditions: vec![lemonweir_protocol::kv_store::Condition {
            key: job_key(&id),
            version,
        }],
        writes: vec![
            Write::Delete { key: job_key(&id) },
            Write::put(end_key(&id), &JobEndRecord { phase }),
        ],
    }
}

/// A submission without a response is retried at another controller, and the job ends. If
/// the first transaction is executed then, it must not create the job again.
#[test]
fn late_transactions_fail_for_an_ended_job() {
    let mut store = Store::default();
    let late = create_job(&job());
    let version = store
        .cas(&create_job(&JobRecord {
            submitted_at_ms: 5,
            ..job()
        }))
        .expect("the job doesn't exist");
    assert_eq!(store.cas(&late), None, "the job exists");
    // A cancellation and an end that were sent before the job's record changed.
    let late_cancellation = request_cancellation(&job(), version);
    let late_end = end_job(version, JobPhase::Done);
    let cancelled = store
        .cas(&request_cancellation(&job(), version))
        .expect("the job is unfinished");
    assert_eq!(
        store.cas(&late_end),
        None,
        "the job was cancelled since the end was sent"
    );
    store
        .cas(&end_job(cancelled, JobPhase::Withdrawn))
        .expect("no attempt is left");
    for cas in [late, late_cancellation, late_end] {
        assert_eq!(store.cas(&cas), None, "the job has ended");
    }
}

// ---- the cache -------------------------------------------------------------------

fn leader_set(shard: u16, host: &str, version: u64) -> Changed {
    let value = to_value(&ShardRecord { host: host.into() });
    Changed {
        set: Some(shard_key(shard)),
        drop: None,
        value: Some(value),
        version,
    }
}

fn leader_deleted(shard: u16, version: u64) -> Changed {
    Changed {
        set: None,
        drop: Some(shard_key(shard)),
        value: None,
        version,
    }
}

fn leader(host: &str, token: u64) -> ShardLeader {
    ShardLeader {
        host: host.into(),
        fencing_token: token,
    }
}

/// A peer reports a leader that the cache has not read yet, and the cache then reads older
/// changes. The shard must not appear to have an earlier leader, or none.
#[test]
fn older_changes_do_not_replace_a_reported_leader() {
    let mut cache = StateCache::default();
    cache.apply_changes(&[leader_set(0, "h0", 10)], 30, 0);
    let report = cache.apply_leader_report(0, leader("h2", 50));
    assert_eq!(report, LeaderReport::Applied);
    cache.apply_changes(&[leader_deleted(0, 35), leader_set(0, "h1", 40)], 41, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&leader("h2", 50)));
    cache.apply_changes(&[leader_deleted(0, 45)], 46, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&leader("h2", 50)));
    // Later changes are applied.
    cache.apply_changes(&[leader_set(0, "h2", 50), leader_deleted(0, 60)], 61, 0);
    assert_eq!(cache.shard_leaders.get(&0), None);
    cache.apply_changes(&[leader_set(0, "h1", 70)], 70, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&leader("h1", 70)));
}

/// The pages of a listing are of different revisions. The changes since the first page make
/// the cache consistent, and meanwhile it never shows a state older than was read.
#[test]
fn listing_pages_of_different_revisions_converge() {
    let entry = |key: String, value, version| KeyValue {
        key,
        value,
        version,
    };
    let mut cache = StateCache::default();
    cache.apply_changes(&[leader_set(0, "h0", 5), leader_set(1, "h1", 6)], 6, 0);
    // The first page is of revision 100, the one with the shards of 120: in between, shard 0
    // changed its leader twice, and shard 1 was released.
    let shards = [entry(
        shard_key(0),
        to_value(&ShardRecord { host: "h2".into() }),
        115,
    )];
    cache.load_snapshot(&shards, 100);
    assert_eq!(
        (cache.revision, cache.shard_leaders.get(&0)),
        (Some(100), Some(&leader("h2", 115)))
    );
    // The changes come in two reads, the first of which ends between the two failovers.
    cache.apply_changes(&[leader_deleted(0, 102), leader_set(0, "h1", 105)], 108, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&leader("h2", 115)));
    cache.apply_changes(
        &[
            leader_deleted(0, 110),
            leader_deleted(1, 112),
            leader_set(0, "h2", 115),
        ],
        121,
        0,
    );
    assert_eq!(
        cache.shard_leaders,
        BTreeMap::from([(0, leader("h2", 115))])
    );
    // A read that was sent before the last one doesn't lower the revision.
    cache.apply_changes(&[], 90, 0);
    assert_eq!(cache.revision, Some(121));
}
