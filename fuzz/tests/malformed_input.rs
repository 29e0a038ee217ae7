//! Parsers of untrusted input return a value or an error for any bytes and never panic.
//! Inputs are valid messages and files with bytes changed, inserted and cut off, since
//! random bytes seldom get past the first check.

use std::path::{Path, PathBuf};

use bolero::check;
use lemonweir_coordination::{Config, Core};
use lemonweir_model::settings::Settings;
use lemonweir_model::{JobId, JobKind, MachineId, Priority, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwapResponse, ListResponse, WatchResponse};
use lemonweir_protocol::links::{
    self, AvailabilityGossip, LINKS_VERSION, LinkState, RelayOutcome, RelayRequest, RelayResponse,
    RelayTarget, RelayedHeartbeats, RelayedResponses, Service,
};
use lemonweir_protocol::peer::{
    self, ChangeRange, DesiredAttempt, ObservedState, PreemptionScope, ShardView, SyncRequest,
};
use lemonweir_protocol::worker::{CommandsRequest, Heartbeat, HeartbeatResponse};
use lemonweir_protocol::{cloud, decode, encode, users};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_trace::{Fault, Format};

/// Bytes to change, bytes to insert, and where to cut off the input.
type Edits = (Vec<(u16, u8)>, Vec<(u16, Vec<u8>)>, Option<u16>);

fn mutated(valid: &[u8], (changes, inserts, cut): &Edits) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for (at, byte) in changes {
        let n = bytes.len().max(1);
        if let Some(b) = bytes.get_mut(usize::from(*at) % n) {
            *b = *byte;
        }
    }
    for (at, more) in inserts {
        let at = usize::from(*at) % (bytes.len() + 1);
        bytes.splice(at..at, more.iter().copied());
    }
    if let Some(cut) = cut {
        bytes.truncate(usize::from(*cut) % (bytes.len() + 1));
    }
    bytes
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name)
}

/// Checks mutated samples: every fault has a field and a message, and checking the same
/// bytes again gives the same result.
fn check_trace(format: Format, sample: &str) {
    let valid = std::fs::read(example("traces").join(sample)).expect("sample");
    let dir = tempfile::tempdir().expect("directory");
    let file = dir
        .path()
        .join(Path::new(sample).file_name().expect("name"));
    check!().with_type::<Edits>().for_each(|edits| {
        std::fs::write(&file, mutated(&valid, edits)).expect("written");
        let run = || {
            let mut faults: Vec<Fault> = Vec::new();
            let machine = Some(Resources::capacity(16.0, 4.0, 64.0));
            let result =
                lemonweir_trace::check(format, std::slice::from_ref(&file), machine, &mut |f| {
                    faults.push(f.clone());
                });
            (result.map_err(|e| e.to_string()), faults)
        };
        let (result, faults) = run();
        if let Ok(imported) = &result {
            assert_eq!(imported.faults, faults.len() as u64);
        }
        assert!(
            faults
                .iter()
                .all(|f| !f.field.is_empty() && !f.message.is_empty())
        );
        assert_eq!(run(), (result, faults));
    });
}

#[test]
fn swf_traces() {
    check_trace(Format::Swf, "small.swf");
}

#[test]
fn google_2011_traces() {
    check_trace(Format::Google2011, "google-2011/task_events-small.csv");
}

#[test]
fn google_2019_traces() {
    check_trace(Format::Google2019, "google-2019/instance_events-small.json");
}

#[test]
fn alibaba_2018_traces() {
    check_trace(Format::Alibaba2018, "alibaba-2018/batch_task-small.csv");
}

#[test]
fn pai_2020_traces() {
    check_trace(Format::Pai2020, "pai-2020/pai_task_table-small.csv");
}

#[test]
fn philly_traces() {
    check_trace(Format::Philly, "philly/cluster_job_log-small.json");
}

#[test]
fn workload_files() {
    let line = r#"{"at_ms":5,"id":"a","rank":"normal","shape":"array","tasks":2,"need":{"cpus":1,"gpus":0,"memory":0},"run_ms":[1,2],"from":"f:1"}"#;
    let valid = format!(
        "{{\"format\":\"lemonweir-workload\",\"version\":1,\"source\":\"x\"}}\n{line}\n{line}\n"
    );
    let dir = tempfile::tempdir().expect("directory");
    let file = dir.path().join("w.jsonl");
    check!().with_type::<Edits>().for_each(|edits| {
        std::fs::write(&file, mutated(valid.as_bytes(), edits)).expect("written");
        let mut last = 0;
        let read = lemonweir_trace::workload::read(&file, |e| {
            assert!(e.at_ms >= last && e.tasks > 0);
            last = e.at_ms;
        });
        assert!(
            read.is_ok_and(|h| h.version == 1)
                || !edits.0.is_empty()
                || !edits.1.is_empty()
                || edits.2.is_some()
        );
    });
}

#[test]
fn messagepack_messages() {
    let spec = lemonweir_simulator::fixtures::job(1, "red", JobKind::Array, 3);
    let heartbeat = Heartbeat {
        machine: MachineId::from("n-000001"),
        address: "10.0.0.1:9000".into(),
        machine_type: "box".into(),
        zone: "north".into(),
        spot: true,
        incarnation: 1,
        sequence: 2,
        fencing_token: 3,
        reclaim_notice_s: Some(1.5),
        tasks: Vec::new(),
    };
    let valid = [encode(&spec), encode(&heartbeat)];
    check!()
        .with_type::<(bool, Edits)>()
        .for_each(|(which, edits)| {
            let bytes = mutated(&valid[usize::from(*which)], edits);
            if let Ok(spec) = users::decode_submission(&bytes) {
                assert!(
                    JobId::parse(spec.id.as_str()).is_some()
                        && spec.tasks > 0
                        && spec.task_resources().milli_cpus < u64::MAX
                );
            }
            // A decoded message survives an encoding round trip.
            if let Ok(heartbeat) = decode::<Heartbeat>(&bytes) {
                let again = decode::<Heartbeat>(&encode(&heartbeat)).expect("an encoded message");
                assert_eq!(
                    (again.machine, again.sequence, again.fencing_token),
                    (
                        heartbeat.machine,
                        heartbeat.sequence,
                        heartbeat.fencing_token
                    )
                );
            }
            let _ = (
                decode::<CommandsRequest>(&bytes).is_ok(),
                decode::<HeartbeatResponse>(&bytes).is_ok(),
                decode::<ListResponse>(&bytes).is_ok(),
            );
            let _ = (
                decode::<WatchResponse>(&bytes).is_ok(),
                decode::<CompareAndSwapResponse>(&bytes).is_ok(),
            );
            let _ = (
                decode::<cloud::CatalogResponse>(&bytes).is_ok(),
                decode::<cloud::InstanceList>(&bytes).is_ok(),
            );
        });
}

#[test]
fn peer_messages() {
    let desired = DesiredAttempt {
        id: lemonweir_model::AttemptId {
            job: JobId::from("req-000001"),
            task: 1,
            attempt: 1,
        },
        machine: MachineId::from("n-000001"),
        resources: Resources::capacity(1.0, 0.0, 1.0),
        image: "i".into(),
        image_mb: 1,
        may_start: true,
        stop_grace_s: None,
        team: "t".into(),
        priority: Priority::Normal,
        over_quota: false,
        preemption_grace_s: 0,
        runs_until_cancelled: false,
        preemption: PreemptionScope::Nobody,
    };
    let valid = peer::encode(&SyncRequest {
        version: lemonweir_model::constants::PEER_VERSION,
        from_shard: 0,
        from_fencing_token: 1,
        to_shard: 1,
        to_fencing_token: 2,
        seq: 3,
        store_age_ms: 4,
        range: ChangeRange {
            since: 0,
            until: 1,
            complete: true,
        },
        desired: vec![desired],
        withdrawn: Vec::new(),
        stops: Vec::new(),
        observed: ObservedState::default(),
        misrouted_heartbeats: 0,
        provisioned: Vec::new(),
        reserved_machines: Vec::new(),
        progress: Vec::new(),
    });
    check!().with_type::<Edits>().for_each(|edits| {
        let bytes = mutated(&valid, edits);
        if let Ok(sync) = peer::decode::<SyncRequest>(&bytes) {
            assert_eq!(peer::encode(&sync), bytes, "one message, one encoding");
        }
        assert!(
            peer::decode::<ShardView>(&bytes).is_err()
                || !edits.0.is_empty()
                || !edits.1.is_empty()
                || edits.2.is_some()
        );
    });
}

#[test]
fn settings_files() {
    let valid = r#"{"host_name":"h0","zone":"a","listen":"10.0.0.1:80","internal_addr":"10.0.0.1:81","seeds":[],
        "services":{"cloud":"10.2.0.2:1","state":"10.2.0.1:1"},"cluster":{"zones":["a"],"teams":[{"name":"t"}],
        "workers":{"report_s":3.0,"lease_s":14.0,"gang_wait_s":50.0,"gang_peer_s":8.0,"cancel_s":34.0},
        "state":{"rps":200.0,"write_rps":80.0,"value_kb":8.0,"txn_ops":12},"cloud":{"rps":4.0,"list_lag_s":10.0},
        "limits":{"cpu_share":0.1,"mem_mb":100.0,"fd_limit":1800}}}"#;
    assert!(Settings::parse(valid).is_ok());
    check!().with_type::<Edits>().for_each(|edits| {
        let bytes = mutated(valid.as_bytes(), edits);
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return;
        };
        match Settings::parse(text) {
            Ok(settings) => assert!(!settings.members().is_empty()),
            Err(faults) => assert!(!faults.is_empty() && faults.iter().all(|f| !f.is_empty())),
        }
    });
}

#[test]
fn scenario_files() {
    let valid = std::fs::read_to_string(example("scenarios/morning.toml")).expect("sample");
    check!().with_type::<Edits>().for_each(|edits| {
        let bytes = mutated(valid.as_bytes(), edits);
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return;
        };
        match Scenario::parse("s.toml", text) {
            Ok(scenario) => assert!(!scenario.zones.is_empty() && scenario.controllers > 0),
            Err(faults) => {
                assert!(faults.iter().all(|f| f.starts_with("s.toml:")) && !faults.is_empty());
            }
        }
    });
}

/// Gossip and relay messages of other controllers have exactly one encoding, and a core
/// that has handled any gossip still tracks its own links and picks valid relays.
#[test]
fn link_messages() {
    let gossip = AvailabilityGossip {
        version: LINKS_VERSION,
        controller: 1,
        store_age_ms: Some(40),
        cloud_age_ms: None,
        peers: vec![(0, LinkState::InboundOnly, 900), (2, LinkState::Up, 3)],
        zone_heartbeat_ages: vec![("north".into(), 12), ("south".into(), 90_000)],
    };
    let request = RelayRequest {
        version: LINKS_VERSION,
        target: RelayTarget::Worker("10.1.0.1:9000".into()),
        method: "POST".into(),
        path: "/commands".into(),
        body: vec![1, 2, 3],
        timeout_ms: 2_500,
    };
    let response = RelayResponse {
        version: LINKS_VERSION,
        outcome: RelayOutcome::Answered {
            status: 200,
            body: vec![4],
        },
    };
    let heartbeats = RelayedHeartbeats {
        version: LINKS_VERSION,
        relayed_by: 2,
        heartbeats: vec![vec![5, 6], Vec::new()],
    };
    let answers = RelayedResponses {
        version: LINKS_VERSION,
        answers: vec![(200, vec![7]), (503, Vec::new())],
    };
    let valid = [
        links::encode(&gossip),
        links::encode(&request),
        links::encode(&response),
        links::encode(&heartbeats),
        links::encode(&answers),
    ];
    let scenario = lemonweir_simulator::fixtures::site(3, 4, Default::default());
    check!()
        .with_type::<(u8, Edits)>()
        .for_each(|(which, edits)| {
            fn decode_canonical<T: borsh::BorshDeserialize + borsh::BorshSerialize>(
                bytes: &[u8],
            ) -> Option<T> {
                let message = links::decode::<T>(bytes).ok()?;
                assert_eq!(links::encode(&message), bytes, "one message, one encoding");
                Some(message)
            }
            let bytes = mutated(&valid[usize::from(*which) % valid.len()], edits);
            decode_canonical::<RelayRequest>(&bytes);
            decode_canonical::<RelayResponse>(&bytes);
            decode_canonical::<RelayedHeartbeats>(&bytes);
            decode_canonical::<RelayedResponses>(&bytes);
            if let Some(gossip) = decode_canonical::<AvailabilityGossip>(&bytes) {
                let mut core =
                    Core::new(Config::new(&scenario.settings(0)), scenario.policy.clone());
                let own = core.links.handle_gossip(gossip.clone(), 1_000);
                assert_eq!((own.version, own.controller), (LINKS_VERSION, 0));
                core.links
                    .gossip_completed(gossip.controller, true, Some(gossip.clone()), 1_100);
                for at in [2_000, 4_000] {
                    core.links.record_direct_call(Service::Store, 0, false, at);
                }
                let relay_peer = core.links.route(Service::Store, 0, 4_100);
                assert!(
                    relay_peer.is_none_or(|peer| peer == gossip.controller && peer != 0),
                    "only a peer that sent gossip is chosen as relay"
                );
                assert!(core.links.rows(5_000).iter().all(|r| !r.to.is_empty()));
            }
        });
}
