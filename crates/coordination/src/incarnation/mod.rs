//! One incarnation of a worker: what of its messages is current, and which replies and
//! calls have reached it.
//!
//! A message of a worker may be old: a heartbeat that was delayed, a copy of one that was
//! answered long ago, or the last one of a machine that has restarted since and counts
//! from the start. A message to a worker may not arrive. One [`WorkerIncarnation`] for
//! each machine decides both from what the messages themselves show: session and number,
//! which only rise in one incarnation of a worker, and the highest token that the worker
//! has seen, which only rises too and which this owner chooses.
//!
//! * **Current.** A message shows the present if it shows a token that this owner has
//!   given, or is the answer to a call that it made, and its sequence is higher than all
//!   before. Anything else is unverified, which starts and ends nothing.
//! * **A restart.** A token that was first given after a sequence was seen can't be shown
//!   under that sequence or a lower one, unless the worker counts from the start again.
//!   From then on only a token is trusted that is higher than all that its earlier
//!   incarnation can have shown, so no copy from that one is.
//! * **Delivery.** A worker has one heartbeat in flight and drops replies that come after
//!   it gave the heartbeat up. So a later heartbeat that shows a lower token than the
//!   reply to the one before gave proves that this reply never reached it; one that shows
//!   a token which only replies have given proves that one did. Where nothing is proven
//!   its timing and route tell: one that got a reply sends the next heartbeat within its
//!   interval and by the same route.

use crate::machine::Timing;
use crate::worker_lease;
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::worker::Heartbeat;

/// Session and number of a worker's message: both only rise in one incarnation of the
/// worker, the session first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageSequence {
    /// Counts the times that the worker's lease expired.
    pub(crate) session: u64,
    /// Counts the worker's messages.
    pub(crate) number: u64,
}

impl MessageSequence {
    /// That of a heartbeat, or of the status in the answer to a call.
    pub(crate) fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            session: heartbeat.incarnation,
            number: heartbeat.sequence,
        }
    }

    /// True before any message was accepted.
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// How a message of a worker came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A heartbeat, relayed by the controller of this number if not direct.
    Heartbeat(Option<u16>),
    /// The answer to a call.
    CallResponse,
}

/// How current a message of a worker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It shows the present.
    Current,
    /// The same, of a worker that counts from the start again: all that its earlier
    /// incarnation ran is gone.
    Restarted,
    /// Older than what is known.
    Stale,
    /// It may be older than this owner, or of an earlier incarnation.
    Unverified,
}

/// Whether replies reach a machine, as far as this owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// It behaves as one that gets replies.
    Reachable,
    /// It behaved as one that does not; the next token tells.
    Suspected,
    /// The last reply has not reached it.
    Unreachable,
}

/// The reply to the newest heartbeat.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    at: u64,
    route: Option<u16>,
    token: u64,
}

/// Heartbeats of a machine of which none is current.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnverifiedHeartbeats {
    /// Session of the last one.
    session: u64,
    /// When the first came, ms.
    pub(crate) first_at: u64,
    /// When the last came, ms.
    pub(crate) last_at: u64,
}

/// The present token of a machine.
#[derive(Clone, Copy, Debug)]
struct RaisedToken {
    token: u64,
    /// The newest sequence when it was chosen.
    newest: MessageSequence,
    /// When it was chosen, ms.
    at: u64,
}

/// The exchange of messages with one machine.
#[derive(Debug)]
pub(crate) struct WorkerIncarnation {
    /// Lowest token of this owner.
    base_token: u64,
    /// Lowest token that a heartbeat must show to be current.
    trusted_from: u64,
    /// The newest message that was accepted.
    newest: MessageSequence,
    /// The token that it showed, which is the highest.
    shown_token: u64,
    /// The newest heartbeat among these.
    newest_heartbeat: MessageSequence,
    /// The bits of the present token below the shard's: raised to renew the worker's lease,
    /// to fence calls of unknown outcome, and to probe whether replies arrive.
    fence: u64,
    /// The fence before, while the present one is a probe that only replies carry.
    fence_before_probe: Option<u64>,
    raised: RaisedToken,
    /// Highest token that a call has carried.
    highest_call_token: u64,
    /// The newest sequence when the call in progress was made.
    newest_at_call: MessageSequence,
    /// When this incarnation was first seen, ms.
    first_seen_at: Option<u64>,
    reachability: Reachability,
    last_reply: Option<LastReply>,
    /// When the last reply was given that may have reached it, or its session may have
    /// begun, ms: its lease runs from then at the latest.
    lease_from: Option<u64>,
    /// When the last reply was given that reached it, by its token or behaviour, ms.
    last_delivered_at: Option<u64>,
    unverified: Option<UnverifiedHeartbeats>,
}

impl WorkerIncarnation {
    /// No message yet. `base_token`: the lowest token of this owner.
    pub(crate) fn new(base_token: u64, now: u64) -> Self {
        Self {
            base_token,
            trusted_from: base_token,
            newest: MessageSequence::default(),
            shown_token: 0,
            newest_heartbeat: MessageSequence::default(),
            fence: 0,
            fence_before_probe: None,
            raised: RaisedToken {
                token: base_token,
                newest: MessageSequence::default(),
                at: now,
            },
            highest_call_token: 0,
            newest_at_call: MessageSequence::default(),
            first_seen_at: None,
            reachability: Reachability::Reachable,
            last_reply: None,
            lease_from: None,
            last_delivered_at: None,
            unverified: None,
        }
    }

    // ---- messages of the worker --------------------------------------------------

    /// How current a message is.
    pub(crate) fn classify(
        &self,
        sequence: MessageSequence,
        token: u64,
        origin: Origin,
    ) -> Freshness {
        let lower = token < self.shown_token;
        match origin {
            // Nothing of a worker that has seen a later owner is ours to judge.
            _ if token >> MACHINE_TOKEN_BITS > self.base_token >> MACHINE_TOKEN_BITS => {
                Freshness::Unverified
            }
            // It was written after the call was made, when these were known.
            Origin::CallResponse if sequence <= self.newest_at_call => Freshness::Restarted,
            Origin::Heartbeat(_) if token < self.trusted_from => Freshness::Unverified,
            // In one incarnation both rise.
            _ if sequence > self.newest && lower => Freshness::Unverified,
            _ if sequence > self.newest => Freshness::Current,
            Origin::Heartbeat(_)
                if token >= self.raised.token && sequence <= self.raised.newest =>
            {
                Freshness::Restarted
            }
            _ => Freshness::Stale,
        }
    }

    /// Applies a message that [`WorkerIncarnation::classify`] found to be current.
    pub(crate) fn apply(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        origin: Origin,
        timing: &Timing,
        now: u64,
    ) {
        self.unverified = None;
        match origin {
            Origin::Heartbeat(route) => self.observe_delivery(sequence, token, route, timing, now),
            Origin::CallResponse if token > self.shown_token.max(self.highest_call_token) => {
                self.confirm_reachable(token);
            }
            Origin::CallResponse => {}
        }
        // Guards against a machine that replies don't reach and whose new session only the
        // answer to a call shows: its lease runs from the session's begin, which may be as
        // late as now, whichever replies were given before.
        if sequence.session > self.newest.session {
            self.lease_from = self.lease_from.max(Some(now));
        }
        self.newest = sequence;
        self.shown_token = token;
        self.last_delivered_at.get_or_insert(now);
        self.first_seen_at.get_or_insert(now);
    }

    /// The worker counts from the start again: its sequence is another one. Guards against
    /// copies of heartbeats of its earlier incarnation, which have higher numbers: whatever
    /// that has shown is below the token that is given from now on.
    pub(crate) fn reset_after_restart(&mut self, origin: Origin, now: u64) {
        self.newest = MessageSequence::default();
        self.newest_heartbeat = MessageSequence::default();
        self.newest_at_call = MessageSequence::default();
        self.shown_token = 0;
        self.last_reply = None;
        self.fence_before_probe = None;
        self.last_delivered_at = None;
        self.first_seen_at = None;
        // That a call reached it says nothing of replies.
        self.reachability = if origin == Origin::CallResponse {
            Reachability::Suspected
        } else {
            Reachability::Reachable
        };
        let raised = worker_lease::raised(self.fence);
        if let Some(fence) = raised {
            self.raise(fence, now);
        }
        self.trusted_from = self.base_token + self.fence + u64::from(raised.is_none());
    }

    /// A late heartbeat still tells what reached the worker, if no later one has come: only
    /// the answer to a call was newer.
    pub(crate) fn apply_late_heartbeat(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        route: Option<u16>,
        timing: &Timing,
        now: u64,
    ) {
        if sequence > self.newest_heartbeat && token >= self.trusted_from {
            self.observe_delivery(sequence, token, route, timing, now);
        }
    }

    /// Records an unverified heartbeat. True if the machine is to be queried.
    pub(crate) fn record_unverified(&mut self, sequence: MessageSequence, now: u64) -> bool {
        if !self.newest.is_none() {
            return false;
        }
        let first_at = self.unverified.map_or(now, |u| u.first_at);
        self.unverified = Some(UnverifiedHeartbeats {
            session: sequence.session,
            first_at,
            last_at: now,
        });
        true
    }

    /// A heartbeat came that is not the newest, as a copy would be, or one of a new
    /// incarnation. If it is that, the next one shows a token that was chosen from now on;
    /// rarely more than one a lease half is needed, since a token that was chosen after any
    /// higher number does as well. True if nothing of the machine is current before it
    /// shows that token, and it is to be queried.
    ///
    /// Guards against a new incarnation that has not been noticed as such: what of its
    /// sequence has passed the earlier one's is taken for that one's, a late heartbeat of
    /// the earlier one for its newest, and a command that names the earlier one's session
    /// is executed once it has got there. A worker's first heartbeats show no token, and in
    /// one incarnation sequence and token rise together.
    pub(crate) fn suspect_restart(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        timing: &Timing,
        now: u64,
    ) -> bool {
        if !self.newest.is_none()
            && (token == 0
                || sequence > self.newest
                    && token < self.shown_token
                    && !self.predates_restart(token))
        {
            self.first_seen_at = self.first_seen_at.map(|_| now);
            let Some(fence) = worker_lease::raised(self.fence) else {
                return false;
            };
            self.fence_before_probe = None;
            self.raise(fence, now);
            self.trusted_from = self.reply_token();
            return true;
        }
        if sequence >= self.raised.newest && now >= self.raised.at + timing.lease_ms / 2 {
            self.raise_probe(now);
        }
        false
    }

    /// A token of this owner that was given before the present incarnation began only.
    fn predates_restart(&self, token: u64) -> bool {
        token >= self.base_token && token < self.trusted_from
    }

    /// Learns from a heartbeat that the worker sent after all before whether the last reply
    /// reached it.
    fn observe_delivery(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        route: Option<u16>,
        timing: &Timing,
        now: u64,
    ) {
        self.newest_heartbeat = sequence;
        let Some(last) = self.last_reply.take() else {
            if self.reachability != Reachability::Reachable && !self.raise_probe(now) {
                self.reachability = Reachability::Reachable;
            }
            return;
        };
        // It goes on to another controller if it gets no reply. One that is relayed may be
        // sent to us by its relay.
        let rerouted = route != last.route && route.is_some();
        let unusual = rerouted || now > last.at + timing.unanswered_after_ms();
        if token < last.token {
            self.reachability = Reachability::Unreachable;
        } else if token > self.shown_token.max(self.highest_call_token) {
            self.last_delivered_at = Some(last.at);
            self.confirm_reachable(token);
        } else if unusual || self.reachability != Reachability::Reachable {
            if self.reachability == Reachability::Reachable {
                self.reachability = Reachability::Suspected;
            }
            // Without a token to tell by, its behaviour does.
            if !self.raise_probe(now) && !unusual {
                self.reachability = Reachability::Reachable;
            }
        } else {
            self.last_delivered_at = Some(last.at);
        }
    }

    /// It shows a token that only replies have given.
    fn confirm_reachable(&mut self, token: u64) {
        if self.last_reply.is_none_or(|last| token >= last.token) {
            self.last_delivered_at = self
                .last_delivered_at
                .max(self.last_reply.map(|last| last.at));
            self.reachability = Reachability::Reachable;
            self.fence_before_probe = None;
        }
    }

    // ---- messages to the worker --------------------------------------------------

    /// Raises the token.
    fn raise(&mut self, fence: u64, now: u64) {
        self.fence = fence;
        self.raised = RaisedToken {
            token: self.base_token + fence,
            newest: self.newest,
            at: now,
        };
    }

    /// Raises the token for replies alone, as a probe. False if it can't rise now.
    fn raise_probe(&mut self, now: u64) -> bool {
        let Some(fence) = worker_lease::raised(self.fence) else {
            return false;
        };
        self.fence_before_probe.get_or_insert(self.fence);
        self.raise(fence, now);
        true
    }

    /// Renews the worker's lease: the reading of the store that showed this owner as the
    /// leader began at `wall_ms`, in time of day.
    pub(crate) fn renew_lease(&mut self, wall_ms: u64, now: u64) {
        if let Some(fence) = worker_lease::renewed(self.fence, wall_ms) {
            self.raise(fence, now);
        }
    }

    /// A call with this token may be executed late: from now on a higher one is given.
    pub(crate) fn fence_call(&mut self, sent: u64, now: u64) {
        self.fence_before_probe = None;
        // No call goes out with a token that can't rise; were it so, the call would stay
        // unresolved until the lease is renewed.
        if let Some(fence) =
            worker_lease::raised(self.fence.max(sent.saturating_sub(self.base_token)))
        {
            self.raise(fence, now);
        }
    }

    /// True if the token could rise after a call.
    pub(crate) fn can_fence(&self) -> bool {
        worker_lease::raised(self.fence).is_some()
    }

    /// The token of a reply.
    pub(crate) fn reply_token(&self) -> u64 {
        self.base_token + self.fence
    }

    /// A call is about to be made; returns its token. While a token is a probe whether
    /// replies arrive, calls don't carry it.
    pub(crate) fn begin_call(&mut self) -> u64 {
        let token = self
            .shown_token
            .max(self.base_token + self.fence_before_probe.unwrap_or(self.fence));
        self.highest_call_token = self.highest_call_token.max(token);
        self.newest_at_call = self.newest;
        token
    }

    /// A heartbeat is replied to with [`WorkerIncarnation::reply_token`].
    pub(crate) fn record_reply(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        route: Option<u16>,
        now: u64,
    ) {
        let reply = LastReply {
            at: now,
            route,
            token: self.reply_token(),
        };
        let newest = sequence == self.newest_heartbeat && token != 0;
        if newest && self.last_reply.is_some() {
            // A copy of one that was answered: its lease runs from when it was
            // sent, which was before the first of them came.
            return;
        }
        // One that the worker has given up can't be waited for, unless by a new incarnation,
        // which shows no token or one of the last.
        if newest
            || self.newest.is_none()
            || sequence > self.newest_heartbeat
            || token == 0
            || token >= self.shown_token
        {
            self.lease_from = self.lease_from.max(Some(now));
        }
        // A worker in its first exchanges has not shown the token that counts.
        if newest || self.newest.is_none() || sequence > self.newest && token >= self.shown_token {
            self.last_reply = Some(reply);
        }
    }

    /// This process was stalled: what came late meanwhile tells nothing.
    pub(crate) fn handle_stall(&mut self) {
        self.last_reply = None;
    }

    // ---- state -------------------------------------------------------------------

    /// The worker's session.
    pub(crate) fn session(&self) -> u64 {
        self.newest.session
    }

    /// The session that a call names.
    pub(crate) fn call_session(&self) -> u64 {
        self.unverified.map_or(self.newest.session, |u| u.session)
    }

    /// Highest token that the worker has shown.
    pub(crate) fn shown_token(&self) -> u64 {
        self.shown_token
    }

    /// It has shown a token that only this owner can have given, in this incarnation.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_trusted_token(self.shown_token)
    }

    /// Only this owner can have given this token, in this incarnation.
    pub(crate) fn is_trusted_token(&self, token: u64) -> bool {
        token >= self.trusted_from
    }

    /// When its lease may have been renewed at the latest, ms.
    pub(crate) fn lease_from(&self) -> Option<u64> {
        self.lease_from
    }

    /// Its lease has surely expired.
    pub(crate) fn clear_lease(&mut self) {
        self.lease_from = None;
    }

    /// Attempts may be launched there. `store_answer_at`: when the last reading of the store
    /// began that showed this owner as the leader, ms.
    ///
    /// Guards against an owner that has been superseded without knowing: its successor
    /// proves ends by what the machine has seen, and a new incarnation has seen nothing. One
    /// that was there before the reading had shown the successor's token to nobody.
    pub(crate) fn may_launch(&self, store_answer_at: u64) -> bool {
        self.is_reachable()
            && self
                .first_seen_at
                .is_some_and(|first_seen_at| store_answer_at > first_seen_at)
    }

    /// Replies reach it, as far as anybody can tell.
    pub(crate) fn is_reachable(&self) -> bool {
        self.reachability == Reachability::Reachable
    }

    /// Since when no reply has reached it, ms, if that is proven.
    pub(crate) fn unreachable_since(&self) -> Option<u64> {
        (self.reachability == Reachability::Unreachable)
            .then_some(self.last_delivered_at.unwrap_or(0))
    }

    /// The heartbeats so far, if none of them was current.
    pub(crate) fn unverified_heartbeats(&self) -> Option<UnverifiedHeartbeats> {
        self.unverified
    }
}

#[cfg(test)]
mod tests;
