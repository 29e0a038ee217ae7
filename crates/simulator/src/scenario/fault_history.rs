//! Text form of faults in the history of a run. The digest of a history covers this text, so
//! its names stay the same when variants and fields are renamed.

use std::fmt;

use super::{FaultKind, Link, SecondsRange};

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Crash { controller } => {
                f.debug_struct("Crash").field("host", controller).finish()
            }
            Self::RollingRestart => f.write_str("Roll"),
            Self::StoreDown => f.write_str("StoreDown"),
            Self::LinkDown(link) => f.debug_tuple("Cut").field(&HistoryFormat(link)).finish(),
            Self::CloudDown => f.write_str("CloudDown"),
            Self::ZonePartition { zone } => f.debug_struct("CutZone").field("zone", zone).finish(),
            Self::ProcessStall { controller } => {
                f.debug_struct("Freeze").field("host", controller).finish()
            }
            Self::MachineLoss => f.write_str("Die"),
            Self::NetworkLoss => f.write_str("Silent"),
            Self::MachineHang => f.write_str("Hang"),
            Self::FaultyMachines => f.write_str("Faulty"),
            Self::BootTime { factor, zone } => f
                .debug_struct("Boots")
                .field("factor", factor)
                .field("zone", zone)
                .finish(),
            Self::PollLoad { factor } => f.debug_struct("Polls").field("factor", factor).finish(),
            Self::InboundLoss {
                zone,
                controller,
                answers,
                commands,
            } => f
                .debug_struct("Deaf")
                .field("zone", zone)
                .field("host", controller)
                .field("answers", answers)
                .field("commands", commands)
                .finish(),
            Self::DelayedDuplicates { seconds, retained } => f
                .debug_struct("LateCopies")
                .field("seconds", &HistoryFormat(seconds))
                .field("for_next", retained)
                .finish(),
            Self::LateWrites {
                execute_immediately,
            } => f
                .debug_struct("LateWrites")
                .field("at_once", execute_immediately)
                .finish(),
            Self::OutboundLoss { zone } => f.debug_struct("Mute").field("zone", zone).finish(),
            Self::QueryBursts => f.write_str("CloseLooks"),
            Self::CancelAtCompletion => f.write_str("CancelAtEnd"),
            Self::CancelBurst { count, hang_s } => f
                .debug_struct("CancelNow")
                .field("count", count)
                .field("hang_s", hang_s)
                .finish(),
            Self::InvalidRequests => f.write_str("OddRequests"),
            Self::StoreSlow { seconds } => f
                .debug_struct("StoreSlow")
                .field("seconds", &HistoryFormat(seconds))
                .finish(),
            Self::SlowPeerLinks {
                controller,
                seconds,
            } => f
                .debug_struct("SlowLinks")
                .field("host", controller)
                .field("seconds", &HistoryFormat(seconds))
                .finish(),
            Self::RepeatedMessages { seconds } => f
                .debug_struct("Repeated")
                .field("seconds", &HistoryFormat(seconds))
                .finish(),
            Self::DelayedCommands { seconds } => f
                .debug_struct("HeldOrders")
                .field("seconds", &HistoryFormat(seconds))
                .finish(),
            Self::ReducedStoreLimits => f.write_str("StateLimits"),
            Self::ControllerIsolated { controller } => {
                f.debug_struct("Alone").field("host", controller).finish()
            }
            Self::MachineRestart => f.write_str("Reborn"),
            Self::SpotReclaim { notice_s } => f
                .debug_struct("TakeSpot")
                .field("notice_s", notice_s)
                .finish(),
        }
    }
}

/// Formats a part of a fault under its name in the history.
struct HistoryFormat<'a, T>(&'a T);

impl fmt::Debug for HistoryFormat<'_, Link> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Link::Store(controller) => f.debug_tuple("Store").field(controller).finish(),
            Link::StoreDenied(controller) => f.debug_tuple("Barred").field(controller).finish(),
            Link::Cloud(controller) => f.debug_tuple("Cloud").field(controller).finish(),
            Link::Workers(controller) => f.debug_tuple("Workers").field(controller).finish(),
            Link::WorkersInZone(controller, zone) => {
                f.debug_tuple("Zone").field(controller).field(zone).finish()
            }
            Link::Controllers(a, b) => f.debug_tuple("Hosts").field(a).field(b).finish(),
            Link::OneWay(from, to) => f.debug_tuple("OneWay").field(from).field(to).finish(),
            Link::Users(controller) => f.debug_tuple("Users").field(controller).finish(),
        }
    }
}

impl fmt::Debug for HistoryFormat<'_, SecondsRange> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Seconds")
            .field("low", &self.0.low)
            .field("high", &self.0.high)
            .finish()
    }
}
