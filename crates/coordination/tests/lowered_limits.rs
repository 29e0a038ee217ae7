//! Jobs whose records the store's lowered limits do not allow: they start, are cancelled and end
//! like all others, and no job waits for them.

#[path = "support/controllers.rs"]
mod controllers;
#[path = "support/leader.rs"]
mod leader;
mod support;

use leader::{Leader, id, puts_key, spec};
use lemonweir_coordination::dependencies::DependencyAdmission;
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_model::JobSpec;
use lemonweir_model::constants::PAGED_SPEC_VERSION;
use lemonweir_protocol::kv_store::{CompareAndSwap, Write};
use lemonweir_protocol::users::JobPhase;
use lemonweir_storage::records::{advance_record_version, job_key, register_controller};

/// Lowered limit of a value, bytes.
const VALUE_LIMIT: usize = 2_048;
/// Rounds of work within which a job must be released: pages of its specification, then itself.
const MAX_ROUNDS: usize = 10;

/// A job with this many machine types, each with a name of 60 characters.
fn large_spec(n: usize, dependencies: &[usize], machine_types: usize) -> JobSpec {
    let unused = (0..machine_types).map(|n| format!("{n:0>60}"));
    JobSpec {
        machine_types: Some(unused.chain([support::machine_type().name]).collect()),
        ..spec(n, dependencies)
    }
}

/// A leader all of whose peers read records with pages.
fn leader() -> Leader {
    let mut leader = Leader::new();
    leader.commit(&advance_record_version(PAGED_SPEC_VERSION, 0));
    leader
}

/// Executes the next compare-and-swap of blocked jobs, unless the lowered limits reject it.
fn work(leader: &mut Leader) -> Option<CompareAndSwap> {
    let cas = leader.next_work().0?;
    let outcome = if cas.largest_value_size() <= VALUE_LIMIT {
        CompareAndSwapOutcome::Committed(leader.commit(&cas))
    } else {
        CompareAndSwapOutcome::Rejected
    };
    leader.core.dependency_cas_completed(outcome, leader.now);
    Some(cas)
}

fn is_released(leader: &Leader, n: usize) -> bool {
    leader.core.cache.jobs.contains_key(&id(n))
}

/// Guards against a waiting job that never starts since the store lowered its limits: its record,
/// accepted before, is over the new limit (`review/2`). A small job released with it starts first.
#[test]
fn waiting_job_with_a_large_record_is_released_under_lowered_limits() {
    for machine_types in [0, 10, 30, 50, 100] {
        let mut leader = leader();
        leader.accept(&spec(2, &[]));
        let large = large_spec(3, &[2], machine_types);
        leader.accept(&large);
        leader.accept(&spec(4, &[2]));
        leader.finish(2);
        work(&mut leader).expect("the first round");
        assert!(is_released(&leader, 4), "{machine_types}");
        for _ in 0..MAX_ROUNDS {
            work(&mut leader);
        }
        assert!(is_released(&leader, 3), "{machine_types}");
        let released = &leader.core.cache.jobs[&id(3)].record;
        assert_eq!(released.spec.machine_types, large.machine_types);
    }
}

/// Guards against a job with a large record that can't be cancelled under lowered limits.
#[test]
fn job_with_a_large_record_is_cancelled_under_lowered_limits() {
    for machine_types in [0, 10, 30, 50, 100] {
        let mut leader = leader();
        leader.accept(&large_spec(3, &[], machine_types));
        let cas_list = leader
            .core
            .cancellation_cas_list(&id(3))
            .expect("unfinished");
        for cas in &cas_list {
            assert!(cas.largest_value_size() <= VALUE_LIMIT, "{machine_types}");
            leader.commit(cas);
        }
        assert!(leader.core.cache.jobs[&id(3)].record.cancel_requested);
        assert_eq!(leader.core.cancellation_cas_list(&id(3)), None);
    }
}

/// Submissions of any size that a request may hold are accepted under lowered limits too.
#[test]
fn large_submission_is_accepted_under_lowered_limits() {
    for dependencies in [&[][..], &[2]] {
        let mut leader = leader();
        leader.accept(&spec(2, &[]));
        let large = large_spec(3, dependencies, 1_000);
        let DependencyAdmission::Accept(cas_list, JobPhase::Queued) =
            leader.core.admit_job(&large, 1)
        else {
            panic!("accepted")
        };
        for cas in &cas_list {
            assert!(cas.largest_value_size() <= VALUE_LIMIT);
            assert!(cas.writes.len() <= leader.core.config.cas_max_changes);
            leader.commit(cas);
        }
        assert_eq!(leader.core.cache.job_spec(&id(3)), Some(&large));
    }
}

/// A controller that ends between the pages and the release leaves both to its successor, which
/// does not write the pages again.
#[test]
fn successor_releases_a_job_whose_pages_are_written() {
    let mut first = leader();
    first.accept(&spec(2, &[]));
    first.accept(&large_spec(3, &[2], 50));
    let done = first.finish(2);
    let pages = first.next_work().0.expect("pages");
    assert!(!puts_key(&pages, &job_key(&id(3))));
    first.commit(&pages);

    let mut successor = leader();
    successor.accept(&large_spec(3, &[2], 50));
    successor.commit(&pages);
    successor
        .core
        .cache
        .record_end(&id(2), JobPhase::Done, done, successor.now);
    let release = successor.next_work().0.expect("a release");
    assert!(puts_key(&release, &job_key(&id(3))));
    assert_eq!(release.writes.len(), 2);
}

fn deletes_pages(cas: &CompareAndSwap) -> bool {
    let is_deletion =
        |write: &Write| matches!(write, Write::Delete { key } if key.starts_with("w/spec/"));
    cas.writes.iter().any(is_deletion)
}

/// The pages of a job's specification are deleted once its end is known, and never before: a
/// submission writes them before the job's record.
#[test]
fn pages_are_deleted_only_after_the_end_of_their_job() {
    let mut leader = leader();
    leader.commit(&register_controller("h0", "a", 1, Vec::new()));
    let DependencyAdmission::Accept(cas_list, _) =
        leader.core.admit_job(&large_spec(3, &[], 50), 1)
    else {
        panic!("accepted")
    };
    let (record, pages) = cas_list.split_last().expect("a record");
    for cas in pages {
        leader.commit(cas);
    }
    let (cas, reads) = leader.next_work();
    assert_eq!((cas, reads), (None, vec![id(3)]));
    leader.core.final_states_read(&[id(3)], leader.now);
    assert_eq!(leader.next_work(), (None, Vec::new()), "asked again later");
    leader.commit(record);
    assert_eq!(leader.next_work(), (None, Vec::new()));
    leader.finish(3);
    let mut rounds = 0;
    while leader.core.cache.has_spec_pages() {
        let cas = work(&mut leader).expect("a deletion");
        assert!(deletes_pages(&cas));
        rounds += 1;
        assert!(rounds <= MAX_ROUNDS);
    }
    assert_eq!(leader.next_work(), (None, Vec::new()));
}

/// One controller deletes them, so that each costs one write.
#[test]
fn pages_are_deleted_by_one_controller() {
    let mut leader = leader();
    leader.commit(&register_controller("a0", "a", 1, Vec::new()));
    leader.commit(&register_controller("h0", "a", 1, Vec::new()));
    let DependencyAdmission::Accept(cas_list, _) =
        leader.core.admit_job(&large_spec(3, &[], 50), 1)
    else {
        panic!("accepted")
    };
    for cas in &cas_list {
        leader.commit(cas);
    }
    leader.finish(3);
    assert!(leader.core.cache.has_spec_pages());
    assert_eq!(leader.next_work(), (None, Vec::new()));
}
