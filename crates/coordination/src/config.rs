//! Facts that do not change while the process runs.

use std::collections::HashMap;

use crate::owner::Timing;
use crate::socket_shares::SocketShares;
use lemonweir_model::constants::MAX_CAS_BYTES;
use lemonweir_model::settings::{ClusterMember, Settings};
use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::users::quota_limit;

/// ms of the time that a cancellation allows which are kept for delivery when
/// a controller answers heartbeats without knowing the store, while some controller still
/// publishes cancellations before the last attempt's end.
const STORE_OUTAGE_GRACE_MARGIN_MS: u64 = 2_000;
/// Share of a controller's equal part of the store's changes up to which its placer
/// writes for idle work, other work's changes counted: above its part it would take
/// from others' starts.
const IDLE_WRITES_SHARE: f64 = 0.7;
/// Bytes of changes in one message through the store: less than a compare-and-swap
/// may hold, once in base64 and with keys. The rest follows in order.
const STORE_MESSAGE_BYTES: usize = 24 * 1024;
/// Bytes of a store message's value left for its other fields and its encoding.
const STORE_MESSAGE_OVERHEAD_BYTES: usize = 512;

/// Facts that do not change while the process runs.
pub struct Config {
    /// All controllers; the index is the number of the controller and of its home shard.
    pub members: Vec<ClusterMember>,
    /// Index of this controller among them.
    pub own_index: u16,
    /// Quota limits of the teams.
    pub quota_limits: HashMap<String, Resources>,
    /// Guaranteed quotas of the teams; 0: none.
    pub guaranteed_quotas: HashMap<String, Resources>,
    /// Objectives: seconds within which tasks of a class should start.
    pub start_objectives_s: HashMap<String, f64>,
    /// Objective: seconds within which work within a guaranteed quota should start.
    pub guarantee_objective_s: f64,
    /// Zones that the settings name.
    pub zones: Vec<String>,
    /// Team names in order.
    pub teams: Vec<String>,
    /// ms for which a gang's task waits on its machine for the others.
    pub gang_wait_ms: u64,
    /// Lease and heartbeat times of the workers.
    pub timing: Timing,
    /// ms after the last answer of the store for which heartbeats may be
    /// answered without a newer one while a controller of an earlier format lives.
    pub short_store_outage_grace_ms: u64,
    /// Bytes that a value in the store may have, now and later.
    pub value_bytes: usize,
    /// Time of day at the steady clock's zero, ms.
    pub wall_offset_ms: u64,
    /// ms by which a clock's time of day may be off.
    pub max_clock_offset_ms: u64,
    /// Changes a compare-and-swap may hold, now and later.
    pub cas_max_changes: usize,
    /// Changes a second that one placer may write for idle work.
    pub idle_writes_per_s: usize,
    /// Bytes of changes that a message through the store may hold.
    pub store_message_bytes: usize,
    /// Sockets for each kind of traffic.
    pub sockets: SocketShares,
}

impl Config {
    /// Derives the facts from the settings.
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
            // A controller of an earlier format publishes a cancellation before its
            // tasks have ended. One published right after the store's last answer to
            // us must still be executed in time: whatever we keep alive
            // until then ends with its lease.
            short_store_outage_grace_ms: ms(workers.cancellation_deadline_s - workers.lease_s)
                .saturating_sub(STORE_OUTAGE_GRACE_MARGIN_MS),
            value_bytes,
            wall_offset_ms: 0,
            max_clock_offset_ms: settings.cluster.clock_offset_ms.ceil() as u64,
            cas_max_changes,
            idle_writes_per_s: (settings.cluster.kv_store.lowest_writes_per_s() * IDLE_WRITES_SHARE
                / members.len().max(1) as f64)
                .ceil() as usize,
            // Half of what would just fit: the other fields of a message take
            // some, and one change may be larger than another.
            store_message_bytes: STORE_MESSAGE_BYTES
                .min(store_message_piece_bytes(value_bytes) * cas_max_changes / 2),
            sockets: SocketShares::divide(settings.cluster.process_limits.max_open_files),
            members,
            own_index,
        }
    }

    /// Pages of image locations in one compare-and-swap: no more than its changes, nor
    /// than its bytes.
    pub fn image_pages_per_cas(&self) -> usize {
        let bytes = MAX_CAS_BYTES / self.value_bytes.max(1);
        self.cas_max_changes.min(bytes).max(1)
    }

    /// The shard that a machine belongs to: one of its zone's, by a hash of its name, so
    /// that every controller finds the same.
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

    /// The shard whose placer runs a team's jobs unless the store says otherwise.
    pub fn default_shard(&self, team: &str) -> u16 {
        let at = self.teams.iter().position(|t| t == team).unwrap_or(0);
        (at % self.members.len()) as u16
    }
}

/// Bytes of a peer's message that fit one value of the store: base64 makes four
/// bytes of three.
pub fn store_message_piece_bytes(value_bytes: usize) -> usize {
    value_bytes
        .saturating_sub(STORE_MESSAGE_OVERHEAD_BYTES)
        .max(STORE_MESSAGE_OVERHEAD_BYTES)
        / 4
        * 3
}
