//! Users, the load balancer and workers.

use std::rc::Rc;
use std::time::Duration;

use tracing::{debug, info};

use crate::kv_client::{CompareAndSwapResult, KvError};
use crate::lookups::{Found, Missed, look};
use crate::router::{carry_report, status_and_body};
use crate::{Node, peer_address, wall_ms};
use lemonweir_coordination::HeartbeatAnswer;
use lemonweir_coordination::dependencies::DependencyAdmission;
use lemonweir_coordination::job_status::Answer;
use lemonweir_coordination::query_admission::{QueryKind, QueryRefusal};
use lemonweir_model::constants::*;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_protocol::links::LinksReport;
use lemonweir_protocol::users::{JobPhase, JobStatus, unschedulable_reason, decode_submission};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::{Handler, Reply, Request, within};

/// What users and workers may ask.
pub struct PublicApi(pub Rc<Node>);

impl Handler for PublicApi {
    async fn handle(&self, request: Request) -> Reply {
        let node = &self.0;
        let path = request.path.split('?').next().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("POST", "/hello") => hello(node, &request.body).await,
            ("GET", "/up") => {
                let now = node.now();
                if node.core().ready(now) {
                    Reply::empty(200)
                } else {
                    Reply::busy(RETRY_AFTER_S)
                }
            }
            ("GET", "/v1/links") => {
                let now = node.now();
                let core = node.core();
                Reply::new(
                    200,
                    encode(&LinksReport {
                        links: core.links.rows(now),
                        relayed_workers: core.links.riders(now),
                    }),
                )
            }
            ("GET", "/v1/watch") => {
                let now = node.now();
                Reply::new(200, encode(&node.core().watch(now)))
            }
            ("GET", "/v1/watch/handovers") => {
                let now = node.now();
                Reply::new(200, encode(&node.core().failovers(now)))
            }
            ("GET", "/v1/events") => Reply::new(200, encode(&node.core().links.events())),
            ("GET", path) if path.starts_with("/v1/weights/") => {
                let now = node.now();
                let image = path.trim_start_matches("/v1/weights/");
                Reply::new(200, encode(&node.core().weights(image, now)))
            }
            ("POST", "/v1/jobs") => submit(node, &request.body).await,
            (method, path) => match (method, path.strip_prefix("/v1/jobs/")) {
                ("GET", Some(id)) => poll(node, id).await,
                ("POST", Some(rest)) => match rest.strip_suffix("/withdraw") {
                    Some(id) => withdraw(node, id).await,
                    None => Reply::empty(404),
                },
                _ => Reply::empty(404),
            },
        }
    }

    fn guest(&self, request: &Request) -> bool {
        request.path.starts_with("/v1/")
    }
}

async fn hello(node: &Rc<Node>, body: &[u8]) -> Reply {
    let report: Heartbeat = match decode(body) {
        Ok(report) => report,
        Err(error) => {
            info!(%error, "report not understood");
            return Reply::empty(400);
        }
    };
    let now = node.now();
    let answer = node.core().report(&report, now);
    node.poke();
    if let HeartbeatAnswer::Carry(to) = answer {
        return carry_report(node, to, body).await;
    }
    let (status, body) = status_and_body(answer);
    Reply::new(status, body)
}

/// What may be told of a job. From memory where that is new enough; else by a
/// question to the store that begins after the request came. `Err`: it can't be
/// told now. `Ok(None)`: no such job.
async fn look_up(node: &Rc<Node>, id: &JobId) -> Result<Option<JobStatus>, QueryRefusal> {
    let mut unread = false;
    loop {
        let (answer, heard) = {
            let now = node.now();
            let core = node.core();
            (core.answer(id, now), core.links.store_told(now))
        };
        match answer {
            // A moment in which others may still answer from before its end.
            Answer::OverIn(ms) => drop(smol::Timer::after(Duration::from_millis(ms)).await),
            // Guards against users who are held back for a store that answers
            // nobody here: they had better come again, or go elsewhere.
            Answer::Reading | Answer::Unknown if !heard => return Err(QueryRefusal::NoWord),
            Answer::Reading => {
                if !node.fresh().await {
                    return Err(QueryRefusal::Store);
                }
                let now = node.now();
                if let Some(answer) = node.core().unfinished(id, now) {
                    return Ok(state_of(id, answer));
                }
            }
            Answer::Ends(ids) => read_ends(node, &ids).await?,
            Answer::Unknown => match look(node, id).await.map_err(refusal)? {
                Found::Nowhere => return Ok(None),
                Found::Over(_) => {}
                // Guards against a record that this process can't read, which is
                // asked for again and again: the job is there, and unfinished.
                Found::Unfinished if unread => {
                    return Ok(Some(JobStatus::without_counts(id.clone(), JobPhase::Queued)));
                }
                Found::Unfinished => {
                    unread = true;
                    if !node.fresh().await {
                        return Err(QueryRefusal::Store);
                    }
                }
            },
            answer => return Ok(state_of(id, answer)),
        }
    }
}

/// Reads the ends of jobs that others await; what is still unfinished is in the copy then.
async fn read_ends(node: &Rc<Node>, ids: &[JobId]) -> Result<(), QueryRefusal> {
    let mut unfinished = false;
    for id in ids {
        unfinished |= matches!(look(node, id).await.map_err(refusal)?, Found::Unfinished);
    }
    // Guards against going round without a pause for what the copy does not show yet.
    if unfinished && !node.fresh().await {
        return Err(QueryRefusal::Store);
    }
    Ok(())
}

fn refusal(missed: Missed) -> QueryRefusal {
    match missed {
        Missed::Turn => QueryRefusal::Lookups,
        Missed::Store => QueryRefusal::Store,
    }
}

/// The same, in the time that a user waits for an answer.
async fn look_up_in_time(node: &Rc<Node>, id: &JobId) -> Result<Option<JobStatus>, QueryRefusal> {
    within(USER_TIMEOUT_MS, look_up(node, id))
        .await
        .unwrap_or(Err(QueryRefusal::Store))
}

/// Turns a question away at once, and notes that the job is owed an answer.
fn turn_away(node: &Node, id: &JobId, asked: QueryKind, why: QueryRefusal) -> Reply {
    turn_away_for(node, id, asked, why, RETRY_AFTER_S)
}

fn turn_away_for(
    node: &Node,
    id: &JobId,
    asked: QueryKind,
    why: QueryRefusal,
    after_s: u64,
) -> Reply {
    let now = node.now();
    let mut questions = node.questions.borrow_mut();
    debug!(job = %id, ?asked, ?why, "turned away");
    questions.turned_away(id, asked, why, now);
    // Guards against users who stay with a node that can tell them nothing while
    // others can: the load balancer does not move open connections.
    let leave = !node.core().ready(now) || questions.first(id, now);
    Reply {
        leave,
        ..Reply::busy(after_s)
    }
}

/// A question was answered.
fn answer(node: &Node, status: u16, state: &JobStatus) -> Reply {
    node.questions.borrow_mut().answered(&state.id);
    Reply::new(status, encode(state))
}

/// Tells the log which requests of users were turned away, and why.
pub(crate) async fn tell(node: Rc<Node>) {
    loop {
        smol::Timer::after(Duration::from_millis(SUMMARY_MS)).await;
        let told = node.questions.borrow_mut().told();
        if let Some((refusals, longest_ms)) = told {
            info!(
                ?refusals,
                longest_ms, "turned away; so long the same job at most"
            );
        }
    }
}

fn state_of(id: &JobId, answer: Answer) -> Option<JobStatus> {
    match answer {
        Answer::Over(phase) => Some(JobStatus::without_counts(id.clone(), phase)),
        Answer::Unfinished(phase, done, running, reason) => {
            let reason = (!reason.is_empty()).then_some(reason);
            Some(JobStatus {
                id: id.clone(),
                phase,
                done: Some(done),
                running: Some(running),
                reason,
            })
        }
        Answer::OverIn(_) | Answer::Reading | Answer::Ends(_) | Answer::Unknown => None,
    }
}

async fn poll(node: &Rc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::empty(404);
    };
    // Guards against a flood of polls that reports and submissions wait behind; but
    // no job is turned away for that again and again.
    if node.behind() && !node.questions.borrow().first(&id, node.now()) {
        return turn_away(node, &id, QueryKind::Poll, QueryRefusal::Behind);
    }
    match look_up_in_time(node, &id).await {
        Ok(Some(state)) => answer(node, 200, &state),
        Ok(None) => nobodys(node, &id),
        Err(why) => turn_away(node, &id, QueryKind::Poll, why),
    }
}

/// No such job.
fn nobodys(node: &Node, id: &JobId) -> Reply {
    node.questions.borrow_mut().answered(id);
    Reply::empty(404)
}

async fn submit(node: &Rc<Node>, body: &[u8]) -> Reply {
    let spec = match decode_submission(body) {
        Ok(spec) => spec,
        Err(fault) => {
            debug!(%fault, "submission refused");
            return Reply::new(400, encode(&fault.to_string()));
        }
    };
    let id = spec.id.clone();
    let known = {
        let core = node.core();
        core.cache.is_known(&id)
    };
    if known {
        return known_job(node, &id).await;
    }
    let never = {
        let core = node.core();
        let Some(catalog) = core.catalog.as_ref() else {
            drop(core);
            return turn_away(node, &id, QueryKind::Submission, QueryRefusal::NoCatalog);
        };
        let cluster = &node.settings.cluster;
        unschedulable_reason(&spec, &cluster.teams, &cluster.zones, catalog)
    };
    if let Some(why) = never {
        // Guards against a job that was accepted when there were other machine
        // types, and is over: a repeated submission must not be refused.
        return match look_up_in_time(node, &id).await {
            Ok(Some(state)) => answer(node, 200, &state),
            Ok(None) => {
                info!(job = %id, why, "job can never run");
                node.questions.borrow_mut().answered(&id);
                Reply::new(422, encode(&why))
            }
            Err(why) => turn_away(node, &id, QueryKind::Submission, why),
        };
    }
    if !node.told() {
        return turn_away(node, &id, QueryKind::Submission, QueryRefusal::NoWord);
    }
    // Guards against taking in more than can be written before its user gives
    // up: the answer then would come after the user asked again.
    let wait = node.state.write_wait();
    if wait > Duration::from_millis(SUBMIT_WAIT_MS) {
        // Guards against a job that was accepted long ago, of which its user asks so:
        // that needs no writing.
        let first = node.questions.borrow().first(&id, node.now());
        if first && let Ok(Some(state)) = look_up_in_time(node, &id).await {
            return answer(node, 200, &state);
        }
        let after = RETRY_AFTER_S
            .max(wait.as_secs_f64().ceil() as u64)
            .min(RETRY_AFTER_MOST_S);
        return turn_away_for(
            node,
            &id,
            QueryKind::Submission,
            QueryRefusal::Writes,
            after,
        );
    }
    let (cas_list, phase) = match admission(node, &spec).await {
        Ok(admitted) => admitted,
        Err(reply) => return reply,
    };
    let deadline = node.now() + USER_TIMEOUT_MS;
    for cas in &cas_list {
        loop {
            match node.state.cas(cas).await {
                Ok(CompareAndSwapResult::Done(_)) => break,
                Ok(CompareAndSwapResult::Conflict(_)) => return known_job(node, &id).await,
                // May have been made: the same transaction tells, since its
                // conditions then fail.
                Err(KvError::Unknown) if node.now() < deadline => {}
                Err(_) => return turn_away(node, &id, QueryKind::Submission, QueryRefusal::Store),
            }
        }
    }
    info!(job = %id, team = spec.team, class = spec.class, tasks = spec.tasks, awaits = spec.depends_on.len(), ?phase, "job accepted");
    announce(node, &spec.team);
    answer(node, 201, &JobStatus::without_counts(id, phase))
}

/// The transactions that accept a job, and what its user is told then; `Err`: the answer
/// to a submission that can't be accepted, or not now.
async fn admission(
    node: &Rc<Node>,
    spec: &JobSpec,
) -> Result<(Vec<CompareAndSwap>, JobPhase), Reply> {
    let id = &spec.id;
    let mut asked = false;
    loop {
        let admission = node.core().admit(spec, wall_ms());
        let unknown = match admission {
            DependencyAdmission::Accept(cas_list, phase) => return Ok((cas_list, phase)),
            DependencyAdmission::Unknown(ids) => ids,
        };
        // Guards against refusing what only this node's copy does not know: the store is
        // asked about the awaited jobs, and about the job itself, which may be accepted.
        for awaited in &unknown {
            match look(node, awaited).await {
                Ok(Found::Nowhere) => return Err(refuse_unknown(node, id, awaited).await),
                Ok(_) => {}
                Err(missed) => {
                    return Err(turn_away(node, id, QueryKind::Submission, refusal(missed)));
                }
            }
        }
        if asked || !node.fresh().await {
            return Err(turn_away(
                node,
                id,
                QueryKind::Submission,
                QueryRefusal::Store,
            ));
        }
        asked = true;
    }
}

/// Refuses a submission that awaits a job which was never accepted, unless it is itself
/// accepted already.
async fn refuse_unknown(node: &Rc<Node>, id: &JobId, awaited: &JobId) -> Reply {
    match look_up_in_time(node, id).await {
        Ok(Some(state)) => answer(node, 200, &state),
        Ok(None) => {
            info!(job = %id, %awaited, "awaits a job that was never accepted");
            node.questions.borrow_mut().answered(id);
            Reply::new(
                422,
                encode(&format!("awaits: {awaited} was never accepted")),
            )
        }
        Err(why) => turn_away(node, id, QueryKind::Submission, why),
    }
}

async fn known_job(node: &Rc<Node>, id: &JobId) -> Reply {
    match look_up_in_time(node, id).await {
        Ok(Some(state)) => answer(node, 200, &state),
        Ok(None) => turn_away(node, id, QueryKind::Submission, QueryRefusal::Store),
        Err(why) => turn_away(node, id, QueryKind::Submission, why),
    }
}

/// Tells the controller that serves a team that a job came.
fn announce(node: &Rc<Node>, team: &str) {
    let holder = {
        let core = node.core();
        let shard = core
            .cache
            .team_shards
            .get(team)
            .copied()
            .unwrap_or_else(|| core.config.default_shard(team));
        core.cache.shard_leaders.get(&shard).map(|h| h.host.clone())
    };
    let node2 = node.clone();
    node.executor
        .spawn(async move {
            match holder.as_deref().and_then(|h| peer_address(&node2, h)) {
                Some(addr) => drop(
                    node2
                        .http
                        .call(addr, "POST", "/peer/jobs", &[], SYNC_TIMEOUT_MS)
                        .await,
                ),
                None => drop(node2.fresh().await),
            }
        })
        .detach();
}

/// Asks for a job's end, and tells the user of it once it is written: its
/// placer does that when every attempt is proven over. That takes a moment
/// where the machines can be reached; until then the user is told when to ask
/// again.
async fn withdraw(node: &Rc<Node>, id: &str) -> Reply {
    let Some(id) = JobId::parse(id) else {
        return Reply::empty(404);
    };
    let deadline = node.now() + USER_TIMEOUT_MS;
    let mut until = None;
    loop {
        match look_up_in_time(node, &id).await {
            Ok(None) => return nobodys(node, &id),
            Ok(Some(state)) if matches!(state.phase, JobPhase::Done | JobPhase::Withdrawn) => {
                return answer(node, 200, &state);
            }
            Ok(Some(_)) => {}
            Err(why) => return turn_away(node, &id, QueryKind::Withdrawal, why),
        }
        let (team, cancellation) = {
            let core = node.core();
            (
                core.cache.job_spec(&id).map(|spec| spec.team.clone()),
                core.cancellation(&id),
            )
        };
        let Some(team) = team else {
            // Guards against going round for ever for a record that this process
            // can't read.
            if node.now() < deadline {
                continue;
            }
            return turn_away(node, &id, QueryKind::Withdrawal, QueryRefusal::Store);
        };
        let Some(cancellation) = cancellation else {
            if until.is_none_or(|until| node.now() >= until) {
                return turn_away(node, &id, QueryKind::Withdrawal, QueryRefusal::Stopping);
            }
            smol::Timer::after(Duration::from_millis(TICK_MS)).await;
            continue;
        };
        // Guards against a user who is held back for as long as others' changes take.
        if node.state.write_wait() > Duration::from_millis(SUBMIT_WAIT_MS) {
            return turn_away(node, &id, QueryKind::Withdrawal, QueryRefusal::Writes);
        }
        match node.state.cas(&cancellation).await {
            Ok(CompareAndSwapResult::Done(_)) => {
                info!(job = %id, "withdrawal asked for");
                announce(node, &team);
                until = Some(node.now() + WITHDRAW_WAIT_MS);
                // Guards against making the same change again until the copy shows it.
                node.fresh().await;
            }
            Ok(CompareAndSwapResult::Conflict(_)) | Err(KvError::Unknown)
                if node.now() < deadline =>
            {
                drop(node.fresh().await)
            }
            _ => return turn_away(node, &id, QueryKind::Withdrawal, QueryRefusal::Store),
        }
    }
}
