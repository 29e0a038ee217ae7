//! What happened, in order: a digest of all of it, and a file if wanted.

use std::fmt::Display;
use std::io::Write;

/// The history of a run. Two runs with the same digest had the same history.
pub struct History {
    hasher: blake3::Hasher,
    lines: u64,
    sink: Option<Box<dyn Write + Send>>,
}

impl History {
    /// An empty history, written to `sink` as it grows, if there is one.
    pub fn new(sink: Option<Box<dyn Write + Send>>) -> Self {
        Self {
            hasher: blake3::Hasher::new(),
            lines: 0,
            sink,
        }
    }

    /// Notes that something happened at `at` µs.
    pub fn note(&mut self, at: u64, what: &str, whom: &dyn Display, more: &dyn Display) {
        let line = format!("{at} {what} {whom} {more}\n");
        self.lines += 1;
        self.hasher.update(line.as_bytes());
        if let Some(sink) = &mut self.sink
            && let Err(error) = sink.write_all(line.as_bytes())
        {
            tracing::error!(%error, "history not written; going on without it");
            self.sink = None;
        }
    }

    /// Lines so far, and their digest (blake3, hex).
    pub fn digest(&self) -> (u64, String) {
        (self.lines, self.hasher.finalize().to_hex().to_string())
    }
}
