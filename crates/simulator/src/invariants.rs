//! Checks the rules of the protocol page throughout a run. A violation begins with the name
//! that its rule has on that page.

mod answers;
mod gangs;
mod placement;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lemonweir_model::{JobId, JobSpec, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::JobEndRecord;

pub use answers::UserAnswer;
pub use placement::TaskPlacement;

use answers::{AwaitedJob, PollCounts, TerminalAnswer};
use placement::OccupiedMachine;

/// Checks the invariants of a run. All times are µs.
#[derive(Default)]
pub struct InvariantChecker {
    /// Violations so far, each with its time.
    pub violations: Vec<String>,
    /// Number of task starts.
    pub starts: u64,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// Machines that each task is on.
    machines_by_task: HashMap<(JobId, u32), Vec<OccupiedMachine>>,
    /// Number of tasks on machines by job and zone.
    tasks_in_zones: HashMap<JobId, BTreeMap<String, u32>>,
    /// Resources in use by the tasks of each team.
    usage: BTreeMap<String, Resources>,
    quota_limits: BTreeMap<String, Resources>,
    /// Completed tasks of jobs whose end is not committed yet.
    completed_tasks: HashMap<JobId, BTreeSet<u32>>,
    /// Time of the last start of a task of each job.
    last_start: HashMap<JobId, u64>,
    /// Time at which each cancellation was first committed or confirmed to a user.
    withdrawn: BTreeMap<JobId, u64>,
    /// Final phases that were committed or confirmed to a user.
    ended: BTreeMap<JobId, JobPhase>,
    /// Final phases that users were told.
    terminal_answers: BTreeMap<JobId, TerminalAnswer>,
    /// Withdrawn jobs that still have tasks on machines.
    withdrawn_on_machines: BTreeSet<JobId>,
    /// Time within which the tasks of a withdrawn job must be gone.
    cancellation_deadline_us: u64,
    /// Number of live tasks of each gang by attempt, from the launch command to the exit.
    live_gang_tasks: HashMap<JobId, BTreeMap<u32, u32>>,
    /// Jobs that a user waits for.
    awaiting_answer: HashMap<JobId, AwaitedJob>,
    /// Polls of accepted jobs.
    polls: PollCounts,
}

impl InvariantChecker {
    /// Creates a checker with the quota limits of the teams and the time within which the tasks
    /// of a cancelled job must be gone, µs.
    pub fn new(quota_limits: BTreeMap<String, Resources>, cancellation_deadline_us: u64) -> Self {
        Self {
            quota_limits,
            cancellation_deadline_us,
            ..Self::default()
        }
    }

    fn violation(&mut self, now: u64, text: String) {
        self.violations.push(format!("{} ms: {text}", now / 1_000));
    }

    /// Records that a job was submitted.
    pub fn submitted(&mut self, spec: &Arc<JobSpec>) {
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// Records that a job was refused: it must stay unknown.
    pub fn refused(&mut self, job: &JobId) {
        self.specs.remove(job);
    }

    /// True if a job is cancelled.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.withdrawn.contains_key(job)
    }

    /// Records that the cancellation of a job was committed or confirmed to a user. A job that is
    /// done must not be withdrawn.
    pub fn withdrawn(&mut self, job: &JobId, now: u64) {
        if self.ended.insert(job.clone(), JobPhase::Withdrawn) == Some(JobPhase::Done) {
            self.violation(now, format!("went_back: {job} was done and is withdrawn"));
        }
        self.withdrawn.entry(job.clone()).or_insert(now);
        if self.tasks_on_machines(job) > 0 {
            self.withdrawn_on_machines.insert(job.clone());
        }
    }

    /// Records that a task completed.
    pub fn task_completed(&mut self, job: &JobId, task: u32) {
        if !self.ended.contains_key(job) {
            self.completed_tasks
                .entry(job.clone())
                .or_default()
                .insert(task);
        }
    }

    /// Checks the job ends that a committed compare-and-swap writes.
    pub fn cas_committed(&mut self, cas: &CompareAndSwap, now: u64) {
        for write in &cas.writes {
            let Write::Put { key, value, .. } = write else {
                continue;
            };
            let Some(id) = key.strip_prefix("end/").map(JobId::from) else {
                continue;
            };
            match from_value(value).map(|record: JobEndRecord| record.phase) {
                Some(JobPhase::Done) => self.completion_committed(id, now),
                Some(JobPhase::Withdrawn) => self.cancellation_committed(&id, now),
                _ => {}
            }
        }
    }

    /// From now on any controller may report the job as withdrawn. Stricter than the protocol
    /// page: no task of the job may be on a machine at this moment.
    fn cancellation_committed(&mut self, id: &JobId, now: u64) {
        let tasks = self.tasks_on_machines(id);
        if tasks > 0 {
            self.violation(
                now,
                format!("ran_cancelled: {id} is called withdrawn with {tasks} tasks on machines"),
            );
        }
        self.withdrawn(id, now);
    }

    /// A job may be committed as done only once all its tasks have completed, and not after a
    /// cancellation.
    fn completion_committed(&mut self, id: JobId, now: u64) {
        let tasks = self.specs.get(&id).map_or(0, |spec| spec.tasks);
        let completed = self
            .completed_tasks
            .remove(&id)
            .map_or(0, |tasks| tasks.len() as u64);
        if completed < tasks {
            self.violation(
                now,
                format!("not_done: {id} is called done with {completed} of {tasks} tasks"),
            );
        }
        if self.ended.insert(id.clone(), JobPhase::Done) == Some(JobPhase::Withdrawn) {
            self.violation(now, format!("went_back: {id} was withdrawn and is done"));
        }
    }

    /// Checks that the tasks of withdrawn jobs are gone within the deadline.
    pub fn check_cancellations(&mut self, now: u64) {
        let late = |job: &&JobId| {
            self.withdrawn
                .get(*job)
                .is_some_and(|&at| now > at + self.cancellation_deadline_us)
        };
        let late: Vec<JobId> = self
            .withdrawn_on_machines
            .iter()
            .filter(late)
            .cloned()
            .collect();
        for job in late {
            self.violation(now, format!("ran_cancelled: {job} still runs"));
            self.withdrawn_on_machines.remove(&job);
        }
    }
}
