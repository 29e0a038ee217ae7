//! More clients than connections: each is answered all the same.

use std::rc::Rc;

use lemonweir_transport::server::listen;
use lemonweir_transport::{Client, Gate, Handler, Reply, Request, serve};

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request) -> Reply {
        Reply::new(200, request.body)
    }

    fn guest(&self, request: &Request) -> bool {
        request.method == "GET"
    }
}

/// Answers that each of so many clients got to 5 requests, made in turn so that
/// all of them would keep a connection at a time.
fn answered(clients: usize, method: &'static str, gate: Gate) -> usize {
    let executor: &'static smol::LocalExecutor<'static> =
        Box::leak(Box::new(smol::LocalExecutor::new()));
    smol::block_on(executor.run(async move {
        let listener = listen(([127, 0, 0, 1], 0).into()).await.expect("bound");
        let addr = listener.local_addr().expect("bound");
        executor
            .spawn(serve(executor, listener, gate, 1_024, Rc::new(Echo)))
            .detach();
        let clients: Vec<Client> = (0..clients).map(|_| Client::new(2)).collect();
        let mut good = 0;
        for turn in 0..5u8 {
            for client in &clients {
                let answer = client.call(addr, method, "/hello", &[turn], 2_000).await;
                good += usize::from(answer.is_ok_and(|a| a.status == 200 && a.body == [turn]));
            }
        }
        good
    }))
}

#[test]
fn a_crowded_server_answers_more_clients_than_it_has_connections() {
    assert_eq!(answered(60, "POST", Gate::new(20, 16, 0)), 300);
    // Without that those who came first would keep the rest out.
    assert_eq!(answered(60, "POST", Gate::new(20, usize::MAX, 0)), 100);
}

#[test]
fn guests_keep_only_their_share_of_the_connections() {
    assert_eq!(answered(60, "GET", Gate::new(20, usize::MAX, 8)), 300);
    assert_eq!(
        answered(60, "GET", Gate::new(20, usize::MAX, 20)),
        100,
        "who may keep all keeps the rest out"
    );
}
