//! Which parts a node takes, which it hands back, and which it leaves to others.
//!
//! A part's key lives with its owner's hold, so a node that is gone leaves its
//! part without a holder. Its home takes it first; another node takes it once
//! the home has stayed away, the likely successor first, and hands it back when the
//! home lives again. A
//! holder that can't hear the part's machines while a peer can leaves it to its
//! peers for a while, and shows that with its presence.

use std::collections::BTreeMap;

use crate::{Core, ShardLease};
use lemonweir_model::constants::{DEAF_MOST_MS, DEAF_MS, HEIR_STEP_MS, TAKEOVER_WAIT_MS};
use lemonweir_protocol::kv_store::CompareAndSwap;
use lemonweir_storage::records::advance_record_version;

/// What a node should do about a part now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionAction {
    /// Take the part, whose key must have this version; 0: no key.
    Take {
        /// The part.
        shard: u16,
        /// Version of its key.
        version: u64,
    },
    /// Hand it back to its home.
    HandBack(ShardLease),
    /// Leave it to a node that hears its machines.
    Leave(ShardLease),
}

/// What a node remembers about parts that it does not hold.
#[derive(Debug)]
pub struct LeaderElection {
    /// Since when a part has had no holder, ms.
    empty_since: Vec<Option<u64>>,
    /// Parts left to others: until when, and for how long the last time, ms.
    left: BTreeMap<u16, (u64, u64)>,
}

impl LeaderElection {
    /// Knows nothing yet of this many parts.
    pub fn new(shards: usize) -> Self {
        Self {
            empty_since: vec![None; shards],
            left: BTreeMap::new(),
        }
    }

    /// Number of parts.
    pub fn shards(&self) -> u16 {
        self.empty_since.len() as u16
    }

    /// Parts that this node leaves to others now: all, while no worker reaches it
    /// and some should.
    ///
    /// Guards against a part that goes from one controller that can't hear its
    /// machines to another that can't either, while its leases run out.
    pub fn left(&self, core: &Core, now: u64) -> Vec<u16> {
        let leaves_some = self.left.values().any(|(until, _)| now < *until);
        // Who holds nothing is not told by silence: its workers went elsewhere.
        if core.links.hears_nobody(now) && (leaves_some || !core.held().is_empty()) {
            return (0..self.shards()).collect();
        }
        self.left
            .iter()
            .filter(|(_, (until, _))| now < *until)
            .map(|(shard, _)| *shard)
            .collect()
    }

    /// What this node's presence has to say that it leaves, if it says otherwise or
    /// is not there: an earlier life's late writing may have tied it to a hold that
    /// ended since.
    pub fn unshown(&self, core: &Core, now: u64) -> Option<Vec<u16>> {
        let me = &core.config.members[usize::from(core.config.me)].host;
        let left = self.left(core, now);
        core.cache
            .controllers
            .get(me)
            .is_none_or(|n| n.ceded_shards != left)
            .then_some(left)
    }

    /// What to do about one part, as far as the node's copy shows. Call it for
    /// each part in turn, since what is held already counts for the next.
    pub fn claim(&mut self, core: &Core, shard: u16, now: u64) -> Option<ElectionAction> {
        // Guards against judging by a picture from before a pause.
        if core.unproven() {
            return None;
        }
        let members = &core.config.members;
        let home = &members.get(usize::from(shard))?.host;
        let me = &members[usize::from(core.config.me)].host;
        let leaves = |host: &str| {
            core.cache
                .controllers
                .get(host)
                .is_some_and(|n| n.ceded_shards.contains(&shard))
        };
        let home_serves = core.cache.controllers.contains_key(home) && !leaves(home);
        // Where all that live leave it, somebody must hold it all the same.
        let spared = self.left(core, now).contains(&shard)
            && core.cache.controllers.keys().any(|n| n != me && !leaves(n));
        // Its home lives and can't serve it, nor can anybody else: no use waiting.
        let alone = core.cache.controllers.contains_key(home)
            && core.cache.controllers.keys().all(|n| n == me || leaves(n));
        let held = core.held();
        let lease = held.iter().find(|l| l.shard == shard).copied();
        let slot = self.empty_since.get_mut(usize::from(shard))?;
        match (core.cache.shard_leaders.get(&shard), lease) {
            (None, None) => {
                let since = *slot.get_or_insert(now);
                let wait = if alone {
                    0
                } else {
                    TAKEOVER_WAIT_MS + HEIR_STEP_MS * heirs_before(core, shard, held.len())
                };
                let mine = home == me || !home_serves && now >= since + wait;
                (mine && !spared).then_some(ElectionAction::Take { shard, version: 0 })
            }
            // Left by an earlier process of this name, which is no more.
            (Some(h), None) if h.host == *me => Some(ElectionAction::Take {
                shard,
                version: h.fencing_token,
            }),
            (Some(_), Some(lease)) if home != me && home_serves => {
                *slot = None;
                Some(ElectionAction::HandBack(lease))
            }
            // Guards against a whole part whose leases run out since its holder
            // alone is cut from the workers.
            (Some(_), Some(lease))
                if core.deaf(shard, now)
                    && core.cache.controllers.keys().any(|n| n != me && !leaves(n)) =>
            {
                *slot = None;
                // Guards against a longer time for each try that got no answer: what it
                // was left for last counts once that is over.
                let length = match self.left.get(&shard) {
                    None => DEAF_MS,
                    Some((until, length)) if now < *until => *length,
                    Some((_, length)) => (2 * length).min(DEAF_MOST_MS),
                };
                self.left.insert(shard, (now + length, length));
                Some(ElectionAction::Leave(lease))
            }
            _ => {
                *slot = None;
                None
            }
        }
    }
}

/// Living nodes that go before this one, which holds so many parts, in taking a
/// part whose home is away: those with fewer parts, then those of its zone, then in
/// turn from the home on. All nodes reckon it alike, so that one bids at a time, the
/// parts of several that end go to several, and nobody waits for who is not there.
fn heirs_before(core: &Core, shard: u16, held: usize) -> u64 {
    let members = &core.config.members;
    let home = usize::from(shard);
    let rank = |at: usize, held: usize| {
        let turn = (at + members.len() - home) % members.len();
        (held, members[at].zone != members[home].zone, turn)
    };
    let mine = rank(usize::from(core.config.me), held);
    let holds = |host: &str| {
        core.cache
            .shard_leaders
            .values()
            .filter(|h| h.host == host)
            .count()
    };
    let willing = |host: &str| {
        core.cache
            .controllers
            .get(host)
            .is_some_and(|n| !n.ceded_shards.contains(&shard))
    };
    let others = members
        .iter()
        .enumerate()
        .filter(|(at, m)| *at != usize::from(core.config.me) && *at != home && willing(&m.host));
    others
        .filter(|(at, m)| rank(*at, holds(&m.host)) < mine)
        .count() as u64
}

impl Core {
    /// The transaction that records that every controller reads the newest records, once
    /// all have shown so at one time.
    ///
    /// Guards against records that a controller of an earlier version takes for broken
    /// ones, and so starts again what they say runs.
    pub fn version_cas(&self) -> Option<CompareAndSwap> {
        let (version, key_version) = self.cache.records_version;
        let reads = |host: &str| self.cache.controllers.get(host).map_or(0, |node| node.record_version);
        let all = self
            .config
            .members
            .iter()
            .map(|member| reads(&member.host))
            .min()
            .unwrap_or(0);
        (all > version).then(|| advance_record_version(all, key_version))
    }

    /// Teams that no record assigns to a part yet, with the part that each
    /// should have, as many as one transaction can write.
    pub fn unassigned_teams(&self) -> Vec<(String, u16)> {
        let new = self
            .config
            .teams
            .iter()
            .filter(|t| !self.cache.team_shards.contains_key(*t));
        new.map(|t| (t.clone(), self.config.default_shard(t)))
            .take(self.config.txn_ops)
            .collect()
    }
}
