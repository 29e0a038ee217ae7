//! Images that unfinished jobs use: how large they are, and who would miss them.

use std::collections::{BTreeSet, HashMap};

use lemonweir_model::constants::BOOK_IMAGES;
use lemonweir_model::{JobId, JobKind, JobSpec};

/// What is known of one image.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Thousandths of a GB.
    mb: u64,
    /// Unfinished jobs that use it, and how many of these are services.
    jobs: u32,
    services: u32,
}

/// Images by name, kept from job to job: nothing walks all jobs.
#[derive(Debug, Default)]
pub struct Book {
    images: HashMap<String, Entry>,
    /// Image of each unfinished job, and whether it is a service.
    of: HashMap<JobId, (String, bool)>,
    /// The services' images may have changed since they were last taken.
    turned: bool,
}

impl Book {
    /// Takes what a job uses; `None`: it is over or shall end.
    pub fn note(&mut self, id: &JobId, spec: Option<&JobSpec>) {
        let now = spec.map(|s| (s.image.as_str(), s.kind == JobKind::Service));
        let before = self.of.get(id);
        if before.map(|(image, service)| (image.as_str(), *service)) == now {
            return;
        }
        if let Some((image, service)) = self.of.remove(id)
            && let Some(entry) = self.images.get_mut(&image)
        {
            entry.jobs -= 1;
            entry.services -= u32::from(service);
            self.turned |= service && entry.services == 0;
        }
        let Some(spec) = spec else { return };
        if self.images.len() >= BOOK_IMAGES {
            // Guards against a site whose every job has an image of its own.
            self.images.retain(|_, e| e.jobs > 0);
        }
        let service = spec.kind == JobKind::Service;
        let entry = self.images.entry(spec.image.clone()).or_default();
        entry.mb = spec.image_mb();
        entry.jobs += 1;
        entry.services += u32::from(service);
        self.turned |= service && entry.services == 1;
        self.of.insert(id.clone(), (spec.image.clone(), service));
    }

    /// Size of an image in thousandths of a GB, if it is known.
    pub fn mb(&self, image: &str) -> Option<u64> {
        self.images.get(image).map(|e| e.mb)
    }

    /// The services' images, if they changed since this was last asked.
    pub fn take_needed(&mut self) -> Option<BTreeSet<String>> {
        if !std::mem::take(&mut self.turned) {
            return None;
        }
        Some(
            self.images
                .iter()
                .filter(|(_, e)| e.services > 0)
                .map(|(image, _)| image.clone())
                .collect(),
        )
    }

    /// Thousandths of a GB that may come to a machine before its cache drops an image
    /// that an unfinished job uses. The cache keeps what was used last, so all before
    /// the last such image stay too; what nobody knows the size of counts as nothing.
    pub fn spare_mb(&self, images: &[String], cache_mb: u64) -> u64 {
        let used = |image: &String| self.images.get(image).is_some_and(|e| e.jobs > 0);
        let keep = images.iter().rposition(used).map_or(0, |last| last + 1);
        let kept: u64 = images[..keep]
            .iter()
            .filter_map(|image| self.mb(image))
            .sum();
        cache_mb.saturating_sub(kept)
    }
}
