//! Images on a machine: a cache of limited size, and downloads that share the machine's rate.

use lemonweir_model::MachineType;

use crate::clock::NEVER_US;

/// Tolerance for rounding errors in the remaining size of a download, GB.
const ROUNDING_GB: f64 = 1e-9;

struct CachedImage {
    name: String,
    size_gb: f64,
}

struct ImageFetch {
    image: String,
    left_gb: f64,
}

/// Cached images and downloads of a machine. Cache size and rate are passed with each call
/// because tests change the machine's type during a run.
pub(super) struct ImageStore {
    /// Most recently used first.
    cached: Vec<CachedImage>,
    fetches: Vec<ImageFetch>,
    /// Time up to which the progress of downloads is accounted for, µs.
    fetched_until: u64,
}

impl ImageStore {
    pub(super) fn new(up_at: u64) -> Self {
        Self {
            cached: Vec::new(),
            fetches: Vec::new(),
            fetched_until: up_at,
        }
    }

    /// Time up to which the progress of downloads is accounted for, µs.
    pub(super) fn fetched_until(&self) -> u64 {
        self.fetched_until
    }

    /// Rate of one download, GB/µs: an equal share of the machine's rate.
    fn rate(&self, kind: &MachineType) -> f64 {
        kind.image_pull_gb_per_s / self.fetches.len().max(1) as f64 / 1e6
    }

    /// Time at which the next download completes, µs; [`NEVER_US`] without downloads.
    pub(super) fn next_fetched_at(&self, kind: &MachineType) -> u64 {
        if self.fetches.is_empty() {
            return NEVER_US;
        }
        let min_left_gb = self
            .fetches
            .iter()
            .map(|fetch| fetch.left_gb)
            .fold(f64::MAX, f64::min);
        self.fetched_until + (min_left_gb.max(0.0) / self.rate(kind)).ceil() as u64
    }

    /// Advances all downloads to `now`.
    pub(super) fn fetch_until(&mut self, kind: &MachineType, now: u64) {
        let fetched_gb = now.saturating_sub(self.fetched_until) as f64 * self.rate(kind);
        self.fetches
            .iter_mut()
            .for_each(|fetch| fetch.left_gb -= fetched_gb);
        self.fetched_until = self.fetched_until.max(now);
    }

    /// Removes the completed downloads and returns their images.
    pub(super) fn take_fetched(&mut self) -> Vec<String> {
        let fetched: Vec<String> = self
            .fetches
            .iter()
            .filter(|fetch| fetch.left_gb <= ROUNDING_GB)
            .map(|fetch| fetch.image.clone())
            .collect();
        self.fetches.retain(|fetch| !fetched.contains(&fetch.image));
        fetched
    }

    /// Starts a download, unless the image is already being downloaded.
    pub(super) fn fetch(&mut self, kind: &MachineType, image: &str, size_gb: f64, now: u64) {
        if self.fetches.iter().any(|fetch| fetch.image == image) {
            return;
        }
        self.fetch_until(kind, now);
        self.fetches.push(ImageFetch {
            image: image.to_owned(),
            left_gb: size_gb,
        });
    }

    /// Aborts the download of an image.
    pub(super) fn abort_fetch(&mut self, image: &str) {
        self.fetches.retain(|fetch| fetch.image != image);
    }

    /// Aborts all downloads.
    pub(super) fn abort_all_fetches(&mut self) {
        self.fetches.clear();
    }

    pub(super) fn is_cached(&self, image: &str) -> bool {
        self.cached.iter().any(|cached| cached.name == image)
    }

    /// Caches an image as the most recently used one and evicts the least recently used images
    /// that exceed the cache size.
    pub(super) fn cache(&mut self, kind: &MachineType, image: &str, size_gb: f64) {
        self.cached.retain(|cached| cached.name != image);
        self.cached.insert(
            0,
            CachedImage {
                name: image.to_owned(),
                size_gb,
            },
        );
        let mut total_gb = 0.0;
        let capacity_gb = kind.image_cache_gb;
        self.cached.retain(|cached| {
            total_gb += cached.size_gb;
            total_gb <= capacity_gb
        });
    }

    /// Empties the cache; downloads continue.
    pub(super) fn drop_cached(&mut self) {
        self.cached.clear();
    }

    /// Suspends the downloads of a hung machine until `until`.
    pub(super) fn stall_until(&mut self, until: u64) {
        self.fetched_until = until;
    }

    /// Empties the cache of a machine that restarts at `now`.
    pub(super) fn reset(&mut self, now: u64) {
        self.drop_cached();
        self.fetched_until = now;
    }
}
