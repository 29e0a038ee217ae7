//! `supervision`, and its `--failovers`.

use std::net::SocketAddr;

use comfy_table::Table;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport,
    UnderReplicatedServiceRow,
};

use crate::args::OutputFormat;
use crate::controller_client::{fetch, print_response};
use crate::error::CommandError;
use crate::output::{or_empty, state_age, table, time_of_day};

/// Shows which services are under-replicated, and who leads which shard.
pub(crate) fn supervision(
    controller: SocketAddr,
    format: OutputFormat,
) -> Result<(), CommandError> {
    let path = "/v1/watch";
    if format == OutputFormat::Json {
        return print_response(controller, "GET", path, &[]);
    }
    let report: SupervisionReport = fetch(controller, path)?;
    println!("{}\n", shard_table(report.shards));
    if !report.short.is_empty() {
        println!("{}\n", under_replicated_table(report.short));
    }
    println!(
        "{} of {} replicas of {} services are up",
        report.up, report.promised, report.services
    );
    println!("{}", state_age(&report.host, report.age_ms));
    Ok(())
}

fn shard_table(rows: Vec<ShardRow>) -> Table {
    let mut shards = table(["shard", "home", "leader", "since (UTC)"]);
    for row in rows {
        shards.add_row([
            row.shard.to_string(),
            row.home,
            row.holder.unwrap_or_else(|| "nobody".into()),
            or_empty(row.since.map(time_of_day)),
        ]);
    }
    shards
}

fn under_replicated_table(rows: Vec<UnderReplicatedServiceRow>) -> Table {
    let mut services = table([
        "service",
        "class",
        "up",
        "by zone",
        "under-replicated for s",
        "action",
        "due in s",
        "missing",
        "attempted",
    ]);
    for row in rows {
        let zones: Vec<String> = row
            .zones
            .iter()
            .map(|(zone, replicas)| format!("{zone} {replicas}"))
            .collect();
        services.add_row([
            row.job,
            row.class,
            format!("{} of {}", row.up, row.promised),
            zones.join(", "),
            or_empty(row.short_s),
            row.doing,
            or_empty(row.due_s),
            row.lacks,
            row.tried.join("; "),
        ]);
    }
    services
}

/// Shows the failovers of shards.
pub(crate) fn failovers(controller: SocketAddr, format: OutputFormat) -> Result<(), CommandError> {
    let path = "/v1/watch/handovers";
    if format == OutputFormat::Json {
        return print_response(controller, "GET", path, &[]);
    }
    let report: FailoverReport = fetch(controller, path)?;
    let mut failovers = table([
        "time of day (UTC)",
        "shard",
        "number",
        "from",
        "to",
        "how",
        "fencing token",
        "up before",
        "first start",
        "services restored",
        "replicas",
        "findings",
    ]);
    for row in report.changes {
        failovers.add_row(failover_cells(row));
    }
    println!("{failovers}");
    println!("{}", state_age(&report.host, report.age_ms));
    Ok(())
}

fn failover_cells(row: FailoverRow) -> [String; 12] {
    let up_before = row.up.map(|(replicas, others, machines)| {
        format!("{replicas} replicas, {others} others, {machines} machines")
    });
    let completion = match (row.closed, &row.to) {
        (Some(completion), _) => CompletionCells::of(completion),
        // Only what somebody acquired has something to be found.
        (None, Some(_)) => CompletionCells {
            findings: "not written yet".to_owned(),
            ..CompletionCells::default()
        },
        (None, None) => CompletionCells::default(),
    };
    [
        time_of_day(row.at),
        row.shard.to_string(),
        row.n.to_string(),
        row.from.unwrap_or_default(),
        row.to.unwrap_or_default(),
        row.how,
        or_empty(row.token),
        or_empty(up_before),
        completion.first_start,
        completion.services_restored,
        completion.replicas,
        completion.findings,
    ]
}

/// What the table shows of a failover's completion.
#[derive(Default)]
struct CompletionCells {
    first_start: String,
    services_restored: String,
    replicas: String,
    findings: String,
}

impl CompletionCells {
    fn of(row: FailoverCompletionRow) -> Self {
        let ms = |ms: Option<u64>| or_empty(ms.map(|ms| format!("{ms} ms")));
        let replicas = row
            .found
            .map(|(found, started)| format!("{found} found up, {started} started"));
        let gaps = row
            .gaps
            .iter()
            .map(|(class, ms)| format!("{class} {ms} ms"));
        let held = row.held_ms.map(|ms| format!("held for {ms} ms"));
        let unknown = row.unknown.iter().map(|what| format!("unknown: {what}"));
        let findings: Vec<String> = gaps.chain(held).chain(unknown).collect();
        Self {
            first_start: ms(row.first_start_ms),
            services_restored: ms(row.whole_ms),
            replicas: or_empty(replicas),
            findings: findings.join("; "),
        }
    }
}
