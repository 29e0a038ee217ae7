//! Division of a process's socket limit among its kinds of traffic.

use lemonweir_coordination::socket_shares::SocketShares;

#[test]
fn shares_add_up_to_the_limit_and_starve_no_kind_of_traffic() {
    for limit in [64, 100, 400, 1_800, 2_262, 65_536] {
        let shares = SocketShares::divide(limit);
        assert_eq!(
            shares.public + shares.peers + shares.commands + shares.idle + shares.upstream,
            limit
        );
        assert!(
            [
                shares.public,
                shares.peers,
                shares.commands,
                shares.idle,
                shares.upstream
            ]
            .iter()
            .all(|&n| n >= 3),
            "{shares:?}"
        );
        assert!((shares.public / 2..shares.public).contains(&shares.close_above()));
        assert!(
            shares.user_keep_alive() < shares.close_above(),
            "some connections are left to workers"
        );
    }
}
