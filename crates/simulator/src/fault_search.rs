//! Fault search: sites, loads and faults drawn by seed, to find violated invariants and
//! services that do not come back; a run that fails is made as small as it still fails.

mod draw_faults;
mod draw_site;

use std::sync::Arc;

use lemonweir_model::JobKind;
use lemonweir_protocol::kv_store::from_value;
use lemonweir_storage::records::{JobRecord, job_key};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::history::History;
use crate::load_generator;
use crate::run_report::violated_terms;
use crate::scenario::Scenario;
use crate::simulation::Simulation;
use draw_faults::draw_faults;
use draw_site::draw_site;

/// s before the first fault may begin: the fleet boots.
const CALM_S: f64 = 90.0;
/// s within which all faults begin.
const FAULTS_S: f64 = 110.0;
/// s after the last fault's end for all to be well again: a zone's lost work is proven over,
/// machines boot, images are fetched.
const RECOVERY_S: f64 = 200.0;
/// s that a fault lasts at the most.
const LONGEST_FAULT_S: f64 = 70.0;
/// s of a run.
const DURATION_S: f64 = CALM_S + FAULTS_S + LONGEST_FAULT_S + RECOVERY_S;
/// Share of the replicas that must be up at the end.
const REPLICAS_UP_SHARE: f64 = 0.9;
/// ms before the end within which an accepted service may still start.
const FRESH_SERVICE_MS: u64 = 60_000;

/// A drawn run and its result.
pub struct SearchResult {
    /// Its seed.
    pub seed: u64,
    /// The scenario's text without its faults.
    pub site: String,
    /// The faults, each a table of the scenario's form.
    pub faults: Vec<String>,
    /// What failed; empty: nothing.
    pub violations: Vec<String>,
    /// Starts of tasks.
    pub task_starts: u64,
}

/// What a run with drawn faults gave.
struct PlayedRun {
    violations: Vec<String>,
    task_starts: u64,
}

/// Plays the run of a seed with `most_machines` machines at the most; one that fails is played
/// again with fewer faults for as long as it still fails.
pub fn search_seed(seed: u64, most_machines: u32) -> SearchResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let site = draw_site(&mut rng, most_machines);
    let mut faults = draw_faults(&mut rng, &site);
    let site = site.text;
    let PlayedRun {
        mut violations,
        task_starts,
    } = play(&site, &faults, seed);
    let mut at = 0;
    while !violations.is_empty() && at < faults.len() {
        let mut fewer = faults.clone();
        fewer.remove(at);
        let still = play(&site, &fewer, seed).violations;
        if still.is_empty() {
            at += 1;
        } else {
            (faults, violations) = (fewer, still);
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

/// Plays a site with faults.
fn play(site: &str, faults: &[String], seed: u64) -> PlayedRun {
    let scenario = match Scenario::parse("hunt", &format!("{site}{}", faults.concat())) {
        Ok(scenario) => Arc::new(scenario),
        Err(violations) => {
            return PlayedRun {
                violations,
                task_starts: 0,
            };
        }
    };
    let duration_ms = (scenario.duration_s * 1e3) as u64;
    let load = load_generator::synthetic(&scenario, seed);
    let mut simulation = Simulation::new(scenario, load, seed, History::new(None));
    simulation.run(duration_ms);
    let mut violations = violated_terms(&simulation);
    let replicas = replicas_at_end(&simulation, duration_ms);
    if (replicas.up as f64) < REPLICAS_UP_SHARE * replicas.wanted as f64 {
        violations.push(format!(
            "{} of {} replicas are up at the end",
            replicas.up, replicas.wanted
        ));
    }
    PlayedRun {
        violations,
        task_starts: simulation.workload.checker.starts,
    }
}

/// Replicas of the services that should be up.
#[derive(Default)]
struct ReplicaCounts {
    up: usize,
    wanted: usize,
}

fn replicas_at_end(simulation: &Simulation, end_ms: u64) -> ReplicaCounts {
    let live = simulation.live_tasks();
    let mut replicas = ReplicaCounts::default();
    // A service with a mistake is up nowhere, whatever the controllers do.
    for (id, job) in simulation
        .workload
        .jobs
        .iter()
        .filter(|(_, job)| job.spec.kind == JobKind::Service && !job.broken)
    {
        let record: Option<JobRecord> = simulation
            .store
            .get(&job_key(id))
            .and_then(|(value, _)| from_value(value));
        let should_be_up = |record: JobRecord| {
            !record.cancel_requested && record.submitted_at_ms + FRESH_SERVICE_MS < end_ms
        };
        if record.is_some_and(should_be_up) {
            let wanted = job.spec.tasks as usize;
            replicas.wanted += wanted;
            replicas.up += live.get(id).copied().unwrap_or(0).min(wanted);
        }
    }
    replicas
}
