//! The operators' view of the watch.

use std::net::SocketAddr;
use std::process::ExitCode;

use lemonweir_protocol::supervision::{FailoverCompletionRow, FailoverReport, SupervisionReport};

use crate::operator::{ask, call, table, time_of_day};

/// Shows which services lack replicas, and who holds which part.
pub fn now(node: SocketAddr, json: bool) -> Result<ExitCode, Vec<String>> {
    if json {
        return call(node, "GET", "/v1/watch", &[]);
    }
    let watch: SupervisionReport = ask(node, "/v1/watch")?;
    let mut shards = table(["part", "home", "holder", "since (UTC)"]);
    for p in watch.shards {
        let holder = p.leader.unwrap_or_else(|| "nobody".into());
        shards.add_row([
            p.shard.to_string(),
            p.preferred_leader,
            holder,
            p.leader_since_ms.map(time_of_day).unwrap_or_default(),
        ]);
    }
    println!("{shards}\n");
    if !watch.under_replicated.is_empty() {
        let mut short = table([
            "service",
            "class",
            "up",
            "by zone",
            "short for s",
            "being done",
            "due in s",
            "lacks",
            "tried",
        ]);
        for s in watch.under_replicated {
            let zones: Vec<String> = s
                .zones
                .iter()
                .map(|(zone, n)| format!("{zone} {n}"))
                .collect();
            let number = |n: Option<u64>| n.map(|n| n.to_string()).unwrap_or_default();
            short.add_row([
                s.job,
                s.class,
                format!("{} of {}", s.running, s.desired),
                zones.join(", "),
                number(s.under_replicated_s),
                s.action,
                s.due_in_s.map(|n| n.to_string()).unwrap_or_default(),
                s.blocked_by,
                s.escalations.join("; "),
            ]);
        }
        println!("{short}\n");
    }
    println!(
        "{} of {} replicas of {} services are up",
        watch.running, watch.desired, watch.services
    );
    println!("{}", age(&watch.host, watch.store_age_ms));
    Ok(ExitCode::SUCCESS)
}

/// Shows how the parts have changed hands.
pub fn handovers(node: SocketAddr, json: bool) -> Result<ExitCode, Vec<String>> {
    if json {
        return call(node, "GET", "/v1/watch/handovers", &[]);
    }
    let told: FailoverReport = ask(node, "/v1/watch/handovers")?;
    let head = [
        "time of day (UTC)",
        "part",
        "no",
        "from",
        "to",
        "how",
        "token",
        "up before",
        "first start",
        "whole",
        "replicas",
        "found",
    ];
    let mut rows = table(head);
    for c in told.failovers {
        let up = c.up.map(|(replicas, others, machines)| {
            format!("{replicas} replicas, {others} others, {machines} machines")
        });
        let open = if c.new_leader.is_some() {
            "not written yet"
        } else {
            ""
        };
        let (first, whole, replicas, found) = c.completion.map_or(
            (String::new(), String::new(), String::new(), open.to_owned()),
            closed,
        );
        rows.add_row([
            time_of_day(c.at_ms),
            c.shard.to_string(),
            c.number.to_string(),
            c.previous_leader.unwrap_or_default(),
            c.new_leader.unwrap_or_default(),
            c.change,
            c.fencing_token.map(|t| t.to_string()).unwrap_or_default(),
            up.unwrap_or_default(),
            first,
            whole,
            replicas,
            found,
        ]);
    }
    println!("{rows}");
    println!("{}", age(&told.host, told.store_age_ms));
    Ok(ExitCode::SUCCESS)
}

fn closed(c: FailoverCompletionRow) -> (String, String, String, String) {
    let ms = |n: Option<u64>| n.map(|n| format!("{n} ms")).unwrap_or_default();
    let replicas = c
        .found
        .map(|(found, anew)| format!("{found} found up, {anew} started"));
    let gaps = c.gaps.iter().map(|(class, ms)| format!("{class} {ms} ms"));
    let unknown = c.unknown.iter().map(|what| format!("unknown: {what}"));
    let held = c.leadership_ms.map(|ms| format!("held for {ms} ms"));
    let found: Vec<String> = gaps.chain(held).chain(unknown).collect();
    (
        ms(c.first_start_ms),
        ms(c.services_restored_ms),
        replicas.unwrap_or_default(),
        found.join("; "),
    )
}

/// Whose word it is, and how old.
fn age(host: &str, age_ms: Option<u64>) -> String {
    match age_ms {
        Some(ms) => format!("as {host} read it {ms} ms ago"),
        None => format!("{host} has not read the state service yet"),
    }
}
