//! What a controller that starts inside a partition, without an answer of the store, may
//! still do for its workers: renew their leases for as long as its predecessor could.
//!
//! An owner at its shard's home tells each worker, in the low bits of its token, when the
//! reading of the store began that last showed it as the leader. The worker shows that
//! token to whoever it sends heartbeats to. A later process of the same host knows that
//! this owner is no more, so that nobody infers anything from that owner's own replies any
//! longer; and whoever acquires the shard does so after that reading. What a successor
//! infers from time allows for replies up to [`MAX_STORE_OUTAGE_GRACE_MS`] after the reading, whoever
//! gives them (`docs/design.md`, proof of end). Until then the new process replies with
//! the worker's own token and no commands.
//!
//! The low bits of a token, from the highest: whether it holds a time, the time in steps
//! of [`READING_STEP_MS`], and the fence counter.

use crate::machine::LEASE_MARGIN_MS;
use lemonweir_model::constants::{MACHINE_TOKEN_BITS, MAX_STORE_OUTAGE_GRACE_MS};

/// Bits of the fence counter: calls of unknown outcome between two lease renewals, which
/// are some seconds apart or, without the store, a minute.
const FENCE_COUNTER_BITS: u32 = 7;
/// ms of time of day that the reading's time is told in: its 20 bits come round after 48
/// days, of which a shard led for so long stops telling it until it is acquired anew.
const READING_STEP_MS: u64 = 4_000;
/// ms by which the reading that a worker's token tells may be older than the newest before
/// the token is renewed. Each renewal makes the worker send one more heartbeat.
const LEASE_RENEWAL_MS: u64 = 12_000;

/// Marks a token that tells the time of a reading.
const HAS_READING: u64 = 1 << (MACHINE_TOKEN_BITS - 1);
/// Times that are told apart.
const READING_STEPS: u64 = 1 << (MACHINE_TOKEN_BITS - 1 - FENCE_COUNTER_BITS);

/// The low bits of a token that tells a reading which began at `wall_ms`, in time of day.
fn reading_bits(wall_ms: u64) -> u64 {
    HAS_READING | (wall_ms / READING_STEP_MS % READING_STEPS) << FENCE_COUNTER_BITS
}

/// The low bits of a worker's token for a reading that began at `wall_ms`, in time of day,
/// if its present ones are too old and the new ones higher: tokens never go back.
pub(crate) fn renewed(fence: u64, wall_ms: u64) -> Option<u64> {
    let new = reading_bits(wall_ms);
    let renewal = (LEASE_RENEWAL_MS / READING_STEP_MS) << FENCE_COUNTER_BITS;
    (new >= fence.saturating_add(renewal)).then_some(new)
}

/// The next fence; `None`: it would read as a later reading.
pub(crate) fn raised(fence: u64) -> Option<u64> {
    let full = (1 << FENCE_COUNTER_BITS) - 1;
    (fence & HAS_READING == 0 || fence & full != full).then_some(fence + 1)
}

/// The time of day, ms, until which the lease of a worker that shows this token may be
/// renewed, by a clock that reads `wall_ms` and is off by `clock_error_ms` at most.
pub(crate) fn renewable_until(token: u64, wall_ms: u64, clock_error_ms: u64) -> Option<u64> {
    let low = token & ((1 << MACHINE_TOKEN_BITS) - 1);
    if low & HAS_READING == 0 {
        return None;
    }
    // The latest time with these bits that is not in the future.
    let (step, now) = (
        low >> FENCE_COUNTER_BITS & (READING_STEPS - 1),
        wall_ms.saturating_add(2 * clock_error_ms) / READING_STEP_MS,
    );
    let began = now.checked_sub((now % READING_STEPS + READING_STEPS - step) % READING_STEPS)?
        * READING_STEP_MS;
    // Both clocks may be off, that of the predecessor and ours.
    (began + MAX_STORE_OUTAGE_GRACE_MS).checked_sub(2 * clock_error_ms + LEASE_MARGIN_MS)
}

#[cfg(test)]
mod tests;
