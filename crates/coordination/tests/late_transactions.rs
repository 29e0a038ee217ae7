//! Transactions of a placer without an answer, made late or never, with the end of
//! the job, withdrawals and other writings between: each order given by hand against a
//! plain store, and many drawn ones.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lemonweir_coordination::placer::{
    ATTEMPT_END_WRITE_DELAY_MS, CompareAndSwapOutcome, Placer, ShardOwnership,
};
use lemonweir_model::constants::TASKS_PER_CHUNK;
use lemonweir_model::{AttemptId, JobId, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value, to_value};
use lemonweir_protocol::peer::{AttemptState, AttemptStatus, ChangeRange, ExitCause};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::{
    JobEndRecord, JobRecord, ShardRecord, TaskChunkRecord, end_key, job_key, parse_task_chunk_key,
    request_cancellation, shard_key, task_chunk_key, task_chunks_prefix,
};
use lemonweir_storage::state_cache::CachedJob;
use rmpv::Value;
use support::{ROOM, TOKEN, array, shown, terms, view};

// ---- the plain store -----------------------------------------------------------

struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
}

impl Store {
    /// Part 0 is held under [`TOKEN`].
    fn new() -> Self {
        let mut store = Store {
            revision: TOKEN - 1,
            keys: BTreeMap::new(),
        };
        store.put(shard_key(0), to_value(&ShardRecord { host: "h0".into() }));
        store
    }

    fn put(&mut self, key: String, value: Value) -> u64 {
        self.revision += 1;
        self.keys.insert(key, (value, self.revision));
        self.revision
    }

    fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |k| k.1)
    }

    fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|k| &k.0)
    }

    fn ended(&self, id: &JobId) -> Option<JobPhase> {
        self.value(&end_key(id))
            .and_then(from_value::<JobEndRecord>)
            .map(|e| e.phase)
    }

    fn cas(&mut self, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        assert!(
            cas.writes.len() <= terms().max_cas_operations
                && cas.conditions.len() <= 4 * terms().max_cas_operations,
            "more than a compare-and-swap may hold"
        );
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
        for write in &cas.writes {
            match write {
                Write::Put { key, value, .. } => drop(
                    self.keys
                        .insert(key.clone(), (value.clone(), self.revision)),
                ),
                Write::Delete { key } => drop(self.keys.remove(key)),
            }
        }
        CompareAndSwapOutcome::Committed(self.revision)
    }

    fn makes(&mut self, cas: &CompareAndSwap) -> bool {
        matches!(self.cas(cas), CompareAndSwapOutcome::Committed(_))
    }

    /// Jobs of the records of tasks.
    fn recorded(&self) -> BTreeSet<JobId> {
        self.keys
            .keys()
            .filter(|k| k.starts_with(&task_chunks_prefix(0)))
            .filter_map(|k| parse_task_chunk_key(k))
            .map(|(job, _)| job)
            .collect()
    }

    fn live(&self, id: &AttemptId) -> bool {
        let record = self
            .value(&task_chunk_key(0, &id.job, id.task / TASKS_PER_CHUNK))
            .and_then(from_value::<TaskChunkRecord>);
        record.is_some_and(|r| {
            r.live_attempts
                .iter()
                .any(|l| (l.task, l.attempt) == (id.task, id.attempt))
        })
    }
}

// ---- a placer --------------------------------------------------------------------

struct Cluster {
    store: Store,
    placer: Placer,
    now: u64,
    /// What the owner was told last and is not to be stopped.
    wanted: BTreeSet<AttemptId>,
    /// All that the owner was told last.
    told: BTreeSet<AttemptId>,
}

impl Cluster {
    fn new() -> Self {
        let placer = Placer::new(0, TOKEN, 1, terms(), 0);
        let mut cluster = Cluster {
            store: Store::new(),
            placer,
            now: 100,
            wanted: BTreeSet::new(),
            told: BTreeSet::new(),
        };
        cluster.sync(&[]);
        cluster
    }

    fn submit(&mut self, spec: &JobSpec) {
        self.store.put(
            job_key(&spec.id),
            to_value(&JobRecord {
                spec: spec.clone(),
                submitted_at_ms: 0,
                cancel_requested: false,
                dependency_count: 0,
            }),
        );
        self.copy(&spec.id);
    }

    /// The copy of the followed keys shows how a job stands.
    fn copy(&mut self, id: &JobId) {
        let job = self
            .store
            .value(&job_key(id))
            .and_then(from_value::<JobRecord>);
        let job = job.map(|record| CachedJob {
            record: Arc::new(record),
            version: self.store.version(&job_key(id)),
        });
        self.placer.apply_job(id, job.as_ref(), self.now);
    }

    fn withdraw(&mut self, id: &JobId) {
        let Some(record) = self
            .store
            .value(&job_key(id))
            .and_then(from_value::<JobRecord>)
            .filter(|r| !r.cancel_requested)
        else {
            return;
        };
        let version = self.store.version(&job_key(id));
        assert!(self.store.makes(&request_cancellation(&record, version)));
    }

    /// The owner of four machines is told what is wanted, and tells this.
    fn sync(&mut self, attempts: &[(AttemptId, AttemptState)]) {
        let sync = self.placer.sync_request(0, TOKEN, ROOM, false, self.now);
        assert!(
            sync.range.since == 0 && sync.range.complete,
            "all is told anew each time"
        );
        self.told = sync.desired.iter().map(|w| w.id.clone()).collect();
        self.wanted = sync
            .desired
            .iter()
            .filter(|w| w.stop_grace_s.is_none())
            .map(|w| w.id.clone())
            .collect();
        let attempts: Vec<AttemptStatus> = attempts
            .iter()
            .map(|(id, standing)| AttemptStatus {
                id: id.clone(),
                state: *standing,
            })
            .collect();
        let machines: Vec<_> = (0..4).map(|n| shown(n, 4)).collect();
        self.placer.apply_view(
            view(
                sync.seq,
                ChangeRange {
                    since: 0,
                    until: 1,
                    complete: true,
                },
                machines,
                attempts,
            ),
            self.now,
        );
    }

    fn place(&mut self) {
        self.now += 100;
        self.placer.run_placement_pass(self.now);
    }

    /// The next compare-and-swap, after so many ms.
    fn next(&mut self, after_ms: u64) -> Option<CompareAndSwap> {
        self.now += after_ms;
        self.placer.next_cas(self.now)
    }

    /// A compare-and-swap ends as the process is told; keys that met other versions are read.
    fn end(&mut self, outcome: CompareAndSwapOutcome) -> Vec<(JobId, JobPhase)> {
        if let CompareAndSwapOutcome::Conflict(keys) = &outcome {
            for key in keys {
                if let Some((job, chunk)) = parse_task_chunk_key(key) {
                    self.placer
                        .apply_reread_version(&job, chunk, self.store.version(key));
                }
            }
        }
        let (verdict, ends) = self.placer.apply_cas_outcome(outcome, self.now);
        assert_eq!(verdict, ShardOwnership::Held);
        ends
    }

    /// Writes all that is due.
    fn write(&mut self) {
        while let Some(cas) = self.next(ATTEMPT_END_WRITE_DELAY_MS + 1) {
            let outcome = self.store.cas(&cas);
            self.end(outcome);
        }
    }
}

fn attempt(job: &JobId, task: u32, attempt: u32) -> AttemptId {
    AttemptId {
        job: job.clone(),
        task,
        attempt,
    }
}

/// A start without an answer, never made so far; its job is withdrawn and ends; then
/// the start is made. The shard is the same leader's and there is no record, as when it
/// was sent: it would bring back an attempt of a job that is over, which a successor
/// would count until its machine has proven that it is not there.
#[test]
fn late_start_of_a_withdrawn_job_is_not_recorded() {
    let mut cluster = Cluster::new();
    let spec = array(2);
    cluster.submit(&spec);
    cluster.place();
    let late = cluster.next(1).expect("two starts");
    cluster.end(CompareAndSwapOutcome::Indeterminate);
    cluster.withdraw(&spec.id);
    cluster.copy(&spec.id);
    let cas = cluster.next(1).expect("its end");
    let outcome = cluster.store.cas(&cas);
    assert_eq!(
        cluster.end(outcome),
        vec![(spec.id.clone(), JobPhase::Withdrawn)]
    );
    cluster.write();
    assert_eq!(cluster.placer.known_jobs().count(), 0);
    assert!(!cluster.store.makes(&late));
    assert!(cluster.store.recorded().is_empty());
}

/// The same start, tried again and made; the job runs, is done, and its record is
/// removed; then the first one is made.
#[test]
fn late_start_of_a_completed_job_is_not_recorded() {
    let mut cluster = Cluster::new();
    let spec = array(1);
    cluster.submit(&spec);
    cluster.place();
    let late = cluster.next(1).expect("a start");
    cluster.end(CompareAndSwapOutcome::Indeterminate);
    let again = cluster.next(1).expect("the start again");
    assert_eq!(late, again);
    let outcome = cluster.store.cas(&again);
    cluster.end(outcome);
    cluster.sync(&[]);
    assert_eq!(cluster.wanted, BTreeSet::from([attempt(&spec.id, 0, 1)]));
    cluster.sync(&[(
        attempt(&spec.id, 0, 1),
        AttemptState::Exited(ExitCause::Done),
    )]);
    cluster.write();
    cluster.copy(&spec.id);
    cluster.write();
    assert_eq!(cluster.store.ended(&spec.id), Some(JobPhase::Done));
    assert!(cluster.store.recorded().is_empty() && cluster.placer.known_jobs().count() == 0);
    assert!(!cluster.store.makes(&late));
    assert!(cluster.store.recorded().is_empty());
}

/// The start is made, but its answer is lost; its job is withdrawn and ends before it
/// is tried again. The placer remembers no record, and there is one: it asks before it
/// forgets the job. What can't be asked yet is asked again.
#[test]
fn start_with_lost_answer_leaves_no_record() {
    for made_late in [false, true] {
        let mut cluster = Cluster::new();
        let spec = array(2);
        cluster.submit(&spec);
        cluster.place();
        let start = cluster.next(1).expect("two starts");
        if !made_late {
            assert!(cluster.store.makes(&start));
        }
        cluster.end(CompareAndSwapOutcome::Indeterminate);
        cluster.withdraw(&spec.id);
        cluster.copy(&spec.id);
        if made_late {
            assert!(!cluster.store.makes(&start), "its job was withdrawn since");
        }
        let cas = cluster.next(1).expect("its end");
        let outcome = cluster.store.cas(&cas);
        cluster.end(outcome);
        cluster.copy(&spec.id);
        let asked = cluster
            .next(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("whether there is a record");
        assert!(asked.writes.is_empty());
        cluster.end(CompareAndSwapOutcome::Indeterminate);
        assert_eq!(
            cluster.placer.known_jobs().count(),
            1,
            "no answer tells nothing"
        );
        cluster.write();
        assert!(cluster.store.recorded().is_empty());
        assert_eq!(cluster.placer.known_jobs().count(), 0);
    }
}

/// A start of a job whose withdrawal the copy does not show yet is refused, once: other
/// starts go on, and the job ends when the copy shows it.
#[test]
fn start_conflicting_with_a_withdrawal_does_not_block_others() {
    let mut cluster = Cluster::new();
    let first = array(1);
    let second = JobSpec {
        id: JobId::from("req-000002"),
        ..array(1)
    };
    cluster.submit(&first);
    cluster.submit(&second);
    cluster.place();
    cluster.withdraw(&first.id);
    let cas = cluster.next(1).expect("two starts");
    assert_eq!(cas.writes.len(), 2);
    let outcome = cluster.store.cas(&cas);
    assert!(
        matches!(&outcome, CompareAndSwapOutcome::Conflict(keys) if *keys == vec![job_key(&first.id)]),
        "{outcome:?}"
    );
    cluster.end(outcome);
    let cas = cluster.next(1).expect("the other's start");
    assert_eq!(cas.writes.len(), 1);
    let outcome = cluster.store.cas(&cas);
    cluster.end(outcome);
    assert!(
        cluster.next(ATTEMPT_END_WRITE_DELAY_MS + 1).is_none(),
        "what would be refused again"
    );
    cluster.sync(&[]);
    assert_eq!(cluster.wanted, BTreeSet::from([attempt(&second.id, 0, 1)]));
    cluster.copy(&first.id);
    cluster.write();
    assert_eq!(cluster.store.ended(&first.id), Some(JobPhase::Withdrawn));
    assert_eq!(cluster.store.recorded(), BTreeSet::from([second.id]));
}

/// The end of a task without an answer, made between the reading of one key and the
/// next, or after both: what is remembered of the versions is never more than a
/// condition, which then fails.
#[test]
fn write_committed_between_two_reads_is_overwritten() {
    for between in [true, false] {
        let mut cluster = Cluster::new();
        let spec = array(2 * u64::from(TASKS_PER_CHUNK));
        cluster.submit(&spec);
        cluster.place();
        cluster.write();
        cluster.sync(&[]);
        let all: Vec<AttemptId> = cluster.wanted.iter().cloned().collect();
        assert!(all.len() > 2);
        cluster.sync(&[(all[0].clone(), AttemptState::Exited(ExitCause::Done))]);
        let late = cluster
            .next(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("an end");
        cluster.end(CompareAndSwapOutcome::Indeterminate);
        cluster.sync(&[
            (all[0].clone(), AttemptState::Exited(ExitCause::Done)),
            (all[1].clone(), AttemptState::Exited(ExitCause::Done)),
        ]);
        let cas = cluster
            .next(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("two ends");
        let key = task_chunk_key(0, &spec.id, 0);
        let read = cluster.store.version(&key);
        // Another key's conflict made the process read this one too; the late one
        // comes before or after.
        if between {
            assert!(cluster.store.makes(&late));
            let outcome = cluster.store.cas(&cas);
            assert!(matches!(outcome, CompareAndSwapOutcome::Conflict(_)));
            cluster.placer.apply_reread_version(&spec.id, 0, read);
            cluster.placer.apply_cas_outcome(outcome, cluster.now);
        } else {
            let outcome = cluster.store.cas(&cas);
            cluster.end(outcome);
            assert!(!cluster.store.makes(&late), "its version is no more");
        }
        cluster.write();
        let record = cluster
            .store
            .value(&key)
            .and_then(from_value::<TaskChunkRecord>)
            .expect("a record");
        assert_eq!(record.done_ranges, vec![(0, 1)], "between: {between}");
    }
}

/// An owner's answer to an earlier leader of the placer's shard comes late, through the
/// store, between the present leader's messages and their answers: it tells of states
/// that this one was never told of, and acknowledges what it never said.
#[test]
fn late_view_for_an_earlier_leader_is_rejected() {
    let mut earlier = Placer::new(0, TOKEN, 1, terms(), 0);
    let seq = (0..3)
        .map(|_| earlier.sync_request(0, TOKEN, ROOM, false, 0).seq)
        .last()
        .expect("some");
    let late = view(
        seq,
        ChangeRange {
            since: 0,
            until: 4,
            complete: true,
        },
        vec![shown(0, 4)],
        Vec::new(),
    );
    let mut placer = Placer::new(0, TOKEN + 1, 1, terms(), 0);
    let first = placer.sync_request(0, TOKEN, ROOM, false, 0).seq;
    for _ in 0..5 {
        placer.sync_request(0, TOKEN, ROOM, false, 0);
    }
    assert!(!placer.apply_view(late, 100));
    assert_eq!(
        placer
            .sync_request(0, TOKEN, ROOM, false, 0)
            .observed
            .machines_revision,
        0
    );
    let answer = view(
        first,
        ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        },
        vec![shown(0, 4)],
        Vec::new(),
    );
    assert!(placer.apply_view(answer, 200), "its own is");
}

// ---- drawn nights ------------------------------------------------------------------

struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

/// Many orders: whatever is answered, lost, refused or made late, no owner is told of
/// an attempt that the store does not hold, an end that was written stays, and of a
/// job that is over nothing is left or comes back.
#[test]
fn in_memory_state_never_runs_ahead_of_the_store() {
    let (mut late_made, mut over) = (0, 0);
    for seed in 1..=120 {
        let mut random = Draw(0x9E37_79B9_7F4A_7C15 ^ seed << 20);
        let mut cluster = Cluster::new();
        let mut late: Vec<CompareAndSwap> = Vec::new();
        let mut ends: BTreeMap<JobId, JobPhase> = BTreeMap::new();
        let specs: Vec<JobSpec> = (1..=4)
            .map(|n| JobSpec {
                id: JobId::from(format!("req-{n:06}").as_str()),
                ..array(1 + random.below(70))
            })
            .collect();
        for spec in &specs {
            cluster.submit(spec);
        }
        // Ends of attempts, so that none is told twice in different ways.
        let mut standing: BTreeMap<AttemptId, AttemptState> = BTreeMap::new();
        for step in 0..800 {
            let calm = step >= 500;
            cluster.now += random.below(400);
            match random.below(9) {
                0 => cluster.placer.run_placement_pass(cluster.now),
                1..=3 => {
                    let Some(cas) = cluster.next(random.below(ATTEMPT_END_WRITE_DELAY_MS)) else {
                        continue;
                    };
                    let outcome = match random.below(if calm { 1 } else { 5 }) {
                        0 | 1 => cluster.store.cas(&cas),
                        2 => {
                            cluster.store.cas(&cas);
                            CompareAndSwapOutcome::Indeterminate
                        }
                        3 => {
                            late.push(cas);
                            CompareAndSwapOutcome::Indeterminate
                        }
                        _ => CompareAndSwapOutcome::Indeterminate,
                    };
                    // A late one may be made while the keys are read.
                    if matches!(outcome, CompareAndSwapOutcome::Conflict(_))
                        && !late.is_empty()
                        && random.below(2) == 0
                    {
                        let cas = late.remove(random.below(late.len() as u64) as usize);
                        late_made += usize::from(cluster.store.makes(&cas));
                    }
                    for (id, phase) in cluster.end(outcome) {
                        assert_eq!(
                            ends.insert(id.clone(), phase),
                            None,
                            "seed {seed}: {id} ends once"
                        );
                    }
                }
                4 if !late.is_empty() => {
                    let cas = late.remove(random.below(late.len() as u64) as usize);
                    late_made += usize::from(cluster.store.makes(&cas));
                }
                5 => specs.iter().for_each(|spec| cluster.copy(&spec.id)),
                6 if random.below(20) == 0 || step == 520 => {
                    cluster.withdraw(&specs[random.below(4) as usize].id.clone());
                }
                _ => {
                    let now: Vec<(AttemptId, AttemptState)> =
                        standing.iter().map(|(id, s)| (id.clone(), *s)).collect();
                    cluster.sync(&now);
                    for id in &cluster.wanted {
                        assert!(
                            cluster.store.live(id)
                                || standing.get(id).is_some_and(|s| s.is_terminal()),
                            "seed {seed}: {id} is not recorded"
                        );
                    }
                    for id in cluster.told.clone() {
                        let end = if cluster.wanted.contains(&id) {
                            AttemptState::Exited(ExitCause::Done)
                        } else {
                            AttemptState::Gone
                        };
                        let next = if random.below(3) == 0 {
                            end
                        } else {
                            AttemptState::Running
                        };
                        let before = standing.get(&id).copied();
                        if before.is_none_or(|s| !s.is_terminal()) {
                            standing.insert(id, next);
                        }
                    }
                    standing.retain(|id, _| cluster.told.contains(id));
                }
            }
        }
        for spec in &specs {
            cluster.withdraw(&spec.id);
        }
        for _ in 0..20 {
            specs.iter().for_each(|spec| cluster.copy(&spec.id));
            let gone: Vec<(AttemptId, AttemptState)> = cluster
                .told
                .iter()
                .map(|id| {
                    (
                        id.clone(),
                        standing
                            .get(id)
                            .copied()
                            .filter(|s| s.is_terminal())
                            .unwrap_or(AttemptState::Gone),
                    )
                })
                .collect();
            cluster.sync(&gone);
            cluster.write();
        }
        for cas in late {
            late_made += usize::from(cluster.store.makes(&cas));
        }
        over += specs
            .iter()
            .filter(|spec| cluster.store.version(&end_key(&spec.id)) > 0)
            .count();
        for spec in &specs {
            assert!(
                cluster.store.version(&end_key(&spec.id)) > 0,
                "seed {seed}: {} is over",
                spec.id
            );
        }
        assert!(
            cluster.store.recorded().is_empty(),
            "seed {seed}: {:?} came back",
            cluster.store.recorded()
        );
        for (id, phase) in &ends {
            assert_eq!(cluster.store.ended(id), Some(*phase), "seed {seed}");
        }
    }
    assert!(late_made > 20 && over == 480, "{late_made} {over}");
}
