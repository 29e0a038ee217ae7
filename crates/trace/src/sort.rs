//! External merge sort of entries by submission time: sorted runs are written to
//! temporary files and merged, so memory use is bounded.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, BufReader, BufWriter, Seek, Write};

use crate::workload::{Entry, entries, write_line};

/// Entries per sorted run; a run takes some tens of MB of memory.
const RUN_ENTRIES: usize = 100_000;

/// Collects entries in any order and writes them in order of submission.
#[derive(Default)]
pub struct Sorter {
    buffered: Vec<Entry>,
    runs: Vec<std::fs::File>,
    /// Number of entries pushed.
    pub count: u64,
}

fn sort_key(e: &Entry) -> (u64, String, String) {
    (e.at_ms, e.id.clone(), e.from.clone())
}

impl Sorter {
    /// Adds an entry; spills a sorted run to a temporary file when the buffer is full.
    pub fn push(&mut self, entry: Entry) -> io::Result<()> {
        self.count += 1;
        self.buffered.push(entry);
        if self.buffered.len() >= RUN_ENTRIES {
            self.buffered.sort_by_cached_key(sort_key);
            let mut file = BufWriter::new(tempfile::tempfile()?);
            for e in self.buffered.drain(..) {
                write_line(&mut file, &e)?;
            }
            let mut file = file.into_inner().map_err(io::Error::other)?;
            file.rewind()?;
            self.runs.push(file);
        }
        Ok(())
    }

    /// Merges all runs and writes the entries in order of submission.
    pub fn write(mut self, out: &mut impl Write) -> io::Result<()> {
        self.buffered.sort_by_cached_key(sort_key);
        let buffered: Box<dyn Iterator<Item = io::Result<Entry>>> =
            Box::new(self.buffered.into_iter().map(Ok));
        let runs = self.runs.into_iter().map(|f| {
            Box::new(entries(BufReader::new(f))) as Box<dyn Iterator<Item = io::Result<Entry>>>
        });
        let mut runs: Vec<_> = runs.chain([buffered]).collect();
        let mut heads: Vec<Option<Entry>> = Vec::with_capacity(runs.len());
        let mut heap = BinaryHeap::new();
        for (i, run) in runs.iter_mut().enumerate() {
            heads.push(run.next().transpose()?);
            heap.extend(heads[i].as_ref().map(|e| Reverse((sort_key(e), i))));
        }
        while let Some(Reverse((_, i))) = heap.pop() {
            if let Some(entry) = heads[i].take() {
                write_line(out, &entry)?;
            }
            heads[i] = runs[i].next().transpose()?;
            heap.extend(heads[i].as_ref().map(|e| Reverse((sort_key(e), i))));
        }
        out.flush()
    }
}
