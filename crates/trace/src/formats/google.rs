//! Google cluster data 2011 (version 2, CSV) and 2019 (version 3, JSON lines).

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};

use lemonweir_model::Resources;
use serde::Deserialize;
use serde_json::Value;

use super::{priority_class, share, table};
use crate::csv_rows::rows;
use crate::fault::{Faults, Row, json_fault, shorten};
use crate::input;
use crate::task_lifecycle::{TaskEvent, TaskRequest, TaskTracker};
use crate::workload::{Constraint, Entry};

const TASK_EVENTS: [&str; 13] = [
    "time",
    "missing info",
    "job id",
    "task index",
    "machine id",
    "event type",
    "user",
    "scheduling class",
    "priority",
    "cpu request",
    "memory request",
    "disk space request",
    "different machines restriction",
];
const MACHINE_EVENTS: [&str; 6] = [
    "time",
    "machine id",
    "event type",
    "platform id",
    "cpus",
    "memory",
];
const TASK_CONSTRAINTS: [&str; 6] = [
    "time",
    "job id",
    "task index",
    "comparison operator",
    "attribute name",
    "attribute value",
];

/// Reads one table of the 2011 trace. The published file name tells which one.
pub fn read_2011(
    file: &str,
    input: impl BufRead,
    machine: Resources,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    match table(file, &["task_events", "machine_events", "task_constraints"]) {
        Some("task_events") => task_events(file, input, machine, faults, out),
        Some("machine_events") => rows(file, input, &MACHINE_EVENTS, faults, |row, f| {
            row.whole("time", f[0]);
            row.whole("machine id", f[1]);
            one_of(row, "event type", f[2], 2);
            for (name, text) in [("cpus", f[4]), ("memory", f[5])] {
                if !text.is_empty() {
                    part(row, name, text);
                }
            }
        }),
        Some(_) => rows(file, input, &TASK_CONSTRAINTS, faults, |row, f| {
            row.whole("time", f[0]);
            row.whole("job id", f[1]);
            row.whole("task index", f[2]);
            one_of(row, "comparison operator", f[3], 3);
        }),
        None => {
            faults.note(
                file,
                0,
                "file",
                "its name must hold task_events, machine_events or task_constraints, as published",
            );
            Ok(())
        }
    }
}

fn one_of(row: &mut Row<'_, '_>, field: &str, text: &str, most: u64) -> u64 {
    let x = row.whole(field, text);
    if x > most {
        row.fault(field, format!("{x} is none of 0 to {most}"));
    }
    x
}

/// Parses a fraction of the largest machine, 0 to 1.
fn part(row: &mut Row<'_, '_>, field: &str, text: &str) -> f64 {
    if text.trim().is_empty() {
        row.fault(field, "is missing");
        return 0.0;
    }
    let x = row.number(field, text);
    if x > 1.0 {
        row.fault(
            field,
            format!(
                "{}: a share of the largest machine can't be over 1",
                shorten(text)
            ),
        );
    }
    x
}

fn task_events(
    file: &str,
    input: impl BufRead,
    machine: Resources,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let mut tracker = TaskTracker::default();
    rows(file, input, &TASK_EVENTS, faults, |row, f| {
        let at = row.whole("time", f[0]);
        let task = (row.whole("job id", f[2]), row.whole("task index", f[3]));
        let event = match one_of(row, "event type", f[5], 8) {
            0 => TaskEvent::Submit,
            1 => TaskEvent::Start,
            2 => TaskEvent::Evict,
            3..=6 => TaskEvent::End,
            _ => TaskEvent::Update,
        };
        let class = one_of(row, "scheduling class", f[7], 3);
        let priority = one_of(row, "priority", f[8], 11);
        let asks = event == TaskEvent::Submit;
        let (cpus, memory) = if asks {
            (
                part(row, "cpu request", f[9]),
                part(row, "memory request", f[10]),
            )
        } else {
            (0.0, 0.0)
        };
        let different = Constraint {
            attribute: "machine".into(),
            op: "different machine".into(),
            value: String::new(),
        };
        let request = TaskRequest {
            need: share(machine, cpus, memory),
            // 9 and above are production and monitoring; 0 and 1 are the free tier.
            rank: priority_class(priority, 9, 4, 2),
            class: format!("class-{class}"),
            team: if f[6].is_empty() {
                "unknown".into()
            } else {
                shorten(f[6])
            },
            constraints: if f[12].trim() == "1" {
                vec![different]
            } else {
                Vec::new()
            },
        };
        if row.good {
            tracker.record(row, task, at, event, request, file, out);
        }
    })?;
    tracker.finish(file, faults, out);
    Ok(())
}

/// The fields used of both tables of the 2019 trace. Numbers may be JSON strings,
/// as in the published export.
#[derive(Deserialize)]
struct EventLine {
    time: Option<Value>,
    #[serde(rename = "type")]
    kind: Option<Value>,
    collection_id: Option<Value>,
    instance_index: Option<Value>,
    scheduling_class: Option<Value>,
    priority: Option<Value>,
    user: Option<String>,
    #[serde(default)]
    resource_request: Option<HashMap<String, Value>>,
    #[serde(default)]
    constraint: Vec<BTreeMap<String, Value>>,
}

/// Event types of the 2019 trace, indexed by their numeric codes.
const TYPES: [(&str, TaskEvent); 11] = [
    ("SUBMIT", TaskEvent::Submit),
    ("QUEUE", TaskEvent::Update),
    ("ENABLE", TaskEvent::Update),
    ("SCHEDULE", TaskEvent::Start),
    ("EVICT", TaskEvent::Evict),
    ("FAIL", TaskEvent::End),
    ("FINISH", TaskEvent::End),
    ("KILL", TaskEvent::End),
    ("LOST", TaskEvent::End),
    ("UPDATE_PENDING", TaskEvent::Update),
    ("UPDATE_RUNNING", TaskEvent::Update),
];

fn text(value: Option<&Value>) -> Option<String> {
    match value? {
        Value::String(s) => Some(s.clone()),
        Value::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

fn whole(row: &mut Row<'_, '_>, field: &str, value: Option<&Value>) -> u64 {
    match text(value) {
        Some(text) => row.whole(field, &text),
        None => {
            row.fault(field, "is missing or no number");
            0
        }
    }
}

/// Reads one table of the 2019 trace. The published file name tells which one.
pub fn read_2019(
    file: &str,
    input: impl BufRead,
    machine: Resources,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    let instances = match table(file, &["instance_events", "collection_events"]) {
        Some(name) => name == "instance_events",
        None => {
            faults.note(
                file,
                0,
                "file",
                "its name must hold instance_events or collection_events, as published",
            );
            return Ok(());
        }
    };
    let mut tracker = TaskTracker::default();
    input::rows(
        file,
        input,
        faults,
        |row, text| match serde_json::from_str::<EventLine>(text) {
            _ if text.bytes().all(|b| b.is_ascii_whitespace()) => {}
            Ok(event) => event_2019(row, &event, instances, machine, &mut tracker, file, out),
            Err(e) => row.fault("row", json_fault(&e)),
        },
    )?;
    tracker.finish(file, faults, out);
    Ok(())
}

fn event_2019(
    row: &mut Row<'_, '_>,
    e: &EventLine,
    instances: bool,
    machine: Resources,
    tracker: &mut TaskTracker,
    file: &str,
    out: &mut dyn FnMut(Entry),
) {
    let at = whole(row, "time", e.time.as_ref());
    let id = whole(row, "collection_id", e.collection_id.as_ref());
    let kind = text(e.kind.as_ref()).unwrap_or_default();
    let by_number = kind.parse::<usize>().ok().and_then(|n| TYPES.get(n));
    let Some((_, event)) = by_number.or_else(|| TYPES.iter().find(|(name, _)| *name == kind))
    else {
        return row.fault("type", format!("{:?} is no type of event", shorten(&kind)));
    };
    if !instances {
        return;
    }
    let index = whole(row, "instance_index", e.instance_index.as_ref());
    let class = whole(row, "scheduling_class", e.scheduling_class.as_ref());
    let priority = whole(row, "priority", e.priority.as_ref());
    let mut request = |name: &str| {
        let value = e.resource_request.as_ref().and_then(|r| text(r.get(name)));
        part(
            row,
            &format!("resource_request.{name}"),
            &value.unwrap_or_default(),
        )
    };
    let (cpus, memory) = if *event == TaskEvent::Submit {
        (request("cpus"), request("memory"))
    } else {
        (0.0, 0.0)
    };
    let constraint = |c: &BTreeMap<String, Value>| Constraint {
        attribute: text(c.get("name")).unwrap_or_default(),
        op: text(c.get("relation")).unwrap_or_default(),
        value: text(c.get("value")).unwrap_or_default(),
    };
    let request = TaskRequest {
        need: share(machine, cpus, memory),
        // 360 and above are monitoring, 120 and above production, below 100 the free tier.
        rank: priority_class(priority, 120, 116, 100),
        class: format!("class-{class}"),
        team: e.user.as_deref().map_or_else(|| "unknown".into(), shorten),
        constraints: e.constraint.iter().map(constraint).collect(),
    };
    if row.good {
        tracker.record(row, (id, index), at, *event, request, file, out);
    }
}
