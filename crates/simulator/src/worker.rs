//! A stand-in for a worker, from the protocol page: sessions, leases, tokens,
//! images that share a rate, gangs, saves, faulty and slow machines.

use std::collections::BTreeMap;

use lemonweir_model::settings::WorkerTiming;
use lemonweir_model::{AttemptId, JobId, JobKind, MachineId, MachineType, Resources};
use lemonweir_protocol::worker::{
    Command, CommandKind, CommandsRequest, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus,
};

use crate::checker::Place;
use crate::ground::{Call, Ground};

/// A time that never comes.
pub const NEVER: u64 = u64::MAX;
/// µs that a task runs on a faulty machine before it fails.
const FAILS_AFTER_US: u64 = 2_000_000;
/// µs between two reports at least (protocol page).
const REPORT_GAP_US: u64 = 500_000;
/// µs that a worker waits for an answer (protocol page).
const ANSWER_US: u64 = 4_000_000;
/// µs after which it tries the next node (protocol page).
const NEXT_NODE_US: u64 = 1_000_000;

/// µs of so many s.
pub(crate) fn us(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Done,
    Error,
    Stopped(bool),
    Alone,
    Peers,
}

impl End {
    fn cause(self) -> &'static str {
        match self {
            End::Done => "done",
            End::Error => "error",
            End::Stopped(_) => "stopped",
            End::Alone => "alone",
            End::Peers => "peers",
        }
    }
}

#[derive(Debug)]
struct Task {
    phase: TaskPhase,
    cause: Option<&'static str>,
    saved: bool,
    /// What happens next, and when.
    next: Option<(u64, End)>,
    /// When it began to run, and with what progress.
    ran_from: u64,
    base: u64,
    need: Resources,
}

struct Fetch {
    image: String,
    left_gb: f64,
}

/// A worker.
pub struct Worker {
    /// The machine's name.
    pub id: MachineId,
    /// Its number.
    pub number: usize,
    /// Its type.
    pub kind: MachineType,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// When it is up; [`NEVER`] if it never comes up.
    pub up_at: u64,
    /// Fails what it starts.
    pub faulty: bool,
    /// Can't be reached.
    pub silent: bool,
    /// Hangs until then.
    pub hung_until: u64,
    /// Controller that it reports to.
    pub node: usize,
    /// When the cloud takes it, if it gave notice.
    pub notice: Option<u64>,
    /// When it next has something to do.
    pub wake_at: u64,
    speed: f64,
    session: u64,
    seq: u64,
    token: u64,
    lease_us: u64,
    lease_from: u64,
    in_flight: Option<u64>,
    next_report: u64,
    last_report: u64,
    /// Since when it counts; answers to what was sent before are lost.
    born: u64,
    changed: bool,
    token_told: u64,
    tasks: BTreeMap<AttemptId, Task>,
    free: Resources,
    images: Vec<(String, f64)>,
    fetches: Vec<Fetch>,
    fetched_at: u64,
}

impl Worker {
    /// A machine that will be up at `up_at`.
    pub fn new(
        number: usize,
        kind: &MachineType,
        zone: &str,
        spot: bool,
        up_at: u64,
        speed: f64,
        times: &WorkerTiming,
    ) -> Self {
        Self {
            id: machine_id(number),
            number,
            kind: kind.clone(),
            zone: zone.to_owned(),
            spot,
            up_at,
            faulty: false,
            silent: false,
            hung_until: 0,
            node: 0,
            notice: None,
            wake_at: NEVER,
            speed,
            session: 1,
            seq: 0,
            token: 0,
            lease_us: us(times.lease_s),
            lease_from: up_at,
            in_flight: None,
            next_report: up_at,
            last_report: 0,
            born: up_at,
            changed: false,
            token_told: 0,
            tasks: BTreeMap::new(),
            free: kind.capacity,
            images: Vec::new(),
            fetches: Vec::new(),
            fetched_at: up_at,
        }
    }

    /// Tasks that have not exited.
    pub fn live(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| t.phase != TaskPhase::Exited)
            .count()
    }

    /// Jobs with a task that has not exited.
    pub fn live_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.tasks
            .iter()
            .filter(|(_, t)| t.phase != TaskPhase::Exited)
            .map(|(id, _)| &id.job)
    }

    /// µs of run time of the replicas that run now, in thousandths of a processor.
    pub fn serving(&self, now: u64, ground: &Ground) -> u128 {
        let service = |id: &AttemptId| {
            ground
                .jobs
                .get(&id.job)
                .is_some_and(|l| l.spec.kind == JobKind::Service)
        };
        let running = self
            .tasks
            .iter()
            .filter(|(id, t)| t.phase == TaskPhase::Running && service(id));
        running
            .map(|(_, t)| u128::from(now.saturating_sub(t.ran_from)) * u128::from(t.need.milli_cpus))
            .sum()
    }

    /// Room that is not taken.
    pub fn free(&self) -> Resources {
        self.free
    }

    /// Its report as of now.
    pub fn report(&mut self, now: u64) -> Heartbeat {
        self.seq += 1;
        let n = self.number;
        Heartbeat {
            machine: self.id.clone(),
            address: format!("10.{}.{}.{}:9000", 1 + n / 65_536, n / 256 % 256, n % 256),
            machine_type: self.kind.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.session,
            sequence: self.seq,
            fencing_token: self.token,
            reclaim_notice_s: self.notice.map(|at| at.saturating_sub(now) as f64 / 1e6),
            tasks: self
                .tasks
                .iter()
                .map(|(id, t)| TaskStatus {
                    task: id.task_name(),
                    attempt: id.attempt,
                    phase: t.phase,
                    exit_cause: t.cause.map(str::to_owned),
                    checkpointed: t.saved.then_some(true),
                })
                .collect(),
        }
    }

    // ---- time ----------------------------------------------------------------

    fn fetch_rate(&self) -> f64 {
        self.kind.image_pull_gb_per_s / self.fetches.len().max(1) as f64 / 1e6
    }

    fn next_inside(&self) -> u64 {
        let tasks = self
            .tasks
            .values()
            .filter_map(|t| t.next.map(|(at, _)| at))
            .min()
            .unwrap_or(NEVER);
        let least = self
            .fetches
            .iter()
            .map(|f| f.left_gb)
            .fold(f64::MAX, f64::min);
        let fetch = if self.fetches.is_empty() {
            NEVER
        } else {
            self.fetched_at + (least.max(0.0) / self.fetch_rate()).ceil() as u64
        };
        tasks.min(fetch).min(self.lease_from + self.lease_us + 1)
    }

    /// When something happens here next, a report included.
    pub fn next_event(&self) -> u64 {
        let report = match self.in_flight {
            Some(sent) => sent + ANSWER_US,
            None if self.changed => self.next_report.min(self.last_report + REPORT_GAP_US),
            None => self.next_report,
        };
        // A machine that hangs does nothing, but its lease runs out all the same.
        let hung = self.hung_until.min(self.lease_from + self.lease_us + 1);
        self.next_inside().min(report).max(hung).max(self.up_at)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: u64, ground: &mut Ground) {
        if now < self.up_at {
            return;
        }
        if now < self.hung_until {
            let over = self.lease_from + self.lease_us + 1;
            if over <= now {
                self.step(over, ground);
            }
            return;
        }
        loop {
            let at = self.next_inside();
            if at > now {
                break;
            }
            self.step(at, ground);
        }
        self.fetch_until(now);
    }

    fn fetch_until(&mut self, now: u64) {
        let shard = now.saturating_sub(self.fetched_at) as f64 * self.fetch_rate();
        self.fetches.iter_mut().for_each(|f| f.left_gb -= shard);
        self.fetched_at = self.fetched_at.max(now);
    }

    fn step(&mut self, at: u64, ground: &mut Ground) {
        if at > self.lease_from + self.lease_us {
            ground.history.note(at, "lease over", &self.id, &"");
            ground.killed_by_lease += self.live() as u64;
            self.kill_all(at, ground);
            self.session += 1;
            self.lease_from = at;
            self.changed = true;
            return;
        }
        self.fetch_until(at);
        let there: Vec<String> = self
            .fetches
            .iter()
            .filter(|f| f.left_gb <= 1e-9)
            .map(|f| f.image.clone())
            .collect();
        for image in there {
            self.fetches.retain(|f| f.image != image);
            self.image_came(&image, at, ground);
        }
        let due: Vec<(AttemptId, End)> = self
            .tasks
            .iter()
            .filter_map(|(id, t)| {
                t.next
                    .filter(|(when, _)| *when <= at)
                    .map(|(_, e)| (id.clone(), e))
            })
            .collect();
        for (id, end) in due {
            self.exit(&id, end, at, ground);
        }
    }

    /// Its cache is empty, without a word.
    pub fn drop_images(&mut self) {
        self.images.clear();
    }

    /// Everything on it is gone.
    pub fn kill_all(&mut self, now: u64, ground: &mut Ground) {
        let live: Vec<AttemptId> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.phase != TaskPhase::Exited)
            .map(|(id, _)| id.clone())
            .collect();
        for id in live {
            self.keep_checkpoint(&id, now, ground);
            ground.checker.left(&id.job, id.task, self.number);
            ground.checker.gang_task_over(&id);
            ground.lose(&id, now);
        }
        self.tasks.clear();
        self.fetches.clear();
        self.free = self.kind.capacity;
    }

    /// The machine is back at once under the same name, empty, and counts from
    /// the start.
    pub fn reborn(&mut self, now: u64, ground: &mut Ground) {
        self.advance(now, ground);
        self.kill_all(now, ground);
        ground.history.note(now, "reborn", &self.id, &"");
        (self.session, self.seq, self.token, self.token_told) = (1, 0, 0, 0);
        (
            self.lease_from,
            self.next_report,
            self.born,
            self.hung_until,
        ) = (now, now, now, 0);
        (self.in_flight, self.changed) = (None, false);
        self.images.clear();
        self.fetched_at = now;
    }

    /// What a task that ends without saving keeps.
    fn keep_checkpoint(&self, id: &AttemptId, now: u64, ground: &mut Ground) {
        let (Some(t), Some(load)) = (self.tasks.get(id), ground.jobs.get(&id.job)) else {
            return;
        };
        let service = load.spec.kind == JobKind::Service;
        if t.phase != TaskPhase::Running || load.spec.kind == JobKind::Gang && load.spec.tasks > 1
        {
            return;
        }
        let ran = (now.saturating_sub(t.ran_from) as f64 * self.speed) as u64;
        if service {
            ground.useful += u128::from(now.saturating_sub(t.ran_from)) * u128::from(t.need.milli_cpus);
        } else {
            let kept = Ground::checkpoint(&load.spec, t.base + ran).max(t.base);
            ground.saved.insert((id.job.clone(), id.task), kept);
        }
    }

    fn exit(&mut self, id: &AttemptId, end: End, now: u64, ground: &mut Ground) {
        let work = ground.jobs.get(&id.job).map_or(0, |l| l.run_us(id.task));
        if matches!(end, End::Error | End::Peers | End::Stopped(false)) {
            self.keep_checkpoint(id, now, ground);
        }
        let Some(t) = self
            .tasks
            .get_mut(id)
            .filter(|t| t.phase != TaskPhase::Exited)
        else {
            return;
        };
        let was = t.phase;
        t.phase = TaskPhase::Exited;
        ground.checker.gang_task_over(id);
        t.cause = Some(end.cause());
        t.saved = end == End::Stopped(true);
        t.next = None;
        self.free = self.free.plus(&t.need);
        self.changed = true;
        let waits = |t: &Task| t.phase == TaskPhase::PullingImage;
        if was == TaskPhase::PullingImage
            && let Some(image) = ground.jobs.get(&id.job).map(|l| l.spec.image.clone())
        {
            // A fetch that nobody waits for any more is given up.
            let wanted = |i: &AttemptId| {
                ground
                    .jobs
                    .get(&i.job)
                    .is_some_and(|l| l.spec.image == image)
            };
            if !self.tasks.iter().any(|(i, t)| waits(t) && wanted(i)) {
                self.fetches.retain(|f| f.image != image);
            }
        } else {
            ground.checker.left(&id.job, id.task, self.number);
        }
        match end {
            End::Done => ground.finished(id, work),
            End::Error | End::Alone | End::Stopped(false) => ground.lose(id, now),
            End::Stopped(true) | End::Peers => {
                drop(ground.gang(id).map(|g| g.present.remove(&id.task)))
            }
        }
        ground.history.note(now, end.cause(), id, &self.id);
    }

    fn image_came(&mut self, image: &str, now: u64, ground: &mut Ground) {
        let of = |id: &AttemptId| {
            ground
                .jobs
                .get(&id.job)
                .is_some_and(|l| l.spec.image == image)
        };
        let waiting: Vec<AttemptId> = self
            .tasks
            .iter()
            .filter(|(id, t)| t.phase == TaskPhase::PullingImage && of(id))
            .map(|(id, _)| id.clone())
            .collect();
        if let Some(gb) = waiting
            .first()
            .and_then(|id| ground.jobs.get(&id.job))
            .map(|l| l.spec.image_gb)
        {
            self.cache(image, gb);
        }
        for id in waiting {
            self.has_image(&id, now, ground);
        }
    }

    fn cache(&mut self, image: &str, gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.insert(0, (image.to_owned(), gb));
        let mut sum = 0.0;
        let most = self.kind.image_cache_gb;
        self.images.retain(|(_, gb)| {
            sum += gb;
            sum <= most
        });
    }

    fn has_image(&mut self, id: &AttemptId, now: u64, ground: &mut Ground) {
        let Some(load) = ground.jobs.get(&id.job) else {
            return;
        };
        let (spec, work, broken) = (load.spec.clone(), load.run_us(id.task), load.broken);
        let place = Place {
            machine: self.number,
            kind: &self.kind.name,
            zone: &self.zone,
            spot: self.spot,
        };
        ground.checker.started(&id.job, id.task, place, now);
        ground.history.note(now, "up", id, &self.id);
        ground.up.entry((id.job.clone(), id.task)).or_insert(now);
        self.changed = true;
        let done = ground.done.contains(&(id.job.clone(), id.task));
        let gang = spec.kind == JobKind::Gang && spec.tasks > 1;
        let base = ground
            .saved
            .get(&(id.job.clone(), id.task))
            .copied()
            .unwrap_or(0);
        if !gang {
            ground.begun.entry(id.job.clone()).or_insert(now);
        }
        let Some(t) = self.tasks.get_mut(id) else {
            return;
        };
        if done {
            t.phase = TaskPhase::Running;
            t.next = Some((now, End::Done));
        } else if gang {
            t.phase = TaskPhase::AwaitingGang;
            t.next = Some((now + us(ground.times.gang_start_timeout_s), End::Alone));
            ground.gather(id, self.number, self.speed, now);
        } else {
            (t.phase, t.ran_from, t.base) = (TaskPhase::Running, now, base);
            let until = now + (work.saturating_sub(base) as f64 / self.speed) as u64;
            t.next = if self.faulty || broken {
                Some((now + FAILS_AFTER_US, End::Error))
            } else {
                (spec.kind != JobKind::Service).then_some((until, End::Done))
            };
        }
    }

    /// Another machine's doing reaches a task here.
    pub fn take_call(&mut self, call: Call, now: u64, ground: &mut Ground) {
        match call {
            Call::Run(_, id, until) => {
                let faulty = self.faulty || ground.jobs.get(&id.job).is_some_and(|l| l.broken);
                if let Some(t) = self
                    .tasks
                    .get_mut(&id)
                    .filter(|t| t.phase == TaskPhase::AwaitingGang)
                {
                    t.phase = TaskPhase::Running;
                    t.next = Some(if faulty {
                        (until.min(now + FAILS_AFTER_US), End::Error)
                    } else {
                        (until, End::Done)
                    });
                    self.changed = true;
                }
            }
            Call::Peers(_, id, at) => {
                if let Some(t) = self
                    .tasks
                    .get_mut(&id)
                    .filter(|t| t.phase != TaskPhase::Exited)
                {
                    t.next = Some((at, End::Peers));
                }
            }
            Call::Stopped(_, id, at, saved) => {
                if let Some(t) = self
                    .tasks
                    .get_mut(&id)
                    .filter(|t| t.phase != TaskPhase::Exited)
                {
                    t.next = Some((at, End::Stopped(saved)));
                }
            }
            Call::ProcessStall(_, id) => {
                if let Some(t) = self
                    .tasks
                    .get_mut(&id)
                    .filter(|t| t.phase == TaskPhase::Running)
                {
                    t.next = None;
                }
            }
            Call::Look(id, at) => ground.look(&id, at),
        }
    }

    // ---- messages --------------------------------------------------------------

    fn execute(&mut self, orders: &[Command], now: u64, ground: &mut Ground) {
        for o in orders {
            let Some(id) = AttemptId::parse(&o.task, o.attempt) else {
                continue;
            };
            match o.kind {
                CommandKind::Start if !self.tasks.contains_key(&id) => {
                    self.launch(id, now, ground)
                }
                CommandKind::Start => {}
                CommandKind::Stop => self.kill(&id, o.grace_s.unwrap_or(0), now, ground),
                CommandKind::Forget => {
                    if self
                        .tasks
                        .get(&id)
                        .is_some_and(|t| t.phase == TaskPhase::Exited)
                    {
                        self.tasks.remove(&id);
                        self.changed = true;
                    }
                }
            }
        }
    }

    fn launch(&mut self, id: AttemptId, now: u64, ground: &mut Ground) {
        ground
            .launched
            .entry((id.job.clone(), id.task))
            .or_insert(now);
        self.changed = true;
        let load = ground
            .jobs
            .get(&id.job)
            .filter(|l| u64::from(id.task) < l.spec.tasks)
            .map(|l| l.spec.clone());
        let need = load.as_ref().map(|s| s.task_resources()).unwrap_or_default();
        let other = self
            .tasks
            .iter()
            .any(|(i, t)| i.job == id.job && i.task == id.task && t.phase != TaskPhase::Exited);
        let refusal = match &load {
            None => Some("unknown"),
            Some(_) if other => Some("in_use"),
            Some(_) if !self.free.covers(&need) => Some("no_room"),
            Some(_) => None,
        };
        let mut task = Task {
            phase: TaskPhase::PullingImage,
            cause: refusal,
            saved: false,
            next: None,
            ran_from: now,
            base: 0,
            need,
        };
        if refusal.is_some() {
            task.phase = TaskPhase::Exited;
            ground
                .history
                .note(now, refusal.unwrap_or_default(), &id, &self.id);
            self.tasks.insert(id, task);
            return;
        }
        self.free = self.free.minus(&need);
        self.tasks.insert(id.clone(), task);
        let Some(spec) = load else { return };
        ground.checker.launched(&id, now);
        if self.images.iter().any(|(name, _)| *name == spec.image) || spec.image_gb <= 0.0 {
            self.cache(&spec.image, spec.image_gb);
            self.has_image(&id, now, ground);
        } else if !self.fetches.iter().any(|f| f.image == spec.image) {
            self.fetch_until(now);
            self.fetches.push(Fetch {
                image: spec.image.clone(),
                left_gb: spec.image_gb,
            });
        }
    }

    fn kill(&mut self, id: &AttemptId, grace_s: u32, now: u64, ground: &mut Ground) {
        let Some(t) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(spec) = ground.jobs.get(&id.job).map(|l| l.spec.clone()) else {
            return;
        };
        let saves = spec.checkpoint_interval_s > 0.0
            && f64::from(grace_s) >= spec.checkpoint_duration_s
            && spec.kind != JobKind::Service;
        match t.phase {
            TaskPhase::Exited => {}
            TaskPhase::Checkpointing if grace_s > 0 => {}
            TaskPhase::Running if saves => {
                t.phase = TaskPhase::Checkpointing;
                let progress = t.base + (now.saturating_sub(t.ran_from) as f64 * self.speed) as u64;
                self.changed = true;
                if spec.kind == JobKind::Gang && spec.tasks > 1 {
                    // One that has lost a task exits with `peers` all the same.
                    if ground.gang(id).is_some_and(|g| !g.over) {
                        t.next = None;
                        ground.stop_gang(id, us(spec.checkpoint_duration_s), now);
                    }
                } else {
                    t.next = Some((now + us(spec.checkpoint_duration_s), End::Stopped(true)));
                    ground.saved.insert((id.job.clone(), id.task), progress);
                }
            }
            _ => self.exit(id, End::Stopped(false), now, ground),
        }
    }

    /// `/commands`: the flag tells whether they were executed.
    pub fn commands(
        &mut self,
        c: &CommandsRequest,
        now: u64,
        ground: &mut Ground,
    ) -> (bool, Heartbeat) {
        self.advance(now, ground);
        let good = c.fencing_token >= self.token && c.incarnation == self.session;
        if good {
            self.see_token(c.fencing_token);
            self.execute(&c.commands, now, ground);
        }
        (good, self.report(now))
    }

    fn see_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            // A higher token counts as a change at most once in half a lease.
            self.changed |= self.token_told + self.lease_us / 2 <= self.fetched_at;
            self.token_told = self.fetched_at;
        }
    }

    /// True if it should report now; it then waits for the answer.
    pub fn due(&mut self, now: u64, hosts: usize) -> bool {
        if let Some(sent) = self.in_flight {
            if now >= sent + ANSWER_US {
                self.turn_away(now, (self.node + 1) % hosts, NEXT_NODE_US);
            }
            return false;
        }
        if now < self.next_report && !(self.changed && now >= self.last_report + REPORT_GAP_US) {
            return false;
        }
        (self.in_flight, self.last_report, self.changed) = (Some(now), now, false);
        true
    }

    /// Its node does not take its report: it goes to another.
    pub fn turn_away(&mut self, now: u64, node: usize, after_us: u64) {
        self.in_flight = None;
        self.node = node;
        self.changed = false;
        self.next_report = now + after_us;
    }

    /// The answer to a report that was sent at `sent` in `session`.
    pub fn answered(
        &mut self,
        session: u64,
        sent: u64,
        reply: &HeartbeatResponse,
        next_us: u64,
        now: u64,
        ground: &mut Ground,
    ) {
        self.advance(now, ground);
        if self.in_flight == Some(sent) {
            self.in_flight = None;
            self.next_report = sent + next_us;
        }
        if reply.fencing_token < self.token
            || sent < self.born
            || session != self.session
            || now > sent + ANSWER_US
        {
            return;
        }
        self.see_token(reply.fencing_token);
        self.lease_from = self.lease_from.max(sent);
        self.execute(&reply.commands, now, ground);
    }

    /// The session that its next message will name.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// It stands still until then: what it does comes later by as much.
    pub fn hang(&mut self, now: u64, until: u64, ground: &mut Ground) {
        self.advance(now, ground);
        self.hung_until = until;
        let by = until.saturating_sub(now);
        for (at, _) in self.tasks.values_mut().filter_map(|t| t.next.as_mut()) {
            *at = at.saturating_add(by);
        }
        self.fetched_at = until;
    }
}

/// Name of a machine.
pub fn machine_id(number: usize) -> MachineId {
    MachineId::from(format!("n-{number:06}").as_str())
}
