//! Tests of the routes for other controllers, on a controller process that reaches
//! neither the store nor the cloud.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use lemonweir_model::settings::Settings;
use lemonweir_transport::Client;

const TIMEOUT_MS: u64 = 5_000;

fn unused_address() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0))
        .expect("bind to an unused port")
        .local_addr()
        .expect("local address")
}

fn settings(internal_addr: SocketAddr) -> Settings {
    serde_json::from_value(serde_json::json!({
        "host_name": "h0", "zone": "north", "listen": "127.0.0.1:0", "internal_addr": internal_addr,
        "seeds": [],
        "services": {"cloud": "127.0.0.1:9", "state": "127.0.0.1:9"},
        "cluster": {
            "zones": ["north"], "teams": [{"name": "red"}], "objectives": [],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 4},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 0.12, "mem_mb": 104.0, "fd_limit": 1800},
            "clock_off_ms": 250.0
        }
    }))
    .expect("valid settings")
}

/// Starts a controller that runs until the test process ends, and waits until it listens.
fn start() -> SocketAddr {
    let address = unused_address();
    std::thread::spawn(move || {
        lemonweir_node::run(
            settings(address),
            lemonweir_policy::embedded().expect("embedded policy"),
        )
    });
    let began = Instant::now();
    while std::net::TcpStream::connect(address).is_err() {
        assert!(
            began.elapsed() < Duration::from_secs(60),
            "controller does not listen"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    address
}

/// Guards against handling a message on the wrong route: wake-ups and notifications of
/// accepted jobs have no body, while on the other routes an empty body is malformed.
#[test]
fn each_peer_route_answers_its_own_messages() {
    let address = start();
    let client = Client::new(4);
    for (method, path, status) in [
        ("POST", "/peer/jobs", 200),
        ("POST", "/peer/nudge/0/1", 200),
        ("POST", "/peer/nudge/0", 400),
        ("POST", "/peer/nudge/x/y", 400),
        ("POST", "/peer/sync", 400),
        ("POST", lemonweir_protocol::links::GOSSIP_PATH, 400),
        ("POST", lemonweir_protocol::links::RELAY_PATH, 400),
        (
            "POST",
            lemonweir_protocol::links::RELAY_HEARTBEATS_PATH,
            400,
        ),
        ("POST", "/peer/unknown", 404),
        ("GET", "/peer/jobs", 404),
    ] {
        let response = smol::block_on(client.call(address, method, path, &[], TIMEOUT_MS))
            .unwrap_or_else(|error| panic!("{method} {path}: {error}"));
        assert_eq!(response.status, status, "{method} {path}");
    }
}
