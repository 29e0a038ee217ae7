//! The ordered log of a run's events, with a digest and an optional output file.

use std::fmt::Display;
use std::io::Write;

/// The history of a run. Runs with the same digest have the same history.
pub struct History {
    hasher: blake3::Hasher,
    lines: u64,
    sink: Option<Box<dyn Write + Send>>,
}

impl History {
    /// Creates an empty history. Its lines are also written to `sink`, if given.
    pub fn new(sink: Option<Box<dyn Write + Send>>) -> Self {
        Self {
            hasher: blake3::Hasher::new(),
            lines: 0,
            sink,
        }
    }

    /// Appends a line: time in µs, event, what it happened to, and details. The digest covers
    /// the whole line.
    pub fn record(&mut self, at_us: u64, event: &str, subject: &dyn Display, detail: &dyn Display) {
        let line = format!("{at_us} {event} {subject} {detail}\n");
        self.lines += 1;
        self.hasher.update(line.as_bytes());
        if let Some(sink) = &mut self.sink
            && let Err(error) = sink.write_all(line.as_bytes())
        {
            tracing::error!(%error, "failed to write history; the file stays incomplete");
            self.sink = None;
        }
    }

    /// Number of lines so far, and their digest (BLAKE3, hex).
    pub fn digest(&self) -> (u64, String) {
        (self.lines, self.hasher.finalize().to_hex().to_string())
    }
}
