//! Where a model's weights lie, as `GET /v1/weights` shows it.

use serde::{Deserialize, Serialize};

/// An image with its users and its copies, as the asked controller knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageLocalityReport {
    /// The image.
    pub image: String,
    /// Its size in thousandths of a GB, if an unfinished job tells it.
    #[serde(rename = "mb", skip_serializing_if = "Option::is_none", default)]
    pub size_mb: Option<u64>,
    /// Unfinished jobs that use it, by class.
    pub users: Vec<ImageUserRow>,
    /// Zones in which it lies or could lie.
    pub zones: Vec<ZoneImageRow>,
    /// How old the word of each shard's owner is.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardImageRow>,
}

/// Jobs of one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageUserRow {
    /// The class.
    pub class: String,
    /// Jobs, and their tasks that are not done.
    pub jobs: u64,
    /// See `jobs`.
    pub tasks: u64,
}

/// One zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneImageRow {
    /// Its name.
    pub zone: String,
    /// Machines that have the image, and that fetch it.
    #[serde(rename = "here")]
    pub cached: u64,
    /// See `here`.
    #[serde(rename = "coming")]
    pub pulling: u64,
    /// Of those that have it, those that take new tasks.
    #[serde(rename = "open")]
    pub schedulable: u64,
    /// Machines elsewhere that have it, which the loss of this zone would leave.
    #[serde(rename = "left")]
    pub cached_elsewhere: u64,
    /// True if an owner can't see this zone.
    #[serde(rename = "hidden")]
    pub partitioned: bool,
}

/// A shard's word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardImageRow {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Seconds since its owner last told of its machines; none: never.
    #[serde(rename = "told_s")]
    pub age_s: Option<u64>,
}
