//! The operators' calls to a running controller.

use std::net::SocketAddr;

use lemonweir_protocol::decode;
use lemonweir_transport::{Client, Response};
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// ms that an operator's command waits for its answer, as users do.
const RESPONSE_TIMEOUT_MS: u64 = 5_000;

fn call(
    controller: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<Response, CommandError> {
    let client = Client::new(0);
    smol::block_on(client.call(controller, method, path, body, RESPONSE_TIMEOUT_MS))
        .map_err(|source| CommandError::Call { controller, source })
}

/// Reads a page of a controller.
pub(crate) fn fetch<T: DeserializeOwned>(
    controller: SocketAddr,
    path: &str,
) -> Result<T, CommandError> {
    let response = call(controller, "GET", path, &[])?;
    match response.status {
        200 => decode(&response.body)
            .map_err(|source| CommandError::MalformedResponse { controller, source }),
        status => Err(CommandError::Status { controller, status }),
    }
}

/// Makes a call and prints what is answered, also with an error, as JSON.
pub(crate) fn print_response(
    controller: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<(), CommandError> {
    let response = call(controller, method, path, body)?;
    if let Ok(answer) = decode::<serde_json::Value>(&response.body) {
        println!("{answer:#}");
    }
    match response.status {
        200..300 => Ok(()),
        status => Err(CommandError::Status { controller, status }),
    }
}
