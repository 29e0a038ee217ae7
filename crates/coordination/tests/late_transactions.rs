//! Compare-and-swaps of a placer that get no answer and commit late or never, while the job ends,
//! is withdrawn or is written otherwise in between: scripted orders and random histories against a
//! model of the store.

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
use support::{MAX_MESSAGE_BYTES, TOKEN, array_job, machine_view, placer_config, shard_view};

// ---- the store -----------------------------------------------------------

struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
}

impl Store {
    /// A store in which shard 0 is led under [`TOKEN`].
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

    fn recorded_end(&self, id: &JobId) -> Option<JobPhase> {
        self.value(&end_key(id))
            .and_then(from_value::<JobEndRecord>)
            .map(|e| e.phase)
    }

    fn cas(&mut self, cas: &CompareAndSwap) -> CompareAndSwapOutcome {
        assert!(
            cas.writes.len() <= placer_config().max_cas_operations
                && cas.conditions.len() <= 4 * placer_config().max_cas_operations,
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

    /// Carries out a compare-and-swap; true if it committed.
    fn commits(&mut self, cas: &CompareAndSwap) -> bool {
        matches!(self.cas(cas), CompareAndSwapOutcome::Committed(_))
    }

    /// Jobs that have task chunk records.
    fn jobs_with_records(&self) -> BTreeSet<JobId> {
        self.keys
            .keys()
            .filter(|k| k.starts_with(&task_chunks_prefix(0)))
            .filter_map(|k| parse_task_chunk_key(k))
            .map(|(job, _)| job)
            .collect()
    }

    /// Whether the store records the attempt as live.
    fn is_recorded_live(&self, id: &AttemptId) -> bool {
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
    /// Attempts of the last sync that are not to be stopped.
    desired: BTreeSet<AttemptId>,
    /// All attempts of the last sync.
    sent: BTreeSet<AttemptId>,
}

impl Cluster {
    fn new() -> Self {
        let placer = Placer::new(0, TOKEN, 1, placer_config(), 0);
        let mut cluster = Cluster {
            store: Store::new(),
            placer,
            now: 100,
            desired: BTreeSet::new(),
            sent: BTreeSet::new(),
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
        self.refresh_job(&spec.id);
    }

    /// Shows the placer the current record of a job, as its copy of the store does.
    fn refresh_job(&mut self, id: &JobId) {
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

    fn cancel(&mut self, id: &JobId) {
        let Some(record) = self
            .store
            .value(&job_key(id))
            .and_then(from_value::<JobRecord>)
            .filter(|r| !r.cancel_requested)
        else {
            return;
        };
        let version = self.store.version(&job_key(id));
        assert!(self.store.commits(&request_cancellation(&record, version)));
    }

    /// Sends a sync to the owner of four machines, which answers with these attempt states.
    fn sync(&mut self, attempts: &[(AttemptId, AttemptState)]) {
        let sync = self
            .placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, self.now);
        assert!(
            sync.range.since == 0 && sync.range.complete,
            "each sync is complete"
        );
        self.sent = sync.desired.iter().map(|w| w.id.clone()).collect();
        self.desired = sync
            .desired
            .iter()
            .filter(|w| w.stop_grace_s.is_none())
            .map(|w| w.id.clone())
            .collect();
        let attempts: Vec<AttemptStatus> = attempts
            .iter()
            .map(|(id, state)| AttemptStatus {
                id: id.clone(),
                state: *state,
            })
            .collect();
        let machines: Vec<_> = (0..4).map(|n| machine_view(n, 4)).collect();
        self.placer.apply_view(
            shard_view(
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

    fn run_placement(&mut self) {
        self.now += 100;
        self.placer.run_placement_pass(self.now);
    }

    /// The next compare-and-swap that is due `after_ms` later.
    fn next_cas(&mut self, after_ms: u64) -> Option<CompareAndSwap> {
        self.now += after_ms;
        self.placer.next_cas(self.now)
    }

    /// Gives the placer the outcome of a compare-and-swap, after rereading the versions of keys in
    /// conflict.
    fn complete_cas(&mut self, outcome: CompareAndSwapOutcome) -> Vec<(JobId, JobPhase)> {
        if let CompareAndSwapOutcome::Conflict(keys) = &outcome {
            for key in keys {
                if let Some((job, chunk)) = parse_task_chunk_key(key) {
                    self.placer
                        .apply_reread_version(&job, chunk, self.store.version(key));
                }
            }
        }
        let (ownership, ends) = self.placer.apply_cas_outcome(outcome, self.now);
        assert_eq!(ownership, ShardOwnership::Held);
        ends
    }

    /// Writes everything that is due.
    fn write_all(&mut self) {
        while let Some(cas) = self.next_cas(ATTEMPT_END_WRITE_DELAY_MS + 1) {
            let outcome = self.store.cas(&cas);
            self.complete_cas(outcome);
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

/// A start gets no answer and is delayed; its job is withdrawn and ends before the start reaches
/// the store. The shard has the same leader and the record is absent, as when the start was sent.
/// If it committed, it would record an attempt of an ended job, which a later leader would count
/// as live until the machine proves it absent.
#[test]
fn late_start_of_a_withdrawn_job_is_not_recorded() {
    let mut cluster = Cluster::new();
    let spec = array_job(2);
    cluster.submit(&spec);
    cluster.run_placement();
    let late = cluster.next_cas(1).expect("two starts");
    cluster.complete_cas(CompareAndSwapOutcome::Indeterminate);
    cluster.cancel(&spec.id);
    cluster.refresh_job(&spec.id);
    let cas = cluster.next_cas(1).expect("its end");
    let outcome = cluster.store.cas(&cas);
    assert_eq!(
        cluster.complete_cas(outcome),
        vec![(spec.id.clone(), JobPhase::Withdrawn)]
    );
    cluster.write_all();
    assert_eq!(cluster.placer.known_jobs().count(), 0);
    assert!(!cluster.store.commits(&late));
    assert!(cluster.store.jobs_with_records().is_empty());
}

/// A start gets no answer and its retry commits; the job runs, is done, and its record is deleted.
/// Then the first start reaches the store, and must not commit.
#[test]
fn late_start_of_a_completed_job_is_not_recorded() {
    let mut cluster = Cluster::new();
    let spec = array_job(1);
    cluster.submit(&spec);
    cluster.run_placement();
    let late = cluster.next_cas(1).expect("a start");
    cluster.complete_cas(CompareAndSwapOutcome::Indeterminate);
    let again = cluster.next_cas(1).expect("the start again");
    assert_eq!(late, again);
    let outcome = cluster.store.cas(&again);
    cluster.complete_cas(outcome);
    cluster.sync(&[]);
    assert_eq!(cluster.desired, BTreeSet::from([attempt(&spec.id, 0, 1)]));
    cluster.sync(&[(
        attempt(&spec.id, 0, 1),
        AttemptState::Exited(ExitCause::Done),
    )]);
    cluster.write_all();
    cluster.refresh_job(&spec.id);
    cluster.write_all();
    assert_eq!(cluster.store.recorded_end(&spec.id), Some(JobPhase::Done));
    assert!(
        cluster.store.jobs_with_records().is_empty() && cluster.placer.known_jobs().count() == 0
    );
    assert!(!cluster.store.commits(&late));
    assert!(cluster.store.jobs_with_records().is_empty());
}

/// A start commits but its answer is lost; its job is withdrawn and ends before the retry. The
/// placer knows of no record although there is one, so it checks for a record before it forgets the
/// job, and repeats a check that got no answer.
#[test]
fn start_with_lost_answer_leaves_no_record() {
    for arrives_late in [false, true] {
        let mut cluster = Cluster::new();
        let spec = array_job(2);
        cluster.submit(&spec);
        cluster.run_placement();
        let start = cluster.next_cas(1).expect("two starts");
        if !arrives_late {
            assert!(cluster.store.commits(&start));
        }
        cluster.complete_cas(CompareAndSwapOutcome::Indeterminate);
        cluster.cancel(&spec.id);
        cluster.refresh_job(&spec.id);
        if arrives_late {
            assert!(
                !cluster.store.commits(&start),
                "its job was withdrawn since"
            );
        }
        let cas = cluster.next_cas(1).expect("its end");
        let outcome = cluster.store.cas(&cas);
        cluster.complete_cas(outcome);
        cluster.refresh_job(&spec.id);
        let check = cluster
            .next_cas(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("a check for the record");
        assert!(check.writes.is_empty());
        cluster.complete_cas(CompareAndSwapOutcome::Indeterminate);
        assert_eq!(
            cluster.placer.known_jobs().count(),
            1,
            "a check without an answer proves nothing"
        );
        cluster.write_all();
        assert!(cluster.store.jobs_with_records().is_empty());
        assert_eq!(cluster.placer.known_jobs().count(), 0);
    }
}

/// A start conflicts with a withdrawal that the placer's copy of the store does not show yet. It is
/// tried once; other starts go on, and the job ends when the copy shows the withdrawal.
#[test]
fn start_conflicting_with_a_withdrawal_does_not_block_others() {
    let mut cluster = Cluster::new();
    let first = array_job(1);
    let second = JobSpec {
        id: JobId::from("req-000002"),
        ..array_job(1)
    };
    cluster.submit(&first);
    cluster.submit(&second);
    cluster.run_placement();
    cluster.cancel(&first.id);
    let cas = cluster.next_cas(1).expect("two starts");
    assert_eq!(cas.writes.len(), 2);
    let outcome = cluster.store.cas(&cas);
    assert!(
        matches!(&outcome, CompareAndSwapOutcome::Conflict(keys) if *keys == vec![job_key(&first.id)]),
        "{outcome:?}"
    );
    cluster.complete_cas(outcome);
    let cas = cluster.next_cas(1).expect("the start of the other job");
    assert_eq!(cas.writes.len(), 1);
    let outcome = cluster.store.cas(&cas);
    cluster.complete_cas(outcome);
    assert!(
        cluster.next_cas(ATTEMPT_END_WRITE_DELAY_MS + 1).is_none(),
        "the conflicting start is not retried"
    );
    cluster.sync(&[]);
    assert_eq!(cluster.desired, BTreeSet::from([attempt(&second.id, 0, 1)]));
    cluster.refresh_job(&first.id);
    cluster.write_all();
    assert_eq!(
        cluster.store.recorded_end(&first.id),
        Some(JobPhase::Withdrawn)
    );
    assert_eq!(
        cluster.store.jobs_with_records(),
        BTreeSet::from([second.id])
    );
}

/// The write of a task's end gets no answer, and commits between the reads of two keys or arrives
/// after both. The placer uses a version that it read only as a condition, which then fails, so no
/// end is lost.
#[test]
fn write_committed_between_two_reads_is_overwritten() {
    for during_read in [true, false] {
        let mut cluster = Cluster::new();
        let spec = array_job(2 * u64::from(TASKS_PER_CHUNK));
        cluster.submit(&spec);
        cluster.run_placement();
        cluster.write_all();
        cluster.sync(&[]);
        let all: Vec<AttemptId> = cluster.desired.iter().cloned().collect();
        assert!(all.len() > 2);
        cluster.sync(&[(all[0].clone(), AttemptState::Exited(ExitCause::Done))]);
        let late = cluster
            .next_cas(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("an end");
        cluster.complete_cas(CompareAndSwapOutcome::Indeterminate);
        cluster.sync(&[
            (all[0].clone(), AttemptState::Exited(ExitCause::Done)),
            (all[1].clone(), AttemptState::Exited(ExitCause::Done)),
        ]);
        let cas = cluster
            .next_cas(ATTEMPT_END_WRITE_DELAY_MS + 1)
            .expect("two ends");
        let key = task_chunk_key(0, &spec.id, 0);
        let read = cluster.store.version(&key);
        // A conflict on another key made the process reread this one too; the late write arrives
        // before or after the retry.
        if during_read {
            assert!(cluster.store.commits(&late));
            let outcome = cluster.store.cas(&cas);
            assert!(matches!(outcome, CompareAndSwapOutcome::Conflict(_)));
            cluster.placer.apply_reread_version(&spec.id, 0, read);
            cluster.placer.apply_cas_outcome(outcome, cluster.now);
        } else {
            let outcome = cluster.store.cas(&cas);
            cluster.complete_cas(outcome);
            assert!(
                !cluster.store.commits(&late),
                "the version it is conditional on is outdated"
            );
        }
        cluster.write_all();
        let record = cluster
            .store
            .value(&key)
            .and_then(from_value::<TaskChunkRecord>)
            .expect("a record");
        assert_eq!(
            record.done_ranges,
            vec![(0, 1)],
            "during the read: {during_read}"
        );
    }
}

/// An owner's view for an earlier leader of the placer's shard arrives late, through the store,
/// between the current leader's syncs and their answers. It carries changes that were never sent to
/// the current leader and acknowledges messages that it never sent, so it is rejected.
#[test]
fn late_view_for_an_earlier_leader_is_rejected() {
    let mut earlier = Placer::new(0, TOKEN, 1, placer_config(), 0);
    let seq = (0..3)
        .map(|_| {
            earlier
                .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
                .seq
        })
        .last()
        .expect("three syncs");
    let late = shard_view(
        seq,
        ChangeRange {
            since: 0,
            until: 4,
            complete: true,
        },
        vec![machine_view(0, 4)],
        Vec::new(),
    );
    let mut placer = Placer::new(0, TOKEN + 1, 1, placer_config(), 0);
    let first = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
        .seq;
    for _ in 0..5 {
        placer.sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0);
    }
    assert!(!placer.apply_view(late, 100));
    assert_eq!(
        placer
            .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
            .observed
            .machines_revision,
        0
    );
    let answer = shard_view(
        first,
        ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        },
        vec![machine_view(0, 4)],
        Vec::new(),
    );
    assert!(
        placer.apply_view(answer, 200),
        "the answer to its own sync is applied"
    );
}

// ---- random histories ------------------------------------------------------------------

/// Deterministic xorshift generator.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

/// However compare-and-swaps are answered, lost, refused or late: no attempt is sent to an owner
/// before the store records it, an end that was written stays, and no record of an ended job
/// remains or comes back.
#[test]
fn in_memory_state_never_runs_ahead_of_the_store() {
    let (mut late_commits, mut ended_jobs) = (0, 0);
    for seed in 1..=120 {
        let mut random = Random(0x9E37_79B9_7F4A_7C15 ^ seed << 20);
        let mut cluster = Cluster::new();
        let mut late: Vec<CompareAndSwap> = Vec::new();
        let mut ends: BTreeMap<JobId, JobPhase> = BTreeMap::new();
        let specs: Vec<JobSpec> = (1..=4)
            .map(|n| JobSpec {
                id: JobId::from(format!("req-{n:06}").as_str()),
                ..array_job(1 + random.below(70))
            })
            .collect();
        for spec in &specs {
            cluster.submit(spec);
        }
        // States reported so far, so that no attempt is reported with two different ends.
        let mut attempt_states: BTreeMap<AttemptId, AttemptState> = BTreeMap::new();
        for step in 0..800 {
            let faults_over = step >= 500;
            cluster.now += random.below(400);
            match random.below(9) {
                0 => cluster.placer.run_placement_pass(cluster.now),
                1..=3 => {
                    let Some(cas) = cluster.next_cas(random.below(ATTEMPT_END_WRITE_DELAY_MS))
                    else {
                        continue;
                    };
                    let outcome = match random.below(if faults_over { 1 } else { 5 }) {
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
                    // A late compare-and-swap may commit while the keys are reread.
                    if matches!(outcome, CompareAndSwapOutcome::Conflict(_))
                        && !late.is_empty()
                        && random.below(2) == 0
                    {
                        let cas = late.remove(random.below(late.len() as u64) as usize);
                        late_commits += usize::from(cluster.store.commits(&cas));
                    }
                    for (id, phase) in cluster.complete_cas(outcome) {
                        assert_eq!(
                            ends.insert(id.clone(), phase),
                            None,
                            "seed {seed}: {id} ended more than once"
                        );
                    }
                }
                4 if !late.is_empty() => {
                    let cas = late.remove(random.below(late.len() as u64) as usize);
                    late_commits += usize::from(cluster.store.commits(&cas));
                }
                5 => specs.iter().for_each(|spec| cluster.refresh_job(&spec.id)),
                6 if random.below(20) == 0 || step == 520 => {
                    cluster.cancel(&specs[random.below(4) as usize].id.clone());
                }
                _ => {
                    let now: Vec<(AttemptId, AttemptState)> = attempt_states
                        .iter()
                        .map(|(id, s)| (id.clone(), *s))
                        .collect();
                    cluster.sync(&now);
                    for id in &cluster.desired {
                        assert!(
                            cluster.store.is_recorded_live(id)
                                || attempt_states.get(id).is_some_and(|s| s.is_terminal()),
                            "seed {seed}: {id} is not recorded"
                        );
                    }
                    for id in cluster.sent.clone() {
                        let end = if cluster.desired.contains(&id) {
                            AttemptState::Exited(ExitCause::Done)
                        } else {
                            AttemptState::Gone
                        };
                        let next = if random.below(3) == 0 {
                            end
                        } else {
                            AttemptState::Running
                        };
                        let before = attempt_states.get(&id).copied();
                        if before.is_none_or(|s| !s.is_terminal()) {
                            attempt_states.insert(id, next);
                        }
                    }
                    attempt_states.retain(|id, _| cluster.sent.contains(id));
                }
            }
        }
        for spec in &specs {
            cluster.cancel(&spec.id);
        }
        for _ in 0..20 {
            specs.iter().for_each(|spec| cluster.refresh_job(&spec.id));
            let gone: Vec<(AttemptId, AttemptState)> = cluster
                .sent
                .iter()
                .map(|id| {
                    (
                        id.clone(),
                        attempt_states
                            .get(id)
                            .copied()
                            .filter(|s| s.is_terminal())
                            .unwrap_or(AttemptState::Gone),
                    )
                })
                .collect();
            cluster.sync(&gone);
            cluster.write_all();
        }
        for cas in late {
            late_commits += usize::from(cluster.store.commits(&cas));
        }
        ended_jobs += specs
            .iter()
            .filter(|spec| cluster.store.version(&end_key(&spec.id)) > 0)
            .count();
        for spec in &specs {
            assert!(
                cluster.store.version(&end_key(&spec.id)) > 0,
                "seed {seed}: {} has not ended",
                spec.id
            );
        }
        assert!(
            cluster.store.jobs_with_records().is_empty(),
            "seed {seed}: ended jobs {:?} still have records",
            cluster.store.jobs_with_records()
        );
        for (id, phase) in &ends {
            assert_eq!(cluster.store.recorded_end(id), Some(*phase), "seed {seed}");
        }
    }
    assert!(
        late_commits > 20 && ended_jobs == 480,
        "{late_commits} late commits, {ended_jobs} ended jobs"
    );
}
