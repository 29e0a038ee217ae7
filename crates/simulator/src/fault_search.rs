//! Fault search: runs sites, loads and faults drawn by seed, and checks for violated invariants
//! and for services that do not recover. Faults that a failure does not need are removed.

mod draw_faults;
mod draw_site;
mod liveness;

use std::sync::Arc;

use lemonweir_model::JobKind;
use lemonweir_storage::records::{job_key, shard_key};
use lemonweir_storage::spec_pages::StoredJobRecord;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::history::History;
use crate::load_generator;
use crate::run_report::run_violations;
use crate::scenario::Scenario;
use crate::simulation::Simulation;
use draw_faults::{
    draw_failovers_beside_lost_machines, draw_faults, draw_losses_and_failovers,
    draw_lowered_limits, draw_repeated_messages, draw_repeated_messages_with_machine_restarts,
    draw_stalls_over_slow_links,
};
use draw_site::{
    DrawnSite, draw_site, draw_site_of_jobs_bound_to_zones, draw_site_of_large_records,
    draw_site_of_several_zones, draw_site_of_short_jobs,
};
use liveness::{jobs_that_never_begin, unconfirmed_cancellations};

/// Time before the first fault may begin, s: the fleet boots.
const WARM_UP_S: f64 = 90.0;
/// Length of the window in which faults begin, s.
const FAULT_WINDOW_S: f64 = 110.0;
/// Time for recovery after the last fault, s: it covers proving that the attempts of a lost
/// zone have ended, booting machines and pulling images.
const RECOVERY_S: f64 = 200.0;
/// Longest drawn duration of a fault, s.
const MAX_FAULT_DURATION_S: f64 = 70.0;
/// Simulated duration of a run, s.
const DURATION_S: f64 = WARM_UP_S + FAULT_WINDOW_S + MAX_FAULT_DURATION_S + RECOVERY_S;
/// Share of the replicas that must be up at the end.
const MIN_REPLICAS_UP_SHARE: f64 = 0.9;
/// Time that a submitted service is given to start before its replicas must be up, ms.
const SERVICE_START_GRACE_MS: u64 = 60_000;

/// Which faults are drawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum FaultMix {
    /// Pairs of any faults but slow links between controllers.
    #[default]
    Any,
    /// Stalls of controllers while the links between controllers are slow.
    StallsOverSlowLinks,
    /// The store lowers its limits as announced, beside other faults, while there are jobs whose
    /// records the lower limits do not allow.
    LoweredLimits,
    /// Messages that are carried out once more after they were answered, beside ends and returns of
    /// controllers within a second and other faults, but no restarts of machines.
    Repeated,
    /// The same, with restarts of machines.
    RepeatedWithMachineRestarts,
    /// Losses of machines, each with ends of controllers around the time at which the loss is
    /// proven, while jobs of several task records must share a zone or be spread over zones.
    LossesOfJobsBoundToZones,
    /// Machines and zones out of reach for longer than a worker's lease, while leaders change again
    /// and again.
    FailoversBesideLostMachines,
}

impl FaultMix {
    /// Draws the site and the faults of a run.
    fn draw(self, rng: &mut ChaCha8Rng, max_machines: u32) -> (DrawnSite, Vec<String>) {
        let site = match self {
            Self::Any | Self::StallsOverSlowLinks => draw_site(rng, max_machines),
            Self::Repeated | Self::RepeatedWithMachineRestarts => {
                draw_site_of_short_jobs(rng, max_machines)
            }
            Self::LoweredLimits => draw_site_of_large_records(rng, max_machines),
            Self::LossesOfJobsBoundToZones => draw_site_of_jobs_bound_to_zones(rng, max_machines),
            Self::FailoversBesideLostMachines => draw_site_of_several_zones(rng, max_machines),
        };
        let faults = match self {
            Self::Any => draw_faults(rng, &site),
            Self::StallsOverSlowLinks => draw_stalls_over_slow_links(rng, &site),
            Self::LoweredLimits => draw_lowered_limits(rng, &site),
            Self::Repeated => draw_repeated_messages(rng, &site),
            Self::RepeatedWithMachineRestarts => {
                draw_repeated_messages_with_machine_restarts(rng, &site)
            }
            Self::LossesOfJobsBoundToZones => draw_losses_and_failovers(rng, &site),
            Self::FailoversBesideLostMachines => draw_failovers_beside_lost_machines(rng, &site),
        };
        (site, faults)
    }

    /// Checks of the end of a run that hold only for the sites of this mix.
    fn violations_at_end(self, simulation: &Simulation) -> Vec<String> {
        match self {
            Self::Any
            | Self::StallsOverSlowLinks
            | Self::Repeated
            | Self::RepeatedWithMachineRestarts
            | Self::LossesOfJobsBoundToZones
            | Self::FailoversBesideLostMachines => Vec::new(),
            Self::LoweredLimits => [
                jobs_that_never_begin(simulation),
                unconfirmed_cancellations(simulation),
            ]
            .concat(),
        }
    }
}

/// A drawn run, reduced to the faults that its failure needs, and its result.
pub struct SearchResult {
    /// Seed of the run.
    pub seed: u64,
    /// Scenario text without the faults.
    pub site: String,
    /// The faults, each as `[[fault]]` tables of a scenario.
    pub faults: Vec<String>,
    /// Violated invariants and services that did not recover; empty if the run passed.
    pub violations: Vec<String>,
    /// Task starts of the run with all drawn faults.
    pub task_starts: u64,
}

/// Result of one run with a given set of faults.
struct FaultRunResult {
    violations: Vec<String>,
    task_starts: u64,
}

/// Runs the site and faults of a seed, with at most about `max_machines` machines. If the run
/// fails, removes each fault in turn without which it still fails.
pub fn search_seed(seed: u64, max_machines: u32, mix: FaultMix) -> SearchResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (site, mut faults) = mix.draw(&mut rng, max_machines);
    let site = site.text;
    let FaultRunResult {
        mut violations,
        task_starts,
    } = run_with_faults(mix, &site, &faults, seed);
    let mut index = 0;
    while !violations.is_empty() && index < faults.len() {
        let mut reduced = faults.clone();
        reduced.remove(index);
        let remaining = run_with_faults(mix, &site, &reduced, seed).violations;
        if remaining.is_empty() {
            index += 1;
        } else {
            (faults, violations) = (reduced, remaining);
        }
    }
    SearchResult {
        seed,
        site,
        faults,
        violations,
        task_starts,
    }
}

/// Runs a site with faults and checks the result.
fn run_with_faults(mix: FaultMix, site: &str, faults: &[String], seed: u64) -> FaultRunResult {
    let scenario = match Scenario::parse("hunt", &format!("{site}{}", faults.concat())) {
        Ok(scenario) => Arc::new(scenario),
        Err(violations) => {
            return FaultRunResult {
                violations,
                task_starts: 0,
            };
        }
    };
    let duration_ms = (scenario.duration_s * 1e3) as u64;
    let load = load_generator::synthetic(&scenario, seed);
    let mut simulation = Simulation::new(scenario, load, seed, History::new(None));
    simulation.run(duration_ms);
    let mut violations = leaderless_shards(&simulation);
    violations.extend(mix.violations_at_end(&simulation));
    violations.extend(run_violations(&simulation));
    let replicas = replicas_at_end(&simulation, duration_ms);
    if (replicas.up as f64) < MIN_REPLICAS_UP_SHARE * replicas.desired as f64 {
        violations.push(format!(
            "{} of {} replicas are up at the end",
            replicas.up, replicas.desired
        ));
    }
    FaultRunResult {
        violations,
        task_starts: simulation.workload.checker.starts,
    }
}

/// The shards that no controller leads, each as a violation.
fn leaderless_shards(simulation: &Simulation) -> Vec<String> {
    (0..simulation.scenario.controllers)
        .filter(|shard| simulation.store.get(&shard_key(*shard)).is_none())
        .map(|shard| format!("shard {shard} has no leader at the end"))
        .collect()
}

/// Replicas up and replicas desired, over all services that should be up.
#[derive(Default)]
struct ReplicaCounts {
    up: usize,
    desired: usize,
}

/// Counts replicas at the end of a run. Services that were cancelled, or submitted shortly
/// before the end, are left out.
fn replicas_at_end(simulation: &Simulation, end_ms: u64) -> ReplicaCounts {
    let live = simulation.live_tasks();
    let mut replicas = ReplicaCounts::default();
    // A broken service fails on every machine, whatever the controllers do.
    for (id, job) in simulation
        .workload
        .jobs
        .iter()
        .filter(|(_, job)| job.spec.kind == JobKind::Service && !job.broken)
    {
        let record = simulation
            .store
            .get(&job_key(id))
            .and_then(|(value, _)| StoredJobRecord::read(value));
        let should_be_up = |record: StoredJobRecord| {
            !record.cancel_requested() && record.submitted_at_ms() + SERVICE_START_GRACE_MS < end_ms
        };
        if record.is_some_and(should_be_up) {
            let desired = job.spec.tasks as usize;
            replicas.desired += desired;
            replicas.up += live.get(id).copied().unwrap_or(0).min(desired);
        }
    }
    replicas
}
