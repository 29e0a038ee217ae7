use super::*;

const DAY_MS: u64 = 1_790_000_000_000;

#[test]
fn reading_time_is_recovered_and_never_extended() {
    for began in (0..40_000).step_by(700).map(|ms| DAY_MS + ms) {
        let token = 77 << MACHINE_TOKEN_BITS
            | next_fence(reading_bits(began)).expect("the fence counter is not full");
        for later in [0, 1_000, 30_000, 59_000] {
            let until = renewable_until(token, began + later, 250).expect("a reading");
            assert!(until <= began + MAX_STORE_OUTAGE_GRACE_MS - 500, "{until}");
            assert!(
                until + READING_STEP_MS + 1_500 > began + MAX_STORE_OUTAGE_GRACE_MS,
                "{until}"
            );
        }
    }
    assert_eq!(
        renewable_until(77 << MACHINE_TOKEN_BITS | 5, DAY_MS, 250),
        None,
        "the token holds no reading"
    );
}

/// The clock of the predecessor may be ahead of the one that decodes its token.
#[test]
fn reading_of_a_fast_clock_is_not_taken_for_one_of_weeks_ago() {
    let began = DAY_MS / READING_STEP_MS * READING_STEP_MS;
    let until = renewable_until(reading_bits(began), began - 400, 250).expect("a reading");
    assert!(until > began + 50_000 && until < began + MAX_STORE_OUTAGE_GRACE_MS);
}

fn renewed_fence(fence: u64, began_wall_ms: u64) -> Option<u64> {
    let reading = LeaseReading {
        began_wall_ms,
        outage: false,
    };
    reading.renewed_fence(fence)
}

#[test]
fn store_outage_gives_workers_a_newer_reading() {
    let first = renewed_fence(0, DAY_MS).expect("no reading yet");
    let outage = |began_wall_ms| LeaseReading {
        began_wall_ms,
        outage: true,
    };
    let later_ms = DAY_MS + LEASE_RENEWAL_IN_OUTAGE_MS + READING_STEP_MS;
    assert_eq!(renewed_fence(first, later_ms), None);
    assert!(outage(later_ms).renewed_fence(first).expect("renewed") > first);
    let earlier_ms = DAY_MS + LEASE_RENEWAL_IN_OUTAGE_MS - READING_STEP_MS;
    assert_eq!(outage(earlier_ms).renewed_fence(first), None);
    // A token that rises anyway holds the newest reading, and never decreases.
    assert_eq!(outage(DAY_MS).raised_fence(first), None);
    assert!(outage(DAY_MS + READING_STEP_MS).raised_fence(first) > Some(first));
}

#[test]
fn tokens_only_rise_and_a_full_counter_stops() {
    let first = renewed_fence(0, DAY_MS).expect("no reading yet");
    assert_eq!(
        renewed_fence(first, DAY_MS + LEASE_RENEWAL_MS - READING_STEP_MS),
        None
    );
    let mut fence = first;
    while let Some(next) = next_fence(fence) {
        assert!(next > fence);
        fence = next;
    }
    assert_eq!(
        renewable_until(fence, DAY_MS, 0),
        renewable_until(first, DAY_MS, 0),
        "the fence counter extends no lease"
    );
    assert!(
        renewed_fence(fence, DAY_MS + LEASE_RENEWAL_MS + READING_STEP_MS).expect("later") > fence
    );
    // When the encoded time wraps, no token decreases.
    assert_eq!(
        renewed_fence(
            reading_bits(READING_STEPS * READING_STEP_MS - 1),
            READING_STEPS * READING_STEP_MS + 1
        ),
        None
    );
    // Without a reading, the counter may exceed its bits.
    assert_eq!(
        next_fence(1 << FENCE_COUNTER_BITS),
        Some((1 << FENCE_COUNTER_BITS) + 1)
    );
}
