//! Commits the compare-and-swaps of a user's request within the time that the user waits.

use crate::Node;
use crate::kv_client::{CompareAndSwapResult, KvError};
use lemonweir_protocol::kv_store::CompareAndSwap;

/// Outcome of the compare-and-swaps of a user's request.
pub(super) enum UserCommit {
    /// All are committed.
    Committed,
    /// One was not: a record has changed since it was read, or one was committed by an earlier
    /// request, or by a try whose response was lost.
    Conflict,
    /// The store refused one, or confirmed it too late; it may have been committed.
    Unavailable,
}

/// Commits compare-and-swaps in their order, each once the one before it is committed.
pub(super) async fn commit_in_order(
    node: &Node,
    cas_list: &[CompareAndSwap],
    deadline_ms: u64,
) -> UserCommit {
    for cas in cas_list {
        loop {
            match node.kv_store.cas(cas).await {
                Ok(CompareAndSwapResult::Committed(_)) => break,
                Ok(CompareAndSwapResult::Conflict(_)) => return UserCommit::Conflict,
                // It may have been committed: the same compare-and-swap then fails its
                // conditions, which shows it.
                Err(KvError::Unknown) if node.now_ms() < deadline_ms => {}
                Err(_) => return UserCommit::Unavailable,
            }
        }
    }
    UserCommit::Committed
}
