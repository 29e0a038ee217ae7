use super::*;

fn relayed(outcome: RelayOutcome) -> Response {
    let response = RelayResponse {
        version: LINKS_VERSION,
        outcome,
    };
    Response {
        status: 200,
        body: links::encode(&response),
    }
}

fn refusal(status: u16) -> Response {
    Response {
        status,
        body: Vec::new(),
    }
}

/// Guards against a start that its relay peer did not send, and sends when asked once more.
#[test]
fn relayed_commands_that_a_peer_did_not_send_may_still_be_sent() {
    let worker = RelayTarget::Worker("10.1.0.1:9000".to_owned());
    for response in [relayed(RelayOutcome::NotSent), refusal(503), refusal(400)] {
        let result = relayed_result(&worker, response);
        assert!(matches!(result, Err(CallError::Unknown)));
    }
}

#[test]
fn relayed_service_calls_keep_their_outcome() {
    let store = RelayTarget::Service(Service::Store);
    let answered = RelayOutcome::Answered {
        status: 409,
        body: vec![7],
    };
    let answer = relayed_result(&store, relayed(answered)).expect("an answer");
    assert_eq!((answer.status, answer.body), (409, vec![7]));
    for response in [relayed(RelayOutcome::NotSent), refusal(503)] {
        let result = relayed_result(&store, response);
        assert!(matches!(result, Err(CallError::NotSent)));
    }
    let unknown = relayed_result(&store, relayed(RelayOutcome::Unknown));
    assert!(matches!(unknown, Err(CallError::Unknown)));
}
