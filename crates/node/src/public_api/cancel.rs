//! Handles users' cancellations of jobs.

use std::rc::Rc;
use std::time::Duration;

use tracing::info;

use super::commit::{UserCommit, commit_in_order};
use super::job_status::find_status;
use super::replies::{answer, not_found, refuse};
use super::submit::notify_leader;
use crate::{Node, sleep_ms};
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal};
use lemonweir_model::JobId;
use lemonweir_model::constants::{SUBMISSION_TIMEOUT_MS, TICK_MS, USER_TIMEOUT_MS};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::users::JobPhase;
use lemonweir_transport::Reply;

/// ms that the request which wrote the cancellation waits for the job's last attempt to end:
/// as long as a stop usually takes. Later requests are answered at once.
const CANCELLED_WAIT_MS: u64 = 500;

/// State of the cancellation of an unfinished job.
enum PendingCancellation {
    /// The job is not in the cache yet.
    NotCached,
    /// The cancellation is written; the last attempts are being stopped.
    Requested,
    /// The cancellation has yet to be written.
    ToWrite {
        /// Team of the job, whose shard's leader is notified of the cancellation.
        team: String,
        /// The compare-and-swaps that write the cancellation, in this order.
        cas_list: Vec<CompareAndSwap>,
    },
}

/// Requests a job's cancellation and responds once the job's end is written. The job's
/// placer writes it when every attempt is proven to have ended, which is quick if the
/// machines are reachable. Until then the response tells the user when to retry.
pub(super) async fn cancel(node: &Rc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::empty(404);
    };
    let refused = |refusal| refuse(node, &id, QueryKind::Cancellation, refusal);
    let deadline_ms = node.now_ms() + USER_TIMEOUT_MS;
    let mut wait_until_ms: Option<u64> = None;
    loop {
        match find_status(node, &id).await {
            Ok(None) => return not_found(node, &id),
            Ok(Some(status)) if matches!(status.phase, JobPhase::Done | JobPhase::Withdrawn) => {
                return answer(node, 200, &status);
            }
            // An unfinished job is cancelled whatever is known of its progress.
            Ok(Some(_)) | Err(QueryRefusal::ProgressOutdated(_)) => {}
            Err(refusal) => return refused(refusal),
        }
        match pending_cancellation(node, &id) {
            // The deadline ends the loop if this process can't read the job's record.
            PendingCancellation::NotCached if node.now_ms() < deadline_ms => {}
            PendingCancellation::NotCached => return refused(QueryRefusal::StoreFailed),
            PendingCancellation::Requested => {
                if wait_until_ms.is_none_or(|until_ms| node.now_ms() >= until_ms) {
                    return refused(QueryRefusal::JobStopping);
                }
                sleep_ms(TICK_MS).await;
            }
            PendingCancellation::ToWrite { team, cas_list } => {
                // Refuses rather than making the user wait behind a long queue of writes.
                if node.kv_store.write_wait() > Duration::from_millis(SUBMISSION_TIMEOUT_MS) {
                    return refused(QueryRefusal::WriteQueueFull);
                }
                match commit_in_order(node, &cas_list, deadline_ms).await {
                    UserCommit::Committed => {
                        info!(job_id = %id, "job cancellation requested");
                        notify_leader(node, &team);
                        wait_until_ms = Some(node.now_ms() + CANCELLED_WAIT_MS);
                        // Otherwise the next iteration would write the cancellation again.
                        let _ = node.refresh_cache().await;
                    }
                    UserCommit::Conflict if node.now_ms() < deadline_ms => {
                        let _ = node.refresh_cache().await;
                    }
                    UserCommit::Conflict | UserCommit::Unavailable => {
                        return refused(QueryRefusal::StoreFailed);
                    }
                }
            }
        }
    }
}

fn pending_cancellation(node: &Node, id: &JobId) -> PendingCancellation {
    node.with_core(|core, _| {
        let Some(spec) = core.cache.job_spec(id) else {
            return PendingCancellation::NotCached;
        };
        let team = spec.team.clone();
        match core.cancellation_cas_list(id) {
            None => PendingCancellation::Requested,
            Some(cas_list) => PendingCancellation::ToWrite { team, cas_list },
        }
    })
}
