//! Whose fault a failure is: the job's, which was submitted with a mistake, or
//! the machine's, which fails whatever it starts.
//!
//! A failure is kept as a pair of job and machine. A run that went well clears
//! its job, whose failures were then not its own, and clears its machine of
//! what failed there before the run began. What counts against a job are
//! failures on machines that are *vouched for*: another job ran well there at
//! about that time or later. What counts against a machine are failures of jobs
//! that are not suspects themselves; with those of them that ran well elsewhere
//! it is surely the machine.
//!
//! It is relearned from nothing by who takes a part: a suspect then costs a few
//! more tries, and a machine a few more failures.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use lemonweir_model::constants::*;
use lemonweir_model::{JobId, MachineId};

/// What is held against a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultVerdict {
    /// Nothing, or too little.
    Healthy,
    /// Several jobs failed there; none of them is a suspect, but it is not known
    /// that they run elsewhere.
    Suspect,
    /// Several jobs failed there that run elsewhere.
    Faulty,
}

/// Failures with their times, oldest first, one for each other side.
type Failures<T> = VecDeque<(T, u64)>;

#[derive(Debug, Default)]
struct JobFailures {
    /// The newest run that went well: when it began, and where.
    last_success: Option<(u64, MachineId)>,
    failed: Failures<MachineId>,
    /// How many of these, the oldest, a success has cleared since. They still
    /// count against their machines.
    cleared: usize,
}

#[derive(Debug, Default)]
struct MachineFailures {
    /// The newest runs of two jobs, the newer first: one of them is by another
    /// job than whichever is asked about.
    successes: Vec<(u64, JobId)>,
    failed: Failures<JobId>,
}

/// Whom one event may have changed the judgement of.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Affected {
    /// Jobs.
    pub jobs: BTreeSet<JobId>,
    /// Machines.
    pub machines: BTreeSet<MachineId>,
}

/// The evidence that one side of a part has seen.
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: HashMap<JobId, JobFailures>,
    /// Jobs in the order in which they were first seen.
    order: VecDeque<JobId>,
    machines: BTreeMap<MachineId, MachineFailures>,
}

/// Notes a failure; one repeated counts at its last time. Returns the place of
/// what it replaced or pushed out.
fn remember<T: PartialEq + Clone>(failed: &mut Failures<T>, with: &T, at: u64) -> Option<usize> {
    let gone = failed
        .iter()
        .position(|(t, _)| t == with)
        .or((failed.len() >= BLAME_PAIRS).then_some(0));
    if let Some(i) = gone {
        failed.remove(i);
    }
    failed.push_back((with.clone(), at));
    gone
}

impl FaultAttribution {
    fn job(&mut self, job: &JobId) -> &mut JobFailures {
        if !self.jobs.contains_key(job) {
            self.order.push_back(job.clone());
            if self.order.len() > BLAME_JOBS
                && let Some(oldest) = self.order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
        self.jobs.entry(job.clone()).or_default()
    }

    /// A task of a job failed on a machine.
    pub fn record_failure(&mut self, job: &JobId, machine: &MachineId, at: u64) -> Affected {
        let of_job = self.job(job);
        if remember(&mut of_job.failed, machine, at).is_some_and(|gone| gone < of_job.cleared) {
            of_job.cleared -= 1;
        }
        remember(
            &mut self.machines.entry(machine.clone()).or_default().failed,
            job,
            at,
        );
        self.affected(job, machine)
    }

    /// A task of a job that began to run on a machine `since` then went well:
    /// it is done, or has run for long.
    pub fn record_success(&mut self, job: &JobId, machine: &MachineId, since: u64) -> Affected {
        let affected = self.affected(job, machine);
        let of_job = self.job(job);
        of_job.cleared = of_job.failed.len();
        if of_job
            .last_success
            .as_ref()
            .is_none_or(|(at, _)| since >= *at)
        {
            of_job.last_success = Some((since, machine.clone()));
        }
        let m = self.machines.entry(machine.clone()).or_default();
        m.failed.retain(|(_, at)| *at > since);
        let known = m
            .successes
            .iter()
            .position(|(_, by)| by == job)
            .map(|i| m.successes.remove(i).0);
        m.successes
            .push((since.max(known.unwrap_or(0)), job.clone()));
        m.successes.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
        m.successes.truncate(2);
        affected
    }

    fn affected(&self, job: &JobId, machine: &MachineId) -> Affected {
        let mut affected = Affected::default();
        affected.jobs.insert(job.clone());
        affected.machines.insert(machine.clone());
        if let Some(m) = self.machines.get(machine) {
            affected
                .jobs
                .extend(m.failed.iter().map(|(j, _)| j.clone()));
        }
        for job in &affected.jobs {
            affected.machines.extend(
                self.jobs
                    .get(job)
                    .into_iter()
                    .flat_map(|j| &j.failed)
                    .map(|(m, _)| m.clone()),
            );
        }
        affected
    }

    /// True if another job ran well on the machine at about that time, or later.
    fn vouched_for(&self, job: &JobId, machine: &MachineId, at: u64) -> bool {
        let Some(m) = self.machines.get(machine) else {
            return false;
        };
        m.successes
            .iter()
            .any(|(at_success, by)| by != job && at_success + VOUCHED_MS >= at)
    }

    /// On how many machines a job failed that run other jobs, if that makes it
    /// the suspect.
    pub fn suspect_evidence(&self, job: &JobId) -> Option<u32> {
        let of_job = self.jobs.get(job)?;
        let failed = || of_job.failed.iter().skip(of_job.cleared);
        let vouched = failed()
            .filter(|(m, at)| self.vouched_for(job, m, *at))
            .count();
        // On so many machines, with no success, it is the job whoever vouches.
        (vouched >= SUSPECT_MACHINES || failed().count() >= SUSPECT_ANYWHERE)
            .then_some(vouched as u32)
    }

    /// What is held against a machine.
    pub fn verdict(&self, machine: &MachineId) -> FaultVerdict {
        let Some(m) = self.machines.get(machine) else {
            return FaultVerdict::Healthy;
        };
        let counted: Vec<&JobId> = m
            .failed
            .iter()
            .map(|(j, _)| j)
            .filter(|j| self.suspect_evidence(j).is_none())
            .collect();
        let elsewhere = |j: &&&JobId| {
            self.jobs
                .get(**j)
                .and_then(|o| o.last_success.as_ref())
                .is_some_and(|(_, on)| on != machine)
        };
        if counted.len() < QUARANTINE_ERRORS {
            FaultVerdict::Healthy
        } else if counted.iter().filter(elsewhere).count() >= QUARANTINE_ERRORS {
            FaultVerdict::Faulty
        } else {
            FaultVerdict::Suspect
        }
    }

    /// The jobs that failed on a machine, for its operators.
    pub fn failed_jobs_on(&self, machine: &MachineId) -> Vec<&JobId> {
        self.machines
            .get(machine)
            .into_iter()
            .flat_map(|m| &m.failed)
            .map(|(j, _)| j)
            .collect()
    }

    /// Machines on which something ran well of late and nothing failed since.
    pub fn healthy_machines(&self, now: u64) -> BTreeSet<MachineId> {
        let good = |m: &&MachineFailures| {
            m.failed.is_empty()
                && m.successes
                    .first()
                    .is_some_and(|(at, _)| now <= at + VOUCHED_MS)
        };
        self.machines
            .iter()
            .filter(|(_, m)| good(m))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// A machine is no more.
    pub fn forget(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn job(n: usize) -> JobId {
        JobId::from(format!("req-{n:06}").as_str())
    }

    fn machine(n: usize) -> MachineId {
        MachineId::from(format!("n-{n:06}").as_str())
    }

    #[test]
    fn a_job_with_a_mistake_condemns_nobody() {
        let mut attribution = FaultAttribution::default();
        for n in 0..10 {
            attribution.record_success(&job(n), &machine(n), 1_000);
        }
        // Three jobs with a mistake meet on two machines.
        for (at, (j, m)) in
            (2_000..).zip([(100, 0), (101, 0), (102, 1), (100, 1), (101, 1), (102, 0)])
        {
            attribution.record_failure(&job(j), &machine(m), at);
        }
        assert_eq!(
            (100..103)
                .filter(|j| attribution.suspect_evidence(&job(*j)) == Some(2))
                .count(),
            3
        );
        assert_eq!(
            [
                attribution.verdict(&machine(0)),
                attribution.verdict(&machine(1))
            ],
            [FaultVerdict::Healthy; 2]
        );
    }

    #[test]
    fn a_faulty_machine_is_found_and_its_jobs_are_not_blamed() {
        let mut attribution = FaultAttribution::default();
        attribution.record_success(&job(0), &machine(0), 1_000);
        attribution.record_failure(&job(1), &machine(0), 5_000);
        attribution.record_failure(&job(2), &machine(0), 6_000);
        assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Suspect);
        attribution.record_success(&job(1), &machine(1), 7_000);
        attribution.record_success(&job(2), &machine(2), 7_000);
        assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Faulty);
        assert_eq!(
            (
                attribution.suspect_evidence(&job(1)),
                attribution.suspect_evidence(&job(2))
            ),
            (None, None)
        );
        // What began before the failures proves nothing; a trial after them does.
        attribution.record_success(&job(3), &machine(0), 4_000);
        assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Faulty);
        attribution.record_success(&job(3), &machine(0), 9_000);
        assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Healthy);
    }

    #[test]
    fn one_success_clears_a_suspect() {
        let mut attribution = FaultAttribution::default();
        for n in 0..SUSPECT_ANYWHERE {
            assert_eq!(attribution.suspect_evidence(&job(1)), None, "after {n}");
            attribution.record_failure(&job(1), &machine(n), 1_000);
        }
        assert_eq!(attribution.suspect_evidence(&job(1)), Some(0));
        attribution.record_success(&job(1), &machine(50), 2_000);
        assert_eq!(attribution.suspect_evidence(&job(1)), None);
    }

    #[test]
    fn memory_is_bounded_by_jobs_and_pairs() {
        let mut attribution = FaultAttribution::default();
        for n in 0..3 * BLAME_JOBS {
            attribution.record_failure(&job(n), &machine(n % 7), n as u64);
        }
        assert!(attribution.jobs.len() <= BLAME_JOBS && attribution.order.len() <= BLAME_JOBS);
        assert!(
            attribution
                .machines
                .values()
                .all(|m| m.failed.len() <= BLAME_PAIRS)
        );
        (0..7).for_each(|n| attribution.forget(&machine(n)));
        assert!(attribution.machines.is_empty());
    }
}
