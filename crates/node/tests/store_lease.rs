//! Tests of a controller process with a slow store: renewal of its store lease, and loading
//! of the shard that it acquires.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lemonweir_model::settings::Settings;
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseResponse, ListResponse, WatchEvent,
    WatchResponse, Write, to_value,
};
use lemonweir_protocol::{decode, encode};
use lemonweir_storage::records::{TaskChunkRecord, shard_key, task_chunks_prefix};

/// Number of pages of the shard's task records.
const PAGES: usize = 9;
/// Time that the store takes to answer each page.
const PAGE_LATENCY: Duration = Duration::from_millis(1_000);
/// The page that is refused the first time it is requested.
const REFUSED_PAGE: usize = 3;

#[derive(Clone, Debug, PartialEq)]
enum ObservedRequest {
    LeaseRenewal,
    TaskRecordsPage(usize),
    ShardAcquisition,
    ImageLocations,
}

#[derive(Default)]
struct FakeStore {
    revision: u64,
    versions: BTreeMap<String, u64>,
    log: Vec<WatchEvent>,
    observed: Vec<ObservedRequest>,
    /// Whether [`REFUSED_PAGE`] has been refused.
    refused: bool,
}

impl FakeStore {
    fn cas(&mut self, cas: &CompareAndSwap) -> (u16, Vec<u8>) {
        let version = |key: &String| self.versions.get(key).copied().unwrap_or(0);
        let failed: Vec<String> = cas
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return (
                409,
                encode(&CompareAndSwapResponse {
                    failed,
                    revision: self.revision,
                }),
            );
        }
        self.revision += 1;
        for write in &cas.writes {
            let event = match write {
                Write::Put { key, value, .. } => {
                    if *key == shard_key(0) {
                        self.observed.push(ObservedRequest::ShardAcquisition);
                    }
                    self.versions.insert(key.clone(), self.revision);
                    WatchEvent {
                        set: Some(key.clone()),
                        drop: None,
                        value: Some(value.clone()),
                        version: self.revision,
                    }
                }
                Write::Delete { key } => {
                    self.versions.remove(key);
                    WatchEvent {
                        set: None,
                        drop: Some(key.clone()),
                        value: None,
                        version: self.revision,
                    }
                }
            };
            self.log.push(event);
        }
        (
            200,
            encode(&CompareAndSwapResponse {
                failed: Vec::new(),
                revision: self.revision,
            }),
        )
    }
}

fn handle_request(
    store: &Mutex<FakeStore>,
    method: &str,
    path: &str,
    body: &[u8],
) -> (u16, Vec<u8>) {
    let page = |entries: Vec<KeyValue>, more: bool, revision: u64| {
        (
            200,
            encode(&ListResponse {
                entries,
                truncated: more,
                revision,
            }),
        )
    };
    if method == "GET" && path.contains(&format!("under={}", task_chunks_prefix(0))) {
        std::thread::sleep(PAGE_LATENCY);
        let last_page = path
            .split("&after=run/0/req-000001/")
            .nth(1)
            .and_then(|rest| rest.split('&').next()?.parse::<usize>().ok());
        let page_number = last_page.map_or(0, |last| last + 1);
        let mut store = store.lock().expect("store lock is not poisoned");
        if page_number == REFUSED_PAGE && !std::mem::replace(&mut store.refused, true) {
            return (503, Vec::new());
        }
        store
            .observed
            .push(ObservedRequest::TaskRecordsPage(page_number));
        let entry = KeyValue {
            key: format!("{}req-000001/{page_number}", task_chunks_prefix(0)),
            value: to_value(&TaskChunkRecord::default()),
            version: 1,
        };
        return page(vec![entry], page_number + 1 < PAGES, store.revision);
    }
    let mut store = store.lock().expect("store lock is not poisoned");
    match (method, path) {
        ("POST", "/holds") => (200, encode(&LeaseResponse { lease: 7 })),
        ("POST", "/holds/7/renew") => {
            store.observed.push(ObservedRequest::LeaseRenewal);
            (200, encode(&LeaseResponse { lease: 7 }))
        }
        ("POST", "/txn") => {
            let cas = decode::<CompareAndSwap>(body).expect("valid compare-and-swap");
            store.cas(&cas)
        }
        ("GET", path) if path.starts_with("/watch") => {
            let after: u64 = path
                .split("after=")
                .nth(1)
                .and_then(|rest| rest.split('&').next()?.parse().ok())
                .expect("revision in the query");
            let events = store
                .log
                .iter()
                .filter(|c| c.version > after)
                .cloned()
                .collect();
            (
                200,
                encode(&WatchResponse {
                    revision: store.revision,
                    events,
                }),
            )
        }
        ("GET", path) if path.contains("under=") => {
            if path.contains("under=img/") {
                store.observed.push(ObservedRequest::ImageLocations);
            }
            page(Vec::new(), false, store.revision)
        }
        _ => (404, Vec::new()),
    }
}

/// Answers the requests of one connection.
fn serve(stream: TcpStream, store: &Mutex<FakeStore>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut stream = stream;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let mut request_line = line.split(' ').map(str::to_owned);
        let (method, path) = (request_line.next()?, request_line.next()?);
        let mut length = 0;
        loop {
            let mut header = String::new();
            reader.read_line(&mut header).ok()?;
            if header.trim().is_empty() {
                break;
            }
            if let Some((name, value)) = header.split_once(':')
                && name.eq_ignore_ascii_case("content-length")
            {
                length = value.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let (status, body) = handle_request(store, &method, &path, &body);
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), &body].concat()).ok()?;
    }
}

fn settings(store: u16) -> Settings {
    serde_json::from_value(serde_json::json!({
        "host_name": "h0", "zone": "north", "listen": "127.0.0.1:0", "internal_addr": "127.0.0.1:0",
        "seeds": [],
        "services": {"cloud": "127.0.0.1:9", "state": format!("127.0.0.1:{store}")},
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

/// Reading a shard's records takes longer than the TTL of the store lease, and one page is
/// refused. Guards against the lease expiring meanwhile, and against acquiring the shard
/// again for the refused page.
#[test]
fn store_lease_is_renewed_while_shard_records_load_slowly() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to an unused port");
    let port = listener.local_addr().expect("local address").port();
    let store = Arc::new(Mutex::new(FakeStore {
        revision: 1,
        ..FakeStore::default()
    }));
    let shared = store.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let store = shared.clone();
            std::thread::spawn(move || serve(stream, &store));
        }
    });
    // The controller runs until the test process ends.
    std::thread::spawn(move || {
        lemonweir_node::run(
            settings(port),
            lemonweir_policy::embedded().expect("embedded policy"),
        )
    });
    let began = Instant::now();
    let observed = loop {
        std::thread::sleep(Duration::from_millis(100));
        let observed = store
            .lock()
            .expect("store lock is not poisoned")
            .observed
            .clone();
        if observed.contains(&ObservedRequest::ImageLocations) {
            break observed;
        }
        assert!(began.elapsed() < Duration::from_secs(120), "{observed:?}");
    };
    assert_eq!(
        observed
            .iter()
            .filter(|request| **request == ObservedRequest::ShardAcquisition)
            .count(),
        1,
        "{observed:?}"
    );
    // Counted in pages, each of which takes a seventh of the lease TTL.
    let most_pages_between_renewals = observed
        .split(|request| *request == ObservedRequest::LeaseRenewal)
        .map(|requests| {
            requests
                .iter()
                .filter(|request| matches!(request, ObservedRequest::TaskRecordsPage(_)))
                .count()
        })
        .max();
    assert!(
        most_pages_between_renewals.is_some_and(|pages| pages <= 5),
        "{observed:?}"
    );
}
