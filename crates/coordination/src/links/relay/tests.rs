//! Tests of the choice between relay and redirect.

use super::*;

fn choose(
    relay: &mut RelayState,
    machine: &str,
    leader_link: LeaderLink,
    zone: ZoneReachability,
    now: u64,
) -> MisroutedHeartbeatAction {
    let machine = MachineId::from(machine);
    relay.choose(
        &MisroutedHeartbeat {
            shard: 0,
            leader: 1,
            zone: "north",
            machine: &machine,
            repeated: false,
            knows_leader: false,
        },
        leader_link,
        zone,
        now,
    )
}

#[test]
fn workers_that_cannot_reach_their_leader_are_relayed_and_others_redirected() {
    let (failed, reachable) = (LeaderLink::Failed, ZoneReachability::Reachable);
    let mut relay = RelayState::default();
    assert_eq!(
        choose(&mut relay, "n-1", LeaderLink::Untried, reachable, 1_000),
        MisroutedHeartbeatAction::Redirect
    );
    assert_eq!(
        choose(&mut relay, "n-2", failed, reachable, 1_000),
        MisroutedHeartbeatAction::Relay
    );
    for at in [4_000, 7_000, 10_500] {
        assert_eq!(
            choose(&mut relay, "n-2", failed, reachable, at),
            MisroutedHeartbeatAction::Relay
        );
    }
    assert_eq!(relay.relayed_workers(10_500), 1);
    assert_eq!(
        choose(&mut relay, "n-2", failed, reachable, 13_000),
        MisroutedHeartbeatAction::Redirect
    );
}

#[test]
fn partition_redirects_only_probe_workers_and_all_once_the_leader_reaches_the_zone() {
    let mut relay = RelayState::default();
    let names: Vec<String> = (0..20).map(|n| format!("n-{n}")).collect();
    let mut now = 1_000;
    let mut redirected = 0;
    while now < 61_000 {
        for name in &names {
            let zone = ZoneReachability::Unreachable;
            redirected += usize::from(
                choose(&mut relay, name, LeaderLink::Failed, zone, now)
                    == MisroutedHeartbeatAction::Redirect,
            );
        }
        now += 3_000;
    }
    // 20 heartbeats of each worker, and one probe worker every 4 s.
    assert!((5..=15).contains(&redirected), "{redirected}");
    now += RELAY_MAX_MS - 5_000;
    let mut back = 0;
    for step in 0..8 {
        back += names
            .iter()
            .filter(|n| {
                let (zone, at) = (ZoneReachability::Reachable, now + step * 5_000);
                choose(&mut relay, n, LeaderLink::Failed, zone, at)
                    == MisroutedHeartbeatAction::Redirect
            })
            .count();
    }
    assert!(back >= names.len(), "{back}");
}

#[test]
fn each_failed_redirect_lengthens_the_relay_of_a_worker() {
    let mut relay = RelayState::default();
    let mut now = 1_000;
    let mut redirected_at = Vec::new();
    // The zone is reachable; only this worker can't reach the leader.
    while redirected_at.len() < 4 {
        let zone = ZoneReachability::Reachable;
        match choose(&mut relay, "n-1", LeaderLink::Failed, zone, now) {
            MisroutedHeartbeatAction::Redirect => {
                redirected_at.push(now);
                now += 5_000;
            }
            MisroutedHeartbeatAction::Relay => now += 2_000,
            MisroutedHeartbeatAction::Unavailable => panic!("its leader can be reached"),
        }
    }
    let gaps: Vec<u64> = redirected_at.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(gaps.windows(2).all(|g| g[1] > g[0]), "{gaps:?}");
}
