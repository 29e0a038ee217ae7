//! Limits that matter with a fleet of 4,000 machines.

use std::net::TcpStream;
use std::time::Duration;

use lemonweir_transport::server::listen;

/// Machines of the fleet.
const MACHINES: usize = 4_000;

/// A process accepts no connections for a moment, as when its CPU share is used up: the
/// connections of all workers must wait in its backlog. The system retries one that does
/// not fit only after 1 s, when its worker has turned to the next controller.
#[test]
fn backlog_holds_connections_of_all_workers() {
    let listener = smol::block_on(listen(([127, 0, 0, 1], 0).into())).expect("bound");
    let addr = listener.local_addr().expect("bound");
    let connected = (0..MACHINES)
        .take_while(|_| TcpStream::connect_timeout(&addr, Duration::from_millis(500)).is_ok())
        .count();
    assert_eq!(connected, MACHINES);
}
