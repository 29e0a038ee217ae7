//! Calls the services, directly or through another controller, and relays calls for other
//! controllers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use crate::shared_core::SharedCore;
use lemonweir_model::constants::{CLOUD_TIMEOUT_MS, TICK_MS};
use lemonweir_protocol::links::{
    self, LINKS_VERSION, RELAY_PATH, RelayOutcome, RelayRequest, RelayResponse, RelayTarget,
    Service,
};
use lemonweir_transport::{CallError, Client, Reply, Response};

/// Path of a worker's command endpoint, the only worker path that is relayed.
pub(crate) const WORKER_COMMANDS_PATH: &str = "/commands";

/// ms added to the timeout of a relayed call, for the extra hop through the relay peer.
const RELAY_OVERHEAD_MS: u64 = TICK_MS;

/// A call to one of the services.
pub(crate) struct ServiceCall<'a> {
    /// The service to call.
    pub(crate) service: Service,
    /// HTTP method, such as `GET`.
    pub(crate) method: &'a str,
    /// Path, including the query string.
    pub(crate) path: &'a str,
    /// Body; empty if there is none.
    pub(crate) body: &'a [u8],
    /// ms after which an unanswered call is abandoned.
    pub(crate) timeout_ms: u64,
}

/// Calls the services by the route that the core chooses.
pub(crate) struct Router {
    /// The HTTP client of the process.
    pub(crate) http: Rc<Client>,
    /// The core, which chooses the route and records the result of each call.
    pub(crate) core: SharedCore,
    /// Addresses of the other controllers, by member index.
    pub(crate) peers: HashMap<u16, SocketAddr>,
    /// Address of the key-value store.
    pub(crate) store: SocketAddr,
    /// Address of the cloud.
    pub(crate) cloud: SocketAddr,
}

impl Router {
    fn address(&self, service: Service) -> SocketAddr {
        match service {
            Service::Store => self.store,
            Service::Cloud => self.cloud,
        }
    }

    /// Calls a service, directly or through a relay peer.
    pub(crate) async fn call(&self, call: &ServiceCall<'_>) -> Result<Response, CallError> {
        let relay_peer = self
            .core
            .with(|core, now| core.links.route(call.service, call.body.len(), now));
        match relay_peer {
            None => self.call_direct(call).await,
            Some(relay_peer) => self.call_relayed(relay_peer, call).await,
        }
    }

    /// Calls a service directly and records the result.
    pub(crate) async fn call_direct(&self, call: &ServiceCall<'_>) -> Result<Response, CallError> {
        let began_ms = self.core.now_ms();
        let result = self
            .http
            .call(
                self.address(call.service),
                call.method,
                call.path,
                call.body,
                call.timeout_ms,
            )
            .await;
        self.record_response_time(call.service, began_ms, &result);
        let served = was_served(call.service, &result);
        self.core.with(|core, now| {
            core.links
                .record_direct_call(call.service, call.body.len(), served, now);
        });
        result
    }

    /// Calls a service through a relay peer and records the result.
    async fn call_relayed(
        &self,
        relay_peer: u16,
        call: &ServiceCall<'_>,
    ) -> Result<Response, CallError> {
        let began_ms = self.core.now_ms();
        let request = RelayRequest {
            version: LINKS_VERSION,
            target: RelayTarget::Service(call.service),
            method: call.method.to_owned(),
            path: call.path.to_owned(),
            body: call.body.to_vec(),
            timeout_ms: call.timeout_ms,
        };
        let result = self.send_relay_request(relay_peer, &request).await;
        self.record_response_time(call.service, began_ms, &result);
        let served = was_served(call.service, &result);
        self.core.with(|core, now| {
            core.links
                .record_relayed_call(call.service, relay_peer, served, now);
        });
        result
    }

    fn record_response_time(
        &self,
        service: Service,
        began_ms: u64,
        result: &Result<Response, CallError>,
    ) {
        if result.is_ok() {
            self.core.with(|core, now| {
                core.links
                    .record_latency(service, now.saturating_sub(began_ms), now);
            });
        }
    }

    /// Asks a relay peer to make a call on this controller's behalf.
    pub(crate) async fn send_relay_request(
        &self,
        relay_peer: u16,
        request: &RelayRequest,
    ) -> Result<Response, CallError> {
        let address = self
            .peers
            .get(&relay_peer)
            .copied()
            .ok_or(CallError::NotSent)?;
        let response = self
            .http
            .call(
                address,
                "POST",
                RELAY_PATH,
                &links::encode(request),
                request.timeout_ms + RELAY_OVERHEAD_MS,
            )
            .await?;
        relayed_result(&request.target, response)
    }

    /// Makes a call on another controller's behalf and returns its outcome.
    pub(crate) async fn relay(&self, request: &RelayRequest) -> Reply {
        let timeout_ms = request.timeout_ms.min(CLOUD_TIMEOUT_MS);
        let result = match &request.target {
            RelayTarget::Service(service) => {
                // Prevents routing loops: a call relayed to this controller is only made
                // directly, never relayed further.
                if !self.core.with(|core, _| core.links.can_relay(*service)) {
                    return Reply::empty(503);
                }
                self.call_direct(&ServiceCall {
                    service: *service,
                    method: &request.method,
                    path: &request.path,
                    body: &request.body,
                    timeout_ms,
                })
                .await
            }
            RelayTarget::Worker(address) => match address.parse() {
                Ok(address) if request.path == WORKER_COMMANDS_PATH => {
                    self.http
                        .call(
                            address,
                            &request.method,
                            &request.path,
                            &request.body,
                            timeout_ms,
                        )
                        .await
                }
                _ => return Reply::empty(400),
            },
        };
        let relay_outcome = match result {
            Ok(response) => RelayOutcome::Answered {
                status: response.status,
                body: response.body,
            },
            Err(CallError::NotSent) => RelayOutcome::NotSent,
            Err(CallError::Unknown) => RelayOutcome::Unknown,
        };
        let response = RelayResponse {
            version: LINKS_VERSION,
            outcome: relay_outcome,
        };
        Reply::new(200, links::encode(&response))
    }
}

/// The result of a call that a relay peer was asked to make, from the peer's response.
fn relayed_result(target: &RelayTarget, response: Response) -> Result<Response, CallError> {
    let not_relayed = match target {
        RelayTarget::Service(_) => CallError::NotSent,
        // The peer makes the call if the request reaches it once more.
        RelayTarget::Worker(_) => CallError::Unknown,
    };
    if response.status != 200 {
        // The peer can't relay at the moment, or doesn't support the request.
        return Err(not_relayed);
    }
    match links::decode::<RelayResponse>(&response.body).map(|response| response.outcome) {
        Ok(RelayOutcome::Answered { status, body }) => Ok(Response { status, body }),
        Ok(RelayOutcome::NotSent) => Err(not_relayed),
        Ok(RelayOutcome::Unknown) | Err(_) => Err(CallError::Unknown),
    }
}

/// True if the response shows that the service is available on the route used. A 503 from
/// the store counts as a failed call, since the store may still serve other controllers.
fn was_served(service: Service, result: &Result<Response, CallError>) -> bool {
    result
        .as_ref()
        .is_ok_and(|response| service == Service::Cloud || response.status != 503)
}

#[cfg(test)]
mod tests;
