//! Baselines of the project's own, for side-by-side runs on the same load:
//! plain, short placers on the machines that are there from the start. They
//! know no failures, no renting, no limits of teams and no preemption.
//!
//! * [`Kind::Central`]: one placer that sees everything at once; the bound.
//! * [`Kind::Sampler`]: for each task some machines drawn at random are asked
//!   how long their queue is, and the task waits at the one with the shortest
//!   (the paper's comparison, without a copy). It can't hold a gang together:
//!   its tasks start one by one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use lemonweir_model::{JobKind, Priority, Resources};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::History;
use crate::measures::{Jobs, Named, RecordUs, Report, Spread, WorkReport, histogram};
use crate::run::Outcome;
use crate::scenario::Scenario;
use crate::world::Planned;

/// Which baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// One placer that sees everything.
    Central,
    /// So many machines are asked for each task.
    Sampler(u32),
}

impl Kind {
    fn name(self) -> String {
        match self {
            Kind::Central => "baseline: one placer that sees everything".into(),
            Kind::Sampler(d) => format!("baseline: {d} machines asked for each task"),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    /// The placer is free again.
    Place,
    /// A task reaches the machine that it was sent to: job, task, machine.
    Lands(usize, u32, usize),
    /// A task ends on a machine; the placer hears of it a message later.
    Ends(usize, u32, usize),
    Freed(usize, usize),
    Withdrawn(usize),
}

struct Machine {
    room: Resources,
    free: Resources,
    queue: VecDeque<(usize, u32)>,
}

struct Run<'a> {
    scenario: &'a Scenario,
    load: &'a [Planned],
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    seq: u64,
    now: u64,
    machines: Vec<Machine>,
    /// What the central placer thinks is free.
    known: Vec<Resources>,
    /// Jobs that wait, by priority and age, and their next task.
    waiting: BTreeMap<(Priority, usize), u32>,
    busy_until: u64,
    placing: bool,
    left: Vec<u32>,
    launched: BTreeMap<(usize, u32), u64>,
    running: BTreeMap<(usize, u32), usize>,
    sent: BTreeMap<(usize, u32), (u64, u64)>,
    finished: BTreeMap<usize, u64>,
    withdrawn: Vec<bool>,
    work: WorkReport,
    busy_us: u64,
    broken: Vec<String>,
    history: History,
}

/// Runs a baseline on a scenario's fixed machines.
pub fn run(kind: Kind, scenario: &Scenario, load: &[Planned], seed: u64) -> Outcome {
    let began = std::time::Instant::now();
    let machines: Vec<Machine> = scenario
        .kinds
        .iter()
        .flat_map(|k| {
            std::iter::repeat_n(k.machine.capacity, k.at_start as usize * scenario.zones.len())
        })
        .map(|room| Machine {
            room,
            free: room,
            queue: VecDeque::new(),
        })
        .collect();
    let mut run = Run {
        known: machines.iter().map(|m| m.room).collect(),
        left: load.iter().map(|p| p.load.spec.tasks as u32).collect(),
        withdrawn: vec![false; load.len()],
        scenario,
        load,
        rng: ChaCha8Rng::seed_from_u64(seed),
        queue: BinaryHeap::new(),
        seq: 0,
        now: 0,
        machines,
        waiting: BTreeMap::new(),
        busy_until: 0,
        placing: false,
        launched: BTreeMap::new(),
        running: BTreeMap::new(),
        sent: BTreeMap::new(),
        finished: BTreeMap::new(),
        work: WorkReport::default(),
        busy_us: 0,
        broken: Vec::new(),
        history: History::new(None),
    };
    for (n, planned) in load.iter().enumerate() {
        run.push(planned.at_us, Event::Arrives(n));
        if let Some(at) = planned.withdraw_us {
            run.push(at, Event::Withdrawn(n));
        }
    }
    let end = (scenario.duration_s * 1e6) as u64;
    let mut events = 0;
    while let Some(Reverse((at, _, event))) =
        run.queue.pop().filter(|Reverse((at, _, _))| *at <= end)
    {
        run.now = at;
        events += 1;
        run.handle(kind, event);
    }
    run.now = end;
    let (report, allocation) = run.report(kind, seed);
    Outcome {
        report,
        allocation,
        events,
        wall_s: began.elapsed().as_secs_f64(),
    }
}

impl Run<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn travel(&mut self) -> u64 {
        let l = self.scenario.latency;
        self.work.messages += 1;
        self.rng.random_range(l.low_us..=l.high_us)
    }

    fn need(&self, job: usize) -> Resources {
        self.load[job].load.spec.task_resources()
    }

    fn charge(&mut self, messages: u64, looks: u64) {
        let us = (messages * self.scenario.costs.message_ns + looks * self.scenario.costs.look_ns)
            / 1_000;
        self.busy_until = self.busy_until.max(self.now) + us;
        self.busy_us += us;
        self.work.looks += looks;
    }

    fn handle(&mut self, kind: Kind, event: Event) {
        match (event, kind) {
            (Event::Arrives(job), Kind::Central) => {
                let spec = &self.load[job].load.spec;
                self.history.note(self.now, "submit", &spec.id, &"");
                self.waiting.insert((spec.priority, job), 0);
                let at = self.now + self.travel();
                self.wake(at);
            }
            (Event::Arrives(job), Kind::Sampler(d)) => {
                self.history
                    .note(self.now, "submit", &self.load[job].load.spec.id, &"");
                (0..self.left[job]).for_each(|task| self.sample(job, task, d));
            }
            (Event::Place, _) => {
                self.placing = false;
                self.place();
            }
            (Event::Lands(job, task, m), Kind::Central) => self.start(job, task, m),
            (Event::Lands(job, task, m), Kind::Sampler(_)) => {
                self.machines[m].queue.push_back((job, task));
                self.serve(m);
            }
            (Event::Ends(job, task, m), _) => self.end(kind, job, task, m),
            (Event::Freed(job, m), _) => {
                self.known[m] = self.known[m].plus(&self.need(job));
                self.charge(1, 0);
                self.wake(self.now);
            }
            (Event::Withdrawn(job), _) => {
                self.withdrawn[job] = true;
                self.waiting.remove(&(self.load[job].load.spec.priority, job));
                let tasks: Vec<((usize, u32), usize)> = self
                    .running
                    .range((job, 0)..(job + 1, 0))
                    .map(|(k, m)| (*k, *m))
                    .collect();
                tasks
                    .into_iter()
                    .for_each(|((job, task), m)| self.end(kind, job, task, m));
            }
        }
    }

    fn wake(&mut self, at: u64) {
        if !self.placing {
            self.placing = true;
            self.push(at.max(self.busy_until), Event::Place);
        }
    }

    // ---- central ---------------------------------------------------------------

    fn place(&mut self) {
        let mut failed: Vec<Resources> = Vec::new();
        for (rank, job) in self.waiting.keys().copied().collect::<Vec<_>>() {
            let (need, tasks) = (self.need(job), self.load[job].load.spec.tasks as u32);
            // Nobody who asks as much or more finds room in the same pass.
            if failed.iter().any(|f| need.covers(f)) {
                continue;
            }
            let gang = self.load[job].load.spec.kind == JobKind::Gang;
            let mut next = self.waiting.get(&(rank, job)).copied().unwrap_or(tasks);
            let mut chosen = Vec::new();
            while next < tasks {
                let found = self.known.iter().position(|free| free.covers(&need));
                let looked =
                    found.map_or(self.known.len(), |i| i + 1) as u64 + self.known.len() as u64 / 64;
                self.charge(1, looked);
                let Some(m) = found else { break };
                self.known[m] = self.known[m].minus(&need);
                chosen.push((next, m));
                next += 1;
            }
            if next < tasks {
                failed.push(need);
                if gang {
                    for (_, m) in chosen.drain(..) {
                        self.known[m] = self.known[m].plus(&need);
                    }
                    continue;
                }
                self.waiting.insert((rank, job), next);
            } else {
                self.waiting.remove(&(rank, job));
            }
            for (task, m) in chosen {
                let leaves = self.busy_until.max(self.now);
                self.sent.insert((job, task), (leaves, leaves - self.now));
                let at = leaves + self.travel();
                self.push(at, Event::Lands(job, task, m));
            }
        }
    }

    // ---- sampler ---------------------------------------------------------------

    fn sample(&mut self, job: usize, task: u32, d: u32) {
        let need = self.need(job);
        let mut best: Option<(usize, usize)> = None;
        let mut back = self.now;
        for _ in 0..d {
            let m = self.rng.random_range(0..self.machines.len());
            let there = self.travel();
            back = back.max(self.now + there + self.travel());
            if self.machines[m].room.covers(&need) {
                let length = self.machines[m].queue.len()
                    + usize::from(!self.machines[m].free.covers(&need));
                best = best.min(Some((length, m))).or(Some((length, m)));
            }
        }
        match best {
            Some((_, m)) => {
                self.sent.insert((job, task), (back, 0));
                let at = back + self.travel();
                self.push(at, Event::Lands(job, task, m));
            }
            // None of those asked could ever hold it: others are asked.
            None if self.machines.iter().any(|m| m.room.covers(&need)) => self.sample(job, task, d),
            None => {}
        }
    }

    fn serve(&mut self, m: usize) {
        while let Some(&(job, task)) = self.machines[m].queue.front() {
            let need = self.need(job);
            if !self.withdrawn[job] && !self.machines[m].free.covers(&need) {
                return;
            }
            self.machines[m].queue.pop_front();
            if !self.withdrawn[job] {
                self.start(job, task, m);
            }
        }
    }

    // ---- machines --------------------------------------------------------------

    fn start(&mut self, job: usize, task: u32, m: usize) {
        let need = self.need(job);
        if self.withdrawn[job] {
            return self.push(self.now, Event::Freed(job, m));
        }
        if !self.machines[m].free.covers(&need) {
            self.broken.push(format!(
                "{} ms: room given twice on machine {m}",
                self.now / 1_000
            ));
        }
        self.machines[m].free = self.machines[m].free.minus(&need);
        self.launched.insert((job, task), self.now);
        self.running.insert((job, task), m);
        let load = &self.load[job].load;
        self.history
            .note(self.now, "up", &format!("{}/{task}", load.spec.id), &m);
        if load.spec.kind != JobKind::Service {
            self.push(self.now + load.run_us(task), Event::Ends(job, task, m));
        }
    }

    fn end(&mut self, kind: Kind, job: usize, task: u32, m: usize) {
        if self.running.remove(&(job, task)).is_none() {
            return;
        }
        self.machines[m].free = self.machines[m].free.plus(&self.need(job));
        self.left[job] -= 1;
        if self.left[job] == 0 {
            self.history
                .note(self.now, "ended", &self.load[job].load.spec.id, &"");
            self.finished.insert(job, self.now);
        }
        match kind {
            Kind::Central => {
                let at = self.now + self.travel();
                self.push(at, Event::Freed(job, m));
            }
            Kind::Sampler(_) => self.serve(m),
        }
    }

    fn report(self, kind: Kind, seed: u64) -> (Report, hdrhistogram::Histogram<u64>) {
        let mut whole = histogram();
        let (mut pieces, mut waiting, mut finished) =
            (Named::default(), Named::default(), Named::default());
        for ((job, task), &at) in &self.launched {
            let planned = &self.load[*job];
            let (sent, pass) = self.sent.get(&(*job, *task)).copied().unwrap_or_default();
            pieces.record(
                "2 queueing",
                sent.saturating_sub(pass).saturating_sub(planned.at_us),
            );
            pieces.record("3 processing", pass);
            pieces.record("5 ordering", at.saturating_sub(sent));
            whole.record_us(at - planned.at_us);
            waiting.record(&planned.load.spec.class, at - planned.at_us);
        }
        for (job, at) in self
            .finished
            .iter()
            .filter(|(j, _)| self.load[**j].load.spec.kind != JobKind::Service)
        {
            let planned = &self.load[*job];
            finished.record(&planned.load.spec.class, at - planned.at_us);
        }
        let (lines, digest) = self.history.digest();
        let submitted = self.load.iter().filter(|p| p.at_us <= self.now).count() as u64;
        let report = Report {
            scenario: self.scenario.name.clone(),
            placer: kind.name(),
            seed,
            simulated_s: self.now as f64 / 1e6,
            controllers: 1,
            jobs: Jobs {
                submitted,
                accepted: submitted,
                refused: 0,
                over: self.finished.len() as u64,
            },
            starts: self.launched.len() as u64,
            allocation: Spread::of(&whole),
            pieces: pieces.spreads(),
            waiting: waiting.spreads(),
            finished: finished.spreads(),
            served: BTreeMap::new(),
            withdrawals: Spread::default(),
            killed_by_lease: 0,
            money: 0.0,
            useful: 0.0,
            work: WorkReport {
                busiest: self.busy_us as f64 / self.now.max(1) as f64,
                ..self.work
            },
            series: Vec::new(),
            broken: self.broken,
            lines,
            digest,
        };
        (report, whole)
    }
}
