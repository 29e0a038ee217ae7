//! What controllers tell each other of their links, and what they relay for one
//! another.
//!
//! The messages name their format themselves, and travel on paths of their own:
//! a controller that doesn't know them answers 404, and is asked to carry
//! nothing.

use crate::{DecodeError, decode_format};
use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};

/// Path on which controllers tell each other of their links.
pub const GOSSIP_PATH: &str = "/peer/links";
/// Path on which a controller asks for a call to be made in its place.
pub const RELAY_PATH: &str = "/peer/carry";
/// Path on which workers' heartbeats are relayed to the owner.
pub const RELAY_HEARTBEATS_PATH: &str = "/peer/reports";
/// Version of these messages.
pub const LINKS_VERSION: u8 = 1;

/// How a link stands.
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
    /// Nothing went over it yet, or nothing was due.
    #[default]
    Unknown,
    /// Answers come.
    Up,
    /// The last answer failed to come; the next one tells.
    #[serde(rename = "late")]
    Suspect,
    /// What we send is not answered, though messages come from there.
    #[serde(rename = "one_way")]
    InboundOnly,
    /// Nothing goes through.
    Down,
}

/// What a controller says of its own links. Ages are ms as of its sending.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AvailabilityGossip {
    /// Format.
    pub version: u8,
    /// Who says so: its number among the controllers.
    pub controller: u16,
    /// Since the store last answered it, not through others; `None`:
    /// never.
    pub store_age_ms: Option<u64>,
    /// The same of the cloud.
    pub cloud_age_ms: Option<u64>,
    /// Its links to the other controllers, and for how long they stand so.
    pub peers: Vec<(u16, LinkState, u64)>,
    /// Zones, and since when no worker of them came to it by itself.
    pub unreachable_zones: Vec<(String, u64)>,
}

impl AvailabilityGossip {
    /// ms since a service last answered it by itself.
    pub fn service_age_ms(&self, service: Service) -> Option<u64> {
        match service {
            Service::Store => self.store_age_ms,
            Service::Cloud => self.cloud_age_ms,
        }
    }
}

/// What a call is meant for.
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
    /// The store.
    Store,
    /// The cloud.
    Cloud,
}

/// Whom a relayed call shall reach.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayTarget {
    /// One of the services, at the address that the relay peer knows.
    Service(Service),
    /// A worker's `/commands`, at this address.
    Worker(String),
}

/// A call to be made in the sender's place, at once and not by a third.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayRequest {
    /// Format.
    pub version: u8,
    /// Whom it shall reach.
    pub target: RelayTarget,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Body, as it is.
    pub body: Vec<u8>,
    /// ms that the relay peer waits for the answer.
    pub timeout_ms: u64,
}

/// The relay peer's answer.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayResponse {
    /// Format.
    pub version: u8,
    /// What became of the call.
    pub outcome: RelayOutcome,
}

/// What became of a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum RelayOutcome {
    /// Answered.
    Answered {
        /// Status.
        status: u16,
        /// Body, as it is.
        body: Vec<u8>,
    },
    /// Surely not executed.
    NotSent,
    /// It may have been executed, or may be later.
    Unknown,
}

/// Heartbeats of workers that can't reach their machine's owner.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedHeartbeats {
    /// Format.
    pub version: u8,
    /// Number of the controller that relays them.
    pub relayed_by: u16,
    /// The heartbeats, as they came.
    pub heartbeats: Vec<Vec<u8>>,
}

/// The owner's own answers, in the order of the reports: status and body.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RelayedResponses {
    /// Format.
    pub version: u8,
    /// One for each heartbeat.
    pub answers: Vec<(u16, Vec<u8>)>,
}

/// Reads a message of this format.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<T, DecodeError> {
    decode_format(bytes, LINKS_VERSION)
}

/// Writes a message.
pub fn encode<T: BorshSerialize>(message: &T) -> Vec<u8> {
    // Writing into memory can't fail; an empty message is refused by `decode`.
    borsh::to_vec(message).unwrap_or_default()
}

/// The picture that `GET /v1/links` shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinksReport {
    /// Links, the asked controller's own first.
    pub links: Vec<LinkRow>,
    /// Workers whose heartbeats it relays to their owners.
    #[serde(rename = "carried_workers")]
    pub relayed_workers: usize,
}

/// One line of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkRow {
    /// Who sees it so.
    pub from: String,
    /// `store`, `cloud`, a controller, or `workers of` a zone.
    pub to: String,
    /// How it stands.
    #[serde(rename = "standing")]
    pub state: LinkState,
    /// Seconds for which it has stood so, as far as is known.
    pub for_s: u64,
    /// Controller that relays what goes over it.
    #[serde(
        rename = "carried_by",
        skip_serializing_if = "Option::is_none",
        default
    )]
    pub relayed_by: Option<String>,
    /// Median and 99th of a hundred of its answers of late, ms.
    #[serde(rename = "took_ms", skip_serializing_if = "Option::is_none", default)]
    pub latency_ms: Option<(u64, u64)>,
    /// Seconds since this was said; 0: this controller's own.
    #[serde(rename = "said_s")]
    pub age_s: u64,
}

/// One line of `GET /v1/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventRow {
    /// Time of day, ms.
    #[serde(rename = "at")]
    pub at_ms: u64,
    /// What happened.
    pub text: String,
}
