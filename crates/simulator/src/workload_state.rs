//! State shared by all simulated workers: jobs, gangs, checkpoints and completed tasks, and the
//! signals that the machines of a gang send to one another.

use std::collections::{BTreeMap, HashMap, HashSet};

use lemonweir_model::settings::WorkerTiming;
use lemonweir_model::{AttemptId, JobId, JobSpec};

use crate::clock::{NEVER_US, micros};
use crate::history::History;
use crate::invariants::InvariantChecker;
use crate::job::{SimulatedJob, is_multi_task_gang};

/// Task number under which the checkpoint of a gang is stored; all tasks of a gang share one.
const GANG_CHECKPOINT_TASK: u32 = u32::MAX;
/// Number of different times, within `gang_peer_timeout_s`, at which the tasks of a gang notice a
/// lost peer.
const PEER_LOSS_NOTICE_STEPS: u32 = 7;

/// Progress of a gang's attempt.
#[derive(Clone, Copy)]
struct GangRun {
    /// Start of the run, µs; [`NEVER_US`] until all tasks are present.
    started_at: u64,
    /// Progress at the start of the run, from a checkpoint, µs of run time.
    base_us: u64,
    /// Speed of the slowest machine of the gang, which determines its progress.
    speed: f64,
}

impl GangRun {
    /// Progress at time `at`, µs of run time.
    fn progress(&self, at: u64) -> u64 {
        self.base_us + (at.saturating_sub(self.started_at) as f64 * self.speed) as u64
    }
}

/// An attempt of a gang.
#[derive(Default)]
pub(crate) struct Gang {
    /// Tasks that are on a machine with their image, and the number of that machine.
    pub(crate) present: BTreeMap<u32, usize>,
    run: Option<GangRun>,
    /// Time of the first stop command to one of its running tasks, µs.
    stopping_since: Option<u64>,
    /// Running tasks that have received a stop command.
    told_to_stop: HashSet<u32>,
    /// True once the attempt has completed, was stopped, or has lost a task while it ran.
    pub(crate) ended: bool,
}

impl Gang {
    /// The tasks that are present, with their machines.
    fn members(&self) -> Vec<(u32, usize)> {
        self.present
            .iter()
            .map(|(task, machine)| (*task, *machine))
            .collect()
    }
}

/// Effect of an event on one worker on the gang's tasks on others. The fields are the number of
/// the machine that the signal is for, the id of the attempt of its task, and a time in µs.
pub enum GangSignal {
    /// The gang is complete: the task runs, and completes at the given time.
    Start(usize, AttemptId, u64),
    /// The gang has lost a task: this one exits with cause `peers` at the given time.
    PeerLost(usize, AttemptId, u64),
    /// The task exits as stopped at the given time; the flag is true if its progress is saved.
    Stopped(usize, AttemptId, u64, bool),
    /// The gang is stopping: the task makes no further progress.
    ProgressHalted(usize, AttemptId),
    /// Deadline by which all tasks of a stopping gang must have received a stop command. It is
    /// for no particular machine.
    StopDeadline(AttemptId, u64),
}

/// State shared by all workers.
pub struct WorkloadState {
    /// Jobs that users have submitted at least once, including refused ones.
    pub jobs: HashMap<JobId, SimulatedJob>,
    /// Checker of the invariants; workers report starts and exits of tasks to it.
    pub checker: InvariantChecker,
    /// History of the run.
    pub history: History,
    /// Signals that are not delivered yet.
    pub signals: Vec<GangSignal>,
    /// Jobs whose last task has completed, until the simulation has processed them.
    pub completed: Vec<JobId>,
    /// Time at which each task was first on its machine with its image, µs.
    pub task_started: HashMap<(JobId, u32), u64>,
    /// Time at which each job began, µs: its gang first ran as a whole, or its first task
    /// started.
    pub begun: HashMap<JobId, u64>,
    /// First arrival of a launch command for each task, µs.
    pub launched: HashMap<(JobId, u32), u64>,
    /// Processor time of useful work, in µs of a thousandth of a processor. Excludes service
    /// replicas that still run.
    pub useful_milli_cpu_us: u128,
    /// Number of tasks killed because their worker's lease expired.
    pub killed_by_lease: u64,
    pub(crate) times: WorkerTiming,
    gangs: HashMap<(JobId, u32), Gang>,
    /// Saved progress of each task, µs of run time.
    pub(crate) checkpoints: HashMap<(JobId, u32), u64>,
    /// Tasks that have completed in any attempt.
    pub(crate) completed_tasks: HashSet<(JobId, u32)>,
    /// Number of completed tasks of each job.
    completed_counts: HashMap<JobId, u64>,
}

impl WorkloadState {
    /// Creates the state at the start of a run.
    pub fn new(times: WorkerTiming, checker: InvariantChecker, history: History) -> Self {
        Self {
            jobs: HashMap::new(),
            checker,
            history,
            signals: Vec::new(),
            completed: Vec::new(),
            task_started: HashMap::new(),
            begun: HashMap::new(),
            launched: HashMap::new(),
            useful_milli_cpu_us: 0,
            killed_by_lease: 0,
            times,
            gangs: HashMap::new(),
            checkpoints: HashMap::new(),
            completed_tasks: HashSet::new(),
            completed_counts: HashMap::new(),
        }
    }

    /// The part of `progress_us` that the periodic checkpoints of a task of the job cover; 0 if
    /// the job makes none.
    pub(crate) fn checkpointed(spec: &JobSpec, progress_us: u64) -> u64 {
        let interval_us = micros(spec.checkpoint_interval_s);
        progress_us
            .checked_div(interval_us)
            .map_or(0, |checkpoints| checkpoints * interval_us)
    }

    /// Saved progress of a task, µs of run time; 0 if none is saved.
    pub(crate) fn checkpoint(&self, job: &JobId, task: u32) -> u64 {
        self.checkpoints
            .get(&(job.clone(), task))
            .copied()
            .unwrap_or(0)
    }

    /// The gang that an attempt belongs to; `None` if its job is not a gang of several tasks.
    pub(crate) fn gang(&mut self, id: &AttemptId) -> Option<&mut Gang> {
        let job = self.jobs.get(&id.job)?;
        if is_multi_task_gang(&job.spec) {
            Some(self.gangs.entry((id.job.clone(), id.attempt)).or_default())
        } else {
            None
        }
    }

    /// Records that a task completed after `worked_us` of run time. A task of a gang completes all
    /// tasks of the gang.
    pub(crate) fn task_completed(&mut self, id: &AttemptId, worked_us: u64) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (need, tasks) = (job.spec.task_resources(), job.spec.tasks as u32);
        self.useful_milli_cpu_us += u128::from(worked_us) * u128::from(need.milli_cpus);
        if is_multi_task_gang(&job.spec) {
            (0..tasks).for_each(|task| self.record_completed(&id.job, task, tasks));
            if let Some(gang) = self.gangs.get_mut(&(id.job.clone(), id.attempt)) {
                gang.ended = true;
            }
        } else {
            self.record_completed(&id.job, id.task, tasks);
        }
    }

    fn record_completed(&mut self, job: &JobId, task: u32, tasks: u32) {
        self.checker.task_completed(job, task);
        if self.completed_tasks.insert((job.clone(), task)) {
            let completed = self.completed_counts.entry(job.clone()).or_default();
            *completed += 1;
            if *completed == u64::from(tasks) {
                self.completed.push(job.clone());
            }
        }
    }

    /// Number of completed tasks of a job.
    pub fn completed_tasks(&self, job: &JobId) -> u64 {
        self.completed_counts.get(job).copied().unwrap_or(0)
    }

    /// Records that a gang's task is on its machine with its image. Once all tasks are present,
    /// the gang starts.
    pub(crate) fn gang_task_present(
        &mut self,
        id: &AttemptId,
        machine: usize,
        speed: f64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (tasks, work_us) = (job.spec.tasks as usize, job.run_us(0));
        let base_us = self.checkpoint(&id.job, GANG_CHECKPOINT_TASK);
        let Some(gang) = self.gang(id) else { return };
        gang.present.insert(id.task, machine);
        // The gang runs at the speed of its slowest machine, updated as tasks become present.
        let slowest = gang.run.map_or(speed, |run| run.speed.min(speed));
        let mut run = GangRun {
            started_at: NEVER_US,
            base_us,
            speed: slowest,
        };
        if gang.present.len() >= tasks && !gang.ended {
            run.started_at = now;
        }
        gang.run = Some(run);
        if run.started_at == NEVER_US {
            return;
        }
        let until = now + ((work_us.saturating_sub(base_us)) as f64 / slowest) as u64;
        let members = gang.members();
        self.begun.entry(id.job.clone()).or_insert(now);
        self.signals.extend(
            members
                .into_iter()
                .map(|(task, machine)| GangSignal::Start(machine, sibling(id, task), until)),
        );
    }

    /// Records that a gang's task is no longer on its machine or was stopped without a checkpoint.
    /// If the gang was running, its attempt ends, and the other tasks notice this within
    /// `gang_peer_timeout_s`.
    pub(crate) fn gang_task_lost(&mut self, id: &AttemptId, now: u64) {
        let peer_us = micros(self.times.gang_peer_timeout_s);
        let spec = self.jobs.get(&id.job).map(|job| job.spec.clone());
        let Some(gang) = self.gang(id) else { return };
        let was_present = gang.present.remove(&id.task).is_some();
        let Some(run) = gang
            .run
            .filter(|run| run.started_at != NEVER_US && was_present && !gang.ended)
        else {
            return;
        };
        gang.ended = true;
        let end = gang.stopping_since.unwrap_or(now);
        let members = gang.members();
        if let Some(spec) = spec {
            let saved = Self::checkpointed(&spec, run.progress(end)).max(run.base_us);
            self.checkpoints
                .insert((id.job.clone(), GANG_CHECKPOINT_TASK), saved);
        }
        // The times at which tasks notice the loss are spread over the bound by task number.
        let notice = |task: u32| {
            now + peer_us * u64::from(task % PEER_LOSS_NOTICE_STEPS + 1)
                / u64::from(PEER_LOSS_NOTICE_STEPS)
        };
        self.signals.extend(
            members.into_iter().map(|(task, machine)| {
                GangSignal::PeerLost(machine, sibling(id, task), notice(task))
            }),
        );
    }

    /// Records that a running task of a gang was told to stop, with enough time to save a
    /// checkpoint. The checkpoint is saved once all tasks have been told, if this happens within
    /// `gang_peer_timeout_s` of the first one.
    pub(crate) fn stop_gang_task(&mut self, id: &AttemptId, save_us: u64, now: u64) {
        let peer_us = micros(self.times.gang_peer_timeout_s);
        let Some(gang) = self.gang(id) else { return };
        let first_told = *gang.stopping_since.get_or_insert(now);
        gang.told_to_stop.insert(id.task);
        let members = gang.members();
        let all_told = members
            .iter()
            .all(|(task, _)| gang.told_to_stop.contains(task));
        if all_told && now <= first_told + peer_us && !gang.ended {
            gang.ended = true;
            let progress = gang.run.map_or(0, |run| run.progress(first_told));
            self.checkpoints
                .insert((id.job.clone(), GANG_CHECKPOINT_TASK), progress);
            self.signals
                .extend(members.into_iter().map(|(task, machine)| {
                    GangSignal::Stopped(machine, sibling(id, task), now + save_us, true)
                }));
        } else if first_told == now {
            self.signals.extend(
                members
                    .into_iter()
                    .filter(|(task, _)| *task != id.task)
                    .map(|(task, machine)| GangSignal::ProgressHalted(machine, sibling(id, task))),
            );
            self.signals
                .push(GangSignal::StopDeadline(id.clone(), first_told + peer_us));
        }
    }

    /// Ends a stopping gang whose tasks were not all told to stop in time: those that were told
    /// exit as stopped without a checkpoint, and the others because of a lost peer.
    pub fn stop_deadline_passed(&mut self, id: &AttemptId, now: u64) {
        let Some(gang) = self.gang(id) else { return };
        if gang.ended {
            return;
        }
        let told = gang.told_to_stop.clone();
        let members = gang.members();
        self.gang_task_lost(id, now);
        for (task, machine) in members {
            let id = sibling(id, task);
            self.signals.push(if told.contains(&task) {
                GangSignal::Stopped(machine, id, now, false)
            } else {
                GangSignal::PeerLost(machine, id, now)
            });
        }
    }
}

/// Id of another task of the same attempt.
fn sibling(id: &AttemptId, task: u32) -> AttemptId {
    AttemptId { task, ..id.clone() }
}
