//! Troubles of a scenario: what goes wrong, when and for how long.

use super::{Scenario, Section};

/// How much later a write is carried out that got no answer.
pub const LATE_WRITES: Seconds = Seconds {
    low: 2.0,
    high: 12.0,
};
/// When kept copies of reports arrive after a shard has a new leader, if the scenario
/// does not say.
const KEPT_COPIES: Seconds = Seconds {
    low: 0.0,
    high: 1.0,
};

/// What goes wrong at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A controller ends and comes back.
    Crash {
        /// Which one; none: all of them.
        host: Option<usize>,
    },
    /// All controllers are restarted, one after the other.
    Roll,
    /// The state service is down.
    StoreDown,
    /// A link fails while others are up.
    Cut(Link),
    /// The cloud's interface is down.
    CloudDown,
    /// A zone is cut off from everything; inside it goes on.
    CutZone {
        /// Its name.
        zone: String,
    },
    /// A controller stands still while its clocks run on.
    Freeze {
        /// Which one.
        host: usize,
    },
    /// Machines stop for good with all that is on them.
    Die,
    /// Machines lose the network.
    Silent,
    /// Machines hang.
    Hang,
    /// Machines fail what they start.
    Faulty,
    /// Machines rented meanwhile take so many times as long to come up; the share
    /// of the fault never does.
    Boots {
        /// How many times as long.
        factor: f64,
        /// The only zone where it is so.
        zone: Option<String>,
    },
    /// Users ask so many times as often, a third of them for jobs of nobody.
    Polls {
        /// How many times as often.
        factor: f64,
    },
    /// Machines' reports arrive, but answers or commands don't reach them.
    Deaf {
        /// All machines of this zone; none: the share of the fault.
        zone: Option<String>,
        /// Only this controller's are lost.
        host: Option<usize>,
        /// Answers are lost.
        answers: bool,
        /// Commands are lost.
        commands: bool,
    },
    /// Each report of some machines arrives a second time, so many s later.
    LateCopies {
        /// How much later.
        seconds: Seconds,
        /// Some copies are kept until a shard has a new leader, and reach every
        /// controller so much after that.
        for_next: bool,
    },
    /// The share of all writes gets no answer.
    LateWrites {
        /// They are carried out at once; otherwise later, after newer ones.
        at_once: bool,
    },
    /// Machines reach no controller, while direct commands reach them.
    Mute {
        /// All machines of this zone; none: the share of the fault.
        zone: Option<String>,
    },
    /// Users ask all controllers, and submit again, within milliseconds after a job
    /// was accepted, ended or confirmed as cancelled; a share cancels at once.
    CloseLooks,
    /// The share of the jobs that end is cancelled at that moment.
    CancelAtEnd,
    /// Users cancel that many running jobs within a fifth of a second.
    CancelNow {
        /// How many.
        count: usize,
        /// s for which up to eight of their machines hang; 0: none does.
        hang_s: f64,
    },
    /// Users submit unfinished jobs again, cancel jobs that are done, and submit jobs
    /// that fit no machine.
    OddRequests,
    /// The state service carries out and answers so much later.
    StoreSlow {
        /// How much later.
        seconds: Seconds,
    },
    /// The share of calls to machines and of answers to their reports arrives so much
    /// later, or what the machine says to a call is lost.
    HeldOrders {
        /// How much later.
        seconds: Seconds,
    },
    /// The state service has its next limits from now on.
    KvStoreLimits,
    /// A controller loses the state service and all others, not its workers.
    Alone {
        /// Which one.
        host: usize,
    },
    /// Machines are back at once, empty, and count from the start.
    Reborn,
    /// Spot machines are taken back, with this notice.
    TakeSpot {
        /// Seconds of notice; 0: none.
        notice_s: f64,
    },
}

/// How much later something comes, s.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seconds {
    /// At least.
    pub low: f64,
    /// At most.
    pub high: f64,
}

impl Seconds {
    fn read(t: &Section<'_>) -> Self {
        Self::read_or(t, None)
    }

    fn read_or(t: &Section<'_>, usual: Option<Self>) -> Self {
        let low = t.number("low_s", 0.0, 3_600.0, usual.map(|s| s.low));
        Self {
            low,
            high: t.number("high_s", low, 3_600.0, usual.map(|s| s.high)),
        }
    }

    /// The same in µs.
    pub fn us(&self) -> std::ops::RangeInclusive<u64> {
        (self.low * 1e6) as u64..=(self.high * 1e6) as u64
    }
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub trouble: Trouble,
    /// When, s.
    pub at_s: f64,
    /// For how long, s.
    pub for_s: f64,
    /// Share of the machines that it strikes.
    pub share: f64,
    /// A link comes and goes at this interval, s; 0: it stays cut.
    pub flap_s: f64,
}

impl Fault {
    /// When nothing more comes of it, s: late copies have arrived, a roll is through.
    pub(super) fn over_s(&self, hosts: u16) -> f64 {
        let more = match self.trouble {
            Trouble::Roll => self.for_s * f64::from(hosts),
            Trouble::LateCopies { seconds, .. }
            | Trouble::StoreSlow { seconds }
            | Trouble::HeldOrders { seconds } => seconds.high,
            Trouble::LateWrites { at_once: false } => LATE_WRITES.high,
            Trouble::CancelNow { hang_s, .. } => hang_s,
            Trouble::TakeSpot { notice_s } => 1.5 * notice_s,
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
    /// The same; it refuses what others carry for that controller too.
    Barred(usize),
    /// A controller and the cloud.
    Cloud(usize),
    /// A controller and all workers.
    WorkerTiming(usize),
    /// A controller and the workers of a zone.
    Zone(usize, String),
    /// Two controllers.
    Hosts(usize, usize),
    /// A controller can't reach another, which can reach it.
    OneWay(usize, usize),
    /// A controller and the users.
    Users(usize),
}

/// Names of the troubles in a scenario file.
const KINDS: [&str; 32] = [
    "crash",
    "roll",
    "store_down",
    "refused",
    "cloud_down",
    "cut_controllers",
    "silent",
    "hang",
    "faulty",
    "take_spot",
    "cut_zone",
    "cut_workers",
    "freeze",
    "die",
    "cut_cloud",
    "cut_one_way",
    "cut_users",
    "boots",
    "polls",
    "deaf",
    "late_copies",
    "alone",
    "reborn",
    "late_writes",
    "store_slow",
    "held_orders",
    "mute",
    "close_looks",
    "cancel_at_end",
    "cancel_now",
    "odd_requests",
    "state_limits",
];

pub(super) fn known_zone(t: &Section<'_>, scenario: &Scenario) -> String {
    let zone = t.text("zone", None);
    if !scenario.zones.contains(&zone) {
        t.fault(
            "zone",
            &format!(
                "no zone is called {zone}: must be one of {}",
                scenario.zones.join(", ")
            ),
        );
    }
    zone
}

pub(super) fn fault(t: &Section<'_>, scenario: &Scenario) -> Option<Fault> {
    let most = u64::from(scenario.shards) - 1;
    let host = |name: &str| t.whole(name, 0, most, None) as usize;
    let at_s = t.number("at_s", 0.0, scenario.duration_s, None);
    let for_s = t.number("for_s", 0.0, scenario.duration_s - at_s, Some(5.0));
    let trouble = match t.word("kind", &KINDS.map(|kind| (kind, kind)), None)? {
        "crash" => Trouble::Crash {
            host: t.has("controller").then(|| host("controller")),
        },
        "roll" => Trouble::Roll,
        "store_down" => Trouble::StoreDown,
        "refused" if t.flag("carried", false) => Trouble::Cut(Link::Barred(host("controller"))),
        "refused" => Trouble::Cut(Link::Store(host("controller"))),
        "cloud_down" => Trouble::CloudDown,
        "cut_controllers" => {
            let (a, b) = (host("controller"), host("other"));
            Trouble::Cut(Link::Hosts(a.min(b), a.max(b)))
        }
        "silent" => Trouble::Silent,
        "hang" => Trouble::Hang,
        "faulty" => Trouble::Faulty,
        "cut_zone" => Trouble::CutZone {
            zone: known_zone(t, scenario),
        },
        "cut_workers" if t.has("zone") => {
            Trouble::Cut(Link::Zone(host("controller"), known_zone(t, scenario)))
        }
        "cut_workers" => Trouble::Cut(Link::WorkerTiming(host("controller"))),
        "freeze" => Trouble::Freeze {
            host: host("controller"),
        },
        "die" => Trouble::Die,
        "cut_cloud" => Trouble::Cut(Link::Cloud(host("controller"))),
        "cut_one_way" => Trouble::Cut(Link::OneWay(host("controller"), host("other"))),
        "cut_users" => Trouble::Cut(Link::Users(host("controller"))),
        "boots" => Trouble::Boots {
            factor: t.number("factor", 0.001, 1_000.0, Some(1.0)),
            zone: t.has("zone").then(|| known_zone(t, scenario)),
        },
        "polls" => Trouble::Polls {
            factor: t.number("factor", 1.0, 1_000.0, None),
        },
        "deaf" => {
            let only = t
                .has("only")
                .then(|| t.word("only", &[("answers", true), ("commands", false)], None))
                .flatten();
            Trouble::Deaf {
                zone: t.has("zone").then(|| known_zone(t, scenario)),
                host: t.has("controller").then(|| host("controller")),
                answers: only != Some(false),
                commands: only != Some(true),
            }
        }
        "late_copies" => {
            let for_next = t.flag("for_next", false);
            Trouble::LateCopies {
                seconds: Seconds::read_or(t, for_next.then_some(KEPT_COPIES)),
                for_next,
            }
        }
        "alone" => Trouble::Alone {
            host: host("controller"),
        },
        "reborn" => Trouble::Reborn,
        "late_writes" => Trouble::LateWrites {
            at_once: t.flag("at_once", false),
        },
        "mute" => Trouble::Mute {
            zone: t.has("zone").then(|| known_zone(t, scenario)),
        },
        "close_looks" => Trouble::CloseLooks,
        "cancel_at_end" => Trouble::CancelAtEnd,
        "cancel_now" => Trouble::CancelNow {
            count: t.whole("count", 1, 100_000, Some(10)) as usize,
            hang_s: t.number("hang_s", 0.0, 3_600.0, Some(0.0)),
        },
        "odd_requests" => Trouble::OddRequests,
        "state_limits" => Trouble::KvStoreLimits,
        "store_slow" => Trouble::StoreSlow {
            seconds: Seconds::read(t),
        },
        "held_orders" => Trouble::HeldOrders {
            seconds: Seconds::read(t),
        },
        _ => Trouble::TakeSpot {
            notice_s: t.number("notice_s", 0.0, 3_600.0, Some(0.0)),
        },
    };
    let usual_share = if matches!(trouble, Trouble::Boots { .. }) {
        0.0
    } else {
        0.1
    };
    Some(Fault {
        trouble,
        at_s,
        for_s,
        share: t.number("share", 0.0, 1.0, Some(usual_share)),
        flap_s: t.number("flap_s", 0.0, 1e6, Some(0.0)),
    })
}
