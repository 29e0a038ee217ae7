//! Draws a site and its load as the text of a scenario. The order of the draws must not change,
//! so that a seed gives the same run in every version.

use std::fmt::Write;
use std::ops::Range;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::DURATION_S;

/// Smallest number of machines of a site.
const MIN_MACHINES: f64 = 40.0;
/// Operations that the store allows in a compare-and-swap.
const CAS_OPERATIONS: Range<u32> = 8..33;
/// The same for a store that takes many compare-and-swaps to write what changed at one instant.
const FEW_CAS_OPERATIONS: Range<u32> = 4..7;

/// A drawn site, with the parameters from which its faults are drawn.
pub(super) struct DrawnSite {
    /// Scenario text without faults.
    pub(super) text: String,
    pub(super) machines: u32,
    pub(super) zones: usize,
    pub(super) controllers: usize,
    pub(super) lease_s: f64,
}

/// Draws a site with its load. Small sites are drawn more often than large ones: the logarithm
/// of the number of machines is uniform up to that of `max_machines`.
pub(super) fn draw_site(rng: &mut ChaCha8Rng, max_machines: u32) -> DrawnSite {
    let mut site = draw_infrastructure(rng, max_machines, CAS_OPERATIONS);
    write_load(&mut site, rng);
    site
}

/// Draws a site with its load, and beside it many short jobs, of which some fail on every machine
/// and some are cancelled.
pub(super) fn draw_site_of_short_jobs(rng: &mut ChaCha8Rng, max_machines: u32) -> DrawnSite {
    let mut site = draw_site(rng, max_machines);
    let per_min = f64::from(site.machines);
    let run_s = rng.random_range(1.0..8.0);
    // Writing to a `String` can't fail.
    let _ = write!(
        site.text,
        "[[class]]\nname = 'short'\nteams = ['red', 'blue']\nbroken = 0.03\ncpus = 1\nmemory_gb = 2\nrun_s = {run_s:.1}\n\
         per_min = {per_min:.2}\ncancelled = 0.25\ntasks = {{ dist = 'uniform', low = 1, high = 3 }}\n"
    );
    site
}

/// Draws a site with more room than work, whose jobs have records of some 0.3 to 7.8 KB as JSON.
pub(super) fn draw_site_of_large_records(rng: &mut ChaCha8Rng, max_machines: u32) -> DrawnSite {
    let mut site = draw_infrastructure(rng, max_machines, CAS_OPERATIONS);
    let per_min = 1.0 + f64::from(site.machines) / 40.0;
    let classes = [
        "name = 'serve'\nshape = 'service'\npriority = 'production'\ntasks = 2\nrun_s = 100000\nat_start = 4".to_owned(),
        format!("name = 'brief'\nshape = 'service'\npriority = 'production'\ntasks = 2\nrun_s = 60\nper_min = {per_min:.2}"),
        format!(
            "name = 'batch'\nrun_s = 30\nper_min = {per_min:.2}\ncancelled = 0.2\ntasks = {{ dist = 'uniform', low = 1, high = 8 }}"
        ),
        format!(
            "name = 'gang'\nshape = 'gang'\nrun_s = 30\nper_min = {per_min:.2}\ncancelled = 0.2\ntasks = {{ dist = 'uniform', low = 2, high = 4 }}"
        ),
        format!("name = 'first'\nrun_s = 20\nper_min = {per_min:.2}\ncancelled = 0.15\ntasks = {{ dist = 'uniform', low = 1, high = 4 }}"),
        "name = 'second'\nrun_s = 15\nawaits = ['first']\ncancelled = 0.1".to_owned(),
        "name = 'third'\nrun_s = 15\nawaits = ['first']".to_owned(),
        "name = 'last'\nrun_s = 10\nawaits = ['first', 'second']\nlater_s = { dist = 'uniform', low = 0, high = 40 }".to_owned(),
    ];
    for class in classes {
        // Writing to a `String` can't fail.
        let _ = write!(
            site.text,
            "[[class]]\nteams = ['red', 'blue']\n{class}\ncpus = 1\nmemory_gb = 2\n\
             submission_bytes = {{ dist = 'uniform', low = 200, high = 7_700 }}\n"
        );
    }
    site
}

/// Draws a site of at least two zones and controllers, whose jobs have several task records: most
/// of their tasks must share a zone or be spread over zones. Room is scarce, so that few of the
/// tasks that are lost together start again together.
pub(super) fn draw_site_of_jobs_bound_to_zones(
    rng: &mut ChaCha8Rng,
    max_machines: u32,
) -> DrawnSite {
    let mut site = draw_infrastructure_of_several_zones(rng, max_machines, FEW_CAS_OPERATIONS);
    let per_min = 0.2 + f64::from(site.machines) / 150.0;
    let tasks = "tasks = { dist = 'uniform', low = 65, high = 140 }";
    let classes = [
        format!("name = 'together'\none_zone = true\nrun_s = 25\nper_min = {per_min:.2}\n{tasks}"),
        format!("name = 'urgent'\none_zone = true\npriority = 'high'\nrun_s = 15\nper_min = {per_min:.2}\n{tasks}"),
        format!("name = 'apart'\nspread = true\nrun_s = 25\nper_min = {per_min:.2}\n{tasks}"),
        "name = 'serve'\nshape = 'service'\npriority = 'production'\nspread = true\nrun_s = 100000\nat_start = 1\ntasks = 70".to_owned(),
        format!("name = 'other'\nrun_s = 20\nper_min = {:.2}\ntasks = {{ dist = 'uniform', low = 1, high = 8 }}", 4.0 * per_min),
    ];
    for class in classes {
        // Writing to a `String` can't fail.
        let _ = write!(
            site.text,
            "[[class]]\nteams = ['red', 'blue']\n{class}\ncpus = 1\nmemory_gb = 2\n"
        );
    }
    site
}

/// Draws a site of at least two zones and controllers, with its load.
pub(super) fn draw_site_of_several_zones(rng: &mut ChaCha8Rng, max_machines: u32) -> DrawnSite {
    let mut site = draw_infrastructure_of_several_zones(rng, max_machines, CAS_OPERATIONS);
    write_load(&mut site, rng);
    site
}

fn draw_infrastructure_of_several_zones(
    rng: &mut ChaCha8Rng,
    max_machines: u32,
    cas_operations: Range<u32>,
) -> DrawnSite {
    loop {
        let site = draw_infrastructure(rng, max_machines, cas_operations.clone());
        if site.zones > 1 && site.controllers > 1 {
            return site;
        }
    }
}

/// Draws the size of a site, and its infrastructure, whose store allows this many operations in a
/// compare-and-swap.
fn draw_infrastructure(
    rng: &mut ChaCha8Rng,
    max_machines: u32,
    cas_operations: Range<u32>,
) -> DrawnSite {
    let range = f64::from(max_machines.max(41)) / MIN_MACHINES;
    let machines = (MIN_MACHINES * range.powf(rng.random::<f64>())) as u32;
    let zones = rng.random_range(1..=8usize).min(1 + machines as usize / 10);
    let controllers = rng.random_range(1..=12usize).min(1 + machines as usize / 8);
    let lease_s = rng.random_range(8.0..27.0);
    let mut site = DrawnSite {
        text: String::new(),
        machines,
        zones,
        controllers,
        lease_s,
    };
    write_infrastructure(&mut site, rng, cas_operations);
    site
}

/// Writes controllers, workers, services, message faults, machine types and teams.
fn write_infrastructure(site: &mut DrawnSite, rng: &mut ChaCha8Rng, cas_operations: Range<u32>) {
    let DrawnSite {
        text,
        machines,
        zones,
        controllers,
        lease_s: lease,
    } = site;
    let (machines, controllers, lease) = (*machines, *controllers, *lease);
    let report = lease / rng.random_range(4.0..6.0);
    let cancel = lease * rng.random_range(1.6..3.0);
    let per_zone = machines.div_ceil(*zones as u32);
    let names: Vec<String> = (0..*zones).map(|zone| format!("'z{zone}'")).collect();
    // Writing to a `String` can't fail.
    let _ = write!(
        text,
        "name = 'hunt'\nduration_s = {DURATION_S}\ncontrollers = {controllers}\nzones = [{}]\npoll_s = 10\n\
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
        rng.random_range(cas_operations),
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
}

/// Writes the job classes.
fn write_load(site: &mut DrawnSite, rng: &mut ChaCha8Rng) {
    let machines = site.machines;
    let (spread, one_zone) = (rng.random::<bool>() && site.zones > 1, rng.random::<bool>());
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
    // Some sites have a team without a guaranteed quota, and jobs that always fail.
    let guest = (rng.random_range(0..3) == 0).then(|| guest_class(rng, machines));
    let broken = if rng.random_range(0..2) == 0 {
        0.04
    } else {
        0.0
    };
    for class in classes {
        let _ = write!(
            site.text,
            "[[class]]\nteams = ['red', 'blue']\nbroken = {broken}\n{class}\ncpus = 4\ngpus = 1\nmemory_gb = 10\nimages = 6\nimage_gb = 4\n"
        );
    }
    if let Some(guest) = guest {
        let _ = write!(site.text, "[[class]]\nteams = ['guest']\n{guest}");
    }
    if rng.random::<bool>() {
        site.text.push_str(&dependent_classes(machines));
    }
}

/// Three classes across teams, of which the last has high priority and depends on both others.
fn dependent_classes(machines: u32) -> String {
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

/// A class with which a team without a guaranteed quota takes up resources: a huge array, many
/// tiny jobs, or long low-priority work.
fn guest_class(rng: &mut ChaCha8Rng, machines: u32) -> String {
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
