//! One controller process: ties transport, protocol, coordination and storage
//! together. Everything runs on one thread; the shared state is behind short
//! locks that are never held across an await.

mod cloud;
mod effect_executor;
mod kv_client;
mod lease_keeper;
mod lookups;
mod public_api;
mod router;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use smol::LocalExecutor;
use smol::channel::{Receiver, Sender, bounded, unbounded};
use tracing::{info, warn};

use crate::kv_client::{KvClient, KvError};
use crate::router::{HeartbeatBatch, Router};
use lemonweir_coordination::query_admission::QueryAdmission;
use lemonweir_coordination::{Config, Core};
use lemonweir_model::constants::*;
use lemonweir_model::policy::Policy;
use lemonweir_model::settings::Settings;
use lemonweir_storage::records::FOLLOWED;
use lemonweir_transport::server::{listen, serve};
use lemonweir_transport::{Client, Gate, within};

/// What all tasks of the process share.
pub struct Node {
    settings: Settings,
    core: Rc<Mutex<Core>>,
    courier: Rc<Router>,
    /// Workers' reports that wait to be carried to their owners.
    gathered: RefCell<HeartbeatBatch>,
    /// Ids that users ask for and nobody here knows.
    lookups: RefCell<lookups::Lookups>,
    /// Which of users' questions go first.
    questions: RefCell<QueryAdmission>,
    /// Until when this process counts as behind with its work, ms.
    behind_until: Cell<u64>,
    state: KvClient,
    cloud: cloud::CloudClient,
    http: Rc<Client>,
    executor: &'static LocalExecutor<'static>,
    started: Instant,
    /// The hold that this node's keys live with; 0: none.
    hold: Cell<u64>,
    fresh_wanted: Sender<Sender<bool>>,
    pump_wanted: Sender<()>,
}

impl Node {
    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// ms since the process started, by the steady clock.
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Asks for a pump soon.
    fn poke(&self) {
        // A full channel means that one is coming anyway.
        let _ = self.pump_wanted.try_send(());
    }

    /// True while what came in waits for long: reports and submissions wait behind
    /// polls, which can come again.
    fn behind(&self) -> bool {
        self.now() < self.behind_until.get()
    }

    /// True if the store was heard a moment ago: what needs it can be asked.
    fn told(&self) -> bool {
        let now = self.now();
        self.core().links.store_told(now)
    }

    /// Waits for a reading of the store that begins after this call. False:
    /// the store can't be had.
    async fn fresh(&self) -> bool {
        let (done, wait) = bounded(1);
        if self.fresh_wanted.try_send(done).is_err() {
            return false;
        }
        within(USER_TIMEOUT_MS, wait.recv())
            .await
            .and_then(Result::ok)
            .unwrap_or(false)
    }
}

/// The time of day, ms since 1970.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}

/// Runs a controller until the process is killed.
pub fn run(settings: Settings, policy: Policy) -> std::io::Result<()> {
    // The executor lives as long as the process; tasks need it for ever.
    let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
    smol::block_on(executor.run(async move {
        let public = listen(settings.listen_addr).await?;
        let internal = listen(settings.internal_addr).await?;
        let mut config = Config::new(&settings);
        let shares = config.sockets;
        let http = Rc::new(Client::new(shares.idle));
        config.wall_offset_ms = wall_ms();
        let nodes = config.members.len();
        let started = Instant::now();
        let number = |host: &str| config.members.iter().position(|m| m.host == host).map(|at| at as u16);
        let peers: HashMap<u16, SocketAddr> = settings.seed_controllers.iter().filter_map(|s| Some((number(&s.host_name)?, s.address))).collect();
        let core = Rc::new(Mutex::new(Core::new(config, policy)));
        let (store, cloud) = (settings.services.kv_store, settings.services.cloud);
        let courier = Rc::new(Router { http: http.clone(), core: core.clone(), peers, store, cloud, started });
        let state = KvClient::new(courier.clone(), &settings.cluster.kv_store, nodes);
        let cloud = cloud::CloudClient::new(courier.clone(), settings.cluster.cloud.requests_per_s, nodes);
        let (fresh_wanted, fresh_requests) = unbounded();
        let (pump_wanted, pump_requests) = bounded(1);
        info!(host = settings.host_name, zone = settings.zone, listen = %settings.listen_addr, "starting");
        info!(?shares, kept = shares.crowded_at(), "sockets; beyond so many workers and users, answers close their connections");
        let node = Rc::new(Node {
            core,
            courier,
            gathered: RefCell::default(),
            lookups: RefCell::default(),
            questions: RefCell::default(),
            behind_until: Cell::new(0),
            settings,
            state,
            cloud,
            http,
            executor,
            started,
            hold: Cell::new(0),
            fresh_wanted,
            pump_wanted,
        });
        let gate = Gate::new(shares.public, shares.crowded_at(), shares.users());
        executor.spawn(serve(executor, public, gate, MAX_BODY_BYTES, Rc::new(public_api::PublicApi(node.clone())))).detach();
        executor
            .spawn(serve(
                executor,
                internal,
                Gate::new(shares.peers, shares.peers / 2, 0),
                MAX_RESPONSE_BYTES,
                Rc::new(effect_executor::PeerApi(node.clone())),
            ))
            .detach();
        executor.spawn(follow(node.clone(), fresh_requests)).detach();
        executor.spawn(lease_keeper::keep(node.clone())).detach();
        executor.spawn(lease_keeper::claim(node.clone())).detach();
        executor.spawn(public_api::tell(node.clone())).detach();
        executor.spawn(cloud::catalog(node.clone())).detach();
        executor.spawn(cloud::list(node.clone())).detach();
        pump(node, pump_requests).await;
        Ok(())
    }))
}

/// Pumps the core at every tick and whenever asked.
async fn pump(node: Rc<Node>, requests: Receiver<()>) {
    loop {
        let now = node.now();
        let effects = node.core().pump(now);
        for effect in effects {
            effect_executor::carry(&node, effect);
        }
        let wait = if node.core().hurried(now) {
            SHORT_TICK_MS
        } else {
            TICK_MS
        };
        let before = node.now();
        within(wait, requests.recv()).await;
        let after = node.now();
        if after > before + wait + BEHIND_MS {
            node.behind_until.set(after + BEHIND_FOR_MS);
        }
    }
}

/// Keeps the mirror up to date. Polls that wait share one reading that began
/// after all of them had arrived.
async fn follow(node: Rc<Node>, requests: Receiver<Sender<bool>>) {
    let mut waiting: Vec<Sender<bool>> = Vec::new();
    loop {
        while let Ok(w) = requests.try_recv() {
            waiting.push(w);
        }
        let began = node.now();
        let outcome = read_changes(&node).await;
        let good = outcome.is_ok();
        if let Ok(changed) = outcome {
            let effects = {
                let mut core = node.core();
                core.refreshed(began, changed);
                core.take_mail(node.now())
            };
            for effect in effects {
                effect_executor::carry(&node, effect);
            }
            if changed {
                node.poke();
            }
        }
        for w in waiting.drain(..) {
            // The waiter may have given up.
            let _ = w.try_send(good);
        }
        smol::Timer::after(Duration::from_millis(REFRESH_BUSY_MS)).await;
        if requests.is_empty()
            && !node.core().mailing()
            && let Some(Ok(w)) = within(REFRESH_IDLE_MS - REFRESH_BUSY_MS, requests.recv()).await
        {
            waiting.push(w);
        }
    }
}

/// Reads what changed; true if something did.
async fn read_changes(node: &Node) -> Result<bool, KvError> {
    let revision = node.core().cache.revision;
    if let Some(after) = revision {
        match node.state.changes(FOLLOWED, after).await {
            Ok(changes) => {
                let now = node.now();
                node.core()
                    .cache
                    .apply_changes(&changes.events, changes.revision, now);
                return Ok(!changes.events.is_empty());
            }
            Err(KvError::TooOld) => warn!("changes too old; reading all keys again"),
            Err(error) => return Err(error),
        }
    }
    let (entries, revision) = node.state.list(FOLLOWED).await?;
    info!(keys = entries.len(), revision, "read all followed keys");
    // The pages may be of different moments: the changes since the first
    // bring the copy to one state.
    node.core().cache.load_snapshot(&entries, revision);
    Ok(true)
}

/// Address on which a controller takes messages of others.
fn peer_address(node: &Node, host: &str) -> Option<SocketAddr> {
    node.settings
        .seed_controllers
        .iter()
        .find(|s| s.host_name == host)
        .map(|s| s.address)
}
