//! Calls to the services, by themselves or through another controller, and what
//! this process carries for others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol::channel::{Sender, bounded};
use tracing::debug;

use crate::Node;
use lemonweir_coordination::{Core, HeartbeatAnswer};
use lemonweir_model::constants::*;
use lemonweir_protocol::encode;
use lemonweir_protocol::links::{
    self, LINKS_VERSION, RELAY_HEARTBEATS_PATH, RELAY_PATH, RelayOutcome, RelayRequest,
    RelayResponse, RelayTarget, RelayedResponses, RelayedHeartbeats, Service,
};
use lemonweir_protocol::worker::{Heartbeat, Redirect};
use lemonweir_transport::{CallError, Client, Reply, Response, within};

/// Makes calls to the services on the way that the core names.
pub(crate) struct Router {
    pub(crate) http: Rc<Client>,
    pub(crate) core: Rc<Mutex<Core>>,
    /// Other controllers' addresses, by their numbers.
    pub(crate) peers: HashMap<u16, SocketAddr>,
    pub(crate) store: SocketAddr,
    pub(crate) cloud: SocketAddr,
    pub(crate) started: Instant,
}

impl Router {
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn core(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn address(&self, service: Service) -> SocketAddr {
        match service {
            Service::Store => self.store,
            Service::Cloud => self.cloud,
        }
    }

    /// Calls a service. An answer that it is in trouble counts as none for the
    /// way: others may still be served.
    pub(crate) async fn call(
        &self,
        service: Service,
        method: &str,
        path: &str,
        body: &[u8],
        wait_ms: u64,
    ) -> Result<Response, CallError> {
        let now = self.now();
        let by = self.core().links.route(service, body.len(), now);
        let Some(by) = by else {
            return self.call_direct(service, method, path, body, wait_ms).await;
        };
        let call = RelayRequest {
            version: LINKS_VERSION,
            target: RelayTarget::Service(service),
            method: method.to_owned(),
            path: path.to_owned(),
            body: body.to_vec(),
            timeout_ms: wait_ms,
        };
        let result = self.ask(by, &call).await;
        let good = result.as_ref().is_ok_and(|r| served(service, r.status));
        self.took(service, now, result.is_ok());
        let now = self.now();
        self.core().links.carried(service, by, good, now);
        result
    }

    /// Calls a service by itself.
    pub(crate) async fn call_direct(
        &self,
        service: Service,
        method: &str,
        path: &str,
        body: &[u8],
        wait_ms: u64,
    ) -> Result<Response, CallError> {
        let began = self.now();
        let result = self
            .http
            .call(self.address(service), method, path, body, wait_ms)
            .await;
        self.took(service, began, result.is_ok());
        let good = result.as_ref().is_ok_and(|r| served(service, r.status));
        let now = self.now();
        self.core().links.tried(service, body.len(), good, now);
        result
    }

    fn took(&self, service: Service, began: u64, answered: bool) {
        let now = self.now();
        if answered {
            self.core()
                .links
                .took(service, now.saturating_sub(began), now);
        }
    }

    /// Asks another controller to make a call in our place.
    pub(crate) async fn ask(&self, by: u16, call: &RelayRequest) -> Result<Response, CallError> {
        let addr = self.peers.get(&by).copied().ok_or(CallError::NotSent)?;
        // A moment for the second message on top of what the first may take.
        let response = self
            .http
            .call(
                addr,
                "POST",
                RELAY_PATH,
                &links::encode(call),
                call.timeout_ms + TICK_MS,
            )
            .await?;
        if response.status != 200 {
            // Not taken: it is not in a state to carry, or doesn't know how.
            return Err(CallError::NotSent);
        }
        match links::decode::<RelayResponse>(&response.body) {
            Ok(RelayResponse {
                outcome: RelayOutcome::Answered { status, body },
                ..
            }) => Ok(Response { status, body }),
            Ok(RelayResponse {
                outcome: RelayOutcome::NotSent,
                ..
            }) => Err(CallError::NotSent),
            Ok(RelayResponse {
                outcome: RelayOutcome::Unknown,
                ..
            })
            | Err(_) => Err(CallError::Unknown),
        }
    }

    /// Makes a call in another controller's place.
    pub(crate) async fn carry(&self, call: &RelayRequest) -> Reply {
        let wait_ms = call.timeout_ms.min(CLOUD_TIMEOUT_MS);
        let result = match &call.target {
            RelayTarget::Service(service) => {
                // Guards against calls that go round: nothing is carried on.
                if !self.core().links.carries(*service) {
                    return Reply::empty(503);
                }
                self.call_direct(*service, &call.method, &call.path, &call.body, wait_ms)
                    .await
            }
            RelayTarget::Worker(addr) => match addr.parse() {
                Ok(addr) if call.path == "/commands" => {
                    self.http
                        .call(addr, &call.method, &call.path, &call.body, wait_ms)
                        .await
                }
                _ => return Reply::empty(400),
            },
        };
        let fate = match result {
            Ok(response) => RelayOutcome::Answered {
                status: response.status,
                body: response.body,
            },
            Err(CallError::NotSent) => RelayOutcome::NotSent,
            Err(CallError::Unknown) => RelayOutcome::Unknown,
        };
        Reply::new(
            200,
            links::encode(&RelayResponse {
                version: LINKS_VERSION,
                outcome: fate,
            }),
        )
    }
}

/// True if an answer shows that the service serves us.
fn served(service: Service, status: u16) -> bool {
    service == Service::Cloud || status != 503
}

/// What waits for the owner's answer to a report.
type Waiting = (Vec<u8>, Sender<(u16, Vec<u8>)>);

/// Reports that wait to be carried, by the owner's number.
#[derive(Default)]
pub(crate) struct HeartbeatBatch {
    waiting: HashMap<u16, Vec<Waiting>>,
}

/// Has a worker's report answered by its owner.
pub(crate) async fn carry_report(node: &Rc<Node>, to: u16, body: &[u8]) -> Reply {
    let (answer, answered) = bounded(1);
    let first = {
        let mut gathered = node.gathered.borrow_mut();
        let waiting = gathered.waiting.entry(to).or_default();
        if waiting.len() >= CARRY_QUEUE {
            return Reply::empty(503);
        }
        waiting.push((body.to_vec(), answer));
        waiting.len() == 1
    };
    if first {
        let node2 = node.clone();
        node.executor
            .spawn(async move { send_gathered(&node2, to).await })
            .detach();
    }
    match within(CARRY_REPORT_MS + GATHER_MS, answered.recv()).await {
        Some(Ok((status, body))) => Reply::new(status, body),
        _ => Reply::empty(503),
    }
}

/// Sends what has gathered within a moment, in messages of a bounded size.
async fn send_gathered(node: &Rc<Node>, to: u16) {
    smol::Timer::after(Duration::from_millis(GATHER_MS)).await;
    let mut all = node
        .gathered
        .borrow_mut()
        .waiting
        .remove(&to)
        .unwrap_or_default();
    while !all.is_empty() {
        let rest = all.split_off(all.len().min(GATHER_MOST));
        let batch = std::mem::replace(&mut all, rest);
        let node = node.clone();
        node.clone()
            .executor
            .spawn(async move { send_batch(&node, to, batch).await })
            .detach();
    }
}

async fn send_batch(node: &Node, to: u16, batch: Vec<Waiting>) {
    let (reports, senders): (Vec<Vec<u8>>, Vec<_>) = batch.into_iter().unzip();
    let by = node.core().config.me;
    let message = links::encode(&RelayedHeartbeats {
        version: LINKS_VERSION,
        relayed_by: by,
        heartbeats: reports,
    });
    let response = match node.courier.peers.get(&to) {
        Some(addr) => {
            node.http
                .call(
                    *addr,
                    "POST",
                    RELAY_HEARTBEATS_PATH,
                    &message,
                    CARRY_REPORT_MS,
                )
                .await
        }
        None => Err(CallError::NotSent),
    };
    let now = node.now();
    node.core().links.reached(to, response.is_ok(), now);
    let Ok(response) = response else { return };
    match links::decode::<RelayedResponses>(&response.body) {
        Ok(RelayedResponses { answers, .. }) if response.status == 200 => {
            for (sender, answer) in senders.iter().zip(answers) {
                // Who asked may have given up.
                let _ = sender.try_send(answer);
            }
        }
        _ => debug!(to, status = response.status, "reports were not taken"),
    }
}

/// Answers reports that another controller carries here.
pub(crate) fn take_reports(node: &Node, reports: &RelayedHeartbeats) -> Reply {
    let now = node.now();
    let mut answers = Vec::with_capacity(reports.heartbeats.len());
    for body in &reports.heartbeats {
        answers.push(match lemonweir_protocol::decode::<Heartbeat>(body) {
            Ok(report) => status_and_body(node.core().carried_report(&report, reports.relayed_by, now)),
            Err(_) => (400, Vec::new()),
        });
    }
    node.poke();
    Reply::new(
        200,
        links::encode(&RelayedResponses {
            version: LINKS_VERSION,
            answers,
        }),
    )
}

/// What a worker is answered, where nothing is to be carried.
pub(crate) fn status_and_body(answer: HeartbeatAnswer) -> (u16, Vec<u8>) {
    match answer {
        HeartbeatAnswer::Orders(reply) => (200, encode(&reply)),
        HeartbeatAnswer::Elsewhere(host) => (421, encode(&Redirect { host: Some(host) })),
        HeartbeatAnswer::Carry(_) | HeartbeatAnswer::Unable => (503, Vec::new()),
    }
}
