//! One incarnation of a worker: which of its messages are current, and which replies and
//! calls have reached it.
//!
//! A worker's message may be old: a heartbeat that was delayed, a copy of one that was
//! answered long ago, or the last one of a machine that has restarted since and numbers its
//! messages from the start. A message to a worker may get lost. One [`WorkerIncarnation`] for
//! each machine decides both questions from what the messages themselves show: their session
//! and number, which only rise within one incarnation of a worker, and the highest token that
//! the worker has seen, which this owner chooses and which only rises too.
//!
//! * **Currency.** A message is current if it shows a token that this owner has given, or
//!   answers a call that this owner made, and if its sequence is higher than all before. Any
//!   other message is stale or unverified, and starts and ends nothing.
//! * **Restarts.** A token first given after a sequence was seen can't be shown under that
//!   sequence or a lower one, unless the worker numbers its messages from the start again.
//!   After a restart, only tokens higher than any that the earlier incarnation can have shown
//!   are trusted, so no copy of a message of that incarnation is.
//! * **Delivery.** A worker has one heartbeat in flight and drops replies that arrive after it
//!   gave that heartbeat up. So a later heartbeat with a lower token than that of the previous
//!   reply proves that this reply never reached the worker; one with a token that only replies
//!   have carried proves that a reply did. Where nothing is proven, timing and route decide: a
//!   worker that got a reply sends its next heartbeat within its interval and by the same
//!   route.

use crate::machine::Timing;
use crate::worker_lease::{self, LeaseReading};
use lemonweir_model::constants::MACHINE_TOKEN_BITS;
use lemonweir_protocol::worker::Heartbeat;

/// ms beyond half a lease after which a raised token surely makes a worker send a heartbeat again:
/// the message that raised it before took time to arrive.
const PROMPT_MARGIN_MS: u64 = 200;

/// Session and number of a worker's message. Both only rise within one incarnation of the
/// worker; messages are ordered by session first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageSequence {
    /// Rises each time the worker's lease expires.
    pub(crate) session: u64,
    /// Rises with each message of the worker.
    pub(crate) number: u64,
}

impl MessageSequence {
    /// The sequence of a heartbeat, or of the status in the answer to a call.
    pub(crate) fn from_heartbeat(heartbeat: &Heartbeat) -> Self {
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

/// How a message of a worker reached this owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A heartbeat; `Some`: relayed by the controller of this number.
    Heartbeat(Option<u16>),
    /// The answer to a call.
    CallResponse,
}

/// How current a message of a worker is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It shows the machine's present state.
    Current,
    /// It shows the present state of a worker that numbers its messages from the start again:
    /// all that its earlier incarnation ran is gone.
    Restarted,
    /// It is older than what is known.
    Stale,
    /// It may be from before this owner's time, or from an earlier incarnation.
    Unverified,
}

/// Whether replies reach a machine, as far as this owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// It behaves like a worker that gets replies.
    Reachable,
    /// It behaved like a worker that gets none; the next token that it shows decides.
    Suspected,
    /// The last reply is proven not to have reached it.
    Unreachable,
}

/// The reply to the newest heartbeat.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    /// When it was sent, ms.
    at: u64,
    /// Controller that relayed the heartbeat; `None`: it came directly.
    route: Option<u16>,
    /// Token that the reply carried.
    token: u64,
}

/// Heartbeats of a machine none of whose messages has been current so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnverifiedHeartbeats {
    /// Session of the last one.
    session: u64,
    /// When the first one arrived, ms.
    pub(crate) first_at: u64,
    /// When the last one arrived, ms.
    pub(crate) last_at: u64,
}

/// The present token of a machine.
#[derive(Clone, Copy, Debug)]
struct IssuedToken {
    token: u64,
    /// The newest sequence when the token was chosen.
    newest: MessageSequence,
    /// When the token was chosen, ms.
    at: u64,
}

/// State of the message exchange with the present incarnation of one machine's worker. All
/// times are ms of the monotonic clock.
#[derive(Debug)]
pub(crate) struct WorkerIncarnation {
    /// Lowest token of this owner.
    base_token: u64,
    /// Lowest token that a heartbeat must show to be current.
    trusted_from: u64,
    /// Sequence of the newest message that was accepted.
    newest: MessageSequence,
    /// The token that the newest accepted message showed, which is the highest shown so far.
    shown_token: u64,
    /// Sequence of the newest heartbeat among the accepted messages and late heartbeats.
    newest_heartbeat: MessageSequence,
    /// The bits of the present token below the shard's fencing token: raised to renew the
    /// worker's lease, to fence calls of unknown outcome, and to probe whether replies arrive.
    fence: u64,
    /// The fence before the probe, while the present one is a probe that only replies carry.
    fence_before_probe: Option<u64>,
    issued: IssuedToken,
    /// Highest token that a call has carried.
    highest_call_token: u64,
    /// Highest token that a message to the worker has carried.
    highest_sent_token: u64,
    /// When a raised token was last sent that makes the worker send a heartbeat, ms.
    last_prompt_at: Option<u64>,
    /// The newest sequence when the last call was made.
    newest_at_call: MessageSequence,
    /// When this incarnation was first seen, ms.
    first_seen_at: Option<u64>,
    reachability: Reachability,
    /// The reply to the newest heartbeat; `None` once a later heartbeat was evaluated against
    /// it, or after a stall or a restart.
    last_reply: Option<LastReply>,
    /// When the last reply was sent that may have reached the worker, or when its session may
    /// have begun, ms: its lease runs from then at the latest.
    lease_from: Option<u64>,
    /// When the last reply was sent that reached the worker, judging by its token or
    /// behaviour, ms.
    last_delivered_at: Option<u64>,
    unverified: Option<UnverifiedHeartbeats>,
}

impl WorkerIncarnation {
    /// Creates the state of a worker that has sent no message yet. `base_token`: the lowest token
    /// of this owner.
    pub(crate) fn new(base_token: u64, now: u64) -> Self {
        Self {
            base_token,
            trusted_from: base_token,
            newest: MessageSequence::default(),
            shown_token: 0,
            newest_heartbeat: MessageSequence::default(),
            fence: 0,
            fence_before_probe: None,
            issued: IssuedToken {
                token: base_token,
                newest: MessageSequence::default(),
                at: now,
            },
            highest_call_token: 0,
            highest_sent_token: 0,
            last_prompt_at: None,
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

    /// Decides how current a message is.
    pub(crate) fn classify(
        &self,
        sequence: MessageSequence,
        token: u64,
        origin: Origin,
    ) -> Freshness {
        let lower = token < self.shown_token;
        match origin {
            // This owner can't judge messages of a worker that has seen a later owner.
            _ if token >> MACHINE_TOKEN_BITS > self.base_token >> MACHINE_TOKEN_BITS => {
                Freshness::Unverified
            }
            // The answer was written after the call, when `newest_at_call` was known already.
            Origin::CallResponse if sequence <= self.newest_at_call => Freshness::Restarted,
            Origin::Heartbeat(_) if token < self.trusted_from => Freshness::Unverified,
            // Within one incarnation, sequence and token rise together.
            _ if sequence > self.newest && lower => Freshness::Unverified,
            _ if sequence > self.newest => Freshness::Current,
            Origin::Heartbeat(_)
                if token >= self.issued.token && sequence <= self.issued.newest =>
            {
                Freshness::Restarted
            }
            _ => Freshness::Stale,
        }
    }

    /// Applies a message that [`WorkerIncarnation::classify`] found to be current. After a
    /// restart, [`WorkerIncarnation::reset_after_restart`] has to be called first.
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
        // Replies may not reach a machine whose new session only the answer to a call shows.
        // Its lease runs from the begin of the session, which may be as late as now, whatever
        // replies were sent before.
        if sequence.session > self.newest.session {
            self.lease_from = self.lease_from.max(Some(now));
        }
        self.newest = sequence;
        self.shown_token = token;
        self.last_delivered_at.get_or_insert(now);
        self.first_seen_at.get_or_insert(now);
    }

    /// Resets the state for a worker that numbers its messages from the start again.
    ///
    /// Copies of heartbeats of its earlier incarnation have higher numbers. They are not
    /// trusted, since all tokens that they can show are below the one given from now on.
    pub(crate) fn reset_after_restart(&mut self, origin: Origin, now: u64) {
        self.newest = MessageSequence::default();
        self.newest_heartbeat = MessageSequence::default();
        self.newest_at_call = MessageSequence::default();
        self.shown_token = 0;
        self.last_reply = None;
        self.fence_before_probe = None;
        self.last_delivered_at = None;
        self.first_seen_at = None;
        self.last_prompt_at = None;
        // A call that reached the worker does not prove that replies do.
        self.reachability = if origin == Origin::CallResponse {
            Reachability::Suspected
        } else {
            Reachability::Reachable
        };
        let next_fence = worker_lease::next_fence(self.fence);
        if let Some(fence) = next_fence {
            self.raise_token(fence, now);
        }
        self.trusted_from = self.base_token + self.fence + u64::from(next_fence.is_none());
    }

    /// Determines from a late heartbeat whether the last reply reached the worker, if only the
    /// answer to a call was newer and no later heartbeat has arrived.
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

    /// Records an unverified heartbeat, if no message has been accepted yet. True if the
    /// machine is to be queried.
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

    /// Handles a heartbeat that is not current: it may be a copy, or the first sign of a new
    /// incarnation. True if the machine is to be queried, since none of its heartbeats counts
    /// as current until it shows the token chosen now.
    ///
    /// A worker's first heartbeats show no token, and within one incarnation sequence and
    /// token rise together: a heartbeat that contradicts this is treated as a possible restart
    /// at once. Otherwise a probe token is chosen, which the next heartbeat of a new
    /// incarnation shows. One probe per half lease is mostly enough, since a token chosen
    /// after any higher number serves as well.
    ///
    /// If a new incarnation went unnoticed, its messages would be taken for the earlier one's
    /// once their sequence passes that one's, a late heartbeat of the earlier one would be
    /// taken for the new one's newest, and a command for the earlier one's session would be
    /// executed once the new one reaches that session.
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
            let Some(fence) = worker_lease::next_fence(self.fence) else {
                return false;
            };
            self.fence_before_probe = None;
            self.raise_token(fence, now);
            self.trusted_from = self.reply_token();
            return true;
        }
        if sequence >= self.issued.newest && now >= self.issued.at + timing.lease_ms / 2 {
            self.raise_probe_token(now);
        }
        false
    }

    /// True for a token of this owner that it gave only before the present incarnation began.
    fn predates_restart(&self, token: u64) -> bool {
        token >= self.base_token && token < self.trusted_from
    }

    /// Determines from a heartbeat whether the last reply reached the worker. The worker must
    /// have sent this heartbeat after all that were observed before.
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
            if self.reachability != Reachability::Reachable && !self.raise_probe_token(now) {
                self.reachability = Reachability::Reachable;
            }
            return;
        };
        // A worker that gets no reply tries another controller. A relayed worker may also be
        // redirected here by its relay, so a change to the direct route proves nothing.
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
            // If no probe token is available, the worker's behaviour decides.
            if !self.raise_probe_token(now) && !unusual {
                self.reachability = Reachability::Reachable;
            }
        } else {
            self.last_delivered_at = Some(last.at);
        }
    }

    /// Handles a token that only replies have carried: the worker is reachable, unless a later
    /// reply carried a higher token.
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

    /// Raises the token to the one with this fence.
    fn raise_token(&mut self, fence: u64, now: u64) {
        self.fence = fence;
        self.issued = IssuedToken {
            token: self.base_token + fence,
            newest: self.newest,
            at: now,
        };
    }

    /// Raises the token for replies only, as a probe whether they arrive. False if it can't
    /// rise now.
    fn raise_probe_token(&mut self, now: u64) -> bool {
        let Some(fence) = worker_lease::next_fence(self.fence) else {
            return false;
        };
        self.fence_before_probe.get_or_insert(self.fence);
        self.raise_token(fence, now);
        true
    }

    /// Renews the reading in the worker's token, unless that is recent enough.
    pub(crate) fn renew_lease(&mut self, reading: LeaseReading, now: u64) {
        if let Some(fence) = reading.renewed_fence(self.fence) {
            self.raise_token(fence, now);
        }
    }

    /// Raises the token so that a call which shows it makes the worker send a heartbeat, and renews
    /// the reading in it. Returns false if the token can't rise, or if the worker would send none: a
    /// raised token makes it do so once in half a lease.
    pub(crate) fn raise_to_wake(
        &mut self,
        reading: Option<LeaseReading>,
        timing: &Timing,
        now: u64,
    ) -> bool {
        let prompted_lately = self
            .last_prompt_at
            .is_some_and(|at| now < at + timing.lease_ms / 2 + PROMPT_MARGIN_MS);
        if prompted_lately {
            return false;
        }
        let renewed = reading.and_then(|reading| reading.raised_fence(self.fence));
        let Some(fence) = renewed.or_else(|| worker_lease::next_fence(self.fence)) else {
            return false;
        };
        self.fence_before_probe = None;
        self.raise_token(fence, now);
        true
    }

    /// Records that a message with this token is sent to the worker.
    pub(crate) fn record_sent_token(&mut self, token: u64, timing: &Timing, now: u64) {
        let counts = self
            .last_prompt_at
            .is_none_or(|at| now >= at + timing.lease_ms / 2);
        if token > self.highest_sent_token && counts {
            self.last_prompt_at = Some(now);
        }
        self.highest_sent_token = self.highest_sent_token.max(token);
    }

    /// The token that replies carry.
    pub(crate) fn reply_token(&self) -> u64 {
        self.base_token + self.fence
    }

    /// Begins a call and returns its token. Calls never carry a token that probes whether
    /// replies arrive.
    pub(crate) fn begin_call(&mut self) -> u64 {
        let token = self
            .shown_token
            .max(self.base_token + self.fence_before_probe.unwrap_or(self.fence));
        self.highest_call_token = self.highest_call_token.max(token);
        self.newest_at_call = self.newest;
        token
    }

    /// Records that a heartbeat is replied to with [`WorkerIncarnation::reply_token`].
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
            // A copy of a heartbeat that was answered: the worker's lease runs from when it was
            // sent, which was before the first copy arrived.
            return;
        }
        // The worker drops replies to heartbeats that it gave up, so they don't renew its lease.
        // A new incarnation may still wait for the reply to its heartbeat, which shows no token
        // or one no lower than `shown_token`.
        if newest
            || self.newest.is_none()
            || sequence > self.newest_heartbeat
            || token == 0
            || token >= self.shown_token
        {
            self.lease_from = self.lease_from.max(Some(now));
        }
        // A worker whose first messages are still being exchanged has not shown a trusted token.
        if newest || self.newest.is_none() || sequence > self.newest && token >= self.shown_token {
            self.last_reply = Some(reply);
        }
    }

    /// Handles a stall of this process: a late heartbeat does not show that the last reply
    /// was lost.
    pub(crate) fn handle_stall(&mut self) {
        self.last_reply = None;
    }

    /// True if the worker may still wait for the reply to this heartbeat: no later one has arrived,
    /// and it has been found to be current, or the answer to a call came from the same session since.
    pub(crate) fn awaits_reply(&self, sequence: MessageSequence) -> bool {
        let first = self.newest_heartbeat.is_none()
            && self.newest.session == sequence.session
            && self.newest.number > sequence.number;
        first || sequence == self.newest_heartbeat
    }

    // ---- state -------------------------------------------------------------------

    /// The worker's session, from its newest accepted message.
    pub(crate) fn session(&self) -> u64 {
        self.newest.session
    }

    /// The session to which a call is addressed.
    pub(crate) fn call_session(&self) -> u64 {
        self.unverified.map_or(self.newest.session, |u| u.session)
    }

    /// Highest token that this incarnation has shown.
    pub(crate) fn shown_token(&self) -> u64 {
        self.shown_token
    }

    /// True if this incarnation has shown a token that only this owner can have given it.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_trusted_token(self.shown_token)
    }

    /// True if only this owner can have given this token, and only to this incarnation.
    pub(crate) fn is_trusted_token(&self, token: u64) -> bool {
        token >= self.trusted_from
    }

    /// The latest time from which the worker's lease may run, ms.
    pub(crate) fn lease_from(&self) -> Option<u64> {
        self.lease_from
    }

    /// Records that the worker's lease must have expired.
    pub(crate) fn clear_lease(&mut self) {
        self.lease_from = None;
    }

    /// True if attempts may be launched on the machine. `store_answer_at`: when the last
    /// reading of the store began that showed this owner as the leader, ms.
    ///
    /// This owner may have been superseded without knowing. Its successor proves that attempts
    /// have ended by the token that the machine has seen, and a new incarnation has seen none.
    /// An incarnation that was first seen before the reading can't have shown a successor's
    /// token by then.
    pub(crate) fn may_launch(&self, store_answer_at: u64) -> bool {
        self.is_reachable()
            && self
                .first_seen_at
                .is_some_and(|first_seen_at| store_answer_at > first_seen_at)
    }

    /// True if replies reach the worker, as far as this owner can tell.
    pub(crate) fn is_reachable(&self) -> bool {
        self.reachability == Reachability::Reachable
    }

    /// Since when no reply has reached the worker, ms, if that is proven.
    pub(crate) fn unreachable_since(&self) -> Option<u64> {
        (self.reachability == Reachability::Unreachable)
            .then_some(self.last_delivered_at.unwrap_or(0))
    }

    /// The heartbeats received so far, if none of them was current.
    pub(crate) fn unverified_heartbeats(&self) -> Option<UnverifiedHeartbeats> {
        self.unverified
    }
}

#[cfg(test)]
mod tests;
