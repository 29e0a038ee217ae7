//! The leader of a shard whose jobs depend on others, with the order of events given by hand. No test uses
//! all of it.
#![allow(dead_code)]

use lemonweir_coordination::{Core, Effect, ShardLease};
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent, Write, to_value};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::create_blocked_job;
use lemonweir_storage::records::*;

use super::controllers::core_with_catalog;
use super::support::*;

pub const LEASE: ShardLease = ShardLease {
    shard: 0,
    token: TOKEN,
};

pub fn id(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

pub fn spec(n: usize, dependencies: &[usize]) -> JobSpec {
    JobSpec {
        id: id(n),
        team: "amber".into(),
        depends_on: dependencies.iter().map(|n| id(*n)).collect(),
        ..array_job(1)
    }
}

/// Controller 0 as leader of its home shard, with a cache of the store's keys that it watches.
pub struct Leader {
    pub core: Core,
    pub revision: u64,
    pub now: u64,
}

impl Leader {
    pub fn new() -> Self {
        let mut core = core_with_catalog(0);
        let leader_entry = KeyValue {
            key: shard_key(0),
            value: to_value(&ShardRecord { host: "h0".into() }),
            version: TOKEN,
        };
        core.cache.load_snapshot(&[leader_entry], 100);
        core.cache_refreshed(10, true);
        core.acquire(LEASE, &[], Vec::new(), 10);
        Self {
            core,
            revision: 100,
            now: 1_000,
        }
    }

    /// Applies a compare-and-swap to the store and the changes to the cache; returns the revision.
    pub fn commit(&mut self, cas: &CompareAndSwap) -> u64 {
        self.revision += 1;
        let version = self.revision;
        let change = |write: &Write| match write {
            Write::Put { key, value, .. } => WatchEvent {
                set: Some(key.clone()),
                drop: None,
                value: Some(value.clone()),
                version,
            },
            Write::Delete { key } => WatchEvent {
                set: None,
                drop: Some(key.clone()),
                value: None,
                version,
            },
        };
        let is_watched = |change: &WatchEvent| {
            change
                .set
                .iter()
                .chain(&change.drop)
                .all(|key| key.starts_with(WATCHED_PREFIX))
        };
        let changes: Vec<WatchEvent> = cas.writes.iter().map(change).filter(is_watched).collect();
        self.core.cache.apply_changes(&changes, version, self.now);
        self.core.cache_refreshed(self.now, true);
        version
    }

    pub fn accept(&mut self, spec: &JobSpec) -> u64 {
        let record = JobRecord {
            spec: spec.clone(),
            submitted_at_ms: 1,
            cancel_requested: false,
            dependency_count: 0,
        };
        let cas_list = if spec.depends_on.is_empty() {
            vec![create_job(&record)]
        } else {
            create_blocked_job(&record, self.core.config.cas_max_changes)
        };
        cas_list
            .iter()
            .map(|cas| self.commit(cas))
            .last()
            .expect("a compare-and-swap")
    }

    /// Deletes the key of a job, which is all that the watched keys show of its end; returns the
    /// revision.
    pub fn finish(&mut self, n: usize) -> u64 {
        self.commit(&CompareAndSwap {
            conditions: Vec::new(),
            writes: vec![Write::Delete {
                key: job_key(&id(n)),
            }],
        })
    }

    /// Cancels a job for its user, and records that final state.
    pub fn cancel(&mut self, n: usize) {
        let record = JobRecord {
            spec: spec(n, &[]),
            submitted_at_ms: 1,
            cancel_requested: true,
            dependency_count: 0,
        };
        self.commit(&CompareAndSwap {
            conditions: Vec::new(),
            writes: vec![Write::put(job_key(&id(n)), &record)],
        });
        let revision = self.finish(n);
        self.core
            .cache
            .record_end(&id(n), JobPhase::Withdrawn, revision, self.now);
    }

    /// The next compare-and-swap for blocked jobs, and the jobs whose final states must be read.
    pub fn next_work(&mut self) -> (Option<CompareAndSwap>, Vec<JobId>) {
        self.now += 1_000;
        self.core.cache_refreshed(self.now, false);
        let (mut next_work, mut reads) = (None, Vec::new());
        for effect in self.core.flush(self.now) {
            match effect {
                Effect::DependencyCompareAndSwap(cas) => next_work = Some(cas),
                Effect::ReadFinalStates(ids) => reads.extend(ids),
                _ => {}
            }
        }
        (next_work, reads)
    }
}

pub fn puts_key(cas: &CompareAndSwap, key: &str) -> bool {
    cas.writes
        .iter()
        .any(|write| matches!(write, Write::Put { key: set, .. } if set == key))
}
