//! Overlapping failovers: several within one cache refresh, late acquisitions by an earlier
//! incarnation of the same host, and a new leader that a peer names before the store shows it.

use std::sync::LazyLock;

use lemonweir_coordination::election::{
    CEDE_MS, ELECTION_STAGGER_MS, ElectionAction, FAILOVER_WAIT_MS, LeaderElection,
};
use lemonweir_coordination::owner::SyncError;
use lemonweir_coordination::{Config, Core, ShardLease};
use lemonweir_model::constants::{PEER_VERSION, RELAYED_SHARD_TIMEOUT_MS};
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, to_value};
use lemonweir_protocol::peer::{ChangeRange, ObservedState, Superseded, SyncRequest};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::records::{ControllerRecord, ShardRecord, controller_key, shard_key};

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

fn acquired(shard: u16, host: u16, version: u64) -> WatchEvent {
    let value = to_value(&ShardRecord {
        host: format!("h{host}"),
    });
    WatchEvent {
        set: Some(shard_key(shard)),
        drop: None,
        value: Some(value),
        version,
    }
}

fn released(shard: u16, version: u64) -> WatchEvent {
    WatchEvent {
        set: None,
        drop: Some(shard_key(shard)),
        value: None,
        version,
    }
}

fn alive(host: u16, version: u64) -> WatchEvent {
    let value = to_value(&ControllerRecord {
        zone: "north".into(),
        peer_version: PEER_VERSION,
        ceded_shards: Vec::new(),
        record_version: 0,
    });
    WatchEvent {
        set: Some(controller_key(&format!("h{host}"))),
        drop: None,
        value: Some(value),
        version,
    }
}

/// Refreshes the cache with these changes; the refresh began at `now`.
fn refresh(core: &mut Core, changes: &[WatchEvent], revision: u64, now: u64) {
    core.cache.apply_changes(changes, revision, now);
    core.cache_refreshed(now, true);
}

/// The controller with this number, which has read that it and the two others are alive.
fn with_live_peers(me: u16) -> Core {
    let mut core = core(me);
    refresh(
        &mut core,
        &[alive(0, 1), alive(1, 2), alive(2, 3)],
        3,
        1_000,
    );
    core
}

fn make_leader(core: &mut Core, shard: u16, token: u64, now: u64) {
    let me = core.config.own_index;
    refresh(core, &[acquired(shard, me, token)], token, now);
    core.acquire(ShardLease { shard, token }, &[], Vec::new(), now);
}

fn election() -> LeaderElection {
    LeaderElection::new(usize::from(HOSTS))
}

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

fn sync(from: u16, from_token: u64, to: u16, to_token: u64) -> SyncRequest {
    SyncRequest {
        version: PEER_VERSION,
        from_shard: from,
        from_fencing_token: from_token,
        to_shard: to,
        to_fencing_token: to_token,
        seq: 1,
        store_age_ms: 0,
        range: ChangeRange {
            since: 0,
            until: 0,
            complete: true,
        },
        desired: Vec::new(),
        withdrawn: Vec::new(),
        stops: Vec::new(),
        observed: ObservedState::default(),
        misrouted_heartbeats: 0,
        provisioned: Vec::new(),
        reserved_machines: Vec::new(),
        progress: Vec::new(),
    }
}

/// A peer names a leader that the cache does not show yet; the next refresh then shows an earlier
/// one. A superseded leader must not be taken for the leader again.
#[test]
fn superseding_leader_outlasts_an_older_refresh() {
    let mut core = with_live_peers(1);
    make_leader(&mut core, 1, 10, 2_000);
    refresh(&mut core, &[acquired(0, 0, 11)], 11, 2_100);
    core.handle_superseded(
        Superseded {
            version: PEER_VERSION,
            shard: 0,
            fencing_token: 50,
            leader_host: "h2".into(),
        },
        2_200,
    );
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
    core.handle_superseded(
        Superseded {
            version: PEER_VERSION,
            shard: 0,
            fencing_token: 50,
            leader_host: "h1".into(),
        },
        2_100,
    );
    assert_eq!(core.leases(), Vec::new());
    refresh(&mut core, &[released(0, 20), acquired(0, 0, 30)], 31, 2_200);
    assert_eq!(election().next_action(&core, 0, 2_300), None);
    // A late notice of an earlier leader changes nothing.
    core.handle_superseded(
        Superseded {
            version: PEER_VERSION,
            shard: 0,
            fencing_token: 40,
            leader_host: "h2".into(),
        },
        2_400,
    );
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
