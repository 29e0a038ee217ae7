//! Client of the cloud API, and the loops that refresh the catalog and the instance list.

use std::rc::Rc;
use std::time::Duration;

use tracing::{error, info, warn};

use crate::rate_limit_share::RateLimitShare;
use crate::router::{Router, ServiceCall};
use crate::{Node, sleep_ms};
use lemonweir_coordination::ProvisioningResult;
use lemonweir_model::constants::{CLOUD_TIMEOUT_MS, INSTANCE_LIST_INTERVAL_MS};
use lemonweir_model::{Catalog, MachineId};
use lemonweir_protocol::cloud::{
    CatalogResponse, CloudErrorBody, InstanceEntry, InstanceList, MachineNames, ProvisioningRequest,
};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::{decode, encode};

/// Instances per page of the instance list (see the protocol documentation).
const LIST_PAGE_INSTANCES: u32 = 500;

/// Fraction of this controller's share of the cloud's rate limit that listing instances may
/// use: a fleet of hundreds takes several pages, and provisioning has priority.
const LIST_RATE_SHARE: f64 = 0.25;

/// ms between two refreshes of the catalog: spot prices change slowly.
const CATALOG_REFRESH_MS: u64 = 60_000;

/// ms between attempts to read the catalog before the first success: nothing can be placed
/// or provisioned without it.
const FIRST_CATALOG_RETRY_MS: u64 = 1_000;

/// The cloud's response to a call.
struct CloudReply {
    status: u16,
    body: Vec<u8>,
}

/// Client of the cloud API that stays within this controller's share of the rate limit.
pub(crate) struct CloudClient {
    router: Rc<Router>,
    rate_limit: RateLimitShare,
    /// Minimum time between two listings of all instances, per page of the list.
    list_interval_per_page: Duration,
}

impl CloudClient {
    /// Creates a client that shares a limit of `limit_per_s` requests per second with the
    /// other controllers.
    pub(crate) fn new(router: Rc<Router>, limit_per_s: f64, controllers: usize) -> Self {
        let page_interval_s =
            controllers as f64 / limit_per_s.max(f64::MIN_POSITIVE) / LIST_RATE_SHARE;
        Self {
            router,
            rate_limit: RateLimitShare::new(limit_per_s, controllers),
            list_interval_per_page: Duration::from_secs_f64(page_interval_s),
        }
    }

    /// Makes a call when the rate limit admits it. Returns `None` if no response arrives.
    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Option<CloudReply> {
        let wait = self.rate_limit.reserve(1.0);
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        let response = self
            .router
            .call(&ServiceCall {
                service: Service::Cloud,
                method,
                path,
                body,
                timeout_ms: CLOUD_TIMEOUT_MS,
            })
            .await
            .ok()?;
        if response.status == 429 {
            self.rate_limit.on_rejected();
        }
        Some(CloudReply {
            status: response.status,
            body: response.body,
        })
    }

    /// Requests instances from the cloud. After [`ProvisioningResult::Retry`] the request may have
    /// been executed, so a repetition must have the same id.
    pub(crate) async fn provision(&self, request: &ProvisioningRequest) -> ProvisioningResult {
        let Some(reply) = self.call("POST", "/rentals", &encode(request)).await else {
            return ProvisioningResult::Retry;
        };
        match reply.status {
            200 => match decode::<MachineNames>(&reply.body) {
                Ok(names) => ProvisioningResult::Provisioned(names.machines),
                Err(error) => {
                    warn!(%error, "provisioning response malformed");
                    ProvisioningResult::Retry
                }
            },
            503 if decode::<CloudErrorBody>(&reply.body)
                .is_ok_and(|body| body.error == "no capacity") =>
            {
                ProvisioningResult::NoCapacity
            }
            400 => {
                error!(
                    ?request,
                    "provisioning request refused as malformed by the cloud"
                );
                ProvisioningResult::NoCapacity
            }
            _ => ProvisioningResult::Retry,
        }
    }

    /// Releases instances. Returns true if the cloud confirmed the release.
    pub(crate) async fn release(&self, machines: &[MachineId]) -> bool {
        let names = MachineNames {
            machines: machines.to_vec(),
        };
        self.call("POST", "/rentals/release", &encode(&names))
            .await
            .is_some_and(|reply| reply.status == 200)
    }

    async fn catalog(&self) -> Option<Catalog> {
        let reply = self.call("GET", "/catalog", &[]).await?;
        if reply.status != 200 {
            return None;
        }
        let (catalog, faults) = decode::<CatalogResponse>(&reply.body).ok()?.into_catalog();
        for fault in &faults {
            warn!(fault, "machine type malformed");
        }
        Some(catalog)
    }

    /// Lists all instances, page by page.
    async fn instances(&self) -> Option<Vec<InstanceEntry>> {
        let mut instances: Vec<InstanceEntry> = Vec::new();
        loop {
            let after = instances
                .last()
                .map(|last| format!("after={}&", last.id))
                .unwrap_or_default();
            let path = format!("/rentals?{after}limit={LIST_PAGE_INSTANCES}");
            let reply = self.call("GET", &path, &[]).await?;
            if reply.status != 200 {
                return None;
            }
            let page: InstanceList = decode(&reply.body).ok()?;
            let more = page.truncated;
            let (entries, faults) = page.into_entries();
            for fault in &faults {
                warn!(fault, "instance list entry malformed");
            }
            let empty = entries.is_empty();
            instances.extend(entries);
            if !more || empty {
                return Some(instances);
            }
        }
    }
}

/// Reads the catalog until it is known, then refreshes it periodically. Never returns.
pub(crate) async fn refresh_catalog(node: Rc<Node>) {
    loop {
        let catalog = node.cloud.catalog().await;
        let wait_ms = node.with_core(|core, _| match catalog {
            Some(catalog) if !catalog.is_empty() => {
                if core.catalog.is_none() {
                    info!(machine_types = catalog.len(), "catalog loaded");
                }
                core.set_catalog(catalog);
                CATALOG_REFRESH_MS
            }
            _ if core.catalog.is_some() => CATALOG_REFRESH_MS / 4,
            _ => FIRST_CATALOG_RETRY_MS,
        });
        sleep_ms(wait_ms).await;
    }
}

/// Refreshes the list of instances periodically. Never returns.
pub(crate) async fn refresh_instances(node: Rc<Node>) {
    loop {
        let mut pages = 1;
        if let Some(instances) = node.cloud.instances().await {
            node.with_core(|core, now| core.instances_listed(&instances, now));
            pages = instances.len() as u32 / LIST_PAGE_INSTANCES + 1;
        }
        let wait = Duration::from_millis(INSTANCE_LIST_INTERVAL_MS);
        smol::Timer::after(wait.max(node.cloud.list_interval_per_page * pages)).await;
    }
}
