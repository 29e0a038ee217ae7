//! Messages of the cloud API: machine catalog, provisioning and instance lists.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use lemonweir_model::{Catalog, MachineId, MachineType, Resources};

/// Decodes entries one by one, so that a malformed one doesn't affect the others. Returns the
/// valid entries, and an error text for each malformed one.
fn decode_entries<T: DeserializeOwned>(
    entries: Vec<rmpv::Value>,
    what: &str,
) -> (Vec<T>, Vec<String>) {
    let (mut valid, mut errors) = (Vec::with_capacity(entries.len()), Vec::new());
    for (i, item) in entries.into_iter().enumerate() {
        match rmpv::ext::from_value(item) {
            Ok(entry) => valid.push(entry),
            Err(error) => errors.push(format!("{what} {i}: {error}")),
        }
    }
    (valid, errors)
}

/// The catalog of machine types as sent by the cloud.
#[derive(Debug, Deserialize, Serialize)]
pub struct CatalogResponse {
    /// The machine types, each a [`MachineTypeEntry`].
    pub hardware: Vec<rmpv::Value>,
}

/// A machine type of the catalog as sent by the cloud; [`MachineType`] describes the fields.
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
    /// The machine types by name, and an error text for each malformed entry.
    pub fn into_catalog(self) -> (Catalog, Vec<String>) {
        let (types, errors) = decode_entries::<MachineTypeEntry>(self.hardware, "hardware");
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
        (catalog, errors)
    }
}

/// A request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ProvisioningRequest {
    /// Unique id of the request; a repetition of the request has the same id.
    #[serde(rename = "booking")]
    pub request_id: String,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Name of the zone to provision them in.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True for spot machines, false for on-demand ones.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Number of machines, up to `MAX_INSTANCES_PER_REQUEST`.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines: those provisioned in a response, or those to release in a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of the machines.
    #[serde(rename = "boxes")]
    pub machines: Vec<MachineId>,
}

/// A page of the list of provisioned machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceList {
    /// The machines, each an [`InstanceEntry`].
    #[serde(rename = "boxes")]
    pub machines: Vec<rmpv::Value>,
    /// True if more pages follow.
    #[serde(rename = "truncated", default)]
    pub truncated: bool,
}

impl InstanceList {
    /// The machines, and an error text for each malformed entry.
    pub fn into_entries(self) -> (Vec<InstanceEntry>, Vec<String>) {
        decode_entries(self.machines, "boxes")
    }
}

/// A machine in the list of provisioned machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the machine.
    #[serde(rename = "nameId")]
    pub id: MachineId,
    /// Name of the machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "hall")]
    pub zone: String,
    /// True for a spot machine, false for an on-demand one.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub phase: String,
    /// Time since the provisioning request, s, as of the list.
    #[serde(rename = "heldS")]
    pub age_s: f64,
}

/// The body of an error response.
#[derive(Debug, Deserialize, Serialize)]
pub struct CloudErrorBody {
    /// `no capacity` or `trouble`; empty if absent.
    #[serde(default)]
    pub error: String,
}
