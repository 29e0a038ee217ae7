//! Rules for the zones of a job's tasks.

use std::collections::{BTreeSet, HashMap};

use lemonweir_protocol::peer::AttemptState;

use super::{Job, LiveAttempt};

/// Largest number of a spread job's tasks that may be in one zone: half of them, rounded up.
pub(crate) fn max_tasks_per_zone(tasks: u32) -> u32 {
    tasks.div_ceil(2)
}

/// A rule for the zones of a job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneRule {
    /// All tasks share one zone.
    SameZone,
    /// No more than [`max_tasks_per_zone`] tasks are in one zone.
    Spread,
}

/// Which of a job's live attempts a rule counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CountedAttempts {
    /// All: none is proven to have ended.
    All,
    /// Those that are not being stopped.
    NotStopping,
}

/// Numbers of a job's attempts by zone, and the rules that they have to meet.
pub(crate) struct ZoneUsage<'a> {
    must_share_zone: bool,
    max_per_zone: u32,
    attempts: HashMap<&'a str, u32>,
}

impl ZoneUsage<'_> {
    /// The zones that restrict where the next task may start: all that are in use if the tasks
    /// must share one, and those that hold as many tasks as they may.
    pub(crate) fn restricting_zones(&self) -> BTreeSet<&str> {
        let restricts = |count: u32| self.must_share_zone || count >= self.max_per_zone;
        self.attempts
            .iter()
            .filter(|(_, count)| restricts(**count))
            .map(|(zone, _)| *zone)
            .collect()
    }

    /// The rule that the counted attempts in a zone break.
    pub(crate) fn rule_broken_in(&self, zone: &str) -> Option<ZoneRule> {
        let here = self.attempts.get(zone).copied().unwrap_or(0);
        let is_elsewhere = self.attempts.keys().any(|other| *other != zone);
        if self.must_share_zone && is_elsewhere {
            Some(ZoneRule::SameZone)
        } else {
            (here > self.max_per_zone).then_some(ZoneRule::Spread)
        }
    }
}

impl Job {
    /// Number of live attempts in each zone, without that of task `excluded`.
    pub(crate) fn attempts_per_zone(&self, excluded: Option<u32>) -> HashMap<String, u32> {
        let mut counts: HashMap<String, u32> = HashMap::new();
        for (_, live) in self
            .live
            .iter()
            .filter(|(task, _)| Some(**task) != excluded)
        {
            match counts.get_mut(&live.zone) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(live.zone.clone(), 1);
                }
            }
        }
        counts
    }

    /// The zones of its attempts, if it has a rule for them.
    pub(crate) fn zone_usage(&self, counted: CountedAttempts) -> Option<ZoneUsage<'_>> {
        let spec = self.spec()?;
        let must_share_zone = spec.same_zone && !self.is_split_service();
        let is_spread = spec.spread && self.tasks > 1;
        if !must_share_zone && !is_spread {
            return None;
        }
        let mut attempts: HashMap<&str, u32> = HashMap::new();
        for live in self.live.values() {
            if counted == CountedAttempts::All || live.stop_grace_s.is_none() {
                *attempts.entry(&live.zone).or_default() += 1;
            }
        }
        Some(ZoneUsage {
            must_share_zone,
            max_per_zone: if is_spread {
                max_tasks_per_zone(self.tasks)
            } else {
                u32::MAX
            },
            attempts,
        })
    }

    /// True if its tasks must share a zone and its attempts are in several: none can start
    /// before those of all zones but one have ended.
    pub(crate) fn awaits_single_zone(&self) -> bool {
        let mut zones = self.live.values().map(|live| &live.zone);
        self.spec().is_some_and(|spec| spec.same_zone)
            && zones
                .next()
                .is_some_and(|first| zones.any(|other| other != first))
            && !self.is_split_service()
    }

    /// True if it is a service whose replicas run in several zones. If they must share one, an
    /// earlier version started them so. They run until the service is withdrawn, so that lost
    /// replicas would never start again if they waited for a single zone.
    fn is_split_service(&self) -> bool {
        let is_running = |live: &&LiveAttempt| live.state == Some(AttemptState::Running);
        let mut zones = self.live.values().filter(is_running).map(|live| &live.zone);
        self.is_service()
            && zones
                .next()
                .is_some_and(|first| zones.any(|other| other != first))
    }
}
