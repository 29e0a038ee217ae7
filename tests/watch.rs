//! `lemonweir watch` against a controller that answers what it is given.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

use lemonweir_protocol::encode;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport,
    UnderReplicatedServiceRow,
};

/// Answers one request with this, and tells its path.
fn serve(status: u16, body: Vec<u8>) -> (SocketAddr, std::thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a request");
        let mut lines = BufReader::new(stream.try_clone().expect("a stream")).lines();
        let first = lines.next().expect("a line").expect("text");
        let _ = lines
            .by_ref()
            .take_while(|l| l.as_ref().is_ok_and(|l| !l.is_empty()))
            .count();
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .expect("sent");
        first
    });
    (addr, thread)
}

fn run(addr: SocketAddr, args: &[&str]) -> Output {
    let node = addr.to_string();
    Command::new(env!("CARGO_BIN_EXE_lemonweir"))
        .args(["watch", "--node", &node])
        .args(args)
        .output()
        .expect("it runs")
}

fn text(output: &Output) -> String {
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn watch(age_ms: Option<u64>) -> SupervisionReport {
    SupervisionReport {
        host: "h1".into(),
        store_age_ms: age_ms,
        shards: vec![
            ShardRow {
                shard: 0,
                preferred_leader: "h0".into(),
                leader: None,
                fencing_token: None,
                leader_since_ms: None,
            },
            ShardRow {
                shard: 1,
                preferred_leader: "h1".into(),
                leader: Some("h1".into()),
                fencing_token: Some(40),
                leader_since_ms: Some(1_790_000_000_000),
            },
        ],
        services: 2,
        desired: 12,
        running: 9,
        under_replicated: vec![UnderReplicatedServiceRow {
            job: "req-000007".into(),
            class: "photo-check".into(),
            team: "red".into(),
            shard: 1,
            desired: 4,
            half: 2,
            running: 1,
            zones: vec![("north".into(), 1)],
            under_replicated_s: Some(140),
            below_half_s: Some(20),
            action: "starting, or fetching its image".into(),
            due_in_s: Some(-12),
            blocked_by: String::new(),
            escalations: vec!["3 s ago: replica 2 left n-000009".into()],
        }],
    }
}

#[test]
fn the_state_of_the_watch_is_told_with_its_age() {
    let (addr, asked) = serve(200, encode(&watch(Some(61_000))));
    let told = text(&run(addr, &[]));
    assert!(
        asked
            .join()
            .expect("asked")
            .starts_with("GET /v1/watch HTTP")
    );
    for shard in [
        "nobody",
        "1 of 4",
        "north 1",
        "140",
        "-12",
        "replica 2 left n-000009",
        "9 of 12 replicas of 2 services are up",
    ] {
        assert!(told.contains(shard), "{shard}: {told}");
    }
    assert!(
        told.contains("as h1 read it 61000 ms ago"),
        "the store may be away: {told}"
    );
    let (addr, _) = serve(200, encode(&watch(None)));
    let told = text(&run(addr, &["--json"]));
    let json: serde_json::Value = serde_json::from_str(&told).expect("JSON");
    assert_eq!(
        (json["age_ms"].is_null(), json["short"][0]["up"].as_u64()),
        (true, Some(1))
    );
}

#[test]
fn changes_of_hands_are_told_open_and_closed() {
    let row = |n, to: Option<&str>, closed| FailoverRow {
        shard: 0,
        number: n,
        at_ms: 1_790_000_000_000,
        previous_leader: Some("h0".into()),
        new_leader: to.map(str::to_owned),
        change: "taken".into(),
        fencing_token: to.map(|_| 77),
        up: Some((11, 2, 5)),
        completion: closed,
    };
    let closed = FailoverCompletionRow {
        reported_by: "h2".into(),
        state_loaded_ms: Some(40),
        first_start_ms: Some(310),
        services_restored_ms: None,
        leadership_ms: Some(9_000),
        found: Some((10, 1)),
        gaps: vec![("photo-check".into(), 8_200)],
        unknown: vec!["when all services were whole".into()],
    };
    let all = FailoverReport {
        host: "h1".into(),
        store_age_ms: Some(120),
        failovers: vec![
            row(9, None, None),
            row(8, Some("h2"), None),
            row(7, Some("h2"), Some(closed)),
        ],
    };
    let (addr, asked) = serve(200, encode(&all));
    let told = text(&run(addr, &["--handovers"]));
    assert!(
        asked
            .join()
            .expect("asked")
            .starts_with("GET /v1/watch/handovers HTTP")
    );
    for shard in [
        "11 replicas, 2 others, 5 machines",
        "310 ms",
        "10 found up, 1 started",
        "photo-check 8200 ms",
        "held for 9000 ms",
        "unknown: when",
    ] {
        assert!(told.contains(shard), "{shard}: {told}");
    }
    assert_eq!(
        told.matches("not written yet").count(),
        1,
        "only what somebody took has something to be found: {told}"
    );
}

/// What a controller of an earlier version, or something else, answers is named.
#[test]
fn what_cant_be_read_is_named() {
    for (status, body) in [
        (404, Vec::new()),
        (200, b"<html>".to_vec()),
        (200, encode(&"what")),
    ] {
        let (addr, _) = serve(status, body);
        let output = run(addr, &["--handovers"]);
        assert!(!output.status.success());
        assert!(String::from_utf8_lossy(&output.stderr).contains(&addr.to_string()));
    }
}
