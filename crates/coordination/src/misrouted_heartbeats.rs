//! Heartbeats of machines of other leaders' shards that reached this controller: their
//! leader may be unreachable for them.

use std::collections::{BTreeMap, HashMap};

use crate::incarnation::MessageSequence;
use crate::machine::Timing;
use lemonweir_model::MachineId;

/// What a misrouted heartbeat shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MisroutedArrival {
    /// Its machine had come a moment ago, so it could not reach its leader.
    pub(crate) repeated: bool,
    /// It is newer than all before.
    pub(crate) is_new: bool,
}

/// The machine's newest heartbeat here.
#[derive(Debug)]
struct LastMisrouted {
    at: u64,
    sequence: MessageSequence,
}

/// Machines of shards that others lead which sent heartbeats to this controller.
#[derive(Debug)]
pub(crate) struct MisroutedHeartbeats {
    /// ms for which a heartbeat counts.
    retention_ms: u64,
    by_shard: BTreeMap<u16, HashMap<MachineId, LastMisrouted>>,
}

impl MisroutedHeartbeats {
    /// None yet; each counts for two heartbeat intervals.
    pub(crate) fn new(timing: &Timing) -> Self {
        Self {
            retention_ms: 2 * timing.heartbeat_interval_ms,
            by_shard: BTreeMap::new(),
        }
    }

    /// Records a heartbeat. Guards against a machine that seems to come since copies of
    /// its heartbeats do.
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
        let seen = MisroutedArrival {
            repeated: previous.is_some(),
            is_new: previous.is_none_or(|last| sequence > last.sequence),
        };
        if seen.is_new {
            machines.insert(machine.clone(), LastMisrouted { at: now, sequence });
        }
        seen
    }

    /// This controller leads the shard: its heartbeats are not misrouted.
    pub(crate) fn forget(&mut self, shard: u16) {
        self.by_shard.remove(&shard);
    }

    /// True if a machine of the shard came of late. Asked at every flush, so it counts
    /// none.
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

    /// How many machines of the shard came of late.
    pub(crate) fn count_recent(&mut self, shard: u16, now: u64) -> u32 {
        let Some(machines) = self.by_shard.get_mut(&shard) else {
            return 0;
        };
        machines.retain(|_, last| now <= last.at + self.retention_ms);
        machines.len() as u32
    }
}
