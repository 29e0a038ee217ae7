//! Standard Workload Format: 18 fields per line, `;` comments, -1 for unknown values.
//! A job uses all its processors at once, so a job with several of them is a gang.

use std::io::{self, BufRead};

use lemonweir_model::{JobKind, Priority, Resources};
use roaring::RoaringTreemap;

use crate::fault::{Faults, Row};
use crate::input;
use crate::workload::Entry;

const FIELDS: [&str; 18] = [
    "job number",
    "submit time",
    "wait time",
    "run time",
    "allocated processors",
    "average cpu time",
    "used memory",
    "requested processors",
    "requested time",
    "requested memory",
    "status",
    "user id",
    "group id",
    "executable",
    "queue",
    "partition",
    "preceding job",
    "think time",
];

/// Reads an SWF file. Each processor of a job becomes one task.
pub fn read(
    file: &str,
    input: impl BufRead,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let mut seen_ids = RoaringTreemap::new();
    let mut last_ms = 0;
    input::rows(file, input, faults, |row, text| {
        let text = text.trim();
        if !text.is_empty() && !text.starts_with(';') {
            read_job(row, text, &mut seen_ids, &mut last_ms, out);
        }
    })
}

/// Parses field `i`; `None` if its value is unknown.
fn optional_number(row: &mut Row<'_, '_>, fields: &[&str], i: usize) -> Option<f64> {
    if fields[i] == "-1" {
        None
    } else {
        Some(row.number(FIELDS[i], fields[i]))
    }
}

fn read_job(
    row: &mut Row<'_, '_>,
    text: &str,
    seen_ids: &mut RoaringTreemap,
    last_ms: &mut u64,
    out: &mut dyn FnMut(Entry),
) {
    let fields: Vec<&str> = text.split_ascii_whitespace().collect();
    if fields.len() != FIELDS.len() {
        return row.fault(
            "row",
            format!("{} fields, expected {}", fields.len(), FIELDS.len()),
        );
    }
    let id = row.integer(FIELDS[0], fields[0]);
    if row.valid && !seen_ids.insert(id) {
        row.fault(FIELDS[0], format!("duplicate {id}"));
    }
    let at_ms = (row.number(FIELDS[1], fields[1]) * 1e3) as u64;
    if at_ms < *last_ms {
        row.fault(
            FIELDS[1],
            format!(
                "{} after {}: times must not decrease",
                at_ms / 1_000,
                *last_ms / 1_000
            ),
        );
    }
    *last_ms = (*last_ms).max(at_ms);
    let run_s = optional_number(row, &fields, 3);
    if run_s.is_none() {
        row.fault(FIELDS[3], "unknown: the end of the job is not known");
    }
    let requested = optional_number(row, &fields, 7).or_else(|| optional_number(row, &fields, 4));
    let tasks = match requested {
        None => {
            row.fault(FIELDS[7], "unknown, and so are the allocated processors");
            0
        }
        Some(n) if n.fract() != 0.0 => {
            row.fault(FIELDS[7], format!("{n} is not an integer"));
            0
        }
        Some(n) => row.task_count(FIELDS[7], n as u64),
    };
    // KB per processor: the requested memory or, if unknown, the used memory.
    let memory_kb = optional_number(row, &fields, 9)
        .or_else(|| optional_number(row, &fields, 6))
        .unwrap_or(0.0);
    // The remaining fields are unused, but must be valid numbers.
    for i in [2, 5, 8, 10, 11, 12, 13, 14, 15, 16, 17] {
        optional_number(row, &fields, i);
    }
    if !row.valid {
        return;
    }
    let label =
        |prefix: &str, i: usize| (fields[i] != "-1").then(|| format!("{prefix}-{}", fields[i]));
    out(Entry {
        at_ms,
        id: id.to_string(),
        class: label("queue", 14),
        team: label("group", 12).or(label("user", 11)),
        rank: Priority::Normal,
        shape: if tasks > 1 {
            JobKind::Gang
        } else {
            JobKind::Array
        },
        tasks,
        need: Resources::request(1.0, 0.0, memory_kb / 1e6),
        run_ms: vec![(run_s.unwrap_or(0.0) * 1e3) as u64],
        constraints: Vec::new(),
        from: format!("{}:{}", row.file, row.line),
    });
}
