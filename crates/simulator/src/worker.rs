//! A simulated worker, written from the protocol page: sessions, the worker's lease, fencing
//! tokens, images that share a download rate, gangs, checkpoints, faulty and slow machines.

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
    /// The machine's name.
    pub id: MachineId,
    /// Its number.
    pub number: usize,
    /// Its type.
    pub kind: MachineType,
    /// Its zone.
    pub zone: String,
    /// Spot instance or on-demand machine.
    pub spot: bool,
    /// When it is up, µs; [`NEVER_US`] if it never boots.
    pub up_at: u64,
    /// Fails every task that it starts.
    pub faulty: bool,
    /// Has lost the network.
    pub silent: bool,
    /// Hangs until then, µs.
    pub hung_until: u64,
    /// Controller that it sends heartbeats to.
    pub controller: usize,
    /// When the cloud reclaims it, if it gave notice, µs.
    pub reclaim_at: Option<u64>,
    /// When it is next scheduled, µs.
    pub wake_at: u64,
    speed: f64,
    session: u64,
    sequence: u64,
    fencing_token: u64,
    lease_us: u64,
    lease_from: u64,
    /// When the heartbeat was sent whose answer it waits for.
    in_flight: Option<u64>,
    next_heartbeat: u64,
    last_heartbeat: u64,
    /// Since when it runs; answers to what was sent before are ignored.
    started_at: u64,
    /// Something happened that its leader should hear soon.
    changed: bool,
    token_reported_at: u64,
    tasks: BTreeMap<AttemptId, Task>,
    free: Resources,
    images: ImageStore,
}

/// What a new machine is.
pub struct MachineSpec<'a> {
    /// Its number.
    pub number: usize,
    /// Its type.
    pub kind: &'a MachineType,
    /// Its zone.
    pub zone: &'a str,
    /// Spot instance or on-demand machine.
    pub spot: bool,
    /// When it is up, µs.
    pub up_at: u64,
    /// Speed of its processors; 1: as the jobs' run times say.
    pub speed: f64,
}

impl Worker {
    /// A machine that will be up at its time.
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
            lease_from: up_at,
            in_flight: None,
            next_heartbeat: up_at,
            last_heartbeat: 0,
            started_at: up_at,
            changed: false,
            token_reported_at: 0,
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
    pub fn live(&self) -> usize {
        self.live_tasks().count()
    }

    /// The job of each task that has not exited.
    pub fn live_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.live_tasks().map(|(id, _)| &id.job)
    }

    /// µs of run time of the service replicas that run now, in thousandths of a processor.
    pub fn serving(&self, now: u64, workload: &WorkloadState) -> u128 {
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

    /// Free resources.
    pub fn free(&self) -> Resources {
        self.free
    }

    /// The session that its next message will name.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// First moment at which its lease has expired.
    fn lease_expiry(&self) -> u64 {
        self.lease_from + self.lease_us + 1
    }

    /// When a task, an image or the lease next changes.
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

    /// When something happens here next, a heartbeat included.
    pub fn next_event(&self) -> u64 {
        // A machine that hangs does nothing, but its lease expires all the same.
        let hung = self.hung_until.min(self.lease_expiry());
        self.next_local_event()
            .min(self.next_heartbeat_event())
            .max(hung)
            .max(self.up_at)
    }

    /// Lets time pass up to `now`.
    pub fn advance(&mut self, now: u64, workload: &mut WorkloadState) {
        if now < self.up_at {
            return;
        }
        if now < self.hung_until {
            let expiry = self.lease_expiry();
            if expiry <= now {
                self.step(expiry, workload);
            }
            return;
        }
        loop {
            let at = self.next_local_event();
            if at > now {
                break;
            }
            self.step(at, workload);
        }
        self.images.fetch_until(&self.kind, now);
    }

    /// Does what is due at `at`: lease expiry, or fetched images and ends of tasks.
    fn step(&mut self, at: u64, workload: &mut WorkloadState) {
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

    fn expire_lease(&mut self, at: u64, workload: &mut WorkloadState) {
        workload.history.note(at, "lease over", &self.id, &"");
        workload.killed_by_lease += self.live() as u64;
        self.kill_all(at, workload);
        self.session += 1;
        self.lease_from = at;
        self.changed = true;
    }

    /// The machine restarts at once under the same name, empty, and counts sessions and
    /// messages from the start.
    pub fn restart(&mut self, now: u64, workload: &mut WorkloadState) {
        self.advance(now, workload);
        self.kill_all(now, workload);
        workload.history.note(now, "reborn", &self.id, &"");
        (self.session, self.sequence) = (1, 0);
        (self.fencing_token, self.token_reported_at) = (0, 0);
        (self.lease_from, self.next_heartbeat, self.started_at) = (now, now, now);
        self.hung_until = 0;
        (self.in_flight, self.changed) = (None, false);
        self.images.reset(now);
    }

    /// The machine hangs until then: what it does comes later by as much.
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

    /// Its image cache becomes empty without notice.
    pub fn drop_images(&mut self) {
        self.images.drop_cached();
    }
}

/// Name of a machine.
pub fn machine_id(number: usize) -> MachineId {
    MachineId::from(format!("n-{number:06}").as_str())
}
