//! Constants that several crates share, with their units and reasons. Constants used by a
//! single module are defined there.
//!
//! Properties of a deployment come from the settings file and the cloud's catalog instead.

// ---- protocol limits -------------------------------------------------------

/// Maximum size of a request body, bytes (protocol specification).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a response that is read, and of a request body between controllers, bytes.
/// Watches have no size limit of their own, so this only guards against a runaway peer.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of headers of a request or response; enough for any ordinary client.
pub const MAX_HEADERS: usize = 48;
/// Maximum number of tasks of a job (protocol specification).
pub const MAX_TASKS: u64 = 100_000;
/// Maximum number of machines of a provisioning request (protocol specification).
pub const MAX_INSTANCES_PER_REQUEST: u32 = 50;

// ---- connections -----------------------------------------------------------

/// Timeout for opening a connection, ms; within a zone it takes a few ms.
pub const CONNECT_MS: u64 = 1_000;

// ---- shards -----------------------------------------------------------------

/// ms after which a store lease expires without renewal. It exceeds the duration of a restart
/// (3 to 5 s, plus loading), so that a restarted controller reacquires its shard and nothing
/// moves. It is no longer than that, since a shard without a leader waits for its expiry.
pub const STORE_LEASE_TTL_MS: u64 = 7_000;
/// ms between renewals of a store lease: four renewals may go unanswered before the lease
/// expires, and a lease outlives a crashed leader by 6 to 7 s.
pub const STORE_LEASE_RENEWAL_MS: u64 = 1_000;
/// Bits of a machine token below the shard's fencing token: whether the token holds the time
/// of a store read (the highest bit), the time at which that read began, and the machine's
/// fence counter. Revisions stay below 2^36, which takes ten years to reach at 200 changes a
/// second.
pub const MACHINE_TOKEN_BITS: u32 = 28;
/// Maximum time for which an owner responds to heartbeats without a response from the store,
/// ms. `blind_s` of the policy can't exceed it, since a new leader that its machines can't
/// reach infers the end of their attempts from this value, whatever its own policy says. It
/// exceeds the partitions seen so far (30 to 52 s); each second of it delays the restart of
/// work in a lost zone by a second.
pub const MAX_STORE_OUTAGE_GRACE_MS: u64 = 60_000;

// ---- peers -----------------------------------------------------------------

/// ms between two refreshes of the view of another shard (design document).
pub const SHARD_VIEW_REFRESH_MS: u64 = 2_000;
/// Timeout of a direct sync, of gossip and of hints to another controller, ms.
pub const SYNC_TIMEOUT_MS: u64 = 1_500;
/// Format version of the messages between controllers.
pub const PEER_VERSION: u8 = 3;
/// Estimated size in a message, bytes, of an attempt's id with its state or grace period, or
/// of a machine's id.
pub const ENCODED_ATTEMPT_BYTES: usize = 40;

// ---- links -----------------------------------------------------------------

/// ms for which heartbeats relayed to one owner are batched, and for which the first lookup of
/// an unknown job id waits for others.
pub const HEARTBEAT_BATCH_MS: u64 = 20;
/// Timeout of a relayed heartbeat, ms: less than the 4 s that the worker waits for the
/// response (protocol specification).
pub const RELAYED_HEARTBEAT_TIMEOUT_MS: u64 = 2_500;
/// ms for which the heartbeats of most of a shard's machines are relayed before the shard is
/// ceded to a controller that they reach. Ceding it and returning it later each cost its teams
/// some seconds without starts; relaying costs each heartbeat a second message. The partitions
/// seen so far (30 to 52 s) end before.
pub const RELAYED_SHARD_TIMEOUT_MS: u64 = 90_000;

// ---- workers ---------------------------------------------------------------

/// Timeout of a `/commands` call, ms.
pub const COMMAND_TIMEOUT_MS: u64 = 2_500;

// ---- store -----------------------------------------------------------------

/// Dependencies in one record: with ids of 24 bytes they take half of a value of 2 KiB, which
/// leaves enough space for the job itself.
pub const DEPENDENCIES_PER_PAGE: usize = 40;

/// Timeout of a store request, ms.
pub const STORE_TIMEOUT_MS: u64 = 1_500;
/// ms without a response from the store after which a controller leaves users to controllers
/// that reach the store: longer than one store timeout, and shorter than users wait. An owner
/// releases no machines after such a silence, since it may have been superseded.
pub const UNREADY_AFTER_STORE_SILENCE_MS: u64 = 2_000;
/// ms from one refresh of the state cache to the next while a request waits for one, or while
/// an owner is reached only through the store.
pub const CACHE_REFRESH_BUSY_MS: u64 = 60;
/// ms from one refresh of the state cache to the next when nothing waits for one. It bounds the
/// delay until a new job or a cancellation is seen by the shard that has to act on it.
pub const CACHE_REFRESH_IDLE_MS: u64 = 200;
/// Share of its request budget at the store that a controller uses, percent. The rest is left
/// to bursts of other controllers.
pub const STORE_BUDGET_PERCENT: u64 = 90;
/// Maximum size of the values in one transaction, bytes: below the limit of 64 KiB for a
/// transaction, which leaves space for keys and conditions.
pub const MAX_CAS_BYTES: usize = 40_000;
/// Tasks in one task record: a full chunk of live attempts stays well below the smallest value
/// limit that the settings allow.
pub const TASKS_PER_CHUNK: u32 = 64;
/// Record version from which task records are written in the packed encoding.
pub const PACKED_RECORD_VERSION: u32 = 1;
/// Record version from which a large specification is stored in pages of its own.
pub const PAGED_SPEC_VERSION: u32 = 2;
/// Maximum number of conditions of a transaction for each of its writes (protocol
/// specification).
pub const CONDITIONS_PER_WRITE: usize = 4;
/// Maximum number of job ids missing in the cache that wait for a batched lookup in the store.
/// Further requests for such ids are rejected at once.
pub const MAX_PENDING_LOOKUPS: usize = 256;

// ---- users -----------------------------------------------------------------

/// Default `Retry-After` of a rejected user request, s.
pub const RETRY_AFTER_S: u64 = 1;
/// Maximum expected wait in the write queue, ms; a submission that would wait longer is
/// rejected at once.
pub const SUBMISSION_TIMEOUT_MS: u64 = 800;
/// ms that a user request may wait for the store before it is rejected.
pub const USER_TIMEOUT_MS: u64 = 1_600;

// ---- cloud -----------------------------------------------------------------

/// Timeout of a cloud request, ms.
pub const CLOUD_TIMEOUT_MS: u64 = 5_000;
/// At most one of this many machines of a shard is replaced at a time because its boot is
/// overdue, so that a wave of late boots adds at most an eighth to the fleet.
pub const OVERDUE_REPLACEMENT_DIVISOR: usize = 8;
/// Overdue machines that may be replaced at a time in a small shard.
pub const MIN_OVERDUE_REPLACEMENTS: usize = 4;
/// Minimum time between two reads of the instance list by one controller, ms.
pub const INSTANCE_LIST_INTERVAL_MS: u64 = 4_000;
/// ms to wait before the cloud is called again after it reported trouble.
pub const CLOUD_TROUBLE_MS: u64 = 2_000;

// ---- placement -------------------------------------------------------------

/// ms between two passes of the placer.
pub const PLACEMENT_INTERVAL_MS: u64 = 50;
/// ms for which low-priority work waits for resources that cost little or nothing. After that,
/// if no other work lacks resources, it may provision machines like other work until half of
/// its tasks have started: some more minutes matter little to such work, but it must start
/// eventually.
pub const IDLE_WORK_PATIENCE_MS: u64 = 600_000;
/// Interval of the core's tick while something waits for a short delay, ms. A start passes
/// several such delays, each of which would otherwise take a whole tick.
pub const SHORT_TICK_MS: u64 = 15;
/// Interval of the core's tick, ms.
pub const TICK_MS: u64 = 100;
/// Maximum number of tasks of one size that headroom is kept for in a small fleet; it grows
/// with the number of machines in a larger one.
pub const MAX_HEADROOM_TASKS: u32 = 4;
/// ms between two log lines that summarise the utilisation of a shard, or the refused queries.
pub const SUMMARY_INTERVAL_MS: u64 = 20_000;
/// ms beyond two heartbeat intervals after which a machine counts as silent. Also the least
/// time by which a heartbeat must be late for the one before it to count as unanswered.
pub const HEARTBEAT_TIMEOUT_SLACK_MS: u64 = 500;
/// Maximum number of silent machines that are treated as individual losses. If more are
/// silent and they are the majority of a zone, the zone counts as partitioned.
pub const MAX_INDIVIDUAL_LOSSES: usize = 3;
/// ms for which an attempt waits for the attempts preempted for it, after which the placer
/// tries another machine. It exceeds all checkpoint durations seen in the field.
pub const PREEMPTION_TIMEOUT_MS: u64 = 15_000;
/// ms after which a running task counts as a success before it ends: replicas never end, and
/// user errors and machine faults show within seconds.
pub const SUCCESS_AFTER_MS: u64 = 30_000;
/// ms for which a machine is quarantined before a trial; doubled with each failed trial. A few
/// starts on other machines take as long to show whether the machine or the job is at fault.
pub const QUARANTINE_TRIAL_MS: u64 = 10_000;

// ---- unreachable machines ------------------------------------------------

/// ms that a worker waits for the response to its heartbeat (protocol specification).
pub const WORKER_RESPONSE_TIMEOUT_MS: u64 = 4_000;
/// ms after that timeout until the worker tries the next controller (protocol specification).
pub const WORKER_RETRY_MS: u64 = 1_000;

// ---- supervision --------------------------------------------------------------

/// Failover records that are kept of each shard: enough for a day with dozens of failovers, at
/// some 300 bytes each in every controller's memory.
pub const FAILOVER_RECORDS_KEPT: u64 = 32;

// ---- gang admission --------------------------------------------------------

/// ms for which an owner keeps granted but unused resources after the store has shown that
/// their placer lost its shard. A new leader acquires the shard within a second or two and
/// syncs within one more, so it can still complete the admission; no other work waits longer
/// for resources that nothing will use.
pub const ORPHANED_GRANT_MS: u64 = 10_000;

// ---- placement weights ----------------------------------------------------------

/// Maximum weight of a placement risk; beyond it, the risk alone would decide.
pub const MAX_RISK_WEIGHT: f64 = 1_000.0;
