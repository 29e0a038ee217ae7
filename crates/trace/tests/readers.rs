//! Every row of each format's valid samples is imported, and every fault of its faulty
//! sample is reported. Compressed files read the same as plain ones.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};

use lemonweir_model::{JobKind, Priority, Resources};
use lemonweir_trace::workload::{self, Entry};
use lemonweir_trace::{Fault, Format, OnFault, check, import};

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples/traces")
        .join(name)
}

fn machine() -> Option<Resources> {
    Some(Resources::capacity(16.0, 4.0, 64.0))
}

/// Returns the faults of a file as `line: field`.
fn faults(format: Format, file: &Path) -> Vec<String> {
    let mut lines = Vec::new();
    let mut record = |f: &Fault| {
        assert_eq!(f.file, file.display().to_string());
        assert!(
            !f.message.is_empty()
                && f.to_string()
                    .starts_with(&format!("{}:{}: {}: ", f.file, f.line, f.field))
        );
        lines.push(format!("{}: {}", f.line, f.field));
    };
    let result = check(format, &[file.to_owned()], machine(), &mut record).expect("readable");
    assert_eq!(result.faults, lines.len() as u64);
    lines
}

fn entries(format: Format, files: &[PathBuf], on_fault: OnFault) -> Option<Vec<Entry>> {
    let dir = tempfile::tempdir().expect("directory");
    let out = dir.path().join("out.jsonl");
    import(format, files, machine(), on_fault, &out, &mut |_| {}).expect("readable");
    if !out.exists() {
        return None;
    }
    let mut all = Vec::new();
    let header = workload::read(&out, |e| all.push(e)).expect("a workload");
    assert_eq!(
        (header.source.as_str(), header.machine),
        (format.name(), machine())
    );
    Some(all)
}

const VALID_SAMPLES: [(Format, &str, usize); 12] = [
    (Format::Swf, "small.swf", 80),
    (Format::Google2011, "google-2011/task_events-small.csv", 30),
    (
        Format::Google2011,
        "google-2011/machine_events-small.csv",
        0,
    ),
    (
        Format::Google2011,
        "google-2011/task_constraints-small.csv",
        0,
    ),
    (
        Format::Google2019,
        "google-2019/instance_events-small.json",
        25,
    ),
    (
        Format::Google2019,
        "google-2019/collection_events-small.json",
        0,
    ),
    (Format::Alibaba2018, "alibaba-2018/batch_task-small.csv", 69),
    (
        Format::Alibaba2018,
        "alibaba-2018/batch_instance-small.csv",
        0,
    ),
    (
        Format::Alibaba2018,
        "alibaba-2018/container_meta-small.csv",
        2,
    ),
    (
        Format::Alibaba2018,
        "alibaba-2018/machine_meta-small.csv",
        0,
    ),
    (Format::Pai2020, "pai-2020/pai_task_table-small.csv", 40),
    (Format::Philly, "philly/cluster_job_log-small.json", 30),
];

#[test]
fn samples_are_read_whole() {
    for (format, name, jobs) in VALID_SAMPLES {
        assert_eq!(
            faults(format, &sample(name)),
            Vec::<String>::new(),
            "{name}"
        );
        let all = entries(format, &[sample(name)], OnFault::Stop).expect("written");
        assert_eq!(all.len(), jobs, "{name}");
        assert!(
            all.windows(2).all(|w| w[0].at_ms <= w[1].at_ms),
            "{name}: in the order of submission"
        );
        assert!(
            all.iter().all(|e| e.from.contains(':') && e.tasks > 0),
            "{name}"
        );
    }
}

#[test]
fn every_fault_of_the_faulty_samples_is_reported() {
    let cases: [(Format, &str, &[&str]); 6] = [
        (
            Format::Swf,
            "faulty.swf",
            &[
                "3: run time",
                "4: row",
                "5: submit time",
                "6: job number",
                "7: run time",
                "8: run time",
                "9: requested processors",
                "10: requested processors",
                "11: requested memory",
                "12: row",
            ],
        ),
        (
            Format::Google2011,
            "google-2011/task_events-faulty.csv",
            &[
                "3: task",
                "4: task",
                "5: time",
                "6: row",
                "7: cpu request",
                "8: cpu request",
                "9: event type",
                "10: cpu request",
                "10: memory request",
                "12: event",
                "1: end",
            ],
        ),
        (
            Format::Google2019,
            "google-2019/instance_events-faulty.json",
            &[
                "2: type",
                "3: resource_request.memory",
                "4: row",
                "5: time",
                "1: end",
            ],
        ),
        (
            Format::Alibaba2018,
            "alibaba-2018/batch_task-faulty.csv",
            &[
                "2: task_name",
                "3: end_time",
                "4: end_time",
                "5: plan_cpu",
                "6: plan_mem",
                "7: instance_num",
                "8: row",
                "9: instance_num",
            ],
        ),
        (
            Format::Pai2020,
            "pai-2020/pai_task_table-faulty.csv",
            &[
                "2: task_name",
                "3: end_time",
                "4: end_time",
                "5: plan_cpu",
                "6: inst_num",
                "7: gpu_type",
                "8: plan_cpu",
            ],
        ),
        (
            Format::Philly,
            "philly/cluster_job_log-faulty.json",
            &[
                "3: jobid",
                "4: attempts.end_time",
                "5: attempts.end_time",
                "6: attempts",
                "7: submitted_time",
                "8: row",
                "9: row",
            ],
        ),
    ];
    for (format, name, want) in cases {
        assert_eq!(faults(format, &sample(name)), want, "{name}");
        assert_eq!(
            entries(format, &[sample(name)], OnFault::Stop),
            None,
            "{name}: nothing is written"
        );
        let kept = entries(format, &[sample(name)], OnFault::Drop).expect("written");
        assert!(
            !kept.is_empty() || format == Format::Google2019,
            "{name}: valid rows are kept"
        );
    }
}

/// Units relative to a machine's capacity are a fault unless the capacity is given.
#[test]
fn normalized_units_need_a_stated_machine() {
    for (format, name, needs) in [
        (
            Format::Google2011,
            "google-2011/task_events-small.csv",
            true,
        ),
        (
            Format::Google2019,
            "google-2019/instance_events-small.json",
            true,
        ),
        (
            Format::Alibaba2018,
            "alibaba-2018/batch_task-small.csv",
            true,
        ),
        (Format::Pai2020, "pai-2020/pai_task_table-small.csv", false),
        (Format::Swf, "small.swf", false),
    ] {
        let mut lines = Vec::new();
        check(format, &[sample(name)], None, &mut |f| {
            lines.push(format!("{}: {}", f.line, f.field));
        })
        .expect("readable");
        assert_eq!(
            lines,
            if needs { vec!["0: unit"] } else { vec![] },
            "{name}"
        );
    }
}

#[test]
fn compressed_files_read_the_same() {
    let plain = sample("small.swf");
    let bytes = std::fs::read(&plain).expect("sample");
    let dir = tempfile::tempdir().expect("directory");
    let gz = dir.path().join("a.swf.gz");
    let mut encoder = flate2::write::GzEncoder::new(
        std::fs::File::create(&gz).expect("file"),
        flate2::Compression::fast(),
    );
    encoder
        .write_all(&bytes)
        .and_then(|()| encoder.finish())
        .expect("packed");
    let zst = dir.path().join("a.swf.zst");
    std::fs::write(&zst, zstd::encode_all(bytes.as_slice(), 1).expect("packed")).expect("written");
    let without_source = |file: &Path| {
        let all = entries(Format::Swf, &[file.to_owned()], OnFault::Stop).expect("written");
        all.into_iter()
            .map(|e| Entry {
                from: String::new(),
                ..e
            })
            .collect::<Vec<_>>()
    };
    let want = without_source(&plain);
    assert_eq!(without_source(&gz), want);
    assert_eq!(without_source(&zst), want);
    // A truncated compressed file is an error.
    std::fs::write(&gz, &std::fs::read(&gz).expect("packed")[..200]).expect("cut");
    assert!(check(Format::Swf, &[gz], None, &mut |_| {}).is_err());
    assert!(check(Format::Swf, &[dir.path().join("none")], None, &mut |_| {}).is_err());
}

/// Amounts are converted from the units of each format to thousandths.
#[test]
fn units_are_converted() {
    let entry_of = |format, name: &str, id: &str| {
        let all = entries(format, &[sample(name)], OnFault::Stop).expect("written");
        all.into_iter()
            .find(|e| e.id == id)
            .unwrap_or_else(|| panic!("{id} of {name}"))
    };
    // 1,000,000 KB per processor, one processor per task.
    let e = entry_of(Format::Swf, "small.swf", "1");
    assert_eq!(
        e.need,
        Resources {
            milli_cpus: 1_000,
            milli_gpus: 0,
            memory_mb: 1_000
        }
    );
    // Fractions of 16 CPUs and 64 GB; in the Alibaba trace, 400 is four CPUs.
    let e = entry_of(
        Format::Google2011,
        "google-2011/task_events-small.csv",
        "6030",
    );
    assert_eq!(e.need.milli_cpus, 500);
    let e = entry_of(
        Format::Alibaba2018,
        "alibaba-2018/container_meta-small.csv",
        "c_1",
    );
    assert_eq!(
        (e.need, e.shape, e.rank),
        (
            Resources {
                milli_cpus: 4_000,
                milli_gpus: 0,
                memory_mb: 1_984
            },
            JobKind::Service,
            Priority::Production
        )
    );
    let all = entries(
        Format::Pai2020,
        &[sample("pai-2020/pai_task_table-small.csv")],
        OnFault::Stop,
    )
    .expect("written");
    let shares: BTreeMap<u64, usize> = all.iter().fold(BTreeMap::new(), |mut m, e| {
        *m.entry(e.need.milli_gpus).or_default() += 1;
        m
    });
    assert_eq!(
        shares.keys().copied().collect::<Vec<_>>(),
        vec![250, 500, 1_000, 2_000]
    );
    assert!(
        all.iter()
            .all(|e| (e.tasks > 1) == (e.shape == JobKind::Gang))
    );
}

#[test]
fn invalid_workloads_are_rejected() {
    let dir = tempfile::tempdir().expect("directory");
    let file = dir.path().join("w.jsonl");
    let header = r#"{"format":"lemonweir-workload","version":1,"source":"x"}"#;
    let entry = |at: u64, tasks: u32, runs: &str| {
        format!(
            r#"{{"at_ms":{at},"id":"a","rank":"normal","shape":"array","tasks":{tasks},"need":{{"cpus":1,"gpus":0,"memory":0}},"run_ms":{runs},"from":"f:1"}}"#
        )
    };
    let cases = [
        (String::new(), "header: the file is empty"),
        (header.replace(":1,", ":2,"), "version 2, must be"),
        (
            format!("{header}\n{}\n{}\n", entry(5, 1, "[1]"), entry(4, 1, "[1]")),
            ":3: at_ms: 4 after 5",
        ),
        (
            format!("{header}\n{}\n", entry(5, 3, "[1,2]")),
            ":2: run_ms",
        ),
        (
            format!("{header}\n{}\n", entry(5, 1, "[]")),
            ":2: run_ms: is empty",
        ),
        (format!("{header}\n{{\"at_ms\":\n"), ":2: "),
    ];
    for (text, want) in cases {
        std::fs::write(&file, &text).expect("written");
        let error = workload::read(&file, |_| {})
            .expect_err("refused")
            .to_string();
        assert!(error.contains(want), "{error}");
    }
}

/// More entries than one sorted run holds: the runs are merged in order.
#[test]
fn entries_beyond_one_run_are_put_in_order() {
    const ROWS: u64 = 210_000;
    let dir = tempfile::tempdir().expect("directory");
    let file = dir.path().join("pai_task_table.csv");
    let mut text = String::new();
    for n in 0..ROWS {
        // Each time occurs once, out of order.
        let at = n * 7_919 % ROWS;
        text.push_str(&format!(
            "j{n},w,1,Terminated,{at}.0,{}.0,100.0,1.0,,\n",
            at + 5
        ));
    }
    std::fs::write(&file, text).expect("written");
    let out = dir.path().join("out.jsonl");
    let result = import(
        Format::Pai2020,
        &[file],
        None,
        OnFault::Stop,
        &out,
        &mut |f| panic!("{f}"),
    )
    .expect("readable");
    assert_eq!((result.jobs, result.faults), (ROWS, 0));
    let mut next = 0;
    workload::read(&out, |e| {
        assert_eq!(e.at_ms, next * 1_000);
        next += 1;
    })
    .expect("a workload");
    assert_eq!(next, ROWS);
}

/// The workload that the README replays is the import of its trace.
#[test]
fn sample_workload_matches_its_trace() {
    let mut committed = Vec::new();
    workload::read(&sample("../workloads/small.jsonl"), |e| {
        committed.push(Entry {
            from: String::new(),
            ..e
        });
    })
    .expect("a workload");
    let imported = entries(Format::Swf, &[sample("small.swf")], OnFault::Stop).expect("written");
    assert_eq!(
        committed,
        imported
            .into_iter()
            .map(|e| Entry {
                from: String::new(),
                ..e
            })
            .collect::<Vec<_>>()
    );
}
