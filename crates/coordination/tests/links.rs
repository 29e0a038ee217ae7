//! Links between controllers: which heartbeats and calls are relayed, how gossip is sent, and
//! which shards a partitioned controller cedes.

use lemonweir_coordination::election::{ELECTION_STAGGER_MS, FAILOVER_WAIT_MS};
use lemonweir_coordination::links::{GOSSIP_INTERVAL_MS, Links};
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer};
use lemonweir_model::constants::{HEARTBEAT_TIMEOUT_SLACK_MS, MACHINE_TOKEN_BITS, PEER_VERSION};
use lemonweir_model::settings::Settings;
use lemonweir_protocol::kv_store::{KeyValue, to_value};
use lemonweir_protocol::links::{AvailabilityGossip, LINKS_VERSION, LinkState, Service};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::records::{ShardRecord, shard_key};

const TOKEN: u64 = 40;

fn settings() -> Settings {
    let seed = |n: u16| serde_json::json!({"host_name": format!("h{n}"), "zone": "north", "address": format!("10.0.0.{n}:8081")});
    let value = serde_json::json!({
        "host_name": "h1", "zone": "north", "listen": "10.0.0.1:8080", "internal_addr": "10.0.0.1:8081",
        "seeds": [seed(0), seed(2)],
        "services": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "cluster": {
            "nodes": 3, "zones": ["north"],
            "teams": [{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    });
    serde_json::from_value(value).expect("settings")
}

/// Controller 1; shard 0 is led by controller 0 with [`TOKEN`].
fn core() -> Core {
    let mut core = Core::new(
        Config::new(&settings()),
        lemonweir_policy::embedded().expect("policy"),
    );
    let leader = ShardRecord { host: "h0".into() };
    core.cache.load_snapshot(
        &[KeyValue {
            key: shard_key(0),
            value: to_value(&leader),
            version: TOKEN,
        }],
        50,
    );
    core.cache_refreshed(0, true);
    core
}

fn gossip(host: u16, store_ms: Option<u64>, north_ms: Option<u64>) -> AvailabilityGossip {
    let zones = north_ms
        .map(|ms| ("north".to_owned(), ms))
        .into_iter()
        .collect();
    AvailabilityGossip {
        version: LINKS_VERSION,
        controller: host,
        store_age_ms: store_ms,
        cloud_age_ms: store_ms,
        peers: Vec::new(),
        zone_heartbeat_ages: zones,
    }
}

/// Heartbeats of machines that belong to shard 0.
fn heartbeats_of_shard_0(core: &Core, token: u64) -> impl Iterator<Item = Heartbeat> + use<> {
    let is_in_shard_0 = |n: &u32| {
        core.config
            .shard_of("north", &format!("n-{n:06}").as_str().into())
            == 0
    };
    let numbers: Vec<u32> = (0..400).filter(is_in_shard_0).collect();
    numbers.into_iter().map(move |n| Heartbeat {
        machine: format!("n-{n:06}").as_str().into(),
        address: "10.1.0.1:9000".into(),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: token,
        reclaim_notice_s: None,
        tasks: Vec::new(),
    })
}

#[test]
fn worker_that_cannot_reach_its_leader_is_relayed_and_new_worker_is_redirected() {
    let mut core = core();
    core.links
        .gossip_completed(0, true, Some(gossip(0, Some(50), None)), 1_000);
    let new = heartbeats_of_shard_0(&core, 0)
        .next()
        .expect("a machine of shard 0");
    assert!(
        matches!(core.handle_heartbeat(&new, 1_100), HeartbeatAnswer::Redirect(host) if host == "h0")
    );
    let known = heartbeats_of_shard_0(&core, TOKEN << MACHINE_TOKEN_BITS | 3)
        .nth(1)
        .expect("a machine of shard 0");
    assert!(matches!(
        core.handle_heartbeat(&known, 1_200),
        HeartbeatAnswer::Relay(0)
    ));
    // A worker that knows only an earlier leader has not tried the new one yet.
    let earlier = heartbeats_of_shard_0(&core, (TOKEN - 1) << MACHINE_TOKEN_BITS)
        .nth(2)
        .expect("a machine of shard 0");
    assert!(matches!(
        core.handle_heartbeat(&earlier, 1_300),
        HeartbeatAnswer::Redirect(_)
    ));
    assert!(
        matches!(
            core.handle_heartbeat(&earlier, 4_000),
            HeartbeatAnswer::Relay(0)
        ),
        "the worker came back, so it cannot reach the leader"
    );
}

#[test]
fn nothing_is_relayed_to_an_unreachable_leader_or_one_of_an_earlier_format() {
    for (answered, gossip_of_leader) in [(true, None), (false, Some(gossip(0, Some(50), None)))] {
        let mut core = core();
        core.links
            .gossip_completed(0, true, gossip_of_leader, 1_000);
        for at in [2_000, 2_500, 3_000] {
            core.links.gossip_completed(0, answered, None, at);
        }
        let known = heartbeats_of_shard_0(&core, TOKEN << MACHINE_TOKEN_BITS)
            .next()
            .expect("a machine of shard 0");
        assert!(
            matches!(
                core.handle_heartbeat(&known, 3_100),
                HeartbeatAnswer::Unavailable
            ),
            "the worker tries the next controller"
        );
    }
}

#[test]
fn unknown_zone_creates_no_link() {
    let mut core = core();
    let misrouted = heartbeats_of_shard_0(&core, 0)
        .next()
        .expect("a machine of shard 0");
    core.handle_heartbeat(
        &Heartbeat {
            zone: "nowhere".into(),
            ..misrouted.clone()
        },
        1_000,
    );
    core.handle_heartbeat(
        &Heartbeat {
            sequence: 2,
            ..misrouted
        },
        1_100,
    );
    let zones: Vec<String> = core
        .links
        .rows(1_200)
        .into_iter()
        .map(|r| r.to)
        .filter(|to| to.starts_with("workers"))
        .collect();
    assert_eq!(zones, ["workers of north"]);
}

#[test]
fn relayed_heartbeat_is_answered_by_the_leader_only() {
    let mut core = core();
    core.links
        .gossip_completed(0, true, Some(gossip(0, Some(50), None)), 1_000);
    let known = heartbeats_of_shard_0(&core, TOKEN << MACHINE_TOKEN_BITS)
        .next()
        .expect("a machine of shard 0");
    assert!(
        matches!(
            core.handle_relayed_heartbeat(&known, 2, 1_100),
            HeartbeatAnswer::Unavailable
        ),
        "nothing is relayed twice"
    );
}

/// Two controllers lose their direct routes to the store while each has old gossip of the other.
#[test]
fn relayed_calls_never_form_a_cycle() {
    let mut core = core();
    let links: &mut Links = &mut core.links;
    links.record_direct_call(Service::Store, 0, true, 1_000);
    links.handle_gossip(gossip(0, Some(100), None), 2_000);
    links.gossip_completed(0, true, Some(gossip(0, Some(100), None)), 2_000);
    for at in [3_000, 4_500] {
        links.record_direct_call(Service::Store, 0, false, at);
    }
    assert_eq!(links.route(Service::Store, 0, 4_600), Some(0));
    assert!(!links.can_relay(Service::Store), "the direct route is down");
    // Controller 0 loses its direct route too: the last answer on that route grows old, though
    // the store answers it through others.
    links.handle_gossip(gossip(0, Some(3_000), None), 6_000);
    assert_eq!(links.route(Service::Store, 0, 6_100), Some(0));
    links.handle_gossip(gossip(0, Some(5_000), None), 8_000);
    assert_eq!(links.route(Service::Store, 0, 8_100), None);
    // A peer that refused to relay is avoided for a while if there is another.
    links.handle_gossip(gossip(0, Some(10), None), 9_000);
    links.handle_gossip(gossip(2, Some(400), None), 9_000);
    links.gossip_completed(2, true, None, 9_000);
    assert_eq!(links.route(Service::Store, 0, 9_100), Some(0));
    links.record_relayed_call(Service::Store, 0, false, 9_200);
    assert_eq!(links.route(Service::Store, 0, 9_300), Some(2));
}

#[test]
fn gossip_goes_to_each_peer_every_two_seconds_one_message_at_a_time() {
    let mut core = core();
    let gossip_targets = |core: &mut Core, now| -> Vec<u16> {
        core.flush(now)
            .into_iter()
            .filter_map(|e| {
                if let Effect::SendGossip(host, _) = e {
                    Some(host)
                } else {
                    None
                }
            })
            .collect()
    };
    assert_eq!(gossip_targets(&mut core, 1_000), [0, 2]);
    assert!(
        gossip_targets(&mut core, 1_000 + GOSSIP_INTERVAL_MS).is_empty(),
        "neither has answered yet"
    );
    core.links.gossip_completed(0, false, None, 2_500);
    assert_eq!(gossip_targets(&mut core, 1_000 + GOSSIP_INTERVAL_MS), [0]);
}

/// Workers that are redirected by a controller that cannot reach them must not make this one, which
/// no longer receives heartbeats either, acquire a shard that another controller may serve.
#[test]
fn controller_that_reaches_no_worker_acquires_no_shard() {
    use lemonweir_coordination::ShardLease;
    use lemonweir_coordination::election::{ElectionAction, LeaderElection};
    use lemonweir_storage::records::{ControllerRecord, controller_key};
    let mut core = core();
    let live_controller = |host: &str, ceded: Vec<u16>| KeyValue {
        key: controller_key(host),
        value: to_value(&ControllerRecord {
            zone: "north".into(),
            peer_version: PEER_VERSION,
            ceded_shards: ceded,
            record_version: 0,
        }),
        version: 60,
    };
    let own = ShardRecord { host: "h1".into() };
    let shard = |version| KeyValue {
        key: shard_key(1),
        value: to_value(&own),
        version,
    };
    core.cache.load_snapshot(
        &[
            live_controller("h0", vec![0]),
            live_controller("h1", Vec::new()),
            live_controller("h2", Vec::new()),
            shard(55),
        ],
        70,
    );
    core.cache_refreshed(0, true);
    core.acquire(
        ShardLease {
            shard: 1,
            token: 55,
        },
        &[],
        Vec::new(),
        0,
    );
    let token = 55 << MACHINE_TOKEN_BITS;
    let heartbeats: Vec<Heartbeat> = heartbeats_of_shard_0(&core, token).take(6).collect();
    for r in &heartbeats {
        core.handle_heartbeat(r, 1_000);
    }
    // Shard 0 has no leader; its home controller is alive but cedes it.
    let mut election = LeaderElection::new(3);
    assert_eq!(election.next_action(&core, 0, 3_000), None, "not at once");
    let wait_ms = FAILOVER_WAIT_MS + ELECTION_STAGGER_MS;
    assert_eq!(
        election.next_action(&core, 0, 3_000 + wait_ms - 1),
        None,
        "a controller that leads no shard goes first"
    );
    assert_eq!(
        election.next_action(&core, 0, 3_000 + wait_ms),
        Some(ElectionAction::Acquire {
            shard: 0,
            version: 0
        })
    );
    let silent_at = 1_000 + 2 * 3_000 + HEARTBEAT_TIMEOUT_SLACK_MS + 1;
    assert_eq!(election.ceded(&core, silent_at), [0, 1, 2]);
    assert_eq!(
        election.next_action(&core, 0, silent_at),
        None,
        "another live controller may reach the workers"
    );
    // If no other controller reaches the workers, waiting is of no use.
    core.cache.load_snapshot(
        &[
            live_controller("h0", vec![0]),
            live_controller("h1", Vec::new()),
            live_controller("h2", vec![0]),
            shard(55),
        ],
        80,
    );
    let mut election = LeaderElection::new(3);
    assert_eq!(
        election.next_action(&core, 0, 3_000),
        Some(ElectionAction::Acquire {
            shard: 0,
            version: 0
        })
    );
    assert_eq!(
        core.links
            .rows(silent_at)
            .iter()
            .find(|r| r.to == "workers of north")
            .map(|r| r.state),
        Some(LinkState::Unknown)
    );
}
