//! Ids that this node knows nothing of: many are asked for in one question to the
//! store, which makes a 404 true, and a flood of them costs a bounded share of
//! what the store answers. Who is owed an answer for longest goes first.

use std::rc::Rc;
use std::time::Duration;

use smol::channel::{Sender, bounded};

use crate::Node;
use crate::kv_client::{CompareAndSwapResult, KvError};
use lemonweir_coordination::query_admission::Line;
use lemonweir_model::JobId;
use lemonweir_model::constants::*;
use lemonweir_protocol::kv_store::from_value;
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::blocked_job_key;
use lemonweir_storage::records::{
    CONDITIONS_PER_ABSENT_JOB, END_PREFIX, JobEndRecord, absent, end_key, job_key,
};
use lemonweir_transport::within;

/// What the store says of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Found {
    /// No such job, at a moment after it was asked for.
    Nowhere,
    /// An unfinished job.
    Unfinished,
    /// A job that is over.
    Over(JobPhase),
}

/// Why nothing was found out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missed {
    /// Others go first.
    Turn,
    /// The store did not tell.
    Store,
}

type Fate = Result<Found, Missed>;

/// Ids that wait to be asked for, with who waits for each.
pub(crate) struct Lookups {
    line: Line<Sender<Fate>>,
    running: bool,
}

impl Default for Lookups {
    fn default() -> Self {
        Self {
            line: Line::new(LOOKUPS_MOST),
            running: false,
        }
    }
}

/// Asks for an id together with others; turned away at once where too many wait
/// that are owed an answer for longer, or where the store is busy with what goes
/// first.
pub(crate) async fn look(node: &Rc<Node>, id: &JobId) -> Fate {
    let now = node.now();
    let (since, first) = {
        let questions = node.questions.borrow();
        (questions.since(id, now), questions.first(id, now))
    };
    if !first && node.state.question_wait() > Duration::from_millis(LOOKUP_WAIT_MS) {
        return Err(Missed::Turn);
    }
    let (answer, answered) = bounded(1);
    let start = {
        let mut lookups = node.lookups.borrow_mut();
        for gone in lookups.line.enter(id, since, answer) {
            // Who asked may have given up.
            let _ = gone.try_send(Err(Missed::Turn));
        }
        !std::mem::replace(&mut lookups.running, true)
    };
    if start {
        let node2 = node.clone();
        node.executor
            .spawn(async move { run(&node2).await })
            .detach();
    }
    within(USER_TIMEOUT_MS, answered.recv())
        .await
        .and_then(Result::ok)
        .unwrap_or(Err(Missed::Store))
}

/// Works off what waits, some ids at a time.
async fn run(node: &Rc<Node>) {
    smol::Timer::after(Duration::from_millis(GATHER_MS)).await;
    let most = (CONDITIONS_A_CHANGE * node.core().config.txn_ops / CONDITIONS_PER_ABSENT_JOB).max(1);
    loop {
        let asked = {
            let mut lookups = node.lookups.borrow_mut();
            let asked = lookups.line.take(most);
            if asked.is_empty() {
                lookups.running = false;
                return;
            }
            asked
        };
        let node2 = node.clone();
        node.executor
            .spawn(async move { ask(&node2, asked).await })
            .detach();
        smol::Timer::after(Duration::from_millis(LOOKUP_GAP_MS)).await;
    }
}

/// One question for all of these.
async fn ask(node: &Node, asked: Vec<(JobId, Vec<Sender<Fate>>)>) {
    let ids: Vec<JobId> = asked.iter().map(|(id, _)| id.clone()).collect();
    let there = match node.state.cas(&absent(&ids)).await {
        Ok(CompareAndSwapResult::Done(_)) => Ok(Vec::new()),
        Ok(CompareAndSwapResult::Conflict(keys)) => Ok(keys),
        Err(error) => Err(error),
    };
    for (id, senders) in asked {
        let fate = match &there {
            Err(_) => Err(Missed::Store),
            Ok(keys) if keys.contains(&end_key(&id)) => {
                end(node, &id).await.map_err(|_| Missed::Store)
            }
            Ok(keys) if keys.contains(&job_key(&id)) || keys.contains(&blocked_job_key(&id)) => {
                Ok(Found::Unfinished)
            }
            Ok(_) => Ok(Found::Nowhere),
        };
        for sender in senders {
            // Who asked may have given up.
            let _ = sender.try_send(fate);
        }
    }
}

/// Reads the end of a job, once: it never changes. Its neighbours' come with it,
/// so that a process that has just started, whom users ask for all that is over,
/// does not read them one by one.
pub(crate) async fn end(node: &Node, id: &JobId) -> Result<Found, KvError> {
    if let Some(end) = node.core().cache.job_end(id) {
        return Ok(Found::Over(end.phase));
    }
    let key = end_key(id);
    // What is without the last digit comes before all that begin with it.
    let before = &key[..key.len() - 1];
    let mut page = node.state.page(END_PREFIX, before, ENDS_PAGE).await?;
    if !page.iter().any(|entry| entry.key == key) {
        page.extend(node.state.get(&key).await?);
    }
    let now = node.now();
    let mut core = node.core();
    for entry in page {
        match (
            entry.key.strip_prefix(END_PREFIX),
            from_value::<JobEndRecord>(&entry.value),
        ) {
            (Some(id), Some(record)) => {
                core.cache
                    .record_end(&JobId::from(id), record.phase, entry.version, now)
            }
            _ => tracing::error!(key = entry.key, "end not understood"),
        }
    }
    core.cache
        .job_end(id)
        .map(|end| Found::Over(end.phase))
        .ok_or(KvError::Refused)
}
