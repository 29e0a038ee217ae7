//! HTTP calls of the operators' commands to a running controller.

use std::net::SocketAddr;

use lemonweir_protocol::decode;
use lemonweir_transport::{Client, Response};
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// Timeout of an operator's call in ms; users' clients wait as long.
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

/// Fetches and decodes a report of a controller.
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

/// Makes a call and prints the response body as JSON, even if the status is an error.
pub(crate) fn print_response(
    controller: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<(), CommandError> {
    let response = call(controller, method, path, body)?;
    if let Ok(json) = decode::<serde_json::Value>(&response.body) {
        println!("{json:#}");
    }
    match response.status {
        200..300 => Ok(()),
        status => Err(CommandError::Status { controller, status }),
    }
}
