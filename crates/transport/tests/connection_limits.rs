//! Connection limits of a server with more clients than connections: each client gets
//! its answers.

use std::rc::Rc;

use lemonweir_transport::server::listen;
use lemonweir_transport::{Client, ConnectionLimits, Handler, Reply, Request, serve};

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Reply {
        Reply::new(200, request.body)
    }

    fn is_low_priority(&self, request: &Request) -> bool {
        request.method == "GET"
    }
}

/// Counts the answers to 5 requests of each client. Clients take turns, so that all of
/// them would keep a connection at the same time.
fn count_answers(clients: usize, method: &'static str, limits: ConnectionLimits) -> usize {
    let executor: &'static smol::LocalExecutor<'static> =
        Box::leak(Box::new(smol::LocalExecutor::new()));
    smol::block_on(executor.run(async move {
        let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("bound");
        let addr = listener.local_addr().expect("bound");
        executor
            .spawn(serve(executor, listener, limits, 1_024, Rc::new(Echo)))
            .detach();
        let clients: Vec<Client> = (0..clients).map(|_| Client::new(2)).collect();
        let mut answers = 0;
        for round in 0..5u8 {
            for client in &clients {
                let answer = client.call(addr, method, "/hello", &[round], 2_000).await;
                answers += usize::from(answer.is_ok_and(|a| a.status == 200 && a.body == [round]));
            }
        }
        answers
    }))
}

#[test]
fn server_answers_more_clients_than_it_has_connections() {
    assert_eq!(
        count_answers(60, "POST", ConnectionLimits::new(20, 16, 0)),
        300
    );
    // Without the threshold, the first clients keep all connections.
    assert_eq!(
        count_answers(60, "POST", ConnectionLimits::new(20, usize::MAX, 0)),
        100
    );
}

#[test]
fn low_priority_connections_are_limited() {
    assert_eq!(
        count_answers(60, "GET", ConnectionLimits::new(20, usize::MAX, 8)),
        300
    );
    assert_eq!(
        count_answers(60, "GET", ConnectionLimits::new(20, usize::MAX, 20)),
        100,
        "without a limit, the first clients keep all connections"
    );
}
