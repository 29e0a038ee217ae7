//! Overlapping failovers: several within one cache refresh, late acquisitions by an earlier
//! incarnation of the same host, and a new leader that a peer names before the store shows it.

#[path = "support/cluster.rs"]
mod cluster;

use cluster::*;
use lemonweir_coordination::election::{
    CEDE_MS, ELECTION_STAGGER_MS, ElectionAction, FAILOVER_WAIT_MS, LeaderElection,
};
use lemonweir_coordination::owner::SyncError;
use lemonweir_coordination::{Core, ShardLease};
use lemonweir_model::constants::RELAYED_SHARD_TIMEOUT_MS;
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, to_value};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::records::{ShardRecord, controller_key, shard_key};

/// Within one refresh the leader lost its shard, another host led it, and a late acquisition by the
/// first host regained it. The leader's host is unchanged, but what the controller remembers of the
/// shard is from before the other leader.
#[test]
fn leader_that_lost_and_regained_its_shard_within_one_refresh_reloads_it() {
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    refresh(
        &mut core,
        &[
            released(0, 20),
            acquired(0, 1, 21),
            released(0, 22),
            acquired(0, 0, 23),
        ],
        24,
        3_000,
    );
    assert_eq!(core.leases(), Vec::new());
    assert_eq!(
        election().next_action(&core, 0, 3_100),
        Some(ElectionAction::Acquire {
            shard: 0,
            version: 23
        })
    );
    // The controller leads the shard again once it has acquired the shard anew.
    refresh(&mut core, &[acquired(0, 0, 30)], 30, 3_200);
    core.acquire(
        ShardLease {
            shard: 0,
            token: 30,
        },
        &[],
        Vec::new(),
        3_200,
    );
    assert_eq!(
        core.leases(),
        vec![ShardLease {
            shard: 0,
            token: 30
        }]
    );
    assert_eq!(election().next_action(&core, 0, 3_300), None);
}

/// An acquisition by an earlier process of the host, of a shard that is not its home shard, commits
/// late: the new process acquires the shard with a token of its own, and returns it to its home
/// controller.
#[test]
fn late_acquisition_by_an_earlier_incarnation_is_replaced_and_returned_to_its_home() {
    let mut core = with_live_peers(1);
    refresh(&mut core, &[acquired(0, 1, 12)], 12, 2_000);
    assert_eq!(
        core.leases(),
        Vec::new(),
        "this process has not acquired it"
    );
    let mut election = election();
    assert_eq!(
        election.next_action(&core, 0, 2_100),
        Some(ElectionAction::Acquire {
            shard: 0,
            version: 12
        })
    );
    make_leader(&mut core, 0, 13, 2_200);
    assert_eq!(
        election.next_action(&core, 0, 2_300),
        Some(ElectionAction::ReturnToHome(ShardLease {
            shard: 0,
            token: 13
        }))
    );
}

/// All controllers end, and one restarts while the others' store leases are still valid: it leaves
/// their shards alone until their keys are deleted, and acquires its own at its key's version.
#[test]
fn controller_that_restarts_alone_acquires_the_others_shards_after_lease_expiry() {
    let mut core = with_live_peers(1);
    refresh(
        &mut core,
        &[acquired(0, 0, 10), acquired(1, 1, 11), acquired(2, 2, 12)],
        12,
        2_000,
    );
    let mut election = election();
    let next_actions = |election: &mut LeaderElection, core: &Core, now| {
        (0..HOSTS)
            .map(|p| election.next_action(core, p, now))
            .collect::<Vec<_>>()
    };
    assert_eq!(
        next_actions(&mut election, &core, 2_000),
        [
            None,
            Some(ElectionAction::Acquire {
                shard: 1,
                version: 11
            }),
            None
        ]
    );
    make_leader(&mut core, 1, 13, 2_100);
    let ended = |host: u16, version| WatchEvent {
        set: None,
        drop: Some(controller_key(&format!("h{host}"))),
        value: None,
        version,
    };
    refresh(
        &mut core,
        &[released(0, 14), ended(0, 14), released(2, 15), ended(2, 15)],
        15,
        9_000,
    );
    assert_eq!(
        next_actions(&mut election, &core, 9_000),
        [None, None, None],
        "their home controllers go first"
    );
    let later = 9_000 + FAILOVER_WAIT_MS + ELECTION_STAGGER_MS * u64::from(HOSTS);
    assert_eq!(
        next_actions(&mut election, &core, later),
        [
            Some(ElectionAction::Acquire {
                shard: 0,
                version: 0
            }),
            None,
            Some(ElectionAction::Acquire {
                shard: 2,
                version: 0
            })
        ]
    );
}

/// A peer names a leader that the cache does not show yet; the next refresh then shows an earlier
/// one. A superseded leader must not be taken for the leader again.
#[test]
fn superseding_leader_outlasts_an_older_refresh() {
    let mut core = with_live_peers(1);
    make_leader(&mut core, 1, 10, 2_000);
    refresh(&mut core, &[acquired(0, 0, 11)], 11, 2_100);
    core.handle_superseded(superseded_by(2, 0, 50), 2_200);
    refresh(&mut core, &[released(0, 20), acquired(0, 0, 30)], 31, 2_300);
    assert!(
        matches!(core.handle_sync(&sync(0, 30, 1, 10), 2_400), Err(SyncError::Superseded(by)) if by.fencing_token == 50)
    );
    refresh(&mut core, &[released(0, 40)], 41, 2_500);
    assert!(
        matches!(core.handle_sync(&sync(0, 30, 1, 10), 2_600), Err(SyncError::Superseded(by)) if by.fencing_token == 50)
    );
    assert!(core.handle_sync(&sync(0, 50, 1, 10), 2_700).is_ok());
}

/// A controller that is superseded as the leader of its own shard releases the shard, and its own
/// earlier acquisition, read later, does not make it the leader again.
#[test]
fn superseded_leader_does_not_lead_again_by_its_earlier_acquisition() {
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    core.handle_superseded(superseded_by(1, 0, 50), 2_100);
    assert_eq!(core.leases(), Vec::new());
    refresh(&mut core, &[released(0, 20), acquired(0, 0, 30)], 31, 2_200);
    assert_eq!(election().next_action(&core, 0, 2_300), None);
    // A late notice of an earlier leader changes nothing.
    core.handle_superseded(superseded_by(2, 0, 40), 2_400);
    assert_eq!(
        core.cache.shard_leaders.get(&0).map(|h| h.fencing_token),
        Some(50)
    );
}

/// The pages of a full read are from different revisions: a shard that was acquired after the first
/// page is not judged by it, and one that was lost before is released.
#[test]
fn full_read_releases_only_leases_older_than_its_first_page() {
    let entry = |shard: u16, host: u16, version| KeyValue {
        key: shard_key(shard),
        value: to_value(&ShardRecord {
            host: format!("h{host}"),
        }),
        version,
    };
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    make_leader(&mut core, 1, 110, 2_100);
    // The first page is of revision 100; the page of the shards is from before shard 1 was
    // acquired.
    core.cache
        .load_snapshot(&[entry(0, 2, 90), entry(1, 1, 5)], 100);
    core.cache_refreshed(2_200, true);
    assert_eq!(
        core.leases(),
        vec![ShardLease {
            shard: 1,
            token: 110
        }]
    );
    refresh(
        &mut core,
        &[released(1, 105), acquired(1, 0, 110)],
        111,
        2_300,
    );
    assert_eq!(
        core.leases(),
        vec![ShardLease {
            shard: 1,
            token: 110
        }]
    );
}

/// A leader that can't reach its machines cedes the shard but gets no answer. It retries, and
/// cedes the shard for no longer than after a single try.
#[test]
fn retried_cession_counts_once() {
    let mut core = with_live_peers(0);
    make_leader(&mut core, 0, 10, 2_000);
    let is_in_shard_0 = |n: &u32| {
        core.config
            .shard_of("north", &format!("n-{n:06}").as_str().into())
            == 0
    };
    let heartbeat = Heartbeat {
        machine: format!(
            "n-{:06}",
            (0..400).find(is_in_shard_0).expect("a machine of shard 0")
        )
        .as_str()
        .into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 0,
        reclaim_notice_s: None,
        tasks: Vec::new(),
    };
    core.handle_relayed_heartbeat(&heartbeat, 1, 2_100);
    let mut election = election();
    let ceded_at = 2_100 + RELAYED_SHARD_TIMEOUT_MS + 1;
    refresh(&mut core, &[alive(0, 11)], 11, ceded_at);
    for retry in 0..5 {
        assert_eq!(
            election.next_action(&core, 0, ceded_at + 1_700 * retry),
            Some(ElectionAction::Cede(ShardLease {
                shard: 0,
                token: 10
            }))
        );
    }
    core.release(0, ceded_at + 8_000);
    assert!(election.ceded(&core, ceded_at + 8_000).contains(&0));
    assert_eq!(
        election.ceded(&core, ceded_at + 8_000 + CEDE_MS),
        Vec::<u16>::new()
    );
    // The second time it cedes the shard for twice as long.
    refresh(
        &mut core,
        &[released(0, 12)],
        12,
        ceded_at + 10_000 + CEDE_MS,
    );
    make_leader(&mut core, 0, 20, ceded_at + 10_000 + CEDE_MS);
    core.handle_relayed_heartbeat(
        &Heartbeat {
            sequence: 2,
            ..heartbeat
        },
        1,
        ceded_at + 10_000 + CEDE_MS,
    );
    let ceded_again_at = ceded_at + 10_000 + CEDE_MS + RELAYED_SHARD_TIMEOUT_MS + 1;
    refresh(&mut core, &[alive(0, 21)], 21, ceded_again_at);
    assert_eq!(
        election.next_action(&core, 0, ceded_again_at),
        Some(ElectionAction::Cede(ShardLease {
            shard: 0,
            token: 20
        }))
    );
    core.release(0, ceded_again_at);
    assert!(
        election
            .ceded(&core, ceded_again_at + 2 * CEDE_MS - 1)
            .contains(&0)
    );
    assert_eq!(
        election.ceded(&core, ceded_again_at + 2 * CEDE_MS),
        Vec::<u16>::new()
    );
}
