//! Handles users' submissions of jobs. Submissions are idempotent: a repeated one is answered
//! with the status of the accepted job.

use std::rc::Rc;
use std::time::Duration;

use tracing::{debug, info};

use super::commit::{UserCommit, commit_in_order};
use super::job_status::{find_status, lookup_refusal};
use super::replies::{RETRY_AFTER_S, answer, refuse, refuse_for, unprocessable};
use crate::job_lookup::{StoredJob, look_up_job};
use crate::shared_core::wall_clock_ms;
use crate::{Node, peer_api};
use lemonweir_coordination::dependencies::DependencyAdmission;
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal};
use lemonweir_model::constants::{SUBMISSION_TIMEOUT_MS, SYNC_TIMEOUT_MS, USER_TIMEOUT_MS};
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::encode;
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::users::{JobPhase, JobStatus, decode_submission, unschedulable_reason};
use lemonweir_transport::Reply;

/// Maximum `Retry-After` of a refusal, in seconds (see the protocol documentation).
const MAX_RETRY_AFTER_S: u64 = 30;

/// Whether a job can ever run on the machine types of the catalog within its team's limit.
enum Runnable {
    /// Some machine type and the team's limit allow it.
    Yes,
    /// The job can never run, for this reason.
    Never(String),
    /// The machine types are not known yet.
    CatalogUnknown,
}

/// A job that passed admission, with the writes that accept it.
struct AdmittedJob {
    /// The compare-and-swaps to commit, in this order.
    cas_list: Vec<CompareAndSwap>,
    /// The phase reported to the user once they are committed.
    phase: JobPhase,
}

/// Handles a submission: validates the job, commits it, and notifies its shard's leader.
pub(super) async fn submit(node: &Rc<Node>, body: &[u8]) -> Reply {
    let spec = match decode_submission(body) {
        Ok(spec) => spec,
        Err(fault) => {
            debug!(%fault, "submission malformed");
            return Reply::new(400, encode(&fault.to_string()));
        }
    };
    let id = spec.id.clone();
    if node.with_core(|core, _| core.cache.is_known(&id)) {
        return answer_known_job(node, &id).await;
    }
    match check_runnable(node, &spec) {
        Runnable::Yes => {}
        Runnable::Never(reason) => return reject_unschedulable(node, &id, &reason).await,
        Runnable::CatalogUnknown => return refuse_submission(node, &id, QueryRefusal::NoCatalog),
    }
    if !node.store_reachable() {
        return refuse_submission(node, &id, QueryRefusal::StoreSilent);
    }
    // Refuses a job that can't be written before its user times out: the response would
    // arrive after the user has already retried.
    let write_wait = node.kv_store.write_wait();
    if write_wait > Duration::from_millis(SUBMISSION_TIMEOUT_MS) {
        return refuse_for_write_queue(node, &id, write_wait).await;
    }
    let admitted = match admit(node, &spec).await {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    let deadline_ms = node.now_ms() + USER_TIMEOUT_MS;
    match commit_in_order(node, &admitted.cas_list, deadline_ms).await {
        UserCommit::Committed => {}
        UserCommit::Conflict => return answer_known_job(node, &id).await,
        UserCommit::Unavailable => return refuse_submission(node, &id, QueryRefusal::StoreFailed),
    }
    info!(
        job_id = %id,
        team = spec.team,
        class = spec.class,
        tasks = spec.tasks,
        dependencies = spec.depends_on.len(),
        phase = ?admitted.phase,
        "job accepted"
    );
    notify_leader(node, &spec.team);
    answer(node, 201, &JobStatus::without_counts(id, admitted.phase))
}

fn refuse_submission(node: &Node, id: &JobId, refusal: QueryRefusal) -> Reply {
    refuse(node, id, QueryKind::Submission, refusal)
}

/// Answers the repeated submission of an accepted job.
async fn answer_known_job(node: &Rc<Node>, id: &JobId) -> Reply {
    match find_status(node, id).await {
        Ok(Some(status)) => answer(node, 200, &status),
        Ok(None) => refuse_submission(node, id, QueryRefusal::StoreFailed),
        Err(refusal) => refuse_submission(node, id, refusal),
    }
}

fn check_runnable(node: &Node, spec: &JobSpec) -> Runnable {
    let cluster = &node.settings.cluster;
    node.with_core(|core, _| match core.catalog.as_ref() {
        None => Runnable::CatalogUnknown,
        Some(catalog) => {
            match unschedulable_reason(spec, &cluster.teams, &cluster.zones, catalog) {
                Some(reason) => Runnable::Never(reason),
                None => Runnable::Yes,
            }
        }
    })
}

/// Rejects a job that can never run, unless it was accepted before: it may have been
/// accepted, and have ended, when the catalog had other machine types. A repeated submission
/// of such a job must not be rejected.
async fn reject_unschedulable(node: &Rc<Node>, id: &JobId, reason: &str) -> Reply {
    match find_status(node, id).await {
        Ok(Some(status)) => answer(node, 200, &status),
        Ok(None) => {
            info!(job_id = %id, reason, "job rejected; it can never run");
            unprocessable(node, id, reason)
        }
        Err(refusal) => refuse_submission(node, id, refusal),
    }
}

/// Refuses a submission that would wait for `write_wait` to be written.
async fn refuse_for_write_queue(node: &Rc<Node>, id: &JobId, write_wait: Duration) -> Reply {
    // A user whose submissions are refused repeatedly may be resubmitting a job that was
    // accepted long ago: answering that needs no write.
    let has_priority = node
        .query_admission
        .borrow()
        .has_priority(id, node.now_ms());
    if has_priority && let Ok(Some(status)) = find_status(node, id).await {
        return answer(node, 200, &status);
    }
    let retry_after_s = RETRY_AFTER_S
        .max(write_wait.as_secs_f64().ceil() as u64)
        .min(MAX_RETRY_AFTER_S);
    refuse_for(
        node,
        id,
        QueryKind::Submission,
        QueryRefusal::WriteQueueFull,
        retry_after_s,
    )
}

/// Prepares the writes that accept a job. `Err` is the reply to a submission that can't be
/// accepted, or not now.
async fn admit(node: &Rc<Node>, spec: &JobSpec) -> Result<AdmittedJob, Reply> {
    let mut refreshed = false;
    loop {
        let admission = node.with_core(|core, _| core.admit_job(spec, wall_clock_ms()));
        let unknown = match admission {
            DependencyAdmission::Accept(cas_list, phase) => {
                return Ok(AdmittedJob { cas_list, phase });
            }
            DependencyAdmission::Unknown(ids) => ids,
        };
        check_dependencies_exist(node, &spec.id, &unknown).await?;
        if refreshed || node.refresh_cache().await.is_err() {
            return Err(refuse_submission(node, &spec.id, QueryRefusal::StoreFailed));
        }
        refreshed = true;
    }
}

/// Looks up dependencies that are not in the cache. `Err` is the reply to a submission with a
/// dependency that does not exist or can't be looked up.
///
/// A dependency that is missing only from this controller's cache must not lead to a
/// rejection.
async fn check_dependencies_exist(
    node: &Rc<Node>,
    id: &JobId,
    unknown: &[JobId],
) -> Result<(), Reply> {
    for dependency in unknown {
        match look_up_job(node, dependency).await {
            Ok(StoredJob::NotFound) => {
                return Err(reject_unknown_dependency(node, id, dependency).await);
            }
            Ok(StoredJob::Unfinished | StoredJob::Ended(_)) => {}
            Err(error) => return Err(refuse_submission(node, id, lookup_refusal(error))),
        }
    }
    Ok(())
}

/// Rejects a job that depends on one that was never accepted, unless the job itself has
/// already been accepted.
async fn reject_unknown_dependency(node: &Rc<Node>, id: &JobId, dependency: &JobId) -> Reply {
    match find_status(node, id).await {
        Ok(Some(status)) => answer(node, 200, &status),
        Ok(None) => {
            info!(job_id = %id, %dependency, "job rejected; dependency was never accepted");
            unprocessable(
                node,
                id,
                &format!("awaits: {dependency} was never accepted"),
            )
        }
        Err(refusal) => refuse_submission(node, id, refusal),
    }
}

/// Notifies the leader of a team's shard that a job of the team was accepted or cancelled.
pub(super) fn notify_leader(node: &Rc<Node>, team: &str) {
    let leader = node.with_core(|core, _| {
        let shard = core
            .cache
            .team_shards
            .get(team)
            .copied()
            .unwrap_or_else(|| core.config.default_shard(team));
        core.cache
            .shard_leaders
            .get(&shard)
            .map(|leader| leader.host.clone())
    });
    let task_node = node.clone();
    node.executor
        .spawn(async move {
            match leader.and_then(|host| task_node.peer_address(&host)) {
                Some(address) => {
                    // Only a hint: the leader sees the job at its next cache refresh anyway.
                    let _ = task_node
                        .http
                        .call(
                            address,
                            "POST",
                            peer_api::JOB_ACCEPTED_PATH,
                            &[],
                            SYNC_TIMEOUT_MS,
                        )
                        .await;
                }
                None => {
                    let _ = task_node.refresh_cache().await;
                }
            }
        })
        .detach();
}
