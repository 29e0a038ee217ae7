//! Decides whether a worker's heartbeat is relayed to its shard's leader or the worker is
//! redirected to send it directly.
//!
//! A worker stays with its leader as long as the leader answers. A worker that presents its
//! leader's own fencing token to another controller got no answer from the leader, so its
//! heartbeat is relayed at once: a second attempt would cost time of its lease. The link counts
//! as up again once the leader's gossip says that workers of the zone reach it. Probe workers,
//! redirected at intervals, make the leader notice as soon as the link recovers.

use std::collections::{BTreeMap, HashMap};

use super::{MisroutedHeartbeat, MisroutedHeartbeatAction};
use lemonweir_model::MachineId;

/// Time for which the heartbeats of a worker that could not reach its leader are relayed before
/// it may be redirected there again, ms: a failed attempt costs 5 s of its lease. Doubled after
/// each failed redirect, up to [`RELAY_MAX_MS`].
const RELAY_MS: u64 = 10_000;
/// Upper bound of the doubled [`RELAY_MS`], ms.
const RELAY_MAX_MS: u64 = 60_000;
/// Interval between two probe workers of a zone, which are redirected to their leader to find
/// out whether the zone reaches it again, ms.
const PROBE_WORKER_INTERVAL_MS: u64 = 4_000;

/// A worker whose heartbeats are relayed.
#[derive(Debug)]
struct RelayedWorker {
    /// True if its last heartbeat was answered with a redirect to its leader.
    redirected: bool,
    /// When it was last found unable to reach its leader, ms.
    since: u64,
    /// For how long its heartbeats are relayed from then on, ms.
    relay_ms: u64,
    /// When its last heartbeat arrived here, ms.
    last_heartbeat: u64,
}

/// Whether a worker can reach its leader, as far as this controller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderLink {
    /// There is no evidence that it can't.
    Untried,
    /// It can't: it presents the leader's token, or has just been redirected there.
    Failed,
}

/// Whether workers of a zone reach the leader directly, according to the leader's gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneReachability {
    /// The leader recently received a heartbeat directly from the zone.
    Reachable,
    /// The leader has not recently received a heartbeat directly from the zone.
    Unreachable,
}

/// Workers whose heartbeats are relayed.
#[derive(Debug, Default)]
pub(crate) struct RelayState {
    workers: HashMap<MachineId, RelayedWorker>,
    /// When the next probe worker of a shard and zone may be redirected, ms.
    next_probe: BTreeMap<(u16, String), u64>,
    /// When unused entries were last removed, ms.
    last_sweep: u64,
}

impl RelayState {
    /// Chooses how to answer a worker whose leader is reachable from this controller.
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
        *next_probe = now + PROBE_WORKER_INTERVAL_MS;
        worker.redirected = true;
        MisroutedHeartbeatAction::Redirect
    }

    /// Returns the number of workers whose heartbeats were relayed recently.
    pub(crate) fn relayed_workers(&self, now: u64) -> usize {
        self.workers
            .values()
            .filter(|worker| now < worker.last_heartbeat + RELAY_MS)
            .count()
    }

    /// Removes workers and probe times that have not been used for [`RELAY_MAX_MS`].
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
