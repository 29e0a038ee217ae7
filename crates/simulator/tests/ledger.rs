//! The gang admission ledger with several controllers that fail, in the simulated
//! world with the real decisions.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemonweir_model::{JobId, JobKind, JobSpec};
use lemonweir_protocol::kv_store::KeyValue;
use lemonweir_protocol::users::JobPhase;
use lemonweir_simulator::ground::Load;
use lemonweir_simulator::history::History;
use lemonweir_simulator::sample::{id, job};
use lemonweir_simulator::scenario::Scenario;
use lemonweir_simulator::world::{Planned, World};
use lemonweir_storage::packed_chunk::read_chunk;
use lemonweir_storage::records::{GangAdmissionStep, parse_task_chunk_key};

/// Three controllers, each with its zone's machines: so many in each, of 16
/// processors and 4 accelerators, and none to rent.
fn world(seed: u64, machines: u32) -> World {
    let text = format!(
        "name = 'ledger'\nduration_s = 1e6\ncontrollers = 3\nzones = ['a', 'b', 'c']\n[state]\ntxn_ops = 12\n[policy]\nidle = 1e5\n\
         [[machine_type]]\nname = 'box'\ncpus = 16\ngpus = 4\nmemory_gb = 64\ncache_gb = 100\nprice = 4\nboot_s = 20\n\
         ordinary = {machines}\nat_start = {machines}\n[[team]]\nname = 'blue'\n[[team]]\nname = 'green'\n[[team]]\nname = 'red'\n"
    );
    let site = Scenario::parse("ledger", &text).unwrap_or_else(|faults| unreachable!("{faults:?}"));
    World::new(Arc::new(site), Vec::new(), seed, History::new(None))
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

fn submit(world: &mut World, spec: JobSpec, run_s: u64) {
    let load = Load {
        spec: Arc::new(spec),
        run_us: vec![run_s * 1_000_000],
        broken: false,
    };
    world.submit_at(Planned {
        at_us: world.now,
        load,
        withdraw_us: None,
    });
}

fn assert_kept(world: &World, what: &str) {
    assert!(
        world.ground.checker.broken.is_empty(),
        "{what}: rules broken: {:#?}",
        world.ground.checker.broken
    );
}

/// What the store says of a gang: its least step, its attempt, members named.
fn step_of(world: &World, id: &JobId) -> Option<(GangAdmissionStep, u32, usize)> {
    let entries = (0..3).flat_map(|shard| world.store.list(&format!("run/{shard}/{id}/")));
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
    Some((least, gang[0].attempt, chunks.iter().map(|c| c.live_attempts.len()).sum()))
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

    fn launched(&self, world: &World) -> usize {
        (0..self.tasks)
            .filter(|t| world.ground.launched.contains_key(&(self.id.clone(), *t)))
            .count()
    }

    fn run(&mut self, world: &mut World, ms: u64, until: impl Fn(&World, &Self) -> bool) -> bool {
        let end = world.now + ms * 1_000;
        while world.now < end {
            // Once all is launched nothing is to be seen between two messages.
            world.run(if self.launched(world) == self.tasks as usize {
                100
            } else {
                1
            });
            let news =
                std::mem::replace(&mut self.seen, world.store.revision) != world.store.revision;
            if let Some((step, attempt, _)) = news.then(|| step_of(world, &self.id)).flatten() {
                if self.steps.last() != Some(&step) {
                    self.steps.push(step);
                }
                if step == GangAdmissionStep::Admitted {
                    self.admitted.insert(attempt);
                }
            }
            let launched = self.launched(world);
            assert!(
                launched == 0 || !self.admitted.is_empty(),
                "{launched} tasks are launched, {:?}",
                self.steps
            );
            if until(world, self) {
                return true;
            }
        }
        false
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Planned,
    /// Some owner has been asked, and its answer is on its way.
    QueryKind,
    Admitted,
    Launched,
}

const STEPS: [At; 4] = [At::Planned, At::QueryKind, At::Admitted, At::Launched];

/// Brings a gang of 8 whole machines, which needs machines of all three parts, to a
/// step; also the controllers that place and that own.
fn brought_to(at: At, seed: u64) -> (World, Watch) {
    let mut world = world(seed, 3);
    world.run(12_000);
    submit(&mut world, gang(1, "blue", 8), 20);
    let mut watch = Watch::new(1, 8);
    let there = watch.run(&mut world, 8_000, |world, watch| {
        let step = step_of(world, &watch.id).map(|s| s.0);
        match at {
            At::Planned | At::QueryKind => step == Some(GangAdmissionStep::Planned),
            At::Admitted => step == Some(GangAdmissionStep::Admitted),
            At::Launched => watch.launched(world) > 0,
        }
    });
    assert!(there, "{at:?} was not reached: {:?}", watch.steps);
    if at == At::QueryKind {
        watch.run(&mut world, 4, |_, _| false);
    }
    (world, watch)
}

/// Who ends: the placer's controller, an owner's, or both.
fn struck(world: &World, who: usize) -> Vec<usize> {
    let placer = (0..3).find(|h| world.hosts[*h].holds(0)).expect("a holder");
    let owner = (0..3).find(|h| *h != placer).expect("another");
    [vec![placer], vec![owner], vec![placer, owner]][who].clone()
}

/// At each step of a gang of 8 over three parts the placer, an owner, or both end and
/// come back, or both are gone for good: nothing of it is launched before it is
/// admitted, members of two attempts never meet, it is done in the end, and no room
/// stays held.
#[test]
fn placer_or_owner_or_both_end_at_each_step() {
    for (at, who, back_ms) in STEPS.into_iter().flat_map(|at| {
        [
            (at, 0, 3_000),
            (at, 1, 3_000),
            (at, 2, 3_000),
            (at, 2, 600_000),
        ]
    }) {
        let (mut world, mut watch) = brought_to(at, 1 + who as u64);
        let what = format!("{at:?}, {who}, back after {back_ms} ms");
        for host in struck(&world, who) {
            world.crash(host, back_ms * 1_000);
        }
        let done = watch.run(&mut world, 130_000, |world, watch| {
            world.phase(&watch.id) == Some(JobPhase::Done)
        });
        assert!(done, "{what}: {:?}", watch.steps);
        assert_kept(&world, &what);
        world.run(5_000);
        assert!(world.live().is_empty(), "{what}");
    }
}

/// The same with controllers that stand still for 30 s: they go on with what they
/// were about to do, and find that others decided.
#[test]
fn placer_or_owner_or_both_stand_still_at_each_step() {
    for at in STEPS {
        for who in 0..3 {
            let (mut world, mut watch) = brought_to(at, 11 + who as u64);
            let what = format!("{at:?}, {who}");
            for host in struck(&world, who) {
                let until = world.now + 30_000_000;
                (world.hosts[host].frozen_until, world.hosts[host].busy_until) = (until, until);
            }
            let done = watch.run(&mut world, 200_000, |world, watch| {
                world.phase(&watch.id) == Some(JobPhase::Done)
            });
            assert!(done, "{what}: {:?}", watch.steps);
            assert_kept(&world, &what);
        }
    }
}

/// Withdrawn at each step: it is told, and nothing of it is left.
#[test]
fn withdrawn_at_each_step() {
    for at in STEPS {
        let (mut world, mut watch) = brought_to(at, 31);
        world.withdraw(&watch.id);
        let gone = watch.run(&mut world, 40_000, |world, watch| {
            world.phase(&watch.id) == Some(JobPhase::Withdrawn)
        });
        assert!(gone, "{at:?}");
        assert_kept(&world, &format!("{at:?}"));
        assert!(world.live().is_empty(), "{at:?}");
    }
}
