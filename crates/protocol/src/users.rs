//! Users and the load balancer.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::{Malformed, decode};
use lemonweir_model::constants::MAX_TASKS;
use lemonweir_model::settings::Team;
use lemonweir_model::{Catalog, JobId, JobKind, JobSpec, Resources};

/// Jobs that one may await: what a submission's 64 KiB can name.
const MAX_DEPENDENCIES: usize = 2_000;

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize)]
pub enum JobPhase {
    /// No task runs.
    #[serde(rename = "queued")]
    Queued,
    /// Some task runs.
    #[serde(rename = "running")]
    Running,
    /// All tasks are done.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user.
    #[serde(rename = "withdrawn")]
    Withdrawn,
}

/// The answer to a submission, a poll or a cancellation.
#[derive(Clone, Debug, Serialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// Its phase.
    pub phase: JobPhase,
    /// Tasks done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u64>,
    /// Tasks that run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u64>,
    /// Why it waits, in plain words; our addition.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl JobStatus {
    /// A state without counts.
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

/// Reads a submission; anything missing or out of range is a fault (400).
pub fn decode_submission(body: &[u8]) -> Result<JobSpec, Malformed> {
    let mut spec: JobSpec = decode(body)?;
    let fault = |text: &str| Err(Malformed(text.to_owned()));
    if JobId::parse(spec.id.as_str()).is_none() {
        return fault("nameId is not a job id");
    }
    if spec.tasks == 0 || spec.tasks > MAX_TASKS {
        return fault("pieces out of range");
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
            return fault(&format!("{name} out of range"));
        }
    }
    if spec.class.is_empty() || spec.team.is_empty() || spec.image.is_empty() {
        return fault("empty name");
    }
    let long = [&spec.class, &spec.team, &spec.image]
        .into_iter()
        .chain(spec.machine_types.iter().flatten())
        .chain(spec.zone.iter())
        .any(|s| s.len() > 200);
    if long || spec.machine_types.as_ref().is_some_and(|t| t.len() > 100) {
        return fault("name or list too long");
    }
    if spec.depends_on.len() > MAX_DEPENDENCIES {
        return fault("awaits names too many jobs");
    }
    if spec
        .depends_on
        .iter()
        .any(|id| JobId::parse(id.as_str()).is_none())
    {
        return fault("awaits holds something that is not a job id");
    }
    // A job that is named twice is awaited once.
    let mut named = BTreeSet::new();
    spec.depends_on.retain(|id| named.insert(id.clone()));
    Ok(spec)
}

/// Says why a well-formed job can never run (422), if it can't.
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
    let all = match spec.kind {
        JobKind::Array => need,
        JobKind::Gang | JobKind::Service => need.times(spec.tasks),
    };
    let limit = quota_limit(team);
    if !limit.covers(&Resources {
        memory_mb: 0,
        ..all
    }) {
        return Some("needs more than the team's limit".into());
    }
    None
}

/// A team's limit; no limit is as large as can be.
pub fn quota_limit(team: &Team) -> Resources {
    let offer = Resources::capacity(team.max_cpus, team.max_gpus, 0.0);
    let or_none = |x: u64| if x == 0 { u64::MAX } else { x };
    Resources {
        milli_cpus: or_none(offer.milli_cpus),
        milli_gpus: or_none(offer.milli_gpus),
        memory_mb: u64::MAX,
    }
}
