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
//!   given, or is the answer to a call that it made, and its numbers are higher than
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
            session: report.incarnation,
            number: report.sequence,
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
    Report(Option<u16>),
    /// The answer to a call.
    Answer,
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
    way: Option<u16>,
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
    base: u64,
    /// Lowest token that a report must show to be believed.
    floor: u64,
    /// Numbers of the newest message that was believed, and the token it showed.
    newest: MessageSequence,
    token: u64,
    /// Numbers of the newest report among these.
    report: MessageSequence,
    /// Below the part's token: raised with a promise, to fence orders whose fate is
    /// unknown, and to learn whether answers arrive.
    fence: u64,
    /// The fence before, while the present one is for answers alone.
    challenge: Option<u64>,
    /// The present token, and the newest numbers when it was chosen.
    mark: (u64, MessageSequence),
    raised_at: u64,
    /// Highest token that a call has carried.
    called: u64,
    /// Newest numbers when the call under way was made.
    asked: MessageSequence,
    /// When this life was first believed, ms.
    born: Option<u64>,
    reachability: Reachability,
    last: Option<LastReply>,
    /// Until when answers were given that may have reached it, or its session may have
    /// begun, ms: its lease runs from then at the latest.
    leased: Option<u64>,
    /// When the last answer was given that reached it, by token or conduct, ms.
    reached: Option<u64>,
    unverified: Option<Unverified>,
}

impl WorkerIncarnation {
    /// Nothing was heard yet. `base`: the lowest token of this owner.
    pub(crate) fn new(base: u64, now: u64) -> Self {
        Self {
            base,
            floor: base,
            newest: MessageSequence::default(),
            token: 0,
            report: MessageSequence::default(),
            fence: 0,
            challenge: None,
            mark: (base, MessageSequence::default()),
            raised_at: now,
            called: 0,
            asked: MessageSequence::default(),
            born: None,
            reachability: Reachability::Reachable,
            last: None,
            leased: None,
            reached: None,
            unverified: None,
        }
    }

    // ---- what came -------------------------------------------------------------

    /// What a message is worth.
    pub(crate) fn weigh(&self, numbers: MessageSequence, token: u64, origin: Origin) -> Freshness {
        let lower = token < self.token;
        match origin {
            // Nothing of a worker that has seen a later owner is ours to judge.
            _ if token >> FENCE_BITS > self.base >> FENCE_BITS => Freshness::Unverified,
            // It was written after the call was made, when these were known.
            Origin::Answer if numbers <= self.asked => Freshness::Restarted,
            Origin::Report(_) if token < self.floor => Freshness::Unverified,
            // In one life both rise.
            _ if numbers > self.newest && lower => Freshness::Unverified,
            _ if numbers > self.newest => Freshness::Current,
            Origin::Report(_) if token >= self.mark.0 && numbers <= self.mark.1 => {
                Freshness::Restarted
            }
            _ => Freshness::Stale,
        }
    }

    /// Takes what [`WorkerIncarnation::weigh`] found to be news.
    pub(crate) fn take(
        &mut self,
        numbers: MessageSequence,
        token: u64,
        origin: Origin,
        timing: &Timing,
        now: u64,
    ) {
        self.unverified = None;
        match origin {
            Origin::Report(way) => self.listen(numbers, token, way, timing, now),
            Origin::Answer if token > self.token.max(self.called) => self.proven(token),
            Origin::Answer => {}
        }
        // Guards against a machine that answers don't reach and whose new session only
        // the answer to a call shows: its lease runs from the session's begin, which may
        // be as late as now, whichever answers came before.
        if numbers.session > self.newest.session {
            self.leased = self.leased.max(Some(now));
        }
        self.newest = numbers;
        self.token = token;
        self.reached.get_or_insert(now);
        self.born.get_or_insert(now);
    }

    /// The worker counts from the start again: its numbers and answers are others'.
    /// Guards against copies of reports from its earlier life, which have higher
    /// numbers: whatever that has shown is below the token that is given from now
    /// on.
    pub(crate) fn reborn(&mut self, origin: Origin, now: u64) {
        (self.newest, self.report, self.asked, self.token) = (
            MessageSequence::default(),
            MessageSequence::default(),
            MessageSequence::default(),
            0,
        );
        (self.last, self.challenge, self.reached, self.born) = (None, None, None, None);
        // That a call reached it says nothing of answers.
        self.reachability = if origin == Origin::Answer {
            Reachability::Suspected
        } else {
            Reachability::Reachable
        };
        let raised = worker_lease::raised(self.fence);
        if let Some(fence) = raised {
            self.raise(fence, now);
        }
        self.floor = self.base + self.fence + u64::from(raised.is_none());
    }

    /// A report that is late all the same tells what reached the worker, if no later
    /// one has come: only the answer to a call was newer.
    pub(crate) fn overtaken(
        &mut self,
        numbers: MessageSequence,
        token: u64,
        way: Option<u16>,
        timing: &Timing,
        now: u64,
    ) {
        if numbers > self.report && token >= self.floor {
            self.listen(numbers, token, way, timing, now);
        }
    }

    /// Notes a hint. True if it is to be asked whether it is so.
    pub(crate) fn heard_of(&mut self, numbers: MessageSequence, now: u64) -> bool {
        if !self.newest.is_none() {
            return false;
        }
        let first = self.unverified.map_or(now, |h| h.first);
        self.unverified = Some(Unverified {
            session: numbers.session,
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
    /// Guards against a new life that has not been noticed as such: what its numbers
    /// have passed of the earlier life's is held for its own, a report of that life
    /// that comes late for its newest, and an order that names the earlier life's
    /// session is executed once it has got there. A worker's first reports show no
    /// token, and in one life numbers and token rise together.
    pub(crate) fn suspect(
        &mut self,
        numbers: MessageSequence,
        token: u64,
        timing: &Timing,
        now: u64,
    ) -> bool {
        if !self.newest.is_none()
            && (token == 0 || numbers > self.newest && token < self.token && !self.outlived(token))
        {
            self.born = self.born.map(|_| now);
            let Some(fence) = worker_lease::raised(self.fence) else {
                return false;
            };
            self.challenge = None;
            self.raise(fence, now);
            self.floor = self.answer_token();
            return true;
        }
        if numbers >= self.mark.1 && now >= self.raised_at + timing.lease_ms / 2 {
            self.dare(now);
        }
        false
    }

    /// A token of this owner that no life has been given since the last one began.
    fn outlived(&self, token: u64) -> bool {
        token >= self.base && token < self.floor
    }

    /// A report that the worker sent after all before.
    fn listen(
        &mut self,
        numbers: MessageSequence,
        token: u64,
        way: Option<u16>,
        timing: &Timing,
        now: u64,
    ) {
        self.report = numbers;
        let Some(last) = self.last.take() else {
            if self.reachability != Reachability::Reachable && !self.dare(now) {
                self.reachability = Reachability::Reachable;
            }
            return;
        };
        // It goes on to another controller if it gets no answer. One that is carried
        // may be sent to us by its carrier.
        let turned = way != last.way && way.is_some();
        let odd = turned || now > last.at + timing.unanswered_ms();
        if token < last.token {
            self.reachability = Reachability::Unreachable;
        } else if token > self.token.max(self.called) {
            self.reached = Some(last.at);
            self.proven(token);
        } else if odd || self.reachability != Reachability::Reachable {
            if self.reachability == Reachability::Reachable {
                self.reachability = Reachability::Suspected;
            }
            // Without a token to tell by, its conduct does.
            if !self.dare(now) && !odd {
                self.reachability = Reachability::Reachable;
            }
        } else {
            self.reached = Some(last.at);
        }
    }

    /// It shows a token that only answers have given.
    fn proven(&mut self, token: u64) {
        if self.last.is_none_or(|last| token >= last.token) {
            self.reached = self.reached.max(self.last.map(|last| last.at));
            (self.reachability, self.challenge) = (Reachability::Reachable, None);
        }
    }

    // ---- what goes out -----------------------------------------------------------

    fn raise(&mut self, fence: u64, now: u64) {
        self.fence = fence;
        self.mark = (self.base + fence, self.newest);
        self.raised_at = now;
    }

    /// Raises the token for answers alone. False if it can't rise now.
    fn dare(&mut self, now: u64) -> bool {
        let Some(fence) = worker_lease::raised(self.fence) else {
            return false;
        };
        self.challenge.get_or_insert(self.fence);
        self.raise(fence, now);
        true
    }

    /// Promises the worker that the reading which showed us as the owner began
    /// then, in time of day.
    pub(crate) fn promise(&mut self, wall_ms: u64, now: u64) {
        if let Some(fence) = worker_lease::renewed(self.fence, wall_ms) {
            self.raise(fence, now);
        }
    }

    /// A call with this token may be executed late: from now on a higher one is
    /// given.
    pub(crate) fn fence_off(&mut self, sent: u64, now: u64) {
        self.challenge = None;
        // No call goes out with a token that can't rise; were it so, the machine
        // would stay ambiguous until it is promised anew.
        if let Some(fence) = worker_lease::raised(self.fence.max(sent.saturating_sub(self.base))) {
            self.raise(fence, now);
        }
    }

    /// True if the token could rise after a call.
    pub(crate) fn fences(&self) -> bool {
        worker_lease::raised(self.fence).is_some()
    }

    /// The token of an answer.
    pub(crate) fn answer_token(&self) -> u64 {
        self.base + self.fence
    }

    /// A call is about to be made; its token. While a token is to tell whether
    /// answers arrive, calls don't carry it.
    pub(crate) fn call(&mut self) -> u64 {
        let token = self
            .token
            .max(self.base + self.challenge.unwrap_or(self.fence));
        self.called = self.called.max(token);
        self.asked = self.newest;
        token
    }

    /// A report is answered with [`WorkerIncarnation::answer_token`].
    pub(crate) fn answered(
        &mut self,
        numbers: MessageSequence,
        token: u64,
        way: Option<u16>,
        now: u64,
    ) {
        let answer = LastReply {
            at: now,
            way,
            token: self.answer_token(),
        };
        let newest = numbers == self.report && token != 0;
        if newest && self.last.is_some() {
            // A copy of one that was answered: its lease runs from when it was
            // sent, which was before the first of them came.
            return;
        }
        // One that the worker has given up can't be waited for, unless by a new life,
        // which shows no token or one of the last.
        if newest
            || self.newest.is_none()
            || numbers > self.report
            || token == 0
            || token >= self.token
        {
            self.leased = self.leased.max(Some(now));
        }
        // A worker in its first exchanges has not shown the token that counts.
        if newest || self.newest.is_none() || numbers > self.newest && token >= self.token {
            self.last = Some(answer);
        }
    }

    /// This process stood still: what came late meanwhile tells nothing.
    pub(crate) fn stood_still(&mut self) {
        self.last = None;
    }

    // ---- what is known -----------------------------------------------------------

    /// The worker's session.
    pub(crate) fn session(&self) -> u64 {
        self.newest.session
    }

    /// The session to ask in.
    pub(crate) fn session_to_ask(&self) -> u64 {
        self.unverified.map_or(self.newest.session, |h| h.session)
    }

    /// Highest token that the worker has shown.
    pub(crate) fn shown(&self) -> u64 {
        self.token
    }

    /// It has shown a token that only this owner can have given, in this life.
    pub(crate) fn fresh(&self) -> bool {
        self.ours(self.token)
    }

    /// A report with this token shows one of this owner's, and of this life.
    pub(crate) fn ours(&self, token: u64) -> bool {
        token >= self.floor
    }

    /// When its lease may have begun to run anew at the latest, ms.
    pub(crate) fn leased_at(&self) -> Option<u64> {
        self.leased
    }

    /// Its lease has surely run out.
    pub(crate) fn over(&mut self) {
        self.leased = None;
    }

    /// Something may be started there. `word`: when the last reading of the store began
    /// that showed us as the owner.
    ///
    /// Guards against an owner that has been superseded without knowing: its successor
    /// proves ends by what the machine has seen, and a new life has seen nothing. One
    /// that was there before the reading had shown the successor's token to nobody.
    pub(crate) fn may_start(&self, word: u64) -> bool {
        self.hears() && self.born.is_some_and(|born| word > born)
    }

    /// Answers reach it, as far as anybody can tell.
    pub(crate) fn hears(&self) -> bool {
        self.reachability == Reachability::Reachable
    }

    /// Since when no answer has reached it, ms, if that is proven.
    pub(crate) fn deaf_since(&self) -> Option<u64> {
        (self.reachability == Reachability::Unreachable).then_some(self.reached.unwrap_or(0))
    }

    /// When it was first and last heard of, ms, if nothing of it was news.
    pub(crate) fn only_heard_of(&self) -> Option<(u64, u64)> {
        self.unverified.map(|h| (h.first, h.last))
    }
}

#[cfg(test)]
mod model;
