//! What was found after a part changed hands.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;
use lemonweir_model::constants::{CLOSE_MOST_MS, CLOSE_RETRY_MS, GAPS_TOLD};
use lemonweir_storage::failovers::FailoverCompletion;

/// What the new holder of a part has found so far.
#[derive(Debug, Default)]
pub struct Failover {
    /// Number of its entry; none: there is none, or it is closed.
    entry: Option<u64>,
    /// The part's token.
    token: u64,
    /// When the part changed hands, and when records and jobs were read, ms.
    began: u64,
    read: u64,
    first_start: Option<u64>,
    /// Services of then that have not been whole since.
    awaited: BTreeSet<JobId>,
    whole: Option<u64>,
    /// Replicas of then that were found up, and started anew.
    found: (u32, u32),
    /// When replicas were seen to be lost since.
    lost: BTreeMap<(JobId, u32), u64>,
    /// Longest gap of a replica by class, ms.
    gaps: BTreeMap<String, u64>,
    /// When closing was last tried.
    tried: Option<u64>,
}

impl Failover {
    /// A part was taken at `began`, with these services, and read by `now`.
    pub fn new(
        entry: Option<u64>,
        token: u64,
        began: u64,
        awaited: BTreeSet<JobId>,
        now: u64,
    ) -> Self {
        let whole = awaited.is_empty().then_some(now);
        Self {
            entry,
            token,
            began,
            read: now,
            awaited,
            whole,
            ..Self::default()
        }
    }

    fn watches(&self, job: &JobId) -> bool {
        self.entry.is_some() && self.awaited.contains(job)
    }

    /// A task is seen to run for the first time. `ours`: this holder started it;
    /// `class`: it is a replica of a service of that class.
    pub fn ran(&mut self, job: &JobId, task: u32, class: Option<&str>, ours: bool, now: u64) {
        if self.entry.is_none() {
            return;
        }
        if ours {
            self.first_start.get_or_insert(now);
        }
        let Some(class) = class.filter(|_| self.watches(job)) else {
            return;
        };
        if !ours {
            self.found.0 += 1;
            return;
        }
        self.found.1 += 1;
        let since = self.lost.remove(&(job.clone(), task)).unwrap_or(self.began);
        let gap = self.gaps.entry(class.to_owned()).or_default();
        *gap = (*gap).max(now.saturating_sub(since));
    }

    /// A replica is proven to be over.
    pub fn lost(&mut self, job: &JobId, task: u32, now: u64) {
        if self.watches(job) {
            self.lost.entry((job.clone(), task)).or_insert(now);
        }
    }

    /// A service is whole, over, or a suspect.
    pub fn done(&mut self, job: &JobId, now: u64) {
        if self.awaited.remove(job) && self.awaited.is_empty() {
            self.whole = Some(now);
        }
    }

    /// The entry to close now, if it is time: all that it has to tell is known, or
    /// will not be known soon.
    pub fn due(&self, now: u64) -> Option<u64> {
        let told = self.whole.is_some() && self.first_start.is_some();
        let ready = told || now >= self.began + CLOSE_MOST_MS;
        self.entry
            .filter(|_| ready && self.tried.is_none_or(|at| now >= at + CLOSE_RETRY_MS))
    }

    /// Closing is tried now.
    pub fn tried(&mut self, now: u64) {
        self.tried = Some(now);
    }

    /// Its entry, while that is open.
    pub fn entry(&self) -> Option<u64> {
        self.entry
    }

    /// Its entry is closed, or is no more.
    pub fn closed(&mut self) {
        let (token, began) = (self.token, self.began);
        *self = Self {
            token,
            began,
            ..Self::default()
        };
    }

    /// What it has found, as told by `host`.
    pub fn closing(&self, host: &str, now: u64) -> FailoverCompletion {
        let since = |at: u64| at.saturating_sub(self.began);
        let mut gaps: Vec<(String, u64)> = self
            .gaps
            .iter()
            .map(|(class, ms)| (class.clone(), *ms))
            .collect();
        gaps.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        gaps.truncate(GAPS_TOLD);
        let mut unknown = Vec::new();
        if self.first_start.is_none() {
            unknown.push(format!(
                "the first start: there was none in {} s",
                since(now) / 1_000
            ));
        }
        if self.whole.is_none() {
            unknown.push(format!(
                "when all services were whole: {} were not after {} s",
                self.awaited.len(),
                since(now) / 1_000
            ));
        }
        FailoverCompletion {
            reported_by: host.to_owned(),
            state_loaded_ms: Some(since(self.read)),
            first_start_ms: self.first_start.map(since),
            services_restored_ms: self.whole.map(since),
            found: Some(self.found),
            gaps,
            unknown,
            fencing_token: Some(self.token),
            leadership_ms: None,
        }
    }
}

/// What a later holder can still tell of an entry that was left open: nothing but
/// how long it lasted.
pub fn left_open(host: &str, token: u64, held_ms: Option<u64>) -> FailoverCompletion {
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
        fencing_token: Some(token),
        leadership_ms: held_ms,
        ..FailoverCompletion::default()
    }
}
