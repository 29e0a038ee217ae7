//! The commands `links` and `events`.

use std::net::SocketAddr;

use lemonweir_protocol::links::{EventRow, LinkState, LinksReport};

use crate::args::OutputFormat;
use crate::controller_client::{fetch, print_response};
use crate::error::CommandError;
use crate::output::{or_empty, table, utc_timestamp};

/// Shows the links of a controller and its peers.
pub(crate) fn links(controller: SocketAddr, format: OutputFormat) -> Result<(), CommandError> {
    let path = "/v1/links";
    if format == OutputFormat::Json {
        return print_response(controller, "GET", path, &[]);
    }
    let report: LinksReport = fetch(controller, path)?;
    let mut table = table([
        "from",
        "to",
        "state",
        "for s",
        "relay peer",
        "response ms (p50 / p99)",
        "observed s ago",
    ]);
    for link in &report.links {
        let response_ms = link
            .latency_ms
            .map(|(median, p99)| format!("{median} / {p99}"));
        table.add_row([
            link.from.clone(),
            link.to.clone(),
            link_state(link.state).to_owned(),
            link.for_s.to_string(),
            link.relayed_by.clone().unwrap_or_default(),
            or_empty(response_ms),
            link.age_s.to_string(),
        ]);
    }
    println!("{table}");
    if report.relayed_workers > 0 {
        println!(
            "relays the heartbeats of {} workers to their leaders",
            report.relayed_workers
        );
    }
    if report.unexplained_tasks > 0 {
        println!(
            "{} tasks appeared on machines though no placer wanted their attempts",
            report.unexplained_tasks
        );
    }
    Ok(())
}

fn link_state(state: LinkState) -> &'static str {
    match state {
        LinkState::Unknown => "unknown",
        LinkState::Up => "up",
        LinkState::Suspect => "late",
        LinkState::InboundOnly => "down one way",
        LinkState::Down => "down",
    }
}

/// Shows the events that a controller has recorded.
pub(crate) fn events(controller: SocketAddr, format: OutputFormat) -> Result<(), CommandError> {
    let path = "/v1/events";
    if format == OutputFormat::Json {
        return print_response(controller, "GET", path, &[]);
    }
    let events: Vec<EventRow> = fetch(controller, path)?;
    let mut table = table(["time of day (UTC)", "event"]);
    for event in events {
        table.add_row([utc_timestamp(event.at_ms), event.text]);
    }
    println!("{table}");
    Ok(())
}
