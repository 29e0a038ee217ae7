//! Faults of a scenario: what goes wrong, when and for how long.

use std::ops::RangeInclusive;

/// How much later a write is executed that got no answer.
pub const LATE_WRITES: SecondsRange = SecondsRange {
    low: 2.0,
    high: 12.0,
};
/// A spot machine goes at most so many times its notice after the fault.
const LATEST_RECLAIM: f64 = 1.5;

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A controller process ends and is restarted.
    Crash {
        /// Which one; none: all of them.
        controller: Option<usize>,
    },
    /// All controllers are restarted, one after the other.
    RollingRestart,
    /// The state service is down.
    StoreDown,
    /// A link fails while others are up.
    LinkDown(Link),
    /// The cloud's interface is down.
    CloudDown,
    /// A zone is partitioned from everything outside it; inside it traffic goes on.
    ZonePartition {
        /// Its name.
        zone: String,
    },
    /// A controller process stalls while its clocks run on.
    ProcessStall {
        /// Which one.
        controller: usize,
    },
    /// Machines are lost with all that is on them.
    MachineLoss,
    /// Machines lose the network.
    NetworkLoss,
    /// Machines hang.
    MachineHang,
    /// Machines fail every task that they start.
    FaultyMachines,
    /// Machines provisioned meanwhile take so many times as long to boot; the share of
    /// the fault never boots.
    BootTime {
        /// How many times as long.
        factor: f64,
        /// The only zone where it is so.
        zone: Option<String>,
    },
    /// Users poll so many times as often, a third of them for jobs that do not exist.
    PollLoad {
        /// How many times as often.
        factor: f64,
    },
    /// Heartbeats of machines arrive, but answers or commands do not reach them.
    InboundLoss {
        /// All machines of this zone; none: the share of the fault.
        zone: Option<String>,
        /// Only this controller's are lost.
        controller: Option<usize>,
        /// Answers are lost.
        answers: bool,
        /// Commands are lost.
        commands: bool,
    },
    /// Each heartbeat of some machines arrives a second time, so many s later.
    DelayedDuplicates {
        /// How much later.
        seconds: SecondsRange,
        /// Some copies are kept until a shard has a new leader, and reach every
        /// controller so much after that.
        for_next: bool,
    },
    /// The share of all writes gets no answer.
    LateWrites {
        /// They are executed at once; otherwise later, after newer ones.
        at_once: bool,
    },
    /// Machines reach no controller, while direct commands reach them.
    OutboundLoss {
        /// All machines of this zone; none: the share of the fault.
        zone: Option<String>,
    },
    /// Users ask all controllers, and submit again, within milliseconds after a job
    /// was accepted, ended or confirmed as cancelled; a share cancels at once.
    QueryBursts,
    /// The share of the jobs that end is cancelled at that moment.
    CancelAtCompletion,
    /// Users cancel that many running jobs within a fifth of a second.
    CancelBurst {
        /// How many.
        count: usize,
        /// s for which up to eight of their machines hang; 0: none does.
        hang_s: f64,
    },
    /// Users submit unfinished jobs again, cancel jobs that are done, and submit jobs
    /// that fit no machine.
    InvalidRequests,
    /// The state service executes requests and answers them so much later.
    StoreSlow {
        /// How much later.
        seconds: SecondsRange,
    },
    /// The share of calls to machines and of answers to their reports arrives so much
    /// later, or what the machine says to a call is lost.
    DelayedCommands {
        /// How much later.
        seconds: SecondsRange,
    },
    /// The state service has its next limits from now on.
    ReducedStoreLimits,
    /// A controller loses the state service and all other controllers, not its workers.
    ControllerIsolated {
        /// Which one.
        controller: usize,
    },
    /// Machines restart at once, empty, and count sessions from the start.
    MachineRestart,
    /// The cloud reclaims spot instances, with this notice.
    SpotReclaim {
        /// SecondsRange of notice; 0: none.
        notice_s: f64,
    },
}

impl FaultKind {
    /// True if it affects a share of the machines that are up, drawn when it begins.
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
            | Self::ReducedStoreLimits
            | Self::ControllerIsolated { .. } => false,
        }
    }
}

/// A range of delays, s; a delay is drawn uniformly.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SecondsRange {
    /// At least.
    pub low: f64,
    /// At most.
    pub high: f64,
}

impl SecondsRange {
    /// The same in µs.
    pub fn micros(&self) -> RangeInclusive<u64> {
        (self.low * 1e6) as u64..=(self.high * 1e6) as u64
    }
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When, s.
    pub at_s: f64,
    /// For how long, s.
    pub for_s: f64,
    /// Share of the machines, writes, calls or jobs that it affects.
    pub share: f64,
    /// The link goes down and up at this interval, s; 0: it stays down.
    pub flap_s: f64,
}

impl Fault {
    /// When nothing more comes of it, s: late copies have arrived, a rolling restart is
    /// through.
    pub(super) fn over_s(&self, controllers: u16) -> f64 {
        let more = match self.kind {
            FaultKind::RollingRestart => self.for_s * f64::from(controllers),
            FaultKind::DelayedDuplicates { seconds, .. }
            | FaultKind::StoreSlow { seconds }
            | FaultKind::DelayedCommands { seconds } => seconds.high,
            FaultKind::LateWrites { at_once: false } => LATE_WRITES.high,
            FaultKind::CancelBurst { hang_s, .. } => hang_s,
            FaultKind::SpotReclaim { notice_s } => LATEST_RECLAIM * notice_s,
            _ => 0.0,
        };
        self.at_s + self.for_s + more
    }
}

/// A link that can fail by itself; controllers by their numbers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// A controller and the state service, which refuses it.
    Store(usize),
    /// The same; it also refuses what others relay for that controller.
    StoreDenied(usize),
    /// A controller and the cloud.
    Cloud(usize),
    /// A controller and all workers.
    Workers(usize),
    /// A controller and the workers of a zone.
    WorkersInZone(usize, String),
    /// Two controllers.
    Controllers(usize, usize),
    /// A controller can't reach another, which can reach it.
    OneWay(usize, usize),
    /// A controller and the users.
    Users(usize),
}

impl Link {
    /// The link between two controllers, whichever is named first.
    pub fn between(a: usize, b: usize) -> Self {
        Self::Controllers(a.min(b), a.max(b))
    }
}
