//! Replies to users, and the record of jobs whose replies are pending.

use std::rc::Rc;

use tracing::{debug, info};

use crate::{Node, sleep_ms};
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal, RefusalSummary};
use lemonweir_model::JobId;
use lemonweir_model::constants::SUMMARY_INTERVAL_MS;
use lemonweir_protocol::encode;
use lemonweir_protocol::users::JobStatus;
use lemonweir_transport::Reply;

pub(super) use lemonweir_model::constants::RETRY_AFTER_S;

/// Answers a user's query with the status of a job.
pub(super) fn answer(node: &Node, http_status: u16, status: &JobStatus) -> Reply {
    node.query_admission.borrow_mut().record_answer(&status.id);
    Reply::new(http_status, encode(status))
}

/// Answers that there is no such job.
pub(super) fn not_found(node: &Node, id: &JobId) -> Reply {
    node.query_admission.borrow_mut().record_answer(id);
    Reply::empty(404)
}

/// Rejects a job that can't be accepted, with the reason (422).
pub(super) fn unprocessable(node: &Node, id: &JobId, reason: &str) -> Reply {
    node.query_admission.borrow_mut().record_answer(id);
    Reply::new(422, encode(&reason))
}

/// Refuses a query for now, and records that the job's reply is pending.
pub(super) fn refuse(node: &Node, id: &JobId, query: QueryKind, refusal: QueryRefusal) -> Reply {
    refuse_for(node, id, query, refusal, RETRY_AFTER_S)
}

/// Like [`refuse`], with `Retry-After` set to `retry_after_s`.
pub(super) fn refuse_for(
    node: &Node,
    id: &JobId,
    query: QueryKind,
    refusal: QueryRefusal,
    retry_after_s: u64,
) -> Reply {
    let now_ms = node.now_ms();
    let mut admission = node.query_admission.borrow_mut();
    log_refusal(node, id, query, refusal, now_ms);
    admission.record_refusal(id, query, refusal, now_ms);
    // Closes the connection if this controller is not ready, or keeps refusing the job, so
    // that the user reaches another one: the load balancer does not move open connections.
    let close_connection =
        !node.with_core(|core, _| core.ready(now_ms)) || admission.has_priority(id, now_ms);
    Reply {
        close_connection,
        ..Reply::unavailable(retry_after_s)
    }
}

fn log_refusal(node: &Node, id: &JobId, query: QueryKind, refusal: QueryRefusal, now_ms: u64) {
    if !tracing::enabled!(tracing::Level::DEBUG) {
        return;
    }
    let gap = match refusal {
        QueryRefusal::ProgressOutdated(_) => {
            node.with_core(|core, _| core.progress_gap_report(id, now_ms))
        }
        _ => None,
    };
    match gap {
        Some(gap) => debug!(
            job_id = %id,
            ?query,
            ?refusal,
            shard = gap.shard,
            leader = gap.leader,
            fencing_token = gap.fencing_token,
            age_ms = gap.age_ms,
            pull_failed = gap.pull_failed,
            "query refused"
        ),
        None => debug!(job_id = %id, ?query, ?refusal, "query refused"),
    }
}

/// Periodically logs which users' queries were refused, and why. Never returns.
pub(crate) async fn log_refused_queries(node: Rc<Node>) {
    loop {
        sleep_ms(SUMMARY_INTERVAL_MS).await;
        let summary = node.query_admission.borrow_mut().take_refusals();
        if let Some(summary) = summary {
            let RefusalSummary {
                counts,
                longest_ms,
                longest_job,
                progress_gaps,
            } = summary;
            info!(
                refusals = ?counts,
                longest_refused_ms = longest_ms,
                ?progress_gaps,
                longest_refused_job = longest_job.as_ref().map(JobId::as_str),
                "queries refused"
            );
        }
    }
}
