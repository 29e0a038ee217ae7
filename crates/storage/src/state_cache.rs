//! This node's copy of the keys that every node follows, with the settled ends
//! it has read. Brought up to date by reading changes; a copy brought up to
//! date by a read that began after a poll arrived may answer that poll.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use base64::prelude::{BASE64_STANDARD, Engine};

use crate::dependencies::{DependencyPage, parse_blocked_job_key};
use crate::failovers::FailoverHistory;
use crate::records::{
    ControllerRecord, JobRecord, ShardRecord, StoreMessageRecord, StoreMessageRoute,
    TeamAssignmentRecord, VERSION_KEY, VersionRecord, parse_store_message_key,
};
use lemonweir_model::constants::ENDS_REMEMBERED;
use lemonweir_model::{JobId, JobSpec};
use lemonweir_protocol::kv_store::{KeyValue, WatchEvent, from_value};
use lemonweir_protocol::users::JobPhase;

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
    /// The record; its `spec` names the first page of the jobs that it awaits.
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
    pub learned: u64,
    /// Version of its key.
    pub version: u64,
}

/// A part's owner with the part's token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLeader {
    /// Host name.
    pub host: String,
    /// The part's token: the version of its key.
    pub token: u64,
}

/// The copy.
#[derive(Default)]
pub struct StateCache {
    /// Revision that the copy is at; `None` before the first full reading.
    pub revision: Option<u64>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, CachedJob>,
    /// Jobs that wait for others.
    pub waiting: BTreeMap<JobId, BlockedJob>,
    /// Further pages of what they await.
    awaits_pages: BTreeMap<(JobId, usize), Vec<JobId>>,
    /// Counts changes of jobs that wait.
    pub waiting_changes: u64,
    /// Counts jobs that ended or went.
    ended_changes: u64,
    /// Owners of parts.
    pub shards: BTreeMap<u16, ShardLeader>,
    /// Living nodes.
    pub nodes: BTreeMap<String, ControllerRecord>,
    /// Newest form of the records that every controller reads, and the version of its key.
    pub records_version: (u32, u64),
    /// Parts of teams.
    pub teams: BTreeMap<String, u16>,
    /// The parts' changes of hands.
    pub failovers: FailoverHistory,
    /// Jobs that came, changed or went since they were last looked at.
    touched: BTreeSet<JobId>,
    mail: BTreeMap<(StoreMessageRoute, usize), StoreMessageRecord>,
    new_mail: BTreeSet<StoreMessageRoute>,
    /// Settled ends.
    ends: HashMap<JobId, FinalState>,
    ends_order: VecDeque<JobId>,
}

impl StateCache {
    /// Takes a full reading.
    pub fn replace(&mut self, entries: &[KeyValue], revision: u64) {
        self.touched
            .extend(std::mem::take(&mut self.jobs).into_keys());
        self.waiting.clear();
        self.awaits_pages.clear();
        self.waiting_changes += 1;
        self.shards.clear();
        self.nodes.clear();
        self.teams.clear();
        self.failovers.clear();
        self.mail.clear();
        for entry in entries {
            self.set(&entry.key, &entry.value, entry.version);
        }
        self.revision = Some(revision);
    }

    /// Takes changes in their order, as they are learned at `now`, ms.
    pub fn apply(&mut self, changes: &[WatchEvent], revision: u64, now: u64) {
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
        let known = match key.strip_prefix("w/").and_then(|k| k.split_once('/')) {
            Some(("job", id)) => match (JobId::parse(id), from_value::<JobRecord>(value)) {
                (Some(id), Some(record)) => {
                    self.touched.insert(id.clone());
                    self.jobs.insert(
                        id,
                        CachedJob {
                            record: Arc::new(record),
                            version,
                        },
                    );
                    true
                }
                _ => false,
            },
            Some(("chain", rest)) => self.set_waiting(rest, value, version),
            Some(("part", index)) => match (index.parse(), from_value::<ShardRecord>(value)) {
                (Ok(index), Some(record)) => {
                    // Guards against going back to a holder from before one that a
                    // peer has told of already: the copy learns what lies between later.
                    if self.shards.get(&index).is_none_or(|h| h.token < version) {
                        self.shards.insert(
                            index,
                            ShardLeader {
                                host: record.host,
                                token: version,
                            },
                        );
                    }
                    true
                }
                _ => false,
            },
            Some(("node", host)) => match from_value::<ControllerRecord>(value) {
                Some(record) => {
                    self.nodes.insert(host.to_owned(), record);
                    true
                }
                None => false,
            },
            None if key == VERSION_KEY => match from_value::<VersionRecord>(value) {
                Some(record) => {
                    self.records_version = (record.version, version);
                    true
                }
                None => false,
            },
            Some(("team", team)) => match from_value::<TeamAssignmentRecord>(value) {
                Some(record) => {
                    self.teams.insert(team.to_owned(), record.shard);
                    true
                }
                None => false,
            },
            Some(("hand", rest)) => {
                self.failovers.set(rest, value, version);
                true
            }
            Some(("mail", rest)) => match (
                parse_store_message_key(rest),
                from_value::<StoreMessageRecord>(value),
            ) {
                (Some((line, piece)), Some(record)) => {
                    self.mail.insert((line, piece), record);
                    self.new_mail.insert(line);
                    true
                }
                _ => false,
            },
            _ => false,
        };
        if !known {
            tracing::error!(key, "record not understood");
        }
    }

    fn remove(&mut self, key: &str, version: u64, now: u64) {
        match key.strip_prefix("w/").and_then(|k| k.split_once('/')) {
            Some(("job", id)) => {
                let id = JobId::from(id);
                self.ended_changes += 1;
                // A job that nobody asked to withdraw leaves when it is done: its
                // end needs no reading.
                if self.jobs.remove(&id).is_some_and(|j| !j.record.withdrawn) {
                    // The end was written in the same transaction, at this revision.
                    self.settle(&id, JobPhase::Done, version, now);
                }
                self.touched.insert(id);
            }
            Some(("chain", rest)) => {
                self.waiting_changes += 1;
                match parse_blocked_job_key(rest) {
                    Some((id, 0)) => drop(self.waiting.remove(&id)),
                    Some(page) => drop(self.awaits_pages.remove(&page)),
                    None => {}
                }
            }
            Some(("part", index)) => {
                // The same guard: a holder that came after this is still there.
                if let Ok(index) = index.parse::<u16>()
                    && self.shards.get(&index).is_some_and(|h| h.token < version)
                {
                    self.shards.remove(&index);
                }
            }
            Some(("node", host)) => {
                self.nodes.remove(host);
            }
            Some(("team", team)) => {
                self.teams.remove(team);
            }
            Some(("hand", rest)) => self.failovers.remove(rest),
            Some(("mail", rest)) => {
                if let Some(key) = parse_store_message_key(rest) {
                    self.mail.remove(&key);
                }
            }
            _ => {}
        }
    }

    fn set_waiting(&mut self, rest: &str, value: &rmpv::Value, version: u64) -> bool {
        self.waiting_changes += 1;
        match parse_blocked_job_key(rest) {
            Some((id, 0)) => {
                let Some(record) = from_value::<JobRecord>(value) else {
                    return false;
                };
                self.waiting.insert(
                    id,
                    BlockedJob {
                        record: Arc::new(record),
                        version,
                    },
                );
                true
            }
            Some(page) => {
                let Some(DependencyPage { awaits }) = from_value(value) else {
                    return false;
                };
                self.awaits_pages.insert(page, awaits);
                true
            }
            None => false,
        }
    }

    /// The jobs that one awaits, if all pages of them are here.
    pub fn awaits(&self, id: &JobId) -> Option<Vec<JobId>> {
        let record = &self.waiting.get(id)?.record;
        let mut awaits = record.spec.awaits.clone();
        for page in 1.. {
            if awaits.len() >= record.awaited {
                break;
            }
            awaits.extend(self.awaits_pages.get(&(id.clone(), page))?.iter().cloned());
        }
        Some(awaits)
    }

    /// Further pages of jobs that wait no more.
    pub fn stray_pages(&self) -> impl Iterator<Item = &(JobId, usize)> {
        self.awaits_pages
            .keys()
            .filter(|(id, _)| !self.waiting.contains_key(id))
    }

    /// Changes with any of which waiting jobs may stand otherwise.
    pub fn chain_changes(&self) -> u64 {
        self.waiting_changes + self.ended_changes
    }

    /// True if the job is accepted, as far as this copy tells.
    pub fn knows(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.waiting.contains_key(id) || self.ends.contains_key(id)
    }

    /// What the user of an unfinished job asked for.
    pub fn spec(&self, id: &JobId) -> Option<&JobSpec> {
        let waiting = || self.waiting.get(id).map(|waiting| &waiting.record.spec);
        self.jobs
            .get(id)
            .map(|job| &job.record.spec)
            .or_else(waiting)
    }

    /// Jobs that came, changed or went since the last call.
    pub fn take_touched(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.touched)
    }

    /// Messages that came since the last call, whole ones only.
    pub fn take_mail(&mut self) -> Vec<(StoreMessageRoute, Vec<u8>)> {
        let lines = std::mem::take(&mut self.new_mail);
        lines
            .into_iter()
            .filter_map(|line| self.letter(line).map(|bytes| (line, bytes)))
            .collect()
    }

    /// Puts the pieces of a message together, if they agree.
    fn letter(&self, line: StoreMessageRoute) -> Option<Vec<u8>> {
        let first = self.mail.get(&(line, 0))?;
        let mut bytes = Vec::new();
        for piece in 0..first.n {
            let record = self.mail.get(&(line, piece)).filter(|r| r.id == first.id)?;
            bytes.extend(BASE64_STANDARD.decode(&record.b).ok()?);
        }
        Some(bytes)
    }

    /// Remembers a settled end, learned now; it never changes.
    pub fn settle(&mut self, job: &JobId, phase: JobPhase, version: u64, now: u64) {
        if self.ends.contains_key(job) {
            return;
        }
        self.ended_changes += 1;
        self.ends.insert(
            job.clone(),
            FinalState {
                phase,
                learned: now,
                version,
            },
        );
        self.ends_order.push_back(job.clone());
        if self.ends_order.len() > ENDS_REMEMBERED
            && let Some(oldest) = self.ends_order.pop_front()
        {
            self.ends.remove(&oldest);
        }
    }

    /// A settled end, if remembered.
    pub fn end(&self, job: &JobId) -> Option<FinalState> {
        self.ends.get(job).copied()
    }
}
