//! A process's sockets, divided so that no kind of traffic starves another.
//!
//! Workers and users share one listening address, and each worker keeps its
//! connection, so a fleet may take any share of what a process may open. What
//! the process itself opens is kept apart from that: orders to machines, calls
//! to store, cloud and peers, and peers' calls to it. Near the end of the public
//! share answers close their connections, so that it bounds what is under way
//! at a time, and no longer how many workers and users there are.

use lemonweir_model::constants::{CROWDED_PERCENT, SOCKET_RESERVE, USERS_PERCENT};

/// How many sockets each kind of traffic may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketShares {
    /// Connections of workers and users.
    pub public: usize,
    /// Connections of other controllers.
    pub peers: usize,
    /// Calls to machines under way at a time.
    pub orders: usize,
    /// Idle connections that are kept for further calls.
    pub idle: usize,
    /// Left for calls to store, cloud and peers.
    pub own: usize,
}

impl SocketShares {
    /// Divides the sockets that a process may open.
    pub fn of(limit: usize) -> Self {
        let reserve = SOCKET_RESERVE.min(limit / 2);
        // A slow store holds most calls: its time-out times its share of requests.
        let (peers, orders, idle) = (reserve / 6, reserve / 4, reserve / 4);
        Self {
            public: limit - reserve,
            peers,
            orders,
            idle,
            own: reserve - peers - orders - idle,
        }
    }

    /// Public connections that users may keep between requests.
    pub fn users(&self) -> usize {
        self.public * USERS_PERCENT / 100
    }

    /// Open public connections from which on answers close theirs.
    pub fn crowded_at(&self) -> usize {
        self.public * CROWDED_PERCENT / 100
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_fit_the_limit_and_leave_none_without() {
        for limit in [64, 100, 400, 1_800, 2_262, 65_536] {
            let s = SocketShares::of(limit);
            assert_eq!(s.public + s.peers + s.orders + s.idle + s.own, limit);
            assert!(
                [s.public, s.peers, s.orders, s.idle, s.own]
                    .iter()
                    .all(|&n| n >= 3),
                "{s:?}"
            );
            assert!((s.public / 2..s.public).contains(&s.crowded_at()));
            assert!(s.users() < s.crowded_at(), "workers have their own");
        }
    }
}
