//! What all workers share: the jobs, their gangs, what is saved and done, and
//! the calls from one machine to others.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use lemonweir_model::settings::WorkerTiming;
use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec};

use crate::checker::Checker;
use crate::history::History;
use crate::worker::{NEVER, us};

/// A job as the world knows it.
pub struct Load {
    /// What its user asks for.
    pub spec: Arc<JobSpec>,
    /// Run time of its tasks, µs; task `n` takes entry `n` modulo the length.
    pub run_us: Vec<u64>,
    /// It was submitted with a mistake: it fails on every machine.
    pub broken: bool,
}

impl Load {
    /// Run time of one task, µs.
    pub fn run_us(&self, task: u32) -> u64 {
        self.run_us
            .get(task as usize % self.run_us.len().max(1))
            .copied()
            .unwrap_or(0)
    }
}

/// A gang's attempt: its tasks find one another by its number.
#[derive(Default)]
pub(crate) struct Gang {
    pub(crate) present: BTreeMap<u32, usize>,
    /// When it started, with what progress and at what speed.
    started: Option<(u64, u64, f64)>,
    /// When it was first told to stop, and who was.
    stopping: Option<u64>,
    told: HashSet<u32>,
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

/// What a worker asks of others after something happened on it.
pub enum Call {
    /// A gang's task runs until then.
    Run(usize, AttemptId, u64),
    /// It exits with `peers` then.
    Peers(usize, AttemptId, u64),
    /// It exits as stopped then; the flag tells whether its progress is safe.
    Stopped(usize, AttemptId, u64, bool),
    /// Its progress stopped.
    ProcessStall(usize, AttemptId),
    /// Look then whether all of a stopping gang were told.
    Look(AttemptId, u64),
}

/// What all workers share.
pub struct Ground {
    /// Jobs that were submitted.
    pub jobs: HashMap<JobId, Load>,
    /// The rules.
    pub checker: Checker,
    /// What happened.
    pub history: History,
    /// Calls to be carried out.
    pub calls: Vec<Call>,
    /// Jobs whose last task has just completed.
    pub completed: Vec<JobId>,
    /// First start of each task that is worth a figure, µs.
    pub up: HashMap<(JobId, u32), u64>,
    /// When a job began: its gang ran whole, or its first task was up, µs.
    pub begun: HashMap<JobId, u64>,
    /// First arrival of a start order for it, µs.
    pub launched: HashMap<(JobId, u32), u64>,
    /// µs of run time that was of use, in thousandths of a processor.
    pub useful: u128,
    /// Tasks that ended with their worker's lease.
    pub killed_by_lease: u64,
    pub(crate) times: WorkerTiming,
    gangs: HashMap<(JobId, u32), Gang>,
    pub(crate) saved: HashMap<(JobId, u32), u64>,
    pub(crate) done: HashSet<(JobId, u32)>,
    done_tasks: HashMap<JobId, u64>,
}

/// The progress of a gang is one for all of its tasks.
const WHOLE: u32 = u32::MAX;

impl Ground {
    /// Nothing has happened yet.
    pub fn new(times: WorkerTiming, checker: Checker, history: History) -> Self {
        Self {
            jobs: HashMap::new(),
            checker,
            history,
            calls: Vec::new(),
            completed: Vec::new(),
            up: HashMap::new(),
            begun: HashMap::new(),
            launched: HashMap::new(),
            useful: 0,
            killed_by_lease: 0,
            times,
            gangs: HashMap::new(),
            saved: HashMap::new(),
            done: HashSet::new(),
            done_tasks: HashMap::new(),
        }
    }

    /// Progress since a start, floored to what is saved by itself.
    pub(crate) fn checkpoint(spec: &JobSpec, progress: u64) -> u64 {
        let every = us(spec.checkpoint_interval_s);
        progress.checked_div(every).map_or(0, |n| n * every)
    }

    pub(crate) fn gang(&mut self, id: &AttemptId) -> Option<&mut Gang> {
        let gang = self
            .jobs
            .get(&id.job)
            .is_some_and(|l| l.spec.kind == JobKind::Gang && l.spec.tasks > 1);
        if gang {
            Some(self.gangs.entry((id.job.clone(), id.attempt)).or_default())
        } else {
            None
        }
    }

    pub(crate) fn finished(&mut self, id: &AttemptId, worked_us: u64) {
        let Some(load) = self.jobs.get(&id.job) else {
            return;
        };
        let (need, tasks) = (load.spec.task_resources(), load.spec.tasks as u32);
        self.useful += u128::from(worked_us) * u128::from(need.milli_cpus);
        if load.spec.kind == JobKind::Gang && tasks > 1 {
            (0..tasks).for_each(|task| self.task_done(&id.job, task, tasks));
            if let Some(gang) = self.gangs.get_mut(&(id.job.clone(), id.attempt)) {
                gang.over = true;
            }
        } else {
            self.task_done(&id.job, id.task, tasks);
        }
    }

    fn task_done(&mut self, job: &JobId, task: u32, tasks: u32) {
        self.checker.task_done(job, task);
        if self.done.insert((job.clone(), task)) {
            let done = self.done_tasks.entry(job.clone()).or_default();
            *done += 1;
            if *done == u64::from(tasks) {
                self.completed.push(job.clone());
            }
        }
    }

    /// Tasks of a job that have completed.
    pub fn done_tasks(&self, job: &JobId) -> u64 {
        self.done_tasks.get(job).copied().unwrap_or(0)
    }

    /// A gang's task is there with its image; the last one starts all.
    pub(crate) fn gather(&mut self, id: &AttemptId, machine: usize, speed: f64, now: u64) {
        let Some(load) = self.jobs.get(&id.job) else {
            return;
        };
        let (tasks, work) = (load.spec.tasks as usize, load.run_us(0));
        let base = self
            .saved
            .get(&(id.job.clone(), WHOLE))
            .copied()
            .unwrap_or(0);
        let Some(gang) = self.gang(id) else { return };
        gang.present.insert(id.task, machine);
        // The slowest machine's speed: it is kept with the gang as tasks gather.
        let slowest = gang.started.map_or(speed, |(_, _, s)| s.min(speed));
        gang.started = Some((NEVER, base, slowest));
        if gang.present.len() < tasks || gang.over {
            return;
        }
        gang.started = Some((now, base, slowest));
        let until = now + ((work.saturating_sub(base)) as f64 / slowest) as u64;
        let members = gang.members();
        self.begun.entry(id.job.clone()).or_insert(now);
        self.calls.extend(
            members
                .into_iter()
                .map(|(task, m)| Call::Run(m, AttemptId { task, ..id.clone() }, until)),
        );
    }

    /// A gang's task is no more on its machine, or was stopped without saving.
    pub(crate) fn lose(&mut self, id: &AttemptId, now: u64) {
        let peer_us = us(self.times.gang_peer_timeout_s);
        let spec = self.jobs.get(&id.job).map(|l| l.spec.clone());
        let Some(gang) = self.gang(id) else { return };
        let there = gang.present.remove(&id.task).is_some();
        let Some((at, base, speed)) = gang
            .started
            .filter(|(at, _, _)| *at != NEVER && there && !gang.over)
        else {
            return;
        };
        gang.over = true;
        let end = gang.stopping.unwrap_or(now);
        let members = gang.members();
        if let Some(spec) = spec {
            let progress = base + (end.saturating_sub(at) as f64 * speed) as u64;
            let kept = Self::checkpoint(&spec, progress).max(base);
            self.saved.insert((id.job.clone(), WHOLE), kept);
        }
        // They notice at some time within the bound, spread over their numbers.
        let notice = |task: u32| now + peer_us * u64::from(task % 7 + 1) / 7;
        self.calls.extend(
            members
                .into_iter()
                .map(|(task, m)| Call::Peers(m, AttemptId { task, ..id.clone() }, notice(task))),
        );
    }

    /// A running gang's task was told to stop with enough time to save.
    pub(crate) fn stop_gang(&mut self, id: &AttemptId, flush_us: u64, now: u64) {
        let peer_us = us(self.times.gang_peer_timeout_s);
        let Some(gang) = self.gang(id) else { return };
        let first = *gang.stopping.get_or_insert(now);
        gang.told.insert(id.task);
        let whole = |task: u32| AttemptId { task, ..id.clone() };
        let members = gang.members();
        let complete = members.iter().all(|(t, _)| gang.told.contains(t));
        if complete && now <= first + peer_us && !gang.over {
            gang.over = true;
            let progress = gang.started.map_or(0, |(at, base, speed)| {
                base + (first.saturating_sub(at) as f64 * speed) as u64
            });
            self.saved.insert((id.job.clone(), WHOLE), progress);
            self.calls.extend(
                members
                    .into_iter()
                    .map(|(t, m)| Call::Stopped(m, whole(t), now + flush_us, true)),
            );
        } else if first == now {
            self.calls.extend(
                members
                    .into_iter()
                    .filter(|(t, _)| *t != id.task)
                    .map(|(t, m)| Call::ProcessStall(m, whole(t))),
            );
            self.calls.push(Call::Look(id.clone(), first + peer_us));
        }
    }

    /// The time in which all tasks of a stopping gang had to be told is over.
    pub fn look(&mut self, id: &AttemptId, now: u64) {
        let Some(gang) = self.gang(id) else { return };
        if gang.over {
            return;
        }
        let told = gang.told.clone();
        let members = gang.members();
        self.lose(id, now);
        for (task, m) in members {
            let id = AttemptId { task, ..id.clone() };
            self.calls.push(if told.contains(&task) {
                Call::Stopped(m, id, now, false)
            } else {
                Call::Peers(m, id, now)
            });
        }
    }
}
