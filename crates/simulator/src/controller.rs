//! A simulated controller process: the real scheduling core, an inbox whose messages are
//! processed one at a time, and the state of the loops that the process runs.

use std::collections::{HashMap, VecDeque};

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::rate_limit::TokenBucket;
use lemonweir_coordination::{
    Config, Core, HeartbeatAnswer, HeartbeatId, ProvisioningResult, ShardLease, WorkCounters,
};
use lemonweir_model::constants::STORE_BUDGET_PERCENT;
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::{InstanceEntry, ProvisioningRequest};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent};
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, Superseded, SyncRequest};
use lemonweir_protocol::progress::{ProgressPage, ProgressQuery};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::StateCache;

use crate::scenario::Scenario;

/// A user's request concerning a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UserRequest {
    /// Submits the job or polls its status.
    Query,
    /// Withdraws the job.
    Withdrawal,
}

/// A user's request that is answered after the next state read.
pub struct PendingQuery {
    /// Time at which the request arrived, µs.
    pub asked_at: u64,
    /// Job that the request concerns.
    pub job: JobId,
    /// Type of the request.
    pub request: UserRequest,
}

/// One of the compare-and-swaps of a user's request.
#[derive(Clone, Debug)]
pub struct UserCas {
    /// Job that the request is about.
    pub job: JobId,
    /// What the user asked for.
    pub request: UserRequest,
    /// When the request arrived, µs.
    pub asked_at: u64,
    /// The compare-and-swaps that follow once this one is committed, in order.
    pub remaining: VecDeque<CompareAndSwap>,
}

/// Part of a controller that issued a compare-and-swap and handles its result.
#[derive(Clone, Debug)]
pub enum CasOrigin {
    /// The scheduling core, under a shard's lease.
    Scheduler(ShardLease),
    /// Hints and messages sent through the store. The result is ignored.
    Unattended,
    /// The loop that renews the store lease and bids for shards: one of its election actions, or
    /// `None` for a write of team assignments, the records version or the membership entry.
    LeaseKeeper(Option<ElectionAction>),
    /// The same loop, writing the membership entry under this new store lease.
    Membership(u64),
    /// A user's request concerning a job.
    User(UserCas),
    /// Jobs that wait for their dependencies.
    Dependencies,
}

/// Result of reading the watched keys.
pub enum StateRead {
    /// The changes since the cache's revision, and the revision after them.
    Changes(Vec<WatchEvent>, u64),
    /// All keys, and the revision at which they were read.
    Snapshot(Vec<KeyValue>, u64),
    /// The store was unreachable.
    Unavailable,
}

impl StateRead {
    /// Applies the result to a cache. Returns whether the cache may have changed, or `None` if
    /// the store was unreachable.
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

/// An incarnation of a controller process. Messages to an earlier incarnation are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// Number of the controller.
    pub controller: usize,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// A controller process that waits for another one's answer.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Process that expects the answer.
    pub process: ProcessId,
    /// Time at which it gives up waiting, µs; `None`: it waits for as long as the answer takes.
    pub gives_up_at: Option<u64>,
}

impl Caller {
    /// A caller that gives up at `gives_up_at` if its message is delayed by a slow link, and
    /// waits for the answer otherwise.
    pub fn over_link(process: ProcessId, delay_us: u64, gives_up_at: u64) -> Self {
        Self {
            process,
            gives_up_at: (delay_us > 0).then_some(gives_up_at),
        }
    }

    /// When the caller learns the outcome of its call, µs, and the answer that arrives at
    /// `arrives_at`, unless it has given up by then.
    pub fn outcome<T>(&self, arrives_at: u64, answer: Option<T>) -> (u64, Option<T>) {
        match self.gives_up_at {
            Some(limit) if arrives_at > limit => (limit, None),
            _ => (arrives_at, answer),
        }
    }
}

/// A worker's heartbeat in transit.
pub struct SentHeartbeat {
    /// Number of the machine; 0: a copy of a heartbeat, whose answer is dropped.
    pub machine: usize,
    /// The heartbeat as the worker built it.
    pub heartbeat: Heartbeat,
    /// Time at which it was sent, µs.
    pub sent: u64,
}

/// Identifies the heartbeat that an answer belongs to.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatRef {
    /// Number of the machine.
    pub machine: usize,
    /// Worker session in the heartbeat.
    pub session: u64,
    /// Time at which the heartbeat was sent, µs.
    pub sent: u64,
}

impl SentHeartbeat {
    /// The reference that its answer carries.
    pub fn reference(&self) -> HeartbeatRef {
        HeartbeatRef {
            machine: self.machine,
            session: self.heartbeat.incarnation,
            sent: self.sent,
        }
    }
}

/// Result of sending a request to a service on a route.
#[derive(Clone, Copy, Debug)]
pub struct RouteResult {
    /// Service that the request is for.
    pub service: Service,
    /// Controller that relayed the request; `None`: it was sent directly.
    pub relay: Option<u16>,
    /// Estimated size of a compare-and-swap in bytes; 0 for other requests.
    pub bytes: usize,
    /// True if the request reached the service.
    pub served: bool,
}

/// A message in a controller's inbox.
pub enum Input {
    /// A worker's heartbeat.
    Heartbeat(SentHeartbeat),
    /// A worker's heartbeat that another controller relayed.
    RelayedHeartbeat {
        /// Heartbeat that is relayed.
        heartbeat: SentHeartbeat,
        /// Controller process that relayed it.
        relay: Caller,
    },
    /// The leader's answer to a heartbeat that this controller relayed.
    RelayedAnswer {
        /// Heartbeat that the answer belongs to.
        heartbeat: HeartbeatRef,
        /// Number of the leader.
        from: usize,
        /// Its answer; `None`: no answer came.
        answer: Option<Box<HeartbeatAnswer>>,
    },
    /// The result of a request to a service.
    RouteResult(RouteResult),
    /// Another controller's gossip about the availability of its links.
    Gossip {
        /// Controller process that expects the answer.
        reply_to: Caller,
        /// Availability of links as the sender knows it.
        gossip: Box<AvailabilityGossip>,
    },
    /// A controller's answer to this controller's gossip; `None`: no answer came.
    GossipAnswer(u16, Option<Box<AvailabilityGossip>>),
    /// Another controller's pull of the progress of a shard's jobs.
    ProgressQuery {
        /// Controller process that expects the answer.
        reply_to: Caller,
        /// When it was sent, ms.
        sent_at_ms: u64,
        /// The shard and the changes that are asked for.
        query: ProgressQuery,
    },
    /// The answer to this controller's pull; `None`: no answer came.
    ProgressAnswer {
        /// When the pull was sent, ms.
        sent_at_ms: u64,
        /// The pull.
        query: ProgressQuery,
        /// The changes.
        page: Option<Box<ProgressPage>>,
    },
    /// The result of a compare-and-swap.
    CasResult {
        /// Part of this controller that issued it.
        origin: CasOrigin,
        /// The compare-and-swap that was sent.
        cas: CompareAndSwap,
        /// Its outcome; `None`: no answer came.
        outcome: Option<CompareAndSwapOutcome>,
        /// Keys that were read again after a conflict, with their versions; 0: the key is absent.
        versions: Vec<(String, u64)>,
    },
    /// The result of a call to a worker.
    CommandResult(ShardLease, CommandCall, CommandResult),
    /// Another controller's sync request.
    SyncRequest {
        /// Controller process that expects the answer; `None`: none does any more.
        reply_to: Option<Caller>,
        /// Shard lease of the sender.
        lease: ShardLease,
        /// Request, which names the shard that it is for.
        request: Box<SyncRequest>,
    },
    /// A shard leader's answer to this controller's sync request; `None`: no answer came.
    SyncResponse(ShardLease, u16, Option<Box<ShardView>>),
    /// The result of a provisioning request.
    Provisioned(ShardLease, ProvisioningRequest, ProvisioningResult),
    /// The cloud released machines.
    Released(ShardLease, Vec<MachineId>),
    /// The cloud's list of instances.
    InstancesListed(Vec<InstanceEntry>),
    /// A sync request was refused because the sending shard has another leader.
    Superseded(Superseded),
    /// A shard of another controller has changes for a shard of this controller.
    WakeShard {
        /// The shard to wake.
        shard: u16,
        /// The shard that the changes come from.
        from: u16,
    },
    /// Another controller accepted a job.
    JobAnnounced,
    /// The result of a state read.
    StateRead {
        /// Time at which the read began, µs.
        began_at: u64,
        /// What the read returned.
        read: StateRead,
    },
    /// The end records of these jobs were read.
    JobEndsRead(Vec<JobId>),
    /// A user submits a job.
    Submit(JobId),
    /// A user polls the status of a job.
    Poll(JobId),
    /// A user withdraws a job.
    Withdraw(JobId),
    /// This controller acquired a shard's lease.
    ShardAcquired {
        /// Lease of the shard, with its new fencing token.
        lease: ShardLease,
        /// The shard's task chunks.
        chunks: Vec<KeyValue>,
        /// The shard's image locations.
        images: Vec<KeyValue>,
    },
    /// The store's answer to granting or renewing the store lease; `None`: the lease has
    /// expired.
    StoreLease(Option<u64>),
    /// The store did not answer a request to grant or renew the store lease.
    StoreLeaseUnknown,
    /// Timer for periodic work.
    Tick,
}

/// A controller: its current process, if any, and what is kept when it restarts.
pub struct Controller {
    /// The scheduling core; `None` while the process is down.
    pub core: Option<Core>,
    /// Incremented at each start and stop; answers to requests of an earlier incarnation are
    /// dropped.
    pub incarnation: u64,
    /// Decides which shards to bid for.
    pub election: LeaderElection,
    /// Id of its store lease; `None`: it holds none.
    pub store_lease: Option<u64>,
    /// Time at which the store last answered a request to grant or renew the store lease, µs.
    pub lease_renewed_at: u64,
    /// Number of answers that the lease keeper waits for.
    pub pending_lease_replies: u32,
    /// Heartbeats whose answer its core holds.
    pub held_heartbeats: HashMap<HeartbeatId, HeartbeatRef>,
    /// Messages that wait to be processed.
    pub inbox: VecDeque<Input>,
    /// Time until which the process is stalled, µs.
    pub stalled_until: u64,
    /// Time until which it is busy processing messages, µs.
    pub busy_until: u64,
    /// True if an event is scheduled that continues with the inbox.
    pub wake_scheduled: bool,
    /// True if the core has handled messages whose effects are not flushed yet.
    pub flush_due: bool,
    /// True if a state read should happen before the regular interval has passed.
    pub read_requested: bool,
    /// True if a state read is in flight.
    pub read_in_flight: bool,
    /// Time at which the last state read ended, µs.
    pub read_at: u64,
    /// Time at which the next state read is due, µs.
    pub read_due: u64,
    /// Users' requests that must be answered from a state read begun after their arrival.
    pub pending_queries: Vec<PendingQuery>,
    /// Its share of the store's request rate.
    pub requests: TokenBucket,
    /// Its share of the store's write rate.
    pub writes: TokenBucket,
    /// Its share of the cloud's request rate.
    pub cloud: TokenBucket,
    /// Work of all its incarnations.
    pub load: ControllerLoad,
    /// Counters of the core at the last charge.
    pub charged_counters: WorkCounters,
}

/// Work of a controller, summed over all its incarnations.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControllerLoad {
    /// Processing time charged, µs.
    pub busy_us: u64,
    /// Charged time below 1 µs that is carried over to the next charge, ns.
    pub remainder_ns: u64,
    /// Number of messages received and sent.
    pub messages: u64,
    /// Bytes of the sync requests and answers to them that it sent to other controllers.
    pub peer_bytes: u64,
    /// Number of bit set words and machines examined by placement.
    pub candidates_examined: u64,
    /// Number of placements refused for lack of resources.
    pub refused_placements: u64,
    /// Number of attempts preempted.
    pub preemptions: u64,
}

impl Controller {
    /// Creates a process that is not started yet.
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
            held_heartbeats: HashMap::new(),
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
            charged_counters: WorkCounters::default(),
        }
    }

    /// Starts the process with a new core; only the counted work is kept.
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

    /// Ends the process; its core and pending queries are lost.
    pub fn stop(&mut self) {
        self.core = None;
        self.incarnation += 1;
        self.pending_queries.clear();
        self.held_heartbeats.clear();
    }

    /// True if its core holds the lease of a shard.
    pub fn leads(&self, shard: u16) -> bool {
        self.core
            .as_ref()
            .is_some_and(|core| core.leases().iter().any(|lease| lease.shard == shard))
    }
}
