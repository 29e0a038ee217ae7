//! After a mass loss everything wants to start at once, and room comes back
//! machine by machine.

mod support;

use std::collections::BTreeMap;

use lemonweir_coordination::placer::{CompareAndSwapOutcome, Placer};
use lemonweir_model::{JobId, JobKind, JobSpec, MachineId, Priority, Resources};
use lemonweir_protocol::peer::{
    AttemptState, AttemptStatus, ChangeRange, MachineView, PartitionedZone, ShardView,
};
use support::*;

struct Site {
    placer: Placer,
    machines: Vec<MachineView>,
    revision: u64,
    state: u64,
    /// Machines and changes of attempts told so far.
    number: usize,
    told: u64,
}

impl Site {
    /// A placer with so many services of 4 replicas and one array of 20 tasks
    /// that came before them.
    fn new(services: usize) -> Self {
        let mut placer = Placer::new(0, TOKEN, 1, terms(), 0);
        submit(&mut placer, array(20), 1, 0);
        for n in 0..services {
            let id = JobId::from(format!("req-0001{n:02}").as_str());
            submit(
                &mut placer,
                JobSpec {
                    id,
                    kind: JobKind::Service,
                    priority: Priority::Production,
                    ..array(4)
                },
                10 + n as u64,
                0,
            );
        }
        Self {
            placer,
            machines: Vec::new(),
            revision: 1,
            state: 0,
            number: 0,
            told: 0,
        }
    }

    /// All that runs is lost, with its machines.
    fn lose_all(&mut self) {
        let all = self.placer.sync_for(0, TOKEN, ROOM, false, 0).desired;
        for standing in [AttemptState::Running, AttemptState::Gone] {
            let attempts = all
                .iter()
                .map(|w| AttemptStatus {
                    id: w.id.clone(),
                    state: standing,
                })
                .collect();
            let gone = if standing == AttemptState::Gone {
                std::mem::take(&mut self.machines)
            } else {
                Vec::new()
            };
            self.told += all.len() as u64;
            let full = |m: &MachineView| MachineView {
                free: Resources::default(),
                task_count: 4,
                ..m.clone()
            };
            let machines = self.machines.iter().map(full).collect();
            self.tell(
                machines,
                gone.into_iter().map(|m| m.id).collect(),
                attempts,
                Vec::new(),
            );
        }
    }

    /// Tells that another machine for four tasks is up; what was placed then.
    fn one_more(&mut self, hidden: Vec<PartitionedZone>) -> Vec<(JobId, u32)> {
        self.number += 1;
        let view = shown(self.number, 4);
        self.machines.push(view.clone());
        self.tell(vec![view], Vec::new(), Vec::new(), hidden);
        let wants = self.placer.sync_for(0, TOKEN, ROOM, false, 0).desired;
        let last = &self.machines[self.machines.len() - 1].id;
        wants
            .into_iter()
            .filter(|w| w.machine == *last)
            .map(|w| (w.id.job, w.id.task))
            .collect()
    }

    fn tell(
        &mut self,
        machines: Vec<MachineView>,
        gone: Vec<MachineId>,
        attempts: Vec<AttemptStatus>,
        hidden: Vec<PartitionedZone>,
    ) {
        let seq = self.placer.sync_for(0, TOKEN, ROOM, false, 0).seq;
        let since = self.state;
        self.state += 1;
        let view = ShardView {
            version: lemonweir_model::constants::PEER_VERSION,
            shard: 0,
            fencing_token: TOKEN,
            seq,
            store_age_ms: 0,
            desired_revision: 0,
            partitioned_zones: hidden,
            machines_range: ChangeRange {
                since,
                until: self.state,
                complete: true,
            },
            machines,
            removed_machines: gone,
            attempts_range: ChangeRange {
                since: 0,
                until: self.told,
                complete: true,
            },
            attempts,
        };
        self.placer.take_view(view, 0);
        self.placer.place(0);
        while self.placer.next_cas(0).is_some() {
            self.revision += 1;
            self.placer
                .cas_done(CompareAndSwapOutcome::Done(self.revision), 0);
        }
    }
}

/// Every service has half of its replicas before any has more, and the array
/// that is older waits for all of them.
#[test]
fn services_reach_half_before_any_is_whole() {
    let mut site = Site::new(6);
    for _ in 0..6 {
        assert_eq!(
            site.one_more(Vec::new()).len(),
            4,
            "new services come by age, and batch work after them"
        );
    }
    site.lose_all();
    let mut up: BTreeMap<JobId, usize> = BTreeMap::new();
    let mut least_and_most = Vec::new();
    for _ in 0..6 {
        for (job, _) in site.one_more(Vec::new()) {
            *up.entry(job).or_default() += 1;
        }
        assert!(
            !up.contains_key(&JobId::from("req-000001")),
            "batch work takes no room that a replica lacks"
        );
        let least = if up.len() < 6 {
            0
        } else {
            up.values().copied().min().unwrap_or(0)
        };
        least_and_most.push((least, up.values().copied().max().unwrap_or(0)));
    }
    assert_eq!(
        least_and_most,
        [(0, 2), (0, 2), (2, 2), (2, 4), (2, 4), (4, 4)]
    );
    let then = site.one_more(Vec::new());
    assert_eq!(
        then.iter()
            .filter(|(job, _)| *job == JobId::from("req-000001"))
            .count(),
        4,
        "then the array: {then:?}"
    );
}

/// A waiting job says that its zone is out of sight, since when, and until when
/// at most.
#[test]
fn a_job_in_a_zone_out_of_sight_says_so() {
    let mut site = Site::new(1);
    assert_eq!(site.one_more(Vec::new()).len(), 4);
    let id = JobId::from("req-000100");
    assert_eq!(site.placer.job_note(&id, 0), Some((0, 0, String::new())));
    site.one_more(vec![PartitionedZone {
        zone: "north".into(),
        partitioned_for_ms: 12_400,
        presumed_lost_in_ms: 30_100,
    }]);
    let said = site.placer.job_note(&id, 15_000).expect("known").2;
    assert_eq!(
        said,
        "zone north out of sight since 15 s, its attempts there end by proof in at most 16 s"
    );
    site.one_more(Vec::new());
    assert_eq!(site.placer.job_note(&id, 0), Some((0, 0, String::new())));
}
