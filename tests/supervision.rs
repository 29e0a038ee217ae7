//! Commands of `lemonweir` against a fake controller with a fixed response.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

use lemonweir_protocol::encode;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport, TeamUsageRow,
    UnderReplicatedServiceRow, UsageSide,
};

/// Answers one request with this status and body; the thread returns the request line.
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
    run_command(addr, "supervision", args)
}

fn run_command(addr: SocketAddr, command: &str, args: &[&str]) -> Output {
    let node = addr.to_string();
    Command::new(env!("CARGO_BIN_EXE_lemonweir"))
        .args([command, "--node", &node])
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

fn supervision_report(age_ms: Option<u64>) -> SupervisionReport {
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
        team_usage: vec![
            team_usage("red", UsageSide::Placer, 14_000),
            team_usage("red", UsageSide::Owner, 13_000),
            team_usage("blue", UsageSide::Placer, 13_000),
        ],
    }
}

fn team_usage(team: &str, side: UsageSide, milli_gpus: u64) -> TeamUsageRow {
    TeamUsageRow {
        team: team.into(),
        shard: 1,
        side,
        attempts: 14,
        milli_cpus: 66_000,
        milli_gpus,
        milli_cpus_limit: None,
        milli_gpus_limit: Some(13_000),
    }
}

#[test]
fn team_over_its_quota_limit_is_shown_with_the_counting_side() {
    let (addr, request) = serve(200, encode(&supervision_report(Some(200))));
    let output = text(&run(addr, &[]));
    drop(request.join());
    let row = |side: &str| {
        let matches = |line: &&str| line.contains("red") && line.contains(side);
        output.lines().find(matches).map(str::to_owned)
    };
    let placer = row("placer").expect("a row");
    assert!(placer.contains("14 of 13"), "{placer}");
    assert_eq!(row("owner"), None, "{output}");
    assert!(!output.contains("blue"), "{output}");
}

#[test]
fn supervision_report_is_shown_with_its_age() {
    let (addr, request) = serve(200, encode(&supervision_report(Some(61_000))));
    let output = text(&run(addr, &[]));
    assert!(
        request
            .join()
            .expect("a request")
            .starts_with("GET /v1/watch HTTP")
    );
    for expected in [
        "nobody",
        "1 of 4",
        "north 1",
        "140",
        "-12",
        "replica 2 left n-000009",
        "9 of 12 replicas of 2 services are up",
    ] {
        assert!(output.contains(expected), "{expected}: {output}");
    }
    assert!(
        output.contains("as h1 read it 61000 ms ago"),
        "the view may be old while the store is unreachable: {output}"
    );
    let (addr, _) = serve(200, encode(&supervision_report(None)));
    let output = text(&run(addr, &["--json"]));
    let json: serde_json::Value = serde_json::from_str(&output).expect("JSON");
    assert_eq!(
        (json["age_ms"].is_null(), json["short"][0]["up"].as_u64()),
        (true, Some(1))
    );
}

#[test]
fn failovers_are_shown_open_and_completed() {
    let row = |n, to: Option<&str>, completed| FailoverRow {
        shard: 0,
        number: n,
        at_ms: 1_790_000_000_000,
        previous_leader: Some("h0".into()),
        new_leader: to.map(str::to_owned),
        change: "taken".into(),
        fencing_token: to.map(|_| 77),
        up: Some((11, 2, 5)),
        completion: completed,
    };
    let completion = FailoverCompletionRow {
        reported_by: "h2".into(),
        state_loaded_ms: Some(40),
        first_start_ms: Some(310),
        services_restored_ms: None,
        leadership_ms: Some(9_000),
        found: Some((10, 1)),
        gaps: vec![("photo-check".into(), 8_200)],
        unknown: vec!["when all services were whole".into()],
    };
    let report = FailoverReport {
        host: "h1".into(),
        store_age_ms: Some(120),
        failovers: vec![
            row(9, None, None),
            row(8, Some("h2"), None),
            row(7, Some("h2"), Some(completion)),
        ],
    };
    let (addr, request) = serve(200, encode(&report));
    let output = text(&run(addr, &["--failovers"]));
    assert!(
        request
            .join()
            .expect("a request")
            .starts_with("GET /v1/watch/handovers HTTP")
    );
    for expected in [
        "11 replicas, 2 others, 5 machines",
        "310 ms",
        "10 found up, 1 started",
        "photo-check 8200 ms",
        "held for 9000 ms",
        "unknown: when",
    ] {
        assert!(output.contains(expected), "{expected}: {output}");
    }
    assert_eq!(
        output.matches("not written yet").count(),
        1,
        "completions are recorded only for acquired shards: {output}"
    );
}

/// Responses that can't be decoded, as from another version or another service, are
/// reported with the controller's address.
#[test]
fn unreadable_response_is_reported_with_the_controller() {
    for (status, body) in [
        (404, Vec::new()),
        (200, b"<html>".to_vec()),
        (200, encode(&"what")),
    ] {
        let (addr, _) = serve(status, body);
        let output = run(addr, &["--failovers"]);
        assert!(!output.status.success());
        assert!(String::from_utf8_lossy(&output.stderr).contains(&addr.to_string()));
    }
}

/// Former names of commands and flags send the same requests and print the same output.
#[test]
fn former_names_of_commands_do_the_same() {
    let failovers = FailoverReport {
        host: "h1".into(),
        store_age_ms: Some(120),
        failovers: Vec::new(),
    };
    let cancelled = serde_json::json!({"id": "req-1"});
    for (body, former, main) in [
        (
            encode(&supervision_report(Some(61_000))),
            ("watch", &[][..]),
            ("supervision", &[][..]),
        ),
        (
            encode(&failovers),
            ("watch", &["--handovers"]),
            ("supervision", &["--failovers"]),
        ),
        (
            encode(&serde_json::json!({"image": "img-07"})),
            ("watch", &["--weights", "img-07", "--json"]),
            ("supervision", &["--image-locality", "img-07", "--json"]),
        ),
        (
            encode(&cancelled),
            ("withdraw", &["req-1"]),
            ("cancel", &["req-1"]),
        ),
    ] {
        let outcome = |(command, args): (&str, &[&str])| {
            let (addr, request) = serve(200, body.clone());
            let output = text(&run_command(addr, command, args));
            (request.join().expect("a request"), output)
        };
        assert_eq!(outcome(former), outcome(main), "{former:?}");
    }
}
