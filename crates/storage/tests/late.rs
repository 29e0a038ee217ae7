//! Transactions that are made late, and readings that don't agree, against a plain
//! store: each order given by hand.

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
use lemonweir_storage::state_cache::ShardLeader;

#[derive(Default)]
struct Store {
    revision: u64,
    versions: BTreeMap<String, u64>,
}

impl Store {
    fn version(&self, key: &str) -> u64 {
        self.versions.get(key).copied().unwrap_or(0)
    }

    /// The revision at which it was made.
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

    /// A hold ends, with the key of the part that it held.
    fn end_hold(&mut self, shard: u16) {
        self.revision += 1;
        self.versions.remove(&shard_key(shard));
    }
}

/// The next entry of part 0, as counted from a copy that is up to date.
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

/// A taking without an answer is made again under another hold, and the part is given
/// up, or its hold ends. There is no key as there was none when the first was sent:
/// made now, it would give the part to who did not decide to have it.
#[test]
fn a_part_is_not_taken_by_a_late_transaction_once_its_key_is_gone_again() {
    for given_up in [true, false] {
        let mut store = Store::default();
        let late = acquire_shard(0, "h1", 7, &entry(&store, 1, Some("h1")));
        let token = store
            .cas(&acquire_shard(0, "h1", 8, &entry(&store, 1, Some("h1"))))
            .expect("there is no key");
        if given_up {
            store
                .cas(&release_shard(token, &entry(&store, 2, None)))
                .expect("it is held");
        } else {
            store.end_hold(0);
        }
        assert_eq!(store.version(&shard_key(0)), 0);
        assert_eq!(store.cas(&late), None, "given up: {given_up}");
    }
}

/// The same where the first one is made after all: the second fails, and its sender
/// reads that the part's key names its own host.
#[test]
fn of_two_takings_only_one_is_made() {
    let mut store = Store::default();
    let first = acquire_shard(0, "h1", 7, &entry(&store, 1, Some("h1")));
    let again = acquire_shard(0, "h1", 8, &entry(&store, 1, Some("h1")));
    assert!(store.cas(&first).is_some());
    assert_eq!(store.cas(&again), None);
    // A giving up without an answer, tried again, and then taken back: the late one
    // names a token that is no more.
    let token = store.version(&shard_key(0));
    let late = release_shard(token, &entry(&store, 2, None));
    store
        .cas(&release_shard(token, &entry(&store, 2, None)))
        .expect("it is held");
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

fn over(version: u64, phase: JobPhase) -> CompareAndSwap {
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

/// A submission without an answer, tried again at another node, done, and then made:
/// the job that is over must not come back.
#[test]
fn a_job_that_is_over_is_not_accepted_by_a_late_transaction() {
    let mut store = Store::default();
    let late = create_job(&job());
    let version = store
        .cas(&create_job(&JobRecord {
            submitted_at_ms: 5,
            ..job()
        }))
        .expect("nobody knows it");
    assert_eq!(store.cas(&late), None, "it is known");
    // A withdrawal and an end that were sent before others changed the job.
    let late_withdrawal = request_cancellation(&job(), version);
    let late_end = over(version, JobPhase::Done);
    let withdrawn = store
        .cas(&request_cancellation(&job(), version))
        .expect("it is not over");
    assert_eq!(store.cas(&late_end), None, "it was withdrawn since");
    store
        .cas(&over(withdrawn, JobPhase::Withdrawn))
        .expect("nothing of it is left");
    for cas in [late, late_withdrawal, late_end] {
        assert_eq!(store.cas(&cas), None, "it is over");
    }
}

// ---- the copy --------------------------------------------------------------------

fn held_by(shard: u16, host: &str, version: u64) -> Changed {
    let value = to_value(&ShardRecord { host: host.into() });
    Changed {
        set: Some(shard_key(shard)),
        drop: None,
        value: Some(value),
        version,
    }
}

fn gone(shard: u16, version: u64) -> Changed {
    Changed {
        set: None,
        drop: Some(shard_key(shard)),
        value: None,
        version,
    }
}

fn holder(host: &str, token: u64) -> ShardLeader {
    ShardLeader {
        host: host.into(),
        fencing_token: token,
    }
}

/// A peer tells of a holder that the copy does not know yet, and the copy then learns
/// what happened before: the part must not seem to be an earlier holder's, or nobody's.
#[test]
fn the_copy_never_goes_back_to_an_earlier_holder() {
    let mut cache = StateCache::default();
    cache.apply_changes(&[held_by(0, "h0", 10)], 30, 0);
    // As `Core::superseded` does.
    cache.shard_leaders.insert(0, holder("h2", 50));
    cache.apply_changes(&[gone(0, 35), held_by(0, "h1", 40)], 41, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&holder("h2", 50)));
    cache.apply_changes(&[gone(0, 45)], 46, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&holder("h2", 50)));
    // What comes after it counts.
    cache.apply_changes(&[held_by(0, "h2", 50), gone(0, 60)], 61, 0);
    assert_eq!(cache.shard_leaders.get(&0), None);
    cache.apply_changes(&[held_by(0, "h1", 70)], 70, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&holder("h1", 70)));
}

/// Pages of a full reading are of different moments; the changes since the first bring
/// the copy to one state, and between them nothing older is shown than was read.
#[test]
fn pages_of_different_moments_come_to_one_state() {
    let entry = |key: String, value, version| KeyValue {
        key,
        value,
        version,
    };
    let mut cache = StateCache::default();
    cache.apply_changes(&[held_by(0, "h0", 5), held_by(1, "h1", 6)], 6, 0);
    // The first page is of revision 100, that with the parts of 120: meanwhile part 0
    // changed hands twice, and part 1 was given up.
    let shards = [entry(
        shard_key(0),
        to_value(&ShardRecord { host: "h2".into() }),
        115,
    )];
    cache.load_snapshot(&shards, 100);
    assert_eq!(
        (cache.revision, cache.shard_leaders.get(&0)),
        (Some(100), Some(&holder("h2", 115)))
    );
    // Learned in two readings, the first of which ends between the two changes.
    cache.apply_changes(&[gone(0, 102), held_by(0, "h1", 105)], 108, 0);
    assert_eq!(cache.shard_leaders.get(&0), Some(&holder("h2", 115)));
    cache.apply_changes(&[gone(0, 110), gone(1, 112), held_by(0, "h2", 115)], 121, 0);
    assert_eq!(
        cache.shard_leaders,
        BTreeMap::from([(0, holder("h2", 115))])
    );
    // A reading that was asked for earlier than the last one takes nothing back.
    cache.apply_changes(&[], 90, 0);
    assert_eq!(cache.revision, Some(121));
}
