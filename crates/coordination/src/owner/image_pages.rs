//! The stored record of which machines hold which images, in pages: a hint for the
//! successor of this owner.

use super::*;

/// ms between two writings of the record: a hint, so the write budget comes first.
const IMAGE_PAGES_INTERVAL_MS: u64 = 8_000;
/// Bytes of a page that are left for its encoding.
const IMAGE_PAGE_OVERHEAD_BYTES: usize = 256;
/// Bytes that an image takes in it beside its name.
const IMAGE_ENTRY_OVERHEAD_BYTES: usize = 12;
/// Bytes that a machine's reference to an image takes.
const IMAGE_REFERENCE_BYTES: usize = 3;

/// A page by its index; `None`: it is to be deleted.
pub type ImagePage = (usize, Option<ImageLocationsRecord>);

/// The record as it is stored.
#[derive(Debug)]
pub(super) struct ImageRecord {
    pages: Vec<ImageLocationsRecord>,
    written_at: u64,
    /// The page that the next writing begins at.
    next_page: usize,
}

impl ImageRecord {
    /// Nothing is recorded yet.
    pub(super) fn new(now: u64) -> Self {
        Self {
            pages: Vec::new(),
            written_at: now,
            next_page: 0,
        }
    }

    /// Brings the record to these pages, `max_pages` at a time; returns what to write.
    fn update(&mut self, pages: &[ImageLocationsRecord], max_pages: usize) -> Vec<ImagePage> {
        let changed = self.select_changed(pages, max_pages);
        self.next_page = match changed.last() {
            Some((page, _)) if changed.len() == max_pages => page + 1,
            _ => 0,
        };
        self.apply(&changed);
        changed
    }

    /// Deletions go first, the last page before those before it: the record ends where
    /// its last page is. Then from where the writing before stopped, so that in a large
    /// fleet, whose first pages change all the time, the last are written.
    fn select_changed(&self, pages: &[ImageLocationsRecord], max_pages: usize) -> Vec<ImagePage> {
        let recorded = &self.pages;
        let from = self.next_page.min(pages.len()).min(recorded.len());
        (pages.len()..pages.len().max(recorded.len()))
            .rev()
            .chain(from..pages.len())
            .chain(0..from)
            .filter(|&page| pages.get(page) != recorded.get(page))
            .take(max_pages)
            .map(|page| (page, pages.get(page).cloned()))
            .collect()
    }

    /// Applies what is written now; what did not fit still differs from what is recorded.
    fn apply(&mut self, changed: &[ImagePage]) {
        for (page, record) in changed {
            match record {
                Some(record) if *page < self.pages.len() => {
                    self.pages[*page] = record.clone();
                }
                Some(record) => self.pages.push(record.clone()),
                None => self.pages.truncate(*page),
            }
        }
    }
}

impl Owner {
    /// Pages of the record of which machines hold which images that changed since the
    /// last writing, if that is old enough: `max_pages` at the most, each below
    /// `max_page_bytes`. `None` in place of a page: it is to be deleted.
    pub fn changed_image_pages(
        &mut self,
        now: u64,
        max_page_bytes: usize,
        max_pages: usize,
    ) -> Vec<ImagePage> {
        if now < self.image_record.written_at + IMAGE_PAGES_INTERVAL_MS {
            return Vec::new();
        }
        self.image_record.written_at = now;
        let pages = self.image_pages(max_page_bytes);
        self.image_record.update(&pages, max_pages)
    }

    /// The whole record, in pages of `max_page_bytes` each at the most.
    fn image_pages(&self, max_page_bytes: usize) -> Vec<ImageLocationsRecord> {
        let mut pages = vec![ImageLocationsRecord::default()];
        let mut bytes = 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| !m.images.is_empty()) {
            let image_bytes: usize = m
                .images
                .iter()
                .map(|(name, _)| name.len() + IMAGE_ENTRY_OVERHEAD_BYTES)
                .sum();
            if bytes + image_bytes + IMAGE_PAGE_OVERHEAD_BYTES > max_page_bytes {
                pages.push(ImageLocationsRecord::default());
                bytes = 0;
            }
            let Some(page) = pages.last_mut() else { break };
            let mut image_indices = Vec::with_capacity(m.images.len());
            for image in &m.images {
                let index = page
                    .images
                    .iter()
                    .position(|i| i == image)
                    .unwrap_or_else(|| {
                        bytes += image.0.len() + IMAGE_ENTRY_OVERHEAD_BYTES;
                        page.images.push(image.clone());
                        page.images.len() - 1
                    });
                image_indices.push(index as u16);
            }
            bytes += id.as_str().len() + IMAGE_REFERENCE_BYTES * (image_indices.len() + 2);
            page.machines.push((id.clone(), image_indices));
        }
        pages
    }

    /// Restores what an earlier owner recorded, page by page.
    pub fn restore_image_pages(&mut self, pages: Vec<ImageLocationsRecord>) {
        for page in &pages {
            for (id, image_indices) in &page.machines {
                let images = image_indices
                    .iter()
                    .filter_map(|&index| page.images.get(usize::from(index)).cloned())
                    .collect();
                self.inherited_images.insert(id.clone(), images);
            }
        }
        self.image_record.pages = pages;
    }
}
