//! Tests of the routes to services.

use super::CallOutcome::{Answered, Failed};
use super::RequestSize::{Large, Small};
use super::*;

fn down_route(now: u64) -> UpstreamRoute {
    let mut route = UpstreamRoute::default();
    route.record_direct(Small, Answered, now);
    route.record_direct(Small, Failed, now + 2_000);
    assert!(route.record_direct(Small, Failed, now + 2_500));
    route
}

fn candidates(list: &[(u16, u64)]) -> Vec<RelayCandidate> {
    list.iter()
        .map(|&(index, last_answer)| RelayCandidate { index, last_answer })
        .collect()
}

#[test]
fn relays_by_a_peer_with_a_newer_answer_and_keeps_that_peer() {
    let mut route = down_route(1_000);
    assert_eq!(route.route(Small, &[], 3_600), None);
    let first = candidates(&[(1, 3_400), (2, 3_300)]);
    assert_eq!(route.route(Small, &first, 3_600), Some(1));
    let second = candidates(&[(2, 4_000), (1, 3_900)]);
    assert_eq!(route.route(Small, &second, 4_200), Some(1));
    route.record_relayed(1, Failed, 4_300);
    assert_eq!(route.route(Small, &second, 4_400), Some(2));
}

#[test]
fn outage_for_every_controller_is_not_relayed() {
    let mut route = down_route(1_000);
    // The other controllers' last answers are not newer by more than the margin.
    let others = candidates(&[(1, 1_000 + RELAY_NEWER_BY_MS), (2, 900)]);
    assert_eq!(route.route(Small, &others, 3_600), None);
}

#[test]
fn flapping_link_must_answer_longer_each_time() {
    let mut route = down_route(1_000);
    let mut now = 4_000;
    let mut waits = Vec::new();
    for _ in 0..4 {
        assert_eq!(route.route(Small, &candidates(&[(1, now)]), now), Some(1));
        let began = now;
        while route
            .route(Small, &candidates(&[(1, now + RELAY_NEWER_BY_MS + 1)]), now)
            .is_some()
        {
            now += 500;
            route.record_direct(Small, Answered, now);
        }
        waits.push(now - began);
        now += 2_000;
        route.record_direct(Small, Failed, now);
        route.record_direct(Small, Failed, now + 100);
        now += 200;
    }
    assert!(waits.windows(2).all(|w| w[1] > w[0]), "{waits:?}");
}

#[test]
fn large_requests_alone_are_relayed_where_only_they_fail() {
    let mut route = UpstreamRoute::default();
    route.record_direct(Small, Answered, 1_000);
    route.record_direct(Large, Failed, 3_000);
    route.record_direct(Large, Failed, 4_500);
    route.record_direct(Small, Answered, 4_600);
    let peers = candidates(&[(1, 4_000)]);
    assert_eq!(route.route(Small, &peers, 5_000), None);
    assert_eq!(route.route(Large, &peers, 5_000), Some(1));
    // The direct route is retried at intervals.
    assert_eq!(route.route(Large, &peers, 4_500 + LARGE_RETRY_MS), None);
    route.record_direct(Large, Answered, 4_600 + LARGE_RETRY_MS);
    assert_eq!(route.route(Large, &peers, 5_000 + LARGE_RETRY_MS), None);
}
