//! A simulated controller process: the real core, with an inbox that it works
//! off one message after the other, and the loops that the process has.

use std::collections::VecDeque;

use lemonweir_coordination::election::{ElectionAction, LeaderElection};
use lemonweir_coordination::owner::{CommandCall, CommandResult};
use lemonweir_coordination::placer::CompareAndSwapOutcome;
use lemonweir_coordination::rate_limit::TokenBucket;
use lemonweir_coordination::{
    Config, Core, HeartbeatAnswer, ProvisioningResult, ShardLease, WorkCounters,
};
use lemonweir_model::constants::BUDGET_PERCENT;
use lemonweir_model::{JobId, MachineId};
use lemonweir_protocol::cloud::{InstanceEntry, ProvisioningRequest};
use lemonweir_protocol::kv_store::{CompareAndSwap, KeyValue, WatchEvent};
use lemonweir_protocol::links::{AvailabilityGossip, Service};
use lemonweir_protocol::peer::{ShardView, Superseded, SyncRequest};
use lemonweir_protocol::worker::Heartbeat;
use lemonweir_storage::StateCache;

use crate::scenario::Scenario;

/// Who a transaction is for.
#[derive(Clone, Debug)]
pub enum For {
    /// The core.
    Core(ShardLease),
    /// Nobody waits for it.
    Nobody,
    /// The loop that keeps hold and parts.
    Keeper(Option<ElectionAction>),
    /// The same, for the presence that a new hold begins with.
    Presence(u64),
    /// A user's submission or withdrawal, asked for at that time.
    User(JobId, bool, u64),
    /// Jobs that wait for others.
    Chain,
}

/// What a reading of the followed keys brought.
pub enum Reading {
    /// Changes since the copy's revision, and the revision that they lead to.
    Changes(Vec<WatchEvent>, u64),
    /// All keys.
    All(Vec<KeyValue>, u64),
    /// The store could not be had.
    Failed,
}

impl Reading {
    /// Brings a copy up to date; tells whether it changed, `None` if the store
    /// could not be had.
    pub fn apply(self, cache: &mut StateCache, now_ms: u64) -> Option<bool> {
        match self {
            Reading::Changes(changes, revision) => {
                cache.apply_changes(&changes, revision, now_ms);
                Some(!changes.is_empty())
            }
            Reading::All(entries, revision) => {
                cache.load_snapshot(&entries, revision);
                Some(true)
            }
            Reading::Failed => None,
        }
    }
}

/// A message that waits to be worked off.
pub enum Input {
    /// A worker's report, sent at that time.
    Report(usize, Heartbeat, u64),
    /// The same, carried by another controller in that life.
    CarriedReport(usize, Heartbeat, u64, usize, u64),
    /// The owner's answer to one that was carried; `None`: there is none.
    CarriedAnswer(usize, u64, u64, usize, Option<Box<HeartbeatAnswer>>),
    /// What became of a request to a service: whether another carried it, its
    /// bytes, whether it was served.
    Tried(Service, Option<u16>, usize, bool),
    /// Another controller tells of its links.
    Hail(u64, Box<AvailabilityGossip>),
    /// It answered, or did not.
    Hailed(u16, Option<Box<AvailabilityGossip>>),
    /// A transaction ended, `None`: without an answer; with the versions of keys
    /// read again.
    CompareAndSwap(
        For,
        CompareAndSwap,
        Option<CompareAndSwapOutcome>,
        Vec<(String, u64)>,
    ),
    /// A call to a worker ended.
    Command(ShardLease, CommandCall, CommandResult),
    /// Another controller's sync; the answer goes to that host.
    Sync(usize, u64, ShardLease, Box<SyncRequest>),
    /// The answer to one of ours.
    View(ShardLease, u16, Option<Box<ShardView>>),
    /// A rental ended.
    Rented(ShardLease, ProvisioningRequest, ProvisioningResult),
    /// A release ended.
    Released(ShardLease, Vec<MachineId>),
    /// The list of rentals.
    Listed(Vec<InstanceEntry>),
    /// The same, refused since our part has another holder.
    Superseded(Superseded),
    /// An owner has news for a part.
    Nudge(u16, u16),
    /// A job came elsewhere.
    Announced,
    /// A reading that began at that time.
    Read(u64, Reading),
    /// Ends of jobs were asked for.
    EndsRead(Vec<JobId>),
    /// A user submits.
    Submit(JobId),
    /// A user polls.
    Poll(JobId),
    /// A user withdraws.
    Withdraw(JobId),
    /// A part was taken: its records.
    Adopt(ShardLease, Vec<KeyValue>, Vec<KeyValue>),
    /// The hold's fate.
    Hold(Option<u64>),
    /// Nothing was heard of it.
    HoldUnknown,
    /// Time to look.
    Tick,
}

/// A controller.
pub struct Host {
    /// Its decisions; `None` while the process is away.
    pub core: Option<Core>,
    /// Counts its lives: what an earlier one asked for is not answered.
    pub life: u64,
    /// Which parts to take.
    pub membership: LeaderElection,
    /// Its hold at the store.
    pub hold: Option<u64>,
    /// When the hold was last renewed, µs.
    pub renewed: u64,
    /// Answers that the loop waits for which keeps hold and parts.
    pub keeping: u32,
    /// What waits to be worked off.
    pub inbox: VecDeque<Input>,
    /// Until when it stands still, µs.
    pub frozen_until: u64,
    /// Until when it is busy with what it works on, µs.
    pub busy_until: u64,
    /// An event is under way that will go on with the inbox.
    pub waking: bool,
    /// Something happened: pump once the inbox is empty.
    pub poked: bool,
    /// A reading is wanted soon.
    pub read_wanted: bool,
    /// A reading is under way.
    pub reading: bool,
    /// When the last reading ended, µs.
    pub read_at: u64,
    /// When the next reading is due, µs.
    pub read_due: u64,
    /// Users who wait for a reading that began after they asked, and when they asked.
    pub waiting: Vec<(u64, JobId, bool)>,
    /// Share of the store's requests a second.
    pub requests: TokenBucket,
    /// Share of the store's changes a second.
    pub writes: TokenBucket,
    /// Share of the cloud's requests.
    pub cloud: TokenBucket,
    /// Counted work.
    pub work: Work,
    /// What the core had counted when it was last charged.
    pub tally: WorkCounters,
}

/// Counted work of a controller.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// µs charged.
    pub busy_us: u64,
    /// ns of it that are less than a µs.
    pub rest_ns: u64,
    /// Messages taken and sent.
    pub messages: u64,
    /// Bytes of messages between controllers.
    pub peer_bytes: u64,
    /// Words and machines that walks looked at.
    pub looks: u64,
    /// Placements refused, and attempts pushed out.
    pub judged: (u64, u64),
}

impl Host {
    /// A process that is not there yet.
    pub fn new(scenario: &Scenario) -> Self {
        let nodes = usize::from(scenario.shards);
        let share = |x: f64| TokenBucket::new(x, nodes, 0);
        let most = BUDGET_PERCENT as f64 / 100.0;
        Self {
            core: None,
            life: 0,
            membership: LeaderElection::new(nodes),
            hold: None,
            renewed: 0,
            keeping: 0,
            inbox: VecDeque::new(),
            frozen_until: 0,
            busy_until: 0,
            waking: false,
            poked: false,
            read_wanted: false,
            reading: false,
            read_at: 0,
            read_due: 0,
            waiting: Vec::new(),
            requests: share(scenario.state.requests_per_s * most),
            writes: share(scenario.state.writes_per_s * most),
            cloud: share(scenario.cloud.requests_per_s),
            work: Work::default(),
            tally: WorkCounters::default(),
        }
    }

    /// Its process starts.
    pub fn boot(&mut self, scenario: &Scenario, number: usize, now: u64) {
        let mut core = Core::new(
            Config::new(&scenario.settings(number)),
            scenario.policy.clone(),
        );
        core.set_catalog(scenario.catalog());
        let (life, work) = (self.life + 1, self.work);
        *self = Self {
            core: Some(core),
            life,
            work,
            busy_until: now,
            ..Self::new(scenario)
        };
    }

    /// Its process ends.
    pub fn end(&mut self) {
        self.core = None;
        self.life += 1;
        self.waiting.clear();
    }

    /// Parts that it holds.
    pub fn holds(&self, shard: u16) -> bool {
        self.core
            .as_ref()
            .is_some_and(|c| c.held().iter().any(|l| l.shard == shard))
    }
}
