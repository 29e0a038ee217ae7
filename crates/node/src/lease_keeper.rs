//! Obtains and renews this controller's store lease, which its keys are attached to.

use std::rc::Rc;

use tracing::{info, warn};

use crate::kv_client::KvError;
use crate::shared_core::wall_clock_ms;
use crate::{Node, sleep_ms};
use lemonweir_model::constants::{STORE_LEASE_RENEWAL_MS, STORE_LEASE_TTL_MS, TICK_MS};

/// Obtains a store lease once the state cache is loaded, and renews it. Never returns.
///
/// Runs as a task of its own and waits for nothing else after that. Otherwise the lease, and
/// every key attached to it, could expire while the records of another shard are read from a
/// slow store.
pub(crate) async fn renew_store_lease(node: Rc<Node>) {
    let mut renewed_ms = 0;
    loop {
        if node.with_core(|core, _| core.cache.revision.is_none()) {
            sleep_ms(TICK_MS).await;
            continue;
        }
        // The store counts the TTL from when it executes the renewal, which is after this
        // moment.
        let now_ms = node.now_ms();
        node.with_core(|core, _| core.set_wall_clock(now_ms, wall_clock_ms()));
        match node.store_lease.get() {
            None => {
                if let Ok(lease) = node.kv_store.grant_lease(STORE_LEASE_TTL_MS).await {
                    info!(
                        store_lease_id = lease.get(),
                        ttl_ms = STORE_LEASE_TTL_MS,
                        "store lease granted"
                    );
                    node.store_lease.set(Some(lease));
                    renewed_ms = now_ms;
                }
            }
            Some(lease) if now_ms >= renewed_ms + STORE_LEASE_RENEWAL_MS => {
                match node.kv_store.renew_lease(lease).await {
                    Ok(()) => renewed_ms = now_ms,
                    Err(KvError::LeaseExpired) => {
                        warn!(store_lease_id = lease.get(), "store lease expired");
                        node.store_lease.set(None);
                        continue;
                    }
                    // Retried in the next iteration, until the lease expires.
                    Err(_) => {}
                }
            }
            Some(_) => {}
        }
        sleep_ms(match node.store_lease.get() {
            None => 5 * TICK_MS,
            Some(_) => 2 * TICK_MS,
        })
        .await;
    }
}
