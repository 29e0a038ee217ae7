//! Failure attribution: whether a failure is the job's fault, which was submitted with a
//! mistake, or the machine's, which fails whatever it runs.
//!
//! A failure is kept as a pair of job and machine. A success clears its job, whose
//! failures were then not its own, and clears its machine of what failed there before the
//! run began. What counts against a job are failures on machines that are *vouched for*:
//! another job succeeded there at about that time or later. What counts against a machine
//! are failures of jobs that are not suspects themselves; with those of them that
//! succeeded elsewhere it is surely the machine.
//!
//! It is learned from nothing by whoever acquires a shard: a suspect then costs a few more
//! tries, and a machine a few more failures.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use lemonweir_model::{JobId, MachineId};

/// Jobs that must have failed on a machine, none of them a suspect, for it to be
/// quarantined. Two: a gang that takes it whole is the only one there, and each that fails
/// starts late.
pub const FAILURE_ATTRIBUTION_QUARANTINE_JOBS: usize = 2;
/// Machines that run other jobs on which a job must have failed, with no success since, to
/// be the suspect. Two: one may be faulty.
pub const FAILURE_ATTRIBUTION_SUSPECT_MACHINES: usize = 2;
/// Machines on which it must have failed whether or not others run there. So many faulty
/// ones in a row are less likely than a mistake.
pub const FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE: usize = 5;
/// ms before a failure within which another job's success vouches for the machine: longer
/// than most runs, so that machines in use are vouched for.
pub const FAILURE_ATTRIBUTION_VOUCHED_MS: u64 = 300_000;
/// Failures remembered of each job and of each machine.
const FAILURE_ATTRIBUTION_FAILURES_MAX: usize = 8;
/// Jobs remembered by one side of a shard; some 200 bytes each.
const FAILURE_ATTRIBUTION_JOBS_MAX: usize = 4_096;

/// What the attributed failures say of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultVerdict {
    /// Too few failures count against it.
    Healthy,
    /// Several jobs failed there; none of them is a suspect, but it is not known
    /// that they run elsewhere.
    Suspect,
    /// Several jobs failed there that run elsewhere.
    Faulty,
}

/// A failure, as one side keeps it.
#[derive(Debug)]
struct Failure<T> {
    /// The job or the machine on the other side.
    with: T,
    /// ms.
    at: u64,
}

/// Failures, oldest first, one for each other side.
type Failures<T> = VecDeque<Failure<T>>;

/// A success of a job on a machine.
#[derive(Debug)]
struct Success<T> {
    /// When its run began, ms.
    began_at: u64,
    /// The job or the machine on the other side.
    with: T,
}

#[derive(Debug, Default)]
struct JobFailures {
    /// The newest success: when its run began, and where.
    last_success: Option<Success<MachineId>>,
    failed: Failures<MachineId>,
    /// How many of these, the oldest, a success has cleared since. They still
    /// count against their machines.
    cleared: usize,
}

#[derive(Debug, Default)]
struct MachineFailures {
    /// The newest runs of two jobs, the newer first: one of them is by another
    /// job than whichever is asked about.
    successes: Vec<Success<JobId>>,
    failed: Failures<JobId>,
}

/// The jobs and machines whose verdicts one event may have changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Affected {
    /// Jobs.
    pub jobs: BTreeSet<JobId>,
    /// Machines.
    pub machines: BTreeSet<MachineId>,
}

/// The successes and failures that one side of a shard has seen.
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: HashMap<JobId, JobFailures>,
    /// Jobs in the order in which they were first seen.
    order: VecDeque<JobId>,
    machines: BTreeMap<MachineId, MachineFailures>,
}

/// Remembers a failure; one repeated counts at its last time. Returns the index of the
/// failure that it replaced or displaced.
fn remember<T: PartialEq + Clone>(failed: &mut Failures<T>, with: &T, at: u64) -> Option<usize> {
    let replaced = failed
        .iter()
        .position(|failure| failure.with == *with)
        .or((failed.len() >= FAILURE_ATTRIBUTION_FAILURES_MAX).then_some(0));
    if let Some(i) = replaced {
        failed.remove(i);
    }
    failed.push_back(Failure {
        with: with.clone(),
        at,
    });
    replaced
}

impl FaultAttribution {
    fn job(&mut self, job: &JobId) -> &mut JobFailures {
        if !self.jobs.contains_key(job) {
            self.order.push_back(job.clone());
            if self.order.len() > FAILURE_ATTRIBUTION_JOBS_MAX
                && let Some(oldest) = self.order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
        self.jobs.entry(job.clone()).or_default()
    }

    /// Records that a task of a job failed on a machine at `at`, ms.
    pub fn record_failure(&mut self, job: &JobId, machine: &MachineId, at: u64) -> Affected {
        let of_job = self.job(job);
        if remember(&mut of_job.failed, machine, at)
            .is_some_and(|replaced| replaced < of_job.cleared)
        {
            of_job.cleared -= 1;
        }
        remember(
            &mut self.machines.entry(machine.clone()).or_default().failed,
            job,
            at,
        );
        self.affected(job, machine)
    }

    /// Records that a task of a job that began to run on a machine at `since`, ms, succeeded:
    /// it is done, or has run for long.
    pub fn record_success(&mut self, job: &JobId, machine: &MachineId, since: u64) -> Affected {
        let affected = self.affected(job, machine);
        let of_job = self.job(job);
        of_job.cleared = of_job.failed.len();
        if of_job
            .last_success
            .as_ref()
            .is_none_or(|success| since >= success.began_at)
        {
            of_job.last_success = Some(Success {
                began_at: since,
                with: machine.clone(),
            });
        }
        let m = self.machines.entry(machine.clone()).or_default();
        m.failed.retain(|failure| failure.at > since);
        let known = m
            .successes
            .iter()
            .position(|success| success.with == *job)
            .map(|i| m.successes.remove(i).began_at);
        m.successes.push(Success {
            began_at: since.max(known.unwrap_or(0)),
            with: job.clone(),
        });
        m.successes
            .sort_by_key(|success| std::cmp::Reverse(success.began_at));
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
                .extend(m.failed.iter().map(|failure| failure.with.clone()));
        }
        for job in &affected.jobs {
            affected.machines.extend(
                self.jobs
                    .get(job)
                    .into_iter()
                    .flat_map(|j| &j.failed)
                    .map(|failure| failure.with.clone()),
            );
        }
        affected
    }

    /// True if another job succeeded on the machine at about that time, or later.
    fn vouched_for(&self, job: &JobId, machine: &MachineId, at: u64) -> bool {
        let Some(m) = self.machines.get(machine) else {
            return false;
        };
        m.successes.iter().any(|success| {
            success.with != *job && success.began_at + FAILURE_ATTRIBUTION_VOUCHED_MS >= at
        })
    }

    /// On how many machines that run other jobs a job failed, if that makes it a suspect.
    pub fn suspect_evidence(&self, job: &JobId) -> Option<u32> {
        let of_job = self.jobs.get(job)?;
        let failed = || of_job.failed.iter().skip(of_job.cleared);
        let vouched = failed()
            .filter(|failure| self.vouched_for(job, &failure.with, failure.at))
            .count();
        // On so many machines, with no success, it is the job whoever vouches.
        (vouched >= FAILURE_ATTRIBUTION_SUSPECT_MACHINES
            || failed().count() >= FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE)
            .then_some(vouched as u32)
    }

    /// The verdict on a machine.
    pub fn verdict(&self, machine: &MachineId) -> FaultVerdict {
        let Some(m) = self.machines.get(machine) else {
            return FaultVerdict::Healthy;
        };
        let counted: Vec<&JobId> = m
            .failed
            .iter()
            .map(|failure| &failure.with)
            .filter(|j| self.suspect_evidence(j).is_none())
            .collect();
        let elsewhere = |j: &&&JobId| {
            self.jobs
                .get(**j)
                .and_then(|o| o.last_success.as_ref())
                .is_some_and(|success| success.with != *machine)
        };
        if counted.len() < FAILURE_ATTRIBUTION_QUARANTINE_JOBS {
            FaultVerdict::Healthy
        } else if counted.iter().filter(elsewhere).count() >= FAILURE_ATTRIBUTION_QUARANTINE_JOBS {
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
            .map(|failure| &failure.with)
            .collect()
    }

    /// Machines on which a job succeeded of late and nothing failed since.
    pub fn healthy_machines(&self, now: u64) -> BTreeSet<MachineId> {
        let healthy = |m: &&MachineFailures| {
            m.failed.is_empty()
                && m.successes
                    .first()
                    .is_some_and(|success| now <= success.began_at + FAILURE_ATTRIBUTION_VOUCHED_MS)
        };
        self.machines
            .iter()
            .filter(|(_, m)| healthy(m))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// A machine was released.
    pub fn forget(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}

#[cfg(test)]
mod tests;
