//! Workers' heartbeats and the results of calls to workers: which controller answers a
//! heartbeat, and for how long it does so without an answer from the store or after a stall
//! of this process.

use tracing::warn;

use crate::links::{MisroutedHeartbeat, MisroutedHeartbeatAction};
use crate::misrouted_heartbeats::MisroutedArrival;
use crate::owner::{CommandCall, CommandResult, HeartbeatDecision, Owner, ReleasedReply};
use crate::process_stall::STALL_MS;
use crate::worker_lease::LeaseReading;
use crate::{Core, Effect, HeartbeatAnswer, ShardLease, incarnation, worker_lease};
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, PEER_VERSION, STORE_LEASE_TTL_MS};
use lemonweir_protocol::worker::{Heartbeat, HeartbeatResponse};

/// ms without an answer of the store after which workers are given its last reading: several reads
/// have gone unanswered then.
const STORE_SILENCE_MS: u64 = 1_000;
/// Maximum number of zones missing from the settings that are logged, each once.
const LOGGED_UNKNOWN_ZONES_MAX: usize = 64;

impl HeartbeatAnswer {
    fn from_response(response: Option<HeartbeatResponse>) -> Self {
        response.map_or(Self::Unavailable, Self::Commands)
    }
}

fn answer_effect(reply: ReleasedReply) -> Effect {
    let answer = HeartbeatAnswer::from_response(reply.response);
    Effect::AnswerHeartbeat(reply.heartbeat, answer)
}

impl Core {
    // ---- process stalls --------------------------------------------------------

    /// Records an event at `now` and handles the stall of this process before it, if any.
    pub(crate) fn detect_stall(&mut self, now: u64) {
        if let Some(gap) = self.stall.record_event(now) {
            self.apply_stall(gap, now);
        }
    }

    fn apply_stall(&mut self, gap: u64, now: u64) {
        self.links
            .record_event(now, format!("this controller stalled for {gap} ms"));
        self.links.apply_stall(gap, now);
        self.peer_progress.handle_stall(now);
        for shard in self.shards.values_mut() {
            shard.owner.handle_stall(gap, now);
        }
    }

    /// True if this process stalled for so long that another controller may lead its shards,
    /// and the store has not confirmed its leases since.
    pub fn lease_unconfirmed(&self) -> bool {
        self.stall.lease_unconfirmed(self.links.last_store_answer())
    }

    /// Sets the time of day, ms, that corresponds to `now` of the steady clock. The two drift
    /// apart, so this is called regularly.
    pub fn set_wall_clock(&mut self, now: u64, wall_ms: u64) {
        let offset = wall_ms.saturating_sub(now);
        let jump = offset.saturating_sub(std::mem::replace(
            &mut self.config.wall_clock_offset_ms,
            offset,
        ));
        // A stall in which the steady clock stood still shows only in the time of day, within
        // the error of that clock.
        if jump > 2 * self.config.max_clock_offset_ms + STALL_MS {
            let gap = self.stall.record_stall(jump, now);
            self.apply_stall(gap, now);
        }
    }

    // ---- heartbeats ------------------------------------------------------------

    /// Handles a worker's heartbeat.
    pub fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, now: u64) -> HeartbeatAnswer {
        self.detect_stall(now);
        let zone_known = self.check_zone(heartbeat);
        let index = self.config.shard_of(&heartbeat.zone, &heartbeat.machine);
        if self.cache.revision.is_none() && index == self.config.own_index {
            self.links
                .record_heartbeat(&heartbeat.zone, zone_known, now);
            return self.confirm_worker_lease(heartbeat, now);
        }
        if let Some(shard) = self.shards.get(&index) {
            let fresh = zone_known && shard.owner.is_current(heartbeat);
            self.links.record_heartbeat(&heartbeat.zone, fresh, now);
            return self.answer_direct_heartbeat(heartbeat, index, now);
        }
        self.handle_misrouted_heartbeat(heartbeat, index, zone_known, now)
    }

    /// True if the settings name the worker's zone. Heartbeats from an unknown zone don't
    /// count for the state of any link.
    fn check_zone(&mut self, heartbeat: &Heartbeat) -> bool {
        let known = self.config.zones.contains(&heartbeat.zone);
        if !known
            && self.unknown_zones.len() < LOGGED_UNKNOWN_ZONES_MAX
            && self.unknown_zones.insert(heartbeat.zone.clone())
        {
            warn!(machine = %heartbeat.machine, zone = heartbeat.zone, "zone not in the settings");
        }
        known
    }

    /// Handles a heartbeat of a worker whose shard this controller does not lead.
    fn handle_misrouted_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        shard: u16,
        zone_known: bool,
        now: u64,
    ) -> HeartbeatAnswer {
        let MisroutedArrival {
            repeated,
            is_new: fresh,
        } = self.links.misrouted.record(
            shard,
            &heartbeat.machine,
            incarnation::MessageSequence::from_heartbeat(heartbeat),
            now,
        );
        self.links
            .record_heartbeat(&heartbeat.zone, zone_known && fresh, now);
        let members = &self.config.members;
        let own_host = &members[usize::from(self.config.own_index)].host;
        let leader = self.cache.shard_leaders.get(&shard);
        let Some(leader) = leader.filter(|leader| leader.host != *own_host) else {
            return HeartbeatAnswer::Unavailable;
        };
        let Some(number) = members.iter().position(|m| m.host == leader.host) else {
            return HeartbeatAnswer::Unavailable;
        };
        let misrouted = MisroutedHeartbeat {
            shard,
            leader: number as u16,
            zone: &heartbeat.zone,
            machine: &heartbeat.machine,
            repeated,
            knows_leader: heartbeat.fencing_token >> MACHINE_TOKEN_BITS == leader.fencing_token,
        };
        match self.links.route_misrouted(&misrouted, now) {
            MisroutedHeartbeatAction::Relay => HeartbeatAnswer::Relay(misrouted.leader),
            MisroutedHeartbeatAction::Redirect => HeartbeatAnswer::Redirect(leader.host.clone()),
            MisroutedHeartbeatAction::Unavailable => HeartbeatAnswer::Unavailable,
        }
    }

    /// Answers a worker of this controller's home shard before the store has answered this
    /// process: renews the worker's lease, without commands, for as long as the reading in the
    /// worker's token allows.
    fn confirm_worker_lease(&self, heartbeat: &Heartbeat, now: u64) -> HeartbeatAnswer {
        let wall = now + self.config.wall_clock_offset_ms;
        match worker_lease::renewable_until(
            heartbeat.fencing_token,
            wall,
            self.config.max_clock_offset_ms,
        ) {
            Some(until) if wall <= until => HeartbeatAnswer::Commands(HeartbeatResponse {
                fencing_token: heartbeat.fencing_token,
                commands: Vec::new(),
            }),
            _ => HeartbeatAnswer::Unavailable,
        }
    }

    /// Handles a worker's heartbeat that another controller relays. Only the shard's owner
    /// answers it: no heartbeat is relayed twice.
    pub fn handle_relayed_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        relayed_by: u16,
        now: u64,
    ) -> HeartbeatAnswer {
        self.detect_stall(now);
        let shard = self.config.shard_of(&heartbeat.zone, &heartbeat.machine);
        self.answer_heartbeat(heartbeat, shard, Some(relayed_by), now)
    }

    /// Answers a heartbeat that came directly, or holds the answer for a launch.
    fn answer_direct_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        index: u16,
        now: u64,
    ) -> HeartbeatAnswer {
        let Some(owner) = self.answering_owner(index, now) else {
            return HeartbeatAnswer::Unavailable;
        };
        let Some(receipt) = owner.receive_heartbeat(heartbeat, None, now) else {
            return HeartbeatAnswer::Unavailable;
        };
        match owner.reply_or_hold(receipt, now) {
            HeartbeatDecision::Held => HeartbeatAnswer::Held,
            HeartbeatDecision::Reply(response) => HeartbeatAnswer::from_response(response),
        }
    }

    /// Answers a relayed heartbeat, at once since its relay waits for a whole batch of answers.
    fn answer_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        index: u16,
        relayed_by: Option<u16>,
        now: u64,
    ) -> HeartbeatAnswer {
        let response = self
            .answering_owner(index, now)
            .and_then(|owner| owner.handle_heartbeat(heartbeat, relayed_by, now));
        HeartbeatAnswer::from_response(response)
    }

    /// The owner of a shard, if it may answer heartbeats now.
    fn answering_owner(&mut self, index: u16, now: u64) -> Option<&mut Owner> {
        if self.store_outage_grace_exceeded(now) {
            return None;
        }
        let reading = self.lease_reading(index, now);
        let owner = &mut self.shards.get_mut(&index)?.owner;
        if let Some(reading) = reading {
            owner.set_lease_reading(reading);
        }
        Some(owner)
    }

    /// The last reading of the store, for the tokens of this controller's home shard.
    fn lease_reading(&self, index: u16, now: u64) -> Option<LeaseReading> {
        let began = self.links.last_store_answer()?;
        (index == self.config.own_index).then(|| LeaseReading {
            began_wall_ms: began + self.config.wall_clock_offset_ms,
            outage: self.links.store_age(now) > STORE_SILENCE_MS,
        })
    }

    /// Emits the answers to held heartbeats of a shard that are due.
    pub(crate) fn flush_held_answers(&mut self, index: u16, now: u64, effects: &mut Vec<Effect>) {
        let replies = match self.answering_owner(index, now) {
            Some(owner) => owner.due_replies(now),
            None => self
                .shards
                .get_mut(&index)
                .map(|shard| shard.owner.refuse_held())
                .unwrap_or_default(),
        };
        effects.extend(replies.into_iter().map(answer_effect));
    }

    // ---- store outages ---------------------------------------------------------

    /// True if the store has not answered for too long to act for a shard, or has not
    /// confirmed the leases since a stall.
    pub(crate) fn store_outage_grace_exceeded(&self, now: u64) -> bool {
        self.lease_unconfirmed()
            || self
                .links
                .last_store_answer()
                .is_none_or(|at| now > at + self.store_outage_grace_ms())
    }

    /// True if this controller has had no answer from the store for longer than the time to
    /// live of its store lease. Its workers are still answered, but another controller may lead
    /// the shard by now, and attempts that the new leader has proven to have ended must not be
    /// started here.
    pub(crate) fn store_lease_may_have_expired(&self, now: u64) -> bool {
        self.links.store_age(now) > STORE_LEASE_TTL_MS
    }

    /// ms after the last answer of the store for which heartbeats are answered; at most the
    /// mixed-version setting while a controller of an earlier peer version is live.
    ///
    /// Cancellations requested meanwhile may go unseen here. No job is reported to its user as
    /// cancelled before its last attempt is proven to have ended (`Job::writable_end`), so
    /// attempts that run on meanwhile break no guarantee.
    fn store_outage_grace_ms(&self) -> u64 {
        let same_format = self
            .cache
            .controllers
            .values()
            .all(|n| n.peer_version >= PEER_VERSION);
        if same_format {
            self.policy.store_outage_grace_ms
        } else {
            self.config
                .mixed_version_store_outage_grace_ms
                .min(self.policy.store_outage_grace_ms)
        }
    }

    /// Handles the result of a command call to a worker.
    pub fn command_completed(
        &mut self,
        lease: ShardLease,
        call: &CommandCall,
        result: CommandResult,
        now: u64,
    ) {
        self.commands_in_flight = self.commands_in_flight.saturating_sub(1);
        if let Some(shard) = self.shard_under(lease) {
            shard.owner.handle_call_result(call, result, now);
        }
    }
}
