//! Supervision: services kept up without staff, and failovers on record.
//!
//! [`services`] holds, for each service of a placer's teams, how many replicas are desired,
//! how many run, since when there are fewer, and what is being done about it. The placer
//! escalates (`placer/preemption.rs`) where that did not work within its time.
//! [`failover`] holds what a new leader observes after a shard's failover, and
//! `failover_log` writes that into the ring of `lemonweir_storage::failovers`;
//! `report` shows both to operators.
//!
//! All of it is updated by what changed: nothing here walks all jobs for an event.

pub mod failover;
mod failover_log;
mod report;
pub mod services;
