//! Microsoft Philly: `cluster_job_log`, a JSON array of jobs with their attempts
//! and the GPUs of each machine. The trace has no CPU or memory figures, so tasks
//! request neither.

use std::collections::HashSet;
use std::io::{self, BufRead};

use jiff::civil::DateTime;
use jiff::tz::TimeZone;
use lemonweir_model::{JobKind, Priority, Resources};
use serde::Deserialize;

use crate::fault::{Faults, Row, describe_json_error, shorten};
use crate::input;
use crate::workload::Entry;

#[derive(Deserialize)]
struct Job {
    jobid: String,
    vc: Option<String>,
    submitted_time: Option<String>,
    #[serde(default)]
    attempts: Vec<Attempt>,
}

#[derive(Deserialize)]
struct Attempt {
    start_time: Option<String>,
    end_time: Option<String>,
    #[serde(default)]
    detail: Vec<Machine>,
}

#[derive(Deserialize)]
struct Machine {
    #[serde(default)]
    gpus: Vec<String>,
}

/// Parses a date and time without a time zone, taken as UTC, to ms since the Unix epoch.
fn parse_time(row: &mut Row<'_, '_>, field: &str, text: Option<&str>) -> Option<i64> {
    let Some(text) = text.filter(|t| !t.is_empty() && *t != "None") else {
        row.fault(field, "is missing");
        return None;
    };
    let parsed = DateTime::strptime("%Y-%m-%d %H:%M:%S", text)
        .ok()
        .and_then(|t| t.to_zoned(TimeZone::UTC).ok());
    if parsed.is_none() {
        row.fault(field, format!("{:?} is not a valid time", shorten(text)));
    }
    parsed.map(|t| t.timestamp().as_millisecond())
}

/// Reads a job log. Times are relative to the submission of the first valid job.
pub fn read(
    file: &str,
    input: impl BufRead,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let mut seen_ids = HashSet::new();
    let mut origin_ms: Option<i64> = None;
    input::objects(input, |line, bytes, complete| {
        let mut row = Row::new(file, line, faults);
        if !complete {
            return row.fault("row", "truncated, or not a JSON array of jobs");
        }
        if std::str::from_utf8(bytes).is_err() {
            return row.fault("row", "invalid UTF-8");
        }
        match serde_json::from_slice::<Job>(bytes) {
            Ok(job) => read_job(&mut row, job, &mut seen_ids, &mut origin_ms, out),
            Err(e) => row.fault("row", describe_json_error(&e)),
        }
    })
}

fn read_job(
    row: &mut Row<'_, '_>,
    job: Job,
    seen_ids: &mut HashSet<String>,
    origin_ms: &mut Option<i64>,
    out: &mut dyn FnMut(Entry),
) {
    if !seen_ids.insert(job.jobid.clone()) {
        row.fault("jobid", format!("duplicate {}", shorten(&job.jobid)));
    }
    let submitted = parse_time(row, "submitted_time", job.submitted_time.as_deref());
    let Some(last) = job.attempts.last() else {
        return row.fault("attempts", "empty: the job never ran");
    };
    let (mut run_ms, mut previous_end) = (0, submitted);
    for attempt in &job.attempts {
        let start = parse_time(row, "attempts.start_time", attempt.start_time.as_deref());
        let end = parse_time(row, "attempts.end_time", attempt.end_time.as_deref());
        if start.is_some_and(|s| previous_end.is_some_and(|p| s < p)) {
            row.fault(
                "attempts.start_time",
                "is before the submission or the end of the previous attempt",
            );
        }
        match (start, end) {
            (Some(start), Some(end)) if end < start => {
                row.fault("attempts.end_time", "is before the attempt's start_time");
            }
            (Some(start), Some(end)) => run_ms = (end - start) as u64,
            _ => {}
        }
        previous_end = end;
    }
    // One task per machine of the last attempt. The tasks of a job have equal
    // requests, so where machines differ all tasks get the largest number of GPUs.
    let gpus = last.detail.iter().map(|m| m.gpus.len()).max().unwrap_or(0);
    let tasks = row.task_count("attempts.detail", last.detail.len() as u64);
    let Some(at) = submitted.filter(|_| row.valid) else {
        return;
    };
    let origin = *origin_ms.get_or_insert(at);
    if at < origin {
        return row.fault("submitted_time", "is before that of the first job");
    }
    out(Entry {
        at_ms: (at - origin) as u64,
        id: job.jobid,
        class: Some("train".into()),
        team: job.vc,
        rank: Priority::Normal,
        shape: if tasks > 1 {
            JobKind::Gang
        } else {
            JobKind::Array
        },
        tasks,
        need: Resources::request(0.0, gpus as f64, 0.0),
        run_ms: vec![run_ms],
        constraints: Vec::new(),
        from: format!("{}:{}", row.file, row.line),
    });
}
