//! Publishes this controller's presence in the store and campaigns for shard leadership.

use std::rc::Rc;

use tracing::{info, warn};

use crate::kv_client::{CompareAndSwapResult, KvError, StoreLeaseId};
use crate::shard_loading::load_shard;
use crate::{Node, sleep_ms};
use lemonweir_coordination::ShardLease;
use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_model::constants::TICK_MS;
use lemonweir_storage::records::{assign_teams, register_controller};

/// Publishes this controller's presence, and acquires and releases shards. Never returns.
pub(crate) async fn run_elections(node: Rc<Node>) {
    let shards = node.with_core(|core, _| core.config.members.len());
    let mut elections = Elections {
        election: LeaderElection::new(shards),
        presence_lease: None,
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

/// State kept from one election round to the next.
struct Elections {
    election: LeaderElection,
    /// The store lease with which the presence was last published.
    presence_lease: Option<StoreLeaseId>,
}

impl Elections {
    /// Runs one election round with this store lease.
    async fn run_once(&mut self, node: &Rc<Node>, lease: StoreLeaseId) -> Result<(), KvError> {
        if self.presence_lease != Some(lease) {
            let ceded = node.with_core(|core, now| self.election.ceded(core, now));
            publish_presence(node, lease, ceded).await?;
            self.presence_lease = Some(lease);
        }
        assign_new_teams(node).await;
        let now_ms = node.now_ms();
        self.campaign(node, lease, now_ms).await?;
        raise_record_version(node).await?;
        let unpublished = node.with_core(|core, _| self.election.unpublished_ceded(core, now_ms));
        if let Some(ceded) = unpublished {
            publish_presence(node, lease, ceded).await?;
            let _ = node.refresh_cache().await;
        }
        Ok(())
    }

    /// Acquires shards without a leader, or still held by an earlier incarnation of this
    /// controller. Releases those whose home controller serves again, and cedes those whose
    /// workers can't reach this controller.
    async fn campaign(
        &mut self,
        node: &Rc<Node>,
        lease: StoreLeaseId,
        now_ms: u64,
    ) -> Result<(), KvError> {
        for shard in 0..self.election.shards() {
            let next = node.with_core(|core, _| {
                let action = self.election.next_action(core, shard, now_ms)?;
                let ceded = self.election.ceded(core, now_ms);
                let cas = core.election_cas(&action, lease.get(), ceded, now_ms);
                Some((action, cas))
            });
            let Some((action, cas)) = next else { continue };
            match node.kv_store.cas(&cas).await? {
                // The shard's key, or the slot for its failover record, changed
                // concurrently.
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

/// Applies an election action that the store committed at `revision`.
async fn on_election_committed(node: &Rc<Node>, action: ElectionAction, revision: u64) {
    match action {
        // The revision of the acquisition serves as the fencing token.
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

/// Publishes this controller's presence and the shards that it cedes to others.
async fn publish_presence(
    node: &Node,
    lease: StoreLeaseId,
    ceded: Vec<u16>,
) -> Result<(), KvError> {
    let presence = register_controller(
        &node.settings.host_name,
        &node.settings.zone,
        lease.get(),
        ceded,
    );
    node.kv_store.cas(&presence).await.map(drop)
}

/// Assigns a shard to each team that has none yet.
async fn assign_new_teams(node: &Node) {
    let unassigned = node.with_core(|core, _| core.unassigned_teams());
    if unassigned.is_empty() {
        return;
    }
    // If another controller assigned them first, the refreshed cache shows it.
    let _ = node.kv_store.cas(&assign_teams(&unassigned)).await;
    let _ = node.refresh_cache().await;
}

/// Raises the version in which records are written, once every controller can read it.
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

/// Releases a shard in the core after its release was committed in the store.
async fn release_shard(node: &Node, lease: ShardLease) {
    node.with_core(|core, now| core.release(lease.shard, now));
    let _ = node.refresh_cache().await;
}
