//! Checks the rules of the protocol page over everything that happens in a run. The name in
//! front of a violation is the rule's name on that page.

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

use answers::TerminalAnswer;
use placement::OccupiedMachine;

/// Checks the invariants. All times are µs.
#[derive(Default)]
pub struct InvariantChecker {
    /// Each violation, with its time.
    pub violations: Vec<String>,
    /// Starts of tasks.
    pub starts: u64,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// Machines that a task is on.
    machines_of: HashMap<(JobId, u32), Vec<OccupiedMachine>>,
    /// Tasks of a job in each zone.
    tasks_in_zones: HashMap<JobId, BTreeMap<String, u32>>,
    /// Resources that a team's tasks take.
    usage: BTreeMap<String, Resources>,
    quota_limits: BTreeMap<String, Resources>,
    /// Completed tasks of jobs whose end is not committed.
    completed: HashMap<JobId, BTreeSet<u32>>,
    /// When a task of a job last started.
    last_start: HashMap<JobId, u64>,
    /// When a cancellation was committed or confirmed.
    withdrawn: BTreeMap<JobId, u64>,
    /// Ends that were committed or confirmed.
    ended: BTreeMap<JobId, JobPhase>,
    /// Ends that a user was told.
    told: BTreeMap<JobId, TerminalAnswer>,
    /// Withdrawn jobs with a task on some machine.
    lingering: BTreeSet<JobId>,
    /// How long tasks of a withdrawn job may still run.
    cancel_us: u64,
    /// Live tasks of each gang by attempt, from the launch command to the exit.
    live_gang_tasks: HashMap<JobId, BTreeMap<u32, u32>>,
    /// Jobs that a user waits for, with the time of the last answer about each.
    awaiting_answer: HashMap<JobId, u64>,
}

impl InvariantChecker {
    /// A checker with the quota limits of the teams and the time within which a cancelled
    /// job's tasks must be gone, µs.
    pub fn new(quota_limits: BTreeMap<String, Resources>, cancel_us: u64) -> Self {
        Self {
            quota_limits,
            cancel_us,
            ..Self::default()
        }
    }

    fn violation(&mut self, now: u64, text: String) {
        self.violations.push(format!("{} ms: {text}", now / 1_000));
    }

    /// A job was submitted.
    pub fn submitted(&mut self, spec: &Arc<JobSpec>) {
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// A job was refused: it must stay unknown.
    pub fn refused(&mut self, job: &JobId) {
        self.specs.remove(job);
    }

    /// True if a job is cancelled.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.withdrawn.contains_key(job)
    }

    /// The cancellation of a job was committed, or confirmed to a user.
    pub fn withdrawn(&mut self, job: &JobId, now: u64) {
        if self.ended.insert(job.clone(), JobPhase::Withdrawn) == Some(JobPhase::Done) {
            self.violation(now, format!("went_back: {job} was done and is withdrawn"));
        }
        self.withdrawn.entry(job.clone()).or_insert(now);
        if self.tasks_on_machines(job) > 0 {
            self.lingering.insert(job.clone());
        }
    }

    /// A task completed.
    pub fn task_completed(&mut self, job: &JobId, task: u32) {
        if !self.ended.contains_key(job) {
            self.completed.entry(job.clone()).or_default().insert(task);
        }
    }

    /// The store committed a compare-and-swap: the ends of jobs in it must be true.
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

    /// Any controller may tell a cancellation from now on. Stricter than the page: nothing
    /// of the job may be on a machine even now.
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

    fn completion_committed(&mut self, id: JobId, now: u64) {
        let tasks = self.specs.get(&id).map_or(0, |spec| spec.tasks);
        let completed = self
            .completed
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

    /// Tasks of withdrawn jobs must be gone in time.
    pub fn check_cancellations(&mut self, now: u64) {
        let late = |job: &&JobId| {
            self.withdrawn
                .get(*job)
                .is_some_and(|&at| now > at + self.cancel_us)
        };
        let late: Vec<JobId> = self.lingering.iter().filter(late).cloned().collect();
        for job in late {
            self.violation(now, format!("ran_cancelled: {job} still runs"));
            self.lingering.remove(&job);
        }
    }
}
