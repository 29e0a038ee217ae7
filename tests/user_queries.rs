//! A controller on loopback with fakes of the key-value store and the cloud: its answers
//! to users' queries, and the store requests that they cause.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lemonweir_model::settings::KvStoreLimits;
use lemonweir_model::settings::Settings;
use lemonweir_model::{JobKind, JobSpec};
use lemonweir_protocol::kv_store::{
    CompareAndSwap, CompareAndSwapResponse, KeyValue, LeaseRequest, LeaseResponse, ListResponse,
    WatchResponse, to_value,
};
use lemonweir_protocol::users::JobPhase;
use lemonweir_protocol::{decode, encode};
use lemonweir_simulator::fixtures::job;
use lemonweir_simulator::store::{CasAnswer, Store};
use lemonweir_storage::records::{JobEndRecord, end_key};
use lemonweir_transport::server::listen;
use lemonweir_transport::{ConnectionLimits, Handler, Reply, Request, serve};

/// Fakes of the key-value store and the cloud.
#[derive(Default)]
struct FakeServices {
    store: Mutex<Option<Store>>,
    /// While true, no request is answered.
    silent: AtomicBool,
    /// Number of list requests for job end records.
    end_listings: AtomicUsize,
    /// Number of compare-and-swaps without writes, which only check their conditions.
    checks: AtomicUsize,
}

struct FakeServicesApi(Arc<FakeServices>);

/// Limits that no request reaches.
fn unlimited() -> KvStoreLimits {
    KvStoreLimits {
        requests_per_s: 1e9,
        writes_per_s: 1e9,
        max_value_kib: 1e6,
        max_cas_ops: 1_000_000,
        upcoming: None,
    }
}

/// Value of a query parameter in a path; empty if it is missing.
fn query_value<'a>(path: &'a str, name: &str) -> &'a str {
    path.split(['?', '&'])
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or_default()
}

impl FakeServicesApi {
    fn answer(&self, request: &Request) -> Reply {
        let (services, path) = (&self.0, request.path.as_str());
        let mut store = services.store.lock().expect("store");
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
                Ok(lease) => Reply::new(
                    200,
                    encode(&LeaseResponse {
                        lease: store.grant_lease(lease.ttl_ms * 1_000_000, 0),
                    }),
                ),
                Err(_) => Reply::empty(400),
            },
            ("GET", "/watch") => {
                let after = query_value(path, "after").parse().unwrap_or(0);
                match store.changes(query_value(path, "under"), after) {
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
                let (under, after) = (query_value(path, "under"), query_value(path, "after"));
                services
                    .end_listings
                    .fetch_add(usize::from(under == "end/"), Ordering::Relaxed);
                let limit: usize = query_value(path, "limit").parse().unwrap_or(1_000);
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
                    services
                        .checks
                        .fetch_add(usize::from(cas.writes.is_empty()), Ordering::Relaxed);
                    match store.compare_and_swap(&cas) {
                        CasAnswer::Committed(revision) => Reply::new(
                            200,
                            encode(&CompareAndSwapResponse {
                                failed: Vec::new(),
                                revision,
                            }),
                        ),
                        CasAnswer::Conflict(failed) => Reply::new(
                            409,
                            encode(&CompareAndSwapResponse {
                                failed,
                                revision: store.revision,
                            }),
                        ),
                        CasAnswer::LeaseExpired => {
                            Reply::new(400, encode(&serde_json::json!({"error": "no such lease"})))
                        }
                        CasAnswer::TooLarge => {
                            Reply::new(400, encode(&serde_json::json!({"error": "too large"})))
                        }
                    }
                }
                Err(_) => Reply::empty(400),
            },
            // Lease renewals.
            _ => Reply::empty(200),
        }
    }
}

impl Handler for FakeServicesApi {
    async fn handle(&self, request: Request) -> Reply {
        while self.0.silent.load(Ordering::Relaxed) {
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        self.answer(&request)
    }
}

fn unused_address() -> SocketAddr {
    TcpListener::bind(("127.0.0.1", 0))
        .expect("bound")
        .local_addr()
        .expect("bound")
}

/// Starts the fake services and one controller of three, the others of which are down.
fn start(services: &Arc<FakeServices>) -> SocketAddr {
    let (services, ready) = (services.clone(), std::sync::mpsc::channel());
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
                ConnectionLimits::new(500, 500, 0),
                1 << 20,
                Rc::new(FakeServicesApi(services)),
            )
            .await;
        }));
    });
    let services = ready.1.recv().expect("listens");
    let (public, internal) = (unused_address(), unused_address());
    let seed = |n: usize| serde_json::json!({"host_name": format!("h{n}"), "zone": "south", "address": unused_address()});
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

/// A user's connection to a controller.
struct User(TcpStream);

/// Status code, head and body.
type HttpReply = (u16, String, Vec<u8>);

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

    fn ask(&mut self, method: &str, path: &str, body: &[u8]) -> HttpReply {
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
            let n = self.0.read(&mut chunk).expect("a response");
            assert!(n > 0, "closed without a response");
            all.extend_from_slice(&chunk[..n]);
        }
    }
}

fn ask(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> HttpReply {
    User::new(to).ask(method, path, body)
}

/// Waits until `/up` returns this status. The timeout is long so that a busy test machine
/// does not fail the test.
fn wait_for_readiness(to: SocketAddr, status: u16) {
    let began = Instant::now();
    while ask(to, "GET", "/up", &[]).0 != status {
        assert!(
            began.elapsed() < Duration::from_secs(60),
            "/up is not {status}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn phase(reply: &HttpReply) -> (u16, String) {
    let status = decode::<serde_json::Value>(&reply.2).unwrap_or_default();
    (
        reply.0,
        status["phase"].as_str().unwrap_or_default().to_owned(),
    )
}

fn ok_with_phase(phase: &str) -> (u16, String) {
    (200, phase.to_owned())
}

/// A controller that can't reach the key-value store and has no relay peer is not ready,
/// refuses users' requests at once and closes their connections, so that the load balancer
/// moves them. It still answers for jobs that it knows to have ended. Once the store is
/// reachable, it serves users again.
#[test]
fn controller_without_store_refuses_users_at_once_until_it_is_reachable() {
    let services = Arc::new(FakeServices::default());
    let controller = start(&services);
    wait_for_readiness(controller, 200);
    let submit = |n: u32| encode(&job(n, "red", JobKind::Array, 3));
    assert_eq!(ask(controller, "POST", "/v1/jobs", &submit(1)).0, 201);
    let mut user = User::new(controller);
    let reply = user.ask("GET", "/v1/jobs/req-000001", &[]);
    assert_eq!(phase(&reply), ok_with_phase("queued"));
    assert!(!reply.1.contains("Connection: close"), "{}", reply.1);
    let mut users: Vec<User> = (0..3).map(|_| User::new(controller)).collect();
    services.silent.store(true, Ordering::Relaxed);
    wait_for_readiness(controller, 503);
    let requests: [(&str, &str, Vec<u8>); 4] = [
        ("GET", "/v1/jobs/req-000001", Vec::new()),
        ("GET", "/v1/jobs/req-000002", Vec::new()),
        ("POST", "/v1/jobs", submit(3)),
        ("POST", "/v1/jobs/req-000001/withdraw", Vec::new()),
    ];
    users.push(user);
    for (user, (method, path, body)) in users.iter_mut().zip(requests) {
        let began = Instant::now();
        let (status, head, _) = user.ask(method, path, &body);
        assert_eq!(status, 503, "{method} {path}");
        // Shorter than the wait for a response of the store.
        assert!(
            began.elapsed() < Duration::from_millis(1_200),
            "{method} {path} was answered after {:?}",
            began.elapsed()
        );
        assert!(
            head.contains("Retry-After: 1") && head.contains("Connection: close"),
            "{head}"
        );
    }
    services.silent.store(false, Ordering::Relaxed);
    wait_for_readiness(controller, 200);
    assert_eq!(
        phase(&ask(controller, "GET", "/v1/jobs/req-000001", &[])),
        ok_with_phase("queued")
    );
    assert_eq!(ask(controller, "GET", "/v1/jobs/req-000002", &[]).0, 404);
}

/// A controller without cached job ends is queried for 300 ended jobs: it reads the end
/// records in pages, not one by one. A job whose record can't be decoded counts as
/// unfinished. A repeated submission of an ended job is never rejected as unschedulable.
#[test]
fn uncached_job_ends_are_read_in_few_requests() {
    let services = Arc::new(FakeServices::default());
    let mut store = Store::new(&unlimited());
    for n in 0..300 {
        let phase = if n % 3 == 0 {
            JobPhase::Withdrawn
        } else {
            JobPhase::Done
        };
        let id = job(n, "red", JobKind::Array, 1).id;
        store.compare_and_swap(&CompareAndSwap {
            conditions: Vec::new(),
            writes: vec![lemonweir_protocol::kv_store::Write::put(
                end_key(&id),
                &JobEndRecord { phase },
            )],
        });
    }
    let unreadable = lemonweir_protocol::kv_store::Write::Put {
        key: "w/job/req-000900".into(),
        value: to_value(&"no record"),
        lease: None,
    };
    store.compare_and_swap(&CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![unreadable],
    });
    *services.store.lock().expect("store") = Some(store);
    let controller = start(&services);
    wait_for_readiness(controller, 200);
    let mut user = User::new(controller);
    for n in 0..300 {
        let reply = user.ask("GET", &format!("/v1/jobs/req-{n:06}"), &[]);
        assert_eq!(
            phase(&reply),
            ok_with_phase(if n % 3 == 0 { "withdrawn" } else { "done" }),
            "{n}"
        );
    }
    let listings = services.end_listings.load(Ordering::Relaxed);
    assert!(
        listings <= 2 + 300 / 200,
        "{listings} listings for 300 ends"
    );
    // Submitted again after its machine type has left the catalog.
    let ended = JobSpec {
        machine_types: Some(vec!["no-such".into()]),
        ..job(7, "red", JobKind::Array, 1)
    };
    assert_eq!(
        phase(&user.ask("POST", "/v1/jobs", &encode(&ended))),
        ok_with_phase("done")
    );
    let unschedulable = JobSpec {
        machine_types: Some(vec!["no-such".into()]),
        ..job(800, "red", JobKind::Array, 1)
    };
    assert_eq!(user.ask("POST", "/v1/jobs", &encode(&unschedulable)).0, 422);
    // The job with the undecodable record causes a bounded number of checks.
    let checks_before = services.checks.load(Ordering::Relaxed);
    assert_eq!(
        phase(&user.ask("GET", "/v1/jobs/req-000900", &[])),
        ok_with_phase("queued")
    );
    assert_eq!(user.ask("POST", "/v1/jobs/req-000900/withdraw", &[]).0, 503);
    let checks = services.checks.load(Ordering::Relaxed) - checks_before;
    assert!(checks <= 40, "{checks} checks");
    assert_eq!(user.ask("GET", "/v1/jobs/req-000901", &[]).0, 404);
}
