//! This controller's presence in the store, and its elections as leader of shards.

use std::rc::Rc;

use tracing::{info, warn};

use crate::kv_client::{CompareAndSwapResult, KvError, StoreLeaseId};
use crate::shard_loading::load_shard;
use crate::{Node, sleep_ms};
use lemonweir_coordination::ShardLease;
use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_model::constants::TICK_MS;
use lemonweir_storage::records::{assign_teams, register_controller};

/// Publishes this controller's presence, and acquires and releases shards, for ever.
pub(crate) async fn run_elections(node: Rc<Node>) {
    let shards = node.with_core(|core, _| core.config.members.len());
    let mut elections = Elections {
        election: LeaderElection::new(shards),
        published_with: None,
    };
    loop {
        if let Some(lease) = node.store_lease.get()
            && let Err(KvError::LeaseExpired) = elections.run_once(&node, lease).await
            && node.store_lease.get() == Some(lease)
        {
            node.store_lease.set(None);
        }
        sleep_ms(2 * TICK_MS).await;
    }
}

/// What is remembered from one election to the next.
struct Elections {
    election: LeaderElection,
    /// The store lease that the presence was last published with.
    published_with: Option<StoreLeaseId>,
}

impl Elections {
    /// Does all that is due with this store lease.
    async fn run_once(&mut self, node: &Rc<Node>, lease: StoreLeaseId) -> Result<(), KvError> {
        if self.published_with != Some(lease) {
            let left = node.with_core(|core, now| self.election.ceded(core, now));
            publish_presence(node, lease, left).await?;
            self.published_with = Some(lease);
        }
        assign_new_teams(node).await;
        let now_ms = node.now_ms();
        self.campaign(node, lease, now_ms).await?;
        raise_record_version(node).await?;
        let unpublished = node.with_core(|core, _| self.election.unpublished_ceded(core, now_ms));
        if let Some(left) = unpublished {
            publish_presence(node, lease, left).await?;
            let _ = node.refresh_cache().await;
        }
        Ok(())
    }

    /// Acquires shards that are this controller's own or without a leader, and releases
    /// those whose home controller is alive again.
    async fn campaign(
        &mut self,
        node: &Rc<Node>,
        lease: StoreLeaseId,
        now_ms: u64,
    ) -> Result<(), KvError> {
        for shard in 0..self.election.shards() {
            let step = node.with_core(|core, _| {
                let action = self.election.next_action(core, shard, now_ms)?;
                let left = self.election.ceded(core, now_ms);
                let cas = core.election_cas(&action, lease.get(), left, now_ms);
                Some((action, cas))
            });
            let Some((action, cas)) = step else { continue };
            match node.kv_store.cas(&cas).await? {
                // The key of the shard, or the slot for the record of its failover, has
                // changed meanwhile.
                CompareAndSwapResult::Conflict(_) => {
                    let _ = node.refresh_cache().await;
                }
                CompareAndSwapResult::Committed(revision) => {
                    on_election_committed(node, action, revision).await;
                }
            }
        }
        Ok(())
    }
}

/// Applies here what the store has committed at this revision.
async fn on_election_committed(node: &Rc<Node>, action: ElectionAction, revision: u64) {
    match action {
        // The revision of the acquisition is the fencing token.
        ElectionAction::Acquire { shard, .. } => {
            let token = revision;
            load_shard(node, ShardLease { shard, token }).await;
        }
        ElectionAction::ReturnToHome(lease) => {
            info!(
                shard = lease.shard,
                fencing_token = lease.token,
                "shard released to its home controller"
            );
            release_shard(node, lease).await;
        }
        ElectionAction::Cede(lease) => {
            warn!(
                shard = lease.shard,
                fencing_token = lease.token,
                "shard released; its machines reach other controllers but not this one"
            );
            release_shard(node, lease).await;
        }
    }
}

/// Publishes this controller, and the shards that it has left to others.
async fn publish_presence(node: &Node, lease: StoreLeaseId, left: Vec<u16>) -> Result<(), KvError> {
    let presence = register_controller(
        &node.settings.host_name,
        &node.settings.zone,
        lease.get(),
        left,
    );
    node.kv_store.cas(&presence).await.map(drop)
}

/// Assigns a shard to each team that has none yet.
async fn assign_new_teams(node: &Node) {
    let unassigned = node.with_core(|core, _| core.unassigned_teams());
    if unassigned.is_empty() {
        return;
    }
    // Another controller may have been first; the cache will show.
    let _ = node.kv_store.cas(&assign_teams(&unassigned)).await;
    let _ = node.refresh_cache().await;
}

/// Raises the version that records are written in, once every controller reads it.
async fn raise_record_version(node: &Node) -> Result<(), KvError> {
    let cas = node.with_core(|core, _| core.records_version_cas());
    if let Some(cas) = cas
        && let CompareAndSwapResult::Committed(_) = node.kv_store.cas(&cas).await?
    {
        info!("record version raised; every controller reads the newest records");
        let _ = node.refresh_cache().await;
    }
    Ok(())
}

/// Releases a shard here that was released in the store.
async fn release_shard(node: &Node, lease: ShardLease) {
    node.with_core(|core, now| core.release(lease.shard, now));
    let _ = node.refresh_cache().await;
}
