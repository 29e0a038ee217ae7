//! Users' cancellations of jobs.

use std::rc::Rc;
use std::time::Duration;

use tracing::info;

use super::job_status::find_status;
use super::replies::{answer, not_found, refuse};
use super::submit::notify_leader;
use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::{Node, sleep_ms};
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal};
use lemonweir_model::JobId;
use lemonweir_model::constants::{SUBMISSION_TIMEOUT_MS, TICK_MS, USER_TIMEOUT_MS};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::users::JobPhase;
use lemonweir_transport::Reply;

/// ms that a request which has written the cancellation waits for the end of the last
/// attempt, as long as a stop usually takes: later requests are answered at once.
const CANCELLED_WAIT_MS: u64 = 500;

/// What is left to do for the cancellation of an unfinished job.
enum PendingCancellation {
    /// The cache does not know the job yet.
    NotCached,
    /// It is written; the last attempts are being stopped.
    Requested,
    /// It has to be written.
    ToWrite {
        /// The job's team.
        team: String,
        /// What writes it.
        cas: CompareAndSwap,
    },
}

/// Requests a job's cancellation, and answers once its end is written: its placer does
/// that when every attempt is proven to have ended. That takes a moment where the
/// machines are reachable; until then the user is told when to ask again.
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
            Ok(Some(_)) => {}
            Err(refusal) => return refused(refusal),
        }
        match pending_cancellation(node, &id) {
            // Guards against repeating for ever for a record that this process can't read.
            PendingCancellation::NotCached if node.now_ms() < deadline_ms => {}
            PendingCancellation::NotCached => return refused(QueryRefusal::StoreFailed),
            PendingCancellation::Requested => {
                if wait_until_ms.is_none_or(|until_ms| node.now_ms() >= until_ms) {
                    return refused(QueryRefusal::JobStopping);
                }
                sleep_ms(TICK_MS).await;
            }
            PendingCancellation::ToWrite { team, cas } => {
                // Guards against a user who is held back for as long as others' writes
                // take.
                if node.kv_store.write_wait() > Duration::from_millis(SUBMISSION_TIMEOUT_MS) {
                    return refused(QueryRefusal::WriteQueueFull);
                }
                match node.kv_store.cas(&cas).await {
                    Ok(CompareAndSwapResult::Committed(_)) => {
                        info!(job_id = %id, "job cancellation requested");
                        notify_leader(node, &team);
                        wait_until_ms = Some(node.now_ms() + CANCELLED_WAIT_MS);
                        // Guards against the same write again until the cache shows it.
                        let _ = node.refresh_cache().await;
                    }
                    Ok(CompareAndSwapResult::Conflict(_)) | Err(KvError::Unknown)
                        if node.now_ms() < deadline_ms =>
                    {
                        let _ = node.refresh_cache().await;
                    }
                    Ok(CompareAndSwapResult::Conflict(_)) | Err(_) => {
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
        match core.cancellation_cas(id) {
            None => PendingCancellation::Requested,
            Some(cas) => PendingCancellation::ToWrite { team, cas },
        }
    })
}
