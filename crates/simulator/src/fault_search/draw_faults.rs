//! Draws the faults of a run as tables of a scenario. The order of the draws must not change,
//! so that a seed gives the same run in every version.

use std::fmt::Write;
use std::ops::Range;

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::draw_site::DrawnSite;
use super::{FAULT_WINDOW_S, MAX_FAULT_DURATION_S, WARM_UP_S};

/// Shortest drawn duration of a fault, s.
const MIN_FAULT_DURATION_S: f64 = 3.0;
/// Duration of a stall over slow links, s: from shorter than a store lease to several.
const STALL_S: Range<f64> = 5.0..35.0;
/// Time for which the links stay slow after such a stall, s.
const SLOW_AFTER_STALL_S: Range<f64> = 1.0..15.0;
/// Smallest delay of a message over slow links, s; two of them take less than the timeout of
/// a call.
const LINK_DELAY_S: Range<f64> = 0.02..0.6;
/// By how much the largest delay exceeds the smallest, s.
const LINK_JITTER_S: Range<f64> = 0.0..0.2;

/// Share of the messages that are repeated.
const REPEATED_SHARE: Range<f64> = 0.1..0.6;
/// Shortest time after which a message is repeated, s.
const SHORTEST_REPEAT_DELAY_S: f64 = 0.02;
/// Longest times after which a message is repeated, s, of which one is drawn.
const LONGEST_REPEAT_DELAY_S: [f64; 5] = [1.0, 3.0, 8.0, 20.0, 60.0];
/// Time after which an ended controller is back, s.
const BACK_WITHIN_S: Range<f64> = 0.05..1.0;
/// Share of the machines that are lost at a time.
const LOST_SHARE: Range<f64> = 0.1..0.6;
/// When a controller ends after a lease has passed since a loss, s: ends of attempts are
/// learned about then, and written up to 3 s later.
const END_AFTER_PROOF_S: Range<f64> = -1.0..6.0;
/// Duration of a loss of machines beside changes of leaders, s: beyond a worker's lease.
const LONG_LOSS_S: Range<f64> = 70.0..130.0;
/// Time between two ends or stalls of controllers beside it, s.
const FAILOVER_INTERVAL_S: Range<f64> = 8.0..25.0;
/// Duration of a stall that costs a controller its shards, s.
const FAILOVER_STALL_S: Range<f64> = 8.0..16.0;
/// Share of the machines that become faulty beside repeated messages.
const FAULTY_SHARE: Range<f64> = 0.02..0.15;
/// Share of the machines that restart at a time beside repeated messages.
const RESTARTED_SHARE: f64 = 0.3;

/// Draws one or two pairs of faults, of which the second begins while the first lasts, and in
/// half of the runs another single fault.
pub(super) fn draw_faults(rng: &mut ChaCha8Rng, site: &DrawnSite) -> Vec<String> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=2) {
        let at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
        let length = draw_duration(rng);
        faults.push(draw_fault(rng, site, at, length));
        let second = (at + rng.random::<f64>() * length).min(WARM_UP_S + FAULT_WINDOW_S);
        let length = draw_duration(rng);
        faults.push(draw_fault(rng, site, second, length));
    }
    if rng.random_range(0..2) == 0 {
        faults.push(draw_single_fault(rng, site));
    }
    faults
}

/// Draws one to three stalls of a controller that may cost it its shards, each while links
/// between controllers are slow, and in half of the runs another single fault.
pub(super) fn draw_stalls_over_slow_links(rng: &mut ChaCha8Rng, site: &DrawnSite) -> Vec<String> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(1..=3) {
        let at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
        let controller = rng.random_range(0..site.controllers);
        let stall = rng.random_range(STALL_S);
        let slow = stall + rng.random_range(SLOW_AFTER_STALL_S);
        let low = rng.random_range(LINK_DELAY_S);
        let high = low + rng.random_range(LINK_JITTER_S);
        let one_controller = if rng.random::<bool>() {
            format!("controller = {controller}\n")
        } else {
            String::new()
        };
        faults.push(format!(
            "[[fault]]\nat_s = {at:.1}\nkind = 'freeze'\ncontroller = {controller}\nfor_s = {stall:.1}\n"
        ));
        faults.push(format!(
            "[[fault]]\nat_s = {at:.1}\nkind = 'slow_links'\n{one_controller}for_s = {slow:.1}\nlow_s = {low:.3}\nhigh_s = {high:.3}\n"
        ));
    }
    if rng.random::<bool>() {
        faults.push(draw_single_fault(rng, site));
    }
    faults
}

/// Draws the time at which the store lowers its limits, before or between up to three other
/// faults.
pub(super) fn draw_lowered_limits(rng: &mut ChaCha8Rng, site: &DrawnSite) -> Vec<String> {
    let lowered_at = rng.random::<f64>() * (WARM_UP_S + FAULT_WINDOW_S);
    let mut faults = vec![format!(
        "[[fault]]\nat_s = {lowered_at:.1}\nkind = 'state_limits'\nfor_s = 1\n"
    )];
    for _ in 0..rng.random_range(0..=3) {
        faults.push(draw_single_fault(rng, site));
    }
    faults
}

/// Draws a share of repeated messages for the whole run, beside ends and returns of controllers
/// within a second, faulty machines, cancellations, and one or two other faults.
pub(super) fn draw_repeated_messages(rng: &mut ChaCha8Rng, site: &DrawnSite) -> Vec<String> {
    let share = rng.random_range(REPEATED_SHARE);
    let high = LONGEST_REPEAT_DELAY_S.choose(rng).unwrap_or(&1.0);
    let repeated_s = WARM_UP_S + FAULT_WINDOW_S + MAX_FAULT_DURATION_S;
    let mut faults = vec![format!(
        "[[fault]]\nat_s = 0\nkind = 'repeated'\nshare = {share:.2}\nfor_s = {repeated_s}\nlow_s = {SHORTEST_REPEAT_DELAY_S}\nhigh_s = {high:.1}\n"
    )];
    for _ in 0..rng.random_range(2..=5) {
        let at = rng.random::<f64>() * (WARM_UP_S + FAULT_WINDOW_S);
        faults.push(draw_end_of_controllers(rng, site, at, BACK_WITHIN_S));
    }
    let faulty_at = rng.random::<f64>() * (WARM_UP_S + FAULT_WINDOW_S);
    let faulty_share = rng.random_range(FAULTY_SHARE);
    faults.push(format!(
        "[[fault]]\nat_s = {faulty_at:.1}\nkind = 'faulty'\nshare = {faulty_share:.2}\nfor_s = 1\n"
    ));
    let cancelled_at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
    faults.push(format!(
        "[[fault]]\nat_s = {cancelled_at:.1}\nkind = 'cancel_now'\ncount = {}\nfor_s = 1\n",
        1 + site.machines / 8
    ));
    for _ in 0..rng.random_range(1..=2) {
        faults.push(draw_fault_without_machine_restarts(rng, site));
    }
    faults
}

fn draw_fault_without_machine_restarts(rng: &mut ChaCha8Rng, site: &DrawnSite) -> String {
    loop {
        let fault = draw_single_fault(rng, site);
        if !fault.contains("'reborn'") {
            return fault;
        }
    }
}

/// Draws repeated messages as [`draw_repeated_messages`] does, and three restarts of machines.
pub(super) fn draw_repeated_messages_with_machine_restarts(
    rng: &mut ChaCha8Rng,
    site: &DrawnSite,
) -> Vec<String> {
    let mut faults = draw_repeated_messages(rng, site);
    for _ in 0..3 {
        let at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
        faults.push(format!(
            "[[fault]]\nat_s = {at:.1}\nkind = 'reborn'\nshare = {RESTARTED_SHARE}\nfor_s = 1\n"
        ));
    }
    faults
}

/// Draws two to four losses of machines, each with two to five ends of controllers around the time
/// at which the loss is proven, and in half of the runs another single fault.
pub(super) fn draw_losses_and_failovers(rng: &mut ChaCha8Rng, site: &DrawnSite) -> Vec<String> {
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(2..=4) {
        let at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
        let share = rng.random_range(LOST_SHARE);
        let zone = rng.random_range(0..site.zones);
        let length = site.lease_s * rng.random_range(1.2..3.0);
        let losses = [
            format!("kind = 'silent'\nshare = {share:.2}\nfor_s = {length:.1}"),
            format!("kind = 'hang'\nshare = {share:.2}\nfor_s = {length:.1}"),
            format!("kind = 'die'\nshare = {share:.2}\nfor_s = 1"),
            format!("kind = 'take_spot'\nshare = {share:.2}\nnotice_s = 0"),
            format!("kind = 'faulty'\nshare = {:.2}\nfor_s = 1", share / 4.0),
            format!("kind = 'cut_zone'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
            format!("kind = 'deaf'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
            format!("kind = 'mute'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        ];
        let loss = losses.choose(rng).map_or("", String::as_str);
        faults.push(format!("[[fault]]\nat_s = {at:.1}\n{loss}\n"));
        let proven = at + site.lease_s;
        for _ in 0..rng.random_range(2..=5) {
            let end = proven + rng.random_range(END_AFTER_PROOF_S);
            // Only a new leader whose owners are new too has to rely on the records alone.
            let fault = if rng.random::<bool>() {
                let back_after = rng.random_range(BACK_WITHIN_S);
                format!("[[fault]]\nat_s = {end:.1}\nkind = 'crash'\nfor_s = {back_after:.2}\n")
            } else {
                draw_end_of_controllers(rng, site, end, 0.05..8.0)
            };
            faults.push(fault);
        }
    }
    if rng.random::<bool>() {
        faults.push(draw_single_fault(rng, site));
    }
    faults
}

/// Draws a long loss of a zone or of machines, during which controllers end or stall one after the
/// other, and in half of the runs another single fault.
pub(super) fn draw_failovers_beside_lost_machines(
    rng: &mut ChaCha8Rng,
    site: &DrawnSite,
) -> Vec<String> {
    let lost_at = WARM_UP_S + rng.random::<f64>() * (FAULT_WINDOW_S / 2.0);
    let length = rng.random_range(LONG_LOSS_S);
    let share = rng.random_range(LOST_SHARE);
    let zone = rng.random_range(0..site.zones);
    let losses = [
        format!("kind = 'cut_zone'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        format!("kind = 'cut_zone'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        format!("kind = 'silent'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!("kind = 'hang'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!("kind = 'mute'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
    ];
    let loss = losses.choose(rng).map_or("", String::as_str);
    let mut faults = vec![format!("[[fault]]\nat_s = {lost_at:.1}\n{loss}\n")];
    let mut at = lost_at + rng.random_range(0.0..FAILOVER_INTERVAL_S.end);
    while at < lost_at + length {
        let controller = rng.random_range(0..site.controllers);
        let fault = if rng.random_range(0..4) == 0 {
            let stall = rng.random_range(FAILOVER_STALL_S);
            format!("kind = 'freeze'\ncontroller = {controller}\nfor_s = {stall:.1}")
        } else {
            let back_after = rng.random_range(0.05..8.0);
            format!("kind = 'crash'\ncontroller = {controller}\nfor_s = {back_after:.2}")
        };
        faults.push(format!("[[fault]]\nat_s = {at:.1}\n{fault}\n"));
        at += rng.random_range(FAILOVER_INTERVAL_S);
    }
    if rng.random::<bool>() {
        faults.push(draw_single_fault(rng, site));
    }
    faults
}

/// Draws the end of one controller or of all, and when it is back.
fn draw_end_of_controllers(
    rng: &mut ChaCha8Rng,
    site: &DrawnSite,
    at: f64,
    back_after_s: Range<f64>,
) -> String {
    let back_after = rng.random_range(back_after_s);
    let controller = rng.random_range(0..=site.controllers);
    // One more than there are controllers: all of them.
    let which = if controller < site.controllers {
        format!("controller = {controller}\n")
    } else {
        String::new()
    };
    format!("[[fault]]\nat_s = {at:.1}\nkind = 'crash'\n{which}for_s = {back_after:.2}\n")
}

/// Draws a fault that begins at any time of the window.
fn draw_single_fault(rng: &mut ChaCha8Rng, site: &DrawnSite) -> String {
    let at = WARM_UP_S + rng.random::<f64>() * FAULT_WINDOW_S;
    let length = draw_duration(rng);
    draw_fault(rng, site, at, length)
}

fn draw_duration(rng: &mut ChaCha8Rng) -> f64 {
    rng.random_range(MIN_FAULT_DURATION_S..MAX_FAULT_DURATION_S)
}

/// Drawn parameters of one fault; each kind uses some of them.
struct FaultParameters {
    /// Time at which it begins, s.
    at: f64,
    /// Duration, s.
    length: f64,
    controller: usize,
    /// Second controller of a link between two, or the sender of an inbound loss.
    other: usize,
    zone: usize,
    share: f64,
    /// The line that makes a link flap, or empty.
    flap: String,
    /// The lines that restrict an inbound loss, or empty.
    only: String,
    /// Duration below 1 s: of a short restart, and the scale of a slow store's delays.
    short: f64,
    /// Smallest delay, s.
    low: f64,
    /// Largest delay, s.
    high: f64,
}

/// Draws one fault as `[[fault]]` tables of a scenario.
fn draw_fault(rng: &mut ChaCha8Rng, site: &DrawnSite, at: f64, length: f64) -> String {
    let parameters = draw_parameters(rng, site, at, length);
    let kinds = candidate_kinds(rng, site, &parameters);
    let kind = kinds.choose(rng).map_or("", String::as_str);
    format!("[[fault]]\nat_s = {at:.1}\n{kind}\n")
}

fn draw_parameters(
    rng: &mut ChaCha8Rng,
    site: &DrawnSite,
    at: f64,
    length: f64,
) -> FaultParameters {
    let controller = rng.random_range(0..site.controllers);
    let other = rng.random_range(0..site.controllers);
    let zone = rng.random_range(0..site.zones);
    let share = rng.random_range(0.05..0.5f64);
    let flap = if rng.random_range(0..4) == 0 {
        format!("\nflap_s = {:.1}", rng.random_range(1.0..8.0f64))
    } else {
        String::new()
    };
    let mut only = ["", "\nonly = 'answers'", "\nonly = 'commands'"]
        .choose(rng)
        .map_or(String::new(), |line| (*line).to_owned());
    if rng.random_range(0..3) == 0 {
        // Writing to a `String` can't fail.
        let _ = write!(only, "\ncontroller = {other}");
    }
    let short = rng.random_range(0.1..1.0f64);
    let low = rng.random_range(1.0..site.lease_s);
    let high = low + rng.random_range(0.0..2.0 * site.lease_s);
    FaultParameters {
        at,
        length,
        controller,
        other,
        zone,
        share,
        flap,
        only,
        short,
        low,
        high,
    }
}

/// Every kind of fault with these parameters. A kind listed twice is drawn twice as often.
fn candidate_kinds(
    rng: &mut ChaCha8Rng,
    site: &DrawnSite,
    parameters: &FaultParameters,
) -> Vec<String> {
    let FaultParameters {
        at,
        length,
        controller: a,
        other: b,
        zone,
        share,
        flap,
        only,
        short,
        low,
        high,
    } = parameters;
    let (controllers, machines) = (site.controllers, site.machines);
    vec![
        format!("kind = 'crash'\ncontroller = {a}\nfor_s = {length:.1}"),
        format!("kind = 'crash'\nfor_s = {:.1}", length.min(10.0)),
        "kind = 'roll'\nfor_s = 9".to_owned(),
        format!("kind = 'store_down'\nfor_s = {length:.1}"),
        format!("kind = 'refused'\ncontroller = {a}\nfor_s = {length:.1}{flap}"),
        format!("kind = 'cloud_down'\nfor_s = {length:.1}"),
        format!(
            "kind = 'cut_controllers'\ncontroller = {a}\nother = {b}\nfor_s = {length:.1}{flap}"
        ),
        format!("kind = 'cut_workers'\ncontroller = {a}\nfor_s = {length:.1}{flap}"),
        format!(
            "kind = 'cut_workers'\ncontroller = {a}\nzone = 'z{zone}'\nfor_s = {length:.1}{flap}"
        ),
        format!("kind = 'cut_one_way'\ncontroller = {a}\nother = {b}\nfor_s = {length:.1}{flap}"),
        format!("kind = 'cut_cloud'\ncontroller = {a}\nfor_s = {length:.1}"),
        format!("kind = 'cut_users'\ncontroller = {a}\nfor_s = {length:.1}"),
        format!(
            "kind = 'freeze'\ncontroller = {a}\nfor_s = {:.1}",
            length.min(40.0)
        ),
        format!("kind = 'cut_zone'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        format!("kind = 'cut_zone'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        format!("kind = 'silent'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!("kind = 'hang'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!("kind = 'faulty'\nshare = {:.2}\nfor_s = 1", share / 10.0),
        format!(
            "kind = 'boots'\nfactor = {}\nshare = {:.2}\nfor_s = {length:.1}",
            [0.03, 8.0].choose(rng).unwrap_or(&1.0),
            share / 2.0
        ),
        format!(
            "kind = 'polls'\nfactor = {}\nfor_s = {length:.1}",
            [8, 50].choose(rng).unwrap_or(&8)
        ),
        format!("kind = 'die'\nshare = {:.2}\nfor_s = 1", share / 2.0),
        format!(
            "kind = 'take_spot'\nshare = {share:.2}\nnotice_s = {}",
            [0, 8].choose(rng).unwrap_or(&0)
        ),
        format!("kind = 'deaf'\nshare = {share:.2}\nfor_s = {length:.1}{only}"),
        format!("kind = 'deaf'\nzone = 'z{zone}'\nfor_s = {length:.1}{only}"),
        format!(
            "kind = 'late_copies'\nshare = {:.2}\nfor_s = {length:.1}\nlow_s = {low:.1}\nhigh_s = {high:.1}",
            2.0 * share
        ),
        format!("kind = 'alone'\ncontroller = {a}\nfor_s = {length:.1}"),
        format!("kind = 'reborn'\nshare = {share:.2}\nfor_s = 1"),
        format!("kind = 'late_writes'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!(
            "kind = 'store_slow'\nfor_s = {length:.1}\nlow_s = {:.2}\nhigh_s = {:.2}",
            0.3 * short,
            3.0 * short
        ),
        format!(
            "kind = 'held_orders'\nshare = {share:.2}\nfor_s = {length:.1}\nlow_s = {low:.1}\nhigh_s = {high:.1}"
        ),
        format!("kind = 'late_writes'\nat_once = true\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!(
            "kind = 'late_copies'\nfor_next = true\nshare = {:.2}\nfor_s = {length:.1}",
            2.0 * share
        ),
        format!("kind = 'mute'\nshare = {share:.2}\nfor_s = {length:.1}"),
        format!("kind = 'mute'\nzone = 'z{zone}'\nfor_s = {length:.1}"),
        format!("kind = 'close_looks'\nfor_s = {length:.1}"),
        format!(
            "kind = 'cancel_at_end'\nshare = {:.2}\nfor_s = {length:.1}",
            2.0 * share
        ),
        format!(
            "kind = 'cancel_now'\ncount = {}\nfor_s = 1",
            1 + machines / 8
        ),
        format!(
            "kind = 'cancel_now'\ncount = {}\nhang_s = {length:.1}\nfor_s = 1",
            1 + machines / 8
        ),
        format!("kind = 'odd_requests'\nfor_s = {length:.1}"),
        "kind = 'state_limits'\nfor_s = 1".to_owned(),
        format!("kind = 'refused'\ncontroller = {a}\ncarried = true\nfor_s = {length:.1}"),
        format!("kind = 'refused'\ncontroller = {a}\ncarried = true\nfor_s = {length:.1}"),
        format!("kind = 'crash'\ncontroller = {a}\nfor_s = {short:.1}"),
        format!("kind = 'crash'\nfor_s = {short:.1}"),
        // The second controller restarts while the first one's shard is being acquired.
        format!(
            "kind = 'crash'\ncontroller = {a}\nfor_s = {:.1}\n[[fault]]\nat_s = {:.1}\nkind = 'crash'\ncontroller = {}\nfor_s = {short:.1}",
            length.max(20.0),
            at + rng.random_range(8.0..14.0),
            (a + 1) % controllers
        ),
    ]
}
