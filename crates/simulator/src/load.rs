//! Load for a world: synthetic classes drawn from distributions.

use std::sync::Arc;

use lemonweir_model::{JobId, JobKind, JobSpec};
use lemonweir_trace::workload::{self, Entry, WorkloadError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::ground::Load;
use crate::run::Replayed;
use crate::scenario::{Class, Dist, Scenario};
use crate::world::Planned;

/// Draws the jobs of a scenario's classes. Each class draws from a generator
/// of its own, so that a change of one does not change the others.
pub fn synthetic(scenario: &Scenario, seed: u64) -> Vec<Planned> {
    let mut jobs: Vec<(u64, usize, Planned)> = Vec::new();
    // When each class's jobs come.
    let mut times_of: Vec<Vec<u64>> = Vec::new();
    for (c, class) in scenario.classes.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(c as u64 + 1);
        let mut times = vec![0; class.at_start as usize];
        let mut at = 0.0;
        let gap = Dist::Exp(if class.per_min > 0.0 {
            60.0 / class.per_min
        } else {
            f64::MAX
        });
        loop {
            at += gap.draw(&mut rng);
            if at >= scenario.duration_s {
                break;
            }
            times.push((at * 1e6) as u64);
        }
        if !class.awaits.is_empty() {
            let awaited: Vec<&Vec<u64>> = awaited_classes(scenario, class)
                .map(|of| &times_of[of])
                .collect();
            let chains = awaited.iter().map(|times| times.len()).min().unwrap_or(0);
            let last = |n: usize| awaited.iter().map(|times| times[n]).max().unwrap_or(0);
            times = (0..chains)
                .map(|n| last(n) + (class.later_s.draw(&mut rng) * 1e6) as u64)
                .collect();
        }
        for (n, &at) in times.iter().enumerate() {
            jobs.push((at, c, draw(class, n, at, &mut rng)));
        }
        times_of.push(times);
    }
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|&i| (jobs[i].0, jobs[i].1));
    let mut ids = vec![job_id(0); jobs.len()];
    for (n, &i) in order.iter().enumerate() {
        ids[i] = job_id(n);
    }
    // Jobs stand class by class: where each class begins.
    let begins: Vec<usize> = times_of
        .iter()
        .scan(0, |sum, times| {
            Some(std::mem::replace(sum, *sum + times.len()))
        })
        .collect();
    let mut planned = Vec::new();
    for &i in &order {
        let (_, c, job) = &mut jobs[i];
        let awaits = awaited_classes(scenario, &scenario.classes[*c])
            .map(|of| ids[begins[of] + i - begins[*c]].clone())
            .collect();
        job.load.spec = Arc::new(JobSpec {
            id: ids[i].clone(),
            depends_on: awaits,
            ..(*job.load.spec).clone()
        });
        planned.push(i);
    }
    let mut jobs: Vec<Option<Planned>> = jobs.into_iter().map(|(_, _, job)| Some(job)).collect();
    planned.into_iter().filter_map(|i| jobs[i].take()).collect()
}

/// The numbers of the classes that a class's jobs await.
fn awaited_classes<'a>(
    scenario: &'a Scenario,
    class: &'a Class,
) -> impl Iterator<Item = usize> + 'a {
    class.awaits.iter().filter_map(|name| {
        scenario
            .classes
            .iter()
            .position(|class| class.name == *name)
    })
}

/// The jobs of a workload file. A team that the scenario does not know is one of its teams, the
/// same one every time; constraints on attributes that its machines don't have
/// are left out and counted.
pub fn replay(
    replayed: &Replayed,
    scenario: &Scenario,
) -> Result<(Vec<Planned>, u64), WorkloadError> {
    let (mut jobs, mut unknown, mut first) = (Vec::new(), 0, None);
    let copies = u64::from(replayed.copies.max(1));
    workload::read(&replayed.file, |e| {
        // The first job comes at the start, wherever the trace's zero is.
        let zero = *first.get_or_insert(e.at_ms);
        unknown += e.constraints.len() as u64;
        for copy in 0..copies {
            let mut job = planned(jobs.len(), e.clone(), zero, scenario, replayed.speed);
            // Copies come one after the other within a second.
            let later = copy * 1_000_000 / copies;
            job.at_us += later;
            job.withdraw_us = job.withdraw_us.map(|at| at + later);
            jobs.push(job);
        }
    })?;
    Ok((jobs, unknown))
}

fn planned(n: usize, e: Entry, zero_ms: u64, scenario: &Scenario, speed: f64) -> Planned {
    let at_us = ((e.at_ms - zero_ms) as f64 * 1e3 / speed) as u64;
    let run_us: Vec<u64> = e.run_ms.iter().map(|ms| ms * 1_000).collect();
    let mean = run_us.iter().sum::<u64>() / run_us.len().max(1) as u64;
    let service = e.shape == JobKind::Service;
    let named = e.team.as_deref().unwrap_or_default();
    let hash = blake3::hash(named.as_bytes());
    let pick = usize::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]))
        % scenario.teams.len().max(1);
    let known = scenario
        .teams
        .iter()
        .find(|t| t.name == named)
        .or(scenario.teams.get(pick));
    let amount = |milli: u64| milli as f64 / 1e3;
    let spec = JobSpec {
        id: job_id(n),
        class: e.class.unwrap_or_else(|| "trace".into()),
        team: known.map(|t| t.name.clone()).unwrap_or_default(),
        kind: e.shape,
        priority: e.rank,
        tasks: u64::from(e.tasks),
        cpus: amount(e.need.milli_cpus),
        gpus: amount(e.need.milli_gpus),
        memory_gb: amount(e.need.memory_mb),
        machine_types: None,
        zone: None,
        same_zone: false,
        spread: false,
        allow_spot: true,
        // Traces tell of no images: one that is nowhere and takes no time.
        image: "none".into(),
        image_gb: 0.0,
        estimated_runtime_s: if service { 0.0 } else { mean as f64 / 1e6 },
        checkpoint_interval_s: 0.0,
        checkpoint_duration_s: 0.0,
        deadline_s: None,
        depends_on: Vec::new(),
    };
    let withdraw_us = (service && mean > 0).then(|| at_us + mean);
    Planned {
        at_us,
        load: Load {
            spec: Arc::new(spec),
            run_us,
            broken: false,
        },
        withdraw_us,
    }
}

/// Id of the n-th job.
pub fn job_id(n: usize) -> JobId {
    JobId::from(format!("req-{n:06}").as_str())
}

fn draw(class: &Class, n: usize, at: u64, rng: &mut ChaCha8Rng) -> Planned {
    let tasks =
        (class.tasks.draw(rng).round() as u64).clamp(1, lemonweir_model::constants::MAX_TASKS);
    let service = class.shape == JobKind::Service;
    let gang = class.shape == JobKind::Gang;
    let runs = if service || gang { 1 } else { tasks };
    let run_s: Vec<f64> = (0..runs).map(|_| class.run_s.draw(rng)).collect();
    let mean = run_s.iter().sum::<f64>() / run_s.len() as f64;
    let off = 1.0 + class.estimate_off * rng.random::<f64>();
    let estimate_s = if rng.random::<bool>() {
        mean * off
    } else {
        mean / off
    };
    let image = rng.random_range(0..class.images.0);
    let spec = JobSpec {
        id: job_id(0),
        class: class.name.clone(),
        team: class.teams[n % class.teams.len()].clone(),
        kind: class.shape,
        priority: class.rank,
        tasks,
        cpus: class.need.0,
        gpus: class.need.1,
        memory_gb: class.need.2,
        machine_types: None,
        zone: class.zone.clone(),
        same_zone: class.one_zone,
        spread: class.spread,
        allow_spot: class.spot,
        image: format!("{}-{image}", class.name),
        image_gb: class.images.1,
        estimated_runtime_s: if service { 0.0 } else { estimate_s },
        checkpoint_interval_s: class.save.0,
        checkpoint_duration_s: class.save.1,
        deadline_s: None,
        depends_on: Vec::new(),
    };
    let run_us = run_s.iter().map(|s| (s * 1e6) as u64).collect();
    // Drawn only where there are some, so that others draw what they drew before.
    let broken = class.broken > 0.0 && rng.random::<f64>() < class.broken;
    let given_up = broken.then(|| at + (rng.random_range(20.0..200.0) * 1e6) as u64);
    let cancelled = class.cancelled > 0.0 && rng.random::<f64>() < class.cancelled;
    let given_up = given_up
        .or_else(|| cancelled.then(|| at + (mean * 1e6 * rng.random_range(0.1..1.1)) as u64));
    let withdraw_us = given_up.or(service.then(|| at + (mean * 1e6) as u64));
    Planned {
        at_us: at,
        load: Load {
            spec: Arc::new(spec),
            run_us,
            broken,
        },
        withdraw_us,
    }
}
