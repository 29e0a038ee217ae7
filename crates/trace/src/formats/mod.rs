//! Readers of the supported formats. Each follows the format's published
//! description, which `docs/traces.md` names.

mod alibaba;
mod google;
mod philly;
mod swf;

use std::io::{self, BufRead};

use lemonweir_model::{Priority, Resources};

use crate::fault::Faults;
use crate::format::Format;
use crate::workload::Entry;

/// Reads one file of `format` and passes its jobs to `out`.
pub fn read(
    format: Format,
    file: &str,
    input: impl BufRead,
    machine: Resources,
    faults: &mut Faults<'_>,
    out: &mut dyn FnMut(Entry),
) -> io::Result<()> {
    match format {
        Format::Swf => swf::read(file, input, faults, out),
        Format::Google2011 => google::read_2011(file, input, machine, faults, out),
        Format::Google2019 => google::read_2019(file, input, machine, faults, out),
        Format::Alibaba2018 => alibaba::read_2018(file, input, machine, faults, out),
        Format::Pai2020 => alibaba::read_pai(file, input, faults, out),
        Format::Philly => philly::read(file, input, faults, out),
    }
}

/// Returns the table that a file holds: the first of `tables` that occurs in the file's name.
fn table<'a>(file: &str, tables: &[&'a str]) -> Option<&'a str> {
    let name = file.rsplit(['/', '\\']).next().unwrap_or(file);
    tables.iter().find(|t| name.contains(**t)).copied()
}

/// Converts fractions of a machine to absolute resources, rounded up.
fn fraction_of(machine: Resources, cpus: f64, memory: f64) -> Resources {
    let scale = |total: u64, fraction: f64| (total as f64 * fraction).ceil() as u64;
    Resources {
        milli_cpus: scale(machine.milli_cpus, cpus),
        milli_gpus: 0,
        memory_mb: scale(machine.memory_mb, memory),
    }
}

/// Maps a source's priority by the lowest values of the production, high and normal classes.
fn priority_class(priority: u64, production: u64, high: u64, normal: u64) -> Priority {
    match priority {
        p if p >= production => Priority::Production,
        p if p >= high => Priority::High,
        p if p >= normal => Priority::Normal,
        _ => Priority::Low,
    }
}
