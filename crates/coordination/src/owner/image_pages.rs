//! The stored record of which machines hold which images, in pages. It is a hint for this
//! owner's successor.

use super::*;
use lemonweir_protocol::kv_store::text_size;

/// ms between two writes of the record. It is only a hint, so it is written rarely to save
/// the write budget.
const IMAGE_PAGES_INTERVAL_MS: u64 = 8_000;
/// Bytes of a page that are reserved for its encoding.
const IMAGE_PAGE_OVERHEAD_BYTES: usize = 256;
/// Bytes that an image takes in a page besides its name with its quotes.
const IMAGE_ENTRY_OVERHEAD_BYTES: usize = 12;
/// Bytes that a machine's reference to an image takes in a page.
const IMAGE_REFERENCE_BYTES: usize = 4;
/// Bytes that a machine takes in a page besides its references, with a name of 32 characters.
const MACHINE_ENTRY_BYTES: usize = 48;

/// A page to write, with its index; `None` deletes the page.
pub type ImagePage = (usize, Option<ImageLocationsRecord>);

/// The record as last written.
#[derive(Debug)]
pub(super) struct ImageRecord {
    pages: Vec<ImageLocationsRecord>,
    /// When changed pages were last selected for a write, ms.
    written_at: u64,
    /// The page that the next write begins at.
    next_page: usize,
}

impl ImageRecord {
    /// Creates an empty record.
    pub(super) fn new(now: u64) -> Self {
        Self {
            pages: Vec::new(),
            written_at: now,
            next_page: 0,
        }
    }

    /// Updates the record with the changes to reach `pages`, `max_pages` of them at most, and
    /// returns the pages to write.
    fn update(&mut self, pages: &[ImageLocationsRecord], max_pages: usize) -> Vec<ImagePage> {
        let changed = self.select_changed(pages, max_pages);
        self.next_page = match changed.last() {
            Some((page, _)) if changed.len() == max_pages => page + 1,
            _ => 0,
        };
        self.apply(&changed);
        changed
    }

    /// Selects the pages to write. Deletions come first, from the last page backwards, since
    /// the record ends at its last page. Changed pages follow, from where the previous
    /// write stopped: in a large fleet the first pages change all the time, and the last
    /// ones would never be written.
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

    /// Applies the pages that are written now. The others still differ from the record, so
    /// a later write selects them.
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

/// Bytes that an image takes in a page.
fn entry_bytes((name, _): &(String, u64)) -> usize {
    text_size(name) + IMAGE_ENTRY_OVERHEAD_BYTES
}

/// The images of a machine, most recently used first, as far as they fit into a page on their
/// own.
fn fitting_images(images: &VecDeque<(String, u64)>, capacity: usize) -> Vec<&(String, u64)> {
    let mut bytes_left = capacity.saturating_sub(MACHINE_ENTRY_BYTES);
    let fits = |image: &&(String, u64)| {
        let rest = bytes_left.checked_sub(entry_bytes(image) + IMAGE_REFERENCE_BYTES);
        bytes_left = rest.unwrap_or(0);
        rest.is_some()
    };
    images.iter().take_while(fits).collect()
}

impl Owner {
    /// Returns the pages of the image record that changed since the last write, if that
    /// was long enough ago: `max_pages` at most, each below `max_page_bytes`. `None` in
    /// place of a page deletes it.
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

    /// Builds the whole record, in pages of at most `max_page_bytes` each. Of a machine whose
    /// images alone take more, it holds the most recently used ones.
    fn image_pages(&self, max_page_bytes: usize) -> Vec<ImageLocationsRecord> {
        let mut pages = vec![ImageLocationsRecord::default()];
        let capacity = max_page_bytes.saturating_sub(IMAGE_PAGE_OVERHEAD_BYTES);
        let mut bytes = 0;
        for (id, m) in self.machines.iter().filter(|(_, m)| !m.images.is_empty()) {
            let images = fitting_images(&m.images, capacity);
            let machine_bytes = text_size(id.as_str()) + IMAGE_REFERENCE_BYTES * (images.len() + 2);
            let image_bytes: usize = images.iter().map(|image| entry_bytes(image)).sum();
            if bytes + image_bytes + machine_bytes > capacity {
                pages.push(ImageLocationsRecord::default());
                bytes = 0;
            }
            let Some(page) = pages.last_mut() else { break };
            let mut image_indices = Vec::with_capacity(images.len());
            for image in images {
                let index = page
                    .images
                    .iter()
                    .position(|i| i == image)
                    .unwrap_or_else(|| {
                        bytes += entry_bytes(image);
                        page.images.push(image.clone());
                        page.images.len() - 1
                    });
                image_indices.push(index as u16);
            }
            bytes += machine_bytes;
            page.machines.push((id.clone(), image_indices));
        }
        pages
    }

    /// Restores the pages that an earlier owner recorded.
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
