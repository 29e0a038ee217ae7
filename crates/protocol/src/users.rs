//! Messages of the user API, and validation of submissions.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::{Malformed, decode};
use lemonweir_model::constants::MAX_TASKS;
use lemonweir_model::settings::Team;
use lemonweir_model::{Catalog, JobId, JobKind, JobSpec, Resources};

/// Dependencies that a job may have: as many as fit into a submission's 64 KiB.
const MAX_DEPENDENCIES: usize = 2_000;

/// Phase of a job as reported to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub enum JobPhase {
    /// No task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

/// The response to a submission, a poll or a cancellation.
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus {
    /// Id of the job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Phase of the job.
    pub phase: JobPhase,
    /// Number of tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Number of tasks that are running, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// Why the job waits, for display; an extension of the protocol.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl JobStatus {
    /// A status without counts and reason.
    pub fn without_counts(id: JobId, phase: JobPhase) -> Self {
        Self {
            id,
            phase,
            done: None,
            running: None,
            reason: None,
        }
    }
}

/// Decodes and validates a submission; a missing or invalid field is an error (400).
pub fn decode_submission(body: &[u8]) -> Result<JobSpec, Malformed> {
    let mut spec: JobSpec = decode(body)?;
    let invalid = |text: &str| Err(Malformed(text.to_owned()));
    if JobId::parse(spec.id.as_str()).is_none() {
        return invalid("nameId is not a job id");
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return invalid("pieces out of range");
    }
    let amounts = [
        ("cores", spec.cpus),
        ("gpus", spec.gpus),
        ("ramGb", spec.memory_gb),
        ("sizeGb", spec.image_gb),
        ("expectS", spec.estimated_runtime_s),
        ("savepointS", spec.checkpoint_interval_s),
        ("flushS", spec.checkpoint_duration_s),
        ("dueS", spec.deadline_s.unwrap_or(0.0)),
    ];
    for (name, value) in amounts {
        if !value.is_finite() || !(0.0..=1e12).contains(&value) {
            return invalid(&format!("{name} out of range"));
        }
    }
    if spec.class.is_empty() || spec.team.is_empty() || spec.image.is_empty() {
        return invalid("empty name");
    }
    let has_long_name = [&spec.class, &spec.team, &spec.image]
        .into_iter()
        .chain(spec.machine_types.iter().flatten())
        .chain(spec.zone.iter())
        .any(|s| s.len() > 200);
    if has_long_name {
        return invalid("name too long");
    }
    if spec.depends_on.len() > MAX_DEPENDENCIES {
        return invalid("awaits names too many jobs");
    }
    if spec
        .depends_on
        .iter()
        .any(|id| JobId::parse(id.as_str()).is_none())
    {
        return invalid("awaits holds something that is not a job id");
    }
    // Duplicate dependencies are removed.
    let mut seen = BTreeSet::new();
    spec.depends_on.retain(|id| seen.insert(id.clone()));
    Ok(spec)
}

/// The reason why a valid job can never run (422), or `None` if it can.
pub fn unschedulable_reason(
    spec: &JobSpec,
    teams: &[Team],
    zones: &[String],
    catalog: &Catalog,
) -> Option<String> {
    let Some(team) = teams.iter().find(|t| t.name == spec.team) else {
        return Some(format!("unknown team {}", spec.team));
    };
    let need = spec.task_resources();
    let fits = catalog.values().any(|t| {
        spec.machine_types
            .as_ref()
            .is_none_or(|allowed| allowed.contains(&t.name))
            && spec
                .zone
                .as_ref()
                .is_none_or(|z| t.zones.contains(z) && zones.contains(z))
            && t.capacity.covers(&need)
    });
    if !fits {
        return Some("a task fits no allowed machine type".into());
    }
    let concurrent = match spec.kind {
        JobKind::Array => need,
        JobKind::Gang | JobKind::Service => need.times(spec.tasks),
    };
    let limit = quota_limit(team);
    if !limit.covers(&Resources {
        memory_mb: 0,
        ..concurrent
    }) {
        return Some("needs more than the team's limit".into());
    }
    None
}

/// A team's quota limit; a resource without a limit gets `u64::MAX`.
pub fn quota_limit(team: &Team) -> Resources {
    let configured = Resources::capacity(team.max_cpus, team.max_gpus, 0.0);
    let or_unlimited = |x: u64| if x == 0 { u64::MAX } else { x };
    Resources {
        milli_cpus: or_unlimited(configured.milli_cpus),
        milli_gpus: or_unlimited(configured.milli_gpus),
        memory_mb: u64::MAX,
    }
}
