//! Life cycle of tasks on a worker: launch, start, checkpoint and exit.

use std::sync::Arc;

use lemonweir_model::{AttemptId, JobKind, JobSpec, Resources};
use lemonweir_protocol::worker::TaskPhase;

use super::Worker;
use crate::clock::micros;
use crate::invariants::TaskPlacement;
use crate::job::is_multi_task_gang;
use crate::workload_state::{GangSignal, WorkloadState};

/// Time after which a task of a broken job, or on a faulty machine, fails, µs.
const FAILURE_DELAY_US: u64 = 2_000_000;

/// How a task exits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TaskEnd {
    Completed,
    Failed,
    /// It received a stop command; the flag is true if its progress is saved.
    Stopped(bool),
    /// Its gang was not complete in time.
    GangTimeout,
    /// Another task of its gang was lost.
    PeerLost,
}

impl TaskEnd {
    /// Name of the cause in heartbeats and in the history.
    fn cause(self) -> &'static str {
        match self {
            TaskEnd::Completed => "done",
            TaskEnd::Failed => "error",
            TaskEnd::Stopped(_) => "stopped",
            TaskEnd::GangTimeout => "alone",
            TaskEnd::PeerLost => "peers",
        }
    }
}

/// A scheduled exit of a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct DueEnd {
    pub(super) at: u64,
    pub(super) end: TaskEnd,
}

#[derive(Debug)]
pub(super) struct Task {
    pub(super) phase: TaskPhase,
    pub(super) cause: Option<&'static str>,
    pub(super) saved: bool,
    /// Its next scheduled exit, if any.
    pub(super) next: Option<DueEnd>,
    /// Time at which it began to run, µs.
    running_since: u64,
    /// Progress at its start, from a checkpoint, µs of run time.
    base_us: u64,
    need: Resources,
}

impl Task {
    /// Processor time used so far, in µs of a thousandth of a processor.
    pub(super) fn processor_time(&self, now: u64) -> u128 {
        u128::from(now.saturating_sub(self.running_since)) * u128::from(self.need.milli_cpus)
    }

    /// Schedules its exit, replacing an earlier one.
    fn schedule_end(&mut self, at: u64, end: TaskEnd) {
        self.next = Some(DueEnd { at, end });
    }
}

impl Worker {
    /// Executes a launch command: the task gets its resources and starts, or waits for its image.
    /// A refused task is reported as exited.
    pub(super) fn launch(&mut self, id: AttemptId, now: u64, workload: &mut WorkloadState) {
        workload
            .launched
            .entry((id.job.clone(), id.task))
            .or_insert(now);
        self.changed = true;
        let spec = workload
            .jobs
            .get(&id.job)
            .filter(|job| u64::from(id.task) < job.spec.tasks)
            .map(|job| job.spec.clone());
        let need = spec
            .as_ref()
            .map(|spec| spec.task_resources())
            .unwrap_or_default();
        let refusal = self.launch_refusal(&id, spec.as_ref(), &need);
        let task = Task {
            phase: if refusal.is_some() {
                TaskPhase::Exited
            } else {
                TaskPhase::PullingImage
            },
            cause: refusal,
            saved: false,
            next: None,
            running_since: now,
            base_us: 0,
            need,
        };
        if let Some(refusal) = refusal {
            workload.history.record(now, refusal, &id, &self.id);
            self.tasks.insert(id, task);
            return;
        }
        self.free = self.free.minus(&need);
        self.tasks.insert(id.clone(), task);
        let Some(spec) = spec else { return };
        workload.checker.launched(&id, now);
        if self.images.is_cached(&spec.image) || spec.image_gb <= 0.0 {
            self.images.cache(&self.kind, &spec.image, spec.image_gb);
            self.start(&id, now, workload);
        } else {
            self.images
                .fetch(&self.kind, &spec.image, spec.image_gb, now);
        }
    }

    /// The exit cause with which a launch is refused; `None` if it is accepted.
    fn launch_refusal(
        &self,
        id: &AttemptId,
        spec: Option<&Arc<JobSpec>>,
        need: &Resources,
    ) -> Option<&'static str> {
        let other_attempt = || {
            self.live_tasks()
                .any(|(other, _)| other.job == id.job && other.task == id.task)
        };
        if spec.is_none() {
            Some("unknown")
        } else if other_attempt() {
            Some("in_use")
        } else if !self.free.covers(need) {
            Some("no_room")
        } else {
            None
        }
    }

    /// Caches a downloaded image and starts the tasks that wait for it.
    pub(super) fn image_fetched(&mut self, image: &str, now: u64, workload: &mut WorkloadState) {
        let waiting = self.tasks_fetching(image, workload);
        if let Some(job) = waiting.first().and_then(|id| workload.jobs.get(&id.job)) {
            self.images.cache(&self.kind, image, job.spec.image_gb);
        }
        for id in waiting {
            self.start(&id, now, workload);
        }
    }

    fn tasks_fetching(&self, image: &str, workload: &WorkloadState) -> Vec<AttemptId> {
        let needs_image = |id: &AttemptId| {
            workload
                .jobs
                .get(&id.job)
                .is_some_and(|job| job.spec.image == image)
        };
        self.tasks
            .iter()
            .filter(|(id, task)| task.phase == TaskPhase::PullingImage && needs_image(id))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Starts a task that has its image: it runs, or waits for the other tasks of its gang.
    fn start(&mut self, id: &AttemptId, now: u64, workload: &mut WorkloadState) {
        let Some(job) = workload.jobs.get(&id.job) else {
            return;
        };
        let (spec, work_us, broken) = (job.spec.clone(), job.run_us(id.task), job.broken);
        let key = (id.job.clone(), id.task);
        let placement = TaskPlacement {
            machine: self.number,
            kind: &self.kind.name,
            zone: &self.zone,
            spot: self.spot,
        };
        workload.checker.started(&id.job, id.task, placement, now);
        workload.history.record(now, "up", id, &self.id);
        workload.task_started.entry(key.clone()).or_insert(now);
        self.changed = true;
        let completed = workload.completed_tasks.contains(&key);
        let gang = is_multi_task_gang(&spec);
        let base_us = workload.checkpoint(&id.job, id.task);
        if !gang {
            workload.begun.entry(id.job.clone()).or_insert(now);
        }
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if completed {
            task.phase = TaskPhase::Running;
            task.schedule_end(now, TaskEnd::Completed);
        } else if gang {
            task.phase = TaskPhase::AwaitingGang;
            task.schedule_end(
                now + micros(workload.times.gang_start_timeout_s),
                TaskEnd::GangTimeout,
            );
            workload.gang_task_present(id, self.number, self.speed, now);
        } else {
            (task.phase, task.running_since, task.base_us) = (TaskPhase::Running, now, base_us);
            let until = now + (work_us.saturating_sub(base_us) as f64 / self.speed) as u64;
            if self.faulty || broken {
                task.schedule_end(now + FAILURE_DELAY_US, TaskEnd::Failed);
            } else if spec.kind == JobKind::Service {
                task.next = None;
            } else {
                task.schedule_end(until, TaskEnd::Completed);
            }
        }
    }

    /// Handles a signal to a gang's task on this machine.
    pub fn handle_signal(&mut self, signal: GangSignal, now: u64, workload: &mut WorkloadState) {
        match signal {
            GangSignal::Start(_, id, until) => {
                let fails = self.faulty || workload.jobs.get(&id.job).is_some_and(|job| job.broken);
                if let Some(task) = self.task_in(&id, TaskPhase::AwaitingGang) {
                    task.phase = TaskPhase::Running;
                    if fails {
                        task.schedule_end(until.min(now + FAILURE_DELAY_US), TaskEnd::Failed);
                    } else {
                        task.schedule_end(until, TaskEnd::Completed);
                    }
                    self.changed = true;
                }
            }
            GangSignal::PeerLost(_, id, at) => {
                if let Some(task) = self.live_task(&id) {
                    task.schedule_end(at, TaskEnd::PeerLost);
                }
            }
            GangSignal::Stopped(_, id, at, saved) => {
                if let Some(task) = self.live_task(&id) {
                    task.schedule_end(at, TaskEnd::Stopped(saved));
                }
            }
            GangSignal::ProgressHalted(_, id) => {
                if let Some(task) = self.task_in(&id, TaskPhase::Running) {
                    task.next = None;
                }
            }
            GangSignal::StopDeadline(id, at) => workload.stop_deadline_passed(&id, at),
        }
    }

    fn live_task(&mut self, id: &AttemptId) -> Option<&mut Task> {
        self.tasks
            .get_mut(id)
            .filter(|task| task.phase != TaskPhase::Exited)
    }

    fn task_in(&mut self, id: &AttemptId, phase: TaskPhase) -> Option<&mut Task> {
        self.tasks.get_mut(id).filter(|task| task.phase == phase)
    }

    /// Stops a task. A running task saves a checkpoint first if its job makes checkpoints and
    /// saving one takes no longer than `grace_s`; service replicas never save one. A task that is
    /// saving one already continues, unless `grace_s` is 0.
    pub(super) fn kill(
        &mut self,
        id: &AttemptId,
        grace_s: u32,
        now: u64,
        workload: &mut WorkloadState,
    ) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(spec) = workload.jobs.get(&id.job).map(|job| job.spec.clone()) else {
            return;
        };
        let saves = spec.checkpoint_interval_s > 0.0
            && f64::from(grace_s) >= spec.checkpoint_duration_s
            && spec.kind != JobKind::Service;
        match task.phase {
            TaskPhase::Exited => {}
            TaskPhase::Checkpointing if grace_s > 0 => {}
            TaskPhase::Running if saves => self.save_and_stop(id, &spec, now, workload),
            _ => self.exit(id, TaskEnd::Stopped(false), now, workload),
        }
    }

    /// Saves a checkpoint of a running task, then stops it.
    fn save_and_stop(
        &mut self,
        id: &AttemptId,
        spec: &JobSpec,
        now: u64,
        workload: &mut WorkloadState,
    ) {
        let speed = self.speed;
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        task.phase = TaskPhase::Checkpointing;
        self.changed = true;
        if is_multi_task_gang(spec) {
            // A gang that has lost a task is not saved: its tasks exit with cause `peers`.
            if workload.gang(id).is_some_and(|gang| !gang.ended) {
                task.next = None;
                workload.stop_gang_task(id, micros(spec.checkpoint_duration_s), now);
            }
        } else {
            let progress =
                task.base_us + (now.saturating_sub(task.running_since) as f64 * speed) as u64;
            task.schedule_end(
                now + micros(spec.checkpoint_duration_s),
                TaskEnd::Stopped(true),
            );
            workload
                .checkpoints
                .insert((id.job.clone(), id.task), progress);
        }
    }

    /// Removes a task that has exited.
    pub(super) fn forget(&mut self, id: &AttemptId) {
        let exited = |task: &Task| task.phase == TaskPhase::Exited;
        if self.tasks.get(id).is_some_and(exited) {
            self.tasks.remove(id);
            self.changed = true;
        }
    }

    /// Ends a live task: frees its resources and informs its gang.
    pub(super) fn exit(
        &mut self,
        id: &AttemptId,
        end: TaskEnd,
        now: u64,
        workload: &mut WorkloadState,
    ) {
        let work_us = workload
            .jobs
            .get(&id.job)
            .map_or(0, |job| job.run_us(id.task));
        if matches!(
            end,
            TaskEnd::Failed | TaskEnd::PeerLost | TaskEnd::Stopped(false)
        ) {
            self.keep_checkpoint(id, now, workload);
        }
        let Some(task) = self.live_task(id) else {
            return;
        };
        let (phase_before, need) = (task.phase, task.need);
        task.phase = TaskPhase::Exited;
        task.cause = Some(end.cause());
        task.saved = end == TaskEnd::Stopped(true);
        task.next = None;
        workload.checker.gang_task_over(id);
        self.free = self.free.plus(&need);
        self.changed = true;
        if phase_before == TaskPhase::PullingImage
            && let Some(image) = workload.jobs.get(&id.job).map(|job| job.spec.image.clone())
        {
            // Abort the download if no task waits for the image any more.
            if self.tasks_fetching(&image, workload).is_empty() {
                self.images.abort_fetch(&image);
            }
        } else {
            workload.checker.task_left(&id.job, id.task, self.number);
        }
        match end {
            TaskEnd::Completed => workload.task_completed(id, work_us),
            TaskEnd::Failed | TaskEnd::GangTimeout | TaskEnd::Stopped(false) => {
                workload.gang_task_lost(id, now);
            }
            TaskEnd::Stopped(true) | TaskEnd::PeerLost => {
                if let Some(gang) = workload.gang(id) {
                    gang.present.remove(&id.task);
                }
            }
        }
        workload.history.record(now, end.cause(), id, &self.id);
    }

    /// Records what remains of a task that ends without saving: the progress up to its last
    /// periodic checkpoint or, for a service replica, its processor time.
    fn keep_checkpoint(&self, id: &AttemptId, now: u64, workload: &mut WorkloadState) {
        let (Some(task), Some(job)) = (self.tasks.get(id), workload.jobs.get(&id.job)) else {
            return;
        };
        if task.phase != TaskPhase::Running || is_multi_task_gang(&job.spec) {
            return;
        }
        if job.spec.kind == JobKind::Service {
            workload.useful_milli_cpu_us += task.processor_time(now);
        } else {
            let ran_us = (now.saturating_sub(task.running_since) as f64 * self.speed) as u64;
            let saved =
                WorkloadState::checkpointed(&job.spec, task.base_us + ran_us).max(task.base_us);
            workload
                .checkpoints
                .insert((id.job.clone(), id.task), saved);
        }
    }

    /// Removes all tasks and downloads, as when the machine or its lease is lost.
    pub fn kill_all(&mut self, now: u64, workload: &mut WorkloadState) {
        let live: Vec<AttemptId> = self.live_tasks().map(|(id, _)| id.clone()).collect();
        for id in live {
            self.keep_checkpoint(&id, now, workload);
            workload.checker.task_left(&id.job, id.task, self.number);
            workload.checker.gang_task_over(&id);
            workload.gang_task_lost(&id, now);
        }
        self.tasks.clear();
        self.images.abort_all_fetches();
        self.free = self.kind.capacity;
    }
}
