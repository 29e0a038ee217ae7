//! The failure detector of a shard's machines: how long each has been silent, which zones
//! are partitioned, and the health verdict on which all waiting for a silent machine is
//! based.
//!
//! A machine counts as known to run if it sent a heartbeat, or if a record shows that it ran
//! before this owner acquired the shard: an attempt that a placer desires on it, a record of
//! its images, or the provider's inventory. A machine never known to run is booting. A
//! machine that is silent among healthy ones is judged individually. If most of a zone's
//! machines are silent at once, the zone counts as partitioned: the cause is mostly a
//! network cut, behind which the machines run on, and releasing them would end their tasks
//! and cost a boot and an image fetch each.

use std::collections::BTreeMap;

use tracing::info;

use crate::machine::{Machine, Timing};
use lemonweir_model::constants::{HEARTBEAT_TIMEOUT_SLACK_MS, MAX_INDIVIDUAL_LOSSES};
use lemonweir_protocol::peer::PartitionedZone;

/// ms after a zone is reachable again during which none of its idle machines is released:
/// hundreds of tasks are launched anew there, and are written to the store some ten per
/// compare-and-swap, with some ten of these a second.
pub const ZONE_RECOVERY_MS: u64 = 30_000;

/// The health of a machine, as far as this owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthVerdict {
    /// It was never known to run.
    Booting,
    /// It was known to run within the usual time, and replies are not proven to be lost.
    Healthy,
    /// Silent, while its zone is not partitioned.
    Silent,
    /// Silent, in a partitioned zone.
    Partitioned,
    /// It sends heartbeats, but no reply reaches it.
    Unreachable,
    /// Known only from heartbeats that may be old.
    Unconfirmed,
    /// Silent, unreachable or unconfirmed for longer than it is waited for.
    Release,
}

/// Counts and partition state of one zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// Machines known to run.
    known: usize,
    /// Known machines whose heartbeat is overdue.
    late: usize,
    /// Known machines that are late or that no reply reaches.
    unreachable: usize,
    /// When the leases of all unreachable machines must have expired, ms.
    leases_expired_at: u64,
    /// Silence before this moment proves nothing, ms.
    silence_floor: u64,
    /// Since when it has been partitioned, ms; `None`: it is not.
    partitioned_since: Option<u64>,
    /// When its last partition healed, ms.
    reconnected_at: Option<u64>,
    /// Its longest partition so far, ms.
    longest_partition_ms: u64,
}

impl Zone {
    /// ms for which the machine has been silent: since it was last known to run, but not before
    /// the silence floor. `None`: it was never known to run.
    fn silence_ms(&self, m: &Machine, now: u64) -> Option<u64> {
        m.last_heartbeat_at
            .or(m.recorded_running_at)
            .map(|at| now.saturating_sub(at.max(self.silence_floor)))
    }

    fn reset_counts(&mut self) {
        self.known = 0;
        self.late = 0;
        self.unreachable = 0;
        self.leases_expired_at = 0;
    }

    fn count(&mut self, m: &Machine, lease_expired_at: u64, late_ms: u64, now: u64) {
        let Some(silence_ms) = self.silence_ms(m, now) else {
            return;
        };
        self.known += 1;
        let late = silence_ms > late_ms;
        self.late += usize::from(late);
        if late || m.incarnation.unreachable_since().is_some() {
            self.unreachable += 1;
            self.leases_expired_at = self.leases_expired_at.max(lease_expired_at);
        }
    }

    /// Detects the begin and the end of a partition.
    ///
    /// Half of a zone's machines do not fail independently within seconds, so one missed
    /// heartbeat of each is enough evidence. Waiting for more would be too late, since the first
    /// of these machines would be released individually soon after.
    fn update_partition(&mut self, name: &str, late_ms: u64, now: u64) {
        let partitioned =
            self.unreachable > MAX_INDIVIDUAL_LOSSES && self.unreachable * 2 > self.known;
        match (self.partitioned_since, partitioned) {
            (None, true) => {
                info!(
                    zone = name,
                    unreachable = self.unreachable,
                    known = self.known,
                    "zone partitioned"
                );
                self.partitioned_since = Some(now.saturating_sub(late_ms));
            }
            (Some(since), false) => {
                info!(
                    zone = name,
                    unreachable = self.unreachable,
                    known = self.known,
                    "zone partition healed"
                );
                self.partitioned_since = None;
                self.reconnected_at = Some(now);
                self.longest_partition_ms =
                    self.longest_partition_ms.max(now.saturating_sub(since));
                // Machines that come back a moment after the first half must not be released:
                // their silence counts from now.
                self.silence_floor = now;
            }
            (None, false) | (Some(_), true) => {}
        }
    }
}

/// Judges the health of a shard's machines and zones for the shard's owner.
#[derive(Debug)]
pub struct MachineFailureDetector {
    acquired_at: u64,
    timing: Timing,
    /// Silence above which a machine is not healthy, ms.
    silent_ms: u64,
    zones: BTreeMap<String, Zone>,
}

impl MachineFailureDetector {
    /// Creates the detector of an owner that acquires its shard now. `silent_ms`: the silence
    /// that the policy allows a machine, raised to two heartbeat intervals and some slack if
    /// it is less.
    pub(crate) fn new(timing: Timing, silent_ms: u64, now: u64) -> Self {
        let silent_ms =
            silent_ms.max(2 * timing.heartbeat_interval_ms + HEARTBEAT_TIMEOUT_SLACK_MS);
        Self {
            acquired_at: now,
            timing,
            silent_ms,
            zones: BTreeMap::new(),
        }
    }

    /// Handles a stall of this process: silence before `now` proves nothing.
    pub(crate) fn handle_stall(&mut self, now: u64) {
        self.zones.values_mut().for_each(|z| z.silence_floor = now);
    }

    /// When the machine's lease must have expired if no other owner acquires the shard, ms.
    fn lease_expired_at(&self, m: &Machine) -> u64 {
        let renewed_at = m
            .incarnation
            .unreachable_since()
            .or(m.incarnation.lease_from());
        renewed_at.map_or(
            self.acquired_at + self.timing.inherited_lease_expiry_ms(),
            |at| at + self.timing.lease_expiry_ms(),
        )
    }

    /// Counts all machines anew and updates the partition state of each zone.
    pub(crate) fn observe<'a>(&mut self, machines: impl Iterator<Item = &'a Machine>, now: u64) {
        let late_ms = self.timing.heartbeat_interval_ms + self.timing.heartbeat_interval_ms / 2;
        for zone in self.zones.values_mut() {
            zone.reset_counts();
        }
        for m in machines {
            let lease_expired_at = self.lease_expired_at(m);
            if !self.zones.contains_key(&m.zone) {
                self.zones.insert(m.zone.clone(), Zone::default());
            }
            if let Some(zone) = self.zones.get_mut(&m.zone) {
                zone.count(m, lease_expired_at, late_ms, now);
            }
        }
        for (name, zone) in &mut self.zones {
            zone.update_partition(name, late_ms, now);
        }
    }

    /// The number of machines known to run, if most of them, and more than
    /// [`MAX_INDIVIDUAL_LOSSES`], have missed a heartbeat.
    pub(crate) fn mostly_silent(&self) -> Option<usize> {
        let (known, late) = self
            .zones
            .values()
            .fold((0, 0), |(known, late), z| (known + z.known, late + z.late));
        (late > MAX_INDIVIDUAL_LOSSES && late * 2 > known).then_some(known)
    }

    /// ms of silence after which a machine of a partitioned zone is released.
    ///
    /// Its tasks may run on until its lease must have expired. From then on waiting costs the
    /// machine's price, and releasing it costs a boot and an image fetch. Waiting until both
    /// cost the same is at most twice as expensive as the best choice, whenever the partition
    /// ends; that wait is taken as twice `rebuild_ms`. It is no shorter than the zone's longest
    /// partition so far.
    fn partition_patience_ms(&self, m: &Machine, zone: &Zone, rebuild_ms: u64) -> u64 {
        let expiry_ms = if m.last_heartbeat_at.is_some() {
            self.timing.lease_expiry_ms()
        } else {
            self.timing.inherited_lease_expiry_ms()
        };
        expiry_ms + (2 * rebuild_ms).max(zone.longest_partition_ms)
    }

    /// The health verdict on one machine. `rebuild_ms`: how long booting a replacement and
    /// fetching an image take.
    pub(crate) fn verdict(&self, m: &Machine, rebuild_ms: u64, now: u64) -> HealthVerdict {
        let unknown = Zone::default();
        let zone = self.zones.get(&m.zone).unwrap_or(&unknown);
        if m.is_unconfirmed() {
            return self.verdict_of_unconfirmed(m, now);
        }
        let Some(silence_ms) = zone.silence_ms(m, now) else {
            return HealthVerdict::Booting;
        };
        if let Some(since) = m.incarnation.unreachable_since() {
            let unreachable_ms = now.saturating_sub(since.max(zone.silence_floor));
            return self.verdict_of_unreachable(m, zone, silence_ms, unreachable_ms, rebuild_ms);
        }
        if silence_ms <= self.silent_ms {
            return HealthVerdict::Healthy;
        }
        self.verdict_of_silent(m, zone, silence_ms, rebuild_ms, now)
    }

    /// ms for which a silent machine is waited for if its zone is not partitioned.
    fn usual_patience_ms(&self) -> u64 {
        self.timing.lease_expiry_ms() + 2 * self.silent_ms
    }

    fn verdict_of_unconfirmed(&self, m: &Machine, now: u64) -> HealthVerdict {
        let first_at = m
            .incarnation
            .unverified_heartbeats()
            .map_or(now, |heartbeats| heartbeats.first_at);
        if now > first_at + self.usual_patience_ms() {
            HealthVerdict::Release
        } else {
            HealthVerdict::Unconfirmed
        }
    }

    /// The verdict on a machine that no reply reaches. Its heartbeats show that it was not
    /// reclaimed, but its tasks end with its lease, so it is waited for as long as a silent
    /// machine.
    fn verdict_of_unreachable(
        &self,
        m: &Machine,
        zone: &Zone,
        silence_ms: u64,
        unreachable_ms: u64,
        rebuild_ms: u64,
    ) -> HealthVerdict {
        let partitioned = zone.partitioned_since.is_some();
        let patience_ms = if partitioned {
            self.partition_patience_ms(m, zone, rebuild_ms)
        } else {
            self.usual_patience_ms()
        };
        if unreachable_ms > patience_ms {
            HealthVerdict::Release
        } else if silence_ms <= self.silent_ms {
            HealthVerdict::Unreachable
        } else if partitioned {
            HealthVerdict::Partitioned
        } else {
            HealthVerdict::Silent
        }
    }

    /// The verdict on a silent machine. A silent spot instance has mostly been reclaimed
    /// without notice. A silent on-demand one has mostly lost its network: its tasks run on
    /// until its lease ends, and it may come back with its images.
    fn verdict_of_silent(
        &self,
        m: &Machine,
        zone: &Zone,
        silence_ms: u64,
        rebuild_ms: u64,
        now: u64,
    ) -> HealthVerdict {
        let recently_unverified = m
            .incarnation
            .unverified_heartbeats()
            .is_some_and(|heartbeats| now <= heartbeats.last_at + self.silent_ms);
        let (patience_ms, verdict) = if zone.partitioned_since.is_some() {
            let patience_ms = self.partition_patience_ms(m, zone, rebuild_ms);
            (patience_ms, HealthVerdict::Partitioned)
        } else if m.spot && !recently_unverified {
            (self.silent_ms, HealthVerdict::Silent)
        } else {
            (self.usual_patience_ms(), HealthVerdict::Silent)
        };
        if silence_ms > patience_ms {
            HealthVerdict::Release
        } else {
            verdict
        }
    }

    /// True for a machine whose zone became reachable again less than [`ZONE_RECOVERY_MS`] ago.
    /// For the same time after the owner acquired the shard, also true for a machine that ran
    /// before, since the owner may not know of an earlier partition. Lost work is about to
    /// start there anew, so being idle proves nothing yet.
    pub(crate) fn recovering(&self, m: &Machine, now: u64) -> bool {
        let returned = self
            .zones
            .get(&m.zone)
            .and_then(|z| z.reconnected_at)
            .is_some_and(|at| now < at + ZONE_RECOVERY_MS);
        returned || m.recorded_running_at.is_some() && now < self.acquired_at + ZONE_RECOVERY_MS
    }

    /// Partitioned zones, as reported to placers.
    pub(crate) fn partitioned_zones(&self, now: u64) -> Vec<PartitionedZone> {
        let partition = |(name, z): (&String, &Zone)| {
            let since = z.partitioned_since?;
            Some(PartitionedZone {
                zone: name.clone(),
                partitioned_for_ms: now.saturating_sub(since),
                presumed_lost_in_ms: z.leases_expired_at.saturating_sub(now),
            })
        };
        self.zones.iter().filter_map(partition).collect()
    }

    /// True once every lease that an earlier owner of the shard could renew must have expired
    /// (`docs/design.md`, proof of end). `store_answer_at`: when the last reading of the store
    /// began that showed this owner as the leader, ms.
    pub(crate) fn inherited_leases_expired(&self, store_answer_at: u64) -> bool {
        store_answer_at > self.acquired_at + self.timing.inherited_lease_expiry_ms()
    }
}
