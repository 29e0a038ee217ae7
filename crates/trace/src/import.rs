//! Checks trace files of a published format and imports them into a workload.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use lemonweir_model::Resources;

use crate::fault::{Fault, Faults};
use crate::format::Format;
use crate::formats;
use crate::sort::Sorter;
use crate::workload::{Entry, FORMAT, Header, VERSION, write_line};

/// Capacity of the machine that relative units of a trace refer to.
pub type MachineCapacity = Resources;

/// What an import does when rows are faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFault {
    /// Write nothing.
    Stop,
    /// Leave out the faulty rows.
    Drop,
}

/// Counts of a check or an import.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Imported {
    /// Number of valid jobs read.
    pub jobs: u64,
    /// Number of faults found.
    pub faults: u64,
}

/// A file that could not be read or written: its path, and the cause.
#[derive(Debug, thiserror::Error)]
#[error("{0}: {1}")]
pub struct ImportError(String, io::Error);

fn read_files(
    format: Format,
    files: &[PathBuf],
    machine: Option<MachineCapacity>,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> Result<(), ImportError> {
    let first = files
        .first()
        .map(|f| f.display().to_string())
        .unwrap_or_default();
    let capacity = match (machine, format.relative_units()) {
        (Some(capacity), _) => capacity,
        (None, None) => Resources::default(),
        (None, Some(units)) => {
            faults.report(
                &first,
                0,
                "unit",
                format!("{units}: pass the machine's capacity with --machine"),
            );
            // Any capacity will do to check the remaining fields.
            Resources::capacity(1.0, 1.0, 1.0)
        }
    };
    for path in files {
        let name = path.display().to_string();
        let read = crate::input::open(path)
            .and_then(|input| formats::read(format, &name, input, capacity, faults, out));
        read.map_err(|e| ImportError(name, e))?;
    }
    Ok(())
}

/// Checks files and passes every fault to `on_each_fault`. Returns the number of valid jobs and
/// of faults.
///
/// # Errors
/// Returns an error if a file can't be read.
pub fn check(
    format: Format,
    files: &[PathBuf],
    machine: Option<MachineCapacity>,
    on_each_fault: &mut dyn FnMut(&Fault),
) -> Result<Imported, ImportError> {
    let mut faults = Faults::new(on_each_fault);
    let mut jobs = 0;
    read_files(format, files, machine, &mut faults, &mut |_| jobs += 1)?;
    Ok(Imported {
        jobs,
        faults: faults.count,
    })
}

/// Imports files into a workload at `to`, which is created only once it is complete.
/// With [`OnFault::Stop`], nothing is written if there is any fault.
///
/// # Errors
/// Returns an error if a file can't be read or the workload can't be written.
pub fn import(
    format: Format,
    files: &[PathBuf],
    machine: Option<MachineCapacity>,
    on_fault: OnFault,
    to: &Path,
    on_each_fault: &mut dyn FnMut(&Fault),
) -> Result<Imported, ImportError> {
    let mut faults = Faults::new(on_each_fault);
    let mut sorter = Sorter::default();
    let mut sort_error: Option<io::Error> = None;
    read_files(format, files, machine, &mut faults, &mut |entry| {
        if sort_error.is_none() {
            sort_error = sorter.push(entry).err();
        }
    })?;
    let result = Imported {
        jobs: sorter.count,
        faults: faults.count,
    };
    if result.faults > 0 && on_fault == OnFault::Stop {
        return Ok(result);
    }
    let header = Header {
        format: FORMAT.into(),
        version: VERSION,
        source: format.name().into(),
        machine,
    };
    let written = match sort_error {
        Some(error) => Err(error),
        None => write_workload(to, &header, sorter),
    };
    written.map_err(|e| ImportError(to.display().to_string(), e))?;
    Ok(result)
}

/// Writes a workload to a temporary file in the same directory and renames it to `to`.
fn write_workload(to: &Path, header: &Header, sorter: Sorter) -> io::Result<()> {
    let dir = to
        .parent()
        .filter(|dir| !dir.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let file = tempfile::NamedTempFile::new_in(dir)?;
    let mut out = BufWriter::new(file);
    write_line(&mut out, header)?;
    sorter.write(&mut out)?;
    out.flush()?;
    let file = out
        .into_inner()
        .map_err(std::io::IntoInnerError::into_error)?;
    file.persist(to).map_err(|e| e.error)?;
    Ok(())
}
