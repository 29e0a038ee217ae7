//! Alibaba cluster trace 2018, and PAI 2020 with fractional GPUs. The batch tables
//! record when a task started but not when it was submitted, so the start time is
//! used for both.

use std::collections::HashSet;
use std::hash::{BuildHasher, RandomState};
use std::io::{self, BufRead};

use lemonweir_model::{JobKind, Priority, Resources};

use super::table;
use crate::csv_rows::rows;
use crate::fault::{Faults, Row};
use crate::workload::Entry;

const BATCH_TASK: [&str; 9] = [
    "task_name",
    "instance_num",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "plan_cpu",
    "plan_mem",
];
const BATCH_INSTANCE: [&str; 14] = [
    "instance_name",
    "task_name",
    "job_name",
    "task_type",
    "status",
    "start_time",
    "end_time",
    "machine_id",
    "seq_no",
    "total_seq_no",
    "cpu_avg",
    "cpu_max",
    "mem_avg",
    "mem_max",
];
const CONTAINER_META: [&str; 8] = [
    "container_id",
    "machine_id",
    "time_stamp",
    "app_du",
    "status",
    "cpu_request",
    "cpu_limit",
    "mem_size",
];
const MACHINE_META: [&str; 7] = [
    "machine_id",
    "time_stamp",
    "failure_domain_1",
    "failure_domain_2",
    "cpu_num",
    "mem_size",
    "status",
];
const PAI_TASK: [&str; 10] = [
    "job_name",
    "task_name",
    "inst_num",
    "status",
    "start_time",
    "end_time",
    "plan_cpu",
    "plan_mem",
    "plan_gpu",
    "gpu_type",
];
const PAI_JOB: [&str; 6] = [
    "job_name",
    "inst_id",
    "user",
    "status",
    "start_time",
    "end_time",
];

/// Set of names as 64-bit hashes, which takes 16 bytes per name of any length. In
/// files of 10 million names, fewer than one in 10^5 has a hash collision.
struct SeenNames(HashSet<u64>, RandomState);

impl SeenNames {
    fn new() -> Self {
        Self(HashSet::new(), RandomState::new())
    }

    /// Adds a name; true if it was not in the set.
    fn insert(&mut self, name: &str) -> bool {
        self.0.insert(self.1.hash_one(name))
    }
}

/// Parses start and end times in seconds and returns them in ms.
fn run_interval(row: &mut Row<'_, '_>, start: &str, end: &str) -> (u64, u64) {
    let mut seconds = |field: &str, text: &str| {
        if text.trim().is_empty() {
            row.fault(field, "is missing");
            return 0.0;
        }
        row.number(field, text)
    };
    let (from, to) = (seconds("start_time", start), seconds("end_time", end));
    if row.valid && to == 0.0 && from > 0.0 {
        row.fault("end_time", "0: there is no end time");
    } else if row.valid && to < from {
        row.fault("end_time", format!("{to} is before start_time {from}"));
    }
    ((from * 1e3) as u64, (to * 1e3) as u64)
}

/// Parses an amount that must not be empty.
fn required_amount(row: &mut Row<'_, '_>, field: &str, text: &str) -> f64 {
    if text.trim().is_empty() {
        row.fault(field, "is missing: the amount is unknown");
        return 0.0;
    }
    row.number(field, text)
}

fn task_count(row: &mut Row<'_, '_>, field: &str, text: &str) -> u32 {
    let n = row.number(field, text);
    if n.fract() != 0.0 {
        row.fault(field, format!("{n} is not an integer"));
    }
    if row.valid {
        row.task_count(field, n as u64)
    } else {
        0
    }
}

/// Reads one table of the 2018 trace. The published file name tells which one.
pub fn read_2018(
    file: &str,
    input: impl BufRead,
    machine: Resources,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let mut seen = SeenNames::new();
    match table(
        file,
        &[
            "batch_task",
            "batch_instance",
            "container_meta",
            "machine_meta",
        ],
    ) {
        Some("batch_task") => rows(file, input, &BATCH_TASK, faults, |row, f| {
            let tasks = task_count(row, "instance_num", f[1]);
            let (start_ms, end_ms) = run_interval(row, f[5], f[6]);
            let cpus = required_amount(row, "plan_cpu", f[7]) / 100.0;
            let memory = memory_percentage(row, "plan_mem", f[8], machine);
            let id = format!("{}/{}", f[2], f[0]);
            if !seen.insert(&id) {
                row.fault("task_name", format!("duplicate {id}"));
            }
            if row.valid {
                let need = Resources {
                    memory_mb: memory,
                    ..Resources::request(cpus, 0.0, 0.0)
                };
                out(new_entry(
                    row,
                    id,
                    f[3],
                    start_ms,
                    end_ms,
                    tasks,
                    need,
                    JobKind::Array,
                ));
            }
        }),
        Some("batch_instance") => rows(file, input, &BATCH_INSTANCE, faults, |row, f| {
            run_interval(row, f[5], f[6]);
            row.integer("seq_no", f[8]);
            row.integer("total_seq_no", f[9]);
        }),
        Some("container_meta") => rows(file, input, &CONTAINER_META, faults, |row, f| {
            let at = row.number("time_stamp", f[2]);
            let cpus = required_amount(row, "cpu_request", f[5]) / 100.0;
            let memory = memory_percentage(row, "mem_size", f[7], machine);
            // A container has one row per status sample; the first one gives its start.
            if row.valid && seen.insert(f[0]) {
                let need = Resources {
                    memory_mb: memory,
                    ..Resources::request(cpus, 0.0, 0.0)
                };
                let entry = new_entry(
                    row,
                    f[0].to_owned(),
                    "container",
                    (at * 1e3) as u64,
                    0,
                    1,
                    need,
                    JobKind::Service,
                );
                out(Entry {
                    team: Some(f[3].to_owned()),
                    rank: Priority::Production,
                    run_ms: Vec::new(),
                    ..entry
                });
            }
        }),
        Some(_) => rows(file, input, &MACHINE_META, faults, |row, f| {
            row.number("time_stamp", f[1]);
            required_amount(row, "cpu_num", f[4]);
            required_amount(row, "mem_size", f[5]);
        }),
        None => {
            let message =
                "the name must contain batch_task, batch_instance, container_meta or machine_meta";
            faults.report(file, 0, "file", message);
            Ok(())
        }
    }
}

/// Converts a percentage of the machine's memory to MB, rounded up.
fn memory_percentage(row: &mut Row<'_, '_>, field: &str, text: &str, machine: Resources) -> u64 {
    let x = required_amount(row, field, text);
    if x > 100.0 {
        row.fault(field, format!("{x} exceeds 100 %"));
    }
    (machine.memory_mb as f64 * x / 100.0).ceil() as u64
}

#[allow(clippy::too_many_arguments)]
fn new_entry(
    row: &Row<'_, '_>,
    id: String,
    class: &str,
    start_ms: u64,
    end_ms: u64,
    tasks: u32,
    need: Resources,
    shape: JobKind,
) -> Entry {
    Entry {
        at_ms: start_ms,
        id,
        class: Some(format!("type-{class}")),
        team: None,
        rank: Priority::Normal,
        shape,
        tasks,
        need,
        run_ms: vec![end_ms.saturating_sub(start_ms)],
        constraints: Vec::new(),
        from: format!("{}:{}", row.file, row.line),
    }
}

/// Reads one table of PAI 2020. The instances of a task train together, so a task
/// with several instances is a gang. `plan_cpu` and `plan_gpu` are in hundredths
/// of a CPU or GPU; `plan_mem` is in GB.
pub fn read_pai(
    file: &str,
    input: impl BufRead,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let mut seen = SeenNames::new();
    match table(file, &["pai_task_table", "pai_job_table"]) {
        Some("pai_task_table") => rows(file, input, &PAI_TASK, faults, |row, f| {
            let tasks = task_count(row, "inst_num", f[2]);
            let (start_ms, end_ms) = run_interval(row, f[4], f[5]);
            let cpus = required_amount(row, "plan_cpu", f[6]) / 100.0;
            let memory = required_amount(row, "plan_mem", f[7]);
            // The field is empty for tasks without GPUs.
            let gpus = if f[8].trim().is_empty() {
                0.0
            } else {
                row.number("plan_gpu", f[8]) / 100.0
            };
            if gpus > 0.0 && f[9].trim().is_empty() {
                row.fault("gpu_type", "is missing, but GPUs are requested");
            }
            let id = format!("{}/{}", f[0], f[1]);
            if !seen.insert(&id) {
                row.fault("task_name", format!("duplicate {id}"));
            }
            if row.valid {
                let shape = if tasks > 1 {
                    JobKind::Gang
                } else {
                    JobKind::Array
                };
                out(new_entry(
                    row,
                    id,
                    f[1],
                    start_ms,
                    end_ms,
                    tasks,
                    Resources::request(cpus, gpus, memory),
                    shape,
                ));
            }
        }),
        Some(_) => rows(file, input, &PAI_JOB, faults, |row, f| {
            run_interval(row, f[4], f[5]);
            if !seen.insert(f[0]) {
                row.fault("job_name", format!("duplicate {}", f[0]));
            }
        }),
        None => {
            faults.report(
                file,
                0,
                "file",
                "the name must contain pai_task_table or pai_job_table",
            );
            Ok(())
        }
    }
}
