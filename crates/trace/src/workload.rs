//! lemonweir's own workload format, version 1: JSON lines. The first line is a
//! [`Header`]; each further line is one [`Entry`], in order of submission.

use std::io::{self, BufRead, Write};
use std::path::Path;

use lemonweir_model::{JobKind, Priority, Resources};
use serde::{Deserialize, Serialize};

use crate::input::{self, Line};

/// Name of the format.
pub const FORMAT: &str = "lemonweir-workload";
/// Version of the format; files of any other version are rejected.
pub const VERSION: u32 = 1;

/// The first line of a workload file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Always [`FORMAT`].
    pub format: String,
    /// Always [`VERSION`].
    pub version: u32,
    /// Name of the trace format that the workload was imported from.
    pub source: String,
    /// Capacity of the machine that relative units of the source refer to, if given.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub machine: Option<Resources>,
}

/// A job of the workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Submission time in ms since the start of the trace.
    pub at_ms: u64,
    /// ID of the job in the source.
    pub id: String,
    /// Class of the work, if the source has one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub class: Option<String>,
    /// User or group that submitted the job, if the source has one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub team: Option<String>,
    /// Priority of the job.
    pub rank: Priority,
    /// Kind of the job: array, gang or service.
    pub shape: JobKind,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of one task, in thousandths of a CPU, a GPU and a GB.
    pub need: Resources,
    /// Run times of the tasks in ms: one value for all, or one per task. For a
    /// service, the time until it is cancelled, or empty if it runs to the end.
    pub run_ms: Vec<u64>,
    /// Constraints on the machine, as the source states them.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub constraints: Vec<Constraint>,
    /// Location in the source, as `file:line`.
    pub from: String,
}

/// A placement constraint on an attribute of the machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Constraint {
    /// Name of the attribute.
    pub attribute: String,
    /// Operator as the source writes it (such as `=` or `<`), or `different machine`.
    pub op: String,
    /// Value that the attribute is compared with; may be empty.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub value: String,
}

/// An error while reading a workload.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// Reading the file failed: its path, and the cause.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// The file is not a workload of this version, or a line is invalid: path, line number and
    /// message.
    #[error("{0}:{1}: {2}")]
    Line(String, u64, String),
}

/// Reads a workload and calls `each` with every entry, up to the first invalid line.
pub fn read(path: &Path, mut each: impl FnMut(Entry)) -> Result<Header, WorkloadError> {
    let name = path.display().to_string();
    let io = |e| WorkloadError::Io(name.clone(), e);
    let mut header: Option<Header> = None;
    let mut error: Option<(u64, String)> = None;
    let mut last_ms = 0;
    let input = input::open(path).map_err(io)?;
    input::lines(input, |number, line| {
        if error.is_some() {
            return;
        }
        let parsed = match line {
            Line::TooLong => Err("line too long".to_owned()),
            Line::Bytes(bytes) if number == 1 => serde_json::from_slice::<Header>(bytes)
                .map_err(|e| format!("header: {e}"))
                .and_then(|h| {
                    let supported = h.format == FORMAT && h.version == VERSION;
                    let message = format!(
                        "{} version {}, must be {FORMAT} version {VERSION}",
                        h.format, h.version
                    );
                    header = Some(h);
                    if supported { Ok(()) } else { Err(message) }
                }),
            Line::Bytes(bytes) => serde_json::from_slice::<Entry>(bytes)
                .map_err(|e| e.to_string())
                .and_then(|e| {
                    if e.at_ms < last_ms {
                        return Err(format!(
                            "at_ms: {} after {last_ms}: times must not decrease",
                            e.at_ms
                        ));
                    }
                    if e.tasks == 0 || !(e.run_ms.len() <= 1 || e.run_ms.len() == e.tasks as usize)
                    {
                        return Err("run_ms: must have one value, or one per task".into());
                    }
                    if e.run_ms.is_empty() && e.shape != JobKind::Service {
                        return Err("run_ms: is empty".into());
                    }
                    last_ms = e.at_ms;
                    each(e);
                    Ok(())
                }),
        };
        error = parsed.err().map(|message| (number, message));
    })
    .map_err(io)?;
    match (error, header) {
        (Some((line, message)), _) => Err(WorkloadError::Line(name, line, message)),
        (None, Some(header)) => Ok(header),
        (None, None) => Err(WorkloadError::Line(
            name,
            1,
            "header: the file is empty".into(),
        )),
    }
}

/// Writes `line` as one line of JSON.
pub fn write_line<T: Serialize>(out: &mut impl Write, line: &T) -> io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}

/// Reads entries that [`write_line`] wrote, without a header and without validation.
pub(crate) fn entries(input: impl BufRead) -> impl Iterator<Item = io::Result<Entry>> {
    input
        .lines()
        .map(|line| serde_json::from_str(&line?).map_err(io::Error::from))
}
