//! Leader election: which shards a controller acquires, which it returns to their home,
//! and which it cedes to others.
//!
//! A shard's key lives with its leader's store lease, so a controller that is gone leaves
//! its shard without a leader. Its home acquires it first; another controller does once
//! the home has stayed away, the first candidate first, and returns it when the
//! home lives again. A leader that can't reach the shard's machines while a peer can cedes
//! it to its peers for a while, and publishes that with its presence.

use std::collections::BTreeMap;

use crate::{Core, ShardLease};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_storage::records::advance_record_version;

/// ms that a shard must have been without leader before a controller other than its
/// home acquires it: a home that is just starting goes first.
pub const FAILOVER_WAIT_MS: u64 = 500;
/// ms that lie between two candidates that might acquire a shard: an acquisition and its
/// reading by the others.
pub const ELECTION_STAGGER_MS: u64 = 500;
/// ms for which a controller cedes a shard whose machines it can't reach at
/// first; longer than partitions usually last. Doubled each time it is so again.
pub const CEDE_MS: u64 = 60_000;
/// ms that the doubling stops at.
const CEDE_MAX_MS: u64 = 600_000;

/// What a controller should do about a shard now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Acquire the shard, whose key must have this version; 0: no key.
    Acquire {
        /// The shard.
        shard: u16,
        /// Version of its key.
        version: u64,
    },
    /// Return it to its home.
    ReturnToHome(ShardLease),
    /// Cede it to a controller that reaches its machines.
    Cede(ShardLease),
}

/// A shard that this controller ceded.
#[derive(Clone, Copy, Debug)]
struct CededShard {
    /// Until when it leaves the shard to others, ms.
    until: u64,
    /// For how long it did so the last time, ms.
    length_ms: u64,
}

/// What a controller remembers about shards that it does not lead.
#[derive(Debug)]
pub struct LeaderElection {
    /// Since when a shard has had no leader, ms.
    leaderless_since: Vec<Option<u64>>,
    ceded: BTreeMap<u16, CededShard>,
}

/// What the cache shows of a shard's home and of the other controllers.
struct Candidacy<'a> {
    /// Host of this controller.
    own_host: &'a str,
    own_home: bool,
    home_lives: bool,
    /// The home lives and does not cede the shard.
    home_serves: bool,
    /// Another controller lives that does not cede the shard.
    others_serve: bool,
}

impl<'a> Candidacy<'a> {
    fn of(core: &'a Core, shard: u16) -> Option<Self> {
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
    /// Knows nothing yet of this many shards.
    pub fn new(shards: usize) -> Self {
        Self {
            leaderless_since: vec![None; shards],
            ceded: BTreeMap::new(),
        }
    }

    /// Number of shards.
    pub fn shards(&self) -> u16 {
        self.leaderless_since.len() as u16
    }

    /// Shards that this controller cedes to others now: all, while no worker reaches it
    /// and some should.
    ///
    /// Guards against a shard that goes from one controller that can't reach its
    /// machines to another that can't either, while its workers' leases expire.
    pub fn ceded(&self, core: &Core, now: u64) -> Vec<u16> {
        let cedes_some = self.ceded.values().any(|ceded| now < ceded.until);
        // To one that leads nothing silence says nothing: its workers went elsewhere.
        if core.links.no_worker_reachable(now) && (cedes_some || !core.leases().is_empty()) {
            return (0..self.shards()).collect();
        }
        self.ceded
            .iter()
            .filter(|(_, ceded)| now < ceded.until)
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// What this controller's presence has to say that it cedes, if it says otherwise or
    /// is not there: an earlier incarnation's late write may have tied it to a store lease
    /// that expired since.
    pub fn unpublished_ceded(&self, core: &Core, now: u64) -> Option<Vec<u16>> {
        let own_host = &core.config.members[usize::from(core.config.own_index)].host;
        let ceded = self.ceded(core, now);
        core.cache
            .controllers
            .get(own_host)
            .is_none_or(|node| node.ceded_shards != ceded)
            .then_some(ceded)
    }

    /// What to do about one shard, as far as the cache shows. Call it for
    /// each shard in turn, since what is led already counts for the next.
    pub fn next_action(&mut self, core: &Core, shard: u16, now: u64) -> Option<ElectionAction> {
        // Guards against judging by a cache from before a stall.
        if core.lease_unconfirmed() {
            return None;
        }
        let candidacy = Candidacy::of(core, shard)?;
        let leases = core.leases();
        let lease = leases.iter().find(|lease| lease.shard == shard).copied();
        let slot = usize::from(shard);
        self.leaderless_since.get(slot)?;
        match (core.cache.shard_leaders.get(&shard), lease) {
            (None, None) => {
                let since = *self.leaderless_since[slot].get_or_insert(now);
                let wait = failover_wait_ms(core, &candidacy, shard, leases.len());
                let eligible = candidacy.own_home || !candidacy.home_serves && now >= since + wait;
                // Where all that live cede it, somebody must lead it all the same.
                let ceded = candidacy.others_serve && self.ceded(core, now).contains(&shard);
                (eligible && !ceded).then_some(ElectionAction::Acquire { shard, version: 0 })
            }
            // Left by an earlier process of this name, which is no more.
            (Some(leader), None) if leader.host == candidacy.own_host => {
                Some(ElectionAction::Acquire {
                    shard,
                    version: leader.fencing_token,
                })
            }
            (Some(_), Some(lease)) if !candidacy.own_home && candidacy.home_serves => {
                self.leaderless_since[slot] = None;
                Some(ElectionAction::ReturnToHome(lease))
            }
            // Guards against a whole shard whose workers' leases expire since its leader
            // alone is cut from the workers.
            (Some(_), Some(lease))
                if candidacy.others_serve && core.workers_unreachable(shard, now) =>
            {
                self.leaderless_since[slot] = None;
                self.cede(shard, now);
                Some(ElectionAction::Cede(lease))
            }
            _ => {
                self.leaderless_since[slot] = None;
                None
            }
        }
    }

    fn cede(&mut self, shard: u16, now: u64) {
        // Guards against a longer time for each try that got no answer: what it
        // was ceded for last counts once that is over.
        let length_ms = match self.ceded.get(&shard) {
            None => CEDE_MS,
            Some(ceded) if now < ceded.until => ceded.length_ms,
            Some(ceded) => (2 * ceded.length_ms).min(CEDE_MAX_MS),
        };
        let until = now + length_ms;
        self.ceded.insert(shard, CededShard { until, length_ms });
    }
}

/// ms that a shard must have been leaderless before this controller, which leads so many
/// shards, acquires it in place of its home.
fn failover_wait_ms(core: &Core, candidacy: &Candidacy, shard: u16, led: usize) -> u64 {
    // Its home lives and can't serve it, nor can anybody else: no use waiting.
    if candidacy.home_lives && !candidacy.others_serve {
        return 0;
    }
    FAILOVER_WAIT_MS + ELECTION_STAGGER_MS * candidates_before(core, shard, led)
}

/// Living controllers that go before this one, which leads so many shards, in acquiring a
/// shard whose home is away: those with fewer shards, then those of its zone, then in
/// turn from the home on. All controllers reckon it alike, so that one bids at a time, the
/// shards of several that end go to several, and nobody waits for who is not there.
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
    /// The compare-and-swap that records that every controller reads the newest records, once
    /// all have shown so at one time.
    ///
    /// Guards against records that a controller of an earlier version takes for broken
    /// ones, and so starts again what they say runs.
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

    /// Teams that no record assigns to a shard yet, with the shard that each
    /// should have, as many as one compare-and-swap can write.
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
