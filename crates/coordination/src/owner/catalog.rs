//! Machine types from the provider's catalog.

use super::*;
use lemonweir_model::MachineType;

/// Boot time that is assumed for a machine of unknown type, ms.
const DEFAULT_BOOT_MS: u64 = 30_000;

#[derive(Debug)]
struct TypeProfile {
    capacity: Resources,
    boot_ms: u64,
    image_cache_mb: u64,
    fetch_gb_per_s: f64,
}

/// Machine types by name.
#[derive(Debug, Default)]
pub(super) struct MachineCatalog {
    by_name: BTreeMap<String, TypeProfile>,
}

impl MachineCatalog {
    /// Adds or replaces a type.
    pub(super) fn insert(&mut self, machine_type: &MachineType) {
        let profile = TypeProfile {
            capacity: machine_type.capacity,
            boot_ms: (machine_type.boot_s * 1000.0) as u64,
            image_cache_mb: (machine_type.image_cache_gb * 1000.0) as u64,
            fetch_gb_per_s: machine_type.image_pull_gb_per_s,
        };
        self.by_name.insert(machine_type.name.clone(), profile);
    }

    /// Returns true if the catalog is not empty and does not contain the type.
    pub(super) fn lacks(&self, name: &str) -> bool {
        !self.by_name.is_empty() && !self.by_name.contains_key(name)
    }

    /// Capacity of a machine; zero for an unknown type.
    pub(super) fn capacity(&self, name: &str) -> Resources {
        self.by_name
            .get(name)
            .map(|profile| profile.capacity)
            .unwrap_or_default()
    }

    /// Boot time, ms; [`DEFAULT_BOOT_MS`] for an unknown type.
    pub(super) fn boot_ms(&self, name: &str) -> u64 {
        self.by_name
            .get(name)
            .map_or(DEFAULT_BOOT_MS, |profile| profile.boot_ms)
    }

    /// Size of the image cache, MB; unlimited for an unknown type.
    pub(super) fn image_cache_mb(&self, name: &str) -> u64 {
        self.by_name
            .get(name)
            .map_or(u64::MAX, |profile| profile.image_cache_mb)
    }

    /// Image pull rate, GB/s; `None` for an unknown type.
    pub(super) fn fetch_gb_per_s(&self, name: &str) -> Option<f64> {
        self.by_name.get(name).map(|profile| profile.fetch_gb_per_s)
    }
}
