//! Which workers' heartbeats are relayed to their leader, and when workers are redirected
//! there to send them by themselves.
//!
//! A worker stays with its leader for as long as that answers. One that shows its
//! leader's own fencing token and comes elsewhere comes because the leader did not answer
//! it, so its heartbeat is relayed at once: no time of its lease is lost on a
//! second try. What shows that the link is up again is the leader's own gossip
//! that workers of the zone reach it, and a probe worker redirected now and then makes sure
//! that one does as soon as it can.

use std::collections::{BTreeMap, HashMap};

use super::{MisroutedHeartbeat, MisroutedHeartbeatAction};
use lemonweir_model::MachineId;

/// ms for which a worker that could not reach its leader is relayed before it
/// may be redirected there again: a try in vain costs it 5 s of its lease. Doubled
/// each time it was in vain, up to [`RELAY_MAX_MS`].
const RELAY_MS: u64 = 10_000;
/// ms that this doubling stops at.
const RELAY_MAX_MS: u64 = 60_000;
/// ms between two workers of a zone that are redirected to their leader to find out
/// whether they reach it again.
const PROBE_WORKER_GAP_MS: u64 = 4_000;

/// A worker whose heartbeats are relayed.
#[derive(Debug)]
struct RelayedWorker {
    /// It was redirected to its leader when it was last here.
    redirected: bool,
    /// When it last came because it could not reach its leader, ms.
    since: u64,
    /// For how long it is relayed from then on, ms.
    relay_ms: u64,
    /// When it was last here, ms.
    last_heartbeat: u64,
}

/// Whether a worker can reach its leader, as far as we know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderLink {
    /// Nothing says that it can't.
    Untried,
    /// It can't: it shows the leader's token, or was redirected there a moment ago.
    Failed,
}

/// Whether workers of a zone reach the leader by themselves, as its gossip says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneReachability {
    /// Some did of late.
    Reachable,
    /// None did.
    Unreachable,
}

/// All workers that are relayed.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    workers: HashMap<MachineId, RelayedWorker>,
    /// When the next worker of a shard's zone is redirected to probe the link, ms.
    next_probe: BTreeMap<(u16, String), u64>,
    last_sweep: u64,
}

impl RelayState {
    /// What to do with a worker whose leader can be reached from here.
    pub(crate) fn choose(
        &mut self,
        heartbeat: &MisroutedHeartbeat,
        leader_link: LeaderLink,
        zone: ZoneReachability,
        now: u64,
    ) -> MisroutedHeartbeatAction {
        self.sweep(now);
        if leader_link == LeaderLink::Untried {
            self.workers.remove(heartbeat.machine);
            return MisroutedHeartbeatAction::Redirect;
        }
        let Some(worker) = self.workers.get_mut(heartbeat.machine) else {
            self.workers.insert(
                heartbeat.machine.clone(),
                RelayedWorker {
                    redirected: false,
                    since: now,
                    relay_ms: RELAY_MS,
                    last_heartbeat: now,
                },
            );
            return MisroutedHeartbeatAction::Relay;
        };
        worker.last_heartbeat = now;
        if std::mem::take(&mut worker.redirected) {
            worker.since = now;
            worker.relay_ms = (2 * worker.relay_ms).min(RELAY_MAX_MS);
            return MisroutedHeartbeatAction::Relay;
        }
        let next_probe = self
            .next_probe
            .entry((heartbeat.shard, heartbeat.zone.to_owned()))
            .or_insert(now);
        if now < worker.since + worker.relay_ms
            || zone == ZoneReachability::Unreachable && now < *next_probe
        {
            return MisroutedHeartbeatAction::Relay;
        }
        *next_probe = now + PROBE_WORKER_GAP_MS;
        worker.redirected = true;
        MisroutedHeartbeatAction::Redirect
    }

    /// Number of workers relayed of late.
    pub(crate) fn relayed_workers(&self, now: u64) -> usize {
        self.workers
            .values()
            .filter(|worker| now < worker.last_heartbeat + RELAY_MS)
            .count()
    }

    fn sweep(&mut self, now: u64) {
        if now < self.last_sweep + RELAY_MS {
            return;
        }
        self.last_sweep = now;
        self.workers
            .retain(|_, worker| now < worker.last_heartbeat + RELAY_MAX_MS);
        self.next_probe.retain(|_, at| now < *at + RELAY_MAX_MS);
    }
}

#[cfg(test)]
mod tests;
