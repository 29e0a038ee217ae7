//! The loop that keeps the state cache, a copy of the store's watched keys, up to date.

use std::rc::Rc;

use smol::channel::Receiver;
use tracing::{info, warn};

use crate::kv_client::KvError;
use crate::{Node, RefreshError, RefreshWaiter, effect_executor, sleep_ms};
use lemonweir_model::constants::{CACHE_REFRESH_BUSY_MS, CACHE_REFRESH_IDLE_MS};
use lemonweir_storage::records::WATCHED_PREFIX;
use lemonweir_transport::with_timeout;

/// Outcome of a successful refresh.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RefreshOutcome {
    /// No key has changed.
    Unchanged,
    /// Some keys may have changed.
    Changed,
}

/// Refreshes the cache periodically and on request. Never returns. Waiting queries share one
/// refresh, which begins after all of them have arrived.
pub(crate) async fn run(node: Rc<Node>, requests: Receiver<RefreshWaiter>) {
    let mut waiting: Vec<RefreshWaiter> = Vec::new();
    loop {
        while let Ok(waiter) = requests.try_recv() {
            waiting.push(waiter);
        }
        let began_ms = node.now_ms();
        let outcome = refresh(&node).await;
        if let Ok(refresh) = outcome {
            on_refreshed(&node, began_ms, refresh);
        }
        for waiter in waiting.drain(..) {
            // The waiter may have timed out.
            let _ = waiter.try_send(outcome.map(|_| ()).map_err(|_| RefreshError));
        }
        sleep_ms(CACHE_REFRESH_BUSY_MS).await;
        if requests.is_empty()
            && !node.with_core(|core, now| core.uses_store_messages(now))
            && let Some(Ok(waiter)) = with_timeout(
                CACHE_REFRESH_IDLE_MS - CACHE_REFRESH_BUSY_MS,
                requests.recv(),
            )
            .await
        {
            waiting.push(waiter);
        }
    }
}

/// Notifies the core of a refresh that began at `began_ms`, and handles the peer messages
/// that it brought.
fn on_refreshed(node: &Rc<Node>, began_ms: u64, refresh: RefreshOutcome) {
    let changed = refresh == RefreshOutcome::Changed;
    let effects = node.with_core(|core, now| {
        core.cache_refreshed(began_ms, changed);
        core.handle_store_messages(now)
    });
    for effect in effects {
        effect_executor::execute(node, effect);
    }
    if changed {
        node.wake();
    }
}

/// Reads the changes since the last refresh, or all watched keys if there was none or the store
/// has compacted the changes.
async fn refresh(node: &Node) -> Result<RefreshOutcome, KvError> {
    let revision = node.with_core(|core, _| core.cache.revision);
    if let Some(revision) = revision {
        match node.kv_store.changes_since(WATCHED_PREFIX, revision).await {
            Ok(changes) => {
                node.with_core(|core, now| {
                    core.cache
                        .apply_changes(&changes.events, changes.revision, now);
                });
                return Ok(if changes.events.is_empty() {
                    RefreshOutcome::Unchanged
                } else {
                    RefreshOutcome::Changed
                });
            }
            Err(KvError::RevisionCompacted) => {
                warn!(revision, "revision compacted; reloading state cache");
            }
            Err(error) => return Err(error),
        }
    }
    let listing = node.kv_store.list(WATCHED_PREFIX).await?;
    info!(
        keys = listing.entries.len(),
        revision = listing.revision,
        "state cache loaded"
    );
    // The pages may show different revisions. The next refresh applies the changes since the
    // first page, which makes the copy consistent.
    node.with_core(|core, _| core.cache.load_snapshot(&listing.entries, listing.revision));
    Ok(RefreshOutcome::Changed)
}
