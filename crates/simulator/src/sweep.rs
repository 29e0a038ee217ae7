//! Sweeps: runs of a scenario with many seeds, their statistics, and comparisons of two sweeps.

use std::fmt::Write;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::histograms::histogram;
use crate::report::{RunOutcome, RunReport};
use crate::run::{LoadSource, Placer, RunError, run_once};
use crate::scenario::Scenario;
use crate::workload_replay::WorkloadReplay;

/// Largest number of seeds of a sweep.
const MAX_SEEDS: u64 = 100_000;

/// Why a text can't be parsed as seeds.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseSeedsError {
    /// A bound is not a number.
    #[error("{0:?} is no seed")]
    NotANumber(String),
    /// The range is empty or too long.
    #[error("{0}: must be FIRST..LAST, at most 100,000 seeds")]
    Range(String),
}

/// Seeds, parsed from a single number or from `FIRST..LAST` with both included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seeds(pub Vec<u64>);

impl FromStr for Seeds {
    type Err = ParseSeedsError;

    fn from_str(text: &str) -> Result<Self, ParseSeedsError> {
        let number = |text: &str| {
            text.parse::<u64>()
                .map_err(|_| ParseSeedsError::NotANumber(text.to_owned()))
        };
        let (first, last) = match text.split_once("..") {
            Some((first, last)) => (number(first)?, number(last)?),
            None => (number(text)?, number(text)?),
        };
        if last < first || last - first >= MAX_SEEDS {
            return Err(ParseSeedsError::Range(text.to_owned()));
        }
        Ok(Self((first..=last).collect()))
    }
}

/// Runs `work` for every seed on `jobs` threads. The results are in the order of the seeds,
/// whatever order the threads finish in.
pub fn map_seeds<T: Send>(seeds: &Seeds, jobs: usize, work: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let bar = ProgressBar::new(seeds.0.len() as u64);
    bar.set_style(
        ProgressStyle::with_template("{bar:30} {pos}/{len} runs, {eta} left")
            .unwrap_or_else(|_| ProgressStyle::default_bar()),
    );
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, T)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, seeds.0.len()) {
            scope.spawn(|| {
                loop {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&seed) = seeds.0.get(i) else { return };
                    let result = work(seed);
                    bar.inc(1);
                    done.lock()
                        .unwrap_or_else(std::sync::PoisonError::into_inner)
                        .push((i, result));
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    done.sort_by_key(|(i, _)| *i);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Runs a scenario with every seed, with synthetic load or with a replayed workload.
pub fn sweep(
    scenario: &Arc<Scenario>,
    placer: Placer,
    workload: Option<&WorkloadReplay>,
    seeds: &Seeds,
    jobs: usize,
) -> Result<Vec<RunOutcome>, RunError> {
    let source = || workload.map_or(LoadSource::Synthetic, |w| LoadSource::Workload(w.clone()));
    map_seeds(seeds, jobs, |seed| {
        run_once(scenario.clone(), source(), placer, seed, None)
    })
    .into_iter()
    .collect()
}

/// The metrics by which runs are compared, with their names.
fn metrics(r: &RunReport) -> Vec<(String, f64)> {
    let mut all = vec![
        ("allocation 50 %, ms".to_owned(), r.allocation.p50),
        ("allocation 90 %, ms".to_owned(), r.allocation.p90),
        ("allocation 99 %, ms".to_owned(), r.allocation.p99),
        ("allocation 99.9 %, ms".to_owned(), r.allocation.p999),
        ("starts".to_owned(), r.task_starts as f64),
        ("jobs over".to_owned(), r.jobs.ended as f64),
        ("money".to_owned(), r.cost),
        ("useful share".to_owned(), r.useful_share),
        ("messages".to_owned(), r.work.messages as f64),
        ("refusals".to_owned(), r.work.refused_placements as f64),
        ("preemptions".to_owned(), r.work.preemptions as f64),
        ("rules broken".to_owned(), r.violations.len() as f64),
    ];
    for (class, s) in &r.time_to_start {
        all.push((format!("wait 90 % {class}, ms"), s.p90));
    }
    for (class, s) in &r.time_to_finish {
        all.push((format!("finished 90 % {class}, ms"), s.p90));
    }
    all
}

/// The mean, and half the width of its 95 % confidence interval; infinite for fewer than two
/// values.
pub fn mean_and_margin(values: &[f64]) -> (f64, f64) {
    let n = values.len() as f64;
    let mean = values.iter().sum::<f64>() / n.max(1.0);
    if values.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let t = StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |d| d.inverse_cdf(0.975));
    (mean, t * (variance / n).sqrt())
}

/// Formats the mean of every metric of a sweep, with its 95 % confidence interval.
pub fn summary(outcomes: &[RunOutcome]) -> String {
    let mut out = String::new();
    let rows: Vec<Vec<(String, f64)>> = outcomes.iter().map(|o| metrics(&o.report)).collect();
    let names: Vec<&String> = rows
        .first()
        .into_iter()
        .flatten()
        .map(|(name, _)| name)
        .collect();
    for name in names {
        let (mean, half) = mean_and_margin(&column(&rows, name));
        let _ = writeln!(out, "  {name:<32} {mean:>14.3} ± {half:.3}");
    }
    out
}

fn column(rows: &[Vec<(String, f64)>], name: &str) -> Vec<f64> {
    rows.iter()
        .filter_map(|row| row.iter().find(|(n, _)| n == name).map(|(_, x)| *x))
        .collect()
}

/// Formats two sweeps of the same seeds side by side. The confidence interval is that of the
/// paired differences by seed.
pub fn comparison(a: &[RunOutcome], b: &[RunOutcome]) -> String {
    let mut out = String::new();
    let rows = |list: &[RunOutcome]| list.iter().map(|o| metrics(&o.report)).collect::<Vec<_>>();
    let (left, right) = (rows(a), rows(b));
    let names: Vec<&String> = left
        .first()
        .into_iter()
        .flatten()
        .map(|(name, _)| name)
        .collect();
    let _ = writeln!(
        out,
        "  {:<32} {:>14} {:>14} {:>14}   95 % of the difference",
        "", "A", "B", "B - A"
    );
    for name in names {
        let (x, y) = (column(&left, name), column(&right, name));
        if x.len() != y.len() {
            continue;
        }
        let differences: Vec<f64> = x.iter().zip(&y).map(|(x, y)| y - x).collect();
        let ((ma, _), (mb, _), (diff, half)) = (
            mean_and_margin(&x),
            mean_and_margin(&y),
            mean_and_margin(&differences),
        );
        let sure = if diff.abs() >= half {
            ""
        } else {
            "  (not sure)"
        };
        let _ = writeln!(
            out,
            "  {name:<32} {ma:>14.3} {mb:>14.3} {diff:>14.3}   ± {half:.3}{sure}"
        );
    }
    out
}

/// The allocation times of all runs in one histogram. A run that can't be added is left out.
pub fn merged_allocation_times(outcomes: &[RunOutcome]) -> Histogram<u64> {
    let mut all = histogram();
    for outcome in outcomes {
        if let Err(error) = all.add(&outcome.allocation) {
            tracing::error!(%error, "failed to merge the allocation times of a run");
        }
    }
    all
}
