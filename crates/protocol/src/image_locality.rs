//! Response of `GET /v1/weights/{image}`: which machines have an image cached.

use serde::{Deserialize, Serialize};

/// The jobs that use an image and the machines that have it, as known to the controller that
/// responds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageLocalityReport {
    /// Name of the image.
    pub image: String,
    /// Size in MB (thousandths of a GB), if an unfinished job specifies it.
    #[serde(rename = "mb", skip_serializing_if = "Option::is_none", default)]
    pub size_mb: Option<u64>,
    /// Unfinished jobs that use it, by class.
    pub users: Vec<ImageUserRow>,
    /// Copies of the image by zone, including zones without any.
    pub zones: Vec<ZoneImageRow>,
    /// Age of the information from each shard's owner.
    #[serde(rename = "parts")]
    pub shards: Vec<ShardImageRow>,
}

/// Unfinished jobs of one class that use the image.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageUserRow {
    /// Class of the jobs.
    pub class: String,
    /// Number of unfinished jobs of the class that use the image.
    pub jobs: u64,
    /// Number of those jobs' tasks that are not done.
    pub tasks: u64,
}

/// Copies of the image in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneImageRow {
    /// Name of the zone.
    pub zone: String,
    /// Machines that have the image.
    #[serde(rename = "here")]
    pub cached: u64,
    /// Machines that are pulling the image.
    #[serde(rename = "coming")]
    pub pulling: u64,
    /// Machines that have the image and accept new tasks.
    #[serde(rename = "open")]
    pub schedulable: u64,
    /// Machines of other zones that have the image, which remain if this zone is lost.
    #[serde(rename = "left")]
    pub cached_elsewhere: u64,
    /// True if the zone is partitioned from an owner.
    #[serde(rename = "hidden")]
    pub partitioned: bool,
}

/// Age of the information about one shard's machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardImageRow {
    /// Number of the shard.
    #[serde(rename = "part")]
    pub shard: u16,
    /// Seconds since the owner last reported its machines; `None` if it never did.
    #[serde(rename = "told_s")]
    pub age_s: Option<u64>,
}
