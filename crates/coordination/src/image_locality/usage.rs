//! Sizes and users of the images that unfinished jobs use.

use std::collections::{BTreeSet, HashMap};

use lemonweir_model::{JobId, JobKind, JobSpec};

/// Number of images from which on unused ones are dropped: more than the services and arrays of a
/// large site use in hours, at some 100 bytes each.
const MAX_IMAGES_TRACKED: usize = 4_096;

/// Size and use of one image.
#[derive(Clone, Copy, Debug, Default)]
struct ImageEntry {
    size_mb: u64,
    /// Unfinished jobs that use it.
    job_count: u32,
    /// Services among these jobs.
    service_count: u32,
}

/// The image of an unfinished job.
#[derive(Clone, Debug, PartialEq, Eq)]
struct JobImage {
    image: String,
    is_service: bool,
}

/// Sizes and users of images, updated with each job rather than by a scan of all jobs.
#[derive(Debug, Default)]
pub struct ImageUsage {
    images: HashMap<String, ImageEntry>,
    /// Image of each unfinished job.
    by_job: HashMap<JobId, JobImage>,
    /// True if the set of images used by services may have changed since it was last taken.
    service_images_changed: bool,
}

impl ImageUsage {
    /// Records the image that a job uses; `None`: the job has ended or is being
    /// cancelled.
    pub fn record_job(&mut self, id: &JobId, spec: Option<&JobSpec>) {
        let current = spec.map(|s| (s.image.as_str(), s.kind == JobKind::Service));
        let previous = self.by_job.get(id);
        if previous.map(|job| (job.image.as_str(), job.is_service)) == current {
            return;
        }
        self.remove_job(id);
        if let Some(spec) = spec {
            self.add_job(id, spec);
        }
    }

    fn remove_job(&mut self, id: &JobId) {
        if let Some(JobImage { image, is_service }) = self.by_job.remove(id)
            && let Some(entry) = self.images.get_mut(&image)
        {
            entry.job_count -= 1;
            entry.service_count -= u32::from(is_service);
            self.service_images_changed |= is_service && entry.service_count == 0;
        }
    }

    fn add_job(&mut self, id: &JobId, spec: &JobSpec) {
        if self.images.len() >= MAX_IMAGES_TRACKED {
            // Bounds memory at a site where every job has its own image.
            self.images.retain(|_, entry| entry.job_count > 0);
        }
        let is_service = spec.kind == JobKind::Service;
        let entry = self.images.entry(spec.image.clone()).or_default();
        entry.size_mb = spec.image_mb();
        entry.job_count += 1;
        entry.service_count += u32::from(is_service);
        self.service_images_changed |= is_service && entry.service_count == 1;
        let image = spec.image.clone();
        self.by_job
            .insert(id.clone(), JobImage { image, is_service });
    }

    /// Returns the size of an image, MB; `None` if it is not known.
    pub fn size_mb(&self, image: &str) -> Option<u64> {
        self.images.get(image).map(|entry| entry.size_mb)
    }

    /// Returns the images used by services, if that set changed since the last call.
    pub fn take_changed_service_images(&mut self) -> Option<BTreeSet<String>> {
        if !std::mem::take(&mut self.service_images_changed) {
            return None;
        }
        Some(
            self.images
                .iter()
                .filter(|(_, entry)| entry.service_count > 0)
                .map(|(image, _)| image.clone())
                .collect(),
        )
    }

    /// Returns how much may be fetched to a machine before its cache evicts an image that an
    /// unfinished job uses, MB. `cached_images` are sorted by their last use, most recent first.
    /// Eviction is least recently used first, so every image before the last one in use stays
    /// too. An image of unknown size counts as 0.
    pub fn cache_headroom_mb(&self, cached_images: &[String], cache_mb: u64) -> u64 {
        let used = |image: &String| self.images.get(image).is_some_and(|e| e.job_count > 0);
        let kept = cached_images
            .iter()
            .rposition(used)
            .map_or(0, |last| last + 1);
        let kept_mb: u64 = cached_images[..kept]
            .iter()
            .filter_map(|image| self.size_mb(image))
            .sum();
        cache_mb.saturating_sub(kept_mb)
    }
}
