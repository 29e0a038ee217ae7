//! Output of reports as a table, as JSON and as plots.

use std::fmt::Write;
use std::path::Path;

use crate::plots;
use crate::report::{LatencySummary, RunOutcome, RunReport};
use crate::sweep;

/// Formats a duration in ms with a suitable unit.
fn format_duration(ms: f64) -> String {
    match ms {
        x if x < 1_000.0 => format!("{x:.1} ms"),
        x if x < 100_000.0 => format!("{:.2} s", x / 1e3),
        x => format!("{:.0} s", x / 1e3),
    }
}

fn write_row(out: &mut String, name: &str, s: &LatencySummary) {
    let cells = [s.p50, s.p90, s.p99, s.p999, s.max].map(format_duration);
    let _ = writeln!(
        out,
        "  {name:<24} {:>8} {}",
        s.count,
        cells.map(|c| format!("{c:>10}")).join(" ")
    );
}

/// Formats a report as a table.
pub fn report_table(r: &RunReport) -> String {
    let mut out = String::new();
    let head = format!(
        "{:>8} {}",
        "count",
        ["50 %", "90 %", "99 %", "99.9 %", "most"]
            .map(|c| format!("{c:>10}"))
            .join(" ")
    );
    // Writing to a `String` can't fail.
    let _ = writeln!(
        out,
        "{} by {}, seed {}, {} controllers, {:.0} simulated s",
        r.scenario, r.placer, r.seed, r.controllers, r.simulated_s
    );
    let j = r.jobs;
    let _ = writeln!(
        out,
        "jobs: {} submitted, {} accepted, {} refused, {} over; {} starts, {} killed by their lease",
        j.submitted, j.accepted, j.refused, j.ended, r.task_starts, r.killed_by_lease
    );
    let _ = writeln!(out, "  {:<24} {head}", "from submission");
    write_row(&mut out, "to a start order", &r.allocation);
    for (name, s) in &r.allocation_stages {
        write_row(&mut out, &format!("  {}", name.get(2..).unwrap_or(name)), s);
    }
    for (name, s) in &r.time_to_start {
        write_row(&mut out, &format!("to its start: {name}"), s);
    }
    for (name, s) in &r.time_to_finish {
        write_row(&mut out, &format!("to its end: {name}"), s);
    }
    if r.withdrawal_latency.count > 0 {
        write_row(
            &mut out,
            "from a withdrawal to its end",
            &r.withdrawal_latency,
        );
    }
    for (name, (up, of)) in r
        .started_by_group
        .iter()
        .filter(|(_, (up, of))| up * 2 < *of)
    {
        let _ = writeln!(out, "FAILED: {name}: {up} of {of} tasks were started");
    }
    let most = r.fleet.iter().map(|s| s.up).max().unwrap_or(0);
    let _ = writeln!(
        out,
        "fleet: {most} machines up at most; money {:.2}; {:.1} % of the processor time paid for was of use",
        r.cost,
        r.useful_share * 100.0
    );
    let w = r.work;
    let _ = writeln!(
        out,
        "work: {} messages, {} KiB between controllers, {} looks, {} refusals, {} preemptions, busiest controller {:.1} %; store {} requests, {} changes",
        w.messages,
        w.peer_bytes / 1024,
        w.candidates_examined,
        w.refused_placements,
        w.preemptions,
        w.busiest_share * 100.0,
        w.store_requests,
        w.store_writes
    );
    let _ = writeln!(
        out,
        "rules broken: {}; history of {} lines, digest {}",
        r.violations.len(),
        r.history_lines,
        r.history_digest
    );
    out
}

/// Formats the wall time and event rate of a run on this machine.
pub fn run_speed(o: &RunOutcome) -> String {
    let per_hour = o.wall_s * 3_600.0 / o.report.simulated_s.max(1e-9);
    format!(
        "{:.2} s of wall time, {:.0} events a second, {per_hour:.1} s a simulated hour on this machine",
        o.wall_s,
        o.events as f64 / o.wall_s.max(1e-9)
    )
}

/// Writes `report.json`, `report.txt` and the plots of a run.
pub fn write_report(o: &RunOutcome, dir: &Path) -> std::io::Result<()> {
    std::fs::write(
        dir.join("report.json"),
        serde_json::to_string_pretty(&o.report)?,
    )?;
    std::fs::write(dir.join("report.txt"), report_table(&o.report))?;
    let io_error = |e: Box<dyn std::error::Error>| std::io::Error::other(e.to_string());
    let line = [("allocation", plots::cumulative_distribution(&o.allocation))];
    for kind in ["svg", "png"] {
        let file = |name: &str| dir.join(format!("{name}.{kind}"));
        plots::allocation(&line, &file("allocation")).map_err(io_error)?;
        plots::fleet(&o.report, &file("fleet")).map_err(io_error)?;
        plots::messages(&o.report, &file("messages")).map_err(io_error)?;
        plots::time_to_start(&o.report, &file("waiting")).map_err(io_error)?;
    }
    Ok(())
}

/// Writes the reports of many runs, and a plot with the allocation times of each side.
pub fn write_reports(sides: &[(&String, &Vec<RunOutcome>)], dir: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let reports: Vec<&RunReport> = sides
        .iter()
        .flat_map(|(_, outcomes)| outcomes.iter().map(|o| &o.report))
        .collect();
    std::fs::write(
        dir.join("reports.json"),
        serde_json::to_string_pretty(&reports)?,
    )?;
    let lines: Vec<(&str, Vec<(f64, f64)>)> = sides
        .iter()
        .map(|(name, outcomes)| {
            (
                name.as_str(),
                plots::cumulative_distribution(&sweep::merged_allocation_times(outcomes)),
            )
        })
        .collect();
    for kind in ["svg", "png"] {
        let file = dir.join(format!("allocation.{kind}"));
        plots::allocation(&lines, &file).map_err(|e| std::io::Error::other(e.to_string()))?;
    }
    Ok(())
}
