//! Division of a process's sockets, so that no kind of traffic starves another.
//!
//! Workers and users share one listening address, and each worker keeps its connection open, so
//! a fleet may take any share of the sockets that the process may open. Sockets for commands to
//! machines, for calls to the store, the cloud and peers, and for peers' calls are reserved
//! apart from that. When the public share is nearly used up, answers close their connections,
//! so that the share limits concurrent requests rather than the number of workers and users.

/// Sockets reserved for connections that the process opens and for its peers; the rest is for
/// workers and users.
const SOCKET_RESERVE: usize = 300;
/// Percentage of the public sockets that users' connections may hold between requests; beyond
/// it, users' connections close after each answer.
const USER_KEEP_ALIVE_PERCENT: usize = 40;
/// Percentage of the public sockets in use above which answers close their connections: the rest
/// takes the requests of one second while other connections close.
const CLOSE_ABOVE_PERCENT: usize = 80;
/// Percentage of the public sockets on which answers to heartbeats may be held: it leaves as many
/// for the other workers and for users.
const HELD_ANSWERS_PERCENT: usize = 40;

/// Limit of open sockets for each kind of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketShares {
    /// Connections of workers and users.
    pub public: usize,
    /// Connections of other controllers.
    pub peers: usize,
    /// Concurrent commands to machines.
    pub commands: usize,
    /// Idle outgoing connections kept for reuse.
    pub idle: usize,
    /// Concurrent calls to the store, the cloud and peers.
    pub upstream: usize,
    /// Workers' connections on which the answer to a heartbeat may be held at a time.
    pub held_answers: usize,
}

impl SocketShares {
    /// Divides the sockets that a process may open.
    pub fn divide(limit: usize) -> Self {
        let reserve = SOCKET_RESERVE.min(limit / 2);
        // Upstream calls get the rest: a slow store holds the most calls, up to its timeout
        // times its rate of requests.
        let (peers, commands, idle) = (reserve / 6, reserve / 4, reserve / 4);
        let public = limit - reserve;
        Self {
            public,
            peers,
            commands,
            idle,
            upstream: reserve - peers - commands - idle,
            held_answers: public * HELD_ANSWERS_PERCENT / 100,
        }
    }

    /// Returns how many public connections users may keep open between requests.
    pub fn user_keep_alive(&self) -> usize {
        self.public * USER_KEEP_ALIVE_PERCENT / 100
    }

    /// Returns the number of open public connections above which answers close theirs.
    pub fn close_above(&self) -> usize {
        self.public * CLOSE_ABOVE_PERCENT / 100
    }
}
