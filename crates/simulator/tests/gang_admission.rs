//! Gang admission with several controllers that fail, in the simulator with the real
//! decisions.

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

/// Three controllers, each with its zone's machines: so many in each, of 16
/// processors and 4 accelerators, and none to rent.
fn simulation(seed: u64, machines: u32) -> Simulation {
    let text = format!(
        "name = 'ledger'\nduration_s = 1e6\ncontrollers = 3\nzones = ['a', 'b', 'c']\n[state]\ntxn_ops = 12\n[policy]\nidle = 1e5\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 100\nprice = 4\nboot_s = 20\n\
         ordinary = {machines}\nat_start = {machines}\n[[team]]\nname = 'blue'\n[[team]]\nname = 'green'\n[[team]]\nname = 'red'\n"
    );
    let site = Scenario::parse("ledger", &text).unwrap_or_else(|faults| unreachable!("{faults:?}"));
    Simulation::new(Arc::new(site), Vec::new(), seed, History::new(None))
}

/// A gang of whole machines.
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
        "{what}: rules broken: {:#?}",
        simulation.workload.checker.violations
    );
}

/// What the store says of a gang: its least step, its attempt, members named.
fn step_of(simulation: &Simulation, id: &JobId) -> Option<(GangAdmissionStep, u32, usize)> {
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
    let least = gang.iter().map(|g| g.step).min()?;
    Some((
        least,
        gang[0].attempt,
        chunks.iter().map(|c| c.live_attempts.len()).sum(),
    ))
}

/// Goes on ms by ms; whatever of the gang is launched must be admitted.
struct Watch {
    id: JobId,
    tasks: u32,
    admitted: BTreeSet<u32>,
    steps: Vec<GangAdmissionStep>,
    /// Revision of the store that was last looked at.
    seen: u64,
}

impl Watch {
    fn new(n: u32, tasks: u32) -> Self {
        Self {
            id: id(n),
            tasks,
            admitted: BTreeSet::new(),
            steps: Vec::new(),
            seen: 0,
        }
    }

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

    fn run(
        &mut self,
        simulation: &mut Simulation,
        ms: u64,
        until: impl Fn(&Simulation, &Self) -> bool,
    ) -> bool {
        let end = simulation.now + ms * 1_000;
        while simulation.now < end {
            // Once all is launched nothing is to be seen between two messages.
            simulation.run(if self.launched(simulation) == self.tasks as usize {
                100
            } else {
                1
            });
            let news = std::mem::replace(&mut self.seen, simulation.store.revision)
                != simulation.store.revision;
            if let Some((step, attempt, _)) = news.then(|| step_of(simulation, &self.id)).flatten()
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
                "{launched} tasks are launched, {:?}",
                self.steps
            );
            if until(simulation, self) {
                return true;
            }
        }
        false
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    PlannedSubmission,
    /// Some owner has been asked, and its answer is on its way.
    QueryKind,
    Admitted,
    Launched,
}

const STEPS: [At; 4] = [
    At::PlannedSubmission,
    At::QueryKind,
    At::Admitted,
    At::Launched,
];

/// Brings a gang of 8 whole machines, which needs machines of all three parts, to a
/// step; also the controllers that place and that own.
fn brought_to(at: At, seed: u64) -> (Simulation, Watch) {
    let mut simulation = simulation(seed, 3);
    simulation.run(12_000);
    submit(&mut simulation, gang(1, "blue", 8), 20);
    let mut watch = Watch::new(1, 8);
    let there = watch.run(&mut simulation, 8_000, |simulation, watch| {
        let step = step_of(simulation, &watch.id).map(|s| s.0);
        match at {
            At::PlannedSubmission | At::QueryKind => step == Some(GangAdmissionStep::Planned),
            At::Admitted => step == Some(GangAdmissionStep::Admitted),
            At::Launched => watch.launched(simulation) > 0,
        }
    });
    assert!(there, "{at:?} was not reached: {:?}", watch.steps);
    if at == At::QueryKind {
        watch.run(&mut simulation, 4, |_, _| false);
    }
    (simulation, watch)
}

/// Who ends: the placer's controller, an owner's, or both.
fn struck(simulation: &Simulation, who: usize) -> Vec<usize> {
    let placer = (0..3)
        .find(|h| simulation.controllers[*h].leads(0))
        .expect("a holder");
    let owner = (0..3).find(|h| *h != placer).expect("another");
    [vec![placer], vec![owner], vec![placer, owner]][who].clone()
}

/// At each step of a gang of 8 over three parts the placer, an owner, or both end and
/// come back, or both are gone for good: nothing of it is launched before it is
/// admitted, members of two attempts never meet, it is done in the end, and no room
/// stays held.
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
        let (mut simulation, mut watch) = brought_to(at, 1 + who as u64);
        let what = format!("{at:?}, {who}, back after {back_ms} ms");
        for controller in struck(&simulation, who) {
            simulation.crash(controller, back_ms * 1_000);
        }
        let done = watch.run(&mut simulation, 130_000, |simulation, watch| {
            simulation.phase(&watch.id) == Some(JobPhase::Done)
        });
        assert!(done, "{what}: {:?}", watch.steps);
        assert_no_violation(&simulation, &what);
        simulation.run(5_000);
        assert!(simulation.live_tasks().is_empty(), "{what}");
    }
}

/// The same with controllers that stand still for 30 s: they go on with what they
/// were about to do, and find that others decided.
#[test]
fn gang_admission_survives_stalls_of_placer_or_owner_at_each_step() {
    for at in STEPS {
        for who in 0..3 {
            let (mut simulation, mut watch) = brought_to(at, 11 + who as u64);
            let what = format!("{at:?}, {who}");
            for controller in struck(&simulation, who) {
                let until = simulation.now + 30_000_000;
                (
                    simulation.controllers[controller].stalled_until,
                    simulation.controllers[controller].busy_until,
                ) = (until, until);
            }
            let done = watch.run(&mut simulation, 200_000, |simulation, watch| {
                simulation.phase(&watch.id) == Some(JobPhase::Done)
            });
            assert!(done, "{what}: {:?}", watch.steps);
            assert_no_violation(&simulation, &what);
        }
    }
}

/// Withdrawn at each step: it is told, and nothing of it is left.
#[test]
fn gangs_may_be_withdrawn_at_each_admission_step() {
    for at in STEPS {
        let (mut simulation, mut watch) = brought_to(at, 31);
        simulation.withdraw(&watch.id);
        let gone = watch.run(&mut simulation, 40_000, |simulation, watch| {
            simulation.phase(&watch.id) == Some(JobPhase::Withdrawn)
        });
        assert!(gone, "{at:?}");
        assert_no_violation(&simulation, &format!("{at:?}"));
        assert!(simulation.live_tasks().is_empty(), "{at:?}");
    }
}
