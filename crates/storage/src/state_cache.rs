//! A controller's cache of the keys under `w/`, which every controller watches, and of the
//! ends of jobs that it has read. It is updated by applying changes. A poll may be answered
//! from the cache once it is updated by a read that began after the poll arrived.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use base64::prelude::{BASE64_STANDARD, Engine};
use tracing::{info, warn};

use crate::dependencies::{DependencyPage, parse_blocked_job_key};
use crate::failovers::FailoverHistory;
use crate::last_progress::LastProgressCache;
use crate::records::{
    ControllerRecord, JobRecord, ShardRecord, StoreMessageRecord, StoreMessageRoute,
    TeamAssignmentRecord, VersionRecord, parse_store_message_key,
};
use crate::spec_pages::{
    CachedSpecPages, JobRecordWriter, PagedJobRecord, SpecPage, SpecPageId, StoredJobRecord,
    assemble,
};
use crate::watched_key::WatchedKey;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, from_value};
use lemonweir_protocol::users::JobPhase;

/// Ends of jobs that are cached at most, so that repeated polls need no read of the store;
/// about 60 bytes each.
const MAX_CACHED_JOB_ENDS: usize = 20_000;

/// An unfinished job that isn't blocked.
#[derive(Clone, Debug)]
pub struct CachedJob {
    /// The job's record.
    pub record: Arc<JobRecord>,
    /// Version of the record's key, which a change of the job must require.
    pub version: u64,
}

/// A job that waits for its dependencies.
#[derive(Clone, Debug)]
pub struct BlockedJob {
    /// The job's record; its `spec` holds only the first page of its dependencies.
    pub record: Arc<JobRecord>,
    /// Version of the record's key, which a change of the job must require.
    pub version: u64,
}

/// The end of a job, which never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedJobEnd {
    /// [`JobPhase::Done`] or [`JobPhase::Withdrawn`].
    pub phase: JobPhase,
    /// Monotonic time at which this controller learned of it, ms.
    pub learned_at_ms: u64,
    /// Version of the end record's key.
    pub version: u64,
}

/// The leader of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLeader {
    /// Host name of the leader.
    pub host: String,
    /// The shard's fencing token: the version of its key.
    pub fencing_token: u64,
}

/// What became of a peer's report of a shard's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderReport {
    /// The cache shows the reported leader now.
    Applied,
    /// The cache has read the reported acquisition, and what became of it since, or shows a
    /// newer leader.
    Outdated,
}

/// The key that holds a job's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum JobKey {
    /// `w/job/<id>`.
    Job,
    /// `w/chain/<id>`.
    BlockedJob,
}

/// Cache of the watched keys and of the ends of jobs.
#[derive(Default)]
pub struct StateCache {
    /// Revision of the store that the cache reflects; `None` before the first snapshot.
    pub revision: Option<u64>,
    /// Unfinished jobs that aren't blocked.
    pub jobs: BTreeMap<JobId, CachedJob>,
    /// Jobs that wait for their dependencies.
    pub blocked_jobs: BTreeMap<JobId, BlockedJob>,
    /// Further pages of the dependencies of blocked jobs.
    dependency_pages: BTreeMap<(JobId, usize), Vec<JobId>>,
    /// Pages of the specifications of jobs with large records.
    spec_pages: CachedSpecPages,
    /// Records whose specifications are in pages, each with the version of its key.
    paged_records: BTreeMap<(JobId, JobKey), (PagedJobRecord, u64)>,
    /// Number of changes of blocked jobs and of pages.
    pub blocked_job_changes: u64,
    /// Number of ends learned and of jobs deleted.
    ended_job_changes: u64,
    /// Leaders of the shards.
    pub shard_leaders: BTreeMap<u16, ShardLeader>,
    /// Live controllers by host name.
    pub controllers: BTreeMap<String, ControllerRecord>,
    /// Newest version of the records that every controller reads, and the version of its key.
    pub records_version: (u32, u64),
    /// Shards that serve the teams, by team.
    pub team_shards: BTreeMap<String, u16>,
    /// Failovers of the shards.
    pub failovers: FailoverHistory,
    /// What the leaders of the shards last knew of the progress of their jobs.
    pub last_progress: LastProgressCache,
    /// Jobs that were added, changed or removed since [`StateCache::take_changed_jobs`].
    changed_jobs: BTreeSet<JobId>,
    /// Chunks of peer messages, by route and position.
    messages: BTreeMap<(StoreMessageRoute, usize), StoreMessageRecord>,
    /// Routes with chunks that came since [`StateCache::take_messages`].
    unread_messages: BTreeSet<StoreMessageRoute>,
    /// Cached ends of jobs, at most [`MAX_CACHED_JOB_ENDS`].
    ends: HashMap<JobId, CachedJobEnd>,
    /// Jobs in `ends` in the order of insertion, for eviction.
    ends_order: VecDeque<JobId>,
}

impl StateCache {
    /// Replaces the watched keys by a full listing. Listed pages may be newer than `revision`.
    pub fn load_snapshot(&mut self, entries: &[KeyValue], revision: u64) {
        self.changed_jobs
            .extend(std::mem::take(&mut self.jobs).into_keys());
        self.blocked_jobs.clear();
        self.dependency_pages.clear();
        self.spec_pages.clear();
        self.paged_records.clear();
        self.blocked_job_changes += 1;
        // A leader that a peer has reported since the first page was read stays: the changes
        // after `revision` bring its acquisition, and its end.
        self.shard_leaders
            .retain(|_, leader| leader.fencing_token > revision);
        self.controllers.clear();
        self.team_shards.clear();
        self.failovers.clear();
        self.last_progress.clear();
        self.messages.clear();
        for entry in entries {
            self.set(&entry.key, &entry.value, entry.version);
        }
        self.warn_of_missing_pages();
        self.revision = Some(revision);
    }

    /// Warns of records whose specifications are incomplete after a full listing: normally those
    /// of jobs that ended while it was read, whose deletions follow.
    fn warn_of_missing_pages(&self) {
        for (id, key) in self.paged_records.keys() {
            let is_cached = match key {
                JobKey::Job => self.jobs.contains_key(id),
                JobKey::BlockedJob => self.blocked_jobs.contains_key(id),
            };
            if !is_cached {
                warn!(job_id = %id, "pages of a job's specification are missing");
            }
        }
    }

    /// Applies changes in their order, learned at `now`, ms.
    pub fn apply_changes(&mut self, changes: &[WatchEvent], revision: u64, now: u64) {
        for change in changes {
            match (&change.set, &change.drop, &change.value) {
                (Some(key), _, Some(value)) => self.set(key, value, change.version),
                (_, Some(key), _) => self.remove(key, change.version, now),
                _ => tracing::error!("watch event without a key"),
            }
        }
        self.revision = self.revision.max(Some(revision));
    }

    fn set(&mut self, key: &str, value: &rmpv::Value, version: u64) {
        let applied = WatchedKey::parse(key).and_then(|kind| match kind {
            WatchedKey::Job(id) => self.set_job(id, value, version),
            WatchedKey::BlockedJob(rest) => self.set_blocked_job(rest, value, version),
            WatchedKey::SpecPage(rest) => self.set_spec_page(rest, value),
            WatchedKey::Shard(index) => self.set_shard_leader(index, value, version),
            WatchedKey::Controller(host) => self.set_controller(host, value),
            WatchedKey::Version => self.set_records_version(value, version),
            WatchedKey::Team(team) => self.set_team_shard(team, value),
            WatchedKey::Failover(rest) => {
                self.failovers.set(rest, value, version);
                Some(())
            }
            WatchedKey::StoreMessage(rest) => self.set_message(rest, value),
            WatchedKey::LastProgress(rest) => self.last_progress.set(rest, value),
        });
        if applied.is_none() {
            tracing::error!(key, "record not understood");
        }
    }

    fn set_job(&mut self, id: &str, value: &rmpv::Value, version: u64) -> Option<()> {
        self.set_job_record(JobKey::Job, JobId::parse(id)?, value, version)
    }

    /// Caches a job's record. One whose specification is in pages is cached once all of them are.
    fn set_job_record(
        &mut self,
        key: JobKey,
        id: JobId,
        value: &rmpv::Value,
        version: u64,
    ) -> Option<()> {
        match StoredJobRecord::read(value)? {
            StoredJobRecord::Whole(record) => {
                self.paged_records.remove(&(id.clone(), key));
                self.insert_job(key, id, record, version);
            }
            StoredJobRecord::Paged(record) => {
                self.paged_records
                    .insert((id.clone(), key), (record, version));
                self.assemble_job(key, id);
            }
        }
        Some(())
    }

    fn insert_job(&mut self, key: JobKey, id: JobId, record: JobRecord, version: u64) {
        let record = Arc::new(record);
        match key {
            JobKey::Job => {
                self.changed_jobs.insert(id.clone());
                self.jobs.insert(id, CachedJob { record, version });
            }
            JobKey::BlockedJob => {
                self.blocked_job_changes += 1;
                self.blocked_jobs.insert(id, BlockedJob { record, version });
            }
        }
    }

    /// Caches a job whose specification is in pages, unless one of them is not cached yet: a
    /// listing holds the pages after the record.
    fn assemble_job(&mut self, key: JobKey, id: JobId) {
        let Some((paged, version)) = self.paged_records.get(&(id.clone(), key)) else {
            return;
        };
        let version = *version;
        if let Some(record) = assemble(&id, paged, &self.spec_pages) {
            self.insert_job(key, id, record, version);
        }
    }

    fn set_spec_page(&mut self, rest: &str, value: &rmpv::Value) -> Option<()> {
        let page_id = SpecPageId::parse(rest)?;
        let SpecPage { text } = from_value(value)?;
        self.blocked_job_changes += 1;
        let job = page_id.job.clone();
        self.spec_pages.insert(page_id, text);
        self.assemble_job(JobKey::Job, job.clone());
        self.assemble_job(JobKey::BlockedJob, job);
        Some(())
    }

    fn set_blocked_job(&mut self, rest: &str, value: &rmpv::Value, version: u64) -> Option<()> {
        self.blocked_job_changes += 1;
        match parse_blocked_job_key(rest)? {
            (id, 0) => self.set_job_record(JobKey::BlockedJob, id, value, version)?,
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
        // A peer may have reported a newer leader than the cache has read. Changes from before
        // that leader arrive later and must not replace it.
        if self.leads_since_before(index, version).unwrap_or(true) {
            let fencing_token = version;
            info!(
                shard = index,
                leader = host,
                fencing_token,
                "shard leader read"
            );
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

    /// True if the known leader of a shard acquired it before a revision; `None` if no leader
    /// is known.
    fn leads_since_before(&self, shard: u16, revision: u64) -> Option<bool> {
        let leader = self.shard_leaders.get(&shard)?;
        Some(leader.fencing_token < revision)
    }

    /// Applies a peer's report of a shard's leader, if it is news.
    ///
    /// A change up to the cache's revision is not read again. So if the cache has read that the
    /// reported leader gave up the shard, nothing would ever remove that leader again.
    pub fn apply_leader_report(&mut self, shard: u16, leader: ShardLeader) -> LeaderReport {
        let read_already = self.revision >= Some(leader.fencing_token);
        let newer = self
            .leads_since_before(shard, leader.fencing_token)
            .unwrap_or(true);
        if read_already || !newer {
            return LeaderReport::Outdated;
        }
        self.shard_leaders.insert(shard, leader);
        LeaderReport::Applied
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
        let (route, chunk) = parse_store_message_key(rest)?;
        let record = from_value::<StoreMessageRecord>(value)?;
        self.messages.insert((route, chunk), record);
        self.unread_messages.insert(route);
        Some(())
    }

    fn remove(&mut self, key: &str, version: u64, now: u64) {
        match WatchedKey::parse(key) {
            Some(WatchedKey::Job(id)) => self.remove_job(JobId::from(id), version, now),
            Some(WatchedKey::BlockedJob(rest)) => self.remove_blocked_job(rest),
            Some(WatchedKey::SpecPage(rest)) => self.remove_spec_page(rest),
            Some(WatchedKey::Shard(index)) => self.remove_shard_leader(index, version),
            Some(WatchedKey::Controller(host)) => {
                self.controllers.remove(host);
            }
            Some(WatchedKey::Team(team)) => {
                self.team_shards.remove(team);
            }
            Some(WatchedKey::Failover(rest)) => self.failovers.remove(rest),
            Some(WatchedKey::LastProgress(rest)) => self.last_progress.remove(rest),
            Some(WatchedKey::StoreMessage(rest)) => {
                if let Some(key) = parse_store_message_key(rest) {
                    self.messages.remove(&key);
                }
            }
            // The version is never deleted; unknown keys belong to a later version.
            Some(WatchedKey::Version) | None => {}
        }
    }

    fn remove_job(&mut self, id: JobId, version: u64, now: u64) {
        self.ended_job_changes += 1;
        self.paged_records.remove(&(id.clone(), JobKey::Job));
        let removed = self.jobs.remove(&id);
        // The key of a job that nobody asked to cancel is deleted only when the job is done,
        // so its end needs no read. It was written in the same transaction, at this revision.
        if removed.is_some_and(|job| !job.record.cancel_requested) {
            self.record_end(&id, JobPhase::Done, version, now);
        }
        self.changed_jobs.insert(id);
    }

    fn remove_blocked_job(&mut self, rest: &str) {
        self.blocked_job_changes += 1;
        match parse_blocked_job_key(rest) {
            Some((id, 0)) => {
                self.blocked_jobs.remove(&id);
                self.paged_records.remove(&(id, JobKey::BlockedJob));
            }
            Some(page) => drop(self.dependency_pages.remove(&page)),
            None => {}
        }
    }

    fn remove_spec_page(&mut self, rest: &str) {
        self.blocked_job_changes += 1;
        if let Some(id) = SpecPageId::parse(rest) {
            self.spec_pages.remove(&id);
        }
    }

    fn remove_shard_leader(&mut self, index: &str, version: u64) {
        let Ok(index) = index.parse() else { return };
        // A leader that acquired the shard after this deletion stays.
        if self.leads_since_before(index, version).unwrap_or(false) {
            info!(
                shard = index,
                revision = version,
                "shard leader key deleted"
            );
            self.shard_leaders.remove(&index);
        }
    }

    /// Removes a blocked job that a committed compare-and-swap has released or ended, before the
    /// change of its key is read.
    pub fn forget_blocked_job(&mut self, id: &JobId) {
        self.blocked_jobs.remove(id);
        self.paged_records.remove(&(id.clone(), JobKey::BlockedJob));
    }

    /// The dependencies of a blocked job, if all of their pages are cached.
    pub fn dependencies(&self, id: &JobId) -> Option<Vec<JobId>> {
        let record = &self.blocked_jobs.get(id)?.record;
        let mut dependencies = record.spec.depends_on.clone();
        for page in 1.. {
            if dependencies.len() >= record.dependency_count {
                break;
            }
            dependencies.extend(
                self.dependency_pages
                    .get(&(id.clone(), page))?
                    .iter()
                    .cloned(),
            );
        }
        Some(dependencies)
    }

    /// Dependency pages of jobs that are no longer blocked.
    pub fn orphaned_dependency_pages(&self) -> impl Iterator<Item = &(JobId, usize)> {
        self.dependency_pages
            .keys()
            .filter(|(id, _)| !self.blocked_jobs.contains_key(id))
    }

    /// True if any page of a specification is cached.
    pub fn has_spec_pages(&self) -> bool {
        !self.spec_pages.is_empty()
    }

    /// Pages of the specifications of jobs that have neither an unfinished nor a blocked record:
    /// those of a job that has ended, and of one whose submission was not completed.
    pub fn orphaned_spec_pages(&self) -> impl Iterator<Item = &SpecPageId> {
        self.spec_pages.keys().filter(|page| {
            let has_record = |key| self.paged_records.contains_key(&(page.job.clone(), key));
            !self.jobs.contains_key(&page.job)
                && !self.blocked_jobs.contains_key(&page.job)
                && !has_record(JobKey::Job)
                && !has_record(JobKey::BlockedJob)
        })
    }

    /// Writes job records in the form that all controllers read, with at most `max_cas_ops`
    /// writes in a compare-and-swap.
    pub fn job_record_writer(&self, max_cas_ops: usize) -> JobRecordWriter<'_> {
        JobRecordWriter {
            record_version: self.records_version.0,
            max_cas_ops,
            stored_pages: &self.spec_pages,
        }
    }

    /// Number of changes that may affect which blocked jobs can start.
    pub fn dependency_changes(&self) -> u64 {
        self.blocked_job_changes + self.ended_job_changes
    }

    /// True if the cache has the job: unfinished, blocked or ended.
    pub fn is_known(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.blocked_jobs.contains_key(id)
            || self.ends.contains_key(id)
    }

    /// The specification of an unfinished job, blocked or not.
    pub fn job_spec(&self, id: &JobId) -> Option<&JobSpec> {
        let blocked = || {
            self.blocked_jobs
                .get(id)
                .map(|blocked| &blocked.record.spec)
        };
        self.jobs
            .get(id)
            .map(|job| &job.record.spec)
            .or_else(blocked)
    }

    /// Jobs that were added, changed or removed since the last call.
    pub fn take_changed_jobs(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed_jobs)
    }

    /// Peer messages of which a chunk came since the last call and all chunks are present.
    pub fn take_messages(&mut self) -> Vec<(StoreMessageRoute, Vec<u8>)> {
        let routes = std::mem::take(&mut self.unread_messages);
        routes
            .into_iter()
            .filter_map(|route| self.assemble_message(route).map(|bytes| (route, bytes)))
            .collect()
    }

    /// Assembles the chunks of a message; `None` if one is missing or is of another message.
    fn assemble_message(&self, route: StoreMessageRoute) -> Option<Vec<u8>> {
        let first = self.messages.get(&(route, 0))?;
        let mut bytes = Vec::new();
        for chunk in 0..first.chunk_count {
            let record = self
                .messages
                .get(&(route, chunk))
                .filter(|r| r.message_id == first.message_id)?;
            bytes.extend(BASE64_STANDARD.decode(&record.payload_base64).ok()?);
        }
        Some(bytes)
    }

    /// Caches the end of a job, learned at `now`; a known end is kept, since it never changes.
    pub fn record_end(&mut self, job: &JobId, phase: JobPhase, version: u64, now: u64) {
        if self.ends.contains_key(job) {
            return;
        }
        self.ended_job_changes += 1;
        self.ends.insert(
            job.clone(),
            CachedJobEnd {
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

    /// The end of a job, if cached.
    pub fn job_end(&self, job: &JobId) -> Option<CachedJobEnd> {
        self.ends.get(job).copied()
    }
}
