//! The operators' commands against a running controller.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use comfy_table::Table;
use lemonweir_model::constants::ANSWER_MS;
use lemonweir_protocol::links::{EventRow, LinkState, LinksReport};
use lemonweir_protocol::{decode, encode};
use lemonweir_transport::Client;
use serde::de::DeserializeOwned;

/// Submits the job in a JSON file.
pub fn submit(node: SocketAddr, file: &Path) -> Result<ExitCode, Vec<String>> {
    let text =
        std::fs::read_to_string(file).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    let job: serde_json::Value =
        serde_json::from_str(&text).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    call(node, "POST", "/v1/jobs", &encode(&job))
}

/// Shows a job.
pub fn status(node: SocketAddr, job: &str) -> Result<ExitCode, Vec<String>> {
    call(node, "GET", &format!("/v1/jobs/{job}"), &[])
}

/// Shows a controller's picture of links.
pub fn links(node: SocketAddr, json: bool) -> Result<ExitCode, Vec<String>> {
    if json {
        return call(node, "GET", "/v1/links", &[]);
    }
    let picture: LinksReport = ask(node, "/v1/links")?;
    let mut table = table([
        "from",
        "to",
        "stands",
        "for s",
        "through",
        "answers ms",
        "said s ago",
    ]);
    for l in &picture.links {
        let took = l.latency_ms.map(|(half, most)| format!("{half} / {most}"));
        table.add_row([
            l.from.clone(),
            l.to.clone(),
            standing(l.state).to_owned(),
            l.for_s.to_string(),
            l.relayed_by.clone().unwrap_or_default(),
            took.unwrap_or_default(),
            l.age_s.to_string(),
        ]);
    }
    println!("{table}");
    if picture.relayed_workers > 0 {
        println!(
            "carries the reports of {} workers to their owners",
            picture.relayed_workers
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows what a controller has seen.
pub fn events(node: SocketAddr, json: bool) -> Result<ExitCode, Vec<String>> {
    if json {
        return call(node, "GET", "/v1/events", &[]);
    }
    let events: Vec<EventRow> = ask(node, "/v1/events")?;
    let mut table = table(["time of day (UTC)", "event"]);
    for e in events {
        table.add_row([time_of_day(e.at_ms), e.text]);
    }
    println!("{table}");
    Ok(ExitCode::SUCCESS)
}

/// A time of day in ms, as text.
pub(crate) fn time_of_day(ms: u64) -> String {
    let at = i64::try_from(ms)
        .ok()
        .and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    at.map_or_else(|| ms.to_string(), |at| at.to_string())
}

fn standing(s: LinkState) -> &'static str {
    match s {
        LinkState::Unknown => "unknown",
        LinkState::Up => "up",
        LinkState::Suspect => "late",
        LinkState::InboundOnly => "down one way",
        LinkState::Down => "down",
    }
}

pub(crate) fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(comfy_table::presets::NOTHING)
        .set_header(head);
    table
}

/// Reads what a controller answers.
pub(crate) fn ask<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, Vec<String>> {
    let response = smol::block_on(Client::new(0).call(node, "GET", path, &[], ANSWER_MS))
        .map_err(|e| vec![format!("{node}: {e}")])?;
    match response.status {
        200 => decode(&response.body).map_err(|e| vec![format!("{node}: {e}")]),
        status => Err(vec![format!("{node} answered {status}")]),
    }
}

/// Cancels a job.
pub fn withdraw(node: SocketAddr, job: &str) -> Result<ExitCode, Vec<String>> {
    call(node, "POST", &format!("/v1/jobs/{job}/withdraw"), &[])
}

pub(crate) fn call(
    node: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<ExitCode, Vec<String>> {
    let response = smol::block_on(Client::new(0).call(node, method, path, body, ANSWER_MS))
        .map_err(|e| vec![format!("{node}: {e}")])?;
    if let Ok(answer) = decode::<serde_json::Value>(&response.body) {
        println!("{answer:#}");
    }
    if (200..300).contains(&response.status) {
        return Ok(ExitCode::SUCCESS);
    }
    Err(vec![format!("{node} answered {}", response.status)])
}
