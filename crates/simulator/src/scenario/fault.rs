//! Faults that a scenario injects: their kind, time and duration.

use std::ops::RangeInclusive;

/// Delay with which the store executes a write under a [`FaultKind::LateWrites`] fault, unless it
/// executes the write at once.
pub const LATE_WRITE_DELAY: SecondsRange = SecondsRange {
    low: 2.0,
    high: 12.0,
};
/// A spot instance is removed at the latest this multiple of its notice after the fault.
const MAX_RECLAIM_NOTICE_FACTOR: f64 = 1.5;

/// The kind of a fault, with its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A controller process ends, and is started again after the fault's duration.
    Crash {
        /// Number of the controller; `None`: all of them.
        controller: Option<usize>,
    },
    /// All controllers are restarted, one after the other.
    RollingRestart,
    /// The state service is down.
    StoreDown,
    /// A single link fails.
    LinkDown(Link),
    /// The cloud's API is down.
    CloudDown,
    /// A zone is partitioned from everything outside it; traffic inside it continues.
    ZonePartition {
        /// Name of the partitioned zone.
        zone: String,
    },
    /// A controller process stalls while its clocks keep running.
    ProcessStall {
        /// Number of the stalled controller.
        controller: usize,
    },
    /// Machines are lost together with their tasks and data.
    MachineLoss,
    /// Machines lose their network connection.
    NetworkLoss,
    /// Machines hang while the fault lasts: their tasks make no progress, and they send no
    /// heartbeats and execute no calls. Their leases still expire.
    MachineHang,
    /// Machines on which, for the rest of the run, every task fails that starts there.
    FaultyMachines,
    /// Changes the boot time of machines provisioned during the fault; the fault's share of
    /// them never boots.
    BootTime {
        /// Factor on the boot time.
        factor: f64,
        /// The only affected zone; `None`: all zones.
        zone: Option<String>,
    },
    /// Users poll more often. With a probability of 1/3, a poll of a real job comes with one
    /// more poll for a job that does not exist.
    PollLoad {
        /// Factor on the polling rate.
        factor: f64,
    },
    /// Heartbeats of machines arrive, but answers or commands to the machines are lost.
    InboundLoss {
        /// Affects all machines of this zone; `None`: the fault's share of all machines.
        zone: Option<String>,
        /// Only messages from this controller are lost; `None`: from any controller.
        controller: Option<usize>,
        /// Whether answers to heartbeats are lost.
        answers: bool,
        /// Whether commands are lost.
        commands: bool,
    },
    /// Heartbeats of the fault's share of the machines arrive a second time.
    DelayedDuplicates {
        /// Delay of a copy.
        seconds: SecondsRange,
        /// False: each copy reaches one controller, `seconds` after the heartbeat was sent.
        /// True: some copies are retained until a shard has a new leader, and reach every
        /// controller `seconds` after that.
        retained: bool,
    },
    /// The fault's share of all writes to the state service gets no answer.
    LateWrites {
        /// Whether these writes are executed at once; otherwise they are executed after a
        /// delay, possibly after newer ones.
        execute_immediately: bool,
    },
    /// Heartbeats of machines reach no controller, while commands reach the machines and are
    /// answered.
    OutboundLoss {
        /// Affects all machines of this zone; `None`: the fault's share of all machines.
        zone: Option<String>,
    },
    /// Users poll all controllers about a job and resubmit it within 200 ms after they learn
    /// that it was accepted, refused, done or cancelled; 10 % of the accepted jobs are
    /// cancelled at once.
    QueryBursts,
    /// The fault's share of the jobs is polled, resubmitted and cancelled at the moment at which
    /// the job's last task completes.
    CancelAtCompletion,
    /// Users cancel running jobs within 200 ms.
    CancelBurst {
        /// Largest number of jobs that are cancelled.
        count: usize,
        /// Time for which up to eight machines of these jobs hang, s; 0: none hangs.
        hang_s: f64,
    },
    /// Users resubmit unfinished jobs, cancel finished ones, and submit jobs that fit no
    /// machine.
    InvalidRequests,
    /// The state service executes and answers requests with a delay.
    StoreSlow {
        /// Delay of execution and answer together.
        seconds: SecondsRange,
    },
    /// The fault's share of the calls to machines and of the answers to heartbeats is
    /// affected: half of it is delayed; the other half arrives in time, but a machine's
    /// response to a call is lost.
    DelayedCommands {
        /// Delay of a delayed message.
        seconds: SecondsRange,
    },
    /// Messages between controllers, and the answers to them, take longer. Each delay is drawn
    /// on its own, so that messages may arrive in another order.
    SlowPeerLinks {
        /// Only links of this controller are slow; `None`: all links between controllers.
        controller: Option<usize>,
        /// Delay of a message in one direction.
        seconds: SecondsRange,
    },
    /// The fault's share of the messages that are carried out and answered are carried out once
    /// more, as far as what they say still fits: commands, also by a machine that has restarted
    /// meanwhile, heartbeats, compare-and-swaps, store leases, provisioning requests, syncs, relayed
    /// heartbeats, submissions and withdrawals.
    RepeatedMessages {
        /// Time after which a message is carried out once more.
        seconds: SecondsRange,
    },
    /// The state service switches to its upcoming limits for the rest of the run.
    ReducedStoreLimits,
    /// A controller loses its links to the state service and to all other controllers, but
    /// not to workers, users and the cloud.
    ControllerIsolated {
        /// Number of the isolated controller.
        controller: usize,
    },
    /// Machines restart at once under the same names: without tasks and images, and with
    /// their session and message numbers reset.
    MachineRestart,
    /// The cloud reclaims the fault's share of the spot instances.
    SpotReclaim {
        /// Nominal notice, s; 0: reclaimed at once, without notice.
        notice_s: f64,
    },
}

impl FaultKind {
    /// True if the fault affects a share of the machines that are up, drawn when it begins.
    pub fn affects_machines(&self) -> bool {
        match self {
            Self::NetworkLoss
            | Self::MachineHang
            | Self::FaultyMachines
            | Self::MachineLoss
            | Self::MachineRestart
            | Self::DelayedDuplicates { .. }
            | Self::InboundLoss { zone: None, .. }
            | Self::OutboundLoss { zone: None }
            | Self::SpotReclaim { .. } => true,
            Self::Crash { .. }
            | Self::RollingRestart
            | Self::StoreDown
            | Self::LinkDown(_)
            | Self::CloudDown
            | Self::ZonePartition { .. }
            | Self::ProcessStall { .. }
            | Self::BootTime { .. }
            | Self::PollLoad { .. }
            | Self::InboundLoss { zone: Some(_), .. }
            | Self::LateWrites { .. }
            | Self::OutboundLoss { zone: Some(_) }
            | Self::QueryBursts
            | Self::CancelAtCompletion
            | Self::CancelBurst { .. }
            | Self::InvalidRequests
            | Self::StoreSlow { .. }
            | Self::DelayedCommands { .. }
            | Self::SlowPeerLinks { .. }
            | Self::RepeatedMessages { .. }
            | Self::ReducedStoreLimits
            | Self::ControllerIsolated { .. } => false,
        }
    }
}

/// A range of delays, s; a delay is drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondsRange {
    /// Smallest delay, s.
    pub low: f64,
    /// Largest delay, s.
    pub high: f64,
}

impl SecondsRange {
    /// The range in µs.
    pub fn micros(&self) -> RangeInclusive<u64> {
        (self.low * 1e6) as u64..=(self.high * 1e6) as u64
    }
}

/// A fault with its time and extent.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What fails, with the parameters of that kind.
    pub kind: FaultKind,
    /// Time at which it begins, s.
    pub at_s: f64,
    /// Duration, s; for a rolling restart, the time from one restart to the next.
    pub for_s: f64,
    /// Share of the machines, writes, calls or jobs that it affects; for a boot time fault,
    /// the share of new machines that never boot.
    pub share: f64,
    /// Time after which a failed link changes between down and up, s; 0: it stays down until
    /// the fault ends. Other kinds of faults ignore it.
    pub flap_interval_s: f64,
}

impl Fault {
    /// Time at which its last effect is over, s: late copies and writes have arrived, a
    /// rolling restart is complete, reclaimed instances are gone.
    pub(super) fn effects_end_s(&self, controllers: u16) -> f64 {
        let aftereffect_s = match self.kind {
            FaultKind::RollingRestart => self.for_s * f64::from(controllers),
            FaultKind::DelayedDuplicates { seconds, .. }
            | FaultKind::StoreSlow { seconds }
            | FaultKind::DelayedCommands { seconds }
            | FaultKind::RepeatedMessages { seconds } => seconds.high,
            // A message and its answer.
            FaultKind::SlowPeerLinks { seconds, .. } => 2.0 * seconds.high,
            FaultKind::LateWrites {
                execute_immediately: false,
            } => LATE_WRITE_DELAY.high,
            FaultKind::CancelBurst { hang_s, .. } => hang_s,
            FaultKind::SpotReclaim { notice_s } => MAX_RECLAIM_NOTICE_FACTOR * notice_s,
            _ => 0.0,
        };
        self.at_s + self.for_s + aftereffect_s
    }
}

/// A link that can fail on its own. Controllers are identified by their numbers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// A controller and the state service; requests relayed by other controllers pass.
    Store(usize),
    /// A controller and the state service, which also refuses requests that others relay for
    /// this controller.
    StoreDenied(usize),
    /// A controller and the cloud.
    Cloud(usize),
    /// A controller and all workers.
    Workers(usize),
    /// A controller and the workers of a zone.
    WorkersInZone(usize, String),
    /// Two controllers, in both directions; [`Link::between`] puts the smaller number first.
    Controllers(usize, usize),
    /// The first controller can't reach the second, which still can reach the first.
    OneWay(usize, usize),
    /// A controller and the users.
    Users(usize),
}

impl Link {
    /// The link between two controllers, in either order.
    pub fn between(a: usize, b: usize) -> Self {
        Self::Controllers(a.min(b), a.max(b))
    }
}
