//! Observations of a shard's new leader after a failover, for the failover's record.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;
use lemonweir_protocol::kv_store::{to_value, value_size};
use lemonweir_storage::failovers::FailoverCompletion;

/// Time after a failover at which its record is completed even if services still lack replicas,
/// ms: whatever prevents their recovery by then is unrelated to the failover.
pub const COMPLETION_TIMEOUT_MS: u64 = 300_000;
/// Interval between two attempts to complete a record, ms: each is a write to the store, and
/// nothing waits for it.
pub const COMPLETION_RETRY_MS: u64 = 5_000;
/// Number of classes whose longest gaps are recorded, longest first.
const GAPS_RECORDED: usize = 8;
/// Size of the recorded gaps, bytes: users choose the names of classes, and the record must stay
/// within the lowest value limit, since the transaction that releases a shard may hold it.
const MAX_GAPS_BYTES: usize = 1_024;

/// Leader that started a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartedBy {
    /// The shard's present leader.
    ThisLeader,
    /// An earlier leader of the shard.
    PreviousLeader,
}

/// Replicas of the services that were under-replicated at a failover.
#[derive(Clone, Copy, Debug, Default)]
struct ReplicaCounts {
    /// Found running after the failover.
    found_running: u32,
    /// Started by the new leader.
    restarted: u32,
}

/// Observations of a shard's new leader since the failover.
#[derive(Debug, Default)]
pub struct Failover {
    /// Number of the failover's record; `None`: there is no record, or it is completed.
    record_number: Option<u64>,
    /// The new leader's fencing token.
    fencing_token: u64,
    /// When the shard changed leaders, ms.
    began_at: u64,
    /// When the new leader had loaded records and jobs, ms.
    loaded_at: u64,
    /// When the first task that the new leader started was running, ms.
    first_start_at: Option<u64>,
    /// Services under-replicated at the failover that have not recovered since.
    recovering: BTreeSet<JobId>,
    /// When the last of `recovering` recovered, ms.
    recovered_at: Option<u64>,
    replicas: ReplicaCounts,
    /// When replicas (job and task) were proven lost since the failover, ms.
    lost_at: BTreeMap<(JobId, u32), u64>,
    /// Longest downtime of a replica by class, ms.
    longest_gap_ms: BTreeMap<String, u64>,
    /// When completing the record was last attempted, ms.
    attempted_at: Option<u64>,
}

impl Failover {
    /// Creates the observations of a failover at `began_at` with these services
    /// under-replicated, whose records and jobs were loaded at `now`, ms.
    pub fn new(
        record_number: Option<u64>,
        fencing_token: u64,
        began_at: u64,
        recovering: BTreeSet<JobId>,
        now: u64,
    ) -> Self {
        let recovered_at = recovering.is_empty().then_some(now);
        Self {
            record_number,
            fencing_token,
            began_at,
            loaded_at: now,
            recovering,
            recovered_at,
            ..Self::default()
        }
    }

    fn tracks(&self, job: &JobId) -> bool {
        self.record_number.is_some() && self.recovering.contains(job)
    }

    /// Records that a task is first observed running. `service_class`: the class of its service,
    /// if it is a replica of one.
    pub fn task_running(
        &mut self,
        job: &JobId,
        task: u32,
        service_class: Option<&str>,
        started_by: StartedBy,
        now: u64,
    ) {
        if self.record_number.is_none() {
            return;
        }
        if started_by == StartedBy::ThisLeader {
            self.first_start_at.get_or_insert(now);
        }
        let Some(class) = service_class.filter(|_| self.tracks(job)) else {
            return;
        };
        match started_by {
            StartedBy::PreviousLeader => self.replicas.found_running += 1,
            StartedBy::ThisLeader => self.replica_restarted(job, task, class, now),
        }
    }

    fn replica_restarted(&mut self, job: &JobId, task: u32, class: &str, now: u64) {
        self.replicas.restarted += 1;
        let lost_at = self.lost_at.remove(&(job.clone(), task));
        let gap_ms = now.saturating_sub(lost_at.unwrap_or(self.began_at));
        let longest_ms = self.longest_gap_ms.entry(class.to_owned()).or_default();
        *longest_ms = (*longest_ms).max(gap_ms);
    }

    /// Records that a replica is proven to have ended.
    pub fn replica_lost(&mut self, job: &JobId, task: u32, now: u64) {
        if self.tracks(job) {
            self.lost_at.entry((job.clone(), task)).or_insert(now);
        }
    }

    /// Records that a service is fully replicated, has ended, or is suspected of causing its own
    /// failures.
    pub fn service_recovered(&mut self, job: &JobId, now: u64) {
        if self.recovering.remove(job) && self.recovering.is_empty() {
            self.recovered_at = Some(now);
        }
    }

    /// Returns the number of the record if it is due for completion: everything to record is
    /// known, or [`COMPLETION_TIMEOUT_MS`] has passed.
    pub fn completion_due(&self, now: u64) -> Option<u64> {
        let all_known = self.recovered_at.is_some() && self.first_start_at.is_some();
        let ready = all_known || now >= self.began_at + COMPLETION_TIMEOUT_MS;
        let retry_due = self
            .attempted_at
            .is_none_or(|at| now >= at + COMPLETION_RETRY_MS);
        self.record_number.filter(|_| ready && retry_due)
    }

    /// Records an attempt to complete the record.
    pub fn completion_attempted(&mut self, now: u64) {
        self.attempted_at = Some(now);
    }

    /// Returns the number of the failover's record until it is completed.
    pub fn record_number(&self) -> Option<u64> {
        self.record_number
    }

    /// Discards the observations: the record is completed, or was overwritten.
    pub fn completed(&mut self) {
        *self = Self {
            fencing_token: self.fencing_token,
            began_at: self.began_at,
            ..Self::default()
        };
    }

    /// Returns the observations as the controller on `host` records them.
    pub fn completion(&self, host: &str, now: u64) -> FailoverCompletion {
        let elapsed_ms = |at: u64| at.saturating_sub(self.began_at);
        FailoverCompletion {
            reported_by: host.to_owned(),
            state_loaded_ms: Some(elapsed_ms(self.loaded_at)),
            first_start_ms: self.first_start_at.map(elapsed_ms),
            services_restored_ms: self.recovered_at.map(elapsed_ms),
            found: Some((self.replicas.found_running, self.replicas.restarted)),
            gaps: self.worst_gaps(),
            unknown: self.unknown_facts(elapsed_ms(now) / 1_000),
            fencing_token: Some(self.fencing_token),
            leadership_ms: None,
        }
    }

    /// Returns the longest downtimes by class, ms, longest first, without those that no longer
    /// fit into [`MAX_GAPS_BYTES`].
    fn worst_gaps(&self) -> Vec<(String, u64)> {
        let mut gaps: Vec<(String, u64)> = self
            .longest_gap_ms
            .iter()
            .map(|(class, ms)| (class.clone(), *ms))
            .collect();
        gaps.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        gaps.truncate(GAPS_RECORDED);
        let mut bytes_left = MAX_GAPS_BYTES;
        gaps.retain(|gap| {
            let rest = bytes_left.checked_sub(value_size(&to_value(gap)));
            bytes_left = rest.unwrap_or(bytes_left);
            rest.is_some()
        });
        gaps
    }

    /// Describes for operators what the completion lacks.
    fn unknown_facts(&self, elapsed_s: u64) -> Vec<String> {
        let mut unknown = Vec::new();
        if self.first_start_at.is_none() {
            unknown.push(format!("the first start: there was none in {elapsed_s} s"));
        }
        if self.recovered_at.is_none() {
            unknown.push(format!(
                "when all services were whole: {} were not after {elapsed_s} s",
                self.recovering.len()
            ));
        }
        unknown
    }
}

/// Returns the completion that a later leader writes for an abandoned record. Only the fencing
/// token and the duration of the leadership, if its end is recorded, are still known.
pub fn abandoned_completion(
    host: &str,
    fencing_token: u64,
    held_ms: Option<u64>,
) -> FailoverCompletion {
    let unknown = [
        "what was read and found",
        "the first start",
        "when all services were whole",
    ];
    FailoverCompletion {
        reported_by: host.to_owned(),
        unknown: unknown
            .map(|what| format!("{what}: its holder ended before it wrote that"))
            .to_vec(),
        fencing_token: Some(fencing_token),
        leadership_ms: held_ms,
        ..FailoverCompletion::default()
    }
}
