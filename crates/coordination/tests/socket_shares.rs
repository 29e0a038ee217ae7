//! Division of a process's socket limit among its kinds of traffic.

use lemonweir_coordination::socket_shares::SocketShares;

#[test]
fn shares_add_up_to_the_limit_and_starve_no_kind_of_traffic() {
    for limit in [64, 100, 400, 1_800, 2_262, 65_536] {
        let s = SocketShares::divide(limit);
        assert_eq!(s.public + s.peers + s.commands + s.idle + s.upstream, limit);
        assert!(
            [s.public, s.peers, s.commands, s.idle, s.upstream]
                .iter()
                .all(|&n| n >= 3),
            "{s:?}"
        );
        assert!((s.public / 2..s.public).contains(&s.close_above()));
        assert!(
            s.user_keep_alive() < s.close_above(),
            "some connections are left to workers"
        );
    }
}
