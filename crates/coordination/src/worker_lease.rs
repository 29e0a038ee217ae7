//! Worker leases across a restart without the store. A controller that starts inside a
//! partition, without an answer from the store, may renew its workers' leases for as long as
//! its predecessor could.
//!
//! An owner at its shard's home encodes a time in the low bits of each worker's token: when
//! the last reading of the store began that showed the owner as the leader. The worker shows
//! that token to every controller that it sends heartbeats to. A later process on the same
//! host knows that this owner no longer runs, so nothing is inferred any longer from the
//! owner's own replies, and any controller that acquires the shard does so after that
//! reading. What a successor infers from elapsed time allows for replies up to
//! [`MAX_STORE_OUTAGE_GRACE_MS`] after the reading, whichever process gives them
//! (`docs/design.md`, proof of end). Until then the new process replies with the worker's
//! own token and no commands.
//!
//! The low bits of a token are, from the highest: a flag for whether it holds a time, the
//! time in steps of [`READING_STEP_MS`], and the fence counter.

use crate::machine::LEASE_MARGIN_MS;
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, MAX_STORE_OUTAGE_GRACE_MS};

/// Bits of the fence counter. It has to cover the raises that probe or wake a worker between two lease
/// renewals, which are half a minute apart or, without the store, a minute.
const FENCE_COUNTER_BITS: u32 = 7;
/// Largest value of the fence counter, and the mask of its bits.
const FENCE_COUNTER_MAX: u64 = (1 << FENCE_COUNTER_BITS) - 1;
/// ms of time of day in one step of the encoded time. Its 20 bits wrap after 48 days; the
/// tokens of a shard led for so long are no longer renewed until it is acquired anew.
const READING_STEP_MS: u64 = 4_000;
/// ms by which the reading in a worker's token may be older than the newest one before the token
/// is renewed, while the store answers. Each renewal makes the worker send one more heartbeat, and
/// for half a lease no other raise of the token does.
const LEASE_RENEWAL_MS: u64 = 28_000;
/// The same while the store does not answer: a process that restarts now needs the newest reading.
const LEASE_RENEWAL_IN_OUTAGE_MS: u64 = 12_000;

/// Flag of a token that holds the time of a reading.
const HAS_READING: u64 = 1 << (MACHINE_TOKEN_BITS - 1);
/// Number of steps before the encoded time wraps.
const READING_STEPS: u64 = 1 << (MACHINE_TOKEN_BITS - 1 - FENCE_COUNTER_BITS);

/// The low bits of a token for a reading that began at `wall_ms`, in time of day.
fn reading_bits(wall_ms: u64) -> u64 {
    HAS_READING | (wall_ms / READING_STEP_MS % READING_STEPS) << FENCE_COUNTER_BITS
}

/// The last reading of the store that showed an owner as the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseReading {
    /// When it began, in time of day, ms.
    pub(crate) began_wall_ms: u64,
    /// Whether the store has not answered since for longer than usual.
    pub(crate) outage: bool,
}

impl LeaseReading {
    /// How old the reading in a worker's token may be before the token is renewed with this one, ms.
    fn renewal_ms(self) -> u64 {
        if self.outage {
            LEASE_RENEWAL_IN_OUTAGE_MS
        } else {
            LEASE_RENEWAL_MS
        }
    }

    /// The new low bits of a worker's token. `None` if the present ones, `fence`, are recent enough
    /// or the new ones would be lower: tokens never decrease.
    pub(crate) fn renewed_fence(self, fence: u64) -> Option<u64> {
        let new = reading_bits(self.began_wall_ms);
        let renewal = (self.renewal_ms() / READING_STEP_MS) << FENCE_COUNTER_BITS;
        (new >= fence.saturating_add(renewal)).then_some(new)
    }

    /// The new low bits of a token that is raised for another reason: those of this reading if they
    /// are higher.
    pub(crate) fn raised_fence(self, fence: u64) -> Option<u64> {
        let new = reading_bits(self.began_wall_ms);
        (new > fence).then_some(new)
    }
}

/// The low bits after `fence`, with the fence counter incremented. `None` if the counter is
/// full: the carry would make the token show a later reading.
pub(crate) fn next_fence(fence: u64) -> Option<u64> {
    (fence & HAS_READING == 0 || fence & FENCE_COUNTER_MAX != FENCE_COUNTER_MAX)
        .then_some(fence + 1)
}

/// The time of day, ms, until which the lease of a worker that shows this token may be
/// renewed, by a clock that reads `wall_ms` and is off by `clock_error_ms` at most. `None` if
/// the token holds no reading.
pub(crate) fn renewable_until(token: u64, wall_ms: u64, clock_error_ms: u64) -> Option<u64> {
    let low = token & ((1 << MACHINE_TOKEN_BITS) - 1);
    if low & HAS_READING == 0 {
        return None;
    }
    // The latest time with these bits that is not in the future, allowing for the error of
    // both clocks.
    let (step, now) = (
        low >> FENCE_COUNTER_BITS & (READING_STEPS - 1),
        wall_ms.saturating_add(2 * clock_error_ms) / READING_STEP_MS,
    );
    let began = now.checked_sub((now % READING_STEPS + READING_STEPS - step) % READING_STEPS)?
        * READING_STEP_MS;
    // The predecessor's clock and this one may both be off.
    (began + MAX_STORE_OUTAGE_GRACE_MS).checked_sub(2 * clock_error_ms + LEASE_MARGIN_MS)
}

#[cfg(test)]
mod tests;
