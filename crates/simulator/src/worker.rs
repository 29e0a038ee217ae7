//! Simulated worker, written from the protocol page: sessions, the worker's lease, fencing
//! tokens, images that share a download rate, gangs, checkpoints, and faulty and slow machines.

mod images;
mod messages;
mod tasks;

use std::collections::BTreeMap;

use lemonweir_model::settings::WorkerTiming;
use lemonweir_model::{AttemptId, JobId, JobKind, MachineId, MachineType, Resources};
use lemonweir_protocol::worker::TaskPhase;

use crate::clock::{NEVER_US, micros};
use crate::workload_state::WorkloadState;
pub use messages::{CommandsReply, ReceivedAnswer};

use images::ImageStore;
use tasks::{Task, TaskEnd};

/// A machine with its worker process.
pub struct Worker {
    /// Name of the machine.
    pub id: MachineId,
    /// Number of the machine.
    pub number: usize,
    /// Type of the machine.
    pub kind: MachineType,
    /// Zone of the machine.
    pub zone: String,
    /// True for a spot instance, false for an on-demand machine.
    pub spot: bool,
    /// Time at which it has booted, µs; later than the end of any run if it never boots.
    pub up_at: u64,
    /// True if every task that it starts fails.
    pub faulty: bool,
    /// True if it has lost its network connection.
    pub silent: bool,
    /// Time until which it hangs, µs.
    pub hung_until: u64,
    /// Number of the controller that it sends heartbeats to.
    pub controller: usize,
    /// Time at which the cloud reclaims it, if notice was given, µs.
    pub reclaim_at: Option<u64>,
    /// Time of its earliest scheduled event, µs; [`NEVER_US`] if none is scheduled.
    pub wake_at: u64,
    speed: f64,
    session: u64,
    sequence: u64,
    /// Highest fencing token received.
    fencing_token: u64,
    lease_us: u64,
    /// Start of the current lease, µs: when the last heartbeat that renewed it was sent.
    lease_start: u64,
    /// Time at which the heartbeat that awaits an answer was sent, µs.
    in_flight: Option<u64>,
    next_heartbeat: u64,
    last_heartbeat: u64,
    /// Time of the last start, µs. Answers to heartbeats sent before it are ignored.
    started_at: u64,
    /// True if there are changes to report before the next regular heartbeat.
    changed: bool,
    /// Time at which the fencing token last increased, µs.
    token_raised_at: u64,
    tasks: BTreeMap<AttemptId, Task>,
    free: Resources,
    images: ImageStore,
}

/// Properties of a new machine.
pub struct MachineSpec<'a> {
    /// Number of the machine.
    pub number: usize,
    /// Type of the machine.
    pub kind: &'a MachineType,
    /// Zone of the machine.
    pub zone: &'a str,
    /// True for a spot instance, false for an on-demand machine.
    pub spot: bool,
    /// Time at which it has booted, µs.
    pub up_at: u64,
    /// Relative speed of its processors; at 1, tasks take the run time of their job.
    pub speed: f64,
}

impl Worker {
    /// Creates a worker whose machine is up from `spec.up_at` on.
    pub fn new(spec: MachineSpec<'_>, times: &WorkerTiming) -> Self {
        let up_at = spec.up_at;
        Self {
            id: machine_id(spec.number),
            number: spec.number,
            kind: spec.kind.clone(),
            zone: spec.zone.to_owned(),
            spot: spec.spot,
            up_at,
            faulty: false,
            silent: false,
            hung_until: 0,
            controller: 0,
            reclaim_at: None,
            wake_at: NEVER_US,
            speed: spec.speed,
            session: 1,
            sequence: 0,
            fencing_token: 0,
            lease_us: micros(times.lease_s),
            lease_start: up_at,
            in_flight: None,
            next_heartbeat: up_at,
            last_heartbeat: 0,
            started_at: up_at,
            changed: false,
            token_raised_at: 0,
            tasks: BTreeMap::new(),
            free: spec.kind.capacity,
            images: ImageStore::new(up_at),
        }
    }

    fn live_tasks(&self) -> impl Iterator<Item = (&AttemptId, &Task)> {
        self.tasks
            .iter()
            .filter(|(_, task)| task.phase != TaskPhase::Exited)
    }

    /// Number of tasks that have not exited.
    pub fn live_task_count(&self) -> usize {
        self.live_tasks().count()
    }

    /// The job of each task that has not exited.
    pub fn live_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.live_tasks().map(|(id, _)| &id.job)
    }

    /// Processor time used so far by the service replicas that run now, in µs of a thousandth of a
    /// processor.
    pub fn service_processor_time(&self, now: u64, workload: &WorkloadState) -> u128 {
        let is_service = |id: &AttemptId| {
            workload
                .jobs
                .get(&id.job)
                .is_some_and(|job| job.spec.kind == JobKind::Service)
        };
        self.tasks
            .iter()
            .filter(|(id, task)| task.phase == TaskPhase::Running && is_service(id))
            .map(|(_, task)| task.processor_time(now))
            .sum()
    }

    /// Resources that no task uses.
    pub fn free(&self) -> Resources {
        self.free
    }

    /// Current session. The worker starts a new one when its lease expires.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// First time at which the lease has expired, µs.
    fn lease_expiry(&self) -> u64 {
        self.lease_start + self.lease_us + 1
    }

    /// Time at which a task ends, a download completes or the lease expires next, µs.
    fn next_local_event(&self) -> u64 {
        let tasks = self
            .tasks
            .values()
            .filter_map(|task| task.next.map(|next| next.at))
            .min()
            .unwrap_or(NEVER_US);
        tasks
            .min(self.images.next_fetched_at(&self.kind))
            .min(self.lease_expiry())
    }

    /// Time of the next event on this worker, including heartbeats, µs.
    pub fn next_event(&self) -> u64 {
        // A hung machine does nothing, but its lease still expires.
        let hung = self.hung_until.min(self.lease_expiry());
        self.next_local_event()
            .min(self.next_heartbeat_event())
            .max(hung)
            .max(self.up_at)
    }

    /// Processes all local events up to `now`.
    pub fn advance(&mut self, now: u64, workload: &mut WorkloadState) {
        if now < self.up_at {
            return;
        }
        if now < self.hung_until {
            let expiry = self.lease_expiry();
            if expiry <= now {
                self.process_due(expiry, workload);
            }
            return;
        }
        loop {
            let at = self.next_local_event();
            if at > now {
                break;
            }
            self.process_due(at, workload);
        }
        self.images.fetch_until(&self.kind, now);
    }

    /// Processes the events due at `at`: expiry of the lease, or else completed downloads and ends
    /// of tasks.
    fn process_due(&mut self, at: u64, workload: &mut WorkloadState) {
        if at >= self.lease_expiry() {
            return self.expire_lease(at, workload);
        }
        self.images.fetch_until(&self.kind, at);
        for image in self.images.take_fetched() {
            self.image_fetched(&image, at, workload);
        }
        let due: Vec<(AttemptId, TaskEnd)> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| {
                task.next
                    .filter(|next| next.at <= at)
                    .map(|next| (id.clone(), next.end))
            })
            .collect();
        for (id, end) in due {
            self.exit(&id, end, at, workload);
        }
    }

    /// Kills all tasks and starts a new session.
    fn expire_lease(&mut self, at: u64, workload: &mut WorkloadState) {
        workload.history.record(at, "lease over", &self.id, &"");
        workload.killed_by_lease += self.live_task_count() as u64;
        self.kill_all(at, workload);
        self.session += 1;
        self.lease_start = at;
        self.changed = true;
    }

    /// Restarts the machine immediately under the same name. Its tasks, images and fencing token
    /// are lost, and it counts sessions and messages from the beginning.
    pub fn restart(&mut self, now: u64, workload: &mut WorkloadState) {
        self.advance(now, workload);
        self.kill_all(now, workload);
        workload.history.record(now, "reborn", &self.id, &"");
        (self.session, self.sequence) = (1, 0);
        (self.fencing_token, self.token_raised_at) = (0, 0);
        (self.lease_start, self.next_heartbeat, self.started_at) = (now, now, now);
        self.hung_until = 0;
        (self.in_flight, self.changed) = (None, false);
        self.images.reset(now);
    }

    /// Makes the machine hang until `until`, µs. Ends of tasks are delayed by the time that it
    /// hangs.
    pub fn hang(&mut self, now: u64, until: u64, workload: &mut WorkloadState) {
        self.advance(now, workload);
        self.hung_until = until;
        let pause_us = until.saturating_sub(now);
        for next in self
            .tasks
            .values_mut()
            .filter_map(|task| task.next.as_mut())
        {
            next.at = next.at.saturating_add(pause_us);
        }
        self.images.stall_until(until);
    }

    /// Empties the image cache without reporting it.
    pub fn drop_images(&mut self) {
        self.images.drop_cached();
    }
}

/// Name of the machine with a number.
pub fn machine_id(number: usize) -> MachineId {
    MachineId::from(format!("n-{number:06}").as_str())
}
