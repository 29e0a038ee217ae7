//! Worlds and troubles drawn by seed, to find broken rules and services that do
//! not come back; a day that fails is made as small as it still fails.

use std::fmt::Write;
use std::sync::Arc;

use lemonweir_model::JobKind;
use lemonweir_protocol::kv_store::from_value;
use lemonweir_storage::records::{JobRecord, job_key};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::history::History;
use crate::load;
use crate::scenario::Scenario;
use crate::world::World;

/// s before the first trouble may begin: the fleet comes up.
const CALM_S: f64 = 90.0;
/// s within which all troubles begin.
const TROUBLES_S: f64 = 110.0;
/// s after the last trouble's end for all to be well again: a hall's lost work
/// is proven over, machines boot, images come.
const TAIL_S: f64 = 200.0;
/// s that a trouble lasts at the most.
const LONGEST_S: f64 = 70.0;
/// s of a day.
const DAY_S: f64 = CALM_S + TROUBLES_S + LONGEST_S + TAIL_S;
/// Share of the replicas that must be up then.
const UP: f64 = 0.9;

/// What a day was and what came of it.
pub struct Day {
    /// Its seed.
    pub seed: u64,
    /// The scenario's text without its troubles.
    pub world: String,
    /// The troubles, each a table of the scenario's form.
    pub troubles: Vec<String>,
    /// What failed; empty: nothing.
    pub faults: Vec<String>,
    /// Starts of tasks.
    pub starts: u64,
}

/// Draws a day's world and troubles; `most` machines at the most.
fn draw(seed: u64, most: u32) -> (String, Vec<String>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let machines = (40.0 * (f64::from(most.max(41)) / 40.0).powf(rng.random::<f64>())) as u32;
    let zones = rng.random_range(1..=8usize).min(1 + machines as usize / 10);
    let controllers = rng.random_range(1..=12usize).min(1 + machines as usize / 8);
    let lease = rng.random_range(8.0..27.0);
    let report = lease / rng.random_range(4.0..6.0);
    let cancel = lease * rng.random_range(1.6..3.0);
    let per_zone = machines.div_ceil(zones as u32);
    let names: Vec<String> = (0..zones).map(|z| format!("'z{z}'")).collect();
    let mut w = String::new();
    // Writing into a string can't fail.
    let _ = write!(
        w,
        "name = 'hunt'\nduration_s = {DAY_S}\ncontrollers = {controllers}\nzones = [{}]\npoll_s = 10\n\
         [workers]\nreport_s = {report:.2}\nlease_s = {lease:.2}\ncancel_s = {cancel:.2}\n\
         [state]\nrps = {}\nwrite_rps = {}\ntxn_ops = {}\n\
         [state.next]\nwrite_rps = {}\nvalue_kb = 2\ntxn_ops = 4\n\
         [cloud]\nrps = {}\nlist_lag_s = {:.1}\n\
         [messages]\nlost_command = {}\nlate_command = {}\nlost_sync = {}\nlate_sync = 500\nlost_txn_reply = {}\nlate_txn = {}\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 60\nfetch_gb_per_s = 0.8\nprice = 4\nspot_price = 1\n\
         boot_s = {:.1}\nordinary = {per_zone}\nspot = {}\n\
         [[team]]\nname = 'red'\ngpus = {}\n[[team]]\nname = 'blue'\n[[team]]\nname = 'guest'\n",
        names.join(", "),
        60 * controllers + machines as usize / 10,
        40 + machines / 12,
        rng.random_range(8..33),
        28 + machines / 18,
        rng.random_range(3..9) + controllers,
        rng.random_range(2.0..15.0),
        rng.random_range(0..30),
        rng.random_range(0..30),
        rng.random_range(0..30),
        rng.random_range(0..20),
        rng.random_range(0..20),
        rng.random_range(10.0..40.0),
        per_zone / 4,
        machines,
    );
    let (spread, one_zone) = (rng.random::<bool>() && zones > 1, rng.random::<bool>());
    let classes = [
        format!(
            "name = 'serve'\nshape = 'service'\npriority = 'production'\nspread = {spread}\ntasks = 4\nrun_s = 100000\nat_start = {}",
            1 + machines / 5
        ),
        format!(
            "name = 'brief'\nshape = 'service'\npriority = 'production'\ntasks = 2\nrun_s = 90\nper_min = {:.2}",
            0.5 + f64::from(machines) / 100.0
        ),
        format!(
            "name = 'batch'\nspot = true\ncheckpoint_s = 10\nsave_s = 2\nrun_s = 50\nper_min = {:.2}\ntasks = {{ dist = 'uniform', low = 1, high = 15 }}",
            f64::from(machines) / 10.0
        ),
        format!(
            "name = 'gang'\nshape = 'gang'\npriority = 'high'\none_zone = {one_zone}\ncheckpoint_s = 10\nsave_s = 2\nrun_s = 60\nper_min = {:.2}\n\
             tasks = {{ dist = 'uniform', low = 2, high = 6 }}",
            f64::from(machines) / 30.0
        ),
    ];
    // Some days bring a guest, and jobs with a mistake.
    let mut guest = String::new();
    if rng.random_range(0..3) == 0 {
        let _ = write!(
            guest,
            "[[class]]\nteams = ['guest']\n{}",
            guests(&mut rng, machines)
        );
    }
    let broken = if rng.random_range(0..2) == 0 {
        0.04
    } else {
        0.0
    };
    for class in classes {
        let _ = write!(
            w,
            "[[class]]\nteams = ['red', 'blue']\nbroken = {broken}\n{class}\ncpus = 4\ngpus = 1\nmemory_gb = 10\nimages = 6\nimage_gb = 4\n"
        );
    }
    w.push_str(&guest);
    if rng.random::<bool>() {
        w.push_str(&chains(machines));
    }
    let host = |rng: &mut ChaCha8Rng| rng.random_range(0..controllers);
    let one = |rng: &mut ChaCha8Rng, at: f64, length: f64| {
        let (a, b, zone) = (host(rng), host(rng), rng.random_range(0..zones));
        let share = rng.random_range(0.05..0.5f64);
        let flap = if rng.random_range(0..4) == 0 {
            format!("\nflap_s = {:.1}", rng.random_range(1.0..8.0f64))
        } else {
            String::new()
        };
        let mut only = ["", "\nonly = 'answers'", "\nonly = 'commands'"]
            .choose(rng)
            .map_or(String::new(), |o| (*o).to_owned());
        if rng.random_range(0..3) == 0 {
            let _ = write!(only, "\ncontroller = {b}");
        }
        let (short, low) = (rng.random_range(0.1..1.0f64), rng.random_range(1.0..lease));
        let high = low + rng.random_range(0.0..2.0 * lease);
        let kinds = [
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
            format!(
                "kind = 'cut_one_way'\ncontroller = {a}\nother = {b}\nfor_s = {length:.1}{flap}"
            ),
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
            format!(
                "kind = 'late_writes'\nat_once = true\nshare = {share:.2}\nfor_s = {length:.1}"
            ),
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
            // The second is back while the first one's part is being taken.
            format!(
                "kind = 'crash'\ncontroller = {a}\nfor_s = {:.1}\n[[fault]]\nat_s = {:.1}\nkind = 'crash'\ncontroller = {}\nfor_s = {short:.1}",
                length.max(20.0),
                at + rng.random_range(8.0..14.0),
                (a + 1) % controllers
            ),
        ];
        let kind = kinds.choose(rng).map_or("", String::as_str);
        format!("[[fault]]\nat_s = {at:.1}\n{kind}\n")
    };
    // Pairs of which the second begins while the first lasts, and some days one more.
    let mut troubles = Vec::new();
    for _ in 0..rng.random_range(1..=2) {
        let at = CALM_S + rng.random::<f64>() * TROUBLES_S;
        let length = rng.random_range(3.0..LONGEST_S);
        troubles.push(one(&mut rng, at, length));
        let second = (at + rng.random::<f64>() * length).min(CALM_S + TROUBLES_S);
        let length = rng.random_range(3.0..LONGEST_S);
        troubles.push(one(&mut rng, second, length));
    }
    if rng.random_range(0..2) == 0 {
        let (at, length) = (
            CALM_S + rng.random::<f64>() * TROUBLES_S,
            rng.random_range(3.0..LONGEST_S),
        );
        troubles.push(one(&mut rng, at, length));
    }
    (w, troubles)
}

/// Jobs in a line of three across teams, of which the last is urgent and needs both others.
fn chains(machines: u32) -> String {
    let per_min = 1.0 + f64::from(machines) / 60.0;
    format!(
        "[[class]]\nname = 'first'\nteams = ['red', 'blue']\npriority = 'low'\nspot = true\ncpus = 1\nmemory_gb = 2\nrun_s = 15\n\
         tasks = {{ dist = 'uniform', low = 1, high = 80 }}\nper_min = {per_min:.2}\ncancelled = 0.15\n\
         [[class]]\nname = 'second'\nteams = ['blue', 'red']\nshape = 'gang'\ncpus = 1\nmemory_gb = 2\nrun_s = 20\n\
         tasks = {{ dist = 'uniform', low = 2, high = 4 }}\nawaits = ['first']\n\
         [[class]]\nname = 'last'\nteams = ['red', 'blue']\npriority = 'high'\nspot = true\ncpus = 1\nmemory_gb = 2\nrun_s = 8\ntasks = 3\n\
         awaits = ['first', 'second']\nlater_s = {{ dist = 'uniform', low = 0, high = 40 }}\ncancelled = 0.1\n"
    )
}

/// One of the ways in which a guest without a guarantee takes up room: a huge
/// array, many tiny jobs, or long idle work.
fn guests(rng: &mut ChaCha8Rng, machines: u32) -> String {
    match rng.random_range(0..3) {
        0 => format!(
            "name = 'huge'\ncpus = 1\nmemory_gb = 1\ntasks = {}\nrun_s = 10\nat_start = 1\n",
            20 * machines
        ),
        1 => format!(
            "name = 'tiny'\ncpus = 0.5\nmemory_gb = 0.5\nrun_s = 4\nat_start = {}\n",
            2 * machines
        ),
        _ => format!(
            "name = 'idle'\npriority = 'low'\nspot = true\ncpus = 5\nmemory_gb = 8\ncheckpoint_s = 30\nsave_s = 3\nrun_s = 120\n\
             tasks = {}\nat_start = 2\n",
            machines / 2
        ),
    }
}

/// What a day broke: rules, and the terms on what must be accepted, served and begun.
pub fn broken_terms(world: &World) -> Vec<String> {
    let mut faults = world.ground.checker.broken.clone();
    let (submitted, accepted) = world.measures.taken();
    if accepted * 2 < submitted {
        faults.push(format!(
            "{accepted} of {submitted} submissions were accepted"
        ));
    }
    for (name, (up, of)) in world
        .measures
        .served(world)
        .into_iter()
        .filter(|(_, (up, of))| up * 2 < *of)
    {
        faults.push(format!("{name}: {up} of {of} tasks were started"));
    }
    faults.extend(world.measures.late(world));
    faults
}

/// Plays a world with troubles; what failed, and how many tasks were started.
fn play(world: &str, troubles: &[String], seed: u64) -> (Vec<String>, u64) {
    let scenario = match Scenario::parse("hunt", &format!("{world}{}", troubles.concat())) {
        Ok(scenario) => scenario,
        Err(faults) => return (faults, 0),
    };
    let ms = (scenario.duration_s * 1e3) as u64;
    let scenario = Arc::new(scenario);
    let load = load::synthetic(&scenario, seed);
    let mut world = World::new(scenario, load, seed, History::new(None));
    world.run(ms);
    let mut faults = broken_terms(&world);
    let live = world.live();
    let (mut up, mut wanted) = (0, 0);
    // A service with a mistake is up nowhere, whatever the controllers do.
    for (id, job) in world
        .ground
        .jobs
        .iter()
        .filter(|(_, l)| l.spec.kind == JobKind::Service && !l.broken)
    {
        let record: Option<JobRecord> = world
            .store
            .get(&job_key(id))
            .and_then(|(v, _)| from_value(v));
        if record.is_some_and(|r| !r.cancel_requested && r.submitted_at_ms + 60_000 < ms) {
            wanted += job.spec.tasks as usize;
            up += live
                .get(id)
                .copied()
                .unwrap_or(0)
                .min(job.spec.tasks as usize);
        }
    }
    if (up as f64) < UP * wanted as f64 {
        faults.push(format!("{up} of {wanted} replicas are up at the end"));
    }
    (faults, world.ground.checker.starts)
}

/// Plays the day of a seed; one that fails is played again with fewer troubles
/// for as long as it still fails.
pub fn day(seed: u64, most: u32) -> Day {
    let (world, mut troubles) = draw(seed, most);
    let (mut faults, starts) = play(&world, &troubles, seed);
    let mut at = 0;
    while !faults.is_empty() && at < troubles.len() {
        let mut fewer = troubles.clone();
        fewer.remove(at);
        let (still, _) = play(&world, &fewer, seed);
        if still.is_empty() {
            at += 1;
        } else {
            (troubles, faults) = (fewer, still);
        }
    }
    Day {
        seed,
        world,
        troubles,
        faults,
        starts,
    }
}
