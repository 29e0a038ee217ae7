//! The exchange of jobs' progress with other controllers: pulls and their answers, and the progress
//! that this controller's placers write to the store for controllers that can't pull it.

use std::collections::{BTreeMap, BTreeSet};

use lemonweir_model::JobId;
use lemonweir_model::constants::PEER_VERSION;
use lemonweir_protocol::peer::{self, JobProgress, SyncRequest};
use lemonweir_protocol::progress::{ProgressPage, ProgressQuery, StoredProgress};
use lemonweir_storage::records::{StoreMessageKind, StoreMessageRoute};

use crate::{Core, Effect};

/// Maximum bytes of changes in the answer to a pull; the rest follows with the next pulls.
const PAGE_BYTES: usize = 128 * 1024;
/// ms for which progress is written to the store after it was asked for through the store.
const WANTED_MS: u64 = 9_000;
/// ms between two writes of a shard's progress to the store. Its age is bounded by two of them.
const STORED_PROGRESS_INTERVAL_MS: u64 = 600;
/// Percentage of the store's writes that controllers use for progress, each its share.
const STORED_PROGRESS_WRITES_PERCENT: u64 = 15;
/// ms after a stall of this process from which on its workers have surely sent heartbeats again, in
/// addition to a heartbeat interval and a quarter.
const AFTER_STALL_MARGIN_MS: u64 = 500;

/// A message about a shard's progress that is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressMessage {
    /// Route in the store.
    pub route: StoreMessageRoute,
    /// Fencing token and sequence number of the message.
    pub id: (u64, u64),
    /// The message.
    pub bytes: Vec<u8>,
}

/// State of the progress that this controller sends for the shards that it leads.
#[derive(Default)]
pub(crate) struct ProgressOutbox {
    /// Controllers that have pulled a shard's progress, by shard and their index.
    pulled_by: BTreeSet<(u16, u16)>,
    /// Until when a shard's progress is written to the store, ms.
    wanted_until: BTreeMap<u16, u64>,
    /// When a shard's progress was last written to the store, ms.
    written_at: BTreeMap<u16, u64>,
    /// The last id that the previous write of a shard covered, if it did not cover all.
    covered_upto: BTreeMap<u16, JobId>,
    sequence: u64,
}

impl ProgressOutbox {
    /// Records that another controller has asked through the store for a shard's progress.
    pub(crate) fn record_request(&mut self, shard: u16, now: u64) {
        self.wanted_until.insert(shard, now + WANTED_MS);
    }

    /// True if a controller that can't reach this one needs a shard's progress.
    pub(crate) fn is_wanted(&self, shard: u16, now: u64) -> bool {
        self.wanted_until
            .get(&shard)
            .is_some_and(|until| now <= *until)
    }

    fn next_id(&mut self, fencing_token: u64) -> (u64, u64) {
        self.sequence += 1;
        (fencing_token, self.sequence)
    }
}

impl Core {
    /// Emits the pulls that are due, and writes progress to the store for controllers that can't
    /// pull it.
    pub(crate) fn flush_progress(&mut self, now: u64, effects: &mut Vec<Effect>) {
        for shard in 0..self.config.members.len() as u16 {
            if self.shards.contains_key(&shard) {
                effects.extend(self.due_progress_message(shard, now));
                effects.extend(self.due_last_progress(shard, now));
            } else {
                effects.extend(self.due_pull(shard, now));
                effects.extend(self.due_store_request(shard, now));
            }
        }
    }

    /// Asks a leader that can't be reached directly to write its progress to the store.
    fn due_store_request(&mut self, shard: u16, now: u64) -> Option<Effect> {
        if !self.peer_progress.take_store_request(shard, now) {
            return None;
        }
        let fencing_token = self.cache.shard_leaders.get(&shard)?.fencing_token;
        let query = ProgressQuery {
            version: PEER_VERSION,
            shard,
            fencing_token,
            from: self.config.own_index,
            since: 0,
        };
        let route = StoreMessageRoute {
            kind: StoreMessageKind::ProgressRequest,
            from_shard: query.from,
            to_shard: shard,
        };
        Some(Effect::StoreProgress(ProgressMessage {
            route,
            id: self.progress_outbox.next_id(fencing_token),
            bytes: peer::encode(&query),
        }))
    }

    /// Handles a request for progress that was read from the store. One that could not reach an
    /// earlier leader is not for this one.
    pub(crate) fn apply_progress_request(&mut self, bytes: &[u8], now: u64) {
        let Ok(query) = peer::decode::<ProgressQuery>(bytes) else {
            tracing::info!("unreadable request for progress in the store");
            return;
        };
        let led = self.shards.get(&query.shard);
        if led.is_some_and(|shard| shard.lease.token == query.fencing_token) {
            self.progress_outbox.record_request(query.shard, now);
        }
    }

    fn due_pull(&mut self, shard: u16, now: u64) -> Option<Effect> {
        let leader = self.cache.shard_leaders.get(&shard)?;
        let members = &self.config.members;
        let index = members.iter().position(|m| m.host == leader.host)? as u16;
        if index == self.config.own_index {
            return None;
        }
        let fencing_token = leader.fencing_token;
        let since = self.peer_progress.due_pull(shard, fencing_token, now)?;
        let query = ProgressQuery {
            version: PEER_VERSION,
            shard,
            fencing_token,
            from: self.config.own_index,
            since,
        };
        Some(Effect::PullProgress(index, query))
    }

    /// Answers a pull of another controller. `None`: this controller does not lead the shard, or
    /// does not know its jobs' progress now.
    pub fn handle_progress_query(
        &mut self,
        query: &ProgressQuery,
        now: u64,
    ) -> Option<ProgressPage> {
        self.detect_stall(now);
        if self.own_progress_outdated(now) {
            return None;
        }
        let shard = self.shards.get_mut(&query.shard)?;
        self.progress_outbox
            .pulled_by
            .insert((query.shard, query.from));
        let since = if query.fencing_token == shard.lease.token {
            query.since
        } else {
            0
        };
        let (range, jobs) = shard.placer.progress_since(since, PAGE_BYTES);
        Some(ProgressPage {
            version: PEER_VERSION,
            shard: query.shard,
            fencing_token: shard.lease.token,
            range,
            jobs,
        })
    }

    /// Handles the answer to a pull that was sent at `sent_at`; `None`: there was none.
    pub fn progress_pulled(
        &mut self,
        query: &ProgressQuery,
        page: Option<ProgressPage>,
        sent_at: u64,
        now: u64,
    ) {
        self.peer_progress.apply_pull(query, page, sent_at, now);
    }

    /// Handles the answer of a leader that does not answer pulls: one of an earlier version, which
    /// sends its progress with its syncs.
    pub fn pull_unsupported(&mut self, query: &ProgressQuery, now: u64) {
        self.peer_progress.apply_unsupported_pull(query, now);
    }

    /// True if this controller's own placers may not know what their tasks do: it stalled, and its
    /// workers may not have sent heartbeats since.
    pub(crate) fn own_progress_outdated(&self, now: u64) -> bool {
        let interval_ms = self.config.timing.heartbeat_interval_ms;
        self.stall
            .resumed_outdated_at()
            .is_some_and(|at| now < at + interval_ms + interval_ms / 4 + AFTER_STALL_MARGIN_MS)
    }

    fn due_progress_message(&mut self, shard: u16, now: u64) -> Option<Effect> {
        let last = self.progress_outbox.written_at.get(&shard);
        if last.is_some_and(|at| now < at + self.stored_progress_interval_ms())
            || !self.progress_outbox.is_wanted(shard, now)
            || self.own_progress_outdated(now)
        {
            return None;
        }
        let store_revision = self.cache.revision?.max(self.committed_revision);
        let after = self.progress_outbox.covered_upto.remove(&shard);
        let leader = self.shards.get_mut(&shard)?;
        let max_bytes = self.config.store_message_bytes;
        let (upto, rows) = leader.placer.pack_progress(after.as_ref(), max_bytes);
        let stored = StoredProgress {
            version: PEER_VERSION,
            shard,
            fencing_token: leader.lease.token,
            store_revision,
            after,
            upto: upto.clone(),
            rows,
        };
        let outbox = &mut self.progress_outbox;
        outbox.written_at.insert(shard, now);
        if let Some(upto) = upto {
            outbox.covered_upto.insert(shard, upto);
        }
        Some(Effect::StoreProgress(ProgressMessage {
            route: StoreMessageRoute {
                kind: StoreMessageKind::Progress,
                from_shard: shard,
                to_shard: shard,
            },
            id: outbox.next_id(stored.fencing_token),
            bytes: peer::encode(&stored),
        }))
    }

    /// ms between two writes of a shard's progress for controllers that can't pull it.
    fn stored_progress_interval_ms(&self) -> u64 {
        STORED_PROGRESS_INTERVAL_MS.max(self.progress_write_interval_ms())
    }

    /// ms between two writes of a shard's progress that use up this controller's share of the writes.
    pub(crate) fn progress_write_interval_ms(&self) -> u64 {
        let members = self.config.members.len().max(1) as f64;
        let writes_per_s = self.config.writes_per_s * STORED_PROGRESS_WRITES_PERCENT as f64
            / 100.0
            / members
            / self.shards.len().max(1) as f64;
        (1_000.0 / writes_per_s.max(0.1)) as u64
    }

    /// Handles progress of another controller's shard that was read from the store.
    pub(crate) fn apply_stored_progress(&mut self, bytes: &[u8]) {
        let Ok(stored) = peer::decode::<StoredProgress>(bytes) else {
            tracing::info!("unreadable progress in the store");
            return;
        };
        if self.shards.contains_key(&stored.shard) {
            return;
        }
        if let Some(leader) = self.cache.shard_leaders.get(&stored.shard) {
            self.peer_progress
                .apply_stored(&stored, leader.fencing_token);
        }
    }

    /// Records the progress in a direct sync, which a controller of an earlier version sends.
    pub(crate) fn record_synced_progress(&mut self, sync: &SyncRequest, now: u64) {
        let known: Vec<JobProgress> = sync
            .progress
            .iter()
            .filter(|row| self.cache.jobs.contains_key(&row.job))
            .cloned()
            .collect();
        self.peer_progress
            .apply_sync(sync.from_shard, sync.from_fencing_token, &known, now);
    }

    /// True if the controller that leads `to` has pulled the progress of `shard`, so that syncs need
    /// not carry it.
    pub(crate) fn is_pulled_by(&self, shard: u16, to: u16) -> bool {
        let leader = self.cache.shard_leaders.get(&to).map(|l| &l.host);
        let members = self.config.members.iter();
        members
            .enumerate()
            .filter(|(_, member)| Some(&member.host) == leader)
            .any(|(index, _)| {
                self.progress_outbox
                    .pulled_by
                    .contains(&(shard, index as u16))
            })
    }

    /// Records that a write of this controller was committed at this revision.
    pub fn note_committed_revision(&mut self, revision: u64) {
        self.committed_revision = self.committed_revision.max(revision);
    }
}
