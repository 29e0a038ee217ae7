//! The controller process: connects transport, protocol, coordination and storage.
//! All tasks run on one thread and share a `Node`, whose core is behind a lock that is
//! never held across an await (`shared_core`).
//!
//! - `startup` builds the process and starts its tasks;
//! - `flush_loop` flushes the core at every tick, `effect_executor` executes the effects;
//! - `cache_refresh` keeps the state cache, a copy of the store's watched keys, up to date;
//! - `lease_keeper` renews the store lease, `elections` campaigns for shards with it, and
//!   `shard_loading` reads the records of an acquired shard;
//! - `public_api` serves users, workers and operators, `peer_api` other controllers;
//! - `kv_client`, `cloud` and `router` call the services, `heartbeat_relay` and
//!   `job_lookup` batch requests that would otherwise take one call each.

mod cache_refresh;
mod cloud;
mod effect_executor;
mod elections;
mod flush_loop;
mod heartbeat_relay;
mod held_heartbeats;
mod job_lookup;
mod kv_client;
mod lease_keeper;
mod peer_api;
mod public_api;
mod rate_limit_share;
mod router;
mod shard_loading;
mod shared_core;
mod startup;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use smol::LocalExecutor;
use smol::channel::{Sender, bounded};

use crate::cloud::CloudClient;
use crate::heartbeat_relay::HeartbeatQueues;
use crate::held_heartbeats::HeldHeartbeats;
use crate::job_lookup::JobLookupQueue;
use crate::kv_client::{KvClient, StoreLeaseId};
use crate::router::Router;
use crate::shared_core::SharedCore;
use lemonweir_coordination::Core;
use lemonweir_coordination::query_admission::QueryAdmission;
use lemonweir_model::constants::USER_TIMEOUT_MS;
use lemonweir_model::settings::Settings;
use lemonweir_transport::{Client, with_timeout};

pub use crate::heartbeat_relay::{MAX_HEARTBEATS_PER_BATCH, MAX_QUEUED_HEARTBEATS_PER_LEADER};
pub use crate::startup::run;

/// State shared by all tasks of the process.
pub(crate) struct Node {
    settings: Settings,
    /// The coordination core, which makes this controller's decisions.
    core: SharedCore,
    /// Calls the services by the route that the core chooses.
    router: Rc<Router>,
    /// Heartbeats queued for relaying to the leaders of their shards.
    heartbeat_queues: HeartbeatQueues,
    /// Heartbeats whose answer the core holds.
    held_heartbeats: HeldHeartbeats,
    /// Pending lookups of job ids that the state cache does not contain.
    job_lookups: RefCell<JobLookupQueue>,
    /// Decides which users' queries have priority.
    query_admission: RefCell<QueryAdmission>,
    /// Time until which this process counts as overloaded, ms of the monotonic clock.
    overloaded_until_ms: Cell<u64>,
    kv_store: KvClient,
    cloud: CloudClient,
    http: Rc<Client>,
    executor: &'static LocalExecutor<'static>,
    /// The store lease that this controller's keys are attached to, while it holds one.
    store_lease: Cell<Option<StoreLeaseId>>,
    /// Queues waiters for the next refresh of the state cache.
    refresh_requests: Sender<RefreshWaiter>,
    /// Requests a flush of the core before the next tick.
    flush_requests: Sender<()>,
}

/// The store could not be read, or not within the time that a user waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("state cache could not be refreshed from the key-value store")]
pub(crate) struct RefreshError;

/// Receives the result of a refresh that began after the waiter was queued.
type RefreshWaiter = Sender<Result<(), RefreshError>>;

impl Node {
    /// Runs a closure on the core, with the current time of the monotonic clock in ms.
    fn with_core<R>(&self, f: impl FnOnce(&mut Core, u64) -> R) -> R {
        self.core.with(f)
    }

    /// ms since the process started, by the monotonic clock.
    fn now_ms(&self) -> u64 {
        self.core.now_ms()
    }

    /// Requests a flush of the core before the next tick.
    fn wake(&self) {
        // If the channel is full, a flush is already pending.
        let _ = self.flush_requests.try_send(());
    }

    /// True while incoming requests are delayed. Status polls are then refused, since they
    /// can be repeated and would delay heartbeats and submissions.
    fn overloaded(&self) -> bool {
        self.now_ms() < self.overloaded_until_ms.get()
    }

    /// True if the store answered recently, so that a request that needs it may succeed.
    fn store_reachable(&self) -> bool {
        self.with_core(|core, now| core.links.store_answered_recently(now))
    }

    /// Requests a refresh of the state cache that begins after this call, and waits for it.
    async fn refresh_cache(&self) -> Result<(), RefreshError> {
        let (waiter, result) = bounded(1);
        if self.refresh_requests.try_send(waiter).is_err() {
            return Err(RefreshError);
        }
        with_timeout(USER_TIMEOUT_MS, result.recv())
            .await
            .and_then(Result::ok)
            .unwrap_or(Err(RefreshError))
    }

    /// Address on which another controller accepts messages from its peers.
    fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.settings
            .seed_controllers
            .iter()
            .find(|seed| seed.host_name == host)
            .map(|seed| seed.address)
    }
}

/// Suspends the current task for `ms` milliseconds.
async fn sleep_ms(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}
