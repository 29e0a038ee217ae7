//! One real controller process on loopback, with a stand-in for the state service and
//! the cloud: what users are told when, and what that costs the store.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lemonweir_model::settings::Settings;
use lemonweir_model::settings::KvStoreLimits;
use lemonweir_model::{JobKind, JobSpec};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse,
    WatchResponse, to_value,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::{decode, encode};
use lemonweir_simulator::sample::job;
use lemonweir_simulator::store::{Store, TxnAnswer};
use lemonweir_storage::records::{JobEndRecord, end_key};
use lemonweir_transport::server::listen;
use lemonweir_transport::{Gate, Handler, Reply, Request, serve};

/// The state service and the cloud.
#[derive(Default)]
struct Stand {
    store: Mutex<Option<Store>>,
    /// Nothing is answered.
    silent: AtomicBool,
    /// Readings of ends.
    ends_read: AtomicUsize,
    questions: AtomicUsize,
}

struct Services(Arc<Stand>);

/// A store that takes whatever comes.
fn unlimited() -> KvStoreLimits {
    KvStoreLimits {
        requests_per_s: 1e9,
        writes_per_s: 1e9,
        max_value_kib: 1e6,
        max_cas_ops: 1_000_000,
        upcoming: None,
    }
}

fn field<'a>(path: &'a str, name: &str) -> &'a str {
    path.split(['?', '&'])
        .find_map(|shard| shard.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or_default()
}

impl Services {
    fn answer(&self, request: &Request) -> Reply {
        let (stand, path) = (&self.0, request.path.as_str());
        let mut store = stand.store.lock().expect("store");
        let store = store.get_or_insert_with(|| Store::new(&unlimited()));
        match (
            request.method.as_str(),
            path.split('?').next().unwrap_or_default(),
        ) {
            ("GET", "/catalog") => Reply::new(
                200,
                encode(
                    &serde_json::json!({"hardware": [{"name": "box", "cores": 16.0, "gpus": 4.0, "ramGb": 64.0, "cacheGb": 100.0,
                    "pullGbPerS": 1.0, "hourly": 4.0, "spotPrice": 1.0, "bootS": 20.0, "halls": ["north", "south"]}]}),
                ),
            ),
            ("GET", "/rentals") => Reply::new(
                200,
                encode(&serde_json::json!({"boxes": [], "truncated": false})),
            ),
            ("POST", "/rentals") => {
                Reply::new(503, encode(&serde_json::json!({"error": "no capacity"})))
            }
            ("POST", "/holds") => match decode::<LeaseRequest>(&request.body) {
                Ok(hold) => Reply::new(
                    200,
                    encode(&LeaseResponse {
                        lease: store.hold(hold.ttl_ms * 1_000_000, 0),
                    }),
                ),
                Err(_) => Reply::empty(400),
            },
            ("GET", "/watch") => {
                let after = field(path, "after").parse().unwrap_or(0);
                match store.changes(field(path, "under"), after) {
                    Some(events) => Reply::new(
                        200,
                        encode(&WatchResponse {
                            revision: store.revision,
                            events,
                        }),
                    ),
                    None => Reply::empty(410),
                }
            }
            ("GET", "/store") => {
                let (under, after) = (field(path, "under"), field(path, "after"));
                stand
                    .ends_read
                    .fetch_add(usize::from(under == "end/"), Ordering::Relaxed);
                let limit: usize = field(path, "limit").parse().unwrap_or(1_000);
                let mut entries: Vec<KeyValue> = store
                    .list(under)
                    .into_iter()
                    .filter(|e| e.key.as_str() > after)
                    .collect();
                let more = entries.len() > limit;
                entries.truncate(limit);
                Reply::new(
                    200,
                    encode(&ListResponse {
                        entries,
                        truncated: more,
                        revision: store.revision,
                    }),
                )
            }
            ("GET", path) => match path
                .strip_prefix("/store/")
                .and_then(|key| store.get(key).map(|found| (key, found)))
            {
                Some((key, (value, version))) => Reply::new(
                    200,
                    encode(&KeyValue {
                        key: key.to_owned(),
                        value: value.clone(),
                        version,
                    }),
                ),
                None => Reply::empty(404),
            },
            ("POST", "/txn") => match decode::<CompareAndSwap>(&request.body) {
                Ok(cas) => {
                    stand
                        .questions
                        .fetch_add(usize::from(cas.writes.is_empty()), Ordering::Relaxed);
                    match store.cas(&cas) {
                        TxnAnswer::Done(revision) => Reply::new(
                            200,
                            encode(&CompareAndSwapResponse {
                                failed: Vec::new(),
                                revision,
                            }),
                        ),
                        TxnAnswer::Conflict(failed) => Reply::new(
                            409,
                            encode(&CompareAndSwapResponse {
                                failed,
                                revision: store.revision,
                            }),
                        ),
                        TxnAnswer::NoHold => {
                            Reply::new(400, encode(&serde_json::json!({"error": "no such lease"})))
                        }
                        TxnAnswer::TooLarge => {
                            Reply::new(400, encode(&serde_json::json!({"error": "too large"})))
                        }
                    }
                }
                Err(_) => Reply::empty(400),
            },
            // A renewal.
            _ => Reply::empty(200),
        }
    }
}

impl Handler for Services {
    async fn handle(&self, request: Request) -> Reply {
        while self.0.silent.load(Ordering::Relaxed) {
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        self.answer(&request)
    }
}

fn free() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0))
        .expect("bound")
        .local_addr()
        .expect("bound")
}

/// A controller, one of three of which the others are away, and its services.
fn start(stand: &Arc<Stand>) -> SocketAddr {
    let (services, ready) = (stand.clone(), std::sync::mpsc::channel());
    std::thread::spawn(move || {
        let executor: &'static smol::LocalExecutor<'static> =
            Box::leak(Box::new(smol::LocalExecutor::new()));
        smol::block_on(executor.run(async move {
            let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("bound");
            ready
                .0
                .send(listener.local_addr().expect("bound"))
                .expect("waits");
            serve(
                executor,
                listener,
                Gate::new(500, 500, 0),
                1 << 20,
                Rc::new(Services(services)),
            )
            .await;
        }));
    });
    let services = ready.1.recv().expect("listens");
    let (public, internal) = (free(), free());
    let seed = |n: usize| serde_json::json!({"host_name": format!("h{n}"), "zone": "south", "address": free()});
    let settings: Settings = serde_json::from_value(serde_json::json!({
        "host_name": "h0", "zone": "north", "listen": public, "internal_addr": internal, "seeds": [seed(1), seed(2)],
        "services": {"cloud": services, "state": services},
        "cluster": {
            "zones": ["north", "south"],
            "teams": [{"name": "red", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "workers": {"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 34.0},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 4.0, "list_lag_s": 10.0},
            "limits": {"cpu_share": 1.0, "mem_mb": 100.0, "fd_limit": 800}
        }
    }))
    .expect("settings");
    std::thread::spawn(move || {
        lemonweir_node::run(settings, lemonweir_policy::embedded().expect("policy"))
    });
    public
}

/// A user's connection.
struct User(TcpStream);

/// Status, what the head says, body.
type Told = (u16, String, Vec<u8>);

impl User {
    fn new(to: SocketAddr) -> Self {
        let began = Instant::now();
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => return Self(stream),
                Err(fault) if began.elapsed() > Duration::from_secs(30) => {
                    panic!("no connection: {fault}")
                }
                Err(_) => std::thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    fn ask(&mut self, method: &str, path: &str, body: &[u8]) -> Told {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.0
            .write_all(&[head.as_bytes(), body].concat())
            .expect("sent");
        let mut all = Vec::new();
        let mut chunk = [0; 4_096];
        loop {
            if let Some(end) = all.windows(4).position(|w| w == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&all[..end]).into_owned();
                let length: usize = head
                    .lines()
                    .find_map(|l| l.strip_prefix("Content-Length: ")?.parse().ok())
                    .unwrap_or(0);
                if all.len() >= end + 4 + length {
                    let status = head
                        .split(' ')
                        .nth(1)
                        .and_then(|s| s.parse().ok())
                        .expect("status");
                    return (status, head, all.split_off(end + 4));
                }
            }
            let n = self.0.read(&mut chunk).expect("an answer");
            assert!(n > 0, "closed without an answer");
            all.extend_from_slice(&chunk[..n]);
        }
    }
}

fn ask(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Told {
    User::new(to).ask(method, path, body)
}

/// Waits until `/up` says so; the time is only a bound for a machine that is busy.
fn await_up(to: SocketAddr, status: u16) {
    let began = Instant::now();
    while ask(to, "GET", "/up", &[]).0 != status {
        assert!(
            began.elapsed() < Duration::from_secs(60),
            "/up is not {status}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn phase(told: &Told) -> (u16, String) {
    let state = decode::<serde_json::Value>(&told.2).unwrap_or_default();
    (
        told.0,
        state["phase"].as_str().unwrap_or_default().to_owned(),
    )
}

fn is(phase: &str) -> (u16, String) {
    (200, phase.to_owned())
}

/// A controller that loses the state service and has no other controller tells
/// users at once that it can take nothing, closes their connections, so that they go
/// elsewhere, and fails `/up`; what it knows to be over it still tells. Back in touch,
/// it takes up again.
#[test]
fn a_controller_with_only_its_workers_sends_users_elsewhere() {
    let stand = Arc::new(Stand::default());
    let at = start(&stand);
    await_up(at, 200);
    let submit = |n: u32| encode(&job(n, "red", JobKind::Array, 3));
    assert_eq!(ask(at, "POST", "/v1/jobs", &submit(1)).0, 201);
    let mut user = User::new(at);
    let told = user.ask("GET", "/v1/jobs/req-000001", &[]);
    assert_eq!(phase(&told), is("queued"));
    assert!(!told.1.contains("Connection: close"), "{}", told.1);
    let mut others: Vec<User> = (0..3).map(|_| User::new(at)).collect();
    stand.silent.store(true, Ordering::Relaxed);
    await_up(at, 503);
    let questions: [(&str, &str, Vec<u8>); 4] = [
        ("GET", "/v1/jobs/req-000001", Vec::new()),
        ("GET", "/v1/jobs/req-000002", Vec::new()),
        ("POST", "/v1/jobs", submit(3)),
        ("POST", "/v1/jobs/req-000001/withdraw", Vec::new()),
    ];
    others.push(user);
    for (user, (method, path, body)) in others.iter_mut().zip(questions) {
        let began = Instant::now();
        let (status, head, _) = user.ask(method, path, &body);
        assert_eq!(status, 503, "{method} {path}");
        // Less than it would wait for the store.
        assert!(
            began.elapsed() < Duration::from_millis(1_200),
            "{method} {path} was held back for {:?}",
            began.elapsed()
        );
        assert!(
            head.contains("Retry-After: 1") && head.contains("Connection: close"),
            "{head}"
        );
    }
    stand.silent.store(false, Ordering::Relaxed);
    await_up(at, 200);
    assert_eq!(
        phase(&ask(at, "GET", "/v1/jobs/req-000001", &[])),
        is("queued")
    );
    assert_eq!(ask(at, "GET", "/v1/jobs/req-000002", &[]).0, 404);
}

/// A process that remembers no end is asked for all of them: they come with their
/// neighbours. A record that can't be read is told as unfinished, and a repeated
/// submission of what is over never as one that can't run.
#[test]
fn what_nobody_here_remembers_is_read_in_few_requests() {
    let stand = Arc::new(Stand::default());
    let mut store = Store::new(&unlimited());
    for n in 0..300 {
        let phase = if n % 3 == 0 {
            JobPhase::Withdrawn
        } else {
            JobPhase::Done
        };
        let id = job(n, "red", JobKind::Array, 1).id;
        store.cas(&CompareAndSwap {
            conditions: Vec::new(),
            writes: vec![lemonweir_protocol::kv_store::Write::put(
                end_key(&id),
                &JobEndRecord { phase },
            )],
        });
    }
    let bad = lemonweir_protocol::kv_store::Write::Put {
        key: "w/job/req-000900".into(),
        value: to_value(&"no record"),
        lease: None,
    };
    store.cas(&CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![bad],
    });
    *stand.store.lock().expect("store") = Some(store);
    let at = start(&stand);
    await_up(at, 200);
    let mut user = User::new(at);
    for n in 0..300 {
        let told = user.ask("GET", &format!("/v1/jobs/req-{n:06}"), &[]);
        assert_eq!(
            phase(&told),
            is(if n % 3 == 0 { "withdrawn" } else { "done" }),
            "{n}"
        );
    }
    let read = stand.ends_read.load(Ordering::Relaxed);
    assert!(read <= 2 + 300 / 200, "{read} readings for 300 ends");
    // Long after, with a machine type that is no more.
    let gone = JobSpec {
        machine_types: Some(vec!["no-such".into()]),
        ..job(7, "red", JobKind::Array, 1)
    };
    assert_eq!(
        phase(&user.ask("POST", "/v1/jobs", &encode(&gone))),
        is("done")
    );
    let never = JobSpec {
        machine_types: Some(vec!["no-such".into()]),
        ..job(800, "red", JobKind::Array, 1)
    };
    assert_eq!(user.ask("POST", "/v1/jobs", &encode(&never)).0, 422);
    // The record that can't be read, and a bounded number of questions for it.
    let before = stand.questions.load(Ordering::Relaxed);
    assert_eq!(
        phase(&user.ask("GET", "/v1/jobs/req-000900", &[])),
        is("queued")
    );
    assert_eq!(user.ask("POST", "/v1/jobs/req-000900/withdraw", &[]).0, 503);
    let asked = stand.questions.load(Ordering::Relaxed) - before;
    assert!(asked <= 40, "{asked} questions");
    assert_eq!(user.ask("GET", "/v1/jobs/req-000901", &[]).0, 404);
}
