//! Tests of the verdicts on jobs and machines, and of the bounds of what is kept.

use super::*;

fn job(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn machine(n: usize) -> MachineId {
    MachineId::from(format!("n-{n:06}").as_str())
}

#[test]
fn faulty_job_quarantines_no_machine() {
    let mut attribution = FaultAttribution::default();
    for n in 0..10 {
        attribution.record_success(&job(n), &machine(n), 1_000);
    }
    // Three faulty jobs fail on the same two machines.
    for (at, (j, m)) in (2_000..).zip([(100, 0), (101, 0), (102, 1), (100, 1), (101, 1), (102, 0)])
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
fn faulty_machine_is_found_and_its_jobs_are_not_suspects() {
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
    // A run that began before the failures is no evidence; one that began after them is.
    attribution.record_success(&job(3), &machine(0), 4_000);
    assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Faulty);
    attribution.record_success(&job(3), &machine(0), 9_000);
    assert_eq!(attribution.verdict(&machine(0)), FaultVerdict::Healthy);
}

#[test]
fn one_success_clears_a_suspect() {
    let mut attribution = FaultAttribution::default();
    for n in 0..FAILURE_ATTRIBUTION_SUSPECT_ANYWHERE {
        assert_eq!(attribution.suspect_evidence(&job(1)), None, "after {n}");
        attribution.record_failure(&job(1), &machine(n), 1_000);
    }
    assert_eq!(attribution.suspect_evidence(&job(1)), Some(0));
    attribution.record_success(&job(1), &machine(50), 2_000);
    assert_eq!(attribution.suspect_evidence(&job(1)), None);
}

#[test]
fn memory_is_bounded_in_jobs_and_failures() {
    let mut attribution = FaultAttribution::default();
    for n in 0..3 * MAX_JOBS_TRACKED {
        attribution.record_failure(&job(n), &machine(n % 7), n as u64);
    }
    assert!(
        attribution.jobs.len() <= MAX_JOBS_TRACKED
            && attribution.insertion_order.len() <= MAX_JOBS_TRACKED
    );
    assert!(
        attribution
            .machines
            .values()
            .all(|m| m.failed.len() <= MAX_FAILURES_KEPT)
    );
    (0..7).for_each(|n| attribution.remove_machine(&machine(n)));
    assert!(attribution.machines.is_empty());
}
