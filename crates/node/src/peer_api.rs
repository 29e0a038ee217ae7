//! What other controllers may ask this one.

use std::fmt::Display;
use std::rc::Rc;

use tracing::{debug, info};

use crate::Node;
use crate::heartbeat_relay::handle_relayed_heartbeats;
use lemonweir_coordination::owner::SyncError;
use lemonweir_protocol::links::{
    self, AvailabilityGossip, GOSSIP_PATH, RELAY_HEARTBEATS_PATH, RELAY_PATH, RelayRequest,
    RelayedHeartbeats,
};
use lemonweir_protocol::peer::{self, SyncRequest};
use lemonweir_transport::{Handler, Reply, Request};

/// Path of a sync request.
pub(crate) const SYNC_PATH: &str = "/peer/sync";
/// Path of the notice that a job was accepted.
pub(crate) const JOB_ACCEPTED_PATH: &str = "/peer/jobs";
/// Prefix of the path of a wake-up; two numbers of shards follow.
const WAKE_PREFIX: &str = "/peer/nudge/";

/// Path that asks the leader of `shard` to sync with the shard `from`.
pub(crate) fn wake_path(shard: u16, from: u16) -> String {
    format!("{WAKE_PREFIX}{shard}/{from}")
}

/// The routes of this API.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PeerRoute {
    /// Sync request of a shard's placer to the leader of another.
    Sync,
    /// What another controller can reach.
    Gossip,
    /// Workers' heartbeats that reached another controller than the leader.
    RelayHeartbeats,
    /// A call to be made on another controller's behalf.
    Relay,
    /// Asks `shard` to sync with `from` soon.
    Wake {
        /// The shard to wake, which is led here.
        shard: u16,
        /// The shard that has something for it.
        from: u16,
    },
    /// A wake-up that does not name two shards.
    MalformedWake,
    /// A job was accepted by another controller.
    JobAccepted,
}

impl PeerRoute {
    /// The route of a request; `None`: there is no such route.
    pub(crate) fn parse(method: &str, path: &str) -> Option<Self> {
        if method != "POST" {
            return None;
        }
        if path == SYNC_PATH {
            Some(Self::Sync)
        } else if path == GOSSIP_PATH {
            Some(Self::Gossip)
        } else if path == RELAY_HEARTBEATS_PATH {
            Some(Self::RelayHeartbeats)
        } else if path == RELAY_PATH {
            Some(Self::Relay)
        } else if path == JOB_ACCEPTED_PATH {
            Some(Self::JobAccepted)
        } else if path.starts_with(WAKE_PREFIX) {
            Some(Self::parse_wake(path.trim_start_matches(WAKE_PREFIX)))
        } else {
            None
        }
    }

    fn parse_wake(shards: &str) -> Self {
        let mut shards = shards.split('/').map(str::parse::<u16>);
        match (shards.next(), shards.next()) {
            (Some(Ok(shard)), Some(Ok(from))) => Self::Wake { shard, from },
            _ => Self::MalformedWake,
        }
    }
}

/// Answers the requests of other controllers.
pub(crate) struct PeerApi(pub(crate) Rc<Node>);

impl Handler for PeerApi {
    async fn handle(&self, request: Request) -> Reply {
        let node = &self.0;
        let Some(route) = PeerRoute::parse(&request.method, &request.path) else {
            return Reply::empty(404);
        };
        match route {
            PeerRoute::Sync => match peer::decode::<SyncRequest>(&request.body) {
                Ok(sync) => handle_sync(node, &sync),
                Err(fault) => malformed(fault),
            },
            PeerRoute::Gossip => match links::decode::<AvailabilityGossip>(&request.body) {
                Ok(gossip) => {
                    let own = node.with_core(|core, now| core.links.handle_gossip(gossip, now));
                    Reply::new(200, links::encode(&own))
                }
                Err(fault) => malformed(fault),
            },
            PeerRoute::RelayHeartbeats => match links::decode::<RelayedHeartbeats>(&request.body) {
                Ok(relayed) => handle_relayed_heartbeats(node, &relayed),
                Err(fault) => malformed(fault),
            },
            PeerRoute::Relay => match links::decode::<RelayRequest>(&request.body) {
                Ok(relay_request) => node.router.relay(&relay_request).await,
                Err(fault) => malformed(fault),
            },
            PeerRoute::Wake { shard, from } => {
                node.with_core(|core, _| core.handle_wake(shard, from));
                node.wake();
                Reply::empty(200)
            }
            PeerRoute::MalformedWake => Reply::empty(400),
            PeerRoute::JobAccepted => {
                handle_job_accepted(node);
                Reply::empty(200)
            }
        }
    }
}

/// Refuses a message that can't be read.
fn malformed(fault: impl Display) -> Reply {
    info!(%fault, "peer message malformed");
    Reply::empty(400)
}

/// Answers the sync request of another shard's placer with the view of the shard.
fn handle_sync(node: &Node, sync: &SyncRequest) -> Reply {
    let answer = node.with_core(|core, now| core.handle_sync(sync, now));
    node.wake();
    match answer {
        Ok(view) => Reply::new(200, peer::encode(&view)),
        Err(refusal) => {
            debug!(from_shard = sync.from_shard, to_shard = sync.to_shard, %refusal, "sync refused");
            match refusal {
                SyncError::Superseded(by) => Reply::new(409, peer::encode(&by)),
                _ => Reply::empty(409),
            }
        }
    }
}

/// Reads a job that was accepted elsewhere now rather than at the next regular refresh.
fn handle_job_accepted(node: &Rc<Node>) {
    let task_node = node.clone();
    node.executor
        .spawn(async move {
            let _ = task_node.refresh_cache().await;
        })
        .detach();
}
