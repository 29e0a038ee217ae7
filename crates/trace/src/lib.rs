//! Readers of published cluster trace formats, and the workload format that
//! all of them become.
//!
//! Every reader streams: it holds the tasks in progress, never a whole file. What
//! is wrong with a row is one [`Fault`] with file, line and field, and nothing
//! is left out without one. `docs/traces.md` says how each format is read.

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
pub use import::{Imported, Machine, OnFault, check, import};
