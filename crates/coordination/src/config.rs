//! Facts that do not change while the process runs.

use std::collections::HashMap;

use crate::owner::Timing;
use crate::socket_shares::SocketShares;
use lemonweir_model::constants::*;
use lemonweir_model::settings::{ClusterMember, Settings};
use lemonweir_model::{MachineId, Resources};
use lemonweir_protocol::users::quota_limit;

/// Facts that do not change while the process runs.
pub struct Config {
    /// All controllers; the index is the part.
    pub members: Vec<ClusterMember>,
    /// Our own index.
    pub me: u16,
    /// Limits of the teams.
    pub limits: HashMap<String, Resources>,
    /// Guarantees of the teams; 0: none.
    pub guarantees: HashMap<String, Resources>,
    /// Seconds within which tasks of a class should start.
    pub start_within: HashMap<String, f64>,
    /// Seconds within which work within a guarantee should start.
    pub guarantee_within: f64,
    /// Zones.
    pub zones: Vec<String>,
    /// Team names in order.
    pub teams: Vec<String>,
    /// ms for which a gang's task waits on its machine for the others.
    pub gang_wait_ms: u64,
    /// Times of the workers.
    pub timing: Timing,
    /// ms after the last proof of the store's word for which reports may be
    /// answered without a newer one while a node of an earlier format lives.
    pub short_blind_ms: u64,
    /// Bytes that a value in the store may have, now and later.
    pub value_bytes: usize,
    /// Time of day at the steady clock's zero, ms.
    pub wall_offset_ms: u64,
    /// ms by which a clock's time of day may be off.
    pub clock_off_ms: u64,
    /// Changes a transaction may hold, now and later.
    pub txn_ops: usize,
    /// Changes a second that one placer may write for idle work.
    pub idle_writes: usize,
    /// Bytes of changes that a message through the store may hold.
    pub mail_bytes: usize,
    /// Sockets for each kind of traffic.
    pub sockets: SocketShares,
}

impl Config {
    /// Derives the facts from the settings.
    pub fn new(settings: &Settings) -> Self {
        let members = settings.members();
        let me = members
            .iter()
            .position(|m| m.host == settings.host_name)
            .unwrap_or(0) as u16;
        let w = &settings.cluster.worker_timing;
        let ms = |s: f64| (s * 1000.0) as u64;
        let objectives = &settings.cluster.objectives;
        let value_bytes = (settings.cluster.kv_store.lowest_max_value_kib() * 1024.0) as usize;
        let txn_ops = settings.cluster.kv_store.lowest_max_cas_ops();
        let mut teams: Vec<String> = settings
            .cluster
            .teams
            .iter()
            .map(|t| t.name.clone())
            .collect();
        teams.sort_unstable();
        Self {
            limits: settings
                .cluster
                .teams
                .iter()
                .map(|t| (t.name.clone(), quota_limit(t)))
                .collect(),
            guarantees: settings
                .cluster
                .teams
                .iter()
                .map(|t| (t.name.clone(), Resources::capacity(t.guaranteed_cpus, t.guaranteed_gpus, 0.0)))
                .collect(),
            start_within: objectives
                .iter()
                .filter(|o| o.kind == "wait")
                .filter_map(|o| Some((o.class.clone()?, o.within_s?)))
                .collect(),
            guarantee_within: objectives
                .iter()
                .filter(|o| o.kind == "guarantee")
                .filter_map(|o| o.within_s)
                .fold(f64::MAX, f64::min),
            zones: settings.cluster.zones.clone(),
            teams,
            gang_wait_ms: ms(w.gang_start_timeout_s),
            timing: Timing {
                lease_ms: ms(w.lease_s),
                report_ms: ms(w.heartbeat_interval_s),
            },
            // A node of an earlier format tells of a cancellation before its
            // tasks have ended. One told right after our last word from the
            // store must still be carried out in time: whatever we keep alive
            // until then ends with its lease.
            short_blind_ms: ms(w.cancellation_deadline_s - w.lease_s).saturating_sub(BLIND_MARGIN_MS),
            value_bytes,
            wall_offset_ms: 0,
            clock_off_ms: settings.cluster.clock_offset_ms.ceil() as u64,
            txn_ops,
            idle_writes: (settings.cluster.kv_store.lowest_writes_per_s() * IDLE_WRITES_SHARE
                / members.len().max(1) as f64)
                .ceil() as usize,
            // Half of what would just fit: the other fields of a message take
            // some, and one change may be larger than another.
            mail_bytes: MAIL_BYTES.min(mail_piece_bytes(value_bytes) * txn_ops / 2),
            sockets: SocketShares::of(settings.cluster.process_limits.max_open_files),
            members,
            me,
        }
    }

    /// Pages of the note of images in one transaction: no more than its changes, nor
    /// than its bytes.
    pub fn image_pages(&self) -> usize {
        let bytes = TXN_BYTES / self.value_bytes.max(1);
        self.txn_ops.min(bytes).max(1)
    }

    /// The part that a machine belongs to: one of its zone's, by its name.
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

    /// The part that serves a team unless the store says otherwise.
    pub fn default_shard(&self, team: &str) -> u16 {
        let at = self.teams.iter().position(|t| t == team).unwrap_or(0);
        (at % self.members.len()) as u16
    }
}

/// Bytes of a peer message that fit one value of the store: base64 makes four
/// bytes of three.
pub fn mail_piece_bytes(value_bytes: usize) -> usize {
    value_bytes
        .saturating_sub(MAIL_OVERHEAD_BYTES)
        .max(MAIL_OVERHEAD_BYTES)
        / 4
        * 3
}
