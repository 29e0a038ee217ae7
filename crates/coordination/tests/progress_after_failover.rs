//! What controllers tell of a job whose machines can't be reached, while the leader of its shard
//! changes again and again.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use std::collections::BTreeMap;

use controllers::{CONTROLLERS, FaultSchedule, SimulatedCluster};
use lemonweir_coordination::job_status::JobStatusAnswer;
use lemonweir_model::JobId;
use lemonweir_model::constants::STORE_LEASE_TTL_MS;
use lemonweir_protocol::users::JobPhase;

/// ms for which all controllers that reach the store together may tell nothing of an accepted job.
const MAX_UNANSWERED_MS: u64 = 20_000;
/// When the first controller ends, ms.
const FIRST_END_AT: u64 = 22_000;
/// ms between two ends of controllers, and until an ended one is back.
const END_INTERVAL_MS: u64 = 12_000;
const DOWN_MS: u64 = 5_000;

/// A cluster with nine jobs, all of whose tasks run at 20 s.
fn cluster_with_running_jobs() -> (SimulatedCluster, Vec<JobId>) {
    let mut cluster = SimulatedCluster::new(7, FaultSchedule::default());
    cluster.run_until(12_000);
    let jobs: Vec<JobId> = (0..9).map(|n| cluster.submit(10 + n)).collect();
    cluster.run_until(20_000);
    let running: usize = cluster.machines.iter().map(|m| m.tasks.len()).sum();
    assert_eq!(running, 27, "all tasks run");
    (cluster, jobs)
}

/// True if a controller that reaches the store tells something of the job.
fn is_told(cluster: &SimulatedCluster, job: &JobId) -> bool {
    (0..CONTROLLERS)
        .filter(|node| cluster.reaches_store(*node))
        .any(|node| {
            matches!(
                cluster.nodes[node].core.unfinished_status(job, cluster.now),
                Some(JobStatusAnswer::Unfinished(_))
            )
        })
}

/// Ends one controller after the other until `until`, and returns the longest time for which no
/// controller told anything of a job, ms, with that job.
fn longest_untold(cluster: &mut SimulatedCluster, jobs: &[JobId], until: u64) -> (u64, JobId) {
    let mut told_at: BTreeMap<&JobId, u64> = jobs.iter().map(|job| (job, cluster.now)).collect();
    let mut longest = (0, jobs[0].clone());
    let mut ends = 0;
    while cluster.now < until {
        cluster.step();
        if cluster.now == FIRST_END_AT + ends * END_INTERVAL_MS {
            cluster.end_controller(ends as usize % CONTROLLERS, DOWN_MS);
            ends += 1;
        }
        for job in jobs {
            if is_told(cluster, job) {
                told_at.insert(job, cluster.now);
            }
            longest = longest.max((cluster.now - told_at[job], job.clone()));
        }
    }
    longest
}

/// Guards against a wait that each leader of a shard begins anew: an accepted job that no controller
/// answers for.
#[test]
fn job_stays_known_while_controllers_end_in_turn_and_its_machines_are_unreachable() {
    let (mut cluster, jobs) = cluster_with_running_jobs();
    for machine in &mut cluster.machines {
        machine.unreachable = true;
    }
    let (untold_ms, job) = longest_untold(&mut cluster, &jobs, 120_000);
    assert!(untold_ms <= MAX_UNANSWERED_MS, "{job}: {untold_ms} ms");
}

/// Guards against progress that ends with the process or the store lease of the leader that knew it.
#[test]
fn running_jobs_are_told_so_after_all_controllers_ended() {
    let (mut cluster, jobs) = cluster_with_running_jobs();
    // Their leaders write that they run.
    cluster.run_until(24_000);
    for machine in &mut cluster.machines {
        machine.unreachable = true;
    }
    let lost_at = cluster.now;
    for node in 0..CONTROLLERS {
        cluster.end_controller(node, DOWN_MS);
    }
    // No store lease of the earlier processes is left, and no attempt is proven to have ended.
    cluster.run_until(lost_at + STORE_LEASE_TTL_MS + 3_000);
    for job in &jobs {
        for (node, controller) in cluster.nodes.iter().enumerate() {
            let Some(JobStatusAnswer::Unfinished(report)) =
                controller.core.unfinished_status(job, cluster.now)
            else {
                panic!("controller {node} tells nothing of {job}");
            };
            assert_eq!(report.phase, JobPhase::Running, "{job}");
            let age_ms = report.last_known_ms_ago.expect("an age");
            assert!(age_ms >= STORE_LEASE_TTL_MS, "{job}: {age_ms} ms");
        }
    }
}
