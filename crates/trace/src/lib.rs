//! Readers of published cluster trace formats, and the workload format that
//! all of them become.
//!
//! Every reader streams: it holds what is under way, never a whole file. What
//! is wrong with a row is one [`Fault`] with file, line and field, and nothing
//! is left out without one. `docs/traces.md` says how each format is read.

pub mod csv_rows;
pub mod fault;
mod formats;
pub mod import;
pub mod input;
mod life;
mod sort;
pub mod workload;

pub use fault::{Fault, Faults};
pub use import::{Format, Imported, Machine, OnFault, check, import};
