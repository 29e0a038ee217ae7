//! Gang admission across several shards while controllers crash and stall, in the simulator with
//! the production decision code.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemonweir_model::{JobId, JobKind, JobSpec};
use lemonweir_protocol::kv_store::KeyValue;
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::fixtures::{id, job};
use lemonweir_simulator::history::History;
use lemonweir_simulator::job::{PlannedSubmission, SimulatedJob};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::simulation::Simulation;
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{GangAdmissionStep, parse_task_chunk_key};

/// Three controllers with a zone each. Each zone has `machines` machines of 16 CPUs and 4 GPUs;
/// no more can be provisioned.
fn simulation(seed: u64, machines: u32) -> Simulation {
    let text = format!(
        "name = 'ledger'\nduration_s = 1e6\ncontrollers = 3\nzones = ['a', 'b', 'c']\n[state]\ntxn_ops = 12\n[policy]\nidle = 1e5\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 100\nprice = 4\nboot_s = 20\n\
         ordinary = {machines}\nat_start = {machines}\n[[team]]\nname = 'blue'\n[[team]]\nname = 'green'\n[[team]]\nname = 'red'\n"
    );
    let site = Scenario::parse("ledger", &text).unwrap_or_else(|faults| unreachable!("{faults:?}"));
    Simulation::new(Arc::new(site), Vec::new(), seed, History::new(None))
}

/// A gang whose tasks take a whole machine each.
fn gang(n: u32, team: &str, tasks: u64) -> JobSpec {
    JobSpec {
        cpus: 16.0,
        gpus: 4.0,
        class: "train".into(),
        ..job(n, team, JobKind::Gang, tasks)
    }
}

fn submit(simulation: &mut Simulation, spec: JobSpec, run_s: u64) {
    let job = SimulatedJob {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken: false,
    };
    simulation.submit(PlannedSubmission {
        at_us: simulation.now,
        job,
        withdraw_us: None,
    });
}

fn assert_no_violation(simulation: &Simulation, what: &str) {
    assert!(
        simulation.workload.checker.violations.is_empty(),
        "{what}: invariants violated: {:#?}",
        simulation.workload.checker.violations
    );
}

/// The gang's state in the store: its earliest admission step, its attempt and the number of its
/// tasks on record. `None` if no task is on record or a task chunk has no gang state.
fn stored_gang_state(
    simulation: &Simulation,
    id: &JobId,
) -> Option<(GangAdmissionStep, u32, usize)> {
    let entries = (0..3).flat_map(|shard| simulation.store.list(&format!("run/{shard}/{id}/")));
    let read = |e: KeyValue| read_chunk(&e.value, parse_task_chunk_key(&e.key)?.1);
    let chunks: Vec<_> = entries
        .filter_map(read)
        .filter(|c| !c.live_attempts.is_empty())
        .collect();
    let gang = chunks
        .iter()
        .map(|c| c.gang.as_ref())
        .collect::<Option<Vec<_>>>()?;
    let earliest_step = gang.iter().map(|g| g.step).min()?;
    Some((
        earliest_step,
        gang[0].attempt,
        chunks.iter().map(|c| c.live_attempts.len()).sum(),
    ))
}

/// Advances the simulation 1 ms at a time and asserts that no task of a gang is launched before
/// the gang is admitted.
struct GangObserver {
    id: JobId,
    tasks: u32,
    /// Attempts of the gang whose admission was in the store.
    admitted: BTreeSet<u32>,
    /// Admission steps seen in the store, in the order of time, without repetitions.
    steps: Vec<GangAdmissionStep>,
    /// Store revision at the last check.
    last_revision: u64,
}

impl GangObserver {
    fn new(n: u32, tasks: u32) -> Self {
        Self {
            id: id(n),
            tasks,
            admitted: BTreeSet::new(),
            steps: Vec::new(),
            last_revision: 0,
        }
    }

    /// Number of the gang's tasks that were launched.
    fn launched(&self, simulation: &Simulation) -> usize {
        (0..self.tasks)
            .filter(|t| {
                simulation
                    .workload
                    .launched
                    .contains_key(&(self.id.clone(), *t))
            })
            .count()
    }

    /// Runs for `ms`, or until `until` is true; returns whether it became true.
    fn run(
        &mut self,
        simulation: &mut Simulation,
        ms: u64,
        until: impl Fn(&Simulation, &Self) -> bool,
    ) -> bool {
        let end = simulation.now + ms * 1_000;
        while simulation.now < end {
            // Once all tasks are launched, there is nothing left to check between two messages.
            simulation.run(if self.launched(simulation) == self.tasks as usize {
                100
            } else {
                1
            });
            let store_changed =
                std::mem::replace(&mut self.last_revision, simulation.store.revision)
                    != simulation.store.revision;
            if let Some((step, attempt, _)) = store_changed
                .then(|| stored_gang_state(simulation, &self.id))
                .flatten()
            {
                if self.steps.last() != Some(&step) {
                    self.steps.push(step);
                }
                if step == GangAdmissionStep::Admitted {
                    self.admitted.insert(attempt);
                }
            }
            let launched = self.launched(simulation);
            assert!(
                launched == 0 || !self.admitted.is_empty(),
                "{launched} tasks are launched before admission, {:?}",
                self.steps
            );
            if until(simulation, self) {
                return true;
            }
        }
        false
    }
}

/// A step of gang admission at which a test injects its fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultStep {
    /// The plan is in the store.
    Planned,
    /// Some shard leader has been asked for resources, and its answer is in flight.
    Requested,
    /// The admission is in the store.
    Admitted,
    /// Some task has been launched.
    Launched,
}

const STEPS: [FaultStep; 4] = [
    FaultStep::Planned,
    FaultStep::Requested,
    FaultStep::Admitted,
    FaultStep::Launched,
];

/// Runs a simulation until a gang of 8 whole machines reaches the step `at`. The gang needs
/// machines of all three shards.
fn simulation_at_step(at: FaultStep, seed: u64) -> (Simulation, GangObserver) {
    let mut simulation = simulation(seed, 3);
    simulation.run(12_000);
    submit(&mut simulation, gang(1, "blue", 8), 20);
    let mut observer = GangObserver::new(1, 8);
    let reached = observer.run(&mut simulation, 8_000, |simulation, observer| {
        let step = stored_gang_state(simulation, &observer.id).map(|s| s.0);
        match at {
            FaultStep::Planned | FaultStep::Requested => step == Some(GangAdmissionStep::Planned),
            FaultStep::Admitted => step == Some(GangAdmissionStep::Admitted),
            FaultStep::Launched => observer.launched(simulation) > 0,
        }
    });
    assert!(reached, "{at:?} was not reached: {:?}", observer.steps);
    if at == FaultStep::Requested {
        observer.run(&mut simulation, 4, |_, _| false);
    }
    (simulation, observer)
}

/// The controllers that fail, by `who`: 0 is the placer of the gang, 1 the leader of another
/// shard, and 2 both.
fn failing_controllers(simulation: &Simulation, who: usize) -> Vec<usize> {
    let placer = (0..3)
        .find(|h| simulation.controllers[*h].leads(0))
        .expect("shard 0 has a leader");
    let owner = (0..3).find(|h| *h != placer).expect("another controller");
    [vec![placer], vec![owner], vec![placer, owner]][who].clone()
}

/// The placer, the leader of another shard, or both crash at each step of a gang over three
/// shards and restart after 3 s; both also crash without a restart during the test. No task is
/// launched before the gang is admitted, no tasks of two attempts run together, the gang completes,
/// and no task is left behind.
#[test]
fn gang_admission_survives_crashes_of_placer_or_owner_at_each_step() {
    for (at, who, back_ms) in STEPS.into_iter().flat_map(|at| {
        [
            (at, 0, 3_000),
            (at, 1, 3_000),
            (at, 2, 3_000),
            (at, 2, 600_000),
        ]
    }) {
        let (mut simulation, mut observer) = simulation_at_step(at, 1 + who as u64);
        let what = format!("{at:?}, {who}, restart after {back_ms} ms");
        for controller in failing_controllers(&simulation, who) {
            simulation.crash(controller, back_ms * 1_000);
        }
        let done = observer.run(&mut simulation, 130_000, |simulation, observer| {
            simulation.final_phase(&observer.id) == Some(JobPhase::Done)
        });
        assert!(done, "{what}: {:?}", observer.steps);
        assert_no_violation(&simulation, &what);
        simulation.run(5_000);
        assert!(simulation.live_tasks().is_empty(), "{what}");
    }
}

/// The placer, the leader of another shard, or both stall for 30 s at each step. They resume what
/// they were about to do after other controllers have decided.
#[test]
fn gang_admission_survives_stalls_of_placer_or_owner_at_each_step() {
    for at in STEPS {
        for who in 0..3 {
            let (mut simulation, mut observer) = simulation_at_step(at, 11 + who as u64);
            let what = format!("{at:?}, {who}");
            for controller in failing_controllers(&simulation, who) {
                let until = simulation.now + 30_000_000;
                (
                    simulation.controllers[controller].stalled_until,
                    simulation.controllers[controller].busy_until,
                ) = (until, until);
            }
            let done = observer.run(&mut simulation, 200_000, |simulation, observer| {
                simulation.final_phase(&observer.id) == Some(JobPhase::Done)
            });
            assert!(done, "{what}: {:?}", observer.steps);
            assert_no_violation(&simulation, &what);
        }
    }
}

/// A gang withdrawn at any step is confirmed as withdrawn, and no task of it is left.
#[test]
fn gangs_may_be_withdrawn_at_each_admission_step() {
    for at in STEPS {
        let (mut simulation, mut observer) = simulation_at_step(at, 31);
        simulation.withdraw(&observer.id);
        let gone = observer.run(&mut simulation, 40_000, |simulation, observer| {
            simulation.final_phase(&observer.id) == Some(JobPhase::Withdrawn)
        });
        assert!(gone, "{at:?}");
        assert_no_violation(&simulation, &format!("{at:?}"));
        assert!(simulation.live_tasks().is_empty(), "{at:?}");
    }
}
