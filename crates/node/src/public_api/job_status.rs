//! Handles users' queries of a job's status.

use std::rc::Rc;

use super::replies::{answer, not_found, refuse};
use crate::job_lookup::{LookupError, StoredJob, look_up_job};
use crate::{Node, RefreshError, sleep_ms};
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal};
use lemonweir_model::JobId;
use lemonweir_model::constants::{TICK_MS, USER_TIMEOUT_MS};
use lemonweir_protocol::users::{JobPhase, JobStatus};
use lemonweir_transport::{Reply, with_timeout};

/// ms for which a query waits until the progress of its job is known again, before its user is told
/// what was last known, or asked to repeat it.
const PROGRESS_WAIT_MS: u64 = 1_000;

/// Answers a user's query of a job's status.
pub(super) async fn job_status(node: &Rc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::empty(404);
    };
    // A flood of polls must not delay heartbeats and submissions. Jobs with priority are
    // exempt, so that no job is refused repeatedly for overload.
    if node.overloaded()
        && !node
            .query_admission
            .borrow()
            .has_priority(&id, node.now_ms())
    {
        return refuse(node, &id, QueryKind::Poll, QueryRefusal::Overloaded);
    }
    match find_current_status(node, &id).await {
        Ok(Some(status)) => answer(node, 200, &status),
        Ok(None) => not_found(node, &id),
        Err(refusal) => refuse(node, &id, QueryKind::Poll, refusal),
    }
}

/// [`find_status`], which waits for up to [`PROGRESS_WAIT_MS`] until the job's current progress is
/// known.
async fn find_current_status(
    node: &Rc<Node>,
    id: &JobId,
) -> Result<Option<JobStatus>, QueryRefusal> {
    let wait_until_ms = node.now_ms() + PROGRESS_WAIT_MS;
    loop {
        let result = find_status(node, id).await;
        let gap = match &result {
            Err(QueryRefusal::ProgressOutdated(gap)) => Some(*gap),
            Ok(Some(_)) => node.with_core(|core, now| core.progress_gap(id, now)),
            Ok(None) | Err(_) => None,
        };
        let Some(gap) = gap else {
            return result;
        };
        if node.now_ms() >= wait_until_ms {
            let mut admission = node.query_admission.borrow_mut();
            admission.record_progress_gap(gap);
            return result;
        }
        sleep_ms(TICK_MS).await;
    }
}

/// Returns the status of a job within the time that a user waits for a response. `Ok(None)`
/// means that there is no such job, `Err` that the status can't be determined now.
pub(super) async fn find_status(
    node: &Rc<Node>,
    id: &JobId,
) -> Result<Option<JobStatus>, QueryRefusal> {
    with_timeout(USER_TIMEOUT_MS, find_status_unbounded(node, id))
        .await
        .unwrap_or(Err(QueryRefusal::StoreFailed))
}

/// [`find_status`] without the time limit. Answers from the cache if that is recent enough,
/// otherwise from a store request that begins after the query arrived.
async fn find_status_unbounded(
    node: &Rc<Node>,
    id: &JobId,
) -> Result<Option<JobStatus>, QueryRefusal> {
    let mut unreadable = false;
    loop {
        let (cached, store_reachable) = node.with_core(|core, now| {
            (
                core.job_status(id, now),
                core.links.store_answered_recently(now),
            )
        });
        match cached {
            // Until this delay is over, other controllers may still report the job as
            // unfinished.
            JobStatusAnswer::FinishedIn(ms) => sleep_ms(ms).await,
            // Doesn't make users wait for a store that does not answer this controller:
            // they can retry later, or at another controller.
            JobStatusAnswer::NeedsRefresh | JobStatusAnswer::Unknown if !store_reachable => {
                return Err(QueryRefusal::StoreSilent);
            }
            JobStatusAnswer::NeedsRefresh => {
                node.refresh_cache().await.map_err(refresh_refusal)?;
                match node.with_core(|core, now| core.unfinished_status(id, now)) {
                    Some(JobStatusAnswer::ProgressOutdated(gap)) => {
                        return Err(QueryRefusal::ProgressOutdated(gap));
                    }
                    Some(status) => return Ok(status_of(id, status)),
                    None => {}
                }
            }
            JobStatusAnswer::ProgressOutdated(gap) => {
                return Err(QueryRefusal::ProgressOutdated(gap));
            }
            JobStatusAnswer::NeedsFinalStates(ids) => read_dependencies(node, &ids).await?,
            JobStatusAnswer::Unknown => {
                match look_up_job(node, id).await.map_err(lookup_refusal)? {
                    StoredJob::NotFound => return Ok(None),
                    StoredJob::Ended(_) => {}
                    // The job exists and is unfinished, but is not in the cache after a
                    // refresh: this process can't read its record, so another refresh
                    // would not help.
                    StoredJob::Unfinished if unreadable => {
                        return Ok(Some(JobStatus::without_counts(
                            id.clone(),
                            JobPhase::Queued,
                        )));
                    }
                    StoredJob::Unfinished => {
                        unreadable = true;
                        node.refresh_cache().await.map_err(refresh_refusal)?;
                    }
                }
            }
            JobStatusAnswer::Finished(_) | JobStatusAnswer::Unfinished(..) => {
                return Ok(status_of(id, cached));
            }
        }
    }
}

/// Reads the final states of jobs that others depend on. Refreshes the cache if some are
/// still unfinished, so that it contains them.
async fn read_dependencies(node: &Rc<Node>, ids: &[JobId]) -> Result<(), QueryRefusal> {
    let mut any_unfinished = false;
    for id in ids {
        let stored = look_up_job(node, id).await.map_err(lookup_refusal)?;
        any_unfinished |= stored == StoredJob::Unfinished;
    }
    // Without the refresh, the caller would loop without a pause until the cache shows the
    // unfinished jobs.
    if any_unfinished {
        node.refresh_cache().await.map_err(refresh_refusal)?;
    }
    Ok(())
}

/// Converts a cached status into the form shown to users. Returns `None` if the cache could
/// not determine it.
fn status_of(id: &JobId, cached: JobStatusAnswer) -> Option<JobStatus> {
    match cached {
        JobStatusAnswer::Finished(phase) => Some(JobStatus::without_counts(id.clone(), phase)),
        JobStatusAnswer::Unfinished(progress) => Some(JobStatus {
            id: id.clone(),
            phase: progress.phase,
            done: Some(progress.done),
            running: Some(progress.running),
            reason: (!progress.reason.is_empty()).then_some(progress.reason),
        }),
        JobStatusAnswer::FinishedIn(_)
        | JobStatusAnswer::ProgressOutdated(_)
        | JobStatusAnswer::NeedsRefresh
        | JobStatusAnswer::NeedsFinalStates(_)
        | JobStatusAnswer::Unknown => None,
    }
}

/// The refusal for a query whose lookup failed.
pub(super) fn lookup_refusal(error: LookupError) -> QueryRefusal {
    match error {
        LookupError::Refused => QueryRefusal::LookupQueueFull,
        LookupError::StoreUnavailable => QueryRefusal::StoreFailed,
    }
}

fn refresh_refusal(RefreshError: RefreshError) -> QueryRefusal {
    QueryRefusal::StoreFailed
}
