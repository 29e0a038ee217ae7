//! Figures of a run: how long tasks wait and for what, fleet and money over
//! time, messages.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hdrhistogram::Histogram;
use lemonweir_model::{JobId, JobKind, JobSpec};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::parse_task_chunk_key;
use serde::{Deserialize, Serialize};

use crate::cloud::Cloud;
use crate::ground::Ground;
use crate::host::Host;
use crate::worker::Worker;
use crate::world::World;

/// µs between two samples of the fleet.
const SAMPLE_US: u64 = 5_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// µs for which a job may still wait without counting as not served.
const FRESH_US: u64 = 60_000_000;
/// µs within which the largest jobs must begin.
const BEGUN_US: u64 = 240_000_000;

/// When a task's first attempt got how far, µs.
#[derive(Clone, Copy, Default)]
struct Stages {
    /// Its record left the controller, and how long the pass took before that.
    written: u64,
    pass_us: u64,
    /// The record was made.
    recorded: u64,
}

struct JobTimes {
    first_try: u64,
    accepted: u64,
    class: String,
    service: bool,
    ended: Option<u64>,
}

/// Histograms by name.
#[derive(Default)]
pub struct Named(BTreeMap<String, Histogram<u64>>);

impl Named {
    /// Records µs under a name.
    pub fn record(&mut self, name: &str, us: u64) {
        if !self.0.contains_key(name) {
            self.0.insert(name.to_owned(), histogram());
        }
        if let Some(h) = self.0.get_mut(name) {
            h.record_us(us);
        }
    }

    /// All of them in figures.
    pub fn spreads(&self) -> BTreeMap<String, Spread> {
        self.0
            .iter()
            .map(|(name, h)| (name.clone(), Spread::of(h)))
            .collect()
    }
}

/// Collects figures.
#[derive(Default)]
pub struct Measures {
    tasks: HashMap<(JobId, u32), Stages>,
    jobs: BTreeMap<JobId, JobTimes>,
    submitted: u64,
    refused: u64,
    withdrawals: Option<Histogram<u64>>,
    sampled_at: Option<u64>,
    series: Vec<Sample>,
}

/// The fleet at a moment.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Sample {
    /// s since the start.
    pub at_s: f64,
    /// Machines rented.
    pub machines: usize,
    /// Of these, up.
    pub up: usize,
    /// Processors taken by tasks.
    pub used_cpus: f64,
    /// Processors of all machines that are up.
    pub cpus: f64,
    /// Money spent so far.
    pub money: f64,
    /// Messages that the controllers took and sent so far, the busiest alone
    /// and all together.
    pub messages: (u64, u64),
}

/// A distribution in figures, ms.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Spread {
    /// How many.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Half.
    pub p50: f64,
    /// 90th.
    pub p90: f64,
    /// 99th.
    pub p99: f64,
    /// 99.9th.
    pub p999: f64,
    /// Largest.
    pub max: f64,
}

impl Spread {
    /// Of a histogram of µs.
    pub fn of(h: &Histogram<u64>) -> Self {
        let ms = |x: u64| x as f64 / 1e3;
        let q = |q: f64| ms(h.value_at_quantile(q));
        Self {
            count: h.len(),
            mean: h.mean() / 1e3,
            p50: q(0.5),
            p90: q(0.9),
            p99: q(0.99),
            p999: q(0.999),
            max: ms(h.max()),
        }
    }
}

/// Records µs in a histogram that grows as it must.
pub trait RecordUs {
    /// Records one value.
    fn record_us(&mut self, us: u64);
}

impl RecordUs for Histogram<u64> {
    fn record_us(&mut self, us: u64) {
        if let Err(error) = self.record(us.max(1)) {
            tracing::error!(%error, us, "value not recorded");
        }
    }
}

/// A histogram of µs.
pub fn histogram() -> Histogram<u64> {
    // Three digits are among those that the library takes.
    Histogram::new(DIGITS).unwrap_or_else(|_| unreachable!("three digits are allowed"))
}

/// The figures of a run. All but `machine` follow from scenario, load and seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Scenario.
    pub scenario: String,
    /// Who placed: the controllers, or a baseline of the project's own.
    pub placer: String,
    /// Seed.
    pub seed: u64,
    /// Simulated s.
    pub simulated_s: f64,
    /// Controllers.
    pub controllers: u16,
    /// Jobs submitted, accepted, refused, over.
    pub jobs: Jobs,
    /// Starts of tasks.
    pub starts: u64,
    /// From the first try to submit until a start order is with the machine,
    /// ms; replicas' and arrays' first attempts alike.
    pub allocation: Spread,
    /// Its pieces, in order: `accepting`, `queueing`, `processing`,
    /// `recording`, `ordering`.
    pub pieces: BTreeMap<String, Spread>,
    /// Until the task has its image and is on its machine, by class, ms.
    pub waiting: BTreeMap<String, Spread>,
    /// From the first try to submit until the end is written, by class, ms.
    pub finished: BTreeMap<String, Spread>,
    /// Tasks that were started, of those that came a minute before the end, by
    /// class and by team. A day on which less than half of any were is a failure.
    #[serde(default)]
    pub served: BTreeMap<String, (u64, u64)>,
    /// From a user's first wish for a job's end until that is told, ms; of those told.
    #[serde(default)]
    pub withdrawals: Spread,
    /// Tasks that ended with their worker's lease.
    #[serde(default)]
    pub killed_by_lease: u64,
    /// Money spent.
    pub money: f64,
    /// Share of the processor time paid for that went into work of use.
    pub useful: f64,
    /// Work of the controllers together.
    pub work: WorkReport,
    /// The fleet over time.
    pub series: Vec<Sample>,
    /// Rules broken; a run with one counts for nothing.
    pub broken: Vec<String>,
    /// Lines of the history.
    pub lines: u64,
    /// Digest of the history.
    pub digest: String,
}

/// Counts of jobs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Jobs {
    /// Submitted.
    pub submitted: u64,
    /// Accepted.
    pub accepted: u64,
    /// Refused, or given up after a minute.
    pub refused: u64,
    /// Over: done or withdrawn.
    pub over: u64,
}

/// Counted work of the controllers.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct WorkReport {
    /// Messages taken and sent.
    pub messages: u64,
    /// Bytes between controllers.
    pub peer_bytes: u64,
    /// Words of bits and machines that walks looked at.
    pub looks: u64,
    /// Placements that owners refused for want of room.
    pub refusals: u64,
    /// Attempts pushed out for others.
    pub preemptions: u64,
    /// Share of the time that the busiest controller was busy, as charged.
    pub busiest: f64,
    /// Requests that the store served.
    pub store_requests: u64,
    /// Changes that it made.
    pub store_writes: u64,
}

impl Measures {
    /// A job was submitted for the first time.
    pub fn submitted(&mut self) {
        self.submitted += 1;
    }

    /// Jobs submitted, and those accepted.
    pub fn taken(&self) -> (u64, u64) {
        (self.submitted, self.jobs.len() as u64)
    }

    /// A job was refused, or its user gave up.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// A user was told a job's end so long after first asking for it.
    pub fn withdrawal_told(&mut self, us: u64) {
        self.withdrawals.get_or_insert_with(histogram).record_us(us);
    }

    /// A user heard that a job is accepted.
    pub fn accepted(&mut self, id: &JobId, first_try: u64, now: u64, spec: Option<&JobSpec>) {
        let Some(spec) = spec else { return };
        let service = spec.kind == JobKind::Service;
        let times = JobTimes {
            first_try,
            accepted: now,
            class: spec.class.clone(),
            service,
            ended: None,
        };
        self.jobs.entry(id.clone()).or_insert(times);
    }

    /// A job's end was written.
    pub fn ended(&mut self, id: &JobId, now: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.ended.get_or_insert(now);
        }
    }

    fn each_live(cas: &CompareAndSwap, mut f: impl FnMut((JobId, u32))) {
        for w in &cas.writes {
            if let Write::Put { key, value, .. } = w
                && let Some((job, chunk)) = parse_task_chunk_key(key)
                && let Some(record) = read_chunk(value, chunk)
            {
                record.live_attempts.iter().for_each(|l| f((job.clone(), l.task)));
            }
        }
    }

    /// A pass that began at `now` made a transaction that leaves its controller
    /// at `leaves`.
    pub fn written(&mut self, cas: &CompareAndSwap, now: u64, leaves: u64) {
        Self::each_live(cas, |key| {
            self.tasks.entry(key).or_insert(Stages {
                written: leaves,
                pass_us: leaves - now,
                recorded: 0,
            });
        });
    }

    /// A transaction was made.
    pub fn recorded(&mut self, cas: &CompareAndSwap, now: u64) {
        Self::each_live(cas, |key| {
            let stages = self.tasks.entry(key).or_default();
            if stages.recorded == 0 {
                stages.recorded = now;
            }
        });
    }

    /// Looks at the fleet, now and then.
    pub fn sample(&mut self, now: u64, workers: &[Option<Worker>], cloud: &Cloud, hosts: &[Host]) {
        if self.sampled_at.is_some_and(|at| now < at + SAMPLE_US) {
            return;
        }
        self.sampled_at = Some(now);
        let counts = || hosts.iter().map(|h| h.work.messages);
        let messages = (counts().max().unwrap_or(0), counts().sum());
        let mut sample = Sample {
            at_s: now as f64 / 1e6,
            machines: 0,
            up: 0,
            used_cpus: 0.0,
            cpus: 0.0,
            money: cloud.spent(now),
            messages,
        };
        for w in workers.iter().flatten() {
            sample.machines += 1;
            if w.up_at <= now {
                sample.up += 1;
                sample.cpus += w.kind.capacity.milli_cpus as f64 / 1e3;
                sample.used_cpus += w.kind.capacity.minus(&w.free()).milli_cpus as f64 / 1e3;
            }
        }
        self.series.push(sample);
    }

    /// The largest jobs of each class: a tenth of them, and all of the largest size.
    fn largest(world: &World) -> BTreeSet<&JobId> {
        let mut by_class: BTreeMap<&str, Vec<(u64, &JobId)>> = BTreeMap::new();
        // How long a job waits for others is not its controllers' doing.
        for (id, load) in world
            .ground
            .jobs
            .iter()
            .filter(|(_, l)| !l.broken && l.spec.depends_on.is_empty())
        {
            by_class
                .entry(&load.spec.class)
                .or_default()
                .push((load.spec.tasks, id));
        }
        let mut largest = BTreeSet::new();
        for mut jobs in by_class.into_values() {
            jobs.sort_unstable_by(|a, b| b.cmp(a));
            let (most, tenth) = (jobs[0].0, jobs.len().div_ceil(10));
            largest.extend(
                jobs.iter()
                    .enumerate()
                    .filter(|(i, (tasks, _))| *i < tenth || *tasks == most)
                    .map(|(_, (_, id))| *id),
            );
        }
        largest
    }

    /// The largest jobs of each class that had not begun within 240 s.
    pub fn late(&self, world: &World) -> Vec<String> {
        let late = |id: &&JobId| {
            let Some(job) = self.jobs.get(*id) else {
                return false;
            };
            let by = job.first_try + BEGUN_US;
            let begun = world.ground.begun.get(*id).is_some_and(|at| *at <= by);
            !begun && by <= world.now && world.withdrawal(id).is_none_or(|at| at > by)
        };
        let text = |id: &JobId| {
            let spec = &world.ground.jobs[id].spec;
            format!(
                "{id} ({}, {} tasks) had not begun after 240 s",
                spec.class, spec.tasks
            )
        };
        Self::largest(world)
            .into_iter()
            .filter(late)
            .map(text)
            .collect()
    }

    /// Tasks started of those that came, by class, by team, and of the largest jobs
    /// of each class, without jobs with a mistake and those that their users cancel.
    /// What came within the last minute may still wait.
    pub fn served(&self, world: &World) -> BTreeMap<String, (u64, u64)> {
        let mut served: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let largest = Self::largest(world);
        for (id, load) in world.ground.jobs.iter().filter(|(_, l)| !l.broken) {
            let cancelled = load.spec.kind != JobKind::Service
                && (world.withdrawal(id).is_some() || world.ground.checker.is_cancelled(id));
            if cancelled
                || self
                    .jobs
                    .get(id)
                    .is_some_and(|j| j.first_try + FRESH_US > world.now)
            {
                continue;
            }
            let started = (0..load.spec.tasks as u32)
                .filter(|t| world.ground.up.contains_key(&(id.clone(), *t)))
                .count() as u64;
            let large = largest
                .contains(id)
                .then(|| format!("largest of {}", load.spec.class));
            for name in [
                format!("class {}", load.spec.class),
                format!("team {}", load.spec.team),
            ]
            .into_iter()
            .chain(large)
            {
                let (up, of) = served.entry(name).or_default();
                (*up, *of) = (*up + started, *of + load.spec.tasks);
            }
        }
        served
    }

    fn stages(&self, ground: &Ground) -> (Histogram<u64>, Named, Named) {
        let mut whole = histogram();
        let (mut pieces, mut waiting) = (Named::default(), Named::default());
        for (key, &launched) in &ground.launched {
            let (Some(job), Some(stages)) = (self.jobs.get(&key.0), self.tasks.get(key)) else {
                continue;
            };
            let mut note =
                |name: &str, from: u64, to: u64| pieces.record(name, to.saturating_sub(from));
            note("1 accepting", job.first_try, job.accepted);
            note(
                "2 queueing",
                job.accepted,
                stages.written.saturating_sub(stages.pass_us),
            );
            note("3 processing", 0, stages.pass_us);
            note("4 recording", stages.written, stages.recorded);
            note("5 ordering", stages.recorded, launched);
            whole.record_us(launched.saturating_sub(job.first_try));
            if let Some(&up) = ground.up.get(key) {
                waiting.record(&job.class, up.saturating_sub(job.first_try));
            }
        }
        (whole, pieces, waiting)
    }
}

/// The report of a world as it stands, with the histogram of allocation times.
pub fn report(world: &World, seed: u64) -> (Report, Histogram<u64>) {
    let m = &world.measures;
    let (whole, pieces, waiting) = m.stages(&world.ground);
    let mut finished = Named::default();
    for job in m.jobs.values().filter(|j| !j.service) {
        if let Some(ended) = job.ended {
            finished.record(&job.class, ended.saturating_sub(job.first_try));
        }
    }
    let (lines, digest) = world.ground.history.digest();
    let paid: f64 = m
        .series
        .windows(2)
        .map(|w| w[0].cpus * (w[1].at_s - w[0].at_s))
        .sum();
    let serving: u128 = world
        .workers
        .iter()
        .flatten()
        .map(|w| w.serving(world.now, &world.ground))
        .sum();
    let useful = (world.ground.useful + serving) as f64 / 1e9;
    let busy = |h: &crate::host::Host| h.work.busy_us as f64 / world.now.max(1) as f64;
    let report = Report {
        scenario: world.scenario.name.clone(),
        placer: "lemonweir".into(),
        seed,
        simulated_s: world.now as f64 / 1e6,
        controllers: world.scenario.shards,
        jobs: Jobs {
            submitted: m.submitted,
            accepted: m.jobs.len() as u64,
            refused: m.refused,
            over: m.jobs.values().filter(|j| j.ended.is_some()).count() as u64,
        },
        starts: world.ground.checker.starts,
        allocation: Spread::of(&whole),
        pieces: pieces.spreads(),
        waiting: waiting.spreads(),
        finished: finished.spreads(),
        served: m.served(world),
        withdrawals: m.withdrawals.as_ref().map(Spread::of).unwrap_or_default(),
        killed_by_lease: world.ground.killed_by_lease,
        money: world.cloud.spent(world.now),
        useful: if paid > 0.0 { useful / paid } else { 0.0 },
        work: WorkReport {
            messages: world.hosts.iter().map(|h| h.work.messages).sum(),
            peer_bytes: world.hosts.iter().map(|h| h.work.peer_bytes).sum(),
            looks: world.hosts.iter().map(|h| h.work.looks).sum(),
            refusals: world.hosts.iter().map(|h| h.work.judged.0).sum(),
            preemptions: world.hosts.iter().map(|h| h.work.judged.1).sum(),
            busiest: world.hosts.iter().map(busy).fold(0.0, f64::max),
            store_requests: world.store.served.0,
            store_writes: world.store.served.1,
        },
        series: m.series.clone(),
        broken: world.ground.checker.broken.clone(),
        lines,
        digest,
    };
    (report, whole)
}
