//! Supervision of services without operator intervention, and records of failovers.
//!
//! [`services`] tracks, for each service of a placer's teams, the desired and running replicas,
//! since when replicas are missing, and the recovery activity. If the recovery takes too long, the
//! placer escalates (`placer/escalation.rs`). [`failover`] collects what a new leader
//! observes after a shard's failover, and `failover_log` writes it into the ring buffer of
//! `lemonweir_storage::failovers`; `report` shows both to operators.
//!
//! Updates are incremental: no event causes a scan of all jobs.

pub mod failover;
mod failover_log;
mod report;
pub mod services;
