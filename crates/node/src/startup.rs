//! Builds the controller process from its settings and starts its tasks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use smol::LocalExecutor;
use smol::channel::{Receiver, bounded, unbounded};
use tracing::info;

use crate::cloud::CloudClient;
use crate::heartbeat_relay::HeartbeatQueues;
use crate::held_heartbeats::HeldHeartbeats;
use crate::kv_client::KvClient;
use crate::peer_api::PeerApi;
use crate::public_api::PublicApi;
use crate::router::Router;
use crate::shared_core::{SharedCore, wall_clock_ms};
use crate::{
    Node, RefreshWaiter, cache_refresh, cloud, elections, flush_loop, lease_keeper, public_api,
};
use lemonweir_coordination::{Config, Core};
use lemonweir_model::constants::{MAX_BODY_BYTES, MAX_RESPONSE_BYTES};
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_transport::server::{listen, serve};
use lemonweir_transport::{Client, ConnectionLimits};

/// Receiving ends of the node's request channels, read by its loops.
struct RequestReceivers {
    refresh: Receiver<RefreshWaiter>,
    flush: Receiver<()>,
}

/// Runs a controller until the process is killed.
///
/// # Errors
///
/// Returns an error if the process can't listen on one of its two configured addresses.
pub fn run(settings: Settings, policy: Policy) -> std::io::Result<()> {
    // Tasks borrow the executor for `'static`; it lives as long as the process.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    smol::block_on(executor.run(async move {
        let public = listen(settings.listen_addr).await?;
        let internal = listen(settings.internal_addr).await?;
        let mut config = Config::new(&settings);
        config.wall_clock_offset_ms = wall_clock_ms();
        let sockets = config.sockets;
        let (node, receivers) = build(executor, settings, config, policy);
        let limits = ConnectionLimits::new(
            sockets.public,
            sockets.close_above(),
            sockets.user_keep_alive(),
        );
        let api = Rc::new(PublicApi(node.clone()));
        executor
            .spawn(serve(executor, public, limits, MAX_BODY_BYTES, api))
            .detach();
        let limits = ConnectionLimits::new(sockets.peers, sockets.peers / 2, 0);
        let api = Rc::new(PeerApi(node.clone()));
        executor
            .spawn(serve(executor, internal, limits, MAX_RESPONSE_BYTES, api))
            .detach();
        start_background_tasks(&node, receivers.refresh);
        flush_loop::run(node, receivers.flush).await;
        Ok(())
    }))
}

/// Builds the state shared by the tasks.
fn build(
    executor: &'static LocalExecutor<'static>,
    settings: Settings,
    config: Config,
    policy: Policy,
) -> (Rc<Node>, RequestReceivers) {
    let sockets = config.sockets;
    let controllers = config.members.len();
    let http = Rc::new(Client::new(sockets.idle));
    let peers = peer_addresses(&settings, &config);
    let core = SharedCore::new(Core::new(config, policy));
    let router = Rc::new(Router {
        http: http.clone(),
        core: core.clone(),
        peers,
        store: settings.services.kv_store,
        cloud: settings.services.cloud,
    });
    let kv_store = KvClient::new(router.clone(), &settings.cluster.kv_store, controllers);
    let cloud = CloudClient::new(
        router.clone(),
        settings.cluster.cloud.requests_per_s,
        controllers,
    );
    let (refresh_requests, refresh) = unbounded();
    let (flush_requests, flush) = bounded(1);
    info!(host = settings.host_name, zone = settings.zone, listen = %settings.listen_addr, "controller starting");
    info!(
        ?sockets,
        close_above = sockets.close_above(),
        "socket limits; above `close_above` connections of workers and users, answers close theirs"
    );
    let node = Node {
        settings,
        core,
        router,
        heartbeat_queues: HeartbeatQueues::default(),
        held_heartbeats: HeldHeartbeats::default(),
        job_lookups: RefCell::default(),
        query_admission: RefCell::default(),
        overloaded_until_ms: Cell::new(0),
        kv_store,
        cloud,
        http,
        executor,
        store_lease: Cell::new(None),
        refresh_requests,
        flush_requests,
    };
    (Rc::new(node), RequestReceivers { refresh, flush })
}

/// Addresses of the other controllers, by their index among the members.
fn peer_addresses(settings: &Settings, config: &Config) -> HashMap<u16, SocketAddr> {
    let member_index = |host: &str| {
        config
            .members
            .iter()
            .position(|member| member.host == host)
            .map(|position| position as u16)
    };
    settings
        .seed_controllers
        .iter()
        .filter_map(|seed| Some((member_index(&seed.host_name)?, seed.address)))
        .collect()
}

/// Starts the background loops of the process, all but the flush loop.
fn start_background_tasks(node: &Rc<Node>, refresh_requests: Receiver<RefreshWaiter>) {
    let executor = node.executor;
    executor
        .spawn(cache_refresh::run(node.clone(), refresh_requests))
        .detach();
    executor
        .spawn(lease_keeper::renew_store_lease(node.clone()))
        .detach();
    executor
        .spawn(elections::run_elections(node.clone()))
        .detach();
    executor
        .spawn(public_api::log_refused_queries(node.clone()))
        .detach();
    executor
        .spawn(cloud::refresh_catalog(node.clone()))
        .detach();
    executor
        .spawn(cloud::refresh_instances(node.clone()))
        .detach();
}
