//! Tracks the lifecycle of tasks in event traces: submitted, started, ended. Once all submitted
//! tasks of a job have ended, they become entries: one for each group of tasks that were
//! submitted at the same time with the same request.

use std::collections::{BTreeMap, HashMap};

use lemonweir_model::{JobKind, Priority, Resources};
use roaring::RoaringTreemap;

use crate::fault::{Faults, Row};
use crate::workload::{Constraint, Entry};

/// A lifecycle event of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// The task is submitted and pending.
    Submit,
    /// The task starts to run.
    Start,
    /// The task is evicted and no longer runs; it may be submitted again.
    Evict,
    /// The task ended, successfully or not.
    End,
    /// The request of the task changes; the values of its submission are kept.
    Update,
}

/// The request of a task, as stated at its submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRequest {
    /// Requested resources.
    pub resources: Resources,
    /// Priority of the task.
    pub priority: Priority,
    /// Scheduling class of the task, as `class-N`.
    pub class: String,
    /// User that submitted the task; `unknown` if the trace does not name one.
    pub team: String,
    /// Placement constraints.
    pub constraints: Vec<Constraint>,
}

struct Task {
    request: TaskRequest,
    submitted_us: u64,
    line: u64,
    started_us: Option<u64>,
    evicted: bool,
}

#[derive(Default)]
struct Job {
    live: HashMap<u64, Task>,
    finished: Vec<(Task, u64)>,
    ended: RoaringTreemap,
}

/// Tracks all tasks of a trace. Times are in µs.
#[derive(Default)]
pub struct TaskTracker {
    jobs: BTreeMap<u64, Job>,
    last_us: u64,
}

impl TaskTracker {
    /// Records an event of a task. When the job's last active task ends, the job's entries
    /// are passed to `out`.
    #[allow(clippy::too_many_arguments)]
    pub fn record(
        &mut self,
        row: &mut Row<'_, '_>,
        (job_id, index): (u64, u64),
        at: u64,
        event: TaskEvent,
        request: TaskRequest,
        file: &str,
        out: &mut dyn FnMut(Entry),
    ) {
        if at < self.last_us {
            return row.fault(
                "time",
                format!("{at} after {}: times must not decrease", self.last_us),
            );
        }
        self.last_us = at;
        let job = self.jobs.entry(job_id).or_default();
        let known_task = job.live.get_mut(&index);
        match (event, known_task) {
            (TaskEvent::Submit, Some(t)) if t.evicted => (t.evicted, t.started_us) = (false, None),
            (TaskEvent::Submit, Some(t)) => {
                row.fault(
                    "task",
                    format!(
                        "{job_id}/{index} is submitted again before its end; submitted in line {}",
                        t.line
                    ),
                );
            }
            (TaskEvent::Submit, None) if job.ended.contains(index) => {
                row.fault(
                    "task",
                    format!("{job_id}/{index} is submitted again after it ended"),
                );
            }
            (TaskEvent::Submit, None) => {
                let task = Task {
                    request,
                    submitted_us: at,
                    line: row.line,
                    started_us: None,
                    evicted: false,
                };
                job.live.insert(index, task);
            }
            (TaskEvent::Update, Some(_)) => {}
            (_, None) => row.fault("task", format!("{job_id}/{index} was never submitted")),
            (TaskEvent::Start, Some(t)) if t.started_us.is_some() => {
                row.fault("event", format!("{job_id}/{index} is already running"));
            }
            (TaskEvent::Start, Some(t)) => t.started_us = Some(at),
            (TaskEvent::Evict, Some(t)) => (t.evicted, t.started_us) = (true, None),
            (TaskEvent::End, Some(t)) => {
                if t.started_us.is_none() {
                    row.fault("event", format!("{job_id}/{index} ends without a start"));
                }
                if let Some(t) = job.live.remove(&index) {
                    job.ended.insert(index);
                    job.finished
                        .extend(t.started_us.is_some().then_some((t, at)));
                }
            }
        }
        if event == TaskEvent::End && job.live.is_empty() {
            let finished = std::mem::take(&mut job.finished);
            emit_entries(job_id, finished, file, out);
        }
    }

    /// Ends the trace: reports tasks that have not ended, and emits the tasks that have.
    pub fn finish(self, file: &str, faults: &mut Faults<'_>, out: &mut dyn FnMut(Entry)) {
        for (job_id, job) in self.jobs {
            let mut unfinished: Vec<(u64, u64)> =
                job.live.iter().map(|(index, t)| (t.line, *index)).collect();
            unfinished.sort_unstable();
            for (line, index) in unfinished {
                faults.report(
                    file,
                    line,
                    "end",
                    format!("{job_id}/{index} has no end event"),
                );
            }
            emit_entries(job_id, job.finished, file, out);
        }
    }
}

/// Passes the finished tasks of a job to `out`, grouped by submission time and request.
fn emit_entries(job_id: u64, finished: Vec<(Task, u64)>, file: &str, out: &mut dyn FnMut(Entry)) {
    let mut groups: BTreeMap<(u64, TaskRequest), (u64, Vec<u64>)> = BTreeMap::new();
    for (task, end) in finished {
        let run_ms = end.saturating_sub(task.started_us.unwrap_or(end)) / 1_000;
        let group = groups
            .entry((task.submitted_us, task.request))
            .or_insert((task.line, Vec::new()));
        group.0 = group.0.min(task.line);
        group.1.push(run_ms);
    }
    for (n, ((at, request), (line, mut run_ms))) in groups.into_iter().enumerate() {
        let tasks = run_ms.len() as u32;
        run_ms.sort_unstable();
        if run_ms.first() == run_ms.last() {
            run_ms.truncate(1);
        }
        out(Entry {
            at_ms: at / 1_000,
            id: if n == 0 {
                job_id.to_string()
            } else {
                format!("{job_id}.{n}")
            },
            class: Some(request.class),
            team: Some(request.team),
            rank: request.priority,
            shape: JobKind::Array,
            tasks,
            need: request.resources,
            run_ms,
            constraints: request.constraints,
            from: format!("{file}:{line}"),
        });
    }
}
