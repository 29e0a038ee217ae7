//! What a controller tells of a job whose tasks another controller places, or an earlier leader
//! launched: only what it knows of the last moments. Anything else would be an old answer: users of
//! two controllers were told `queued` of a running job for as long as these could not reach the third.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use controllers::core_with_catalog;
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::{
    Core, Effect, MAY_RUN_UNTOLD_MS, PROGRESS_MAX_AGE_MS, PULL_INTERVAL_MS, ProgressGap, ShardLease,
};
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, Condition, KeyValue, WatchEvent, Write, to_value,
};
use lemonweir_protocol::last_progress::{self, LastProgressRow};
use lemonweir_protocol::peer::{self, ChangeRange, ObservedState, SyncRequest};
use lemonweir_protocol::progress::{
    ProgressPage, ProgressQuery, ProgressRow, StoredProgress, StoredRow, pack_row,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::last_progress::{
    LastPhase, PackedProgress, last_progress_key, write_last_progress,
};
use lemonweir_storage::records::*;
use support::*;

/// Shard 0, which controller 0 leads and which serves the team of the job.
const LEASE: ShardLease = ShardLease {
    shard: 0,
    token: TOKEN,
};
/// Store lease of controller 0.
const STORE_LEASE: u64 = 7;

fn job() -> JobId {
    array_job(1).id
}

/// Controller `me` with the job in its cache, read at 10 ms.
fn controller(me: usize) -> Core {
    let mut core = core_with_catalog(me);
    let spec = JobSpec {
        team: "amber".into(),
        ..array_job(1)
    };
    let record = JobRecord {
        spec: spec.clone(),
        submitted_at_ms: 1,
        cancel_requested: false,
        dependency_count: 0,
    };
    let entry = |key: String, value, version| KeyValue {
        key,
        value,
        version,
    };
    let host = |n: usize| format!("w/node/h{n}");
    let present = to_value(&ControllerRecord {
        zone: "north".into(),
        peer_version: PEER_VERSION,
        ceded_shards: Vec::new(),
        record_version: 0,
    });
    let shard = ShardRecord { host: "h0".into() };
    core.cache.load_snapshot(
        &[
            entry(job_key(&spec.id), to_value(&record), 46),
            entry(shard_key(0), to_value(&shard), TOKEN),
            entry(host(0), present.clone(), 47),
            entry(host(1), present, 48),
        ],
        100,
    );
    core.cache_refreshed(10, true);
    core
}

/// The phase that the controller tells; `None`: it tells nothing.
fn told(core: &Core, now: u64) -> Option<JobPhase> {
    match core.unfinished_status(&job(), now) {
        Some(JobStatusAnswer::Unfinished(report)) => Some(report.phase),
        Some(JobStatusAnswer::ProgressOutdated(_)) => None,
        other => panic!("{other:?}"),
    }
}

/// The pull from the leader of shard 0 that the controller makes at `now`, if any.
fn pull(core: &mut Core, now: u64) -> Option<ProgressQuery> {
    core.flush(now).into_iter().find_map(|effect| match effect {
        Effect::PullProgress(0, query) if query.shard == 0 => Some(query),
        _ => None,
    })
}

fn page(fencing_token: u64, since: u64, running: u32) -> ProgressPage {
    ProgressPage {
        version: PEER_VERSION,
        shard: 0,
        fencing_token,
        range: ChangeRange {
            since,
            until: since + 1,
            complete: true,
        },
        jobs: vec![ProgressRow {
            job: job(),
            tasks_done: 0,
            tasks_running: running,
            known: true,
            wait_reason: String::new(),
        }],
    }
}

#[test]
fn progress_is_told_only_while_it_is_recent() {
    let mut core = controller(1);
    assert_eq!(told(&core, 20), None, "nothing is known yet");
    let query = pull(&mut core, 20).expect("a pull");
    core.progress_pulled(&query, Some(page(TOKEN, 0, 1)), 20, 400);
    let known_until = 20 + PROGRESS_MAX_AGE_MS;
    assert_eq!(told(&core, known_until), Some(JobPhase::Running));
    assert_eq!(told(&core, known_until + 1), None, "asked for too long ago");
    assert!(pull(&mut core, 400).is_none(), "not yet");
    // The leader does not answer; the next pull says that the task has stopped.
    let query = pull(&mut core, 20 + PULL_INTERVAL_MS).expect("a pull");
    core.progress_pulled(&query, None, 20 + PULL_INTERVAL_MS, 1_700);
    assert_eq!(told(&core, 1_700), None);
    core.flush(1_900);
    let query = pull(&mut core, 2_200)
        .or_else(|| pull(&mut core, 2_210))
        .expect("a pull");
    assert_eq!(query.since, 1);
    core.progress_pulled(&query, Some(page(TOKEN, 1, 0)), 2_200, 2_210);
    assert_eq!(told(&core, 2_300), Some(JobPhase::Queued));
    // What another leader said does not count.
    core.flush(2_800);
    let query = pull(&mut core, 3_300).expect("a pull");
    core.progress_pulled(&query, Some(page(TOKEN - 1, 2, 1)), 3_300, 3_310);
    assert_eq!(told(&core, 3_320), Some(JobPhase::Queued));
}

/// A process that stalled tells nothing that it asked for before, whatever its clock shows.
#[test]
fn stalled_controller_tells_nothing_from_before_the_stall() {
    for clock_stopped in [false, true] {
        let mut core = controller(1);
        core.set_wall_clock(15, 5_000_000);
        let query = pull(&mut core, 20).expect("a pull");
        core.progress_pulled(&query, Some(page(TOKEN, 0, 1)), 20, 30);
        let late = pull(&mut core, 30).or(Some(query)).expect("a pull");
        let now = if clock_stopped {
            core.set_wall_clock(100, 5_000_000 + 85 + 8_000);
            100
        } else {
            core.flush(8_100);
            8_100
        };
        assert_eq!(told(&core, now), None, "clock stopped: {clock_stopped}");
        core.progress_pulled(&late, Some(page(TOKEN, 0, 1)), 30, now + 5);
        assert_eq!(told(&core, now + 5), None, "answered before the stall");
    }
}

/// The change that writes this progress to the store, as a watch shows it.
fn stored(store_revision: u64, running: u32, sequence: u64, version: u64) -> Vec<WatchEvent> {
    let mut rows = Vec::new();
    let row = StoredRow {
        job: job(),
        tasks_done: 0,
        tasks_running: running,
        known: true,
    };
    assert!(pack_row(&mut rows, &row));
    let progress = StoredProgress {
        version: PEER_VERSION,
        shard: 0,
        fencing_token: TOKEN,
        store_revision,
        after: None,
        upto: None,
        rows,
    };
    let route = StoreMessageRoute {
        kind: StoreMessageKind::Progress,
        from_shard: 0,
        to_shard: 0,
    };
    let id = (TOKEN, sequence);
    let cas = write_store_message(route, id, &peer::encode(&progress), 1_000, STORE_LEASE);
    changes_of(cas, version)
}

/// The changes of a committed transaction, as a watch shows them.
fn changes_of(cas: CompareAndSwap, version: u64) -> Vec<WatchEvent> {
    let events = cas.writes.into_iter().map(|write| match write {
        Write::Put { key, value, .. } => WatchEvent {
            set: Some(key),
            drop: None,
            value: Some(value),
            version,
        },
        Write::Delete { .. } => panic!("a put"),
    });
    events.collect()
}

/// A read of the store that begins at `now`.
fn read(core: &mut Core, events: &[WatchEvent], revision: u64, now: u64) {
    core.cache.apply_changes(events, revision, now);
    core.cache_refreshed(now, !events.is_empty());
    core.handle_store_messages(now);
}

/// Progress in the store is as old as the last revision that its writer had seen, however late it
/// is written.
#[test]
fn progress_in_the_store_is_as_old_as_the_revision_that_it_names() {
    let mut core = controller(1);
    read(&mut core, &[], 110, 1_000);
    read(&mut core, &stored(111, 1, 1, 112), 112, 1_200);
    // The read at 1.0 s did not show revision 111, so it was written later.
    assert_eq!(
        told(&core, 1_000 + PROGRESS_MAX_AGE_MS),
        Some(JobPhase::Running)
    );
    assert_eq!(told(&core, 1_001 + PROGRESS_MAX_AGE_MS), None);
    // A transaction of that time is carried out late.
    read(&mut core, &[], 200, 9_000);
    read(&mut core, &stored(113, 1, 2, 201), 201, 9_200);
    assert_eq!(told(&core, 9_210), None, "written some seconds ago");
    read(&mut core, &stored(201, 0, 3, 202), 202, 9_400);
    assert_eq!(told(&core, 9_410), Some(JobPhase::Queued));
}

/// A controller whose pulls fail asks for the progress through the store, and the leader writes it
/// there for as long as it is asked for.
#[test]
fn leader_stores_progress_for_a_controller_that_can_not_pull_it() {
    let (mut leader, mut other) = (controller(0), controller(1));
    leader.acquire(LEASE, &[], Vec::new(), 20);
    let mut revision = 100;
    let mut told_at = Vec::new();
    let mut written_at = Vec::new();
    for now in (100..30_000).step_by(50) {
        // The two reach each other until 5 s, and from 20 s on.
        let connected = !(5_000..20_000).contains(&now);
        let mut changes = Vec::new();
        let effects = [leader.flush(now), other.flush(now)];
        for (n, effect) in effects
            .into_iter()
            .enumerate()
            .flat_map(|(n, e)| e.into_iter().map(move |e| (n, e)))
        {
            match effect {
                Effect::PullProgress(0, query) if query.shard == 0 => {
                    let page = connected
                        .then(|| leader.handle_progress_query(&query, now))
                        .flatten();
                    other.progress_pulled(&query, page, now, now);
                }
                Effect::StoreProgress(message) => {
                    revision += 1;
                    written_at.extend((n == 0).then_some(now));
                    let cas = write_store_message(
                        message.route,
                        message.id,
                        &message.bytes,
                        6_000,
                        STORE_LEASE,
                    );
                    changes.extend(changes_of(cas, revision));
                }
                _ => {}
            }
        }
        read(&mut leader, &changes, revision, now);
        read(&mut other, &changes, revision, now);
        if told(&other, now).is_some() {
            told_at.push(now);
        }
    }
    let steps = (30_000 - 100) / 50;
    assert!(
        told_at.len() * 100 >= steps * 97,
        "{} of {steps}",
        told_at.len()
    );
    assert!(
        written_at.iter().all(|at| (5_000..28_000).contains(at)),
        "{written_at:?}"
    );
    // Two a second at most, and some seconds more than it is needed.
    assert!((20..45).contains(&written_at.len()), "{written_at:?}");
}

/// Time of day at zero of the monotonic clock, ms.
const MIDNIGHT_MS: u64 = 5_000_000;

/// A task record of the job with one attempt of an earlier leader, on a machine that nobody reaches.
fn inherited_chunk() -> (JobId, u32, TaskChunkRecord, u64) {
    let record = TaskChunkRecord {
        team: "amber".into(),
        task_resources: array_job(1).task_resources(),
        next_attempt: 2,
        live_attempts: vec![LiveAttemptRecord {
            task: 0,
            attempt: 1,
            machine: "n-000001".into(),
            shard: 1,
            zone: "south".into(),
        }],
        ..TaskChunkRecord::default()
    };
    (job(), 0, record, 30)
}

/// Puts into a controller's cache what an earlier leader of shard 0 last knew, at this time.
fn read_last_progress(core: &mut Core, rows: &[LastProgressRow], known_at: u64) {
    let mut packed = Vec::new();
    assert!(
        rows.iter()
            .all(|row| last_progress::pack_row(&mut packed, row))
    );
    let progress = PackedProgress {
        pages: vec![packed],
        upto: None,
    };
    let cas = write_last_progress(0, TOKEN, &progress, MIDNIGHT_MS + known_at, 0);
    core.cache
        .apply_changes(&changes_of(cas, 101), 101, known_at);
}

/// A row of the job with this many running tasks, or else one that may have begun to run.
fn last_row(running: u32) -> LastProgressRow {
    LastProgressRow {
        job: job(),
        tasks_done: 0,
        tasks_running: running,
        may_run: running == 0,
        age_s: 0,
    }
}

/// What the controller tells first from `from` on, when, and with which age, ms.
fn first_told(core: &mut Core, from: u64) -> (JobPhase, u64, Option<u64>) {
    for now in (from..from + 80_000).step_by(100) {
        core.flush(now);
        if let Some(JobStatusAnswer::Unfinished(report)) = core.unfinished_status(&job(), now) {
            return (report.phase, now, report.last_known_ms_ago);
        }
    }
    panic!("nothing is told");
}

/// A leader that has just acquired a shard knows only from its owners whether what an earlier leader
/// launched still runs. If none of them left anything, it tells nothing of such a job at first, and
/// then its age too: no job is without an answer for 20 s.
#[test]
fn new_leader_does_not_call_an_inherited_job_queued_at_once() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), 20);
    let (phase, at, age_ms) = first_told(&mut core, 100);
    assert_eq!(phase, JobPhase::Queued);
    assert!((MAY_RUN_UNTOLD_MS..20_000).contains(&at), "{at} ms");
    assert!(
        age_ms.is_some_and(|age| age >= MAY_RUN_UNTOLD_MS),
        "{age_ms:?}"
    );
}

/// Guards against a wait that begins anew with each leader of a shard.
#[test]
fn new_leader_waits_only_for_the_rest_of_the_time_since_progress_was_last_known() {
    const KNOWN_AT: u64 = 1_000;
    const ACQUIRED_AT: u64 = 12_000;
    // The earlier leader listed the job, or an attempt was recorded only after it wrote its list.
    for rows in [vec![last_row(0)], Vec::new()] {
        let mut core = controller(0);
        core.set_wall_clock(0, MIDNIGHT_MS);
        read_last_progress(&mut core, &rows, KNOWN_AT);
        core.acquire(LEASE, &[inherited_chunk()], Vec::new(), ACQUIRED_AT);
        let (phase, at, age_ms) = first_told(&mut core, ACQUIRED_AT);
        assert_eq!((phase, age_ms), (JobPhase::Queued, Some(at - KNOWN_AT)));
        let due = KNOWN_AT + MAY_RUN_UNTOLD_MS;
        assert!((due..due + 200).contains(&at), "{rows:?}: {at} ms");
    }
}

/// Guards against a running job that is called queued, or not answered for, after a failover.
#[test]
fn job_that_was_last_known_to_run_is_told_so_with_its_age() {
    const KNOWN_AT: u64 = 1_000;
    const ASKED_AT: u64 = 9_000;
    for leads in [true, false] {
        let mut core = controller(if leads { 0 } else { 1 });
        core.set_wall_clock(0, MIDNIGHT_MS);
        read_last_progress(&mut core, &[last_row(1)], KNOWN_AT);
        if leads {
            core.acquire(LEASE, &[inherited_chunk()], Vec::new(), ASKED_AT);
        }
        let first = first_told(&mut core, ASKED_AT);
        let age_ms = Some(ASKED_AT - KNOWN_AT);
        assert_eq!(
            first,
            (JobPhase::Running, ASKED_AT, age_ms),
            "leads: {leads}"
        );
    }
}

/// Guards against a job that begins to run at another controller and is called queued meanwhile.
#[test]
fn job_that_may_have_begun_to_run_is_not_called_queued_by_other_controllers() {
    let mut core = controller(1);
    core.set_wall_clock(0, MIDNIGHT_MS);
    read_last_progress(&mut core, &[last_row(0)], 1_000);
    let (phase, at, _) = first_told(&mut core, 3_000);
    assert_eq!((phase, at), (JobPhase::Queued, 1_000 + MAY_RUN_UNTOLD_MS));
    // A job without an attempt can't run before a leader records one.
    let mut core = controller(1);
    core.set_wall_clock(0, MIDNIGHT_MS);
    read_last_progress(&mut core, &[], 1_000);
    let first = first_told(&mut core, 3_000);
    assert_eq!(first, (JobPhase::Queued, 3_000, Some(2_000)));
    // Its leader says that it does not know, so there is one.
    let mut core = controller(1);
    core.set_wall_clock(0, MIDNIGHT_MS);
    read_last_progress(&mut core, &[], 1_000);
    let query = pull(&mut core, 3_100).expect("a pull");
    let mut unknown = page(TOKEN, 0, 0);
    unknown.jobs[0].known = false;
    core.progress_pulled(&query, Some(unknown), 3_100, 3_100);
    assert_eq!(told(&core, 3_200), None);
}

/// The last known progress in the effects, if any.
fn last_progress_write(effects: Vec<Effect>) -> Option<CompareAndSwap> {
    effects.into_iter().find_map(|effect| match effect {
        Effect::WriteHint(cas) if cas.writes.iter().any(is_last_progress) => Some(cas),
        _ => None,
    })
}

fn is_last_progress(write: &Write) -> bool {
    matches!(write, Write::Put { key, .. } if *key == last_progress_key(0, 0))
}

/// Guards against an age that each leader of a shard counts anew, and against a leader that has been
/// superseded and replaces what its successor wrote.
#[test]
fn leader_passes_on_when_progress_was_last_known_under_its_fencing_token() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    read_last_progress(&mut core, &[last_row(1)], 1_000);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), 9_000);
    let cas = last_progress_write(core.flush(9_100)).expect("a write");
    let leads = |condition: &Condition| condition.key == shard_key(0) && condition.version == TOKEN;
    assert!(cas.conditions.iter().any(leads), "{:?}", cas.conditions);
    let mut next = controller(1);
    next.cache.apply_changes(&changes_of(cas, 102), 102, 9_200);
    let last = next.cache.last_progress.get(0, &job()).expect("a row");
    assert_eq!(last.phase, LastPhase::Running(1));
    let known_at = last.known_at_ms - MIDNIGHT_MS;
    assert!((1..=1_000).contains(&known_at), "{known_at} ms");
}

/// Guards against a write that was lost and is taken for stored.
#[test]
fn last_known_progress_is_written_until_it_is_stored_and_then_when_it_changes() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    core.acquire(LEASE, &[], Vec::new(), 20);
    let mut stored = Vec::new();
    for now in (100..40_000).step_by(100) {
        let Some(cas) = last_progress_write(core.flush(now)) else {
            continue;
        };
        stored.push(now);
        // The first three are lost.
        if stored.len() > 3 {
            core.cache.apply_changes(&changes_of(cas, 200), 200, now);
        }
    }
    assert_eq!(stored.len(), 4, "{stored:?}");
    assert!(
        stored.windows(2).all(|two| two[1] - two[0] >= 2_000),
        "{stored:?}"
    );
}

/// A sync of the leader of shard 0 to this controller's shard 1, without progress.
fn sync_without_progress(fencing_token: u64) -> SyncRequest {
    SyncRequest {
        from_fencing_token: fencing_token,
        to_shard: 1,
        to_fencing_token: TOKEN + 1,
        ..sync_request(
            1,
            ChangeRange::default(),
            Vec::new(),
            ObservedState::default(),
        )
    }
}

/// Guards against a running job that is called queued since its new leader answers no pull yet.
#[test]
fn sync_without_progress_does_not_make_jobs_queued() {
    for supported in [true, false] {
        let mut core = controller(1);
        let own = ShardLease {
            shard: 1,
            token: TOKEN + 1,
        };
        core.acquire(own, &[], Vec::new(), 20);
        let query = pull(&mut core, 30).expect("a pull");
        if supported {
            core.progress_pulled(&query, None, 30, 40);
        } else {
            core.pull_unsupported(&query, 40);
        }
        assert!(core.handle_sync(&sync_without_progress(TOKEN), 50).is_ok());
        // A leader of an earlier version sends all progress with its syncs.
        let expected = (!supported).then_some(JobPhase::Queued);
        assert_eq!(told(&core, 60), expected, "pulls supported: {supported}");
    }
}

/// Guards against a sync by which another controller takes an inherited job for queued.
#[test]
fn leader_sends_no_progress_with_syncs_that_it_does_not_know() {
    let mut core = controller(0);
    let shard = ShardRecord { host: "h1".into() };
    let change = WatchEvent {
        set: Some(shard_key(1)),
        drop: None,
        value: Some(to_value(&shard)),
        version: 101,
    };
    core.cache.apply_changes(&[change], 101, 15);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), 20);
    let syncs = core
        .flush(5_000)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Sync(_, sync) if sync.to_shard == 1 => Some(sync),
            _ => None,
        });
    let syncs: Vec<SyncRequest> = syncs.collect();
    assert_eq!(syncs.len(), 1);
    assert!(syncs[0].progress.is_empty(), "{:?}", syncs[0].progress);
}

/// Guards against a job that began to run at a leader that stood still, which calls it queued.
#[test]
fn stalled_leader_does_not_call_a_job_with_an_attempt_queued() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    read_last_progress(&mut core, &[], 1_000);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), 1_100);
    core.flush(1_200);
    core.flush(10_000);
    let gap = core.progress_gap(&job(), 10_000);
    assert_eq!(gap, Some(ProgressGap::Stalled));
    assert_eq!(told(&core, 10_000), None);
}

/// When a controller whose clock was set at 0 knows of its workers again, ms.
const AFTER_CLOCK_SET: u64 = 5_000;

/// Guards against a job that is called queued too soon, since its age in the store grew old while its
/// leader lived.
#[test]
fn jobs_that_may_run_are_written_again_while_they_do_not_change() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), AFTER_CLOCK_SET);
    let mut written_at = Vec::new();
    for now in (AFTER_CLOCK_SET + 100..AFTER_CLOCK_SET + 12_100).step_by(100) {
        if let Some(cas) = last_progress_write(core.flush(now)) {
            core.cache.apply_changes(&changes_of(cas, 200), 200, now);
            written_at.push(now);
        }
    }
    let gaps = written_at.windows(2).map(|two| two[1] - two[0]);
    assert!(written_at.len() >= 5, "{written_at:?}");
    assert!(gaps.max().is_some_and(|gap| gap <= 2_500), "{written_at:?}");
}

/// Guards against a running job that counts as queued since a shard has more jobs than a write holds.
#[test]
fn jobs_that_do_not_fit_the_last_known_progress_are_not_called_queued() {
    const JOBS: u32 = 7_000;
    let id = |n: u32| JobId::from(format!("req-{n:06}").as_str());
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    let accepted = |n: u32| WatchEvent {
        set: Some(job_key(&id(n))),
        drop: None,
        value: Some(to_value(&JobRecord {
            spec: JobSpec {
                id: id(n),
                team: "amber".into(),
                ..array_job(1)
            },
            submitted_at_ms: 1,
            cancel_requested: false,
            dependency_count: 0,
        })),
        version: 101,
    };
    let jobs: Vec<WatchEvent> = (0..JOBS).map(accepted).collect();
    core.cache.apply_changes(&jobs, 101, 15);
    let (_, _, record, version) = inherited_chunk();
    let chunks: Vec<_> = (0..JOBS)
        .map(|n| (id(n), 0, record.clone(), version))
        .collect();
    core.acquire(LEASE, &chunks, Vec::new(), AFTER_CLOCK_SET);
    let cas = last_progress_write(core.flush(AFTER_CLOCK_SET + 100)).expect("a write");
    let mut other = controller(1);
    other.cache.apply_changes(&changes_of(cas, 102), 102, 200);
    let phase = |n: u32| {
        other
            .cache
            .last_progress
            .get(0, &id(n))
            .map(|last| last.phase)
    };
    assert_eq!(phase(0), Some(LastPhase::MayRun));
    assert_eq!(phase(JOBS - 1), None);
}

/// Guards against what a leader knew before a stall and writes with the time after it.
#[test]
fn stalled_leader_writes_no_last_known_progress() {
    let mut core = controller(0);
    core.set_wall_clock(0, MIDNIGHT_MS);
    core.acquire(LEASE, &[inherited_chunk()], Vec::new(), AFTER_CLOCK_SET);
    assert!(last_progress_write(core.flush(AFTER_CLOCK_SET + 100)).is_some());
    assert!(last_progress_write(core.flush(10_000)).is_none());
    assert!(
        last_progress_write(core.flush(20_000)).is_none(),
        "it stalled again"
    );
}

/// Guards against progress that arrived with a sync before a stall in which the clock stood still.
#[test]
fn progress_of_a_sync_is_not_told_after_a_stall() {
    let mut core = controller(1);
    core.set_wall_clock(15, MIDNIGHT_MS);
    let own = ShardLease {
        shard: 1,
        token: TOKEN + 1,
    };
    core.acquire(own, &[], Vec::new(), 20);
    let row = peer::JobProgress {
        job: job(),
        tasks_done: 0,
        tasks_running: 1,
        wait_reason: String::new(),
    };
    let sync = SyncRequest {
        progress: vec![row],
        ..sync_without_progress(TOKEN)
    };
    assert!(core.handle_sync(&sync, 50).is_ok());
    assert_eq!(told(&core, 60), Some(JobPhase::Running));
    core.set_wall_clock(100, MIDNIGHT_MS + 85 + 8_000);
    assert_eq!(told(&core, 100), None);
}
