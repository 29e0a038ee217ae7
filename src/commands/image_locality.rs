//! The command `supervision --image-locality`.

use std::net::SocketAddr;

use lemonweir_protocol::image_locality::ImageLocalityReport;

use crate::args::OutputFormat;
use crate::controller_client::{fetch, print_response};
use crate::error::CommandError;
use crate::output::table;

/// Shows where an image is cached, which jobs use it, and how many copies the loss of
/// each zone would leave.
pub(crate) fn image_locality(
    controller: SocketAddr,
    image: &str,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let path = format!("/v1/weights/{image}");
    if format == OutputFormat::Json {
        return print_response(controller, "GET", &path, &[]);
    }
    let report: ImageLocalityReport = fetch(controller, &path)?;
    let size = report.size_mb.map_or_else(
        || "size unknown".to_owned(),
        |mb| format!("{:.1} GB", mb as f64 / 1000.0),
    );
    println!("{}, {size}", report.image);
    let mut users = table(["used by", "jobs", "tasks"]);
    for user in &report.users {
        users.add_row([
            user.class.clone(),
            user.jobs.to_string(),
            user.tasks.to_string(),
        ]);
    }
    let mut zones = table([
        "zone",
        "machines with it",
        "of these schedulable",
        "fetching it",
        "left without the zone",
    ]);
    for row in &report.zones {
        let zone = if row.partitioned {
            format!("{} (partitioned)", row.zone)
        } else {
            row.zone.clone()
        };
        zones.add_row([
            zone,
            row.cached.to_string(),
            row.schedulable.to_string(),
            row.pulling.to_string(),
            row.cached_elsewhere.to_string(),
        ]);
    }
    let mut shards = table(["shard", "reported s ago"]);
    for row in &report.shards {
        let reported_s = row.age_s.map(|s| s.to_string());
        shards.add_row([
            row.shard.to_string(),
            reported_s.unwrap_or_else(|| "never".to_owned()),
        ]);
    }
    println!("{users}\n\n{zones}\n\n{shards}");
    Ok(())
}
