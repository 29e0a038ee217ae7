//! Jobs that depend on others, with the order of events given by hand: when they may start,
//! what is published of them, and with what priority their dependencies are placed.

#[path = "support/controllers.rs"]
mod controllers;
#[path = "support/leader.rs"]
mod leader;
mod support;

use leader::{Leader, id, puts_key, spec};
use lemonweir_coordination::JobProgressReport;
use lemonweir_coordination::dependencies::{DependencyAdmission, DependencyState};
use lemonweir_coordination::job_status::{FINAL_STATE_DELAY_MS, JobStatusAnswer};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_model::constants::{CONDITIONS_PER_WRITE, MAX_BODY_BYTES};
use lemonweir_model::{JobSpec, Priority};
use lemonweir_protocol::kv_store::{CompareAndSwap, Condition, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::dependencies::{blocked_job_key, dependency_page_key};
use lemonweir_storage::records::*;

fn final_state_condition(n: usize, version: u64) -> Condition {
    Condition {
        key: end_key(&id(n)),
        version,
    }
}

/// The compare-and-swap that lets a job start requires each dependency's final state, at the
/// version that says done, and the version of the job's own key.
#[test]
fn job_starts_on_condition_of_the_final_states_of_all_dependencies() {
    let mut leader = Leader::new();
    leader.accept(&spec(1, &[]));
    leader.accept(&spec(2, &[]));
    let own_version = leader.accept(&spec(3, &[1, 2]));
    assert_eq!(leader.next_work(), (None, Vec::new()));
    assert_eq!(
        leader.core.dependency_state(&id(3)),
        DependencyState::Waiting(vec![id(1), id(2)])
    );
    let first = leader.finish(1);
    assert_eq!(
        leader.next_work(),
        (None, Vec::new()),
        "one finished dependency is not enough"
    );
    let second = leader.finish(2);
    let (cas, _) = leader.next_work();
    let cas = cas.expect("it may start");
    let wanted = vec![
        Condition {
            key: blocked_job_key(&id(3)),
            version: own_version,
        },
        final_state_condition(1, first),
        final_state_condition(2, second),
    ];
    assert_eq!(cas.conditions, wanted);
    assert!(
        puts_key(&cas, &job_key(&id(3))) && !leader.core.cache.jobs.contains_key(&id(3)),
        "no placer knows the job before"
    );
    // The answer is lost: the same compare-and-swap is retried after the next read of the
    // store.
    leader
        .core
        .dependency_cas_completed(CompareAndSwapOutcome::Indeterminate, leader.now);
    assert_eq!(leader.next_work().0, Some(cas.clone()));
    let revision = leader.commit(&cas);
    leader
        .core
        .dependency_cas_completed(CompareAndSwapOutcome::Committed(revision), leader.now);
    assert!(leader.core.cache.jobs.contains_key(&id(3)));
    assert_eq!(leader.next_work(), (None, Vec::new()));
}

/// A final state that is not cached is read before a status is answered or the job starts.
#[test]
fn unknown_final_states_are_read_first() {
    let mut leader = Leader::new();
    leader.accept(&spec(3, &[1, 2]));
    assert_eq!(leader.next_work(), (None, vec![id(1), id(2)]));
    assert_eq!(
        leader.core.job_status(&id(3), leader.now),
        JobStatusAnswer::NeedsFinalStates(vec![id(1), id(2)])
    );
    assert_eq!(leader.next_work(), (None, Vec::new()), "one read at a time");
    for n in [1, 2] {
        leader
            .core
            .cache
            .record_end(&id(n), JobPhase::Done, 40 + n as u64, leader.now);
    }
    leader.core.final_states_read(&[id(1), id(2)], leader.now);
    assert!(
        leader
            .next_work()
            .0
            .expect("it may start")
            .conditions
            .contains(&final_state_condition(2, 42))
    );
}

/// All dependents of a cancelled job, in long chains and in large numbers, count as cancelled once
/// a controller may publish its final state, before any of their own is written.
#[test]
fn dependents_of_a_cancelled_job_are_cancelled_at_once() {
    const LONG: usize = 300;
    const WIDE: usize = 3_000;
    let mut leader = Leader::new();
    leader.accept(&spec(0, &[]));
    for n in 1..=LONG {
        leader.accept(&spec(n, &[n - 1, 0]));
    }
    for n in 1..=WIDE {
        leader.accept(&spec(LONG + n, &[LONG]));
    }
    let all = [1, LONG / 2, LONG, LONG + 1, LONG + WIDE];
    leader.now += 1;
    leader.core.cache_refreshed(leader.now, false);
    assert!(all.iter().all(|n| matches!(
        leader.core.job_status(&id(*n), leader.now),
        JobStatusAnswer::Unfinished(JobProgressReport {
            phase: JobPhase::Queued,
            ..
        })
    )));
    leader.cancel(0);
    for n in all {
        assert_eq!(
            leader.core.job_status(&id(n), leader.now),
            JobStatusAnswer::FinishedIn(FINAL_STATE_DELAY_MS),
            "{n}"
        );
        assert_eq!(
            leader
                .core
                .job_status(&id(n), leader.now + FINAL_STATE_DELAY_MS),
            JobStatusAnswer::Finished(JobPhase::Withdrawn),
            "{n}"
        );
    }
    // Each compare-and-swap writes as many of their final states as fit, each under its own key.
    let (cas, _) = leader.next_work();
    let cas = cas.expect("some are written");
    assert!(
        cas.writes.len() <= leader.core.config.cas_max_changes
            && cas.writes.len() > leader.core.config.cas_max_changes - 2
    );
    assert!(
        cas.writes
            .iter()
            .all(|write| !matches!(write, Write::Put { key, .. } if !key.starts_with(END_PREFIX)))
    );
}

/// More dependencies than a record and a compare-and-swap hold: none is left out.
#[test]
fn hundreds_of_dependencies_are_kept_in_pages_and_confirmed_in_steps() {
    const MANY: usize = 500;
    let mut leader = Leader::new();
    for n in 0..MANY {
        leader.accept(&spec(n, &[]));
    }
    let dependencies: Vec<usize> = (0..MANY).collect();
    leader.accept(&spec(MANY, &dependencies));
    assert_eq!(
        leader
            .core
            .cache
            .dependencies(&id(MANY))
            .map(|dependencies| dependencies.len()),
        Some(MANY)
    );
    let page_key = dependency_page_key(&id(MANY), 3);
    let mut versions = Vec::new();
    for n in 0..MANY {
        assert_eq!(leader.next_work().0, None, "only {n} are done");
        versions.push(leader.finish(n));
    }
    let mut confirmed = Vec::new();
    for _ in 0..MANY {
        let cas = leader.next_work().0.expect("confirmation continues");
        assert!(cas.conditions.len() <= CONDITIONS_PER_WRITE * leader.core.config.cas_max_changes);
        confirmed.extend(
            cas.conditions
                .iter()
                .filter(|c| c.key.starts_with(END_PREFIX))
                .cloned(),
        );
        let revision = leader.commit(&cas);
        leader
            .core
            .dependency_cas_completed(CompareAndSwapOutcome::Committed(revision), leader.now);
        if puts_key(&cas, &job_key(&id(MANY))) {
            break;
        }
    }
    let wanted: Vec<Condition> = versions
        .iter()
        .enumerate()
        .map(|(n, version)| final_state_condition(n, *version))
        .collect();
    assert_eq!(confirmed, wanted, "each final state was confirmed once");
    // The pages of dependencies are obsolete and are deleted.
    let cleanup = leader.next_work().0.expect("pages are removed");
    assert!(cleanup.writes.contains(&Write::Delete { key: page_key }));
}

/// A job is placed with the highest priority of those that depend on it, directly or through
/// others, for as long as they wait for it, and never with a lower one than its own.
#[test]
fn dependencies_inherit_the_priority_of_urgent_dependents() {
    let spec_with = |n, dependencies: &[usize], wanted_priority| JobSpec {
        priority: wanted_priority,
        ..spec(n, dependencies)
    };
    let mut leader = Leader::new();
    leader.accept(&spec_with(1, &[], Priority::Low));
    leader.accept(&spec_with(2, &[], Priority::Production));
    leader.accept(&spec_with(3, &[1], Priority::Low));
    let placed_priorities = |leader: &mut Leader| {
        leader.now += 1_000;
        leader.core.cache_refreshed(leader.now, false);
        leader.core.flush(leader.now);
        [1, 2].map(|n| leader.core.placed_priority(&id(n)))
    };
    assert_eq!(
        placed_priorities(&mut leader),
        [Some(Priority::Low), Some(Priority::Production)]
    );
    leader.accept(&spec_with(4, &[3, 2], Priority::High));
    assert_eq!(
        placed_priorities(&mut leader),
        [Some(Priority::High), Some(Priority::Production)]
    );
    // The dependent job is cancelled.
    leader.commit(&CompareAndSwap {
        conditions: Vec::new(),
        writes: vec![Write::Delete {
            key: blocked_job_key(&id(4)),
        }],
    });
    assert_eq!(
        placed_priorities(&mut leader),
        [Some(Priority::Low), Some(Priority::Production)]
    );
}

/// How a submission is answered, by what is known of the jobs that it depends on.
#[test]
fn submission_is_admitted_by_the_state_of_its_dependencies() {
    let mut leader = Leader::new();
    leader.accept(&spec(1, &[]));
    leader.accept(&spec(2, &[1]));
    let admit = |leader: &Leader, numbers: &[usize]| leader.core.admit_job(&spec(9, numbers), 1);
    assert_eq!(
        admit(&leader, &[1, 7, 9]),
        DependencyAdmission::Unknown(vec![id(7), id(9)]),
        "the store is read before the answer 422"
    );
    let DependencyAdmission::Accept(cas_list, JobPhase::Queued) = admit(&leader, &[1, 2]) else {
        panic!("accepted")
    };
    assert!(
        puts_key(cas_list.last().expect("one"), &blocked_job_key(&id(9)))
            && cas_list.iter().all(|cas| !puts_key(cas, &job_key(&id(9))))
    );
    // Only the store shows whether the dependency is done, so the job waits nevertheless.
    leader.finish(1);
    let DependencyAdmission::Accept(cas_list, JobPhase::Queued) = admit(&leader, &[1]) else {
        panic!("accepted")
    };
    assert!(puts_key(&cas_list[0], &blocked_job_key(&id(9))));
    // A job that depends on a cancelled one, directly or not, is cancelled from the start.
    let mut leader = Leader::new();
    leader.accept(&spec(1, &[]));
    leader.accept(&spec(2, &[1]));
    leader.cancel(1);
    for dependencies in [[1], [2]] {
        let DependencyAdmission::Accept(cas_list, JobPhase::Withdrawn) =
            admit(&leader, &dependencies)
        else {
            panic!("cancelled")
        };
        assert!(puts_key(&cas_list[0], &end_key(&id(9))));
    }
}

/// Guards against a job that waits behind another's size: the store rejects the release of one
/// job for its record, alone or together with others, and the others are released all the same.
#[test]
fn rejected_release_of_one_job_does_not_delay_the_others() {
    let mut leader = Leader::new();
    leader.accept(&spec(1, &[]));
    let waiting = [3, 4, 5];
    for n in waiting {
        leader.accept(&spec(n, &[1]));
    }
    leader.finish(1);
    let released = |cas: &CompareAndSwap| -> Vec<usize> {
        let is_released = |n: &usize| puts_key(cas, &job_key(&id(*n)));
        waiting.into_iter().filter(is_released).collect()
    };
    // The store takes every record but that of job 3.
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let Some(cas) = leader.next_work().0 else {
            continue;
        };
        let jobs = released(&cas);
        let outcome = if jobs.contains(&3) {
            CompareAndSwapOutcome::Rejected
        } else {
            CompareAndSwapOutcome::Committed(leader.commit(&cas))
        };
        leader.core.dependency_cas_completed(outcome, leader.now);
        attempts.push((leader.now, jobs));
    }
    let jobs: Vec<Vec<usize>> = attempts.iter().map(|(_, jobs)| jobs.clone()).collect();
    assert_eq!(
        jobs,
        [vec![3, 4, 5], vec![3], vec![4], vec![5], vec![3]],
        "each on its own, and the rejected one again after a pause: {attempts:?}"
    );
    assert!(attempts[4].0 >= attempts[1].0 + 5_000, "{attempts:?}");
    assert!(matches!(
        leader.core.job_status(&id(3), leader.now),
        JobStatusAnswer::Unfinished(JobProgressReport { reason, .. })
            if reason.contains("refuses its record for its size")
    ));
    // Once the store takes it, it is released.
    leader.now += 5_000;
    let cas = leader.next_work().0.expect("another try");
    assert_eq!(released(&cas), [3]);
    let revision = leader.commit(&cas);
    leader
        .core
        .dependency_cas_completed(CompareAndSwapOutcome::Committed(revision), leader.now);
    assert!(leader.core.cache.jobs.contains_key(&id(3)));
    assert_eq!(leader.next_work(), (None, Vec::new()));
}

/// Guards against releases that are refused together: the store allows many changes in a
/// transaction, and 64 KiB.
#[test]
fn releases_fit_the_size_of_a_transaction() {
    const JOBS: usize = 400;
    let mut leader = Leader::new();
    leader.core.config.cas_max_changes = 2_000;
    leader.accept(&spec(1, &[]));
    for n in 2..2 + JOBS {
        leader.accept(&spec(n, &[1]));
    }
    leader.finish(1);
    let mut transactions = 0;
    while let Some(cas) = leader.next_work().0 {
        let bytes = serde_json::to_vec(&cas).expect("JSON").len();
        assert!(bytes <= MAX_BODY_BYTES, "{bytes} bytes");
        let revision = leader.commit(&cas);
        leader
            .core
            .dependency_cas_completed(CompareAndSwapOutcome::Committed(revision), leader.now);
        transactions += 1;
    }
    assert!((2..JOBS / 10).contains(&transactions), "{transactions}");
    assert!(leader.core.cache.blocked_jobs.is_empty());
}
