//! Workers' reports and calls to workers: who answers, for how long without word from the
//! store, and after this process stood still.

use tracing::warn;

use crate::links::{MisroutedHeartbeat, MisroutedHeartbeatAction};
use crate::owner::{CommandCall, CommandResult};
use crate::{Core, HeartbeatAnswer, ShardLease, incarnation, worker_lease};
use lemonweir_model::constants::*;
use lemonweir_protocol::worker::{Heartbeat, HeartbeatResponse};

impl Core {
    // ---- standing still ------------------------------------------------------

    /// Something happens: notes whether this process stood still before it.
    pub(crate) fn awake(&mut self, now: u64) {
        if let Some(gap) = self.pause.pass(now) {
            self.stood_still(gap, now);
        }
    }

    pub(crate) fn stood_still(&mut self, gap: u64, now: u64) {
        self.links
            .note(now, format!("this controller stood still for {gap} ms"));
        self.links.stood_still(gap, now);
        for shard in self.shards.values_mut() {
            shard.owner.stood_still(gap, now);
        }
    }

    /// True if this process stood still for so long that another may hold what it
    /// held, and the store has not shown otherwise yet.
    pub fn unproven(&self) -> bool {
        self.pause.unproven(self.links.store_heard())
    }

    /// A worker reported.
    pub fn report(&mut self, report: &Heartbeat, now: u64) -> HeartbeatAnswer {
        self.awake(now);
        // A zone that nobody knows is no link.
        let known = self.config.zones.contains(&report.zone);
        if !known && self.odd_zones.len() < ODD_ZONES && self.odd_zones.insert(report.zone.clone())
        {
            warn!(machine = %report.machine, zone = report.zone, "machine of a zone that is not in the settings");
        }
        let shard = self.config.shard_of(&report.zone, &report.machine);
        if self.cache.revision.is_none() && shard == self.config.me {
            self.links.came(&report.zone, known, now);
            return self.keep_promise(report, now);
        }
        if let Some(shard) = self.shards.get(&shard) {
            self.links
                .came(&report.zone, known && shard.owner.is_news(report), now);
        }
        if self.shards.contains_key(&shard) {
            return self.answer_report(report, shard, None, now);
        }
        let (again, news) = self.links.strays.came(
            shard,
            &report.machine,
            incarnation::MessageSequence::of(report),
            now,
        );
        self.links.came(&report.zone, known && news, now);
        let members = &self.config.members;
        let holder = self
            .cache
            .shard_leaders
            .get(&shard)
            .filter(|h| h.host != members[usize::from(self.config.me)].host);
        let Some((number, holder)) =
            holder.and_then(|h| Some((members.iter().position(|m| m.host == h.host)? as u16, h)))
        else {
            return HeartbeatAnswer::Unable;
        };
        let knows = report.fencing_token >> FENCE_BITS == holder.fencing_token;
        let stray = MisroutedHeartbeat {
            shard,
            holder: number,
            zone: &report.zone,
            machine: &report.machine,
            again,
            knows,
        };
        match self.links.stray(&stray, now) {
            MisroutedHeartbeatAction::Carry => HeartbeatAnswer::Carry(number),
            MisroutedHeartbeatAction::Send => HeartbeatAnswer::Elsewhere(holder.host.clone()),
            MisroutedHeartbeatAction::Unable => HeartbeatAnswer::Unable,
        }
    }

    /// A worker of our home's part came to a process that has had no word from
    /// the store yet.
    pub(crate) fn keep_promise(&self, report: &Heartbeat, now: u64) -> HeartbeatAnswer {
        let wall = now + self.config.wall_offset_ms;
        match worker_lease::kept_until(report.fencing_token, wall, self.config.clock_off_ms) {
            Some(until) if wall <= until => HeartbeatAnswer::Orders(HeartbeatResponse {
                fencing_token: report.fencing_token,
                commands: Vec::new(),
            }),
            _ => HeartbeatAnswer::Unable,
        }
    }

    /// The time of day at the steady clock's `now`, ms: the two drift apart.
    pub fn set_clock(&mut self, now: u64, wall_ms: u64) {
        let offset = wall_ms.saturating_sub(now);
        let jump =
            offset.saturating_sub(std::mem::replace(&mut self.config.wall_offset_ms, offset));
        // Guards against a pause in which the steady clock stood: only the time of
        // day tells of it, as far as that is right.
        if jump > 2 * self.config.clock_off_ms + STOOD_STILL_MS {
            let gap = self.pause.stood(jump, now);
            self.stood_still(gap, now);
        }
    }

    /// Another controller carries a worker's report here. Only an owner answers
    /// it: nothing is carried on.
    pub fn carried_report(&mut self, report: &Heartbeat, by: u16, now: u64) -> HeartbeatAnswer {
        self.awake(now);
        let shard = self.config.shard_of(&report.zone, &report.machine);
        self.answer_report(report, shard, Some(by), now)
    }

    pub(crate) fn answer_report(
        &mut self,
        report: &Heartbeat,
        shard: u16,
        by: Option<u16>,
        now: u64,
    ) -> HeartbeatAnswer {
        let blind = self.blind(now);
        let began = self
            .links
            .store_heard()
            .map(|at| at + self.config.wall_offset_ms);
        let at_home = shard == self.config.me;
        match self.shards.get_mut(&shard) {
            Some(shard) if !blind => {
                if let Some(began) = began.filter(|_| at_home) {
                    shard.owner.promise(&report.machine, began, now);
                }
                shard
                    .owner
                    .report(report, by, now)
                    .map_or(HeartbeatAnswer::Unable, HeartbeatAnswer::Orders)
            }
            _ => HeartbeatAnswer::Unable,
        }
    }

    /// Too long without word from the store to act for a part, or none since a
    /// pause.
    pub(crate) fn blind(&self, now: u64) -> bool {
        self.unproven()
            || self
                .links
                .store_heard()
                .is_none_or(|at| now > at + self.blind_ms())
    }

    /// True if this controller has had no word from the store for as long as its hold
    /// lives. Its workers are answered all the same, but another may have its part by
    /// now, and what that has proven over must not be started here.
    pub(crate) fn outlived(&self, now: u64) -> bool {
        self.links.store_age(now) > HOLD_TTL_MS
    }

    /// ms after the last word from the store for which reports are answered.
    /// Without it withdrawals may be asked for that we don't see; none is told
    /// to its user before its last attempt is proven over (`Job::finished`), so
    /// what runs on meanwhile breaks no promise.
    pub(crate) fn blind_ms(&self) -> u64 {
        let alike = self.cache.controllers.values().all(|n| n.peer_version >= PEER_VERSION);
        if alike {
            self.policy.store_outage_grace_ms
        } else {
            self.config.short_blind_ms.min(self.policy.store_outage_grace_ms)
        }
    }

    /// A call to a worker ended.
    pub fn command_done(
        &mut self,
        lease: ShardLease,
        call: &CommandCall,
        result: CommandResult,
        now: u64,
    ) {
        self.calls = self.calls.saturating_sub(1);
        if let Some(shard) = self.shard(lease) {
            shard.owner.call_done(call, result, now);
        }
    }
}
