//! Decisions. Events and the time go in, effects come out; nothing here does
//! I/O, so the same code runs in the process and in the model tests.
//!
//! # The way of an event
//!
//! 1. The process hands an event with the time of its steady clock to a method of
//!    [`Core`]: a worker's heartbeat ([`Core::handle_heartbeat`]), a peer's sync
//!    ([`Core::handle_sync`]), the end of a compare-and-swap ([`Core::cas_completed`]),
//!    a newer copy of the store ([`Core::cache_refreshed`]) and others.
//! 2. The method changes state and answers at once where an answer is due.
//! 3. [`Core::flush`] follows after each event and at each tick. It does all that is due
//!    by now and returns [`Effect`]s, which the process executes. The result of
//!    each comes back as an event.
//!
//! # State
//!
//! A controller leads its home shard and, while their homes are away, others'
//! ([`election`]). Each shard has an owner's side, which commands the machines
//! ([`owner`]), and a placer's side, which decides where the tasks of its teams run
//! ([`placer`]). A placer uses machines of all shards: it syncs with each owner, directly
//! or through the store. What may be reached is judged in one place ([`links`]).

pub mod autoscaler;
mod boot_time;
pub mod change_log;
mod config;
mod core;
pub mod dependencies;
mod effects;
pub mod election;
pub mod fault_attribution;
mod flush;
pub mod gang_admission;
mod heartbeats;
pub mod image_locality;
mod incarnation;
mod job;
mod job_progress;
pub mod job_status;
pub mod links;
mod machine;
mod machine_failure_detector;
mod misrouted_heartbeats;
pub mod owner;
mod peer_sync;
pub mod placement;
pub mod placer;
mod process_stall;
mod provisioning;
pub mod query_admission;
pub mod rate_limit;
mod shard;
mod shard_lifecycle;
pub mod socket_shares;
pub mod supervision;
mod team_usage;
mod worker_lease;

pub use self::core::Core;
pub use config::{Config, store_message_piece_bytes};
pub use effects::{
    Effect, HeartbeatAnswer, ProvisioningResult, ShardLease, WorkCounters, keys_to_reread,
};
pub use job_progress::JobProgressReport;
pub use shard::STORE_ROUTE_AFTER_FAILURES;

pub(crate) use shard::Shard;
