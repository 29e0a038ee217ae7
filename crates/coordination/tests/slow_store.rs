//! Slow answers of the store don't count as an outage; missing answers do.

#[path = "support/controllers.rs"]
mod controllers;
mod support;

use controllers::settings;
use lemonweir_coordination::{Config, Core};
use lemonweir_model::constants::{
    CACHE_REFRESH_IDLE_MS, STORE_TIMEOUT_MS, UNREADY_AFTER_STORE_SILENCE_MS,
};
use lemonweir_protocol::links::Service;

fn core() -> Core {
    let mut core = Core::new(
        Config::new(&settings(1)),
        lemonweir_policy::embedded().expect("policy"),
    );
    core.cache.load_snapshot(&[], 50);
    core.set_catalog(Default::default());
    core
}

/// Start and end times of consecutive cache refreshes, each answered after `took` ms, with the
/// usual pause in between.
fn refreshes(took: u64, until: u64) -> Vec<(u64, u64)> {
    let mut all = Vec::new();
    let mut began = 10_000;
    while began + took < until {
        all.push((began, began + took));
        began += took + CACHE_REFRESH_IDLE_MS;
    }
    all
}

/// While every refresh is answered in time, however slowly, the controller stays ready and accepts
/// submissions.
#[test]
fn slow_answers_are_no_outage() {
    for took in [5, 300, 800, 950, 1_200, 1_490] {
        let mut core = core();
        let mut next = refreshes(took, 60_000).into_iter().peekable();
        let (mut answered, mut checked) = (0, 0);
        for now in (10_000..59_000).step_by(10) {
            while let Some((began, ended)) = next.next_if(|(_, ended)| *ended <= now) {
                core.links
                    .record_latency(Service::Store, ended - began, ended);
                core.cache_refreshed(began, false);
            }
            if now > 14_000 {
                checked += 1;
                answered += usize::from(core.links.store_answered_recently(now) && core.ready(now));
            }
        }
        assert_eq!(answered, checked, "answers after {took} ms");
    }
}

/// Once answers stop, the outage is detected after the usual time plus the latency of one answer.
#[test]
fn outage_after_slow_answers_is_detected_within_seconds() {
    for took in [5, 1_490] {
        let mut core = core();
        core.links.record_latency(Service::Store, took, 20_000);
        core.cache_refreshed(20_000 - took, false);
        let last_answer = 20_000 - took;
        assert!(
            core.links
                .store_answered_recently(last_answer + UNREADY_AFTER_STORE_SILENCE_MS)
        );
        assert!(
            !core
                .links
                .store_answered_recently(last_answer + UNREADY_AFTER_STORE_SILENCE_MS + took + 1)
        );
    }
}

/// The age of a refresh counts from its start: a slow answer makes it no newer, and a refresh that
/// ends after a newer one changes nothing.
#[test]
fn refresh_age_counts_from_its_start() {
    let mut core = core();
    core.cache_refreshed(20_000, false);
    core.links
        .record_latency(Service::Store, STORE_TIMEOUT_MS, 24_000);
    assert!(
        !core.links.store_answered_recently(
            20_000 + UNREADY_AFTER_STORE_SILENCE_MS + STORE_TIMEOUT_MS + 1
        )
    );
    core.cache_refreshed(30_000, false);
    core.cache_refreshed(26_000, false);
    assert!(
        core.links
            .store_answered_recently(30_000 + UNREADY_AFTER_STORE_SILENCE_MS)
    );
    // A relayed answer slower than the store timeout extends the limit by no more than that.
    core.links.record_latency(Service::Store, 60_000, 31_000);
    assert!(
        !core.links.store_answered_recently(
            30_000 + UNREADY_AFTER_STORE_SILENCE_MS + STORE_TIMEOUT_MS + 1
        )
    );
}
