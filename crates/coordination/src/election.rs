//! Leader election: which shards a controller acquires, which it returns to their home,
//! and which it cedes to others.
//!
//! A shard's leader key is bound to its leader's store lease, so a shard has no leader once
//! its leader stops renewing that lease. The shard's home acquires it first. If the home
//! stays away, the other controllers follow in a fixed order, and the one that acquires the
//! shard returns it when the home is alive again. A leader that can't reach the shard's
//! machines while another controller can cedes the shard for a while, and publishes that in
//! its controller record.

use std::collections::BTreeMap;

use tracing::info;

use crate::{Core, ShardLease};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_storage::records::advance_record_version;

/// ms that a shard must have been without a leader before a controller other than its home
/// acquires it: a home that is just starting goes first.
pub const FAILOVER_WAIT_MS: u64 = 500;
/// ms between the attempts of two successive candidates to acquire a shard: time for an
/// acquisition to be written and to be read by the others.
pub const ELECTION_STAGGER_MS: u64 = 500;
/// ms for which a controller first cedes a shard whose machines it can't reach; longer than
/// partitions usually last. Doubles each time the shard is ceded again.
pub const CEDE_MS: u64 = 60_000;
/// ms at which the doubling of [`CEDE_MS`] stops.
const CEDE_MAX_MS: u64 = 600_000;

/// What a controller has to do about a shard now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Acquire the shard, if its leader key still has this version; 0: the key must not exist.
    Acquire {
        /// Number of the shard.
        shard: u16,
        /// Version of its leader key.
        version: u64,
    },
    /// Return the shard to its home.
    ReturnToHome(ShardLease),
    /// Cede the shard to a controller that reaches its machines.
    Cede(ShardLease),
}

/// Where a controller stands in the election of a shard's leader: why it acts or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ElectionState {
    /// The process stalled, and the store has not confirmed its leases since.
    LeaseUnconfirmed,
    /// It leads the shard.
    Leading,
    /// The state cache names another controller, or another lease, as the leader.
    LedByOther,
    /// The shard has no leader, and its home is expected to acquire it.
    AwaitingHome,
    /// The shard has no leader, and it is not this controller's turn to acquire it yet.
    AwaitingTurn,
    /// The shard has no leader, and this controller cedes it to others.
    Ceding,
    /// It acquires the shard.
    Acquiring,
    /// It gives the shard up, to its home or to a controller that reaches its machines.
    Releasing,
}

/// What a controller does about a shard, and why.
struct ElectionDecision {
    state: ElectionState,
    action: Option<ElectionAction>,
}

impl ElectionDecision {
    fn wait(state: ElectionState) -> Self {
        Self {
            state,
            action: None,
        }
    }

    fn act(state: ElectionState, action: ElectionAction) -> Self {
        Self {
            state,
            action: Some(action),
        }
    }
}

/// A shard that this controller has ceded.
#[derive(Clone, Copy, Debug)]
struct CededShard {
    /// Until when this controller leaves the shard to others, ms.
    until: u64,
    /// For how long it was last ceded, ms.
    duration_ms: u64,
}

/// What a controller remembers about shards that it does not lead.
#[derive(Debug)]
pub struct LeaderElection {
    /// For each shard, since when it has been seen without a leader, ms.
    leaderless_since: Vec<Option<u64>>,
    /// For each shard, the state that was last logged.
    logged_states: Vec<Option<ElectionState>>,
    /// Shards that this controller has ceded, also those whose time has passed.
    ceded: BTreeMap<u16, CededShard>,
}

/// What the state cache shows of a shard's home and of the other controllers.
struct Candidacy<'a> {
    /// Host of this controller.
    own_host: &'a str,
    /// This controller is the shard's home.
    own_home: bool,
    /// The home has a controller record, so it is alive.
    home_lives: bool,
    /// The home is alive and does not cede the shard.
    home_serves: bool,
    /// Another controller is alive and does not cede the shard.
    others_serve: bool,
}

impl<'a> Candidacy<'a> {
    fn for_shard(core: &'a Core, shard: u16) -> Option<Self> {
        let members = &core.config.members;
        let home = &members.get(usize::from(shard))?.host;
        let own_host = members[usize::from(core.config.own_index)].host.as_str();
        let nodes = &core.cache.controllers;
        let home_record = nodes.get(home);
        Some(Self {
            own_host,
            own_home: home == own_host,
            home_lives: home_record.is_some(),
            home_serves: home_record.is_some_and(|node| !node.ceded_shards.contains(&shard)),
            others_serve: nodes
                .iter()
                .any(|(host, node)| host != own_host && !node.ceded_shards.contains(&shard)),
        })
    }
}

impl LeaderElection {
    /// Creates the state for this many shards, none of them observed yet.
    pub fn new(shards: usize) -> Self {
        Self {
            leaderless_since: vec![None; shards],
            logged_states: vec![None; shards],
            ceded: BTreeMap::new(),
        }
    }

    /// Number of shards in the cluster.
    pub fn shards(&self) -> u16 {
        self.leaderless_since.len() as u16
    }

    /// Shards that this controller cedes to others now: all of them while no worker reaches
    /// it, if it leads or has ceded a shard.
    ///
    /// Otherwise a shard could move from one controller that can't reach its machines to
    /// another that can't either, while its workers' leases expire.
    pub fn ceded(&self, core: &Core, now: u64) -> Vec<u16> {
        let cedes_some = self.ceded.values().any(|ceded| now < ceded.until);
        // Silence proves nothing to a controller that leads no shard: workers have no reason
        // to send heartbeats to it.
        if core.links.no_worker_reachable(now) && (cedes_some || !core.leases().is_empty()) {
            return (0..self.shards()).collect();
        }
        self.ceded
            .iter()
            .filter(|(_, ceded)| now < ceded.until)
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// The ceded shards to publish in this controller's record, if the record differs or is
    /// missing: a late write of an earlier process on this host may have bound it to a store
    /// lease that has expired since.
    pub fn unpublished_ceded(&self, core: &Core, now: u64) -> Option<Vec<u16>> {
        let own_host = &core.config.members[usize::from(core.config.own_index)].host;
        let ceded = self.ceded(core, now);
        core.cache
            .controllers
            .get(own_host)
            .is_none_or(|node| node.ceded_shards != ceded)
            .then_some(ceded)
    }

    /// What to do about one shard, judging by the state cache. Call it for each shard in
    /// turn: the number of shards already led counts in the decision on the next.
    pub fn next_action(&mut self, core: &Core, shard: u16, now: u64) -> Option<ElectionAction> {
        let decision = self.decide(core, shard, now)?;
        self.log_state(core, shard, decision.state);
        decision.action
    }

    /// The decision on one shard; `None` if there is no such shard.
    fn decide(&mut self, core: &Core, shard: u16, now: u64) -> Option<ElectionDecision> {
        let candidacy = Candidacy::for_shard(core, shard)?;
        let slot = usize::from(shard);
        self.leaderless_since.get(slot)?;
        // After a stall the cache may be out of date.
        if core.lease_unconfirmed() {
            return Some(ElectionDecision::wait(ElectionState::LeaseUnconfirmed));
        }
        let leases = core.leases();
        let lease = leases.iter().find(|lease| lease.shard == shard).copied();
        let leader = core.cache.shard_leaders.get(&shard);
        if leader.is_none() && lease.is_none() {
            return Some(self.decide_leaderless(core, &candidacy, shard, leases.len(), now));
        }
        // Written by an earlier process on this host, which no longer runs.
        if let Some(leader) = leader.filter(|leader| leader.host == candidacy.own_host)
            && lease.is_none()
        {
            let version = leader.fencing_token;
            return Some(ElectionDecision::act(
                ElectionState::Acquiring,
                ElectionAction::Acquire { shard, version },
            ));
        }
        self.leaderless_since[slot] = None;
        Some(match (leader, lease) {
            (Some(_), Some(lease)) if !candidacy.own_home && candidacy.home_serves => {
                ElectionDecision::act(
                    ElectionState::Releasing,
                    ElectionAction::ReturnToHome(lease),
                )
            }
            // Only this leader is cut off from the workers: if it kept the shard, all their
            // leases would expire.
            (Some(_), Some(lease))
                if candidacy.others_serve && core.workers_unreachable(shard, now) =>
            {
                self.cede(shard, now);
                ElectionDecision::act(ElectionState::Releasing, ElectionAction::Cede(lease))
            }
            (_, Some(_)) => ElectionDecision::wait(ElectionState::Leading),
            (_, None) => ElectionDecision::wait(ElectionState::LedByOther),
        })
    }

    /// The decision on a shard without a leader, by a controller that leads `led` shards.
    fn decide_leaderless(
        &mut self,
        core: &Core,
        candidacy: &Candidacy,
        shard: u16,
        led: usize,
        now: u64,
    ) -> ElectionDecision {
        let since = *self.leaderless_since[usize::from(shard)].get_or_insert(now);
        let wait = failover_wait_ms(core, candidacy, shard, led);
        // If all living controllers cede it, one of them must lead it all the same.
        let ceded = candidacy.others_serve && self.ceded(core, now).contains(&shard);
        if !candidacy.own_home && candidacy.home_serves {
            ElectionDecision::wait(ElectionState::AwaitingHome)
        } else if !candidacy.own_home && now < since + wait {
            ElectionDecision::wait(ElectionState::AwaitingTurn)
        } else if ceded {
            ElectionDecision::wait(ElectionState::Ceding)
        } else {
            ElectionDecision::act(
                ElectionState::Acquiring,
                ElectionAction::Acquire { shard, version: 0 },
            )
        }
    }

    /// Logs the state of a shard's election, if it has changed since it was last logged.
    fn log_state(&mut self, core: &Core, shard: u16, state: ElectionState) {
        let logged = &mut self.logged_states[usize::from(shard)];
        if logged.replace(state) == Some(state) {
            return;
        }
        let leader = core.cache.shard_leaders.get(&shard);
        info!(
            shard,
            ?state,
            cached_leader = leader.map(|leader| leader.host.as_str()),
            fencing_token = leader.map(|leader| leader.fencing_token),
            revision = core.cache.revision,
            "election state changed"
        );
    }

    fn cede(&mut self, shard: u16, now: u64) {
        // A cession whose write got no answer is repeated while the shard still counts as ceded;
        // the duration doubles only after the previous one has passed.
        let duration_ms = match self.ceded.get(&shard) {
            None => CEDE_MS,
            Some(ceded) if now < ceded.until => ceded.duration_ms,
            Some(ceded) => (2 * ceded.duration_ms).min(CEDE_MAX_MS),
        };
        let until = now + duration_ms;
        self.ceded.insert(shard, CededShard { until, duration_ms });
    }
}

/// ms that a shard must have been leaderless before this controller, which leads `led`
/// shards, acquires it in place of its home.
fn failover_wait_ms(core: &Core, candidacy: &Candidacy, shard: u16, led: usize) -> u64 {
    // The home is alive but can't serve the shard, nor can any other controller: waiting
    // gains nothing.
    if candidacy.home_lives && !candidacy.others_serve {
        return 0;
    }
    FAILOVER_WAIT_MS + ELECTION_STAGGER_MS * candidates_before(core, shard, led)
}

/// Number of living controllers that precede this one, which leads `led` shards, in
/// acquiring a shard whose home is away. Controllers that lead fewer shards come first, then
/// those in the home's zone, then in member order from the home on. All controllers compute
/// the same order, so that one tries at a time, the shards of several failed controllers go
/// to several others, and none waits for a controller that is not there.
fn candidates_before(core: &Core, shard: u16, led: usize) -> u64 {
    let members = &core.config.members;
    let own_index = usize::from(core.config.own_index);
    let home = usize::from(shard);
    let rank = |index: usize, led: usize| {
        let turn = (index + members.len() - home) % members.len();
        (led, members[index].zone != members[home].zone, turn)
    };
    let own_rank = rank(own_index, led);
    let shards_led = |host: &str| {
        core.cache
            .shard_leaders
            .values()
            .filter(|leader| leader.host == host)
            .count()
    };
    let serves = |host: &str| {
        core.cache
            .controllers
            .get(host)
            .is_some_and(|node| !node.ceded_shards.contains(&shard))
    };
    members
        .iter()
        .enumerate()
        .filter(|(index, m)| *index != own_index && *index != home && serves(&m.host))
        .filter(|(index, m)| rank(*index, shards_led(&m.host)) < own_rank)
        .count() as u64
}

impl Core {
    /// The compare-and-swap that raises the stored record version, once all controllers
    /// advertise at the same time that they read the newer one.
    ///
    /// A controller of an earlier version would take newer records for malformed and start
    /// again what they record as running.
    pub fn records_version_cas(&self) -> Option<CompareAndSwap> {
        let (version, key_version) = self.cache.records_version;
        let reads = |host: &str| {
            self.cache
                .controllers
                .get(host)
                .map_or(0, |node| node.record_version)
        };
        let all = self
            .config
            .members
            .iter()
            .map(|member| reads(&member.host))
            .min()
            .unwrap_or(0);
        (all > version).then(|| advance_record_version(all, key_version))
    }

    /// Teams that no record assigns to a shard yet, each with its default shard, at most as
    /// many as one compare-and-swap can write.
    pub fn unassigned_teams(&self) -> Vec<(String, u16)> {
        let new = self
            .config
            .teams
            .iter()
            .filter(|team| !self.cache.team_shards.contains_key(*team));
        new.map(|team| (team.clone(), self.config.default_shard(team)))
            .take(self.config.cas_max_changes)
            .collect()
    }
}
