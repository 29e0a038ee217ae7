//! Tests of stall detection: after a long stall, leases need a new confirmation by the store.

use super::*;

#[test]
fn long_stall_leaves_leases_unconfirmed_until_the_store_answers() {
    let mut stall = StallDetector::default();
    for now in (0..5_000).step_by(100) {
        assert_eq!(stall.record_event(now), None);
    }
    assert!(!stall.lease_unconfirmed(Some(4_000)) && !stall.backlog_unread(4_900));
    assert_eq!(stall.record_event(7_900), Some(3_000));
    assert!(stall.backlog_unread(8_000) && !stall.backlog_unread(9_000));
    assert!(
        !stall.lease_unconfirmed(Some(4_000)),
        "no lease expires in 3 s"
    );
    assert_eq!(
        stall.record_event(17_900 + STORE_LEASE_TTL_MS),
        Some(10_000 + STORE_LEASE_TTL_MS)
    );
    assert!(stall.lease_unconfirmed(Some(7_000)) && stall.lease_unconfirmed(None));
    assert!(!stall.lease_unconfirmed(Some(17_900 + STORE_LEASE_TTL_MS)));
}
