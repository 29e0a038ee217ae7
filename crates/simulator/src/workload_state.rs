//! What all simulated workers share: the jobs, their gangs, checkpoints and completed tasks,
//! and the signals from one machine of a gang to the others.

use std::collections::{BTreeMap, HashMap, HashSet};

use lemonweir_model::settings::WorkerTiming;
use lemonweir_model::{AttemptId, JobId, JobSpec};

use crate::clock::{NEVER_US, micros};
use crate::history::History;
use crate::invariants::InvariantChecker;
use crate::job::{SimulatedJob, is_real_gang};

/// The checkpoint of a gang is one for all of its tasks: it stands under this number.
const WHOLE_GANG: u32 = u32::MAX;
/// Members of a gang notice a lost peer at so many different times within the bound.
const NOTICE_STEPS: u32 = 7;

/// How a gang's attempt runs.
#[derive(Clone, Copy)]
struct GangRun {
    /// When it started, µs; [`NEVER_US`] while its tasks still gather.
    started_at: u64,
    /// Progress that it started with, µs of run time.
    base_us: u64,
    /// Speed of its slowest machine.
    speed: f64,
}

impl GangRun {
    /// Progress at a time, µs of run time.
    fn progress(&self, at: u64) -> u64 {
        self.base_us + (at.saturating_sub(self.started_at) as f64 * self.speed) as u64
    }
}

/// A gang's attempt: its tasks find one another by its number.
#[derive(Default)]
pub(crate) struct Gang {
    /// Tasks that are on a machine with their image, and that machine.
    pub(crate) present: BTreeMap<u32, usize>,
    run: Option<GangRun>,
    /// When a task of it was first told to stop.
    stopping_since: Option<u64>,
    /// Tasks that were told to stop.
    told_to_stop: HashSet<u32>,
    pub(crate) over: bool,
}

impl Gang {
    /// Its tasks that are there, with their machines.
    fn members(&self) -> Vec<(u32, usize)> {
        self.present
            .iter()
            .map(|(task, machine)| (*task, *machine))
            .collect()
    }
}

/// What something that happened on one worker means for a gang's tasks on others.
pub enum GangSignal {
    /// The task on that machine runs until then.
    Start(usize, AttemptId, u64),
    /// It exits with `peers` then.
    PeerLost(usize, AttemptId, u64),
    /// It exits as stopped then; the flag tells whether its progress is saved.
    Stopped(usize, AttemptId, u64, bool),
    /// It makes no more progress.
    ProgressHalted(usize, AttemptId),
    /// By then all tasks of a stopping gang must have been told.
    StopDeadline(AttemptId, u64),
}

/// What all workers share.
pub struct WorkloadState {
    /// Jobs that were submitted.
    pub jobs: HashMap<JobId, SimulatedJob>,
    /// Checks the invariants.
    pub checker: InvariantChecker,
    /// What happened.
    pub history: History,
    /// Signals that were not delivered yet.
    pub signals: Vec<GangSignal>,
    /// Jobs whose last task has just completed.
    pub completed: Vec<JobId>,
    /// First time at which each task was on its machine with its image, µs.
    pub task_started: HashMap<(JobId, u32), u64>,
    /// When a job began: its gang ran whole, or its first task was started, µs.
    pub begun: HashMap<JobId, u64>,
    /// First arrival of a launch command for each task, µs.
    pub launched: HashMap<(JobId, u32), u64>,
    /// µs of run time that counted, in thousandths of a processor.
    pub useful: u128,
    /// Tasks that ended with their worker's lease.
    pub killed_by_lease: u64,
    pub(crate) times: WorkerTiming,
    gangs: HashMap<(JobId, u32), Gang>,
    /// Saved progress of each task, µs of run time.
    pub(crate) checkpoints: HashMap<(JobId, u32), u64>,
    /// Tasks that completed.
    pub(crate) completed_tasks: HashSet<(JobId, u32)>,
    completed_counts: HashMap<JobId, u64>,
}

impl WorkloadState {
    /// The state before anything has happened.
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
            useful: 0,
            killed_by_lease: 0,
            times,
            gangs: HashMap::new(),
            checkpoints: HashMap::new(),
            completed_tasks: HashSet::new(),
            completed_counts: HashMap::new(),
        }
    }

    /// Progress since a start, down to the last checkpoint that a task makes by itself.
    pub(crate) fn checkpointed(spec: &JobSpec, progress_us: u64) -> u64 {
        let interval_us = micros(spec.checkpoint_interval_s);
        progress_us
            .checked_div(interval_us)
            .map_or(0, |checkpoints| checkpoints * interval_us)
    }

    /// Saved progress of a task, µs of run time.
    pub(crate) fn checkpoint(&self, job: &JobId, task: u32) -> u64 {
        self.checkpoints
            .get(&(job.clone(), task))
            .copied()
            .unwrap_or(0)
    }

    /// The gang of an attempt; none if its job is no gang of several tasks.
    pub(crate) fn gang(&mut self, id: &AttemptId) -> Option<&mut Gang> {
        let job = self.jobs.get(&id.job)?;
        if is_real_gang(&job.spec) {
            Some(self.gangs.entry((id.job.clone(), id.attempt)).or_default())
        } else {
            None
        }
    }

    /// A task ran to its end; a gang's task completes all tasks of its gang.
    pub(crate) fn task_completed(&mut self, id: &AttemptId, worked_us: u64) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (need, tasks) = (job.spec.task_resources(), job.spec.tasks as u32);
        self.useful += u128::from(worked_us) * u128::from(need.milli_cpus);
        if is_real_gang(&job.spec) {
            (0..tasks).for_each(|task| self.record_completed(&id.job, task, tasks));
            if let Some(gang) = self.gangs.get_mut(&(id.job.clone(), id.attempt)) {
                gang.over = true;
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

    /// Tasks of a job that have completed.
    pub fn completed_tasks(&self, job: &JobId) -> u64 {
        self.completed_counts.get(job).copied().unwrap_or(0)
    }

    /// A gang's task is on its machine with its image; the last one starts all.
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
        let base_us = self.checkpoint(&id.job, WHOLE_GANG);
        let Some(gang) = self.gang(id) else { return };
        gang.present.insert(id.task, machine);
        // The slowest machine's speed: it is kept with the gang as tasks gather.
        let slowest = gang.run.map_or(speed, |run| run.speed.min(speed));
        let mut run = GangRun {
            started_at: NEVER_US,
            base_us,
            speed: slowest,
        };
        if gang.present.len() >= tasks && !gang.over {
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

    /// A gang's task is no more on its machine, or was stopped without a checkpoint: the
    /// attempt is over, and its other tasks notice within the bound.
    pub(crate) fn gang_task_lost(&mut self, id: &AttemptId, now: u64) {
        let peer_us = micros(self.times.gang_peer_timeout_s);
        let spec = self.jobs.get(&id.job).map(|job| job.spec.clone());
        let Some(gang) = self.gang(id) else { return };
        let was_present = gang.present.remove(&id.task).is_some();
        let Some(run) = gang
            .run
            .filter(|run| run.started_at != NEVER_US && was_present && !gang.over)
        else {
            return;
        };
        gang.over = true;
        let end = gang.stopping_since.unwrap_or(now);
        let members = gang.members();
        if let Some(spec) = spec {
            let saved = Self::checkpointed(&spec, run.progress(end)).max(run.base_us);
            self.checkpoints.insert((id.job.clone(), WHOLE_GANG), saved);
        }
        // They notice at some time within the bound, spread over their numbers.
        let notice = |task: u32| {
            now + peer_us * u64::from(task % NOTICE_STEPS + 1) / u64::from(NOTICE_STEPS)
        };
        self.signals.extend(
            members.into_iter().map(|(task, machine)| {
                GangSignal::PeerLost(machine, sibling(id, task), notice(task))
            }),
        );
    }

    /// A running gang's task was told to stop with enough time to save a checkpoint. The
    /// checkpoint is saved once all tasks were told in time.
    pub(crate) fn stop_gang_task(&mut self, id: &AttemptId, save_us: u64, now: u64) {
        let peer_us = micros(self.times.gang_peer_timeout_s);
        let Some(gang) = self.gang(id) else { return };
        let first_told = *gang.stopping_since.get_or_insert(now);
        gang.told_to_stop.insert(id.task);
        let members = gang.members();
        let all_told = members
            .iter()
            .all(|(task, _)| gang.told_to_stop.contains(task));
        if all_told && now <= first_told + peer_us && !gang.over {
            gang.over = true;
            let progress = gang.run.map_or(0, |run| run.progress(first_told));
            self.checkpoints
                .insert((id.job.clone(), WHOLE_GANG), progress);
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

    /// The time within which all tasks of a stopping gang had to be told is over.
    pub fn stop_deadline_passed(&mut self, id: &AttemptId, now: u64) {
        let Some(gang) = self.gang(id) else { return };
        if gang.over {
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

/// Another task of the same attempt.
fn sibling(id: &AttemptId, task: u32) -> AttemptId {
    AttemptId { task, ..id.clone() }
}
