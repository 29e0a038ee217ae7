//! The JSON settings file that the platform provides to a controller.
//!
//! Unknown fields are ignored; every error is reported on a line of its own.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::{Value, json};
use serde_path_to_error::Segment;

/// Another controller of the cluster.
#[derive(Clone, Debug, Deserialize)]
pub struct SeedController {
    /// Host name of the controller.
    pub host_name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Internal address of the controller.
    pub address: SocketAddr,
}

/// Addresses of the external services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddr,
}

/// Guaranteed quota and quota limit of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs guaranteed to the team; 0: none.
    #[serde(rename = "cpus", default)]
    pub guaranteed_cpus: f64,
    /// CPUs that the team may use at most; 0: no limit.
    #[serde(rename = "cpus_max", default)]
    pub max_cpus: f64,
    /// GPUs guaranteed to the team; 0: none.
    #[serde(rename = "gpus", default)]
    pub guaranteed_gpus: f64,
    /// GPUs that the team may use at most; 0: no limit.
    #[serde(rename = "gpus_max", default)]
    pub max_gpus: f64,
}

/// A service level objective for a class of jobs.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// `wait`, `finished`, `deadline`, `guarantee`, … The controller acts only on `wait` (start
    /// times of a class) and `guarantee` (start times of work within a guaranteed quota).
    pub kind: String,
    /// Class that the objective applies to, if it is limited to one.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit of the objective, s.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Intervals and timeouts of the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
#[serde(rename = "Workers")]
pub struct WorkerTiming {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a reply to a heartbeat after which a worker's lease expires and it stops its
    /// tasks.
    pub lease_s: f64,
    /// Time for which a gang's task waits on its machine for the others.
    #[serde(rename = "gang_wait_s")]
    pub gang_start_timeout_s: f64,
    /// Time within which the tasks of a gang notice that one of them is lost.
    #[serde(rename = "gang_peer_s")]
    pub gang_peer_timeout_s: f64,
    /// Time from the publication of a cancellation within which the job's tasks must have ended.
    #[serde(rename = "cancel_s")]
    pub cancellation_deadline_s: f64,
}

/// Smallest limit of a value, KiB: a full task record and a page of any other record fit.
const SMALLEST_MAX_VALUE_KIB: f64 = 2.0;

/// Limits of the store. Rates are those of all controllers together.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
#[serde(rename = "StateLimits")]
pub struct KvStoreLimits {
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    #[serde(rename = "write_rps")]
    pub writes_per_s: f64,
    #[serde(rename = "value_kb")]
    pub max_value_kib: f64,
    /// Maximum number of writes in a transaction.
    #[serde(rename = "txn_ops")]
    pub max_cas_ops: usize,
    /// Limits to come, if any are announced.
    #[serde(rename = "next", default)]
    pub upcoming: Option<UpcomingKvStoreLimits>,
}

/// Limits that the store will switch to at some time, without notice; `None` if unchanged.
#[derive(Clone, Debug, Default, Deserialize)]
#[allow(missing_docs)]
#[serde(rename = "NextStateLimits")]
pub struct UpcomingKvStoreLimits {
    #[serde(rename = "rps", default)]
    pub requests_per_s: Option<f64>,
    #[serde(rename = "write_rps", default)]
    pub writes_per_s: Option<f64>,
    #[serde(rename = "value_kb", default)]
    pub max_value_kib: Option<f64>,
    #[serde(rename = "txn_ops", default)]
    pub max_cas_ops: Option<usize>,
}

impl KvStoreLimits {
    fn next(&self) -> UpcomingKvStoreLimits {
        self.upcoming.clone().unwrap_or_default()
    }

    /// Maximum size of a value in KiB that is valid under current and upcoming limits.
    pub fn lowest_max_value_kib(&self) -> f64 {
        self.max_value_kib
            .min(self.next().max_value_kib.unwrap_or(f64::MAX))
    }

    /// Maximum writes in a transaction that are valid under current and upcoming limits.
    pub fn lowest_max_cas_ops(&self) -> usize {
        self.max_cas_ops
            .min(self.next().max_cas_ops.unwrap_or(usize::MAX))
    }

    /// Maximum writes per second that are valid under current and upcoming limits.
    pub fn lowest_writes_per_s(&self) -> f64 {
        self.writes_per_s
            .min(self.next().writes_per_s.unwrap_or(f64::MAX))
    }

    /// Maximum requests per second that are valid under current and upcoming limits.
    pub fn lowest_requests_per_s(&self) -> f64 {
        self.requests_per_s
            .min(self.next().requests_per_s.unwrap_or(f64::MAX))
    }
}

/// Limits of the cloud. The rate is that of all controllers together.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
pub struct CloudLimits {
    #[serde(rename = "rps")]
    pub requests_per_s: f64,
    /// Time by which the instance list may be out of date, s.
    #[serde(rename = "list_lag_s")]
    pub list_staleness_s: f64,
}

/// Resource limits of the controller process.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Limits {
    pub cpu_share: f64,
    #[serde(rename = "mem_mb")]
    pub memory_mb: f64,
    #[serde(rename = "fd_limit")]
    pub max_open_files: usize,
}

/// Settings that are the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Cluster {
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    #[serde(rename = "workers")]
    pub worker_timing: WorkerTiming,
    #[serde(rename = "state")]
    pub kv_store: KvStoreLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "limits")]
    pub process_limits: Limits,
    /// Maximum error of a wall clock, ms.
    #[serde(rename = "clock_off_ms", default)]
    pub clock_offset_ms: f64,
}

/// The settings of a controller, as its file states them.
#[derive(Clone, Debug, Deserialize)]
#[allow(missing_docs)]
pub struct Settings {
    pub host_name: String,
    pub zone: String,
    /// Address that users, workers and operators call.
    #[serde(rename = "listen")]
    pub listen_addr: SocketAddr,
    /// Address that the other controllers call.
    pub internal_addr: SocketAddr,
    /// The other controllers of the cluster.
    #[serde(rename = "seeds")]
    pub seed_controllers: Vec<SeedController>,
    pub services: Services,
    pub cluster: Cluster,
}

/// A controller of the cluster, including this one. Its index in [`Settings::members`] is the
/// number of its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterMember {
    /// Host name of the controller.
    pub host: String,
    /// Zone of the controller.
    pub zone: String,
    /// Internal address of the controller.
    pub address: SocketAddr,
}

impl Settings {
    /// Reads and validates a file; the error lists every problem found.
    pub fn load(path: &Path) -> Result<Self, Vec<String>> {
        let text =
            std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file; the error lists every problem found.
    pub fn parse(text: &str) -> Result<Self, Vec<String>> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| vec![format!("settings: not JSON: {e}")])?;
        let settings = deserialize_settings(value)?;
        let errors = settings.validation_errors();
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn validation_errors(&self) -> Vec<String> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, text: String| {
            if !valid {
                errors.push(text);
            }
        };
        let c = &self.cluster;
        check(!self.host_name.is_empty(), "host_name is empty".into());
        check(!c.zones.is_empty(), "cluster.zones is empty".into());
        check(!c.teams.is_empty(), "cluster.teams is empty".into());
        let mut hosts: Vec<&str> = self
            .seed_controllers
            .iter()
            .map(|s| s.host_name.as_str())
            .collect();
        hosts.push(&self.host_name);
        hosts.sort_unstable();
        check(
            hosts.windows(2).all(|w| w[0] != w[1]),
            "two controllers have the same host_name".into(),
        );
        check(hosts.len() <= 200, "more than 200 controllers".into());
        for zone in self
            .seed_controllers
            .iter()
            .map(|s| &s.zone)
            .chain([&self.zone])
        {
            check(
                c.zones.contains(zone),
                format!("zone {zone} is not in cluster.zones"),
            );
        }
        let mut names: Vec<&str> = c.teams.iter().map(|t| t.name.as_str()).collect();
        names.sort_unstable();
        check(
            names.windows(2).all(|w| w[0] != w[1]),
            "two teams have the same name".into(),
        );
        for t in &c.teams {
            for (what, min, max) in [
                ("cpus", t.guaranteed_cpus, t.max_cpus),
                ("gpus", t.guaranteed_gpus, t.max_gpus),
            ] {
                check(
                    min.is_finite() && max.is_finite() && min >= 0.0 && max >= 0.0,
                    format!("team {}: {what} must be 0 or more", t.name),
                );
                check(
                    max == 0.0 || min <= max,
                    format!("team {}: {what} is over {what}_max", t.name),
                );
            }
        }
        let w = &c.worker_timing;
        for (what, value) in [
            ("workers.report_s", w.heartbeat_interval_s),
            ("workers.lease_s", w.lease_s),
            ("workers.gang_wait_s", w.gang_start_timeout_s),
            ("workers.gang_peer_s", w.gang_peer_timeout_s),
            ("workers.cancel_s", w.cancellation_deadline_s),
            ("state.rps", c.kv_store.requests_per_s),
            ("state.write_rps", c.kv_store.writes_per_s),
            ("cloud.rps", c.cloud.requests_per_s),
            ("limits.cpu_share", c.process_limits.cpu_share),
            ("limits.mem_mb", c.process_limits.memory_mb),
        ] {
            check(
                value.is_finite() && value > 0.0,
                format!("cluster.{what} must be over 0"),
            );
        }
        let next = c.kv_store.next();
        for (what, value) in [
            ("rps", next.requests_per_s),
            ("write_rps", next.writes_per_s),
        ] {
            check(
                value.is_none_or(|value| value.is_finite() && value > 0.0),
                format!("cluster.state.next.{what} must be over 0"),
            );
        }
        check(
            c.cloud.list_staleness_s >= 0.0,
            "cluster.cloud.list_lag_s must be 0 or more".into(),
        );
        check(
            w.lease_s > w.heartbeat_interval_s,
            "cluster.workers.lease_s must be over report_s".into(),
        );
        check(
            w.cancellation_deadline_s > w.lease_s,
            "cluster.workers.cancel_s must be over lease_s".into(),
        );
        check(
            c.kv_store.max_value_kib >= SMALLEST_MAX_VALUE_KIB,
            format!("cluster.state.value_kb must be {SMALLEST_MAX_VALUE_KIB} or more"),
        );
        check(
            next.max_value_kib
                .is_none_or(|kib| kib >= SMALLEST_MAX_VALUE_KIB),
            format!("cluster.state.next.value_kb must be {SMALLEST_MAX_VALUE_KIB} or more"),
        );
        check(
            c.kv_store.max_cas_ops >= 4,
            "cluster.state.txn_ops must be 4 or more".into(),
        );
        check(
            next.max_cas_ops.is_none_or(|ops| ops >= 4),
            "cluster.state.next.txn_ops must be 4 or more".into(),
        );
        check(
            c.process_limits.max_open_files >= 64,
            "cluster.limits.fd_limit must be 64 or more".into(),
        );
        errors
    }

    /// All controllers sorted by host name. Every controller computes the same list, so an
    /// index into it identifies a shard.
    pub fn members(&self) -> Vec<ClusterMember> {
        let mut members: Vec<ClusterMember> = self
            .seed_controllers
            .iter()
            .map(|s| ClusterMember {
                host: s.host_name.clone(),
                zone: s.zone.clone(),
                address: s.address,
            })
            .chain([ClusterMember {
                host: self.host_name.clone(),
                zone: self.zone.clone(),
                address: self.internal_addr,
            }])
            .collect();
        members.sort_by(|a, b| a.host.cmp(&b.host));
        members
    }
}

/// Maximum number of malformed or missing fields that are reported.
const MAX_FIELD_ERRORS: usize = 100;

/// Settings with a well-formed value for every field, which [`deserialize_settings`] puts in
/// place of malformed ones.
fn template() -> Value {
    let address = "0.0.0.0:0";
    json!({
        "host_name": "", "zone": "", "listen": address, "internal_addr": address,
        "seeds": [{"host_name": "", "zone": "", "address": address}],
        "services": {"cloud": address, "state": address},
        "cluster": {
            "zones": [""],
            "teams": [{"name": "", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
            "objectives": [{"kind": "", "class": null, "within_s": null}],
            "workers": {"report_s": 0.0, "lease_s": 0.0, "gang_wait_s": 0.0, "gang_peer_s": 0.0, "cancel_s": 0.0},
            "state": {"rps": 0.0, "write_rps": 0.0, "value_kb": 0.0, "txn_ops": 0, "next": null},
            "cloud": {"rps": 0.0, "list_lag_s": 0.0},
            "limits": {"cpu_share": 0.0, "mem_mb": 0.0, "fd_limit": 0},
            "clock_off_ms": 0.0,
        }
    })
}

/// Deserializes the settings and reports all malformed or missing fields. The deserializer
/// stops at the first error, so each one is recorded with its path, the field is replaced by
/// its value in the template, and deserialization is repeated.
fn deserialize_settings(mut value: Value) -> Result<Settings, Vec<String>> {
    let template = template();
    let mut errors = Vec::new();
    while errors.len() < MAX_FIELD_ERRORS {
        let error = match serde_path_to_error::deserialize::<_, Settings>(&value) {
            Ok(settings) if errors.is_empty() => return Ok(settings),
            Ok(_) => break,
            Err(error) => error,
        };
        let what = error.inner().to_string();
        let missing = what
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next())
            .map(str::to_owned);
        let mut path: Vec<Segment> = error.path().iter().cloned().collect();
        path.extend(missing.clone().map(|key| Segment::Map { key }));
        let name = path
            .iter()
            .map(Segment::to_string)
            .collect::<Vec<_>>()
            .join(".")
            .replace(".[", "[");
        let name = if name.is_empty() { "settings" } else { &name };
        errors.push(format!(
            "{name}: {}",
            if missing.is_some() {
                "is missing"
            } else {
                &what
            }
        ));
        if !replace_with_template(&mut value, &template, &path) {
            break;
        }
    }
    Err(errors)
}

/// Replaces the value at the path by the template's; false if the path doesn't exist.
fn replace_with_template(value: &mut Value, template: &Value, path: &[Segment]) -> bool {
    let Some((first, rest)) = path.split_first() else {
        *value = template.clone();
        return true;
    };
    match (first, value, template) {
        (Segment::Map { key }, Value::Object(map), Value::Object(template)) => {
            let Some(template) = template.get(key) else {
                return false;
            };
            if rest.is_empty() {
                map.insert(key.clone(), template.clone());
                return true;
            }
            map.get_mut(key)
                .is_some_and(|inner| replace_with_template(inner, template, rest))
        }
        (Segment::Seq { index }, Value::Array(list), Value::Array(template)) => {
            match (list.get_mut(*index), template.first()) {
                (Some(inner), Some(template)) => replace_with_template(inner, template, rest),
                _ => false,
            }
        }
        _ => false,
    }
}
