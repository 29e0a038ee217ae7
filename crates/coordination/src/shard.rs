//! The state of one shard that this controller leads.

use std::collections::BTreeMap;

use tracing::debug;

use crate::autoscaler::CapacityShortages;
use crate::last_progress::LastProgressWriter;
use crate::owner::Owner;
use crate::placer::Placer;
use crate::supervision::failover::Failover;
use crate::{Config, ShardLease};
use lemonweir_model::Catalog;
use lemonweir_protocol::cloud::ProvisioningRequest;
use lemonweir_protocol::peer::ShardView;

/// Number of direct syncs that fail in a row before messages go through the store.
pub const STORE_ROUTE_AFTER_FAILURES: u32 = 2;

/// The placer's channel to one owner.
#[derive(Clone, Default)]
pub(crate) struct PeerChannel {
    /// When the last sync was sent, ms.
    pub(crate) last_sync: u64,
    /// A direct sync is in progress.
    pub(crate) in_flight: bool,
    /// Something changed since the last sync.
    pub(crate) dirty: bool,
    /// Number of direct syncs that failed in a row.
    pub(crate) failures: u32,
    /// When the last direct sync was sent, ms.
    pub(crate) last_direct_sync: u64,
}

impl PeerChannel {
    /// True if messages to this owner go through the store.
    pub(crate) fn through_store(&self) -> bool {
        self.failures >= STORE_ROUTE_AFTER_FAILURES
    }

    /// True if a direct sync only waits for the minimum time since the last one.
    pub(crate) fn waits_for_gap(&self) -> bool {
        self.dirty && !self.in_flight && !self.through_store()
    }
}

/// A request for instances that has no final answer yet.
pub(crate) struct PendingProvisioning {
    pub(crate) request: ProvisioningRequest,
    /// A call is in progress; otherwise the request is to be sent, for the first time or again.
    pub(crate) in_flight: bool,
}

/// A shard that this controller leads.
pub(crate) struct Shard {
    pub(crate) lease: ShardLease,
    pub(crate) owner: Owner,
    pub(crate) placer: Placer,
    /// The placer's channels to the owners of all shards, by shard.
    pub(crate) peer_channels: Vec<PeerChannel>,
    /// When the placer's last placement pass ran, ms.
    pub(crate) last_placement: u64,
    /// Requests for instances without a final answer.
    pub(crate) provisioning: Vec<PendingProvisioning>,
    /// No instances are requested from the cloud before this time, ms.
    pub(crate) provisioning_not_before: u64,
    /// Number of the placement pass for which the last provisioning plan was made.
    pub(crate) planned_pass: u64,
    /// Number of provisioning requests issued so far under this lease; part of each request's ID.
    pub(crate) provisioning_requests_issued: u64,
    /// Pools that recently had no capacity.
    pub(crate) shortages: CapacityShortages,
    /// Shards of other controllers whose placers are to be asked to sync, each with the time
    /// since when there have been changes for it, ms.
    pub(crate) peers_to_wake: BTreeMap<u16, u64>,
    /// What has been observed since the shard was acquired.
    pub(crate) failover: Failover,
    /// What was last written of the progress of its jobs.
    pub(crate) last_progress: LastProgressWriter,
}

impl Shard {
    /// Creates the state of a shard just acquired, with channels to the owners of `shards`
    /// shards.
    pub(crate) fn new(lease: ShardLease, owner: Owner, placer: Placer, shards: u16) -> Self {
        Self {
            lease,
            owner,
            placer,
            peer_channels: vec![PeerChannel::default(); usize::from(shards)],
            last_placement: 0,
            provisioning: Vec::new(),
            provisioning_not_before: 0,
            planned_pass: 0,
            provisioning_requests_issued: 0,
            shortages: CapacityShortages::default(),
            peers_to_wake: BTreeMap::new(),
            failover: Failover::default(),
            last_progress: LastProgressWriter::default(),
        }
    }

    /// Applies the cloud's catalog of machine types to the owner and the placer.
    pub(crate) fn apply_catalog(&mut self, config: &Config, catalog: &Catalog) {
        self.owner.set_machine_types(catalog.values());
        self.placer.set_start_objectives(
            &config.start_objectives_s,
            config.guarantee_objective_s,
            catalog,
        );
    }

    /// Passes the images that services use to the owner, if they have changed.
    pub(crate) fn update_needed_images(&mut self) {
        if let Some(images) = self.placer.image_usage.take_changed_service_images() {
            self.owner.set_service_images(images);
        }
    }

    /// Applies the view of an owner on another controller, whichever route it took.
    ///
    /// The view of a former owner is ignored once its successor has been sent what is
    /// desired: the successor may have started what the former owner refused, which would
    /// then run twice, or run on after its job is published as cancelled.
    pub(crate) fn apply_view(&mut self, view: ShardView, now: u64) {
        if self
            .placer
            .recipient_token(view.shard)
            .is_some_and(|token| view.fencing_token < token)
        {
            debug!(
                shard = self.lease.shard,
                from = view.shard,
                fencing_token = view.fencing_token,
                "stale view of a former owner ignored"
            );
            return;
        }
        self.placer.apply_view(view, now);
    }
}
