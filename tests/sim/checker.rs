//! Checks the rules over everything that happens.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::{JobId, JobSpec, MachineId};
use lemonweir_protocol::state::{Txn, Write, from_value};
use lemonweir_protocol::users::Phase;
use lemonweir_protocol::worker::TaskPhase;
use lemonweir_storage::records::EndRecord;

use super::worker::Worker;

pub struct Checker {
    pub broken: Vec<String>,
    pub specs: BTreeMap<JobId, JobSpec>,
    pub starts: u64,
    on: BTreeMap<String, Vec<(MachineId, String)>>,
    done: BTreeSet<String>,
    withdrawn: BTreeMap<JobId, u64>,
    over: BTreeMap<JobId, Phase>,
    limits: BTreeMap<String, u64>,
    cancel_ms: u64,
}

fn job_of(piece: &str) -> JobId {
    JobId::from(piece.split('/').next().unwrap_or_default())
}

impl Checker {
    pub fn new(limits: BTreeMap<String, u64>, cancel_ms: u64) -> Self {
        Self {
            broken: Vec::new(),
            specs: BTreeMap::new(),
            starts: 0,
            on: BTreeMap::new(),
            done: BTreeSet::new(),
            withdrawn: BTreeMap::new(),
            over: BTreeMap::new(),
            limits,
            cancel_ms,
        }
    }

    fn fault(&mut self, now: u64, text: String) {
        self.broken.push(format!("{now} ms: {text}"));
    }

    pub fn submitted(&mut self, spec: &JobSpec) {
        self.specs.insert(spec.id.clone(), spec.clone());
    }

    pub fn withdrawn(&mut self, id: &JobId, now: u64) {
        if self.over.insert(id.clone(), Phase::Withdrawn) == Some(Phase::Done) {
            self.fault(now, format!("went_back: {id} was done and is withdrawn"));
        }
        self.withdrawn.insert(id.clone(), now);
    }

    /// A transaction was made: ends of jobs must be true.
    pub fn written(&mut self, txn: &Txn, now: u64) {
        for w in &txn.writes {
            let Write::Put { key, value, .. } = w else { continue };
            let Some(id) = key.strip_prefix("end/").map(JobId::from) else { continue };
            let Some(EndRecord { phase: Phase::Done }) = from_value(value) else { continue };
            let tasks = self.specs.get(&id).map_or(0, |s| s.tasks);
            if let Some(t) = (0..tasks).find(|t| !self.done.contains(&format!("{id}/{t}"))) {
                self.fault(now, format!("not_done: {id} is called done before task {t}"));
            }
            if self.over.insert(id.clone(), Phase::Done) == Some(Phase::Withdrawn) {
                self.fault(now, format!("went_back: {id} was withdrawn and is done"));
            }
        }
    }

    pub fn task_done(&mut self, piece: &str) {
        self.done.insert(piece.to_owned());
    }

    /// A task has its image: from now on it is on its machine.
    pub fn started(&mut self, piece: &str, machine: &MachineId, zone: &str, now: u64) {
        self.starts += 1;
        let job = job_of(piece);
        if self.on.get(piece).is_some_and(|places| !places.is_empty()) {
            self.fault(now, format!("ran_twice: {piece} starts on {machine}, is on {:?}", self.on[piece]));
        }
        if self.withdrawn.get(&job).is_some_and(|&at| now > at + self.cancel_ms) {
            self.fault(now, format!("ran_cancelled: {piece} starts"));
        }
        let Some(spec) = self.specs.get(&job).cloned() else { return self.fault(now, format!("unknown job {job}")) };
        let same_zone = self.on.iter().filter(|(p, places)| job_of(p) == job && places.iter().any(|(_, z)| z == zone)).count() as u64;
        if spec.spread && same_zone + 1 > spec.tasks.div_ceil(2) {
            self.fault(now, format!("wrong_place: {piece} is one too many in {zone}"));
        }
        self.on.entry(piece.to_owned()).or_default().push((machine.clone(), zone.to_owned()));
        let used: f64 = self
            .on
            .iter()
            .filter(|(_, places)| !places.is_empty())
            .filter_map(|(p, _)| self.specs.get(&job_of(p)))
            .filter(|s| s.team == spec.team)
            .map(|s| s.gpus)
            .sum();
        if self.limits.get(&spec.team).is_some_and(|&limit| (used * 1000.0) as u64 > limit) {
            self.fault(now, format!("quota: team {} uses {used}", spec.team));
        }
    }

    /// A task left its machine.
    pub fn left(&mut self, piece: &str, machine: &MachineId, _now: u64) {
        if let Some(places) = self.on.get_mut(piece) {
            places.retain(|(m, _)| m != machine);
        }
    }

    pub fn machine_gone(&mut self, worker: &Worker, now: u64) {
        for (key, t) in &worker.tasks {
            if t.phase != TaskPhase::Exited {
                self.left(&key.0, &worker.id, now);
            }
        }
    }

    /// Tasks of withdrawn jobs must be gone in time.
    pub fn check_time(&mut self, now: u64, _workers: &BTreeMap<MachineId, Worker>) {
        let late: Vec<String> = self
            .on
            .iter()
            .filter(|(p, places)| !places.is_empty() && self.withdrawn.get(&job_of(p)).is_some_and(|&at| now > at + self.cancel_ms))
            .map(|(p, _)| p.clone())
            .collect();
        for piece in late {
            self.fault(now, format!("ran_cancelled: {piece} still runs"));
            self.on.remove(&piece);
        }
    }

    pub fn assert_kept(&self) {
        assert!(self.broken.is_empty(), "rules broken: {:#?}", self.broken);
    }
}
