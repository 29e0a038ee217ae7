//! Golden samples of every message: each must encode to the bytes of its sample, and the
//! sample must round-trip.
//!
//! A sample holds the bytes as hex and, for a MessagePack message, its decoded value as JSON.
//! The samples were written once; a message that differs from its sample changes the wire
//! format.

#[path = "support/golden.rs"]
mod golden;

use borsh::{BorshDeserialize, BorshSerialize};
use golden::Golden;
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::cloud::*;
use lemonweir_protocol::image_locality::{ImageLocalityReport, ImageUserRow, ZoneImageRow};
use lemonweir_protocol::kv_store::*;
use lemonweir_protocol::links::{
    self, AvailabilityGossip, EventRow, GOSSIP_PATH, LINKS_VERSION, LinkRow, LinksReport,
    RELAY_HEARTBEATS_PATH, RELAY_PATH, RelayOutcome, RelayRequest, RelayResponse, RelayTarget,
    RelayedHeartbeats, RelayedResponses, Service,
};
use lemonweir_protocol::peer::{
    self, AttemptState, AttemptStatus, ChangeRange, DesiredAttempt, ExitCause, JobProgress,
    MachineView, ObservedState, PartitionedZone, PreemptionScope, ProvisionedInstance, ShardView,
    Superseded, SyncRequest,
};
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, SupervisionReport, TeamUsageRow,
    UnderReplicatedServiceRow, UsageSide,
};
use lemonweir_protocol::users::{JobPhase, JobStatus, decode_submission};
use lemonweir_protocol::worker::*;
use lemonweir_protocol::{Malformed, decode, encode, image_locality, supervision};
use rmpv::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

// ---- comparison ------------------------------------------------------------

impl Golden {
    /// Compares a MessagePack message that is encoded but never decoded with its sample, and
    /// returns its bytes.
    fn assert_sent<T: Serialize>(&mut self, name: &str, message: &T) -> Vec<u8> {
        let bytes = self.assert_encoded(name, &encode(message));
        let value: Value = decode(&bytes).expect("MessagePack");
        assert_eq!(
            serde_json::to_value(&value).expect("JSON"),
            self.samples[name].reads,
            "{name} decodes to its sample"
        );
        assert_eq!(encode(&value), bytes, "{name} round-trips as a value");
        bytes
    }

    /// Compares a MessagePack message that is both encoded and decoded with its sample.
    fn assert_round_trip<T: Serialize + DeserializeOwned>(&mut self, name: &str, message: &T) {
        let bytes = self.assert_sent(name, message);
        let read: T = decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(encode(&read), bytes, "{name} round-trips");
    }

    /// Compares a message of the `peer` module with its sample.
    fn assert_peer_message<T>(&mut self, name: &str, message: &T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + std::fmt::Debug,
    {
        let bytes = self.assert_encoded(name, &peer::encode(message));
        let read: T = peer::decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(&read, message, "{name} is decoded");
        assert_eq!(peer::encode(&read), bytes, "{name} round-trips");
    }

    /// Compares a message of the `links` module with its sample.
    fn assert_links_message<T>(&mut self, name: &str, message: &T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + std::fmt::Debug,
    {
        let bytes = self.assert_encoded(name, &links::encode(message));
        let read: T = links::decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(&read, message, "{name} is decoded");
        assert_eq!(links::encode(&read), bytes, "{name} round-trips");
    }
}

fn text(words: &[&str]) -> Vec<String> {
    words.iter().map(|w| (*w).to_owned()).collect()
}

/// Decodes the message after these fields were removed from its encoding.
fn decode_without<T: Serialize + DeserializeOwned>(message: &T, names: &[&str]) -> T {
    let mut value = to_value(message);
    let Value::Map(fields) = &mut value else {
        panic!("a map");
    };
    let field_count = fields.len();
    fields.retain(|(name, _)| !names.iter().any(|n| name.as_str() == Some(n)));
    assert_eq!(
        fields.len() + names.len(),
        field_count,
        "{names:?} are fields"
    );
    decode(&encode(&value)).unwrap_or_else(|e| panic!("without {names:?}: {e}"))
}

/// Asserts that these fields are optional and that all others are required.
fn assert_only_optional<T: Serialize + DeserializeOwned>(message: &T, names: &[&str]) {
    let Value::Map(fields) = to_value(message) else {
        panic!("a map");
    };
    for (name, _) in &fields {
        let rest: Vec<_> = fields.iter().filter(|(n, _)| n != name).cloned().collect();
        let read: Result<T, _> = decode(&encode(&Value::Map(rest)));
        let may_be_absent = names.iter().any(|n| name.as_str() == Some(n));
        assert_eq!(read.is_ok(), may_be_absent, "without {name}");
    }
}

// ---- users -----------------------------------------------------------------

fn full_job() -> JobSpec {
    JobSpec {
        id: JobId::from("req-000412"),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.25,
        gpus: 1.0,
        memory_gb: 64.5,
        machine_types: Some(text(&["g8", "g4"])),
        zone: Some("eemsmond".into()),
        same_zone: true,
        spread: false,
        allow_spot: true,
        image: "img-07".into(),
        image_gb: 6.2,
        estimated_runtime_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_duration_s: 4.0,
        deadline_s: Some(900.0),
        depends_on: vec![JobId::from("req-000001"), JobId::from("req-000002")],
    }
}

fn minimal_job(job_kind: JobKind, job_priority: Priority) -> JobSpec {
    JobSpec {
        kind: job_kind,
        priority: job_priority,
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: true,
        allow_spot: false,
        deadline_s: None,
        depends_on: Vec::new(),
        ..full_job()
    }
}

#[test]
fn user_messages_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/users.json"));
    for (name, job) in [
        ("submission, every field", full_job()),
        (
            "submission, array and production",
            minimal_job(JobKind::Array, Priority::Production),
        ),
        (
            "submission, service and normal",
            minimal_job(JobKind::Service, Priority::Normal),
        ),
        (
            "submission, gang and low",
            minimal_job(JobKind::Gang, Priority::Low),
        ),
    ] {
        golden.assert_round_trip(name, &job);
        let read = decode_submission(&encode(&job)).expect("a submission");
        assert_eq!(read, job, "{name}");
    }
    let id = || JobId::from("req-000412");
    for (name, phase) in [
        ("state, queued", JobPhase::Queued),
        ("state, running", JobPhase::Running),
        ("state, done", JobPhase::Done),
        ("state, withdrawn", JobPhase::Withdrawn),
    ] {
        golden.assert_sent(name, &JobStatus::without_counts(id(), phase));
    }
    let state = JobStatus {
        id: id(),
        phase: JobPhase::Running,
        done: Some(3),
        running: Some(5),
        reason: Some("waits for room".into()),
    };
    golden.assert_sent("state, every field", &state);
    golden.assert_round_trip(
        "refusal",
        &Malformed("pieces out of range".into()).to_string(),
    );
    golden.assert_all_compared();
}

/// A submission may name as many machine types as its 64 KiB hold.
#[test]
fn submission_may_name_any_number_of_machine_types() {
    let mut job = full_job();
    job.machine_types = Some((0..2_000).map(|n| format!("grachtbak-{n:012}")).collect());
    let read = decode_submission(&encode(&job)).expect("valid");
    assert_eq!(read, job);
}

/// A change that makes a submission invalid.
type InvalidChange<'a> = &'a dyn Fn(&mut JobSpec);

#[test]
fn submission_errors_use_wire_names() {
    let fault = |change: &dyn Fn(&mut JobSpec)| {
        let mut job = full_job();
        change(&mut job);
        decode_submission(&encode(&job)).expect_err("refused").0
    };
    let named: [(InvalidChange, &str); 15] = [
        (&|j| j.id = JobId::from("x"), "nameId is not a job id"),
        (&|j| j.tasks = 0, "pieces out of range"),
        (&|j| j.cpus = -1.0, "cores out of range"),
        (&|j| j.gpus = -1.0, "gpus out of range"),
        (&|j| j.memory_gb = -1.0, "ramGb out of range"),
        (&|j| j.image_gb = -1.0, "sizeGb out of range"),
        (&|j| j.estimated_runtime_s = -1.0, "expectS out of range"),
        (
            &|j| j.checkpoint_interval_s = -1.0,
            "savepointS out of range",
        ),
        (&|j| j.checkpoint_duration_s = -1.0, "flushS out of range"),
        (&|j| j.deadline_s = Some(-1.0), "dueS out of range"),
        (&|j| j.team = String::new(), "empty name"),
        (&|j| j.image = "x".repeat(201), "name too long"),
        (
            &|j| j.machine_types = Some(vec!["x".repeat(201)]),
            "name too long",
        ),
        (
            &|j| j.depends_on = vec![JobId::from("req-1"); 10_000],
            "awaits names too many jobs",
        ),
        (
            &|j| j.depends_on = vec![JobId::from("x")],
            "awaits holds something that is not a job id",
        ),
    ];
    for (change, line) in named {
        assert_eq!(fault(change), line);
    }
}

// ---- workers ---------------------------------------------------------------

fn command(command_kind: CommandKind, grace_s: Option<u32>) -> Command {
    Command {
        kind: command_kind,
        task: "req-000412/3".into(),
        attempt: 2,
        grace_s,
    }
}

#[test]
fn worker_messages_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/workers.json"));
    let task = |phase, cause: Option<&str>, saved| TaskStatus {
        task: "req-000412/3".into(),
        attempt: 2,
        phase,
        exit_cause: cause.map(str::to_owned),
        checkpointed: saved,
    };
    let report = Heartbeat {
        machine: MachineId::from("n-000231"),
        address: "10.0.3.7:9100".into(),
        machine_type: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        incarnation: 4,
        sequence: 17,
        fencing_token: 42,
        reclaim_notice_s: Some(29.5),
        tasks: vec![
            task(TaskPhase::PullingImage, None, None),
            task(TaskPhase::AwaitingGang, None, None),
            task(TaskPhase::Running, None, None),
            task(TaskPhase::Checkpointing, None, Some(false)),
            task(TaskPhase::Exited, Some("stopped"), Some(true)),
        ],
    };
    golden.assert_round_trip("report, every phase", &report);
    let empty = Heartbeat {
        reclaim_notice_s: None,
        tasks: Vec::new(),
        ..report
    };
    golden.assert_round_trip("report, no tasks", &empty);
    for (name, command) in [
        ("order, launch", command(CommandKind::Start, None)),
        ("order, kill", command(CommandKind::Stop, Some(5))),
        ("order, forget", command(CommandKind::Forget, None)),
    ] {
        golden.assert_round_trip(name, &command);
    }
    let orders = vec![
        command(CommandKind::Start, None),
        command(CommandKind::Stop, Some(0)),
        command(CommandKind::Forget, None),
    ];
    let reply = HeartbeatResponse {
        fencing_token: 43,
        commands: orders.clone(),
    };
    golden.assert_round_trip("report reply", &reply);
    let commands = CommandsRequest {
        fencing_token: 44,
        incarnation: 4,
        commands: orders,
    };
    golden.assert_round_trip("commands", &commands);
    for (name, host) in [
        ("elsewhere, known", Some("hutte-1".to_owned())),
        ("elsewhere, unknown", None),
    ] {
        golden.assert_round_trip(name, &Redirect { host });
    }
    golden.assert_all_compared();
}

#[test]
fn exit_causes_are_parsed_from_wire_names() {
    for (name, cause) in [
        ("done", ExitCause::Done),
        ("stopped", ExitCause::Stopped),
        ("peers", ExitCause::PeerLost),
        ("alone", ExitCause::GangIncomplete),
        ("no_room", ExitCause::InsufficientResources),
        ("in_use", ExitCause::TaskConflict),
        ("unknown", ExitCause::UnknownJob),
        ("error", ExitCause::Failed),
    ] {
        assert_eq!(ExitCause::from_wire(Some(name)), cause, "{name}");
    }
}

// ---- the cloud -------------------------------------------------------------

#[test]
fn cloud_messages_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/cloud.json"));
    let machine_type = MachineTypeEntry {
        name: "g8".into(),
        cores: 96.0,
        gpus: 8.0,
        ram_gb: 768.5,
        cache_gb: 400.0,
        pull_gb_per_s: 1.25,
        hourly: 32.0,
        spot_price: 11.5,
        boot_s: 90.0,
        halls: text(&["eemsmond", "rijnmond"]),
    };
    golden.assert_round_trip("machine type", &machine_type);
    let catalog = || CatalogResponse {
        hardware: vec![to_value(&machine_type)],
    };
    golden.assert_round_trip("catalog", &catalog());
    let (types, faults) = catalog().into_catalog();
    assert!(faults.is_empty(), "{faults:?}");
    let read = &types["g8"];
    assert_eq!(
        (read.name.as_str(), read.capacity),
        ("g8", Resources::capacity(96.0, 8.0, 768.5))
    );
    assert_eq!(
        (read.image_cache_gb, read.image_pull_gb_per_s),
        (400.0, 1.25)
    );
    assert_eq!(
        (read.on_demand_price, read.spot_price, read.boot_s),
        (32.0, 11.5, 90.0)
    );
    assert_eq!(read.zones, text(&["eemsmond", "rijnmond"]));

    let provisioning = ProvisioningRequest {
        request_id: "hutte-0-42-7".into(),
        machine_type: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        count: 3,
    };
    golden.assert_round_trip("rental request", &provisioning);
    let machines = MachineNames {
        machines: vec![MachineId::from("n-000231"), MachineId::from("n-000232")],
    };
    golden.assert_round_trip("machines, of a reply and of a release", &machines);
    let entry = InstanceEntry {
        id: MachineId::from("n-000231"),
        machine_type: "g8".into(),
        zone: "eemsmond".into(),
        spot: false,
        phase: "running".into(),
        age_s: 12.5,
    };
    golden.assert_round_trip("entry of the list", &entry);
    let list = InstanceList {
        machines: vec![to_value(&entry)],
        truncated: true,
    };
    golden.assert_round_trip("page of the list", &list);
    let (entries, faults) = list.into_entries();
    assert!(entries.len() == 1 && faults.is_empty(), "{faults:?}");
    assert_eq!(encode(&entries[0]), encode(&entry));
    let fault = CloudErrorBody {
        error: "no capacity".into(),
    };
    golden.assert_round_trip("refusal", &fault);
    golden.assert_all_compared();
}

// ---- the state service -----------------------------------------------------

#[test]
fn store_messages_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/state.json"));
    let value = || Value::Map(vec![(Value::from("host"), Value::from("hutte-0"))]);
    let entry = KeyValue {
        key: "w/part/1".into(),
        value: value(),
        version: 42,
    };
    golden.assert_round_trip("entry", &entry);
    for (name, more) in [("page, more follow", true), ("page, the last", false)] {
        let page = ListResponse {
            entries: vec![entry.clone()],
            truncated: more,
            revision: 77,
        };
        golden.assert_round_trip(name, &page);
    }
    let condition = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    golden.assert_round_trip("condition, absent", &condition("w/part/2", 0));
    golden.assert_round_trip("condition, at a version", &condition("w/part/1", 42));
    let put = |lease_id| Write::Put {
        key: "w/part/1".into(),
        value: value(),
        lease: lease_id,
    };
    let delete = || Write::Delete {
        key: "w/part/3".into(),
    };
    for (name, write) in [
        ("write, put", put(None)),
        ("write, put with a hold", put(Some(9))),
        ("write, delete", delete()),
    ] {
        golden.assert_round_trip(name, &write);
        let read: Write = decode(&encode(&write)).expect("a write");
        assert_eq!(read, write, "{name}");
    }
    let cas = CompareAndSwap {
        conditions: vec![condition("w/part/2", 0), condition("w/part/1", 42)],
        writes: vec![put(Some(9)), put(None), delete()],
    };
    golden.assert_round_trip("transaction", &cas);
    golden.assert_round_trip("transaction, empty", &CompareAndSwap::default());
    for (name, failed) in [
        ("transaction reply, made", Vec::new()),
        ("transaction reply, failed", text(&["w/part/2"])),
    ] {
        let reply = CompareAndSwapResponse {
            failed,
            revision: 78,
        };
        golden.assert_round_trip(name, &reply);
    }
    golden.assert_round_trip("hold request", &LeaseRequest { ttl_ms: 9_000 });
    golden.assert_round_trip("hold reply", &LeaseResponse { lease: 9 });
    let change = |set: Option<&str>, drop: Option<&str>, version| WatchEvent {
        set: set.map(str::to_owned),
        drop: drop.map(str::to_owned),
        value: set.map(|_| value()),
        version,
    };
    let changes = WatchResponse {
        revision: 79,
        events: vec![
            change(Some("w/part/1"), None, 78),
            change(None, Some("w/part/3"), 79),
        ],
    };
    golden.assert_round_trip("changes", &changes);
    golden.assert_all_compared();
}

// ---- between controllers ---------------------------------------------------

fn attempt(task: u32) -> AttemptId {
    AttemptId {
        job: JobId::from("req-000412"),
        task,
        attempt: 2,
    }
}

fn resources(n: u64) -> Resources {
    Resources {
        milli_cpus: n,
        milli_gpus: n + 1,
        memory_mb: n + 2,
    }
}

fn desired_attempt(
    task: u32,
    job_priority: Priority,
    scope: PreemptionScope,
    grace_s: Option<u32>,
) -> DesiredAttempt {
    DesiredAttempt {
        id: attempt(task),
        machine: MachineId::from("n-000231"),
        resources: resources(8_000),
        image: "img-07".into(),
        image_mb: 6_200,
        may_start: true,
        stop_grace_s: grace_s,
        team: "vision".into(),
        priority: job_priority,
        over_quota: false,
        preemption_grace_s: 5,
        runs_until_cancelled: true,
        preemption: scope,
    }
}

#[test]
fn peer_messages_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/peers.json"));
    let sync = SyncRequest {
        version: PEER_VERSION,
        from_shard: 1,
        from_fencing_token: 42,
        to_shard: 2,
        to_fencing_token: 43,
        seq: 7,
        store_age_ms: 120,
        range: ChangeRange {
            since: 3,
            until: 5,
            complete: true,
        },
        desired: vec![
            desired_attempt(0, Priority::Production, PreemptionScope::Nobody, None),
            desired_attempt(1, Priority::High, PreemptionScope::LowerPriority, Some(4)),
            desired_attempt(
                2,
                Priority::Normal,
                PreemptionScope::LowerPriorityOrOverQuota,
                None,
            ),
            DesiredAttempt {
                may_start: false,
                over_quota: true,
                runs_until_cancelled: false,
                ..desired_attempt(3, Priority::Low, PreemptionScope::Nobody, None)
            },
        ],
        withdrawn: vec![attempt(4)],
        stops: vec![(attempt(5), 6)],
        observed: ObservedState {
            machines_revision: 8,
            attempts_revision: 9,
        },
        misrouted_heartbeats: 10,
        provisioned: vec![ProvisionedInstance {
            machine: MachineId::from("n-000240"),
            machine_type: "g8".into(),
            zone: "eemsmond".into(),
            spot: true,
            age_ms: 11,
        }],
        reserved_machines: vec![MachineId::from("n-000241")],
        progress: vec![JobProgress {
            job: JobId::from("req-000413"),
            tasks_done: 12,
            tasks_running: 13,
            wait_reason: "waits for room".into(),
        }],
    };
    golden.assert_peer_message("sync, every field", &sync);
    let superseded = Superseded {
        version: PEER_VERSION,
        shard: 1,
        fencing_token: 44,
        leader_host: "hutte-2".into(),
    };
    golden.assert_peer_message("superseded", &superseded);
    let states = [
        AttemptState::Accepted,
        AttemptState::Preparing,
        AttemptState::Running,
        AttemptState::Exited(ExitCause::Done),
        AttemptState::Exited(ExitCause::Stopped),
        AttemptState::Exited(ExitCause::PeerLost),
        AttemptState::Exited(ExitCause::GangIncomplete),
        AttemptState::Exited(ExitCause::Failed),
        AttemptState::Exited(ExitCause::InsufficientResources),
        AttemptState::Exited(ExitCause::TaskConflict),
        AttemptState::Exited(ExitCause::UnknownJob),
        AttemptState::Gone,
        AttemptState::Refused,
    ];
    let machine = |provisioner, spot, up, accepts_tasks, is_draining| MachineView {
        id: MachineId::from("n-000231"),
        machine_type: "g8".into(),
        zone: "eemsmond".into(),
        spot,
        registered: up,
        schedulable: accepts_tasks,
        draining: is_draining,
        free: resources(100),
        preemptible: [resources(200), resources(300), resources(400)],
        preemptible_or_over_quota: [resources(500), resources(600), resources(700)],
        task_count: 3,
        service_task_count: 2,
        cached_images: text(&["img-07"]),
        pulling_images: text(&["img-08", "img-09"]),
        provisioned_by: provisioner,
    };
    let view = ShardView {
        version: PEER_VERSION,
        shard: 2,
        fencing_token: 43,
        seq: 7,
        store_age_ms: 130,
        desired_revision: 5,
        partitioned_zones: vec![PartitionedZone {
            zone: "rijnmond".into(),
            partitioned_for_ms: 1_500,
            presumed_lost_in_ms: 2_500,
        }],
        machines_range: ChangeRange {
            since: 0,
            until: 8,
            complete: false,
        },
        machines: vec![
            machine(Some(1), true, false, false, false),
            machine(None, false, true, false, false),
            machine(None, false, false, true, false),
            machine(None, false, false, false, true),
        ],
        removed_machines: vec![MachineId::from("n-000230")],
        attempts_range: ChangeRange {
            since: 6,
            until: 9,
            complete: true,
        },
        attempts: (0..)
            .zip(states)
            .map(|(task, attempt_state)| AttemptStatus {
                id: attempt(task),
                state: attempt_state,
            })
            .collect(),
    };
    golden.assert_peer_message("view, every field", &view);
    golden.assert_all_compared();
}

#[test]
fn links_messages_match_their_samples() {
    assert_eq!(
        [GOSSIP_PATH, RELAY_PATH, RELAY_HEARTBEATS_PATH],
        ["/peer/links", "/peer/carry", "/peer/reports"]
    );
    let mut golden = Golden::parse(include_str!("samples/golden/links.json"));
    let gossip = AvailabilityGossip {
        version: LINKS_VERSION,
        controller: 1,
        store_age_ms: Some(120),
        cloud_age_ms: None,
        peers: vec![
            (2, links::LinkState::Unknown, 10),
            (3, links::LinkState::Up, 20),
            (4, links::LinkState::Suspect, 30),
            (5, links::LinkState::InboundOnly, 40),
            (6, links::LinkState::Down, 50),
        ],
        zone_heartbeat_ages: vec![("rijnmond".into(), 60)],
    };
    golden.assert_links_message("word", &gossip);
    assert_eq!(
        (
            gossip.service_age_ms(Service::Store),
            gossip.service_age_ms(Service::Cloud)
        ),
        (Some(120), None)
    );
    for (name, destination) in [
        (
            "carry, to the state service",
            RelayTarget::Service(Service::Store),
        ),
        ("carry, to the cloud", RelayTarget::Service(Service::Cloud)),
        (
            "carry, to a worker",
            RelayTarget::Worker("10.0.3.7:9100".into()),
        ),
    ] {
        let relay_request = RelayRequest {
            version: LINKS_VERSION,
            target: destination,
            method: "POST".into(),
            path: "/commands".into(),
            body: vec![1, 2, 3],
            timeout_ms: 900,
        };
        golden.assert_links_message(name, &relay_request);
    }
    for (name, result) in [
        (
            "carried, answered",
            RelayOutcome::Answered {
                status: 200,
                body: vec![4, 5],
            },
        ),
        ("carried, not sent", RelayOutcome::NotSent),
        ("carried, unknown", RelayOutcome::Unknown),
    ] {
        let relay_response = RelayResponse {
            version: LINKS_VERSION,
            outcome: result,
        };
        golden.assert_links_message(name, &relay_response);
    }
    let reports = RelayedHeartbeats {
        version: LINKS_VERSION,
        relayed_by: 3,
        heartbeats: vec![vec![6], vec![7, 8]],
    };
    golden.assert_links_message("reports", &reports);
    let answers = RelayedResponses {
        version: LINKS_VERSION,
        answers: vec![(200, vec![9]), (421, Vec::new())],
    };
    golden.assert_links_message("answers", &answers);
    golden.assert_all_compared();
}

// ---- operators -------------------------------------------------------------

fn link(
    link_state: links::LinkState,
    relayed_by: Option<&str>,
    latency: Option<(u64, u64)>,
) -> LinkRow {
    LinkRow {
        from: "hutte-0".into(),
        to: "state service".into(),
        state: link_state,
        for_s: 17,
        relayed_by: relayed_by.map(str::to_owned),
        latency_ms: latency,
        age_s: 2,
    }
}

#[test]
fn operator_responses_match_their_samples() {
    let mut golden = Golden::parse(include_str!("samples/golden/operators.json"));
    let report = LinksReport {
        links: vec![
            link(links::LinkState::Unknown, None, None),
            link(links::LinkState::Up, None, Some((3, 40))),
            link(links::LinkState::Suspect, None, None),
            link(links::LinkState::InboundOnly, None, None),
            link(links::LinkState::Down, Some("hutte-1"), None),
        ],
        relayed_workers: 12,
        unexplained_tasks: 0,
    };
    golden.assert_round_trip("links", &report);
    for (name, service) in [
        ("service, state", Service::Store),
        ("service, cloud", Service::Cloud),
    ] {
        golden.assert_round_trip(name, &service);
    }
    let events = vec![EventRow {
        at_ms: 1_790_000_000_000,
        text: "took part 2".into(),
    }];
    golden.assert_round_trip("events", &events);
    let shard = |leader: Option<&str>, token, since| supervision::ShardRow {
        shard: 1,
        preferred_leader: "hutte-1".into(),
        leader: leader.map(str::to_owned),
        fencing_token: token,
        leader_since_ms: since,
    };
    let under_replicated = |zones, short_s, below_half_s, due_s, tried| UnderReplicatedServiceRow {
        job: "req-000412".into(),
        class: "serve".into(),
        team: "vision".into(),
        shard: 1,
        desired: 8,
        half: 4,
        running: 3,
        zones,
        under_replicated_s: short_s,
        below_half_s,
        action: "starts 5".into(),
        due_in_s: due_s,
        blocked_by: "room".into(),
        escalations: tried,
    };
    let watch = SupervisionReport {
        host: "hutte-0".into(),
        store_age_ms: Some(250),
        shards: vec![
            shard(Some("hutte-0"), Some(42), Some(1_790_000_000_000)),
            shard(None, None, None),
        ],
        services: 6,
        desired: 48,
        running: 43,
        under_replicated: vec![
            under_replicated(
                vec![("eemsmond".into(), 2), ("rijnmond".into(), 1)],
                Some(20),
                Some(10),
                Some(-3),
                text(&["rented", "moved"]),
            ),
            under_replicated(Vec::new(), None, None, None, Vec::new()),
        ],
        team_usage: Vec::new(),
    };
    golden.assert_round_trip("watch", &watch);
    let usage = |side, milli_gpus_limit| TeamUsageRow {
        team: "loketteam-05".into(),
        shard: 2,
        side,
        attempts: 14,
        milli_cpus: 66_000,
        milli_gpus: 14_000,
        milli_cpus_limit: None,
        milli_gpus_limit,
    };
    let watch_with_usage = SupervisionReport {
        team_usage: vec![
            usage(UsageSide::Placer, Some(13_000)),
            usage(UsageSide::Owner, None),
        ],
        ..watch
    };
    golden.assert_round_trip("watch_with_usage", &watch_with_usage);
    let closed = FailoverCompletionRow {
        reported_by: "hutte-0".into(),
        state_loaded_ms: Some(310),
        first_start_ms: Some(420),
        services_restored_ms: Some(5_300),
        leadership_ms: Some(90_000),
        found: Some((30, 4)),
        gaps: vec![("serve".into(), 6_100)],
        unknown: text(&["first start"]),
    };
    let failover = |from: Option<&str>, to: Option<&str>, token, up, closed| FailoverRow {
        shard: 2,
        number: 5,
        at_ms: 1_790_000_000_000,
        previous_leader: from.map(str::to_owned),
        new_leader: to.map(str::to_owned),
        change: "vacant".into(),
        fencing_token: token,
        up,
        completion: closed,
    };
    let failovers = FailoverReport {
        host: "hutte-0".into(),
        store_age_ms: None,
        failovers: vec![
            failover(
                Some("hutte-2"),
                Some("hutte-0"),
                Some(42),
                Some((30, 20, 10)),
                Some(closed),
            ),
            failover(None, None, None, None, None),
        ],
    };
    golden.assert_round_trip("handovers", &failovers);
    let weights = ImageLocalityReport {
        image: "img-07".into(),
        size_mb: Some(6_200),
        users: vec![ImageUserRow {
            class: "serve".into(),
            jobs: 2,
            tasks: 16,
        }],
        zones: vec![ZoneImageRow {
            zone: "eemsmond".into(),
            cached: 5,
            pulling: 1,
            schedulable: 4,
            cached_elsewhere: 3,
            partitioned: true,
        }],
        shards: vec![
            image_locality::ShardImageRow {
                shard: 0,
                age_s: Some(2),
            },
            image_locality::ShardImageRow {
                shard: 1,
                age_s: None,
            },
        ],
    };
    golden.assert_round_trip("weights", &weights);
    golden.assert_round_trip("weights, of no image", &ImageLocalityReport::default());
    golden.assert_all_compared();
}

// ---- optional fields ---------------------------------------------------------

#[test]
fn only_optional_fields_have_defaults() {
    let names = ["hardware", "hall", "dueS", "awaits"];
    let job = decode_without(&full_job(), &names);
    assert!(job.machine_types.is_none() && job.zone.is_none());
    assert!(job.deadline_s.is_none() && job.depends_on.is_empty());
    assert_only_optional(&full_job(), &names);

    let task = TaskStatus {
        task: "req-000412/3".into(),
        attempt: 2,
        phase: TaskPhase::Exited,
        exit_cause: Some("done".into()),
        checkpointed: Some(true),
    };
    let names = ["cause", "saved"];
    let read = decode_without(&task, &names);
    assert!(read.exit_cause.is_none() && read.checkpointed.is_none());
    assert_only_optional(&task, &names);
    let report = Heartbeat {
        machine: MachineId::from("n-000231"),
        address: "10.0.3.7:9100".into(),
        machine_type: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        incarnation: 4,
        sequence: 17,
        fencing_token: 42,
        reclaim_notice_s: Some(29.5),
        tasks: vec![task],
    };
    let names = ["mandate", "warningS", "pieces"];
    let read = decode_without(&report, &names);
    assert!(read.fencing_token == 0 && read.reclaim_notice_s.is_none() && read.tasks.is_empty());
    assert_only_optional(&report, &names);
    let stop = command(CommandKind::Stop, Some(5));
    assert_eq!(decode_without(&stop, &["courtesyS"]).grace_s, None);
    assert_only_optional(&stop, &["courtesyS"]);

    let machine_type = MachineTypeEntry {
        name: "g8".into(),
        cores: 96.0,
        gpus: 8.0,
        ram_gb: 768.5,
        cache_gb: 400.0,
        pull_gb_per_s: 1.25,
        hourly: 32.0,
        spot_price: 11.5,
        boot_s: 90.0,
        halls: Vec::new(),
    };
    let names = ["cacheGb", "pullGbPerS", "hourly", "spotPrice", "bootS"];
    let read = decode_without(&machine_type, &names);
    let amounts = [
        read.cache_gb,
        read.pull_gb_per_s,
        read.hourly,
        read.spot_price,
        read.boot_s,
    ];
    assert_eq!(amounts, [0.0; 5]);
    assert_only_optional(&machine_type, &names);
    let list = InstanceList {
        machines: Vec::new(),
        truncated: true,
    };
    assert!(!decode_without(&list, &["truncated"]).truncated);
    assert_only_optional(&list, &["truncated"]);

    let page = ListResponse {
        entries: Vec::new(),
        truncated: true,
        revision: 77,
    };
    assert!(!decode_without(&page, &["truncated"]).truncated);
    assert_only_optional(&page, &["truncated"]);
    let reply = CompareAndSwapResponse {
        failed: text(&["w/part/2"]),
        revision: 78,
    };
    let read = decode_without(&reply, &["failed", "ledger"]);
    assert!(read.failed.is_empty() && read.revision == 0);
    let change = WatchEvent {
        set: Some("w/part/1".into()),
        drop: Some("w/part/3".into()),
        value: Some(Value::from(1)),
        version: 79,
    };
    let read = decode_without(&change, &["set", "drop", "data", "stamp"]);
    assert!(read.set.is_none() && read.drop.is_none());
    assert!(read.value.is_none() && read.version == 0);
    let changes = WatchResponse {
        revision: 79,
        events: vec![change],
    };
    assert!(decode_without(&changes, &["events"]).events.is_empty());
    assert_only_optional(&changes, &["events"]);
}
