//! A process's sockets, divided so that no kind of traffic starves another.
//!
//! Workers and users share one listening address, and each worker keeps its
//! connection, so a fleet may take any share of what a process may open. What
//! the process itself opens is kept apart from that: commands to machines, calls
//! to store, cloud and peers, and peers' calls to it. Near the end of the public
//! share answers close their connections, so that it bounds what is under way
//! at a time, and no longer how many workers and users there are.

/// Sockets kept for what a process opens itself and for its peers; the rest is
/// for workers and users.
const SOCKET_RESERVE: usize = 300;
/// Percent of the public sockets that users' connections may keep
/// between requests; beyond it theirs close after each answer.
const USERS_PERCENT: usize = 40;
/// Percent of the public sockets from which on answers close their
/// connections: what is left takes the requests of a second while others close.
const CROWDED_PERCENT: usize = 80;

/// How many sockets each kind of traffic may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketShares {
    /// Connections of workers and users.
    pub public: usize,
    /// Connections of other controllers.
    pub peers: usize,
    /// Commands to machines under way at a time.
    pub commands: usize,
    /// Idle connections that are kept for further calls.
    pub idle: usize,
    /// Calls to store, cloud and peers.
    pub upstream: usize,
}

impl SocketShares {
    /// Divides the sockets that a process may open.
    pub fn divide(limit: usize) -> Self {
        let reserve = SOCKET_RESERVE.min(limit / 2);
        // A slow store holds most calls: its time-out times its share of requests.
        let (peers, commands, idle) = (reserve / 6, reserve / 4, reserve / 4);
        Self {
            public: limit - reserve,
            peers,
            commands,
            idle,
            upstream: reserve - peers - commands - idle,
        }
    }

    /// Public connections that users may keep between requests.
    pub fn user_keep_alive(&self) -> usize {
        self.public * USERS_PERCENT / 100
    }

    /// Open public connections from which on answers close theirs.
    pub fn close_above(&self) -> usize {
        self.public * CROWDED_PERCENT / 100
    }
}
