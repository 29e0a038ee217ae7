//! Test fixture: cores of the controllers of a cluster with three hosts, and what they read of
//! each other. No test uses all of it.
#![allow(dead_code)]

use std::sync::LazyLock;

use lemonweir_coordination::election::LeaderElection;
use lemonweir_coordination::{Config, Core, ShardLease};
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_protocol::kv_store::{WatchEvent, to_value};
use lemonweir_protocol::peer::{ChangeRange, ObservedState, Superseded, SyncRequest};
use lemonweir_storage::records::{ControllerRecord, ShardRecord, controller_key, shard_key};

pub const HOSTS: u16 = 3;

pub fn core(me: u16) -> Core {
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

pub fn acquired(shard: u16, host: u16, version: u64) -> WatchEvent {
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

pub fn released(shard: u16, version: u64) -> WatchEvent {
    WatchEvent {
        set: None,
        drop: Some(shard_key(shard)),
        value: None,
        version,
    }
}

pub fn alive(host: u16, version: u64) -> WatchEvent {
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
pub fn refresh(core: &mut Core, changes: &[WatchEvent], revision: u64, now: u64) {
    core.cache.apply_changes(changes, revision, now);
    core.cache_refreshed(now, true);
}

/// The controller with this number, which has read that it and the two others are alive.
pub fn with_live_peers(me: u16) -> Core {
    let mut core = core(me);
    refresh(
        &mut core,
        &[alive(0, 1), alive(1, 2), alive(2, 3)],
        3,
        1_000,
    );
    core
}

pub fn make_leader(core: &mut Core, shard: u16, token: u64, now: u64) {
    let me = core.config.own_index;
    refresh(core, &[acquired(shard, me, token)], token, now);
    core.acquire(ShardLease { shard, token }, &[], Vec::new(), now);
}

pub fn election() -> LeaderElection {
    LeaderElection::new(usize::from(HOSTS))
}

pub fn sync(from: u16, from_token: u64, to: u16, to_token: u64) -> SyncRequest {
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

/// A peer's refusal of a sync, since controller `host` leads the shard under this token.
pub fn superseded_by(host: u16, shard: u16, fencing_token: u64) -> Superseded {
    Superseded {
        version: PEER_VERSION,
        shard,
        fencing_token,
        leader_host: format!("h{host}"),
    }
}
