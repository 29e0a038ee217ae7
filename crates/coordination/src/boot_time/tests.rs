//! Tests of the boot time estimates and their bounds.

use super::*;

fn boot_times(times: &[u64]) -> BootTimes {
    let mut boot_times = BootTimes::default();
    times
        .iter()
        .for_each(|ms| boot_times.record_boot("box", "north", true, *ms));
    boot_times
}

#[test]
fn catalog_boot_time_holds_until_enough_samples() {
    let few = boot_times(&[1_000; BOOT_SAMPLES_MIN - 1]);
    assert_eq!(
        (
            few.typical_ms("box", "north", true, 30_000),
            few.provisioning_timeout_ms("box", "north", true, 30_000)
        ),
        (30_000, 48_000)
    );
    let enough = boot_times(&[1_000; BOOT_SAMPLES_MIN]);
    assert_eq!(
        enough.typical_ms("box", "north", true, 30_000),
        7_500,
        "bounded below"
    );
    assert_eq!(
        enough.typical_ms("box", "north", false, 30_000),
        30_000,
        "of its own kind only"
    );
    assert_eq!(
        enough.typical_ms("box", "south", true, 30_000),
        30_000,
        "and zone"
    );
}

#[test]
fn late_boots_are_learned_within_bounds_and_outliers_ignored() {
    let late = boot_times(&[70_000; 20]);
    assert_eq!(
        (
            late.typical_ms("box", "north", true, 30_000),
            late.provisioning_timeout_ms("box", "north", true, 30_000)
        ),
        (70_000, 87_500)
    );
    let never = boot_times(&[900_000; 20]);
    assert_eq!(
        (
            never.typical_ms("box", "north", true, 30_000),
            never.provisioning_timeout_ms("box", "north", true, 30_000)
        ),
        (90_000, 120_000)
    );
    let outliers: Vec<u64> = (0..30)
        .map(|n| if n % 15 == 0 { 900_000 } else { 30_000 })
        .collect();
    assert_eq!(
        boot_times(&outliers).provisioning_timeout_ms("box", "north", true, 30_000),
        48_000
    );
    // The estimate follows a change within BOOT_SAMPLES_MAX boots.
    let mut changed = boot_times(&[1_000; 100]);
    (0..BOOT_SAMPLES_MAX).for_each(|_| changed.record_boot("box", "north", true, 31_000));
    assert_eq!(changed.typical_ms("box", "north", true, 30_000), 31_000);
}
