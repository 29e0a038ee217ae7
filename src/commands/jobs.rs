//! The commands `submit`, `status` and `cancel`.

use std::net::SocketAddr;
use std::path::Path;

use lemonweir_protocol::encode;

use crate::controller_client::print_response;
use crate::error::CommandError;

/// Submits the job in a JSON file and prints its status as JSON.
pub(crate) fn submit(controller: SocketAddr, file: &Path) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(|source| CommandError::ReadFile {
        path: file.to_owned(),
        source,
    })?;
    let job: serde_json::Value =
        serde_json::from_str(&text).map_err(|source| CommandError::ParseJob {
            path: file.to_owned(),
            source,
        })?;
    print_response(controller, "POST", "/v1/jobs", &encode(&job))
}

/// Prints the status of a job as JSON.
pub(crate) fn status(controller: SocketAddr, job: &str) -> Result<(), CommandError> {
    print_response(controller, "GET", &format!("/v1/jobs/{job}"), &[])
}

/// Requests the cancellation of a job and prints its status as JSON.
pub(crate) fn cancel(controller: SocketAddr, job: &str) -> Result<(), CommandError> {
    print_response(controller, "POST", &format!("/v1/jobs/{job}/withdraw"), &[])
}
