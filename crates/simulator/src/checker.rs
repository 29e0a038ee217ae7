//! Checks the rules of the protocol page over everything that happens.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use lemonweir_model::{AttemptId, JobId, JobKind, JobSpec, Resources};
use lemonweir_protocol::kv_store::{CompareAndSwap, Write, from_value};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::JobEndRecord;

/// µs without an answer after which a job counts as forgotten.
const FORGOTTEN_US: u64 = 75_000_000;

/// Where a task is started: what the rules ask of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Number of the machine.
    pub machine: usize,
    /// Its type.
    pub kind: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Spot or ordinary.
    pub spot: bool,
}

/// The checker.
#[derive(Default)]
pub struct Checker {
    /// What was broken, with the time.
    pub broken: Vec<String>,
    /// Starts seen.
    pub starts: u64,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// Machines and zones that a task is on.
    on: HashMap<(JobId, u32), Vec<(usize, String)>>,
    /// Tasks of a job in each zone.
    zones: HashMap<JobId, BTreeMap<String, u32>>,
    used: BTreeMap<String, Resources>,
    limits: BTreeMap<String, Resources>,
    done: HashMap<JobId, BTreeSet<u32>>,
    /// When a task of a job last started.
    last_start: HashMap<JobId, u64>,
    withdrawn: BTreeMap<JobId, u64>,
    over: BTreeMap<JobId, JobPhase>,
    /// Ends that a user was told, and when.
    told: BTreeMap<JobId, (JobPhase, u64)>,
    /// Withdrawn jobs with a task on some machine.
    lingering: BTreeSet<JobId>,
    cancel_us: u64,
    /// Live tasks of each gang by attempt, from the start order to the exit.
    gangs: HashMap<JobId, BTreeMap<u32, u32>>,
    /// Jobs that a user waits for, with the last answer about each.
    asked: HashMap<JobId, u64>,
}

impl Checker {
    /// A checker of these limits of teams.
    pub fn new(limits: BTreeMap<String, Resources>, cancel_us: u64) -> Self {
        Self {
            limits,
            cancel_us,
            ..Self::default()
        }
    }

    fn fault(&mut self, now: u64, text: String) {
        self.broken.push(format!("{} ms: {text}", now / 1_000));
    }

    /// A job was submitted.
    pub fn submitted(&mut self, spec: &Arc<JobSpec>) {
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    /// A job was refused: it must stay unknown.
    pub fn refused(&mut self, job: &JobId) {
        self.specs.remove(job);
    }

    /// When a task of a job last started, µs; 0: never.
    pub fn last_start(&self, job: &JobId) -> u64 {
        self.last_start.get(job).copied().unwrap_or(0)
    }

    /// True if so many more tasks of a job stay within its team's limit.
    pub fn within_limit(&self, spec: &JobSpec, tasks: u64) -> bool {
        let used = self
            .used
            .get(&spec.team)
            .copied()
            .unwrap_or_default()
            .plus(&spec.task_resources().times(tasks));
        self.limits
            .get(&spec.team)
            .is_none_or(|limit| used.milli_cpus <= limit.milli_cpus && used.milli_gpus <= limit.milli_gpus)
    }

    /// True if no more tasks of a job may be in a zone.
    pub fn zone_is_full(&self, spec: &JobSpec, zone: &str) -> bool {
        let Some(zones) = self.zones.get(&spec.id) else {
            return false;
        };
        let here = u64::from(zones.get(zone).copied().unwrap_or(0));
        let elsewhere = zones
            .iter()
            .any(|(other, tasks)| other != zone && *tasks > 0);
        spec.spread && here >= spec.tasks.div_ceil(2) || spec.same_zone && elsewhere
    }

    fn tasks_on(&self, job: &JobId) -> u32 {
        self.zones.get(job).map_or(0, |z| z.values().sum())
    }

    /// A user was told that a job is withdrawn.
    pub fn withdrawn(&mut self, job: &JobId, now: u64) {
        if self.over.insert(job.clone(), JobPhase::Withdrawn) == Some(JobPhase::Done) {
            self.fault(now, format!("went_back: {job} was done and is withdrawn"));
        }
        self.withdrawn.entry(job.clone()).or_insert(now);
        if self.tasks_on(job) > 0 {
            self.lingering.insert(job.clone());
        }
    }

    /// A user who asked at `asked` was told something of a job; `None`: 404.
    pub fn told(
        &mut self,
        job: &JobId,
        phase: Option<JobPhase>,
        accepted: bool,
        asked: u64,
        now: u64,
    ) {
        let before = self
            .told
            .get(job)
            .filter(|(_, at)| *at <= asked)
            .map(|(phase, _)| *phase);
        match phase {
            Some(JobPhase::Queued | JobPhase::Running) if self.orphaned(job, asked) => {
                self.fault(
                    now,
                    format!(
                        "orphaned: {job} is called {phase:?}, and a job that it needs is cancelled"
                    ),
                );
            }
            None if accepted => self.fault(now, format!("forgotten: {job} got 404")),
            Some(_) if !self.specs.contains_key(job) => self.fault(now, format!("invented: {job}")),
            Some(phase) if before.is_some_and(|o| o != phase) => {
                self.fault(
                    now,
                    format!("went_back: {job} was called {before:?} and is called {phase:?}"),
                );
            }
            Some(JobPhase::Done) if self.over.get(job) != Some(&JobPhase::Done) => {
                self.fault(
                    now,
                    format!("not_done: {job} is called done, but its end is not written"),
                );
            }
            Some(phase @ (JobPhase::Done | JobPhase::Withdrawn)) => {
                drop(self.told.entry(job.clone()).or_insert((phase, now)))
            }
            _ => {}
        }
    }

    /// True if a job that this one needs, directly or through others, was called cancelled
    /// for longer than its jobs may take to follow.
    fn orphaned(&self, job: &JobId, asked: u64) -> bool {
        let (mut queue, mut seen) = (vec![job], BTreeSet::new());
        while let Some(job) = queue.pop() {
            for awaited in self
                .specs
                .get(job)
                .into_iter()
                .flat_map(|spec| &spec.depends_on)
                .filter(|awaited| seen.insert(*awaited))
            {
                if self
                    .withdrawn
                    .get(awaited)
                    .is_some_and(|at| asked > at + self.cancel_us)
                {
                    return true;
                }
                queue.push(awaited);
            }
        }
        false
    }

    /// True if a job is cancelled.
    pub fn is_cancelled(&self, job: &JobId) -> bool {
        self.withdrawn.contains_key(job)
    }

    /// A transaction was made: ends of jobs must be true.
    pub fn written(&mut self, cas: &CompareAndSwap, now: u64) {
        for w in &cas.writes {
            let Write::Put { key, value, .. } = w else {
                continue;
            };
            let Some(id) = key.strip_prefix("end/").map(JobId::from) else {
                continue;
            };
            match from_value(value) {
                Some(JobEndRecord {
                    phase: JobPhase::Done,
                }) => {}
                Some(JobEndRecord {
                    phase: JobPhase::Withdrawn,
                }) => {
                    // Any node may tell it from now on. Stricter than the page:
                    // nothing of it may be on a machine even now.
                    if self.tasks_on(&id) > 0 {
                        self.fault(
                            now,
                            format!(
                                "ran_cancelled: {id} is called withdrawn with {} tasks on machines",
                                self.tasks_on(&id)
                            ),
                        );
                    }
                    self.withdrawn(&id, now);
                    continue;
                }
                _ => continue,
            }
            let tasks = self.specs.get(&id).map_or(0, |s| s.tasks);
            let done = self.done.remove(&id).map_or(0, |d| d.len() as u64);
            if done < tasks {
                self.fault(
                    now,
                    format!("not_done: {id} is called done with {done} of {tasks} tasks"),
                );
            }
            if self.over.insert(id.clone(), JobPhase::Done) == Some(JobPhase::Withdrawn) {
                self.fault(now, format!("went_back: {id} was withdrawn and is done"));
            }
        }
    }

    /// A task completed.
    pub fn task_done(&mut self, job: &JobId, task: u32) {
        if !self.over.contains_key(job) {
            self.done.entry(job.clone()).or_default().insert(task);
        }
    }

    /// A task has its image: from now on it is on its machine.
    pub fn started(&mut self, job: &JobId, task: u32, place: Place<'_>, now: u64) {
        self.starts += 1;
        self.last_start.insert(job.clone(), now);
        let key = (job.clone(), task);
        if self.on.get(&key).is_some_and(|places| !places.is_empty()) {
            self.fault(
                now,
                format!(
                    "ran_twice: {job}/{task} starts on {}, is on {:?}",
                    place.machine, self.on[&key]
                ),
            );
        }
        // Stricter than the page, which allows it for `cancel_s`.
        if self.withdrawn.contains_key(job) {
            self.fault(
                now,
                format!("ran_cancelled: {job}/{task} starts after its cancellation was confirmed"),
            );
        }
        let Some(spec) = self.specs.get(job).cloned() else {
            return self.fault(now, format!("unknown job {job}"));
        };
        if let Some(awaited) = spec
            .depends_on
            .iter()
            .find(|awaited| self.over.get(*awaited) != Some(&JobPhase::Done))
        {
            self.fault(
                now,
                format!("too_early: {job}/{task} starts before {awaited} is done"),
            );
        }
        let zones = self.zones.entry(job.clone()).or_default();
        let elsewhere = zones.iter().any(|(z, n)| z != place.zone && *n > 0);
        let here = zones.entry(place.zone.to_owned()).or_default();
        *here += 1;
        let crowded = spec.spread && u64::from(*here) > spec.tasks.div_ceil(2);
        let other_type = spec
            .machine_types
            .as_ref()
            .is_some_and(|t| !t.iter().any(|t| t == place.kind));
        let wrong = other_type
            .then_some("type")
            .or(spec
                .zone
                .as_ref()
                .is_some_and(|z| z != place.zone)
                .then_some("zone"))
            .or((place.spot && !spec.allow_spot).then_some("kind"))
            .or((spec.same_zone && elsewhere).then_some("zone, given the others,"))
            .or(crowded.then_some("zone: one too many"));
        if let Some(what) = wrong {
            self.fault(
                now,
                format!("wrong_place: {job}/{task} starts on a wrong {what}"),
            );
        }
        self.on
            .entry(key)
            .or_default()
            .push((place.machine, place.zone.to_owned()));
        if self.withdrawn.contains_key(job) {
            self.lingering.insert(job.clone());
        }
        let used = self.used.entry(spec.team.clone()).or_default();
        *used = used.plus(&spec.task_resources());
        let used = *used;
        if self
            .limits
            .get(&spec.team)
            .is_some_and(|l| used.milli_cpus > l.milli_cpus || used.milli_gpus > l.milli_gpus)
        {
            self.fault(now, format!("quota: team {} uses {used:?}", spec.team));
        }
    }

    /// A task left its machine.
    pub fn left(&mut self, job: &JobId, task: u32, machine: usize) {
        let key = (job.clone(), task);
        let Some(places) = self.on.get_mut(&key) else {
            return;
        };
        let Some(i) = places.iter().position(|(m, _)| *m == machine) else {
            return;
        };
        let (_, zone) = places.swap_remove(i);
        if places.is_empty() {
            self.on.remove(&key);
        }
        if let Some(n) = self.zones.get_mut(job).and_then(|z| z.get_mut(&zone)) {
            *n -= 1;
        }
        if let Some(spec) = self.specs.get(job)
            && let Some(used) = self.used.get_mut(&spec.team)
        {
            *used = used.minus(&spec.task_resources());
        }
        if self.tasks_on(job) == 0 {
            self.lingering.remove(job);
            self.zones.remove(job);
        }
    }

    /// A task's start order was taken: no other attempt of its gang may be live.
    pub fn launched(&mut self, id: &AttemptId, now: u64) {
        if self
            .specs
            .get(&id.job)
            .is_none_or(|s| s.kind != JobKind::Gang || s.tasks < 2)
        {
            return;
        }
        let attempts = self.gangs.entry(id.job.clone()).or_default();
        *attempts.entry(id.attempt).or_default() += 1;
        if attempts.len() > 1 {
            let text = format!(
                "two_attempts: {} starts with {attempts:?} of its gang live",
                id.task_name()
            );
            self.fault(now, text);
        }
    }

    /// A task exited, or is gone with its machine.
    pub fn gang_task_over(&mut self, id: &AttemptId) {
        let Some(attempts) = self.gangs.get_mut(&id.job) else {
            return;
        };
        if let Some(n) = attempts.get_mut(&id.attempt) {
            *n -= 1;
        }
        attempts.retain(|_, n| *n > 0);
    }

    /// A user waits for a job: a question about it was answered at `now`.
    pub fn answered(&mut self, job: &JobId, now: u64) {
        self.asked.insert(job.clone(), now);
    }

    /// A user waits no more.
    pub fn asked_last(&mut self, job: &JobId) {
        self.asked.remove(job);
    }

    /// With all troubles over since `calm`, no job goes without an answer.
    pub fn check_answers(&mut self, calm: u64, now: u64) {
        let late = |at: &u64| (*at).max(calm) + FORGOTTEN_US < now;
        let mut forgotten: Vec<JobId> = self
            .asked
            .iter()
            .filter(|(_, at)| late(at))
            .map(|(job, _)| job.clone())
            .collect();
        forgotten.sort_unstable();
        for job in forgotten {
            self.asked.remove(&job);
            self.fault(
                now,
                format!("forgotten: no question about {job} is answered for 75 s"),
            );
        }
    }

    /// Tasks of withdrawn jobs must be gone in time.
    pub fn check_time(&mut self, now: u64) {
        let late = |job: &&JobId| {
            self.withdrawn
                .get(*job)
                .is_some_and(|&at| now > at + self.cancel_us)
        };
        for job in self
            .lingering
            .iter()
            .filter(late)
            .cloned()
            .collect::<Vec<_>>()
        {
            self.fault(now, format!("ran_cancelled: {job} still runs"));
            self.lingering.remove(&job);
        }
    }
}
