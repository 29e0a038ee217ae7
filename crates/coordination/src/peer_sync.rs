//! Syncs between a placer and the owners of all shards: a request carries what the placer
//! desires, and its answer the owner's view of its machines.
//!
//! An owner in the same process is called directly. One on another controller is called over
//! the network or, while it does not answer there, reached by messages through the store.

use tracing::{debug, info};

use crate::owner::SyncError;
use crate::shard::STORE_ROUTE_AFTER_FAILURES;
use crate::{Core, Effect, ShardLease};
use lemonweir_model::constants::{PEER_VERSION, SHARD_VIEW_REFRESH_MS};
use lemonweir_protocol::peer::{self, ShardView, Superseded, SyncRequest};
use lemonweir_storage::records::StoreMessageKind;

/// ms between two syncs with one owner when something changed: batches the tasks of one job
/// without a delay that a user notices.
const SYNC_GAP_MS: u64 = 40;
/// ms between two syncs through the store: each mostly writes one value each way, which must
/// fit the write budget beside everything else.
const STORE_SYNC_GAP_MS: u64 = 600;
/// ms between two attempts at a direct sync while messages go through the store.
const DIRECT_RETRY_MS: u64 = 4_000;
/// ms between two syncs with an owner whose machines send heartbeats to this controller.
const MISROUTED_SYNC_GAP_MS: u64 = 500;
/// Maximum bytes of changes in one direct message between controllers: some hundred machines,
/// so that one message does not delay heartbeats for long.
const SYNC_BYTES: usize = 128 * 1024;

/// How a sync reaches its owner.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SyncRoute {
    /// The owner is in this process.
    Local,
    /// By a call over the network.
    Direct,
    /// By a message through the store.
    Store,
}

/// A sync that is due now.
struct DueSync {
    route: SyncRoute,
    /// Fencing token of the owner's lease, as far as this controller knows.
    token: u64,
}

impl Core {
    /// Handles a sync from a placer on another controller with the owner of one of this
    /// controller's shards.
    ///
    /// # Errors
    ///
    /// Returns an error if the placer's shard has a newer leader, or if the request does not
    /// match the lease of this controller.
    pub fn handle_sync(&mut self, sync: &SyncRequest, now: u64) -> Result<ShardView, SyncError> {
        self.detect_stall(now);
        self.check_sender(sync)?;
        let view = self.apply_sync(sync, SYNC_BYTES, now)?;
        self.record_synced_progress(sync, now);
        Ok(view)
    }

    /// Refuses a sender that has been superseded. A controller that alone is refused by the
    /// store would otherwise go on answering its workers, while its successor waits for them.
    fn check_sender(&self, sync: &SyncRequest) -> Result<(), SyncError> {
        match self.cache.shard_leaders.get(&sync.from_shard) {
            Some(leader) if leader.fencing_token > sync.from_fencing_token => {
                Err(SyncError::Superseded(Superseded {
                    version: PEER_VERSION,
                    shard: sync.from_shard,
                    fencing_token: leader.fencing_token,
                    leader_host: leader.host.clone(),
                }))
            }
            _ => Ok(()),
        }
    }

    fn apply_sync(
        &mut self,
        sync: &SyncRequest,
        max_bytes: usize,
        now: u64,
    ) -> Result<ShardView, SyncError> {
        self.links.record_peer_store_age(sync.store_age_ms, now);
        let store_age_ms = self.links.store_age(now);
        let shard = self
            .shards
            .get_mut(&sync.to_shard)
            .ok_or(SyncError::TokenMismatch)?;
        shard
            .owner
            .sync(sync, max_bytes, now)
            .map(|view| ShardView {
                store_age_ms,
                ..view
            })
    }

    /// Handles the view with which an owner on another controller answered a direct sync;
    /// `None`: there was no answer.
    pub fn sync_completed(
        &mut self,
        lease: ShardLease,
        to: u16,
        view: Option<ShardView>,
        now: u64,
    ) {
        if let Some(view) = &view {
            self.links.record_peer_store_age(view.store_age_ms, now);
        }
        let Some(shard) = self.shard_under(lease) else {
            return;
        };
        let channel = &mut shard.peer_channels[usize::from(to)];
        channel.in_flight = false;
        match view {
            Some(view) => {
                channel.failures = 0;
                shard.apply_view(view, now);
            }
            None => {
                shard.placer.message_lost(to);
                channel.failures += 1;
                if channel.failures == STORE_ROUTE_AFTER_FAILURES {
                    info!(
                        shard = lease.shard,
                        to,
                        failures = channel.failures,
                        "owner unreachable, syncing through the store"
                    );
                }
            }
        }
    }

    /// Handles messages of other controllers that came through the store. Without this route,
    /// a stop command for a cancelled job would wait for the end of a partition between two
    /// controllers.
    pub fn handle_store_messages(&mut self, now: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (route, bytes) in self.cache.take_messages() {
            match route.kind {
                StoreMessageKind::Progress => {
                    self.apply_stored_progress(&bytes);
                    continue;
                }
                StoreMessageKind::ProgressRequest => {
                    self.apply_progress_request(&bytes, now);
                    continue;
                }
                StoreMessageKind::Sync | StoreMessageKind::View => {}
            }
            if !self.shards.contains_key(&route.to_shard) {
                continue;
            }
            match route.kind {
                StoreMessageKind::Sync => match peer::decode::<SyncRequest>(&bytes) {
                    Ok(sync) if sync.to_shard == route.to_shard => {
                        effects.extend(self.answer_store_sync(&sync, now));
                    }
                    _ => info!(
                        from = route.from_shard,
                        to = route.to_shard,
                        "unreadable sync in the store"
                    ),
                },
                StoreMessageKind::Progress | StoreMessageKind::ProgressRequest => {}
                StoreMessageKind::View => {
                    let shard = self.shards.get_mut(&route.to_shard);
                    match (peer::decode::<ShardView>(&bytes), shard) {
                        (Ok(view), Some(shard)) => shard.apply_view(view, now),
                        _ => info!(
                            from = route.from_shard,
                            to = route.to_shard,
                            "unreadable view in the store"
                        ),
                    }
                }
            }
        }
        effects
    }

    fn answer_store_sync(&mut self, sync: &SyncRequest, now: u64) -> Option<Effect> {
        match self.apply_sync(sync, self.config.store_message_bytes, now) {
            Ok(view) => Some(Effect::StoreView(sync.from_shard, view)),
            Err(refusal) => {
                debug!(from = sync.from_shard, to = sync.to_shard, %refusal, "sync through the store refused");
                None
            }
        }
    }

    /// Handles the notice of the owner of shard `from`, on another controller, that it has
    /// changes for the placer of this controller's shard `shard`.
    pub fn handle_wake(&mut self, shard: u16, from: u16) {
        if let Some(channel) = self
            .shards
            .get_mut(&shard)
            .and_then(|shard| shard.peer_channels.get_mut(usize::from(from)))
        {
            channel.dirty = true;
        }
    }

    /// True if some owner is reached only through the store, whose messages to this controller
    /// come that way too, or if some placer's progress has to come that way.
    pub fn uses_store_messages(&self, now: u64) -> bool {
        let mut shards = 0..self.config.members.len() as u16;
        let progress_through_store = shards.any(|shard| {
            if self.shards.contains_key(&shard) {
                self.progress_outbox.is_wanted(shard, now)
            } else {
                self.peer_progress.relies_on_store(shard)
            }
        });
        progress_through_store
            || self.shards.values().any(|shard| {
                shard
                    .peer_channels
                    .iter()
                    .any(super::shard::PeerChannel::through_store)
            })
    }

    /// Sends the due syncs of one shard's placer. True if a sync within this process gave the
    /// placer something to do.
    pub(crate) fn flush_syncs(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) -> bool {
        let mut placer_woken = false;
        for to in 0..self.config.members.len() as u16 {
            if self.shards.contains_key(&to) {
                self.links.misrouted.forget(to);
            }
            let Some(due) = self.due_sync(index, to, now) else {
                continue;
            };
            let Some(sync) = self.build_sync(index, to, &due, now) else {
                return placer_woken;
            };
            match due.route {
                SyncRoute::Local => placer_woken |= self.sync_locally(index, &sync, now),
                SyncRoute::Direct => {
                    if let Some(shard) = self.shards.get_mut(&index) {
                        let channel = &mut shard.peer_channels[usize::from(to)];
                        channel.in_flight = true;
                        channel.last_direct_sync = now;
                        effects.push(Effect::Sync(shard.lease, sync));
                    }
                }
                SyncRoute::Store => effects.push(Effect::StoreSync(sync)),
            }
        }
        placer_woken
    }

    /// The sync of one shard's placer with one owner that is due now, if any, and its route.
    fn due_sync(&mut self, index: u16, to: u16, now: u64) -> Option<DueSync> {
        let misrouted = self.links.misrouted.any_recent(to, now);
        let leader = self.cache.shard_leaders.get(&to)?;
        let local = self.shards.get(&to).map(|shard| shard.lease.token);
        let shard = self.shards.get_mut(&index)?;
        let token = local.unwrap_or(leader.fencing_token);
        let channel = &mut shard.peer_channels[usize::from(to)];
        channel.dirty |= shard.placer.has_unsent_changes(to, token);
        let through_store = local.is_none() && channel.through_store();
        shard.placer.set_via_store(to, through_store);
        let gap = if through_store {
            STORE_SYNC_GAP_MS
        } else {
            SYNC_GAP_MS
        };
        let due = now >= channel.last_sync + SHARD_VIEW_REFRESH_MS
            || channel.dirty && now >= channel.last_sync + gap
            || misrouted && now >= channel.last_sync + gap.max(MISROUTED_SYNC_GAP_MS);
        if !due || channel.in_flight && !through_store {
            return None;
        }
        // While direct syncs fail, the store carries them and the direct route is retried.
        let direct = !through_store
            || !channel.in_flight && now >= channel.last_direct_sync + DIRECT_RETRY_MS;
        channel.last_sync = now;
        channel.dirty = false;
        let route = match (local, direct) {
            (Some(_), _) => SyncRoute::Local,
            (None, true) => SyncRoute::Direct,
            (None, false) => SyncRoute::Store,
        };
        Some(DueSync { route, token })
    }

    fn build_sync(&mut self, index: u16, to: u16, due: &DueSync, now: u64) -> Option<SyncRequest> {
        let max_bytes = match due.route {
            SyncRoute::Store => self.config.store_message_bytes,
            SyncRoute::Local | SyncRoute::Direct => SYNC_BYTES,
        };
        // Controllers of an earlier version don't pull progress.
        let with_progress = due.route == SyncRoute::Direct && !self.is_pulled_by(index, to);
        let store_age_ms = self.links.store_age(now);
        let shard = self.shards.get_mut(&index)?;
        let sync = shard
            .placer
            .sync_request(to, due.token, max_bytes, with_progress, now);
        if due.route == SyncRoute::Local {
            return Some(sync);
        }
        Some(SyncRequest {
            store_age_ms,
            misrouted_heartbeats: self.links.misrouted.count_recent(to, now),
            ..sync
        })
    }

    /// True if the owner's view gives the placer something to do.
    fn sync_locally(&mut self, index: u16, sync: &SyncRequest, now: u64) -> bool {
        let view = self
            .shards
            .get_mut(&sync.to_shard)
            .and_then(|shard| shard.owner.sync(sync, SYNC_BYTES, now).ok());
        match (view, self.shards.get_mut(&index)) {
            (Some(view), Some(shard)) => shard.placer.apply_view(view, now),
            _ => false,
        }
    }
}
