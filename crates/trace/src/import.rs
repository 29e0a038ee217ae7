//! Checking and importing files of a published format.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

use lemonweir_model::Resources;

use crate::fault::{Fault, Faults};
use crate::formats;
use crate::sort::Sorter;
use crate::workload::{Entry, FORMAT, Header, VERSION, write_line};

/// The formats that are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Standard Workload Format.
    Swf,
    /// Google cluster data 2011, version 2.
    Google2011,
    /// Google cluster data 2019, version 3.
    Google2019,
    /// Alibaba cluster trace 2018.
    Alibaba2018,
    /// Alibaba PAI 2020, with shares of accelerators.
    Pai2020,
    /// Microsoft Philly.
    Philly,
}

impl Format {
    /// All of them, with the names that the command line uses.
    pub const ALL: [(&'static str, Format); 6] = [
        ("swf", Format::Swf),
        ("google-2011", Format::Google2011),
        ("google-2019", Format::Google2019),
        ("alibaba-2018", Format::Alibaba2018),
        ("pai-2020", Format::Pai2020),
        ("philly", Format::Philly),
    ];

    /// Its name.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(_, f)| *f == self)
            .map_or("", |(name, _)| name)
    }

    /// What its units mean nothing without, if anything.
    fn normalized(self) -> Option<&'static str> {
        match self {
            Format::Google2011 | Format::Google2019 => {
                Some("processors and memory are shares of the largest machine")
            }
            Format::Alibaba2018 => Some("memory is a percentage of a machine's"),
            Format::Swf | Format::Pai2020 | Format::Philly => None,
        }
    }
}

/// The stated size of a trace's machine, for units that are shares of it.
pub type Machine = Resources;

/// What becomes of the rows when some are faulty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFault {
    /// Nothing is written.
    Stop,
    /// The faulty rows are left out.
    Drop,
}

/// What was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Imported {
    /// Jobs.
    pub jobs: u64,
    /// Faults.
    pub faults: u64,
}

/// Why a file could not be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{0}: {1}")]
pub struct ImportError(String, io::Error);

fn each(
    format: Format,
    files: &[PathBuf],
    machine: Option<Machine>,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> Result<(), ImportError> {
    let first = files
        .first()
        .map(|f| f.display().to_string())
        .unwrap_or_default();
    let size = match (machine, format.normalized()) {
        (Some(size), _) => size,
        (None, None) => Resources::default(),
        (None, Some(why)) => {
            faults.note(
                &first,
                0,
                "unit",
                format!("{why}: state the machine's size with --machine"),
            );
            // The rest is checked all the same.
            Resources::capacity(1.0, 1.0, 1.0)
        }
    };
    for path in files {
        let name = path.display().to_string();
        let read = crate::input::open(path)
            .and_then(|input| formats::read(format, &name, input, size, faults, out));
        read.map_err(|e| ImportError(name, e))?;
    }
    Ok(())
}

/// Checks files; every fault goes to `tell`. Returns what an import would give.
pub fn check(
    format: Format,
    files: &[PathBuf],
    machine: Option<Machine>,
    tell: &mut dyn FnMut(&Fault),
) -> Result<Imported, ImportError> {
    let mut faults = Faults::new(tell);
    let mut jobs = 0;
    each(format, files, machine, &mut faults, &mut |_| jobs += 1)?;
    Ok(Imported {
        jobs,
        faults: faults.count,
    })
}

/// Imports files into a workload at `to`, which appears only once it is whole.
/// With [`OnFault::Stop`] and a fault, nothing is written.
pub fn import(
    format: Format,
    files: &[PathBuf],
    machine: Option<Machine>,
    on_fault: OnFault,
    to: &Path,
    tell: &mut dyn FnMut(&Fault),
) -> Result<Imported, ImportError> {
    let mut faults = Faults::new(tell);
    let mut sorter = Sorter::default();
    let mut failed: Option<io::Error> = None;
    each(format, files, machine, &mut faults, &mut |entry| {
        if failed.is_none() {
            failed = sorter.push(entry).err();
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
    let dir = to
        .parent()
        .filter(|d| !d.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let write = || {
        if let Some(e) = failed {
            return Err(e);
        }
        let file = tempfile::NamedTempFile::new_in(dir)?;
        let mut out = BufWriter::new(file);
        write_line(&mut out, &header)?;
        sorter.write(&mut out)?;
        out.flush()?;
        let file = out.into_inner().map_err(|e| e.into_error())?;
        file.persist(to).map_err(|e| e.error)?;
        Ok(())
    };
    write().map_err(|e: io::Error| ImportError(to.display().to_string(), e))?;
    Ok(result)
}
