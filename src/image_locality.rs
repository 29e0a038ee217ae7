//! What `watch --weights` shows.

use std::net::SocketAddr;
use std::process::ExitCode;

use lemonweir_protocol::image_locality::ImageLocalityReport;

use crate::operator::{ask, call, table};

/// Shows where an image lies, who uses it, and what the loss of each zone would leave.
pub fn weights(node: SocketAddr, image: &str, json: bool) -> Result<ExitCode, Vec<String>> {
    let path = format!("/v1/weights/{image}");
    if json {
        return call(node, "GET", &path, &[]);
    }
    let picture: ImageLocalityReport = ask(node, &path)?;
    let gb = picture.size_mb.map_or_else(
        || "size unknown".to_owned(),
        |mb| format!("{:.1} GB", mb as f64 / 1000.0),
    );
    println!("{}, {gb}", picture.image);
    let mut users = table(["used by", "jobs", "tasks"]);
    for u in &picture.users {
        users.add_row([u.class.clone(), u.jobs.to_string(), u.tasks.to_string()]);
    }
    let mut zones = table([
        "zone",
        "machines with it",
        "of these open",
        "fetching it",
        "left without the zone",
    ]);
    for z in &picture.zones {
        let name = if z.partitioned {
            format!("{} (out of sight)", z.zone)
        } else {
            z.zone.clone()
        };
        zones.add_row([
            name,
            z.cached.to_string(),
            z.schedulable.to_string(),
            z.pulling.to_string(),
            z.cached_elsewhere.to_string(),
        ]);
    }
    let mut shards = table(["part", "told s ago"]);
    for p in &picture.shards {
        shards.add_row([
            p.shard.to_string(),
            p.age_s
                .map_or_else(|| "never".to_owned(), |s| s.to_string()),
        ]);
    }
    println!("{users}\n\n{zones}\n\n{shards}");
    Ok(ExitCode::SUCCESS)
}
