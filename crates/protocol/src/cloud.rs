//! The cloud.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use lemonweir_model::{Catalog, MachineId, MachineType, Resources};

/// Reads entries one by one, so that a malformed one changes nothing else: those
/// that are understood, and a line for each other one that names its fault.
fn each<T: DeserializeOwned>(items: Vec<rmpv::Value>, what: &str) -> (Vec<T>, Vec<String>) {
    let (mut good, mut faults) = (Vec::with_capacity(items.len()), Vec::new());
    for (i, item) in items.into_iter().enumerate() {
        match rmpv::ext::from_value(item) {
            Ok(entry) => good.push(entry),
            Err(error) => faults.push(format!("{what} {i}: {error}")),
        }
    }
    (good, faults)
}

/// The catalog as it comes.
#[derive(Debug, Deserialize, Serialize)]
pub struct CatalogResponse {
    /// The machine types, each a [`MachineTypeEntry`].
    pub hardware: Vec<rmpv::Value>,
}

/// A machine type as it comes.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
#[allow(missing_docs)]
pub struct MachineTypeEntry {
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

impl CatalogResponse {
    /// The types by name, and a line for each that is malformed.
    pub fn into_catalog(self) -> (Catalog, Vec<String>) {
        let (types, faults) = each::<MachineTypeEntry>(self.hardware, "hardware");
        let catalog = types
            .into_iter()
            .map(|t| {
                let machine_type = MachineType {
                    capacity: Resources::capacity(t.cores, t.gpus, t.ram_gb),
                    name: t.name.clone(),
                    image_cache_gb: t.cache_gb,
                    image_pull_gb_per_s: t.pull_gb_per_s,
                    on_demand_price: t.hourly,
                    spot_price: t.spot_price,
                    boot_s: t.boot_s,
                    zones: t.halls,
                };
                (t.name, machine_type)
            })
            .collect();
        (catalog, faults)
    }
}

/// A request for machines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ProvisioningRequest {
    /// Name of the request, never used twice.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
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
pub struct MachineNames {
    /// The names.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// A page of the list of rentals.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceList {
    /// The machines, each a [`InstanceEntry`].
    #[serde(rename = "boxes")]
    pub machines: Vec<rmpv::Value>,
    /// True if more follow.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
}

impl InstanceList {
    /// The machines, and a line for each entry that is malformed.
    pub fn into_entries(self) -> (Vec<InstanceEntry>, Vec<String>) {
        each(self.machines, "boxes")
    }
}

/// A machine of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
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
pub struct CloudErrorBody {
    /// `no capacity` or `trouble`.
    #[serde(default)]
    pub error: String,
}
