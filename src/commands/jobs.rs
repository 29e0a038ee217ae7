//! The commands `submit`, `status` and `cancel`.

use std::net::SocketAddr;
use std::path::Path;

use lemonweir_protocol::encode;

use crate::controller_client::print_response;
use crate::error::CommandError;

/// Submits the job in a JSON file.
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

/// Shows the status of a job.
pub(crate) fn status(controller: SocketAddr, job: &str) -> Result<(), CommandError> {
    print_response(controller, "GET", &format!("/v1/jobs/{job}"), &[])
}

/// Cancels a job.
pub(crate) fn cancel(controller: SocketAddr, job: &str) -> Result<(), CommandError> {
    print_response(controller, "POST", &format!("/v1/jobs/{job}/withdraw"), &[])
}
