//! Heartbeats that reached this controller though it does not lead their machines' shards:
//! the machines may be unable to reach their leader.

use std::collections::{BTreeMap, HashMap};

use crate::incarnation::MessageSequence;
use crate::machine::Timing;
use lemonweir_model::MachineId;

/// What the arrival of a misrouted heartbeat shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MisroutedArrival {
    /// The machine's previous one came here recently too, so the machine can't reach its leader.
    pub(crate) repeated: bool,
    /// It is newer than all recent ones of its machine.
    pub(crate) is_new: bool,
}

/// The newest misrouted heartbeat of one machine.
#[derive(Debug)]
struct LastMisrouted {
    /// When it arrived, ms.
    at: u64,
    sequence: MessageSequence,
}

/// Recent misrouted heartbeats of all machines, by shard.
#[derive(Debug)]
pub(crate) struct MisroutedHeartbeats {
    /// ms for which a heartbeat counts as recent.
    retention_ms: u64,
    by_shard: BTreeMap<u16, HashMap<MachineId, LastMisrouted>>,
}

impl MisroutedHeartbeats {
    /// Creates an empty record; each heartbeat counts as recent for two heartbeat intervals.
    pub(crate) fn new(timing: &Timing) -> Self {
        Self {
            retention_ms: 2 * timing.heartbeat_interval_ms,
            by_shard: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Only one that is newer than all recent ones of its machine counts
    /// as sent at `now`: late copies must not make a machine appear to keep sending.
    pub(crate) fn record(
        &mut self,
        shard: u16,
        machine: &MachineId,
        sequence: MessageSequence,
        now: u64,
    ) -> MisroutedArrival {
        let machines = self.by_shard.entry(shard).or_default();
        let previous = machines
            .get(machine)
            .filter(|last| now < last.at + self.retention_ms);
        let arrival = MisroutedArrival {
            repeated: previous.is_some(),
            is_new: previous.is_none_or(|last| sequence > last.sequence),
        };
        if arrival.is_new {
            machines.insert(machine.clone(), LastMisrouted { at: now, sequence });
        }
        arrival
    }

    /// Forgets the machines of a shard, for instance since this controller leads it now.
    pub(crate) fn forget(&mut self, shard: u16) {
        self.by_shard.remove(&shard);
    }

    /// True if a machine of the shard sent a heartbeat here recently. Called at every flush,
    /// so it stops at the first one instead of counting.
    pub(crate) fn any_recent(&mut self, shard: u16, now: u64) -> bool {
        let Some(machines) = self.by_shard.get(&shard) else {
            return false;
        };
        let any = machines
            .values()
            .any(|last| now <= last.at + self.retention_ms);
        if !any {
            self.forget(shard);
        }
        any
    }

    /// Number of machines of the shard that sent a heartbeat here recently.
    pub(crate) fn count_recent(&mut self, shard: u16, now: u64) -> u32 {
        let Some(machines) = self.by_shard.get_mut(&shard) else {
            return 0;
        };
        machines.retain(|_, last| now <= last.at + self.retention_ms);
        machines.len() as u32
    }
}
