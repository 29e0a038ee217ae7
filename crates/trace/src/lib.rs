//! Readers of published cluster trace formats, and the workload format that
//! they are converted to.
//!
//! Readers stream: they hold the tasks of unfinished jobs and the IDs already seen,
//! never a whole file. Each problem in a row is reported as a [`Fault`] with file,
//! line and field; no row is dropped without one. `docs/traces.md` describes how
//! each format is read.

pub mod csv_rows;
pub mod fault;
mod format;
mod formats;
pub mod import;
pub mod input;
mod sort;
mod task_lifecycle;
pub mod workload;

pub use fault::{Fault, Faults};
pub use format::Format;
pub use import::{Imported, MachineCapacity, OnFault, check, import};
