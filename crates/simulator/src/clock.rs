//! Units of simulated time: whole µs since the start of a run.

/// Time of an event that never happens.
pub const NEVER_US: u64 = u64::MAX;
/// Number of µs in a ms.
pub const US_PER_MS: u64 = 1_000;

/// Converts a duration in s to whole µs, rounding down.
pub fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}
