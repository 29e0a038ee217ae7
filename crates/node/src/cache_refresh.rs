//! The loop that keeps the state cache, the copy of the store's keys, up to date.

use std::rc::Rc;

use smol::channel::Receiver;
use tracing::{info, warn};

use crate::kv_client::KvError;
use crate::{Node, RefreshError, RefreshWaiter, effect_executor, sleep_ms};
use lemonweir_model::constants::{CACHE_REFRESH_BUSY_MS, CACHE_REFRESH_IDLE_MS};
use lemonweir_storage::records::FOLLOWED;
use lemonweir_transport::within;

/// What a refresh found.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Refresh {
    /// No key has changed.
    Unchanged,
    /// Some keys may have changed.
    Changed,
}

/// Refreshes the cache, for ever. Users' queries that wait share one refresh that began
/// after all of them had arrived.
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
            // The waiter may have given up.
            let _ = waiter.try_send(outcome.map(|_| ()).map_err(|_| RefreshError));
        }
        sleep_ms(CACHE_REFRESH_BUSY_MS).await;
        if requests.is_empty()
            && !node.with_core(|core, _| core.uses_store_messages())
            && let Some(Ok(waiter)) = within(
                CACHE_REFRESH_IDLE_MS - CACHE_REFRESH_BUSY_MS,
                requests.recv(),
            )
            .await
        {
            waiting.push(waiter);
        }
    }
}

/// Hands the core a refresh that began then, and executes the peers' messages that came
/// with it.
fn on_refreshed(node: &Rc<Node>, began_ms: u64, refresh: Refresh) {
    let changed = refresh == Refresh::Changed;
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

/// Reads what changed since the last refresh; all keys if that is no longer known.
async fn refresh(node: &Node) -> Result<Refresh, KvError> {
    let revision = node.with_core(|core, _| core.cache.revision);
    if let Some(revision) = revision {
        match node.kv_store.changes_since(FOLLOWED, revision).await {
            Ok(changes) => {
                node.with_core(|core, now| {
                    core.cache
                        .apply_changes(&changes.events, changes.revision, now);
                });
                return Ok(if changes.events.is_empty() {
                    Refresh::Unchanged
                } else {
                    Refresh::Changed
                });
            }
            Err(KvError::RevisionCompacted) => {
                warn!(revision, "revision compacted; reloading state cache");
            }
            Err(error) => return Err(error),
        }
    }
    let listing = node.kv_store.list(FOLLOWED).await?;
    info!(
        keys = listing.entries.len(),
        revision = listing.revision,
        "state cache loaded"
    );
    // The pages may be of different moments: the changes since the first bring the copy
    // to one state.
    node.with_core(|core, _| core.cache.load_snapshot(&listing.entries, listing.revision));
    Ok(Refresh::Changed)
}
