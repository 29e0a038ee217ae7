//! Golden samples of every message: each one is written byte for byte as its sample,
//! and its sample, read and written again, is the same.
//!
//! A sample holds the bytes as hex and, of a MessagePack message, its reading as JSON.
//! The samples were written once; a message that differs from its sample is a change
//! of the wire.

use std::collections::{BTreeMap, BTreeSet};

use borsh::{BorshDeserialize, BorshSerialize};
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_model::{AttemptId, JobId, JobSpec, MachineId, Rank, Room, Shape};
use lemonweir_protocol::cloud::*;
use lemonweir_protocol::links::{
    self, Answers, CARRY, Carried, Carry, EventRow, Fate, Goal, HAIL, LINKS_VERSION, LinkRow,
    Picture, REPORTS, Reports, Service, Word,
};
use lemonweir_protocol::peer::{
    self, AttemptView, Cause, Evict, Have, Hidden, JobNote, MachineView, Rented, Span, Standing,
    Superseded, Sync, View, Want,
};
use lemonweir_protocol::state::*;
use lemonweir_protocol::users::{JobState, Phase, read_submission};
use lemonweir_protocol::watch::{ClosedRow, HandoverRow, Handovers, ShortRow, Watch};
use lemonweir_protocol::weights::{UserRow, WeightsPicture, ZoneRow};
use lemonweir_protocol::worker::*;
use lemonweir_protocol::{Malformed, decode, encode, watch, weights};
use rmpv::Value;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

// ---- comparison ------------------------------------------------------------

#[derive(Deserialize)]
struct Sample {
    bytes: String,
    #[serde(default)]
    reads: serde_json::Value,
}

/// The samples of one file, and which of them were compared.
struct Golden {
    samples: BTreeMap<String, Sample>,
    compared: BTreeSet<String>,
}

impl Golden {
    fn of(file: &str) -> Self {
        Self {
            samples: serde_json::from_str(file).expect("samples"),
            compared: BTreeSet::new(),
        }
    }

    /// The sample's bytes, once what is written now is found to be the same.
    fn same(&mut self, name: &str, written: &[u8]) -> Vec<u8> {
        let hex: String = written.iter().map(|b| format!("{b:02x}")).collect();
        let sample = self
            .samples
            .get(name)
            .unwrap_or_else(|| panic!("no sample {name}"));
        assert_eq!(hex, sample.bytes, "{name} is written as its sample");
        assert!(
            self.compared.insert(name.to_owned()),
            "{name} is compared once"
        );
        written.to_vec()
    }

    /// A MessagePack message that is only written.
    fn written<T: Serialize>(&mut self, name: &str, message: &T) -> Vec<u8> {
        let bytes = self.same(name, &encode(message));
        let value: Value = decode(&bytes).expect("MessagePack");
        assert_eq!(
            serde_json::to_value(&value).expect("JSON"),
            self.samples[name].reads,
            "{name} reads as its sample"
        );
        assert_eq!(encode(&value), bytes, "{name} as plain values");
        bytes
    }

    /// A MessagePack message that is written and read.
    fn both_ways<T: Serialize + DeserializeOwned>(&mut self, name: &str, message: &T) {
        let bytes = self.written(name, message);
        let read: T = decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(encode(&read), bytes, "{name} is written as it was read");
    }

    /// A message between controllers about their parts.
    fn of_peers<T>(&mut self, name: &str, message: &T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + std::fmt::Debug,
    {
        let bytes = self.same(name, &peer::write(message));
        let read: T = peer::read(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(&read, message, "{name} is read");
        assert_eq!(
            peer::write(&read),
            bytes,
            "{name} is written as it was read"
        );
    }

    /// A message between controllers about their links.
    fn of_links<T>(&mut self, name: &str, message: &T)
    where
        T: BorshSerialize + BorshDeserialize + PartialEq + std::fmt::Debug,
    {
        let bytes = self.same(name, &links::write(message));
        let read: T = links::read(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(&read, message, "{name} is read");
        assert_eq!(
            links::write(&read),
            bytes,
            "{name} is written as it was read"
        );
    }

    /// Every sample was compared.
    fn all(&self) {
        let names: BTreeSet<String> = self.samples.keys().cloned().collect();
        assert_eq!(self.compared, names, "every sample is compared");
    }
}

fn text(words: &[&str]) -> Vec<String> {
    words.iter().map(|w| (*w).to_owned()).collect()
}

/// The message as its sender writes it who leaves these fields out.
fn without<T: Serialize + DeserializeOwned>(message: &T, names: &[&str]) -> T {
    let mut value = to_value(message);
    let Value::Map(fields) = &mut value else {
        panic!("a map");
    };
    let all = fields.len();
    fields.retain(|(name, _)| !names.iter().any(|n| name.as_str() == Some(n)));
    assert_eq!(fields.len() + names.len(), all, "{names:?} are fields");
    decode(&encode(&value)).unwrap_or_else(|e| panic!("without {names:?}: {e}"))
}

/// Checks that a message is refused which leaves out any one other than these fields.
fn needs_all_but<T: Serialize + DeserializeOwned>(message: &T, names: &[&str]) {
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
        shape: Shape::Gang,
        rank: Rank::High,
        tasks: 16,
        cores: 8.25,
        gpus: 1.0,
        ram_gb: 64.5,
        types: Some(text(&["g8", "g4"])),
        zone: Some("eemsmond".into()),
        one_zone: true,
        spread: false,
        spot: true,
        image: "img-07".into(),
        image_gb: 6.2,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        awaits: vec![JobId::from("req-000001"), JobId::from("req-000002")],
    }
}

fn least_job(shape: Shape, rank: Rank) -> JobSpec {
    JobSpec {
        shape,
        rank,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        awaits: Vec::new(),
        ..full_job()
    }
}

#[test]
fn messages_of_users_are_their_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/users.json"));
    for (name, job) in [
        ("submission, every field", full_job()),
        (
            "submission, array and production",
            least_job(Shape::Array, Rank::Production),
        ),
        (
            "submission, service and normal",
            least_job(Shape::Service, Rank::Normal),
        ),
        (
            "submission, gang and low",
            least_job(Shape::Gang, Rank::Low),
        ),
    ] {
        golden.both_ways(name, &job);
        let read = read_submission(&encode(&job)).expect("a submission");
        assert_eq!(read, job, "{name}");
    }
    let id = || JobId::from("req-000412");
    for (name, phase) in [
        ("state, queued", Phase::Queued),
        ("state, running", Phase::Running),
        ("state, done", Phase::Done),
        ("state, withdrawn", Phase::Withdrawn),
    ] {
        golden.written(name, &JobState::plain(id(), phase));
    }
    let state = JobState {
        id: id(),
        phase: Phase::Running,
        done: Some(3),
        running: Some(5),
        reason: Some("waits for room".into()),
    };
    golden.written("state, every field", &state);
    golden.both_ways(
        "refusal",
        &Malformed("pieces out of range".into()).to_string(),
    );
    golden.all();
}

/// What makes a submission one to be refused.
type Fault<'a> = &'a dyn Fn(&mut JobSpec);

#[test]
fn refusals_of_submissions_name_fields_as_on_the_wire() {
    let fault = |change: &dyn Fn(&mut JobSpec)| {
        let mut job = full_job();
        change(&mut job);
        read_submission(&encode(&job)).expect_err("refused").0
    };
    let named: [(Fault, &str); 14] = [
        (&|j| j.id = JobId::from("x"), "nameId is not a job id"),
        (&|j| j.tasks = 0, "pieces out of range"),
        (&|j| j.cores = -1.0, "cores out of range"),
        (&|j| j.gpus = -1.0, "gpus out of range"),
        (&|j| j.ram_gb = -1.0, "ramGb out of range"),
        (&|j| j.image_gb = -1.0, "sizeGb out of range"),
        (&|j| j.estimate_s = -1.0, "expectS out of range"),
        (&|j| j.checkpoint_s = -1.0, "savepointS out of range"),
        (&|j| j.save_s = -1.0, "flushS out of range"),
        (&|j| j.deadline_s = Some(-1.0), "dueS out of range"),
        (&|j| j.team = String::new(), "empty name"),
        (&|j| j.image = "x".repeat(201), "name or list too long"),
        (
            &|j| j.awaits = vec![JobId::from("req-1"); 10_000],
            "awaits names too many jobs",
        ),
        (
            &|j| j.awaits = vec![JobId::from("x")],
            "awaits holds something that is not a job id",
        ),
    ];
    for (change, line) in named {
        assert_eq!(fault(change), line);
    }
}

// ---- workers ---------------------------------------------------------------

fn order(verb: Verb, grace_s: Option<u32>) -> Order {
    Order {
        verb,
        piece: "req-000412/3".into(),
        attempt: 2,
        grace_s,
    }
}

#[test]
fn messages_of_workers_are_their_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/workers.json"));
    let task = |phase, cause: Option<&str>, saved| TaskReport {
        piece: "req-000412/3".into(),
        attempt: 2,
        phase,
        cause: cause.map(str::to_owned),
        saved,
    };
    let report = Report {
        machine: MachineId::from("n-000231"),
        address: "10.0.3.7:9100".into(),
        kind: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        session: 4,
        seq: 17,
        token: 42,
        notice_s: Some(29.5),
        tasks: vec![
            task(TaskPhase::Fetching, None, None),
            task(TaskPhase::Gathering, None, None),
            task(TaskPhase::Running, None, None),
            task(TaskPhase::Saving, None, Some(false)),
            task(TaskPhase::Exited, Some("stopped"), Some(true)),
        ],
    };
    golden.both_ways("report, every phase", &report);
    let empty = Report {
        notice_s: None,
        tasks: Vec::new(),
        ..report
    };
    golden.both_ways("report, no tasks", &empty);
    for (name, order) in [
        ("order, launch", order(Verb::Launch, None)),
        ("order, kill", order(Verb::Kill, Some(5))),
        ("order, forget", order(Verb::Forget, None)),
    ] {
        golden.both_ways(name, &order);
    }
    let orders = vec![
        order(Verb::Launch, None),
        order(Verb::Kill, Some(0)),
        order(Verb::Forget, None),
    ];
    let reply = ReportReply {
        token: 43,
        orders: orders.clone(),
    };
    golden.both_ways("report reply", &reply);
    let commands = Commands {
        token: 44,
        session: 4,
        orders,
    };
    golden.both_ways("commands", &commands);
    for (name, host) in [
        ("elsewhere, known", Some("hutte-1".to_owned())),
        ("elsewhere, unknown", None),
    ] {
        golden.both_ways(name, &Elsewhere { host });
    }
    golden.all();
}

#[test]
fn causes_of_exits_have_their_names() {
    for (name, cause) in [
        ("done", Cause::Done),
        ("stopped", Cause::Stopped),
        ("peers", Cause::Peers),
        ("alone", Cause::Alone),
        ("no_room", Cause::NoRoom),
        ("in_use", Cause::InUse),
        ("unknown", Cause::Unknown),
        ("error", Cause::Error),
    ] {
        assert_eq!(Cause::read(Some(name)), cause, "{name}");
    }
}

// ---- the cloud -------------------------------------------------------------

#[test]
fn messages_of_the_cloud_are_their_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/cloud.json"));
    let machine_type = TypeEntry {
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
    golden.both_ways("machine type", &machine_type);
    let catalog = || CatalogReply {
        hardware: vec![to_value(&machine_type)],
    };
    golden.both_ways("catalog", &catalog());
    let (types, faults) = catalog().into_catalog();
    assert!(faults.is_empty(), "{faults:?}");
    let read = &types["g8"];
    assert_eq!(
        (read.name.as_str(), read.room),
        ("g8", Room::offer(96.0, 8.0, 768.5))
    );
    assert_eq!((read.cache_gb, read.fetch_gb_per_s), (400.0, 1.25));
    assert_eq!(
        (read.price, read.spot_price, read.boot_s),
        (32.0, 11.5, 90.0)
    );
    assert_eq!(read.zones, text(&["eemsmond", "rijnmond"]));

    let rental = Rental {
        booking: "hutte-0-42-7".into(),
        kind: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        count: 3,
    };
    golden.both_ways("rental request", &rental);
    let machines = Machines {
        machines: vec![MachineId::from("n-000231"), MachineId::from("n-000232")],
    };
    golden.both_ways("machines, of a reply and of a release", &machines);
    let entry = RentalEntry {
        id: MachineId::from("n-000231"),
        kind: "g8".into(),
        zone: "eemsmond".into(),
        spot: false,
        phase: "running".into(),
        age_s: 12.5,
    };
    golden.both_ways("entry of the list", &entry);
    let list = RentalList {
        machines: vec![to_value(&entry)],
        more: true,
    };
    golden.both_ways("page of the list", &list);
    let (entries, faults) = list.entries();
    assert!(entries.len() == 1 && faults.is_empty(), "{faults:?}");
    assert_eq!(encode(&entries[0]), encode(&entry));
    let fault = CloudFault {
        error: "no capacity".into(),
    };
    golden.both_ways("refusal", &fault);
    golden.all();
}

// ---- the state service -----------------------------------------------------

#[test]
fn messages_of_the_state_service_are_their_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/state.json"));
    let value = || Value::Map(vec![(Value::from("host"), Value::from("hutte-0"))]);
    let entry = Entry {
        key: "w/part/1".into(),
        value: value(),
        version: 42,
    };
    golden.both_ways("entry", &entry);
    for (name, more) in [("page, more follow", true), ("page, the last", false)] {
        let page = Page {
            entries: vec![entry.clone()],
            more,
            revision: 77,
        };
        golden.both_ways(name, &page);
    }
    let condition = |key: &str, version| Condition {
        key: key.into(),
        version,
    };
    golden.both_ways("condition, absent", &condition("w/part/2", 0));
    golden.both_ways("condition, at a version", &condition("w/part/1", 42));
    let put = |hold| Write::Put {
        key: "w/part/1".into(),
        value: value(),
        hold,
    };
    let delete = || Write::Delete {
        key: "w/part/3".into(),
    };
    for (name, write) in [
        ("write, put", put(None)),
        ("write, put with a hold", put(Some(9))),
        ("write, delete", delete()),
    ] {
        golden.both_ways(name, &write);
        let read: Write = decode(&encode(&write)).expect("a write");
        assert_eq!(read, write, "{name}");
    }
    let txn = Txn {
        conditions: vec![condition("w/part/2", 0), condition("w/part/1", 42)],
        writes: vec![put(Some(9)), put(None), delete()],
    };
    golden.both_ways("transaction", &txn);
    golden.both_ways("transaction, empty", &Txn::default());
    for (name, failed) in [
        ("transaction reply, made", Vec::new()),
        ("transaction reply, failed", text(&["w/part/2"])),
    ] {
        let reply = TxnReply {
            failed,
            revision: 78,
        };
        golden.both_ways(name, &reply);
    }
    golden.both_ways("hold request", &HoldRequest { ttl_ms: 9_000 });
    golden.both_ways("hold reply", &HoldReply { hold: 9 });
    let change = |set: Option<&str>, drop: Option<&str>, version| Change {
        set: set.map(str::to_owned),
        drop: drop.map(str::to_owned),
        value: set.map(|_| value()),
        version,
    };
    let changes = Changes {
        revision: 79,
        events: vec![
            change(Some("w/part/1"), None, 78),
            change(None, Some("w/part/3"), 79),
        ],
    };
    golden.both_ways("changes", &changes);
    golden.all();
}

// ---- between controllers ---------------------------------------------------

fn attempt(task: u32) -> AttemptId {
    AttemptId {
        job: JobId::from("req-000412"),
        task,
        attempt: 2,
    }
}

fn room(n: u64) -> Room {
    Room {
        cpus: n,
        gpus: n + 1,
        memory: n + 2,
    }
}

fn want(task: u32, rank: Rank, evict: Evict, kill: Option<u32>) -> Want {
    Want {
        id: attempt(task),
        machine: MachineId::from("n-000231"),
        need: room(8_000),
        image: "img-07".into(),
        image_mb: 6_200,
        go: true,
        kill,
        team: "vision".into(),
        rank,
        over: false,
        grace: 5,
        lasting: true,
        evict,
    }
}

#[test]
fn messages_between_placers_and_owners_are_their_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/peers.json"));
    let sync = Sync {
        version: PEER_VERSION,
        from: 1,
        from_token: 42,
        to: 2,
        to_token: 43,
        seq: 7,
        store_age_ms: 120,
        span: Span {
            since: 3,
            upto: 5,
            last: true,
        },
        wants: vec![
            want(0, Rank::Production, Evict::Nobody, None),
            want(1, Rank::High, Evict::Lower, Some(4)),
            want(2, Rank::Normal, Evict::LowerAndOver, None),
            Want {
                go: false,
                over: true,
                lasting: false,
                ..want(3, Rank::Low, Evict::Nobody, None)
            },
        ],
        dropped: vec![attempt(4)],
        stops: vec![(attempt(5), 6)],
        have: Have {
            machines: 8,
            attempts: 9,
        },
        strays: 10,
        rented: vec![Rented {
            machine: MachineId::from("n-000240"),
            kind: "g8".into(),
            zone: "eemsmond".into(),
            spot: true,
            age_ms: 11,
        }],
        keep: vec![MachineId::from("n-000241")],
        notes: vec![JobNote {
            job: JobId::from("req-000413"),
            done: 12,
            running: 13,
            reason: "waits for room".into(),
        }],
    };
    golden.of_peers("sync, every field", &sync);
    let superseded = Superseded {
        version: PEER_VERSION,
        part: 1,
        token: 44,
        host: "hutte-2".into(),
    };
    golden.of_peers("superseded", &superseded);
    let standings = [
        Standing::Accepted,
        Standing::Preparing,
        Standing::Running,
        Standing::Exited(Cause::Done),
        Standing::Exited(Cause::Stopped),
        Standing::Exited(Cause::Peers),
        Standing::Exited(Cause::Alone),
        Standing::Exited(Cause::Error),
        Standing::Exited(Cause::NoRoom),
        Standing::Exited(Cause::InUse),
        Standing::Exited(Cause::Unknown),
        Standing::Gone,
        Standing::Refused,
    ];
    let machine = |renter, spot, up, open, leaving| MachineView {
        id: MachineId::from("n-000231"),
        kind: "g8".into(),
        zone: "eemsmond".into(),
        spot,
        up,
        open,
        leaving,
        free: room(100),
        soft: [room(200), room(300), room(400)],
        soft_over: [room(500), room(600), room(700)],
        busy: 3,
        lasting: 2,
        images: text(&["img-07"]),
        coming: text(&["img-08", "img-09"]),
        renter,
    };
    let view = View {
        version: PEER_VERSION,
        part: 2,
        token: 43,
        seq: 7,
        store_age_ms: 130,
        wants_at: 5,
        hidden: vec![Hidden {
            zone: "rijnmond".into(),
            for_ms: 1_500,
            over_in_ms: 2_500,
        }],
        machines_span: Span {
            since: 0,
            upto: 8,
            last: false,
        },
        machines: vec![
            machine(Some(1), true, false, false, false),
            machine(None, false, true, false, false),
            machine(None, false, false, true, false),
            machine(None, false, false, false, true),
        ],
        gone: vec![MachineId::from("n-000230")],
        attempts_span: Span {
            since: 6,
            upto: 9,
            last: true,
        },
        attempts: (0..)
            .zip(standings)
            .map(|(task, standing)| AttemptView {
                id: attempt(task),
                standing,
            })
            .collect(),
    };
    golden.of_peers("view, every field", &view);
    golden.all();
}

#[test]
fn messages_about_links_are_their_samples() {
    assert_eq!(
        [HAIL, CARRY, REPORTS],
        ["/peer/links", "/peer/carry", "/peer/reports"]
    );
    let mut golden = Golden::of(include_str!("samples/golden/links.json"));
    let word = Word {
        version: LINKS_VERSION,
        host: 1,
        store_ms: Some(120),
        cloud_ms: None,
        peers: vec![
            (2, links::Standing::Unknown, 10),
            (3, links::Standing::Up, 20),
            (4, links::Standing::Late, 30),
            (5, links::Standing::OneWay, 40),
            (6, links::Standing::Down, 50),
        ],
        zones: vec![("rijnmond".into(), 60)],
    };
    golden.of_links("word", &word);
    assert_eq!(
        (word.age_ms(Service::Store), word.age_ms(Service::Cloud)),
        (Some(120), None)
    );
    for (name, goal) in [
        ("carry, to the state service", Goal::Service(Service::Store)),
        ("carry, to the cloud", Goal::Service(Service::Cloud)),
        ("carry, to a worker", Goal::Worker("10.0.3.7:9100".into())),
    ] {
        let carry = Carry {
            version: LINKS_VERSION,
            goal,
            method: "POST".into(),
            path: "/commands".into(),
            body: vec![1, 2, 3],
            wait_ms: 900,
        };
        golden.of_links(name, &carry);
    }
    for (name, fate) in [
        (
            "carried, answered",
            Fate::Answer {
                status: 200,
                body: vec![4, 5],
            },
        ),
        ("carried, not sent", Fate::NotSent),
        ("carried, unknown", Fate::Unknown),
    ] {
        let carried = Carried {
            version: LINKS_VERSION,
            fate,
        };
        golden.of_links(name, &carried);
    }
    let reports = Reports {
        version: LINKS_VERSION,
        by: 3,
        reports: vec![vec![6], vec![7, 8]],
    };
    golden.of_links("reports", &reports);
    let answers = Answers {
        version: LINKS_VERSION,
        answers: vec![(200, vec![9]), (421, Vec::new())],
    };
    golden.of_links("answers", &answers);
    golden.all();
}

// ---- operators -------------------------------------------------------------

fn link(
    standing: links::Standing,
    carried_by: Option<&str>,
    took_ms: Option<(u64, u64)>,
) -> LinkRow {
    LinkRow {
        from: "hutte-0".into(),
        to: "state service".into(),
        standing,
        for_s: 17,
        carried_by: carried_by.map(str::to_owned),
        took_ms,
        said_s: 2,
    }
}

#[test]
fn what_operators_read_is_its_samples() {
    let mut golden = Golden::of(include_str!("samples/golden/operators.json"));
    let picture = Picture {
        links: vec![
            link(links::Standing::Unknown, None, None),
            link(links::Standing::Up, None, Some((3, 40))),
            link(links::Standing::Late, None, None),
            link(links::Standing::OneWay, None, None),
            link(links::Standing::Down, Some("hutte-1"), None),
        ],
        carried_workers: 12,
    };
    golden.both_ways("links", &picture);
    for (name, service) in [
        ("service, state", Service::Store),
        ("service, cloud", Service::Cloud),
    ] {
        golden.both_ways(name, &service);
    }
    let events = vec![EventRow {
        at: 1_790_000_000_000,
        text: "took part 2".into(),
    }];
    golden.both_ways("events", &events);
    let part = |holder: Option<&str>, token, since| watch::PartRow {
        part: 1,
        home: "hutte-1".into(),
        holder: holder.map(str::to_owned),
        token,
        since,
    };
    let short = |zones, short_s, below_half_s, due_s, tried| ShortRow {
        job: "req-000412".into(),
        class: "serve".into(),
        team: "vision".into(),
        part: 1,
        promised: 8,
        half: 4,
        up: 3,
        zones,
        short_s,
        below_half_s,
        doing: "starts 5".into(),
        due_s,
        lacks: "room".into(),
        tried,
    };
    let watch = Watch {
        host: "hutte-0".into(),
        age_ms: Some(250),
        parts: vec![
            part(Some("hutte-0"), Some(42), Some(1_790_000_000_000)),
            part(None, None, None),
        ],
        services: 6,
        promised: 48,
        up: 43,
        short: vec![
            short(
                vec![("eemsmond".into(), 2), ("rijnmond".into(), 1)],
                Some(20),
                Some(10),
                Some(-3),
                text(&["rented", "moved"]),
            ),
            short(Vec::new(), None, None, None, Vec::new()),
        ],
    };
    golden.both_ways("watch", &watch);
    let closed = ClosedRow {
        by: "hutte-0".into(),
        read_ms: Some(310),
        first_start_ms: Some(420),
        whole_ms: Some(5_300),
        held_ms: Some(90_000),
        found: Some((30, 4)),
        gaps: vec![("serve".into(), 6_100)],
        unknown: text(&["first start"]),
    };
    let handover = |from: Option<&str>, to: Option<&str>, token, up, closed| HandoverRow {
        part: 2,
        n: 5,
        at: 1_790_000_000_000,
        from: from.map(str::to_owned),
        to: to.map(str::to_owned),
        how: "vacant".into(),
        token,
        up,
        closed,
    };
    let handovers = Handovers {
        host: "hutte-0".into(),
        age_ms: None,
        changes: vec![
            handover(
                Some("hutte-2"),
                Some("hutte-0"),
                Some(42),
                Some((30, 20, 10)),
                Some(closed),
            ),
            handover(None, None, None, None, None),
        ],
    };
    golden.both_ways("handovers", &handovers);
    let weights = WeightsPicture {
        image: "img-07".into(),
        mb: Some(6_200),
        users: vec![UserRow {
            class: "serve".into(),
            jobs: 2,
            tasks: 16,
        }],
        zones: vec![ZoneRow {
            zone: "eemsmond".into(),
            here: 5,
            coming: 1,
            open: 4,
            left: 3,
            hidden: true,
        }],
        parts: vec![
            weights::PartRow {
                part: 0,
                told_s: Some(2),
            },
            weights::PartRow {
                part: 1,
                told_s: None,
            },
        ],
    };
    golden.both_ways("weights", &weights);
    golden.both_ways("weights, of no image", &WeightsPicture::default());
    golden.all();
}

// ---- fields that senders may leave out ---------------------------------------

#[test]
fn fields_that_may_be_absent_have_their_defaults_and_no_others_may() {
    let names = ["hardware", "hall", "dueS", "awaits"];
    let job = without(&full_job(), &names);
    assert!(job.types.is_none() && job.zone.is_none());
    assert!(job.deadline_s.is_none() && job.awaits.is_empty());
    needs_all_but(&full_job(), &names);

    let task = TaskReport {
        piece: "req-000412/3".into(),
        attempt: 2,
        phase: TaskPhase::Exited,
        cause: Some("done".into()),
        saved: Some(true),
    };
    let names = ["cause", "saved"];
    let read = without(&task, &names);
    assert!(read.cause.is_none() && read.saved.is_none());
    needs_all_but(&task, &names);
    let report = Report {
        machine: MachineId::from("n-000231"),
        address: "10.0.3.7:9100".into(),
        kind: "g8".into(),
        zone: "eemsmond".into(),
        spot: true,
        session: 4,
        seq: 17,
        token: 42,
        notice_s: Some(29.5),
        tasks: vec![task],
    };
    let names = ["mandate", "warningS", "pieces"];
    let read = without(&report, &names);
    assert!(read.token == 0 && read.notice_s.is_none() && read.tasks.is_empty());
    needs_all_but(&report, &names);
    let kill = order(Verb::Kill, Some(5));
    assert_eq!(without(&kill, &["courtesyS"]).grace_s, None);
    needs_all_but(&kill, &["courtesyS"]);

    let machine_type = TypeEntry {
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
    let read = without(&machine_type, &names);
    let amounts = [
        read.cache_gb,
        read.pull_gb_per_s,
        read.hourly,
        read.spot_price,
        read.boot_s,
    ];
    assert_eq!(amounts, [0.0; 5]);
    needs_all_but(&machine_type, &names);
    let list = RentalList {
        machines: Vec::new(),
        more: true,
    };
    assert!(!without(&list, &["truncated"]).more);
    needs_all_but(&list, &["truncated"]);

    let page = Page {
        entries: Vec::new(),
        more: true,
        revision: 77,
    };
    assert!(!without(&page, &["truncated"]).more);
    needs_all_but(&page, &["truncated"]);
    let reply = TxnReply {
        failed: text(&["w/part/2"]),
        revision: 78,
    };
    let read = without(&reply, &["failed", "ledger"]);
    assert!(read.failed.is_empty() && read.revision == 0);
    let change = Change {
        set: Some("w/part/1".into()),
        drop: Some("w/part/3".into()),
        value: Some(Value::from(1)),
        version: 79,
    };
    let read = without(&change, &["set", "drop", "data", "stamp"]);
    assert!(read.set.is_none() && read.drop.is_none());
    assert!(read.value.is_none() && read.version == 0);
    let changes = Changes {
        revision: 79,
        events: vec![change],
    };
    assert!(without(&changes, &["events"]).events.is_empty());
    needs_all_but(&changes, &["events"]);
}
