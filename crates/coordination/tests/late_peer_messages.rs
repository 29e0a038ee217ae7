//! Messages, answers and writes that arrive late, when this controller has learned something
//! newer. Each test gives the order by hand.

#[path = "support/cluster.rs"]
mod cluster;
mod support;

use cluster::*;
use lemonweir_coordination::election::ElectionAction;
use lemonweir_coordination::owner::SyncError;
use lemonweir_coordination::{Core, Effect, STORE_ROUTE_AFTER_FAILURES};
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, to_value};
use lemonweir_protocol::peer::{JobProgress, Superseded, SyncRequest};
use lemonweir_storage::records::{
    ControllerRecord, JobRecord, ShardRecord, controller_key, job_key, shard_key,
};
use support::array_job;

/// What a peer that led shard 0 for a while under token 22 answers to a sync that the home sent
/// under its earlier lease.
fn superseded_answer() -> Superseded {
    let mut peer = with_live_peers(1);
    make_leader(&mut peer, 1, 11, 2_000);
    refresh(&mut peer, &[released(0, 20)], 20, 8_000);
    make_leader(&mut peer, 0, 22, 9_000);
    match peer.handle_sync(&sync(0, 10, 1, 11), 11_100) {
        Err(SyncError::Superseded(by)) => by,
        other => panic!("{other:?}"),
    }
}

/// Shard 0 is lost, acquired by controller 1 under token 22, and given back.
fn failover_and_failback() -> [WatchEvent; 3] {
    [released(0, 20), acquired(0, 1, 22), released(0, 30)]
}

/// Guards against a shard that stays without a leader: a late answer names a leader that has
/// given the shard up, as this controller has read meanwhile. It must not bring that leader
/// back into the cache, whose reads show the shard's changes only once.
#[test]
fn late_superseded_answer_does_not_restore_a_leader_that_gave_up_the_shard() {
    let changes = failover_and_failback();
    // The answer arrives after the first `before` changes were read, in one read or in several.
    for before in 0..=changes.len() {
        for read_size in 1..=changes.len() {
            let mut home = with_live_peers(0);
            make_leader(&mut home, 0, 10, 2_000);
            let (read_before, read_after) = changes.split_at(before);
            for read in read_before.chunks(read_size) {
                refresh(&mut home, read, read[read.len() - 1].version, 11_200);
            }
            home.handle_superseded(superseded_answer(), 11_600);
            for read in read_after.chunks(read_size) {
                refresh(&mut home, read, read[read.len() - 1].version, 11_700);
            }
            let order = format!("after {before} changes, {read_size} a read");
            assert_eq!(home.leases(), Vec::new(), "{order}");
            assert_eq!(home.cache.shard_leaders.get(&0), None, "{order}");
            assert_eq!(
                election().next_action(&home, 0, 11_800),
                Some(ElectionAction::Acquire {
                    shard: 0,
                    version: 0
                }),
                "{order}"
            );
        }
    }
}

/// The same if the changes were not read one by one, but the watched keys anew, as after a gap.
#[test]
fn late_superseded_answer_does_not_restore_a_leader_from_before_a_full_read() {
    let mut home = with_live_peers(0);
    make_leader(&mut home, 0, 10, 2_000);
    home.cache.load_snapshot(&[], 31);
    home.cache_refreshed(11_200, true);
    home.handle_superseded(superseded_answer(), 11_600);
    assert_eq!(home.cache.shard_leaders.get(&0), None);
    assert_eq!(
        election().next_action(&home, 0, 11_800),
        Some(ElectionAction::Acquire {
            shard: 0,
            version: 0
        })
    );
}

/// Guards against a full read that undoes a report: its first page is from before the reported
/// acquisition, so it shows an earlier leader. That one must not be taken for the leader again,
/// and gets no more syncs.
#[test]
fn full_read_from_before_a_reported_acquisition_does_not_undo_it() {
    let mut core = with_live_peers(1);
    make_leader(&mut core, 1, 11, 2_000);
    make_leader(&mut core, 0, 12, 2_100);
    core.handle_superseded(superseded_by(2, 0, 50), 2_200);
    core.cache
        .load_snapshot(&[shard_entry(0, 0, 40), shard_entry(1, 1, 11)], 45);
    core.cache_refreshed(2_300, true);
    assert!(
        matches!(core.handle_sync(&sync(0, 40, 1, 11), 2_400), Err(SyncError::Superseded(by)) if by.fencing_token == 50)
    );
    let recipients: Vec<u64> = core
        .flush(4_500)
        .iter()
        .filter_map(|effect| match effect {
            Effect::Sync(_, sync) if sync.to_shard == 0 => Some(sync.to_fencing_token),
            _ => None,
        })
        .collect();
    assert_eq!(recipients, [50]);
    // The changes since the first page bring the reported acquisition, and later its end.
    refresh(&mut core, &[released(0, 48), acquired(0, 2, 50)], 51, 4_600);
    let token = |core: &Core| core.cache.shard_leaders.get(&0).map(|l| l.fencing_token);
    assert_eq!(token(&core), Some(50));
    refresh(&mut core, &[released(0, 60)], 60, 4_700);
    assert_eq!(token(&core), None);
}

fn shard_entry(shard: u16, host: u16, version: u64) -> KeyValue {
    KeyValue {
        key: shard_key(shard),
        value: to_value(&ShardRecord {
            host: format!("h{host}"),
        }),
        version,
    }
}

/// Guards against progress that goes back: a sync that was held up on its way arrives after a
/// newer one, or after one of the shard's next leader.
#[test]
fn late_sync_does_not_undo_newer_progress() {
    let mut core = with_live_peers(1);
    make_leader(&mut core, 1, 11, 2_000);
    let job = JobId::from("req-000001");
    refresh(
        &mut core,
        &[acquired(0, 0, 12), accepted(&job, 13)],
        13,
        2_100,
    );
    let sync_with_progress = |token: u64, seq: u64, tasks_running: u32| SyncRequest {
        seq,
        progress: vec![JobProgress {
            job: job.clone(),
            tasks_done: 0,
            tasks_running,
            wait_reason: String::new(),
        }],
        ..sync(0, token, 1, 11)
    };
    let running = |core: &Core| core.job_progress(&job, 2_500).ok().map(|p| p.running);
    assert!(
        core.handle_sync(&sync_with_progress(12, 2, 3), 2_200)
            .is_ok()
    );
    assert_eq!(running(&core), Some(3));
    assert_eq!(
        core.handle_sync(&sync_with_progress(12, 1, 0), 2_300),
        Err(SyncError::Stale)
    );
    assert_eq!(running(&core), Some(3));
    // The next leader's sync arrives before this controller has read that it leads.
    assert!(
        core.handle_sync(&sync_with_progress(20, 1, 5), 2_400)
            .is_ok()
    );
    assert_eq!(
        core.handle_sync(&sync_with_progress(12, 3, 0), 2_500),
        Err(SyncError::TokenMismatch)
    );
    assert_eq!(running(&core), Some(5));
}

/// A job of team red, whose shard another controller leads, is accepted.
fn accepted(job: &JobId, version: u64) -> WatchEvent {
    let record = JobRecord {
        spec: JobSpec {
            id: job.clone(),
            ..array_job(8)
        },
        submitted_at_ms: 1,
        cancel_requested: false,
        dependency_count: 0,
    };
    WatchEvent {
        set: Some(job_key(job)),
        drop: None,
        value: Some(to_value(&record)),
        version,
    }
}

/// Guards against outcomes of calls that were made under an earlier lease of the shard: syncs
/// that failed then do not make the present lease's syncs go through the store.
#[test]
fn late_outcomes_for_an_earlier_lease_change_nothing() {
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    let earlier = core.leases()[0];
    refresh(&mut core, &[released(0, 20)], 20, 2_100);
    make_leader(&mut core, 0, 30, 2_200);
    let later = core.leases()[0];
    assert_ne!(earlier, later);
    for lease in [earlier, later] {
        for _ in 0..STORE_ROUTE_AFTER_FAILURES {
            core.sync_completed(lease, 1, None, 2_300);
        }
        assert_eq!(core.uses_store_messages(2_300), lease == later);
    }
}

/// Guards against a shard that peers take for ceded: an earlier process of the host wrote its
/// controller record, and the store executed that late.
#[test]
fn late_write_of_a_controller_record_is_corrected() {
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    let election = election();
    assert_eq!(election.unpublished_ceded(&core, 2_100), None);
    let late = ControllerRecord {
        zone: "north".into(),
        peer_version: PEER_VERSION,
        ceded_shards: vec![0],
        record_version: 0,
    };
    let change = WatchEvent {
        set: Some(controller_key("h0")),
        drop: None,
        value: Some(to_value(&late)),
        version: 21,
    };
    refresh(&mut core, &[change], 21, 2_200);
    assert_eq!(election.unpublished_ceded(&core, 2_300), Some(Vec::new()));
}
