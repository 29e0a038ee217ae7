//! Runs are reproducible on every machine: the history of each sample trace has the digest
//! recorded here. A change of scheduling decisions changes the digests and has to update them.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use lemonweir_model::Resources;
use lemonweir_simulator::report::RunOutcome;
use lemonweir_simulator::run::{self, LoadSource, Placer};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::sweep::{self, Seeds};
use lemonweir_simulator::workload_replay::WorkloadReplay;
use lemonweir_trace::{Format, OnFault, import};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn scenario(name: &str) -> Arc<Scenario> {
    let text = std::fs::read_to_string(example(name)).expect("scenario");
    Arc::new(Scenario::parse(name, &text).expect("no fault"))
}

fn replay(format: Format, sample: &str, seed: u64) -> RunOutcome {
    let dir = tempfile::tempdir().expect("directory");
    let workload = dir.path().join("w.jsonl");
    let machine = Some(Resources::capacity(16.0, 4.0, 64.0));
    let result = import(
        format,
        &[example(sample)],
        machine,
        OnFault::Stop,
        &workload,
        &mut |f| panic!("{f}"),
    )
    .expect("readable");
    assert!(result.jobs > 0);
    run::run_once(
        scenario("scenarios/replay.toml"),
        LoadSource::Workload(WorkloadReplay {
            file: workload,
            speed: 1.0,
            copies: 1,
        }),
        Placer::Lemonweir,
        seed,
        None,
    )
    .expect("run")
}

fn assert_replays(format: Format, sample: &str, digest: &str) {
    let first = replay(format, sample, 1);
    let r = &first.report;
    assert!(r.violations.is_empty(), "{:?}", r.violations);
    assert_eq!(
        (r.jobs.accepted, r.jobs.ended),
        (r.jobs.submitted, r.jobs.submitted),
        "every job is accepted and ends"
    );
    assert_eq!(r.history_digest, digest, "{sample}");
    // Concurrent runs share no state.
    let (again, other) = std::thread::scope(|s| {
        let again = s.spawn(|| replay(format, sample, 1));
        let other = s.spawn(|| replay(format, sample, 2));
        (again.join().expect("run"), other.join().expect("run"))
    });
    assert_eq!(again.report.history_digest, r.history_digest);
    assert_ne!(
        other.report.history_digest, r.history_digest,
        "another seed gives another history"
    );
}

#[test]
fn swf_replays() {
    assert_replays(
        Format::Swf,
        "traces/small.swf",
        "bc0633a9392b66d984ab6e71a4be11ac6d28d1c25950791f8042802059082d42",
    );
}

#[test]
fn google_2011_replays() {
    assert_replays(
        Format::Google2011,
        "traces/google-2011/task_events-small.csv",
        "5d5445fd93f3217114fe012078c6ae130b81378f88afc6c8d63dfbeb7e9dfd9f",
    );
}

#[test]
fn google_2019_replays() {
    assert_replays(
        Format::Google2019,
        "traces/google-2019/instance_events-small.json",
        "85ed975816484b46e5bb7ee4650e1fffd26622457d24796870225a16956ea893",
    );
}

#[test]
fn alibaba_2018_replays() {
    assert_replays(
        Format::Alibaba2018,
        "traces/alibaba-2018/batch_task-small.csv",
        "8414ab15e10e035704a97bfbc45c205df5e7eb27d8e58496497f08478f69a844",
    );
}

#[test]
fn pai_2020_replays() {
    assert_replays(
        Format::Pai2020,
        "traces/pai-2020/pai_task_table-small.csv",
        "446926e23459bcfb6e1f3c1830ddd0926a139ebdda96af7b2ebc80efabe23b78",
    );
}

#[test]
fn philly_replays() {
    assert_replays(
        Format::Philly,
        "traces/philly/cluster_job_log-small.json",
        "63cf34aedccb62571b9aa3d25a1f87389facc517ded07b3a84fd243429fac259",
    );
}

/// The result of a sweep does not depend on how many runs execute concurrently.
#[test]
fn a_sweep_is_the_same_on_any_number_of_threads() {
    let seeds: Seeds = "1..3".parse().expect("seeds");
    let scenario = Arc::new(
        (*scenario("scenarios/fairness.toml"))
            .clone()
            .scaled(0.1, 1.0, None),
    );
    let digests = |jobs| {
        let outcomes =
            sweep::sweep(&scenario, Placer::Lemonweir, None, &seeds, jobs).expect("runs");
        outcomes
            .iter()
            .map(|o| (o.report.seed, o.report.history_digest.clone()))
            .collect::<Vec<_>>()
    };
    let one = digests(1);
    assert_eq!(
        one.iter().map(|(seed, _)| *seed).collect::<Vec<_>>(),
        [1, 2, 3]
    );
    assert_eq!(digests(8), one);
    for text in ["3..1", "x", "1..", "1..1000000"] {
        assert!(text.parse::<Seeds>().is_err(), "{text}");
    }
}

/// Checks the confidence interval of a mean against a calculation by hand: 1 to 5 have the standard
/// deviation 1.5811, and t at 4 degrees of freedom is 2.7764.
#[test]
fn confidence_interval_uses_students_t() {
    let (mean, half_width) = sweep::mean_and_margin(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert!(
        (mean - 3.0).abs() < 1e-12 && (half_width - 1.9632).abs() < 1e-3,
        "{mean} {half_width}"
    );
    assert!(
        sweep::mean_and_margin(&[7.0]).1.is_infinite(),
        "one run gives no estimate of the variance"
    );
}

/// On a full fleet the central placer, which knows the state of all machines, starts the most tasks
/// and allocates fastest. The sampling placer does worst, since its tasks wait while machines are
/// free. The production placer lies between the two.
#[test]
fn baselines_bound_the_allocation_time() {
    let scenario = Arc::new(
        (*scenario("scenarios/paper.toml"))
            .clone()
            .scaled(0.1, 1.0, None),
    );
    let run = |placer: &str| {
        let placer = placer.parse().expect("placer");
        run::run_once(scenario.clone(), LoadSource::Synthetic, placer, 3, None)
            .expect("run")
            .report
    };
    let (real, central, sampler) = (run("lemonweir"), run("central"), run("sampler:2"));
    assert!(central.task_starts >= real.task_starts && real.task_starts >= sampler.task_starts);
    assert!(
        central.allocation.p99 < real.allocation.p99
            && real.allocation.p99 < sampler.allocation.p99
    );
    assert!(
        central.violations.is_empty() && sampler.violations.is_empty(),
        "no resources are allocated twice"
    );
    assert_eq!(run("central").history_digest, central.history_digest);
    assert!("sampler:0".parse::<Placer>().is_err() && "best".parse::<Placer>().is_err());
}

/// The scenario `morning.toml` with its faults violates no invariant.
#[test]
fn the_sample_scenario_violates_no_invariant() {
    for seed in 1..4 {
        let outcome = run::run_once(
            scenario("scenarios/morning.toml"),
            LoadSource::Synthetic,
            Placer::Lemonweir,
            seed,
            None,
        )
        .expect("run");
        assert!(
            outcome.report.violations.is_empty(),
            "seed {seed}: {:?}",
            outcome.report.violations
        );
        assert!(outcome.report.task_starts > 300);
    }
}

/// Parsing a scenario reports all its errors at once, each with its line and field.
#[test]
fn errors_of_a_scenario_are_named_all_at_once() {
    let text = "name = 7\nduration_s = -1\nzones = []\ncolour = 'red'\n\n[workers]\nlease_s = 1\n\n[[machine_type]]\nname = 'a'\ncpus = 0\n\
                memory_gb = 'much'\n[[team]]\nname = 't'\n[[class]]\nname = 'c'\nteams = ['u']\ncpus = 99\nrun_s = { dist = 'bell' }\n\
                shape = 'ring'\n[[fault]]\nkind = 'crash'\ncontroller = 3\nat_s = 1\n";
    let faults = Scenario::parse("s.toml", text).expect_err("faulty");
    let places: Vec<String> = faults
        .iter()
        .map(|f| {
            f.splitn(4, ':')
                .skip(1)
                .take(2)
                .collect::<Vec<_>>()
                .join(":")
        })
        .collect();
    let want = [
        "1: name",
        "2: duration_s",
        "3: zones",
        "4: colour",
        "7: workers.lease_s",
        "11: machine_type[0].cpus",
        "12: machine_type[0].memory_gb",
        "17: class[0].teams",
        "18: class[0].cpus",
        "19: class[0].run_s.dist",
        "20: class[0].shape",
        "23: fault[0].controller",
    ];
    for place in want {
        assert!(
            places.iter().any(|p| p == place),
            "{place} is not among {faults:#?}"
        );
    }
    assert!(
        Scenario::parse("s.toml", "name = 'x'\n[[").expect_err("faulty")[0]
            .starts_with("s.toml:2: file: ")
    );
}
