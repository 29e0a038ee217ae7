//! Limits that a fleet of 4,000 machines meets.

use std::net::TcpStream;
use std::time::Duration;

use lemonweir_transport::server::listen;

/// Machines of the fleet.
const MACHINES: usize = 4_000;

/// A process that accepts nothing for a moment, as one whose processor share is used
/// up: the connections of all workers wait for it. One that is not taken would be tried
/// again by the system after 1 s, when its worker has turned to the next controller.
#[test]
fn connections_of_all_workers_wait_for_a_process_that_accepts_none_for_a_moment() {
    let listener = smol::block_on(listen(([127, 0, 0, 1], 0).into())).expect("bound");
    let addr = listener.local_addr().expect("bound");
    let connected = (0..MACHINES)
        .take_while(|_| TcpStream::connect_timeout(&addr, Duration::from_millis(500)).is_ok())
        .count();
    assert_eq!(connected, MACHINES);
}
