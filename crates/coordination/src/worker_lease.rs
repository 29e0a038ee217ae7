//! What a controller that starts inside a cut, with no word from the store, may
//! still do for its workers: keep them alive for as long as its predecessor
//! promised.
//!
//! An owner at its part's home tells each worker, in the low bits of its token,
//! when the reading of the store began that last showed it as the owner. The
//! worker shows that token to whoever it reports to. A later process of the same
//! host knows that this owner is no more, so that nobody infers anything from
//! that owner's own answers any longer; and whoever takes the part takes it after
//! that reading. What a successor infers from time allows for answers up to
//! [`BLIND_MOST_MS`] after the reading, whoever gives them (`docs/design.md`,
//! proof of end). Until then the new process answers with the worker's own token
//! and no orders.

use lemonweir_model::constants::*;

/// Marks a token that holds a promise.
const PROMISED: u64 = 1 << (FENCE_BITS - 1);
/// Steps that are told apart.
const STEPS: u64 = 1 << (FENCE_BITS - 1 - COUNTER_BITS);

/// The low bits of a token that promises: the reading began at `wall_ms`, in time
/// of day.
fn promise(wall_ms: u64) -> u64 {
    PROMISED | (wall_ms / PROMISE_STEP_MS % STEPS) << COUNTER_BITS
}

/// The low bits of a machine's token for a reading that began then, if its
/// present ones are too old and the new ones higher: tokens never go back.
pub(crate) fn renewed(fence: u64, wall_ms: u64) -> Option<u64> {
    let new = promise(wall_ms);
    let every = (PROMISE_EVERY_MS / PROMISE_STEP_MS) << COUNTER_BITS;
    (new >= fence.saturating_add(every)).then_some(new)
}

/// The next fence; `None`: it would read as a later promise.
pub(crate) fn raised(fence: u64) -> Option<u64> {
    let full = (1 << COUNTER_BITS) - 1;
    (fence & PROMISED == 0 || fence & full != full).then_some(fence + 1)
}

/// The time of day, ms, until which a worker that shows this token may be kept
/// alive, as told by a clock that reads `wall_ms` and is off by `off_ms` at most.
pub(crate) fn kept_until(token: u64, wall_ms: u64, off_ms: u64) -> Option<u64> {
    let low = token & ((1 << FENCE_BITS) - 1);
    if low & PROMISED == 0 {
        return None;
    }
    // The latest moment with these bits that is not to come.
    let (step, now) = (
        low >> COUNTER_BITS & (STEPS - 1),
        wall_ms.saturating_add(2 * off_ms) / PROMISE_STEP_MS,
    );
    let began = now.checked_sub((now % STEPS + STEPS - step) % STEPS)? * PROMISE_STEP_MS;
    // Both clocks may be off, the one that promised and ours.
    (began + BLIND_MOST_MS).checked_sub(2 * off_ms + LEASE_MARGIN_MS)
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAY_MS: u64 = 1_790_000_000_000;

    #[test]
    fn a_promise_is_read_back_and_never_too_long() {
        for began in (0..40_000).step_by(700).map(|ms| DAY_MS + ms) {
            let token = 77 << FENCE_BITS | raised(promise(began)).expect("room");
            for later in [0, 1_000, 30_000, 59_000] {
                let until = kept_until(token, began + later, 250).expect("promised");
                assert!(until <= began + BLIND_MOST_MS - 500, "{until}");
                assert!(
                    until + PROMISE_STEP_MS + 1_500 > began + BLIND_MOST_MS,
                    "{until}"
                );
            }
        }
        assert_eq!(
            kept_until(77 << FENCE_BITS | 5, DAY_MS, 250),
            None,
            "it promises nothing"
        );
    }

    /// The clock that promised may be ahead of ours.
    #[test]
    fn a_promise_of_a_clock_ahead_is_not_taken_for_one_of_weeks_ago() {
        let began = DAY_MS / PROMISE_STEP_MS * PROMISE_STEP_MS;
        let until = kept_until(promise(began), began - 400, 250).expect("promised");
        assert!(until > began + 50_000 && until < began + BLIND_MOST_MS);
    }

    #[test]
    fn tokens_rise_and_a_full_counter_stops() {
        let first = renewed(0, DAY_MS).expect("none yet");
        assert_eq!(
            renewed(first, DAY_MS + PROMISE_EVERY_MS - PROMISE_STEP_MS),
            None
        );
        let mut fence = first;
        while let Some(next) = raised(fence) {
            assert!(next > fence);
            fence = next;
        }
        assert_eq!(
            kept_until(fence, DAY_MS, 0),
            kept_until(first, DAY_MS, 0),
            "fences promise nothing more"
        );
        assert!(
            renewed(fence, DAY_MS + PROMISE_EVERY_MS + PROMISE_STEP_MS).expect("later") > fence
        );
        // When the bits come round, no token goes back.
        assert_eq!(
            renewed(
                promise(STEPS * PROMISE_STEP_MS - 1),
                STEPS * PROMISE_STEP_MS + 1
            ),
            None
        );
        // One that promises nothing may be fenced for ever.
        assert_eq!(raised(1 << COUNTER_BITS), Some((1 << COUNTER_BITS) + 1));
    }
}
