//! Google cluster data 2011 (version 2, CSV) and 2019 (version 3, JSON lines).

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead};

use lemonweir_model::Resources;
use serde::Deserialize;
use serde_json::Value;

use super::{fraction_of, priority_class, table};
use crate::csv_rows::rows;
use crate::fault::{Faults, Row, describe_json_error, shorten};
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
            row.integer("time", f[0]);
            row.integer("machine id", f[1]);
            integer_up_to(row, "event type", f[2], 2);
            for (name, text) in [("cpus", f[4]), ("memory", f[5])] {
                if !text.is_empty() {
                    machine_fraction(row, name, text);
                }
            }
        }),
        Some(_) => rows(file, input, &TASK_CONSTRAINTS, faults, |row, f| {
            row.integer("time", f[0]);
            row.integer("job id", f[1]);
            row.integer("task index", f[2]);
            integer_up_to(row, "comparison operator", f[3], 3);
        }),
        None => {
            faults.report(
                file,
                0,
                "file",
                "the name must contain task_events, machine_events or task_constraints",
            );
            Ok(())
        }
    }
}

fn integer_up_to(row: &mut Row<'_, '_>, field: &str, text: &str, max: u64) -> u64 {
    let x = row.integer(field, text);
    if x > max {
        row.fault(field, format!("{x} is not in 0 to {max}"));
    }
    x
}

/// Parses a fraction of the largest machine, 0 to 1.
fn machine_fraction(row: &mut Row<'_, '_>, field: &str, text: &str) -> f64 {
    if text.trim().is_empty() {
        row.fault(field, "is missing");
        return 0.0;
    }
    let x = row.number(field, text);
    if x > 1.0 {
        row.fault(
            field,
            format!(
                "{}: a fraction of the largest machine can't exceed 1",
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
        let at = row.integer("time", f[0]);
        let task = (row.integer("job id", f[2]), row.integer("task index", f[3]));
        let event = match integer_up_to(row, "event type", f[5], 8) {
            0 => TaskEvent::Submit,
            1 => TaskEvent::Start,
            2 => TaskEvent::Evict,
            3..=6 => TaskEvent::End,
            _ => TaskEvent::Update,
        };
        let class = integer_up_to(row, "scheduling class", f[7], 3);
        let priority = integer_up_to(row, "priority", f[8], 11);
        let is_submission = event == TaskEvent::Submit;
        let (cpus, memory) = if is_submission {
            (
                machine_fraction(row, "cpu request", f[9]),
                machine_fraction(row, "memory request", f[10]),
            )
        } else {
            (0.0, 0.0)
        };
        let different_machine = Constraint {
            attribute: "machine".into(),
            op: "different machine".into(),
            value: String::new(),
        };
        let request = TaskRequest {
            resources: fraction_of(machine, cpus, memory),
            // 9 and above are production and monitoring; 0 and 1 are the free tier.
            priority: priority_class(priority, 9, 4, 2),
            class: format!("class-{class}"),
            team: if f[6].is_empty() {
                "unknown".into()
            } else {
                shorten(f[6])
            },
            constraints: if f[12].trim() == "1" {
                vec![different_machine]
            } else {
                Vec::new()
            },
        };
        if row.valid {
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
const EVENT_TYPES: [(&str, TaskEvent); 11] = [
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

fn scalar_text(value: Option<&Value>) -> Option<String> {
    match value? {
        Value::String(s) => Some(s.clone()),
        Value::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

fn json_integer(row: &mut Row<'_, '_>, field: &str, value: Option<&Value>) -> u64 {
    match scalar_text(value) {
        Some(text) => row.integer(field, &text),
        None => {
            row.fault(field, "is missing or not a number");
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
    let is_instance_table = match table(file, &["instance_events", "collection_events"]) {
        Some(name) => name == "instance_events",
        None => {
            faults.report(
                file,
                0,
                "file",
                "the name must contain instance_events or collection_events",
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
            Ok(event) => record_event_2019(
                row,
                &event,
                is_instance_table,
                machine,
                &mut tracker,
                file,
                out,
            ),
            Err(e) => row.fault("row", describe_json_error(&e)),
        },
    )?;
    tracker.finish(file, faults, out);
    Ok(())
}

fn record_event_2019(
    row: &mut Row<'_, '_>,
    e: &EventLine,
    is_instance_table: bool,
    machine: Resources,
    tracker: &mut TaskTracker,
    file: &str,
    out: &mut dyn FnMut(Entry),
) {
    let at = json_integer(row, "time", e.time.as_ref());
    let id = json_integer(row, "collection_id", e.collection_id.as_ref());
    let kind = scalar_text(e.kind.as_ref()).unwrap_or_default();
    let by_number = kind.parse::<usize>().ok().and_then(|n| EVENT_TYPES.get(n));
    let Some((_, event)) = by_number.or_else(|| EVENT_TYPES.iter().find(|(name, _)| *name == kind))
    else {
        return row.fault("type", format!("{:?} is not an event type", shorten(&kind)));
    };
    if !is_instance_table {
        return;
    }
    let index = json_integer(row, "instance_index", e.instance_index.as_ref());
    let class = json_integer(row, "scheduling_class", e.scheduling_class.as_ref());
    let priority = json_integer(row, "priority", e.priority.as_ref());
    let mut requested = |name: &str| {
        let value = e
            .resource_request
            .as_ref()
            .and_then(|r| scalar_text(r.get(name)));
        machine_fraction(
            row,
            &format!("resource_request.{name}"),
            &value.unwrap_or_default(),
        )
    };
    let (cpus, memory) = if *event == TaskEvent::Submit {
        (requested("cpus"), requested("memory"))
    } else {
        (0.0, 0.0)
    };
    let parse_constraint = |c: &BTreeMap<String, Value>| Constraint {
        attribute: scalar_text(c.get("name")).unwrap_or_default(),
        op: scalar_text(c.get("relation")).unwrap_or_default(),
        value: scalar_text(c.get("value")).unwrap_or_default(),
    };
    let request = TaskRequest {
        resources: fraction_of(machine, cpus, memory),
        // 360 and above are monitoring, 120 and above production, below 100 the free tier.
        priority: priority_class(priority, 120, 116, 100),
        class: format!("class-{class}"),
        team: e.user.as_deref().map_or_else(|| "unknown".into(), shorten),
        constraints: e.constraint.iter().map(parse_constraint).collect(),
    };
    if row.valid {
        tracker.record(row, (id, index), at, *event, request, file, out);
    }
}
