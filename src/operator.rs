//! The operators' commands against a running controller.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use lemonweir_model::constants::ANSWER_MS;
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::Client;

/// Submits the job in a JSON file.
pub fn submit(node: SocketAddr, file: &Path) -> Result<ExitCode, Vec<String>> {
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    let job: serde_json::Value = serde_json::from_str(&text).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    call(node, "POST", "/v1/jobs", &encode(&job))
}

/// Shows a job.
pub fn status(node: SocketAddr, job: &str) -> Result<ExitCode, Vec<String>> {
    call(node, "GET", &format!("/v1/jobs/{job}"), &[])
}

/// Cancels a job.
pub fn withdraw(node: SocketAddr, job: &str) -> Result<ExitCode, Vec<String>> {
    call(node, "POST", &format!("/v1/jobs/{job}/withdraw"), &[])
}

fn call(node: SocketAddr, method: &str, path: &str, body: &[u8]) -> Result<ExitCode, Vec<String>> {
    let response = smol::block_on(Client::new(0).call(node, method, path, body, ANSWER_MS)).map_err(|e| vec![format!("{node}: {e}")])?;
    if let Ok(answer) = decode::<serde_json::Value>(&response.body) {
        println!("{answer:#}");
    }
    if (200..300).contains(&response.status) {
        return Ok(ExitCode::SUCCESS);
    }
    Err(vec![format!("{node} answered {}", response.status)])
}
