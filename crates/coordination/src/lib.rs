//! Decision logic of a controller, without I/O: events and the current time go in, effects
//! come out. The same code runs in the controller process and in the model tests.
//!
//! # Event flow
//!
//! 1. The process passes an event and the time of its monotonic clock to a method of
//!    [`Core`]: a worker's heartbeat ([`Core::handle_heartbeat`]), a peer's sync
//!    ([`Core::handle_sync`]), the outcome of a compare-and-swap ([`Core::cas_completed`]),
//!    a refreshed copy of the store ([`Core::cache_refreshed`]) and others.
//! 2. The method updates the state, and returns the answer if the event needs one.
//! 3. The process calls [`Core::flush`] after each event and at each tick. It does all work
//!    that is due and returns [`Effect`]s for the process to execute. The result of each
//!    effect comes back as an event.
//!
//! # State
//!
//! A controller leads its home shard and, while their home controllers are absent, other
//! shards ([`election`]). Each shard has an owner, which commands the machines ([`owner`]),
//! and a placer, which decides where the tasks of its teams run ([`placer`]). A placer uses
//! machines of all shards: it syncs with each owner, directly or through the store.
//! Reachability is determined in one place ([`links`]).

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
mod last_progress;
pub mod links;
mod machine;
mod machine_failure_detector;
mod misrouted_heartbeats;
pub mod owner;
mod peer_progress;
mod peer_sync;
pub mod placement;
pub mod placer;
mod process_stall;
mod progress_exchange;
mod provisioning;
pub mod query_admission;
pub mod rate_limit;
mod shard;
mod shard_lifecycle;
mod size_rejection;
pub mod socket_shares;
pub mod supervision;
mod team_usage;
mod worker_lease;

pub use self::core::Core;
pub use config::{Config, store_message_piece_bytes};
pub use effects::{
    Effect, HeartbeatAnswer, HeartbeatId, ProvisioningResult, ShardLease, WorkCounters,
    keys_to_reread,
};
pub use job_progress::{JobProgressReport, ProgressGap, ProgressGapReport};
pub use last_progress::MAY_RUN_UNTOLD_MS;
pub use peer_progress::{PROGRESS_MAX_AGE_MS, PULL_INTERVAL_MS};
pub use progress_exchange::ProgressMessage;
pub use shard::STORE_ROUTE_AFTER_FAILURES;

pub(crate) use shard::Shard;
