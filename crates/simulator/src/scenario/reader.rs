//! Reads a scenario from its TOML tables, with one function per section. Each error is
//! recorded with its field, and reading continues with a placeholder within the field's
//! bounds; a scenario with errors is discarded.

use lemonweir_model::constants::MAX_STORE_OUTAGE_GRACE_MS;
use lemonweir_model::policy::{Policy, ServicePlacementWeights};
use lemonweir_model::settings::{
    CloudLimits, KvStoreLimits, Team, UpcomingKvStoreLimits, WorkerTiming,
};
use lemonweir_model::{JobKind, MachineType, Priority, Resources};

use super::fault_reader::read_fault;
use super::{
    JobClass, MachineCapacity, MachineKind, MessageFaults, NetworkLatency, ProcessingCosts,
    Scenario, TaskResources, ValueDistribution,
};
use crate::toml_section::TomlSection;

/// Reads the root table of a scenario file.
pub(super) fn read_scenario(file: &TomlSection<'_>) -> Scenario {
    let zones = file.strings("zones");
    if zones.is_empty() {
        file.error("zones", "must name one zone at least");
    }
    let workers = file.table("workers");
    let latency = file.table("latency");
    let mut scenario = Scenario {
        name: file.string("name", None),
        duration_s: file.number("duration_s", 1.0, 1e8, None),
        controllers: file.integer("controllers", 1, 64, Some(3)) as u16,
        poll_s: file.number("poll_s", 0.0, 3_600.0, Some(5.0)),
        workers: read_workers(&workers),
        state: read_state_limits(&file.table("state")),
        cloud: read_cloud_limits(&file.table("cloud")),
        policy: read_policy(&file.table("policy")),
        message_faults: read_message_faults(&file.table("messages")),
        costs: read_costs(&file.table("costs")),
        latency: read_latency(&latency),
        machine_kinds: file
            .tables("machine_type")
            .iter()
            .map(|table| read_machine_kind(table, &zones))
            .collect(),
        teams: file.tables("team").iter().map(read_team).collect(),
        classes: Vec::new(),
        faults: Vec::new(),
        zones,
    };
    check_ranges(&scenario, file, &workers, &latency);
    scenario.classes = read_classes(file, &scenario);
    scenario.faults = file
        .tables("fault")
        .iter()
        .filter_map(|table| read_fault(table, &scenario))
        .collect();
    scenario
}

/// Checks constraints between fields, and that at least one machine type and team exist.
fn check_ranges(
    scenario: &Scenario,
    file: &TomlSection<'_>,
    workers: &TomlSection<'_>,
    latency: &TomlSection<'_>,
) {
    if scenario.latency.high_us < scenario.latency.low_us {
        latency.error("high_us", "is below low_us");
    }
    if scenario.workers.lease_s <= scenario.workers.heartbeat_interval_s {
        workers.error("lease_s", "must be over report_s");
    }
    if scenario.workers.cancellation_deadline_s <= scenario.workers.lease_s {
        workers.error("cancel_s", "must be over lease_s");
    }
    if scenario.machine_kinds.is_empty() {
        file.error("machine_type", "one at least must be given");
    }
    if scenario.teams.is_empty() {
        file.error("team", "one at least must be given");
    }
}

fn read_workers(table: &TomlSection<'_>) -> WorkerTiming {
    WorkerTiming {
        heartbeat_interval_s: table.number("report_s", 0.1, 600.0, Some(3.0)),
        lease_s: table.number("lease_s", 0.5, 3_600.0, Some(14.0)),
        gang_start_timeout_s: table.number("gang_wait_s", 1.0, 3_600.0, Some(50.0)),
        gang_peer_timeout_s: table.number("gang_peer_s", 0.1, 600.0, Some(8.0)),
        cancellation_deadline_s: table.number("cancel_s", 1.0, 7_200.0, Some(34.0)),
    }
}

fn read_state_limits(table: &TomlSection<'_>) -> KvStoreLimits {
    KvStoreLimits {
        requests_per_s: table.number("rps", 1.0, 1e9, Some(200.0)),
        writes_per_s: table.number("write_rps", 1.0, 1e9, Some(80.0)),
        max_value_kib: table.number("value_kb", 4.0, 1_024.0, Some(8.0)),
        max_cas_ops: table.integer("txn_ops", 4, 100_000, Some(32)) as usize,
        upcoming: table
            .has("next")
            .then(|| read_next_state_limits(&table.table("next"))),
    }
}

fn read_next_state_limits(table: &TomlSection<'_>) -> UpcomingKvStoreLimits {
    let number = |name: &str| table.has(name).then(|| table.number(name, 1.0, 1e9, None));
    UpcomingKvStoreLimits {
        requests_per_s: number("rps"),
        writes_per_s: number("write_rps"),
        max_value_kib: number("value_kb"),
        max_cas_ops: table
            .has("txn_ops")
            .then(|| table.integer("txn_ops", 4, 100_000, None) as usize),
    }
}

fn read_cloud_limits(table: &TomlSection<'_>) -> CloudLimits {
    CloudLimits {
        requests_per_s: table.number("rps", 0.1, 1e9, Some(4.0)),
        list_staleness_s: table.number("list_lag_s", 0.0, 600.0, Some(10.0)),
    }
}

fn read_policy(table: &TomlSection<'_>) -> Policy {
    let milliseconds = |seconds: f64| (seconds * 1_000.0) as u64;
    let max_store_outage_grace_s = MAX_STORE_OUTAGE_GRACE_MS as f64 / 1_000.0;
    Policy {
        on_demand_idle_multiple: table.number("idle", 0.0, 1e6, Some(0.75)),
        spot_idle_multiple: table.number("idle_spot", 0.0, 1e6, Some(1.5)),
        spot_silence_timeout_ms: milliseconds(table.number("silent_s", 1.0, 3_600.0, Some(9.0))),
        provisioning_timeout_multiple: table.number("boot_patience", 1.5, 100.0, Some(3.0)),
        store_outage_grace_ms: milliseconds(table.number(
            "blind_s",
            0.0,
            max_store_outage_grace_s,
            Some(60.0),
        )),
        headroom_per_arrival: table.number("spare", 0.0, 10.0, Some(0.5)),
        placement_weights: ServicePlacementWeights::default(),
    }
}

fn read_message_faults(table: &TomlSection<'_>) -> MessageFaults {
    let per_mille = |name: &str| table.integer(name, 0, 1_000, Some(0)) as u32;
    MessageFaults {
        lost_cas_reply: per_mille("lost_txn_reply"),
        late_cas: per_mille("late_txn"),
        lost_command: per_mille("lost_command"),
        late_command: per_mille("late_command"),
        lost_sync: per_mille("lost_sync"),
        late_sync: per_mille("late_sync"),
    }
}

fn read_costs(table: &TomlSection<'_>) -> ProcessingCosts {
    ProcessingCosts {
        message_ns: table.integer("message_ns", 0, 1_000_000_000, Some(0)),
        candidate_ns: table.integer("look_ns", 0, 1_000_000, Some(0)),
    }
}

fn read_latency(table: &TomlSection<'_>) -> NetworkLatency {
    NetworkLatency {
        low_us: table.integer("low_us", 1, 10_000_000, Some(500)),
        high_us: table.integer("high_us", 1, 10_000_000, Some(3_000)),
    }
}

fn read_machine_kind(table: &TomlSection<'_>, zones: &[String]) -> MachineKind {
    // Errors on one line are reported in the order in which the fields are read, so the price
    // is read first.
    let price = table.number("price", 0.0, 1e6, Some(1.0));
    MachineKind {
        machine: MachineType {
            name: table.string("name", None),
            capacity: Resources::capacity(
                table.number("cpus", 0.001, 1e6, None),
                table.number("gpus", 0.0, 1e4, Some(0.0)),
                table.number("memory_gb", 0.001, 1e7, None),
            ),
            image_cache_gb: table.number("cache_gb", 0.0, 1e6, Some(200.0)),
            image_pull_gb_per_s: table.number("fetch_gb_per_s", 0.000_001, 1e6, Some(1.0)),
            on_demand_price: price,
            spot_price: table.number("spot_price", 0.0, 1e6, Some(0.0)),
            boot_s: table.number("boot_s", 0.0, 1e6, Some(30.0)),
            zones: zones.to_vec(),
        },
        capacity: MachineCapacity {
            on_demand: table.integer("ordinary", 0, 1_000_000, Some(10_000)) as u32,
            spot: table.integer("spot", 0, 1_000_000, Some(0)) as u32,
        },
        at_start: table.integer("at_start", 0, 1_000_000, Some(0)) as u32,
    }
}

fn read_team(table: &TomlSection<'_>) -> Team {
    let amount = |name: &str| table.number(name, 0.0, 1e9, Some(0.0));
    Team {
        name: table.string("name", None),
        guaranteed_cpus: amount("cpus"),
        max_cpus: amount("cpus_max"),
        guaranteed_gpus: amount("gpus"),
        max_gpus: amount("gpus_max"),
    }
}

fn read_classes(file: &TomlSection<'_>, scenario: &Scenario) -> Vec<JobClass> {
    let mut classes: Vec<JobClass> = Vec::new();
    for table in file.tables("class") {
        let class = read_class(&table, scenario);
        // Only earlier classes are allowed, so that dependencies have no cycle.
        for dependency in class
            .dependencies
            .iter()
            .filter(|name| !classes.iter().any(|earlier| earlier.name == **name))
        {
            table.error(
                "awaits",
                &format!("no class before this one is called {dependency}"),
            );
        }
        classes.push(class);
    }
    classes
}

fn read_class(table: &TomlSection<'_>, scenario: &Scenario) -> JobClass {
    let shapes = [
        ("array", JobKind::Array),
        ("gang", JobKind::Gang),
        ("service", JobKind::Service),
    ];
    let priorities = [
        ("production", Priority::Production),
        ("high", Priority::High),
        ("normal", Priority::Normal),
        ("low", Priority::Low),
    ];
    let teams = read_class_teams(table, scenario);
    let task_resources = read_task_resources(table, scenario);
    JobClass {
        name: table.string("name", None),
        teams,
        shape: table
            .one_of("shape", &shapes, Some(JobKind::Array))
            .unwrap_or(JobKind::Array),
        priority: table
            .one_of("priority", &priorities, Some(Priority::Normal))
            .unwrap_or(Priority::Normal),
        tasks: ValueDistribution::read(table, "tasks", Some(1.0)),
        task_resources,
        run_s: ValueDistribution::read(table, "run_s", None),
        estimate_error: table.number("estimate_off", 0.0, 10.0, Some(0.5)),
        images: table.integer("images", 1, 100_000, Some(1)) as u32,
        image_gb: table.number("image_gb", 0.0, 10_000.0, Some(0.0)),
        per_min: table.number("per_min", 0.0, 1e6, Some(0.0)),
        at_start: table.integer("at_start", 0, 1_000_000, Some(0)) as u32,
        zone: table.has("zone").then(|| read_known_zone(table, scenario)),
        one_zone: table.boolean("one_zone", false),
        spread: table.boolean("spread", false),
        spot: table.boolean("spot", false),
        checkpoint_s: table.number("checkpoint_s", 0.0, 1e6, Some(0.0)),
        save_s: table.number("save_s", 0.0, 1e6, Some(0.0)),
        start_within_s: table.number("start_within_s", 0.0, 1e6, Some(0.0)),
        failing_share: table.number("broken", 0.0, 1.0, Some(0.0)),
        dependencies: table.strings("awaits"),
        dependency_delay_s: ValueDistribution::read(table, "later_s", Some(0.0)),
        cancelled_share: table.number("cancelled", 0.0, 1.0, Some(0.0)),
        submission_bytes: table
            .has("submission_bytes")
            .then(|| ValueDistribution::read(table, "submission_bytes", None)),
    }
}

/// The teams that submit jobs of a class; all teams if it lists none.
fn read_class_teams(table: &TomlSection<'_>, scenario: &Scenario) -> Vec<String> {
    let teams = table.strings("teams");
    for name in teams
        .iter()
        .filter(|name| !scenario.teams.iter().any(|team| team.name == **name))
    {
        table.error("teams", &format!("no team is called {name}"));
    }
    if teams.is_empty() {
        scenario
            .teams
            .iter()
            .map(|team| team.name.clone())
            .collect()
    } else {
        teams
    }
}

fn read_task_resources(table: &TomlSection<'_>, scenario: &Scenario) -> TaskResources {
    let need = TaskResources {
        cpus: table.number("cpus", 0.0, 1e6, None),
        gpus: table.number("gpus", 0.0, 1e4, Some(0.0)),
        memory_gb: table.number("memory_gb", 0.0, 1e7, Some(0.0)),
    };
    let resources = Resources::request(need.cpus, need.gpus, need.memory_gb);
    if !scenario
        .machine_kinds
        .iter()
        .any(|kind| kind.machine.capacity.covers(&resources))
    {
        table.error("cpus", "a task fits no machine type");
    }
    need
}

/// Reads the `zone` field, which must name a zone of the scenario.
pub(super) fn read_known_zone(table: &TomlSection<'_>, scenario: &Scenario) -> String {
    let zone = table.string("zone", None);
    if !scenario.zones.contains(&zone) {
        table.error(
            "zone",
            &format!(
                "no zone is called {zone}: must be one of {}",
                scenario.zones.join(", ")
            ),
        );
    }
    zone
}
