//! One controller process: ties transport, protocol, coordination and storage together.
//! Everything runs on one thread. The tasks of the process share a `Node`; its core is
//! behind a lock that is never held across an await (`shared_core`).
//!
//! - `startup` builds the process and starts its tasks;
//! - `flush_loop` runs the decisions at every tick, `effect_executor` what they ask for;
//! - `cache_refresh` keeps the copy of the store's keys up to date;
//! - `lease_keeper` keeps the store lease, `elections` campaigns for shards with it, and
//!   `shard_loading` reads what belongs to a shard that was won;
//! - `public_api` answers users, workers and operators, `peer_api` other controllers;
//! - `kv_client`, `cloud` and `router` call the services, `heartbeat_relay` and
//!   `job_lookup` batch what would otherwise be a call each.

mod cache_refresh;
mod cloud;
mod effect_executor;
mod elections;
mod flush_loop;
mod heartbeat_relay;
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
use crate::job_lookup::JobLookupQueue;
use crate::kv_client::{KvClient, StoreLeaseId};
use crate::router::Router;
use crate::shared_core::SharedCore;
use lemonweir_coordination::Core;
use lemonweir_coordination::query_admission::QueryAdmission;
use lemonweir_model::constants::USER_TIMEOUT_MS;
use lemonweir_model::settings::Settings;
use lemonweir_transport::{Client, within};

pub use crate::heartbeat_relay::{MAX_HEARTBEATS_PER_BATCH, MAX_QUEUED_HEARTBEATS_PER_LEADER};
pub use crate::startup::run;

/// What all tasks of the process share.
pub(crate) struct Node {
    settings: Settings,
    /// The decisions of this controller.
    core: SharedCore,
    /// Chooses the route to the services.
    router: Rc<Router>,
    /// Heartbeats that wait to be relayed to the leaders of their shards.
    heartbeat_queues: HeartbeatQueues,
    /// Ids that users ask for and that this controller does not know.
    job_lookups: RefCell<JobLookupQueue>,
    /// Which users' queries go first.
    query_admission: RefCell<QueryAdmission>,
    /// Until when this process counts as overloaded, ms of the steady clock.
    overloaded_until_ms: Cell<u64>,
    kv_store: KvClient,
    cloud: CloudClient,
    http: Rc<Client>,
    executor: &'static LocalExecutor<'static>,
    /// The lease in the store that this controller's keys live with, while it has one.
    store_lease: Cell<Option<StoreLeaseId>>,
    /// Takes who waits for a refresh of the state cache.
    refresh_requests: Sender<RefreshWaiter>,
    /// Takes requests to flush the core before the next tick.
    flush_requests: Sender<()>,
}

/// The store could not be read, or not in the time that a user waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("state cache could not be refreshed from the key-value store")]
pub(crate) struct RefreshError;

/// Is sent the result of a refresh that began after it was queued.
type RefreshWaiter = Sender<Result<(), RefreshError>>;

impl Node {
    /// Runs a step of the core, with the present time of the steady clock in ms.
    fn with_core<R>(&self, step: impl FnOnce(&mut Core, u64) -> R) -> R {
        self.core.with(step)
    }

    /// ms since the process started, by the steady clock.
    fn now_ms(&self) -> u64 {
        self.core.now_ms()
    }

    /// Asks for a flush of the core before the next tick.
    fn wake(&self) {
        // A full channel means that one is due anyway.
        let _ = self.flush_requests.try_send(());
    }

    /// True while what comes in has to wait for long: heartbeats and submissions would
    /// wait behind polls, which can be repeated.
    fn overloaded(&self) -> bool {
        self.now_ms() < self.overloaded_until_ms.get()
    }

    /// True if the store answered recently: what needs it can be asked for.
    fn store_reachable(&self) -> bool {
        self.with_core(|core, now| core.links.store_answers_of_late(now))
    }

    /// Waits for a refresh of the state cache that begins after this call.
    async fn refresh_cache(&self) -> Result<(), RefreshError> {
        let (waiter, result) = bounded(1);
        if self.refresh_requests.try_send(waiter).is_err() {
            return Err(RefreshError);
        }
        within(USER_TIMEOUT_MS, result.recv())
            .await
            .and_then(Result::ok)
            .unwrap_or(Err(RefreshError))
    }

    /// Address on which another controller takes its peers' messages.
    fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.settings
            .seed_controllers
            .iter()
            .find(|seed| seed.host_name == host)
            .map(|seed| seed.address)
    }
}

/// Suspends the task for so many ms.
async fn sleep_ms(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}
