//! This node's copy of the keys that every node follows, with the settled ends
//! it has read. Brought up to date by reading changes; a copy brought up to
//! date by a read that began after a poll arrived may answer that poll.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use base64::prelude::{BASE64_STANDARD, Engine};

use crate::dependencies::{DependencyPage, parse_blocked_job_key};
use crate::failovers::FailoverHistory;
use crate::followed_key::FollowedKey;
use crate::records::{
    ControllerRecord, JobRecord, ShardRecord, StoreMessageRecord, StoreMessageRoute,
    TeamAssignmentRecord, VersionRecord, parse_store_message_key,
};
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, from_value};
use lemonweir_protocol::users::JobPhase;

/// Settled ends of jobs remembered by a node, so that repeated polls need no
/// read; about 60 bytes each.
const MAX_CACHED_JOB_ENDS: usize = 20_000;

/// An unfinished job with the version of its key.
#[derive(Clone, Debug)]
pub struct CachedJob {
    /// The record.
    pub record: Arc<JobRecord>,
    /// Version of the key.
    pub version: u64,
}

/// A job that waits for others.
#[derive(Clone, Debug)]
pub struct BlockedJob {
    /// The record; its `spec` names the first page of the jobs that it depends on.
    pub record: Arc<JobRecord>,
    /// Version of the key.
    pub version: u64,
}

/// A job's end, which never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalState {
    /// Done or cancelled.
    pub phase: JobPhase,
    /// When this node learned of it, ms.
    pub learned_at_ms: u64,
    /// Version of its key.
    pub version: u64,
}

/// A shard's owner with the shard's fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLeader {
    /// Host name.
    pub host: String,
    /// The shard's token: the version of its key.
    pub fencing_token: u64,
}

/// The copy.
#[derive(Default)]
pub struct StateCache {
    /// Revision that the copy is at; `None` before the first full reading.
    pub revision: Option<u64>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, CachedJob>,
    /// Jobs that wait for others.
    pub blocked_jobs: BTreeMap<JobId, BlockedJob>,
    /// Further pages of what they await.
    dependency_pages: BTreeMap<(JobId, usize), Vec<JobId>>,
    /// Counts changes of jobs that wait.
    pub blocked_job_changes: u64,
    /// Counts jobs that ended or went.
    ended_changes: u64,
    /// Owners of shards.
    pub shard_leaders: BTreeMap<u16, ShardLeader>,
    /// Living nodes.
    pub controllers: BTreeMap<String, ControllerRecord>,
    /// Newest form of the records that every controller reads, and the version of its key.
    pub records_version: (u32, u64),
    /// Shards of teams.
    pub team_shards: BTreeMap<String, u16>,
    /// The shards' failovers.
    pub failovers: FailoverHistory,
    /// Jobs that came, changed or went since they were last looked at.
    changed_jobs: BTreeSet<JobId>,
    messages: BTreeMap<(StoreMessageRoute, usize), StoreMessageRecord>,
    unread_messages: BTreeSet<StoreMessageRoute>,
    /// Settled ends.
    ends: HashMap<JobId, FinalState>,
    ends_order: VecDeque<JobId>,
}

impl StateCache {
    /// Takes a full reading.
    pub fn load_snapshot(&mut self, entries: &[KeyValue], revision: u64) {
        self.changed_jobs
            .extend(std::mem::take(&mut self.jobs).into_keys());
        self.blocked_jobs.clear();
        self.dependency_pages.clear();
        self.blocked_job_changes += 1;
        self.shard_leaders.clear();
        self.controllers.clear();
        self.team_shards.clear();
        self.failovers.clear();
        self.messages.clear();
        for entry in entries {
            self.set(&entry.key, &entry.value, entry.version);
        }
        self.revision = Some(revision);
    }

    /// Takes changes in their order, as they are learned at `now`, ms.
    pub fn apply_changes(&mut self, changes: &[WatchEvent], revision: u64, now: u64) {
        for change in changes {
            match (&change.set, &change.drop, &change.value) {
                (Some(key), _, Some(value)) => self.set(key, value, change.version),
                (_, Some(key), _) => self.remove(key, change.version, now),
                _ => tracing::error!("change without key"),
            }
        }
        self.revision = self.revision.max(Some(revision));
    }

    fn set(&mut self, key: &str, value: &rmpv::Value, version: u64) {
        let applied = FollowedKey::parse(key).and_then(|kind| match kind {
            FollowedKey::Job(id) => self.set_job(id, value, version),
            FollowedKey::BlockedJob(rest) => self.set_blocked_job(rest, value, version),
            FollowedKey::Shard(index) => self.set_shard_leader(index, value, version),
            FollowedKey::Controller(host) => self.set_controller(host, value),
            FollowedKey::Version => self.set_records_version(value, version),
            FollowedKey::Team(team) => self.set_team_shard(team, value),
            FollowedKey::Failover(rest) => {
                self.failovers.set(rest, value, version);
                Some(())
            }
            FollowedKey::StoreMessage(rest) => self.set_message(rest, value),
        });
        if applied.is_none() {
            tracing::error!(key, "record not understood");
        }
    }

    fn set_job(&mut self, id: &str, value: &rmpv::Value, version: u64) -> Option<()> {
        let id = JobId::parse(id)?;
        let record = Arc::new(from_value::<JobRecord>(value)?);
        self.changed_jobs.insert(id.clone());
        self.jobs.insert(id, CachedJob { record, version });
        Some(())
    }

    fn set_blocked_job(&mut self, rest: &str, value: &rmpv::Value, version: u64) -> Option<()> {
        self.blocked_job_changes += 1;
        match parse_blocked_job_key(rest)? {
            (id, 0) => {
                let record = Arc::new(from_value::<JobRecord>(value)?);
                self.blocked_jobs.insert(id, BlockedJob { record, version });
            }
            page => {
                let DependencyPage { depends_on } = from_value(value)?;
                self.dependency_pages.insert(page, depends_on);
            }
        }
        Some(())
    }

    fn set_shard_leader(&mut self, index: &str, value: &rmpv::Value, version: u64) -> Option<()> {
        let index = index.parse().ok()?;
        let ShardRecord { host } = from_value(value)?;
        // Guards against going back to a leader from before one that a peer has told
        // of already: the cache learns what lies between later.
        if self.leads_since_before(index, version).unwrap_or(true) {
            let fencing_token = version;
            self.shard_leaders.insert(
                index,
                ShardLeader {
                    host,
                    fencing_token,
                },
            );
        }
        Some(())
    }

    /// True if the known leader of a shard was there before a revision; `None`: none is
    /// known.
    fn leads_since_before(&self, shard: u16, revision: u64) -> Option<bool> {
        let leader = self.shard_leaders.get(&shard)?;
        Some(leader.fencing_token < revision)
    }

    fn set_controller(&mut self, host: &str, value: &rmpv::Value) -> Option<()> {
        let record = from_value::<ControllerRecord>(value)?;
        self.controllers.insert(host.to_owned(), record);
        Some(())
    }

    fn set_records_version(&mut self, value: &rmpv::Value, version: u64) -> Option<()> {
        let record = from_value::<VersionRecord>(value)?;
        self.records_version = (record.version, version);
        Some(())
    }

    fn set_team_shard(&mut self, team: &str, value: &rmpv::Value) -> Option<()> {
        let record = from_value::<TeamAssignmentRecord>(value)?;
        self.team_shards.insert(team.to_owned(), record.shard);
        Some(())
    }

    fn set_message(&mut self, rest: &str, value: &rmpv::Value) -> Option<()> {
        let (route, piece) = parse_store_message_key(rest)?;
        let record = from_value::<StoreMessageRecord>(value)?;
        self.messages.insert((route, piece), record);
        self.unread_messages.insert(route);
        Some(())
    }

    fn remove(&mut self, key: &str, version: u64, now: u64) {
        match FollowedKey::parse(key) {
            Some(FollowedKey::Job(id)) => self.remove_job(JobId::from(id), version, now),
            Some(FollowedKey::BlockedJob(rest)) => self.remove_blocked_job(rest),
            Some(FollowedKey::Shard(index)) => self.remove_shard_leader(index, version),
            Some(FollowedKey::Controller(host)) => {
                self.controllers.remove(host);
            }
            Some(FollowedKey::Team(team)) => {
                self.team_shards.remove(team);
            }
            Some(FollowedKey::Failover(rest)) => self.failovers.remove(rest),
            Some(FollowedKey::StoreMessage(rest)) => {
                if let Some(key) = parse_store_message_key(rest) {
                    self.messages.remove(&key);
                }
            }
            // The version is never deleted; what a later version follows is its own.
            Some(FollowedKey::Version) | None => {}
        }
    }

    fn remove_job(&mut self, id: JobId, version: u64, now: u64) {
        self.ended_changes += 1;
        let removed = self.jobs.remove(&id);
        // A job that nobody asked to cancel leaves when it is done: its end needs no
        // reading. It was written in the same transaction, at this revision.
        if removed.is_some_and(|job| !job.record.cancel_requested) {
            self.record_end(&id, JobPhase::Done, version, now);
        }
        self.changed_jobs.insert(id);
    }

    fn remove_blocked_job(&mut self, rest: &str) {
        self.blocked_job_changes += 1;
        match parse_blocked_job_key(rest) {
            Some((id, 0)) => drop(self.blocked_jobs.remove(&id)),
            Some(page) => drop(self.dependency_pages.remove(&page)),
            None => {}
        }
    }

    fn remove_shard_leader(&mut self, index: &str, version: u64) {
        let Ok(index) = index.parse() else { return };
        // Guards against dropping a leader that came after this.
        if self.leads_since_before(index, version).unwrap_or(false) {
            self.shard_leaders.remove(&index);
        }
    }

    /// The dependencies of a job, if all pages of them are here.
    pub fn dependencies(&self, id: &JobId) -> Option<Vec<JobId>> {
        let record = &self.blocked_jobs.get(id)?.record;
        let mut awaits = record.spec.depends_on.clone();
        for page in 1.. {
            if awaits.len() >= record.dependency_count {
                break;
            }
            awaits.extend(
                self.dependency_pages
                    .get(&(id.clone(), page))?
                    .iter()
                    .cloned(),
            );
        }
        Some(awaits)
    }

    /// Further pages of jobs that wait no more.
    pub fn orphaned_dependency_pages(&self) -> impl Iterator<Item = &(JobId, usize)> {
        self.dependency_pages
            .keys()
            .filter(|(id, _)| !self.blocked_jobs.contains_key(id))
    }

    /// Changes with any of which waiting jobs may stand otherwise.
    pub fn dependency_changes(&self) -> u64 {
        self.blocked_job_changes + self.ended_changes
    }

    /// True if the job is accepted, as far as this copy tells.
    pub fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.blocked_jobs.contains_key(id)
            || self.ends.contains_key(id)
    }

    /// What the user of an unfinished job asked for.
    pub fn job_spec(&self, id: &JobId) -> Option<&JobSpec> {
        let waiting = || {
            self.blocked_jobs
                .get(id)
                .map(|waiting| &waiting.record.spec)
        };
        self.jobs
            .get(id)
            .map(|job| &job.record.spec)
            .or_else(waiting)
    }

    /// Jobs that came, changed or went since the last call.
    pub fn take_changed_jobs(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Messages that came since the last call, whole ones only.
    pub fn take_messages(&mut self) -> Vec<(StoreMessageRoute, Vec<u8>)> {
        let lines = std::mem::take(&mut self.unread_messages);
        lines
            .into_iter()
            .filter_map(|line| self.assemble_message(line).map(|bytes| (line, bytes)))
            .collect()
    }

    /// Puts the pieces of a message together, if they agree.
    fn assemble_message(&self, line: StoreMessageRoute) -> Option<Vec<u8>> {
        let first = self.messages.get(&(line, 0))?;
        let mut bytes = Vec::new();
        for piece in 0..first.chunk_count {
            let record = self
                .messages
                .get(&(line, piece))
                .filter(|r| r.message_id == first.message_id)?;
            bytes.extend(BASE64_STANDARD.decode(&record.payload_base64).ok()?);
        }
        Some(bytes)
    }

    /// Remembers a settled end, learned now; it never changes.
    pub fn record_end(&mut self, job: &JobId, phase: JobPhase, version: u64, now: u64) {
        if self.ends.contains_key(job) {
            return;
        }
        self.ended_changes += 1;
        self.ends.insert(
            job.clone(),
            FinalState {
                phase,
                learned_at_ms: now,
                version,
            },
        );
        self.ends_order.push_back(job.clone());
        if self.ends_order.len() > MAX_CACHED_JOB_ENDS
            && let Some(oldest) = self.ends_order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// A settled end, if remembered.
    pub fn job_end(&self, job: &JobId) -> Option<FinalState> {
        self.ends.get(job).copied()
    }
}
