//! One core among others: what it carries, and what it has carried for it.

use lemonweir_coordination::links::Links;
use lemonweir_coordination::{Config, Core, Effect, HeartbeatAnswer};
use lemonweir_model::constants::*;
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

/// The controller of number 1; part 0 is held by number 0, with [`TOKEN`].
fn core() -> Core {
    let mut core = Core::new(
        Config::new(&settings()),
        lemonweir_policy::embedded().expect("policy"),
    );
    let holder = ShardRecord { host: "h0".into() };
    core.cache.load_snapshot(
        &[KeyValue {
            key: shard_key(0),
            value: to_value(&holder),
            version: TOKEN,
        }],
        50,
    );
    core.refreshed(0, true);
    core
}

fn word(host: u16, store_ms: Option<u64>, north_ms: Option<u64>) -> AvailabilityGossip {
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
        unreachable_zones: zones,
    }
}

/// Reports of machines that belong to part 0.
fn of_part_0(core: &Core, token: u64) -> impl Iterator<Item = Heartbeat> + use<> {
    let ours = |n: &u32| {
        core.config
            .shard_of("north", &format!("n-{n:06}").as_str().into())
            == 0
    };
    let numbers: Vec<u32> = (0..400).filter(ours).collect();
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
fn who_comes_from_its_owner_is_carried_and_who_is_new_is_sent_there() {
    let mut core = core();
    core.links
        .hailed(0, true, Some(word(0, Some(50), None)), 1_000);
    let new = of_part_0(&core, 0).next().expect("some");
    assert!(matches!(core.report(&new, 1_100), HeartbeatAnswer::Elsewhere(host) if host == "h0"));
    let known = of_part_0(&core, TOKEN << FENCE_BITS | 3)
        .nth(1)
        .expect("some");
    assert!(matches!(
        core.report(&known, 1_200),
        HeartbeatAnswer::Carry(0)
    ));
    // One that knows only an earlier owner has not been there yet.
    let earlier = of_part_0(&core, (TOKEN - 1) << FENCE_BITS)
        .nth(2)
        .expect("some");
    assert!(matches!(
        core.report(&earlier, 1_300),
        HeartbeatAnswer::Elsewhere(_)
    ));
    assert!(
        matches!(core.report(&earlier, 4_000), HeartbeatAnswer::Carry(0)),
        "it came back: in vain"
    );
}

#[test]
fn nothing_is_carried_to_an_owner_of_an_earlier_format_or_out_of_reach() {
    for (answered, said) in [(true, None), (false, Some(word(0, Some(50), None)))] {
        let mut core = core();
        core.links.hailed(0, true, said, 1_000);
        for at in [2_000, 2_500, 3_000] {
            core.links.hailed(0, answered, None, at);
        }
        let known = of_part_0(&core, TOKEN << FENCE_BITS).next().expect("some");
        assert!(
            matches!(core.report(&known, 3_100), HeartbeatAnswer::Unable),
            "it tries whoever is next"
        );
    }
}

#[test]
fn a_zone_that_nobody_knows_is_no_link() {
    let mut core = core();
    let stray = of_part_0(&core, 0).next().expect("some");
    core.report(
        &Heartbeat {
            zone: "nowhere".into(),
            ..stray.clone()
        },
        1_000,
    );
    core.report(&Heartbeat { sequence: 2, ..stray }, 1_100);
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
fn a_carried_report_is_answered_by_an_owner_only() {
    let mut core = core();
    core.links
        .hailed(0, true, Some(word(0, Some(50), None)), 1_000);
    let known = of_part_0(&core, TOKEN << FENCE_BITS).next().expect("some");
    assert!(
        matches!(
            core.carried_report(&known, 2, 1_100),
            HeartbeatAnswer::Unable
        ),
        "nothing is carried on"
    );
}

/// Two that have lost the store, each with the other's old word.
#[test]
fn what_is_carried_goes_round_nobody() {
    let mut core = core();
    let links: &mut Links = &mut core.links;
    links.tried(Service::Store, 0, true, 1_000);
    links.hail_in(word(0, Some(100), None), 2_000);
    links.hailed(0, true, Some(word(0, Some(100), None)), 2_000);
    for at in [3_000, 4_500] {
        links.tried(Service::Store, 0, false, at);
    }
    assert_eq!(links.route(Service::Store, 0, 4_600), Some(0));
    assert!(!links.carries(Service::Store), "it has no way of its own");
    // Number 0 loses it too: its word of its own way grows old, though it hears
    // from the store through others.
    links.hail_in(word(0, Some(3_000), None), 6_000);
    assert_eq!(links.route(Service::Store, 0, 6_100), Some(0));
    links.hail_in(word(0, Some(5_000), None), 8_000);
    assert_eq!(links.route(Service::Store, 0, 8_100), None);
    // Who refuses to carry is left alone for a while, where there is another.
    links.hail_in(word(0, Some(10), None), 9_000);
    links.hail_in(word(2, Some(400), None), 9_000);
    links.hailed(2, true, None, 9_000);
    assert_eq!(links.route(Service::Store, 0, 9_100), Some(0));
    links.carried(Service::Store, 0, false, 9_200);
    assert_eq!(links.route(Service::Store, 0, 9_300), Some(2));
}

#[test]
fn each_other_controller_is_told_every_two_seconds_and_one_at_a_time() {
    let mut core = core();
    let hails = |core: &mut Core, now| -> Vec<u16> {
        core.pump(now)
            .into_iter()
            .filter_map(|e| {
                if let Effect::Hail(host, _) = e {
                    Some(host)
                } else {
                    None
                }
            })
            .collect()
    };
    assert_eq!(hails(&mut core, 1_000), [0, 2]);
    assert!(
        hails(&mut core, 1_000 + HAIL_MS).is_empty(),
        "neither has answered yet"
    );
    core.links.hailed(0, false, None, 2_500);
    assert_eq!(hails(&mut core, 1_000 + HAIL_MS), [0]);
}

/// A worker that is sent round by a controller that is itself cut off from its
/// workers must not make it a taker of what others can serve.
#[test]
fn who_hears_nobody_any_more_takes_nothing() {
    use lemonweir_coordination::ShardLease;
    use lemonweir_coordination::election::{ElectionAction, LeaderElection};
    use lemonweir_storage::records::{ControllerRecord, controller_key};
    let mut core = core();
    let present = |host: &str, deaf: Vec<u16>| KeyValue {
        key: controller_key(host),
        value: to_value(&ControllerRecord {
            zone: "north".into(),
            peer_version: PEER_VERSION,
            ceded_shards: deaf,
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
            present("h0", vec![0]),
            present("h1", Vec::new()),
            present("h2", Vec::new()),
            shard(55),
        ],
        70,
    );
    core.refreshed(0, true);
    core.acquire(
        ShardLease {
            shard: 1,
            token: 55,
        },
        &[],
        Vec::new(),
        0,
    );
    let token = 55 << FENCE_BITS;
    let reports: Vec<Heartbeat> = of_part_0(&core, token).take(6).collect();
    for r in &reports {
        core.report(r, 1_000);
    }
    // Part 0 has no holder; its home, which lives, leaves it.
    let mut membership = LeaderElection::new(3);
    assert_eq!(membership.claim(&core, 0, 3_000), None, "not at once");
    let waits = TAKEOVER_WAIT_MS + HEIR_STEP_MS;
    assert_eq!(
        membership.claim(&core, 0, 3_000 + waits - 1),
        None,
        "one that holds nothing goes first"
    );
    assert_eq!(
        membership.claim(&core, 0, 3_000 + waits),
        Some(ElectionAction::Take {
            shard: 0,
            version: 0
        })
    );
    let deaf_at = 1_000 + 2 * 3_000 + SILENT_SLACK_MS + 1;
    assert_eq!(membership.left(&core, deaf_at), [0, 1, 2]);
    assert_eq!(
        membership.claim(&core, 0, deaf_at),
        None,
        "another lives that may hear"
    );
    // Only it could: then there is no use in waiting.
    core.cache.load_snapshot(
        &[
            present("h0", vec![0]),
            present("h1", Vec::new()),
            present("h2", vec![0]),
            shard(55),
        ],
        80,
    );
    let mut membership = LeaderElection::new(3);
    assert_eq!(
        membership.claim(&core, 0, 3_000),
        Some(ElectionAction::Take {
            shard: 0,
            version: 0
        })
    );
    assert_eq!(
        core.links
            .rows(deaf_at)
            .iter()
            .find(|r| r.to == "workers of north")
            .map(|r| r.state),
        Some(LinkState::Unknown)
    );
}
