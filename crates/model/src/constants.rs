//! Constants that several packages share, with their units and reasons. A constant
//! that one module decides by stands in that module.
//!
//! Facts about a deployment are not here: they come from the settings file and
//! from the cloud's catalog.

// ---- protocol limits -------------------------------------------------------

/// Bytes a request body may hold (protocol page).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a response that we read at most. Watches have no limit of their
/// own, so this guards only against a runaway peer.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Headers of a request or response; enough for any ordinary client.
pub const MAX_HEADERS: usize = 48;
/// Tasks a job may have (protocol page).
pub const MAX_TASKS: u64 = 100_000;
/// Machines a rental request may ask for (protocol page).
pub const MAX_INSTANCES_PER_REQUEST: u32 = 50;

// ---- connections -----------------------------------------------------------

/// ms to wait for a connection; within a zone one takes a few.
pub const CONNECT_MS: u64 = 1_000;

// ---- shards -----------------------------------------------------------------

/// ms that a store lease lives without renewal. Longer than a restart takes (3 to 5 s
/// and loading), so that a node takes its own shard back and nothing moves; no
/// longer, since a shard whose leader is gone waits for it.
pub const STORE_LEASE_TTL_MS: u64 = 7_000;
/// ms between renewals: four unanswered ones may come before the store lease ends, and a
/// lease that outlives its leader does so by 6 to 7 s.
pub const STORE_LEASE_RENEWAL_MS: u64 = 1_000;
/// Bits of a machine token below the shard's fencing token: whether it holds a promise
/// (the highest), when the reading of the store began that it rests on, and the
/// machine's own call counter. Revisions stay below 2^36, which takes ten years
/// at 200 changes a second.
pub const MACHINE_TOKEN_BITS: u32 = 28;
/// ms for which any owner answers heartbeats without answer of the store, at most:
/// `blind_s` of the policy can't be longer, since a successor that can't hear
/// the machines infers their end from it whatever its own policy says. Longer
/// than cuts seen so far (30 to 52 s); each second of it is one that work
/// behind a lost zone waits to begin anew.
pub const MAX_STORE_OUTAGE_GRACE_MS: u64 = 60_000;

// ---- peers -----------------------------------------------------------------

/// ms between two refreshes of a copy of another shard (design page).
pub const SHARD_VIEW_REFRESH_MS: u64 = 2_000;
/// ms after which an unanswered direct sync is given up.
pub const SYNC_TIMEOUT_MS: u64 = 1_500;
/// Version of the format between controllers.
pub const PEER_VERSION: u8 = 3;
/// Bytes that the naming of an attempt or a machine takes in a message.
pub const ENCODED_ATTEMPT_BYTES: usize = 40;

// ---- links -----------------------------------------------------------------

/// ms for which heartbeats to one owner are gathered into one message.
pub const HEARTBEAT_BATCH_MS: u64 = 20;
/// ms that a heartbeat may take to its owner and back: less than the 4 s that its
/// worker waits (protocol page).
pub const RELAYED_HEARTBEAT_TIMEOUT_MS: u64 = 2_500;
/// ms for which most of a shard's machines are relayed before the shard is given
/// to a controller that they reach. Giving it up costs its teams some seconds
/// without starts, twice; relaying costs each heartbeat a second message. Cuts
/// seen so far (30 to 52 s) end before.
pub const RELAYED_SHARD_TIMEOUT_MS: u64 = 90_000;

// ---- workers ---------------------------------------------------------------

/// ms after which an unanswered `/commands` is given up.
pub const COMMAND_TIMEOUT_MS: u64 = 2_500;

// ---- store -----------------------------------------------------------------

/// Dependencies in one record: with ids of 24 bytes they take half of a value of 2 KiB,
/// which leaves room for the job itself.
pub const DEPENDENCIES_PER_PAGE: usize = 40;

/// ms after which an unanswered store request is given up.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// ms without answer of the store after which a node leaves users to those who
/// have it: two of its timeouts, and less than a user's patience.
pub const UNREADY_AFTER_STORE_SILENCE_MS: u64 = 2_000;
/// ms between two refreshes of the job table while polls wait for one.
pub const CACHE_REFRESH_BUSY_MS: u64 = 60;
/// ms between two refreshes when nobody waits: bounds how late a new job or a
/// cancellation is seen by the shard that has to act on it.
pub const CACHE_REFRESH_IDLE_MS: u64 = 200;
/// Share of the store's request budget left to other nodes' bursts, percent.
pub const STORE_BUDGET_PERCENT: u64 = 90;
/// Bytes of task records in one transaction: below the 64 KiB that it may
/// hold, with room for conditions.
pub const MAX_CAS_BYTES: usize = 40_000;
/// Tasks in one chunk of a job's task record: a full chunk of live attempts
/// stays well below the smallest value size that the settings allow.
pub const TASKS_PER_CHUNK: u32 = 64;
/// Version of the records from which on task records are written packed.
pub const PACKED_RECORD_VERSION: u32 = 1;
/// Conditions of a transaction for each of its changes (protocol page).
pub const CONDITIONS_PER_CHANGE: usize = 4;
/// Ids that nobody here knows that wait for one another to be asked for together.
/// Beyond it who asks is turned away at once.
pub const MAX_PENDING_LOOKUPS: usize = 256;

// ---- users -----------------------------------------------------------------

/// Seconds a refused user is asked to wait, when nothing better is known.
pub const RETRY_AFTER_S: u64 = 1;
/// ms that a submission may have to wait for its turn to be written; beyond
/// that it is refused at once.
pub const SUBMISSION_TIMEOUT_MS: u64 = 800;
/// ms a user request may wait for the store before it is refused.
pub const USER_TIMEOUT_MS: u64 = 1_600;

// ---- cloud -----------------------------------------------------------------

/// ms after which an unanswered cloud request is given up.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// One of so many machines of a shard may be overdue and not counted on at a
/// time, so that a late wave is replaced by an eighth at most.
pub const OVERDUE_REPLACEMENT_DIVISOR: usize = 8;
/// The same in a small part.
pub const MIN_OVERDUE_REPLACEMENTS: usize = 4;
/// ms between two readings of the rental list by one node, at least.
pub const INSTANCE_LIST_INTERVAL_MS: u64 = 4_000;
/// ms that a cloud in trouble is left alone.
pub const CLOUD_TROUBLE_MS: u64 = 2_000;

// ---- placement -------------------------------------------------------------

/// ms between two passes of the placer.
pub const PLACEMENT_INTERVAL_MS: u64 = 50;
/// ms that idle work waits for room that costs nothing or little. Then, if nothing
/// else lacks room, it may rent what others may until half of it has begun: some
/// minutes more are little to who waits anyway, and it starts in the end.
pub const IDLE_WORK_PATIENCE_MS: u64 = 600_000;
/// ms of the tick while something waits for a short gap to pass: a start goes
/// through several of them, and each would cost a whole tick.
pub const SHORT_TICK_MS: u64 = 15;
/// ms of the core's clock tick.
pub const TICK_MS: u64 = 100;
/// Tasks of one size that room is kept for at most, in a small fleet, and one
/// more for each so many machines of a larger one.
pub const MAX_HEADROOM_TASKS: u32 = 4;
/// ms between two lines of the log that say how full a shard is.
pub const SUMMARY_MS: u64 = 20_000;
/// ms added to two report intervals before a machine counts as silent.
pub const HEARTBEAT_TIMEOUT_SLACK_MS: u64 = 500;
/// Silent machines up to which each counts as lost for itself.
pub const MAX_INDIVIDUAL_LOSSES: usize = 3;
/// ms that an attempt waits for those preempted for it; longer than any save
/// seen in the field, after which the placer tries elsewhere.
pub const PREEMPTION_TIMEOUT_MS: u64 = 15_000;
/// ms that a task must have run to count as a success before it ends: replicas
/// never end, and mistakes and faults show within seconds.
pub const SUCCESS_AFTER_MS: u64 = 30_000;
/// ms that a machine is set aside before a trial; doubled with each that fails.
/// As long as a few starts elsewhere take to tell whose fault it was.
pub const QUARANTINE_TRIAL_MS: u64 = 10_000;

// ---- unreachable machines ------------------------------------------------

/// ms that a worker waits for an answer to its heartbeat (protocol page).
pub const WORKER_RESPONSE_TIMEOUT_MS: u64 = 4_000;
/// ms after which it then tries the next controller (protocol page).
pub const WORKER_RETRY_MS: u64 = 1_000;

// ---- supervision --------------------------------------------------------------

/// Failovers that are kept of each shard: a day with dozens of them, and
/// some 300 bytes each in every controller's memory.
pub const FAILOVER_RECORDS_KEPT: u64 = 32;

// ---- gang admission --------------------------------------------------------

/// ms after the store has shown that a placer lost its shard for which an owner keeps
/// the room that it granted it and that was never used. A successor takes a shard
/// within a second or two and asks within one more, so what it can finish is still
/// there; nobody else waits longer for room that is kept for nobody.
pub const ORPHANED_GRANT_MS: u64 = 10_000;

// ---- the largest jobs -----------------------------------------------------------

/// Times that a risk may count at most: beyond it, it decides alone.
pub const MAX_RISK_WEIGHT: f64 = 1_000.0;
