//! lemonweir's own workload format, version 1: JSON lines, the first a
//! [`Header`], then one [`Entry`] a job in the order of submission.

use std::io::{self, BufRead, Write};
use std::path::Path;

use lemonweir_model::{JobKind, Priority, Resources};
use serde::{Deserialize, Serialize};

use crate::input::{self, Line};

/// Name of the format.
pub const FORMAT: &str = "lemonweir-workload";
/// Its version; a file of another is refused.
pub const VERSION: u32 = 1;

/// The first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: String,
    /// [`VERSION`].
    pub version: u32,
    /// The format that it was read from.
    pub source: String,
    /// The stated size of the source's machine, if its units need one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub machine: Option<Resources>,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of its submission, ms from the trace's own zero.
    pub at_ms: u64,
    /// Its id in the source.
    pub id: String,
    /// What kind of work it is, if the source says.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub class: Option<String>,
    /// Who submitted it, if the source says.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub team: Option<String>,
    /// Priority.
    pub rank: Priority,
    /// Array, gang or service.
    pub shape: JobKind,
    /// Tasks.
    pub tasks: u32,
    /// What a task takes, in thousandths of a processor, an accelerator, a GB.
    pub need: Resources,
    /// Run time of its tasks, ms: one for all, or one for each. Of a service:
    /// how long until it is withdrawn; empty: to the end.
    pub run_ms: Vec<u64>,
    /// What its machine must be like, as the source says it.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub constraints: Vec<Constraint>,
    /// Where it came from: `file:line`.
    pub from: String,
}

/// A constraint on an attribute of the machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Constraint {
    /// The attribute.
    pub attribute: String,
    /// `=`, `!=`, `<`, `>`, or `different machine`.
    pub op: String,
    /// What it is compared with.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub value: String,
}

/// Why a workload could not be read.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Io(String, io::Error),
    /// It is no workload of this version, or a line is not as it must be.
    #[error("{0}:{1}: {2}")]
    Line(String, u64, String),
}

/// Reads a workload, calling `each` with every entry.
pub fn read(path: &Path, mut each: impl FnMut(Entry)) -> Result<Header, WorkloadError> {
    let name = path.display().to_string();
    let io = |e| WorkloadError::Io(name.clone(), e);
    let mut header: Option<Header> = None;
    let mut fault: Option<(u64, String)> = None;
    let mut last = 0;
    let input = input::open(path).map_err(io)?;
    input::lines(input, |number, line| {
        if fault.is_some() {
            return;
        }
        let taken = match line {
            Line::TooLong => Err("line too long".to_owned()),
            Line::Bytes(bytes) if number == 1 => serde_json::from_slice::<Header>(bytes)
                .map_err(|e| format!("header: {e}"))
                .and_then(|h| {
                    let good = h.format == FORMAT && h.version == VERSION;
                    let what = format!(
                        "{} version {}, must be {FORMAT} version {VERSION}",
                        h.format, h.version
                    );
                    header = Some(h);
                    if good { Ok(()) } else { Err(what) }
                }),
            Line::Bytes(bytes) => serde_json::from_slice::<Entry>(bytes)
                .map_err(|e| e.to_string())
                .and_then(|e| {
                    if e.at_ms < last {
                        return Err(format!("at_ms: {} after {last}: time goes back", e.at_ms));
                    }
                    if e.tasks == 0 || !(e.run_ms.len() <= 1 || e.run_ms.len() == e.tasks as usize)
                    {
                        return Err("run_ms: must be one time, or one for each task".into());
                    }
                    if e.run_ms.is_empty() && e.shape != JobKind::Service {
                        return Err("run_ms: is empty".into());
                    }
                    last = e.at_ms;
                    each(e);
                    Ok(())
                }),
        };
        fault = taken.err().map(|what| (number, what));
    })
    .map_err(io)?;
    match (fault, header) {
        (Some((line, what)), _) => Err(WorkloadError::Line(name, line, what)),
        (None, Some(header)) => Ok(header),
        (None, None) => Err(WorkloadError::Line(
            name,
            1,
            "header: the file is empty".into(),
        )),
    }
}

/// Writes a line.
pub fn write_line<T: Serialize>(out: &mut impl Write, line: &T) -> io::Result<()> {
    serde_json::to_writer(&mut *out, line)?;
    out.write_all(b"\n")
}

/// Reads entries from lines that this crate wrote itself.
pub(crate) fn entries(input: impl BufRead) -> impl Iterator<Item = io::Result<Entry>> {
    input
        .lines()
        .map(|line| serde_json::from_str(&line?).map_err(io::Error::from))
}
