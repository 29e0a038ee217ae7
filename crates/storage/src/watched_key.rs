//! Parses the keys under `w/`, which every controller watches, into their kinds.

use crate::records::{VERSION_KEY, WATCHED_PREFIX};

/// A watched key, split by its kind. The remaining segments are not validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedKey<'a> {
    /// `w/job/<id>`: an unfinished job that isn't blocked.
    Job(&'a str),
    /// `w/chain/<id>` or `w/chain/<id>/<page>`: a blocked job, or more of its dependencies.
    BlockedJob(&'a str),
    /// `w/spec/<id>/<digest>/<page>`: a page of a job's specification.
    SpecPage(&'a str),
    /// `w/part/<shard>`: the leader of a shard.
    Shard(&'a str),
    /// `w/node/<host>`: a live controller.
    Controller(&'a str),
    /// `w/version`: the record version that every controller reads.
    Version,
    /// `w/team/<name>`: the shard that serves a team.
    Team(&'a str),
    /// `w/hand/<shard>/<slot>`: a failover of a shard.
    Failover(&'a str),
    /// `w/mail/<kind>/<from>/<to>/<chunk>`: a chunk of a peer message.
    StoreMessage(&'a str),
    /// `w/progress/<shard>/<page>`: a page of a shard's last known progress.
    LastProgress(&'a str),
}

impl<'a> WatchedKey<'a> {
    /// Parses a key; `None` if this version doesn't know its kind.
    pub(crate) fn parse(key: &'a str) -> Option<Self> {
        if key == VERSION_KEY {
            return Some(Self::Version);
        }
        let (kind, rest) = key.strip_prefix(WATCHED_PREFIX)?.split_once('/')?;
        match kind {
            "job" => Some(Self::Job(rest)),
            "chain" => Some(Self::BlockedJob(rest)),
            "spec" => Some(Self::SpecPage(rest)),
            "part" => Some(Self::Shard(rest)),
            "node" => Some(Self::Controller(rest)),
            "team" => Some(Self::Team(rest)),
            "hand" => Some(Self::Failover(rest)),
            "mail" => Some(Self::StoreMessage(rest)),
            "progress" => Some(Self::LastProgress(rest)),
            _ => None,
        }
    }
}
