//! Evidence of loss: what is known of the machines of a part and since when,
//! and the one judgement that everything asks which waits for a silent machine.
//!
//! A machine has shown a sign of life if it was heard, or if something on
//! record says that it ran before this owner took the part: an attempt that a
//! placer wants there, a note of its images, the cloud's list. What nobody ever
//! saw running only boots. A machine that is silent among others in sight is
//! judged for itself. Where most of a zone's machines are silent at once, the
//! zone is out of sight: that is mostly a cut, its machines run on behind it,
//! and giving them back would end what runs there and cost a boot and a fetch
//! each.

use std::collections::{BTreeMap, HashMap};

use tracing::info;

use crate::incarnation::MessageSequence;
use crate::machine::{Machine, Timing};
use lemonweir_model::MachineId;
use lemonweir_model::constants::*;
use lemonweir_protocol::peer::PartitionedZone;

/// Machines of parts that others hold which reported to this node.
#[derive(Debug)]
pub(crate) struct MisroutedHeartbeats {
    /// ms for which a report counts.
    keep_ms: u64,
    /// When each came last, with its numbers.
    by_shard: BTreeMap<u16, HashMap<MachineId, (u64, MessageSequence)>>,
}

impl MisroutedHeartbeats {
    /// None yet; each counts for two report intervals.
    pub(crate) fn new(timing: &Timing) -> Self {
        Self {
            keep_ms: 2 * timing.report_ms,
            by_shard: BTreeMap::new(),
        }
    }

    /// A machine came: whether it had come a moment ago, so that it could not reach
    /// the holder, and whether this is news. Guards against a machine that seems to
    /// come since copies of its reports do.
    pub(crate) fn came(
        &mut self,
        shard: u16,
        machine: &MachineId,
        numbers: MessageSequence,
        now: u64,
    ) -> (bool, bool) {
        let here = self.by_shard.entry(shard).or_default();
        let before = here.get(machine).filter(|(at, _)| now < at + self.keep_ms);
        let (again, news) = (
            before.is_some(),
            before.is_none_or(|(_, newest)| numbers > *newest),
        );
        if news {
            here.insert(machine.clone(), (now, numbers));
        }
        (again, news)
    }

    /// The part is ours: its machines are none.
    pub(crate) fn forget(&mut self, shard: u16) {
        self.by_shard.remove(&shard);
    }

    /// True if some came of late. Asked at every pump, so it counts none.
    pub(crate) fn any(&mut self, shard: u16, now: u64) -> bool {
        let Some(strays) = self.by_shard.get(&shard) else {
            return false;
        };
        let some = strays.values().any(|(at, _)| now <= at + self.keep_ms);
        if !some {
            self.forget(shard);
        }
        some
    }

    /// How many came of late.
    pub(crate) fn count(&mut self, shard: u16, now: u64) -> u32 {
        let Some(strays) = self.by_shard.get_mut(&shard) else {
            return 0;
        };
        strays.retain(|_, (at, _)| now <= *at + self.keep_ms);
        strays.len() as u32
    }
}

/// How a machine stands as far as this owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthVerdict {
    /// Nothing says that it ever ran.
    Booting,
    /// Heard within the usual time.
    InSight,
    /// Silent, others of its zone are not.
    Silent,
    /// Out of sight with its zone.
    Hidden,
    /// Heard within the usual time, but no answer reaches it.
    Deaf,
    /// Only a report or two that may be old tells of it.
    Hearsay,
    /// Silent for longer than it is worth waiting for.
    GiveBack,
}

/// What is known of one zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    /// Machines with a sign of life, those of them that are late, and those that are
    /// late or that no answer reaches.
    ran: usize,
    late: usize,
    lost: usize,
    /// When the leases of these have surely run out.
    over_at: u64,
    /// Silence before this moment proves nothing.
    floor: u64,
    /// Since when it is out of sight.
    hidden: Option<u64>,
    /// When it came back last.
    returned: Option<u64>,
    /// How long it was out of sight at most.
    longest_ms: u64,
}

/// What an owner knows of its zones.
#[derive(Debug)]
pub struct MachineFailureDetector {
    started: u64,
    timing: Timing,
    /// Silence from which on a machine is not in sight, ms.
    silent_ms: u64,
    zones: BTreeMap<String, Zone>,
}

impl MachineFailureDetector {
    /// The sight of an owner that takes its part now.
    pub(crate) fn new(timing: Timing, silent_ms: u64, now: u64) -> Self {
        let silent_ms = silent_ms.max(2 * timing.report_ms + SILENT_SLACK_MS);
        Self {
            started: now,
            timing,
            silent_ms,
            zones: BTreeMap::new(),
        }
    }

    /// This process stood still: silence meanwhile proves nothing.
    pub(crate) fn stood_still(&mut self, now: u64) {
        self.zones.values_mut().for_each(|z| z.floor = now);
    }

    /// ms since a machine last showed a sign of life; `None`: it never did.
    fn silence(m: &Machine, zone: &Zone, now: u64) -> Option<u64> {
        m.heard
            .or(m.ran)
            .map(|at| now.saturating_sub(at.max(zone.floor)))
    }

    /// When its lease has surely run out, if no other owner takes the part.
    fn over_at(&self, m: &Machine) -> u64 {
        let answered = m
            .worker_session
            .deaf_since()
            .or(m.worker_session.leased_at());
        answered.map_or(self.started + self.timing.inherited_ms(), |at| {
            at + self.timing.dead_after_ms()
        })
    }

    /// Looks at all machines again.
    pub(crate) fn survey<'a>(&mut self, machines: impl Iterator<Item = &'a Machine>, now: u64) {
        for zone in self.zones.values_mut() {
            (zone.ran, zone.late, zone.lost, zone.over_at) = (0, 0, 0, 0);
        }
        let late_ms = self.timing.report_ms + self.timing.report_ms / 2;
        for m in machines {
            let over_at = self.over_at(m);
            if !self.zones.contains_key(&m.zone) {
                self.zones.insert(m.zone.clone(), Zone::default());
            }
            let Some(zone) = self.zones.get_mut(&m.zone) else {
                continue;
            };
            let Some(silence) = Self::silence(m, zone, now) else {
                continue;
            };
            zone.ran += 1;
            let late = silence > late_ms;
            zone.late += usize::from(late);
            if late || m.worker_session.deaf_since().is_some() {
                zone.lost += 1;
                zone.over_at = zone.over_at.max(over_at);
            }
        }
        for (name, zone) in &mut self.zones {
            // Half of a zone does not fail machine by machine within seconds.
            // One missed report each is enough to say so, and it must be: the
            // first of them are given up for themselves soon after.
            let out = zone.lost > MASS_SILENT && zone.lost * 2 > zone.ran;
            match (zone.hidden, out) {
                (None, true) => {
                    info!(
                        zone = name,
                        lost = zone.lost,
                        of = zone.ran,
                        "zone is out of sight"
                    );
                    zone.hidden = Some(now.saturating_sub(late_ms));
                }
                (Some(since), false) => {
                    info!(
                        zone = name,
                        lost = zone.lost,
                        of = zone.ran,
                        "zone is in sight again"
                    );
                    zone.hidden = None;
                    zone.returned = Some(now);
                    zone.longest_ms = zone.longest_ms.max(now.saturating_sub(since));
                    // Guards against giving back what comes back a moment after
                    // the first half: its silence counts from now.
                    zone.floor = now;
                }
                _ => {}
            }
        }
    }

    /// Machines with a sign of life, if most of them missed a report.
    pub(crate) fn dark(&self) -> Option<usize> {
        let (ran, late) = self
            .zones
            .values()
            .fold((0, 0), |(ran, late), z| (ran + z.ran, late + z.late));
        (late > MASS_SILENT && late * 2 > ran).then_some(ran)
    }

    /// ms of silence after which a machine of a zone that is out of sight is
    /// given back. Until the lease is surely over, what runs there may run on.
    /// From then on waiting costs rent, and giving back costs a boot and a
    /// fetch: who waits for as long as that costs pays at most twice the least,
    /// whenever the cut ends; and no less than the longest cut that was seen.
    fn wait_ms(&self, m: &Machine, zone: &Zone, rebuild_ms: u64) -> u64 {
        let over_ms = if m.heard.is_some() {
            self.timing.dead_after_ms()
        } else {
            self.timing.inherited_ms()
        };
        over_ms + (2 * rebuild_ms).max(zone.longest_ms)
    }

    /// The judgement of one machine. `rebuild_ms`: what booting a new one and
    /// fetching an image takes.
    pub(crate) fn judge(&self, m: &Machine, rebuild_ms: u64, now: u64) -> HealthVerdict {
        let fallback = Zone::default();
        let zone = self.zones.get(&m.zone).unwrap_or(&fallback);
        let ordinary_ms = self.timing.dead_after_ms() + 2 * self.silent_ms;
        if m.hearsay() {
            let first = m
                .worker_session
                .only_heard_of()
                .map_or(now, |(first, _)| first);
            return if now > first + ordinary_ms {
                HealthVerdict::GiveBack
            } else {
                HealthVerdict::Hearsay
            };
        }
        let Some(silence) = Self::silence(m, zone, now) else {
            return HealthVerdict::Booting;
        };
        // Its reports show that it was not taken. Work for it has ended with its
        // lease; until then it is waited for as for one that is silent.
        if let Some(since) = m.worker_session.deaf_since() {
            let patience = if zone.hidden.is_some() {
                self.wait_ms(m, zone, rebuild_ms)
            } else {
                ordinary_ms
            };
            return match now.saturating_sub(since.max(zone.floor)) {
                ms if ms > patience => HealthVerdict::GiveBack,
                _ if silence <= self.silent_ms => HealthVerdict::Deaf,
                _ if zone.hidden.is_some() => HealthVerdict::Hidden,
                _ => HealthVerdict::Silent,
            };
        }
        if silence <= self.silent_ms {
            return HealthVerdict::InSight;
        }
        // A spot machine that is silent was mostly taken without notice. An
        // ordinary one mostly lost its network: its tasks go on until their
        // lease ends, and it may come back with its images.
        let heard_of = m
            .worker_session
            .only_heard_of()
            .is_some_and(|(_, last)| now <= last + self.silent_ms);
        let (patience, state) = match zone.hidden {
            Some(_) => (self.wait_ms(m, zone, rebuild_ms), HealthVerdict::Hidden),
            None if m.spot && !heard_of => (self.silent_ms, HealthVerdict::Silent),
            None => (ordinary_ms, HealthVerdict::Silent),
        };
        if silence > patience {
            HealthVerdict::GiveBack
        } else {
            state
        }
    }

    /// True for a machine whose zone came back a moment ago, or that ran before
    /// this owner took the part a moment ago and may know of no cut: work that was
    /// lost there is about to begin anew, so that it is empty says nothing yet.
    pub(crate) fn recovering(&self, m: &Machine, now: u64) -> bool {
        let returned = self
            .zones
            .get(&m.zone)
            .and_then(|z| z.returned)
            .is_some_and(|at| now < at + RETURN_KEEP_MS);
        returned || m.ran.is_some() && now < self.started + RETURN_KEEP_MS
    }

    /// Zones that are out of sight.
    pub(crate) fn hidden(&self, now: u64) -> Vec<PartitionedZone> {
        let told = |(name, z): (&String, &Zone)| {
            let since = z.hidden?;
            Some(PartitionedZone {
                zone: name.clone(),
                partitioned_for_ms: now.saturating_sub(since),
                presumed_lost_in_ms: z.over_at.saturating_sub(now),
            })
        };
        self.zones.iter().filter_map(told).collect()
    }

    /// True once every lease that an earlier owner of the part could prolong
    /// has surely run out (`docs/design.md`, proof of end); `word`: when the
    /// last reading of the store began that showed us as the owner.
    pub(crate) fn inherited_over(&self, word: u64) -> bool {
        word > self.started + self.timing.inherited_ms()
    }
}
