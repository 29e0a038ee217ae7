//! Configuration derived from the settings, constant while the process runs.

use std::collections::HashMap;

use crate::owner::Timing;
use crate::socket_shares::SocketShares;
use lemonweir_model::constants::MAX_CAS_BYTES;
use lemonweir_model::settings::{ClusterMember, Settings};
use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::users::quota_limit;

/// ms of the cancellation deadline reserved for delivering a cancellation during a store
/// outage; see [`Config::mixed_version_store_outage_grace_ms`].
const STORE_OUTAGE_GRACE_MARGIN_MS: u64 = 2_000;
/// Fraction of a controller's equal share of the store's write rate up to which its placer
/// writes for low-priority work. The placer's other writes count against it as well: a
/// controller that exceeds its share delays the starts of other controllers' tasks.
const LOW_PRIORITY_WRITES_SHARE: f64 = 0.7;
/// Maximum bytes of changes in one message through the store: less than a compare-and-swap
/// may hold, allowing for base64 and keys. Further changes follow in later messages, in order.
const STORE_MESSAGE_BYTES: usize = 24 * 1024;
/// Bytes of a store message's value reserved for its other fields and its encoding.
const STORE_MESSAGE_OVERHEAD_BYTES: usize = 512;

/// Configuration of a controller, constant while the process runs.
pub struct Config {
    /// All controllers; the index is the number of the controller and of its home shard.
    pub members: Vec<ClusterMember>,
    /// Index of this controller in `members`.
    pub own_index: u16,
    /// Quota limit of each team.
    pub quota_limits: HashMap<String, Resources>,
    /// Guaranteed quota of each team; 0: none.
    pub guaranteed_quotas: HashMap<String, Resources>,
    /// Objective: seconds within which tasks of each class should start.
    pub start_objectives_s: HashMap<String, f64>,
    /// Objective: seconds within which work within a guaranteed quota should start;
    /// `f64::MAX` if there is none.
    pub guarantee_objective_s: f64,
    /// Zones in the settings.
    pub zones: Vec<String>,
    /// Names of the teams in the settings, sorted. A team's position determines its default
    /// shard.
    pub teams: Vec<String>,
    /// ms for which a gang's task waits on its machine for the others.
    pub gang_wait_ms: u64,
    /// Lease and heartbeat times of the workers.
    pub timing: Timing,
    /// ms after the store's last answer during which heartbeats are still answered while a
    /// controller of an earlier peer version is live.
    pub mixed_version_store_outage_grace_ms: u64,
    /// Maximum bytes of a value in the store, under current and announced limits.
    pub value_bytes: usize,
    /// Time of day at the zero of the monotonic clock, ms.
    pub wall_clock_offset_ms: u64,
    /// Maximum error of a clock's time of day, ms.
    pub max_clock_offset_ms: u64,
    /// Maximum number of changes in a compare-and-swap, under current and announced limits.
    pub cas_max_changes: usize,
    /// Changes per second that one placer may write for low-priority work.
    pub low_priority_writes_per_s: usize,
    /// Changes per second that all controllers may write, under current and announced limits.
    pub writes_per_s: f64,
    /// Maximum bytes of changes in one message through the store.
    pub store_message_bytes: usize,
    /// Sockets for each kind of traffic.
    pub sockets: SocketShares,
}

impl Config {
    /// Derives the configuration from the settings.
    pub fn new(settings: &Settings) -> Self {
        let members = settings.members();
        let own_index = members
            .iter()
            .position(|m| m.host == settings.host_name)
            .unwrap_or(0) as u16;
        let workers = &settings.cluster.worker_timing;
        let ms = |s: f64| (s * 1000.0) as u64;
        let objectives = &settings.cluster.objectives;
        let value_bytes = (settings.cluster.kv_store.lowest_max_value_kib() * 1024.0) as usize;
        let cas_max_changes = settings.cluster.kv_store.lowest_max_cas_ops();
        let mut teams: Vec<String> = settings
            .cluster
            .teams
            .iter()
            .map(|t| t.name.clone())
            .collect();
        teams.sort_unstable();
        Self {
            quota_limits: settings
                .cluster
                .teams
                .iter()
                .map(|t| (t.name.clone(), quota_limit(t)))
                .collect(),
            guaranteed_quotas: settings
                .cluster
                .teams
                .iter()
                .map(|t| {
                    (
                        t.name.clone(),
                        Resources::capacity(t.guaranteed_cpus, t.guaranteed_gpus, 0.0),
                    )
                })
                .collect(),
            start_objectives_s: objectives
                .iter()
                .filter(|o| o.kind == "wait")
                .filter_map(|o| Some((o.class.clone()?, o.within_s?)))
                .collect(),
            guarantee_objective_s: objectives
                .iter()
                .filter(|o| o.kind == "guarantee")
                .filter_map(|o| o.within_s)
                .fold(f64::MAX, f64::min),
            zones: settings.cluster.zones.clone(),
            teams,
            gang_wait_ms: ms(workers.gang_start_timeout_s),
            timing: Timing {
                lease_ms: ms(workers.lease_s),
                heartbeat_interval_ms: ms(workers.heartbeat_interval_s),
            },
            // A controller of an earlier peer version publishes a cancellation before its
            // tasks have ended. One published right after the store's last answer to this
            // controller must still be carried out before its deadline: attempts kept alive
            // during the grace period end with their leases.
            mixed_version_store_outage_grace_ms: ms(
                workers.cancellation_deadline_s - workers.lease_s
            )
            .saturating_sub(STORE_OUTAGE_GRACE_MARGIN_MS),
            value_bytes,
            wall_clock_offset_ms: 0,
            max_clock_offset_ms: settings.cluster.clock_offset_ms.ceil() as u64,
            cas_max_changes,
            low_priority_writes_per_s: (settings.cluster.kv_store.lowest_writes_per_s()
                * LOW_PRIORITY_WRITES_SHARE
                / members.len().max(1) as f64)
                .ceil() as usize,
            writes_per_s: settings.cluster.kv_store.lowest_writes_per_s(),
            // Half of what would fit: a message has other fields, and changes vary in size.
            store_message_bytes: STORE_MESSAGE_BYTES
                .min(store_message_piece_bytes(value_bytes) * cas_max_changes / 2),
            sockets: SocketShares::divide(settings.cluster.process_limits.max_open_files),
            members,
            own_index,
        }
    }

    /// Maximum number of full values in one compare-and-swap, limited by its changes and bytes.
    pub fn value_pages_per_cas(&self) -> usize {
        let bytes = MAX_CAS_BYTES / self.value_bytes.max(1);
        self.cas_max_changes.min(bytes).max(1)
    }

    /// The shard that a machine belongs to: one whose home controller is in the machine's zone,
    /// or any if there is none, chosen by a hash of its id so that all controllers agree.
    pub fn shard_of(&self, zone: &str, machine: &MachineId) -> u16 {
        let local: Vec<u16> = (0..self.members.len() as u16)
            .filter(|&i| self.members[usize::from(i)].zone == zone)
            .collect();
        let hash = machine
            .as_str()
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325u64, |h, b| {
                (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
            });
        match local.len() {
            0 => (hash % self.members.len() as u64) as u16,
            n => local[(hash % n as u64) as usize],
        }
    }

    /// The shard whose placer runs a team's jobs unless the store assigns another one.
    pub fn default_shard(&self, team: &str) -> u16 {
        let index = self.teams.iter().position(|t| t == team).unwrap_or(0);
        (index % self.members.len()) as u16
    }
}

/// Bytes of a peer message that fit into one value of the store: base64 encodes three bytes
/// as four.
pub fn store_message_piece_bytes(value_bytes: usize) -> usize {
    value_bytes
        .saturating_sub(STORE_MESSAGE_OVERHEAD_BYTES)
        .max(STORE_MESSAGE_OVERHEAD_BYTES)
        / 4
        * 3
}
