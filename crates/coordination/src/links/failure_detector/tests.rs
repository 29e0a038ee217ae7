//! Tests of the failure detector's state transitions.

use super::*;

#[test]
fn one_lost_answer_is_suspect_two_are_down_and_one_answer_recovers() {
    let mut detector = FailureDetector::default();
    assert_eq!(detector.state(), LinkState::Unknown);
    assert!(detector.record_success(1_000));
    assert!(detector.record_failure(5_000));
    assert_eq!(detector.state(), LinkState::Suspect);
    assert!(detector.record_failure(6_000));
    assert_eq!(
        (detector.state(), detector.since()),
        (LinkState::Down, 6_000)
    );
    assert!(!detector.record_failure(7_000));
    assert_eq!(detector.since(), 6_000);
    assert!(detector.record_success(8_000));
    assert_eq!(detector.state(), LinkState::Up);
}

#[test]
fn concurrent_failures_right_after_an_answer_are_not_down() {
    let mut detector = FailureDetector::default();
    detector.record_success(1_000);
    for _ in 0..9 {
        detector.record_failure(1_000 + DOWN_AFTER_MS - 1);
    }
    assert_eq!(detector.state(), LinkState::Suspect);
    detector.record_failure(1_000 + DOWN_AFTER_MS);
    assert!(detector.is_down());
}
