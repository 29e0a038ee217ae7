//! HTTP API for other controllers: its routes and their handlers.

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
use lemonweir_protocol::progress::{PROGRESS_PATH, ProgressQuery};
use lemonweir_transport::{Handler, Reply, Request};

/// Path of a sync request.
pub(crate) const SYNC_PATH: &str = "/peer/sync";
/// Path of the notification that a job, or the cancellation of one, was accepted.
pub(crate) const JOB_ACCEPTED_PATH: &str = "/peer/jobs";
/// Path prefix of a wake-up; two shard numbers follow.
const WAKE_PREFIX: &str = "/peer/nudge/";

/// Path of the request that asks the placer of `shard` to sync with shard `from`.
pub(crate) fn wake_path(shard: u16, from: u16) -> String {
    format!("{WAKE_PREFIX}{shard}/{from}")
}

/// The routes of this API.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PeerRoute {
    /// Sync request from a shard's placer to the leader of another shard.
    Sync,
    /// Pull of the progress of a shard's jobs.
    Progress,
    /// Availability gossip: what another controller can reach.
    Gossip,
    /// Workers' heartbeats relayed by a controller that does not lead their shard.
    RelayHeartbeats,
    /// A call to make on another controller's behalf.
    Relay,
    /// Asks the placer of `shard` to sync with `from` soon.
    Wake {
        /// The shard to wake, led by this controller.
        shard: u16,
        /// The shard that has an update for it.
        from: u16,
    },
    /// A wake-up whose path does not name two shards.
    MalformedWake,
    /// Another controller accepted a job, or the cancellation of one.
    JobAccepted,
}

impl PeerRoute {
    /// Returns the route of a request, or `None` if there is no such route.
    pub(crate) fn parse(method: &str, path: &str) -> Option<Self> {
        if method != "POST" {
            return None;
        }
        if path == SYNC_PATH {
            Some(Self::Sync)
        } else if path == PROGRESS_PATH {
            Some(Self::Progress)
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

/// Handles the requests of other controllers.
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
                Err(fault) => reject_malformed(fault),
            },
            PeerRoute::Progress => match peer::decode::<ProgressQuery>(&request.body) {
                Ok(query) => {
                    match node.with_core(|core, now| core.handle_progress_query(&query, now)) {
                        Some(page) => Reply::new(200, peer::encode(&page)),
                        None => Reply::empty(409),
                    }
                }
                Err(fault) => reject_malformed(fault),
            },
            PeerRoute::Gossip => match links::decode::<AvailabilityGossip>(&request.body) {
                Ok(gossip) => {
                    let own = node.with_core(|core, now| core.links.handle_gossip(gossip, now));
                    Reply::new(200, links::encode(&own))
                }
                Err(fault) => reject_malformed(fault),
            },
            PeerRoute::RelayHeartbeats => match links::decode::<RelayedHeartbeats>(&request.body) {
                Ok(relayed) => handle_relayed_heartbeats(node, &relayed),
                Err(fault) => reject_malformed(fault),
            },
            PeerRoute::Relay => match links::decode::<RelayRequest>(&request.body) {
                Ok(relay_request) => node.router.relay(&relay_request).await,
                Err(fault) => reject_malformed(fault),
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

/// Rejects a message that can't be decoded.
fn reject_malformed(fault: impl Display) -> Reply {
    info!(%fault, "peer message malformed");
    Reply::empty(400)
}

/// Answers a sync request of another shard's placer with a view of the requested shard.
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

/// Refreshes the cache to read a job or a cancellation that another controller accepted,
/// without waiting for the next regular refresh.
fn handle_job_accepted(node: &Rc<Node>) {
    let task_node = node.clone();
    node.executor
        .spawn(async move {
            let _ = task_node.refresh_cache().await;
        })
        .detach();
}
