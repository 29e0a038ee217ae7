//! Reads the faults of a scenario file. The names of kinds and keys are part of the file format.

use super::reader::read_known_zone;
use super::{Fault, FaultKind, Link, Scenario, SecondsRange};
use crate::toml_section::TomlSection;

/// Default delay of retained copies of heartbeats after a shard has a new leader.
const DEFAULT_RETAINED_COPY_DELAY: SecondsRange = SecondsRange {
    low: 0.0,
    high: 1.0,
};
/// Default duration of a fault, s.
const DEFAULT_DURATION_S: f64 = 5.0;
/// Default share of the machines, writes, calls or jobs that a fault affects. A boot time fault
/// has a default of 0 instead.
const DEFAULT_SHARE: f64 = 0.1;

/// Names of the kinds of faults in a scenario file.
const KIND_NAMES: [&str; 34] = [
    "crash",
    "roll",
    "store_down",
    "refused",
    "cloud_down",
    "cut_controllers",
    "silent",
    "hang",
    "faulty",
    "take_spot",
    "cut_zone",
    "cut_workers",
    "freeze",
    "die",
    "cut_cloud",
    "cut_one_way",
    "cut_users",
    "boots",
    "polls",
    "deaf",
    "late_copies",
    "alone",
    "reborn",
    "late_writes",
    "store_slow",
    "held_orders",
    "slow_links",
    "repeated",
    "mute",
    "close_looks",
    "cancel_at_end",
    "cancel_now",
    "odd_requests",
    "state_limits",
];

/// Which messages to a machine an `InboundLoss` drops.
#[derive(Clone, Copy)]
enum LostMessages {
    Answers,
    Commands,
}

/// Reads one fault. An unknown kind is recorded as an error and yields `None`.
pub(super) fn read_fault(table: &TomlSection<'_>, scenario: &Scenario) -> Option<Fault> {
    let at_s = table.number("at_s", 0.0, scenario.duration_s, None);
    let for_s = table.number(
        "for_s",
        0.0,
        scenario.duration_s - at_s,
        Some(DEFAULT_DURATION_S),
    );
    let kind = read_kind(table, scenario)?;
    let default_share = if matches!(kind, FaultKind::BootTime { .. }) {
        0.0
    } else {
        DEFAULT_SHARE
    };
    Some(Fault {
        kind,
        at_s,
        for_s,
        share: table.number("share", 0.0, 1.0, Some(default_share)),
        flap_interval_s: table.number("flap_s", 0.0, 1e6, Some(0.0)),
    })
}

fn read_kind(table: &TomlSection<'_>, scenario: &Scenario) -> Option<FaultKind> {
    let controller = || read_controller(table, "controller", scenario);
    let zone = || table.has("zone").then(|| read_known_zone(table, scenario));
    Some(
        match table.one_of("kind", &KIND_NAMES.map(|kind| (kind, kind)), None)? {
            "crash" => FaultKind::Crash {
                controller: table.has("controller").then(controller),
            },
            "roll" => FaultKind::RollingRestart,
            "store_down" => FaultKind::StoreDown,
            "cloud_down" => FaultKind::CloudDown,
            "refused" | "cut_controllers" | "cut_workers" | "cut_cloud" | "cut_one_way"
            | "cut_users" => FaultKind::LinkDown(read_link(table, scenario)?),
            "silent" => FaultKind::NetworkLoss,
            "hang" => FaultKind::MachineHang,
            "faulty" => FaultKind::FaultyMachines,
            "cut_zone" => FaultKind::ZonePartition {
                zone: read_known_zone(table, scenario),
            },
            "freeze" => FaultKind::ProcessStall {
                controller: controller(),
            },
            "die" => FaultKind::MachineLoss,
            "boots" => FaultKind::BootTime {
                factor: table.number("factor", 0.001, 1_000.0, Some(1.0)),
                zone: zone(),
            },
            "polls" => FaultKind::PollLoad {
                factor: table.number("factor", 1.0, 1_000.0, None),
            },
            "deaf" => read_inbound_loss(table, scenario),
            "late_copies" => {
                let retained = table.boolean("for_next", false);
                FaultKind::DelayedDuplicates {
                    seconds: read_seconds(table, retained.then_some(DEFAULT_RETAINED_COPY_DELAY)),
                    retained,
                }
            }
            "alone" => FaultKind::ControllerIsolated {
                controller: controller(),
            },
            "reborn" => FaultKind::MachineRestart,
            "late_writes" => FaultKind::LateWrites {
                execute_immediately: table.boolean("at_once", false),
            },
            "mute" => FaultKind::OutboundLoss { zone: zone() },
            "close_looks" => FaultKind::QueryBursts,
            "cancel_at_end" => FaultKind::CancelAtCompletion,
            "cancel_now" => FaultKind::CancelBurst {
                count: table.integer("count", 1, 100_000, Some(10)) as usize,
                hang_s: table.number("hang_s", 0.0, 3_600.0, Some(0.0)),
            },
            "odd_requests" => FaultKind::InvalidRequests,
            "state_limits" => FaultKind::ReducedStoreLimits,
            "store_slow" => FaultKind::StoreSlow {
                seconds: read_seconds(table, None),
            },
            "held_orders" => FaultKind::DelayedCommands {
                seconds: read_seconds(table, None),
            },
            "slow_links" => FaultKind::SlowPeerLinks {
                controller: table.has("controller").then(controller),
                seconds: read_seconds(table, None),
            },
            "repeated" => FaultKind::RepeatedMessages {
                seconds: read_seconds(table, None),
            },
            "take_spot" => FaultKind::SpotReclaim {
                notice_s: table.number("notice_s", 0.0, 3_600.0, Some(0.0)),
            },
            _ => return None,
        },
    )
}

fn read_controller(table: &TomlSection<'_>, name: &str, scenario: &Scenario) -> usize {
    table.integer(name, 0, u64::from(scenario.controllers) - 1, None) as usize
}

/// Reads the link of a `LinkDown` fault.
fn read_link(table: &TomlSection<'_>, scenario: &Scenario) -> Option<Link> {
    let controller = || read_controller(table, "controller", scenario);
    let other = || read_controller(table, "other", scenario);
    Some(match table.string("kind", None).as_str() {
        "refused" if table.boolean("carried", false) => Link::StoreDenied(controller()),
        "refused" => Link::Store(controller()),
        "cut_controllers" => Link::between(controller(), other()),
        "cut_workers" if table.has("zone") => {
            Link::WorkersInZone(controller(), read_known_zone(table, scenario))
        }
        "cut_workers" => Link::Workers(controller()),
        "cut_cloud" => Link::Cloud(controller()),
        "cut_one_way" => Link::OneWay(controller(), other()),
        "cut_users" => Link::Users(controller()),
        _ => return None,
    })
}

fn read_inbound_loss(table: &TomlSection<'_>, scenario: &Scenario) -> FaultKind {
    let words = [
        ("answers", LostMessages::Answers),
        ("commands", LostMessages::Commands),
    ];
    let only = table
        .has("only")
        .then(|| table.one_of("only", &words, None))
        .flatten();
    FaultKind::InboundLoss {
        zone: table.has("zone").then(|| read_known_zone(table, scenario)),
        controller: table
            .has("controller")
            .then(|| read_controller(table, "controller", scenario)),
        answers: !matches!(only, Some(LostMessages::Commands)),
        commands: !matches!(only, Some(LostMessages::Answers)),
    }
}

fn read_seconds(table: &TomlSection<'_>, default: Option<SecondsRange>) -> SecondsRange {
    let low = table.number("low_s", 0.0, 3_600.0, default.map(|range| range.low));
    SecondsRange {
        low,
        high: table.number("high_s", low, 3_600.0, default.map(|range| range.high)),
    }
}
