//! What may be believed of a machine, and what has reached it.
//!
//! What comes from a worker may be old: a report that was held back, a copy of one
//! that was answered long ago, or the last word of a machine that has been back
//! since, empty, and counts from the start. What goes to a worker may not arrive.
//! One [`WorkerIncarnation`] for each machine judges both from what the messages themselves
//! show: session and number, which only rise in one incarnation of a worker, and the
//! highest token that it has seen, which only rises too and which this owner
//! chooses.
//!
//! * **Current.** A message proves what is now if it shows a token that this owner has
//!   given, or is the answer to a call that it made, and its sequence are higher than
//!   all before. Anything else is unverified, which starts and ends nothing.
//! * **A restart.** A token that was first given after a number was seen can't be
//!   shown under that number or a lower one, unless the worker counts from the start
//!   again. From then on only a token that is higher than all its earlier incarnation
//!   can have shown is believed, so no copy from that one is.
//! * **What has reached it.** A worker has one report in flight and drops answers
//!   that come after it gave the report up. So a later report that shows a lower
//!   token than the answer to the one before gave proves that this answer never
//!   reached it; one that shows a token which only answers have given proves that
//!   one did. Where nothing is proven its conduct tells: one that was answered comes
//!   again within its interval and the same way.

use crate::machine::Timing;
use crate::worker_lease;
use lemonweir_model::constants::*;
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
    /// That of a report.
    pub(crate) fn of(report: &Heartbeat) -> Self {
        Self {
            session: report.session,
            number: report.seq,
        }
    }

    /// True before any message was believed.
    fn is_none(self) -> bool {
        self == Self::default()
    }
}

/// How a message of a worker came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A report that the worker sent by itself, by a controller of this number if
    /// not directly.
    Heartbeat(Option<u16>),
    /// The answer to a call.
    CallResponse,
}

/// What a message of a worker is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// How it is now, as far as anybody can know.
    Current,
    /// The same, of a worker that counts from the start again: all that its earlier
    /// life had is gone.
    Restarted,
    /// Older than what is known.
    Stale,
    /// It may be older than this owner, or of an earlier life.
    Unverified,
}

/// Whether answers reach a machine, as far as this owner can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// It acts as one that was answered.
    Reachable,
    /// It acted as one that was not; the next token tells.
    Suspected,
    /// The last answer has not reached it.
    Unreachable,
}

/// The answer to the newest report.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    at: u64,
    route: Option<u16>,
    token: u64,
}

/// What was only heard of a machine.
#[derive(Clone, Copy, Debug)]
struct Unverified {
    session: u64,
    first: u64,
    last: u64,
}

/// The exchange with one machine.
#[derive(Debug)]
pub(crate) struct WorkerIncarnation {
    /// Lowest token of this owner.
    base_token: u64,
    /// Lowest token that a report must show to be believed.
    trusted_from: u64,
    /// Numbers of the newest message that was believed, and the token it showed.
    newest: MessageSequence,
    highest_token: u64,
    /// Numbers of the newest report among these.
    newest_heartbeat: MessageSequence,
    /// Below the part's token: raised with a promise, to fence orders whose fate is
    /// unknown, and to learn whether answers arrive.
    fence: u64,
    /// The fence before, while the present one is for answers alone.
    fence_before_probe: Option<u64>,
    /// The present token, and the newest sequence when it was chosen.
    mark: (u64, MessageSequence),
    raised_at: u64,
    /// Highest token that a call has carried.
    highest_call_token: u64,
    /// Newest sequence when the call under route was made.
    newest_at_call: MessageSequence,
    /// When this life was first believed, ms.
    first_seen_at: Option<u64>,
    reachability: Reachability,
    last_reply: Option<LastReply>,
    /// Until when answers were given that may have reached it, or its session may have
    /// begun, ms: its lease runs from then at the latest.
    lease_from: Option<u64>,
    /// When the last answer was given that reached it, by token or conduct, ms.
    last_delivered_at: Option<u64>,
    unverified: Option<Unverified>,
}

impl WorkerIncarnation {
    /// Nothing was heard yet. `base_token`: the lowest token of this owner.
    pub(crate) fn new(base_token: u64, now: u64) -> Self {
        Self {
            base_token,
            trusted_from: base_token,
            newest: MessageSequence::default(),
            highest_token: 0,
            newest_heartbeat: MessageSequence::default(),
            fence: 0,
            fence_before_probe: None,
            mark: (base_token, MessageSequence::default()),
            raised_at: now,
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

    // ---- what came -------------------------------------------------------------

    /// What a message is worth.
    pub(crate) fn classify(
        &self,
        sequence: MessageSequence,
        token: u64,
        origin: Origin,
    ) -> Freshness {
        let lower = token < self.highest_token;
        match origin {
            // Nothing of a worker that has seen a later owner is ours to judge.
            _ if token >> FENCE_BITS > self.base_token >> FENCE_BITS => Freshness::Unverified,
            // It was written after the call was made, when these were known.
            Origin::CallResponse if sequence <= self.newest_at_call => Freshness::Restarted,
            Origin::Heartbeat(_) if token < self.trusted_from => Freshness::Unverified,
            // In one life both rise.
            _ if sequence > self.newest && lower => Freshness::Unverified,
            _ if sequence > self.newest => Freshness::Current,
            Origin::Heartbeat(_) if token >= self.mark.0 && sequence <= self.mark.1 => {
                Freshness::Restarted
            }
            _ => Freshness::Stale,
        }
    }

    /// Takes what [`WorkerIncarnation::classify`] found to be news.
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
            Origin::CallResponse if token > self.highest_token.max(self.highest_call_token) => {
                self.confirm_reachable(token)
            }
            Origin::CallResponse => {}
        }
        // Guards against a machine that answers don't reach and whose new session only
        // the answer to a call shows: its lease runs from the session's begin, which may
        // be as late as now, whichever answers came before.
        if sequence.session > self.newest.session {
            self.lease_from = self.lease_from.max(Some(now));
        }
        self.newest = sequence;
        self.highest_token = token;
        self.last_delivered_at.get_or_insert(now);
        self.first_seen_at.get_or_insert(now);
    }

    /// The worker counts from the start again: its sequence and answers are others'.
    /// Guards against copies of reports from its earlier life, which have higher
    /// sequence: whatever that has shown is below the token that is given from now
    /// on.
    pub(crate) fn reset_after_restart(&mut self, origin: Origin, now: u64) {
        (
            self.newest,
            self.newest_heartbeat,
            self.newest_at_call,
            self.highest_token,
        ) = (
            MessageSequence::default(),
            MessageSequence::default(),
            MessageSequence::default(),
            0,
        );
        (
            self.last_reply,
            self.fence_before_probe,
            self.last_delivered_at,
            self.first_seen_at,
        ) = (None, None, None, None);
        // That a call reached it says nothing of answers.
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

    /// A report that is late all the same tells what reached the worker, if no later
    /// one has come: only the answer to a call was newer.
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

    /// Notes a hint. True if it is to be asked whether it is so.
    pub(crate) fn record_unverified(&mut self, sequence: MessageSequence, now: u64) -> bool {
        if !self.newest.is_none() {
            return false;
        }
        let first = self.unverified.map_or(now, |h| h.first);
        self.unverified = Some(Unverified {
            session: sequence.session,
            first,
            last: now,
        });
        true
    }

    /// A report came that is not the newest, as a copy would be, or one of a new life.
    /// If it is that, the next one shows a token that was chosen from now on; rarely
    /// more than one a lease half is needed, since a token that was chosen after any
    /// higher number does as well. True if nothing is to be believed of the machine
    /// before it shows that token, and it is to be asked.
    ///
    /// Guards against a new life that has not been noticed as such: what its sequence
    /// have passed of the earlier life's is held for its own, a report of that life
    /// that comes late for its newest, and an order that names the earlier life's
    /// session is executed once it has got there. A worker's first reports show no
    /// token, and in one life sequence and token rise together.
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
                    && token < self.highest_token
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
        if sequence >= self.mark.1 && now >= self.raised_at + timing.lease_ms / 2 {
            self.raise_probe(now);
        }
        false
    }

    /// A token of this owner that no life has been given since the last one began.
    fn predates_restart(&self, token: u64) -> bool {
        token >= self.base_token && token < self.trusted_from
    }

    /// A report that the worker sent after all before.
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
        // It goes on to another controller if it gets no answer. One that is carried
        // may be sent to us by its carrier.
        let rerouted = route != last.route && route.is_some();
        let unusual = rerouted || now > last.at + timing.unanswered_after_ms();
        if token < last.token {
            self.reachability = Reachability::Unreachable;
        } else if token > self.highest_token.max(self.highest_call_token) {
            self.last_delivered_at = Some(last.at);
            self.confirm_reachable(token);
        } else if unusual || self.reachability != Reachability::Reachable {
            if self.reachability == Reachability::Reachable {
                self.reachability = Reachability::Suspected;
            }
            // Without a token to tell by, its conduct does.
            if !self.raise_probe(now) && !unusual {
                self.reachability = Reachability::Reachable;
            }
        } else {
            self.last_delivered_at = Some(last.at);
        }
    }

    /// It shows a token that only answers have given.
    fn confirm_reachable(&mut self, token: u64) {
        if self.last_reply.is_none_or(|last| token >= last.token) {
            self.last_delivered_at = self
                .last_delivered_at
                .max(self.last_reply.map(|last| last.at));
            (self.reachability, self.fence_before_probe) = (Reachability::Reachable, None);
        }
    }

    // ---- what goes out -----------------------------------------------------------

    fn raise(&mut self, fence: u64, now: u64) {
        self.fence = fence;
        self.mark = (self.base_token + fence, self.newest);
        self.raised_at = now;
    }

    /// Raises the token for answers alone. False if it can't rise now.
    fn raise_probe(&mut self, now: u64) -> bool {
        let Some(fence) = worker_lease::raised(self.fence) else {
            return false;
        };
        self.fence_before_probe.get_or_insert(self.fence);
        self.raise(fence, now);
        true
    }

    /// Promises the worker that the reading which showed us as the owner began
    /// then, in time of day.
    pub(crate) fn renew_lease(&mut self, wall_ms: u64, now: u64) {
        if let Some(fence) = worker_lease::renewed(self.fence, wall_ms) {
            self.raise(fence, now);
        }
    }

    /// A call with this token may be executed late: from now on a higher one is
    /// given.
    pub(crate) fn fence_call(&mut self, sent: u64, now: u64) {
        self.fence_before_probe = None;
        // No call goes out with a token that can't rise; were it so, the machine
        // would stay ambiguous until it is promised anew.
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

    /// The token of an answer.
    pub(crate) fn reply_token(&self) -> u64 {
        self.base_token + self.fence
    }

    /// A call is about to be made; its token. While a token is to tell whether
    /// answers arrive, calls don't carry it.
    pub(crate) fn begin_call(&mut self) -> u64 {
        let token = self
            .highest_token
            .max(self.base_token + self.fence_before_probe.unwrap_or(self.fence));
        self.highest_call_token = self.highest_call_token.max(token);
        self.newest_at_call = self.newest;
        token
    }

    /// A report is answered with [`WorkerIncarnation::reply_token`].
    pub(crate) fn record_reply(
        &mut self,
        sequence: MessageSequence,
        token: u64,
        route: Option<u16>,
        now: u64,
    ) {
        let answer = LastReply {
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
        // One that the worker has given up can't be waited for, unless by a new life,
        // which shows no token or one of the last.
        if newest
            || self.newest.is_none()
            || sequence > self.newest_heartbeat
            || token == 0
            || token >= self.highest_token
        {
            self.lease_from = self.lease_from.max(Some(now));
        }
        // A worker in its first exchanges has not shown the token that counts.
        if newest || self.newest.is_none() || sequence > self.newest && token >= self.highest_token
        {
            self.last_reply = Some(answer);
        }
    }

    /// This process stood still: what came late meanwhile tells nothing.
    pub(crate) fn handle_stall(&mut self) {
        self.last_reply = None;
    }

    // ---- what is known -----------------------------------------------------------

    /// The worker's session.
    pub(crate) fn session(&self) -> u64 {
        self.newest.session
    }

    /// The session to ask in.
    pub(crate) fn call_session(&self) -> u64 {
        self.unverified.map_or(self.newest.session, |h| h.session)
    }

    /// Highest token that the worker has shown.
    pub(crate) fn shown_token(&self) -> u64 {
        self.highest_token
    }

    /// It has shown a token that only this owner can have given, in this life.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.is_trusted_token(self.highest_token)
    }

    /// A report with this token shows one of this owner's, and of this life.
    pub(crate) fn is_trusted_token(&self, token: u64) -> bool {
        token >= self.trusted_from
    }

    /// When its lease may have begun to run anew at the latest, ms.
    pub(crate) fn lease_from(&self) -> Option<u64> {
        self.lease_from
    }

    /// Its lease has surely run out.
    pub(crate) fn clear_lease(&mut self) {
        self.lease_from = None;
    }

    /// Something may be started there. `word`: when the last reading of the store began
    /// that showed us as the owner.
    ///
    /// Guards against an owner that has been superseded without knowing: its successor
    /// proves ends by what the machine has seen, and a new life has seen nothing. One
    /// that was there before the reading had shown the successor's token to nobody.
    pub(crate) fn may_launch(&self, store_answer_at: u64) -> bool {
        self.is_reachable()
            && self
                .first_seen_at
                .is_some_and(|born| store_answer_at > born)
    }

    /// Answers reach it, as far as anybody can tell.
    pub(crate) fn is_reachable(&self) -> bool {
        self.reachability == Reachability::Reachable
    }

    /// Since when no answer has reached it, ms, if that is proven.
    pub(crate) fn unreachable_since(&self) -> Option<u64> {
        (self.reachability == Reachability::Unreachable)
            .then_some(self.last_delivered_at.unwrap_or(0))
    }

    /// When it was first and last heard of, ms, if nothing of it was news.
    pub(crate) fn unverified_since(&self) -> Option<(u64, u64)> {
        self.unverified.map(|h| (h.first, h.last))
    }
}

#[cfg(test)]
mod model;
