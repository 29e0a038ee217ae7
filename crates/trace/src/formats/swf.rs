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
    let mut seen = RoaringTreemap::new();
    let mut last = 0;
    input::rows(file, input, faults, |row, text| {
        let text = text.trim();
        if !text.is_empty() && !text.starts_with(';') {
            job(row, text, &mut seen, &mut last, out);
        }
    })
}

/// Parses field `i`; `None` if its value is unknown.
fn known(row: &mut Row<'_, '_>, fields: &[&str], i: usize) -> Option<f64> {
    if fields[i] == "-1" {
        None
    } else {
        Some(row.number(FIELDS[i], fields[i]))
    }
}

fn job(
    row: &mut Row<'_, '_>,
    text: &str,
    seen: &mut RoaringTreemap,
    last: &mut u64,
    out: &mut dyn FnMut(Entry),
) {
    let fields: Vec<&str> = text.split_ascii_whitespace().collect();
    if fields.len() != FIELDS.len() {
        return row.fault(
            "row",
            format!("{} fields, must be {}", fields.len(), FIELDS.len()),
        );
    }
    let id = row.whole(FIELDS[0], fields[0]);
    if row.good && !seen.insert(id) {
        row.fault(FIELDS[0], format!("{id} is there twice"));
    }
    let at_ms = (row.number(FIELDS[1], fields[1]) * 1e3) as u64;
    if at_ms < *last {
        row.fault(
            FIELDS[1],
            format!("{} after {}: time goes back", at_ms / 1_000, *last / 1_000),
        );
    }
    *last = (*last).max(at_ms);
    let run = known(row, &fields, 3);
    if run.is_none() {
        row.fault(FIELDS[3], "unknown: the job has no end");
    }
    let requested = known(row, &fields, 7).or_else(|| known(row, &fields, 4));
    let tasks = match requested {
        None => {
            row.fault(FIELDS[7], "unknown, as is how many were allocated");
            0
        }
        Some(n) if n.fract() != 0.0 => {
            row.fault(FIELDS[7], format!("{n} is not a whole number"));
            0
        }
        Some(n) => row.tasks(FIELDS[7], n as u64),
    };
    // In KB per processor.
    let memory_kb = known(row, &fields, 9)
        .or_else(|| known(row, &fields, 6))
        .unwrap_or(0.0);
    // The remaining fields are unused, but must be valid numbers.
    for i in [2, 5, 8, 10, 11, 12, 13, 14, 15, 16, 17] {
        known(row, &fields, i);
    }
    if !row.good {
        return;
    }
    let name = |what: &str, i: usize| (fields[i] != "-1").then(|| format!("{what}-{}", fields[i]));
    out(Entry {
        at_ms,
        id: id.to_string(),
        class: name("queue", 14),
        team: name("group", 12).or(name("user", 11)),
        rank: Priority::Normal,
        shape: if tasks > 1 {
            JobKind::Gang
        } else {
            JobKind::Array
        },
        tasks,
        need: Resources::request(1.0, 0.0, memory_kb / 1e6),
        run_ms: vec![(run.unwrap_or(0.0) * 1e3) as u64],
        constraints: Vec::new(),
        from: format!("{}:{}", row.file, row.line),
    });
}
