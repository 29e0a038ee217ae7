//! Fault attribution: decides whether failures are caused by the job, which was submitted with
//! an error, or by the machine, which fails whatever it runs.
//!
//! A failure is recorded as a pair of job and machine. A success clears the job's failures, which
//! the job then did not cause, and the machine's failures before the successful run began.
//! Failures count against a job if the machine is *known good*: another job succeeded there at
//! about that time or later. Failures count against a machine if the job is not a suspect; if
//! enough of these jobs succeeded on other machines, the machine is certainly at fault.
//!
//! The state is not handed over with a shard. A new leader starts without it, which costs a few
//! more attempts of a suspect job and a few more failures on a faulty machine.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use lemonweir_model::{JobId, MachineId};

/// Number of jobs, none of them a suspect, that must have failed on a machine for it to be
/// quarantined. No more than two: a gang that occupies the whole machine is the only job there,
/// and each gang that fails starts late.
pub const FAILURE_ATTRIBUTION_QUARANTINE_JOBS: usize = 2;
/// Number of known good machines on which a job must have failed, without a success since, to
/// be a suspect. Two, since one of them may be faulty.
pub const FAILURE_ATTRIBUTION_SUSPECT_MACHINES: usize = 2;
/// Number of machines on which a job must have failed, without a success since, to be a suspect
/// whether or not the machines are known good. So many faulty machines in a row are less likely
/// than a faulty job.
pub const FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE: usize = 5;
/// Time after the start of another job's successful run for which the machine counts as known
/// good, ms: longer than most runs, so that machines in use are known good.
pub const FAILURE_ATTRIBUTION_KNOWN_GOOD_MS: u64 = 300_000;
/// Failures kept per job and per machine.
const MAX_FAILURES_KEPT: usize = 8;
/// Jobs tracked by one side of a shard (placer or owner), at some 200 bytes each.
const MAX_JOBS_TRACKED: usize = 4_096;

/// Verdict on a machine from the failures attributed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultVerdict {
    /// Too few failures count against it.
    Healthy,
    /// Several jobs that are not suspects failed there, but too few are known to succeed
    /// elsewhere.
    Suspect,
    /// Several jobs failed there that succeed elsewhere.
    Faulty,
}

/// Failure, in the record of a job or of a machine.
#[derive(Debug)]
struct Failure<T> {
    /// The machine, in a job's record; the job, in a machine's record.
    counterpart: T,
    /// When the task failed, ms.
    at: u64,
}

/// Failures, oldest first, at most one per counterpart.
type Failures<T> = VecDeque<Failure<T>>;

/// Success, in the record of a job or of a machine.
#[derive(Debug)]
struct Success<T> {
    /// When the run began, ms.
    began_at: u64,
    /// The machine, in a job's record; the job, in a machine's record.
    counterpart: T,
}

/// Record of one job.
#[derive(Debug, Default)]
struct JobFailures {
    /// The success whose run began last.
    last_success: Option<Success<MachineId>>,
    failed: Failures<MachineId>,
    /// Number of the oldest failures that a success has cleared since. They still count against
    /// their machines.
    cleared: usize,
}

/// Record of one machine.
#[derive(Debug, Default)]
struct MachineFailures {
    /// The newest successes of two different jobs, newest first: for any given job, at least one
    /// of them belongs to another job.
    successes: Vec<Success<JobId>>,
    failed: Failures<JobId>,
}

/// Jobs and machines whose verdicts an event may have changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Affected {
    /// Jobs that may have become suspects or ceased to be.
    pub jobs: BTreeSet<JobId>,
    /// Machines whose [`FaultVerdict`] may have changed.
    pub machines: BTreeSet<MachineId>,
}

/// Successes and failures observed by one side of a shard (placer or owner).
#[derive(Debug, Default)]
pub struct FaultAttribution {
    jobs: HashMap<JobId, JobFailures>,
    /// Tracked jobs, the first recorded first.
    insertion_order: VecDeque<JobId>,
    machines: BTreeMap<MachineId, MachineFailures>,
}

/// Inserts a failure. It replaces an earlier one with the same counterpart, or else the oldest if
/// the list is full. Returns the index of the replaced failure.
fn insert_failure<T: PartialEq + Clone>(
    failed: &mut Failures<T>,
    counterpart: &T,
    at: u64,
) -> Option<usize> {
    let replaced = failed
        .iter()
        .position(|failure| failure.counterpart == *counterpart)
        .or((failed.len() >= MAX_FAILURES_KEPT).then_some(0));
    if let Some(i) = replaced {
        failed.remove(i);
    }
    failed.push_back(Failure {
        counterpart: counterpart.clone(),
        at,
    });
    replaced
}

impl FaultAttribution {
    /// Returns the record of a job. A new job evicts the oldest one if too many are tracked.
    fn job_record(&mut self, job: &JobId) -> &mut JobFailures {
        if !self.jobs.contains_key(job) {
            self.insertion_order.push_back(job.clone());
            if self.insertion_order.len() > MAX_JOBS_TRACKED
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.jobs.remove(&oldest);
            }
        }
        self.jobs.entry(job.clone()).or_default()
    }

    /// Records that a task of a job failed on a machine at `at`, ms.
    pub fn record_failure(&mut self, job: &JobId, machine: &MachineId, at: u64) -> Affected {
        let job_failures = self.job_record(job);
        if insert_failure(&mut job_failures.failed, machine, at)
            .is_some_and(|replaced| replaced < job_failures.cleared)
        {
            job_failures.cleared -= 1;
        }
        insert_failure(
            &mut self.machines.entry(machine.clone()).or_default().failed,
            job,
            at,
        );
        self.affected(job, machine)
    }

    /// Records that a task that began to run on a machine at `since`, ms, succeeded: it is done,
    /// or has run for a long time.
    pub fn record_success(&mut self, job: &JobId, machine: &MachineId, since: u64) -> Affected {
        let affected = self.affected(job, machine);
        let job_failures = self.job_record(job);
        job_failures.cleared = job_failures.failed.len();
        if job_failures
            .last_success
            .as_ref()
            .is_none_or(|success| since >= success.began_at)
        {
            job_failures.last_success = Some(Success {
                began_at: since,
                counterpart: machine.clone(),
            });
        }
        let m = self.machines.entry(machine.clone()).or_default();
        m.failed.retain(|failure| failure.at > since);
        let known = m
            .successes
            .iter()
            .position(|success| success.counterpart == *job)
            .map(|i| m.successes.remove(i).began_at);
        m.successes.push(Success {
            began_at: since.max(known.unwrap_or(0)),
            counterpart: job.clone(),
        });
        m.successes
            .sort_by_key(|success| std::cmp::Reverse(success.began_at));
        m.successes.truncate(2);
        affected
    }

    /// Returns the job, the machine, all jobs that failed on that machine, and all machines on
    /// which any of these jobs failed.
    fn affected(&self, job: &JobId, machine: &MachineId) -> Affected {
        let mut affected = Affected::default();
        affected.jobs.insert(job.clone());
        affected.machines.insert(machine.clone());
        if let Some(m) = self.machines.get(machine) {
            affected
                .jobs
                .extend(m.failed.iter().map(|failure| failure.counterpart.clone()));
        }
        for job in &affected.jobs {
            affected.machines.extend(
                self.jobs
                    .get(job)
                    .into_iter()
                    .flat_map(|j| &j.failed)
                    .map(|failure| failure.counterpart.clone()),
            );
        }
        affected
    }

    /// Returns true if another job succeeded on the machine at about that time, or later.
    fn is_known_good(&self, job: &JobId, machine: &MachineId, at: u64) -> bool {
        let Some(m) = self.machines.get(machine) else {
            return false;
        };
        m.successes.iter().any(|success| {
            success.counterpart != *job
                && success.began_at + FAILURE_ATTRIBUTION_KNOWN_GOOD_MS >= at
        })
    }

    /// Returns the number of known good machines on which a job failed, if the job is a suspect.
    pub fn suspect_evidence(&self, job: &JobId) -> Option<u32> {
        let job_failures = self.jobs.get(job)?;
        let failed = || job_failures.failed.iter().skip(job_failures.cleared);
        let on_known_good = failed()
            .filter(|failure| self.is_known_good(job, &failure.counterpart, failure.at))
            .count();
        // With failures on so many machines and no success, the job is a suspect even if none
        // of the machines is known good.
        (on_known_good >= FAILURE_ATTRIBUTION_SUSPECT_MACHINES
            || failed().count() >= FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE)
            .then_some(on_known_good as u32)
    }

    /// Returns the verdict on a machine.
    pub fn verdict(&self, machine: &MachineId) -> FaultVerdict {
        let Some(m) = self.machines.get(machine) else {
            return FaultVerdict::Healthy;
        };
        let counted: Vec<&JobId> = m
            .failed
            .iter()
            .map(|failure| &failure.counterpart)
            .filter(|j| self.suspect_evidence(j).is_none())
            .collect();
        let succeeded_elsewhere = |j: &&&JobId| {
            self.jobs
                .get(**j)
                .and_then(|o| o.last_success.as_ref())
                .is_some_and(|success| success.counterpart != *machine)
        };
        if counted.len() < FAILURE_ATTRIBUTION_QUARANTINE_JOBS {
            FaultVerdict::Healthy
        } else if counted.iter().filter(succeeded_elsewhere).count()
            >= FAILURE_ATTRIBUTION_QUARANTINE_JOBS
        {
            FaultVerdict::Faulty
        } else {
            FaultVerdict::Suspect
        }
    }

    /// Returns the jobs that failed on a machine, for operators.
    pub fn failed_jobs_on(&self, machine: &MachineId) -> Vec<&JobId> {
        self.machines
            .get(machine)
            .into_iter()
            .flat_map(|m| &m.failed)
            .map(|failure| &failure.counterpart)
            .collect()
    }

    /// Returns the machines on which a job recently succeeded, without a failure since the start
    /// of that run.
    pub fn healthy_machines(&self, now: u64) -> BTreeSet<MachineId> {
        let healthy = |m: &&MachineFailures| {
            m.failed.is_empty()
                && m.successes.first().is_some_and(|success| {
                    now <= success.began_at + FAILURE_ATTRIBUTION_KNOWN_GOOD_MS
                })
        };
        self.machines
            .iter()
            .filter(|(_, m)| healthy(m))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Removes the record of a released machine.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}

#[cfg(test)]
mod tests;
