//! The cloud.

use serde::{Deserialize, Serialize};

use lemonweir_model::{Catalog, MachineId, MachineType, Room};

/// The catalog as it comes.
#[derive(Debug, Deserialize, Serialize)]
pub struct CatalogReply {
    /// The machine types.
    pub hardware: Vec<TypeEntry>,
}

/// A machine type as it comes.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
#[allow(missing_docs)]
pub struct TypeEntry {
    pub name: String,
    pub cores: f64,
    pub gpus: f64,
    pub ram_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub pull_gb_per_s: f64,
    #[serde(default)]
    pub hourly: f64,
    #[serde(default)]
    pub spot_price: f64,
    #[serde(default)]
    pub boot_s: f64,
    pub halls: Vec<String>,
}

impl CatalogReply {
    /// The types by name.
    pub fn into_catalog(self) -> Catalog {
        self.hardware
            .into_iter()
            .map(|t| {
                let machine_type = MachineType {
                    room: Room::offer(t.cores, t.gpus, t.ram_gb),
                    name: t.name.clone(),
                    cache_gb: t.cache_gb,
                    fetch_gb_per_s: t.pull_gb_per_s,
                    price: t.hourly,
                    spot_price: t.spot_price,
                    boot_s: t.boot_s,
                    zones: t.halls,
                };
                (t.name, machine_type)
            })
            .collect()
    }
}

/// A request for machines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Rental {
    /// Name of the request, never used twice.
    pub booking: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines, in requests and answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Machines {
    /// The names.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// A page of the list of rentals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RentalList {
    /// The machines.
    #[serde(rename = "boxes")]
    pub machines: Vec<RentalEntry>,
    /// True if more follow.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

/// A machine of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RentalEntry {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "build")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub phase: String,
    /// Age since the request, s, as of the list.
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

/// The body of a refusal.
#[derive(Debug, Deserialize, Serialize)]
pub struct CloudFault {
    /// `no capacity` or `trouble`.
    #[serde(default)]
    pub error: String,
}
