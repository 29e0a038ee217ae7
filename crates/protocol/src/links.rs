//! Gossip between controllers about the state of their links, and relayed calls and
//! heartbeats.
//!
//! These messages have a format version and paths of their own: a controller of a version
//! that doesn't know them responds with 404 and is not used as a relay.

use crate::{DecodeError, decode_format};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Path for gossip about links.
pub const GOSSIP_PATH: &str = "/peer/links";
/// Path for calls to be relayed by the receiver.
pub const RELAY_PATH: &str = "/peer/carry";
/// Path for workers' heartbeats that are relayed to the owner.
pub const RELAY_HEARTBEATS_PATH: &str = "/peer/reports";
/// Format version of these messages.
pub const LINKS_VERSION: u8 = 1;

/// State of a link.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Nothing was sent over the link yet, no response was due, or the workers of a zone have
    /// sent no heartbeat recently.
    #[default]
    Unknown,
    /// Calls over the link get responses.
    Up,
    /// The last response is missing; the next call decides whether the link is down.
    #[serde(rename = "late")]
    Suspect,
    /// Calls get no response, though messages from the other side arrive.
    #[serde(rename = "one_way")]
    InboundOnly,
    /// No messages arrive in either direction.
    Down,
}

/// The state of a controller's own links. Ages are in ms as of the time of sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AvailabilityGossip {
    /// Format version: [`LINKS_VERSION`].
    pub version: u8,
    /// Index of the sender among the controllers.
    pub controller: u16,
    /// Time since the store last responded to it directly; `None` if it never did.
    pub store_age_ms: Option<u64>,
    /// Time since the cloud last responded to it directly; `None` if it never did.
    pub cloud_age_ms: Option<u64>,
    /// Links to the other controllers by index: state, and time in that state.
    pub peers: Vec<(u16, LinkState, u64)>,
    /// Zones, and time since a worker of the zone last reached it directly.
    pub zone_heartbeat_ages: Vec<(String, u64)>,
}

impl AvailabilityGossip {
    /// ms since a service last responded to the sender directly.
    pub fn service_age_ms(&self, service: Service) -> Option<u64> {
        match service {
            Service::Store => self.store_age_ms,
            Service::Cloud => self.cloud_age_ms,
        }
    }
}

/// A service that controllers call.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// The key-value store, `state service` in reports.
    Store,
    /// The cloud API, which provisions machines.
    Cloud,
}

/// Destination of a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayTarget {
    /// A service, at the address in the relay peer's settings.
    Service(Service),
    /// The `/commands` endpoint of the worker at this address.
    Worker(String),
}

/// A call that the receiver makes on behalf of the sender, at once and without relaying it
/// further.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayRequest {
    /// Format version: [`LINKS_VERSION`].
    pub version: u8,
    /// Destination of the call.
    pub target: RelayTarget,
    /// HTTP method of the call.
    pub method: String,
    /// HTTP path of the call, including the query string.
    pub path: String,
    /// Body, passed on unchanged.
    pub body: Vec<u8>,
    /// ms that the relay peer waits for the response.
    pub timeout_ms: u64,
}

/// The relay peer's response to a [`RelayRequest`].
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayResponse {
    /// Format version: [`LINKS_VERSION`].
    pub version: u8,
    /// Outcome of the call.
    pub outcome: RelayOutcome,
}

/// Outcome of a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayOutcome {
    /// The destination responded.
    Answered {
        /// HTTP status of its response.
        status: u16,
        /// Body, passed on unchanged.
        body: Vec<u8>,
    },
    /// The call was certainly not executed.
    NotSent,
    /// The call may have been executed, or may be executed later.
    Unknown,
}

/// Heartbeats of workers that can't reach their machine's owner.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedHeartbeats {
    /// Format version: [`LINKS_VERSION`].
    pub version: u8,
    /// Index of the controller that relays them.
    pub relayed_by: u16,
    /// Encoded heartbeats, passed on unchanged.
    pub heartbeats: Vec<Vec<u8>>,
}

/// The owner's responses to relayed heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedResponses {
    /// Format version: [`LINKS_VERSION`].
    pub version: u8,
    /// HTTP status and body for each heartbeat, in the order of the heartbeats.
    pub answers: Vec<(u16, Vec<u8>)>,
}

/// Decodes a message whose format version is [`LINKS_VERSION`].
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_format(bytes, LINKS_VERSION)
}

/// Encodes a message, the counterpart of [`decode`].
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    // Encoding into memory can't fail; `decode` rejects an empty message.
    borsh::to_vec(message).unwrap_or_default()
}

/// Response of `GET /v1/links`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinksReport {
    /// All known links, those of the responding controller first.
    pub links: Vec<LinkRow>,
    /// Number of workers whose heartbeats the controller recently relayed to their owners.
    #[serde(rename = "carried_workers")]
    pub relayed_workers: usize,
    /// Number of tasks that appeared on machines of the controller's shards though no placer wanted
    /// their attempts, since it acquired the shards.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unexplained_tasks: u64,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// One link, as seen from one side.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRow {
    /// Host name of the controller that observes the link.
    pub from: String,
    /// `state service`, `cloud`, the host name of a controller, or `workers of` a zone.
    pub to: String,
    /// State of the link.
    #[serde(rename = "standing")]
    pub state: LinkState,
    /// Seconds in this state. For workers, and for the services of other controllers: seconds
    /// since the last direct heartbeat or response, 0 if none is known.
    pub for_s: u64,
    /// Controller that relays the calls for this link; `None` if they go directly.
    #[serde(
        rename = "carried_by",
        skip_serializing_if = "Option::is_none",
        default
    )]
    pub relayed_by: Option<String>,
    /// Median and 99th percentile of recent response latencies, ms.
    #[serde(rename = "took_ms", skip_serializing_if = "Option::is_none", default)]
    pub latency_ms: Option<(u64, u64)>,
    /// Age of this information, s; 0 for the responding controller's own links.
    #[serde(rename = "said_s")]
    pub age_s: u64,
}

/// One event of `GET /v1/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRow {
    /// Wall-clock time of the event, ms since the Unix epoch.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// Description of the event.
    pub text: String,
}
