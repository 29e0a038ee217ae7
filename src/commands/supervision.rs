//! The commands `supervision` and `supervision --failovers`.

use std::net::SocketAddr;

use comfy_table::Table;
use lemonweir_protocol::supervision::{
    FailoverCompletionRow, FailoverReport, FailoverRow, ShardRow, SupervisionReport, TeamUsageRow,
    UnderReplicatedServiceRow, UsageSide,
};

use crate::args::OutputFormat;
use crate::controller_client::{fetch, print_response};
use crate::error::CommandError;
use crate::output::{or_empty, state_age, table, utc_timestamp};

/// Shows shard leaders, under-replicated services and teams over their quota limits.
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
    if !report.under_replicated.is_empty() {
        println!("{}\n", under_replicated_table(report.under_replicated));
    }
    let over_limit: Vec<TeamUsageRow> = report
        .team_usage
        .into_iter()
        .filter(TeamUsageRow::is_over_limit)
        .collect();
    if !over_limit.is_empty() {
        println!("{}\n", over_limit_table(over_limit));
    }
    println!(
        "{} of {} replicas of {} services are up",
        report.running, report.desired, report.services
    );
    println!("{}", state_age(&report.host, report.store_age_ms));
    Ok(())
}

fn shard_table(rows: Vec<ShardRow>) -> Table {
    let mut shards = table(["shard", "home", "leader", "since (UTC)"]);
    for row in rows {
        shards.add_row([
            row.shard.to_string(),
            row.preferred_leader,
            row.leader.unwrap_or_else(|| "nobody".into()),
            or_empty(row.leader_since_ms.map(utc_timestamp)),
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
            format!("{} of {}", row.running, row.desired),
            zones.join(", "),
            or_empty(row.under_replicated_s),
            row.action,
            or_empty(row.due_in_s),
            row.blocked_by,
            row.escalations.join("; "),
        ]);
    }
    services
}

fn over_limit_table(rows: Vec<TeamUsageRow>) -> Table {
    let mut teams = table([
        "team over its limit",
        "shard",
        "counted by",
        "attempts",
        "cpus",
        "gpus",
    ]);
    let of_limit = |used: u64, limit: Option<u64>| {
        let thousandths = |amount: u64| amount as f64 / 1_000.0;
        let used = thousandths(used);
        limit.map_or_else(
            || used.to_string(),
            |limit| format!("{used} of {}", thousandths(limit)),
        )
    };
    for row in rows {
        let side = match row.side {
            UsageSide::Placer => "placer",
            UsageSide::Owner => "owner",
        };
        teams.add_row([
            row.team.clone(),
            row.shard.to_string(),
            side.to_owned(),
            row.attempts.to_string(),
            of_limit(row.milli_cpus, row.milli_cpus_limit),
            of_limit(row.milli_gpus, row.milli_gpus_limit),
        ]);
    }
    teams
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
    for row in report.failovers {
        failovers.add_row(failover_cells(row));
    }
    println!("{failovers}");
    println!("{}", state_age(&report.host, report.store_age_ms));
    Ok(())
}

fn failover_cells(row: FailoverRow) -> [String; 12] {
    let up_before = row.up.map(|(replicas, others, machines)| {
        format!("{replicas} replicas, {others} others, {machines} machines")
    });
    let completion = match (row.completion, &row.new_leader) {
        (Some(completion), _) => CompletionCells::new(completion),
        // A completion is recorded only if a new leader acquired the shard.
        (None, Some(_)) => CompletionCells {
            findings: "not written yet".to_owned(),
            ..CompletionCells::default()
        },
        (None, None) => CompletionCells::default(),
    };
    [
        utc_timestamp(row.at_ms),
        row.shard.to_string(),
        row.number.to_string(),
        row.previous_leader.unwrap_or_default(),
        row.new_leader.unwrap_or_default(),
        row.change,
        or_empty(row.fencing_token),
        or_empty(up_before),
        completion.first_start,
        completion.services_restored,
        completion.replicas,
        completion.findings,
    ]
}

/// Table cells for the completion of a failover.
#[derive(Default)]
struct CompletionCells {
    first_start: String,
    services_restored: String,
    replicas: String,
    findings: String,
}

impl CompletionCells {
    fn new(row: FailoverCompletionRow) -> Self {
        let ms = |ms: Option<u64>| or_empty(ms.map(|ms| format!("{ms} ms")));
        let replicas = row
            .found
            .map(|(found, started)| format!("{found} found up, {started} started"));
        let gaps = row
            .gaps
            .iter()
            .map(|(class, ms)| format!("{class} {ms} ms"));
        let held = row.leadership_ms.map(|ms| format!("held for {ms} ms"));
        let unknown = row.unknown.iter().map(|what| format!("unknown: {what}"));
        let findings: Vec<String> = gaps.chain(held).chain(unknown).collect();
        Self {
            first_start: ms(row.first_start_ms),
            services_restored: ms(row.services_restored_ms),
            replicas: or_empty(replicas),
            findings: findings.join("; "),
        }
    }
}
