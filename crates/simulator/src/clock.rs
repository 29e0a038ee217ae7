//! Units of simulated time: whole µs since the start of a run.

/// A time that never comes.
pub const NEVER_US: u64 = u64::MAX;
/// µs of a ms.
pub const US_PER_MS: u64 = 1_000;

/// Whole µs of a duration in s; what is below a µs is cut off.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
