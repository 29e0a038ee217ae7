//! A simulated controller process: the real scheduling core, with an inbox that it processes
//! one message after the other, and the state of the loops that the process runs.

use std::collections::VecDeque;

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::rate_limit::TokenBucket;
use lemonweir_coordination::{
    Config, Core, HeartbeatAnswer, ProvisioningResult, ShardLease, WorkCounters,
};
use lemonweir_model::constants::STORE_BUDGET_PERCENT;
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::{InstanceEntry, ProvisioningRequest};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent};
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, Superseded, SyncRequest};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::StateCache;

use crate::scenario::Scenario;

/// What a user asks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequest {
    /// A submission, or a question about it.
    Query,
    /// A withdrawal.
    Withdrawal,
}

/// A user's question that waits for a state read.
pub struct PendingQuery {
    /// When the user asked, µs.
    pub asked: u64,
    /// The job.
    pub job: JobId,
    /// What is asked.
    pub request: UserRequest,
}

/// Who a compare-and-swap is for.
#[derive(Clone, Debug)]
pub enum CasOrigin {
    /// The scheduling core, under a shard's lease.
    Scheduler(ShardLease),
    /// Nobody waits for it.
    Unattended,
    /// The loop that keeps the store lease and the shard leases.
    LeaseKeeper(Option<ElectionAction>),
    /// The same, for the membership entry that a new store lease begins with.
    Presence(u64),
    /// A user's request for a job, asked at that time, µs.
    User(JobId, UserRequest, u64),
    /// Jobs that wait for their dependencies.
    Dependencies,
}

/// What a read of the watched keys brought.
pub enum StateRead {
    /// Changes since the cache's revision, and the revision that they lead to.
    Changes(Vec<WatchEvent>, u64),
    /// All keys.
    Snapshot(Vec<KeyValue>, u64),
    /// The store could not be reached.
    Unavailable,
}

impl StateRead {
    /// Brings a cache up to date; tells whether it changed, `None` if the store could not be
    /// reached.
    pub fn apply(self, cache: &mut StateCache, now_ms: u64) -> Option<bool> {
        match self {
            StateRead::Changes(changes, revision) => {
                cache.apply_changes(&changes, revision, now_ms);
                Some(!changes.is_empty())
            }
            StateRead::Snapshot(entries, revision) => {
                cache.load_snapshot(&entries, revision);
                Some(true)
            }
            StateRead::Unavailable => None,
        }
    }
}

/// One incarnation of a controller's process: what was meant for an earlier one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// Number of the controller.
    pub controller: usize,
    /// Its incarnation.
    pub incarnation: u64,
}

/// A worker's heartbeat on its way.
pub struct SentHeartbeat {
    /// Number of the machine; 0: nobody's, the answer goes nowhere.
    pub machine: usize,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// When it was sent, µs.
    pub sent: u64,
}

/// The heartbeat that an answer is for.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatRef {
    /// Number of the machine.
    pub machine: usize,
    /// Session that the heartbeat named.
    pub session: u64,
    /// When it was sent, µs.
    pub sent: u64,
}

impl SentHeartbeat {
    /// What its answer refers to.
    pub fn reference(&self) -> HeartbeatRef {
        HeartbeatRef {
            machine: self.machine,
            session: self.heartbeat.incarnation,
            sent: self.sent,
        }
    }
}

/// What became of a request to a service.
#[derive(Clone, Copy, Debug)]
pub struct RouteResult {
    /// The service.
    pub service: Service,
    /// The controller that relayed the request; none: it went directly.
    pub relay: Option<u16>,
    /// Bytes of the request.
    pub bytes: usize,
    /// True if it was served.
    pub served: bool,
}

/// A message in a controller's inbox.
pub enum Input {
    /// A worker's heartbeat.
    Heartbeat(SentHeartbeat),
    /// The same, relayed by another controller.
    RelayedHeartbeat {
        /// The heartbeat.
        heartbeat: SentHeartbeat,
        /// Who relayed it.
        relay: ProcessId,
    },
    /// The leader's answer to a heartbeat that this controller relayed.
    RelayedAnswer {
        /// The heartbeat.
        heartbeat: HeartbeatRef,
        /// The leader.
        from: usize,
        /// Its answer; none: there is none.
        answer: Option<Box<HeartbeatAnswer>>,
    },
    /// A request to a service was served, or was not.
    RouteResult(RouteResult),
    /// Another controller gossips the availability of its links.
    Gossip {
        /// Who gets the answer.
        reply_to: ProcessId,
        /// What it says.
        gossip: Box<AvailabilityGossip>,
    },
    /// A controller's answer to our gossip; none: there is none.
    GossipAnswer(u16, Option<Box<AvailabilityGossip>>),
    /// A compare-and-swap ended.
    CasResult {
        /// Who it is for.
        origin: CasOrigin,
        /// The compare-and-swap.
        cas: CompareAndSwap,
        /// How it ended; none: no answer came.
        outcome: Option<CompareAndSwapOutcome>,
        /// Versions of keys that were read again after a conflict.
        versions: Vec<(String, u64)>,
    },
    /// A call to a worker ended.
    CommandResult(ShardLease, CommandCall, CommandResult),
    /// Another controller's sync request.
    SyncRequest {
        /// Who gets the answer; none: nobody waits for it any more.
        reply_to: Option<ProcessId>,
        /// The lease that it was sent under.
        lease: ShardLease,
        /// The request.
        request: Box<SyncRequest>,
    },
    /// The answer of a shard's leader to a sync request of ours; none: there is none.
    SyncResponse(ShardLease, u16, Option<Box<ShardView>>),
    /// A provisioning request ended.
    Provisioned(ShardLease, ProvisioningRequest, ProvisioningResult),
    /// A release of machines ended.
    Released(ShardLease, Vec<MachineId>),
    /// The list of instances.
    InstancesListed(Vec<InstanceEntry>),
    /// A sync request was refused because our shard has another leader.
    Superseded(Superseded),
    /// Something is new for a shard, from another shard.
    WakeShard {
        /// The shard that is woken.
        shard: u16,
        /// The shard that has news for it.
        from: u16,
    },
    /// A job was accepted elsewhere.
    JobAnnounced,
    /// A state read ended.
    StateRead {
        /// When it began, µs.
        began: u64,
        /// What it brought.
        read: StateRead,
    },
    /// The ends of these jobs were read.
    JobEndsRead(Vec<JobId>),
    /// A user submits.
    Submit(JobId),
    /// A user polls.
    Poll(JobId),
    /// A user withdraws.
    Withdraw(JobId),
    /// A shard's lease was acquired.
    ShardAcquired {
        /// The lease.
        lease: ShardLease,
        /// The shard's task chunks.
        chunks: Vec<KeyValue>,
        /// The shard's image locations.
        images: Vec<KeyValue>,
    },
    /// The store lease as the store answered; none: it has expired.
    StoreLease(Option<u64>),
    /// The store did not answer about the store lease.
    StoreLeaseUnknown,
    /// Time for periodic work.
    Tick,
}

/// A controller process.
pub struct Controller {
    /// The scheduling core; `None` while the process is down.
    pub core: Option<Core>,
    /// Counts its starts and ends: what an earlier incarnation asked for is not answered.
    pub incarnation: u64,
    /// Which shards to bid for.
    pub election: LeaderElection,
    /// Its lease at the store.
    pub store_lease: Option<u64>,
    /// When the store lease was last renewed, µs.
    pub lease_renewed_at: u64,
    /// Answers that the lease keeper waits for.
    pub pending_lease_replies: u32,
    /// Messages that wait to be processed.
    pub inbox: VecDeque<Input>,
    /// Until when the process stalls, µs.
    pub stalled_until: u64,
    /// Until when it is busy with what it processes, µs.
    pub busy_until: u64,
    /// An event is scheduled that goes on with the inbox.
    pub wake_scheduled: bool,
    /// The core has effects to flush once the inbox is empty.
    pub flush_due: bool,
    /// A state read is wanted soon.
    pub read_requested: bool,
    /// A state read is in flight.
    pub read_in_flight: bool,
    /// When the last state read ended, µs.
    pub read_at: u64,
    /// When the next state read is due, µs.
    pub read_due: u64,
    /// Users' questions that wait for a state read which began after them.
    pub pending_queries: Vec<PendingQuery>,
    /// Its share of the store's requests a second.
    pub requests: TokenBucket,
    /// Its share of the store's writes a second.
    pub writes: TokenBucket,
    /// Its share of the cloud's requests a second.
    pub cloud: TokenBucket,
    /// Counted work of all its incarnations.
    pub load: ControllerLoad,
    /// The counters of the core when it was last charged.
    pub counted: WorkCounters,
}

/// Counted work of a controller process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControllerLoad {
    /// µs charged as busy.
    pub busy_us: u64,
    /// ns of it that are less than a µs.
    pub rest_ns: u64,
    /// Messages received and sent.
    pub messages: u64,
    /// Bytes of messages between controllers.
    pub peer_bytes: u64,
    /// Words of bits and machines that candidate walks examined.
    pub candidates_examined: u64,
    /// Placements refused.
    pub refused_placements: u64,
    /// Attempts preempted.
    pub preemptions: u64,
}

impl Controller {
    /// A process that was not started yet.
    pub fn new(scenario: &Scenario) -> Self {
        let controllers = usize::from(scenario.controllers);
        let share = |per_s: f64| TokenBucket::new(per_s, controllers, 0);
        let usable = STORE_BUDGET_PERCENT as f64 / 100.0;
        Self {
            core: None,
            incarnation: 0,
            election: LeaderElection::new(controllers),
            store_lease: None,
            lease_renewed_at: 0,
            pending_lease_replies: 0,
            inbox: VecDeque::new(),
            stalled_until: 0,
            busy_until: 0,
            wake_scheduled: false,
            flush_due: false,
            read_requested: false,
            read_in_flight: false,
            read_at: 0,
            read_due: 0,
            pending_queries: Vec::new(),
            requests: share(scenario.state.requests_per_s * usable),
            writes: share(scenario.state.writes_per_s * usable),
            cloud: share(scenario.cloud.requests_per_s),
            load: ControllerLoad::default(),
            counted: WorkCounters::default(),
        }
    }

    /// Its process starts.
    pub fn start(&mut self, scenario: &Scenario, number: usize, now: u64) {
        let mut core = Core::new(
            Config::new(&scenario.settings(number)),
            scenario.policy.clone(),
        );
        core.set_catalog(scenario.catalog());
        let (incarnation, load) = (self.incarnation + 1, self.load);
        *self = Self {
            core: Some(core),
            incarnation,
            load,
            busy_until: now,
            ..Self::new(scenario)
        };
    }

    /// Its process ends.
    pub fn stop(&mut self) {
        self.core = None;
        self.incarnation += 1;
        self.pending_queries.clear();
    }

    /// True if its core leads a shard.
    pub fn leads(&self, shard: u16) -> bool {
        self.core
            .as_ref()
            .is_some_and(|core| core.leases().iter().any(|lease| lease.shard == shard))
    }
}
