//! Failure attribution compared with a slow reference model that keeps the whole history.

mod support;

use lemonweir_coordination::fault_attribution::{
    FAILURE_ATTRIBUTION_KNOWN_GOOD_MS, FAILURE_ATTRIBUTION_QUARANTINE_JOBS,
    FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE, FAILURE_ATTRIBUTION_SUSPECT_MACHINES, FaultAttribution,
    FaultVerdict,
};
use lemonweir_model::{JobId, MachineId};
use proptest::prelude::*;

/// Few enough that no size limit of the real implementation is reached.
const JOBS: usize = 6;
const MACHINES: usize = 6;

#[derive(Clone, Copy, Debug)]
struct Event {
    job: usize,
    machine: usize,
    /// Duration of a successful run, ms; `None` if it failed.
    ran_for: Option<u64>,
    /// Time since the previous event, ms.
    gap: u64,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (
        0..JOBS,
        0..MACHINES,
        prop::option::of(0..600_000u64),
        0..200_000u64,
    );
    prop::collection::vec(
        event.prop_map(|(job, machine, ran_for, gap)| Event {
            job,
            machine,
            ran_for,
            gap,
        }),
        0..60,
    )
}

/// Keeps the whole history; each query scans all of it.
#[derive(Default)]
struct ReferenceModel(Vec<(u64, Event)>);

impl ReferenceModel {
    /// Successful runs: job, machine, start time, and index in the history.
    fn runs(&self) -> impl Iterator<Item = (usize, usize, u64, usize)> + '_ {
        self.0
            .iter()
            .enumerate()
            .filter_map(|(i, (at, e))| Some((e.job, e.machine, at.saturating_sub(e.ran_for?), i)))
    }

    /// Failures: job, machine, time, and index in the history.
    fn failures(&self) -> impl Iterator<Item = (usize, usize, u64, usize)> + '_ {
        self.0
            .iter()
            .enumerate()
            .filter(|(_, (_, e))| e.ran_for.is_none())
            .map(|(i, (at, e))| (e.job, e.machine, *at, i))
    }

    /// Number of machines on which a suspected job failed although a successful run of another job
    /// shows that they work; `None` if the job is not suspected. Only failures after the job's last
    /// success count, one per machine.
    fn suspect(&self, job: usize) -> Option<u32> {
        let last_success = self.runs().filter(|r| r.0 == job).map(|r| r.3).max();
        let since = || {
            self.failures()
                .filter(|f| f.0 == job && last_success.is_none_or(|c| f.3 > c))
        };
        let last = |machine: usize| since().filter(|f| f.1 == machine).map(|f| f.2).max();
        let failed: Vec<(usize, u64)> = (0..MACHINES).filter_map(|m| Some((m, last(m)?))).collect();
        let vouched = |m: usize, at: u64| {
            self.runs()
                .any(|r| r.1 == m && r.0 != job && r.2 + FAILURE_ATTRIBUTION_KNOWN_GOOD_MS >= at)
        };
        let count = failed.iter().filter(|(m, at)| vouched(*m, *at)).count();
        (count >= FAILURE_ATTRIBUTION_SUSPECT_MACHINES
            || failed.len() >= FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE)
            .then_some(count as u32)
    }

    /// The verdict on a machine. A job that failed on it counts if the job is not suspected and no
    /// successful run was started on the machine after the job's last failure there.
    fn verdict(&self, machine: usize) -> FaultVerdict {
        let failed = |job: usize| {
            let (_, _, at, i) = self
                .failures()
                .filter(|f| f.0 == job && f.1 == machine)
                .last()?;
            self.runs()
                .all(|r| r.1 != machine || r.3 < i || r.2 < at)
                .then_some(())
        };
        let counted: Vec<usize> = (0..JOBS)
            .filter(|j| failed(*j).is_some() && self.suspect(*j).is_none())
            .collect();
        let elsewhere = |job: &&usize| {
            // The run started last; of equal ones the one recorded last.
            let newest = self
                .runs()
                .filter(|r| r.0 == **job)
                .max_by_key(|r| (r.2, r.3));
            newest.is_some_and(|r| r.1 != machine)
        };
        match (
            counted.len() >= FAILURE_ATTRIBUTION_QUARANTINE_JOBS,
            counted.iter().filter(elsewhere).count() >= FAILURE_ATTRIBUTION_QUARANTINE_JOBS,
        ) {
            (false, _) => FaultVerdict::Healthy,
            (true, true) => FaultVerdict::Faulty,
            (true, false) => FaultVerdict::Suspect,
        }
    }
}

fn job(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// After every event all verdicts equal those of the reference model, and only those that the
    /// event reported as touched have changed.
    #[test]
    fn verdicts_match_the_reference_model(events in events()) {
        let (mut real, mut reference, mut now) = (FaultAttribution::default(), ReferenceModel::default(), 1_000_000);
        for e in events {
            now += e.gap;
            let all = |real: &FaultAttribution| -> Vec<(Option<u32>, FaultVerdict)> {
                (0..JOBS.max(MACHINES)).map(|n| (real.suspect_evidence(&job(n)), real.verdict(&support::machine_id(n)))).collect()
            };
            let before = all(&real);
            let (j, m): (JobId, MachineId) = (job(e.job), support::machine_id(e.machine));
            let touched = match e.ran_for {
                Some(ms) => real.record_success(&j, &m, now.saturating_sub(ms)),
                None => real.record_failure(&j, &m, now),
            };
            reference.0.push((now, e));
            for (n, (before, after)) in before.into_iter().zip(all(&real)).enumerate() {
                prop_assert_eq!(after.0, reference.suspect(n), "job {}", n);
                prop_assert_eq!(after.1, reference.verdict(n), "machine {}", n);
                prop_assert!(before.0 == after.0 || touched.jobs.contains(&job(n)), "job {} changed but was not reported", n);
                prop_assert!(before.1 == after.1 || touched.machines.contains(&support::machine_id(n)), "machine {} changed but was not reported", n);
            }
        }
    }
}
