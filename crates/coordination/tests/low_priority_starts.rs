//! Starts of low-priority jobs: the order in which they get free resources, against a reference
//! model, and the capacity that is requested for jobs that have not started.

mod support;

use std::collections::BTreeMap;

use lemonweir_coordination::placer::{
    CompareAndSwapOutcome, LOW_PRIORITY_START_DEADLINE_MS, LOW_PRIORITY_START_SLACK_MS, Placer,
    PlacerConfig,
};
use lemonweir_model::constants::{IDLE_WORK_PATIENCE_MS, MAX_TASKS};
use lemonweir_model::{Catalog, JobId, JobKind, JobSpec, MachineType, Priority, Resources};
use lemonweir_protocol::peer::ChangeRange;
use support::*;

fn id(n: u64) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn placer(limit: Option<Resources>, now: u64) -> Placer {
    let limits = limit
        .map(|limit| ("red".to_owned(), limit))
        .into_iter()
        .collect();
    let config = PlacerConfig {
        quota_limits: limits,
        low_priority_writes_per_s: 1_000,
        ..placer_config()
    };
    let mut placer = Placer::new(0, TOKEN, 1, config, now);
    let catalog: Catalog = [(
        machine_type().name.clone(),
        MachineType {
            boot_s: 40.0,
            ..machine_type()
        },
    )]
    .into();
    placer.set_start_objectives(&Default::default(), f64::MAX, &catalog);
    placer
}

fn low_priority_job(n: u64, tasks: u64) -> JobSpec {
    JobSpec {
        id: id(n),
        priority: Priority::Low,
        allow_spot: false,
        ..array_job(tasks)
    }
}

/// Publishes a machine with room for this many tasks; returns how many tasks of each job are
/// placed on it.
fn place_on_one_machine(placer: &mut Placer, tasks: u64, now: u64) -> BTreeMap<JobId, usize> {
    let seq = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, now)
        .seq;
    let free = Resources::capacity(4.0 * tasks as f64, tasks as f64, 16.0 * tasks as f64);
    // Another task runs on it.
    let machine = lemonweir_protocol::peer::MachineView {
        free,
        task_count: 1,
        ..machine_view(1, 4)
    };
    placer.apply_view(
        shard_view(
            seq,
            ChangeRange {
                since: 0,
                until: 1,
                complete: true,
            },
            vec![machine],
            Vec::new(),
        ),
        now,
    );
    run_passes(placer, now);
    let mut on = BTreeMap::new();
    for want in placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, now)
        .desired
    {
        *on.entry(want.id.job).or_default() += 1;
    }
    on
}

fn run_passes(placer: &mut Placer, now: u64) {
    placer.advance_gang_admissions(now, 0);
    // The rest of a job is placed in the next pass, and written after that.
    for step in 0..4 {
        placer.run_placement_pass(now);
        while placer.next_cas(now + 50 * step).is_some() {
            placer.apply_cas_outcome(CompareAndSwapOutcome::Committed(2 + step), now);
        }
    }
}

/// Number, task count and time of submission of 12 random jobs.
fn random_jobs(seed: u64) -> Vec<(u64, u64, u64)> {
    let mut x = seed;
    let mut random_below = |n: u64| {
        x = x
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (x >> 33) % n
    };
    let jobs: Vec<(u64, u64, u64)> = (0..12)
        .map(|n| {
            (
                n,
                1 + random_below(2) * random_below(if seed.is_multiple_of(2) { 9 } else { 40_000 }),
                random_below(300_000),
            )
        })
        .collect();
    jobs
}

/// Each job gets its first task before any gets its second, the largest job first, of equal ones
/// the oldest. Then the oldest gets more first, each up to half of its tasks before any gets all.
#[test]
fn low_priority_jobs_start_in_the_order_of_the_reference_model() {
    for seed in 0..30 {
        let jobs = random_jobs(seed);
        for room in [1, 3, 7, 12, 15, 40] {
            let mut placer = placer(None, 300_000);
            for (n, tasks, at) in &jobs {
                submit(&mut placer, low_priority_job(*n, *tasks), *at, 300_000);
            }
            let mut model: BTreeMap<JobId, usize> = BTreeMap::new();
            let mut order: Vec<&(u64, u64, u64)> = jobs.iter().collect();
            order.sort_by_key(|(n, tasks, at)| (std::cmp::Reverse(*tasks), *at, id(*n)));
            let mut left = room;
            for (n, _, _) in order.iter().take(room as usize) {
                *model.entry(id(*n)).or_default() += 1;
                left -= 1;
            }
            order.sort_by_key(|(n, _, at)| (*at, id(*n)));
            for all_tasks in [false, true] {
                for (n, tasks, _) in &order {
                    let wanted = if all_tasks { *tasks } else { tasks.div_ceil(2) };
                    let more = left
                        .min(wanted.saturating_sub(model.get(&id(*n)).map_or(0, |n| *n as u64)));
                    left -= more;
                    if more > 0 {
                        *model.entry(id(*n)).or_default() += more as usize;
                    }
                }
            }
            assert_eq!(
                place_on_one_machine(&mut placer, room, 300_000),
                model,
                "seed {seed}, room for {room}: {jobs:?}"
            );
        }
    }
}

/// Capacity is requested for jobs that have not started and would otherwise be late, by their time
/// of submission and not that of the last failover: for one task or a whole gang each, the largest
/// first, whatever other demand is unmet.
#[test]
fn capacity_is_requested_in_time_and_for_one_unit() {
    // A boot of 60 s at worst, the fetch of 2 GB at 1 GB/s (2.66 s at worst), and the slack.
    let patience = LOW_PRIORITY_START_DEADLINE_MS - 60_000 - 2_660 - LOW_PRIORITY_START_SLACK_MS;
    for seed in 0..30 {
        for others in [false, true] {
            let (jobs, now) = (random_jobs(seed), 300_000);
            // This placer has just acquired the shard.
            let mut placer = placer(None, now);
            for (n, tasks, at) in &jobs {
                let job_kind = if n % 5 == 0 {
                    JobKind::Gang
                } else {
                    JobKind::Array
                };
                submit(
                    &mut placer,
                    JobSpec {
                        kind: job_kind,
                        ..low_priority_job(*n, (*tasks).min(300))
                    },
                    *at,
                    now,
                );
            }
            if others {
                submit(
                    &mut placer,
                    JobSpec {
                        id: id(99),
                        ..array_job(9)
                    },
                    0,
                    now,
                );
            }
            run_passes(&mut placer, now);
            let mut late: Vec<(u64, u64, u64)> = jobs
                .iter()
                .filter(|(_, _, at)| now >= at + patience)
                .map(|(n, tasks, at)| (*n, (*tasks).min(300), *at))
                .collect();
            late.sort_by_key(|(n, tasks, at)| (std::cmp::Reverse(*tasks), *at, id(*n)));
            let units: Vec<u64> = late
                .iter()
                .map(|(n, tasks, _)| if n % 5 == 0 { *tasks } else { 1 })
                .collect();
            let first: Vec<u64> = placer
                .unmet_demand
                .iter()
                .filter(|d| d.must_start_now)
                .map(|d| u64::from(d.count))
                .collect();
            assert_eq!(first, units, "seed {seed}: {jobs:?}");
            assert!(placer.unmet_demand.iter().all(|d| !d.spot_only));
            assert_eq!(
                placer
                    .unmet_demand
                    .iter()
                    .filter(|d| !d.low_priority)
                    .count(),
                usize::from(others)
            );
            assert!(
                placer.unmet_demand.is_sorted_by_key(|d| d.must_start_now),
                "demand of other jobs comes first"
            );
        }
    }
}

/// A job that has started requests no capacity for its other tasks until
/// [`IDLE_WORK_PATIENCE_MS`] is over.
#[test]
fn started_job_requests_no_extra_capacity() {
    let mut placer = placer(None, 0);
    submit(&mut placer, low_priority_job(1, 500), 0, 0);
    assert_eq!(place_on_one_machine(&mut placer, 1, 1_000).len(), 1);
    for now in [150_000, 300_000, IDLE_WORK_PATIENCE_MS - 1] {
        run_passes(&mut placer, now);
        assert!(
            placer.unmet_demand.is_empty(),
            "{now}: {:?}",
            placer.unmet_demand
        );
    }
    run_passes(&mut placer, IDLE_WORK_PATIENCE_MS);
    assert_eq!(placer.unmet_demand.len(), 1);
}

/// A service or array that exceeds its team's quota limit requests capacity for what fits in the
/// limit; a gang that does not fit as a whole requests none.
#[test]
fn service_starts_within_its_teams_quota_limit() {
    for (job_kind, want) in [
        (JobKind::Service, Some(8)),
        (JobKind::Array, Some(8)),
        (JobKind::Gang, None),
    ] {
        let mut placer = placer(
            Some(Resources {
                milli_cpus: u64::MAX,
                milli_gpus: Resources::capacity(0.0, 12.0, 0.0).milli_gpus,
                memory_mb: u64::MAX,
            }),
            0,
        );
        submit(
            &mut placer,
            JobSpec {
                priority: Priority::Production,
                kind: JobKind::Service,
                ..array_job(4)
            },
            0,
            0,
        );
        assert_eq!(place_on_one_machine(&mut placer, 4, 0).len(), 1);
        submit(
            &mut placer,
            JobSpec {
                id: id(2),
                priority: Priority::Production,
                kind: job_kind,
                ..array_job(12)
            },
            1,
            0,
        );
        run_passes(&mut placer, 0);
        assert_eq!(
            placer.unmet_demand.iter().map(|d| d.count).next(),
            want,
            "{job_kind:?}"
        );
    }
}

/// An array of 100,000 tiny tasks is placed in several passes, and jobs submitted after it are
/// placed in the first.
#[test]
fn huge_array_does_not_starve_other_jobs() {
    let mut placer = placer(None, 0);
    submit(
        &mut placer,
        JobSpec {
            id: id(1),
            cpus: 0.1,
            gpus: 0.0,
            memory_gb: 0.1,
            ..array_job(MAX_TASKS)
        },
        0,
        0,
    );
    for n in 2..20 {
        submit(
            &mut placer,
            JobSpec {
                id: id(n),
                cpus: 0.1,
                gpus: 0.0,
                memory_gb: 0.1,
                ..array_job(1)
            },
            n,
            0,
        );
    }
    let jobs_being_written = |placer: &mut Placer| {
        placer
            .known_jobs()
            .filter(|j| {
                placer
                    .job_status(j, 0)
                    .is_some_and(|status| status.reason.contains("written"))
            })
            .count()
    };
    let seq = placer
        .sync_request(0, TOKEN, MAX_MESSAGE_BYTES, false, 0)
        .seq;
    let span = ChangeRange {
        since: 0,
        until: 1,
        complete: true,
    };
    let machines = (0..40)
        .map(|n| lemonweir_protocol::peer::MachineView {
            free: Resources::capacity(100.0, 0.0, 400.0),
            ..machine_view(n, 4)
        })
        .collect();
    placer.apply_view(shard_view(seq, span, machines, Vec::new()), 0);
    placer.run_placement_pass(0);
    assert_eq!(jobs_being_written(&mut placer), 18, "all small jobs");
    assert!(placer.placement_is_due(0), "placement continues");
    for _ in 0..100 {
        if !placer.placement_is_due(0) {
            break;
        }
        placer.run_placement_pass(0);
    }
    let all: u64 = placer
        .known_jobs()
        .filter_map(|j| placer.job_status(j, 0))
        .map(|status| u64::from(status.reason.contains("room")))
        .sum();
    assert_eq!(
        all, 1,
        "40,000 tasks of the array fit, and nothing is left to place"
    );
}
