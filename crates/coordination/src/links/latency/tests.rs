//! Tests of the latency windows.

use super::*;

#[test]
fn reports_the_last_windows_only() {
    let mut latencies = LatencyWindow::default();
    assert_eq!(latencies.median_and_p99(), None);
    for n in 0..100 {
        latencies.record(if n < 95 { 5 } else { 900 }, 1_000);
    }
    let (p50, p99) = latencies.median_and_p99().expect("some");
    assert!(p50 == 5 && (890..=910).contains(&p99), "{p50} {p99}");
    latencies.record(20, 1_000 + LATENCY_WINDOW_MS);
    assert_eq!(latencies.median_and_p99().expect("some").0, 5);
    latencies.record(20, 1_000 + 4 * LATENCY_WINDOW_MS);
    assert_eq!(latencies.median_and_p99(), Some((20, 20)));
    // A latency above the bound is recorded as the bound.
    latencies.record(u64::MAX, 1_000 + 8 * LATENCY_WINDOW_MS);
    assert!(latencies.median_and_p99().expect("some").0 >= LATENCY_MAX_MS);
}
