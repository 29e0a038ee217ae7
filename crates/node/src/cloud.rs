//! The cloud's client, and the loops that read its catalog and its list.

use std::rc::Rc;
use std::time::Duration;

use tracing::{info, warn};

use crate::Node;
use crate::kv_client::Budget;
use crate::router::Router;
use lemonweir_coordination::ProvisioningResult;
use lemonweir_model::constants::*;
use lemonweir_model::{Catalog, MachineId};
use lemonweir_protocol::cloud::{
    CatalogResponse, InstanceEntry, InstanceList, MachineNames, CloudErrorBody,
    ProvisioningRequest,
};
use lemonweir_protocol::links::Service;
use lemonweir_protocol::{decode, encode};

/// The client; keeps this node's share of the cloud's limit.
pub struct CloudClient {
    courier: Rc<Router>,
    budget: Budget,
    /// Time that a page of the list is worth.
    list_gap: Duration,
}

impl CloudClient {
    /// A client that shares this many requests a second with the other nodes.
    pub(crate) fn new(courier: Rc<Router>, per_s: f64, nodes: usize) -> Self {
        let list_gap =
            Duration::from_secs_f64(nodes as f64 / per_s.max(f64::MIN_POSITIVE) / LIST_SHARE);
        Self {
            courier,
            budget: Budget::new(per_s, nodes),
            list_gap,
        }
    }

    async fn call(&self, method: &str, path: &str, body: &[u8]) -> Option<(u16, Vec<u8>)> {
        let wait = self.budget.take(1.0);
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        let response = self
            .courier
            .call(Service::Cloud, method, path, body, CLOUD_TIMEOUT_MS)
            .await
            .ok()?;
        if response.status == 429 {
            self.budget.refused();
        }
        Some((response.status, response.body))
    }

    /// Rents machines.
    pub async fn rent(&self, rental: &ProvisioningRequest) -> ProvisioningResult {
        match self.call("POST", "/rentals", &encode(rental)).await {
            Some((200, body)) => match decode::<MachineNames>(&body) {
                Ok(reply) => ProvisioningResult::Rented(reply.machines),
                Err(error) => {
                    warn!(%error, "rental answer");
                    ProvisioningResult::Again
                }
            },
            Some((503, body))
                if decode::<CloudErrorBody>(&body).is_ok_and(|f| f.error == "no capacity") =>
            {
                ProvisioningResult::NoCapacity
            }
            Some((400, _)) => {
                tracing::error!(?rental, "the cloud refused a rental as malformed");
                ProvisioningResult::NoCapacity
            }
            _ => ProvisioningResult::Again,
        }
    }

    /// Gives machines back; true once they are surely gone.
    pub async fn release(&self, machines: &[MachineId]) -> bool {
        matches!(
            self.call(
                "POST",
                "/rentals/release",
                &encode(&MachineNames {
                    machines: machines.to_vec()
                })
            )
            .await,
            Some((200, _))
        )
    }

    async fn catalog(&self) -> Option<Catalog> {
        match self.call("GET", "/catalog", &[]).await {
            Some((200, body)) => {
                let (catalog, faults) = decode::<CatalogResponse>(&body).ok()?.into_catalog();
                faults
                    .iter()
                    .for_each(|fault| warn!(fault, "machine type not understood"));
                Some(catalog)
            }
            _ => None,
        }
    }

    async fn list(&self) -> Option<Vec<InstanceEntry>> {
        let mut all: Vec<InstanceEntry> = Vec::new();
        loop {
            let after = all
                .last()
                .map(|m| format!("after={}&", m.id))
                .unwrap_or_default();
            let (200, body) = self
                .call("GET", &format!("/rentals?{after}limit={LIST_PAGE}"), &[])
                .await?
            else {
                return None;
            };
            let page: InstanceList = decode(&body).ok()?;
            let more = page.truncated;
            let (entries, faults) = page.into_entries();
            faults
                .iter()
                .for_each(|fault| warn!(fault, "entry of the rental list not understood"));
            let empty = entries.is_empty();
            all.extend(entries);
            if !more || empty {
                return Some(all);
            }
        }
    }
}

/// Reads the catalog until it is known, then now and then.
pub async fn catalog(node: Rc<Node>) {
    loop {
        let wait = match node.cloud.catalog().await {
            Some(catalog) if !catalog.is_empty() => {
                let mut core = node.core();
                if core.catalog.is_none() {
                    info!(types = catalog.len(), "catalog read");
                }
                core.set_catalog(catalog);
                CATALOG_EVERY_MS
            }
            _ if node.core().catalog.is_some() => CATALOG_EVERY_MS / 4,
            _ => 1_000,
        };
        smol::Timer::after(Duration::from_millis(wait)).await;
    }
}

/// Reads the rental list.
pub async fn list(node: Rc<Node>) {
    loop {
        let mut pages = 1;
        if let Some(entries) = node.cloud.list().await {
            let now = node.now();
            node.core().listed(&entries, now);
            pages = entries.len() as u32 / LIST_PAGE + 1;
        }
        smol::Timer::after(Duration::from_millis(LIST_EVERY_MS).max(node.cloud.list_gap * pages))
            .await;
    }
}
