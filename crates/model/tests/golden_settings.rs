//! Compares every field of a sample settings file with its decoded value: the names in the
//! file are defined by the platform and must not change.

use lemonweir_model::settings::{ClusterMember, Settings};

const EVERY_FIELD: &str = include_str!("samples/golden/settings.json");
const REQUIRED_FIELDS: &str = include_str!("samples/golden/settings_needed.json");

fn parse_settings(text: &str) -> Settings {
    Settings::parse(text).expect("a settings file without faults")
}

#[test]
fn every_field_of_a_controller_is_read() {
    let settings = parse_settings(EVERY_FIELD);
    assert_eq!(settings.host_name, "hutte-1");
    assert_eq!(settings.zone, "rijnmond");
    assert_eq!(settings.listen_addr.to_string(), "0.0.0.0:8080");
    assert_eq!(settings.internal_addr.to_string(), "10.0.2.1:8081");
    assert_eq!(settings.services.cloud.to_string(), "10.0.9.1:7001");
    assert_eq!(settings.services.kv_store.to_string(), "10.0.9.2:7002");
    let seeds: Vec<_> = settings
        .seed_controllers
        .iter()
        .map(|s| (s.host_name.as_str(), s.zone.as_str(), s.address.to_string()))
        .collect();
    assert_eq!(
        seeds,
        [
            ("hutte-2", "eemsmond", "10.0.3.1:8081".to_owned()),
            ("hutte-0", "eemsmond", "10.0.1.1:8081".to_owned()),
        ]
    );
}

/// The index of a controller is the number of its shard, so the order must not change.
#[test]
fn members_are_sorted_by_host_name() {
    let member = |host: &str, zone: &str, address: &str| ClusterMember {
        host: host.into(),
        zone: zone.into(),
        address: address.parse().expect("an address"),
    };
    assert_eq!(
        parse_settings(EVERY_FIELD).members(),
        [
            member("hutte-0", "eemsmond", "10.0.1.1:8081"),
            member("hutte-1", "rijnmond", "10.0.2.1:8081"),
            member("hutte-2", "eemsmond", "10.0.3.1:8081"),
        ]
    );
}

#[test]
fn every_field_of_the_cluster_is_read() {
    let c = parse_settings(EVERY_FIELD).cluster;
    assert_eq!(c.zones, ["eemsmond", "rijnmond"]);
    let teams: Vec<_> = c
        .teams
        .iter()
        .map(|t| {
            (
                t.name.as_str(),
                t.guaranteed_cpus,
                t.max_cpus,
                t.guaranteed_gpus,
                t.max_gpus,
            )
        })
        .collect();
    assert_eq!(
        teams,
        [
            ("vision", 64.5, 128.5, 8.0, 16.0),
            ("speech", 0.0, 0.0, 0.0, 0.0),
        ]
    );
    let objectives: Vec<_> = c
        .objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s))
        .collect();
    assert_eq!(
        objectives,
        [
            ("wait", Some("train"), Some(30.5)),
            ("guarantee", None, None),
        ]
    );
    let w = &c.worker_timing;
    assert_eq!(
        [
            w.heartbeat_interval_s,
            w.lease_s,
            w.gang_start_timeout_s,
            w.gang_peer_timeout_s,
            w.cancellation_deadline_s
        ],
        [2.5, 12.5, 20.5, 6.5, 40.5]
    );
    let s = &c.kv_store;
    assert_eq!(
        [s.requests_per_s, s.writes_per_s, s.max_value_kib],
        [300.5, 90.5, 16.5]
    );
    assert_eq!(s.max_cas_ops, 32);
    let next = s.upcoming.as_ref().expect("later limits");
    assert_eq!(
        [next.requests_per_s, next.writes_per_s, next.max_value_kib],
        [Some(200.5), Some(60.5), Some(8.5)]
    );
    assert_eq!(next.max_cas_ops, Some(16));
    assert_eq!(
        [
            s.lowest_requests_per_s(),
            s.lowest_writes_per_s(),
            s.lowest_max_value_kib()
        ],
        [200.5, 60.5, 8.5]
    );
    assert_eq!(s.lowest_max_cas_ops(), 16);
    assert_eq!(
        [c.cloud.requests_per_s, c.cloud.list_staleness_s],
        [20.5, 3.5]
    );
    assert_eq!(
        [c.process_limits.cpu_share, c.process_limits.memory_mb],
        [0.75, 512.5]
    );
    assert_eq!(c.process_limits.max_open_files, 1024);
    assert_eq!(c.clock_offset_ms, -12.5);
}

#[test]
fn optional_fields_have_defaults() {
    let c = parse_settings(REQUIRED_FIELDS).cluster;
    let team = &c.teams[0];
    assert_eq!(
        [
            team.guaranteed_cpus,
            team.max_cpus,
            team.guaranteed_gpus,
            team.max_gpus
        ],
        [0.0; 4]
    );
    assert!(c.objectives.is_empty() && c.kv_store.upcoming.is_none());
    assert_eq!(c.clock_offset_ms, 0.0);
    assert_eq!(c.kv_store.lowest_max_cas_ops(), c.kv_store.max_cas_ops);
}

/// `lemonweir check` prints these errors: a field is reported by its name in the file.
#[test]
fn missing_field_is_reported_by_its_path() {
    let object = |text: &str| serde_json::from_str::<serde_json::Value>(text).expect("JSON");
    let mut paths = Vec::new();
    collect_field_paths(&object(REQUIRED_FIELDS), String::new(), &mut paths);
    assert_eq!(paths.len(), 33, "{paths:?}");
    for path in paths {
        let mut file = object(REQUIRED_FIELDS);
        let (parent, name) = path.rsplit_once('/').expect("a path");
        file.pointer_mut(parent)
            .and_then(serde_json::Value::as_object_mut)
            .and_then(|o| o.remove(name))
            .expect("a field");
        let shown = path[1..].replace("/0", "[0]").replace('/', ".");
        assert_eq!(
            Settings::parse(&file.to_string()).err(),
            Some(vec![format!("{shown}: is missing")]),
            "{path}"
        );
    }
}

/// Collects the JSON pointers of all fields of a value.
fn collect_field_paths(value: &serde_json::Value, at: String, paths: &mut Vec<String>) {
    let children: Vec<(String, &serde_json::Value)> = match value {
        serde_json::Value::Object(fields) => fields
            .iter()
            .map(|(name, field)| (format!("{at}/{name}"), field))
            .collect(),
        serde_json::Value::Array(items) => items
            .iter()
            .enumerate()
            .filter(|(_, item)| item.is_object())
            .map(|(i, item)| (format!("{at}/{i}"), item))
            .collect(),
        _ => return,
    };
    for (path, field) in children {
        if value.is_object() {
            paths.push(path.clone());
        }
        collect_field_paths(field, path, paths);
    }
}
