//! Simple placers, run on the same load as the scheduler as baselines to compare it with.
//! They place on the machines that exist from the start, and model no failures, autoscaling,
//! quotas or preemption.
//!
//! * [`BaselineKind::Central`]: one placer with a view of the whole cluster; the bound for the
//!   others.
//! * [`BaselineKind::Sampler`]: asks some randomly drawn machines per task for the length of
//!   their queue, and queues the task at the one with the shortest queue (the paper's
//!   comparison, without a copy). It cannot start a gang as a whole: its tasks start one by
//!   one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::ops::Range;

use lemonweir_model::{JobKind, Priority, Resources};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clock::micros;
use crate::histograms::{NamedHistograms, RecordMicros, histogram};
use crate::history::History;
use crate::job::PlannedSubmission;
use crate::report::{ControllerWork, JobCounts, LatencySummary, RunOutcome, RunReport};
use crate::scenario::Scenario;

/// How a baseline chooses the machine of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// One placer with a complete view of the cluster.
    Central,
    /// Asks this many randomly drawn machines for each task.
    Sampler(u32),
}

impl BaselineKind {
    fn name(self) -> String {
        match self {
            BaselineKind::Central => "baseline: one placer that sees everything".into(),
            BaselineKind::Sampler(d) => format!("baseline: {d} machines asked for each task"),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    JobArrives(usize),
    /// The central placer is idle and starts a placement pass.
    PlaceWaiting,
    /// A task reaches the machine that it was sent to: job, task, machine.
    TaskArrives(usize, u32, usize),
    /// A task ends on a machine: job, task, machine. The central placer is informed by a
    /// [`Event::ResourcesFreed`] message.
    TaskEnds(usize, u32, usize),
    /// The central placer learns that a task of a job has freed its resources on a machine.
    ResourcesFreed(usize, usize),
    JobWithdrawn(usize),
}

struct Machine {
    capacity: Resources,
    free: Resources,
    queue: VecDeque<(usize, u32)>,
}

struct BaselineRun<'a> {
    scenario: &'a Scenario,
    load: &'a [PlannedSubmission],
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    machines: Vec<Machine>,
    /// Free resources as the central placer knows them.
    known_free: Vec<Resources>,
    /// Waiting jobs by priority and order of submission, with the next task to place.
    waiting: BTreeMap<(Priority, usize), u32>,
    /// Time until which the central placer is busy, µs.
    busy_until: u64,
    /// True if a placement pass is scheduled.
    placement_scheduled: bool,
    /// Number of tasks of each job that have not ended.
    unfinished_tasks: Vec<u32>,
    /// Start time of each task, µs.
    launched: BTreeMap<(usize, u32), u64>,
    /// Machine of each running task.
    running: BTreeMap<(usize, u32), usize>,
    /// Time at which each task was sent to its machine, and how long the placement before it
    /// took, µs.
    sent: BTreeMap<(usize, u32), (u64, u64)>,
    finished: BTreeMap<usize, u64>,
    withdrawn: Vec<bool>,
    work: ControllerWork,
    busy_us: u64,
    violations: Vec<String>,
    history: History,
}

/// Runs a baseline on the machines that a scenario has at the start.
pub fn run(
    kind: BaselineKind,
    scenario: &Scenario,
    load: &[PlannedSubmission],
    seed: u64,
) -> RunOutcome {
    let started = std::time::Instant::now();
    let machines: Vec<Machine> = scenario
        .machine_kinds
        .iter()
        .flat_map(|kind| {
            std::iter::repeat_n(
                kind.machine.capacity,
                kind.at_start as usize * scenario.zones.len(),
            )
        })
        .map(|resources| Machine {
            capacity: resources,
            free: resources,
            queue: VecDeque::new(),
        })
        .collect();
    let mut run = BaselineRun {
        known_free: machines.iter().map(|machine| machine.capacity).collect(),
        unfinished_tasks: load.iter().map(|p| p.job.spec.tasks as u32).collect(),
        withdrawn: vec![false; load.len()],
        scenario,
        load,
        rng: ChaCha8Rng::seed_from_u64(seed),
        queue: BinaryHeap::new(),
        sequence: 0,
        now: 0,
        machines,
        waiting: BTreeMap::new(),
        busy_until: 0,
        placement_scheduled: false,
        launched: BTreeMap::new(),
        running: BTreeMap::new(),
        sent: BTreeMap::new(),
        finished: BTreeMap::new(),
        work: ControllerWork::default(),
        busy_us: 0,
        violations: Vec::new(),
        history: History::new(None),
    };
    for (n, planned) in load.iter().enumerate() {
        run.schedule_at(planned.at_us, Event::JobArrives(n));
        if let Some(at) = planned.withdraw_us {
            run.schedule_at(at, Event::JobWithdrawn(n));
        }
    }
    let end = micros(scenario.duration_s);
    let mut events = 0;
    while let Some(Reverse((at, _, event))) =
        run.queue.pop().filter(|Reverse((at, _, _))| *at <= end)
    {
        run.now = at;
        events += 1;
        run.dispatch(kind, event);
    }
    run.now = end;
    let (report, allocation) = run.report(kind, seed);
    RunOutcome {
        report,
        allocation,
        events,
        wall_s: started.elapsed().as_secs_f64(),
    }
}

impl BaselineRun<'_> {
    /// Schedules an event. Events at the same time run in the order in which they were
    /// scheduled.
    fn schedule_at(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    /// Counts a message and draws its network delay, µs.
    fn network_delay(&mut self) -> u64 {
        let latency = self.scenario.latency;
        self.work.messages += 1;
        self.rng.random_range(latency.low_us..=latency.high_us)
    }

    /// Resources that one task of a job needs.
    fn need(&self, job: usize) -> Resources {
        self.load[job].job.spec.task_resources()
    }

    /// Charges the central placer for messages and examined candidates.
    fn charge(&mut self, messages: u64, candidates: u64) {
        let us = (messages * self.scenario.costs.message_ns
            + candidates * self.scenario.costs.candidate_ns)
            / 1_000;
        self.busy_until = self.busy_until.max(self.now) + us;
        self.busy_us += us;
        self.work.candidates_examined += candidates;
    }

    fn dispatch(&mut self, kind: BaselineKind, event: Event) {
        match (event, kind) {
            (Event::JobArrives(job), BaselineKind::Central) => {
                let spec = &self.load[job].job.spec;
                self.history.record(self.now, "submit", &spec.id, &"");
                self.waiting.insert((spec.priority, job), 0);
                let at = self.now + self.network_delay();
                self.schedule_placement(at);
            }
            (Event::JobArrives(job), BaselineKind::Sampler(d)) => {
                self.history
                    .record(self.now, "submit", &self.load[job].job.spec.id, &"");
                (0..self.unfinished_tasks[job]).for_each(|task| self.send_to_sampled(job, task, d));
            }
            (Event::PlaceWaiting, _) => {
                self.placement_scheduled = false;
                self.place_waiting();
            }
            (Event::TaskArrives(job, task, machine), BaselineKind::Central) => {
                self.start_task(job, task, machine);
            }
            (Event::TaskArrives(job, task, machine), BaselineKind::Sampler(_)) => {
                self.machines[machine].queue.push_back((job, task));
                self.start_queued_tasks(machine);
            }
            (Event::TaskEnds(job, task, machine), _) => self.end_task(kind, job, task, machine),
            (Event::ResourcesFreed(job, machine), _) => {
                self.known_free[machine] = self.known_free[machine].plus(&self.need(job));
                self.charge(1, 0);
                self.schedule_placement(self.now);
            }
            (Event::JobWithdrawn(job), _) => {
                self.withdrawn[job] = true;
                self.waiting
                    .remove(&(self.load[job].job.spec.priority, job));
                let tasks: Vec<((usize, u32), usize)> = self
                    .running
                    .range((job, 0)..(job + 1, 0))
                    .map(|(k, machine)| (*k, *machine))
                    .collect();
                tasks
                    .into_iter()
                    .for_each(|((job, task), machine)| self.end_task(kind, job, task, machine));
            }
        }
    }

    /// Schedules a placement pass at `at`, or once the placer is idle, unless one is scheduled.
    fn schedule_placement(&mut self, at: u64) {
        if !self.placement_scheduled {
            self.placement_scheduled = true;
            self.schedule_at(at.max(self.busy_until), Event::PlaceWaiting);
        }
    }

    // ---- central ---------------------------------------------------------------

    /// Places the waiting jobs in order of priority and submission.
    fn place_waiting(&mut self) {
        let mut failed: Vec<Resources> = Vec::new();
        for (priority, job) in self.waiting.keys().copied().collect::<Vec<_>>() {
            let need = self.need(job);
            // Tasks that need at least as much as one that did not fit are skipped in this pass.
            if failed.iter().any(|other| need.covers(other)) {
                continue;
            }
            let tasks = self.load[job].job.spec.tasks as u32;
            let mut next = self.waiting.get(&(priority, job)).copied().unwrap_or(tasks);
            let chosen = self.choose_machines(&need, next..tasks);
            next += chosen.len() as u32;
            if next < tasks {
                failed.push(need);
                if self.load[job].job.spec.kind == JobKind::Gang {
                    self.release_resources(&need, &chosen);
                    continue;
                }
                self.waiting.insert((priority, job), next);
            } else {
                self.waiting.remove(&(priority, job));
            }
            self.send_tasks(job, chosen);
        }
    }

    /// Reserves the first machine that fits for each task, up to the first task that fits
    /// nowhere. Returns the placed tasks with their machines.
    fn choose_machines(&mut self, need: &Resources, tasks: Range<u32>) -> Vec<(u32, usize)> {
        let mut chosen = Vec::new();
        for task in tasks {
            let found = self.known_free.iter().position(|free| free.covers(need));
            let examined = found.map_or(self.known_free.len(), |i| i + 1) as u64
                + self.known_free.len() as u64 / 64;
            self.charge(1, examined);
            let Some(machine) = found else { break };
            self.known_free[machine] = self.known_free[machine].minus(need);
            chosen.push((task, machine));
        }
        chosen
    }

    /// Returns the resources of tasks that were placed but are not sent.
    fn release_resources(&mut self, need: &Resources, chosen: &[(u32, usize)]) {
        for (_, machine) in chosen {
            self.known_free[*machine] = self.known_free[*machine].plus(need);
        }
    }

    fn send_tasks(&mut self, job: usize, chosen: Vec<(u32, usize)>) {
        for (task, machine) in chosen {
            let leaves = self.busy_until.max(self.now);
            self.sent.insert((job, task), (leaves, leaves - self.now));
            let at = leaves + self.network_delay();
            self.schedule_at(at, Event::TaskArrives(job, task, machine));
        }
    }

    // ---- sampler ---------------------------------------------------------------

    /// Samples `d` machines and sends the task to the one with the shortest queue among those that
    /// are large enough. A task that fits on no machine of the cluster is dropped.
    fn send_to_sampled(&mut self, job: usize, task: u32, d: u32) {
        let need = self.need(job);
        let mut best: Option<(usize, usize)> = None;
        let mut sampled_at = self.now;
        for _ in 0..d {
            let machine = self.rng.random_range(0..self.machines.len());
            let request_delay = self.network_delay();
            sampled_at = sampled_at.max(self.now + request_delay + self.network_delay());
            if self.machines[machine].capacity.covers(&need) {
                let queue_length = self.machines[machine].queue.len()
                    + usize::from(!self.machines[machine].free.covers(&need));
                best = best
                    .min(Some((queue_length, machine)))
                    .or(Some((queue_length, machine)));
            }
        }
        match best {
            Some((_, machine)) => {
                self.sent.insert((job, task), (sampled_at, 0));
                let at = sampled_at + self.network_delay();
                self.schedule_at(at, Event::TaskArrives(job, task, machine));
            }
            // No sampled machine is large enough for the task: sample again.
            None if self
                .machines
                .iter()
                .any(|machine| machine.capacity.covers(&need)) =>
            {
                self.send_to_sampled(job, task, d);
            }
            None => {}
        }
    }

    /// Starts the queued tasks of a machine in order while the next one fits; tasks of withdrawn
    /// jobs are removed.
    fn start_queued_tasks(&mut self, machine: usize) {
        while let Some(&(job, task)) = self.machines[machine].queue.front() {
            let need = self.need(job);
            if !self.withdrawn[job] && !self.machines[machine].free.covers(&need) {
                return;
            }
            self.machines[machine].queue.pop_front();
            if !self.withdrawn[job] {
                self.start_task(job, task, machine);
            }
        }
    }

    // ---- machines --------------------------------------------------------------

    /// Starts a task on a machine, unless its job was withdrawn.
    fn start_task(&mut self, job: usize, task: u32, machine: usize) {
        let need = self.need(job);
        if self.withdrawn[job] {
            return self.schedule_at(self.now, Event::ResourcesFreed(job, machine));
        }
        if !self.machines[machine].free.covers(&need) {
            self.violations.push(format!(
                "{} ms: room given twice on machine {machine}",
                self.now / 1_000
            ));
        }
        self.machines[machine].free = self.machines[machine].free.minus(&need);
        self.launched.insert((job, task), self.now);
        self.running.insert((job, task), machine);
        let load = &self.load[job].job;
        self.history.record(
            self.now,
            "up",
            &format!("{}/{task}", load.spec.id),
            &machine,
        );
        if load.spec.kind != JobKind::Service {
            self.schedule_at(
                self.now + load.run_us(task),
                Event::TaskEnds(job, task, machine),
            );
        }
    }

    /// Ends a running task and frees its resources.
    fn end_task(&mut self, kind: BaselineKind, job: usize, task: u32, machine: usize) {
        if self.running.remove(&(job, task)).is_none() {
            return;
        }
        self.machines[machine].free = self.machines[machine].free.plus(&self.need(job));
        self.unfinished_tasks[job] -= 1;
        if self.unfinished_tasks[job] == 0 {
            self.history
                .record(self.now, "ended", &self.load[job].job.spec.id, &"");
            self.finished.insert(job, self.now);
        }
        match kind {
            BaselineKind::Central => {
                let at = self.now + self.network_delay();
                self.schedule_at(at, Event::ResourcesFreed(job, machine));
            }
            BaselineKind::Sampler(_) => self.start_queued_tasks(machine),
        }
    }

    fn report(self, kind: BaselineKind, seed: u64) -> (RunReport, hdrhistogram::Histogram<u64>) {
        let mut allocation = histogram();
        let (mut stages, mut time_to_start, mut time_to_finish) = (
            NamedHistograms::default(),
            NamedHistograms::default(),
            NamedHistograms::default(),
        );
        for ((job, task), &at) in &self.launched {
            let planned = &self.load[*job];
            let (sent, pass) = self.sent.get(&(*job, *task)).copied().unwrap_or_default();
            stages.record(
                "2 queueing",
                sent.saturating_sub(pass).saturating_sub(planned.at_us),
            );
            stages.record("3 processing", pass);
            stages.record("5 ordering", at.saturating_sub(sent));
            allocation.record_us(at - planned.at_us);
            time_to_start.record(&planned.job.spec.class, at - planned.at_us);
        }
        for (job, at) in self
            .finished
            .iter()
            .filter(|(j, _)| self.load[**j].job.spec.kind != JobKind::Service)
        {
            let planned = &self.load[*job];
            time_to_finish.record(&planned.job.spec.class, at - planned.at_us);
        }
        let (history_lines, history_digest) = self.history.digest();
        let submitted = self.load.iter().filter(|p| p.at_us <= self.now).count() as u64;
        let report = RunReport {
            scenario: self.scenario.name.clone(),
            placer: kind.name(),
            seed,
            simulated_s: self.now as f64 / 1e6,
            controllers: 1,
            jobs: JobCounts {
                submitted,
                accepted: submitted,
                refused: 0,
                ended: self.finished.len() as u64,
            },
            task_starts: self.launched.len() as u64,
            allocation: LatencySummary::from_histogram(&allocation),
            allocation_stages: stages.summaries(),
            time_to_start: time_to_start.summaries(),
            time_to_finish: time_to_finish.summaries(),
            started_by_group: BTreeMap::new(),
            withdrawal_latency: LatencySummary::default(),
            killed_by_lease: 0,
            cost: 0.0,
            useful_share: 0.0,
            work: ControllerWork {
                busiest_share: self.busy_us as f64 / self.now.max(1) as f64,
                ..self.work
            },
            fleet: Vec::new(),
            violations: self.violations,
            history_lines,
            history_digest,
        };
        (report, allocation)
    }
}
