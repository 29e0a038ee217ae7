//! Malformed input on each interface is rejected with an error that names the cause, and
//! changes no state.

use lemonweir_coordination::autoscaler::{
    BootingInstance, CapacityBin, CapacityDemand, CapacityShortages, FailingPools, InstancePool,
    Market, ProvisioningOptions, ScaleOut, plan_scale_out,
};
use lemonweir_model::settings::Settings;
use lemonweir_model::{JobId, JobKind, Resources};
use lemonweir_protocol::peer::{self, ShardView, SyncRequest};
use lemonweir_protocol::users::{decode_submission, unschedulable_reason};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_protocol::{decode, encode};
use lemonweir_simulator::fixtures::{job, site};
use lemonweir_storage::StateCache;
use lemonweir_storage::records::{StoreMessageKind, StoreMessageRecord, store_message_key};
use rmpv::Value;

fn settings_text(host: usize, hosts: usize) -> String {
    let seeds: Vec<String> = (0..hosts)
        .filter(|&i| i != host)
        .map(|i| {
            format!(
                r#"{{"host_name":"h{i}","zone":"north","address":"10.0.0.{}:81"}}"#,
                i + 1
            )
        })
        .collect();
    format!(
        r#"{{"host_name":"h{host}","zone":"south","listen":"10.0.0.{n}:80","internal_addr":"10.0.0.{n}:81","seeds":[{}],
        "services":{{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"}},
        "cluster":{{"zones":["north","south"],"teams":[{{"name":"red","gpus":4.0,"gpus_max":12.0}},{{"name":"blue","gpus":0.0,"gpus_max":0.0}}],
        "workers":{{"report_s":3.0,"lease_s":14.0,"gang_wait_s":50.0,"gang_peer_s":8.0,"cancel_s":34.0}},
        "state":{{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":12}},"cloud":{{"rps":4.0,"list_lag_s":10.0}},
        "limits":{{"cpu_share":0.1,"mem_mb":100.0,"fd_limit":1800}}}}}}"#,
        seeds.join(","),
        n = host + 1
    )
}

fn catalog() -> lemonweir_model::Catalog {
    site(3, 12, Default::default()).catalog()
}

fn submission() -> Vec<(Value, Value)> {
    let bytes = encode(&job(1, "red", JobKind::Array, 3));
    match rmpv::decode::read_value(&mut bytes.as_slice()).expect("a map") {
        Value::Map(fields) => fields,
        other => panic!("not a map: {other}"),
    }
}

fn decode_map(
    fields: Vec<(Value, Value)>,
) -> Result<lemonweir_model::JobSpec, lemonweir_protocol::Malformed> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Map(fields)).expect("written");
    decode_submission(&bytes)
}

#[test]
fn submissions_are_validated_in_full() {
    assert!(decode_map(submission()).is_ok());
    let nullable = ["hardware", "hall", "dueS"];
    for (i, (key, _)) in submission().iter().enumerate() {
        let mut fields = submission();
        fields.remove(i);
        let optional = nullable.contains(&key.as_str().expect("text"));
        assert_eq!(decode_map(fields).is_ok(), optional, "without {key}");
        let mut fields = submission();
        fields[i].1 = Value::Array(vec![Value::Map(Vec::new())]);
        assert!(decode_map(fields).is_err(), "bad {key}");
    }
    let with = |key: &str, value: Value| {
        let mut fields = submission();
        fields
            .iter_mut()
            .find(|(k, _)| k.as_str() == Some(key))
            .expect("field")
            .1 = value;
        decode_map(fields)
    };
    for id in [
        "",
        "req-",
        "req-12x",
        "job-12",
        "req-1/2",
        "req-111111111111111111111",
    ] {
        assert!(with("nameId", id.into()).is_err(), "{id}");
    }
    assert!(with("pieces", 0.into()).is_err());
    assert!(with("pieces", 100_001.into()).is_err());
    assert!(with("cores", f64::NAN.into()).is_err());
    assert!(with("cores", (-1.0).into()).is_err());
    assert!(
        with("cores", 4.into()).is_ok(),
        "an integer is a valid amount"
    );
    assert!(decode_submission(b"{\"json\":1}").is_err());
    assert!(decode_submission(&[]).is_err());
    let mut extra = encode(&job(1, "red", JobKind::Array, 3));
    extra.push(0);
    assert!(decode_submission(&extra).is_err(), "trailing bytes");
}

#[test]
fn unschedulable_jobs_are_rejected_with_a_reason() {
    let settings = Settings::parse(&settings_text(0, 3)).expect("settings");
    let cluster = &settings.cluster;
    let reason = |spec| unschedulable_reason(&spec, &cluster.teams, &cluster.zones, &catalog());
    assert_eq!(
        reason(job(1, "red", JobKind::Array, 1000)),
        None,
        "one task of an array must fit the limit"
    );
    assert!(reason(job(1, "green", JobKind::Array, 1)).is_some());
    assert!(
        reason(job(1, "red", JobKind::Gang, 13)).is_some(),
        "13 of 12 accelerators"
    );
    assert_eq!(reason(job(1, "red", JobKind::Service, 12)), None);
    let mut big = job(1, "blue", JobKind::Array, 1);
    big.gpus = 5.0;
    assert!(reason(big).is_some());
    let mut elsewhere = job(1, "blue", JobKind::Array, 1);
    elsewhere.zone = Some("west".into());
    assert!(reason(elsewhere).is_some());
}

#[test]
fn settings_errors_are_all_reported() {
    let good = settings_text(0, 3);
    assert!(Settings::parse(&good).is_ok());
    let with_new = good.replacen("{", "{\"something_new\":[1],", 1);
    assert!(
        Settings::parse(&with_new).is_ok(),
        "unknown fields are ignored"
    );
    let errors = |text: String| Settings::parse(&text).expect_err("an error");
    assert_eq!(
        errors(good.replace("\"lease_s\":14.0", "\"lease_s\":1.0")).len(),
        1
    );
    assert_eq!(
        errors(
            good.replace("\"lease_s\":14.0", "\"lease_s\":1.0")
                .replace("\"rps\":200.0", "\"rps\":0.0")
        )
        .len(),
        2
    );
    assert!(errors(good.replace("\"h1\"", "\"h0\""))[0].contains("same host_name"));
    assert!(errors("{".into())[0].starts_with("settings:"));
}

#[test]
fn policies_are_sandboxed_and_validated() {
    let default = include_str!("../crates/policy/src/policy.lua");
    assert!(lemonweir_policy::evaluate(default).is_ok());
    let error = |script: &str| {
        lemonweir_policy::evaluate(script)
            .expect_err("an error")
            .join("; ")
    };
    assert!(error(&default.replace("spare =", "spear =")).contains("spear"));
    assert!(error(&default.replace("silent_s = 9", "silent_s = 0")).contains("silent_s"));
    assert!(error("while true do end").contains("too long"));
    assert!(
        error("local t = {} for i = 1, 1e9 do t[i] = ('x'):rep(1000000) .. i end return t")
            .contains("memory")
    );
    assert!(error("return io.open('/etc/passwd')").contains("io"));
    assert!(error("return os.getenv('HOME')").contains("os"));
    assert!(error("return 7").starts_with("policy:"));
}

#[test]
fn malformed_messages_of_workers_and_peers_are_refused() {
    assert!(decode::<Heartbeat>(b"\x81\xa3box\x01").is_err());
    assert!(decode::<Heartbeat>(&[0xff; 40]).is_err());
    assert!(peer::decode::<SyncRequest>(&[]).is_err());
    assert!(
        peer::decode::<SyncRequest>(&[9, 0, 0])
            .expect_err("format")
            .to_string()
            .contains("format 9")
    );
    // A length prefix beyond the end of the input must be rejected.
    let mut bytes = vec![lemonweir_model::constants::PEER_VERSION];
    bytes.extend([0xff; 64]);
    assert!(peer::decode::<ShardView>(&bytes).is_err());
}

#[test]
fn stored_peer_messages_are_delivered_whole_or_not_at_all() {
    use base64::prelude::{BASE64_STANDARD, Engine};
    let mut cache = StateCache::default();
    let chunk = |n, id, b: &[u8]| {
        lemonweir_protocol::kv_store::to_value(&StoreMessageRecord {
            chunk_count: n,
            message_id: (1, id),
            payload_base64: BASE64_STANDARD.encode(b),
        })
    };
    let set = |k, value, version| lemonweir_protocol::kv_store::WatchEvent {
        set: Some(store_message_key(StoreMessageKind::Sync, 0, 1, k)),
        drop: None,
        value: Some(value),
        version,
    };
    cache.apply_changes(&[set(0, chunk(2, 5, b"ab"), 1)], 1, 0);
    assert!(cache.take_messages().is_empty(), "a chunk is missing");
    cache.apply_changes(&[set(1, chunk(2, 4, b"cd"), 2)], 2, 0);
    assert!(
        cache.take_messages().is_empty(),
        "a chunk belongs to an earlier message"
    );
    cache.apply_changes(&[set(1, chunk(2, 5, b"cd"), 3)], 3, 0);
    let messages = cache.take_messages();
    assert_eq!(messages.len(), 1);
    assert_eq!(messages[0].1, b"abcd");
    assert!(cache.take_messages().is_empty(), "delivered once");
}

#[test]
fn job_ids_have_one_form() {
    assert!(JobId::parse("req-000412").is_some());
    assert!(JobId::parse("req-000412/3").is_none());
}

// ---- scale-out -------------------------------------------------------------

fn demand(count: u32, spot: bool) -> CapacityDemand {
    CapacityDemand {
        team: "red".into(),
        need: Resources::capacity(4.0, 1.0, 8.0),
        machine_types: None,
        zone: None,
        spot_allowed: spot,
        spot_only: false,
        count,
        single_zone: false,
        low_priority: false,
        must_start_now: false,
    }
}

/// Plans a scale-out for this demand while no zone is partitioned.
fn scale_out(
    lacking: &[CapacityDemand],
    booting: &[CapacityBin],
    failing: &FailingPools,
    shortage: &CapacityShortages,
) -> Vec<ScaleOut> {
    let (partitioned, catalog) = (Default::default(), catalog());
    plan_scale_out(
        lacking,
        booting,
        &Default::default(),
        &ProvisioningOptions {
            partitioned_zones: &partitioned,
            failing_pools: failing,
            catalog: &catalog,
            shortages: shortage,
        },
        0,
    )
}

#[test]
fn scale_out_counts_booting_machines_and_takes_the_cheapest() {
    let provisioned = |demand, booting: &[CapacityBin]| {
        scale_out(
            &[demand],
            booting,
            &FailingPools::default(),
            &CapacityShortages::default(),
        )
    };
    let count = |plan: Vec<ScaleOut>| {
        (
            plan.iter().map(|p| p.count).sum::<u32>(),
            plan.iter().all(|p| p.pool.market == Market::Spot),
        )
    };
    assert_eq!(
        count(provisioned(demand(9, true), &[])),
        (3, true),
        "9 tasks fit on 3 spot machines of 4 GPUs"
    );
    assert_eq!(count(provisioned(demand(4, false), &[])).0, 1);
    let booting = CapacityBin {
        pool: InstancePool::new("box", "north", Market::OnDemand),
        free: Resources::capacity(16.0, 4.0, 64.0),
    };
    assert!(
        provisioned(demand(4, false), &[booting]).is_empty(),
        "a machine is booting"
    );
}

/// All machines for a single-zone gang are provisioned in one zone. Machines booting in one
/// zone used to count as capacity for replicas that had to be in another (found on
/// afspraakloket).
#[test]
fn single_zone_gang_gets_machines_of_one_zone() {
    let mut gang = demand(9, true);
    gang.single_zone = true;
    let plan = scale_out(
        &[gang],
        &[],
        &FailingPools::default(),
        &CapacityShortages::default(),
    );
    assert_eq!(plan.len(), 1, "{plan:?}");
    assert_eq!(plan[0].count, 3);
}

/// If most instances booting in a pool are overdue, other pools are asked first, the
/// cheapest of them first.
#[test]
fn failing_pool_is_replaced_by_another() {
    let none = CapacityShortages::default();
    let usual = scale_out(&[demand(4, true)], &[], &FailingPools::default(), &none).remove(0);
    let overdue = |n: usize, all: usize| {
        FailingPools::new((0..all).map(|i| BootingInstance {
            machine_type: &usual.pool.machine_type,
            zone: &usual.pool.zone,
            market: usual.pool.market,
            overdue: i < n,
        }))
    };
    let replacement = scale_out(&[demand(4, true)], &[], &overdue(3, 4), &none).remove(0);
    assert_ne!(
        (&replacement.pool.zone, replacement.pool.market),
        (&usual.pool.zone, usual.pool.market),
        "another zone or market"
    );
    assert_eq!(
        scale_out(&[demand(4, true)], &[], &overdue(2, 4), &none).remove(0),
        usual,
        "two overdue instances may be chance"
    );
    assert_eq!(
        scale_out(&[demand(4, true)], &[], &overdue(4, 9), &none).remove(0),
        usual,
        "most instances boot in time"
    );
    let one_pool_only = CapacityDemand {
        zone: Some(usual.pool.zone.clone()),
        spot_only: true,
        ..demand(4, true)
    };
    assert_eq!(
        scale_out(&[one_pool_only], &[], &overdue(4, 4), &none).remove(0),
        usual,
        "no other pool is eligible"
    );
}

#[test]
fn malformed_responses_of_cloud_and_store_are_refused() {
    use lemonweir_protocol::cloud::{CatalogResponse, InstanceList, MachineNames};
    use lemonweir_protocol::kv_store::{ListResponse, WatchResponse, from_value};
    use lemonweir_storage::records::{JobRecord, TaskChunkRecord, parse_task_chunk_key};
    for body in [&b""[..], b"\xc0", b"\x80", b"<html>", &[0xff; 30]] {
        assert!(decode::<CatalogResponse>(body).is_err());
        assert!(decode::<MachineNames>(body).is_err());
        assert!(decode::<InstanceList>(body).is_err());
        assert!(decode::<ListResponse>(body).is_err());
        assert!(decode::<WatchResponse>(body).is_err());
    }
    assert!(from_value::<TaskChunkRecord>(&Value::from("x")).is_none());
    assert!(from_value::<JobRecord>(&Value::Nil).is_none());
    assert!(parse_task_chunk_key("run/0/req-1").is_none());
    assert!(parse_task_chunk_key("run/0/other/3").is_none());
    // A malformed key changes no state, and does not stop the update of the revision.
    let mut cache = StateCache::default();
    let change = |key: &str| lemonweir_protocol::kv_store::WatchEvent {
        set: Some(key.into()),
        drop: None,
        value: Some(Value::Nil),
        version: 1,
    };
    cache.apply_changes(
        &[
            change("w/job/req-1"),
            change("w/part/x"),
            change("w/what/ever"),
            change("w/"),
        ],
        7,
        0,
    );
    assert!(cache.jobs.is_empty() && cache.shard_leaders.is_empty());
    assert_eq!(cache.revision, Some(7));
}

/// Every malformed field is reported, not only the first.
#[test]
fn settings_errors_name_every_malformed_field() {
    let text = settings_text(0, 3)
        .replace(r#""zone":"south""#, r#""zone":7"#)
        .replace(r#""lease_s":14.0,"#, "")
        .replace(r#""txn_ops":12"#, r#""txn_ops":"many""#)
        .replacen(r#""address":"10.0.0.2:81""#, r#""address":"here""#, 1)
        .replace(r#""gpus":4.0"#, r#""gpus":[]"#);
    let errors = Settings::parse(&text).expect_err("errors");
    let fields: Vec<&str> = errors.iter().filter_map(|f| f.split(": ").next()).collect();
    let mut sorted = fields.clone();
    sorted.sort_unstable();
    assert_eq!(
        sorted,
        [
            "cluster.state.txn_ops",
            "cluster.teams[0].gpus",
            "cluster.workers.lease_s",
            "seeds[0].address",
            "zone"
        ]
    );
    assert_eq!(Settings::parse("[1]").expect_err("not a map").len(), 1);
    assert!(Settings::parse("{").expect_err("truncated")[0].contains("not JSON"));
}

/// Limits under which a task record might never be written are named before they come.
#[test]
fn settings_errors_name_store_limits_that_are_too_low() {
    let limits = |value_kb: &str, next: &str| {
        let text = settings_text(0, 3).replace(
            r#""value_kb":8.0"#,
            &format!(r#""value_kb":{value_kb},"next":{next}"#),
        );
        Settings::parse(&text)
    };
    assert!(limits("2.0", r#"{"value_kb":2.0,"txn_ops":4}"#).is_ok());
    assert_eq!(
        limits("1.5", r#"{"value_kb":1.9,"txn_ops":3}"#).expect_err("errors"),
        [
            "cluster.state.value_kb must be 2 or more",
            "cluster.state.next.value_kb must be 2 or more",
            "cluster.state.next.txn_ops must be 4 or more"
        ]
    );
}
